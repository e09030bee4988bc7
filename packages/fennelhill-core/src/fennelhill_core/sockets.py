"""TCP sockets that detect an unreachable peer, and an HTTP client that uses them."""

from __future__ import annotations

import socket
from typing import Any

from tornado.iostream import IOStream
from tornado.netutil import Resolver
from tornado.simple_httpclient import SimpleAsyncHTTPClient
from tornado.tcpclient import TCPClient

# The loss of an idle connection's peer is detected after 3 s, which leaves time to
# reconnect within the users' limit of 4 s.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# A connection fails if sent data stays unacknowledged for this long; a round trip
# between zones takes 3 ms and a lost packet is retransmitted after 200 ms.
TCP_USER_TIMEOUT_MS = 1_500
# Limit of one HTTP client.  A request whose caller has given it up counts until its own
# time limit, so long polls need a client of their own.
MAX_CONCURRENT_REQUESTS = 30
MAX_PORT = 65_535
MAX_QUOTED_CHARS = 40  # of an invalid address, in the text of an error


class InvalidAddressError(OSError, ValueError):
    """An address is not of the form ``ip:port``; nothing can be sent there."""


def split_address(address: str) -> tuple[str, int]:
    """Split the address of a server; names of hosts are not looked up.

    Parameters
    ----------
    address : str
        An IPv4 address and a port, ``ip:port``.

    Returns
    -------
    ip : str
        The IPv4 address.
    port : int
        The port, from 1 to `MAX_PORT`.

    Raises
    ------
    InvalidAddressError
        If it is not of that form.

    Examples
    --------
    >>> split_address("10.0.0.1:8080")
    ('10.0.0.1', 8080)
    """
    ip, _, text = address.rpartition(":")
    is_number = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_PORT))
    port = int(text) if is_number else 0
    if not 0 < port <= MAX_PORT or not _is_ipv4(ip):
        raise InvalidAddressError(f"invalid address: {address[:MAX_QUOTED_CHARS]!r}")
    return ip, port


def _is_ipv4(ip: str) -> bool:
    try:
        socket.inet_pton(socket.AF_INET, ip)
    except (OSError, ValueError):
        return False
    return True


def set_tcp_timeouts(sock: socket.socket) -> None:
    """Set options so that a socket fails soon after its peer stops answering.

    Nagle's algorithm is disabled too.

    Parameters
    ----------
    sock : socket.socket
        A TCP socket.
    """
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


async def connect_stream(address: str) -> IOStream:
    """Connect to ``ip:port``; the caller sets the time limit.

    Parameters
    ----------
    address : str
        Address of the server.

    Returns
    -------
    tornado.iostream.IOStream
        The open stream.

    Raises
    ------
    OSError
        If the connection can't be opened, also if the address is invalid.
    """
    target = split_address(address)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    set_tcp_timeouts(sock)
    stream = IOStream(sock)
    try:
        return await stream.connect(target)
    except BaseException:
        stream.close()
        raise


class NumericResolver(Resolver):
    """Returns addresses unchanged: the settings contain IP addresses only."""

    async def resolve(
        self, host: str, port: int, family: socket.AddressFamily = socket.AF_INET
    ) -> list[tuple[int, Any]]:
        """Return the address unchanged.

        Parameters
        ----------
        host : str
            An IP address.
        port : int
            A port.
        family : socket.AddressFamily
            Ignored.

        Returns
        -------
        list of tuple
            One address.
        """
        return [(socket.AF_INET, (host, port))]


class _KeepaliveTCPClient(TCPClient):
    """Opens the HTTP client's connections with TCP time-outs set."""

    async def connect(self, *args: Any, **kwargs: Any) -> IOStream:
        stream = await super().connect(*args, **kwargs)
        set_tcp_timeouts(stream.socket)
        return stream


def http_client(max_requests: int = MAX_CONCURRENT_REQUESTS) -> SimpleAsyncHTTPClient:
    """Return an HTTP client that opens a connection for each call.

    A reused connection may have failed without notice; a new one costs one round trip.

    Parameters
    ----------
    max_requests : int
        Requests in progress at a time; further ones wait.

    Returns
    -------
    tornado.simple_httpclient.SimpleAsyncHTTPClient
        The client.
    """
    resolver = NumericResolver()
    client = SimpleAsyncHTTPClient(
        force_instance=True, max_clients=max_requests, resolver=resolver
    )
    client.tcp_client = _KeepaliveTCPClient(resolver=resolver)
    return client
