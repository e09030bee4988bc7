"""The pool of links to one target."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable

from fennelhill_core.clock import MS_PER_S, Clock
from fennelhill_core.tasks import Tasks

from fennelhilld.admission.order import QueuedRequest
from fennelhilld.admission.policies import LoadPolicies
from fennelhilld.admission.refusal import expected_wait_ms
from fennelhilld.directory.state import TargetEntry
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
    """

    __slots__ = ("lost", "opened", "refused", "too_many", "turned_away")

    def __init__(self) -> None:
        self.opened = 0
        self.refused = 0
        self.too_many = 0
        self.turned_away = 0
        self.lost = 0


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
        window_limit: Callable[[], int] | None = None,
    ) -> None:
        self._window_limit = window_limit
        self._relayed = relayed
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
        self._waiters: list[tuple[QueuedRequest, asyncio.Future[PooledLink]]] = []
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
        return sum(not waiter.done() for _, waiter in self._waiters)

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
        """Whether the window allows another request now."""
        return self.in_use - self.paused < self.window

    @property
    def _no_return_expected(self) -> bool:
        """Whether all open links are paused: none will soon serve waiting requests."""
        return self.open == self.paused

    @property
    def link_limit(self) -> int:
        """Links that this host may open."""
        return max(1, self._link_limit())

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
        waiter: asyncio.Future[PooledLink] = asyncio.get_running_loop().create_future()
        self._waiters.append((request, waiter))
        self._grow()
        try:
            async with asyncio.timeout(limit_ms / MS_PER_S):
                return await waiter
        except TimeoutError:
            self._return_unclaimed(request, waiter)
            self._record_throttled(request, "no_link")
            raise NoLinkError from None
        except asyncio.CancelledError:
            self._return_unclaimed(request, waiter)
            raise

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
        if broken or link.connection.closed or self.closed:
            link.connection.close()
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

    def warm(self) -> None:
        """Open a link for the next request if there is none."""
        if self.open == 0 and not self.closed:
            self._start_opening()

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
            link.connection.close()
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
            self._start_opening()

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
        return "" if self._relayed() else request.organisation

    def _take_idle(
        self, organisation: str, context: SessionContext | None = None
    ) -> PooledLink | None:
        self._idle = [link for link in self._idle if not link.connection.closed]
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
        self._peak_use = max(self._peak_use, self.in_use)
        link.busy_since_ms = self._clock.now_ms()
        return link

    def _offer(self, link: PooledLink) -> None:
        link.idle_since_ms = self._clock.now_ms()
        self._idle.append(link)
        self._serve_waiters()
        if self._waiters:
            self._grow()

    def _serve_waiters(self) -> None:
        """Hand idle links to waiting requests as far as the window allows."""
        self._waiters = [item for item in self._waiters if not item[1].done()]
        passed_over = set()
        while self._idle and self._window_open:
            candidates = [
                item for item in self._waiters if id(item[1]) not in passed_over
            ]
            if not candidates:
                return
            chosen = self._queue_policy.choose(
                [request for request, _ in candidates],
                self._clock.now_ms(),
                self.mean_response_ms,
            )
            request, waiter = candidates[chosen]
            organisation = self._link_organisation(request)
            link = self._take_idle(organisation)
            if link is None:
                passed_over.add(id(waiter))
                self._open_for_next(organisation)
                continue
            self._waiters.remove(candidates[chosen])
            self._queue_policy.record_start(request, self._queued())
            waiter.set_result(self._mark_in_use(link))

    def _open_for_next(self, organisation: str) -> None:
        """Open a link for the organisation whose turn it is, in place of an idle one.

        Otherwise the links of an organisation that always has requests queued would
        never be given to another.
        """
        window_left = self.window - (self.in_use - self.paused)
        if (
            self._opening[organisation]
            or self._opening.total() >= window_left
            or self._clock.now_ms() < self._backoff_until_ms
            or self.closed
        ):
            return
        if self.open >= self.link_limit:
            if not self._idle:
                return
            self._idle.pop(0).connection.close()
        self._start_opening(organisation)

    def _queued(self) -> list[QueuedRequest]:
        """Return the requests that wait for a link, in order of arrival."""
        return [request for request, waiter in self._waiters if not waiter.done()]

    def _record_throttled(self, request: QueuedRequest, decision: str) -> None:
        self._organisation_load.record_throttled(
            request.organisation, decision, self._clock.now_ms()
        )

    def _return_unclaimed(
        self, request: QueuedRequest, waiter: asyncio.Future[PooledLink]
    ) -> None:
        # The link may have arrived in the same event loop iteration as the time-out.
        if waiter.done() and not waiter.cancelled() and waiter.exception() is None:
            self.record_service(request.organisation, 0.0)
            self.release(waiter.result())
        else:
            waiter.cancel()
        self._waiters = [item for item in self._waiters if not item[1].done()]

    def _grow(self) -> None:
        window_left = self.window - (self.in_use - self.paused)
        needed = self._missing_links()[: window_left - self._opening.total()]
        if window_left <= self._opening.total() or not needed or self.closed:
            return
        now_ms = self._clock.now_ms()
        if now_ms < self._backoff_until_ms:
            if self._no_return_expected:
                self._schedule_grow(self._backoff_until_ms - now_ms)
            return
        for organisation in needed:
            if self.open >= self.link_limit and not self._close_idle():
                return
            self._start_opening(organisation)

    def _missing_links(self) -> list[str]:
        """Return the organisations of waiting requests that have no link in sight."""
        available = Counter(link.organisation for link in self._idle) + self._opening
        missing = []
        for request, waiter in self._waiters:
            organisation = self._link_organisation(request)
            if waiter.done():
                continue
            if available[organisation] > 0:
                available[organisation] -= 1
            else:
                missing.append(organisation)
        return missing

    def _close_idle(self) -> bool:
        """Close an idle link that no waiting request can use; return whether."""
        wanted = {self._link_organisation(request) for request, _ in self._waiters}
        for link in self._idle:
            if link.organisation not in wanted:
                self._idle.remove(link)
                link.connection.close()
                return True
        return False

    def _schedule_grow(self, delay_ms: float) -> None:
        """Set a timer to open links for waiting requests, unless one is set."""
        if not self._timer_set:
            self._timer_set = True
            self._tasks.spawn(self._grow_after_delay(max(delay_ms, MIN_DELAY_MS)))

    async def _grow_after_delay(self, delay_ms: float) -> None:
        await self._clock.sleep_ms(delay_ms)
        self._timer_set = False
        self._grow()

    def _start_opening(self, organisation: str = "") -> None:
        self._opening[organisation] += 1
        self._tasks.spawn(self._open(organisation))

    async def _open(self, organisation: str) -> None:
        entry = self.entry
        try:
            connection = await self._driver.open(
                entry.group,
                entry.id,
                entry.address,
                OPEN_TIMEOUT_MS,
                organisation,
            )
        except LinkRefusedError as error:
            self._opening[organisation] -= 1
            self._handle_refusal(error)
            return
        except BaseException:
            self._opening[organisation] -= 1
            raise
        self._opening[organisation] -= 1
        self.counters.opened += 1
        self.unreachable = False
        if self.closed:
            connection.close()
            return
        self._offer(PooledLink(connection, self._clock.now_ms(), organisation))

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

    def _fail_waiters(self, fault: TargetFault, detail: str) -> None:
        waiters, self._waiters = self._waiters, []
        for _, waiter in waiters:
            if not waiter.done():
                waiter.set_exception(LinkRefusedError(fault, detail))
