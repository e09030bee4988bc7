"""Links to targets that lead through an owner of the target."""

from __future__ import annotations

import asyncio
import itertools
import math
from collections import deque
from collections.abc import Callable

import msgspec
from fennelhill_core.clock import MS_PER_S, Clock
from fennelhill_core.documents import decode_json
from fennelhill_core.events import EventLog
from fennelhill_core.rpc import NoAnswer, NotSent, PendingCall, RpcClient, RpcError
from fennelhill_core.streams import Dialer, DialError, dial_within
from fennelhill_core.tasks import Tasks
from loguru import logger

from fennelhilld.links.messages import (
    Command,
    CommandKind,
    LinkDriver,
    LinkLostError,
    LinkRefusedError,
    NoLinkError,
    TargetAnswer,
    TargetFault,
    TargetLink,
    TargetStatus,
    Urgency,
)
from fennelhilld.relay.messages import (
    CLOSE,
    PING,
    RUN,
    RelayBatch,
    RelayClose,
    RelayResult,
)
from fennelhilld.relay.owners import owner_plan
from fennelhilld.relay.presence import LOOK_UP_INTERVAL_MS, HostPresence
from fennelhilld.relay.reports import LoadReports

DIAL_TIMEOUT_MS = 300.0
# An owner that has left a batch unanswered for this long, and has sent nothing else
# meanwhile, is asked for a sign of life.  A statement takes 6 to 30 ms.
QUIET_MS = 60.0
# Longest time between two looks whether an owner has sent anything.
MAX_QUIET_MS = 240.0
# A sign of life takes a few milliseconds, and some tens on a loaded half-core host.
PING_TIMEOUT_MS = 150.0
# The other hosts of its zone are pinged before the first one counts as silent.
PING_ZONE_AFTER_MS = 50.0
# A stream that was replaced by a new one stays open this long for the batches and
# transactions on it, in case it delivers again.
REPLACED_STREAM_MS = 5_000.0
# Pause before a refusal is passed on, so that the next attempt finds another state.
REFUSAL_PAUSE_MS = 30.0
CLOSE_TIMEOUT_MS = 500.0
# Longest time for the answer to commands whose sender gives no limit.
DEFAULT_LIMIT_MS = 1_000.0


class OwnerLostError(LinkLostError):
    """The owner's zone stopped answering; a read may be sent to another target."""


