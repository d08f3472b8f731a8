"""Tests of whether a waiting task should use a target of another speed."""

import pytest

from hawthorntrack.coordination.scheduling.outlook import TargetOutlook
from hawthorntrack.coordination.target_selection import LookAhead, TargetCandidate
from hawthorntrack.protocol.run_messages import QueueWait, TargetStatus
from hawthorntrack.state.resources import NO_RESOURCES


@pytest.fixture
def outlook():
    """Return a function that gives the outlook on three full targets of two speeds."""

    def make(fast_wait_ms):
        return TargetOutlook(
            TargetCandidate(
                address,
                TargetStatus(
                    "ready",
                    "visits",
                    slowness=slowness,
                    queue_waits=(QueueWait("long", wait_ms),),
                ),
                NO_RESOURCES,
            )
            for address, slowness, wait_ms in (
                ("a", 0.7, fast_wait_ms),
                ("b", 0.7, fast_wait_ms + 200),
                ("c", 1.7, 0),
            )
        )

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
    assert found.is_worth_using("visits", 1.7, 1.8, look_ahead) == worth_using
    assert found.is_worth_using("letters", 1.7, 1.8, look_ahead)
