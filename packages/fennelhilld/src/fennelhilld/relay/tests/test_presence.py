"""Tests of which hosts count as silent, and which zones as lost."""

from __future__ import annotations

from fennelhilld.relay.presence import (
    LONG_SILENCE_MS,
    LOOK_UP_INTERVAL_MS,
    LOOK_UPS_PER_ZONE,
    HostPresence,
)

ZONES = {f"{zone}{number}": zone for zone in "ab" for number in range(6)}


def presence(*silent):
    """Return the state after hosts were asked at 100 ms and found silent at 250 ms."""
    known = HostPresence(lambda host: ZONES.get(host, ""))
    for host in ZONES:
        known.record_answer(host, 90.0)
    for host in silent:
        assert known.record_silence(host, 100.0, 250.0)
    return known


class TestSilence:
    def test_of_one_host_excludes_only_that_host(self):
        """Guards against a zone that is given up for one crashed host."""
        known = presence("a0")
        assert not known.usable("a0")
        assert known.usable("a1")

    def test_of_two_hosts_excludes_their_zone_until_one_of_it_answers(self):
        """Guards against hosts of a lost zone that are found one request at a time."""
        known = presence("a0", "a1")
        assert not known.usable("a5")
        assert known.usable("b0")
        known.record_answer("a5", 300.0)
        assert known.usable("a4")
        assert not known.usable("a0")

    def test_of_hosts_that_refuse_does_not_exclude_their_zone(self):
        """Guards against a zone given up while two of its hosts are restarted."""
        known = presence()
        for host in ("a0", "a1"):
            known.record_silence(host, 249.0, 250.0)
            assert not known.usable(host)
        assert known.usable("a2")

    def test_ends_with_an_answer_and_not_with_time(self):
        known = presence("a0", "a1")
        known.start_look_ups(1e6)
        assert not known.usable("a0")
        assert known.record_answer("a0", 1e6)
        assert known.usable("a0")


class TestLookUps:
    def test_are_few_while_a_zone_is_lost_and_reach_all_its_hosts_in_turn(self):
        """Guards against look-ups that grow with the number of hosts."""
        known = presence(*(host for host in ZONES if host[0] == "a"))
        assert known.start_look_ups(300.0) == []
        found = set()
        for number in (1, 2):
            chosen = known.start_look_ups(250.0 + number * LOOK_UP_INTERVAL_MS)
            assert len(chosen) == LOOK_UPS_PER_ZONE
            found.update(chosen)
        assert len(found) == 2 * LOOK_UPS_PER_ZONE
        known.record_answer("a0", 900.0)
        assert len(known.start_look_ups(1_100.0)) == 5

    def test_of_a_dead_host_become_rare_and_end_when_it_is_unlisted(self):
        known = presence("a0")
        late_ms = 250.0 + LONG_SILENCE_MS
        assert known.start_look_ups(late_ms) == ["a0"]
        assert known.start_look_ups(late_ms + LOOK_UP_INTERVAL_MS) == []
        del ZONES["a0"]
        assert known.start_look_ups(late_ms + 5_000.0) == []
        assert known.silent_hosts == []
        ZONES["a0"] = "a"
