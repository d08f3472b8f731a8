"""Placement policies, which choose a guard for each waiting task."""

import heapq
import math
import random
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from hawthorntrack.state.guard_view import GuardView
from hawthorntrack.state.registry import Registry
from hawthorntrack.state.values import Incarnation

# Share of the guards with a free slot that one placement pass considers.
SAMPLED_GUARDS_SHARE = 0.5
MIN_SAMPLED_GUARDS = 2
CROSS_ZONE_RTT_MS = 3.0


class WaitingTask(NamedTuple):
    """A task that waits to be placed.

    Attributes
    ----------
    token, index : int
        Number of the job at this owner, and of the task within the job.
    start_by : float
        Loop time, in seconds, after which a start of the task delays its job's answer.
    avoid : frozenset of Incarnation
        Guards that returned the task unstarted; a few at most.
    """

    token: int
    index: int
    kind: str
    size_ms: float
    start_by: float
    avoid: frozenset[Incarnation]


class PlacementChoice(NamedTuple):
    """A task and the guard chosen to run it."""

    task: WaitingTask
    guard: Incarnation


class PlacementContext(NamedTuple):
    """Input of a placement policy besides the tasks.

    Attributes
    ----------
    guards : tuple of GuardView
        Guards in service that run tasks of the service.
    slowness : callable
        Returns the ratio of measured to declared run time for a guard and a kind of
        task.
    zone : str
        Zone of the owner.
    rng : random.Random
        Random number generator, seeded by the settings.
    """

    guards: tuple[GuardView, ...]
    slowness: Callable[[Incarnation, str], float]
    zone: str
    rng: random.Random


class Policy(NamedTuple):
    """A placement policy.

    Attributes
    ----------
    choose : callable
        Returns a choice for each task that can be placed now; the others wait.
    permits_per_waiting_task : float
        Number of permits requested for each task that waits. With 0 none are
        requested, and tasks wait for the next load reports of the guards.
    """

    choose: Callable[[PlacementContext, Sequence[WaitingTask]], list[PlacementChoice]]
    permits_per_waiting_task: float


policies: Registry[Policy] = Registry("placement policy")


def policy(name: str, permits_per_waiting_task: float = 0.0) -> Callable:
    """Register the decorated function as the placement policy `name`."""

    def register(choose: Callable) -> Callable:
        policies.register(name)(Policy(choose, permits_per_waiting_task))
        return choose

    return register


def accepts_kind(guard: GuardView, task: WaitingTask) -> bool:
    """Return whether a guard's target runs tasks of this kind."""
    return task.kind in guard.load.kinds and guard.load.slots > 0


def eligible_guards(context: PlacementContext, task: WaitingTask) -> list[GuardView]:
    """Return the guards that can run a task, those it avoids only if no other can."""
    eligible = [guard for guard in context.guards if accepts_kind(guard, task)]
    return [
        guard for guard in eligible if guard.incarnation not in task.avoid
    ] or eligible


@policy("random")
def choose_random(
    context: PlacementContext, tasks: Sequence[WaitingTask]
) -> list[PlacementChoice]:
    """Choose any guard at random, regardless of its load."""
    return [
        PlacementChoice(task, context.rng.choice(candidates).incarnation)
        for task in tasks
        if (candidates := eligible_guards(context, task))
    ]


@policy("two_choices")
def choose_two(
    context: PlacementContext, tasks: Sequence[WaitingTask]
) -> list[PlacementChoice]:
    """Choose the less loaded of two guards drawn at random."""
    added: dict[Incarnation, int] = {}

    def relative_load(guard: GuardView) -> float:
        return (
            guard.pending_tasks + added.get(guard.incarnation, 0)
        ) / guard.load.slots

    choices = []
    for task in tasks:
        candidates = eligible_guards(context, task)
        if not candidates:
            continue
        best = min(
            context.rng.sample(candidates, min(2, len(candidates))), key=relative_load
        ).incarnation
        added[best] = added.get(best, 0) + 1
        choices.append(PlacementChoice(task, best))
    return choices


@policy("late_binding", permits_per_waiting_task=2.0)
def choose_none(
    context: PlacementContext, tasks: Sequence[WaitingTask]
) -> list[PlacementChoice]:
    """Choose no guard: tasks start on permits only."""
    return []


