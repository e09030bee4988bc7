"""Tests of the session core (`SessionGateway`) under faults.

The guarantees hold throughout, and the service recovers afterwards.
"""

from __future__ import annotations

import asyncio

import pytest
from fennelhill_bench.session_simulation.simulation import (
    OrdersModel,
    SessionSimulation,
)
from fennelhill_bench.session_simulation.targets import Traits
from fennelhill_bench.virtual_time import run_virtual
from fennelhill_core import codes
from fennelhill_core.codes import Outcome
from fennelhilld.catalog.state import ReadKind
from fennelhilld.leader_lease.state import CLOCK_MARGIN_MS, LEASE_MS, LeaderLease
from fennelhilld.leadership.state import Fence
from fennelhilld.promotion.claims import CLAIM_TAKEOVER_MS
from fennelhilld.promotion.messages import (
    Claim,
    ClaimPhase,
    ClaimRow,
    LeaderView,
    Survey,
)
from fennelhilld.promotion.reach import BALANCER_NOTICE_MS
from fennelhilld.promotion.replacement import PROMOTION_TIMEOUT_MS, LeaderReplacement
from fennelhilld.statements.environment import FAIL_FAST_AFTER_MS
from fennelhilld.statements.messages import TransactionState

LOAD_DURATION_MS = 4_000.0
CLIENTS = 24


def run_under_load(
    seed, fault=None, hosts=2, groups=1, traits=None, load_ms=LOAD_DURATION_MS
):
    """Run random clients during a fault; return the simulation and the violations."""

    async def main():
        simulation = SessionSimulation(seed, hosts, groups, traits)
        load = asyncio.ensure_future(simulation.run_clients(CLIENTS, load_ms))
        if fault is not None:
            await fault(simulation)
        await load
        violations = simulation.observer.check_final_logs(simulation.groups)
        simulation.close()
        return simulation, violations

    return run_virtual(main())


def served_share(simulation, from_ms=0.0):
    replies = [record for record in simulation.replies if record[0] >= from_ms]
    return sum(record[3].code is None for record in replies) / max(1, len(replies))


async def crash_primary(simulation):
    await simulation.clock.sleep_ms(800)
    model = simulation.groups["g0"]
    crashed = model.leader
    crashed.crash()
    await simulation.clock.sleep_ms(2_500)
    crashed.restart()


async def silent_primary(simulation):
    await simulation.clock.sleep_ms(800)
    simulation.groups["g0"].leader.silent = True


async def promotion_by_another(simulation):
    """A host that is not simulated replaces the leader, which still answers."""
    await simulation.clock.sleep_ms(700)
    model = simulation.groups["g0"]
    other = next(target for target in model.targets.values() if not target.leads)
    claim = Claim("outside", "nonce", other.id, previous_leader=model.leader.id)
    claim.previous_term = model.leader.term
    version = await simulation.store.swap_claim("g0", 0, claim)
    await simulation.clock.sleep_ms(LEASE_MS + CLOCK_MARGIN_MS)
    await model.promote(other.id)
    claim.phase = ClaimPhase.DONE
    claim.term = other.term
    await simulation.store.swap_claim("g0", version, claim)


async def lost_answers(simulation):
    await simulation.clock.sleep_ms(500)
    for target in simulation.groups["g0"].targets.values():
        target.answer_loss_probability = 0.03
    await simulation.clock.sleep_ms(2_000)
    for target in simulation.groups["g0"].targets.values():
        target.answer_loss_probability = 0.0


async def replicas_far_behind(simulation):
    await simulation.clock.sleep_ms(500)
    for target in simulation.groups["g0"].targets.values():
        target.traits.lag_ms *= 60


async def stalled_replica_and_crash(simulation):
    """The primary crashes while a replica receives no entries of the log."""
    await simulation.clock.sleep_ms(500)
    model = simulation.groups["g0"]
    replica = next(target for target in model.targets.values() if not target.leads)
    model.replication_stopped.add(replica.id)
    await simulation.clock.sleep_ms(500)
    model.leader.crash()
    await simulation.clock.sleep_ms(500)
    model.replication_stopped.clear()


async def planned_replacement(simulation):
    await simulation.clock.sleep_ms(800)
    model = simulation.groups["g0"]
    await simulation.announce_shutdown(model, model.leader.id)


async def store_loses_answers_and_crash(simulation):
    simulation.store.lose_answers = True
    await crash_primary(simulation)


async def store_down_during_crash(simulation):
    simulation.store.down = True
    await simulation.clock.sleep_ms(500)
    simulation.groups["g0"].leader.crash()
    await simulation.clock.sleep_ms(1_000)
    simulation.store.down = False


async def primary_alone_with_a_host(simulation):
    """One host and the primary are cut off from all others, and later come back."""
    await simulation.clock.sleep_ms(800)
    simulation.partition({"host-0"}, {simulation.groups["g0"].leader.id})
    await simulation.clock.sleep_ms(5_500)
    simulation.heal()


