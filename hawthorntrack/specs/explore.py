"""Search through the states of a small specification."""

import random
from collections import deque
from collections.abc import Callable, Hashable, Iterable
from typing import NamedTuple

Successors = Callable[[Hashable], Iterable[tuple[str, Callable[[], Hashable]]]]
Breach = Callable[[Hashable], str | None]


class Report(NamedTuple):
    """What a search found.

    Attributes
    ----------
    states : int
        Distinct states reached.
    depth : int
        Steps of the longest path looked at.
    breach : str or None
        What was broken, in words.
    trace : tuple of str
        The steps that lead to the breach.
    complete : bool
        Whether every reachable state was looked at.
    """

    states: int
    depth: int
    breach: str | None
    trace: tuple[str, ...]
    complete: bool


def breadth_first(
    start: Hashable, successors: Successors, breach: Breach, max_states: int
) -> Report:
    """Look at every reachable state, nearest first, up to `max_states`.

    Examples
    --------
    >>> count = lambda n: [("add", lambda: n + 1)] if n < 5 else []
    >>> breadth_first(0, count, lambda n: None, 100)
    Report(states=6, depth=5, breach=None, trace=(), complete=True)
    """
    came_from: dict[Hashable, tuple[Hashable, str] | None] = {start: None}
    frontier = deque([(start, 0)])
    depth = 0
    while frontier:
        state, depth = frontier.popleft()
        problem = breach(state)
        if problem is not None:
            steps = path_to(state, came_from)
            return Report(len(came_from), depth, problem, steps, False)
        for step, take in successors(state):
            after = take()
            if after not in came_from:
                if len(came_from) >= max_states:
                    return Report(len(came_from), depth, None, (), False)
                came_from[after] = (state, step)
                frontier.append((after, depth + 1))
    return Report(len(came_from), depth, None, (), True)


def path_to(
    state: Hashable, came_from: dict[Hashable, tuple[Hashable, str] | None]
) -> tuple[str, ...]:
    """Return the steps that lead to a state."""
    steps: list[str] = []
    while (before := came_from[state]) is not None:
        state, step = before
        steps.append(step)
    return tuple(reversed(steps))


def random_walks(
    start: Hashable,
    successors: Successors,
    breach: Breach,
    walks: int,
    length: int,
    seed: int,
    weight: Callable[[str], float] = lambda step: 1.0,
) -> Report:
    """Take walks of chance through the states; the seed makes them the same again.

    Parameters
    ----------
    weight : callable
        How often a step is taken, against the others that could be.
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
            step, take = rng.choices(options, weights)[0]
            state = take()
            steps.append(step)
            seen.add(hash(state))
            problem = breach(state)
            if problem is not None:
                return Report(len(seen), len(steps), problem, tuple(steps), False)
    return Report(len(seen), length, None, (), False)
