"""The live view: which entry hosts are usable, and which host owns which target."""

from __future__ import annotations

from typing import Protocol

import xxhash
from fennelhill_core.clock import Clock
from fennelhill_core.events import EventLog
from fennelhill_core.platform import HostEntry, HostState
from fennelhill_core.registry import Registry
from fennelhill_core.settings import EntryHost, Settings, Target


class LiveView:
    """Which entry hosts this host considers usable.

    Hosts don't agree on a common view.  Different views can give a target two
    owners, which costs connections but breaks no guarantee.

    Parameters
    ----------
    host : EntryHost
        This entry host.
    settings : Settings
        Settings, which list all entry hosts.
    clock : Clock
        Source of time.
    events : EventLog
        Records suspected, returning and leaving hosts.
    """

    __slots__ = (
        "_candidate_orders",
        "_clock",
        "_events",
        "_leaving",
        "_platform_states",
        "_suspected_until_ms",
        "host",
        "hosts",
    )

    def __init__(
        self, host: EntryHost, settings: Settings, clock: Clock, events: EventLog
    ) -> None:
        self.host = host
        self.hosts = {entry.id: entry for entry in settings.entry_hosts}
        self._clock = clock
        self._events = events
        self._suspected_until_ms: dict[str, float] = {}
        self._leaving: set[str] = set()
        self._platform_states: dict[str, HostState] = {}
        # Order of all hosts for each target; it does not depend on which are usable.
        self._candidate_orders: dict[str, list[EntryHost]] = {}

    def suspect(self, host: str, for_ms: float, reason: str) -> None:
        """Exclude a host that did not answer, for a limited time.

        Parameters
        ----------
        host : str
            The entry host that did not answer.
        for_ms : float
            How long to exclude it, in milliseconds.
        reason : str
            Why, for the event log.
        """
        if host == self.host.id:
            return
        if not self.is_suspect(host):
            self._events.record("membership.suspected", peer=host, reason=reason)
        self._suspected_until_ms[host] = self._clock.now_ms() + for_ms

    def record_response(self, host: str, leaving: bool) -> None:
        """Record an answer or a heartbeat of a host, and stop suspecting it.

        Parameters
        ----------
        host : str
            The entry host that answered.
        leaving : bool
            Whether it is shutting down.
        """
        if self._suspected_until_ms.pop(host, None) is not None:
            self._events.record("membership.returned", peer=host)
        if leaving and host not in self._leaving:
            self._events.record("membership.leaving", peer=host)
            self._leaving.add(host)
        elif not leaving:
            self._leaving.discard(host)

    def update_host_list(self, hosts: list[HostEntry]) -> None:
        """Replace the platform's host list, which may be out of date.

        A host that is not in the list counts as live.

        Parameters
        ----------
        hosts : list of HostEntry
            The list.
        """
        self._platform_states = {entry.id: entry.state for entry in hosts}

    def mark_self_leaving(self) -> None:
        """Mark this entry host as leaving, so that it is no longer usable."""
        self._leaving.add(self.host.id)

    def is_suspect(self, host: str) -> bool:
        """Return whether a host is excluded because it did not answer.

        Parameters
        ----------
        host : str
            The entry host.

        Returns
        -------
        bool
            Whether the host is suspected.
        """
        return self._suspected_until_ms.get(host, 0.0) > self._clock.now_ms()

    def usable(self, host: str) -> bool:
        """Return whether new requests may be sent to a host.

        Parameters
        ----------
        host : str
            The entry host.

        Returns
        -------
        bool
            Whether it is neither suspected, leaving nor listed as not live.
        """
        if host in self._leaving or self.is_suspect(host):
            return False
        return self._platform_states.get(host, HostState.LIVE) is HostState.LIVE

    def candidates(self, target: Target) -> list[EntryHost]:
        """Return the usable hosts for a target, the owner first.

        Hosts in the target's availability zone come first; within a zone the
        order is by rendezvous hash (Thaler and Ravishankar, 1998), so that a host
        that joins or leaves moves only its own targets.

        Parameters
        ----------
        target : Target
            The target.

        Returns
        -------
        list of EntryHost
            Usable hosts.
        """
        order = self._candidate_orders.get(target.id)
        if order is None:
            order = sorted(
                self.hosts.values(),
                key=lambda entry: (
                    entry.zone != target.zone,
                    -xxhash.xxh64_intdigest(f"{entry.id}/{target.id}".encode()),
                ),
            )
            self._candidate_orders[target.id] = order
        return [entry for entry in order if self.usable(entry.id)]


class OwnerPolicy(Protocol):
    """Decides which entry hosts hold the connections to a target."""

    def order(self, view: LiveView, target: Target) -> list[EntryHost]:
        """Return the hosts to try, the owner first."""

    def connections(self, view: LiveView, target: Target) -> int:
        """Return how many connections an owner may hold; 0 for the default."""


OWNER_POLICIES: Registry[OwnerPolicy] = Registry("owner policy")


@OWNER_POLICIES.register("rendezvous")
class RendezvousOwner:
    """One owner for each target, in the target's zone if possible.

    One queue admits all requests to the target and few connections are needed, at the
    cost of one hop between entry hosts.
    """

    __slots__ = ()

    def order(self, view: LiveView, target: Target) -> list[EntryHost]:
        """Return the hosts to try.

        Parameters
        ----------
        view : LiveView
            The live view.
        target : Target
            The target.

        Returns
        -------
        list of EntryHost
            The owner, then the hosts that take over if it does not answer.
        """
        return view.candidates(target)

    def connections(self, view: LiveView, target: Target) -> int:
        """Return how many connections an owner may hold.

        Parameters
        ----------
        view : LiveView
            The live view.
        target : Target
            The target.

        Returns
        -------
        int
            0, for the pool's default.
        """
        return 0


@OWNER_POLICIES.register("split")
class SplitOwner:
    """Every entry host holds its share of the connections.

    Requests need no hop between entry hosts, but the hosts' queues are independent.

    The baseline for ``make measure ROUND=pooling``.
    """

    __slots__ = ()

    def order(self, view: LiveView, target: Target) -> list[EntryHost]:
        """Return this host alone.

        Parameters
        ----------
        view : LiveView
            The live view.
        target : Target
            The target.

        Returns
        -------
        list of EntryHost
            This entry host.
        """
        return [view.host]

    def connections(self, view: LiveView, target: Target) -> int:
        """Return this host's share of the target's connections.

        Parameters
        ----------
        view : LiveView
            The live view.
        target : Target
            The target.

        Returns
        -------
        int
            At least one; the host's control connection is subtracted from its share.
        """
        return max(1, target.connections // len(view.hosts) - 1)
