"""Teams' subtrees of the settings, stored in the table service.

A subtree is the part of the settings that belongs to one team.  Once a team's subtree
has been changed, the stored one replaces that of the settings file.
"""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from fennelhill_core.platform import (
    Commit,
    StoreFault,
    StoreUnavailableError,
    TableService,
)
from fennelhill_core.settings import Settings, Team

INDEX_KEY = "settings/revision"
TEAM_KEY_PREFIX = "settings/teams/"
CHANGE_KEY_PREFIX = "settings/changes/"
MAX_ATTEMPTS = 3


class Index(msgspec.Struct):
    """The global revision, and the revision of each team's subtree.

    Parameters
    ----------
    revision : int
        Number of accepted changes.
    teams : dict
        Revision in which each team's subtree was last changed.
    """

    revision: int = 0
    teams: dict[str, int] = {}


class Subtree(msgspec.Struct):
    """One team's accepted subtree.

    Parameters
    ----------
    revision : int
        Revision of the change.
    change_id : str
        Unique id of the change.
    team : Team
        The content.
    """

    revision: int
    change_id: str
    team: Team


class Rejection(msgspec.Struct):
    """Why a change was not accepted.

    Parameters
    ----------
    problems : list of str
        What is wrong with the content; empty if another change came first.
    current : Subtree or None
        The stored subtree, if the expected revision is not the stored one.
    """

    problems: list[str] = []
    current: Subtree | None = None


def with_teams(settings: Settings, teams: dict[str, Team]) -> Settings:
    """Replace or add teams in checked settings.

    Parameters
    ----------
    settings : Settings
        The settings file.
    teams : dict
        The teams to replace or add, by name.

    Returns
    -------
    Settings
        The new settings, not checked yet.
    """
    return msgspec.structs.replace(settings, teams={**settings.teams, **teams})


class SubtreeStore:
    """Reads and changes the subtrees; every method may raise `StoreUnavailableError`.

    A change writes the index, the subtree and a row for its id in one conditional
    transaction.  Concurrent changes conflict on the index, and one succeeds.  An
    operator whose answer was lost sends the same change id again and gets the same
    result, even if others have changed the subtree since.

    Parameters
    ----------
    table : TableService
        The platform's table service.
    """

    __slots__ = ("_table",)

    def __init__(self, table: TableService) -> None:
        self._table = table

    async def index(self) -> Index:
        """Read the index.

        Returns
        -------
        Index
            Revision 0 before the first change.
        """
        return (await self._index())[0]

    async def subtree(self, team: str) -> Subtree | None:
        """Read a team's subtree.

        Parameters
        ----------
        team : str
            Name of the team.

        Returns
        -------
        Subtree or None
            None if it was never changed.
        """
        row = await self._table.read(TEAM_KEY_PREFIX + team)
        return None if row is None else msgspec.json.decode(row.value, type=Subtree)

    async def put(
        self, settings: Settings, name: str, team: Team, expect: int, change_id: str
    ) -> Result[int, Rejection]:
        """Change a team's subtree.

        Parameters
        ----------
        settings : Settings
            The settings file, against which the change is checked.
        name : str
            Name of the team.
        team : Team
            The new content.
        expect : int
            Revision of the subtree that the change is based on; 0 for none.
        change_id : str
            Unique id of the change; the same for each attempt.

        Returns
        -------
        Result
            The revision of the change, or why it was not accepted.
        """
        problems = await self._change_problems(settings, name, team)
        if problems:
            return Err(Rejection(problems))
        for _ in range(MAX_ATTEMPTS):
            change_row = await self._table.read(CHANGE_KEY_PREFIX + change_id)
            if change_row is not None:
                return Ok(int(change_row.value))
            index, version = await self._index()
            if index.teams.get(name, 0) != expect:
                return Err(Rejection(current=await self.subtree(name)))
            revision = index.revision + 1
            if await self._commit(index, version, name, team, change_id):
                return Ok(revision)
            # Another change was accepted in between, or the answer was lost.
        raise StoreUnavailableError(StoreFault.NO_ANSWER)

    async def _change_problems(
        self, settings: Settings, name: str, team: Team
    ) -> list[str]:
        """Return the problems of a change, given the other teams' current subtrees."""
        other_teams = {}
        for other_name in (await self.index()).teams:
            current = await self.subtree(other_name)
            if other_name != name and current is not None:
                other_teams[other_name] = current.team
        return with_teams(settings, {**other_teams, name: team}).problems()

    async def _index(self) -> tuple[Index, int]:
        row = await self._table.read(INDEX_KEY)
        if row is None:
            return Index(), 0
        return msgspec.json.decode(row.value, type=Index), row.version

    async def _commit(
        self, index: Index, version: int, name: str, team: Team, change_id: str
    ) -> bool:
        revision = index.revision + 1
        index = Index(revision, {**index.teams, name: revision})
        subtree = Subtree(revision, change_id, team)
        put = {
            INDEX_KEY: msgspec.json.encode(index).decode(),
            TEAM_KEY_PREFIX + name: msgspec.json.encode(subtree).decode(),
            CHANGE_KEY_PREFIX + change_id: str(revision),
        }
        expect = {INDEX_KEY: version, CHANGE_KEY_PREFIX + change_id: 0}
        try:
            return (await self._table.commit(Commit(expect, put))).committed
        except StoreUnavailableError as error:
            if error.fault is not StoreFault.NO_ANSWER:
                raise
            # If the transaction took effect, the next attempt finds the change's row.
            return False
