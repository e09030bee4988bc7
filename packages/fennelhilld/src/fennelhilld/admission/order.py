"""Policies that choose which queued request gets the next free link."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Mapping
from typing import Protocol, Self

import msgspec
from fennelhill_core.registry import Registry

from fennelhilld.admission.weights import DEFAULT_WEIGHT

# Each priority class is ranked as if due this much later than the next more urgent one.
# Half of the users' shortest latency objective (120 ms), so that no class starves.
PRIORITY_STEP_MS = 60.0
# Every sixteenth choice is a late request, the one that gives up first, so that late
# requests are answered before their clients give up, even while others can still be in
# time.
LATE_REQUEST_INTERVAL = 16
# Service times vary: a request with less time left than this many mean service
# times is late more often than not, and would delay one that can still be in time.
MIN_SERVICE_TIMES = 2.0
# If nothing of the organisations whose turn it is can still be in time, organisations
# that are up to this much service time ahead of them take part, so that fewer links are
# spent on late answers.  Without it goodput is lower when all organisations together
# overload the targets; with much more a flood costs the others answers in time.
LATE_TOLERANCE_MS = 100.0
NEWEST_WEIGHT = 0.1  # weight of the newest service time in the moving average
INITIAL_SERVICE_MS = 15.0  # before the first observation: typical for the users
# Organisations that are remembered at least before those without effect are dropped.
MIN_TAGS = 64


class QueuedRequest(msgspec.Struct):
    """Priority and deadlines of a request that waits for a link.

    Parameters
    ----------
    priority : int
        Priority class; a lower number is more urgent.
    due_ms : float
        When its answer is due by its latency objective, on this host's clock.
    give_up_ms : float
        When it stops waiting for a link, on this host's clock.
    organisation : str
        Organisation that it belongs to; empty if none.
    """

    priority: int
    due_ms: float
    give_up_ms: float
    organisation: str = ""


class QueuePolicy(Protocol):
    """Chooses the next request of a queue, which is in order of arrival."""

    @classmethod
    def from_config(cls, weights: Mapping[str, float]) -> Self:
        """Create the policy with the organisations' weights."""

    def choose(
        self, queue: list[QueuedRequest], now_ms: float, service_ms: float
    ) -> int:
        """Return the index of the request that is served next."""

    def requests_ahead(
        self,
        queue: list[QueuedRequest],
        request: QueuedRequest,
        now_ms: float,
        service_ms: float,
    ) -> int:
        """Return how many queued requests would be served before a new one."""

    def record_start(self, request: QueuedRequest, queue: list[QueuedRequest]) -> None:
        """Record that a request got a link while `queue` still waits for one."""

    def record_service(self, organisation: str, service_ms: float) -> None:
        """Record the target's time for a request that was started before."""


QUEUE_POLICIES: Registry[QueuePolicy] = Registry("queue policy")


class _WithoutShares:
    """Ignores what organisations were served."""

    __slots__ = ()

    @classmethod
    def from_config(cls, weights: Mapping[str, float]) -> Self:
        """Create the policy.

        Parameters
        ----------
        weights : mapping
            Ignored.

        Returns
        -------
        QueuePolicy
            The policy.
        """
        return cls()

    def record_start(self, request: QueuedRequest, queue: list[QueuedRequest]) -> None:
        """Do nothing.

        Parameters
        ----------
        request : QueuedRequest
            The request that got a link.
        queue : list of QueuedRequest
            Requests that still wait.
        """

    def record_service(self, organisation: str, service_ms: float) -> None:
        """Do nothing.

        Parameters
        ----------
        organisation : str
            Organisation of the request.
        service_ms : float
            Time that the target spent on it, in milliseconds.
        """


