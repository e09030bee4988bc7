"""Structured logs: one JSON object per line, rate-limited and non-blocking."""

from __future__ import annotations

import os
import sys
import time
from typing import TextIO

import msgspec
from loguru import logger

# A daemon serves a few hundred statements a second; its log lines in normal operation
# stay below this limit, which bounds the cost of a flood of refusals.
MAX_LINES_PER_S = 100
# Added to the limit for lines that do not concern a single request.
RESERVED_LINES_PER_S = 50
REQUEST_KIND_PREFIX = "request."
MAX_QUOTED_CHARS = 200  # of a value that JSON can't hold


class LineRateLimiter:
    """Limits the log lines per second, and counts the dropped ones.

    Lines on single requests are dropped first, so that a flood of them does not
    hide a change of leader or of configuration.
    """

    __slots__ = ("_lines_this_second", "_second", "dropped")

    def __init__(self) -> None:
        self._second = 0
        self._lines_this_second = 0
        self.dropped = 0

    def admit(self, message: str, now_s: float) -> bool:
        """Count a line and return whether it may be written now.

        Parameters
        ----------
        message : str
            Message of the line: the kind of the event.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        bool
            False if the limit for this second is reached.
        """
        second = int(now_s)
        if second != self._second:
            self._second = second
            self._lines_this_second = 0
        limit = MAX_LINES_PER_S
        if not message.startswith(REQUEST_KIND_PREFIX):
            limit += RESERVED_LINES_PER_S
        if self._lines_this_second >= limit:
            self.dropped += 1
            return False
        self._lines_this_second += 1
        return True

    def take_dropped(self) -> int:
        """Return the number of lines dropped since the last call.

        Returns
        -------
        int
            The number of lines; it counts from zero again.
        """
        dropped, self.dropped = self.dropped, 0
        return dropped


class BoundedSink:
    """Writes JSON lines to a file descriptor without blocking the daemon.

    Parameters
    ----------
    descriptor : int
        The file descriptor; it is made non-blocking.
    """

    __slots__ = ("_descriptor", "_limiter")

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._limiter = LineRateLimiter()
        os.set_blocking(descriptor, False)

    def write(self, message: object) -> None:
        """Write a record, or count it as dropped.

        Parameters
        ----------
        message : loguru message
            The record.
        """
        record = message.record  # type: ignore[attr-defined]
        if not self._limiter.admit(record["message"], time.monotonic()):
            return
        line = _encode(record)
        dropped = self._limiter.take_dropped()
        if dropped:
            line["lines_left_out"] = dropped
        text = _encode_line(line)
        try:
            os.write(self._descriptor, text + b"\n")
        except OSError:
            # The log is not being read now.  The next line reports the count.
            self._limiter.dropped += dropped + 1


def configure_logs(level: str = "INFO", stream: TextIO | None = None) -> None:
    """Send all logs to a stream as JSON lines.

    Parameters
    ----------
    level : str
        Lowest level that is written.
    stream : TextIO or None
        Output stream; standard error if None.
    """
    sink = BoundedSink((stream or sys.stderr).fileno())
    logger.remove()
    # Diagnosis would add the values of variables, such as keys, to exceptions.
    logger.add(
        sink.write,
        level=level,
        format="{message}",
        catch=False,
        backtrace=False,
        diagnose=False,
    )


def _plain(value: object) -> int | str:
    """Return a value that JSON can hold, for one of another type."""
    return int(value) if isinstance(value, int) else str(value)


def _encode_line(line: dict) -> bytes:
    try:
        return msgspec.json.encode(line, enc_hook=_plain)
    except (ValueError, OverflowError, RecursionError):
        # Whoever logs must not fail because of what others have sent.
        return msgspec.json.encode({name: _quote(line[name]) for name in line})


def _quote(value: object) -> str:
    """Return a text of ASCII characters for a value that JSON may not hold."""
    if isinstance(value, str) and value.isascii():
        return value
    try:
        return ascii(value)[:MAX_QUOTED_CHARS]
    except (ValueError, RecursionError):
        return f"<{type(value).__name__}>"


def _encode(record: dict) -> dict:
    line = {
        "at": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "message": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    return line
