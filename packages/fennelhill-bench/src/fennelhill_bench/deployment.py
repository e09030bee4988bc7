"""Complete deployments in one process: daemons, targets and the platform."""

from __future__ import annotations

import random
import socket

import msgspec
from fennelhill_core.clock import Clock
from fennelhill_core.platform import HostEntry, Row
from fennelhill_core.settings import (
    EntryHost,
    Fleet,
    Group,
    Kind,
    Limits,
    RequestClass,
    Settings,
    Target,
    Team,
    hash_token,
)
from fennelhill_core.streams import Dialer
from fennelhill_core.websockets import StreamEndpoint, WebSocketDialer
from fennelhilld.daemon import PEER_PATH, TARGET_PATH, Daemon, Dependencies
from fennelhilld.failover.coordinator import GroupRow
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from fennelhill_bench.network import MemoryTransport, Network
from fennelhill_bench.platform import (
    HostListStandIn,
    TableServiceStandIn,
    ZoneTable,
)
from fennelhill_bench.target import TargetSpec, TargetStandIn
from fennelhill_bench.virtual_time import VirtualClock

TEAM = "curtiembre"
OTHER_TEAM = "umbhalo"
TOKENS = {TEAM: "curtiembre-demo-token", OTHER_TEAM: "umbhalo-demo-token"}
FLEET_SECRET = "a-secret-for-loopback-only"
FIRST_PROMOTION_ATTEMPT = "bench-0"
BOGOTA_HOSTS = 6
JOHANNESBURG_HOSTS = 7
TARGETS_PER_GROUP = 3
SEED_BITS = 64
FIRST_MEMORY_PORT = 10_000


class Plan(msgspec.Struct):
    """Size, timing and policies of a deployment.

    Parameters
    ----------
    name : str
        Name of the deployment.
    zones : list of str
        Availability zones.
    hosts : int
        Number of entry hosts, assigned to the zones in turn.
    groups : list of str
        Database groups, each with a target in each of the first three zones.
    slots : int
        Number of batches that a target runs concurrently.
    connections : int
        Maximum number of open connections to a target.
    connect_ms : float
        Time to set up a connection to a target.
    service_ms : float
        Time that a batch occupies a slot.
    lag_ms : float
        Replication delay in addition to the network delay.
    one_way_ms : float
        One-way delay between two zones.
    limits : Limits
        The `limits` section of the settings.
    read_policy : str
        Name of the read policy.
    owner_policy : str
        Name of the owner policy.
    """

    name: str
    zones: list[str]
    hosts: int
    groups: list[str]
    slots: int
    connections: int
    connect_ms: float
    service_ms: float = 4.0
    lag_ms: float = 25.0
    one_way_ms: float = 1.4
    limits: Limits = Limits()
    read_policy: str = "least_wait"
    owner_policy: str = "rendezvous"

    @classmethod
    def bogota(cls, **changes: object) -> Plan:
        """Return the plan of the Bogotá deployment.

        Parameters
        ----------
        **changes : object
            Fields to override.

        Returns
        -------
        Plan
            The plan.
        """
        plan = cls(
            "bogota",
            ["bog-a", "bog-b", "bog-c"],
            BOGOTA_HOSTS,
            ["orders-1", "orders-2", "orders-3"],
            slots=2,
            connections=16,
            connect_ms=12.0,
        )
        return msgspec.structs.replace(plan, **changes)

    @classmethod
    def johannesburg(cls, **changes: object) -> Plan:
        """Return the plan of the Johannesburg deployment.

        Parameters
        ----------
        **changes : object
            Fields to override.

        Returns
        -------
        Plan
            The plan.
        """
        plan = cls(
            "johannesburg",
            ["jnb-a", "jnb-b", "jnb-c", "jnb-d"],
            JOHANNESBURG_HOSTS,
            ["jobs-1", "jobs-2", "jobs-3"],
            slots=3,
            connections=36,
            connect_ms=27.0,
        )
        return msgspec.structs.replace(plan, **changes)

    def settings(self, addresses: list[str]) -> Settings:
        """Build the settings of this plan.

        Parameters
        ----------
        addresses : list of str
            ``ip:port`` of each entry host, then of each target.

        Returns
        -------
        Settings
            Validated settings.
        """
        remaining = iter(addresses)
        zones = self.zones
        hosts = [
            EntryHost(
                id=f"{zones[n % len(zones)]}-{n // len(zones) + 1}",
                zone=zones[n % len(zones)],
                address=next(remaining),
            )
            for n in range(self.hosts)
        ]
        groups = {
            name: Group(
                targets=[
                    self._target(name, zone, next(remaining))
                    for zone in zones[:TARGETS_PER_GROUP]
                ]
            )
            for name in self.groups
        }
        settings = Settings(
            version=1,
            fleet=Fleet(name=self.name, secret=FLEET_SECRET),
            entry_hosts=hosts,
            groups=groups,
            teams={name: self._team(name) for name in TOKENS},
            limits=self.limits,
            read_policy=self.read_policy,
            owner_policy=self.owner_policy,
        )
        return Settings.from_yaml(settings.to_yaml())

    def _target(self, group: str, zone: str, address: str) -> Target:
        return Target(
            id=f"{group}-{zone[-1]}",
            zone=zone,
            address=address,
            slots=self.slots,
            connections=self.connections,
        )

    def _team(self, name: str) -> Team:
        return Team(
            token_sha256=hash_token(TOKENS[name]),
            # Only TEAM may use all groups, so that tests can check that another
            # team is refused.
            groups=self.groups if name == TEAM else self.groups[:1],
            classes={
                "order": RequestClass(kind=Kind.WRITE, priority="booking"),
                "upsert": RequestClass(kind=Kind.WRITE, idempotent=True),
                "order-read": RequestClass(kind=Kind.READ, deadline_ms=500),
                "status": RequestClass(
                    kind=Kind.READ,
                    allowed_age_ms=2000,
                    deadline_ms=500,
                    priority="poll",
                ),
            },
        )

    def address_count(self) -> int:
        """Return the number of addresses that `settings` needs.

        Returns
        -------
        int
            One for each entry host and target.
        """
        return self.hosts + TARGETS_PER_GROUP * len(self.groups)


