"""Admission control for a target's slots: tiers, fair queueing and deadlines."""

from __future__ import annotations

import asyncio
import itertools
import sys

from fennelhill_core.clock import MS_PER_S, Clock
from fennelhill_core.codes import DEADLINE_PASSED, OVERLOADED, Refusal
from fennelhill_core.settings import Priority
from result import Err, Ok, Result
from sortedcontainers import SortedKeyList

INITIAL_SERVICE_MS = 5.0
NEWEST_WEIGHT = 0.1  # weight of the newest service time in the moving average
# A request that starts with less time left than this many mean service times would
# often finish after its deadline, and the slot that it used would be wasted.
MIN_SERVICE_TIMES = 2.0
RETRY_AFTER_MAX_MS = 5_000.0
RETRY_AFTER_MIN_MS = 20.0


class _Waiter:
    """A queued request."""

    __slots__ = ("deadline_ms", "future", "sequence_number", "timer")

    def __init__(self, deadline_ms: float, sequence_number: int) -> None:
        self.deadline_ms = deadline_ms
        self.sequence_number = sequence_number
        self.future: asyncio.Future = asyncio.get_running_loop().create_future()
        self.timer: asyncio.TimerHandle | None = None

    @property
    def sort_key(self) -> tuple[float, int]:
        """Order within the team: by deadline, then by arrival."""
        return (self.deadline_ms, self.sequence_number)


class _TeamQueue:
    """The queued requests of one team in one tier, earliest deadline first."""

    __slots__ = ("_waiters", "weight")

    def __init__(self) -> None:
        self._waiters: SortedKeyList = SortedKeyList(key=lambda waiter: waiter.sort_key)
        self.weight = 1.0

    def __len__(self) -> int:
        return len(self._waiters)

    def push(self, waiter: _Waiter) -> None:
        self._waiters.add(waiter)

    def pop(self) -> _Waiter:
        return self._waiters.pop(0)

    def remove(self, waiter: _Waiter) -> None:
        self._waiters.discard(waiter)

    def count_before(self, deadline_ms: float) -> int:
        return self._waiters.bisect_key_right((deadline_ms, sys.maxsize))

    def peek_last(self) -> _Waiter:
        return self._waiters[-1]


class Permit:
    """The right to occupy one slot, until it is released.

    Parameters
    ----------
    queue : AdmissionQueue
        The queue that granted the permit.
    started_ms : float
        When it was granted.
    """

    __slots__ = ("_queue", "_started_ms")

    def __init__(self, queue: AdmissionQueue, started_ms: float) -> None:
        self._queue: AdmissionQueue | None = queue
        self._started_ms = started_ms

    def release(self) -> None:
        """Give the slot to the next request.  Further calls have no effect."""
        queue, self._queue = self._queue, None
        if queue is not None:
            queue._release_slot(self._started_ms)


