"""Serves requests to targets, and manages the targets that this host owns."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

from fennelhill_core.clock import Clock
from fennelhill_core.codes import LEAVING, NOT_PRIMARY, UNKNOWN_GROUP, Refusal
from fennelhill_core.events import EventLog
from fennelhill_core.platform import TableService
from fennelhill_core.settings import Settings, Target
from fennelhill_core.tasks import Tasks
from result import Err, Result

from fennelhilld.failover.coordinator import AskPeer, FailoverCoordinator
from fennelhilld.failover.switchover import Switchover
from fennelhilld.membership.view import OWNER_POLICIES, LiveView
from fennelhilld.peers.messages import (
    Answer,
    Operation,
    OwnerReply,
    OwnerRequest,
    PrimarySilenceQuery,
    PrimarySilenceReply,
)
from fennelhilld.pooling.owned_target import OwnedTarget
from fennelhilld.primary_monitor.monitor import GroupMonitor
from fennelhilld.reads.serve import serve_read
from fennelhilld.targets.driver import TargetDriver
from fennelhilld.transactions.serve import TransactionTable
from fennelhilld.writes.serve import delete_expired_keys, serve_outcome, serve_write

REVIEW_INTERVAL_MS = 250.0
UNUSED_TARGET_RETENTION_MS = 10_000.0
KEY_CLEANUP_INTERVAL_MS = 60_000.0
LEAVING_RETRY_AFTER_MS = 50  # suggested retry delay while this host shuts down

Handler = Callable[
    [OwnedTarget, GroupMonitor, OwnerRequest], Awaitable[Result[Answer, Refusal]]
]

_HANDLERS: dict[Operation, Handler] = {
    Operation.READ: serve_read,
    Operation.WRITE: serve_write,
    Operation.OUTCOME: serve_outcome,
}


class TargetService:
    """Serves requests to targets through the pools that this entry host owns.

    To own a target is to keep an admission queue and a connection pool for it.  A
    host owns the targets that the live view assigns to it, and also any target that
    it receives a request for: it is safe if two hosts own a target at the same time.
    The service opens and closes the queues and pools of owned targets, and the
    monitors and failover coordinators of their groups.

    Parameters
    ----------
    settings : Settings
        The settings.
    view : LiveView
        The live view.
    drivers : dict
        A target driver for each driver name in the settings.
    table : TableService or None
        Where failover coordinators take terms; None without a platform.
    ask_peer : callable
        Asks another entry host for how long it has had no answer from the primary.
    clock : Clock
        Source of time.
    random_state : random.Random
        Source of randomness for coordinators and transactions.
    events : EventLog
        Records changes of ownership and the decisions of monitors and coordinators.
    """

    __slots__ = (
        "_ask_peer",
        "_clock",
        "_coordinators",
        "_drivers",
        "_events",
        "_owner_policy",
        "_random",
        "_settings",
        "_switchovers",
        "_table",
        "_targets",
        "_tasks",
        "_view",
        "closing",
        "in_progress",
        "monitors",
        "owned_targets",
        "transactions",
    )

    def __init__(
        self,
        settings: Settings,
        view: LiveView,
        drivers: dict[str, TargetDriver],
        table: TableService | None,
        ask_peer: AskPeer,
        clock: Clock,
        random_state: random.Random,
        events: EventLog,
    ) -> None:
        self._settings = settings
        self._view = view
        self._drivers = drivers
        self._table = table
        self._ask_peer = ask_peer
        self._clock = clock
        self._random = random_state
        self._events = events
        self._owner_policy = OWNER_POLICIES.get(settings.owner_policy)()
        self._targets: dict[tuple[str, str], Target] = {
            (name, target.id): target
            for name, group in settings.groups.items()
            for target in group.targets
        }
        self._coordinators: dict[str, FailoverCoordinator] = {}
        self._switchovers: dict[str, Switchover] = {}
        self._tasks = Tasks()
        self.owned_targets: dict[str, OwnedTarget] = {}
        self.monitors: dict[str, GroupMonitor] = {}
        self.transactions = TransactionTable(
            settings.limits, clock, random_state, events
        )
        self.closing = False
        self.in_progress = 0

    def start(self) -> None:
        """Start the periodic review of owned targets and the clean-up of keys."""
        self._tasks.keep_running(self._review_periodically)
        self._tasks.keep_running(self._delete_expired_keys_periodically)

    def close(self) -> None:
        """Close all owned targets, monitors and coordinators."""
        parts = [*self.owned_targets.values(), *self.monitors.values()]
        for part in [*parts, *self._coordinators.values()]:
            part.close()
        self._tasks.cancel()

    async def serve(self, request: OwnerRequest) -> OwnerReply:
        """Serve a request to one of the targets.

        Parameters
        ----------
        request : OwnerRequest
            The request.

        Returns
        -------
        OwnerReply
            An answer or a refusal, with this host's view of the group.
        """
        target = self._targets.get((request.group, request.target))
        if target is None:
            return OwnerReply(refusal=Refusal.of(UNKNOWN_GROUP, request.target))
        self.in_progress += 1
        try:
            monitor = self._get_monitor(request.group)
            monitor.last_used_ms = self._clock.now_ms()
            result = await self._dispatch(request, target, monitor)
        finally:
            self.in_progress -= 1
        reply = OwnerReply()
        if result is not None and result.is_ok():
            reply.answer = result.unwrap()
        elif result is not None:
            reply.refusal = result.unwrap_err()
        reply.view = monitor.view()
        if request.target in self.owned_targets:
            wait_ms = self.owned_targets[request.target].queue.expected_wait_ms(
                request.tier
            )
            reply.view.targets[request.target].wait_ms = wait_ms
        return reply

    async def _dispatch(
        self, request: OwnerRequest, target: Target, monitor: GroupMonitor
    ) -> Result[Answer, Refusal] | None:
        match request.operation:
            case Operation.GET_VIEW:
                return None
            case Operation.STATEMENT:
                return await self.transactions.run_statement(request)
            case Operation.COMMIT:
                return await self.transactions.commit(request)
            case Operation.ROLLBACK:
                return await self.transactions.rollback(request)
        if self.closing:
            return Err(Refusal.of(LEAVING, self._view.host.id, LEAVING_RETRY_AFTER_MS))
        owned = self._get_owned_target(target, request.group)
        if owned.writes_held and request.operation is not Operation.READ:
            # The sending entry host holds the request and searches for the new primary.
            return Err(Refusal.of(NOT_PRIMARY, f"{target.id} is in a switchover"))
        if request.operation is Operation.BEGIN:
            result = await self.transactions.begin(owned, monitor, request)
            return result.map(self._add_host)
        return await _HANDLERS[request.operation](owned, monitor, request)

    def _add_host(self, answer: Answer) -> Answer:
        answer.host = self._view.host.id
        return answer

    def report_primary_silence(
        self, request: PrimarySilenceQuery
    ) -> PrimarySilenceReply:
        """Report for how long this host has had no answer from the primary.

        Without a known primary it is the time since this process last stalled, or
        since it began to monitor the group.

        Parameters
        ----------
        request : PrimarySilenceQuery
            The group, and the highest term that the asking host has seen.

        Returns
        -------
        PrimarySilenceReply
            This host's zone, the silence in milliseconds, and the highest term that it
            has seen.
        """
        monitor = self._get_monitor(request.group)
        primary = monitor.primary()
        zone = self._view.host.zone
        if primary is None:
            silence_ms = self._clock.now_ms() - monitor.last_stall_ms
            return PrimarySilenceReply(zone, silence_ms, monitor.term)
        silence_ms = monitor.silence_ms(primary.target.id)
        return PrimarySilenceReply(zone, silence_ms, monitor.term)

    def _get_owned_target(self, target: Target, group: str) -> OwnedTarget:
        """Return an owned target; this host starts to own it if it does not yet."""
        owned = self.owned_targets.get(target.id)
        if owned is None:
            driver = self._drivers[self._settings.groups[group].driver]
            max_connections = self._owner_policy.connections(self._view, target)
            owned = OwnedTarget(
                target, driver, self._settings.limits, self._clock, max_connections
            )
            owned.start()
            self.owned_targets[target.id] = owned
            self._events.record("pooling.owns", group, target=target.id)
        return owned

    def _get_monitor(self, name: str) -> GroupMonitor:
        """Return the monitor of a group, which is created if necessary.

        If there is a platform, the group's failover coordinator and switchover are
        created with the monitor.
        """
        monitor = self.monitors.get(name)
        if monitor is None:
            group = self._settings.groups[name]
            driver = self._drivers[group.driver]
            limits = self._settings.limits
            monitor = GroupMonitor(
                name, group, driver, limits, self._clock, self._events
            )
            monitor.start()
            self.monitors[name] = monitor
            if self._table is not None:
                coordinator = FailoverCoordinator(
                    monitor,
                    self._view,
                    self._table,
                    self._ask_peer,
                    limits,
                    self._clock,
                    self._random,
                    self._events,
                )
                coordinator.start()
                self._coordinators[name] = coordinator
                self._switchovers[name] = Switchover(
                    monitor, coordinator, self.transactions, self._clock, self._events
                )
        return monitor

    async def _review_periodically(self) -> None:
        """Own the targets that the live view assigns, and close unused ones."""
        while True:
            for (group, _), target in self._targets.items():
                candidates = self._owner_policy.order(self._view, target)
                if (
                    candidates
                    and candidates[0].id == self._view.host.id
                    and not self.closing
                ):
                    self._get_monitor(group)
                    self._get_owned_target(
                        target, group
                    ).last_used_ms = self._clock.now_ms()
                else:
                    self._close_if_unused(target)
            self._close_unused_monitors()
            for switchover in self._switchovers.values():
                # A switchover may take a second or two.  The review doesn't wait for
                # it, because other targets need a review meanwhile.
                self._tasks.spawn(switchover.run_if_due(self.owned_targets))
            await self._clock.sleep_ms(REVIEW_INTERVAL_MS)

    def _close_if_unused(self, target: Target) -> None:
        owned = self.owned_targets.get(target.id)
        if owned is None or owned.queue.busy or owned.queue.waiting:
            return
        if self._clock.now_ms() - owned.last_used_ms > UNUSED_TARGET_RETENTION_MS:
            owned.close()
            del self.owned_targets[target.id]
            self._events.record("pooling.dropped", target=target.id)

    def _close_unused_monitors(self) -> None:
        for name in list(self.monitors):
            targets = self._settings.groups[name].targets
            if any(target.id in self.owned_targets for target in targets):
                continue
            self.monitors.pop(name).close()
            if name in self._coordinators:
                self._coordinators.pop(name).close()
                self._switchovers.pop(name)

    async def _delete_expired_keys_periodically(self) -> None:
        while True:
            await self._clock.sleep_ms(KEY_CLEANUP_INTERVAL_MS)
            for (group, target), _ in self._targets.items():
                if target in self.owned_targets and group in self.monitors:
                    owned, monitor = self.owned_targets[target], self.monitors[group]
                    await delete_expired_keys(owned, monitor, self._clock)
