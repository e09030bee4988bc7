"""Stand-in for the platform's metadata store and order interface, over HTTP."""

from __future__ import annotations

import asyncio
import base64
import json
import time
from collections.abc import Callable

from tornado.web import Application, Finish, RequestHandler

ERA_HEADER = "Store-Era"
READ_ONLY_TABLES = ("op", "servers")
SILENCE_S = 3_600
MS_PER_S = 1000.0

RowKey = tuple[str, str, str]


class State:
    """All rows as they were after one transaction.

    Parameters
    ----------
    at_ms : float
        When the transaction was applied.
    version : int
        The version that it was given.
    rows : dict
        The rows by table, part and key.
    first_version : int
        Version from which changes are known.
    changes : list of dict
        All changes since then, oldest first; later ones may be appended.
    """

    __slots__ = ("at_ms", "change_count", "changes", "first_version", "rows", "version")

    def __init__(
        self,
        at_ms: float,
        version: int,
        rows: dict[RowKey, dict],
        first_version: int,
        changes: list[dict],
    ) -> None:
        self.at_ms = at_ms
        self.version = version
        self.rows = rows
        self.first_version = first_version
        self.changes = changes
        self.change_count = len(changes)


class Tables:
    """Rows of all tables with one version counter, and the history of changes.

    All earlier states are kept, so that any of them can be restored.  Only then does
    the version counter go back.

    Parameters
    ----------
    now_ms : callable
        Returns the time.
    """

    def __init__(self, now_ms: Callable[[], float]) -> None:
        self._now_ms = now_ms
        self.rows: dict[RowKey, dict] = {}
        self.version = 0
        self.first_version = 0
        self.history: list[dict] = []
        self.changed = asyncio.Event()
        self._states: list[State] = []
        self._keep_state()

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
        self._keep_state()
        self.wake_feeds()
        return self.version

    def restore(self, at_ms: float) -> None:
        """Return to the state at a moment; waiting feeds look at their rows again.

        Parameters
        ----------
        at_ms : float
            The moment.  Before the first transaction all tables are empty.
        """
        earlier = [state for state in self._states if state.at_ms <= at_ms]
        state = earlier[-1] if earlier else self._states[0]
        self.rows = dict(state.rows)
        self.version = state.version
        self.first_version = state.first_version
        self.history = state.changes[: state.change_count]
        self._keep_state()
        self.wake_feeds()

    def forget_history(self) -> None:
        """Drop the history, so that feeds must start again with a full read."""
        self.history = []
        self.first_version = self.version
        self._keep_state()

    def _keep_state(self) -> None:
        self._states.append(
            State(
                self._now_ms(),
                self.version,
                dict(self.rows),
                self.first_version,
                self.history,
            )
        )

    def wake_feeds(self) -> None:
        """Let waiting feeds look again."""
        self.changed.set()
        self.changed = asyncio.Event()


