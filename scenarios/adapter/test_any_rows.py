"""Any row or message of others is refused alone, or can be used everywhere after."""

from __future__ import annotations

import base64
import json
import random

import msgspec
import pytest
from adapter.documents import decode_catalog, decode_target
from adapter.feeds import HostRegistration, StoreFeeds
from adapter.lines import MessageError
from adapter.store import CONFIGURATION_KEY, StoredRow, decode_claim
from adapter.targets import add_message
from fennelhill_bench.virtual_time import VirtualClock, run_virtual
from fennelhill_core.documents import decode_json
from fennelhill_core.events import EventLog
from fennelhill_core.sockets import split_address
from fennelhill_core.streams import DialError
from fennelhilld.catalog.intake import CatalogIntake
from fennelhilld.catalog.state import Catalog, Group, Organisation
from fennelhilld.gateway import SessionGateway
from fennelhilld.leader_lease.messages import GroupClaim
from fennelhilld.links.messages import LinkRefusedError, TargetAnswer, TargetFault
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

ENTRY = {
    "service": "s1",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "slots": 2,
    "state": "ready",
    "cold_left_ms": 0,
    "db_role": "primary",
    "sequence": 4,
    "born": 1_790_000_000_000,
}
REGISTRATION = {
    "address": "10.0.0.8:7440",
    "zone": "b",
    "capacity": 1.0,
    "era": 0,
    "frame_address": "10.0.0.8:7455",
}
CLAIM = {
    "holder": "h3",
    "nonce": "n",
    "target": "i-1",
    "phase": "claimed",
    "planned": False,
    "previous_leader": "i-1",
    "previous_term": 1,
    "previous_leader_term": 1,
    "term": 0,
    "released": False,
    "era": 0,
}
ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.sampled_from([0, -1, 2**31, 2**53, 2**63 - 1, 2**63, 2**64, 10**400]),
    st.floats(allow_nan=False),
    st.sampled_from([1e308, -1e308, 1e-320]),
    st.text(max_size=12),
    st.sampled_from(
        [
            "",
            "a" * 300,
            "a" * 300 + ":80",
            "10.0.0.9:0",
            "10.0.0.9:65536",
            "255.255.255.255:9",
            "[::1]:80",
            "s1\r\nQUERY x WRITE a b",
            "ready",
            "draining",
            "replica",
            "abandoned",
            "done",
        ]
    ),
    st.lists(st.integers(), max_size=2),
    st.dictionaries(st.text(max_size=3), st.integers(), max_size=2),
)
# The virtual clock does not slow a machine down that is busy.
RUNS = settings(max_examples=60, deadline=None)
CHECKED_MS = 1_500.0


def documents(usual):
    """Return documents in which some fields are missing, odd or unknown."""
    changes = st.dictionaries(
        st.sampled_from([*usual, "notes"]), ODD_VALUES | st.just(...), max_size=3
    )
    return changes.map(
        lambda odd: json.dumps(
            {
                name: value
                for name, value in {**usual, **odd}.items()
                if value is not ...
            }
        ).encode()
    )


def damaged(usual):
    """Return documents of which a part was replaced by other bytes."""
    text = json.dumps(usual).encode()
    places = st.integers(0, len(text))
    return st.tuples(places, places, st.binary(max_size=6)).map(
        lambda damage: text[: damage[0]] + damage[2] + text[damage[1] :]
    )


def row(key, document, version=3):
    return StoredRow(key, version, base64.b64encode(document).decode())


class RefusingDriver:
    """Refuses connections, of which it checks what would be sent."""

    async def open(self, group, target_id, address, limit_ms, organisation=""):
        split_address(address)
        line = f"STARTUP {group} user {target_id}\r\n".encode()
        assert len(line.split()) == 4
        raise LinkRefusedError(TargetFault.OTHER, "refused")

    async def status(self, link):
        raise AssertionError("no link was opened")

    async def demote(self, link, term):
        raise AssertionError("no link was opened")


class DeafDialer:
    async def dial(self, address, timeout_ms):
        split_address(address)
        raise DialError("refused")


class StoreStub:
    def __init__(self):
        self.deleted = []

    async def delete(self, key, version=None):
        self.deleted.append(key)
        return True

    async def put(self, key, document):
        return None


class HostFixture:
    """A host with and without organisations, in a small and in a large fleet."""

    def __init__(self, hosts, organisations):
        self.clock = VirtualClock()
        self.events = EventLog("h0", "a", self.clock)
        self.gateway = SessionGateway(
            "h0",
            "a",
            RefusingDriver(),
            self.clock,
            self.events,
            dialer=DeafDialer() if hosts > 1 else None,
        )
        intake = CatalogIntake(
            self.gateway.catalog,
            self.gateway.install_catalog,
            decode_catalog,
            self.clock,
            self.events,
        )
        self.feeds = StoreFeeds(
            StoreStub(),
            self.gateway,
            intake,
            HostRegistration("10.0.0.1:1", "a"),
            self.clock,
            self.events,
            random.Random(1),
        )
        for number in range(1, hosts):
            self.gateway.put_member(
                f"h{number}", f"10.1.0.{number}:1", f"z{number % 3}"
            )
        named = {"o": Organisation("o")} if organisations else None
        self.gateway.install_catalog(
            Catalog(1, {}, {"s1": Group("s1")}, organisations=named)
        )

    async def run_checks(self):
        """Run the periodic checks for a while."""
        self.gateway.start()
        await self.clock.sleep_ms(CHECKED_MS)
        self.gateway.close()
        self.feeds.close()


