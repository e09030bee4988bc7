"""Collects the leases of all hosts on a group before its leader is replaced."""

from __future__ import annotations

import asyncio

from fennelhill_core.clock import Clock
from fennelhill_core.events import EventLog

from fennelhilld.electorate.state import Electorate
from fennelhilld.fleet.messages import PeerQueries
from fennelhilld.fleet.roster import Roster
from fennelhilld.leader_lease.messages import (
    DemotionAnswer,
    DemotionOrder,
    FenceAnswer,
    FenceOrder,
    GroupClaim,
)
from fennelhilld.leader_lease.state import CLOCK_MARGIN_MS, LEASE_MS
from fennelhilld.store_era.state import EraWatch

# Orders may be lost, so they are repeated.
ORDER_REPEAT_MS = 120.0
# A host that lets its writes in flight finish first answers within this time.
ORDER_TIMEOUT_MS = 400.0
DEMOTION_TIMEOUT_MS = 400.0
# Without the acknowledgement of more than half of the hosts for this long, the
# replacement is given up.
MAX_FENCING_MS = 3_000.0
# Interval at which acknowledgements and elapsed time are checked.
WAIT_STEP_MS = 10.0
MAX_LOGGED_HOSTS = 8


class FencingResult:
    """How the leases of the hosts on a group ended.

    Attributes
    ----------
    complete : bool
        Whether no host may use the old leader any more.
    acknowledged : int
        Hosts that have given their lease up, this one included.
    listed : int
        Hosts that were asked, this one included.
    took_ms : float
        Time until then.
    """

    __slots__ = ("acknowledged", "complete", "listed", "took_ms")

    def __init__(
        self, complete: bool, acknowledged: int, listed: int, took_ms: float
    ) -> None:
        self.complete = complete
        self.acknowledged = acknowledged
        self.listed = listed
        self.took_ms = took_ms


def fencing_complete(
    acknowledged: int, listed: int, list_complete: bool, since_majority_ms: float | None
) -> bool:
    """Return whether no host may use the old leader any more.

    Parameters
    ----------
    acknowledged : int
        Hosts that have given their lease up, the replacing one included.
    listed : int
        Hosts that may hold a lease, the replacing one included.
    list_complete : bool
        Whether the list of hosts was read after the claim was made.
    since_majority_ms : float or None
        Time since both the claim was made and more than half of the hosts had
        acknowledged it; None if they have not.

    Returns
    -------
    bool
        True if all have given it up, or if the leases of the others have expired.
        Those rest on a read of the store from before the claim, or on confirmations
        by more than half of the hosts before as many had acknowledged the claim.
    """
    if acknowledged == listed and list_complete:
        return True
    if since_majority_ms is None:
        return False
    return since_majority_ms >= LEASE_MS + CLOCK_MARGIN_MS


