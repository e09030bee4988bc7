"""Checks callers' requests, updates session tokens, and routes the requests."""

from __future__ import annotations

import random
import re
from collections.abc import Callable

import msgspec
from fennelhill_core.clock import Clock
from fennelhill_core.codes import (
    CONNECTION_LOST,
    INVALID_FIELD,
    INVALID_HEADER,
    UNAUTHENTICATED,
    UNKNOWN_CLASS,
    UNKNOWN_GROUP,
    UNKNOWN_TRANSACTION,
    Refusal,
)
from fennelhill_core.settings import (
    Acknowledgement,
    Kind,
    RequestClass,
    Settings,
    hash_token,
)
from fennelhill_core.tokens import Position, Session, Signer, TransactionId
from result import Err, Ok, Result

from fennelhilld.entry.messages import (
    Caller,
    CallerAnswer,
    CallerReply,
    StatementBody,
)
from fennelhilld.entry.statements import check_statement
from fennelhilld.peers.messages import Answer, Operation, OwnerRequest
from fennelhilld.routing.router import Router
from fennelhilld.writes.keys import digest_of

KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,128}")
MAX_DEADLINE_CHARS = 12
GENERATED_KEY_BITS = 96
TRANSACTION_DEADLINE_MS = 2_000.0
# Suggested retry delay if the outcome of a commit could not be queried.
UNKNOWN_COMMIT_RETRY_AFTER_MS = 200

Reply = Result[CallerReply, Refusal]


