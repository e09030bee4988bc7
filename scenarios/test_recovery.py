"""Tests that a host serves again soon after a fault that has ended.

Each test cuts something off, restores it and requires that every host then serves
writes to every group, whatever it has refused in the meantime.
"""

from __future__ import annotations

import asyncio
import random

import pytest
from fennelhill_bench.session_simulation.liveness import (
    PAUSE_MS_PER_HOST,
    LivenessCheck,
)
from fennelhill_bench.session_simulation.simulation import (
    CONNECTIONS_PER_TARGET,
    HostStore,
    SessionSimulation,
)
from fennelhill_bench.session_simulation.targets import Traits
from fennelhill_bench.virtual_time import run_virtual
from fennelhill_core.platform import StoreFault, StoreUnavailableError
from fennelhilld.catalog.state import Catalog, Group, ReadKind
from fennelhilld.directory.state import TargetDirectory
from fennelhilld.leader_lease.renewal import UNUSED_AFTER_MS, LeaseRenewal

RECOVERY_MS = 1_000.0  # from the end of a fault until each host serves each group


def current_databases(simulation):
    return [
        database
        for database in simulation.databases
        if database.reads is ReadKind.CURRENT
    ]


def install_catalog(simulation, version, max_connections):
    """Install a catalog that allows this many connections to each target."""
    databases = {database.name: database for database in simulation.databases}
    groups = {name: Group(name, max_connections) for name in simulation.groups}
    for gateway in simulation.gateways:
        gateway.install_catalog(Catalog(version, databases, groups))


async def write_until_stopped(simulation, gateway, database):
    client = simulation.client(gateway, database)
    while True:
        await client.write()
        await simulation.clock.sleep_ms(PAUSE_MS_PER_HOST * len(simulation.gateways))


def start_steady_writes(simulation):
    """Write to each group at each host until the returned tasks are cancelled."""
    return [
        simulation.spawn(write_until_stopped(simulation, gateway, database))
        for gateway in simulation.gateways
        for database in current_databases(simulation)
    ]


def cancel(tasks):
    for task in tasks:
        task.cancel()


async def assert_all_recover(simulation, limit_ms=RECOVERY_MS):
    """Each host serves writes to each group within a time, and goes on doing so."""
    assert await LivenessCheck(simulation, limit_ms).run() == []


def simulate(main, hosts=6, zones=3, groups=2, seed=1):
    async def run():
        traits = Traits(max_connections=MANY_CONNECTIONS)
        simulation = SessionSimulation(seed, hosts, groups, traits, zones)
        steady = start_steady_writes(simulation)
        await simulation.clock.sleep_ms(500.0)
        cancel(steady)
        await main(simulation)
        assert simulation.observer.violations == []
        simulation.close()

    run_virtual(run())


# Duration of a cut, and the number of hosts that are cut off one after the other.
SHARED_RECOVERY_MS = 3_000.0
FAULTS_PER_PLAY = 4
# From the last of several faults until each host serves each group.
FAULTS_RECOVERY_MS = 3_000.0
MANY_CONNECTIONS = 64  # enough for each host of these fleets
CUTS = [(4_000.0, 6), (10_000.0, 3), (60_000.0, 1)]


