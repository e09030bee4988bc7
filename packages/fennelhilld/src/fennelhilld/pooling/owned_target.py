"""A target that this host owns: its admission queue and its connection pool."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

from fennelhill_core.clock import Clock
from fennelhill_core.codes import (
    ANSWER_TOO_LARGE,
    NOT_PRIMARY,
    SQL_ERROR,
    TARGET_BUSY,
    UNKNOWN_TRANSACTION,
    Refusal,
)
from fennelhill_core.settings import Limits, Target
from result import Err, Ok, Result

from fennelhilld.peers.messages import OwnerRequest
from fennelhilld.pooling.admission import AdmissionQueue
from fennelhilld.pooling.connections import ConnectionPool
from fennelhilld.targets.driver import TargetConnection, TargetDriver
from fennelhilld.targets.messages import Batch, BatchReply, End, Fault

LOCK_RETRY_AFTER_MS = 200

_CODE_OF_FAULT = {
    Fault.SQL: SQL_ERROR,
    Fault.ANSWER_TOO_LARGE: ANSWER_TOO_LARGE,
    Fault.NOT_PRIMARY: NOT_PRIMARY,
    Fault.LOCK_TIMEOUT: TARGET_BUSY,
    Fault.NO_TRANSACTION: UNKNOWN_TRANSACTION,
}


class BorrowedConnection:
    """A connection that one request or transaction uses.

    It returns to the pool if it ran no batch, or if the last batch on it ended with a
    reset that the target acknowledged; otherwise it is closed.
    """

    __slots__ = ("commit_sent", "connection", "reusable")

    def __init__(self, connection: TargetConnection) -> None:
        self.connection = connection
        self.reusable = True
        # Until a commit is sent, closing the connection rolls everything back.
        self.commit_sent = False

    async def run(self, batch: Batch, limit_ms: float) -> BatchReply:
        """Run a batch.

        Parameters
        ----------
        batch : Batch
            The statements to run.
        limit_ms : float
            Time-out for the answer in milliseconds.

        Returns
        -------
        BatchReply
            The target's answer.

        Raises
        ------
        NotSent
            If the batch was not sent.
        NoAnswer
            If the batch may have run.
        """
        self.reusable = False
        self.commit_sent = batch.end is End.COMMIT
        reply = await self.connection.run(batch, limit_ms)
        # The target itself resets the connection when a batch fails.
        self.reusable = batch.reset or reply.fault is not Fault.NONE
        return reply


class OwnedTarget:
    """A target that this host owns; admits requests to its slots and connections.

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
    max_connections : int
        Maximum number of connections that this host may hold; 0 for all that the
        target accepts except those reserved for control.
    """

    __slots__ = (
        "clock",
        "key_table_term",
        "last_lock_timeout_ms",
        "last_used_ms",
        "limits",
        "pool",
        "queue",
        "target",
        "writes_held",
    )

    def __init__(
        self,
        target: Target,
        driver: TargetDriver,
        limits: Limits,
        clock: Clock,
        max_connections: int = 0,
    ) -> None:
        self.target = target
        self.limits = limits
        self.clock = clock
        self.pool = ConnectionPool(target, driver, limits, clock, max_connections)
        self.queue = AdmissionQueue(target.slots, limits.queue_requests, clock)
        self.last_used_ms = clock.now_ms()
        # Whether writes are refused here while a switchover is in progress.
        self.writes_held = False
        # When the target last reported a lock time-out.
        self.last_lock_timeout_ms = float("-inf")
        # The last term in which the idempotency key table was known to exist.
        self.key_table_term = 0

    def start(self) -> None:
        """Start the connection pool."""
        self.pool.start()

    def close(self) -> None:
        """Close the connection pool."""
        self.pool.close()

    @asynccontextmanager
    async def slot(
        self, request: OwnerRequest, deadline_ms: float
    ) -> AsyncIterator[Result[None, Refusal]]:
        """Hold a slot while the block runs.

        Parameters
        ----------
        request : OwnerRequest
            Gives the team, its weight and the tier.
        deadline_ms : float
            When the answer must be ready, on this host's clock.

        Yields
        ------
        Result
            Ok if the slot was granted, else a refusal of class *not run*.
        """
        self.last_used_ms = self.clock.now_ms()
        granted = await self.queue.acquire(
            request.team, request.weight, request.tier, deadline_ms
        )
        if granted.is_err():
            yield Err(granted.unwrap_err())
            return
        try:
            yield Ok(None)
        finally:
            granted.unwrap().release()

    @contextmanager
    def pinned_slot(self) -> Iterator[None]:
        """Hold a slot for a statement of an open transaction, without waiting.

        Yields
        ------
        None
            Always; the statement may run.
        """
        self.last_used_ms = self.clock.now_ms()
        permit = self.queue.admit_pinned()
        try:
            yield
        finally:
            permit.release()

    @asynccontextmanager
    async def connection(
        self, deadline_ms: float
    ) -> AsyncIterator[Result[BorrowedConnection, Refusal]]:
        """Acquire a connection for the block, and release or close it afterwards.

        Parameters
        ----------
        deadline_ms : float
            When to stop waiting, on this host's clock.

        Yields
        ------
        Result
            The connection, or a refusal of class *not run*.
        """
        acquired = await self.pool.acquire(deadline_ms)
        if acquired.is_err():
            yield Err(acquired.unwrap_err())
            return
        borrowed = BorrowedConnection(acquired.unwrap())
        try:
            yield Ok(borrowed)
        finally:
            if borrowed.reusable and not borrowed.connection.closed:
                self.pool.release(borrowed.connection)
            else:
                self.pool.discard(borrowed.connection)


def attempt_limits_ms(
    remaining_ms: float, attempt_ms: float, answer_timeout_ms: float
) -> list[float]:
    """Divide the remaining time among the attempts of a repeatable request.

    Parameters
    ----------
    remaining_ms : float
        Time until the deadline, in milliseconds.
    attempt_ms : float
        Time-out of the first of two attempts, in milliseconds: a later answer is
        overdue, and its connection may be broken.
    answer_timeout_ms : float
        Longest wait for any answer, in milliseconds.

    Returns
    -------
    list of float
        A time-out for each attempt, up to `answer_timeout_ms`; empty if no time is
        left.  If the time does not suffice for two, the only attempt gets all of it,
        because an attempt that times out loses its connection.
    """
    if remaining_ms <= 0:
        return []
    if remaining_ms < 2 * attempt_ms:
        return [min(remaining_ms, answer_timeout_ms)]
    second_ms = min(remaining_ms - attempt_ms, answer_timeout_ms)
    return [min(attempt_ms, answer_timeout_ms), second_ms]


def fault_to_refusal(owned: OwnedTarget, reply: BatchReply) -> Refusal:
    """Translate a target's fault into a refusal, and record lock time-outs.

    Parameters
    ----------
    owned : OwnedTarget
        The target; records when a lock time-out occurred.
    reply : BatchReply
        An answer with a fault; the target has rolled back the transaction.

    Returns
    -------
    Refusal
        Of class *not run* or *run and failed*, never *outcome unknown*.
    """
    code = _CODE_OF_FAULT[reply.fault]
    retry_ms = 0
    if code is TARGET_BUSY:
        owned.last_lock_timeout_ms = owned.clock.now_ms()
        retry_ms = LOCK_RETRY_AFTER_MS
    return Refusal.of(code, reply.detail, retry_ms)
