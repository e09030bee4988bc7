"""Tests of what is lost while a zone is partitioned off, by replay."""

from __future__ import annotations

import functools

import pytest
from fennelhill_bench.session_simulation.partition import (
    Cause,
    ZonePartition,
    loss_cause,
)
from fennelhill_bench.virtual_time import run_virtual


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
