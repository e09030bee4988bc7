"""Ordered message streams between processes, and how to open them."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

from fennelhill_core.clock import timeout_ms

MAX_MESSAGE_BYTES = 4 * 1024 * 1024


class DialError(Exception):
    """No stream could be opened: refused, unreachable or timed out."""


class StreamClosed(Exception):  # noqa: N818 - named like asyncio.QueueEmpty
    """The stream is closed; a message just sent may or may not have arrived."""


class Stream(Protocol):
    """An open, ordered, bidirectional stream of whole messages."""

    async def send(self, message: bytes) -> None:
        """Send one message; raises `StreamClosed` if the stream is closed."""

    async def receive(self) -> bytes:
        """Return the next message; raises `StreamClosed` at the end."""

    def close(self) -> None:
        """Close both directions; pending receives end."""


StreamHandler = Callable[[Stream], Awaitable[None]]


class Dialer(Protocol):
    """Opens streams to addresses; tests and the bench have their own dialers."""

    async def dial(self, address: str, timeout_ms: float) -> Stream:
        """Open a stream; raises `DialError`."""


async def dial_within(dialer: Dialer, address: str, limit_ms: float) -> Stream:
    """Open a stream within a time-out, which the dialer itself need not enforce.

    Parameters
    ----------
    dialer : Dialer
        Opens the stream.
    address : str
        ``ip:port`` of the other process.
    limit_ms : float
        The time-out in milliseconds.

    Returns
    -------
    Stream
        The open stream.

    Raises
    ------
    DialError
        If no stream is open within the time-out.
    """
    try:
        async with timeout_ms(limit_ms):
            return await dialer.dial(address, limit_ms)
    except TimeoutError:
        raise DialError(f"{address}: no answer within {limit_ms:.0f} ms") from None
