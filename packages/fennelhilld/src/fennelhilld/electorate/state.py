"""The electorate as a host knows it, and what the host has promised about it."""

from __future__ import annotations

from collections.abc import Set

from fennelhill_core.platform import StoreVersion

from fennelhilld.electorate.messages import ElectorateRow, KnownElectorate
from fennelhilld.fleet.roster import Roster

# Most voters confirm leases to each other for this long without news from the store.
# After it those that can't be asked have learned of a change, or confirm nothing.
MAJORITY_UNREAD_MS = 60_000.0
# The same if all voters confirm.
FLEET_UNREAD_MS = 600_000.0


def is_majority(confirming: int, listed: int) -> bool:
    """Return whether hosts are more than half of those that are listed.

    Parameters
    ----------
    confirming : int
        Number of hosts, this one included.
    listed : int
        Number of listed hosts, this one included.

    Returns
    -------
    bool
        Whether any two such sets of hosts have one in common.
    """
    return 2 * confirming > listed


class Electorate:
    """The hosts that vote, apart from those that are listed.

    Two majorities of one list have a host in common; majorities of lists that differ by
    several hosts need not.  The list of hosts changes by single writes, so votes are
    counted in the electorate, which is one row of the store.  It is replaced in two
    writes: the first names the new voters beside the previous ones, and a majority of
    both is needed.  The second follows once a majority of the previous voters have
    promised to confirm nothing to a host with an older row, so that no lease can be
    confirmed under that any more.

    A host that knows a row knows every claim that was made before it.

    Votes are also counted in the list of hosts while there is no row, and while older
    builds are listed, which count there.

    Parameters
    ----------
    host : str
        This host.
    roster : Roster
        The other hosts.
    """

    __slots__ = (
        "_roster",
        "_stored",
        "host",
        "promised",
        "row",
        "version",
    )

    def __init__(self, host: str, roster: Roster) -> None:
        self.host = host
        self.row = ElectorateRow()
        # Version of the row; 0 while none is known.
        self.version = StoreVersion()
        # This host confirms no lease under an electorate of a lower version.
        self.promised = StoreVersion()
        # The store's own version of its row in this era, and the version at which it
        # was read; None if it was not read yet.
        self._stored: tuple[int, int] | None = None
        self._roster = roster

    @property
    def counts_listed(self) -> bool:
        """Whether a majority of the listed hosts is needed as well."""
        return not self.row.voters or bool(self._roster.older_builds)

    @property
    def known(self) -> KnownElectorate | None:
        """The row with its version; None if there is none."""
        return KnownElectorate(self.version, self.row) if self.version else None

    @property
    def stored_number(self) -> int | None:
        """The store's own version of the row; 0 if it has none, None if unknown."""
        return self._stored[1] if self._stored else None

    @property
    def is_stored(self) -> bool:
        """Whether the store has the row that this host knows."""
        return self.stored_number == self.version.number

    @property
    def voters(self) -> frozenset[str]:
        """The hosts that the row names."""
        return frozenset({*self.row.voters, *self.row.previous})

    def _lists(self) -> list[Set[str]]:
        lists: list[Set[str]] = [
            frozenset(names) for names in (self.row.voters, self.row.previous) if names
        ]
        if self.counts_listed:
            lists.append(self.listed)
        return lists

    @property
    def listed(self) -> frozenset[str]:
        """The listed hosts, this one included."""
        return frozenset({self.host, *self._roster.addresses})

    @property
    def members(self) -> frozenset[str]:
        """All hosts whose votes count."""
        return frozenset().union(*self._lists())

    @property
    def votes(self) -> bool:
        """Whether this host's own vote counts."""
        return self.host in self.members

    def has_majority(self, names: Set[str]) -> bool:
        """Return whether hosts are a majority wherever one is needed.

        Parameters
        ----------
        names : set of str
            The hosts.

        Returns
        -------
        bool
            Whether any other such set, of this row or of the one before or after it,
            has a host in common with this one.
        """
        return all(is_majority(len(names & each), len(each)) for each in self._lists())

    def has_all(self, names: Set[str]) -> bool:
        """Return whether all voters are among some hosts.

        Parameters
        ----------
        names : set of str
            The hosts.

        Returns
        -------
        bool
            Whether none is missing.
        """
        return self.members <= names

    def confirms(self, version: StoreVersion) -> bool:
        """Return whether this host confirms something under an electorate.

        Parameters
        ----------
        version : StoreVersion
            Version of the asking host's row.

        Returns
        -------
        bool
            False if this host has promised not to.
        """
        return version >= self.promised

    def promise(self, version: StoreVersion) -> bool:
        """Confirm nothing under older electorates from now on.

        Parameters
        ----------
        version : StoreVersion
            Version of the row that another host knows.

        Returns
        -------
        bool
            False if this host has made the promise for a newer row.
        """
        if version < self.promised:
            return False
        self.promised = StoreVersion(version)
        return True

    def adopt(self, version: StoreVersion, row: ElectorateRow) -> bool:
        """Use a row if it is newer than the known one.

        Every claim that was made before the row must have been applied.

        Parameters
        ----------
        version : StoreVersion
            Version of the row.
        row : ElectorateRow
            The row.

        Returns
        -------
        bool
            Whether it is newer.
        """
        if version <= self.version:
            return False
        self.version, self.row = StoreVersion(version), row
        self.promised = max(self.promised, self.version)
        return True

    def record_stored(self, number: int, at: int) -> None:
        """Record the store's own version of the row, which a write must name.

        Parameters
        ----------
        number : int
            The version; 0 if the store has no row.
        at : int
            Version of the store at which that was so, in this era; an older one than
            before changes nothing.
        """
        if self._stored is None or at > self._stored[0]:
            self._stored = (at, number)

    def begin_era(self) -> None:
        """Forget what the store has, because it came back from a copy."""
        self._stored = None
