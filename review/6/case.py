"""A primary with a synchronous replica crashes while the other replica is behind."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins_2"))

from deployment import Client, Deployment, Recorder, request_id  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 3
READERS = int(os.environ.get("READERS", "36"))
DEAF_AT_S = 4.0
CRASH_AT_S = 8.0
HEARS_AT_S = 10.5
ENTRY_KEPT_S = 3.6  # three heartbeats
END_S = 16.0
KEPT, BROKEN, NOT_RUN = 0, 1, 2


async def write_forever(
    deployment: Deployment, index: int, acknowledged: dict[str, str]
) -> None:
    """Send single writes; note those that were acknowledged."""
    record = deployment.record
    address, port = deployment.addresses[index], deployment.ports[0]
    while True:
        with contextlib.suppress(OSError):
            client = await Client.connect(address, port, "current")
            while True:
                name = request_id()
                lines = await client.ask(name, f"WRITE w{index} {name}")
                record("write", id=name, answer=" | ".join(lines))
                if lines[0].startswith("COMPLETE"):
                    acknowledged[name] = lines[-1]
                if not lines[-1]:
                    break
                await asyncio.sleep(0.03)
        await asyncio.sleep(0.1)


async def read_forever(deployment: Deployment, index: int) -> None:
    """Run read transactions with pauses between their statements."""
    address = deployment.addresses[index % HOSTS]
    while True:
        with contextlib.suppress(OSError):
            client = await Client.connect(address, deployment.ports[0], "aged")
            while True:
                answers = [await client.ask(request_id(), "BEGIN READ")]
                for _ in range(3):
                    answers.append(await client.ask(request_id(), "READ w0"))
                    await asyncio.sleep(0.6)
                answers.append(await client.ask(request_id(), "COMMIT"))
                if not answers[-1][-1]:
                    break
        await asyncio.sleep(0.1)


async def run(record: Recorder) -> int:
    """Run the case."""
    deployment = Deployment(record, HOSTS, sync_replicas=1)
    tasks = []
    try:
        await deployment.start()
        for index in range(HOSTS):
            deployment.start_host(index)
        if not await deployment.until_ready(list(range(HOSTS))):
            record("not run", why="the daemons are not ready")
            return NOT_RUN
        primary, near, far = deployment.service.servers
        acknowledged: dict[str, str] = {}
        start_s = record.at()
        for index in range(HOSTS):
            work = write_forever(deployment, index, acknowledged)
            tasks.append(asyncio.ensure_future(work))
        for index in range(READERS):
            tasks.append(asyncio.ensure_future(read_forever(deployment, index)))
            await asyncio.sleep(0.02)
        await asyncio.sleep(start_s + DEAF_AT_S - record.at())
        if TROUBLE:
            far.deaf = True
            record("trouble", server=far.name, what="receives nothing from now on")
        await asyncio.sleep(start_s + CRASH_AT_S - record.at())
        before = dict(acknowledged)
        if TROUBLE:
            record(
                "trouble",
                server=primary.name,
                what="crashes",
                connections_of_the_other=len(near.connections),
                log_ends=f"{near.name}:{near.received} {far.name}:{far.received}",
            )
            primary.crash()
        await asyncio.sleep(start_s + HEARS_AT_S - record.at())
        deployment.service.hear_again(far)
        await asyncio.sleep(start_s + CRASH_AT_S + ENTRY_KEPT_S - record.at())
        if TROUBLE:
            deployment.store.delete("servers", primary.name)
        await asyncio.sleep(start_s + END_S - record.at())
        return judge(deployment, before, len(acknowledged))
    finally:
        for task in tasks:
            task.cancel()
        for line in deployment.logged(
            "target.no_status",
            "promotion.claimed",
            "promotion.ordered",
            "promotion.weighed",
        ):
            record("log", line=line)
        deployment.stop()


def judge(deployment: Deployment, before: dict[str, str], total: int) -> int:
    """Check that the log of the leader has all acknowledged commits."""
    record = deployment.record
    leader = next((s for s in deployment.service.servers if s.leads), None)
    if leader is None or not before or total <= len(before):
        record("not run", why="no leader, or no write was acknowledged")
        return NOT_RUN
    kept = {entry.request_id for entry in leader.log}
    lost = [name for name in before if name not in kept]
    record(
        "result",
        leader=leader.name,
        acknowledged_before=len(before),
        acknowledged=total,
        lost=len(lost),
        first=lost[:1],
    )
    return BROKEN if lost else KEPT


if __name__ == "__main__":
    # A time-out must not leave daemons behind.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    sys.exit(asyncio.run(run(Recorder(HERE / "record.txt"))))
