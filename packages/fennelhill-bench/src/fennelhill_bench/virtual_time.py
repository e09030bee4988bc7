"""An event loop whose time advances to the next timer when no task can run."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from fennelhill_core.clock import Clock

T = TypeVar("T")

EPOCH_MS = 1_800_000_000_000


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Advances virtual time instead of waiting."""

    skipped_s = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError("every task waits and no timer is set: a deadlock")
        self.skipped_s += max(timeout, 0.0)
        return []


class VirtualClock(Clock):
    """A clock whose times, including the wall time, come from the event loop.

    Wall time then advances with virtual time, so that a test can simulate days.
    """

    __slots__ = ()

    def boottime_ms(self) -> float:
        """Return virtual time, which includes pauses of the process.

        Returns
        -------
        float
            Milliseconds.
        """
        return self.now_ms()

    def wall_ms(self) -> int:
        """Return virtual wall time.

        Returns
        -------
        int
            Milliseconds since the epoch, the same in every run.
        """
        return EPOCH_MS + int(self.now_ms())


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Runs programs without sockets, deterministically and without waiting."""

    def __init__(self) -> None:
        # Timers that were set so far.
        self.timer_count = 0
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Return virtual time.

        Returns
        -------
        float
            Seconds since the loop was created.
        """
        return self._virtual_selector.skipped_s

    def call_at(
        self, when: float, callback: Callable[..., object], *args: Any, **kwargs: Any
    ) -> asyncio.TimerHandle:
        """Set a timer, and count it.

        Parameters
        ----------
        when : float
            Virtual time in seconds.
        callback : callable
            Called at that time.
        *args : object
            Its arguments.
        **kwargs : object
            As in `asyncio.loop.call_at`.

        Returns
        -------
        asyncio.TimerHandle
            The timer.
        """
        self.timer_count += 1
        return super().call_at(when, callback, *args, **kwargs)

    def pause(self, duration_s: float) -> None:
        """Advance virtual time as if the process had been suspended.

        Parameters
        ----------
        duration_s : float
            Virtual seconds.
        """
        self._virtual_selector.skipped_s += duration_s


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine under virtual time.

    Parameters
    ----------
    main : coroutine
        The coroutine.

    Returns
    -------
    object
        Its result.
    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