@QUEUE_POLICIES.register("aim_first")
class EarliestDueFirst(_WithoutShares):
    """Serves requests that can still be in time first, by due time and priority.

    Queues form while a group has no leader, at a slow target and in bursts.  If
    requests were served in order of arrival, the whole queue would delay each of
    them, including those that have just arrived.
    """

    __slots__ = ("_choice_count",)

    def __init__(self) -> None:
        self._choice_count = 0

    def choose(
        self, queue: list[QueuedRequest], now_ms: float, service_ms: float
    ) -> int:
        """Return the index of the request that is served next.

        Parameters
        ----------
        queue : list of QueuedRequest
            Queued requests in order of arrival; at least one.
        now_ms : float
            Time on this host's clock.
        service_ms : float
            Mean time that a request occupies a link, in milliseconds.

        Returns
        -------
        int
            Index into the queue.
        """
        self._choice_count += 1
        in_time, late = [], []
        for index, request in enumerate(queue):
            can_be_in_time = _can_be_in_time(request, now_ms, service_ms)
            (in_time if can_be_in_time else late).append(index)
        if late and (not in_time or self._choice_count % LATE_REQUEST_INTERVAL == 0):
            return min(late, key=lambda index: queue[index].give_up_ms)
        return min(in_time, key=lambda index: _due_rank_ms(queue[index]))

    def requests_ahead(
        self,
        queue: list[QueuedRequest],
        request: QueuedRequest,
        now_ms: float,
        service_ms: float,
    ) -> int:
        """Return how many queued requests would be served before a new one.

        Parameters
        ----------
        queue : list of QueuedRequest
            Queued requests.
        request : QueuedRequest
            The new request.
        now_ms : float
            Time on this host's clock.
        service_ms : float
            Mean time that a request occupies a link, in milliseconds.

        Returns
        -------
        int
            Number of requests.  Late ones count only if the new request is late too.
        """
        in_time = [
            queued_request
            for queued_request in queue
            if _can_be_in_time(queued_request, now_ms, service_ms)
        ]
        if not _can_be_in_time(request, now_ms, service_ms):
            return len(queue)
        return sum(
            _due_rank_ms(queued_request) <= _due_rank_ms(request)
            for queued_request in in_time
        )


@QUEUE_POLICIES.register("fair_shares")
class FairShares:
    """Shares a target's time between organisations; the order is as in `aim_first`.

    Answers the flood of one organisation: in one queue by due time, its requests would
    delay those of all others.  Start-time fair queueing (Goyal and others, 1996) over
    the measured service time: each organisation has a virtual time, which its service
    divided by its weight advances.  The ones that are furthest behind are served, and
    their requests in the order of `aim_first`.  Nobody saves up a claim while it
    has nothing queued, and no link is kept free.  With one organisation, or none, it
    is `aim_first`.

    Parameters
    ----------
    weights : mapping or None
        Weight by organisation, above 0; 1 for those not listed.
    """

    __slots__ = (
        "_max_tags",
        "_mean_service_ms",
        "_order",
        "_pending",
        "_tags",
        "_virtual_ms",
        "_weights",
    )

    def __init__(self, weights: Mapping[str, float] | None = None) -> None:
        self._order = EarliestDueFirst()
        self._weights = weights or {}
        # Virtual time at which each organisation's next request would start; one that
        # is missing, or behind the queue's virtual time, starts at the latter.
        self._tags: dict[str, float] = {}
        self._virtual_ms = 0.0
        self._max_tags = MIN_TAGS
        self._mean_service_ms = INITIAL_SERVICE_MS
        # Service times that were assumed for requests in progress, oldest first.
        self._pending: dict[str, deque[float]] = {}

    @classmethod
    def from_config(cls, weights: Mapping[str, float]) -> Self:
        """Create the policy.

        Parameters
        ----------
        weights : mapping
            Weight by organisation, above 0; 1 for those not listed.

        Returns
        -------
        FairShares
            The policy.
        """
        return cls(weights)

    def choose(
        self, queue: list[QueuedRequest], now_ms: float, service_ms: float
    ) -> int:
        """Return the index of the request that is served next.

        Parameters
        ----------
        queue : list of QueuedRequest
            Queued requests in order of arrival; at least one.
        now_ms : float
            Time on this host's clock.
        service_ms : float
            Mean time that a request occupies a link, in milliseconds.

        Returns
        -------
        int
            Index into the queue.
        """
        tags = {request.organisation: 0.0 for request in queue}
        for organisation in tags:
            tags[organisation] = self._tag(organisation)
        first_ms = min(tags.values())
        eligible = [
            index
            for index, request in enumerate(queue)
            if tags[request.organisation] <= first_ms
        ]
        if not any(
            _can_be_in_time(queue[index], now_ms, service_ms) for index in eligible
        ):
            eligible = [
                index
                for index, request in enumerate(queue)
                if tags[request.organisation] <= first_ms + LATE_TOLERANCE_MS
            ]
        chosen = self._order.choose(
            [queue[index] for index in eligible], now_ms, service_ms
        )
        return eligible[chosen]

    def requests_ahead(
        self,
        queue: list[QueuedRequest],
        request: QueuedRequest,
        now_ms: float,
        service_ms: float,
    ) -> int:
        """Return how many queued requests would be served before a new one.

        Parameters
        ----------
        queue : list of QueuedRequest
            Queued requests.
        request : QueuedRequest
            The new request.
        now_ms : float
            Time on this host's clock.
        service_ms : float
            Mean time that a request occupies a link, in milliseconds.

        Returns
        -------
        int
            Those of its own organisation as in `aim_first`, and of each other one as
            many as fit into that one's share until then.
        """
        own = [item for item in queue if item.organisation == request.organisation]
        ahead = self._order.requests_ahead(own, request, now_ms, service_ms)
        if len(own) == len(queue):
            return ahead
        own_cost_ms = self._cost_ms(request.organisation, service_ms)
        start_ms = self._tag(request.organisation) + ahead * own_cost_ms
        others = Counter(
            item.organisation
            for item in queue
            if item.organisation != request.organisation
        )
        for organisation, count in others.items():
            until_ms = start_ms - self._tag(organisation)
            if until_ms >= 0:
                cost_ms = self._cost_ms(organisation, service_ms)
                ahead += min(count, int(until_ms / cost_ms) + 1)
        return ahead

    def record_start(self, request: QueuedRequest, queue: list[QueuedRequest]) -> None:
        """Charge a request that got a link with the mean service time.

        Parameters
        ----------
        request : QueuedRequest
            The request.
        queue : list of QueuedRequest
            Requests that still wait.
        """
        organisation = request.organisation
        if not queue and not self._pending:
            # The target was idle, so nobody is owed anything any more.
            self._virtual_ms = max([self._virtual_ms, *self._tags.values()])
            self._tags = {}
        start_ms = self._tag(organisation)
        waiting = {item.organisation for item in queue}
        behind_ms = min((self._tag(name) for name in waiting), default=start_ms)
        self._virtual_ms = max(self._virtual_ms, min(start_ms, behind_ms))
        cost_ms = self._cost_ms(organisation, self._mean_service_ms)
        self._tags[organisation] = start_ms + cost_ms
        self._pending.setdefault(organisation, deque()).append(cost_ms)
        if len(self._tags) > self._max_tags:
            self._tags = {
                name: tag_ms
                for name, tag_ms in self._tags.items()
                if tag_ms > self._virtual_ms or name in self._pending
            }
            self._max_tags = max(MIN_TAGS, 2 * len(self._tags))

    def record_service(self, organisation: str, service_ms: float) -> None:
        """Replace the assumed service time of a request by the measured one.

        Parameters
        ----------
        organisation : str
            Organisation of the request.
        service_ms : float
            Time that the target spent on it, in milliseconds; 0 if nothing was sent.
        """
        pending = self._pending.get(organisation)
        if pending is None:
            return
        correction_ms = self._cost_ms(organisation, service_ms) - pending.popleft()
        if not pending:
            del self._pending[organisation]
        self._tags[organisation] = self._tags.get(organisation, 0.0) + correction_ms
        if service_ms > 0:
            difference_ms = service_ms - self._mean_service_ms
            self._mean_service_ms += NEWEST_WEIGHT * difference_ms

    def _tag(self, organisation: str) -> float:
        return max(self._virtual_ms, self._tags.get(organisation, 0.0))

    def _cost_ms(self, organisation: str, service_ms: float) -> float:
        return service_ms / self._weights.get(organisation, DEFAULT_WEIGHT)


