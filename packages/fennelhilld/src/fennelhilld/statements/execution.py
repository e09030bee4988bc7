"""Reads and writes outside a transaction."""

from __future__ import annotations

from fennelhill_core import codes

from fennelhilld.admission.order import QueuedRequest
from fennelhilld.catalog.state import Database
from fennelhilld.freshness.positions import MinimumPosition
from fennelhilld.links.lease import Lease
from fennelhilld.links.messages import (
    Command,
    CommandKind,
    LinkLostError,
    NoLinkError,
    TargetAnswer,
    TargetFault,
)
from fennelhilld.links.state import PreparedShape, SessionContext
from fennelhilld.placement.state import GroupState, TargetState
from fennelhilld.quotas.operation import OperationPermit, OverQuotaError
from fennelhilld.statements.environment import (
    BUSY_RETRY_DELAY_MS,
    LEADER_RECHECK_MS,
    Environment,
    describe_fault,
)
from fennelhilld.statements.messages import Reply, Statement
from fennelhilld.statements.positions import SessionPositions
from fennelhilld.statements.reading import ReadOperation

# A write with less time left is not sent: an answer takes up to 100 ms while the
# target works off a queue, as after a change of leader.
MIN_WRITE_TIME_MS = 100.0

FAULT_CODES = {
    TargetFault.BUSY: codes.OVERLOADED,
    TargetFault.BEHIND: codes.REPLICA_BEHIND,
    TargetFault.NOT_LEADING: codes.NOT_PRIMARY,
    TargetFault.UNKNOWN_PREPARED: codes.UNKNOWN_PREPARED,
    TargetFault.FAILED: codes.SQL_ERROR,
    TargetFault.TIMED_OUT: codes.TARGET_TIMED_OUT,
    TargetFault.ABORTED: codes.TRANSACTION_ABORTED,
    TargetFault.MALFORMED: codes.MALFORMED_STATEMENT,
    TargetFault.OTHER: codes.SQL_ERROR,
}


