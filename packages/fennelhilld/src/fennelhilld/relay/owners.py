"""Which hosts of a large fleet hold the connections to a target."""

from __future__ import annotations

import math
from collections.abc import Iterable

import msgspec
import xxhash

# Connections of an owner: enough for its share of the statements and of the open
# transactions, so that few owners share a target.
LINKS_PER_OWNER = 8
# With fewer owners than this, the loss of one would take too many links at once.
MIN_OWNERS = 3
# Share of a target's connections that its owners open; the rest is for status probes
# and for hosts that disagree about the owners for a moment.
OWNED_SHARE = 0.92
# Hosts up to this share of a target's connections each open their own.
DIRECT_SHARE = 0.6
_HASH_RANGE = 2.0**64


class HostCapacity(msgspec.Struct, frozen=True):
    """What decides how many targets a host owns.

    Parameters
    ----------
    name : str
        The host.
    zone : str
        Its availability zone.
    capacity : float
        Its processor capacity, in cores.
    """

    name: str
    zone: str
    capacity: float = 1.0


def is_shared(host_count: int, max_connections: int) -> bool:
    """Return whether a target has too few connections for every host to have some.

    Parameters
    ----------
    host_count : int
        Number of hosts.
    max_connections : int
        Connections that the target accepts from all hosts together.

    Returns
    -------
    bool
        True if owners hold the connections.
    """
    return host_count > DIRECT_SHARE * max_connections


def owner_count(max_connections: int) -> int:
    """Return how many hosts own a target.

    Parameters
    ----------
    max_connections : int
        Connections that the target accepts.

    Returns
    -------
    int
        At least `MIN_OWNERS`.
    """
    return max(MIN_OWNERS, max_connections // LINKS_PER_OWNER)


def owner_links(max_connections: int, position: int) -> int:
    """Return how many connections an owner may open to its target.

    Parameters
    ----------
    max_connections : int
        Connections that the target accepts.
    position : int
        Position of the owner among those of the target, from 0.

    Returns
    -------
    int
        At least 1.
    """
    count = owner_count(max_connections)
    share, remainder = divmod(int(OWNED_SHARE * max_connections), count)
    return max(1, share + (position < remainder))


def target_owners(
    target_id: str, zone: str, hosts: Iterable[HostCapacity], max_connections: int
) -> list[str]:
    """Choose the hosts that hold the connections to a target.

    All hosts that know the same fleet choose alike (weighted rendezvous hashing), and
    a change of the fleet moves few targets.  A host with more processor capacity owns
    more targets.  Hosts of the target's zone come first, so that no statement crosses
    zones twice.

    Parameters
    ----------
    target_id : str
        The target.
    zone : str
        Its availability zone.
    hosts : iterable of HostCapacity
        All hosts.
    max_connections : int
        Connections that the target accepts.

    Returns
    -------
    list of str
        The owners, best first.
    """
    ranked = sorted(
        hosts,
        key=lambda host: (host.zone != zone, _weighted_rank(target_id, host)),
    )
    return [host.name for host in ranked[: owner_count(max_connections)]]


def owner_order(host: str, owners: list[str]) -> list[str]:
    """Return a target's owners in the order in which a host uses them.

    Parameters
    ----------
    host : str
        The host that has statements for the target.
    owners : list of str
        The owners.

    Returns
    -------
    list of str
        A different first owner for different hosts, so that they share the load.
    """
    return sorted(owners, key=lambda owner: _hash(f"{host}/{owner}"))


def _weighted_rank(target_id: str, host: HostCapacity) -> float:
    uniform = (_hash(f"{target_id}/{host.name}") + 1.0) / (_HASH_RANGE + 1.0)
    return -math.log(uniform) / max(host.capacity, 0.01)


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
