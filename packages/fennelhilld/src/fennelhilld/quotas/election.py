"""Who may issue permits for a partition of a zone: promises and candidates."""

from __future__ import annotations

import math
from collections.abc import Iterable

import msgspec
import xxhash

from fennelhilld.quotas.limits import candidate_order
from fennelhilld.quotas.messages import PromiseAnswer, PromiseQuery

# An issuer relies on a promise for this long after it asked for it.
PROMISE_MS = 2_000.0
# A host keeps its promise for this long after it gave it; the difference covers clocks
# of different speed.
PROMISE_KEPT_MS = 2_500.0
# An issuer asks for new promises at this interval, so that two rounds may be lost.
RENEWAL_MS = 700.0
# A candidate without enough promises asks again after this time.
RETRY_MS = 100.0
# Each candidate stands once those before it in order were silent for this long.
CANDIDATE_SILENCE_MS = 1_000.0


class ZoneHosts(msgspec.Struct, frozen=True):
    """The hosts of a zone, as one host knows them.

    Parameters
    ----------
    zone : str
        The zone.
    names : frozenset of str
        Its hosts, with the host itself.
    version : int
        Version of the newest change to the list of hosts.
    """

    zone: str
    names: frozenset[str]
    version: int = 0

    @property
    def majority(self) -> int:
        """Smallest number of hosts that is more than half."""
        return len(self.names) // 2 + 1

    @property
    def digest(self) -> int:
        """Digest of the names, to compare lists without sending them."""
        return xxhash.xxh32_intdigest("\n".join(sorted(self.names)).encode())

    def candidates(self, partition: int) -> tuple[str, ...]:
        """Return the hosts in the order in which they become issuer of a partition.

        Parameters
        ----------
        partition : int
            The partition.

        Returns
        -------
        tuple of str
            The names.
        """
        return candidate_order(self.zone, partition, self.names)


