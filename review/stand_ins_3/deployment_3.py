"""A small deployment on loopback: daemons of the deploy file beside the stand-ins."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

from fennelhill_bench.loopback import ReservedPorts
from fennelhill_bench.platform_stand_ins.lineserver import LineClient
from fennelhill_bench.platform_stand_ins.platform import GROUP, PlatformStandIns

ROOT = Path(__file__).resolve().parents[2]
# The command of the deploy file.
COMMAND = ["python3", "-S", "-OO", "target/app/main.py"]
# As on the sheets of the deployments with tenants.
BOUNDS = {
    "contact_ms": 5_000,
    "drain_timeout_ms": 10_000,
    "grace_s": 6,
    "config_apply_ms": 5_000,
    "revoke_strict": False,
    "revoke_ms": 5_000,
    "fencing_required": True,
}
START_LIMIT_S = 20.0


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self._started_s

    def write(self, text: str) -> None:
        """Write one line."""
        print(f"{self.now_s():8.3f} s  {text}", file=self._file, flush=True)


class Daemon:
    """One daemon, started with the command of the deploy file."""

    def __init__(self, name: str, settings: dict, folder: Path) -> None:
        self.name = name
        self.settings = settings
        self.clients = settings["listen"]["frontend"]
        self._file = folder / f"{name}.json"
        self._file.write_text(json.dumps(settings))
        self._log = (folder / f"{name}.log").open("ab")
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process."""
        variables = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        self.process = await asyncio.create_subprocess_exec(
            *COMMAND,
            cwd=ROOT,
            env={
                **variables,
                "PYTHONPATH": "target/deps",
                "FENNELHILL_NODE_FILE": str(self._file),
                "SSL_CERT_FILE": "/dev/null",
                "SSL_CERT_DIR": "/dev/null",
            },
            stdout=self._log,
            stderr=self._log,
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def ended(self, limit_s: float) -> int | None:
        """Return how the process has ended; None if it still runs after a time."""
        try:
            return await asyncio.wait_for(self.process.wait(), limit_s)
        except TimeoutError:
            return None

    async def stop(self) -> None:
        """End the process."""
        if self.process is None:
            return
        self.send_signal(signal.SIGTERM)
        if await self.ended(8.0) is None:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()


class Deployment:
    """The stand-ins of the platform and of one group of three targets, and daemons."""

    def __init__(self, folder: Path, hosts: int) -> None:
        self.stand_ins = PlatformStandIns()
        self.stand_ins.bounds = BOUNDS
        self._ports = ReservedPorts()
        self._folder = folder
        self._hosts = hosts
        self.daemons: list[Daemon] = []

    async def start_stand_ins(self) -> None:
        """Start store, order interface and targets."""
        await self.stand_ins.start()
        for number in range(self._hosts):
            name = f"frontend-a-{number + 1}"
            self.daemons.append(Daemon(name, self._settings(name), self._folder))

    def configure(self, version: int, tenants: list | None, timeout_ms: int) -> None:
        """Write a version of the configuration; the store acknowledges it at once."""
        kinds = {"current": "primary", "aged": "bounded_stale", "own": "read_own"}
        document = {
            "version": version,
            "routes": [
                {
                    "name": f"r-{name}",
                    "host": name,
                    "kind": kind,
                    "timeout_ms": timeout_ms,
                    "latency_goal_ms": 200,
                    "priority": 1,
                    "service": GROUP,
                    "max_staleness_ms": 1_500,
                    "public": False,
                }
                for name, kind in kinds.items()
            ],
            "services": [{"name": GROUP, "max_conns": 16, "sync_replicas": 0}],
            "limits": {"tx_idle_ms": 3_000, "header_timeout_ms": 3_000},
        }
        if tenants is not None:
            document["tenants"] = tenants
        # So that the targets record for whom each statement runs.
        self.stand_ins.check.configure(tenants, set())
        self.stand_ins.store.put("op", "config", document)

    async def wait_until_served(self, database: str, key: str) -> None:
        """Wait until every daemon opens a session and serves a read."""
        deadline_s = time.monotonic() + START_LIMIT_S
        for daemon in self.daemons:
            while not await self._serves(daemon, database, key):
                if time.monotonic() > deadline_s:
                    raise TimeoutError(f"{daemon.name} does not serve")
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """End all processes and servers."""
        await asyncio.gather(*(daemon.stop() for daemon in self.daemons))
        self.stand_ins.stop()
        self._ports.release()

    async def _serves(self, daemon: Daemon, database: str, key: str) -> bool:
        try:
            client = await LineClient.connect(daemon.clients)
        except OSError:
            return False
        try:
            if not (await client.start(database, key)).startswith("READY"):
                return False
            answer = await client.ask("c0", "READ 1")
            return not answer[0].startswith("ERROR") and bool(answer[-1])
        finally:
            client.close()

    def _settings(self, name: str) -> dict:
        ports = [self._ports.reserve() for _ in range(4)]
        return {
            "node_name": name,
            "role": "entry",
            "machine_class": "frontend",
            "serves": ["frontend"],
            "ip": "127.0.0.1",
            "zone": "a",
            "region": "r",
            "listen": {"frontend": ports[0], "ready": ports[1]},
            "internal_ports": sorted(
                int(port.rpartition(":")[2]) for port in ports[2:]
            ),
            "limits": {
                "cpu_share": 0.537,
                "cpu_cores": 2,
                "memory_mb": 300,
                "max_fds": 4_300,
            },
            "heartbeat_ms": 1_200,
            "bounds": BOUNDS,
            "platform": {"address": self.stand_ins.address, "form": "table"},
            "cloud_api": {
                "address": self.stand_ins.address,
                "duties": ["promotion"],
                "duty_per_s": 50.0,
            },
        }


def run_case(case: object) -> None:
    """Run a case, and exit with its result; 2 if it could not run."""
    try:
        result = asyncio.run(case)
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    sys.exit(result)
