"""How long a request that another host has forwarded may wait for a link.

Answers a target that is overloaded for some seconds, as a leader is while its replicas
are behind.  A request that waits at the owner for as long as the asking host waits for
its answer runs when nobody reads the answer, and its client asks again: the queue then
stays as long as that wait after the overload has ended.
"""

from __future__ import annotations

# From the owner's answer until the asking host reads it: one way between zones,
# and the turn of a loaded half-core host.
RETURN_MS = 6.0


def longest_wait_ms(limit_ms: float, service_ms: float) -> float:
    """Return how long a request may wait, so that its answer is still in time.

    Parameters
    ----------
    limit_ms : float
        Time within which the asking host needs the answer, in milliseconds.
    service_ms : float
        Mean time of the target for a statement, in milliseconds.

    Returns
    -------
    float
        Milliseconds; at least half of the time but for the way back, however slow the
        target is.
    """
    left_ms = max(0.0, limit_ms - RETURN_MS)
    return left_ms - min(service_ms, left_ms / 2)
