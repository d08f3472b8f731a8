"""Tests of whether a waiting task should use a target of another speed."""

import pytest

from hawthorntrack.coordination.scheduling.outlook import TargetOutlook
from hawthorntrack.coordination.target_selection import LookAhead, TargetCandidate
from hawthorntrack.protocol.run_messages import QueueWait, TargetStatus
from hawthorntrack.state.plans import StepSpec
from hawthorntrack.state.resources import NO_RESOURCES, Resources

STEP = StepSpec(1, Resources(4_000), 1.8)


@pytest.fixture
def outlook():
    """Return a function that gives the outlook on full targets of two speeds."""
    status = TargetStatus(
        "ready",
        "visits",
        capacity=Resources(64_000),
        slowness=1.7,
        free_soon_cpu_m=(4_000,) * 4,
    )

    def make(fast_wait_ms):
        fast = status._replace(
            slowness=0.7, queue_waits=(QueueWait("long", fast_wait_ms),)
        )
        targets = (("a", fast), ("c", status))
        return TargetOutlook(TargetCandidate(*t, NO_RESOURCES) for t in targets)

    return make


@pytest.mark.parametrize(
    ("fast_wait_ms", "max_wait_s", "end_within_s", "worth_using"),
    [
        (300, 1.1, 2.93, False),  # 3.06 s on the slow target, 1.56 s on a fast one
        (300, 1.1, 3.10, True),  # in time on the slow target
        (300, 0.2, 2.93, True),  # would be refused before
        (1_800, 2.0, 2.93, True),  # late there, too: others wait for the fast ones
    ],
)
def test_long_task_uses_no_slow_target_while_a_fast_one_is_in_time(
    outlook, fast_wait_ms, max_wait_s, end_within_s, worth_using
):
    """Long tasks started in the first offer they got, and ended after the objective."""
    look_ahead = LookAhead("long", max_wait_s, end_within_s)
    found = outlook(fast_wait_ms)
    assert (
        found.is_worth_using("visits", 1.7, STEP, frozenset(), look_ahead)
        == worth_using
    )
    assert found.is_worth_using("letters", 1.7, STEP, frozenset(), look_ahead)
