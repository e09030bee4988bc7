"""All queries between hosts that travel as datagrams, and their answers."""

from __future__ import annotations

from fennelhilld.directory.messages import TableAnswer, TableQuery
from fennelhilld.leader_lease.messages import LeaderAnswer, LeaderQuery
from fennelhilld.quotas.messages import QuotaAnswer, QuotaQuery

HostQuery = LeaderQuery | QuotaQuery | TableQuery
HostAnswer = LeaderAnswer | QuotaAnswer | TableAnswer
