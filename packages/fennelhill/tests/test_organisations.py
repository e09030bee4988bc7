"""Tests of describing an organisation to operators."""

from __future__ import annotations

import io
import json

import pytest
from fennelhill.cli import Fennelhill
from fennelhill.fleet import HostReply
from fennelhill.organisations import describe_organisation, organisation_samples
from fennelhill_core.digest import key_digest
from fennelhill_core.settings import EntryHost

METRICS = b"""# TYPE fennelhill_quota_used gauge
fennelhill_quota_used{host="h1",organisation="north",zone="a"} 41
fennelhill_quota_refused{organisation="north",code="1035",host="h1",zone="a"} 2
fennelhill_quota_used{host="h1",organisation="south",zone="a"} 9
fennelhill_links{host="h1",zone="a",group="g0"} 3
"""


def reply(host, body=b"", problem=""):
    return HostReply(EntryHost(id=host, zone="", address=""), body, problem)


def view(version, **organisation):
    return json.dumps(
        {"version": version, "organisation": organisation or None}
    ).encode()


class TestDescription:
    def test_shows_hosts_with_an_older_version_apart(self):
        north = {
            "name": "north",
            "key_digests": ["d1"],
            "operations_per_s": 12.5,
            "burst": 5,
        }
        replies = [
            reply("h1", view(8, **north)),
            reply("h2", view(7)),
            reply("h3", problem="timed out"),
        ]
        assert describe_organisation(replies) == [
            "configuration 8 at h1",
            "  north: 12.5 operations/s, burst 5",
            "  key d1",
            "configuration 7 at h2",
            "  not listed",
            "h3: no answer: timed out",
        ]

    def test_shows_the_samples_of_this_organisation_only(self):
        assert organisation_samples(reply("h1", METRICS), "north") == [
            "h1 fennelhill_quota_used 41",
            "h1 fennelhill_quota_refused code=1035 2",
        ]


class TestKeyDigest:
    @pytest.mark.parametrize("end", ["", "\n", "\r\n"])
    def test_is_that_of_the_line_without_its_end(self, monkeypatch, capsys, end):
        monkeypatch.setattr("sys.stdin", io.StringIO("k-1" + end))
        Fennelhill().key_digest()
        assert capsys.readouterr().out == key_digest("k-1") + "\n"