class Deployment:
    """A running deployment.

    Parameters
    ----------
    plan : Plan
        Size, timing and policies.
    seed : int
        Seed of all randomness.
    clock : Clock
        Source of time.
    """

    def __init__(self, plan: Plan, seed: int, clock: Clock) -> None:
        self.plan = plan
        self.clock = clock
        self.random = random.Random(seed)
        self.network = Network(plan.one_way_ms)
        self.table = TableServiceStandIn(self.clock)
        self.host_list = HostListStandIn(self.clock)
        self.targets: dict[str, TargetStandIn] = {}
        self.daemons: dict[str, Daemon] = {}
        self.settings: Settings | None = None
        self.memory_transport: MemoryTransport | None = None
        self._servers: list[HTTPServer] = []

    @classmethod
    def in_memory(cls, plan: Plan, seed: int = 1) -> Deployment:
        """Start a deployment whose streams are in memory, for virtual time.

        Parameters
        ----------
        plan : Plan
            Size, timing and policies.
        seed : int
            Seed of all randomness.

        Returns
        -------
        Deployment
            The running deployment.
        """
        deployment = cls(plan, seed, VirtualClock())
        deployment.memory_transport = MemoryTransport()
        count = plan.address_count()
        addresses = [f"127.0.0.1:{FIRST_MEMORY_PORT + n}" for n in range(count)]
        deployment._build(
            addresses, deployment.memory_transport, deployment.memory_transport
        )
        for target in deployment.targets.values():
            deployment.memory_transport.listen(
                deployment._address_of(target), target.serve
            )
        for daemon in deployment.daemons.values():
            deployment.memory_transport.listen(daemon.host.address, daemon.serve_peer)
            daemon.start()
        return deployment

    @classmethod
    def on_loopback(cls, plan: Plan, seed: int = 1) -> Deployment:
        """Start a deployment whose streams are sockets on the loopback device.

        Parameters
        ----------
        plan : Plan
            Size, timing and policies.
        seed : int
            Seed of all randomness.

        Returns
        -------
        Deployment
            The running deployment.
        """
        deployment = cls(plan, seed, Clock())
        sockets = [_listening_socket() for _ in range(plan.address_count())]
        addresses = [f"127.0.0.1:{s.getsockname()[1]}" for s in sockets]
        peer_dialer = WebSocketDialer(PEER_PATH, FLEET_SECRET)
        deployment._build(addresses, peer_dialer, WebSocketDialer(TARGET_PATH))
        socket_of = dict(zip(addresses, sockets, strict=True))
        for target in deployment.targets.values():
            endpoint = {"handler": target.serve}
            server = HTTPServer(Application([(TARGET_PATH, StreamEndpoint, endpoint)]))
            server.add_sockets([socket_of[deployment._address_of(target)]])
            deployment._servers.append(server)
        for daemon in deployment.daemons.values():
            daemon.start()
            daemon.listen([socket_of[daemon.host.address]])
        return deployment

    def _build(
        self, addresses: list[str], peer_base: Dialer, target_base: Dialer
    ) -> None:
        settings = self.plan.settings(addresses)
        self.settings = settings
        for name, group in settings.groups.items():
            for target in group.targets:
                self.network.set_zone(target.address, target.zone)
            members = build_group(
                name, group, self.network, self.clock, self.table, self.plan
            )
            self.targets.update(members)
        self.host_list.publish([HostEntry(host.id) for host in settings.entry_hosts])
        for host in settings.entry_hosts:
            self.network.set_zone(host.address, host.zone)
            dependencies = Dependencies(
                self.network.dialer(host.address, host.zone, peer_base),
                self.network.dialer(host.address, host.zone, target_base),
                ZoneTable(self.table, self.network, host.zone),
                self.host_list,
            )
            random_state = random.Random(self.random.getrandbits(SEED_BITS))
            self.daemons[host.id] = Daemon(
                host, settings, dependencies, self.clock, random_state
            )

    def group(self, name: str) -> list[TargetStandIn]:
        """Return the targets of a group.

        Parameters
        ----------
        name : str
            The database group.

        Returns
        -------
        list of TargetStandIn
            The targets, in the order of the settings.
        """
        return [
            self.targets[target.id] for target in self.settings.groups[name].targets
        ]

    def primary(self, group: str) -> TargetStandIn:
        """Return the running primary of a group.

        Parameters
        ----------
        group : str
            The database group.

        Returns
        -------
        TargetStandIn
            The primary; the one in the highest term if there are several.

        Raises
        ------
        LookupError
            If no running target of the group is primary.
        """
        primaries = [t for t in self.group(group) if t.primary and t.alive]
        if not primaries:
            raise LookupError(f"group {group} has no running primary")
        return max(primaries, key=lambda target: target.term)

    def kill_daemon(self, host_id: str) -> None:
        """Crash an entry host.

        Parameters
        ----------
        host_id : str
            Name of the entry host.
        """
        daemon = self.daemons.pop(host_id)
        if self.memory_transport is not None:
            self.memory_transport.stop(daemon.host.address)
        self.network.disconnect(daemon.host.address)
        daemon.close()

    def kill_target(self, target: TargetStandIn) -> None:
        """Crash a target.

        Parameters
        ----------
        target : TargetStandIn
            The target.
        """
        target.kill()

    def close(self) -> None:
        """Stop all daemons, servers and targets."""
        for daemon in self.daemons.values():
            daemon.close()
        for server in self._servers:
            server.stop()
        for target in self.targets.values():
            target.close()

    def _address_of(self, target: TargetStandIn) -> str:
        for group in self.settings.groups.values():
            for entry in group.targets:
                if entry.id == target.id:
                    return entry.address
        raise LookupError(target.id)


