"""HTTP servers that cost a process little while it starts."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    HTTPServerRequest,
    ResponseStartLine,
    responses,
)


class DeferredApplication(HTTPServerConnectionDelegate):
    """Builds an application when its first request arrives.

    Tornado's web framework takes a tenth of a start to import, and a host has sessions
    to serve before anybody asks it for metrics.

    Parameters
    ----------
    build : callable
        Imports what the application needs, and returns it.
    """

    def __init__(self, build: Callable[[], HTTPServerConnectionDelegate]) -> None:
        self._build = build
        self._application: HTTPServerConnectionDelegate | None = None

    def start_request(
        self, server_conn: object, request_conn: object
    ) -> HTTPMessageDelegate:
        """Pass a request on to the application.

        Parameters
        ----------
        server_conn : object
            Represents the connection.
        request_conn : tornado.httputil.HTTPConnection
            Represents the request.

        Returns
        -------
        tornado.httputil.HTTPMessageDelegate
            Handles the request.
        """
        if self._application is None:
            self._application = self._build()
        return self._application.start_request(server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Tell the application that a connection is closed.

        Parameters
        ----------
        server_conn : object
            Represents the connection.
        """
        if self._application is not None:
            self._application.on_close(server_conn)


def health_server(healthy: Callable[[], bool]) -> HTTPServer:
    """Return a server that answers any request with 200 or 503, and nothing more.

    Parameters
    ----------
    healthy : callable
        Returns whether to answer 200.

    Returns
    -------
    tornado.httpserver.HTTPServer
        The server, which does not listen yet.
    """
    return HTTPServer(partial(_answer_probe, healthy))


def _answer_probe(healthy: Callable[[], bool], request: HTTPServerRequest) -> None:
    status = 200 if healthy() else 503
    request.connection.write_headers(
        ResponseStartLine("HTTP/1.1", status, responses[status]),
        HTTPHeaders({"Content-Length": "0"}),
    )
    request.connection.finish()
