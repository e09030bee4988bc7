"""A rolling upgrade under load: an older build of the repository beside this one."""

from __future__ import annotations

import asyncio
import itertools
import os
import random
import subprocess
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import NamedTuple

from fennelhill_core.registry import Registry
from fennelhilld.links.messages import TargetFault

from fennelhill_bench.platform_stand_ins.demo import (
    KEYS,
    START_POLL_INTERVAL_S,
    START_TIMEOUT_S,
)
from fennelhill_bench.platform_stand_ins.lineserver import LineClient
from fennelhill_bench.platform_stand_ins.platform import DATABASES, PlatformStandIns
from fennelhill_bench.session_simulation.targets import Traits

# With 6 hosts before 8 connections of a target, owners hold the connections, and the
# others forward to them.
HOSTS = 6
MAX_CONNECTIONS = 8
CLIENTS = 24
MEAN_PAUSE_MS = 25.0
NEXT_OPERATION_PROBABILITY = 0.92  # that a client sends one more operation
SHAPES = ("qa", "qb", "qc")
BETWEEN_HOSTS_S = 0.8
STOP_TIMEOUT_S = 8.0
STORE_AWAY_S = 2.0
STORE_COPY_AGE_MS = 500.0
BUILDS_FOLDER = Path("build") / "upgrade"
# Answers that promise that the statement had no effect.
NOT_RUN_WORDS = {"BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "TOOMANY"}


class Build(NamedTuple):
    """A version of the product that daemons can be started from."""

    name: str
    folder: Path

    def environment(self) -> dict[str, str]:
        """Return the variables with which this build's own packages are imported."""
        packages = ("fennelhill-core", "fennelhilld")
        paths = [str(self.folder / "packages" / name / "src") for name in packages]
        return {**os.environ, "PYTHONPATH": os.pathsep.join(paths)}

    @property
    def program(self) -> Path:
        """The daemon's entry point."""
        return self.folder / "platform" / "main.py"


def extract_build(commit: str) -> Build:
    """Take a build from the history of the repository in the current folder.

    Parameters
    ----------
    commit : str
        Any name of a commit.

    Returns
    -------
    Build
        The build.

    Raises
    ------
    subprocess.CalledProcessError
        If the history has no such commit.
    """
    name = subprocess.run(
        ["git", "rev-parse", "--short", f"{commit}^{{commit}}"],
        check=True,
        capture_output=True,
        text=True,
    ).stdout.strip()
    folder = (BUILDS_FOLDER / name).absolute()
    if not folder.exists():
        archive = subprocess.run(
            ["git", "archive", name, "packages", "platform"],
            check=True,
            capture_output=True,
        ).stdout
        folder.mkdir(parents=True)
        subprocess.run(["tar", "-x", "-C", str(folder)], input=archive, check=True)
    return Build(name, folder)


class RollingUpgrade:
    """Replaces all hosts of a fleet by another build and back, under load.

    Parameters
    ----------
    older, newer : Build
        The builds.
    seed : int
        Seed of the clients' choices.
    organisations : bool
        Whether links belong to organisations, which builds before 158d37d don't know.
    """

    def __init__(
        self, older: Build, newer: Build, seed: int, organisations: bool = True
    ) -> None:
        self._older, self._newer = older, newer
        self._random = random.Random(seed)
        traits = Traits(max_connections=MAX_CONNECTIONS, set_up_ms=2.0, service_ms=3.0)
        self.stand_ins = PlatformStandIns(traits)
        self.stand_ins.max_connections = MAX_CONNECTIONS
        if organisations:
            self.stand_ins.organisations = [
                {"name": name, "api_keys": [key for key in KEYS if KEYS[key] == name]}
                for name in sorted(set(KEYS.values()))
            ]
        self.keys = list(KEYS)
        self.results: Counter[str] = Counter()
        self.acknowledged: set[str] = set()
        self.refused: set[str] = set()
        # What each request executes: whether it writes, and its shape.
        self.executed: dict[str, tuple[bool, str]] = {}
        self.problems: list[str] = []
        self._daemons: dict[str, asyncio.subprocess.Process] = {}
        self._settings: dict[str, tuple[Path, dict]] = {}
        self._folder = Path()
        self._numbers = itertools.count(1)
        self._stopped = False

    async def run(self, trouble: str) -> bool:
        """Roll forward and back while a trouble lasts; print what was seen.

        Parameters
        ----------
        trouble : str
            Name of a registered trouble.

        Returns
        -------
        bool
            Whether all promises were kept.
        """
        await self.stand_ins.start()
        with tempfile.TemporaryDirectory() as folder:
            self._folder = Path(folder)
            try:
                names = [f"host-{number}" for number in range(HOSTS)]
                await asyncio.gather(*(self._start(n, self._older) for n in names))
                load = [asyncio.ensure_future(self._client()) for _ in range(CLIENTS)]
                await asyncio.sleep(1.0)
                await self._roll(names[: HOSTS // 2], self._newer)
                await TROUBLES.get(trouble)(self)
                await self._roll(names[HOSTS // 2 :], self._newer)
                await self._roll(names, self._older)
                self._stopped = True
                await asyncio.gather(*load)
            finally:
                for process in self._daemons.values():
                    if process.returncode is None:
                        process.terminate()
                for process in self._daemons.values():
                    await process.wait()
                self.stand_ins.stop()
        return self._report(trouble)

    async def _roll(self, names: list[str], build: Build) -> None:
        for name in names:
            process = self._daemons[name]
            process.terminate()
            try:
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    await process.wait()
            except TimeoutError:
                self.problems.append(f"{name} did not stop in time")
                process.kill()
            await self._start(name, build)
            await asyncio.sleep(BETWEEN_HOSTS_S)

    async def _start(self, name: str, build: Build) -> None:
        if name not in self._settings:
            self._settings[name] = self.stand_ins.node_file(self._folder, name)
        path, settings = self._settings[name]
        with (self._folder / f"{name}.log").open("ab") as log:
            self._daemons[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                str(build.program),
                env={**build.environment(), "FENNELHILL_NODE_FILE": str(path)},
                stdout=log,
            )
        await self._wait_for_start(settings["listen"]["frontend"])

    async def _wait_for_start(self, address: str) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    client = await LineClient.connect(address)
                    ready = (await client.start("current", self.keys[0])) != ""
                    client.close()
                    if ready:
                        return
                except ConnectionError:
                    pass
                await asyncio.sleep(START_POLL_INTERVAL_S)

    async def _client(self) -> None:
        while not self._stopped:
            database = self._random.choice(list(DATABASES))
            _, settings = self._random.choice(list(self._settings.values()))
            try:
                client = await LineClient.connect(
                    settings["listen"]["frontend"], self.stand_ins.check
                )
            except ConnectionError:
                await asyncio.sleep(MEAN_PAUSE_MS / 1_000)
                continue
            answer = await client.start(database, self._random.choice(self.keys))
            while answer.startswith("READY") and not self._stopped:
                if not await self._operation(client, database):
                    break
                await asyncio.sleep(self._random.expovariate(1_000 / MEAN_PAUSE_MS))
                if self._random.random() > NEXT_OPERATION_PROBABILITY:
                    break
            client.close()

    async def _operation(self, client: LineClient, database: str) -> bool:
        """Run one operation; return whether the session can go on."""
        if database == "aged":
            return await self._statement(client, "READ item", writes=False)
        if self._random.random() < 0.3:
            return await self._prepared_statement(client)
        if self._random.random() < 0.5:
            writes = self._random.random() < 0.5
            text = "WRITE item data" if writes else "READ item"
            return await self._statement(client, text, writes)
        texts = ("BEGIN", "WRITE item data", "READ item", "COMMIT")
        for text in texts:
            if not await self._statement(client, text, writes=False):
                return False
        return True

    async def _prepared_statement(self, client: LineClient) -> bool:
        writes, shape = self._random.random() < 0.5, self._random.choice(SHAPES)
        kind = "WRITE" if writes else "READ"
        if not await self._statement(client, f"PREPARE s1 {kind} {shape}", False):
            return False
        return await self._statement(
            client, "EXECUTE s1 item data", writes, executes=(writes, shape)
        )

    async def _statement(
        self,
        client: LineClient,
        text: str,
        writes: bool,
        executes: tuple[bool, str] | None = None,
    ) -> bool:
        request = f"{next(self._numbers):x}"
        if executes is not None:
            self.executed[request] = executes
        answer = await client.ask(request, text)
        if answer[-1] == "":
            # A host that stops may close an idle session, but a whole request that it
            # has read gets an answer.
            self.results["closed"] += 1
            return False
        first = answer[0].split(" ")
        if first[0] != "ERROR":
            self.results["served"] += 1
            if writes:
                self.acknowledged.add(request)
            return True
        self.results[first[1]] += 1
        if TargetFault.UNKNOWN_PREPARED.value in answer[0]:
            self.problems.append(f"a prepared statement is unknown: {answer[0]}")
        if writes and first[1] in NOT_RUN_WORDS:
            self.refused.add(request)
        return False

    def _report(self, trouble: str) -> bool:
        log = self.stand_ins.group.leader.log
        commits = Counter(request for entry in log for request in entry.requests)
        doubled = sorted(name for name, count in commits.items() if count > 1)
        lost = [request for request in self.acknowledged if request not in commits]
        ran_though_refused = [request for request in self.refused if request in commits]
        other_shapes = [
            request
            for request, executed in self.executed.items()
            for run in self.stand_ins.observer.runs.get(request, ())
            if run.prepared != executed
        ]
        if other_shapes:
            self.problems.append(f"{len(other_shapes)} statements ran another shape")
        if doubled:
            self.problems.append(f"{len(doubled)} writes ran twice")
        if lost and trouble != "primary_lost":
            # A crashed primary takes with it what it had not replicated.
            self.problems.append(f"{len(lost)} acknowledged writes are missing")
        if ran_though_refused:
            self.problems.append(f"{len(ran_though_refused)} refused writes ran")
        self.problems += self.stand_ins.check.problems
        self.problems += [str(item) for item in self.stand_ins.observer.violations]
        total = sum(self.results.values())
        served = self.results["served"] / max(1, total)
        print(
            f"upgrade {self._older.name} -> {self._newer.name} -> {self._older.name}, "
            f"{trouble}: operations={total} served={served:.3f} "
            f"prepared={len(self.executed)} "
            f"doubled={len(doubled)} lost={len(lost)} "
            f"other_results={dict(self.results - Counter(served=total))}"
        )
        for problem in self.problems[:10]:
            print(f"  broken: {problem}")
        return total > 0 and not self.problems


TROUBLES: Registry = Registry("trouble of a rolling upgrade")


@TROUBLES.register("none")
async def no_trouble(upgrade: RollingUpgrade) -> None:
    """Roll through without any other trouble.

    Parameters
    ----------
    upgrade : RollingUpgrade
        The run.
    """


@TROUBLES.register("primary_lost")
async def lose_primary(upgrade: RollingUpgrade) -> None:
    """Crash the primary while half of the hosts run either build.

    Parameters
    ----------
    upgrade : RollingUpgrade
        The run.
    """
    leader = upgrade.stand_ins.group.leader
    for target in upgrade.stand_ins.targets:
        if target.model is leader:
            target.stop()


@TROUBLES.register("store_away")
async def lose_store(upgrade: RollingUpgrade) -> None:
    """Take the store away for `STORE_AWAY_S`; it comes back from a copy.

    Parameters
    ----------
    upgrade : RollingUpgrade
        The run.
    """
    upgrade.stand_ins.store.go_away()
    await asyncio.sleep(STORE_AWAY_S)
    upgrade.stand_ins.store.come_back(STORE_COPY_AGE_MS)


@TROUBLES.register("key_withdrawn")
async def withdraw_key(upgrade: RollingUpgrade) -> None:
    """Withdraw a key while both builds run; its organisation has another one.

    Parameters
    ----------
    upgrade : RollingUpgrade
        The run.
    """
    if upgrade.stand_ins.organisations is None:
        return
    withdrawn = upgrade.keys.pop()
    upgrade.stand_ins.organisations = [
        {**entry, "api_keys": [key for key in entry["api_keys"] if key != withdrawn]}
        for entry in upgrade.stand_ins.organisations
    ]
    upgrade.stand_ins.configure()


async def run_upgrades(
    commit: str, troubles: list[str], seed: int, organisations: bool = True
) -> bool:
    """Run a rolling upgrade from a commit of the history, and back, for each trouble.

    Parameters
    ----------
    commit : str
        The older build.
    troubles : list of str
        Names of registered troubles; all if empty.
    seed : int
        Seed of the clients' choices.
    organisations : bool
        Whether links belong to organisations.

    Returns
    -------
    bool
        Whether all promises were kept in all runs.
    """
    older, newer = extract_build(commit), Build("this", Path.cwd())
    kept = True
    for trouble in troubles or list(TROUBLES):
        upgrade = RollingUpgrade(older, newer, seed, organisations)
        kept &= await upgrade.run(trouble)
    return kept
