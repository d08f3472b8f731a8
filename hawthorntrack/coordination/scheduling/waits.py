"""Expected waits of an entry instance, refusal at arrival, and Retry-After.

Load pattern: for seconds, more jobs arrive than can be answered in time. Each of them
would wait for most of its objective before it is refused, and its caller could have
gone elsewhere meanwhile.
"""

import math
from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from hawthorntrack.coordination.queueing import (
    MAX_RETRY_AFTER_S,
    MAX_WAIT_FLOOR_S,
    MIN_RETRY_AFTER_S,
    max_wait_s,
)
from hawthorntrack.protocol.run_messages import QueueWait
from hawthorntrack.state.registry import Registry

# Weight of the newest sample of the reported waits, and the interval between samples,
# which is that of ticks. With few guards, one report changes the mean by a third.
NEWEST_WEIGHT = 0.3
SAMPLE_INTERVAL_S = 0.02
# A job waits for this long also while capacity is free: an offer takes two messages
# between zones, and entry instances combine reports within 20 ms.
OFFER_DELAY_S = 0.02
# This share of the reports is left out at either end, and at least one report of three,
# so that one guard with a wrong clock or rate changes no decision.
TRIMMED_SHARE = 0.125
# A longer wait changes no decision: no job may wait so long, and Retry-After ends at
# a sixth of it.
MAX_REPORTED_WAIT_S = 30.0
# Smaller expected waits are forgotten once no guard lists the queue.
NEGLIGIBLE_WAIT_S = 0.001


def typical_wait_s(waits_s: Sequence[float]) -> float:
    """Return the mean of the waits that guards report, without the extreme ones.

    Examples
    --------
    >>> typical_wait_s([0.1, 0.3])
    0.2
    >>> typical_wait_s([0.1, 30.0, 0.1, 0.1])
    0.1
    """
    trimmed = 0
    if len(waits_s) >= 3:
        trimmed = max(1, int(len(waits_s) * TRIMMED_SHARE))
    kept = sorted(waits_s)[trimmed : len(waits_s) - trimmed]
    return sum(kept) / len(kept) if kept else 0.0


class WaitReport(NamedTuple):
    """The newest waits that one guard reports, and the service of its target."""

    service: str
    queue_waits: tuple[QueueWait, ...]


class ExpectedWaits:
    """Expected wait of a new job at an entry instance, by queue.

    Examples
    --------
    >>> waits = ExpectedWaits()
    >>> waits.record([WaitReport("visits", (QueueWait("check", 300),))], 100.0)
    >>> waits.expected_s("check"), waits.expected_s("check", 0.5)
    (0.3, 0.48)
    >>> waits.expected_s("confirm")
    0.0
    """

    def __init__(self) -> None:
        self.smoothed_s: dict[str, float] = {}
        self.recorded_at = -math.inf

    def record(self, reports: Iterable[WaitReport], now: float) -> None:
        """Take the newest reports of all guards in service into account.

        Explanation
        -----------
        The wait of a queue is averaged over the guards of its service; it is 0 at
        those that do not list the queue. The weight of the sample depends on the time
        since the previous one, so that ticks that were delayed do not slow the
        smoothing down.
        """
        counts: dict[str, int] = defaultdict(int)
        listed: dict[tuple[str, str], list[float]] = defaultdict(list)
        for report in reports:
            counts[report.service] += 1
            if not report.queue_waits:
                continue
            for queue, wait_ms in dict(report.queue_waits).items():
                wait_s = min(MAX_REPORTED_WAIT_S, wait_ms / 1000)
                listed[report.service, queue].append(wait_s)
        newest = {
            queue: typical_wait_s(waits_s + [0.0] * (counts[service] - len(waits_s)))
            for (service, queue), waits_s in listed.items()
        }
        samples = (now - self.recorded_at) / SAMPLE_INTERVAL_S
        weight = 1 - (1 - NEWEST_WEIGHT) ** max(0.0, samples)
        self.recorded_at = now
        for queue in self.smoothed_s.keys() | newest.keys():
            previous = self.smoothed_s.get(queue, 0.0)
            target = newest.get(queue, 0.0)
            smoothed = previous + weight * (target - previous)
            if queue not in newest and smoothed < NEGLIGIBLE_WAIT_S:
                del self.smoothed_s[queue]
            else:
                self.smoothed_s[queue] = smoothed

    def expected_s(self, queue: str, own_oldest_wait_s: float = 0.0) -> float:
        """Return the expected wait of a new job of a queue, in seconds.

        Explanation
        -----------
        Reports are up to a heartbeat interval old, while the instance knows at once how
        long its own jobs of the queue have waited. These come before a new one.

        Parameters
        ----------
        own_oldest_wait_s : float
            Longest time that a job of the queue has waited here so far; 0 if none
            waits.
        """
        reported_s = self.smoothed_s.get(queue, 0.0)
        return max(reported_s, own_oldest_wait_s - OFFER_DELAY_S)


class ArrivingJob(NamedTuple):
    """Properties of an arriving job that limit the time for which it may wait.

    Attributes
    ----------
    objective_s : float
        Time within which it should be answered, in seconds.
    critical_path_s : float
        Declared run time along its longest chain of steps, in seconds.
    slowness : float
        Lowest slowness of a target on which it may run; 0 if none was measured.
    start_s : float
        Time that all targets together need at least to start the tasks of its first
        steps once the first has started, in seconds.
    deadline_s : float
        Time after its arrival until its caller stops waiting, in seconds.
    """

    objective_s: float
    critical_path_s: float
    slowness: float = 0.0
    start_s: float = 0.0
    deadline_s: float = math.inf


