"""The daemon of an entry host: creates its parts and connects them."""

from __future__ import annotations

import contextlib
import random
import socket
from typing import Any

import msgspec
from fennelhill_core.clock import Clock
from fennelhill_core.events import EventLog
from fennelhill_core.platform import (
    HostList,
    StoreUnavailableError,
    TableService,
)
from fennelhill_core.platform_clients import HttpHostList, HttpTableService
from fennelhill_core.rpc import RpcServer
from fennelhill_core.settings import EntryHost, Settings, SettingsError
from fennelhill_core.streams import Dialer, Stream
from fennelhill_core.tasks import Tasks
from fennelhill_core.websockets import StreamEndpoint, WebSocketDialer
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from fennelhilld.entry.http import NotFoundHandler, caller_routes
from fennelhilld.entry.service import EntryService
from fennelhilld.membership.view import LiveView
from fennelhilld.observability.http import (
    EventsHandler,
    HealthHandler,
    MetricsHandler,
    StatusHandler,
)
from fennelhilld.observability.metrics import Metrics
from fennelhilld.peers.messages import (
    Heartbeat,
    OwnerReply,
    OwnerRequest,
    PrimarySilenceQuery,
    PrimarySilenceReply,
)
from fennelhilld.peers.streams import PeerStreams
from fennelhilld.pooling.target_service import TargetService
from fennelhilld.routing.router import Router
from fennelhilld.settings_sync.follower import SettingsFollower
from fennelhilld.settings_sync.messages import SettingsReply, SettingsSince
from fennelhilld.targets.driver import TARGET_DRIVERS

PEER_PATH = "/peer"
TARGET_PATH = "/target"
PEER_TIMEOUT_MS = 300.0
DRAIN_POLL_MS = 20.0
BODY_READ_LIMIT_FACTOR = 4  # multiple of limits.body_bytes


class Dependencies:
    """Transports and platform services that a daemon uses; tests replace them.

    Parameters
    ----------
    peer_dialer : Dialer
        Opens streams to other entry hosts.
    target_dialer : Dialer
        Opens streams to targets.
    table : TableService or None
        The platform's table service; None without a platform.
    host_list : HostList or None
        The platform's host list; None without a platform.
    """

    __slots__ = ("host_list", "peer_dialer", "table", "target_dialer")

    def __init__(
        self,
        peer_dialer: Dialer,
        target_dialer: Dialer,
        table: TableService | None = None,
        host_list: HostList | None = None,
    ) -> None:
        self.peer_dialer = peer_dialer
        self.target_dialer = target_dialer
        self.table = table
        self.host_list = host_list

    @classmethod
    def from_config(cls, settings: Settings) -> Dependencies:
        """Build WebSocket dialers and HTTP clients from the settings.

        Parameters
        ----------
        settings : Settings
            The settings.

        Returns
        -------
        Dependencies
            The dialers and clients.
        """
        platform = settings.platform
        table = HttpTableService(platform.table_service)
        host_list = HttpHostList(platform.host_list)
        return cls(
            WebSocketDialer(PEER_PATH, settings.fleet.secret),
            WebSocketDialer(TARGET_PATH),
            table if platform.table_service else None,
            host_list if platform.host_list else None,
        )


