"""The line protocol on sockets: servers of the target models, and a client."""

from __future__ import annotations

import asyncio
import contextlib

from fennelhill_core.tokens import Position
from fennelhilld.links.messages import (
    Command,
    CommandKind,
    LinkLostError,
    TargetAnswer,
    TargetFault,
)
from fennelhilld.statements.messages import Statement, StatementKind, TransactionState

from fennelhill_bench.session_simulation.targets import (
    DriverModel,
    LinkModel,
    TargetModel,
)

ERROR_WORDS = {
    TargetFault.BUSY: "BUSY",
    TargetFault.UNKNOWN_PREPARED: "NOSTMT",
    TargetFault.BEHIND: "LAGGING",
    TargetFault.NOT_LEADING: "READONLY",
    TargetFault.MALFORMED: "MALFORMED",
}
STATE_LETTERS = {
    TransactionState.IDLE: "I",
    TransactionState.OPEN: "T",
    TransactionState.FAILED: "E",
}
COMMAND_KINDS = {
    "BEGIN": CommandKind.BEGIN,
    "BEGIN READ": CommandKind.BEGIN_READ_ONLY,
    "ROLLBACK": CommandKind.ROLLBACK,
    "RESET": CommandKind.RESET,
    "STATUS": CommandKind.STATUS,
}
STATEMENT_KINDS = {
    "READ": StatementKind.READ,
    "WRITE": StatementKind.WRITE,
    "EXECUTE": StatementKind.EXECUTE,
    "COMMIT": StatementKind.COMMIT,
}

# Commands that are answered with the status of the target.
STATUS_KINDS = frozenset({CommandKind.STATUS, CommandKind.DEMOTE})


# Sent by daemons that open a link for no organisation.
NAMELESS_LINK = "fennelhill"


class OrganisationCheck:
    """Checks that links carry only statements of the organisation that they name.

    It knows which key each client sent with a request, and which organisations of the
    configuration ever had the key, so it does not depend on the daemons' own decisions.
    """

    def __init__(self) -> None:
        # Names by key, over all versions; None while no version named organisations.
        self._holders: dict[str, set[str]] | None = None
        self._names: set[str] = set()
        self._public: set[str] = set()
        # Key and database of the clients that sent a request.
        self._senders: dict[str, set[tuple[str, str]]] = {}
        self.statement_count = 0
        # Name in the first message of the link that a request ran on last.
        self.ran_for: dict[str, str] = {}
        self.problems: list[str] = []

    def configure(self, organisations: list | None, public: set[str]) -> None:
        """Add a version of the configuration; entries without a name are skipped."""
        self._public |= public
        if organisations is None:
            return
        self._holders = self._holders or {}
        for entry in organisations:
            if not isinstance(entry, dict) or "name" not in entry:
                continue
            self._names.add(entry["name"])
            keys = entry.get("api_keys", [])
            for key in keys if isinstance(keys, list) else []:
                self._holders.setdefault(key, set()).add(entry["name"])

    def record_sent(self, request_id: str, key: str, database: str) -> None:
        """Record that a client is about to send a request."""
        self._senders.setdefault(request_id, set()).add((key, database))

    def check_link(self, who: str) -> None:
        """Check the name in the first message of a link."""
        if self._holders is not None and who not in self._names | {NAMELESS_LINK}:
            self.problems.append(f"a link names the unknown organisation {who!r}")

    def check_statement(self, who: str, request_id: str) -> None:
        """Check that a client's statement may run on a link."""
        if self._holders is None:
            return
        self.statement_count += 1
        self.ran_for[request_id] = who
        allowed = set()
        for key, database in self._senders.get(request_id, ()):
            if database in self._public:
                allowed.add(NAMELESS_LINK)
            else:
                allowed |= self._holders.get(key, set())
        if who not in allowed:
            self.problems.append(f"request {request_id} ran on a link of {who!r}")


