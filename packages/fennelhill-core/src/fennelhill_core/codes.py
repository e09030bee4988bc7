"""Numbered result codes, and what each class of code guarantees."""

from __future__ import annotations

import enum

import msgspec


class Outcome(enum.Enum):
    """What a code guarantees about the request that it answers."""

    NOT_RUN = "not run"
    UNKNOWN = "outcome unknown"
    FAILED = "run and failed"


class Code(msgspec.Struct, frozen=True):
    """One numbered result code.

    The thousands digit is the class: 1 is *not run*, 2 is *outcome unknown* and
    3 is *run and failed*.  Callers may rely on the class without knowing the code.

    Parameters
    ----------
    number : int
        The stable number that callers see.
    name : str
        A stable identifier for logs and metrics.
    http_status : int
        The status of the HTTP answer.
    caller : str
        One sentence for the caller.
    operator : str
        One hint for the operator.
    """

    number: int
    name: str
    http_status: int
    caller: str
    operator: str

    @property
    def outcome(self) -> Outcome:
        """What the class of the number guarantees about the request."""
        return _OUTCOME_BY_CLASS_DIGIT[self.number // 1000]


_OUTCOME_BY_CLASS_DIGIT = {1: Outcome.NOT_RUN, 2: Outcome.UNKNOWN, 3: Outcome.FAILED}

CODES: dict[int, Code] = {}


def _register(
    number: int, name: str, http_status: int, caller: str, operator: str
) -> Code:
    if number in CODES:
        raise ValueError(f"code {number} is registered twice")
    CODES[number] = Code(number, name, http_status, caller, operator)
    return CODES[number]


MALFORMED_JSON = _register(
    1001,
    "malformed_json",
    400,
    "The body is not valid JSON.",
    "A caller's client is broken; nothing to do here.",
)
INVALID_FIELD = _register(
    1002,
    "invalid_field",
    400,
    "A field is missing, unknown or of the wrong type.",
    "Compare the caller's body with docs/openapi.yaml.",
)
BODY_TOO_LARGE = _register(
    1003,
    "body_too_large",
    413,
    "The body is larger than the limit.",
    "limits.body_bytes sets the bound.",
)
UNAUTHENTICATED = _register(
    1004,
    "unauthenticated",
    401,
    "The bearer token belongs to no customer team.",
    "Compare the hash with teams.*.token_sha256.",
)
UNKNOWN_GROUP = _register(
    1005,
    "unknown_group",
    404,
    "Your team has no database group of this name.",
    "teams.*.groups lists what a team may reach.",
)
UNKNOWN_CLASS = _register(
    1006,
    "unknown_class",
    400,
    "Your team has no request class of this name, or not of this kind.",
    "teams.*.classes lists the request classes.",
)
STATEMENT_NOT_ALLOWED = _register(
    1007,
    "statement_not_allowed",
    400,
    "The statement would control the connection; use the transaction calls.",
    "Transaction control and connection settings belong to the proxy.",
)
INVALID_HEADER = _register(
    1008,
    "invalid_header",
    400,
    "A request header has an invalid value.",
    "The detail names the header.",
)
NOT_FOUND = _register(
    1009,
    "not_found",
    404,
    "There is no such path or method.",
    "docs/openapi.yaml lists the paths.",
)
OVERLOADED = _register(
    1010,
    "overloaded",
    503,
    "The request could not be served in time; come back after Retry-After.",
    "Look at fennelhill_pool_wait_ms and the team's share.",
)
DEADLINE_PASSED = _register(
    1011,
    "deadline_passed",
    504,
    "The deadline passed before the request was sent to a target.",
    "Queues are long or deadlines short; see fennelhill_pool_wait_ms.",
)
NO_PRIMARY = _register(
    1012,
    "no_primary",
    503,
    "The group has no reachable primary now; come back after Retry-After.",
    "Read the group's failover with 'fennelhill timeline'.",
)
REPLICA_BEHIND = _register(
    1013,
    "replica_behind",
    503,
    "The replica does not hold what the session needs.",
    "Internal to the routing; the primary answers instead.",
)
NOT_PRIMARY = _register(
    1014,
    "not_primary",
    503,
    "The target is not the primary of this term.",
    "Internal to the routing during a change of primary.",
)
OWNER_UNREACHABLE = _register(
    1015,
    "owner_unreachable",
    503,
    "No entry host reaches the target now; come back after Retry-After.",
    "A zone is cut off or its entry hosts are down.",
)
CONNECTIONS_EXHAUSTED = _register(
    1016,
    "connections_exhausted",
    503,
    "The target has no free connection; come back after Retry-After.",
    "Long transactions pin connections; see fennelhill_open_transactions.",
)
LEAVING = _register(
    1017,
    "leaving",
    503,
    "This entry host is shutting down; ask again, the balancer knows others.",
    "Expected during maintenance.",
)
UNKNOWN_TRANSACTION = _register(
    1018,
    "unknown_transaction",
    410,
    "There is no such open transaction: it ended, timed out or was lost.",
    "Look for transactions.expired, or for a lost entry host, in the time line.",
)
TRANSACTION_BUSY = _register(
    1019,
    "transaction_busy",
    409,
    "Another statement of this transaction is running.",
    "The caller's client runs statements at the same time.",
)
KEY_REUSED = _register(
    1020,
    "key_reused",
    422,
    "This idempotency key was used with another body.",
    "The caller's client reuses keys.",
)
KEY_CANCELLED = _register(
    1021,
    "key_cancelled",
    409,
    "This key was asked about before its request ran, so it will never run.",
    "Expected after an outcome query; the caller takes a new key.",
)
TARGET_BUSY = _register(
    1022,
    "target_busy",
    503,
    "The target could not get its locks in time; it changed nothing.",
    "A long transaction holds the locks; see limits.transaction_idle_ms.",
)
TARGET_UNREACHABLE = _register(
    1025,
    "target_unreachable",
    503,
    "The target accepts no connection now; come back after Retry-After.",
    "The target is down or cut off from the owner of its pool.",
)
UNCONFIRMED_TERM = _register(
    1026,
    "unconfirmed_term",
    503,
    "The primary could not prove that it still leads; come back later.",
    "The primary's zone may be cut off.",
)
MALFORMED_STATEMENT = _register(
    1027,
    "malformed_statement",
    400,
    "The statement is malformed, or not allowed in this state of the transaction.",
    "A caller's client is broken; nothing to do here.",
)
UNKNOWN_PREPARED = _register(
    1028,
    "unknown_prepared",
    404,
    "The session has prepared no statement of this name.",
    "A caller's client is broken; nothing to do here.",
)
TRANSACTION_ABORTED = _register(
    1029,
    "transaction_aborted",
    409,
    "The transaction was rolled back before its commit was sent; run it again.",
    "Its target or link was lost, it was idle too long, or this host shuts down.",
)
LEADER_UNPROVEN = _register(
    1030,
    "leader_unproven",
    503,
    "This entry host can't prove that the primary still leads; connect again.",
    "It reaches neither the store nor most other hosts; see lease.missing.",
)
UNKNOWN_KEY = _register(
    1034,
    "unknown_key",
    401,
    "The key is missing, unknown or withdrawn; connect again with a valid one.",
    "Look the organisation up in the configuration; keys are listed by digest.",
)
QUOTA_EXCEEDED = _register(
    1035,
    "quota_exceeded",
    429,
    "Your organisation has used up its limit; come back after Retry-After.",
    "Compare the organisation's rate and burst with what it sends.",
)
QUOTA_UNAVAILABLE = _register(
    1036,
    "quota_unavailable",
    503,
    "No entry host could grant a permit in time; come back after Retry-After.",
    "Look for quota.unanswered, and for the issuer of the partition in this zone.",
)
CATALOG_OUTDATED = _register(
    1037,
    "catalog_outdated",
    503,
    "This entry host can't confirm that keys are still valid; connect again.",
    "Neither the store nor other hosts answer it; see catalog.outdated.",
)
CONNECTION_LOST = _register(
    2001,
    "connection_lost",
    504,
    "The connection was lost after sending; ask for the outcome of the key.",
    "See the time line for the target or entry host that was lost.",
)
UNCONFIRMED = _register(
    2002,
    "unconfirmed",
    504,
    "The write ran but no second target confirmed it in time; ask for its outcome.",
    "Replicas lag or the primary is cut off.",
)
ANSWER_TIMEOUT = _register(
    2003,
    "answer_timeout",
    504,
    "No answer came before the deadline; ask for the outcome of the key.",
    "The target is slow or a connection went silent.",
)
READ_UNANSWERED = _register(
    2005,
    "read_unanswered",
    504,
    "No target answered the read in time; it changed nothing, so ask again.",
    "Targets are slow or links went silent; see request.retried in the log.",
)
INTERNAL = _register(
    2004,
    "internal",
    500,
    "Something broke inside the entry host; ask for the outcome of the key.",
    "A defect: the log of the entry host has the details.",
)
ANSWER_UNPROVEN = _register(
    2006,
    "answer_unproven",
    504,
    "The primary answered, but may have been replaced before; look for the effect.",
    "The entry host lost its lease, or the primary was replaced, before the answer.",
)
SQL_ERROR = _register(
    3001,
    "sql_error",
    422,
    "The target refused the statement and rolled back.",
    "The detail is the target's own message.",
)
ANSWER_TOO_LARGE = _register(
    3002,
    "answer_too_large",
    413,
    "The answer is larger than the limit; the work was rolled back.",
    "limits.answer_rows sets the bound.",
)
TARGET_TIMED_OUT = _register(
    3003,
    "target_timed_out",
    504,
    "The target started the statement and gave it up at its own limit.",
    "The target is overloaded, or the statement waits for another transaction.",
)


class Refusal(msgspec.Struct):
    """A failed request: its code, and when the caller may retry.

    Parameters
    ----------
    code : int
        Number of a registered `Code`.
    detail : str
        Human-readable description of what happened.
    retry_after_ms : int
        Time after which to retry, in milliseconds; 0 where a retry is of no use.
    """

    code: int
    detail: str = ""
    retry_after_ms: int = 0

    @classmethod
    def of(cls, code: Code, detail: str = "", retry_after_ms: float = 0) -> Refusal:
        """Build a refusal from a registered code.

        Parameters
        ----------
        code : Code
            The registered code.
        detail : str
            Human-readable description of what happened.
        retry_after_ms : float
            Time after which to retry, in milliseconds; 0 where a retry is of no use.

        Returns
        -------
        Refusal
            The refusal.
        """
        return cls(code.number, detail, int(retry_after_ms))

    @property
    def outcome(self) -> Outcome:
        """What the code guarantees about the request."""
        return CODES[self.code].outcome

    @property
    def not_run(self) -> bool:
        """Whether the class is *not run*: the request never ran or was rolled back."""
        return self.outcome is Outcome.NOT_RUN
