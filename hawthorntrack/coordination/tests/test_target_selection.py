"""Tests of the choice of a target for a task."""

import random
from collections import Counter

import pytest

from hawthorntrack.coordination.scheduling.lookahead import (
    LOOK_AHEAD_HORIZONS_S,
    ExpectedEnd,
    RoomView,
    free_within,
)
from hawthorntrack.coordination.target_selection import (
    SIMILAR_DURATION_SHARE,
    LookAhead,
    TargetCandidate,
    choose_target,
    look_ahead_for,
)
from hawthorntrack.protocol.run_messages import QueueWait, TargetStatus
from hawthorntrack.state.plans import StepSpec
from hawthorntrack.state.resources import Resources

NEED = Resources(2_500, 64)
CAPACITY = Resources(16_000, 32_768)
STEP = StepSpec(1, NEED, 0.4)


@pytest.fixture
def candidate():
    """Return a function that creates a target with room for a number of tasks."""

    def make(name, slowness, room, zone="recife"):
        free = Resources(room * NEED.cpu_m, CAPACITY.memory_mb)
        status = TargetStatus(
            "ready", "visits", zone, name, (), CAPACITY, free, slowness, 1
        )
        return TargetCandidate(name, status, free)

    return make


def choose(candidates):
    return choose_target(candidates, STEP, "recife", 1.5).address


def test_noise_in_measured_slowness_does_not_outweigh_room(candidate):
    """Many entry instances would all order from the target that seems fastest."""
    targets = [
        candidate("a", 0.70, 1),
        candidate("b", 0.73, 5),
        candidate("c", 0.72, 3),
    ]
    assert choose(targets) == "b"


def test_faster_target_is_chosen_even_with_less_room(candidate):
    slower = 0.7 * (1 + SIMILAR_DURATION_SHARE) + 0.05
    assert choose([candidate("a", slower, 6), candidate("b", 0.7, 1)]) == "b"


def test_own_zone_is_chosen_among_targets_with_about_as_much_room(candidate):
    near, far = candidate("a", 0.7, 3), candidate("b", 0.7, 4, "olinda")
    assert choose([near, far]) == "a"
    assert choose([near, candidate("c", 0.7, 5, "olinda")]) == "c"


def test_target_without_room_is_not_chosen(candidate):
    assert choose_target([candidate("a", 0.7, 0)], STEP, "recife", 1.5) is None


QUICK = StepSpec(1, NEED, 0.12)
LONG = StepSpec(1, NEED, 1.8)
QUICK_LOOK_AHEAD = LookAhead("quick", 0.06, 0.24)
LONG_LOOK_AHEAD = LookAhead("long", 1.0, 2.93)
LATE_LOOK_AHEAD = LookAhead("long", 1.0, 1.0)


@pytest.fixture
def uneven(candidate):
    """Return a function that creates two fast targets and a slow one.

    Its arguments are the room of each, and when the fast ones will have room for a
    task, as an index of the horizons.
    """

    def make(fast, slow, soon=None, queue_wait_ms=0):
        targets = []
        for name, slowness, room in (
            ("a", 0.7, fast),
            ("b", 0.7, fast),
            ("c", 1.7, slow),
        ):
            target = candidate(name, slowness, room)
            free_soon = [room * NEED.cpu_m] * 4
            if soon is not None and slowness < 1:
                free_soon[soon:] = [(room + 1) * NEED.cpu_m] * (4 - soon)
            status = target.target_status._replace(
                free_soon_cpu_m=tuple(free_soon),
                queue_waits=(QueueWait("long", queue_wait_ms),),
            )
            targets.append(target._replace(target_status=status))
        return targets

    return make


def chosen(targets, step, look_ahead):
    target = choose_target(targets, step, "recife", 1.5, look_ahead=look_ahead)
    return target and target.address


