"""Follows the revisions of the teams' settings, and tracks how current they are."""

from __future__ import annotations

from collections.abc import Callable

import xxhash
from fennelhill_core.clock import Clock
from fennelhill_core.events import EventLog
from fennelhill_core.platform import StoreUnavailableError, TableService
from fennelhill_core.rpc import NoAnswer, NotSent
from fennelhill_core.settings import EntryHost, Settings
from fennelhill_core.subtrees import Subtree, SubtreeStore, with_teams
from fennelhill_core.tasks import Tasks

from fennelhilld.membership.view import LiveView
from fennelhilld.peers.streams import PeerStreams
from fennelhilld.settings_sync.messages import SettingsReply, SettingsSince

PEER_TIMEOUT_MS = 600.0
MAX_RELAYS_ASKED = 2

Install = Callable[[Settings], None]


class SettingsFollower:
    """Keeps this host's settings at the highest revision that it can find.

    One host in each availability zone, the relay, is chosen by rendezvous hash and
    reads the table service; the others ask the relay.  So the reads of the table
    service grow with the number of zones and not of hosts.  Only a higher revision is
    ever installed.

    Parameters
    ----------
    settings : Settings
        The settings file, revision 0.
    view : LiveView
        State of the entry hosts, from which the zone's relay is chosen.
    peers : PeerStreams
        Streams to other entry hosts.
    table : TableService or None
        The platform's table service; None if settings come only from the file.
    install : callable
        Applies validated settings to this host.
    clock : Clock
        Source of time.
    events : EventLog
        Records installed, rejected and unconfirmed settings.
    """

    __slots__ = (
        "_clock",
        "_confirmed_ms",
        "_events",
        "_file_settings",
        "_install",
        "_peers",
        "_recorded_unconfirmed",
        "_store",
        "_subtrees",
        "_tasks",
        "_view",
        "revision",
    )

    def __init__(
        self,
        settings: Settings,
        view: LiveView,
        peers: PeerStreams,
        table: TableService | None,
        install: Install,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self._file_settings = settings
        self._view = view
        self._peers = peers
        self._store = None if table is None else SubtreeStore(table)
        self._install = install
        self._clock = clock
        self._events = events
        self._subtrees: dict[str, Subtree] = {}
        self._confirmed_ms = clock.now_ms()
        self._recorded_unconfirmed = False
        self._tasks = Tasks()
        self.revision = 0

    def start(self) -> None:
        """Start polling, if there is a table service."""
        if self._store is not None:
            self._tasks.keep_running(self._follow)

    def close(self) -> None:
        """Stop polling."""
        self._tasks.cancel()

    @property
    def confirmed_age_ms(self) -> float:
        """Time since the revision in force was last confirmed as the latest.

        In milliseconds; 0 if settings come only from the file.
        """
        if self._store is None:
            return 0.0
        return self._clock.now_ms() - self._confirmed_ms

    @property
    def unconfirmed(self) -> bool:
        """Whether the revision in force was last confirmed too long ago.

        After ``settings_currency_ms`` without a confirmation, other hosts may already
        have a later revision in force.
        """
        return self.confirmed_age_ms > self._file_settings.limits.settings_currency_ms

    def changes_since(self, request: SettingsSince) -> SettingsReply:
        """Return the subtrees that changed after another host's revision.

        Parameters
        ----------
        request : SettingsSince
            The revision of the other host.

        Returns
        -------
        SettingsReply
            The revision in force here, and the changed subtrees.
        """
        changed = {
            name: subtree
            for name, subtree in self._subtrees.items()
            if subtree.revision > request.revision
        }
        return SettingsReply(self.revision, self.confirmed_age_ms, changed)

    def apply(self, reply: SettingsReply, sent_ms: float) -> bool:
        """Install the changes from another host or the store, if they are newer.

        Parameters
        ----------
        reply : SettingsReply
            Revision and changed subtrees from the host or the store.
        sent_ms : float
            When the request was sent, on this host's clock.

        Returns
        -------
        bool
            Whether this host is now at that revision or a later one.
        """
        if reply.revision > self.revision:
            subtrees = {**self._subtrees, **reply.subtrees}
            teams = {name: subtree.team for name, subtree in subtrees.items()}
            settings = with_teams(self._file_settings, teams)
            problems = settings.problems()
            if problems:
                # The change was checked against a settings file that differs from this
                # host's.
                self._events.record("settings.rejected", problems=problems)
                return False
            self._install(settings)
            self._subtrees = subtrees
            self.revision = reply.revision
            self._events.record("settings.installed", revision=self.revision)
        if reply.revision == self.revision:
            confirmed_ms = sent_ms - reply.confirmed_age_ms
            self._confirmed_ms = max(self._confirmed_ms, confirmed_ms)
        return True

    async def _follow(self) -> None:
        while True:
            if not await self._ask_relays():
                await self._ask_store()
            if self.unconfirmed != self._recorded_unconfirmed:
                self._recorded_unconfirmed = self.unconfirmed
                kind = (
                    "settings.unconfirmed"
                    if self._recorded_unconfirmed
                    else "settings.confirmed"
                )
                self._events.record(kind, revision=self.revision)
            await self._clock.sleep_ms(self._file_settings.limits.settings_poll_ms)

    def _relays(self) -> list[EntryHost]:
        """Return the usable hosts of this zone, the relay first."""
        zone = self._view.host.zone
        hosts = [
            host
            for host in self._view.hosts.values()
            if host.zone == zone and self._view.usable(host.id)
        ]
        return sorted(
            hosts, key=lambda h: xxhash.xxh64_intdigest(f"relay/{h.id}".encode())
        )

    async def _ask_relays(self) -> bool:
        """Ask the relay of this zone, or the next host if the relay fails.

        Returns whether a host answered with confirmed settings.  Otherwise this host
        reads the table service itself, so hosts after it in order are not asked.
        """
        for host in self._relays()[:MAX_RELAYS_ASKED]:
            if host.id == self._view.host.id:
                return False
            if await self._ask_host(host):
                return True
        return False

    async def _ask_host(self, host: EntryHost) -> bool:
        sent_ms = self._clock.now_ms()
        request = SettingsSince(self.revision)
        try:
            reply = await self._peers.call(
                host, "settings_since", request, PEER_TIMEOUT_MS, SettingsReply
            )
        except (NoAnswer, NotSent):
            return False
        self.apply(reply, sent_ms)
        # A relay without a recent confirmation can't reach the store, and is treated
        # like one that doesn't answer.
        return (
            reply.confirmed_age_ms < self._file_settings.limits.settings_currency_ms / 2
        )

    async def _ask_store(self) -> None:
        sent_ms = self._clock.now_ms()
        try:
            index = await self._store.index()
            changed = {}
            for team, revision in index.teams.items():
                if revision > self.revision:
                    changed[team] = await self._store.subtree(team)
        except StoreUnavailableError:
            await self._ask_any_host()
            return
        # A subtree that changed again since the index was read may be newer than the
        # index; the next poll fetches the rest.
        self.apply(SettingsReply(index.revision, 0.0, changed), sent_ms)

    async def _ask_any_host(self) -> None:
        """Ask one other usable host for its revision while the store is unavailable."""
        for host in self._view.hosts.values():
            if host.id != self._view.host.id and self._view.usable(host.id):
                await self._ask_host(host)
                return
