"""Tests of how a host tracks the leader of a group."""

from __future__ import annotations

from fennelhilld.leadership.state import Fence, GroupLeadership


def leadership():
    return GroupLeadership("g", lambda kind, **detail: None)


class TestGroupLeadership:
    def test_follows_a_reported_leader(self):
        state = leadership()
        state.set_reported_leader("a", 0.0)
        assert state.leader_id == "a"

    def test_a_late_answer_of_a_former_leader_changes_nothing(self):
        state = leadership()
        state.confirm_leader("a", 1, 100.0)
        state.set_reported_leader("b", 500.0)
        state.confirm_leader("a", 1, 400.0)
        assert state.leader_id == "b"

    def test_an_answer_of_an_earlier_term_changes_nothing(self):
        state = leadership()
        state.confirm_leader("b", 2, 100.0)
        state.confirm_leader("a", 1, 200.0)
        assert state.leader_id == "b"

    def test_accepts_an_answer_of_an_earlier_term_from_the_reported_leader(self):
        state = leadership()
        state.confirm_leader("a", 3, 100.0)
        state.set_reported_leader("b", 200.0)
        state.record_failure("b", 210.0)
        # The term of an answer is that of the log, which may end in an earlier term.
        state.confirm_leader("b", 2, 220.0)
        assert state.leader_id == "b"
        assert state.failing_since_ms is None

    def test_only_an_answer_to_a_later_command_clears_a_failure(self):
        state = leadership()
        state.confirm_leader("a", 1, 100.0)
        assert state.record_failure("a", 300.0)
        state.confirm_leader("a", 1, 250.0)
        assert state.failing_since_ms == 300.0
        state.confirm_leader("a", 1, 310.0)
        assert state.failing_since_ms is None

    def test_a_refusal_leaves_the_group_without_a_leader(self):
        state = leadership()
        state.set_reported_leader("a", 0.0)
        state.record_not_leading("a", 300.0)
        assert state.leader_id is None
        assert state.failing_since_ms == 300.0


def fence(version=1, target="b", previous_term=1):
    return Fence(version, target, previous_term, float("inf"))


class TestFence:
    def test_only_the_claimed_target_in_a_newer_term_ends_it(self):
        state = leadership()
        state.confirm_leader("a", 1, 100.0)
        state.raise_fence(fence())
        state.confirm_leader("b", 1, 200.0)
        state.confirm_leader("c", 2, 200.0)
        assert state.fence is not None
        state.confirm_leader("b", 2, 200.0)
        assert (state.fence, state.leader_id, state.term) == (None, "b", 2)

    def test_ends_if_its_target_was_taken_as_the_leader_before(self):
        # A host that starts reads the list of targets before the claims.
        state = leadership()
        state.set_reported_leader("b", 100.0)
        state.raise_fence(fence())
        state.confirm_leader("b", 1, 200.0)
        assert state.fence is not None
        state.confirm_leader("b", 2, 300.0)
        assert state.fence is None

    def test_a_replaced_leader_that_reports_itself_is_not_followed(self):
        state = leadership()
        state.claimed = True
        state.install_leader("b", 2, 100.0)
        state.set_reported_leader("a", 200.0)
        state.confirm_leader("a", 1, 300.0)
        assert state.leader_id == "b"

    def test_an_abandoned_claim_leaves_the_leader(self):
        state = leadership()
        state.confirm_leader("a", 1, 100.0)
        state.raise_fence(fence())
        state.lift_fence()
        assert (state.fence, state.leader_id) == (None, "a")

    def test_a_finished_claim_of_an_earlier_term_changes_nothing(self):
        state = leadership()
        state.claimed = True
        state.confirm_leader("c", 3, 100.0)
        state.install_leader("b", 2, 200.0)
        assert state.leader_id == "c"
