"""Target drivers: connections from the daemon to one kind of target."""

from __future__ import annotations

import random
from typing import Protocol, TypeVar

import msgspec
from fennelhill_core.registry import Registry
from fennelhill_core.rpc import NoAnswer, NotSent, RpcClient, RpcError
from fennelhill_core.settings import Limits
from fennelhill_core.streams import Dialer, DialError, dial_within
from fennelhill_core.tokens import Position

from fennelhilld.targets.messages import (
    Batch,
    BatchReply,
    ControlReply,
    Fault,
    Fence,
    Follow,
    Hello,
    HelloReply,
    Promote,
    Status,
    WaitApplied,
)

FIRST_ID_LIMIT = 2**48  # exclusive bound on the random first request id
ANSWER_MARGIN_MS = 200.0  # beyond the time-out that the target itself applies
IDLE_TIMEOUT_MARGIN_MS = 3_000.0

T = TypeVar("T")


class TooManyConnectionsError(Exception):
    """The target has reached its connection limit: backpressure, not a failure."""


class TargetConnection(Protocol):
    """A data connection to a target.  It runs one batch at a time."""

    closed: bool

    async def run(self, batch: Batch, limit_ms: float) -> BatchReply:
        """Run a batch; raises `NotSent` or `NoAnswer`."""

    async def ping(self, limit_ms: float) -> None:
        """Check that the connection works; raises `NotSent` or `NoAnswer`."""

    def close(self) -> None:
        """Close the connection; the target rolls back its open transaction."""


class TargetControl(Protocol):
    """A control connection: status queries and orders."""

    closed: bool

    async def status(self, limit_ms: float) -> Status:
        """Ask for the status."""

    async def wait_applied(self, position: Position, limit_ms: float) -> Status:
        """Ask for the status once the log reaches a position, or at the time-out."""

    async def fence(self, order: Fence, limit_ms: float) -> ControlReply:
        """Order the target to refuse lower terms."""

    async def promote(self, order: Promote, limit_ms: float) -> ControlReply:
        """Order the target to become the primary of a term."""

    async def follow(self, order: Follow, limit_ms: float) -> ControlReply:
        """Order the target to replicate from a primary."""

    async def wait_closed(self) -> None:
        """Wait until the connection is closed, by either end."""

    def close(self) -> None:
        """Close the connection."""


class TargetDriver(Protocol):
    """Opens connections to one kind of target."""

    async def connect(self, address: str, limit_ms: float) -> TargetConnection:
        """Open a data connection; raises `DialError` or `TooManyConnectionsError`."""

    async def control(self, address: str, limit_ms: float) -> TargetControl:
        """Open a control connection; raises the same errors as `connect`."""


TARGET_DRIVERS: Registry[TargetDriver] = Registry("target driver")


