"""Permits that an entry host holds, and what it knows of its issuers."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Sequence

# A refusal is passed on without asking the issuer again for this long at most: beside
# an organisation far over its limit, operations must cost next to nothing.
MAX_REFUSAL_MS = 50.0


class PermitStock:
    """Unused permits of one organisation, by the time at which they expire.

    Answers operations that end before anything was sent for them, and answers that
    arrive after their operation was given up.
    """

    __slots__ = ("_expiries", "refused_until_ms", "retry_ms")

    def __init__(self) -> None:
        self._expiries: deque[float] = deque()
        # Until when the issuer's last refusal is passed on, and its hint.
        self.refused_until_ms = -math.inf
        self.retry_ms = 0.0

    def __len__(self) -> int:
        return len(self._expiries)

    def add(self, expires_ms: float, count: int = 1) -> None:
        """Add permits.

        Parameters
        ----------
        expires_ms : float
            When they expire, on the clock that counts suspended time.
        count : int
            How many.
        """
        self._expiries.extend([expires_ms] * count)

    def take(self, now_ms: float) -> float | None:
        """Take the permit that is valid for the longest time.

        Parameters
        ----------
        now_ms : float
            Time on the clock that counts suspended time.

        Returns
        -------
        float or None
            When it expires; None if there is none, in which case the rest has expired.
        """
        if not self._expiries:
            return None
        latest_ms = max(self._expiries)
        if latest_ms <= now_ms:
            self._expiries.clear()
            return None
        self._expiries.remove(latest_ms)
        return latest_ms

    def record_refusal(self, retry_ms: float, now_ms: float) -> None:
        """Record that the issuer has no token.

        Parameters
        ----------
        retry_ms : float
            Expected time until the next one.
        now_ms : float
            Time on the clock that counts suspended time.
        """
        self.retry_ms = retry_ms
        self.refused_until_ms = now_ms + min(retry_ms, MAX_REFUSAL_MS)

    def refusal_ms(self, now_ms: float) -> float | None:
        """Return the hint of a refusal that still counts.

        Parameters
        ----------
        now_ms : float
            Time on the clock that counts suspended time.

        Returns
        -------
        float or None
            Time until a token is expected; None if the issuer is to be asked.
        """
        if now_ms >= self.refused_until_ms:
            return None
        return max(1.0, self.retry_ms)


def issuers_to_ask(
    believed: str, order: Sequence[str], other_zones: list[str]
) -> list[str]:
    """Return the hosts to ask for a permit, one after the other.

    Parameters
    ----------
    believed : str
        Host that is believed to be the issuer; empty if unknown.
    order : sequence of str
        Candidates of this zone, in order.
    other_zones : list of str
        Issuers of other zones, best first.

    Returns
    -------
    list of str
        The believed issuer twice, since a datagram may be lost, then the one that is
        next in order, then one of another zone.
    """
    first = believed if believed in order else order[0]
    following = [host for host in order if host != first][:1]
    return [first, first, *following, *other_zones[:1]]
