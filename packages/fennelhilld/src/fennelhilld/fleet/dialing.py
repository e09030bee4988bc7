"""How a host opens streams to other hosts, which may run an older build."""

from __future__ import annotations

from collections.abc import Callable

from fennelhill_core.frames import FrameDialer
from fennelhill_core.streams import DialError, Stream
from loguru import logger

RELAY_PATH = "/relay"


def _announces_nothing(address: str) -> str:
    return ""


class FleetDialer:
    """Opens streams of frames to hosts that announce them, else WebSockets.

    A host that went back to an older build may still be announced as one that accepts
    frames, so a refusal is followed by a try with a WebSocket.

    Attributes
    ----------
    frame_address_of : callable
        Returns where the host with an address accepts frames; empty if it announces
        nothing.
    """

    __slots__ = ("_frames", "_web_sockets", "frame_address_of")

    def __init__(self) -> None:
        self.frame_address_of: Callable[[str], str] = _announces_nothing
        self._frames = FrameDialer()
        self._web_sockets = None

    async def dial(self, address: str, timeout_ms: float) -> Stream:
        """Open a stream.

        Parameters
        ----------
        address : str
            ``ip:port`` under which the host serves requests of other hosts.
        timeout_ms : float
            Time-out in milliseconds; `dial_within` enforces it for both tries.

        Returns
        -------
        Stream
            The open stream.

        Raises
        ------
        DialError
            If the host can't be reached.
        """
        frame_address = self.frame_address_of(address)
        if frame_address:
            try:
                return await self._frames.dial(frame_address, timeout_ms)
            except DialError as error:
                logger.debug("no frames at {}: {}", frame_address, error)
        if self._web_sockets is None:
            # Only a fleet with an older build needs it, and its import takes long.
            from fennelhill_core.websockets import WebSocketDialer

            self._web_sockets = WebSocketDialer(RELAY_PATH)
        return await self._web_sockets.dial(address, timeout_ms)
