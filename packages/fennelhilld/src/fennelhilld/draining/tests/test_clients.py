"""Tests of closing client connections."""

from __future__ import annotations

import asyncio
import math

import pytest
from fennelhill_bench.virtual_time import VirtualClock, run_virtual
from fennelhill_core.events import EventLog
from fennelhilld.draining.clients import (
    CLOSING_RESERVE_MS,
    IDLE_CHECK_INTERVAL_MS,
    ClientDrain,
)
from fennelhilld.promotion.reach import BALANCER_NOTICE_MS, FleetReach

SHUTDOWN_MS = 6_000.0


class SessionStub:
    def __init__(self):
        self.aborted = False
        self.in_transaction = False

    def abort(self, reason):
        self.aborted = True


class ConnectionStub:
    def __init__(self, connections, clock, busy_until_ms=0.0):
        self.connections = connections
        self.clock = clock
        self.busy_until_ms = busy_until_ms
        self.session = SessionStub()
        self.closed_ms = None
        connections.add(self)

    @property
    def busy(self):
        return self.clock.now_ms() < self.busy_until_ms

    def close_if_idle(self, idle_ms):
        if not self.busy:
            self.closed_ms = self.clock.now_ms()
            self.connections.discard(self)


def drain(*busy_until_ms):
    async def main():
        clock = VirtualClock()
        connections = set()
        opened = [ConnectionStub(connections, clock, until) for until in busy_until_ms]
        reach = FleetReach(clock, EventLog("h", "z", clock))
        await ClientDrain(connections, reach, clock).drain(SHUTDOWN_MS)
        return opened, clock.now_ms()

    return run_virtual(main())


class TestDrain:
    def test_keeps_connections_until_the_balancer_has_noticed(self):
        opened, _ = drain(0.0)
        assert BALANCER_NOTICE_MS <= opened[0].closed_ms < BALANCER_NOTICE_MS + 100

    def test_waits_for_a_running_statement(self):
        opened, _ = drain(2_800.0)
        assert 2_800.0 <= opened[0].closed_ms < 2_900.0

    def test_aborts_idle_transactions_at_half_time(self):
        async def main():
            clock = VirtualClock()
            connections = set()
            connection = ConnectionStub(connections, clock)
            connection.close_if_idle = lambda idle_ms: None
            reach = FleetReach(clock, EventLog("h", "z", clock))
            client_drain = ClientDrain(connections, reach, clock)
            await client_drain.drain(SHUTDOWN_MS)
            return connection.session.aborted

        assert run_virtual(main())

    def test_ends_in_time_while_a_statement_runs(self):
        _, ended_ms = drain(60_000.0)
        assert ended_ms <= SHUTDOWN_MS - CLOSING_RESERVE_MS + 50

    def test_closes_behind_an_answer_once_the_balancer_has_noticed(self):
        """Guards against sessions that are never found idle (LOST)."""
        answered_ms = drain_answering(1.0)
        assert BALANCER_NOTICE_MS <= answered_ms < BALANCER_NOTICE_MS + 2

    def test_aborts_a_transaction_behind_an_answer_after_half_of_the_time(self):
        """Guards against transactions that are never found idle (LOST)."""
        answered_ms = drain_answering(1.0, in_transaction=True)
        assert SHUTDOWN_MS / 2 <= answered_ms < SHUTDOWN_MS / 2 + 2

    @pytest.mark.parametrize("busy_until_ms", [0.0, 5_000.0])
    def test_accepts_no_connection_in_the_second_half(self, busy_until_ms):
        async def main():
            clock = VirtualClock()
            connections = set()
            ConnectionStub(connections, clock, busy_until_ms)
            reach = FleetReach(clock, EventLog("h", "z", clock))
            stopped_ms = []
            client_drain = ClientDrain(
                connections,
                reach,
                clock,
                lambda: stopped_ms.append(clock.now_ms()),
            )
            await client_drain.drain(SHUTDOWN_MS)
            return stopped_ms

        (stopped_ms,) = run_virtual(main())
        assert BALANCER_NOTICE_MS <= stopped_ms <= SHUTDOWN_MS / 2 + 20


def drain_answering(interval_ms, in_transaction=False):
    """Answer statements at an interval until the connection is closed or aborted.

    Returns
    -------
    float
        When that was, in milliseconds since the beginning of the shutdown.
    """

    async def main():
        clock = VirtualClock()
        connections = set()
        connection = ConnectionStub(connections, clock, math.inf)
        connection.session.in_transaction = in_transaction
        reach = FleetReach(clock, EventLog("h", "z", clock))
        client_drain = ClientDrain(connections, reach, clock)
        draining = asyncio.ensure_future(client_drain.drain(SHUTDOWN_MS))
        while connections and not connection.session.aborted:
            await clock.sleep_ms(interval_ms)
            connection.busy_until_ms = 0.0
            client_drain.handle_answer(connection)
            connection.busy_until_ms = math.inf
        draining.cancel()
        return clock.now_ms()

    return run_virtual(main())


class TestHostThatIsCutOff:
    @pytest.mark.parametrize("cut_off", [False, True])
    def test_closes_behind_an_answer_once_the_balancer_has_noticed(self, cut_off):
        """Guards against clients that stay at a host that can't serve them."""

        async def main():
            clock = VirtualClock()
            connections = set()
            connection = ConnectionStub(connections, clock)
            reach = FleetReach(clock, EventLog("h", "z", clock))
            client_drain = ClientDrain(connections, reach, clock)
            if cut_off:
                reach.update(clock.now_ms(), 0, 5)
            await clock.sleep_ms(BALANCER_NOTICE_MS - 1)
            client_drain.handle_answer(connection)
            assert connection.closed_ms is None
            await clock.sleep_ms(1)
            client_drain.handle_answer(connection)
            return connection.closed_ms is not None

        assert run_virtual(main()) is cut_off

    @pytest.mark.parametrize("cut_off_ms", [10.0, 700.0, 2_099.0, 5_000.0])
    def test_closes_idle_connections_once_the_balancer_has_noticed(self, cut_off_ms):
        """Guards against clients that wait at a host that can't serve them.

        The loop looks seldom while the host is in contact with the fleet.
        """

        async def main():
            clock = VirtualClock()
            connections = set()
            connection = ConnectionStub(connections, clock)
            reach = FleetReach(clock, EventLog("h", "z", clock))
            loop = asyncio.ensure_future(
                ClientDrain(connections, reach, clock).close_idle_while_cut_off()
            )
            await clock.sleep_ms(cut_off_ms)
            reach.update(clock.now_ms(), 0, 5)
            await clock.sleep_ms(BALANCER_NOTICE_MS + 2 * IDLE_CHECK_INTERVAL_MS)
            loop.cancel()
            return connection.closed_ms - cut_off_ms

        closed_after_ms = run_virtual(main())
        assert closed_after_ms >= BALANCER_NOTICE_MS
        assert closed_after_ms <= BALANCER_NOTICE_MS + IDLE_CHECK_INTERVAL_MS
