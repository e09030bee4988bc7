"""Tests of hosts that have started and have not read the store in full yet."""

from __future__ import annotations

import asyncio
import time

import pytest
from adapter.daemon import PlatformDaemon
from adapter.node import load_node_settings
from adapter.store import (
    CONFIGURATION_TABLE,
    FLEET_TABLE,
    TARGET_TABLE,
    StoreClient,
)
from adapter_deployment import run_deployed
from fennelhill_bench.platform_stand_ins.platform import until
from fennelhill_core.clock import MS_PER_S
from fennelhill_core.platform import StoreVersion
from fennelhilld.directory.messages import TableQuery
from fennelhilld.leader_lease.messages import (
    FenceOrder,
    GroupClaim,
    LeaseQuery,
    ProofSource,
    SampleQuery,
)
from fennelhilld.promotion.messages import Claim
from fennelhilld.quotas.election import ZoneHosts
from fennelhilld.quotas.messages import PromiseQuery

FAULTS = ["down", "busy", "silent"]
# Without the list of hosts it can't ask others for the configuration either.
UNREAD_TABLES = [[CONFIGURATION_TABLE, FLEET_TABLE], [TARGET_TABLE], [FLEET_TABLE]]
# Longer than a host waits for a first read and for connections at its start.
WAIT_S = 0.8
MAX_ERROR_MS = 100.0


def limit_organisations(stand_ins):
    stand_ins.bounds["quota_window_s"] = 5
    stand_ins.organisations = [
        {"name": "o", "keys": ["k"], "routes": [], "ops_per_s": 100, "burst": 10}
    ]


async def start_without(deployment, tmp_path, fault, tables):
    """Start a host while the store serves it no reads of some tables."""
    stand_ins = deployment.stand_ins
    stand_ins.store.fault, stand_ins.store.fault_tables = fault, set(tables)
    path, _ = stand_ins.node_file(tmp_path, "starting")
    daemon = PlatformDaemon(load_node_settings(str(path)))
    deployment.daemons.append(daemon)
    await daemon.start()
    await asyncio.sleep(WAIT_S)
    return daemon


async def ask(daemon, query):
    answer = daemon.gateway.host_queries.handle(query)
    return await answer if asyncio.iscoroutine(answer) else answer


def confirmation_query(gateway):
    era = gateway.eras.current
    members = max(gateway.roster.version, StoreVersion.from_parts(era, 0))
    return LeaseQuery(ProofSource.CONFIRMATION, StoreVersion(), members, era)


