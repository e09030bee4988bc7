"""Checks which statements callers may send."""

from __future__ import annotations

import re

from fennelhill_core.codes import INVALID_FIELD, STATEMENT_NOT_ALLOWED, Refusal

from fennelhilld.entry.messages import StatementBody

MAX_QUOTED_SQL_CHARS = 40  # of a statement that is not allowed, in the refusal

# Statements that control the transaction or the connection would break the proxy's
# guarantees.  Targets refuse them too, but this refusal is earlier and clearer.
_CONTROL = re.compile(
    r"(?:\s|--[^\n]*\n|/\*[^*]*\*+(?:[^/*][^*]*\*+)*/|;)*+"
    r"(begin|start|commit|end|rollback|abort|savepoint|release|attach|detach|pragma"
    r"|vacuum|set|reset|discard)\b",
    re.IGNORECASE,
)
# Callers may not use the proxy's idempotency key table, whose name has this prefix.
_KEY_TABLE = re.compile(r"fennelhill_", re.IGNORECASE)


def check_statement(body: StatementBody) -> Refusal | None:
    """Check whether a caller may send a statement to a target.

    Parameters
    ----------
    body : StatementBody
        The statement.

    Returns
    -------
    Refusal or None
        None if the statement may be sent.
    """
    if not body.sql.strip():
        return Refusal.of(INVALID_FIELD, "sql: empty")
    if _CONTROL.match(body.sql) or _KEY_TABLE.search(body.sql):
        return Refusal.of(
            STATEMENT_NOT_ALLOWED, body.sql.strip()[:MAX_QUOTED_SQL_CHARS]
        )
    return None
