"""Reads the daemons' log lines: the history of a request, and the timeline."""

from __future__ import annotations

import datetime
import sys
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import msgspec
from fennelhill_core import codes

STANDARD_INPUT = "-"
# State changes are included from this long before a request's first line.  The loss
# of a leader is detected within 1 s, and it is replaced within 2 s.
CONTEXT_WINDOW_S = 3.0
KEY_REFUSED_CODE = codes.UNKNOWN_KEY.number
# Kinds of lines on the state of a host or of the fleet, not on a single request.
STATE_CHANGE_PREFIXES = (
    "leadership.",
    "lease.",
    "promotion.",
    "relay.",
    "target.",
    "store.",
    "catalog.",
    "fleet.",
    "daemon.",
)
PROMOTION_STEP_PREFIXES = (
    "lease.collected",
    "promotion.claim_of_older_era",
    "promotion.claimed",
    "promotion.demoted",
    "promotion.ordered",
    "promotion.finished",
)


class LogLine(msgspec.Struct):
    """One line of a daemon's log.

    Parameters
    ----------
    at : datetime.datetime
        Wall time of the host that wrote the line.
    message : str
        What happened, as ``area.event``, such as ``promotion.finished``.
    host : str
        Entry host that wrote the line.
    group : str
        Database group; empty where the line concerns none.
    request : str
        Request id; empty where the line concerns no request.
    detail : dict
        All other fields that are not empty, apart from level, zone and cause.
    """

    at: datetime.datetime
    message: str
    host: str = ""
    group: str = ""
    request: str = ""
    detail: dict[str, Any] = {}

    @classmethod
    def from_text(cls, text: str) -> LogLine | None:
        """Decode a line; a log collector's prefix is skipped.

        Parameters
        ----------
        text : str
            The line.

        Returns
        -------
        LogLine or None
            None if it is not a log line of a daemon.
        """
        start = text.find("{")
        if start < 0:
            return None
        try:
            fields = msgspec.json.decode(text[start:], type=dict[str, Any])
            line = msgspec.convert(fields, cls)
        except (msgspec.DecodeError, msgspec.ValidationError):
            return None
        excluded_fields = {*cls.__struct_fields__, "level", "zone", "cause"}
        line.detail = {
            name: value
            for name, value in fields.items()
            if name not in excluded_fields and value not in ("", None)
        }
        return line

    def render(self) -> str:
        """Format the line for people.

        Returns
        -------
        str
            Time, host, message, group and the other fields.
        """
        parts = [self.at.strftime("%H:%M:%S.%f")[:-3], f"{self.host:<12}", self.message]
        parts += [f"group={self.group}"] if self.group else []
        parts += [f"{name}={value}" for name, value in self.detail.items()]
        return " ".join(parts)

    @property
    def is_state_change(self) -> bool:
        """Whether the line is on the state of a host or of the fleet."""
        return self.message.startswith(STATE_CHANGE_PREFIXES)


def read_log(sources: Iterable[str]) -> Iterator[LogLine]:
    """Read log lines.

    Parameters
    ----------
    sources : iterable of str
        Paths of files; ``-`` is the standard input.

    Yields
    ------
    LogLine
        Each line that a daemon wrote; others are skipped.
    """
    for source in sources:
        if source == STANDARD_INPUT:
            yield from _decode(sys.stdin)
            continue
        with Path(source).open(encoding="utf-8", errors="replace") as lines:
            yield from _decode(lines)


def timeline(
    lines: Iterable[LogLine], group: str = "", kind: str = ""
) -> list[LogLine]:
    """Merge the state changes of all hosts into one timeline.

    Parameters
    ----------
    lines : iterable of LogLine
        Lines of all hosts.
    group : str
        Only lines of this database group; empty for all.
    kind : str
        Only lines whose message has this prefix; empty for all state changes.

    Returns
    -------
    list of LogLine
        The lines in order of time.
    """
    selected = [
        line
        for line in lines
        if line.message.startswith(kind)
        and (kind or line.is_state_change)
        and group in ("", line.group)
    ]
    return sorted(selected, key=lambda line: line.at)


def request_history(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Collect the lines that explain how a request ended.

    Parameters
    ----------
    lines : iterable of LogLine
        Lines of all hosts.
    request : str
        The request's id.

    Returns
    -------
    list of LogLine
        The request's own lines, and the state changes shortly before and between
        them that concern its groups or no group: all that its hosts logged, and the
        steps of a promotion on any host.  For a refused key also the installation of
        the configuration that was in force.  Empty if no line names the request.
    """
    all_lines = list(lines)
    request_lines = [line for line in all_lines if line.request == request]
    if not request_lines:
        return []
    window = datetime.timedelta(seconds=CONTEXT_WINDOW_S)
    first_at = min(line.at for line in request_lines) - window
    last_at = max(line.at for line in request_lines)
    groups = {line.group for line in request_lines} - {""}
    hosts = {line.host for line in request_lines}
    context = [
        line
        for line in all_lines
        if line.is_state_change
        and first_at <= line.at <= last_at
        and (line.group in groups or not line.group)
        and (line.host in hosts or line.message.startswith(PROMOTION_STEP_PREFIXES))
    ]
    context += _versions_of_refused_keys(request_lines, all_lines, first_at)
    return sorted(request_lines + context, key=lambda line: line.at)


def _versions_of_refused_keys(
    request_lines: list[LogLine], all_lines: list[LogLine], before: datetime.datetime
) -> list[LogLine]:
    """Return the installations that decided on refused keys, however long ago."""
    versions: dict[str, LogLine] = {}
    refused = [
        line for line in request_lines if line.detail.get("code") == KEY_REFUSED_CODE
    ]
    for host in {line.host for line in refused}:
        installed = [
            line
            for line in all_lines
            if line.host == host and line.message == "catalog.installed"
            if line.at < before
        ]
        if installed:
            versions[host] = max(installed, key=lambda line: line.at)
    return list(versions.values())


def _decode(texts: Iterable[str]) -> Iterator[LogLine]:
    for text in texts:
        line = LogLine.from_text(text)
        if line is not None:
            yield line
