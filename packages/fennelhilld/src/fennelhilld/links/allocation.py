"""Decisions about which organisations' links a pool opens, keeps and closes."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable

import msgspec
from fennelhill_core.clock import MS_PER_S

# Time of one slot that a new connection costs a target of the users.
SET_UP_MS = 12.0
# Share of a target's slot time that set-ups may take, over all its owners.
SET_UP_SHARE = 0.12
# Set-ups may run ahead by this much time: after a promotion, the new leader lacks
# links of about half of the organisations.
SET_UP_BURST_S = 1.0
# A younger link is not closed for another one, so that two organisations with queues
# do not alternate: set-ups then take at most 12 ms out of 300 ms of a link.
MIN_LINK_AGE_MS = 300.0
# The smallest organisations send a request to a target every ten to twenty seconds.
RATE_HALF_LIFE_MS = 20_000.0
# Rates below this many requests a second are forgotten.
FORGOTTEN_RATE_PER_S = 0.002
# Organisations whose rate is remembered, beyond which forgotten ones are dropped.
MAX_REMEMBERED_RATES = 256
# Longest expected wait for a link of the own organisation before another is opened:
# about what a closing and a set-up take. Opening earlier costs a slot 12 ms for a gain
# of less than that.
OWN_LINK_WAIT_MS = 20.0
# A link is closed in favour of an organisation that already has one only if the new
# link is worth this many times as much.
WORTH_HYSTERESIS = 2.0


# Clients usually send the next statement of a transaction earlier than this.
MIN_REST_MS = 100.0


class LinkBudget(msgspec.Struct, frozen=True):
    """What a host may use of a target while links belong to organisations.

    Parameters
    ----------
    set_ups_per_s : float
        Links that it may open in a second.
    kept_links : int
        Links that it keeps open without need.
    """

    set_ups_per_s: float
    kept_links: int


class IdleLink(msgspec.Struct, frozen=True):
    """What decides whether an idle link is closed in favour of another.

    Parameters
    ----------
    organisation : str
        The organisation that it serves.
    age_ms : float
        Time since it was opened, in milliseconds.
    idle_ms : float
        Time since it was last used, in milliseconds.
    """

    organisation: str
    age_ms: float
    idle_ms: float


def set_ups_per_s(slots: int, owner_count: int) -> float:
    """Return an owner's part of the set-ups that a target may have in a second.

    Guards against organisations that displace each other's links all the time: the
    target's slots would be busy with set-ups instead of statements.

    Parameters
    ----------
    slots : int
        Slots of the target.
    owner_count : int
        Hosts that open connections to it.

    Returns
    -------
    float
        Set-ups in a second.
    """
    return SET_UP_SHARE * slots * MS_PER_S / SET_UP_MS / max(1, owner_count)


class SetUpBudget:
    """A token bucket for the set-ups of one host at one target.

    Guards against bursts of requests of many organisations.  A request that needs a
    set-up waits for a token; it is refused only if it can't wait that long.
    """

    __slots__ = ("_tokens", "_updated_ms")

    def __init__(self) -> None:
        self._tokens = float("inf")  # full; the first update sets the bound
        self._updated_ms = 0.0

    def wait_ms(self, now_ms: float, per_s: float) -> float:
        """Return the time until the next set-up is allowed.

        Parameters
        ----------
        now_ms : float
            Time on this host's clock.
        per_s : float
            Set-ups allowed in a second.

        Returns
        -------
        float
            Milliseconds; 0 if one is allowed now.
        """
        self._update(now_ms, per_s)
        return max(0.0, 1.0 - self._tokens) / per_s * MS_PER_S

    def take(self, now_ms: float, per_s: float) -> None:
        """Count a set-up, whether or not the target will accept it.

        Parameters
        ----------
        now_ms : float
            Time on this host's clock.
        per_s : float
            Set-ups allowed in a second.
        """
        self._update(now_ms, per_s)
        self._tokens -= 1.0

    def _update(self, now_ms: float, per_s: float) -> None:
        gained = (now_ms - self._updated_ms) / MS_PER_S * per_s
        bound = max(1.0, per_s * SET_UP_BURST_S)
        self._tokens = min(bound, self._tokens + gained)
        self._updated_ms = now_ms


class UseRates:
    """Requests for a link in a second, by organisation, as decaying means."""

    __slots__ = ("_rates",)

    def __init__(self) -> None:
        # Rate, and the time of its last change.
        self._rates: dict[str, tuple[float, float]] = {}

    def record(self, organisation: str, now_ms: float) -> None:
        """Record a request.

        Parameters
        ----------
        organisation : str
            Its organisation.
        now_ms : float
            Time on this host's clock.
        """
        gain_per_s = math.log(2.0) / RATE_HALF_LIFE_MS * MS_PER_S
        self._rates[organisation] = (
            self.per_s(organisation, now_ms) + gain_per_s,
            now_ms,
        )
        if len(self._rates) > MAX_REMEMBERED_RATES:
            self._forget(now_ms)

    def per_s(self, organisation: str, now_ms: float) -> float:
        """Return the rate of an organisation.

        Parameters
        ----------
        organisation : str
            Its name.
        now_ms : float
            Time on this host's clock.

        Returns
        -------
        float
            Requests in a second.
        """
        rate, updated_ms = self._rates.get(organisation, (0.0, now_ms))
        return rate * 0.5 ** ((now_ms - updated_ms) / RATE_HALF_LIFE_MS)

    def busiest(self, now_ms: float) -> str:
        """Return the organisation with the highest rate.

        Parameters
        ----------
        now_ms : float
            Time on this host's clock.

        Returns
        -------
        str
            Its name; empty if none has a rate.
        """
        return max(self._rates, key=lambda name: self.per_s(name, now_ms), default="")

    def _forget(self, now_ms: float) -> None:
        """Drop the lowest rates: all forgotten ones, and half if that is too few."""
        ranked = sorted(self._rates, key=lambda name: -self.per_s(name, now_ms))
        self._rates = {
            name: self._rates[name]
            for name in ranked[: MAX_REMEMBERED_RATES // 2]
            if self.per_s(name, now_ms) >= FORGOTTEN_RATE_PER_S
        }


def link_worth(per_s: float, links_before: int, service_ms: float) -> float:
    """Return the set-up time that a link is expected to save in a second.

    A link saves a set-up whenever a request arrives while the organisation's other
    links are all in use.

    Parameters
    ----------
    per_s : float
        Requests of the organisation in a second.
    links_before : int
        Other links of the organisation, which are used first.
    service_ms : float
        Mean time that a request occupies a link, in milliseconds.

    Returns
    -------
    float
        Milliseconds in a second.
    """
    # The number of links in use is taken to be Poisson-distributed.
    in_use = per_s * service_ms / MS_PER_S
    all_used = 1.0
    term = math.exp(-in_use)
    for number in range(links_before):
        all_used -= term
        term *= in_use / (number + 1)
    return per_s * SET_UP_MS * max(0.0, all_used)


def least_worth(
    links: list[IdleLink], worths: dict[str, float], wanted: Iterable[str] = ()
) -> int | None:
    """Choose the idle link that is closed if another one is needed.

    Answers organisations that outnumber the connections: with shares of the load that
    fall as rank^-1.2, the small ones take turns with few links.

    Parameters
    ----------
    links : list of IdleLink
        The idle links.
    worths : dict
        Worth of the last link of each organisation, by name.
    wanted : iterable of str
        Organisations with waiting requests; theirs are closed only if no others can
        be.

    Returns
    -------
    int or None
        Index of the link; None if all are too young.
    """
    candidates = [
        index for index, link in enumerate(links) if link.age_ms >= MIN_LINK_AGE_MS
    ]
    return min(
        candidates,
        key=lambda index: (
            links[index].organisation in wanted,
            worths[links[index].organisation],
            -links[index].idle_ms,
        ),
        default=None,
    )


class IdleTransaction(msgspec.Struct, frozen=True):
    """A link that an idle transaction holds.

    Parameters
    ----------
    organisation : str
        The organisation that it serves.
    rest_ms : float
        Time since the transaction's last statement, in milliseconds.
    """

    organisation: str
    rest_ms: float


def transaction_to_end(
    transactions: list[IdleTransaction],
    link_limit: int,
    competing: set[str],
    others_return: bool,
) -> int | None:
    """Choose the idle transaction that is rolled back if others wait for a link.

    Answers clients that are idle in transactions, up to more than there are
    connections, while other organisations have statements to run.

    Parameters
    ----------
    transactions : list of IdleTransaction
        All idle transactions.
    link_limit : int
        Links that this host may open.
    competing : set of str
        Organisations that hold links or wait for one.
    others_return : bool
        Whether links other than theirs will become free.

    Returns
    -------
    int or None
        Index of the one idle longest among those of organisations with more than
        their share, which is one at least; among all if no other link becomes free.
    """
    share = max(1, link_limit // max(1, len(competing)))
    held = Counter(transaction.organisation for transaction in transactions)
    candidates = [
        index
        for index, transaction in enumerate(transactions)
        if transaction.rest_ms >= MIN_REST_MS
        and (held[transaction.organisation] > share or not others_return)
    ]
    return max(candidates, key=lambda index: transactions[index].rest_ms, default=None)


def needs_another_link(own_links: int, own_waiting: int, service_ms: float) -> bool:
    """Return whether an organisation should get a link beyond those in use.

    Answers short bursts of one organisation: its own links return sooner than a
    set-up ends.

    Parameters
    ----------
    own_links : int
        Its links that are being opened, or are in use and expected back soon.
    own_waiting : int
        Its requests that wait, including the one to be decided.
    service_ms : float
        Mean time that a request occupies a link, in milliseconds.

    Returns
    -------
    bool
        True if it has none, or waiting for one takes longer than a set-up.
    """
    if own_links == 0:
        return True
    return own_waiting * service_ms / own_links > OWN_LINK_WAIT_MS


def links_kept(worths: list[float], kept: int) -> list[int]:
    """Choose which idle links stay open when surplus ones are closed.

    Parameters
    ----------
    worths : list of float
        Worth of each idle link.
    kept : int
        How many may stay.

    Returns
    -------
    list of int
        Indexes of those worth most, in ascending order.
    """
    ranked = sorted(range(len(worths)), key=lambda index: -worths[index])
    return sorted(ranked[: max(0, kept)])
