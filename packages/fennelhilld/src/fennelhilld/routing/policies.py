"""Read policies: the order in which replicas are tried for a read."""

from __future__ import annotations

from typing import Protocol

import msgspec
from fennelhill_core.registry import Registry
from fennelhill_core.tokens import Position

from fennelhilld.peers.messages import TargetView
from fennelhilld.primary_monitor.samples import covers

# Added for a replica in another zone: the round trip between zones.
OTHER_ZONE_COST_MS = 2.8


class ReadRequest(msgspec.Struct):
    """The properties of a read that a policy may use.

    Parameters
    ----------
    need : Position
        Position of the session's writes, which the read must see.
    allowed_age_ms : float
        Highest data age that the read accepts.  It is above 0: a read that accepts no
        stale data is sent to the primary without asking the policy.
    zone : str
        Availability zone of this entry host.
    replica_wait_ms : float
        How long the owner may wait for a replica to catch up.
    """

    need: Position
    allowed_age_ms: float
    zone: str
    replica_wait_ms: float


class Candidate(msgspec.Struct):
    """A replica that may serve a read, with its cached view.

    Parameters
    ----------
    id : str
        Name of the target.
    zone : str
        Its availability zone.
    view : TargetView
        The latest view of the target.
    since_update_ms : float
        Time since this view was received.
    wait_ms : float
        Expected wait for one of its slots.
    """

    id: str
    zone: str
    view: TargetView
    since_update_ms: float
    wait_ms: float


class ReadPolicy(Protocol):
    """Orders the replicas for a read; the router tries the primary after them."""

    def order(self, request: ReadRequest, replicas: list[Candidate]) -> list[str]:
        """Return the replicas to try, the best first."""


READ_POLICIES: Registry[ReadPolicy] = Registry("read policy")


@READ_POLICIES.register("least_wait")
class LeastWait:
    """Chooses likely fresh replicas by expected wait and distance.

    The cached views may be out of date, so a replica's owner checks whether it is
    fresh enough; if neither of the two best replicas is, the primary serves the read.
    """

    __slots__ = ()

    def order(self, request: ReadRequest, replicas: list[Candidate]) -> list[str]:
        """Return the replicas to try.

        Parameters
        ----------
        request : ReadRequest
            The read.
        replicas : list of Candidate
            Replicas that are not leaving.

        Returns
        -------
        list of str
            At most two, the best first.
        """
        likely = [c for c in replicas if _likely_fresh(request, c)]
        likely.sort(key=lambda c: (_expected_delay_ms(request, c), c.id))
        return [candidate.id for candidate in likely[:2]]


@READ_POLICIES.register("round_robin")
class RoundRobin:
    """Takes likely fresh replicas in turn.

    A baseline for ``make measure ROUND=reads``.
    """

    __slots__ = ("_turn",)

    def __init__(self) -> None:
        self._turn = 0

    def order(self, request: ReadRequest, replicas: list[Candidate]) -> list[str]:
        """Return the replicas to try.

        Parameters
        ----------
        request : ReadRequest
            The read.
        replicas : list of Candidate
            Replicas that are not leaving.

        Returns
        -------
        list of str
            The next likely fresh replica, or an empty list.
        """
        fresh_ids = sorted(c.id for c in replicas if _likely_fresh(request, c))
        if not fresh_ids:
            return []
        self._turn += 1
        return [fresh_ids[self._turn % len(fresh_ids)]]


@READ_POLICIES.register("primary_only")
class PrimaryOnly:
    """Uses no replica: a baseline for ``make measure ROUND=reads``."""

    __slots__ = ()

    def order(self, request: ReadRequest, replicas: list[Candidate]) -> list[str]:
        """Return no replica.

        Parameters
        ----------
        request : ReadRequest
            The read.
        replicas : list of Candidate
            Replicas that are not leaving.

        Returns
        -------
        list of str
            An empty list.
        """
        return []


def _likely_fresh(request: ReadRequest, candidate: Candidate) -> bool:
    """Estimate from the cached view whether a replica is fresh enough.

    Its data must not be older than allowed and must include the session's writes.  A
    replica's position only grows, so the cached position is a lower bound.  If only
    its index is too low, the replica may have caught up since: it counts as fresh if
    the time since the view, plus the allowed wait, is at least the reported age of
    its data, which is taken as its replication lag.
    """
    if candidate.view.age_ms > request.allowed_age_ms:
        return False
    if covers(candidate.view.position, request.need):
        return True
    if candidate.view.position.term < request.need.term:
        return False
    return candidate.since_update_ms + request.replica_wait_ms >= max(
        candidate.view.age_ms, 0.0
    )


def _expected_delay_ms(request: ReadRequest, candidate: Candidate) -> float:
    distance_ms = 0.0 if candidate.zone == request.zone else OTHER_ZONE_COST_MS
    behind = not covers(candidate.view.position, request.need)
    return (
        distance_ms + candidate.wait_ms + (request.replica_wait_ms if behind else 0.0)
    )
