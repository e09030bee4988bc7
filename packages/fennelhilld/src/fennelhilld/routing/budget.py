"""Retry budgets: retries stay a small share of what succeeds."""

from __future__ import annotations


class RetryBudget:
    """A store of retries that successes refill.

    Parameters
    ----------
    ratio : float
        Retries that each success earns.
    burst : int
        Retries that can be saved up.
    """

    __slots__ = ("_burst", "_left", "_ratio")

    def __init__(self, ratio: float, burst: int) -> None:
        self._ratio = ratio
        self._burst = burst
        self._left = float(burst)

    def earn(self) -> None:
        """Note a success."""
        self._left = min(self._burst, self._left + self._ratio)

    def spend(self) -> bool:
        """Take one retry.

        Returns
        -------
        bool
            Whether there was one left.
        """
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
