"""Replays of organisations that flood, beside the same load without their flood."""

from __future__ import annotations

import msgspec
from fennelhilld.admission.policies import PolicyNames
from fennelhilld.relay.owners import OWNED_SHARE

from fennelhill_bench.load_simulation.arrivals import (
    DURATION_MS,
    Arrival,
    divide,
    draw,
    organisation_names,
    organisation_shares,
    read_recorded,
)
from fennelhill_bench.load_simulation.replay import ReplayResult, replay

USUAL_LIST, EXTRA_LIST = "organisations", "organisation_floods"
# Usual load as a multiple of the base load: 0.42 of the slots' time, as on the hardest
# days of the user whose organisations compete.
USUAL_FACTOR = 2.0
FLOOD_FACTOR = 8.0  # load of a flooding organisation, as a multiple of its usual one
MOST_FLOODING = 3
START_MS = 1_000.0
END_MS = DURATION_MS - 500.0


def draw_usual() -> list[Arrival]:
    """Draw the usual load of all organisations, as it is recorded."""
    return divide(draw(9, factor=USUAL_FACTOR), 10)


def draw_extra() -> list[Arrival]:
    """Draw what the largest organisations send beyond it, as it is recorded."""
    share = sum(organisation_shares()[:MOST_FLOODING])
    factor = (FLOOD_FACTOR - 1) * share * USUAL_FACTOR
    extra = draw(11, factor=factor, from_ms=START_MS, until_ms=END_MS)
    return divide(extra, 12, MOST_FLOODING)


class FloodResult(msgspec.Struct):
    """What the flood of some organisations does to the others.

    Parameters
    ----------
    lost : float
        Share of the others' answers in time without the flood that they lose by it.
    p95_growth : float
        Their p95 latency during the flood, as a multiple of that without it.
    answered_work_ms : float
        Slot time of the answers in time to all organisations, in milliseconds.
    """

    lost: float
    p95_growth: float
    answered_work_ms: float


def replay_flood(
    flooding_count: int, policies: PolicyNames | None = None, seed: int = 1
) -> FloodResult:
    """Replay the usual load with and without a flood.

    Parameters
    ----------
    flooding_count : int
        The largest organisations that flood, at most `MOST_FLOODING`.
    policies : PolicyNames or None
        Load policies of the hosts; the defaults if None.
    seed : int
        Seed of all random choices that are not recorded.

    Returns
    -------
    FloodResult
        The comparison.
    """
    names = organisation_names()
    flooding, others = names[:flooding_count], names[flooding_count:]
    usual = read_recorded(USUAL_LIST)
    extra = [
        arrival
        for arrival in read_recorded(EXTRA_LIST)
        if arrival.organisation in flooding
    ]
    flooded = sorted([*usual, *extra], key=lambda arrival: arrival.at_ms)
    result = replay(flooded, policies=policies, seed=seed, overcommit=OWNED_SHARE)
    without, beside = (
        during_flood(each.of(others))
        for each in (
            replay(usual, policies=policies, seed=seed, overcommit=OWNED_SHARE),
            result,
        )
    )
    return FloodResult(
        1 - beside.in_time / without.in_time,
        beside.p95_ms / without.p95_ms,
        during_flood(result).in_time_work_ms,
    )


def during_flood(result: ReplayResult) -> ReplayResult:
    """Return the results of the requests that arrived during the flood."""
    return result.select(lambda arrival: START_MS <= arrival.at_ms < END_MS)
