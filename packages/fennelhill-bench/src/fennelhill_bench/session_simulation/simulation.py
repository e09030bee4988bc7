"""A fleet of session cores in front of modelled groups, with clients and faults."""

from __future__ import annotations

import asyncio
import enum
import inspect
import random
from collections.abc import Callable

import msgspec
from fennelhill_core import codes
from fennelhill_core.clock import MS_PER_S
from fennelhill_core.codes import Outcome
from fennelhill_core.events import EventLog
from fennelhill_core.platform import StoreFault, StoreUnavailableError
from fennelhill_core.streams import Stream
from fennelhill_core.tokens import Position
from fennelhilld.admission.policies import LoadPolicies, PolicyNames
from fennelhilld.catalog.state import Catalog, Database, Group, ReadKind
from fennelhilld.directory.state import TargetEntry
from fennelhilld.gateway import SessionGateway
from fennelhilld.leader_lease.messages import HostAnswer, HostQuery
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
STORE_TIMEOUT_MS = 500.0  # until a lost answer is reported
ORDER_CALL_MS = 3.0
ORDER_TIMEOUT_MS = 1_200.0  # until a lost answer is reported
UNLISTED_AFTER_MS = 3_000.0  # without a heartbeat of a target
PAUSE_CHECK_MS = 10.0
# Wait for hosts that do not answer a survey, with and without a target to probe.
SURVEY_TIMEOUT_MS = 450.0
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


class StoreModel:
    """Model of the platform's store, reduced to claims."""

    def __init__(self, simulation: SessionSimulation) -> None:
        self._simulation = simulation
        self.rows: dict[str, ClaimRow] = {}
        self.version = 0
        self.down = False
        self.lose_answers = False
        # Delay of a claim whose write got no answer; None if it is written at once.
        self.late_write_ms: float | None = None
        self.call_ms = STORE_CALL_MS

    async def read_claim(self, group: str) -> ClaimRow:
        """Read a claim."""
        await self.call()
        return self.rows.get(group, ClaimRow())

    async def swap_claim(self, group: str, expected: int, claim: Claim) -> int | None:
        """Write a claim if its version is the expected one; return the new version."""
        await self.call()
        if self.late_write_ms is not None:
            copy = msgspec.structs.replace(claim)
            self._simulation.spawn(self._write_late(group, expected, copy))
            await self._simulation.clock.sleep_ms(STORE_TIMEOUT_MS)
            raise StoreUnavailableError(StoreFault.NO_ANSWER)
        if not self._write(group, expected, claim):
            return None
        if self.lose_answers:
            await self._simulation.clock.sleep_ms(STORE_TIMEOUT_MS)
            raise StoreUnavailableError(StoreFault.NO_ANSWER)
        return self.version

    def _write(self, group: str, expected: int, claim: Claim) -> bool:
        if self.rows.get(group, ClaimRow()).version != expected:
            return False
        self.version += 1
        row = ClaimRow(self.version, msgspec.structs.replace(claim))
        self.rows[group] = row
        self._simulation.spawn(self._notify(group, row))
        return True

    async def _write_late(self, group: str, expected: int, claim: Claim) -> None:
        await self._simulation.clock.sleep_ms(self.late_write_ms)
        self._write(group, expected, claim)

    async def call(self) -> None:
        """Take the time of a call; raises `StoreUnavailableError` if it fails."""
        await self._simulation.clock.sleep_ms(self.call_ms)
        if self.down:
            raise StoreUnavailableError(StoreFault.DOWN)

    async def _notify(self, group: str, row: ClaimRow) -> None:
        await self._simulation.clock.sleep_ms(FEED_DELAY_MS)
        for gateway in self._simulation.gateways:
            if gateway.host not in self._simulation.hosts_without_store:
                self._simulation.spawn(self._deliver(gateway, group, row))

    async def _deliver(
        self, gateway: SessionGateway, group: str, row: ClaimRow
    ) -> None:
        await self._simulation.awake(gateway)
        gateway.update_claim(group, row)


