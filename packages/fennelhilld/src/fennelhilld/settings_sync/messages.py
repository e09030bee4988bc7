"""Messages between entry hosts about settings."""

from __future__ import annotations

import msgspec
from fennelhill_core.subtrees import Subtree


class SettingsSince(msgspec.Struct):
    """Request for the changes after a revision.

    Parameters
    ----------
    revision : int
        The revision that is in force at the requesting host.
    """

    revision: int


class SettingsReply(msgspec.Struct):
    """The changes after a revision.

    Parameters
    ----------
    revision : int
        The revision in force at the answering host.
    confirmed_age_ms : float
        Time since that host's revision was last confirmed as the latest, in
        milliseconds.
    subtrees : dict
        Changed subtrees by team.
    """

    revision: int
    confirmed_age_ms: float
    subtrees: dict[str, Subtree] = {}
