"""Stand-ins for the platform: table service, object store and host list."""

from __future__ import annotations

import hashlib
from collections import deque

from fennelhill_core.clock import MS_PER_S, Clock
from fennelhill_core.platform import (
    Commit,
    CommitReply,
    HostEntry,
    Row,
    StoreFault,
    StoreUnavailableError,
)

from fennelhill_bench.network import Network

TABLE_DELAY_MS = 3.0
TABLE_WRITES_PER_S = 300
TABLE_READS_PER_S = 2000
OBJECT_STORE_DELAY_MS = 8.0
HOST_LIST_LAG_MS = 3_000


class _RateLimit:
    """Limits the number of requests in a sliding window of one second."""

    __slots__ = ("_clock", "_per_s", "_times_ms")

    def __init__(self, per_s: int, clock: Clock) -> None:
        self._per_s = per_s
        self._clock = clock
        self._times_ms: deque[float] = deque()

    def admit(self) -> bool:
        now_ms = self._clock.now_ms()
        while self._times_ms and self._times_ms[0] <= now_ms - MS_PER_S:
            self._times_ms.popleft()
        if len(self._times_ms) >= self._per_s:
            return False
        self._times_ms.append(now_ms)
        return True


class TableServiceStandIn:
    """Versioned rows, written by conditional transactions over several rows.

    Parameters
    ----------
    clock : Clock
        Source of time.
    writes_per_s : int
        Maximum rate of transactions.
    reads_per_s : int
        Maximum rate of reads.
    """

    def __init__(
        self,
        clock: Clock,
        writes_per_s: int = TABLE_WRITES_PER_S,
        reads_per_s: int = TABLE_READS_PER_S,
    ) -> None:
        self.rows: dict[str, Row] = {}
        self.down = False
        self.delay_ms = TABLE_DELAY_MS
        self.answers_to_lose = 0
        self.writes = 0
        self.reads = 0
        self._clock = clock
        self._write_limit = _RateLimit(writes_per_s, clock)
        self._read_limit = _RateLimit(reads_per_s, clock)

    async def read(self, key: str) -> Row | None:
        """Read a row.

        Parameters
        ----------
        key : str
            Name of the row.

        Returns
        -------
        Row or None
            The row, if there is one.

        Raises
        ------
        StoreUnavailableError
            If the service is down or over its rate limit.
        """
        await self._check_available(self._read_limit)
        self.reads += 1
        return self.rows.get(key)

    async def commit(self, commit: Commit) -> CommitReply:
        """Run a conditional transaction atomically.

        Parameters
        ----------
        commit : Commit
            Expected versions, and rows to write.

        Returns
        -------
        CommitReply
            Whether the rows had the expected versions and were written.

        Raises
        ------
        StoreUnavailableError
            If the service is down or over its rate limit, or if the answer was lost.
        """
        await self._check_available(self._write_limit)
        self.writes += 1
        for key, version in commit.expect.items():
            row = self.rows.get(key)
            if (row.version if row else 0) != version:
                return CommitReply(False)
        for key, value in commit.put.items():
            row = self.rows.get(key)
            self.rows[key] = Row((row.version if row else 0) + 1, value)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            raise StoreUnavailableError(StoreFault.NO_ANSWER)
        return CommitReply(True)

    async def _check_available(self, limit: _RateLimit) -> None:
        await self._clock.sleep_ms(self.delay_ms)
        if self.down:
            raise StoreUnavailableError(StoreFault.DOWN)
        if not limit.admit():
            raise StoreUnavailableError(StoreFault.RATE_LIMITED)


class ZoneTable:
    """The table service as seen from one availability zone.

    Parameters
    ----------
    table : TableServiceStandIn
        The service.
    network : Network
        Decides which zones can reach the platform.
    zone : str
        The zone.
    """

    __slots__ = ("_network", "_table", "_zone")

    def __init__(self, table: TableServiceStandIn, network: Network, zone: str) -> None:
        self._table = table
        self._network = network
        self._zone = zone

    async def read(self, key: str) -> Row | None:
        """Read a row.

        Parameters
        ----------
        key : str
            Name of the row.

        Returns
        -------
        Row or None
            The row, if there is one.

        Raises
        ------
        StoreUnavailableError
            If the zone cannot reach the platform, or the service fails.
        """
        self._check_reachable()
        return await self._table.read(key)

    async def commit(self, commit: Commit) -> CommitReply:
        """Run a conditional transaction.

        Parameters
        ----------
        commit : Commit
            Expected versions, and rows to write.

        Returns
        -------
        CommitReply
            Whether the rows had the expected versions and were written.

        Raises
        ------
        StoreUnavailableError
            If the zone cannot reach the platform, or the service fails.
        """
        self._check_reachable()
        return await self._table.commit(commit)

    def _check_reachable(self) -> None:
        if not self._network.reaches_platform(self._zone):
            raise StoreUnavailableError(StoreFault.DOWN)


class ObjectStoreStandIn:
    """Immutable objects, stored under the digest of their content.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.objects: dict[str, bytes] = {}
        self.down = False
        self.delay_ms = OBJECT_STORE_DELAY_MS
        self.answers_to_lose = 0
        self._clock = clock

    async def put(self, content: bytes) -> str:
        """Store an object.

        Parameters
        ----------
        content : bytes
            The content.

        Returns
        -------
        str
            Digest of the content, which is the object's key.

        Raises
        ------
        StoreUnavailableError
            If the store is down, or the answer was lost.
        """
        await self._check_available()
        digest = hashlib.sha256(content).hexdigest()
        self.objects[digest] = content
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            raise StoreUnavailableError(StoreFault.NO_ANSWER)
        return digest

    async def get(self, digest: str) -> bytes | None:
        """Read an object.

        Parameters
        ----------
        digest : str
            Its digest.

        Returns
        -------
        bytes or None
            The content, if there is such an object.

        Raises
        ------
        StoreUnavailableError
            If the store is down.
        """
        await self._check_available()
        return self.objects.get(digest)

    async def _check_available(self) -> None:
        await self._clock.sleep_ms(self.delay_ms)
        if self.down:
            raise StoreUnavailableError(StoreFault.DOWN)


class HostListStandIn:
    """A list of live and leaving hosts that is delivered with a delay.

    Parameters
    ----------
    clock : Clock
        Source of time.
    lag_ms : float
        Delay of the list in milliseconds.
    """

    def __init__(self, clock: Clock, lag_ms: float = HOST_LIST_LAG_MS) -> None:
        self.lag_ms = lag_ms
        self.down = False
        self._clock = clock
        self._history: list[tuple[float, list[HostEntry]]] = []

    def publish(self, hosts: list[HostEntry]) -> None:
        """Set the current hosts.

        Parameters
        ----------
        hosts : list of HostEntry
            All hosts.
        """
        self._history.append((self._clock.now_ms(), hosts))

    async def hosts(self) -> list[HostEntry]:
        """Return the list as it was `lag_ms` ago.

        Returns
        -------
        list of HostEntry
            The hosts; the first list if none is that old.

        Raises
        ------
        StoreUnavailableError
            If the service is down.
        """
        if self.down:
            raise StoreUnavailableError(StoreFault.DOWN)
        latest_visible_ms = self._clock.now_ms() - self.lag_ms
        visible = [
            hosts for at_ms, hosts in self._history if at_ms <= latest_visible_ms
        ]
        return visible[-1] if visible else self._history[0][1]