class HostStore:
    """The store, as one host reaches it."""

    def __init__(self, simulation: SessionSimulation, gateway: SessionGateway) -> None:
        self._simulation = simulation
        self._gateway = gateway

    async def refresh(self) -> None:
        """Apply all claims."""
        store = self._simulation.store
        await self._check()
        version, rows = store.version, dict(store.rows)
        await store.call()
        await self._simulation.awake(self._gateway)
        for group, row in rows.items():
            self._gateway.update_claim(group, row)
        self._gateway.replacement.claims.raise_complete_version(version)

    async def read_claim(self, group: str) -> ClaimRow:
        """Read a claim."""
        await self._check()
        return await self._simulation.store.read_claim(group)

    async def swap_claim(self, group: str, expected: int, claim: Claim) -> int | None:
        """Write a claim if its version is the expected one; return the new version."""
        await self._check()
        return await self._simulation.store.swap_claim(group, expected, claim)

    async def _check(self) -> None:
        await self._simulation.awake(self._gateway)
        if self._gateway.host in self._simulation.hosts_without_store:
            raise StoreUnavailableError(StoreFault.DOWN)


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
        names = self._gateway.roster.sample(simulation.random)
        queries = [
            simulation.spawn(self._view(simulation.gateway(name), group, target_id))
            for name in names
        ]
        return await collect_views(queries, group, target_id)

    async def _view(
        self, other: SessionGateway, group: str, target_id: str
    ) -> LeaderView | None:
        simulation = self._simulation
        reached = simulation.connected(self._gateway.host, other.host)
        if not reached or other.host in simulation.paused_hosts:
            limit_ms = SURVEY_TIMEOUT_MS if target_id else PRESENCE_TIMEOUT_MS
            await simulation.clock.sleep_ms(limit_ms)
            return None
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
    ) -> None:
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
        self.orders = OrdersModel(self)
        self.gateways = [
            self._create_host(f"host-{number}", number) for number in range(hosts)
        ]
        for gateway in self.gateways:
            for other in self.gateways:
                gateway.put_member(other.host, other.host, other.zone)

    @property
    def drivers(self) -> list[DriverModel]:
        """The hosts' drivers, in order."""
        return [self.drivers_by_host[gateway.host] for gateway in self.gateways]

    def gateway(self, host: str) -> SessionGateway:
        """Return a host by name."""
        return next(gateway for gateway in self.gateways if gateway.host == host)

    def connected(self, host: str, other_host: str) -> bool:
        """Return whether two hosts reach each other."""
        return self.delivers(host, other_host) and self.delivers(other_host, host)

    def delivers(self, host: str, other_host: str) -> bool:
        """Return whether a message from one host to another arrives."""
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
        await self.clock.sleep_ms(FEED_DELAY_MS)
        for gateway in self.gateways:
            if gateway.host in self.hosts_without_store:
                continue
            for target in model.targets.values():
                if self._cut == Cut() or (target.isolated == self._cut.store_inside):
                    gateway.put_target(self.target_entry(model, target.id))

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
            driver.unreachable_targets = {
                target.id
                for model in self.groups.values()
                for target in model.targets.values()
                if (host in hosts) != (target.id in targets)
            }
            driver.silence_links()

    def heal(self) -> None:
        """End a partition."""
        self.partition(set(), set())

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
        await self.clock.sleep_ms(FEED_DELAY_MS)
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
        for execution in self.executions.pop(old, ()):
            execution.cancel()
        for model in self.groups.values():
            for target in model.targets.values():
                for link in list(target.links):
                    if link.driver is self.drivers_by_host[host]:
                        link.cut()
        old.close()
        await self.clock.sleep_ms(down_ms)
        self.gateways[number] = self._create_host(host, number)
        self.paused_hosts.discard(host)
        for other in self.gateways:
            self.gateways[number].put_member(other.host, other.host, other.zone)
        for group, row in self.store.rows.items():
            if host not in self.hosts_without_store:
                self.gateways[number].update_claim(group, row)

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

    def _create_host(self, name: str, number: int) -> SessionGateway:
        driver = self.drivers_by_host[name] = DriverModel(self.groups)

        def delivers(target: TargetModel, to_target: bool) -> bool:
            cut = self._cut
            sides = (name in cut.hosts, target.id in cut.targets)
            return cut.kind.delivers(*(sides if to_target else sides[::-1]))

        driver.delivers = delivers
        driver.resets = self._cut.kind is CutKind.RESET
        zone = f"zone-{number % self.zones}"
        events = EventLog(name, zone, self.clock)
        gateway = SessionGateway(
            name,
            zone,
            driver,
            self.clock,
            events,
            LoadPolicies.from_config(self.policies),
            HostDialer(self.dialer, name, self.delivers),
        )
        gateway.install_catalog(
            Catalog(
                1,
                {database.name: database for database in self.databases},
                {name: Group(name, CONNECTIONS_PER_TARGET) for name in self.groups},
            )
        )
        for model in self.groups.values():
            for target_id in model.targets:
                gateway.put_target(self.target_entry(model, target_id))
        gateway.replacement.store = gateway.renewal.store = HostStore(self, gateway)
        peers = DatagramsModel(self, gateway)
        gateway.renewal.peers = gateway.collector.peers = gateway.samples.peers = peers
        gateway.renewal.registered = True
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
