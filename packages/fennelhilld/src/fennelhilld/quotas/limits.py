"""Bounds of the quotas, and what follows from them and from an organisation's limit."""

from __future__ import annotations

import functools

import msgspec
import xxhash
from fennelhill_core.clock import MS_PER_S

# Organisations are divided over this many issuers in each zone, so that the loss of a
# host stops a fourth of a zone's organisations at most.
PARTITIONS = 4
# Longest validity of a permit, and longest time that tokens travel between zones.
MAX_PERMIT_MS = 150.0
MAX_TRANSFER_MS = 75.0
# A shorter permit would expire before its operation is sent.
MIN_PERMIT_MS = 50.0
# Share of the overrun of a window that permits take; tokens on their way take half as
# much, and the rest is left to the capacity of the buckets.
PERMIT_SHARE = 0.3
# Tokens that a new bucket starts with, at most.
MAX_INITIAL_TOKENS = 2.0
# A bucket must be able to hold one token, or it would never issue a permit.
MIN_CAPACITY = 1.0
# Orders of candidates that are kept: those of all partitions in eight zones, for two
# versions of the list.
MAX_CACHED_ORDERS = 64


class Limit(msgspec.Struct, frozen=True):
    """What one zone mints for an organisation.

    Parameters
    ----------
    operations_per_s : float
        Tokens in a second.
    capacity : float
        Tokens that the zone's bucket holds at most.
    """

    operations_per_s: float
    capacity: float


class QuotaBounds(msgspec.Struct, frozen=True):
    """By how much the operations of an organisation may exceed its limit.

    Parameters
    ----------
    window_s : float
        Length of the sliding window in which operations are counted, in seconds.
    overrun : float
        Share by which the count may exceed the limit.
    slack : float
        Operations by which it may exceed the limit in addition.
    """

    window_s: float = 5.0
    overrun: float = 0.1
    slack: float = 20.0

    @property
    def permit_ms(self) -> float:
        """Validity of a permit: with `transfer_ms` within the overrun of a window."""
        share_ms = self.overrun * self.window_s * MS_PER_S * PERMIT_SHARE
        return max(MIN_PERMIT_MS, min(MAX_PERMIT_MS, share_ms))

    @property
    def transfer_ms(self) -> float:
        """Time after which tokens of another zone count as spent, in milliseconds."""
        return min(MAX_TRANSFER_MS, self.permit_ms / 2)

    def initial_tokens(self, zones: int) -> float:
        """Return what a new bucket starts with.

        Parameters
        ----------
        zones : int
            Number of zones.

        Returns
        -------
        float
            Tokens; all zones may start a bucket twice in a window within the slack.
        """
        return min(MAX_INITIAL_TOKENS, self.slack / (2 * zones))

    def limit_of_zone(self, operations_per_s: float, burst: float, zones: int) -> Limit:
        """Return a zone's part of an organisation's limit.

        Answers an organisation that asks for more than its limit for long: a bucket
        of size ``burst`` would give it the burst only once, although each window may
        contain it.  So the burst is minted over a window, and the capacity is what the
        overrun and the slack leave.

        Parameters
        ----------
        operations_per_s : float
            Rate of the organisation over all zones.
        burst : float
            Its burst over all zones.
        zones : int
            Number of zones.

        Returns
        -------
        Limit
            An equal part for each zone.
        """
        allowed = operations_per_s * self.window_s + burst
        minted_per_s = allowed / self.window_s
        delay_s = (self.permit_ms + self.transfer_ms) / MS_PER_S
        initial = self.initial_tokens(zones)
        room = (
            self.overrun * allowed
            - minted_per_s * delay_s
            + self.slack
            - 2 * zones * initial
        )
        # A bucket of a small organisation holds at least what it starts with, or a
        # zone would refuse the second of two operations that arrive together.
        least = max(MIN_CAPACITY, initial)
        return Limit(minted_per_s / zones, max(least, room / zones))

    def most_operations(self, operations_per_s: float, burst: float) -> float:
        """Return the number of operations that a sliding window may contain.

        Parameters
        ----------
        operations_per_s : float
            Rate of the organisation.
        burst : float
            Its burst.

        Returns
        -------
        float
            The number.
        """
        allowed = operations_per_s * self.window_s + burst
        return allowed * (1 + self.overrun) + self.slack


def partition_of(organisation: str) -> int:
    """Return the partition that an organisation belongs to.

    Parameters
    ----------
    organisation : str
        Its name.

    Returns
    -------
    int
        From 0 to `PARTITIONS` - 1; the same on all hosts.
    """
    return xxhash.xxh64_intdigest(organisation.encode()) % PARTITIONS


@functools.lru_cache(maxsize=MAX_CACHED_ORDERS)
def candidate_order(
    zone: str, partition: int, hosts: frozenset[str]
) -> tuple[str, ...]:
    """Return the order in which a zone's hosts become issuer of a partition.

    Parameters
    ----------
    zone : str
        The zone.
    partition : int
        The partition.
    hosts : frozenset of str
        Hosts of the zone.

    Returns
    -------
    tuple of str
        By rendezvous hashing, so that a host that joins or leaves moves few partitions.
    """
    order = sorted(
        hosts,
        key=lambda host: xxhash.xxh64_intdigest(f"{zone}/{partition}/{host}".encode()),
    )
    return tuple(order)
