"""Streams between simulated hosts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from fennelhill_core.clock import MS_PER_S
from fennelhill_core.streams import DialError, Stream, StreamClosed


class MemoryStream:
    """One end of a stream within the process."""

    def __init__(self) -> None:
        self.inbox: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.other: MemoryStream | None = None
        self.closed = False
        # Whether what is sent at this end is lost.
        self.silent = False
        # Whether a message that is sent at this end now arrives.
        self.delivers: Callable[[], bool] = lambda: True

    async def send(self, message: bytes) -> None:
        """Send one message; raises `StreamClosed`."""
        if self.closed:
            raise StreamClosed
        # What follows a lost message is not delivered either.
        self.silent = self.silent or not self.delivers()
        if not self.silent:
            self.other.inbox.put_nowait(message)

    async def receive(self) -> bytes:
        """Return the next message; raises `StreamClosed` at the end."""
        message = await self.inbox.get()
        if message is None:
            raise StreamClosed
        return message

    def close(self) -> None:
        """Close both ends."""
        for end in (self, self.other):
            end.closed = True
            end.inbox.put_nowait(None)


class MemoryDialer:
    """Dials the relay service of other hosts; the address of a host is its name.

    Parameters
    ----------
    accept : callable
        Called with the address and the far end of each new stream.
    """

    def __init__(self, accept: Callable[[str, Stream], None]) -> None:
        self._accept = accept
        self.unreachable: set[str] = set()
        # Address, near end and far end of each stream.
        self.streams: list[tuple[str, MemoryStream, MemoryStream]] = []

    async def dial(self, address: str, timeout_ms: float) -> MemoryStream:
        """Open a stream; raises `DialError`."""
        if address in self.unreachable:
            raise DialError(address)
        near, far = MemoryStream(), MemoryStream()
        near.other, far.other = far, near
        self.streams.append((address, near, far))
        self._accept(address, far)
        return near


class HostDialer:
    """Dials the relay service of other hosts, as one host reaches them.

    Parameters
    ----------
    dialer : MemoryDialer
        Opens the streams.
    host : str
        The host that dials.
    delivers : callable
        Returns whether a message from one host to another arrives now.
    """

    def __init__(
        self, dialer: MemoryDialer, host: str, delivers: Callable[[str, str], bool]
    ) -> None:
        self._dialer = dialer
        self._host = host
        self._delivers = delivers

    async def dial(self, address: str, timeout_ms: float) -> MemoryStream:
        """Open a stream; raises `DialError`."""
        host, delivers = self._host, self._delivers
        if not (delivers(host, address) and delivers(address, host)):
            await asyncio.sleep(timeout_ms / MS_PER_S)
            raise DialError(address)
        near = await self._dialer.dial(address, timeout_ms)
        near.delivers = lambda: delivers(host, address)
        near.other.delivers = lambda: delivers(address, host)
        return near
