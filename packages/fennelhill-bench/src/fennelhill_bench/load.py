"""Generates a mixed load of sessions, and checks the answers as they arrive."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import Counter
from collections.abc import Iterator

import msgspec
from fennelhill_core.clock import MS_PER_S, Clock
from fennelhill_core.tasks import Tasks
from fennelhill_core.tokens import Signer
from fennelhilld.primary_monitor.samples import covers
from hdrh.histogram import HdrHistogram

from fennelhill_bench.clients import Call, Client, Outcome
from fennelhill_bench.deployment import FLEET_SECRET, TEAM, Deployment
from fennelhill_bench.ledger import TABLES, Ledger, Verdict

TICK_INTERVAL_MS = 50.0
REPLICA_CATCH_UP_MS = 1_000.0
TABLE_CREATION_DEADLINE_MS = 10_000
OUTCOME_DEADLINE_MS = 5_000
MAX_PAUSE_FACTOR = 4  # longest pause of a session, as a multiple of `Mix.think_ms`
HISTOGRAM_MAX_US = 60_000_000
HISTOGRAM_SIGNIFICANT_DIGITS = 3
US_PER_MS = 1_000
DEADLINE_MS = {"status": 500.0, "order-read": 500.0, "order": 1000.0, "upsert": 1000.0}
STATUS_SQL = (
    "SELECT ?, coalesce((SELECT n FROM progress WHERE session = ?), 0), "
    "coalesce((SELECT n FROM tick WHERE id = 1), 0)"
)
PROGRESS_SQL = (
    "INSERT INTO progress (session, n) VALUES (?, ?) "
    "ON CONFLICT (session) DO UPDATE SET n = max(n, excluded.n)"
)
TICK_SQL = (
    "INSERT INTO tick (id, n) VALUES (1, ?) "
    "ON CONFLICT (id) DO UPDATE SET n = max(n, excluded.n)"
)
ORDER_SQL = "INSERT INTO orders (request, session) VALUES (?, ?)"


class Mix(msgspec.Struct):
    """Number of sessions, their pace and the weights of their requests.

    Parameters
    ----------
    sessions : int
        Number of concurrent sessions.
    think_ms : float
        Mean think time between two requests of a session; no pause is longer than
        four times this value.
    status : float
        Weight of status polls.
    order_read : float
        Weight of reads that accept no stale data.
    order : float
        Weight of orders.
    progress : float
        Weight of idempotent writes to the `progress` table.
    transaction : float
        Weight of transactions.
    """

    sessions: int = 24
    think_ms: float = 150.0
    status: float = 0.70
    order_read: float = 0.06
    order: float = 0.12
    progress: float = 0.08
    transaction: float = 0.04


class Tally:
    """Counters and latencies of the load so far."""

    def __init__(self) -> None:
        self.requests = 0
        self.late = 0
        self.reads = 0
        self.replica_reads = 0
        self.permitted_reads = 0
        self.permitted_replica_reads = 0
        self.codes: Counter[int] = Counter()
        self.late_by_class: Counter[str] = Counter()
        self.by_class: Counter[str] = Counter()
        self.latency = HdrHistogram(1, HISTOGRAM_MAX_US, HISTOGRAM_SIGNIFICANT_DIGITS)
        self.write_acks_ms: dict[str, list[float]] = {}

    def record_outcome(self, class_name: str, outcome: Outcome) -> None:
        """Count a request and its outcome.

        Parameters
        ----------
        class_name : str
            Its request class.
        outcome : Outcome
            The answer or refusal.
        """
        self.requests += 1
        self.by_class[class_name] += 1
        self.codes[outcome.code] += 1
        self.latency.record_value(max(1, int(outcome.latency_ms * US_PER_MS)))
        # A request that got no successful answer by its deadline counts as late.
        late = outcome.latency_ms > DEADLINE_MS[class_name]
        if outcome.answer is None or late:
            self.late += 1
            self.late_by_class[class_name] += 1

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latency.

        Parameters
        ----------
        percentile : float
            From 0 to 100.

        Returns
        -------
        float
            Milliseconds.
        """
        return self.latency.get_value_at_percentile(percentile) / US_PER_MS

    @property
    def late_share(self) -> float:
        """Share of the requests without a successful answer by their deadline."""
        return self.late / max(1, self.requests)

    @property
    def replica_read_share(self) -> float:
        """Share of all answered reads that were served by replicas."""
        return self.replica_reads / max(1, self.reads)

    @property
    def permitted_replica_share(self) -> float:
        """Share served by replicas, of the reads that a replica could have served."""
        return self.permitted_replica_reads / max(1, self.permitted_reads)

    def write_gap_ms(self, group: str, since_ms: float) -> float:
        """Return the longest time without an acknowledged write.

        Parameters
        ----------
        group : str
            The database group.
        since_ms : float
            Gaps that ended before this time are ignored.

        Returns
        -------
        float
            Milliseconds; -1 if no gap ended at or after that time.
        """
        times = self.write_acks_ms.get(group, [])
        gaps = [
            later - earlier
            for earlier, later in itertools.pairwise(times)
            if later >= since_ms
        ]
        return max(gaps, default=-1.0)


