"""Keeps the electorate in step with the hosts that run."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Set
from typing import Protocol

import msgspec
import xxhash
from fennelhill_core.clock import Clock
from fennelhill_core.events import EventLog
from fennelhill_core.platform import StoreUnavailableError, StoreVersion

from fennelhilld.electorate.messages import (
    ElectorateAnswer,
    ElectorateQuery,
    ElectorateRow,
)
from fennelhilld.electorate.state import (
    FLEET_UNREAD_MS,
    MAJORITY_UNREAD_MS,
    Electorate,
    is_majority,
)
from fennelhilld.fleet.messages import PeerQueries
from fennelhilld.fleet.roster import Roster
from fennelhilld.leader_lease.state import CLOCK_MARGIN_MS, LEASE_MS
from fennelhilld.promotion.claims import ClaimCache
from fennelhilld.store_era.state import EraWatch

# Time between two rounds of queries.  In a large fleet it is longer, so that the host
# that asks all others sends at most 20 queries a second.
ROUND_MS = 1_000.0
ROUND_MS_PER_HOST = 50.0
# A host of the order's tail looks less often whether the hosts before it answer, so
# that the first one is asked some 30 times a second, however many hosts there are.
ORDER_POSITIONS_PER_ROUND = 8
# While no host before this one answers, each time so many times more are asked at once.
GROWTH = 3
QUERY_MS = 300.0
# A voter that has not answered for this long loses its vote.  Processes that are
# restarted, and hosts that are suspended for a moment, keep theirs.
SILENT_MS = 3_000.0
# A change for which most voters can't promise is proposed after this long without most
# of them: until then they are rather cut off, and another host keeps the electorate.
ALONE_MS = 10_000.0
# The same for a host without a vote.
ALONE_WITHOUT_VOTE_MS = 60_000.0
# The keeping host must have heard from the store within this time.
STORE_AGE_LIMIT_MS = 5_000.0
# A host that leaves a fleet of at most this many voters gives its vote up itself: when
# many leave together, those that are left may be too few to do it.
MAX_VOTERS_TO_LEAVE = 20
MAX_LOGGED_HOSTS = 8
# Silent hosts that a query names; bounds the size of a datagram.
MAX_PASSED_ON = 16


class ElectorateStore(Protocol):
    """The store of the electorate's row."""

    async def refresh(self) -> None:
        """Apply all rows in the store; raises `StoreUnavailableError`."""

    async def swap_electorate(
        self, expected_number: int, row: ElectorateRow
    ) -> StoreVersion | None:
        """Write the row if the stored one has the expected version.

        Returns the new version in the era of the answer, or None if the row has
        another version.  Raises `StoreUnavailableError`.
        """


