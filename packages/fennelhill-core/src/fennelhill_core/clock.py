"""Access to clocks, injected so that tests can control time."""

from __future__ import annotations

import asyncio
import time

MS_PER_S = 1000.0


class Clock:
    """Reads the clocks of the event loop and of the host.

    Code that waits or compares times takes a clock.  Under an event loop with
    virtual time, `now_ms` and `sleep_ms` follow the virtual time.
    """

    __slots__ = ()

    def now_ms(self) -> float:
        """Return monotonic time in milliseconds, comparable only on this host."""
        return asyncio.get_running_loop().time() * MS_PER_S

    def boottime_ms(self) -> float:
        """Return time in milliseconds that also advances during a suspend.

        Use it for the age of data: the monotonic clock stops while the host is
        suspended, so data that is fresh by that clock may be seconds old.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S

    def wall_ms(self) -> int:
        """Return wall time in milliseconds since the epoch, for logs and retention."""
        return int(time.time() * MS_PER_S)

    async def sleep_ms(self, duration_ms: float) -> None:
        """Wait for a duration.

        Parameters
        ----------
        duration_ms : float
            Duration in milliseconds; a negative value counts as zero.
        """
        await asyncio.sleep(max(0.0, duration_ms) / MS_PER_S)


def timeout_ms(duration_ms: float) -> asyncio.Timeout:
    """Limit the duration of an ``async with`` block.

    Parameters
    ----------
    duration_ms : float
        The limit in milliseconds; a negative value counts as zero.

    Returns
    -------
    asyncio.Timeout
        The context manager, which raises ``TimeoutError`` when the limit is reached.
    """
    return asyncio.timeout(max(0.0, duration_ms) / MS_PER_S)