class Load:
    """Drives sessions against a deployment and checks their answers.

    Parameters
    ----------
    deployment : Deployment
        The deployment.
    client : Client
        Sends the calls.
    mix : Mix
        Number of sessions, their pace and the weights of their requests.
    seed : int
        Seed of all random choices.
    """

    def __init__(
        self, deployment: Deployment, client: Client, mix: Mix, seed: int = 1
    ) -> None:
        self.deployment = deployment
        self.ledger = Ledger()
        self.tally = Tally()
        self.unresolved: dict[str, Outcome] = {}
        self._client = client
        self._mix = mix
        self._clock = Clock()
        self._random = random.Random(seed)
        self._tasks = Tasks()
        self._stopping = False
        self._groups = list(deployment.settings.teams[TEAM].groups)
        self._signer = Signer([FLEET_SECRET])

    async def prepare(self) -> None:
        """Create the tables in every group, and give the replicas time to apply them.

        Raises
        ------
        RuntimeError
            If a group does not confirm a statement.
        """
        for group in self._groups:
            for sql in TABLES:
                call = Call("execute", group, sql, class_name="upsert")
                call.deadline_ms = TABLE_CREATION_DEADLINE_MS
                outcome = await self.send(call)
                if outcome.answer is None:
                    raise RuntimeError(
                        f"{group}: cannot create tables: {outcome.error}"
                    )
        # Long enough for replicas with a large replication lag.
        await self._clock.sleep_ms(REPLICA_CATCH_UP_MS)

    def start(self) -> None:
        """Start all sessions, and the writes to the `tick` table of each group."""
        for number in range(self._mix.sessions):
            group = self._groups[number % len(self._groups)]
            self._tasks.spawn(_Session(self, f"s{number}", group).run())
        for group in self._groups:
            self._tasks.spawn(self._write_ticks(group))

    async def stop(self) -> None:
        """Stop the sessions and the tick writes after the requests in progress."""
        self._stopping = True
        await self._tasks.wait()

    async def resolve_unknown(self) -> None:
        """Request and record the outcome of every order whose outcome is unknown.

        Requests that fail are stored in `unresolved`, by the name of the order.
        """
        for request, sent_order in self.ledger.orders.items():
            if sent_order.outcome != "unknown":
                continue
            call = Call(
                "outcome",
                f"{sent_order.group}/{request}",
                deadline_ms=OUTCOME_DEADLINE_MS,
            )
            outcome = await self.send(call)
            if outcome.answer is not None:
                sent_order.outcome = outcome.answer.outcome
            else:
                self.unresolved[request] = outcome

    async def send(self, call: Call) -> Outcome:
        """Send a call to a random entry host that is up, and return its outcome."""
        host = self._random.choice(list(self.deployment.daemons))
        return await self._client.call(host, call)

    async def _write_ticks(self, group: str) -> None:
        """Write increasing numbers to a group, for the check of stale reads."""
        n = 0
        while not self._stopping:
            n += 1
            call = Call("execute", group, TICK_SQL, [n], class_name="upsert")
            outcome = await self.send(call)
            self.tally.record_outcome("upsert", outcome)
            if outcome.answer is not None:
                now_ms = self._clock.now_ms()
                self.ledger.record_tick(group, now_ms, n)
                self.tally.write_acks_ms.setdefault(group, []).append(now_ms)
            await self._clock.sleep_ms(TICK_INTERVAL_MS)


