"""What a host decides about the partitions that it issues permits for."""

from __future__ import annotations

import math

from fennelhilld.quotas.bucket import TokenIssuer
from fennelhilld.quotas.election import (
    RENEWAL_MS,
    RETRY_MS,
    IssuerLease,
    PromiseBook,
    ZoneHosts,
)
from fennelhilld.quotas.limits import QuotaBounds
from fennelhilld.quotas.messages import PromiseAnswer, PromiseQuery

# A candidate that gave way stands again after this time, if there is no issuer then.
GIVE_WAY_MS = 300.0


class PartitionIssuer:
    """One partition of the zone on one host: its promise, its lease and its buckets.

    Answers the loss, the suspension and the planned stop of an issuer.

    Parameters
    ----------
    host : str
        This host.
    partition : int
        The partition.
    bounds : QuotaBounds
        Times and initial tokens.
    started : int
        Tells this process from earlier ones of the same host.
    now_ms : float
        Time of the start, on the clock that counts suspended time.
    """

    __slots__ = (
        "_host",
        "_lease",
        "_stand_after_ms",
        "_started",
        "book",
        "issuing",
        "partition",
        "tokens",
    )

    def __init__(
        self,
        host: str,
        partition: int,
        bounds: QuotaBounds,
        started: int,
        now_ms: float,
    ) -> None:
        self._host = host
        self._started = started
        self._lease = IssuerLease(bounds.permit_ms)
        self._stand_after_ms = -math.inf
        self.partition = partition
        self.book = PromiseBook(host, partition, now_ms, bounds.permit_ms)
        self.tokens = TokenIssuer(bounds)
        self.issuing = False

    def issues_at(self, now_ms: float) -> bool:
        """Return whether this host may give permits and tokens out.

        A lease that has expired, as after a suspension, ends the issuer: another one
        may have minted since, so that none of the old tokens may be used.

        Parameters
        ----------
        now_ms : float
            Time on the clock that counts suspended time.

        Returns
        -------
        bool
            Whether it is the issuer.
        """
        if self.issuing and not self._lease.holds(now_ms):
            self._end()
        return self.issuing

    def _end(self) -> None:
        self.issuing = False
        self.tokens.clear()
        self._lease.end()

    def update(self, hosts: ZoneHosts, now_ms: float) -> None:
        """Apply a change of the zone's hosts.

        Parameters
        ----------
        hosts : ZoneHosts
            The zone's hosts.
        now_ms : float
            Time on the clock that counts suspended time.
        """
        self.issues_at(now_ms)
        self._lease.update(hosts)
        self.issues_at(now_ms)

    def next_query(self, hosts: ZoneHosts, now_ms: float) -> PromiseQuery | None:
        """Return what to ask all hosts of the zone now, this one included.

        Parameters
        ----------
        hosts : ZoneHosts
            The zone's hosts.
        now_ms : float
            Time on the clock that counts suspended time.

        Returns
        -------
        PromiseQuery or None
            None if nothing is to be asked now.
        """
        issuing = self.issues_at(now_ms)
        since_ms = now_ms - self._lease.asked_ms
        if since_ms < (RENEWAL_MS if issuing else RETRY_MS):
            return None
        if not issuing and (
            now_ms < self._stand_after_ms or not self.book.should_stand(hosts, now_ms)
        ):
            return None
        return self._query(hosts, self._lease.start_round(now_ms))

    def record(
        self,
        name: str,
        answer: PromiseAnswer,
        query: PromiseQuery,
        hosts: ZoneHosts,
        now_ms: float,
    ) -> PromiseQuery | None:
        """Record an answer to a query for a promise.

        Parameters
        ----------
        name : str
            The host that answered.
        answer : PromiseAnswer
            Its answer.
        query : PromiseQuery
            The query.
        hosts : ZoneHosts
            The zone's hosts.
        now_ms : float
            Time on the clock that counts suspended time.

        Returns
        -------
        PromiseQuery or None
            A release to send to all hosts of the zone, if this candidate gives way to
            the issuer or to one that comes before it in order; two that insist would
            share the promises between them for good.
        """
        # Before the answer counts, since it could hide that the lease had expired.
        self.issues_at(now_ms)
        self._lease.record(name, answer, query.round, hosts, now_ms)
        if self.issues_at(now_ms) or self.begin_if_ready(hosts, now_ms):
            return None
        if answer.granted or not (answer.issuing or self._precedes(answer, hosts)):
            return None
        if query.round != self._lease.round or now_ms < self._stand_after_ms:
            return None
        return self.give_up(hosts, now_ms)

    def begin_if_ready(self, hosts: ZoneHosts, now_ms: float) -> bool:
        """Become the issuer if promises and waiting times allow it.

        Parameters
        ----------
        hosts : ZoneHosts
            The zone's hosts.
        now_ms : float
            Time on the clock that counts suspended time.

        Returns
        -------
        bool
            Whether this host has just become the issuer.
        """
        if self.issues_at(now_ms) or not self._lease.may_begin(hosts, now_ms):
            return False
        self.issuing = True
        self.tokens.begin(now_ms)
        return True

    def give_up(self, hosts: ZoneHosts, now_ms: float) -> PromiseQuery:
        """End as issuer or candidate.

        Parameters
        ----------
        hosts : ZoneHosts
            The zone's hosts.
        now_ms : float
            Time on the clock that counts suspended time.

        Returns
        -------
        PromiseQuery
            The release to send to all hosts of the zone, this one included.
        """
        self._end()
        self._stand_after_ms = now_ms + GIVE_WAY_MS
        return self._query(hosts, self._lease.round, release=True)

    def _query(
        self, hosts: ZoneHosts, number: int, release: bool = False
    ) -> PromiseQuery:
        return PromiseQuery(
            self._host,
            self._started,
            self.partition,
            hosts.version,
            hosts.digest,
            number,
            release,
        )

    def _precedes(self, answer: PromiseAnswer, hosts: ZoneHosts) -> bool:
        """Return whether the host that has the promise comes before this one."""
        order = hosts.candidates(self.partition)
        return answer.issuer in order[: order.index(self._host)]
