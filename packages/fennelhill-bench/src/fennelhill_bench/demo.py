"""Demonstration: a primary of the Bogotá deployment crashes under load."""

from __future__ import annotations

import sys
import time

from fennelhill_core.clock import Clock

from fennelhill_bench.clients import HttpClient
from fennelhill_bench.deployment import Deployment, Plan
from fennelhill_bench.ledger import Verdict
from fennelhill_bench.load import Load, Mix, load_figures, run_for

DURATION_MS = 20_000.0
KILL_AT_MS = 8_000.0
PROGRESS_INTERVAL_MS = 1_000.0
CALLER_ONE_WAY_MS = 1.0
WARM_UP_MS = 1_000.0


async def run_demo(duration_ms: float = DURATION_MS, seed: int = 1) -> bool:
    """Run the demonstration and print its events and figures.

    Parameters
    ----------
    duration_ms : float
        Duration of the load in milliseconds.
    seed : int
        Seed of all random choices.

    Returns
    -------
    bool
        Whether every guarantee was kept.
    """
    clock = Clock()
    _print_line(
        "starting 6 entry hosts and 9 targets in 3 availability zones on loopback"
    )
    deployment = Deployment.on_loopback(Plan.bogota(), seed)
    addresses = {name: d.host.address for name, d in deployment.daemons.items()}
    client = HttpClient(addresses, CALLER_ONE_WAY_MS)
    load = Load(deployment, client, Mix(), seed)
    try:
        await clock.sleep_ms(WARM_UP_MS)
        await load.prepare()
        load.start()
        started_ms = clock.now_ms()
        killed_ms = None
        while (elapsed_ms := clock.now_ms() - started_ms) < duration_ms:
            await clock.sleep_ms(PROGRESS_INTERVAL_MS)
            if killed_ms is None and elapsed_ms >= min(KILL_AT_MS, duration_ms / 2):
                victim = deployment.primary("orders-1")
                killed_ms = clock.now_ms()
                deployment.kill_target(victim)
                _print_line(f"killed {victim.id}, the primary of orders-1")
            _print_progress(load)
        await load.stop()
        await load.resolve_unknown()
        verdict = load.ledger.check(deployment)
        _print_failover_events(deployment)
        _print_summary(load, verdict, killed_ms or 0.0)
    finally:
        await client.close()
        deployment.close()
    return verdict.kept


async def demo_figures(duration_ms: float = 12_000.0) -> list[tuple[str, float]]:
    """Measure the demonstration's load without killing a primary.

    Parameters
    ----------
    duration_ms : float
        Duration of the load in milliseconds.

    Returns
    -------
    list of tuple
        Names and values of the figures.
    """
    clock = Clock()
    deployment = Deployment.on_loopback(Plan.bogota())
    addresses = {name: d.host.address for name, d in deployment.daemons.items()}
    client = HttpClient(addresses, CALLER_ONE_WAY_MS)
    load = Load(deployment, client, Mix())
    try:
        await clock.sleep_ms(WARM_UP_MS)
        await load.prepare()
        await run_for(load, duration_ms)
        await load.resolve_unknown()
        return list(load_figures(load.tally, load.ledger.check(deployment)))
    finally:
        await client.close()
        deployment.close()


def _print_progress(load: Load) -> None:
    tally = load.tally
    _print_line(
        f"{tally.requests:6} requests, p50 {tally.percentile_ms(50):5.1f} ms, "
        f"p99 {tally.percentile_ms(99):6.1f} ms, "
        f"{tally.replica_read_share:.0%} of the reads by replicas, {tally.late} late"
    )


def _print_failover_events(deployment: Deployment) -> None:
    _print_line("failover events:")
    events = [
        event
        for daemon in deployment.daemons.values()
        for event in daemon.events.since(0)
        if event.kind.startswith("failover")
    ]
    for event in sorted(events, key=lambda e: (e.at_ms, e.seq)):
        detail = " ".join(f"{name}={value}" for name, value in event.detail.items())
        _print_line(
            f"  {event.at_ms} {event.host} {event.kind} term {event.term} {detail}"
        )


def _print_summary(load: Load, verdict: Verdict, killed_ms: float) -> None:
    tally = load.tally
    gap_ms = tally.write_gap_ms("orders-1", killed_ms)
    codes = {code: count for code, count in sorted(tally.codes.items()) if code}
    _print_line(
        f"orders sent: {len(load.ledger.orders)}; refusals by code: {codes or 'none'}"
    )
    _print_line(
        f"of the reads that some replica could have served, replicas served "
        f"{tally.permitted_replica_share:.0%}"
    )
    _print_line(
        f"latency: p50 {tally.percentile_ms(50)} ms, p99 {tally.percentile_ms(99)} ms"
    )
    _print_line(f"violated guarantees: {verdict}")
    print(
        f"demo: requests={tally.requests} "
        f"replica_read_share={tally.replica_read_share:.2f} "
        f"failover_gap_ms={gap_ms:.0f} "
        f"lost={len(verdict.lost)} "
        f"doubled={len(verdict.doubled) + len(verdict.ran_after_all)} "
        f"stale_reads={len(verdict.stale) + len(verdict.mixed)} "
        f"late_share={tally.late_share:.2f}",
        flush=True,
    )


def _print_line(text: str) -> None:
    print(f"[{time.strftime('%H:%M:%S')}] {text}", file=sys.stdout, flush=True)
