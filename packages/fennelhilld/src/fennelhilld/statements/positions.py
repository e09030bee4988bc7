"""What a session has committed."""

from __future__ import annotations

from fennelhill_core.tokens import Position


class SessionPositions:
    """What one session has committed, by group.

    A commit whose outcome is unknown makes the session *unsure* of the group: its
    reads then go to the leader, until one of them gives a position that covers it.
    """

    __slots__ = ("own", "unsure")

    def __init__(self) -> None:
        self.own: dict[str, Position] = {}
        self.unsure: set[str] = set()

    def committed(self, group: str, position: Position | None) -> None:
        """Note a commit of this session.

        Parameters
        ----------
        group : str
            The group.
        position : Position or None
            Its position; nothing where the target did not say.
        """
        if position is None:
            self.unsure.add(group)
        else:
            self.own[group] = position

    def seen_at_leader(self, group: str, position: Position | None) -> None:
        """Note a position that the leader answered to a read of this session.

        Parameters
        ----------
        group : str
            The group.
        position : Position or None
            The position.
        """
        if group in self.unsure and position is not None:
            self.unsure.discard(group)
            self.own[group] = position
