"""Tests that messages and rows of an earlier landing are still understood."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest
from adapter.feeds import HostRegistration
from fennelhill_bench.golden import sample
from fennelhilld.directory import messages as tables
from fennelhilld.leader_lease import messages as lease
from fennelhilld.promotion.messages import Claim, LeaderView
from fennelhilld.quotas import messages as quotas
from fennelhilld.relay.messages import RelayBatch, RelayClose, RelayResult

# As the landing ffcd345 encodes them, with a value in every field; later ones as the
# build that added them does.
GOLDEN = Path(__file__).with_name("golden_messages.json")
TYPES = {
    kind.__name__: kind
    for kind in (
        HostRegistration,
        Claim,
        LeaderView,
        RelayBatch,
        RelayResult,
        RelayClose,
        lease.LeaseQuery,
        lease.LeaseAnswer,
        lease.FenceOrder,
        lease.FenceAnswer,
        lease.DemotionOrder,
        lease.DemotionAnswer,
        lease.SampleQuery,
        lease.SampleAnswer,
        lease.ZoneNotice,
        lease.ZoneNoticeAnswer,
        quotas.PermitQuery,
        quotas.PermitAnswer,
        quotas.TransferQuery,
        quotas.TransferAnswer,
        quotas.PromiseQuery,
        quotas.PromiseAnswer,
        tables.TableQuery,
        tables.TableAnswer,
    )
}


def golden():
    return msgspec.json.decode(GOLDEN.read_bytes())


def _number(kind, value):
    return kind(value)


def missing_parts(old, new, path=""):
    """Return where a document lacks or changes what an older one has."""
    if isinstance(old, dict) and isinstance(new, dict):
        return [
            problem
            for key, value in old.items()
            for problem in (
                missing_parts(value, new[key], f"{path}.{key}")
                if key in new
                else [f"{path}.{key}"]
            )
        ]
    return [] if old == new else [path]


class TestGoldenMessages:
    def test_hold_all_types_that_hosts_exchange(self):
        assert set(golden()) == set(TYPES)

    @pytest.mark.parametrize("name", TYPES)
    def test_are_decoded_by_this_build(self, name):
        # A field without a default, or of another type, would make this build drop what
        # an older one sends.
        encoded = msgspec.json.encode(golden()[name])
        assert msgspec.json.decode(encoded, type=TYPES[name], dec_hook=_number)

    @pytest.mark.parametrize("name", TYPES)
    def test_are_a_part_of_what_this_build_encodes(self, name):
        # A renamed or removed field would make an older build miss it.
        encoded = msgspec.json.encode(sample(TYPES[name]), enc_hook=int)
        new = msgspec.json.decode(encoded)
        assert missing_parts(golden()[name], new) == []

    def test_a_renamed_field_is_noticed(self):
        old = {"a": 1, "b": {"c": 2}}
        assert missing_parts(old, {"a": 1, "b": {"d": 2}, "c": 2}) == [".b.c"]
