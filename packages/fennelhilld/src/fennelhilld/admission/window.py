"""Concurrency windows: how many requests a target gets from this host at a time."""

from __future__ import annotations

from typing import Protocol

from fennelhill_core.registry import Registry

NEWEST_WEIGHT = 0.1  # weight of the newest answer in the moving average
INITIAL_RESPONSE_MS = 15.0  # before the first answer: typical for the users
# Growth, with each answer, of the lowest mean response time seen. It doubles in about
# 350 answers, so that a target that has become permanently slower is not treated as
# congested.
LOWEST_MEAN_GROWTH_FACTOR = 1.002
# If the mean is more than this multiple of the lowest mean, the target is assumed to
# have a queue.
TOLERATED_RATIO = 2.0
# Links added for each answer before smoothing, so that a narrowed window opens again.
# With a larger value it opens sooner, but stays wider while the target has a queue.
HEADROOM_LINKS = 0.25
INITIAL_WINDOW_LINKS = 2.0  # before the first answer; suits two slots
SMOOTHING = 0.3  # share of the computed change that is applied for each answer
# Lower bound on the factor by which an answer narrows the window, before smoothing.
MIN_FACTOR = 0.3
# Requests beyond a target's slots that its hosts may send together, so that a slot is
# not idle between an answer and the next request.
PIPELINE = 2


class WindowPolicy(Protocol):
    """Limits the requests in progress at a target by its response times."""

    mean_response_ms: float

    def observe(self, response_ms: float, max_links: int) -> None:
        """Record the response time of a request."""

    def size(self, max_links: int) -> int:
        """Return how many links may be in use now, at most `max_links`."""


WINDOW_POLICIES: Registry[WindowPolicy] = Registry("window policy")


@WINDOW_POLICIES.register("open")
class OpenWindow:
    """Allows all links to be in use: a baseline for ``make measure ROUND=load``."""

    __slots__ = ("mean_response_ms",)

    def __init__(self) -> None:
        self.mean_response_ms = INITIAL_RESPONSE_MS

    def observe(self, response_ms: float, max_links: int) -> None:
        """Record the response time of a request.

        Parameters
        ----------
        response_ms : float
            From sending to the answer, in milliseconds.
        max_links : int
            Links that this host may open.
        """
        self.mean_response_ms += NEWEST_WEIGHT * (response_ms - self.mean_response_ms)

    def size(self, max_links: int) -> int:
        """Return how many links may be in use now.

        Parameters
        ----------
        max_links : int
            Links that this host may open.

        Returns
        -------
        int
            `max_links`.
        """
        return max_links


@WINDOW_POLICIES.register("gradient")
class GradientWindow(OpenWindow):
    """Narrows the window as response times rise above the lowest mean.

    Guards against a load beyond the target's slots.  A target serves its own queue in
    order of arrival, late requests included; requests queued on this host are ordered
    and can be refused in time.  The window follows the ratio of the lowest to the
    current mean response time, as delay-based congestion control does.
    """

    __slots__ = ("_lowest_mean_ms", "_window")

    def __init__(self) -> None:
        super().__init__()
        self._lowest_mean_ms = float("inf")
        self._window = INITIAL_WINDOW_LINKS

    def observe(self, response_ms: float, max_links: int) -> None:
        """Record the response time of a request.

        Parameters
        ----------
        response_ms : float
            From sending to the answer, in milliseconds.
        max_links : int
            Links that this host may open.
        """
        super().observe(response_ms, max_links)
        self._lowest_mean_ms = min(
            self._lowest_mean_ms * LOWEST_MEAN_GROWTH_FACTOR, self.mean_response_ms
        )
        factor = min(
            1.0,
            max(
                MIN_FACTOR,
                TOLERATED_RATIO * self._lowest_mean_ms / self.mean_response_ms,
            ),
        )
        window = min(self._window, float(max_links))
        window += SMOOTHING * (window * factor + HEADROOM_LINKS - window)
        self._window = min(float(max_links), max(1.0, window))

    def size(self, max_links: int) -> int:
        """Return how many links may be in use now.

        Parameters
        ----------
        max_links : int
            Links that this host may open.

        Returns
        -------
        int
            At least 1, at most `max_links` if that is positive.
        """
        return max(1, round(min(self._window, float(max_links))))


def window_part(slots: int, links: int, all_links: int) -> int:
    """Return the part of a target's concurrency that one host may use.

    The windows of several hosts don't know of each other.  Without a bound on their
    sum, a queue forms in the target, where it has no order; after a burst it lasts as
    long as clients try again.

    Parameters
    ----------
    slots : int
        Statements that the target runs at the same time, by its entry.
    links : int
        Links that this host may open to it.
    all_links : int
        Links that all hosts may open to it together.

    Returns
    -------
    int
        At least 1, so that the sum is at most the greater of the number of hosts
        and, but for rounding, `slots` and `PIPELINE` together.
    """
    return max(1, round((slots + PIPELINE) * links / max(1, all_links)))
