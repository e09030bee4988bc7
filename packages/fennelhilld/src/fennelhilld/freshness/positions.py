"""Minimum log positions for reads of bounded staleness, and replication lag."""

from __future__ import annotations

from collections import deque

import msgspec
from fennelhill_core.tokens import Position

MAX_SAMPLES = 128  # covers the longest allowed staleness at 40 samples a second
MAX_SAMPLE_AGE_MS = 60_000.0  # older samples are removed, except the newest one
SAMPLE_SPACING_MS = 20.0  # denser samples hardly lower a minimum position
# Margin for clock drift: within the allowed staleness, the clocks of two hosts drift
# apart by far less than this.
AGE_MARGIN_MS = 30.0


class PositionSample(msgspec.Struct, frozen=True):
    """The log position in a leader's answer to a command.

    It covers every commit that was acknowledged before the command was sent.

    Parameters
    ----------
    sent_ms : float
        When the command was sent, on a clock that counts suspended time.
    position : Position
        End of the leader's log, as reported in the answer.
    """

    sent_ms: float
    position: Position


class MinimumPosition(msgspec.Struct, frozen=True):
    """Log position that a replica must have applied to serve a read.

    Parameters
    ----------
    position : Position
        The log position.
    age_ms : float
        How long ago the leader is known to have reached it, in milliseconds.
    """

    position: Position
    age_ms: float


class GroupFreshness:
    """Log positions of a group's leader, and the minimum positions of reads.

    A commit that was acknowledged before a time is covered by every sample sent
    at that time or later, so the *oldest* sample within the allowed staleness gives
    the lowest sufficient position.  Positions of an earlier term may have been rolled
    back.  Once a newer term has been seen, only its samples are used; they cover all
    commits that survived the change of leader.
    """

    __slots__ = ("_samples", "_term_start_sample", "term")

    def __init__(self) -> None:
        self._samples: deque[PositionSample] = deque(maxlen=MAX_SAMPLES)
        self._term_start_sample: PositionSample | None = None
        self.term = 0

    def add_sample(self, sent_ms: float, position: Position) -> None:
        """Add a sample from a target that has proven to be the leader.

        Parameters
        ----------
        sent_ms : float
            When the command was sent.
        position : Position
            Log position in the answer.
        """
        if position.term < self.term:
            return
        sample = PositionSample(sent_ms, position)
        if position.term > self.term:
            self.term = position.term
            self._samples.clear()
            self._term_start_sample = sample
        if self._samples:
            newest = self._samples[-1]
            if sent_ms < newest.sent_ms + SAMPLE_SPACING_MS:
                return
        self._samples.append(sample)

    def newest_sample(self) -> PositionSample | None:
        """Return the newest sample.

        Returns
        -------
        PositionSample or None
            None if there is none.
        """
        return self._samples[-1] if self._samples else None

    def minimum_position(
        self, now_ms: float, max_age_ms: float, own_commit: Position | None
    ) -> MinimumPosition | None:
        """Return the log position that a replica needs for a read that begins now.

        Parameters
        ----------
        now_ms : float
            Time on the clock of the samples.
        max_age_ms : float
            Staleness that the read allows, in milliseconds.
        own_commit : Position or None
            The session's own last commit in this group.

        Returns
        -------
        MinimumPosition or None
            None if no sample is recent enough: only the leader can serve the read.
        """
        oldest_ms = now_ms - max_age_ms + AGE_MARGIN_MS
        while (
            len(self._samples) > 1
            and self._samples[0].sent_ms < now_ms - MAX_SAMPLE_AGE_MS
        ):
            self._samples.popleft()
        oldest_fresh = None
        for sample in self._samples:
            if sample.sent_ms >= oldest_ms:
                oldest_fresh = sample
                break
        if oldest_fresh is None:
            return None
        minimum = MinimumPosition(oldest_fresh.position, now_ms - oldest_fresh.sent_ms)
        if own_commit is None:
            return minimum
        required = self._surviving_position(own_commit)
        if required <= minimum.position:
            return minimum
        return MinimumPosition(required, self._position_age_ms(required, now_ms))

    def _surviving_position(self, own_commit: Position) -> Position:
        # A commit of an earlier term is either in the log with which the newest term
        # began, or was rolled back.
        if own_commit.term < self.term and self._term_start_sample is not None:
            return self._term_start_sample.position
        return own_commit

    def _position_age_ms(self, position: Position, now_ms: float) -> float:
        for sample in self._samples:
            if sample.position >= position:
                return now_ms - sample.sent_ms
        return 0.0

    def log_lag_ms(self, position: Position, now_ms: float) -> float:
        """Return the replication lag of a log, as far as the samples show it.

        Parameters
        ----------
        position : Position
            Position of the end of the log.
        now_ms : float
            Time on the clock of the samples.

        Returns
        -------
        float
            Milliseconds since the leader is known to have been ahead of it; 0 if no
            sample is ahead.
        """
        for sample in self._samples:
            if sample.position > position:
                return now_ms - sample.sent_ms
        return 0.0


