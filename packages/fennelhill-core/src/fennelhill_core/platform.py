"""Interfaces of the platform's services, and the messages that they exchange."""

from __future__ import annotations

import enum
from typing import Protocol

import msgspec


class StoreFault(enum.Enum):
    """Why a call to the platform failed."""

    DOWN = "down"
    RATE_LIMITED = "rate_limited"
    NO_ANSWER = "no_answer"


class StoreUnavailableError(Exception):
    """A call to the platform failed; after ``NO_ANSWER`` it may have taken effect.

    Parameters
    ----------
    fault : StoreFault
        Why the call failed.
    """

    def __init__(self, fault: StoreFault) -> None:
        super().__init__(fault.value)
        self.fault = fault


# Versions of one era, which the store takes from a counter of transactions, stay below
# this number.  Eras up to 9,000 leave the product exact in a double.
VERSIONS_PER_ERA = 10**12


class StoreVersion(int):
    """A version of the store, ordered by era first.

    The store counts versions from lower numbers again when it comes back from an
    older copy; its era then rises by one.  So versions of different eras are never
    compared as bare numbers.  A bare number is a version of era 0, which is that of a
    store without eras, and older than everything in a later one.

    As a number it also serves as a fencing token: it rises over eras.
    """

    __slots__ = ()

    @classmethod
    def from_parts(cls, era: int, version: int) -> StoreVersion:
        """Combine an era and the store's own version.

        Parameters
        ----------
        era : int
            The era; 0 or higher.
        version : int
            The version as the store returned it in that era.

        Returns
        -------
        StoreVersion
            The version.

        Raises
        ------
        ValueError
            If the version is negative or not below `VERSIONS_PER_ERA`.

        Examples
        --------
        >>> version = StoreVersion.from_parts(2, 17)
        >>> version.era, version.number, version > StoreVersion.from_parts(1, 400)
        (2, 17, True)
        """
        if not 0 <= version < VERSIONS_PER_ERA:
            raise ValueError(f"version out of range: {version}")
        return cls(era * VERSIONS_PER_ERA + version)

    @property
    def era(self) -> int:
        """Era of the store."""
        return int(self) // VERSIONS_PER_ERA

    @property
    def number(self) -> int:
        """The store's own version within the era."""
        return int(self) % VERSIONS_PER_ERA


class Row(msgspec.Struct):
    """A row of the table service.

    Parameters
    ----------
    version : int
        Number of writes to this row, from 1.
    value : str
        The content; JSON by convention.
    """

    version: int
    value: str


class Commit(msgspec.Struct):
    """A conditional transaction.

    Parameters
    ----------
    expect : dict
        Version that each named row must have; 0 if the row must not exist.
    put : dict
        New content by row name.
    """

    expect: dict[str, int]
    put: dict[str, str]


class CommitReply(msgspec.Struct):
    """Whether the conditions of a transaction held."""

    committed: bool


class HostState(enum.Enum):
    """State of a host in the platform's host list."""

    LIVE = "live"
    LEAVING = "leaving"


class HostEntry(msgspec.Struct):
    """One entry of the host list."""

    id: str
    state: HostState = HostState.LIVE


class TableService(Protocol):
    """The platform's transactional table service."""

    async def read(self, key: str) -> Row | None:
        """Read a row; raises `StoreUnavailableError`."""

    async def commit(self, commit: Commit) -> CommitReply:
        """Run a conditional transaction; raises `StoreUnavailableError`."""


class HostList(Protocol):
    """The platform's host list, which lags behind the state of the hosts."""

    async def hosts(self) -> list[HostEntry]:
        """Return the list; raises `StoreUnavailableError`."""
