"""Tests of what the flood of some organisations does to the others."""

from __future__ import annotations

from functools import cache

import pytest
from fennelhill_bench.load_simulation.arrivals import read_recorded
from fennelhill_bench.load_simulation.organisations import (
    EXTRA_LIST,
    USUAL_LIST,
    draw_extra,
    draw_usual,
    replay_flood,
)
from fennelhilld.admission.policies import PolicyNames

BASELINE = PolicyNames(queue="aim_first")
# The users' requirements by the number of organisations that flood.
MAX_LOST = {1: 0.02, 3: 0.05}
MAX_P95_GROWTH = 1.2
MIN_SHARE_OF_PEAK = 0.97
FLOODS = list(MAX_LOST)


@cache
def flood(count, baseline=False):
    return replay_flood(count, BASELINE if baseline else None)


class TestOrganisations:
    def test_lists_are_recorded_as_they_were_drawn(self):
        assert read_recorded(USUAL_LIST) == draw_usual()
        assert read_recorded(EXTRA_LIST) == draw_extra()


class TestFairShares:
    @pytest.mark.parametrize("count", FLOODS)
    def test_spare_the_others_most_of_what_one_queue_costs_them(self, count):
        shared, single = flood(count), flood(count, baseline=True)
        assert shared.lost < single.lost / 4
        assert shared.p95_growth < single.p95_growth / 4

    @pytest.mark.parametrize("count", FLOODS)
    def test_use_the_capacity(self, count):
        peak_ms = max(flood(count, each).answered_work_ms for each in (False, True))
        assert flood(count).answered_work_ms >= MIN_SHARE_OF_PEAK * peak_ms

    @pytest.mark.parametrize("count", FLOODS)
    def test_others_lose_little(self, count):
        assert flood(count).lost <= MAX_LOST[count]

    @pytest.mark.parametrize("count", FLOODS)
    def test_latency_of_the_others_grows_little(self, count):
        assert flood(count).p95_growth <= MAX_P95_GROWTH
