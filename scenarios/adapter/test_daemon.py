"""Tests of the whole daemon on sockets, with stand-ins for the users' platform."""

from __future__ import annotations

import asyncio
import time

import pytest
from adapter.targets import LineDriver
from adapter_deployment import run_deployed
from fennelhill_bench.platform_stand_ins.lineserver import LineClient
from fennelhill_bench.platform_stand_ins.platform import until
from fennelhilld.draining.clients import BALANCER_NOTICE_MS
from fennelhilld.fleet.roster import UNRESPONSIVE_AFTER_MS
from fennelhilld.links.messages import LinkRefusedError
from fennelhilld.statements.transaction import Transaction


class TestStatements:
    def test_are_served_with_signature_rows_and_state(self, tmp_path):
        async def check(deployment):
            client = await deployment.connect()
            answer = await client.ask("w1", "WRITE item data")
            assert answer[:2] == ["DATAROW row w1", "COMPLETE g0-0:w1"]
            assert answer[2] == "READY I 1.1"
            assert (await client.ask("b", "BEGIN"))[-1] == "READY T -"
            assert (await client.ask("r1", "READ item"))[1] == "COMPLETE g0-0:r1"
            assert (await client.ask("c", "COMMIT"))[-1].startswith("READY I")

        run_deployed(tmp_path, check)

    def test_keep_prepared_names_and_values_of_clients_apart(self, tmp_path):
        async def check(deployment):
            first, second = await deployment.connect(), await deployment.connect()
            await first.ask("1", "PREPARE s READ qa")
            await second.ask("2", "PREPARE s WRITE qb")
            await first.ask("3", "SET v 1")
            await first.ask("e1", "EXECUTE s item")
            await second.ask("e2", "EXECUTE s item data")
            runs = deployment.stand_ins.observer.runs
            assert runs["e1"][0].prepared == (False, "qa")
            assert runs["e1"][0].values == {"v": "1"}
            assert runs["e2"][0].prepared == (True, "qb")
            assert runs["e2"][0].values == {}

        run_deployed(tmp_path, check)

    def test_that_are_malformed_do_not_affect_other_clients(self, tmp_path):
        async def check(deployment):
            client, other_client = (
                await deployment.connect(),
                await deployment.connect(),
            )
            answer = await client.ask("x", "DEMOTE 7")
            assert answer[0].startswith("ERROR MALFORMED 1027")
            assert answer[1] == "READY I -"
            client.send("NONSENSE")
            assert (await client.line()).startswith("ERROR MALFORMED")
            assert await client.line() == ""
            assert (await other_client.ask("r", "READ item"))[-1].startswith("READY I")

        run_deployed(tmp_path, check)

    def test_that_raise_an_exception_get_a_numbered_code(self, tmp_path, monkeypatch):
        async def check(deployment):
            client, other_client = (
                await deployment.connect(),
                await deployment.connect(),
            )
            await client.ask("b", "BEGIN")
            await client.ask("w", "WRITE item data")
            with monkeypatch.context() as patch:
                patch.setattr(Transaction, "run", _raise_key_error)
                answer = await client.ask("w2", "WRITE item data")
                assert answer[0].startswith("ERROR INDOUBT 2004")
                assert await client.line() == ""
            events = deployment.daemons[0].events.since(0)
            crash_event = next(
                event for event in events if event.kind == "request.crashed"
            )
            assert crash_event.detail["request"] == "w2"
            assert "KeyError" in crash_event.detail["reason"]
            assert (await other_client.ask("r", "READ item"))[-1].startswith("READY I")
            await until(
                lambda: (
                    not any(
                        link.transaction_kind
                        for link in deployment.stand_ins.open_links()
                    )
                )
            )
            assert deployment.stand_ins.group.leader.log == []

        run_deployed(tmp_path, check)

    def test_an_incomplete_answer_to_a_write_leaves_it_in_doubt(self, tmp_path):
        async def check(deployment):
            client = await deployment.connect()
            await client.ask("w1", "WRITE item data")
            deployment.stand_ins.targets[0].truncate_answers = True
            answer = await client.ask("w2", "WRITE item data")
            assert answer[0].startswith("ERROR INDOUBT")
            deployment.stand_ins.targets[0].truncate_answers = False
            assert (await client.ask("w3", "WRITE item data"))[1].endswith(":w3")
            assert len(deployment.stand_ins.observer.runs["w2"]) == 1

        run_deployed(tmp_path, check)

    def test_a_read_with_an_incomplete_answer_is_retried_elsewhere(self, tmp_path):
        async def check(deployment):
            client = await deployment.connect("aged")
            await client.ask("r1", "READ item")
            for target in deployment.stand_ins.targets[1:]:
                target.truncate_answers = True
            answer = await client.ask("r2", "READ item")
            assert answer[:2] == ["DATAROW row r2", "COMPLETE g0-0:r2"]

        run_deployed(tmp_path, check)

    def test_an_idle_transaction_is_aborted(self, tmp_path):
        async def check(deployment):
            client = await deployment.connect()
            await client.ask("b", "BEGIN")
            await client.ask("w", "WRITE item data")
            await asyncio.sleep(0.6)
            assert (await client.ask("r", "READ item"))[0].startswith("ERROR ABORTED")
            assert (await client.ask("e", "ROLLBACK"))[-1] == "READY I -"
            assert deployment.stand_ins.group.leader.log == []

        run_deployed(tmp_path, check)


