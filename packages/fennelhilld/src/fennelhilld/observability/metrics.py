"""Metrics in the Prometheus format."""

from __future__ import annotations

from collections import Counter as Tally
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render
from fennelhill_core.clock import Clock
from fennelhill_core.codes import CODES, Refusal

LATENCY_BOUNDS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000]
MAX_PENDING_LATENCIES = 10_000  # then they are added to the histogram


class RequestOutcome:
    """The result of a request: ``ok`` or the name of a result code."""

    __slots__ = ("code",)

    def __init__(self) -> None:
        self.code = "ok"

    def record_refusal(self, refusal: Refusal) -> None:
        """Record that the request was refused.

        Parameters
        ----------
        refusal : Refusal
            The refusal.
        """
        self.code = CODES[refusal.code].name


class Metrics:
    """Metrics of a daemon: counts of callers' requests, and registered gauges.

    A request only updates plain counters and a list of latencies.  The metrics
    library is used at a scrape, or earlier if the list has become long.

    Parameters
    ----------
    host : str
        This entry host.
    zone : str
        Its availability zone.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_clock",
        "_collectors",
        "_labels",
        "_latency",
        "_pending_latencies_ms",
        "_registry",
        "_requests",
        "_requests_total",
        "in_progress",
    )

    def __init__(self, host: str, zone: str, clock: Clock) -> None:
        self._clock = clock
        self._labels = {"host": host, "zone": zone}
        self._registry = Registry()
        self._requests: Tally[tuple[str, str]] = Tally()
        self._pending_latencies_ms: list[float] = []
        self._collectors: list[tuple[Gauge, Callable[[], dict]]] = []
        self.in_progress = 0
        self._requests_total = Counter(
            "fennelhill_requests_total",
            "Requests of callers by operation and result.",
            const_labels=self._labels,
            registry=self._registry,
        )
        self._latency = Histogram(
            "fennelhill_request_ms",
            "Time to answer a caller in milliseconds.",
            const_labels=self._labels,
            buckets=LATENCY_BOUNDS_MS,
            registry=self._registry,
        )

    @contextmanager
    def request(self, operation: str) -> Iterator[RequestOutcome]:
        """Count and time a request.

        Parameters
        ----------
        operation : str
            Name of the call.

        Yields
        ------
        RequestOutcome
            Records the refusal, if there is one.
        """
        outcome = RequestOutcome()
        started_ms = self._clock.now_ms()
        self.in_progress += 1
        try:
            yield outcome
        finally:
            self.in_progress -= 1
            self._requests[operation, outcome.code] += 1
            self._pending_latencies_ms.append(self._clock.now_ms() - started_ms)
            if len(self._pending_latencies_ms) >= MAX_PENDING_LATENCIES:
                self._flush_latency()

    def gauge(self, name: str, doc: str, read: Callable[[], dict]) -> None:
        """Register values that are read at each scrape.

        Parameters
        ----------
        name : str
            Name of the metric.
        doc : str
            Help text of the metric.
        read : callable
            Returns values by label, as ``{(("target", "a"),): 1}``.
        """
        gauge = Gauge(name, doc, const_labels=self._labels, registry=self._registry)
        self._collectors.append((gauge, read))

    def render(self) -> bytes:
        """Render all metrics as text.

        Returns
        -------
        bytes
            The Prometheus text format.
        """
        for (operation, code), count in self._requests.items():
            self._requests_total.set({"operation": operation, "result": code}, count)
        self._flush_latency()
        for gauge, read in self._collectors:
            for labels, value in read().items():
                gauge.set(dict(labels), value)
        content, _ = render(self._registry, [])
        return content

    def _flush_latency(self) -> None:
        for value_ms in self._pending_latencies_ms:
            self._latency.observe({}, value_ms)
        self._pending_latencies_ms.clear()
