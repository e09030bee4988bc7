"""Messages exchanged with a target."""

from __future__ import annotations

import enum
from typing import Any

import msgspec
from fennelhill_core.tokens import Position


class Begin(enum.Enum):
    """Kind of transaction that a batch begins."""

    NONE = "none"
    READ = "read"
    WRITE = "write"


class End(enum.Enum):
    """How a batch ends the transaction of its connection."""

    NONE = "none"
    COMMIT = "commit"
    ROLLBACK = "rollback"


class Statement(msgspec.Struct, omit_defaults=True):
    """One SQL statement.

    Parameters
    ----------
    sql : str
        The statement, with ``?`` for parameters.
    params : list
        One JSON value for each parameter.
    require_rows : int
        Number of rows that the statement must change, else the batch is rolled back;
        -1 for any number.
    """

    sql: str
    params: list[Any] = []
    require_rows: int = -1


class Batch(msgspec.Struct, omit_defaults=True):
    """Statements that run in order on one connection, in one transaction.

    Any failure rolls the transaction back and skips the rest of the batch.

    Parameters
    ----------
    statements : list of Statement
        The statements to run.
    term : int
        The latest term that the sender knows; a target of a higher term refuses.
        0 stands for a read that a target of any role may serve.
    begin : Begin
        Transaction to begin first.
    end : End
        How to end the transaction after the statements.
    reset : bool
        Whether to reset the connection to its initial state afterwards.
    max_rows : int
        Maximum number of rows in the answer; more are a failure.
    idle_ms : float
        How long the target keeps the transaction open without another batch.  The
        proxy has limits of its own, but can't enforce them on a connection that no
        longer delivers messages while the target still holds its locks.
    """

    statements: list[Statement]
    term: int = 0
    begin: Begin = Begin.NONE
    end: End = End.NONE
    reset: bool = False
    max_rows: int = 5000
    idle_ms: float = 1000.0


class Rows(msgspec.Struct, omit_defaults=True):
    """The result of one statement.

    Parameters
    ----------
    columns : list of str
        Column names; empty for a statement without rows.
    rows : list of list
        The rows.
    changed : int
        Number of rows that the statement changed.
    """

    columns: list[str] = []
    rows: list[list[Any]] = []
    changed: int = 0


class Fault(enum.Enum):
    """Why a target did not carry out a request.

    ``REQUIREMENT`` means that a statement did not change `Statement.require_rows`
    rows.
    """

    NONE = ""
    SQL = "sql"
    ANSWER_TOO_LARGE = "answer_too_large"
    NOT_PRIMARY = "not_primary"
    REQUIREMENT = "requirement"
    LOCK_TIMEOUT = "lock_timeout"
    NO_TRANSACTION = "no_transaction"
    TOO_MANY_CONNECTIONS = "too_many_connections"


class BatchReply(msgspec.Struct, omit_defaults=True):
    """Answer to a batch.

    Parameters
    ----------
    results : list of Rows
        One for each statement that ran.
    position : Position
        Position of the committed entry, or the log position that a read saw.  Its
        term is that of the primary that the target's log is reconciled with.
    fault : Fault
        Why the batch was rolled back.
    detail : str
        The target's error message.
    """

    results: list[Rows] = []
    position: Position = Position()
    fault: Fault = Fault.NONE
    detail: str = ""


class Hello(msgspec.Struct, omit_defaults=True):
    """Opens a connection.

    Parameters
    ----------
    control : bool
        Whether this is a control connection, for status queries and the orders
        `Fence`, `Promote` and `Follow`; it runs no batches.
    silence_ms : float
        Idle time-out in milliseconds: after that long without a message, the target
        closes the connection, because the other end must have abandoned it.
    """

    control: bool = False
    silence_ms: float = 8_000.0


class HelloReply(msgspec.Struct, omit_defaults=True):
    """Answer to `Hello`; a fault if the connection is refused."""

    fault: Fault = Fault.NONE


class Status(msgspec.Struct, omit_defaults=True):
    """Status that a target reports.

    Parameters
    ----------
    target : str
        Name of the target.
    term : int
        The highest term that it has granted.
    primary : bool
        Whether it is the primary of that term.
    position : Position
        End of its applied log: the term of the primary that it is reconciled with,
        and the index of the last entry.
    last_entry_term : int
        Term of the last entry in its log.
    leader : str
        The target that it replicates from; empty for none.
    leaving : bool
        Whether it is about to be taken out of service.
    """

    target: str
    term: int
    primary: bool
    position: Position
    last_entry_term: int = 0
    leader: str = ""
    leaving: bool = False


class WaitApplied(msgspec.Struct):
    """Ask for the status once the log has reached a position, or at a time-out.

    Parameters
    ----------
    position : Position
        The position to wait for.
    limit_ms : float
        Longest wait in milliseconds.
    """

    position: Position
    limit_ms: float


class Fence(msgspec.Struct):
    """Order to grant a term to one attempt and to refuse all lower terms.

    Parameters
    ----------
    term : int
        The new term.
    attempt : str
        Unique id of the promotion attempt; a term is granted to one attempt only.
    """

    term: int
    attempt: str


class Promote(msgspec.Struct):
    """Order to become the primary of a term that was granted to this attempt."""

    term: int
    attempt: str


class Follow(msgspec.Struct):
    """Order to replicate from the primary of a term."""

    term: int
    leader: str


class ControlReply(msgspec.Struct):
    """Answer to an order: whether it was obeyed, and the status after it."""

    obeyed: bool
    status: Status
