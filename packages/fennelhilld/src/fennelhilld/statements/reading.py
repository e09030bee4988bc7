"""A read outside a transaction, with retries on other targets."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from fennelhill_core import codes

from fennelhilld.catalog.state import Database, ReadKind
from fennelhilld.freshness.positions import MinimumPosition
from fennelhilld.links.lease import Exchange, Lease
from fennelhilld.links.messages import (
    Command,
    CommandKind,
    LinkLostError,
    NoLinkError,
    TargetAnswer,
    TargetFault,
)
from fennelhilld.links.state import PreparedShape
from fennelhilld.placement.state import TargetState
from fennelhilld.quotas.operation import OperationPermit, OverQuotaError
from fennelhilld.statements.environment import (
    BUSY_RETRY_DELAY_MS,
    LEADER_RECHECK_MS,
    READ_LINK_WAIT_MS,
    describe_fault,
)
from fennelhilld.statements.messages import Reply, Statement

if TYPE_CHECKING:
    from fennelhilld.statements.execution import StatementRunner

# Time-out of a read at one target before it is sent to another: a statement takes
# up to 170 ms (300 ms at the second user's site), and a full queue 150 ms.
READ_ATTEMPT_TIMEOUT_MS = 450.0
# A read with less time left is not sent: its answer would miss the deadline, and
# the link would have to be closed.  A statement takes 22 ms on average (40 ms at the
# second user's site).
MIN_READ_TIME_MS = 40.0
# A read fails after this many attempts, each on a leased link.
MAX_READ_ATTEMPTS = 6


class ReadOperation:
    """Runs one read on a target that has applied enough of the log.

    The first round waits at most `READ_LINK_WAIT_MS` for a link to each target.  If
    none becomes free, the next round waits until the deadline for a link to the best
    target, unless the wait is expected to be longer.

    Parameters
    ----------
    runner : StatementRunner
        The runner of the session.
    database : Database
        The database.
    statement : Statement
        The read.
    shape : PreparedShape or None
        The prepared statement that it executes, if any.
    """

    __slots__ = (
        "_attempts",
        "_database",
        "_deadline_ms",
        "_env",
        "_group",
        "_may_have_run",
        "_min_expected_wait_ms",
        "_permit",
        "_runner",
        "_shape",
        "_started_ms",
        "_statement",
        "_tried",
        "_wait_until_deadline",
    )

    def __init__(
        self,
        runner: StatementRunner,
        database: Database,
        statement: Statement,
        shape: PreparedShape | None,
    ) -> None:
        self._runner = runner
        self._env = runner.env
        self._database = database
        self._statement = statement
        self._shape = shape
        self._group = self._env.group(database.group)
        self._started_ms = self._env.clock.now_ms()
        self._deadline_ms = self._env.deadline_ms(database)
        self._tried: set[str] = set()
        self._attempts = 0
        self._wait_until_deadline = False
        self._permit = OperationPermit(self._env.quotas, runner.organisation)
        # Whether an answer was lost, so that "not run" would not be true.
        self._may_have_run = False
        # Shortest expected wait among the targets without a free link in this round.
        self._min_expected_wait_ms: float | None = None

    async def run(self) -> Reply:
        """Send the read to targets until one answers it.

        Returns
        -------
        Reply
            The answer, or a failure with its result code.
        """
        try:
            return await self._run()
        except OverQuotaError as error:
            if self._may_have_run:
                return self._failure_reply()
            return self._env.refuse_over_quota(
                self._statement,
                error.refusal,
                self._runner.organisation,
                self._group.name,
            )
        finally:
            self._permit.close()

    async def _run(self) -> Reply:
        env, group = self._env, self._group
        await env.prepare_read(group, self._database)
        while self._attempts < MAX_READ_ATTEMPTS:
            left_ms = self._left_ms()
            if left_ms < MIN_READ_TIME_MS:
                break
            target = self._runner.choose_reader(group, self._database, self._tried)
            minimum = self._runner.minimum_position(group, self._database)
            # A read that a replica may serve waits for one, not for the leader; also a
            # target that may have been replaced serves it, if it has applied enough.
            wait_ms = math.inf if minimum else left_ms - MIN_READ_TIME_MS
            waits_for_replica = minimum is not None and env.leader_drained(group)
            if (
                (target is None or minimum is None)
                and not waits_for_replica
                and env.leader_unavailable(group, wait_ms)
            ):
                return env.refuse_leader_unavailable(self._statement, group)
            if minimum is None and not await env.leader_usable(group, left_ms):
                continue
            if target is None:
                if self._wait_until_deadline and self._min_expected_wait_ms is not None:
                    break
                await self._start_round(left_ms)
                continue
            await self._permit.ensure()
            reply = await self._try_target(target, left_ms)
            if reply is not None:
                return reply
            if not self._permit.valid:
                # An owner may have waited for as long as the permit was valid.
                continue
            self._tried.add(target.entry.id)
        return self._failure_reply()

    def _left_ms(self) -> float:
        return self._deadline_ms - self._env.clock.now_ms()

    async def _start_round(self, left_ms: float) -> None:
        """Allow all targets again, after each has been tried.

        If none lacked a free link, this first waits for a change of the leader, for at
        most `LEADER_RECHECK_MS`.  Otherwise the new round waits for links.
        """
        self._tried.clear()
        if self._min_expected_wait_ms is None:
            limit_ms = min(left_ms, LEADER_RECHECK_MS)
            await self._group.leadership.wait_for_change(limit_ms)
        self._wait_until_deadline = self._min_expected_wait_ms is not None
        self._min_expected_wait_ms = None

    def _may_use_leader(self, target: TargetState) -> bool:
        env, group = self._env, self._group
        return group.leader() is target and env.access.may_begin(group)

    async def _try_target(self, target: TargetState, left_ms: float) -> Reply | None:
        """Send the read to a target; return None if another one must be tried."""
        limit_ms = (
            left_ms if self._wait_until_deadline else min(left_ms, READ_LINK_WAIT_MS)
        )
        request = self._env.queued_request(
            self._database, self._started_ms, limit_ms, self._runner.organisation
        )
        try:
            lease = await self._env.lease_link(target, self._runner.context, request)
        except NoLinkError as error:
            self._record_no_link(target, error)
            return None
        if lease is None:
            return None
        self._attempts += 1
        return await self._run_on(target, lease)

    def _record_no_link(self, target: TargetState, error: NoLinkError) -> None:
        target.avoid(self._env.clock.now_ms())
        shortest_ms = self._min_expected_wait_ms
        if shortest_ms is None:
            shortest_ms = error.expected_ms
        self._min_expected_wait_ms = min(shortest_ms, error.expected_ms)

    def _failure_reply(self) -> Reply:
        env, group = self._env, self._group
        code = codes.CONNECTIONS_EXHAUSTED
        if self._may_have_run:
            code = codes.READ_UNANSWERED
        elif env.wait_failure_code(group) is codes.NO_PRIMARY:
            code = codes.NO_PRIMARY
        return env.refuse(
            self._statement,
            code,
            "no target served the read in time",
            group=group.name,
            retry_ms=self._min_expected_wait_ms,
            attempts=self._attempts,
            leader=group.leadership.leader_id,
            expected_wait_ms=self._min_expected_wait_ms
            and round(self._min_expected_wait_ms),
            **self._runner.log_fields(group.name),
        )

    async def _run_on(self, target: TargetState, lease: Lease) -> Reply | None:
        env = self._env
        await self._permit.ensure(lease)
        # Computed here because the wait for the link has taken time.
        minimum = self._runner.minimum_position(self._group, self._database)
        if minimum is None and not self._may_use_leader(target):
            lease.release()
            return None
        left_ms = self._left_ms()
        if left_ms < MIN_READ_TIME_MS:
            lease.release()
            return None
        if minimum is not None:
            # Leave time for another target.  A read that must be current has none but
            # the leader, so it gets all the time left.
            left_ms = min(READ_ATTEMPT_TIMEOUT_MS, left_ms)
        self._permit.use()
        try:
            exchange = await self._exchange(lease, minimum, left_ms)
        except NoLinkError as error:
            lease.release()
            self._permit.unused()
            self._attempts -= 1
            self._record_no_link(target, error)
            return None
        except LinkLostError as error:
            lease.release()
            self._may_have_run = self._may_have_run or lease.sent
            env.record_lost_link(target, lease, str(error), left_ms)
            env.record_retry(self._statement, target, str(error))
            return None
        lease.release()
        answer = exchange.answers[0]
        if answer.fault is None:
            return self._handle_answer(target, exchange, answer, minimum)
        await self._handle_refusal(target, lease, answer, minimum)
        return None

    async def _exchange(
        self, lease: Lease, minimum: MinimumPosition | None, left_ms: float
    ) -> Exchange:
        replay = lease.link.replay(self._runner.context, self._shape)
        name = lease.link.prepared_name(self._shape)
        read = Command(CommandKind.STATEMENT, self._statement, name=name)
        if minimum is not None:
            read.after = minimum.position
        return await lease.exchange([*replay, read], left_ms, self._permit.send_by_ms)

    def _handle_answer(
        self,
        target: TargetState,
        exchange: Exchange,
        answer: TargetAnswer,
        minimum: MinimumPosition | None,
    ) -> Reply:
        env, group, database = self._env, self._group, self._database
        target.record_slowness(
            env.response_times.observe(database.name, exchange.took_ms),
            env.clock.now_ms(),
        )
        env.counters.served += 1
        env.counters.record_read(
            database.reads is not ReadKind.CURRENT,
            target.entry.id == group.leadership.leader_id,
        )
        if minimum is not None:
            env.record_replica_answer(group, target, answer, minimum)
        else:
            env.record_leader_answer(group, target, exchange, answer)
            self._runner.positions.record_leader_position(group.name, answer.position)
        return Reply(answer.rows, answer.signature, position=answer.position)

    async def _handle_refusal(
        self,
        target: TargetState,
        lease: Lease,
        answer: TargetAnswer,
        minimum: MinimumPosition | None,
    ) -> None:
        env = self._env
        now_ms = env.clock.now_ms()
        fault = answer.fault
        self._may_have_run = self._may_have_run or not fault.not_run
        env.record_retry(self._statement, target, describe_fault(answer))
        if fault is TargetFault.BEHIND and minimum is not None:
            env.record_replica_answer(self._group, target, answer, minimum)
        elif fault is TargetFault.NOT_LEADING:
            self._group.leadership.record_not_leading(target.entry.id, now_ms)
        elif fault is TargetFault.UNKNOWN_PREPARED:
            lease.link.forget_prepared()
        elif fault is TargetFault.BUSY:
            target.avoid(now_ms)
            await env.clock.sleep_ms(BUSY_RETRY_DELAY_MS)
        else:
            target.avoid(now_ms)
