"""Tests of the reservation for the first task, and of the capacity expected soon."""

import random

import pytest

from hawthorntrack.coordination.scheduling.estimates import (
    RunProgress,
    RunTimeRatios,
    expected_end,
    run_time_factor,
)
from hawthorntrack.coordination.scheduling.lookahead import (
    ExpectedEnd,
    RoomView,
    backfill_limit_ms,
    backfill_plan,
)
from hawthorntrack.coordination.scheduling.offers import OfferBook
from hawthorntrack.protocol.run_messages import BoundedResources, QueueDemand
from hawthorntrack.state.resources import Resources

CAPACITY = Resources(32_000)
LARGE = Resources(7_200)
DECLARED_S = 0.2
STEP_S = 0.005
LARGE_EVERY_S = 1.0
SECONDS = 30.0


def replay(looks_ahead, actual_over_declared, seed):
    """Return the mean wait of large tasks, and the share of capacity left idle.

    Load: small tasks keep arriving at a target, and each second a large one arrives,
    which comes first in the order.
    """
    rng, ratios = random.Random(seed), RunTimeRatios()
    runs, waits, idle, now, large_since, kept_since = [], [], 0.0, 0.0, None, None
    small = Resources(3_600)
    while now < SECONDS:
        for started, end, _need in runs:
            if end <= now:
                ratios.learn("small", end - started, DECLARED_S, 1.0)
        runs = [run for run in runs if run[1] > now]
        if large_since is None and now >= LARGE_EVERY_S * (len(waits) + 1):
            large_since = now
        ratio, free = ratios.of("small"), CAPACITY
        for _, _, need in runs:
            free = free.minus(need)
        starts = []
        if large_since is not None and LARGE.fits_in(free):
            waits.append(now - large_since)
            starts, free = [LARGE], free.minus(LARGE)
            large_since = kept_since = None
        while small.fits_in(free):
            if large_since is not None and looks_ahead:
                ends = tuple(
                    ExpectedEnd(
                        expected_end(RunProgress(at, DECLARED_S), 1.0, ratio, now), need
                    )
                    for at, _, need in runs
                )
                view = RoomView(free, ends)
                plan = backfill_plan(LARGE, view, now, kept_since)
                kept_since = now if plan and kept_since is None else kept_since
                factor = run_time_factor(1.0, ratio)
                if plan and not (
                    small.fits_in(plan.spare)
                    or backfill_limit_ms(plan, factor, now) >= DECLARED_S * 1_000
                ):
                    break
            starts.append(small)
            free = free.minus(small)
            small = Resources(round(3_600 * rng.uniform(0.8, 1.2)))
        for need in starts:
            run_s = DECLARED_S * actual_over_declared * rng.uniform(0.8, 1.2)
            runs.append((now, now + run_s, need))
        idle += free.cpu_m / CAPACITY.cpu_m * STEP_S / SECONDS
        now += STEP_S
    return sum(waits) / max(1, len(waits)), idle


@pytest.mark.parametrize("actual_over_declared", [0.6, 1.0, 1.4])
@pytest.mark.parametrize("seed", [1, 2])
def test_large_task_does_not_wait_for_small_ones_that_keep_arriving(
    actual_over_declared, seed
):
    """Small tasks took each gap; declared run times are wrong by 40% either way."""
    wait_s, idle = replay(True, actual_over_declared, seed)
    wait_before_s, idle_before = replay(False, actual_over_declared, seed)
    assert wait_s < 0.6 * wait_before_s
    assert idle < idle_before + 0.01


@pytest.mark.parametrize(
    ("ends_in_s", "kept_since_s", "planned"),
    [
        ((0.02, 0.06), 0.0, True),
        ((0.02, 0.11), 0.0, False),
        ((0.02, 0.06), 0.05, False),
    ],
)
def test_capacity_is_kept_free_for_a_bounded_time(ends_in_s, kept_since_s, planned):
    """Expected ends that slip must not keep capacity free for ever."""
    now = 10.0
    ends = tuple(ExpectedEnd(now + end_s, Resources(3_000)) for end_s in ends_in_s)
    room = RoomView(Resources(2_000), ends)
    plan = backfill_plan(LARGE, room, now, now - kept_since_s)
    assert (plan is not None) == planned
    if plan is not None:
        assert (plan.at, plan.spare.cpu_m) == (now + ends_in_s[-1], 800)


def test_withdrawn_demand_leaves_no_offer_to_be_made():
    """A guard failed on free capacity after the last demand was withdrawn."""
    book, need = OfferBook(), BoundedResources(3_600)
    book.report("a:1", [QueueDemand("q", 0, 0, 1, need, need, 120, 120, 400)], 10.0)
    book.report("a:1", [], 10.1)
    assert book.next_offer(RoomView(CAPACITY), 10.1) is None