class TestStartingHost:
    @pytest.mark.parametrize("fault", FAULTS)
    def test_vouches_for_nothing_until_it_has_read_the_fleet(self, tmp_path, fault):
        """Guards against answers of a host that may have forgotten what it knew."""

        async def check(deployment):
            daemon = await start_without(deployment, tmp_path, fault, [FLEET_TABLE])
            gateway = daemon.gateway
            await until(lambda: gateway.groups and gateway.catalog.current)
            for source in ProofSource:
                query = LeaseQuery(source, 0, 0, gateway.eras.current)
                answer = await ask(daemon, query)
                assert not answer.granted
                assert not answer.fleet_known
                assert answer.claims_version == 0
            assert FLEET_TABLE not in (await ask(daemon, TableQuery())).tables
            assert (await ask(daemon, SampleQuery("g0"))).position is None
            deployment.stand_ins.store.fault = ""
            await until(lambda: gateway.eras.fleet_known)
            await until(lambda: gateway.renewal.registered)
            answer = await ask(daemon, confirmation_query(gateway))
            assert answer.granted
            assert answer.fleet_known

        run_deployed(tmp_path, check, hosts=2)

    def test_gives_up_what_it_does_not_use(self, tmp_path):
        # It knows the claim from then on, and has no lease, so the fence may count it.
        async def check(deployment):
            daemon = await start_without(deployment, tmp_path, "down", [FLEET_TABLE])
            era = daemon.gateway.eras.current
            version = StoreVersion.from_parts(era, 9)
            claim = Claim("h0", "nonce", "g0-1", previous_term=1)
            order = FenceOrder(GroupClaim("g0", version, claim), era)
            answer = await ask(daemon, order)
            assert answer.given_up
            answer = await ask(daemon, confirmation_query(daemon.gateway))
            assert [row.version for row in answer.claims] == [version]
            assert not answer.granted

        run_deployed(tmp_path, check, hosts=2)

    @pytest.mark.parametrize("fault", FAULTS)
    @pytest.mark.parametrize("tables", UNREAD_TABLES)
    def test_is_not_ready_before_it_can_serve(self, tmp_path, fault, tables):
        """Guards against clients that are sent to a host that refuses them."""

        async def check(deployment):
            daemon = await start_without(deployment, tmp_path, fault, tables)
            number = deployment.daemons.index(daemon)
            assert await deployment.ready_status(number) == 503
            deployment.stand_ins.store.fault = ""
            await until(lambda: daemon.gateway.ready)

        run_deployed(tmp_path, check)

    def test_takes_no_connections_of_hosts_that_it_does_not_know(self, tmp_path):
        """Guards against an owner that counts all connections as its own."""

        async def check(deployment):
            daemon = await start_without(deployment, tmp_path, "down", [FLEET_TABLE])
            gateway = daemon.gateway
            entry = gateway.directory.get("g0-0")
            assert gateway.link_limit(entry) == 1
            assert gateway.window_limit(entry) == 1
            deployment.stand_ins.store.fault = ""
            await until(lambda: gateway.renewal.registered)
            assert gateway.link_limit(entry) > 1

        run_deployed(tmp_path, check)

    def test_replaces_no_leader(self, tmp_path):
        """Guards against a promotion that asks none of the other hosts."""

        async def check(deployment):
            daemon = await start_without(deployment, tmp_path, "down", [FLEET_TABLE])
            gateway = daemon.gateway
            for other in deployment.daemons[:-1]:
                other.gateway.replacement.leaving = True
            deployment.stand_ins.targets[0].stop()
            group = gateway.env.group("g0")
            await gateway.replacement.check_leader(group)
            assert "has not read the store" in group.leadership.obstacle
            assert deployment.stand_ins.store.promotions == []
            number = deployment.daemons.index(daemon)
            assert deployment.events("promotion.claimed", number) == []

        run_deployed(tmp_path, check, hosts=2)

    def test_does_not_count_as_one_that_misses_the_leader(self, tmp_path):
        """Guards against a leader replaced by the word of hosts that know none."""

        async def check(deployment):
            daemon = await start_without(deployment, tmp_path, "down", [FLEET_TABLE])
            asking = deployment.daemons[0]
            asking.gateway.replacement.leaving = True
            deployment.stand_ins.targets[0].stop()
            asking.gateway.put_member(
                "starting",
                daemon.settings.peer_address,
                "a",
                asking.gateway.roster.version,
            )
            survey = await asking.peers.survey("g0", "g0-0")
            assert [view.informed for view in survey.views] == [False]
            group = asking.gateway.env.group("g0")
            assert not asking.gateway.replacement._fleet_confirms_loss(group, survey)
            presence = await asking.peers.survey("", "")
            assert len(presence.views) == 1

        run_deployed(tmp_path, check)

    @pytest.mark.parametrize("fault", FAULTS)
    def test_tells_no_client_that_its_database_is_unknown(self, tmp_path, fault):
        """Guards against a final answer from a host without a configuration."""

        async def check(deployment):
            tables = UNREAD_TABLES[0]
            daemon = await start_without(deployment, tmp_path, fault, tables)
            number = deployment.daemons.index(daemon)
            started_s = time.monotonic()
            _, answer = await deployment.start("never-existed", number)
            assert "NODB" not in answer
            assert time.monotonic() - started_s < 2.0
            deployment.stand_ins.store.fault = ""
            await until(lambda: daemon.gateway.ready)
            _, answer = await deployment.start("never-existed", number)
            assert "NODB" in answer

        run_deployed(tmp_path, check)

    def test_promises_no_issuer_of_permits(self, tmp_path):
        """Guards against two issuers in a zone that one of them does not know."""

        async def check(deployment):
            daemon = await start_without(deployment, tmp_path, "down", [FLEET_TABLE])
            names = frozenset(["h0", "h1", "starting"])
            first = ZoneHosts("a", names).candidates(0)[0]
            version = StoreVersion.from_parts(daemon.gateway.eras.current + 1, 0)
            query = PromiseQuery(first, daemon.clock.wall_ms(), 0, version, 0, 1)
            assert not (await ask(daemon, query)).granted
            deployment.stand_ins.store.fault = ""
            await until(lambda: len(daemon.gateway.roster) == 2)
            await until(lambda: daemon.gateway.quotas._knows_roster)
            assert (await ask(daemon, query)).granted

        run_deployed(tmp_path, check, hosts=2, prepare=limit_organisations)

    def test_passes_on_how_old_the_configuration_of_another_host_is(self, tmp_path):
        """Guards against withdrawn keys of a configuration that counts as confirmed."""

        async def check(deployment):
            stand_ins = deployment.stand_ins
            stand_ins.store.fault = "silent"
            stand_ins.store.fault_tables = {CONFIGURATION_TABLE}
            stand_ins.configure()  # Ends the poll; the next one gets no answer.
            stale_s = time.monotonic()
            await asyncio.sleep(WAIT_S)
            tables = [CONFIGURATION_TABLE]
            daemon = await start_without(deployment, tmp_path, "silent", tables)
            await until(lambda: daemon.gateway.catalog.current)
            least_ms = (time.monotonic() - stale_s) * MS_PER_S - MAX_ERROR_MS
            assert daemon.intake.age_ms >= least_ms
            assert deployment.daemons[0].intake.age_ms >= least_ms

        run_deployed(tmp_path, check)


