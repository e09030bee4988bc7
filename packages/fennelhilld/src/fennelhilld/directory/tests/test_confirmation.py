"""Tests of finding changes that a host's own polls have missed."""

from __future__ import annotations

import asyncio
import os
import random

import pytest
from fennelhill_bench.virtual_time import VirtualClock, run_virtual
from fennelhill_core.events import EventLog
from fennelhill_core.platform import (
    StoreFault,
    StoreUnavailableError,
    StoreVersion,
)
from fennelhilld.directory.confirmation import TableConfirmation
from fennelhilld.directory.follower import TableFollower
from fennelhilld.directory.messages import TableQuery
from fennelhilld.fleet.roster import Roster
from fennelhilld.leader_lease.renewal import lease_sources
from fennelhilld.store_era.state import EraWatch

CALL_MS = 5.0
DATAGRAM_MS = 2.0
POLL_LIMIT_MS = 30_000.0
# Stated target: from the acknowledgement of a change until every host acts on it.
IN_FORCE_MS = 3_000.0
# A host counts as connected this long after a trouble of its own or of the store.
CONTACT_MS = 4_000.0
TICK_MS = 20.0  # of the checks
TABLES = ("config", "targets")
# A long run by hand sets more of them.
SEEDS = int(os.environ.get("FENNELHILL_SEEDS", "5"))
# As the store's client limits its calls.
SILENT_CALL_MS = 2_000.0


class Row:
    def __init__(self, version):
        self.store_version = version


class StoreModel:
    """Tables whose changes wake the polls that are not lost."""

    def __init__(self, clock):
        self.clock = clock
        self.version = StoreVersion(1)
        self.rows = {table: [Row(self.version)] for table in TABLES}
        self.changed = asyncio.Event()
        # Polls that were sent before this time are never answered.
        self.polls_lost_ms = float("-inf")
        # Whether calls that fail get no answer at all.
        self.silent = False

    def change(self, table):
        self.version = StoreVersion(self.version + 1)
        self.rows[table].append(Row(self.version))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def lose_polls(self):
        self.polls_lost_ms = self.clock.now_ms()


class HostModel:
    """One host; it is the source of its followers' tables."""

    def __init__(self, fleet, name, zone, pause_ms):
        clock = fleet.clock
        self.fleet = fleet
        self.name = name
        self.zone = zone
        self.cut_off = False
        self.silent = False
        # From the beginning of the answer to a poll to its end.
        self.arrival_ms = 0.0
        self.polls = 0
        self.checks = 0
        self.events = EventLog(name, zone, clock)
        self.roster = Roster(clock)
        self.confirmation = TableConfirmation(
            lambda: lease_sources(name, zone, self.roster.zones),
            self.roster,
            EraWatch(clock, self.events),
            clock,
        )
        self.confirmation.peers = self
        for table in TABLES:
            self.confirmation.followers[table] = TableFollower(
                self,
                table,
                lambda *_: None,
                clock,
                self.events,
                random.Random(name),
                lambda: pause_ms,
            )

    def start(self):
        loops = [follower.run() for follower in self.followers]
        return [
            asyncio.ensure_future(loop) for loop in (self.confirmation.run(), *loops)
        ]

    @property
    def followers(self):
        return self.confirmation.followers.values()

    def knows(self, table, version):
        return not self.confirmation.followers[table].lacks(version)

    async def ask(self, address, query, limit_ms):
        other = self.fleet.hosts[address]
        if other.silent or self.silent:
            await self.fleet.clock.sleep_ms(limit_ms)
            return None
        await self.fleet.clock.sleep_ms(DATAGRAM_MS)
        return other.confirmation.answer(query)

    async def read_table(self, table):
        await self._call()
        return list(self.fleet.store.rows[table]), self.fleet.store.version

    async def changes(self, table, after, at_once=False, on_answer=None):
        store, clock = self.fleet.store, self.fleet.clock
        sent_ms = clock.now_ms()
        self.checks += at_once
        self.polls += not at_once
        await self._call(SILENT_CALL_MS if at_once else POLL_LIMIT_MS)
        while True:
            rows = [row for row in store.rows[table] if row.store_version > after]
            if rows or at_once:
                version = store.version
                if on_answer is not None and rows:
                    on_answer()
                    await clock.sleep_ms(self.arrival_ms)
                return rows, version
            await store.changed.wait()
            if sent_ms <= store.polls_lost_ms:
                await clock.sleep_ms(POLL_LIMIT_MS - (clock.now_ms() - sent_ms))
                raise StoreUnavailableError(StoreFault.NO_ANSWER)

    async def _call(self, limit_ms=SILENT_CALL_MS):
        await self.fleet.clock.sleep_ms(CALL_MS)
        if self.cut_off:
            if self.fleet.store.silent:
                await self.fleet.clock.sleep_ms(limit_ms)
            raise StoreUnavailableError(StoreFault.DOWN)


