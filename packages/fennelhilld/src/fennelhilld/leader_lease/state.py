"""A host's lease on the leaders that it knows, and what may be done under it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fennelhill_core.clock import Clock

if TYPE_CHECKING:
    from fennelhilld.placement.state import GroupState

# A host that is cut off serves writes and current reads for at most this long; a host
# that replaces a leader waits as long for hosts that do not acknowledge its claim.
LEASE_MS = 1_200.0
# Added to that wait.  Clocks of two hosts drift apart by far less in `LEASE_MS`.
CLOCK_MARGIN_MS = 30.0


class LeaderLease:
    """Until when this host may rely on the leaders that it knows.

    The lease rests on a proof: at some time, no claim to replace a leader was in force
    except those that this host knows.  It expires `LEASE_MS` after that time.  A host
    that replaces a leader makes its claim first, and orders the promotion only once
    every lease from before the claim has expired or has been given up.  So while its
    lease is valid, a host that knows no open claim on a group knows the group's leader.

    One lease covers all groups.  All times are on the clock that also advances while
    the host is suspended.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "proven_ms", "source")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.proven_ms = float("-inf")
        # Where the proof came from, for the log.
        self.source = ""

    @property
    def expires_ms(self) -> float:
        """When the lease expires."""
        return self.proven_ms + LEASE_MS

    @property
    def age_ms(self) -> float:
        """Age of the proof; infinite if there is none."""
        return self._clock.boottime_ms() - self.proven_ms

    def valid_at(self, boottime_ms: float) -> bool:
        """Return whether the lease covers a time.

        Parameters
        ----------
        boottime_ms : float
            The time.

        Returns
        -------
        bool
            False from its expiry on.
        """
        return boottime_ms < self.expires_ms

    def extend(self, proven_ms: float, source: str) -> None:
        """Extend the lease by a proof; an older one than the newest changes nothing.

        Every claim that was in force at the time of the proof must have been applied
        before.

        Parameters
        ----------
        proven_ms : float
            Time of the proof: when the query was sent that got it.
        source : str
            Where the proof came from.
        """
        if proven_ms > self.proven_ms:
            self.proven_ms = proven_ms
            self.source = source


class LeaderAccess:
    """Decides whether a group's leader may be used, and whether its answer counts.

    Parameters
    ----------
    lease : LeaderLease
        The lease of this host.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "lease")

    def __init__(self, lease: LeaderLease, clock: Clock) -> None:
        self.lease = lease
        self._clock = clock

    def may_send(self, group: GroupState) -> bool:
        """Return whether writes and current reads may be sent to the leader now.

        Parameters
        ----------
        group : GroupState
            The group.

        Returns
        -------
        bool
            False if the lease has expired, a claim on the group is open or no leader
            is known.
        """
        return (
            group.leadership.fence is None
            and group.leader() is not None
            and self.lease.valid_at(self._clock.boottime_ms())
        )

    def may_begin(self, group: GroupState) -> bool:
        """Return whether a new statement or transaction may be sent to the leader now.

        Parameters
        ----------
        group : GroupState
            The group.

        Returns
        -------
        bool
            False also if the leader has been leaving for too long.
        """
        return self.may_send(group) and not self.drained(group)

    def drained(self, group: GroupState) -> bool:
        """Return whether a group's leader has been leaving for too long.

        Parameters
        ----------
        group : GroupState
            The group.

        Returns
        -------
        bool
            True if it may stop at any time, and takes no new statements.
        """
        leader = group.leader()
        return leader is not None and self._clock.boottime_ms() >= leader.use_until_ms

    def covers(self, group: GroupState, target_id: str, boottime_ms: float) -> bool:
        """Return whether a target is known to have led its group at a time.

        Parameters
        ----------
        group : GroupState
            The group.
        target_id : str
            The target.
        boottime_ms : float
            The time.

        Returns
        -------
        bool
            Under an open claim, True only until the lease from before the claim
            expires or is given up.
        """
        leadership = group.leadership
        if leadership.leader_id != target_id:
            return False
        if leadership.fence is not None:
            return boottime_ms < leadership.fence.covered_until_ms
        return self.lease.valid_at(boottime_ms)
