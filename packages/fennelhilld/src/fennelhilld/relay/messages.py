"""Messages between a host and an owner of a target."""

from __future__ import annotations

import msgspec

from fennelhilld.links.messages import Command, TargetAnswer

RUN = "run"
CLOSE = "close"


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
    priority : int
        Priority class; a lower number is more urgent.
    due_in_ms : float
        Time until the answer is due by its latency objective, in milliseconds.
    transaction : int
        Number of the open transaction that the commands belong to; 0 if none is open.
    values : dict
        Session values.
    shape : str
        Shape of the prepared statement that the commands execute; empty if none.
    shape_writes : bool
        Whether that statement changes data.
    """

    group: str
    target_id: str
    commands: list[Command]
    limit_ms: float
    priority: int = 0
    due_in_ms: float = 0.0
    transaction: int = 0
    values: dict[str, str] = {}
    shape: str = ""
    shape_writes: bool = False


class RelayResult(msgspec.Struct, omit_defaults=True):
    """The answers to a `RelayBatch`, or why there are none.

    Parameters
    ----------
    answers : list of TargetAnswer
        One for each command; empty if there are none.
    transaction : int
        Number of the transaction that is open afterwards; 0 if none is.
    error : str
        Why there are no answers.
    not_run : bool
        Whether it is certain that no command ran.
    """

    answers: list[TargetAnswer] = []
    transaction: int = 0
    error: str = ""
    not_run: bool = False


class RelayClose(msgspec.Struct):
    """Closes the link of an open transaction; the target rolls it back."""

    transaction: int
