"""Tests of the drill of the store's model in virtual time."""

from __future__ import annotations

import asyncio

import pytest
from fennelhill_bench.session_simulation.simulation import SessionSimulation
from fennelhill_bench.virtual_time import run_virtual
from fennelhill_core.platform import StoreFault, StoreUnavailableError
from fennelhilld.promotion.messages import Claim, ClaimPhase


def run_model(check, hosts=2):
    async def main():
        simulation = SessionSimulation(1, hosts=hosts)
        try:
            await check(simulation, simulation.store)
        finally:
            simulation.close()

    run_virtual(main())


def finished_claim(nonce="nonce"):
    """Return a claim that makes no host act."""
    return Claim("outside", nonce, "g0-1", ClaimPhase.ABANDONED)


class TestReturn:
    def test_loses_claims_and_hosts_and_gives_versions_again(self):
        async def check(simulation, store):
            first = await store.swap_claim("g0", 0, finished_claim("first"))
            await simulation.clock.sleep_ms(2_000)
            lost = await store.swap_claim("g0", first, finished_claim("lost"))
            await store.register_host("host-9")
            await store.drill(100.0, copy_age_ms=1_000.0)
            assert store.rows["g0"].claim.nonce == "first"
            assert set(store.hosts) == {"host-0", "host-1"}
            assert store.era == 2
            assert await store.swap_claim("g0", first, finished_claim()) == lost

        run_model(check)

    def test_restores_any_age_also_of_an_earlier_era(self):
        async def check(simulation, store):
            version = 0
            for number in range(4):
                claim = finished_claim(f"claim-{number}")
                version = await store.swap_claim("g0", version, claim)
                await simulation.clock.sleep_ms(1_000)
            store.come_back(copy_age_ms=3_500.0)
            assert store.rows["g0"].claim.nonce == "claim-0"
            store.come_back(copy_age_ms=1_500.0)
            assert store.rows["g0"].claim.nonce == "claim-2"
            store.come_back(copy_age_ms=60_000.0)
            assert store.rows == {}
            assert (store.era, store.version) == (4, 0)

        run_model(check)

    def test_carries_out_kept_writes_if_their_condition_holds(self):
        async def check(simulation, store):
            first = await store.swap_claim("g0", 0, finished_claim())
            drill = simulation.spawn(store.drill(800.0, 2_000.0, keeps_calls=True))
            await simulation.clock.sleep_ms(1)
            results = await asyncio.gather(
                store.swap_claim("g0", first, finished_claim("too late")),
                store.swap_claim("g0", 0, finished_claim("kept")),
                return_exceptions=True,
            )
            faults = [result.fault for result in results]
            assert faults == [StoreFault.NO_ANSWER] * 2
            await drill
            await simulation.clock.sleep_ms(10)
            assert store.rows["g0"].claim.nonce == "kept"

        run_model(check)

    def test_refuses_writes_meanwhile_unless_it_keeps_them(self):
        async def check(simulation, store):
            store.go_away()
            with pytest.raises(StoreUnavailableError) as caught:
                await store.swap_claim("g0", 0, finished_claim())
            assert caught.value.fault is StoreFault.DOWN
            store.come_back(0.0)
            await simulation.clock.sleep_ms(1_000)
            assert store.rows == {}

        run_model(check)


class TestAnswers:
    def test_name_the_era_also_in_refusals_but_not_if_they_are_lost(self):
        async def check(simulation, store):
            host_store = simulation.stores_by_host["host-0"]
            seen = []
            host_store.on_answer = lambda era, version: seen.append((era, version))
            await host_store.swap_claim("g0", 0, finished_claim())
            store.go_away(keeps_calls=True)
            with pytest.raises(StoreUnavailableError):
                await host_store.read_claim("g0")
            with pytest.raises(StoreUnavailableError):
                await host_store.register()
            simulation.hosts_without_store.add("host-0")
            with pytest.raises(StoreUnavailableError):
                await host_store.refresh()
            simulation.hosts_without_store.clear()
            store.go_away()
            store.come_back(60_000.0, {"host-0": 500.0})
            assert await host_store.swap_claim("g0", 7, finished_claim()) is None
            # Of the first claim's feed there is one more answer, before the rest.
            assert sorted(set(seen)) == [(1, 1), (2, 0)]
            assert len(seen) == 4

        run_model(check)

    def test_tell_hosts_of_the_era_at_different_times(self):
        async def check(simulation, store):
            learnt_ms = {}
            for host, host_store in simulation.stores_by_host.items():
                host_store.on_answer = lambda era, version, host=host: (
                    learnt_ms.setdefault(host, simulation.clock.now_ms())
                )
            returned_ms = simulation.clock.now_ms()
            store.come_back(0.0, {"host-1": 300.0})
            await store.register_host("host-9")
            await simulation.clock.sleep_ms(1_000)
            delays_ms = {
                host: round(at_ms - returned_ms) for host, at_ms in learnt_ms.items()
            }
            assert delays_ms == {"host-0": 5, "host-1": 300}

        run_model(check)

    def test_reach_a_host_that_was_cut_off_during_the_return_when_it_is_back(self):
        async def check(simulation, store):
            simulation.partition({"host-0"}, set())
            store.come_back(0.0)
            await simulation.clock.sleep_ms(100)
            stores = simulation.stores_by_host
            assert (stores["host-0"].era, stores["host-1"].era) == (1, 2)
            simulation.heal()
            await simulation.clock.sleep_ms(100)
            assert stores["host-0"].era == 2

        run_model(check)


class TestFeed:
    def test_reads_all_rows_if_the_store_lacks_the_version(self):
        """A host whose row is missing is no lost host, and writes it again."""

        async def check(simulation, store):
            await simulation.clock.sleep_ms(2_000)
            await store.remove_host("host-1")
            await store.register_host("host-1")
            await store.register_host("host-1")
            await simulation.clock.sleep_ms(100)
            gateways = simulation.gateways
            assert "host-1" in gateways[0].roster.addresses
            # The copy was made between the removal and the return of the row.
            store.come_back(copy_age_ms=100.0 + 1.5 * store.call_ms)
            assert "host-1" not in store.hosts
            await simulation.clock.sleep_ms(2.5 * store.call_ms)
            assert gateways[0].eras.current == gateways[1].eras.current == 2
            assert not gateways[1].renewal.registered
            await simulation.clock.sleep_ms(2_000)
            assert "host-1" in store.hosts
            assert "host-1" in gateways[0].roster.addresses
            assert gateways[1].renewal.registered

        run_model(check)

    def test_misses_no_change_once_its_version_was_given_out_again(self):
        async def check(simulation, store):
            await simulation.clock.sleep_ms(2_000)
            await store.register_host("host-0")
            await simulation.clock.sleep_ms(100)
            store.come_back(1_000.0, {"host-0": 50.0})
            await store.remove_host("host-1")
            await store.register_host("host-0")
            await simulation.clock.sleep_ms(2_000)
            # It has registered again, which the feed of host-0 has not missed either.
            assert "host-1" in store.hosts
            assert "host-1" in simulation.gateways[0].roster.addresses
            assert simulation.stores_by_host["host-0"]._read_version == store.version

        run_model(check)
