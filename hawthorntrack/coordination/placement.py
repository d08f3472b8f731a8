"""Policies that choose a guard for each waiting task."""

import heapq
import math
import random
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from hawthorntrack.state.guard_view import GuardView
from hawthorntrack.state.registry import Registry
from hawthorntrack.state.values import Incarnation

SAMPLED_GUARDS_SHARE = 0.5  # of the guards with a free slot, at one placing
MIN_SAMPLED_GUARDS = 2
CROSS_ZONE_RTT_MS = 3.0  # a round trip to another zone


class WaitingTask(NamedTuple):
    """A task that waits for a place.

    Attributes
    ----------
    token, index : int
        The job at this owner, and the task in it.
    start_by : float
        Loop time from which the task delays its job's answer, in seconds.
    avoid : frozenset of Incarnation
        Guards that sent it back lately.
    """

    token: int
    index: int
    kind: str
    size_ms: float
    start_by: float
    avoid: frozenset[Incarnation]


class PlacementChoice(NamedTuple):
    """A task and the guard that is to run it."""

    task: WaitingTask
    guard: Incarnation


class PlacementContext(NamedTuple):
    """What a policy may look at.

    Attributes
    ----------
    guards : tuple of GuardView
        Guards in service that run tasks of the service.
    slowness : callable
        Gives measured milliseconds per declared one, by guard and kind.
    zone : str
        The owner's zone.
    rng : random.Random
        Source of chance, seeded by the settings.
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
        Returns a choice for each task that has a place now; the others wait.
    permits_per_waiting_task : float
        Permits asked for per task that waits; 0 to wait for news of the guards.
    """

    choose: Callable[[PlacementContext, Sequence[WaitingTask]], list[PlacementChoice]]
    permits_per_waiting_task: float


policies: Registry[Policy] = Registry("placement policy")


def policy(name: str, permits_per_waiting_task: float = 0.0) -> Callable:
    """Register a choosing function as a policy."""

    def file(choose: Callable) -> Callable:
        policies.register(name)(Policy(choose, permits_per_waiting_task))
        return choose

    return file


def accepts_kind(guard: GuardView, task: WaitingTask) -> bool:
    """Return whether a guard's target takes the task's kind."""
    return task.kind in guard.load.kinds and guard.load.slots > 0


def eligible_guards(scene: PlacementContext, task: WaitingTask) -> list[GuardView]:
    """Return the guards for a task, without those that sent it back if any other."""
    able = [guard for guard in scene.guards if accepts_kind(guard, task)]
    return [g for g in able if g.incarnation not in task.avoid] or able


@policy("random")
def choose_random(
    scene: PlacementContext, tasks: Sequence[WaitingTask]
) -> list[PlacementChoice]:
    """Choose any guard, whatever its load."""
    return [
        PlacementChoice(task, scene.rng.choice(able).incarnation)
        for task in tasks
        if (able := eligible_guards(scene, task))
    ]


@policy("two_choices")
def choose_two(
    scene: PlacementContext, tasks: Sequence[WaitingTask]
) -> list[PlacementChoice]:
    """Choose the less loaded of two guards drawn by chance."""
    added: dict[Incarnation, int] = {}

    def burden(guard: GuardView) -> float:
        return (
            guard.pending_tasks + added.get(guard.incarnation, 0)
        ) / guard.load.slots

    choices = []
    for task in tasks:
        able = eligible_guards(scene, task)
        if not able:
            continue
        best = min(scene.rng.sample(able, min(2, len(able))), key=burden).incarnation
        added[best] = added.get(best, 0) + 1
        choices.append(PlacementChoice(task, best))
    return choices


@policy("late_binding", permits_per_waiting_task=2.0)
def choose_none(
    scene: PlacementContext, tasks: Sequence[WaitingTask]
) -> list[PlacementChoice]:
    """Start nothing without a permit."""
    return []