async def _raise_key_error(*_):
    raise KeyError("a bug in the daemon")


class TestTargets:
    @pytest.mark.parametrize("line", [b"\xff\xfe\r\n", b"x" * 1_100_000 + b"\r\n"])
    def test_whose_first_line_is_not_a_message_are_rejected(self, line):
        async def main():
            async def serve(reader, writer):
                await reader.readuntil(b"\r\n")
                writer.write(line)

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            ip, port = server.sockets[0].getsockname()
            with pytest.raises(LinkRefusedError):
                await LineDriver().open("g", "t", f"{ip}:{port}", 1_000.0)
            server.close()

        asyncio.run(main())


class TestStart:
    @pytest.mark.parametrize(
        ("line", "word"),
        [
            ("STARTUP nowhere user", "NODB"),
            ("HELLO", "MALFORMED"),
            ("QUERY 1 READ a", "MALFORMED"),
            ("x" * (1024 * 1024 + 10), "TOOLARGE"),
        ],
    )
    def test_with_an_invalid_first_message_is_refused_and_closed(
        self, tmp_path, line, word
    ):
        async def check(deployment):
            address = deployment.daemons[0].settings.listen.clients
            client = await LineClient.connect(address)
            client.send(line)
            assert (await client.line()).startswith(f"ERROR {word}")
            assert await client.line() == ""

        run_deployed(tmp_path, check)

    def test_with_an_incomplete_line_is_closed(self, tmp_path):
        async def check(deployment):
            address = deployment.daemons[0].settings.listen.clients
            client = await LineClient.connect(address)
            client.writer.write(b"STARTUP cur")
            assert (await client.line()).startswith("ERROR MALFORMED")

        run_deployed(tmp_path, check)

    def test_a_flood_of_rejected_starts_does_not_affect_other_clients(self, tmp_path):
        async def check(deployment):
            client = await deployment.connect()
            address = deployment.daemons[0].settings.listen.clients
            flood = [await LineClient.connect(address) for _ in range(150)]
            for flood_client in flood:
                flood_client.send("STARTUP nowhere user")
            assert (await client.ask("r", "READ item"))[-1].startswith("READY I")
            for flood_client in flood:
                assert (await flood_client.line()).startswith("ERROR NODB")
                flood_client.close()

        run_deployed(tmp_path, check)


