"""Models of one group's targets: terms, logs, lag, slots, promotion and faults."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import deque
from collections.abc import Callable

import msgspec
from fennelhill_core.clock import Clock
from fennelhill_core.tokens import Position
from fennelhilld.links.messages import (
    Command,
    CommandKind,
    LinkLostError,
    LinkRefusedError,
    TargetAnswer,
    TargetFault,
    TargetStatus,
    Urgency,
)
from fennelhilld.statements.messages import StatementKind, TransactionState

from fennelhill_bench.session_simulation.checks import Observer, Run

TARGETS_PER_GROUP = 3
# Bounds of a statement's random time in a slot and of a random replication lag, as
# multiples of their means.
MIN_SERVICE_FACTOR = 0.4
MAX_SERVICE_FACTOR = 1.6
MIN_LAG_FACTOR = 0.5
MAX_LAG_FACTOR = 1.5

# Time after which a replaced leader that reaches the new one becomes a replica.
NOTICE_MS = 1_000.0
REACH_CHECK_MS = 20.0
# A lost packet is sent again until it arrives, or for this long.
RETRANSMISSION_MS = 3_000.0


class LogEntry(msgspec.Struct, frozen=True):
    """A commit in a log.

    Parameters
    ----------
    position : Position
        Its position in the log.
    requests : tuple of str
        Request ids of the writes in the commit.
    """

    position: Position
    requests: tuple[str, ...]


class Traits(msgspec.Struct):
    """Capacity and delays of a target.

    Parameters
    ----------
    slots : int
        Statements that run at the same time.
    queue : int
        Statements that may wait for a slot; further ones are refused as busy.
    max_connections : int
        Connections that the target accepts.
    set_up_ms : float
        Time to open a connection.
    service_ms : float
        Mean time of a statement in a slot.
    network_ms : float
        Delay of the network in one direction.
    lag_ms : float
        Mean replication lag, if the target is a replica.
    promote_ms : float
        Time to carry out a promotion.
    slowdown : float
        Factor on the time in a slot.
    old_leader_goes_on : bool
        Whether a replaced leader goes on accepting writes until it is demoted, or has
        been able to reach the new leader for `NOTICE_MS`.
    """

    slots: int = 2
    queue: int = 16
    max_connections: int = 16
    set_up_ms: float = 12.0
    service_ms: float = 8.0
    network_ms: float = 1.0
    lag_ms: float = 40.0
    promote_ms: float = 500.0
    slowdown: float = 1.0
    old_leader_goes_on: bool = False


class TargetModel:
    """One target of a group."""

    def __init__(self, group: GroupModel, target_id: str, traits: Traits) -> None:
        self.group = group
        self.id = target_id
        self.traits = traits
        self.leads = False
        self.term = 1
        self.log: list[LogEntry] = []
        self.applied = 0  # number of log entries that are visible to reads
        self.up = True
        self.silent = False
        # Isolated targets reach each other, but no other target.
        self.isolated = False
        # The leader whose log it receives; None for a leader.
        self.upstream: TargetModel | None = None
        self.answer_loss_probability = 0.0
        self.links: set[LinkModel] = set()
        self.running = 0
        self.waiting = 0
        self.free_slots = asyncio.Semaphore(traits.slots)

    @property
    def applied_position(self) -> Position:
        """Last position that is visible to reads."""
        return self.log[self.applied - 1].position if self.applied else Position(1, 0)

    @property
    def received_position(self) -> Position:
        """Last position in the log."""
        return self.log[-1].position if self.log else Position(1, 0)

    def reaches(self, other: TargetModel) -> bool:
        """Return whether the network connects it with another target."""
        return self.isolated == other.isolated

    def holds(self, position: Position) -> bool:
        """Return whether exactly the commit at a position is visible to reads."""
        return (
            0 < position.index <= self.applied
            and self.log[position.index - 1].position == position
        )

    def has_applied(self, position: Position) -> bool:
        """Return whether a position is visible to reads."""
        if position.index == 0:
            return True
        if self.applied < position.index:
            return False
        return self.log[position.index - 1].position.term >= position.term

    def crash(self) -> None:
        """Stop, and break all links."""
        self.up = False
        for link in list(self.links):
            link.cut()

    def restart(self) -> None:
        """Start again with the log kept; as a replica if another target leads now."""
        self.up = True
        if self.group.leader is not self:
            self.leads = False
            self.group.follow_when_reached(self)

    def follow(self, leader: TargetModel) -> None:
        """Follow a leader: take over its log and drop entries that it lacks."""
        self.upstream = leader
        self.term = leader.term
        kept = 0
        for own_entry, leader_entry in zip(self.log, leader.log, strict=False):
            if own_entry != leader_entry:
                break
            kept += 1
        self.log = self.log[:kept] + leader.log[kept:]
        self.applied = min(self.applied, kept)
        self.group.schedule_apply(self, len(self.log))


class GroupModel:
    """The targets of one group, and the platform's promotion call.

    Parameters
    ----------
    name : str
        Name of the group.
    targets : int
        Number of targets.
    traits : Traits
        Capacity and delays of each target.
    clock : Clock
        Source of time.
    random_state : random.Random
        Source of randomness.
    observer : Observer
        Records each run, commit and promotion.
    leader : int
        Number of the target that leads at first.
    """

    def __init__(
        self,
        name: str,
        targets: int,
        traits: Traits,
        clock: Clock,
        random_state: random.Random,
        observer: Observer,
        leader: int = 0,
    ) -> None:
        self.name = name
        self.clock = clock
        self.random = random_state
        self.observer = observer
        self.replication_stopped: set[str] = set()
        self.targets = {
            f"{name}-{number}": TargetModel(
                self, f"{name}-{number}", msgspec.structs.replace(traits)
            )
            for number in range(targets)
        }
        self.leader = self.targets[f"{name}-{leader}"]
        self.leader.leads = True
        for target in self.targets.values():
            target.upstream = None if target is self.leader else self.leader
        # Returns the time of a command in a slot; if None, the time is random.
        self.work_ms: Callable[[Command], float] | None = None
        self.highest_token = 0
        self.promotions: list[tuple[str, int]] = []
        self._tasks: set[asyncio.Task] = set()

    def spawn(self, work: object) -> asyncio.Task:
        """Start a background task and keep a reference to it."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def command_work_ms(self, command: Command, traits: Traits) -> float:
        """Return how long a command occupies a slot, in milliseconds."""
        if self.work_ms is not None:
            return self.work_ms(command) * traits.slowdown
        return (
            traits.service_ms
            * self.random.uniform(MIN_SERVICE_FACTOR, MAX_SERVICE_FACTOR)
            * traits.slowdown
        )

    def commit(self, target: TargetModel, requests: tuple[str, ...]) -> Position:
        """Append a commit to the log and start its replication."""
        position = Position(target.term, len(target.log) + 1)
        if target is not self.leader:
            self.observer.record_deposed_commit(requests)
        target.log.append(LogEntry(position, requests))
        target.applied = len(target.log)
        for other in self.targets.values():
            if other.upstream is target and other.id not in self.replication_stopped:
                self.spawn(self._replicate(target, other, len(target.log)))
        return position

    def schedule_apply(self, target: TargetModel, length: int) -> None:
        """Make the first `length` entries of a replica's log visible after its lag."""
        self.spawn(self._apply(target, length))

    async def promote(self, target_id: str) -> None:
        """Promote a target after its `promote_ms`, unless it leads or is down then."""
        target = self.targets[target_id]
        await self.clock.sleep_ms(target.traits.promote_ms)
        if target is self.leader or not target.up:
            return
        old_leader, self.leader = self.leader, target
        if old_leader.traits.old_leader_goes_on and old_leader.up:
            self.spawn(self._notice_new_leader(old_leader))
        else:
            old_leader.leads = False
        target.term = max(model.term for model in self.targets.values()) + 1
        target.leads = True
        target.upstream = None
        target.applied = len(target.log)
        self.observer.record_promotion(self.name, target)
        for other in self.targets.values():
            if other is not target and not other.leads:
                if other.up:
                    self.follow_when_reached(other)
                for link in list(other.links):
                    link.leadership_lost = True

    def demote(self, target: TargetModel, term: int) -> None:
        """Make a target that leads in an earlier term a replica."""
        if not target.leads or target.term >= term:
            return
        target.leads = False
        for link in list(target.links):
            link.leadership_lost = True
        if self.leader is not target:
            self.follow_when_reached(target)

    def follow_when_reached(self, target: TargetModel) -> None:
        """Make a target follow the leader as soon as they reach each other.

        Until then a replica goes on receiving the log of the leader that it follows.
        """
        if target.reaches(self.leader):
            target.follow(self.leader)
        else:
            self.spawn(self._follow_later(target))

    async def _follow_later(self, target: TargetModel) -> None:
        while not target.reaches(self.leader):
            await self.clock.sleep_ms(REACH_CHECK_MS)
        current = target.upstream is self.leader
        if target.up and not target.leads and not current:
            target.follow(self.leader)

    def catch_up(self) -> None:
        """Send each replica what it missed while it did not reach its leader."""
        for target in self.targets.values():
            if target.upstream is not None:
                length = len(target.upstream.log)
                self.spawn(self._replicate(target.upstream, target, length))

    async def _notice_new_leader(self, old_leader: TargetModel) -> None:
        while not old_leader.reaches(self.leader):
            await self.clock.sleep_ms(REACH_CHECK_MS)
        await self.clock.sleep_ms(NOTICE_MS)
        self.demote(old_leader, self.leader.term)

    async def _replicate(
        self, source: TargetModel, replica: TargetModel, length: int
    ) -> None:
        await self.clock.sleep_ms(replica.traits.network_ms)
        stopped = replica.id in self.replication_stopped
        if not replica.up or not source.leads or stopped:
            return
        if replica.upstream is not source or not replica.reaches(source):
            return
        if replica.leads:  # It was replaced and has not noticed.
            return
        if len(replica.log) < length:
            replica.log = source.log[:length]
            replica.term = source.term
        await self._apply(replica, length)

    async def _apply(self, target: TargetModel, length: int) -> None:
        await self.clock.sleep_ms(
            target.traits.lag_ms * self.random.uniform(MIN_LAG_FACTOR, MAX_LAG_FACTOR)
        )
        target.applied = max(target.applied, min(length, len(target.log)))


