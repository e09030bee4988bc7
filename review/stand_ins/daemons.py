"""Starts the project's daemon as separate processes, as the deploy file does."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import sys
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
START_LIMIT_S = 15.0
BOUNDS = {
    "seed_lag_s": 3,
    "addr_reuse_s": 2,
    "contact_ms": 4000,
    "ack_timeout_ms": 5000,
    "catch_up_s": 4,
    "drain_timeout_ms": 7000,
    "grace_s": 6,
    "loss_slack_ms": 200,
    "config_apply_ms": 3000,
    "back_ms": 250,
    "max_skew_ms": 12000,
    "recovery_s": 12,
    "fencing_required": True,
    "thaw_slack_ms": 300,
}


class Ports:
    """Finds free ports below those that the kernel gives to outgoing connections."""

    FIRST, LAST = 12_000, 31_000

    def __init__(self) -> None:
        self._taken: set[int] = set()

    def take(self, count: int) -> list[int]:
        """Return ports that nobody uses; they are not given out again."""
        ports: list[int] = []
        while len(ports) < count:
            port = random.randrange(self.FIRST, self.LAST)
            if port not in self._taken and _is_free(port):
                self._taken.add(port)
                ports.append(port)
        return ports


def _is_free(port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


class Daemon:
    """One daemon process.

    Parameters
    ----------
    name : str
        Name of its machine.
    folder : Path
        Folder for its settings file and its log.
    platform : str
        Address of the store and of the cloud interface.
    ports : list of int
        Four free ports.
    bounds : dict
        The bounds of the settings file.
    """

    def __init__(
        self, name: str, folder: Path, platform: str, ports: list[int], bounds: dict
    ) -> None:
        self.name = name
        self.clients = f"127.0.0.1:{ports[0]}"
        self.ready_probe = f"127.0.0.1:{ports[1]}"
        self._settings = folder / f"{name}.json"
        self._log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        document = {
            "node_name": name,
            "role": "entry",
            "machine_class": "frontend",
            "serves": ["frontend"],
            "ip": "127.0.0.1",
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": {"frontend": self.clients, "ready": self.ready_probe},
            "internal_ports": ports[2:4],
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpu_share": 0.537, "cpu_cores": 2, "memory_mb": 300},
            "heartbeat_ms": 1200,
            "bounds": bounds,
            "platform": {"address": platform, "form": "table"},
            "cloud_api": {"address": platform, "duties": ["promotion"]},
        }
        self._settings.write_text(json.dumps(document))

    async def start(self) -> None:
        """Start the process with the command and the variables of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        words = role["run"].split(" ")
        if words[0] == "python3":
            words[0] = sys.executable
        environment = {
            **{
                name: os.environ[name]
                for name in ("PATH", "HOME")
                if name in os.environ
            },
            **role.get("env", {}),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "FENNELHILL_NODE_FILE": str(self._settings),
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *words, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    async def is_ready(self) -> bool:
        """Return whether the ready probe answers 200."""
        ip, _, port = self.ready_probe.rpartition(":")
        try:
            async with asyncio.timeout(0.5):
                reader, writer = await asyncio.open_connection(ip, int(port))
                writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_until_ready(self, limit_s: float = START_LIMIT_S) -> bool:
        """Wait for the ready probe; return whether it answered 200 in time."""
        deadline_s = time.monotonic() + limit_s
        while time.monotonic() < deadline_s:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.process.send_signal(signal.SIGTERM)

    async def end(self) -> None:
        """Kill the process if it runs, and wait for its end."""
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()

    def log_text(self) -> str:
        """Return what the process has written."""
        return self._log.read_text() if self._log.exists() else ""
