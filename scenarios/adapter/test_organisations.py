"""Tests of organisations, their keys, and catalogs that a host gets late or not."""

from __future__ import annotations

import asyncio
import json
import sys

import pytest
from adapter.daemon import PlatformDaemon
from adapter.node import load_node_settings
from adapter_deployment import run_deployed
from fennelhill_bench.platform_stand_ins.lineserver import (
    NAMELESS_LINK,
    LineClient,
    OrganisationCheck,
)
from fennelhill_bench.platform_stand_ins.platform import DATABASES, until
from fennelhill_core.clock import MS_PER_S
from fennelhill_core.digest import key_digest
from fennelhill_core.logs import configure_logs
from fennelhill_core.platform import StoreUnavailableError
from fennelhill_core.sockets import http_client
from fennelhilld.catalog.intake import CatalogIntake
from fennelhilld.gateway import STARTUP_PHASE_MS
from loguru import logger

NORTH_KEY, SOUTH_KEY, SPARE_KEY = "k-north-5e11", "k-south-77ab", "k-spare-90cd"
KNOWN_KEYS = {NORTH_KEY: "north", SOUTH_KEY: "south", SPARE_KEY: "south"}
NOBODY_LISTENS = "http://127.0.0.1:1/-/"


def organisations(keys):
    names = sorted(set(KNOWN_KEYS.values()))
    return [
        {"name": name, "api_keys": [key for key in keys if keys[key] == name]}
        for name in names
    ]


def without(*withdrawn):
    return {key: name for key, name in KNOWN_KEYS.items() if key not in withdrawn}


def prepare(stand_ins):
    stand_ins.organisations = organisations(KNOWN_KEYS)
    stand_ins.public = {"aged"}


def strictly(strict, revoke_ms):
    def prepare_bounds(stand_ins):
        prepare(stand_ins)
        stand_ins.bounds |= {"revoke_strict": strict, "revoke_ms": revoke_ms}

    return prepare_bounds


def run(tmp_path, check, prepare=prepare, **options):
    run_deployed(tmp_path, check, prepare=prepare, **options)


async def change_keys(deployment, keys, daemons=(0,)):
    deployment.stand_ins.organisations = organisations(keys)
    version = deployment.stand_ins.configure()
    await until(
        lambda: all(
            deployment.daemons[number].gateway.catalog.version == version
            for number in daemons
        )
    )
    return asyncio.get_running_loop().time()


async def turn_away(deployment, daemon):
    """Let the store serve all hosts but one, from the next version on."""
    deployment.daemons[daemon].store._base_url = NOBODY_LISTENS
    await change_keys(deployment, KNOWN_KEYS, range(len(deployment.daemons)))
    await until(deployment.daemons[daemon].feeds.store_failing)


class TestStart:
    @pytest.mark.parametrize("key", [None, "", "k-unknown", NORTH_KEY + " x"])
    def test_without_a_valid_key_is_refused(self, tmp_path, key):
        async def check(deployment):
            client, answer = await deployment.start(key=key)
            assert answer.startswith("ERROR NOAUTH 1034")
            assert await client.line() == ""

        run(tmp_path, check)

    def test_needs_no_key_where_the_database_is_public(self, tmp_path):
        async def check(deployment):
            client = await deployment.connect("aged", key=None)
            assert (await client.ask("r", "READ item"))[1].startswith("COMPLETE")

        run(tmp_path, check)

    def test_runs_statements_on_links_of_the_organisation(self, tmp_path):
        async def check(deployment):
            north = await deployment.connect(key=NORTH_KEY)
            south = await deployment.connect(key=SPARE_KEY)
            await north.ask("n", "WRITE item data")
            await south.ask("s", "WRITE item data")
            ran_for = deployment.stand_ins.check.ran_for
            assert (ran_for["n"], ran_for["s"]) == ("north", "south")

        run(tmp_path, check)


