"""Tests of the load that owners report, and of what hosts do with it."""

from __future__ import annotations

import asyncio

import pytest
from fennelhill_bench.session_simulation.simulation import SessionSimulation
from fennelhill_bench.virtual_time import VirtualClock, run_virtual
from fennelhilld.links.messages import Command, CommandKind, NoLinkError, Urgency
from fennelhilld.relay.driver import RelayLink
from fennelhilld.relay.messages import LoadReport, RelayBatch, RelayResult
from fennelhilld.relay.reports import MAX_REPORT_AGE_MS, MIN_REPORTS, LoadReports

BATCH = RelayBatch("g0", "g0-0", [], 100.0, 100.0, organisation="a")


class TestLoadReports:
    def test_wait_shrinks_with_age_and_is_forgotten(self):
        # Guards against refusals for a queue that has been worked off.
        async def main():
            reports = LoadReports(VirtualClock())
            reports.record("h1", BATCH, LoadReport(9, 3_000.0, 15.0, age_ms=100.0))
            assert reports.expected_wait_ms("h1", BATCH) == pytest.approx(2_900.0)
            await asyncio.sleep(0.4)
            assert reports.expected_wait_ms("h1", BATCH) == pytest.approx(2_500.0)
            await asyncio.sleep(MAX_REPORT_AGE_MS / 1_000)
            assert reports.expected_wait_ms("h1", BATCH) == 0.0

        run_virtual(main())

    def test_concern_one_owner_target_and_organisation(self):
        async def main():
            reports = LoadReports(VirtualClock())
            reports.record("h1", BATCH, LoadReport(9, 500.0))
            other = RelayBatch("g0", "g0-0", [], 100.0, 100.0, organisation="b")
            assert reports.expected_wait_ms("h1", other) == 0.0
            assert reports.expected_wait_ms("h2", BATCH) == 0.0

        run_virtual(main())

    def test_old_ones_do_not_fill_the_memory(self):
        async def main():
            reports = LoadReports(VirtualClock())
            for number in range(20 * MIN_REPORTS):
                await asyncio.sleep(0.1)
                reports.record(f"h{number}", BATCH, LoadReport(1))
            assert len(reports._reports) <= MIN_REPORTS + 1

        run_virtual(main())


class TestRelayLink:
    def test_refuses_before_the_hop_only_while_all_owners_report_too_long_waits(
        self, monkeypatch
    ):
        async def main():
            simulation = SessionSimulation(1, hosts=24)
            await asyncio.sleep(1.0)
            gateway = next(
                gateway
                for gateway in simulation.gateways
                if not gateway.owns(gateway.directory.get("g0-0"))
            )
            link = await gateway._driver.open("g0", "g0-0", "", 100.0)
            owners, called = [name for name, _ in link._owners("a")], []

            async def call(self, name, client, batch):
                called.append(name)
                return RelayResult(error="no link", not_run=True, expected_ms=5.0)

            monkeypatch.setattr(RelayLink, "_call", call)
            begin = [Command(CommandKind.BEGIN_READ_ONLY)]
            urgency = Urgency(200.0, 1, 150.0, "a")
            batch = RelayBatch("g0", "g0-0", [], 0.0, 0.0, 1, organisation="a")
            for name in owners[:-1]:
                link._streams.reports.record(name, batch, LoadReport(50, 900.0))
            with pytest.raises(NoLinkError):
                await link.send(begin, urgency)
            assert called == owners[-1:]
            link._streams.reports.record(owners[-1], batch, LoadReport(50, 700.0))
            with pytest.raises(NoLinkError) as refusal:
                await link.send(begin, urgency)
            assert called == owners[-1:]
            assert refusal.value.expected_ms == pytest.approx(700.0)
            simulation.close()

        run_virtual(main())

    def test_answers_carry_the_owners_load(self):
        async def main():
            simulation = SessionSimulation(1, hosts=24)
            await asyncio.sleep(1.0)
            gateway = next(
                gateway
                for gateway in simulation.gateways
                if not gateway.owns(gateway.directory.get("g0-0"))
            )
            client = simulation.client(gateway, simulation.databases[0])
            assert (await client.read()).code is None
            reports = gateway._relay_driver._streams.reports._reports
            assert [report.service_ms > 0 for report, _ in reports.values()] == [True]
            simulation.close()

        run_virtual(main())
