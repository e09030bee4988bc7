"""Tests of the client of the platform's promotion call."""

from __future__ import annotations

import asyncio

import pytest
from adapter import promotion
from adapter.promotion import PromotionClient
from fennelhill_bench.loopback import ReservedPorts
from fennelhilld.promotion.messages import PromotionResult
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler


class PromoteHandler(RequestHandler):
    def initialize(self, calls, status):
        self.calls = calls
        self.status = status

    async def post(self):
        self.calls.append((dict(self.request.headers), self.request.body))
        if self.status == 0:
            await asyncio.sleep(60)
        self.set_status(self.status)
        self.finish()


def order(status, may_send=lambda: True, listen=True):
    """Send an order to a server; return the result and the calls that it got."""

    async def main():
        calls = []
        ports = ReservedPorts()
        address = ports.reserve()
        ports.release()
        arguments = {"calls": calls, "status": status}
        server = HTTPServer(Application([("/promote", PromoteHandler, arguments)]))
        if listen:
            ip, _, port = address.rpartition(":")
            server.listen(int(port), ip)
        client = PromotionClient(address)
        result = await client.promote("g0", "t1", "host-1", 7, may_send)
        server.stop()
        return result, calls

    return asyncio.run(main())


class TestPromotionClient:
    @pytest.mark.parametrize(
        ("status", "expected"),
        [
            (200, PromotionResult.ACCEPTED),
            (409, PromotionResult.REFUSED),
            (429, PromotionResult.UNAVAILABLE),
            (503, PromotionResult.UNAVAILABLE),
            (500, PromotionResult.NO_ANSWER),
        ],
    )
    def test_translates_the_status(self, status, expected):
        result, calls = order(status)
        assert result is expected
        headers, body = calls[0]
        assert headers["Fennelhill-Fencing-Token"] == "7"
        assert headers["Fennelhill-Duty-Holder"] == "host-1"
        assert body == b'{"service":"g0","id":"t1"}'

    def test_sends_nothing_if_the_claim_was_lost_while_it_connected(self):
        result, calls = order(200, may_send=lambda: False)
        assert (result, calls) == (PromotionResult.NOT_SENT, [])

    def test_an_order_without_an_answer_may_still_be_carried_out(self, monkeypatch):
        monkeypatch.setattr(promotion, "REQUEST_TIMEOUT_MS", 100.0)
        result, calls = order(0)
        assert result is PromotionResult.NO_ANSWER
        assert len(calls) == 1

    def test_an_order_that_could_not_be_sent_was_not_carried_out(self):
        result, _ = order(200, listen=False)
        assert result is PromotionResult.UNAVAILABLE
