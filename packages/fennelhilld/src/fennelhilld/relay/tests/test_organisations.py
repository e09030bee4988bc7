"""Tests of fleets whose clients call for organisations."""

from __future__ import annotations

from collections import defaultdict

import msgspec
import pytest
from fennelhill_bench.session_simulation.simulation import SessionSimulation
from fennelhill_bench.session_simulation.targets import DriverModel, LinkModel
from fennelhill_bench.virtual_time import run_virtual
from fennelhill_core import codes
from fennelhill_core.digest import key_digest
from fennelhilld.catalog.state import Organisation
from fennelhilld.links.allocation import MIN_REST_MS
from fennelhilld.relay.messages import RelayBatch
from fennelhilld.relay.service import RelayService, _RelaySession
from fennelhilld.statements.session import Session

NAMES = [f"org-{rank}" for rank in range(1, 13)]
WEIGHTS = [rank**-1.2 for rank in range(1, 13)]


class OrganisationsSimulation(SessionSimulation):
    """A fleet with organisations, each with its name as key."""

    def __init__(self, hosts, monkeypatch):
        super().__init__(1, hosts)
        # Pairs of the organisations of a statement and of the link that it ran on.
        self.served = set()
        self.owners_of = defaultdict(set)
        self.organisation_of_request = {}
        self.organisation_of_link = {}
        simulation = self
        open_link, send, execute = DriverModel.open, LinkModel.send, Session.execute

        async def open_recorded(
            driver, group, target_id, address, limit_ms, organisation=""
        ):
            link = await open_link(driver, group, target_id, address, limit_ms)
            simulation.organisation_of_link[link] = organisation
            if organisation:
                simulation.owners_of[target_id, organisation].add(driver)
            return link

        async def send_recorded(link, commands, urgency=None):
            for command in commands:
                if command.statement is not None:
                    caller = simulation.organisation_of_request[
                        command.statement.request_id
                    ]
                    of_link = simulation.organisation_of_link[link]
                    simulation.served.add((caller, of_link))
            await send(link, commands, urgency)

        async def execute_recorded(session, statement, *args):
            organisation = simulation.catalog.keys[session._digest]
            simulation.organisation_of_request[statement.request_id] = organisation
            return await execute(session, statement, *args)

        monkeypatch.setattr(DriverModel, "open", open_recorded)
        monkeypatch.setattr(LinkModel, "send", send_recorded)
        monkeypatch.setattr(Session, "execute", execute_recorded)
        self.catalog = msgspec.structs.replace(
            self.gateways[0].catalog.current,
            version=2,
            organisations={
                name: Organisation(name, (key_digest(name),), 100.0 * weight)
                for name, weight in zip(NAMES, WEIGHTS, strict=True)
            },
            keys={key_digest(name): name for name in NAMES},
        )
        for gateway in self.gateways:
            gateway.install_catalog(self.catalog)

    def client(self, gateway, database, name=""):
        client = super().client(gateway, database)
        name = name or self.random.choices(NAMES, WEIGHTS)[0]
        client.session = gateway.open_session(database.name, name)
        return client


def simulate(main, monkeypatch, hosts):
    async def run():
        simulation = OrganisationsSimulation(hosts, monkeypatch)
        await main(simulation)
        violations = simulation.observer.check_final_logs(simulation.groups)
        simulation.close()
        assert violations == simulation.observer.violations == []

    run_virtual(run())


class TestIdleTransactions:
    @pytest.mark.parametrize("hosts", [4, 24])
    def test_one_that_was_ended_for_others_is_reported_as_aborted(
        self, monkeypatch, hosts
    ):
        async def main(simulation):
            database = simulation.databases[0]
            gateway = next(
                host
                for host in simulation.gateways
                if hosts == 4 or not host.owns(host.directory.get("g0-0"))
            )
            idle = []
            for _ in range(10):
                client = simulation.client(gateway, database, "org-12")
                await client.begin()
                if (await client.write()).code is None:
                    idle.append(client)
            await simulation.clock.sleep_ms(MIN_REST_MS)
            assert len(idle) > 1
            for name in NAMES[:4]:
                assert (
                    await simulation.client(gateway, database, name).write()
                ).code is None
            replies = [await client.commit() for client in idle]
            codes_seen = {reply.code for reply in replies}
            assert codes_seen == {None, codes.TRANSACTION_ABORTED}
            for client in idle:
                assert (await client.write()).code is None

        simulate(main, monkeypatch, hosts)


class TestOrganisations:
    @pytest.mark.parametrize("hosts", [4, 24])
    def test_each_is_served_on_its_own_links_only(self, monkeypatch, hosts):
        # 4 hosts connect to each target themselves, 24 through owners.
        async def main(simulation):
            await simulation.run_clients(20, 4_000.0)
            served = [record for record in simulation.replies if record[3].code is None]
            assert len(served) > 0.97 * len(simulation.replies) > 1_000
            assert {caller for caller, _ in simulation.served} == set(NAMES)
            assert all(caller == of_link for caller, of_link in simulation.served)

        simulate(main, monkeypatch, hosts)

    def test_an_owner_without_the_catalog_uses_no_link_of_nobody(self, monkeypatch):
        async def main(simulation):
            gateway = simulation.gateways[0]
            gateway.catalog.current = msgspec.structs.replace(
                simulation.catalog, organisations=None
            )
            target_id = next(
                name
                for name in simulation.groups["g0"].targets
                if gateway.owns(gateway.directory.get(name))
            )
            batch = RelayBatch("g0", target_id, [], 100.0, 100.0, organisation="org-1")
            session = _RelaySession(gateway.env, RelayService(gateway.env))
            result = await session.run(msgspec.Raw(msgspec.json.encode(batch)))
            assert result.not_run
            assert result.error == "unknown organisation"

        simulate(main, monkeypatch, 4)

    def test_each_uses_the_same_owner_from_all_hosts(self, monkeypatch):
        # Owners included: they would else open links for all that reach them.
        async def main(simulation):
            database = simulation.databases[0]
            for gateway in simulation.gateways:
                for name in NAMES[3:]:
                    client = simulation.client(gateway, database, name)
                    assert (await client.write()).code is None
            owners = [
                simulation.owners_of["g0-0", organisation] for organisation in NAMES[3:]
            ]
            assert all(len(drivers) == 1 for drivers in owners)
            assert len(set.union(*owners)) > 1

        simulate(main, monkeypatch, 24)
