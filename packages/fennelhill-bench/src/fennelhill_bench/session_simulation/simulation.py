"""A fleet of session cores in front of modelled groups, with clients and faults."""

from __future__ import annotations

import asyncio
import enum
import inspect
import math
import random
from collections.abc import Awaitable, Callable

import msgspec
from fennelhill_core import codes
from fennelhill_core.clock import MS_PER_S
from fennelhill_core.codes import Outcome
from fennelhill_core.events import EventLog
from fennelhill_core.platform import (
    StoreFault,
    StoreUnavailableError,
    StoreVersion,
)
from fennelhill_core.streams import Stream
from fennelhill_core.tokens import Position
from fennelhilld.admission.policies import LoadPolicies, PolicyNames
from fennelhilld.catalog.state import Catalog, Database, Group, ReadKind
from fennelhilld.directory.state import TargetEntry
from fennelhilld.electorate.messages import ElectorateRow
from fennelhilld.fleet.messages import HostAnswer, HostQuery
from fennelhilld.gateway import SessionGateway
from fennelhilld.promotion.messages import (
    Claim,
    ClaimRow,
    LeaderView,
    PromotionResult,
    Survey,
)
from fennelhilld.promotion.survey import collect_views
from fennelhilld.statements.messages import (
    Reply,
    Statement,
    StatementKind,
    TransactionState,
)

from fennelhill_bench.session_simulation.checks import ExpectedRun, Observer
from fennelhill_bench.session_simulation.streams import HostDialer, MemoryDialer
from fennelhill_bench.session_simulation.targets import (
    TARGETS_PER_GROUP,
    DriverModel,
    GroupModel,
    TargetModel,
    Traits,
)
from fennelhill_bench.virtual_time import VirtualClock

STORE_CALL_MS = 4.0
DATAGRAM_MS = 0.5  # one way
FIRST_ERA = 1  # until the store first comes back from a copy
READ_RETRY_MS = 250.0  # pause before a host reads again after a failure
STORE_TIMEOUT_MS = 500.0  # until a lost answer is reported
ORDER_CALL_MS = 3.0
ORDER_TIMEOUT_MS = 1_200.0  # until a lost answer is reported
UNLISTED_AFTER_MS = 3_000.0  # without a heartbeat of a target
PAUSE_CHECK_MS = 10.0
# Wait for hosts that do not answer a survey, with and without a target to probe.
SURVEY_TIMEOUT_MS = 450.0
VOTE_LIMIT_MS = 1_000.0  # for a host that gives its vote up
PRESENCE_TIMEOUT_MS = 250.0
FEED_DELAY_MS = 5.0  # time until subscribed hosts receive a change
STATEMENT_TIMEOUT_MS = 800.0
LATENCY_GOAL_MS = 200.0
CONNECTIONS_PER_TARGET = 16
# Random clients; a share is the probability of a choice where the client has it.
MAX_OPERATIONS_PER_SESSION = 6
MEAN_OPERATION_PAUSE_MS = 30.0
SET_VALUE_SHARE = 0.1
PREPARE_SHARE = 0.15
PREPARED_WRITE_SHARE = 0.4
TRANSACTION_SHARE = 0.25
SINGLE_WRITE_SHARE = 0.3
EXECUTE_PREPARED_SHARE = 0.5
READ_ONLY_TRANSACTION_SHARE = 0.4
MAX_TRANSACTION_STATEMENTS = 4
MEAN_STATEMENT_PAUSE_MS = 15.0
WRITE_IN_TRANSACTION_SHARE = 0.5
ROLLBACK_SHARE = 0.15


class CutKind(enum.Enum):
    """What happens to packets between the two sides of a cut."""

    SILENT = "silent"  # lost in both directions
    RESET = "reset"  # answered by a reset
    OUTWARD = "outward"  # lost if sent by the inner side
    INWARD = "inward"  # lost if sent to the inner side

    def delivers(self, from_inside: bool, to_inside: bool) -> bool:
        """Return whether a packet arrives."""
        if from_inside == to_inside:
            return True
        if self is CutKind.OUTWARD:
            return to_inside
        return self is CutKind.INWARD and from_inside


class Cut(msgspec.Struct, frozen=True):
    """A part of the network that is cut off from the rest.

    Parameters
    ----------
    hosts : frozenset of str
        Hosts on the inner side.
    targets : frozenset of str
        Targets on the inner side.
    kind : CutKind
        What happens to packets between the sides.
    store_inside : bool
        Whether the platform is on the inner side.
    """

    hosts: frozenset[str] = frozenset()
    targets: frozenset[str] = frozenset()
    kind: CutKind = CutKind.SILENT
    store_inside: bool = False


class StoreState:
    """All rows of the modelled store as they were after one write."""

    __slots__ = ("at_ms", "electorate", "hosts", "rows", "version")

    def __init__(
        self,
        at_ms: float,
        version: int,
        rows: dict[str, ClaimRow],
        hosts: dict[str, int],
        electorate: tuple[int, ElectorateRow] | None,
    ) -> None:
        self.electorate = electorate
        self.at_ms = at_ms
        self.version = version
        self.rows = rows
        self.hosts = hosts


