"""State that this host keeps for each group and each of its targets."""

from __future__ import annotations

import math
from collections.abc import Callable

import xxhash

from fennelhilld.directory.state import TargetEntry
from fennelhilld.freshness.positions import GroupFreshness, LagEstimate, MinimumPosition
from fennelhilld.leadership.state import GroupLeadership
from fennelhilld.links.pool import TargetPool
from fennelhilld.placement.policies import SET_UP_COST_MS, PlacementPolicy
from fennelhilld.relay.owners import spread_count

NEWEST_WEIGHT = 0.1  # weight of the newest value in an exponential moving average
INITIAL_RESPONSE_MS = 15.0  # assumed for a database before the first answer
# Bounds on the slowness of a single answer, as multiples of the mean response time.
MIN_SLOWNESS, MAX_SLOWNESS = 0.3, 6.0
# Without answers, half of what is known of a target's speed is forgotten in this time.
# A slow target may get no reads, and could never show that it has become faster.
SLOWNESS_HALF_LIFE_MS = 5_000.0
MIN_MEAN_RESPONSE_MS = 0.1  # lower bound on a mean that a response time is divided by
# An organisation with more than a fourth of a replica's fair part uses two: it sends
# enough to both that their links stay open.
REPLICA_SPREAD = 4.0
# How long a target is tried last after it refused a request or a connection, a link to
# it was lost, no link to it was free in time or its answer was overdue.
AVOID_MS = 300.0


def preferred_replicas(
    replicas: list[str], organisation: str, share: float
) -> list[str]:
    """Return the replicas that keep links of an organisation.

    Answers organisations that outnumber the connections: if each read from all
    replicas, each replica would need links of all.

    Parameters
    ----------
    replicas : list of str
        Replicas of the group that may serve reads.
    organisation : str
        The organisation.
    share : float
        Its share of the load, from 0 to 1.

    Returns
    -------
    list of str
        The first by rendezvous hashing; more for a large share.
    """
    ranked = sorted(
        replicas,
        key=lambda name: xxhash.xxh64_intdigest(f"{organisation}/{name}".encode()),
    )
    return ranked[: spread_count(REPLICA_SPREAD * share, len(ranked))]


class ResponseTimes:
    """Mean response time of reads, by database.

    Databases differ in the work of a read, so the speed of a target is measured
    relative to the mean of the same database.
    """

    __slots__ = ("_mean_response_ms",)

    def __init__(self) -> None:
        self._mean_response_ms: dict[str, float] = {}

    def mean_response_ms(self, database: str) -> float:
        """Return the mean response time of reads.

        Parameters
        ----------
        database : str
            Name of the database.

        Returns
        -------
        float
            Milliseconds.
        """
        return self._mean_response_ms.get(database, INITIAL_RESPONSE_MS)

    def observe(self, database: str, took_ms: float) -> float:
        """Update the mean with the response time of a read.

        Parameters
        ----------
        database : str
            Name of the database.
        took_ms : float
            From sending the read to its complete answer, in milliseconds.

        Returns
        -------
        float
            Response time as a multiple of the previous mean; 1 for the first read.
        """
        mean_response_ms = self._mean_response_ms.get(database)
        if mean_response_ms is None:
            self._mean_response_ms[database] = took_ms
            return 1.0
        self._mean_response_ms[database] = mean_response_ms + NEWEST_WEIGHT * (
            took_ms - mean_response_ms
        )
        return took_ms / max(mean_response_ms, MIN_MEAN_RESPONSE_MS)


