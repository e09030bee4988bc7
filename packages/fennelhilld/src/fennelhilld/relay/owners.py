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
# Wait for a link at an owner while there are others to try; a statement takes some
# milliseconds.
SHORT_WAIT_MS = 10.0
# The same at an organisation's own owner, enough for a set-up there. The shorter wait
# is not, so that other owners serve it only by links that they have.
OWN_OWNER_WAIT_MS = 20.0
# Owners that are asked for a free link if the own one can't serve a request soon.
MAX_OTHER_OWNERS = 2
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
    return owned_part(max_connections, owner_count(max_connections), position)


def owned_part(max_connections: int, count: int, position: int) -> int:
    """Return one host's part of the connections that a number of hosts share.

    Parameters
    ----------
    max_connections : int
        Connections that the target accepts.
    count : int
        Number of hosts that connect to it.
    position : int
        Position of the host among them, from 0.

    Returns
    -------
    int
        At least 1.
    """
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


def owner_order(
    host: str,
    owners: list[str],
    target_id: str = "",
    organisation: str = "",
    share: float = 0.0,
) -> list[str]:
    """Return a target's owners in the order in which a host uses them.

    The owners' links belong to organisations: a request that comes to another owner
    than the organisation's earlier ones costs a set-up.  So the first owners depend on
    the organisation, the same for all hosts (rendezvous hashing).

    Parameters
    ----------
    host : str
        The host that has statements for the target.
    owners : list of str
        The owners.
    target_id : str
        The target; not used without an organisation.
    organisation : str
        Organisation that the statements are for; empty if links belong to none.
    share : float
        The organisation's share of the load, from 0 to 1.

    Returns
    -------
    list of str
        Without an organisation, a different first owner for different hosts, so that
        they share the load.  Otherwise the organisation's own owners first: one, or
        several if its share is larger than a fair part, which hosts share alike.
    """
    if not organisation:
        return sorted(owners, key=lambda owner: _hash(f"{host}/{owner}"))
    ranked = sorted(
        owners, key=lambda owner: _hash(f"{target_id}/{organisation}/{owner}")
    )
    count = spread_count(share, len(owners))
    # An owner that is one of them uses its own links.
    own = sorted(
        ranked[:count],
        key=lambda owner: (owner != host, _hash(f"{host}/{owner}")),
    )
    return own + ranked[count:]


def spread_count(share: float, places: int) -> int:
    """Return over how many owners or replicas an organisation is spread.

    Answers shares of the load that fall as rank^-1.2: the largest organisation sends
    about a fourth of all operations, more than one owner can serve.

    Parameters
    ----------
    share : float
        The organisation's share of the load, from 0 to 1.
    places : int
        Owners or replicas.

    Returns
    -------
    int
        At least 1, so that none gets more than a fair part of the load from it.
    """
    return max(1, min(places, math.ceil(share * places)))


def owner_plan(count: int, organisation: str) -> list[tuple[int, float]]:
    """Return which owners a request tries in turn, and how long it waits at each.

    Answers a large organisation beyond its usual rate: what its own owner can't serve
    soon uses links that are free elsewhere, but opens none there, which would displace
    those of small organisations.

    Parameters
    ----------
    count : int
        Number of owners that can be used, in the order of use.
    organisation : str
        The request's organisation; empty if links belong to none.

    Returns
    -------
    list of tuple of int and float
        Position of the owner and longest wait in milliseconds, the last one without
        limit.
    """
    if count == 0:
        return []
    if not organisation:
        waits = [(position, SHORT_WAIT_MS) for position in range(count - 1)]
        return [*waits, (count - 1, math.inf)]
    if count == 1:
        return [(0, math.inf)]
    others = range(1, min(count, 1 + MAX_OTHER_OWNERS))
    waits = [(position, SHORT_WAIT_MS) for position in others]
    return [(0, OWN_OWNER_WAIT_MS), *waits, (0, math.inf)]


def _weighted_rank(target_id: str, host: HostCapacity) -> float:
    uniform = (_hash(f"{target_id}/{host.name}") + 1.0) / (_HASH_RANGE + 1.0)
    return -math.log(uniform) / max(host.capacity, 0.01)


def _hash(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())
