"""A client's transaction, pinned to one link from its first statement on."""

from __future__ import annotations

from fennelhill_core import codes
from fennelhill_core.codes import Code

from fennelhilld.catalog.state import Database, ReadKind
from fennelhilld.freshness.positions import MinimumPosition
from fennelhilld.links.lease import Exchange, Lease
from fennelhilld.links.messages import (
    ENDED_FOR_OTHERS,
    Command,
    CommandKind,
    LinkLostError,
    NoLinkError,
    TargetAnswer,
    TargetFault,
)
from fennelhilld.links.state import PreparedShape
from fennelhilld.placement.state import GroupState, TargetState
from fennelhilld.quotas.operation import OperationPermit, OverQuotaError
from fennelhilld.statements.environment import (
    BUSY_RETRY_DELAY_MS,
    LEADER_RECHECK_MS,
    LEASE_WAIT_MS,
    MIN_REMAINING_MS,
    READ_LINK_WAIT_MS,
    describe_fault,
)
from fennelhilld.statements.execution import (
    FAULT_CODES,
    MIN_WRITE_TIME_MS,
    StatementRunner,
)
from fennelhilld.statements.messages import (
    Reply,
    Statement,
    StatementKind,
    TransactionState,
)

# A rollback is one exchange; if it takes longer, the link is closed.
ROLLBACK_TIMEOUT_MS = 500.0


