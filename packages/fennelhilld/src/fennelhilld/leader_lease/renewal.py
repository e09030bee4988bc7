"""Renewal of a host's lease: from the store, from one host, or from most hosts."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

import xxhash
from fennelhill_core.clock import MS_PER_S, Clock
from fennelhill_core.events import EventLog
from fennelhill_core.platform import StoreUnavailableError
from fennelhill_core.tasks import Tasks

from fennelhilld.electorate.state import (
    FLEET_UNREAD_MS,
    MAJORITY_UNREAD_MS,
    Electorate,
)
from fennelhilld.fleet.messages import PeerQueries
from fennelhilld.fleet.roster import Roster
from fennelhilld.leader_lease.messages import (
    GroupClaim,
    LeaseAnswer,
    LeaseQuery,
    ProofSource,
)
from fennelhilld.leader_lease.state import LEASE_MS, LeaderLease
from fennelhilld.promotion.claims import ClaimCache
from fennelhilld.promotion.messages import ClaimRow, ClaimStore
from fennelhilld.store_era.state import EraWatch

# A lease that is used is renewed at this age.  What remains of it covers a store that
# is slow (some 400 ms) and the queries to other hosts after it.
RENEWAL_AGE_MS = 450.0
# A host answers with its own proof up to this age, and renews an older one first.  It
# bounds how often the store is read, however many hosts ask.
FRESH_AGE_MS = 200.0
# A queried host that renews its own lease answers with what it has after this time.
SHARED_RENEWAL_MS = 80.0
# A host of the same region answers within some milliseconds, after a renewal of its
# own within `SHARED_RENEWAL_MS`.
HOST_QUERY_MS = 130.0
# Time for a host of any region, also a busy one, to answer at all.
REACH_QUERY_MS = 500.0
# If the store has not answered after this time, other hosts are asked too.
STORE_HEAD_START_MS = 120.0
STORE_LIMIT_MS = 700.0  # beyond the answers of a slow store; then no use for a lease
# The store is not read again for this long after it failed: calls are priced.
STORE_RETRY_MS = 1_000.0
# A host that did not answer is passed over for this long.
HOST_RETRY_MS = 2_000.0
# From the end of a failed attempt to the next, whoever wants the lease: other hosts'
# queries and statements can't make attempts more frequent.
RETRY_MS = 150.0
# After a failed round of confirmations the next begins this much later for each listed
# host.  So a host sends at most 200 of these queries a second, however many hosts are
# listed.
CONFIRMATION_RETRY_MS_PER_HOST = 5.0
# A proof is good enough if the lease it gives lasts at least this long.
MIN_REMAINING_MS = 200.0
# A lease that was not needed for this long is no longer renewed.
UNUSED_AFTER_MS = 3_000.0
# Hosts of each zone that are asked to read the store if this host can't.
HELPERS_PER_ZONE = 2
CHECK_INTERVAL_MS = 50.0  # shortest time between two looks at the lease's age
# Between log lines of a host that refuses statements for want of a lease.
REFUSAL_LOG_MS = 5_000.0
# While nothing else reads the store, one host looks for a new era this often.
ERA_CHECK_INTERVAL_MS = 1_000.0
# Bounds the size of a datagram; the rest follows with the next query.
MAX_CLAIMS_PER_ANSWER = 8


def lease_sources(host: str, zone: str, zones: dict[str, str]) -> list[str]:
    """Return the hosts that a host asks for a proof before it reads the store.

    The first host of each zone, in an order that all hosts compute alike, asks the
    first host of the first zone; the other hosts of a zone ask its first one.  So the
    number of reads does not grow with the number of hosts.

    Parameters
    ----------
    host : str
        The host.
    zone : str
        Its availability zone.
    zones : dict
        Zone by name of the other hosts.

    Returns
    -------
    list of str
        At most two; the second is asked if the first does not answer.
    """
    zone_mates = sorted(
        [host, *(name for name, other in zones.items() if other == zone)], key=_rank
    )
    if zone_mates[0] != host:
        return zone_mates[: min(2, zone_mates.index(host))]
    by_zone: dict[str, list[str]] = {zone: [host]}
    for name, other_zone in zones.items():
        by_zone.setdefault(other_zone, []).append(name)
    first_hosts = [
        min(names, key=_rank)
        for _, names in sorted(by_zone.items(), key=lambda item: _rank(item[0]))
    ]
    return first_hosts[: min(2, first_hosts.index(host))]


def hosts_to_tell(host: str, zone: str, zones: dict[str, str]) -> list[str]:
    """Return the hosts to which a host passes the news of a new era on.

    Parameters
    ----------
    host : str
        The host.
    zone : str
        Its availability zone.
    zones : dict
        Zone by name of the other hosts.

    Returns
    -------
    list of str
        The other hosts of its zone if it is the first one there, and the first hosts of
        the other zones if it is the first of all; so each host is told once.
    """
    sources = lease_sources(host, zone, zones)
    if sources and zones[sources[0]] == zone:
        return []
    told = [name for name, other in zones.items() if other == zone]
    if not sources:
        told += [
            min((name for name, other in zones.items() if other == far), key=_rank)
            for far in sorted(set(zones.values()) - {zone})
        ]
    return told


class LeaseRenewal:
    """Renews a host's lease while it is wanted.

    It is wanted while statements use it and, after a failed renewal, until one
    succeeds.  Statements that are refused for want of a lease can't ask for one, so
    the host that refuses them asks on by itself.

    A proof is the store's list of claims, read by this host or by another one that
    passes it on with its age.  If no host that can be reached reads the store, more
    than half of the voters must confirm that they know no other claim.  That is enough
    because a promotion is ordered only after more than half of them knew its claim.
    If many voters have long had no news from the store, the electorate may have been
    changed without them, so that all of them must confirm.
    A host that has not read the store since its start may have forgotten that claim, so
    it confirms nothing, and gets no lease.

    In a new era the store may have lost claims, so its list proves nothing until more
    than half of the voters, in that era, have sent the claims that they know.

    Parameters
    ----------
    host : str
        This host.
    zone : str
        Its availability zone.
    lease : LeaderLease
        The lease.
    roster : Roster
        The other hosts.
    claims : ClaimCache
        The known claims.
    apply_claim : callable
        Called with the group and row of a claim that another host has sent.
    clock : Clock
        Source of time.
    events : EventLog
        Records when the lease is lost and regained.
    eras : EraWatch
        The newest era of the store that is known.
    electorate : Electorate
        The hosts that vote.
    store_age_ms : callable
        Returns the time since this host knew what the store has.
    """

    def __init__(
        self,
        host: str,
        zone: str,
        lease: LeaderLease,
        roster: Roster,
        claims: ClaimCache,
        apply_claim: Callable[[str, ClaimRow], None],
        clock: Clock,
        events: EventLog,
        eras: EraWatch,
        electorate: Electorate,
        store_age_ms: Callable[[], float],
    ) -> None:
        self.lease = lease
        self._eras = eras
        self._electorate = electorate
        self._store_age_ms = store_age_ms
        self.store: ClaimStore | None = None
        self.peers: PeerQueries | None = None
        # A host that is not listed may hold no lease: it would not be asked to give
        # it up.
        self.registered = False
        # Whether the last renewal has failed.  While it is set, statements without a
        # lease are refused at once, and the renewal goes on until it succeeds.
        self.failing = False
        self.renewal_count = 0
        self.failure_count = 0
        # Statements that were refused because this host has no lease.
        self.refusal_count = 0
        self._host = host
        self._zone = zone
        self._roster = roster
        self._claims = claims
        self._apply_claim = apply_claim
        self._clock = clock
        self._events = events
        self._random = random.Random(host)
        self._used_ms = float("-inf")
        # Set while the lease is wanted; the loop that renews it waits for that.
        self._needed = asyncio.Event()
        self._renewal: asyncio.Task[bool] | None = None
        self._failed_ms = float("-inf")
        self._store_failed_ms = float("-inf")
        self._unconfirmed_ms = float("-inf")
        self._failing_since_ms = float("-inf")
        # What the last attempt got from each source, for the log.
        self._answers: dict[str, str] = {}
        self._confirmations = "not asked"
        self._refusal_logged_ms = float("-inf")
        self._unlogged_refusals = 0
        self._store_read_ms = float("-inf")
        self._silent_since_ms: dict[str, float] = {}
        self._helper = ""
        self._sources: tuple[int, list[str]] = (-1, [])
        self._tasks = Tasks()

    def start(self) -> None:
        """Start to renew the lease while it is wanted, and to look for new eras."""
        self._tasks.keep_running(self._run)
        self._tasks.keep_running(self._look_for_eras)
        self._eras.on_change.append(self._tell_others)

    def _tell_others(self) -> None:
        if self._eras.change_count:
            for name in hosts_to_tell(self._host, self._zone, self._roster.zones):
                self._tasks.spawn(self.reaches(name))

    async def _look_for_eras(self) -> None:
        """Read the store now and then, also if no lease is used.

        A feed that waits does not tell that the store has come back.  Only the first of
        all hosts does this, and only in a store that has eras.
        """
        while True:
            await self._clock.sleep_ms(ERA_CHECK_INTERVAL_MS)
            read_ms = self._clock.now_ms() - self._store_read_ms
            if (
                self._eras.current > 0
                and read_ms >= ERA_CHECK_INTERVAL_MS
                and not lease_sources(self._host, self._zone, self._roster.zones)
            ):
                await self._read_store()

    def close(self) -> None:
        """Cancel all tasks."""
        self._tasks.cancel()

    async def ensure(self, limit_ms: float) -> bool:
        """Renew the lease if it has expired, and return whether it is valid.

        Parameters
        ----------
        limit_ms : float
            Longest wait in milliseconds.

        Returns
        -------
        bool
            False if it could not be renewed in time.
        """
        self.use()
        if self._valid():
            return True
        await self._wait_for_renewal(limit_ms)
        return self._valid()

    def use(self) -> None:
        """Record that the lease is needed."""
        self._used_ms = self._clock.now_ms()
        if not self._needed.is_set():
            self._needed.set()

    @property
    def missing_ms(self) -> float:
        """How long this host has refused statements for want of a lease; else 0."""
        if not self.failing or self._valid():
            return 0.0
        since_ms = max(self._failing_since_ms, self.lease.expires_ms)
        return max(0.0, self._clock.boottime_ms() - since_ms)

    def record_refusal(self) -> None:
        """Count a statement that was refused for want of a lease.

        At most once in `REFUSAL_LOG_MS` this logs what the sources have answered.
        """
        self.refusal_count += 1
        self._unlogged_refusals += 1
        now_ms = self._clock.now_ms()
        if now_ms < self._refusal_logged_ms + REFUSAL_LOG_MS:
            return
        self._refusal_logged_ms = now_ms
        self._events.record(
            "lease.missing",
            refused=self._unlogged_refusals,
            missing_ms=round(self.missing_ms),
            age_ms=_finite(self.lease.age_ms),
            registered=self.registered,
            failures=self.failure_count,
            sources=", ".join(
                f"{name}: {answer}" for name, answer in sorted(self._answers.items())
            ),
            confirmations=self._confirmations,
        )
        self._unlogged_refusals = 0

    async def reaches(self, name: str) -> bool:
        """Return whether a host answers a query.

        Parameters
        ----------
        name : str
            A listed host.

        Returns
        -------
        bool
            False also if it is not listed.
        """
        address = self._roster.addresses.get(name)
        if self.peers is None or address is None:
            return False
        query = LeaseQuery(
            ProofSource.CONFIRMATION,
            self._claims.complete_version,
            self._roster.version,
            self._eras.current,
            self._electorate.version,
        )
        return await self.peers.ask(address, query, REACH_QUERY_MS) is not None

    async def answer(self, query: LeaseQuery) -> LeaseAnswer:
        """Answer another host's query for a proof.

        Parameters
        ----------
        query : LeaseQuery
            The query.

        Returns
        -------
        LeaseAnswer
            The proof of this host, if it has one.
        """
        if not self._eras.notice(query.era, "another host"):
            # The asking host learns of the era, and asks again.
            return self._reply(query, False, 0.0)
        if query.source is ProofSource.CONFIRMATION:
            confirmed = self._confirms(query) and self._eras.may_vouch
            return self._reply(query, confirmed, 0.0)
        if self.lease.age_ms > FRESH_AGE_MS:
            if query.source is ProofSource.STORE:
                await self._read_store()
            else:
                self.use()
                await self._wait_for_renewal(SHARED_RENEWAL_MS)
        return self._reply(query, self._valid(), self.lease.age_ms)

    def _confirms(self, query: LeaseQuery) -> bool:
        """Return whether the asking host counts majorities as this one does."""
        version = query.electorate_version
        if version is not None and not self._electorate.confirms(version):
            return False
        if version is not None and not self._electorate.counts_listed:
            return True
        # A host that knows a newer list may count other hosts as a majority.
        return query.members_version >= self._roster.version

    def _reply(self, query: LeaseQuery, granted: bool, age_ms: float) -> LeaseAnswer:
        newer = self._claims.newer_than(query.claims_version)
        sent = newer[:MAX_CLAIMS_PER_ANSWER]
        electorate = None
        if (query.electorate_version or 0) < self._electorate.version:
            electorate = self._electorate.known
        return LeaseAnswer(
            granted,
            age_ms if granted else 0.0,
            self._claims.complete_version,
            [GroupClaim(group, row.version, row.claim) for group, row in sent],
            len(sent) == len(newer),
            self._eras.current,
            self._eras.fleet_known,
            min(self._store_age_ms(), FLEET_UNREAD_MS),
            electorate,
        )

    @property
    def _may_hold_lease(self) -> bool:
        # What this host gave up before a restart counts in a fence that is under way,
        # so only a claim that it knows again keeps it from using the old leader.
        return self.registered and self._eras.fleet_known

    def _valid(self) -> bool:
        return self.lease.valid_at(self._clock.boottime_ms())

    async def _run(self) -> None:
        while True:
            if not self._wanted():
                self._needed.clear()
                await self._needed.wait()
            due_in_ms = RENEWAL_AGE_MS - self.lease.age_ms
            await self._clock.sleep_ms(max(CHECK_INTERVAL_MS, due_in_ms))
            if self._wanted() and self.lease.age_ms >= RENEWAL_AGE_MS:
                await self._renew_once()

    def _wanted(self) -> bool:
        unused_ms = self._clock.now_ms() - self._used_ms
        return self.failing or unused_ms <= UNUSED_AFTER_MS

    async def _wait_for_renewal(self, limit_ms: float) -> None:
        renewal = asyncio.ensure_future(self._renew_once())
        await asyncio.wait({renewal}, timeout=max(0.0, limit_ms) / MS_PER_S)

    async def _renew_once(self) -> bool:
        """Renew the lease, or wait for the renewal in progress."""
        if self._renewal is None or self._renewal.done():
            self._renewal = self._tasks.spawn(self._renew())
        return await asyncio.shield(self._renewal)

    async def _renew(self) -> bool:
        if not self._may_hold_lease:
            return False
        had_lease = self._valid()
        pause_ms = self._failed_ms + RETRY_MS - self._clock.now_ms()
        if pause_ms > 0:
            await self._clock.sleep_ms(pause_ms)
        self._answers = {}
        if self.failing:
            renewed = await self._try_all_sources()
        else:
            renewed = await self._try_sources()
        if not renewed:
            self._failed_ms = self._clock.now_ms()
        self.renewal_count += renewed
        self.failure_count += not renewed
        if renewed == self.failing:
            self.failing = not renewed
            self._failing_since_ms = self._clock.boottime_ms()
            self._events.record(
                "lease.renewed" if renewed else "lease.not_renewed",
                source=self.lease.source,
                age_ms=_finite(self.lease.age_ms),
                hosts=len(self._roster) + 1,
                refused=self._unlogged_refusals,
            )
            self._unlogged_refusals = 0
        elif not had_lease and renewed:
            self._events.record(
                "lease.acquired",
                source=self.lease.source,
                age_ms=_finite(self.lease.age_ms),
            )
        return renewed

    async def _try_all_sources(self) -> bool:
        """Ask all sources at once, also hosts that did not answer before.

        In turn they would take longer than a second to notice that a fault has ended.
        """
        return await _first_success(
            [
                *(self._ask_source(name) for name in self.source_names()),
                self._read_store(),
                self._ask_helpers(),
                self._ask_for_confirmation(),
            ]
        )

    async def _ask_source(self, name: str) -> bool:
        answer, sent_ms = await self._ask(name, ProofSource.RENEWED)
        return answer is not None and self._use_answer(answer, sent_ms, name)

    async def _try_sources(self) -> bool:
        """Ask one source after the other, so that most renewals cost one query."""
        refused = False
        for name in self._answering_sources():
            answer, sent_ms = await self._ask(name, ProofSource.RENEWED)
            if answer is not None and self._use_answer(answer, sent_ms, name):
                return True
            refused = refused or (answer is not None and answer.fleet_known)
        reading = asyncio.ensure_future(self._read_store())
        await asyncio.wait({reading}, timeout=STORE_HEAD_START_MS / MS_PER_S)
        if reading.done() and reading.result():
            return True
        if refused:
            # That host has asked the others.
            return await reading
        return await _first_success(
            [reading, self._ask_helpers(), self._ask_for_confirmation()]
        )

    def source_names(self) -> list[str]:
        """Return the hosts that this one asks before it reads the store.

        Returns
        -------
        list of str
            See `lease_sources`; empty for the first of all hosts.
        """
        if self._sources[0] != self._roster.change_count:
            names = lease_sources(self._host, self._zone, self._roster.zones)
            self._sources = (self._roster.change_count, names)
        return self._sources[1]

    def _answering_sources(self) -> list[str]:
        since_ms = self._clock.now_ms() - HOST_RETRY_MS
        return [
            name
            for name in self.source_names()
            if self._silent_since_ms.get(name, float("-inf")) < since_ms
        ]

    async def _read_store(self) -> bool:
        """Read all claims from the store."""
        started_ms = self._clock.now_ms()
        if self.store is None or started_ms < self._store_failed_ms + STORE_RETRY_MS:
            self._answers["store"] = "not asked so soon after a failure"
            return False
        sent_ms = self._clock.boottime_ms()
        self._store_read_ms = started_ms
        try:
            async with asyncio.timeout(STORE_LIMIT_MS / MS_PER_S):
                await self.store.refresh()
        except (StoreUnavailableError, TimeoutError) as error:
            self._store_failed_ms = self._clock.now_ms()
            self._answers["store"] = str(error) or "no answer"
            return False
        if self._claims.complete_version.era < self._eras.current:
            return False  # The store may have lost claims that others know.
        self.lease.extend(sent_ms, "store")
        return self._lasts()

    async def _ask_helpers(self) -> bool:
        """Ask some hosts of each zone to read the store."""
        queries = [self._ask_helper(name) for name in self._helpers()]
        return await _first_success(queries)

    def _helpers(self) -> list[str]:
        """Return the host that could read the store last, and others of each zone."""
        by_zone: dict[str, list[str]] = {}
        shuffled = list(self._roster.addresses)
        self._random.shuffle(shuffled)
        for name in shuffled:
            by_zone.setdefault(self._roster.zones[name], []).append(name)
        chosen = [
            name for names in by_zone.values() for name in names[:HELPERS_PER_ZONE]
        ]
        if self._helper in self._roster.addresses and self._helper not in chosen:
            chosen.append(self._helper)
        return chosen

    async def _ask_helper(self, name: str) -> bool:
        answer, sent_ms = await self._ask(name, ProofSource.STORE)
        granted = answer is not None and self._use_answer(answer, sent_ms, name)
        if granted:
            self._helper = name
        return granted

    async def _ask_for_confirmation(self) -> bool:
        """Ask all voters which claims they know; more than half must confirm."""
        if not self._eras.may_vouch:
            return False  # This host may have forgotten claims and hosts.
        era = self._eras.current
        version = self._electorate.version
        members = self._electorate.members
        names = [name for name in self._roster.addresses if name in members]
        pause_ms = len(members) * CONFIRMATION_RETRY_MS_PER_HOST
        if self._clock.now_ms() < self._unconfirmed_ms + pause_ms:
            return False
        sent_ms = self._clock.boottime_ms()
        # Of each host that confirms: time since it knew what the store has.
        unread_ms: dict[str, float] = {}
        if self._electorate.confirms(version):
            unread_ms[self._host] = self._store_age_ms()
        forgetful = 0
        asked = {
            asyncio.ensure_future(self._ask(name, ProofSource.CONFIRMATION)): name
            for name in names
        }
        pending = set(asked)
        while pending and not self._is_confirmed(unread_ms):
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for query in done:
                answer, _ = query.result()
                if answer is not None:
                    if self._apply(answer):
                        unread_ms[asked[query]] = answer.unread_ms
                    forgetful += not answer.fleet_known
        for query in pending:
            query.cancel()
        if (
            not self._is_confirmed(unread_ms)
            or self._eras.current != era
            or self._electorate.version != version
        ):
            self._unconfirmed_ms = self._clock.now_ms()
            self._confirmations = f"{len(unread_ms)} of {len(members)} voters"
            if forgetful:
                self._confirmations += (
                    f"; {forgetful} have not read the store since their start"
                )
            return False
        self._claims.complete_era(era)
        self.lease.extend(sent_ms, "most hosts")
        return self._lasts()

    def _is_confirmed(self, unread_ms: dict[str, float]) -> bool:
        """Return whether the hosts that confirm are enough for a lease."""
        informed = {
            name for name, age_ms in unread_ms.items() if age_ms < MAJORITY_UNREAD_MS
        }
        if self._electorate.has_majority(informed):
            return True
        return self._electorate.has_all(unread_ms.keys()) and all(
            age_ms < FLEET_UNREAD_MS for age_ms in unread_ms.values()
        )

    async def _ask(
        self, name: str, source: ProofSource
    ) -> tuple[LeaseAnswer | None, float]:
        """Return a host's answer, and when the query was sent."""
        address = self._roster.addresses.get(name)
        if self.peers is None or address is None:
            return None, 0.0
        query = LeaseQuery(
            source,
            self._claims.complete_version,
            self._roster.version,
            self._eras.current,
            self._electorate.version,
        )
        sent_ms = self._clock.boottime_ms()
        answer = await self.peers.ask(address, query, HOST_QUERY_MS)
        if not isinstance(answer, LeaseAnswer):
            self._silent_since_ms[name] = self._clock.now_ms()
            if source is not ProofSource.CONFIRMATION:
                self._answers[name] = "no answer"
            return None, sent_ms
        self._silent_since_ms.pop(name, None)
        if not self._eras.notice(answer.era, name):
            return None, sent_ms  # A message from an older era proves nothing.
        return answer, sent_ms

    def _use_answer(self, answer: LeaseAnswer, sent_ms: float, name: str) -> bool:
        """Extend the lease by a host's proof; return whether it then lasts.

        The proof's age is counted from the sending of the query.  That is too early
        by the time until the host answered, and right however late the answer is read.
        """
        if not self._apply(answer) or not self._may_hold_lease:
            self._answers[name] = "has no proof" if answer.complete else "incomplete"
            return False
        self.lease.extend(sent_ms - answer.age_ms, name)
        self._answers[name] = f"a proof {answer.age_ms:.0f} ms old"
        return self._lasts()

    def _apply(self, answer: LeaseAnswer) -> bool:
        """Apply the claims in an answer; return whether it proves that these are all.

        They are applied also if the answer grants nothing.
        """
        for row in answer.claims:
            self._apply_claim(row.group, ClaimRow(row.version, row.claim))
        if not answer.complete:
            # The next query continues after the last of these.
            self._claims.raise_complete_version(
                min(answer.claims[-1].version, answer.claims_version)
            )
            return False
        self._claims.raise_complete_version(answer.claims_version)
        if answer.electorate is not None:
            self._electorate.adopt(answer.electorate.version, answer.electorate.row)
        return answer.granted

    def _lasts(self) -> bool:
        return self.lease.age_ms < LEASE_MS - MIN_REMAINING_MS


async def _first_success(attempts: list[Awaitable[bool]]) -> bool:
    """Return True as soon as an attempt succeeds, and cancel the others."""
    tasks = [asyncio.ensure_future(attempt) for attempt in attempts]
    try:
        for task in asyncio.as_completed(tasks):
            if await task:
                return True
        return False
    finally:
        for task in tasks:
            task.cancel()


def _finite(age_ms: float) -> int | None:
    return None if age_ms == float("inf") else round(age_ms)


def _rank(name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode())
