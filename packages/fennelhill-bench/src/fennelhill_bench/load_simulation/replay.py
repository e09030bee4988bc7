"""Replay of arrivals with clients that retry, and the results of their requests."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Awaitable, Callable, Collection

import msgspec
from fennelhill_core.clock import MS_PER_S
from fennelhill_core.codes import Outcome
from fennelhill_core.digest import key_digest
from fennelhilld.admission.policies import PolicyNames
from fennelhilld.catalog.state import Catalog, Group, Organisation
from fennelhilld.gateway import SessionGateway
from fennelhilld.links.messages import Command
from fennelhilld.statements.messages import Reply, Statement, StatementKind
from fennelhilld.statements.session import Session

from fennelhill_bench.load_simulation.arrivals import (
    GROUP,
    KINDS,
    ZONES,
    Arrival,
    organisation_names,
)
from fennelhill_bench.session_simulation.checks import RunRecorder
from fennelhill_bench.session_simulation.simulation import SessionSimulation
from fennelhill_bench.session_simulation.targets import Traits
from fennelhill_bench.virtual_time import run_virtual

HOSTS = 6
CONNECTIONS = 16  # per target
MAX_ATTEMPTS = 3  # the users' clients retry twice
RETRY_PAUSE_MS = 50.0
COMMIT_WORK_MS = 1.0
WARM_UP_MS = 1_500.0
WINDOW_MS = 500.0  # length of the windows that `worst_window` compares
MIN_PART_DIVISOR = 20  # `worst` ignores parts with less than a twentieth
# Values from the first user's data sheet.
TRAITS = Traits(lag_ms=60.0, promote_ms=1_000.0, max_connections=CONNECTIONS)
# Values from the data sheet of the user whose organisations compete.
SHARED_TRAITS = Traits(
    slots=4, lag_ms=60.0, promote_ms=300.0, max_connections=56, network_ms=0.5
)

FaultInjection = Callable[["LoadSimulation"], Awaitable[None]]


class RequestResult(msgspec.Struct):
    """The result of one request.

    Parameters
    ----------
    arrival : Arrival
        The request.
    latency_ms : float or None
        Time from the arrival to the answer, over all attempts; None without answer.
    attempts : int
        Number of attempts, including one that the deadline prevented.
    refused : int
        Attempts that were refused.
    """

    arrival: Arrival
    latency_ms: float | None
    attempts: int
    refused: int

    @property
    def worth(self) -> float:
        """Worth of the answer, at most that of its kind."""
        kind = KINDS[self.arrival.kind]
        if self.latency_ms is None:
            return 0.0
        return kind.worth * (1.0 if self.in_time else kind.late_worth)

    @property
    def in_time(self) -> bool:
        """Whether it was answered within its latency objective."""
        objective_ms = KINDS[self.arrival.kind].latency_objective_ms
        return self.latency_ms is not None and self.latency_ms <= objective_ms


class ReplayResult:
    """The results of a replay's requests.

    Parameters
    ----------
    requests : list of RequestResult
        Results of all requests.
    """

    def __init__(self, requests: list[RequestResult]) -> None:
        self.requests = requests

    @property
    def whole(self) -> float:
        """Worth of the answers as a share of the worth if all were in time."""
        return _worth_share(self.requests)

    def worst(self, key: Callable[[Arrival], object]) -> float:
        """Return the lowest share of worth among parts of the requests.

        Parameters
        ----------
        key : callable
            Returns the part that an arrival belongs to.

        Returns
        -------
        float
            The lowest share; parts with less than a twentieth of the requests are
            ignored.
        """
        parts = defaultdict(list)
        for request in self.requests:
            parts[key(request.arrival)].append(request)
        min_requests = len(self.requests) / MIN_PART_DIVISOR
        return min(
            _worth_share(part) for part in parts.values() if len(part) >= min_requests
        )

    @property
    def worst_kind(self) -> float:
        """Lowest share of worth of a kind."""
        return self.worst(lambda arrival: arrival.kind)

    @property
    def worst_zone(self) -> float:
        """Lowest share of worth of a zone."""
        return self.worst(lambda arrival: arrival.zone)

    @property
    def worst_window(self) -> float:
        """Lowest share of worth of a time window."""
        return self.worst(lambda arrival: arrival.at_ms // WINDOW_MS)

    @property
    def in_time(self) -> int:
        """Number of requests that were answered within their latency objective."""
        return sum(request.in_time for request in self.requests)

    @property
    def unanswered(self) -> int:
        """Number of requests that got no answer, or only refusals."""
        return sum(request.latency_ms is None for request in self.requests)

    @property
    def refused(self) -> int:
        """Number of attempts that were refused."""
        return sum(request.refused for request in self.requests)

    def select(self, keep: Callable[[Arrival], bool]) -> ReplayResult:
        """Return the results of a part of the requests."""
        return ReplayResult(
            [request for request in self.requests if keep(request.arrival)]
        )

    def of(self, organisations: Collection[str]) -> ReplayResult:
        """Return the results of some organisations' requests."""
        return self.select(lambda arrival: arrival.organisation in organisations)

    @property
    def p95_ms(self) -> float:
        """Latency that a twentieth of the answered requests exceeds."""
        latencies = sorted(
            request.latency_ms
            for request in self.requests
            if request.latency_ms is not None
        )
        return latencies[int(0.95 * len(latencies))]

    @property
    def in_time_work_ms(self) -> float:
        """Slot time of a statement of each request that was answered in time."""
        return sum(
            request.arrival.work_ms for request in self.requests if request.in_time
        )


