"""Stand-in of a service: a primary and its replicas, over the line protocol."""

from __future__ import annotations

import asyncio
import itertools
from typing import NamedTuple

from review.stand_ins.record import Record
from review.stand_ins.store import PlatformStandIn

HEARTBEAT_S = 1.2
# After this long an old primary has noticed the new one, which it reaches.
NOTICE_S = 1.0
# A crashed primary's links are closed at once; whoever connects is refused.
LISTEN_HOST = "127.0.0.1"


class Traits(NamedTuple):
    """How the backends of a service behave; the defaults are those of a small site.

    Attributes
    ----------
    slots : int
        Statements that a backend runs at the same time.
    queue : int
        Statements that may wait for a slot; others get BUSY.
    max_conns : int
        Connections that a backend accepts from all callers.
    set_up_s : float
        Time for which a new connection occupies a slot.
    read_s, write_s : float
        Time for which a read or a write occupies a slot.
    status_s : float
        The same of STATUS and DEMOTE.
    network_s : float
        Time until a replica receives a commit.
    lag_s : float
        Time until it applies it.
    promote_s : float
        Time until a promote takes effect.
    sync_replicas : int
        Replicas that must have received a commit before it is acknowledged.
    fenced : bool
        Whether the platform checks fencing tokens, and an old primary loses the lead
        at a promote.  Otherwise it goes on until DEMOTE, or for another second.
    """

    slots: int = 2
    queue: int = 16
    max_conns: int = 16
    set_up_s: float = 0.012
    read_s: float = 0.015
    write_s: float = 0.003
    status_s: float = 0.001
    network_s: float = 0.001
    lag_s: float = 0.06
    promote_s: float = 0.3
    sync_replicas: int = 0
    fenced: bool = True


class Commit(NamedTuple):
    """One commit: its position, the requests that wrote, and what they wrote."""

    term: int
    number: int
    requests: tuple[str, ...]
    items: tuple[tuple[str, str], ...]


