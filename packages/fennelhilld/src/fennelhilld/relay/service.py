"""Runs the commands of other hosts on the links of an owner."""

from __future__ import annotations

from functools import partial

import msgspec
from fennelhill_core.documents import decode_json
from fennelhill_core.rpc import RpcServer
from fennelhill_core.streams import Stream

from fennelhilld.admission.forwarding import RETURN_MS, longest_wait_ms
from fennelhilld.admission.order import QueuedRequest
from fennelhilld.links.lease import Lease
from fennelhilld.links.messages import (
    ENDED_FOR_OTHERS,
    Command,
    CommandKind,
    LinkLostError,
    NoLinkError,
    TargetAnswer,
    TargetFault,
)
from fennelhilld.links.state import PreparedShape, SessionContext
from fennelhilld.placement.state import TargetState
from fennelhilld.relay.messages import (
    CLOSE,
    PING,
    RUN,
    LoadReport,
    RelayBatch,
    RelayClose,
    RelayResult,
)
from fennelhilld.statements.environment import Environment
from fennelhilld.statements.messages import TransactionState

# Least time until a request is due for which a wait is reported, in service times: with
# less it would count as late.
DUE_IN_SERVICE_TIMES = 3.0
# How often a host that stops looks whether it has answered everything.
DRAIN_CHECK_INTERVAL_MS = 10.0
ENDED_BY_STOP = (
    "the owner of the connection is stopping; the transaction was rolled back"
)


class RelayService:
    """Serves the streams of other hosts.

    Parameters
    ----------
    env : Environment
        Groups, clock and log of this host.
    """

    __slots__ = ("_env", "_sessions", "closing", "ends_transactions")

    def __init__(self, env: Environment) -> None:
        self._env = env
        # Whether batches that don't continue a transaction are sent back as not run.
        self.closing = False
        # Whether open transactions are rolled back behind their next answer.
        self.ends_transactions = False
        self._sessions: set[_RelaySession] = set()

    async def drain(self, transactions_ms: float, limit_ms: float) -> None:
        """Finish what other hosts have sent, and take on nothing new.

        Without it, a planned stop of an owner leaves the outcome of the writes that run
        on its links unknown to the hosts that sent them.

        Parameters
        ----------
        transactions_ms : float
            Longest wait for the open transactions of other hosts, in milliseconds.
            Then they are rolled back, which their next batches are told.
        limit_ms : float
            Longest wait for the answers to batches, in milliseconds.
        """
        self.closing = True
        clock = self._env.clock
        started_ms = clock.now_ms()
        while (elapsed_ms := clock.now_ms() - started_ms) < limit_ms:
            if elapsed_ms >= transactions_ms:
                self.ends_transactions = True
                for session in self._sessions:
                    session.end_transactions()
            if not any(
                session.running or session.in_transaction for session in self._sessions
            ):
                return
            await clock.sleep_ms(DRAIN_CHECK_INTERVAL_MS)

    async def serve(self, stream: Stream) -> None:
        """Serve a stream until it ends; its open transactions are then rolled back.

        Parameters
        ----------
        stream : Stream
            The accepted stream.
        """
        session = _RelaySession(self._env, self)
        self._sessions.add(session)
        try:
            handlers = {RUN: session.run, CLOSE: session.close, PING: session.ping}
            await RpcServer(handlers).serve(stream)
        finally:
            self._sessions.discard(session)
            session.close_all()


