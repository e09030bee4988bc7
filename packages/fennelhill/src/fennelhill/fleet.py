"""Queries all daemons of a fleet, and merges their events into one timeline."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import msgspec
from fennelhill_core.events import Event
from fennelhill_core.settings import EntryHost, Settings
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

TIMEOUT_S = 3.0
MS_PER_S = 1000
MAX_INDENT_DEPTH = 8  # longest chain of causes shown by indentation


class HostReply(msgspec.Struct):
    """The answer of one daemon, or why there is none.

    Parameters
    ----------
    host : EntryHost
        The entry host.
    body : bytes
        The answer; empty where there was none.
    problem : str
        Why there was no answer; empty where there was one.
    """

    host: EntryHost
    body: bytes = b""
    problem: str = ""


async def fetch_from_all(settings: Settings, path: str) -> list[HostReply]:
    """Fetch the same path from every daemon.

    Parameters
    ----------
    settings : Settings
        The settings, which list the entry hosts.
    path : str
        The path.

    Returns
    -------
    list of HostReply
        The replies, in the order of the settings.  A host that does not answer has
        a problem instead of a body; the replies of the others are still returned.
        An HTTP error with a body counts as an answer.
    """
    return await fetch_from_hosts(settings.entry_hosts, path)


async def fetch_from_hosts(hosts: Sequence[EntryHost], path: str) -> list[HostReply]:
    """Fetch the same path from some daemons.

    Parameters
    ----------
    hosts : sequence of EntryHost
        The entry hosts.
    path : str
        The path.

    Returns
    -------
    list of HostReply
        As `fetch_from_all`.
    """
    client = AsyncHTTPClient()

    async def ask(host: EntryHost) -> HostReply:
        url = f"http://{host.address}{path}"
        try:
            response = await client.fetch(
                url, request_timeout=TIMEOUT_S, raise_error=False
            )
        except (HTTPClientError, OSError) as error:
            return HostReply(host, problem=str(error))
        if response.error is not None and not response.body:
            return HostReply(host, problem=str(response.error))
        return HostReply(host, response.body)

    return list(await asyncio.gather(*(ask(host) for host in hosts)))


def merge_events(replies: list[HostReply]) -> list[Event]:
    """Merge the events of all daemons into one timeline.

    Parameters
    ----------
    replies : list of HostReply
        Answers to ``/events``.

    Returns
    -------
    list of Event
        Ordered by hybrid logical time, so that causes precede effects.
    """
    events = []
    for reply in replies:
        if reply.body:
            events += msgspec.json.decode(reply.body, type=list[Event])
    return sorted(events, key=lambda event: (event.at_ms, event.seq, event.host))


def render_event(event: Event, events_by_id: dict[str, Event]) -> str:
    """Format an event as one human-readable line.

    Parameters
    ----------
    event : Event
        The event.
    events_by_id : dict
        All events by id, to look up causes.

    Returns
    -------
    str
        The line; effects are indented under their causes.
    """
    depth, cause = 0, events_by_id.get(event.cause)
    while cause is not None and depth < MAX_INDENT_DEPTH:
        depth, cause = depth + 1, events_by_id.get(cause.cause)
    group_and_term = f"{event.group} term {event.term}" if event.group else ""
    detail = " ".join(f"{name}={value}" for name, value in event.detail.items())
    columns = ["  " * depth + event.kind, group_and_term, detail]
    text = "  ".join(column for column in columns if column)
    return f"{event.at_ms / MS_PER_S:.3f} {event.host:<10} {text}"
