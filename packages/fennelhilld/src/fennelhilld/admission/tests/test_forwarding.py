"""Tests of the wait at an owner, and replays of an overloaded leader behind owners."""

from __future__ import annotations

import asyncio

import pytest
from fennelhill_bench.session_simulation.simulation import SessionSimulation
from fennelhill_bench.session_simulation.targets import Traits
from fennelhill_bench.virtual_time import run_virtual
from fennelhill_core import codes
from fennelhilld.admission.forwarding import RETURN_MS, longest_wait_ms
from fennelhilld.catalog.state import ReadKind
from fennelhilld.relay import service

HOSTS = 12  # too many for each to have connections of its own
CLIENTS = 120  # some four times what the two slots of the leader serve in time
SEEDS = (1, 2)
DURATION_MS = 1_500.0


class TestLongestWait:
    def test_leaves_time_for_the_statement_and_the_way_back(self):
        assert longest_wait_ms(450.0, 20.0) == 450.0 - 20.0 - RETURN_MS

    def test_a_slow_target_leaves_at_least_half_of_the_time(self):
        assert longest_wait_ms(406.0, 5_000.0) == pytest.approx(200.0)

    def test_is_never_negative(self):
        assert longest_wait_ms(2.0, 20.0) == 0.0


def overload(seed):
    """Return the replies of clients that read one leader's data without a pause."""

    async def run():
        simulation = SessionSimulation(
            seed, hosts=HOSTS, groups=1, traits=Traits(service_ms=9.0, queue=24)
        )
        database = simulation.database(ReadKind.CURRENT)
        until_ms = simulation.clock.now_ms() + DURATION_MS
        replies = []

        async def client(number):
            gateway = simulation.gateways[number % HOSTS]
            session = simulation.client(gateway, database)
            while simulation.clock.now_ms() < until_ms:
                replies.append(await session.read())

        await asyncio.gather(*map(client, range(CLIENTS)))
        simulation.close()
        return replies

    return run_virtual(run())


class TestOverloadedLeader:
    @pytest.mark.parametrize("seed", SEEDS)
    def test_reads_that_got_no_link_are_refused_as_not_run(self, seed):
        # A read whose outcome is reported as unknown although it reached no target
        # keeps its client from trying again.
        unanswered = [
            reply for reply in overload(seed) if reply.code is codes.READ_UNANSWERED
        ]
        assert unanswered == []

    @pytest.mark.parametrize("seed", SEEDS)
    def test_serves_no_less_than_with_a_wait_until_the_limit(self, seed, monkeypatch):
        # Statements that run after the asking host has given up take the slots of
        # others, whose clients then ask again too.
        served = sum(reply.code is None for reply in overload(seed))
        monkeypatch.setattr(
            service, "longest_wait_ms", lambda limit_ms, service_ms: limit_ms
        )
        before = sum(reply.code is None for reply in overload(seed))
        assert served >= 0.97 * before
