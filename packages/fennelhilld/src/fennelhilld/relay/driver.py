"""Links to targets that lead through an owner of the target."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

import msgspec
from fennelhill_core.clock import Clock
from fennelhill_core.events import EventLog
from fennelhill_core.rpc import NoAnswer, NotSent, RpcClient, RpcError
from fennelhill_core.streams import Dialer, DialError, dial_within
from fennelhill_core.tasks import Tasks

from fennelhilld.links.messages import (
    Command,
    CommandKind,
    LinkDriver,
    LinkLostError,
    TargetAnswer,
    TargetFault,
    TargetLink,
    TargetStatus,
    Urgency,
)
from fennelhilld.relay.messages import (
    CLOSE,
    RUN,
    RelayBatch,
    RelayClose,
    RelayResult,
)

DIAL_TIMEOUT_MS = 300.0
# An owner that did not answer is not used for this long.
OWNER_RETRY_MS = 2_000.0
# An owner that has sent nothing for this long while an answer is due counts as silent.
OWNER_SILENCE_MS = 250.0
# Pause before a refusal is passed on, so that the next attempt finds another state.
REFUSAL_PAUSE_MS = 30.0
CLOSE_TIMEOUT_MS = 500.0
# Longest time for the answer to commands whose sender gives no limit.
DEFAULT_LIMIT_MS = 1_000.0
# Owners that are tried for a new link, before the target itself.
MAX_OWNERS_TRIED = 3


class OwnerStreams:
    """Streams to owners of targets, one for each host.

    Parameters
    ----------
    dialer : Dialer
        Opens streams.
    clock : Clock
        Source of time.
    events : EventLog
        Records owners that can't be used.
    """

    def __init__(self, dialer: Dialer, clock: Clock, events: EventLog) -> None:
        self._dialer = dialer
        self._clock = clock
        self._events = events
        self._clients: dict[str, RpcClient] = {}
        self._locks: dict[str, asyncio.Lock] = {}
        self._silent_since_ms: dict[str, float] = {}

    def usable(self, host: str) -> bool:
        """Return whether a host has not failed to answer a moment ago.

        Parameters
        ----------
        host : str
            The host.

        Returns
        -------
        bool
            False for `OWNER_RETRY_MS` after a missing answer.
        """
        since_ms = self._silent_since_ms.get(host, float("-inf"))
        return self._clock.now_ms() - since_ms >= OWNER_RETRY_MS

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
            try:
                stream = await dial_within(self._dialer, address, DIAL_TIMEOUT_MS)
            except DialError as error:
                self.record_silence(host, str(error))
                return None
            client = self._clients[host] = RpcClient(stream)
            return client

    def record_silence(self, host: str, reason: str) -> None:
        """Record that a host did not answer; its stream is closed.

        Parameters
        ----------
        host : str
            The host.
        reason : str
            Human-readable reason.
        """
        self._silent_since_ms[host] = self._clock.now_ms()
        client = self._clients.pop(host, None)
        if client is not None:
            client.close()
        self._events.record("relay.owner_silent", owner=host, reason=reason)

    def close(self) -> None:
        """Close all streams."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()


