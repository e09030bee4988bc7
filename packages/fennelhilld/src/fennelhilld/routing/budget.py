"""Retry budgets: bound retries to a share of the successful requests."""

from __future__ import annotations


class RetryBudget:
    """A token bucket of retries that successful requests refill.

    Parameters
    ----------
    ratio : float
        Retries that each successful request adds.
    burst : int
        Retries that the bucket holds at most; it starts full.
    """

    __slots__ = ("_available", "_burst", "_ratio")

    def __init__(self, ratio: float, burst: int) -> None:
        self._ratio = ratio
        self._burst = burst
        self._available = float(burst)

    def record_success(self) -> None:
        """Add the share of a retry that a successful request earns."""
        self._available = min(self._burst, self._available + self._ratio)

    def try_spend(self) -> bool:
        """Take one retry from the budget.

        Returns
        -------
        bool
            Whether a retry was available.
        """
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
