"""Measurements of real processes: CPU time, memory and added latency."""

from __future__ import annotations

import asyncio
import random
import socket
import statistics
import time

import msgspec
from fennelhill_core.clock import MS_PER_S, Clock
from fennelhill_core.rpc import Request, Response
from fennelhill_core.tokens import Position
from fennelhill_core.websockets import WebSocketDialer
from fennelhilld.daemon import TARGET_PATH
from fennelhilld.targets.driver import JsonRpcDriver
from fennelhilld.targets.messages import Batch, Begin, End, Statement, Status

from fennelhill_bench.clients import Call, HttpClient
from fennelhill_bench.demo import demo_figures
from fennelhill_bench.deployment import TARGETS_PER_GROUP, Plan
from fennelhill_bench.processes import Processes, cpu_s, resident_bytes
from fennelhill_bench.rounds import ROUNDS, Figures

GROUP = "orders-1"
SETTLE_S = 2.0
LATENCY_CALLS = 400
THROUGHPUT_MEASUREMENT_S = 5.0
CALLERS = 16
IDLE_CONNECTIONS = 800
IDLE_SETTLE_S = 1.0
IDLE_MEASUREMENT_S = 6.0
GROUP_COUNTS = (2, 8, 16)
# IP and TCP headers with timestamps, and a masked WebSocket header.
HEADER_BYTES = 52 + 8
# Values in the messages whose size is measured.
SAMPLE_TERM = 3
SAMPLE_LOG_INDEX = 10**7
SAMPLE_REQUEST_ID = 2**47
TARGET_TIMEOUT_MS = 1_000.0
CONNECT_TIMEOUT_S = 2.0
RECEIVE_BUFFER_BYTES = 4096
BYTES_PER_MB = 1e6
US_PER_S = 1e6


def single_group_plan(hosts: int = 1) -> Plan:
    """Return a plan whose targets have enough slots not to limit the throughput.

    Parameters
    ----------
    hosts : int
        Entry hosts.

    Returns
    -------
    Plan
        The plan.
    """
    return Plan.bogota(hosts=hosts, groups=[GROUP], slots=16, connections=40)


@ROUNDS.register("demo")
class DemoRound:
    """The demonstration's load over sockets, then the figures of `DaemonRound`."""

    def run(self) -> Figures:
        """Yield the figures.

        Yields
        ------
        tuple
            Name and value.
        """
        yield from asyncio.run(demo_figures())
        yield from _daemon_figures()


@ROUNDS.register("daemon")
class DaemonRound:
    """Latency, throughput per core and memory of daemons that run as processes."""

    def run(self) -> Figures:
        """Yield the figures.

        Yields
        ------
        tuple
            Name and value.
        """
        yield from _daemon_figures()


@ROUNDS.register("capacity")
class CapacityRound:
    """CPU time and memory per monitored group in an idle daemon (docs/CAPACITY.md)."""

    def run(self) -> Figures:
        """Yield CPU time and memory for several numbers of groups.

        Yields
        ------
        tuple
            Name and value.
        """
        core_shares, memory_bytes = [], []
        for groups in GROUP_COUNTS:
            # Pools of the same size as in Bogotá, because checks of idle connections
            # cost CPU time too.
            names = [f"orders-{number + 1}" for number in range(groups)]
            plan = Plan.bogota(hosts=1, groups=names)
            with Processes(plan, instant=True) as processes:
                daemon = next(iter(processes.daemons.values()))
                time.sleep(SETTLE_S)
                before_s = cpu_s(daemon)
                time.sleep(IDLE_MEASUREMENT_S)
                core_shares.append((cpu_s(daemon) - before_s) / IDLE_MEASUREMENT_S)
                memory_bytes.append(resident_bytes(daemon))
            yield f"idle_core_share_{groups}_groups", core_shares[-1]
            yield f"resident_mb_{groups}_groups", memory_bytes[-1] / BYTES_PER_MB
        span = GROUP_COUNTS[-1] - GROUP_COUNTS[0]
        yield "core_share_a_group", (core_shares[-1] - core_shares[0]) / span
        yield "bytes_a_group", (memory_bytes[-1] - memory_bytes[0]) / span
        yield "status_exchange_bytes", _status_exchange_bytes()
        rounds_per_s = MS_PER_S / single_group_plan().limits.idle_sample_ms
        watch_bytes = TARGETS_PER_GROUP * rounds_per_s * _status_exchange_bytes()
        yield "watch_bytes_per_s_a_group", watch_bytes


def _status_exchange_bytes() -> float:
    """Return the bytes on the wire of one status request and its response."""
    status = Status(
        "orders-100-a",
        SAMPLE_TERM,
        True,
        Position(SAMPLE_TERM, SAMPLE_LOG_INDEX),
        SAMPLE_TERM,
        "orders-100-b",
    )
    request = Request("status", msgspec.Raw(b"{}"), SAMPLE_REQUEST_ID)
    response = Response(SAMPLE_REQUEST_ID, msgspec.Raw(msgspec.json.encode(status)))
    payload = len(msgspec.json.encode(request)) + len(msgspec.json.encode(response))
    return payload + 2 * HEADER_BYTES


