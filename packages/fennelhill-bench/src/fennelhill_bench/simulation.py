"""A deployment under virtual time that a test drives step by step."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

from fennelhill_core.clock import MS_PER_S
from fennelhill_core.events import Event

from fennelhill_bench.clients import Call, DirectClient, Outcome
from fennelhill_bench.deployment import Deployment, Plan
from fennelhill_bench.ledger import TABLES
from fennelhill_bench.load import Load, Mix
from fennelhill_bench.virtual_time import VirtualTimeLoop

WARM_UP_S = 1.0
TABLE_CREATION_WAIT_S = 0.2
CANCELLATION_WAIT_S = 0.001  # in which cancelled tasks end


class Simulation:
    """One deployment and the event loop that it runs in.

    Parameters
    ----------
    plan : Plan
        Plan of the deployment.
    """

    def __init__(self, plan: Plan) -> None:
        self.loop = VirtualTimeLoop()
        # Values that steps of a scenario store for its later steps: outcomes of
        # calls, other values by name, and the session token.
        self.outcomes: list[Outcome] = []
        self.step_values: dict[str, Any] = {}
        self.session = ""
        self.load: Load | None = None
        self.deployment: Deployment = self.run(self._start(plan))
        self.client = DirectClient(self.deployment)

    async def _start_sessions(self) -> None:
        self.load.start()

    async def _stop(self) -> None:
        self.deployment.close()
        await asyncio.sleep(0)

    async def _start(self, plan: Plan) -> Deployment:
        deployment = Deployment.in_memory(plan)
        await asyncio.sleep(WARM_UP_S)
        return deployment

    @property
    def now_ms(self) -> float:
        """Virtual time in milliseconds."""
        return self.loop.time() * MS_PER_S

    def run(self, work: Coroutine) -> Any:
        """Run a coroutine until it completes.

        Parameters
        ----------
        work : coroutine
            The coroutine.

        Returns
        -------
        object
            Its result.
        """
        return self.loop.run_until_complete(work)

    def wait(self, duration_s: float) -> None:
        """Run the deployment for some time.

        Parameters
        ----------
        duration_s : float
            Virtual seconds.
        """
        self.run(asyncio.sleep(duration_s))

    def call(self, host: str, call: Call) -> Outcome:
        """Send a call and wait for its answer.

        Parameters
        ----------
        host : str
            Name of the entry host.
        call : Call
            The call.

        Returns
        -------
        Outcome
            The answer or the refusal.
        """
        return self.run(self.client.call(host, call))

    def start_call(self, host: str, call: Call) -> asyncio.Task:
        """Send a call without waiting for its answer.

        Parameters
        ----------
        host : str
            Name of the entry host.
        call : Call
            The call.

        Returns
        -------
        asyncio.Task
            Task that returns the outcome.
        """
        return self.loop.create_task(self.client.call(host, call))

    def create_tables(self) -> None:
        """Create the tables of the load in every group.

        Raises
        ------
        RuntimeError
            If a group does not answer.
        """
        for group in self.deployment.settings.groups:
            for sql in TABLES:
                call = Call("execute", group, sql, class_name="upsert")
                outcome = self.call(self.hosts()[0], call)
                if outcome.answer is None:
                    raise RuntimeError(f"{group}: {outcome.error}")
        self.wait(TABLE_CREATION_WAIT_S)

    def start_load(self, mix: Mix | None = None, seed: int = 1) -> None:
        """Start the sessions of the load in the background.

        Parameters
        ----------
        mix : Mix or None
            Requests to send; None for the defaults.
        seed : int
            Seed of all random choices.
        """
        self.load = Load(self.deployment, self.client, mix or Mix(), seed)
        self.run(self._start_sessions())

    def finish_load(self) -> None:
        """Stop the sessions and request the outcomes that are still unknown."""
        self.run(self.load.stop())
        self.run(self.load.resolve_unknown())

    def hosts(self, zone: str = "") -> list[str]:
        """Return the names of the entry hosts that are running.

        Parameters
        ----------
        zone : str
            Only those of this availability zone; empty for all.

        Returns
        -------
        list of str
            The names.
        """
        daemons = self.deployment.daemons.values()
        return [d.host.id for d in daemons if zone in ("", d.host.zone)]

    def owner_of(self, target: str) -> str:
        """Return the name of the entry host that owns a target.

        Parameters
        ----------
        target : str
            Name of the target.

        Returns
        -------
        str
            Name of the first host that owns it.

        Raises
        ------
        LookupError
            If no host owns it.
        """
        for daemon in self.deployment.daemons.values():
            if target in daemon.target_service.owned_targets:
                return daemon.host.id
        raise LookupError(target)

    def events(self, kind: str) -> list[Event]:
        """Return the events, of all daemons, whose kind starts with a prefix.

        Parameters
        ----------
        kind : str
            Prefix of the event kinds.

        Returns
        -------
        list of Event
            The events.
        """
        return [
            event
            for daemon in self.deployment.daemons.values()
            for event in daemon.events.since(0)
            if event.kind.startswith(kind)
        ]

    def close(self) -> None:
        """Stop the deployment and close the event loop."""
        self.run(self._stop())
        for task in asyncio.all_tasks(self.loop):
            task.cancel()
        self.wait(CANCELLATION_WAIT_S)
        self.loop.close()
