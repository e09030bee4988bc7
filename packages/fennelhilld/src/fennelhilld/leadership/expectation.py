"""How long the replacement of a lost leader is expected to take."""

from __future__ import annotations

from fennelhilld.leader_lease.state import CLOCK_MARGIN_MS, LEASE_MS
from fennelhilld.leadership.state import Fence, GroupLeadership

# From the first sign that a leader is lost to the claim: a status probe that gets no
# answer, and a turn.
CLAIM_MS = 400.0
# Assumed before the first replacement has been seen: the platform takes 300 ms to 1 s.
INITIAL_PROMOTION_MS = 500.0
NEWEST_WEIGHT = 0.5  # of the newest replacement in the moving average


class ReplacementExpectation:
    """Estimates when a group whose leader is replaced has a leader again.

    It answers the load of requests that need the leader while its zone is partitioned
    off.  The leases of silent hosts are then waited for, so that most of these requests
    could only wait until their deadline.
    """

    __slots__ = ("_took_ms",)

    def __init__(self) -> None:
        # From a claim to its end, if hosts are silent whose leases must expire.
        self._took_ms = LEASE_MS + CLOCK_MARGIN_MS + INITIAL_PROMOTION_MS

    def record(self, fence: Fence, now_ms: float) -> None:
        """Record that a replacement is done, during which hosts were silent.

        Parameters
        ----------
        fence : Fence
            The fence that it ends.
        now_ms : float
            Time on this host's clock.
        """
        took_ms = now_ms - fence.raised_ms
        if not fence.planned and took_ms > LEASE_MS:
            self._took_ms += NEWEST_WEIGHT * (took_ms - self._took_ms)

    def remaining_ms(self, leadership: GroupLeadership, now_ms: float) -> float:
        """Return how long it takes until the group has a leader again.

        Parameters
        ----------
        leadership : GroupLeadership
            State of a group whose leader is lost while hosts are silent.
        now_ms : float
            Time on this host's clock.

        Returns
        -------
        float
            Milliseconds; 0 if unknown, or if a replacement is planned, which waits for
            no leases.
        """
        fence = leadership.fence
        if fence is not None:
            took_ms = 0.0 if fence.planned else self._took_ms
            return max(0.0, fence.raised_ms + took_ms - now_ms)
        if leadership.failing_since_ms is None:
            return 0.0
        expected_ms = leadership.failing_since_ms + CLAIM_MS + self._took_ms
        return max(0.0, expected_ms - now_ms)
