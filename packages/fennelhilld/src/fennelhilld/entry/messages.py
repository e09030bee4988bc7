"""Requests and answers of the callers' interface, independent of HTTP."""

from __future__ import annotations

from typing import Any

import msgspec
from fennelhill_core.codes import CODES, Refusal
from fennelhill_core.settings import Team


class StatementBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of an execute call.

    Parameters
    ----------
    sql : str
        One statement, with ``?`` for parameters.
    params : list
        One string, number, boolean or null for each parameter.
    """

    sql: str
    params: list[str | int | float | bool | None] = []


class EmptyBody(msgspec.Struct, forbid_unknown_fields=True):
    """Body of the calls that take no fields."""


class Caller(msgspec.Struct):
    """An authenticated caller, with the headers of its call.

    Parameters
    ----------
    team_name : str
        Name of the customer team.
    team : Team
        Its settings.
    session : str
        The session token as sent; empty for none.
    deadline_ms : float or None
        Time that the caller allows, in milliseconds; None for the class's default.
    class_name : str
        The request class; empty for none.
    key : str
        The idempotency key; empty for none.
    """

    team_name: str
    team: Team
    session: str = ""
    deadline_ms: float | None = None
    class_name: str = ""
    key: str = ""


class CallerAnswer(msgspec.Struct, omit_defaults=True):
    """Body of a successful answer.

    Parameters
    ----------
    columns : list of str
        Column names.
    rows : list of list
        The rows.
    changed : int
        Number of rows that were changed.
    served_by : str
        ``primary`` or ``replica``.
    replayed : bool
        Whether this is the stored answer of an earlier call with the same key.
    outcome : str
        For an outcome query: ``ran`` or ``not run``.
    transaction : str
        Signed id of the transaction that was begun.
    """

    columns: list[str] = []
    rows: list[list[Any]] = []
    changed: int = 0
    served_by: str = ""
    replayed: bool = False
    outcome: str = ""
    transaction: str = ""


class CallerReply(msgspec.Struct):
    """A successful answer, with the values for its headers.

    Parameters
    ----------
    answer : CallerAnswer
        The body.
    session : str
        New session token; empty if it did not change.
    session_usable : bool
        False if the call uses the session and came without a valid token.
    key : str
        The idempotency key under which the request ran.
    """

    answer: CallerAnswer
    session: str = ""
    session_usable: bool = True
    key: str = ""


class ErrorBody(msgspec.Struct):
    """Body of an error answer."""

    code: int
    name: str
    outcome: str
    message: str
    detail: str
    retry_after_ms: int
    key: str = ""

    @classmethod
    def from_refusal(cls, refusal: Refusal, key: str = "") -> ErrorBody:
        """Build the body from a refusal.

        Parameters
        ----------
        refusal : Refusal
            The refusal.
        key : str
            Idempotency key for a later outcome query; empty for none.

        Returns
        -------
        ErrorBody
            The body.
        """
        code = CODES[refusal.code]
        return cls(
            code.number,
            code.name,
            code.outcome.value,
            code.caller,
            refusal.detail,
            refusal.retry_after_ms,
            key,
        )
