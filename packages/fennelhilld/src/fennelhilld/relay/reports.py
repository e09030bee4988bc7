"""What owners of targets have reported about their queues."""

from __future__ import annotations

from fennelhill_core.clock import Clock

from fennelhilld.relay.messages import LoadReport, RelayBatch

# A report is not used for longer: a queue of some statements is worked off by then.
MAX_REPORT_AGE_MS = 1_000.0
# Reports beyond this number are dropped once they are too old.
MIN_REPORTS = 256


class LoadReports:
    """The newest report of each owner, by target, organisation and priority class.

    Answers an overload at an owner: a request that can't be in time there goes to
    another owner, or is refused, before it costs a round trip and processor time of
    the owner.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_limit", "_reports")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._limit = MIN_REPORTS
        # Report, and when it was measured on this host's clock.
        self._reports: dict[tuple[str, str, str, int], tuple[LoadReport, float]] = {}

    def record(self, owner: str, batch: RelayBatch, report: LoadReport | None) -> None:
        """Keep a report in place of an older one.

        Parameters
        ----------
        owner : str
            The owner that sent it.
        batch : RelayBatch
            The batch that it answered.
        report : LoadReport or None
            The report; None if the owner sent none.
        """
        if report is None:
            return
        now_ms = self._clock.now_ms()
        measured_ms = now_ms - max(0.0, report.age_ms)
        self._reports[_key(owner, batch)] = (report, measured_ms)
        if len(self._reports) > self._limit:
            self._reports = {
                key: item
                for key, item in self._reports.items()
                if now_ms - item[1] <= MAX_REPORT_AGE_MS
            }
            self._limit = max(MIN_REPORTS, 2 * len(self._reports))

    def expected_wait_ms(self, owner: str, batch: RelayBatch) -> float:
        """Return the least time that a batch would wait for a link at an owner.

        Parameters
        ----------
        owner : str
            The owner.
        batch : RelayBatch
            The batch.

        Returns
        -------
        float
            Milliseconds; 0 without a report of the last `MAX_REPORT_AGE_MS`.  The
            reported wait shrinks with the report's age, as the queue does.
        """
        report, measured_ms = self._reports.get(_key(owner, batch), (None, 0.0))
        if report is None:
            return 0.0
        age_ms = self._clock.now_ms() - measured_ms
        if age_ms > MAX_REPORT_AGE_MS:
            return 0.0
        return max(0.0, report.expected_ms - age_ms)


def _key(owner: str, batch: RelayBatch) -> tuple[str, str, str, int]:
    return owner, batch.target_id, batch.organisation, batch.priority