class RelayLink:
    """A link to a target through one of its owners.

    It holds no connection to the target: each batch runs on any link of the owner,
    which is brought to this link's session state first.  Only an open transaction
    stays on one.

    Parameters
    ----------
    streams : OwnerStreams
        Streams to owners.
    client : RpcClient
        Stream to the owner.
    owner : str
        The owner.
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
        "_client",
        "_clock",
        "_closed",
        "_group",
        "_prepared",
        "_streams",
        "_target_id",
        "_tasks",
        "_transaction",
        "_values",
        "owner",
    )

    def __init__(
        self,
        streams: OwnerStreams,
        client: RpcClient,
        owner: str,
        group: str,
        target_id: str,
        clock: Clock,
        tasks: Tasks,
    ) -> None:
        self.owner = owner
        self._streams = streams
        self._client = client
        self._group = group
        self._target_id = target_id
        self._clock = clock
        self._tasks = tasks
        self._closed = False
        self._transaction = 0
        self._values: dict[str, str] = {}
        # Shape and whether it writes, by the name of the prepared statement.
        self._prepared: dict[str, tuple[str, bool]] = {}
        self._answers: deque[TargetAnswer] = deque()

    @property
    def closed(self) -> bool:
        """Whether the link can't be used any more."""
        return self._closed or self._client.closed

    async def send(
        self, commands: list[Command], urgency: Urgency | None = None
    ) -> None:
        """Run commands through the owner, and keep their answers for `receive`.

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
        """
        if self.closed:
            raise LinkLostError("the stream to the owner is closed")
        remaining = [command for command in commands if not self._replay(command)]
        if not remaining:
            return
        urgency = urgency or Urgency(DEFAULT_LIMIT_MS)
        batch = RelayBatch(
            self._group,
            self._target_id,
            remaining,
            urgency.limit_ms,
            urgency.priority,
            urgency.due_in_ms,
            self._transaction,
            self._values,
        )
        batch.shape, batch.shape_writes = self._prepared.get(
            remaining[-1].name, ("", False)
        )
        result = await self._call(batch)
        self._transaction = result.transaction
        if result.answers:
            self._answers.extend(result.answers)
        elif result.not_run and not batch.transaction:
            await self._clock.sleep_ms(min(REFUSAL_PAUSE_MS, batch.limit_ms / 2))
            self._refuse(len(remaining), result.error)
        else:
            self._closed = True
            raise LinkLostError(f"at owner {self.owner}: {result.error}")

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
        if self._transaction and not self._client.closed:
            self._tasks.spawn(self._close_transaction(self._transaction))
        self._transaction = 0
        self._closed = True

    async def _call(self, batch: RelayBatch) -> RelayResult:
        received = self._client.received_messages
        sent_ms = self._clock.now_ms()
        try:
            raw = await self._client.call(RUN, batch, batch.limit_ms)
            return msgspec.json.decode(raw, type=RelayResult)
        except NotSent:
            self._closed = True
            return RelayResult(error="the owner can't be reached", not_run=True)
        except (NoAnswer, RpcError, msgspec.DecodeError) as error:
            self._closed = True
            self._check_owner(received, sent_ms)
            raise LinkLostError(f"owner {self.owner}: {error}") from error
        except asyncio.CancelledError:
            self._closed = True
            self._check_owner(received, sent_ms)
            raise

    def _check_owner(self, received: int, sent_ms: float) -> None:
        silent = self._client.received_messages == received
        waited_ms = self._clock.now_ms() - sent_ms
        if self._client.closed or (silent and waited_ms >= OWNER_SILENCE_MS):
            self._streams.record_silence(self.owner, "no answer in time")

    def _replay(self, command: Command) -> bool:
        """Keep session state that a command sets; return whether it sets any."""
        if command.kind is CommandKind.SET_VALUE:
            self._values = {**self._values, command.name: command.value}
        elif command.kind is CommandKind.PREPARE:
            self._prepared[command.name] = (command.value, command.writes)
        elif command.kind is CommandKind.RESET:
            self._values = {}
            self._prepared = {}
        else:
            return False
        self._answers.append(TargetAnswer())
        return True

    def _refuse(self, count: int, reason: str) -> None:
        detail = f"{reason} (at owner {self.owner})"
        for _ in range(count):
            self._answers.append(TargetAnswer(fault=TargetFault.BUSY, detail=detail))

    async def _close_transaction(self, number: int) -> None:
        try:
            await self._client.call(CLOSE, RelayClose(number), CLOSE_TIMEOUT_MS)
        except (NoAnswer, NotSent, RpcError):
            # The owner rolls back when the stream closes.
            self._client.close()


class RelayDriver:
    """Opens links to targets, through owners where those hold the connections.

    Parameters
    ----------
    direct : LinkDriver
        Opens connections to targets.
    owners : callable
        Returns name and address of the owners of a target, in the order of use; empty
        if this host connects to the target itself.
    streams : OwnerStreams
        Streams to owners.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        direct: LinkDriver,
        owners: Callable[[str], list[tuple[str, str]]],
        streams: OwnerStreams,
        clock: Clock,
    ) -> None:
        self._direct = direct
        self._owners = owners
        self._streams = streams
        self._clock = clock
        self._tasks = Tasks()

    async def open(
        self, group: str, target_id: str, address: str, limit_ms: float
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

        Returns
        -------
        TargetLink
            A link through an owner if there are any; a connection to the target if
            there are none or none of them can be reached.

        Raises
        ------
        LinkRefusedError
            If the target can't be reached or refuses the connection.
        """
        usable = [
            owner for owner in self._owners(target_id) if self._streams.usable(owner[0])
        ]
        for name, owner_address in usable[:MAX_OWNERS_TRIED]:
            client = await self._streams.connect(name, owner_address)
            if client is not None:
                return RelayLink(
                    self._streams,
                    client,
                    name,
                    group,
                    target_id,
                    self._clock,
                    self._tasks,
                )
        return await self._direct.open(group, target_id, address, limit_ms)

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
