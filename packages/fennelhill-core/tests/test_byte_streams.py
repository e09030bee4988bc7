"""Tests of byte streams, over loopback connections."""

from __future__ import annotations

import asyncio

import pytest
from fennelhill_core.byte_streams import (
    MAX_UNREAD_BYTES,
    ByteStream,
    StreamEndedError,
    open_byte_stream,
)


class Peer:
    """The other end of a stream, as asyncio's own reader and writer."""

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer


def with_peer(scenario):
    """Run a scenario with a stream and the peer that it is connected to."""

    async def main():
        accepted = asyncio.get_running_loop().create_future()
        server = await asyncio.start_server(
            lambda reader, writer: accepted.set_result(Peer(reader, writer)),
            "127.0.0.1",
            0,
        )
        ip, port = server.sockets[0].getsockname()
        stream = await open_byte_stream(f"{ip}:{port}")
        peer = await accepted
        try:
            return await scenario(stream, peer)
        finally:
            stream.abort()
            peer.writer.close()
            server.close()

    return asyncio.run(main())


class TestByteStream:
    def test_bytes_that_came_before_the_end_are_still_read(self):
        async def scenario(stream, peer):
            peer.writer.write(b"last words")
            peer.writer.write_eof()
            await stream.wait_for_data()
            data = bytes(stream.buffer)
            with pytest.raises(StreamEndedError):
                await stream.wait_for_data()
            return data

        assert with_peer(scenario) == b"last words"

    def test_a_peer_that_has_closed_its_side_still_gets_its_answer(self):
        # A client may send its last request together with the end of its stream.
        async def scenario(stream, peer):
            peer.writer.write_eof()
            with pytest.raises(StreamEndedError):
                await stream.wait_for_data()
            await stream.send(b"answer")
            stream.close()
            return await peer.reader.read()

        assert with_peer(scenario) == b"answer"

    def test_closing_sends_everything_first(self):
        # A reply that was written at the end of a drain must not be cut off.
        async def scenario(stream, peer):
            stream.write(b"x" * 3_000_000)
            stream.close()
            return len(await peer.reader.read())

        assert with_peer(scenario) == 3_000_000

    def test_can_be_used_again_after_a_time_out(self):
        async def scenario(stream, peer):
            with pytest.raises(TimeoutError):
                await stream.wait_for_data(0.01)
            peer.writer.write(b"late")
            await stream.wait_for_data(1.0)
            return bytes(stream.buffer)

        assert with_peer(scenario) == b"late"

    def test_reads_no_more_than_a_bound_while_nobody_wants_it(self):
        # A client that floods a busy connection must not fill the host's memory.
        async def scenario(stream, peer):
            peer.writer.write(b"x" * 8_000_000)
            await asyncio.sleep(0.1)
            held = len(stream.buffer)
            stream.buffer.clear()
            await stream.wait_for_data(1.0)
            return held

        assert with_peer(scenario) <= 8 * MAX_UNREAD_BYTES

    def test_a_sender_waits_for_a_peer_that_does_not_read(self):
        async def scenario(stream, peer):
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.05):
                    await stream.send(b"x" * 16_000_000)
            reading = asyncio.ensure_future(peer.reader.readexactly(16_000_000))
            async with asyncio.timeout(5):
                await stream.send(b"x")
                await reading

        with_peer(scenario)

    def test_an_aborted_stream_sends_nothing_more(self):
        async def scenario(stream, peer):
            stream.abort()
            with pytest.raises(StreamEndedError):
                stream.write(b"late")
            return await peer.reader.read()

        assert with_peer(scenario) == b""

    def test_the_end_wakes_a_reader_that_waits(self):
        async def scenario(stream, peer):
            waiting = asyncio.ensure_future(stream.wait_for_data())
            await asyncio.sleep(0)
            stream.abort()
            with pytest.raises(StreamEndedError):
                await waiting

        with_peer(scenario)

    def test_a_reset_of_an_idle_connection_is_noticed(self):
        # A pooled link that the target has dropped must not be given a statement.
        async def scenario(stream, peer):
            peer.writer.transport.abort()
            await asyncio.sleep(0.05)
            return stream.ended

        assert with_peer(scenario)


class BrokenTransport(asyncio.Transport):
    """A connection that broke; like uvloop's, it refuses all further calls."""

    def __init__(self):
        super().__init__({"socket": NoSocket()})

    def is_closing(self):
        return True

    def write(self, data):
        raise RuntimeError("the handler is closed")

    write_eof = resume_reading = write


class NoSocket:
    def setsockopt(self, *arguments):
        pass


class TestBrokenConnection:
    def test_ends_the_stream_before_the_event_loop_says_so(self):
        # A write in the turn of the event loop in which a connection broke ended the
        # drain of a host, or a statement, with an error that nobody expected.
        stream = ByteStream()
        stream.connection_made(BrokenTransport())
        with pytest.raises(StreamEndedError):
            stream.write(b"late")
        stream.close_write_side()


class TestAcceptedStream:
    def test_is_handed_over_once_it_is_connected(self):
        opened = []
        stream = ByteStream(opened.append)

        stream.connection_made(BrokenTransport())
        assert opened == [stream]
