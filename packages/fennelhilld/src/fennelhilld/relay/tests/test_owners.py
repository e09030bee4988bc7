"""Tests of which hosts hold the connections to a target."""

from __future__ import annotations

import math
from collections import Counter

import pytest
from fennelhilld.links.allocation import SET_UP_MS
from fennelhilld.relay.owners import (
    HostCapacity,
    is_shared,
    owner_count,
    owner_links,
    owner_order,
    owner_plan,
    target_owners,
)

ZONES = "abcde"
FLEET = [
    HostCapacity(f"host-{number}", ZONES[number % 5], 2.15 if number < 15 else 0.52)
    for number in range(195)
]


def owners(target_id, fleet=FLEET, zone="a", max_connections=58):
    return target_owners(target_id, zone, fleet, max_connections)


class TestIsShared:
    def test_not_by_a_fleet_that_is_small_enough(self):
        assert not is_shared(6, 16)
        assert not is_shared(65, 168)

    def test_by_a_fleet_with_too_many_hosts(self):
        assert is_shared(61, 32)
        assert is_shared(195, 58)


class TestTargetOwners:
    @pytest.mark.parametrize("max_connections", [16, 23, 32, 58, 168])
    def test_open_no_more_connections_than_the_target_accepts(self, max_connections):
        count = owner_count(max_connections)
        links = [owner_links(max_connections, position) for position in range(count)]
        assert 0.8 * max_connections < sum(links) <= max_connections

    def test_are_in_the_zone_of_the_target(self):
        zones = {host.name: host.zone for host in FLEET}
        assert {zones[name] for name in owners("t", zone="c")} == {"c"}

    def test_are_in_other_zones_if_it_has_too_few_hosts(self):
        few = [host for host in FLEET if host.zone != "c"] + [HostCapacity("x", "c")]
        chosen = owners("t", few, zone="c")
        assert chosen[0] == "x"
        assert len(chosen) == owner_count(58)

    def test_own_about_as_many_targets_as_their_processors_allow(self):
        counts = Counter()
        for number in range(300):
            counts.update(owners(f"t{number}", zone=ZONES[number % 5]))
        large = [counts[host.name] for host in FLEET if host.capacity > 1]
        small = [counts[host.name] for host in FLEET if host.capacity < 1]
        ratio = (sum(large) / len(large)) / (sum(small) / len(small))
        assert 2.5 < ratio < 4.5

    def test_few_change_when_a_host_leaves(self):
        before = set(owners("t"))
        leaving = next(iter(before))
        after = set(owners("t", [host for host in FLEET if host.name != leaving]))
        assert len(before - after) == 1


class TestOwnerOrder:
    def test_spreads_hosts_over_the_owners(self):
        names = owners("t")
        first = Counter(owner_order(host.name, names)[0] for host in FLEET)
        assert len(first) == len(names)
        assert max(first.values()) < 2 * len(FLEET) / len(names)

    def test_is_the_same_for_all_hosts_for_a_small_organisation(self):
        names = owners("t")
        for organisation in ("one", "two", "three"):
            orders = {
                tuple(owner_order(host.name, names, "t", organisation, 0.01))
                for host in FLEET
            }
            assert len(orders) == 1
            assert set(orders.pop()) == set(names)

    def test_spreads_organisations_over_the_owners(self):
        names = owners("t")
        first = Counter(
            owner_order("host-0", names, "t", f"org-{number}")[0]
            for number in range(1_000)
        )
        assert max(first.values()) < 1.3 * 1_000 / len(names)

    def test_spreads_a_large_organisation_by_its_share(self):
        names = owners("t")
        first = Counter(
            owner_order(host.name, names, "t", "large", 0.26)[0] for host in FLEET
        )
        assert len(first) == 2
        assert max(first.values()) < 0.6 * len(FLEET)

    def test_an_owner_uses_its_own_links_for_what_it_shares(self):
        names = owners("t")
        for owner in owner_order("host-0", names, "t", "large", 0.26)[:2]:
            assert owner_order(owner, names, "t", "large", 0.26)[0] == owner


class TestOwnerPlan:
    def test_waits_at_the_last_owner_if_links_are_nobodys(self):
        positions = [position for position, _ in owner_plan(3, "")]
        assert positions == [0, 1, 2]
        assert owner_plan(3, "")[-1][1] == math.inf

    def test_an_organisation_returns_to_its_own_owner(self):
        # Waiting at the last one in order opened links there, in place of others'.
        plan = owner_plan(7, "one")
        assert plan[0][0] == plan[-1][0] == 0
        assert plan[-1][1] == math.inf
        # Long enough for a set-up at the own owner only.
        assert plan[0][1] > SET_UP_MS > plan[1][1]
        assert len(plan) <= 4

    def test_has_no_other_owner_to_try(self):
        assert owner_plan(0, "one") == []
        assert owner_plan(1, "one") == [(0, math.inf)]