async def fleet_split_in_halves(simulation):
    """Half of the hosts are cut off with the primary, and later come back."""
    await simulation.clock.sleep_ms(800)
    hosts = [gateway.host for gateway in simulation.gateways]
    cut_off = set(hosts[: len(hosts) // 2])
    simulation.partition(cut_off, {simulation.groups["g0"].leader.id})
    await simulation.clock.sleep_ms(5_500)
    simulation.heal()


async def primary_cut_off_from_hosts(simulation):
    """The primary lives and reaches the replicas, but no host reaches it."""
    await simulation.clock.sleep_ms(800)
    leader_id = simulation.groups["g0"].leader.id
    for driver in simulation.drivers:
        driver.unreachable_targets = {leader_id}
        driver.silence_links()
    await simulation.clock.sleep_ms(3_000)
    simulation.heal()


async def store_down_during_promotion(simulation):
    """The store fails right after a claim was made."""
    await simulation.clock.sleep_ms(500)
    simulation.groups["g0"].leader.crash()
    while not simulation.store.rows:
        await simulation.clock.sleep_ms(1)
    simulation.store.down = True
    await simulation.clock.sleep_ms(2_500)
    simulation.store.down = False


async def store_down(simulation):
    await simulation.clock.sleep_ms(500)
    simulation.store.down = True
    await simulation.clock.sleep_ms(3_500)
    simulation.store.down = False


async def holder_stops_after_its_claim(simulation):
    """A host that is not simulated claims the group and does nothing more."""
    await simulation.clock.sleep_ms(700)
    model = simulation.groups["g0"]
    other = next(target for target in model.targets.values() if not target.leads)
    claim = Claim("outside", "nonce", other.id, previous_leader=model.leader.id)
    claim.previous_term = model.leader.term
    await simulation.store.swap_claim("g0", 0, claim)


async def late_order_after_an_abandoned_claim(simulation):
    """An order is carried out after another host has abandoned the next claim.

    The first claim is of a host that is not simulated.  Another host takes the group
    over, but no replica receives what the leaving leader has.
    """
    await simulation.clock.sleep_ms(700)
    model = simulation.groups["g0"]
    other = next(target for target in model.targets.values() if not target.leads)
    model.replication_stopped.update(model.targets)
    claim = Claim("outside", "nonce", other.id, planned=True)
    claim.previous_leader = model.leader.id
    claim.previous_term = model.leader.term
    await simulation.store.swap_claim("g0", 0, claim)
    await simulation.announce_shutdown(model, model.leader.id)
    await simulation.clock.sleep_ms(CLAIM_TAKEOVER_MS + 2_000)
    await model.promote(other.id)
    model.replication_stopped.clear()


async def until(simulation, condition, limit_ms=5_000.0):
    """Wait until a condition holds; raises `TimeoutError`."""
    deadline_ms = simulation.clock.now_ms() + limit_ms
    while not condition():
        if simulation.clock.now_ms() > deadline_ms:
            raise TimeoutError("the condition did not hold in time")
        await simulation.clock.sleep_ms(1)


async def return_between_claim_and_order(simulation):
    """The store loses a claim while its holder waits for a lease to expire."""
    started_ms = simulation.clock.now_ms()
    await simulation.clock.sleep_ms(800)
    simulation.partition({"host-0"}, {simulation.groups["g0"].leader.id})
    await until(simulation, lambda: simulation.store.rows)
    await simulation.store.drill(50.0, simulation.clock.now_ms() - started_ms)
    await simulation.clock.sleep_ms(4_000)
    simulation.heal()


async def return_between_order_and_done(simulation):
    """The store loses the claim of an order that is carried out just then."""
    started_ms = simulation.clock.now_ms()
    await simulation.clock.sleep_ms(800)
    crashed = simulation.groups["g0"].leader
    crashed.crash()
    await until(simulation, lambda: simulation.groups["g0"].promotions)
    await simulation.store.drill(20.0, simulation.clock.now_ms() - started_ms)
    await simulation.clock.sleep_ms(2_000)
    crashed.restart()


async def return_before_another_crash(simulation):
    """The store loses a finished promotion, and the new primary crashes too."""
    started_ms = simulation.clock.now_ms()
    await crash_primary(simulation)
    await simulation.store.drill(300.0, simulation.clock.now_ms() - started_ms)
    await simulation.clock.sleep_ms(1_000)
    simulation.groups["g0"].leader.crash()


async def two_returns_in_a_row(simulation):
    started_ms = simulation.clock.now_ms()
    await simulation.clock.sleep_ms(800)
    crashed = simulation.groups["g0"].leader
    crashed.crash()
    await until(simulation, lambda: simulation.store.rows)
    for _ in range(2):
        age_ms = simulation.clock.now_ms() - started_ms
        await simulation.store.drill(100.0, age_ms)
        await simulation.clock.sleep_ms(200)
    await simulation.clock.sleep_ms(2_000)
    crashed.restart()


async def return_with_claims_on_the_way(simulation):
    """Claims that got no answer are carried out in the new era."""
    await simulation.clock.sleep_ms(800)
    simulation.groups["g0"].leader.crash()
    await simulation.store.drill(700.0, 500.0, keeps_calls=True)


async def return_that_one_host_learns_of_late(simulation):
    """The feed of one host is silent for a while after the return."""
    started_ms = simulation.clock.now_ms()
    await simulation.clock.sleep_ms(800)
    crashed = simulation.groups["g0"].leader
    crashed.crash()
    await until(simulation, lambda: simulation.groups["g0"].promotions)
    age_ms = simulation.clock.now_ms() - started_ms
    await simulation.store.drill(50.0, age_ms, feed_delays_ms={"host-1": 1_500.0})
    await simulation.clock.sleep_ms(1_000)
    crashed.restart()


async def return_to_the_side_of_the_old_primary(simulation):
    """A cut-off host with the old primary is the first that reaches the store again.

    The store has lost the claim by which the primary was replaced meanwhile.
    """
    started_ms = simulation.clock.now_ms()
    await simulation.clock.sleep_ms(800)
    simulation.partition({"host-0"}, {simulation.groups["g0"].leader.id})
    await until(simulation, lambda: simulation.groups["g0"].promotions)
    await simulation.clock.sleep_ms(500)
    simulation.store.go_away()
    await simulation.clock.sleep_ms(50)
    others = {gateway.host for gateway in simulation.gateways} - {"host-0"}
    simulation.hosts_without_store = others
    simulation.store.come_back(simulation.clock.now_ms() - started_ms)
    await simulation.clock.sleep_ms(2_500)
    simulation.heal()


RETURNS = [
    return_between_claim_and_order,
    return_between_order_and_done,
    return_before_another_crash,
    two_returns_in_a_row,
    return_with_claims_on_the_way,
    return_that_one_host_learns_of_late,
    return_to_the_side_of_the_old_primary,
]

FAULTS = [
    None,
    crash_primary,
    silent_primary,
    promotion_by_another,
    lost_answers,
    replicas_far_behind,
    stalled_replica_and_crash,
    planned_replacement,
    store_loses_answers_and_crash,
    store_down_during_crash,
    store_down_during_promotion,
    store_down,
    primary_alone_with_a_host,
    fleet_split_in_halves,
    primary_cut_off_from_hosts,
]


def fault_name(fault):
    return fault.__name__ if fault else "no_fault"


class TestGuarantees:
    @pytest.mark.parametrize("seed", [1, 2, 3])
    @pytest.mark.parametrize("fault", FAULTS, ids=fault_name)
    def test_hold_under(self, fault, seed):
        simulation, violations = run_under_load(seed, fault)
        assert violations == []
        assert simulation.observer.reads > 100

    @pytest.mark.parametrize("seed", [4, 5])
    @pytest.mark.parametrize("fault", FAULTS, ids=fault_name)
    def test_hold_if_a_replaced_leader_goes_on(self, fault, seed):
        traits = Traits(old_leader_goes_on=True)
        simulation, violations = run_under_load(
            seed, fault, hosts=4, traits=traits, load_ms=8_000.0
        )
        assert violations == []
        assert simulation.observer.reads > 100

    @pytest.mark.parametrize("seed", [1, 2])
    def test_hold_with_scarce_connections(self, seed):
        traits = Traits(max_connections=3, queue=2)
        _, violations = run_under_load(seed, crash_primary, hosts=3, traits=traits)
        assert violations == []


class TestReturnOfTheStore:
    """The store comes back from an older copy, in a new era."""

    @pytest.mark.parametrize("seed", [4, 5])
    @pytest.mark.parametrize("fault", RETURNS, ids=fault_name)
    def test_keeps_the_guarantees_and_the_tokens_in_order(self, fault, seed):
        traits = Traits(old_leader_goes_on=True)
        simulation, violations = run_under_load(
            seed, fault, hosts=4, traits=traits, load_ms=8_000.0
        )
        assert violations == []
        calls = simulation.orders.calls
        tokens = [token for *_, token in calls]
        assert tokens == sorted(tokens)
        claims = {(holder, target, token) for _, target, holder, token in calls}
        assert len(claims) == len({token for *_, token in claims})

    @pytest.mark.parametrize("seed", [4, 5])
    @pytest.mark.parametrize("fault", RETURNS, ids=fault_name)
    def test_is_followed_by_answered_writes(self, fault, seed):
        simulation, _ = run_under_load(seed, fault, hosts=4, load_ms=8_000.0)
        # In the last second after a partition, 0.86 are served without a return too.
        assert served_share(simulation, from_ms=7_000.0) > 0.7

    def test_a_second_promotion_gets_a_higher_token(self):
        async def main():
            simulation = SessionSimulation(1, hosts=3)
            model = simulation.groups["g0"]
            client = simulation.client(
                simulation.gateways[0], simulation.database(ReadKind.CURRENT)
            )
            await client.write()
            started_ms = simulation.clock.now_ms()
            await simulation.announce_shutdown(model, model.leader.id)
            await until(simulation, lambda: len(model.promotions) == 1)
            await simulation.clock.sleep_ms(1_000)
            await simulation.store.drill(100.0, simulation.clock.now_ms() - started_ms)
            await simulation.clock.sleep_ms(1_000)
            await simulation.announce_shutdown(model, model.leader.id)
            await until(simulation, lambda: len(simulation.orders.calls) > 1)
            first, *_, last = [token for *_, token in simulation.orders.calls]
            assert last > first
            await until(simulation, lambda: len(model.promotions) == 2)
            simulation.close()

        run_virtual(main())

    def test_a_promotion_that_was_carried_out_is_written_again(self):
        async def main():
            simulation = SessionSimulation(1, hosts=3)
            model, store = simulation.groups["g0"], simulation.store
            client = simulation.client(
                simulation.gateways[0], simulation.database(ReadKind.CURRENT)
            )
            await client.write()
            await simulation.announce_shutdown(model, model.leader.id)
            await until(simulation, lambda: len(model.promotions) == 1)
            await simulation.clock.sleep_ms(1_000)
            await store.drill(100.0, simulation.clock.now_ms())
            assert store.rows == {}
            await until(simulation, lambda: "g0" in store.rows, 2_000.0)
            claim = store.rows["g0"].claim
            assert (claim.phase, claim.target) == (ClaimPhase.DONE, model.leader.id)
            simulation.close()

        run_virtual(main())

    @pytest.mark.parametrize("seed", [4, 5])
    def test_nothing_is_ordered_under_a_claim_that_is_lost(self, seed, monkeypatch):
        unclaimed = []
        send_order = OrdersModel.promote

        async def record_and_send(orders, group, target_id, holder, *arguments):
            row = orders._simulation.store.rows.get(group, ClaimRow())
            claim = row.claim
            if claim is None or (claim.holder, claim.target) != (holder, target_id):
                unclaimed.append((group, target_id, holder, *arguments[:1]))
            return await send_order(orders, group, target_id, holder, *arguments)

        monkeypatch.setattr(OrdersModel, "promote", record_and_send)
        simulation, _ = run_under_load(
            seed, return_between_claim_and_order, hosts=4, load_ms=8_000.0
        )
        assert simulation.orders.calls
        assert unclaimed == []

    @pytest.mark.parametrize("lost", [False, True], ids=["kept", "lost"])
    def test_a_store_that_lacks_a_claim_proves_no_lease(self, lost):
        async def main():
            traits = Traits(old_leader_goes_on=True)
            simulation = SessionSimulation(1, hosts=3, traits=traits)
            client = simulation.client(
                simulation.gateways[0], simulation.database(ReadKind.CURRENT)
            )
            await client.read()
            await simulation.clock.sleep_ms(1_000)
            started_ms = simulation.clock.now_ms()
            old_leader = simulation.groups["g0"].leader
            simulation.partition({"host-0"}, {old_leader.id})
            promotion = simulation.spawn(promotion_by_another(simulation))
            # A lease is renewed only while it is used.
            while (await client.read()).code is None:
                await simulation.clock.sleep_ms(20)
            await promotion
            if lost:
                simulation.store.come_back(simulation.clock.now_ms() - started_ms)
            # Only the cut-off host reaches the store, and it reaches no other host.
            simulation.hosts_without_store = {"host-1", "host-2"}
            for _ in range(30):
                await simulation.clock.sleep_ms(100)
                reply = await client.write()
                assert reply.code is not None, "acknowledged by a replaced primary"
            if not lost:
                # It was proven by the store, whose claim forbids the old primary.
                assert simulation.gateways[0].renewal.lease.source == "store"
            simulation.close()

        run_virtual(main())


class TestWithoutLeases:
    """Shows that the checks notice what leases prevent."""

    def test_a_cut_off_host_acknowledges_writes_of_a_replaced_leader(self, monkeypatch):
        monkeypatch.setattr(LeaderLease, "valid_at", lambda *_: True)
        found = []
        for seed in (4, 5):
            traits = Traits(old_leader_goes_on=True)
            _, violations = run_under_load(
                seed, primary_alone_with_a_host, hosts=4, traits=traits, load_ms=8_000.0
            )
            found += violations
        assert "acknowledged by a replaced leader" in " ".join(found)
        assert "stale read" in " ".join(found)


class TestUnfinishedClaim:
    @pytest.mark.parametrize(("seed", "goes_on"), [(1, False), (2, True)])
    def test_of_a_stopped_host_leaves_no_group_unserved(self, seed, goes_on):
        traits = Traits(old_leader_goes_on=goes_on)
        fault = holder_stops_after_its_claim
        simulation, violations = run_under_load(
            seed, fault, hosts=4, traits=traits, load_ms=10_000.0
        )
        assert violations == []
        finish_limit_ms = CLAIM_TAKEOVER_MS + PROMOTION_TIMEOUT_MS
        assert served_share(simulation, from_ms=700 + finish_limit_ms) > 0.95
        model = simulation.groups["g0"]
        kept = {entry.position for entry in model.leader.log}
        assert kept.issuperset(p for _, p in simulation.observer.acknowledged["g0"])

    def test_is_finished_though_its_row_can_not_be_decoded_any_more(self):
        async def fault(simulation):
            await holder_stops_after_its_claim(simulation)
            await simulation.clock.sleep_ms(100)
            simulation.store.version += 1
            row = simulation.store.rows["g0"] = ClaimRow(simulation.store.version)
            for gateway in simulation.gateways:
                gateway.update_claim("g0", row)

        simulation, violations = run_under_load(1, fault, hosts=4, load_ms=10_000.0)
        assert violations == []
        finish_limit_ms = CLAIM_TAKEOVER_MS + PROMOTION_TIMEOUT_MS
        assert served_share(simulation, from_ms=700 + finish_limit_ms) > 0.95

    @pytest.mark.parametrize(
        ("open_before", "phase"), [(True, "claimed"), (False, "abandoned")]
    )
    def test_stays_open_if_too_few_hosts_answer_the_next_holder(
        self, open_before, phase, monkeypatch
    ):
        async def too_few_hosts(self, group, claim, token):
            return False

        monkeypatch.setattr(LeaderReplacement, "_fence", too_few_hosts)

        async def fault(simulation):
            if open_before:
                await holder_stops_after_its_claim(simulation)
            simulation.groups["g0"].leader.crash()

        simulation, violations = run_under_load(
            1, fault, hosts=4, load_ms=CLAIM_TAKEOVER_MS + 3_000.0
        )
        assert violations == []
        claim = simulation.store.rows["g0"].claim
        assert claim.holder != "outside"
        assert claim.phase.value == phase
        assert simulation.orders.calls == []

    @pytest.mark.parametrize(("term", "cut_off"), [(9, False), (1, True)])
    def test_is_left_to_the_hosts_that_know_better(self, term, cut_off):
        async def main():
            simulation = SessionSimulation(1, hosts=4)
            await holder_stops_after_its_claim(simulation)
            await simulation.clock.sleep_ms(100)
            gateway = simulation.gateways[0]
            gateway.replacement.reach.cut_off = cut_off
            group = gateway.env.group("g0")
            survey = Survey(3, [LeaderView("g0-1", term, False, "host-1")])
            finishes = gateway.replacement._must_finish_claim(group, survey)
            simulation.close()
            return finishes

        assert not run_virtual(main())

    @pytest.mark.parametrize("blind", [0, 1, 2, 3])
    def test_is_finished_though_one_host_cannot_reach_the_leader(self, blind):
        async def fault(simulation):
            await holder_stops_after_its_claim(simulation)
            leader_id = simulation.groups["g0"].leader.id
            simulation.drivers[blind].unreachable_targets = {leader_id}
            simulation.drivers[blind].silence_links()

        simulation, violations = run_under_load(1, fault, hosts=4, load_ms=12_000.0)
        assert violations == []
        finish_limit_ms = CLAIM_TAKEOVER_MS + 2 * PROMOTION_TIMEOUT_MS
        assert served_share(simulation, from_ms=700 + finish_limit_ms) > 0.95
        assert len(simulation.groups["g0"].promotions) == 1


class TestHostThatLostItsLeader:
    """Another target leads; this host gets no connection to it, the others do."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_replaces_no_leader_that_other_hosts_use(self, seed):
        async def fault(simulation):
            await simulation.clock.sleep_ms(700)
            model = simulation.groups["g0"]
            other = next(
                target for target in model.targets.values() if not target.leads
            )
            driver = simulation.drivers[0]
            driver.unreachable_targets = {other.id}
            driver.silence_links()
            # An order of an earlier holder, which no claim announces any more.
            await model.promote(other.id)

        simulation, violations = run_under_load(seed, fault, hosts=4)
        assert violations == []
        assert simulation.orders.calls == []
        assert simulation.gateways[0].env.group("g0").leadership.term == 2

    def test_replaces_no_leader_that_its_list_of_targets_lacks(self):
        async def fault(simulation):
            await simulation.clock.sleep_ms(700)
            group = simulation.gateways[0].env.group("g0")
            del group.targets[simulation.groups["g0"].leader.id]

        simulation, violations = run_under_load(1, fault, hosts=4)
        assert violations == []
        assert simulation.orders.calls == []


async def abandoned_claim_after_a_missed_replacement(simulation):
    """One host sees neither a replacement nor that its leader leads no more.

    The next thing that it learns is that a later claim was abandoned.
    """
    await simulation.clock.sleep_ms(800)
    model = simulation.groups["g0"]
    old = model.leader
    simulation.partition({"host-0"}, {old.id})
    await simulation.clock.sleep_ms(4_000)
    new = model.leader
    third = next(
        target.id for target in model.targets.values() if target not in (old, new)
    )
    claim = Claim("outside", "nonce", third, planned=True, previous_leader=new.id)
    claim.previous_term = claim.previous_leader_term = new.term
    row = simulation.store.rows["g0"]
    version = await simulation.store.swap_claim("g0", row.version, claim)
    await simulation.clock.sleep_ms(600)
    claim.phase = ClaimPhase.ABANDONED
    await simulation.store.swap_claim("g0", version, claim)
    await simulation.clock.sleep_ms(100)
    # The old leader still reaches no other target.
    simulation.isolated_hosts = simulation.hosts_without_store = set()
    simulation.drivers[0].unreachable_targets = set()


async def former_leader_is_promoted_again(simulation):
    """A replaced leader that still reports that it leads is the only one left."""
    await simulation.clock.sleep_ms(800)
    model = simulation.groups["g0"]
    former = model.leader
    simulation.partition(set(), {former.id})
    while model.leader is former:
        await simulation.clock.sleep_ms(20)
    await simulation.clock.sleep_ms(1_500)
    new = model.leader
    third = next(
        target for target in model.targets.values() if target not in (former, new)
    )
    third.crash()
    await simulation.clock.sleep_ms(800)
    for driver in simulation.drivers:
        driver.unreachable_targets = set()
    assert former.leads
    new.crash()


class TestFinishedClaim:
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_names_no_target_that_leads_in_an_older_term(self, seed):
        traits = Traits(old_leader_goes_on=True)
        fault = former_leader_is_promoted_again
        simulation, violations = run_under_load(
            seed, fault, 4, traits=traits, load_ms=9_000.0
        )
        assert violations == []
        claim = simulation.store.rows["g0"].claim
        assert (claim.phase, claim.term) == (ClaimPhase.DONE, 3)


class TestAbandonedClaim:
    """A claim that was abandoned gives no leader back that was replaced before."""

    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_tells_a_host_that_missed_a_replacement_who_leads(self, seed):
        traits = Traits(old_leader_goes_on=True)
        fault = abandoned_claim_after_a_missed_replacement
        simulation, violations = run_under_load(
            seed, fault, 4, traits=traits, load_ms=9_000.0
        )
        assert violations == []
        leaders = {
            gateway.env.group("g0").leadership.leader_id
            for gateway in simulation.gateways
        }
        assert leaders == {simulation.groups["g0"].leader.id}

    @pytest.mark.parametrize(("seed", "goes_on"), [(5, False), (1, True), (2, True)])
    def test_gives_no_leader_back_that_a_late_order_replaces(self, seed, goes_on):
        traits = Traits(old_leader_goes_on=goes_on)
        fault = late_order_after_an_abandoned_claim
        _, violations = run_under_load(seed, fault, 6, traits=traits, load_ms=9_000.0)
        assert violations == []


class TestManyHosts:
    @pytest.mark.parametrize("fault", [None, crash_primary, promotion_by_another])
    @pytest.mark.parametrize("seed", [3, 4])
    def test_twelve_hosts_keep_the_guarantees(self, fault, seed):
        _, violations = run_under_load(seed, fault, hosts=12)
        assert violations == []

    @pytest.mark.parametrize("seed", [5, 6])
    def test_read_from_replicas_nearly_as_often_as_few_hosts(self, seed):
        # Each of many hosts seldom exchanges messages with the leader.
        shares = []
        for hosts in (2, 24):
            traits = Traits(service_ms=4.0)
            simulation, violations = run_under_load(
                seed, hosts=hosts, traits=traits, load_ms=8_000.0
            )
            counters = [gateway.env.counters for gateway in simulation.gateways]
            permitted = sum(host_counters.permitted_reads for host_counters in counters)
            shares.append(
                sum(host_counters.replica_reads for host_counters in counters)
                / permitted
            )
            assert violations == []
        few, many = shares
        assert many >= 0.9 * few


class TestWithoutFaults:
    def test_serves_every_request_with_a_p99_under_200_ms(self):
        simulation, _ = run_under_load(4, hosts=2, groups=2)
        assert served_share(simulation) == 1.0
        latencies_ms = sorted(record[1] - record[0] for record in simulation.replies)
        assert latencies_ms[int(0.99 * len(latencies_ms))] < 200.0

    def test_reads_that_may_be_old_go_to_replicas(self):
        simulation, _ = run_under_load(5)
        counters = [gateway.env.counters for gateway in simulation.gateways]
        replica = sum(host_counters.replica_reads for host_counters in counters)
        refused = sum(host_counters.replica_refusals for host_counters in counters)
        assert refused < 0.05 * replica


class TestFailover:
    def test_writes_are_served_again_soon_after_a_crash(self):
        simulation, _ = run_under_load(6, crash_primary)
        writes = [
            start_ms
            for start_ms, _, _, reply in simulation.replies
            if reply.code is None and start_ms > 800 and reply.position.term > 1
        ]
        assert min(writes) < 800 + 2_500

    def test_a_crash_promotes_one_target_and_no_two_hosts_share_a_token(self):
        simulation, _ = run_under_load(7, crash_primary, hosts=4)
        promotions = simulation.groups["g0"].promotions
        assert len({target for target, _ in promotions}) == 1
        calls = [(holder, token) for _, _, holder, token in simulation.orders.calls]
        assert len({token for _, token in calls}) == len(set(calls))

    def test_planned_replacement_loses_nothing_and_fails_no_request(self):
        simulation, violations = run_under_load(8, planned_replacement)
        assert violations == []
        assert len(simulation.groups["g0"].promotions) == 1
        assert served_share(simulation) > 0.99

    def test_planned_replacement_holds_writes_until_a_replica_has_all(self):
        async def main():
            simulation = SessionSimulation(2, hosts=2, traits=Traits(network_ms=25.0))
            model = simulation.groups["g0"]
            served = []

            async def keep_writing(gateway):
                client = simulation.client(
                    gateway, simulation.database(ReadKind.CURRENT)
                )
                while simulation.clock.now_ms() < 4_000:
                    if (await client.write()).code is None:
                        served.append(client.last_request_id)

            writers = [
                keep_writing(gateway)
                for gateway in simulation.gateways
                for _ in range(4)
            ]
            work = asyncio.gather(*writers)
            await simulation.clock.sleep_ms(800)
            await simulation.announce_shutdown(model, model.leader.id)
            await work
            assert len(model.promotions) == 1
            held = {request for entry in model.leader.log for request in entry.requests}
            assert set(served) <= held
            simulation.close()

        run_virtual(main())

    def test_a_host_that_alone_is_cut_off_promotes_no_target(self):
        async def cut_one_host(simulation):
            await simulation.clock.sleep_ms(500)
            leader = simulation.groups["g0"].leader
            simulation.drivers[0].unreachable_targets.add(leader.id)
            for link in list(leader.links):
                if link.number % 3 == 0:
                    link.cut()

        simulation, violations = run_under_load(9, cut_one_host, hosts=3)
        assert violations == []
        assert simulation.groups["g0"].promotions == []


class TestStartOfAFleet:
    def test_every_host_gets_a_link_before_some_get_several(self):
        async def main():
            traits = Traits(max_connections=4, set_up_ms=12.0)
            simulation = SessionSimulation(1, hosts=4, traits=traits)
            clients = [
                simulation.client(gateway, simulation.database(ReadKind.CURRENT))
                for gateway in simulation.gateways
                for _ in range(6)
            ]
            replies = await asyncio.gather(*(client.write() for client in clients))
            assert [reply.code for reply in replies] == [None] * len(clients)
            simulation.close()

        run_virtual(main())


class TestLeaderThatCannotBeReplaced:
    def test_makes_writes_fail_at_once_until_the_store_is_back(self):
        async def main():
            simulation = SessionSimulation(1, hosts=2)
            client = simulation.client(
                simulation.gateways[0], simulation.database(ReadKind.CURRENT)
            )
            await client.write()
            simulation.store.down = True
            simulation.groups["g0"].leader.crash()
            started_ms = simulation.clock.now_ms()
            while simulation.clock.now_ms() - started_ms < FAIL_FAST_AFTER_MS:
                assert (await client.write()).code is codes.NO_PRIMARY
            started_ms = simulation.clock.now_ms()
            reply = await client.write()
            assert reply.code is codes.NO_PRIMARY
            assert simulation.clock.now_ms() - started_ms < 10
            simulation.store.down = False
            await simulation.clock.sleep_ms(1_500)
            assert (await client.write()).code is None
            simulation.close()

        run_virtual(main())

    def test_requests_wait_for_a_group_that_has_just_lost_its_leader(self):
        async def main():
            simulation = SessionSimulation(1, hosts=1)
            client = simulation.client(
                simulation.gateways[0], simulation.database(ReadKind.CURRENT)
            )
            await simulation.clock.sleep_ms(20_000)
            await client.write()
            simulation.store.down = True
            model = simulation.groups["g0"]
            other = next(
                target for target in model.targets.values() if not target.leads
            )
            model.leader.leads = False
            await simulation.clock.sleep_ms(10)
            started_ms = simulation.clock.now_ms()
            assert (await client.write()).code is codes.NO_PRIMARY
            assert (await client.write()).code is codes.NO_PRIMARY
            assert simulation.clock.now_ms() - started_ms > 1_000
            await model.promote(other.id)
            await simulation.clock.sleep_ms(500)
            assert (await client.write()).code is None
            simulation.close()

        run_virtual(main())


class TestHalfOfTheHosts:
    def test_that_can_replace_no_leader_do_not_stop_the_others_from_using_it(self):
        usable = []

        async def fault(simulation):
            await simulation.clock.sleep_ms(800)
            model = simulation.groups["g0"]
            simulation.partition({"host-0", "host-1"}, {model.leader.id})
            simulation.hosts_without_store = set()
            for _ in range(60):
                await simulation.clock.sleep_ms(100)
                env = simulation.gateways[0].env
                usable.append(env.access.may_send(env.group("g0")))

        simulation, violations = run_under_load(1, fault, hosts=4, load_ms=6_900.0)
        assert violations == []
        assert simulation.store.rows == {}
        assert all(usable)


class TestCutOffHost:
    def cut(self, simulation, number):
        """Isolate a host from its peers and from all targets but one replica."""
        group = simulation.groups["g0"]
        simulation.drivers[number].unreachable_targets |= {
            name for name, target in group.targets.items() if not name.endswith("2")
        }
        simulation.isolated_hosts.add(simulation.gateways[number].host)
        for target in group.targets.values():
            for link in list(target.links):
                if link.driver is simulation.drivers[number]:
                    link.silent = True

    def test_reports_not_ready_and_refuses_at_once_until_it_is_back(self):
        async def main():
            simulation = SessionSimulation(1, hosts=3)
            gateway = simulation.gateways[0]
            client = simulation.client(gateway, simulation.database(ReadKind.CURRENT))
            await client.read()
            self.cut(simulation, 0)
            await client.write()
            await simulation.clock.sleep_ms(500)
            assert not gateway.ready
            assert simulation.gateways[1].ready
            started_ms = simulation.clock.now_ms()
            reply = await client.write()
            assert reply.code is codes.OWNER_UNREACHABLE
            assert simulation.clock.now_ms() - started_ms < 10
            simulation.isolated_hosts.clear()
            simulation.drivers[0].unreachable_targets.clear()
            await simulation.clock.sleep_ms(1_500)
            assert gateway.ready
            assert (await client.write()).code is None
            assert simulation.groups["g0"].promotions == []
            simulation.close()

        run_virtual(main())

    @pytest.mark.parametrize("sleep_ms", [0.0, 1_000.0])
    def test_hints_of_a_zone_alone_are_never_0_while_its_clients_come_back(
        self, sleep_ms
    ):
        """Guards against clients whose further tries reach the same zone."""

        async def main():
            simulation = SessionSimulation(1, hosts=6, zones=3)
            hosts = {gateway.host for gateway in simulation.gateways[::3]}
            gateway = simulation.gateways[0]
            client = simulation.client(gateway, simulation.database(ReadKind.CURRENT))
            await client.read()
            simulation.partition(hosts, set())
            while not gateway.replacement.reach.cut_off:
                await client.write()
            await simulation.clock.sleep_ms(sleep_ms)
            reply = await client.write()
            assert reply.code.outcome is Outcome.NOT_RUN
            hint_ms = float(reply.detail.rpartition("try again in ")[2].split()[0])
            left_ms = BALANCER_NOTICE_MS - gateway.replacement.reach.cut_off_for_ms()
            assert hint_ms == pytest.approx(left_ms, abs=50.0)
            simulation.close()

        run_virtual(main())

    def test_serves_again_after_a_cut_without_requests(self):
        async def main():
            simulation = SessionSimulation(1, hosts=3)
            gateway = simulation.gateways[0]
            client = simulation.client(gateway, simulation.database(ReadKind.CURRENT))
            await client.write()
            simulation.partition({"host-0"}, set())
            await simulation.clock.sleep_ms(5_000)
            simulation.heal()
            for _ in range(40):
                await simulation.clock.sleep_ms(100)
                reply = await client.write()
            assert reply.code is None
            simulation.close()

        run_virtual(main())

    def test_promotes_no_target_even_if_the_store_serves_it(self):
        # The store accepts the host's claims; only its own check of the other hosts
        # prevents a promotion.
        async def main():
            simulation = SessionSimulation(1, hosts=5)
            client = simulation.client(
                simulation.gateways[0], simulation.database(ReadKind.CURRENT)
            )
            await client.read()
            simulation.isolated_hosts |= {"host-0", "host-1"}
            leader = simulation.groups["g0"].leader
            for number in (0, 1):
                simulation.drivers[number].unreachable_targets.add(leader.id)
            for link in list(leader.links):
                if link.driver in simulation.drivers[:2]:
                    link.silent = True
            for _ in range(4):
                await client.write()
            assert not simulation.gateways[0].ready
            assert simulation.groups["g0"].promotions == []
            simulation.close()

        run_virtual(main())

    def test_promotes_no_target_after_its_leader_was_replaced_on_the_other_side(self):
        async def main():
            simulation = SessionSimulation(1, hosts=5)
            client = simulation.client(
                simulation.gateways[0], simulation.database(ReadKind.CURRENT)
            )
            await client.read()
            simulation.isolated_hosts |= {"host-0", "host-1"}
            for number in (0, 1):
                simulation.drivers[number].unreachable_targets.add("g0-1")
            await simulation.groups["g0"].promote("g0-1")
            for _ in range(6):
                await client.write()
            assert simulation.groups["g0"].promotions == []
            assert not simulation.gateways[0].ready
            simulation.close()

        run_virtual(main())

    def test_promotes_no_target_though_the_platform_has_lost_the_leader_too(self):
        # Incident trouble-3 of Johannesburg: a partition with one host and the platform
        # on one side, the leader and all other hosts on the other.
        async def main():
            simulation = SessionSimulation(1, hosts=5)
            client = simulation.client(
                simulation.gateways[0], simulation.database(ReadKind.CURRENT)
            )
            await client.read()
            simulation.isolated_hosts.add("host-0")
            leader = simulation.groups["g0"].leader
            simulation.drivers[0].unreachable_targets.add(leader.id)
            for link in list(leader.links):
                if link.driver is simulation.drivers[0]:
                    link.silent = True
            simulation.gateways[0].remove_target(leader.id)
            for _ in range(4):
                await client.write()
            assert simulation.groups["g0"].promotions == []
            simulation.close()

        run_virtual(main())


class TestLostAnswers:
    def test_replace_only_the_link_while_the_target_answers_others(self):
        async def main():
            simulation = SessionSimulation(3, hosts=1)
            load = asyncio.ensure_future(simulation.run_clients(12, 3_000.0))
            await simulation.clock.sleep_ms(500)
            simulation.groups["g0"].leader.answer_loss_probability = 0.1
            await load
            gateway = simulation.gateways[0]
            pool = gateway.groups["g0"].leader().pool
            # One set-up for each lost link, and a few for probes of the leader.
            assert pool.counters.opened <= pool.counters.lost + 8
            assert simulation.groups["g0"].promotions == []
            assert simulation.observer.check_final_logs(simulation.groups) == []
            simulation.close()

        run_virtual(main())


class TestUnknownOutcome:
    def test_a_write_whose_answer_is_lost_is_in_doubt_and_not_sent_again(self):
        async def main():
            simulation = SessionSimulation(1, hosts=1)
            client = simulation.client(
                simulation.gateways[0], simulation.database(ReadKind.CURRENT)
            )
            assert (await client.write()).code is None
            simulation.groups["g0"].leader.answer_loss_probability = 1.0
            reply = await client.write()
            assert reply.code is codes.CONNECTION_LOST
            request = f"q{simulation._request_count}"
            assert len(simulation.observer.runs[request]) == 1
            simulation.close()

        run_virtual(main())

    def test_is_avoided_for_a_write_that_has_hardly_any_time_left(self):
        # During a planned switchover at Johannesburg held writes were sent with 4 and
        # 24 ms left before their deadlines, too late for their answers.
        async def main():
            simulation = SessionSimulation(1, hosts=1, traits=Traits(service_ms=250.0))
            client = simulation.client(
                simulation.gateways[0], simulation.database(ReadKind.CURRENT)
            )
            await client.read()
            leadership = simulation.gateways[0].groups["g0"].leadership
            leadership.raise_fence(Fence(1, "g0-1", 1, float("-inf")))
            asyncio.get_running_loop().call_later(0.70, leadership.lift_fence)
            reply = await client.write()
            assert reply.code is codes.OVERLOADED
            assert client.last_request_id not in simulation.observer.runs
            simulation.close()

        run_virtual(main())

    def test_reads_then_go_to_the_leader_until_it_has_answered(self):
        async def main():
            simulation = SessionSimulation(1, hosts=1)
            database = simulation.database(ReadKind.OWN_WRITES)
            client = simulation.client(simulation.gateways[0], database)
            await client.write()
            leader = simulation.groups["g0"].leader
            leader.answer_loss_probability = 1.0
            await client.write()
            leader.answer_loss_probability = 0.0
            await client.read()
            assert (
                simulation.observer.runs[f"q{simulation._request_count}"][-1].target
                == leader.id
            )
            simulation.close()

        run_virtual(main())


class TestTransactions:
    def test_idle_for_too_long_are_aborted_and_the_link_is_freed(self):
        async def main():
            simulation = SessionSimulation(1, hosts=1)
            client = simulation.client(
                simulation.gateways[0], simulation.database(ReadKind.CURRENT)
            )
            await client.begin()
            await client.write()
            client.session.abort("idle for too long")
            reply = await client.read()
            assert reply.code is codes.TRANSACTION_ABORTED
            assert reply.state is TransactionState.FAILED
            assert (await client.rollback()).code is None
            assert (await client.read()).code is None
            simulation.close()

        run_virtual(main())

    def test_are_aborted_if_the_link_is_lost_before_the_commit(self):
        async def main():
            simulation = SessionSimulation(1, hosts=1)
            client = simulation.client(
                simulation.gateways[0], simulation.database(ReadKind.CURRENT)
            )
            await client.begin()
            await client.write()
            for link in list(simulation.groups["g0"].leader.links):
                link.cut()
            reply = await client.commit()
            assert reply.code in (codes.TRANSACTION_ABORTED, codes.CONNECTION_LOST)
            assert simulation.groups["g0"].leader.log == []
            simulation.close()

        run_virtual(main())

    def test_that_could_hardly_be_committed_in_time_are_aborted(self):
        # A commit that was refused as busy used to be retried however little time was
        # left, so its answer came after the deadline.
        async def main():
            simulation = SessionSimulation(1, hosts=1, traits=Traits(service_ms=100.0))
            client = simulation.client(
                simulation.gateways[0], simulation.database(ReadKind.CURRENT)
            )
            await client.begin()
            await client.write()
            traits = simulation.groups["g0"].leader.traits
            traits.queue = 0
            commit = asyncio.ensure_future(client.commit())
            await simulation.clock.sleep_ms(710)
            traits.queue = 16
            reply = await commit
            assert reply.code is codes.TRANSACTION_ABORTED
            assert simulation.groups["g0"].leader.log == []
            simulation.close()

        run_virtual(main())

    @pytest.mark.parametrize("goes_on", [False, True])
    def test_that_only_read_are_not_served_by_a_replaced_primary(self, goes_on):
        async def main():
            traits = Traits(old_leader_goes_on=goes_on)
            simulation = SessionSimulation(1, hosts=3, traits=traits)
            client = simulation.client(
                simulation.gateways[0], simulation.database(ReadKind.CURRENT)
            )
            await client.read()
            model = simulation.groups["g0"]
            simulation.isolated_hosts = simulation.hosts_without_store = {"host-0"}
            await promotion_by_another(simulation)
            position = model.commit(model.leader, ("elsewhere",))
            simulation.observer.record_acknowledgement(
                "g0", position, simulation.clock.now_ms()
            )
            await simulation.clock.sleep_ms(1)
            await client.begin(read_only=True)
            reply = await client.read()
            assert reply.code is codes.LEADER_UNPROVEN
            assert simulation.observer.violations == []
            simulation.close()

        run_virtual(main())

    def test_no_statement_runs_after_a_refused_begin(self):
        async def main():
            simulation = SessionSimulation(1, hosts=1)
            client = simulation.client(
                simulation.gateways[0], simulation.database(ReadKind.CURRENT)
            )
            await client.read()
            model = simulation.groups["g0"]
            model.leader.leads = False
            await client.begin()
            await client.read()
            assert simulation.observer.violations == []
            simulation.close()

        run_virtual(main())
