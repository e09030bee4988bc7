"""Tests of the queries between hosts on sockets."""

from __future__ import annotations

import asyncio
import socket

from fennelhill_bench.loopback import ReservedPorts
from fennelhill_core.clock import Clock
from fennelhill_core.events import EventLog
from fennelhilld.fleet.datagrams import PeerDatagrams
from fennelhilld.leader_lease.messages import (
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

    asyncio.run(main())


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

    def test_an_invalid_datagram_is_recorded_and_dropped(self):
        async def examine(peers, addresses, events):
            ip, _, port = addresses[1].rpartition(":")
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                sender.sendto(b'{"type": "query", "number": "x"}', (ip, int(port)))
            answer = await peers[0].ask(addresses[1], QUERY, 1_000.0)
            assert answer is not None
            assert [event.kind for event in events.since(0)] == ["fleet.bad_datagram"]

        run_with_peers(examine)