class TestWithdrawnKey:
    def test_idle_sessions_are_half_closed_at_once(self, tmp_path):
        async def check(deployment):
            idle = await deployment.connect(key=SPARE_KEY)
            other = await deployment.connect(key=SOUTH_KEY)
            await idle.ask("r1", "READ item")
            await change_keys(deployment, without(SPARE_KEY))
            assert await asyncio.wait_for(idle.line(), 0.5) == ""
            assert idle.reader.exception() is None
            assert (await other.ask("r2", "READ item"))[1].startswith("COMPLETE")
            _, answer = await deployment.start(key=SPARE_KEY)
            assert answer.startswith("ERROR NOAUTH 1034")

        run(tmp_path, check)

    def test_busy_sessions_end_after_their_answer(self, tmp_path):
        async def check(deployment):
            client = await deployment.connect(key=SPARE_KEY)
            await client.ask("r1", "READ item")
            deployment.stand_ins.group.targets["g0-0"].traits.service_ms = 440.0
            answer = asyncio.ensure_future(client.ask("r2", "READ item"))
            await asyncio.sleep(0.1)
            await change_keys(deployment, without(SPARE_KEY))
            assert not answer.done()
            assert (await answer)[1].startswith("COMPLETE")
            assert await asyncio.wait_for(client.line(), 0.5) == ""

        run(tmp_path, check)

    def test_a_statement_after_the_withdrawal_is_refused(self, tmp_path):
        async def check(deployment):
            client = await deployment.connect(key=SPARE_KEY)
            gateway = deployment.daemons[0].gateway
            gateway.on_access_withdrawn = lambda: None
            await change_keys(deployment, without(SPARE_KEY))
            answer = await client.ask("w", "WRITE item data")
            assert answer[0].startswith("ERROR NOAUTH 1034")
            assert await client.line() == ""
            assert "w" not in deployment.stand_ins.observer.runs

        run(tmp_path, check)

    @pytest.mark.parametrize("last", ["WRITE item data", "COMMIT"])
    def test_open_transactions_are_aborted_after_two_seconds(self, tmp_path, last):
        async def check(deployment):
            client = await deployment.connect(key=SPARE_KEY)
            await client.ask("b", "BEGIN")
            await client.ask("w0", "WRITE item data")
            changed_s = await change_keys(deployment, without(SPARE_KEY))
            loop, number = asyncio.get_running_loop(), 0
            while loop.time() < changed_s + 1.8:
                number += 1
                answer = await client.ask(f"w{number}", "WRITE item data")
                assert answer[-1].startswith("READY T")
                await asyncio.sleep(0.1)
            # Longer than an idle transaction is waited for, so that this wait ends in a
            # transaction that was aborted meanwhile.
            await asyncio.sleep(changed_s + 2.5 - loop.time())
            answer = await client.ask("last", last)
            assert answer[0].startswith("ERROR ABORTED")
            assert "withdrawn" in answer[0]
            if last != "COMMIT":
                assert (await client.ask("e", "ROLLBACK"))[-1] == "READY I -"
            assert await asyncio.wait_for(client.line(), 1.0) == ""
            assert deployment.stand_ins.group.leader.log == []

        run(tmp_path, check)

    def test_a_commit_that_was_sent_keeps_its_outcome(self, tmp_path):
        async def check(deployment):
            client = await deployment.connect(key=SPARE_KEY)
            await client.ask("b", "BEGIN")
            await client.ask("w", "WRITE item data")
            await change_keys(deployment, without(SPARE_KEY))
            assert (await client.ask("c", "COMMIT"))[0].startswith("COMPLETE")
            assert await asyncio.wait_for(client.line(), 0.5) == ""
            assert len(deployment.stand_ins.group.leader.log) == 1

        run(tmp_path, check)


