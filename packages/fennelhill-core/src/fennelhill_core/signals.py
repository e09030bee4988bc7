"""Signals to a daemon, from its first line to its last."""

from __future__ import annotations

# Until a handler is installed, SIGHUP ends the process.  `signal` imports enum, which
# takes as long as the start of the interpreter, and `typing` takes longer.
from _signal import SIG_IGN, SIGHUP, SIGTERM, signal

TYPE_CHECKING = False
if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable


class ProcessSignals:
    """Keeps signals until the daemon can handle them, then passes them to it.

    An event loop restores the default actions when it is closed, and the interpreter
    restores those of handlers at its end.  So the handlers belong to the process, and
    signals are ignored at its end.

    Parameters
    ----------
    *stop_signals : int
        Signals that stop the daemon; SIGTERM if there are none.
    """

    __slots__ = (
        "_loop",
        "_on_reload",
        "_on_stop",
        "_reload_count",
        "_scheduled",
        "_stop_signals",
        "_stopping",
    )

    def __init__(self, *stop_signals: int) -> None:
        self._stop_signals = stop_signals or (SIGTERM,)
        self._stopping = False
        # Signals to reload that were not passed on yet.
        self._reload_count = 0
        self._scheduled = False
        self._loop: asyncio.AbstractEventLoop | None = None
        self._on_stop: Callable[[], None] | None = None
        self._on_reload: Callable[[int], None] | None = None

    def install(self) -> None:
        """Install the handlers; from now on no signal ends the process."""
        for number in self._stop_signals:
            signal(number, self._handle_stop)
        signal(SIGHUP, self._handle_reload)

    def attach(
        self,
        loop: asyncio.AbstractEventLoop,
        on_stop: Callable[[], None],
        on_reload: Callable[[int], None],
    ) -> None:
        """Pass signals on, at once those that came before.

        Parameters
        ----------
        loop : asyncio.AbstractEventLoop
            The running event loop, in which the callbacks are called.
        on_stop : callable
            Stops the daemon; called again for a later signal.
        on_reload : callable
            Called with the number of signals to reload since its last call.
        """
        self._loop, self._on_stop, self._on_reload = loop, on_stop, on_reload
        self._deliver()

    def detach(self) -> None:
        """Pass no more signals on, before the event loop is closed."""
        self._loop = None

    def ignore(self) -> None:
        """Ignore the signals from now on, as the last thing that the process does."""
        for number in (*self._stop_signals, SIGHUP):
            signal(number, SIG_IGN)

    def _handle_stop(self, number: int, frame: object) -> None:
        self._stopping = True
        self._schedule()

    def _handle_reload(self, number: int, frame: object) -> None:
        self._reload_count += 1
        self._schedule()

    def _schedule(self) -> None:
        # The signal may have interrupted any line, so the callbacks are called later.
        if self._loop is not None and not self._scheduled:
            self._scheduled = True
            self._loop.call_soon_threadsafe(self._deliver)

    def _deliver(self) -> None:
        self._scheduled = False
        if self._loop is None:
            return
        count = self._reload_count
        self._reload_count -= count
        if count:
            self._on_reload(count)
        if self._stopping:
            self._on_stop()
