"""Tests of links that belong to organisations."""

from __future__ import annotations

import asyncio

import pytest
from fennelhill_bench.virtual_time import run_virtual
from fennelhilld.admission.order import QueuedRequest
from fennelhilld.links.allocation import (
    MIN_LINK_AGE_MS,
    IdleLink,
    IdleTransaction,
    LinkBudget,
    SetUpBudget,
    UseRates,
    least_worth,
    link_worth,
    needs_another_link,
    transaction_to_end,
)
from fennelhilld.links.lease import Lease
from fennelhilld.links.messages import LinkRefusedError, NoLinkError, TargetFault
from fennelhilld.links.pool import CLOSE_ARRIVAL_MS, SURPLUS_IDLE_MS
from fennelhilld.links.state import SessionContext
from fennelhilld.links.tests.replay import replay
from fennelhilld.links.tests.test_pool import PoolFixture


class Fixture(PoolFixture):
    def __init__(self, link_limit=2, set_ups_per_s=20.0, kept_links=2):
        super().__init__(link_limit)
        self.pool._link_budget = lambda: LinkBudget(set_ups_per_s, kept_links)

    async def take(self, organisation, limit_ms=1_000.0, priority=1):
        give_up_ms = self.clock.now_ms() + limit_ms
        request = QueuedRequest(priority, give_up_ms, give_up_ms, organisation)
        return await self.pool.acquire(SessionContext(), request)

    async def open_links(self, *organisations):
        """Open links that may be closed in favour of others, and leave them idle."""
        links = [await self.take(organisation) for organisation in organisations]
        await self.clock.sleep_ms(MIN_LINK_AGE_MS)
        for link in links:
            self.pool.release(link)
        return links


def run(check, **options):
    async def main():
        await check(Fixture(**options))

    run_virtual(main())


class TestDecisions:
    def test_a_link_is_worth_more_the_more_it_is_used(self):
        assert link_worth(2.0, 0, 10.0) > link_worth(1.0, 0, 10.0)
        # A second link is needed only while the first one is in use.
        assert link_worth(2.0, 1, 10.0) < 0.05 * link_worth(2.0, 0, 10.0)

    def test_closes_the_link_worth_least_but_no_young_one(self):
        links = [
            IdleLink("often", 900.0, 900.0),
            IdleLink("seldom", 900.0, 5.0),
            IdleLink("new", 20.0, 20.0),
        ]
        worths = {"often": 5.0, "seldom": 1.0, "new": 0.0}
        assert least_worth(links, worths) == 1
        assert least_worth(links, worths, {"seldom"}) == 0
        assert least_worth(links[2:], worths) is None

    def test_the_own_links_are_waited_for_if_they_return_soon(self):
        assert needs_another_link(0, 1, 5.0)
        assert not needs_another_link(1, 2, 5.0)
        assert needs_another_link(1, 2, 30.0)

    def test_rates_are_bounded_in_number_and_keep_the_busiest(self):
        rates = UseRates()
        for number in range(2_000):
            rates.record("often", 10.0 * number)
            rates.record(f"org-{number}", 10.0 * number)
        assert len(rates._rates) <= 256
        assert rates.per_s("often", 20_000.0) > 10 * rates.per_s("org-1999", 20_000.0)

    def test_set_ups_keep_to_their_rate(self):
        budget = SetUpBudget()
        taken = 0
        for now_ms in range(10_000):
            if budget.wait_ms(float(now_ms), 5.0) == 0.0:
                budget.take(float(now_ms), 5.0)
                taken += 1
        assert 50 <= taken <= 55  # five each second, and those of one second ahead