class LeaseCollector:
    """Asks all hosts to give their lease on a group up.

    Parameters
    ----------
    roster : Roster
        The other hosts.
    clock : Clock
        Source of time.
    events : EventLog
        Records the result.
    eras : EraWatch
        The newest era of the store that is known.
    electorate : Electorate
        The hosts that vote.
    """

    def __init__(
        self,
        roster: Roster,
        clock: Clock,
        events: EventLog,
        eras: EraWatch,
        electorate: Electorate,
    ) -> None:
        self._eras = eras
        self._electorate = electorate
        self.peers: PeerQueries | None = None
        self._roster = roster
        self._clock = clock
        self._events = events

    async def collect(self, row: GroupClaim, list_complete: bool) -> FencingResult:
        """Wait until no host may use the old leader any more.

        Parameters
        ----------
        row : GroupClaim
            The claim, which has just been made, and which this host has acknowledged.
        list_complete : bool
            Whether the list of hosts was read after the claim was made.

        Returns
        -------
        FencingResult
            It is not complete if more than half of the voters can't be reached, or if
            the store has come back in a new era, in which the claim may be lost.
        """
        hosts = self._roster.recently_listed(LEASE_MS + CLOCK_MARGIN_MS)
        started_ms = self._clock.boottime_ms()
        acknowledged: set[str] = set()
        orders = [
            asyncio.ensure_future(self._order(name, address, row, acknowledged))
            for name, address in hosts.items()
        ]
        listed = len(hosts) + 1
        majority_since_ms: float | None = None
        complete = False
        elapsed_ms = 0.0
        try:
            while elapsed_ms < MAX_FENCING_MS + LEASE_MS:
                now_ms = self._clock.boottime_ms()
                elapsed_ms = now_ms - started_ms
                if majority_since_ms is None and self._is_majority(acknowledged):
                    majority_since_ms = now_ms
                since_majority_ms = (
                    None if majority_since_ms is None else now_ms - majority_since_ms
                )
                complete = fencing_complete(
                    len(acknowledged) + 1, listed, list_complete, since_majority_ms
                )
                complete = complete and row.version.era == self._eras.current
                gave_up = majority_since_ms is None and elapsed_ms > MAX_FENCING_MS
                gave_up = gave_up or row.version.era != self._eras.current
                if complete or gave_up:
                    break
                await self._clock.sleep_ms(WAIT_STEP_MS)
        finally:
            for order in orders:
                order.cancel()
        result = FencingResult(complete, len(acknowledged) + 1, listed, elapsed_ms)
        self._events.record(
            "lease.collected",
            group=row.group,
            claim_version=row.version,
            complete=complete,
            acknowledged=result.acknowledged,
            hosts=listed,
            list_complete=list_complete,
            took_ms=round(elapsed_ms),
            missing=sorted(set(hosts) - acknowledged)[:MAX_LOGGED_HOSTS],
        )
        return result

    def _is_majority(self, acknowledged: set[str]) -> bool:
        """Return whether most voters have acknowledged a claim, as this host has."""
        electorate = self._electorate
        if electorate.confirms(electorate.version):
            acknowledged = {*acknowledged, electorate.host}
        return electorate.has_majority(acknowledged)

    async def announce(self, row: GroupClaim) -> None:
        """Tell all hosts about the end of a replacement, once.

        Hosts that miss it learn it from the store, which may take a second longer.

        Parameters
        ----------
        row : GroupClaim
            The finished claim.
        """
        if self.peers is not None:
            order = FenceOrder(row, self._eras.current)
            await asyncio.gather(
                *(
                    self.peers.ask(address, order, ORDER_REPEAT_MS)
                    for address in self._roster.addresses.values()
                )
            )

    async def demote_through_others(self, row: GroupClaim, target_id: str) -> None:
        """Ask one host of each zone to demote a leader that this one can't reach.

        Parameters
        ----------
        row : GroupClaim
            The claim.
        target_id : str
            The leader.
        """
        if self.peers is None:
            return
        order = DemotionOrder(row, target_id, self._eras.current)
        names = {zone: name for name, zone in self._roster.zones.items()}.values()
        answers = await asyncio.gather(
            *(
                self.peers.ask(self._roster.addresses[name], order, DEMOTION_TIMEOUT_MS)
                for name in names
            )
        )
        demoted = any(
            isinstance(answer, DemotionAnswer) and answer.demoted for answer in answers
        )
        self._events.record(
            "promotion.demoted_elsewhere",
            group=row.group,
            target=target_id,
            asked=len(answers),
            demoted=demoted,
        )

    async def _order(
        self,
        name: str,
        address: str,
        row: GroupClaim,
        acknowledged: set[str],
    ) -> None:
        """Repeat the order to one host until it has given its lease up."""
        if self.peers is None:
            return
        limit_ms = ORDER_REPEAT_MS
        while True:
            order = FenceOrder(row, self._eras.current, self._electorate.version)
            answer = await self.peers.ask(address, order, limit_ms)
            if isinstance(answer, FenceAnswer):
                if self._eras.notice(answer.era, name) and answer.given_up:
                    acknowledged.add(name)
                    return
                # It may agree once another claim's turn is over, or once this host
                # knows the newest electorate.
                await self._clock.sleep_ms(ORDER_REPEAT_MS)
            limit_ms = ORDER_TIMEOUT_MS
