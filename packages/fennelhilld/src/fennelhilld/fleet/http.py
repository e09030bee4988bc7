"""Requests that other hosts, the metrics collector and operators send, over HTTP."""

from __future__ import annotations

import math

import msgspec
from fennelhill_core.websockets import StreamEndpoint
from tornado.web import Application, HTTPError, RequestHandler

from fennelhilld.catalog.intake import CatalogIntake
from fennelhilld.fleet.dialing import RELAY_PATH
from fennelhilld.fleet.queries import CATALOG_AGE_HEADER
from fennelhilld.gateway import SessionGateway
from fennelhilld.observability.gateway_metrics import render_metrics
from fennelhilld.promotion.messages import LeaderView


class _LeaderHandler(RequestHandler):
    """``GET /leader``: this host's view of a leader."""

    def initialize(self, gateway: SessionGateway) -> None:
        self._gateway = gateway

    async def get(self) -> None:
        group = self._gateway.groups.get(self.get_query_argument("group"))
        view = LeaderView(host=self._gateway.host, informed=False)
        if group is not None:
            target = self.get_query_argument("target")
            view = await self._gateway.replacement.leader_view(group, target)
        self.finish(msgspec.json.encode(view))


class _CatalogHandler(RequestHandler):
    """``GET /catalog?after=VERSION``: the document in force, if it is newer."""

    def initialize(self, intake: CatalogIntake) -> None:
        self._intake = intake

    def get(self) -> None:
        try:
            version = int(self.get_query_argument("after", "0"))
        except ValueError as error:
            raise HTTPError(400) from error
        if math.isfinite(self._intake.age_ms):
            self.set_header(CATALOG_AGE_HEADER, f"{self._intake.age_ms:.0f}")
        document = self._intake.newer_document(version)
        if not document:
            self.set_status(204)
            return
        self.set_header("Content-Type", "application/json")
        self.finish(document)


class _OrganisationHandler(RequestHandler):
    """``GET /organisation?name=NAME``, for operators.

    The name may also be the digest of one of the organisation's keys.
    """

    def initialize(self, gateway: SessionGateway) -> None:
        self._gateway = gateway

    def get(self) -> None:
        catalog = self._gateway.catalog.current
        name = self.get_query_argument("name", "")
        found = None
        if catalog is not None and catalog.organisations is not None:
            organisations = catalog.organisations
            found = organisations.get(name) or organisations.get(catalog.keys.get(name))
        body = {
            "version": self._gateway.catalog.version,
            "organisation": msgspec.to_builtins(found),
        }
        self.finish(msgspec.json.encode(body))


class _MetricsHandler(RequestHandler):
    """``GET /metrics``: counters and gauges in the Prometheus format."""

    def initialize(self, gateway: SessionGateway) -> None:
        self._gateway = gateway

    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        self.finish(render_metrics(self._gateway))


def peer_application(
    gateway: SessionGateway, intake: CatalogIntake | None = None
) -> Application:
    """Return the routes that other hosts and the metrics collector use.

    Parameters
    ----------
    gateway : SessionGateway
        The session gateway of this host.
    intake : CatalogIntake or None
        Holds the document that other hosts may ask for; None to serve none.

    Returns
    -------
    tornado.web.Application
        The routes.
    """
    handler_arguments = {"gateway": gateway}
    catalog_routes = []
    if intake is not None:
        catalog_routes.append(("/catalog", _CatalogHandler, {"intake": intake}))
    return Application(
        [
            *catalog_routes,
            ("/leader", _LeaderHandler, handler_arguments),
            ("/metrics", _MetricsHandler, handler_arguments),
            ("/organisation", _OrganisationHandler, handler_arguments),
            (RELAY_PATH, StreamEndpoint, {"handler": gateway.relay.serve}),
        ],
        log_function=_no_access_log,
    )


def _no_access_log(_: object) -> None:
    """Log no requests: decisions are recorded as events and counts as metrics."""
