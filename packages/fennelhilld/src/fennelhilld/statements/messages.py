"""Statements of clients, and the replies to them."""

from __future__ import annotations

import enum

import msgspec
from fennelhill_core.codes import Code
from fennelhill_core.tokens import Position


class StatementKind(enum.Enum):
    """What a client asks for with one statement."""

    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin_read_only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    READ = "read"
    WRITE = "write"
    SET_VALUE = "set_value"
    PREPARE = "prepare"
    EXECUTE = "execute"
    DEALLOCATE = "deallocate"


class TransactionState(enum.Enum):
    """State of a session after a reply."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class Statement(msgspec.Struct, frozen=True):
    """One statement of a client, decoded.

    Parameters
    ----------
    request_id : str
        The client's id for this statement, passed on unchanged.
    kind : StatementKind
        What it asks for.
    text : str
        The text as the client wrote it, passed on unchanged.
    name : str
        Session value or prepared statement that it names.
    value : str
        Content of a session value.
    arguments : str
        What follows the name in an execution.
    writes : bool
        Whether it changes data; of a preparation, whether executing it does.
    shape : str
        Shape of a prepared statement.
    """

    request_id: str
    kind: StatementKind
    text: str
    name: str = ""
    value: str = ""
    arguments: str = ""
    writes: bool = False
    shape: str = ""


class Reply(msgspec.Struct):
    """The whole answer to one statement.

    Parameters
    ----------
    rows : list of str
        The rows that the target sent, unchanged.
    signature : str
        The target's signature; empty where the daemon answered itself.
    code : Code or None
        Why the statement failed; nothing on success.
    detail : str
        What happened, for people.
    state : TransactionState
        State of the session afterwards.
    position : Position or None
        The target's log position, where one is known.
    """

    rows: list[str] = []
    signature: str = ""
    code: Code | None = None
    detail: str = ""
    state: TransactionState = TransactionState.IDLE
    position: Position | None = None
