"""The emulated network: delays, partitions and streams that lose all messages."""

from __future__ import annotations

import asyncio
from collections import deque

from fennelhill_core.clock import MS_PER_S
from fennelhill_core.streams import (
    Dialer,
    DialError,
    Stream,
    StreamClosed,
    StreamHandler,
)
from fennelhill_core.tasks import Tasks

SAME_ZONE_DELAY_MS = 0.05


class Network:
    """Decides the delay of messages between zones and which messages are lost.

    A message that is sent across a partition is lost, and its stream delivers no
    message from then on, even after the partition has healed.  This emulates a
    stateful device between the two ends, such as a firewall, that has dropped the
    connection from its table.

    Parameters
    ----------
    one_way_ms : float
        One-way delay between two availability zones in milliseconds.
    """

    def __init__(self, one_way_ms: float = 1.4) -> None:
        self.one_way_ms = one_way_ms
        self.zone_of: dict[str, str] = {}
        self._cuts: set[frozenset[str]] = set()
        self._isolated: set[str] = set()
        self._dead: set[str] = set()
        self._streams: list[ShapedStream] = []

    def set_zone(self, address: str, zone: str) -> None:
        """Set the zone of an address.

        Parameters
        ----------
        address : str
            ``ip:port`` of a process.
        zone : str
            Its availability zone.
        """
        self.zone_of[address] = zone

    def cut(self, zone: str, other: str) -> None:
        """Partition two zones from each other.

        Parameters
        ----------
        zone : str
            One zone.
        other : str
            The other zone.
        """
        self._cuts.add(frozenset((zone, other)))

    def reaches_platform(self, zone: str) -> bool:
        """Return whether a zone can reach the platform's services.

        Parameters
        ----------
        zone : str
            The zone.

        Returns
        -------
        bool
            False for an isolated zone.
        """
        return zone not in self._isolated

    def isolate(self, zone: str) -> None:
        """Partition a zone from all other zones and from the platform.

        Parameters
        ----------
        zone : str
            The zone.
        """
        self._isolated.add(zone)

    def heal(self) -> None:
        """End all partitions.  Streams that have lost a message stay silent."""
        self._cuts.clear()
        self._isolated.clear()

    def reachable(self, zone: str, other: str) -> bool:
        """Return whether messages between two zones are delivered.

        Parameters
        ----------
        zone : str
            One zone.
        other : str
            The other zone.

        Returns
        -------
        bool
            False if the zones are partitioned.
        """
        if zone == other:
            return True
        if zone in self._isolated or other in self._isolated:
            return False
        return frozenset((zone, other)) not in self._cuts

    def delay_ms(self, zone: str, other: str) -> float:
        """Return the one-way delay of a message between two zones.

        Parameters
        ----------
        zone : str
            One zone.
        other : str
            The other zone.

        Returns
        -------
        float
            Milliseconds.
        """
        return SAME_ZONE_DELAY_MS if zone == other else self.one_way_ms

    def dialer(self, origin: str, zone: str, base: Dialer) -> ShapedDialer:
        """Return a dialer for a process in a zone.

        Parameters
        ----------
        origin : str
            ``ip:port`` of the process that dials.
        zone : str
            Availability zone of the process.
        base : Dialer
            Opens the real or in-memory streams.

        Returns
        -------
        ShapedDialer
            The dialer.
        """
        return ShapedDialer(self, origin, zone, base)

    def silence(self, address: str) -> int:
        """Lose all further messages of the open streams to an address.

        The streams stay open, so that neither end notices before a time-out.

        Parameters
        ----------
        address : str
            ``ip:port`` of a process.

        Returns
        -------
        int
            Number of streams that were silenced.
        """
        matching = [s for s in self._streams if s.address == address and not s.closed]
        for stream in matching:
            stream.silent = True
        return len(matching)

    def disconnect(self, address: str) -> None:
        """Close all streams of a process that has died, and refuse it new ones.

        Parameters
        ----------
        address : str
            ``ip:port`` of the process.
        """
        self._dead.add(address)
        for stream in self._streams:
            if address in (stream.address, stream.origin):
                stream.close()

    def is_dead(self, address: str) -> bool:
        """Return whether a process has died.

        Parameters
        ----------
        address : str
            ``ip:port`` of the process.

        Returns
        -------
        bool
            Whether `disconnect` was called for it.
        """
        return address in self._dead

    def register_stream(self, stream: ShapedStream) -> None:
        """Register an open stream, so that faults can be applied to it.

        Parameters
        ----------
        stream : ShapedStream
            The stream.
        """
        self._streams = [s for s in self._streams if not s.closed]
        self._streams.append(stream)


class ShapedDialer:
    """Opens streams that the emulated network delays and interrupts."""

    __slots__ = ("_base", "_network", "_origin", "_zone")

    def __init__(self, network: Network, origin: str, zone: str, base: Dialer) -> None:
        self._network = network
        self._origin = origin
        self._zone = zone
        self._base = base

    async def dial(self, address: str, timeout_ms: float) -> Stream:
        """Open a stream.

        Parameters
        ----------
        address : str
            ``ip:port`` of the other process.
        timeout_ms : float
            Time-out in milliseconds.

        Returns
        -------
        Stream
            The shaped stream.

        Raises
        ------
        DialError
            If the zone is unreachable (after the time-out), no process listens at
            the address, or the dialling process has died.
        """
        if self._network.is_dead(self._origin):
            raise DialError(f"{self._origin} is dead")
        peer_zone = self._network.zone_of.get(address, self._zone)
        if not self._network.reachable(self._zone, peer_zone):
            await asyncio.sleep(timeout_ms / MS_PER_S)
            raise DialError(f"{address}: no answer")
        await asyncio.sleep(
            2 * self._network.delay_ms(self._zone, peer_zone) / MS_PER_S
        )
        base = await self._base.dial(address, timeout_ms)
        stream = ShapedStream(self._network, self._zone, peer_zone, address, base)
        stream.origin = self._origin
        self._network.register_stream(stream)
        return stream


