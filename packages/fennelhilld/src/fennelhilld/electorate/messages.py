"""The row of the electorate in the store, and the messages that change it."""

from __future__ import annotations

import msgspec
from fennelhill_core.documents import Count
from fennelhill_core.platform import StoreVersion


class ElectorateRow(msgspec.Struct, frozen=True):
    """The hosts that vote, as the store keeps them.

    Parameters
    ----------
    voters : tuple of str
        Names of the hosts that vote; empty if the last of them has left.
    previous : tuple of str
        While a change is under way the voters before it, of which a majority is needed
        as well; empty once the change is decided.
    era : int
        Era of the store in which the row was written, as far as its writer knew.
    """

    voters: tuple[str, ...] = ()
    previous: tuple[str, ...] = ()
    era: Count = 0


class KnownElectorate(msgspec.Struct, frozen=True):
    """The row of the electorate with its version, for a host that has an older one."""

    version: StoreVersion
    row: ElectorateRow

    def __post_init__(self) -> None:
        version = StoreVersion(self.version)
        msgspec.structs.force_setattr(self, "version", version)


class ElectorateQuery(msgspec.Struct, tag="electorate_query", frozen=True):
    """Asks a host to confirm no more leases under older electorates.

    Parameters
    ----------
    version : StoreVersion
        Version of the newest row of the electorate that the asking host knows.
    era : int
        Newest era of the store that the asking host knows.
    silent_ms : dict or None
        By host, for how long it has been silent, if the asking host keeps the
        electorate; the next one that does need not wait again.
    """

    version: StoreVersion
    era: int = 0
    silent_ms: dict[str, float] | None = None


class ElectorateAnswer(msgspec.Struct, tag="electorate_answer", frozen=True):
    """Answers an `ElectorateQuery`.

    Parameters
    ----------
    promised : bool
        Whether the host confirms no more leases under older electorates.
    ready : bool
        Whether it may become a voter: it is registered, and knows all claims.
    leaving : bool
        Whether it is shutting down.
    keeping : bool
        Whether it can change the electorate itself.
    era : int
        Newest era of the store that the host knows.
    """

    promised: bool
    ready: bool = False
    leaving: bool = False
    keeping: bool = False
    era: int = 0
