"""Policies that choose which queued request gets the next free link."""

from __future__ import annotations

from typing import Protocol

import msgspec
from fennelhill_core.registry import Registry

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


QUEUE_POLICIES: Registry[QueuePolicy] = Registry("queue policy")


@QUEUE_POLICIES.register("aim_first")
class EarliestDueFirst:
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


@QUEUE_POLICIES.register("arrival")
class ArrivalOrder:
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