class GuardCandidate(NamedTuple):
    """A guard as one kind of task sees it.

    Attributes
    ----------
    guard_index : int
        Its place among the scene's guards.
    slowness : float
        Milliseconds taken per declared one.
    distance_ms : float
        Cost of reaching it, with a little chance that breaks ties.
    """

    guard_index: int
    slowness: float
    distance_ms: float
    slots: int


def candidates_for_kind(scene: PlacementContext, kind: str) -> list[GuardCandidate]:
    """Return the lanes of a kind of task."""
    return [
        GuardCandidate(
            guard_index,
            scene.slowness(guard.incarnation, kind),
            scene.rng.random() + CROSS_ZONE_RTT_MS * (guard.place.zone != scene.zone),
            guard.load.slots,
        )
        for guard_index, guard in enumerate(scene.guards)
        if kind in guard.load.kinds and guard.free > 0
    ]


@policy("expected_finish", permits_per_waiting_task=1.0)
def choose_earliest(
    scene: PlacementContext, tasks: Sequence[WaitingTask]
) -> list[PlacementChoice]:
    """Choose among free slots the one that is expected to end each task first.

    Explanation
    -----------
    The tasks that must start soonest choose first: the longest of each job. Without a
    free slot a task waits at the owner, which asks guards for permits: each slot that
    comes free then goes to one owner, where news of it would make all owners send.
    """
    free = [guard.free for guard in scene.guards]
    names = [guard.incarnation for guard in scene.guards]
    kinds = sorted({task.kind for task in tasks})
    lanes = {kind: candidates_for_kind(scene, kind) for kind in kinds}
    near = {kind: sample_candidates(lanes[kind], scene.rng) for kind in kinds}

    def finish_ms(lane: GuardCandidate, size_ms: float) -> float:
        crowd = 1 - free[lane.guard_index] / lane.slots
        return size_ms * lane.slowness + lane.distance_ms + crowd

    choices = []
    for task in sorted(tasks, key=lambda task: task.start_by):
        found = [lane for lane in near[task.kind] if free[lane.guard_index] > 0]
        found = found or [
            lane for lane in lanes[task.kind] if free[lane.guard_index] > 0
        ]
        if task.avoid:
            found = [
                x for x in found if names[x.guard_index] not in task.avoid
            ] or found
        if found:
            best = min(
                found, key=lambda lane: finish_ms(lane, task.size_ms)
            ).guard_index
            free[best] -= 1
            choices.append(PlacementChoice(task, names[best]))
    return choices


def sample_candidates(
    lanes: list[GuardCandidate], rng: random.Random
) -> list[GuardCandidate]:
    """Return a part of the lanes drawn by chance.

    Explanation
    -----------
    Owners that all look at every guard choose the same fast ones at the same time,
    and most of them are sent back.
    """
    count = max(MIN_SAMPLED_GUARDS, math.ceil(len(lanes) * SAMPLED_GUARDS_SHARE))
    return rng.sample(lanes, min(count, len(lanes)))


def distribute_permit_requests(
    guards: Sequence[GuardView], asked: Mapping[Incarnation, int], count: int
) -> dict[Incarnation, int]:
    """Return how many permits to ask each guard for, the least crowded first.

    Parameters
    ----------
    asked : mapping of Incarnation to int
        Permits asked for already and not granted yet.
    count : int
        Permits to ask for in all.
    """
    heap = [
        (
            (guard.pending_tasks + asked.get(guard.incarnation, 0)) / guard.load.slots,
            guard_index,
        )
        for guard_index, guard in enumerate(guards)
        if guard.load.slots
    ]
    heapq.heapify(heap)
    wanted: dict[Incarnation, int] = {}
    for _ in range(count if heap else 0):
        crowd, guard_index = heap[0]
        guard = guards[guard_index]
        wanted[guard.incarnation] = wanted.get(guard.incarnation, 0) + 1
        heapq.heapreplace(heap, (crowd + 1 / guard.load.slots, guard_index))
    return wanted
