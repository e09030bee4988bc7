"""TCP connections of which a reader takes the received bytes as it needs them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from fennelhill_core.sockets import set_tcp_timeouts, split_address

# While nobody waits for data, a connection is read no further than this.
MAX_UNREAD_BYTES = 64 * 1024
# Connections that the kernel accepts before the process does: those of all clients of a
# zone, which come back at once when its hosts restart.
LISTEN_BACKLOG = 1_024


class StreamEndedError(Exception):
    """The peer has closed the connection, or the connection broke."""


class ByteStream(asyncio.Protocol):
    """One TCP connection, as a protocol of the event loop.

    Received bytes are appended to `buffer`, from which the reader removes what it has
    used.  The peer may close its side and still read what is written.

    Parameters
    ----------
    on_open : callable or None
        Called with this stream once it is connected.

    Attributes
    ----------
    buffer : bytearray
        Received bytes that were not used yet.
    ended : bool
        Whether the peer sends nothing more; `buffer` may still hold bytes.
    closed : bool
        Whether nothing more can be written.
    """

    __slots__ = (
        "_drained",
        "_on_open",
        "_reading_paused",
        "_reason",
        "_transport",
        "_waiter",
        "_writing_paused",
        "buffer",
        "closed",
        "ended",
    )

    def __init__(self, on_open: Callable[[ByteStream], None] | None = None) -> None:
        self.buffer = bytearray()
        self.ended = False
        self.closed = False
        self._on_open = on_open
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._drained: asyncio.Future[None] | None = None
        self._reading_paused = False
        self._writing_paused = False
        self._reason = "closed by the peer"

    async def wait_for_data(self, timeout_s: float | None = None) -> None:
        """Wait until more bytes are in `buffer`.

        Parameters
        ----------
        timeout_s : float or None
            Longest wait in seconds; None for no limit.

        Raises
        ------
        TimeoutError
            If nothing arrived in time; the stream can be used again.
        StreamEndedError
            At the end of the stream.
        """
        if self.ended:
            raise StreamEndedError(self._reason)
        if self._reading_paused and not self._transport.is_closing():
            self._reading_paused = False
            self._transport.resume_reading()
        loop = asyncio.get_running_loop()
        waiter = self._waiter = loop.create_future()
        timer = None
        if timeout_s is not None:
            timer = loop.call_later(timeout_s, _expire, waiter)
        length = len(self.buffer)
        try:
            await waiter
        finally:
            self._waiter = None
            if timer is not None:
                timer.cancel()
        if self.ended and len(self.buffer) == length:
            raise StreamEndedError(self._reason)

    def write(self, data: bytes) -> None:
        """Write without waiting.

        Parameters
        ----------
        data : bytes
            The bytes.

        Raises
        ------
        StreamEndedError
            If the connection is closed.
        """
        # A transport that broke a moment ago refuses calls before it says so.
        if self.closed or self._transport.is_closing():
            raise StreamEndedError(self._reason)
        self._transport.write(data)

    async def send(self, data: bytes) -> None:
        """Write, and wait while the peer reads too slowly.

        Parameters
        ----------
        data : bytes
            The bytes.

        Raises
        ------
        StreamEndedError
            If the connection is closed.
        """
        self.write(data)
        while self._writing_paused and not self.closed:
            if self._drained is None:
                self._drained = asyncio.get_running_loop().create_future()
            await asyncio.shield(self._drained)

    def close_write_side(self) -> None:
        """Tell the peer that nothing more follows; what it sends can still be read."""
        if not self.closed and not self._transport.is_closing():
            self._transport.write_eof()

    def close(self) -> None:
        """Close the connection once everything has been sent."""
        if not self.closed:
            self._end("closed")
            self._transport.close()

    def abort(self) -> None:
        """Close the connection and drop what has not been sent."""
        if not self.closed:
            self._end("closed")
            self._transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, as the event loop calls it.

        Parameters
        ----------
        transport : asyncio.Transport
            The connection.
        """
        self._transport = transport
        set_tcp_timeouts(transport.get_extra_info("socket"))
        if self._on_open is not None:
            self._on_open(self)

    def data_received(self, data: bytes) -> None:
        """Keep received bytes, and wake the reader.

        Parameters
        ----------
        data : bytes
            The bytes.
        """
        self.buffer += data
        if self._waiter is not None:
            self._wake(self._waiter)
        elif len(self.buffer) > MAX_UNREAD_BYTES and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Note that the peer sends nothing more.

        Returns
        -------
        bool
            True: the connection stays open for what is still to be written.
        """
        self.ended = True
        self._wake(self._waiter)
        return True

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection is gone.

        Parameters
        ----------
        exc : Exception or None
            The error; None after a close.
        """
        if exc is not None:
            self._reason = str(exc)
        self._end(self._reason)

    def pause_writing(self) -> None:
        """Make `send` wait, because the peer reads too slowly."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Let `send` go on."""
        self._writing_paused = False
        self._wake(self._drained)
        self._drained = None

    def _end(self, reason: str) -> None:
        self._reason = reason
        self.ended = self.closed = True
        self._wake(self._waiter)
        self._wake(self._drained)

    @staticmethod
    def _wake(waiter: asyncio.Future[None] | None) -> None:
        if waiter is not None and not waiter.done():
            waiter.set_result(None)


def _expire(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_exception(TimeoutError())


async def open_byte_stream(address: str) -> ByteStream:
    """Connect to ``ip:port``; the caller sets the time limit.

    Parameters
    ----------
    address : str
        Address of the server.

    Returns
    -------
    ByteStream
        The open stream.

    Raises
    ------
    OSError
        If the connection can't be opened, also if the address is invalid.
    """
    ip, port = split_address(address)
    loop = asyncio.get_running_loop()
    _, stream = await loop.create_connection(ByteStream, ip, port)
    return stream


async def listen(
    address: str, protocol_factory: Callable[[], asyncio.Protocol]
) -> asyncio.Server:
    """Accept connections on ``ip:port``.

    Parameters
    ----------
    address : str
        Address to listen on.
    protocol_factory : callable
        Returns the protocol of a new connection.

    Returns
    -------
    asyncio.Server
        The server, which accepts connections.

    Raises
    ------
    OSError
        If the address can't be used.
    """
    ip, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        protocol_factory, ip, int(port), backlog=LISTEN_BACKLOG
    )
