"""Stand-ins of the store, of the promotion call and of the servers of one service."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import time
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

MS_PER_S = 1000.0
LINE_END = b"\r\n"
MAX_FEED_WAIT_MS = 30_000


def now_s() -> float:
    """Return the steady clock in seconds."""
    return time.monotonic()


class HttpServer:
    """A small HTTP/1.1 server with keep-alive.

    Parameters
    ----------
    handle : callable
        Called with method, path, query, headers and body; returns status and document.
    """

    def __init__(self, handle: Callable) -> None:
        self._handle = handle
        self._server: asyncio.Server | None = None

    async def start(self, address: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, address, port)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(
            asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError
        ):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                method, target, _ = head[0].split(" ", 2)
                headers = {}
                for line in filter(None, head[1:]):
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                url = urlsplit(target)
                query = {
                    name: values[0]
                    for name, values in parse_qs(
                        url.query, keep_blank_values=True
                    ).items()
                }
                status, document = await self._handle(
                    method, url.path, query, headers, body
                )
                data = json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: 1\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        writer.close()


class Store:
    """The platform's store: tables with one version counter and their history."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], dict] = {}
        self.version = 0
        self.history: list[dict] = []
        self.down = False
        self._first_version = 0
        self._changed = asyncio.Event()
        self.http = HttpServer(self._handle)

    def drop_history(self) -> None:
        """Discard all changes; feeds that continue from before get 410."""
        self.history = []
        self._first_version = self.version
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def put(self, table: str, key: str, document: dict) -> int:
        """Write a row as the operator or a server does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        row = {"table": table, "part": "", "key": key, "value": value}
        return self._write([row], [])

    def delete(self, table: str, key: str) -> None:
        """Remove a row."""
        self._write([], [{"table": table, "part": "", "key": key}])

    def _write(self, puts: list[dict], deletes: list[dict]) -> int:
        self.version += 1
        for put in puts:
            row = {**put, "ver": self.version}
            self.rows[_key(row)] = row
            self.history.append(row)
        for name in deletes:
            if self.rows.pop(_key(name), None) is not None:
                gone = {"table": name["table"], "part": name["part"]}
                gone |= {"key": name["key"], "ver": self.version, "removed": True}
                self.history.append(gone)
        self._wake()
        return self.version

    async def _handle(
        self, method: str, path: str, query: dict, headers: dict, body: bytes
    ) -> tuple[int, dict]:
        await asyncio.sleep(0.004)
        if self.down:
            return 503, {}
        stamp = {"now_ms": int(now_s() * MS_PER_S)}
        if path == "/-/rows-tx":
            return self._transact(json.loads(body), stamp)
        if path == "/-/rows-get":
            return 200, self._get(query) | stamp
        if path == "/-/rows-feed":
            page = await self._feed(query)
            return (410, {}) if page is None else (200, page | stamp)
        return 404, {}

    def _transact(self, transaction: dict, stamp: dict) -> tuple[int, dict]:
        expected = transaction.get("expect", [])
        found = [self.rows.get(_key(row)) for row in expected]
        versions = [row["ver"] if row else 0 for row in found]
        if versions != [row["ver"] for row in expected]:
            rows = [row for row in found if row]
            return 412, {"rows": rows, "ver": self.version} | stamp
        tables = transaction.get("puts", []) + transaction.get("deletes", [])
        if any(row["table"] in ("op", "servers") for row in tables):
            return 403, {}
        version = self._write(transaction.get("puts", []), transaction["deletes"])
        return 200, {"ver": version} | stamp

    def _get(self, query: dict) -> dict:
        limit = int(query.get("limit", 500))
        rows = sorted(
            (
                row
                for row in self.rows.values()
                if row["table"] == query["table"]
                and row["part"] == query.get("part", "")
                and row["key"] >= query.get("from", "")
                and ("to" not in query or row["key"] < query["to"])
            ),
            key=lambda row: row["key"].encode(),
        )
        return {
            "rows": rows[:limit],
            "has_more": len(rows) > limit,
            "ver": self.version,
        }

    async def _feed(self, query: dict) -> dict | None:
        after, table = int(query["after"]), query["table"]
        wait_ms = min(MAX_FEED_WAIT_MS, int(query.get("wait_ms", 0)))
        deadline_s = now_s() + wait_ms / MS_PER_S
        while True:
            changed = self._changed
            if after < self._first_version:
                return None
            rows = {
                _key(row): row
                for row in self.history
                if row["ver"] > after and row["table"] == table
            }
            left_s = deadline_s - now_s()
            if rows or left_s <= 0:
                newest = sorted(rows.values(), key=lambda row: row["ver"])
                return {"rows": newest, "ver": self.version}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_s)


def _key(row: dict) -> tuple[str, str, str]:
    return row["table"], row.get("part", ""), row["key"]


class Entry:
    """One commit in a server's log."""

    __slots__ = ("data", "item", "number", "request_id", "term")

    def __init__(
        self, term: int, number: int, item: str, data: str, request_id: str
    ) -> None:
        self.term = term
        self.number = number
        self.item = item
        self.data = data
        self.request_id = request_id


