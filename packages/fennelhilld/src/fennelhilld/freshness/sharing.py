"""Fetches positions of leaders that this host itself talks to too seldom."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from fennelhill_core.clock import MS_PER_S, Clock
from fennelhill_core.tasks import Tasks

from fennelhilld.fleet.messages import PeerQueries
from fennelhilld.leader_lease.messages import SampleAnswer, SampleQuery
from fennelhilld.placement.state import GroupState

QUERY_TIMEOUT_MS = 40.0
# A sample is renewed when half of the allowed staleness has passed.
RENEWAL_SHARE = 0.5
# Pause after a query without a usable answer.
RETRY_MS = 200.0


class SampleSource:
    """Asks an owner of a group's leader for the leader's position.

    In a large fleet a host sees few answers of each leader.  Without a sample that is
    younger than the allowed staleness, each read would need the leader itself.

    Parameters
    ----------
    owners : callable
        Returns the addresses of the owners of a group's leader, in the order of use;
        empty if this host sees the leader's answers itself.
    clock : Clock
        Source of time.
    others : callable
        Returns the addresses of hosts that may have a newer sample than this one, for a
        group none of whose leader's owners answers.
    """

    __slots__ = (
        "_clock",
        "_others",
        "_owners",
        "_queries",
        "_retry_ms",
        "_tasks",
        "peers",
    )

    def __init__(
        self,
        owners: Callable[[GroupState], list[str]],
        clock: Clock,
        others: Callable[[GroupState], list[str]] = lambda group: [],
    ) -> None:
        self.peers: PeerQueries | None = None
        self._owners = owners
        self._others = others
        self._clock = clock
        self._queries: dict[str, asyncio.Task[None]] = {}
        self._retry_ms: dict[str, float] = {}
        self._tasks = Tasks()

    def keep_fresh(self, group: GroupState, max_age_ms: float) -> None:
        """Renew the sample of a group in time, without waiting for it.

        Parameters
        ----------
        group : GroupState
            The group.
        max_age_ms : float
            Staleness that reads of the group allow.
        """
        sample = group.freshness.newest_sample()
        age_ms = self._clock.boottime_ms() - sample.sent_ms if sample else max_age_ms
        if age_ms >= RENEWAL_SHARE * max_age_ms:
            self._start_query(group)

    async def fetch(self, group: GroupState) -> None:
        """Fetch a sample, and wait for it for a moment.

        Parameters
        ----------
        group : GroupState
            The group.
        """
        query = self._start_query(group)
        if query is not None:
            await asyncio.wait({query}, timeout=QUERY_TIMEOUT_MS / MS_PER_S)

    def close(self) -> None:
        """Cancel all queries."""
        self._tasks.cancel()

    def _start_query(self, group: GroupState) -> asyncio.Task[None] | None:
        running = self._queries.get(group.name)
        if running is not None and not running.done():
            return running
        if self.peers is None or self._clock.now_ms() < self._retry_ms.get(
            group.name, float("-inf")
        ):
            return None
        addresses = self._owners(group)
        others = [] if addresses else self._others(group)
        if not addresses and not others:
            return None
        querying = (
            self._query(group, addresses)
            if addresses
            else self._query_all(group, others)
        )
        query = self._tasks.spawn(querying)
        self._queries[group.name] = query
        return query

    async def _query(self, group: GroupState, addresses: list[str]) -> None:
        for address in addresses:
            if await self._ask(group, address):
                return
        self._retry_ms[group.name] = self._clock.now_ms() + RETRY_MS

    async def _query_all(self, group: GroupState, addresses: list[str]) -> None:
        """Ask hosts that have no newer source either: the newest sample counts."""
        self._retry_ms[group.name] = self._clock.now_ms() + RETRY_MS
        await asyncio.gather(*(self._ask(group, address) for address in addresses))

    async def _ask(self, group: GroupState, address: str) -> bool:
        sent_ms = self._clock.boottime_ms()
        answer = await self.peers.ask(
            address, SampleQuery(group.name), QUERY_TIMEOUT_MS / 2
        )
        if not isinstance(answer, SampleAnswer) or answer.position is None:
            return False
        # Counted from the sending of the query, so never too young.
        group.freshness.add_sample(sent_ms - answer.age_ms, answer.position)
        return True
