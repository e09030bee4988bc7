"""Daemons as separate processes beside the stand-ins, and clients of them."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

from platform_2 import Server, Service, Store, now_s

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ["python3", "-S", "-OO", "target/app/main.py"]
READY_LIMIT_S = 20.0


def free_ports(addresses: list[str], count: int) -> list[int]:
    """Return ports that are free on all addresses."""
    found: list[int] = []
    candidate = 20_000 + (os.getpid() * 17) % 10_000
    while len(found) < count:
        candidate += 1
        with contextlib.ExitStack() as stack:
            try:
                for address in addresses:
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        probe = stack.enter_context(socket.socket(socket.AF_INET, kind))
                        probe.bind((address, candidate))
            except OSError:
                continue
        found.append(candidate)
    return found


class Recorder:
    """Writes what was sent, answered and run to a file.

    Parameters
    ----------
    path : Path
        The file.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_s = now_s()

    def at(self) -> float:
        """Return the time since the start in seconds."""
        return now_s() - self._started_s

    def __call__(self, event: str, **fields: object) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.at():8.3f} {event} {text}".rstrip() + "\n")
        self._file.flush()


class Deployment:
    """A small deployment: store, promotion call, one service and some daemons.

    Parameters
    ----------
    record : Recorder
        Takes all events.
    hosts : int
        Number of daemons.
    sync_replicas : int
        Of the service.
    """

    ZONES = ("zone-a", "zone-b", "zone-c")
    SERVICE = "orders"

    def __init__(self, record: Recorder, hosts: int, sync_replicas: int = 0) -> None:
        self.record = record
        self.store = Store()
        self.service = Service(self.store, self.SERVICE, sync_replicas, record)
        self.addresses = [f"127.0.0.{11 + index}" for index in range(hosts)]
        self.ports = free_ports(["127.0.0.1", *self.addresses], 6)
        self.processes: dict[int, subprocess.Popen] = {}
        self._folder = tempfile.TemporaryDirectory()
        self.version = 0

    async def start(self) -> None:
        """Start the stand-ins, and write the configuration and the servers."""
        await self.store.http.start("127.0.0.1", self.ports[4])
        await self.service.http.start("127.0.0.1", self.ports[5])
        for zone in self.ZONES:
            server = Server(self.service, f"i-{zone[-1]}", zone)
            self.service.servers.append(server)
            await server.start()
        self.service.servers[0].leads = True
        for server in self.service.servers:
            server.report()
        self.configure()

    def configure(self) -> None:
        """Write the configuration."""
        self.version += 3
        kinds = {"current": "primary", "aged": "bounded_stale", "own": "read_own"}
        routes = [
            {
                "name": f"r-{database}",
                "host": database,
                "prefix": "/",
                "kind": kind,
                "timeout_ms": 800,
                "latency_goal_ms": 200,
                "priority": 1,
                "service": self.SERVICE,
                "max_attempts": 2,
                "max_staleness_ms": 1500,
            }
            for database, kind in kinds.items()
        ]
        service = {
            "name": self.SERVICE,
            "health_path": "/healthz",
            "max_conns": Server.MAX_CONNECTIONS,
            "protocol": "h1",
            "tls": False,
            "sync_replicas": self.service.sync_replicas,
        }
        limits = {"header_timeout_ms": 3000, "idle_timeout_ms": 15000}
        self.store.put(
            "op",
            "config",
            {
                "version": self.version,
                "routes": routes,
                "services": [service],
                "limits": limits | {"tx_idle_ms": 3000},
            },
        )

    def start_host(self, index: int) -> None:
        """Start one daemon with the command of the deploy file."""
        address, ports = self.addresses[index], self.ports
        settings = {
            "node_name": f"host-{index}",
            "role": "entry",
            "machine_class": "frontend",
            "serves": ["frontend"],
            "ip": address,
            "zone": self.ZONES[index % len(self.ZONES)],
            "region": "region",
            "zones": dict.fromkeys(self.ZONES, "region"),
            "listen": {
                "frontend": f"{address}:{ports[0]}",
                "ready": f"{address}:{ports[1]}",
            },
            "internal_ports": [ports[2], ports[3]],
            "seeds": [],
            "bootstrap": True,
            "limits": {"cpu_share": 0.537, "cpu_cores": 2, "memory_mb": 300},
            "data_dir": None,
            "heartbeat_ms": 1200,
            "bounds": {
                "contact_ms": 4000,
                "drain_timeout_ms": 7000,
                "grace_s": 6,
                "config_apply_ms": 3000,
                "recovery_s": 12,
                "fencing_required": True,
            },
            "platform": {"address": f"127.0.0.1:{ports[4]}", "form": "table"},
            "cloud_api": {"address": f"127.0.0.1:{ports[5]}"},
        }
        path = Path(self._folder.name) / f"node-{index}.json"
        path.write_text(json.dumps(settings))
        log = (Path(self._folder.name) / f"log-{index}").open("a")
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env |= {
            "FENNELHILL_NODE_FILE": str(path),
            "SSL_CERT_FILE": "/dev/null",
            "SSL_CERT_DIR": "/dev/null",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        self.processes[index] = subprocess.Popen(
            COMMAND, cwd=ROOT, env=env, stdout=log, stderr=log
        )

    async def until_ready(self, indexes: list[int]) -> bool:
        """Wait until daemons report that they are ready."""
        deadline_s = now_s() + READY_LIMIT_S
        for index in indexes:
            while not await self._ready(index):
                if now_s() > deadline_s:
                    return False
                await asyncio.sleep(0.1)
        return True

    async def _ready(self, index: int) -> bool:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(
                self.addresses[index], self.ports[1]
            )
            writer.write(
                b"GET /-/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
            )
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
        return False

    def kill_host(self, index: int) -> None:
        """End a daemon with SIGKILL."""
        self.processes.pop(index).send_signal(signal.SIGKILL)

    def logged(self, *kinds: str) -> list[str]:
        """Return the daemons' log lines of some kinds."""
        lines = []
        for path in sorted(Path(self._folder.name).glob("log-*")):
            for line in path.read_text().splitlines():
                with contextlib.suppress(ValueError):
                    event = json.loads(line)
                    if event.get("message") in kinds:
                        lines.append(f"{path.name} {line}")
        return lines

    def stop(self) -> None:
        """End all daemons."""
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self._folder.cleanup()


class Client:
    """A client's session."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address: str, port: int, database: str) -> Client:
        """Open a session; raises `OSError` if it is refused."""
        reader, writer = await asyncio.open_connection(address, port)
        writer.write(f"STARTUP {database} user\r\n".encode())
        client = cls(reader, writer)
        if not (await client._line()).startswith("READY"):
            writer.close()
            raise OSError("the session was refused")
        return client

    async def ask(self, request_id: str, text: str) -> list[str]:
        """Run a statement; return the lines of its answer, which READY ends."""
        self.writer.write(f"QUERY {request_id} {text}\r\n".encode())
        lines = [await self._line()]
        while lines[-1] and not lines[-1].startswith("READY"):
            lines.append(await self._line())
        return lines

    async def _line(self) -> str:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            return (await self.reader.readuntil(b"\r\n"))[:-2].decode()
        return ""

    def close(self) -> None:
        """Close the session."""
        self.writer.close()


def request_id() -> str:
    """Return a new request id."""
    return f"{time.monotonic_ns():x}{os.urandom(3).hex()}"
