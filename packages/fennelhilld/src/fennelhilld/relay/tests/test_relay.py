"""Tests of statements that reach a target through an owner."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
import xxhash
from fennelhill_bench.session_simulation.simulation import SessionSimulation
from fennelhill_bench.virtual_time import run_virtual
from fennelhill_core import codes
from fennelhill_core.tokens import Position
from fennelhilld.catalog.state import ReadKind
from fennelhilld.links.messages import (
    Command,
    CommandKind,
    NoLinkError,
    TargetAnswer,
    TargetFault,
    Urgency,
)
from fennelhilld.links.state import PreparedShape
from fennelhilld.relay.driver import PING_TIMEOUT_MS, RelayLink
from fennelhilld.relay.messages import RelayBatch, RelayResult
from fennelhilld.relay.owners import owner_count, owner_order
from fennelhilld.statements.messages import (
    Statement,
    StatementKind,
    TransactionState,
)

HOSTS = 24  # more than the 16 connections of a target
SAME_XXH64 = ("q2c", "c1v8hcsolhgff7n2g7z2o7ls")


def simulate(main, **options):
    async def run():
        simulation = SessionSimulation(1, hosts=HOSTS, **options)
        await main(simulation, simulation.dialer)
        violations = simulation.observer.check_final_logs(simulation.groups)
        simulation.close()
        assert violations == []

    run_virtual(run())


def relaying_host(simulation, target_id="g0-0"):
    """Return a host that does not connect to a target itself."""
    return next(
        gateway
        for gateway in simulation.gateways
        if not gateway.owns(gateway.directory.get(target_id))
    )


def client_of(simulation, gateway, reads=ReadKind.CURRENT):
    return simulation.client(gateway, simulation.database(reads))


def first_owner(simulation, gateway, target_id="g0-0"):
    """Return the owner that a host uses first."""
    owners = gateway.owners(gateway.directory.get(target_id))
    name = owner_order(gateway.host, owners)[0]
    return next(other for other in simulation.gateways if other.host == name)


def owner_in_transaction(simulation):
    """Return the owner on whose link a transaction is open."""
    return next(
        gateway
        for gateway in simulation.gateways
        if any(session.in_transaction for session in gateway.relay._sessions)
    )


class TestRelay:
    def test_only_owners_connect_to_a_target(self):
        async def main(simulation, dialer):
            for gateway in simulation.gateways:
                assert (await client_of(simulation, gateway).write()).code is None
            leader = simulation.groups["g0"].leader
            opened = {
                gateway.host
                for gateway, driver in zip(
                    simulation.gateways, simulation.drivers, strict=True
                )
                if any(link.driver is driver for link in leader.links)
            }
            assert 0 < len(opened) <= owner_count(16)

        simulate(main)

    def test_keeps_all_promises_under_load(self):
        async def main(simulation, dialer):
            await simulation.run_clients(60, 3_000.0)
            served = [record for record in simulation.replies if record[3].code is None]
            assert len(served) > 0.97 * len(simulation.replies) > 1_000
            assert simulation.observer.violations == []

        simulate(main, groups=2)

    def test_keeps_all_promises_while_a_primary_is_replaced(self):
        async def main(simulation, dialer):
            load = asyncio.ensure_future(simulation.run_clients(40, 6_000.0))
            await simulation.clock.sleep_ms(800.0)
            simulation.groups["g0"].leader.crash()
            await load
            late = [record for record in simulation.replies if record[0] > 4_500.0]
            served = [record for record in late if record[3].code is None]
            assert len(served) > 0.95 * len(late) > 100

        simulate(main)

    def test_a_host_that_sees_no_leader_reads_from_replicas(self):
        async def main(simulation, dialer):
            gateway = relaying_host(simulation)
            owner = simulation.gateway(gateway.owners(gateway.directory.get("g0-0"))[0])
            assert (await client_of(simulation, owner).write()).code is None
            reader = client_of(simulation, gateway, ReadKind.MAX_AGE)
            for _ in range(8):
                assert (await client_of(simulation, owner).write()).code is None
                await simulation.clock.sleep_ms(300.0)
                assert (await reader.read()).code is None
                runs = simulation.observer.runs[reader.last_request_id]
                assert runs[0].target != "g0-0"

        simulate(main)

    def test_a_transaction_stays_on_one_link_and_is_rolled_back_at_its_end(self):
        async def main(simulation, dialer):
            client = client_of(simulation, relaying_host(simulation))
            await client.begin()
            await client.write()
            runs = simulation.observer.runs
            first = runs[client.last_request_id][0]
            await client.read()
            assert runs[client.last_request_id][0].link == first.link
            client.session.abort("test")
            await simulation.clock.sleep_ms(50.0)
            links = simulation.groups["g0"].leader.links
            assert all(not link.transaction_kind for link in links)

        simulate(main)

    def test_session_values_and_prepared_statements_reach_the_owners_link(self):
        async def main(simulation, dialer):
            gateway = relaying_host(simulation)
            first, second = (client_of(simulation, gateway) for _ in range(2))
            await first.set_value("a", "x")
            await first.prepare("s1", True, "p")
            await second.prepare("s1", False, "q")
            for _ in range(3):
                assert (await first.execute("s1")).code is None
                assert (await second.execute("s1")).code is None

        simulate(main)

    def test_shapes_with_one_xxh64_hash_stay_apart_on_the_way_and_at_the_owner(self):
        # A link through an owner sent one client's shape for another's statement.
        async def main(simulation, dialer):
            gateway = relaying_host(simulation)
            clients = [client_of(simulation, gateway) for _ in SAME_XXH64]
            for client, shape in zip(clients, SAME_XXH64, strict=True):
                await client.prepare("s1", True, shape)
            for _ in range(3):
                for client in clients:
                    assert (await client.execute("s1")).code is None
            assert simulation.observer.violations == []

        simulate(main)

    def test_an_owner_executes_by_its_own_names(self, monkeypatch):
        # Guards against a sender of another build whose names the owner does not use.
        monkeypatch.setattr(PreparedShape, "relay_name", "s")

        async def main(simulation, dialer):
            client = client_of(simulation, relaying_host(simulation))
            for shape in ("p", "q", "p"):
                await client.prepare("s1", True, shape)
                assert (await client.execute("s1")).code is None
                await client.begin()
                assert (await client.execute("s1")).code is None
                assert (await client.commit()).code is None
            assert simulation.observer.violations == []

        simulate(main)

    def test_an_owner_prepares_again_what_a_target_has_lost(self):
        # Guards against links of an owner on which a statement stays unknown.
        async def main(simulation, dialer):
            gateway = relaying_host(simulation)
            client = client_of(simulation, gateway)
            await client.prepare("s1", True, "q")
            for _ in range(20):
                assert (await client.execute("s1")).code is None
            links = simulation.groups["g0"].leader.links
            prepared = [link for link in links if link.prepared]
            for link in prepared:
                link.prepared.clear()
            for _ in range(20):
                assert (await client.execute("s1")).code is None
            assert gateway.env.counters.retried <= len(prepared)

        simulate(main)

    def test_an_owner_that_can_not_be_reached_is_replaced_by_another(self):
        async def main(simulation, dialer):
            gateway = relaying_host(simulation)
            entry = gateway.directory.get("g0-0")
            dialer.unreachable = set(gateway.owners(entry)[:1])
            assert (await client_of(simulation, gateway).write()).code is None

        simulate(main)

    def test_owners_that_were_silent_are_used_again_within_a_second(self):
        # They were passed over for two seconds, though all of them answered again.
        async def main(simulation, dialer):
            gateway = relaying_host(simulation)
            assert (await client_of(simulation, gateway).write()).code is None
            owners = gateway.owners(gateway.directory.get("g0-0"))
            dialer.unreachable = set(owners)
            for address, _, far in dialer.streams:
                far.silent = far.silent or address in owners
            for _ in range(20):
                client = client_of(simulation, gateway)
                reply = await client.write()
                assert reply.code is not None
                await simulation.clock.sleep_ms(100.0)
            dialer.unreachable = set()
            healed_ms = simulation.clock.now_ms()
            while (await client_of(simulation, gateway).write()).code is not None:
                await simulation.clock.sleep_ms(20.0)
            assert simulation.clock.now_ms() - healed_ms < 1_000.0

        simulate(main)

    def test_a_write_through_an_owner_that_falls_silent_is_in_doubt(self):
        async def main(simulation, dialer):
            gateway = relaying_host(simulation)
            client = client_of(simulation, gateway)
            assert (await client.write()).code is None
            entry = gateway.directory.get("g0-0")
            first_owner = owner_order(gateway.host, gateway.owners(entry))[0]
            for address, _, far in dialer.streams:
                far.silent = address == first_owner
            reply = await client.write()
            assert reply.code is codes.CONNECTION_LOST
            assert len(simulation.observer.runs[client.last_request_id]) == 1
            await simulation.clock.sleep_ms(PING_TIMEOUT_MS + 50.0)
            assert (await client.write()).code is None

        simulate(main)

    def test_an_owner_that_stops_answers_what_it_was_sent(self):
        # Guards against writes whose outcome is unknown after each planned restart.
        async def main(simulation, dialer):
            gateway = relaying_host(simulation)
            client = client_of(simulation, gateway)
            assert (await client.write()).code is None
            owner = first_owner(simulation, gateway)
            simulation.groups["g0"].leader.traits.network_ms = 30.0
            write = asyncio.ensure_future(client.write())
            await simulation.clock.sleep_ms(15.0)
            assert not write.done()
            started_ms = simulation.clock.now_ms()
            await owner.relay.drain(1_000.0, 1_000.0)
            assert simulation.clock.now_ms() - started_ms < 200.0
            assert (await write).code is None
            assert (await client.write()).code is None  # through another owner

        simulate(main)

    def test_an_owner_that_stops_lets_transactions_end(self):
        async def main(simulation, dialer):
            gateway = relaying_host(simulation)
            client = client_of(simulation, gateway)
            await client.begin()
            assert (await client.write()).code is None
            owner = owner_in_transaction(simulation)
            draining = asyncio.ensure_future(owner.relay.drain(1_000.0, 2_000.0))
            await simulation.clock.sleep_ms(100.0)
            assert not draining.done()
            assert (await client.write()).code is None
            assert (await client.commit()).code is None
            await simulation.clock.sleep_ms(50.0)
            assert draining.done()

        simulate(main)

    @pytest.mark.parametrize("pause_ms", [0.0, 3.0, 60.0])
    def test_an_owner_that_stops_rolls_back_transactions_at_any_pace(self, pause_ms):
        """Guards against a transaction that is cut while a statement runs (LOST)."""

        async def main(simulation, dialer):
            gateway = relaying_host(simulation)
            client = client_of(simulation, gateway)
            await client.begin()
            assert (await client.write()).code is None
            clock = simulation.clock
            started_ms = clock.now_ms()
            owner = owner_in_transaction(simulation)
            draining = asyncio.ensure_future(owner.relay.drain(400.0, 2_000.0))
            reply = await client.write()
            while reply.code is None:
                assert clock.now_ms() - started_ms < 600.0
                await clock.sleep_ms(pause_ms)
                reply = await client.write()
            assert reply.code is codes.TRANSACTION_ABORTED
            await draining
            assert 400.0 <= clock.now_ms() - started_ms < 600.0
            # What comes now goes to another owner.
            await client.rollback()
            assert (await client.write()).code is None

        simulate(main)

    def test_a_transaction_that_begins_after_its_sender_gave_up_is_rolled_back(self):
        async def main(simulation, dialer):
            leader = simulation.groups["g0"].leader
            client = client_of(simulation, relaying_host(simulation))
            assert (await client.write()).code is None
            leader.traits.network_ms = 2_000.0
            await client.begin()
            reply = await client.write()
            assert reply.code.outcome is codes.Outcome.NOT_RUN
            leader.traits.network_ms = 1.0
            await simulation.clock.sleep_ms(5_000.0)
            assert all(not link.transaction_kind for link in leader.links)
            pools = [
                gateway.groups["g0"].targets["g0-0"].pool
                for gateway in simulation.gateways
            ]
            assert sum(pool.in_use for pool in pools) == 0

        simulate(main)

    def test_the_loss_of_a_stream_aborts_its_transactions(self):
        async def main(simulation, dialer):
            client = client_of(simulation, relaying_host(simulation))
            await client.begin()
            await client.write()
            for _, near, _ in dialer.streams:
                near.close()
            reply = await client.write()
            assert reply.code is codes.TRANSACTION_ABORTED
            await simulation.clock.sleep_ms(50.0)
            links = simulation.groups["g0"].leader.links
            assert all(not link.transaction_kind for link in links)

        simulate(main)

    @pytest.mark.parametrize("count", [40])
    def test_more_transactions_than_links_wait_or_are_refused_as_not_run(self, count):
        async def main(simulation, dialer):
            gateway = relaying_host(simulation)
            clients = [client_of(simulation, gateway) for _ in range(count)]

            async def run(client):
                await client.begin()
                reply = await client.write()
                await simulation.clock.sleep_ms(100.0)
                if client.session.state is TransactionState.OPEN:
                    await client.commit()
                return reply

            replies = await asyncio.gather(*(run(client) for client in clients))
            assert all(
                reply.code is None or reply.code.outcome is codes.Outcome.NOT_RUN
                for reply in replies
            )

        simulate(main)


class TestRelayLink:
    def test_sends_an_older_owner_the_name_that_it_prepares_by(self, monkeypatch):
        # Guards against prepared statements unknown to owners of builds before the
        # change, which make the name of the shape and execute the name they are sent.
        async def main(simulation, dialer):
            gateway = relaying_host(simulation)
            batches = []

            send = RelayLink._call

            async def call(self, name, client, batch):
                batches.append(batch)
                return await send(self, name, client, batch)

            monkeypatch.setattr(RelayLink, "_call", call)
            client = client_of(simulation, gateway)
            for shape in ("q2c", "q2d", "q2c"):
                await client.prepare("s1", True, shape)
                await client.execute("s1")
            assert {batch.shape for batch in batches} == {"q2c", "q2d"}
            for batch in batches:
                hash_ = xxhash.xxh64_hexdigest(batch.shape.encode())
                assert [command.name for command in batch.commands] == [f"fw{hash_}"]

        simulate(main)

    def test_owners_wait_no_longer_than_a_batch_may_be_sent(self, monkeypatch):
        # Guards against operations that run long after their permit has expired.
        async def main(simulation, dialer):
            gateway = relaying_host(simulation)
            target = gateway.groups["g0"].targets["g0-1"]
            link = await gateway._driver.open("g0", "g0-1", target.entry.address, 100.0)
            waits_ms = []

            async def call(self, name, client, batch):
                waits_ms.append(batch.wait_ms)
                return RelayResult(error="no link", not_run=True, expected_ms=5.0)

            monkeypatch.setattr(RelayLink, "_call", call)
            begin = Command(CommandKind.BEGIN_READ_ONLY)
            now_ms = simulation.clock.boottime_ms()
            for send_by_ms in (now_ms + 60.0, now_ms):
                with pytest.raises(NoLinkError):
                    await link.send([begin], Urgency(700.0, send_by_ms=send_by_ms))
            assert waits_ms
            assert max(waits_ms) <= 60.0

        simulate(main)

    def test_answers_of_a_batch_that_was_not_sent_are_not_taken_for_later_ones(
        self, monkeypatch
    ):
        # A read on a replayed session got no link; the next transaction on the same
        # link took the answer to the replay for that to its refused beginning, and its
        # statement ran outside of a transaction.
        async def main(simulation, dialer):
            gateway = relaying_host(simulation)
            target = gateway.groups["g0"].targets["g0-1"]
            link = await gateway._driver.open("g0", "g0-1", target.entry.address, 100.0)
            results = [
                RelayResult(error="no link", not_run=True, expected_ms=5.0),
                RelayResult([TargetAnswer(fault=TargetFault.BEHIND)]),
            ]

            async def run_at_any_owner(self, batch):
                return results.pop(0)

            monkeypatch.setattr(RelayLink, "_run_at_any_owner", run_at_any_owner)
            replay = Command(CommandKind.SET_VALUE, name="a", value="x")
            begin = Command(CommandKind.BEGIN_READ_ONLY)
            with pytest.raises(NoLinkError):
                await link.send([replay, begin])
            await link.send([begin])
            assert (await link.receive()).fault is TargetFault.BEHIND

        simulate(main)


class TestMessages:
    def test_hold_only_what_differs_from_the_defaults(self):
        # Bytes between zones are the dearest price of a large fleet.
        statement = Statement("5c0e7a21d94b36f8", StatementKind.READ, "READ 1a4")
        command = Command(CommandKind.STATEMENT, statement, after=Position(3, 7))
        batch = RelayBatch("orders", "i-7f3a91c2", [command], 450.0, 10.0, link=9)
        encoded = msgspec.json.encode(batch)
        assert msgspec.json.decode(encoded, type=RelayBatch) == batch
        assert len(encoded) < 250
        result = RelayResult([TargetAnswer(["row"], "7.1f3", position=Position(3, 9))])
        encoded = msgspec.json.encode(result)
        assert msgspec.json.decode(encoded, type=RelayResult) == result
        assert len(encoded) < 80