class Backend:
    """One backend of a service."""

    def __init__(self, service: Service, name: str, leads: bool) -> None:
        self.service = service
        self.name = name
        self.leads = leads
        self.term = 1
        self.up = True
        self.state = "ready"
        # Whether it receives nothing at the moment.
        self.deaf = False
        self.log: list[Commit] = []
        self.applied = 0
        # The primary that it receives from.
        self.upstream: Backend | None = None
        self.sequence = 0
        self.address = ""
        self.connections: set[Connection] = set()
        self.free_slots = asyncio.Semaphore(service.traits.slots)
        self.waiting = 0
        self._server: asyncio.Server | None = None

    @property
    def position(self) -> str:
        """Position up to which it has applied its log."""
        return _position(self.log, self.applied)

    async def start(self, port: int = 0) -> None:
        """Listen, and register."""
        self._server = await asyncio.start_server(self._accept, LISTEN_HOST, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{LISTEN_HOST}:{port}"
        self.register()

    def register(self) -> None:
        """Write the entry of this backend to the store."""
        self.sequence += 1
        document = {
            "service": self.service.name,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": self.service.traits.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "db_role": "primary" if self.leads else "replica",
            "sequence": self.sequence,
        }
        self.service.platform.put("servers", self.name, document)

    def crash(self) -> None:
        """Close all connections and refuse new ones; nothing more is registered."""
        self.up = False
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.writer.transport.abort()

    def append(self, commit: Commit) -> None:
        """Take a commit into the log as the primary."""
        self.log.append(commit)
        self.applied = len(self.log)

    def receive(self, source: Backend, length: int) -> bool:
        """Receive the primary's log up to a length; return whether it did."""
        if not self.up or self.deaf or self.leads or self.upstream is not source:
            return False
        if len(self.log) < length:
            self.log = source.log[:length]
            self.term = source.term
        return True

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not self.up:
            writer.transport.abort()
            return
        connection = Connection(self, reader, writer)
        try:
            await connection.serve()
        except (asyncio.IncompleteReadError, ConnectionError):
            return  # The daemon has closed the connection, or this backend crashed.
        finally:
            self.connections.discard(connection)
            writer.close()


class Connection:
    """One connection of a daemon to a backend."""

    numbers = itertools.count(1)

    def __init__(
        self,
        backend: Backend,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.backend = backend
        self.reader = reader
        self.writer = writer
        self.number = next(self.numbers)
        self._values: dict[str, str] = {}
        self._prepared: dict[str, tuple[bool, str]] = {}
        self._transaction = ""
        self._failed = False
        self._began_term = 0
        self._written: list[tuple[str, str, str]] = []

    async def serve(self) -> None:
        """Serve the connection until the daemon closes it."""
        backend = self.backend
        traits = backend.service.traits
        word, service, _, expected = (await self._line()).split(" ")
        if word != "STARTUP" or (service, expected) != (
            backend.service.name,
            backend.name,
        ):
            self.writer.write(b"ERROR MISROUTED another backend\r\n")
            return
        if len(backend.connections) >= traits.max_conns:
            self.writer.write(b"ERROR TOOMANY connections\r\n")
            return
        backend.connections.add(self)
        await self._occupy(traits.set_up_s)
        self._write(f"READY I {backend.position}")
        while True:
            _, request_id, text = (await self._line()).split(" ", 2)
            if text == "TERMINATE":
                return
            rows, end = await self._run(request_id, text)
            state = "E" if self._failed else "T" if self._transaction else "I"
            lines = [f"DATAROW {row}" for row in rows]
            self._write(*lines, end, f"READY {state} {backend.position}")

    async def _line(self) -> str:
        return (await self.reader.readuntil(b"\r\n"))[:-2].decode()

    def _write(self, *lines: str) -> None:
        self.writer.write("".join(f"{line}\r\n" for line in lines).encode())

    async def _occupy(self, work_s: float) -> bool:
        """Occupy a slot for a time; return False if too many wait for one."""
        backend = self.backend
        if backend.waiting >= backend.service.traits.queue:
            return False
        backend.waiting += 1
        try:
            await backend.free_slots.acquire()
        finally:
            backend.waiting -= 1
        try:
            await asyncio.sleep(work_s)
        finally:
            backend.free_slots.release()
        if self.writer.transport.is_closing():
            raise ConnectionAbortedError  # The backend has crashed meanwhile.
        return True

    async def _run(self, request_id: str, text: str) -> tuple[list[str], str]:
        backend = self.backend
        traits = backend.service.traits
        after = None
        if text.startswith("AFTERLSN "):
            _, after, text = text.split(" ", 2)
        word, _, rest = text.partition(" ")
        if self._failed and word != "ROLLBACK":
            return [], "ERROR MALFORMED the transaction has failed"
        if word == "SET":
            name, _, value = rest.partition(" ")
            self._values[name] = value
            return [], "COMPLETE -"
        if word == "RESET":
            self._values, self._prepared = {}, {}
            return [], "COMPLETE -"
        if word == "PREPARE":
            name, kind, shape = rest.split(" ", 2)
            self._prepared[name] = (kind == "WRITE", shape)
            return [], "COMPLETE -"
        if word == "ROLLBACK":
            self._end()
            return [], "COMPLETE -"
        if word == "BEGIN":
            return [], self._begin(rest == "READ", after)
        if word in ("STATUS", "DEMOTE"):
            return await self._status(word, rest)
        writes = word == "WRITE"
        if word == "EXECUTE":
            name, _, rest = rest.partition(" ")
            if name not in self._prepared:
                return [], "ERROR NOSTMT no such name"
            writes = self._prepared[name][0]
        backend.service.record.note("arrived", request_id, backend.name, text)
        work_s = traits.write_s if writes or word == "COMMIT" else traits.read_s
        if not await self._occupy(work_s):
            return [], "ERROR BUSY the queue is full"
        if word == "COMMIT":
            return [], await self._commit(request_id)
        return await self._statement(request_id, rest, writes, after)

    def _begin(self, reads_only: bool, after: str | None) -> str:
        if after is not None and not self._has_applied(after):
            return f"ERROR LAGGING {self.backend.name}"
        if not reads_only and not self.backend.leads:
            return f"ERROR READONLY {self.backend.name}"
        self._transaction = "read" if reads_only else "write"
        self._began_term = self.backend.term
        return "COMPLETE -"

    async def _status(self, word: str, rest: str) -> tuple[list[str], str]:
        backend = self.backend
        if not await self._occupy(backend.service.traits.status_s):
            return [], "ERROR BUSY the queue is full"
        if word == "DEMOTE" and backend.term < int(rest):
            backend.service.step_down(backend)
        role = "primary" if backend.leads else "replica"
        received = _position(backend.log, len(backend.log))
        counts = f"{backend.waiting} {len(backend.connections)}"
        return [f"{role} {backend.term} {received} 0 0 {counts}"], "COMPLETE -"

    def _has_applied(self, position: str) -> bool:
        term, _, number = position.partition(".")
        own = self.backend.position.split(".")
        return (int(own[0]), int(own[1])) >= (int(term), int(number))

    def _lost_lead(self) -> bool:
        backend = self.backend
        return self._transaction == "write" and (
            not backend.leads or backend.term != self._began_term
        )

    def _end(self) -> None:
        self._transaction, self._failed, self._written = "", False, []

    async def _statement(
        self, request_id: str, rest: str, writes: bool, after: str | None
    ) -> tuple[list[str], str]:
        backend = self.backend
        if after is not None and not self._has_applied(after):
            return [], f"ERROR LAGGING {backend.name}"
        if self._lost_lead() or (writes and not backend.leads):
            self._failed = bool(self._transaction)
            return [], f"ERROR READONLY {backend.name}"
        item, _, data = rest.partition(" ")
        backend.service.record.note("ran", request_id, backend.name, backend.position)
        if not writes:
            found = [
                value
                for commit in backend.log[: backend.applied]
                for name, value in commit.items
                if name == item
            ]
            rows = found[-1:] or ["-"]
            return rows, f"COMPLETE {backend.name}.{self.number}.{request_id}"
        self._written.append((request_id, item, data))
        if not self._transaction and not await self._keep(request_id):
            return [], f"ERROR READONLY {backend.name}"
        return [], f"COMPLETE {backend.name}.{self.number}.{request_id}"

    async def _commit(self, request_id: str) -> str:
        if self._written and self._lost_lead():
            self._end()
            return f"ERROR READONLY {self.backend.name}"
        kept = not self._written or await self._keep(request_id)
        self._end()
        if not kept:
            return f"ERROR READONLY {self.backend.name}"
        return f"COMPLETE {self.backend.name}.{self.number}.{request_id}"

    async def _keep(self, request_id: str) -> bool:
        """Commit what was written; return after as many replicas have received it."""
        written, self._written = self._written, []
        requests = tuple({name: None for name, _, _ in written} | {request_id: None})
        items = tuple((item, data) for _, item, data in written)
        return await self.backend.service.commit(self.backend, requests, items)


class Service:
    """The backends of one service, their replication, and promotions.

    Parameters
    ----------
    name : str
        Name of the service.
    platform : PlatformStandIn
        The store in which the backends register.
    record : Record
        Gets what the backends have run.
    traits : Traits
        How the backends behave.
    """

    def __init__(
        self, name: str, platform: PlatformStandIn, record: Record, traits: Traits
    ) -> None:
        self.name = name
        self.platform = platform
        self.record = record
        self.traits = traits
        self.backends = [
            Backend(self, f"i-{name}-{number}", number == 0) for number in range(3)
        ]
        self.highest_token = 0
        # Set once no commit can be acknowledged any more for want of a replica.
        self._received = asyncio.Event()
        self._tasks: set[asyncio.Task] = set()

    @property
    def primary(self) -> Backend:
        """The backend that leads in the newest term, of those that run."""
        return max(self.backends, key=lambda item: (item.up, item.leads, item.term))

    async def start(self) -> None:
        """Start all backends and their heartbeats."""
        for backend in self.backends:
            backend.upstream = self.backends[0]
            await backend.start()
        self._spawn(self._beat())

    async def add_backend(self) -> Backend:
        """Start a new replica, which has received the primary's whole log."""
        backend = Backend(self, f"i-{self.name}-{len(self.backends)}", False)
        backend.upstream = self.primary
        backend.log = self.primary.log[:]
        backend.applied = len(backend.log)
        backend.term = self.primary.term
        self.backends.append(backend)
        await backend.start()
        return backend

    def step_down(self, backend: Backend) -> None:
        """Make a primary a replica of the newest primary, if there is another."""
        if not backend.leads:
            return
        backend.leads = False
        self.record.note("stepped down", backend.name, backend.position)
        leading = self.primary
        if leading.leads:
            self._follow(backend, leading)
        backend.register()

    def _follow(self, replica: Backend, primary: Backend) -> None:
        """Let a replica take the log of a primary; what it had beyond is dropped."""
        replica.upstream = primary
        if replica.deaf:
            return
        replica.log = primary.log[:]
        replica.applied = len(replica.log)
        replica.term = primary.term

    def stop(self) -> None:
        """Stop all backends."""
        for task in self._tasks:
            task.cancel()
        for backend in self.backends:
            backend.crash()

    async def commit(
        self, source: Backend, requests: tuple[str, ...], items: tuple
    ) -> bool:
        """Commit at the primary; return once it may be acknowledged.

        Returns
        -------
        bool
            False if the backend does not lead.
        """
        if not source.leads:
            return False
        number = (source.log[-1].number if source.log else 0) + 1
        commit = Commit(source.term, number, requests, items)
        source.append(commit)
        length = len(source.log)
        self.record.note("committed", requests[0], source.name, source.position)
        copies = [
            asyncio.ensure_future(self._replicate(source, replica, length))
            for replica in self.backends
            if replica is not source
        ]
        for copy in copies:
            self._keep_task(copy)
        while sum(self._holds(replica, commit, source) for replica in self.backends) < (
            self.traits.sync_replicas
        ):
            received = self._received
            await received.wait()
        return True

    async def promote(self, service: str, name: str, token: int) -> int:
        """Carry out the platform's promote call; return its status."""
        chosen = {backend.name: backend for backend in self.backends}.get(name)
        self.record.note("promote", str(token), name, service)
        if service != self.name or chosen is None or not chosen.up:
            return 409
        if self.traits.fenced and token < self.highest_token:
            return 409
        self.highest_token = max(self.highest_token, token)
        if chosen is not self.primary:
            self._spawn(self._complete_promotion(chosen))
        return 200

    @staticmethod
    def _holds(replica: Backend, commit: Commit, source: Backend) -> bool:
        return replica is not source and commit in replica.log

    async def _replicate(self, source: Backend, replica: Backend, length: int) -> None:
        await asyncio.sleep(self.traits.network_s)
        if not source.up or not replica.receive(source, length):
            return
        self._received.set()
        self._received = asyncio.Event()
        await asyncio.sleep(self.traits.lag_s)
        replica.applied = max(replica.applied, min(length, len(replica.log)))

    async def _complete_promotion(self, chosen: Backend) -> None:
        await asyncio.sleep(self.traits.promote_s)
        if not chosen.up:
            return
        chosen.term = max(backend.term for backend in self.backends) + 1
        chosen.leads = True
        chosen.applied = len(chosen.log)
        self.record.note("leads", str(chosen.term), chosen.name, chosen.position)
        for backend in self.backends:
            if backend.up and backend is not chosen:
                if not backend.leads:
                    self._follow(backend, chosen)
                elif self.traits.fenced:
                    self.step_down(backend)
                else:
                    self._spawn(self._notice(backend))
                backend.register()
        chosen.register()

    async def _notice(self, old: Backend) -> None:
        await asyncio.sleep(NOTICE_S)
        if old.up and old is not self.primary:
            self.step_down(old)

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for backend in self.backends:
                if backend.up:
                    backend.register()

    def _spawn(self, work: object) -> None:
        self._keep_task(asyncio.ensure_future(work))

    def _keep_task(self, task: asyncio.Task) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def _position(log: list[Commit], length: int) -> str:
    if not length:
        return "1.0"
    return f"{log[length - 1].term}.{log[length - 1].number}"
