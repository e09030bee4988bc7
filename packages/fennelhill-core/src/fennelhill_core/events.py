"""A bounded ring of events, from which the timeline is built."""

from __future__ import annotations

from collections import deque
from typing import Any

import msgspec
from loguru import logger

from fennelhill_core.clock import Clock

RING_EVENTS = 5_000


class Event(msgspec.Struct, omit_defaults=True):
    """One recorded decision or observation.

    Parameters
    ----------
    at_ms : int
        Hybrid logical time in milliseconds since the epoch.
    seq : int
        Orders events within the same millisecond.
    host : str
        Entry host that recorded the event.
    zone : str
        Availability zone of the entry host.
    kind : str
        What happened, as ``area.event``, such as ``failover.promoted``.
    group : str
        Database group; empty where the event concerns none.
    term : int
        Term of the group; 0 where the event concerns none.
    cause : str
        Id of the event that led to this one.
    detail : dict
        Further fields of the event.
    """

    at_ms: int
    seq: int
    host: str
    zone: str
    kind: str
    group: str = ""
    term: int = 0
    cause: str = ""
    detail: dict[str, Any] = {}

    @property
    def id(self) -> str:
        """Unique id of the event, for use as a cause."""
        return f"{self.host}/{self.at_ms}.{self.seq}"


class EventLog:
    """Keeps the latest events and stamps them with a hybrid logical clock.

    Times never go backwards on a host and are never behind a time that it has
    received from another host, so that causes sort before effects across hosts
    (Kulkarni and others, "Logical Physical Clocks", 2014).

    Parameters
    ----------
    host : str
        This entry host.
    zone : str
        Its availability zone.
    clock : Clock
        Source of wall time.
    """

    __slots__ = ("_at_ms", "_clock", "_ring", "_seq", "host", "zone")

    def __init__(self, host: str, zone: str, clock: Clock) -> None:
        self.host = host
        self.zone = zone
        self._clock = clock
        self._ring: deque[Event] = deque(maxlen=RING_EVENTS)
        self._at_ms = 0
        self._seq = 0

    def record(
        self, kind: str, group: str = "", term: int = 0, cause: str = "", **detail: Any
    ) -> str:
        """Record an event and log it.

        Parameters
        ----------
        kind : str
            What happened, as ``area.event``, such as ``failover.promoted``.
        group : str
            Database group; empty where the event concerns none.
        term : int
            Term of the group; 0 where the event concerns none.
        cause : str
            Id of the event that led to this one.
        **detail : object
            Further fields of the event.

        Returns
        -------
        str
            The event's id.
        """
        self._tick(self._clock.wall_ms())
        event = Event(
            self._at_ms, self._seq, self.host, self.zone, kind, group, term, cause
        )
        event.detail = detail
        self._ring.append(event)
        logger.bind(
            host=self.host,
            zone=self.zone,
            group=group,
            term=term,
            cause=cause,
            **detail,
        ).info(kind)
        return event.id

    def observe_remote_time(self, at_ms: int) -> None:
        """Advance the clock past a time that another host has sent.

        Parameters
        ----------
        at_ms : int
            Hybrid logical time of the other host.
        """
        self._tick(at_ms)

    def since(self, at_ms: int) -> list[Event]:
        """Return the events recorded at or after a time.

        Parameters
        ----------
        at_ms : int
            Hybrid logical time in milliseconds.

        Returns
        -------
        list of Event
            The events in order of time.
        """
        return [event for event in self._ring if event.at_ms >= at_ms]

    def _tick(self, at_ms: int) -> None:
        if at_ms > self._at_ms:
            self._at_ms = at_ms
            self._seq = 0
        else:
            self._seq += 1