class _DelayLine:
    """Delivers messages after a delay, in the order in which they were pushed."""

    __slots__ = ("_deliver", "_line")

    def __init__(self, deliver: object) -> None:
        self._line: deque[bytes | None] = deque()
        self._deliver = deliver

    def push(self, message: bytes | None, delay_ms: float) -> None:
        self._line.append(message)
        loop = asyncio.get_running_loop()
        # Each timer delivers the oldest message, so that timers that expire at the
        # same time can't reorder messages.
        loop.call_later(delay_ms / MS_PER_S, self._pop)

    def _pop(self) -> None:
        self._deliver(self._line.popleft())


class ShapedStream:
    """The dialling side of a stream, with delay and loss of messages applied."""

    def __init__(
        self, network: Network, zone: str, peer_zone: str, address: str, base: Stream
    ) -> None:
        self.address = address
        self.origin = ""
        self.silent = False
        self.closed = False
        self._network = network
        self._zones = (zone, peer_zone)
        self._base = base
        self._inbox: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._out = _DelayLine(self._transmit)
        self._in = _DelayLine(self._inbox.put_nowait)
        self._sends = Tasks()
        self._pump_task = asyncio.ensure_future(self._pump())

    async def send(self, message: bytes) -> None:
        """Send a message, which arrives after the network delay.

        Parameters
        ----------
        message : bytes
            The message.

        Raises
        ------
        StreamClosed
            If the stream is closed.
        """
        if self.closed:
            raise StreamClosed
        self._out.push(message, self._network.delay_ms(*self._zones))

    async def receive(self) -> bytes:
        """Wait for a message.

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
            raise StreamClosed
        return message

    def close(self) -> None:
        """Close both directions; the other end notices unless the stream is silent."""
        if self.closed:
            return
        self.closed = True
        self._pump_task.cancel()
        self._inbox.put_nowait(None)
        if not self._check_silent():
            self._base.close()

    def _check_silent(self) -> bool:
        """Silence the stream if its zones are partitioned; return `silent`."""
        if not self._network.reachable(*self._zones):
            self.silent = True
        return self.silent

    def _transmit(self, message: bytes | None) -> None:
        if message is None or self._check_silent() or self.closed:
            return
        self._sends.spawn(self._send_base(message))

    async def _send_base(self, message: bytes) -> None:
        try:
            await self._base.send(message)
        except StreamClosed:
            self._in.push(None, 0)

    async def _pump(self) -> None:
        try:
            while True:
                message = await self._base.receive()
                if not self._check_silent():
                    self._in.push(message, self._network.delay_ms(*self._zones))
        except StreamClosed:
            if not self._check_silent():
                self._in.push(None, self._network.delay_ms(*self._zones))


class MemoryTransport:
    """Listeners and streams inside one process, for tests under virtual time."""

    __slots__ = ("_listeners", "_tasks")

    def __init__(self) -> None:
        self._listeners: dict[str, StreamHandler] = {}
        self._tasks = Tasks()

    def listen(self, address: str, handler: StreamHandler) -> None:
        """Serve streams to an address.

        Parameters
        ----------
        address : str
            ``ip:port`` as others dial it.
        handler : callable
            Serves one stream until it ends.
        """
        self._listeners[address] = handler

    def stop(self, address: str) -> None:
        """Refuse new streams to an address.

        Parameters
        ----------
        address : str
            ``ip:port`` as others dial it.
        """
        self._listeners.pop(address, None)

    async def dial(self, address: str, timeout_ms: float) -> Stream:
        """Open a stream.

        Parameters
        ----------
        address : str
            ``ip:port`` of a listener.
        timeout_ms : float
            Unused: streams in memory open immediately.

        Returns
        -------
        Stream
            The dialling side.

        Raises
        ------
        DialError
            If no process listens at the address.
        """
        handler = self._listeners.get(address)
        if handler is None:
            raise DialError(f"{address}: connection refused")
        near, far = _MemoryStream.pair()
        self._tasks.spawn(handler(far))
        return near


class _MemoryStream:
    """One end of a stream that is made of two queues."""

    __slots__ = ("_closed", "_inbox", "_peer")

    def __init__(self) -> None:
        self._inbox: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._peer: _MemoryStream | None = None
        self._closed = False

    @classmethod
    def pair(cls) -> tuple[_MemoryStream, _MemoryStream]:
        near, far = cls(), cls()
        near._peer, far._peer = far, near
        return near, far

    async def send(self, message: bytes) -> None:
        if self._closed or self._peer is None or self._peer._closed:
            raise StreamClosed
        self._peer._inbox.put_nowait(message)

    async def receive(self) -> bytes:
        message = await self._inbox.get()
        if message is None:
            self._inbox.put_nowait(None)
            raise StreamClosed
        return message

    def close(self) -> None:
        if self._closed:
            return
        self._closed = True
        self._inbox.put_nowait(None)
        if self._peer is not None:
            self._peer._inbox.put_nowait(None)
