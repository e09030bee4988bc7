"""Spreads the suspicion that a zone is cut off; each host then checks for itself."""

from __future__ import annotations

import random
from collections.abc import Callable

from fennelhill_core.clock import Clock
from fennelhill_core.tasks import Tasks

from fennelhilld.fleet.messages import PeerQueries
from fennelhilld.fleet.roster import Roster
from fennelhilld.leader_lease.messages import ZoneNotice

# Hosts that each host tells, and how often a notice is passed on: 8 and then 64.
FANOUT = 8
HOPS = 2
# A host passes notices of a zone on at most this often.
PAUSE_MS = 1_000.0
# The answer is not needed; it only ends the query.
ANSWER_LIMIT_MS = 50.0


class ZoneNotices:
    """Tells other hosts that a zone has stopped answering this one.

    It answers the load of a large fleet, in which a host sends few requests a second to
    each zone and would find the loss only by losing one.

    Parameters
    ----------
    host : str
        This host.
    roster : Roster
        The other hosts.
    peers : callable
        Returns what sends queries to other hosts; None before it is known.
    check_zone : callable
        Called with a zone that another host believes to be cut off.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_check_zone",
        "_clock",
        "_peers",
        "_random",
        "_roster",
        "_spread_ms",
        "_tasks",
    )

    def __init__(
        self,
        host: str,
        roster: Roster,
        peers: Callable[[], PeerQueries | None],
        check_zone: Callable[[str], None],
        clock: Clock,
    ) -> None:
        self._roster = roster
        self._peers = peers
        self._check_zone = check_zone
        self._clock = clock
        self._random = random.Random(host)
        self._spread_ms: dict[str, float] = {}
        self._tasks = Tasks()

    def announce(self, zone: str) -> None:
        """Tell other hosts that a zone has stopped answering.

        Parameters
        ----------
        zone : str
            The zone.
        """
        self._spread(zone, HOPS)

    def receive(self, notice: ZoneNotice) -> None:
        """Check a zone that another host has found silent, and pass the notice on.

        Parameters
        ----------
        notice : ZoneNotice
            The notice; of an unknown zone it is ignored.
        """
        if notice.zone in self._roster.zones.values():
            self._check_zone(notice.zone)
            self._spread(notice.zone, min(notice.hops, HOPS) - 1)

    def close(self) -> None:
        """End all queries."""
        self._tasks.cancel()

    def _spread(self, zone: str, hops: int) -> None:
        now_ms = self._clock.now_ms()
        peers = self._peers()
        spread_ms = self._spread_ms.get(zone, float("-inf"))
        if hops <= 0 or peers is None or now_ms < spread_ms + PAUSE_MS:
            return
        self._spread_ms[zone] = now_ms
        zones = self._roster.zones
        others = sorted(name for name in zones if zones[name] != zone)
        for name in self._random.sample(others, min(FANOUT, len(others))):
            address = self._roster.addresses[name]
            notice = ZoneNotice(zone, hops)
            self._tasks.spawn(peers.ask(address, notice, ANSWER_LIMIT_MS))
