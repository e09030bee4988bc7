"""Tests of the concurrency window of a target."""

from __future__ import annotations

import pytest
from fennelhilld.admission.window import (
    PIPELINE,
    GradientWindow,
    OpenWindow,
    window_part,
)

MAX_LINKS = 8


def observe(window, response_ms, times):
    for _ in range(times):
        window.observe(response_ms, MAX_LINKS)
    return window.size(MAX_LINKS)


class TestGradientWindow:
    def test_opens_fully_while_response_times_do_not_rise(self):
        assert observe(GradientWindow(), 10.0, 100) == MAX_LINKS

    def test_narrows_to_one_when_responses_take_many_times_longer(self):
        window = GradientWindow()
        observe(window, 10.0, 100)
        assert observe(window, 200.0, 30) == 1

    def test_opens_again_when_the_queue_is_gone(self):
        window = GradientWindow()
        observe(window, 10.0, 100)
        observe(window, 200.0, 30)
        assert observe(window, 10.0, 200) == MAX_LINKS

    def test_ordinary_work_that_varies_does_not_narrow_it(self):
        window = GradientWindow()
        for _ in range(100):
            window.observe(5.0, MAX_LINKS)
            window.observe(22.0, MAX_LINKS)
        assert window.size(MAX_LINKS) == MAX_LINKS

    def test_a_permanently_slower_target_is_not_congested_for_ever(self):
        window = GradientWindow()
        observe(window, 10.0, 100)
        assert observe(window, 40.0, 1_500) > 1

    def test_never_exceeds_the_links(self):
        window = GradientWindow()
        observe(window, 10.0, 100)
        assert window.size(2) == 2


class TestOpenWindow:
    def test_allows_all_links(self):
        assert observe(OpenWindow(), 500.0, 50) == MAX_LINKS


class TestWindowPart:
    @pytest.mark.parametrize(("slots", "owners"), [(2, 3), (4, 7), (4, 3), (16, 7)])
    def test_sum_fills_the_slots_and_little_more(self, slots, owners):
        # Guards against queues in the target, which last after a burst.
        total = owners * window_part(slots, 7, 7 * owners)
        assert slots <= total <= max(owners, slots + PIPELINE + owners / 2)
