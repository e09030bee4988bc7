"""Serves writes and outcome queries at the host that owns the primary."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial

from fennelhill_core.clock import Clock
from fennelhill_core.codes import (
    ANSWER_TIMEOUT,
    CONNECTION_LOST,
    KEY_CANCELLED,
    KEY_REUSED,
    NOT_PRIMARY,
    TARGET_BUSY,
    TARGET_UNREACHABLE,
    UNCONFIRMED,
    Refusal,
)
from fennelhill_core.rpc import NoAnswer, NotSent
from fennelhill_core.settings import Acknowledgement
from fennelhill_core.tokens import Position
from result import Err, Ok, Result

from fennelhilld.peers.messages import Answer, OwnerRequest
from fennelhilld.pooling.owned_target import (
    BorrowedConnection,
    OwnedTarget,
    attempt_limits_ms,
    fault_to_refusal,
)
from fennelhilld.primary_monitor.monitor import GroupMonitor
from fennelhilld.targets.messages import Batch, BatchReply, Begin, End, Fault, Statement
from fennelhilld.writes import keys

# Time-out of the first of two attempts, as a multiple of the mean service time.
ATTEMPT_SERVICE_TIMES = 12.0
MIN_ATTEMPT_MS = 150.0
# Suggested retry delays.
TARGET_RETRY_AFTER_MS = 200  # the target gave no answer or ended the transaction
UNCONFIRMED_RETRY_AFTER_MS = 500  # the commit was not confirmed in time
RELEASED_KEY_RETRY_AFTER_MS = 20  # the request that used the key was rolled back

ConnectionOperation = Callable[
    [BorrowedConnection, OwnedTarget, OwnerRequest, int, float],
    Awaitable[Result[Answer, Refusal]],
]

_KEY_REFUSAL_CODES = {KEY_CANCELLED.number, KEY_REUSED.number}


async def serve_write(
    owned: OwnedTarget, monitor: GroupMonitor, request: OwnerRequest
) -> Result[Answer, Refusal]:
    """Run a write and hold its answer back until it is confirmed.

    With an idempotency key it runs at most once; without one a retry may repeat it.

    Parameters
    ----------
    owned : OwnedTarget
        The target, with this host's queue and pool for it.
    monitor : GroupMonitor
        Monitor of the target's group.
    request : OwnerRequest
        The write.

    Returns
    -------
    Result
        The answer, or a refusal, whose code says whether the write may have run.
    """
    return await _run_at_primary(owned, monitor, request, _write_once)


async def serve_outcome(
    owned: OwnedTarget, monitor: GroupMonitor, request: OwnerRequest
) -> Result[Answer, Refusal]:
    """Determine the outcome of the request with a key.

    A key that is not in use is cancelled here, so that its request can't run later
    and the answer stays true.

    Parameters
    ----------
    owned : OwnedTarget
        The target, with this host's queue and pool for it.
    monitor : GroupMonitor
        Monitor of the target's group.
    request : OwnerRequest
        The outcome query, with team and key.

    Returns
    -------
    Result
        The stored answer, an answer that says ``cancelled``, or a refusal.
    """
    return await _run_at_primary(owned, monitor, request, _resolve_outcome)


async def _run_at_primary(
    owned: OwnedTarget,
    monitor: GroupMonitor,
    request: OwnerRequest,
    operation: ConnectionOperation,
) -> Result[Answer, Refusal]:
    deadline_ms = owned.clock.now_ms() + request.remaining_ms
    primary = monitor.primary()
    if primary is None or primary.target.id != owned.target.id:
        return Err(Refusal.of(NOT_PRIMARY, f"{owned.target.id} does not lead"))
    term = primary.status.term
    async with owned.slot(request, deadline_ms) as granted:
        if granted.is_err():
            return Err(granted.unwrap_err())
        result = await _run_with_retry(owned, request, term, deadline_ms, operation)
    if result.is_err():
        if result.unwrap_err().code in _KEY_REFUSAL_CODES:
            return Err(
                await confirm_key_refusal(
                    owned, monitor, result.unwrap_err(), deadline_ms
                )
            )
        return result
    return await acknowledge(owned, monitor, request, result.unwrap(), deadline_ms)


async def confirm_key_refusal(
    owned: OwnedTarget, monitor: GroupMonitor, refusal: Refusal, deadline_ms: float
) -> Refusal:
    """Return a refusal read from a key's row once no failover can revert the row.

    Parameters
    ----------
    owned : OwnedTarget
        The target, with this host's queue and pool for it.
    monitor : GroupMonitor
        Monitor of the target's group.
    refusal : Refusal
        `KEY_REUSED` or `KEY_CANCELLED`, as read from the key's row at the primary.
    deadline_ms : float
        When the answer must be ready, on this host's clock.

    Returns
    -------
    Refusal
        The same refusal, or `UNCONFIRMED` if the key's row may exist at this target
        alone.
    """
    control = monitor.members[owned.target.id].control
    limit_ms = deadline_ms - owned.clock.now_ms()
    if control is not None and limit_ms > 0:
        try:
            status = await control.status(limit_ms)
        except (NoAnswer, NotSent):
            return Refusal.of(UNCONFIRMED, refusal.detail, UNCONFIRMED_RETRY_AFTER_MS)
        limit_ms = deadline_ms - owned.clock.now_ms()
        if await monitor.confirm_write(owned.target.id, status.position, limit_ms):
            return refusal
    return Refusal.of(UNCONFIRMED, refusal.detail, UNCONFIRMED_RETRY_AFTER_MS)


async def acknowledge(
    owned: OwnedTarget,
    monitor: GroupMonitor,
    request: OwnerRequest,
    answer: Answer,
    deadline_ms: float,
) -> Result[Answer, Refusal]:
    """Hold back the answer of a committed write until the write is confirmed.

    A write with `Acknowledgement.PRIMARY` is answered at once.

    Parameters
    ----------
    owned : OwnedTarget
        The target, with this host's queue and pool for it.
    monitor : GroupMonitor
        Monitor of the target's group.
    request : OwnerRequest
        The write.
    answer : Answer
        Its answer, with the position of the commit.
    deadline_ms : float
        When the answer must be ready, on this host's clock.

    Returns
    -------
    Result
        The answer, or `UNCONFIRMED`.
    """
    if request.ack is Acknowledgement.PRIMARY:
        return Ok(answer)
    limit_ms = deadline_ms - owned.clock.now_ms()
    if await monitor.confirm_write(owned.target.id, answer.position, limit_ms):
        return Ok(answer)
    detail = f"log entry {answer.position.index} of term {answer.position.term}"
    return Err(Refusal.of(UNCONFIRMED, detail, UNCONFIRMED_RETRY_AFTER_MS))


async def _run_with_retry(
    owned: OwnedTarget,
    request: OwnerRequest,
    term: int,
    deadline_ms: float,
    operation: ConnectionOperation,
) -> Result[Answer, Refusal]:
    """Run at the primary, with one retry if the answer is lost.

    The idempotency key makes the retry safe; a request without one is idempotent by
    its settings.  Until the commit is sent, a lost connection rolls everything back.
    """
    may_have_committed = False
    detail = "no time is left for the write"
    remaining_ms = deadline_ms - owned.clock.now_ms()
    attempt_ms = max(MIN_ATTEMPT_MS, ATTEMPT_SERVICE_TIMES * owned.queue.service_ms)
    for limit_ms in attempt_limits_ms(
        remaining_ms, attempt_ms, owned.limits.answer_timeout_ms
    ):
        async with owned.connection(deadline_ms) as acquired:
            if acquired.is_err():
                return Err(
                    _allow_for_earlier_commit(may_have_committed, acquired.unwrap_err())
                )
            connection = acquired.unwrap()
            try:
                result = await operation(connection, owned, request, term, limit_ms)
                return result.map_err(
                    partial(_allow_for_earlier_commit, may_have_committed)
                )
            except (NoAnswer, NotSent) as error:
                # The other connections in the pool may be broken too, so they are
                # checked; the target is not suspected.
                owned.pool.record_silent_connection()
                may_have_committed |= connection.commit_sent and isinstance(
                    error, NoAnswer
                )
                detail = str(error)
    code = ANSWER_TIMEOUT if may_have_committed else TARGET_UNREACHABLE
    return Err(Refusal.of(code, detail, TARGET_RETRY_AFTER_MS))


def _allow_for_earlier_commit(may_have_committed: bool, refusal: Refusal) -> Refusal:
    """Turn *not run* into *outcome unknown* if an earlier attempt may have committed.

    The refusal of the second attempt says nothing about the first, unless it was read
    from the key's row.
    """
    if (
        not may_have_committed
        or not refusal.not_run
        or refusal.code in _KEY_REFUSAL_CODES
    ):
        return refusal
    return Refusal.of(CONNECTION_LOST, refusal.detail, refusal.retry_after_ms)


async def _write_once(
    connection: BorrowedConnection,
    owned: OwnedTarget,
    request: OwnerRequest,
    term: int,
    limit_ms: float,
) -> Result[Answer, Refusal]:
    statement = Statement(request.sql, request.params)
    if not request.key:
        batch = _write_batch(owned, term, [statement])
        reply = await connection.run(batch, limit_ms)
        return _answer_from_reply(owned, reply)
    started_ms = owned.clock.now_ms()
    refusal = await ensure_key_table(connection, owned, term, limit_ms)
    if refusal is not None:
        return Err(refusal)
    reservation = keys.reserve(
        request.team, request.key, request.digest, owned.clock.wall_ms(), keys.PENDING
    )
    reserve_batch = _write_batch(owned, term, [reservation, statement])
    reserve_batch.end, reserve_batch.reset = End.NONE, False
    reply = await connection.run(reserve_batch, limit_ms)
    if reply.fault is Fault.REQUIREMENT:
        return await replay_stored_answer(connection, owned, request, term, limit_ms)
    if reply.fault is not Fault.NONE:
        return Err(fault_to_refusal(owned, reply))
    stored = keys.StoredAnswer.from_rows(reply.results[1])
    commit_batch = Batch([keys.store_answer(request.team, request.key, stored)], term)
    commit_batch.end, commit_batch.reset = End.COMMIT, True
    remaining_ms = limit_ms - (owned.clock.now_ms() - started_ms)
    commit_reply = await connection.run(commit_batch, remaining_ms)
    if commit_reply.fault is Fault.NO_TRANSACTION:
        # This process was delayed for longer than the target keeps an idle transaction.
        detail = "the target ended the transaction"
        return Err(Refusal.of(TARGET_BUSY, detail, TARGET_RETRY_AFTER_MS))
    if commit_reply.fault is not Fault.NONE:
        return Err(fault_to_refusal(owned, commit_reply))
    return Ok(
        Answer(stored.columns, stored.rows, stored.changed, commit_reply.position)
    )


async def replay_stored_answer(
    connection: BorrowedConnection,
    owned: OwnedTarget,
    request: OwnerRequest,
    term: int,
    limit_ms: float,
) -> Result[Answer, Refusal]:
    """Return the answer that an earlier request with the same key stored.

    Parameters
    ----------
    connection : BorrowedConnection
        The borrowed connection to the primary.
    owned : OwnedTarget
        The target, with this host's queue and pool for it.
    request : OwnerRequest
        The request.
    term : int
        The primary's term.
    limit_ms : float
        Time-out for the answer in milliseconds.

    Returns
    -------
    Result
        The stored answer, or a refusal if there is none for this request.  The
        position of the answer is the end of the log as read: to confirm it also
        confirms the earlier request's commit.
    """
    batch = Batch(
        [keys.look_up(request.team, request.key)], term, Begin.READ, End.COMMIT
    )
    batch.reset = True
    reply = await connection.run(batch, limit_ms)
    if reply.fault is not Fault.NONE:
        return Err(fault_to_refusal(owned, reply))
    stored = keys.answer_from(reply.results[0], request.digest)
    if stored is None:
        # The earlier request was rolled back between the two batches.
        return Err(
            Refusal.of(
                TARGET_BUSY,
                "the key is no longer in use; try again",
                RELEASED_KEY_RETRY_AFTER_MS,
            )
        )
    return stored.map(lambda answer: _with_position(answer, reply.position))


async def _resolve_outcome(
    connection: BorrowedConnection,
    owned: OwnedTarget,
    request: OwnerRequest,
    term: int,
    limit_ms: float,
) -> Result[Answer, Refusal]:
    refusal = await ensure_key_table(connection, owned, term, limit_ms)
    if refusal is not None:
        return Err(refusal)
    cancel = keys.cancel(request.team, request.key, owned.clock.wall_ms())
    look_up = keys.look_up(request.team, request.key)
    reply = await connection.run(_write_batch(owned, term, [cancel, look_up]), limit_ms)
    if reply.fault is not Fault.NONE:
        return Err(fault_to_refusal(owned, reply))
    stored = keys.answer_from(reply.results[1], None)
    if stored is not None and stored.is_ok():
        return stored.map(lambda answer: _with_position(answer, reply.position))
    return Ok(Answer(position=reply.position, cancelled=True))


async def ensure_key_table(
    connection: BorrowedConnection, owned: OwnedTarget, term: int, limit_ms: float
) -> Refusal | None:
    """Create the table of idempotency keys, once for each term.

    Parameters
    ----------
    connection : BorrowedConnection
        The borrowed connection to the primary.
    owned : OwnedTarget
        The target, with this host's queue and pool for it.
    term : int
        The primary's term.
    limit_ms : float
        Time-out for the answer in milliseconds.

    Returns
    -------
    Refusal or None
        Why the table could not be created; None if it exists.
    """
    if owned.key_table_term == term:
        return None
    statements = [Statement(keys.CREATE_TABLE), Statement(keys.CREATE_INDEX)]
    reply = await connection.run(_write_batch(owned, term, statements), limit_ms)
    connection.commit_sent = False
    if reply.fault is not Fault.NONE:
        return fault_to_refusal(owned, reply)
    owned.key_table_term = term
    return None


def _write_batch(owned: OwnedTarget, term: int, statements: list[Statement]) -> Batch:
    return Batch(
        statements,
        term,
        Begin.WRITE,
        End.COMMIT,
        reset=True,
        max_rows=owned.limits.answer_rows,
    )


def _answer_from_reply(
    owned: OwnedTarget, reply: BatchReply
) -> Result[Answer, Refusal]:
    if reply.fault is not Fault.NONE:
        return Err(fault_to_refusal(owned, reply))
    rows = reply.results[0]
    return Ok(Answer(rows.columns, rows.rows, rows.changed, reply.position))


def _with_position(answer: Answer, position: Position) -> Answer:
    answer.position = position
    return answer


async def delete_expired_keys(
    owned: OwnedTarget, monitor: GroupMonitor, clock: Clock
) -> int | None:
    """Delete keys that are past their retention, a bounded number at a time.

    Parameters
    ----------
    owned : OwnedTarget
        The primary, with this host's queue and pool for it.
    monitor : GroupMonitor
        Monitor of the target's group.
    clock : Clock
        Source of the wall-clock time.

    Returns
    -------
    int or None
        Number of deleted keys; None if the target is not the primary or the
        deletion failed.
    """
    primary = monitor.primary()
    if primary is None or primary.target.id != owned.target.id:
        return None
    before_ms = clock.wall_ms() - int(owned.limits.key_retention_ms)
    batch = _write_batch(
        owned, primary.status.term, [keys.delete_older_than(before_ms)]
    )
    limit_ms = owned.limits.answer_timeout_ms
    try:
        async with owned.connection(owned.clock.now_ms() + limit_ms) as acquired:
            if acquired.is_err():
                return None
            reply = await acquired.unwrap().run(batch, limit_ms)
    except (NoAnswer, NotSent):
        return None
    return reply.results[0].changed if reply.fault is Fault.NONE else None