class _RelaySession:
    """The open transactions of one other host."""

    def __init__(self, env: Environment, service: RelayService) -> None:
        self._env = env
        self._service = service
        # Links with an open transaction, by number.
        self._leases: dict[int, tuple[TargetState, Lease]] = {}
        # Numbers of links on which a batch runs, and of those closed meanwhile.
        self._running: set[int] = set()
        self._closed: set[int] = set()
        # Why the transaction of a link was rolled back here, until its next batch.
        self._rolled_back: dict[int, str] = {}
        self._ended = False

    @property
    def running(self) -> bool:
        """Whether a batch runs."""
        return bool(self._running)

    @property
    def in_transaction(self) -> bool:
        """Whether a transaction is open between two batches."""
        return bool(self._leases)

    async def run(self, params: msgspec.Raw) -> RelayResult:
        batch = decode_json(params, RelayBatch)
        if self._service.closing and not batch.in_transaction:
            return RelayResult(error="the owner is stopping", not_run=True)
        # The asking host waits no longer than this.
        deadline_ms = self._env.clock.now_ms() + batch.limit_ms
        self._running.add(batch.link)
        try:
            result = await self._run(batch, deadline_ms)
            result.load = self._report(batch)
            return result
        finally:
            self._running.discard(batch.link)
            self._closed.discard(batch.link)

    async def _run(self, batch: RelayBatch, deadline_ms: float) -> RelayResult:
        if batch.in_transaction:
            held = self._leases.pop(batch.link, None)
            if held is None and batch.link in self._rolled_back:
                reason = self._rolled_back.pop(batch.link)
                return RelayResult(
                    [_after_rollback(item, reason) for item in batch.commands]
                )
            if held is None:
                return RelayResult(error="the transaction's link was lost")
            target, lease = held
        else:
            target = self._target(batch)
            if target is None:
                return RelayResult(error="unknown target", not_run=True)
            if batch.organisation and not (
                target.pool.relayed or target.pool.by_organisation
            ):
                # Its links are nobody's until the catalog names organisations.
                return RelayResult(error="unknown organisation", not_run=True)
            try:
                lease = await self._lease(target, batch)
            except NoLinkError as error:
                return RelayResult(
                    error=str(error), not_run=True, expected_ms=error.expected_ms
                )
            if lease is None:
                return RelayResult(error="the target can't be reached", not_run=True)
            if deadline_ms - self._env.clock.now_ms() <= RETURN_MS:
                # A link that was still to be opened came too late.
                lease.release()
                return RelayResult(
                    error="no link in time", not_run=True, expected_ms=0.0
                )
        return await self._exchange(batch, target, lease, deadline_ms)

    def _report(self, batch: RelayBatch) -> LoadReport | None:
        target = self._target(batch)
        if target is None:
            return None
        pool = target.pool
        # A late request waits for all others; the next one need not be late.
        due_in_ms = max(batch.due_in_ms, DUE_IN_SERVICE_TIMES * pool.mean_response_ms)
        due_ms = self._env.clock.now_ms() + due_in_ms
        request = QueuedRequest(batch.priority, due_ms, due_ms, batch.organisation)
        return LoadReport(
            pool.waiting,
            round(pool.expected_wait_ms(request), 1),
            round(pool.mean_response_ms, 1),
        )

    async def close(self, params: msgspec.Raw) -> RelayResult:
        call = decode_json(params, RelayClose)
        held = self._leases.pop(call.link, None)
        self._rolled_back.pop(call.link, None)
        if held is not None:
            held[1].discard()
        elif call.link in self._running:
            self._closed.add(call.link)
        return RelayResult()

    async def ping(self, params: msgspec.Raw) -> RelayResult:
        return RelayResult()

    def _end_for_others(self, batch: RelayBatch) -> None:
        """Roll back because other organisations wait for the link's place."""
        _, lease = self._leases.pop(batch.link)
        self._rolled_back[batch.link] = ENDED_FOR_OTHERS
        self._env.events.record(
            "transaction.ended",
            group=batch.group,
            target=batch.target_id,
            organisation=batch.organisation,
        )
        lease.discard()

    def end_transactions(self) -> None:
        """Roll back the open transactions that run no batch."""
        for link in list(self._leases):
            target, lease = self._leases.pop(link)
            self._roll_back_for_stop(link, target, lease)

    def _roll_back_for_stop(self, link: int, target: TargetState, lease: Lease) -> None:
        self._rolled_back[link] = ENDED_BY_STOP
        self._env.events.record(
            "relay.transaction_ended",
            group=target.entry.group,
            target=target.entry.id,
            reason=ENDED_BY_STOP,
        )
        lease.discard()

    def close_all(self) -> None:
        self._ended = True
        for _, lease in self._leases.values():
            lease.discard()
        self._leases.clear()

    def _target(self, batch: RelayBatch) -> TargetState | None:
        group = self._env.groups.get(batch.group)
        return group.targets.get(batch.target_id) if group else None

    async def _lease(self, target: TargetState, batch: RelayBatch) -> Lease | None:
        now_ms = self._env.clock.now_ms()
        request = QueuedRequest(
            batch.priority,
            now_ms + batch.due_in_ms,
            now_ms
            + min(
                batch.wait_ms,
                longest_wait_ms(batch.limit_ms, target.pool.mean_response_ms),
            ),
            batch.organisation,
        )
        # Another owner has sent what its own links don't serve: not sent on again.
        return await self._env.lease_link(
            target, _context(batch), request, own_links=True
        )

    async def _exchange(
        self,
        batch: RelayBatch,
        target: TargetState,
        lease: Lease,
        deadline_ms: float,
    ) -> RelayResult:
        env = self._env
        shape = PreparedShape(batch.shape_writes, batch.shape) if batch.shape else None
        group = env.group(batch.group)
        if group.leader() is target:
            # Under a lease its answers are samples, which other hosts ask for.
            env.renewal.use()
        commands = lease.link.replay(_context(batch), shape)
        if shape is not None:
            # The sender can't know the name on this link.
            batch.commands[-1].name = lease.link.prepared_name(shape)
        left_ms = deadline_ms - env.clock.now_ms()
        try:
            exchange = await lease.exchange([*commands, *batch.commands], left_ms)
        except LinkLostError as error:
            lease.release()
            env.record_lost_link(target, lease, str(error), left_ms)
            not_run = not lease.sent and not batch.in_transaction
            return RelayResult(error=str(error), not_run=not_run)
        answer = exchange.answers[-1]
        if answer.fault is None:
            env.record_leader_answer(group, target, exchange, answer)
        elif answer.fault is TargetFault.UNKNOWN_PREPARED:
            lease.link.forget_prepared()
        if answer.state is TransactionState.IDLE:
            lease.release()
            return RelayResult(exchange.answers)
        if self._ended or batch.link in self._closed:
            # Nobody would end the transaction.
            lease.discard()
            return RelayResult(error="the link was closed")
        if self._service.ends_transactions:
            self._roll_back_for_stop(batch.link, target, lease)
            return RelayResult(exchange.answers, in_transaction=True)
        self._leases[batch.link] = (target, lease)
        lease.rest(partial(self._end_for_others, batch))
        return RelayResult(exchange.answers, in_transaction=True)


def _after_rollback(command: Command, reason: str) -> TargetAnswer:
    """Answer a command of a transaction that was rolled back here."""
    if command.kind is CommandKind.ROLLBACK:
        return TargetAnswer()
    return TargetAnswer(fault=TargetFault.ABORTED, detail=reason)


def _context(batch: RelayBatch) -> SessionContext:
    context = SessionContext()
    context.values = batch.values
    return context
