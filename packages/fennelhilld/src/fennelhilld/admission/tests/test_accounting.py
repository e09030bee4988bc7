"""Tests of the accounts by organisation."""

from __future__ import annotations

from fennelhill_bench.session_simulation.simulation import SessionSimulation
from fennelhill_bench.virtual_time import run_virtual
from fennelhilld.admission.accounting import (
    BUSIEST,
    OTHERS,
    SPELL_MS,
    OrganisationLoad,
)
from fennelhilld.observability.gateway_metrics import render_metrics


class TestOrganisationLoad:
    def test_names_the_busiest_and_sums_the_rest(self):
        load = OrganisationLoad()
        for number in range(1, 101):
            load.record_service(f"org-{number}", float(number))
            for _ in range(number):
                load.record_throttled(f"org-{number}", "no_link", 0.0)
        rest = sum(range(1, 101 - BUSIEST))
        assert load.busiest_ms()[OTHERS] == rest
        assert len(load.busiest_ms()) == BUSIEST + 1
        assert load.most_throttled()[0] == ("org-100", "no_link", 100, 0.0)
        assert load.most_throttled()[BUSIEST:] == [(OTHERS, "no_link", rest, None)]

    def test_a_spell_ends_without_refusals(self):
        load = OrganisationLoad()
        for now_ms in (100.0, 100.0 + SPELL_MS, 200.0 + 3 * SPELL_MS):
            load.record_throttled("a", "expected_wait", now_ms)
        entry = load.throttled["a", "expected_wait"]
        assert (entry.count, entry.since_ms) == (3, 200.0 + 3 * SPELL_MS)

    def test_nothing_is_kept_without_organisations(self):
        load = OrganisationLoad()
        load.record_service("", 5.0)
        load.record_throttled("", "no_link", 0.0)
        assert (load.busiest_ms(), load.most_throttled()) == ({}, [])


class TestMetrics:
    def test_name_who_was_throttled_by_what(self):
        async def main():
            simulation = SessionSimulation(1, hosts=1)
            gateway = simulation.gateways[0]
            load = gateway.env.policies.organisation_load
            load.record_service("a", 70.0)
            load.record_throttled("a", "no_link", gateway.env.clock.now_ms())
            text = render_metrics(gateway).decode()
            simulation.close()
            return [line for line in text.splitlines() if 'organisation="a"' in line]

        service, since, total = sorted(run_virtual(main()))
        assert service.startswith("fennelhill_organisation_ms_total")
        assert since.startswith("fennelhill_throttled_since_ms")
        assert total.startswith("fennelhill_throttled_total")
        assert 'decision="no_link"' in total
