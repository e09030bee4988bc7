"""Tests of detecting that this host is cut off."""

from __future__ import annotations

import pytest
from fennelhill_bench.virtual_time import VirtualClock, run_virtual
from fennelhill_core.events import EventLog
from fennelhilld.promotion.reach import BALANCER_NOTICE_MS, FleetReach


def cut_off(answered, queried):
    async def main():
        clock = VirtualClock()
        reach = FleetReach(clock, EventLog("h", "z", clock))
        reach.update(0.0, answered, queried)
        return reach.cut_off

    return run_virtual(main())


class TestFleetReach:
    def test_the_smaller_side_is_cut_off(self):
        assert cut_off(1, 5)

    def test_the_larger_side_is_not_cut_off(self):
        assert not cut_off(3, 5)

    def test_neither_of_two_equal_sides_is_cut_off(self):
        assert not cut_off(2, 5)

    @pytest.mark.parametrize(("answered", "majority"), [(2, False), (3, True)])
    def test_a_majority_is_more_than_half(self, answered, majority):
        async def main():
            clock = VirtualClock()
            reach = FleetReach(clock, EventLog("h", "z", clock))
            reach.update(0.0, answered, 5)
            return reach.has_majority

        assert run_virtual(main()) is majority

    def test_a_late_result_of_an_older_query_changes_nothing(self):
        # Incident inc-1890: hosts flapped while a network partition healed.
        async def main():
            clock = VirtualClock()
            reach = FleetReach(clock, EventLog("h", "z", clock))
            reach.update(0.0, 1, 5)
            reach.update(200.0, 5, 5)
            reach.update(100.0, 1, 5)
            return reach.cut_off

        assert not run_virtual(main())

    def test_a_fleet_of_one_is_not_cut_off(self):
        assert not cut_off(0, 0)


class TestHintForClients:
    """Guards against clients that try again at once where they can't be served.

    A zone that is cut off refused some 350 requests within 2.6 s with a hint of 0 ms.
    """

    @staticmethod
    def hint_ms(answered, cut_for_ms):
        async def main():
            clock = VirtualClock()
            reach = FleetReach(clock, EventLog("h", "z", clock))
            reach.update(clock.now_ms(), answered, 5)
            await clock.sleep_ms(cut_for_ms)
            return reach.clients_leave_in_ms()

        return run_virtual(main())

    @pytest.mark.parametrize("cut_for_ms", [0.0, 400.0, 2_000.0])
    def test_names_the_time_until_the_balancer_leaves_the_zone_out(self, cut_for_ms):
        expected_ms = BALANCER_NOTICE_MS - cut_for_ms
        assert self.hint_ms(1, cut_for_ms) == pytest.approx(expected_ms)

    def test_is_none_once_the_balancer_has_left_the_zone_out(self):
        assert self.hint_ms(1, BALANCER_NOTICE_MS) == 0.0

    def test_is_none_at_a_host_that_is_cut_off_alone(self):
        # Other hosts of its zone serve the next try.
        assert self.hint_ms(0, 400.0) == 0.0

    def test_is_none_at_a_host_that_is_not_cut_off(self):
        assert self.hint_ms(5, 400.0) == 0.0
