"""Tests of the drill of the store's stand-in, over HTTP."""

from __future__ import annotations

import asyncio
import base64
import json

import pytest
from fennelhill_bench.loopback import ReservedPorts
from fennelhill_bench.platform_stand_ins.store import ERA_HEADER, StoreStandIn
from fennelhill_core.sockets import http_client
from tornado.httpclient import HTTPClientError
from tornado.httpserver import HTTPServer

SECOND_MS = 1_000.0
# Time for a call on the way to arrive.
ARRIVAL_S = 0.05


class StoreFixture:
    """A served store whose age of copies follows a clock that the test sets."""

    def __init__(self, address):
        self.base_url = f"http://{address}"
        self.now_ms = 0.0
        self.store = StoreStandIn(lambda: self.now_ms)
        self.client = http_client()

    async def get(self, path):
        return await self.client.fetch(
            self.base_url + path, raise_error=False, request_timeout=3.0
        )

    async def read(self, table):
        body = json.loads((await self.get(f"/-/rows-get?table={table}&part=")).body)
        return {row["key"]: row["ver"] for row in body["rows"]}

    async def feed(self, table, after, wait_ms=0):
        return await self.get(
            f"/-/rows-feed?table={table}&after={after}&wait_ms={wait_ms}"
        )

    async def write(self, key, expected=None, table="fleet"):
        name = {"table": table, "part": "", "key": key}
        value = base64.b64encode(b"{}").decode()
        expect = [] if expected is None else [{**name, "ver": expected}]
        body = {"expect": expect, "puts": [{**name, "value": value}], "deletes": []}
        return await self.client.fetch(
            f"{self.base_url}/-/rows-tx",
            method="POST",
            body=json.dumps(body),
            raise_error=False,
            request_timeout=3.0,
        )

    def era(self, response):
        return response.headers.get(ERA_HEADER)


def run_store(check):
    async def run():
        ports = ReservedPorts()
        address = ports.reserve()
        fixture = StoreFixture(address)
        server = HTTPServer(fixture.store.application())
        ip, _, port = address.rpartition(":")
        server.listen(int(port), ip)
        try:
            await check(fixture)
        finally:
            server.stop()
            ports.release()

    asyncio.run(run())


def version(response):
    assert response.code == 200
    return json.loads(response.body)["ver"]


class TestReturn:
    def test_loses_what_was_written_since_the_copy_and_gives_versions_again(self):
        async def check(fixture):
            assert version(await fixture.write("old")) == 1
            fixture.now_ms = 3 * SECOND_MS
            assert version(await fixture.write("new")) == 2
            fixture.now_ms = 5 * SECOND_MS
            fixture.store.go_away()
            fixture.store.come_back(copy_age_ms=4 * SECOND_MS)
            assert await fixture.read("fleet") == {"old": 1}
            assert version(await fixture.write("other")) == 2

        run_store(check)

    def test_counts_the_age_from_the_moment_the_store_went(self):
        async def check(fixture):
            await fixture.write("old")
            fixture.now_ms = 3 * SECOND_MS
            fixture.store.go_away()
            fixture.now_ms = 9 * SECOND_MS
            fixture.store.come_back(copy_age_ms=2 * SECOND_MS)
            assert await fixture.read("fleet") == {"old": 1}

        run_store(check)

    def test_restores_any_age_again_and_again(self):
        async def check(fixture):
            for second in range(4):
                fixture.now_ms = second * SECOND_MS
                await fixture.write(f"key-{second}")
            fixture.now_ms = 3.5 * SECOND_MS
            fixture.store.come_back(copy_age_ms=SECOND_MS)
            assert len(await fixture.read("fleet")) == 3
            assert version(await fixture.write("second-era")) == 4
            # This copy was made in the first era.
            fixture.now_ms = 4 * SECOND_MS
            fixture.store.come_back(copy_age_ms=2 * SECOND_MS)
            assert len(await fixture.read("fleet")) == 3
            # And this one in the second.
            fixture.now_ms = 5 * SECOND_MS
            fixture.store.come_back(copy_age_ms=1.4 * SECOND_MS)
            assert "second-era" in await fixture.read("fleet")
            fixture.store.come_back(copy_age_ms=60 * SECOND_MS)
            assert await fixture.read("fleet") == {}
            assert fixture.store.era == 5

        run_store(check)