class StoreModel:
    """Model of the platform's store, reduced to claims and the list of hosts.

    It can go away and come back from an older copy: see `go_away`, `come_back` and
    `drill`.  Every answer names the store's era (see `HostStore`).
    """

    def __init__(self, simulation: SessionSimulation) -> None:
        self._simulation = simulation
        self.rows: dict[str, ClaimRow] = {}
        # Version of each host's row.  The first hosts have always been there, and vote.
        self.hosts: dict[str, int] = {}
        # Version and content of the electorate's row.
        self.electorate: tuple[int, ElectorateRow] | None = None
        self.version = 0
        self.era = FIRST_ERA
        self.down = False
        self.lose_answers = False
        # Delay of a claim whose write got no answer; None if it is written at once.
        self.late_write_ms: float | None = None
        # Whether writes that arrive while the store is down are carried out later.
        self.keeps_calls = False
        self.call_ms = STORE_CALL_MS
        self._states: list[StoreState] = []
        self._away_since_ms = 0.0
        self._returned = asyncio.Event()

    async def read_claim(self, group: str) -> ClaimRow:
        """Read a claim."""
        await self.call()
        return self.rows.get(group, ClaimRow())

    async def swap_claim(self, group: str, expected: int, claim: Claim) -> int | None:
        """Write a claim if its version is the expected one; return the new version."""
        if self.late_write_ms is not None:
            await self.call()
            copy = msgspec.structs.replace(claim)
            self._simulation.spawn(self._write_late(group, expected, copy))
            await self._simulation.clock.sleep_ms(STORE_TIMEOUT_MS)
            raise StoreUnavailableError(StoreFault.NO_ANSWER)
        await self._call_to_write(self._swap, group, expected, claim)
        version = self._swap(group, expected, claim)
        if version is not None and self.lose_answers:
            await self._simulation.clock.sleep_ms(STORE_TIMEOUT_MS)
            raise StoreUnavailableError(StoreFault.NO_ANSWER)
        return version

    async def swap_electorate(
        self, expected_number: int, row: ElectorateRow
    ) -> StoreVersion | None:
        """Write the electorate if its version is the expected one."""
        await self._call_to_write(self._swap_electorate, expected_number, row)
        return self._swap_electorate(expected_number, row)

    async def register_host(self, host: str) -> int:
        """Write the row of a host; return the new version."""
        await self._call_to_write(self._put_host, host)
        return self._put_host(host)

    async def remove_host(self, host: str) -> None:
        """Delete the row of a host."""
        await self._call_to_write(self._delete_host, host)
        self._delete_host(host)

    async def _write_late(self, group: str, expected: int, claim: Claim) -> None:
        await self._simulation.clock.sleep_ms(self.late_write_ms)
        self._swap(group, expected, claim)

    async def call(self) -> None:
        """Take the time of a call; raises `StoreUnavailableError` if it fails."""
        await self._simulation.clock.sleep_ms(self.call_ms)
        if self.down:
            raise StoreUnavailableError(StoreFault.DOWN)

    def go_away(self, keeps_calls: bool = False) -> None:
        """Refuse all calls until `come_back`.

        Parameters
        ----------
        keeps_calls : bool
            Whether writes that arrive meanwhile, or that are on their way, get no
            answer and are carried out after the return, if their condition holds then.
        """
        self.down = True
        self.keeps_calls = keeps_calls
        self._away_since_ms = self._simulation.clock.now_ms()
        self._returned = asyncio.Event()

    def come_back(
        self, copy_age_ms: float, feed_delays_ms: dict[str, float] | None = None
    ) -> None:
        """Serve again, from a copy, in the next era.

        Claims and hosts that were written since the copy was made are lost, and their
        versions are given out again.

        Parameters
        ----------
        copy_age_ms : float
            Age of the copy when the store went away.
        feed_delays_ms : dict or None
            By host, the time from the return until its feed delivers anything; 0 if
            a host is missing.  Its calls are answered in the new era at once.
        """
        now_ms = self._simulation.clock.now_ms()
        went_ms = self._away_since_ms if self.down else now_ms
        wanted_ms = went_ms - copy_age_ms
        state = next(
            (state for state in reversed(self._states) if state.at_ms <= wanted_ms),
            self._states[0],
        )
        self.version = state.version
        self.rows = dict(state.rows)
        self.hosts = dict(state.hosts)
        self.electorate = state.electorate
        self.era += 1
        self.down = False
        self.keep_state()
        self._returned.set()
        delays_ms = feed_delays_ms or {}
        for store in self._simulation.stores_by_host.values():
            store.feed_from_ms = now_ms + delays_ms.get(store.host, 0.0)
            self._simulation.spawn(store.resume_feed(self.era))

    async def drill(
        self,
        away_ms: float,
        copy_age_ms: float,
        keeps_calls: bool = False,
        feed_delays_ms: dict[str, float] | None = None,
    ) -> None:
        """Go away for a time, then come back; see `go_away` and `come_back`.

        Parameters
        ----------
        away_ms : float
            How long the store is away.
        copy_age_ms : float
            Age of the copy when the store goes.
        keeps_calls : bool
            Whether writes on the way are carried out after the return.
        feed_delays_ms : dict or None
            By host, when its feed delivers something again.
        """
        self.go_away(keeps_calls)
        await self._simulation.clock.sleep_ms(away_ms)
        self.come_back(copy_age_ms, feed_delays_ms)

    def keep_state(self) -> None:
        """Record the present rows as a state that can be restored."""
        now_ms = self._simulation.clock.now_ms()
        state = StoreState(
            now_ms, self.version, dict(self.rows), dict(self.hosts), self.electorate
        )
        self._states.append(state)

    def _swap(self, group: str, expected: int, claim: Claim) -> int | None:
        number = StoreVersion(expected).number
        if self.rows.get(group, ClaimRow()).version.number != number:
            return None
        self.version += 1
        row = ClaimRow(
            StoreVersion.from_parts(min(claim.era, self.era), self.version),
            msgspec.structs.replace(claim),
        )
        self.rows[group] = row
        self._notify(lambda store: store.apply_claim(group, row))
        return self.version

    def _swap_electorate(
        self, expected_number: int, row: ElectorateRow
    ) -> StoreVersion | None:
        if (self.electorate[0] if self.electorate else 0) != expected_number:
            return None
        self.version += 1
        self.electorate = electorate = (self.version, row)
        self._notify(lambda store: store.apply_electorate(*electorate))
        return StoreVersion.from_parts(self.told_era, self.version)

    @property
    def told_era(self) -> int:
        """The era that hosts are told; before the first return there is none."""
        return self.era if self.era > FIRST_ERA else 0

    def _put_host(self, host: str) -> int:
        self.version += 1
        self.hosts[host] = version = self.version
        self._notify(lambda store: store.apply_host(host, version))
        return version

    def _delete_host(self, host: str) -> None:
        if self.hosts.pop(host, None) is not None:
            self.version += 1
            version = self.version
            self._notify(lambda store: store.apply_removal(host, version))

    async def _call_to_write(self, write: Callable[..., object], *args: object) -> None:
        """Take the time of a call; writes that are kept get no answer."""
        await self._simulation.clock.sleep_ms(self.call_ms)
        if not self.down:
            return
        if not self.keeps_calls:
            raise StoreUnavailableError(StoreFault.DOWN)
        self._simulation.spawn(self._write_after_return(write, args))
        await self._simulation.clock.sleep_ms(STORE_TIMEOUT_MS)
        raise StoreUnavailableError(StoreFault.NO_ANSWER)

    async def _write_after_return(
        self, write: Callable[..., object], args: tuple
    ) -> None:
        while self.down:
            await self._returned.wait()
            await self._simulation.clock.sleep_ms(self.call_ms)
        write(*args)

    def _notify(self, deliver: Callable[[HostStore], None]) -> None:
        """Keep the new state, and deliver a change to the feeds of all hosts."""
        self.keep_state()
        era, version = self.era, self.version
        self._simulation.spawn(self._deliver(deliver, era, version))

    async def _deliver(
        self, deliver: Callable[[HostStore], None], era: int, version: int
    ) -> None:
        await self._simulation.clock.sleep_ms(FEED_DELAY_MS)
        for gateway in self._simulation.gateways:
            self._simulation.spawn(self._deliver_to(gateway, deliver, era, version))

    async def _deliver_to(
        self,
        gateway: SessionGateway,
        deliver: Callable[[HostStore], None],
        era: int,
        version: int,
    ) -> None:
        await self._simulation.awake(gateway)
        store = self._simulation.stores_by_host[gateway.host]
        if store.receives_feed(era):
            deliver(store)
            store.record_answer(era, version)
            store.advance(version)
        else:
            store.missed_changes = True


