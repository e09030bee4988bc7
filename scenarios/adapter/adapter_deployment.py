"""Daemons on sockets with stand-ins for the users' platform, for tests."""

from __future__ import annotations

import asyncio

from adapter.daemon import PlatformDaemon
from adapter.node import load_node_settings
from fennelhill_bench.platform_stand_ins.lineserver import LineClient
from fennelhill_bench.platform_stand_ins.platform import PlatformStandIns, until
from fennelhill_bench.session_simulation.targets import Traits
from fennelhill_core.sockets import http_client

FAST_TRAITS = {"set_up_ms": 1.0, "service_ms": 1.0, "lag_ms": 5.0, "promote_ms": 200.0}
SERVED_ATTEMPTS = 100
SERVED_RETRY_S = 0.05


class DeploymentFixture:
    def __init__(self, stand_ins, daemons):
        self.stand_ins = stand_ins
        self.daemons = daemons

    async def start(self, database="current", daemon=0, key="user"):
        address = self.daemons[daemon].settings.listen.clients
        client = await LineClient.connect(address, self.stand_ins.check)
        return client, await client.start(database, key)

    async def connect(self, database="current", daemon=0, key="user"):
        client, answer = await self.start(database, daemon, key)
        assert answer == "READY I -"
        return client

    async def wait_until_served(self, daemon):
        for attempt in range(SERVED_ATTEMPTS):
            client = await self.connect(daemon=daemon)
            answer = await client.ask(f"served{attempt}", "READ item")
            client.close()
            if not answer[0].startswith("ERROR"):
                return
            await asyncio.sleep(SERVED_RETRY_S)
        raise TimeoutError(f"daemon {daemon} does not serve: {answer[0]}")

    async def start_daemon(self, tmp_path, name):
        path, _ = self.stand_ins.node_file(tmp_path, name)
        daemon = PlatformDaemon(load_node_settings(str(path)))
        self.daemons.append(daemon)
        await daemon.start()
        await until(lambda: daemon.gateway.ready)

    def events(self, kind, daemon=0):
        events = self.daemons[daemon].events.since(0)
        return [event for event in events if event.kind == kind]

    async def ready_status(self, daemon=0):
        address = self.daemons[daemon].settings.listen.ready_probe
        url = f"http://{address}/-/readyz"
        return (await http_client().fetch(url, raise_error=False)).code


def run_deployed(tmp_path, check, hosts=1, prepare=None, **traits):
    async def run():
        stand_ins = PlatformStandIns(Traits(**{**FAST_TRAITS, **traits}))
        if prepare is not None:
            prepare(stand_ins)
        await stand_ins.start()
        daemons = []
        for number in range(hosts):
            path, _ = stand_ins.node_file(tmp_path, f"h{number}")
            daemons.append(PlatformDaemon(load_node_settings(str(path))))
        for daemon in daemons:
            await daemon.start()
        try:
            await until(lambda: all(daemon.gateway.ready for daemon in daemons))
            await until(
                lambda: all(
                    len(daemon.gateway.roster) == hosts - 1 for daemon in daemons
                )
            )
            await check(DeploymentFixture(stand_ins, daemons))
        finally:
            for daemon in daemons:
                daemon.feeds.close()
                daemon.intake.close()
                daemon.revocation.close()
                daemon.tasks.cancel()
                daemon.gateway.close()
            stand_ins.stop()
        assert stand_ins.check.problems == []

    asyncio.run(run())
