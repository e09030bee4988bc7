"""Monitors the targets of a database group: roles, log positions, freshness."""

from __future__ import annotations

import asyncio
from functools import partial

from fennelhill_core.clock import Clock, timeout_ms
from fennelhill_core.events import EventLog
from fennelhill_core.rpc import NoAnswer, NotSent
from fennelhill_core.settings import Group, Limits
from fennelhill_core.streams import DialError
from fennelhill_core.tasks import Tasks
from fennelhill_core.tokens import Position

from fennelhilld.peers.messages import GroupView, TargetView
from fennelhilld.primary_monitor.confirmations import WriteConfirmations
from fennelhilld.primary_monitor.samples import Sample, Samples, covers
from fennelhilld.primary_monitor.state import Member
from fennelhilld.targets.driver import (
    TargetDriver,
    TooManyConnectionsError,
)
from fennelhilld.targets.messages import Status

RECONNECT_DELAY_MS = 200.0
# A round that is late by more than this shows that this process was paused.
STALL_MS = 250.0
PRIMARY_SEARCH_INTERVAL_MS = 30.0
# A group that was used within this time is sampled at the shorter interval.
ACTIVE_WINDOW_MS = 2_000.0


class _Round:
    """One status query to all targets at the same time.

    Parameters
    ----------
    started_ms : float
        When the queries were sent.
    """

    __slots__ = ("done", "replies", "started_ms")

    def __init__(self, started_ms: float) -> None:
        self.started_ms = started_ms
        self.replies: dict[str, Status] = {}
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def finish(self) -> None:
        if not self.done.done():
            self.done.set_result(None)


