"""Quotas over sliding windows, on random histories of a fleet in virtual time."""

from __future__ import annotations

import asyncio

import pytest
from fennelhill_bench.virtual_time import run_virtual
from fennelhill_core.clock import MS_PER_S
from fennelhilld.quotas.tests.fleet import BOUNDS, Fleet, most_in_window
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

HISTORY_MS = 12_000.0
WINDOW_MS = BOUNDS.window_s * MS_PER_S
LIMITS = {"large": (80.0, 40.0), "small": (1.0, 2.0)}
LOWER = {"large": (30.0, 10.0), "small": (0.5, 0.0)}
LOAD = {"large": 250.0, "small": 15.0}

FAULTS = st.lists(
    st.tuples(
        st.sampled_from(("suspend", "restart", "stop", "cut", "change")),
        st.integers(0, 8),  # host or zone
        st.integers(0, 9_000),  # start in ms
        st.integers(50, 6_000),  # duration in ms
    ),
    max_size=8,
)


async def carry_out(fleet, fault):
    kind, number, start_ms, duration_ms = fault
    name = list(fleet.names)[number]
    await fleet.clock.sleep_ms(start_ms)
    if kind == "suspend":
        fleet.suspended.add(name)
        await fleet.clock.sleep_ms(duration_ms)
        fleet.suspended.discard(name)
    elif kind == "cut":
        fleet.cut_zones.add(fleet.names[name])
        await fleet.clock.sleep_ms(duration_ms)
        fleet.cut_zones.discard(fleet.names[name])
    elif kind == "change":
        fleet.change_limits(LOWER)
        await fleet.clock.sleep_ms(duration_ms)
        fleet.change_limits(LIMITS)
    elif name not in fleet.down:
        if kind == "stop":
            fleet.hosts[name].leaving = True
            await fleet.clock.sleep_ms(200.0)
        fleet.stop(name)
        await fleet.clock.sleep_ms(min(duration_ms, 2_000))
        if name in fleet.down:
            fleet.start(name)


def play(fleet, scenario):
    async def run():
        for name in fleet.names:
            fleet.start(name)
        try:
            await scenario()
        finally:
            fleet.close()

    run_virtual(run())


class TestSlidingWindows:
    @given(
        FAULTS,
        st.integers(0, 2**32),
        st.sampled_from((0.0, 0.02, 0.2)),
        st.sampled_from(("abc", "a", "bc")),
    )
    @settings(
        max_examples=25, deadline=None, suppress_health_check=[HealthCheck.too_slow]
    )
    def test_never_contain_more_operations_than_allowed(
        self, faults, seed, loss, zones
    ):
        # Guards against tokens that count twice, two issuers at a time, and permits
        # that are used long after their token was minted.
        fleet = Fleet(3, 3, LIMITS, seed, loss)

        async def scenario():
            names = [name for name, zone in fleet.names.items() if zone in zones]
            for name, rate in LOAD.items():
                fleet.load(name, rate, HISTORY_MS, names, 400.0)
            work = [asyncio.ensure_future(carry_out(fleet, f)) for f in faults]
            fleet.tasks += work
            await fleet.clock.sleep_ms(HISTORY_MS)

        play(fleet, scenario)
        for name, (rate, burst) in LIMITS.items():
            most = most_in_window(fleet.used[name], WINDOW_MS)
            assert most <= BOUNDS.most_operations(rate, burst), name

    def test_keep_a_lowered_limit_one_window_later(self):
        fleet = Fleet(3, 3, LIMITS)

        async def scenario():
            fleet.load("large", 250.0, 16_000.0)
            await fleet.clock.sleep_ms(6_000.0)
            fleet.change_limits(LOWER)
            await fleet.clock.sleep_ms(10_000.0)

        play(fleet, scenario)
        later = [time_ms for time_ms in fleet.used["large"] if time_ms >= 6_000.0]
        assert most_in_window(later, WINDOW_MS) <= BOUNDS.most_operations(30.0, 10.0)


class TestUse:
    @pytest.mark.parametrize(("cut", "share"), [(False, 0.9), (True, 0.7)])
    def test_of_the_limit_beside_a_cut(self, cut, share):
        # Guards against tokens that lie unused in zones without demand.
        fleet = Fleet(3, 3, LIMITS)

        async def scenario():
            # Nothing is sent in zone c; while it is cut off its part is out of reach.
            names = [name for name, zone in fleet.names.items() if zone != "c"]
            if cut:
                names = list(fleet.names)
            fleet.load("large", 250.0, 9_000.0, names)
            fleet.load("small", 10.0, 9_000.0, names)
            await fleet.clock.sleep_ms(2_000.0)
            if cut:
                fleet.cut_zones.add("c")
            await fleet.clock.sleep_ms(7_000.0)

        play(fleet, scenario)
        for name, (rate, _) in LIMITS.items():
            used = sum(time_ms >= 3_000.0 for time_ms in fleet.used[name])
            # A part of the last token lies in each zone.
            assert used >= share * rate * 6.0 - 1, name

    def test_refuses_next_to_nothing_below_the_limit(self):
        fleet = Fleet(3, 3, {"large": (160.0, 160.0), "small": (1.6, 5.0)})

        async def scenario():
            fleet.load("large", 100.0, 20_000.0)
            fleet.load("small", 1.0, 20_000.0)
            await fleet.clock.sleep_ms(20_000.0)

        play(fleet, scenario)
        operations = sum(len(times) for times in fleet.used.values())
        assert sum(fleet.refused.values()) <= 0.001 * operations
        assert not sum(fleet.unavailable.values())

    def test_begins_within_a_round_of_messages_when_all_hosts_start(self):
        fleet = Fleet(3, 5, LIMITS)

        async def scenario():
            for name in fleet.names:
                assert await fleet.operate(name, "large") or fleet.refused["large"]

        play(fleet, scenario)
        assert max(fleet.late_ms) <= 20.0
        assert not fleet.unavailable["large"]

    def test_goes_on_elsewhere_when_an_issuer_dies(self):
        fleet = Fleet(3, 3, LIMITS)

        async def scenario():
            fleet.load("large", 40.0, 10_000.0)
            await fleet.clock.sleep_ms(2_000.0)
            fleet.stop(
                next(n for n, h in fleet.hosts.items() if h.quotas.issued_partitions)
            )
            await fleet.clock.sleep_ms(8_000.0)

        play(fleet, scenario)
        lost = fleet.refused["large"] + fleet.unavailable["large"]
        assert lost <= 0.01 * len(fleet.used["large"])