def apply_rows(apply, hosts=1, organisations=False):
    """Apply rows at a host, and return what was logged as an error meanwhile."""
    faults = []
    handler = logger.add(
        lambda message: faults.append(str(message)), level="ERROR", catch=False
    )

    async def main():
        host = HostFixture(hosts, organisations)
        apply(host)
        await host.run_checks()
        faults.extend(
            event.detail["reason"]
            for event in host.events.since(0)
            if event.kind == "target.unusable"
        )

    try:
        run_virtual(main())
    finally:
        logger.remove(handler)
    return faults


class TestEntries:
    @pytest.mark.parametrize("organisations", [False, True])
    @pytest.mark.parametrize("hosts", [1, 30])
    @RUNS
    @given(document=documents(ENTRY) | damaged(ENTRY), key=st.text(max_size=4))
    def test_are_refused_or_usable(self, hosts, organisations, document, key):
        """Guards against an odd entry that ends a loop or a request (DRAIN, LOST)."""

        def apply(host):
            key_of_entry = f"i-{key}"
            host.feeds._apply_targets([row(key_of_entry, document)], False, False)
            entry = host.gateway.directory.get(key_of_entry)
            if entry is not None:
                msgspec.json.encode(entry)
                assert host.gateway.window_limit(entry) >= 1
                assert host.gateway.link_limit(entry) >= 1
                host.gateway.link_budget(entry)

        assert apply_rows(apply, hosts, organisations) == []

    @RUNS
    @given(document=documents(ENTRY), key=st.text())
    def test_with_any_key_are_refused_or_decoded(self, document, key):
        try:
            entry = decode_target(key, document)
        except ValueError:
            return
        assert len(f"STARTUP {entry.group} user {entry.id}".split()) == 4


class TestHosts:
    @RUNS
    @given(document=documents(REGISTRATION) | damaged(REGISTRATION), key=st.text())
    def test_are_refused_or_usable(self, document, key):
        """Guards against an odd row of a host that ends the queries to all hosts."""

        def apply(host):
            target = row("i-1", json.dumps(ENTRY).encode())
            host.feeds._apply_targets([target], False, False)
            host.feeds._apply_fleet([row(f"member/{key}", document)], False, False)
            roster = host.gateway.roster
            for address in roster.addresses.values():
                split_address(address)
                frame_address = roster.frame_address_of(address)
                assert not frame_address or split_address(frame_address)

        assert apply_rows(apply, 30) == []


class TestClaims:
    @RUNS
    @given(document=documents(CLAIM) | damaged(CLAIM), group=st.text(max_size=4))
    def test_are_disbelieved_or_usable(self, document, group):
        """Guards against an odd claim that ends the feed of claims (ONE)."""

        def apply(host):
            claim_row = row(f"claim/{group}", document)
            host.feeds._apply_fleet([claim_row], False, False)
            decoded = decode_claim(claim_row)
            sent = GroupClaim(group, decoded.version, decoded.claim)
            encoded = msgspec.json.encode(sent, enc_hook=int)
            json.loads(encoded)

        assert apply_rows(apply) == []


class TestConfigurations:
    @RUNS
    @given(
        document=documents(
            {
                "version": 7,
                "routes": [{"host": "orders", "service": "s1"}],
                "services": [{"name": "s1", "max_conns": 16}],
                "limits": {"tx_idle_ms": 3000},
                "tenants": [{"name": "o", "api_keys": ["k"]}],
            }
        )
    )
    def test_are_refused_or_usable(self, document):
        """Guards against an odd configuration that ends its feed (CONFIG)."""

        def apply(host):
            target = row("i-1", json.dumps(ENTRY).encode())
            host.feeds._apply_targets([target], False, False)
            rows = [row(CONFIGURATION_KEY, document)]
            host.feeds._apply_configuration(rows, False, False)

        assert apply_rows(apply) == []


class TestAnswers:
    @RUNS
    @given(
        word=st.sampled_from(["DATAROW", "COMPLETE", "ERROR", "READY I", "READY"]),
        rest=st.text(max_size=20) | st.just("1." + "9" * 5_000),
    )
    def test_of_targets_are_refused_or_decoded(self, word, rest):
        """Guards against an answer that ends the task of its link."""
        answer = TargetAnswer(rows=[])
        try:
            add_message(answer, f"{word} {rest}")
        except MessageError:
            return
        decoded = decode_json(msgspec.json.encode(answer), TargetAnswer)
        assert decoded == answer
