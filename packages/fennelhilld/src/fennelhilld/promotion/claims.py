"""Cache of the claims to replace leaders."""

from __future__ import annotations

from fennelhill_core.platform import StoreVersion

from fennelhilld.promotion.messages import ClaimPhase, ClaimRow

# A holder that has not finished after this time is presumed to have failed, and other
# hosts may claim the group.  It may wait for a lease to expire (1.2 s) and then for the
# order, which takes about a second and is repeated if it gets no answer.
CLAIM_TAKEOVER_MS = 4_500.0
# The holder orders nothing more after this time.  The difference is longer than it may
# take another host to see the claim.
CLAIM_TURN_MS = 3_500.0


class ClaimCache:
    """The newest known claim on each group, and when this host first saw it.

    What is known never goes back, also if the store does: a claim that the store has
    lost stays known until a newer one replaces it.  Which row the store has now is
    kept beside it, since a write is made under the condition of that row's version.
    """

    __slots__ = (
        "_lost_claims",
        "_read_version",
        "_rows",
        "_stored_numbers",
        "complete_version",
        "era",
        "stored_complete",
    )

    def __init__(self) -> None:
        self._rows: dict[str, tuple[ClaimRow, float]] = {}
        # Every claim up to this version of the store is known.  Newer ones may be
        # known too, if another host has sent them.
        self.complete_version = StoreVersion()
        # Newest version that this host has itself read.
        self._read_version = StoreVersion()
        self.era = 0
        # Whether the table has been read in full in this era, so that a group without
        # a stored row has none.
        self.stored_complete = True
        # The store's own version of each row, as read in this era.
        self._stored_numbers: dict[str, int] = {}
        # Open claims of an older era that another holder's claim has replaced.
        self._lost_claims: dict[str, tuple[ClaimRow, float]] = {}

    def begin_era(self, era: int) -> None:
        """Forget which rows the store has, because it came back from a copy.

        Parameters
        ----------
        era : int
            The new era.
        """
        self.era = era
        self.stored_complete = False
        self._stored_numbers.clear()

    def put_stored(self, group: str, number: int) -> None:
        """Record the version of a group's row in the store, in this era.

        Parameters
        ----------
        group : str
            The group.
        number : int
            The store's own version; a lower one than before changes nothing.
        """
        known = self._stored_numbers.get(group, 0)
        self._stored_numbers[group] = max(number, known)

    def stored_version(self, group: str) -> StoreVersion | None:
        """Return the version of a group's row in the store, for a condition.

        Parameters
        ----------
        group : str
            The group.

        Returns
        -------
        StoreVersion or None
            In this era; number 0 if there is no row, None if this is not known yet.
        """
        number = self._stored_numbers.get(group)
        if number is None:
            if not self.stored_complete:
                return None
            number = 0
        return StoreVersion.from_parts(self.era, number)

    def holds(self, group: str, version: StoreVersion) -> bool:
        """Return whether a claim is the newest known one, and made in this era.

        Parameters
        ----------
        group : str
            The group.
        version : StoreVersion
            Version of the claim.

        Returns
        -------
        bool
            False for a claim of an older era, which the store may have lost.
        """
        return self.get(group).version == version and version.era == self.era

    def put(self, group: str, row: ClaimRow, now_ms: float) -> bool:
        """Store a row if it is newer than the known one.

        Parameters
        ----------
        group : str
            The group.
        row : ClaimRow
            The row as read from the store or its feed.
        now_ms : float
            Time on this host's clock.

        Returns
        -------
        bool
            Whether it was newer.
        """
        cached = self._rows.get(group)
        if cached is not None and row.version <= cached[0].version:
            return False
        if cached is not None and _loses(cached[0], row):
            self._lost_claims[group] = cached
        self._rows[group] = (row, now_ms)
        if row.version.era == self.era:
            self.put_stored(group, row.version.number)
        return True

    def blocked_by_lost_claim(self, group: str, holder: str, now_ms: float) -> bool:
        """Return whether another host may still order under a claim that was lost.

        Parameters
        ----------
        group : str
            The group.
        holder : str
            The host that has claimed the group in a newer era.
        now_ms : float
            Time on this host's clock.

        Returns
        -------
        bool
            True until `CLAIM_TAKEOVER_MS` after this host saw the lost claim.
        """
        lost = self._lost_claims.get(group)
        if lost is None:
            return False
        row, seen_ms = lost
        if now_ms - seen_ms >= CLAIM_TAKEOVER_MS:
            del self._lost_claims[group]
            return False
        return row.claim.holder != holder

    def get(self, group: str) -> ClaimRow:
        """Return the newest claim on a group.

        Parameters
        ----------
        group : str
            The group.

        Returns
        -------
        ClaimRow
            Version 0 if no claim is known.
        """
        return self._rows.get(group, (ClaimRow(), 0.0))[0]

    def raise_complete_version(self, version: StoreVersion) -> None:
        """Record that every claim up to a version of the store is known.

        Claims that the store has lost are among them, unless they can't be ordered.

        Parameters
        ----------
        version : StoreVersion
            The version; a lower one than before changes nothing.
        """
        self.complete_version = StoreVersion(max(self.complete_version, version))

    def record_read(self, version: StoreVersion) -> None:
        """Record that every claim in the store up to a version has been read.

        In a new era that does not make the claims complete, since the store may have
        lost some, until `complete_era` is called.

        Parameters
        ----------
        version : StoreVersion
            The version.
        """
        self._read_version = StoreVersion(max(self._read_version, version))
        if self._read_version.era <= self.complete_version.era:
            self.raise_complete_version(self._read_version)

    def complete_era(self, era: int) -> None:
        """Record that the lost claims of all older eras are known.

        Parameters
        ----------
        era : int
            The era in which more than half of the hosts have sent their claims.
        """
        self.raise_complete_version(StoreVersion.from_parts(era, 0))
        if self._read_version.era == era:
            self.raise_complete_version(self._read_version)

    def unstored(self) -> list[tuple[str, ClaimRow]]:
        """Return the finished claims that the store has lost.

        Returns
        -------
        list of tuple
            Group and row; empty before the table was read in full in this era.
        """
        if not self.stored_complete:
            return []
        return [
            (group, row)
            for group, (row, _) in self._rows.items()
            if row.version.era < self.era
            and row.claim is not None
            and row.claim.phase is not ClaimPhase.CLAIMED
            and row.version.number != self._stored_numbers.get(group)
        ]

    def newer_than(self, version: StoreVersion) -> list[tuple[str, ClaimRow]]:
        """Return the claims that were written after a version of the store.

        Parameters
        ----------
        version : StoreVersion
            The version.

        Returns
        -------
        list of tuple
            Group and row, oldest first.
        """
        newer = [
            (group, row)
            for group, (row, _) in self._rows.items()
            if row.version > version
        ]
        return sorted(newer, key=lambda item: item[1].version)

    def open_for_ms(self, group: str, now_ms: float) -> float | None:
        """Return how long a group's open claim has been known.

        Parameters
        ----------
        group : str
            The group.
        now_ms : float
            Time on this host's clock.

        Returns
        -------
        float or None
            Milliseconds; None if no claim on the group is open.
        """
        row, seen_ms = self._rows.get(group, (ClaimRow(), 0.0))
        if row.claim is None or row.claim.phase is not ClaimPhase.CLAIMED:
            return None
        return now_ms - seen_ms

    def held_by_other(self, group: str, host: str, now_ms: float) -> bool:
        """Return whether another host holds a current claim on a group.

        Parameters
        ----------
        group : str
            The group.
        host : str
            This host.
        now_ms : float
            Time on this host's clock.

        Returns
        -------
        bool
            False if there is no claim, if it is finished, released or this host's own,
            or once `CLAIM_TAKEOVER_MS` have passed since this host first saw it.
        """
        row, seen_ms = self._rows.get(group, (ClaimRow(), 0.0))
        claim = row.claim
        if (
            claim is None
            or claim.phase is not ClaimPhase.CLAIMED
            or claim.holder == host
            or claim.released
        ):
            return False
        return now_ms - seen_ms < CLAIM_TAKEOVER_MS


def _loses(known: ClaimRow, newer: ClaimRow) -> bool:
    """Return whether an open claim is replaced without its holder's knowledge."""
    return (
        known.claim is not None
        and known.claim.phase is ClaimPhase.CLAIMED
        and known.version.era < newer.version.era
        and (newer.claim is None or newer.claim.holder != known.claim.holder)
    )