class StatementRunner:
    """Runs reads and writes that are not part of a transaction.

    Parameters
    ----------
    env : Environment
        State shared by the sessions of this host.
    context : SessionContext
        Values and prepared statements of the session.
    positions : SessionPositions
        Log positions of the session's commits.
    """

    __slots__ = ("context", "env", "organisation", "positions")

    def __init__(
        self, env: Environment, context: SessionContext, positions: SessionPositions
    ) -> None:
        self.env = env
        self.context = context
        self.positions = positions
        # Organisation that the current operation is run for; empty if none.
        self.organisation = ""

    def log_fields(self, group_name: str) -> dict[str, object]:
        """Return the fields by which a log line names the caller and the queues.

        Parameters
        ----------
        group_name : str
            Group of the statement.

        Returns
        -------
        dict
            The organisation, and the requests that wait on this host for links to the
            group's targets: of all, and its own.  Empty without organisations.
        """
        if not self.organisation:
            return {}
        group = self.env.group(group_name)
        pools = [target.pool for target in group.targets.values()]
        return {
            "organisation": self.organisation,
            "waiting": sum(pool.waiting for pool in pools),
            "waiting_own": sum(pool.waiting_of(self.organisation) for pool in pools),
        }

    def minimum_position(
        self, group: GroupState, database: Database
    ) -> MinimumPosition | None:
        """Return the position that a replica must have applied for a session's read.

        Parameters
        ----------
        group : GroupState
            The group.
        database : Database
            Its configuration says how stale a read may be.

        Returns
        -------
        MinimumPosition or None
            None if only the leader may answer.
        """
        if group.name in self.positions.unknown_outcomes:
            return None
        return self.env.minimum_read_position(
            group, database, self.positions.last_commits.get(group.name)
        )

    def choose_reader(
        self, group: GroupState, database: Database, tried: set[str]
    ) -> TargetState | None:
        """Choose the target of a read: one that is fresh enough, else the leader.

        Parameters
        ----------
        group : GroupState
            The group.
        database : Database
            Its configuration says how stale a read may be.
        tried : set of str
            Targets to leave out because this read was already tried there.

        Returns
        -------
        TargetState or None
            None if no target is left.
        """
        now_ms = self.env.clock.now_ms()
        minimum = self.minimum_position(group, database)
        if minimum is not None:
            mean_response_ms = self.env.response_times.mean_response_ms(database.name)
            chosen = group.choose_reader(
                minimum,
                mean_response_ms,
                self.env.zone,
                tried,
                now_ms,
                self.organisation,
                self.env.organisation_share(self.organisation),
            )
            if chosen is not None:
                return chosen
        leader = group.leader()
        if leader is None or leader.entry.id in tried:
            return None
        return leader

    async def read(
        self, database: Database, statement: Statement, shape: PreparedShape | None
    ) -> Reply:
        """Run a read outside a transaction.

        Parameters
        ----------
        database : Database
            The database.
        statement : Statement
            The read.
        shape : PreparedShape or None
            The prepared statement that it executes, if any.

        Returns
        -------
        Reply
            The answer, or a failure with its result code.
        """
        return await ReadOperation(self, database, statement, shape).run()

    async def write(
        self, database: Database, statement: Statement, shape: PreparedShape | None
    ) -> Reply:
        """Run a write outside a transaction.

        Parameters
        ----------
        database : Database
            The database.
        statement : Statement
            The write.
        shape : PreparedShape or None
            The prepared statement that it executes, if any.

        Returns
        -------
        Reply
            The answer, or a failure with its result code.
        """
        permit = OperationPermit(self.env.quotas, self.organisation)
        try:
            return await self._write(database, statement, shape, permit)
        except OverQuotaError as error:
            return self.env.refuse_over_quota(
                statement, error.refusal, self.organisation, database.group
            )
        finally:
            permit.close()

    async def _write(
        self,
        database: Database,
        statement: Statement,
        shape: PreparedShape | None,
        permit: OperationPermit,
    ) -> Reply:
        env = self.env
        group = env.group(database.group)
        started_ms = env.clock.now_ms()
        deadline_ms = env.deadline_ms(database)
        last_failure = "no link to the leader became free"
        retry_ms = None
        while (left_ms := deadline_ms - env.clock.now_ms()) >= MIN_WRITE_TIME_MS:
            if env.leader_unavailable(group, left_ms - MIN_WRITE_TIME_MS):
                return env.refuse_leader_unavailable(statement, group)
            if not permit.valid:
                # A permit would expire during the wait for a leader.
                if not await env.leader_usable(group, left_ms):
                    continue
                await permit.ensure()
            try:
                request = env.queued_request(
                    database, started_ms, left_ms, self.organisation
                )
                lease, target = await self.lease_leader_link(group, request)
            except NoLinkError as error:
                last_failure, retry_ms = str(error), error.expected_ms
                break
            if lease is None or target is None:
                continue
            await permit.ensure(lease)
            if not env.access.may_begin(group):
                # Lost during the wait for a link.
                lease.release()
                continue
            if deadline_ms - env.clock.now_ms() < MIN_WRITE_TIME_MS:
                # The answer could miss the deadline, and the outcome would be unknown.
                lease.release()
                break
            commands = lease.link.replay(self.context, shape)
            name = lease.link.prepared_name(shape)
            commands.append(Command(CommandKind.STATEMENT, statement, name=name))
            left_ms = deadline_ms - env.clock.now_ms()
            permit.use()
            try:
                with group.leadership.write_in_flight():
                    exchange = await lease.exchange(
                        commands, left_ms, permit.send_by_ms
                    )
                    counts = await env.answer_counts(group, target)
            except NoLinkError as error:
                lease.release()
                permit.unused()
                last_failure, retry_ms = str(error), error.expected_ms
                if not permit.valid:
                    # The owner waited for as long as the permit was valid.
                    continue
                break
            except LinkLostError as error:
                lease.release()
                env.record_lost_link(target, lease, str(error), left_ms)
                if not lease.sent:
                    last_failure = str(error)
                    continue
                self.positions.unknown_outcomes.add(group.name)
                return env.refuse(
                    statement,
                    codes.CONNECTION_LOST,
                    f"the answer to a write was lost: {error}",
                    group=group.name,
                    target=target.entry.id,
                )
            lease.release()
            answer = exchange.answers[0]
            if answer.fault is None and not counts:
                self.positions.unknown_outcomes.add(group.name)
                return self.refuse_unproven_answer(statement, group, target)
            if answer.fault is None:
                env.counters.served += 1
                env.counters.writes += 1
                env.record_leader_answer(group, target, exchange, answer)
                self.positions.record_commit(group.name, answer.position)
                return Reply(answer.rows, answer.signature, position=answer.position)
            last_failure = describe_fault(answer)
            if not answer.fault.not_run:
                return env.refuse(
                    statement,
                    FAULT_CODES[answer.fault],
                    last_failure,
                    group=group.name,
                    target=target.entry.id,
                )
            await self.handle_retryable_refusal(group, target, lease, statement, answer)
        code = env.wait_failure_code(group)
        return env.refuse(
            statement,
            code,
            last_failure,
            group=group.name,
            retry_ms=retry_ms,
            **self.log_fields(group.name),
        )

    def refuse_unproven_answer(
        self, statement: Statement, group: GroupState, target: TargetState
    ) -> Reply:
        """Report that the outcome of an answered write or commit is unknown.

        Parameters
        ----------
        statement : Statement
            The statement.
        group : GroupState
            The group.
        target : TargetState
            The target that answered.

        Returns
        -------
        Reply
            The failure.
        """
        return self.env.refuse(
            statement,
            codes.ANSWER_UNPROVEN,
            "the target answered, but may have been replaced before that",
            group=group.name,
            target=target.entry.id,
            **self.env.lease_inputs(group),
        )

    async def lease_leader_link(
        self, group: GroupState, request: QueuedRequest
    ) -> tuple[Lease | None, TargetState | None]:
        """Lease a link to the leader, for a write or a read-write transaction.

        Parameters
        ----------
        group : GroupState
            The group.
        request : QueuedRequest
            Its priority, due time and the end of its wait.

        Returns
        -------
        lease : Lease or None
            None if the leader is unknown, being replaced, not proven to lead or
            unreachable; the call has then waited for a change.
        target : TargetState or None
            The leader; None if it may not be used.

        Raises
        ------
        NoLinkError
            If no link became available in time, or none is expected to.
        """
        env = self.env
        left_ms = request.give_up_ms - env.clock.now_ms()
        if not await env.leader_usable(group, left_ms):
            return None, None
        leader = group.leader()
        lease = await env.lease_link(leader, self.context, request)
        if lease is None:
            left_ms = min(
                request.give_up_ms - env.clock.now_ms(), LEADER_RECHECK_MS / 2
            )
            await group.leadership.wait_for_change(left_ms)
        return lease, leader

    async def handle_retryable_refusal(
        self,
        group: GroupState,
        target: TargetState,
        lease: Lease,
        statement: Statement,
        answer: TargetAnswer,
    ) -> None:
        """Handle a refusal that had no effect, before the statement is sent again.

        A target that does not lead is recorded as such.  If the link lacks a prepared
        statement, the list of those prepared on it is cleared, so that each is prepared
        again before its next use.  After any other refusal this waits for
        `BUSY_RETRY_DELAY_MS`.

        Parameters
        ----------
        group : GroupState
            The group.
        target : TargetState
            The target that refused: the known leader when it was sent the statement,
            or the target of a read-only transaction.
        lease : Lease
            The lease of the link that was used.
        statement : Statement
            The refused statement.
        answer : TargetAnswer
            The refusal.
        """
        self.env.record_retry(statement, target, describe_fault(answer))
        if answer.fault is TargetFault.NOT_LEADING:
            group.leadership.record_not_leading(
                target.entry.id, self.env.clock.now_ms()
            )
        elif answer.fault is TargetFault.UNKNOWN_PREPARED:
            lease.link.forget_prepared()
        else:
            await self.env.clock.sleep_ms(BUSY_RETRY_DELAY_MS)
