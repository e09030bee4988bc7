"""Messages between a host and an owner of a target."""

from __future__ import annotations

import msgspec

from fennelhilld.links.messages import Command, TargetAnswer

RUN = "run"
CLOSE = "close"
PING = "ping"


class RelayBatch(msgspec.Struct, omit_defaults=True):
    """Commands that an owner runs on one of its links.

    Parameters
    ----------
    group : str
        Group of the target.
    target_id : str
        The target.
    commands : list of Command
        The commands, without those that replay session state.
    limit_ms : float
        Time within which the answers are needed, in milliseconds.
    wait_ms : float
        Longest wait for a link, in milliseconds.
    priority : int
        Priority class; a lower number is more urgent.
    due_in_ms : float
        Time until the answer is due by its latency objective, in milliseconds.
    link : int
        Number of the sender's link, unique on the stream.
    in_transaction : bool
        Whether a transaction is open on that link.
    values : dict
        Session values.
    shape : str
        Shape of the prepared statement that the commands execute; empty if none.
    shape_writes : bool
        Whether that statement changes data.
    organisation : str
        Organisation on whose link the commands run; empty if none.
    """

    group: str
    target_id: str
    commands: list[Command]
    limit_ms: float
    wait_ms: float
    priority: int = 0
    due_in_ms: float = 0.0
    link: int = 0
    in_transaction: bool = False
    values: dict[str, str] = {}
    shape: str = ""
    shape_writes: bool = False
    organisation: str = ""


class LoadReport(msgspec.Struct, omit_defaults=True):
    """How long an owner's queue for a target is.

    Parameters
    ----------
    waiting : int
        Requests of all organisations that wait for a link.
    expected_ms : float
        Expected wait of a request of the batch's organisation and priority class that
        can still be in time, in milliseconds.
    service_ms : float
        Mean time of the target for a statement, in milliseconds.
    age_ms : float
        Age of these values when they were sent, in milliseconds.
    """

    waiting: int = 0
    expected_ms: float = 0.0
    service_ms: float = 0.0
    age_ms: float = 0.0


class RelayResult(msgspec.Struct, omit_defaults=True):
    """The answers to a `RelayBatch`, or why there are none.

    Parameters
    ----------
    answers : list of TargetAnswer
        One for each command; empty if there are none.
    in_transaction : bool
        Whether a transaction is open afterwards.
    error : str
        Why there are no answers.
    not_run : bool
        Whether it is certain that no command ran.
    expected_ms : float or None
        Expected wait for a link, in milliseconds, if none was free in time; 0 if
        unknown.
    load : LoadReport or None
        Load of the owner when it sent the answer; None if the target is unknown there.
    """

    answers: list[TargetAnswer] = []
    in_transaction: bool = False
    error: str = ""
    not_run: bool = False
    expected_ms: float | None = None
    load: LoadReport | None = None


class RelayClose(msgspec.Struct):
    """Ends a link; the target rolls back a transaction that is open on it.

    It may overtake the end of a batch whose sender has given up waiting.
    """

    link: int
