"""Detects the loss of a primary and promotes another target.

There is no leader lease: a term is taken by a conditional write in the table
service, and targets grant each term to one promotion attempt only.  A coordinator
that resumes after a pause may have an old term, which a majority of the targets no
longer accepts.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

import msgspec
import xxhash
from fennelhill_core.clock import Clock
from fennelhill_core.events import EventLog
from fennelhill_core.platform import (
    Commit,
    StoreFault,
    StoreUnavailableError,
    TableService,
)
from fennelhill_core.rpc import NoAnswer, NotSent
from fennelhill_core.settings import EntryHost, Limits
from fennelhill_core.tasks import Tasks

from fennelhilld.membership.view import LiveView
from fennelhilld.peers.messages import PrimarySilenceQuery, PrimarySilenceReply
from fennelhilld.primary_monitor.monitor import GroupMonitor
from fennelhilld.primary_monitor.state import Member
from fennelhilld.targets.messages import (
    ControlReply,
    Fence,
    Follow,
    Promote,
    Status,
)

CHECK_INTERVAL_MS = 100.0
SILENT_CHECK_INTERVAL_MS = 20.0
# Further silence per rank before a host attempts a promotion.
RANK_DELAY_MS = 400.0
ORDER_TIMEOUT_MS = 400.0
PROMOTION_RETRY_MS = 300.0
ORPHANED_TERM_GRACE_MS = 2_000.0
REPAIR_INTERVAL_MS = 250.0
# Share of `primary_silence_ms`; a peer that reports a shorter silence has had a recent
# answer of the primary.
PEER_SILENCE_SHARE = 0.6
ATTEMPT_ID_BITS = 48

AskPeer = Callable[[EntryHost, PrimarySilenceQuery], Awaitable[PrimarySilenceReply]]


class GroupRow(msgspec.Struct):
    """The group's row in the table service.

    Parameters
    ----------
    term : int
        The highest term that was taken.
    attempt : str
        Id of the promotion attempt that took it.
    primary : str
        The target that was promoted; empty until then.
    """

    term: int = 0
    attempt: str = ""
    primary: str = ""


class FailoverCoordinator:
    """Replaces a lost primary and repairs the replication of one group.

    One runs on each host that monitors the group.

    Parameters
    ----------
    monitor : GroupMonitor
        Samples the status of the group's targets.
    view : LiveView
        The live view.
    table : TableService
        Where terms are taken.
    ask_peer : callable
        Asks another entry host how long it has had no answer from the primary.
    limits : Limits
        Time-outs and limits.
    clock : Clock
        Source of time.
    random_state : random.Random
        Generates the ids of promotion attempts.
    events : EventLog
        Records decisions.
    """

    __slots__ = (
        "_ask_peer",
        "_cause",
        "_clock",
        "_events",
        "_limits",
        "_monitor",
        "_next_attempt_ms",
        "_random",
        "_table",
        "_tasks",
        "_term_orphaned_since_ms",
        "_view",
    )

    def __init__(
        self,
        monitor: GroupMonitor,
        view: LiveView,
        table: TableService,
        ask_peer: AskPeer,
        limits: Limits,
        clock: Clock,
        random_state: random.Random,
        events: EventLog,
    ) -> None:
        self._monitor = monitor
        self._view = view
        self._table = table
        self._ask_peer = ask_peer
        self._limits = limits
        self._clock = clock
        self._random = random_state
        self._events = events
        self._tasks = Tasks()
        self._next_attempt_ms = 0.0
        self._term_orphaned_since_ms = clock.now_ms()
        self._cause = ""

    def start(self) -> None:
        """Start to check the primary and the followers."""
        self._tasks.keep_running(self._run)

    def close(self) -> None:
        """Stop.  A promotion attempt in progress is abandoned, which is safe."""
        self._tasks.cancel()

    async def _run(self) -> None:
        repaired_ms = self._clock.now_ms()
        while True:
            # Check more often while the primary is silent.
            silent = self._silence_ms() > 0
            await self._clock.sleep_ms(
                SILENT_CHECK_INTERVAL_MS if silent else CHECK_INTERVAL_MS
            )
            now_ms = self._clock.now_ms()
            due = now_ms >= self._next_attempt_ms and self._is_promotion_due()
            if due and await self._confirm_with_peers():
                self._next_attempt_ms = now_ms + PROMOTION_RETRY_MS
                await self._promote()
            elif now_ms - repaired_ms >= REPAIR_INTERVAL_MS:
                repaired_ms = now_ms
                if self._own_rank() == 0:
                    await self._repair_targets()

    # Detection.

    def _is_promotion_due(self) -> bool:
        """Return whether the primary was silent long enough for a host of this rank."""
        excess_ms = self._silence_ms() - self._limits.primary_silence_ms
        return excess_ms >= 0 and excess_ms >= self._own_rank() * RANK_DELAY_MS

    def _silence_ms(self) -> float:
        """Return how long the primary has not answered.

        Without a known primary it is the time since this process last stalled, or
        since it began to monitor the group.
        """
        primary = self._monitor.primary()
        if primary is not None:
            return self._monitor.silence_ms(primary.target.id)
        return self._clock.now_ms() - self._monitor.last_stall_ms

    def _ranked_owners(self) -> list[EntryHost]:
        """Return the hosts that own the group's targets, ordered by rank.

        The order varies by term, and is the same on all hosts with the same view and
        term.
        """
        owners = {}
        for target in self._monitor.group.targets:
            for host in self._view.candidates(target)[:1]:
                owners[host.id] = host
        seed = f"{self._monitor.name}/{self._monitor.term}"
        return sorted(
            owners.values(),
            key=lambda host: xxhash.xxh64_intdigest(f"{seed}/{host.id}".encode()),
        )

    def _own_rank(self) -> int:
        """Return this host's rank; a host that owns no target ranks last."""
        host_ids = [host.id for host in self._ranked_owners()]
        own_id = self._view.host.id
        return host_ids.index(own_id) if own_id in host_ids else len(host_ids)

    async def _confirm_with_peers(self) -> bool:
        """Return whether other owners confirm that the primary is lost.

        A fault of the network near this host must not cause a failover, so an owner
        in another zone has to agree, and no owner may have a recent answer of the
        primary or know a higher term.  Owners that don't answer are ignored.
        """
        others = [
            host for host in self._ranked_owners() if host.id != self._view.host.id
        ]
        request = PrimarySilenceQuery(self._monitor.name, self._monitor.term)
        replies = await asyncio.gather(
            *(self._ask_peer(host, request) for host in others),
            return_exceptions=True,
        )
        agreeing_count = 0
        for reply in replies:
            if isinstance(reply, NoAnswer | NotSent):
                continue
            if isinstance(reply, BaseException):
                raise reply
            min_silence_ms = PEER_SILENCE_SHARE * self._limits.primary_silence_ms
            if (
                reply.term > self._monitor.term
                or 0 <= reply.silence_ms < min_silence_ms
            ):
                return False
            agreeing_count += reply.zone != self._view.host.zone
        if not agreeing_count:
            return False
        primary = self._monitor.primary()
        self._cause = self._events.record(
            "failover.primary_lost",
            self._monitor.name,
            self._monitor.term,
            target=primary.target.id if primary else "",
            silence_ms=round(self._silence_ms()),
            agreeing_hosts=agreeing_count,
        )
        return True

    # Repair.

    async def _repair_targets(self) -> None:
        """Make all targets follow one primary, in a new term if necessary."""
        now_ms = self._clock.now_ms()
        if self._find_member_in_higher_term() is None:
            self._term_orphaned_since_ms = now_ms
            await self._align_followers()
        elif now_ms - self._term_orphaned_since_ms >= ORPHANED_TERM_GRACE_MS:
            # A promotion attempt failed after it had fenced some targets, which now
            # refuse the primary permanently.  Only in a higher term can all targets
            # follow one primary again.
            self._term_orphaned_since_ms = now_ms
            self._cause = self._events.record(
                "failover.term_orphaned",
                self._monitor.name,
                self._monitor.term,
                target=self._find_member_in_higher_term().target.id,
            )
            await self._promote()

    def _find_member_in_higher_term(self) -> Member | None:
        """Return a target that has granted a higher term than the primary's, if any.

        If no target is promoted in this term within ORPHANED_TERM_GRACE_MS, the
        attempt that took it is presumed to have failed: the term is orphaned.
        """
        primary = self._monitor.primary()
        if primary is None:
            return None
        for member in self._monitor.members.values():
            if member.status.term > primary.status.term:
                return member
        return None

    # Promotion.

    async def promote(self, cause: str) -> None:
        """Promote a target in a new term, as the last step of a switchover.

        Parameters
        ----------
        cause : str
            Id of the event that caused the promotion.
        """
        self._cause = cause
        await self._promote()

    async def _promote(self) -> None:
        """Take a new term, fence the targets and promote the most advanced one."""
        taken = await self._take_term()
        if taken is None:
            return
        row, version = taken
        fenced = await self._fence_targets(row)
        majority = len(self._monitor.members) // 2 + 1
        self._record("failover.fenced", row.term, targets=sorted(fenced))
        if len(fenced) < majority:
            self._record("failover.no_majority", row.term, needed=majority)
            return
        # For each acknowledged write, any majority contains a target that confirmed
        # it.  The log whose last entry has the highest term, and among these the
        # highest index, contains all such writes.
        chosen = max(
            fenced.values(),
            key=lambda status: (
                status.last_entry_term,
                status.position.index,
                not status.leaving,
                status.target,
            ),
        )
        reply = await self._send_order(
            chosen.target,
            lambda control: control.promote(
                Promote(row.term, row.attempt), ORDER_TIMEOUT_MS
            ),
        )
        if reply is None or not reply.obeyed:
            self._record("failover.promotion_failed", row.term, target=chosen.target)
            return
        self._record(
            "failover.promoted",
            row.term,
            target=chosen.target,
            index=chosen.position.index,
        )
        await self._align_followers()
        await self._record_primary(row, version, chosen.target)

    async def _take_term(self) -> tuple[GroupRow, int] | None:
        """Write a new term to the group's row; return the row and its version.

        Returns None if another host was faster or the table service is unavailable.
        """
        key = f"group/{self._monitor.name}"
        attempt = (
            f"{self._view.host.id}-{self._random.getrandbits(ATTEMPT_ID_BITS):012x}"
        )
        try:
            stored = await self._table.read(key)
            version = stored.version if stored else 0
            row = _decode_row(stored.value) if stored else GroupRow()
            term = max(row.term, self._monitor.term) + 1
            new_row = GroupRow(term, attempt)
            if not await self._write_row(key, version, new_row):
                self._record("failover.term_lost", term)
                return None
        except StoreUnavailableError as error:
            self._record("failover.store_unavailable", fault=error.fault.value)
            return None
        self._record("failover.term_taken", term)
        return new_row, version + 1

    async def _write_row(self, key: str, version: int, row: GroupRow) -> bool:
        """Write the row if its version is unchanged; return whether it was written.

        If the answer is lost, the row is read again to find the outcome.
        """
        value = msgspec.json.encode(row).decode()
        try:
            reply = await self._table.commit(Commit({key: version}, {key: value}))
            return reply.committed
        except StoreUnavailableError as error:
            if error.fault is not StoreFault.NO_ANSWER:
                raise
        stored = await self._table.read(key)
        return stored is not None and _decode_row(stored.value).attempt == row.attempt

    async def _fence_targets(self, row: GroupRow) -> dict[str, Status]:
        """Fence every reachable target; return the status of those that obeyed."""
        order = Fence(row.term, row.attempt)
        targets = list(self._monitor.members)
        replies = await asyncio.gather(
            *(
                self._send_order(
                    name, lambda control: control.fence(order, ORDER_TIMEOUT_MS)
                )
                for name in targets
            )
        )
        return {
            name: reply.status
            for name, reply in zip(targets, replies, strict=True)
            if reply is not None and reply.obeyed
        }

    async def _align_followers(self) -> None:
        """Order every target that doesn't follow the primary to do so.

        This includes an old primary that is reachable again.
        """
        primary = self._monitor.primary()
        if primary is None or self._silence_ms() > self._limits.sample_timeout_ms:
            return
        term = primary.status.term
        for member in self._monitor.members.values():
            if member is not primary and _needs_follow_order(member, primary):
                order = Follow(term, primary.target.id)
                reply = await self._send_order(
                    member.target.id,
                    lambda control, order=order: control.follow(
                        order, ORDER_TIMEOUT_MS
                    ),
                )
                if reply is not None and reply.obeyed:
                    self._record("failover.follows", term, target=member.target.id)

    async def _record_primary(self, row: GroupRow, version: int, target: str) -> None:
        """Record the primary in the row for operators; targets don't depend on it."""
        row.primary = target
        key = f"group/{self._monitor.name}"
        try:
            await self._write_row(key, version, row)
        except StoreUnavailableError as error:
            self._record(
                "failover.store_unavailable", row.term, fault=error.fault.value
            )

    async def _send_order(
        self, name: str, send: Callable[..., Awaitable[ControlReply]]
    ) -> ControlReply | None:
        """Send an order to a target; return the reply, or None if there is none."""
        control = self._monitor.members[name].control
        if control is None or control.closed:
            return None
        try:
            reply = await send(control)
        except (NoAnswer, NotSent):
            return None
        self._monitor.record_status(name, reply.status)
        return reply

    def _record(self, kind: str, term: int = 0, **detail: object) -> None:
        self._cause = self._events.record(
            kind, self._monitor.name, term or self._monitor.term, self._cause, **detail
        )


def _needs_follow_order(member: Member, primary: Member) -> bool:
    status = member.status
    if status.term > primary.status.term or (not status.term and not member.control):
        return False
    return status.leader != primary.target.id or status.term < primary.status.term


def _decode_row(value: str) -> GroupRow:
    return msgspec.json.decode(value, type=GroupRow)
