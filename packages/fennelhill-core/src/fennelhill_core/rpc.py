"""JSON-RPC 2.0 requests and responses over a stream, matched by id."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import msgspec
from loguru import logger

from fennelhill_core.clock import MS_PER_S, timeout_ms
from fennelhill_core.documents import decode_json
from fennelhill_core.frames import FrameStream
from fennelhill_core.streams import Stream, StreamClosed
from fennelhill_core.tasks import Tasks

JSONRPC = "2.0"
NO_SUCH_METHOD = -32601
INVALID_PARAMS = -32602
INTERNAL_ERROR = -32603
# After these errors the method has certainly not run.
NOT_RUN_ERROR_CODES = (NO_SUCH_METHOD, INVALID_PARAMS)
MAX_ABANDONED_IDS = 10_000


class Request(msgspec.Struct, omit_defaults=True):
    """A JSON-RPC request; without an id it is a notification."""

    method: str
    params: msgspec.Raw = msgspec.Raw(b"{}")
    id: int | None = None
    jsonrpc: str = JSONRPC


class Response(msgspec.Struct, omit_defaults=True):
    """A JSON-RPC response."""

    id: int
    result: msgspec.Raw = msgspec.Raw(b"null")
    error: dict[str, Any] | None = None
    jsonrpc: str = JSONRPC


class _Frame(msgspec.Struct):
    """Any incoming message: a request if it names a method, else a response."""

    id: int | None = None
    method: str | None = None
    params: msgspec.Raw = msgspec.Raw(b"{}")
    result: msgspec.Raw = msgspec.Raw(b"null")
    error: dict[str, Any] | None = None


class ProtocolError(Exception):
    """The peer violated the protocol; its stream is closed at once."""


class NoAnswer(Exception):  # noqa: N818 - named like asyncio.QueueEmpty
    """No answer came within the time-out, or the stream closed after the send."""


class NotSent(Exception):  # noqa: N818 - named like asyncio.QueueEmpty
    """The stream was closed before anything was sent."""


_encoder = msgspec.json.Encoder()
_decode_frame = partial(decode_json, document_type=_Frame)

Handler = Callable[[msgspec.Raw], Awaitable[Any]]


class RpcError(Exception):
    """The peer answered with an error object.

    Parameters
    ----------
    error : dict
        The JSON-RPC error object.
    """

    def __init__(self, error: dict[str, Any]) -> None:
        super().__init__(str(error.get("message", "")))
        self.error = error


class PendingCall:
    """A request that was sent, until its answer is received or given up.

    Parameters
    ----------
    future : asyncio.Future
        Gets the encoded result.
    on_end : callable
        Called once the answer was received or is no longer waited for.
    """

    __slots__ = ("_future", "_on_end")

    def __init__(
        self, future: asyncio.Future[msgspec.Raw], on_end: Callable[[], None]
    ) -> None:
        self._future = future
        self._on_end = on_end

    @property
    def cancelled(self) -> bool:
        """Whether `cancel` was called before there was an answer."""
        return self._future.cancelled()

    def cancel(self) -> None:
        """Wait no longer; `answer` raises ``CancelledError``."""
        self._future.cancel()

    async def answer(self) -> msgspec.Raw:
        """Wait for the answer; call it once.

        Returns
        -------
        msgspec.Raw
            The encoded result.

        Raises
        ------
        NotSent, NoAnswer, RpcError
            As `RpcClient.call`.
        """
        try:
            return await self._future
        finally:
            self._on_end()


class RpcClient:
    """Sends requests over one stream and matches the answers by id.

    Ids are never reused on a stream, so a late answer can only match its own
    request.  An answer to an id that was never issued, or a second answer to the
    same id, means that the stream can't be trusted: it is closed.

    Parameters
    ----------
    stream : Stream
        The open stream; the client takes ownership of it.
    first_id : int
        The first request id.
    """

    __slots__ = (
        "_abandoned_ids",
        "_closed_future",
        "_frames",
        "_next_id",
        "_pending",
        "_reader",
        "_stream",
        "closed",
        "received_messages",
    )

    def __init__(
        self,
        stream: Stream,
        first_id: int = 1,
    ) -> None:
        self._stream = stream
        self._pending: dict[int, asyncio.Future[msgspec.Raw]] = {}
        self._abandoned_ids: dict[int, None] = {}
        self._next_id = first_id
        self.closed = False
        # Callers compare it: if it is unchanged, nothing was received in between.
        self.received_messages = 0
        self._closed_future: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        self._reader: asyncio.Task | None = None
        # A stream that hands its messages over needs no task that reads them.
        self._frames = stream if isinstance(stream, FrameStream) else None
        if self._frames is not None:
            self._frames.deliver_to(self._receive, self.close)
        else:
            self._reader = asyncio.ensure_future(self._read())

    async def call(self, method: str, params: Any, limit_ms: float) -> msgspec.Raw:
        """Send a request and wait for its answer.

        Parameters
        ----------
        method : str
            Name of the method.
        params : object
            Parameters that msgspec can encode.
        limit_ms : float
            Time-out for the answer in milliseconds.

        Returns
        -------
        msgspec.Raw
            The encoded result.

        Raises
        ------
        NotSent
            If nothing was sent.
        NoAnswer
            If the request may have arrived but no answer came.
        RpcError
            If the answer is an error object.
        """
        return await self.start(method, params, limit_ms).answer()

    def start(self, method: str, params: Any, limit_ms: float) -> PendingCall:
        """Send a request whose answer is waited for by the caller.

        Parameters
        ----------
        method : str
            Name of the method.
        params : object
            Parameters that msgspec can encode.
        limit_ms : float
            Time-out for the answer in milliseconds.

        Returns
        -------
        PendingCall
            The request.

        Raises
        ------
        NotSent
            If nothing was sent.
        """
        if self.closed:
            raise NotSent
        request_id = self._next_id
        self._next_id += 1
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        self._pending[request_id] = future
        params_json = msgspec.Raw(_encoder.encode(params))
        message = _encoder.encode(Request(method, params_json, request_id))
        if self._frames is None:
            sending = self._send(request_id, future, method, message, limit_ms)
            return PendingCall(asyncio.ensure_future(sending), lambda: None)
        timer = loop.call_later(
            max(0.0, limit_ms) / MS_PER_S, self._expire, future, method, limit_ms
        )
        try:
            self._frames.write(message)
        except StreamClosed:
            self._end_call(request_id, timer)
            raise NotSent from None
        return PendingCall(future, partial(self._end_call, request_id, timer))

    def _end_call(self, request_id: int, timer: asyncio.TimerHandle) -> None:
        timer.cancel()
        # The id is kept, so that a late answer is not treated as a protocol violation.
        if self._pending.pop(request_id, None) is not None:
            self._abandon(request_id)

    @staticmethod
    def _expire(
        future: asyncio.Future[msgspec.Raw], method: str, limit_ms: float
    ) -> None:
        if not future.done():
            error = NoAnswer(f"{method}: no answer in {limit_ms:.0f} ms")
            future.set_exception(error)

    async def _send(
        self,
        request_id: int,
        future: asyncio.Future[msgspec.Raw],
        method: str,
        message: bytes,
        limit_ms: float,
    ) -> msgspec.Raw:
        """Send a request over a stream that may make the sender wait."""
        try:
            async with timeout_ms(limit_ms):
                await self._stream.send(message)
                return await future
        except TimeoutError:
            raise NoAnswer(f"{method}: no answer in {limit_ms:.0f} ms") from None
        except StreamClosed:
            self.close()
            raise NoAnswer(f"{method}: stream closed") from None
        finally:
            # A time-out cancels the future.
            if self._pending.pop(request_id, None) and future.cancelled():
                self._abandon(request_id)
            elif future.done() and not future.cancelled():
                future.exception()  # Retrieved: the sender may know it already.

    def close(self) -> None:
        """Close the stream; pending calls end with `NoAnswer`."""
        if self.closed:
            return
        self.closed = True
        if not self._closed_future.done():
            self._closed_future.set_result(None)
        self._stream.close()
        if self._reader is not None:
            self._reader.cancel()
        for future in self._pending.values():
            if not future.done():
                future.set_exception(NoAnswer("stream closed"))

    @property
    def pending_requests(self) -> int:
        """Number of requests that wait for their answers."""
        return len(self._pending)

    async def wait_closed(self) -> None:
        """Wait until either end closes the stream."""
        await asyncio.shield(self._closed_future)

    def _abandon(self, request_id: int) -> None:
        self._abandoned_ids[request_id] = None
        if len(self._abandoned_ids) > MAX_ABANDONED_IDS:
            # So many missing answers mean that the peer does not answer at all.
            self.close()

    async def _read(self) -> None:
        try:
            while not self.closed:
                self._receive(await self._stream.receive())
        except StreamClosed:
            self.close()

    def _receive(self, message: bytes) -> None:
        self.received_messages += 1
        try:
            self._dispatch(message)
        except (ProtocolError, msgspec.DecodeError):
            self.close()

    def _dispatch(self, message: bytes) -> None:
        frame = _decode_frame(message)
        if frame.method is not None or frame.id is None:
            raise ProtocolError("message is not a response")
        future = self._pending.pop(frame.id, None)
        if future is None:
            if frame.id not in self._abandoned_ids:
                raise ProtocolError(f"no pending request has id {frame.id}")
            del self._abandoned_ids[frame.id]
            return
        if future.done():
            return  # Given up, but its caller has not run since.
        if frame.error is not None:
            future.set_exception(RpcError(frame.error))
        else:
            future.set_result(frame.result)


class RpcServer:
    """Serves the requests of one stream, each in a task of its own.

    Parameters
    ----------
    handlers : dict
        Maps method names to coroutine functions of the raw parameters.
    """

    __slots__ = ("_handlers",)

    def __init__(self, handlers: dict[str, Handler]) -> None:
        self._handlers = handlers

    async def serve(self, stream: Stream) -> None:
        """Serve until the stream ends.

        Requests in progress are not cancelled then: each is bounded by its own
        deadline, and a partial write is worse than one whose answer nobody reads.

        Parameters
        ----------
        stream : Stream
            The accepted stream.
        """
        tasks = Tasks()
        if isinstance(stream, FrameStream):
            await self._serve_frames(stream, tasks)
            return
        try:
            while True:
                frame = _decode_frame(await stream.receive())
                tasks.spawn(self._answer(stream, frame))
        except (StreamClosed, msgspec.DecodeError):
            stream.close()

    async def _serve_frames(self, stream: FrameStream, tasks: Tasks) -> None:
        """Start each request where its message is read."""
        closed = asyncio.get_running_loop().create_future()

        def on_message(message: bytes) -> None:
            try:
                frame = _decode_frame(message)
            except msgspec.DecodeError:
                stream.close()
                return
            tasks.spawn(self._answer(stream, frame))

        def on_close() -> None:
            if not closed.done():
                closed.set_result(None)

        stream.deliver_to(on_message, on_close)
        await closed

    async def _answer(self, stream: Stream, frame: _Frame) -> None:
        handler = self._handlers.get(frame.method or "")
        try:
            if handler is None:
                error = {
                    "code": NO_SUCH_METHOD,
                    "message": f"no method {frame.method!r}",
                }
                response = Response(frame.id or 0, error=error)
            else:
                result = await handler(frame.params)
                response = Response(frame.id or 0, msgspec.Raw(_encoder.encode(result)))
        except msgspec.ValidationError as invalid:
            error = {"code": INVALID_PARAMS, "message": str(invalid)}
            response = Response(frame.id or 0, error=error)
        except Exception as exc:
            # Without an answer the peer would wait until its deadline.
            logger.opt(exception=exc).error(
                "handler of RPC method {} failed", frame.method
            )
            error = {"code": INTERNAL_ERROR, "message": repr(exc)}
            response = Response(frame.id or 0, error=error)
        if frame.id is None:
            return
        try:
            await stream.send(_encoder.encode(response))
        except StreamClosed:
            # The stream is closed, so the peer treats this request as unanswered.
            return
