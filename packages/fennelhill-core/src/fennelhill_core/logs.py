"""Structured logs: one JSON object a line on standard error."""

from __future__ import annotations

import sys

import msgspec
from loguru import logger


def configure_logs(level: str = "INFO") -> None:
    """Send all logs to standard error as JSON lines.

    Parameters
    ----------
    level : str
        Least severe level that is written.
    """
    logger.remove()
    logger.add(_write_line, level=level, format="{message}", catch=False)


def _write_line(message: object) -> None:
    record = message.record  # type: ignore[attr-defined]
    line = {
        "at": record["time"].isoformat(),
        "level": record["level"].name,
        "message": record["message"],
        **record["extra"],
    }
    if record["exception"] is not None:
        line["exception"] = repr(record["exception"].value)
    sys.stderr.write(msgspec.json.encode(line, enc_hook=str).decode() + "\n")
