"""Confirms writes: waits until a majority of the group's targets holds them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from fennelhill_core.clock import Clock, timeout_ms
from fennelhill_core.rpc import NoAnswer, NotSent
from fennelhill_core.settings import Limits
from fennelhill_core.tasks import Tasks
from fennelhill_core.tokens import Position

from fennelhilld.primary_monitor.samples import covers
from fennelhilld.primary_monitor.state import Member
from fennelhilld.targets.messages import Status

CONTROL_RETRY_DELAY_MS = 50.0


class _WriteWaiter:
    """A write that waits for its confirmation."""

    __slots__ = ("future", "position", "target")

    def __init__(self, target: str, position: Position) -> None:
        self.target = target
        self.position = position
        self.future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()


class WriteConfirmations:
    """Tracks the writes of a group that wait for confirmation.

    Parameters
    ----------
    members : dict
        The targets of the group by name.
    on_status : callable
        Called with a member and its new status.
    limits : Limits
        Time-outs and limits.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_limits", "_members", "_on_status", "_tasks", "_waiters")

    def __init__(
        self,
        members: dict[str, Member],
        on_status: Callable[[Member, Status], None],
        limits: Limits,
        clock: Clock,
    ) -> None:
        self._members = members
        self._on_status = on_status
        self._limits = limits
        self._clock = clock
        self._waiters: list[_WriteWaiter] = []
        self._tasks = Tasks()

    @property
    def others_needed(self) -> int:
        """Number of targets that make a majority together with the primary."""
        return len(self._members) // 2

    def close(self) -> None:
        """Stop; all waiting writes end as not confirmed."""
        self._tasks.cancel()
        for waiter in self._waiters:
            _resolve(waiter.future, False)

    async def wait(self, target: str, position: Position, limit_ms: float) -> bool:
        """Wait until enough other targets hold a write and are still in its term.

        Parameters
        ----------
        target : str
            The target that ran the write; its own copy does not count.
        position : Position
            Where the write is in the log of its term.
        limit_ms : float
            Longest wait in milliseconds.

        Returns
        -------
        bool
            Whether it is confirmed.  If not, its outcome is unknown.
        """
        waiter = _WriteWaiter(target, position)
        self._waiters.append(waiter)
        self.resolve_waiters()
        if not waiter.future.done():
            self._start_progress_tasks(target)
        try:
            async with timeout_ms(limit_ms):
                return await waiter.future
        except TimeoutError:
            return False
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def _start_progress_tasks(self, target: str) -> None:
        """Start a progress task for each other target that has none.

        One task serves all waiting writes, so that each target has at most one
        outstanding wait.
        """
        for name, member in self._members.items():
            if name != target and not member.has_progress_task:
                member.has_progress_task = True
                self._tasks.spawn(self._track_progress(member))

    async def _track_progress(self, member: Member) -> None:
        """Wait for one target's log to advance while writes need it.

        Each wait is for the lowest position that this target does not hold yet.  The
        answer reports the end of the target's log, so it serves all writes up to that
        position.
        """
        try:
            while (position := self._next_position(member)) is not None:
                control = member.control
                if control is None or control.closed:
                    await self._clock.sleep_ms(CONTROL_RETRY_DELAY_MS)
                    continue
                limit_ms = self._limits.sample_timeout_ms
                try:
                    status = await control.wait_applied(position, limit_ms)
                except (NoAnswer, NotSent):
                    continue
                self._on_status(member, status)
        finally:
            member.has_progress_task = False

    def _next_position(self, member: Member) -> Position | None:
        missing = [
            waiter.position
            for waiter in self._waiters
            if not waiter.future.done()
            and waiter.target != member.target.id
            and not covers(member.status.position, waiter.position)
        ]
        return min(missing, default=None)

    def resolve_waiters(self) -> None:
        """Resolve the writes that the members' latest statuses confirm or rule out."""
        for waiter in self._waiters:
            if self._is_confirmed(waiter.target, waiter.position):
                _resolve(waiter.future, True)
            elif self._is_term_lost(waiter.position.term):
                _resolve(waiter.future, False)

    def _is_confirmed(self, target: str, position: Position) -> bool:
        holding_count = sum(
            1
            for name, member in self._members.items()
            if name != target
            and member.status.position.term == position.term
            and member.status.position.index >= position.index
        )
        return holding_count >= self.others_needed

    def _is_term_lost(self, term: int) -> bool:
        """Return whether too few targets are left in a term to confirm its writes."""
        in_later_term_count = sum(
            1 for m in self._members.values() if m.status.term > term
        )
        return len(self._members) - in_later_term_count <= self.others_needed


def _resolve(future: asyncio.Future[bool], value: bool) -> None:
    if not future.done():
        future.set_result(value)
