"""Which hosts answer, and whether a whole zone has stopped answering."""

from __future__ import annotations

from collections.abc import Callable

# With one silent host of a zone the host has failed; with two and no answer of the
# others since, the zone is cut off.
MIN_SILENT_HOSTS = 2
# A host that is found silent sooner has refused: its process has ended, and its zone is
# reached.
MIN_UNANSWERED_MS = 100.0
# Silent hosts of each zone that are looked for at a time.  One answer shows that the
# zone is back, and then all of them are looked for.
LOOK_UPS_PER_ZONE = 3
LOOK_UP_INTERVAL_MS = 250.0
# A host that has been silent this long is looked for less often: partitions last
# seconds, and the row of a dead host stays for a minute.
LONG_SILENCE_MS = 10_000.0
LONG_SILENCE_INTERVAL_MS = 1_000.0


class HostPresence:
    """What this host knows about whether the other hosts answer.

    It answers the load of a zone that is partitioned off: each host would otherwise
    find every host of the zone silent one request at a time.

    Parameters
    ----------
    zone_of : callable
        Returns the availability zone of a listed host; empty if it is not listed.
    """

    __slots__ = (
        "_answered_ms",
        "_asked_ms",
        "_looked_for_ms",
        "_lost_zones",
        "_silent_ms",
        "_zone_of",
    )

    def __init__(self, zone_of: Callable[[str], str]) -> None:
        self._zone_of = zone_of
        # When each host answered last, and when it was found to be silent.
        self._answered_ms: dict[str, float] = {}
        self._silent_ms: dict[str, float] = {}
        # When the message was sent that a host left unanswered for `MIN_UNANSWERED_MS`.
        self._asked_ms: dict[str, float] = {}
        self._looked_for_ms: dict[str, float] = {}
        self._lost_zones: set[str] = set()

    def record_answer(self, host: str, now_ms: float) -> bool:
        """Record that a host has answered.

        Parameters
        ----------
        host : str
            The host.
        now_ms : float
            Time on this host's clock.

        Returns
        -------
        bool
            Whether it was silent before.
        """
        self._answered_ms[host] = now_ms
        self._asked_ms.pop(host, None)
        self._looked_for_ms.pop(host, None)
        was_silent = self._silent_ms.pop(host, None) is not None
        if self._lost_zones:
            self._update_zone(self._zone_of(host))
        return was_silent

    def record_silence(self, host: str, asked_ms: float, now_ms: float) -> bool:
        """Record that a host has left a message unanswered.

        Parameters
        ----------
        host : str
            The host.
        asked_ms : float
            When the message was sent, on this host's clock.
        now_ms : float
            Time on this host's clock.

        Returns
        -------
        bool
            Whether it was not known to be silent before.
        """
        if host in self._silent_ms:
            return False
        self._silent_ms[host] = now_ms
        if now_ms - asked_ms >= MIN_UNANSWERED_MS:
            self._asked_ms[host] = asked_ms
            self._update_zone(self._zone_of(host))
        self._looked_for_ms[host] = now_ms
        return True

    def usable(self, host: str) -> bool:
        """Return whether new work may be sent to a host.

        Parameters
        ----------
        host : str
            The host.

        Returns
        -------
        bool
            False from an unanswered message until the host's next answer, and while
            its zone is lost.
        """
        return host not in self._silent_ms and not self.zone_lost(self._zone_of(host))

    def zone_lost(self, zone: str) -> bool:
        """Return whether a zone is cut off from this host.

        Parameters
        ----------
        zone : str
            The zone.

        Returns
        -------
        bool
            True if several of its hosts are silent, and none has answered since the
            first of them was asked.
        """
        return zone in self._lost_zones

    def start_look_ups(self, now_ms: float) -> list[str]:
        """Return the silent hosts to look for now.

        Parameters
        ----------
        now_ms : float
            Time on this host's clock.

        Returns
        -------
        list of str
            At most `LOOK_UPS_PER_ZONE` of a zone that is lost, those first that have
            waited longest; of another zone all that are due.
        """
        self._forget_unlisted()
        chosen: list[str] = []
        by_zone: dict[str, list[str]] = {}
        for host in sorted(self._silent_ms, key=self._looked_for_ms.__getitem__):
            if now_ms >= self._looked_for_ms[host] + self._interval_ms(host, now_ms):
                by_zone.setdefault(self._zone_of(host), []).append(host)
        for zone, hosts in by_zone.items():
            chosen += hosts[:LOOK_UPS_PER_ZONE] if self.zone_lost(zone) else hosts
        for host in chosen:
            self._looked_for_ms[host] = now_ms
        return chosen

    @property
    def silent_hosts(self) -> list[str]:
        """Hosts that have not answered since an unanswered message."""
        return list(self._silent_ms)

    def _update_zone(self, zone: str) -> None:
        """Recompute whether a zone is lost; requests only look the result up."""
        asked_ms = [
            sent_ms
            for host, sent_ms in self._asked_ms.items()
            if self._zone_of(host) == zone
        ]
        lost = len(asked_ms) >= MIN_SILENT_HOSTS and all(
            answered_ms <= min(asked_ms)
            for host, answered_ms in self._answered_ms.items()
            if self._zone_of(host) == zone
        )
        if lost and zone:
            self._lost_zones.add(zone)
        else:
            self._lost_zones.discard(zone)

    def _interval_ms(self, host: str, now_ms: float) -> float:
        if now_ms - self._silent_ms[host] >= LONG_SILENCE_MS:
            return LONG_SILENCE_INTERVAL_MS
        return LOOK_UP_INTERVAL_MS

    def _forget_unlisted(self) -> None:
        for host in [name for name in self._silent_ms if not self._zone_of(name)]:
            for known in (
                self._silent_ms,
                self._asked_ms,
                self._looked_for_ms,
                self._answered_ms,
            ):
                known.pop(host, None)
            for zone in list(self._lost_zones):
                self._update_zone(zone)