class TestMovedKey:
    def test_the_session_belongs_to_the_new_holder_from_the_next_operation(
        self, tmp_path
    ):
        async def check(deployment):
            # A host that has just started opens one link per target.
            await asyncio.sleep(STARTUP_PHASE_MS / MS_PER_S)
            single = await deployment.connect(key=SPARE_KEY)
            pinned = await deployment.connect(key=SPARE_KEY)
            await single.ask("s1", "WRITE item data")
            await pinned.ask("b", "BEGIN")
            await pinned.ask("p1", "WRITE item data")
            await change_keys(deployment, {**KNOWN_KEYS, SPARE_KEY: "north"})
            await single.ask("s2", "READ item")
            assert (await pinned.ask("p2", "COMMIT"))[0].startswith("COMPLETE")
            await pinned.ask("p3", "WRITE item data")
            ran_for = deployment.stand_ins.check.ran_for
            held_by = [ran_for[name] for name in ("s1", "s2", "p1", "p2", "p3")]
            assert held_by == ["south", "north", "south", "south", "north"]

        run(tmp_path, check)


class TestHostThatTheStoreTurnsAway:
    def test_gets_a_withdrawal_from_another_host(self, tmp_path):
        async def check(deployment):
            client = await deployment.connect(daemon=1, key=SPARE_KEY)
            await turn_away(deployment, 1)
            await change_keys(deployment, without(SPARE_KEY), (0, 1))
            assert await asyncio.wait_for(client.line(), 0.5) == ""

        run(tmp_path, check, hosts=2)

    def test_installs_no_older_version_of_another_host(self, tmp_path):
        async def check(deployment):
            intake = deployment.daemons[0].intake
            older_document = intake.document
            await change_keys(deployment, without(SPARE_KEY), (0, 1))
            await turn_away(deployment, 1)
            await change_keys(deployment, without(SPARE_KEY), (0, 1))
            version = deployment.stand_ins.version
            intake.newer_document = lambda after: older_document
            await until(lambda: deployment.events("catalog.ignored", 1))
            assert deployment.daemons[1].gateway.catalog.version == version
            _, answer = await deployment.start(daemon=1, key=SPARE_KEY)
            assert answer.startswith("ERROR NOAUTH")

        run(tmp_path, check, hosts=2)

    def test_serves_nobody_if_it_was_started_meanwhile(self, tmp_path):
        async def check(deployment):
            await change_keys(deployment, without(SPARE_KEY))
            deployment.stand_ins.store.fault = "down"
            path, _ = deployment.stand_ins.node_file(tmp_path, "late")
            late = PlatformDaemon(load_node_settings(str(path)))
            deployment.daemons.append(late)
            await late.start()
            for key in (SPARE_KEY, SOUTH_KEY):
                _, answer = await deployment.start(daemon=1, key=key)
                assert answer.startswith("ERROR BUSY")
            assert await deployment.ready_status(1) == 503
            deployment.stand_ins.store.fault = ""
            await until(lambda: late.gateway.ready)
            _, answer = await deployment.start(daemon=1, key=SPARE_KEY)
            assert answer.startswith("ERROR NOAUTH")

        run(tmp_path, check)

    def test_asks_other_hosts_although_its_long_polls_still_wait(self, tmp_path):
        async def check(deployment):
            client = await deployment.connect(daemon=1, key=SPARE_KEY)
            await client.ask("r", "READ item")
            daemon = deployment.daemons[1]
            daemon.store._base_url = NOBODY_LISTENS
            daemon.intake.offer = lambda document, source: (
                CatalogIntake.offer(daemon.intake, document, source)
                if source == "peer"
                else None
            )
            with pytest.raises(StoreUnavailableError):
                await daemon.feeds.refresh_fleet()
            await change_keys(deployment, without(SPARE_KEY), (0, 1))
            assert await asyncio.wait_for(client.line(), 0.5) == ""

        run(tmp_path, check, hosts=2)