class HostStore:
    """The store, as one host reaches it by calls and through its feed.

    A host reads on from the version that it last had, and reads all rows only if the
    store doesn't have that version any more.

    Each answer that reaches the host, also a refusal, is passed to ``on_answer`` with
    the era and the version of the store at that moment.  ``era`` and ``version`` are
    those of the last answer.
    """

    def __init__(self, simulation: SessionSimulation, gateway: SessionGateway) -> None:
        self._simulation = simulation
        self._gateway = gateway
        self.host = gateway.host
        self.era = FIRST_ERA
        self.version = 0
        self.on_answer: Callable[[int, int], None] = lambda era, version: None
        # When the feed delivers something again after a return of the store.
        self.feed_from_ms = 0.0
        # Whether the feed has missed changes that `refresh` would read.
        self.missed_changes = False
        self._read_version = 0
        self._read_era = FIRST_ERA
        # Whether all rows were read since the start of the host's process.
        self._started = True
        self._known_ms = simulation.clock.now_ms()

    async def start_anew(self) -> None:
        """Read all rows, as a process does that has just started and knows none."""
        self._started = False
        self._known_ms = float("-inf")
        while not self._started and self._simulation.alive(self._gateway):
            try:
                await self._read()
            except StoreUnavailableError:
                await self._simulation.clock.sleep_ms(READ_RETRY_MS)

    def begin_era(self) -> None:
        """Read all rows anew; a host that may be unlisted gets no new lease."""
        self._gateway.renewal.registered = False
        self._simulation.spawn(self._read_anew(self._gateway.eras.current))

    def tell_era(self, era: int, version: int) -> None:
        """Pass the era of an answer on; before the first return there is none."""
        self._gateway.eras.notice(era if era > FIRST_ERA else 0)

    def age_ms(self) -> float:
        """Return the time since this host's feed was seen to work."""
        now_ms = self._simulation.clock.now_ms()
        store = self._simulation.store
        if not store.down and self.receives_feed(self.era) and not self.missed_changes:
            self._known_ms = now_ms
        return now_ms - self._known_ms

    async def _read_anew(self, era: int) -> None:
        while self._read_era < era == self._gateway.eras.current:
            try:
                await self.refresh()
            except StoreUnavailableError:
                await self._simulation.clock.sleep_ms(READ_RETRY_MS)

    async def refresh(self) -> None:
        """Apply all changes; fails before all rows were read."""
        if not self._started:
            raise StoreUnavailableError(StoreFault.DOWN)
        await self._read()

    async def _read(self) -> None:
        store = self._simulation.store
        era, version = store.era, store.version
        rows, hosts = dict(store.rows), dict(store.hosts)
        electorate = store.electorate
        await self._call(store.call())
        if era == store.era:
            self._apply(version, rows, hosts, electorate)
        else:
            self._apply_newest()

    async def read_claim(self, group: str) -> ClaimRow:
        """Read a claim."""
        return await self._call(self._simulation.store.read_claim(group))

    async def swap_claim(self, group: str, expected: int, claim: Claim) -> int | None:
        """Write a claim if its version is the expected one; return the new version."""
        store = self._simulation.store
        return await self._call(store.swap_claim(group, expected, claim))

    async def register(self) -> int:
        """Write the row of this host; return the new version."""
        return await self._call(self._simulation.store.register_host(self.host))

    def record_answer(self, era: int, version: int) -> None:
        """Pass the era of an answer on."""
        self.era = era
        self.version = version
        self.on_answer(era, version)

    def receives_feed(self, era: int) -> bool:
        """Return whether this host's feed delivers a change of an era now."""
        simulation = self._simulation
        return (
            self._started
            and self.host not in simulation.hosts_without_store
            and era == simulation.store.era
            and simulation.clock.now_ms() >= self.feed_from_ms
        )

    async def resume_feed(self, era: int) -> None:
        """Read on after a return of the store, once the feed delivers something."""
        clock = self._simulation.clock
        await clock.sleep_ms(max(FEED_DELAY_MS, self.feed_from_ms - clock.now_ms()))
        store = self._simulation.store
        if not store.down and self.receives_feed(era):
            self.record_answer(store.era, store.version)
            self._apply_newest()

    def _apply_newest(self) -> None:
        store = self._simulation.store
        self._apply(
            store.version, dict(store.rows), dict(store.hosts), store.electorate
        )

    def advance(self, version: int) -> None:
        """Read on from a version, unless changes before it were missed."""
        if not self.missed_changes:
            self._read_version = max(self._read_version, version)

    def apply_claim(self, group: str, row: ClaimRow) -> None:
        """Apply a claim."""
        self._gateway.update_claim(group, row)

    def apply_electorate(self, number: int, row: ElectorateRow) -> None:
        """Apply the row of the electorate."""
        version = StoreVersion.from_parts(row.era, number)
        self._gateway.update_electorate(version, row, number)
        if not version and not self._gateway.electorate.version:
            self._gateway.electorate.row = row

    async def swap_electorate(
        self, expected_number: int, row: ElectorateRow
    ) -> StoreVersion | None:
        """Write the electorate if its version is the expected one."""
        store = self._simulation.store
        return await self._call(store.swap_electorate(expected_number, row))

    def apply_host(self, host: str, version: int) -> None:
        """Apply the row of a host."""
        if host == self.host:
            self._gateway.renewal.registered = True
        else:
            zone = self._simulation.zone_of(host)
            self._gateway.put_member(host, host, zone, StoreVersion(version))

    def apply_removal(self, host: str, version: int) -> None:
        """Apply that the row of a host was deleted."""
        if host == self.host:
            self._gateway.renewal.registered = False
        else:
            era = self._gateway.eras.current
            removed = StoreVersion.from_parts(era, version)
            self._gateway.remove_member(host, removed)

    def _apply(
        self,
        version: int,
        rows: dict[str, ClaimRow],
        hosts: dict[str, int],
        electorate: tuple[int, ElectorateRow] | None,
    ) -> None:
        """Apply the changes since the last version, or all rows if that is gone."""
        after = self._read_version
        is_new_era = self.era != self._read_era
        is_snapshot = version < after or is_new_era or not self._started
        if is_snapshot:
            after = -1
            self._gateway.sync_members(set(hosts))
            self._gateway.renewal.registered = self.host in hosts
            if self.host not in hosts and not self._gateway.env.leaving:
                self._simulation.spawn(self.register())
        for group, row in rows.items():
            if row.version.number > after:
                self._gateway.update_claim(group, row)
        for host, host_version in hosts.items():
            if host_version > after:
                self.apply_host(host, host_version)
        if electorate is not None and electorate[0] > after:
            self.apply_electorate(*electorate)
        self._gateway.finish_fleet_read(
            StoreVersion.from_parts(self._gateway.eras.current, version), is_snapshot
        )
        self._read_version = version
        self._read_era = self.era
        self._started = True
        self.missed_changes = False

    async def _call(self, call: Awaitable[object]) -> object:
        """Make a call, unless this host is cut off from the store."""
        store = self._simulation.store
        await self._simulation.awake(self._gateway)
        if self.host in self._simulation.hosts_without_store:
            call.close()
            raise StoreUnavailableError(StoreFault.DOWN)
        try:
            result = await call
            await self._simulation.awake(self._gateway)
        except StoreUnavailableError as error:
            if error.fault is not StoreFault.NO_ANSWER:
                self.record_answer(store.era, store.version)
            raise
        self.record_answer(store.era, store.version)
        return result


