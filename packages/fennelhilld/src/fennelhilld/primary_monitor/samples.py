"""Position samples, from which the age of a replica's data is derived."""

from __future__ import annotations

from collections import deque

import msgspec
from fennelhill_core.tokens import Position

MAX_SAMPLES = 256


def covers(have: Position, need: Position) -> bool:
    """Return whether a log holds all entries up to a position.

    Parameters
    ----------
    have : Position
        End of a log; its term is that of the primary the log is reconciled with.
    need : Position
        A confirmed position.

    Returns
    -------
    bool
        Whether the log's term and index are both high enough.  A log of a later term
        contains every confirmed entry of an earlier term, at the same index, but may
        not be applied that far yet, so a higher term alone is not enough.
    """
    return have.term >= need.term and have.index >= need.index


class Sample(msgspec.Struct, frozen=True):
    """A log position, and a time at which it covered all acknowledged writes.

    Parameters
    ----------
    at_ms : float
        When the query was sent, on this host's clock.
    position : Position
        Log position that the confirmed primary reported.
    """

    at_ms: float
    position: Position


class Samples:
    """The latest confirmed samples of a group, newest last.

    The time of a sample is when its query was *sent*, so the position covers every
    write that was acknowledged before.  A sample is added only if enough other targets
    confirmed the term after that time, so a partitioned primary can't make its own
    replicas appear fresh.
    """

    __slots__ = ("_samples",)

    def __init__(self) -> None:
        self._samples: deque[Sample] = deque(maxlen=MAX_SAMPLES)

    def add(self, sample: Sample) -> None:
        """Add a confirmed sample.

        Parameters
        ----------
        sample : Sample
            The sample; one that is not newer than the newest is dropped.
        """
        if not self._samples or sample.at_ms > self._samples[-1].at_ms:
            self._samples.append(sample)

    def newest(self) -> Sample | None:
        """Return the newest sample.

        Returns
        -------
        Sample or None
            None before the first sample.
        """
        return self._samples[-1] if self._samples else None

    def fresh_as_of_ms(self, position: Position) -> float | None:
        """Return the time up to which a log is known to be complete.

        Parameters
        ----------
        position : Position
            End of the log.

        Returns
        -------
        float or None
            Time on this host's clock; None if the log covers no sample.
        """
        for sample in reversed(self._samples):
            if covers(position, sample.position):
                return sample.at_ms
        return None

    def oldest_covering(self, need: Position) -> Sample | None:
        """Return the oldest sample at or beyond a position.

        Parameters
        ----------
        need : Position
            A confirmed position.

        Returns
        -------
        Sample or None
            None if the position is newer than all samples.
        """
        for sample in self._samples:
            if covers(sample.position, need):
                return sample
        return None
