"""Statements of clients, and the replies to them."""

from __future__ import annotations

import enum

import msgspec
from fennelhill_core.codes import Code
from fennelhill_core.tokens import Position


class StatementKind(enum.Enum):
    """Kind of a client's statement."""

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
    """Transaction state of a session or of a link to a target."""

    IDLE = "idle"
    OPEN = "open"
    FAILED = "failed"


class Statement(msgspec.Struct, frozen=True, omit_defaults=True):
    """One statement of a client, decoded.

    Parameters
    ----------
    request_id : str
        The client's id of this statement, passed on unchanged.
    kind : StatementKind
        Its kind.
    text : str
        The text as the client wrote it, passed on unchanged.
    name : str
        Name of the session value or prepared statement.
    value : str
        The value that a SET gives to a session value.
    arguments : str
        Text after the name in an EXECUTE.
    writes : bool
        Whether it changes data.  In a PREPARE: whether the prepared statement does;
        an EXECUTE doesn't repeat it.
    shape : str
        Text that defines the statement in a PREPARE, passed on unchanged.
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
        The target's signature; empty if the daemon itself answered.
    code : Code or None
        Result code of a failure; None on success.
    detail : str
        Human-readable detail of a failure.
    state : TransactionState
        State of the session afterwards.
    position : Position or None
        The target's log position, if known.
    """

    rows: list[str] = []
    signature: str = ""
    code: Code | None = None
    detail: str = ""
    state: TransactionState = TransactionState.IDLE
    position: Position | None = None
