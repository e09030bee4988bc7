"""Queries between hosts that are small and frequent, as JSON in UDP datagrams."""

from __future__ import annotations

import asyncio
import inspect
import itertools
import socket
from collections.abc import Awaitable, Callable

import msgspec
from fennelhill_core.clock import timeout_ms
from fennelhill_core.events import EventLog
from fennelhill_core.sockets import InvalidAddressError, split_address
from fennelhill_core.tasks import Tasks
from loguru import logger

from fennelhilld.fleet.messages import HostAnswer, HostQuery

# Datagrams that can't be sent or decoded are logged at most this often for each peer.
MAX_LOGGED_FAULTS = 20


class _Query(msgspec.Struct, tag="query"):
    number: int
    query: HostQuery


class _Reply(msgspec.Struct, tag="reply"):
    number: int
    answer: HostAnswer


def _decode_number(number_type: type[int], value: object) -> int:
    if type(value) is not int:
        raise ValueError(f"expected a whole number: {value!r}")
    return number_type(value)


_ENCODER = msgspec.json.Encoder(enc_hook=int)
_DECODER = msgspec.json.Decoder(_Query | _Reply, dec_hook=_decode_number)


class PeerDatagrams(asyncio.DatagramProtocol):
    """Sends queries to other hosts and answers theirs.

    Datagrams may be lost, repeated or late: the caller repeats a query that was not
    answered, and an answer to a query that has timed out is dropped.

    Parameters
    ----------
    handle : callable
        Returns the answer to a query, or an awaitable of it.
    events : EventLog
        Records invalid datagrams.
    """

    def __init__(
        self,
        handle: Callable[[HostQuery], HostAnswer | Awaitable[HostAnswer]],
        events: EventLog,
    ) -> None:
        self._handle = handle
        self._events = events
        self._transport: asyncio.DatagramTransport | None = None
        # Datagrams are sent on the socket itself: the transport closes for good when
        # one of them can't be sent, and all other hosts would be cut off.
        self._socket: socket.socket | None = None
        self._numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[HostAnswer]] = {}
        self._logged_faults = 0
        self._tasks = Tasks()

    async def listen(self, address: str) -> None:
        """Receive datagrams at an address.

        Parameters
        ----------
        address : str
            ``ip:port``.

        Raises
        ------
        OSError
            If the port is in use.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.setblocking(False)
            sock.bind(split_address(address))
            await asyncio.get_running_loop().create_datagram_endpoint(
                lambda: self, sock=sock
            )
        except BaseException:
            sock.close()
            raise
        self._socket = sock

    def close(self) -> None:
        """Stop receiving, and give all queries up."""
        self._tasks.cancel()
        self._socket = None
        if self._transport is not None:
            self._transport.close()

    async def ask(
        self, address: str, query: HostQuery, limit_ms: float
    ) -> HostAnswer | None:
        """Send a query, and wait for its answer.

        Parameters
        ----------
        address : str
            ``ip:port`` of the host.
        query : HostQuery
            The query.
        limit_ms : float
            Longest wait in milliseconds.

        Returns
        -------
        HostAnswer or None
            None if no answer came in time.
        """
        if self._socket is None:
            return None
        number = next(self._numbers)
        answer = asyncio.get_running_loop().create_future()
        self._pending[number] = answer
        try:
            self._send(_Query(number, query), split_address(address))
            async with timeout_ms(limit_ms):
                return await answer
        except InvalidAddressError as error:
            self._record_fault(address, error)
            return None
        except TimeoutError:
            return None
        finally:
            del self._pending[number]

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; called by asyncio."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: tuple) -> None:
        """Answer a query, or complete one; called by asyncio."""
        try:
            message = _DECODER.decode(data)
        except (ValueError, RecursionError) as error:
            self._record_fault(f"{address[0]}:{address[1]}", error)
            return
        if isinstance(message, _Reply):
            pending = self._pending.get(message.number)
            if pending is not None and not pending.done():
                pending.set_result(message.answer)
            return
        try:
            answer = self._handle(message.query)
        except Exception as error:
            # The host that asked repeats its query; later ones are answered.
            logger.opt(exception=error).error("a query of another host failed")
            return
        if inspect.isawaitable(answer):
            self._tasks.spawn(self._answer_later(message.number, answer, address))
        else:
            self._reply(message.number, answer, address)

    def error_received(self, error: Exception) -> None:
        """Record that a datagram could not be delivered; called by asyncio."""
        self._record_fault("", error)

    async def _answer_later(
        self, number: int, answer: Awaitable[HostAnswer], address: tuple
    ) -> None:
        self._reply(number, await answer, address)

    def _reply(self, number: int, answer: HostAnswer, address: tuple) -> None:
        self._send(_Reply(number, answer), address)

    def _send(self, message: _Query | _Reply, address: tuple[str, int]) -> None:
        """Send a datagram; one that can't be sent is lost like any other."""
        if self._socket is None:
            return
        try:
            self._socket.sendto(_ENCODER.encode(message), address)
        except OSError as error:
            self._record_fault(f"{address[0]}:{address[1]}", error)

    def _record_fault(self, peer: str, error: Exception) -> None:
        self._logged_faults += 1
        if self._logged_faults <= MAX_LOGGED_FAULTS:
            self._events.record("fleet.bad_datagram", peer=peer, reason=str(error))
