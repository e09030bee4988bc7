"""Removes the rows of hosts that have stopped for good."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Set

from fennelhill_core.clock import Clock
from fennelhill_core.events import EventLog
from fennelhill_core.platform import StoreUnavailableError

from fennelhilld.fleet.roster import Roster
from fennelhilld.promotion.reach import FleetReach

# Stale registrations do harm only after many hosts have been replaced, and a host
# is presumed to have stopped after a minute of silence, so frequent sweeps are not
# needed.
SWEEP_INTERVAL_MS = 15_000.0


class SilentHostSweep:
    """Deletes the registrations of hosts that have been silent for too long.

    Parameters
    ----------
    roster : Roster
        Knows which hosts are silent.
    reach : FleetReach
        State of this host's connectivity to the fleet.
    delete_row : callable
        Deletes a host's row if it has a version, and returns whether it did; raises
        `StoreUnavailableError`.
    clock : Clock
        Source of time.
    events : EventLog
        Records removed rows.
    voters : callable
        Returns the names of the hosts that vote; their rows are kept.
    """

    __slots__ = (
        "_clock",
        "_delete_row",
        "_events",
        "_reach",
        "_roster",
        "_voters",
        "versions",
    )

    def __init__(
        self,
        roster: Roster,
        reach: FleetReach,
        delete_row: Callable[[str, int], Awaitable[bool]],
        clock: Clock,
        events: EventLog,
        voters: Callable[[], Set[str]],
    ) -> None:
        self._voters = voters
        self._roster = roster
        self._reach = reach
        self._delete_row = delete_row
        self._clock = clock
        self._events = events
        # Version of each host's row, as this host has read it.
        self.versions: dict[str, int] = {}

    async def run(self) -> None:
        """Remove silent hosts from time to time until cancelled."""
        while True:
            await self._clock.sleep_ms(SWEEP_INTERVAL_MS)
            await self.remove_silent_hosts()

    async def remove_silent_hosts(self) -> None:
        """Delete the rows of the hosts that are silent now.

        A row that has changed since this host read it is kept.
        """
        if self._reach.cut_off:
            return  # The silent hosts may be running but unreachable from this one.
        for name in self._roster.unresponsive_hosts():
            if name in self._voters():
                continue  # It may use a leader under leases that voters confirm.
            version = self.versions.get(name)
            if version is None:
                continue
            try:
                removed = await self._delete_row(name, version)
            except StoreUnavailableError as error:
                self._events.record(
                    "fleet.row_left_behind", member=name, reason=str(error)
                )
                return
            self._events.record(
                "fleet.row_removed", member=name, ver=version, removed=removed
            )
