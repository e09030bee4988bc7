"""The callers' interface over HTTP."""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import msgspec
from fennelhill_core.clock import MS_PER_S
from fennelhill_core.codes import (
    BODY_TOO_LARGE,
    CODES,
    INTERNAL,
    INVALID_FIELD,
    MALFORMED_JSON,
    NOT_FOUND,
    Refusal,
)
from result import Err, Ok, Result
from tornado.web import RequestHandler

from fennelhilld.entry.messages import (
    Caller,
    EmptyBody,
    ErrorBody,
    StatementBody,
)
from fennelhilld.entry.service import EntryService, Reply

if TYPE_CHECKING:
    from fennelhilld.observability.metrics import Metrics

SESSION_HEADER = "Fennelhill-Session"
SESSION_STATE_HEADER = "Fennelhill-Session-State"
SESSION_COOKIE = "fennelhill_session"
DEADLINE_HEADER = "Fennelhill-Deadline-Ms"
CLASS_HEADER = "Fennelhill-Class"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"

MAX_QUOTED_PATH_CHARS = 80  # of an unknown path, in the refusal

_encode = msgspec.json.encode


class JsonHandler(RequestHandler):
    """Base of all handlers; answers in JSON, including errors that Tornado detects."""

    def set_default_headers(self) -> None:
        """Set the headers of every answer."""
        self.set_header("Content-Type", "application/json")

    def write_error(self, status_code: int, **kwargs: object) -> None:
        """Answer an uncaught exception or an error that Tornado detected.

        Parameters
        ----------
        status_code : int
            The status that Tornado chose.
        **kwargs : object
            Unused details.
        """
        code = NOT_FOUND if status_code in (404, 405) else INVALID_FIELD
        if status_code >= 500:
            # It is unknown how far the request got before the exception.
            code = INTERNAL
        self.refuse(Refusal.of(code, self._reason))

    def refuse(self, refusal: Refusal, key: str = "") -> None:
        """Answer with the result code of a refusal.

        Parameters
        ----------
        refusal : Refusal
            The refusal.
        key : str
            Idempotency key for a later outcome query; empty for none.
        """
        self.set_status(CODES[refusal.code].http_status)
        if refusal.retry_after_ms:
            seconds = math.ceil(refusal.retry_after_ms / MS_PER_S)
            self.set_header("Retry-After", str(seconds))
        self.finish(_encode({"error": ErrorBody.from_refusal(refusal, key)}))


class NotFoundHandler(JsonHandler):
    """Refuses requests to paths that do not exist."""

    def prepare(self) -> None:
        """Refuse the request, whatever its method."""
        self.refuse(Refusal.of(NOT_FOUND, self.request.path[:MAX_QUOTED_PATH_CHARS]))


class CallerHandler(JsonHandler):
    """Base of the callers' handlers: authentication, session token, error answers."""

    def initialize(
        self,
        service: EntryService,
        metrics: Metrics,
        closing: Callable[[], bool],
        body_bytes: int,
    ) -> None:
        """Store the arguments of the route.

        Parameters
        ----------
        service : EntryService
            Serves the calls.
        metrics : Metrics
            Counts them.
        closing : callable
            Returns whether this host is shutting down.
        body_bytes : int
            Largest body that is accepted, in bytes.
        """
        self._service = service
        self._metrics = metrics
        self._closing = closing
        self._body_bytes = body_bytes

    async def respond(
        self, call: Callable[[Caller], Awaitable[Reply]] | None, operation: str
    ) -> None:
        """Authenticate the caller, serve the request and send the answer.

        Parameters
        ----------
        call : callable
            Serves the authenticated caller.
        operation : str
            Name of the call, for the metrics.
        """
        with self._metrics.request(operation) as outcome:
            authenticated = self._authenticate()
            if authenticated.is_err():
                outcome.record_refusal(authenticated.unwrap_err())
                self.refuse(authenticated.unwrap_err())
                return
            caller = authenticated.unwrap()
            reply = await call(caller)
            if reply.is_err():
                outcome.record_refusal(reply.unwrap_err())
        if self._closing():
            # The load balancer then opens its next connection to another host.
            self.set_header("Connection", "close")
        if reply.is_err():
            refusal = reply.unwrap_err()
            self.refuse(refusal, key="" if refusal.not_run else caller.key)
            return
        caller_reply = reply.unwrap()
        if caller_reply.session:
            self.set_header(SESSION_HEADER, caller_reply.session)
            self.set_cookie(SESSION_COOKIE, caller_reply.session, httponly=True)
        if not caller_reply.session_usable:
            self.set_header(SESSION_STATE_HEADER, "unusable")
        if caller_reply.key:
            self.set_header(IDEMPOTENCY_KEY_HEADER, caller_reply.key)
        self.finish(_encode(caller_reply.answer))

    def decode_body(self, body_type: type) -> Result[object, Refusal]:
        """Decode and check the body.

        Parameters
        ----------
        body_type : type
            Type of the body.

        Returns
        -------
        Result
            The body, or a refusal that names the field.
        """
        raw = self.request.body or b"{}"
        if len(raw) > self._body_bytes:
            detail = f"{len(raw)} bytes, where {self._body_bytes} are allowed"
            return Err(Refusal.of(BODY_TOO_LARGE, detail))
        try:
            return Ok(msgspec.json.decode(raw, type=body_type))
        except msgspec.ValidationError as error:
            return Err(Refusal.of(INVALID_FIELD, str(error)))
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            return Err(Refusal.of(MALFORMED_JSON, str(error)))

    def _authenticate(self) -> Result[Caller, Refusal]:
        headers = self.request.headers
        scheme, _, token = headers.get("Authorization", "").partition(" ")
        session = headers.get(SESSION_HEADER) or self.get_cookie(SESSION_COOKIE) or ""
        return self._service.authenticate(
            token if scheme.lower() == "bearer" else "",
            session,
            headers.get(DEADLINE_HEADER, ""),
            headers.get(CLASS_HEADER, ""),
            headers.get(IDEMPOTENCY_KEY_HEADER, ""),
        )


