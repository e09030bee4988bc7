"""Metrics of the session gateway, rendered at each scrape."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from fennelhill_core.codes import CODES

if TYPE_CHECKING:
    from collections.abc import Callable

    from aioprometheus import Gauge

    from fennelhilld.gateway import SessionGateway
    from fennelhilld.quotas.service import QuotaService


# Organisations with labels of their own; the rest is summed, so that the number of
# series does not grow with the number of organisations.
LABELLED_ORGANISATIONS = 10
OTHER_ORGANISATIONS = "(others)"

# Fields of `PoolCounters`; set-ups are those that were opened, refused or too many.
LINK_EVENTS = (
    "opened",
    "refused",
    "too_many",
    "turned_away",
    "lost",
    "displaced",
    "ended",
)


def render_metrics(gateway: SessionGateway) -> bytes:
    """Render counters and gauges in the Prometheus format.

    The metrics library is slow to import, and other processes wait for a daemon to
    start; so it is imported at the first scrape.

    Parameters
    ----------
    gateway : SessionGateway
        The session gateway of this host.

    Returns
    -------
    bytes
        The text format.
    """
    from aioprometheus import Gauge, Registry
    from aioprometheus.renderer import render

    registry = Registry()
    labels = {"host": gateway.host, "zone": gateway.zone}

    gauge = partial(Gauge, const_labels=labels, registry=registry)
    counters = gateway.env.counters
    statements = gauge("fennelhill_statements_total", "Statements by how they ended.")
    for kind, count in counters.totals().items():
        statements.set({"kind": kind}, count)
    failures = gauge("fennelhill_failures_total", "Failed statements by result code.")
    for number, count in counters.failures.items():
        failures.set({"code": str(number), "name": CODES[number].name}, count)
    latency = gauge("fennelhill_statement_ms_bucket", "Statements by time to answer.")
    for bound_ms, count in counters.latency.cumulative():
        latency.set({"le": bound_ms}, count)
    links = gauge("fennelhill_links", "Links to targets by state.")
    windows = gauge("fennelhill_window", "Requests that a target may get at a time.")
    response_ms = gauge(
        "fennelhill_target_ms", "Mean time of a target for a statement."
    )
    link_events = gauge(
        "fennelhill_links_total", "Links to targets by what became of them."
    )
    for group in gateway.groups.values():
        for target in group.targets.values():
            pool = target.pool
            target_labels = {"group": group.name, "target": target.entry.id}
            links.set({**target_labels, "state": "idle"}, pool.idle)
            links.set({**target_labels, "state": "in_use"}, pool.in_use)
            links.set({**target_labels, "state": "resting"}, pool.paused)
            links.set({**target_labels, "state": "waited_for"}, pool.waiting)
            windows.set(target_labels, pool.window)
            response_ms.set(target_labels, pool.mean_response_ms)
            for event in LINK_EVENTS:
                count = getattr(pool.counters, event)
                link_events.set({**target_labels, "event": event}, count)
    load = gateway.env.policies.organisation_load
    service = gauge(
        "fennelhill_organisation_ms_total",
        "Time of targets by organisation, on links of this host.",
    )
    for organisation, service_ms in load.busiest_ms().items():
        service.set({"organisation": organisation}, service_ms)
    throttled = gauge(
        "fennelhill_throttled_total", "Waits for a link that were refused or in vain."
    )
    throttled_for = gauge(
        "fennelhill_throttled_since_ms", "How long ago the last spell of them began."
    )
    now_ms = gateway.env.clock.now_ms()
    for organisation, decision, count, since_ms in load.most_throttled():
        throttle_labels = {"organisation": organisation, "decision": decision}
        throttled.set(throttle_labels, count)
        if since_ms is not None:
            throttled_for.set(throttle_labels, now_ms - since_ms)
    lease_age = gauge("fennelhill_lease_age_ms", "Age of the proof of the lease.")
    lease_age.set({}, gateway.renewal.lease.age_ms)
    renewals = gauge("fennelhill_lease_renewals_total", "Renewals of the lease.")
    renewals.set({"result": "renewed"}, gateway.renewal.renewal_count)
    renewals.set({"result": "failed"}, gateway.renewal.failure_count)
    missing = gauge(
        "fennelhill_lease_missing_ms",
        "How long statements have been refused for want of a lease.",
    )
    missing.set({}, gateway.renewal.missing_ms)
    refusals = gauge(
        "fennelhill_lease_refusals_total", "Statements refused for want of a lease."
    )
    refusals.set({}, gateway.renewal.refusal_count)
    era = gauge("fennelhill_store_era", "Newest era of the store that is known.")
    era.set({}, gateway.eras.current)
    eras = gauge("fennelhill_store_eras_total", "Answers and eras of the store.")
    eras.set({"event": "returned"}, gateway.eras.change_count)
    eras.set({"event": "not_believed"}, gateway.eras.disbelieved_count)
    table_age = gauge(
        "fennelhill_store_table_age_ms",
        "How old the store's newest answer about a table may be.",
    )
    for table, follower in gateway.tables.followers.items():
        table_age.set({"table": table}, follower.age_ms)
    _add_quotas(gauge, gateway.quotas)
    version = gauge("fennelhill_catalog_version", "Configuration in force.")
    version.set({}, gateway.catalog.version)
    content, _ = render(registry, [])
    return content


def _add_quotas(gauge: Callable[..., Gauge], quotas: QuotaService) -> None:
    operations = gauge(
        "fennelhill_quota_total", "Operations with a limit by what became of them."
    )
    for name, counters in quotas.busiest(LABELLED_ORGANISATIONS, OTHER_ORGANISATIONS):
        labels = {"organisation": name}
        operations.set({**labels, "result": "permitted"}, counters.permitted)
        operations.set({**labels, "result": "refused"}, counters.refused)
        operations.set({**labels, "result": "unavailable"}, counters.unavailable)
    messages = gauge(
        "fennelhill_quota_messages_total", "Queries about permits sent, by kind."
    )
    for kind, count in quotas.messages.items():
        messages.set({"kind": kind}, count)
    issuing = gauge(
        "fennelhill_quota_partitions", "Partitions that this host issues permits for."
    )
    issuing.set({}, len(quotas.issued_partitions))
    buckets = gauge("fennelhill_quota_buckets", "Token buckets that this host holds.")
    buckets.set({}, quotas.bucket_count)
