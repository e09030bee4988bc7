"""Replay of organisations that compete for the links to one group's targets.

Run as a program, it prints the table of docs/design/links-by-organisation.md.
"""

from __future__ import annotations

import asyncio
import itertools
import math
import random
import sys

import msgspec
from fennelhill_bench.virtual_time import VirtualClock, run_virtual
from fennelhilld.admission.order import QueuedRequest
from fennelhilld.admission.policies import LoadPolicies
from fennelhilld.directory.state import TargetEntry
from fennelhilld.links.allocation import SET_UP_MS, LinkBudget, set_ups_per_s
from fennelhilld.links.messages import LinkRefusedError, NoLinkError, TargetFault
from fennelhilld.links.pool import TargetPool
from fennelhilld.links.state import SessionContext
from fennelhilld.placement.state import preferred_replicas
from fennelhilld.relay.owners import (
    owner_count,
    owner_links,
    owner_order,
    owner_plan,
)

NETWORK_MS = 0.5
# Share, work and latency objective of each kind of operation; the first runs on the
# leader, the others on a replica.
KINDS = ((0.5, 6.0, 153.0), (0.25, 30.0, 1_003.0), (0.25, 18.0, 253.0))
TARGETS = ("leader", "replica-1", "replica-2")
WARM_UP_MS = 10_000.0


class Way(msgspec.Struct, frozen=True):
    """How requests find a link."""

    own_owner: bool = True
    own_replica: bool = True
    # Waits at all owners but the last in order; the plan in use if None.
    owner_wait_ms: float | None = None
    worth: bool = True  # else the least recently used link is closed


class Result(msgspec.Struct):
    """What was measured after the warm-up."""

    operations: int = 0
    refused: int = 0
    set_ups: int = 0
    too_many: int = 0
    busy_ms: float = 0.0
    waits_ms: dict[int, list[float]] = {}

    def p95_ms(self, ranks):
        waits = sorted(wait for rank in ranks for wait in self.waits_ms.get(rank, []))
        return waits[int(0.95 * len(waits))]


class LeastRecentlyUsed(TargetPool):
    """A baseline: no link is worth more than another."""

    def _worth(self, organisation, links_before, now_ms):
        return 0.0


class TargetStub:
    """Slots, and connections that count until their end has arrived."""

    def __init__(self, clock, slots, max_connections):
        self.clock = clock
        self.slots = slots
        self.free_slots = asyncio.Semaphore(slots)
        self.max_connections = max_connections
        self.connections = 0
        self.set_ups = 0
        self.busy_ms = 0.0

    async def run(self, work_ms):
        async with self.free_slots:
            await self.clock.sleep_ms(work_ms)
            self.busy_ms += work_ms

    async def open(self, group, target_id, address, limit_ms, organisation=""):
        await self.clock.sleep_ms(NETWORK_MS)
        if self.connections >= self.max_connections:
            raise LinkRefusedError(TargetFault.TOO_MANY_CONNECTIONS, "full")
        self.connections += 1
        self.set_ups += 1
        await self.run(SET_UP_MS)
        return LinkStub(self)


class LinkStub:
    def __init__(self, target):
        self.target = target
        self.closed = False

    def close(self):
        if not self.closed:
            self.closed = True
            loop = asyncio.get_running_loop()
            loop.call_later(2 * NETWORK_MS / 1_000.0, self._end)

    def _end(self):
        self.target.connections -= 1


