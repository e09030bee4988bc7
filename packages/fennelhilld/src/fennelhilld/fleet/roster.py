"""The other hosts of the fleet, and which of them no longer respond."""

from __future__ import annotations

import random
from collections.abc import Set

from fennelhill_core.clock import Clock
from fennelhill_core.platform import StoreVersion

# Maintenance and the users' longest incidents keep a host silent for some 15 s; a
# host that was only cut off registers again once it sees that its row was removed.
UNRESPONSIVE_AFTER_MS = 60_000.0
# Hosts that one host queries about a leader.  When a leader fails all hosts send
# queries, and a sample with the same number of hosts of each zone distinguishes a
# network partition from a crash as well as all hosts would.
MAX_QUERIED_HOSTS = 12
# A store that comes back from a copy may list hosts again that have left.  The copy is
# some seconds old.
DEPARTURE_MEMORY_MS = 60_000.0


class Roster:
    """Addresses and zones of the other hosts, as the store lists them.

    A host that was killed and never restarted leaves its row behind.  It counts as a
    host that does not answer, and with enough such rows the running hosts would look
    like the smaller side of a network partition.  So a host that stays silent for
    `UNRESPONSIVE_AFTER_MS` is reported as unresponsive.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_clock",
        "_departed",
        "_frame_addresses",
        "_older_builds",
        "_removed",
        "_silent_since_ms",
        "addresses",
        "capacities",
        "change_count",
        "version",
        "zones",
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.addresses: dict[str, str] = {}
        self.zones: dict[str, str] = {}
        # Processor capacity by host, in cores.
        self.capacities: dict[str, float] = {}
        # Where hosts accept streams of frames; older builds don't.
        self._frame_addresses: dict[str, str] = {}
        # Hosts of builds that count votes among the listed hosts.
        self._older_builds: set[str] = set()
        # Number of hosts added and removed so far.
        self.change_count = 0
        # The store's version of the newest change to the list that is known.
        self.version = StoreVersion()
        self._silent_since_ms: dict[str, float] = {}
        # Address and time of removal of hosts that are no longer listed.
        self._removed: dict[str, tuple[str, float]] = {}
        # Version and time of the removal of hosts that have left.
        self._departed: dict[str, tuple[StoreVersion, float]] = {}

    def __len__(self) -> int:
        return len(self.addresses)

    def put(
        self,
        name: str,
        address: str,
        zone: str = "",
        capacity: float = 1.0,
        frame_address: str = "",
        counts_voters: bool = True,
    ) -> None:
        """Add or update a host that has registered.

        Parameters
        ----------
        name : str
            Its name.
        address : str
            ``ip:port`` for queries of other hosts.
        zone : str
            Its availability zone.
        capacity : float
            Its processor capacity, in cores.
        frame_address : str
            ``ip:port`` where it accepts streams of frames; empty if it does not.
        counts_voters : bool
            Whether it counts votes in the electorate; older builds count them among
            the listed hosts.
        """
        self.change_count += name not in self.addresses
        self._older_builds.discard(name)
        if not counts_voters:
            self._older_builds.add(name)
        self.addresses[name] = address
        self._frame_addresses[name] = frame_address
        self.capacities[name] = capacity
        self.zones[name] = zone
        self._silent_since_ms.pop(name, None)

    def remove(self, name: str) -> None:
        """Remove a host that is no longer listed.

        Parameters
        ----------
        name : str
            Its name.
        """
        self.change_count += name in self.addresses
        if name in self.addresses:
            self._removed[name] = (self.addresses[name], self._clock.now_ms())
        self.addresses.pop(name, None)
        self._older_builds.discard(name)
        self._frame_addresses.pop(name, None)
        self.zones.pop(name, None)
        self.capacities.pop(name, None)
        self._silent_since_ms.pop(name, None)

    @property
    def older_builds(self) -> Set[str]:
        """The listed hosts that count votes among the listed hosts."""
        return self._older_builds

    def frame_address_of(self, address: str) -> str:
        """Return where the host with an address accepts streams of frames.

        Parameters
        ----------
        address : str
            ``ip:port`` for queries of other hosts.

        Returns
        -------
        str
            ``ip:port``; empty if no host with this address announces it.
        """
        for name, known in self.addresses.items():
            if known == address:
                return self._frame_addresses[name]
        return ""

    def record_departure(self, name: str, version: StoreVersion) -> None:
        """Remember that a host's row was removed from the store.

        Parameters
        ----------
        name : str
            Its name.
        version : StoreVersion
            Version of the removal.
        """
        now_ms = self._clock.now_ms()
        self._departed = {
            other: departure
            for other, departure in self._departed.items()
            if departure[1] >= now_ms - DEPARTURE_MEMORY_MS
        }
        self._departed[name] = (version, now_ms)

    def has_left_since(self, name: str, version: StoreVersion) -> bool:
        """Return whether a host's row was removed after a version of the store.

        Parameters
        ----------
        name : str
            Its name.
        version : StoreVersion
            Version of its row.

        Returns
        -------
        bool
            True if the store has restored a row that had been removed.
        """
        departure = self._departed.get(name)
        return departure is not None and version < departure[0]

    def recently_listed(self, period_ms: float) -> dict[str, str]:
        """Return the listed hosts, and those that were removed in a period until now.

        Parameters
        ----------
        period_ms : float
            Length of the period in milliseconds.

        Returns
        -------
        dict
            Address by name.
        """
        since_ms = self._clock.now_ms() - period_ms
        self._removed = {
            name: removal
            for name, removal in self._removed.items()
            if removal[1] >= since_ms
        }
        removed = {name: address for name, (address, _) in self._removed.items()}
        return removed | self.addresses

    def keep_only(self, names: set[str]) -> None:
        """Remove all hosts that a snapshot of the list lacks.

        Parameters
        ----------
        names : set of str
            Hosts in the snapshot.
        """
        for name in set(self.addresses) - names:
            self.remove(name)

    def sample(
        self,
        random_state: random.Random,
        count: int = MAX_QUERIED_HOSTS,
        names: Set[str] | None = None,
    ) -> dict[str, str]:
        """Choose the hosts to query, as evenly across zones as possible.

        Parameters
        ----------
        random_state : random.Random
            Source of randomness.
        count : int
            Largest number of hosts.
        names : set of str or None
            The hosts to choose from; None for all.

        Returns
        -------
        dict
            Address by name; all hosts if they are at most `count`.
        """
        listed = [name for name in self.addresses if names is None or name in names]
        if len(listed) <= count:
            return {name: self.addresses[name] for name in listed}
        zones: dict[str, list[str]] = {}
        for name in random_state.sample(sorted(listed), len(listed)):
            zones.setdefault(self.zones[name], []).append(name)
        chosen: list[str] = []
        while len(chosen) < count:
            for names in zones.values():
                chosen += names[:1]
                del names[:1]
        return {name: self.addresses[name] for name in chosen[:count]}

    def record_answer(self, name: str, answered: bool) -> None:
        """Record whether a host answered a query.

        Parameters
        ----------
        name : str
            Its name.
        answered : bool
            Whether it answered in time.
        """
        if answered:
            self._silent_since_ms.pop(name, None)
        elif name in self.addresses:
            self._silent_since_ms.setdefault(name, self._clock.now_ms())

    def unresponsive_hosts(self) -> list[str]:
        """Return the hosts that have left all queries unanswered for too long.

        Returns
        -------
        list of str
            Names of hosts that were silent for `UNRESPONSIVE_AFTER_MS` or longer.
        """
        threshold_ms = self._clock.now_ms() - UNRESPONSIVE_AFTER_MS
        return [
            name
            for name, since_ms in self._silent_since_ms.items()
            if since_ms <= threshold_ms
        ]