class DatagramsModel:
    """Datagrams between hosts, as one host sends them."""

    def __init__(self, simulation: SessionSimulation, gateway: SessionGateway) -> None:
        self._simulation = simulation
        self._gateway = gateway

    async def ask(
        self, address: str, query: HostQuery, limit_ms: float
    ) -> HostAnswer | None:
        """Send a query; the address of a host is its name."""
        simulation = self._simulation
        try:
            async with asyncio.timeout(limit_ms / MS_PER_S):
                await simulation.clock.sleep_ms(DATAGRAM_MS)
                await simulation.awake(self._gateway)
                if not simulation.delivers(self._gateway.host, address):
                    await simulation.clock.sleep_ms(limit_ms)
                    return None
                other = simulation.gateway(address)
                await simulation.awake(other)
                answer = other.host_queries.handle(query)
                if inspect.isawaitable(answer):
                    answer = await answer
                await simulation.clock.sleep_ms(DATAGRAM_MS)
                if not simulation.delivers(address, self._gateway.host):
                    await simulation.clock.sleep_ms(limit_ms)
                    return None
                await simulation.awake(self._gateway)
                return answer
        except TimeoutError:
            return None


class OrdersModel:
    """Model of the platform's order interface, which checks fencing tokens."""

    def __init__(self, simulation: SessionSimulation) -> None:
        self._simulation = simulation
        self.calls: list[tuple[str, str, str, int]] = []
        # Whether orders are not received at all.
        self.down = False
        # Delay of an order that gets no answer; None if orders are answered.
        self.late_order_ms: float | None = None

    async def promote(
        self,
        group: str,
        target_id: str,
        holder: str,
        fencing_token: int,
        may_send: Callable[[], bool],
    ) -> PromotionResult:
        """Accept or refuse an order to promote a target."""
        model = self._simulation.groups[group]
        if not may_send():
            return PromotionResult.NOT_SENT
        await self._simulation.clock.sleep_ms(ORDER_CALL_MS)
        if self.down or holder in self._simulation.hosts_without_store:
            return PromotionResult.UNAVAILABLE
        self.calls.append((group, target_id, holder, fencing_token))
        if self.late_order_ms is not None:
            self._simulation.spawn(
                self._carry_out_late(model, target_id, fencing_token)
            )
            await self._simulation.clock.sleep_ms(ORDER_TIMEOUT_MS)
            return PromotionResult.NO_ANSWER
        return self._carry_out(model, target_id, fencing_token)

    async def _carry_out_late(
        self, model: GroupModel, target_id: str, fencing_token: int
    ) -> None:
        await self._simulation.clock.sleep_ms(self.late_order_ms)
        self._carry_out(model, target_id, fencing_token)

    def _carry_out(
        self, model: GroupModel, target_id: str, fencing_token: int
    ) -> PromotionResult:
        if fencing_token < model.highest_token or not model.targets[target_id].up:
            return PromotionResult.REFUSED
        model.highest_token = fencing_token
        model.promotions.append((target_id, fencing_token))
        self._simulation.spawn(self._simulation.promote(model, target_id))
        return PromotionResult.ACCEPTED