class GuardCandidate(NamedTuple):
    """A guard with a free slot as a candidate for one kind of task.

    Attributes
    ----------
    guard_index : int
        Index of the guard in `PlacementContext.guards`.
    slowness : float
        Ratio of measured to declared run time.
    distance_ms : float
        Round trip to the guard, plus less than 1 ms at random to break ties.
    """

    guard_index: int
    slowness: float
    distance_ms: float
    slots: int


def candidates_for_kind(context: PlacementContext, kind: str) -> list[GuardCandidate]:
    """Return the guards with a free slot for a kind of task."""
    return [
        GuardCandidate(
            guard_index,
            context.slowness(guard.incarnation, kind),
            context.rng.random()
            + CROSS_ZONE_RTT_MS * (guard.place.zone != context.zone),
            guard.load.slots,
        )
        for guard_index, guard in enumerate(context.guards)
        if kind in guard.load.kinds and guard.free > 0
    ]


@policy("expected_finish", permits_per_waiting_task=1.0)
def choose_earliest(
    context: PlacementContext, tasks: Sequence[WaitingTask]
) -> list[PlacementChoice]:
    """Choose for each task the free slot on which it is expected to end first.

    Explanation
    -----------
    The tasks that must start soonest, which are the longest of each job, come first.
    Without a free slot a task waits at the owner, which requests permits from guards.
    Each slot that becomes free is then granted to one owner; if it were announced to
    all owners, all of them would send tasks to it.
    """
    free = [guard.free for guard in context.guards]
    incarnations = [guard.incarnation for guard in context.guards]
    kinds = sorted({task.kind for task in tasks})
    candidates = {kind: candidates_for_kind(context, kind) for kind in kinds}
    sampled = {kind: sample_candidates(candidates[kind], context.rng) for kind in kinds}

    def finish_ms(candidate: GuardCandidate, size_ms: float) -> float:
        occupancy = 1 - free[candidate.guard_index] / candidate.slots
        return size_ms * candidate.slowness + candidate.distance_ms + occupancy

    choices = []
    for task in sorted(tasks, key=lambda task: task.start_by):
        eligible = [
            candidate
            for candidate in sampled[task.kind]
            if free[candidate.guard_index] > 0
        ]
        eligible = eligible or [
            candidate
            for candidate in candidates[task.kind]
            if free[candidate.guard_index] > 0
        ]
        if task.avoid:
            eligible = [
                candidate
                for candidate in eligible
                if incarnations[candidate.guard_index] not in task.avoid
            ] or eligible
        if eligible:
            best = min(
                eligible, key=lambda candidate: finish_ms(candidate, task.size_ms)
            ).guard_index
            free[best] -= 1
            choices.append(PlacementChoice(task, incarnations[best]))
    return choices


def sample_candidates(
    candidates: list[GuardCandidate], rng: random.Random
) -> list[GuardCandidate]:
    """Return a random sample of the candidates.

    Explanation
    -----------
    If every owner considered every guard, all would choose the same fast guards at
    the same time, and most of the tasks would be returned unstarted.
    """
    count = max(MIN_SAMPLED_GUARDS, math.ceil(len(candidates) * SAMPLED_GUARDS_SHARE))
    return rng.sample(candidates, min(count, len(candidates)))


def distribute_permit_requests(
    guards: Sequence[GuardView], outstanding: Mapping[Incarnation, int], count: int
) -> dict[Incarnation, int]:
    """Return the number of permits to request from each guard, least loaded first.

    Parameters
    ----------
    outstanding : mapping of Incarnation to int
        Permits that were requested and are not granted yet.
    count : int
        Total number of permits to request.
    """
    heap = [
        (
            (guard.pending_tasks + outstanding.get(guard.incarnation, 0))
            / guard.load.slots,
            guard_index,
        )
        for guard_index, guard in enumerate(guards)
        if guard.load.slots
    ]
    heapq.heapify(heap)
    requests: dict[Incarnation, int] = {}
    for _ in range(count if heap else 0):
        relative_load, guard_index = heap[0]
        guard = guards[guard_index]
        requests[guard.incarnation] = requests.get(guard.incarnation, 0) + 1
        heapq.heapreplace(heap, (relative_load + 1 / guard.load.slots, guard_index))
    return requests