def _worth_share(requests: list[RequestResult]) -> float:
    full_worth = sum(KINDS[request.arrival.kind].worth for request in requests)
    return sum(request.worth for request in requests) / full_worth


class LoadSimulation(SessionSimulation):
    """A simulated fleet in three zones, in front of one group; its clients retry.

    Parameters
    ----------
    seed : int
        Seed of all random choices that are not recorded.
    policies : PolicyNames or None
        Load policies of the hosts; the defaults if None.
    traits : Traits
        Capacity and delays of each target.
    organisations : list of str
        Organisations of the deployment; a client's key is their name.
    hosts : int
        Number of hosts.
    """

    observer_class = RunRecorder

    def __init__(
        self,
        seed: int,
        policies: PolicyNames | None = None,
        traits: Traits = TRAITS,
        organisations: list[str] | None = None,
        hosts: int = HOSTS,
    ) -> None:
        super().__init__(seed, hosts, 1, traits, ZONES, policies)
        self._work_ms_by_request: dict[str, float] = {}
        self._stopped_hosts: set[str] = set()
        self._attempts: dict[str, set[asyncio.Task]] = defaultdict(set)
        self.group = self.groups[GROUP]
        self.group.work_ms = self._command_work_ms
        databases = {name: kind.database() for name, kind in KINDS.items()}
        groups = {GROUP: Group(GROUP, traits.max_connections)}
        self.catalog = Catalog(2, databases, groups)
        if organisations is not None:
            self.catalog = msgspec.structs.replace(
                self.catalog,
                organisations={name: Organisation(name) for name in organisations},
                keys={key_digest(name): name for name in organisations},
            )
        for gateway in self.gateways:
            gateway.install_catalog(self.catalog)

    def stop_host(self, gateway: SessionGateway) -> None:
        """Stop a host at once; its clients lose their connections."""
        self._stopped_hosts.add(gateway.host)
        gateway.close()
        for target in self.group.targets.values():
            for link in list(target.links):
                if link.driver is self.drivers_by_host[gateway.host]:
                    link.cut()
        for task in list(self._attempts[gateway.host]):
            task.cancel()

    def start_host(self, gateway: SessionGateway) -> None:
        """Start a stopped host again under its name."""
        number = self.gateways.index(gateway)
        restarted = self._create_host(gateway.host)
        restarted.install_catalog(self.catalog)
        self.gateways[number] = restarted
        self._stopped_hosts.discard(gateway.host)
        self.spawn(self.stores_by_host[gateway.host].start_anew())

    async def send_with_retries(self, arrival: Arrival) -> RequestResult:
        """Send one request, with its client's retries; return the result."""
        kind = KINDS[arrival.kind]
        started_ms = self.clock.now_ms()
        refused = 0
        for number in range(1, MAX_ATTEMPTS + 1):
            left_ms = started_ms + kind.deadline_ms - self.clock.now_ms()
            if left_ms <= 0:
                break
            reply = await self._attempt(arrival, left_ms)
            if reply is not None and reply.code is None:
                latency_ms = self.clock.now_ms() - started_ms
                return RequestResult(arrival, latency_ms, number, refused)
            refused += reply is not None
            may_have_run = reply is None or reply.code.outcome is not Outcome.NOT_RUN
            if may_have_run and arrival.operation != "read":
                break  # It may have run, so the client does not retry.
            await self.clock.sleep_ms(RETRY_PAUSE_MS)
        return RequestResult(arrival, None, number, refused)

    async def _attempt(self, arrival: Arrival, left_ms: float) -> Reply | None:
        gateway = self._choose_host(arrival.zone)
        if gateway is None:
            return None
        work = asyncio.ensure_future(self._run_operation(gateway, arrival))
        attempts = self._attempts[gateway.host]
        attempts.add(work)
        done, _ = await asyncio.wait({work}, timeout=left_ms / MS_PER_S)
        attempts.discard(work)
        if not done:
            work.cancel()
            return None
        return None if work.cancelled() else work.result()

    def _choose_host(self, zone: int) -> SessionGateway | None:
        up = [
            gateway
            for gateway in self.gateways
            if gateway.host not in self._stopped_hosts
        ]
        near = [gateway for gateway in up if gateway.zone == f"zone-{zone}"]
        return self.random.choice(near or up) if up else None

    async def _run_operation(self, gateway: SessionGateway, arrival: Arrival) -> Reply:
        session = gateway.open_session(arrival.kind, arrival.organisation)
        try:
            if arrival.operation == "read":
                return await self._execute(session, StatementKind.READ, arrival)
            if arrival.operation == "write":
                return await self._execute(session, StatementKind.WRITE, arrival)
            return await self._run_transaction(session, arrival)
        finally:
            await session.close()

    async def _run_transaction(self, session: Session, arrival: Arrival) -> Reply:
        may_write = KINDS[arrival.kind].write_share > 0
        begin = StatementKind.BEGIN if may_write else StatementKind.BEGIN_READ_ONLY
        steps = [begin, StatementKind.READ]
        steps += [StatementKind.WRITE] if may_write else []
        for step in steps:
            reply = await self._execute(session, step, arrival)
            if reply.code is not None:
                return reply
        return await self._execute(session, StatementKind.COMMIT, arrival)

    async def _execute(
        self, session: Session, kind: StatementKind, arrival: Arrival
    ) -> Reply:
        request_id = self.new_request_id()
        self._work_ms_by_request[request_id] = arrival.work_ms
        writes = kind is StatementKind.WRITE
        text = f"{kind.value.upper()} item"
        try:
            return await session.execute(
                Statement(request_id, kind, text, writes=writes)
            )
        finally:
            del self._work_ms_by_request[request_id]

    def _command_work_ms(self, command: Command) -> float:
        if command.statement is None:
            return COMMIT_WORK_MS
        if command.statement.kind is StatementKind.COMMIT:
            return COMMIT_WORK_MS
        return self._work_ms_by_request.get(
            command.statement.request_id, COMMIT_WORK_MS
        )


