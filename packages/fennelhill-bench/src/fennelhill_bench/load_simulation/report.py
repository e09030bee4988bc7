"""Replays all load patterns under several policies; writes a page and a plot."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from statistics import mean

import msgspec
from fennelhill_core.clock import MS_PER_S
from fennelhilld.admission.policies import PolicyNames
from tornado.template import Loader

from fennelhill_bench.load_simulation.arrivals import GROUP, draw, read_recorded
from fennelhill_bench.load_simulation.organisations import FloodResult, replay_flood
from fennelhill_bench.load_simulation.patterns import PATTERNS
from fennelhill_bench.load_simulation.replay import TRAITS, ReplayResult, replay
from fennelhill_bench.rounds import ROUNDS, Figures
from fennelhill_bench.session_simulation.targets import TARGETS_PER_GROUP

SEEDS = (1, 2, 3)
POLICIES = {
    "in use": PolicyNames(),
    "first come, no limit": PolicyNames("arrival", "no_limit", "expected_time", "open"),
    "least connections": PolicyNames(placement="least_connections"),
}
FLOOD_POLICIES = {"in use": PolicyNames(), "aim_first": PolicyNames("aim_first")}
FLOODING_COUNTS = (1, 3)
FLOOD_SEEDS = (1, 2)
OVERCOMMITS = (1.0, 1.6, 2.5)
SWEPT_PATTERNS = ("flood", "promotion_gap", "rolling_restart")
# Loads at which the goodput is measured, as multiples of the targets' capacity.
OVERLOAD_FACTORS = (0.25, 0.5, 1.0, 2.0, 4.0)
OVERLOAD_DURATION_MS = 2_000.0
# Work of a transaction, as a multiple of the arrival's `work_ms`.
TRANSACTION_WORK_FACTOR = 3
COMMAND = "make measure ROUND=load"
PAGE = Path("docs/RESULTS.md")
PLOT = Path("docs/results-load.svg")
TEMPLATES = Path(__file__).parent / "templates"
BAR_SPACING_PX = 14  # from the top of a bar to the top of the next
PATTERN_GAP_PX = 8  # in addition, between the bars of two patterns
FULL_BAR_PX = 400  # length of a bar for a share of 1; also in the plot's template


class Line(msgspec.Struct):
    """One line of a table, with means over all seeds.

    Parameters
    ----------
    pattern : str
        Name of the pattern.
    setting : str
        Name of the policies, or value of the setting.
    whole : float
        Worth of the answers as a share of the worth if all were in time.
    worst_kind : float
        Lowest share of worth of a kind of request.
    worst_zone : float
        Lowest share of worth of a zone.
    worst_window : float
        Lowest share of worth of half a second.
    unanswered : float
        Number of requests without an answer.
    """

    pattern: str
    setting: str
    whole: float
    worst_kind: float
    worst_zone: float
    worst_window: float
    unanswered: float

    @classmethod
    def from_results(
        cls, pattern: str, setting: str, results: list[ReplayResult]
    ) -> Line:
        """Return a line with the means over the seeds."""
        return cls(
            pattern,
            setting,
            mean(result.whole for result in results),
            mean(result.worst_kind for result in results),
            mean(result.worst_zone for result in results),
            mean(result.worst_window for result in results),
            mean(result.unanswered for result in results),
        )


def replay_pattern(
    name: str, policies: PolicyNames, seeds: tuple[int, ...], overcommit: float | None
) -> list[ReplayResult]:
    """Replay a pattern, once for each seed.

    Parameters
    ----------
    name : str
        Name of the pattern.
    policies : PolicyNames
        Load policies of the hosts.
    seeds : tuple of int
        Seeds of all random choices that are not recorded.
    overcommit : float or None
        Factor by which hosts may exceed their equal share of a target's connections;
        the daemon's value if None.

    Returns
    -------
    list of ReplayResult
        One for each seed.
    """
    pattern = PATTERNS.get(name)()
    arrivals = read_recorded(pattern.list_name)
    return [
        replay(arrivals, pattern.inject_fault, policies, seed, overcommit)
        for seed in seeds
    ]


def capacity_factor() -> float:
    """Return the multiple of the base load that fills the targets' slots.

    Returns
    -------
    float
        Slot time of three targets divided by the work of the recorded arrivals.
    """
    arrivals = read_recorded("steady")
    works_ms = [
        arrival.work_ms
        * (TRANSACTION_WORK_FACTOR if arrival.operation == "transaction" else 1)
        for arrival in arrivals
    ]
    span_ms = arrivals[-1].at_ms
    return TARGETS_PER_GROUP * TRAITS.slots * span_ms / sum(works_ms)


def goodput_per_s(factor: float, policies: PolicyNames, seed: int = 1) -> float:
    """Return the goodput (answers within the objective) at a multiple of capacity.

    Parameters
    ----------
    factor : float
        Multiple of the capacity.
    policies : PolicyNames
        Load policies of the hosts.
    seed : int
        Seed of all random choices.

    Returns
    -------
    float
        Requests per second that were answered within their latency objective.
    """
    # Without orders, which have the largest share of writes: all writes run on one
    # target, the primary, whereas the replicas share the reads.
    shares = {"orders": 0.0, "catalogue": 0.3, "progress": 0.7}
    load = factor * capacity_factor()
    arrivals = draw(seed, factor=load, shares=shares, until_ms=OVERLOAD_DURATION_MS)
    result = replay(arrivals, policies=policies, seed=seed)
    return result.in_time / (OVERLOAD_DURATION_MS / MS_PER_S)


@ROUNDS.register("load")
class LoadRound:
    """All load patterns under the policies in use and two baselines."""

    def run(self) -> Figures:
        """Yield the figures, then write the page and the plot.

        Yields
        ------
        tuple
            Name and value.
        """
        lines = []
        for name in PATTERNS:
            for setting, policies in POLICIES.items():
                results = replay_pattern(name, policies, SEEDS, None)
                lines.append(Line.from_results(name, setting, results))
                yield f"{name}, {setting}", lines[-1].whole
        swept = []
        for name in SWEPT_PATTERNS:
            for overcommit in OVERCOMMITS:
                results = replay_pattern(name, POLICIES["in use"], SEEDS, overcommit)
                swept.append(Line.from_results(name, f"{overcommit:g}", results))
                yield f"{name}, overdraw {overcommit:g}", swept[-1].whole
        goodputs: dict[str, list[float]] = {}
        for setting, policies in POLICIES.items():
            goodputs[setting] = [
                goodput_per_s(factor, policies) for factor in OVERLOAD_FACTORS
            ]
            share = goodputs[setting][-1] / max(goodputs[setting])
            yield f"goodput at 4x of the peak, {setting}", share
        floods = []
        for count in FLOODING_COUNTS:
            for setting, policies in FLOOD_POLICIES.items():
                results = [replay_flood(count, policies, seed) for seed in FLOOD_SEEDS]
                floods.append((count, setting, _mean_flood(results)))
                yield f"lost beside {count} floods, {setting}", floods[-1][2].lost
        _write(lines, swept, goodputs, floods)


def _mean_flood(results: list[FloodResult]) -> FloodResult:
    return FloodResult(
        mean(result.lost for result in results),
        mean(result.p95_growth for result in results),
        mean(result.answered_work_ms for result in results),
    )


def _write(
    lines: list[Line],
    swept: list[Line],
    goodputs: dict[str, list[float]],
    floods: list[tuple[int, str, FloodResult]],
) -> None:
    loader = Loader(str(TEMPLATES), autoescape=None, whitespace="all")
    shared = {
        "bars": list(_bars(lines)),
        "command": COMMAND,
        "factors": OVERLOAD_FACTORS,
        "flood_seeds": FLOOD_SEEDS,
        "floods": floods,
        "goodputs": goodputs,
        "group": GROUP,
        "lines": lines,
        "patterns": [(name, PATTERNS.get(name).__doc__) for name in PATTERNS],
        "plot": PLOT.name,
        "policies": POLICIES,
        "seeds": SEEDS,
        "swept": swept,
    }
    PAGE.write_bytes(loader.load("results.md").generate(**shared))
    PLOT.write_bytes(loader.load("load.svg").generate(**shared))


def _bars(lines: list[Line]) -> Iterator[tuple[int, int, int, str]]:
    """Yield the top, length, number of the colour and label of each bar."""
    for number, line in enumerate(lines):
        setting = list(POLICIES).index(line.setting)
        top = BAR_SPACING_PX * number + PATTERN_GAP_PX * (number // len(POLICIES))
        text = line.pattern if setting == 0 else ""
        yield top, round(FULL_BAR_PX * line.whole), setting, text