class AdmissionQueue:
    """Decides which request gets a slot of a target next, and which are refused.

    A higher tier goes first.  Within a tier the teams share the slots by weight
    (start-time fair queueing, Goyal and others, 1996), and within a team the
    earliest deadline goes first.  A request that can't be served in time is
    refused at once as *not run*, with the time after which it may be retried.

    Parameters
    ----------
    slots : int
        Maximum number of requests that run at the target at the same time.
    capacity : int
        Maximum number of queued requests.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_busy_count",
        "_capacity",
        "_clock",
        "_finish_tags",
        "_sequence_numbers",
        "_service_ms",
        "_team_queues",
        "_virtual_time_ms",
        "shed_count",
        "slots",
    )

    def __init__(self, slots: int, capacity: int, clock: Clock) -> None:
        self.slots = slots
        self.shed_count = 0
        self._capacity = capacity
        self._clock = clock
        self._busy_count = 0
        self._service_ms = INITIAL_SERVICE_MS
        self._team_queues: dict[Priority, dict[str, _TeamQueue]] = {
            tier: {} for tier in Priority
        }
        self._sequence_numbers = itertools.count()
        self._finish_tags: dict[str, float] = {}
        self._virtual_time_ms = 0.0

    @property
    def service_ms(self) -> float:
        """Moving average of the time that a request holds a slot, in milliseconds."""
        return self._service_ms

    @property
    def _min_remaining_ms(self) -> float:
        return MIN_SERVICE_TIMES * self._service_ms

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return sum(
            len(queue) for tier in self._team_queues.values() for queue in tier.values()
        )

    @property
    def busy(self) -> int:
        """Number of slots in use."""
        return self._busy_count

    def expected_wait_ms(self, tier: Priority = Priority.NORMAL) -> float:
        """Estimate the wait of a request that arrives now.

        Parameters
        ----------
        tier : Priority
            The request's tier.

        Returns
        -------
        float
            Expected time until it gets a slot, in milliseconds.
        """
        if self._busy_count < self.slots:
            return 0.0
        ahead_count = sum(
            len(queue)
            for other_tier, queues in self._team_queues.items()
            if other_tier <= tier
            for queue in queues.values()
        )
        return (ahead_count + 1) * self._service_ms / self.slots

    async def acquire(
        self, team: str, weight: float, tier: Priority, deadline_ms: float
    ) -> Result[Permit, Refusal]:
        """Wait for a slot.

        Parameters
        ----------
        team : str
            The customer team.
        weight : float
            The team's weight in fair queueing.
        tier : Priority
            The request's tier.
        deadline_ms : float
            When the answer must be ready, on this host's clock.

        Returns
        -------
        Result
            A permit, or a refusal of class *not run*.
        """
        now_ms = self._clock.now_ms()
        if deadline_ms <= now_ms:
            return Err(Refusal.of(DEADLINE_PASSED, "passed before admission"))
        if self._busy_count < self.slots and not self.waiting:
            self._charge(team, weight)
            self._busy_count += 1
            return Ok(Permit(self, now_ms))
        wait_ms = self._expected_team_wait_ms(team, weight, tier, deadline_ms)
        if now_ms + wait_ms + self._min_remaining_ms > deadline_ms:
            return Err(self._shed(wait_ms))
        full = self.waiting >= self._capacity
        if full and not self._evict(team, weight, tier):
            return Err(self._shed(wait_ms))
        return await self._enqueue(team, weight, tier, deadline_ms)

    def admit_pinned(self) -> Permit:
        """Admit a statement of an open transaction at once, even if no slot is free.

        The transaction holds locks.  If its next statement had to wait for a slot,
        writers that wait for these locks could occupy all slots: a deadlock.

        Returns
        -------
        Permit
            A permit that counts against the slots, so that new requests wait until
            it is released.
        """
        self._busy_count += 1
        return Permit(self, self._clock.now_ms())

    async def _enqueue(
        self, team: str, weight: float, tier: Priority, deadline_ms: float
    ) -> Result[Permit, Refusal]:
        waiter = _Waiter(deadline_ms, next(self._sequence_numbers))
        queue = self._team_queues[tier].setdefault(team, _TeamQueue())
        queue.weight = weight
        queue.push(waiter)
        # Stop waiting when the remaining time no longer suffices for the request.
        max_wait_ms = deadline_ms - self._min_remaining_ms - self._clock.now_ms()
        waiter.timer = asyncio.get_running_loop().call_later(
            max(0.0, max_wait_ms) / MS_PER_S, self._shed_waiter, queue, waiter
        )
        try:
            return await waiter.future
        except asyncio.CancelledError:
            queue.remove(waiter)
            if not waiter.future.cancelled():
                # The slot was granted just before the cancellation; pass it on.
                waiter.future.result().map(Permit.release)
            raise
        finally:
            waiter.timer.cancel()

    def _shed_waiter(self, queue: _TeamQueue, waiter: _Waiter) -> None:
        if not waiter.future.done():
            queue.remove(waiter)
            waiter.future.set_result(Err(self._shed(self._service_ms)))

    def _shed(self, wait_ms: float) -> Refusal:
        self.shed_count += 1
        retry_ms = min(max(wait_ms, RETRY_AFTER_MIN_MS), RETRY_AFTER_MAX_MS)
        detail = f"{self.waiting} requests wait for {self.slots} slots"
        return Refusal.of(OVERLOADED, detail, retry_ms)

    def _expected_team_wait_ms(
        self, team: str, weight: float, tier: Priority, deadline_ms: float
    ) -> float:
        """Estimate the wait from the queued requests that would go first."""
        ahead_count = sum(
            len(queue)
            for other_tier, queues in self._team_queues.items()
            if other_tier < tier
            for queue in queues.values()
        )
        queues = self._team_queues[tier]
        ahead_in_team_count = (
            queues[team].count_before(deadline_ms) if team in queues else 0
        )
        for other_team, queue in queues.items():
            if other_team != team:
                ahead_count += min(
                    len(queue), int((ahead_in_team_count + 1) * queue.weight / weight)
                )
        return (ahead_count + ahead_in_team_count + 1) * self._service_ms / self.slots

    def _evict(self, team: str, weight: float, tier: Priority) -> bool:
        """Evict a queued request for one of a higher tier or a team below its share.

        Only requests of the same or a lower tier are evicted, the lowest tier first:
        a poll before a booking.  Within a tier it is the last request of the team
        whose queue is longest for its weight, so that a flood of requests from one
        team can't lock out the others.  In the new request's own tier, nothing is
        evicted unless that queue is longer for its weight than the queue of the new
        request's team would be with the new request.

        Returns
        -------
        bool
            Whether a queued request was evicted.
        """
        for other_tier in sorted(Priority, reverse=True):
            queues = {
                t: queue
                for t, queue in self._team_queues[other_tier].items()
                if len(queue)
            }
            if other_tier < tier or not queues:
                continue
            longest = max(queues, key=lambda t: len(queues[t]) / queues[t].weight)
            if other_tier == tier:
                own_length = len(queues[team]) if team in queues else 0
                own_ratio = (own_length + 1) / weight
                if own_ratio >= len(queues[longest]) / queues[longest].weight:
                    return False
            self._shed_waiter(queues[longest], queues[longest].peek_last())
            return True
        return False

    def _release_slot(self, started_ms: float) -> None:
        held_ms = self._clock.now_ms() - started_ms
        self._service_ms += NEWEST_WEIGHT * (held_ms - self._service_ms)
        self._busy_count -= 1
        self._grant_free_slots()

    def _grant_free_slots(self) -> None:
        while self._busy_count < self.slots:
            waiter = self._pop_next()
            if waiter is None:
                return
            self._busy_count += 1
            waiter.future.set_result(Ok(Permit(self, self._clock.now_ms())))

    def _pop_next(self) -> _Waiter | None:
        for tier in Priority:
            queues = {
                t: queue for t, queue in self._team_queues[tier].items() if len(queue)
            }
            if not queues:
                continue
            team = min(queues, key=lambda t: self._finish_tags.get(t, 0.0))
            self._charge(team, queues[team].weight)
            return queues[team].pop()
        return None

    def _charge(self, team: str, weight: float) -> None:
        """Advance the team's finish tag by one mean service time over its weight."""
        # An idle team starts at the current virtual time, so it accumulates no credit.
        start_ms = max(self._finish_tags.get(team, 0.0), self._virtual_time_ms)
        self._virtual_time_ms = start_ms
        self._finish_tags[team] = start_ms + self._service_ms / weight
