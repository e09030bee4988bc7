"""Replay of a zone that is partitioned off, with the loss counted by cause."""

from __future__ import annotations

import asyncio
import enum
from collections import Counter

import msgspec
from fennelhill_core import codes
from fennelhill_core.clock import MS_PER_S
from fennelhilld.catalog.state import Database, ReadKind
from fennelhilld.gateway import SessionGateway

from fennelhill_bench.session_simulation.simulation import (
    LATENCY_GOAL_MS,
    Cut,
    SessionSimulation,
)
from fennelhill_bench.session_simulation.targets import GroupModel

HOSTS, GROUPS, ZONES = 24, 6, 3
CUT_ZONE = "zone-0"
RATE_PER_S = 400.0
WARM_UP_MS = 3_000.0
CUT_MS = 6_000.0
AFTER_MS = 4_000.0
# Share of an operation's value that a late answer keeps.
LATE_VALUE = 0.4
WRITE_SHARE = 0.3
# Kinds of reads of the other operations.
READS = (
    ReadKind.CURRENT,
    ReadKind.MAX_AGE,
    ReadKind.MAX_AGE,
    ReadKind.OWN_WRITES,
    ReadKind.OWN_WRITES,
)


class Cause(enum.Enum):
    """Why an operation was not served within its latency objective."""

    LEADER_UNKNOWN = "leader unknown"
    OWNER_UNKNOWN = "owner unknown"
    LEASE_LOST = "lease lost"
    AGE_UNPROVEN = "age unproven"
    WAITED = "late"
    OTHER = "other"


class Loss(msgspec.Struct, frozen=True):
    """Why an operation was lost.

    Parameters
    ----------
    cause : Cause
        The cause.
    servable : bool
        Whether a target on the host's side of the partition could have served it.
    waited : bool
        Whether it took longer than the latency objective.
    code : str
        Name of the result code; empty if it was served late.
    """

    cause: Cause
    servable: bool
    waited: bool
    code: str


class Outcome(msgspec.Struct, frozen=True):
    """One operation of the replay.

    Parameters
    ----------
    began_ms : float
        When it was sent, since the partition began.
    took_ms : float
        Time until its reply.
    inside : bool
        Whether its host is in the zone that is partitioned off.
    loss : Loss or None
        None if it was served within its latency objective.
    """

    began_ms: float
    took_ms: float
    inside: bool
    loss: Loss | None

    @property
    def value(self) -> float:
        """Share of the operation's value that was earned."""
        if self.loss is None:
            return 1.0
        return 0.0 if self.loss.code else LATE_VALUE


def loss_cause(code: str, detail: str, current: bool) -> Cause:
    """Return the cause of a loss.

    Parameters
    ----------
    code : str
        Name of the result code; empty if the operation was served late.
    detail : str
        Human-readable reason of the reply.
    current : bool
        Whether only the leader could serve the operation.

    Returns
    -------
    Cause
        The cause.
    """
    if not code:
        return Cause.WAITED
    if not current and code in (
        codes.LEADER_UNPROVEN.name,
        codes.OWNER_UNREACHABLE.name,
    ):
        return Cause.AGE_UNPROVEN
    if code == codes.LEADER_UNPROVEN.name:
        return Cause.LEASE_LOST
    if code in (codes.NO_PRIMARY.name, codes.OWNER_UNREACHABLE.name):
        return Cause.LEADER_UNKNOWN
    if "owner" in detail:
        return Cause.OWNER_UNKNOWN
    return Cause.OTHER


