"""Tests of following a table of the store."""

from __future__ import annotations

import asyncio
import random

import pytest
from fennelhill_bench.virtual_time import VirtualClock, run_virtual
from fennelhill_core.events import EventLog
from fennelhill_core.platform import (
    StoreFault,
    StoreUnavailableError,
    StoreVersion,
)
from fennelhill_core.tasks import Tasks
from fennelhilld.directory.follower import (
    RETRY_MAX_MS,
    HistoryGoneError,
    TableFollower,
    UnprovenRowsError,
)

ALL = "a row of a snapshot"


class RowStub:
    def __init__(self, version):
        self.store_version = version


class TableSourceStub:
    """A table whose state the test sets; records the times of calls."""

    def __init__(self, clock):
        self.clock = clock
        self.down = False
        self.history_gone = False
        self.version = StoreVersion(1)
        self.reads_ms = []
        self.calls_ms = []
        self.at_once = []

    async def read_table(self, table):
        self._call()
        self.reads_ms.append(self.clock.now_ms())
        return [ALL], self.version

    async def changes(self, table, after, at_once=False, on_answer=None):
        self._call()
        self.at_once.append(at_once)
        if self.history_gone:
            self.history_gone = False
            raise HistoryGoneError
        if not at_once:
            await self.clock.sleep_ms(500)
            self._call()
        self.version = StoreVersion(self.version + 1)
        return [RowStub(self.version)], self.version

    async def never_answer(self, table, after, at_once=False, on_answer=None):
        await self.clock.sleep_ms(2_000 if at_once else 30_000)
        raise StoreUnavailableError(StoreFault.NO_ANSWER)

    def _call(self):
        self.calls_ms.append(self.clock.now_ms())
        if self.down:
            raise StoreUnavailableError(StoreFault.DOWN)


def follow(check, pause_ms=0.0):
    async def main():
        clock = VirtualClock()
        source = TableSourceStub(clock)
        applied = []
        follower = TableFollower(
            source,
            "t",
            lambda _, snapshot, after_outage: applied.append((snapshot, after_outage)),
            clock,
            EventLog("h", "z", clock),
            random.Random(1),
            lambda: pause_ms,
        )
        task = asyncio.ensure_future(follower.run())
        await check(clock, source, applied)
        task.cancel()

    run_virtual(main())


