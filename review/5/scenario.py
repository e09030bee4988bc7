"""A planned stop while clients use their sessions without longer pauses."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from review.stand_ins.backends import Traits
from review.stand_ins.clients import Client
from review.stand_ins.daemons import BOUNDS
from review.stand_ins.deployment import Deployment, run_case
from review.stand_ins.verdict import Verdict

SESSIONS = 8
# Between an answer and the next statement of the session.
PAUSE_S = 0.01
BEFORE_S = 2.0
GRACE_S = BOUNDS["grace_s"]
LOSS_SLACK_S = BOUNDS["loss_slack_ms"] / 1000
STATEMENT_TIMEOUT_S = 0.8
# Requests that are sent no later may still be at work in the last part of the grace.
LATE_SEND_S = 3.0


class Cut:
    """A request without a complete answer, whose connection has ended."""

    def __init__(self, request_id: str, sent_s: float, ended_s: float) -> None:
        self.request_id = request_id
        self.sent_s = sent_s
        self.ended_s = ended_s


async def use_session(
    deployment: Deployment, until_s: float, number: int, cuts: list[Cut]
) -> int:
    """Run statements one after the other; a closed session goes on elsewhere."""
    record = deployment.record
    client = Client(record)
    daemon = 0
    answered = 0
    if not await client.start(deployment.daemons[daemon].clients, "own"):
        return 0
    while record.now_s() < until_s:
        text = (
            f"WRITE a{number} v{answered}" if answered % 4 == 0 else f"READ a{number}"
        )
        sent_s = record.now_s()
        request_id, answer = await client.ask(text)
        if answer.complete:
            answered += 1
        elif client.ended and daemon == 0:
            cuts.append(Cut(request_id, sent_s, record.now_s()))
        if client.ended or await client.closed_while_idle(PAUSE_S):
            client.close()
            daemon = 1 + number % 2
            client = Client(record)
            if not await client.start(deployment.daemons[daemon].clients, "own"):
                return answered
    client.close()
    return answered


async def play(deployment: Deployment, trouble: bool) -> Verdict:
    """Send SIGTERM to a daemon under load, and look for requests that were cut."""
    record = deployment.record
    await asyncio.sleep(1.0)
    started_s = record.now_s()
    until_s = started_s + BEFORE_S + GRACE_S + 1.0
    cuts: list[Cut] = []
    sessions = [
        asyncio.ensure_future(use_session(deployment, until_s, number, cuts))
        for number in range(SESSIONS)
    ]
    await asyncio.sleep(BEFORE_S)
    term_s = record.note("SIGTERM" if trouble else "no SIGTERM", "frontend-0")
    if trouble:
        deployment.daemons[0].terminate()
        try:
            async with asyncio.timeout(GRACE_S):
                await deployment.daemons[0].process.wait()
        except TimeoutError:
            deployment.daemons[0].process.kill()
        record.note("ended", "frontend-0")
    answered = sum(await asyncio.gather(*sessions))
    if answered < 50 * SESSIONS:
        return Verdict(2, f"only {answered} statements were answered")
    arrived = {words[1]: at_s for at_s, words in record.of("arrived")}
    lost = []
    for cut in cuts:
        age_s = cut.ended_s - cut.sent_s
        passed_on = cut.request_id in arrived
        excused = (
            cut.sent_s <= term_s + LATE_SEND_S or age_s >= 0.7 * STATEMENT_TIMEOUT_S
        )
        counts = (passed_on or age_s > LOSS_SLACK_S) and not excused
        record.note(
            "LOST" if counts else "cut",
            cut.request_id,
            f"sent {cut.sent_s - term_s:.3f} s after SIGTERM",
            f"ended {age_s * 1000:.0f} ms later",
            "passed on to a backend" if passed_on else "not passed on",
        )
        lost.append(counts)
    text = f"answered={answered} cut={len(cuts)} lost={sum(lost)}"
    return Verdict(int(any(lost)), text)


if __name__ == "__main__":
    run_case(__file__, 3, Traits(), play)
