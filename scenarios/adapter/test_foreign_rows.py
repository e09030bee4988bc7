"""Tests of rows that another writer has left in the tables of the store."""

from __future__ import annotations

import asyncio
import json
from functools import partial

import pytest
from adapter.targets import LineDriver
from adapter_deployment import run_deployed
from fennelhill_bench.platform_stand_ins.platform import GROUP, until
from fennelhill_bench.session_simulation.targets import DriverModel
from fennelhill_bench.virtual_time import VirtualClock, run_virtual
from fennelhill_core.events import EventLog
from fennelhilld.catalog.state import Catalog, Group
from fennelhilld.directory.state import TargetDirectory, TargetEntry
from fennelhilld.gateway import SessionGateway
from fennelhilld.links.pool import TargetPool

# Within the users' `drain_timeout_ms`.
DRAIN_LIMIT_S = 7.0
SOME_CHECKS_S = 1.0  # a leader that fails is checked every 0.15 s
ENTRY = {
    "service": GROUP,
    "address": "127.0.0.1:9",
    "zone": "a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "cold_left_ms": 0,
    "db_role": "replica",
    "sequence": 1,
    "born": 1_790_000_000_000,
}
NESTED = b"[" * 3_000 + b"]" * 3_000


def entry_with(**changes):
    return json.dumps({**ENTRY, **changes}).encode()


def nested_entry(**changes):
    """Return an entry that ends with a field of nested lists."""
    return entry_with(**changes)[:-1] + b', "notes": ' + NESTED + b"}"


class TestEntriesOfTargets:
    @pytest.mark.parametrize("role", ["replica", "primary"])
    @pytest.mark.parametrize(
        "document",
        [
            pytest.param(nested_entry, id="nested lists"),
            pytest.param(
                partial(entry_with, address="a" * 300 + ":80"), id="host of 300 letters"
            ),
            pytest.param(partial(entry_with, address="a..b:80"), id="empty label"),
            pytest.param(partial(entry_with, slots=10**400), id="slots of 400 digits"),
            pytest.param(partial(entry_with, born=10**400), id="start of 400 digits"),
        ],
    )
    def test_that_cant_be_used_leave_the_others_in_force(
        self, tmp_path, document, role
    ):
        """Guards against an entry that hides the draining of a primary (DRAIN)."""

        async def check(deployment):
            stand_ins = deployment.stand_ins
            old, *_ = stand_ins.targets
            stand_ins.store.put("servers", "i-other", document(db_role=role))
            client = await deployment.connect()
            assert (await client.ask("w1", "WRITE item data"))[-2].startswith(
                "COMPLETE"
            )
            stand_ins.list_target(old, state="draining")
            await until(lambda: stand_ins.group.leader is not old.model, DRAIN_LIMIT_S)
            assert (await client.ask("w2", "WRITE item data"))[-2].startswith(
                "COMPLETE"
            )
            await deployment.start_daemon(tmp_path, "h1")
            client = await deployment.connect(daemon=1)
            assert (await client.ask("w3", "WRITE item data"))[-2].startswith(
                "COMPLETE"
            )
            known = deployment.daemons[1].gateway.directory
            assert known.get("i-other") is None

        run_deployed(tmp_path, check)

    @pytest.mark.parametrize("role", ["replica", "primary"])
    @pytest.mark.parametrize(
        ("owner", "name"),
        [
            (TargetDirectory, "put"),
            (LineDriver, "open"),
            (TargetPool, "probe"),
        ],
    )
    def test_that_raise_an_exception_leave_the_others_in_force(
        self, tmp_path, monkeypatch, owner, name, role
    ):
        """Guards against an error of one entry that ends a loop (DRAIN)."""
        method = getattr(owner, name)

        def fail_for_the_entry(subject, *args):
            entry = getattr(subject, "entry", None)
            if entry is not None and entry.id == "i-other":
                raise ZeroDivisionError
            if any(getattr(value, "id", value) == "i-other" for value in args):
                raise ZeroDivisionError
            return method(subject, *args)

        async def check(deployment):
            stand_ins = deployment.stand_ins
            old, *_ = stand_ins.targets
            stand_ins.store.put("servers", "i-other", entry_with(db_role=role))
            stand_ins.list_target(old, state="draining")
            await until(lambda: stand_ins.group.leader is not old.model, DRAIN_LIMIT_S)
            client = await deployment.connect()
            assert (await client.ask("w", "WRITE item data"))[-2].startswith("COMPLETE")

        monkeypatch.setattr(owner, name, fail_for_the_entry)
        run_deployed(tmp_path, check)


class TestEntriesOfOtherGroups:
    @pytest.mark.parametrize("state", ["ready", "draining"])
    def test_get_no_connection_and_no_promotion(self, tmp_path, state):
        """Guards against work at targets of a group that the catalog does not name."""
        connections = []

        async def check(deployment):
            server = await asyncio.start_server(
                lambda reader, writer: connections.append(writer), "127.0.0.1", 0
            )
            port = server.sockets[0].getsockname()[1]
            document = entry_with(
                service="other",
                address=f"127.0.0.1:{port}",
                db_role="primary",
                state=state,
            )
            deployment.stand_ins.store.put("servers", "i-other", document)
            await until(
                lambda: any(
                    event.detail["target"] == "i-other"
                    for event in deployment.events("target.listed")
                )
            )
            await asyncio.sleep(SOME_CHECKS_S)
            server.close()
            assert connections == []
            assert deployment.stand_ins.store.promotions == []

        run_deployed(tmp_path, check)

    def test_make_a_host_neither_ready_nor_check_more_often(self):
        """Guards against clients at a host that knows no target for them."""

        async def main():
            clock = VirtualClock()
            gateway = SessionGateway(
                "h", "z", DriverModel({}), clock, EventLog("h", "z", clock)
            )
            gateway.eras.record_fleet_read()
            gateway.put_target(TargetEntry("i-other", "other", "10.0.0.1:1", "z"))
            gateway.install_catalog(Catalog(1, {}, {GROUP: Group(GROUP)}))
            assert not gateway.ready
            assert not gateway._in_doubt()  # checks would be more frequent
            gateway.put_target(TargetEntry("i-1", GROUP, "10.0.0.1:2", "z"))
            assert gateway.ready

        run_virtual(main())


class TestRowsOfOtherParts:
    @pytest.mark.parametrize(
        ("table", "key"),
        [("servers", "g0-0"), ("op", "config"), ("fennelhill", "claim/g0")],
    )
    def test_are_not_those_of_the_same_name(self, tmp_path, table, key):
        """Guards against a row of another part that replaces a target or a catalog."""

        async def check(deployment):
            stand_ins = deployment.stand_ins
            documents = {
                "servers": json.loads(entry_with(address="127.0.0.1:9")),
                "op": {"version": 10**6},
                "fennelhill": {"holder": "h9", "nonce": "n", "target": "g0-1"},
            }
            stand_ins.store.put(table, key, documents[table], part="notes")
            version = stand_ins.configure()
            gateway = deployment.daemons[0].gateway
            await until(lambda: gateway.catalog.version >= version)
            await asyncio.sleep(SOME_CHECKS_S)
            client = await deployment.connect()
            assert (await client.ask("w", "WRITE item data"))[-2].startswith("COMPLETE")
            assert gateway.catalog.version == version
            target = stand_ins.targets[0]
            assert gateway.directory.get("g0-0").address == target.address
            assert gateway.replacement.claims.get("g0").claim is None

        run_deployed(tmp_path, check)
