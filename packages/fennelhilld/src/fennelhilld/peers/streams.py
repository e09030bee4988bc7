"""Persistent streams to the other entry hosts, with heartbeats."""

from __future__ import annotations

import asyncio
from typing import TypeVar

import msgspec
from fennelhill_core.clock import Clock
from fennelhill_core.rpc import (
    NOT_RUN_ERROR_CODES,
    NoAnswer,
    NotSent,
    RpcClient,
    RpcError,
)
from fennelhill_core.settings import EntryHost, Limits
from fennelhill_core.streams import Dialer, DialError, dial_within

from fennelhilld.membership.view import LiveView
from fennelhilld.peers.messages import Heartbeat

HEARTBEAT_INTERVAL_MS = 400.0
MISSED_HEARTBEATS = 3  # intervals without an answer until a peer is suspected
IDLE_TIMEOUT_MS = 30_000.0

T = TypeVar("T")


class _PeerStream:
    """State of the stream to one entry host."""

    __slots__ = ("client", "connect_lock", "last_used_ms", "monitor_task")

    def __init__(self, now_ms: float) -> None:
        self.client: RpcClient | None = None
        self.connect_lock = asyncio.Lock()
        self.monitor_task: asyncio.Task | None = None
        self.last_used_ms = now_ms


class PeerStreams:
    """Sends requests to other entry hosts, one stream for each.

    A host that misses its heartbeats is suspected, and requests that wait for its
    answer fail at once instead of at their deadline.

    Parameters
    ----------
    view : LiveView
        Live view, updated with the hosts that answer and those that don't.
    dialer : Dialer
        Opens streams to entry hosts.
    limits : Limits
        Time-outs and limits.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_dialer", "_limits", "_streams", "_view")

    def __init__(
        self, view: LiveView, dialer: Dialer, limits: Limits, clock: Clock
    ) -> None:
        self._view = view
        self._dialer = dialer
        self._limits = limits
        self._clock = clock
        self._streams: dict[str, _PeerStream] = {}

    async def call(
        self,
        host: EntryHost,
        method: str,
        params: object,
        limit_ms: float,
        reply_type: type[T],
    ) -> T:
        """Send a request to an entry host.

        Parameters
        ----------
        host : EntryHost
            The entry host.
        method : str
            Name of the method.
        params : object
            Parameters; any object that msgspec can encode.
        limit_ms : float
            Time-out in milliseconds.
        reply_type : type
            Type of the answer.

        Returns
        -------
        object
            The decoded answer.

        Raises
        ------
        NotSent
            If the request was not sent, or the host did not understand it.
        NoAnswer
            If the request may have arrived.
        """
        peer = self._streams.setdefault(host.id, _PeerStream(self._clock.now_ms()))
        peer.last_used_ms = self._clock.now_ms()
        client = await self._get_client(peer, host, limit_ms)
        try:
            raw = await client.call(method, params, limit_ms)
            return msgspec.json.decode(raw, type=reply_type)
        except RpcError as error:
            if error.error.get("code") in NOT_RUN_ERROR_CODES:
                # The other host runs another version and does not support the request.
                raise NotSent from error
            raise NoAnswer(str(error)) from error
        except msgspec.DecodeError as error:
            raise NoAnswer(str(error)) from error

    def close(self) -> None:
        """Close all streams."""
        for peer in self._streams.values():
            if peer.monitor_task is not None:
                peer.monitor_task.cancel()
            if peer.client is not None:
                peer.client.close()

    async def _get_client(
        self, peer: _PeerStream, host: EntryHost, limit_ms: float
    ) -> RpcClient:
        if peer.client is not None and not peer.client.closed:
            return peer.client
        async with peer.connect_lock:
            # Another call may have opened the stream while this one waited.
            if peer.client is not None and not peer.client.closed:
                return peer.client
            limit_ms = min(limit_ms, self._limits.connect_timeout_ms)
            try:
                stream = await dial_within(self._dialer, host.address, limit_ms)
            except DialError as error:
                self._suspect(host, str(error))
                raise NotSent from error
            peer.client = RpcClient(stream)
            if peer.monitor_task is not None:
                peer.monitor_task.cancel()
            peer.monitor_task = asyncio.ensure_future(
                self._monitor(peer, peer.client, host)
            )
            return peer.client

    async def _monitor(
        self, peer: _PeerStream, client: RpcClient, host: EntryHost
    ) -> None:
        """Send a heartbeat when answers are overdue; close an idle stream.

        Any message shows that the other host responds, and a stream without pending
        requests needs no check.  This keeps heartbeats rare in a fleet in which every
        host is connected to every other one.
        """
        while not client.closed:
            received_count = client.received_messages
            await self._clock.sleep_ms(HEARTBEAT_INTERVAL_MS)
            if client.pending_requests and client.received_messages == received_count:
                await self._send_heartbeat(client, host)
            elif self._clock.now_ms() - peer.last_used_ms > IDLE_TIMEOUT_MS:
                client.close()
                return
        self._suspect(host, "stream closed")

    async def _send_heartbeat(self, client: RpcClient, host: EntryHost) -> None:
        own_id = self._view.host.id
        heartbeat = Heartbeat(
            own_id, not self._view.usable(own_id), self._clock.wall_ms()
        )
        try:
            raw = await client.call(
                "hello", heartbeat, HEARTBEAT_INTERVAL_MS * MISSED_HEARTBEATS
            )
            reply = msgspec.json.decode(raw, type=Heartbeat)
        except (NoAnswer, NotSent, RpcError, msgspec.DecodeError) as error:
            self._suspect(host, f"no heartbeat: {error}")
            client.close()
        else:
            self._view.record_response(host.id, reply.leaving)

    def _suspect(self, host: EntryHost, reason: str) -> None:
        self._view.suspect(host.id, self._limits.peer_silence_ms, reason)
