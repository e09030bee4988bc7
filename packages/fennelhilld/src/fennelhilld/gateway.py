"""The core behind all interfaces of a daemon: sessions, targets, leader checks."""

from __future__ import annotations

from fennelhill_core import codes
from fennelhill_core.clock import Clock
from fennelhill_core.codes import Code
from fennelhill_core.events import EventLog
from fennelhill_core.streams import Dialer
from fennelhill_core.tasks import Tasks

from fennelhilld.admission.policies import LoadPolicies
from fennelhilld.catalog.state import Catalog, CatalogHolder, key_digest
from fennelhilld.directory.state import TargetDirectory, TargetEntry
from fennelhilld.fleet.notices import ZoneNotices
from fennelhilld.fleet.roster import Roster
from fennelhilld.freshness.sharing import SampleSource
from fennelhilld.leader_lease.fencing import LeaseCollector
from fennelhilld.leader_lease.renewal import LeaseRenewal
from fennelhilld.leader_lease.service import HostQueryService
from fennelhilld.leader_lease.state import LeaderAccess, LeaderLease
from fennelhilld.leadership.state import Fence, GroupLeadership
from fennelhilld.links.messages import LinkDriver
from fennelhilld.links.pool import TargetPool
from fennelhilld.placement.state import GroupState, TargetState
from fennelhilld.promotion.messages import Claim, ClaimPhase, ClaimRow
from fennelhilld.promotion.replacement import LeaderReplacement
from fennelhilld.relay.driver import OwnerStreams, RelayDriver
from fennelhilld.relay.owners import (
    HostCapacity,
    is_shared,
    owner_links,
    owner_order,
    target_owners,
)
from fennelhilld.relay.service import RelayService
from fennelhilld.statements.environment import Environment
from fennelhilld.statements.session import Session

# Interval of the periodic checks; each run costs some microseconds.
TICK_MS = 100.0
# Pause before the next check of a group whose leader is unknown or fails.
LEADER_CHECK_INTERVAL_MS = 150.0
# Pause after a check that has confirmed the leader.  Without it each link that breaks
# would cause a check, which takes a connection set-up and a slot of the target.
CONFIRMED_CHECK_INTERVAL_MS = 400.0
# Ticks between trims of the pools; surplus links are closed only after seconds.
TRIM_TICKS = 5
# Ticks between log lines with the statement counters: ten seconds.
COUNTERS_LOG_TICKS = 100
# Factor by which a host may exceed its equal share of a target's connections, as long
# as the target accepts them.
OVERCOMMIT = 1.6
# For this long after its start a host opens one link per target, so that all hosts
# of a fleet that restarts get one before some get several.
STARTUP_PHASE_MS = 500.0
# Links through owners of a target that a host may use at the same time; they cost the
# target nothing.
RELAY_LINKS = 12
# Pause between checks of a host that may not replace the leader of a shared group.
FOLLOWER_CHECK_INTERVAL_MS = 1_000.0
# Entries per target in the cache of owners, beyond which it is cleared.
MAX_CACHE_ENTRIES_PER_TARGET = 10
# Hosts that are asked for a leader's position while none of its owners answers.
MAX_SAMPLE_QUERIES = 4
DEFAULT_CONNECTIONS = 16  # per target, until a catalog sets the limit


