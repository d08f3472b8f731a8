"""Weighted fair shares of capacity among queues, by their priority.

Load pattern: callers compete for too little capacity, and some queues are more urgent
than others. Strict priority would starve the others for as long as the urgent ones ask
for all capacity.
"""

from collections.abc import Iterable

# A queue gets this many times the share of one that is a priority level lower, if both
# have demand: the most urgent of three levels keeps three quarters of the capacity.
PRIORITY_SHARE_RATIO = 4.0
# The weight of a lower priority would be too small to divide by.
LOWEST_PRIORITY = 16


def weight_of(priority: int) -> float:
    """Return the weight of a queue's share, given its priority (0 is the highest).

    Examples
    --------
    >>> weight_of(0), weight_of(1), weight_of(2)
    (1.0, 0.25, 0.0625)
    """
    return PRIORITY_SHARE_RATIO ** -bounded_priority(priority)


def bounded_priority(priority: int) -> int:
    """Return a configured priority within the bounds that shares can be computed for.

    Examples
    --------
    >>> bounded_priority(-1), bounded_priority(2), bounded_priority(600)
    (0, 2, 16)
    """
    return min(max(priority, 0), LOWEST_PRIORITY)


class WeightedShares:
    """Virtual times of queues (start-time fair queueing).

    Explanation
    -----------
    Each queue has a virtual time that grows by the work started for it, divided by its
    weight; the queue with the lowest virtual time comes first. Capacity that one queue
    does not use goes to the others. A queue that was idle starts at the lowest virtual
    time of the queues with demand.

    Examples
    --------
    >>> shares = WeightedShares()
    >>> shares.charge("urgent", 0, 3.0)
    >>> shares.charge("batch", 1, 1.0)
    >>> shares.lowest(["batch", "urgent"])
    'urgent'
    """

    def __init__(self) -> None:
        self.queue_virtual_times: dict[str, float] = {}
        self.virtual_time = 0.0

    def virtual_time_of(self, queue: str) -> float:
        """Return the virtual time of a queue."""
        return max(self.queue_virtual_times.get(queue, 0.0), self.virtual_time)

    def in_order(self, queues: Iterable[str]) -> list[str]:
        """Return queues by rising virtual time, and equal ones by name."""
        return sorted(queues, key=lambda queue: (self.virtual_time_of(queue), queue))

    def lowest(self, queues: Iterable[str]) -> str:
        """Return the queue with the lowest virtual time."""
        return min(queues, key=lambda queue: (self.virtual_time_of(queue), queue))

    def charge(self, queue: str, priority: int, work: float) -> None:
        """Add started work, in core-seconds, to the virtual time of a queue."""
        virtual_work = work / weight_of(priority)
        self.queue_virtual_times[queue] = self.virtual_time_of(queue) + virtual_work

    def advance_virtual_time(self, queues_with_demand: Iterable[str]) -> None:
        """Raise the global virtual time to the lowest of the queues with demand."""
        lowest = [self.virtual_time_of(queue) for queue in queues_with_demand]
        if lowest:
            self.virtual_time = max(self.virtual_time, min(lowest))
