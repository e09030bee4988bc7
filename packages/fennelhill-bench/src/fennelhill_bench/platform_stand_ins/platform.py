"""A small deployment on the platform's stand-ins, on the loopback interface."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

import yaml
from fennelhill_core.clock import Clock
from tornado.httpserver import HTTPServer

from fennelhill_bench.loopback import ReservedPorts
from fennelhill_bench.platform_stand_ins.lineserver import (
    LineTarget,
    OrganisationCheck,
)
from fennelhill_bench.platform_stand_ins.store import StoreStandIn
from fennelhill_bench.session_simulation.checks import RunRecorder
from fennelhill_bench.session_simulation.targets import (
    TARGETS_PER_GROUP,
    GroupModel,
    LinkModel,
    Traits,
)

GROUP = "g0"
DATABASES = {"current": "primary", "aged": "bounded_stale", "own": "read_own"}
MAX_AGE_MS = 1_500
VERSION_STEP = 3
POLL_INTERVAL_S = 0.01


class PlatformStandIns:
    """Store, order interface and one group of three targets; settings for daemons."""

    def __init__(self, traits: Traits | None = None) -> None:
        self.clock = Clock()
        self.store = StoreStandIn()
        self.observer = RunRecorder()
        self.group = GroupModel(
            GROUP,
            TARGETS_PER_GROUP,
            traits or Traits(),
            self.clock,
            random.Random(1),
            self.observer,
        )
        self.check = OrganisationCheck()
        self.targets = [
            LineTarget(model, self.check) for model in self.group.targets.values()
        ]
        # The configuration's organisations; None for a configuration without any.
        self.organisations: list | None = None
        self.public: set[str] = set()
        self.bounds: dict = {"grace_s": 4}
        # Connections that the configuration allows to each target.
        self.max_connections = 16
        self.version = 0
        self.address = ""
        self._ports = ReservedPorts()
        self._server: HTTPServer | None = None

    async def start(self) -> None:
        """Start all servers; write configuration and targets to the store."""
        self._server = HTTPServer(self.store.application())
        self.address = self._ports.reserve()
        ip, _, port = self.address.rpartition(":")
        self._server.listen(int(port), ip)
        self.store.promote = self._promote
        for target in self.targets:
            await target.start()
            self.list_target(target)
        self.configure()

    def stop(self) -> None:
        """Stop all servers."""
        self._server.stop()
        for target in self.targets:
            target.stop()
        self._ports.release()

    def open_links(self) -> list[LinkModel]:
        """Return the open links between daemons and targets."""
        return [link for target in self.targets for link in target.model.links]

    def configure(self, databases: dict[str, str] | None = None) -> int:
        """Write a new version of the configuration; return the version."""
        self.version += VERSION_STEP
        routes = [
            {
                "name": f"r-{name}",
                "host": name,
                "kind": kind,
                "timeout_ms": 800,
                "latency_goal_ms": 200,
                "priority": 1,
                "service": GROUP,
                "max_staleness_ms": MAX_AGE_MS,
                "public": name in self.public,
            }
            for name, kind in (databases or DATABASES).items()
        ]
        document = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": GROUP, "max_conns": self.max_connections}],
            "limits": {"tx_idle_ms": 400, "header_timeout_ms": 500},
        }
        if self.organisations is not None:
            document["tenants"] = self.organisations
        self.check.configure(self.organisations, self.public)
        self.store.put("op", "config", document)
        return self.version

    def list_target(self, target: LineTarget, state: str = "ready") -> None:
        """Write a target's entry to the store."""
        model = target.model
        document = {
            "service": GROUP,
            "address": target.address,
            "zone": "a",
            "version": "v1",
            "slots": model.traits.slots,
            "state": state,
            "cold_left_ms": 0,
            "db_role": "primary" if model.leads else "replica",
            "sequence": 1,
            "born": 1_790_000_000_000,
        }
        self.store.put("servers", model.id, document)

    def node_file(self, folder: Path, name: str) -> tuple[Path, dict]:
        """Write the settings file of a daemon; return its path and its content."""
        settings = {
            "node_name": name,
            "ip": "127.0.0.1",
            "zone": "a",
            "listen": {
                "frontend": self._ports.reserve(),
                "ready": self._ports.reserve(),
            },
            "internal_ports": [
                int(self._ports.reserve().rpartition(":")[2]) for _ in range(2)
            ],
            "platform": {"address": self.address, "form": "table"},
            "cloud_api": {"address": self.address},
            "bounds": self.bounds,
        }
        path = folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        return path, settings

    def _promote(self, group: str, target_id: str) -> None:
        self.group.spawn(self._complete_promotion(target_id))

    async def _complete_promotion(self, target_id: str) -> None:
        await self.group.promote(target_id)
        for target in self.targets:
            if target.model.up:
                self.list_target(target)


async def until(condition: object, limit_s: float = 5.0) -> None:
    """Wait until a condition holds; raises `TimeoutError`."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + limit_s
    while not condition():
        if loop.time() > deadline_s:
            raise TimeoutError("the condition did not hold in time")
        await asyncio.sleep(POLL_INTERVAL_S)
