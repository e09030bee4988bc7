"""Closes client connections at a shutdown and while this host is cut off."""

from __future__ import annotations

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


class DrainableConnection(Protocol):
    """A client's connection, over any client protocol."""

    session: Session | None
    busy: bool

    def close_if_idle(self, idle_ms: float) -> bool:
        """Close the connection if it is idle and has no open transaction.

        It must have been idle for `idle_ms`, so that no statement is on its way.
        Returns whether it is closed now.
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
    """

    __slots__ = ("_clock", "_reach", "connections")

    def __init__(
        self, connections: set[DrainableConnection], reach: FleetReach, clock: Clock
    ) -> None:
        self.connections = connections
        self._reach = reach
        self._clock = clock

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
                self._close_idle()

    async def drain(self, shutdown_ms: float) -> None:
        """Close the connections without interrupting a statement.

        Connections are served until the load balancer has removed this host; then
        each is closed once it is idle.  After half of the shutdown time, open
        transactions that run no statement are aborted.  Returns when all connections
        are closed, or `CLOSING_RESERVE_MS` before the end of the shutdown time.

        Parameters
        ----------
        shutdown_ms : float
            Time until the process is killed, in milliseconds.
        """
        started_ms = self._clock.now_ms()
        aborted = False
        while self.connections:
            spent_ms = self._clock.now_ms() - started_ms
            if spent_ms >= shutdown_ms - CLOSING_RESERVE_MS:
                break
            if spent_ms >= BALANCER_NOTICE_MS:
                self._close_idle()
            if spent_ms >= shutdown_ms / 2 and not aborted:
                aborted = True
                self._abort_transactions()
            await self._clock.sleep_ms(DRAIN_CHECK_INTERVAL_MS)

    def _close_idle(self) -> None:
        for connection in list(self.connections):
            connection.close_if_idle(MIN_IDLE_MS)

    def _abort_transactions(self) -> None:
        for connection in self.connections:
            if connection.session is not None and not connection.busy:
                connection.session.abort("this host shuts down")
