"""Cache of the claims to replace leaders."""

from __future__ import annotations

from fennelhilld.promotion.messages import ClaimPhase, ClaimRow

# A holder that has not finished after this time is presumed to have failed, and other
# hosts may claim the group.  It may wait for a lease to expire (1.2 s) and then for the
# order, which takes about a second and is repeated if it gets no answer.
CLAIM_TAKEOVER_MS = 4_500.0
# The holder orders nothing more after this time.  The difference is longer than it may
# take another host to see the claim.
CLAIM_TURN_MS = 3_500.0


class ClaimCache:
    """The newest known claim on each group, and when this host first saw it."""

    __slots__ = ("_rows", "complete_version")

    def __init__(self) -> None:
        self._rows: dict[str, tuple[ClaimRow, float]] = {}
        # Every claim up to this version of the store is known.  Newer ones may be
        # known too, if another host has sent them.
        self.complete_version = 0

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
        self._rows[group] = (row, now_ms)
        return True

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

    def raise_complete_version(self, version: int) -> None:
        """Record that every claim up to a version of the store is known.

        Parameters
        ----------
        version : int
            The version; a lower one than before changes nothing.
        """
        self.complete_version = max(self.complete_version, version)

    def newer_than(self, version: int) -> list[tuple[str, ClaimRow]]:
        """Return the claims that were written after a version of the store.

        Parameters
        ----------
        version : int
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
