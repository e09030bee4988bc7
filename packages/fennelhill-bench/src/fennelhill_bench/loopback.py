"""Reserved ports of the loopback interface for servers that start later."""

from __future__ import annotations

import socket

LOOPBACK_IP = "127.0.0.1"


class ReservedPorts:
    """Reserves ports until they are released.

    A socket that never listens stays bound to each port. Meanwhile the kernel does not
    assign the port to another socket that asks for any free port, or to an outgoing
    connection. A server that sets ``SO_REUSEADDR``, as Tornado and asyncio do, can
    still listen on it. Without a reservation, a port that was looked up and closed
    again may be assigned a second time before its server starts.
    """

    __slots__ = ("_sockets",)

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def reserve(self) -> str:
        """Reserve a free port.

        Returns
        -------
        str
            Its address as ``ip:port``.

        Raises
        ------
        OSError
            No port is free.
        """
        reservation = socket.socket()
        self._sockets.append(reservation)
        reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        reservation.bind((LOOPBACK_IP, 0))
        return f"{LOOPBACK_IP}:{reservation.getsockname()[1]}"

    def release(self) -> None:
        """Release all ports."""
        while self._sockets:
            self._sockets.pop().close()
