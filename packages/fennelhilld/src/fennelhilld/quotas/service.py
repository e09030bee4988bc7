"""Tasks and messages of the quotas: asks for permits, and issues them."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Awaitable, Callable, Iterator

import msgspec
import xxhash
from fennelhill_core import codes
from fennelhill_core.clock import Clock, timeout_ms
from fennelhill_core.events import EventLog
from fennelhill_core.tasks import Tasks

from fennelhilld.catalog.state import CatalogHolder, Organisation
from fennelhilld.fleet.messages import PeerQueries
from fennelhilld.fleet.roster import Roster
from fennelhilld.quotas.election import ZoneHosts, hosts_of_zone
from fennelhilld.quotas.issuing import PartitionIssuer
from fennelhilld.quotas.limits import (
    PARTITIONS,
    Limit,
    QuotaBounds,
    candidate_order,
    partition_of,
)
from fennelhilld.quotas.messages import (
    PermitAnswer,
    PermitQuery,
    PromiseAnswer,
    PromiseQuery,
    QuotaAnswer,
    QuotaQuery,
    TransferAnswer,
    TransferQuery,
)
from fennelhilld.quotas.operation import QuotaRefusal
from fennelhilld.quotas.stock import PermitStock, issuers_to_ask

# Wait for the answer of one issuer.  Within a zone it takes about 1 ms, and up to
# `TRANSFER_WAIT_MS` more if tokens are moved.
ANSWER_MS = 40.0
# Longest wait of an issuer for tokens of other zones before it refuses.
TRANSFER_WAIT_MS = 25.0
# Rounds of asking other zones within that time: the first asks all for equal parts, the
# next ones ask those that have said that they have more.
TRANSFER_ROUNDS = 3
# A host that did not answer is passed over for this long.
SILENT_MS = 500.0
# A host that does not issue is passed over for this long; an election takes longer.
NOT_ISSUING_MS = 50.0
# Until a first permit was given, no refusal before this time: all hosts may start.
START_WAIT_MS = 300.0
START_RETRY_MS = 10.0
# Redirections from one host to the next that an asking host follows.
MAX_REDIRECTIONS = 2
# Suggested delay before a retry if no issuer answers.
UNAVAILABLE = QuotaRefusal(codes.QUOTA_UNAVAILABLE, 100.0)
# Interval of the checks of promises; without organisations with a rate there are none.
TICK_MS = 50.0
# Wait for a promise; one that comes later would be valid for a short time only.
PROMISE_WAIT_MS = 300.0
# A zone counts for this long after its last host was removed from the list, since it
# may be cut off, and goes on minting its part.
ZONE_KEPT_MS = 600_000.0
# Permits in one query, so that one message can't empty a bucket by mistake.
MAX_PERMITS = 1_000
UNANSWERED_LOG_MS = 5_000.0
IDLE_CHECK_MS = 10_000.0


class QuotaCounters(msgspec.Struct):
    """What became of the operations of one organisation on this host.

    Parameters
    ----------
    permitted : int
        Permits received.
    refused : int
        Operations refused because the limit was reached.
    unavailable : int
        Operations refused because no issuer answered.
    """

    permitted: int = 0
    refused: int = 0
    unavailable: int = 0

    @property
    def total(self) -> int:
        """Operations of any result."""
        return self.permitted + self.refused + self.unavailable


class QuotaService:
    """Permits of this host's operations, and its part in issuing them.

    Parameters
    ----------
    host : str
        This host.
    zone : str
        Its availability zone.
    bounds : QuotaBounds or None
        Bounds of the quotas; None if there are none.
    catalog : CatalogHolder
        Holds the limits of organisations.
    roster : Roster
        The other hosts.
    roster_known : callable
        Returns whether the list of hosts was read.
    leaving : callable
        Returns whether this host is being stopped.
    clock : Clock
        Source of time.
    events : EventLog
        Log of decisions.
    """

    def __init__(
        self,
        host: str,
        zone: str,
        bounds: QuotaBounds | None,
        catalog: CatalogHolder,
        roster: Roster,
        roster_known: Callable[[], bool],
        leaving: Callable[[], bool],
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._host = host
        self._zone = zone
        self._bounds = bounds
        self._catalog = catalog
        self._roster = roster
        self._roster_known = roster_known
        self._leaving = leaving
        self._clock = clock
        self._events = events
        self.peers: PeerQueries | None = None
        self.counters: dict[str, QuotaCounters] = {}
        # Messages sent, by kind of query.
        self.messages: dict[str, int] = {}
        self._partitions: list[PartitionIssuer] = []
        self._issuing_partitions: set[int] = set()
        self._knows_roster = False
        self._hosts = ZoneHosts(zone, frozenset([host]))
        self._roster_state = (-1, -1)
        # When a zone was last listed, by name.
        self._zones_listed_ms: dict[str, float] = {}
        self._stocks: dict[str, PermitStock] = {}
        self._waiting: dict[str, deque[asyncio.Future[float | QuotaRefusal]]] = {}
        # Believed issuer by zone and partition.
        self._issuers: dict[tuple[str, int], str] = {}
        self._passed_over_until_ms: dict[str, float] = {}
        self._was_answered = False
        self._unanswered = 0
        self._unanswered_logged_ms = -math.inf
        # Tokens that zones had to spare when last asked, by organisation.
        self._spares: dict[str, dict[str, float]] = {}
        # Round of asking other zones that is in progress, and the permits that wait
        # for it, by organisation.
        self._rounds: dict[str, asyncio.Task] = {}
        self._short: dict[str, int] = {}
        self._idle_checked_ms = -math.inf
        self._has_limits = False
        self._tasks = Tasks()

    def start(self) -> None:
        """Start the checks of promises, if quotas are configured."""
        if self._bounds is None:
            return
        now_ms = self._clock.boottime_ms()
        started = self._clock.wall_ms()
        self._partitions = [
            PartitionIssuer(self._host, number, self._bounds, started, now_ms)
            for number in range(PARTITIONS)
        ]
        self._tasks.keep_running(self._tick_forever)

    def close(self) -> None:
        """Cancel all tasks."""
        self._tasks.cancel()

    def boottime_ms(self) -> float:
        """Return the time on the clock that counts suspended time."""
        return self._clock.boottime_ms()

    @property
    def issued_partitions(self) -> set[int]:
        """Partitions of its zone that this host issues permits for."""
        return self._issuing_partitions

    @property
    def bucket_count(self) -> int:
        """Number of buckets that this host holds."""
        return sum(len(issuer.tokens.buckets) for issuer in self._partitions)

    def busiest(self, count: int, rest: str) -> list[tuple[str, QuotaCounters]]:
        """Return the counters of the busiest organisations, and the sum of the rest.

        Parameters
        ----------
        count : int
            Number of organisations.
        rest : str
            Name under which the others are summed.

        Returns
        -------
        list of tuple
            Name and `QuotaCounters`.
        """
        ordered = sorted(
            self.counters.items(), key=lambda item: item[1].total, reverse=True
        )
        others = QuotaCounters()
        for _, counters in ordered[count:]:
            others.permitted += counters.permitted
            others.refused += counters.refused
            others.unavailable += counters.unavailable
        return ordered[:count] + ([(rest, others)] if len(ordered) > count else [])

    def apply_catalog(self) -> None:
        """Apply the limits of a new version of the catalog to the buckets in use."""
        organisations = self._organisations()
        self._has_limits = any(
            organisation.operations_per_s is not None
            for organisation in organisations.values()
        )
        now_ms = self._clock.boottime_ms()
        for issuer in self._partitions:
            for name, bucket in list(issuer.tokens.buckets.items()):
                organisation = organisations.get(name)
                if organisation is None or organisation.operations_per_s is None:
                    self._drop_bucket(issuer, name, now_ms)
                else:
                    bucket.set_limit(self._limit(organisation), now_ms)

    def required(self, organisation: str) -> bool:
        """Return whether an organisation's operations need permits.

        Parameters
        ----------
        organisation : str
            The organisation; empty if none.

        Returns
        -------
        bool
            False without bounds, and for organisations without a rate.
        """
        if self._bounds is None or not organisation:
            return False
        known = self._organisations().get(organisation)
        return known is not None and known.operations_per_s is not None

    async def acquire(self, organisation: str) -> float | QuotaRefusal:
        """Get a permit from the stock, else from an issuer.

        Parameters
        ----------
        organisation : str
            The organisation.

        Returns
        -------
        float or QuotaRefusal
            Until when the permit is valid, on the clock that counts suspended time, or
            why there is none.
        """
        stock = self._stocks.setdefault(organisation, PermitStock())
        now_ms = self._clock.boottime_ms()
        permit = stock.take(now_ms)
        if permit is not None:
            return permit
        retry_ms = stock.refusal_ms(now_ms)
        if retry_ms is not None:
            self._count(organisation).refused += 1
            return QuotaRefusal(codes.QUOTA_EXCEEDED, retry_ms)
        answer = asyncio.get_running_loop().create_future()
        waiting = self._waiting.get(organisation)
        if waiting is not None:
            waiting.append(answer)
        else:
            self._waiting[organisation] = deque([answer])
            self._tasks.spawn(self._ask_for(organisation, stock))
        return await answer

    def give_back(self, organisation: str, expires_ms: float) -> None:
        """Put a permit under which nothing was sent back into the stock.

        Parameters
        ----------
        organisation : str
            The organisation.
        expires_ms : float
            Until when it is valid.
        """
        self._stocks.setdefault(organisation, PermitStock()).add(expires_ms)

    def answer(self, query: QuotaQuery) -> QuotaAnswer | Awaitable[QuotaAnswer]:
        """Answer a query of another host.

        Parameters
        ----------
        query : QuotaQuery
            The query.

        Returns
        -------
        QuotaAnswer or awaitable
            The answer.
        """
        if isinstance(query, PermitQuery):
            return self._answer_permit(query)
        if isinstance(query, TransferQuery):
            return self._answer_transfer(query)
        return self._answer_promise(query)

    # Asking for permits.

    async def _ask_for(self, organisation: str, stock: PermitStock) -> None:
        """Ask for the permits of all waiting operations, in one query at a time."""
        waiting = self._waiting[organisation]
        try:
            while waiting:
                count = min(len(waiting), MAX_PERMITS)
                granted, expires_ms, refusal = await self._ask_issuers(
                    organisation, count
                )
                counters = self._count(organisation)
                counters.permitted += granted
                if refusal is not None and refusal.code is codes.QUOTA_EXCEEDED:
                    now_ms = self._clock.boottime_ms()
                    stock.record_refusal(refusal.retry_ms, now_ms)
                for _ in range(count):
                    answer = waiting.popleft()
                    if answer.done():
                        continue
                    if granted > 0:
                        granted -= 1
                        answer.set_result(expires_ms)
                    elif refusal is not None:
                        if refusal.code is codes.QUOTA_EXCEEDED:
                            counters.refused += 1
                        else:
                            counters.unavailable += 1
                        answer.set_result(refusal)
                # Permits of operations that were given up while they waited.
                if not math.isinf(expires_ms):
                    stock.add(expires_ms, granted)
        finally:
            del self._waiting[organisation]
            # After an error, or when this host stops.
            for answer in waiting:
                if not answer.done():
                    answer.set_result(UNAVAILABLE)

    async def _ask_issuers(
        self, organisation: str, count: int
    ) -> tuple[int, float, QuotaRefusal | None]:
        """Return number and end of the permits, and why some are missing."""
        partition = partition_of(organisation)
        known = self._organisations().get(organisation)
        if known is None or known.operations_per_s is None:
            # Without a limit since the operation began.
            return count, math.inf, None
        query = PermitQuery(organisation, known.operations_per_s, known.burst, count)
        started_ms = self._clock.boottime_ms()
        while True:
            for host in self._issuers_to_ask(partition):
                asked_ms = self._clock.boottime_ms()
                answer = await self._ask_issuer(host, partition, query)
                if answer is None:
                    waited_ms = self._clock.boottime_ms() - started_ms
                    if not self._was_answered and waited_ms >= START_WAIT_MS:
                        break
                    continue
                self._was_answered = True
                refusal = None
                if answer.granted < count:
                    refusal = QuotaRefusal(codes.QUOTA_EXCEEDED, answer.retry_ms)
                expires_ms = asked_ms + self._bounds.permit_ms
                return min(count, answer.granted), expires_ms, refusal
            waited_ms = self._clock.boottime_ms() - started_ms
            if self._was_answered or waited_ms >= START_WAIT_MS:
                break
            await self._clock.sleep_ms(START_RETRY_MS)
        self._record_unanswered(partition, count)
        return 0, -math.inf, UNAVAILABLE

    async def _ask_issuer(
        self, host: str, partition: int, query: PermitQuery
    ) -> PermitAnswer | None:
        """Ask a host, or the one that it names; return None if none of them issues."""
        for _ in range(1 + MAX_REDIRECTIONS):
            zone = self._zone_of(host)
            answer = await self._ask(host, query, ANSWER_MS)
            if isinstance(answer, PermitAnswer) and answer.issuing:
                self._issuers[zone, partition] = host
                self._passed_over_until_ms.pop(host, None)
                return answer
            silent_ms = SILENT_MS if answer is None else NOT_ISSUING_MS
            self._pass_over(host, silent_ms)
            if self._issuers.get((zone, partition)) == host:
                del self._issuers[zone, partition]
            named = answer.issuer if isinstance(answer, PermitAnswer) else ""
            if not named or named == host or self._zone_of(named) != zone:
                return None
            host = named
        return None

    def _issuers_to_ask(self, partition: int) -> Iterator[str]:
        """Return the hosts to ask in turn, without those that were silent lately."""
        believed = self._issuers.get((self._zone, partition), "")
        if believed and not self._is_passed_over(believed):
            # Nearly always the only one.
            yield believed
        order = self._hosts.candidates(partition)
        others = [
            self._believed_issuer(zone, partition) for zone in self._other_zones()
        ]
        others = [host for host in others if not self._is_passed_over(host)] or others
        hosts = issuers_to_ask(believed, order, others)
        usable = [host for host in hosts if not self._is_passed_over(host)]
        yield from usable or hosts

    def _believed_issuer(self, zone: str, partition: int) -> str:
        believed = self._issuers.get((zone, partition), "")
        if believed in self._roster.addresses:
            return believed
        zones = self._roster.zones
        hosts = frozenset(name for name, other in zones.items() if other == zone)
        order = candidate_order(zone, partition, hosts)
        usable = [host for host in order if not self._is_passed_over(host)]
        return (usable or order)[0]

    def _other_zones(self) -> list[str]:
        """Return the other zones with hosts, in an order that differs by host."""
        zones = set(self._roster.zones.values()) - {self._zone}
        return sorted(
            zones,
            key=lambda zone: xxhash.xxh32_intdigest(f"{self._host}/{zone}".encode()),
        )

    def _zone_of(self, host: str) -> str:
        return self._zone if host == self._host else self._roster.zones.get(host, "")

    def _pass_over(self, host: str, duration_ms: float) -> None:
        self._passed_over_until_ms[host] = self._clock.boottime_ms() + duration_ms

    def _is_passed_over(self, host: str) -> bool:
        until_ms = self._passed_over_until_ms.get(host, -math.inf)
        return self._clock.boottime_ms() < until_ms

    def _record_unanswered(self, partition: int, count: int) -> None:
        self._unanswered += count
        now_ms = self._clock.boottime_ms()
        if now_ms - self._unanswered_logged_ms < UNANSWERED_LOG_MS:
            return
        self._unanswered_logged_ms = now_ms
        self._events.record(
            "quota.unanswered",
            partition=partition,
            refused=self._unanswered,
            hosts=len(self._hosts.names),
        )
        self._unanswered = 0

    async def _ask(
        self, host: str, query: QuotaQuery, limit_ms: float
    ) -> QuotaAnswer | None:
        if host == self._host:
            answer = self.answer(query)
            return answer if isinstance(answer, msgspec.Struct) else await answer
        address = self._roster.addresses.get(host)
        if self.peers is None or address is None:
            return None
        kind = type(query).__struct_config__.tag
        self.messages[kind] = self.messages.get(kind, 0) + 1
        return await self.peers.ask(address, query, limit_ms)

    # Issuing permits.

    def _answer_permit(
        self, query: PermitQuery
    ) -> PermitAnswer | Awaitable[PermitAnswer]:
        issuer = self._issuer(query.organisation)
        now_ms = self._clock.boottime_ms()
        if issuer is None or not issuer.issues_at(now_ms):
            return PermitAnswer(issuing=False, issuer=self._named(issuer, now_ms))
        count = max(0, min(query.count, MAX_PERMITS))
        organisation = self._organisations().get(query.organisation)
        if organisation is None:
            # Its host has a newer catalog.
            organisation = Organisation(
                query.organisation,
                operations_per_s=max(0.0, query.rate),
                burst=query.burst,
            )
        if organisation.operations_per_s is None:
            return PermitAnswer(count)
        bucket = issuer.tokens.bucket(
            organisation.name, self._limit(organisation), self._zone_count, now_ms
        )
        bucket.record_demand(count)
        taken = bucket.take(count)
        if taken == count:
            return PermitAnswer(taken)
        short = count - taken
        waiting = self._short.get(organisation.name, 0) + short
        if not self._start_round(issuer, organisation.name, waiting, now_ms):
            return PermitAnswer(taken, bucket.next_token_ms())
        return self._answer_after_round(issuer, organisation.name, taken, short)

    async def _answer_after_round(
        self, issuer: PartitionIssuer, organisation: str, taken: int, short: int
    ) -> PermitAnswer:
        """Take the missing permits once tokens of other zones have arrived."""
        self._short[organisation] = self._short.get(organisation, 0) + short
        try:
            async with timeout_ms(TRANSFER_WAIT_MS):
                for _ in range(TRANSFER_ROUNDS):
                    round_task = self._rounds.get(organisation)
                    if round_task is not None:
                        await asyncio.shield(round_task)
                    now_ms = self._clock.boottime_ms()
                    bucket = issuer.tokens.buckets.get(organisation)
                    if bucket is None or bucket.level >= self._short[organisation]:
                        break
                    waiting = self._short[organisation]
                    if not self._start_round(issuer, organisation, waiting, now_ms):
                        break
        except TimeoutError:
            pass
        finally:
            self._short[organisation] -= short
            if not self._short[organisation]:
                del self._short[organisation]
        now_ms = self._clock.boottime_ms()
        bucket = issuer.tokens.buckets.get(organisation)
        if not issuer.issues_at(now_ms) or bucket is None:
            # The permits that were taken are lost.
            return PermitAnswer(issuing=False)
        bucket.update(now_ms)
        more = bucket.take(short)
        retry_ms = bucket.next_token_ms() if more < short else 0.0
        return PermitAnswer(taken + more, retry_ms)

    def _start_round(
        self, issuer: PartitionIssuer, organisation: str, waiting: int, now_ms: float
    ) -> bool:
        """Ask other zones for tokens; return whether some are expected."""
        if organisation in self._rounds:
            return True
        zones = self._other_zones()
        known = self._spares.setdefault(organisation, {})
        spares = {
            zone: known.get(zone, math.nan)
            for zone in zones
            if not self._is_passed_over(self._believed_issuer(zone, issuer.partition))
        }
        asked = issuer.tokens.ask(organisation, waiting, spares, now_ms)
        if not asked:
            return False
        task = self._tasks.spawn(self._move_tokens(issuer, organisation, asked))
        self._rounds[organisation] = task
        return True

    async def _move_tokens(
        self,
        issuer: PartitionIssuer,
        organisation: str,
        asked: dict[str, tuple[int, float]],
    ) -> None:
        try:
            await asyncio.gather(
                *(
                    self._move_from(issuer, organisation, zone, number, tokens)
                    for zone, (number, tokens) in asked.items()
                )
            )
        finally:
            self._rounds.pop(organisation, None)
            spares = self._spares.get(organisation, {})
            bucket = issuer.tokens.buckets.get(organisation)
            if bucket is not None and any(spare >= 1 for spare in spares.values()):
                bucket.transfer_after_ms = -math.inf

    async def _move_from(
        self,
        issuer: PartitionIssuer,
        organisation: str,
        zone: str,
        number: int,
        tokens: float,
    ) -> None:
        host = self._believed_issuer(zone, issuer.partition)
        query = TransferQuery(organisation, tokens)
        answer = await self._ask(host, query, self._bounds.transfer_ms)
        if not isinstance(answer, TransferAnswer):
            self._pass_over(host, SILENT_MS)
            return
        if not answer.issuing:
            self._pass_over(host, NOT_ISSUING_MS)
            self._issuers.pop((zone, issuer.partition), None)
            if answer.issuer and answer.issuer in self._roster.addresses:
                self._issuers[zone, issuer.partition] = answer.issuer
            return
        self._issuers[zone, issuer.partition] = host
        self._spares.setdefault(organisation, {})[zone] = answer.spare
        now_ms = self._clock.boottime_ms()
        waiting = self._short.get(organisation, 0)
        if issuer.issues_at(now_ms):
            issuer.tokens.receive(number, answer.tokens, waiting, now_ms)

    def _answer_transfer(self, query: TransferQuery) -> TransferAnswer:
        issuer = self._issuer(query.organisation)
        now_ms = self._clock.boottime_ms()
        if issuer is None or not issuer.issues_at(now_ms):
            return TransferAnswer(issuing=False, issuer=self._named(issuer, now_ms))
        organisation = self._organisations().get(query.organisation)
        if organisation is None or organisation.operations_per_s is None:
            return TransferAnswer()
        bucket = issuer.tokens.bucket(
            organisation.name, self._limit(organisation), self._zone_count, now_ms
        )
        given = issuer.tokens.give(bucket, query.tokens)
        return TransferAnswer(given, bucket.spare)

    def _issuer(self, organisation: str) -> PartitionIssuer | None:
        if not self._partitions:
            return None
        return self._partitions[partition_of(organisation)]

    def _named(self, issuer: PartitionIssuer | None, now_ms: float) -> str:
        holder = issuer.book.holder(now_ms) if issuer is not None else ""
        return "" if holder == self._host else holder

    def _limit(self, organisation: Organisation) -> Limit:
        return self._bounds.limit_of_zone(
            organisation.operations_per_s, organisation.burst, self._zone_count
        )

    @property
    def _zone_count(self) -> int:
        return max(1, len(self._zones_listed_ms))

    def _organisations(self) -> dict[str, Organisation]:
        catalog = self._catalog.current
        return (catalog and catalog.organisations) or {}

    def _count(self, organisation: str) -> QuotaCounters:
        return self.counters.setdefault(organisation, QuotaCounters())

    def _drop_bucket(
        self,
        issuer: PartitionIssuer,
        organisation: str,
        removed_ms: float | None = None,
    ) -> None:
        issuer.tokens.drop(organisation, removed_ms)
        self._spares.pop(organisation, None)

    # Elections.

    async def _tick_forever(self) -> None:
        while True:
            self._check_promises()
            await self._clock.sleep_ms(TICK_MS)

    def _check_promises(self) -> None:
        self._knows_roster = self._knows_roster or self._roster_known()
        now_ms = self._clock.boottime_ms()
        if not self._knows_roster or not self._has_limits:
            for issuer in self._partitions:
                # The last organisation with a limit may have been removed.
                self._record_issuing(issuer, now_ms)
            return
        self._update_hosts(now_ms)
        for issuer in self._partitions:
            if self._leaving():
                if issuer.partition in self._issuing_partitions:
                    self._send_release(issuer, issuer.give_up(self._hosts, now_ms))
                    self._record_issuing(issuer, now_ms)
                continue
            issuer.begin_if_ready(self._hosts, now_ms)
            query = issuer.next_query(self._hosts, now_ms)
            if query is not None:
                self._ask_for_promises(issuer, query)
            self._record_issuing(issuer, now_ms)
        if now_ms - self._idle_checked_ms >= IDLE_CHECK_MS:
            self._idle_checked_ms = now_ms
            self._drop_idle(now_ms)

    def _update_hosts(self, now_ms: float) -> None:
        zones = set(self._roster.zones.values()) | {self._zone}
        self._zones_listed_ms.update(dict.fromkeys(zones, now_ms))
        for zone, listed_ms in list(self._zones_listed_ms.items()):
            if now_ms - listed_ms > ZONE_KEPT_MS:
                del self._zones_listed_ms[zone]
        state = (self._roster.change_count, self._roster.version)
        if state == self._roster_state:
            return
        self._roster_state = state
        self._hosts = hosts_of_zone(
            self._zone, self._host, self._roster.zones, self._roster.version
        )
        for issuer in self._partitions:
            issuer.update(self._hosts, now_ms)

    def _ask_for_promises(self, issuer: PartitionIssuer, query: PromiseQuery) -> None:
        # This host first, so that its own promise counts before any answer.
        now_ms = self._clock.boottime_ms()
        answer = issuer.book.answer(query, self._hosts, False, now_ms)
        release = issuer.record(self._host, answer, query, self._hosts, now_ms)
        if release is not None:
            self._send_release(issuer, release)
            return
        for host in self._hosts.names - {self._host}:
            self._tasks.spawn(self._ask_for_promise(issuer, host, query))

    async def _ask_for_promise(
        self, issuer: PartitionIssuer, host: str, query: PromiseQuery
    ) -> None:
        answer = await self._ask(host, query, PROMISE_WAIT_MS)
        if not isinstance(answer, PromiseAnswer):
            return
        now_ms = self._clock.boottime_ms()
        release = issuer.record(host, answer, query, self._hosts, now_ms)
        if release is not None:
            self._send_release(issuer, release)
        self._record_issuing(issuer, now_ms)

    def _send_release(self, issuer: PartitionIssuer, release: PromiseQuery) -> None:
        now_ms = self._clock.boottime_ms()
        issuer.book.answer(release, self._hosts, False, now_ms)
        for host in self._hosts.names - {self._host}:
            self._tasks.spawn(self._ask(host, release, PROMISE_WAIT_MS))

    def _answer_promise(self, query: PromiseQuery) -> PromiseAnswer:
        if not 0 <= query.partition < len(self._partitions) or not self._knows_roster:
            return PromiseAnswer()
        now_ms = self._clock.boottime_ms()
        self._update_hosts(now_ms)
        issuer = self._partitions[query.partition]
        issuing = issuer.issues_at(now_ms)
        return issuer.book.answer(query, self._hosts, issuing, now_ms)

    def _record_issuing(self, issuer: PartitionIssuer, now_ms: float) -> None:
        issuing = issuer.issues_at(now_ms)
        if issuing == (issuer.partition in self._issuing_partitions):
            return
        kind = "quota.issuer_ended"
        if issuing:
            kind = "quota.issuer_started"
            self._issuing_partitions.add(issuer.partition)
        else:
            self._issuing_partitions.discard(issuer.partition)
        self._events.record(
            kind,
            partition=issuer.partition,
            hosts=len(self._hosts.names),
            members_version=self._hosts.version,
            leaving=self._leaving(),
        )

    def _drop_idle(self, now_ms: float) -> None:
        for issuer in self._partitions:
            for name, bucket in list(issuer.tokens.buckets.items()):
                if bucket.idle_at(now_ms):
                    self._drop_bucket(issuer, name)
