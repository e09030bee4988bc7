"""Commands to targets, their answers, and the interface of link drivers."""

from __future__ import annotations

import enum
import math
from typing import Protocol

import msgspec
from fennelhill_core.tokens import Position

from fennelhilld.statements.messages import Statement, TransactionState

# Why an idle transaction was rolled back, as its client is told.
ENDED_FOR_OTHERS = "the transaction was idle while others waited, and was rolled back"


class CommandKind(enum.Enum):
    """Kind of a command to a target."""

    STATEMENT = "statement"
    BEGIN = "begin"
    BEGIN_READ_ONLY = "begin_read_only"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SET_VALUE = "set_value"
    PREPARE = "prepare"
    DEALLOCATE = "deallocate"
    RESET = "reset"
    STATUS = "status"
    DEMOTE = "demote"


class Command(msgspec.Struct, omit_defaults=True):
    """One command on a link.

    Parameters
    ----------
    kind : CommandKind
        What the target is asked to do.
    statement : Statement or None
        The client's statement; None for the daemon's own commands.
    name : str
        Name of a session value, or name of a prepared statement on the link.
    value : str
        Content of a session value, or the shape of a prepared statement.
    writes : bool
        Whether a prepared statement changes data.
    after : Position or None
        Log position that the target must have applied; otherwise it refuses.
    term : int
        In a demotion: a target that leads in an earlier term becomes a replica.
    """

    kind: CommandKind
    statement: Statement | None = None
    name: str = ""
    value: str = ""
    writes: bool = False
    after: Position | None = None
    term: int = 0


class TargetFault(enum.Enum):
    """Why a target refused or failed a command."""

    BUSY = "busy"
    UNKNOWN_PREPARED = "unknown_prepared"
    BEHIND = "behind"
    NOT_LEADING = "not_leading"
    WRONG_TARGET = "wrong_target"
    TOO_MANY_CONNECTIONS = "too_many_connections"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    ABORTED = "aborted"
    MALFORMED = "malformed"
    OTHER = "other"

    @property
    def not_run(self) -> bool:
        """Whether the target guarantees that the command had no effect."""
        return self in _NOT_RUN


_NOT_RUN = frozenset(
    {
        TargetFault.BUSY,
        TargetFault.UNKNOWN_PREPARED,
        TargetFault.BEHIND,
        TargetFault.NOT_LEADING,
        TargetFault.WRONG_TARGET,
        TargetFault.TOO_MANY_CONNECTIONS,
    }
)


class TargetAnswer(msgspec.Struct, omit_defaults=True):
    """The complete answer to one command.

    Parameters
    ----------
    rows : list of str
        Rows as sent.
    signature : str
        Proof that this target ran a statement or commit; empty for other commands.
    fault : TargetFault or None
        Why the command failed; None on success.
    detail : str
        The target's error message.
    state : TransactionState
        Transaction state of the link.
    position : Position or None
        Last log position of the target.
    """

    rows: list[str] = []
    signature: str = ""
    fault: TargetFault | None = None
    detail: str = ""
    state: TransactionState = TransactionState.IDLE
    position: Position | None = None


class TargetStatus(msgspec.Struct):
    """The status that a target reports.

    Parameters
    ----------
    leads : bool
        Whether it reports that it is the leader.
    term : int
        Newest term that it has seen.
    received : Position
        Last log position that it has received.
    lag_ms : float
        Replication lag, in milliseconds.
    """

    leads: bool
    term: int
    received: Position
    lag_ms: float


class LinkLostError(Exception):
    """The connection is lost or out of sync; commands sent on it may have run."""


class NoLinkError(Exception):
    """No link became free in time, or none is expected to; nothing was sent.

    Parameters
    ----------
    expected_ms : float
        Expected wait, in milliseconds, if the request was refused because it was too
        long; 0 if the request ran out of time.
    """

    def __init__(self, expected_ms: float = 0.0) -> None:
        super().__init__("no link became free in time, or none is expected to")
        self.expected_ms = expected_ms


class LinkRefusedError(Exception):
    """No connection could be opened; nothing was run.

    Parameters
    ----------
    fault : TargetFault
        Kind of the refusal.
    detail : str
        Description for logs and error messages.
    """

    def __init__(self, fault: TargetFault, detail: str) -> None:
        super().__init__(f"{fault.value}: {detail}")
        self.fault = fault


class Urgency(msgspec.Struct, frozen=True):
    """How soon the answers to a batch are needed.

    Parameters
    ----------
    limit_ms : float
        Time after which the answers are of no use, in milliseconds.
    priority : int
        Priority class; a lower number is more urgent.
    due_in_ms : float
        Time until the answers are due by their latency objective, in milliseconds.
    organisation : str
        Organisation on whose link the commands must run; empty if none.
    send_by_ms : float
        Until when the commands may be sent to a target, on the clock that counts
        suspended time.
    wait_ms : float
        Longest wait for a connection to the target, in milliseconds; after that the
        commands are of use elsewhere.
    """

    limit_ms: float
    priority: int = 0
    due_in_ms: float = 0.0
    organisation: str = ""
    send_by_ms: float = math.inf
    wait_ms: float = math.inf


class TargetLink(Protocol):
    """One connection to a target.  Answers arrive in the order of commands."""

    @property
    def closed(self) -> bool:
        """Whether the connection is closed."""

    async def send(
        self, commands: list[Command], urgency: Urgency | None = None
    ) -> None:
        """Write commands as one batch; raises `LinkLostError`."""

    async def receive(self) -> TargetAnswer:
        """Return the next complete answer; raises `LinkLostError`."""

    def close(self) -> None:
        """Close the connection; the target rolls back an open transaction."""


class LinkDriver(Protocol):
    """Opens connections to targets."""

    async def open(
        self,
        group: str,
        target_id: str,
        address: str,
        limit_ms: float,
        organisation: str = "",
    ) -> TargetLink:
        """Open a link of an organisation to a target; raises `LinkRefusedError`."""

    async def status(self, link: TargetLink) -> TargetStatus | None:
        """Return the target's status, or None if it is busy; raises `LinkLostError`."""

    async def demote(self, link: TargetLink, term: int) -> TargetStatus | None:
        """Make the target a replica if it leads in an earlier term than the given one.

        Returns its status after that, or None if it is busy; raises `LinkLostError`.
        """
