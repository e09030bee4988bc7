"""Stand-in for the platform's metadata store and order interface, over HTTP."""

from __future__ import annotations

import asyncio
import base64
import json

from tornado.web import Application, RequestHandler

READ_ONLY_TABLES = ("op", "servers")
SILENCE_S = 3_600


class Tables:
    """Rows of all tables with one increasing version, and the history of changes."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], dict] = {}
        self.version = 0
        self.first_version = 0
        self.history: list[dict] = []
        self.changed = asyncio.Event()

    def write(self, puts: list[dict], deletes: list[dict]) -> int:
        """Apply a transaction whose conditions were checked; return its version."""
        self.version += 1
        for put in puts:
            row = {**put, "ver": self.version}
            self.rows[_row_key(put)] = row
            self.history.append(row)
        for name in deletes:
            if self.rows.pop(_row_key(name), None) is not None:
                self.history.append({**name, "ver": self.version, "removed": True})
        self.changed.set()
        self.changed = asyncio.Event()
        return self.version

    def forget_history(self) -> None:
        """Drop the history, so that feeds must start again with a full read."""
        self.history = []
        self.first_version = self.version


class StoreStandIn:
    """The store and the order interface, with faults that a test sets.

    ``fault`` is one of ``""``, ``down`` (503), ``busy`` (429), ``lost`` (done, but
    the connection closes without an answer) and ``silent`` (no answer for
    an hour).  ``fault_addresses`` limits all faults but ``lost`` to callers with
    these addresses; None means all callers.
    """

    def __init__(self) -> None:
        self.tables = Tables()
        self.fault = ""
        self.fault_addresses: set[str] | None = None
        self.calls = 0
        # Whether an order with an outdated fencing token is refused.
        self.checks_tokens = True
        self.promotions: list[tuple[str, str, str, int]] = []
        self.highest_token: dict[str, int] = {}
        # Called with the group and the target id of each accepted promotion.
        self.promote = None

    def put(self, table: str, key: str, document: dict | bytes) -> int:
        """Write a row as the operator or a target does; return its version."""
        text = (
            document if isinstance(document, bytes) else json.dumps(document).encode()
        )
        value = base64.b64encode(text).decode()
        row = {"table": table, "part": "", "key": key, "value": value}
        return self.tables.write([row], [])

    def delete_row(self, table: str, key: str) -> None:
        """Remove a row."""
        self.tables.write([], [{"table": table, "part": "", "key": key}])

    def application(self) -> Application:
        """Return an application with the routes of the store and of orders."""
        arguments = {"store": self}
        return Application(
            [
                ("/-/rows-tx", _Transaction, arguments),
                ("/-/rows-get", _Get, arguments),
                ("/-/rows-feed", _Feed, arguments),
                ("/promote", _Promote, arguments),
            ],
            log_function=lambda _: None,
        )


class _Call(RequestHandler):
    def initialize(self, store: StoreStandIn) -> None:
        self.store = store

    async def prepare(self) -> None:
        self.store.calls += 1
        affected = self.store.fault_addresses
        if affected is not None and self.request.remote_ip not in affected:
            return
        if self.store.fault in ("down", "busy"):
            self.set_status(503 if self.store.fault == "down" else 429)
            self.finish()
        elif self.store.fault == "silent":
            await asyncio.sleep(SILENCE_S)

    def answer(self, body: dict) -> None:
        if self.store.fault == "lost":
            self.request.connection.stream.close()
            return
        self.finish(json.dumps({**body, "now_ms": 0}))


class _Transaction(_Call):
    def post(self) -> None:
        call = json.loads(self.request.body)
        tables = self.store.tables
        touched = [*call["puts"], *call["deletes"]]
        if any(row["table"] in READ_ONLY_TABLES for row in touched):
            self.set_status(403)
            self.finish()
            return
        current_rows = [
            tables.rows.get(_row_key(row), {"ver": 0}) for row in call["expect"]
        ]
        versions = [row["ver"] for row in call["expect"]]
        if [row["ver"] for row in current_rows] != versions:
            self.set_status(412)
            self.answer({"rows": current_rows})
            return
        self.answer({"ver": tables.write(call["puts"], call["deletes"])})


class _Get(_Call):
    def get(self) -> None:
        tables = self.store.tables
        wanted = self.get_query_argument("table")
        first = self.get_query_argument("from", "")
        limit = int(self.get_query_argument("limit", "500"))
        rows = sorted(
            (row for name, row in tables.rows.items() if name[0] == wanted),
            key=lambda row: row["key"],
        )
        rows = [row for row in rows if row["key"] >= first]
        more = len(rows) > limit
        self.answer({"rows": rows[:limit], "has_more": more, "ver": tables.version})


class _Feed(_Call):
    async def get(self) -> None:
        tables = self.store.tables
        wanted = self.get_query_argument("table")
        after = int(self.get_query_argument("after"))
        wait_s = int(self.get_query_argument("wait_ms")) / 1000
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while True:
            if after < tables.first_version:
                self.set_status(410)
                self.answer({})
                return
            rows = [
                row
                for row in tables.history
                if row["ver"] > after and row["table"] == wanted
            ]
            left_s = deadline_s - asyncio.get_running_loop().time()
            if rows or left_s <= 0:
                self.answer({"rows": rows, "ver": tables.version})
                return
            changed = tables.changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue


class _Promote(_Call):
    async def post(self) -> None:
        call = json.loads(self.request.body)
        headers = self.request.headers
        holder = headers["Fennelhill-Duty-Holder"]
        token = int(headers["Fennelhill-Fencing-Token"])
        group = call["service"]
        outdated = token < self.store.highest_token.get(group, 0)
        if outdated and self.store.checks_tokens:
            self.set_status(409)
            self.finish()
            return
        self.store.highest_token[group] = max(
            token, self.store.highest_token.get(group, 0)
        )
        self.store.promotions.append((group, call["id"], holder, token))
        if self.store.promote is not None:
            self.store.promote(group, call["id"])
        self.answer({})


def _row_key(row: dict) -> tuple[str, str, str]:
    return row["table"], row["part"], row["key"]
