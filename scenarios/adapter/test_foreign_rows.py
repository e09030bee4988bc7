"""Tests of rows that another writer has left in the tables of the store."""

from __future__ import annotations

import json
from functools import partial

import pytest
from adapter.targets import LineDriver
from adapter_deployment import run_deployed
from fennelhill_bench.platform_stand_ins.platform import GROUP, until
from fennelhilld.directory.state import TargetDirectory
from fennelhilld.links.pool import TargetPool

# Within the users' `drain_timeout_ms`.
DRAIN_LIMIT_S = 7.0
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
