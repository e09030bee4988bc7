"""Tests of the checks before a leader is replaced, on one host of a simulation."""

from __future__ import annotations

import asyncio

from fennelhill_bench.session_simulation.simulation import SessionSimulation
from fennelhill_bench.virtual_time import run_virtual
from fennelhilld.promotion.messages import LeaderView, Survey

HOSTS = 24  # more than the 16 connections of a target


def simulate(main):
    async def run():
        simulation = SessionSimulation(1, hosts=HOSTS)
        await main(simulation)
        simulation.close()

    run_virtual(run())


class TestLossConfirmation:
    def test_needs_answers_of_half_the_hosts_in_the_same_survey(self):
        # At the end of a partition a newer survey showed that the host was not cut
        # off any more; the answers of its own zone alone then replaced a leader.
        async def main(simulation):
            gateway = simulation.gateways[0]
            gateway.replacement.reach.update(5.0, 12, 12)
            group = gateway.env.group("g0")
            views = [LeaderView("g0-0", 0, False) for _ in range(9)]
            confirms = gateway.replacement._fleet_confirms_loss
            assert not confirms(group, Survey(12, views[:4]))
            assert confirms(group, Survey(12, views))

        simulate(main)


class TestTurns:
    def test_are_taken_by_hosts_that_own_targets_of_the_group(self):
        """Guards against turns kept for hosts that never claim the group."""

        async def main(simulation):
            gateway = simulation.gateways[0]
            claimants = gateway.replacement.claimants(gateway.env.group("g0"))
            assert {
                other.host
                for other in simulation.gateways
                if other._may_replace_leader(other.env.group("g0"))
            } == claimants
            assert len(claimants) < HOSTS / 2

        simulate(main)


class TestProbes:
    def test_at_the_same_time_share_one_connection(self):
        """Guards against a set-up for each host that asks about a lost leader."""

        async def main(simulation):
            gateway = simulation.gateways[0]
            target = gateway.groups["g0"].targets["g0-0"]
            probe = gateway.replacement.prober.probe
            results = await asyncio.gather(*(probe(target) for _ in range(5)))
            assert all(result.status.leads for result in results)
            driver = simulation.drivers[0]
            links = simulation.groups["g0"].leader.links
            assert sum(link.driver is driver for link in links) == 1

        simulate(main)
