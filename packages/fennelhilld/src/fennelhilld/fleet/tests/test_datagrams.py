"""Tests of the queries between hosts on sockets."""

from __future__ import annotations

import asyncio
import socket

import pytest
import uvloop
from fennelhill_bench.loopback import ReservedPorts
from fennelhill_core.clock import Clock
from fennelhill_core.events import EventLog
from fennelhilld.fleet.datagrams import PeerDatagrams
from fennelhilld.leader_lease.messages import (
    GroupClaim,
    LeaseAnswer,
    LeaseQuery,
    ProofSource,
)

QUERY = LeaseQuery(ProofSource.STORE, 3, 4)


def run_with_peers(examine):
    async def main():
        ports = ReservedPorts()
        addresses = [ports.reserve(), ports.reserve()]
        ports.release()
        events = EventLog("host", "zone", Clock())

        async def answer(query):
            await asyncio.sleep(0.01)
            return LeaseAnswer(query == QUERY, age_ms=5.0)

        peers = [PeerDatagrams(answer, events) for _ in addresses]
        for peer, address in zip(peers, addresses, strict=True):
            await peer.listen(address)
        try:
            await examine(peers, addresses, events)
        finally:
            for peer in peers:
                peer.close()

    # The loop of the daemon; it closes a transport whose datagram can't be sent.
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())


class TestPeerDatagrams:
    def test_a_query_gets_its_answer(self):
        async def examine(peers, addresses, events):
            answer = await peers[0].ask(addresses[1], QUERY, 1_000.0)
            assert answer == LeaseAnswer(True, age_ms=5.0)

        run_with_peers(examine)

    def test_a_query_that_no_host_answers_times_out(self):
        async def examine(peers, addresses, events):
            peers[1].close()
            assert await peers[0].ask(addresses[1], QUERY, 50.0) is None

        run_with_peers(examine)

    @pytest.mark.parametrize(
        "datagram",
        [
            b'{"type": "query", "number": "x"}',
            b'{"type": "query", "x": ' + b"[" * 3_000 + b"]" * 3_000 + b"}",
        ],
        ids=["wrong type", "nested lists"],
    )
    def test_an_invalid_datagram_is_recorded_and_dropped(self, datagram):
        async def examine(peers, addresses, events):
            ip, _, port = addresses[1].rpartition(":")
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                sender.sendto(datagram, (ip, int(port)))
            answer = await peers[0].ask(addresses[1], QUERY, 1_000.0)
            assert answer is not None
            assert [event.kind for event in events.since(0)] == ["fleet.bad_datagram"]

        run_with_peers(examine)

    @pytest.mark.parametrize(
        "address", ["255.255.255.255:9", "240.0.0.1:9", "127.0.0.1:0", "a..b:9"]
    )
    def test_an_address_that_takes_no_datagrams_cuts_no_other_host_off(self, address):
        """Guards against one host's address that ends all queries (leases expire)."""

        async def examine(peers, addresses, events):
            assert await peers[0].ask(address, QUERY, 50.0) is None
            answer = await peers[0].ask(addresses[1], QUERY, 1_000.0)
            assert answer == LeaseAnswer(True, age_ms=5.0)

        run_with_peers(examine)

    def test_an_answer_that_is_too_long_cuts_no_other_host_off(self):
        async def examine(peers, addresses, events):
            claims = [GroupClaim("g" * 70_000, 1, None)]
            peers[1]._handle = lambda query: LeaseAnswer(True, claims=claims)
            assert await peers[0].ask(addresses[1], QUERY, 50.0) is None
            peers[1]._handle = lambda query: LeaseAnswer(True)
            answer = await peers[0].ask(addresses[1], QUERY, 1_000.0)
            assert answer == LeaseAnswer(True)

        run_with_peers(examine)

    def test_a_query_that_raises_an_exception_gets_no_answer(self):
        async def examine(peers, addresses, events):
            handle, peers[1]._handle = peers[1]._handle, lambda query: 1 / 0
            assert await peers[0].ask(addresses[1], QUERY, 50.0) is None
            peers[1]._handle = handle
            assert await peers[0].ask(addresses[1], QUERY, 1_000.0) is not None

        run_with_peers(examine)