class TestFeed:
    def test_after_a_version_that_the_store_lacks_gets_410(self):
        async def check(fixture):
            await fixture.write("old")
            fixture.now_ms = 3 * SECOND_MS
            await fixture.write("new")
            fixture.store.come_back(copy_age_ms=SECOND_MS)
            assert (await fixture.feed("fleet", 2)).code == 410
            assert (await fixture.feed("fleet", 1)).code == 200

        run_store(check)

    def test_reads_on_without_a_sign_once_the_version_was_given_out_again(self):
        async def check(fixture):
            fixture.now_ms = 3 * SECOND_MS
            await fixture.write("lost")
            fixture.store.come_back(copy_age_ms=SECOND_MS)
            await fixture.write("missed")
            await fixture.write("seen")
            response = await fixture.feed("fleet", 1)
            rows = json.loads(response.body)["rows"]
            assert [row["key"] for row in rows] == ["seen"]

        run_store(check)

    @pytest.mark.parametrize("how", ["down", "silent"])
    def test_that_waits_gets_410_and_the_new_era_at_the_return(self, how):
        async def check(fixture):
            fixture.now_ms = 3 * SECOND_MS
            await fixture.write("lost")
            feed = asyncio.ensure_future(fixture.feed("fleet", 1, 2_000))
            await asyncio.sleep(ARRIVAL_S)
            await fixture.store.drill(50.0, copy_age_ms=SECOND_MS, how=how)
            response = await feed
            assert (response.code, fixture.era(response)) == (410, "2")

        run_store(check)

    def test_that_waits_after_a_version_of_the_copy_goes_on_waiting(self):
        async def check(fixture):
            feed = asyncio.ensure_future(fixture.feed("fleet", 0, 2_000))
            await asyncio.sleep(ARRIVAL_S)
            await fixture.store.drill(10.0, copy_age_ms=SECOND_MS)
            await asyncio.sleep(ARRIVAL_S)
            assert not feed.done()
            await fixture.write("new")
            response = await feed
            assert (version(response), fixture.era(response)) == (1, "2")

        run_store(check)

    def test_that_waits_is_closed_by_a_store_that_resets_connections(self):
        async def check(fixture):
            feed = asyncio.ensure_future(fixture.feed("fleet", 0, 2_000))
            await asyncio.sleep(ARRIVAL_S)
            fixture.store.go_away("reset")
            with pytest.raises(HTTPClientError, match="closed"):
                await feed

        run_store(check)


class TestEra:
    def test_is_in_answers_of_every_kind(self):
        async def check(fixture):
            store = fixture.store
            store.come_back(copy_age_ms=0.0)
            await fixture.write("key")
            responses = [
                await fixture.write("key", expected=7),
                await fixture.write("key", table="op"),
                await fixture.feed("fleet", 9),
                await fixture.feed("fleet", 1),
                await fixture.get("/-/rows-get?table=fleet&part="),
                await fixture.get("/-/rows-get"),
                await fixture.get("/-/nothing"),
                await fixture.get("/-/rows-feed?table=t&after=x&wait_ms=0"),
            ]
            for store.fault in ("down", "busy"):
                responses.append(await fixture.feed("fleet", 1))
            store.fault = ""
            store.go_away()
            responses.append(await fixture.write("key"))
            codes = [response.code for response in responses]
            assert codes == [412, 403, 410, 200, 200, 400, 404, 500, 503, 429, 503]
            assert [fixture.era(response) for response in responses] == ["2"] * 11

        run_store(check)

    def test_is_not_named_by_the_order_interface(self):
        async def check(fixture):
            fixture.store.go_away()
            response = await fixture.client.fetch(
                f"{fixture.base_url}/promote",
                method="POST",
                headers={
                    "Fennelhill-Duty-Holder": "h",
                    "Fennelhill-Fencing-Token": "1",
                },
                body='{"service":"g0","id":"t"}',
                raise_error=False,
            )
            assert (response.code, fixture.era(response)) == (200, None)

        run_store(check)

    @pytest.mark.parametrize(("text", "sent"), [("", None), ("x", "x"), ("1", "1")])
    def test_can_be_sent_wrong(self, text, sent):
        async def check(fixture):
            fixture.store.come_back(copy_age_ms=0.0)
            fixture.store.era_text = text
            assert fixture.era(await fixture.feed("fleet", 0)) == sent

        run_store(check)