class GroupMonitor:
    """Monitors a group through control connections to all of its targets.

    It confirms three things, none of which needs the platform:

    * a write is confirmed once enough other targets hold it in its term;
    * a read of the primary is current if enough other targets are still in its
      term after the read (ReadIndex in Ongaro's "Consensus", 2014, section 6.4);
    * a replica's data is as fresh as the newest confirmed sample that it covers.

    Parameters
    ----------
    name : str
        Name of the group.
    group : Group
        Its settings.
    driver : TargetDriver
        Opens control connections.
    limits : Limits
        Time-outs and limits.
    clock : Clock
        Source of time.
    events : EventLog
        Records each newly found primary.
    """

    __slots__ = (
        "_clock",
        "_confirmations",
        "_driver",
        "_events",
        "_last_tick_ms",
        "_limits",
        "_next_round",
        "_on_demand_round",
        "_tasks",
        "group",
        "last_stall_ms",
        "last_used_ms",
        "members",
        "name",
        "rounds_run",
        "samples",
    )

    def __init__(
        self,
        name: str,
        group: Group,
        driver: TargetDriver,
        limits: Limits,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self.name = name
        self.group = group
        now_ms = clock.now_ms()
        self.members = {t.id: Member(t, now_ms) for t in group.targets}
        self.samples = Samples()
        self.rounds_run = 0
        self.last_stall_ms = now_ms
        self.last_used_ms = now_ms
        self._last_tick_ms = now_ms
        self._driver = driver
        self._limits = limits
        self._clock = clock
        self._events = events
        self._next_round: asyncio.Future[_Round] | None = None
        self._on_demand_round: _Round | None = None
        self._confirmations = WriteConfirmations(
            self.members, self._update_status, limits, clock
        )
        self._tasks = Tasks()

    @property
    def others_needed(self) -> int:
        """Number of targets that make a majority together with the primary."""
        return self._confirmations.others_needed

    def start(self) -> None:
        """Start the control connections and the periodic samples."""
        for member in self.members.values():
            self._tasks.keep_running(partial(self._maintain_control, member))
        self._tasks.keep_running(self._sample_periodically)

    def close(self) -> None:
        """Stop monitoring; writes that wait for a confirmation are not confirmed."""
        self._tasks.cancel()
        for member in self.members.values():
            if member.control is not None:
                member.control.close()
        self._confirmations.close()

    # State of the group.

    @property
    def term(self) -> int:
        """Highest term that any target has reported."""
        return max(member.status.term for member in self.members.values())

    def primary(self) -> Member | None:
        """Return the target that reports being primary in the highest term.

        Returns
        -------
        Member or None
            None if no target reports being primary.
        """
        primaries = [m for m in self.members.values() if m.status.primary]
        return max(primaries, key=lambda m: m.status.term, default=None)

    def age_ms(self, target: str) -> float:
        """Return the confirmed age of a target's data.

        Parameters
        ----------
        target : str
            Name of the target.

        Returns
        -------
        float
            Milliseconds, or -1 if no confirmed sample is covered.
        """
        return self.position_age_ms(self.members[target].status.position)

    def position_age_ms(self, position: Position) -> float:
        """Return the confirmed age of a log that ends at a position.

        Parameters
        ----------
        position : Position
            End of the log.

        Returns
        -------
        float
            Milliseconds, or -1 if no confirmed sample is covered.
        """
        as_of_ms = self.samples.fresh_as_of_ms(position)
        return -1.0 if as_of_ms is None else self._clock.now_ms() - as_of_ms

    def view(self) -> GroupView:
        """Return this host's view of the group, to send to another entry host.

        Returns
        -------
        GroupView
            The latest status of every target.  A primary that does not answer is not
            shown as primary.
        """
        primary = self.primary()
        if primary is not None and self._is_silent(primary):
            primary = None
        targets = {
            name: TargetView(
                member is primary,
                member.status.term,
                member.status.position,
                self.age_ms(name),
                leaving=member.status.leaving,
            )
            for name, member in self.members.items()
        }
        return GroupView(targets)

    def _is_silent(self, member: Member) -> bool:
        """Return whether a target does not answer, so that requests should be held."""
        return self.silence_ms(member.target.id) > self._limits.sample_timeout_ms

    def silence_ms(self, target: str) -> float:
        """Return how long a target has left status queries unanswered.

        Parameters
        ----------
        target : str
            Name of the target.

        Returns
        -------
        float
            Milliseconds.  Time before the end of this process's last stall does not
            count: its own pause is no reason to suspect a target.
        """
        now_ms = self._clock.now_ms()
        # This process stalled, and `_sample_periodically` has not yet run since.
        if now_ms - self._last_tick_ms > self._limits.idle_sample_ms + STALL_MS:
            return 0.0
        since_ms = self.members[target].unanswered_since_ms
        return 0.0 if since_ms is None else now_ms - max(since_ms, self.last_stall_ms)

    def record_status(self, target: str, status: Status) -> None:
        """Record a status that came with the answer to a command.

        Parameters
        ----------
        target : str
            Name of the target.
        status : Status
            The status from the answer.
        """
        self._update_status(self.members[target], status)

    def record_read_position(self, target: str, position: Position) -> None:
        """Record the log position that came with the answer to a read.

        Parameters
        ----------
        target : str
            Name of the target.
        position : Position
            End of its log at the read.
        """
        status = self.members[target].status
        if status.position.term == position.term and status.position < position:
            status.position = position

    # Confirmations.

    async def confirm_write(
        self, target: str, position: Position, limit_ms: float
    ) -> bool:
        """Wait until enough other targets hold a write; see `WriteConfirmations`.

        Parameters
        ----------
        target : str
            The target that ran the write.
        position : Position
            Where the write is in the log of its term.
        limit_ms : float
            Longest wait in milliseconds.

        Returns
        -------
        bool
            Whether it is confirmed.  If not, its outcome is unknown.
        """
        return await self._confirmations.wait(target, position, limit_ms)

    async def confirm_term(self, term: int, limit_ms: float) -> bool:
        """Confirm that a term was still current when this call was made.

        Parameters
        ----------
        term : int
            Term of a read that has just been executed.
        limit_ms : float
            Longest wait in milliseconds.

        Returns
        -------
        bool
            Whether enough other targets were still in this term afterwards.
        """
        if self.others_needed == 0:
            return True
        try:
            async with timeout_ms(limit_ms):
                # A round in flight may have started before the read, so wait for the
                # next one.  One round serves all reads that wait for it.
                this_round = await asyncio.shield(self._join_next_round())
                await asyncio.shield(this_round.done)
        except TimeoutError:
            return False
        return self._others_in_term(this_round, term) >= self.others_needed

    async def wait_for_position(
        self, target: str, need: Position, limit_ms: float
    ) -> bool:
        """Wait until a target has applied its log up to a position.

        Parameters
        ----------
        target : str
            Name of the target.
        need : Position
            The position.
        limit_ms : float
            Longest wait in milliseconds.

        Returns
        -------
        bool
            Whether it has done so.
        """
        member = self.members[target]
        if covers(member.status.position, need):
            return True
        control = member.control
        if control is None or control.closed:
            return False
        try:
            self._update_status(member, await control.wait_applied(need, limit_ms))
        except (NoAnswer, NotSent):
            return False
        return covers(member.status.position, need)

    # Background tasks.

    async def _maintain_control(self, member: Member) -> None:
        """Keep a control connection to one target open; reconnect when it closes."""
        limit_ms = self._limits.connect_timeout_ms
        while True:
            try:
                member.control = await self._driver.control(
                    member.target.address, limit_ms
                )
            except (DialError, TooManyConnectionsError):
                await self._clock.sleep_ms(RECONNECT_DELAY_MS)
                continue
            await member.control.wait_closed()

    async def _sample_periodically(self) -> None:
        """Start a round at regular intervals.

        Confirmations start further rounds; see `_join_next_round`.
        """
        while True:
            self._last_tick_ms = self._clock.now_ms()
            interval_ms = self._sample_interval_ms()
            await self._clock.sleep_ms(interval_ms)
            now_ms = self._clock.now_ms()
            if now_ms - self._last_tick_ms > interval_ms + STALL_MS:
                self.last_stall_ms = now_ms
            self._start_round()

    def _sample_interval_ms(self) -> float:
        """Return the time to the next sample: long while the group is idle."""
        limits, primary = self._limits, self.primary()
        if primary is None or self._is_silent(primary):
            # Detect the next primary soon after its promotion.
            return min(limits.sample_ms, PRIMARY_SEARCH_INTERVAL_MS)
        in_use = self._clock.now_ms() - self.last_used_ms < ACTIVE_WINDOW_MS
        if in_use or self.silence_ms(primary.target.id) > 0:
            return limits.sample_ms
        return limits.idle_sample_ms

    def _join_next_round(self) -> asyncio.Future[_Round]:
        """Return a future of the next round that starts after this call."""
        if self._next_round is None:
            self._next_round = asyncio.get_running_loop().create_future()
            if self._on_demand_round is None:
                # Reads that end in the same event loop iteration share the round.
                asyncio.get_running_loop().call_soon(self._start_on_demand_round)
        return self._next_round

    def _start_on_demand_round(self, _: object = None) -> None:
        # Only one on-demand round runs at a time, so under load many reads share the
        # next one.
        self._on_demand_round = None
        if self._next_round is not None:
            self._on_demand_round = self._start_round()
            self._on_demand_round.done.add_done_callback(self._start_on_demand_round)

    def _start_round(self) -> _Round:
        this_round = _Round(self._clock.now_ms())
        self.rounds_run += 1
        if self._next_round is not None:
            self._next_round.set_result(this_round)
            self._next_round = None
        self._tasks.spawn(self._run_round(this_round))
        return this_round

    async def _run_round(self, this_round: _Round) -> None:
        queries = [self._query_status(m, this_round) for m in self.members.values()]
        await asyncio.gather(*queries)
        this_round.finish()

    async def _query_status(self, member: Member, this_round: _Round) -> None:
        if member.unanswered_since_ms is None:
            member.unanswered_since_ms = this_round.started_ms
        control = member.control
        if control is None or control.closed:
            return
        try:
            status = await control.status(self._limits.sample_timeout_ms)
        except (NoAnswer, NotSent):
            return
        this_round.replies[member.target.id] = status
        member.unanswered_since_ms = None
        self._update_status(member, status)
        self._add_sample_if_confirmed(this_round)

    def _add_sample_if_confirmed(self, this_round: _Round) -> None:
        """Add a sample, and end the round, once a majority has confirmed the term."""
        primaries = [s for s in this_round.replies.values() if s.primary]
        primary = max(primaries, key=lambda status: status.term, default=None)
        if primary is None:
            return
        if self._others_in_term(this_round, primary.term) >= self.others_needed:
            self.samples.add(Sample(this_round.started_ms, primary.position))
            this_round.finish()

    def _others_in_term(self, this_round: _Round, term: int) -> int:
        return sum(
            1
            for status in this_round.replies.values()
            if status.term == term and not status.primary
        )

    # Status updates.

    def _update_status(self, member: Member, status: Status) -> None:
        previous = member.status
        if status.term < previous.term:
            return
        if status.primary and not previous.primary:
            self._events.record(
                "watching.primary_found", self.name, status.term, target=status.target
            )
        member.status = status
        member.lag_ms = max(0.0, self.position_age_ms(status.position))
        if status.position != previous.position or status.term != previous.term:
            self._confirmations.resolve_waiters()
