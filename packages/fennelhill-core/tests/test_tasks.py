"""Tests of background tasks."""

from __future__ import annotations

import asyncio

from fennelhill_bench.virtual_time import run_virtual
from fennelhill_core.tasks import RESTART_PAUSE_S, Tasks


class TestKeepRunning:
    def test_starts_a_loop_again_that_an_error_has_ended(self):
        async def main():
            tasks = Tasks()
            starts_s = []

            async def loop():
                starts_s.append(asyncio.get_running_loop().time())
                raise ValueError("unexpected")

            tasks.keep_running(loop)
            await asyncio.sleep(4.5 * RESTART_PAUSE_S)
            assert len(starts_s) == 5
            tasks.cancel()
            await asyncio.sleep(2 * RESTART_PAUSE_S)
            assert len(starts_s) == 5
            assert len(tasks) == 0

        run_virtual(main())

    def test_ends_with_a_loop_that_ends_by_itself(self):
        async def main():
            tasks = Tasks()
            starts = []

            async def loop():
                starts.append(1)

            await tasks.keep_running(loop)
            assert starts == [1]

        run_virtual(main())
