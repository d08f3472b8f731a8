"""Decisions on how jobs wait: in which order, how long, and when to come back.

Load pattern: arrivals above capacity for seconds, in kinds whose jobs differ
hundredfold in work. Without a bound on waiting, every job is late; without shares,
the kind with the most work takes what the others need.
"""

import math
import zlib
from collections.abc import Iterable, Mapping

MAX_WAIT_SHARE = 0.4  # of the objective: what a stretch of 1.6 leaves beside the run
MAX_WAIT_FLOOR_S = 0.03  # two round trips between zones and a guard's answer
SLOW_TARGETS_EXCLUDED_SHARE = 0.6  # of its patience a job holds out for a usual target
SLOW_TARGET_FACTOR = 2.5  # times the usual: models of targets differ by less than that
RETRY_LEAST_S = 1
RETRY_MOST_S = 5


def objective_s(longest_chain_s: float, stretch: float, target_s: float) -> float:
    """Return the time within which a job should be answered.

    Examples
    --------
    >>> round(objective_s(0.5, 1.6, 0.06), 3)
    0.86
    """
    return longest_chain_s * stretch + target_s


def max_wait_s(objective: float) -> float:
    """Return how long a job may wait before its first task is placed."""
    return max(MAX_WAIT_FLOOR_S, objective * MAX_WAIT_SHARE)


def slowness_limit(usual: float, waited_s: float, patience: float) -> float:
    """Return how slow a target may be to get a task now.

    Explanation
    -----------
    Load pattern: a sixth of the targets works seven times slower. A task there
    ends too late and takes the room of many, so a job first waits for a usual one.
    Targets are held against each other: when all look slow, since their answers
    come late, say, none is passed over.

    Parameters
    ----------
    usual : float
        Median slowness of the targets that take runs.
    waited_s, patience : float
        How long the job has waited, and how long it does at most, in seconds.

    Examples
    --------
    >>> slowness_limit(1.2, 0.0, 0.1), slowness_limit(1.2, 0.09, 0.1)
    (3.0, inf)
    """
    holds_out = waited_s < patience * SLOW_TARGETS_EXCLUDED_SHARE
    return usual * SLOW_TARGET_FACTOR if holds_out else math.inf


def jitter_of(key: str) -> float:
    """Return a number from 0 up to 1 that differs among jobs.

    Examples
    --------
    >>> 0 <= jitter_of("5c0e7a21d94b36f8") < 1
    True
    """
    return zlib.crc32(key.encode()) / 2**32


def retry_after_s(waiting: int, answered_per_s: float, spread: float) -> int:
    """Return when a caller should come back, in whole seconds.

    Explanation
    -----------
    Load pattern: a burst is turned away within a second, and would come back as
    one wave. Callers come back in the time in which what waits now will have been
    answered, at the rate measured lately, and are spread over as much again.

    Examples
    --------
    >>> retry_after_s(20, 10.0, 0.0), retry_after_s(20, 10.0, 0.9)
    (2, 4)
    >>> retry_after_s(0, 0.0, 0.0), retry_after_s(0, 0.0, 0.5)
    (1, 2)
    """
    drain_s = waiting / answered_per_s if answered_per_s > 0 else 0.0
    wait_s = max(RETRY_LEAST_S, drain_s)
    return min(RETRY_MOST_S, math.ceil(wait_s * (1 + spread)))


class FairShares:
    """Equal shares of capacity among queues.

    Explanation
    -----------
    Each queue has a virtual time that grows by the work placed for it; the queue
    with the lowest goes first. What one queue does not use, the others get. A
    queue that was idle starts level with the lowest of those that wait.

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
        """Return the queue that goes first."""
        return min(
            queues,
            key=lambda name: (
                self.queue_virtual_times.get(name, self.virtual_time),
                name,
            ),
        )

    def charge(self, queue: str, work: float) -> None:
        """Count work placed for a queue."""
        self.queue_virtual_times[queue] = (
            max(self.queue_virtual_times.get(queue, 0.0), self.virtual_time) + work
        )

    def advance_virtual_time(self, waiting: Iterable[str]) -> None:
        """Raise the level to the lowest queue that waits."""
        lowest = [
            self.queue_virtual_times.get(name, self.virtual_time) for name in waiting
        ]
        if lowest:
            self.virtual_time = max(self.virtual_time, min(lowest))
