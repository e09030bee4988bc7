"""Routes requests to the owner of a target that can serve them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from fennelhill_core.clock import MS_PER_S, Clock
from fennelhill_core.codes import (
    CONNECTION_LOST,
    DEADLINE_PASSED,
    KEY_CANCELLED,
    KEY_REUSED,
    LEAVING,
    NO_PRIMARY,
    NOT_PRIMARY,
    OVERLOADED,
    OWNER_UNREACHABLE,
    REPLICA_BEHIND,
    TARGET_UNREACHABLE,
    UNKNOWN_TRANSACTION,
    Outcome,
    Refusal,
)
from fennelhill_core.rpc import NoAnswer, NotSent
from fennelhill_core.settings import EntryHost, Settings, Target
from fennelhill_core.tasks import Tasks
from fennelhill_core.tokens import TransactionId
from result import Err, Ok, Result

from fennelhilld.membership.view import OWNER_POLICIES, LiveView
from fennelhilld.peers.messages import (
    Answer,
    Operation,
    OwnerReply,
    OwnerRequest,
)
from fennelhilld.peers.streams import PeerStreams
from fennelhilld.routing.budget import RetryBudget
from fennelhilld.routing.group_cache import GroupCache
from fennelhilld.routing.policies import (
    READ_POLICIES,
    Candidate,
    ReadRequest,
)

PRIMARY_POLL_MS = 40.0
HOP_MARGIN_MS = 6.0
# Share of the remaining time that a replica gets to answer a read.
READ_ATTEMPT_SHARE = 0.5
# Assumed time since the last update of a target that has had none.
NEVER_UPDATED_MS = 1e9
# Suggested retry delays.
HOST_RETRY_AFTER_MS = 200  # an entry host is unreachable or gave no answer
NO_PRIMARY_RETRY_AFTER_MS = 200

ServeLocally = Callable[[OwnerRequest], Awaitable[OwnerReply]]


class Router:
    """Chooses a target for each request and sends it to the owner of the target.

    A request is sent again only if it can't change data twice: if the refusal says *not
    run*, or if the request is a read, begins a transaction or has an idempotency key.
    The team's retry budget limits retries at the primary after an unknown outcome, and
    at another replica after an overloaded one.

    Parameters
    ----------
    view : LiveView
        State of the entry hosts.
    settings : Settings
        The settings.
    peers : PeerStreams
        Streams to other entry hosts.
    serve_locally : callable
        Serves requests for targets whose owner is this entry host.
    clock : Clock
        Source of time.
    """

    __slots__ = (
        "_budgets",
        "_clock",
        "_group_caches",
        "_owner_policy",
        "_peers",
        "_read_policy",
        "_serve_locally",
        "_settings",
        "_targets",
        "_tasks",
        "_view",
        "hops",
        "retries",
    )

    def __init__(
        self,
        view: LiveView,
        settings: Settings,
        peers: PeerStreams,
        serve_locally: ServeLocally,
        clock: Clock,
    ) -> None:
        self._view = view
        self._settings = settings
        self._peers = peers
        self._serve_locally = serve_locally
        self._clock = clock
        self._read_policy = READ_POLICIES.get(settings.read_policy)()
        self._owner_policy = OWNER_POLICIES.get(settings.owner_policy)()
        self._group_caches: dict[str, GroupCache] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._targets: dict[str, dict[str, Target]] = {
            name: {target.id: target for target in group.targets}
            for name, group in settings.groups.items()
        }
        self._tasks = Tasks()
        self.hops = 0
        self.retries = 0

    def close(self) -> None:
        """Cancel the searches for primaries."""
        self._tasks.cancel()

    def group_cache(self, group: str) -> GroupCache:
        """Return the cached views of a group.

        Parameters
        ----------
        group : str
            The database group.

        Returns
        -------
        GroupCache
            A new, empty cache at the first call.
        """
        return self._group_caches.setdefault(group, GroupCache())

    async def route(self, request: OwnerRequest) -> Result[Answer, Refusal]:
        """Serve a read, a write, a begin or an outcome query.

        Parameters
        ----------
        request : OwnerRequest
            The request, without a target.

        Returns
        -------
        Result
            The answer or the refusal for the caller.
        """
        deadline_ms = self._clock.now_ms() + request.remaining_ms
        budget = self._budget_of(request.team)
        result = await self._route_to_replica(request, deadline_ms, budget)
        # The last refusal after which the request may have run; later refusals don't
        # change that.
        unknown_outcome: Refusal | None = None
        while result is None or result.is_err():
            if result is not None:
                refusal = result.unwrap_err()
                if not _is_retryable(request, refusal):
                    break
                if refusal.outcome is Outcome.UNKNOWN:
                    unknown_outcome = refusal
                # The primary back-off paces held requests; the budget bounds retries
                # of requests that may already have used a target's capacity.
                if refusal.outcome is Outcome.UNKNOWN and not budget.try_spend():
                    break
                self.retries += 1
            target = await self._wait_for_primary(request, deadline_ms)
            if target is None:
                break
            result = await self._send_to_owner(request, target, deadline_ms)
            if result.is_err() and _is_retryable(request, result.unwrap_err()):
                # Sending to the same target again at once can't help.  During the
                # back-off, held requests share one search for the next primary.
                now_ms = self._clock.now_ms()
                self.group_cache(request.group).back_off_primary(target.id, now_ms)
        if result is not None and result.is_ok():
            budget.record_success()
            return result
        refusal = result.unwrap_err() if result is not None else None
        return Err(_combine_refusals(refusal, unknown_outcome, request.group))

    async def _route_to_replica(
        self, request: OwnerRequest, deadline_ms: float, budget: RetryBudget
    ) -> Result[Answer, Refusal] | None:
        """Try the replicas, if the request is a read that accepts stale data."""
        result = None
        if request.operation is Operation.READ and request.allowed_age_ms:
            if not self.group_cache(request.group).targets:
                await self._wait_for_primary(request, deadline_ms)
            for target in self._replicas(request):
                result = await self._send_to_owner(
                    request, target, deadline_ms, READ_ATTEMPT_SHARE
                )
                if result.is_ok():
                    return result
                refusal = result.unwrap_err()
                if refusal.code == OVERLOADED.number and budget.try_spend():
                    continue
                if not _is_retryable(request, refusal):
                    return result
        return result

    async def route_transaction(
        self, transaction: TransactionId, request: OwnerRequest
    ) -> Result[Answer, Refusal]:
        """Send a request of an open transaction to the host that holds its connection.

        Parameters
        ----------
        transaction : TransactionId
            Identifies the host and the target.
        request : OwnerRequest
            The request.

        Returns
        -------
        Result
            The answer or the refusal for the caller.
        """
        host = self._view.hosts.get(transaction.host)
        if host is None:
            return Err(Refusal.of(UNKNOWN_TRANSACTION))
        deadline_ms = self._clock.now_ms() + request.remaining_ms
        request.target = transaction.target
        try:
            reply = await self._send_to_host(host, request, deadline_ms)
        except NotSent:
            # The request did not run.  If the host has stopped, the target rolled back
            # the transaction when the host's connection closed.
            return Err(
                Refusal.of(UNKNOWN_TRANSACTION, f"entry host {host.id} was lost")
            )
        except NoAnswer as error:
            if request.operation is Operation.ROLLBACK:
                # No commit follows, so the transaction ends by its idle limit.
                return Err(Refusal.of(UNKNOWN_TRANSACTION, str(error)))
            # The transaction may still be open and include this statement: a client
            # that commits through another host commits the statement too.
            return Err(Refusal.of(CONNECTION_LOST, str(error), HOST_RETRY_AFTER_MS))
        return self._process_reply(request, reply)

    def _budget_of(self, team: str) -> RetryBudget:
        if team not in self._budgets:
            limits = self._settings.limits
            self._budgets[team] = RetryBudget(limits.retry_ratio, limits.retry_burst)
        return self._budgets[team]

    def _replicas(self, request: OwnerRequest) -> list[Target]:
        """Return the replicas to try for a read, in the read policy's order."""
        targets = self._targets[request.group]
        cache = self.group_cache(request.group)
        now_ms = self._clock.now_ms()
        candidates = [
            Candidate(
                name,
                targets[name].zone,
                view,
                now_ms - cache.updated_ms.get(name, now_ms - NEVER_UPDATED_MS),
                cache.wait_ms(name, now_ms),
            )
            for name, view in cache.targets.items()
            if not view.primary and not view.leaving and name in targets
        ]
        read_request = ReadRequest(
            request.need,
            request.allowed_age_ms,
            self._view.host.zone,
            self._settings.limits.replica_wait_ms,
        )
        return [
            targets[name] for name in self._read_policy.order(read_request, candidates)
        ]

    async def _wait_for_primary(
        self, request: OwnerRequest, deadline_ms: float
    ) -> Target | None:
        """Return the primary; hold the request while none is known.

        Returns None if none is found before the deadline.
        """
        cache = self.group_cache(request.group)
        targets = self._targets[request.group]
        while self._clock.now_ms() < deadline_ms - HOP_MARGIN_MS:
            name = cache.primary()
            if name is not None:
                return targets[name]
            if cache.primary_search is None or cache.primary_search.done():
                primary_search = self._search_primary(request.group, request.team)
                cache.primary_search = self._tasks.spawn(primary_search)
            # All requests that are held for this group share one search.
            limit_ms = deadline_ms - self._clock.now_ms() - HOP_MARGIN_MS
            await asyncio.wait({cache.primary_search}, timeout=limit_ms / MS_PER_S)
        return None

    async def _search_primary(self, group: str, team: str) -> None:
        """Query the owners of the group's targets until one reports a primary.

        Targets in this host's availability zone come first.  If none reports one, this
        sleeps for `PRIMARY_POLL_MS`, so that the next search does not start at once.
        """
        cache = self.group_cache(group)
        zone = self._view.host.zone
        targets = sorted(
            self._targets[group].values(), key=lambda t: (t.zone != zone, t.id)
        )
        for target in targets:
            for host in self._owner_policy.order(self._view, target)[:1]:
                limit_ms = self._settings.limits.sample_timeout_ms
                request = OwnerRequest(Operation.GET_VIEW, group, target.id, team)
                try:
                    reply = await self._send_to_host(
                        host, request, self._clock.now_ms() + limit_ms
                    )
                except (NoAnswer, NotSent):
                    continue
                if reply.view is not None:
                    cache.merge(reply.view, self._clock.now_ms())
                if cache.primary() is not None:
                    return
        await self._clock.sleep_ms(PRIMARY_POLL_MS)

    async def _send_to_owner(
        self,
        request: OwnerRequest,
        target: Target,
        deadline_ms: float,
        share: float = 1.0,
    ) -> Result[Answer, Refusal]:
        """Send a request to a target's owner, or to the next candidate host.

        The next one is tried if the owner is unreachable or is leaving.  Each gets
        `share` of the remaining time to answer.
        """
        request.target = target.id
        refusal = Refusal.of(OWNER_UNREACHABLE, target.id, HOST_RETRY_AFTER_MS)
        for host in self._owner_policy.order(self._view, target)[:2]:
            remaining_ms = deadline_ms - self._clock.now_ms()
            if remaining_ms <= HOP_MARGIN_MS:
                return Err(
                    Refusal.of(
                        DEADLINE_PASSED, "the deadline passed while routing the request"
                    )
                )
            try:
                reply = await self._send_to_host(
                    host, request, self._clock.now_ms() + share * remaining_ms
                )
            except NotSent:
                continue
            except NoAnswer as error:
                if request.operation is Operation.BEGIN:
                    # A transaction that was begun there ends by its idle limit,
                    # uncommitted, so the begin may be sent again.
                    refusal = Refusal.of(
                        OWNER_UNREACHABLE, str(error), HOST_RETRY_AFTER_MS
                    )
                else:
                    refusal = Refusal.of(
                        CONNECTION_LOST, str(error), HOST_RETRY_AFTER_MS
                    )
                break
            result = self._process_reply(request, reply)
            if result.is_err() and result.unwrap_err().code == LEAVING.number:
                self._view.record_response(host.id, leaving=True)
                refusal = result.unwrap_err()
                continue
            return result
        return Err(refusal)

    async def _send_to_host(
        self, host: EntryHost, request: OwnerRequest, deadline_ms: float
    ) -> OwnerReply:
        remaining_ms = deadline_ms - self._clock.now_ms()
        if host.id == self._view.host.id:
            request.remaining_ms = remaining_ms
            return await self._serve_locally(request)
        self.hops += 1
        # The owner gets an earlier deadline, so that its reply arrives in time.
        request.remaining_ms = max(0.0, remaining_ms - HOP_MARGIN_MS)
        return await self._peers.call(host, "work", request, remaining_ms, OwnerReply)

    def _process_reply(
        self, request: OwnerRequest, reply: OwnerReply
    ) -> Result[Answer, Refusal]:
        if reply.view is not None:
            self.group_cache(request.group).merge(reply.view, self._clock.now_ms())
        if reply.answer is not None:
            return Ok(reply.answer)
        return Err(
            reply.refusal
            or Refusal.of(CONNECTION_LOST, "the reply has no answer and no refusal")
        )


