"""Two clients prepare shapes of which one was chosen for the hash of the other."""

from __future__ import annotations

import asyncio
import os
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand_ins_3"))

from deployment_3 import Deployment, Record, run_case  # noqa: E402
from fennelhill_bench.platform_stand_ins.lineserver import LineClient  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SHAPE = "q2c"
ROUNDS = 5
# Has the same 64-bit hash as the other shape (XXH64, which does not withstand such a
# choice); found from that hash in 100 s.
CHOSEN_SHAPE = "c1v8hcsolhgff7n2g7z2o7ls"


async def case() -> int:
    """Run the case; return 1 if the rule was broken, else 0."""
    record = Record(FOLDER)
    with tempfile.TemporaryDirectory() as folder:
        deployment = Deployment(Path(folder), hosts=1)
        try:
            await deployment.start_stand_ins()
            # Without tenants, as on the site.
            deployment.configure(11, None, 800)
            for daemon in deployment.daemons:
                await daemon.start()
            await deployment.wait_until_served("current", "")
            return await _observe(deployment, record)
        finally:
            await deployment.stop()


async def _observe(deployment: Deployment, record: Record) -> int:
    shape = CHOSEN_SHAPE if TROUBLE else "q2d"
    runs = deployment.stand_ins.observer.runs
    address = deployment.daemons[0].clients
    broken = 0
    for number in range(ROUNDS):
        for who, text in (("a", shape), ("b", SHAPE)):
            client = await LineClient.connect(address)
            await client.start("current", f"client-{who}")
            request = f"{who}{number}"
            prepared = await client.ask(f"p{request}", f"PREPARE s1 READ {text}")
            answer = await client.ask(request, "EXECUTE s1 1a4")
            ran = runs[request][-1].prepared[1]
            record.write(
                f"client {who} prepared s1 as {text!r}: {prepared[0]}; "
                f"EXECUTE ran {ran!r}: {answer[1]}"
            )
            broken += ran != text
            client.close()
            await asyncio.sleep(0.05)
    record.write(f"statements that ran another shape: {broken}")
    return 1 if broken else 0


if __name__ == "__main__":
    run_case(case())
