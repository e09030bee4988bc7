"""Tests of reading the daemons' logs."""

from __future__ import annotations

import json

import pytest
from fennelhill.cli import Fennelhill
from fennelhill.loglines import LogLine, request_history, timeline


def line(second, message, host="h1", **fields):
    at = f"2026-01-10T01:32:{second:06.3f}+00:00"
    return json.dumps({"at": at, "message": message, "host": host, **fields})


LOG = [
    line(1.0, "catalog.installed", version=4),
    line(20.0, "leadership.suspected", group="g1", target="t1", reason="refused"),
    line(20.1, "leadership.suspected", group="g2", target="t9"),
    line(20.2, "request.retried", group="g1", request="a1", reason="link lost"),
    line(20.3, "promotion.claimed", host="h2", group="g1", token=7),
    line(20.9, "request.refused", group="g1", request="a1", code=1012),
    line(21.5, "promotion.finished", host="h2", group="g1", token=7),
]


def decoded(texts=LOG):
    return [LogLine.from_text(text) for text in texts]


class TestLogLine:
    def test_decodes_a_line_behind_a_prefix(self):
        decoded_line = LogLine.from_text("  36.49 node-1 " + LOG[1])
        assert decoded_line.message == "leadership.suspected"
        assert decoded_line.detail == {"target": "t1", "reason": "refused"}

    @pytest.mark.parametrize("text", ["", "Traceback", "{broken", "{}", "[1]"])
    def test_returns_none_for_other_text(self, text):
        assert LogLine.from_text(text) is None


class TestRequestHistory:
    def test_holds_the_request_and_the_state_changes_of_its_group(self):
        messages = [entry.message for entry in request_history(decoded(), "a1")]
        assert messages == [
            "leadership.suspected",
            "request.retried",
            "promotion.claimed",
            "request.refused",
        ]

    def test_of_a_refused_key_names_the_configuration_in_force(self):
        log = [
            line(1.0, "catalog.installed", version=4),
            line(2.0, "catalog.installed", version=7),
            line(2.5, "catalog.installed", host="h2", version=8),
            line(20.2, "request.refused", request="a1", code=1034, key_digest="d"),
        ]
        history = request_history(decoded(log), "a1")
        assert [entry.detail.get("version") for entry in history] == [7, None]

    def test_holds_the_lease_of_the_host_and_the_steps_of_a_promotion(self):
        log = [
            line(20.0, "lease.not_renewed", age_ms=900),
            line(20.1, "lease.not_renewed", host="h3", age_ms=800),
            line(20.2, "request.refused", group="g1", request="a1", code=1030),
            line(19.9, "lease.collected", host="h2", group="g1", hosts=6),
            line(19.8, "lease.collected", host="h2", group="g2", hosts=6),
        ]
        entries = request_history(decoded(log), "a1")
        assert [(entry.message, entry.host) for entry in entries] == [
            ("lease.collected", "h2"),
            ("lease.not_renewed", "h1"),
            ("request.refused", "h1"),
        ]

    def test_is_empty_for_an_unknown_request(self):
        assert request_history(decoded(), "zz") == []


class TestTimeline:
    def test_orders_the_state_changes_of_all_hosts(self):
        ordered = timeline(reversed(decoded()), group="g1")
        assert [entry.message for entry in ordered] == [
            "leadership.suspected",
            "promotion.claimed",
            "promotion.finished",
        ]


class TestCommands:
    def test_explain_a_request_from_a_file(self, tmp_path, capsys):
        path = tmp_path / "log"
        path.write_text("\n".join(LOG))
        Fennelhill().explain("a1", str(path))
        assert "promotion.claimed group=g1 token=7" in capsys.readouterr().out

    def test_explain_as_json(self, tmp_path, capsys):
        path = tmp_path / "log"
        path.write_text("\n".join(LOG))
        Fennelhill().explain("a1", str(path), json=True)
        lines = capsys.readouterr().out.splitlines()
        assert json.loads(lines[-1])["detail"]["code"] == 1012

    def test_explain_a_code(self, capsys):
        Fennelhill().explain(1012)
        assert "no_primary" in capsys.readouterr().out

    def test_names_a_missing_file(self, capsys):
        with pytest.raises(SystemExit):
            Fennelhill().timeline("nowhere.log")
        assert "nowhere.log" in capsys.readouterr().err