class Busy(Exception):  # noqa: N818 (named as the answer)
    """The server's queue is full."""


class Server:
    """One server of the service, as the protocol page describes it.

    Parameters
    ----------
    service : Service
        The service that it belongs to.
    name : str
        Its id.
    zone : str
        Its availability zone.
    """

    SLOTS = 2
    QUEUE = 16
    MAX_CONNECTIONS = 16
    SET_UP_S = 0.012
    READ_S = 0.022
    WRITE_S = 0.0045
    NETWORK_S = 0.0014
    APPLY_S = 0.06

    def __init__(self, service: Service, name: str, zone: str) -> None:
        self.service = service
        self.name = name
        self.zone = zone
        self.port = 0
        self.term = 1
        self.leads = False
        self.log: list[Entry] = []
        self.applied = 0  # length of the applied part of the log
        self.deaf = False
        self.up = True
        self.connections: set[asyncio.StreamWriter] = set()
        self.busy = 0
        self.waiting = 0
        self.refused = 0
        self.state = "ready"
        self._slots = asyncio.Semaphore(self.SLOTS)
        self._server: asyncio.Server | None = None
        self._born_ms = int(time.time() * MS_PER_S)
        self._sequence = 0
        self._signatures = itertools.count(1)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Stop at once: connections break and new ones are refused."""
        self.up = False
        self.lose_lead()
        self._server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    def lose_lead(self) -> None:
        """Become a replica; all that it has written is applied."""
        if self.leads:
            self.leads = False
            self.applied = len(self.log)

    def report(self) -> None:
        """Write this server's entry to the store."""
        self._sequence += 1
        self.service.store.put(
            "servers",
            self.name,
            {
                "service": self.service.name,
                "address": f"127.0.0.1:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.SLOTS,
                "state": self.state,
                "cold_left_ms": 0,
                "db_role": "primary" if self.leads else "replica",
                "sequence": self._sequence,
                "born": self._born_ms,
            },
        )

    @property
    def received(self) -> tuple[int, int]:
        """Position of the end of the log."""
        return (self.log[-1].term, self.log[-1].number) if self.log else (1, 0)

    @property
    def position(self) -> tuple[int, int]:
        """Position that reads see."""
        if self.leads:
            return self.received
        if not self.applied:
            return (1, 0)
        entry = self.log[self.applied - 1]
        return entry.term, entry.number

    async def work(self, seconds: float) -> None:
        """Occupy a slot; raises `Busy` if the queue is full."""
        if self.waiting >= self.QUEUE:
            self.refused += 1
            raise Busy
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        try:
            await asyncio.sleep(seconds)
        finally:
            self._slots.release()

    def receive(self, entry: Entry) -> None:
        """Take an entry of the primary's log."""
        self.log.append(entry)
        length = len(self.log)
        loop = asyncio.get_running_loop()
        loop.call_later(self.APPLY_S, self._apply, length, entry)

    def _apply(self, length: int, entry: Entry) -> None:
        if len(self.log) >= length and self.log[length - 1] is entry:
            self.applied = max(self.applied, length)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        errors = (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError)
        with contextlib.suppress(*errors):
            await self._serve_link(reader, writer)
        self.connections.discard(writer)
        writer.close()

    async def _serve_link(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        fields = (await _line(reader)).split(" ")
        if fields[1] != self.service.name or (
            len(fields) > 3 and fields[3] != self.name
        ):
            writer.write(b"ERROR MISROUTED another server\r\n")
            return
        if len(self.connections) >= self.MAX_CONNECTIONS:
            self.service.record("refused", server=self.name, why="TOOMANY")
            writer.write(f"ERROR TOOMANY {self.name}\r\n".encode())
            return
        self.connections.add(writer)
        await self.work(self.SET_UP_S)
        writer.write(f"READY I {_text(self.position)}\r\n".encode())
        link = Link(self)
        while True:
            line = await _line(reader)
            if line == "TERMINATE":
                return
            _, request_id, text = line.split(" ", 2)
            lines = await link.run(request_id, text)
            if not self.up:
                return
            lines.append(f"READY {link.state} {_text(self.position)}")
            writer.write("".join(f"{item}\r\n" for item in lines).encode())
            await writer.drain()

    def signature(self) -> str:
        """Return the signature of one run."""
        return f"{self.name}.{next(self._signatures):x}"


class Link:
    """The state of one connection to a server."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.state = "I"
        self._plain = False
        self._pending: list[tuple[str, str, str]] = []
        self._prepared: dict[str, str] = {}

    async def run(self, request_id: str, text: str) -> list[str]:
        """Run a statement; return the lines of its answer but the last."""
        try:
            return await self._run(request_id, text)
        except Busy:
            return [f"ERROR BUSY {self.server.name}"]

    async def _run(self, request_id: str, text: str) -> list[str]:
        server = self.server
        if text.startswith("AFTERLSN "):
            _, wanted, text = text.split(" ", 2)
            term, number = wanted.split(".")
            if server.position < (int(term), int(number)):
                return [f"ERROR LAGGING {server.name}"]
        word, _, rest = text.partition(" ")
        if word in ("STATUS", "DEMOTE"):
            return await self._status(word, rest)
        if word == "ROLLBACK":
            self.state, self._pending = "I", []
            return ["COMPLETE -"]
        if self.state == "E":
            return ["ERROR MALFORMED the transaction has failed"]
        if word in ("SET", "RESET", "DEALLOC"):
            return ["COMPLETE -"]
        if word == "PREPARE":
            name, kind, _ = rest.split(" ", 2)
            self._prepared[name] = kind
            return ["COMPLETE -"]
        if word == "BEGIN":
            return self._begin(rest)
        if self._plain and self.state == "T" and not server.leads:
            self.state = "E"
            return [f"ERROR READONLY {server.name}"]
        if word == "COMMIT":
            return await self._commit(request_id)
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self._prepared:
                return [f"ERROR NOSTMT {server.name}"]
            word = self._prepared[name]
        if word == "READ":
            await server.work(server.READ_S)
            server.service.record_read(server, request_id, rest)
            value = next((e.data for e in reversed(server.log) if e.item == rest), "-")
            return [f"DATAROW {value}", f"COMPLETE {server.signature()}"]
        return await self._write(request_id, rest)

    def _begin(self, rest: str) -> list[str]:
        if self.state != "I":
            return ["ERROR MALFORMED a transaction is open"]
        self._plain = rest != "READ"
        if self._plain and not self.server.leads:
            return [f"ERROR READONLY {self.server.name}"]
        self.state = "T"
        return ["COMPLETE -"]

    async def _write(self, request_id: str, rest: str) -> list[str]:
        item, _, data = rest.partition(" ")
        if not self.server.leads:
            if self.state == "T":
                self.state = "E"
            return [f"ERROR READONLY {self.server.name}"]
        await self.server.work(self.server.WRITE_S)
        if self.state == "T":
            self._pending.append((item, data, request_id))
            return [f"COMPLETE {self.server.signature()}"]
        return await self._append([(item, data, request_id)])

    async def _commit(self, request_id: str) -> list[str]:
        if self.state != "T":
            return ["ERROR MALFORMED no transaction is open"]
        await self.server.work(self.server.WRITE_S)
        pending, self._pending, self.state = self._pending, [], "I"
        if not pending:
            return [f"COMPLETE {self.server.signature()}"]
        return await self._append([(i, d, request_id) for i, d, _ in pending])

    async def _append(self, writes: list[tuple[str, str, str]]) -> list[str]:
        server = self.server
        if not server.leads or not await server.service.append(server, writes):
            return [f"ERROR READONLY {server.name}"]
        return [f"COMPLETE {server.signature()}"]

    async def _status(self, word: str, rest: str) -> list[str]:
        server = self.server
        await server.work(0.0005)
        if word == "DEMOTE" and server.leads and server.term < int(rest):
            server.lose_lead()
            server.report()
        role = "primary" if server.leads else "replica"
        row = (
            f"{role} {server.term} {_text(server.received)} {server.term} 0 "
            f"{server.busy} {len(server.connections)}"
        )
        return [f"DATAROW {row}", "COMPLETE -"]


class Service:
    """A service: its servers, replication, promotion and an independent record.

    Parameters
    ----------
    store : Store
        Where its servers register.
    name : str
        Its name.
    sync_replicas : int
        Replicas that must have received a commit before it is acknowledged.
    record : callable
        Called with an event and its fields.
    """

    PROMOTE_S = 1.0

    def __init__(
        self, store: Store, name: str, sync_replicas: int, record: Callable
    ) -> None:
        self.store = store
        self.name = name
        self.sync_replicas = sync_replicas
        self.record = record
        self.servers: list[Server] = []
        self.highest_token = 0
        self.promoted: list[str] = []
        self.reads: list[tuple[float, str, str, str, tuple[int, int]]] = []
        # Commits by request id, with the position.
        self.commits: dict[str, tuple[int, int]] = {}
        self.http = HttpServer(self._handle)
        self._number = 0

    def record_read(self, server: Server, request_id: str, item: str) -> None:
        """Note where a read ran, and on which log."""
        if not server.up:
            return
        self.reads.append((now_s(), request_id, server.name, item, server.position))

    async def append(self, leader: Server, writes: list) -> bool:
        """Commit writes at the leader; return whether they may be acknowledged."""
        self._number += 1
        entries = [
            Entry(leader.term, self._number, item, data, request_id)
            for item, data, request_id in writes
        ]
        leader.log += entries
        self.commits[writes[0][2]] = (leader.term, self._number)
        await asyncio.sleep(Server.NETWORK_S)
        if not leader.up:
            return False
        received = 0
        for server in self.servers:
            if server is not leader and server.up and not server.deaf:
                self._send_missing(leader, server)
                received += 1
        while received < self.sync_replicas:
            await asyncio.sleep(0.01)  # No replica has it yet.
            received = sum(
                entries[-1] in server.log
                for server in self.servers
                if server is not leader
            )
        await asyncio.sleep(Server.NETWORK_S)
        return leader.up and leader.leads

    @staticmethod
    def _send_missing(leader: Server, server: Server) -> None:
        for entry in leader.log[len(server.log) :]:
            server.receive(entry)

    def hear_again(self, server: Server) -> None:
        """End a server's deafness; it receives what it missed from the leader."""
        server.deaf = False
        for leader in self.servers:
            if leader.leads:
                self._send_missing(leader, server)

    async def _handle(
        self, method: str, path: str, query: dict, headers: dict, body: bytes
    ) -> tuple[int, dict]:
        await asyncio.sleep(0.004)
        if path != "/promote":
            return 404, {}
        call = json.loads(body)
        token = int(headers["fennelhill-fencing-token"])
        holder = headers["fennelhill-duty-holder"]
        target = next((s for s in self.servers if s.name == call["id"]), None)
        accepted = token >= self.highest_token and target is not None and target.up
        self.record(
            "promote called",
            holder=holder,
            token=token,
            server=call["id"],
            status=200 if accepted else 409,
        )
        if not accepted:
            return 409, {}
        self.highest_token = token
        if not target.leads:
            asyncio.get_running_loop().call_later(self.PROMOTE_S, self._promote, target)
        return 200, {}

    def _promote(self, target: Server) -> None:
        if not target.up or target.leads:
            return
        term = max(server.term for server in self.servers) + 1
        for server in self.servers:
            server.lose_lead()
        target.term, target.leads, target.applied = term, True, len(target.log)
        target.deaf = False
        for server in self.servers:
            if server is not target and server.up:
                server.term = term
                kept = len(target.log)
                if server.log[:kept] != target.log[: len(server.log)]:
                    server.log = list(target.log)
                del server.log[kept:]
                server.applied = min(server.applied, len(server.log))
                server.report()
        target.report()
        self.promoted.append(target.name)
        lost = sorted(
            request_id
            for request_id in self.commits
            if all(entry.request_id != request_id for entry in target.log)
        )
        self.record(
            "promoted",
            server=target.name,
            term=term,
            log_end=_text(target.received),
            commits_not_in_its_log=len(lost),
        )


async def _line(reader: asyncio.StreamReader) -> str:
    return (await reader.readuntil(LINE_END))[:-2].decode()


def _text(position: tuple[int, int]) -> str:
    return f"{position[0]}.{position[1]}"
