"""What a daemon computes for fixed work, as function calls by part of the product.

Calls are counted, not timed, so that the figures are the same on every machine and
runs of two versions can be compared beside other load.  The adapter, the event loop
and the libraries are not counted.
"""

from __future__ import annotations

import asyncio
import cProfile
import inspect
import pstats
from collections import Counter
from pathlib import Path

import fennelhilld
from fennelhilld.catalog.state import ReadKind

from fennelhill_bench.rounds import ROUNDS, Figures
from fennelhill_bench.session_simulation.simulation import (
    ClientModel,
    SessionSimulation,
)
from fennelhill_bench.virtual_time import VirtualTimeLoop, run_virtual

# Fleets in which each host connects to targets itself, and in which owners do.
SMALL_FLEET, LARGE_FLEET, LARGEST_FLEET = 6, 74, 195
SEED = 1
GROUPS, ZONES = 4, 3
SETTLE_MS = 3_000.0
IDLE_MS = 4_000.0
STATEMENTS = 60
# From one statement to the next, and as long without any: a multiple of the periods of
# all checks, so that as many of them fall into either.
PERIOD_MS = 500.0
PRODUCT = str(Path(inspect.getfile(fennelhilld)).parent)


class Work:
    """What was computed while something was measured.

    Attributes
    ----------
    calls : collections.Counter
        Calls of the product's functions, by its part (a folder, or a module outside
        any).
    timers : int
        Timers that were set: wake-ups of a process that nothing was sent to.
    """

    __slots__ = ("calls", "timers")

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.timers = 0

    def add(self, profile: cProfile.Profile, factor: int = 1) -> None:
        """Add the calls that a profile has counted.

        Parameters
        ----------
        profile : cProfile.Profile
            A profile that is no longer enabled.
        factor : int
            1, or -1 to take them off.
        """
        for (file, _, _), (_, count, *_) in pstats.Stats(profile).stats.items():
            if file.startswith(PRODUCT):
                part = Path(file).relative_to(PRODUCT).parts[0]
                self.calls[part.removesuffix(".py")] += factor * count


class Fleet:
    """A simulated fleet under virtual time, whose work is counted.

    Parameters
    ----------
    hosts : int
        Number of hosts.
    """

    def __init__(self, hosts: int) -> None:
        self.simulation = SessionSimulation(
            SEED, hosts, GROUPS, zones=ZONES, leaders=tuple(range(ZONES))
        )

    async def idle(self) -> Work:
        """Return the work of all hosts while no client sends anything.

        Returns
        -------
        Work
            The work within `IDLE_MS`.
        """
        await self.simulation.clock.sleep_ms(SETTLE_MS)
        work = Work()
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualTimeLoop)
        before = loop.timer_count
        with cProfile.Profile() as profile:
            await self.simulation.clock.sleep_ms(IDLE_MS)
        work.add(profile)
        work.timers = loop.timer_count - before
        self.simulation.close()
        return work

    async def statements(self, reads: ReadKind, writes: bool) -> Work:
        """Return the work of all hosts for single statements.

        What the fleet does in the same time without a statement is taken off.

        Parameters
        ----------
        reads : ReadKind
            The database's kind of reads.
        writes : bool
            Whether the statements write.

        Returns
        -------
        Work
            The work for `STATEMENTS` statements, one after another, at all hosts in
            turn.
        """
        simulation = self.simulation
        await simulation.clock.sleep_ms(SETTLE_MS)
        clients = [
            simulation.client(gateway, database)
            for gateway in simulation.gateways
            for database in simulation.databases
            if database.reads is reads
        ]
        for client in clients:
            await _run(client, writes)  # Opens links and streams.
        work = Work()
        for number in range(STATEMENTS):
            until_ms = simulation.clock.now_ms() + PERIOD_MS
            with cProfile.Profile() as profile:
                await _run(clients[number % len(clients)], writes)
                await simulation.clock.sleep_ms(until_ms - simulation.clock.now_ms())
            work.add(profile)
            with cProfile.Profile() as profile:
                await simulation.clock.sleep_ms(PERIOD_MS)
            work.add(profile, -1)
        simulation.close()
        return work


@ROUNDS.register("processor")
class ProcessorRound:
    """Calls for an idle host's second, and for a read and a write, by size of fleet."""

    def run(self) -> Figures:
        """Yield the figures.

        Yields
        ------
        tuple
            Name and value.
        """
        for hosts in (SMALL_FLEET, LARGE_FLEET, LARGEST_FLEET):
            yield from idle_figures(hosts)
        for hosts in (SMALL_FLEET, LARGE_FLEET):
            for name, reads, writes in (
                ("read", ReadKind.MAX_AGE, False),
                ("current_read", ReadKind.CURRENT, False),
                ("write", ReadKind.CURRENT, True),
            ):
                yield from statement_figures(hosts, name, reads, writes)


def idle_figures(hosts: int) -> Figures:
    """Yield what one host of an idle fleet does in a second.

    Parameters
    ----------
    hosts : int
        Number of hosts.

    Yields
    ------
    tuple
        Name and value.
    """
    work = run_virtual(_idle_work(hosts))
    host_seconds = hosts * IDLE_MS / 1_000.0
    yield f"idle_{hosts}_hosts_calls_per_s", work.calls.total() / host_seconds
    yield f"idle_{hosts}_hosts_timers_per_s", work.timers / host_seconds


def statement_figures(hosts: int, name: str, reads: ReadKind, writes: bool) -> Figures:
    """Yield the calls for one statement, in all and by part.

    Parameters
    ----------
    hosts : int
        Number of hosts.
    name : str
        Name of the kind of statement.
    reads : ReadKind
        The database's kind of reads.
    writes : bool
        Whether the statement writes.

    Yields
    ------
    tuple
        Name and value.
    """
    work = run_virtual(_statement_work(hosts, reads, writes))
    yield f"{name}_{hosts}_hosts_calls", work.calls.total() / STATEMENTS
    for part, count in work.calls.most_common():
        yield f"{name}_{hosts}_hosts_calls_{part}", count / STATEMENTS


async def _idle_work(hosts: int) -> Work:
    # The fleet's tasks need the event loop that counts their timers.
    return await Fleet(hosts).idle()


async def _statement_work(hosts: int, reads: ReadKind, writes: bool) -> Work:
    return await Fleet(hosts).statements(reads, writes)


async def _run(client: ClientModel, writes: bool) -> None:
    await (client.write() if writes else client.read())
