"""What of each target's connections a host may use, worked out once for each change."""

from __future__ import annotations

from fennelhilld.admission.window import window_part
from fennelhilld.catalog.state import Catalog, CatalogHolder
from fennelhilld.directory.state import TargetEntry
from fennelhilld.fleet.roster import Roster
from fennelhilld.links.allocation import LinkBudget, set_ups_per_s
from fennelhilld.links.shares import OrganisationShares
from fennelhilld.relay.owners import (
    OWNED_SHARE,
    HostCapacity,
    is_shared,
    owned_part,
    owner_count,
    owner_links,
    owner_order,
    target_owners,
)

# Factor by which a host may exceed its equal share of a target's connections, as long
# as the target accepts them.
OVERCOMMIT = 1.6
# Links through owners of a target that a host may use at the same time; they cost the
# target nothing.
RELAY_LINKS = 12
# Share of an owner's links to a target that are kept while idle, where links belong to
# organisations.  A target holds the connections of a host that lost power for seconds;
# the other places are left to the host that starts in its stead.
KEPT_SHARE = 0.5
DEFAULT_CONNECTIONS = 16  # per target, until a catalog sets the limit


class TargetShare:
    """What this host may use of one target, as long as nothing it rests on changes.

    Attributes
    ----------
    entry : TargetEntry
        The target's entry that it was worked out from.
    catalog : Catalog or None
        The catalog that it was worked out from.
    roster_change : int
        Change of the list of hosts that it was worked out from.
    shared : bool
        Whether owners hold the connections to the target.
    owners : list of str
        The owners, best first; empty if the connections are not shared.
    owns : bool
        Whether this host connects to the target itself.
    links : int
        Links that this host may have open once it has started, at least 1.
    window : int
        Requests that it may send to the target at the same time.
    budget : LinkBudget or None
        None while the configuration names no organisations.
    orders : dict
        Owners in the order of use, by organisation.
    """

    __slots__ = (
        "budget",
        "catalog",
        "entry",
        "links",
        "orders",
        "owners",
        "owns",
        "roster_change",
        "shared",
        "window",
    )

    def __init__(
        self, entry: TargetEntry, catalog: Catalog | None, roster_change: int
    ) -> None:
        self.entry = entry
        self.catalog = catalog
        self.roster_change = roster_change
        self.shared = False
        self.owners: list[str] = []
        self.owns = True
        self.links = 1
        self.window = 1
        self.budget: LinkBudget | None = None
        self.orders: dict[str, list[str]] = {}


