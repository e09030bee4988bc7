"""Ends the sessions of withdrawn keys between their operations."""

from __future__ import annotations

from fennelhill_core.clock import Clock
from fennelhill_core.events import EventLog
from fennelhill_core.tasks import Tasks

from fennelhilld.draining.clients import MIN_IDLE_MS, DrainableConnection
from fennelhilld.statements.session import WITHDRAWN_REASON

# An open transaction of a withdrawn key may still commit for this long.
TRANSACTION_LIMIT_MS = 2_000.0
CHECK_INTERVAL_MS = MIN_IDLE_MS / 2
# After the limit only clients are left that were told of the rollback or are about to
# be, and that may stay for as long as they like.
LATE_CHECK_INTERVAL_MS = 200.0


class KeyRevocation:
    """Closes the sessions that a new version of the catalog left without access.

    The sessions are looked through once for each version that withdraws something;
    afterwards only those of withdrawn keys are looked at again.

    Parameters
    ----------
    connections : set of DrainableConnection
        The open connections; closed ones are removed by their owner.
    clock : Clock
        Source of time.
    events : EventLog
        Records how many sessions are affected.
    """

    __slots__ = ("_clock", "_connections", "_ending", "_events", "_tasks")

    def __init__(
        self, connections: set[DrainableConnection], clock: Clock, events: EventLog
    ) -> None:
        self._connections = connections
        self._clock = clock
        self._events = events
        self._ending: set[DrainableConnection] = set()
        self._tasks = Tasks()

    def end_withdrawn_sessions(self) -> None:
        """Start to end the sessions without access; call it after an installation."""
        affected = {
            connection
            for connection in self._connections - self._ending
            if connection.session is not None and connection.session.withdrawn
        }
        if not affected:
            return
        abort_at_ms = self._clock.now_ms() + TRANSACTION_LIMIT_MS
        for connection in affected:
            connection.session.limit_withdrawn_transaction(abort_at_ms)
        self._events.record("catalog.sessions_withdrawn", sessions=len(affected))
        self._ending |= affected
        self._tasks.spawn(self._end(affected, abort_at_ms))

    def close(self) -> None:
        """Cancel all tasks."""
        self._tasks.cancel()

    async def _end(
        self, affected: set[DrainableConnection], abort_at_ms: float
    ) -> None:
        try:
            while affected:
                late = self._clock.now_ms() >= abort_at_ms
                for connection in list(affected):
                    if late and not connection.busy and connection.session.withdrawn:
                        connection.session.abort(WITHDRAWN_REASON)
                    if self._ended(connection):
                        affected.discard(connection)
                        self._ending.discard(connection)
                interval_ms = LATE_CHECK_INTERVAL_MS if late else CHECK_INTERVAL_MS
                await self._clock.sleep_ms(interval_ms)
        finally:
            self._ending -= affected

    def _ended(self, connection: DrainableConnection) -> bool:
        return (
            connection not in self._connections
            or not connection.session.withdrawn
            or connection.close_if_idle(MIN_IDLE_MS)
        )
