"""An entry that can't be read stands in the table of backends; the primary drains."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.stand_ins.backends import Traits
from review.stand_ins.clients import Client
from review.stand_ins.daemons import BOUNDS
from review.stand_ins.deployment import SERVICE, Deployment, run_case
from review.stand_ins.verdict import Verdict

DRAIN_S = BOUNDS["drain_timeout_ms"] / 1000
# The primary serves on for a little longer, as the pages say.
SERVES_S = DRAIN_S + 3.0
NESTED = 3_000


def unreadable_entry() -> bytes:
    """Return an entry of another writer whose last field can't be read."""
    entry = {"service": SERVICE, "address": "127.0.0.1:9", "zone": "a", "sequence": 1}
    text = json.dumps(entry)[:-1]
    return f'{text}, "notes": {"[" * NESTED}{"]" * NESTED}}}'.encode()


async def use_session(deployment: Deployment, number: int, until_s: float) -> None:
    """Write and read, one statement every 50 ms."""
    record = deployment.record
    address = deployment.daemons[number % len(deployment.daemons)].clients
    client = Client(record)
    ready = await client.start(address, "current")
    while record.now_s() < until_s:
        if ready:
            await client.ask(f"WRITE a{number} v{record.now_s():.3f}")
        await asyncio.sleep(0.05)
        if not ready or client.ended:
            client = Client(record)
            ready = await client.start(address, "current")
    client.close()


async def play(deployment: Deployment, trouble: bool) -> Verdict:
    """Write the entry, let the primary drain, and look for late requests to it."""
    record = deployment.record
    await asyncio.sleep(1.0)
    if trouble:
        deployment.platform.put("servers", "i-other", unreadable_entry())
        record.note("another writer's entry", "i-other")
    await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000)
    old = deployment.service.primary
    sessions = [
        asyncio.ensure_future(
            use_session(deployment, number, record.now_s() + 1.0 + SERVES_S)
        )
        for number in range(6)
    ]
    await asyncio.sleep(1.0)
    old.state = "draining"
    old.register()
    drained_s = record.note("draining", old.name)
    await asyncio.gather(*sessions)
    old.crash()
    record.note("left", old.name)
    added = await deployment.add_daemon()
    added_ready = await added.wait_until_ready()
    record.note("a daemon that was added", "ready" if added_ready else "never ready")
    late = [
        (at_s, words[1])
        for at_s, words in record.of("arrived")
        if words[2] == old.name and at_s > drained_s + DRAIN_S
    ]
    for at_s, request_id in late:
        record.note("DRAIN", request_id, f"arrived {at_s - drained_s:.3f} s after")
    served = len(record.of("arrived"))
    if served < 100:
        return Verdict(2, f"only {served} statements reached a backend")
    text = f"arrived={served} late={len(late)} added_daemon_ready={added_ready}"
    return Verdict(int(bool(late)), text)


if __name__ == "__main__":
    run_case(__file__, 3, Traits(), play)