def build_group(
    name: str,
    group: Group,
    network: Network,
    clock: Clock,
    table: TableServiceStandIn,
    plan: Plan | None = None,
) -> dict[str, TargetStandIn]:
    """Start the targets of a group, the first one as primary of term 1.

    Parameters
    ----------
    name : str
        Name of the group.
    group : Group
        Its settings.
    network : Network
        Decides which targets replication can reach, and its delay.
    clock : Clock
        Source of time.
    table : TableServiceStandIn
        Table service to which the group's row is written.
    plan : Plan or None
        Plan with the delays of the targets; None for the defaults of `TargetSpec`.

    Returns
    -------
    dict
        Targets by name.
    """
    members = {}
    for target in group.targets:
        spec = TargetSpec(target.id, target.zone, target.slots, target.connections)
        if plan is not None:
            spec.connect_ms = plan.connect_ms
            spec.service_ms = plan.service_ms
            spec.lag_ms = plan.lag_ms
        members[target.id] = TargetStandIn(spec, network, clock)
    first = members[group.targets[0].id]
    for member in members.values():
        member.peers = members
        member.start()
        member.fence(1, FIRST_PROMOTION_ATTEMPT)
    first.promote(1, FIRST_PROMOTION_ATTEMPT)
    for member in members.values():
        member.follow(1, first.id)
    row = msgspec.json.encode(GroupRow(1, FIRST_PROMOTION_ATTEMPT, first.id)).decode()
    table.rows[f"group/{name}"] = Row(1, row)
    return members


def _listening_socket() -> socket.socket:
    return bind_sockets(0, "127.0.0.1")[0]
