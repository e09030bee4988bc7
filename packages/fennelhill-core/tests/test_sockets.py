"""Tests of connecting to addresses that others have stated."""

from __future__ import annotations

import asyncio

import pytest
import uvloop
from fennelhill_core.byte_streams import open_byte_stream
from fennelhill_core.frames import FrameDialer
from fennelhill_core.sockets import InvalidAddressError, connect_stream, split_address
from fennelhill_core.streams import DialError
from fennelhill_core.websockets import WebSocketDialer

LIMIT_MS = 500.0
INVALID_ADDRESSES = [
    "",
    "10.0.0.1",
    "10.0.0.1:",
    "10.0.0.1:x",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:-1",
    "10.0.0.1:\u0668",
    "10.0.0.1:" + "9" * 5_000,
    "10.0.1:80",
    "localhost:80",
    "[::1]:80",
    "a..b:80",
    "a" * 300 + ":80",
    "\x00:80",
    "\ud800:80",
]


def connect(open_stream, address):
    async def main():
        async with asyncio.timeout(LIMIT_MS / 1_000):
            await open_stream(address)

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(main())


class TestAddresses:
    @pytest.mark.parametrize(
        ("address", "parts"),
        [
            ("10.0.0.1:1", ("10.0.0.1", 1)),
            ("127.0.0.1:65535", ("127.0.0.1", 65_535)),
        ],
    )
    def test_are_split(self, address, parts):
        assert split_address(address) == parts

    @pytest.mark.parametrize("address", INVALID_ADDRESSES, ids=range(16))
    def test_that_are_invalid_are_refused_by_all_that_connect(self, address):
        """Guards against an error that no caller of a connect expects (DRAIN)."""
        with pytest.raises(InvalidAddressError):
            split_address(address)
        for open_stream in (open_byte_stream, connect_stream):
            with pytest.raises(OSError, match="invalid address"):
                connect(open_stream, address)
        with pytest.raises(DialError):
            connect(lambda other: FrameDialer().dial(other, LIMIT_MS), address)

    @pytest.mark.parametrize("address", ["10.0.0.1:x", "10.0.0.1:-1", "10.0.0.1:65536"])
    def test_that_are_invalid_are_refused_by_web_sockets(self, address):
        with pytest.raises(DialError):
            connect(lambda other: WebSocketDialer("/r").dial(other, LIMIT_MS), address)