class TestRestartDuringAnOutage:
    @pytest.mark.parametrize("how", ["down", "reset", "silent"])
    def test_hosts_learn_their_claims_from_the_store_again(self, tmp_path, how):
        """Guards against a replaced leader that is used again after a restart."""

        async def check(deployment):
            stand_ins = deployment.stand_ins
            gateways = [daemon.gateway for daemon in deployment.daemons]
            await until(lambda: all(gateway.renewal.registered for gateway in gateways))
            claim = {
                "holder": "other",
                "nonce": "n",
                "target": "g0-1",
                "phase": "claimed",
                "previous_term": 1,
            }
            stand_ins.store.put(FLEET_TABLE, "claim/g0", claim)
            await until(
                lambda: all(g.replacement.claims.get("g0").version for g in gateways)
            )
            stand_ins.store.go_away(how)
            path, _ = stand_ins.node_file(tmp_path, "again")
            daemon = PlatformDaemon(load_node_settings(str(path)))
            deployment.daemons.append(daemon)
            await daemon.start()
            await asyncio.sleep(WAIT_S)
            asked = await ask(daemon, confirmation_query(daemon.gateway))
            assert not asked.granted
            assert not await daemon.gateway.renewal.ensure(0.2 * MS_PER_S)
            remembered = await ask(
                deployment.daemons[0], confirmation_query(gateways[0])
            )
            assert [row.group for row in remembered.claims] == ["g0"]
            stand_ins.store.away = ""
            stand_ins.store._returned.set()
            await until(lambda: daemon.gateway.replacement.claims.get("g0").version)
            assert daemon.gateway.eras.fleet_known

        run_deployed(tmp_path, check, hosts=2)


class TestHostThatRegisters:
    @pytest.mark.parametrize("fault", FAULTS)
    def test_gets_no_lease_before_it_knows_the_claims_made_until_then(
        self, tmp_path, fault, monkeypatch
    ):
        """Guards against a lease of a host that the holder of a claim does not list."""

        async def check(deployment):
            store = deployment.stand_ins.store
            path, _ = deployment.stand_ins.node_file(tmp_path, "new")
            daemon = PlatformDaemon(load_node_settings(str(path)))
            deployment.daemons.append(daemon)
            gateway, put = daemon.gateway, StoreClient.put
            # After the claim its holder reads the list of hosts, without the new one.
            claim = {"holder": "h0", "nonce": "n", "target": "g0-1"}

            async def put_after_a_claim(client, key, document):
                # The poll that would deliver the claim gets no answer.
                store.fault, store.fault_tables = fault, {FLEET_TABLE}
                store.put(FLEET_TABLE, "claim/g0", {**claim, "phase": "claimed"})
                await put(client, key, document)

            monkeypatch.setattr(StoreClient, "put", put_after_a_claim)
            await daemon.start()
            await until(lambda: store.fault)
            await asyncio.sleep(WAIT_S)
            knows_claim = gateway.replacement.claims.get("g0").version > 0
            assert knows_claim or not gateway.renewal.registered
            store.fault = ""
            await until(lambda: gateway.renewal.registered)
            assert gateway.replacement.claims.get("g0").version > 0

        run_deployed(tmp_path, check, hosts=2)