wait_limits: Registry = Registry("limit of a wait")


@wait_limits.register("first_task")
def first_task_limit_s(job: ArrivingJob) -> float:
    """Return the time after which the job is refused if none of its tasks began."""
    return max_wait_s(job.objective_s)


@wait_limits.register("last_task")
def last_task_limit_s(job: ArrivingJob) -> float:
    """Return the wait after which the last task of the job ends too late.

    Explanation
    -----------
    The last task of a wide job starts later than that of a narrow one. The time is the
    least that this takes, and the slowness the lowest, so that no job is refused that
    could be answered in time.
    """
    left_s = job.objective_s - job.critical_path_s * job.slowness - job.start_s
    # A job that is late in any case is still worth something to its caller.
    return max(MAX_WAIT_FLOOR_S, left_s) if left_s > 0 else first_task_limit_s(job)


@wait_limits.register("caller_deadline")
def caller_deadline_limit_s(job: ArrivingJob) -> float:
    """Return the wait after which the caller has stopped waiting."""
    return job.deadline_s


class AdmissionRefusal(NamedTuple):
    """Why a job is refused at arrival.

    Attributes
    ----------
    reason : str
        Name of the lowest of `wait_limits`.
    expected_s, limit_s : float
        Expected wait and longest wait of the job, in seconds.
    """

    reason: str
    expected_s: float
    limit_s: float


def admission_refusal(
    job: ArrivingJob, has_room: bool, waiting: int, expected_s: float
) -> AdmissionRefusal | None:
    """Return why a job is to be refused at arrival, or None to admit it.

    Explanation
    -----------
    A job is admitted if no other of its queue waits at the instance. Reports are up to
    a heartbeat interval old; if all instances refused until a lower wait is reported,
    the queue would have no demand meanwhile, and the guards would give its share to
    other queues and measure no rate for it.

    Parameters
    ----------
    has_room : bool
        Whether a guard reports free capacity for one of its tasks.
    waiting : int
        Number of jobs of its queue that wait at this instance for their first task.
    expected_s : float
        Expected wait of a new job of its queue, in seconds.

    Examples
    --------
    >>> job = ArrivingJob(objective_s=0.7, critical_path_s=0.4, slowness=1.0)
    >>> admission_refusal(job, False, 3, 0.2) is None
    True
    >>> admission_refusal(job, False, 3, 0.4).reason
    'first_task'
    >>> admission_refusal(job, True, 3, 0.4), admission_refusal(job, False, 0, 0.4)
    (None, None)
    >>> admission_refusal(job._replace(start_s=0.2), False, 3, 0.2).reason
    'last_task'
    """
    if has_room or not waiting:
        return None
    limits_s = {name: wait_limits[name](job) for name in wait_limits}
    reason = min(limits_s, key=limits_s.__getitem__)
    if expected_s <= limits_s[reason]:
        return None
    return AdmissionRefusal(reason, expected_s, limits_s[reason])


class PlannedReturns(NamedTuple):
    """When the refused jobs of a queue are expected back.

    Attributes
    ----------
    planned_at : float
        Time at which there is capacity for the job refused last, in seconds.
    last_at : float
        Time at which that job returns: `planned_at` as a whole number of seconds after
        its refusal.
    """

    planned_at: float
    last_at: float


class RetrySchedule:
    """Return times of refused jobs, by queue.

    Explanation
    -----------
    A queue is drained in the order of its jobs' waits at all entry instances alike. The
    waiting jobs of one instance, divided by the expected wait, are thus its share of
    the drain rate that the guards measure. Return times are spaced by that rate, so
    that the refused jobs come back as fast as they can be started, and those refused
    first come first.

    Examples
    --------
    >>> schedule = RetrySchedule()
    >>> [schedule.after_s("check", 0.5, 1, 0.0, 100.0) for _ in range(6)]
    [1, 1, 2, 2, 3, 3]
    """

    def __init__(self) -> None:
        self.returns: dict[str, PlannedReturns] = {}

    def after_s(
        self,
        queue: str,
        expected_s: float,
        waiting: int,
        jitter: float,
        now: float,
    ) -> int:
        """Return the whole number of seconds after which a refused job may return.

        Explanation
        -----------
        The jitter decides whether the planned time is rounded up or down, so that
        entry instances do not all extend their answers at the same moment.

        Parameters
        ----------
        expected_s : float
            Expected wait of a new job of the queue, in seconds.
        waiting : int
            Number of its jobs that wait at this instance.
        jitter : float
            Number in [0, 1), from `jitter_of`.
        """
        earliest_at = now + max(MIN_RETRY_AFTER_S, expected_s)
        previous = self.returns.get(queue, PlannedReturns(-math.inf, -math.inf))
        spacing_s = expected_s / max(1, waiting)
        planned_at = max(earliest_at, previous.planned_at + spacing_s)
        planned_at = min(planned_at, now + MAX_RETRY_AFTER_S)
        after_s = max(MIN_RETRY_AFTER_S, math.floor(planned_at - now + jitter))
        if previous.last_at > now:
            # Rounded to microseconds first: differences of times are inexact.
            after_s = max(after_s, math.ceil(round(previous.last_at - now, 6)))
        after_s = min(MAX_RETRY_AFTER_S, after_s)
        self.returns[queue] = PlannedReturns(planned_at, now + after_s)
        return after_s
