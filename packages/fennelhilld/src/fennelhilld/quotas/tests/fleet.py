"""Hosts with quotas on an unreliable network, in virtual time."""

from __future__ import annotations

import asyncio
import inspect
import random

from fennelhill_bench.virtual_time import VirtualClock
from fennelhill_core import codes
from fennelhill_core.clock import MS_PER_S
from fennelhill_core.events import EventLog
from fennelhilld.catalog.state import Catalog, CatalogHolder, Organisation
from fennelhilld.fleet.roster import Roster
from fennelhilld.quotas.limits import QuotaBounds
from fennelhilld.quotas.operation import OperationPermit, OverQuotaError
from fennelhilld.quotas.service import QuotaService

BOUNDS = QuotaBounds()
ONE_WAY_MS = 0.5
ZONE_MS = 1.0  # added to the delay between zones
LATE_MS = 400.0


class HostClock(VirtualClock):
    """A clock of a host that may be suspended: its tasks go on once it is awake."""

    __slots__ = ("fleet", "host")

    def __init__(self, fleet, host):
        self.fleet, self.host = fleet, host

    async def sleep_ms(self, duration_ms):
        await super().sleep_ms(duration_ms)
        await self.fleet.awake(self.host)


class Host:
    def __init__(self, fleet, name, zone):
        self.name, self.zone = name, zone
        self.clock = HostClock(fleet, name)
        self.events = EventLog(name, zone, self.clock)
        self.catalog = CatalogHolder()
        self.roster = Roster(self.clock)
        self.quotas = QuotaService(
            name,
            zone,
            BOUNDS,
            self.catalog,
            self.roster,
            lambda: True,
            lambda: self.leaving,
            self.clock,
            self.events,
        )
        self.quotas.peers = Peers(fleet, name)
        self.leaving = False

    def install(self, version, limits):
        organisations = {
            name: Organisation(name, operations_per_s=rate, burst=burst)
            for name, (rate, burst) in limits.items()
        }
        self.catalog.install(Catalog(version, {}, {}, organisations=organisations), 0.0)
        self.quotas.apply_catalog()


class Peers:
    def __init__(self, fleet, host):
        self.fleet, self.host = fleet, host

    async def ask(self, address, query, limit_ms):
        try:
            async with asyncio.timeout(limit_ms / MS_PER_S):
                answer = await self.fleet.exchange(self.host, address, query)
        except TimeoutError:
            answer = None
        await self.fleet.awake(self.host)
        return answer


class Fleet:
    """A network that loses, delays and repeats datagrams, and hosts on it.

    The address of a host is its name.  ``used`` has the time of each operation that
    was sent to a target, by organisation.
    """

    def __init__(self, zones, hosts_per_zone, limits, seed=0, loss=0.0):
        self.clock = VirtualClock()
        self.random = random.Random(seed)
        self.loss = loss
        self.limits, self.version = limits, 1
        self.suspended, self.down, self.cut_zones = set(), set(), set()
        self.used = {name: [] for name in limits}
        self.refused = dict.fromkeys(limits, 0)
        self.unavailable = dict.fromkeys(limits, 0)
        self.late_ms = []
        self.datagrams = 0
        self.names = {
            f"{zone}{number}": zone
            for zone in "abcdefgh"[:zones]
            for number in range(hosts_per_zone)
        }
        self.hosts = {}
        self.tasks = []

    def start(self, name):
        self.down.discard(name)
        host = self.hosts[name] = Host(self, name, self.names[name])
        for other, zone in self.names.items():
            if other != name:
                host.roster.put(other, other, zone)
        host.roster.version = len(self.names)
        host.install(self.version, self.limits)
        host.quotas.start()

    def stop(self, name):
        self.down.add(name)
        self.hosts[name].quotas.close()

    def change_limits(self, limits):
        self.limits = limits
        self.version += 1
        for host in self.hosts.values():
            host.install(self.version, limits)

    async def awake(self, name):
        while name in self.suspended:
            await self.clock.sleep_ms(5.0)

    async def exchange(self, sender, receiver, query):
        await self.travel(sender, receiver)
        answer = await self.answer(receiver, query)
        if self.loss and self.random.random() < self.loss:
            # A repeated datagram; only its first answer counts.
            await self.answer(receiver, query)
        await self.travel(receiver, sender)
        return answer

    async def answer(self, receiver, query):
        answer = self.hosts[receiver].quotas.answer(query)
        return await answer if inspect.isawaitable(answer) else answer

    async def travel(self, sender, receiver):
        self.datagrams += 1
        zones = self.names[sender], self.names[receiver]
        delay_ms = ONE_WAY_MS + ZONE_MS * (zones[0] != zones[1])
        if self.loss and self.random.random() < self.loss:
            delay_ms += self.random.uniform(0.0, LATE_MS)
        await self.clock.sleep_ms(delay_ms)
        await self.awake(receiver)
        cut = zones[0] != zones[1] and self.cut_zones & set(zones)
        lost = self.loss and self.random.random() < self.loss
        if cut or lost or {sender, receiver} & self.down:
            await self.clock.sleep_ms(60_000.0)

    async def operate(self, name, organisation, link_wait_ms=0.0):
        permit = OperationPermit(self.hosts[name].quotas, organisation)
        try:
            return await self._operate(name, organisation, permit, link_wait_ms)
        except OverQuotaError as error:
            counts = self.refused
            if error.refusal.code is codes.QUOTA_UNAVAILABLE:
                counts = self.unavailable
            counts[organisation] += 1
            return False
        finally:
            permit.close()

    async def _operate(self, name, organisation, permit, link_wait_ms):
        host = self.hosts[name]
        started_ms = self.clock.now_ms()
        await permit.ensure()
        self.late_ms.append(self.clock.now_ms() - started_ms)
        if link_wait_ms:
            await host.clock.sleep_ms(link_wait_ms)
        await permit.ensure()
        await self.awake(name)
        if name in self.down or self.hosts[name] is not host or not permit.valid:
            return False
        permit.use()
        self.used[organisation].append(self.clock.now_ms())
        return True

    def load(
        self, organisation, operations_per_s, until_ms, names=None, link_wait_ms=0.0
    ):
        """Send operations at random times to random hosts that are up."""

        async def send():
            while self.clock.now_ms() < until_ms:
                gap_ms = self.random.expovariate(operations_per_s) * MS_PER_S
                await self.clock.sleep_ms(gap_ms)
                up = [name for name in names or self.names if name not in self.down]
                wait_ms = self.random.uniform(0.0, link_wait_ms)
                if up:
                    work = self.operate(self.random.choice(up), organisation, wait_ms)
                    self.tasks.append(asyncio.ensure_future(work))

        self.tasks.append(asyncio.ensure_future(send()))

    def close(self):
        for host in self.hosts.values():
            host.quotas.close()
        for task in self.tasks:
            task.cancel()


def most_in_window(times_ms, window_ms):
    """Return the largest number of times within any sliding window."""
    most = first = 0
    for last, time_ms in enumerate(times_ms):
        while time_ms - times_ms[first] >= window_ms:
            first += 1
        most = max(most, last - first + 1)
    return most
