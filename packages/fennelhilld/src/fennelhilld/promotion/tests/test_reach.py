"""Tests of detecting that this host is cut off."""

from __future__ import annotations

import pytest
from fennelhill_bench.virtual_time import VirtualClock, run_virtual
from fennelhill_core.events import EventLog
from fennelhilld.promotion.reach import FleetReach


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