class LineTarget:
    """Serves one target model on a socket."""

    def __init__(
        self, model: TargetModel, check: OrganisationCheck | None = None
    ) -> None:
        self.model = model
        self.check = check or OrganisationCheck()
        self.address = ""
        self.truncate_answers = False
        self._server: asyncio.Server | None = None
        self._driver = DriverModel({model.group.name: model.group})

    async def start(self) -> None:
        """Listen on a free port of the loopback address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def stop(self) -> None:
        """Crash: refuse new connections and break the open ones."""
        if self._server is not None:
            self._server.close()
        self.model.crash()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        link = None
        try:
            link, who = await self._start(reader, writer)
            while link is not None:
                line = (await reader.readuntil(b"\r\n"))[:-2].decode()
                command = parse_command(line)
                if command.statement is not None:
                    self.check.check_statement(who, command.statement.request_id)
                await link.send([command])
                answer = await link.receive()
                self._write(writer, command, answer)
        except (LinkLostError, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            if link is not None:
                link.close()
            writer.close()

    async def _start(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> tuple[LinkModel | None, str]:
        line = (await reader.readuntil(b"\r\n"))[:-2].decode()
        word, group, who, target_id = line.split(" ")
        self.check.check_link(who)
        matches = (group, target_id) == (self.model.group.name, self.model.id)
        if word != "STARTUP" or not matches:
            writer.write(b"ERROR MISROUTED another target\r\n")
            return None, who
        if len(self.model.links) >= self.model.traits.max_connections:
            writer.write(b"ERROR TOOMANY connections\r\n")
            return None, who
        await self.model.group.clock.sleep_ms(self.model.traits.set_up_ms)
        writer.write(
            f"READY I {_format_position(self.model.applied_position)}\r\n".encode()
        )
        return LinkModel(self.model, self._driver), who

    def _write(
        self, writer: asyncio.StreamWriter, command: Command, answer: TargetAnswer
    ) -> None:
        lines = [f"DATAROW {row}" for row in answer.rows]
        if command.kind in STATUS_KINDS and answer.fault is None:
            model = self.model
            role = "primary" if model.leads else "replica"
            received = _format_position(model.received_position)
            lines.append(f"DATAROW {role} {model.term} {received} 0 0 0 1")
        if answer.fault is not None:
            lines.append(f"ERROR {ERROR_WORDS[answer.fault]} {self.model.id}")
        else:
            lines.append(f"COMPLETE {answer.signature or '-'}")
        lines.append(
            f"READY {STATE_LETTERS[answer.state]} {_format_position(answer.position)}"
        )
        data = "".join(f"{line}\r\n" for line in lines).encode()
        if self.truncate_answers and answer.signature:
            data = data[: len(data) // 2]  # The rest is never sent.
        writer.write(data)


def parse_command(line: str) -> Command:
    """Decode a line that a daemon sends to a target."""
    _query, request_id, text = line.split(" ", 2)
    after = None
    if text.startswith("AFTERLSN "):
        _, position, text = text.split(" ", 2)
        term, index = position.split(".")
        after = Position(int(term), int(index))
    if request_id == "-":
        return _parse_daemon_command(text, after)
    word, _, rest = text.partition(" ")
    kind = STATEMENT_KINDS[word]
    statement = Statement(request_id, kind, text, writes=word == "WRITE")
    name = rest.split(" ")[0] if kind is StatementKind.EXECUTE else ""
    commits = kind is StatementKind.COMMIT
    command_kind = CommandKind.COMMIT if commits else CommandKind.STATEMENT
    return Command(command_kind, statement, name=name, after=after)


def _parse_daemon_command(text: str, after: Position | None) -> Command:
    if text in COMMAND_KINDS:
        return Command(COMMAND_KINDS[text], after=after)
    if text.startswith("DEMOTE "):
        return Command(CommandKind.DEMOTE, term=int(text.removeprefix("DEMOTE ")))
    if text.startswith("DEALLOC "):
        return Command(CommandKind.DEALLOCATE, name=text.removeprefix("DEALLOC "))
    word, name, rest = text.split(" ", 2)
    if word == "SET":
        return Command(CommandKind.SET_VALUE, name=name, value=rest)
    kind, _, shape = rest.partition(" ")
    writes = kind == "WRITE"
    return Command(CommandKind.PREPARE, name=name, value=shape, writes=writes)


def _format_position(position: Position) -> str:
    return f"{position.term}.{position.index}"


class LineClient:
    """A client's connection in the line protocol, for tests and the demo."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        check: OrganisationCheck | None = None,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self._check = check or OrganisationCheck()
        self._key = self._database = ""

    @classmethod
    async def connect(
        cls, address: str, check: OrganisationCheck | None = None
    ) -> LineClient:
        """Open a connection."""
        ip, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(ip, int(port)), check)

    def send(self, line: str) -> None:
        """Send one line."""
        self.writer.write(f"{line}\r\n".encode())

    async def line(self) -> str:
        """Return the next line, or an empty string if the connection is closed."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            return (await self.reader.readuntil(b"\r\n"))[:-2].decode()
        return ""

    async def start(self, database: str, key: str | None = "user") -> str:
        """Start a session; return the first line of the answer."""
        self._database, self._key = database, key or ""
        self.send(f"STARTUP {database}" if key is None else f"STARTUP {database} {key}")
        return await self.line()

    async def ask(self, request_id: str, text: str) -> list[str]:
        """Run a statement; return all lines of its answer, which READY ends.

        The last line is empty if the connection closed first.
        """
        self._check.record_sent(request_id, self._key, self._database)
        self.send(f"QUERY {request_id} {text}")
        lines = [await self.line()]
        while lines[-1] and not lines[-1].startswith("READY"):
            lines.append(await self.line())
        return lines

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()
