"""Clients: over HTTP on loopback, or by method calls under virtual time."""

from __future__ import annotations

from typing import Any, Protocol

import aiohttp
import msgspec
from fennelhill_core.clock import Clock
from fennelhilld.daemon import Daemon
from fennelhilld.entry.messages import CallerAnswer, ErrorBody, StatementBody
from fennelhilld.entry.service import Reply

from fennelhill_bench.deployment import TOKENS, Deployment


class Call(msgspec.Struct):
    """One request of a caller.

    Parameters
    ----------
    operation : str
        ``session``, ``execute``, ``begin``, ``statement``, ``commit``, ``rollback``
        or ``outcome``.
    resource : str
        The group, the transaction id, or ``group/key`` for an outcome.
    sql : str
        The statement.
    params : list
        Its parameters.
    class_name : str
        The request class.
    session : str
        The session token.
    key : str
        The idempotency key.
    deadline_ms : int
        Deadline that the caller sets; 0 for the default of the request class.
    team : str
        The customer team.
    """

    operation: str
    resource: str = ""
    sql: str = ""
    params: list[Any] = []
    class_name: str = "status"
    session: str = ""
    key: str = ""
    deadline_ms: int = 0
    team: str = "curtiembre"


class Outcome(msgspec.Struct):
    """The answer to a call, or its refusal.

    Parameters
    ----------
    answer : CallerAnswer or None
        The answer; None if the call was refused or the connection failed.
    error : ErrorBody or None
        The refusal; None if there was an answer or the connection failed.
    session : str
        The new session token; empty if it did not change.
    latency_ms : float
        Time until the answer, the refusal or the failure of the connection.
    """

    answer: CallerAnswer | None = None
    error: ErrorBody | None = None
    session: str = ""
    latency_ms: float = 0.0

    @property
    def code(self) -> int:
        """The result code; 0 if the call was not refused."""
        return self.error.code if self.error else 0


class Client(Protocol):
    """Sends calls to entry hosts."""

    async def call(self, host: str, call: Call) -> Outcome:
        """Send a call to an entry host and return its outcome."""


class DirectClient:
    """Calls the daemons of a deployment without HTTP.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._clock = Clock()

    async def call(self, host: str, call: Call) -> Outcome:
        """Send a call to an entry host.

        Parameters
        ----------
        host : str
            Name of the entry host.
        call : Call
            The call.

        Returns
        -------
        Outcome
            The answer or the refusal.
        """
        started_ms = self._clock.now_ms()
        daemon = self._deployment.daemons[host]
        caller = daemon.entry.authenticate(
            TOKENS[call.team],
            call.session,
            str(call.deadline_ms or ""),
            call.class_name,
            call.key,
        )
        reply = caller
        if caller.is_ok():
            with daemon.metrics.request(call.operation):
                reply = await self._serve(daemon, caller.unwrap(), call)
        latency_ms = self._clock.now_ms() - started_ms
        if reply.is_err():
            refusal = reply.unwrap_err()
            return Outcome(error=ErrorBody.from_refusal(refusal), latency_ms=latency_ms)
        served = reply.unwrap()
        return Outcome(served.answer, None, served.session, latency_ms)

    async def _serve(self, daemon: Daemon, caller: Any, call: Call) -> Reply:
        entry, body = daemon.entry, StatementBody(call.sql, call.params)
        match call.operation:
            case "session":
                return entry.open_session(caller)
            case "execute":
                return await entry.execute(caller, call.resource, body)
            case "begin":
                return await entry.begin(caller, call.resource)
            case "statement":
                return await entry.run_statement(caller, call.resource, body)
            case "commit":
                return await entry.commit(caller, call.resource)
            case "rollback":
                return await entry.rollback(caller, call.resource)
            case "outcome":
                group, _, key = call.resource.partition("/")
                return await entry.query_outcome(caller, group, key)
        raise ValueError(call.operation)


class HttpClient:
    """Calls daemons over HTTP with persistent connections.

    Parameters
    ----------
    addresses : dict
        ``ip:port`` by name of the entry host.
    one_way_ms : float
        Emulated one-way delay between caller and entry host.
    """

    def __init__(self, addresses: dict[str, str], one_way_ms: float = 0.0) -> None:
        self._addresses = addresses
        self._one_way_ms = one_way_ms
        self._clock = Clock()
        self._http = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            cookie_jar=aiohttp.DummyCookieJar(),
        )

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()

    async def call(self, host: str, call: Call) -> Outcome:
        """Send a call to an entry host.

        Parameters
        ----------
        host : str
            Name of the entry host.
        call : Call
            The call.

        Returns
        -------
        Outcome
            The answer or the refusal; neither of them (and code 0) if the connection
            failed.
        """
        started_ms = self._clock.now_ms()
        await self._clock.sleep_ms(self._one_way_ms)
        url = f"http://{self._addresses[host]}{_path(call)}"
        body = msgspec.json.encode(StatementBody(call.sql, call.params))
        data = body if call.operation in ("execute", "statement") else b"{}"
        try:
            async with self._http.post(
                url, data=data, headers=_headers(call)
            ) as response:
                raw, session = (
                    await response.read(),
                    response.headers.get("Fennelhill-Session"),
                )
                status = response.status
        except aiohttp.ClientError:
            return Outcome(latency_ms=self._clock.now_ms() - started_ms)
        await self._clock.sleep_ms(self._one_way_ms)
        latency_ms = self._clock.now_ms() - started_ms
        if status == 200:
            answer = msgspec.json.decode(raw, type=CallerAnswer)
            return Outcome(answer, None, session or "", latency_ms)
        error = msgspec.json.decode(raw, type=dict[str, ErrorBody])["error"]
        return Outcome(None, error, "", latency_ms)


def _path(call: Call) -> str:
    group, _, key = call.resource.partition("/")
    return {
        "session": "/v1/sessions",
        "execute": f"/v1/groups/{call.resource}/execute",
        "begin": f"/v1/groups/{call.resource}/transactions",
        "statement": f"/v1/transactions/{call.resource}/execute",
        "commit": f"/v1/transactions/{call.resource}/commit",
        "rollback": f"/v1/transactions/{call.resource}/rollback",
        "outcome": f"/v1/groups/{group}/keys/{key}/outcome",
    }[call.operation]


def _headers(call: Call) -> dict[str, str]:
    headers = {
        "Authorization": f"Bearer {TOKENS[call.team]}",
        "Fennelhill-Class": call.class_name,
    }
    optional = {
        "Fennelhill-Session": call.session,
        "Idempotency-Key": call.key,
        "Fennelhill-Deadline-Ms": str(call.deadline_ms or ""),
    }
    headers.update({name: value for name, value in optional.items() if value})
    return headers