class Fleet:
    def __init__(self, count, zones=3, pause_ms=0.0):
        self.clock = VirtualClock()
        self.store = StoreModel(self.clock)
        self.hosts = {}
        for number in range(count):
            name, zone = f"h{number}", f"z{number % zones}"
            self.hosts[name] = HostModel(self, name, zone, pause_ms)
        for host in self.hosts.values():
            for other in self.hosts.values():
                if other is not host:
                    host.roster.put(other.name, other.name, other.zone)

    @property
    def first(self):
        return next(
            host
            for host in self.hosts.values()
            if not lease_sources(host.name, host.zone, host.roster.zones)
        )

    def others(self):
        return [host for host in self.hosts.values() if host is not self.first]

    async def time_until_known(self, table, version, hosts=None):
        started_ms = self.clock.now_ms()
        hosts = hosts or self.hosts.values()
        while not all(host.knows(table, version) for host in hosts):
            await self.clock.sleep_ms(10)
            assert self.clock.now_ms() < started_ms + POLL_LIMIT_MS
        return self.clock.now_ms() - started_ms


def run_fleet(check, count, **arguments):
    async def main():
        fleet = Fleet(count, **arguments)
        tasks = [task for host in fleet.hosts.values() for task in host.start()]
        await fleet.clock.sleep_ms(5_000)
        await check(fleet)
        for task in tasks:
            task.cancel()

    run_virtual(main())


class TestLostPolls:
    @pytest.mark.parametrize("hosts", [1, 2, 6, 74])
    def test_of_all_hosts_delay_no_change_beyond_its_bound(self, hosts):
        async def check(fleet):
            fleet.store.lose_polls()
            for _ in range(3):
                await fleet.clock.sleep_ms(4_000 + 77)
                version = fleet.store.change("config")
                assert await fleet.time_until_known("config", version) <= IN_FORCE_MS
                fleet.store.lose_polls()

        run_fleet(check, hosts)

    def test_of_one_host_are_found_by_what_another_one_knows(self):
        async def check(fleet):
            host = fleet.others()[-1]
            fleet.store.lose_polls()
            for other in fleet.hosts.values():
                if other is not host:
                    for follower in other.followers:
                        follower._end_wait()
            await fleet.clock.sleep_ms(100)
            checks = host.checks
            version = fleet.store.change("targets")
            assert await fleet.time_until_known("targets", version) <= IN_FORCE_MS
            assert host.checks == checks + 1
            (event,) = [
                e for e in host.events.since(0) if e.kind == "store.poll_repeated"
            ]
            assert event.detail["table"] == "targets"
            assert host.knows("targets", fleet.store.change("targets")) is False
            await fleet.clock.sleep_ms(2 * CALL_MS)
            assert host.knows("targets", fleet.store.version)

        run_fleet(check, 6)

    @pytest.mark.parametrize("fault", ["cut_off", "silent"])
    def test_are_found_without_the_first_host(self, fault):
        # It asks the store for all others, so its own faults must not be theirs.
        async def check(fleet):
            setattr(fleet.first, fault, True)
            fleet.store.lose_polls()
            await fleet.clock.sleep_ms(4_000)
            version = fleet.store.change("config")
            took_ms = await fleet.time_until_known("config", version, fleet.others())
            assert took_ms <= IN_FORCE_MS

        run_fleet(check, 9)

    def test_that_the_store_answers_again_are_not_kept_for_lost(self):
        async def check(fleet):
            (host,) = fleet.hosts.values()
            host.cut_off = True
            await fleet.clock.sleep_ms(3_000)
            assert all(follower.failing for follower in host.followers)
            host.cut_off = False
            await fleet.clock.sleep_ms(1_500)
            assert not any(follower.failing for follower in host.followers)
            assert host.knows("config", fleet.store.version)

        run_fleet(check, 1)


