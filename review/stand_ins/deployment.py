"""A small deployment: platform, one service of three backends, and daemons."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.stand_ins.backends import Service, Traits
from review.stand_ins.daemons import BOUNDS, Daemon, Ports
from review.stand_ins.record import Record
from review.stand_ins.store import PlatformStandIn
from review.stand_ins.verdict import Verdict

SERVICE = "dele69a"
LIMIT_S = 110.0
DATABASES = {
    "current": ("primary", 0),
    "aged": ("bounded_stale", 1500),
    "own": ("read_own", 2500),
}


class Deployment:
    """Starts and ends everything that a script needs.

    Parameters
    ----------
    folder : Path
        Temporary folder.
    daemons : int
        Number of daemons.
    traits : Traits
        How the backends behave.
    bounds : dict
        Bounds of the settings file.
    """

    def __init__(
        self, folder: Path, daemons: int, traits: Traits, bounds: dict
    ) -> None:
        self.record = Record()
        self._bounds = bounds
        self.traits = traits
        self.platform = PlatformStandIn(self._promote)
        self.service = Service(SERVICE, self.platform, self.record, traits)
        self._folder = folder
        self._ports = Ports()
        self._count = daemons
        self.daemons: list[Daemon] = []
        # Handles the platform's promote calls.
        self.promote = self.service.promote

    async def start(self) -> bool:
        """Start all parts; return whether all daemons became ready."""
        await self.platform.start()
        await self.service.start()
        self.configure(1)
        for _ in range(self._count):
            await self.add_daemon()
        ready = [await daemon.wait_until_ready() for daemon in self.daemons]
        return all(ready)

    async def add_daemon(self) -> Daemon:
        """Start one more daemon."""
        name = f"frontend-{len(self.daemons)}"
        ports = self._ports.take(4)
        daemon = Daemon(name, self._folder, self.platform.address, ports, self._bounds)
        self.daemons.append(daemon)
        await daemon.start()
        return daemon

    def configure(self, version: int) -> None:
        """Write a configuration as the operator does."""
        routes = [
            {
                "name": f"r-{name}",
                "host": name,
                "prefix": "/",
                "kind": kind,
                "timeout_ms": 800,
                "latency_goal_ms": 200,
                "priority": 1,
                "service": SERVICE,
                "max_attempts": 2,
                "max_staleness_ms": max_age_ms,
            }
            for name, (kind, max_age_ms) in DATABASES.items()
        ]
        service = {
            "name": SERVICE,
            "health_path": "/healthz",
            "max_conns": self.traits.max_conns,
            "sync_replicas": self.traits.sync_replicas,
        }
        limits = {"tx_idle_ms": 3000, "header_timeout_ms": 3000}
        document = {
            "version": version,
            "routes": routes,
            "services": [service],
            "limits": limits,
        }
        self.platform.put("op", "config", document)

    async def stop(self) -> None:
        """End all processes and servers."""
        for daemon in self.daemons:
            await daemon.end()
        self.service.stop()
        self.platform.stop()

    async def _promote(self, service: str, name: str, token: int) -> int:
        return await self.promote(service, name, token)


def run_case(
    script: str,
    daemons: int,
    traits: Traits,
    play: Callable[[Deployment, bool], Awaitable[Verdict]],
    **bounds: object,
) -> None:
    """Play a case, write its record, and end with the exit status of the verdict.

    Parameters
    ----------
    script : str
        Path of the script; ``record.txt`` is written beside it.
    daemons : int
        Number of daemons.
    traits : Traits
        How the backends behave.
    play : callable
        Plays the case; gets the deployment, and whether the disruption takes place.
    **bounds : object
        Bounds of the settings file that differ from `BOUNDS`.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run() -> Verdict:
        with tempfile.TemporaryDirectory() as folder:
            deployment = Deployment(Path(folder), daemons, traits, {**BOUNDS, **bounds})
            try:
                async with asyncio.timeout(LIMIT_S):
                    if not await deployment.start():
                        return Verdict(2, "a daemon did not become ready")
                    return await play(deployment, trouble)
            except TimeoutError:
                return Verdict(2, "the case took too long")
            finally:
                await deployment.stop()
                record = Path(script).parent / "record.txt"
                deployment.record.write(record)

    verdict = asyncio.run(run())
    print(verdict.text)
    sys.exit(verdict.status)
