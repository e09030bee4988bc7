"""Demonstration of a primary crash, with daemons on the platform's stand-ins."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import sys
import tempfile
from collections import Counter
from pathlib import Path

from fennelhill_bench.platform_stand_ins.lineserver import LineClient
from fennelhill_bench.platform_stand_ins.platform import DATABASES, PlatformStandIns

PROGRAM = Path("platform") / "main.py"
HOSTS = 3
CLIENTS = 24
DURATION_MS = 8_000.0
CRASH_AT_MS = 2_500.0
MEAN_PAUSE_MS = 40.0
NEXT_OPERATION_PROBABILITY = 0.9  # that a client sends one more operation
# Organisations by key.
KEYS = {"key-of-north": "north", "key-of-south": "south", "other-key": "south"}
WRITE_SHARE = 0.3  # of the operations in databases that accept writes
START_TIMEOUT_S = 15.0
START_POLL_INTERVAL_S = 0.1


class PlatformDemo:
    """Runs load, crashes the primary, and counts the results of the operations.

    Parameters
    ----------
    duration_ms : float
        How long the load runs, in milliseconds.
    seed : int
        Seed of the clients' choices.
    """

    def __init__(self, duration_ms: float, seed: int) -> None:
        self.duration_ms = duration_ms
        self.random = random.Random(seed)
        self.stand_ins = PlatformStandIns()
        self.stand_ins.organisations = [
            {"name": name, "api_keys": [key for key in KEYS if KEYS[key] == name]}
            for name in sorted(set(KEYS.values()))
        ]
        self.results: Counter[str] = Counter()
        self.acknowledged: list[str] = []
        self.write_times_ms: list[float] = []
        self._request_count = 0
        self._until_ms = 0.0

    async def run(self) -> bool:
        """Run the demonstration and print its figures.

        Returns
        -------
        bool
            Whether operations were sent, no write ran twice, and each statement ran on
            a link of its organisation.
        """
        await self.stand_ins.start()
        with tempfile.TemporaryDirectory() as folder:
            daemons = [
                await self._start_daemon(Path(folder), f"host-{number}")
                for number in range(HOSTS)
            ]
            try:
                addresses = [settings["listen"]["frontend"] for _, settings in daemons]
                await asyncio.gather(*map(_wait_for_start, addresses))
                self._until_ms = self.stand_ins.clock.now_ms() + self.duration_ms
                await asyncio.gather(
                    self._crash(), *(self._client(addresses) for _ in range(CLIENTS))
                )
            finally:
                for process, _ in daemons:
                    process.terminate()
                for process, _ in daemons:
                    await process.wait()
        passed = self._report()
        self.stand_ins.stop()
        return passed

    async def _start_daemon(
        self, folder: Path, name: str
    ) -> tuple[asyncio.subprocess.Process, dict]:
        path, settings = self.stand_ins.node_file(folder, name)
        log = (folder / f"{name}.log").open("wb")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(PROGRAM),
            env={**os.environ, "FENNELHILL_NODE_FILE": str(path)},
            stdout=log,
        )
        return process, settings

    async def _crash(self) -> None:
        await self.stand_ins.clock.sleep_ms(CRASH_AT_MS)
        self.stand_ins.targets[0].stop()

    async def _client(self, addresses: list[str]) -> None:
        clock = self.stand_ins.clock
        while clock.now_ms() < self._until_ms:
            database = self.random.choice(list(DATABASES))
            address = self.random.choice(addresses)
            client = await LineClient.connect(address, self.stand_ins.check)
            await client.start(database, self.random.choice(list(KEYS)))
            while (
                clock.now_ms() < self._until_ms
                and self.random.random() < NEXT_OPERATION_PROBABILITY
            ):
                await self._operation(client, database)
                await clock.sleep_ms(self.random.expovariate(1 / MEAN_PAUSE_MS))
            client.close()

    async def _operation(self, client: LineClient, database: str) -> None:
        self._request_count += 1
        request = f"{self._request_count:x}"
        writes = database != "aged" and self.random.random() < WRITE_SHARE
        answer = await client.ask(request, "WRITE item data" if writes else "READ item")
        result = answer[-2].split(" ")[1] if len(answer) > 1 else "closed"
        if not answer[0].startswith("ERROR"):
            result = "served"
            if writes:
                self.acknowledged.append(request)
                self.write_times_ms.append(self.stand_ins.clock.now_ms())
        self.results[result] += 1

    def _report(self) -> bool:
        commit_counts = Counter(
            request
            for entry in self.stand_ins.group.leader.log
            for request in entry.requests
        )
        doubled = sum(count > 1 for count in commit_counts.values())
        lost = sum(request not in commit_counts for request in self.acknowledged)
        times = self.write_times_ms
        gap_ms = max(
            (after - before for before, after in itertools.pairwise(times)),
            default=0.0,
        )
        total = sum(self.results.values())
        served = self.results["served"] / max(1, total)
        print(
            f"platform demo: operations={total} served={served:.3f} "
            f"failover_gap_ms={gap_ms:.0f} doubled={doubled} rolled_back={lost} "
            f"on_wrong_links={len(self.stand_ins.check.problems)} "
            f"other_results={dict(self.results - Counter(served=total))}"
        )
        checked = self.stand_ins.check.statement_count
        clean = not self.stand_ins.check.problems
        return doubled == 0 and total > 0 and checked > 0 and clean


async def _wait_for_start(address: str) -> None:
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + START_TIMEOUT_S
    while True:
        try:
            client = await LineClient.connect(address)
            answer = await client.start("current", next(iter(KEYS)))
            client.close()
        except ConnectionError:
            answer = ""
        if answer.startswith("READY"):
            return
        if loop.time() > deadline_s:
            raise TimeoutError(f"no daemon answered at {address} in time")
        await asyncio.sleep(START_POLL_INTERVAL_S)


async def run_platform_demo(duration_ms: float, seed: int) -> bool:
    """Run the demonstration on the users' platform.

    Parameters
    ----------
    duration_ms : float
        How long the load runs, in milliseconds.
    seed : int
        Seed of the clients' choices.

    Returns
    -------
    bool
        Whether operations were sent and no write ran twice.
    """
    return await PlatformDemo(duration_ms, seed).run()
