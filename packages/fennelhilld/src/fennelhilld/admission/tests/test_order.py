"""Tests of which queued request gets the next link."""

from __future__ import annotations

import random

import pytest
from fennelhilld.admission.order import (
    LATE_REQUEST_INTERVAL,
    MIN_TAGS,
    PRIORITY_STEP_MS,
    QUEUE_POLICIES,
    EarliestDueFirst,
    FairShares,
    QueuedRequest,
)
from msgspec import structs

SERVICE_MS = 10.0


def order(*queue, now_ms=0.0, policy="aim_first"):
    """Return the indexes of the requests in the order in which they are served."""
    queue_policy = QUEUE_POLICIES.get(policy)()
    remaining = list(enumerate(queue))
    served = []
    while remaining:
        index = queue_policy.choose(
            [request for _, request in remaining], now_ms, SERVICE_MS
        )
        served.append(remaining.pop(index)[0])
    return served


class TestEarliestDueFirst:
    def test_serves_the_shortest_time_left_first(self):
        queue = [QueuedRequest(1, due_ms, 1_000.0) for due_ms in (400.0, 120.0, 200.0)]
        assert order(*queue) == [1, 2, 0]

    def test_a_more_urgent_class_is_served_first_if_due_slightly_later(self):
        less_urgent = QueuedRequest(2, 200.0, 1_000.0)
        urgent = QueuedRequest(1, 200.0 + PRIORITY_STEP_MS / 2, 1_000.0)
        assert order(less_urgent, urgent) == [1, 0]

    def test_priority_does_not_starve_other_classes(self):
        less_urgent = QueuedRequest(2, 200.0, 1_000.0)
        urgent = QueuedRequest(1, 200.0 + 2 * PRIORITY_STEP_MS, 1_000.0)
        assert order(less_urgent, urgent) == [0, 1]

    def test_late_requests_are_served_after_requests_in_time(self):
        late, in_time = (
            QueuedRequest(1, 50.0, 1_000.0),
            QueuedRequest(2, 300.0, 1_000.0),
        )
        assert order(late, in_time, now_ms=100.0) == [1, 0]

    def test_a_request_that_can_no_longer_be_in_time_counts_as_late(self):
        late, in_time = (
            QueuedRequest(1, 105.0, 1_000.0),
            QueuedRequest(2, 300.0, 1_000.0),
        )
        assert order(late, in_time, now_ms=100.0) == [1, 0]

    def test_late_requests_get_every_sixteenth_link_earliest_give_up_first(self):
        late = [QueuedRequest(1, 50.0, give_up_ms) for give_up_ms in (900.0, 700.0)]
        in_time = [
            QueuedRequest(1, 300.0 + number, 1_000.0)
            for number in range(2 * LATE_REQUEST_INTERVAL)
        ]
        served = order(*late, *in_time, now_ms=100.0)
        assert served[LATE_REQUEST_INTERVAL - 1] == 1
        assert served[2 * LATE_REQUEST_INTERVAL - 1] == 0

    def test_equal_requests_are_served_in_order_of_arrival(self):
        assert order(*[QueuedRequest(1, 100.0, 500.0)] * 3) == [0, 1, 2]

    def test_each_policy_counts_its_own_choices(self):
        assert EarliestDueFirst() is not EarliestDueFirst()


class TestArrivalOrder:
    def test_ignores_priority_and_due_time(self):
        queue = [QueuedRequest(2, 400.0, 1_000.0), QueuedRequest(1, 100.0, 200.0)]
        assert order(*queue, policy="arrival") == [0, 1]


class FairQueue:
    """A queue in which organisations always wait, served one request at a time."""

    def __init__(self, costs_ms, weights=None):
        self.policy = FairShares(weights)
        self.costs_ms = costs_ms
        self.served_ms = dict.fromkeys(costs_ms, 0.0)

    def serve(self, count, names):
        for _ in range(count):
            queue = [QueuedRequest(1, 500.0, 900.0, name) for name in names] * 2
            request = queue.pop(self.policy.choose(queue, 0.0, SERVICE_MS))
            self.policy.record_start(request, queue)
            name = request.organisation
            self.policy.record_service(name, self.costs_ms[name])
            self.served_ms[name] += self.costs_ms[name]


class TestFairShares:
    def test_one_organisation_is_served_as_by_aim_first(self):
        random_state = random.Random(1)
        queue = [
            QueuedRequest(
                random_state.randint(0, 2),
                random_state.uniform(0.0, 500.0),
                random_state.uniform(500.0, 900.0),
            )
            for _ in range(100)
        ]
        expected = order(*queue, now_ms=100.0)
        assert order(*queue, now_ms=100.0, policy="fair_shares") == expected
        own = [structs.replace(request, organisation="a") for request in queue]
        assert order(*own, now_ms=100.0, policy="fair_shares") == expected

    def test_shares_time_and_not_requests(self):
        queue = FairQueue({"a": 5.0, "b": 20.0})
        queue.serve(500, "ab")
        assert queue.served_ms["a"] == pytest.approx(queue.served_ms["b"], rel=0.02)

    def test_weights_divide_the_time(self):
        queue = FairQueue({"a": 10.0, "b": 10.0}, {"a": 3.0})
        queue.serve(400, "ab")
        ratio = queue.served_ms["a"] / queue.served_ms["b"]
        assert ratio == pytest.approx(3.0, rel=0.05)

    def test_an_absent_organisation_saves_up_no_claim(self):
        queue = FairQueue({"a": 10.0, "b": 10.0})
        queue.serve(200, "a")
        queue.serve(40, "ab")
        assert queue.served_ms["b"] == pytest.approx(200.0, abs=30.0)

    def test_what_was_served_while_nobody_waited_is_not_owed_to_others(self):
        queue = FairQueue({"a": SERVICE_MS, "b": SERVICE_MS})
        for _ in range(50):
            queue.policy.record_start(QueuedRequest(1, 500.0, 900.0, "a"), [])
            queue.policy.record_service("a", SERVICE_MS)
        queue.serve(4, "ab")
        assert queue.served_ms["a"] >= SERVICE_MS

    def test_a_small_organisation_does_not_wait_for_a_backlog(self):
        policy = FairShares()
        queue = [QueuedRequest(1, 300.0, 900.0, "large")] * 100
        small = QueuedRequest(1, 500.0, 900.0, "small")
        assert policy.requests_ahead(queue, small, 0.0, SERVICE_MS) <= 2
        large = QueuedRequest(1, 500.0, 900.0, "large")
        assert policy.requests_ahead(queue, large, 0.0, SERVICE_MS) == 100

    def test_forgets_organisations_that_have_no_effect(self):
        # Guards against memory that grows with the organisations of a deployment.
        policy = FairShares()
        for number in range(10 * MIN_TAGS):
            name = f"org-{number}"
            policy.record_start(QueuedRequest(1, 500.0, 900.0, name), [])
            policy.record_service(name, SERVICE_MS)
        assert len(policy._tags) <= MIN_TAGS + 1
