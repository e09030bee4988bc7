"""All queries between hosts that travel as datagrams, and their answers."""

from __future__ import annotations

from typing import Protocol

from fennelhilld.directory.messages import TableAnswer, TableQuery
from fennelhilld.electorate.messages import ElectorateAnswer, ElectorateQuery
from fennelhilld.leader_lease.messages import LeaderAnswer, LeaderQuery
from fennelhilld.quotas.messages import QuotaAnswer, QuotaQuery

HostQuery = LeaderQuery | QuotaQuery | TableQuery | ElectorateQuery
HostAnswer = LeaderAnswer | QuotaAnswer | TableAnswer | ElectorateAnswer


class PeerQueries(Protocol):
    """Sends queries to other hosts."""

    async def ask(
        self, address: str, query: HostQuery, limit_ms: float
    ) -> HostAnswer | None:
        """Send a query; return the answer, or None if none came in time."""
