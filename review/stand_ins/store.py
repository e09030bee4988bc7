"""Stand-in of the platform's metadata store and of the promote call, over HTTP."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qsl, urlsplit

READ_ONLY_TABLES = ("op", "servers")
TRANSACTION_S = 0.005
REASONS = {200: "OK", 403: "Forbidden", 404: "Not Found", 412: "Precondition Failed"}

RowKey = tuple[str, str, str]
Promote = Callable[[str, str, int], Awaitable[int]]


def _key_of(row: dict) -> RowKey:
    return row["table"], row.get("part", ""), row["key"]


class PlatformStandIn:
    """Tables with one version counter, their feed, and ``POST /promote``.

    Parameters
    ----------
    promote : callable
        Carries out a promotion; gets service, id and fencing token, and returns the
        status of the answer.
    """

    def __init__(self, promote: Promote) -> None:
        self._promote = promote
        self._rows: dict[RowKey, dict] = {}
        self._history: list[dict] = []
        self._version = 0
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        # Time of each row's newest acknowledged write, in monotonic seconds.
        self.written_s: dict[RowKey, float] = {}
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._servers.append(server)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def stop(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()

    def put(self, table: str, key: str, document: dict | bytes) -> None:
        """Write a row as the operator, a backend or another writer does."""
        text = (
            document if isinstance(document, bytes) else json.dumps(document).encode()
        )
        value = base64.b64encode(text).decode()
        self._write([{"table": table, "part": "", "key": key, "value": value}], [])

    def keys(self, table: str) -> list[str]:
        """Return the keys of a table's rows."""
        return [key for name, _, key in self._rows if name == table]

    def _write(self, puts: list[dict], deletes: list[dict]) -> None:
        self._version += 1
        for put in puts:
            row = {
                "table": put["table"],
                "part": put.get("part", ""),
                "key": put["key"],
                "value": put["value"],
                "ver": self._version,
            }
            self._rows[_key_of(row)] = row
            self._history.append(row)
            self.written_s[_key_of(row)] = time.monotonic()
        for name in deletes:
            if self._rows.pop(_key_of(name), None) is not None:
                removed = {**name, "ver": self._version, "removed": True}
                self._history.append(removed)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                method, target, _ = lines[0].split(" ")
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length)
                status, answer = await self._answer(method, target, headers, body)
                text = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Refused')}\r\n"
                    f"Content-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n".encode()
                    + text
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return  # The caller has closed the connection.
        finally:
            writer.close()

    async def _answer(
        self, method: str, target: str, headers: dict, body: bytes
    ) -> tuple[int, dict]:
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        if (method, url.path) == ("POST", "/promote"):
            call = json.loads(body)
            token = int(headers.get("fennelhill-fencing-token", "0"))
            return await self._promote(call["service"], call["id"], token), {}
        if (method, url.path) == ("POST", "/-/rows-tx"):
            await asyncio.sleep(TRANSACTION_S)
            return self._transact(json.loads(body))
        if (method, url.path) == ("GET", "/-/rows-get"):
            return 200, self._page(query)
        if (method, url.path) == ("GET", "/-/rows-feed"):
            return 200, await self._feed(query)
        return 404, {}

    def _with_version(self, answer: dict) -> dict:
        now_ms = int(time.monotonic() * 1000)
        return {**answer, "ver": self._version, "now_ms": now_ms}

    def _transact(self, call: dict) -> tuple[int, dict]:
        puts, deletes = call.get("puts", []), call.get("deletes", [])
        if any(row["table"] in READ_ONLY_TABLES for row in (*puts, *deletes)):
            return 403, {}
        for row in call.get("expect", []):
            known = self._rows.get(_key_of(row))
            if (known["ver"] if known else 0) != row["ver"]:
                rows = [
                    self._rows[_key_of(row)]
                    for row in call["expect"]
                    if _key_of(row) in self._rows
                ]
                return 412, self._with_version({"rows": rows})
        self._write(puts, deletes)
        return 200, self._with_version({})

    def _page(self, query: dict) -> dict:
        limit = min(500, int(query.get("limit", 500)))
        rows = sorted(
            (
                row
                for row in self._rows.values()
                if row["table"] == query["table"]
                and row["part"] == query.get("part", "")
                and row["key"] >= query.get("from", "")
                and ("to" not in query or row["key"] < query["to"])
            ),
            key=lambda row: row["key"].encode(),
        )
        page = {"rows": rows[:limit], "has_more": len(rows) > limit}
        return self._with_version(page)

    async def _feed(self, query: dict) -> dict:
        after = int(query["after"])
        deadline_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            rows = [
                row
                for row in self._history
                if row["ver"] > after and row["table"] == query["table"]
            ]
            left_s = deadline_s - time.monotonic()
            if rows or left_s <= 0:
                return self._with_version({"rows": rows})
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue
