"""Stand-in of a client, over the line protocol."""

from __future__ import annotations

import asyncio
import itertools
from typing import NamedTuple

from review.stand_ins.record import Record


class Answer(NamedTuple):
    """The answer to a statement.

    Attributes
    ----------
    complete : bool
        Whether it ended with READY.
    word : str
        ``COMPLETE`` or the code of the error; empty if the connection ended first.
    rows : list of str
        The rows.
    state : str
        State of the session; empty if the answer is not complete.
    """

    complete: bool
    word: str
    rows: list[str]
    state: str


class Client:
    """One session.

    Parameters
    ----------
    record : Record
        Gets what is sent and answered.
    """

    numbers = itertools.count(1)

    def __init__(self, record: Record) -> None:
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        # Whether the daemon has closed its side.
        self.ended = False

    async def start(self, address: str, database: str) -> bool:
        """Connect and start the session; return whether it is ready."""
        ip, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(2.0):
                self._reader, self._writer = await asyncio.open_connection(
                    ip, int(port)
                )
                self._writer.write(f"STARTUP {database} u1\r\n".encode())
                line = await self._line()
        except (OSError, TimeoutError):
            return False
        return line.startswith("READY I")

    async def ask(self, text: str, limit_s: float = 10.0) -> tuple[str, Answer]:
        """Run a statement; return its id and its answer."""
        request_id = f"q{next(self.numbers):06d}"
        self._record.note("sent", request_id, text)
        rows: list[str] = []
        word = state = ""
        try:
            self._writer.write(f"QUERY {request_id} {text}\r\n".encode())
            async with asyncio.timeout(limit_s):
                while not state:
                    line = await self._line()
                    if not line:
                        break
                    keyword, _, rest = line.partition(" ")
                    if keyword == "DATAROW":
                        rows.append(rest)
                    elif keyword == "COMPLETE":
                        word = keyword
                    elif keyword == "ERROR":
                        word = rest.split(" ")[0]
                    elif keyword == "READY":
                        state = rest.split(" ")[0]
        except TimeoutError:
            word = ""
        answer = Answer(bool(state), word if state else "", rows, state)
        shown = f"{answer.word} {state}" if state else "connection ended"
        self._record.note("answered", request_id, shown)
        return request_id, answer

    async def closed_while_idle(self, wait_s: float) -> bool:
        """Wait without a request outstanding; return whether the daemon closed."""
        if self._reader.at_eof():
            return True
        try:
            async with asyncio.timeout(wait_s):
                self.ended = not await self._reader.read(1)
        except TimeoutError:
            return False
        return self.ended

    def close(self) -> None:
        """End the session."""
        if self._writer is not None:
            self._writer.close()

    async def _line(self) -> str:
        try:
            return (await self._reader.readuntil(b"\r\n"))[:-2].decode()
        except (asyncio.IncompleteReadError, ConnectionError):
            self.ended = True
            return ""
