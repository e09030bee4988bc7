"""Messages between entry hosts: requests to a target's owner, and heartbeats."""

from __future__ import annotations

import enum
from typing import Any

import msgspec
from fennelhill_core.codes import Refusal
from fennelhill_core.settings import Acknowledgement, Priority
from fennelhill_core.tokens import Position


class Operation(enum.Enum):
    """What a target's owner is asked to do; ``GET_VIEW`` only asks for its view."""

    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    STATEMENT = "statement"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    OUTCOME = "outcome"
    GET_VIEW = "look"


class OwnerRequest(msgspec.Struct, omit_defaults=True):
    """One request to the host that owns a target.

    It includes the team's settings that the owner needs, so that the owner serves it
    by these even if its own settings have another revision.

    Parameters
    ----------
    operation : Operation
        What to do.
    group : str
        The database group.
    target : str
        The target.
    team : str
        The customer team.
    weight : float
        The team's share under overload.
    tier : Priority
        Which requests are shed first under overload.
    remaining_ms : float
        Time left until the caller's deadline, at the time of sending.
    sql : str
        The statement.
    params : list
        Its parameters.
    need : Position
        Position of the session's writes, which the request must see.
    allowed_age_ms : float
        Highest data age that a read accepts; 0 requires the confirmed primary.
    ack : Acknowledgement
        What a write waits for before it is acknowledged.
    key : str
        Idempotency key; empty for a request without one, such as a read or an
        idempotent write.
    digest : str
        Digest of the request, to compare with the one stored with the key.
    transaction : int
        Nonce of the open transaction; 0 for a request outside one.
    """

    operation: Operation
    group: str
    target: str
    team: str
    weight: float = 1.0
    tier: Priority = Priority.NORMAL
    remaining_ms: float = 1000.0
    sql: str = ""
    params: list[Any] = []
    need: Position = Position()
    allowed_age_ms: float = 0.0
    ack: Acknowledgement = Acknowledgement.CONFIRMED
    key: str = ""
    digest: str = ""
    transaction: int = 0


class TargetView(msgspec.Struct, omit_defaults=True):
    """An owner's view of a target.

    Parameters
    ----------
    primary : bool
        Whether it is the primary of its term.
    term : int
        Highest term that it has granted.
    position : Position
        End of its applied log.
    age_ms : float
        Confirmed age of its data; -1 if unknown.
    wait_ms : float
        Expected wait for a slot; -1 unless the sender owns the target and the request
        was for it.
    leaving : bool
        Whether it must receive no new requests.
    """

    primary: bool = False
    term: int = 0
    position: Position = Position()
    age_ms: float = -1.0
    wait_ms: float = -1.0
    leaving: bool = False


class GroupView(msgspec.Struct):
    """An owner's view of a group's targets, by name."""

    targets: dict[str, TargetView]


class Answer(msgspec.Struct, omit_defaults=True):
    """The result of a request that was served.

    Parameters
    ----------
    columns : list of str
        Column names.
    rows : list of list
        The rows.
    changed : int
        Rows that were changed.
    position : Position
        Position of the write; zero for a read.
    replica : bool
        Whether a replica served a read.
    replayed : bool
        Whether this is the stored answer to an earlier request with the same key.
    transaction : int
        Nonce of the transaction that was begun.
    host : str
        Entry host that keeps the connection of the transaction that was begun.
    cancelled : bool
        For an outcome query: the request did not run and never will.
    """

    columns: list[str] = []
    rows: list[list[Any]] = []
    changed: int = 0
    position: Position = Position()
    replica: bool = False
    replayed: bool = False
    transaction: int = 0
    host: str = ""
    cancelled: bool = False


class OwnerReply(msgspec.Struct, omit_defaults=True):
    """An answer or a refusal (neither for ``GET_VIEW``), with the view of the group."""

    answer: Answer | None = None
    refusal: Refusal | None = None
    view: GroupView | None = None


class Heartbeat(msgspec.Struct):
    """A heartbeat between entry hosts, and the answer to it.

    Parameters
    ----------
    host : str
        The sender.
    leaving : bool
        Whether the sender must receive no new requests.
    at_ms : int
        The sender's wall clock, in milliseconds.
    """

    host: str
    leaving: bool = False
    at_ms: int = 0


class PrimarySilenceQuery(msgspec.Struct):
    """Asks another entry host how long a group's primary has not answered it.

    Parameters
    ----------
    group : str
        The database group.
    term : int
        The highest term that the sender has seen.
    """

    group: str
    term: int


class PrimarySilenceReply(msgspec.Struct):
    """Answer to a `PrimarySilenceQuery`.

    Parameters
    ----------
    zone : str
        Availability zone of the entry host that answers.
    silence_ms : float
        How long the primary has not answered that host, in milliseconds; -1 if
        unknown, which the host that asks counts like a long silence.
    term : int
        The highest term that the entry host that answers has seen.
    """

    zone: str
    silence_ms: float
    term: int
