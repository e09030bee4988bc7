"""Record of the answers to callers, checked against the data of the primaries."""

from __future__ import annotations

import msgspec
from fennelhilld.entry.messages import ErrorBody

from fennelhill_bench.deployment import Deployment

# `progress` contains the highest number that each session wrote, and `tick` the
# highest one that the load wrote to the group.  A read that returns a lower number
# than the caller may expect is stale.
TABLES = (
    "CREATE TABLE IF NOT EXISTS orders ("
    "id INTEGER PRIMARY KEY, request TEXT NOT NULL, session TEXT NOT NULL)",
    "CREATE TABLE IF NOT EXISTS progress (session TEXT PRIMARY KEY, n INTEGER)",
    "CREATE TABLE IF NOT EXISTS tick (id INTEGER PRIMARY KEY, n INTEGER)",
)


class SentOrder(msgspec.Struct):
    """One order that a caller sent, and its outcome according to the answers.

    Parameters
    ----------
    group : str
        The database group.
    outcome : str
        ``ran``, ``not run`` or ``unknown``; ``unknown`` until an answer states it.
    """

    group: str
    outcome: str


class Verdict(msgspec.Struct):
    """Violations of the proxy's guarantees that the check found.

    Parameters
    ----------
    lost : list of str
        Acknowledged orders that are missing from the database.
    doubled : list of str
        Orders that ran more than once.
    ran_after_all : list of str
        Orders that ran although they were refused as not run.
    stale : list of str
        Reads that returned older data than the caller accepts.
    mixed : list of str
        Answers that belong to another request.
    """

    lost: list[str] = []
    doubled: list[str] = []
    ran_after_all: list[str] = []
    stale: list[str] = []
    mixed: list[str] = []

    @property
    def kept(self) -> bool:
        """Whether every guarantee was kept."""
        return not (
            self.lost or self.doubled or self.ran_after_all or self.stale or self.mixed
        )

    def __str__(self) -> str:
        parts = [
            f"{name}={len(getattr(self, name))}" for name in self.__struct_fields__
        ]
        first = [
            f"first {name}: {getattr(self, name)[0]}"
            for name in self.__struct_fields__
            if getattr(self, name)
        ]
        return "; ".join([" ".join(parts), *first])


class Ledger:
    """Records answers to callers, independently of the state of the daemons."""

    def __init__(self) -> None:
        self.orders: dict[str, SentOrder] = {}
        self._stale: list[str] = []
        self._mixed: list[str] = []
        self._ticks: dict[str, list[tuple[float, int]]] = {}

    def record_order(self, request: str, group: str) -> None:
        """Record an order before it is sent.

        Parameters
        ----------
        request : str
            Unique name of the order.
        group : str
            The database group.
        """
        self.orders[request] = SentOrder(group, "unknown")

    def record_answer(self, request: str, error: ErrorBody | None) -> None:
        """Record the answer to an order.

        Parameters
        ----------
        request : str
            Unique name of the order.
        error : ErrorBody or None
            The refusal; None for an acknowledgement.
        """
        if error is None:
            self.orders[request].outcome = "ran"
        elif error.outcome != "outcome unknown":
            self.orders[request].outcome = "not run"

    def record_tick(self, group: str, at_ms: float, n: int) -> None:
        """Record the time at which a write to the `tick` table was acknowledged.

        Parameters
        ----------
        group : str
            The database group.
        at_ms : float
            Time of the acknowledgement.
        n : int
            The number that was written.
        """
        self._ticks.setdefault(group, []).append((at_ms, n))

    def last_tick(self, group: str, at_ms: float) -> int:
        """Return the highest tick that was acknowledged at or before a time.

        Parameters
        ----------
        group : str
            The database group.
        at_ms : float
            The time.

        Returns
        -------
        int
            The number that was written; 0 if there was none.
        """
        acknowledged = [
            n for acked_ms, n in self._ticks.get(group, []) if acked_ms <= at_ms
        ]
        return max(acknowledged, default=0)

    def check_read(self, description: str, expected: int, actual: int) -> None:
        """Record a read as stale if its value is less than the expected minimum.

        Parameters
        ----------
        description : str
            Description of the read, for the message.
        expected : int
            Lowest value that is fresh enough.
        actual : int
            Value that the read returned.
        """
        if actual < expected:
            self._stale.append(
                f"{description}: read {actual}, expected at least {expected}"
            )

    def check_answer(self, description: str, expected: str, actual: str) -> None:
        """Record an answer as mixed up unless it belongs to its request.

        Parameters
        ----------
        description : str
            Description of the request, for the message.
        expected : str
            Marker that is unique to this request.
        actual : str
            Marker in the answer.
        """
        if expected != actual:
            self._mixed.append(f"{description}: expected {expected}, got {actual}")

    def check(self, deployment: Deployment) -> Verdict:
        """Compare the record with the data of the primaries.

        Parameters
        ----------
        deployment : Deployment
            The deployment.

        Returns
        -------
        Verdict
            All violations, including those of reads.
        """
        verdict = Verdict(stale=list(self._stale), mixed=list(self._mixed))
        counts = {}
        for group in deployment.settings.groups:
            counts[group] = count_orders(deployment, group)
        for request, sent_order in self.orders.items():
            row_count = counts[sent_order.group].get(request, 0)
            if sent_order.outcome == "ran" and not row_count:
                verdict.lost.append(request)
            if sent_order.outcome == "not run" and row_count:
                verdict.ran_after_all.append(request)
            if row_count > 1:
                verdict.doubled.append(request)
        return verdict


def count_orders(deployment: Deployment, group: str) -> dict[str, int]:
    """Count the rows of each order on a group's primary.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    group : str
        The database group.

    Returns
    -------
    dict
        Number of rows by name of the order.
    """
    connection = deployment.primary(group).database.connect()
    try:
        rows = connection.execute("SELECT request, count(*) FROM orders GROUP BY 1")
        return dict(rows.fetchall())
    finally:
        connection.close()
