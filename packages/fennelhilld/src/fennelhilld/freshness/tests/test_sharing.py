"""Tests of fetching positions of leaders from their owners."""

from __future__ import annotations

from fennelhill_bench.virtual_time import VirtualClock, run_virtual
from fennelhill_core.tokens import Position
from fennelhilld.freshness.sharing import QUERY_TIMEOUT_MS, RETRY_MS, SampleSource
from fennelhilld.leader_lease.messages import SampleAnswer
from fennelhilld.placement.policies import ExpectedTime
from fennelhilld.placement.state import GroupState

MAX_AGE_MS = 1_500.0


class PeersStub:
    """Owners that answer after 5 ms, by address; the others do not answer."""

    def __init__(self, clock, answers):
        self.clock = clock
        self.answers = answers
        self.asked = []

    async def ask(self, address, query, limit_ms):
        self.asked.append(address)
        answer = self.answers.get(address)
        await self.clock.sleep_ms(limit_ms if answer is None else 5.0)
        return answer


def run(check, answers, owners=("first", "second"), others=()):
    async def main():
        clock = VirtualClock()
        source = SampleSource(lambda _: list(owners), clock, lambda _: list(others))
        source.peers = PeersStub(clock, answers)
        group = GroupState("g", lambda kind, **detail: None, ExpectedTime())
        await check(source, group, clock)

    run_virtual(main())


class TestSampleSource:
    def test_counts_the_age_from_the_sending_of_the_query(self):
        async def check(source, group, clock):
            sent_ms = clock.boottime_ms()
            await source.fetch(group)
            assert group.freshness.newest_sample().sent_ms == sent_ms - 200.0

        run(check, {"first": SampleAnswer(Position(2, 7), 200.0)})

    def test_asks_the_next_owner_if_one_has_none_or_does_not_answer(self):
        async def check(source, group, clock):
            await source.fetch(group)
            assert source.peers.asked == ["first", "second"]
            assert group.freshness.newest_sample() is not None

        run(check, {"first": SampleAnswer(), "second": SampleAnswer(Position(1, 3))})
        run(check, {"second": SampleAnswer(Position(1, 3))})

    def test_waits_a_moment_only_and_pauses_after_a_failure(self):
        async def check(source, group, clock):
            started_ms = clock.now_ms()
            await source.fetch(group)
            assert clock.now_ms() - started_ms <= QUERY_TIMEOUT_MS + 1.0
            await clock.sleep_ms(QUERY_TIMEOUT_MS)
            await source.fetch(group)
            assert len(source.peers.asked) == 2
            await clock.sleep_ms(RETRY_MS)
            await source.fetch(group)
            assert len(source.peers.asked) > 2

        run(check, {})

    def test_takes_the_newest_of_other_hosts_while_no_owner_answers(self):
        """Guards against reads refused for want of a position that others know."""

        async def check(source, group, clock):
            sent_ms = clock.boottime_ms()
            await source.fetch(group)
            assert group.freshness.newest_sample().sent_ms == sent_ms - 100.0
            await source.fetch(group)
            assert len(source.peers.asked) == 3

        answers = {
            "a": SampleAnswer(Position(1, 3), 400.0),
            "b": SampleAnswer(Position(1, 5), 100.0),
        }
        run(check, answers, owners=(), others=("a", "b", "c"))

    def test_renews_a_sample_only_once_it_is_old(self):
        async def check(source, group, clock):
            group.freshness.add_sample(clock.boottime_ms(), Position(1, 1))
            source.keep_fresh(group, MAX_AGE_MS)
            await clock.sleep_ms(MAX_AGE_MS / 4)
            assert source.peers.asked == []
            await clock.sleep_ms(MAX_AGE_MS / 2)
            source.keep_fresh(group, MAX_AGE_MS)
            await clock.sleep_ms(50.0)
            assert source.peers.asked == ["first"]

        run(check, {"first": SampleAnswer(Position(1, 9), 0.0)})
