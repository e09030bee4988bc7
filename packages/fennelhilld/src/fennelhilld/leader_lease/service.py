"""Answers the queries of other hosts about leases and claims."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Iterable

from fennelhill_core.clock import Clock

from fennelhilld.electorate.state import Electorate
from fennelhilld.fleet.messages import HostAnswer, HostQuery
from fennelhilld.leader_lease.messages import (
    DemotionAnswer,
    DemotionOrder,
    FenceAnswer,
    FenceOrder,
    GroupClaim,
    LeaseQuery,
    SampleAnswer,
    SampleQuery,
    ZoneNotice,
    ZoneNoticeAnswer,
)
from fennelhilld.leader_lease.renewal import LeaseRenewal
from fennelhilld.placement.state import GroupState
from fennelhilld.promotion.messages import ClaimPhase, ClaimRow
from fennelhilld.promotion.replacement import LeaderReplacement
from fennelhilld.store_era.state import EraWatch

# Writes in flight when a planned replacement begins are answered within this time;
# the answers to later ones no longer count, and their outcome is unknown.
MAX_FLIGHT_MS = 250.0
FLIGHT_CHECK_MS = 5.0

QueryHandler = Callable[[HostQuery], HostAnswer | Awaitable[HostAnswer]]


class HostQueryService:
    """Answers queries of other hosts.

    Parameters
    ----------
    renewal : LeaseRenewal
        Holds this host's lease.
    replacement : LeaderReplacement
        Demotes targets.
    group : callable
        Returns the state of a group by name.
    apply_claim : callable
        Called with the group and row of a claim that another host has sent.
    clock : Clock
        Source of time.
    eras : EraWatch
        The newest era of the store that is known.
    electorate : Electorate
        The hosts that vote.
    """

    def __init__(
        self,
        renewal: LeaseRenewal,
        replacement: LeaderReplacement,
        group: Callable[[str], GroupState],
        apply_claim: Callable[[str, ClaimRow], None],
        clock: Clock,
        eras: EraWatch,
        electorate: Electorate,
    ) -> None:
        self._eras = eras
        self._electorate = electorate
        self.on_zone_notice: Callable[[ZoneNotice], None] = lambda notice: None
        self._renewal = renewal
        self._replacement = replacement
        self._group = group
        self._apply_claim = apply_claim
        self._clock = clock
        self._handlers: dict[type, QueryHandler] = {}

    def register(self, query_types: Iterable[type], handler: QueryHandler) -> None:
        """Let another part of this host answer some kinds of queries.

        Parameters
        ----------
        query_types : iterable of type
            The kinds.
        handler : callable
            Returns the answer to such a query, or an awaitable of it.
        """
        self._handlers.update(dict.fromkeys(query_types, handler))

    def handle(self, query: HostQuery) -> HostAnswer | Awaitable[HostAnswer]:
        """Answer a query.

        Parameters
        ----------
        query : HostQuery
            The query.

        Returns
        -------
        HostAnswer or awaitable
            The answer.
        """
        handler = self._handlers.get(type(query))
        if handler is not None:
            return handler(query)
        if isinstance(query, LeaseQuery):
            return self._renewal.answer(query)
        if isinstance(query, FenceOrder):
            return self._answer_fence(query)
        if isinstance(query, SampleQuery):
            return self._answer_sample(query)
        if isinstance(query, ZoneNotice):
            self.on_zone_notice(query)
            return ZoneNoticeAnswer()
        return self._answer_demotion(query)

    async def _answer_fence(self, order: FenceOrder) -> FenceAnswer:
        self._eras.notice(order.era, "another host")
        given_up = await self.give_lease_up(order.row)
        if order.electorate_version is not None:
            # A majority of an older electorate need have no host in common with one
            # of the newest.
            given_up = given_up and self._electorate.confirms(order.electorate_version)
        return FenceAnswer(given_up, self._eras.current)

    async def give_lease_up(self, row: GroupClaim) -> bool:
        """Give the lease on a group up for a claim.

        Parameters
        ----------
        row : GroupClaim
            The claim.

        Returns
        -------
        bool
            False if this host knows a newer claim, if the store may have lost this one
            before this host knew it, or while another host may still order under an
            open claim that was lost.
        """
        group = self._group(row.group)
        if not self._hear(row) or self._blocked(row):
            return False
        fence = group.leadership.fence
        if fence is None or fence.claim_version != row.version:
            # The replacement is finished, or another host has claimed the group.
            known = self._replacement.claims.get(row.group)
            return known.version == row.version
        if row.claim is not None and row.claim.planned:
            await self._wait_for_writes(group)
        fence.covered_until_ms = float("-inf")
        return True

    def _answer_sample(self, query: SampleQuery) -> SampleAnswer:
        sample = self._group(query.group).freshness.newest_sample()
        if sample is None:
            return SampleAnswer()
        return SampleAnswer(sample.position, self._clock.boottime_ms() - sample.sent_ms)

    async def _answer_demotion(self, order: DemotionOrder) -> DemotionAnswer:
        row = order.row
        self._eras.notice(order.era, "another host")
        if not self._hear(row):
            return DemotionAnswer(False)
        known = self._replacement.claims.get(row.group)
        target = self._group(row.group).targets.get(order.target_id)
        in_force = (
            known.version == row.version
            and known.claim is not None
            and known.claim.phase is ClaimPhase.CLAIMED
        )
        if target is None or not in_force:
            return DemotionAnswer(False)
        term = known.claim.previous_term + 1
        return DemotionAnswer(await self._replacement.demote(target, term))

    def _hear(self, row: GroupClaim) -> bool:
        """Apply a claim that another host has sent; return whether it is believed.

        An open claim of an older era that this host did not know is not: the hosts
        that took the claims of the new era for complete did not count on it.  If the
        store still has it, this host learns it from there.
        """
        claim_is_open = row.claim is None or row.claim.phase is ClaimPhase.CLAIMED
        known = self._replacement.claims.get(row.group)
        if (
            claim_is_open
            and row.version.era < self._eras.current
            and row.version != known.version
        ):
            return False
        self._apply_claim(row.group, ClaimRow(row.version, row.claim))
        return True

    def _blocked(self, row: GroupClaim) -> bool:
        return (
            row.claim is not None
            and row.claim.phase is ClaimPhase.CLAIMED
            and self._replacement.claims.blocked_by_lost_claim(
                row.group, row.claim.holder, self._clock.now_ms()
            )
        )

    async def _wait_for_writes(self, group: GroupState) -> None:
        deadline_ms = self._clock.now_ms() + MAX_FLIGHT_MS
        while group.leadership.writes_in_flight and self._clock.now_ms() < deadline_ms:
            await self._clock.sleep_ms(FLIGHT_CHECK_MS)