class TargetState:
    """A target, with the lag and the slowness that this host has observed."""

    __slots__ = (
        "_slowness",
        "_slowness_updated_ms",
        "avoid_until_ms",
        "entry",
        "lag",
        "pool",
        "pool_for",
        "relay_pool",
        "use_until_ms",
    )

    def __init__(
        self, entry: TargetEntry, open_pool: Callable[[TargetState], TargetPool]
    ) -> None:
        self.entry = entry
        # On an owner, links through other owners, whose own links the requests of some
        # organisations use; None until needed.
        self.relay_pool: TargetPool | None = None
        # Returns the pool for the requests of an organisation.
        self.pool_for: Callable[[str], TargetPool] = lambda organisation: self.pool
        self.pool = open_pool(self)
        self.lag = LagEstimate(self.pool.created_ms)
        self._slowness = 1.0
        self._slowness_updated_ms = self.pool.created_ms
        self.avoid_until_ms = 0.0
        # No new statement or transaction is sent later, on the clock that counts
        # suspended time; finite while it is leaving.
        self.use_until_ms = math.inf

    @property
    def pools(self) -> list[TargetPool]:
        """All pools of links to the target."""
        return [self.pool] if self.relay_pool is None else [self.pool, self.relay_pool]

    def answered_after(self, since_ms: float) -> bool:
        """Return whether the target has answered on any link since a given time.

        Parameters
        ----------
        since_ms : float
            When a command was sent that got no answer.

        Returns
        -------
        bool
            As `TargetPool.answered_after`, for all pools.
        """
        return any(pool.answered_after(since_ms) for pool in self.pools)

    def slowness(self, now_ms: float) -> float:
        """Return the mean slowness; without answers it approaches 1.

        Parameters
        ----------
        now_ms : float
            Time on this host's clock.

        Returns
        -------
        float
            Response time as a multiple of the mean of the database.
        """
        half_lives = (now_ms - self._slowness_updated_ms) / SLOWNESS_HALF_LIFE_MS
        return 1.0 + (self._slowness - 1.0) * 0.5**half_lives

    def record_slowness(self, slowness: float, now_ms: float) -> None:
        """Update the mean slowness with that of one answer.

        Parameters
        ----------
        slowness : float
            Response time as a multiple of the mean of the database.
        now_ms : float
            Time on this host's clock.
        """
        bounded = min(MAX_SLOWNESS, max(MIN_SLOWNESS, slowness))
        mean = self.slowness(now_ms)
        self._slowness = mean + NEWEST_WEIGHT * (bounded - mean)
        self._slowness_updated_ms = now_ms

    def avoid(self, now_ms: float) -> None:
        """Try this target last until `AVOID_MS` have passed.

        Parameters
        ----------
        now_ms : float
            Time on this host's clock.
        """
        self.avoid_until_ms = now_ms + AVOID_MS


class GroupState:
    """A group: its targets, its leader, and log positions of its leader."""

    __slots__ = ("freshness", "leadership", "name", "placement", "targets")

    def __init__(
        self, name: str, record: Callable[..., None], placement: PlacementPolicy
    ) -> None:
        self.name = name
        self.placement = placement
        self.leadership = GroupLeadership(name, record)
        self.freshness = GroupFreshness()
        self.targets: dict[str, TargetState] = {}

    def leader(self) -> TargetState | None:
        """Return the group's leader, as far as this host knows.

        Returns
        -------
        TargetState or None
            None while no leader is known, or if its target is not listed.
        """
        return self.targets.get(self.leadership.leader_id or "")

    @property
    def in_doubt(self) -> bool:
        """Whether its leader, or the connection to a target, has to be checked."""
        leader = self.leader()
        return (
            leader is None
            or leader.entry.leaving
            or self.leadership.in_doubt
            or any(target.pool.unreachable for target in self.targets.values())
        )

    def choose_reader(
        self,
        minimum: MinimumPosition,
        mean_response_ms: float,
        zone: str,
        tried: set[str],
        now_ms: float,
        organisation: str = "",
        share: float = 0.0,
    ) -> TargetState | None:
        """Choose the target where a read costs least.

        If links belong to organisations, a read costs a set-up more than at one of the
        organisation's preferred replicas, unless this host has a link there already.

        Parameters
        ----------
        minimum : MinimumPosition
            Log position that a replica must have applied.
        mean_response_ms : float
            Mean response time of reads of the database, in milliseconds.
        zone : str
            Availability zone of this host.
        tried : set of str
            Targets that have already failed or refused this read.
        now_ms : float
            Time on this host's clock.
        organisation : str
            Organisation that reads; empty if links belong to none.
        share : float
            Its share of the load, from 0 to 1.

        Returns
        -------
        TargetState or None
            None where no target is left.
        """
        preferred = self._preferred(organisation, share) if organisation else []
        best = None
        best_cost_ms = 0.0
        for name, target in self.targets.items():
            if name in tried or target.entry.leaving or target.pool.unreachable:
                continue
            is_leader = name == self.leadership.leader_id
            if not is_leader and not target.lag.predicts_applied(
                minimum.age_ms, now_ms
            ):
                continue
            cost_ms = self.placement.cost_ms(
                target, is_leader, mean_response_ms, zone, now_ms
            )
            if organisation and not (
                name in preferred or target.pool.has_link_of(organisation)
            ):
                cost_ms += SET_UP_COST_MS
            if best is None or cost_ms < best_cost_ms:
                best, best_cost_ms = target, cost_ms
        return best

    def _preferred(self, organisation: str, share: float) -> list[str]:
        """Return the replicas that keep links of an organisation."""
        replicas = [
            name
            for name, target in self.targets.items()
            if name != self.leadership.leader_id
            and not target.entry.leaving
            and not target.pool.unreachable
        ]
        return preferred_replicas(replicas, organisation, share)