class SessionsHandler(CallerHandler):
    """``POST /v1/sessions``."""

    async def post(self) -> None:
        """Issue a session token."""

        async def call(caller: Caller) -> Reply:
            return self._service.open_session(caller)

        await self.respond(call, "session")


class ExecuteHandler(CallerHandler):
    """``POST /v1/groups/{group}/execute``."""

    async def post(self, group: str) -> None:
        """Run one statement.

        Parameters
        ----------
        group : str
            The database group.
        """
        body = self.decode_body(StatementBody)

        async def call(caller: Caller) -> Reply:
            if body.is_err():
                return Err(body.unwrap_err())
            return await self._service.execute(caller, group, body.unwrap())

        await self.respond(call, "execute")


class BeginHandler(CallerHandler):
    """``POST /v1/groups/{group}/transactions``."""

    async def post(self, group: str) -> None:
        """Open a transaction.

        Parameters
        ----------
        group : str
            The database group.
        """
        body = self.decode_body(EmptyBody)

        async def call(caller: Caller) -> Reply:
            if body.is_err():
                return Err(body.unwrap_err())
            return await self._service.begin(caller, group)

        await self.respond(call, "begin")


class TransactionStatementHandler(CallerHandler):
    """``POST /v1/transactions/{transaction}/execute``."""

    async def post(self, transaction: str) -> None:
        """Run a statement in a transaction.

        Parameters
        ----------
        transaction : str
            Signed id of the transaction.
        """
        body = self.decode_body(StatementBody)

        async def call(caller: Caller) -> Reply:
            if body.is_err():
                return Err(body.unwrap_err())
            return await self._service.run_statement(caller, transaction, body.unwrap())

        await self.respond(call, "statement")


class EndTransactionHandler(CallerHandler):
    """``POST /v1/transactions/{transaction}/commit`` and ``/rollback``."""

    async def post(self, transaction: str, action: str) -> None:
        """End a transaction.

        Parameters
        ----------
        transaction : str
            Signed id of the transaction.
        action : str
            ``commit`` or ``rollback``.
        """
        body = self.decode_body(EmptyBody)
        end_transaction = getattr(self._service, action)

        async def call(caller: Caller) -> Reply:
            if body.is_err():
                return Err(body.unwrap_err())
            return await end_transaction(caller, transaction)

        await self.respond(call, action)


class OutcomeHandler(CallerHandler):
    """``POST /v1/groups/{group}/keys/{key}/outcome``."""

    async def post(self, group: str, key: str) -> None:
        """Query the outcome of the request with an idempotency key.

        Parameters
        ----------
        group : str
            The database group.
        key : str
            The idempotency key.
        """

        async def call(caller: Caller) -> Reply:
            return await self._service.query_outcome(caller, group, key)

        await self.respond(call, "outcome")


def caller_routes(
    service: EntryService,
    metrics: Metrics,
    closing: Callable[[], bool],
    body_bytes: int,
) -> list[tuple]:
    """Return the routes of the callers' interface.

    Parameters
    ----------
    service : EntryService
        Serves the calls.
    metrics : Metrics
        Counts them.
    closing : callable
        Returns whether this host is shutting down.
    body_bytes : int
        Largest body that is accepted, in bytes.

    Returns
    -------
    list of tuple
        Routes for a Tornado application.
    """
    handler_args = {"service": service, "metrics": metrics, "closing": closing}
    handler_args["body_bytes"] = body_bytes
    group, transaction_id = r"([^/]{1,64})", r"([A-Za-z0-9_-]{1,2048})"
    return [
        (r"/v1/sessions", SessionsHandler, handler_args),
        (rf"/v1/groups/{group}/execute", ExecuteHandler, handler_args),
        (rf"/v1/groups/{group}/transactions", BeginHandler, handler_args),
        (
            rf"/v1/groups/{group}/keys/([^/]{{1,400}})/outcome",
            OutcomeHandler,
            handler_args,
        ),
        (
            rf"/v1/transactions/{transaction_id}/execute",
            TransactionStatementHandler,
            handler_args,
        ),
        (
            rf"/v1/transactions/{transaction_id}/(commit|rollback)",
            EndTransactionHandler,
            handler_args,
        ),
    ]
