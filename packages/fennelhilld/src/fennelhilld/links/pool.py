"""The pool of links to one target."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Sequence

from fennelhill_core.clock import MS_PER_S, Clock
from fennelhill_core.tasks import Tasks
from loguru import logger

from fennelhilld.admission.order import QueuedRequest
from fennelhilld.admission.policies import LoadPolicies
from fennelhilld.admission.refusal import expected_wait_ms
from fennelhilld.directory.state import TargetEntry
from fennelhilld.links.allocation import (
    SET_UP_MS,
    WORTH_HYSTERESIS,
    IdleLink,
    IdleTransaction,
    LinkBudget,
    SetUpBudget,
    UseRates,
    least_worth,
    link_worth,
    links_kept,
    needs_another_link,
    transaction_to_end,
)
from fennelhilld.links.messages import (
    LinkDriver,
    LinkRefusedError,
    NoLinkError,
    TargetFault,
)
from fennelhilld.links.state import PooledLink, SessionContext

# Opening a connection occupies one of the target's slots, for 12 to 27 ms on the users'
# platform.
OPEN_TIMEOUT_MS = 600.0
# After "too many connections" other hosts need time to close some; a target drops
# the connections of a host that lost power after three seconds.
TOO_MANY_CONNECTIONS_BACKOFF_MS = 120.0
# After a refused or unanswered attempt to connect; a crashed target restarts within
# seconds.
UNREACHABLE_BACKOFF_MS = 100.0
# Links beyond the recent peak of use are closed after being idle this long, so that
# hosts that restart can connect.
SURPLUS_IDLE_MS = 600.0
# Calls of `trim` over which the peak of use is taken; at two calls a second, 2 s.
PEAK_SAMPLES = 4
# Answers on other links may still arrive for this long after a target has crashed.
ANSWER_IN_FLIGHT_MS = 100.0
MIN_DELAY_MS = 1.0  # resolution of timers
# A target may count a closed connection until the close has arrived there and the next
# connection is refused, which costs `TOO_MANY_CONNECTIONS_BACKOFF_MS`.
CLOSE_ARRIVAL_MS = 5.0
# Longest pause between two looks at requests that wait for a set-up.
SET_UP_RECHECK_MS = 20.0


class PoolCounters:
    """Counters for the metrics; the names are values of the label ``event``.

    Attributes
    ----------
    opened : int
        Links that were opened.
    refused : int
        Attempts to open a link that failed for another reason than ``too_many``.
    too_many : int
        Attempts to open a link that failed because the target had too many
        connections or was busy.
    turned_away : int
        Requests refused because their expected wait was too long.
    lost : int
        Links that were returned as broken.
    displaced : int
        Idle links that were closed for a link of another organisation.
    ended : int
        Idle transactions that were rolled back for the same reason.
    """

    __slots__ = (
        "displaced",
        "ended",
        "lost",
        "opened",
        "refused",
        "too_many",
        "turned_away",
    )

    def __init__(self) -> None:
        self.opened = 0
        self.refused = 0
        self.too_many = 0
        self.turned_away = 0
        self.lost = 0
        self.displaced = 0
        self.ended = 0


class _Waiter:
    """A request that waits for a link."""

    __slots__ = ("chosen", "link", "request", "started")

    def __init__(self, request: QueuedRequest) -> None:
        self.request = request
        self.link: asyncio.Future[PooledLink] = (
            asyncio.get_running_loop().create_future()
        )
        # Whether the queue policy has chosen it, and a link is being opened for it.
        self.chosen = False
        # Whether the queue policy counts it as served.
        self.started = False


class TargetPool:
    """Links of this host to one incarnation of one target.

    The target limits the connections of all hosts together.  Each host opens
    links on demand up to a limit of its own; the target's refusal is the
    backpressure, and links that were not needed recently are closed.

    Parameters
    ----------
    entry : TargetEntry
        The target.
    driver : LinkDriver
        Opens links.
    clock : Clock
        Source of time.
    link_limit : callable
        Returns how many links this host may open now.
    on_failure : callable
        Called with the reason when the target can't be reached.
    policies : LoadPolicies
        Queue order, load shedding and concurrency window.
    relayed : callable
        Returns whether links lead through an owner, so that opening one costs nothing.
    link_budget : callable
        Returns what this host may use of the target while links belong to
        organisations; None if they don't.
    window_limit : callable or None
        Returns how many requests this host may send to the target at the same time;
        None if only response times limit them.
    """

    def __init__(
        self,
        entry: TargetEntry,
        driver: LinkDriver,
        clock: Clock,
        link_limit: Callable[[], int],
        on_failure: Callable[[str], None],
        policies: LoadPolicies,
        relayed: Callable[[], bool] = lambda: False,
        link_budget: Callable[[], LinkBudget | None] = lambda: None,
        window_limit: Callable[[], int] | None = None,
    ) -> None:
        self._window_limit = window_limit
        self._relayed = relayed
        self._link_budget = link_budget
        self._set_ups = SetUpBudget()
        self._rates = UseRates()
        self._used: set[PooledLink] = set()
        self._last_closed_ms = float("-inf")
        self.entry = entry
        self.counters = PoolCounters()
        self.closed = False
        # When the target last answered on any link.
        self.last_answer_ms = float("-inf")
        self.created_ms = clock.now_ms()
        # True after a link got no answer or could not be opened, until one is opened.
        self.unreachable = False
        self.in_use = 0
        # Links in use that don't count against the window: those of idle transactions,
        # for which the target has nothing to do, and those with an overdue answer.
        self.paused = 0
        self._window = policies.new_window_policy()
        self._queue_policy = policies.new_queue_policy()
        self._refusal_policy = policies.refusal
        self._organisation_load = policies.organisation_load
        self._driver = driver
        self._clock = clock
        self._link_limit = link_limit
        self._peak_use = 0
        self._peaks: deque[int] = deque(maxlen=PEAK_SAMPLES)
        self._on_failure = on_failure
        self._idle: list[PooledLink] = []
        # Links being opened, by organisation.
        self._opening: Counter[str] = Counter()
        # In order of arrival.
        self._waiters: list[_Waiter] = []
        # Commands of this host's own that wait for a link, in order of arrival.
        self._borrowers: deque[asyncio.Future[PooledLink]] = deque()
        self._backoff_until_ms = 0.0
        self._timer_set = False
        self._tasks = Tasks()

    @property
    def open(self) -> int:
        """Links that are open or being opened."""
        return len(self._idle) + self.in_use + self._opening.total()

    @property
    def idle(self) -> int:
        """Open links that are not in use."""
        return len(self._idle)

    @property
    def waiting(self) -> int:
        """Requests that wait for a link."""
        return sum(not waiter.link.done() for waiter in self._waiters)

    def has_link_of(self, organisation: str) -> bool:
        """Return whether a connection of this host serves an organisation.

        Parameters
        ----------
        organisation : str
            Its name.

        Returns
        -------
        bool
            False if links lead through an owner.
        """
        return not self._relayed() and self._held(organisation) > 0

    def waiting_of(self, organisation: str) -> int:
        """Return how many requests of an organisation wait for a link.

        Parameters
        ----------
        organisation : str
            The organisation.

        Returns
        -------
        int
            Number of requests.
        """
        return sum(request.organisation == organisation for request in self._queued())

    @property
    def relayed(self) -> bool:
        """Whether links lead through an owner of the target."""
        return self._relayed()

    @property
    def mean_response_ms(self) -> float:
        """Mean time that the target takes for a statement, in milliseconds."""
        return self._window.mean_response_ms

    @property
    def window(self) -> int:
        """Concurrent requests that this host may send to the target."""
        if self._relayed():
            # The owner has the queue, where requests of all hosts are in order.  A
            # window by response times narrows with that queue, and then one
            # organisation's batches that wait there hold up those of others here.
            return self.link_limit
        size = self._window.size(self.link_limit)
        return size if self._window_limit is None else min(size, self._window_limit())

    @property
    def _window_open(self) -> bool:
        """Whether the window allows another request now.

        A set-up for an organisation occupies a slot, and a request waits for it.
        """
        reserved = self._opening.total() if self.by_organisation else 0
        return self.in_use - self.paused + reserved < self.window

    @property
    def _no_return_expected(self) -> bool:
        """Whether all open links are paused: none will soon serve waiting requests."""
        return self.open == self.paused

    @property
    def link_limit(self) -> int:
        """Links that this host may open."""
        limit = max(1, self._link_limit())
        if self.paused and self._relayed() and self._link_budget() is not None:
            # Only the owner's links are scarce; it ends idle transactions there.
            limit += self.paused
        return limit

    async def acquire(
        self, context: SessionContext, request: QueuedRequest
    ) -> PooledLink:
        """Take a link, and wait for one if none is idle or the window is full.

        Parameters
        ----------
        context : SessionContext
            State of the session; an idle link with the same session values is
            preferred.
        request : QueuedRequest
            Priority and deadlines of the request.

        Returns
        -------
        PooledLink
            The link, to be returned with `release`.

        Raises
        ------
        NoLinkError
            If none became free in time, or the expected wait is too long.
        LinkRefusedError
            If the target can't be reached, or the pool is closed.
        """
        if self.closed:
            raise LinkRefusedError(
                TargetFault.WRONG_TARGET,
                "target removed or replaced, or host stopping",
            )
        organisation = self._link_organisation(request)
        if self.by_organisation:
            self._rates.record(organisation, self._clock.now_ms())
        link = self._take_idle(organisation, context) if self._window_open else None
        if link is not None:
            self._queue_policy.record_start(request, self._queued())
            return self._mark_in_use(link)
        limit_ms = request.give_up_ms - self._clock.now_ms()
        if limit_ms <= 0:
            raise NoLinkError
        expected_ms = self.expected_wait_ms(request)
        if self._refusal_policy.refuses(expected_ms, limit_ms):
            self.counters.turned_away += 1
            self._record_throttled(request, "expected_wait")
            raise NoLinkError(expected_ms)
        waiter = _Waiter(request)
        self._waiters.append(waiter)
        self._grow()
        try:
            async with asyncio.timeout(limit_ms / MS_PER_S):
                return await waiter.link
        except TimeoutError:
            self._return_unclaimed(waiter)
            self._record_throttled(request, "no_link")
            raise NoLinkError from None
        except asyncio.CancelledError:
            self._return_unclaimed(waiter)
            raise
        except LinkRefusedError:
            self._record_unserved(waiter)
            raise

    async def borrow(self, wait_ms: float) -> PooledLink | None:
        """Take the next free link for a command of this host's own.

        It goes ahead of all requests, which it delays by one short command.

        Parameters
        ----------
        wait_ms : float
            Longest wait in milliseconds; with 0 only an idle link is taken.

        Returns
        -------
        PooledLink or None
            The link, to be returned with `release`; None if none became free, or if
            the links lead to owners of the target.
        """
        if self.closed or self.relayed:
            return None
        self._drop_closed()
        if self._idle:
            return self._mark_in_use(self._idle.pop())
        if wait_ms <= 0:
            return None
        borrower = asyncio.get_running_loop().create_future()
        self._borrowers.append(borrower)
        try:
            await asyncio.wait({borrower}, timeout=wait_ms / MS_PER_S)
        except asyncio.CancelledError:
            if borrower.done():
                self.release(borrower.result())
            raise
        finally:
            if not borrower.done():
                self._borrowers.remove(borrower)
        return borrower.result() if borrower.done() else None

    def release(self, link: PooledLink, broken: bool = False) -> None:
        """Return a link to the pool.

        Parameters
        ----------
        link : PooledLink
            The link.
        broken : bool
            Whether it must not be used again.
        """
        self.in_use -= 1
        self._used.discard(link)
        if broken or link.connection.closed or self.closed:
            self._close(link)
            if broken:
                self.counters.lost += 1
            self._serve_waiters()
            self._grow()
            return
        self._offer(link)

    def expected_wait_ms(self, request: QueuedRequest) -> float:
        """Estimate how long a request would wait for a link.

        Parameters
        ----------
        request : QueuedRequest
            Priority and deadlines of the request.

        Returns
        -------
        float
            Expected wait, in milliseconds.
        """
        if self.by_organisation:
            organisation = self._link_organisation(request)
            return self._queue_wait_ms(request) + self._set_up_wait_ms(organisation)
        return self._queue_wait_ms(request)

    def _queue_wait_ms(self, request: QueuedRequest) -> float:
        """Estimate how long a request waits for its turn."""
        now_ms = self._clock.now_ms()
        in_backoff = now_ms < self._backoff_until_ms
        usable_links = self.open if in_backoff else max(self.open, self.link_limit)
        usable_links = min(usable_links, self.window + self.paused)
        if self.waiting < usable_links - self.in_use:
            return 0.0  # A link is idle or may be opened.
        ahead_count = self._queue_policy.requests_ahead(
            self._queued(), request, now_ms, self.mean_response_ms
        )
        return expected_wait_ms(ahead_count, usable_links, self.mean_response_ms)

    def record_response_time(self, took_ms: float) -> None:
        """Record how long the target took for a statement.

        Parameters
        ----------
        took_ms : float
            From sending to the answer, in milliseconds.
        """
        self._window.observe(took_ms, self.link_limit)

    def record_service(self, organisation: str, service_ms: float) -> None:
        """Record what a request that had a link has cost, when it is done.

        Parameters
        ----------
        organisation : str
            Organisation of the request; empty if none.
        service_ms : float
            Time of its exchanges with the target, in milliseconds.
        """
        self._queue_policy.record_service(organisation, service_ms)
        if not self._relayed():
            # The owner counts what is relayed.
            self._organisation_load.record_service(organisation, service_ms)

    def pause(self) -> None:
        """Stop counting a link in use against the window."""
        self.paused += 1
        self._serve_waiters()
        self._grow()

    def resume(self) -> None:
        """Count a paused link against the window again, even if it is full.

        An open transaction takes precedence over requests that have not begun.
        """
        self.paused -= 1

    def trim(self) -> None:
        """Close idle links beyond the recent peak of use, and drop closed ones."""
        now_ms = self._clock.now_ms()
        self._peaks.append(self._peak_use)
        self._peak_use = self.in_use
        budget = self._current_budget()
        if budget is not None:
            self._trim_by_worth(budget)
            return
        kept = []
        surplus = self.open - max(1, *self._peaks)
        for link in self._idle:
            idle_long = now_ms - link.idle_since_ms >= SURPLUS_IDLE_MS
            if link.connection.closed or (surplus > 0 and idle_long):
                link.connection.close()
                surplus -= 1
            else:
                kept.append(link)
        self._idle = kept

    def _trim_by_worth(self, budget: LinkBudget) -> None:
        """Close the links worth least beyond those that this host keeps.

        Idle links of other organisations are no surplus: closing them costs set-ups.
        """
        now_ms = self._clock.now_ms()
        self._drop_closed()
        worths = self._worths(now_ms)
        in_use = self.open - len(self._idle)
        kept = max(1, budget.kept_links, *self._peaks) - in_use
        staying = links_kept([worths[link.organisation] for link in self._idle], kept)
        idle, self._idle = self._idle, []
        for index, link in enumerate(idle):
            idle_long = now_ms - link.idle_since_ms >= SURPLUS_IDLE_MS
            if index in staying or not idle_long:
                self._idle.append(link)
            else:
                self._close(link)

    def warm(self, organisations: Sequence[str] = ("",)) -> None:
        """Open links for the next requests if there are none.

        Parameters
        ----------
        organisations : sequence of str
            Organisations whose links are opened, the busiest first; an empty name is
            that of requests for no organisation.
        """
        if self.open > 0 or self.closed:
            return
        budget = self._current_budget()
        if budget is None:
            self._start_opening()
            return
        now_ms = self._clock.now_ms()
        if now_ms < self._backoff_until_ms:
            return
        # At least half of the places are left to what is asked for meanwhile.
        for organisation in organisations[: max(1, budget.kept_links // 2)]:
            if self._set_ups.wait_ms(now_ms, budget.set_ups_per_s) > 0:
                return
            self._set_ups.take(now_ms, budget.set_ups_per_s)
            self._start_opening(organisation)

    def answered_after(self, since_ms: float) -> bool:
        """Return whether the target has answered on any link since a given time.

        Answers within `ANSWER_IN_FLIGHT_MS` of that time do not count: the target may
        have crashed after sending them.

        Parameters
        ----------
        since_ms : float
            When a command was sent that got no answer.

        Returns
        -------
        bool
            True if only that answer, or only that link, was lost.
        """
        return self.last_answer_ms >= since_ms + ANSWER_IN_FLIGHT_MS

    def mark_unreachable(self) -> None:
        """Close idle links after a command on another link got no answer.

        Commands on them would get none either.  The target counts as unreachable until
        a new link has been opened.
        """
        self.unreachable = True
        for link in self._idle:
            self._close(link)
        self._idle = []

    def probe(self) -> None:
        """Connect to an unreachable target unless backing off or already connecting."""
        in_backoff = self._clock.now_ms() < self._backoff_until_ms
        if (
            self.unreachable
            and not self.closed
            and not self._opening.total()
            and not in_backoff
        ):
            self._start_opening(self._most_wanted())

    def close(self) -> None:
        """Close idle links now, and the others when they are released."""
        self.closed = True
        for link in self._idle:
            link.connection.close()
        self._idle = []
        self._tasks.cancel()
        self._fail_waiters(
            TargetFault.WRONG_TARGET,
            "target removed or replaced, or host stopping",
        )

    def _link_organisation(self, request: QueuedRequest) -> str:
        """Return whose link a request needs; links through owners are nobody's."""
        return request.organisation if self.by_organisation else ""

    def _take_idle(
        self, organisation: str, context: SessionContext | None = None
    ) -> PooledLink | None:
        self._drop_closed()
        usable = [
            index
            for index, link in enumerate(self._idle)
            if link.organisation == organisation
        ]
        if not usable:
            return None
        for index in reversed(usable):
            if context is not None and self._idle[index].matches(context):
                return self._idle.pop(index)
        # The most recently used link is the least likely to be broken unnoticed.
        return self._idle.pop(usable[-1])

    def _mark_in_use(self, link: PooledLink) -> PooledLink:
        self.in_use += 1
        self._used.add(link)
        self._peak_use = max(self._peak_use, self.in_use)
        link.busy_since_ms = self._clock.now_ms()
        return link

    def _close(self, link: PooledLink) -> None:
        link.connection.close()
        self._last_closed_ms = self._clock.now_ms()

    def _drop_closed(self) -> None:
        """Forget closed links, and close those that nobody may use any more.

        A connection that was opened for no organisation, while this host became an
        owner or ceased to be one, would run an organisation's statements as nobody's.
        """
        if not self._idle:
            return
        budgeted = self._link_budget() is not None
        relayed = budgeted and self._relayed()
        for link in self._idle:
            # From a time when links belonged to organisations here, or when the target
            # was reached in the other way.
            left_over = link.organisation and (relayed or not budgeted)
            if left_over or (budgeted and link.through_owner != relayed):
                self._close(link)
        self._idle = [link for link in self._idle if not link.connection.closed]

    def _offer(self, link: PooledLink) -> None:
        link.idle_since_ms = self._clock.now_ms()
        if self._borrowers and not link.through_owner:
            self._borrowers.popleft().set_result(self._mark_in_use(link))
            return
        for waiter in self._waiters:
            own = link.organisation == waiter.request.organisation
            if waiter.chosen and own and not waiter.link.done():
                # A link is being opened for it; this one is there earlier.
                waiter.link.set_result(self._mark_in_use(link))
                return
        self._idle.append(link)
        self._drop_closed()
        self._serve_waiters()
        if self._waiters:
            self._grow()

    def _serve_waiters(self) -> None:
        """Hand idle links to waiting requests as far as the window allows."""
        if self.by_organisation:
            self._allocate()
            return
        self._waiters = [waiter for waiter in self._waiters if not waiter.link.done()]
        while self._waiters and self._window_open:
            link = self._take_idle("")
            if link is None:
                return
            chosen = self._queue_policy.choose(
                [waiter.request for waiter in self._waiters],
                self._clock.now_ms(),
                self.mean_response_ms,
            )
            waiter = self._waiters.pop(chosen)
            self._record_start(waiter)
            waiter.link.set_result(self._mark_in_use(link))

    def _queued(self) -> list[QueuedRequest]:
        """Return the requests that wait to be chosen, in order of arrival."""
        return [
            waiter.request
            for waiter in self._waiters
            if not waiter.chosen and not waiter.link.done()
        ]

    def _record_throttled(self, request: QueuedRequest, decision: str) -> None:
        self._organisation_load.record_throttled(
            request.organisation, decision, self._clock.now_ms()
        )

    def _record_start(self, waiter: _Waiter) -> None:
        # A request whose link could not be opened is chosen again, and counts once.
        if not waiter.started:
            waiter.started = True
            self._queue_policy.record_start(waiter.request, self._queued())

    def _record_unserved(self, waiter: _Waiter) -> None:
        """Take back what a request is charged for that was chosen but not served."""
        if waiter.started:
            self.record_service(waiter.request.organisation, 0.0)

    def _return_unclaimed(self, waiter: _Waiter) -> None:
        self._record_unserved(waiter)
        # The link may have arrived in the same event loop iteration as the time-out.
        link = waiter.link
        if link.done() and not link.cancelled() and link.exception() is None:
            self.release(link.result())
        else:
            link.cancel()
        self._waiters = [waiter for waiter in self._waiters if not waiter.link.done()]

    def _grow(self) -> None:
        if self.by_organisation:
            self._allocate()
            return
        window_left = self.window - (self.in_use - self.paused)
        usable = self._opening.total() + len(self._idle)
        needed = min(self.waiting, window_left) - usable
        if needed <= 0 or self.closed:
            return
        now_ms = self._clock.now_ms()
        if now_ms < self._backoff_until_ms:
            if self._no_return_expected:
                self._schedule_grow(self._backoff_until_ms - now_ms)
            return
        for _ in range(needed):
            if self.open >= self.link_limit:
                return
            self._start_opening()

    @property
    def by_organisation(self) -> bool:
        """Whether each link belongs to one organisation."""
        return self._current_budget() is not None

    def _current_budget(self) -> LinkBudget | None:
        budget = self._link_budget()
        return None if budget is None or self._relayed() else budget

    def _allocate(self) -> None:
        """Serve the requests that the queue policy chooses, by links of their own.

        If there is none, one is opened, if necessary in place of the idle link that is
        least worth keeping.  So no organisation waits until another has no requests.
        Each request is offered to the policy until it is chosen, and then not again.
        """
        budget = self._current_budget()
        self._waiters = [waiter for waiter in self._waiters if not waiter.link.done()]
        if budget is None or self.closed:
            return
        self._drop_closed()
        while self._window_open:
            waiting = [waiter for waiter in self._waiters if not waiter.chosen]
            servable = self._servable(waiting, budget)
            if not servable:
                if waiting:
                    self._schedule_grow(SET_UP_RECHECK_MS)
                    self._end_idle_transaction(waiting, budget)
                return
            chosen = self._queue_policy.choose(
                [waiter.request for waiter in servable],
                self._clock.now_ms(),
                self.mean_response_ms,
            )
            waiter = servable[chosen]
            organisation = waiter.request.organisation
            link = self._take_idle(organisation)
            waiter.chosen = True
            self._record_start(waiter)
            if link is not None:
                self._waiters.remove(waiter)
                waiter.link.set_result(self._mark_in_use(link))
            else:
                self._open_for(organisation, budget)

    def _servable(self, waiting: list[_Waiter], budget: LinkBudget) -> list[_Waiter]:
        """Return the requests for which there is a link, or one may be opened."""
        now_ms = self._clock.now_ms()
        idle = Counter(link.organisation for link in self._idle)
        in_backoff = now_ms < self._backoff_until_ms
        may_open = not in_backoff and not self._set_ups.wait_ms(
            now_ms, budget.set_ups_per_s
        )
        has_place = self.open < self.link_limit
        victim = None if has_place or not may_open else self._least_worth()
        counts = Counter(waiter.request.organisation for waiter in waiting)
        organisations = {
            organisation
            for organisation, count in counts.items()
            if idle[organisation]
            or (
                may_open
                and needs_another_link(
                    self._links_in_sight(organisation), count, self.mean_response_ms
                )
                and (has_place or self._may_displace(victim, organisation))
            )
        }
        return [
            waiter for waiter in waiting if waiter.request.organisation in organisations
        ]

    def _most_wanted(self) -> str:
        """Return the organisation whose link is most likely to be used next."""
        if not self.by_organisation:
            return ""
        if self._waiters:
            return self._waiters[0].request.organisation
        return self._rates.busiest(self._clock.now_ms())

    def _end_idle_transaction(self, waiting: list[_Waiter], budget: LinkBudget) -> None:
        """Roll an idle transaction back if others wait for its place."""
        now_ms = self._clock.now_ms()
        if (
            self.open < self.link_limit
            or self._idle
            or now_ms < self._backoff_until_ms
            or self._set_ups.wait_ms(now_ms, budget.set_ups_per_s) > 0
        ):
            return
        waiting_for = {
            organisation
            for organisation in {waiter.request.organisation for waiter in waiting}
            if not self._links_in_sight(organisation)
        }
        resting = [
            link
            for link in self._used
            if link.end_transaction is not None and waiting_for - {link.organisation}
        ]
        holding = {link.organisation for link in (*self._idle, *self._used)}
        index = transaction_to_end(
            [
                IdleTransaction(link.organisation, now_ms - link.rests_since_ms)
                for link in resting
            ],
            self.link_limit,
            holding | waiting_for,
            not self._no_return_expected,
        )
        if index is not None:
            self.counters.ended += 1
            resting[index].end_transaction()

    def _links_in_sight(self, organisation: str) -> int:
        """Return how many links of an organisation are opened or returned soon."""
        returning = sum(
            link.organisation == organisation and not link.paused for link in self._used
        )
        return returning + self._opening[organisation]

    def _least_worth(self) -> PooledLink | None:
        """Return the idle link to close if another is needed, if there is one."""
        now_ms = self._clock.now_ms()
        links = [
            IdleLink(
                link.organisation,
                now_ms - link.opened_ms,
                now_ms - link.idle_since_ms,
            )
            for link in self._idle
        ]
        index = least_worth(links, self._worths(now_ms), self._wanted())
        return None if index is None else self._idle[index]

    def _wanted(self) -> set[str]:
        """Return the organisations with waiting requests."""
        return {
            waiter.request.organisation
            for waiter in self._waiters
            if not waiter.link.done()
        }

    def _may_displace(self, victim: PooledLink | None, organisation: str) -> bool:
        """Return whether a link is closed so that an organisation gets another.

        Without a link in sight it needs one in any case.
        """
        if victim is None or not self._links_in_sight(organisation):
            return victim is not None
        if victim.organisation in self._wanted():
            return False
        now_ms = self._clock.now_ms()
        gained = self._worth(organisation, self._held(organisation), now_ms)
        before = self._held(victim.organisation) - 1
        lost = self._worth(victim.organisation, before, now_ms)
        return gained > WORTH_HYSTERESIS * lost

    def _held(self, organisation: str) -> int:
        """Return how many links of an organisation are open or being opened."""
        links = (*self._idle, *self._used)
        held = sum(link.organisation == organisation for link in links)
        return held + self._opening[organisation]

    def _worth(self, organisation: str, links_before: int, now_ms: float) -> float:
        uses_per_s = self._rates.per_s(organisation, now_ms)
        return link_worth(uses_per_s, links_before, self.mean_response_ms)

    def _worths(self, now_ms: float) -> dict[str, float]:
        """Return the worth of the last link of each organisation with an idle one."""
        return {
            name: self._worth(name, self._held(name) - 1, now_ms)
            for name in {link.organisation for link in self._idle}
        }

    def _open_for(self, organisation: str, budget: LinkBudget) -> None:
        """Open a link, and close another one before if there is no place for it."""
        now_ms = self._clock.now_ms()
        if self.open >= self.link_limit:
            victim = self._least_worth()
            if victim is not None:
                self._idle.remove(victim)
                self._close(victim)
                self.counters.displaced += 1
        self._set_ups.take(now_ms, budget.set_ups_per_s)
        delay_ms = 0.0
        if self.open + 1 >= self.link_limit:
            delay_ms = max(0.0, self._last_closed_ms + CLOSE_ARRIVAL_MS - now_ms)
        self._start_opening(organisation, delay_ms)

    def _set_up_wait_ms(self, organisation: str) -> float:
        """Estimate how long a request waits for a set-up, if it needs one."""
        idle = any(link.organisation == organisation for link in self._idle)
        budget = self._current_budget()
        if idle or self._links_in_sight(organisation) or budget is None:
            return 0.0
        now_ms = self._clock.now_ms()
        pause_ms = max(
            0.0,
            self._backoff_until_ms - now_ms,
            self._set_ups.wait_ms(now_ms, budget.set_ups_per_s),
        )
        return pause_ms + SET_UP_MS

    def _schedule_grow(self, delay_ms: float) -> None:
        """Set a timer to open links for waiting requests, unless one is set."""
        if not self._timer_set:
            self._timer_set = True
            self._tasks.spawn(self._grow_after_delay(max(delay_ms, MIN_DELAY_MS)))

    async def _grow_after_delay(self, delay_ms: float) -> None:
        await self._clock.sleep_ms(delay_ms)
        self._timer_set = False
        self._grow()

    def _start_opening(self, organisation: str = "", delay_ms: float = 0.0) -> None:
        self._opening[organisation] += 1
        self._tasks.spawn(self._open(organisation, delay_ms))

    async def _open(self, organisation: str, delay_ms: float) -> None:
        entry = self.entry
        try:
            if delay_ms > 0:
                await self._clock.sleep_ms(delay_ms)
            connection = await self._driver.open(
                entry.group,
                entry.id,
                entry.address,
                OPEN_TIMEOUT_MS,
                organisation,
            )
        except asyncio.CancelledError:
            self._end_opening(organisation)
            raise
        except Exception as error:
            self._end_opening(organisation)
            refusal = self._as_refusal(error)
            self._handle_refusal(refusal)
            if self.by_organisation:
                self._handle_missing_link(organisation, refusal)
            return
        self._end_opening(organisation)
        self.counters.opened += 1
        self.unreachable = False
        if self.closed:
            connection.close()
            return
        self._offer(PooledLink(connection, self._clock.now_ms(), organisation))

    def _as_refusal(self, error: Exception) -> LinkRefusedError:
        """Return why a link was not opened, so that no request waits for it."""
        if isinstance(error, LinkRefusedError):
            return error
        logger.opt(exception=error).error(
            "opening a link to {} failed unexpectedly", self.entry.id
        )
        return LinkRefusedError(TargetFault.OTHER, repr(error))

    def _handle_refusal(self, error: LinkRefusedError) -> None:
        now_ms = self._clock.now_ms()
        if error.fault in (TargetFault.TOO_MANY_CONNECTIONS, TargetFault.BUSY):
            self.counters.too_many += 1
            self._backoff_until_ms = now_ms + TOO_MANY_CONNECTIONS_BACKOFF_MS
            if self._no_return_expected and self.waiting:
                self._schedule_grow(TOO_MANY_CONNECTIONS_BACKOFF_MS)
            return
        self.counters.refused += 1
        self.unreachable = True
        self._on_failure(str(error))
        self._backoff_until_ms = now_ms + UNREACHABLE_BACKOFF_MS
        if self.open == 0:
            self._fail_waiters(error.fault, str(error))

    def _end_opening(self, organisation: str) -> None:
        self._opening[organisation] -= 1
        if self._opening[organisation] == 0:
            del self._opening[organisation]

    def _handle_missing_link(self, organisation: str, error: LinkRefusedError) -> None:
        """Offer a request to the queue policy again, whose link was not opened.

        If the target can't be reached and the organisation has no link, none of its
        requests waits any longer.
        """
        if self.unreachable and not self._held(organisation):
            others = [
                waiter
                for waiter in self._waiters
                if waiter.request.organisation != organisation
            ]
            self._waiters = [item for item in self._waiters if item not in others]
            self._fail_waiters(error.fault, str(error))
            self._waiters = others
        for waiter in self._waiters:
            if waiter.chosen and (waiter.request.organisation == organisation):
                waiter.chosen = False
                break
        self._allocate()

    def _fail_waiters(self, fault: TargetFault, detail: str) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.link.done():
                waiter.link.set_exception(LinkRefusedError(fault, detail))
