"""Connection pool of one target, with health checks, backoff and limits."""

from __future__ import annotations

import asyncio
from collections import deque

from fennelhill_core.clock import Clock, timeout_ms
from fennelhill_core.codes import (
    CONNECTIONS_EXHAUSTED,
    TARGET_UNREACHABLE,
    Refusal,
)
from fennelhill_core.rpc import NoAnswer, NotSent
from fennelhill_core.settings import Limits, Target
from fennelhill_core.streams import DialError
from fennelhill_core.tasks import Tasks
from result import Err, Ok, Result

from fennelhilld.targets.driver import (
    TargetConnection,
    TargetDriver,
    TooManyConnectionsError,
)

RESERVED_CONTROL_CONNECTIONS = 4  # per target
BACKOFF_FIRST_MS = 50.0
BACKOFF_MAX_MS = 1_000.0
# Suggested retry delays.
UNREACHABLE_RETRY_AFTER_MIN_MS = 50  # or the current backoff, if that is longer
EXHAUSTED_RETRY_AFTER_MS = 100  # no connection is free


class PoolCounters:
    """Counts of connection attempts and failures, for the metrics.

    ``refused`` counts attempts that the target refused at its connection limit, and
    ``silent`` counts connections that stopped answering.
    """

    __slots__ = ("connects", "refused", "silent")

    def __init__(self) -> None:
        self.connects = 0
        self.refused = 0
        self.silent = 0


