"""Tests of streams to hosts that run this build or an older one."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from fennelhill_bench.loopback import ReservedPorts
from fennelhill_core.frames import FrameServer, FrameStream
from fennelhill_core.rpc import RpcClient, RpcServer
from fennelhill_core.streams import DialError, dial_within
from fennelhill_core.websockets import StreamEndpoint
from fennelhilld.fleet.dialing import RELAY_PATH, FleetDialer
from tornado.httpserver import HTTPServer
from tornado.web import Application


async def _name(params):
    return "owner"


class Host:
    """A host's ports for other hosts; an older build has no port for frames."""

    def __init__(self, older):
        self._ports = ReservedPorts()
        self.address, self.frame_address = self._ports.reserve(), self._ports.reserve()
        serve = RpcServer({"name": _name}).serve
        self._server = HTTPServer(
            Application([(RELAY_PATH, StreamEndpoint, {"handler": serve})])
        )
        ip, _, port = self.address.rpartition(":")
        self._server.listen(int(port), ip)
        self._frames = None if older else FrameServer(serve)

    async def start(self):
        if self._frames is not None:
            await self._frames.listen(self.frame_address)

    def stop(self):
        self._server.stop()
        if self._frames is not None:
            self._frames.close()
        self._ports.release()


async def call_host(older, announces_frames):
    """Call a host; return its answer, and whether the stream was one of frames."""
    host = Host(older)
    await host.start()
    dialer = FleetDialer()
    if announces_frames:
        dialer.frame_address_of = {host.address: host.frame_address}.get
    stream = await dial_within(dialer, host.address, 1_000.0)
    client = RpcClient(stream)
    answer = msgspec.json.decode(await client.call("name", None, 1_000.0))
    client.close()
    host.stop()
    return answer, isinstance(stream, FrameStream)


class TestFleetDialer:
    def test_uses_frames_if_the_host_announces_them(self):
        assert asyncio.run(call_host(False, True)) == ("owner", True)

    def test_reaches_an_older_build_that_announces_nothing(self):
        assert asyncio.run(call_host(True, False)) == ("owner", False)

    def test_reaches_an_older_build_behind_a_row_of_a_newer_one(self):
        # After a step back to an older build, the host's row still announces frames.
        assert asyncio.run(call_host(True, True)) == ("owner", False)

    def test_an_older_build_reaches_this_one(self):
        # An older build knows WebSockets only.
        assert asyncio.run(call_host(False, False)) == ("owner", False)

    def test_a_host_that_is_gone_is_a_failed_dial(self):
        async def main():
            ports = ReservedPorts()
            address = ports.reserve()
            ports.release()
            with pytest.raises(DialError):
                await dial_within(FleetDialer(), address, 1_000.0)

        asyncio.run(main())
