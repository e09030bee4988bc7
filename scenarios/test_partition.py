"""Tests of what is lost while a zone is partitioned off, by replay."""

from __future__ import annotations

import asyncio
import functools

import pytest
from fennelhill_bench.session_simulation.liveness import LivenessCheck
from fennelhill_bench.session_simulation.partition import (
    CUT_ZONE,
    HOSTS,
    ZONES,
    Cause,
    ZonePartition,
    loss_cause,
)
from fennelhill_bench.session_simulation.simulation import Cut, SessionSimulation
from fennelhill_bench.virtual_time import run_virtual
from fennelhilld.catalog.state import ReadKind


@functools.cache
def replay(seed, promote_ms=300.0):
    async def run():
        partition = ZonePartition(seed, promote_ms)
        await partition.run()
        simulation = partition.simulation
        violations = simulation.observer.violations
        violations += simulation.observer.check_final_logs(simulation.groups)
        simulation.close()
        assert violations == []
        return partition

    return run_virtual(run())


class TestLossCause:
    """A loss under the wrong cause would send the work to the wrong place."""

    @pytest.mark.parametrize(
        ("code", "detail", "current", "cause"),
        [
            ("", "", True, Cause.WAITED),
            ("no_primary", "", True, Cause.LEADER_UNKNOWN),
            ("leader_unproven", "", True, Cause.LEASE_LOST),
            ("leader_unproven", "", False, Cause.AGE_UNPROVEN),
            ("connection_lost", "owner host-1: no answer", True, Cause.OWNER_UNKNOWN),
            ("overloaded", "", True, Cause.OTHER),
        ],
    )
    def test_follows_the_result_code(self, code, detail, current, cause):
        assert loss_cause(code, detail, current) is cause


class TestZonePartition:
    def test_replaces_all_leaders_inside_and_serves_again_afterwards(self):
        """Guards against leaders that stay lost, and writes that are lost with them."""
        partition = replay(1)
        assert sorted(partition.replaced_ms) == ["g0", "g3"]
        for inside in (False, True):
            assert partition.share(-1_000.0, 0.0, inside) > 0.97
            assert partition.share(8_000.0, 10_000.0, inside) > 0.97
        promoted = {
            name
            for name, model in partition.simulation.groups.items()
            if model.promotions
        }
        assert promoted == {"g0", "g3"}

    def test_leaders_inside_are_replaced_within_2500_ms(self):
        """Guards against a replacement that waits for hosts inside, one by one."""
        assert max(replay(1).replaced_ms.values()) <= 2_500.0

    def test_outside_is_served_again_from_two_seconds_on(self):
        """Guards against requests sent to owners, targets and leaders inside."""
        partition = replay(1)
        assert partition.share(2_000.0, 4_000.0, False) >= 0.85
        assert partition.share(4_000.0, 6_000.0, False) >= 0.97

    def test_nothing_that_is_known_to_be_lost_is_waited_for(self):
        """Guards against operations that time out once the zone is known as lost."""
        partition = replay(1)
        lost = partition.losses(800.0, 6_000.0, False)
        assert not any(loss.waited and loss.code for loss in lost)

    def test_inside_reads_go_on_within_their_age(self):
        """Guards against a leader that serves no read once its lead is unproven."""
        assert replay(1).share(1_000.0, 2_000.0, True) >= 0.3


class TestReadiness:
    def test_of_a_zone_with_all_leaders_ends_without_proof_and_comes_back(self):
        # Hosts there suspected no leader, never asked who reaches them, and stayed in
        # the balancer's rotation while they refused everything.
        async def main():
            simulation = SessionSimulation(1, HOSTS, zones=ZONES)
            inside = [host for host in simulation.gateways if host.zone == CUT_ZONE]
            outside = [host for host in simulation.gateways if host.zone != CUT_ZONE]
            current = simulation.database(ReadKind.CURRENT)

            async def write_everywhere(duration_ms):
                until_ms = simulation.clock.now_ms() + duration_ms
                while simulation.clock.now_ms() < until_ms:
                    for gateway in simulation.gateways:
                        simulation.spawn(simulation.client(gateway, current).write())
                    await simulation.clock.sleep_ms(100.0)

            await write_everywhere(1_000.0)
            hosts = frozenset(gateway.host for gateway in inside)
            simulation.cut(Cut(hosts, frozenset({"g0-0"})))
            await write_everywhere(2_200.0)
            assert not any(gateway.ready for gateway in inside)
            assert all(gateway.ready for gateway in outside)
            simulation.cut(Cut())
            await write_everywhere(1_000.0)
            assert all(gateway.ready for gateway in simulation.gateways)
            simulation.close()

        run_virtual(main())


class TestRestart:
    def test_of_all_hosts_after_a_partition_serves_each_group_within_a_second(self):
        """Guards against states of the partition or the start that hold hosts back."""

        async def main():
            simulation = SessionSimulation(1, HOSTS, zones=ZONES)
            load = simulation.spawn(simulation.run_clients(40, 6_000.0))
            inside = [
                host.host for host in simulation.gateways if host.zone == CUT_ZONE
            ]
            await simulation.clock.sleep_ms(1_000.0)
            simulation.cut(Cut(frozenset(inside), frozenset({"g0-0"})))
            await simulation.clock.sleep_ms(4_000.0)
            simulation.cut(Cut())
            await load
            hosts = [gateway.host for gateway in simulation.gateways]
            await asyncio.gather(
                *(simulation.restart_host(host, 1_000.0) for host in hosts)
            )
            assert await LivenessCheck(simulation, 1_000.0).run() == []
            violations = simulation.observer.violations
            violations += simulation.observer.check_final_logs(simulation.groups)
            assert violations == []
            simulation.close()

        run_virtual(main())
