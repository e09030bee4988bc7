"""What this host knows of a group and of each of its targets."""

from __future__ import annotations

from collections.abc import Callable

from fennelhilld.directory.state import TargetEntry
from fennelhilld.freshness.floors import GroupFreshness, LagEstimate, ReadFloor
from fennelhilld.leadership.state import GroupLeadership
from fennelhilld.links.pool import TargetPool

RESPONSE_WEIGHT = 0.15  # of the newest answer in the running mean
FIRST_RESPONSE_MS = 10.0  # until a target has answered for the first time
# Bytes between zones are priced and a round trip takes about 3 ms at the users'.
OTHER_ZONE_MS = 6.0
# Replicas serve reads unless the primary is much faster: writes need its slots.
LEADER_MS = 12.0
# A target that refused or broke a link is asked last for a moment.
AVOID_MS = 300.0


class TargetState:
    """One target as this host has experienced it."""

    __slots__ = ("avoid_until_ms", "entry", "lag", "pool", "response_ms")

    def __init__(
        self, entry: TargetEntry, open_pool: Callable[[TargetState], TargetPool]
    ) -> None:
        self.entry = entry
        self.pool = open_pool(self)
        self.lag = LagEstimate()
        self.response_ms = FIRST_RESPONSE_MS
        self.avoid_until_ms = 0.0

    def answered(self, took_ms: float) -> None:
        """Take the time of an answer into the running mean.

        Parameters
        ----------
        took_ms : float
            From sending to the whole answer, in milliseconds.
        """
        self.response_ms += RESPONSE_WEIGHT * (took_ms - self.response_ms)

    def avoid(self, now_ms: float) -> None:
        """Ask this target last for a moment.

        Parameters
        ----------
        now_ms : float
            Time on this host's clock.
        """
        self.avoid_until_ms = now_ms + AVOID_MS


class GroupState:
    """A group: its targets, its leader, and how fresh its replicas can be proven."""

    __slots__ = ("freshness", "leadership", "name", "targets")

    def __init__(self, name: str, notified: Callable[..., None]) -> None:
        self.name = name
        self.leadership = GroupLeadership(name, notified)
        self.freshness = GroupFreshness()
        self.targets: dict[str, TargetState] = {}

    def leader(self) -> TargetState | None:
        """Return the target that is believed to lead.

        Returns
        -------
        TargetState or None
            Nothing while none is known.
        """
        return self.targets.get(self.leadership.leader_id or "")

    def choose_reader(
        self, floor: ReadFloor, zone: str, tried: set[str], now_ms: float
    ) -> TargetState | None:
        """Choose the target that will probably answer a read first.

        Parameters
        ----------
        floor : ReadFloor
            What its log must hold.
        zone : str
            Availability zone of this host.
        tried : set of str
            Targets that have refused this read already.
        now_ms : float
            Time on this host's clock.

        Returns
        -------
        TargetState or None
            Nothing where no target is left.
        """
        best = None
        best_ms = 0.0
        for name, target in self.targets.items():
            if name in tried or target.entry.leaving or target.pool.unreachable:
                continue
            leads = name == self.leadership.leader_id
            if not leads and not target.lag.holds(floor.age_ms, now_ms):
                continue
            cost_ms = expected_ms(target, leads, zone, now_ms)
            if best is None or cost_ms < best_ms:
                best, best_ms = target, cost_ms
        return best


def expected_ms(target: TargetState, leads: bool, zone: str, now_ms: float) -> float:
    """Estimate the cost of a read at a target, as milliseconds.

    Parameters
    ----------
    target : TargetState
        The target.
    leads : bool
        Whether it is the group's leader.
    zone : str
        Availability zone of this host.
    now_ms : float
        Time on this host's clock.

    Returns
    -------
    float
        Expected time, with what discourages this target added as time.
    """
    pool = target.pool
    ahead = pool.waiting + (pool.in_use if pool.idle == 0 else 0)
    cost_ms = target.response_ms * (1 + ahead / max(1, target.entry.slots))
    if target.entry.zone != zone:
        cost_ms += OTHER_ZONE_MS
    if leads:
        cost_ms += LEADER_MS
    if now_ms < target.avoid_until_ms:
        cost_ms += 10 * AVOID_MS
    return cost_ms
