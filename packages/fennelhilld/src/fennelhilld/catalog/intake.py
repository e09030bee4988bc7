"""Takes in documents of the catalog, from the store and from other hosts."""

from __future__ import annotations

import asyncio
import math
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from functools import partial

import msgspec
from fennelhill_core.clock import Clock
from fennelhill_core.events import EventLog
from fennelhill_core.tasks import Tasks

from fennelhilld.catalog.organisations import OrganisationEntry, OrganisationTable
from fennelhilld.catalog.state import Catalog, CatalogHolder

# Entries that are taken in before other work of the event loop gets its turn; 100
# entries with 200 keys take under a millisecond of a core.
ENTRIES_PER_SLICE = 100
MAX_LOGGED_DEFECTS = 20  # for each version; the others are counted
# Pause between questions to other hosts while the store turns this host away.
ASK_INTERVAL_MS = 1_000.0
MAX_QUESTIONS = 4  # unanswered at a time
# How long a strict host relies on what it knows, unless the settings say otherwise: a
# version must be in force within this time.
DEFAULT_REVOKE_MS = 5_000.0


class CatalogDraft(msgspec.Struct):
    """A decoded document whose organisations are not checked yet.

    Parameters
    ----------
    catalog : Catalog
        Everything but the organisations.
    entries : iterable or None
        `OrganisationEntry`, or None for one that can't be decoded; decoded one by one.
        None as a whole if the configuration knows no organisations.
    """

    catalog: Catalog
    entries: Iterable[OrganisationEntry | None] | None = None


class PeerAnswer(msgspec.Struct):
    """What another host answers when asked for a newer document.

    Parameters
    ----------
    age_ms : float
        How long ago that host last heard from the store or from another host.
    document : bytes
        A newer document; empty if that host has none.
    """

    age_ms: float
    document: bytes = b""


class RevocationBounds(msgspec.Struct, frozen=True):
    """How long a host may rely on a catalog that nobody confirms.

    Parameters
    ----------
    strict : bool
        Whether operations are refused after that; otherwise it is only logged.
    revoke_ms : float or None
        The time in milliseconds; None or 0 if the settings give none.
    """

    strict: bool = False
    revoke_ms: float | None = None

    @property
    def max_age_ms(self) -> float | None:
        """The time that applies, in milliseconds; None if there is no limit."""
        if self.revoke_ms is not None and self.revoke_ms > 0:
            return self.revoke_ms
        return DEFAULT_REVOKE_MS if self.strict else None


