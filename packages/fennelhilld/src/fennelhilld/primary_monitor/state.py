"""State that the monitor keeps for each target of its group."""

from __future__ import annotations

from fennelhill_core.settings import Target
from fennelhill_core.tokens import Position

from fennelhilld.targets.driver import TargetControl
from fennelhilld.targets.messages import Status


class Member:
    """State of one target of the group."""

    __slots__ = (
        "control",
        "has_progress_task",
        "lag_ms",
        "status",
        "target",
        "unanswered_since_ms",
    )

    def __init__(self, target: Target, now_ms: float) -> None:
        self.target = target
        self.control: TargetControl | None = None
        self.status = Status(target.id, 0, False, Position())
        # Start of the oldest round without an answer since the target's last answer;
        # None once it has answered.
        self.unanswered_since_ms: float | None = now_ms
        self.has_progress_task = False
        # Age of the target's data when it last reported; estimates its replication lag.
        self.lag_ms = 0.0
