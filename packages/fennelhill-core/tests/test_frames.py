"""Tests of the streams of frames, over loopback connections."""

from __future__ import annotations

import asyncio
import struct

import msgspec
import pytest
from fennelhill_bench.loopback import ReservedPorts
from fennelhill_core.frames import HELLO, FrameDialer, FrameServer, FrameStream
from fennelhill_core.rpc import NoAnswer, NotSent, RpcClient, RpcServer
from fennelhill_core.streams import MAX_MESSAGE_BYTES, DialError, StreamClosed


class ReceivingTransport(asyncio.Transport):
    """Keeps what is written, and whether the connection was aborted."""

    def __init__(self):
        super().__init__({"socket": NoSocket()})
        self.written = b""
        self.aborted = False

    def write(self, data):
        self.written += data

    def abort(self):
        self.aborted = True

    def is_closing(self):
        return self.aborted


class NoSocket:
    def setsockopt(self, *arguments):
        pass


def frame(message: bytes) -> bytes:
    return struct.pack("!I", len(message)) + message


def opened_stream():
    stream = FrameStream()
    transport = ReceivingTransport()
    stream.connection_made(transport)
    stream.data_received(frame(HELLO))
    return stream, transport


async def serve(handler):
    """Return a server on a free port, its address and the reserved port."""
    ports = ReservedPorts()
    address = ports.reserve()
    server = FrameServer(handler)
    await server.listen(address)
    return server, address, ports


class TestFrameStream:
    @pytest.mark.parametrize("chunk_bytes", [1, 3, 4, 5, 1000])
    def test_delivers_whole_messages_in_order_however_they_are_split(self, chunk_bytes):
        stream, _ = opened_stream()
        received = []
        stream.deliver_to(received.append, lambda: None)
        messages = [b"", b"one", b"x" * 300, b"four"]
        data = b"".join(map(frame, messages))
        for start in range(0, len(data), chunk_bytes):
            stream.data_received(data[start : start + chunk_bytes])
        assert received == messages

    def test_keeps_messages_that_arrive_before_somebody_listens(self):
        stream, _ = opened_stream()
        stream.data_received(frame(b"early"))
        received = []
        stream.deliver_to(received.append, lambda: None)
        stream.data_received(frame(b"late"))
        assert received == [b"early", b"late"]

    def test_reads_nothing_more_once_a_message_made_the_receiver_close_it(self):
        stream, _ = opened_stream()
        received = []

        def receive(message):
            received.append(message)
            stream.close()

        stream.deliver_to(receive, lambda: None)
        stream.data_received(frame(b"bad") + frame(b"next"))
        assert received == [b"bad"]

    def test_a_length_over_the_limit_closes_only_this_stream(self):
        stream, transport = opened_stream()
        stream.data_received(struct.pack("!I", MAX_MESSAGE_BYTES + 1))
        assert stream.closed
        assert transport.aborted

    def test_a_peer_that_speaks_another_protocol_is_closed(self):
        stream = FrameStream()
        stream.connection_made(ReceivingTransport())
        stream.data_received(b"GET /relay HTTP/1.1\r\n\r\n")
        assert stream.closed

    def test_a_connection_that_breaks_is_closed_before_it_says_so(self):
        # The event loop reports a broken connection in its next turn, and a write until
        # then must not end in an error that no caller knows.
        stream, transport = opened_stream()
        transport.aborted = True
        with pytest.raises(StreamClosed):
            stream.write(b"late")

    def test_tells_the_receiver_once_that_it_has_ended(self):
        stream, _ = opened_stream()
        ends = []
        stream.deliver_to(lambda message: None, lambda: ends.append(1))
        stream.connection_lost(None)
        stream.close()
        assert ends == [1]
        with pytest.raises(StreamClosed):
            stream.write(b"more")