def replay(
    arrivals: list[Arrival],
    inject_fault: FaultInjection | None = None,
    policies: PolicyNames | None = None,
    seed: int = 1,
    overcommit: float | None = None,
    hosts: int = HOSTS,
) -> ReplayResult:
    """Replay arrivals under virtual time.

    Parameters
    ----------
    arrivals : list of Arrival
        In order of time.
    inject_fault : callable or None
        Runs concurrently with the arrivals.
    policies : PolicyNames or None
        Load policies of the hosts; the defaults if None.
    seed : int
        Seed of all random choices that are not recorded.
    overcommit : float or None
        Factor by which hosts may exceed their equal share of a target's connections;
        the daemon's value if None.
    hosts : int
        Number of hosts.

    Returns
    -------
    ReplayResult
        Results of all requests.
    """
    return run_virtual(
        _replay(arrivals, inject_fault, policies, seed, overcommit, hosts)
    )


async def _replay(
    arrivals: list[Arrival],
    inject_fault: FaultInjection | None,
    policies: PolicyNames | None,
    seed: int,
    overcommit: float | None,
    hosts: int,
) -> ReplayResult:
    simulation = LoadSimulation(seed, policies, hosts=hosts)
    if any(arrival.organisation for arrival in arrivals):
        simulation = LoadSimulation(
            seed, policies, SHARED_TRAITS, organisation_names(), hosts
        )
    if overcommit is not None:
        for gateway in simulation.gateways:
            gateway.ownership.set_overcommit(overcommit)
    await simulation.clock.sleep_ms(WARM_UP_MS)
    start_ms = simulation.clock.now_ms()
    injection = (
        None if inject_fault is None else simulation.spawn(inject_fault(simulation))
    )
    request_tasks = []
    for arrival in arrivals:
        await simulation.clock.sleep_ms(
            max(0.0, start_ms + arrival.at_ms - simulation.clock.now_ms())
        )
        request_tasks.append(simulation.spawn(simulation.send_with_retries(arrival)))
    requests = await asyncio.gather(*request_tasks)
    if injection is not None and injection.done():
        injection.result()
    simulation.close()
    return ReplayResult(list(requests))
