"""Tests of what a host may use of each target, and of when it is worked out again."""

from __future__ import annotations

import pytest
from fennelhill_core.clock import Clock
from fennelhilld.catalog.state import Catalog, CatalogHolder, Group, Organisation
from fennelhilld.directory.state import TargetEntry
from fennelhilld.fleet.roster import Roster
from fennelhilld.links.shares import OrganisationShares
from fennelhilld.relay import ownership as ownership_module
from fennelhilld.relay.owners import owner_count, owner_order, target_owners
from fennelhilld.relay.ownership import RELAY_LINKS, TargetOwnership

ENTRY = TargetEntry("t1", "orders", "10.0.0.1:1", "zone-0", slots=2)
LIMIT = 23


class _Clock(Clock):
    def now_ms(self) -> float:
        return 0.0


class _Fleet:
    """The ownership of host ``h0`` in a fleet of a given size."""

    def __init__(self, hosts: int, relays: bool = True) -> None:
        self.roster = Roster(_Clock())
        for number in range(1, hosts):
            self.add(number)
        self.catalog = CatalogHolder()
        self.configure(LIMIT)
        self.ownership = TargetOwnership(
            "h0",
            "zone-0",
            1.0,
            relays,
            self.roster,
            self.catalog,
            OrganisationShares(self.catalog),
        )

    def add(self, number: int) -> None:
        self.roster.put(f"h{number}", f"10.0.1.{number}:1", f"zone-{number % 3}")

    def configure(self, limit: int, organisations: dict | None = None) -> None:
        groups = {"orders": Group("orders", limit)}
        version = self.catalog.version + 1
        self.catalog.install(
            Catalog(version, {}, groups, organisations=organisations), 0.0
        )


class TestLargeFleet:
    def test_all_hosts_choose_the_same_owners(self):
        """Hosts that disagree open more connections than the target accepts."""
        fleet = _Fleet(hosts=74)
        share = fleet.ownership.of(ENTRY)
        assert share.shared
        assert len(share.owners) == owner_count(LIMIT)
        assert share.owns == ("h0" in share.owners)

    def test_a_host_that_owns_nothing_uses_relay_links(self):
        """A limit for direct connections would hold back what the owners serve."""
        fleet = _Fleet(hosts=74)
        shares = [
            fleet.ownership.of(TargetEntry(f"t{number}", "orders", "", "zone-1"))
            for number in range(8)
        ]
        others = [share for share in shares if not share.owns]
        assert others
        assert {share.links for share in others} == {RELAY_LINKS}
        assert {share.window for share in others} == {RELAY_LINKS}

    def test_the_order_of_owners_depends_on_the_organisation(self):
        """One order for all organisations would send each to a set-up."""
        fleet = _Fleet(hosts=74)
        fleet.configure(LIMIT, {"roasters": Organisation("roasters")})
        owners = fleet.ownership.of(ENTRY).owners
        assert fleet.ownership.order(ENTRY, "") == owner_order("h0", owners)
        assert fleet.ownership.order(ENTRY, "roasters") == owner_order(
            "h0", owners, ENTRY.id, "roasters", 0.0
        )


class TestChanges:
    """A share that is kept too long names hosts or limits that are gone."""

    def test_a_host_that_leaves_owns_nothing_any_more(self):
        fleet = _Fleet(hosts=74)
        first = next(name for name in fleet.ownership.of(ENTRY).owners if name != "h0")
        order = fleet.ownership.order(ENTRY, "")
        assert first in order
        fleet.roster.remove(first)
        assert first not in fleet.ownership.of(ENTRY).owners
        assert first not in fleet.ownership.order(ENTRY, "")

    def test_a_fleet_that_grows_begins_to_share(self):
        fleet = _Fleet(hosts=6)
        assert not fleet.ownership.of(ENTRY).shared
        for number in range(6, 74):
            fleet.add(number)
        assert fleet.ownership.of(ENTRY).shared

    def test_a_new_limit_is_used(self):
        fleet = _Fleet(hosts=6)
        before = fleet.ownership.of(ENTRY).links
        fleet.configure(10 * LIMIT)
        assert fleet.ownership.of(ENTRY).links > before

    def test_organisations_that_a_new_version_names_get_a_budget(self):
        fleet = _Fleet(hosts=74)
        assert fleet.ownership.of(ENTRY).budget is None
        fleet.configure(LIMIT, {"roasters": Organisation("roasters")})
        assert fleet.ownership.of(ENTRY).budget is not None

    def test_an_entry_with_other_slots_gives_another_window(self):
        fleet = _Fleet(hosts=74)
        fleet.configure(LIMIT, {"roasters": Organisation("roasters")})
        owned = next(
            entry
            for entry in (
                TargetEntry(f"t{number}", "orders", "", "zone-0", slots=2)
                for number in range(40)
            )
            if fleet.ownership.of(entry).owns
        )
        larger = TargetEntry(owned.id, "orders", "", "zone-0", slots=20)
        window = fleet.ownership.of(owned).window
        assert fleet.ownership.of(larger).window > window

    def test_a_factor_is_applied_at_once(self):
        fleet = _Fleet(hosts=6)
        fleet.ownership.set_overcommit(1.0)
        assert fleet.ownership.of(ENTRY).links == LIMIT // 6
        fleet.ownership.set_overcommit(2.0)
        assert fleet.ownership.of(ENTRY).links == 2 * (LIMIT // 6)


class TestCost:
    @pytest.mark.parametrize("hosts", [6, 74, 195])
    def test_requests_do_not_walk_the_list_of_hosts(self, hosts, monkeypatch):
        """Choosing owners for each request took most of an owner's processor time."""
        calls = 0

        def count(*args: object) -> list[str]:
            nonlocal calls
            calls += 1
            return target_owners(*args)

        monkeypatch.setattr(ownership_module, "target_owners", count)
        fleet = _Fleet(hosts)
        for _ in range(100):
            fleet.ownership.of(ENTRY)
            fleet.ownership.order(ENTRY, "")
        assert calls <= 1
