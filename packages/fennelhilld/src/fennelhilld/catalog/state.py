"""Databases, groups and limits in force."""

from __future__ import annotations

import enum

import msgspec

DEFAULT_TRANSACTION_IDLE_MS = 3_000.0  # if the catalog gives none
DEFAULT_FIRST_MESSAGE_MS = 3_000.0  # if there is no catalog, or it gives none


class ReadKind(enum.Enum):
    """How current the reads of a database must be."""

    CURRENT = "current"
    MAX_AGE = "max_age"
    OWN_WRITES = "own_writes"


class Database(msgspec.Struct, frozen=True):
    """A database that clients name when they connect.

    Parameters
    ----------
    name : str
        Name that clients connect to.
    group : str
        Database group that stores it.
    reads : ReadKind
        How current reads must be.
    max_age_ms : float
        Oldest data that a read accepts, in milliseconds; 0 for the newest only.
    statement_timeout_ms : float
        Time-out of one statement, in milliseconds.
    goal_ms : float
        Latency objective of an operation, in milliseconds.
    priority : int
        Priority class; a lower number is more urgent, 0 the most.
    public : bool
        Whether clients may use it without a key.
    """

    name: str
    group: str
    reads: ReadKind = ReadKind.CURRENT
    max_age_ms: float = 0.0
    statement_timeout_ms: float = 1_000.0
    goal_ms: float = 500.0
    priority: int = 0
    public: bool = False


class Organisation(msgspec.Struct, frozen=True):
    """A customer whose clients share keys, links and a limit.

    Parameters
    ----------
    name : str
        Its name, as targets know it.
    key_digests : tuple of str
        Digests of the keys that its clients may use.
    operations_per_s : float or None
        Operations that it may start in a second, over all hosts; None if unlimited.
    burst : float
        Operations that it may start beyond that rate at once.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    operations_per_s: float | None = None
    burst: float = 0.0


class Group(msgspec.Struct, frozen=True):
    """A database group: a leader (the primary) and its replicas.

    Parameters
    ----------
    name : str
        Name of the group.
    max_connections : int
        Connections that each of its targets accepts from all hosts together.
    sync_replicas : int
        Replicas that have received a commit when it is acknowledged; with 0 the leader
        waits for none.
    """

    name: str
    max_connections: int = 16
    sync_replicas: int = 0


class Catalog(msgspec.Struct, frozen=True):
    """One version of the configuration, in full.

    Parameters
    ----------
    version : int
        Version number; increases with every change.
    databases : dict
        `Database` by name.
    groups : dict
        `Group` by name.
    transaction_idle_ms : float
        Idle time after which a transaction may be ended, in milliseconds.
    message_bytes : int
        Largest message that is accepted, in bytes.
    first_message_ms : float
        Time-out for the first message of a connection, in milliseconds.
    organisations : dict or None
        `Organisation` by name; None if the configuration knows no organisations, so
        that no client needs a key.
    keys : dict
        Name of the organisation by the digest of a key.
    """

    version: int
    databases: dict[str, Database]
    groups: dict[str, Group]
    transaction_idle_ms: float = DEFAULT_TRANSACTION_IDLE_MS
    message_bytes: int = 1024 * 1024
    first_message_ms: float = DEFAULT_FIRST_MESSAGE_MS
    organisations: dict[str, Organisation] | None = None
    keys: dict[str, str] = {}

    def caller(self, database: Database, digest: str) -> str | None:
        """Return the organisation that a client acts for.

        Parameters
        ----------
        database : Database
            The database that the client uses.
        digest : str
            Digest of its key.

        Returns
        -------
        str or None
            Name of the organisation; empty if none is needed, None if the key is
            unknown and the database requires one.
        """
        if self.organisations is None or database.public:
            return ""
        return self.keys.get(digest)

    def withdraws_access(self, previous: Catalog) -> bool:
        """Return whether sessions opened under an earlier version may lose access.

        It is called for each new version, most of which withdraw nothing, and avoids
        a check of all sessions for those.

        Parameters
        ----------
        previous : Catalog
            The earlier version.

        Returns
        -------
        bool
            Whether a key was withdrawn, or a database now requires a key.
        """
        if self.organisations is None:
            return False
        if previous.organisations is None or previous.keys.keys() - self.keys.keys():
            return True
        return any(
            database.public
            and name in self.databases
            and not self.databases[name].public
            for name, database in previous.databases.items()
        )


class CatalogHolder:
    """The catalog in force; an older or equal version is never installed."""

    __slots__ = ("current", "installed_ms")

    def __init__(self) -> None:
        self.current: Catalog | None = None
        self.installed_ms = 0.0

    def install(self, catalog: Catalog, now_ms: float) -> bool:
        """Install a catalog if it is newer.

        Parameters
        ----------
        catalog : Catalog
            The catalog to install.
        now_ms : float
            Time on this host's clock.

        Returns
        -------
        bool
            Whether it was installed.
        """
        if self.current is not None and catalog.version <= self.current.version:
            return False
        self.current = catalog
        self.installed_ms = now_ms
        return True

    @property
    def version(self) -> int:
        """Version in force; 0 before the first."""
        return self.current.version if self.current else 0

    def caller(self, database: Database, digest: str) -> str | None:
        """Return the organisation that a client acts for under the catalog in force.

        Parameters
        ----------
        database : Database
            The database that the client uses.
        digest : str
            Digest of its key.

        Returns
        -------
        str or None
            As `Catalog.caller`; None before the first catalog.
        """
        return self.current.caller(database, digest) if self.current else None

    def database(self, name: str) -> Database | None:
        """Look up a database.

        Parameters
        ----------
        name : str
            As clients name it.

        Returns
        -------
        Database or None
            None if the catalog in force has no such database.
        """
        return self.current.databases.get(name) if self.current else None
