"""The outcome of a case."""

from __future__ import annotations

from typing import NamedTuple


class Verdict(NamedTuple):
    """Exit status of a script, and its last line.

    Attributes
    ----------
    status : int
        1 if the rule was broken, 0 if it held, 2 if the case could not run.
    text : str
        What was seen.
    """

    status: int
    text: str
