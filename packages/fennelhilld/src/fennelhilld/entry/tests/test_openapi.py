"""Tests that the OpenAPI file and the routes name the same calls."""

from __future__ import annotations

import re
from pathlib import Path

import yaml
from fennelhilld.entry.http import caller_routes

DOCUMENT = Path(__file__).parents[6] / "docs" / "openapi.yaml"


class TestOpenApi:
    def test_names_every_call_and_no_other(self):
        documented = set(yaml.safe_load(DOCUMENT.read_text())["paths"])
        samples = {re.sub(r"\{\w+\}", "x", path): path for path in documented}
        patterns = [route[0] for route in caller_routes(None, None, bool, 1)]
        matched = {
            path
            for sample, path in samples.items()
            if any(re.fullmatch(pattern, sample) for pattern in patterns)
        }
        assert matched == documented
        for pattern in patterns:
            assert any(re.fullmatch(pattern, sample) for sample in samples)