@TARGET_DRIVERS.register("jsonrpc")
class JsonRpcDriver:
    """Uses JSON-RPC 2.0 over WebSocket.

    Request ids start at a random number on each connection.  If an intermediary
    delivers an answer on the wrong connection, the answer matches no request there
    and closes that connection, instead of reaching the wrong caller.

    Parameters
    ----------
    dialer : Dialer
        Opens streams to targets.
    random_state : random.Random
        Chooses the first request ids.
    limits : Limits
        Time-outs and limits.
    """

    __slots__ = ("_dialer", "_idle_timeout_ms", "_random")

    def __init__(
        self, dialer: Dialer, random_state: random.Random, limits: Limits
    ) -> None:
        self._dialer = dialer
        # A working connection stays within this time-out: idle ones are pinged far
        # more often, and open transactions end sooner.  Without it a half-open
        # connection would count against the target's connection limit forever.
        self._idle_timeout_ms = limits.transaction_idle_ms + IDLE_TIMEOUT_MARGIN_MS
        self._random = random_state

    async def connect(self, address: str, limit_ms: float) -> TargetConnection:
        """Open a data connection.

        Parameters
        ----------
        address : str
            ``ip:port`` of the target.
        limit_ms : float
            Time-out for the whole set-up in milliseconds.

        Returns
        -------
        TargetConnection
            The connection, ready for batches.

        Raises
        ------
        DialError
            If the target can't be reached or doesn't answer.
        TooManyConnectionsError
            If the target has reached its connection limit.
        """
        return _JsonRpcConnection(await self._open(address, limit_ms, False))

    async def control(self, address: str, limit_ms: float) -> TargetControl:
        """Open a control connection.

        Parameters
        ----------
        address : str
            ``ip:port`` of the target.
        limit_ms : float
            Time-out for the whole set-up in milliseconds.

        Returns
        -------
        TargetControl
            The connection, ready for orders.

        Raises
        ------
        DialError
            If the target can't be reached or doesn't answer.
        TooManyConnectionsError
            If the target has reached its connection limit.
        """
        return _JsonRpcControl(await self._open(address, limit_ms, True))

    async def _open(self, address: str, limit_ms: float, control: bool) -> RpcClient:
        stream = await dial_within(self._dialer, address, limit_ms)
        client = RpcClient(stream, self._random.randrange(FIRST_ID_LIMIT))
        try:
            reply = await _call(
                client,
                "hello",
                Hello(control, self._idle_timeout_ms),
                limit_ms,
                HelloReply,
            )
        except (NoAnswer, NotSent) as error:
            client.close()
            raise DialError(f"{address}: {error}") from error
        except BaseException:
            client.close()
            raise
        if reply.fault is Fault.TOO_MANY_CONNECTIONS:
            client.close()
            raise TooManyConnectionsError(address)
        return client


async def _call(
    client: RpcClient, method: str, params: object, limit_ms: float, reply_type: type[T]
) -> T:
    """Call a method; close the connection unless it returns a valid result."""
    try:
        raw = await client.call(method, params, limit_ms)
        return msgspec.json.decode(raw, type=reply_type)
    except (RpcError, msgspec.DecodeError) as error:
        client.close()
        raise NoAnswer(str(error)) from error
    except BaseException:
        client.close()
        raise


class _JsonRpcConnection:
    """A data connection, which is closed when a call returns no valid result.

    So it is never reused after a missed answer.
    """

    __slots__ = ("_client",)

    def __init__(self, client: RpcClient) -> None:
        self._client = client

    @property
    def closed(self) -> bool:
        return self._client.closed

    async def run(self, batch: Batch, limit_ms: float) -> BatchReply:
        return await _call(self._client, "batch", batch, limit_ms, BatchReply)

    async def ping(self, limit_ms: float) -> None:
        await _call(self._client, "ping", {}, limit_ms, dict)

    def close(self) -> None:
        self._client.close()


class _JsonRpcControl:
    """A control connection."""

    __slots__ = ("_client",)

    def __init__(self, client: RpcClient) -> None:
        self._client = client

    @property
    def closed(self) -> bool:
        return self._client.closed

    async def status(self, limit_ms: float) -> Status:
        return await _call(self._client, "status", {}, limit_ms, Status)

    async def wait_applied(self, position: Position, limit_ms: float) -> Status:
        request = WaitApplied(position, limit_ms)
        answer_ms = limit_ms + ANSWER_MARGIN_MS
        return await _call(self._client, "wait_applied", request, answer_ms, Status)

    async def fence(self, order: Fence, limit_ms: float) -> ControlReply:
        return await _call(self._client, "fence", order, limit_ms, ControlReply)

    async def promote(self, order: Promote, limit_ms: float) -> ControlReply:
        return await _call(self._client, "promote", order, limit_ms, ControlReply)

    async def follow(self, order: Follow, limit_ms: float) -> ControlReply:
        return await _call(self._client, "follow", order, limit_ms, ControlReply)

    async def wait_closed(self) -> None:
        await self._client.wait_closed()

    def close(self) -> None:
        self._client.close()
