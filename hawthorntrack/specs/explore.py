"""Exhaustive and random search through the states of a small model."""

import random
from collections import deque
from collections.abc import Callable, Hashable, Iterable
from typing import NamedTuple

Successors = Callable[[Hashable], Iterable[tuple[str, Callable[[], Hashable]]]]
FindViolation = Callable[[Hashable], str | None]


class Report(NamedTuple):
    """Result of a search.

    Attributes
    ----------
    states : int
        Distinct states reached.
    depth : int
        Number of steps of the longest path explored.
    violation : str or None
        Description of the violated invariant.
    trace : tuple of str
        The steps from the initial state to the violation.
    complete : bool
        Whether every reachable state was explored.
    """

    states: int
    depth: int
    violation: str | None
    trace: tuple[str, ...]
    complete: bool


def breadth_first(
    start: Hashable,
    successors: Successors,
    find_violation: FindViolation,
    max_states: int,
) -> Report:
    """Explore the reachable states breadth first, up to `max_states`.

    Examples
    --------
    >>> count = lambda n: [("add", lambda: n + 1)] if n < 5 else []
    >>> breadth_first(0, count, lambda n: None, 100)
    Report(states=6, depth=5, violation=None, trace=(), complete=True)
    """
    predecessors: dict[Hashable, tuple[Hashable, str] | None] = {start: None}
    frontier = deque([(start, 0)])
    depth = 0
    while frontier:
        state, depth = frontier.popleft()
        violation = find_violation(state)
        if violation is not None:
            steps = path_to(state, predecessors)
            return Report(len(predecessors), depth, violation, steps, False)
        for step, apply_step in successors(state):
            after = apply_step()
            if after not in predecessors:
                if len(predecessors) >= max_states:
                    return Report(len(predecessors), depth, None, (), False)
                predecessors[after] = (state, step)
                frontier.append((after, depth + 1))
    return Report(len(predecessors), depth, None, (), True)


def path_to(
    state: Hashable, predecessors: dict[Hashable, tuple[Hashable, str] | None]
) -> tuple[str, ...]:
    """Return the steps from the initial state to a state."""
    steps: list[str] = []
    while (before := predecessors[state]) is not None:
        state, step = before
        steps.append(step)
    return tuple(reversed(steps))


def random_walks(
    start: Hashable,
    successors: Successors,
    find_violation: FindViolation,
    walks: int,
    length: int,
    seed: int,
    weight: Callable[[str], float] = lambda step: 1.0,
) -> Report:
    """Explore the states by random walks, which the seed makes reproducible.

    Parameters
    ----------
    weight : callable
        Relative probability of a step among those possible in a state.
    """
    rng = random.Random(seed)
    seen: set[int] = set()
    for _ in range(walks):
        state, steps = start, []
        for _ in range(length):
            options = list(successors(state))
            if not options:
                break
            weights = [weight(name) for name, _ in options]
            step, apply_step = rng.choices(options, weights)[0]
            state = apply_step()
            steps.append(step)
            seen.add(hash(state))
            violation = find_violation(state)
            if violation is not None:
                return Report(len(seen), len(steps), violation, tuple(steps), False)
    return Report(len(seen), length, None, (), False)