class ElectorateKeeper:
    """Gives hosts that have joined a vote, and takes it from those that are gone.

    The first host of an order that all compute alike asks the others once a second; the
    hosts behind it only ask whether it is there and able to.  Any host may change the
    row, since each write names the version that it replaces.

    A change needs the promise of most voters before it.  If they are gone for good,
    nobody can promise; the change is decided once none of them can have confirmed a
    lease without knowing of it.

    Parameters
    ----------
    electorate : Electorate
        The electorate.
    roster : Roster
        The other hosts.
    claims : ClaimCache
        The known claims.
    eras : EraWatch
        The newest era of the store that is known.
    is_registered : callable
        Returns whether the store lists this host.
    store_age_ms : callable
        Returns the time since this host knew what the store has.
    want_lease : callable
        Called on a host that does not know the claims of this era; a lease shows them.
    clock : Clock
        Source of time.
    events : EventLog
        Records changes.
    """

    def __init__(
        self,
        electorate: Electorate,
        roster: Roster,
        claims: ClaimCache,
        eras: EraWatch,
        is_registered: Callable[[], bool],
        store_age_ms: Callable[[], float],
        want_lease: Callable[[], None],
        clock: Clock,
        events: EventLog,
    ) -> None:
        self.store: ElectorateStore | None = None
        self.peers: PeerQueries | None = None
        # Whether this host is shutting down.
        self.leaving = False
        self._electorate = electorate
        self._roster = roster
        self._claims = claims
        self._eras = eras
        self._is_registered = is_registered
        self._store_age_ms = store_age_ms
        self._want_lease = want_lease
        self._clock = clock
        self._events = events
        self._silent_since_ms: dict[str, float] = {}
        # Since when most voters of a row don't answer; None while they do.
        self._alone_since: tuple[StoreVersion, float] | None = None
        # The version of the row, and since when this host knows it.
        self._known_since: tuple[StoreVersion, float] = (StoreVersion(), 0.0)
        # One change at a time.
        self._changing = asyncio.Lock()

    @property
    def _ready(self) -> bool:
        """Whether this host may vote."""
        return (
            self._eras.may_vouch
            and self._is_registered()
            and self._claims.complete_version.era == self._eras.current
        )

    @property
    def _keeping(self) -> bool:
        """Whether this host can change the electorate now."""
        return (
            self._ready
            and self._eras.settled
            and self._electorate.stored_number is not None
            and self._store_age_ms() < STORE_AGE_LIMIT_MS
        )

    def answer(self, query: ElectorateQuery) -> ElectorateAnswer:
        """Answer another host's query.

        Parameters
        ----------
        query : ElectorateQuery
            The query.

        Returns
        -------
        ElectorateAnswer
            Whether this host promises, and whether it may vote.
        """
        if query.silent_ms is not None:
            now_ms = self._clock.boottime_ms()
            self._silent_since_ms = {
                name: now_ms - silent_ms for name, silent_ms in query.silent_ms.items()
            }
        promised = False
        if self._eras.notice(query.era, "another host") and self._eras.fleet_known:
            if self._claims.complete_version.era < self._eras.current:
                self._want_lease()
            promised = self._electorate.promise(query.version)
        return ElectorateAnswer(
            promised,
            self._ready and not self.leaving,
            self.leaving,
            self._keeping and not self.leaving,
            self._eras.current,
        )

    async def run(self) -> None:
        """Keep the electorate until cancelled."""
        # All hosts of a fleet that starts register within the first pause.
        pause_ms = ROUND_MS
        while True:
            await self._clock.sleep_ms(pause_ms)
            pause_ms = await self._run_round()

    async def _run_round(self) -> float:
        """Ask the hosts before this one, or all; return the pause until the next."""
        # A host that has joined keeps nothing before it was given a vote, as only then
        # it surely knows which hosts are silent.
        voters = self._electorate.voters
        order = sorted(
            self._electorate.listed, key=lambda name: (name not in voters, _rank(name))
        )
        position = order.index(self._electorate.host)
        asked, count = 0, 1
        while asked < position:
            # The first of them, and several at a time if that one is gone.
            names = order[asked : min(position, asked + count)]
            answers = await asyncio.gather(*(self._ask(name) for name in names))
            if any(answer is not None and answer.keeping for answer in answers):
                return ROUND_MS * (1 + position // ORDER_POSITIONS_PER_ROUND)
            asked, count = asked + count, count * GROWTH
        if self._keeping and not self.leaving and self.store is not None:
            async with self._changing:
                await self._keep()
        return max(ROUND_MS, ROUND_MS_PER_HOST * len(order))

    async def _keep(self) -> None:
        """Ask all hosts, and change the electorate if it differs from what it is."""
        electorate = self._electorate
        if self._known_since[0] != electorate.version:
            self._known_since = (electorate.version, self._clock.boottime_ms())
        answers = await self._ask_all(set(self._roster.addresses))
        if electorate.version != self._known_since[0]:
            return  # The answers are about an older row.
        wanted = self._wanted_voters(answers)
        row = electorate.row
        if not electorate.is_stored:
            # The store has come back from a copy that lacks it.
            stored = msgspec.structs.replace(row, era=self._eras.current)
            await self._write("electorate.restored", stored)
            return
        promising = self._promising(answers)
        proposed, before = frozenset(row.voters), frozenset(row.previous)
        if not before:
            before = proposed or electorate.listed
            if wanted != proposed and self._may_propose(promising, before):
                await self._change(before, wanted)
        elif _has_majority(promising, before):
            if wanted == proposed:
                await self._decide()
            else:
                await self._change(before, wanted)
        elif self._may_decide_alone(promising):
            await self._decide()
        elif not _has_majority(promising, proposed) and self._may_propose(
            promising, before
        ):
            # Most of the proposed voters have been lost meanwhile.
            await self._change(before, wanted)

    def _may_propose(self, promising: Set[str], before: frozenset[str]) -> bool:
        """Return whether a change may be proposed: most voters promise, or are gone."""
        version, now_ms = self._electorate.version, self._clock.boottime_ms()
        if _has_majority(promising, before):
            self._alone_since = None
            return True
        if self._alone_since is None or self._alone_since[0] != version:
            self._alone_since = (version, now_ms)
        votes = self._electorate.host in before
        limit_ms = ALONE_MS if votes else ALONE_WITHOUT_VOTE_MS
        return now_ms - self._alone_since[1] >= limit_ms

    def _promising(self, answers: dict[str, ElectorateAnswer]) -> set[str]:
        """Return the hosts that have promised, this one included."""
        electorate = self._electorate
        names = {name for name, answer in answers.items() if answer.promised}
        if electorate.promise(electorate.version):
            names.add(electorate.host)
        return names

    def _may_decide_alone(self, promising: Set[str]) -> bool:
        """Return whether most voters before the change count as gone for good.

        Those that know of it confirm nothing under the row before.  Those that don't
        have not heard from the store since, and stop to confirm after a time.
        """
        version, since_ms = self._known_since
        known_ms = self._clock.boottime_ms() - since_ms
        some = bool(promising & set(self._electorate.row.previous))
        unread_ms = MAJORITY_UNREAD_MS if some else FLEET_UNREAD_MS
        return (
            version == self._electorate.version
            and known_ms >= unread_ms + LEASE_MS + CLOCK_MARGIN_MS
        )

    def _wanted_voters(self, answers: dict[str, ElectorateAnswer]) -> frozenset[str]:
        """Return the hosts that should vote: those that run, and know all claims."""
        electorate = self._electorate
        present = set(electorate.row.voters) | set(electorate.row.previous)
        now_ms = self._clock.boottime_ms()
        wanted = {electorate.host}
        for name in self._roster.addresses:
            answer = answers.get(name)
            if answer is None:
                silent_ms = now_ms - self._silent_since_ms.get(name, now_ms)
                stays = name in present and silent_ms < SILENT_MS
            else:
                stays = not answer.leaving and (answer.ready or name in present)
            if stays:
                wanted.add(name)
        return frozenset(wanted)

    async def leave(self, limit_ms: float) -> None:
        """Give this host's vote up before it stops.

        Parameters
        ----------
        limit_ms : float
            Longest wait in milliseconds.
        """
        self.leaving = True
        deadline_ms = self._clock.now_ms() + limit_ms
        while self._clock.now_ms() < deadline_ms:
            row = self._electorate.row
            if self._electorate.host not in row.voters or not self._keeping:
                return
            if len(row.voters) > MAX_VOTERS_TO_LEAVE or self.store is None:
                return
            async with self._changing:
                row = self._electorate.row
                before = frozenset(row.previous or row.voters)
                wanted = frozenset(row.voters) - {self._electorate.host}
                await self._change(before, wanted)
            await self._clock.sleep_ms(QUERY_MS)

    async def _change(self, before: frozenset[str], wanted: frozenset[str]) -> None:
        """Propose an electorate, and decide the change if most voters promise."""
        row = ElectorateRow(
            tuple(sorted(wanted)), tuple(sorted(before)), self._eras.current
        )
        if not await self._write("electorate.proposed", row):
            return
        self._known_since = (self._electorate.version, self._clock.boottime_ms())
        version = self._electorate.version
        promising = self._promising(await self._ask_all(before))
        if version == self._electorate.version and _has_majority(promising, before):
            await self._decide()

    async def _decide(self) -> None:
        row = ElectorateRow(self._electorate.row.voters, (), self._eras.current)
        await self._write("electorate.decided", row)

    async def _write(self, kind: str, row: ElectorateRow) -> bool:
        """Write a row over the stored one; return whether this host then uses it.

        One that was written without an answer comes with the feed.
        """
        electorate = self._electorate
        expected = electorate.stored_number
        if expected is None:
            return False
        before = frozenset(row.previous) or frozenset(electorate.row.previous)
        try:
            version = await self.store.swap_electorate(expected, row)
            if version is not None:
                # Claims that were made before the row are applied first.
                await self.store.refresh()
        except StoreUnavailableError as error:
            self._events.record("electorate.unwritten", reason=str(error))
            return False
        if version is None or version.era != row.era:
            return False
        self._events.record(
            kind,
            version=version,
            voters=len(row.voters),
            joined=sorted(set(row.voters) - before)[:MAX_LOGGED_HOSTS],
            left=sorted(before - set(row.voters))[:MAX_LOGGED_HOSTS],
        )
        return electorate.version == version

    async def _ask_all(self, names: Set[str]) -> dict[str, ElectorateAnswer]:
        # Older builds don't answer such queries, which must not be taken for silence.
        listed = set(self._roster.addresses) - self._roster.older_builds
        asked = sorted(set(names) & listed)
        silent_ms = self._silences()
        answers = await asyncio.gather(*(self._ask(name, silent_ms) for name in asked))
        for name, answer in zip(asked, answers, strict=True):
            self._roster.record_answer(name, answer is not None)
        return {
            name: answer
            for name, answer in zip(asked, answers, strict=True)
            if answer is not None
        }

    def _silences(self) -> dict[str, float]:
        """Return for how long hosts have been silent; the longest ones only."""
        now_ms = self._clock.boottime_ms()
        silent_ms = {
            name: now_ms - since_ms
            for name, since_ms in self._silent_since_ms.items()
            if name in self._roster.addresses
        }
        longest = sorted(silent_ms, key=silent_ms.__getitem__, reverse=True)
        return {name: silent_ms[name] for name in longest[:MAX_PASSED_ON]}

    async def _ask(
        self, name: str, silent_ms: dict[str, float] | None = None
    ) -> ElectorateAnswer | None:
        address = self._roster.addresses.get(name)
        if self.peers is None or address is None:
            return None
        asked_ms = self._clock.boottime_ms()
        query = ElectorateQuery(self._electorate.version, self._eras.current, silent_ms)
        answer = await self.peers.ask(address, query, QUERY_MS)
        if not isinstance(answer, ElectorateAnswer):
            if name not in self._roster.older_builds:
                self._silent_since_ms.setdefault(name, asked_ms)
            return None
        self._silent_since_ms.pop(name, None)
        if not self._eras.notice(answer.era, name):
            return None
        return answer


def _has_majority(names: Set[str], voters: Set[str]) -> bool:
    return is_majority(len(names & voters), len(voters))


def _rank(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
