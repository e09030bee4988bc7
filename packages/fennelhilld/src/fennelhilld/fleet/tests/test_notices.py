"""Tests of the notices about zones that have stopped answering."""

from __future__ import annotations

import asyncio

from fennelhill_bench.virtual_time import VirtualClock, run_virtual
from fennelhilld.fleet.notices import FANOUT, PAUSE_MS, ZoneNotices
from fennelhilld.fleet.roster import Roster
from fennelhilld.leader_lease.messages import ZoneNotice

HOSTS = 60


class Fleet:
    """Hosts of three zones that hand each other's notices on at once."""

    def __init__(self, clock):
        self.sent = 0
        self.checked = set()
        self.notices = {}
        names = [f"h{number}" for number in range(HOSTS)]
        for name in names:
            roster = Roster(clock)
            for number, other in enumerate(names):
                if other != name:
                    roster.put(other, other, f"z{number % 3}", 1.0)
            self.notices[name] = ZoneNotices(
                name,
                roster,
                lambda: self,
                lambda zone, name=name: self.checked.add((name, zone)),
                clock,
            )

    async def ask(self, address, query, limit_ms):
        self.sent += 1
        self.notices[address].receive(query)


def simulate(main):
    async def run():
        clock = VirtualClock()
        await main(Fleet(clock), clock)

    run_virtual(run())


class TestZoneNotices:
    def test_reach_nearly_all_other_hosts_with_few_datagrams(self):
        """Guards against each host finding a lost zone by losing a request."""

        async def main(fleet, clock):
            for name in ("h1", "h2", "h4"):
                fleet.notices[name].announce("z0")
            await asyncio.sleep(0.1)
            assert len(fleet.checked) > 0.8 * HOSTS * 2 / 3
            assert fleet.sent <= HOSTS * FANOUT
            assert all(int(name[1:]) % 3 for name, _ in fleet.checked)

        simulate(main)

    def test_are_not_repeated_at_once_nor_passed_on_for_ever(self):
        async def main(fleet, clock):
            notices = fleet.notices["h1"]
            notices.announce("z0")
            notices.announce("z0")
            await asyncio.sleep(0.1)
            first = fleet.sent
            assert first <= FANOUT + FANOUT * FANOUT
            await clock.sleep_ms(PAUSE_MS)
            notices.receive(ZoneNotice("z0", 1_000_000))
            await asyncio.sleep(0.1)
            assert fleet.sent == first + FANOUT

        simulate(main)

    def test_of_an_unknown_zone_are_ignored(self):
        async def main(fleet, clock):
            fleet.notices["h1"].receive(ZoneNotice("nowhere", 2))
            await asyncio.sleep(0.1)
            assert fleet.sent == 0
            assert fleet.checked == set()

        simulate(main)
