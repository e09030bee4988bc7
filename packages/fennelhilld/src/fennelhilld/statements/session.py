"""A client's session: its state, and where each of its statements runs."""

from __future__ import annotations

from fennelhill_core import codes

from fennelhilld.catalog.state import Database
from fennelhilld.links.state import PreparedShape, SessionContext
from fennelhilld.statements.environment import Environment
from fennelhilld.statements.execution import StatementRunner
from fennelhilld.statements.messages import (
    Reply,
    Statement,
    StatementKind,
    TransactionState,
)
from fennelhilld.statements.positions import SessionPositions
from fennelhilld.statements.transaction import Transaction

WITHDRAWN_REASON = "the key was withdrawn; the transaction was rolled back"


class Session:
    """One client session on one database.

    Session values and prepared statements are kept here, not on a target: each link
    is brought to the session's state before it runs a statement.  The session does
    not depend on the protocols of clients or targets.

    Parameters
    ----------
    env : Environment
        State shared by the sessions of this host.
    database_name : str
        The database that the client named.
    digest : str
        Digest of the client's key; empty if it sent none.
    """

    __slots__ = (
        "_abort_at_ms",
        "_context",
        "_digest",
        "_env",
        "_runner",
        "_transaction",
        "database_name",
    )

    def __init__(self, env: Environment, database_name: str, digest: str = "") -> None:
        self.database_name = database_name
        self._digest = digest
        self._env = env
        self._context = SessionContext()
        self._runner = StatementRunner(env, self._context, SessionPositions())
        self._transaction: Transaction | None = None
        # When the open transaction ends if the key is still withdrawn then.
        self._abort_at_ms: float | None = None

    @property
    def withdrawn(self) -> bool:
        """Whether the key no longer gives access to the database."""
        catalog = self._env.catalog
        database = catalog.database(self.database_name)
        return database is not None and catalog.caller(database, self._digest) is None

    @property
    def in_transaction(self) -> bool:
        """Whether the client has a transaction open."""
        return self._transaction is not None

    @property
    def state(self) -> TransactionState:
        """Transaction state as the client sees it."""
        if self._transaction is None:
            return TransactionState.IDLE
        return self._transaction.state

    @property
    def idle_limit_ms(self) -> float:
        """Longest idle time of an open transaction, in milliseconds; 0 if unknown."""
        catalog = self._env.catalog.current
        return catalog.transaction_idle_ms if catalog else 0.0

    async def execute(self, statement: Statement) -> Reply:
        """Run a statement.

        Parameters
        ----------
        statement : Statement
            The statement.

        Returns
        -------
        Reply
            The whole answer, or a failure with its result code.
        """
        started_ms = self._env.clock.now_ms()
        reply = await self._execute(statement)
        took_ms = self._env.clock.now_ms() - started_ms
        self._env.counters.latency.observe(took_ms)
        database = self._env.catalog.database(self.database_name)
        if reply.code is None and database is not None and took_ms > database.goal_ms:
            self._env.events.record(
                "request.slow",
                group=database.group,
                request=statement.request_id,
                statement=statement.kind.value,
                took_ms=round(took_ms),
                goal_ms=database.goal_ms,
                signature=reply.signature,
                **self._runner.log_fields(database.group),
            )
        return reply

    async def _execute(self, statement: Statement) -> Reply:
        if self._transaction is not None:
            return await self._run_in_transaction(self._transaction, statement)
        kind = statement.kind
        if kind in _LOCAL_KINDS:
            return self._run_local(statement)
        if kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
            return self._env.refuse(
                statement, codes.MALFORMED_STATEMENT, "no transaction is open"
            )
        database = self._env.catalog.database(self.database_name)
        if database is None:
            return self._env.refuse(
                statement, codes.UNKNOWN_GROUP, "the database was removed"
            )
        if self._env.catalog_outdated:
            return self._env.refuse(
                statement,
                codes.CATALOG_OUTDATED,
                "this host can't confirm its configuration; another one may",
            )
        organisation = self._env.catalog.caller(database, self._digest)
        if organisation is None:
            return self._env.refuse(
                statement,
                codes.UNKNOWN_KEY,
                "the key is unknown or was withdrawn",
                key_digest=self._digest,
            )
        self._runner.organisation = organisation
        if kind in (StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY):
            read_only = kind is StatementKind.BEGIN_READ_ONLY
            self._transaction = Transaction(self._runner, database, read_only)
            self._abort_at_ms = None
            return Reply(state=TransactionState.OPEN)
        return await self._run_single(database, statement)

    def abort(self, reason: str) -> None:
        """Roll an open transaction back; the client's next statement gets the reason.

        Parameters
        ----------
        reason : str
            Human-readable reason.
        """
        if self._transaction is not None and not self._transaction.failed:
            self._transaction.abort(reason)

    def limit_withdrawn_transaction(self, abort_at_ms: float) -> None:
        """Set when the open transaction of a withdrawn key is rolled back.

        A statement that arrives later is not run, a commit included; one that was
        sent before keeps its outcome.

        Parameters
        ----------
        abort_at_ms : float
            Time on this host's clock.
        """
        self._abort_at_ms = abort_at_ms

    def _abort_if_withdrawn(self) -> None:
        if self._abort_at_ms is None or self._env.clock.now_ms() < self._abort_at_ms:
            return
        if self.withdrawn:
            self.abort(WITHDRAWN_REASON)

    async def close(self) -> None:
        """End the session; an open transaction is rolled back."""
        if self._transaction is not None:
            transaction, self._transaction = self._transaction, None
            await transaction.rollback()

    async def _run_single(self, database: Database, statement: Statement) -> Reply:
        shape = self._prepared_shape(statement)
        if statement.kind is StatementKind.EXECUTE and shape is None:
            return self._env.refuse(
                statement,
                codes.UNKNOWN_PREPARED,
                "nothing is prepared by this name",
            )
        writes = shape.writes if shape else statement.writes
        if writes:
            return await self._runner.write(database, statement, shape)
        return await self._runner.read(database, statement, shape)

    async def _run_in_transaction(
        self, transaction: Transaction, statement: Statement
    ) -> Reply:
        kind = statement.kind
        if kind is StatementKind.ROLLBACK:
            self._transaction = None
            await transaction.rollback()
            return Reply()
        self._abort_if_withdrawn()
        if transaction.failed:
            return self._reply_after_failure(transaction, statement)
        if kind is StatementKind.COMMIT:
            self._transaction = None
            return await transaction.commit(statement)
        if kind in _LOCAL_KINDS:
            reply = self._run_local(statement)
            reply.state = transaction.state
            return reply
        if kind in (StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY):
            return self._env.refuse(
                statement,
                codes.MALFORMED_STATEMENT,
                "a transaction is open already",
                transaction.state,
            )
        shape = self._prepared_shape(statement)
        if kind is StatementKind.EXECUTE and shape is None:
            return self._env.refuse(
                statement,
                codes.UNKNOWN_PREPARED,
                "nothing is prepared by this name",
                transaction.state,
            )
        reply = await transaction.run(statement, shape)
        if transaction.failed:
            reply.state = TransactionState.FAILED
        return reply

    def _reply_after_failure(
        self, transaction: Transaction, statement: Statement
    ) -> Reply:
        if statement.kind is StatementKind.COMMIT:
            self._transaction = None
            return self._env.refuse(
                statement,
                codes.TRANSACTION_ABORTED,
                transaction.abort_reason
                or "the transaction had failed and was rolled back",
            )
        if transaction.abort_reason:
            reason, transaction.abort_reason = transaction.abort_reason, ""
            return self._env.refuse(
                statement, codes.TRANSACTION_ABORTED, reason, transaction.state
            )
        return self._env.refuse(
            statement,
            codes.MALFORMED_STATEMENT,
            "the transaction has failed; roll it back",
            transaction.state,
        )

    def _prepared_shape(self, statement: Statement) -> PreparedShape | None:
        if statement.kind is not StatementKind.EXECUTE:
            return None
        return self._context.prepared.get(statement.name)

    def _run_local(self, statement: Statement) -> Reply:
        context = self._context
        if statement.kind is StatementKind.SET_VALUE:
            context.values[statement.name] = statement.value
        elif statement.kind is StatementKind.PREPARE:
            shape = PreparedShape(statement.writes, statement.shape)
            context.prepared[statement.name] = shape
        else:
            context.prepared.pop(statement.name, None)
        return Reply()


# Statements that only change the session's own state and need no target.
_LOCAL_KINDS = frozenset(
    {StatementKind.SET_VALUE, StatementKind.PREPARE, StatementKind.DEALLOCATE}
)
