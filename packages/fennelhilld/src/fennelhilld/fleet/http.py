"""Queries between the hosts of a fleet, as JSON over HTTP."""

from __future__ import annotations

import random

import msgspec
from fennelhill_core.clock import MS_PER_S
from fennelhill_core.sockets import http_client
from fennelhill_core.streams import StreamEndpoint
from fennelhill_core.tasks import Tasks
from loguru import logger
from tornado.httpclient import HTTPClientError, HTTPRequest
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from fennelhilld.gateway import SessionGateway
from fennelhilld.observability.gateway_metrics import render_metrics
from fennelhilld.promotion.messages import LeaderView, Survey
from fennelhilld.promotion.survey import collect_views

RELAY_PATH = "/relay"
# The queried host probes the target itself, which takes up to 300 ms.
QUERY_TIMEOUT_MS = 450.0
# Without a target to probe the queried host answers at once.
PRESENCE_TIMEOUT_MS = 250.0


class _LeaderHandler(RequestHandler):
    """``GET /leader``: this host's view of a leader."""

    def initialize(self, gateway: SessionGateway) -> None:
        self._gateway = gateway

    async def get(self) -> None:
        group = self._gateway.groups.get(self.get_query_argument("group"))
        view = LeaderView()
        if group is not None:
            target = self.get_query_argument("target")
            view = await self._gateway.replacement.leader_view(group, target)
        self.finish(msgspec.json.encode(view))


class _MetricsHandler(RequestHandler):
    """``GET /metrics``: counters and gauges in the Prometheus format."""

    def initialize(self, gateway: SessionGateway) -> None:
        self._gateway = gateway

    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        self.finish(render_metrics(self._gateway))


def peer_application(gateway: SessionGateway) -> Application:
    """Return the routes that other hosts and the metrics collector use.

    Parameters
    ----------
    gateway : SessionGateway
        The session gateway of this host.

    Returns
    -------
    tornado.web.Application
        The routes.
    """
    handler_arguments = {"gateway": gateway}
    return Application(
        [
            ("/leader", _LeaderHandler, handler_arguments),
            ("/metrics", _MetricsHandler, handler_arguments),
            (RELAY_PATH, StreamEndpoint, {"handler": gateway.relay.serve}),
        ],
        log_function=_no_access_log,
    )


class HttpPeers:
    """Queries the other hosts that the store lists.

    Parameters
    ----------
    gateway : SessionGateway
        The session gateway of this host; its roster has their addresses.
    """

    __slots__ = ("_client", "_gateway", "_random", "_tasks")

    def __init__(self, gateway: SessionGateway) -> None:
        self._gateway = gateway
        self._client = http_client()
        self._random = random.SystemRandom()
        self._tasks = Tasks()

    def names(self) -> list[str]:
        """Return the names of the other hosts.

        Returns
        -------
        list of str
            In no particular order.
        """
        return list(self._gateway.roster.addresses)

    async def survey(self, group: str, target_id: str) -> Survey:
        """Query hosts of all zones for their views of a leader.

        Parameters
        ----------
        group : str
            The group; empty if only the number of answers matters.
        target_id : str
            The leader; empty if it is unknown.

        Returns
        -------
        Survey
            How many hosts were queried, and the views of those that answered in time.
        """
        roster = self._gateway.roster
        addresses = roster.sample(self._random)
        queries = [
            self._tasks.spawn(self._query_host(name, address, group, target_id))
            for name, address in addresses.items()
        ]
        return await collect_views(queries, group, target_id)

    async def _query_host(
        self, name: str, address: str, group: str, target_id: str
    ) -> LeaderView | None:
        view = await self._query(address, group, target_id)
        self._gateway.roster.record_answer(name, view is not None)
        return view

    async def _query(
        self, address: str, group: str, target_id: str
    ) -> LeaderView | None:
        limit_ms = QUERY_TIMEOUT_MS if target_id else PRESENCE_TIMEOUT_MS
        timeout_s = limit_ms / MS_PER_S
        request = HTTPRequest(
            f"http://{address}/leader?group={group}&target={target_id}",
            connect_timeout=timeout_s,
            request_timeout=timeout_s,
        )
        try:
            response = await self._client.fetch(request)
            return msgspec.json.decode(response.body, type=LeaderView)
        except (
            OSError,
            HTTPClientError,
            StreamClosedError,
            msgspec.DecodeError,
        ) as error:
            logger.bind(address=address, reason=str(error)).info("neighbour.no_answer")
            return None


def _no_access_log(_: object) -> None:
    """Log no requests: decisions are recorded as events and counts as metrics."""