@QUEUE_POLICIES.register("arrival")
class ArrivalOrder(_WithoutShares):
    """Serves in order of arrival: a baseline for ``make measure ROUND=load``."""

    __slots__ = ()

    def choose(
        self, queue: list[QueuedRequest], now_ms: float, service_ms: float
    ) -> int:
        """Return the index of the request that is served next.

        Parameters
        ----------
        queue : list of QueuedRequest
            Queued requests in order of arrival; at least one.
        now_ms : float
            Time on this host's clock.
        service_ms : float
            Mean time that a request occupies a link, in milliseconds.

        Returns
        -------
        int
            Always 0.
        """
        return 0

    def requests_ahead(
        self,
        queue: list[QueuedRequest],
        request: QueuedRequest,
        now_ms: float,
        service_ms: float,
    ) -> int:
        """Return how many queued requests would be served before a new one.

        Parameters
        ----------
        queue : list of QueuedRequest
            Queued requests.
        request : QueuedRequest
            The new request.
        now_ms : float
            Time on this host's clock.
        service_ms : float
            Mean time that a request occupies a link, in milliseconds.

        Returns
        -------
        int
            Length of the queue.
        """
        return len(queue)


def _can_be_in_time(request: QueuedRequest, now_ms: float, service_ms: float) -> bool:
    return now_ms + MIN_SERVICE_TIMES * service_ms <= request.due_ms


def _due_rank_ms(request: QueuedRequest) -> float:
    return request.due_ms + request.priority * PRIORITY_STEP_MS