class TestFrameDialer:
    def test_opens_a_stream_that_carries_messages_both_ways(self):
        async def main():
            async def echo(stream):
                await stream.send(await stream.receive() + b"!")

            server, address, ports = await serve(echo)
            stream = await FrameDialer().dial(address, 100.0)
            await stream.send(b"hello")
            answer = await stream.receive()
            server.close()
            ports.release()
            return answer

        assert asyncio.run(main()) == b"hello!"

    def test_a_server_that_closes_without_a_frame_is_a_failed_dial(self):
        async def main():
            def close(reader, writer):
                writer.close()

            server = await asyncio.start_server(close, "127.0.0.1", 0)
            ip, port = server.sockets[0].getsockname()
            with pytest.raises(DialError):
                await FrameDialer().dial(f"{ip}:{port}", 100.0)
            server.close()

        asyncio.run(main())

    def test_a_process_that_accepts_but_does_not_run_is_a_failed_dial(self):
        # A frozen process: its kernel completes the connection.
        async def main():
            server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
            ip, port = server.sockets[0].getsockname()
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.05):
                    await FrameDialer().dial(f"{ip}:{port}", 50.0)
            server.close()

        asyncio.run(main())


class TestRpcOverFrames:
    def run(self, scenario, **handlers):
        async def main():
            server, address, ports = await serve(RpcServer(handlers).serve)
            client = RpcClient(await FrameDialer().dial(address, 100.0))
            try:
                return await scenario(client)
            finally:
                client.close()
                server.close()
                ports.release()

        return asyncio.run(main())

    def test_matches_answers_that_come_out_of_order(self):
        async def wait(params):
            number = msgspec.json.decode(params)
            await asyncio.sleep(0.03 - number / 100)
            return number

        async def scenario(client):
            calls = (client.call("wait", number, 1000.0) for number in range(3))
            return [msgspec.json.decode(raw) for raw in await asyncio.gather(*calls)]

        assert self.run(scenario, wait=wait) == [0, 1, 2]

    def test_a_late_answer_is_dropped_and_the_stream_stays_open(self):
        async def slow(params):
            await asyncio.sleep(0.05)
            return "late"

        async def scenario(client):
            with pytest.raises(NoAnswer):
                await client.call("slow", None, 10.0)
            await asyncio.sleep(0.1)
            return msgspec.json.decode(await client.call("slow", None, 1000.0))

        assert self.run(scenario, slow=slow) == "late"

    def test_a_cancelled_call_does_not_close_the_stream(self):
        async def slow(params):
            await asyncio.sleep(0.02)
            return "answer"

        async def scenario(client):
            pending = client.start("slow", None, 1000.0)
            waiting = asyncio.ensure_future(pending.answer())
            await asyncio.sleep(0)
            pending.cancel()
            with pytest.raises(asyncio.CancelledError):
                await waiting
            assert pending.cancelled
            await asyncio.sleep(0.05)
            return msgspec.json.decode(await client.call("slow", None, 1000.0))

        assert self.run(scenario, slow=slow) == "answer"

    def test_a_stream_that_ends_leaves_the_outcome_of_a_request_open(self):
        async def hang(params):
            await asyncio.sleep(10)

        async def scenario(client):
            pending = client.start("hang", None, 1000.0)
            client.close()
            with pytest.raises(NoAnswer):
                await pending.answer()
            with pytest.raises(NotSent):
                client.start("hang", None, 1000.0)

        self.run(scenario, hang=hang)

    def test_a_malformed_message_ends_only_its_stream(self):
        async def echo(params):
            return "well"

        async def main():
            server, address, ports = await serve(RpcServer({"echo": echo}).serve)
            broken = await FrameDialer().dial(address, 100.0)
            broken.write(b"\xff not json")
            with pytest.raises(StreamClosed):
                await broken.receive()
            client = RpcClient(await FrameDialer().dial(address, 100.0))
            answer = await client.call("echo", None, 1000.0)
            client.close()
            server.close()
            ports.release()
            return msgspec.json.decode(answer)

        assert asyncio.run(main()) == "well"