class Replay:
    """Owners' pools of a group's targets, and Poisson arrivals of organisations."""

    def __init__(self, hosts, organisations, slots, connections, rate, way, seed):
        self.clock = VirtualClock()
        self.random = random.Random(seed)
        self.way = way
        self.hosts = [f"host-{number}" for number in range(hosts)]
        self.per_s = rate
        weights = [rank**-1.2 for rank in range(1, organisations + 1)]
        self.shares = [weight / sum(weights) for weight in weights]
        self.result = Result()
        self.targets = {}
        self.pools = {}
        for target_id in TARGETS:
            target = self.targets[target_id] = TargetStub(
                self.clock, slots, connections
            )
            count = owner_count(connections)
            names = self.random.sample(self.hosts, count)
            self.pools[target_id] = {
                name: self._pool(target_id, target, owner_links(connections, position))
                for position, name in enumerate(names)
            }

    def _pool(self, target_id, target, links):
        budget = LinkBudget(
            set_ups_per_s(target.slots, owner_count(target.max_connections)), links
        )
        pool_class = TargetPool if self.way.worth else LeastRecentlyUsed
        return pool_class(
            TargetEntry(target_id, "g", "", "a", slots=target.slots),
            target,
            self.clock,
            lambda: links,
            lambda reason: None,
            LoadPolicies.from_config(),
            link_budget=lambda: budget,
        )

    def _target_of(self, kind, organisation, share):
        if kind == 0:
            return TARGETS[0]
        replicas = list(TARGETS[1:])
        if self.way.own_replica:
            replicas = preferred_replicas(replicas, organisation, share)
        return self.random.choice(replicas)

    async def request(self, rank, measured):
        kind = self.random.choices(range(3), [kind[0] for kind in KINDS])[0]
        _, work_ms, objective_ms = KINDS[kind]
        name = f"org-{rank}"
        share = self.shares[rank - 1]
        target_id = self._target_of(kind, name, share)
        owners = list(self.pools[target_id])
        host = self.random.choice(self.hosts)
        order = owner_order(host, owners)
        if self.way.own_owner:
            order = owner_order(host, owners, target_id, name, share)
        started_ms = self.clock.now_ms()
        give_up_ms = started_ms + objective_ms
        link = None
        plan = owner_plan(len(order), name)
        if self.way.owner_wait_ms is not None:
            waits = [self.way.owner_wait_ms] * (len(order) - 1)
            plan = list(enumerate([*waits, math.inf]))
        for position, limit_ms in plan:
            owner = order[position]
            now_ms = self.clock.now_ms()
            wait_ms = min(limit_ms, give_up_ms - now_ms)
            request = QueuedRequest(1, give_up_ms, now_ms + wait_ms, name)
            pool = self.pools[target_id][owner]
            try:
                link = await pool.acquire(SessionContext(), request)
                break
            except (NoLinkError, LinkRefusedError):
                if self.clock.now_ms() >= give_up_ms:
                    break
        if measured:
            self.result.operations += 1
            waited_ms = self.clock.now_ms() - started_ms
            self.result.waits_ms.setdefault(rank, []).append(waited_ms)
            self.result.refused += link is None
        if link is None:
            return
        sent_ms = self.clock.now_ms()
        await self.clock.sleep_ms(2 * NETWORK_MS)
        await self.targets[target_id].run(work_ms * self.random.uniform(0.5, 1.5))
        pool.record_response_time(self.clock.now_ms() - sent_ms)
        pool.release(link)

    async def run(self, duration_ms, factors):
        """Send arrivals; `factors` gives the multiple of the usual rate, by rank."""
        weights = [
            share * factors.get(rank, 1.0) for rank, share in enumerate(self.shares, 1)
        ]
        rate_per_ms = self.per_s * sum(weights) / 1_000.0
        tasks = []
        before = None
        next_trim_ms = 500.0
        while (now_ms := self.clock.now_ms()) < WARM_UP_MS + duration_ms:
            await self.clock.sleep_ms(self.random.expovariate(rate_per_ms))
            if now_ms >= next_trim_ms:
                next_trim_ms += 500.0
                for pools in self.pools.values():
                    for pool in pools.values():
                        pool.trim()
            measured = now_ms >= WARM_UP_MS
            if measured and before is None:
                before = self._totals()
            weights_now = weights if measured else self.shares
            rank = self.random.choices(range(1, len(weights) + 1), weights_now)[0]
            tasks.append(asyncio.ensure_future(self.request(rank, measured)))
        await asyncio.gather(*tasks)
        after = self._totals()
        self.result.set_ups, self.result.too_many, self.result.busy_ms = (
            last - first for first, last in zip(before, after, strict=True)
        )
        return self.result

    def _totals(self):
        counters = [pool.counters for p in self.pools.values() for pool in p.values()]
        targets = self.targets.values()
        return (
            sum(target.set_ups for target in targets),
            sum(counter.too_many for counter in counters),
            sum(target.busy_ms for target in targets),
        )


def replay(
    hosts=76,
    organisations=80,
    slots=4,
    connections=56,
    per_s=135.0,
    duration_ms=20_000.0,
    factors=None,
    way=None,
    seed=1,
):
    """Replay one group's load; return the `Result`."""

    async def main():
        fleet = Replay(
            hosts, organisations, slots, connections, per_s, way or Way(), seed
        )
        return await fleet.run(duration_ms, factors or {})

    return run_virtual(main())


WAYS = {
    "order of owners by host, any replica, 10 ms": Way(False, False, 10.0),
    "own owners, any replica, back": Way(True, False),
    "own owners and replica, 10 ms": Way(owner_wait_ms=10.0),
    "own owners and replica, 60 ms": Way(owner_wait_ms=60.0),
    "own owners and replica, to the end": Way(owner_wait_ms=10_000.0),
    "own owners and replica, back to the own one (in use)": Way(),
    "the same, least recently used closed": Way(worth=False),
}
FLEETS = {
    "58, 71": {"hosts": 58, "organisations": 71, "slots": 3, "connections": 39},
    "76, 80": {},
    "195, 1,000": {"hosts": 195, "organisations": 1_000, "connections": 58},
}
LOADS = {"calm": {}, "first at 8 times": {1: 8.0}}


def print_table(fleets):
    """Print set-ups, waits and slot time of three seeds for some of the fleets."""
    for fleet, (load, factors) in itertools.product(fleets, LOADS.items()):
        sizes = FLEETS[fleet]
        for label, way in WAYS.items():
            results = [
                replay(**sizes, factors=factors, way=way, seed=seed)
                for seed in (1, 2, 3)
            ]
            operations = sum(result.operations for result in results)
            set_ups = sum(result.set_ups for result in results)
            slot_ms = 3 * 20_000.0 * 3 * sizes.get("slots", 4)
            ranks = range(11, sizes.get("organisations", 80) + 1)
            small_ms = [result.p95_ms(ranks) for result in results]
            large_ms = [result.p95_ms([1]) for result in results]
            print(
                f"| {fleet} | {load} | {label} | {set_ups / operations:.3f} "
                f"| {100 * set_ups * SET_UP_MS / slot_ms:.1f}% "
                f"| {100 * sum(result.busy_ms for result in results) / slot_ms:.0f}% "
                f"| {max(small_ms):.0f} | {max(large_ms):.0f} "
                f"| {sum(result.refused for result in results) / operations:.4f} "
                f"| {sum(result.too_many for result in results)} |",
                flush=True,
            )


if __name__ == "__main__":
    print_table(sys.argv[1:] or FLEETS)
