"""State and policies that the sessions of one daemon share."""

from __future__ import annotations

import math
from collections.abc import Callable

from fennelhill_core import codes
from fennelhill_core.clock import Clock
from fennelhill_core.codes import CODES, Code
from fennelhill_core.events import EventLog
from fennelhill_core.tokens import Position

from fennelhilld.admission.order import QueuedRequest
from fennelhilld.admission.policies import LoadPolicies
from fennelhilld.catalog.state import CatalogHolder, Database, ReadKind
from fennelhilld.freshness.positions import MinimumPosition
from fennelhilld.freshness.sharing import SampleSource
from fennelhilld.leader_lease.renewal import LeaseRenewal
from fennelhilld.leader_lease.state import LeaderAccess
from fennelhilld.leadership.expectation import ReplacementExpectation
from fennelhilld.links.lease import Exchange, Lease
from fennelhilld.links.messages import LinkRefusedError, TargetAnswer, TargetFault
from fennelhilld.links.state import SessionContext
from fennelhilld.placement.state import GroupState, ResponseTimes, TargetState
from fennelhilld.quotas.operation import NoQuotas, PermitSource, QuotaRefusal
from fennelhilld.statements.counters import StatementCounters
from fennelhilld.statements.messages import Reply, Statement, TransactionState

# Pause before a retry at a busy target, which works through its queue in some tens of
# milliseconds.
BUSY_RETRY_DELAY_MS = 8.0
# Interval between checks for a leader; a change wakes waiting statements at once.
LEADER_RECHECK_MS = 100.0
# A deadline on this host is this much earlier than the client's, so that the answer
# reaches the client in time.
DEADLINE_MARGIN_MS = 20.0
# With less time left nothing is sent: no exchange is that short, and timers have no
# finer resolution.
MIN_REMAINING_MS = 1.0
# A leader is replaced within about two seconds.  After that, while something still
# keeps the fleet from replacing it, statements are refused at once.
FAIL_FAST_AFTER_MS = 2_000.0
# Longest wait for a link to one target before another target is tried; a link should
# become free after a few statements.
READ_LINK_WAIT_MS = 150.0
# A missing answer counts as a failure of the target only if its time-out was at least
# this long: a queue in the target takes 100 to 150 ms.
MIN_ANSWER_TIME_MS = 250.0
# Longest wait of a statement for the first lease of a host, or for a new one after an
# expiry.  A renewal takes some milliseconds; one that fails is known by then.
LEASE_WAIT_MS = 400.0
# Longest wait of an answered write for the proof that its answer counts.
ANSWER_PROOF_WAIT_MS = 250.0
# Suggested delay before a retry, by number of the result code.  A promotion takes a
# little over a second, a queue in a target or for a link some tens of milliseconds;
# another host can be tried at once.
RETRY_HINTS_MS = {
    codes.NO_PRIMARY.number: 600,
    codes.OVERLOADED.number: 50,
    codes.CONNECTIONS_EXHAUSTED.number: 100,
    codes.OWNER_UNREACHABLE.number: 0,
    codes.LEADER_UNPROVEN.number: 0,
    codes.CATALOG_OUTDATED.number: 0,
    codes.QUOTA_UNAVAILABLE.number: 100,
}


