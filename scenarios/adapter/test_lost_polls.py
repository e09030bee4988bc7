"""Tests of what hosts know although the store never answered a poll."""

from __future__ import annotations

import asyncio

import pytest
from adapter.store import FLEET_TABLE, StoreClient
from adapter_deployment import run_deployed
from fennelhill_bench.platform_stand_ins.platform import DATABASES, until
from fennelhill_core.platform import StoreVersion
from fennelhill_core.sockets import MAX_CONCURRENT_REQUESTS

TABLES = 3
SILENCE_S = 1.0
# Hosts count as connected again this long after the store has come back, and must then
# act on what it holds.
CONTACT_S = 4.0
ADDED = {**DATABASES, "added": "primary"}


async def lose_polls(deployment):
    """Let each host send a poll that the store never answers."""
    stand_ins, daemons = deployment.stand_ins, deployment.daemons
    await until(lambda: stand_ins.store.waiting_polls == TABLES * len(daemons))
    # The changes end the polls in progress; the next ones arrive while it is silent.
    version = stand_ins.configure()
    stand_ins.list_target(stand_ins.targets[2], "draining")
    stand_ins.store.put("fennelhill", "other", {})
    stand_ins.store.fault = "silent"
    await until(lambda: all(d.gateway.catalog.version == version for d in daemons))
    await asyncio.sleep(SILENCE_S)
    stand_ins.store.fault = ""


@pytest.mark.parametrize("hosts", [1, 3])
class TestStoreThatWasSilent:
    def test_does_not_delay_a_configuration(self, tmp_path, hosts):
        # Databases that had been dropped were served for 30 s.
        async def check(deployment):
            await lose_polls(deployment)
            version = deployment.stand_ins.configure(ADDED)
            await until(
                lambda: all(
                    daemon.gateway.catalog.version == version
                    for daemon in deployment.daemons
                ),
                CONTACT_S,
            )

        run_deployed(tmp_path, check, hosts)

    def test_does_not_delay_the_notice_of_a_leaving_target(self, tmp_path, hosts):
        # Work was sent to a target for 30 s after it had announced its end.
        async def check(deployment):
            await lose_polls(deployment)
            target = deployment.stand_ins.targets[1]
            deployment.stand_ins.list_target(target, "draining")
            await until(
                lambda: all(
                    daemon.gateway.directory.get(target.model.id).leaving
                    for daemon in deployment.daemons
                ),
                CONTACT_S,
            )

        run_deployed(tmp_path, check, hosts)

    def test_does_not_delay_the_notice_of_a_new_host(self, tmp_path, hosts):
        # A promotion would have counted and asked too few hosts for 30 s.
        async def check(deployment):
            await lose_polls(deployment)
            running = list(deployment.daemons)
            await deployment.start_daemon(tmp_path, "added")
            await until(
                lambda: all("added" in d.gateway.roster.addresses for d in running),
                CONTACT_S,
            )

        run_deployed(tmp_path, check, hosts)


class TestPollsThatWereGivenUp:
    def test_leave_room_for_other_calls(self, tmp_path):
        # They count as requests in progress, and further calls waited for them.
        async def check(deployment):
            gateway = deployment.daemons[0].gateway
            await until(lambda: gateway.renewal.registered)
            store = StoreClient(deployment.stand_ins.address, gateway.eras)
            _, version = await store.read_table(FLEET_TABLE)
            stand_in = deployment.stand_ins.store
            await until(lambda: stand_in.waiting_polls == TABLES)
            polls = [
                asyncio.ensure_future(store.changes(FLEET_TABLE, StoreVersion(version)))
                for _ in range(2 * MAX_CONCURRENT_REQUESTS)
            ]
            await until(lambda: stand_in.waiting_polls == TABLES + len(polls))
            for poll in polls:
                poll.cancel()
            async with asyncio.timeout(1.0):
                await store.read_table(FLEET_TABLE)

        run_deployed(tmp_path, check)
