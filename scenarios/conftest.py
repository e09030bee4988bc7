"""Steps that scenarios share: a deployment under virtual time, and what it did."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Iterator
from typing import Any

import pytest
from fennelhill_bench.clients import Call, DirectClient, Outcome
from fennelhill_bench.deployment import Deployment, Plan
from fennelhill_bench.ledger import TABLES
from fennelhill_bench.load import ORDER_SQL, Load, Mix
from fennelhill_bench.virtual_time import VirtualTimeLoop
from pytest_bdd import given, parsers, when

WARM_UP_S = 1.0


class World:
    """One deployment, the loop it runs in, and what the steps have seen."""

    def __init__(self, plan: Plan) -> None:
        self.loop = VirtualTimeLoop()
        self.outcomes: list[Outcome] = []
        self.notes: dict[str, Any] = {}
        self.session = ""
        self.load: Load | None = None
        self.deployment = self.run(self._start(plan))
        self.client = DirectClient(self.deployment)

    async def _start(self, plan: Plan) -> Deployment:
        deployment = Deployment.in_memory(plan)
        await asyncio.sleep(WARM_UP_S)
        return deployment

    def run(self, work: Coroutine) -> Any:
        return self.loop.run_until_complete(work)

    def wait(self, duration_s: float) -> None:
        self.run(asyncio.sleep(duration_s))

    def call(self, host: str, call: Call) -> Outcome:
        return self.run(self.client.call(host, call))

    def create_tables(self) -> None:
        for group in self.deployment.settings.groups:
            for sql in TABLES:
                call = Call("execute", group, sql, class_name="upsert")
                assert self.call(self.hosts()[0], call).answer

    def start_load(self, mix: Mix | None = None) -> None:
        self.load = Load(self.deployment, self.client, mix or Mix())

        async def start() -> None:
            self.load.start()

        self.run(start())

    def finish_load(self) -> None:
        self.run(self.load.stop())
        self.run(self.load.settle_unknown())

    def hosts(self, zone: str = "") -> list[str]:
        daemons = self.deployment.daemons.values()
        return [d.host.id for d in daemons if zone in ("", d.host.zone)]

    def close(self) -> None:
        async def close() -> None:
            self.deployment.close()
            await asyncio.sleep(0)

        self.run(close())
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.run(asyncio.sleep(0.001))
        self.loop.close()


@pytest.fixture
def worlds() -> Iterator[list[World]]:
    made: list[World] = []
    yield made
    for world in made:
        world.close()


@given("the Bogotá deployment", target_fixture="world")
def bogota(worlds: list[World]) -> World:
    worlds.append(World(Plan.bogota()))
    worlds[-1].create_tables()
    return worlds[-1]


@given("the Johannesburg deployment", target_fixture="world")
def johannesburg(worlds: list[World]) -> World:
    worlds.append(World(Plan.johannesburg()))
    worlds[-1].create_tables()
    return worlds[-1]


@given("the Bogotá deployment with writes in flight", target_fixture="world")
def bogota_with_writes(worlds: list[World]) -> World:
    return _with_writes(bogota(worlds))


@given("the Johannesburg deployment with writes in flight", target_fixture="world")
def johannesburg_with_writes(worlds: list[World]) -> World:
    return _with_writes(johannesburg(worlds))


def _with_writes(world: World) -> World:
    world.start_load()
    world.wait(2.0)
    return world


@when(parsers.parse('a session books an order in "{group}" through one entry host'))
def book(world: World, group: str) -> None:
    world.notes["group"] = group
    world.session = world.call(world.hosts()[0], Call("session")).session
    order = Call("execute", group, ORDER_SQL, ["r1", "s1"], "order", world.session)
    outcome = world.call(world.hosts()[0], order)
    assert outcome.answer, outcome.error
    world.session = outcome.session


@when("the replicas have caught up")
def caught_up(world: World) -> None:
    world.wait(0.5)
