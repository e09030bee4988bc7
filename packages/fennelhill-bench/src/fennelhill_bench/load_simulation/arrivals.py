"""Lists of arrivals: how they are drawn at random, recorded and read."""

from __future__ import annotations

import csv
import math
import random
from importlib import resources
from pathlib import Path

import msgspec
from fennelhill_core.clock import MS_PER_S
from fennelhilld.catalog.state import Database, ReadKind

GROUP = "g0"
ZONES = 3
# Standard deviation of the logarithm of a statement's work, from the users' data
# sheets.
WORK_SIGMA = 0.7
MAX_WORK_MS = 170.0
DURATION_MS = 4_000.0
# Requests; about a third of the capacity of one group, whose three targets have two
# slots each.
BASE_REQUESTS_PER_S = 150.0
ORGANISATIONS = 80
# The organisations' shares of the load fall as this power of their rank, as in the
# users' logs: the largest has a fourth.
SHARE_EXPONENT = -1.2


class RequestKind(msgspec.Struct, frozen=True):
    """A kind of request: its requirements, and the worth of its answer.

    Parameters
    ----------
    name : str
        Name of the kind and of its database.
    reads : ReadKind
        How current its reads must be.
    max_age_ms : float
        Staleness that its reads accept.
    latency_objective_ms : float
        Latency up to which an answer has its full worth.
    deadline_ms : float
        Time that its client waits over all attempts.
    timeout_ms : float
        Time-out of one attempt.
    priority : int
        Priority class.
    worth : float
        Worth of an answer within the latency objective.
    late_worth : float
        Worth of a later answer, as a share of `worth`.
    work_ms : float
        Mean time of a statement in a target's slot.
    write_share : float
        Share of single writes.
    transaction_share : float
        Share of transactions.
    share : float
        Share of all arrivals.
    """

    name: str
    reads: ReadKind
    max_age_ms: float
    latency_objective_ms: float
    deadline_ms: float
    timeout_ms: float
    priority: int
    worth: float
    late_worth: float
    work_ms: float
    write_share: float
    transaction_share: float
    share: float

    def database(self) -> Database:
        """Return the database that requests of this kind use."""
        return Database(
            self.name,
            GROUP,
            self.reads,
            self.max_age_ms,
            self.timeout_ms,
            self.latency_objective_ms,
            self.priority,
        )


# Values from the first user's data sheet.
KINDS = {
    kind.name: kind
    for kind in (
        RequestKind(
            "orders",
            ReadKind.CURRENT,
            0.0,
            120.0,
            2_000.0,
            800.0,
            1,
            2.0,
            0.2,
            4.5,
            0.35,
            0.25,
            0.15,
        ),
        RequestKind(
            "catalogue",
            ReadKind.MAX_AGE,
            1_500.0,
            400.0,
            6_000.0,
            1_500.0,
            2,
            1.0,
            0.1,
            22.0,
            0.0,
            0.1,
            0.15,
        ),
        RequestKind(
            "progress",
            ReadKind.OWN_WRITES,
            2_500.0,
            200.0,
            2_000.0,
            800.0,
            2,
            2.0,
            0.1,
            14.0,
            0.12,
            0.12,
            0.7,
        ),
    )
}


class Arrival(msgspec.Struct, frozen=True):
    """One request.

    Parameters
    ----------
    at_ms : float
        Time of arrival from the start of the pattern.
    zone : int
        Number of the client's zone.
    kind : str
        Name of the kind of request.
    operation : str
        ``read``, ``write`` or ``transaction``.
    work_ms : float
        Time of each of its statements in a target's slot.
    organisation : str
        Organisation of the client; empty if the deployment has none.
    """

    at_ms: float
    zone: int
    kind: str
    operation: str
    work_ms: float
    organisation: str = ""


