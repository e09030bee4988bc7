"""Tests of taking in documents of the catalog."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from fennelhill_bench.virtual_time import VirtualClock, run_virtual
from fennelhill_core.events import EventLog
from fennelhilld.catalog.intake import (
    CatalogDraft,
    CatalogIntake,
    PeerAnswer,
    RevocationBounds,
)
from fennelhilld.catalog.organisations import OrganisationEntry
from fennelhilld.catalog.state import Catalog, CatalogHolder


def decode(document):
    if document == b"bug":
        raise KeyError("a key of the document")
    version, count = msgspec.json.decode(document, type=tuple[int, int])
    entries = (
        OrganisationEntry(f"o{number}", [f"k{number}"]) for number in range(count)
    )
    return CatalogDraft(Catalog(version, {}, {}), entries)


class IntakeFixture:
    def __init__(self, bounds=RevocationBounds()):  # noqa: B008
        self.clock = VirtualClock()
        self.events = EventLog("h", "z", self.clock)
        self.holder = CatalogHolder()
        self.intake = CatalogIntake(
            self.holder,
            lambda catalog: self.holder.install(catalog, self.clock.now_ms()),
            decode,
            self.clock,
            self.events,
            bounds,
        )

    def kinds(self):
        return [event.kind for event in self.events.since(0)]

    async def settle(self):
        await self.clock.sleep_ms(1.0)


class TestDocuments:
    def test_are_taken_in_in_order_and_never_go_back(self):
        async def main():
            fixture = IntakeFixture()
            for document in (b"[2, 3]", b"bug", b"{", b"[1, 9]", b"[4, 1]"):
                fixture.intake.offer(document, "store")
            await fixture.settle()
            assert fixture.holder.version == 4
            assert len(fixture.holder.current.keys) == 1
            assert fixture.intake.newer_document(3) == b"[4, 1]"
            assert fixture.intake.newer_document(4) == b""
            reasons = [event.detail["reason"] for event in fixture.events.since(0)]
            assert reasons[0] == "KeyError"  # Not its text, which may quote a key.
            assert len(reasons) == 2

        run_virtual(main())

    def test_with_many_organisations_give_way_to_other_work(self):
        async def main():
            fixture = IntakeFixture()
            fixture.intake.offer(b"[1, 2000]", "store")
            turns = 0
            while fixture.holder.current is None:
                await asyncio.sleep(0)
                turns += 1
            assert turns >= 20

        run_virtual(main())


class TestAge:
    @pytest.mark.parametrize("strict", [True, False])
    def test_is_logged_once_and_binds_strict_hosts_only(self, strict):
        async def main():
            fixture = IntakeFixture(RevocationBounds(strict, 3_000.0))
            intake = fixture.intake
            intake.record_heard()
            asked = asyncio.ensure_future(
                intake.ask_while_store_fails(lambda: True, ask_nobody)
            )
            await fixture.clock.sleep_ms(2_500.0)
            assert not intake.outdated
            await fixture.clock.sleep_ms(5_000.0)
            assert intake.outdated is strict
            intake.record_heard()
            await fixture.clock.sleep_ms(1_500.0)
            assert not intake.outdated
            assert fixture.kinds() == ["catalog.outdated", "catalog.confirmed"]
            asked.cancel()

        run_virtual(main())

    def test_is_that_of_the_host_that_answered(self):
        async def main():
            fixture = IntakeFixture(RevocationBounds(True, 3_000.0))

            async def ask(version, on_answer):
                await fixture.clock.sleep_ms(200.0)
                on_answer(PeerAnswer(2_000.0, b"[3, 1]"))

            asked = asyncio.ensure_future(
                fixture.intake.ask_while_store_fails(lambda: True, ask)
            )
            await fixture.clock.sleep_ms(1_250.0)
            assert fixture.holder.version == 3
            assert 2_200.0 <= fixture.intake.age_ms <= 2_300.0
            asked.cancel()

        run_virtual(main())

    def test_has_no_limit_unless_the_settings_give_one(self):
        assert RevocationBounds().max_age_ms is None
        assert RevocationBounds(True, 0.0).max_age_ms == 5_000.0


async def ask_nobody(version, on_answer):
    return
