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
