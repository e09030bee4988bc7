"""Tests of the whole daemon on sockets, with stand-ins for the users' platform."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import select
import time

import pytest
from adapter.targets import LineDriver
from adapter_deployment import run_deployed
from fennelhill_bench.platform_stand_ins.lineserver import LineClient
from fennelhill_bench.platform_stand_ins.platform import until
from fennelhill_core.clock import MS_PER_S
from fennelhilld.draining.clients import MIN_IDLE_MS
from fennelhilld.fleet.roster import UNRESPONSIVE_AFTER_MS
from fennelhilld.links.messages import LinkRefusedError
from fennelhilld.promotion.reach import BALANCER_NOTICE_MS
from fennelhilld.statements.transaction import Transaction

# With more hosts than connections of a target, owners hold the connections.
HOSTS_BEHIND_OWNERS = 6


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

    def test_run_the_shape_of_their_client_whatever_its_hash(self, tmp_path):
        # One client's shape ran for another's statement, at all hosts that send to the
        # same owners, if both had one XXH64 hash.
        async def check(deployment):
            runs = deployment.stand_ins.observer.runs
            for number in range(HOSTS_BEHIND_OWNERS):
                await deployment.wait_until_served(number)
            for number in range(2 * HOSTS_BEHIND_OWNERS):
                for shape in ("c1v8hcsolhgff7n2g7z2o7ls", "q2c"):
                    client = await deployment.connect(
                        daemon=number % HOSTS_BEHIND_OWNERS
                    )
                    request = f"{number}{shape}"
                    await client.ask("p", f"PREPARE s READ {shape}")
                    answer = await client.ask(request, "EXECUTE s item")
                    assert answer[-2].startswith("COMPLETE"), answer
                    assert runs[request][-1].prepared == (False, shape)
                    client.close()

        def prepare(stand_ins):
            stand_ins.max_connections = 2

        run_deployed(tmp_path, check, HOSTS_BEHIND_OWNERS, prepare)

    def test_run_their_shape_when_a_link_holds_too_many(self, tmp_path, monkeypatch):
        # Guards against the answer to DEALLOC being taken for that to the statement.
        monkeypatch.setattr("fennelhilld.links.state.MAX_PREPARED", 2)

        async def check(deployment):
            client = await deployment.connect()
            runs = deployment.stand_ins.observer.runs
            for number in range(12):
                kind, shape = ("READ", "WRITE")[number % 2], f"q{number % 5}"
                await client.ask("p", f"PREPARE s {kind} {shape}")
                answer = await client.ask(f"e{number}", "EXECUTE s item data")
                assert answer[1] == f"COMPLETE g0-0:e{number}"
                (run,) = runs[f"e{number}"]
                assert run.prepared == (kind == "WRITE", shape)
                links = deployment.stand_ins.open_links()
                assert max(len(link.prepared) for link in links) <= 2

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
            store.put(
                "fennelhill", "member/ghost", {"address": "127.0.0.1:1", "zone": "a"}
            )
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

    def test_asks_for_names_with_any_characters(self, tmp_path):
        async def check(deployment):
            asking, asked = deployment.daemons
            group, target = "a&target=b c", "i#1&x"
            leadership = asked.gateway.env.group(group).leadership
            leadership.install_leader(target, 3, asked.clock.now_ms())
            address = asked.settings.peer_address
            view = await asking.peers._query(address, group, target)
            assert (view.leader, view.term) == (target, 3)

        run_deployed(tmp_path, check, hosts=2)


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


def return_to(store, copied_s, writes=0, how="reset", **delays_ms):
    """Let the store come back from a copy of a moment, before any call is served.

    Parameters
    ----------
    store : StoreStandIn
        The store.
    copied_s : float
        The moment, as of ``time.monotonic``.
    writes : int
        Number of rows that are written right after the return, so that the versions
        which the daemons have read up to are given out again.
    how : str
        What happens to calls on the way; see `StoreStandIn.go_away`.
    **delays_ms : float or None
        See `StoreStandIn.come_back`.
    """
    store.go_away(how)
    store.come_back((time.monotonic() - copied_s) * MS_PER_S, **delays_ms)
    write_notes(store, writes)


def write_notes(store, count):
    """Write rows that no daemon uses."""
    for number in range(count):
        store.put("op", f"note-{number}", {})


class TestReturnOfTheStore:
    """The store comes back from an older copy, in a new era."""

    FLEET = "fennelhill"
    LOST_WRITES = 12

    def put_claim(self, store, holder, phase):
        document = {"holder": holder, "nonce": "n", "target": "g0-1", "phase": phase}
        return store.put(self.FLEET, "claim/g0", document)

    async def replace_primary(self, stand_ins):
        """Let the primary leave; return when another target leads."""
        old = stand_ins.group.leader
        target = next(target for target in stand_ins.targets if target.model is old)
        stand_ins.list_target(target, state="draining")
        await until(lambda: stand_ins.group.leader is not old)

    async def lose_a_promotion(self, stand_ins):
        """Replace the primary, and return to a moment long before the claim."""
        # So that an outdated token is seen, and not only refused.
        stand_ins.store.checks_tokens = False
        copied_s = time.monotonic()
        for _ in range(self.LOST_WRITES):
            stand_ins.configure()
        await self.replace_primary(stand_ins)
        await until(lambda: self.claim_phase(stand_ins.store) == "done")
        return_to(stand_ins.store, copied_s)

    def has_row(self, store, key):
        return (self.FLEET, "", key) in store.tables.rows

    def claim_phase(self, store):
        row = store.tables.rows.get((self.FLEET, "", "claim/g0"), {"value": ""})
        return json.loads(base64.b64decode(row["value"]) or b"{}").get("phase")

    @pytest.mark.parametrize("late_host", [False, True], ids=["known", "late host"])
    def test_no_promotions_token_is_given_twice_or_goes_back(self, tmp_path, late_host):
        async def check(deployment):
            stand_ins = deployment.stand_ins
            await self.lose_a_promotion(stand_ins)
            if late_host:
                await deployment.start_daemon(tmp_path, "late")
            await self.replace_primary(stand_ins)
            first, second = [token for *_, token in stand_ins.store.promotions]
            assert second > first

        run_deployed(tmp_path, check, hosts=2)

    @pytest.mark.parametrize("writes", [0, 4], ids=["goes back", "given twice"])
    def test_a_roll_of_restarts_repeats_no_token(self, tmp_path, writes):
        async def check(deployment):
            stand_ins = deployment.stand_ins
            await self.lose_a_promotion(stand_ins)
            write_notes(stand_ins.store, writes)
            await deployment.start_daemon(tmp_path, "late")
            await asyncio.sleep(1.0)
            # Only this one host knew of the promotion.
            await deployment.daemons[0].shutdown()
            await self.replace_primary(stand_ins)
            first, second = [token for *_, token in stand_ins.store.promotions]
            assert second > first

        run_deployed(tmp_path, check)

    def test_a_promotion_that_was_carried_out_is_written_again(self, tmp_path):
        async def check(deployment):
            stand_ins = deployment.stand_ins
            copied_s = time.monotonic()
            await self.replace_primary(stand_ins)
            await until(lambda: self.claim_phase(stand_ins.store) == "done")
            return_to(stand_ins.store, copied_s)
            assert self.claim_phase(stand_ins.store) is None
            await until(lambda: self.claim_phase(stand_ins.store) == "done", 2.0)

        run_deployed(tmp_path, check, hosts=2)

    def test_a_newer_claim_is_believed_though_its_version_is_lower(self, tmp_path):
        async def check(deployment):
            stand_ins = deployment.stand_ins
            claims = deployment.daemons[0].gateway.replacement.claims
            copied_s = time.monotonic()
            for _ in range(self.LOST_WRITES):
                stand_ins.configure()
            lost_version = self.put_claim(stand_ins.store, "lost", "abandoned")
            await until(lambda: claims.get("g0").claim is not None)
            return_to(stand_ins.store, copied_s)
            await asyncio.sleep(0.5)
            version = self.put_claim(stand_ins.store, "newer", "claimed")
            assert version < lost_version
            await until(lambda: claims.get("g0").claim.holder == "newer", 2.0)

        run_deployed(tmp_path, check)

    def test_no_change_is_missed_once_versions_are_given_out_again(self, tmp_path):
        async def check(deployment):
            stand_ins = deployment.stand_ins
            gateway = deployment.daemons[0].gateway
            copied_s = time.monotonic()
            for _ in range(self.LOST_WRITES):
                lost = stand_ins.configure()
            await until(lambda: gateway.catalog.version == lost)
            return_to(stand_ins.store, copied_s)
            version = stand_ins.configure()
            write_notes(stand_ins.store, self.LOST_WRITES)
            await until(lambda: gateway.catalog.version == version)

        run_deployed(tmp_path, check)

    @pytest.mark.parametrize(
        ("how", "writes", "returns"),
        [
            ("reset", 0, 1),
            ("reset", LOST_WRITES, 1),
            ("silent", LOST_WRITES, 1),
            ("reset", LOST_WRITES, 2),
        ],
        ids=["version gone", "version given out again", "feeds that hang", "twice"],
    )
    def test_a_host_whose_row_is_missing_is_there_within_two_seconds(
        self, tmp_path, how, writes, returns
    ):
        async def check(deployment):
            store = deployment.stand_ins.store
            await until(lambda: self.has_row(store, "member/h1"))
            for number in range(returns):
                await asyncio.sleep(0.3 * number)
                return_to(store, float("-inf"), writes, how)
            assert not self.has_row(store, "member/h0")
            await until(
                lambda: all(self.has_row(store, f"member/h{n}") for n in (0, 1)), 2.0
            )
            for daemon in deployment.daemons:
                assert len(daemon.gateway.roster) == 1

        run_deployed(tmp_path, check, hosts=2)

    def test_a_host_whose_row_is_missing_is_not_taken_off_the_list(self, tmp_path):
        async def check(deployment):
            store = deployment.stand_ins.store
            await until(lambda: self.has_row(store, "member/h1"))
            rosters = [daemon.gateway.roster for daemon in deployment.daemons]
            before = [roster.change_count for roster in rosters]
            return_to(store, float("-inf"))
            await asyncio.sleep(2.0)
            assert [roster.change_count for roster in rosters] == before

        run_deployed(tmp_path, check, hosts=2)

    def test_the_row_of_a_host_that_left_is_taken_out_again(self, tmp_path):
        async def check(deployment):
            store = deployment.stand_ins.store
            copied_s = time.monotonic()
            await deployment.daemons[1].shutdown()
            assert not self.has_row(store, "member/h1")
            return_to(store, copied_s)
            assert self.has_row(store, "member/h1")
            await until(lambda: not self.has_row(store, "member/h1"), 10.0)

        run_deployed(tmp_path, check, hosts=2)

    @pytest.mark.parametrize(
        "text", ["", "three", "3.5", "2"], ids=["missing", "word", "fraction", "lower"]
    )
    def test_a_wrong_era_is_recorded_and_loses_nothing(self, tmp_path, text):
        async def check(deployment):
            stand_ins = deployment.stand_ins
            daemon = deployment.daemons[0]
            for _ in range(2):
                return_to(stand_ins.store, time.monotonic())
            version = stand_ins.configure()
            await until(lambda: daemon.gateway.catalog.version == version)
            known = len(daemon.events.since(0))
            stand_ins.store.era_text = text
            version = stand_ins.configure()
            await until(lambda: daemon.gateway.catalog.version == version)

            def recorded_values():
                return [
                    str("" if value is None else value)
                    for event in daemon.events.since(0)[known:]
                    if event.kind.startswith("store.") and "era" in event.kind
                    for value in event.detail.values()
                ]

            await until(lambda: text in recorded_values(), 2.0)
            client = await deployment.connect()
            answer = await client.ask("w", "WRITE item data")
            assert answer[-2].startswith("COMPLETE")

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

    @pytest.mark.parametrize("pause_s", [0.002, 0.01, 0.03])
    def test_closes_sessions_that_are_never_idle_behind_an_answer(
        self, tmp_path, pause_s
    ):
        """Guards against statements that the end of a stop cuts (LOST)."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            users = [
                asyncio.ensure_future(use_until_closed(deployment, number, pause_s))
                for number in range(4)
            ]
            await asyncio.sleep(0.2)
            started_s = time.monotonic()
            await daemon.shutdown()
            assert not daemon.clients.connections
            assert time.monotonic() - started_s < BALANCER_NOTICE_MS / MS_PER_S + 0.5
            assert [await user for user in users] == [True] * len(users)

        run_deployed(tmp_path, check)

    @pytest.mark.parametrize("pause_s", [0.002, 0.01])
    def test_rolls_back_transactions_that_are_never_idle(self, tmp_path, pause_s):
        """Guards against a transaction that goes on until the end (LOST)."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            client = await deployment.connect()
            await client.ask("b", "BEGIN")
            leaving = asyncio.ensure_future(daemon.shutdown())
            async with asyncio.timeout(daemon.settings.bounds.shutdown_s):
                state = "T"
                for number in itertools.count():
                    answer = await client.ask(f"w{number}", "WRITE item data")
                    state = answer[-1].split(" ")[1]
                    if state != "T":
                        break
                    await asyncio.sleep(pause_s)
                assert answer[-2].startswith("ERROR ABORTED")
                assert (await client.ask("r", "ROLLBACK"))[-1].startswith("READY I")
                assert await client.line() == ""
                await leaving
            assert deployment.stand_ins.group.leader.log == []

        run_deployed(tmp_path, check)

    def test_serves_a_statement_that_has_arrived_unread(self, tmp_path):
        """Guards against one that a busy host takes for none, and cuts (LOST)."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            client = await deployment.connect()
            await client.ask("r", "READ item")
            await asyncio.sleep(2 * MIN_IDLE_MS / MS_PER_S)
            sender = client.writer.get_extra_info("socket").dup()
            with sender:
                # The event loop does not get to read it before connections are closed.
                sender.sendall(b"QUERY w WRITE item data\r\n")
                await daemon.client_drain._close_idle()
            assert (await client.line()).startswith("DATAROW")

        run_deployed(tmp_path, check)

    def test_reads_no_statement_that_crosses_the_closing(self, tmp_path):
        """Guards against one that is read by a slow host and never answered (LOST)."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            client = await deployment.connect()
            await client.ask("r", "READ item")
            (connection,) = daemon.clients.connections
            assert connection.close_if_idle(0.0)
            await asyncio.sleep(0.05)
            # The daemon does nothing from here on.
            sender = client.writer.get_extra_info("socket").dup()
            with sender:
                sender.sendall(b"QUERY w WRITE item data\r\n")
                assert is_reset_within(sender, 200)

        run_deployed(tmp_path, check)

    def test_finishes_the_work_of_other_hosts_though_a_client_stays(self, tmp_path):
        """Guards against other hosts' statements that the end cuts (LOST)."""

        async def check(deployment):
            daemon = deployment.daemons[0]
            client = await deployment.connect()
            await client.ask("b", "BEGIN")
            leaving = asyncio.ensure_future(daemon.shutdown())
            half_s = daemon.settings.bounds.shutdown_s / 2
            await asyncio.sleep(half_s + 0.2)
            assert daemon.clients.connections
            assert daemon.gateway.relay.closing
            client.close()
            await leaving

        run_deployed(tmp_path, check)

    def test_takes_no_connection_once_the_sessions_are_closed(self, tmp_path):
        """Guards against a statement of a late session that the end cuts (LOST)."""

        async def check(deployment):
            await deployment.daemons[0].shutdown()
            with pytest.raises(ConnectionRefusedError):
                await deployment.connect()

        run_deployed(tmp_path, check)


def is_reset_within(sock, limit_ms):
    """Return whether the peer's kernel resets a connection, without its process."""
    poller = select.poll()
    poller.register(sock, 0)
    return any(event & select.POLLERR for _, event in poller.poll(limit_ms))


async def use_until_closed(deployment, number, pause_s, limit_s=8.0):
    """Run statements until the daemon closes the session.

    Returns
    -------
    bool
        Whether it was closed behind an answer, so that no statement was cut.
    """
    client = await deployment.connect("own")
    async with asyncio.timeout(limit_s):
        for count in itertools.count():
            text = "READ item" if count % 4 else "WRITE item data"
            answer = await client.ask(f"s{number}-{count}", text)
            if not answer[-1]:
                break
            await asyncio.sleep(pause_s)
            if client.reader.at_eof():
                return True
    return False