class TestUnconfirmedCatalog:
    def test_a_strict_host_refuses_operations_until_it_hears_again(self, tmp_path):
        async def check(deployment):
            client = await deployment.connect(key=NORTH_KEY)
            await asyncio.sleep(1.5)  # Several polls without any change.
            assert (await client.ask("r1", "READ item"))[1].startswith("COMPLETE")
            deployment.stand_ins.store.fault = "down"
            await until(lambda: deployment.daemons[0].intake.outdated)
            answer = await client.ask("w", "WRITE item data")
            assert answer[0].startswith("ERROR BUSY 1037")
            assert await deployment.ready_status() == 503
            deployment.stand_ins.store.fault = ""
            await until(lambda: not deployment.daemons[0].intake.outdated)
            assert (await client.ask("r2", "READ item"))[1].startswith("COMPLETE")
            assert "w" not in deployment.stand_ins.observer.runs

        run(tmp_path, check, strictly(True, 900))

    def test_another_host_in_contact_confirms_it(self, tmp_path):
        async def check(deployment):
            client = await deployment.connect(daemon=1, key=NORTH_KEY)
            await turn_away(deployment, 1)
            await asyncio.sleep(5.0)
            answer = await client.ask("r", "READ item")
            assert answer[-2].startswith("COMPLETE"), answer

        run(tmp_path, check, strictly(True, 4_000), hosts=2)

    def test_a_host_that_is_not_strict_logs_the_age_once(self, tmp_path):
        async def check(deployment):
            client = await deployment.connect(key=NORTH_KEY)
            deployment.stand_ins.store.fault = "down"
            deployment.stand_ins.configure()
            await until(lambda: deployment.events("catalog.outdated"))
            await asyncio.sleep(2.1)
            assert (await client.ask("r", "READ item"))[1].startswith("COMPLETE")
            (event,) = deployment.events("catalog.outdated")
            assert event.detail["age_ms"] >= 300

        run(tmp_path, check, strictly(False, 300))


class TestInvalidOrganisations:
    def test_affect_no_other_organisation(self, tmp_path):
        async def check(deployment):
            stand_ins = deployment.stand_ins
            stand_ins.organisations = [
                None,
                [7],
                {"name": 5, "api_keys": ["k-lost"]},
                {"name": "torn", "api_keys": "k-torn", "rate_per_s": "many"},
                *organisations(KNOWN_KEYS),
            ]
            version = stand_ins.configure()
            gateway = deployment.daemons[0].gateway
            await until(lambda: gateway.catalog.version == version)
            await deployment.connect(key=NORTH_KEY)
            for key in ("k-lost", "k-torn", "k"):
                _, answer = await deployment.start(key=key)
                assert answer.startswith("ERROR NOAUTH")
            assert len(deployment.events("catalog.defect")) == 4

        run(tmp_path, check)

    @pytest.mark.parametrize("document", [b"{broken", b"\xff\xfe", b'{"version": 99}x'])
    def test_a_document_that_is_unreadable_leaves_the_last_one_in_force(
        self, tmp_path, document
    ):
        async def check(deployment):
            deployment.stand_ins.store.put("op", "config", document)
            await until(lambda: deployment.events("catalog.unreadable"))
            await deployment.connect(key=NORTH_KEY)

        run(tmp_path, check)

    def test_a_version_without_a_list_does_not_open_the_databases(self, tmp_path):
        async def check(deployment):
            document = json.loads(deployment.daemons[0].intake.document)
            document |= {"version": 1_000, "tenants": None}
            deployment.stand_ins.store.put("op", "config", document)
            await until(lambda: deployment.events("catalog.unreadable"))
            _, answer = await deployment.start(key="k-unknown")
            assert answer.startswith("ERROR NOAUTH")

        run(tmp_path, check)


