"""Tests of structured logs."""

from __future__ import annotations

import json
import os

import pytest
from fennelhill_core.logs import BoundedSink
from loguru import logger


def log_line(**fields):
    """Log a message with fields, and return the line that was written."""
    read_end, write_end = os.pipe()
    handler = logger.add(BoundedSink(write_end).write, catch=False)
    try:
        logger.bind(**fields).info("target.listed")
        return json.loads(os.read(read_end, 65_536))
    finally:
        logger.remove(handler)
        os.close(read_end)
        os.close(write_end)


class TestLines:
    def test_hold_the_fields_of_the_record(self):
        assert log_line(target="i-1", term=3)["term"] == 3

    @pytest.mark.parametrize(
        "value",
        [10**5_000, "\ud800", {"a": "\ud800"}],
        ids=["5,000 digits", "lone surrogate", "nested"],
    )
    def test_with_a_value_that_json_cant_hold_are_written(self, value):
        """Guards against a log line that ends the decision that it describes."""
        line = log_line(target="i-1", value=value)
        assert line["message"] == "target.listed"
        assert line["target"] == "i-1"
        assert isinstance(line["value"], str)