class TestHostThatLostItsLease:
    """A host that had no lease for a while asks for it again, used or not."""

    @pytest.mark.parametrize("requests", ["steady", "none"])
    @pytest.mark.parametrize(("cut_off_ms", "cuts"), CUTS)
    def test_refuses_no_write_for_want_of_a_lease_after_its_cut_has_healed(
        self, cut_off_ms, cuts, requests
    ):
        async def main(simulation):
            for gateway in simulation.gateways[:cuts]:
                steady = start_steady_writes(simulation) if requests == "steady" else []
                simulation.partition({gateway.host}, set())
                await simulation.clock.sleep_ms(cut_off_ms)
                simulation.heal()
                await assert_all_recover(simulation)
                cancel(steady)

        simulate(main)

    def test_waits_for_no_call_of_the_store_that_hangs(self, monkeypatch):
        # A call that was sent during the cut gets no answer after it either.
        call_store = HostStore._call

        async def hang(store, call):
            if store.host in store._simulation.hosts_without_store:
                call.close()
                await store._simulation.clock.sleep_ms(5_000.0)
                raise StoreUnavailableError(StoreFault.NO_ANSWER)
            return await call_store(store, call)

        monkeypatch.setattr(HostStore, "_call", hang)

        async def main(simulation):
            for number in range(8):
                steady = start_steady_writes(simulation)
                simulation.partition({"host-0"}, set())
                await simulation.clock.sleep_ms(4_000.0 + 130.0 * number)
                simulation.heal()
                await assert_all_recover(simulation)
                cancel(steady)

        simulate(main)

    @pytest.mark.parametrize("requests", ["steady", "none"])
    def test_needs_no_store_to_serve_after_a_split_into_halves_has_healed(
        self, requests
    ):
        # Neither half has more than half of the hosts, so no host keeps its lease.
        async def main(simulation):
            simulation.store.down = True
            steady = start_steady_writes(simulation) if requests == "steady" else []
            simulation.isolated_hosts = {"host-0", "host-2", "host-4"}
            await simulation.clock.sleep_ms(10_000.0)
            assert not any(
                gateway.renewal.lease.valid_at(simulation.clock.boottime_ms())
                for gateway in simulation.gateways
            )
            simulation.isolated_hosts = set()
            await assert_all_recover(simulation)
            cancel(steady)

        simulate(main)


class TestPeriodicChecks:
    def test_go_on_after_an_unexpected_error(self, monkeypatch):
        # The loop of the checks ended with the error: a host that was cut off then, or
        # whose leader was lost, stayed so.
        async def main(simulation):
            gateway = simulation.gateways[0]
            expire = TargetDirectory.expire
            failed = []

            def fail_once(directory, now_ms):
                if directory is gateway.directory and not failed:
                    failed.append(now_ms)
                    raise ValueError("an entry without a time")
                return expire(directory, now_ms)

            steady = start_steady_writes(simulation)
            simulation.partition({gateway.host}, set())
            await simulation.clock.sleep_ms(4_000.0)
            monkeypatch.setattr(TargetDirectory, "expire", fail_once)
            await simulation.clock.sleep_ms(500.0)
            assert failed
            simulation.heal()
            await assert_all_recover(simulation)
            cancel(steady)

        simulate(main)


class TestSharedGroups:
    """In a large fleet most hosts reach a target through one of its owners."""

    @pytest.mark.parametrize("requests", ["steady", "none"])
    def test_are_served_again_after_a_cut_of_a_host_or_a_zone(self, requests):
        async def main(simulation):
            zone = {gateway.host for gateway in simulation.gateways[::3]}
            for hosts in ({"host-0"}, zone):
                steady = start_steady_writes(simulation) if requests == "steady" else []
                simulation.partition(hosts, set())
                await simulation.clock.sleep_ms(4_000.0)
                simulation.heal()
                await assert_all_recover(simulation)
                cancel(steady)

        simulate(main, hosts=21, groups=1)

    def test_are_served_after_more_connections_are_allowed(self):
        # Links through owners stayed in the pools of hosts that connect to the target
        # themselves now, and each batch on them was refused for want of an owner.
        async def main(simulation):
            install_catalog(simulation, 2, MANY_CONNECTIONS)
            await assert_all_recover(simulation)

        simulate(main, hosts=21, groups=1)

    def test_use_a_leader_again_that_an_owner_failed_to_replace(self):
        # Fewer connections were allowed while the leader did not answer and the store
        # accepted no claim.  A host that was no owner any more went on refusing.
        async def main(simulation):
            install_catalog(simulation, 2, MANY_CONNECTIONS)
            await simulation.clock.sleep_ms(1_000.0)
            simulation.store.down = True
            model = simulation.groups["g0"]
            simulation.partition(set(), {model.leader.id})
            steady = start_steady_writes(simulation)
            await simulation.clock.sleep_ms(4_000.0)
            install_catalog(simulation, 3, CONNECTIONS_PER_TARGET)
            assert any(
                gateway.groups["g0"].leadership.obstacle
                and not gateway.owns(simulation.target_entry(model, model.leader.id))
                for gateway in simulation.gateways
            )
            cancel(steady)
            simulation.heal()
            await assert_all_recover(simulation, SHARED_RECOVERY_MS)

        simulate(main, hosts=21, groups=1)


