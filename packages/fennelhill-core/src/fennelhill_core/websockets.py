"""Message streams as WebSocket connections (RFC 6455)."""

from __future__ import annotations

import asyncio

from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError
from tornado.websocket import (
    WebSocketClientConnection,
    WebSocketClosedError,
    WebSocketHandler,
    websocket_connect,
)

from fennelhill_core.clock import MS_PER_S
from fennelhill_core.streams import (
    MAX_MESSAGE_BYTES,
    DialError,
    Stream,
    StreamClosed,
    StreamHandler,
)


class WebSocketDialer:
    """Opens streams as WebSocket connections (RFC 6455).

    Parameters
    ----------
    path : str
        Path of the WebSocket on the other process.
    bearer : str
        Secret that is sent in the ``Authorization`` header; empty for none.
    """

    __slots__ = ("bearer", "path")

    def __init__(self, path: str, bearer: str = "") -> None:
        self.path = path
        self.bearer = bearer

    async def dial(self, address: str, timeout_ms: float) -> Stream:
        """Open a stream.

        Parameters
        ----------
        address : str
            ``ip:port`` of the other process.
        timeout_ms : float
            Time-out for the whole handshake in milliseconds.

        Returns
        -------
        Stream
            The open stream.

        Raises
        ------
        DialError
            If the handshake fails or times out.
        """
        headers = HTTPHeaders()
        if self.bearer:
            headers["Authorization"] = f"Bearer {self.bearer}"
        request = HTTPRequest(
            f"ws://{address}{self.path}",
            headers=headers,
            connect_timeout=timeout_ms / MS_PER_S,
            request_timeout=timeout_ms / MS_PER_S,
        )
        try:
            connection = await websocket_connect(
                request, max_message_size=MAX_MESSAGE_BYTES
            )
        except (OSError, ValueError, HTTPClientError, StreamClosedError) as error:
            raise DialError(f"{address}: {error}") from error
        return _ClientStream(connection)


class _ClientStream:
    """The dialling side of a WebSocket."""

    __slots__ = ("_connection",)

    def __init__(self, connection: WebSocketClientConnection) -> None:
        self._connection = connection

    async def send(self, message: bytes) -> None:
        try:
            await self._connection.write_message(message)
        except (WebSocketClosedError, StreamClosedError) as error:
            raise StreamClosed from error

    async def receive(self) -> bytes:
        message = await self._connection.read_message()
        if message is None:
            raise StreamClosed
        return message if isinstance(message, bytes) else message.encode()

    def close(self) -> None:
        self._connection.close()


class StreamEndpoint(WebSocketHandler):
    """Accepts WebSocket streams and gives each one to a handler task.

    The Tornado application passes ``handler`` and ``bearer``.
    """

    def initialize(self, handler: StreamHandler, bearer: str = "") -> None:
        """Store the arguments that the application passes.

        Parameters
        ----------
        handler : callable
            Serves one stream until it ends.
        bearer : str
            The secret that the peer must present; empty for none.
        """
        self._handler = handler
        self._bearer = bearer
        self._inbox: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._task: asyncio.Task | None = None

    def check_origin(self, origin: str) -> bool:
        """Accept any origin; the secret controls who may connect.

        Parameters
        ----------
        origin : str
            The ``Origin`` header, which processes do not send.

        Returns
        -------
        bool
            Always true.
        """
        return True

    @property
    def max_message_size(self) -> int:
        """Largest message that is accepted, in bytes."""
        return MAX_MESSAGE_BYTES

    def prepare(self) -> None:
        """Answer 401 to a peer that does not present the secret."""
        expected = f"Bearer {self._bearer}" if self._bearer else ""
        if self._bearer and self.request.headers.get("Authorization") != expected:
            self.set_status(401)
            self.finish()

    def open(self, *args: str, **kwargs: str) -> None:
        """Start the task that serves this stream.

        Parameters
        ----------
        *args : str
            Unused path arguments.
        **kwargs : str
            Unused path arguments.
        """
        self.set_nodelay(True)
        self._task = asyncio.ensure_future(self._handler(self))

    def on_message(self, message: str | bytes) -> None:
        """Queue a message for the serving task.

        Parameters
        ----------
        message : str or bytes
            The received message.
        """
        data = message if isinstance(message, bytes) else message.encode()
        self._inbox.put_nowait(data)

    def on_close(self) -> None:
        """Notify the serving task that the stream is closed."""
        self._inbox.put_nowait(None)

    async def send(self, message: bytes) -> None:
        """Send one message.

        Parameters
        ----------
        message : bytes
            The message.

        Raises
        ------
        StreamClosed
            If the stream is closed.
        """
        try:
            await self.write_message(message)
        except (WebSocketClosedError, StreamClosedError) as error:
            raise StreamClosed from error

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
        message = await self._inbox.get()
        if message is None:
            self._inbox.put_nowait(None)
            raise StreamClosed
        return message