class PromiseBook:
    """The promise that a host has given for one partition.

    Answers the loss of an issuer, and a zone whose hosts reach each other only in part:
    a majority promises to one candidate at a time.

    Parameters
    ----------
    host : str
        This host.
    partition : int
        The partition.
    started_ms : float
        When the process started, on the clock that counts suspended time.
    permit_ms : float
        Validity of a permit.
    """

    __slots__ = (
        "_heard_ms",
        "_holder",
        "_host",
        "_kept_until_ms",
        "_partition",
        "_permit_ms",
        "_previous_end_ms",
        "_round",
        "_started_ms",
    )

    def __init__(
        self, host: str, partition: int, started_ms: float, permit_ms: float
    ) -> None:
        self._host = host
        self._partition = partition
        self._started_ms = started_ms
        self._permit_ms = permit_ms
        # Name and process of the host that the promise was given to.
        self._holder = ("", 0)
        self._round = 0
        self._kept_until_ms = -math.inf
        # When the promise to the holder before this one had ended.
        self._previous_end_ms = -math.inf
        self._heard_ms = started_ms

    def holder(self, now_ms: float) -> str:
        """Return the host that has the promise.

        Parameters
        ----------
        now_ms : float
            Time on the clock that counts suspended time.

        Returns
        -------
        str
            Its name; empty if there is none.
        """
        return self._holder[0] if now_ms < self._kept_until_ms else ""

    def answer(
        self, query: PromiseQuery, hosts: ZoneHosts, issuing: bool, now_ms: float
    ) -> PromiseAnswer:
        """Give, refuse or take back a promise.

        Parameters
        ----------
        query : PromiseQuery
            The query.
        hosts : ZoneHosts
            The zone's hosts, as this host knows them.
        issuing : bool
            Whether this host is the issuer itself.
        now_ms : float
            Time on the clock that counts suspended time.

        Returns
        -------
        PromiseAnswer
            The answer.
        """
        if query.release:
            self._take_back(query, hosts, now_ms)
            return PromiseAnswer()
        holder = self.holder(now_ms)
        older_list = query.version < hosts.version and query.zone_hosts != hosts.digest
        if query.candidate not in hosts.names or older_list:
            return PromiseAnswer(issuing=issuing, issuer=holder)
        if issuing and query.candidate != self._host:
            return PromiseAnswer(issuing=True, issuer=self._host)
        asking = (query.candidate, query.started)
        forgetful_ms = max(0.0, self._started_ms + PROMISE_KEPT_MS - now_ms)
        if holder:
            # Datagrams of an earlier process of the holder may still arrive.
            free = holder == query.candidate and query.started >= self._holder[1]
        else:
            first = hosts.candidates(self._partition)[0]
            free = forgetful_ms == 0 or query.candidate == first
        if not free:
            return PromiseAnswer(issuer=holder, forgetful_ms=forgetful_ms)
        if asking != self._holder:
            # A new process of the holder's name ends the promise to the earlier one.
            self._previous_end_ms = min(self._kept_until_ms, now_ms)
            self._holder, self._round = asking, query.round
        self._round = max(self._round, query.round)
        self._kept_until_ms = now_ms + PROMISE_KEPT_MS
        self._heard_ms = now_ms
        wait_ms = max(0.0, self._previous_end_ms + self._permit_ms - now_ms)
        return PromiseAnswer(True, wait_ms, forgetful_ms)

    def _take_back(self, query: PromiseQuery, hosts: ZoneHosts, now_ms: float) -> None:
        # A release that is overtaken by a later query of the same host must not end
        # the promise that the later query was given.
        asking = (query.candidate, query.started)
        if asking != self._holder or query.round < self._round:
            return
        self._kept_until_ms = min(self._kept_until_ms, now_ms)
        self._heard_ms = now_ms
        if hosts.candidates(self._partition)[0] == query.candidate:
            # The first candidate leaves, so the second must not wait for it.
            self._heard_ms -= CANDIDATE_SILENCE_MS

    def should_stand(self, hosts: ZoneHosts, now_ms: float) -> bool:
        """Return whether this host should ask for promises.

        Parameters
        ----------
        hosts : ZoneHosts
            The zone's hosts.
        now_ms : float
            Time on the clock that counts suspended time.

        Returns
        -------
        bool
            True for the first candidate in order if there is no other issuer, and for
            the next ones once those before were silent.
        """
        position = hosts.candidates(self._partition).index(self._host)
        if self.holder(now_ms) not in ("", self._host):
            # Other hosts' promises to a lost issuer may have ended already.
            position = max(1, position)
        return now_ms - self._heard_ms >= CANDIDATE_SILENCE_MS * position


