"""Tests of the choice of a target for a task."""

import pytest

from hawthorntrack.coordination.target_selection import (
    SIMILAR_DURATION_SHARE,
    TargetCandidate,
    choose_target,
)
from hawthorntrack.protocol.run_messages import TargetStatus
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