class SessionGateway:
    """Serves client sessions over links to targets, and checks and replaces leaders.

    Parameters
    ----------
    host : str
        Name of this host.
    zone : str
        Its availability zone.
    driver : LinkDriver
        Opens links to targets.
    clock : Clock
        Source of time.
    events : EventLog
        Log of decisions.
    policies : LoadPolicies or None
        Policies for queueing, load shedding and placement; None for the defaults.
    dialer : Dialer or None
        Opens streams to other hosts; if None, this host connects to all targets itself.
    capacity : float
        Processor capacity of this host, in cores.
    """

    def __init__(
        self,
        host: str,
        zone: str,
        driver: LinkDriver,
        clock: Clock,
        events: EventLog,
        policies: LoadPolicies | None = None,
        dialer: Dialer | None = None,
        capacity: float = 1.0,
    ) -> None:
        self.host = host
        self.zone = zone
        self.capacity = capacity
        self.catalog = CatalogHolder()
        self.directory = TargetDirectory()
        self.groups: dict[str, GroupState] = {}
        self.roster = Roster(clock)
        self.collector = LeaseCollector(self.roster, clock, events)
        self.replacement = LeaderReplacement(
            host, self.directory, self.collector, driver, clock, events
        )
        lease = LeaderLease(clock)
        self.renewal = LeaseRenewal(
            host,
            zone,
            lease,
            self.roster,
            self.replacement.claims,
            self.update_claim,
            clock,
            events,
        )
        self.env = Environment(
            zone,
            self.catalog,
            self.groups,
            clock,
            events,
            policies or LoadPolicies.from_config(),
            LeaderAccess(lease, clock),
            self.renewal,
        )
        self.host_queries = HostQueryService(
            self.renewal, self.replacement, self.env.group, self.update_claim, clock
        )
        self.replacement.apply_claim = self.update_claim
        self.replacement.give_lease_up = self.host_queries.give_lease_up
        self.replacement.claimants = self._claimants
        self._relay_driver: RelayDriver | None = None
        self._notices: ZoneNotices | None = None
        if dialer is not None:
            streams = OwnerStreams(
                dialer,
                clock,
                events,
                lambda name: self.roster.zones.get(name, ""),
                self._on_owner_silent,
            )
            self._relay_driver = RelayDriver(
                driver, self._owner_addresses, streams, clock
            )
            self.env.hosts_silent = streams.any_silent
            self._notices = ZoneNotices(
                host, self.roster, lambda: self.samples.peers, streams.check_zone, clock
            )
            self.host_queries.on_zone_notice = self._notices.receive
        self.relay = RelayService(self.env)
        self.samples = SampleSource(
            self._leader_owner_addresses, clock, self._claimant_addresses
        )
        self.env.samples = self.samples
        self._driver = self._relay_driver or driver
        self._clock = clock
        self._events = events
        self._groups_being_checked: set[str] = set()
        self._next_check_ms: dict[str, float] = {}
        self._checking_reach = False
        self.overcommit = OVERCOMMIT
        self._owners_cache: dict[tuple[str, int, int], list[str]] = {}
        self._started_ms = float("-inf")
        self._tasks = Tasks()
        self.env.is_cut_off = lambda: self.replacement.reach.cut_off
        self.env.on_leader_suspected = self._on_leader_suspected

    @property
    def ready(self) -> bool:
        """Whether clients may connect to this host.

        It needs a catalog and at least one target, and must be neither leaving nor
        cut off from the fleet.
        """
        configured = self.catalog.current is not None and bool(self.directory.all())
        return (
            configured and not self.env.leaving and not self.replacement.reach.cut_off
        )

    def start(self) -> None:
        """Start the periodic checks."""
        self._started_ms = self._clock.now_ms()
        self.renewal.start()
        self._tasks.keep_running(self._tick_forever)

    def close(self) -> None:
        """Cancel all tasks and close the pools of all targets."""
        self._tasks.cancel()
        self.renewal.close()
        self.samples.close()
        if self._relay_driver is not None:
            self._relay_driver.close()
            self._notices.close()
        self.replacement.prober.close()
        for group in self.groups.values():
            for target in group.targets.values():
                target.pool.close()

    def open_session(self, database_name: str, key: str = "") -> Session | Code:
        """Open a session.

        Parameters
        ----------
        database_name : str
            The database that the client names.
        key : str
            The client's key; empty if it sent none.

        Returns
        -------
        Session or Code
            The session, or why there is none: ``UNKNOWN_GROUP`` if the catalog in force
            has no such database, ``UNKNOWN_KEY`` if the database requires a key that
            the catalog knows.
        """
        database = self.catalog.database(database_name)
        if database is None:
            return codes.UNKNOWN_GROUP
        digest = key_digest(key)
        if self.catalog.caller(database, digest) is None:
            return codes.UNKNOWN_KEY
        return Session(self.env, database_name, digest)

    def install_catalog(self, catalog: Catalog) -> None:
        """Install a version of the catalog if it is newer than the one in force.

        Parameters
        ----------
        catalog : Catalog
            The whole version, not only what has changed.
        """
        previous_version = self.catalog.version
        installed = self.catalog.install(catalog, self._clock.now_ms())
        self._events.record(
            "catalog.installed" if installed else "catalog.ignored",
            version=catalog.version,
            before=previous_version,
            databases=len(catalog.databases),
        )

    def put_target(self, entry: TargetEntry) -> None:
        """Add or update a target from the platform's list.

        Parameters
        ----------
        entry : TargetEntry
            The entry.
        """
        now_ms = self._clock.now_ms()
        previous_entry = self.directory.put(entry, now_ms)
        group = self.env.group(entry.group)
        target = group.targets.get(entry.id)
        started_again = target is not None and (
            target.entry.started_ms != entry.started_ms
            or target.entry.address != entry.address
            or target.entry.group != entry.group
        )
        if target is not None and started_again:
            self._drop_target(target)
            target = None
        if target is None:
            group.targets[entry.id] = TargetState(entry, self._open_pool)
        else:
            target.entry = target.pool.entry = entry
        was_replica = previous_entry is not None and not previous_entry.leads
        if entry.leads and (previous_entry is None or was_replica or started_again):
            group.leadership.set_reported_leader(
                entry.id, now_ms, was_replica and not started_again
            )
        self._events.record(
            "target.listed",
            group=entry.group,
            target=entry.id,
            leads=entry.leads,
            leaving=entry.leaving,
            started_again=started_again,
        )

    def remove_target(self, target_id: str) -> None:
        """Mark a target as no longer listed by the platform.

        Parameters
        ----------
        target_id : str
            The target.
        """
        entry = self.directory.remove(target_id, self._clock.now_ms())
        if entry is not None:
            self._events.record("target.unlisted", group=entry.group, target=target_id)

    def sync_targets(self, entries: list[TargetEntry], after_outage: bool) -> None:
        """Update the targets to match a complete list from the platform.

        Parameters
        ----------
        entries : list of TargetEntry
            All entries.
        after_outage : bool
            Whether the store was unavailable before, so that entries may be missing.
        """
        now_ms = self._clock.now_ms()
        for entry in entries:
            if self.directory.get(entry.id) != entry:
                self.put_target(entry)
        self.directory.keep_only({entry.id for entry in entries}, now_ms)
        if after_outage:
            self.directory.restart_grace_periods(now_ms)

    def put_member(
        self,
        name: str,
        address: str,
        zone: str = "",
        version: int = 0,
        capacity: float = 1.0,
    ) -> None:
        """Add or update another host of the fleet.

        Parameters
        ----------
        name : str
            Its name.
        address : str
            ``ip:port`` for connections from other hosts.
        zone : str
            Its availability zone.
        version : int
            The store's version of this change.
        capacity : float
            Processor capacity of the host, in cores.
        """
        if name != self.host:
            self.roster.put(name, address, zone, capacity)
        self.roster.version = max(version, self.roster.version)

    def remove_member(self, name: str, version: int = 0) -> None:
        """Remove a host that has left the fleet.

        Parameters
        ----------
        name : str
            Its name.
        version : int
            The store's version of this change.
        """
        self.roster.remove(name)
        self.roster.version = max(version, self.roster.version)

    def update_claim(self, group_name: str, row: ClaimRow) -> None:
        """Store a claim to replace a group's leader if it is newer, and act on it.

        While a claim is open, the group's leader is not used.  When a replacement is
        done, the promoted target is taken as the leader.

        Parameters
        ----------
        group_name : str
            The group.
        row : ClaimRow
            The claim and its version.
        """
        now_ms = self._clock.now_ms()
        if not self.replacement.claims.put(group_name, row, now_ms):
            return
        claim = row.claim
        if claim is None:
            return
        leadership = self.env.group(group_name).leadership
        first_claim = not leadership.claimed
        leadership.claimed = True
        self._events.record(
            "promotion.noticed",
            group=group_name,
            holder=claim.holder,
            phase=claim.phase.value,
            token=row.version,
            target=claim.target,
        )
        if claim.phase is ClaimPhase.CLAIMED:
            leadership.raise_fence(self._fence(row.version, claim, leadership))
        elif claim.phase is ClaimPhase.DONE:
            if leadership.fence is not None and self.env.hosts_silent():
                self.env.expectation.record(leadership.fence, now_ms)
            leadership.install_leader(claim.target, claim.term, now_ms)
        else:
            # This host may have missed the replacement before, or believe a target that
            # goes on reporting that it leads.
            newest_known = leadership.term - first_claim
            outdated = claim.previous_leader_term > max(0, newest_known)
            if claim.previous_leader and (leadership.leader_id is None or outdated):
                leadership.install_leader(
                    claim.previous_leader, claim.previous_leader_term, now_ms
                )
            leadership.lift_fence()

    def _fence(self, version: int, claim: Claim, leadership: GroupLeadership) -> Fence:
        covered_until_ms = self.env.access.lease.expires_ms
        if leadership.fence is not None:
            # The lease that counts is the one from before the first open claim.
            covered_until_ms = leadership.fence.covered_until_ms
        return Fence(
            version,
            claim.target,
            claim.previous_term,
            covered_until_ms,
            self._clock.now_ms(),
            claim.planned,
        )

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
        limit = self._max_connections(group_name)
        return max(1, limit // (len(self.roster) + 1))

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
        return self._relay_driver is not None and is_shared(
            len(self.roster) + 1, self._max_connections(group_name)
        )

    def owners(self, entry: TargetEntry) -> list[str]:
        """Return the hosts that hold the connections to a target of a shared group.

        Parameters
        ----------
        entry : TargetEntry
            The target.

        Returns
        -------
        list of str
            The owners, best first.
        """
        limit = self._max_connections(entry.group)
        key = (entry.id, limit, self.roster.change_count)
        owners = self._owners_cache.get(key)
        if owners is None:
            if len(self._owners_cache) > MAX_CACHE_ENTRIES_PER_TARGET * len(
                self.directory.all()
            ):
                self._owners_cache.clear()
            hosts = [HostCapacity(self.host, self.zone, self.capacity)]
            hosts += [
                HostCapacity(name, self.roster.zones[name], capacity)
                for name, capacity in self.roster.capacities.items()
            ]
            owners = target_owners(entry.id, entry.zone, hosts, limit)
            self._owners_cache[key] = owners
        return owners

    def owns(self, entry: TargetEntry) -> bool:
        """Return whether this host connects to a target itself.

        Parameters
        ----------
        entry : TargetEntry
            The target.

        Returns
        -------
        bool
            True for all hosts of a fleet that is small enough.
        """
        return not self.shares_connections(entry.group) or self.host in self.owners(
            entry
        )

    def _owner_addresses(self, target_id: str) -> list[tuple[str, str]]:
        entry = self.directory.get(target_id)
        if entry is None or self.owns(entry):
            return []
        addresses = self.roster.addresses
        return [
            (name, addresses[name])
            for name in owner_order(self.host, self.owners(entry))
            if name in addresses
        ]

    def _on_owner_silent(self, host: str, zone_lost: bool) -> None:
        """Stop using targets none of whose owners answers, and check their leaders."""
        zone = self.roster.zones.get(host, "")
        silent = {host}
        if zone_lost:
            self._notices.announce(zone)
            # Either that zone is cut off or this host is.
            self._start_reach_check()
            silent.update(name for name, at in self.roster.zones.items() if at == zone)
        for group in self.groups.values():
            if not self.shares_connections(group.name):
                continue
            for target in group.targets.values():
                if target.pool.unreachable or silent.isdisjoint(
                    self.owners(target.entry)
                ):
                    continue
                owners = self._owner_addresses(target.entry.id)
                if owners and not self._relay_driver.usable_of(owners):
                    target.pool.mark_unreachable()
                    self.env.record_target_failure(target, "no owner of it answers")

    def _leader_owner_addresses(self, group: GroupState) -> list[str]:
        leader_id = group.leadership.leader_id
        if leader_id is None:
            return []
        owners = self._owner_addresses(leader_id)
        if self._relay_driver is not None:
            owners = self._relay_driver.usable_of(owners)
        return [address for _, address in owners]

    def _claimant_addresses(self, group: GroupState) -> list[str]:
        """Return hosts that may know a newer position of a leader than this one."""
        addresses = self.roster.addresses
        owners = [
            (name, addresses[name])
            for name in owner_order(self.host, list(self._claimants(group) or ()))
            if name in addresses
        ]
        usable = self._relay_driver.usable_of(owners) if self._relay_driver else []
        return [address for _, address in usable[:MAX_SAMPLE_QUERIES]]

    def _may_replace_leader(self, group: GroupState) -> bool:
        """Return whether this host checks and replaces the leader of a group.

        In a shared group only owners of its targets do, in all zones that have one: a
        check takes connections.
        """
        claimants = self._claimants(group)
        return claimants is None or self.host in claimants

    def _claimants(self, group: GroupState) -> set[str] | None:
        if not self.shares_connections(group.name):
            return None
        return {
            owner
            for target in group.targets.values()
            for owner in self.owners(target.entry)
        }

    def _max_connections(self, group_name: str) -> int:
        catalog = self.catalog.current
        group = catalog.groups.get(group_name) if catalog else None
        return group.max_connections if group else DEFAULT_CONNECTIONS

    def link_limit(self, entry: TargetEntry) -> int:
        """Return the number of links to a target that this host may have open now.

        Parameters
        ----------
        entry : TargetEntry
            The target.

        Returns
        -------
        int
            At least 1.
        """
        shared = self.shares_connections(entry.group)
        if shared and not self.owns(entry):
            return RELAY_LINKS
        if self._clock.now_ms() - self._started_ms < STARTUP_PHASE_MS:
            return 1
        if shared:
            position = self.owners(entry).index(self.host)
            return owner_links(self._max_connections(entry.group), position)
        return max(1, int(self.fair_share(entry.group) * self.overcommit))

    def _open_pool(self, target: TargetState) -> TargetPool:
        return TargetPool(
            target.entry,
            self._driver,
            self._clock,
            lambda: self.link_limit(target.entry),
            lambda reason: self.env.record_target_failure(target, reason),
            self.env.policies,
            lambda: not self.owns(target.entry),
        )

    def _drop_target(self, target: TargetState) -> None:
        group = self.env.group(target.entry.group)
        if group.targets.get(target.entry.id) is target:
            del group.targets[target.entry.id]
        if group.leadership.leader_id == target.entry.id:
            group.leadership.record_not_leading(target.entry.id, self._clock.now_ms())
        target.pool.close()

    async def _tick_forever(self) -> None:
        ticks = 0
        while True:
            await self._clock.sleep_ms(TICK_MS)
            ticks += 1
            now_ms = self._clock.now_ms()
            for entry in self.directory.expire(now_ms):
                target = self.env.group(entry.group).targets.get(entry.id)
                if target is not None:
                    self._drop_target(target)
                self._events.record("target.gone", group=entry.group, target=entry.id)
            if ticks % COUNTERS_LOG_TICKS == 0:
                self._events.record("statements.counted", **self.env.counters.totals())
            # A host all of whose leaders are in its own zone suspects none of them; it
            # finds that it is cut off when it can't renew its lease.
            if self.replacement.reach.cut_off or self.renewal.missing_ms > 0.0:
                self._start_reach_check()
            for group in list(self.groups.values()):
                self._start_leader_check(group, now_ms)
                for target in group.targets.values():
                    target.pool.probe()
                if ticks % TRIM_TICKS == 0:
                    self._adjust_pools(group)

    def _start_reach_check(self) -> None:
        if not self._checking_reach:
            self._checking_reach = True
            self._tasks.spawn(self._check_reach())

    async def _check_reach(self) -> None:
        try:
            await self.replacement.refresh_reach()
        finally:
            self._checking_reach = False

    def _start_leader_check(self, group: GroupState, now_ms: float) -> None:
        if group.name in self._groups_being_checked or not group.targets:
            return
        if now_ms < self._next_check_ms.get(group.name, 0.0):
            return
        if not self._may_replace_leader(group):
            self._follow_leader(group, now_ms)
            return
        leadership = group.leadership
        leader = group.leader()
        suspect = (
            leadership.failing_since_ms is not None or leadership.fence is not None
        )
        if leader is None or leader.entry.leaving or suspect:
            self._groups_being_checked.add(group.name)
            self._tasks.spawn(self._check_leader(group))

    def _follow_leader(self, group: GroupState, now_ms: float) -> None:
        """Look for a leader that this host does not know or use, at a low rate."""
        leadership = group.leadership
        # An obstacle is left over from a time when this host replaced the leader.
        if (
            group.leader() is not None
            and leadership.fence is None
            and not leadership.obstacle
        ):
            return
        self._next_check_ms[group.name] = now_ms + FOLLOWER_CHECK_INTERVAL_MS
        self._tasks.spawn(self.replacement.find_leader(group))

    def _on_leader_suspected(self, group: GroupState) -> None:
        self._start_leader_check(group, self._clock.now_ms())

    async def _check_leader(self, group: GroupState) -> None:
        try:
            await self.replacement.check_leader(group)
        finally:
            self._groups_being_checked.discard(group.name)
            interval_ms = LEADER_CHECK_INTERVAL_MS
            if group.leader() and group.leadership.failing_since_ms is None:
                interval_ms = CONFIRMED_CHECK_INTERVAL_MS
            self._next_check_ms[group.name] = self._clock.now_ms() + interval_ms
            if not self._groups_being_checked:
                self.replacement.prober.close()

    def _adjust_pools(self, group: GroupState) -> None:
        for target in group.targets.values():
            target.pool.trim()
            leads = target.entry.id == group.leadership.leader_id
            same_zone = target.entry.zone == self.zone
            if (
                (leads or same_zone)
                and not target.entry.leaving
                and not self.env.leaving
            ):
                target.pool.warm()