_IN_SLOT = frozenset(
    {
        CommandKind.STATEMENT,
        CommandKind.COMMIT,
        CommandKind.STATUS,
        CommandKind.DEMOTE,
    }
)


class LinkModel:
    """One connection; commands run, and answers return, in the order sent."""

    _numbers = itertools.count(1)

    def __init__(self, target: TargetModel, driver: DriverModel) -> None:
        self.target = target
        self.driver = driver
        self.silent = False
        self.number = next(self._numbers)
        self.closed = False
        self.leadership_lost = False
        self.values: dict[str, str] = {}
        self.prepared: dict[str, tuple[bool, str]] = {}
        self.transaction_kind: str = ""
        self.transaction_failed = False
        self.written: list[str] = []
        self._answers: deque[TargetAnswer] = deque()
        self._answer_available = asyncio.Event()
        self._commands: asyncio.Queue[Command] = asyncio.Queue()
        target.links.add(self)
        self._task = target.group.spawn(self._serve())

    async def send(
        self, commands: list[Command], urgency: Urgency | None = None
    ) -> None:
        """Queue commands for the target; raises `LinkLostError`."""
        if self.closed:
            raise LinkLostError("closed")
        for command in commands:
            self._commands.put_nowait(msgspec.structs.replace(command))

    async def receive(self) -> TargetAnswer:
        """Return the next answer; raises `LinkLostError`."""
        while not self._answers:
            if self.closed:
                raise LinkLostError("the connection was lost")
            await self._answer_available.wait()
            self._answer_available.clear()
        return self._answers.popleft()

    def cut(self) -> None:
        """Break the connection; an open transaction is rolled back."""
        self.closed = True
        self.target.links.discard(self)
        self._answer_available.set()
        self._task.cancel()

    close = cut

    async def _serve(self) -> None:
        clock = self.target.group.clock
        while True:
            command = await self._commands.get()
            await clock.sleep_ms(self.target.traits.network_ms)
            if not await self._delivered(to_target=True):
                return
            answer = await self._run(command)
            answer_lost = (
                self.target.group.random.random() < self.target.answer_loss_probability
            )
            if self.silent or self.target.silent or (answer_lost and answer.signature):
                return  # The link delivers no further answers.
            await clock.sleep_ms(self.target.traits.network_ms)
            if not await self._delivered(to_target=False):
                return
            self._answers.append(answer)
            self._answer_available.set()

    async def _delivered(self, to_target: bool) -> bool:
        """Wait until a packet arrives; return False if the connection is given up."""
        clock = self.target.group.clock
        given_up_ms = clock.now_ms() + RETRANSMISSION_MS
        while self.driver.paused or not self.driver.delivers(self.target, to_target):
            if not self.driver.paused and clock.now_ms() >= given_up_ms:
                self.target.links.discard(self)
                return False
            await clock.sleep_ms(REACH_CHECK_MS)
        return True

    async def _run(self, command: Command) -> TargetAnswer:
        kind = command.kind
        if kind in _IN_SLOT:
            target = self.target
            if target.waiting >= target.traits.queue:
                return self._answer(TargetFault.BUSY)
            target.waiting += 1
            try:
                await target.free_slots.acquire()
            finally:
                # Runs also when the connection is cut during the wait.
                target.waiting -= 1
            try:
                work_ms = target.group.command_work_ms(command, target.traits)
                await target.group.clock.sleep_ms(work_ms)
            finally:
                target.free_slots.release()
        return getattr(self, f"_run_{kind.value}")(command)

    def _answer(
        self, fault: TargetFault | None = None, **fields: object
    ) -> TargetAnswer:
        if fault is not None and self.transaction_kind:
            self.transaction_failed = fault is not TargetFault.BUSY
        state = TransactionState.IDLE
        if self.transaction_kind:
            transaction_failed = self.transaction_failed
            state = (
                TransactionState.FAILED if transaction_failed else TransactionState.OPEN
            )
        return TargetAnswer(
            fault=fault, state=state, position=self.target.applied_position, **fields
        )

    def _end_transaction(self) -> None:
        self.transaction_kind = ""
        self.transaction_failed = False
        self.written = []

    def _run_begin(self, command: Command) -> TargetAnswer:
        if not self.target.leads:
            return self._answer(TargetFault.NOT_LEADING)
        if command.after is not None and not self.target.has_applied(command.after):
            return self._answer(TargetFault.BEHIND)
        self.transaction_kind = "read_write"
        self.leadership_lost = False
        return self._answer()

    def _run_begin_read_only(self, command: Command) -> TargetAnswer:
        if command.after is not None and not self.target.has_applied(command.after):
            return self._answer(TargetFault.BEHIND)
        self.transaction_kind = "read_only"
        return self._answer()

    def _run_rollback(self, command: Command) -> TargetAnswer:
        self._end_transaction()
        return self._answer()

    def _run_set_value(self, command: Command) -> TargetAnswer:
        self.values[command.name] = command.value
        return self._answer()

    def _run_prepare(self, command: Command) -> TargetAnswer:
        self.prepared[command.name] = (command.writes, command.value)
        return self._answer()

    def _run_deallocate(self, command: Command) -> TargetAnswer:
        if self.prepared.pop(command.name, None) is None:
            return self._answer(TargetFault.UNKNOWN_PREPARED)
        return self._answer()

    def _run_reset(self, command: Command) -> TargetAnswer:
        self.values = {}
        self.prepared = {}
        return self._answer()

    def _run_status(self, command: Command) -> TargetAnswer:
        return self._answer()

    def _run_demote(self, command: Command) -> TargetAnswer:
        self.target.group.demote(self.target, command.term)
        return self._answer()

    def _run_commit(self, command: Command) -> TargetAnswer:
        target = self.target
        not_leading = self.transaction_kind == "read_write" and (
            self.leadership_lost or not target.leads
        )
        if self.transaction_failed or (not_leading and self.written):
            self._end_transaction()
            return self._answer(TargetFault.NOT_LEADING)
        request_id = command.statement.request_id
        target.group.observer.record_commit(request_id, tuple(self.written))
        if self.written:
            target.group.commit(target, tuple(self.written))
        self._end_transaction()
        return self._answer(signature=f"{target.id}:{request_id}")

    def _run_statement(self, command: Command) -> TargetAnswer:
        statement = command.statement
        target = self.target
        if self.transaction_failed:
            return self._answer(TargetFault.MALFORMED)
        writes, shape = statement.writes, ""
        if statement.kind is StatementKind.EXECUTE:
            if command.name not in self.prepared:
                return self._answer(TargetFault.UNKNOWN_PREPARED)
            writes, shape = self.prepared[command.name]
        if command.after is not None and not target.has_applied(command.after):
            return self._answer(TargetFault.BEHIND)
        in_read_write = self.transaction_kind == "read_write"
        if (in_read_write and (self.leadership_lost or not target.leads)) or (
            writes and not target.leads
        ):
            return self._answer(TargetFault.NOT_LEADING)
        run = Run(
            statement.request_id,
            target.id,
            self.number,
            bool(self.transaction_kind),
            dict(self.values),
            (writes, shape),
            target.group.clock.now_ms(),
        )
        target.group.observer.record_run(run, target, writes)
        if writes and self.transaction_kind:
            self.written.append(statement.request_id)
        elif writes:
            target.group.commit(target, (statement.request_id,))
        signature = f"{target.id}:{statement.request_id}"
        return self._answer(signature=signature, rows=[f"row {statement.request_id}"])