class ZonePartition:
    """Operations at a steady rate at all hosts while a zone is partitioned off.

    Packets between the zone and the rest, the store included, are lost.  Each group
    has a target in each zone; the leaders are spread over the zones.

    Parameters
    ----------
    seed : int
        Seed of the simulation.
    promote_ms : float
        Time to carry out a promotion.
    cut_ms : float
        Duration of the partition.
    """

    def __init__(
        self, seed: int, promote_ms: float = 500.0, cut_ms: float = CUT_MS
    ) -> None:
        self.simulation = SessionSimulation(
            seed, HOSTS, GROUPS, zones=ZONES, leaders=tuple(range(ZONES))
        )
        self.outcomes: list[Outcome] = []
        self._cut_ms = cut_ms
        self._cut_at_ms = WARM_UP_MS
        for model in self.simulation.groups.values():
            for target in model.targets.values():
                target.traits.promote_ms = promote_ms
                target.traits.old_leader_goes_on = True
        self._inside = {
            gateway.host
            for gateway in self.simulation.gateways
            if gateway.zone == CUT_ZONE
        }
        # By group: when all hosts outside had a leader outside again.
        self.replaced_ms: dict[str, float] = {}

    async def run(self) -> None:
        """Run the replay; `outcomes` and `replaced_ms` hold its results."""
        simulation = self.simulation
        self._cut_at_ms = simulation.clock.now_ms() + WARM_UP_MS
        load = simulation.spawn(self._send(WARM_UP_MS + self._cut_ms + AFTER_MS))
        await simulation.clock.sleep_ms(WARM_UP_MS)
        targets = frozenset(
            target_id
            for model in simulation.groups.values()
            for target_id in model.targets
            if simulation.target_entry(model, target_id).zone == CUT_ZONE
        )
        simulation.cut(Cut(frozenset(self._inside), targets))
        watch = simulation.spawn(self._watch_leaders())
        await simulation.clock.sleep_ms(self._cut_ms)
        simulation.cut(Cut())
        watch.cancel()
        await load

    def share(self, from_ms: float, to_ms: float, inside: bool) -> float:
        """Return the share of the value earned by operations sent in a span.

        Parameters
        ----------
        from_ms, to_ms : float
            The span, since the partition began.
        inside : bool
            Which side of the partition.

        Returns
        -------
        float
            From 0 to 1.
        """
        values = [
            outcome.value
            for outcome in self.outcomes
            if outcome.inside is inside and from_ms <= outcome.began_ms < to_ms
        ]
        return sum(values) / len(values)

    def losses(self, from_ms: float, to_ms: float, inside: bool) -> Counter[Loss]:
        """Count the losses of operations sent in a span.

        Parameters
        ----------
        from_ms, to_ms : float
            The span, since the partition began.
        inside : bool
            Which side of the partition.

        Returns
        -------
        collections.Counter
            Operations by loss.
        """
        return Counter(
            outcome.loss
            for outcome in self.outcomes
            if outcome.loss is not None
            and outcome.inside is inside
            and from_ms <= outcome.began_ms < to_ms
        )

    async def _send(self, duration_ms: float) -> None:
        simulation = self.simulation
        operations = []
        until_ms = simulation.clock.now_ms() + duration_ms
        while simulation.clock.now_ms() < until_ms:
            gateway = simulation.random.choice(simulation.gateways)
            operations.append(simulation.spawn(self._operate(gateway)))
            pause_ms = simulation.random.expovariate(RATE_PER_S / MS_PER_S)
            await simulation.clock.sleep_ms(pause_ms)
        await asyncio.gather(*operations)

    async def _operate(self, gateway: SessionGateway) -> None:
        simulation = self.simulation
        writes = simulation.random.random() < WRITE_SHARE
        reads = ReadKind.CURRENT if writes else simulation.random.choice(READS)
        model = simulation.random.choice(list(simulation.groups.values()))
        database = next(
            database
            for database in simulation.databases
            if database.group == model.name and database.reads is reads
        )
        servable = self._servable(gateway, model, database)
        client = simulation.client(gateway, database)
        began_ms = simulation.clock.now_ms()
        reply = await (client.write() if writes else client.read())
        took_ms = simulation.clock.now_ms() - began_ms
        code = reply.code.name if reply.code is not None else ""
        waited = took_ms > LATENCY_GOAL_MS
        loss = None
        if code or waited:
            current = reads is ReadKind.CURRENT
            cause = loss_cause(code, reply.detail, current)
            loss = Loss(cause, servable, waited, code)
        inside = gateway.host in self._inside
        self.outcomes.append(Outcome(began_ms - self._cut_at_ms, took_ms, inside, loss))

    def _servable(
        self, gateway: SessionGateway, model: GroupModel, database: Database
    ) -> bool:
        """Return whether a target on a host's side may serve an operation now."""
        inside = gateway.host in self._inside
        boottime_ms = self.simulation.clock.boottime_ms()
        if database.reads is ReadKind.CURRENT:
            # Inside, the leader is used only as long as it is proven.
            proven = gateway.env.access.lease.valid_at(boottime_ms)
            return model.leader.isolated == inside and (proven or not inside)
        if not inside:
            return True
        group = gateway.env.group(model.name)
        minimum = group.freshness.minimum_position(
            boottime_ms, database.max_age_ms, None
        )
        return minimum is not None

    async def _watch_leaders(self) -> None:
        simulation = self.simulation
        waiting = {
            name for name, model in simulation.groups.items() if model.leader.isolated
        }
        while waiting:
            await simulation.clock.sleep_ms(10.0)
            for name in list(waiting):
                leader = simulation.groups[name].leader
                known = [
                    gateway.env.group(name).leadership
                    for gateway in simulation.gateways
                    if gateway.host not in self._inside
                ]
                if not leader.isolated and all(
                    view.leader_id == leader.id and view.fence is None for view in known
                ):
                    waiting.discard(name)
                    now_ms = simulation.clock.now_ms()
                    self.replaced_ms[name] = now_ms - self._cut_at_ms
