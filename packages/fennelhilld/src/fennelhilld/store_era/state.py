"""The newest era of the store, and whether this host may vouch for what it knows."""

from __future__ import annotations

from collections.abc import Callable

from fennelhill_core.clock import Clock
from fennelhill_core.events import EventLog

# A host that starts in a later era can't know which claims it has forgotten; it does
# not vouch for them until the turn of every holder from before is over.  Hosts whose
# rows the store lost have written them again by then.
SETTLING_MS = 4_500.0
# A store that has never come back from a copy is in this era or an earlier one.
FIRST_ERA = 1


class EraWatch:
    """Notices each new era, and knows whether this host may have forgotten claims.

    Without an era in any answer the store is in era 0 throughout.

    A process that has just started may have acknowledged claims before that it does
    not know.  They were in the store before they were sent, so it knows them again once
    it has read the store.  What other hosts confirm does not show that: a claim that
    few of them know yet may still collect acknowledgements.

    Parameters
    ----------
    clock : Clock
        Source of time.
    events : EventLog
        Records each era and each value that is not believed.
    """

    __slots__ = (
        "_clock",
        "_events",
        "_heard",
        "_settled_ms",
        "change_count",
        "current",
        "disbelieved_count",
        "fleet_known",
        "on_change",
        "started_within",
    )

    def __init__(self, clock: Clock, events: EventLog) -> None:
        self._clock = clock
        self._events = events
        self.current = 0
        # Eras that began while this host ran.
        self.change_count = 0
        # Answers of the store that were not believed because of their era.
        self.disbelieved_count = 0
        # Called after each new era, in order.
        self.on_change: list[Callable[[], None]] = []
        # Whether the hosts and the claims were read in full since the start.
        self.fleet_known = False
        # Whether this host may have started after the current era began.
        self.started_within = False
        self._heard = False
        self._settled_ms = float("-inf")

    @property
    def settled(self) -> bool:
        """Whether the list of hosts is complete again after the last change.

        False for `SETTLING_MS` after an era was noticed.
        """
        return self._clock.now_ms() >= self._settled_ms

    @property
    def may_vouch(self) -> bool:
        """Whether this host knows every claim that it may have acknowledged."""
        return self.fleet_known and (self.settled or not self.started_within)

    def record_fleet_read(self) -> None:
        """Record that all hosts and claims in the store were read and applied."""
        if not self.fleet_known:
            self.fleet_known = True
            self._events.record("fleet.known", era=self.current)

    def notice(self, era: int, host: str = "") -> bool:
        """Take note of the era in an answer of the store or a message of a host.

        Parameters
        ----------
        era : int
            The era.
        host : str
            The host that sent the message; empty for an answer of the store.

        Returns
        -------
        bool
            False if a newer era is known, so that the message proves nothing.
        """
        if era < self.current:
            return False
        first = not self._heard
        # What another host sends does not show that this one ran in that era.
        self._heard = self._heard or not host
        if era == self.current:
            return True
        previous_era, self.current = self.current, era
        self.started_within = era > FIRST_ERA and (first or not self.may_vouch)
        self.change_count += not first
        if not first or era > FIRST_ERA:
            self._settled_ms = self._clock.now_ms() + SETTLING_MS
        self._events.record(
            "store.era",
            era=era,
            before=previous_era,
            source=host or "store",
            at_start=first,
        )
        for notify in self.on_change:
            notify()
        return True

    def disbelieve(self, value: str, reason: str) -> None:
        """Record an answer whose era is not believed.

        Parameters
        ----------
        value : str
            The era as it was received.
        reason : str
            What is wrong with it.
        """
        self.disbelieved_count += 1
        self._events.record(
            "store.era_not_believed", value=value, reason=reason, era=self.current
        )
