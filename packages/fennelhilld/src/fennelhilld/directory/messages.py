"""Messages between hosts about the store's tables, sent as datagrams."""

from __future__ import annotations

import msgspec
from fennelhill_core.platform import StoreVersion


class TableState(msgspec.Struct, frozen=True):
    """What a host knows of a table.

    Parameters
    ----------
    newest_change : StoreVersion
        All changes made until `age_ms` ago have at most this version.
    age_ms : float
        Age of that knowledge when the answer was sent.
    """

    newest_change: StoreVersion
    age_ms: float


class TableQuery(msgspec.Struct, tag="table_query", frozen=True):
    """Asks a host for the newest changes that it knows.

    Parameters
    ----------
    era : int
        Newest era of the store that the asking host knows.
    """

    era: int = 0


class TableAnswer(msgspec.Struct, tag="table_answer", frozen=True):
    """Answers a `TableQuery`.

    Parameters
    ----------
    tables : dict
        `TableState` by table.
    era : int
        Newest era of the store that the host knows.
    """

    tables: dict[str, TableState] = {}
    era: int = 0
