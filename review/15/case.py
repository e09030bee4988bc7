"""The settings file changes, with SIGHUP, while processes start."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_3"))

from deployment_3 import Daemon, Deployment, Record, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
KEY = "key-of-the-client"
# From the start of a process to the signal; a start takes 150 ms or more.
SIGNAL_AFTER_S = 0.06
SIGNALS = 3
# A process that was ended by the signal has ended by then.
ENDS_WITHIN_S = 1.0
# The platform starts a process that has ended again after a short delay.
RESTART_DELAY_S = 0.3


async def case() -> int:
    """Run the case; return 1 if the rule was broken, else 0."""
    record = Record(FOLDER)
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), hosts=2)
        try:
            await deployment.start_stand_ins()
            deployment.configure(11, [{"name": "north", "api_keys": [KEY]}], 800)
            ends = await asyncio.gather(
                *(_roll(daemon, record) for daemon in deployment.daemons)
            )
            await deployment.wait_until_served("current", KEY)
            record.write("after the last start both processes serve")
        finally:
            await deployment.stop()
    record.write(f"times that each process has ended by itself: {ends}")
    # The rule names three times, on two machines at least.
    return 1 if min(ends) >= SIGNALS else 0


async def _roll(daemon: Daemon, record: Record) -> int:
    """Start a process, and signal each change of its settings; count its ends."""
    ends = 0
    await daemon.start()
    for _ in range(SIGNALS):
        await asyncio.sleep(SIGNAL_AFTER_S)
        if TROUBLE:
            daemon.send_signal(signal.SIGHUP)
            record.write(f"SIGHUP to {daemon.name}")
        result = await daemon.ended(ENDS_WITHIN_S)
        record.write(f"{daemon.name}: exit status {result}")
        if result is None:
            continue
        ends += 1
        await asyncio.sleep(RESTART_DELAY_S)
        await daemon.start()
    return ends


if __name__ == "__main__":
    run_case(case())