def draw(
    seed: int,
    factor: float = 1.0,
    shares: dict[str, float] | None = None,
    zones: tuple[float, ...] = (1.0, 1.0, 1.0),
    from_ms: float = 0.0,
    until_ms: float = DURATION_MS,
) -> list[Arrival]:
    """Draw a list of arrivals at random.

    Parameters
    ----------
    seed : int
        Seed of all random choices.
    factor : float
        Rate of arrivals as a multiple of `BASE_REQUESTS_PER_S`.
    shares : dict or None
        Share of each kind; a kind that is missing here has its usual share, and so
        have all kinds if None.
    zones : tuple of float
        Weight of each zone.
    from_ms : float
        Start of the arrivals.
    until_ms : float
        End of the arrivals.

    Returns
    -------
    list of Arrival
        In order of time.
    """
    random_state = random.Random(seed)
    kinds = list(KINDS.values())
    weights = [(shares or {}).get(kind.name, kind.share) for kind in kinds]
    arrivals = []
    at_ms = from_ms
    while True:
        at_ms += random_state.expovariate(BASE_REQUESTS_PER_S * factor / MS_PER_S)
        if at_ms >= until_ms:
            return arrivals
        kind = random_state.choices(kinds, weights)[0]
        zone = random_state.choices(range(ZONES), zones)[0]
        mean = math.log(kind.work_ms) - WORK_SIGMA**2 / 2
        work_ms = min(MAX_WORK_MS, random_state.lognormvariate(mean, WORK_SIGMA))
        fraction = random_state.random()
        operation = "read"
        if fraction < kind.write_share:
            operation = "write"
        elif fraction < kind.write_share + kind.transaction_share:
            operation = "transaction"
        arrivals.append(
            Arrival(round(at_ms, 1), zone, kind.name, operation, round(work_ms, 2))
        )


def organisation_names() -> list[str]:
    """Return the names of all organisations, the largest first."""
    return [f"org-{rank:02}" for rank in range(1, ORGANISATIONS + 1)]


def organisation_shares() -> list[float]:
    """Return the organisations' shares of the load, the largest first."""
    weights = [rank**SHARE_EXPONENT for rank in range(1, ORGANISATIONS + 1)]
    return [weight / sum(weights) for weight in weights]


def divide(
    arrivals: list[Arrival], seed: int, count: int = ORGANISATIONS
) -> list[Arrival]:
    """Divide arrivals among organisations at random, by their shares of the load.

    Parameters
    ----------
    arrivals : list of Arrival
        Arrivals without an organisation.
    seed : int
        Seed of the division.
    count : int
        Only this many of the largest organisations.

    Returns
    -------
    list of Arrival
        The same arrivals, each with an organisation.
    """
    random_state = random.Random(seed)
    names, shares = organisation_names()[:count], organisation_shares()[:count]
    return [
        msgspec.structs.replace(
            arrival, organisation=random_state.choices(names, shares)[0]
        )
        for arrival in arrivals
    ]


def save(path: Path, arrivals: list[Arrival]) -> None:
    """Write a list of arrivals to a CSV file.

    Parameters
    ----------
    path : pathlib.Path
        Path of the file.
    arrivals : list of Arrival
        Arrivals in order of time.
    """
    with path.open("w", newline="") as file:
        writer = csv.writer(file, lineterminator="\n")
        for arrival in arrivals:
            row = msgspec.structs.astuple(arrival)
            writer.writerow(row if arrival.organisation else row[:-1])


def read_recorded(name: str) -> list[Arrival]:
    """Read a recorded list of arrivals.

    Parameters
    ----------
    name : str
        Name of the list.

    Returns
    -------
    list of Arrival
        In order of time.
    """
    folder = resources.files("fennelhill_bench.load_simulation") / "recorded"
    rows = csv.reader((folder / f"{name}.csv").read_text().splitlines())
    return [
        Arrival(float(at_ms), int(zone), kind, operation, float(work_ms), *organisation)
        for at_ms, zone, kind, operation, work_ms, *organisation in rows
    ]
