"""Explores all orders of steps of a small model, breadth first."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from typing import TypeVar

S = TypeVar("S", bound=Hashable)


class Counterexample(Exception):  # noqa: N818 - the name states what was found
    """A state that breaks an invariant, with the shortest way to it.

    Parameters
    ----------
    problem : str
        What is broken.
    steps : list of str
        The steps, in order.
    """

    def __init__(self, problem: str, steps: list[str]) -> None:
        super().__init__("\n".join([problem, *steps]))
        self.problem = problem
        self.steps = steps


def explore(
    first: S,
    steps: Callable[[S], Iterable[tuple[str, S]]],
    problem: Callable[[S], str],
    most_states: int = 2_000_000,
) -> int:
    """Visit every state that can be reached.

    Parameters
    ----------
    first : object
        The first state; hashable.
    steps : callable
        Returns what can happen in a state, as names and next states.
    problem : callable
        Returns what is broken in a state; empty where all is well.
    most_states : int
        Bound on the search.

    Returns
    -------
    int
        Number of states.

    Raises
    ------
    Counterexample
        For the first broken state, which is one of those nearest to the start.
    RuntimeError
        If there are more states than the bound, so that nothing is proven.
    """
    came_from: dict[S, tuple[S, str] | None] = {first: None}
    open_states = deque([first])
    while open_states:
        state = open_states.popleft()
        found = problem(state)
        if found:
            raise Counterexample(found, _trace(state, came_from))
        for name, following in steps(state):
            if following not in came_from:
                came_from[following] = (state, name)
                open_states.append(following)
        if len(came_from) > most_states:
            raise RuntimeError(f"more than {most_states} states")
    return len(came_from)


def _trace(state: S, came_from: dict[S, tuple[S, str] | None]) -> list[str]:
    names = []
    while (step := came_from[state]) is not None:
        state, name = step
        names.append(name)
    return names[::-1]
