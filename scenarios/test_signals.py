"""Tests of signals to the daemons' programs at many moments of start and stop."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from fennelhill_bench.deployment import Plan
from fennelhill_bench.loopback import ReservedPorts
from fennelhill_bench.platform_stand_ins.platform import PlatformStandIns, until

ROOT = Path(__file__).parents[1]
# From the first moment at which the program's imports are seen; a start takes 150 ms
# or more.
MOMENTS_MS = (0, 5, 10, 20, 40, 80, 160, 320)
POLL_S = 0.001
LIMIT_S = 20.0


class Daemon:
    """A daemon's process, and its log."""

    def __init__(self, name, command, variables, log):
        self.name = name
        self._command, self._variables, self._log = command, variables, log
        self.process = None

    async def start(self):
        """Start the program; return once its own imports are in progress."""
        self._spawn()
        maps = Path(f"/proc/{self.process.pid}/maps")
        await self._until(lambda: "msgspec" in maps.read_text())

    async def wait_for(self, kind):
        """Wait until an event is logged."""
        await self._until(lambda: self.events(kind))

    async def burst(self, span_s, number=signal.SIGHUP):
        """Send a signal every millisecond for a time, or until the process ends."""
        end_s = time.monotonic() + span_s
        while time.monotonic() < end_s and self.process.poll() is None:
            self.process.send_signal(number)
            await asyncio.sleep(POLL_S)

    async def ended(self):
        """Return the exit status."""
        await until(lambda: self.process.poll() is not None, LIMIT_S)
        return self.process.returncode

    def events(self, kind=""):
        """Return the logged events of a kind, or all."""
        lines = [json.loads(line) for line in self._log.read_text().splitlines()]
        return [line for line in lines if kind in ("", line["message"])]

    def _spawn(self):
        with self._log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self._command],
                env={**os.environ, **self._variables},
                stdout=log,
                stderr=log,
            )

    async def _until(self, condition):
        deadline_s = time.monotonic() + LIMIT_S
        while not condition():
            assert self.process.poll() is None, self._log.read_text()
            assert time.monotonic() < deadline_s, self._log.read_text()
            await asyncio.sleep(POLL_S)


class PlatformDaemons:
    """Daemons of the users' platform, beside its stand-ins."""

    def __init__(self, folder, count):
        self._stand_ins = PlatformStandIns()
        self._folder, self._count = folder, count
        self.daemons = []

    async def __aenter__(self):
        await self._stand_ins.start()
        for number in range(self._count):
            path, _ = self._stand_ins.node_file(self._folder, f"h{number}")
            self.daemons.append(
                Daemon(
                    f"h{number}",
                    [str(ROOT / "platform" / "main.py")],
                    {"FENNELHILL_NODE_FILE": str(path)},
                    self._folder / f"h{number}.log",
                )
            )
        return self

    async def __aexit__(self, *_):
        kill(self.daemons)
        self._stand_ins.stop()

    def left_behind(self):
        """Return the names of daemons that the store holds."""
        names = {daemon.name for daemon in self.daemons}
        return names & {key for _, _, key in self._stand_ins.store.tables.rows}


class CommandLineDaemons:
    """Daemons of ``fennelhilld run``."""

    def __init__(self, folder, count):
        self._ports = ReservedPorts()
        plan = Plan.bogota(hosts=count, groups=["orders-1"])
        addresses = [self._ports.reserve() for _ in range(plan.address_count())]
        settings = plan.settings(addresses)
        path = folder / "fleet.yaml"
        path.write_text(settings.to_yaml(), encoding="utf-8")
        self.daemons = [
            Daemon(
                host.id,
                [
                    *("-m", "fennelhilld.cli", "run"),
                    f"--settings={path}",
                    f"--host_id={host.id}",
                ],
                {},
                folder / f"{host.id}.log",
            )
            for host in settings.entry_hosts
        ]

    async def __aenter__(self):
        return self

    async def __aexit__(self, *_):
        kill(self.daemons)
        self._ports.release()

    def left_behind(self):
        """Return an empty set: there is no store."""
        return set()


def kill(daemons):
    """Kill the processes that still run."""
    for daemon in daemons:
        if daemon.process is not None and daemon.process.poll() is None:
            daemon.process.kill()
            daemon.process.wait()


def run(fleet, tmp_path, count, check):
    async def main():
        async with fleet(tmp_path, count) as running:
            await check(running)

    asyncio.run(main())


@pytest.fixture(params=[PlatformDaemons, CommandLineDaemons])
def fleet(request):
    return request.param


class TestStart:
    def test_a_reload_at_any_moment_is_recorded_once(self, fleet, tmp_path):
        """Guards against SIGHUP that ends the process while it starts."""

        async def signal_once(daemon, moment_ms):
            await daemon.start()
            await asyncio.sleep(moment_ms / 1_000)
            daemon.process.send_signal(signal.SIGHUP)
            await daemon.wait_for("daemon.started")
            await daemon.wait_for("daemon.reloaded")
            daemon.process.terminate()
            assert await daemon.ended() == 0
            assert [e["signals"] for e in daemon.events("daemon.reloaded")] == [1]

        async def check(running):
            moments = zip(running.daemons, MOMENTS_MS, strict=True)
            await asyncio.gather(*(signal_once(*moment) for moment in moments))

        run(fleet, tmp_path, len(MOMENTS_MS), check)

    def test_a_stop_at_any_moment_ends_it_in_order(self, fleet, tmp_path):
        """Guards against SIGTERM that ends a start with status -15, without a log."""

        async def stop(daemon, moment_ms):
            await daemon.start()
            await asyncio.sleep(moment_ms / 1_000)
            daemon.process.terminate()
            assert await daemon.ended() == 0
            assert daemon.events()[-1]["message"] == "daemon.stopped"

        async def check(running):
            moments = zip(running.daemons, MOMENTS_MS, strict=True)
            await asyncio.gather(*(stop(*moment) for moment in moments))
            assert running.left_behind() == set()

        run(fleet, tmp_path, len(MOMENTS_MS), check)

    def test_a_burst_of_reloads_does_not_end_it(self, fleet, tmp_path):
        async def check(running):
            (daemon,) = running.daemons
            await daemon.start()
            burst = asyncio.ensure_future(daemon.burst(LIMIT_S))
            await daemon.wait_for("daemon.started")
            burst.cancel()
            await daemon.wait_for("daemon.reloaded")
            daemon.process.terminate()
            assert await daemon.ended() == 0

        run(fleet, tmp_path, 1, check)


class TestStop:
    @pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
    def test_signals_until_its_end_do_not_change_its_status(
        self, fleet, number, tmp_path
    ):
        """Guards against the default action while event loop and interpreter close."""

        async def stop(daemon):
            await daemon.start()
            await daemon.wait_for("daemon.started")
            daemon.process.terminate()
            await daemon.burst(LIMIT_S, number)
            assert await daemon.ended() == 0
            assert daemon.events("daemon.stopped")

        async def check(running):
            await asyncio.gather(*map(stop, running.daemons))

        run(fleet, tmp_path, 4, check)
