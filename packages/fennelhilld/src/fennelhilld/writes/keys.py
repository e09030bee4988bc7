"""Idempotency keys, stored in the same transaction as the request's changes."""

from __future__ import annotations

import hashlib
from typing import Any

import msgspec
from fennelhill_core.codes import KEY_CANCELLED, KEY_REUSED, Refusal
from result import Err, Ok, Result

from fennelhilld.peers.messages import Answer
from fennelhilld.targets.messages import Rows, Statement

TABLE = "fennelhill_keys"
CREATE_TABLE = (
    f"CREATE TABLE IF NOT EXISTS {TABLE} ("
    "team TEXT NOT NULL, key TEXT NOT NULL, digest TEXT NOT NULL, "
    "answer TEXT NOT NULL, created_ms INTEGER NOT NULL, PRIMARY KEY (team, key))"
)
CREATE_INDEX = f"CREATE INDEX IF NOT EXISTS {TABLE}_age ON {TABLE} (created_ms)"
# Values of the column `answer` that are not encoded answers.  `PENDING` is replaced
# before the transaction commits.
CANCELLED = "cancelled"
PENDING = ""
MAX_KEYS_PER_DELETE = 500
DIGEST_BYTES = 16  # of a request, and of a whole transaction


class StoredAnswer(msgspec.Struct, omit_defaults=True):
    """The part of an answer that is replayed to later requests with the same key."""

    columns: list[str] = []
    rows: list[list[Any]] = []
    changed: int = 0

    @classmethod
    def from_rows(cls, rows: Rows) -> StoredAnswer:
        """Build the stored answer from the result of a statement.

        Parameters
        ----------
        rows : Rows
            Result of the request's statement.

        Returns
        -------
        StoredAnswer
            What is stored with the key.
        """
        return cls(rows.columns, rows.rows, rows.changed)


def digest_of(sql: str, params: list[Any]) -> str:
    """Return a digest that tells a repeated request from another with the same key.

    Parameters
    ----------
    sql : str
        The statement.
    params : list
        Its parameters.

    Returns
    -------
    str
        Hexadecimal digest.
    """
    body = msgspec.json.encode([sql, params])
    return hashlib.blake2b(body, digest_size=DIGEST_BYTES).hexdigest()


def reserve(team: str, key: str, digest: str, wall_ms: int, answer: str) -> Statement:
    """Return the statement that reserves a key for this transaction.

    Parameters
    ----------
    team : str
        The customer team; each team has its own keys.
    key : str
        The idempotency key.
    digest : str
        Digest of the request.
    wall_ms : int
        Wall-clock time, at which the retention period begins.
    answer : str
        Initial value of the column `answer`.

    Returns
    -------
    Statement
        An insert that rolls its batch back if the key is already in use.
    """
    sql = (
        f"INSERT INTO {TABLE} (team, key, digest, answer, created_ms) "
        "VALUES (?, ?, ?, ?, ?) ON CONFLICT DO NOTHING"
    )
    return Statement(sql, [team, key, digest, answer, wall_ms], require_rows=1)


def store_answer(team: str, key: str, answer: StoredAnswer) -> Statement:
    """Return the statement that stores the answer with its key.

    Parameters
    ----------
    team : str
        The customer team.
    key : str
        The idempotency key.
    answer : StoredAnswer
        The answer.

    Returns
    -------
    Statement
        An update of exactly one row.
    """
    sql = f"UPDATE {TABLE} SET answer = ? WHERE team = ? AND key = ?"
    text = msgspec.json.encode(answer).decode()
    return Statement(sql, [text, team, key], require_rows=1)


def cancel(team: str, key: str, wall_ms: int) -> Statement:
    """Return the statement that cancels a key, so that its request can't run later.

    Parameters
    ----------
    team : str
        The customer team.
    key : str
        The idempotency key.
    wall_ms : int
        Wall-clock time, at which the retention period begins.

    Returns
    -------
    Statement
        An insert that changes nothing if the key is already in use.
    """
    statement = reserve(team, key, "", wall_ms, CANCELLED)
    statement.require_rows = -1
    return statement


def look_up(team: str, key: str) -> Statement:
    """Return the query for the answer that is stored with a key.

    Parameters
    ----------
    team : str
        The customer team.
    key : str
        The idempotency key.

    Returns
    -------
    Statement
        Yields at most one row, for `answer_from`.
    """
    sql = f"SELECT digest, answer FROM {TABLE} WHERE team = ? AND key = ?"
    return Statement(sql, [team, key])


def delete_older_than(before_ms: int) -> Statement:
    """Return the statement that deletes old keys, a bounded number at a time.

    Parameters
    ----------
    before_ms : int
        Wall-clock time; keys created before it are deleted.

    Returns
    -------
    Statement
        A delete.
    """
    sql = (
        f"DELETE FROM {TABLE} WHERE rowid IN (SELECT rowid FROM {TABLE} "
        "WHERE created_ms < ? ORDER BY created_ms LIMIT ?)"
    )
    return Statement(sql, [before_ms, MAX_KEYS_PER_DELETE])


def answer_from(rows: Rows, digest: str | None) -> Result[Answer, Refusal] | None:
    """Decode the answer that is stored with a key.

    Parameters
    ----------
    rows : Rows
        Result of `look_up`.
    digest : str or None
        Digest of the request; None for an outcome query, which has only the key.

    Returns
    -------
    Result or None
        The stored answer, or a refusal if the key is cancelled or belongs to another
        request; None if the key is not in use.
    """
    if not rows.rows:
        return None
    stored_digest, stored_text = rows.rows[0]
    if stored_text == CANCELLED:
        return Err(Refusal.of(KEY_CANCELLED))
    if digest is not None and digest != stored_digest:
        return Err(Refusal.of(KEY_REUSED))
    stored = msgspec.json.decode(stored_text, type=StoredAnswer)
    return Ok(Answer(stored.columns, stored.rows, stored.changed, replayed=True))
