"""A stand-in for a target: a database server with terms, slots and a replicated log."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import msgspec
from fennelhill_core.clock import MS_PER_S, Clock, timeout_ms
from fennelhill_core.rpc import Request, Response
from fennelhill_core.streams import Stream, StreamClosed
from fennelhill_core.tasks import Tasks
from fennelhill_core.tokens import Position
from fennelhilld.primary_monitor.samples import covers
from fennelhilld.targets.messages import (
    Batch,
    BatchReply,
    Begin,
    ControlReply,
    End,
    Fault,
    Fence,
    Follow,
    Hello,
    HelloReply,
    Promote,
    Status,
    WaitApplied,
)

from fennelhill_bench.database import Database, SqlFault, SqlSession
from fennelhill_bench.network import Network

LATE_ANSWER_DELAY_MS = 3_000
RECHECK_INTERVAL_MS = 20


class TargetSpec(msgspec.Struct):
    """Configuration of a target stand-in.

    Parameters
    ----------
    id : str
        Name of the target.
    zone : str
        Its availability zone.
    slots : int
        Number of batches and connection set-ups that run concurrently.
    connections : int
        Maximum number of open connections.
    connect_ms : float
        Time to set up a connection, which occupies a slot meanwhile.
    service_ms : float
        Time that a batch occupies a slot.
    commit_ms : float
        Time that a batch occupies a slot if it ends a transaction that an earlier
        batch opened.
    lag_ms : float
        Replication delay in addition to the network delay.
    lock_timeout_ms : float
        Time-out of a write transaction that waits for the write lock.
    """

    id: str
    zone: str
    slots: int = 2
    connections: int = 16
    connect_ms: float = 12.0
    service_ms: float = 4.0
    commit_ms: float = 0.5
    lag_ms: float = 20.0
    lock_timeout_ms: float = 400.0


class TargetStandIn:
    """One target, with methods that inject faults.

    Parameters
    ----------
    spec : TargetSpec
        The configuration.
    network : Network
        Decides which targets replication can reach, and its delay.
    clock : Clock
        Source of time.
    """

    def __init__(self, spec: TargetSpec, network: Network, clock: Clock) -> None:
        self.spec = spec
        self.id = spec.id
        self.term = 0
        self.primary = False
        self.log_term = 0
        self.leader: TargetStandIn | None = None
        self.peers: dict[str, TargetStandIn] = {}
        self.leaving = False
        self.alive = True
        self.connections_accepted = 0
        self.statements_run = 0
        self.open_connections = 0
        # Names of the faults that `_answer` injects into the next answers: one queue
        # for the answers to all requests, one only for batches, which is used first.
        self.answer_faults: deque[str] = deque()
        self.batch_faults: deque[str] = deque()
        self.database = Database(spec.id)
        self._granted_to = ""
        self._network = network
        self._clock = clock
        self._slots = asyncio.Semaphore(spec.slots)
        self._write_lock = asyncio.Lock()
        self._running = asyncio.Event()
        self._running.set()
        self._streams: set[Stream] = set()
        self._sessions: set[SqlSession] = set()
        self._changed = asyncio.Event()
        self._follower: asyncio.Task | None = None
        self._last_answer = b""

    # Connections and requests.

    async def serve(self, stream: Stream) -> None:
        """Serve one connection until it closes.

        Parameters
        ----------
        stream : Stream
            The accepted stream.
        """
        if not self.alive:
            stream.close()
            return
        self._streams.add(stream)
        try:
            hello = await self._receive(stream)
            if self.open_connections >= self.spec.connections:
                reply = HelloReply(Fault.TOO_MANY_CONNECTIONS)
                await self._answer(stream, hello, reply)
                return
            self.open_connections += 1
            try:
                await self._serve_accepted(stream, hello)
            finally:
                self.open_connections -= 1
        except (StreamClosed, msgspec.DecodeError):
            return
        finally:
            self._streams.discard(stream)
            stream.close()

    async def _serve_accepted(self, stream: Stream, hello: Request) -> None:
        async with self._slots:
            await self._clock.sleep_ms(self.spec.connect_ms)
        self.connections_accepted += 1
        await self._answer(stream, hello, HelloReply())
        parameters = msgspec.json.decode(hello.params, type=Hello)
        with suppress(TimeoutError):
            if parameters.control:
                await self._serve_control(stream, parameters.silence_ms)
            else:
                await self._serve_data(stream, parameters.silence_ms)

    async def _serve_data(self, stream: Stream, silence_ms: float) -> None:
        session = SqlSession(self.database)
        self._sessions.add(session)
        lock = _LockHolder(self._write_lock)
        try:
            idle_ms = 0.0
            while True:
                limit_ms = idle_ms if session.open else silence_ms
                try:
                    request = await self._receive(stream, limit_ms)
                except TimeoutError:
                    if not session.open:
                        raise
                    session.reset()
                    lock.release()
                    continue
                if request.method == "ping":
                    await self._answer(stream, request, {})
                    continue
                batch = msgspec.json.decode(request.params, type=Batch)
                idle_ms = batch.idle_ms
                reply = await self._run_batch(session, lock, batch)
                await self._answer(stream, request, reply)
        finally:
            self._sessions.discard(session)
            session.close()
            lock.release()

    async def _serve_control(self, stream: Stream, silence_ms: float) -> None:
        waits = Tasks()
        try:
            while True:
                request = await self._receive(stream, silence_ms)
                if request.method == "wait_applied":
                    waits.spawn(self._wait_applied(stream, request))
                else:
                    await self._answer(stream, request, self._run_command(request))
        finally:
            waits.cancel()

    async def _wait_applied(self, stream: Stream, request: Request) -> None:
        wait = msgspec.json.decode(request.params, type=WaitApplied)
        with suppress(TimeoutError):
            async with timeout_ms(wait.limit_ms):
                while not covers(self.position, wait.position):
                    await self._changed.wait()
        with suppress(StreamClosed):
            await self._answer(stream, request, self.status())

    def _run_command(self, request: Request) -> Status | ControlReply:
        match request.method:
            case "fence":
                command = msgspec.json.decode(request.params, type=Fence)
                return ControlReply(
                    self.fence(command.term, command.attempt), self.status()
                )
            case "promote":
                command = msgspec.json.decode(request.params, type=Promote)
                obeyed = self.promote(command.term, command.attempt)
                return ControlReply(obeyed, self.status())
            case "follow":
                command = msgspec.json.decode(request.params, type=Follow)
                obeyed = self.follow(command.term, command.leader)
                return ControlReply(obeyed, self.status())
            case _:
                return self.status()

    async def _run_batch(
        self, session: SqlSession, lock: _LockHolder, batch: Batch
    ) -> BatchReply:
        # Take the lock before the slot, so that no batch occupies a slot while it
        # waits for the lock.
        if batch.begin is Begin.WRITE and not await lock.acquire(
            self.spec.lock_timeout_ms
        ):
            return self._abort_batch(
                session,
                lock,
                Fault.LOCK_TIMEOUT,
                "timed out waiting for the write lock",
            )
        cost_ms = self.spec.service_ms
        if batch.begin is Begin.NONE and batch.end is not End.NONE:
            cost_ms = self.spec.commit_ms
        async with self._occupy_slot(cost_ms):
            try:
                return self._run_statements(session, lock, batch)
            except SqlFault as error:
                return self._abort_batch(session, lock, error.fault, str(error))

    def _run_statements(
        self, session: SqlSession, lock: _LockHolder, batch: Batch
    ) -> BatchReply:
        if not self.alive:
            raise StreamClosed
        if batch.begin is not Begin.NONE:
            session.begin(batch.begin is Begin.WRITE)
        elif not session.open and (batch.statements or batch.end is End.COMMIT):
            raise SqlFault(Fault.NO_TRANSACTION, "no transaction is open")
        writing = session.in_write or batch.begin is Begin.WRITE
        if (writing and not self.primary) or (batch.term and batch.term != self.term):
            raise SqlFault(Fault.NOT_PRIMARY, f"{self.id} is in term {self.term}")
        reply = BatchReply()
        self.statements_run += len(batch.statements)
        for statement in batch.statements:
            reply.results.append(session.run(statement, batch.max_rows))
        if batch.end is End.COMMIT:
            session.commit(self.term, asyncio.get_running_loop().time())
            self._notify()
        elif batch.end is End.ROLLBACK:
            session.rollback()
        reply.position = self.position
        if batch.reset:
            session.reset()
        if not session.open:
            lock.release()
        return reply

    def _abort_batch(
        self, session: SqlSession, lock: _LockHolder, fault: Fault, detail: str
    ) -> BatchReply:
        session.reset()
        lock.release()
        return BatchReply(position=self.position, fault=fault, detail=detail)

    @asynccontextmanager
    async def _occupy_slot(self, duration_ms: float) -> AsyncIterator[None]:
        async with self._slots:
            await self._clock.sleep_ms(duration_ms)
            await self._running.wait()
            yield

    async def _receive(self, stream: Stream, limit_ms: float | None = None) -> Request:
        async with asyncio.timeout(None if limit_ms is None else limit_ms / MS_PER_S):
            message = await stream.receive()
        await self._running.wait()
        return msgspec.json.decode(message, type=Request)

    async def _answer(self, stream: Stream, request: Request, result: object) -> None:
        await self._running.wait()
        raw = msgspec.Raw(msgspec.json.encode(result))
        message = msgspec.json.encode(Response(request.id or 0, raw))
        faults = self.answer_faults
        if request.method == "batch" and self.batch_faults:
            faults = self.batch_faults
        fault = faults.popleft() if faults else ""
        previous, self._last_answer = self._last_answer, message
        if fault == "late":
            await self._clock.sleep_ms(LATE_ANSWER_DELAY_MS)
        elif fault == "lost":
            return
        elif fault == "partial":
            message = message[: len(message) // 2]
        elif fault == "swapped":
            message = previous
        await stream.send(message)
        if fault == "duplicated":
            await stream.send(message)

    # Terms and replication.

    @property
    def position(self) -> Position:
        """End of the applied log; its term is that of the last leader it matched."""
        return Position(self.log_term, len(self.database.log))

    def status(self) -> Status:
        """Return the status that control connections report.

        Returns
        -------
        Status
            The current status.
        """
        log = self.database.log
        last_term = log[-1].term if log else 0
        leader = self.leader.id if self.leader else ""
        return Status(
            self.id,
            self.term,
            self.primary,
            self.position,
            last_term,
            leader,
            self.leaving,
        )

    def fence(self, term: int, attempt: str) -> bool:
        """Enter a term, step down, and reject commands of lower terms from now on.

        Parameters
        ----------
        term : int
            The new term.
        attempt : str
            The promotion attempt that the term is granted to.

        Returns
        -------
        bool
            Whether the term was granted; also true when the same attempt asks again.
        """
        if term < self.term or (term == self.term and attempt != self._granted_to):
            return False
        if term > self.term:
            self.term = term
            self._granted_to = attempt
            self._step_down()
            self.leader = None
            self._notify()
        return True

    def promote(self, term: int, attempt: str) -> bool:
        """Become primary of a term that was granted by `fence`.

        Parameters
        ----------
        term : int
            The term.
        attempt : str
            The promotion attempt that fenced this target.

        Returns
        -------
        bool
            Whether this target is now the primary of the term.
        """
        if term != self.term or attempt != self._granted_to:
            return False
        if not self.primary:
            self.primary = True
            self.leader = None
            self.log_term = term
            self._notify()
        return True

    def follow(self, term: int, leader: str) -> bool:
        """Replicate from the primary of a term.

        Parameters
        ----------
        term : int
            The term.
        leader : str
            Name of the primary of that term.

        Returns
        -------
        bool
            Whether this target now replicates from that primary.
        """
        if term < self.term or (term == self.term and self.primary):
            return False
        if leader not in self.peers or leader == self.id:
            return False
        if term > self.term:
            self._granted_to = ""
        self.term = term
        self._step_down()
        self.leader = self.peers[leader]
        self._notify()
        return True

    def start(self) -> None:
        """Start the replication task; it is idle while this target is primary."""
        self._follower = asyncio.ensure_future(self._replicate())

    def _step_down(self) -> None:
        if self.primary:
            self.primary = False
            for session in self._sessions:
                session.close()

    async def _replicate(self) -> None:
        """Apply the leader's log entries, each after network delay and lag."""
        while True:
            leader = self.leader
            if leader is None or not self._can_pull(leader):
                await self._wait_for_change(self._changed)
                continue
            if self.log_term != self.term:
                # Reconciling takes a round trip; the leader may change or become
                # unreachable meanwhile, so check again afterwards.
                await self._clock.sleep_ms(2 * self._delay_ms(leader))
                if leader is self.leader and self._can_pull(leader):
                    self._reconcile(leader)
                continue
            await self._apply_next(leader)

    async def _apply_next(self, leader: TargetStandIn) -> None:
        changed, index = leader._changed, len(self.database.log)
        if index >= len(leader.database.log):
            await self._wait_for_change(changed)
            return
        entry = leader.database.log[index]
        delay_ms = self._delay_ms(leader) + self.spec.lag_ms
        due_s = entry.at_s + delay_ms / MS_PER_S
        wait_s = due_s - asyncio.get_running_loop().time()
        if wait_s > 0:
            await self._clock.sleep_ms(wait_s * MS_PER_S)
        still_following = leader is self.leader and self._can_pull(leader)
        if still_following and self.log_term == self.term:
            try:
                self.database.apply(entry)
            except Exception:
                # Continuing without this entry would let the replica diverge from
                # the primary.
                self.kill()
                raise
            self._notify()

    def _reconcile(self, leader: TargetStandIn) -> None:
        """Truncate the log to the prefix that it has in common with the leader's."""
        own_log, leader_log = self.database.log, leader.database.log
        common = 0
        for own_entry, leader_entry in zip(own_log, leader_log, strict=False):
            if own_entry is not leader_entry:
                break
            common += 1
        if common < len(own_log):
            for session in self._sessions:
                session.close()
            self.database.truncate(common)
        self.log_term = self.term
        self._notify()

    def _can_pull(self, leader: TargetStandIn) -> bool:
        return (
            self.alive
            and self._running.is_set()
            and leader.alive
            and leader._running.is_set()
            and leader.primary
            and leader.term == self.term
            and self._network.reachable(self.spec.zone, leader.spec.zone)
        )

    def _delay_ms(self, leader: TargetStandIn) -> float:
        return self._network.delay_ms(self.spec.zone, leader.spec.zone)

    async def _wait_for_change(self, changed: asyncio.Event) -> None:
        # No event is set when reachability changes, so return after this interval at
        # the latest and let the caller check again.
        try:
            async with timeout_ms(RECHECK_INTERVAL_MS):
                await changed.wait()
        except TimeoutError:
            return

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    # Fault injection.

    def pause(self) -> None:
        """Suspend the process; new connections are accepted but not answered."""
        self._running.clear()

    def resume(self) -> None:
        """Resume the process; it continues with its state from before the pause."""
        self._running.set()
        self._notify()

    def kill(self) -> None:
        """Crash: close all connections and roll back open transactions."""
        self.alive = False
        for session in self._sessions:
            session.close()
        for stream in list(self._streams):
            stream.close()

    def restart(self) -> None:
        """Restart after a crash, as a replica without a leader."""
        self.alive = True
        self.primary = False
        self.leader = None
        self._notify()

    def close(self) -> None:
        """Stop replication and remove the database files."""
        if self._follower is not None:
            self._follower.cancel()
        self.kill()
        self.database.close()


class _LockHolder:
    """Tracks whether a connection holds the target's write lock."""

    __slots__ = ("_held", "_lock")

    def __init__(self, lock: asyncio.Lock) -> None:
        self._lock = lock
        self._held = False

    async def acquire(self, limit_ms: float) -> bool:
        if self._held:
            return True
        try:
            async with timeout_ms(limit_ms):
                await self._lock.acquire()
        except TimeoutError:
            return False
        self._held = True
        return True

    def release(self) -> None:
        if self._held:
            self._held = False
            self._lock.release()
