"""Policies that choose a guard for each waiting task."""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from hawthorntrack.state.registry import Registry
from hawthorntrack.state.targets import GuardView
from hawthorntrack.state.values import Incarnation

DEFAULT_SLOWNESS = 1.0  # milliseconds taken per declared millisecond
OTHER_ZONE_MS = 3.0  # a round trip to another zone
PROBE_RATIO = 2  # permits asked for per task, with late binding


class WaitingTask(NamedTuple):
    """A task that waits for a place.

    Attributes
    ----------
    token, index : int
        The job at this owner, and the task in it.
    avoid : frozenset of Incarnation
        Guards that sent it back lately.
    """

    token: int
    index: int
    kind: str
    size_ms: float
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
    mean_ms : float
        Mean run time of late tasks, in milliseconds.
    zone : str
        The owner's zone.
    queue : int
        Tasks that may wait at a guard beside those running.
    rng : random.Random
        Source of chance, seeded by the settings.
    """

    guards: tuple[GuardView, ...]
    slowness: Callable[[Incarnation, str], float]
    mean_ms: float
    zone: str
    queue: int
    rng: random.Random


class Policy(NamedTuple):
    """A placement policy.

    Attributes
    ----------
    choose : callable
        Returns a choice for each task that has a place now; the others wait.
    late_binding : bool
        Whether the tasks go out only on permits that the guards grant.
    """

    choose: Callable[[Scene, Sequence[WaitingTask]], list[Choice]]
    late_binding: bool


policies: Registry[Policy] = Registry("placement policy")


def policy(name: str, late_binding: bool = False) -> Callable:
    """Register a choosing function as a policy."""

    def file(choose: Callable) -> Callable:
        policies.register(name)(Policy(choose, late_binding))
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


@policy("late_binding", late_binding=True)
def choose_permits(scene: Scene, tasks: Sequence[WaitingTask]) -> list[Choice]:
    """Name guards to ask for permits: the least loaded of a few drawn by chance."""
    return choose_two(scene, [task for task in tasks for _ in range(PROBE_RATIO)])


class Bid(NamedTuple):
    """When a guard is expected to end a task, in milliseconds from now."""

    finish_ms: float
    tie: float
    guard: GuardView


@policy("expected_finish")
def choose_earliest(scene: Scene, tasks: Sequence[WaitingTask]) -> list[Choice]:
    """Choose the guard that is expected to end the task first.

    Explanation
    -----------
    The longest tasks choose first, so that a job's last task ends early. A task
    waits at the owner when every guard has its slots and its short queue full: it
    is then bound late, to the first that reports a place.
    """
    added: dict[Incarnation, int] = {}
    ties = {guard.incarnation: scene.rng.random() for guard in scene.guards}

    def bid(guard: GuardView, task: WaitingTask) -> Bid:
        taken = guard.waiting + added.get(guard.incarnation, 0)
        ahead = taken - guard.load.slots + 1
        wait_ms = max(0, ahead) * scene.mean_ms / guard.load.slots
        run_ms = task.size_ms * scene.slowness(guard.incarnation, task.kind)
        away_ms = 0.0 if guard.place.zone == scene.zone else OTHER_ZONE_MS
        crowd = taken / guard.load.slots
        return Bid(wait_ms + run_ms + away_ms + crowd, ties[guard.incarnation], guard)

    choices = []
    for task in sorted(tasks, key=lambda task: -task.size_ms):
        bids = [
            bid(guard, task)
            for guard in fitting(scene, task)
            if guard.waiting + added.get(guard.incarnation, 0)
            < guard.load.slots + scene.queue
        ]
        if bids:
            best = min(bids, key=lambda offer: offer[:2]).guard.incarnation
            added[best] = added.get(best, 0) + 1
            choices.append(Choice(task, best))
    return choices
