"""Shared steps of the scenarios: deployments in virtual time, load and calls."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from fennelhill_bench.clients import Call
from fennelhill_bench.deployment import Plan
from fennelhill_bench.load import ORDER_SQL
from fennelhill_bench.simulation import Simulation
from pytest_bdd import given, parsers, when


@pytest.fixture
def simulations() -> Iterator[list[Simulation]]:
    made: list[Simulation] = []
    yield made
    for simulation in made:
        simulation.close()


@given("the Bogotá deployment", target_fixture="simulation")
def bogota(simulations: list[Simulation]) -> Simulation:
    simulations.append(Simulation(Plan.bogota()))
    simulations[-1].create_tables()
    return simulations[-1]


@given("the Johannesburg deployment", target_fixture="simulation")
def johannesburg(simulations: list[Simulation]) -> Simulation:
    simulations.append(Simulation(Plan.johannesburg()))
    simulations[-1].create_tables()
    return simulations[-1]


@given("the Bogotá deployment with writes in flight", target_fixture="simulation")
def bogota_with_writes(simulations: list[Simulation]) -> Simulation:
    return _with_writes(bogota(simulations))


@given("the Johannesburg deployment with writes in flight", target_fixture="simulation")
def johannesburg_with_writes(simulations: list[Simulation]) -> Simulation:
    return _with_writes(johannesburg(simulations))


def _with_writes(simulation: Simulation) -> Simulation:
    simulation.start_load()
    simulation.wait(2.0)
    return simulation


@when(parsers.parse('a session places an order in "{group}" through one entry host'))
def place_order(simulation: Simulation, group: str) -> None:
    simulation.step_values["group"] = group
    simulation.session = simulation.call(simulation.hosts()[0], Call("session")).session
    order = Call("execute", group, ORDER_SQL, ["r1", "s1"], "order", simulation.session)
    outcome = simulation.call(simulation.hosts()[0], order)
    assert outcome.answer, outcome.error
    simulation.session = outcome.session


@when("the replicas have caught up")
def wait_for_replicas(simulation: Simulation) -> None:
    simulation.wait(0.5)
