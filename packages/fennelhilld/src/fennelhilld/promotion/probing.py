"""Status probes of targets, on links outside the pools."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from functools import partial

import msgspec
from fennelhill_core.clock import timeout_ms
from fennelhill_core.events import EventLog
from fennelhill_core.tasks import Tasks
from loguru import logger

from fennelhilld.links.messages import (
    LinkDriver,
    LinkLostError,
    LinkRefusedError,
    TargetFault,
    TargetLink,
    TargetStatus,
)
from fennelhilld.placement.state import TargetState

# A live target answers within the sum of its queueing time (about 100 ms) and the time
# to open a link.
STATUS_TIMEOUT_MS = 300.0

# Refusals that only a live target sends.
_ALIVE_FAULTS = frozenset({TargetFault.BUSY, TargetFault.TOO_MANY_CONNECTIONS})


class ProbeResult(msgspec.Struct, frozen=True):
    """Result of a status probe.

    Parameters
    ----------
    answered : bool
        Whether the target answered, even if only that it is busy.
    status : TargetStatus or None
        None if the target is busy or did not answer.
    """

    answered: bool
    status: TargetStatus | None = None


class TargetProber:
    """Probes targets on its own links, so that no probe waits for a link of a pool.

    Parameters
    ----------
    driver : LinkDriver
        Opens links.
    events : EventLog
        Records probes that get no status.
    """

    __slots__ = ("_driver", "_events", "_links", "_running", "_tasks")

    def __init__(self, driver: LinkDriver, events: EventLog) -> None:
        self._driver = driver
        self._events = events
        self._links: dict[str, TargetLink] = {}
        # Status probes in progress, by target.
        self._running: dict[str, asyncio.Task[ProbeResult]] = {}
        self._tasks = Tasks()

    async def probe(
        self, target: TargetState, pool_wait_ms: float = 0.0
    ) -> ProbeResult:
        """Request a target's status, and keep the link for further probes.

        Callers share a probe in progress: when a leader is lost, the queries of other
        hosts come while this host probes it too.

        A target that accepts no further connection is asked on a link of its pool.

        Parameters
        ----------
        target : TargetState
            The target.
        pool_wait_ms : float
            Longest wait for a link of its pool in milliseconds; with 0 only an idle one
            is used.

        Returns
        -------
        ProbeResult
            Whether it answered, and its status if it answered and is not busy.
        """
        running = self._running.get(target.entry.id)
        if running is None or running.done():
            running = self._tasks.spawn(self._exchange(target, self._driver.status))
            self._running[target.entry.id] = running
        result = await asyncio.shield(running)
        if result.status is None and result.answered:
            status = await self._ask_on_pool(target, pool_wait_ms)
            result = ProbeResult(True, status)
        return result

    async def _ask_on_pool(
        self, target: TargetState, wait_ms: float
    ) -> TargetStatus | None:
        """Request the status of a busy target on a link that is open already."""
        link = await target.pool.borrow(wait_ms)
        if link is None:
            return None
        broken = True
        try:
            async with timeout_ms(STATUS_TIMEOUT_MS):
                status = await self._driver.status(link.connection)
            broken = False
        except (LinkLostError, TimeoutError):
            return None
        finally:
            target.pool.release(link, broken)
        return status

    async def demote(self, target: TargetState, term: int) -> TargetStatus | None:
        """Order a target that leads in an earlier term to become a replica.

        Parameters
        ----------
        target : TargetState
            The target.
        term : int
            The next term.

        Returns
        -------
        TargetStatus or None
            Its status after the order; None if it is busy or did not answer.
        """
        command = partial(self._driver.demote, term=term)
        return (await self._exchange(target, command)).status

    async def _exchange(
        self,
        target: TargetState,
        command: Callable[[TargetLink], Awaitable[TargetStatus | None]],
    ) -> ProbeResult:
        entry = target.entry
        link = self._links.pop(entry.id, None)
        try:
            async with timeout_ms(STATUS_TIMEOUT_MS):
                if link is None or link.closed:
                    link = await self._driver.open(
                        entry.group, entry.id, entry.address, STATUS_TIMEOUT_MS
                    )
                status = await command(link)
        except (LinkLostError, LinkRefusedError, TimeoutError) as error:
            if link is not None:
                link.close()
            self._events.record(
                "target.no_status",
                group=entry.group,
                target=entry.id,
                reason=str(error) or "no answer in time",
            )
            busy = isinstance(error, LinkRefusedError) and error.fault in _ALIVE_FAULTS
            return ProbeResult(busy)
        except Exception as error:
            # The probes of the group's other targets go on.
            if link is not None:
                link.close()
            logger.opt(exception=error).error(
                "a probe of {} failed unexpectedly", entry.id
            )
            return ProbeResult(False)
        self._keep(entry.id, link)
        return ProbeResult(True, status)

    def close(self) -> None:
        """Close the links that are kept for further probes."""
        for link in self._links.values():
            link.close()
        self._links.clear()

    def _keep(self, target_id: str, link: TargetLink) -> None:
        previous = self._links.pop(target_id, None)
        if previous is not None:
            previous.close()
        self._links[target_id] = link
