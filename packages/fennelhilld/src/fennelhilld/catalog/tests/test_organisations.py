"""Tests of organisations from entries with defects."""

from __future__ import annotations

import msgspec
import pytest
from fennelhill_core.digest import key_digest
from fennelhilld.catalog.organisations import OrganisationEntry, OrganisationTable
from fennelhilld.catalog.state import (
    Catalog,
    Database,
    Organisation,
)
from hypothesis import given
from hypothesis import strategies as st

PREVIOUS = {"a": Organisation("a", (), 7.0, 3.0)}


def table(*entries, previous=None):
    result = OrganisationTable(previous)
    for entry in entries:
        result.add(entry)
    return result


class TestLimits:
    @pytest.mark.parametrize(
        "limit",
        [
            {"operations_per_s": 0},
            {"operations_per_s": -1.5},
            {"operations_per_s": "5"},
            {"operations_per_s": None},
            {"operations_per_s": True},
            {"operations_per_s": 10**400},
            {"operations_per_s": 5, "burst": "many"},
            {"operations_per_s": 5, "burst": None},
            {"operations_per_s": 5, "burst": -1},
        ],
    )
    def test_that_are_invalid_keep_the_previous_one_or_are_unlimited(self, limit):
        entries = [OrganisationEntry(name, ["k" + name], **limit) for name in "ab"]
        result = table(*entries, previous=PREVIOUS)
        first, second = result.organisations["a"], result.organisations["b"]
        assert (first.operations_per_s, first.burst) == (7.0, 3.0)
        assert second.operations_per_s is None
        assert len(result.defects) == 2
        assert set(result.keys.values()) == {"a", "b"}

    def test_that_are_not_stated_are_unlimited(self):
        result = table(OrganisationEntry("a"), previous=PREVIOUS)
        assert result.organisations["a"].operations_per_s is None
        assert result.defects == []


class TestKeys:
    @pytest.mark.parametrize("names", ["ab", "ba"])
    def test_that_are_listed_twice_belong_to_the_first_by_name(self, names):
        result = table(*(OrganisationEntry(name, ["k", name]) for name in names))
        assert result.keys[key_digest("k")] == "a"
        assert result.organisations["b"].key_digests == (key_digest("b"),)
        assert len(result.defects) == 1

    @pytest.mark.parametrize("keys", ["k", None, 5, {"k": 1}])
    def test_that_are_not_a_list_let_nobody_in(self, keys):
        result = table(OrganisationEntry("a", keys))
        assert result.keys == {}
        assert len(result.defects) == 1

    def test_that_are_empty_do_not_admit_clients_without_a_key(self):
        result = table(OrganisationEntry("a", ["", 5, "k"]))
        assert set(result.keys) == {key_digest("k")}


class TestNames:
    @pytest.mark.parametrize(
        "name", [None, 5, "", "a b", "a\r\nQUERY", "a\u2028", "x" * 300]
    )
    def test_that_would_break_the_first_message_to_a_target_are_ignored(self, name):
        result = table(OrganisationEntry(name, ["k"]), OrganisationEntry("b", ["l"]))
        assert list(result.organisations) == ["b"]
        assert set(result.keys.values()) == {"b"}

    def test_that_are_listed_twice_count_once(self):
        result = table(OrganisationEntry("a", ["k"]), OrganisationEntry("a", ["l"]))
        assert set(result.keys) == {key_digest("k")}

    @given(
        st.lists(
            st.builds(
                OrganisationEntry,
                *[
                    st.none()
                    | st.integers()
                    | st.text(max_size=2)
                    | st.lists(st.text(max_size=1))
                ]
                * 4,
            )
            | st.none()
        )
    )
    def test_any_entries_are_taken_in(self, entries):
        result = table(*entries)
        for digest, name in result.keys.items():
            assert digest in result.organisations[name].key_digests


class TestWithdrawal:
    @pytest.mark.parametrize(
        ("keys", "public", "withdraws"),
        [
            ({"1": "a", "2": "b"}, True, False),
            ({"1": "b", "2": "b", "3": "c"}, True, False),
            ({"1": "a"}, True, True),
            ({"1": "a", "2": "b"}, False, True),
        ],
    )
    def test_is_seen_where_sessions_may_lose_access(self, keys, public, withdraws):
        databases = {"d": Database("d", "g", public=True)}
        before = Catalog(1, databases, {}, organisations={}, keys={"1": "a", "2": "b"})
        database = Database("d", "g", public=public)
        after = msgspec.structs.replace(before, databases={"d": database}, keys=keys)
        assert after.withdraws_access(before) is withdraws
        unnamed = Catalog(0, databases, {})
        assert after.withdraws_access(unnamed)
        assert not unnamed.withdraws_access(before)
