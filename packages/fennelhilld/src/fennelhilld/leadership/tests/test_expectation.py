"""Tests of how long a replacement is expected to take."""

from __future__ import annotations

from fennelhilld.leader_lease.state import LEASE_MS
from fennelhilld.leadership.expectation import ReplacementExpectation
from fennelhilld.leadership.state import Fence, GroupLeadership


def leadership(fence=None, failing_since_ms=None):
    state = GroupLeadership("g", lambda kind, **detail: None)
    state.fence = fence
    state.failing_since_ms = failing_since_ms
    return state


def fence(raised_ms, planned=False):
    return Fence(1, "g-1", 1, 0.0, raised_ms, planned)


class TestReplacementExpectation:
    def test_counts_from_the_claim_and_never_below_zero(self):
        """Guards against refusals that go on when a replacement takes longer."""
        expectation = ReplacementExpectation()
        first = expectation.remaining_ms(leadership(fence(1_000.0)), 1_000.0)
        assert first > LEASE_MS
        later = expectation.remaining_ms(leadership(fence(1_000.0)), 1_400.0)
        assert later == first - 400.0
        assert expectation.remaining_ms(leadership(fence(1_000.0)), 9_000.0) == 0.0

    def test_includes_the_claim_while_there_is_none(self):
        expectation = ReplacementExpectation()
        claimed = expectation.remaining_ms(leadership(fence(1_000.0)), 1_000.0)
        lost = expectation.remaining_ms(leadership(None, 1_000.0), 1_000.0)
        assert lost > claimed

    def test_is_zero_for_a_planned_replacement_and_a_leader_that_answers(self):
        """Guards against refusals where requests would be served in time."""
        expectation = ReplacementExpectation()
        assert expectation.remaining_ms(leadership(fence(1e3, True)), 1e3) == 0.0
        assert expectation.remaining_ms(leadership(), 1_000.0) == 0.0

    def test_follows_the_platforms_promotion_time(self):
        expectation = ReplacementExpectation()
        before = expectation.remaining_ms(leadership(fence(0.0)), 0.0)
        for _ in range(10):
            expectation.record(fence(0.0), LEASE_MS + 1_050.0)
            expectation.record(fence(0.0), 400.0)  # No lease was waited for.
        after = expectation.remaining_ms(leadership(fence(0.0)), 0.0)
        assert before + 400.0 < after < LEASE_MS + 1_060.0
