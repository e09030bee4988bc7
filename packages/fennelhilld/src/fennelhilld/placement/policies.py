"""Policies that compare the cost of a read at the targets that may serve it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from fennelhill_core.registry import Registry

if TYPE_CHECKING:
    from fennelhilld.placement.state import TargetState

# Traffic between zones is billed, and a round trip takes about 3 ms in the users'
# deployments.
OTHER_ZONE_COST_MS = 6.0
# Replicas serve reads unless the leader is expected to be more than twice as fast: its
# slots are for writes.
LEADER_COST_FACTOR = 2.0
# Setting up a connection occupies a slot for 12 to 27 ms in the users' deployments and
# takes another round trip.
SET_UP_COST_MS = 20.0
# More than any ordinary wait, so that a target that has just failed a request is tried
# last.
AVOIDED_COST_MS = 3_000.0


class PlacementPolicy(Protocol):
    """Compares the targets that may serve a read; the cheapest one is chosen."""

    def cost_ms(
        self,
        target: TargetState,
        is_leader: bool,
        mean_response_ms: float,
        zone: str,
        now_ms: float,
    ) -> float:
        """Return the cost of a read at a target, in milliseconds."""


PLACEMENT_POLICIES: Registry[PlacementPolicy] = Registry("placement policy")


@PLACEMENT_POLICIES.register("expected_time")
class ExpectedTime:
    """Chooses the target with the shortest expected response time.

    A target that is slow or has a queue gets fewer reads as its response times rise.
    Targets of other zones cost more, to avoid billed traffic between zones that is
    not needed.
    """

    __slots__ = ()

    def cost_ms(
        self,
        target: TargetState,
        is_leader: bool,
        mean_response_ms: float,
        zone: str,
        now_ms: float,
    ) -> float:
        """Return the cost of a read at a target.

        Parameters
        ----------
        target : TargetState
            The target.
        is_leader : bool
            Whether the target is the group's leader.
        mean_response_ms : float
            Mean response time of reads of the database, in milliseconds.
        zone : str
            Availability zone of this host.
        now_ms : float
            Time on this host's clock.

        Returns
        -------
        float
            Expected response time plus penalties, in milliseconds.
        """
        pool = target.pool
        requests_ahead = pool.waiting + (pool.in_use if pool.idle == 0 else 0)
        parallel_requests = max(1, min(target.entry.slots, pool.open))
        cost_ms = (
            mean_response_ms
            * target.slowness(now_ms)
            * (1 + requests_ahead / parallel_requests)
        )
        if is_leader:
            cost_ms *= LEADER_COST_FACTOR
        if target.entry.zone != zone:
            cost_ms += OTHER_ZONE_COST_MS
        if not is_leader and pool.open == 0 and not pool.relayed:
            # A host that has just started uses its open links to the leader until links
            # to replicas are open.
            cost_ms += SET_UP_COST_MS
        if now_ms < target.avoid_until_ms:
            cost_ms += AVOIDED_COST_MS
        return cost_ms


@PLACEMENT_POLICIES.register("least_connections")
class LeastConnections:
    """Chooses the target with the fewest requests of this host.

    A baseline for ``make measure ROUND=load``.
    """

    __slots__ = ()

    def cost_ms(
        self,
        target: TargetState,
        is_leader: bool,
        mean_response_ms: float,
        zone: str,
        now_ms: float,
    ) -> float:
        """Return the cost of a read at a target.

        Parameters
        ----------
        target : TargetState
            The target.
        is_leader : bool
            Whether the target is the group's leader.
        mean_response_ms : float
            Mean response time of reads of the database, in milliseconds.
        zone : str
            Availability zone of this host.
        now_ms : float
            Time on this host's clock.

        Returns
        -------
        float
            Requests that use or wait for a link to the target.
        """
        return target.pool.in_use + target.pool.waiting
