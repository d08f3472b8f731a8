"""Tests of expected ends of runs, and of the slowness assumed for new targets."""

import random

import pytest

from hawthorntrack.coordination.scheduling.estimates import (
    OVERDUE_S,
    RunProgress,
    RunTimeRatio,
    RunTimeRatios,
    expected_end,
)
from hawthorntrack.coordination.scheduling.speeds import KindSpeeds
from hawthorntrack.protocol.run_messages import MAX_DEMANDS, TargetStatus


@pytest.mark.parametrize("slowness", [0.7, 1.7])
@pytest.mark.parametrize("bias", [0.6, 1.0, 1.4])
def test_learned_ratio_corrects_declared_run_times(bias, slowness):
    """Declared run times are wrong by up to 40%, in one direction for a whole queue."""
    ratios, rng, declared_s = RunTimeRatios(), random.Random(1), 0.4
    early = 0
    for number in range(200):
        run_s = declared_s * slowness * bias * rng.uniform(0.9, 1.1)
        run = RunProgress(0.0, declared_s)
        end = expected_end(run, slowness, ratios.of("checks"), 0.0)
        early += number >= 100 and end < run_s
        ratios.learn("checks", run_s, declared_s, slowness)
    assert end == pytest.approx(declared_s * slowness * bias, rel=0.15)
    assert early < 35  # the upper side: a third of the runs may end later
    for number in range(100):  # a peer may send any name of a queue
        ratios.learn(f"queue-{number}", 1.0, 1.0, 1.0)
    assert len(ratios.by_queue) == MAX_DEMANDS


@pytest.mark.parametrize(
    ("percent", "now", "end"),
    [(9, 10.2, 11.2), (10, 10.2, 12.0), (50, 10.2, 10.4), (50, 10.6, 10.6 + OVERDUE_S)],
)
def test_listed_progress_outweighs_the_declared_run_time(percent, now, end):
    """A run that is slower or faster than declared is planned as measured."""
    run = RunProgress(10.0, 1.0, percent, 10.2)
    assert expected_end(run, 1.0, RunTimeRatio(1.0, 0.2), now) == pytest.approx(end)


@pytest.mark.parametrize(
    ("service", "kind", "slowness"),
    [("visits", "wide", 1.6), ("visits", "narrow", 0.6), ("visits", "other", 0.6)]
    + [("letters", "wide", 0.6)],
)
def test_new_target_counts_as_fast_as_its_kind(service, kind, slowness):
    """A new slow target counted as the fastest, and tasks ended there too late."""
    speeds = KindSpeeds()
    measured = [("wide", 1.6), ("wide", 1.8), ("narrow", 0.6), ("narrow", 0.8)]
    speeds.update(
        TargetStatus("ready", "visits", labels=(label, "r1"), slowness=value)
        for label, value in measured
    )
    speeds.update([])
    new = TargetStatus("ready", service, labels=(kind,), slowness=0.0)
    assert speeds.assume(new).slowness == pytest.approx(slowness)