class TestTableFollower:
    def test_reads_a_snapshot_and_then_follows_changes(self):
        async def check(clock, source, applied):
            await clock.sleep_ms(1_600)
            assert applied == [(True, False), *[(False, False)] * 3]
            assert len(source.reads_ms) == 1

        follow(check)

    def test_reads_a_new_snapshot_after_lost_history(self):
        async def check(clock, source, applied):
            await clock.sleep_ms(600)
            source.history_gone = True
            await clock.sleep_ms(600)
            assert len(source.reads_ms) == 2

        follow(check)

    def test_loses_no_change_to_an_unexpected_error(self):
        # The feed ended with the error, and the host kept what it knew for ever.
        async def main():
            clock = VirtualClock()
            source = TableSourceStub(clock)
            applied = []

            def fail_once(rows, is_snapshot, after_outage):
                applied.append((rows, is_snapshot))
                if len(applied) == 2:
                    raise ValueError("an unexpected row")

            follower = TableFollower(
                source, "t", fail_once, clock, EventLog("h", "z", clock), random
            )
            tasks = Tasks()
            tasks.keep_running(follower.run)
            await clock.sleep_ms(3_000)
            tasks.cancel()
            assert [is_snapshot for _, is_snapshot in applied[:4]] == [
                True,
                False,
                True,
                False,
            ]
            assert len(applied) >= 6

        run_virtual(main())

    def test_reconnects_soon_after_an_outage_and_reports_it(self):
        async def check(clock, source, applied):
            await clock.sleep_ms(100)
            source.down = True
            await clock.sleep_ms(10_000)
            source.down = False
            returned_ms = clock.now_ms()
            calls = len(source.calls_ms)
            await clock.sleep_ms(RETRY_MAX_MS)
            assert source.calls_ms[calls] - returned_ms <= RETRY_MAX_MS
            assert (False, True) in applied
            assert True in source.at_once

        follow(check)

    def test_the_age_grows_while_a_poll_is_not_answered(self):
        # A feed that waits and one whose poll was lost looked alike.
        async def main():
            clock = VirtualClock()
            source = TableSourceStub(clock)
            events = EventLog("h", "z", clock)
            follower = TableFollower(
                source, "t", lambda *_: None, clock, events, random.Random(1)
            )
            task = asyncio.ensure_future(follower.run())
            await clock.sleep_ms(1_100)
            assert follower.age_ms <= 600
            source.changes = source.never_answer
            await clock.sleep_ms(35_000)
            assert follower.age_ms > 30_000
            (lost,) = [event for event in events.since(0) if event.kind == "store.lost"]
            assert lost.detail["waited_ms"] == 30_000
            task.cancel()

        run_virtual(main())

    def test_backs_off_while_the_store_is_down(self):
        async def check(clock, source, applied):
            source.down = True
            await clock.sleep_ms(20_000)
            assert len(source.calls_ms) < 25

        follow(check)

    def test_pauses_after_changes_so_that_further_ones_collect(self):
        async def check(clock, source, applied):
            await clock.sleep_ms(4_600)
            assert (
                len(source.calls_ms) <= 8
            )  # two for each poll, one a second and a half

        follow(check, pause_ms=1_000.0)

    def test_a_refresh_applies_changes_at_once_beside_the_poll_in_progress(self):
        async def main():
            clock = VirtualClock()
            source = TableSourceStub(clock)
            applied = []
            follower = TableFollower(
                source,
                "t",
                lambda rows, *_: applied.append(rows),
                clock,
                EventLog("h", "z", clock),
                random.Random(1),
            )
            task = asyncio.ensure_future(follower.run())
            await clock.sleep_ms(100)
            await follower.refresh()
            assert [row.store_version for row in applied[1]] == [2]
            source.history_gone = True
            await follower.refresh()
            assert applied[2:] == [[ALL]]
            source.down = True
            with pytest.raises(StoreUnavailableError):
                await follower.refresh()
            task.cancel()

        run_virtual(main())

    def test_a_new_era_ends_the_poll_and_reads_the_table_anew(self):
        async def main():
            clock = VirtualClock()
            source = TableSourceStub(clock)
            applied = []
            follower = TableFollower(
                source,
                "t",
                lambda _, *how: applied.append(how),
                clock,
                EventLog("h", "z", clock),
                random.Random(1),
            )
            task = asyncio.ensure_future(follower.run())
            await clock.sleep_ms(100)
            follower.restart()
            await clock.sleep_ms(1)
            assert applied == [(True, False), (True, True)]
            source.down = True
            await clock.sleep_ms(5_000)
            source.down = False
            follower.restart()
            await clock.sleep_ms(1)
            assert applied[-1] == (True, True)
            task.cancel()

        run_virtual(main())

    def test_rows_that_prove_nothing_are_applied_but_fail_a_refresh(self):
        async def main():
            clock = VirtualClock()
            source = TableSourceStub(clock)
            applied = []
            follower = TableFollower(
                source,
                "t",
                lambda rows, *_: applied.append(rows),
                clock,
                EventLog("h", "z", clock),
                random.Random(1),
            )
            task = asyncio.ensure_future(follower.run())
            await clock.sleep_ms(100)

            async def unproven(table, after, at_once=False, on_answer=None):
                raise UnprovenRowsError(["row"], after)

            source.changes = unproven
            with pytest.raises(StoreUnavailableError):
                await follower.refresh()
            assert applied[1:] == [["row"]]
            task.cancel()

        run_virtual(main())
