"""The record of what was sent, answered and run."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Lines with the time since the start, in order, for ``record.txt``."""

    def __init__(self) -> None:
        self._started_s = time.monotonic()
        self.entries: list[tuple[float, tuple[str, ...]]] = []

    def now_s(self) -> float:
        """Return the time since the start, in seconds."""
        return time.monotonic() - self._started_s

    def note(self, *words: str) -> float:
        """Add a line; return its time."""
        now_s = self.now_s()
        self.entries.append((now_s, words))
        return now_s

    def of(self, kind: str) -> list[tuple[float, tuple[str, ...]]]:
        """Return the lines that begin with a word."""
        return [entry for entry in self.entries if entry[1][0] == kind]

    def write(self, path: Path) -> None:
        """Write all lines to a file."""
        lines = [f"{at_s:9.4f}  {'  '.join(words)}\n" for at_s, words in self.entries]
        path.write_text("".join(lines))
