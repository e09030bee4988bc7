"""Load shedding: which requests are refused instead of queued for a link."""

from __future__ import annotations

from typing import Protocol

from fennelhill_core.registry import Registry


class RefusalPolicy(Protocol):
    """Decides from the expected wait whether a request is queued or refused."""

    def refuses(self, expected_wait_ms: float, remaining_ms: float) -> bool:
        """Return whether a request is refused immediately."""


REFUSAL_POLICIES: Registry[RefusalPolicy] = Registry("refusal policy")


@REFUSAL_POLICIES.register("expected_wait")
class ExpectedWait:
    """Refuses requests that are expected to time out in the queue.

    Under a load beyond the targets' capacity, such as a flood of one class, a queued
    request that times out anyway delays others that would not, and its client could
    have tried another host meanwhile.
    """

    __slots__ = ()

    def refuses(self, expected_wait_ms: float, remaining_ms: float) -> bool:
        """Return whether a request is refused immediately.

        Parameters
        ----------
        expected_wait_ms : float
            Expected time in the queue, in milliseconds.
        remaining_ms : float
            Longest time that the request can wait, in milliseconds.

        Returns
        -------
        bool
            True if the expected wait is longer.
        """
        return expected_wait_ms > remaining_ms


@REFUSAL_POLICIES.register("no_limit")
class NoLimit:
    """Refuses no request: a baseline for ``make measure ROUND=load``."""

    __slots__ = ()

    def refuses(self, expected_wait_ms: float, remaining_ms: float) -> bool:
        """Return whether a request is refused immediately.

        Parameters
        ----------
        expected_wait_ms : float
            Expected time in the queue, in milliseconds.
        remaining_ms : float
            Longest time that the request can wait, in milliseconds.

        Returns
        -------
        bool
            Always False.
        """
        return False


def expected_wait_ms(requests_ahead: int, links: int, service_ms: float) -> float:
    """Estimate how long a request waits for a link.

    Parameters
    ----------
    requests_ahead : int
        Queued requests that are served before it.
    links : int
        Links that serve the queue.
    service_ms : float
        Mean time that a request occupies a link, in milliseconds.

    Returns
    -------
    float
        Milliseconds.
    """
    return (requests_ahead + 1) * service_ms / max(1, links)
