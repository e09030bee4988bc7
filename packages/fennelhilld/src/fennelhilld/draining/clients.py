"""Closes client connections at a shutdown and while this host is cut off."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

from fennelhill_core.clock import Clock

from fennelhilld.promotion.reach import BALANCER_NOTICE_MS, FleetReach
from fennelhilld.statements.session import Session

# Last part of the shutdown time, reserved for closing connections that are still open.
CLOSING_RESERVE_MS = 600.0
# A connection that has been idle this long has no request on its way: a round trip to
# clients takes 2 to 6 ms.
MIN_IDLE_MS = 40.0
# How often connections are checked during a shutdown.
DRAIN_CHECK_INTERVAL_MS = MIN_IDLE_MS / 2
# How often idle connections are closed while this host is cut off.
IDLE_CHECK_INTERVAL_MS = 150.0
READ_ROUNDS = 2  # rounds of the event loop in which it reads what has arrived
SHUTDOWN_REASON = "this host shuts down"


class DrainableConnection(Protocol):
    """A client's connection, over any client protocol."""

    session: Session | None
    busy: bool

    def close_if_idle(self, idle_ms: float) -> bool:
        """Close the connection if it is idle and has no open transaction.

        It must have been idle for `idle_ms`, so that no statement is on its way; right
        behind an answer none is.  Returns whether it is closed now.
        """


class ClientDrain:
    """Decides when each client connection is closed.

    Parameters
    ----------
    connections : set of DrainableConnection
        The open connections; closed ones are removed by their owner.
    reach : FleetReach
        State of this host's connectivity to the fleet.
    clock : Clock
        Source of time.
    stop_accepting : callable
        Called once during a shutdown; no client can connect after that.
    """

    __slots__ = (
        "_aborts_from_ms",
        "_accepting",
        "_clock",
        "_closes_from_ms",
        "_reach",
        "_stop_accepting",
        "connections",
    )

    def __init__(
        self,
        connections: set[DrainableConnection],
        reach: FleetReach,
        clock: Clock,
        stop_accepting: Callable[[], None] = lambda: None,
    ) -> None:
        self.connections = connections
        self._reach = reach
        self._clock = clock
        self._stop_accepting = stop_accepting
        self._accepting = True
        # From when on connections are closed and transactions are aborted.
        self._closes_from_ms = math.inf
        self._aborts_from_ms = math.inf

    def handle_answer(self, connection: DrainableConnection) -> None:
        """Close a connection behind its answer, or abort its transaction, if due.

        A client that sends its next statement soon is never found idle, but has none on
        its way right behind an answer.

        Parameters
        ----------
        connection : DrainableConnection
            A connection that is not busy and whose client was sent an answer.
        """
        if not self._closes:
            return
        if connection.session is not None and connection.session.in_transaction:
            if self._clock.now_ms() >= self._aborts_from_ms:
                connection.session.abort(SHUTDOWN_REASON)
            return
        connection.close_if_idle(0.0)

    @property
    def _closes(self) -> bool:
        """Whether clients that connect again reach another host."""
        return (
            self._clock.now_ms() >= self._closes_from_ms
            or self._reach.cut_off_for_ms() >= BALANCER_NOTICE_MS
        )

    async def close_idle_while_cut_off(self) -> None:
        """Close idle connections while this host is cut off from the fleet.

        Their clients reconnect, and the load balancer sends them to hosts that reach
        the leaders.  It would send them back here until its probes have failed, so
        closing begins only then.
        """
        while True:
            remaining_ms = BALANCER_NOTICE_MS - self._reach.cut_off_for_ms()
            await self._clock.sleep_ms(max(IDLE_CHECK_INTERVAL_MS, remaining_ms))
            if self._reach.cut_off_for_ms() >= BALANCER_NOTICE_MS:
                await self._close_idle()

    async def drain(self, shutdown_ms: float) -> None:
        """Close the connections without interrupting a statement.

        Connections are served until the load balancer has removed this host; then
        each is closed once it is idle, or behind its next answer.  After half of the
        shutdown time no more connections are accepted, and open transactions are
        aborted behind their next answer.  Returns when all connections are closed, or
        `CLOSING_RESERVE_MS` before the end of the shutdown time.

        Parameters
        ----------
        shutdown_ms : float
            Time until the process is killed, in milliseconds.
        """
        started_ms = self._clock.now_ms()
        ends_ms = started_ms + shutdown_ms - CLOSING_RESERVE_MS
        self._closes_from_ms = started_ms + BALANCER_NOTICE_MS
        self._aborts_from_ms = started_ms + shutdown_ms / 2
        accepts_until_ms = max(self._closes_from_ms, self._aborts_from_ms)
        while (now_ms := self._clock.now_ms()) < ends_ms:
            if not self.connections or now_ms >= accepts_until_ms:
                self._end_accepting()
            # Some may have been accepted a moment ago.
            if not self.connections:
                return
            if now_ms >= self._closes_from_ms:
                await self._close_idle()
            if now_ms >= self._aborts_from_ms:
                self._abort_transactions()
            await self._clock.sleep_ms(DRAIN_CHECK_INTERVAL_MS)
        self._end_accepting()

    def _end_accepting(self) -> None:
        if self._accepting:
            self._accepting = False
            self._stop_accepting()

    async def _close_idle(self) -> None:
        # What has arrived while other work kept the loop busy is read first.  Some
        # loops call back for it only in the round after the one that finds it.
        for _ in range(READ_ROUNDS):
            await asyncio.sleep(0)
        for connection in list(self.connections):
            connection.close_if_idle(MIN_IDLE_MS)

    def _abort_transactions(self) -> None:
        for connection in self.connections:
            if connection.session is not None and not connection.busy:
                connection.session.abort(SHUTDOWN_REASON)
