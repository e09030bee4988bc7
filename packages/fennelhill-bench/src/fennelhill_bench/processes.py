"""Runs daemons as processes on loopback, and all stand-ins in one more process."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from types import TracebackType

import msgspec
from fennelhill_core.settings import Platform, Settings

from fennelhill_bench.deployment import Plan
from fennelhill_bench.loopback import ReservedPorts

START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.05
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
BYTES_PER_KB = 1024


class Processes:
    """A deployment of real processes; a context manager that starts and kills them.

    Parameters
    ----------
    plan : Plan
        Plan of the deployment.
    instant : bool
        Whether the targets' connections, batches and replication have no emulated
        delay.  A batch that ends the transaction of an earlier batch is still delayed.
    """

    def __init__(self, plan: Plan, instant: bool = False) -> None:
        self._ports = ReservedPorts()
        addresses = [self._ports.reserve() for _ in range(plan.address_count() + 1)]
        platform = Platform(table_service=addresses[0], host_list=addresses[0])
        settings = plan.settings(addresses[1:])
        self.settings: Settings = msgspec.structs.replace(settings, platform=platform)
        self.daemons: dict[str, subprocess.Popen] = {}
        self._instant = instant
        self._directory = tempfile.TemporaryDirectory(prefix="fennelhill-bench-")
        self._stand_ins: subprocess.Popen | None = None
        self.path = Path(self._directory.name) / "fleet.yaml"
        self.path.write_text(self.settings.to_yaml(), encoding="utf-8")

    def __enter__(self) -> Processes:
        try:
            self._start()
        except BaseException:
            # __exit__ is not called when __enter__ fails, so the processes that have
            # already started would be left running.
            self.close()
            raise
        return self

    def _start(self) -> None:
        flags = ["--instant"] if self._instant else []
        self._stand_ins = self._spawn(
            "fennelhill_bench", "serve", f"--settings={self.path}", *flags
        )
        self._wait_for(self.settings.platform.table_service, self._stand_ins)
        for host in self.settings.entry_hosts:
            self.start_daemon(host.id)

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.close()

    def close(self) -> None:
        """Kill every process that was started here."""
        for process in [*self.daemons.values(), self._stand_ins]:
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        self._ports.release()
        self._directory.cleanup()

    def start_daemon(self, host_id: str) -> subprocess.Popen:
        """Start the daemon of an entry host and wait until it listens.

        Parameters
        ----------
        host_id : str
            Name of the entry host.

        Returns
        -------
        subprocess.Popen
            The process.
        """
        process = self._spawn(
            "fennelhilld.cli",
            "run",
            f"--settings={self.path}",
            f"--host_id={host_id}",
            "--log_level=WARNING",
        )
        self.daemons[host_id] = process
        self._wait_for(self.addresses()[host_id], process)
        return process

    def stop_daemon(self, host_id: str) -> int:
        """Send SIGTERM to a daemon and wait until it has shut down.

        Parameters
        ----------
        host_id : str
            Name of the entry host.

        Returns
        -------
        int
            Its exit status.
        """
        process = self.daemons.pop(host_id)
        process.send_signal(signal.SIGTERM)
        return process.wait(STOP_TIMEOUT_S)

    def addresses(self) -> dict[str, str]:
        """Return the addresses of the entry hosts.

        Returns
        -------
        dict
            ``ip:port`` by name of the entry host.
        """
        return {host.id: host.address for host in self.settings.entry_hosts}

    def _spawn(self, module: str, *arguments: str) -> subprocess.Popen:
        return subprocess.Popen([sys.executable, "-m", module, *arguments])

    def _wait_for(self, address: str, process: subprocess.Popen) -> None:
        ip, _, port = address.rpartition(":")
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if process.poll() is not None:
                raise RuntimeError(
                    f"{process.args}: exited with status {process.returncode} "
                    "before it listened"
                )
            try:
                socket.create_connection((ip, int(port)), POLL_S).close()
            except OSError:
                time.sleep(POLL_S)
            else:
                return
        raise RuntimeError(f"{address}: no process listens")


def cpu_s(process: subprocess.Popen) -> float:
    """Return the CPU time that a process has used.

    Parameters
    ----------
    process : subprocess.Popen
        The process.

    Returns
    -------
    float
        Seconds, user and system.
    """
    # The command name may contain spaces; it ends at the last parenthesis.  Of the
    # fields after it, [11] and [12] are utime and stime in clock ticks; see proc(5).
    text = Path(f"/proc/{process.pid}/stat").read_text()
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(process: subprocess.Popen) -> int:
    """Return the resident memory of a process.

    Parameters
    ----------
    process : subprocess.Popen
        The process.

    Returns
    -------
    int
        Bytes.

    Raises
    ------
    ProcessLookupError
        If the process has exited but has not been waited for.
    """
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * BYTES_PER_KB
    raise ProcessLookupError(process.pid)
