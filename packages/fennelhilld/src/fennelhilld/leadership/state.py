"""Which target leads a group, as far as this host knows."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Iterator

import msgspec
from fennelhill_core.clock import MS_PER_S


class Fence(msgspec.Struct):
    """Keeps a host from using a leader that is being replaced.

    Parameters
    ----------
    claim_version : int
        Version of the claim to replace the leader.
    target_id : str
        The target that is to be promoted.
    previous_term : int
        Term of the leader that is being replaced.
    covered_until_ms : float
        Until when answers of that leader count, on the clock that also advances while
        the host is suspended.
    raised_ms : float
        When this host learned of the claim, on its clock.
    planned : bool
        Whether the leader that is being replaced still answers.
    """

    claim_version: int
    target_id: str
    previous_term: int
    covered_until_ms: float
    raised_ms: float = 0.0
    planned: bool = False


class GroupLeadership:
    """The leader of one group, its term, and whether it currently answers.

    Until a first claim on the group is known, the leader is the target that reports
    itself as one.  From then on only claims and answers of a newer term change it: a
    replaced leader may go on reporting that it leads.

    Parameters
    ----------
    group : str
        Name of the group.
    record : callable
        Called with an event kind and its fields when the leader is lost or changes.
    """

    __slots__ = (
        "_changed",
        "_record_event",
        "changed_ms",
        "claimed",
        "confirmed_ms",
        "failing_since_ms",
        "fence",
        "group",
        "leader_id",
        "obstacle",
        "term",
        "writes_in_flight",
    )

    def __init__(self, group: str, record: Callable[..., None]) -> None:
        self.group = group
        self.leader_id: str | None = None
        self.term = 0
        # When the newest command or probe that a leader answered was sent; a change
        # of leader does not reset it.
        self.confirmed_ms = float("-inf")
        # When the leader last changed.
        self.changed_ms = float("-inf")
        self.failing_since_ms: float | None = None
        # Whether a claim on the group has been seen.
        self.claimed = False
        # Set while a claim is open.
        self.fence: Fence | None = None
        # Writes and commits that were sent to the leader and not yet answered.
        self.writes_in_flight = 0
        # Why a lost leader can't be replaced now; empty if it can.
        self.obstacle = ""
        self._record_event = record
        self._changed = asyncio.Event()

    @property
    def suspect(self) -> bool:
        """Whether the leader fails or is being replaced."""
        return self.failing_since_ms is not None or self.fence is not None

    @property
    def in_doubt(self) -> bool:
        """Whether the leader is suspect, or could not be replaced when it was."""
        return self.suspect or bool(self.obstacle)

    def confirm_leader(self, target_id: str, term: int, sent_ms: float) -> None:
        """Record that a target answered as the leader.

        Parameters
        ----------
        target_id : str
            The target.
        term : int
            Term of its answer.
        sent_ms : float
            When the command or probe that it answered was sent.
        """
        if target_id != self.leader_id:
            if not self._may_lead(target_id, term, sent_ms):
                return
            self._change_leader(target_id, term, sent_ms, "answered as the leader")
        elif self._was_promoted(target_id, term):
            # The claim was learned after its target had been taken as the leader.
            self.lift_fence()
        self.term = max(self.term, term)
        self.confirmed_ms = max(self.confirmed_ms, sent_ms)
        if self.failing_since_ms is not None and sent_ms > self.failing_since_ms:
            self.clear_failure()

    def set_reported_leader(
        self, target_id: str, now_ms: float, was_replica: bool = False
    ) -> None:
        """Follow a target that reports itself as the leader, or that a host names.

        Once a claim on the group is known this is ignored, except that the target of
        an open claim has been promoted if it reported itself as a replica until now.

        Parameters
        ----------
        target_id : str
            The target.
        now_ms : float
            Time on this host's clock.
        was_replica : bool
            Whether its last report said that it is a replica.  A target that is listed
            for the first time may have been replaced and go on reporting that it leads.
        """
        if target_id == self.leader_id:
            return
        if self.fence is not None and self.fence.target_id == target_id:
            if not was_replica:
                return
            self.install_leader(target_id, self.fence.previous_term + 1, now_ms)
        elif not self.claimed:
            self._change_leader(target_id, self.term, now_ms, "reported as the leader")

    def install_leader(self, target_id: str, term: int, now_ms: float) -> None:
        """Follow the leader that a finished claim names.

        Parameters
        ----------
        target_id : str
            The target.
        term : int
            The term that it leads; 0 if unknown.
        now_ms : float
            Time on this host's clock.
        """
        self.fence = None
        if 0 < term < self.term:
            # A target with a newer term has answered as the leader since.
            return
        if target_id == self.leader_id:
            self.term = max(term, self.term)
            self.wake()
            return
        self._change_leader(target_id, term, now_ms, "named by a finished claim")

    def raise_fence(self, fence: Fence) -> None:
        """Stop using the leader because it is being replaced.

        Parameters
        ----------
        fence : Fence
            The fence.
        """
        self.fence = fence
        self._record_event(
            "leadership.fenced",
            target=fence.target_id,
            claim_version=fence.claim_version,
            before=self.leader_id,
            term=fence.previous_term,
        )

    def lift_fence(self) -> None:
        """Use the leader again because the claim to replace it was abandoned."""
        self.fence = None
        self.wake()

    def record_not_leading(self, target_id: str, now_ms: float) -> None:
        """Record that a target refused because it does not lead.

        Parameters
        ----------
        target_id : str
            The target.
        now_ms : float
            Time on this host's clock.
        """
        if target_id == self.leader_id:
            self.leader_id = None
            if self.failing_since_ms is None:
                self.failing_since_ms = now_ms
            self._record_event("leadership.lost", target=target_id, term=self.term)

    def record_failure(self, target_id: str, now_ms: float) -> bool:
        """Record that the leader did not answer.

        Parameters
        ----------
        target_id : str
            The target that did not answer.
        now_ms : float
            Time on this host's clock.

        Returns
        -------
        bool
            True if the target is the leader and this is the first failure since its
            last answer.
        """
        if target_id != self.leader_id or self.failing_since_ms is not None:
            return False
        self.failing_since_ms = now_ms
        return True

    def clear_failure(self) -> None:
        """Record that the leader answers again."""
        self.failing_since_ms = None
        self.obstacle = ""

    @contextlib.contextmanager
    def write_in_flight(self) -> Iterator[None]:
        """Count a write or commit while its answer is awaited."""
        self.writes_in_flight += 1
        try:
            yield
        finally:
            self.writes_in_flight -= 1

    async def wait_for_change(self, limit_ms: float) -> None:
        """Wait until the leader changes or can be used again.

        Parameters
        ----------
        limit_ms : float
            Longest wait in milliseconds.
        """
        changed = self._changed
        try:
            async with asyncio.timeout(max(0.0, limit_ms) / MS_PER_S):
                await changed.wait()
        except TimeoutError:
            return

    def _may_lead(self, target_id: str, term: int, sent_ms: float) -> bool:
        """Return whether an answer of another target than the leader is believed.

        A late answer of a former leader is not: its term is older, or it answers a
        command sent before the last change of leader.
        """
        if self.fence is not None:
            return target_id == self.fence.target_id and term > self.fence.previous_term
        if term < self.term or sent_ms < self.changed_ms:
            return False
        return term > self.term or not self.claimed or self.leader_id is None

    def _was_promoted(self, target_id: str, term: int) -> bool:
        """Return whether an answer shows that the open claim's target was promoted."""
        fence = self.fence
        return (
            fence is not None
            and target_id == fence.target_id
            and term > fence.previous_term
        )

    def _change_leader(
        self, target_id: str, term: int, at_ms: float, reason: str
    ) -> None:
        previous_leader_id = self.leader_id
        self.changed_ms = at_ms
        self.leader_id = target_id
        self.term = max(term, self.term)
        self.clear_failure()
        self.fence = None
        self._record_event(
            "leadership.changed",
            target=target_id,
            before=previous_leader_id,
            term=self.term,
            reason=reason,
        )
        self.wake()

    def wake(self) -> None:
        """Wake requests that wait for the leader."""
        self._changed.set()
        self._changed = asyncio.Event()
