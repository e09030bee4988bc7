"""Queries between hosts that are small and frequent, as JSON in UDP datagrams."""

from __future__ import annotations

import asyncio
import inspect
import itertools
from collections.abc import Awaitable, Callable

import msgspec
from fennelhill_core.clock import timeout_ms
from fennelhill_core.events import EventLog
from fennelhill_core.tasks import Tasks

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
        ip, _, port = address.rpartition(":")
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=(ip, int(port))
        )

    def close(self) -> None:
        """Stop receiving, and give all queries up."""
        self._tasks.cancel()
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
        if self._transport is None:
            return None
        number = next(self._numbers)
        answer = asyncio.get_running_loop().create_future()
        self._pending[number] = answer
        ip, _, port = address.rpartition(":")
        self._transport.sendto(_ENCODER.encode(_Query(number, query)), (ip, int(port)))
        try:
            async with timeout_ms(limit_ms):
                return await answer
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
        answer = self._handle(message.query)
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
        self._transport.sendto(_ENCODER.encode(_Reply(number, answer)), address)

    def _record_fault(self, peer: str, error: Exception) -> None:
        self._logged_faults += 1
        if self._logged_faults <= MAX_LOGGED_FAULTS:
            self._events.record("fleet.bad_datagram", peer=peer, reason=str(error))
