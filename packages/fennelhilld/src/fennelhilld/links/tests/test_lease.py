"""Tests of exchanging commands on a leased link."""

from __future__ import annotations

import asyncio

import pytest
from fennelhill_bench.virtual_time import VirtualClock, run_virtual
from fennelhilld.links.lease import OVERDUE_MS, Lease
from fennelhilld.links.messages import (
    Command,
    CommandKind,
    LinkLostError,
    TargetAnswer,
    TargetFault,
)
from fennelhilld.links.state import PooledLink
from fennelhilld.statements.messages import Statement, StatementKind

READ = Command(CommandKind.STATEMENT, Statement("r1", StatementKind.READ, "READ a"))
SERVED = TargetAnswer(rows=["row"], signature="7.1")
DONE = TargetAnswer()


class LinkStub:
    def __init__(self, answers, delay_ms=0.0):
        self.closed = False
        self.answers = list(answers)
        self.delay_ms = delay_ms
        self.sent = []

    async def send(self, commands, urgency=None):
        self.sent += commands

    async def receive(self):
        await asyncio.sleep(self.delay_ms / 1000)
        if not self.answers:
            await asyncio.sleep(3_600)
        return self.answers.pop(0)


class PoolStub:
    def __init__(self):
        self.last_answer_ms = float("-inf")
        self.broken = None
        self.releases = []
        self.paused = 0
        self.response_times_ms = []

    def pause(self):
        self.paused += 1

    def resume(self):
        self.paused -= 1

    def record_response_time(self, took_ms):
        self.response_times_ms.append(took_ms)

    def release(self, link, broken=False):
        self.broken = broken
        self.releases.append(broken)


class LeaseFixture:
    def __init__(self, *answers, delay_ms=0.0):
        self.overdue = []
        self.pool = PoolStub()
        self.link = LinkStub(answers, delay_ms)
        clock = VirtualClock()
        pooled = PooledLink(self.link, 0.0)
        self.lease = Lease(self.pool, pooled, clock, self.overdue.append)


def run(check, *answers, **options):
    async def main():
        await check(LeaseFixture(*answers, **options))

    run_virtual(main())


class TestExchange:
    def test_returns_the_answers_but_not_those_of_the_replay(self):
        async def check(fixture):
            replay = Command(CommandKind.SET_VALUE, name="a", value="1")
            exchange = await fixture.lease.exchange([replay, READ], 100.0)
            assert exchange.answers == [SERVED]
            fixture.lease.release()
            assert fixture.pool.broken is False

        run(check, DONE, SERVED)

    @pytest.mark.parametrize(
        ("command", "answer"),
        [
            (READ, DONE),
            (Command(CommandKind.BEGIN), SERVED),
            (Command(CommandKind.ROLLBACK), SERVED),
        ],
    )
    def test_an_unexpected_answer_breaks_the_link(self, command, answer):
        async def check(fixture):
            with pytest.raises(LinkLostError):
                await fixture.lease.exchange([command], 100.0)
            fixture.lease.release()
            assert fixture.pool.broken

        run(check, answer)

    def test_a_failed_replay_breaks_the_link(self):
        async def check(fixture):
            replay = Command(CommandKind.SET_VALUE, name="a", value="1")
            with pytest.raises(LinkLostError):
                await fixture.lease.exchange([replay, READ], 100.0)

        run(check, TargetAnswer(fault=TargetFault.MALFORMED), SERVED)

    def test_a_late_answer_breaks_the_link(self):
        async def check(fixture):
            with pytest.raises(LinkLostError):
                await fixture.lease.exchange([READ], 100.0)
            fixture.lease.release()
            assert fixture.pool.broken

        run(check)

    def test_sends_no_commands_on_a_closed_link(self):
        async def check(fixture):
            fixture.link.closed = True
            with pytest.raises(LinkLostError):
                await fixture.lease.exchange([READ], 100.0)
            assert not fixture.lease.sent
            assert fixture.link.sent == []

        run(check)

    def test_records_response_times_only_of_answered_statements(self):
        async def check(fixture):
            await fixture.lease.exchange([Command(CommandKind.BEGIN)], 100.0)
            assert fixture.pool.response_times_ms == []
            await fixture.lease.exchange([READ], 100.0)
            assert len(fixture.pool.response_times_ms) == 1

        run(check, DONE, SERVED)

    def test_pauses_the_link_while_its_answer_is_overdue(self):
        async def check(fixture):
            task = asyncio.ensure_future(fixture.lease.exchange([READ], 2_000.0))
            await asyncio.sleep((OVERDUE_MS + 10) / 1000)
            assert fixture.pool.paused == 1
            await task
            fixture.lease.release()
            assert fixture.pool.paused == 0

        run(check, SERVED, delay_ms=OVERDUE_MS + 50)

    def test_reports_an_overdue_answer_while_waiting(self):
        async def check(fixture):
            await fixture.lease.exchange([READ], 2_000.0)
            assert len(fixture.overdue) == 1

        run(check, SERVED, delay_ms=OVERDUE_MS + 50)


class TestRelease:
    def test_cancelling_an_exchange_closes_the_link(self):
        async def check(fixture):
            task = asyncio.ensure_future(fixture.lease.exchange([READ], 100.0))
            await asyncio.sleep(0.01)
            task.cancel()
            await asyncio.wait({task})
            assert fixture.pool.releases == [True]

        run(check)

    def test_releasing_twice_returns_the_link_once(self):
        async def check(fixture):
            await fixture.lease.exchange([READ], 100.0)
            fixture.lease.release()
            fixture.lease.discard()
            assert fixture.pool.releases == [False]

        run(check, SERVED)
