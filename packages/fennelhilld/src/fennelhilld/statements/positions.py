"""Log positions of a session's commits."""

from __future__ import annotations

from fennelhill_core.tokens import Position


class SessionPositions:
    """Position of a session's last commit in each group.

    After a commit whose outcome or position is unknown, the session's reads of that
    group go to the leader, until an answer to one of them contains a position,
    which is then used in place of the commit's.
    """

    __slots__ = ("last_commits", "unknown_outcomes")

    def __init__(self) -> None:
        self.last_commits: dict[str, Position] = {}
        self.unknown_outcomes: set[str] = set()

    def record_commit(self, group: str, position: Position | None) -> None:
        """Record a commit of this session.

        Parameters
        ----------
        group : str
            The group.
        position : Position or None
            Position of the commit; None if the target did not return one.
        """
        if position is None:
            self.unknown_outcomes.add(group)
        else:
            self.last_commits[group] = position

    def record_leader_position(self, group: str, position: Position | None) -> None:
        """Record the position in the leader's answer to a read of this session.

        Parameters
        ----------
        group : str
            The group.
        position : Position or None
            The position, if known.
        """
        if group in self.unknown_outcomes and position is not None:
            self.unknown_outcomes.discard(group)
            self.last_commits[group] = position
