"""Response objectives, limits on waiting, retry times and fair shares of queues.

Load pattern: for seconds, jobs arrive faster than the targets can run them, and their
kinds differ by a factor of a hundred in work. Without a limit on waiting, every job is
late; without fair shares, the kind with the most work takes the capacity that the
others need.
"""

import math
import zlib
from collections.abc import Iterable, Mapping

# A job may wait for this share of its objective. With a stretch of 1.6, this is about
# the part of the objective that its run time leaves.
MAX_WAIT_SHARE = 0.4
# Covers two round trips between zones and the guard's time to answer.
MAX_WAIT_FLOOR_S = 0.03
# A job is not placed on slow targets during this share of its longest wait.
SLOW_TARGETS_EXCLUDED_SHARE = 0.6
# A target above this multiple of the median slowness counts as slow. The regular models
# of targets differ by less.
SLOW_TARGET_FACTOR = 2.5
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 5


def objective_s(critical_path_s: float, stretch: float, target_s: float) -> float:
    """Return the time in seconds within which a job should be answered.

    Examples
    --------
    >>> round(objective_s(0.5, 1.6, 0.06), 3)
    0.86
    """
    return critical_path_s * stretch + target_s


def max_wait_s(objective: float) -> float:
    """Return the longest time that a job may wait for its first task to be placed."""
    return max(MAX_WAIT_FLOOR_S, objective * MAX_WAIT_SHARE)


def slowness_limit(median_slowness: float, waited_s: float, max_wait: float) -> float:
    """Return the slowness up to which a target may get a task now.

    Explanation
    -----------
    Load pattern: a sixth of the targets runs tasks seven times slower. A task there
    ends too late and takes the capacity of many, so a job first waits for a faster
    target. The limit is relative to the other targets: when all of them look slow,
    for instance because their answers are delayed, none is excluded.

    Parameters
    ----------
    median_slowness : float
        Median slowness of the targets that accept runs.
    waited_s, max_wait : float
        Time that the job has waited, and the longest time that it may wait, in
        seconds.

    Examples
    --------
    >>> slowness_limit(1.2, 0.0, 0.1), slowness_limit(1.2, 0.09, 0.1)
    (3.0, inf)
    """
    excludes_slow = waited_s < max_wait * SLOW_TARGETS_EXCLUDED_SHARE
    return median_slowness * SLOW_TARGET_FACTOR if excludes_slow else math.inf


def jitter_of(key: str) -> float:
    """Return a number in [0, 1) that is derived from a job's key.

    Examples
    --------
    >>> 0 <= jitter_of("5c0e7a21d94b36f8") < 1
    True
    """
    return zlib.crc32(key.encode()) / 2**32


def retry_after_s(waiting: int, completion_rate: float, jitter: float) -> int:
    """Return the whole number of seconds after which a caller should retry.

    Explanation
    -----------
    Load pattern: the jobs of a burst are refused within a second, and all would be
    retried at the same time. Callers retry after the time in which the jobs that wait
    now are completed at the recent rate; the jitter spreads the retries over as much
    time again.

    Parameters
    ----------
    waiting : int
        Number of jobs that wait for their first task.
    completion_rate : float
        Recent number of completed jobs per second.
    jitter : float
        Number in [0, 1), from `jitter_of`.

    Examples
    --------
    >>> retry_after_s(20, 10.0, 0.0), retry_after_s(20, 10.0, 0.9)
    (2, 4)
    >>> retry_after_s(0, 0.0, 0.0), retry_after_s(0, 0.0, 0.5)
    (1, 2)
    """
    queue_s = waiting / completion_rate if completion_rate > 0 else 0.0
    wait_s = max(MIN_RETRY_AFTER_S, queue_s)
    return min(MAX_RETRY_AFTER_S, math.ceil(wait_s * (1 + jitter)))


class FairShares:
    """Equal shares of capacity among queues.

    Explanation
    -----------
    Each queue has a virtual time that grows by the work placed for it; the queue
    with the lowest virtual time comes first. Capacity that one queue does not use
    goes to the others. A queue that was idle starts at the lowest virtual time of the
    queues that wait.

    Examples
    --------
    >>> shares = FairShares()
    >>> shares.charge("visits", 30.0)
    >>> shares.charge("checks", 10.0)
    >>> shares.lowest({"visits": 1, "checks": 2})
    'checks'
    """

    def __init__(self) -> None:
        self.queue_virtual_times: dict[str, float] = {}
        self.virtual_time = 0.0

    def lowest(self, queues: Iterable[str] | Mapping[str, object]) -> str:
        """Return the queue with the lowest virtual time."""
        return min(
            queues,
            key=lambda name: (
                self.queue_virtual_times.get(name, self.virtual_time),
                name,
            ),
        )

    def charge(self, queue: str, work: float) -> None:
        """Add placed work, in core-seconds, to the virtual time of a queue."""
        self.queue_virtual_times[queue] = (
            max(self.queue_virtual_times.get(queue, 0.0), self.virtual_time) + work
        )

    def advance_virtual_time(self, waiting_queues: Iterable[str]) -> None:
        """Raise the global virtual time to the lowest of the waiting queues."""
        lowest = [
            self.queue_virtual_times.get(name, self.virtual_time)
            for name in waiting_queues
        ]
        if lowest:
            self.virtual_time = max(self.virtual_time, min(lowest))