class Daemon:
    """The whole proxy on one entry host: entry, routing, pooling and failover.

    Parameters
    ----------
    host : EntryHost
        This entry host.
    settings : Settings
        The validated settings.
    dependencies : Dependencies
        Transports and platform services.
    clock : Clock
        Source of time.
    random_state : random.Random
        Source of randomness.
    """

    def __init__(
        self,
        host: EntryHost,
        settings: Settings,
        dependencies: Dependencies,
        clock: Clock,
        random_state: random.Random,
    ) -> None:
        self.host = host
        self.settings = settings
        self.clock = clock
        self.closing = False
        self.events = EventLog(host.id, host.zone, clock)
        self.metrics = Metrics(host.id, host.zone, clock)
        self.view = LiveView(host, settings, clock, self.events)
        self.peers = PeerStreams(
            self.view, dependencies.peer_dialer, settings.limits, clock
        )
        drivers = {
            name: TARGET_DRIVERS.get(name)(
                dependencies.target_dialer, random_state, settings.limits
            )
            for name in {group.driver for group in settings.groups.values()}
        }
        self.target_service = TargetService(
            settings,
            self.view,
            drivers,
            dependencies.table,
            self._ask_peer,
            clock,
            random_state,
            self.events,
        )
        self.router = Router(
            self.view, settings, self.peers, self.target_service.serve, clock
        )
        self.entry = EntryService(
            host.id,
            settings,
            self.router,
            clock,
            random_state,
            lambda: self.follower.unconfirmed,
        )
        self.follower = SettingsFollower(
            settings,
            self.view,
            self.peers,
            dependencies.table,
            self.entry.install,
            clock,
            self.events,
        )
        self._host_list = dependencies.host_list
        self._tasks = Tasks()
        self._server: HTTPServer | None = None
        self._peer_server = RpcServer(
            {
                "hello": self._hello,
                "work": self._work,
                "primary_seen": self._primary_seen,
                "settings_since": self._settings_since,
            }
        )
        self._register_gauges()

    @classmethod
    def from_config(cls, settings: Settings, host_id: str) -> Daemon:
        """Build the daemon of an entry host.

        Parameters
        ----------
        settings : Settings
            The validated settings.
        host_id : str
            Name of this entry host in the settings.

        Returns
        -------
        Daemon
            The daemon, not started.

        Raises
        ------
        SettingsError
            If the settings name no such host.
        """
        for host in settings.entry_hosts:
            if host.id == host_id:
                dependencies = Dependencies.from_config(settings)
                return cls(host, settings, dependencies, Clock(), random.SystemRandom())
        host_ids = ", ".join(host.id for host in settings.entry_hosts)
        raise SettingsError([f"entry_hosts: no {host_id!r}; there are {host_ids}"])

    def start(self) -> None:
        """Start all tasks; callers and peers are served only after `listen`."""
        self.target_service.start()
        self.follower.start()
        if self._host_list is not None:
            self._tasks.keep_running(self._follow_host_list)
        self.events.record("daemon.started")

    def listen(self, sockets: list[socket.socket] | None = None) -> None:
        """Serve callers, peers and operators on this host's address.

        Parameters
        ----------
        sockets : list of socket.socket
            Sockets that already listen; None to bind this host's address.
        """
        if sockets is None:
            ip, _, port = self.host.address.rpartition(":")
            sockets = bind_sockets(int(port), ip.strip("[]"))
        # A body slightly over the limit is read and refused with its result code; a
        # much larger one is not read.
        read_limit_bytes = BODY_READ_LIMIT_FACTOR * self.settings.limits.body_bytes
        self._server = HTTPServer(self.application(), max_body_size=read_limit_bytes)
        self._server.add_sockets(sockets)

    def application(self) -> Application:
        """Return the routes of this daemon.

        Returns
        -------
        tornado.web.Application
            Callers', operators' and peers' routes.
        """
        operator_args = {"daemon": self}
        peer_args = {"handler": self.serve_peer, "bearer": self.settings.fleet.secret}
        routes = caller_routes(
            self.entry,
            self.metrics,
            lambda: self.closing,
            self.settings.limits.body_bytes,
        )
        routes += [
            ("/healthz", HealthHandler, operator_args),
            ("/metrics", MetricsHandler, operator_args),
            ("/status", StatusHandler, operator_args),
            ("/events", EventsHandler, operator_args),
            (PEER_PATH, StreamEndpoint, peer_args),
        ]
        return Application(
            routes, default_handler_class=NotFoundHandler, log_function=_no_access_log
        )

    async def shutdown(self) -> None:
        """Shut down gracefully: hand over targets, finish requests in progress, stop.

        Requests in progress and open transactions get ``limits.shutdown_ms``.
        """
        self.closing = True
        self.target_service.closing = True
        self.view.mark_self_leaving()
        self.events.record("daemon.leaving")
        limit_ms = self.settings.limits.shutdown_ms
        deadline_ms = self.clock.now_ms() + limit_ms
        cut_count = await self.target_service.transactions.drain(limit_ms)
        while self._busy() and self.clock.now_ms() < deadline_ms:
            await self.clock.sleep_ms(DRAIN_POLL_MS)
        self.events.record("daemon.stopped", transactions_cut=cut_count)
        self.close()

    def close(self) -> None:
        """Stop at once, as in a crash, without finishing requests."""
        if self._server is not None:
            self._server.stop()
        self._tasks.cancel()
        self.follower.close()
        self.target_service.close()
        self.router.close()
        self.peers.close()

    def record_reload(self, signal_count: int) -> None:
        """Record SIGHUP; the settings file is read at the start only.

        Parameters
        ----------
        signal_count : int
            Signals since the last record.
        """
        self.events.record("daemon.reloaded", signals=signal_count)

    async def serve_peer(self, stream: Stream) -> None:
        """Serve the stream of another entry host.

        Parameters
        ----------
        stream : Stream
            The accepted stream.
        """
        await self._peer_server.serve(stream)

    def status(self) -> dict[str, Any]:
        """Describe this daemon and its view of the groups.

        Returns
        -------
        dict
            The document for ``GET /status``.
        """
        groups = {}
        for name, monitor in self.target_service.monitors.items():
            primary = monitor.primary()
            groups[name] = {
                "term": monitor.term,
                "primary": primary.target.id if primary else None,
                "targets": msgspec.to_builtins(monitor.view().targets),
            }
        owned_targets = {
            name: {
                "connections": owned.pool.open,
                "idle": owned.pool.idle,
                "busy_slots": owned.queue.busy,
                "waiting": owned.queue.waiting,
            }
            for name, owned in self.target_service.owned_targets.items()
        }
        return {
            "host": self.host.id,
            "zone": self.host.zone,
            "closing": self.closing,
            "settings_revision": self.follower.revision,
            "settings_confirmed_age_ms": round(self.follower.confirmed_age_ms),
            "settings_strict": self.follower.unconfirmed,
            "usable_hosts": [h for h in self.view.hosts if self.view.usable(h)],
            "groups": groups,
            "owns": owned_targets,
            "open_transactions": self.target_service.transactions.open_count,
        }

    def _busy(self) -> bool:
        return bool(self.metrics.in_progress or self.target_service.in_progress)

    async def _hello(self, params: msgspec.Raw) -> Heartbeat:
        hello = msgspec.json.decode(params, type=Heartbeat)
        if hello.host in self.view.hosts:
            self.view.record_response(hello.host, hello.leaving)
        self.events.observe_remote_time(hello.at_ms)
        return Heartbeat(self.host.id, self.closing, self.clock.wall_ms())

    async def _work(self, params: msgspec.Raw) -> OwnerReply:
        return await self.target_service.serve(
            msgspec.json.decode(params, type=OwnerRequest)
        )

    async def _settings_since(self, params: msgspec.Raw) -> SettingsReply:
        return self.follower.changes_since(
            msgspec.json.decode(params, type=SettingsSince)
        )

    async def _primary_seen(self, params: msgspec.Raw) -> PrimarySilenceReply:
        request = msgspec.json.decode(params, type=PrimarySilenceQuery)
        return self.target_service.report_primary_silence(request)

    async def _ask_peer(
        self, host: EntryHost, request: PrimarySilenceQuery
    ) -> PrimarySilenceReply:
        return await self.peers.call(
            host, "primary_seen", request, PEER_TIMEOUT_MS, PrimarySilenceReply
        )

    async def _follow_host_list(self) -> None:
        while True:
            # Without an answer, the previous list remains the best available hint.
            with contextlib.suppress(StoreUnavailableError):
                self.view.update_host_list(await self._host_list.hosts())
            await self.clock.sleep_ms(self.settings.limits.host_list_ms)

    def _register_gauges(self) -> None:
        def by_target(read: Any) -> Any:
            return lambda: {
                (("target", name),): read(owned)
                for name, owned in self.target_service.owned_targets.items()
            }

        gauges = [
            ("connections", "Open connections.", lambda o: o.pool.open),
            ("connects", "Connections set up.", lambda o: o.pool.counters.connects),
            ("refused", "Connections refused.", lambda o: o.pool.counters.refused),
            ("silent", "Silent connections found.", lambda o: o.pool.counters.silent),
            ("waiting", "Requests in the queue.", lambda o: o.queue.waiting),
            ("shed", "Requests shed as not run.", lambda o: o.queue.shed_count),
            (
                "service_ms",
                "Time a request holds a slot.",
                lambda o: o.queue.service_ms,
            ),
            (
                "wait_ms",
                "Expected wait for a slot.",
                lambda o: o.queue.expected_wait_ms(),
            ),
        ]
        for name, doc, read in gauges:
            self.metrics.gauge(f"fennelhill_pool_{name}", doc, by_target(read))
        self.metrics.gauge(
            "fennelhill_open_transactions",
            "Transactions that pin a connection.",
            lambda: {(): self.target_service.transactions.open_count},
        )
        self.metrics.gauge(
            "fennelhill_hops",
            "Requests sent to other entry hosts.",
            lambda: {(): self.router.hops},
        )
        self.metrics.gauge(
            "fennelhill_retries",
            "Requests sent again.",
            lambda: {(): self.router.retries},
        )


def _no_access_log(_: object) -> None:
    """Disable the access log: requests are in the metrics, decisions in the events."""
