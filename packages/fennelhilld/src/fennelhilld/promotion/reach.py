"""Detection of network partitions that cut this host off from the fleet."""

from __future__ import annotations

from collections.abc import Callable

from fennelhill_core.clock import Clock
from fennelhill_core.events import EventLog

# The load balancer probes once a second and removes a host after two failed probes.
BALANCER_NOTICE_MS = 2_100.0


class FleetReach:
    """Decides whether this host is cut off, by the number of hosts that answer it.

    Other hosts are queried only while a group's leader is unknown, is leaving or does
    not answer, or while this host is cut off.  This host counts as queried and as
    answering.  If less than half of the queried hosts answer, it is taken to be on the
    smaller side of a network partition.  It then reports itself as not ready to the
    load balancer, so that clients connect to hosts that reach the leaders.

    Parameters
    ----------
    clock : Clock
        Source of time.
    events : EventLog
        Records each change of ``cut_off``.
    """

    __slots__ = (
        "_alone",
        "_clock",
        "_events",
        "_last_queried_ms",
        "cut_off",
        "cut_off_since_ms",
        "has_majority",
        "votes",
    )

    def __init__(self, clock: Clock, events: EventLog) -> None:
        self._clock = clock
        self._events = events
        self.cut_off = False
        self.cut_off_since_ms = 0.0
        # Whether more than half of the queried hosts answered; fewer can't end the
        # leases of the others.
        self.has_majority = True
        # Returns whether this host's own vote counts.
        self.votes: Callable[[], bool] = lambda: True
        # Whether no other host answered.
        self._alone = False
        self._last_queried_ms = float("-inf")

    def update(self, queried_ms: float, answered: int, queried: int) -> None:
        """Update the decision from one round of queries to other hosts.

        Parameters
        ----------
        queried_ms : float
            When the hosts were queried; a round that is older than the newest one so
            far is ignored.
        answered : int
            Number of hosts that answered.
        queried : int
            Number of hosts that were queried.
        """
        if queried_ms < self._last_queried_ms:
            return
        self._last_queried_ms = queried_ms
        self._alone = answered == 0
        own = self.votes()
        self.has_majority = 2 * (answered + own) > queried + own
        cut_off = 2 * (answered + 1) < queried + 1
        if cut_off == self.cut_off:
            return
        self.cut_off = cut_off
        self.cut_off_since_ms = self._clock.now_ms()
        kind = "fleet.cut_off" if cut_off else "fleet.reached"
        self._events.record(kind, answered=answered, asked=queried)

    def cut_off_for_ms(self) -> float:
        """Return how long this host has been cut off.

        Returns
        -------
        float
            Milliseconds; 0 if it is not cut off.
        """
        return self._clock.now_ms() - self.cut_off_since_ms if self.cut_off else 0.0

    def clients_leave_in_ms(self) -> float:
        """Return when clients that connect again reach hosts that are not cut off.

        Returns
        -------
        float
            Milliseconds until the load balancer sends no more connections to this side
            of a partition; 0 from then on, if this host is not cut off, and if it is
            alone: its clients' next connections go to other hosts of its zone.
        """
        if not self.cut_off or self._alone:
            return 0.0
        return max(0.0, BALANCER_NOTICE_MS - self.cut_off_for_ms())
