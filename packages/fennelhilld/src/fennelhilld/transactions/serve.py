"""Serves open transactions at the host that owns the primary."""

from __future__ import annotations

import asyncio
import hashlib
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec
from fennelhill_core.clock import MS_PER_S, Clock, timeout_ms
from fennelhill_core.codes import (
    ANSWER_TIMEOUT,
    KEY_REUSED,
    NOT_PRIMARY,
    TARGET_UNREACHABLE,
    TRANSACTION_BUSY,
    UNKNOWN_TRANSACTION,
    Refusal,
)
from fennelhill_core.events import EventLog
from fennelhill_core.rpc import NoAnswer, NotSent
from fennelhill_core.settings import Limits
from fennelhill_core.tasks import Tasks
from result import Err, Ok, Result

from fennelhilld.peers.messages import Answer, OwnerRequest
from fennelhilld.pooling.owned_target import (
    BorrowedConnection,
    OwnedTarget,
    fault_to_refusal,
)
from fennelhilld.primary_monitor.monitor import GroupMonitor
from fennelhilld.targets.messages import Batch, BatchReply, Begin, End, Fault, Statement
from fennelhilld.writes import keys
from fennelhilld.writes.keys import DIGEST_BYTES
from fennelhilld.writes.serve import (
    TARGET_RETRY_AFTER_MS,
    acknowledge,
    confirm_key_refusal,
    ensure_key_table,
)

NONCE_LIMIT = 2**53  # exclusive; smaller integers are exact as JSON numbers
LIMIT_CHECK_INTERVAL_MS = 100.0
TARGET_IDLE_MARGIN_MS = 1_000.0


class OpenTransaction:
    """A transaction and the connection that is pinned to it.

    Parameters
    ----------
    nonce : int
        Identifies it on this host.
    team : str
        The customer team.
    owned : OwnedTarget
        The target, with this host's queue and pool for it.
    monitor : GroupMonitor
        Monitor of the target's group.
    connection : BorrowedConnection
        The pinned connection.
    term : int
        Term of the primary when the transaction began.
    began_ms : float
        When it began, on this host's clock.
    """

    __slots__ = (
        "began_ms",
        "busy",
        "connection",
        "digest",
        "ended",
        "last_used_ms",
        "monitor",
        "nonce",
        "owned",
        "team",
        "term",
    )

    def __init__(
        self,
        nonce: int,
        team: str,
        owned: OwnedTarget,
        monitor: GroupMonitor,
        connection: BorrowedConnection,
        term: int,
        began_ms: float,
    ) -> None:
        self.nonce = nonce
        self.team = team
        self.owned = owned
        self.monitor = monitor
        self.connection = connection
        self.term = term
        self.began_ms = began_ms
        self.last_used_ms = began_ms
        self.busy = False
        self.ended = asyncio.Event()
        # Distinguishes a repeat of the whole transaction from another use of its key.
        self.digest = hashlib.blake2b(digest_size=DIGEST_BYTES)


