"""Finds changes of the store's tables that a host's own polls have missed."""

from __future__ import annotations

from collections.abc import Callable

from fennelhill_core.clock import Clock
from fennelhill_core.platform import StoreVersion
from fennelhill_core.tasks import Tasks

from fennelhilld.directory.follower import TableFollower
from fennelhilld.directory.messages import TableAnswer, TableQuery, TableState
from fennelhilld.fleet.messages import PeerQueries
from fennelhilld.fleet.roster import Roster
from fennelhilld.leader_lease.renewal import HOST_QUERY_MS
from fennelhilld.store_era.state import EraWatch

CHECK_INTERVAL_MS = 250.0
# Other hosts are asked this often.
ASK_INTERVAL_MS = 500.0
# Age at which the first of all hosts asks the store.  What it knows reaches the others
# within two more intervals.
READER_LIMIT_MS = 750.0
# Age at which any other host asks the store itself.  A change must be in force within
# 3 s, also if no other host answers.
UNCONFIRMED_LIMIT_MS = 2_500.0
# The poll in progress delivers most changes sooner than this after another host.
REPORT_GRACE_MS = 250.0


class TableConfirmation:
    """Confirms that a host lacks no change of the tables that it follows.

    A poll that is never answered looks like a table that does not change, and a lost
    connection need not show.  So each host learns the newest changes that another host
    knows, and asks the store for changes if it lacks one, or if nothing has confirmed
    for too long that it lacks none.  Only the first of all hosts asks the store at
    rest, so the calls do not grow with the number of hosts.

    Parameters
    ----------
    source_names : callable
        Returns the hosts to ask, in turn; empty for the first of all hosts.
    roster : Roster
        The other hosts.
    eras : EraWatch
        The newest era of the store that is known.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        source_names: Callable[[], list[str]],
        roster: Roster,
        eras: EraWatch,
        clock: Clock,
    ) -> None:
        # By table.
        self.followers: dict[str, TableFollower] = {}
        self.peers: PeerQueries | None = None
        self._source_names = source_names
        self._roster = roster
        self._eras = eras
        self._clock = clock
        self._asked_ms = float("-inf")
        # The newest change that another host knows and this one lacks, and since when.
        self._reported: dict[str, tuple[StoreVersion, float]] = {}
        self._checking = False
        self._tasks = Tasks()

    def answer(self, query: TableQuery) -> TableAnswer:
        """Answer another host's query.

        Parameters
        ----------
        query : TableQuery
            The query.

        Returns
        -------
        TableAnswer
            The state of all tables that this host has read.
        """
        self._eras.notice(query.era, "another host")
        tables = {
            table: TableState(follower.newest_change, follower.age_ms)
            for table, follower in self.followers.items()
            if follower.following
        }
        return TableAnswer(tables, self._eras.current)

    async def run(self) -> None:
        """Ask other hosts and the store until cancelled."""
        try:
            while True:
                await self._clock.sleep_ms(CHECK_INTERVAL_MS)
                names = self._source_names()
                if names and self._clock.now_ms() >= self._asked_ms + ASK_INTERVAL_MS:
                    self._asked_ms = self._clock.now_ms()
                    await self._ask(names)
                if not self._checking:
                    limit_ms = UNCONFIRMED_LIMIT_MS if names else READER_LIMIT_MS
                    self._tasks.spawn(self._check_overdue(limit_ms))
        finally:
            self._tasks.cancel()

    async def _ask(self, names: list[str]) -> None:
        """Ask the first host that answers."""
        for name in names:
            address = self._roster.addresses.get(name)
            if self.peers is None or address is None:
                continue
            sent_ms = self._clock.boottime_ms()
            query = TableQuery(self._eras.current)
            answer = await self.peers.ask(address, query, HOST_QUERY_MS)
            if isinstance(answer, TableAnswer):
                if self._eras.notice(answer.era, name):
                    self._apply(answer, sent_ms)
                return

    def _apply(self, answer: TableAnswer, sent_ms: float) -> None:
        for table, state in answer.tables.items():
            follower = self.followers.get(table)
            if follower is None:
                continue
            if not follower.confirm(state.newest_change, sent_ms - state.age_ms):
                _, since_ms = self._reported.get(table, (None, self._clock.now_ms()))
                self._reported[table] = (state.newest_change, since_ms)

    async def _check_overdue(self, limit_ms: float) -> None:
        """Ask the store about overdue tables, one after the other, until it fails."""
        self._checking = True
        try:
            for table, follower in self.followers.items():
                if self._is_overdue(table, limit_ms) and not await follower.check():
                    return
        finally:
            self._checking = False

    def _is_overdue(self, table: str, limit_ms: float) -> bool:
        follower = self.followers[table]
        if not follower.polling:
            return False  # Its next call, which comes by itself, returns at once.
        if follower.age_ms > limit_ms:
            return True
        version, since_ms = self._reported.get(table, (StoreVersion(), 0.0))
        if not follower.lacks(version):
            self._reported.pop(table, None)
            return False
        return self._clock.now_ms() >= since_ms + REPORT_GRACE_MS
