"""Serves reads at the host that owns the target."""

from __future__ import annotations

from fennelhill_core.codes import (
    ANSWER_TIMEOUT,
    DEADLINE_PASSED,
    NOT_PRIMARY,
    REPLICA_BEHIND,
    UNCONFIRMED_TERM,
    Refusal,
)
from fennelhill_core.rpc import NoAnswer, NotSent
from fennelhill_core.tokens import Position
from result import Err, Ok, Result

from fennelhilld.peers.messages import Answer, OwnerRequest
from fennelhilld.pooling.owned_target import (
    OwnedTarget,
    attempt_limits_ms,
    fault_to_refusal,
)
from fennelhilld.primary_monitor.monitor import GroupMonitor
from fennelhilld.primary_monitor.samples import covers
from fennelhilld.targets.messages import Batch, BatchReply, Begin, End, Fault, Statement

MIN_ATTEMPT_MS = 40.0
# Time-out of the first of two attempts, as a multiple of the mean service time.
ATTEMPT_SERVICE_TIMES = 8.0
# Suggested retry delay if the primary could not prove that it still leads.
UNCONFIRMED_TERM_RETRY_AFTER_MS = 200


async def serve_read(
    owned: OwnedTarget, monitor: GroupMonitor, request: OwnerRequest
) -> Result[Answer, Refusal]:
    """Serve a read if this target is as fresh as the read and its session require.

    Parameters
    ----------
    owned : OwnedTarget
        The target, with this host's queue and pool for it.
    monitor : GroupMonitor
        Monitor of the target's group.
    request : OwnerRequest
        The read.

    Returns
    -------
    Result
        The answer, or a refusal.  `REPLICA_BEHIND` and `NOT_PRIMARY` tell the
        entry host to ask another target.
    """
    deadline_ms = owned.clock.now_ms() + request.remaining_ms
    primary = monitor.primary()
    at_primary = primary is not None and primary.target.id == owned.target.id
    # The target refuses an outdated term.  Without the term, a replaced primary that
    # already follows its successor would answer with data behind the successor's.
    term = primary.status.term if at_primary else 0
    if not at_primary:
        refusal = await _wait_for_replica(owned, monitor, request, deadline_ms)
        if refusal is not None:
            return Err(refusal)
    async with owned.slot(request, deadline_ms) as granted:
        if granted.is_err():
            return Err(granted.unwrap_err())
        result = await _run_with_retry(owned, request, term, deadline_ms)
    if result.is_err():
        return Err(result.unwrap_err())
    reply = result.unwrap()
    if reply.fault is not Fault.NONE:
        return Err(fault_to_refusal(owned, reply))
    monitor.record_read_position(owned.target.id, reply.position)
    refusal = await _check_after_read(
        monitor, request, reply, at_primary, deadline_ms, owned
    )
    if refusal is not None:
        return Err(refusal)
    rows = reply.results[0]
    return Ok(Answer(rows.columns, rows.rows, rows.changed, replica=not at_primary))


async def _wait_for_replica(
    owned: OwnedTarget, monitor: GroupMonitor, request: OwnerRequest, deadline_ms: float
) -> Refusal | None:
    """Wait for a replica to catch up, if that is expected in time.

    Returns why the replica can't serve the read; None if it is fresh enough.
    """
    if not request.allowed_age_ms:
        return Refusal.of(NOT_PRIMARY, f"{owned.target.id} is a replica")
    target = owned.target.id
    if monitor.members[target].status.leaving:
        return Refusal.of(REPLICA_BEHIND, f"{target} is leaving")
    position = monitor.members[target].status.position
    if not covers(position, request.need):
        max_wait_ms = owned.limits.replica_wait_ms
        max_wait_ms = min(max_wait_ms, (deadline_ms - owned.clock.now_ms()) / 2)
        if _expected_wait_ms(owned, monitor, request.need) > max_wait_ms:
            return Refusal.of(REPLICA_BEHIND, f"{target} is at index {position.index}")
        if not await monitor.wait_for_position(target, request.need, max_wait_ms):
            return Refusal.of(REPLICA_BEHIND, f"{target} is at index {position.index}")
    age_ms = monitor.age_ms(target)
    if not 0 <= age_ms <= request.allowed_age_ms:
        return Refusal.of(
            REPLICA_BEHIND, f"{target}: confirmed data age {age_ms:.0f} ms"
        )
    return None


def _expected_wait_ms(
    owned: OwnedTarget, monitor: GroupMonitor, need: Position
) -> float:
    """Estimate the time until the replica holds a position, from its lag."""
    # The lag is known only to within one sample interval; assume the shortest.
    lag_ms = monitor.members[owned.target.id].lag_ms - owned.limits.sample_ms
    lag_ms = max(0.0, lag_ms)
    sample = monitor.samples.oldest_covering(need)
    # A position that no sample has reached yet was written after the newest one.
    if sample is None:
        return lag_ms
    return lag_ms - (owned.clock.now_ms() - sample.at_ms)


async def _run_with_retry(
    owned: OwnedTarget, request: OwnerRequest, term: int, deadline_ms: float
) -> Result[BatchReply, Refusal]:
    """Run a read, with one retry on another connection if the first goes silent."""
    statement = Statement(request.sql, request.params)
    batch = Batch(
        [statement],
        term,
        begin=Begin.READ,
        end=End.COMMIT,
        reset=True,
        max_rows=owned.limits.answer_rows,
    )
    remaining_ms = deadline_ms - owned.clock.now_ms()
    attempt_ms = max(MIN_ATTEMPT_MS, ATTEMPT_SERVICE_TIMES * owned.queue.service_ms)
    refusal = Refusal.of(DEADLINE_PASSED, "no time is left for the read")
    for limit_ms in attempt_limits_ms(
        remaining_ms, attempt_ms, owned.limits.answer_timeout_ms
    ):
        try:
            async with owned.connection(deadline_ms) as acquired:
                if acquired.is_err():
                    return Err(acquired.unwrap_err())
                return Ok(await acquired.unwrap().run(batch, limit_ms))
        except (NoAnswer, NotSent) as error:
            # The other connections in the pool may be broken too, so they are checked;
            # the target is not suspected.
            owned.pool.record_silent_connection()
            refusal = Refusal.of(ANSWER_TIMEOUT, str(error))
    return Err(refusal)


async def _check_after_read(
    monitor: GroupMonitor,
    request: OwnerRequest,
    reply: BatchReply,
    at_primary: bool,
    deadline_ms: float,
    owned: OwnedTarget,
) -> Refusal | None:
    """Return a refusal unless the data that the read saw are proven fresh enough."""
    if not covers(reply.position, request.need):
        return Refusal.of(REPLICA_BEHIND, f"the read saw index {reply.position.index}")
    if request.allowed_age_ms:
        age_ms = monitor.position_age_ms(reply.position)
        if 0 <= age_ms <= request.allowed_age_ms:
            return None
        if not at_primary:
            return Refusal.of(REPLICA_BEHIND, f"confirmed data age {age_ms:.0f} ms")
    # A primary cut off by a network partition can't notice that it was replaced.
    limit_ms = deadline_ms - owned.clock.now_ms()
    if await monitor.confirm_term(reply.position.term, limit_ms):
        return None
    return Refusal.of(
        UNCONFIRMED_TERM, f"term {reply.position.term}", UNCONFIRMED_TERM_RETRY_AFTER_MS
    )