class ConnectionPool:
    """Manages this host's connections to one target.

    A connection is either idle in the pool or used by exactly one request.  A
    connection whose state is uncertain is closed, not reused.  At most
    ``connects_at_once`` connections are being opened at any time, however many
    requests wait, to avoid a connection storm at a target that has restarted.

    Parameters
    ----------
    target : Target
        The target.
    driver : TargetDriver
        Opens connections.
    limits : Limits
        Time-outs and limits.
    clock : Clock
        Source of time.
    max_connections : int or None
        Maximum number of connections that this host may hold; 0 or None for all that
        the target accepts except those reserved for control.
    """

    __slots__ = (
        "_backoff_ms",
        "_clock",
        "_connecting_count",
        "_driver",
        "_idle",
        "_limits",
        "_max_connections",
        "_open_count",
        "_retry_at_ms",
        "_started",
        "_target",
        "_tasks",
        "_waiters",
        "counters",
    )

    def __init__(
        self,
        target: Target,
        driver: TargetDriver,
        limits: Limits,
        clock: Clock,
        max_connections: int | None = None,
    ) -> None:
        self._target = target
        self._driver = driver
        self._limits = limits
        self._clock = clock
        # Every host that owns a target of the group keeps a control connection to
        # each of the group's targets.
        self._max_connections = max_connections or max(
            1, target.connections - RESERVED_CONTROL_CONNECTIONS
        )
        self._idle: deque[TargetConnection] = deque()
        self._waiters: deque[asyncio.Future[TargetConnection | None]] = deque()
        self._open_count = 0
        self._connecting_count = 0
        self._tasks = Tasks()
        self._backoff_ms = 0.0
        self._retry_at_ms = 0.0
        self._started = False
        self.counters = PoolCounters()

    @property
    def open(self) -> int:
        """Number of connections that are idle, in use or being opened."""
        return self._open_count

    @property
    def idle(self) -> int:
        """Number of idle connections."""
        return len(self._idle)

    def start(self) -> None:
        """Open the first connections, up to one per slot; start to check idle ones."""
        if not self._started:
            self._started = True
            self._tasks.keep_running(self._check_idle_periodically)
            for _ in range(min(self._target.slots, self._max_connections)):
                self._try_open()

    def close(self) -> None:
        """Stop the pool: close idle connections and refuse waiting requests."""
        self._tasks.cancel()
        while self._idle:
            self._idle.pop().close()
        for waiter in self._waiters:
            if not waiter.done():
                waiter.set_result(None)

    async def acquire(self, deadline_ms: float) -> Result[TargetConnection, Refusal]:
        """Acquire a connection for exclusive use.

        Parameters
        ----------
        deadline_ms : float
            When to stop waiting, on this host's clock.

        Returns
        -------
        Result
            A connection, or a refusal of class *not run*.
        """
        while self._idle:
            connection = self._idle.pop()
            if not connection.closed:
                return Ok(connection)
            self._open_count -= 1
        now_ms = self._clock.now_ms()
        if now_ms < self._retry_at_ms and self._open_count == self._connecting_count:
            return Err(self._unreachable_refusal())
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        self._open_for_waiters()
        try:
            async with timeout_ms(deadline_ms - now_ms):
                connection = await waiter
        except TimeoutError:
            return Err(self._exhausted_refusal())
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled() and waiter.result():
                self.release(waiter.result())
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)
        return Ok(connection) if connection else Err(self._unreachable_refusal())

    def release(self, connection: TargetConnection) -> None:
        """Return a connection to the pool; a closed one is removed.

        Parameters
        ----------
        connection : TargetConnection
            A connection that `acquire` returned, reset since its last batch.
        """
        if connection.closed:
            self._remove_connection()
            return
        waiter = self._pop_waiter()
        if waiter is not None:
            waiter.set_result(connection)
        else:
            self._idle.append(connection)

    def discard(self, connection: TargetConnection) -> None:
        """Close a connection whose state is uncertain instead of returning it.

        Parameters
        ----------
        connection : TargetConnection
            A connection that `acquire` returned.
        """
        connection.close()
        self._remove_connection()

    def record_silent_connection(self) -> None:
        """Count a connection that did not answer and check all idle ones now."""
        self.counters.silent += 1
        for _ in range(len(self._idle)):
            self._tasks.spawn(self._check(self._idle.popleft()))

    def _remove_connection(self) -> None:
        self._open_count -= 1
        self._open_for_waiters()

    def _pop_waiter(self) -> asyncio.Future | None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                return waiter
        return None

    def _open_for_waiters(self) -> None:
        while self._connecting_count < len(self._waiters) and self._try_open():
            pass

    def _try_open(self) -> bool:
        if self._connecting_count >= self._limits.connects_at_once:
            return False
        if self._open_count >= self._max_connections:
            return False
        self._open_count += 1
        self._connecting_count += 1
        self._tasks.spawn(self._connect())
        return True

    async def _connect(self) -> None:
        wait_ms = self._retry_at_ms - self._clock.now_ms()
        if wait_ms > 0:
            await self._clock.sleep_ms(wait_ms)
        self.counters.connects += 1
        limit_ms = self._limits.connect_timeout_ms
        try:
            connection = await self._driver.connect(self._target.address, limit_ms)
        except TooManyConnectionsError:
            # Other hosts use the target's remaining connections.  Waiters stay queued,
            # because another host may close a connection or this one may release one.
            self.counters.refused += 1
            self._record_connect_failure(wake_waiters=False)
        except DialError:
            self._record_connect_failure(wake_waiters=True)
        else:
            self._connecting_count -= 1
            self._backoff_ms = 0.0
            self.release(connection)
        self._open_for_waiters()

    def _record_connect_failure(self, wake_waiters: bool) -> None:
        self._open_count -= 1
        self._connecting_count -= 1
        doubled_ms = max(2 * self._backoff_ms, BACKOFF_FIRST_MS)
        self._backoff_ms = min(doubled_ms, BACKOFF_MAX_MS)
        self._retry_at_ms = self._clock.now_ms() + self._backoff_ms
        if wake_waiters and self._open_count == self._connecting_count:
            while (waiter := self._pop_waiter()) is not None:
                waiter.set_result(None)

    async def _check_idle_periodically(self) -> None:
        """Ping idle connections, to find silent ones before a request uses them.

        While there are fewer connections than slots, one is opened in each round.
        """
        while True:
            await self._clock.sleep_ms(self._limits.connection_check_ms)
            for _ in range(len(self._idle)):
                # Requests may take idle connections while a check awaits its answer.
                if self._idle:
                    await self._check(self._idle.popleft())
            if self._open_count < self._target.slots:
                self._try_open()

    async def _check(self, connection: TargetConnection) -> None:
        try:
            await connection.ping(self._limits.sample_timeout_ms)
        except (NoAnswer, NotSent):
            self.counters.silent += 1
            self.discard(connection)
        except asyncio.CancelledError:
            self.discard(connection)
            raise
        else:
            self.release(connection)

    def _unreachable_refusal(self) -> Refusal:
        detail = f"{self._target.id} accepts no connection"
        return Refusal.of(
            TARGET_UNREACHABLE,
            detail,
            max(self._backoff_ms, UNREACHABLE_RETRY_AFTER_MIN_MS),
        )

    def _exhausted_refusal(self) -> Refusal:
        detail = f"{self._open_count} connections to {self._target.id}, none free"
        return Refusal.of(CONNECTIONS_EXHAUSTED, detail, EXHAUSTED_RETRY_AFTER_MS)
