"""Replacement of a group's leader that is lost or about to leave."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Awaitable, Callable

import msgspec
from fennelhill_core.clock import MS_PER_S, Clock
from fennelhill_core.events import EventLog
from fennelhill_core.platform import (
    StoreFault,
    StoreUnavailableError,
    StoreVersion,
)
from fennelhill_core.tasks import Tasks

from fennelhilld.directory.state import TargetDirectory
from fennelhilld.leader_lease.fencing import LeaseCollector
from fennelhilld.leader_lease.messages import GroupClaim
from fennelhilld.links.messages import (
    LinkDriver,
    TargetStatus,
)
from fennelhilld.placement.state import GroupState, TargetState
from fennelhilld.promotion.choice import (
    Candidate,
    leader_is_lost,
    logs_needed,
    most_advanced,
    restoring_turn,
    turn_delay_ms,
    with_complete_log,
)
from fennelhilld.promotion.claims import CLAIM_TURN_MS, ClaimCache
from fennelhilld.promotion.messages import (
    Claim,
    ClaimPhase,
    ClaimRow,
    ClaimStore,
    LeaderView,
    Peers,
    PromotionOrders,
    PromotionResult,
    Survey,
)
from fennelhilld.promotion.probing import (
    STATUS_TIMEOUT_MS,
    ProbeResult,
    TargetProber,
)
from fennelhilld.promotion.reach import FleetReach
from fennelhilld.store_era.state import EraWatch

# After this long without answers from half of the fleet, the missing hosts count as
# permanently lost, because network partitions last only seconds.
PEERS_GONE_AFTER_MS = 20_000.0
# The replicas are probed and the other hosts queried only if the leader has not
# confirmed within this time that it leads or is busy.
LEADER_HEAD_START_MS = 80.0
# A promoted target leads some hundred milliseconds after the order.
PROMOTION_TIMEOUT_MS = 3_000.0
PROMOTION_POLL_MS = 60.0
# A replica receives the last commits within a round trip.  One that takes longer is
# cut off from the leader; the most advanced replica that answers is then promoted.
CATCH_UP_TIMEOUT_MS = 1_000.0
CATCH_UP_POLL_MS = 15.0
# An order is repeated if the platform is unavailable or does not answer.  That is
# safe because the fencing token is the same.
MAX_ORDER_ATTEMPTS = 3
ORDER_RETRY_DELAY_MS = 150.0
CLAIM_NONCE_BYTES = 8
# After a claim has been open for this long its holder may have failed; other hosts then
# look whether its target leads.
CLAIM_OVERDUE_MS = 2_000.0
# An old leader that can be reached is demoted within this time.
DEMOTION_HEAD_START_MS = 60.0
# A target that the platform refused to promote is not chosen for this long, unless no
# other one can be.
REFUSED_TARGET_MS = 3_000.0
# A host that could not finish an open claim leaves it to the others for this long.
RELEASED_CLAIM_MS = 1_500.0
TOO_FEW_HOSTS = "too few hosts can be reached to replace it"
TOO_FEW_LOGS = "replicas that may have acknowledged commits do not give their status"
# A claim's end that the store has lost is written again by the claim's holder at once,
# and if it does not, by some other hosts, one after the other.
RESTORE_TURN_MS = 600.0
RESTORING_HOSTS = 3
RESTORE_ATTEMPTS = 3
ERA_CHECK_MS = 100.0

GiveLeaseUp = Callable[[GroupClaim], Awaitable[bool]]


class LeaderReplacement:
    """Checks groups whose leader fails or is leaving, and replaces it if needed.

    Only one host at a time holds the claim on a group.  The version of the claim in
    the store is the fencing token of the host's orders, by which the platform refuses
    a host whose claim has been replaced.  An order that was refused is never repeated
    with the same token.

    The platform may not check tokens, and the old leader may not notice that it was
    replaced.  So before the order, no host may have a lease on the old leader any more,
    and the old leader is demoted if any host reaches it.  An order without an answer
    may be carried out later; until it is, only its target is promoted if possible.

    A store that came back from an older copy may have lost a claim.  Then nothing more
    is ordered under it; if its target leads already, its end is written again.

    Parameters
    ----------
    host : str
        This host.
    directory : TargetDirectory
        Targets that the platform lists.
    collector : LeaseCollector
        Collects the leases of the other hosts.
    driver : LinkDriver
        Opens the links for status probes.
    clock : Clock
        Source of time.
    events : EventLog
        Records the decisions.
    eras : EraWatch
        The newest era of the store that is known.
    """

    def __init__(
        self,
        host: str,
        directory: TargetDirectory,
        collector: LeaseCollector,
        driver: LinkDriver,
        clock: Clock,
        events: EventLog,
        eras: EraWatch,
    ) -> None:
        self._eras = eras
        self.host = host
        self.claims = ClaimCache()
        # Applies a claim that this host has written, and gives its own lease up.
        self.apply_claim: Callable[[str, ClaimRow], None] = lambda group, row: None
        self.give_lease_up: GiveLeaseUp | None = None
        # Returns the hosts that may claim a group; None if all may.
        self.claimants: Callable[[GroupState], set[str] | None] = lambda group: None
        # Returns how many replicas have a commit of a group when it is acknowledged.
        self.sync_replicas: Callable[[str], int] = lambda group: 0
        # Whether this host is shutting down and replaces no more leaders.
        self.leaving = False
        self.store: ClaimStore | None = None
        self.orders: PromotionOrders | None = None
        self.peers: Peers | None = None
        self._directory = directory
        self._collector = collector
        self._refused_ms: dict[str, float] = {}
        # By group: until when this host leaves the open claim to the others.
        self._released_until_ms: dict[str, float] = {}
        self._replacing = 0
        self._clock = clock
        self._events = events
        self.reach = FleetReach(clock, events)
        self.prober = TargetProber(driver, events)
        self._tasks = Tasks()

    @property
    def in_progress(self) -> bool:
        """Whether this host holds a claim and is replacing a leader."""
        return self._replacing > 0

    async def check_leader(self, group: GroupState) -> None:
        """Find the leader of a group, and replace one that is lost or leaving.

        Parameters
        ----------
        group : GroupState
            A group without a leader, or whose leader fails or is leaving.
        """
        leader = group.leader()
        started_ms = self._clock.now_ms()
        held = self.claims.held_by_other(group.name, self.host, started_ms)
        if held or self._has_released(group.name, started_ms):
            await self._look_for_promoted(group, started_ms)
            return
        if leader is None or leader.entry.leaving:
            candidates = await self._probe_candidates(group, leader)
            if self._adopt_new_leader(group, candidates, leader, started_ms):
                return
            survey = await self._survey(group)
            self._update_reach(started_ms, survey)
            await self._replace(group, leader, candidates, survey)
            return
        leader_probe = asyncio.ensure_future(self.prober.probe(leader))
        # None of the leader's owners answers, so it hardly will.
        owners_silent = leader.pool.relayed and leader.pool.unreachable
        head_start_ms = 0.0 if owners_silent else LEADER_HEAD_START_MS
        await asyncio.wait({leader_probe}, timeout=head_start_ms / MS_PER_S)
        if leader_probe.done() and self._confirm_leader(
            group, leader, leader_probe.result(), started_ms
        ):
            return
        candidates, survey, result = await asyncio.gather(
            self._probe_candidates(group, leader),
            self._survey(group),
            leader_probe,
        )
        if self._confirm_leader(group, leader, result, started_ms):
            return
        self._update_reach(started_ms, survey)
        if not self._adopt_new_leader(group, candidates, leader, started_ms):
            await self._replace(group, leader, candidates, survey)

    async def find_leader(self, group: GroupState) -> None:
        """Follow the leader of a group if one of its targets says that it leads.

        Parameters
        ----------
        group : GroupState
            A group whose leader is unknown or being replaced by another host.
        """
        started_ms = self._clock.now_ms()
        if group.leadership.fence is not None:
            await self._look_for_promoted(group, started_ms)
            return
        candidates = await self._probe_candidates(group, None)
        self._adopt_new_leader(group, candidates, None, started_ms)

    async def _look_for_promoted(self, group: GroupState, now_ms: float) -> None:
        """Follow the target of an overdue claim if it leads."""
        if (self.claims.open_for_ms(group.name, now_ms) or 0.0) < CLAIM_OVERDUE_MS:
            return
        fence = group.leadership.fence
        target = group.targets.get(fence.target_id) if fence else None
        if target is None:
            return
        status = await self.status(target)
        if status is not None and status.leads:
            group.leadership.confirm_leader(target.entry.id, status.term, now_ms)

    def _update_reach(self, queried_ms: float, survey: Survey) -> None:
        if self.peers is not None:
            self.reach.update(queried_ms, len(survey.views), survey.queried)

    def _confirm_leader(
        self,
        group: GroupState,
        leader: TargetState,
        result: ProbeResult,
        probed_ms: float,
    ) -> bool:
        """Record a probe of the leader; return whether it still leads or is busy."""
        leadership = group.leadership
        if result.status is None and not result.answered:
            return False
        if result.status is not None:
            if not result.status.leads:
                leadership.record_not_leading(leader.entry.id, probed_ms)
                return False
            if result.status.term < leadership.term:
                self._record(
                    "leadership.term_backwards",
                    group,
                    target=leader.entry.id,
                    reported_term=result.status.term,
                )
                return False
            leadership.confirm_leader(leader.entry.id, result.status.term, probed_ms)
            if leadership.fence is not None:
                return False
        leadership.clear_failure()
        self._record("leadership.confirmed", group, target=leader.entry.id)
        return True

    async def refresh_reach(self) -> None:
        """Query the other hosts, and update whether this host is cut off."""
        if self.peers is not None:
            queried_ms = self._clock.now_ms()
            self._update_reach(queried_ms, await self.peers.survey("", ""))

    async def _survey(self, group: GroupState) -> Survey:
        if self.peers is None:
            return Survey()
        # The leader may be missing in this host's list of targets.
        return await self.peers.survey(group.name, group.leadership.leader_id or "")

    async def status(self, target: TargetState) -> TargetStatus | None:
        """Request a target's status.

        Parameters
        ----------
        target : TargetState
            The target.

        Returns
        -------
        TargetStatus or None
            None if the target is busy or does not answer in time.
        """
        return (await self.prober.probe(target)).status

    async def leader_view(self, group: GroupState, target_id: str) -> LeaderView:
        """Probe a target, and return how this host sees the group's leader.

        Parameters
        ----------
        group : GroupState
            The group.
        target_id : str
            The leader that another host can't reach.

        Returns
        -------
        LeaderView
            Its ``sees`` is the result of the new probe.
        """
        target = group.targets.get(target_id)
        result = (
            await self.prober.probe(target)
            if target is not None
            else ProbeResult(False)
        )
        leadership = group.leadership
        return LeaderView(
            leadership.leader_id or "",
            leadership.term,
            result.answered and (result.status is None or result.status.leads),
            self.host,
            self._eras.fleet_known and bool(group.targets),
        )

    async def _probe_candidates(
        self, group: GroupState, leader: TargetState | None
    ) -> list[Candidate]:
        targets = [target for target in group.targets.values() if target is not leader]
        wait_ms = STATUS_TIMEOUT_MS if self.sync_replicas(group.name) else 0.0
        results = await asyncio.gather(
            *(self.prober.probe(target, wait_ms) for target in targets)
        )
        answers = [result.status for result in results]
        return [
            Candidate(target.entry.id, status, target.entry.cold_ms > 0)
            for target, status in zip(targets, answers, strict=True)
            if status is not None
        ]

    def _adopt_new_leader(
        self,
        group: GroupState,
        candidates: list[Candidate],
        leader: TargetState | None,
        probed_ms: float,
    ) -> bool:
        """Follow a candidate that already leads; return whether there is one.

        It must lead in a newer term than the known leader; if none is known, the newest
        known term is enough.
        """
        leading = [candidate for candidate in candidates if candidate.status.leads]
        newest = max(leading, key=lambda candidate: candidate.status.term, default=None)
        if newest is None or newest.status.term < group.leadership.term:
            return False
        if leader is not None and newest.status.term == group.leadership.term:
            return False
        group.leadership.confirm_leader(newest.target_id, newest.status.term, probed_ms)
        return group.leader() is group.targets.get(newest.target_id)

    async def demote(self, target: TargetState, term: int) -> bool:
        """Make a target a replica if it leads in an earlier term.

        Parameters
        ----------
        target : TargetState
            The target.
        term : int
            The next term.

        Returns
        -------
        bool
            Whether the target has confirmed that it does not lead.
        """
        status = await self.prober.demote(target, term)
        return status is not None and not status.leads

    async def _replace(
        self,
        group: GroupState,
        leader: TargetState | None,
        candidates: list[Candidate],
        survey: Survey,
    ) -> None:
        name = group.name
        planned = leader is not None and leader.entry.leaving
        eligible = [
            candidate
            for candidate in candidates
            if not group.targets[candidate.target_id].entry.leaving
            and not self._directory.is_removed(candidate.target_id)
        ]
        if not planned and self.sync_replicas(name):
            eligible = self._without_lost_commits(group, candidates, eligible)
        if self.leaving:
            return  # The other hosts finish what this one may not have time for.
        if not eligible or self.store is None or self.orders is None:
            reason = (
                TOO_FEW_LOGS
                if candidates and self.sync_replicas(name)
                else "no usable replica can be reached"
            )
            group.leadership.obstacle = reason
            self._record("promotion.impossible", group, reason=reason)
            return
        if self.claims.held_by_other(name, self.host, self._clock.now_ms()):
            return
        if not self._eras.may_vouch:
            # This host may have forgotten an open claim, and may not know all hosts.
            reason = (
                "this host has started in a new era of the store"
                if self._eras.fleet_known
                else "this host has not read the store since its start"
            )
            group.leadership.obstacle = reason
            self._record("promotion.impossible", group, reason=reason)
            return
        if not planned and not self._fleet_confirms_loss(group, survey):
            if leader is None or not self._must_finish_claim(group, survey):
                return
            # The leader still answers, so nothing that it has acknowledged is lost.
            planned = True
        if not self.reach.has_majority:
            group.leadership.obstacle = TOO_FEW_HOSTS
            self._record("promotion.impossible", group, reason=TOO_FEW_HOSTS)
            return
        peer_names = [view.host for view in survey.views]
        if planned or leader is None:
            peer_names = self.peers.names() if self.peers else []
        claimants = self.claimants(group)
        if claimants is not None:
            peer_names = [peer for peer in peer_names if peer in claimants]
        await self._clock.sleep_ms(turn_delay_ms(self.host, peer_names, name))
        now_ms = self._clock.now_ms()
        changed = group.leader() is not leader
        if changed or self.claims.held_by_other(name, self.host, now_ms):
            return
        chosen = self._choose(name, eligible)
        if chosen is None:
            return
        self._replacing += 1
        try:
            await self._claim_and_promote(group, leader, chosen, eligible, planned)
        finally:
            self._replacing -= 1

    def _without_lost_commits(
        self, group: GroupState, known: list[Candidate], eligible: list[Candidate]
    ) -> list[Candidate]:
        """Return the targets that have all acknowledged commits.

        One that is leaving, and has some that no other has, is promoted and then
        replaced as any leader that leaves.

        Parameters
        ----------
        group : GroupState
            A group whose leader waits for replicas before it acknowledges a commit.
        known : list of Candidate
            All targets that have given their status, but for the leader.
        eligible : list of Candidate
            Those that may be promoted.

        Returns
        -------
        list of Candidate
            Empty if a target whose status is not known may have more commits.
        """
        leader_id = group.leadership.leader_id
        claim = self.claims.get(group.name).claim
        if leader_id is None and claim is not None:
            done = claim.phase is ClaimPhase.DONE
            leader_id = claim.target if done else claim.previous_leader
        needed = logs_needed(
            len(group.targets),
            leader_id in group.targets,
            self.sync_replicas(group.name),
        )
        if len(known) < needed:
            return []
        complete = with_complete_log(known)
        return [item for item in complete if item in eligible] or [
            item for item in complete if not self._directory.is_removed(item.target_id)
        ]

    def _choose(self, name: str, eligible: list[Candidate]) -> Candidate | None:
        """Choose the target to promote.

        An earlier order to promote the target of an open claim may still be carried
        out, so that target is preferred as long as it answers.
        """
        since_ms = self._clock.now_ms() - REFUSED_TARGET_MS
        usable = [
            candidate
            for candidate in eligible
            if self._refused_ms.get(candidate.target_id, float("-inf")) < since_ms
        ] or eligible
        claim = self.claims.get(name).claim
        if claim is not None and claim.phase is ClaimPhase.CLAIMED:
            for candidate in usable:
                if candidate.target_id == claim.target:
                    return candidate
        return most_advanced(usable)

    def _fleet_confirms_loss(self, group: GroupState, survey: Survey) -> bool:
        """Return whether the other hosts' answers allow a replacement."""
        if self.peers is None:
            return True
        answered = len(survey.views) + 1
        if 2 * answered < survey.queried + 1 and not self.reach.cut_off:
            # Begun while this host was cut off; a newer survey has reached the others.
            return False
        newer = [view for view in survey.views if view.term > group.leadership.term]
        if newer:
            newest = max(newer, key=lambda view: view.term)
            if newest.leader and group.leadership.fence is None:
                group.leadership.install_leader(
                    newest.leader, newest.term, self._clock.now_ms()
                )
            return False
        target_id = group.leadership.leader_id
        if target_id is None:
            # The last leader may have been replaced by a host that this one can't
            # reach, for instance if it has refused because it no longer leads.
            return not self.reach.cut_off
        lost = leader_is_lost(survey, target_id)
        if self.reach.cut_off:
            # The larger side of the partition decides.  If the platform is on this
            # side and the leader on the larger one, the platform's list lacks a
            # leader that still leads.  The list is therefore trusted only once the
            # hosts of the larger side count as permanently lost.
            peers_gone = self.reach.cut_off_for_ms() >= PEERS_GONE_AFTER_MS
            lost = peers_gone and self._directory.is_removed(target_id)
        self._record(
            "promotion.weighed",
            group,
            target=target_id,
            asked=survey.queried,
            answered=len(survey.views),
            informed=sum(view.informed for view in survey.views),
            seeing=sum(view.sees for view in survey.views),
            lost=lost,
        )
        return lost

    def _must_finish_claim(self, group: GroupState, survey: Survey) -> bool:
        """Return whether this host has to finish a claim that its holder left open.

        No host uses the leader meanwhile, and an order of the holder may still be
        carried out, so the leader is replaced even if it answers.
        """
        row = self.claims.get(group.name)
        if group.leadership.fence is None or not self._order_may_be_pending(group):
            return False
        newer = any(view.term > group.leadership.term for view in survey.views)
        self._record(
            "promotion.unfinished",
            group,
            holder=row.claim.holder if row.claim else "",
            token=row.version,
            newer_term_known=newer,
            cut_off=self.reach.cut_off,
        )
        return not newer and not self.reach.cut_off

    async def _claim_and_promote(
        self,
        group: GroupState,
        leader: TargetState | None,
        chosen: Candidate,
        eligible: list[Candidate],
        planned: bool,
    ) -> None:
        leadership = group.leadership
        known_terms = [candidate.status.term for candidate in eligible]
        if leadership.fence is not None:
            known_terms.append(leadership.fence.previous_term)
        claim = Claim(
            self.host,
            secrets.token_hex(CLAIM_NONCE_BYTES),
            chosen.target_id,
            ClaimPhase.CLAIMED,
            planned,
            leadership.leader_id or "",
            max([leadership.term, *known_terms]),
            leadership.term if leadership.leader_id else 0,
        )
        claimed_ms = self._clock.boottime_ms()
        order_pending = self._order_may_be_pending(group)
        token = await self._write_claim(group, claim)
        if token is None:
            return
        leadership.obstacle = ""
        self._record(
            "promotion.claimed",
            group,
            target=chosen.target_id,
            token=token,
            order_pending=order_pending,
        )
        if not await self._fence(group, claim, token):
            leadership.obstacle = TOO_FEW_HOSTS
            while token.era == self._eras.current and not self._eras.settled:
                # A lost claim may still be ordered; this one keeps the leader unused.
                await self._clock.sleep_ms(ERA_CHECK_MS)
            await self._give_up(group, token, claim, order_pending)
            return
        if (
            planned
            and leader is not None
            and not await self._catch_up(group, leader, chosen)
        ):
            self._record("promotion.not_caught_up", group, target=chosen.target_id)
            await self._give_up(group, token, claim, order_pending)
            return
        if not planned and not await self._still_complete(group, leader, chosen):
            self._record("promotion.lacks_commits", group, target=chosen.target_id)
            await self._give_up(group, token, claim, order_pending)
            return
        await self._demote_leader(group, leader, claim, token)
        started_ms = self._clock.now_ms()
        result = await self._order_promotion(group, chosen.target_id, token, claimed_ms)
        self._record(
            "promotion.ordered",
            group,
            target=chosen.target_id,
            token=token,
            result=result.value,
        )
        if result is PromotionResult.REFUSED:
            self._refused_ms[chosen.target_id] = self._clock.now_ms()
        if result is PromotionResult.NOT_SENT and token.era != self._eras.current:
            await self._finish_claim(group, token, claim, ClaimPhase.ABANDONED)
        if result not in (PromotionResult.ACCEPTED, PromotionResult.NO_ANSWER):
            return
        term = await self._wait_until_leading(group, claim)
        self._record(
            "promotion.finished",
            group,
            target=chosen.target_id,
            token=token,
            leads=term is not None,
            took_ms=round(self._clock.now_ms() - started_ms),
        )
        if term is not None:
            claim.term = term
            await self._finish_claim(group, token, claim, ClaimPhase.DONE)

    async def _still_complete(
        self, group: GroupState, leader: TargetState | None, chosen: Candidate
    ) -> bool:
        """Return whether a target has all commits that were acknowledged until now.

        Some may have been acknowledged since it was chosen; now that no host uses the
        leader, none is any more.
        """
        if not self.sync_replicas(group.name):
            return True
        known = await self._probe_candidates(group, leader)
        complete = self._without_lost_commits(group, known, known)
        return any(item.target_id == chosen.target_id for item in complete)

    def _has_released(self, name: str, now_ms: float) -> bool:
        """Return whether this host leaves a group's open claim to the others."""
        claim = self.claims.get(name).claim
        return (
            claim is not None
            and claim.holder == self.host
            and claim.phase is ClaimPhase.CLAIMED
            and now_ms < self._released_until_ms.get(name, float("-inf"))
        )

    def _order_may_be_pending(self, group: GroupState) -> bool:
        """Return whether an order under the group's newest claim may be carried out.

        A holder that did not finish may have sent one, which may be on its way for
        seconds after its answer was lost.
        """
        row = self.claims.get(group.name)
        if row.claim is None:
            return row.version > 0
        return row.claim.phase is ClaimPhase.CLAIMED

    async def _give_up(
        self, group: GroupState, token: int, claim: Claim, order_pending: bool
    ) -> None:
        """Let all hosts use the old leader again, unless it may still be replaced.

        If an order of an earlier holder is pending, the claim stays open until a host
        completes the replacement: a promotion that no host expects would leave the old
        leader in use.  Other hosts may try at once.
        """
        if order_pending:
            self._record("promotion.released", group, target=claim.target, token=token)
            now_ms = self._clock.now_ms()
            self._released_until_ms[group.name] = now_ms + RELEASED_CLAIM_MS
            await self._replace_row(
                group, token, msgspec.structs.replace(claim, released=True)
            )
            return
        await self._finish_claim(group, token, claim, ClaimPhase.ABANDONED)

    async def _fence(
        self, group: GroupState, claim: Claim, token: StoreVersion
    ) -> bool:
        """Wait until no host may use the old leader; return whether that is certain."""
        row = GroupClaim(group.name, token, claim)
        if self.give_lease_up is not None:
            await self.give_lease_up(row)
        try:
            # The list of hosts that this one knows may be older than the claim.
            await self.store.refresh()
            # Until all hosts have registered again, rows may be missing.
            list_complete = self._eras.settled
        except StoreUnavailableError as error:
            self._record("promotion.hosts_unknown", group, reason=str(error))
            list_complete = False
        return (await self._collector.collect(row, list_complete)).complete

    async def _demote_leader(
        self,
        group: GroupState,
        leader: TargetState | None,
        claim: Claim,
        token: StoreVersion,
    ) -> None:
        """Demote the old leader, through another host if this one can't reach it.

        The order waits only for a leader that is leaving: one that is lost did not
        answer a moment ago, and no host uses either.  Demoted, it also refuses what a
        suspended host sends after it wakes up.
        """
        leader = leader or group.targets.get(claim.previous_leader)
        if leader is None or leader.entry.id == claim.target:
            return
        row = GroupClaim(group.name, token, claim)
        demotion = self._tasks.spawn(self._demote_somehow(group, leader, row))
        if claim.planned:
            limit_s = DEMOTION_HEAD_START_MS / MS_PER_S
            await asyncio.wait({demotion}, timeout=limit_s)

    async def _demote_somehow(
        self, group: GroupState, leader: TargetState, row: GroupClaim
    ) -> None:
        new_term = row.claim.previous_term + 1
        demoted = await self.demote(leader, new_term)
        self._record(
            "promotion.demoted",
            group,
            target=leader.entry.id,
            demoted=demoted,
            new_term=new_term,
        )
        if not demoted:
            await self._collector.demote_through_others(row, leader.entry.id)

    async def _finish_claim(
        self, group: GroupState, token: StoreVersion, claim: Claim, phase: ClaimPhase
    ) -> None:
        """Write the end of a replacement, so that all hosts use the leader again."""
        finished = msgspec.structs.replace(claim, phase=phase)
        await self._replace_row(group, token, finished)

    async def _replace_row(
        self, group: GroupState, token: StoreVersion, claim: Claim
    ) -> None:
        """Write a new state of this host's claim, and announce it to all hosts."""
        try:
            if token.era != self._eras.current:
                # Which row the claim's end replaces is known only once it is read.
                await self.store.refresh()
            await self._write_end(group, token, claim)
        except StoreUnavailableError as error:
            # Other hosts ignore the claim after CLAIM_TAKEOVER_MS and find the
            # new leader by probing.
            self._record("promotion.unannounced", group, reason=str(error))

    async def _write_end(
        self, group: GroupState, token: StoreVersion, finished: Claim
    ) -> bool:
        """Write a claim's end over the claim, or over what the store has instead.

        Returns
        -------
        bool
            False if the store has another host's claim.

        Raises
        ------
        StoreUnavailableError
            If the store did not confirm the write.
        """
        name = group.name
        expected = token
        finished.era = self._eras.current
        if token.era != finished.era:
            stored = self.claims.stored_version(name)
            if stored is None:
                raise StoreUnavailableError(StoreFault.NO_ANSWER)
            replaced = self.claims.get(name).version != token
            if replaced and stored.number != token.number:
                return False
            expected = stored
        version = await self.store.swap_claim(name, expected, finished)
        if version is None:
            return False
        version = _version_in(finished.era, version)
        self.apply_claim(name, ClaimRow(version, finished))
        row = GroupClaim(name, version, finished)
        self._tasks.spawn(self._collector.announce(row))
        return True

    def restore_claims(self, find_group: Callable[[str], GroupState]) -> None:
        """Write the claims' ends again that the store has lost.

        Parameters
        ----------
        find_group : callable
            Returns the state of a group by name.
        """
        for name, row in self.claims.unstored():
            names = self.peers.names() if self.peers else []
            turn = restoring_turn(row.claim.holder, self.host, names, name)
            if turn <= RESTORING_HOSTS:
                work = self._restore_claim(find_group(name), row, turn)
                self._tasks.spawn(work)

    async def _restore_claim(self, group: GroupState, row: ClaimRow, turn: int) -> None:
        for _ in range(RESTORE_ATTEMPTS):
            await self._clock.sleep_ms(turn * RESTORE_TURN_MS)
            if (group.name, row) not in self.claims.unstored():
                return
            turn = max(turn, 1)
            try:
                finished = msgspec.structs.replace(row.claim)
                written = await self._write_end(group, row.version, finished)
            except StoreUnavailableError as error:
                self._record("store.claim_not_restored", group, reason=str(error))
                continue
            self._record(
                "store.claim_restored", group, written=written, token=row.version
            )
            return

    async def _write_claim(
        self, group: GroupState, claim: Claim
    ) -> StoreVersion | None:
        """Write a claim and return its fencing token.

        Returns None if another claim was written first, or if the write can't be
        confirmed.
        """
        name = group.name
        expected = self.claims.stored_version(name)
        if expected is None:
            self._record("promotion.store_unread", group, era=self._eras.current)
            return None
        claim.era = expected.era
        try:
            version = await self.store.swap_claim(name, expected, claim)
            if version is None:
                self.apply_claim(name, await self.store.read_claim(name))
                return None
        except StoreUnavailableError as error:
            self._record("promotion.store_unavailable", group, reason=str(error))
            version = None
            if error.fault is StoreFault.NO_ANSWER:
                version = await self._find_written_claim(name, claim)
            if version is None and not claim.planned:
                group.leadership.obstacle = "the store accepts no claim to replace it"
        if version is None:
            return None
        token = _version_in(claim.era, version)
        if claim.era != self._eras.current:
            # The store may have lost the claim, or have written it under a condition
            # on a row that this host had not seen.  If it is there, it stays open until
            # this host claims the group again, since another lost one may be ordered.
            self._record("promotion.claim_of_older_era", group, token=token)
            return None
        self.apply_claim(name, ClaimRow(token, claim))
        return token

    async def _find_written_claim(
        self, group: str, claim: Claim
    ) -> StoreVersion | None:
        """Return the version of a claim whose write got no answer.

        Returns None if it is not in the store or the store can't be read.
        """
        try:
            row = await self.store.read_claim(group)
        except StoreUnavailableError:
            return None
        self.apply_claim(group, row)
        if row.claim is not None and row.claim.nonce == claim.nonce:
            return row.version
        return None

    async def _order_promotion(
        self,
        group: GroupState,
        target_id: str,
        token: StoreVersion,
        claimed_ms: float,
    ) -> PromotionResult:
        def may_send() -> bool:
            held_ms = self._clock.boottime_ms() - claimed_ms
            in_force = self.claims.holds(group.name, token)
            return in_force and held_ms < CLAIM_TURN_MS

        result = PromotionResult.NOT_SENT
        for attempt in range(MAX_ORDER_ATTEMPTS):
            if attempt:
                await self._clock.sleep_ms(ORDER_RETRY_DELAY_MS)
            if not may_send():
                break  # Another host has claimed the group, or may do so.
            answer = await self.orders.promote(
                group.name, target_id, self.host, token, may_send
            )
            if answer is PromotionResult.NOT_SENT:
                break
            # An order without an answer may still be carried out.
            if result is not PromotionResult.NO_ANSWER:
                result = answer
            if answer in (PromotionResult.ACCEPTED, PromotionResult.REFUSED):
                return answer
        return result

    async def _catch_up(
        self, group: GroupState, leader: TargetState, chosen: Candidate
    ) -> bool:
        """Wait until a replica has received the leader's whole log.

        Returns
        -------
        bool
            False if it has not in time, or if they give no status.
        """
        replica = group.targets[chosen.target_id]
        deadline_ms = self._clock.now_ms() + CATCH_UP_TIMEOUT_MS
        while self._clock.now_ms() < deadline_ms:
            leader_status, replica_status = await asyncio.gather(
                self.status(leader), self.status(replica)
            )
            if (
                leader_status is not None
                and replica_status is not None
                and replica_status.received >= leader_status.received
            ):
                return True
            await self._clock.sleep_ms(CATCH_UP_POLL_MS)
        return False

    async def _wait_until_leading(self, group: GroupState, claim: Claim) -> int | None:
        """Wait until a claim's target leads in the newest term; return the term.

        A target that was replaced earlier may report that it leads in an older one
        before it is promoted again.
        """
        leadership = group.leadership
        deadline_ms = self._clock.now_ms() + PROMOTION_TIMEOUT_MS
        while self._clock.now_ms() < deadline_ms:
            followed = leadership.leader_id == claim.target and leadership.fence is None
            if followed and leadership.term > claim.previous_term:
                return leadership.term
            target = group.targets.get(claim.target)
            if target is None:
                return None
            probed_ms = self._clock.now_ms()
            status = await self.status(target)
            if (
                status is not None
                and status.leads
                and status.term >= claim.previous_term
            ):
                leadership.confirm_leader(claim.target, status.term, probed_ms)
                return status.term
            await self._clock.sleep_ms(PROMOTION_POLL_MS)
        return None

    def _record(self, kind: str, group: GroupState, **detail: object) -> None:
        self._events.record(
            kind, group=group.name, term=group.leadership.term, **detail
        )


def _version_in(era: int, version: StoreVersion) -> StoreVersion:
    """Return a row's version in the era that its claim names."""
    return StoreVersion.from_parts(era, StoreVersion(version).number)
