"""Policies that choose a guard for each waiting task."""

import heapq
import math
import random
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

from hawthorntrack.state.registry import Registry
from hawthorntrack.state.targets import GuardView
from hawthorntrack.state.values import Incarnation

SHARE_IN_SIGHT = 0.5  # of the guards with a free slot, at one placing
LEAST_IN_SIGHT = 2
OTHER_ZONE_MS = 3.0  # a round trip to another zone


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


class Choice(NamedTuple):
    """A task and the guard that is to run it."""

    task: WaitingTask
    guard: Incarnation


class Scene(NamedTuple):
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
    reserve_ratio : float
        Permits asked for per task that waits; 0 to wait for news of the guards.
    """

    choose: Callable[[Scene, Sequence[WaitingTask]], list[Choice]]
    reserve_ratio: float


policies: Registry[Policy] = Registry("placement policy")


def policy(name: str, reserve_ratio: float = 0.0) -> Callable:
    """Register a choosing function as a policy."""

    def file(choose: Callable) -> Callable:
        policies.register(name)(Policy(choose, reserve_ratio))
        return choose

    return file


def runs(guard: GuardView, task: WaitingTask) -> bool:
    """Return whether a guard's target takes the task's kind."""
    return task.kind in guard.load.kinds and guard.load.slots > 0


def fitting(scene: Scene, task: WaitingTask) -> list[GuardView]:
    """Return the guards for a task, without those that sent it back if any other."""
    able = [guard for guard in scene.guards if runs(guard, task)]
    return [g for g in able if g.incarnation not in task.avoid] or able


@policy("random")
def choose_random(scene: Scene, tasks: Sequence[WaitingTask]) -> list[Choice]:
    """Choose any guard, whatever its load."""
    return [
        Choice(task, scene.rng.choice(able).incarnation)
        for task in tasks
        if (able := fitting(scene, task))
    ]


@policy("two_choices")
def choose_two(scene: Scene, tasks: Sequence[WaitingTask]) -> list[Choice]:
    """Choose the less loaded of two guards drawn by chance."""
    added: dict[Incarnation, int] = {}

    def burden(guard: GuardView) -> float:
        return (guard.waiting + added.get(guard.incarnation, 0)) / guard.load.slots

    choices = []
    for task in tasks:
        able = fitting(scene, task)
        if not able:
            continue
        best = min(scene.rng.sample(able, min(2, len(able))), key=burden).incarnation
        added[best] = added.get(best, 0) + 1
        choices.append(Choice(task, best))
    return choices


@policy("late_binding", reserve_ratio=2.0)
def choose_none(scene: Scene, tasks: Sequence[WaitingTask]) -> list[Choice]:
    """Start nothing without a permit."""
    return []


class Lane(NamedTuple):
    """A guard as one kind of task sees it.

    Attributes
    ----------
    number : int
        Its place among the scene's guards.
    slowness : float
        Milliseconds taken per declared one.
    away_ms : float
        Cost of reaching it, with a little chance that breaks ties.
    """

    number: int
    slowness: float
    away_ms: float
    slots: int


def lanes_for(scene: Scene, kind: str) -> list[Lane]:
    """Return the lanes of a kind of task."""
    return [
        Lane(
            number,
            scene.slowness(guard.incarnation, kind),
            scene.rng.random() + OTHER_ZONE_MS * (guard.place.zone != scene.zone),
            guard.load.slots,
        )
        for number, guard in enumerate(scene.guards)
        if kind in guard.load.kinds and guard.free > 0
    ]


@policy("expected_finish", reserve_ratio=1.0)
def choose_earliest(scene: Scene, tasks: Sequence[WaitingTask]) -> list[Choice]:
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
    lanes = {kind: lanes_for(scene, kind) for kind in kinds}
    near = {kind: some_of(lanes[kind], scene.rng) for kind in kinds}

    def finish_ms(lane: Lane, size_ms: float) -> float:
        crowd = 1 - free[lane.number] / lane.slots
        return size_ms * lane.slowness + lane.away_ms + crowd

    choices = []
    for task in sorted(tasks, key=lambda task: task.start_by):
        found = [lane for lane in near[task.kind] if free[lane.number] > 0]
        found = found or [lane for lane in lanes[task.kind] if free[lane.number] > 0]
        if task.avoid:
            found = [x for x in found if names[x.number] not in task.avoid] or found
        if found:
            best = min(found, key=lambda lane: finish_ms(lane, task.size_ms)).number
            free[best] -= 1
            choices.append(Choice(task, names[best]))
    return choices


def some_of(lanes: list[Lane], rng: random.Random) -> list[Lane]:
    """Return a part of the lanes drawn by chance.

    Explanation
    -----------
    Owners that all look at every guard choose the same fast ones at the same time,
    and most of them are sent back.
    """
    count = max(LEAST_IN_SIGHT, math.ceil(len(lanes) * SHARE_IN_SIGHT))
    return rng.sample(lanes, min(count, len(lanes)))


def spread_permits(
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
        ((guard.waiting + asked.get(guard.incarnation, 0)) / guard.load.slots, number)
        for number, guard in enumerate(guards)
        if guard.load.slots
    ]
    heapq.heapify(heap)
    wanted: dict[Incarnation, int] = {}
    for _ in range(count if heap else 0):
        crowd, number = heap[0]
        guard = guards[number]
        wanted[guard.incarnation] = wanted.get(guard.incarnation, 0) + 1
        heapq.heapreplace(heap, (crowd + 1 / guard.load.slots, number))
    return wanted
