"""The commands of the daemon's command line."""

from __future__ import annotations

import asyncio
import sys

from fennelhill_core.logs import configure_logs
from fennelhill_core.settings import Settings, SettingsError
from fennelhill_core.signals import ProcessSignals
from loguru import logger

from fennelhilld.daemon import Daemon

EXIT_BAD_SETTINGS = 2


class FennelhillDaemon:
    """The fennelhill daemon.

    Check a settings file first, then run one daemon on each entry host:

        fennelhilld check --settings=fleet.yaml
        fennelhilld run --settings=fleet.yaml --host-id=bog-a-1

    Stop it with SIGTERM: it fails the load balancer's health check, finishes requests
    and transactions in progress, for at most limits.shutdown_ms, and exits.  SIGHUP is
    only recorded: the settings file is read at the start.
    """

    def __init__(self, signals: ProcessSignals) -> None:
        self._signals = signals

    def check(self, settings: str) -> None:
        """Check a settings file and print every problem.

        Parameters
        ----------
        settings : str
            Path of the YAML file.
        """
        loaded = _load(settings)
        hosts, groups = len(loaded.entry_hosts), len(loaded.groups)
        print(f"{settings}: valid, {hosts} entry hosts and {groups} database groups")

    def run(self, settings: str, host_id: str, log_level: str = "INFO") -> None:
        """Run the daemon of an entry host until SIGTERM.

        Parameters
        ----------
        settings : str
            Path of the YAML file.
        host_id : str
            Name of this entry host in the settings.
        log_level : str
            Least severe level that is logged.
        """
        configure_logs(log_level)
        asyncio.run(_serve(_load(settings), str(host_id), self._signals))


async def _serve(settings: Settings, host_id: str, signals: ProcessSignals) -> None:
    try:
        daemon = Daemon.from_config(settings, host_id)
    except SettingsError as error:
        _fail(error)
    stop = asyncio.Event()
    signals.attach(asyncio.get_running_loop(), stop.set, daemon.record_reload)
    try:
        if stop.is_set():
            daemon.events.record("daemon.stopped", started=False)
            return
        daemon.start()
        daemon.listen()
        logger.bind(host=daemon.host.id, address=daemon.host.address).info("listening")
        await stop.wait()
        await daemon.shutdown()
    finally:
        signals.detach()


def _load(path: str) -> Settings:
    try:
        return Settings.from_file(path)
    except SettingsError as error:
        _fail(error)


def _fail(error: SettingsError) -> None:
    for problem in error.problems:
        print(f"settings: {problem}", file=sys.stderr)
    raise SystemExit(EXIT_BAD_SETTINGS)
