"""The targets that the platform lists, with a grace period for removed ones."""

from __future__ import annotations

import msgspec

# The platform restores entries that expired during an outage within about two
# seconds after it; an entry that is still missing then was removed.
REMOVAL_GRACE_MS = 2_500.0
# Targets that left the list while they were leaving are remembered, as they may be
# listed again; so many of them.
MAX_REMEMBERED = 1_000


class TargetEntry(msgspec.Struct, frozen=True):
    """A target's entry in the platform's list, as the target reports it.

    Parameters
    ----------
    id : str
        Permanent name of the target.
    group : str
        Database group.
    address : str
        ``ip:port``.
    zone : str
        Availability zone.
    slots : int
        Number of statements that it runs concurrently.
    leaving : bool
        Whether it is about to shut down.
    cold_ms : float
        Remaining time of its warm-up after a start, in milliseconds.
    leads : bool
        Whether it reports that it is the leader.
    started_ms : int
        Start of its process as Unix time in milliseconds; identifies one incarnation
        together with the id.
    """

    id: str
    group: str
    address: str
    zone: str
    slots: int = 1
    leaving: bool = False
    cold_ms: float = 0.0
    leads: bool = False
    started_ms: int = 0


class ListedTarget:
    """The entry of a target, and since when it has been leaving or removed.

    It may have been leaving later than ``leaving_since_ms``, which is on the clock that
    counts suspended time, but not earlier.
    """

    __slots__ = ("entry", "leaving_since_ms", "removed_ms")

    def __init__(self, entry: TargetEntry) -> None:
        self.entry = entry
        self.removed_ms: float | None = None
        self.leaving_since_ms: float | None = None


class TargetDirectory:
    """Targets by id.  A removed one is kept for `REMOVAL_GRACE_MS`."""

    __slots__ = ("_by_group", "_leaving_since_ms", "_targets")

    def __init__(self) -> None:
        # Of targets that are not listed any more.
        self._leaving_since_ms: dict[str, float] = {}
        self._targets: dict[str, ListedTarget] = {}
        self._by_group: dict[str, list[TargetEntry]] = {}

    def put(
        self, entry: TargetEntry, now_ms: float, unchanged_until_ms: float | None = None
    ) -> TargetEntry | None:
        """Add or update an entry.

        Parameters
        ----------
        entry : TargetEntry
            The new entry.
        now_ms : float
            Time on this host's clock.
        unchanged_until_ms : float or None
            Until when the previous entry, or its absence, is known to have been true,
            on the clock that counts suspended time; None for now.

        Returns
        -------
        TargetEntry or None
            The previous entry, if there was one.
        """
        previous = self._targets.get(entry.id)
        previous_entry = previous.entry if previous else None
        listed = ListedTarget(entry)
        remembered_ms = self._leaving_since_ms.pop(entry.id, None)
        if entry.leaving:
            since_ms = previous.leaving_since_ms if previous else remembered_ms
            if since_ms is None:
                since_ms = now_ms if unchanged_until_ms is None else unchanged_until_ms
            listed.leaving_since_ms = since_ms
        self._targets[entry.id] = listed
        self._index()
        return previous_entry

    def remove(self, target_id: str, now_ms: float) -> TargetEntry | None:
        """Mark a target as removed, which begins its grace period.

        Parameters
        ----------
        target_id : str
            The target.
        now_ms : float
            Time on this host's clock.

        Returns
        -------
        TargetEntry or None
            The entry, if it was known.
        """
        listed = self._targets.get(target_id)
        if listed is None:
            return None
        if listed.removed_ms is None:
            listed.removed_ms = now_ms
        return listed.entry

    def keep_only(self, listed_ids: set[str], now_ms: float) -> list[str]:
        """Mark all targets as removed that a snapshot of the list lacks.

        Parameters
        ----------
        listed_ids : set of str
            Targets in the snapshot.
        now_ms : float
            Time on this host's clock.

        Returns
        -------
        list of str
            Targets that were newly marked.
        """
        missing = [
            name
            for name, listed in self._targets.items()
            if name not in listed_ids and listed.removed_ms is None
        ]
        for name in missing:
            self._targets[name].removed_ms = now_ms
        return missing

    def restart_grace_periods(self, now_ms: float) -> None:
        """Restart the grace period of removed targets, after a store outage.

        Parameters
        ----------
        now_ms : float
            Time on this host's clock.
        """
        for listed in self._targets.values():
            if listed.removed_ms is not None:
                listed.removed_ms = now_ms

    def expire(self, now_ms: float) -> list[TargetEntry]:
        """Drop targets whose grace period is over.

        Parameters
        ----------
        now_ms : float
            Time on this host's clock.

        Returns
        -------
        list of TargetEntry
            The dropped entries.
        """
        expired = [
            listed.entry
            for listed in self._targets.values()
            if listed.removed_ms is not None
            and now_ms - listed.removed_ms >= REMOVAL_GRACE_MS
        ]
        for entry in expired:
            since_ms = self._targets.pop(entry.id).leaving_since_ms
            if since_ms is not None:
                self._leaving_since_ms[entry.id] = since_ms
        while len(self._leaving_since_ms) > MAX_REMEMBERED:
            del self._leaving_since_ms[next(iter(self._leaving_since_ms))]
        if expired:
            self._index()
        return expired

    @property
    def any_removed(self) -> bool:
        """Whether the grace period of a removed target runs."""
        return any(listed.removed_ms is not None for listed in self._targets.values())

    def get(self, target_id: str) -> TargetEntry | None:
        """Look up a target.

        Parameters
        ----------
        target_id : str
            Its id.

        Returns
        -------
        TargetEntry or None
            None if the target is not known.
        """
        listed = self._targets.get(target_id)
        return listed.entry if listed else None

    def leaving_since_ms(self, target_id: str) -> float | None:
        """Return since when a target may have been leaving.

        Parameters
        ----------
        target_id : str
            Its id.

        Returns
        -------
        float or None
            Time on the clock that counts suspended time; None if it is not known or
            not leaving.
        """
        listed = self._targets.get(target_id)
        return listed.leaving_since_ms if listed else None

    def is_removed(self, target_id: str) -> bool:
        """Return whether the platform no longer lists a target.

        Parameters
        ----------
        target_id : str
            Its id.

        Returns
        -------
        bool
            True also for a target that is not known.
        """
        listed = self._targets.get(target_id)
        return listed is None or listed.removed_ms is not None

    def of_group(self, group: str) -> list[TargetEntry]:
        """Return the targets of a group.

        Parameters
        ----------
        group : str
            Name of the group.

        Returns
        -------
        list of TargetEntry
            In no particular order.
        """
        return self._by_group.get(group, [])

    def all(self) -> list[TargetEntry]:
        """Return all targets.

        Returns
        -------
        list of TargetEntry
            In no particular order.
        """
        return [listed.entry for listed in self._targets.values()]

    def _index(self) -> None:
        self._by_group = {}
        for listed in self._targets.values():
            self._by_group.setdefault(listed.entry.group, []).append(listed.entry)
