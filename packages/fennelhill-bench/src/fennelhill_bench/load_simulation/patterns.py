"""The load patterns: recorded arrivals, and the fault injected during them."""

from __future__ import annotations

import asyncio
from typing import Protocol

from fennelhill_core.registry import Registry
from fennelhilld.statements.messages import Statement, StatementKind

from fennelhill_bench.load_simulation.arrivals import DURATION_MS, Arrival, draw
from fennelhill_bench.load_simulation.replay import LoadSimulation

START_MS = 1_000.0
FAULT_DURATION_MS = 1_500.0
SLOWDOWN_FACTOR = 5.0
LAG_FACTOR = 60.0
RESTART_DURATION_MS = 350.0
STORE_SLOW_MS = 240.0  # 60 times the usual 4 ms
IDLE_CLIENTS = 12
# Transactions that are idle for longer are aborted, as on the users' platform.
IDLE_LIMIT_MS = 1_000.0


class Pattern(Protocol):
    """A list of arrivals, and a fault that is injected during them."""

    list_name: str

    def draw(self) -> list[Arrival]:
        """Draw the arrivals that are recorded under `list_name`."""

    async def inject_fault(self, simulation: LoadSimulation) -> None:
        """Inject the fault, if any; runs concurrently with the arrivals."""


PATTERNS: Registry[Pattern] = Registry("load pattern")


class _Steady:
    """Constant load with the users' mix of requests."""

    list_name = "steady"

    def draw(self) -> list[Arrival]:
        """Draw the list that is recorded."""
        return draw(1)

    async def inject_fault(self, simulation: LoadSimulation) -> None:
        """Do nothing."""


@PATTERNS.register("burst")
class Burst(_Steady):
    """Load rises to 1.7 times the usual one."""

    list_name = "burst"

    def draw(self) -> list[Arrival]:
        """Draw the list that is recorded."""
        before = draw(2, until_ms=START_MS)
        during = draw(
            3, factor=1.7, from_ms=START_MS, until_ms=START_MS + FAULT_DURATION_MS
        )
        return before + during + draw(4, from_ms=START_MS + FAULT_DURATION_MS)


@PATTERNS.register("shift")
class Shift(_Steady):
    """Half of one zone's clients move to another."""

    list_name = "shift"

    def draw(self) -> list[Arrival]:
        """Draw the list that is recorded."""
        before = draw(5, until_ms=START_MS)
        return before + draw(6, zones=(0.5, 1.5, 1.0), from_ms=START_MS)


@PATTERNS.register("flood")
class Flood(_Steady):
    """One kind of request comes at many times its usual rate."""

    list_name = "flood"

    def draw(self) -> list[Arrival]:
        """Draw the list that is recorded."""
        catalogue_only = {"orders": 0.0, "catalogue": 1.0, "progress": 0.0}
        extra = draw(
            7,
            factor=2.0,
            shares=catalogue_only,
            from_ms=START_MS,
            until_ms=START_MS + FAULT_DURATION_MS,
        )
        return sorted([*draw(8), *extra], key=lambda arrival: arrival.at_ms)


@PATTERNS.register("zone_loss")
class ZoneLoss(_Steady):
    """All hosts and the target of one zone stop at once, and restart later."""

    async def inject_fault(self, simulation: LoadSimulation) -> None:
        """Stop one zone's hosts and target, then restart them."""
        await simulation.clock.sleep_ms(START_MS)
        lost = [gateway for gateway in simulation.gateways if gateway.zone == "zone-2"]
        target = simulation.group.targets["g0-2"]
        target.crash()
        for gateway in lost:
            simulation.stop_host(gateway)
        await simulation.clock.sleep_ms(FAULT_DURATION_MS)
        target.restart()
        for gateway in lost:
            simulation.start_host(gateway)


@PATTERNS.register("slow_primary")
class SlowPrimary(_Steady):
    """The primary takes five times as long."""

    async def inject_fault(self, simulation: LoadSimulation) -> None:
        """Slow the primary down for the duration of the fault."""
        await simulation.clock.sleep_ms(START_MS)
        traits = simulation.group.leader.traits
        traits.slowdown = SLOWDOWN_FACTOR
        await simulation.clock.sleep_ms(FAULT_DURATION_MS)
        traits.slowdown = 1.0


@PATTERNS.register("replicas_behind")
class ReplicasBehind(_Steady):
    """All replicas are sixty times as far behind as usual."""

    async def inject_fault(self, simulation: LoadSimulation) -> None:
        """Increase the lag of all replicas for the duration of the fault."""
        await simulation.clock.sleep_ms(START_MS)
        replicas = [
            target for target in simulation.group.targets.values() if not target.leads
        ]
        usual_ms = replicas[0].traits.lag_ms
        for replica in replicas:
            replica.traits.lag_ms = usual_ms * LAG_FACTOR
        await simulation.clock.sleep_ms(FAULT_DURATION_MS)
        for replica in replicas:
            replica.traits.lag_ms = usual_ms


@PATTERNS.register("promotion_gap")
class PromotionGap(_Steady):
    """The primary crashes; for over a second no target accepts writes."""

    async def inject_fault(self, simulation: LoadSimulation) -> None:
        """Crash the primary; it restarts as a replica."""
        await simulation.clock.sleep_ms(START_MS)
        crashed = simulation.group.leader
        crashed.crash()
        await simulation.clock.sleep_ms(FAULT_DURATION_MS + START_MS)
        crashed.restart()


@PATTERNS.register("rolling_restart")
class RollingRestart(_Steady):
    """Hosts restart one after the other, without a pause between them."""

    async def inject_fault(self, simulation: LoadSimulation) -> None:
        """Restart all hosts, one at a time."""
        await simulation.clock.sleep_ms(START_MS / 2)
        for gateway in list(simulation.gateways):
            simulation.stop_host(gateway)
            await simulation.clock.sleep_ms(RESTART_DURATION_MS)
            simulation.start_host(gateway)


@PATTERNS.register("store_slow")
class StoreSlow(_Steady):
    """The primary crashes while the platform's store is slow."""

    async def inject_fault(self, simulation: LoadSimulation) -> None:
        """Slow the store down and crash the primary."""
        simulation.store.call_ms = STORE_SLOW_MS
        await PromotionGap().inject_fault(simulation)


@PATTERNS.register("idle_in_transactions")
class IdleInTransactions(_Steady):
    """Clients begin transactions, write, and then idle until they are aborted."""

    async def inject_fault(self, simulation: LoadSimulation) -> None:
        """Keep clients idle in transactions, one transaction after the other."""
        await simulation.clock.sleep_ms(START_MS)
        await asyncio.gather(
            *(self._idle(simulation, number) for number in range(IDLE_CLIENTS))
        )

    async def _idle(self, simulation: LoadSimulation, number: int) -> None:
        gateway = simulation.gateways[number % len(simulation.gateways)]
        while simulation.clock.now_ms() < DURATION_MS:
            session = gateway.open_session("orders")
            for kind, text in (
                (StatementKind.BEGIN, "BEGIN"),
                (StatementKind.WRITE, "WRITE item"),
            ):
                writes = kind is StatementKind.WRITE
                statement = Statement(
                    simulation.new_request_id(), kind, text, writes=writes
                )
                await session.execute(statement)
            await simulation.clock.sleep_ms(IDLE_LIMIT_MS)
            session.abort("the transaction was idle for too long")
            await session.close()