class TestLogs:
    def test_never_contain_a_key(self, tmp_path, monkeypatch):
        secrets = [*KNOWN_KEYS, "k-wrong-3f3f", "k-twice-1b1b"]
        output = tmp_path / "log"

        async def check(deployment):
            daemon = deployment.daemons[0]
            address = daemon.settings.listen.clients
            for line in (
                f"STARTUP current {secrets[3]}",
                f"STARTUP {secrets[3]}",
                f"STARTUP  {secrets[3]}",
                f"STARTUP current {secrets[3]} x",
                f"startup current {secrets[3]}",
                f"QUERY 1 STARTUP current {secrets[3]}",
            ):
                client = await LineClient.connect(address)
                client.send(line)
                assert (await client.line()).startswith("ERROR")
            client = await LineClient.connect(address)
            client.writer.write(f"STARTUP current {secrets[3]}\xff".encode("latin-1"))
            client.writer.write(b"\r\n")
            assert (await client.line()).startswith("ERROR MALFORMED")
            client = await deployment.connect(key=SPARE_KEY)
            await client.ask("w", "WRITE item data")
            twice = {"api_keys": [secrets[4], NORTH_KEY, 5]}
            deployment.stand_ins.organisations = [
                {"name": "x", **twice},
                {"name": "a", **twice},
                {"name": "north", "api_keys": [NORTH_KEY], "burst": "b"},
            ]
            deployment.stand_ins.configure()
            assert await client.line() == ""
            for text in (
                f'{{"tenants": ["{SPARE_KEY}',
                f'{{"version": "{SPARE_KEY}"}}',
            ):
                deployment.stand_ins.store.put("op", "config", text.encode())
                await asyncio.sleep(0.05)
            with monkeypatch.context() as patch:
                patch.setattr(daemon.gateway, "open_session", _raise_with_arguments)
                client = await LineClient.connect(address)
                client.send(f"STARTUP current {NORTH_KEY}")
                assert await client.line() == ""
            events = daemon.events.since(0)
            kinds = {event.kind for event in events}
            assert {"client.crashed", "catalog.defect", "client.refused"} <= kinds
            url = f"http://{daemon.settings.peer_address}/metrics"
            metrics = (await http_client().fetch(url)).body.decode()
            text = repr(events) + metrics + output.read_text()
            assert [key for key in secrets if key in text] == []

        with output.open("w") as stream:
            configure_logs("DEBUG", stream)
            try:
                run(tmp_path, check)
            finally:
                logger.remove()
                logger.add(sys.stderr)
        assert "catalog.installed" in output.read_text()


def _raise_with_arguments(*arguments):
    raise RuntimeError(arguments)


class TestDatabases:
    def test_that_are_no_longer_public_end_sessions_without_a_key(self, tmp_path):
        async def check(deployment):
            client = await deployment.connect("aged", key=None)
            deployment.stand_ins.public = set()
            deployment.stand_ins.configure(DATABASES)
            assert await asyncio.wait_for(client.line(), 1.0) == ""

        run(tmp_path, check)


class TestOperators:
    @pytest.mark.parametrize("name", ["south", key_digest(SPARE_KEY)])
    def test_see_digests_and_limits_and_no_keys(self, tmp_path, name):
        async def check(deployment):
            address = deployment.daemons[0].settings.peer_address
            url = f"http://{address}/organisation?name={name}"
            body = json.loads((await http_client().fetch(url)).body)
            assert body["version"] == deployment.stand_ins.version
            digests = [key_digest(SOUTH_KEY), key_digest(SPARE_KEY)]
            assert body["organisation"]["key_digests"] == digests

        run(tmp_path, check)


class TestStandIns:
    """Guards against a check of links that accepts everything."""

    def test_report_a_statement_on_a_link_of_another_organisation(self):
        check = OrganisationCheck()
        check.configure(organisations(KNOWN_KEYS), {"aged"})
        check.record_sent("n", NORTH_KEY, "current")
        check.record_sent("p", NORTH_KEY, "aged")
        check.check_link("north")
        check.check_statement("north", "n")
        check.check_statement(NAMELESS_LINK, "p")
        assert check.problems == []
        check.check_link("nowhere")
        check.check_statement("south", "n")
        check.check_statement("north", "p")
        check.check_statement("north", "never-sent")
        assert len(check.problems) == 4
