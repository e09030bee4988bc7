"""Tests of what all hosts together ask of the store when it comes back."""

from __future__ import annotations

import asyncio
import base64
import random
from collections import Counter

import pytest
from adapter.documents import decode_catalog
from adapter.feeds import HostRegistration, StoreFeeds
from adapter.store import FLEET_TABLE, StoredRow
from fennelhill_bench.session_simulation.targets import DriverModel
from fennelhill_bench.virtual_time import VirtualClock, run_virtual
from fennelhill_core.clock import MS_PER_S
from fennelhill_core.events import EventLog
from fennelhill_core.platform import (
    StoreFault,
    StoreUnavailableError,
    StoreVersion,
)
from fennelhilld.catalog.intake import CatalogIntake
from fennelhilld.directory.follower import HistoryGoneError
from fennelhilld.gateway import SessionGateway

READS_PER_S = 2_000
WRITES_PER_S = 400
CALL_MS = 5.0


class MemoryStore:
    """Tables in memory, with eras; counts the calls of all hosts by second."""

    def __init__(self, clock):
        self.clock = clock
        self.rows = {}
        self.era = 1
        self.number = 0
        self.down = False
        self.changed = asyncio.Event()
        self.reads = Counter()
        self.writes = Counter()

    def client(self, eras):
        return MemoryClient(self, eras)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def go_away(self):
        self.down = True
        self.wake()

    def come_back_empty(self):
        self.rows.clear()
        self.number = 0
        self.era += 1
        self.down = False
        self.returned_ms = self.clock.now_ms()

    def count(self, calls):
        calls[int(self.clock.now_ms() // MS_PER_S)] += 1


class MemoryClient:
    def __init__(self, store, eras):
        self.store = store
        self.eras = eras

    async def read_table(self, table):
        await self.call(self.store.reads)
        rows = [row for (name, _), row in self.store.rows.items() if name == table]
        return self.copies(rows), self.version()

    async def changes(self, table, after, at_once=False, on_answer=None):
        await self.call(self.store.reads)
        while True:
            self.check()
            if after.era != self.store.era:
                raise HistoryGoneError
            rows = [
                row
                for (name, _), row in self.store.rows.items()
                if name == table and row.version > after.number
            ]
            if rows or at_once:
                return self.copies(rows), self.version()
            await self.store.changed.wait()

    async def put(self, key, document):
        await self.call(self.store.writes)
        self.store.number += 1
        value = base64.b64encode(document).decode()
        row = StoredRow(key, self.store.number, value)
        self.store.rows[FLEET_TABLE, key] = row
        self.store.wake()

    async def call(self, calls):
        self.store.count(calls)
        await self.store.clock.sleep_ms(CALL_MS)
        self.check()

    def check(self):
        if self.store.down:
            raise StoreUnavailableError(StoreFault.DOWN)
        self.eras.notice(self.store.era)

    def version(self):
        return StoreVersion.from_parts(self.store.era, self.store.number)

    def copies(self, rows):
        return [
            StoredRow(row.key, row.version, row.value, era=self.store.era)
            for row in rows
        ]


class TestReturnOfTheStore:
    @pytest.mark.parametrize("hosts", [6, 74, 195])
    def test_all_rows_are_written_again_within_two_seconds_without_a_burst(self, hosts):
        async def main():
            clock = VirtualClock()
            store = MemoryStore(clock)
            feeds = []
            for number in range(hosts):
                name, zone = f"h{number}", f"z{number % 3}"
                events = EventLog(name, zone, clock)
                gateway = SessionGateway(name, zone, DriverModel({}), clock, events)
                registration = HostRegistration(f"10.0.0.{number}:1", zone)
                feed = StoreFeeds(
                    store.client(gateway.eras),
                    gateway,
                    CatalogIntake(
                        gateway.catalog,
                        gateway.install_catalog,
                        decode_catalog,
                        clock,
                        events,
                    ),
                    registration,
                    clock,
                    events,
                    random.Random(number),
                )
                feed.start()
                feeds.append((gateway, feed))
            await clock.sleep_ms(20_000)
            assert all(len(gateway.roster) == hosts - 1 for gateway, _ in feeds)
            store.go_away()
            await clock.sleep_ms(1_500)
            store.come_back_empty()
            started_s = int(clock.now_ms() // MS_PER_S)
            while len(store.rows) < hosts:
                await clock.sleep_ms(5)
            took_ms = clock.now_ms() - store.returned_ms
            await clock.sleep_ms(4_000)
            seconds = range(started_s, started_s + 5)
            reads = [store.reads[second] for second in seconds]
            writes = [store.writes[second] for second in seconds]
            print(f"{hosts} hosts: {took_ms:.0f} ms, reads {reads}, writes {writes}")
            for gateway, feed in feeds:
                assert len(gateway.roster) == hosts - 1
                assert gateway.renewal.registered
                feed.close()
                gateway.close()
            assert took_ms <= 2_000
            assert max(reads) <= READS_PER_S
            assert max(writes) <= WRITES_PER_S

        run_virtual(main())