class PeersModel:
    """The other hosts, as one gateway reaches them."""

    def __init__(self, simulation: SessionSimulation, gateway: SessionGateway) -> None:
        self._simulation = simulation
        self._gateway = gateway

    def names(self) -> list[str]:
        """Return the names of the other hosts."""
        return list(self._gateway.roster.addresses)

    async def survey(self, group: str, target_id: str) -> Survey:
        """Ask hosts of all zones for their view of a target."""
        simulation = self._simulation
        await simulation.awake(self._gateway)
        names = self._gateway.roster.sample(
            simulation.random, names=self._gateway.electorate.members
        )
        queries = [
            simulation.spawn(self._view(name, group, target_id)) for name in names
        ]
        return await collect_views(queries, group, target_id)

    async def _view(self, name: str, group: str, target_id: str) -> LeaderView | None:
        simulation = self._simulation
        reached = simulation.connected(self._gateway.host, name)
        if not reached or name in simulation.paused_hosts:
            limit_ms = SURVEY_TIMEOUT_MS if target_id else PRESENCE_TIMEOUT_MS
            await simulation.clock.sleep_ms(limit_ms)
            return None
        other = simulation.gateway(name)
        return await other.replacement.leader_view(other.env.group(group), target_id)


class SessionSimulation:
    """Simulated hosts, groups, store and clients on one virtual clock.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    hosts : int
        Number of hosts, each with a session core.
    groups : int
        Number of database groups, each with three targets.
    traits : Traits or None
        Capacity and delays of each target; the defaults if None.
    zones : int
        Number of availability zones over which hosts and targets are spread.
    policies : PolicyNames or None
        Load policies of the hosts; the defaults if None.
    leaders : tuple of int
        Numbers of the targets that lead at first; groups take them in turn.
    sync_replicas : int
        What the catalog says of each group; the modelled targets wait for none.
    leaving_use_ms : float
        For how long a target that leaves is sent new statements.
    """

    observer_class = Observer

    def __init__(
        self,
        seed: int,
        hosts: int = 2,
        groups: int = 1,
        traits: Traits | None = None,
        zones: int = 2,
        policies: PolicyNames | None = None,
        leaders: tuple[int, ...] = (0,),
        sync_replicas: int = 0,
        leaving_use_ms: float = math.inf,
    ) -> None:
        self.sync_replicas = sync_replicas
        self.leaving_use_ms = leaving_use_ms
        self.dialer = MemoryDialer(self._accept_stream)
        self.zones = zones
        self.policies = policies
        self.clock = VirtualClock()
        self.random = random.Random(seed)
        self.observer = self.observer_class()
        # Start and end in milliseconds, database and reply of each statement.
        self.replies: list[tuple[float, float, Database, Reply]] = []
        self._tasks: set[asyncio.Task] = set()
        self._request_count = 0
        self.groups = {
            f"g{number}": GroupModel(
                f"g{number}",
                TARGETS_PER_GROUP,
                traits or Traits(),
                self.clock,
                self.random,
                self.observer,
                leaders[number % len(leaders)],
            )
            for number in range(groups)
        }
        self.databases = [
            Database(
                f"{group}-{reads.value}",
                group,
                reads,
                age_ms,
                STATEMENT_TIMEOUT_MS,
                LATENCY_GOAL_MS,
                priority,
            )
            for group in self.groups
            for reads, age_ms, priority in (
                (ReadKind.CURRENT, 0.0, 1),
                (ReadKind.MAX_AGE, 1_500.0, 2),
                (ReadKind.OWN_WRITES, 2_500.0, 2),
            )
        ]
        self.isolated_hosts: set[str] = set()
        self.hosts_without_store: set[str] = set()
        self.paused_hosts: set[str] = set()
        # Statements in progress at each host.
        self.executions: dict[SessionGateway, set[asyncio.Task[Reply]]] = {}
        self._cut = Cut()
        self.drivers_by_host: dict[str, DriverModel] = {}
        self.store = StoreModel(self)
        self.stores_by_host: dict[str, HostStore] = {}
        self.orders = OrdersModel(self)
        self.gateways = [self._create_host(f"host-{number}") for number in range(hosts)]
        for gateway in self.gateways:
            gateway.eras.record_fleet_read()
            gateway.renewal.registered = True
            for other in self.gateways:
                gateway.put_member(other.host, other.host, other.zone)
            self.store.hosts[gateway.host] = 0
        voters = tuple(sorted(gateway.host for gateway in self.gateways))
        self.store.electorate = (0, ElectorateRow(voters))
        for host_store in self.stores_by_host.values():
            host_store.apply_electorate(*self.store.electorate)
        self.store.keep_state()

    @property
    def drivers(self) -> list[DriverModel]:
        """The hosts' drivers, in order."""
        return [self.drivers_by_host[gateway.host] for gateway in self.gateways]

    def gateway(self, host: str) -> SessionGateway:
        """Return a host by name."""
        return next(gateway for gateway in self.gateways if gateway.host == host)

    def zone_of(self, host: str) -> str:
        """Return the availability zone of a host, also of one that is gone."""
        return f"zone-{int(host.removeprefix('host-')) % self.zones}"

    def connected(self, host: str, other_host: str) -> bool:
        """Return whether two hosts reach each other."""
        return self.delivers(host, other_host) and self.delivers(other_host, host)

    def delivers(self, host: str, other_host: str) -> bool:
        """Return whether a message from one host to another arrives."""
        if all(gateway.host != other_host for gateway in self.gateways):
            return False
        if (host in self.isolated_hosts) != (other_host in self.isolated_hosts):
            return False
        cut = self._cut
        return cut.kind.delivers(host in cut.hosts, other_host in cut.hosts)

    async def awake(self, gateway: SessionGateway) -> None:
        """Wait while a host is suspended."""
        while gateway.host in self.paused_hosts:
            await self.clock.sleep_ms(PAUSE_CHECK_MS)

    def alive(self, gateway: SessionGateway) -> bool:
        """Return whether a host has not been replaced by a restarted one."""
        return gateway in self.gateways

    def spawn(self, work: object) -> asyncio.Task:
        """Start a background task and keep a reference to it."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def database(self, reads: ReadKind) -> Database:
        """Return the first database with a kind of reads."""
        return next(database for database in self.databases if database.reads is reads)

    async def promote(self, model: GroupModel, target_id: str) -> None:
        """Carry a promotion out, then publish the new entries of the targets."""
        await model.promote(target_id)
        await self._wait_for_feed()
        for gateway in self.gateways:
            if gateway.host in self.hosts_without_store:
                continue
            for target in model.targets.values():
                if self._cut == Cut() or (target.isolated == self._cut.store_inside):
                    gateway.put_target(self.target_entry(model, target.id))

    async def _wait_for_feed(self) -> None:
        """Wait until the hosts receive what the targets write to the store now."""
        while self.store.down:
            await self.clock.sleep_ms(READ_RETRY_MS)
        await self.clock.sleep_ms(FEED_DELAY_MS)

    def partition(self, hosts: set[str], targets: set[str]) -> None:
        """Cut hosts and targets off from all others, and from the store.

        Open connections across the partition go silent.
        """
        self.isolated_hosts = set(hosts)
        self.hosts_without_store = set(hosts)
        for model in self.groups.values():
            for target in model.targets.values():
                target.isolated = target.id in targets
        for host, driver in self.drivers_by_host.items():
            driver.unreachable_targets = self._unreachable_targets(host)
            driver.silence_links()

    def _unreachable_targets(self, host: str) -> set[str]:
        return {
            target.id
            for model in self.groups.values()
            for target in model.targets.values()
            if (host in self.isolated_hosts) != target.isolated
        }

    def heal(self) -> None:
        """End a partition; feeds that missed a return of the store read on."""
        self.partition(set(), set())
        for store in self.stores_by_host.values():
            if store.era < self.store.era:
                self.spawn(store.resume_feed(self.store.era))

    def cut(self, cut: Cut) -> None:
        """Cut a part of the network off; packets that it holds up are sent again.

        Without an argument's hosts and targets the network is whole again.
        """
        self._cut = cut
        names = {gateway.host for gateway in self.gateways}
        outside = names - cut.hosts
        self.hosts_without_store = set(outside if cut.store_inside else cut.hosts)
        if not cut.hosts and not cut.targets:
            self.hosts_without_store = set()
        for model in self.groups.values():
            for target in model.targets.values():
                target.isolated = target.id in cut.targets
            model.catch_up()
        for driver in self.drivers_by_host.values():
            driver.resets = cut.kind is CutKind.RESET
            if driver.resets:
                driver.reset_links()
        self.spawn(self._list_targets(cut))

    async def _list_targets(self, cut: Cut) -> None:
        """List the targets that reach the store; the others are unlisted later."""
        listed = [
            target
            for model in self.groups.values()
            for target in model.targets.values()
            if cut == Cut() or (target.id in cut.targets) == cut.store_inside
        ]
        await self._wait_for_feed()
        for gateway in self.gateways:
            if gateway.host not in self.hosts_without_store:
                for target in listed:
                    gateway.put_target(self.target_entry(target.group, target.id))
        await self.clock.sleep_ms(UNLISTED_AFTER_MS)
        if self._cut is not cut:
            return
        kept = {target.id for target in listed}
        for gateway in self.gateways:
            if gateway.host not in self.hosts_without_store:
                for model in self.groups.values():
                    for target_id in model.targets.keys() - kept:
                        gateway.remove_target(target_id)

    async def pause_host(self, host: str, duration_ms: float) -> None:
        """Suspend a host: what it sends and receives waits."""
        self.paused_hosts.add(host)
        self.drivers_by_host[host].paused = True
        await self.clock.sleep_ms(duration_ms)
        self.drivers_by_host[host].paused = False
        self.paused_hosts.discard(host)

    async def restart_host(self, host: str, down_ms: float) -> None:
        """Kill a host, and start it again without what it knew."""
        old = self.gateway(host)
        number = self.gateways.index(old)
        self.paused_hosts.add(host)
        self._kill(old)
        await self.clock.sleep_ms(down_ms)
        self.gateways[number] = self._create_host(host)
        self.paused_hosts.discard(host)
        self.spawn(self.stores_by_host[host].start_anew())

    def _kill(self, gateway: SessionGateway) -> None:
        for execution in self.executions.pop(gateway, ()):
            execution.cancel()
        for model in self.groups.values():
            for target in model.targets.values():
                for link in list(target.links):
                    if link.driver is self.drivers_by_host[gateway.host]:
                        link.cut()
        gateway.close()

    def add_host(self, number: int) -> SessionGateway:
        """Start a host that was not there before; it reads the store, and registers."""
        gateway = self._create_host(f"host-{number}")
        self.gateways.append(gateway)
        self.spawn(self.stores_by_host[gateway.host].start_anew())
        return gateway

    def remove_host(self, host: str) -> None:
        """Kill a host for good; its row is left behind."""
        gateway = self.gateway(host)
        self._kill(gateway)
        self.gateways.remove(gateway)

    async def retire_host(self, host: str) -> None:
        """Stop a host for good as on SIGTERM: without its vote and its row."""
        gateway = self.gateway(host)
        gateway.env.leaving = True
        await gateway.keeper.leave(VOTE_LIMIT_MS)
        await self.store.remove_host(host)
        self.remove_host(host)

    def target_entry(
        self, model: GroupModel, target_id: str, leaving: bool = False
    ) -> TargetEntry:
        """Return the entry that a target publishes about itself."""
        target = model.targets[target_id]
        zone = f"zone-{int(target_id[-1]) % self.zones}"
        return TargetEntry(
            target_id,
            model.name,
            "10.0.0.1:1",
            zone,
            target.traits.slots,
            leaving,
            leads=target.leads,
            started_ms=1,
        )

    async def announce_shutdown(self, model: GroupModel, target_id: str) -> None:
        """Publish that a target is about to shut down."""
        for gateway in self.gateways:
            gateway.put_target(self.target_entry(model, target_id, leaving=True))

    def client(self, gateway: SessionGateway, database: Database) -> ClientModel:
        """Return a client with a new session at a host."""
        return ClientModel(self, gateway, database)

    def new_request_id(self) -> str:
        """Return an unused request id."""
        self._request_count += 1
        return f"q{self._request_count}"

    async def run_clients(self, count: int, duration_ms: float) -> None:
        """Run random clients on all hosts and databases for a duration."""
        until_ms = self.clock.now_ms() + duration_ms
        await asyncio.gather(*(self._run_client(until_ms) for _ in range(count)))

    def close(self) -> None:
        """Stop all hosts and background tasks."""
        for gateway in self.gateways:
            gateway.close()
        for task in list(self._tasks):
            task.cancel()

    async def _run_client(self, until_ms: float) -> None:
        while self.clock.now_ms() < until_ms:
            gateway = self.random.choice(self.gateways)
            client = self.client(gateway, self.random.choice(self.databases))
            for _ in range(self.random.randint(1, MAX_OPERATIONS_PER_SESSION)):
                await self.clock.sleep_ms(
                    self.random.expovariate(1 / MEAN_OPERATION_PAUSE_MS)
                )
                await client.random_operation()
            await client.session.close()

    def _accept_stream(self, address: str, stream: Stream) -> None:
        self.spawn(self.gateway(address).relay.serve(stream))

    def _create_host(self, name: str) -> SessionGateway:
        driver = self.drivers_by_host[name] = DriverModel(self.groups)
        if self._cut == Cut():
            driver.unreachable_targets = self._unreachable_targets(name)

        def delivers(target: TargetModel, to_target: bool) -> bool:
            cut = self._cut
            sides = (name in cut.hosts, target.id in cut.targets)
            return cut.kind.delivers(*(sides if to_target else sides[::-1]))

        driver.delivers = delivers
        driver.resets = self._cut.kind is CutKind.RESET
        zone = self.zone_of(name)
        events = EventLog(name, zone, self.clock)
        gateway = SessionGateway(
            name,
            zone,
            driver,
            self.clock,
            events,
            LoadPolicies.from_config(self.policies),
            HostDialer(self.dialer, name, self.delivers),
            leaving_use_ms=self.leaving_use_ms,
        )
        gateway.install_catalog(
            Catalog(
                1,
                {database.name: database for database in self.databases},
                {
                    name: Group(name, CONNECTIONS_PER_TARGET, self.sync_replicas)
                    for name in self.groups
                },
            )
        )
        for model in self.groups.values():
            for target_id in model.targets:
                gateway.put_target(self.target_entry(model, target_id))
        store = self.stores_by_host[name] = HostStore(self, gateway)
        gateway.replacement.store = gateway.renewal.store = store
        store.on_answer = store.tell_era
        gateway.eras.on_change.append(store.begin_era)
        peers = DatagramsModel(self, gateway)
        gateway.renewal.peers = gateway.collector.peers = gateway.samples.peers = peers
        gateway.keeper.store = store
        gateway.keeper.peers = peers
        gateway.store_age_ms = store.age_ms
        gateway.replacement.orders = self.orders
        gateway.replacement.peers = PeersModel(self, gateway)
        gateway.start()
        return gateway


class ClientModel:
    """A client session that reports its requests and replies to the observer."""

    def __init__(
        self, simulation: SessionSimulation, gateway: SessionGateway, database: Database
    ) -> None:
        self.simulation = simulation
        self.gateway = gateway
        self.database = database
        self.session = gateway.open_session(database.name)
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[bool, str]] = {}
        self.own_commits: frozenset[Position] = frozenset()
        self.transaction_started_ms: float | None = None
        self.written: list[str] = []
        self.last_request_id = ""

    async def random_operation(self) -> None:
        """Run a random statement or transaction.

        Sometimes a session value is set or a statement prepared first.
        """
        random_state = self.simulation.random
        if random_state.random() < SET_VALUE_SHARE:
            await self.set_value(random_state.choice("ab"), random_state.choice("xy"))
        if random_state.random() < PREPARE_SHARE:
            await self.prepare(
                random_state.choice(("s1", "s2")),
                random_state.random() < PREPARED_WRITE_SHARE,
                random_state.choice("pqr"),
            )
        if random_state.random() < TRANSACTION_SHARE:
            await self._random_transaction()
        elif (
            self.database.reads is not ReadKind.MAX_AGE
            and random_state.random() < SINGLE_WRITE_SHARE
        ):
            await self.write()
        elif self.prepared and random_state.random() < EXECUTE_PREPARED_SHARE:
            await self.execute(random_state.choice(list(self.prepared)))
        else:
            await self.read()

    async def read(self) -> Reply:
        """Read an item."""
        return await self._execute(StatementKind.READ, "READ item")

    async def write(self) -> Reply:
        """Write an item."""
        return await self._execute(StatementKind.WRITE, "WRITE item data", writes=True)

    async def execute(self, name: str) -> Reply:
        """Execute a prepared statement."""
        return await self._execute(
            StatementKind.EXECUTE,
            f"EXECUTE {name} item",
            name=name,
            arguments="item",
            prepared=self.prepared[name],
        )

    async def set_value(self, name: str, value: str) -> Reply:
        """Set a session value."""
        reply = await self.session.execute(
            Statement(
                self.simulation.new_request_id(),
                StatementKind.SET_VALUE,
                "",
                name=name,
                value=value,
            )
        )
        self.values[name] = value
        return reply

    async def prepare(self, name: str, writes: bool, shape: str) -> Reply:
        """Prepare a statement."""
        reply = await self.session.execute(
            Statement(
                self.simulation.new_request_id(),
                StatementKind.PREPARE,
                "",
                name=name,
                writes=writes,
                shape=shape,
            )
        )
        self.prepared[name] = (writes, shape)
        return reply

    async def begin(self, read_only: bool = False) -> Reply:
        """Begin a transaction."""
        self.transaction_started_ms = self.simulation.clock.now_ms()
        self.written = []
        kind = StatementKind.BEGIN_READ_ONLY if read_only else StatementKind.BEGIN
        return await self.session.execute(
            Statement(self.simulation.new_request_id(), kind, "")
        )

    async def commit(self) -> Reply:
        """Commit the transaction."""
        request_id = self.simulation.new_request_id()
        self.simulation.observer.requested_commits.add(request_id)
        statement = Statement(request_id, StatementKind.COMMIT, "COMMIT")
        reply = await self._send(statement)
        self.transaction_started_ms = None
        if reply.code is None and self.written:
            self.simulation.observer.check_commit(statement, self.written)
            self._record_own_commit(reply)
        if reply.code is not None and reply.code.outcome is Outcome.NOT_RUN:
            self.simulation.observer.refused_writes.update(self.written)
        return reply

    async def rollback(self) -> Reply:
        """Roll the transaction back."""
        self.transaction_started_ms = None
        self.simulation.observer.refused_writes.update(self.written)
        return await self.session.execute(
            Statement(
                self.simulation.new_request_id(), StatementKind.ROLLBACK, "ROLLBACK"
            )
        )

    async def _random_transaction(self) -> None:
        random_state = self.simulation.random
        may_write = self.database.reads is not ReadKind.MAX_AGE
        read_only = not may_write or random_state.random() < READ_ONLY_TRANSACTION_SHARE
        await self.begin(read_only)
        for _ in range(random_state.randint(1, MAX_TRANSACTION_STATEMENTS)):
            await self.simulation.clock.sleep_ms(
                random_state.expovariate(1 / MEAN_STATEMENT_PAUSE_MS)
            )
            writes = (
                not read_only and random_state.random() < WRITE_IN_TRANSACTION_SHARE
            )
            reply = await (self.write() if writes else self.read())
            if reply.state is not TransactionState.OPEN:
                await self.rollback()
                return
        await (
            self.rollback() if random_state.random() < ROLLBACK_SHARE else self.commit()
        )

    async def _execute(
        self,
        kind: StatementKind,
        text: str,
        prepared: tuple[bool, str] | None = None,
        **fields: object,
    ) -> Reply:
        simulation = self.simulation
        statement = Statement(simulation.new_request_id(), kind, text, **fields)
        self.last_request_id = statement.request_id
        prepared_form = prepared or (statement.writes, "")
        started_ms = simulation.clock.now_ms()
        in_transaction = self.transaction_started_ms is not None
        simulation.observer.expect(
            statement,
            ExpectedRun(
                self.database,
                dict(self.values),
                prepared_form,
                in_transaction,
                self.transaction_started_ms if in_transaction else started_ms,
                self.own_commits,
            ),
        )
        reply = await self._send(statement)
        now_ms = simulation.clock.now_ms()
        simulation.observer.check_reply(statement, reply, now_ms)
        simulation.replies.append((started_ms, now_ms, self.database, reply))
        if reply.code is None and prepared_form[0]:
            if in_transaction:
                self.written.append(statement.request_id)
            else:
                self._record_own_commit(reply)
        return reply

    async def _send(self, statement: Statement) -> Reply:
        """Send a statement; a host that is suspended reads and answers it later."""
        simulation = self.simulation
        await simulation.awake(self.gateway)
        if not simulation.alive(self.gateway):
            return Reply(code=codes.CONNECTION_LOST, state=TransactionState.FAILED)
        execution = asyncio.ensure_future(self.session.execute(statement))
        executions = simulation.executions.setdefault(self.gateway, set())
        executions.add(execution)
        await asyncio.wait({execution})
        executions.discard(execution)
        await simulation.awake(self.gateway)
        if execution.cancelled() or not simulation.alive(self.gateway):
            return Reply(code=codes.CONNECTION_LOST, state=TransactionState.FAILED)
        return execution.result()

    def _record_own_commit(self, reply: Reply) -> None:
        if reply.position is not None:
            self.own_commits |= {reply.position}
            self.simulation.observer.record_acknowledgement(
                self.database.group, reply.position, self.simulation.clock.now_ms()
            )
