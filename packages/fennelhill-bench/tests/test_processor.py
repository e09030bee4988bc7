"""Bars on what a daemon computes, by the benchmark of processor use."""

from __future__ import annotations

import pytest
from fennelhill_bench.processor import LARGE_FLEET, SMALL_FLEET, idle_figures
from fennelhill_bench.session_simulation.simulation import SessionSimulation
from fennelhill_bench.virtual_time import run_virtual
from fennelhilld import gateway as gateway_module
from fennelhilld.gateway import CALM_TICK_MS, TICK_MS


class TestIdleHost:
    def test_does_not_compute_more_in_a_larger_fleet(self):
        """Guards against checks that walk the list of hosts or of owners.

        The target is 1.2 times the work of a host in a fleet of 6.
        """
        small = dict(idle_figures(SMALL_FLEET))
        large = dict(idle_figures(LARGE_FLEET))
        for name in ("calls_per_s", "timers_per_s"):
            before = small[f"idle_{SMALL_FLEET}_hosts_{name}"]
            assert large[f"idle_{LARGE_FLEET}_hosts_{name}"] <= 1.2 * before


class TestPeriodicChecks:
    @pytest.mark.parametrize("delay_ms", [0.0, 60.0, 130.0, 240.0])
    def test_begin_at_once_when_a_target_is_to_leave(self, delay_ms):
        """Guards against a leader that leaves and is replaced a check later."""

        async def main():
            simulation = SessionSimulation(1, LARGE_FLEET, 1, zones=3)
            gateway = simulation.gateways[0]
            await simulation.clock.sleep_ms(3_000.0 + delay_ms)
            checked = []
            gateway._start_leader_check = lambda group, now_ms: checked.append(now_ms)
            model = next(iter(simulation.groups.values()))
            changed_ms = simulation.clock.now_ms()
            await simulation.announce_shutdown(model, model.leader.id)
            await simulation.clock.sleep_ms(TICK_MS)
            simulation.close()
            return checked[0] - changed_ms

        assert run_virtual(main()) <= TICK_MS / 2

    def test_are_seldom_while_nothing_is_in_doubt(self):
        """Guards against wake-ups of hosts that have nothing to do."""

        async def main():
            simulation = SessionSimulation(1, LARGE_FLEET, 1, zones=3)
            gateway = simulation.gateways[0]
            await simulation.clock.sleep_ms(3_000.0)
            checked = []
            gateway._start_leader_check = lambda group, now_ms: checked.append(now_ms)
            await simulation.clock.sleep_ms(5_000.0)
            simulation.close()
            return len(checked)

        assert run_virtual(main()) <= 5_000.0 / CALM_TICK_MS + 1
        assert gateway_module.TRIM_INTERVAL_MS % CALM_TICK_MS == 0

    def test_are_as_frequent_as_before_in_a_small_fleet(self):
        """Guards against other timing where each host keeps its own connections."""

        async def main():
            simulation = SessionSimulation(1, SMALL_FLEET, 1, zones=3)
            gateway = simulation.gateways[0]
            await simulation.clock.sleep_ms(3_000.0)
            checked = []
            gateway._start_leader_check = lambda group, now_ms: checked.append(now_ms)
            await simulation.clock.sleep_ms(5_000.0)
            simulation.close()
            return len(checked)

        assert run_virtual(main()) >= 5_000.0 / TICK_MS - 1
