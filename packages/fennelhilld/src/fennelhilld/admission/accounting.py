"""What organisations used of the targets, and how they were throttled."""

from __future__ import annotations

from collections import Counter

import msgspec

BUSIEST = 10  # organisations that metrics name; the others are summed
OTHERS = "(others)"
# Without a further refusal for this long, an organisation is no longer throttled.
SPELL_MS = 2_000.0


class Throttling(msgspec.Struct):
    """Requests of an organisation that one kind of decision refused.

    Parameters
    ----------
    count : int
        Number of requests.
    since_ms : float
        Start of the present or last spell, on this host's clock.
    last_ms : float
        When the last one was refused, on this host's clock.
    """

    count: int = 0
    since_ms: float = 0.0
    last_ms: float = float("-inf")


class OrganisationLoad:
    """Service time and refusals by organisation; one for all pools of a host.

    Attributes
    ----------
    service_ms : Counter
        Time that targets spent for each organisation on links of this host.
    throttled : dict
        `Throttling` by organisation and decision: ``expected_wait`` if the expected
        wait was too long, ``no_link`` if no link became free in time.
    """

    __slots__ = ("service_ms", "throttled")

    def __init__(self) -> None:
        self.service_ms: Counter[str] = Counter()
        self.throttled: dict[tuple[str, str], Throttling] = {}

    def record_service(self, organisation: str, service_ms: float) -> None:
        """Add the service time of a request.

        Parameters
        ----------
        organisation : str
            Its organisation; nothing is recorded if empty.
        service_ms : float
            Time that the target spent on it, in milliseconds.
        """
        if organisation:
            self.service_ms[organisation] += service_ms

    def record_throttled(self, organisation: str, decision: str, now_ms: float) -> None:
        """Count a refused request.

        Parameters
        ----------
        organisation : str
            Its organisation; nothing is recorded if empty.
        decision : str
            Why it was refused.
        now_ms : float
            Time on this host's clock.
        """
        if not organisation:
            return
        entry = self.throttled.setdefault((organisation, decision), Throttling())
        if now_ms - entry.last_ms > SPELL_MS:
            entry.since_ms = now_ms
        entry.count += 1
        entry.last_ms = now_ms

    def busiest_ms(self) -> dict[str, float]:
        """Return the service times of the busiest organisations, the rest summed.

        Returns
        -------
        dict
            Milliseconds by organisation, and under `OTHERS`.
        """
        busiest = dict(self.service_ms.most_common(BUSIEST))
        rest_ms = self.service_ms.total() - sum(busiest.values())
        return {**busiest, OTHERS: rest_ms} if rest_ms > 0 else busiest

    def most_throttled(self) -> list[tuple[str, str, int, float | None]]:
        """Return who was throttled by which decision, the rest summed by decision.

        Returns
        -------
        list of tuple
            Organisation or `OTHERS`, decision, number of requests, and since when on
            this host's clock in milliseconds; None for others.
        """
        entries = sorted(self.throttled.items(), key=lambda item: -item[1].count)
        rows: list[tuple[str, str, int, float | None]] = [
            (*key, entry.count, entry.since_ms) for key, entry in entries[:BUSIEST]
        ]
        rest: Counter[str] = Counter()
        for (_, decision), entry in entries[BUSIEST:]:
            rest[decision] += entry.count
        return rows + [(OTHERS, key, count, None) for key, count in rest.items()]