class TestConfiguration:
    def test_is_in_force_soon_after_the_store_accepted_it(self, tmp_path):
        async def check(deployment):
            client = await deployment.connect("aged")
            deployment.stand_ins.configure({"current": "primary", "fresh": "primary"})
            gateway = deployment.daemons[0].gateway
            await until(lambda: gateway.catalog.database("fresh") is not None)
            assert (await client.ask("r", "READ item"))[0].startswith("ERROR NODB")
            assert await client.line() == ""

        run_deployed(tmp_path, check)

    def test_is_read_in_full_after_the_history_is_lost(self, tmp_path):
        async def check(deployment):
            gateway = deployment.daemons[0].gateway
            deployment.stand_ins.store.tables.forget_history()
            version = deployment.stand_ins.configure()
            await until(lambda: gateway.catalog.version == version)

        run_deployed(tmp_path, check)

    @pytest.mark.parametrize("fault", ["down", "busy", "lost"])
    def test_is_caught_up_after_an_outage_of_the_store(self, tmp_path, fault):
        async def check(deployment):
            gateway = deployment.daemons[0].gateway
            client = await deployment.connect()
            deployment.stand_ins.store.fault = fault
            version = deployment.stand_ins.configure()
            await asyncio.sleep(0.6)
            assert (await client.ask("r", "READ item"))[-1].startswith("READY I")
            deployment.stand_ins.store.fault = ""
            await until(lambda: gateway.catalog.version == version)

        run_deployed(tmp_path, check)

    def test_that_is_unreadable_is_skipped(self, tmp_path):
        async def check(deployment):
            store = deployment.stand_ins.store
            for key, document in (
                ("junk-1", b"\x00\xff"),
                ("junk-2", {"service": "g0"}),
                ("junk-3", {"service": 7, "state": "asleep"}),
            ):
                store.put("servers", key, document)
            store.put("op", "config", b"{broken")
            version = deployment.stand_ins.configure()
            gateway = deployment.daemons[0].gateway
            await until(lambda: gateway.catalog.version == version)
            assert len(gateway.directory.all()) == 3

        run_deployed(tmp_path, check)


class TestFleet:
    def test_drops_hosts_whose_removal_was_missed(self, tmp_path):
        async def check(deployment):
            gateway = deployment.daemons[0].gateway
            store = deployment.stand_ins.store
            store.put("fennelhill", "member/ghost", {"address": "a:1", "zone": "a"})
            await until(lambda: "ghost" in gateway.roster.addresses)
            store.delete_row("fennelhill", "member/ghost")
            store.tables.forget_history()
            deployment.stand_ins.configure()
            await until(lambda: "ghost" not in gateway.roster.addresses)

        run_deployed(tmp_path, check)

    def test_removes_the_row_of_a_host_that_stays_silent(self, tmp_path):
        async def check(deployment):
            daemon = deployment.daemons[0]
            roster = daemon.gateway.roster
            store = deployment.stand_ins.store
            ghost_row = {"address": "127.0.0.1:1", "zone": "a"}
            store.put("fennelhill", "member/ghost", ghost_row)
            await until(lambda: "ghost" in roster.addresses)
            await daemon.gateway.replacement.refresh_reach()
            roster._silent_since_ms["ghost"] -= UNRESPONSIVE_AFTER_MS
            await daemon.feeds.sweep.remove_silent_hosts()
            await until(lambda: "ghost" not in roster.addresses)
            assert len(roster) == 1

        run_deployed(tmp_path, check, hosts=2)

    def test_keeps_the_row_of_a_host_that_has_just_registered_again(self, tmp_path):
        async def check(deployment):
            daemon = deployment.daemons[0]
            roster = daemon.gateway.roster
            store = deployment.stand_ins.store
            ghost_row = {"address": "127.0.0.1:1", "zone": "a"}
            store.put("fennelhill", "member/ghost", ghost_row)
            await until(lambda: "ghost" in roster.addresses)
            await daemon.gateway.replacement.refresh_reach()
            roster._silent_since_ms["ghost"] -= UNRESPONSIVE_AFTER_MS
            # This host has not received the new row when it decides.
            store.put("fennelhill", "member/ghost", {**ghost_row, "zone": "b"})
            await daemon.feeds.sweep.remove_silent_hosts()
            assert ("fennelhill", "", "member/ghost") in store.tables.rows

        run_deployed(tmp_path, check, hosts=2)

    def test_replaces_a_stale_row_of_its_own(self, tmp_path):
        async def check(deployment):
            store = deployment.stand_ins.store
            key = ("fennelhill", "", "member/h0")
            await until(lambda: key in store.tables.rows)
            correct_value = store.tables.rows[key]["value"]
            stale_row = {"address": "127.0.0.1:1", "zone": "a"}
            store.put("fennelhill", "member/h0", stale_row)
            await until(lambda: store.tables.rows[key]["value"] == correct_value)

        run_deployed(tmp_path, check)


