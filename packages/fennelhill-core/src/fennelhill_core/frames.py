"""Message streams between the hosts of a fleet: frames with a length, over TCP."""

from __future__ import annotations

import asyncio
import struct
from collections import deque
from collections.abc import Awaitable, Callable

from fennelhill_core.byte_streams import listen
from fennelhill_core.sockets import set_tcp_timeouts, split_address
from fennelhill_core.streams import MAX_MESSAGE_BYTES, DialError, StreamClosed
from fennelhill_core.tasks import Tasks

_LENGTH = struct.Struct("!I")
# First frame of either side.  It shows that the other process runs, not only its
# kernel, and names the version of what follows.
HELLO = b"fennelhill-frames/1"


class FrameStream(asyncio.Protocol):
    """A stream of whole messages, each sent as its length and its bytes.

    Messages are handed over where they are read, without a task between, once
    `deliver_to` was called; before that they wait for `receive`.

    Parameters
    ----------
    on_open : callable or None
        Called with this stream once the peer's first frame has arrived.
    on_close : callable or None
        Called once when the stream has ended; `deliver_to` replaces it.
    """

    __slots__ = (
        "_buffer",
        "_drained",
        "_greeted",
        "_inbox",
        "_on_close",
        "_on_message",
        "_on_open",
        "_transport",
        "_waiter",
        "_writing_paused",
        "closed",
    )

    def __init__(
        self,
        on_open: Callable[[FrameStream], None] | None = None,
        on_close: Callable[[], None] | None = None,
    ) -> None:
        self.closed = False
        self._on_open = on_open
        self._greeted = False
        self._transport: asyncio.Transport | None = None
        self._buffer = b""
        self._inbox: deque[bytes] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._drained: asyncio.Future[None] | None = None
        self._writing_paused = False
        self._on_message: Callable[[bytes], None] | None = None
        self._on_close = on_close

    def deliver_to(
        self, on_message: Callable[[bytes], None], on_close: Callable[[], None]
    ) -> None:
        """Hand over all further messages where they are read.

        Parameters
        ----------
        on_message : callable
            Called with each message.
        on_close : callable
            Called once when the stream has ended; at once if it has already.
        """
        self._on_message, self._on_close = on_message, on_close
        while self._inbox and not self.closed:
            on_message(self._inbox.popleft())
        if self.closed:
            on_close()

    def write(self, message: bytes) -> None:
        """Send one message without waiting.

        Parameters
        ----------
        message : bytes
            The message.

        Raises
        ------
        StreamClosed
            If the stream is closed.
        """
        # A transport that broke a moment ago refuses calls before it says so.
        if self.closed or self._transport.is_closing():
            raise StreamClosed
        self._transport.write(_LENGTH.pack(len(message)) + message)

    async def send(self, message: bytes) -> None:
        """Send one message, and wait while the peer reads too slowly.

        Parameters
        ----------
        message : bytes
            The message.

        Raises
        ------
        StreamClosed
            If the stream is closed.
        """
        self.write(message)
        while self._writing_paused and not self.closed:
            if self._drained is None:
                self._drained = asyncio.get_running_loop().create_future()
            await asyncio.shield(self._drained)

    async def receive(self) -> bytes:
        """Wait for the next message.

        Returns
        -------
        bytes
            The message.

        Raises
        ------
        StreamClosed
            If the stream is closed.
        """
        while not self._inbox:
            if self.closed:
                raise StreamClosed
            self._waiter = asyncio.get_running_loop().create_future()
            await self._waiter
        return self._inbox.popleft()

    def close(self) -> None:
        """Close both directions; what was not sent yet is dropped."""
        if not self.closed:
            self._end()
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first frame.

        Parameters
        ----------
        transport : asyncio.Transport
            The connection.
        """
        self._transport = transport
        set_tcp_timeouts(transport.get_extra_info("socket"))
        self.write(HELLO)

    def data_received(self, data: bytes) -> None:
        """Hand over the messages that are complete.

        Parameters
        ----------
        data : bytes
            Received bytes.
        """
        if self._buffer:
            data = self._buffer + data
        start, end = 0, len(data)
        while end - start >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(data, start)
            if length > MAX_MESSAGE_BYTES:
                self.close()
                return
            message_start = start + _LENGTH.size
            if end - message_start < length:
                break
            start = message_start + length
            self._handle(data[message_start:start])
            if self.closed:
                return
        self._buffer = data[start:]

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is gone.

        Parameters
        ----------
        exc : Exception or None
            The error; None after a close.
        """
        self._end()

    def pause_writing(self) -> None:
        """Make `send` wait, because the peer reads too slowly."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Let `send` go on."""
        self._writing_paused = False
        _wake(self._drained)
        self._drained = None

    def _handle(self, message: bytes) -> None:
        if not self._greeted:
            self._greeted = message == HELLO
            if not self._greeted:
                self.close()
            elif self._on_open is not None:
                self._on_open(self)
        elif self._on_message is not None:
            self._on_message(message)
        else:
            self._inbox.append(message)
            _wake(self._waiter)

    def _end(self) -> None:
        if self.closed:
            return
        self.closed = True
        _wake(self._waiter)
        _wake(self._drained)
        if self._on_close is not None:
            self._on_close()


def _wake(waiter: asyncio.Future[None] | None) -> None:
    if waiter is not None and not waiter.done():
        waiter.set_result(None)


class FrameDialer:
    """Opens streams of frames."""

    __slots__ = ()

    async def dial(self, address: str, timeout_ms: float) -> FrameStream:
        """Open a stream; the caller sets the time limit.

        Parameters
        ----------
        address : str
            ``ip:port`` of the other process.
        timeout_ms : float
            Unused: `dial_within` enforces the limit.

        Returns
        -------
        FrameStream
            The open stream.

        Raises
        ------
        DialError
            If the connection is refused, or ends before the peer's first frame.
        """
        loop = asyncio.get_running_loop()
        opened = loop.create_future()
        try:
            ip, port = split_address(address)
            _, stream = await loop.create_connection(
                lambda: FrameStream(lambda _: _wake(opened), lambda: _wake(opened)),
                ip,
                port,
            )
        except OSError as error:
            raise DialError(f"{address}: {error}") from error
        try:
            await opened
        except BaseException:
            stream.close()
            raise
        if stream.closed:
            raise DialError(f"{address}: closed before the first frame")
        return stream


class FrameServer:
    """Accepts streams of frames, and gives each one to a handler task.

    Parameters
    ----------
    handler : callable
        Serves one stream until it ends.
    """

    __slots__ = ("_handler", "_server", "_tasks")

    def __init__(self, handler: Callable[[FrameStream], Awaitable[None]]) -> None:
        self._handler = handler
        self._tasks = Tasks()
        self._server: asyncio.Server | None = None

    async def listen(self, address: str) -> None:
        """Accept streams on ``ip:port``.

        Parameters
        ----------
        address : str
            Address to listen on.

        Raises
        ------
        OSError
            If the address can't be used.
        """
        self._server = await listen(address, lambda: FrameStream(self._serve))

    def close(self) -> None:
        """Accept no further streams; open ones stay until their peers close them."""
        if self._server is not None:
            self._server.close()

    def _serve(self, stream: FrameStream) -> None:
        self._tasks.spawn(self._handler(stream))
