"""Tests of the streams to owners, against owners that fall silent."""

from __future__ import annotations

import asyncio

import pytest
from fennelhill_bench.session_simulation.streams import MemoryDialer
from fennelhill_bench.virtual_time import VirtualClock, run_virtual
from fennelhill_core.events import EventLog
from fennelhill_core.rpc import RpcServer
from fennelhilld.relay.driver import QUIET_MS, OwnerLostError, OwnerStreams
from fennelhilld.relay.messages import PING, RUN, RelayBatch, RelayResult

ANSWER_MS = 500.0


class Owners:
    """Owners that run a batch in `ANSWER_MS`; silent ones answer no ping."""

    def __init__(self):
        self.clock = VirtualClock()
        self.silent = set()
        self.ran = []
        self.losses = []
        self.streams = OwnerStreams(
            MemoryDialer(self._accept),
            self.clock,
            EventLog("h", "z", self.clock),
            lambda host: host[0],
            lambda host, lost: self.losses.append((host, lost)),
        )

    def _accept(self, address, stream):
        async def ping(params):
            while address in self.silent:
                await self.clock.sleep_ms(10.0)
            return RelayResult()

        async def run(params):
            self.ran.append(address)
            await self.clock.sleep_ms(ANSWER_MS)
            return RelayResult()

        self.server = asyncio.ensure_future(
            RpcServer({PING: ping, RUN: run}).serve(stream)
        )

    async def run(self, host, reads_only):
        client = await self.streams.connect(host, host)
        batch = RelayBatch("g", "g-0", [], 800.0, 10.0)
        return await self.streams.run(host, client, batch, reads_only)


def simulate(main):
    async def run():
        owners = Owners()
        await main(owners)
        owners.streams.close()

    run_virtual(run())


class TestSilentOwner:
    def test_keeps_its_work_and_gets_new_work_once_it_answers(self):
        """Guards against work abandoned, or run again, after a moment of silence."""

        async def main(owners):
            owners.silent = {"a0"}
            work = [
                asyncio.ensure_future(owners.run("a0", reads_only))
                for reads_only in (False, True)
            ]
            await owners.clock.sleep_ms(250.0)
            assert not owners.streams.usable("a0")
            assert owners.losses == [("a0", False)]
            owners.silent = set()
            await owners.clock.sleep_ms(260.0)
            assert owners.streams.usable("a0")
            await asyncio.gather(*work)
            assert owners.ran == ["a0", "a0"]

        simulate(main)

    def test_with_another_of_its_zone_ends_only_reads_there(self):
        """Guards against reads that wait for a lost zone, and writes given up early."""

        async def main(owners):
            owners.silent = {"a0", "a1"}
            read = asyncio.ensure_future(owners.run("a0", True))
            write = asyncio.ensure_future(owners.run("a1", False))
            other = asyncio.ensure_future(owners.run("b0", True))
            with pytest.raises(OwnerLostError):
                await read
            assert owners.clock.now_ms() < 300.0
            assert not owners.streams.usable("a2")
            assert owners.streams.usable("b0")
            await asyncio.gather(write, other)
            assert owners.ran == ["a0", "a1", "b0"]

        simulate(main)


class TestSlowTarget:
    def test_an_owner_that_answers_pings_is_pinged_ever_less(self):
        """Guards against pings that load the owners of a slow target further."""

        async def main(owners):
            client = await owners.streams.connect("a0", "a0")
            pings = []
            check = owners.streams.check
            owners.streams.check = lambda *args: (
                pings.append(owners.clock.now_ms()),
                check(*args),
            )
            sent_ms = owners.clock.now_ms()
            batch = RelayBatch("g", "g-0", [], 800.0, 10.0)
            await owners.streams.run("a0", client, batch, reads_only=True)
            assert pings[0] - sent_ms == pytest.approx(QUIET_MS)
            assert len(pings) <= 2
            assert owners.streams.usable("a0")

        simulate(main)