class Faults:
    """Random faults of a simulation, one after the other, each with its end."""

    def __init__(self, simulation, seed):
        self.simulation = simulation
        self.random = random.Random(seed)

    async def run(self, count):
        for _ in range(count):
            fault = self.random.choice(
                [
                    self.cut_zone,
                    self.cut_host,
                    self.cut_leader,
                    self.crash_leader,
                    self.store_down,
                    self.store_down_for_a_host,
                    self.cut_while_store_is_down,
                    self.restart_while_store_is_down,
                ]
            )
            await fault(self.random.choice([1_500.0, 4_000.0, 9_000.0]))
            await self.simulation.clock.sleep_ms(self.random.choice([0.0, 1_000.0]))

    def zone(self):
        number = self.random.randrange(self.simulation.zones)
        hosts = {
            gateway.host
            for gateway in self.simulation.gateways[number :: self.simulation.zones]
        }
        targets = {
            target_id
            for model in self.simulation.groups.values()
            for target_id in model.targets
            if int(target_id[-1]) % self.simulation.zones == number
        }
        return hosts, targets

    async def cut_zone(self, duration_ms):
        self.simulation.partition(*self.zone())
        await self.simulation.clock.sleep_ms(duration_ms)
        self.simulation.heal()

    async def cut_host(self, duration_ms):
        host = self.random.choice(self.simulation.gateways).host
        self.simulation.partition({host}, set())
        await self.simulation.clock.sleep_ms(duration_ms)
        self.simulation.heal()

    async def cut_leader(self, duration_ms):
        model = self.simulation.groups["g0"]
        self.simulation.partition(set(), {model.leader.id})
        await self.simulation.clock.sleep_ms(duration_ms)
        self.simulation.heal()

    async def crash_leader(self, duration_ms):
        crashed = self.simulation.groups["g0"].leader
        crashed.crash()
        await self.simulation.clock.sleep_ms(duration_ms)
        crashed.restart()

    async def store_down(self, duration_ms):
        self.simulation.store.down = True
        await self.simulation.clock.sleep_ms(duration_ms)
        self.simulation.store.down = False

    async def store_down_for_a_host(self, duration_ms):
        host = self.random.choice(self.simulation.gateways).host
        self.simulation.hosts_without_store = {host}
        await self.simulation.clock.sleep_ms(duration_ms)
        self.simulation.hosts_without_store = set()

    async def restart_while_store_is_down(self, duration_ms):
        names = [gateway.host for gateway in self.simulation.gateways]
        restarted = self.random.sample(names, self.random.randint(1, len(names)))
        self.simulation.store.down = True
        await asyncio.gather(
            *(self.simulation.restart_host(name, 500.0) for name in restarted)
        )
        await self.simulation.clock.sleep_ms(duration_ms)
        self.simulation.store.down = False

    async def cut_while_store_is_down(self, duration_ms):
        self.simulation.store.down = True
        await self.cut_zone(duration_ms)
        self.simulation.store.down = False


async def recover_from_faults(simulation, seed):
    steady = start_steady_writes(simulation) if seed % 2 else []
    await Faults(simulation, seed).run(FAULTS_PER_PLAY)
    await assert_all_recover(simulation, FAULTS_RECOVERY_MS)
    cancel(steady)


class TestRandomFaults:
    @pytest.mark.parametrize("seed", range(6))
    def test_leave_no_host_that_refuses_writes(self, seed):
        async def main(simulation):
            await recover_from_faults(simulation, seed)

        simulate(main, seed=seed)

    def test_are_caught_if_a_host_asks_only_while_its_lease_is_used(self, monkeypatch):
        def used(renewal):
            return renewal._clock.now_ms() - renewal._used_ms <= UNUSED_AFTER_MS

        monkeypatch.setattr(LeaseRenewal, "_wanted", used)

        async def main(simulation):
            simulation.partition({"host-0"}, set())
            await simulation.clock.sleep_ms(2 * UNUSED_AFTER_MS)
            simulation.heal()
            violations = await LivenessCheck(simulation, FAULTS_RECOVERY_MS).run()
            assert {violation.host for violation in violations} == {"host-0"}
            assert {violation.code for violation in violations} == {"leader_unproven"}

        simulate(main)