class _Session:
    """A caller with a session token that sends each request to a random host."""

    def __init__(self, load: Load, name: str, group: str) -> None:
        self._load = load
        self._name = name
        self._group = group
        self._token = ""
        self._acknowledged_progress = 0
        self._sent_progress = 0
        self._request_count = 0

    async def run(self) -> None:
        load, mix = self._load, self._load._mix
        outcome = await load.send(Call("session"))
        self._token = outcome.session
        actions = {
            self._poll_status: mix.status,
            self._read_order: mix.order_read,
            self._place_order: mix.order,
            self._write_progress: mix.progress,
            self._run_transaction: mix.transaction,
        }
        while not load._stopping:
            pause_ms = load._random.expovariate(1.0 / mix.think_ms)
            await load._clock.sleep_ms(min(pause_ms, MAX_PAUSE_FACTOR * mix.think_ms))
            if load._stopping:
                return
            action = load._random.choices(list(actions), list(actions.values()))[0]
            await action()

    async def _poll_status(self) -> None:
        await self._read("status", allowed_age_ms=2000.0)

    async def _read_order(self) -> None:
        await self._read("order-read", allowed_age_ms=0.0)

    async def _read(self, class_name: str, allowed_age_ms: float) -> None:
        load, tally = self._load, self._load.tally
        self._request_count += 1
        marker = f"{self._name}/{self._request_count}"
        call = self._build_call(STATUS_SQL, [marker, self._name], class_name)
        progress, started_ms = self._acknowledged_progress, load._clock.now_ms()
        permitted = bool(allowed_age_ms) and self._replica_could_serve()
        tick = load.ledger.last_tick(self._group, started_ms - allowed_age_ms)
        outcome = await load.send(call)
        tally.record_outcome(class_name, outcome)
        if outcome.answer is None:
            return
        row = outcome.answer.rows[0]
        load.ledger.check_answer("read", marker, row[0])
        load.ledger.check_read(
            f"{class_name} of session {self._name}", progress, row[1]
        )
        load.ledger.check_read(f"{class_name} in group {self._group}", tick, row[2])
        by_replica = outcome.answer.served_by == "replica"
        tally.reads += 1
        tally.replica_reads += by_replica
        tally.permitted_reads += permitted
        tally.permitted_replica_reads += permitted and by_replica

    async def _place_order(self) -> None:
        load = self._load
        request = self._new_request()
        call = self._build_call(ORDER_SQL, [request, self._name], "order", request)
        outcome = await load.send(call)
        load.tally.record_outcome("order", outcome)
        self._record_order_answer(request, outcome)

    async def _write_progress(self) -> None:
        self._sent_progress += 1
        n = self._sent_progress
        call = self._build_call(PROGRESS_SQL, [self._name, n], "upsert")
        outcome = await self._load.send(call)
        self._load.tally.record_outcome("upsert", outcome)
        if outcome.answer is not None:
            self._acknowledged_progress = n
            self._token = outcome.session

    async def _run_transaction(self) -> None:
        load = self._load
        request = self._new_request()
        self._sent_progress += 1
        n = self._sent_progress
        begin = Call("begin", self._group, class_name="order", session=self._token)
        begin_outcome = await load.send(begin)
        if begin_outcome.answer is None:
            load.tally.record_outcome("order", begin_outcome)
            load.ledger.record_answer(request, begin_outcome.error)
            return
        transaction = begin_outcome.answer.transaction
        for sql, params in (
            (ORDER_SQL, [request, self._name]),
            (PROGRESS_SQL, [self._name, n]),
        ):
            statement = Call("statement", transaction, sql, params, class_name="order")
            outcome = await load.send(statement)
            if outcome.answer is None:
                load.tally.record_outcome("order", outcome)
                await load.send(Call("rollback", transaction))
                if outcome.error is not None:
                    load.ledger.orders[request].outcome = "not run"
                return
        commit = Call("commit", transaction, class_name="order", key=request)
        commit.session = self._token
        outcome = await load.send(commit)
        load.tally.record_outcome("order", outcome)
        if outcome.answer is not None:
            self._acknowledged_progress = n
        self._record_order_answer(request, outcome)

    def _build_call(
        self, sql: str, params: list, class_name: str, key: str = ""
    ) -> Call:
        return Call("execute", self._group, sql, params, class_name, self._token, key)

    def _new_request(self) -> str:
        self._request_count += 1
        request = f"{self._name}-{self._request_count}"
        self._load.ledger.record_order(request, self._group)
        return request

    def _record_order_answer(self, request: str, outcome: Outcome) -> None:
        load = self._load
        if outcome.answer is None and outcome.error is None:
            return
        load.ledger.record_answer(request, outcome.error)
        if outcome.answer is not None:
            self._token = outcome.session
            acks = load.tally.write_acks_ms.setdefault(self._group, [])
            acks.append(load._clock.now_ms())

    def _replica_could_serve(self) -> bool:
        """Return whether a replica has applied the writes of this session.

        Reads the state of the target stand-ins, not that of the daemons.
        """
        session = self._load._signer.verify_session(self._token, TEAM)
        minimum = session.minimum_position(self._group) if session else None
        if minimum is None:
            return False
        return any(
            target.alive and not target.primary and covers(target.position, minimum)
            for target in self._load.deployment.group(self._group)
        )


async def run_for(load: Load, duration_ms: float) -> None:
    """Run a load for a given time, then stop it.

    Parameters
    ----------
    load : Load
        The load, prepared.
    duration_ms : float
        Duration in milliseconds.
    """
    load.start()
    await asyncio.sleep(duration_ms / MS_PER_S)
    await load.stop()


def load_figures(
    tally: Tally, verdict: Verdict, prefix: str = ""
) -> Iterator[tuple[str, float]]:
    """Yield the figures of a load with their names.

    Parameters
    ----------
    tally : Tally
        Counters and latencies of the load.
    verdict : Verdict
        Result of the check of the guarantees.
    prefix : str
        Prefix of the names; empty for the main variant of a round.

    Yields
    ------
    tuple
        Name and value.
    """
    yield f"{prefix}requests", tally.requests
    for code, count in sorted(tally.codes.items()):
        yield f"{prefix}code_{code}", count
    yield f"{prefix}replica_read_share", tally.replica_read_share
    yield f"{prefix}permitted_replica_share", tally.permitted_replica_share
    yield f"{prefix}late_share", tally.late_share
    yield f"{prefix}p50_ms", tally.percentile_ms(50)
    yield f"{prefix}p99_ms", tally.percentile_ms(99)
    yield f"{prefix}lost", len(verdict.lost)
    yield f"{prefix}doubled", len(verdict.doubled) + len(verdict.ran_after_all)
    yield f"{prefix}stale_reads", len(verdict.stale) + len(verdict.mixed)
