"""Weights with which organisations share the targets' time."""

from __future__ import annotations

import math

from fennelhill_core.events import EventLog

DEFAULT_WEIGHT = 1.0
MAX_NAMED = 10  # invalid entries that the log line names


def check_weights(value: object, events: EventLog) -> dict[str, float]:
    """Return the valid weights of a setting; log the others, which are the default.

    Parameters
    ----------
    value : object
        The setting as it was read: a mapping from organisation to a number above 0,
        or None.
    events : EventLog
        Gets one line if something is invalid.

    Returns
    -------
    dict
        Weight by organisation.
    """
    if value is None:
        return {}
    if not isinstance(value, dict):
        events.record("shares.weights_ignored", reason="not a mapping", count=1)
        return {}
    weights = {
        name: float(weight)
        for name, weight in value.items()
        if isinstance(name, str) and _is_valid(weight)
    }
    invalid = [str(name) for name in value if name not in weights]
    if invalid:
        events.record(
            "shares.weights_ignored",
            reason="not a finite number above 0",
            organisations=invalid[:MAX_NAMED],
            count=len(invalid),
        )
    return weights


def _is_valid(weight: object) -> bool:
    if isinstance(weight, bool) or not isinstance(weight, int | float):
        return False
    try:
        return math.isfinite(weight) and weight > 0
    except OverflowError:  # an integer beyond the range of floats
        return False
