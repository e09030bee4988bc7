"""Tests of noticing the store's eras, and of what claims are worth in a new one."""

from __future__ import annotations

import pytest
from fennelhill_bench.virtual_time import VirtualClock, run_virtual
from fennelhill_core.events import EventLog
from fennelhill_core.platform import VERSIONS_PER_ERA, StoreVersion
from fennelhilld.promotion.choice import restoring_turn
from fennelhilld.promotion.claims import CLAIM_TAKEOVER_MS, ClaimCache
from fennelhilld.promotion.messages import Claim, ClaimPhase, ClaimRow
from fennelhilld.store_era.state import SETTLING_MS, EraWatch


def version(era, number):
    return StoreVersion.from_parts(era, number)


def claim_row(era, number, holder="a", phase=ClaimPhase.CLAIMED):
    claim = Claim(holder, "nonce", "target", phase, era=era)
    return ClaimRow(version(era, number), claim)


def watch(check):
    async def main():
        clock = VirtualClock()
        eras = EraWatch(clock, EventLog("h", "z", clock))
        await check(clock, eras)

    run_virtual(main())


class TestStoreVersion:
    def test_a_later_era_is_newer_than_any_version_of_an_older_one(self):
        assert version(1, 1) > version(0, VERSIONS_PER_ERA - 1)
        assert version(1, 2) > version(1, 1)

    def test_a_bare_number_is_of_era_0(self):
        assert StoreVersion(17) == 17 == version(0, 17)
        assert StoreVersion(17).era == 0

    def test_is_sent_as_one_number(self):
        assert str(version(2, 17)) == "2000000000017"

    @pytest.mark.parametrize("number", [-1, VERSIONS_PER_ERA])
    def test_a_number_that_would_change_the_era_is_rejected(self, number):
        with pytest.raises(ValueError, match="out of range"):
            version(1, number)


class TestEraWatch:
    def test_an_older_era_is_not_believed_and_a_newer_one_is_announced_once(self):
        async def check(clock, eras):
            announced = []
            eras.on_change.append(lambda: announced.append(eras.current))
            assert eras.notice(1)
            assert eras.notice(2)
            assert eras.notice(2, "another host")
            assert not eras.notice(1)
            assert announced == [1, 2]
            assert eras.change_count == 1

        watch(check)

    def test_without_an_era_nothing_has_to_settle(self):
        async def check(clock, eras):
            assert eras.notice(0)
            assert eras.settled
            eras.record_fleet_read()
            assert eras.may_vouch

        watch(check)

    def test_a_host_that_ran_before_may_vouch_for_what_it_knows(self):
        async def check(clock, eras):
            eras.notice(1)
            eras.record_fleet_read()
            eras.notice(2)
            assert eras.may_vouch
            assert not eras.settled
            await clock.sleep_ms(SETTLING_MS)
            assert eras.settled

        watch(check)

    def test_a_host_that_has_just_started_vouches_for_nothing(self):
        async def check(clock, eras):
            eras.notice(2, "another host")
            eras.notice(2)
            eras.record_fleet_read()
            assert not eras.may_vouch
            eras.notice(3)
            assert not eras.may_vouch
            await clock.sleep_ms(SETTLING_MS)
            assert eras.may_vouch

        watch(check)

    @pytest.mark.parametrize("era", [0, 1])
    def test_a_host_that_has_not_read_the_store_vouches_for_nothing(self, era):
        async def check(clock, eras):
            assert not eras.may_vouch
            eras.notice(era, "another host")
            await clock.sleep_ms(2 * SETTLING_MS)
            assert not eras.may_vouch
            eras.notice(era)
            eras.record_fleet_read()
            assert eras.may_vouch

        watch(check)

    def test_a_host_that_has_read_only_a_later_era_may_lack_lost_claims(self):
        async def check(clock, eras):
            eras.notice(1)
            eras.notice(2)
            eras.record_fleet_read()
            assert not eras.may_vouch
            await clock.sleep_ms(SETTLING_MS)
            assert eras.may_vouch

        watch(check)


class TestClaimsInANewEra:
    def test_a_restored_row_does_not_replace_a_lost_claim(self):
        claims = ClaimCache()
        claims.put("g", claim_row(0, 20), 0.0)
        claims.begin_era(1)
        assert not claims.put("g", claim_row(0, 12, "b", ClaimPhase.DONE), 1.0)
        claims.put_stored("g", 12)
        assert claims.get("g").version == version(0, 20)
        assert claims.stored_version("g") == version(1, 12)

    def test_no_write_is_conditional_on_a_row_that_was_not_read(self):
        claims = ClaimCache()
        claims.put("g", claim_row(0, 20), 0.0)
        claims.begin_era(1)
        assert claims.stored_version("g") is None
        claims.stored_complete = True
        assert claims.stored_version("g") == version(1, 0)

    def test_a_lost_claim_is_not_held(self):
        claims = ClaimCache()
        claims.put("g", claim_row(0, 20), 0.0)
        assert claims.holds("g", version(0, 20))
        claims.begin_era(1)
        assert not claims.holds("g", version(0, 20))

    def test_the_returned_store_alone_does_not_make_the_claims_complete(self):
        claims = ClaimCache()
        claims.record_read(version(0, 20))
        claims.record_read(version(1, 30))
        assert claims.complete_version == version(0, 20)
        claims.complete_era(1)
        assert claims.complete_version == version(1, 30)

    def test_a_lost_open_claim_blocks_another_holder_until_its_turn_is_over(self):
        claims = ClaimCache()
        claims.put("g", claim_row(0, 20, "a"), 0.0)
        claims.begin_era(1)
        claims.put("g", claim_row(1, 5, "b"), 100.0)
        assert claims.blocked_by_lost_claim("g", "b", 200.0)
        assert not claims.blocked_by_lost_claim("g", "a", 200.0)
        assert not claims.blocked_by_lost_claim("g", "b", CLAIM_TAKEOVER_MS)

    def test_only_lost_ends_are_written_again(self):
        claims = ClaimCache()
        claims.put("lost", claim_row(0, 20, phase=ClaimPhase.DONE), 0.0)
        claims.put("kept", claim_row(0, 12, phase=ClaimPhase.DONE), 0.0)
        claims.put("open", claim_row(0, 21), 0.0)
        claims.begin_era(1)
        claims.put_stored("kept", 12)
        assert claims.unstored() == []
        claims.stored_complete = True
        assert [group for group, _ in claims.unstored()] == ["lost"]

    def test_one_host_after_the_other_restores_a_row(self):
        names = ["a", "b", "c", "d"]
        turns = [
            restoring_turn("b", host, [name for name in names if name != host], "g")
            for host in names
        ]
        assert sorted(turns) == [0, 1, 2, 3]
        assert turns[1] == 0
