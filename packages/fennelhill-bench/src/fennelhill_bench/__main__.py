"""The command line of the bench: demonstrations, stand-ins and measurements."""

from __future__ import annotations

import asyncio
import sys

import fire
from fennelhill_core.settings import Settings
from loguru import logger

from fennelhill_bench import (  # noqa: F401 - they register their rounds
    processor,
    throughput,
)
from fennelhill_bench.demo import DURATION_MS, run_demo
from fennelhill_bench.deployment import Plan
from fennelhill_bench.load_simulation import report  # noqa: F401 - registers its round
from fennelhill_bench.platform_stand_ins.demo import DURATION_MS as PLATFORM_DURATION_MS
from fennelhill_bench.platform_stand_ins.demo import run_platform_demo
from fennelhill_bench.platform_stand_ins.upgrade import run_upgrades
from fennelhill_bench.rounds import ROUNDS
from fennelhill_bench.servers import serve_until_stopped


class Bench:
    """Runs the demonstrations and the measurements, on loopback only.

    make demo                       primaries crash under load
    make measure ROUND=reads        one round of measurements
    """

    def demo(self, duration_ms: float = DURATION_MS, seed: int = 1) -> None:
        """Run both demonstrations; exit with status 1 if a guarantee was violated.

        The status is also 1 if the second demonstration sent no operation.

        Parameters
        ----------
        duration_ms : float
            Duration of the first demonstration's load in milliseconds.
        seed : int
            Seed of all random choices.
        """
        _log_only_warnings()
        kept = asyncio.run(run_demo(duration_ms, seed))
        kept &= asyncio.run(run_platform_demo(PLATFORM_DURATION_MS, seed))
        raise SystemExit(0 if kept else 1)

    def upgrade(
        self,
        commit: str,
        trouble: str = "",
        seed: int = 1,
        organisations: bool = True,
    ) -> None:
        """Run hosts of an older build beside this one; status 1 if a promise broke.

        Parameters
        ----------
        commit : str
            The older build, as any name of a commit.
        trouble : str
            One of none, primary_lost, store_away and key_withdrawn; all if empty.
        seed : int
            Seed of all random choices.
        organisations : bool
            False for builds that don't know organisations.
        """
        _log_only_warnings()
        troubles = [trouble] if trouble else []
        kept = asyncio.run(run_upgrades(str(commit), troubles, seed, organisations))
        raise SystemExit(0 if kept else 1)

    def serve(self, settings: str, instant: bool = False) -> None:
        """Serve the stand-ins that a settings file names until SIGTERM or SIGINT.

        Parameters
        ----------
        settings : str
            Path of the YAML settings file, which the daemons use too.
        instant : bool
            Whether the targets' connections, batches and replication have no emulated
            delay, so that measurements show the time spent in the daemons.  A batch
            that ends the transaction of an earlier batch is still delayed.
        """
        _log_only_warnings()
        plan = Plan.bogota(connect_ms=0.0, service_ms=0.0, lag_ms=0.0)
        loaded = Settings.from_file(settings)
        asyncio.run(serve_until_stopped(loaded, plan if instant else None))

    def measure(self, round: str = "demo") -> None:
        """Run one round of measurements and print its figures.

        Parameters
        ----------
        round : str
            Name of the round.
        """
        _log_only_warnings()
        try:
            measurement = ROUNDS.get(round)
        except KeyError as error:
            raise SystemExit(error.args[0]) from error
        for name, value in measurement().run():
            print(f"{name}={value:.4g}", flush=True)


def _log_only_warnings() -> None:
    logger.remove()
    logger.add(sys.stderr, level="WARNING")


if __name__ == "__main__":
    fire.Fire(Bench)
