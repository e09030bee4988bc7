"""Tests of where a host gets the proof for its lease."""

from __future__ import annotations

from collections import Counter

import pytest
from fennelhill_bench.session_simulation.simulation import SessionSimulation
from fennelhill_bench.virtual_time import run_virtual
from fennelhilld.leader_lease.messages import LeaseAnswer, LeaseQuery, ProofSource
from fennelhilld.leader_lease.renewal import (
    FRESH_AGE_MS,
    MAX_CLAIMS_PER_ANSWER,
    UNUSED_AFTER_MS,
    hosts_to_tell,
    is_majority,
    lease_sources,
)
from fennelhilld.leader_lease.state import LEASE_MS
from fennelhilld.promotion.messages import Claim, ClaimRow


def simulate(main, hosts=6, zones=3):
    async def run():
        simulation = SessionSimulation(1, hosts=hosts, zones=zones)
        await main(simulation)
        simulation.close()

    run_virtual(run())


class TestLeaseSources:
    def test_few_hosts_read_the_store_however_many_there_are(self):
        zones = {f"host-{number}": f"zone-{number % 5}" for number in range(195)}
        readers = []
        queried = Counter()
        for host, zone in zones.items():
            others = {name: other for name, other in zones.items() if name != host}
            sources = lease_sources(host, zone, others)
            if not sources:
                readers.append(host)
            queried.update(sources[:1])
        assert len(readers) == 1
        assert len(queried) == 5
        assert max(queried.values()) <= 195 / 5 + 5

    def test_no_host_asks_itself_or_one_that_asks_it(self):
        zones = {f"host-{number}": f"zone-{number % 3}" for number in range(12)}

        def first_source(host):
            others = {name: other for name, other in zones.items() if name != host}
            return next(iter(lease_sources(host, zones[host], others)), None)

        for host in zones:
            visited = [host]
            while (source := first_source(visited[-1])) is not None:
                assert source not in visited
                visited.append(source)
            assert len(visited) <= 3


class TestNewsOfAnEra:
    def test_reaches_each_host_once(self):
        zones = {f"host-{number}": f"zone-{number % 5}" for number in range(195)}
        told = Counter()
        for host, zone in zones.items():
            others = {name: other for name, other in zones.items() if name != host}
            told.update(hosts_to_tell(host, zone, others))
        assert set(told.values()) == {1}
        assert len(told) == 194


class TestMajority:
    @pytest.mark.parametrize("listed", [1, 2, 3, 4, 5, 6])
    def test_any_two_have_a_host_in_common(self, listed):
        smallest = next(
            count for count in range(listed + 1) if is_majority(count, listed)
        )
        assert 2 * smallest > listed


class TestLeaseRenewal:
    def test_is_kept_while_it_is_used_and_then_given_up(self):
        async def main(simulation):
            renewal = simulation.gateways[0].renewal
            assert await renewal.ensure(100.0)
            await simulation.clock.sleep_ms(UNUSED_AFTER_MS - 500.0)
            assert renewal.lease.valid_at(simulation.clock.boottime_ms())
            await simulation.clock.sleep_ms(LEASE_MS + 1_000.0)
            assert not renewal.lease.valid_at(simulation.clock.boottime_ms())

        simulate(main)

    def test_a_host_without_the_store_gets_proofs_through_others(self):
        async def main(simulation):
            for gateway in simulation.gateways:
                simulation.hosts_without_store = {gateway.host}
                gateway.env.access.lease.proven_ms = float("-inf")
                asked_ms = simulation.clock.boottime_ms()
                assert await gateway.renewal.ensure(400.0)
                assert gateway.env.access.lease.source != "store"
                assert gateway.env.access.lease.proven_ms >= asked_ms - FRESH_AGE_MS

        simulate(main)

    def test_most_hosts_confirm_while_the_store_is_down(self):
        async def main(simulation):
            simulation.store.down = True
            for gateway in simulation.gateways:
                assert await gateway.renewal.ensure(400.0)

        simulate(main)

    @pytest.mark.parametrize("cut_off", [{"host-0"}, {"host-0", "host-1", "host-2"}])
    def test_no_more_than_half_of_the_hosts_get_none_without_the_store(self, cut_off):
        async def main(simulation):
            simulation.isolated_hosts = simulation.hosts_without_store = cut_off
            for name in cut_off:
                renewal = simulation.gateway(name).renewal
                assert not await renewal.ensure(1_000.0)
                assert renewal.failing

        simulate(main)

    def test_a_host_that_is_not_listed_gets_none(self):
        async def main(simulation):
            renewal = simulation.gateways[0].renewal
            renewal.registered = False
            assert not await renewal.ensure(400.0)

        simulate(main)

    def test_a_confirmation_delivers_claims_that_the_store_can_not(self):
        async def main(simulation):
            first, *others = simulation.gateways
            row = ClaimRow(7, Claim("host-5", "nonce", "g0-1", previous_term=1))
            for gateway in others:
                gateway.update_claim("g0", row)
            simulation.store.down = True
            assert await first.renewal.ensure(400.0)
            assert first.groups["g0"].leadership.fence.claim_version == 7
            assert not first.env.access.may_send(first.groups["g0"])

        simulate(main)

    def test_a_host_with_a_newer_list_of_hosts_does_not_confirm(self):
        async def main(simulation):
            first, *others = simulation.gateways
            for gateway in others:
                gateway.roster.version = 9
            assert not await first.renewal._ask_for_confirmation()

        simulate(main)

    def test_the_age_of_a_proof_includes_the_time_until_its_answer(self):
        async def main(simulation):
            renewal = simulation.gateways[0].renewal
            sent_ms = simulation.clock.boottime_ms()
            await simulation.clock.sleep_ms(700.0)
            renewal._use_answer(LeaseAnswer(True, age_ms=200.0), sent_ms, "host-1")
            assert renewal.lease.proven_ms == sent_ms - 200.0

        simulate(main)

    def test_an_incomplete_list_of_claims_proves_nothing_yet(self):
        async def main(simulation):
            first, second, *_ = simulation.gateways
            count = MAX_CLAIMS_PER_ANSWER + 3
            for number in range(count):
                claim = Claim("host-5", "nonce", f"t{number}")
                row = ClaimRow(number + 1, claim)
                second.update_claim(f"group-{number}", row)
            second.replacement.claims.raise_complete_version(count)
            for complete in (False, True):
                claims = first.replacement.claims
                query = LeaseQuery(ProofSource.CONFIRMATION, claims.complete_version, 0)
                answer = await second.renewal.answer(query)
                assert answer.complete is complete
                assert first.renewal._apply(answer) is complete
            assert first.replacement.claims.complete_version == count

        simulate(main)

    def test_ten_busy_seconds_cost_few_reads_of_the_store(self):
        async def main(simulation):
            calls = 0
            call = simulation.store.call

            async def count_calls():
                nonlocal calls
                calls += 1
                await call()

            simulation.store.call = count_calls
            for _ in range(100):
                for gateway in simulation.gateways:
                    gateway.renewal.use()
                await simulation.clock.sleep_ms(100.0)
            assert calls <= 30  # three a second, whatever the number of hosts

        simulate(main, hosts=30)