class TestAllocation:
    def test_a_returned_link_is_closed_for_another_organisation(self):
        # Guards against starvation: as long as the organisations that held all links
        # had requests themselves, others got none.
        async def check(fixture):
            async def keep_busy():
                while True:
                    link = await fixture.take("large", 10_000.0)
                    await fixture.clock.sleep_ms(10.0)
                    fixture.pool.release(link)

            load = [asyncio.ensure_future(keep_busy()) for _ in range(8)]
            await fixture.clock.sleep_ms(2 * MIN_LINK_AGE_MS)
            started_ms = fixture.clock.now_ms()
            link = await fixture.take("small")
            assert fixture.clock.now_ms() - started_ms < 40.0
            assert link.organisation == "small"
            assert fixture.pool.open <= fixture.pool.link_limit
            for task in load:
                task.cancel()

        run(check)

    def test_never_uses_the_link_of_another_organisation(self):
        async def check(fixture):
            await fixture.open_links("one", "two")
            taken = await asyncio.gather(fixture.take("two"), fixture.take("three"))
            assert [link.organisation for link in taken] == ["two", "three"]
            assert fixture.pool.counters.displaced == 1

        run(check)

    def test_a_closed_link_is_gone_before_another_is_opened(self):
        # A target that still counts it refuses with too many connections.
        async def check(fixture):
            links = await fixture.open_links("one", "two")
            started_ms = fixture.clock.now_ms()
            await fixture.take("three")
            assert sum(link.connection.closed for link in links) == 1
            assert fixture.clock.now_ms() - started_ms >= CLOSE_ARRIVAL_MS

        run(check)

    def test_a_request_waits_for_a_set_up_and_is_refused_if_it_cant(self):
        async def check(fixture):
            await fixture.take("one")
            with pytest.raises(NoLinkError) as raised:
                await fixture.take("two", limit_ms=100.0)
            assert raised.value.expected_ms > 900.0
            assert await fixture.take("two", limit_ms=2_000.0)
            assert fixture.driver.opened == 2

        run(check, set_ups_per_s=1.0)

    def test_many_organisations_together_keep_to_the_bound_on_set_ups(self):
        async def check(fixture):
            async def request(number):
                await fixture.clock.sleep_ms(50.0 * number)
                try:
                    link = await fixture.take(f"org-{number % 40}", 300.0)
                except NoLinkError:
                    return 0
                await fixture.clock.sleep_ms(10.0)
                fixture.pool.release(link)
                return 1

            served = sum(await asyncio.gather(*(request(item) for item in range(200))))
            # Five in a second, and those of one second ahead.
            bound = 5.0 * fixture.clock.now_ms() / 1_000.0 + 5.0
            assert 0.9 * bound < fixture.driver.opened <= bound
            assert served >= fixture.driver.opened

        run(check, set_ups_per_s=5.0)

    def test_a_refused_set_up_is_tried_again(self):
        async def check(fixture):
            fixture.driver.fault = TargetFault.TOO_MANY_CONNECTIONS
            waiting = asyncio.ensure_future(fixture.take("one"))
            await fixture.clock.sleep_ms(50.0)
            fixture.driver.fault = None
            assert await waiting

        run(check)

    def test_fails_at_once_where_the_target_refuses(self):
        async def check(fixture):
            await fixture.open_links("one")
            fixture.driver.fault = TargetFault.OTHER
            started_ms = fixture.clock.now_ms()
            with pytest.raises(LinkRefusedError):
                await fixture.take("two")
            assert fixture.clock.now_ms() - started_ms < 50.0

        run(check)

    def test_trim_keeps_the_links_of_the_busiest(self):
        async def check(fixture):
            await fixture.open_links("one", "two", "three")
            for _ in range(5):
                fixture.pool.release(await fixture.take("two"))
            await fixture.clock.sleep_ms(SURPLUS_IDLE_MS)
            for _ in range(6):
                fixture.pool.trim()
            assert [link.organisation for link in fixture.pool._idle] == ["two"]

        run(check, link_limit=3, kept_links=1)

    def test_links_are_replaced_when_they_belong_to_organisations_no_more(self):
        # Idle links that nobody may use any more took all places.
        async def check(fixture):
            links = await fixture.open_links("one", "two")
            fixture.pool._link_budget = lambda: None
            assert (await fixture.take("")).organisation == ""
            assert all(link.connection.closed for link in links)

        run(check)

    def test_warm_opens_links_of_the_busiest(self):
        async def check(fixture):
            fixture.pool.warm(["one", "two", "three"])
            await fixture.clock.sleep_ms(20.0)
            opened = {link.organisation for link in fixture.pool._idle}
            assert opened == {"one", "two"}

        run(check, link_limit=4, kept_links=4)


class TestIdleTransactions:
    def test_the_longest_idle_beyond_the_share_is_ended(self):
        transactions = [
            IdleTransaction("large", 300.0),
            IdleTransaction("large", 900.0),
            IdleTransaction("large", 200.0),
            IdleTransaction("small", 2_000.0),
        ]
        competing = {"large", "small", "waiting"}
        assert transaction_to_end(transactions, 6, competing, True) == 1
        assert transaction_to_end(transactions, 12, competing, True) is None
        # Nobody has more than the share, but no link would ever become free.
        assert transaction_to_end(transactions, 12, competing, False) == 3
        assert transaction_to_end([IdleTransaction("one", 5.0)], 1, {"one"}, False) is (
            None
        )

    def test_others_get_the_place_of_an_idle_transaction(self):
        # Guards against clients that are idle in transactions on all links of an owner:
        # nobody else had any until their time-out.
        async def check(fixture):
            ended = []
            leases = []
            for number in range(4):
                link = await fixture.take("large")
                lease = Lease(fixture.pool, link, fixture.clock, lambda sent_ms: None)

                def end(number=number, lease=lease):
                    ended.append(number)
                    lease.discard()

                lease.rest(end)
                leases.append(lease)
                await fixture.clock.sleep_ms(50.0)
            # As long as the next statement is run, a transaction is not idle.
            leases[0].wake()
            more = asyncio.ensure_future(fixture.take("large", 100.0))
            with pytest.raises(NoLinkError):
                await more
            assert not ended
            started_ms = fixture.clock.now_ms()
            assert (await fixture.take("small")).organisation == "small"
            assert fixture.clock.now_ms() - started_ms < 40.0
            assert ended == [1]

        run(check, link_limit=4)


class TestReplay:
    """Organisations of shares that fall as rank^-1.2 at one group's owners."""

    def test_a_calm_day_needs_few_set_ups(self):
        result = replay()
        assert result.set_ups <= 0.10 * result.operations
        assert result.too_many == result.refused == 0

    @pytest.mark.parametrize("rank", [1, 2])
    def test_small_organisations_hardly_wait_beside_a_large_one(self, rank):
        result = replay(factors={rank: 8.0})
        assert result.p95_ms(range(11, 81)) <= 40.0
        assert result.too_many == 0


class TestChangeOfOwners:
    def test_no_connection_of_nobody_serves_an_organisation(self):
        """Guards against statements that a target runs under no organisation's name."""

        async def check(fixture):
            fixture.pool._relayed = lambda: True
            # Opened directly: this host became an owner meanwhile.
            waiting = asyncio.ensure_future(fixture.take("one"))
            await fixture.clock.sleep_ms(50.0)
            assert not waiting.done()
            fixture.pool._relayed = lambda: False
            assert (await waiting).organisation == "one"

        run(check)
