"""Tests of the organisations' weights in the settings."""

from __future__ import annotations

import pytest
from fennelhill_core.clock import Clock
from fennelhill_core.events import EventLog
from fennelhilld.admission.weights import check_weights


def check(value):
    """Return the valid weights, and the log line's fields."""
    events = EventLog("h1", "a", Clock())
    weights = check_weights(value, events)
    return weights, [event.detail for event in events.since(0)]


class TestCheckWeights:
    def test_default_is_no_weights_and_no_line(self):
        assert check(None) == ({}, [])

    @pytest.mark.parametrize(
        "bad", ["x", 0, -1, float("nan"), float("inf"), True, None, [], 10**400]
    )
    def test_a_bad_weight_leaves_the_others_in_force(self, bad):
        weights, lines = check({"a": 2, "b": bad})
        assert weights == {"a": 2.0}
        assert lines[0]["organisations"] == ["b"]

    @pytest.mark.parametrize("bad", ["a", 3, ["a"]])
    def test_what_is_no_mapping_ends_no_process(self, bad):
        weights, lines = check(bad)
        assert weights == {}
        assert len(lines) == 1

    def test_many_bad_entries_give_one_short_line(self):
        _, (line,) = check({f"org-{number}": 0 for number in range(1_000)})
        assert (len(line["organisations"]), line["count"]) == (10, 1_000)
