"""Replays of loads through the decisions on admission, without a network."""

import random
from collections import Counter
from typing import NamedTuple

import pytest

from hawthorntrack.coordination.queueing import max_wait_s, objective_s
from hawthorntrack.coordination.scheduling.shares import WeightedShares
from hawthorntrack.coordination.scheduling.waits import (
    ArrivingJob,
    ExpectedWaits,
    RetrySchedule,
    WaitReport,
    admission_refusal,
)
from hawthorntrack.protocol.run_messages import QueueWait

# Steps of 10 ms; ten guards report in turn, each every 0.2 s.
STEP_S, GUARDS, ENTRIES, STEPS_PER_REPORT, RATE_WINDOW_S = 0.01, 10, 10, 20, 0.5
CORES, JOB_CORES, BURST, SECONDS = 200.0, 4.0, 2.5, 14.0


class Kind(NamedTuple):
    """A kind of job of one task; `share` is its part of the cores at factor 1."""

    queue: str
    priority: int
    run_s: float
    share: float


class Waiting(NamedTuple):
    kind: Kind
    entry: int
    arrived: float
    run_s: float
    max_wait_s: float


QUICK, SMALL = Kind("quick", 0, 0.12, 0.2), Kind("small", 1, 0.4, 0.4)
LONG = Kind("long", 2, 1.8, 0.3)
ALL_KINDS = (QUICK, SMALL, LONG)


def burst(kind, at):
    return BURST if 2.0 <= at < 12.0 else 1.0


def urgent_burst(kind, at):
    return burst(kind, at) * (1.8 if kind is QUICK and 5.0 <= at < 9.0 else 1.0)


def as_measured(guard, at, waits):
    return waits


class Replay:
    """Jobs on one pool of cores, whose guards report the waits of its queues late."""

    def __init__(self, kinds, factor, refuses=True, distort=as_measured):
        self.refuses, self.rng = refuses, random.Random(1)
        self.shares, self.expected = WeightedShares(), ExpectedWaits()
        self.queues = {kind.queue: [] for kind in kinds}
        self.running, self.started = [], []
        self.counts, self.refused_at = Counter(), []
        reports = [WaitReport("visits", ()) for _ in range(GUARDS)]
        for step in range(round(SECONDS / STEP_S)):
            now = step * STEP_S
            self.start_jobs(now)
            guard, is_turn_over = divmod(step % STEPS_PER_REPORT, 2)
            if not is_turn_over:
                waits = distort(guard, now, self.waits(now))
                reports[guard] = WaitReport("visits", waits)
            self.expected.record(reports, now)
            for kind in kinds:
                rate = kind.share * factor(kind, now) * CORES / JOB_CORES / kind.run_s
                for _ in range(3):
                    if self.rng.random() < rate * STEP_S / 3:
                        self.arrive(kind, now)

    def arrive(self, kind, now):
        run_s = kind.run_s * self.rng.lognormvariate(-0.08, 0.4)
        objective, queue = objective_s(run_s, 1.6, 0.06), self.queues[kind.queue]
        entry = self.rng.randrange(ENTRIES)
        waits_s = [now - job.arrived for job in queue if job.entry == entry]
        refusal = admission_refusal(
            ArrivingJob(objective, run_s, 1.0),
            (len(self.running) + 1) * JOB_CORES <= CORES,
            len(waits_s),
            self.expected.expected_s(kind.queue, max(waits_s, default=0.0)),
        )
        if refusal and self.refuses:
            self.counts["at_arrival"] += 1
            self.refused_at.append(now)
        else:
            queue.append(Waiting(kind, entry, now, run_s, max_wait_s(objective)))

    def start_jobs(self, now):
        self.running = [end for end in self.running if end > now]
        for name, queue in self.queues.items():
            in_time = [job for job in queue if now - job.arrived <= job.max_wait_s]
            self.counts["later"] += len(queue) - len(in_time)
            self.queues[name] = in_time
        while (len(self.running) + 1) * JOB_CORES <= CORES:
            names = [name for name, queue in self.queues.items() if queue]
            if not names:
                break
            self.shares.advance_virtual_time(names)
            job = self.queues[self.shares.lowest(names)].pop(0)
            self.shares.charge(job.kind.queue, job.kind.priority, job.run_s)
            self.running.append(now + job.run_s)
            self.started.append((now, job.kind.queue, job.run_s))
            self.counts[job.kind] += 1

    def waits(self, now):
        self.started = [run for run in self.started if run[0] > now - RATE_WINDOW_S]
        waits = []
        for name, queue in self.queues.items():
            started_s = sum(run_s for _, queue, run_s in self.started if queue == name)
            if queue:
                wait_s = now - queue[0].arrived
                if started_s:
                    wait_s = sum(job.run_s for job in queue) / started_s * RATE_WINDOW_S
                waits.append(QueueWait(name, round(wait_s * 1000)))
        return tuple(waits)

    def in_time_work(self, kinds):
        return sum(self.counts[kind] * kind.run_s for kind in kinds)