class IssuerLease:
    """The promises that a candidate has collected for one partition.

    Parameters
    ----------
    permit_ms : float
        Validity of a permit.
    """

    __slots__ = (
        "_asked_ms",
        "_forgetful_until_ms",
        "_granted_ms",
        "_not_before_ms",
        "_permit_ms",
        "asked_ms",
        "round",
        "valid_until_ms",
    )

    def __init__(self, permit_ms: float) -> None:
        self._permit_ms = permit_ms
        # When the rounds that may still be answered were asked, by number.
        self._asked_ms: dict[int, float] = {}
        # When the newest promise was asked for, by host.
        self._granted_ms: dict[str, float] = {}
        # Until when a host may have forgotten a promise to a predecessor; -inf for
        # hosts that remember.  Hosts that have not promised are missing.
        self._forgetful_until_ms: dict[str, float] = {}
        self._not_before_ms = -math.inf
        self.round = 0
        self.asked_ms = -math.inf
        self.valid_until_ms = -math.inf

    def start_round(self, now_ms: float) -> int:
        """Begin to ask all hosts of the zone.

        Parameters
        ----------
        now_ms : float
            Time on the clock that counts suspended time.

        Returns
        -------
        int
            Number of the round.
        """
        self.round += 1
        self.asked_ms = self._asked_ms[self.round] = now_ms
        for number, asked_ms in list(self._asked_ms.items()):
            if now_ms - asked_ms > PROMISE_MS:
                del self._asked_ms[number]
        return self.round

    def record(
        self,
        name: str,
        answer: PromiseAnswer,
        number: int,
        hosts: ZoneHosts,
        now_ms: float,
    ) -> None:
        """Record an answer to a query for a promise.

        Parameters
        ----------
        name : str
            The host that answered.
        answer : PromiseAnswer
            Its answer.
        number : int
            Number of the round; answers to rounds that were given up do not count.
        hosts : ZoneHosts
            The zone's hosts.
        now_ms : float
            Time on the clock that counts suspended time.
        """
        asked_ms = self._asked_ms.get(number)
        if asked_ms is None:
            return
        if answer.granted:
            self._granted_ms[name] = max(
                asked_ms, self._granted_ms.get(name, -math.inf)
            )
            self._forgetful_until_ms[name] = -math.inf
            if answer.forgetful_ms > 0:
                self._forgetful_until_ms[name] = now_ms + answer.forgetful_ms
            if answer.wait_ms > 0:
                wait_until_ms = now_ms + answer.wait_ms
                self._not_before_ms = max(self._not_before_ms, wait_until_ms)
        else:
            self._granted_ms.pop(name, None)
            self._forgetful_until_ms.pop(name, None)
        self.update(hosts)

    def update(self, hosts: ZoneHosts) -> None:
        """Recompute the end of the lease after an answer or a change of the hosts.

        Parameters
        ----------
        hosts : ZoneHosts
            The zone's hosts; promises of others do not count.
        """
        granted = sorted(
            (at_ms for name, at_ms in self._granted_ms.items() if name in hosts.names),
            reverse=True,
        )
        self.valid_until_ms = -math.inf
        if len(granted) >= hosts.majority:
            self.valid_until_ms = granted[hosts.majority - 1] + PROMISE_MS

    def holds(self, now_ms: float) -> bool:
        """Return whether this host has promises of a majority.

        Parameters
        ----------
        now_ms : float
            Time on the clock that counts suspended time.

        Returns
        -------
        bool
            Whether an issuer may go on.
        """
        return now_ms < self.valid_until_ms

    def may_begin(self, hosts: ZoneHosts, now_ms: float) -> bool:
        """Return whether a candidate may begin to issue.

        Hosts that have not promised, and hosts that have started lately, may have
        promised to a predecessor.  If they are a majority, this waits until such
        promises and the permits under them have ended.  If all hosts have promised,
        there is no predecessor: all fleet's hosts that start at once wait for nothing.

        Parameters
        ----------
        hosts : ZoneHosts
            The zone's hosts.
        now_ms : float
            Time on the clock that counts suspended time.

        Returns
        -------
        bool
            True if it has the promises, and no permit of a predecessor is valid.
        """
        if not self.holds(now_ms) or now_ms < self._not_before_ms:
            return False
        silent = len(hosts.names - set(self._forgetful_until_ms))
        if not silent:
            return True
        forgetful = sorted(
            until_ms + self._permit_ms
            for name, until_ms in self._forgetful_until_ms.items()
            if name in hosts.names and not math.isinf(until_ms)
        )
        surplus = silent + len(forgetful) - (hosts.majority - 1)
        # Silent hosts alone are no majority, since one has promised.
        return surplus <= 0 or now_ms >= forgetful[surplus - 1]

    def end(self) -> None:
        """Forget all promises, and ignore answers that are still to come."""
        self._asked_ms.clear()
        self._granted_ms.clear()
        self._forgetful_until_ms.clear()
        self._not_before_ms = -math.inf
        self.valid_until_ms = -math.inf


def hosts_of_zone(
    zone: str, own: str, zones: dict[str, str], version: int
) -> ZoneHosts:
    """Return the hosts of this host's zone.

    Parameters
    ----------
    zone : str
        The zone.
    own : str
        This host, which the roster does not contain.
    zones : dict
        Zone by name of the other hosts.
    version : int
        Version of the newest change to the list.

    Returns
    -------
    ZoneHosts
        The hosts.
    """
    names: Iterable[str] = (name for name, other in zones.items() if other == zone)
    return ZoneHosts(zone, frozenset([own, *names]), version)
