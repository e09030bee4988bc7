"""Measurement rounds that compare policies, under virtual time.

Under virtual time the figures depend only on queues, delays and decisions: they
are the same on every machine, and CPU time has no effect on them.  `throughput`
measures CPU time.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Iterator
from typing import Protocol

import msgspec
from fennelhill_core.clock import MS_PER_S, Clock
from fennelhill_core.registry import Registry
from fennelhill_core.tasks import Tasks

from fennelhill_bench.clients import Call, DirectClient
from fennelhill_bench.deployment import TARGETS_PER_GROUP, Deployment, Plan
from fennelhill_bench.ledger import Verdict
from fennelhill_bench.load import (
    DEADLINE_MS,
    ORDER_SQL,
    STATUS_SQL,
    Load,
    Mix,
    Tally,
    load_figures,
    run_for,
)
from fennelhill_bench.virtual_time import run_virtual

WARM_UP_S = 1.0
LOAD_DURATION_MS = 8_000.0
LARGE_LAG_MS = 400.0
OVERLOAD_DURATION_MS = 4_000.0
# Rates of polls, as multiples of the capacity of the group's targets.
OVERLOAD_FACTORS = (0.5, 1.0, 2.0, 4.0)
OVERLOAD_SERVICE_MS = 10.0
ORDERS_PER_S = 25.0
OVERLOAD_GROUP = "orders-1"

Figures = Iterator[tuple[str, float]]


class Round(Protocol):
    """A measurement; its figures are printed as ``name=value`` lines."""

    def run(self) -> Figures:
        """Yield the figures as they are measured."""


ROUNDS: Registry[Round] = Registry("round")


@ROUNDS.register("reads")
class ReadsRound:
    """Compares the read policies under the same load; one replica per group lags."""

    def run(self) -> Figures:
        """Yield figures for each policy.

        Yields
        ------
        tuple
            Name and value.
        """
        baselines = ("round_robin", "primary_only")
        for policy in ("least_wait", *baselines):
            prefix = f"{policy}_" if policy in baselines else ""
            plan = Plan.bogota(read_policy=policy, service_ms=6.0)
            result = run_virtual(_run_closed_loop(plan, Mix(sessions=160)))
            yield from load_figures(result.tally, result.verdict, prefix)


@ROUNDS.register("pooling")
class PoolingRound:
    """Compares one owner per target with connections split among all hosts."""

    def run(self) -> Figures:
        """Yield figures for each owner policy; an entry host crashes halfway through.

        Yields
        ------
        tuple
            Name and value.
        """
        for policy, prefix in (("rendezvous", ""), ("split", "split_")):
            plan = Plan.bogota(owner_policy=policy, service_ms=6.0)
            result = run_virtual(_run_closed_loop(plan, Mix(sessions=110), _kill_host))
            yield from load_figures(result.tally, result.verdict, prefix)
            targets = result.deployment.targets.values()
            yield f"{prefix}connects", sum(t.connections_accepted for t in targets)


@ROUNDS.register("overload")
class OverloadRound:
    """Offers polls at multiples of the slots' capacity, and orders at a fixed rate."""

    def run(self) -> Figures:
        """Yield goodput (answers by the deadline) and other figures for each multiple.

        Yields
        ------
        tuple
            Name and value.
        """
        goodputs = []
        for factor in OVERLOAD_FACTORS:
            tally = run_virtual(_run_open_loop(factor))
            answered = tally.requests - tally.late
            goodputs.append(answered / (OVERLOAD_DURATION_MS / MS_PER_S))
            name = f"at_{factor:g}x"
            yield f"goodput_per_s_{name}", goodputs[-1]
            for code, count in sorted(tally.codes.items()):
                yield f"code_{code}_{name}", count
            yield f"bookings_late_share_{name}", _late_share(tally, "order")
            yield f"polls_late_share_{name}", _late_share(tally, "status")
            yield f"p99_ms_{name}", tally.percentile_ms(99)
        yield "goodput_at_4x_of_peak", goodputs[-1] / max(goodputs)


