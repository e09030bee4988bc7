"""Tests of choosing the target of a read."""

from __future__ import annotations

from fennelhill_core.tokens import Position
from fennelhilld.directory.state import TargetEntry
from fennelhilld.freshness.positions import MinimumPosition
from fennelhilld.placement.policies import ExpectedTime
from fennelhilld.placement.state import (
    SLOWNESS_HALF_LIFE_MS,
    GroupState,
    ResponseTimes,
    TargetState,
)

MEAN_RESPONSE_MS = 20.0
MINIMUM = MinimumPosition(Position(1, 5), 1_000.0)


class PoolStub:
    def __init__(self):
        self.waiting = 0
        self.in_use = 0
        self.idle = 1
        self.open = 1
        self.created_ms = 0.0
        self.unreachable = False
        self.relayed = False
        self.organisations = set()

    def has_link_of(self, organisation):
        return organisation in self.organisations


def group(**zones):
    state = GroupState("g", lambda kind, **detail: None, ExpectedTime())
    for name, zone in zones.items():
        entry = TargetEntry(name, "g", "10.0.0.1:1", zone, slots=2)
        state.targets[name] = TargetState(entry, lambda _: PoolStub())
    state.leadership.set_reported_leader("leader", 0.0)
    return state


def choose(state, tried=(), minimum=MINIMUM, now_ms=0.0):
    chosen = state.choose_reader(minimum, MEAN_RESPONSE_MS, "a", set(tried), now_ms)
    return chosen.entry.id if chosen else None


class TestChooseReader:
    def test_prefers_the_own_zone(self):
        assert choose(group(leader="c", near="a", far="b")) == "near"

    def test_prefers_a_replica_of_another_zone_to_the_leader(self):
        assert choose(group(leader="a", far="b")) == "far"

    def test_chooses_the_leader_where_no_replica_is_left(self):
        assert choose(group(leader="a", far="b"), tried=["far"]) == "leader"

    def test_skips_a_replica_that_is_predicted_to_lag(self):
        state = group(leader="c", near="a", far="b")
        state.targets["near"].lag.record_refusal(2_000.0, 2_000.0, 0.0)
        assert choose(state) == "far"

    def test_uses_an_open_link_to_the_leader_while_none_to_a_replica_is_open(self):
        # When a whole fleet had started, each read waited for a connection set-up.
        state = group(leader="a", far="b")
        state.targets["far"].pool.open = 0
        assert choose(state) == "leader"

    def test_prefers_a_replica_if_no_connection_has_to_be_opened(self):
        state = group(leader="a", far="b")
        state.targets["far"].pool.open = 0
        state.targets["far"].pool.relayed = True
        assert choose(state) == "far"

    def test_avoids_a_slow_replica(self):
        state = group(leader="c", near="a", far="b")
        for _ in range(30):
            state.targets["near"].record_slowness(5.0, 0.0)
        assert choose(state) == "far"

    def test_tries_a_slow_replica_again_after_a_while(self):
        # Only its own answers made it look faster, and it got no reads to answer.
        state = group(leader="c", near="a", far="b")
        for _ in range(30):
            state.targets["near"].record_slowness(5.0, 0.0)
        assert choose(state, now_ms=SLOWNESS_HALF_LIFE_MS) == "far"
        assert choose(state, now_ms=6 * SLOWNESS_HALF_LIFE_MS) == "near"

    def test_avoids_a_replica_with_a_queue(self):
        state = group(leader="c", near="a", far="b")
        state.targets["near"].pool.idle = 0
        state.targets["near"].pool.in_use = 3
        assert choose(state) == "far"

    def test_skips_an_unreachable_replica(self):
        state = group(leader="c", near="a", far="b")
        state.targets["near"].pool.unreachable = True
        assert choose(state) == "far"

    def test_a_burst_of_heavy_reads_makes_no_target_look_slow(self):
        # Databases differ in the work of a read. Compared by absolute times, the leader
        # with its short reads looked faster than the replicas.
        times = ResponseTimes()
        state = group(leader="a", near="a")
        for _ in range(50):
            state.targets["near"].record_slowness(times.observe("heavy", 40.0), 0.0)
            state.targets["leader"].record_slowness(times.observe("light", 5.0), 0.0)
        assert choose(state) == "near"


class TestPreferredReplica:
    def choose(self, state, organisation, share=0.01):
        chosen = state.choose_reader(
            MINIMUM, MEAN_RESPONSE_MS, "a", set(), 0.0, organisation, share
        )
        return chosen.entry.id

    def test_organisations_are_spread_over_the_replicas(self):
        state = group(leader="c", one="a", two="a")
        chosen = [self.choose(state, f"org-{number}") for number in range(200)]
        assert 80 < chosen.count("one") < 120
        assert "leader" not in chosen

    def test_is_left_if_waiting_there_costs_more_than_a_set_up(self):
        state = group(leader="c", one="a", two="a")
        preferred = self.choose(state, "org")
        pool = state.targets[preferred].pool
        pool.idle, pool.in_use, pool.open = 0, 1, 2
        assert self.choose(state, "org") == preferred
        pool.in_use = 3
        assert self.choose(state, "org") != preferred

    def test_is_left_for_one_where_this_host_has_a_link(self):
        state = group(leader="c", one="a", two="a")
        preferred = self.choose(state, "org")
        other = state.targets["two" if preferred == "one" else "one"].pool
        other.organisations.add("org")
        state.targets[preferred].pool.idle = 0
        state.targets[preferred].pool.in_use = 1
        assert self.choose(state, "org") != preferred

    def test_another_replica_is_preferred_to_the_leader(self):
        # A leader must not get the reads of half of the organisations while one
        # replica lags.
        state = group(leader="a", one="a", two="a")
        preferred = self.choose(state, "org")
        state.targets[preferred].lag.record_refusal(2_000.0, 2_000.0, 0.0)
        assert self.choose(state, "org") not in (preferred, "leader")
