"""Breadth-first exploration of all interleavings of a small model."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from typing import TypeVar

S = TypeVar("S", bound=Hashable)


class Counterexample(Exception):  # noqa: N818 - the name states what was found
    """A state that violates an invariant, with a shortest sequence of steps to it.

    Parameters
    ----------
    violation : str
        Description of the violation.
    steps : list of str
        Names of the steps, in order.
    """

    def __init__(self, violation: str, steps: list[str]) -> None:
        super().__init__("\n".join([violation, *steps]))
        self.violation = violation
        self.steps = steps


def explore(
    initial: S,
    steps: Callable[[S], Iterable[tuple[str, S]]],
    find_violation: Callable[[S], str],
    max_states: int = 2_000_000,
) -> int:
    """Visit every reachable state and check it for violations.

    Parameters
    ----------
    initial : object
        The initial state; hashable.
    steps : callable
        Returns the possible steps of a state, as pairs of name and next state.
    find_violation : callable
        Returns the description of a violation in a state; empty if there is none.
    max_states : int
        Maximum number of states.

    Returns
    -------
    int
        Number of reachable states.

    Raises
    ------
    Counterexample
        If a state violates an invariant; raised for one reached in the fewest steps.
    RuntimeError
        If there are more than `max_states` states, so that the result is inconclusive.
    """
    predecessors: dict[S, tuple[S, str] | None] = {initial: None}
    frontier = deque([initial])
    while frontier:
        state = frontier.popleft()
        violation = find_violation(state)
        if violation:
            raise Counterexample(violation, _trace(state, predecessors))
        for name, next_state in steps(state):
            if next_state not in predecessors:
                predecessors[next_state] = (state, name)
                frontier.append(next_state)
        if len(predecessors) > max_states:
            raise RuntimeError(f"exploration stopped: more than {max_states} states")
    return len(predecessors)


def _trace(state: S, predecessors: dict[S, tuple[S, str] | None]) -> list[str]:
    names = []
    while (step := predecessors[state]) is not None:
        state, name = step
        names.append(name)
    return names[::-1]
