"""Serves all stand-ins from one process, for daemons that run as processes."""

from __future__ import annotations

import asyncio
import signal

import msgspec
from fennelhill_core.clock import Clock
from fennelhill_core.platform import (
    Commit,
    HostEntry,
    StoreFault,
    StoreUnavailableError,
)
from fennelhill_core.settings import Settings
from fennelhill_core.websockets import StreamEndpoint
from fennelhilld.daemon import TARGET_PATH
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from fennelhill_bench.deployment import Plan, build_group
from fennelhill_bench.network import Network
from fennelhill_bench.platform import HostListStandIn, TableServiceStandIn
from fennelhill_bench.target import TargetStandIn

_STATUS_OF_FAULT = {
    StoreFault.RATE_LIMITED: 429,
    StoreFault.DOWN: 503,
    StoreFault.NO_ANSWER: 504,
}


class PlatformHandler(RequestHandler):
    """Base class of the platform's request handlers."""

    def initialize(
        self, table: TableServiceStandIn, host_list: HostListStandIn
    ) -> None:
        """Set the stand-ins.

        Parameters
        ----------
        table : TableServiceStandIn
            The table service.
        host_list : HostListStandIn
            The host list.
        """
        self._table = table
        self._host_list = host_list

    def answer_failure(self, error: StoreUnavailableError) -> None:
        """Answer with the HTTP status of a failure of the platform.

        Parameters
        ----------
        error : StoreUnavailableError
            The failure.
        """
        self.set_status(_STATUS_OF_FAULT[error.fault])
        self.finish()


class RowHandler(PlatformHandler):
    """``GET /rows/{key}``."""

    async def get(self, key: str) -> None:
        """Answer with a row, or with status 404 if there is none.

        Parameters
        ----------
        key : str
            Name of the row.
        """
        try:
            row = await self._table.read(key)
        except StoreUnavailableError as error:
            self.answer_failure(error)
            return
        if row is None:
            self.set_status(404)
        self.finish(msgspec.json.encode(row))


class CommitHandler(PlatformHandler):
    """``POST /commit``."""

    async def post(self) -> None:
        """Run a conditional transaction and answer whether its conditions were met."""
        commit = msgspec.json.decode(self.request.body, type=Commit)
        try:
            reply = await self._table.commit(commit)
        except StoreUnavailableError as error:
            self.answer_failure(error)
            return
        self.finish(msgspec.json.encode(reply))


class HostsHandler(PlatformHandler):
    """``GET /hosts``."""

    async def get(self) -> None:
        """Answer with the list of hosts."""
        try:
            hosts = await self._host_list.hosts()
        except StoreUnavailableError as error:
            self.answer_failure(error)
            return
        self.finish(msgspec.json.encode(hosts))


class FaultHandler(RequestHandler):
    """``POST /faults/{target}/{fault}``: injects a fault into a target."""

    def initialize(self, targets: dict[str, TargetStandIn]) -> None:
        """Set the targets.

        Parameters
        ----------
        targets : dict
            Targets by name.
        """
        self._targets = targets

    def post(self, target: str, fault: str) -> None:
        """Inject a fault.

        Parameters
        ----------
        target : str
            Name of the target.
        fault : str
            ``kill``, ``restart``, ``pause`` or ``resume``.
        """
        getattr(self._targets[target], fault)()
        self.finish()


class StandIns:
    """All stand-ins that the settings name, in this process.

    Parameters
    ----------
    settings : Settings
        The settings of the daemons.
    plan : Plan or None
        Plan with the delays of the targets; None for the defaults of `TargetSpec`.
    """

    def __init__(self, settings: Settings, plan: Plan | None = None) -> None:
        clock = Clock()
        network = Network(one_way_ms=0.0)
        self.table = TableServiceStandIn(clock)
        self.host_list = HostListStandIn(clock)
        self.targets: dict[str, TargetStandIn] = {}
        self._settings = settings
        self._servers: list[HTTPServer] = []
        for name, group in settings.groups.items():
            members = build_group(name, group, network, clock, self.table, plan)
            self.targets.update(members)
        hosts = [HostEntry(host.id) for host in settings.entry_hosts]
        self.host_list.publish(hosts)

    def listen(self) -> None:
        """Start the servers of the stand-ins.

        Each target is served on its address in the settings.  The table service and
        the host list share a server, on the address of the table service.
        """
        for group in self._settings.groups.values():
            for target in group.targets:
                endpoint = {"handler": self.targets[target.id].serve}
                routes = [(TARGET_PATH, StreamEndpoint, endpoint)]
                self._serve(target.address, routes)
        platform_stand_ins = {"table": self.table, "host_list": self.host_list}
        routes = [
            (r"/rows/(.+)", RowHandler, platform_stand_ins),
            (r"/commit", CommitHandler, platform_stand_ins),
            (r"/hosts", HostsHandler, platform_stand_ins),
            (
                r"/faults/([^/]+)/(kill|restart|pause|resume)",
                FaultHandler,
                {"targets": self.targets},
            ),
        ]
        if self._settings.platform.table_service:
            self._serve(self._settings.platform.table_service, routes)

    def close(self) -> None:
        """Stop all servers and targets."""
        for server in self._servers:
            server.stop()
        for target in self.targets.values():
            target.close()

    def _serve(self, address: str, routes: list[tuple]) -> None:
        ip, _, port = address.rpartition(":")
        server = HTTPServer(Application(routes))
        server.add_sockets(bind_sockets(int(port), ip))
        self._servers.append(server)


async def serve_until_stopped(settings: Settings, plan: Plan | None = None) -> None:
    """Serve the stand-ins until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : Settings
        The settings of the daemons.
    plan : Plan or None
        Plan with the delays of the targets; None for the defaults of `TargetSpec`.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    stand_ins = StandIns(settings, plan)
    stand_ins.listen()
    await stop.wait()
    stand_ins.close()