def _daemon_figures() -> Figures:
    with Processes(single_group_plan(), instant=True) as processes:
        time.sleep(SETTLE_S)
        yield from asyncio.run(_latency_figures(processes))
        yield from asyncio.run(_throughput_figures(processes, "one_host"))
        yield from _memory_figures(processes)
    with Processes(single_group_plan(hosts=2), instant=True) as processes:
        time.sleep(SETTLE_S)
        yield from asyncio.run(_throughput_figures(processes, "with_hops"))


async def _latency_figures(processes: Processes) -> Figures:
    """Compare the latency of a read through the daemon with a read at a target."""
    clock = Clock()
    client = HttpClient(processes.addresses())
    host = next(iter(processes.daemons))
    session = (await client.call(host, Call("session"))).session
    call = Call("execute", GROUP, "SELECT 1", [], "status", session)
    driver = JsonRpcDriver(
        WebSocketDialer(TARGET_PATH), random.Random(1), processes.settings.limits
    )
    target = processes.settings.groups[GROUP].targets[1]
    connection = await driver.connect(target.address, TARGET_TIMEOUT_MS)
    batch = Batch([Statement("SELECT 1")], begin=Begin.READ, end=End.COMMIT, reset=True)
    proxied_ms, direct_ms = [], []
    for _ in range(LATENCY_CALLS):
        outcome = await client.call(host, call)
        proxied_ms.append(outcome.latency_ms)
        started_ms = clock.now_ms()
        await connection.run(batch, TARGET_TIMEOUT_MS)
        direct_ms.append(clock.now_ms() - started_ms)
    connection.close()
    await client.close()
    added_ms = statistics.median(proxied_ms) - statistics.median(direct_ms)
    return [
        ("direct_p50_ms", statistics.median(direct_ms)),
        ("proxied_p50_ms", statistics.median(proxied_ms)),
        ("added_latency_ratio", added_ms / statistics.median(direct_ms)),
    ]


async def _throughput_figures(processes: Processes, prefix: str) -> Figures:
    """Measure one host's throughput with closed-loop callers, and all daemons' CPU."""
    client = HttpClient(processes.addresses())
    entry = next(iter(processes.daemons))
    session = (await client.call(entry, Call("session"))).session
    figures = []
    for name, sql, class_name in (
        ("reads", "SELECT 1", "status"),
        ("writes", "CREATE TABLE IF NOT EXISTS t (x)", "order"),
    ):
        cpu_before_s = {host: cpu_s(p) for host, p in processes.daemons.items()}
        call = Call("execute", GROUP, sql, [], class_name, session)
        started_s = time.monotonic()
        counts = await asyncio.gather(
            *(_count_answers(client, entry, call, started_s) for _ in range(CALLERS))
        )
        elapsed_s = time.monotonic() - started_s
        cpu_spent_s = sum(
            cpu_s(p) - cpu_before_s[host] for host, p in processes.daemons.items()
        )
        figures += [
            (f"{prefix}_{name}_per_s", sum(counts) / elapsed_s),
            (f"{prefix}_{name}_per_core_s", sum(counts) / cpu_spent_s),
            (f"{prefix}_{name}_core_us_each", cpu_spent_s * US_PER_S / sum(counts)),
        ]
    await client.close()
    return figures


async def _count_answers(
    client: HttpClient, host: str, call: Call, started_s: float
) -> int:
    """Repeat a call for the time of the measurement, and count its answers."""
    count = 0
    while time.monotonic() < started_s + THROUGHPUT_MEASUREMENT_S:
        outcome = await client.call(host, call)
        count += outcome.answer is not None
    return count


def _memory_figures(processes: Processes) -> Figures:
    """Measure the daemon's memory, and the memory for each idle client connection."""
    host, daemon = next(iter(processes.daemons.items()))
    ip, _, port = processes.addresses()[host].rpartition(":")
    before = resident_bytes(daemon)
    sockets = []
    for _ in range(IDLE_CONNECTIONS):
        idle_socket = socket.create_connection((ip, int(port)), CONNECT_TIMEOUT_S)
        # A connection that has served a request takes more memory than a new one.
        idle_socket.sendall(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
        idle_socket.recv(RECEIVE_BUFFER_BYTES)
        sockets.append(idle_socket)
    time.sleep(IDLE_SETTLE_S)
    each = (resident_bytes(daemon) - before) / IDLE_CONNECTIONS
    for idle_socket in sockets:
        idle_socket.close()
    yield "daemon_resident_mb", before / BYTES_PER_MB
    yield "bytes_per_idle_connection", each
