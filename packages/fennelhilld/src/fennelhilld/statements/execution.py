"""Running a statement that is an operation of its own."""

from __future__ import annotations

from fennelhill_core import codes
from fennelhill_core.tokens import Position

from fennelhilld.catalog.state import Database, ReadKind
from fennelhilld.freshness.floors import ReadFloor
from fennelhilld.links.lease import Exchange, Lease
from fennelhilld.links.messages import (
    Command,
    CommandKind,
    LinkLostError,
    TargetAnswer,
    TargetFault,
)
from fennelhilld.links.state import PreparedShape, SessionContext
from fennelhilld.placement.state import GroupState, TargetState
from fennelhilld.statements.environment import (
    ANSWER_MARGIN_MS,
    LEAST_LEFT_MS,
    READ_LINK_WAIT_MS,
    Environment,
    fault_reason,
)
from fennelhilld.statements.messages import Reply, Statement

# A busy target works through its queue in some tens of milliseconds.
BUSY_PAUSE_MS = 8.0
# Pause between looks for a leader; a change wakes the waiting at once.
LEADER_WAIT_MS = 100.0
# A read waits this long for one target before it is sent to another; work takes up
# to 170 ms (300 ms at the second user's), and a full queue 150 ms.
READ_ATTEMPT_MS = 450.0
# A write that has less time left is not sent; an answer takes up to 100 ms where a
# queue has formed, as after a change of leader.
LEAST_WRITE_MS = 100.0
# A read is offered to this many targets before the client hears of it.
MAX_READ_ATTEMPTS = 6

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


class SessionPositions:
    """What one session has committed, by group.

    A commit whose outcome is unknown makes the session *unsure* of the group: its
    reads then go to the leader, until one of them gives a position that covers it.
    """

    __slots__ = ("own", "unsure")

    def __init__(self) -> None:
        self.own: dict[str, Position] = {}
        self.unsure: set[str] = set()

    def committed(self, group: str, position: Position | None) -> None:
        """Note a commit of this session.

        Parameters
        ----------
        group : str
            The group.
        position : Position or None
            Its position; nothing where the target did not say.
        """
        if position is None:
            self.unsure.add(group)
        else:
            self.own[group] = position

    def seen_at_leader(self, group: str, position: Position | None) -> None:
        """Note a position that the leader answered to a read of this session.

        Parameters
        ----------
        group : str
            The group.
        position : Position or None
            The position.
        """
        if group in self.unsure and position is not None:
            self.unsure.discard(group)
            self.own[group] = position