class TransactionTable:
    """The open transactions of this entry host.

    Each has a task that holds its connection until the transaction ends, so that no
    code path can lend the connection to another request before that.

    Parameters
    ----------
    limits : Limits
        Idle and total time limits.
    clock : Clock
        Source of time.
    random_state : random.Random
        Source of nonces.
    events : EventLog
        Records transactions that exceed a time limit.
    """

    __slots__ = (
        "_by_nonce",
        "_clock",
        "_events",
        "_limits",
        "_random",
        "_tasks",
        "expired_count",
    )

    def __init__(
        self,
        limits: Limits,
        clock: Clock,
        random_state: random.Random,
        events: EventLog,
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._random = random_state
        self._events = events
        self._by_nonce: dict[int, OpenTransaction] = {}
        self._tasks = Tasks()
        self.expired_count = 0

    @property
    def open_count(self) -> int:
        """Number of open transactions."""
        return len(self._by_nonce)

    def count_on_target(self, owned: OwnedTarget) -> int:
        """Count the open transactions at a target.

        Parameters
        ----------
        owned : OwnedTarget
            The target, with this host's queue and pool for it.

        Returns
        -------
        int
            Number of open transactions.
        """
        return sum(
            1 for transaction in self._by_nonce.values() if transaction.owned is owned
        )

    async def begin(
        self, owned: OwnedTarget, monitor: GroupMonitor, request: OwnerRequest
    ) -> Result[Answer, Refusal]:
        """Open a transaction on a connection of its own.

        Parameters
        ----------
        owned : OwnedTarget
            The target, with this host's queue and pool for it.
        monitor : GroupMonitor
            Monitor of the target's group.
        request : OwnerRequest
            The request, with team, weight and tier.

        Returns
        -------
        Result
            An answer with the transaction's nonce, or a refusal.
        """
        deadline_ms = self._clock.now_ms() + request.remaining_ms
        primary = monitor.primary()
        if primary is None or primary.target.id != owned.target.id:
            return Err(Refusal.of(NOT_PRIMARY, f"{owned.target.id} does not lead"))
        opened: asyncio.Future = asyncio.get_running_loop().create_future()
        term = primary.status.term
        self._tasks.spawn(
            self._hold_connection(owned, monitor, request, term, deadline_ms, opened)
        )
        return await asyncio.shield(opened)

    async def run_statement(self, request: OwnerRequest) -> Result[Answer, Refusal]:
        """Run a statement in an open transaction.

        Parameters
        ----------
        request : OwnerRequest
            The statement and the transaction's nonce.

        Returns
        -------
        Result
            The answer, or a refusal.  After any refusal other than
            `TRANSACTION_BUSY` the team has no open transaction with this nonce.
        """
        deadline_ms = self._clock.now_ms() + request.remaining_ms
        lookup = self._find(request)
        if lookup.is_err():
            return lookup
        transaction = lookup.unwrap()
        batch = Batch([Statement(request.sql, request.params)], transaction.term)
        batch.max_rows = self._limits.answer_rows
        async with self._exclusive(transaction):
            result = await self._run_in_pinned_slot(transaction, batch, deadline_ms)
        if result.is_err():
            return result
        transaction.digest.update(msgspec.json.encode([request.sql, request.params]))
        rows = result.unwrap().results[0]
        return Ok(Answer(rows.columns, rows.rows, rows.changed))

    async def commit(self, request: OwnerRequest) -> Result[Answer, Refusal]:
        """Commit; the idempotency key, if any, is stored in the same transaction.

        Parameters
        ----------
        request : OwnerRequest
            The transaction's nonce, the key and the acknowledgement to wait for.

        Returns
        -------
        Result
            An answer with the position, or a refusal.
        """
        deadline_ms = self._clock.now_ms() + request.remaining_ms
        lookup = self._find(request)
        if lookup.is_err():
            return lookup
        transaction = lookup.unwrap()
        async with self._exclusive(transaction):
            result = await self._commit(transaction, request, deadline_ms)
            transaction.ended.set()
        if result.is_err():
            return result
        return await acknowledge(
            transaction.owned,
            transaction.monitor,
            request,
            result.unwrap(),
            deadline_ms,
        )

    async def rollback(self, request: OwnerRequest) -> Result[Answer, Refusal]:
        """Roll back a transaction.

        Parameters
        ----------
        request : OwnerRequest
            The transaction's nonce.

        Returns
        -------
        Result
            An empty answer, or a refusal if the team has no open transaction with
            this nonce or another request of the transaction is running.
        """
        lookup = self._find(request)
        if lookup.is_err():
            return lookup
        transaction = lookup.unwrap()
        deadline_ms = self._clock.now_ms() + request.remaining_ms
        batch = Batch([], transaction.term, end=End.ROLLBACK, reset=True)
        async with self._exclusive(transaction):
            await self._run_in_pinned_slot(transaction, batch, deadline_ms)
            transaction.ended.set()
        # Nothing was committed, even if the rollback did not reach the target.
        return Ok(Answer())

    async def drain(self, limit_ms: float) -> int:
        """Wait for open transactions to end, then end those that are left.

        Parameters
        ----------
        limit_ms : float
            Longest wait in milliseconds.

        Returns
        -------
        int
            Number of transactions that had to be ended.
        """
        await self._tasks.wait(limit_ms / MS_PER_S)
        remaining_count = len(self._by_nonce)
        for transaction in list(self._by_nonce.values()):
            transaction.ended.set()
        await self._tasks.wait()
        return remaining_count

    def _find(self, request: OwnerRequest) -> Result[OpenTransaction, Refusal]:
        transaction = self._by_nonce.get(request.transaction)
        if transaction is None or transaction.team != request.team:
            return Err(Refusal.of(UNKNOWN_TRANSACTION))
        if transaction.ended.is_set():
            return Err(Refusal.of(UNKNOWN_TRANSACTION))
        if transaction.busy:
            return Err(Refusal.of(TRANSACTION_BUSY))
        return Ok(transaction)

    @asynccontextmanager
    async def _exclusive(self, transaction: OpenTransaction) -> AsyncIterator[None]:
        transaction.busy = True
        try:
            yield
        except BaseException:
            # A request that was cancelled leaves the connection in an unknown state.
            transaction.ended.set()
            raise
        finally:
            transaction.busy = False
            transaction.last_used_ms = self._clock.now_ms()

    async def _run_in_pinned_slot(
        self, transaction: OpenTransaction, batch: Batch, deadline_ms: float
    ) -> Result[BatchReply, Refusal]:
        """Run a batch without queueing, since the transaction may hold locks."""
        with transaction.owned.pinned_slot():
            return await self._run_on_connection(transaction, batch, deadline_ms)

    async def _run_on_connection(
        self, transaction: OpenTransaction, batch: Batch, deadline_ms: float
    ) -> Result[BatchReply, Refusal]:
        """Run a batch on the pinned connection.

        Any failure other than `Fault.REQUIREMENT` ends the transaction.
        """
        limit_ms = deadline_ms - self._clock.now_ms()
        limit_ms = min(limit_ms, self._limits.answer_timeout_ms)
        # The target's idle limit is longer than the proxy's, so that the proxy's takes
        # effect and is reported.
        batch.idle_ms = self._limits.transaction_idle_ms + TARGET_IDLE_MARGIN_MS
        try:
            reply = await transaction.connection.run(batch, limit_ms)
        except (NoAnswer, NotSent) as error:
            transaction.ended.set()
            transaction.owned.pool.record_silent_connection()
            may_have_committed = transaction.connection.commit_sent and isinstance(
                error, NoAnswer
            )
            code = ANSWER_TIMEOUT if may_have_committed else TARGET_UNREACHABLE
            return Err(Refusal.of(code, str(error), TARGET_RETRY_AFTER_MS))
        if reply.fault in (Fault.NONE, Fault.REQUIREMENT):
            return Ok(reply)
        transaction.ended.set()
        return Err(fault_to_refusal(transaction.owned, reply))

    async def _commit(
        self, transaction: OpenTransaction, request: OwnerRequest, deadline_ms: float
    ) -> Result[Answer, Refusal]:
        batch = Batch([], transaction.term, end=End.COMMIT, reset=True)
        request.digest = transaction.digest.hexdigest()
        if request.key:
            stored = msgspec.json.encode(keys.StoredAnswer()).decode()
            wall_ms = self._clock.wall_ms()
            reservation = keys.reserve(
                request.team, request.key, request.digest, wall_ms, stored
            )
            batch.statements = [reservation]
        result = await self._run_in_pinned_slot(transaction, batch, deadline_ms)
        if result.is_err():
            return Err(result.unwrap_err())
        reply = result.unwrap()
        if reply.fault is Fault.REQUIREMENT:
            return await self._replay_commit(transaction, request, deadline_ms)
        return Ok(Answer(position=reply.position))

    async def _replay_commit(
        self, transaction: OpenTransaction, request: OwnerRequest, deadline_ms: float
    ) -> Result[Answer, Refusal]:
        """Return the stored answer to a commit that was rolled back as a repeat."""
        batch = Batch([keys.look_up(request.team, request.key)], transaction.term)
        batch.begin, batch.end, batch.reset = Begin.READ, End.COMMIT, True
        result = await self._run_in_pinned_slot(transaction, batch, deadline_ms)
        if result.is_err():
            return Err(result.unwrap_err())
        reply = result.unwrap()
        stored = keys.answer_from(reply.results[0], request.digest)
        if stored is None:
            return Err(
                Refusal.of(
                    KEY_REUSED, "the key is no longer in use; run the transaction again"
                )
            )
        if stored.is_ok():
            stored.unwrap().position = reply.position
            return stored
        owned, monitor = transaction.owned, transaction.monitor
        return Err(
            await confirm_key_refusal(owned, monitor, stored.unwrap_err(), deadline_ms)
        )

    async def _hold_connection(
        self,
        owned: OwnedTarget,
        monitor: GroupMonitor,
        request: OwnerRequest,
        term: int,
        deadline_ms: float,
        opened: asyncio.Future,
    ) -> None:
        """Pin a connection until the transaction ends; set the result of `opened`."""
        async with owned.connection(deadline_ms) as acquired:
            if acquired.is_err():
                opened.set_result(Err(acquired.unwrap_err()))
                return
            nonce = self._random.randrange(1, NONCE_LIMIT)
            now_ms = self._clock.now_ms()
            transaction = OpenTransaction(
                nonce, request.team, owned, monitor, acquired.unwrap(), term, now_ms
            )
            refusal = await self._begin_at_target(transaction, request, deadline_ms)
            if refusal is not None:
                opened.set_result(Err(refusal))
                return
            self._by_nonce[nonce] = transaction
            opened.set_result(Ok(Answer(transaction=nonce)))
            try:
                await self._wait_for_end(transaction)
            finally:
                del self._by_nonce[nonce]

    async def _begin_at_target(
        self, transaction: OpenTransaction, request: OwnerRequest, deadline_ms: float
    ) -> Refusal | None:
        limit_ms = deadline_ms - self._clock.now_ms()
        try:
            refusal = await ensure_key_table(
                transaction.connection, transaction.owned, transaction.term, limit_ms
            )
        except (NoAnswer, NotSent) as error:
            return Refusal.of(TARGET_UNREACHABLE, str(error), TARGET_RETRY_AFTER_MS)
        if refusal is not None:
            return refusal
        batch = Batch([], transaction.term, Begin.WRITE)
        # The transaction holds no locks yet, so it queues like any other request.
        async with transaction.owned.slot(request, deadline_ms) as granted:
            if granted.is_err():
                return granted.unwrap_err()
            result = await self._run_on_connection(transaction, batch, deadline_ms)
        return result.unwrap_err() if result.is_err() else None

    async def _wait_for_end(self, transaction: OpenTransaction) -> None:
        """Wait until the transaction ends or exceeds one of its time limits."""
        while not transaction.ended.is_set():
            now_ms = self._clock.now_ms()
            total_deadline_ms = transaction.began_ms + self._limits.transaction_total_ms
            idle_deadline_ms = self._idle_deadline_ms(transaction, now_ms)
            if now_ms >= min(total_deadline_ms, idle_deadline_ms):
                self.expired_count += 1
                self._events.record(
                    "transactions.expired",
                    transaction.monitor.name,
                    transaction.term,
                    team=transaction.team,
                )
                # The last batch on the connection did not reset it, so the pool closes
                # it and the target rolls back.
                transaction.ended.set()
                return
            try:
                wait_ms = min(
                    min(total_deadline_ms, idle_deadline_ms) - now_ms,
                    LIMIT_CHECK_INTERVAL_MS,
                )
                async with timeout_ms(wait_ms):
                    await transaction.ended.wait()
            except TimeoutError:
                continue

    def _idle_deadline_ms(self, transaction: OpenTransaction, now_ms: float) -> float:
        """Return the time at which a transaction without a new statement is ended.

        The limit is shorter if another request has timed out on a lock at the target
        since this transaction began: the caller may be unable to reach this host,
        and the transaction's locks would block all others.
        """
        limits = self._limits
        if transaction.busy:
            return now_ms + limits.transaction_idle_ms
        if transaction.owned.last_lock_timeout_ms > transaction.began_ms:
            return transaction.last_used_ms + limits.transaction_contended_idle_ms
        return transaction.last_used_ms + limits.transaction_idle_ms
