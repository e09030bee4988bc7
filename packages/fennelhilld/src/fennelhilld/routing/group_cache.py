"""Caches the owners' views of a database group's targets."""

from __future__ import annotations

import asyncio

from fennelhilld.peers.messages import GroupView, TargetView

PRIMARY_BACKOFF_MS = 150.0


class GroupCache:
    """The latest view of each target of a group, from its owners' replies."""

    __slots__ = (
        "_backoffs",
        "_wait_updated_ms",
        "primary_search",
        "targets",
        "updated_ms",
    )

    def __init__(self) -> None:
        self.targets: dict[str, TargetView] = {}
        self.updated_ms: dict[str, float] = {}
        self.primary_search: asyncio.Task | None = None
        self._wait_updated_ms: dict[str, float] = {}
        # Term and end time (ms) of the last back-off from each target.
        self._backoffs: dict[str, tuple[int, float]] = {}

    def merge(self, view: GroupView, now_ms: float) -> None:
        """Merge the view from an owner's reply; views of an older term are dropped.

        During a back-off from a target, it is not marked as primary unless its term is
        later.

        Parameters
        ----------
        view : GroupView
            The view of the group from the reply.
        now_ms : float
            Time on this host's clock.
        """
        for name, new_view in view.targets.items():
            old_view = self.targets.get(name)
            if old_view is not None and new_view.term < old_view.term:
                continue
            if new_view.wait_ms >= 0:
                self._wait_updated_ms[name] = now_ms
            elif old_view is not None:
                # Only the target's owner reports the wait, so the last one is kept.
                new_view.wait_ms = old_view.wait_ms
            term, until_ms = self._backoffs.get(name, (0, 0.0))
            if new_view.term <= term and now_ms < until_ms:
                new_view.primary = False
            self.targets[name] = new_view
            self.updated_ms[name] = now_ms

    def wait_ms(self, target: str, now_ms: float) -> float:
        """Return the last reported wait for a slot, less the time since then.

        A long queue drains while this host sends no requests.  Without the
        subtraction, a target that was once busy would never be chosen again.

        Parameters
        ----------
        target : str
            Name of the target.
        now_ms : float
            Time on this host's clock.

        Returns
        -------
        float
            Milliseconds.
        """
        reported_ms = self.targets[target].wait_ms
        return max(
            0.0, reported_ms - (now_ms - self._wait_updated_ms.get(target, now_ms))
        )

    def primary(self) -> str | None:
        """Return the primary with the highest known term.

        Returns
        -------
        str or None
            Name of the target, or None if no primary is known.
        """
        primaries = [name for name, view in self.targets.items() if view.primary]
        return max(primaries, key=lambda name: self.targets[name].term, default=None)

    def back_off_primary(self, target: str, now_ms: float) -> None:
        """Send no requests to a primary for ``PRIMARY_BACKOFF_MS``.

        Requests are held here meanwhile.  They then go to a new primary, or to this
        one again, instead of overloading a target that does not answer.  The
        back-off ends early if the target reports a later term.

        Parameters
        ----------
        target : str
            The primary that did not answer, or refused in a way that allows a retry.
        now_ms : float
            Time on this host's clock.
        """
        if target in self.targets:
            view = self.targets[target]
            view.primary = False
            self._backoffs[target] = (view.term, now_ms + PRIMARY_BACKOFF_MS)