class LagEstimate:
    """Predicts whether a replica has applied a log position of a certain age.

    A refused read costs a round trip, so a replica gets a read only if it has
    probably applied the position.  The estimate follows the lag that each answer
    shows.  It decays slowly from an ordinary lag, which returns with every commit, and
    fast from a long one, so that a replica that has caught up gets reads again.
    """

    __slots__ = ("_lag_ms", "_updated_ms")

    LONG_MS = 600.0  # beyond the ordinary lag of the users' replicas (20 to 360 ms)
    LONG_HALF_LIFE_MS = 1_500.0  # a replica far behind is tried about this often
    ORDINARY_HALF_LIFE_MS = 15_000.0  # in which a host sends it about 100 reads
    REFUSAL_GROWTH_FACTOR = 1.25  # after a refusal the lag exceeds the refused age
    MAX_MS = 20_000.0

    INITIAL_MS = 150.0  # before any answer; most commits are applied by then

    def __init__(self, now_ms: float = 0.0) -> None:
        self._lag_ms = self.INITIAL_MS
        self._updated_ms = now_ms

    def lag_ms(self, now_ms: float) -> float:
        """Return the estimated replication lag.

        Parameters
        ----------
        now_ms : float
            Time on this host's clock.

        Returns
        -------
        float
            Milliseconds.
        """
        half_life_ms = self.ORDINARY_HALF_LIFE_MS
        if self._lag_ms > self.LONG_MS:
            half_life_ms = self.LONG_HALF_LIFE_MS
        return self._lag_ms * 0.5 ** ((now_ms - self._updated_ms) / half_life_ms)

    def record_refusal(self, age_ms: float, measured_ms: float, now_ms: float) -> None:
        """Record that the replica had not applied a position of this age.

        Parameters
        ----------
        age_ms : float
            How long ago the leader reached the position, in milliseconds.
        measured_ms : float
            Lag that the replica's answer shows, in milliseconds.
        now_ms : float
            Time on this host's clock.
        """
        raised_ms = max(
            self.lag_ms(now_ms), age_ms * self.REFUSAL_GROWTH_FACTOR, measured_ms
        )
        self._lag_ms = min(self.MAX_MS, raised_ms)
        self._updated_ms = now_ms

    def record_answer(self, measured_ms: float, now_ms: float) -> None:
        """Record that the replica answered a read.

        Parameters
        ----------
        measured_ms : float
            Lag that the replica's answer shows, in milliseconds.
        now_ms : float
            Time on this host's clock.
        """
        estimate_ms = self.lag_ms(now_ms)
        if estimate_ms > self.LONG_MS:
            # It has caught up, so its lag before that no longer counts.
            estimate_ms = min(estimate_ms, self.LONG_MS)
        self._lag_ms = max(estimate_ms, min(measured_ms, self.MAX_MS))
        self._updated_ms = now_ms

    def predicts_applied(self, age_ms: float, now_ms: float) -> bool:
        """Predict whether the replica has applied a position of this age.

        Parameters
        ----------
        age_ms : float
            How long ago the leader reached the position, in milliseconds.
        now_ms : float
            Time on this host's clock.

        Returns
        -------
        bool
            True if the position is at least as old as the estimated lag.
        """
        return age_ms >= self.lag_ms(now_ms)
