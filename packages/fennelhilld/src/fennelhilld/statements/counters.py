"""Counts and latencies of statements."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter

LATENCY_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)


class LatencyHistogram:
    """Counts durations by bucket; cheap enough to run for each statement."""

    __slots__ = ("counts",)

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BOUNDS_MS) + 1)

    def observe(self, took_ms: float) -> None:
        """Count a duration.

        Parameters
        ----------
        took_ms : float
            Duration in milliseconds.
        """
        self.counts[bisect_left(LATENCY_BOUNDS_MS, took_ms)] += 1

    def cumulative(self) -> list[tuple[str, int]]:
        """Return the number of durations at or below each bound.

        Returns
        -------
        list of tuple
            Pairs of bound and count.  Bounds are milliseconds as text; the last is
            ``+Inf``.
        """
        bounds = [*map(str, LATENCY_BOUNDS_MS), "+Inf"]
        total = 0
        rows = []
        for bound, count in zip(bounds, self.counts, strict=True):
            total += count
            rows.append((bound, total))
        return rows


class StatementCounters:
    """Counters of statements for the metrics endpoint and the log."""

    __slots__ = (
        "failures",
        "latency",
        "leader_reads",
        "permitted_reads",
        "replica_reads",
        "replica_refusals",
        "retried",
        "served",
        "writes",
    )

    def __init__(self) -> None:
        self.failures: Counter[int] = Counter()
        self.latency = LatencyHistogram()
        self.retried = 0
        self.served = 0
        self.replica_reads = 0
        self.leader_reads = 0
        # Reads that a replica may answer if it is proven fresh enough.
        self.permitted_reads = 0
        self.replica_refusals = 0
        self.writes = 0

    def record_read(self, replica_permitted: bool, at_leader: bool) -> None:
        """Count a read.

        Parameters
        ----------
        replica_permitted : bool
            Whether a replica would have been allowed to answer it.
        at_leader : bool
            Whether the leader answered it.
        """
        self.permitted_reads += replica_permitted
        if at_leader:
            self.leader_reads += 1
        else:
            self.replica_reads += 1

    def totals(self) -> dict[str, int]:
        """Return the counters by name, for the log.

        Returns
        -------
        dict
            Counts since the start; failures of all codes together.
        """
        return {
            "served": self.served,
            "writes": self.writes,
            "permitted_reads": self.permitted_reads,
            "replica_reads": self.replica_reads,
            "leader_reads": self.leader_reads,
            "replica_refusals": self.replica_refusals,
            "retried": self.retried,
            "failed": self.failures.total(),
        }

    def record_failure(self, number: int) -> None:
        """Count a failure.

        Parameters
        ----------
        number : int
            Number of its result code.
        """
        self.failures[number] += 1