class StoreStandIn:
    """The store and the order interface, with faults that a test sets.

    ``fault`` is one of ``""``, ``down`` (503), ``busy`` (429), ``lost`` (done, but
    the connection closes without an answer) and ``silent`` (no answer for
    an hour).  ``fault_addresses`` limits all faults but ``lost`` to callers with
    these addresses; None means all callers.  ``fault_tables`` limits them to reads of
    these tables; None means all calls.

    The store can also go away and come back from an older copy: see `go_away`,
    `come_back` and `drill`.  That concerns all callers, but not the order interface.
    All answers of the store name its era, in the header ``Store-Era``.

    Parameters
    ----------
    now_ms : callable or None
        Returns the time from which the age of copies is counted; None for the
        system's clock.
    """

    def __init__(self, now_ms: Callable[[], float] | None = None) -> None:
        self._now_ms = now_ms or (lambda: time.monotonic() * MS_PER_S)
        self.tables = Tables(self._now_ms)
        self.fault = ""
        self.fault_addresses: set[str] | None = None
        self.fault_tables: set[str] | None = None
        self.calls = 0
        # Polls that wait for a change at the moment.
        self.waiting_polls = 0
        self.era = 1
        # Sent instead of the era if not None; an empty text leaves the header out.
        self.era_text: str | None = None
        # Time from the arrival of a transaction to the check of its conditions.
        self.transaction_ms = 0.0
        # How the store is away: "" (it is not), "down", "reset" or "silent".
        self.away = ""
        self.keeps_calls = False
        self._away_since_ms = 0.0
        self._returned = asyncio.Event()
        # Rows of the operator and the targets that a return has lost and that are to
        # be written again; None for a row that is to be deleted again.
        self._lost_rows: dict[RowKey, dict | None] = {}
        self._tasks: set[asyncio.Task] = set()
        # Whether an order with an outdated fencing token is refused.
        self.checks_tokens = True
        self.promotions: list[tuple[str, str, str, int]] = []
        self.highest_token: dict[str, int] = {}
        # Called with the group and the target id of each accepted promotion.
        self.promote = None

    def put(self, table: str, key: str, document: dict | bytes, part: str = "") -> int:
        """Write a row as the operator or a target does; return its version."""
        text = (
            document if isinstance(document, bytes) else json.dumps(document).encode()
        )
        value = base64.b64encode(text).decode()
        row = {"table": table, "part": part, "key": key, "value": value}
        self._lost_rows.pop(_row_key(row), None)
        return self.tables.write([row], [])

    def delete_row(self, table: str, key: str) -> None:
        """Remove a row."""
        name = {"table": table, "part": "", "key": key}
        self._lost_rows.pop(_row_key(name), None)
        self.tables.write([], [name])

    def go_away(self, how: str = "down", keeps_calls: bool = False) -> None:
        """Stop serving until `come_back`.

        Parameters
        ----------
        how : str
            What happens to calls: ``down`` answers 503, ``reset`` closes their
            connections, also those of waiting feeds, and ``silent`` never answers.
            Waiting feeds otherwise go on waiting.
        keeps_calls : bool
            Whether transactions that arrive meanwhile, or that have arrived but are
            not yet carried out, are kept without an answer.  They are carried out
            `transaction_ms` after the return if their conditions hold then.
        """
        self.away = how
        self.keeps_calls = keeps_calls
        self._away_since_ms = self._now_ms()
        self._returned = asyncio.Event()
        self.tables.wake_feeds()

    def come_back(
        self,
        copy_age_ms: float,
        operator_delay_ms: float | None = 0.0,
        targets_delay_ms: float | None = 0.0,
    ) -> None:
        """Serve again, from a copy, in the next era.

        All that was written since the copy was made is lost, and its versions are
        given out again.  What the operator and the targets wrote since is written
        again, each row as it was last, in new transactions.

        Parameters
        ----------
        copy_age_ms : float
            Age of the copy when the store went away.  A copy may also stem from an
            earlier era.
        operator_delay_ms : float or None
            Time from the return until the operator's rows are written again: at 0
            before any call is served.  With None only `write_again` does so.
        targets_delay_ms : float or None
            The same for the rows of the targets.
        """
        went_ms = self._away_since_ms if self.away else self._now_ms()
        before = self.tables.rows
        self.tables.restore(went_ms - copy_age_ms)
        self._find_lost_rows(before)
        self.era += 1
        self.away = ""
        delays_ms = dict(
            zip(READ_ONLY_TABLES, (operator_delay_ms, targets_delay_ms), strict=True)
        )
        for table, delay_ms in delays_ms.items():
            if delay_ms == 0.0:
                self.write_again(table)
            elif delay_ms is not None:
                self._spawn(self._write_again_later(table, delay_ms))
        self._returned.set()

    async def drill(
        self,
        away_ms: float,
        copy_age_ms: float,
        how: str = "down",
        keeps_calls: bool = False,
        operator_delay_ms: float | None = 0.0,
        targets_delay_ms: float | None = 0.0,
    ) -> None:
        """Go away for a time, then come back; see `go_away` and `come_back`.

        Parameters
        ----------
        away_ms : float
            How long the store is away.
        copy_age_ms : float
            Age of the copy when the store goes.
        how : str
            What happens to calls meanwhile.
        keeps_calls : bool
            Whether transactions on the way are carried out after the return.
        operator_delay_ms : float or None
            When the operator's rows are written again.
        targets_delay_ms : float or None
            When the targets' rows are written again.
        """
        self.go_away(how, keeps_calls)
        await asyncio.sleep(away_ms / MS_PER_S)
        self.come_back(copy_age_ms, operator_delay_ms, targets_delay_ms)

    def write_again(self, table: str) -> None:
        """Write the rows of a table that a return has lost and nobody wrote since.

        Parameters
        ----------
        table : str
            ``op`` for the operator's rows, ``servers`` for those of the targets.
        """
        for key in [key for key in self._lost_rows if key[0] == table]:
            row = self._lost_rows.pop(key)
            if row is not None:
                put = {name: row[name] for name in row if name != "ver"}
                self.tables.write([put], [])
            elif key in self.tables.rows:
                name = dict(zip(("table", "part", "key"), key, strict=True))
                self.tables.write([], [name])

    async def wait_for_return(self) -> None:
        """Wait until the store is not away."""
        while self.away:
            await self._returned.wait()

    def _find_lost_rows(self, before: dict[RowKey, dict]) -> None:
        after = self.tables.rows
        for key in before.keys() | after.keys():
            if key[0] not in READ_ONLY_TABLES or key in self._lost_rows:
                continue
            if before.get(key) != after.get(key):
                self._lost_rows[key] = before.get(key)

    async def _write_again_later(self, table: str, delay_ms: float) -> None:
        era = self.era
        await asyncio.sleep(delay_ms / MS_PER_S)
        # After another return its own delays apply.
        if self.era == era:
            await self.wait_for_return()
            self.write_again(table)

    def _spawn(self, work: object) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def application(self) -> Application:
        """Return an application with the routes of the store and of orders."""
        arguments = {"store": self}
        return Application(
            [
                ("/-/rows-tx", _Transaction, arguments),
                ("/-/rows-get", _Get, arguments),
                ("/-/rows-feed", _Feed, arguments),
                ("/promote", _Promote, arguments),
                ("/-/.*", _UnknownCall, arguments),
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
        tables = self.store.fault_tables
        if tables is not None and self.get_query_argument("table", "") not in tables:
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


class _StoreCall(_Call):
    """A call of the store, not of the order interface."""

    async def prepare(self) -> None:
        await super().prepare()
        if not self._finished:
            await self.refuse_while_away()

    def finish(self, chunk: object = None) -> asyncio.Future:
        # Here, since a call may have waited through a return.
        text = self.store.era_text
        if text is None:
            text = str(self.store.era)
        if text:
            self.set_header(ERA_HEADER, text)
        return super().finish(chunk)

    async def refuse_while_away(self) -> None:
        """End the call if the store is away; raises `Finish` after its end."""
        if self.store.away == "down":
            self.set_status(503)
            self.finish()
            raise Finish
        if self.store.away == "reset":
            self.request.connection.stream.close()
            raise Finish
        if self.store.away == "silent":
            await asyncio.sleep(SILENCE_S)


class _UnknownCall(_StoreCall):
    async def get(self) -> None:
        self.set_status(404)
        self.finish()

    post = get


class _Transaction(_StoreCall):
    async def post(self) -> None:
        if self.store.transaction_ms:
            await asyncio.sleep(self.store.transaction_ms / MS_PER_S)
            await self.refuse_while_away()
        self.carry_out()

    async def refuse_while_away(self) -> None:
        while self.store.away and self.store.keeps_calls:
            await self.store.wait_for_return()
            await asyncio.sleep(self.store.transaction_ms / MS_PER_S)
        await super().refuse_while_away()

    def carry_out(self) -> None:
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


class _Get(_StoreCall):
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


class _Feed(_StoreCall):
    async def get(self) -> None:
        tables = self.store.tables
        wanted = self.get_query_argument("table")
        after = int(self.get_query_argument("after"))
        wait_s = int(self.get_query_argument("wait_ms")) / 1000
        deadline_s = asyncio.get_running_loop().time() + wait_s
        while True:
            await self.hang_while_away()
            if not tables.first_version <= after <= tables.version:
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
            self.store.waiting_polls += 1
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue
            finally:
                self.store.waiting_polls -= 1

    async def hang_while_away(self) -> None:
        """Wait for the return, unless the store closed connections when it went."""
        if self.store.away == "reset":
            await self.refuse_while_away()
        await self.store.wait_for_return()


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


def _row_key(row: dict) -> RowKey:
    return row["table"], row["part"], row["key"]
