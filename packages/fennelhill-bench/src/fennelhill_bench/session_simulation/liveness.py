"""Check that every simulated host serves writes to every group again."""

from __future__ import annotations

import asyncio

import msgspec
from fennelhilld.catalog.state import Database, ReadKind
from fennelhilld.gateway import SessionGateway

from fennelhill_bench.session_simulation.simulation import SessionSimulation

# Between two writes of a host to a group, for each host: the load of all hosts together
# stays well below what a leader serves.
PAUSE_MS_PER_HOST = 15.0
# For this long after the time limit no write may be refused.
SERVED_FOR_MS = 1_000.0


class WriteOutcome(msgspec.Struct, frozen=True):
    """How one write of the check ended.

    Parameters
    ----------
    host : str
        The host that got it.
    database : str
        The database that it was for.
    began_ms : float
        When it was sent, since the check began.
    ended_ms : float
        When it was answered, since the check began.
    code : str
        Name of its result code; empty if it was served.
    """

    host: str
    database: str
    began_ms: float
    ended_ms: float
    code: str


class LivenessCheck:
    """Writes to each group at each host at a steady rate.

    Each write has a session of its own and does not wait for earlier ones.

    Parameters
    ----------
    simulation : SessionSimulation
        The simulation, after its last fault has ended.
    limit_ms : float
        Time within which each host must serve a write to each group, and after which
        it must refuse none.
    """

    def __init__(self, simulation: SessionSimulation, limit_ms: float) -> None:
        self._simulation = simulation
        self._limit_ms = limit_ms
        self._started_ms = 0.0
        self.outcomes: list[WriteOutcome] = []

    async def run(self) -> list[WriteOutcome]:
        """Run the check.

        Returns
        -------
        list of WriteOutcome
            Writes that show a violation: the last one of each host and database that
            served none in time, and those that were sent after the limit and refused.
        """
        simulation = self._simulation
        clock = simulation.clock
        self._started_ms = clock.now_ms()
        pairs = [
            (gateway, database)
            for gateway in simulation.gateways
            for database in simulation.databases
            if database.reads is ReadKind.CURRENT
        ]
        writes = []
        while clock.now_ms() < self._started_ms + self._limit_ms + SERVED_FOR_MS:
            writes += [simulation.spawn(self._write(*pair)) for pair in pairs]
            await clock.sleep_ms(PAUSE_MS_PER_HOST * len(simulation.gateways))
        await asyncio.gather(*writes)
        return self._violations()

    async def _write(self, gateway: SessionGateway, database: Database) -> None:
        clock = self._simulation.clock
        began_ms = clock.now_ms() - self._started_ms
        reply = await self._simulation.client(gateway, database).write()
        self.outcomes.append(
            WriteOutcome(
                gateway.host,
                database.name,
                round(began_ms),
                round(clock.now_ms() - self._started_ms),
                reply.code.name if reply.code is not None else "",
            )
        )

    def _violations(self) -> list[WriteOutcome]:
        last: dict[tuple[str, str], WriteOutcome] = {}
        served = set()
        for outcome in self.outcomes:
            pair = outcome.host, outcome.database
            last[pair] = outcome
            if not outcome.code and outcome.ended_ms <= self._limit_ms:
                served.add(pair)
        late = [last[pair] for pair in last if pair not in served]
        return late + [
            outcome
            for outcome in self.outcomes
            if outcome.code and outcome.began_ms >= self._limit_ms
        ]