class TestFailover:
    def test_a_crashed_primary_is_replaced_and_the_new_one_serves(self, tmp_path):
        async def check(deployment):
            clients = [await deployment.connect(daemon=number) for number in (0, 1)]
            await clients[0].ask("w1", "WRITE item data")
            await asyncio.sleep(0.05)
            deployment.stand_ins.targets[0].stop()
            started_s = time.monotonic()
            while True:
                answer = await clients[0].ask("w2", "WRITE item data")
                if answer[-2].startswith("COMPLETE"):
                    break
            assert time.monotonic() - started_s < 3.0
            assert (await clients[1].ask("r", "READ item"))[-2].startswith("COMPLETE")
            assert [
                entry.requests for entry in deployment.stand_ins.group.leader.log
            ] == [
                ("w1",),
                ("w2",),
            ]
            tokens = [token for *_, token in deployment.stand_ins.store.promotions]
            assert len(set(tokens)) == 1

        run_deployed(tmp_path, check, hosts=2)

    def test_a_replaced_primary_that_goes_on_is_demoted_and_used_no_more(
        self, tmp_path
    ):
        async def check(deployment):
            stand_ins = deployment.stand_ins
            stand_ins.store.checks_tokens = False
            old, *_ = stand_ins.targets
            clients = [await deployment.connect(daemon=number) for number in (0, 1)]
            for client in clients:
                await client.ask("r", "READ item")
            stand_ins.list_target(old, state="draining")
            await until(lambda: stand_ins.group.leader is not old.model)
            assert not old.model.leads
            for number, client in enumerate(clients):
                answer = await client.ask(f"w{number}", "WRITE item data")
                assert answer[-2].startswith("COMPLETE")
            assert stand_ins.observer.deposed_writes == set()

        run_deployed(tmp_path, check, hosts=2, old_leader_goes_on=True)

    def test_a_claim_of_another_writer_is_recorded_and_not_believed(self, tmp_path):
        async def check(deployment):
            gateway = deployment.daemons[0].gateway
            client = await deployment.connect()
            for document in (b"not json", {"holder": 3}, {"phase": "none"}):
                deployment.stand_ins.store.put("fennelhill", "claim/g0", document)
            await until(lambda: gateway.replacement.claims.get("g0").version > 0)
            answer = await client.ask("w", "WRITE item data")
            assert answer[-2].startswith("COMPLETE")
            kinds = [event.kind for event in deployment.daemons[0].events.since(0)]
            assert "store.unreadable_row" in kinds

        run_deployed(tmp_path, check)

    def test_a_target_at_a_reused_address_gets_no_statements(self, tmp_path):
        async def check(deployment):
            stand_ins = deployment.stand_ins
            wrong_target = stand_ins.targets[1]
            wrong_target.model.id = "somebody-else"
            wrong_target.model.crash()
            wrong_target.model.up = True
            client = await deployment.connect("aged")
            await client.ask("w", "READ item")
            for number in range(20):
                answer = await client.ask(f"r{number}", "READ item")
                assert answer[-1].startswith("READY I")
            ran = {
                run.target for runs in stand_ins.observer.runs.values() for run in runs
            }
            assert "somebody-else" not in ran

        run_deployed(tmp_path, check)


class TestShutdown:
    def test_completes_open_transactions_and_ends_idle_sessions(self, tmp_path):
        async def check(deployment):
            daemon = deployment.daemons[0]
            busy, idle = await deployment.connect(), await deployment.connect()
            await busy.ask("b", "BEGIN")
            await busy.ask("w", "WRITE item data")
            leaving = asyncio.ensure_future(daemon.shutdown())
            await asyncio.sleep(0.2)
            assert await deployment.ready_status() == 503
            assert (await busy.ask("c", "COMMIT"))[-2].startswith("COMPLETE")
            assert await idle.line() == ""
            assert await busy.line() == ""
            idle.close()
            busy.close()
            await leaving
            assert not daemon.clients.connections

        run_deployed(tmp_path, check)

    def test_interrupts_no_statement_in_progress(self, tmp_path):
        async def check(deployment):
            daemon = deployment.daemons[0]
            client = await deployment.connect()
            await client.ask("r1", "READ item")
            deployment.stand_ins.group.targets["g0-0"].traits.service_ms = 440.0
            leaving = asyncio.ensure_future(daemon.shutdown())
            await asyncio.sleep(BALANCER_NOTICE_MS / 1000 - 0.1)
            assert (await client.ask("r2", "READ item"))[-2].startswith("COMPLETE")
            assert await client.line() == ""
            client.close()
            await leaving

        run_deployed(tmp_path, check)
