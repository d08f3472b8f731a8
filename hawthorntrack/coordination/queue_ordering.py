"""Orders in which waiting jobs get capacity, as interchangeable policies.

Load pattern: for seconds, jobs arrive faster than the targets can run them. Their
kinds differ by a factor of a hundred in work and in the time that they can wait.
"""

from collections.abc import Callable
from typing import NamedTuple

from hawthorntrack.state.registry import Registry

DEFAULT_ORDER = "fair_oldest"
# No job waits this long, so waiting never outweighs a priority level.
STRICT_PRIORITY_STEP_S = 1_000.0
# With a stretch of 1.6, a job can wait for 0.64 of its run time.
CRITICAL_PATH_WEIGHT = 0.64
# A job that waited this much longer outranks one that is a priority level higher.
PRIORITY_AGING_STEP_S = 0.1


class WaitingJob(NamedTuple):
    """Properties of a job with waiting tasks by which orders rank it.

    Attributes
    ----------
    begun : bool
        Whether one of its tasks has been placed. The capacity that this task takes
        helps no caller until the other tasks are placed, too.
    priority : int
        Priority of its queue; 0 is the highest.
    arrived, placement_deadline_at : float
        Time of arrival, and time at which the job is refused if none of its tasks has
        been placed; in seconds.
    critical_path_s : float
        Declared run time along its longest chain of steps, in seconds.
    mean_critical_path_s : float
        Moving mean of `critical_path_s` over recent jobs of its queue, in seconds.
    """

    begun: bool
    priority: int
    arrived: float
    placement_deadline_at: float
    critical_path_s: float
    mean_critical_path_s: float


class QueueOrder(NamedTuple):
    """A policy that orders waiting jobs.

    Attributes
    ----------
    rank : callable
        Returns the rank of a job, lowest first. Jobs that have begun come before all
        others.
    fair_shares : bool
        Whether queues get equal shares of capacity; otherwise all jobs are in one
        queue.
    backfill : bool
        Whether later jobs of a queue may be placed when an earlier one does not fit.
    """

    rank: Callable[[WaitingJob], float]
    fair_shares: bool = False
    backfill: bool = False

    def key(self, job: WaitingJob) -> tuple[bool, float]:
        """Return the sort key of a job."""
        return (not job.begun, self.rank(job))


queue_orders: Registry[QueueOrder] = Registry("queue order")


def register_order(
    name: str, fair_shares: bool = False, backfill: bool = False
) -> Callable:
    """Register the decorated ranking function as the order `name`."""

    def register(rank: Callable[[WaitingJob], float]) -> Callable:
        queue_orders.register(name)(QueueOrder(rank, fair_shares, backfill))
        return rank

    return register


@register_order("fair_oldest", fair_shares=True)
@register_order("oldest")
@register_order("oldest_passed", backfill=True)
def rank_by_arrival(job: WaitingJob) -> float:
    """Rank by time of arrival."""
    return job.arrived


@register_order("fair_slack", fair_shares=True)
@register_order("least_slack", backfill=True)
def rank_by_slack(job: WaitingJob) -> float:
    """Rank by the deadline for placing the first task."""
    return job.placement_deadline_at


@register_order("shortest", backfill=True)
@register_order("fair_shortest", fair_shares=True)
def rank_by_critical_path(job: WaitingJob) -> float:
    """Rank by declared run time along the longest chain of steps."""
    return job.critical_path_s


@register_order("priority", backfill=True)
def rank_by_aged_priority(job: WaitingJob) -> float:
    """Rank by priority; each `PRIORITY_AGING_STEP_S` of waiting gains one level."""
    return job.arrived + PRIORITY_AGING_STEP_S * job.priority


@register_order("strict_priority", backfill=True)
def rank_by_strict_priority(job: WaitingJob) -> float:
    """Rank by priority, then by time of arrival."""
    return STRICT_PRIORITY_STEP_S * job.priority + job.arrived


@register_order("shortest_kind", backfill=True)
@register_order("fair_shortest_kind", fair_shares=True)
def rank_by_mean_critical_path(job: WaitingJob) -> float:
    """Rank queues with short jobs first, and jobs of one queue by arrival.

    Explanation
    -----------
    A job of a queue with a mean critical path of 0.4 s comes before one of a queue
    with 1.8 s that arrived up to `CRITICAL_PATH_WEIGHT` times 1.4 s earlier. The size
    of the job itself does not count, so that the largest jobs of a queue wait no
    longer than its other jobs.
    """
    return job.arrived + CRITICAL_PATH_WEIGHT * job.mean_critical_path_s