class TargetOwnership:
    """Which hosts connect to each target, and what this host may use of it.

    A request asks for this several times, while it depends on the list of hosts, the
    catalog and the target's entry only.  So one `TargetShare` for each target is kept
    until one of these changes.

    Parameters
    ----------
    host : str
        Name of this host.
    zone : str
        Its availability zone.
    capacity : float
        Its processor capacity, in cores.
    relays : bool
        Whether this host can reach targets through other hosts.
    roster : Roster
        The other hosts.
    catalog : CatalogHolder
        Gives the connections of each target.
    organisations : OrganisationShares
        Shares of the load by organisation.
    """

    __slots__ = (
        "_capacity",
        "_catalog",
        "_host",
        "_organisations",
        "_overcommit",
        "_relays",
        "_roster",
        "_shares",
        "_zone",
    )

    def __init__(
        self,
        host: str,
        zone: str,
        capacity: float,
        relays: bool,
        roster: Roster,
        catalog: CatalogHolder,
        organisations: OrganisationShares,
    ) -> None:
        self._host = host
        self._zone = zone
        self._capacity = capacity
        self._relays = relays
        self._roster = roster
        self._catalog = catalog
        self._organisations = organisations
        self._overcommit = OVERCOMMIT
        self._shares: dict[str, TargetShare] = {}

    def set_overcommit(self, factor: float) -> None:
        """Set the factor by which a host may exceed its equal share of connections.

        Parameters
        ----------
        factor : float
            At least 1 for a whole share.
        """
        self._overcommit = factor
        self._shares.clear()

    @property
    def names_organisations(self) -> bool:
        """Whether links belong to organisations."""
        catalog = self._catalog.current
        return catalog is not None and catalog.organisations is not None

    def of(self, entry: TargetEntry) -> TargetShare:
        """Return what this host may use of a target.

        Parameters
        ----------
        entry : TargetEntry
            The target.

        Returns
        -------
        TargetShare
            Kept until the entry, the catalog or the list of hosts changes.
        """
        share = self._shares.get(entry.id)
        if (
            share is None
            or share.catalog is not self._catalog.current
            or share.roster_change != self._roster.change_count
            or share.entry != entry
        ):
            share = self._shares[entry.id] = self._new_share(entry)
        return share

    def forget(self, target_id: str) -> None:
        """Drop what is kept of a target that has left.

        Parameters
        ----------
        target_id : str
            The target.
        """
        self._shares.pop(target_id, None)

    def order(self, entry: TargetEntry, organisation: str) -> list[str]:
        """Return a target's owners in the order in which this host uses them.

        Parameters
        ----------
        entry : TargetEntry
            The target.
        organisation : str
            Organisation that the statements are for; empty if links belong to none.

        Returns
        -------
        list of str
            As `owner_order`.
        """
        share = self.of(entry)
        order = share.orders.get(organisation)
        if order is None:
            order = share.orders[organisation] = owner_order(
                self._host,
                share.owners,
                entry.id,
                organisation,
                self._organisations.share(organisation),
            )
        return order

    def shares_connections(self, group_name: str) -> bool:
        """Return whether owners hold the connections to a group's targets.

        Parameters
        ----------
        group_name : str
            The group.

        Returns
        -------
        bool
            True if the fleet has too many hosts for each to keep connections.
        """
        limit = self.max_connections(group_name)
        return self._relays and is_shared(len(self._roster) + 1, limit)

    def max_connections(self, group_name: str) -> int:
        """Return how many connections each target of a group accepts.

        Parameters
        ----------
        group_name : str
            The group.

        Returns
        -------
        int
            From all hosts together.
        """
        catalog = self._catalog.current
        group = catalog.groups.get(group_name) if catalog else None
        return group.max_connections if group else DEFAULT_CONNECTIONS

    def fair_share(self, group_name: str) -> int:
        """Return this host's equal share of a target's connections.

        Parameters
        ----------
        group_name : str
            Group of the target.

        Returns
        -------
        int
            At least 1.
        """
        return max(1, self.max_connections(group_name) // (len(self._roster) + 1))

    def _new_share(self, entry: TargetEntry) -> TargetShare:
        share = TargetShare(entry, self._catalog.current, self._roster.change_count)
        share.shared = self.shares_connections(entry.group)
        if share.shared:
            share.owners = self._owners(entry)
            share.owns = self._host in share.owners
        share.links = self._links(share)
        share.window = self._window(share)
        if self.names_organisations:
            share.budget = self._budget(share)
        return share

    def _owners(self, entry: TargetEntry) -> list[str]:
        hosts = [HostCapacity(self._host, self._zone, self._capacity)]
        hosts += [
            HostCapacity(name, self._roster.zones[name], capacity)
            for name, capacity in self._roster.capacities.items()
        ]
        limit = self.max_connections(entry.group)
        return target_owners(entry.id, entry.zone, hosts, limit)

    def _links(self, share: TargetShare) -> int:
        limit = self.max_connections(share.entry.group)
        if share.shared:
            if not share.owns:
                return RELAY_LINKS
            return owner_links(limit, share.owners.index(self._host))
        if self.names_organisations:
            # Links stay open for their organisations, so none are left to other hosts.
            position = sum(name < self._host for name in self._roster.addresses)
            return owned_part(limit, len(self._roster) + 1, position)
        return max(1, int(self.fair_share(share.entry.group) * self._overcommit))

    def _window(self, share: TargetShare) -> int:
        slots = share.entry.slots
        if share.shared:
            if not share.owns:
                return share.links
            limit = self.max_connections(share.entry.group)
            return window_part(slots, share.links, int(OWNED_SHARE * limit))
        if not self.names_organisations:
            return share.links
        return window_part(slots, 1, len(self._roster) + 1)

    def _budget(self, share: TargetShare) -> LinkBudget:
        slots = share.entry.slots
        if not share.shared:
            hosts = len(self._roster) + 1
            return LinkBudget(set_ups_per_s(slots, hosts), share.links)
        count = owner_count(self.max_connections(share.entry.group))
        kept_links = max(1, int(KEPT_SHARE * share.links))
        return LinkBudget(set_ups_per_s(slots, count), kept_links)
