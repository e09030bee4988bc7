"""Judges the session core from outside: what clients got against what targets ran."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import msgspec
from fennelhill_core.codes import Outcome
from fennelhill_core.tokens import Position
from fennelhilld.catalog.state import Database, ReadKind
from fennelhilld.statements.messages import Reply, Statement

if TYPE_CHECKING:
    from fennelhill_bench.sessionworld.targets import GroupModel, TargetModel


class Run(msgspec.Struct):
    """One run of a statement at a target.

    Parameters
    ----------
    request : str
        Id of the statement.
    target : str
        Where.
    link : int
        On which connection.
    in_transaction : bool
        Whether a transaction was open on the connection.
    values : dict
        Session values of the connection.
    prepared : tuple
        Whether the statement wrote, and the prepared shape that ran.
    at_ms : float
        When.
    """

    request: str
    target: str
    link: int
    in_transaction: bool
    values: dict[str, str]
    prepared: tuple[bool, str]
    at_ms: float


class Asked(msgspec.Struct):
    """What a client expects of one of its statements.

    Parameters
    ----------
    database : Database
        Where it was asked.
    values : dict
        Session values that the client had set.
    prepared : tuple
        Whether it writes, and its prepared shape.
    in_transaction : bool
        Whether the client had a transaction open.
    began_ms : float
        When the statement, or its transaction, began.
    own : Position or None
        Last commit of the session that was acknowledged before.
    """

    database: Database
    values: dict[str, str]
    prepared: tuple[bool, str]
    in_transaction: bool
    began_ms: float
    own: Position | None


class Observer:
    """Notes runs, commits and replies, and tells which promises were broken."""

    def __init__(self) -> None:
        # By group: term of the last promotion, and what it kept.
        self._survived: dict[str, tuple[int, set[Position]]] = {}
        self.broken: list[str] = []
        self.asked: dict[str, Asked] = {}
        self.runs: dict[str, list[Run]] = {}
        self.acknowledged: dict[str, list[tuple[float, Position]]] = {}
        self.refused_writes: set[str] = set()
        self.commits_asked: set[str] = set()
        self.reads = 0

    def asks(self, statement: Statement, asked: Asked) -> None:
        """Note that a client sends a statement."""
        self.asked[statement.request_id] = asked

    def ran(self, run: Run, target: TargetModel, writes: bool) -> None:
        """Check a run against what its client asked for."""
        asked = self.asked.get(run.request)
        if asked is None:
            self.broken.append(f"UNASKED {run}")
            return
        self.runs.setdefault(run.request, []).append(run)
        if run.values != asked.values:
            self.broken.append(f"PINNED values {run} for {asked}")
        if run.prepared != asked.prepared:
            self.broken.append(f"PINNED prepared {run} for {asked}")
        if asked.in_transaction and not run.in_transaction:
            self.broken.append(f"PINNED outside its transaction {run}")
        if not writes:
            self.reads += 1
            self._check_freshness(run, asked, target)

    def commit_ran(self, request: str, written: tuple[str, ...]) -> None:
        """Check that a commit was asked for."""
        if request not in self.commits_asked:
            self.broken.append(f"UNASKED commit {request} of {written}")

    def promoted(self, group: str, target: TargetModel) -> None:
        """Forget acknowledged commits that a promotion has rolled back."""
        kept = {entry.position for entry in target.log}
        self._survived[group] = (target.term, kept)
        self.acknowledged[group] = [
            one for one in self.acknowledged.get(group, []) if one[1] in kept
        ]

    def answered(self, statement: Statement, reply: Reply, now_ms: float) -> None:
        """Check the reply to a read or write."""
        if reply.code is not None:
            writes = self.asked[statement.request_id].prepared[0]
            if writes and reply.code.outcome is Outcome.NOT_RUN:
                self.refused_writes.add(statement.request_id)
            return
        if not reply.signature.endswith(f":{statement.request_id}"):
            self.broken.append(f"MIXED {statement} got {reply}")
        if reply.rows != [f"row {statement.request_id}"]:
            self.broken.append(f"MIXED rows {statement} got {reply}")

    def acknowledges(self, group: str, position: Position, now_ms: float) -> None:
        """Note that a client heard of its commit.

        The answer may be on its way while a promotion rolls the commit back (seed 8,
        twelve hosts: committed 0.7 ms before and heard of 2.3 ms after it).
        """
        term, kept = self._survived.get(group, (0, set()))
        if position.term < term and position not in kept:
            return
        self.acknowledged.setdefault(group, []).append((now_ms, position))

    def finish(self, groups: dict[str, GroupModel]) -> list[str]:
        """Check the final logs; return all that was broken."""
        for group in groups.values():
            held = Counter(
                request for entry in group.leader.log for request in entry.requests
            )
            twice = [request for request, count in held.items() if count > 1]
            self.broken += [f"TWICE {request}" for request in twice]
            both = self.refused_writes & held.keys()
            self.broken += [f"REFUSED {request}" for request in both]
        return self.broken

    def _check_freshness(self, run: Run, asked: Asked, target: TargetModel) -> None:
        database = asked.database
        allowed_ms = 0.0 if database.reads is ReadKind.CURRENT else database.max_age_ms
        for acknowledged_ms, position in self.acknowledged.get(database.group, []):
            due = acknowledged_ms < asked.began_ms - allowed_ms
            own = database.reads is ReadKind.OWN_WRITES and asked.own == position
            if (due or own) and not target.holds(position):
                late_ms = asked.began_ms - acknowledged_ms
                self.broken.append(f"STALE {run} lacks {position}, {late_ms} ms old")
                return


class RunRecorder(Observer):
    """Notes runs without judging them, for clients that do so themselves."""

    def ran(self, run: Run, target: TargetModel, writes: bool) -> None:
        """Note a run."""
        self.runs.setdefault(run.request, []).append(run)

    def commit_ran(self, request: str, written: tuple[str, ...]) -> None:
        """Accept any commit."""