class Transaction:
    """A client's transaction; its first statement begins it on a target.

    A commit is sent again only if the target has refused it without effect.  A failure
    that ends the transaction before the commit is sent rolls it back, so a reply that
    it was aborted is always correct; afterwards only the target's answer decides the
    outcome.

    Parameters
    ----------
    runner : StatementRunner
        The runner of the session.
    database : Database
        The database, as configured when the transaction began.
    read_only : bool
        Whether the client asked for a read-only transaction.
    """

    __slots__ = (
        "_has_run",
        "_lease",
        "_minimum",
        "_permit",
        "_target",
        "abort_reason",
        "database",
        "failed",
        "read_write",
        "runner",
        "wrote",
    )

    def __init__(
        self, runner: StatementRunner, database: Database, read_only: bool
    ) -> None:
        self.runner = runner
        self.database = database
        self.read_write = not read_only
        self.wrote = False
        self.failed = False
        self.abort_reason = ""
        self._has_run = False
        self._lease: Lease | None = None
        self._target: TargetState | None = None
        self._minimum: MinimumPosition | None = None
        self._permit = OperationPermit(runner.env.quotas, runner.organisation)

    @property
    def state(self) -> TransactionState:
        """State as the client sees it."""
        return TransactionState.FAILED if self.failed else TransactionState.OPEN

    async def run(self, statement: Statement, shape: PreparedShape | None) -> Reply:
        """Run a read or write.

        Parameters
        ----------
        statement : Statement
            The statement.
        shape : PreparedShape or None
            The prepared statement that it executes, if any.

        Returns
        -------
        Reply
            The answer, or a failure with its result code.
        """
        command = Command(CommandKind.STATEMENT, statement)
        reply = await self._run(command, statement, shape)
        if self._lease is not None:
            self._lease.rest(self._end_for_others)
        if reply.code is None and (statement.writes or (shape and shape.writes)):
            self.wrote = True
        return reply

    async def commit(self, statement: Statement) -> Reply:
        """Commit the transaction.

        Parameters
        ----------
        statement : Statement
            The client's commit.

        Returns
        -------
        Reply
            The answer; the transaction has ended in any case.
        """
        reply = await self._run(Command(CommandKind.COMMIT, statement), statement, None)
        reply.state = TransactionState.IDLE
        if reply.code is None and self.wrote:
            self.runner.positions.record_commit(self.database.group, reply.position)
        if reply.code is not None and reply.code.outcome is codes.Outcome.UNKNOWN:
            self.runner.positions.unknown_outcomes.add(self.database.group)
        await self.rollback()
        return reply

    async def rollback(self) -> None:
        """Roll back on the leased link, if any, and return the link to the pool."""
        lease, self._lease = self._lease, None
        if lease is None:
            return
        try:
            await lease.exchange([Command(CommandKind.ROLLBACK)], ROLLBACK_TIMEOUT_MS)
        except LinkLostError:
            # The target rolls back when the link closes.
            lease.discard()
            return
        lease.release()

    def abort(self, reason: str) -> None:
        """Close the link at once; the client's next statement gets the reason.

        Parameters
        ----------
        reason : str
            Human-readable reason.
        """
        self.failed = True
        self.abort_reason = reason
        self.discard_link()

    def _end_for_others(self) -> None:
        """Roll back because other organisations wait for the link's place."""
        self.runner.env.events.record(
            "transaction.ended",
            group=self.database.group,
            target=self._target.entry.id if self._target else "",
            organisation=self.runner.organisation,
        )
        self.abort(ENDED_FOR_OTHERS)

    def discard_link(self) -> None:
        """Close the link; the target rolls back."""
        lease, self._lease = self._lease, None
        if lease is not None:
            lease.discard()

    async def _run(
        self, command: Command, statement: Statement, shape: PreparedShape | None
    ) -> Reply:
        """Run a command; begin the transaction on a target first if necessary."""
        try:
            return await self._run_begun(command, statement, shape)
        except OverQuotaError as error:
            self.failed = True
            return self.runner.env.refuse_over_quota(
                statement,
                error.refusal,
                self.runner.organisation,
                self.database.group,
                self.state,
            )
        finally:
            if self._lease is None:
                self._permit.close()

    async def _run_begun(
        self, command: Command, statement: Statement, shape: PreparedShape | None
    ) -> Reply:
        env = self.runner.env
        deadline_ms = env.deadline_ms(self.database)
        last_failure = "no target was free"
        # A commit whose answer misses the deadline has an unknown outcome.  If it is
        # not sent, the transaction is certain to be rolled back.
        commits_writes = command.kind is CommandKind.COMMIT and self.wrote
        min_left_ms = MIN_WRITE_TIME_MS if commits_writes else MIN_REMAINING_MS
        if self._lease is not None:
            self._lease.wake()
        while (left_ms := deadline_ms - env.clock.now_ms()) >= min_left_ms:
            if self._lease is None:
                if self._leader_unavailable(left_ms - min_left_ms):
                    group = env.group(self.database.group)
                    code, detail = env.leader_unavailable_reason(group)
                    retry_ms = env.retry_ms(code, group)
                    return await self._fail(statement, code, detail, retry_ms)
                try:
                    begun = await self._begin(statement, deadline_ms)
                except NoLinkError as error:
                    last_failure = str(error)
                    if not self._permit.valid:
                        # An owner waited for as long as the permit was valid.
                        continue
                    break
                if not begun:
                    continue
            group = env.group(self.database.group)
            if commits_writes and not await self._may_commit(group):
                code, detail = env.leader_unavailable_reason(group)
                return await self._fail(statement, codes.TRANSACTION_ABORTED, detail)
            left_ms = deadline_ms - env.clock.now_ms()
            commands = self._lease.link.replay(self.runner.context, shape)
            command.name = self._lease.link.prepared_name(shape)
            counts = True
            try:
                if commits_writes:
                    with group.leadership.write_in_flight():
                        exchange = await self._lease.exchange(
                            [*commands, command], left_ms
                        )
                        counts = await env.answer_counts(group, self._target)
                else:
                    exchange = await self._lease.exchange([*commands, command], left_ms)
            except LinkLostError as error:
                if self._has_run or command.kind is CommandKind.COMMIT:
                    return self._handle_lost_link(statement, error, left_ms)
                last_failure = str(error)
                self._discard_lost_link(statement, last_failure, left_ms)
                continue
            answer = exchange.answers[-1]
            if answer.fault is None and not counts:
                return self.runner.refuse_unproven_answer(
                    statement, group, self._target
                )
            self._record_answer(exchange, answer)
            if answer.fault is None:
                self._has_run = True
                env.counters.served += 1
                return Reply(
                    answer.rows,
                    answer.signature,
                    state=answer.state,
                    position=answer.position,
                )
            last_failure = describe_fault(answer)
            if answer.fault is TargetFault.BUSY:
                if answer.state is not TransactionState.OPEN:
                    return await self._handle_refusal(statement, answer, last_failure)
                await env.clock.sleep_ms(BUSY_RETRY_DELAY_MS)
            elif answer.fault.not_run and not self._has_run:
                await self._restart_after_refusal(statement, answer)
            else:
                return await self._handle_refusal(statement, answer, last_failure)
        code = env.wait_failure_code(env.group(self.database.group))
        return await self._fail(statement, code, last_failure)

    async def _may_commit(self, group: GroupState) -> bool:
        """Return whether the transaction's target may still be sent a commit."""
        env = self.runner.env
        env.renewal.use()
        if not env.access.may_send(group) and group.leadership.fence is None:
            await env.renewal.ensure(LEASE_WAIT_MS)
        return env.access.may_send(group) and group.leader() is self._target

    def _leader_unavailable(self, left_ms: float) -> bool:
        env = self.runner.env
        group = env.group(self.database.group)
        if not env.leader_unavailable(group, left_ms):
            return False
        reader = self.runner.choose_reader(group, self.database, set())
        return self._at_leader or reader in (None, group.leader())

    @property
    def _at_leader(self) -> bool:
        """Whether only the leader may run the transaction."""
        return self.read_write or self.database.reads is ReadKind.CURRENT

    async def _begin(self, statement: Statement, deadline_ms: float) -> bool:
        """Begin on a target; return whether this attempt succeeded.

        A target that refuses the begin command would run the commands after it in
        the same batch outside a transaction, so the first statement waits for the
        answer.
        """
        runner, env = self.runner, self.runner.env
        group = env.group(self.database.group)
        left_ms = deadline_ms - env.clock.now_ms()
        started_ms = env.clock.now_ms()
        if self._at_leader:
            if not self._permit.valid:
                # A permit would expire during the wait for a leader.
                if not await env.leader_usable(group, left_ms):
                    return False
                await self._permit.ensure()
            request = env.queued_request(
                self.database, started_ms, left_ms, runner.organisation
            )
            lease, target = await runner.lease_leader_link(group, request)
        else:
            await env.prepare_read(group, self.database)
            target = runner.choose_reader(group, self.database, set())
            if target is None:
                await group.leadership.wait_for_change(min(left_ms, LEADER_RECHECK_MS))
                return False
            current = runner.minimum_position(group, self.database) is None
            if current and not await env.leader_usable(group, left_ms):
                return False
            await self._permit.ensure()
            limit_ms = min(left_ms, READ_LINK_WAIT_MS)
            request = env.queued_request(
                self.database, started_ms, limit_ms, runner.organisation
            )
            try:
                lease = await env.lease_link(target, runner.context, request)
            except NoLinkError:
                # The next attempt chooses another target, if there is one.
                target.avoid(env.clock.now_ms())
                await env.clock.sleep_ms(BUSY_RETRY_DELAY_MS)
                return False
        if lease is None or target is None:
            return False
        await self._permit.ensure(lease)
        # Computed here because the wait for the link has taken time.
        minimum = (
            None if self._at_leader else runner.minimum_position(group, self.database)
        )
        if minimum is None and not (
            group.leader() is target and env.access.may_begin(group)
        ):
            lease.release()
            return False
        left_ms = deadline_ms - env.clock.now_ms()
        if left_ms < MIN_REMAINING_MS:
            lease.release()
            return False
        begin = Command(CommandKind.BEGIN)
        if not self.read_write:
            begin = Command(
                CommandKind.BEGIN_READ_ONLY, after=minimum and minimum.position
            )
        self._permit.use()
        try:
            exchange = await lease.exchange([begin], left_ms, self._permit.send_by_ms)
        except NoLinkError:
            lease.release()
            self._permit.unused()
            target.avoid(env.clock.now_ms())
            raise
        except LinkLostError as error:
            lease.release()
            env.record_lost_link(target, lease, str(error), left_ms)
            env.record_retry(statement, target, str(error))
            return False
        answer = exchange.answers[0]
        if minimum is not None:
            env.record_replica_answer(group, target, answer, minimum)
        if answer.fault is None:
            self._lease, self._target, self._minimum = lease, target, minimum
            return True
        lease.release()
        if answer.fault is TargetFault.BEHIND:
            env.record_retry(statement, target, describe_fault(answer))
        else:
            await runner.handle_retryable_refusal(
                group, target, lease, statement, answer
            )
        return False

    def _discard_lost_link(
        self, statement: Statement, reason: str, left_ms: float
    ) -> None:
        """Discard a link that was lost before any statement was answered."""
        target, lease = self._target, self._lease
        self.discard_link()
        if target is not None and lease is not None:
            self.runner.env.record_lost_link(target, lease, reason, left_ms)
            self.runner.env.record_retry(statement, target, reason)

    async def _restart_after_refusal(
        self, statement: Statement, answer: TargetAnswer
    ) -> None:
        """Roll back after a refused first statement; the next attempt begins again."""
        lease, target = self._lease, self._target
        group = self.runner.env.group(self.database.group)
        await self.rollback()
        if lease is not None and target is not None:
            await self.runner.handle_retryable_refusal(
                group, target, lease, statement, answer
            )

    def _record_answer(self, exchange: Exchange, answer: TargetAnswer) -> None:
        if self._target is None or answer.fault is not None:
            return
        env = self.runner.env
        group = env.group(self.database.group)
        if self._minimum is None:
            env.record_leader_answer(group, self._target, exchange, answer)
        if not self.read_write and answer.signature:
            at_leader = self._target.entry.id == group.leadership.leader_id
            env.counters.record_read(True, at_leader)

    def _handle_lost_link(
        self, statement: Statement, error: LinkLostError, left_ms: float
    ) -> Reply:
        env = self.runner.env
        target, lease = self._target, self._lease
        if target is not None and lease is not None:
            env.record_lost_link(target, lease, str(error), left_ms)
        self.discard_link()
        self.failed = True
        code = codes.TRANSACTION_ABORTED
        if statement.kind is StatementKind.COMMIT and self.wrote:
            code = codes.CONNECTION_LOST
        return env.refuse(
            statement,
            code,
            str(error),
            self.state,
            self.database.group,
            target=target.entry.id if target else "",
        )

    async def _handle_refusal(
        self, statement: Statement, answer: TargetAnswer, last_failure: str
    ) -> Reply:
        fault = answer.fault or TargetFault.OTHER
        if fault is TargetFault.NOT_LEADING and self._target is not None:
            group = self.runner.env.group(self.database.group)
            now_ms = self.runner.env.clock.now_ms()
            group.leadership.record_not_leading(self._target.entry.id, now_ms)
        if answer.state is TransactionState.OPEN and not fault.not_run:
            # Only the statement failed; the transaction is still open.
            return self.runner.env.refuse(
                statement,
                FAULT_CODES[fault],
                last_failure,
                TransactionState.OPEN,
                self.database.group,
            )
        return await self._fail(statement, FAULT_CODES[fault], last_failure)

    async def _fail(
        self,
        statement: Statement,
        code: Code,
        detail: str,
        retry_ms: float | None = None,
    ) -> Reply:
        target = self._target.entry.id if self._target else ""
        if code in (codes.OVERLOADED, codes.NO_PRIMARY) and self._has_run:
            code = codes.TRANSACTION_ABORTED
        await self.rollback()
        self.failed = True
        return self.runner.env.refuse(
            statement,
            code,
            detail,
            self.state,
            self.database.group,
            retry_ms,
            target=target,
        )