class LoadResult:
    """Tally, verdict and deployment of a finished load."""

    __slots__ = ("deployment", "tally", "verdict")

    def __init__(self, tally: Tally, verdict: Verdict, deployment: Deployment) -> None:
        self.tally = tally
        self.verdict = verdict
        self.deployment = deployment


async def _run_closed_loop(
    plan: Plan,
    mix: Mix,
    fault: Callable[[Deployment], Awaitable[None]] | None = None,
) -> LoadResult:
    """Run sessions that wait for each answer, and check the guarantees."""
    deployment = Deployment.in_memory(plan)
    # One replica of each group has a large replication lag, as happens in production.
    for group in deployment.settings.groups:
        deployment.group(group)[2].spec.lag_ms = LARGE_LAG_MS
    await asyncio.sleep(WARM_UP_S)
    load = Load(deployment, DirectClient(deployment), mix)
    await load.prepare()
    tasks = Tasks()
    if fault is not None:
        tasks.spawn(fault(deployment))
    await run_for(load, LOAD_DURATION_MS)
    await load.resolve_unknown()
    verdict = load.ledger.check(deployment)
    deployment.close()
    return LoadResult(load.tally, verdict, deployment)


async def _kill_host(deployment: Deployment) -> None:
    """Crash an entry host halfway through the load."""
    await asyncio.sleep(LOAD_DURATION_MS / MS_PER_S / 2)
    deployment.kill_daemon(next(iter(deployment.daemons)))


class ArrivalProcess(msgspec.Struct):
    """Open-loop requests of one class: random arrivals, independent of the answers.

    Parameters
    ----------
    class_name : str
        The request class.
    per_s : float
        Mean arrival rate.
    """

    class_name: str
    per_s: float


async def _run_open_loop(factor: float) -> Tally:
    plan = Plan.bogota(service_ms=OVERLOAD_SERVICE_MS, groups=[OVERLOAD_GROUP])
    deployment = Deployment.in_memory(plan)
    await asyncio.sleep(WARM_UP_S)
    load = Load(deployment, DirectClient(deployment), Mix())
    await load.prepare()
    # Each of the group's targets serves `slots` statements at a time.
    capacity_per_s = TARGETS_PER_GROUP * plan.slots * MS_PER_S / plan.service_ms
    polls = ArrivalProcess("status", factor * capacity_per_s)
    orders = ArrivalProcess("order", ORDERS_PER_S)
    tasks = Tasks()
    for seed, arrivals in enumerate((polls, orders)):
        tasks.spawn(_send_arrivals(load, arrivals, tasks, random.Random(seed)))
    await asyncio.sleep(OVERLOAD_DURATION_MS / MS_PER_S)
    await tasks.wait()
    deployment.close()
    return load.tally


async def _send_arrivals(
    load: Load, arrivals: ArrivalProcess, tasks: Tasks, random_state: random.Random
) -> None:
    clock = Clock()
    end_ms = clock.now_ms() + OVERLOAD_DURATION_MS
    session = (await load.send(Call("session"))).session
    number = 0
    while clock.now_ms() < end_ms:
        number += 1
        params = [f"{arrivals.class_name}-{number}", "open"]
        sql = ORDER_SQL if arrivals.class_name == "order" else STATUS_SQL
        call = Call(
            "execute", OVERLOAD_GROUP, sql, params, arrivals.class_name, session
        )
        call.deadline_ms = int(DEADLINE_MS[arrivals.class_name])
        tasks.spawn(_send(load, call))
        await asyncio.sleep(random_state.expovariate(arrivals.per_s))


async def _send(load: Load, call: Call) -> None:
    load.tally.record_outcome(call.class_name, await load.send(call))


def _late_share(tally: Tally, class_name: str) -> float:
    return tally.late_by_class[class_name] / max(1, tally.by_class[class_name])