class OwnerStreams:
    """Streams to owners of targets, one for each host.

    A host that leaves a ping unanswered gets no new work until it answers again; what
    it was sent before goes on.  The other hosts of its zone are pinged at once.

    Parameters
    ----------
    dialer : Dialer
        Opens streams.
    clock : Clock
        Source of time.
    events : EventLog
        Records owners that can't be used.
    zone_of : callable
        Returns the availability zone of a listed host; empty if it is not listed.
    on_silent : callable
        Called with a host that has stopped answering, and whether its zone is lost;
        not again for a zone that is lost.
    """

    def __init__(
        self,
        dialer: Dialer,
        clock: Clock,
        events: EventLog,
        zone_of: Callable[[str], str],
        on_silent: Callable[[str, bool], None],
    ) -> None:
        self._dialer = dialer
        self._clock = clock
        self._events = events
        self._zone_of = zone_of
        self._on_silent = on_silent
        self._clients: dict[str, RpcClient] = {}
        self._addresses: dict[str, str] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        self._presence = HostPresence(zone_of)
        self._numbers = itertools.count(1)
        # Hosts that are being pinged or looked for.
        self._checked: set[str] = set()
        # Reads in progress by host; given up when the host's zone is lost.
        self._reads: dict[str, dict[PendingCall, None]] = {}
        self._looking: asyncio.Task | None = None
        self._tasks = Tasks()
        self.reports = LoadReports(clock)

    def new_link_number(self) -> int:
        """Return a number that no other link has."""
        return next(self._numbers)

    def usable(self, host: str) -> bool:
        """Return whether new work may be sent to a host.

        Parameters
        ----------
        host : str
            The host.

        Returns
        -------
        bool
            False from an unanswered ping until the host answers again, and while its
            zone is lost.
        """
        return self._presence.usable(host)

    def usable_of(self, owners: list[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return the usable owners of a target.

        Parameters
        ----------
        owners : list of tuple of str
            Name and address of each owner, in the order of use.

        Returns
        -------
        list of tuple of str
            Those that are not known to be silent.
        """
        return [owner for owner in owners if self.usable(owner[0])]

    def any_silent(self) -> bool:
        """Return whether a host is known that has not answered since a ping."""
        return bool(self._presence.silent_hosts)

    async def connect(self, host: str, address: str) -> RpcClient | None:
        """Return the stream to a host; open one if there is none.

        Parameters
        ----------
        host : str
            The host.
        address : str
            Its address.

        Returns
        -------
        RpcClient or None
            None if it can't be reached.
        """
        client = self._clients.get(host)
        if client is not None and not client.closed:
            return client
        async with self._locks.setdefault(host, asyncio.Lock()):
            client = self._clients.get(host)
            if client is not None and not client.closed:
                return client
            if not self.usable(host):
                return None  # Found silent while this waited.
            self._addresses[host] = address
            asked_ms = self._clock.now_ms()
            try:
                stream = await dial_within(self._dialer, address, DIAL_TIMEOUT_MS)
            except DialError as error:
                self._record_silence(host, asked_ms, str(error))
                return None
            client = self._clients[host] = RpcClient(stream)
            self._presence.record_answer(host, self._clock.now_ms())
            return client

    async def run(
        self, host: str, client: RpcClient, batch: RelayBatch, reads_only: bool
    ) -> msgspec.Raw:
        """Run a batch at an owner, and ping the owner if the answer is overdue.

        Parameters
        ----------
        host : str
            The owner.
        client : RpcClient
            The stream to it.
        batch : RelayBatch
            The batch.
        reads_only : bool
            Whether the batch only reads, outside a transaction.

        Returns
        -------
        msgspec.Raw
            The encoded `RelayResult`.

        Raises
        ------
        OwnerLostError
            If the owner's zone is lost while a batch runs that only reads.
        NotSent, NoAnswer, RpcError
            As `RpcClient.call`.
        """
        call = client.start(RUN, batch, batch.limit_ms)
        stop_watching = self._watch(host, client)
        reads = self._reads.setdefault(host, {})
        if reads_only:
            reads[call] = None
        try:
            raw = await call.answer()
        except asyncio.CancelledError:
            if call.cancelled and not asyncio.current_task().cancelling():
                raise OwnerLostError(f"owner {host}: its zone is lost") from None
            call.cancel()
            raise
        finally:
            stop_watching()
            reads.pop(call, None)
        self._record_answer(host)
        return raw

    def check(self, host: str, client: RpcClient) -> None:
        """Find out whether a host that has left a batch unanswered still lives.

        The target may be slow; only a host that does not even answer a ping gets no new
        work.

        Parameters
        ----------
        host : str
            The host.
        client : RpcClient
            The stream to it.
        """
        if host not in self._checked and self.usable(host):
            self._checked.add(host)
            self._tasks.spawn(self._ping(host, client))

    def check_zone(self, zone: str) -> None:
        """Ping all hosts of a zone to which streams are open.

        Parameters
        ----------
        zone : str
            The zone.
        """
        for host, client in list(self._clients.items()):
            if self._zone_of(host) == zone and not client.closed:
                self.check(host, client)

    def close(self) -> None:
        """Close all streams."""
        self._tasks.cancel()
        for client in self._clients.values():
            client.close()
        self._clients.clear()

    def _watch(self, host: str, client: RpcClient) -> Callable[[], None]:
        """Ping a host while it sends nothing, until stopped.

        The first ping follows after `QUIET_MS`, and each look after twice the time of
        the one before: a host that answers pings only has a slow target.
        """
        loop = asyncio.get_running_loop()
        received = client.received_messages
        interval_ms = QUIET_MS

        def check() -> None:
            nonlocal received, timer, interval_ms
            if client.received_messages == received:
                self.check(host, client)
            received = client.received_messages
            interval_ms = min(2 * interval_ms, MAX_QUIET_MS)
            timer = loop.call_later(interval_ms / MS_PER_S, check)

        timer = loop.call_later(QUIET_MS / MS_PER_S, check)
        return lambda: timer.cancel()

    def _record_answer(self, host: str) -> None:
        if self._presence.record_answer(host, self._clock.now_ms()):
            self._events.record("relay.owner_back", owner=host)

    def _record_silence(self, host: str, asked_ms: float, reason: str) -> None:
        """Give a host no new work, and ping the other hosts of its zone."""
        zone = self._zone_of(host)
        was_lost = self._presence.zone_lost(zone)
        if not self._presence.record_silence(host, asked_ms, self._clock.now_ms()):
            return
        zone_lost = self._presence.zone_lost(zone)
        self._events.record(
            "relay.owner_silent", owner=host, reason=reason, zone_lost=zone_lost
        )
        self.check_zone(zone)
        if zone_lost:
            for other, reads in self._reads.items():
                if self._zone_of(other) == zone:
                    for read in list(reads):
                        read.cancel()
        if self._looking is None or self._looking.done():
            self._looking = self._tasks.spawn(self._look_for_silent())
        if not was_lost:
            # After that it changes nothing that another host of the zone is silent.
            self._on_silent(host, zone_lost)

    async def _look_for_silent(self) -> None:
        """Find out when silent hosts answer again: they get no work that would tell."""
        while self._presence.silent_hosts:
            await self._clock.sleep_ms(LOOK_UP_INTERVAL_MS / 2)
            self._start_look_ups()

    def _start_look_ups(self) -> None:
        for host in self._presence.start_look_ups(self._clock.now_ms()):
            if host not in self._checked:
                self._checked.add(host)
                self._tasks.spawn(self._look_for(host))

    async def _look_for(self, host: str) -> None:
        """Ping a silent host on its stream and on a new one."""
        previous = self._clients.get(host)
        try:
            answered, client = await asyncio.gather(
                self._answers(previous), self._dial_and_ping(host)
            )
            if answered and client is not None:
                client.close()
            elif client is not None:
                self._clients[host] = client
                if previous is not None:
                    self._tasks.spawn(self._close_later(previous))
            elif not answered:
                return
            zone_was_lost = self._presence.zone_lost(self._zone_of(host))
            self._record_answer(host)
            if zone_was_lost:
                self._start_look_ups()
        finally:
            self._checked.discard(host)

    async def _answers(self, client: RpcClient | None) -> bool:
        if client is None:
            return False
        try:
            await client.call(PING, None, PING_TIMEOUT_MS)
        except (NoAnswer, NotSent, RpcError):
            return False
        return True

    async def _dial_and_ping(self, host: str) -> RpcClient | None:
        try:
            stream = await dial_within(
                self._dialer, self._addresses[host], DIAL_TIMEOUT_MS
            )
        except DialError as error:
            logger.debug("owner {} does not answer yet: {}", host, error)
            return None
        client = RpcClient(stream)
        if await self._answers(client):
            return client
        client.close()
        return None

    async def _close_later(self, client: RpcClient) -> None:
        await self._clock.sleep_ms(REPLACED_STREAM_MS)
        client.close()

    async def _ping(self, host: str, client: RpcClient) -> None:
        asked_ms = self._clock.now_ms()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(
            PING_ZONE_AFTER_MS / MS_PER_S, self.check_zone, self._zone_of(host)
        )
        try:
            await client.call(PING, None, PING_TIMEOUT_MS)
        except (NoAnswer, NotSent, RpcError) as error:
            self._record_silence(host, asked_ms, str(error) or "the stream is closed")
        else:
            self._record_answer(host)
        finally:
            timer.cancel()
            self._checked.discard(host)


class RelayLink:
    """A link to a target through its owners.

    It holds no connection to the target: each batch runs on any free link of an owner,
    which is brought to this link's session state first.  Only an open transaction
    stays with one owner, on one of its links.

    Parameters
    ----------
    streams : OwnerStreams
        Streams to owners.
    owners : callable
        Returns name and address of the target's owners, in the order in which the
        organisation with a given name uses them.
    group : str
        Group of the target.
    target_id : str
        The target.
    clock : Clock
        Source of time.
    tasks : Tasks
        Runs the closing of open transactions.
    """

    __slots__ = (
        "_answers",
        "_clock",
        "_closed",
        "_group",
        "_number",
        "_owner",
        "_owners",
        "_send_by_ms",
        "_streams",
        "_target_id",
        "_tasks",
        "_values",
    )

    def __init__(
        self,
        streams: OwnerStreams,
        owners: Callable[[str], list[tuple[str, str]]],
        group: str,
        target_id: str,
        clock: Clock,
        tasks: Tasks,
    ) -> None:
        self._streams = streams
        self._owners = owners
        self._group = group
        self._target_id = target_id
        self._clock = clock
        self._tasks = tasks
        self._closed = False
        self._number = streams.new_link_number()
        # Owner of the link on which a transaction is open, and the stream to it.
        self._owner: tuple[str, RpcClient] | None = None
        self._values: dict[str, str] = {}
        self._answers: deque[TargetAnswer] = deque()
        # Until when the current batch may be sent to the target, on the clock that
        # counts suspended time.
        self._send_by_ms = math.inf

    @property
    def through_owner(self) -> bool:
        """Whether an owner picks the connection to the target for each batch."""
        return True

    @property
    def closed(self) -> bool:
        """Whether the link can't be used any more."""
        return self._closed or (self._owner is not None and self._owner[1].closed)

    async def send(
        self, commands: list[Command], urgency: Urgency | None = None
    ) -> None:
        """Run commands through an owner, and keep their answers for `receive`.

        Parameters
        ----------
        commands : list of Command
            The batch.
        urgency : Urgency or None
            How soon the answers are needed.

        Raises
        ------
        LinkLostError
            If the owner does not answer, or has lost the link to the target.
        NoLinkError
            If no owner has a link in time; nothing was sent.
        """
        if self.closed:
            raise LinkLostError("the stream to the owner is closed")
        # Left over from a batch that was not sent.
        self._answers.clear()
        remaining = [
            command for command in commands if not self._answer_locally(command)
        ]
        if not remaining:
            return
        urgency = urgency or Urgency(DEFAULT_LIMIT_MS)
        batch = RelayBatch(
            self._group,
            self._target_id,
            remaining,
            urgency.limit_ms,
            max(0.0, min(urgency.limit_ms, urgency.wait_ms)),
            urgency.priority,
            urgency.due_in_ms,
            self._number,
            self._owner is not None,
            self._values,
        )
        for command in commands:
            if command.kind is CommandKind.PREPARE:
                # The shape that the batch executes: the owner prepares it.
                batch.shape, batch.shape_writes = command.value, command.writes
        batch.organisation = urgency.organisation
        self._send_by_ms = urgency.send_by_ms
        if self._owner is not None:
            result = await self._call(*self._owner, batch)
        else:
            result = await self._run_at_any_owner(batch)
        if result.answers:
            self._answers.extend(result.answers)
        elif result.expected_ms is not None:
            raise NoLinkError(result.expected_ms)
        elif result.not_run and not batch.in_transaction:
            if not self._closed:
                await self._clock.sleep_ms(min(REFUSAL_PAUSE_MS, batch.limit_ms / 2))
            self._refuse(len(remaining), result.error)
        else:
            self._closed = True
            raise LinkLostError(result.error)

    async def _run_at_any_owner(self, batch: RelayBatch) -> RelayResult:
        """Run a batch at the first owner that soon has a link; wait at the last one.

        An owner waits no longer than the batch may be sent, which ends with a permit.
        """
        started_ms = self._clock.now_ms()
        deadline_ms = started_ms + batch.limit_ms
        wait_until_ms = started_ms + batch.wait_ms
        owners = self._owners(batch.organisation)
        # Without owners this host connects to the target itself.  The pool replaces a
        # closed link; an open one would be taken again and again.
        self._closed = not owners
        usable = self._streams.usable_of(owners)
        result = RelayResult(error="no owner can be reached", not_run=True)
        waits_ms = [
            self._streams.reports.expected_wait_ms(name, batch) for name, _ in usable
        ]
        if usable and min(waits_ms) > batch.wait_ms:
            return RelayResult(
                error="each owner's queue is too long",
                not_run=True,
                expected_ms=min(waits_ms),
            )
        usable = [
            owner
            for owner, wait_ms in zip(usable, waits_ms, strict=True)
            if wait_ms <= batch.wait_ms
        ]
        for position, wait_ms in owner_plan(len(usable), batch.organisation):
            name, address = usable[position]
            client = await self._streams.connect(name, address)
            left_ms = deadline_ms - self._clock.now_ms()
            if client is None or left_ms <= 0:
                continue
            may_wait_ms = self._send_by_ms - self._clock.boottime_ms()
            if may_wait_ms <= 0:
                return RelayResult(
                    error="the permit expired", not_run=True, expected_ms=0.0
                )
            still_ms = max(0.0, wait_until_ms - self._clock.now_ms())
            batch.limit_ms = left_ms
            batch.wait_ms = min(left_ms, wait_ms, may_wait_ms, still_ms)
            result = await self._call(name, client, batch)
            if not result.not_run:
                break
        return result

    async def receive(self) -> TargetAnswer:
        """Return the next answer.

        Returns
        -------
        TargetAnswer
            The answer.

        Raises
        ------
        LinkLostError
            If there is none.
        """
        if not self._answers:
            raise LinkLostError("the owner sent too few answers")
        return self._answers.popleft()

    def close(self) -> None:
        """Close the link; an open transaction is rolled back."""
        owner, self._owner = self._owner, None
        self._closed = True
        if owner is not None and not owner[1].closed:
            self._tasks.spawn(self._close_at_owner(owner[1]))

    async def _call(
        self, name: str, client: RpcClient, batch: RelayBatch
    ) -> RelayResult:
        # Also without an answer, a transaction may have been begun there.
        self._owner = (name, client)
        try:
            raw = await self._streams.run(name, client, batch, _reads_only(batch))
            result = decode_json(raw, RelayResult)
            self._streams.reports.record(name, batch, result.load)
        except NotSent:
            self._owner = None
            return RelayResult(error=f"owner {name} can't be reached", not_run=True)
        except OwnerLostError:
            # No transaction is open there that would have to be ended.
            self._owner = None
            self.close()
            raise
        except (NoAnswer, RpcError, msgspec.DecodeError) as error:
            self._streams.check(name, client)
            self.close()
            raise LinkLostError(f"owner {name}: {error}") from error
        except asyncio.CancelledError:
            self._streams.check(name, client)
            self.close()
            raise
        if not result.in_transaction:
            self._owner = None
        if result.error:
            result.error = f"{result.error} (at owner {name})"
        return result

    def _answer_locally(self, command: Command) -> bool:
        """Answer a command that needs no target; return whether it was one.

        Session state is kept here, and without a transaction there is nothing to roll
        back.
        """
        if command.kind is CommandKind.SET_VALUE:
            self._values = {**self._values, command.name: command.value}
        elif command.kind is CommandKind.RESET:
            self._values = {}
        elif command.kind is CommandKind.PREPARE:
            pass  # Part of the batch.
        elif command.kind is not CommandKind.ROLLBACK or self._owner is not None:
            return False
        self._answers.append(TargetAnswer())
        return True

    def _refuse(self, count: int, reason: str) -> None:
        for _ in range(count):
            self._answers.append(TargetAnswer(fault=TargetFault.BUSY, detail=reason))

    async def _close_at_owner(self, client: RpcClient) -> None:
        try:
            await client.call(CLOSE, RelayClose(self._number), CLOSE_TIMEOUT_MS)
        except (NoAnswer, NotSent, RpcError):
            # The owner rolls back when the stream closes.
            client.close()


def _reads_only(batch: RelayBatch) -> bool:
    """Return whether a batch only reads, outside a transaction.

    A read may run twice; a transaction that was begun would have to be ended.
    """
    return not (batch.in_transaction or batch.shape_writes) and all(
        command.kind is CommandKind.STATEMENT and not command.statement.writes
        for command in batch.commands
    )


class RelayDriver:
    """Opens links to targets, through owners where those hold the connections.

    Parameters
    ----------
    direct : LinkDriver
        Opens connections to targets.
    owners : callable
        Returns name and address of the owners of a target, in the order in which the
        organisation with a given name uses them; empty if this host connects to the
        target itself.
    streams : OwnerStreams
        Streams to owners.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        direct: LinkDriver,
        owners: Callable[[str, str], list[tuple[str, str]]],
        streams: OwnerStreams,
        clock: Clock,
    ) -> None:
        self._direct = direct
        self._owners = owners
        self._streams = streams
        self._clock = clock
        self._tasks = Tasks()

    async def open(
        self,
        group: str,
        target_id: str,
        address: str,
        limit_ms: float,
        organisation: str = "",
    ) -> TargetLink:
        """Open a link to a target.

        Parameters
        ----------
        group : str
            Group of the target.
        target_id : str
            The target.
        address : str
            Its address.
        limit_ms : float
            Time limit in milliseconds.
        organisation : str
            Organisation that a connection to the target serves; empty if none.

        Returns
        -------
        TargetLink
            A link through an owner if there are any, else a connection to the target.

        Raises
        ------
        LinkRefusedError
            If the target can't be reached or refuses the connection, or if none of its
            owners can be reached.
        """
        owners = self._owners(target_id, organisation)
        if not owners:
            return await self._direct.open(
                group, target_id, address, limit_ms, organisation
            )
        usable = self._streams.usable_of(owners)
        for name, owner_address in usable:
            if await self._streams.connect(name, owner_address) is not None:
                return RelayLink(
                    self._streams,
                    lambda name: self._owners(target_id, name),
                    group,
                    target_id,
                    self._clock,
                    self._tasks,
                )
        # Says nothing about the target, so it is not reported as unreachable.
        raise LinkRefusedError(
            TargetFault.TOO_MANY_CONNECTIONS, "no owner of the target can be reached"
        )

    def usable_of(self, owners: list[tuple[str, str]]) -> list[tuple[str, str]]:
        """Return the owners of a target that are not known to be silent.

        Parameters
        ----------
        owners : list of tuple of str
            Name and address of each owner, in the order of use.

        Returns
        -------
        list of tuple of str
            Those that may be sent new work.
        """
        return self._streams.usable_of(owners)

    async def status(self, link: TargetLink) -> TargetStatus | None:
        """Return the status of a target that was connected to directly.

        Parameters
        ----------
        link : TargetLink
            The link.

        Returns
        -------
        TargetStatus or None
            None if the target is busy.

        Raises
        ------
        LinkLostError
            As the driver of direct connections.
        """
        return await self._direct.status(link)

    async def demote(self, link: TargetLink, term: int) -> TargetStatus | None:
        """Demote a target that was connected to directly.

        Parameters
        ----------
        link : TargetLink
            The link.
        term : int
            The next term.

        Returns
        -------
        TargetStatus or None
            Its status after that; None if it is busy.

        Raises
        ------
        LinkLostError
            As the driver of direct connections.
        """
        return await self._direct.demote(link, term)

    def close(self) -> None:
        """Close all streams to owners."""
        self._tasks.cancel()
        self._streams.close()
