"""Leases of pooled links, and exchanges of commands on them."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from fennelhill_core.clock import MS_PER_S, Clock, timeout_ms

from fennelhilld.admission.order import QueuedRequest
from fennelhilld.links.messages import (
    Command,
    CommandKind,
    LinkLostError,
    NoLinkError,
    TargetAnswer,
    Urgency,
)
from fennelhilld.links.pool import TargetPool
from fennelhilld.links.state import PooledLink

# About twice the longest usual time to an answer: that of a statement of 170 ms, or of
# one behind a queue of 16 in the target.
OVERDUE_MS = 350.0

_WITHOUT_SIGNATURE = frozenset(CommandKind) - {
    CommandKind.STATEMENT,
    CommandKind.COMMIT,
}
_REPLAY_KINDS = frozenset(
    {
        CommandKind.SET_VALUE,
        CommandKind.PREPARE,
        CommandKind.DEALLOCATE,
        CommandKind.RESET,
    }
)


class Exchange:
    """The answers to commands that were sent as one batch.

    Parameters
    ----------
    sent_boottime_ms : float
        When the batch was sent, on the clock that also advances while the host is
        suspended.
    took_ms : float
        Time from sending to the last answer, in milliseconds.
    answers : list of TargetAnswer
        Answers to all commands except those that replay session state.
    """

    __slots__ = ("answers", "sent_boottime_ms", "took_ms")

    def __init__(
        self, sent_boottime_ms: float, took_ms: float, answers: list[TargetAnswer]
    ) -> None:
        self.sent_boottime_ms = sent_boottime_ms
        self.took_ms = took_ms
        self.answers = answers


class Lease:
    """A pooled link that is leased to a request or a transaction.

    If an answer is missing at the time-out or does not fit its command, or if an
    exchange is cancelled, the link is closed and not reused.  While an answer is
    overdue but not yet timed out, the link does not count against the pool's window.

    Parameters
    ----------
    pool : TargetPool
        The pool to which the link is returned.
    link : PooledLink
        The link.
    clock : Clock
        Source of time.
    on_overdue : callable
        Called when an answer is overdue, with the time of sending on this host's
        clock.
    request : QueuedRequest or None
        The request that the link is leased to; None if it has no priority.
    """

    __slots__ = (
        "_broken",
        "_clock",
        "_on_overdue",
        "_paused",
        "_request",
        "_returned",
        "_service_ms",
        "link",
        "pool",
        "sent",
        "sent_at_ms",
    )

    def __init__(
        self,
        pool: TargetPool,
        link: PooledLink,
        clock: Clock,
        on_overdue: Callable[[float], None],
        request: QueuedRequest | None = None,
    ) -> None:
        self.link = link
        self._request = request
        # Whether a command may have reached the target.
        self.sent = False
        # When the last batch was sent, on this host's clock.
        self.sent_at_ms = 0.0
        self.pool = pool
        self._clock = clock
        self._on_overdue = on_overdue
        self._broken = False
        self._returned = False
        self._paused = False
        # Time of all exchanges, answered or not.
        self._service_ms = 0.0

    def pause(self) -> None:
        """Stop counting the link against the pool's window until the next exchange."""
        if not self._paused and not self._returned:
            self._paused = self.link.paused = True
            self.pool.pause()

    def rest(self, end_transaction: Callable[[], None]) -> None:
        """Pause the link while the transaction that is open on it is idle.

        Parameters
        ----------
        end_transaction : callable
            Rolls the transaction back, so that others get the link's place; called
            only before `wake` and the next exchange.
        """
        if not self._returned:
            self.link.end_transaction = end_transaction
            self.link.rests_since_ms = self._clock.now_ms()
            self.pause()

    def wake(self) -> None:
        """Keep the transaction from being rolled back, as its next statement is run."""
        self.link.end_transaction = None

    def _resume(self) -> None:
        if self._paused:
            self._paused = self.link.paused = False
            self.pool.resume()

    async def exchange(
        self, commands: list[Command], limit_ms: float, send_by_ms: float = math.inf
    ) -> Exchange:
        """Send commands as one batch and read all answers.

        Parameters
        ----------
        commands : list of Command
            The batch.
        limit_ms : float
            Time-out for sending and for all answers together, in milliseconds.
        send_by_ms : float
            Until when the batch may be sent to the target, on the clock that counts
            suspended time; matters to links through owners, which may wait.

        Returns
        -------
        Exchange
            The answers.

        Raises
        ------
        LinkLostError
            If the link is closed, an answer is missing, late or does not fit its
            command, or session state could not be replayed.
        NoLinkError
            If the link leads through owners, and none of them has a connection to the
            target in time; nothing was sent.
        """
        self.wake()
        self._resume()
        started_ms = self.sent_at_ms = self._clock.now_ms()
        sent_boottime_ms = self._clock.boottime_ms()
        answers = []
        loop = asyncio.get_running_loop()
        overdue_timer = loop.call_later(
            OVERDUE_MS / MS_PER_S, self._handle_overdue, started_ms
        )
        try:
            async with timeout_ms(limit_ms):
                if self.link.connection.closed:
                    raise LinkLostError("the link was closed before commands were sent")
                self.sent = True
                await self.link.connection.send(
                    commands, self._urgency(limit_ms, send_by_ms)
                )
                for command in commands:
                    answer = await self.link.connection.receive()
                    _check_answer(command, answer)
                    if command.kind not in _REPLAY_KINDS:
                        answers.append(answer)
        except TimeoutError:
            self._broken = True
            raise LinkLostError(f"no answer within {limit_ms:.0f} ms") from None
        except LinkLostError:
            self._broken = True
            raise
        except NoLinkError:
            # An owner of the target has no link for the batch.
            self.sent = False
            raise
        except BaseException:
            # After a cancellation or an internal error no caller releases the link.
            self.discard()
            raise
        finally:
            overdue_timer.cancel()
            self._service_ms += self._clock.now_ms() - started_ms
        self.pool.last_answer_ms = self._clock.now_ms()
        took_ms = self.pool.last_answer_ms - started_ms
        if any(answer.signature for answer in answers):
            # Control commands and refusals say nothing about the target's queue.
            self.pool.record_response_time(took_ms)
        return Exchange(sent_boottime_ms, took_ms, answers)

    def _urgency(self, limit_ms: float, send_by_ms: float) -> Urgency:
        request = self._request
        if request is None:
            return Urgency(limit_ms, send_by_ms=send_by_ms)
        now_ms = self._clock.now_ms()
        return Urgency(
            limit_ms,
            request.priority,
            request.due_ms - now_ms,
            request.organisation,
            send_by_ms,
            request.give_up_ms - now_ms,
        )

    def _handle_overdue(self, sent_ms: float) -> None:
        # A lost answer must not block requests that wait for a link to the target.
        self.pause()
        self._on_overdue(sent_ms)

    def release(self) -> None:
        """Return the link to the pool; further calls do nothing."""
        if not self._returned:
            self.wake()
            self._resume()
            self._returned = True
            if self._request is not None:
                organisation = self._request.organisation
                self.pool.record_service(organisation, self._service_ms)
            self.pool.release(self.link, self._broken)

    def discard(self) -> None:
        """Close the link; the target rolls back the transaction open on it."""
        self._broken = True
        self.release()


def _check_answer(command: Command, answer: TargetAnswer) -> None:
    if answer.fault is not None:
        if command.kind in _REPLAY_KINDS:
            raise LinkLostError(f"replay of session state failed: {answer.detail}")
        return
    if bool(answer.signature) == (command.kind in _WITHOUT_SIGNATURE):
        raise LinkLostError(
            f"signature missing or unexpected in the answer to {command.kind.value}"
        )