_KEY_OUTCOMES = {KEY_CANCELLED.number, KEY_REUSED.number}
_REDIRECTS = {NOT_PRIMARY.number, REPLICA_BEHIND.number, LEAVING.number}
_UNREACHABLE = {OWNER_UNREACHABLE.number, TARGET_UNREACHABLE.number}


def _is_retryable(request: OwnerRequest, refusal: Refusal) -> bool:
    """Return whether a retry can't change data twice and may succeed."""
    if refusal.code in _REDIRECTS | _UNREACHABLE:
        return True
    repeatable = request.operation is Operation.READ or bool(request.key)
    return repeatable and refusal.outcome is Outcome.UNKNOWN


def _combine_refusals(
    refusal: Refusal | None, unknown_outcome: Refusal | None, group: str
) -> Refusal:
    """Return the refusal that holds for all attempts together.

    If an earlier attempt may have run, a later one that did not run does not change
    that, unless it was refused because of its key.
    """
    if refusal is None or refusal.code in _REDIRECTS:
        refusal = Refusal.of(NO_PRIMARY, group, NO_PRIMARY_RETRY_AFTER_MS)
    if (
        unknown_outcome is not None
        and refusal.not_run
        and refusal.code not in _KEY_OUTCOMES
    ):
        return unknown_outcome
    return refusal