def test_quick_task_leaves_scarce_fast_targets_to_long_ones(uneven):
    """Quick tasks end in time anywhere; long ones waited beside idle slow targets."""
    assert chosen(uneven(0, 4), QUICK, QUICK_LOOK_AHEAD) == "c"
    nearly_full = uneven(1, 4)
    nearly_full[1] = nearly_full[1]._replace(free=Resources(0, 32_768))
    assert chosen(nearly_full, QUICK, QUICK_LOOK_AHEAD) == "c"
    assert chosen(nearly_full, LONG, LONG_LOOK_AHEAD) == "a"
    assert chosen(uneven(4, 6), QUICK, QUICK_LOOK_AHEAD) == "a"
    assert chosen(nearly_full, QUICK, None) == "a"


@pytest.mark.parametrize(
    ("soon", "queue_wait_ms", "look_ahead", "target"),
    [
        (2, 0, LONG_LOOK_AHEAD, None),
        (None, 0, LONG_LOOK_AHEAD, None),  # not known, but it may still become free
        (2, 1_200, LONG_LOOK_AHEAD, "c"),  # others wait longer than this task may
        (2, 0, LookAhead("long", 0.1, 2.0), "c"),  # would be refused before
        (2, 0, None, "c"),
        (2, 0, LATE_LOOK_AHEAD, None),  # late anyway, but clearly earlier than there
        (2, 1_600, LATE_LOOK_AHEAD, "c"),
    ],
)
def test_long_task_waits_for_a_target_on_which_it_ends_in_time(
    uneven, soon, queue_wait_ms, look_ahead, target
):
    """Long tasks started on slow targets at once, and ended after their objective."""
    targets = uneven(0, 4, soon, queue_wait_ms)
    assert chosen(targets, LONG, look_ahead) == target


def replay_uneven_load(looks_ahead):
    """Return the shares of quick and of long jobs in time, at a load of about 0.9.

    Load: quick and long tasks arrive at random at three targets, of which the last is
    slow and half as large again.
    """
    rng, now, ends, waiting = random.Random(3), 0.0, [], []
    slowness = {"a": 0.7, "b": 0.7, "c": 1.7}
    capacity = {"a": 64_000, "b": 64_000, "c": 96_000}
    kinds = {QUICK: (220.0, 0.25, 0.1), LONG: (28.0, 2.94, 1.18)}
    arrived, in_time = Counter(), Counter()
    while now < 30.0 or waiting:
        if now < 30.0:
            for step, (per_s, _, _) in kinds.items():
                count = sum(rng.random() < per_s / 1_000 for _ in range(10))
                waiting += [(now, step)] * count
                arrived[step] += count
        ends = [end for end in ends if end[0] > now]
        targets = {}
        for name, cpu_m in capacity.items():
            room = Resources(cpu_m, 32_768)
            own = tuple(ExpectedEnd(at, NEED) for at, on in ends if on == name)
            view = RoomView(room.minus(Resources(NEED.cpu_m * len(own))), own)
            status = TargetStatus(
                "ready", "visits", "recife", name, (), room, view.free
            )
            status = status._replace(
                slowness=slowness[name],
                free_soon_cpu_m=free_within(view, LOOK_AHEAD_HORIZONS_S, now),
            )
            targets[name] = TargetCandidate(name, status, view.free)
        still = []
        for at, step in waiting:
            _, objective_s, wait_s = kinds[step]
            left = (at + wait_s - now, at + objective_s - now)
            look_ahead = look_ahead_for("", False, *left, 0.0) if looks_ahead else None
            target = choose_target(
                targets.values(), step, "recife", 1.5, look_ahead=look_ahead
            )
            if target is None:
                still += [(at, step)] * (now < at + wait_s)
                continue
            targets[target.address] = target._replace(free=target.free.minus(NEED))
            end = now + step.estimate_s * slowness[target.address]
            ends.append((end, target.address))
            in_time[step] += end <= at + objective_s
        waiting, now = still, now + 0.01
    return [in_time[step] / arrived[step] for step in kinds]


def test_long_jobs_end_in_time_beside_quick_ones_on_uneven_targets():
    """Long jobs were placed on slow targets, where they end after their objective."""
    quick, long = replay_uneven_load(looks_ahead=True)
    quick_before, long_before = replay_uneven_load(looks_ahead=False)
    assert long > long_before + 0.1
    assert quick > quick_before - 0.01
