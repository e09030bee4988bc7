"""The core behind all interfaces of a daemon: sessions, targets, leader checks."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from functools import partial

from fennelhill_core import codes
from fennelhill_core.clock import Clock, timeout_ms
from fennelhill_core.codes import Code
from fennelhill_core.digest import key_digest
from fennelhill_core.events import EventLog
from fennelhill_core.platform import StoreVersion
from fennelhill_core.streams import Dialer
from fennelhill_core.tasks import Tasks
from loguru import logger

from fennelhilld.admission.policies import LoadPolicies
from fennelhilld.catalog.state import Catalog, CatalogHolder
from fennelhilld.directory.confirmation import TableConfirmation
from fennelhilld.directory.messages import TableQuery
from fennelhilld.directory.state import TargetDirectory, TargetEntry
from fennelhilld.electorate.keeper import ElectorateKeeper
from fennelhilld.electorate.messages import ElectorateQuery, ElectorateRow
from fennelhilld.electorate.state import Electorate
from fennelhilld.fleet.notices import ZoneNotices
from fennelhilld.fleet.roster import Roster
from fennelhilld.freshness.sharing import SampleSource
from fennelhilld.leader_lease.fencing import LeaseCollector
from fennelhilld.leader_lease.renewal import LeaseRenewal
from fennelhilld.leader_lease.service import HostQueryService
from fennelhilld.leader_lease.state import LeaderAccess, LeaderLease
from fennelhilld.leadership.state import Fence, GroupLeadership
from fennelhilld.links.allocation import LinkBudget
from fennelhilld.links.messages import LinkDriver
from fennelhilld.links.pool import TargetPool
from fennelhilld.links.shares import OrganisationShares
from fennelhilld.placement.state import (
    GroupState,
    TargetState,
    preferred_replicas,
)
from fennelhilld.promotion.messages import Claim, ClaimPhase, ClaimRow
from fennelhilld.promotion.replacement import LeaderReplacement
from fennelhilld.quotas.limits import QuotaBounds
from fennelhilld.quotas.messages import PermitQuery, PromiseQuery, TransferQuery
from fennelhilld.quotas.service import QuotaService
from fennelhilld.relay.driver import OwnerStreams, RelayDriver
from fennelhilld.relay.owners import owner_order
from fennelhilld.relay.ownership import RELAY_LINKS, TargetOwnership
from fennelhilld.relay.service import RelayService
from fennelhilld.statements.environment import Environment
from fennelhilld.statements.session import Session
from fennelhilld.store_era.state import SETTLING_MS, EraWatch

# Interval of the periodic checks.
TICK_MS = 100.0
# The same in a fleet whose owners hold the connections, while no leader, no target and
# not this host's reach is in doubt.  Each check wakes the process, and most hosts of
# such a fleet have little else to do.
CALM_TICK_MS = 250.0
# Pause before the next check of a group whose leader is unknown or fails.
LEADER_CHECK_INTERVAL_MS = 150.0
# Pause after a check that has confirmed the leader.  Without it each link that breaks
# would cause a check, which takes a connection set-up and a slot of the target.
CONFIRMED_CHECK_INTERVAL_MS = 400.0
# Between trims of the pools; surplus links are closed only after seconds.
TRIM_INTERVAL_MS = 500.0
# Between log lines with the statement counters.
COUNTERS_LOG_INTERVAL_MS = 10_000.0
# For this long after its start a host opens one link per target, so that all hosts
# of a fleet that restarts get one before some get several.
STARTUP_PHASE_MS = 500.0
# Pause between checks of a host that may not replace the leader of a shared group.
FOLLOWER_CHECK_INTERVAL_MS = 1_000.0
# Of a change to the list of hosts that was not read from the store.
UNKNOWN_VERSION = StoreVersion()
# Hosts that are asked for a leader's position while none of its owners answers.
MAX_SAMPLE_QUERIES = 4


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
    quota_bounds : QuotaBounds or None
        By how much organisations may exceed their limits; None if limits don't apply.
    leaving_use_ms : float
        For how long after it began to leave a target is sent new statements, in
        milliseconds.
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
        quota_bounds: QuotaBounds | None = None,
        leaving_use_ms: float = math.inf,
    ) -> None:
        self.host = host
        self.zone = zone
        self.catalog = CatalogHolder()
        self.directory = TargetDirectory()
        self.groups: dict[str, GroupState] = {}
        self.roster = Roster(clock)
        self.shares = OrganisationShares(self.catalog)
        self.ownership = TargetOwnership(
            host,
            zone,
            capacity,
            dialer is not None,
            self.roster,
            self.catalog,
            self.shares,
        )
        self.eras = EraWatch(clock, events)
        self.eras.on_change.append(self._begin_era)
        # Hosts that the store lists in this era; None until it was read in full.
        self._listed_members: set[str] | None = None
        self._leaving_use_ms = leaving_use_ms
        # Returns until when the list of targets is known to have been unchanged.
        self.targets_known_ms: Callable[[], float] = clock.boottime_ms
        # Returns the time since this host knew what the store has.
        self.store_age_ms: Callable[[], float] = lambda: 0.0
        self.electorate = Electorate(host, self.roster)
        self.collector = LeaseCollector(
            self.roster, clock, events, self.eras, self.electorate
        )
        self.replacement = LeaderReplacement(
            host, self.directory, self.collector, driver, clock, events, self.eras
        )
        lease = LeaderLease(clock)
        self.renewal = LeaseRenewal(
            host,
            zone,
            lease,
            self.roster,
            self.replacement.claims,
            self.hear_claim,
            clock,
            events,
            self.eras,
            self.electorate,
            lambda: self.store_age_ms(),
        )
        self.replacement.reach.votes = lambda: self.electorate.votes
        self.keeper = ElectorateKeeper(
            self.electorate,
            self.roster,
            self.replacement.claims,
            self.eras,
            lambda: self.renewal.registered,
            lambda: self.store_age_ms(),
            self.renewal.use,
            clock,
            events,
        )
        self.tables = TableConfirmation(
            self.renewal.source_names, self.roster, self.eras, clock
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
            self.renewal,
            self.replacement,
            self.env.group,
            self.hear_claim,
            clock,
            self.eras,
            self.electorate,
        )
        self.quotas = QuotaService(
            host,
            zone,
            quota_bounds,
            self.catalog,
            self.roster,
            lambda: self.renewal.registered,
            lambda: self.env.leaving,
            clock,
            events,
        )
        self.env.quotas = self.quotas
        self.host_queries.register(
            (PermitQuery, TransferQuery, PromiseQuery), self.quotas.answer
        )
        self.host_queries.register((TableQuery,), self.tables.answer)
        self.host_queries.register((ElectorateQuery,), self.keeper.answer)
        self.replacement.apply_claim = self.update_claim
        self.replacement.give_lease_up = self.host_queries.give_lease_up
        self.replacement.claimants = self._claimants
        self.replacement.sync_replicas = self._sync_replicas
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
            self._streams = streams
            # For owners, to the other owners of a target.
            self._other_owner_driver = RelayDriver(
                driver, self._other_owner_addresses, streams, clock
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
        # Set when the periodic checks may have more to do than before.
        self._doubt = asyncio.Event()
        self._started_ms = float("-inf")
        self._tasks = Tasks()
        self.env.organisation_share = self.shares.share
        self.env.is_cut_off = lambda: self.replacement.reach.cut_off
        self.env.clients_leave_in_ms = self.replacement.reach.clients_leave_in_ms
        self.env.on_leader_suspected = self._on_leader_suspected
        # Called after a version was installed that may leave sessions without access.
        self.on_access_withdrawn: Callable[[], None] = lambda: None

    @property
    def ready(self) -> bool:
        """Whether clients may connect to this host.

        It needs a catalog, the list of hosts and at least one target of its groups, and
        must be neither leaving nor cut off from the fleet, nor bound to refuse
        operations for an outdated catalog.
        """
        groups = self._named_groups()
        return (
            self.eras.fleet_known
            and any(self.directory.of_group(group.name) for group in groups)
            and not self.env.leaving
            and not self.replacement.reach.cut_off
            and not self.env.catalog_outdated
        )

    def _named_groups(self) -> list[GroupState]:
        """Return the groups that the catalog in force names.

        Anybody may have written entries of other groups, so those are not used.
        """
        catalog = self.catalog.current
        if catalog is None:
            return []
        return [group for group in self.groups.values() if group.name in catalog.groups]

    def start(self) -> None:
        """Start the periodic checks."""
        self._started_ms = self._clock.now_ms()
        self.renewal.start()
        self.quotas.start()
        self._tasks.keep_running(self.keeper.run)
        self._tasks.keep_running(self._tick_forever)

    def close(self) -> None:
        """Cancel all tasks and close the pools of all targets."""
        self._tasks.cancel()
        self.renewal.close()
        self.quotas.close()
        self.samples.close()
        if self._relay_driver is not None:
            self._relay_driver.close()
            self._other_owner_driver.close()
            self._notices.close()
        self.replacement.prober.close()
        for group in self.groups.values():
            for target in group.targets.values():
                for pool in target.pools:
                    pool.close()

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
            the catalog knows, ``CATALOG_OUTDATED`` if it may know it by now.
        """
        database = self.catalog.database(database_name)
        if database is None:
            return codes.UNKNOWN_GROUP
        digest = key_digest(key)
        if self.catalog.caller(database, digest) is None:
            # The key may be new.
            outdated = self.env.catalog_outdated
            return codes.CATALOG_OUTDATED if outdated else codes.UNKNOWN_KEY
        return Session(self.env, database_name, digest)

    def install_catalog(self, catalog: Catalog) -> bool:
        """Install a version of the catalog if it is newer than the one in force.

        Parameters
        ----------
        catalog : Catalog
            The whole version, not only what has changed.

        Returns
        -------
        bool
            Whether it was installed.
        """
        previous, previous_version = self.catalog.current, self.catalog.version
        installed = self.catalog.install(catalog, self._clock.now_ms())
        if installed:
            self.quotas.apply_catalog()
        self._events.record(
            "catalog.installed" if installed else "catalog.ignored",
            version=catalog.version,
            before=previous_version,
            databases=len(catalog.databases),
            organisations=len(catalog.organisations or ()),
            keys=len(catalog.keys),
        )
        if installed and previous is not None and catalog.withdraws_access(previous):
            self.on_access_withdrawn()
        return installed

    def put_target(self, entry: TargetEntry) -> None:
        """Add or update a target from the platform's list.

        An error is logged: others may have written the entry, and it must not keep
        this host from learning the other entries.

        Parameters
        ----------
        entry : TargetEntry
            The entry.
        """
        try:
            self._apply_entry(entry)
        except Exception as error:
            self._events.record(
                "target.unusable",
                group=entry.group,
                target=entry.id,
                reason=repr(error),
            )

    def _apply_entry(self, entry: TargetEntry) -> None:
        now_ms = self._clock.now_ms()
        self._doubt.set()
        previous_entry = self.directory.put(entry, now_ms, self.targets_known_ms())
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
            target = group.targets[entry.id] = TargetState(entry, self._open_pool)
            target.pool_for = partial(self._pool_for, target)
        else:
            target.entry = entry
            for pool in target.pools:
                pool.entry = entry
        since_ms = self.directory.leaving_since_ms(entry.id)
        target.use_until_ms = (
            math.inf if since_ms is None else since_ms + self._leaving_use_ms
        )
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
            self._doubt.set()
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
        if self.directory.keep_only({entry.id for entry in entries}, now_ms):
            self._doubt.set()
        if after_outage:
            self.directory.restart_grace_periods(now_ms)

    def put_member(
        self,
        name: str,
        address: str,
        zone: str = "",
        version: StoreVersion = UNKNOWN_VERSION,
        capacity: float = 1.0,
        frame_address: str = "",
        counts_voters: bool = True,
    ) -> bool:
        """Add or update another host of the fleet.

        Parameters
        ----------
        name : str
            Its name.
        address : str
            ``ip:port`` for connections from other hosts.
        zone : str
            Its availability zone.
        version : StoreVersion
            The store's version of this change, in the era that the row names.
        capacity : float
            Processor capacity of the host, in cores.
        frame_address : str
            ``ip:port`` where it accepts streams of frames; empty if it does not.
        counts_voters : bool
            Whether it counts votes in the electorate, as older builds don't.

        Returns
        -------
        bool
            False if the host has left since, so that the store has restored its row.
        """
        restored = version.era < self.eras.current
        if restored and self.roster.has_left_since(name, version):
            return False
        if self._listed_members is not None:
            self._listed_members.add(name)
        if name != self.host:
            self.roster.put(name, address, zone, capacity, frame_address, counts_voters)
        self.roster.version = StoreVersion(max(version, self.roster.version))
        return True

    def sync_members(self, names: set[str]) -> None:
        """Remove the hosts that a complete list from the store lacks.

        In a new era that waits until the hosts whose rows the store lost have written
        them again.

        Parameters
        ----------
        names : set of str
            All listed hosts.
        """
        if self.eras.settled:
            self.roster.keep_only(names)
        elif self._listed_members is None:
            self._tasks.spawn(self._sync_members_later(self.eras.current))
        self._listed_members = set(names)

    async def _sync_members_later(self, era: int) -> None:
        await self._clock.sleep_ms(SETTLING_MS)
        if era != self.eras.current or self._listed_members is None:
            return
        missing = set(self.roster.addresses) - self._listed_members
        self.roster.keep_only(self._listed_members)
        self._events.record("fleet.settled", era=era, removed=sorted(missing))

    def _begin_era(self) -> None:
        self._listed_members = None
        self.replacement.claims.begin_era(self.eras.current)
        self.electorate.begin_era()

    def finish_fleet_read(self, version: StoreVersion, is_snapshot: bool) -> None:
        """Record that all claims and hosts up to a version of the store were applied.

        Parameters
        ----------
        version : StoreVersion
            The version, in the era of the answer.
        is_snapshot : bool
            Whether the table was read in full.
        """
        claims = self.replacement.claims
        if version.era < claims.era:
            return
        claims.record_read(version)
        if is_snapshot:
            if self.electorate.stored_number is None:
                self.electorate.record_stored(0, version.number)
            self.eras.record_fleet_read()
        if is_snapshot and not claims.stored_complete:
            claims.stored_complete = True
            self.replacement.restore_claims(self.env.group)

    def remove_member(self, name: str, version: StoreVersion = UNKNOWN_VERSION) -> None:
        """Remove a host that has left the fleet.

        Parameters
        ----------
        name : str
            Its name.
        version : StoreVersion
            The store's version of this change.
        """
        if version:
            self.roster.record_departure(name, version)
        if self._listed_members is not None:
            self._listed_members.discard(name)
        self.roster.remove(name)
        self.roster.version = StoreVersion(max(version, self.roster.version))

    def update_electorate(
        self, version: StoreVersion, row: ElectorateRow, number: int
    ) -> None:
        """Apply the row of the electorate that the store has.

        Parameters
        ----------
        version : StoreVersion
            Version of the row, in the era that it names.
        row : ElectorateRow
            The row.
        number : int
            The store's own version of the row.
        """
        self.electorate.record_stored(number, number)
        if self.electorate.adopt(version, row):
            self._events.record(
                "electorate.noticed",
                version=version,
                voters=len(row.voters),
                previous=len(row.previous),
                votes=self.electorate.votes,
            )

    def update_claim(self, group_name: str, row: ClaimRow) -> None:
        """Apply a claim that the store has.

        Parameters
        ----------
        group_name : str
            The group.
        row : ClaimRow
            The claim and its version.
        """
        self.replacement.claims.put_stored(group_name, row.version.number)
        self.hear_claim(group_name, row)

    def hear_claim(self, group_name: str, row: ClaimRow) -> None:
        """Store a claim to replace a group's leader if it is newer, and act on it.

        While a claim is open, the group's leader is not used.  When a replacement is
        done, the promoted target is taken as the leader.

        Parameters
        ----------
        group_name : str
            The group.
        row : ClaimRow
            The claim and its version; the store may have lost it.
        """
        now_ms = self._clock.now_ms()
        if not self.replacement.claims.put(group_name, row, now_ms):
            return
        claim = row.claim
        if claim is None:
            return
        self._doubt.set()
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

    def owners(self, entry: TargetEntry) -> list[str]:
        """Return the hosts that hold the connections to a target of a shared group.

        Parameters
        ----------
        entry : TargetEntry
            The target.

        Returns
        -------
        list of str
            The owners, best first; empty if all hosts connect themselves.
        """
        return self.ownership.of(entry).owners

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
        return self.ownership.of(entry).owns

    def _owner_addresses(
        self, target_id: str, organisation: str = ""
    ) -> list[tuple[str, str]]:
        entry = self.directory.get(target_id)
        if entry is None or self.owns(entry):
            return []
        return self._other_owner_addresses(target_id, organisation)

    def _other_owner_addresses(
        self, target_id: str, organisation: str = ""
    ) -> list[tuple[str, str]]:
        entry = self.directory.get(target_id)
        if entry is None or not self.ownership.of(entry).shared:
            return []
        addresses = self.roster.addresses
        return [
            (name, addresses[name])
            for name in self.ownership.order(entry, organisation)
            if name in addresses
        ]

    def _pool_for(self, target: TargetState, organisation: str) -> TargetPool:
        """Return the pool for an organisation's requests.

        An owner sends them to the organisation's own owner as other hosts do: with 7
        owners of 76 hosts, it would else open links for a tenth of all requests.
        """
        entry = target.entry
        if (
            not organisation
            or not self.ownership.of(entry).shared
            or not self.owns(entry)
        ):
            return target.pool
        for name in self.ownership.order(entry, organisation):
            if name == self.host:
                return target.pool
            if name in self.roster.addresses and self._streams.usable(name):
                break
        if target.relay_pool is None:
            target.relay_pool = TargetPool(
                entry,
                self._other_owner_driver,
                self._clock,
                lambda: RELAY_LINKS,
                lambda reason: self.env.record_target_failure(target, reason),
                self.env.policies,
                lambda: True,
                lambda: self.link_budget(entry),
            )
        return target.relay_pool

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
            if not self.ownership.shares_connections(group.name):
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

    def _sync_replicas(self, group: str) -> int:
        catalog = self.catalog.current
        known = catalog.groups.get(group) if catalog is not None else None
        return known.sync_replicas if known is not None else 0

    def _claimants(self, group: GroupState) -> set[str] | None:
        if not self.ownership.shares_connections(group.name):
            return None
        return {
            owner
            for target in group.targets.values()
            for owner in self.owners(target.entry)
        }

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
        share = self.ownership.of(entry)
        if not self.eras.fleet_known:
            return 1  # The connections may be those of hosts that it does not know.
        starting = self._clock.now_ms() - self._started_ms < STARTUP_PHASE_MS
        # One link would be that of one organisation; set-ups have a bound of their own.
        if starting and share.owns and not self.ownership.names_organisations:
            return 1
        return share.links

    def link_budget(self, entry: TargetEntry) -> LinkBudget | None:
        """Return what this host may use of a target while links are organisations'.

        Parameters
        ----------
        entry : TargetEntry
            The target.

        Returns
        -------
        LinkBudget or None
            None while the configuration names no organisations.
        """
        return self.ownership.of(entry).budget

    def window_limit(self, entry: TargetEntry) -> int:
        """Return how many requests this host may send to a target at the same time.

        Parameters
        ----------
        entry : TargetEntry
            The target.

        Returns
        -------
        int
            This host's part of the target's slots if the fleet shares connections or
            organisations are named; else, and through owners, as many as links.
        """
        return min(self.link_limit(entry), self.ownership.of(entry).window)

    def _open_pool(self, target: TargetState) -> TargetPool:
        return TargetPool(
            target.entry,
            self._driver,
            self._clock,
            lambda: self.link_limit(target.entry),
            lambda reason: self.env.record_target_failure(target, reason),
            self.env.policies,
            lambda: not self.ownership.of(target.entry).owns,
            lambda: self.ownership.of(target.entry).budget,
            lambda: self.window_limit(target.entry),
        )

    def _drop_target(self, target: TargetState) -> None:
        group = self.env.group(target.entry.group)
        if group.targets.get(target.entry.id) is target:
            del group.targets[target.entry.id]
        if group.leadership.leader_id == target.entry.id:
            group.leadership.record_not_leading(target.entry.id, self._clock.now_ms())
        for pool in target.pools:
            pool.close()
        self.ownership.forget(target.entry.id)

    def _record_table_ages(self) -> None:
        ages_ms = {
            f"{table}_age_ms": round(follower.age_ms)
            for table, follower in self.tables.followers.items()
            if math.isfinite(follower.age_ms)
        }
        if ages_ms:
            self._events.record(
                "store.table_ages", catalog_version=self.catalog.version, **ages_ms
            )

    async def _tick_forever(self) -> None:
        trim_ms = counters_ms = self._clock.now_ms()
        while True:
            await self._wait_for_tick()
            now_ms = self._clock.now_ms()
            for entry in self.directory.expire(now_ms):
                target = self.env.group(entry.group).targets.get(entry.id)
                if target is not None:
                    self._drop_target(target)
                self._events.record("target.gone", group=entry.group, target=entry.id)
            if now_ms >= counters_ms + COUNTERS_LOG_INTERVAL_MS:
                counters_ms = now_ms
                self._events.record("statements.counted", **self.env.counters.totals())
                self._record_table_ages()
            # A host all of whose leaders are in its own zone suspects none of them; it
            # finds that it is cut off when it can't renew its lease.
            if self.replacement.reach.cut_off or self.renewal.missing_ms > 0.0:
                self._start_reach_check()
            trims = now_ms >= trim_ms + TRIM_INTERVAL_MS
            if trims:
                trim_ms = now_ms
            for group in self._named_groups():
                self._check_group(group, now_ms, trims)

    def _check_group(self, group: GroupState, now_ms: float, trims: bool) -> None:
        self._attempt(self._start_leader_check, group, now_ms)
        for target in list(group.targets.values()):
            self._attempt(target.pool.probe)
            if trims:
                self._attempt(self._adjust_pools, group, target)

    @staticmethod
    def _attempt(check: Callable[..., None], *arguments: object) -> None:
        """Run a periodic check; an error does not keep the other checks from running.

        Otherwise one entry that others have written could do so for all groups.
        """
        try:
            check(*arguments)
        except Exception as error:
            logger.opt(exception=error).error("a periodic check failed")

    async def _wait_for_tick(self) -> None:
        """Wait for the next check; longer in a large fleet without any doubt."""
        large = any(
            self.ownership.shares_connections(group.name)
            for group in self._named_groups()
        )
        if not large or self._in_doubt():
            await self._clock.sleep_ms(TICK_MS)
            return
        self._doubt.clear()
        try:
            async with timeout_ms(CALM_TICK_MS):
                await self._doubt.wait()
        except TimeoutError:
            return

    def _in_doubt(self) -> bool:
        """Return whether a leader, a target or this host's reach needs checks."""
        return (
            self.replacement.reach.cut_off
            or self.renewal.failing
            or self.directory.any_removed
            or any(group.in_doubt for group in self._named_groups())
        )

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
        leader = group.leader()
        if (
            leader is not None
            and not leader.entry.leaving
            and not group.leadership.in_doubt
        ):
            return
        if not self._may_replace_leader(group):
            self._follow_leader(group, now_ms)
            return
        if leader is None or leader.entry.leaving or group.leadership.suspect:
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
        self._doubt.set()
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

    def _adjust_pools(self, group: GroupState, target: TargetState) -> None:
        for pool in target.pools:
            pool.trim()
        leads = target.entry.id == group.leadership.leader_id
        same_zone = target.entry.zone == self.zone
        if (leads or same_zone) and not target.entry.leaving and not self.env.leaving:
            target.pool.warm(self._expected_organisations(target, leads))

    def _expected_organisations(self, target: TargetState, leads: bool) -> list[str]:
        """Return the busiest organisations whose requests come to this host's links."""
        entry = target.entry
        if target.pool.open > 0 or not target.pool.by_organisation:
            return [""]
        group = self.groups[entry.group]
        replicas = [
            name for name in group.targets if name != group.leadership.leader_id
        ]
        shared = self.ownership.of(entry).shared
        expected = []
        for organisation in self.shares.busiest:
            share = self.shares.share(organisation)
            reads = leads or entry.id in preferred_replicas(
                replicas, organisation, share
            )
            order = self.ownership.order(entry, organisation) if shared else [self.host]
            if reads and order[0] == self.host:
                expected.append(organisation)
        return expected
