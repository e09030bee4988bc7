"""Tests that each use of a lease checks it, in the core as it runs."""

from __future__ import annotations

from fennelhill_bench.session_simulation.simulation import SessionSimulation
from fennelhill_bench.virtual_time import run_virtual
from fennelhill_core import codes
from fennelhill_core.platform import StoreVersion
from fennelhilld.catalog.state import ReadKind
from fennelhilld.leader_lease.messages import GroupClaim
from fennelhilld.leadership.state import Fence
from fennelhilld.promotion.claims import CLAIM_TURN_MS
from fennelhilld.promotion.messages import Claim, ClaimRow, PromotionResult

GIVEN_UP = Fence(1, "g0-1", 1, float("-inf"))


def simulate(main):
    async def run():
        simulation = SessionSimulation(1, hosts=3)
        gateway = simulation.gateways[0]
        await gateway.renewal.ensure(100.0)
        await main(simulation, gateway, gateway.groups["g0"])
        simulation.close()

    run_virtual(run())


class TestPromises:
    def test_an_answer_after_the_lease_was_given_up_does_not_count(self):
        async def main(simulation, gateway, group):
            assert await gateway.env.answer_counts(group, group.leader())
            group.leadership.raise_fence(GIVEN_UP)
            assert not await gateway.env.answer_counts(group, group.leader())

        simulate(main)

    def test_a_transaction_is_not_committed_at_a_leader_that_is_replaced(self):
        async def main(simulation, gateway, group):
            database = simulation.database(ReadKind.CURRENT)
            client = simulation.client(gateway, database)
            await client.begin()
            await client.write()
            group.leadership.raise_fence(GIVEN_UP)
            reply = await client.commit()
            assert reply.code is codes.TRANSACTION_ABORTED
            assert simulation.groups["g0"].leader.log == []

        simulate(main)

    def test_nothing_is_ordered_after_the_turn_of_a_holder(self):
        async def main(simulation, gateway, group):
            gateway.update_claim("g0", ClaimRow(5, Claim("host-0", "n", "g0-1")))
            claimed_ms = simulation.clock.boottime_ms() - CLAIM_TURN_MS
            result = await gateway.replacement._order_promotion(
                group, "g0-1", StoreVersion(5), claimed_ms
            )
            assert result is PromotionResult.NOT_SENT
            assert simulation.orders.calls == []

        simulate(main)

    def test_the_list_of_hosts_is_read_after_a_claim_was_made(self):
        async def main(simulation, gateway, group):
            reads = []
            store = gateway.replacement.store
            refresh = store.refresh

            async def count_refresh():
                reads.append(simulation.clock.now_ms())
                await refresh()

            store.refresh = count_refresh
            claim = Claim("host-0", "n", "g0-1", previous_term=1)
            gateway.update_claim("g0", ClaimRow(5, claim))
            assert await gateway.replacement._fence(group, claim, 5)
            assert reads
            row = GroupClaim("g0", 5, claim)
            assert await simulation.gateways[1].host_queries.give_lease_up(row)

        simulate(main)