class TestCalls:
    @pytest.mark.parametrize("hosts", [6, 74])
    def test_at_rest_are_those_of_one_host(self, hosts):
        # Calls of every host would grow with the fleet; they are priced.
        async def check(fleet):
            before = {name: host.checks for name, host in fleet.hosts.items()}
            await fleet.clock.sleep_ms(20_000)
            made = {
                name: host.checks - before[name] for name, host in fleet.hosts.items()
            }
            assert made.pop(fleet.first.name) <= 20_000 / 750.0 * len(TABLES)
            assert set(made.values()) == {0}

        run_fleet(check, hosts)

    def test_are_not_doubled_while_changes_collect(self):
        async def check(fleet):
            before = sum(host.checks + host.polls for host in fleet.others())
            for _ in range(20):
                fleet.store.change("targets")
                await fleet.clock.sleep_ms(300)
            made = sum(host.checks + host.polls for host in fleet.others()) - before
            # One poll for each pause of a second, and some in the first and last one.
            assert made <= len(fleet.others()) * 9

        run_fleet(check, 30, pause_ms=1_000.0)

    @pytest.mark.parametrize("number", [0, -1])
    def test_are_not_made_while_a_poll_is_being_answered(self, number):
        # A large configuration over a slow link would be read twice, and neither call
        # would end within its time limit.
        async def check(fleet):
            host = [fleet.first, *fleet.others()][number]
            host.arrival_ms = 2_400.0
            await fleet.clock.sleep_ms(300)  # to between two checks
            version = fleet.store.change("config")
            await fleet.clock.sleep_ms(100)
            checks = host.checks
            took_ms = await fleet.time_until_known("config", version)
            assert 2_200 <= took_ms <= IN_FORCE_MS
            others = 2_400 / 750 + 1  # of the other table, if it is the first host
            assert host.checks - checks <= (others if host is fleet.first else 0)

        run_fleet(check, 6)

    def test_are_made_if_an_answer_stops_arriving(self):
        async def check(fleet):
            host = fleet.others()[-1]
            host.arrival_ms = POLL_LIMIT_MS
            version = fleet.store.change("config")
            assert await fleet.time_until_known("config", version) <= CONTACT_MS

        run_fleet(check, 6)


class TestWhatAHostStates:
    def test_is_no_younger_than_the_sending_of_an_answered_call(self):
        async def check(fleet):
            fleet.first.cut_off = True
            await fleet.clock.sleep_ms(2_000)
            states = fleet.first.confirmation.answer(TableQuery()).tables
            assert all(state.age_ms > 1_000 for state in states.values())
            other = fleet.others()[0].confirmation
            now_ms, age_ms = fleet.clock.now_ms(), other.followers["config"].age_ms
            other._apply(fleet.first.confirmation.answer(TableQuery()), now_ms)
            assert other.followers["config"].age_ms == age_ms

        run_fleet(check, 3)

    def test_of_another_era_confirms_nothing(self):
        async def check(fleet):
            (host,) = fleet.hosts.values()
            follower = host.confirmation.followers["config"]
            now_ms = fleet.clock.now_ms()
            fleet.first.cut_off = True
            await fleet.clock.sleep_ms(1_000)
            age_ms = follower.age_ms
            assert follower.confirm(StoreVersion.from_parts(1, 1), now_ms + 1_000)
            assert follower.age_ms == age_ms
            follower.restart()
            assert follower.confirm(StoreVersion(1), now_ms + 1_000)
            assert follower.age_ms == age_ms

        run_fleet(check, 1)

    def test_without_a_table_is_no_confirmation(self):
        # A host that has just started knows none, and must not hide a change.
        async def check(fleet):
            fresh = HostModel(fleet, "fresh", "z0", 0.0)
            assert fresh.confirmation.answer(TableQuery()).tables == {}

        run_fleet(check, 2)


