"""Tests of leases and of what may be done under them."""

from __future__ import annotations

from fennelhill_bench.session_simulation.simulation import SessionSimulation
from fennelhill_bench.virtual_time import VirtualClock, run_virtual
from fennelhilld.leader_lease.state import LEASE_MS, LeaderLease
from fennelhilld.leadership.state import Fence


class TestLeaderLease:
    def test_lasts_from_the_time_of_its_proof(self):
        lease = LeaderLease(VirtualClock())
        lease.extend(100.0, "store")
        assert lease.valid_at(100.0 + LEASE_MS - 1.0)
        assert not lease.valid_at(100.0 + LEASE_MS)

    def test_an_older_proof_changes_nothing(self):
        lease = LeaderLease(VirtualClock())
        lease.extend(100.0, "store")
        lease.extend(50.0, "other")
        assert (lease.proven_ms, lease.source) == (100.0, "store")

    def test_is_invalid_before_the_first_proof(self):
        assert not LeaderLease(VirtualClock()).valid_at(0.0)


class TestLeaderAccess:
    def check(self, examine):
        async def main():
            simulation = SessionSimulation(1, hosts=2)
            gateway = simulation.gateways[0]
            await gateway.renewal.ensure(100.0)
            group = gateway.groups["g0"]
            await examine(gateway.env.access, group, simulation)
            simulation.close()

        run_virtual(main())

    def test_the_leader_may_be_used_under_a_lease(self):
        async def examine(access, group, simulation):
            assert access.may_send(group)
            assert access.covers(group, "g0-0", simulation.clock.boottime_ms())

        self.check(examine)

    def test_nothing_may_be_used_after_its_expiry(self):
        async def examine(access, group, simulation):
            access.lease.proven_ms = simulation.clock.boottime_ms() - LEASE_MS
            assert not access.may_send(group)
            assert not access.covers(group, "g0-0", simulation.clock.boottime_ms())

        self.check(examine)

    def test_a_claim_ends_sending_but_answers_count_until_the_lease_expires(self):
        async def examine(access, group, simulation):
            covered_until_ms = access.lease.expires_ms
            group.leadership.raise_fence(Fence(1, "g0-1", 1, covered_until_ms))
            assert not access.may_send(group)
            assert access.covers(group, "g0-0", covered_until_ms - 1.0)
            access.lease.extend(covered_until_ms, "a later proof")
            assert not access.covers(group, "g0-0", covered_until_ms)

        self.check(examine)

    def test_answers_of_another_target_do_not_count(self):
        async def examine(access, group, simulation):
            assert not access.covers(group, "g0-1", simulation.clock.boottime_ms())

        self.check(examine)
