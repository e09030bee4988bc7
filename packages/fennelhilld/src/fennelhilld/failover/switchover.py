"""Switchover: replaces a primary that is leaving, without failed requests."""

from __future__ import annotations

import asyncio

from fennelhill_core.clock import Clock
from fennelhill_core.events import EventLog
from fennelhill_core.rpc import NoAnswer, NotSent

from fennelhilld.failover.coordinator import FailoverCoordinator
from fennelhilld.pooling.owned_target import OwnedTarget
from fennelhilld.primary_monitor.monitor import GroupMonitor
from fennelhilld.primary_monitor.state import Member
from fennelhilld.transactions.serve import TransactionTable

MAX_WRITE_HOLD_MS = 1_000.0
RETRY_INTERVAL_MS = 2_000.0
POLL_INTERVAL_MS = 5.0
STATUS_TIMEOUT_MS = 300.0


class Switchover:
    """Replaces the leaving primary of one group while writes are held back.

    It runs on the host that owns the leaving primary, since only that host can
    hold back all writes.  A replica then catches up, so that the promotion finds
    logs that end at the same position and chooses a target that isn't leaving.  If
    the host fails before the promotion, nothing is fenced yet and the primary keeps
    its role.  A later failure is handled like that of any other promotion attempt.

    Parameters
    ----------
    monitor : GroupMonitor
        Samples the status of the group's targets.
    coordinator : FailoverCoordinator
        Promotes the new primary.
    transactions : TransactionTable
        Open transactions, which are given time to end first.
    clock : Clock
        Source of time.
    events : EventLog
        Records decisions.
    """

    __slots__ = (
        "_clock",
        "_coordinator",
        "_events",
        "_monitor",
        "_retry_at_ms",
        "_transactions",
    )

    def __init__(
        self,
        monitor: GroupMonitor,
        coordinator: FailoverCoordinator,
        transactions: TransactionTable,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._monitor = monitor
        self._coordinator = coordinator
        self._transactions = transactions
        self._clock = clock
        self._events = events
        self._retry_at_ms = 0.0

    async def run_if_due(self, owned_targets: dict[str, OwnedTarget]) -> None:
        """Switch over if the primary is leaving and this host owns it.

        Parameters
        ----------
        owned_targets : dict
            The targets that this host owns, by name.
        """
        primary = self._monitor.primary()
        if primary is None or not primary.status.leaving:
            return
        owned = owned_targets.get(primary.target.id)
        if (
            owned is None
            or owned.writes_held
            or self._clock.now_ms() < self._retry_at_ms
        ):
            return
        self._retry_at_ms = self._clock.now_ms() + RETRY_INTERVAL_MS
        owned.writes_held = True
        try:
            await self._switch_over(primary, owned)
        finally:
            owned.writes_held = False

    async def _switch_over(self, primary: Member, owned: OwnedTarget) -> None:
        name, term = self._monitor.name, primary.status.term
        cause = self._events.record(
            "failover.switchover", name, term, target=primary.target.id
        )
        hold_deadline_ms = self._clock.now_ms() + MAX_WRITE_HOLD_MS
        ready = await self._wait_drained(owned, hold_deadline_ms)
        ready = ready and await self._wait_caught_up(primary, hold_deadline_ms)
        if not ready:
            # Release the writes; the primary serves them until the retry.
            self._events.record("failover.switchover_put_off", name, term, cause)
            return
        await self._coordinator.promote(cause)

    async def _wait_drained(self, owned: OwnedTarget, hold_deadline_ms: float) -> bool:
        """Wait until no request or open transaction is left at the target.

        Returns False if the deadline passes first.
        """
        while (
            owned.queue.busy
            or owned.queue.waiting
            or self._transactions.count_on_target(owned)
        ):
            if self._clock.now_ms() >= hold_deadline_ms:
                return False
            await self._clock.sleep_ms(POLL_INTERVAL_MS)
        return True

    async def _wait_caught_up(self, primary: Member, hold_deadline_ms: float) -> bool:
        """Wait until a target that isn't leaving has the whole log of the primary.

        Returns False if none has it in time, or the primary does not answer.
        """
        if primary.control is None:
            return False
        try:
            status = await primary.control.status(STATUS_TIMEOUT_MS)
        except (NoAnswer, NotSent):
            return False
        candidates = [
            member.target.id
            for member in self._monitor.members.values()
            if member is not primary and not member.status.leaving
        ]
        remaining_ms = hold_deadline_ms - self._clock.now_ms()
        covered = await asyncio.gather(
            *(
                self._monitor.wait_for_position(target, status.position, remaining_ms)
                for target in candidates
            )
        )
        return any(covered)
