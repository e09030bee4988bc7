"""The database of the target stand-in: sqlite3 files with a replicated log."""

from __future__ import annotations

import sqlite3
import tempfile
from pathlib import Path
from typing import Any

import msgspec
from fennelhilld.targets.messages import Fault, Rows, Statement

_DENIED_ACTIONS = {
    sqlite3.SQLITE_TRANSACTION,
    sqlite3.SQLITE_SAVEPOINT,
    sqlite3.SQLITE_ATTACH,
    sqlite3.SQLITE_DETACH,
    sqlite3.SQLITE_PRAGMA,
}


class LogEntry(msgspec.Struct):
    """One committed transaction.

    Parameters
    ----------
    term : int
        Term of the primary that committed it.
    at_s : float
        Event loop time of the commit, for the emulated replication delay.
    writes : list
        Pairs of SQL text and parameters, in order of execution.
    """

    term: int
    at_s: float
    writes: list[tuple[str, list[Any]]]


class SqlFault(Exception):  # noqa: N818 - named after the protocol's Fault
    """Failure of a statement.

    Parameters
    ----------
    fault : Fault
        Kind of failure.
    detail : str
        The message.
    """

    def __init__(self, fault: Fault, detail: str) -> None:
        super().__init__(detail)
        self.fault = fault


class Database:
    """A sqlite3 file and the log of the transactions committed to it.

    Parameters
    ----------
    name : str
        Name of the target, which becomes part of the directory's name.
    """

    def __init__(self, name: str) -> None:
        self._directory = tempfile.TemporaryDirectory(prefix=f"fennelhill-{name}-")
        self._generation = 0
        self.log: list[LogEntry] = []
        self._applier = self._create_file()

    @property
    def path(self) -> Path:
        """Path of the current database file."""
        return Path(self._directory.name) / f"{self._generation}.sqlite"

    def connect(self) -> sqlite3.Connection:
        """Open a connection in sqlite3's autocommit mode.

        Returns
        -------
        sqlite3.Connection
            The connection.
        """
        connection = sqlite3.connect(
            self.path, isolation_level=None, cached_statements=64
        )
        connection.execute("PRAGMA synchronous=OFF")
        connection.execute("PRAGMA busy_timeout=0")
        return connection

    def apply(self, entry: LogEntry) -> None:
        """Run a replicated transaction and append it to the log.

        Parameters
        ----------
        entry : LogEntry
            Log entry of the primary.
        """
        self._applier.execute("BEGIN IMMEDIATE")
        for sql, params in entry.writes:
            self._applier.execute(sql, params)
        self._applier.execute("COMMIT")
        self.log.append(entry)

    def truncate(self, length: int) -> None:
        """Truncate the log, and rebuild the database from the remaining entries.

        Parameters
        ----------
        length : int
            Number of entries to keep.
        """
        kept = self.log[:length]
        self._applier.close()
        self._generation += 1
        self.log = []
        self._applier = self._create_file()
        for entry in kept:
            self.apply(entry)

    def close(self) -> None:
        """Close the database and remove its files."""
        self._applier.close()
        self._directory.cleanup()

    def _create_file(self) -> sqlite3.Connection:
        connection = self.connect()
        connection.execute("PRAGMA journal_mode=WAL")
        return connection


class SqlSession:
    """The SQL state of one connection: at most one open transaction.

    Parameters
    ----------
    database : Database
        The database of the target.
    """

    __slots__ = ("_connection", "_database", "in_write", "open", "writes")

    def __init__(self, database: Database) -> None:
        self._database = database
        self._connection: sqlite3.Connection | None = None
        self.open = False
        self.in_write = False
        self.writes: list[tuple[str, list[Any]]] = []

    def begin(self, write: bool) -> None:
        """Open a transaction.

        Parameters
        ----------
        write : bool
            Whether it may change data.
        """
        if self.open:
            # Like many servers, continue the open transaction without an error.  If
            # the proxy hands out a connection with an open transaction, the work of
            # two callers is mixed.
            return
        connection = self._get_connection()
        connection.set_authorizer(None)
        connection.execute(f"PRAGMA query_only={0 if write else 1}")
        connection.execute("BEGIN IMMEDIATE" if write else "BEGIN")
        connection.set_authorizer(_authorize)
        self.open = True
        self.in_write = write
        self.writes = []

    def run(self, statement: Statement, max_rows: int) -> Rows:
        """Run one statement in the open transaction.

        Parameters
        ----------
        statement : Statement
            The statement.
        max_rows : int
            Maximum number of rows in the answer.

        Returns
        -------
        Rows
            The result.

        Raises
        ------
        SqlFault
            If the statement fails; the caller must roll back.
        """
        connection = self._get_connection()
        changes_before = connection.total_changes
        try:
            cursor = connection.execute(statement.sql, statement.params)
            rows = [list(row) for row in cursor.fetchmany(max_rows + 1)]
        except (sqlite3.Error, sqlite3.Warning, OverflowError, ValueError) as error:
            raise SqlFault(Fault.SQL, str(error)) from error
        if len(rows) > max_rows:
            raise SqlFault(Fault.ANSWER_TOO_LARGE, f"more than {max_rows} rows")
        if any(isinstance(value, bytes) for row in rows for value in row):
            raise SqlFault(Fault.SQL, "blob values are not supported; use hex()")
        changed = connection.total_changes - changes_before
        if statement.require_rows not in (-1, changed):
            raise SqlFault(Fault.REQUIREMENT, f"changed {changed} rows")
        if self.in_write and statement.sql.lstrip()[:6].lower() != "select":
            self.writes.append((statement.sql, statement.params))
        columns = [column[0] for column in cursor.description or []]
        return Rows(columns, rows, changed)

    def commit(self, term: int, at_s: float) -> None:
        """Commit, and append the writes to the log.

        Parameters
        ----------
        term : int
            The primary's term.
        at_s : float
            Event loop time of the commit.
        """
        self._end_transaction("COMMIT")
        if self.writes:
            self._database.log.append(LogEntry(term, at_s, self.writes))
            self.writes = []

    def rollback(self) -> None:
        """Roll back the open transaction, if any."""
        if self.open:
            self._end_transaction("ROLLBACK")
        self.writes = []

    def reset(self) -> None:
        """Roll back and discard the session state of the connection.

        A connection with temporary tables is closed, which drops them.
        """
        self.rollback()
        connection = self._get_connection()
        connection.set_authorizer(None)
        temporary_objects = connection.execute(
            "SELECT count(*) FROM sqlite_temp_master"
        ).fetchone()
        if temporary_objects[0]:
            self.close()

    def close(self) -> None:
        """Close the sqlite3 connection; an open transaction is rolled back."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None
        self.open = False
        self.in_write = False
        self.writes = []

    def _get_connection(self) -> sqlite3.Connection:
        if self._connection is None:
            self._connection = self._database.connect()
        return self._connection

    def _end_transaction(self, sql: str) -> None:
        connection = self._get_connection()
        connection.set_authorizer(None)
        connection.execute(sql)
        self.open = False
        self.in_write = False


def _authorize(action: int, *_: object) -> int:
    return sqlite3.SQLITE_DENY if action in _DENIED_ACTIONS else sqlite3.SQLITE_OK