class Troubles:
    """Random troubles, one after the other or at once, and when each host was calm."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.random = random.Random(seed)
        self.disturbed_ms = dict.fromkeys(fleet.hosts, float("-inf"))
        self.under_way = 0

    async def run(self, duration_ms):
        clock = self.fleet.clock
        end_ms = clock.now_ms() + duration_ms
        tasks = []
        while clock.now_ms() < end_ms:
            trouble = self.random.choice([self.polls, self.outage, self.cut, self.mute])
            tasks.append(asyncio.ensure_future(trouble()))
            await clock.sleep_ms(self.random.uniform(100, 9_000))
        await asyncio.gather(*tasks)

    async def polls(self):
        self.fleet.store.lose_polls()
        self.record(self.fleet.hosts)

    async def outage(self):
        self.fleet.store.silent = self.random.random() < 0.5
        await self.last(list(self.fleet.hosts.values()), "cut_off")
        self.fleet.store.silent = False

    async def cut(self):
        await self.last(
            [self.random.choice(list(self.fleet.hosts.values()))], "cut_off"
        )

    async def mute(self):
        # Datagrams between hosts are lost; the store's answers are not.
        count = self.random.randint(1, len(self.fleet.hosts))
        hosts = self.random.sample(list(self.fleet.hosts.values()), count)
        for host in hosts:
            host.silent = True
        await self.fleet.clock.sleep_ms(self.random.uniform(100, 6_000))
        for host in hosts:
            host.silent = False

    async def last(self, hosts, fault):
        for host in hosts:
            setattr(host, fault, True)
        duration_ms = self.random.uniform(100, 6_000)
        for _ in range(20):
            self.record(host.name for host in hosts)
            await self.fleet.clock.sleep_ms(duration_ms / 20)
        for host in hosts:
            setattr(host, fault, False)
        self.record(host.name for host in hosts)

    def record(self, names):
        now_ms = self.fleet.clock.now_ms()
        self.disturbed_ms.update(dict.fromkeys(names, now_ms))


class TestRandomTroubles:
    @pytest.mark.parametrize("seed", range(SEEDS))
    def test_delay_no_change_at_a_host_that_is_in_contact(self, seed):
        async def check(fleet):
            troubles = Troubles(fleet, seed)
            running = asyncio.ensure_future(troubles.run(60_000))
            due = []
            clock = fleet.clock
            while not running.done() or due:
                if not running.done() and troubles.random.random() < 0.03:
                    table = troubles.random.choice(TABLES)
                    due.append((clock.now_ms(), table, fleet.store.change(table)))
                await clock.sleep_ms(20)
                due = [
                    change for change in due if self.is_due(fleet, troubles, *change)
                ]

        run_fleet(check, 7)

    @staticmethod
    def is_due(fleet, troubles, changed_ms, table, version):
        now_ms = fleet.clock.now_ms()
        late = [host for host in fleet.hosts.values() if not host.knows(table, version)]
        for host in late:
            contact_ms = troubles.disturbed_ms[host.name] + CONTACT_MS
            assert now_ms <= max(changed_ms + IN_FORCE_MS, contact_ms) + TICK_MS
        return bool(late)