class StatementRunner:
    """Runs reads and writes that are not part of a transaction.

    Parameters
    ----------
    env : Environment
        What sessions share.
    context : SessionContext
        Values and prepared statements of the session.
    positions : SessionPositions
        What the session has committed.
    """

    __slots__ = ("context", "env", "positions")

    def __init__(
        self, env: Environment, context: SessionContext, positions: SessionPositions
    ) -> None:
        self.env = env
        self.context = context
        self.positions = positions

    def floor(self, group: GroupState, database: Database) -> ReadFloor | None:
        """Return what a replica must hold for a read of this session now.

        Parameters
        ----------
        group : GroupState
            The group.
        database : Database
            Says how current reads must be.

        Returns
        -------
        ReadFloor or None
            Nothing where only the leader will do.
        """
        if group.name in self.positions.unsure:
            return None
        return self.env.read_floor(group, database, self.positions.own.get(group.name))

    def choose_reader(
        self, group: GroupState, database: Database, tried: set[str]
    ) -> TargetState | None:
        """Choose where a read goes: a fresh enough replica, else the leader.

        Parameters
        ----------
        group : GroupState
            The group.
        database : Database
            Says how current reads must be.
        tried : set of str
            Targets that have refused this read.

        Returns
        -------
        TargetState or None
            Nothing where no target is left.
        """
        now_ms = self.env.clock.now_ms()
        floor = self.floor(group, database)
        if floor is not None:
            usual_ms = self.env.times.usual_ms(database.name)
            chosen = group.choose_reader(floor, usual_ms, self.env.zone, tried, now_ms)
            if chosen is not None:
                return chosen
        leader = group.leader()
        if leader is None or leader.entry.id in tried:
            return None
        return leader

    async def read(
        self, database: Database, statement: Statement, shape: PreparedShape | None
    ) -> Reply:
        """Run a read that is an operation of its own.

        Parameters
        ----------
        database : Database
            Where.
        statement : Statement
            The read.
        shape : PreparedShape or None
            The prepared statement that it executes.

        Returns
        -------
        Reply
            The answer.
        """
        env = self.env
        group = env.group(database.group)
        deadline_ms = (
            env.clock.now_ms() + database.statement_timeout_ms - ANSWER_MARGIN_MS
        )
        tried: set[str] = set()
        sent = False
        attempts = 0
        while attempts < MAX_READ_ATTEMPTS:
            left_ms = deadline_ms - env.clock.now_ms()
            if left_ms < LEAST_LEFT_MS:
                break
            target = self.choose_reader(group, database, tried)
            if target in (None, group.leader()) and env.out_of_reach(group):
                return env.refused_out_of_reach(statement, group)
            if target is None:
                tried.clear()
                await group.leadership.wait_change(min(left_ms, LEADER_WAIT_MS))
                continue
            lease = await env.borrow(
                target, self.context, database.priority, min(left_ms, READ_LINK_WAIT_MS)
            )
            if lease is None:
                tried.add(target.entry.id)
                continue
            attempts += 1
            sent = True
            reply = await self._read_at(
                group, database, target, lease, statement, shape, deadline_ms
            )
            if reply is not None:
                return reply
            tried.add(target.entry.id)
        code = codes.READ_UNANSWERED if sent else codes.CONNECTIONS_EXHAUSTED
        if not sent and env.waiting_code(group) is codes.NO_PRIMARY:
            code = codes.NO_PRIMARY
        return env.refused(
            statement,
            code,
            "no target served the read in time",
            group=group.name,
            attempts=attempts,
            leader=group.leadership.leader_id,
        )

    async def _read_at(
        self,
        group: GroupState,
        database: Database,
        target: TargetState,
        lease: Lease,
        statement: Statement,
        shape: PreparedShape | None,
        deadline_ms: float,
    ) -> Reply | None:
        env = self.env
        # The wait for the link has taken time, so the floor is worked out now.
        floor = self.floor(group, database)
        if floor is None and group.leader() is not target:
            lease.release()
            return None
        command = Command(CommandKind.STATEMENT, statement, name=_link_name(shape))
        commands = lease.link.replay(self.context, shape)
        if floor is None:
            # Only a leader accepts a read-write transaction, so this read can't
            # be answered by a primary that has been replaced.
            commands += [
                Command(CommandKind.BEGIN),
                command,
                Command(CommandKind.ROLLBACK),
            ]
        else:
            command.after = floor.position
            commands.append(command)
        left_ms = deadline_ms - env.clock.now_ms()
        if floor is not None:
            # Only the leader answers reads that must be current, so those stay.
            left_ms = min(READ_ATTEMPT_MS, left_ms)
        try:
            exchange = await lease.exchange(commands, left_ms)
        except LinkLostError as error:
            lease.release()
            env.link_lost(target, lease, str(error), left_ms)
            env.retried(statement, target, str(error))
            return None
        lease.release()
        answer = exchange.answers[0 if floor is not None else 1]
        opening = exchange.answers[0]
        failed = opening if opening.fault is not None else answer
        if failed.fault is None:
            return self._read_served(group, database, target, exchange, answer, floor)
        return await self._read_refused(target, lease, statement, failed, floor)

    def _read_served(
        self,
        group: GroupState,
        database: Database,
        target: TargetState,
        exchange: Exchange,
        answer: TargetAnswer,
        floor: ReadFloor | None,
    ) -> Reply:
        env = self.env
        target.answered(env.times.observe(database.name, exchange.took_ms))
        env.counters.served += 1
        env.counters.read_served(
            database.reads is not ReadKind.CURRENT,
            target.entry.id == group.leadership.leader_id,
        )
        if floor is not None:
            env.replica_answered(group, target, answer, floor)
        else:
            env.leader_answered(group, target, exchange, answer)
            self.positions.seen_at_leader(group.name, answer.position)
        return Reply(answer.rows, answer.signature, position=answer.position)

    async def _read_refused(
        self,
        target: TargetState,
        lease: Lease,
        statement: Statement,
        answer: TargetAnswer,
        floor: ReadFloor | None,
    ) -> Reply | None:
        env = self.env
        now_ms = env.clock.now_ms()
        fault = answer.fault
        env.retried(statement, target, fault_reason(answer))
        if fault is TargetFault.BEHIND and floor is not None:
            group = env.group(target.entry.group)
            env.replica_answered(group, target, answer, floor)
        elif fault is TargetFault.NOT_LEADING:
            env.group(target.entry.group).leadership.not_leading(
                target.entry.id, now_ms
            )
        elif fault is TargetFault.UNKNOWN_PREPARED:
            lease.link.prepared.clear()
        elif fault is TargetFault.BUSY:
            target.avoid(now_ms)
            await env.clock.sleep_ms(BUSY_PAUSE_MS)
        else:
            target.avoid(now_ms)
        return None

    async def write(
        self, database: Database, statement: Statement, shape: PreparedShape | None
    ) -> Reply:
        """Run a write that is an operation of its own.

        Parameters
        ----------
        database : Database
            Where.
        statement : Statement
            The write.
        shape : PreparedShape or None
            The prepared statement that it executes.

        Returns
        -------
        Reply
            The answer.
        """
        env = self.env
        group = env.group(database.group)
        deadline_ms = (
            env.clock.now_ms() + database.statement_timeout_ms - ANSWER_MARGIN_MS
        )
        last = "no link to a leader came free"
        while (left_ms := deadline_ms - env.clock.now_ms()) >= LEAST_WRITE_MS:
            if env.out_of_reach(group):
                return env.refused_out_of_reach(statement, group)
            lease, target = await self.borrow_leader(group, database, left_ms)
            if lease is None or target is None:
                continue
            if deadline_ms - env.clock.now_ms() < LEAST_WRITE_MS:
                # Its answer would come too late, and nobody would know the outcome.
                lease.release()
                break
            commands = lease.link.replay(self.context, shape)
            commands.append(
                Command(CommandKind.STATEMENT, statement, name=_link_name(shape))
            )
            left_ms = deadline_ms - env.clock.now_ms()
            try:
                exchange = await lease.exchange(commands, left_ms)
            except LinkLostError as error:
                lease.release()
                env.link_lost(target, lease, str(error), left_ms)
                if not lease.sent:
                    last = str(error)
                    continue
                self.positions.unsure.add(group.name)
                return env.refused(
                    statement,
                    codes.CONNECTION_LOST,
                    f"the answer to a write was lost: {error}",
                    group=group.name,
                    target=target.entry.id,
                )
            lease.release()
            answer = exchange.answers[0]
            if answer.fault is None:
                env.counters.served += 1
                env.counters.writes += 1
                env.leader_answered(group, target, exchange, answer)
                self.positions.committed(group.name, answer.position)
                return Reply(answer.rows, answer.signature, position=answer.position)
            last = fault_reason(answer)
            if not answer.fault.not_run:
                return env.refused(
                    statement,
                    FAULT_CODES[answer.fault],
                    last,
                    group=group.name,
                    target=target.entry.id,
                )
            await self.leader_refused(group, target, lease, statement, answer)
        return env.refused(statement, env.waiting_code(group), last, group=group.name)

    async def borrow_leader(
        self, group: GroupState, database: Database, left_ms: float
    ) -> tuple[Lease | None, TargetState | None]:
        """Borrow a link to the leader, for a write.

        Parameters
        ----------
        group : GroupState
            The group.
        database : Database
            Gives the priority.
        left_ms : float
            Longest wait in milliseconds.

        Returns
        -------
        lease : Lease or None
            Nothing where the leader is unknown, being replaced or unreachable; the
            call has then waited for a moment.
        target : TargetState or None
            The leader.
        """
        env = self.env
        leader = group.leader()
        holding = env.clock.now_ms() < group.leadership.holding_until_ms
        if leader is None or holding:
            await group.leadership.wait_change(min(left_ms, LEADER_WAIT_MS))
            return None, None
        lease = await env.borrow(leader, self.context, database.priority, left_ms)
        if lease is None:
            left_ms = min(left_ms, LEADER_WAIT_MS / 2)
            await group.leadership.wait_change(left_ms)
        return lease, leader

    async def leader_refused(
        self,
        group: GroupState,
        target: TargetState,
        lease: Lease,
        statement: Statement,
        answer: TargetAnswer,
    ) -> None:
        """Learn from a leader's promise that nothing has run, and pause.

        Parameters
        ----------
        group : GroupState
            The group.
        target : TargetState
            The target that was taken for the leader.
        lease : Lease
            The link that was used.
        statement : Statement
            What was refused.
        answer : TargetAnswer
            The refusal.
        """
        self.env.retried(statement, target, fault_reason(answer))
        if answer.fault is TargetFault.NOT_LEADING:
            group.leadership.not_leading(target.entry.id, self.env.clock.now_ms())
        elif answer.fault is TargetFault.UNKNOWN_PREPARED:
            lease.link.prepared.clear()
        else:
            await self.env.clock.sleep_ms(BUSY_PAUSE_MS)


def _link_name(shape: PreparedShape | None) -> str:
    return shape.link_name if shape else ""