class Environment:
    """Groups, catalog, clock, log and load policies of a daemon's sessions.

    Parameters
    ----------
    zone : str
        Availability zone of this host.
    catalog : CatalogHolder
        Holds the configuration in force.
    groups : dict
        `GroupState` by name.
    clock : Clock
        Source of time.
    events : EventLog
        Log of decisions.
    policies : LoadPolicies
        Policies for queueing, load shedding and placement.
    access : LeaderAccess
        Decides whether a group's leader may be used.
    renewal : LeaseRenewal
        Renews the lease under which leaders are used.
    """

    def __init__(
        self,
        zone: str,
        catalog: CatalogHolder,
        groups: dict[str, GroupState],
        clock: Clock,
        events: EventLog,
        policies: LoadPolicies,
        access: LeaderAccess,
        renewal: LeaseRenewal,
    ) -> None:
        self.zone = zone
        self.catalog = catalog
        self.groups = groups
        self.clock = clock
        self.events = events
        self.policies = policies
        self.access = access
        self.renewal = renewal
        self.counters = StatementCounters()
        self.response_times = ResponseTimes()
        self.leaving = False
        # Gives permits of organisations with a limit; set by the gateway.
        self.quotas: PermitSource = NoQuotas()
        # Fetches positions of leaders; None if this host sees enough of them itself.
        self.samples: SampleSource | None = None
        # Returns an organisation's share of the load, from 0 to 1.
        self.organisation_share: Callable[[str], float] = lambda organisation: 0.0
        self.is_cut_off: Callable[[], bool] = lambda: False
        # Milliseconds until clients that connect again reach hosts that are not cut
        # off; 0 if they do already.
        self.clients_leave_in_ms: Callable[[], float] = lambda: 0.0
        # Whether the catalog was not confirmed for longer than the settings allow.
        self.is_catalog_outdated: Callable[[], bool] = lambda: False
        # Whether hosts are silent whose leases a replacement has to wait for.
        self.hosts_silent: Callable[[], bool] = lambda: False
        self.expectation = ReplacementExpectation()
        self.on_leader_suspected: Callable[[GroupState], None] = lambda group: None

    def group(self, name: str) -> GroupState:
        """Return a group's state, created on first use.

        Parameters
        ----------
        name : str
            Name of the group.

        Returns
        -------
        GroupState
            The state.
        """
        state = self.groups.get(name)
        if state is None:

            def record_event(kind: str, **detail: object) -> None:
                self.events.record(kind, group=name, **detail)

            state = self.groups[name] = GroupState(
                name, record_event, self.policies.placement
            )
        return state

    def leader_unavailable(self, group: GroupState, left_ms: float = math.inf) -> bool:
        """Return whether a statement should not wait for a group's leader.

        Parameters
        ----------
        group : GroupState
            The group.
        left_ms : float
            Longest time that the statement can wait, in milliseconds.

        Returns
        -------
        bool
            True if this host has no lease and could not renew it, if the leader has
            been leaving for too long and is not being replaced, if it is lost or
            unknown while this host is cut off from the fleet, if it has been lost for
            `FAIL_FAST_AFTER_MS` and can't be replaced now, or if its replacement is
            expected to take longer than the statement can wait.
        """
        if self.leader_drained(group):
            return True
        if self._lease_lost() or self.replacement_ms(group) > left_ms:
            return True
        leadership = group.leadership
        if leadership.failing_since_ms is None and group.leader() is not None:
            return False
        if self.is_cut_off():
            return True
        if not leadership.obstacle or leadership.failing_since_ms is None:
            return False
        lost_ms = self.clock.now_ms() - leadership.failing_since_ms
        return lost_ms >= FAIL_FAST_AFTER_MS

    def leader_drained(self, group: GroupState) -> bool:
        """Return whether a leader takes no new statements, and none follows it yet.

        Parameters
        ----------
        group : GroupState
            The group.

        Returns
        -------
        bool
            True if it has been leaving for too long, and is not being replaced.
        """
        return group.leadership.fence is None and self.access.drained(group)

    def leader_unavailable_reason(self, group: GroupState) -> tuple[Code, str]:
        """Return why a statement should not wait for a group's leader.

        Parameters
        ----------
        group : GroupState
            The group.

        Returns
        -------
        code : Code
            A result code that guarantees that nothing has run.
        detail : str
            Human-readable reason, with advice if there is something to try.
        """
        if self._lease_lost():
            detail = "this host can't prove that the leader still leads; connect again"
            return codes.LEADER_UNPROVEN, detail
        if self.is_cut_off():
            detail = "this host is cut off from the leader; connect again"
            return codes.OWNER_UNREACHABLE, detail
        obstacle = group.leadership.obstacle or "its replacement takes too long"
        if self.leader_drained(group):
            detail = "the leader is leaving and takes no new statements, and "
            return codes.NO_PRIMARY, detail + obstacle
        return codes.NO_PRIMARY, f"the leader is lost, and {obstacle}"

    @property
    def catalog_outdated(self) -> bool:
        """Whether withdrawn keys may still be in force, so that operations must wait.

        It never holds without organisations, whose keys could be withdrawn.
        """
        catalog = self.catalog.current
        return (
            catalog is not None
            and catalog.organisations is not None
            and self.is_catalog_outdated()
        )

    def refuse_leader_unavailable(
        self, statement: Statement, group: GroupState
    ) -> Reply:
        """Refuse a statement because the leader of its group is unavailable.

        Parameters
        ----------
        statement : Statement
            The statement.
        group : GroupState
            The group.

        Returns
        -------
        Reply
            The failure.
        """
        code, detail = self.leader_unavailable_reason(group)
        return self.refuse(
            statement,
            code,
            detail,
            group=group.name,
            retry_ms=self.retry_ms(code, group),
            **self.lease_inputs(group),
        )

    def retry_ms(self, code: Code, group: GroupState) -> float | None:
        """Return when a statement that was refused for want of a leader may be retried.

        Parameters
        ----------
        code : Code
            Its result code.
        group : GroupState
            The group.

        Returns
        -------
        float or None
            Milliseconds; None for the default of the code.  While this host is cut off
            and the load balancer still sends clients here, their next connection would
            be refused too; after that another host may be tried at once.
        """
        if code is codes.NO_PRIMARY:
            return self.replacement_ms(group)
        return self.clients_leave_in_ms() or None

    def replacement_ms(self, group: GroupState) -> float:
        """Return how long the replacement of a group's leader is expected to take.

        Parameters
        ----------
        group : GroupState
            The group.

        Returns
        -------
        float
            Milliseconds; 0 if the leader is not known to be lost, or if no host is
            silent: it is then replaced within the time limit of most statements.
        """
        if not self.hosts_silent():
            return 0.0
        leader = group.leader()
        # A leader that said itself that it does not lead has been replaced already.
        lost = leader is not None and leader.pool.relayed and leader.pool.unreachable
        if not lost and group.leadership.fence is None:
            return 0.0
        return self.expectation.remaining_ms(group.leadership, self.clock.now_ms())

    def lease_inputs(self, group: GroupState) -> dict[str, object]:
        """Return what decides whether a leader may be used, for a log line.

        Parameters
        ----------
        group : GroupState
            The group.

        Returns
        -------
        dict
            The leader and its term, age and source of the lease's proof, and the
            version of the open claim, if any.
        """
        leadership = group.leadership
        lease = self.access.lease
        return {
            "leader": leadership.leader_id,
            "leader_term": leadership.term,
            "lease_age_ms": _round_finite(lease.age_ms),
            "lease_source": lease.source,
            "open_claim": leadership.fence and leadership.fence.claim_version,
        }

    def _lease_lost(self) -> bool:
        return self.renewal.failing and not self.access.lease.valid_at(
            self.clock.boottime_ms()
        )

    async def leader_usable(self, group: GroupState, limit_ms: float) -> bool:
        """Return whether the leader may be used now, after a renewal if necessary.

        If it may not, this first waits for the lease or for a change of the leader.

        Parameters
        ----------
        group : GroupState
            The group.
        limit_ms : float
            Longest wait in milliseconds.

        Returns
        -------
        bool
            Whether writes and current reads may be sent to the leader now.
        """
        self.renewal.use()
        if self.access.may_begin(group):
            return True
        if group.leader() is None or group.leadership.fence is not None:
            limit_ms = min(limit_ms, LEADER_RECHECK_MS)
            await group.leadership.wait_for_change(limit_ms)
        elif not await self.renewal.ensure(min(limit_ms, LEASE_WAIT_MS)):
            await self.clock.sleep_ms(min(limit_ms, BUSY_RETRY_DELAY_MS))
        return self.access.may_begin(group)

    async def answer_counts(self, group: GroupState, target: TargetState) -> bool:
        """Return whether a write that a target has just answered is committed for good.

        The answer counts if the target is proven to have led the group until now.

        Parameters
        ----------
        group : GroupState
            The group.
        target : TargetState
            The target.

        Returns
        -------
        bool
            False if the target may have been replaced before it committed.
        """
        answered_ms = self.clock.boottime_ms()
        if self.access.covers(group, target.entry.id, answered_ms):
            return True
        if group.leadership.fence is None:
            # The next proof may show that no claim was made until the answer.
            await self.renewal.ensure(ANSWER_PROOF_WAIT_MS)
        return self.access.covers(group, target.entry.id, answered_ms)

    def wait_failure_code(self, group: GroupState) -> Code:
        """Return the result code of a statement that could not be sent in time.

        Parameters
        ----------
        group : GroupState
            The group.

        Returns
        -------
        Code
            `NO_PRIMARY` if the leader is lost or unknown, else `OVERLOADED`.
        """
        failing = group.leadership.failing_since_ms is not None
        if failing or group.leader() is None:
            return codes.NO_PRIMARY
        return codes.OVERLOADED

    def deadline_ms(self, database: Database) -> float:
        """Return the deadline of a statement that starts now.

        Parameters
        ----------
        database : Database
            Gives the time-out of statements.

        Returns
        -------
        float
            Time on this host's clock, a little before the client's deadline.
        """
        return self.clock.now_ms() + database.statement_timeout_ms - DEADLINE_MARGIN_MS

    def queued_request(
        self,
        database: Database,
        started_ms: float,
        limit_ms: float,
        organisation: str = "",
    ) -> QueuedRequest:
        """Build the queued request of a statement that needs a link.

        Parameters
        ----------
        database : Database
            Gives the priority and the latency objective.
        started_ms : float
            When the statement arrived, on this host's clock.
        limit_ms : float
            Longest wait for a link, in milliseconds.
        organisation : str
            Organisation that the statement is run for; empty if none.

        Returns
        -------
        QueuedRequest
            The request for the pool.
        """
        due_ms = started_ms + database.goal_ms
        give_up_ms = self.clock.now_ms() + limit_ms
        return QueuedRequest(database.priority, due_ms, give_up_ms, organisation)

    async def lease_link(
        self,
        target: TargetState,
        context: SessionContext,
        request: QueuedRequest,
        own_links: bool = False,
    ) -> Lease | None:
        """Lease a link to a target.

        Parameters
        ----------
        target : TargetState
            The target.
        context : SessionContext
            State of the session.
        request : QueuedRequest
            Its priority, due time and the end of its wait.
        own_links : bool
            Whether an owner must use its own links to the target.

        Returns
        -------
        Lease or None
            None if no connection to the target could be opened, or if it has been
            leaving for too long.

        Raises
        ------
        NoLinkError
            If no link became available in time, or none is expected to.
        """
        if self.clock.boottime_ms() >= target.use_until_ms:
            return None
        pool = target.pool if own_links else target.pool_for(request.organisation)
        try:
            link = await pool.acquire(context, request)
        except LinkRefusedError as error:
            self.record_target_failure(target, str(error))
            return None
        if self.clock.boottime_ms() >= target.use_until_ms:
            pool.release(link)  # The wait for it took too long.
            return None
        return Lease(
            pool,
            link,
            self.clock,
            lambda sent_ms: self.record_overdue_answer(target, sent_ms),
            request,
        )

    def minimum_read_position(
        self, group: GroupState, database: Database, own_commit: Position | None
    ) -> MinimumPosition | None:
        """Return the position that a replica must have applied to serve a read now.

        Parameters
        ----------
        group : GroupState
            The group.
        database : Database
            Its configuration says how stale a read may be.
        own_commit : Position or None
            The session's own last commit in the group.

        Returns
        -------
        MinimumPosition or None
            None if only the leader may answer.
        """
        if database.reads is ReadKind.CURRENT:
            return None
        return group.freshness.minimum_position(
            self.clock.boottime_ms(),
            database.max_age_ms,
            own_commit if database.reads is ReadKind.OWN_WRITES else None,
        )

    async def prepare_read(self, group: GroupState, database: Database) -> None:
        """Get a position of the leader for a read that may be served by a replica.

        Parameters
        ----------
        group : GroupState
            The group.
        database : Database
            Its configuration says how stale a read may be.
        """
        if database.reads is ReadKind.CURRENT or self.samples is None:
            return
        if self.minimum_read_position(group, database, None) is None:
            await self.samples.fetch(group)
        else:
            self.samples.keep_fresh(group, database.max_age_ms)

    def record_leader_answer(
        self,
        group: GroupState,
        target: TargetState,
        exchange: Exchange,
        answer: TargetAnswer,
    ) -> None:
        """Update freshness and leadership from an answer that only a leader gives.

        Parameters
        ----------
        group : GroupState
            The group.
        target : TargetState
            The target that answered.
        exchange : Exchange
            The exchange, for its sending time and duration.
        answer : TargetAnswer
            The answer.
        """
        if answer.position is None or not self.access.covers(
            group, target.entry.id, exchange.sent_boottime_ms
        ):
            # A leader that may have been replaced says nothing about newer commits.
            return
        group.freshness.add_sample(exchange.sent_boottime_ms, answer.position)
        group.leadership.confirm_leader(
            target.entry.id,
            answer.position.term,
            self.clock.now_ms() - exchange.took_ms,
        )

    def record_replica_answer(
        self,
        group: GroupState,
        target: TargetState,
        answer: TargetAnswer,
        minimum: MinimumPosition,
    ) -> None:
        """Update a replica's lag estimate from its answer to a read; count refusals.

        Parameters
        ----------
        group : GroupState
            The group.
        target : TargetState
            The target that answered.
        answer : TargetAnswer
            The answer, which may be a refusal.
        minimum : MinimumPosition
            Position that a replica must have applied to serve the read.
        """
        now_ms = self.clock.now_ms()
        measured_ms = 0.0
        if answer.position is not None:
            boottime_ms = self.clock.boottime_ms()
            measured_ms = group.freshness.log_lag_ms(answer.position, boottime_ms)
        if answer.fault is TargetFault.BEHIND:
            self.counters.replica_refusals += 1
            target.lag.record_refusal(minimum.age_ms, measured_ms, now_ms)
        elif answer.fault is None:
            target.lag.record_answer(measured_ms, now_ms)

    def record_overdue_answer(self, target: TargetState, sent_ms: float) -> None:
        """Suspect a target with an overdue answer, unless it has answered since.

        An answer on any of its links counts.

        Parameters
        ----------
        target : TargetState
            The target.
        sent_ms : float
            When the unanswered batch was sent, on this host's clock.
        """
        if target.answered_after(sent_ms):
            return
        target.avoid(self.clock.now_ms())
        self._suspect(target, "an answer is overdue")

    def record_lost_link(
        self, target: TargetState, lease: Lease, reason: str, answer_timeout_ms: float
    ) -> None:
        """Record a failure of a target after a link to it was lost.

        Nothing is recorded if the answer had less than `MIN_ANSWER_TIME_MS` to arrive,
        or if the target has answered on another link since.  In the latter case only
        this link is replaced: setting up all links again would occupy slots that
        statements need.

        Parameters
        ----------
        target : TargetState
            The target.
        lease : Lease
            The lease of the lost link.
        reason : str
            Human-readable reason.
        answer_timeout_ms : float
            Time-out that was set for the answer, in milliseconds.
        """
        if answer_timeout_ms < MIN_ANSWER_TIME_MS or target.answered_after(
            lease.sent_at_ms
        ):
            return
        lease.pool.mark_unreachable()
        self.record_target_failure(target, reason)

    def record_target_failure(self, target: TargetState, reason: str) -> None:
        """Record that a target refused a connection or that a link to it was lost.

        Parameters
        ----------
        target : TargetState
            The target.
        reason : str
            Human-readable reason.
        """
        target.avoid(self.clock.now_ms())
        self._suspect(target, reason)

    def _suspect(self, target: TargetState, reason: str) -> None:
        now_ms = self.clock.now_ms()
        group = self.group(target.entry.group)
        if group.leadership.record_failure(target.entry.id, now_ms):
            self.events.record(
                "leadership.suspected",
                group=target.entry.group,
                term=group.leadership.term,
                target=target.entry.id,
                reason=reason,
                last_proven_ms_ago=_round_finite(
                    now_ms - group.leadership.confirmed_ms
                ),
            )
            self.on_leader_suspected(group)

    def refuse(
        self,
        statement: Statement,
        code: Code,
        detail: str = "",
        state: TransactionState = TransactionState.IDLE,
        group: str = "",
        retry_ms: float | None = None,
        **inputs: object,
    ) -> Reply:
        """Build the reply to a statement that is refused or has failed, and log why.

        Parameters
        ----------
        statement : Statement
            The statement.
        code : Code
            Result code; it says whether the statement may have run.
        detail : str
            Human-readable reason.
        state : TransactionState
            State of the session afterwards.
        group : str
            Database group of the statement; empty if none is known.
        retry_ms : float or None
            Suggested delay before a retry; the default of the code if None or 0.
        **inputs : object
            Values that led to the decision, as further fields of the log line.

        Returns
        -------
        Reply
            The failure.
        """
        hint_ms = retry_ms or RETRY_HINTS_MS.get(code.number)
        if hint_ms is not None:
            detail = f"{detail}; try again in {hint_ms:.0f} ms"
        self.counters.record_failure(code.number)
        if code is codes.LEADER_UNPROVEN:
            self.renewal.record_refusal()
        self.events.record(
            "request.refused",
            group=group,
            request=statement.request_id,
            code=code.number,
            name=code.name,
            reason=detail,
            catalog_version=self.catalog.version,
            **inputs,
        )
        return Reply(code=CODES[code.number], detail=detail, state=state)

    def refuse_over_quota(
        self,
        statement: Statement,
        refusal: QuotaRefusal,
        organisation: str,
        group: str,
        state: TransactionState = TransactionState.IDLE,
    ) -> Reply:
        """Refuse a statement because its organisation gets no permit.

        Parameters
        ----------
        statement : Statement
            The statement; it has not run.
        refusal : QuotaRefusal
            Why there is no permit.
        organisation : str
            The organisation.
        group : str
            Database group of the statement.
        state : TransactionState
            State of the session afterwards.

        Returns
        -------
        Reply
            The failure.
        """
        return self.refuse(
            statement,
            refusal.code,
            refusal.code.caller.partition(";")[0],
            state,
            group,
            retry_ms=refusal.retry_ms,
            organisation=organisation,
            hint_ms=round(refusal.retry_ms),
            **self._limit_inputs(organisation),
        )

    def _limit_inputs(self, organisation: str) -> dict[str, object]:
        """Return an organisation's limit in force, for a log line."""
        catalog = self.catalog.current
        known = ((catalog and catalog.organisations) or {}).get(organisation)
        if known is None:
            return {}
        return {"operations_per_s": known.operations_per_s, "burst": known.burst}

    def record_retry(
        self, statement: Statement, target: TargetState, reason: str
    ) -> None:
        """Count and log that a statement which had no effect is sent again.

        Parameters
        ----------
        statement : Statement
            The statement.
        target : TargetState
            The target at which it failed.
        reason : str
            Human-readable reason.
        """
        self.counters.retried += 1
        self.events.record(
            "request.retried",
            group=target.entry.group,
            request=statement.request_id,
            target=target.entry.id,
            reason=reason,
        )


def _round_finite(span_ms: float) -> int | None:
    return None if math.isinf(span_ms) else round(span_ms)


def describe_fault(answer: TargetAnswer) -> str:
    """Describe why a target refused or failed a command.

    Parameters
    ----------
    answer : TargetAnswer
        The answer.

    Returns
    -------
    str
        The fault and the target's own message, for the log and for replies.
    """
    fault = answer.fault or TargetFault.OTHER
    return f"{fault.value} {answer.detail}".strip()