class DriverModel:
    """Opens links to the targets of all groups.

    Parameters
    ----------
    groups : dict
        `GroupModel` by name.
    """

    def __init__(self, groups: dict[str, GroupModel]) -> None:
        self.groups = groups
        self.unreachable_targets: set[str] = set()
        # Whether the host is suspended: what it sends and receives waits.
        self.paused = False
        # Whether a packet between the host and a target arrives; the second argument
        # says whether the target is the receiver.
        self.delivers: Callable[[TargetModel, bool], bool] = lambda *_: True
        # Whether packets that don't arrive are answered by a reset.
        self.resets = False

    def reset_links(self) -> None:
        """Break the open links to targets that the host does not reach."""
        for group in self.groups.values():
            for target in group.targets.values():
                for link in list(target.links):
                    if link.driver is self and not self._reaches(target):
                        link.cut()

    def _reaches(self, target: TargetModel) -> bool:
        return self.delivers(target, True) and self.delivers(target, False)

    def silence_links(self) -> None:
        """Make the open links to unreachable targets deliver no more answers."""
        for group in self.groups.values():
            for target in group.targets.values():
                if target.id in self.unreachable_targets:
                    for link in target.links:
                        link.silent = link.silent or link.driver is self

    async def open(
        self,
        group: str,
        target_id: str,
        address: str,
        limit_ms: float,
        organisation: str = "",
    ) -> LinkModel:
        """Open a link; raises `LinkRefusedError`."""
        model = self.groups[group]
        target = model.targets[target_id]
        if self.resets and not self._reaches(target):
            await model.clock.sleep_ms(2 * target.traits.network_ms)
            raise LinkRefusedError(TargetFault.OTHER, "connection reset")
        silent = target.silent or target_id in self.unreachable_targets
        if silent or self.paused or not self._reaches(target):
            await model.clock.sleep_ms(limit_ms)
            raise LinkRefusedError(TargetFault.OTHER, "no answer in time")
        await model.clock.sleep_ms(2 * target.traits.network_ms)
        if not target.up:
            raise LinkRefusedError(TargetFault.OTHER, "connection refused")
        if len(target.links) >= target.traits.max_connections:
            raise LinkRefusedError(TargetFault.TOO_MANY_CONNECTIONS, target_id)
        link = LinkModel(target, self)
        await model.clock.sleep_ms(target.traits.set_up_ms)
        return link

    async def status(self, link: LinkModel) -> TargetStatus | None:
        """Return the status of a target, or None if it is busy."""
        return await self._request_status(link, Command(CommandKind.STATUS))

    async def demote(self, link: LinkModel, term: int) -> TargetStatus | None:
        """Demote a target; return its status, or None if it is busy."""
        return await self._request_status(link, Command(CommandKind.DEMOTE, term=term))

    async def _request_status(
        self, link: LinkModel, command: Command
    ) -> TargetStatus | None:
        await link.send([command])
        answer = await link.receive()
        if answer.fault is TargetFault.BUSY:
            return None
        target = link.target
        return TargetStatus(target.leads, target.term, target.received_position, 0.0)