def silent_from_5_s(guard, at, waits):
    return waits if at < 5.0 else ()


def nonsense_of_one(guard, at, waits):
    return (QueueWait("quick", 10**15),) if guard == 3 else waits


@pytest.mark.parametrize(
    ("kinds", "factor", "distort", "at_arrival"),
    [
        (ALL_KINDS, burst, as_measured, 0.65),
        (ALL_KINDS, urgent_burst, as_measured, 0.65),
        ((SMALL._replace(share=0.9),), burst, as_measured, 0.75),
        (ALL_KINDS, burst, silent_from_5_s, 0.2),
    ],
)
def test_burst_is_refused_at_arrival_and_as_much_is_served(
    kinds, factor, distort, at_arrival
):
    """Without refusal at arrival, each refused job first waits for 0.4 of its time."""
    replay, before = (
        Replay(kinds, factor, refuses, distort) for refuses in (True, False)
    )
    assert replay.in_time_work(kinds) >= 0.97 * before.in_time_work(kinds)
    assert all(replay.counts[kind] >= 0.8 * before.counts[kind] for kind in kinds)
    refused = replay.counts["at_arrival"] + replay.counts["later"]
    assert replay.counts["at_arrival"] >= at_arrival * refused
    # Nothing is refused before the burst, and little once the backlog is drained.
    assert min(replay.refused_at) > 2.0
    assert sum(at > 12.8 for at in replay.refused_at) <= 0.01 * refused


def test_admission_does_not_alternate_between_all_and_nothing():
    """Reports that are a heartbeat old could make it refuse all jobs in turns."""
    replay = Replay((SMALL._replace(share=0.9),), burst)
    arrivals = 0.9 * BURST * CORES / JOB_CORES / SMALL.run_s * 0.5
    halves = Counter(int(2 * at) for at in replay.refused_at)
    assert all(0.1 < halves[half] / arrivals < 0.95 for half in range(6, 24))


def test_guard_with_nonsense_waits_has_no_effect():
    """One guard with a wrong rate would otherwise close all entry instances."""
    replay, undistorted = (
        Replay((QUICK._replace(share=0.9),), lambda kind, at: 1.0, distort=distort)
        for distort in (nonsense_of_one, as_measured)
    )
    assert replay.refused_at == undistorted.refused_at


def test_refused_jobs_return_in_order_at_the_drain_rate():
    """All jobs of a burst would otherwise return together, and be refused again."""
    schedule, rng = RetrySchedule(), random.Random(1)
    refused_at = [100 + 0.01 * number for number in range(400)]
    # 25 jobs a second are drained, and 100 are refused.
    after_s = [
        schedule.after_s("small", 0.4, 10, rng.random(), at) for at in refused_at
    ]
    assert set(after_s) == {1, 2, 3, 4, 5}
    returns = [at + after for at, after in zip(refused_at, after_s, strict=True)]
    assert returns == sorted(returns)
    assert schedule.after_s("small", 0.4, 10, 0.0, 110.0) == 1