class EntryService:
    """Serves callers' requests, independent of the transport.

    Parameters
    ----------
    host : str
        This entry host.
    settings : Settings
        The settings.
    router : Router
        Sends each request to the owner of a target.
    clock : Clock
        Source of time.
    random_state : random.Random
        Generates idempotency keys for writes that need one and have none.
    settings_unconfirmed : callable
        Returns whether other hosts may already have later settings in force.
    """

    __slots__ = (
        "_clock",
        "_random",
        "_router",
        "_settings",
        "_settings_unconfirmed",
        "_signer",
        "_teams",
        "host",
    )

    def __init__(
        self,
        host: str,
        settings: Settings,
        router: Router,
        clock: Clock,
        random_state: random.Random,
        settings_unconfirmed: Callable[[], bool],
    ) -> None:
        self.host = host
        self._settings = settings
        self._router = router
        self._clock = clock
        self._random = random_state
        self._signer = Signer.from_config(settings.fleet)
        self._settings_unconfirmed = settings_unconfirmed
        self.install(settings)

    def install(self, settings: Settings) -> None:
        """Apply the teams of validated settings to all later requests.

        Parameters
        ----------
        settings : Settings
            The validated settings.
        """
        self._teams = {
            team.token_sha256: (name, team) for name, team in settings.teams.items()
        }

    def authenticate(
        self,
        token: str,
        session: str = "",
        deadline: str = "",
        class_name: str = "",
        key: str = "",
    ) -> Result[Caller, Refusal]:
        """Authenticate the caller and check the headers.

        Parameters
        ----------
        token : str
            The bearer token.
        session : str
            The session token; an unusable one is not an error.
        deadline : str
            Deadline in milliseconds, as sent; empty for the class's default.
        class_name : str
            The request class.
        key : str
            The idempotency key; empty for none.

        Returns
        -------
        Result
            The caller, or a refusal.
        """
        name_and_team = self._teams.get(hash_token(token)) if token else None
        if name_and_team is None:
            return Err(Refusal.of(UNAUTHENTICATED))
        if key and not KEY_PATTERN.fullmatch(key):
            detail = "Idempotency-Key: 1 to 128 printable ASCII characters"
            return Err(Refusal.of(INVALID_HEADER, detail))
        deadline_ms = None
        if deadline:
            maximum_ms = self._settings.limits.deadline_max_ms
            is_number = deadline.isascii() and deadline.isdigit()
            if not is_number or len(deadline) > MAX_DEADLINE_CHARS or not int(deadline):
                detail = "Fennelhill-Deadline-Ms: a whole number above 0"
                return Err(Refusal.of(INVALID_HEADER, detail))
            deadline_ms = min(float(deadline), maximum_ms)
        name, team = name_and_team
        return Ok(Caller(name, team, session, deadline_ms, class_name, key))

    def open_session(self, caller: Caller) -> Reply:
        """Issue the token of a new session, which has written nothing.

        Parameters
        ----------
        caller : Caller
            The authenticated caller.

        Returns
        -------
        Result
            An empty answer with the token.
        """
        token = self._signer.sign(Session.fresh(caller.team_name))
        return Ok(CallerReply(CallerAnswer(), token))

    async def execute(self, caller: Caller, group: str, body: StatementBody) -> Reply:
        """Run one statement.

        Parameters
        ----------
        caller : Caller
            The authenticated caller.
        group : str
            The database group.
        body : StatementBody
            The statement.

        Returns
        -------
        Result
            The answer.
        """
        refusal = self._check_group(caller, group) or check_statement(body)
        if refusal is not None:
            return Err(refusal)
        selected = self._select_class(caller)
        if selected.is_err():
            return Err(selected.unwrap_err())
        request_class = selected.unwrap()
        if request_class.kind is Kind.READ:
            return await self._read(caller, group, body, request_class)
        return await self._write(caller, group, body, request_class)

    async def begin(self, caller: Caller, group: str) -> Reply:
        """Open a transaction at the group's primary.

        Parameters
        ----------
        caller : Caller
            The authenticated caller.
        group : str
            The database group.

        Returns
        -------
        Result
            An answer with the transaction's id.
        """
        refusal = self._check_group(caller, group)
        if refusal is not None:
            return Err(refusal)
        selected = self._select_class(caller, Kind.WRITE)
        if selected.is_err():
            return Err(selected.unwrap_err())
        request = self._make_request(caller, Operation.BEGIN, group, selected.unwrap())
        routed = await self._router.route(request)
        return routed.map(lambda answer: self._begin_reply(caller, request, answer))

    async def run_statement(
        self, caller: Caller, transaction: str, body: StatementBody
    ) -> Reply:
        """Run a statement in an open transaction.

        Parameters
        ----------
        caller : Caller
            The authenticated caller.
        transaction : str
            Signed id of the transaction.
        body : StatementBody
            The statement.

        Returns
        -------
        Result
            The answer.
        """
        refusal = check_statement(body)
        if refusal is not None:
            return Err(refusal)
        transaction_id = self._signer.verify_transaction_id(
            transaction, caller.team_name
        )
        if transaction_id is None:
            return Err(Refusal.of(UNKNOWN_TRANSACTION, "not a valid id of this team"))
        request = self._make_transaction_request(
            caller, Operation.STATEMENT, transaction_id
        )
        request.sql, request.params = body.sql, body.params
        routed = await self._router.route_transaction(transaction_id, request)
        return routed.map(lambda answer: CallerReply(_caller_answer(answer, "primary")))

    async def commit(self, caller: Caller, transaction: str) -> Reply:
        """Commit an open transaction.

        Parameters
        ----------
        caller : Caller
            The authenticated caller.
        transaction : str
            Signed id of the transaction.

        Returns
        -------
        Result
            An answer with the new session token.
        """
        selected = self._select_class(caller, Kind.WRITE)
        if selected.is_err():
            return Err(selected.unwrap_err())
        transaction_id = self._signer.verify_transaction_id(
            transaction, caller.team_name
        )
        if transaction_id is None:
            return Err(Refusal.of(UNKNOWN_TRANSACTION, "not a valid id of this team"))
        request = self._make_transaction_request(
            caller, Operation.COMMIT, transaction_id
        )
        request.ack = selected.unwrap().ack
        # The default key depends only on the transaction, so that a repeated commit
        # gets the same one.
        caller.key = (
            caller.key or f"fh-tx-{transaction_id.host}-{transaction_id.nonce:x}"
        )
        request.key = caller.key
        routed = await self._router.route_transaction(transaction_id, request)
        if routed.is_err() and _may_have_committed(routed.unwrap_err()):
            routed = await self._query_commit_outcome(
                caller, transaction_id, routed.unwrap_err()
            )
        return routed.map(
            lambda answer: self._write_reply(caller, transaction_id.group, answer)
        )

    async def rollback(self, caller: Caller, transaction: str) -> Reply:
        """Roll back an open transaction.

        Parameters
        ----------
        caller : Caller
            The authenticated caller.
        transaction : str
            Signed id of the transaction.

        Returns
        -------
        Result
            An empty answer.
        """
        transaction_id = self._signer.verify_transaction_id(
            transaction, caller.team_name
        )
        if transaction_id is None:
            return Err(Refusal.of(UNKNOWN_TRANSACTION, "not a valid id of this team"))
        request = self._make_transaction_request(
            caller, Operation.ROLLBACK, transaction_id
        )
        routed = await self._router.route_transaction(transaction_id, request)
        return routed.map(lambda answer: CallerReply(_caller_answer(answer, "primary")))

    async def query_outcome(self, caller: Caller, group: str, key: str) -> Reply:
        """Query the outcome of the request with an idempotency key.

        Parameters
        ----------
        caller : Caller
            The authenticated caller.
        group : str
            The database group.
        key : str
            The idempotency key.

        Returns
        -------
        Result
            The stored answer, or *not run*, which is final: it can't run later.
        """
        refusal = self._check_group(caller, group)
        if refusal is not None:
            return Err(refusal)
        if not KEY_PATTERN.fullmatch(key):
            return Err(
                Refusal.of(INVALID_FIELD, "key: 1 to 128 printable ASCII characters")
            )
        request_class = RequestClass(kind=Kind.WRITE, priority="booking")
        request = self._make_request(caller, Operation.OUTCOME, group, request_class)
        request.key = key
        routed = await self._router.route(request)
        return routed.map(
            lambda answer: self._outcome_reply(caller, group, key, answer)
        )

    async def _read(
        self,
        caller: Caller,
        group: str,
        body: StatementBody,
        request_class: RequestClass,
    ) -> Reply:
        request = self._make_request(caller, Operation.READ, group, request_class)
        request.sql, request.params = body.sql, body.params
        session = self._signer.verify_session(caller.session, caller.team_name)
        if session is None:
            # The session's writes are unknown; only the confirmed primary certainly
            # has all of them.
            request.allowed_age_ms = 0.0
        else:
            minimum_position = session.minimum_position(group)
            request.need = minimum_position or Position()
            request.allowed_age_ms = (
                0.0 if minimum_position is None else request_class.allowed_age_ms
            )
        routed = await self._router.route(request)
        return routed.map(
            lambda answer: CallerReply(
                _caller_answer(answer, "replica" if answer.replica else "primary"),
                session_usable=session is not None,
            )
        )

    async def _write(
        self,
        caller: Caller,
        group: str,
        body: StatementBody,
        request_class: RequestClass,
    ) -> Reply:
        if not request_class.idempotent and not caller.key:
            caller.key = self._generate_key()
        request = self._make_request(caller, Operation.WRITE, group, request_class)
        request.sql, request.params = body.sql, body.params
        request.key = caller.key
        request.ack = request_class.ack
        if caller.key:
            request.digest = digest_of(body.sql, body.params)
        routed = await self._router.route(request)
        return routed.map(lambda answer: self._write_reply(caller, group, answer))

    async def _query_commit_outcome(
        self, caller: Caller, transaction_id: TransactionId, refusal: Refusal
    ) -> Result[Answer, Refusal]:
        """Query whether a commit took effect after a refusal that leaves this open.

        Returns the stored answer if it did, and otherwise a refusal that never claims
        *not run* while the transaction may have been committed.
        """
        request_class = RequestClass(
            kind=Kind.WRITE, priority="booking", deadline_ms=TRANSACTION_DEADLINE_MS
        )
        request = self._make_request(
            caller, Operation.OUTCOME, transaction_id.group, request_class
        )
        request.key = caller.key
        routed = await self._router.route(request)
        if routed.is_err():
            if refusal.not_run:
                return Err(
                    Refusal.of(
                        CONNECTION_LOST, refusal.detail, UNKNOWN_COMMIT_RETRY_AFTER_MS
                    )
                )
            return Err(refusal)
        if routed.unwrap().cancelled:
            detail = "nothing of it was committed"
            return Err(Refusal.of(UNKNOWN_TRANSACTION, detail))
        return routed

    def _write_reply(self, caller: Caller, group: str, answer: Answer) -> CallerReply:
        session = self._signer.verify_session(caller.session, caller.team_name)
        session_usable = session is not None
        # Without a valid token, a new session starts with this write.  It covers
        # earlier writes to this group, since positions only grow, but not those to
        # other groups, so it is not complete.
        session = session or Session.fresh(caller.team_name, complete=False)
        session.advance(group, answer.position)
        token = self._signer.sign(session)
        caller_answer = _caller_answer(answer, "primary")
        return CallerReply(caller_answer, token, session_usable, caller.key)

    def _begin_reply(
        self, caller: Caller, request: OwnerRequest, answer: Answer
    ) -> CallerReply:
        # The router has set the target to the group's primary.
        transaction_id = TransactionId(
            caller.team_name,
            request.group,
            answer.host,
            request.target,
            answer.transaction,
        )
        caller_answer = CallerAnswer(transaction=self._signer.sign(transaction_id))
        return CallerReply(caller_answer)

    def _outcome_reply(
        self, caller: Caller, group: str, key: str, answer: Answer
    ) -> CallerReply:
        caller.key = key
        reply = self._write_reply(caller, group, answer)
        reply.answer.outcome = "not run" if answer.cancelled else "ran"
        return reply

    def _check_group(self, caller: Caller, group: str) -> Refusal | None:
        # A group of another team gets the same answer, which hides that it exists.
        if group in caller.team.groups:
            return None
        return Refusal.of(UNKNOWN_GROUP, group)

    def _select_class(
        self, caller: Caller, kind: Kind | None = None
    ) -> Result[RequestClass, Refusal]:
        request_class = caller.team.classes.get(caller.class_name)
        if request_class is None or kind not in (None, request_class.kind):
            class_names = ", ".join(sorted(caller.team.classes))
            detail = (
                f"Fennelhill-Class: {caller.class_name!r} can't be used here; "
                f"the team's classes are {class_names}"
            )
            return Err(Refusal.of(UNKNOWN_CLASS, detail))
        if caller.team.unconfirmed == "strict" and self._settings_unconfirmed():
            # The strictest options comply with whatever the latest settings are.
            request_class = msgspec.structs.replace(
                request_class,
                allowed_age_ms=0.0,
                idempotent=False,
                ack=Acknowledgement.CONFIRMED,
            )
        return Ok(request_class)

    def _make_request(
        self,
        caller: Caller,
        operation: Operation,
        group: str,
        request_class: RequestClass,
    ) -> OwnerRequest:
        return OwnerRequest(
            operation,
            group,
            "",
            caller.team_name,
            caller.team.weight,
            request_class.tier,
            caller.deadline_ms or request_class.deadline_ms,
        )

    def _make_transaction_request(
        self, caller: Caller, operation: Operation, transaction_id: TransactionId
    ) -> OwnerRequest:
        return OwnerRequest(
            operation,
            transaction_id.group,
            transaction_id.target,
            caller.team_name,
            caller.team.weight,
            remaining_ms=caller.deadline_ms or TRANSACTION_DEADLINE_MS,
            transaction=transaction_id.nonce,
        )

    def _generate_key(self) -> str:
        return f"fh-{self.host}-{self._random.getrandbits(GENERATED_KEY_BITS):024x}"


def _may_have_committed(refusal: Refusal) -> bool:
    """Return whether this or an earlier commit of the transaction may have run."""
    return not refusal.not_run or refusal.code == UNKNOWN_TRANSACTION.number


def _caller_answer(answer: Answer, served_by: str) -> CallerAnswer:
    return CallerAnswer(
        answer.columns, answer.rows, answer.changed, served_by, answer.replayed
    )
