"""HTTP endpoints for operators and the load balancer."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from fennelhilld.entry.http import JsonHandler

if TYPE_CHECKING:
    from fennelhilld.daemon import Daemon


class OperatorHandler(JsonHandler):
    """Base of the handlers that report the state of a daemon."""

    def initialize(self, daemon: Daemon) -> None:
        """Store the daemon.

        Parameters
        ----------
        daemon : Daemon
            The daemon of this process.
        """
        self._daemon = daemon


class HealthHandler(OperatorHandler):
    """``GET /healthz``: whether the balancer may send callers here."""

    def get(self) -> None:
        """Answer 200 while serving, and 503 from the beginning of a shutdown."""
        if self._daemon.closing:
            self.set_status(503)
        state = "leaving" if self._daemon.closing else "serving"
        self.finish(msgspec.json.encode({"state": state}))


class MetricsHandler(OperatorHandler):
    """``GET /metrics``."""

    def get(self) -> None:
        """Render the metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
        self.finish(self._daemon.metrics.render())


class StatusHandler(OperatorHandler):
    """``GET /status``: the daemon and its view of the groups."""

    def get(self) -> None:
        """Answer with the status document."""
        self.finish(msgspec.json.encode(self._daemon.status()))


class EventsHandler(OperatorHandler):
    """``GET /events?since=MS``: the latest events."""

    def get(self) -> None:
        """Answer with the events recorded at or after ``since``."""
        since = self.get_query_argument("since", "0")
        since_ms = int(since) if since.isdigit() else 0
        events = self._daemon.events.since(since_ms)
        self.finish(msgspec.json.encode(events))
