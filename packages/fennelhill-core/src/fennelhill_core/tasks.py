"""Background tasks: keeps references to them and logs their failures."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

from loguru import logger

# Bounds the log lines and the work of a loop that fails each time it is started.
RESTART_PAUSE_S = 0.25


class Tasks:
    """Owns the background tasks of one object.

    It holds references so that running tasks are not garbage-collected, logs the
    exceptions that they raise, and cancels them together.
    """

    __slots__ = ("_running",)

    def __init__(self) -> None:
        self._running: set[asyncio.Task] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task:
        """Start a task.

        Parameters
        ----------
        coroutine : coroutine
            The coroutine to run.

        Returns
        -------
        asyncio.Task
            The task.
        """
        task = asyncio.ensure_future(coroutine)
        self._running.add(task)
        task.add_done_callback(self._on_done)
        return task

    def keep_running(
        self, loop: Callable[[], Coroutine[Any, Any, Any]]
    ) -> asyncio.Task:
        """Run a loop that must not end, and start it again after an error.

        Without the loop, nothing would end a state that only the loop can end, such as
        the refusal of statements until a lease is renewed.

        Parameters
        ----------
        loop : callable
            Returns a new coroutine of the loop.

        Returns
        -------
        asyncio.Task
            The task.
        """
        return self.spawn(self._run_again(loop))

    async def _run_again(self, loop: Callable[[], Coroutine[Any, Any, Any]]) -> None:
        while True:
            try:
                await loop()
                return
            except Exception as error:
                logger.opt(exception=error).error("a loop failed; it is started again")
            await asyncio.sleep(RESTART_PAUSE_S)

    def cancel(self) -> None:
        """Cancel all tasks that still run."""
        for task in list(self._running):
            task.cancel()

    async def wait(self, limit_s: float | None = None) -> None:
        """Wait until all tasks have ended or the limit is reached.

        Parameters
        ----------
        limit_s : float or None
            Longest wait in seconds; None for no limit.
        """
        if self._running:
            await asyncio.wait(set(self._running), timeout=limit_s)

    def __len__(self) -> int:
        return len(self._running)

    def _on_done(self, task: asyncio.Task) -> None:
        self._running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.opt(exception=task.exception()).error("a background task failed")