class CatalogIntake:
    """Decodes documents one at a time, installs newer ones, and knows their age.

    A document may list 10,000 organisations, so decoding gives way to requests after
    every slice of them.  A document that can't be decoded leaves the version in force.

    Parameters
    ----------
    holder : CatalogHolder
        The catalog in force.
    install : callable
        Installs a catalog if it is newer, and returns whether it did.
    decode : callable
        Decodes a document to a `CatalogDraft`; raises ``msgspec.DecodeError``.
    clock : Clock
        Source of time.
    events : EventLog
        Records unreadable documents and defects.
    bounds : RevocationBounds
        How long the catalog in force may be relied on.
    """

    def __init__(
        self,
        holder: CatalogHolder,
        install: Callable[[Catalog], bool],
        decode: Callable[[bytes], CatalogDraft],
        clock: Clock,
        events: EventLog,
        bounds: RevocationBounds = RevocationBounds(),  # noqa: B008 (immutable)
    ) -> None:
        self._holder = holder
        self._install = install
        self._decode = decode
        self._clock = clock
        self._events = events
        self._pending: deque[tuple[bytes, str]] = deque()
        self._worker: asyncio.Task | None = None
        self._known_defects: set[str] = set()
        self._unreadable = ""
        self._heard_ms = float("-inf")
        self._age_recorded = False
        self._tasks = Tasks()
        self.bounds = bounds
        # Text of the version in force, which other hosts may ask for.
        self.document = b""

    @property
    def age_ms(self) -> float:
        """Time since something was last heard; infinite if nothing was yet."""
        return self._clock.boottime_ms() - self._heard_ms

    @property
    def outdated(self) -> bool:
        """Whether operations that need a key must be refused."""
        return self.bounds.strict and self.age_ms > self.bounds.max_age_ms

    def record_heard(self, age_ms: float = 0.0) -> None:
        """Record that nothing newer was known to the store or to another host.

        Parameters
        ----------
        age_ms : float
            How long ago that was.
        """
        self._heard_ms = max(self._heard_ms, self._clock.boottime_ms() - age_ms)

    def offer(self, document: bytes, source: str) -> None:
        """Take in a document after those that were offered before.

        Parameters
        ----------
        document : bytes
            The document, which may be malformed.
        source : str
            Where it is from, for log lines.
        """
        self._pending.append((document, source))
        if self._worker is None or self._worker.done():
            self._worker = self._tasks.spawn(self._take_in_pending())

    def newer_document(self, version: int) -> bytes:
        """Return the document in force if it is newer.

        Parameters
        ----------
        version : int
            The version that the asking host has.

        Returns
        -------
        bytes
            Empty if it is not newer.
        """
        return self.document if self._holder.version > version else b""

    async def ask_while_store_fails(
        self,
        store_fails: Callable[[], bool],
        ask: Callable[[int, Callable[[PeerAnswer], None]], Awaitable[None]],
    ) -> None:
        """Ask other hosts for newer documents while the store turns this host away.

        A slow answer delays neither those of other hosts nor the next question.

        Parameters
        ----------
        store_fails : callable
            Whether the store's feed of the catalog fails now.
        ask : callable
            Asks some hosts for documents after a version, and passes on each answer.
        """
        questions = Tasks()
        try:
            while True:
                await self._clock.sleep_ms(ASK_INTERVAL_MS)
                failing = store_fails()
                self._record_age(failing)
                if failing and len(questions) < MAX_QUESTIONS:
                    on_answer = partial(self._on_answer, self._clock.boottime_ms())
                    questions.spawn(ask(self._holder.version, on_answer))
        finally:
            questions.cancel()

    def _on_answer(self, asked_ms: float, answer: PeerAnswer) -> None:
        waited_ms = self._clock.boottime_ms() - asked_ms
        self.record_heard(answer.age_ms + waited_ms)
        if answer.document and answer.document != self.document:
            self.offer(answer.document, "peer")

    def _record_age(self, store_fails: bool) -> None:
        """Log once when nothing was heard for too long, and once when it was again."""
        limit_ms = self.bounds.max_age_ms
        late = limit_ms is not None and self.age_ms > limit_ms
        outdated = late and (store_fails or self.bounds.strict)
        if outdated != self._age_recorded:
            self._age_recorded = outdated
            self._events.record(
                "catalog.outdated" if outdated else "catalog.confirmed",
                version=self._holder.version,
                age_ms=round(self.age_ms) if math.isfinite(self.age_ms) else None,
                refusing=self.outdated,
            )

    def close(self) -> None:
        """Cancel all tasks."""
        self._tasks.cancel()

    async def _take_in_pending(self) -> None:
        while self._pending:
            document, source = self._pending.popleft()
            try:
                await self._take_in(document, source)
            except msgspec.DecodeError as error:
                self._record_unreadable(source, str(error))
            except Exception as error:
                # The text of an unforeseen error might quote the document and its keys.
                self._record_unreadable(source, type(error).__name__)

    async def _take_in(self, document: bytes, source: str) -> None:
        draft = self._decode(document)
        catalog = draft.catalog
        self._unreadable = ""
        current = self._holder.current
        if current is not None and catalog.version <= current.version:
            self._install(catalog)  # Only records that it was ignored.
            return
        if draft.entries is not None:
            catalog = await self._with_organisations(catalog, draft.entries)
        if self._install(catalog):
            self.document = document

    async def _with_organisations(
        self, catalog: Catalog, entries: Iterable[OrganisationEntry | None]
    ) -> Catalog:
        current = self._holder.current
        table = OrganisationTable(current.organisations if current else None)
        for number, entry in enumerate(entries, 1):
            table.add(entry)
            if number % ENTRIES_PER_SLICE == 0:
                await asyncio.sleep(0)
        self._record_defects(catalog.version, table.defects)
        return msgspec.structs.replace(
            catalog, organisations=table.organisations, keys=table.keys
        )

    def _record_defects(self, version: int, defects: list[str]) -> None:
        distinct = dict.fromkeys(defects)
        new = [defect for defect in distinct if defect not in self._known_defects]
        self._known_defects = set(distinct)
        for defect in new[:MAX_LOGGED_DEFECTS]:
            self._events.record("catalog.defect", version=version, reason=defect)
        if len(new) > MAX_LOGGED_DEFECTS:
            more = len(new) - MAX_LOGGED_DEFECTS
            self._events.record("catalog.more_defects", version=version, more=more)

    def _record_unreadable(self, source: str, reason: str) -> None:
        if reason != self._unreadable:
            self._unreadable = reason
            self._events.record(
                "catalog.unreadable",
                source=source,
                reason=reason,
                version_in_force=self._holder.version,
            )