class TestStoreThatIsAway:
    @pytest.mark.parametrize("how", ["silent", "reset"])
    def test_does_nothing_and_gives_no_answer(self, how):
        async def check(fixture):
            fixture.store.go_away(how)
            with pytest.raises((TimeoutError, HTTPClientError)):
                await asyncio.wait_for(fixture.write("key"), 0.2)
            fixture.store.come_back(copy_age_ms=0.0)
            await asyncio.sleep(ARRIVAL_S)
            assert await fixture.read("fleet") == {}

        run_store(check)

    def test_carries_out_kept_calls_in_the_new_era_if_their_condition_holds(self):
        async def check(fixture):
            fixture.now_ms = 3 * SECOND_MS
            await fixture.write("row")
            fixture.store.go_away("silent", keeps_calls=True)
            kept = [
                asyncio.ensure_future(fixture.write("row", expected=expected))
                for expected in (1, 0)
            ]
            await asyncio.sleep(ARRIVAL_S)
            assert not any(call.done() for call in kept)
            fixture.store.come_back(copy_age_ms=SECOND_MS)
            refused, done = await asyncio.gather(*kept)
            assert (refused.code, version(done)) == (412, 1)
            assert fixture.era(refused) == fixture.era(done) == "2"

        run_store(check)

    def test_carries_out_what_had_arrived_before_it_went(self):
        async def check(fixture):
            fixture.store.transaction_ms = 100.0
            call = asyncio.ensure_future(fixture.write("row"))
            await asyncio.sleep(ARRIVAL_S)
            await fixture.store.drill(100.0, copy_age_ms=0.0, keeps_calls=True)
            assert await fixture.read("fleet") == {}
            response = await call
            assert (version(response), fixture.era(response)) == (1, "2")

        run_store(check)

    def test_refuses_what_had_arrived_before_it_went_unless_it_keeps_calls(self):
        async def check(fixture):
            fixture.store.transaction_ms = 100.0
            call = asyncio.ensure_future(fixture.write("row"))
            await asyncio.sleep(ARRIVAL_S)
            await fixture.store.drill(100.0, copy_age_ms=0.0)
            assert (await call).code == 503
            assert await fixture.read("fleet") == {}

        run_store(check)


class TestRowsOfOthers:
    def lose_rows(self, fixture, **delays_ms):
        """Return from a copy that lacks a row of each table and has one too many."""
        fixture.store.put("servers", "gone", {})
        fixture.now_ms = 3 * SECOND_MS
        fixture.store.put("op", "config", {})
        fixture.store.put("servers", "target", {})
        fixture.store.delete_row("servers", "gone")
        fixture.store.go_away()
        fixture.store.come_back(copy_age_ms=SECOND_MS, **delays_ms)

    def test_are_written_again_before_any_call_is_served(self):
        async def check(fixture):
            self.lose_rows(fixture)
            assert list(await fixture.read("op")) == ["config"]
            assert list(await fixture.read("servers")) == ["target"]
            assert version(await fixture.write("own")) == 5

        run_store(check)

    def test_are_written_again_at_their_delays_after_own_writes(self):
        async def check(fixture):
            self.lose_rows(fixture, operator_delay_ms=100.0, targets_delay_ms=400.0)
            assert await fixture.read("op") == {}
            assert list(await fixture.read("servers")) == ["gone"]
            assert version(await fixture.write("own")) == 2
            await asyncio.sleep(0.25)
            assert await fixture.read("op") == {"config": 3}
            assert list(await fixture.read("servers")) == ["gone"]
            await asyncio.sleep(0.25)
            assert list(await fixture.read("servers")) == ["target"]

        run_store(check)

    def test_are_written_again_once_though_the_store_returned_twice(self):
        async def check(fixture):
            self.lose_rows(fixture, operator_delay_ms=None, targets_delay_ms=None)
            fixture.now_ms = 6 * SECOND_MS
            fixture.store.come_back(copy_age_ms=0.0, targets_delay_ms=None)
            assert await fixture.read("op") == {"config": 2}
            fixture.store.write_again("servers")
            assert list(await fixture.read("servers")) == ["target"]
            written = fixture.store.tables.version
            fixture.store.write_again("servers")
            assert fixture.store.tables.version == written

        run_store(check)

    def test_that_were_written_anew_are_not_replaced_by_older_ones(self):
        async def check(fixture):
            self.lose_rows(fixture, operator_delay_ms=None)
            written = fixture.store.put("op", "config", {"version": 9})
            fixture.store.write_again("op")
            assert await fixture.read("op") == {"config": written}

        run_store(check)
