"""Decisions on which job gets room first, as policies that can be compared.

Load pattern: arrivals above capacity for seconds, in kinds whose jobs differ
hundredfold in work and in the time that they can wait.
"""

from collections.abc import Callable
from typing import NamedTuple

from hawthorntrack.state.registry import Registry

DEFAULT_ORDER = "fair_oldest"
STRICT_PRIORITY_STEP_S = 1_000.0  # more than any job waits
CRITICAL_PATH_WEIGHT = (
    0.64  # the share of its run time that a job can wait at a stretch of 1.6
)
PRIORITY_AGING_STEP_S = 0.1  # waiting that makes up for one step of priority


class WaitingJob(NamedTuple):
    """A job with tasks that wait for room.

    Attributes
    ----------
    begun : bool
        Whether one of its tasks has been placed; the others hold that room up.
    priority : int
        Of its queue; 0 comes first.
    arrived, placement_deadline_at : float
        When it came, and when it is refused unless it has begun; in seconds.
    critical_path_s : float
        Declared run time of its longest chain of steps, in seconds.
    mean_critical_path_s : float
        The same, as a mean of its queue's jobs of late.
    """

    begun: bool
    priority: int
    arrived: float
    placement_deadline_at: float
    critical_path_s: float
    mean_critical_path_s: float


class QueueOrder(NamedTuple):
    """An order of waiting jobs.

    Attributes
    ----------
    rank : callable
        Returns what jobs are sorted by, lowest first; begun ones go before.
    fair_shares : bool
        Whether queues get equal shares of capacity. Otherwise they form one line.
    backfill : bool
        Whether a job that finds no room lets those behind it in its line go first.
    """

    rank: Callable[[WaitingJob], float]
    fair_shares: bool = False
    backfill: bool = False

    def key(self, job: WaitingJob) -> tuple[bool, float]:
        """Return the sort key of a job."""
        return (not job.begun, self.rank(job))


queue_orders: Registry[QueueOrder] = Registry("order of waiting")


def register_order(
    name: str, fair_shares: bool = False, backfill: bool = False
) -> Callable:
    """Register a ranking function as an order of waiting."""

    def file(rank: Callable[[WaitingJob], float]) -> Callable:
        queue_orders.register(name)(QueueOrder(rank, fair_shares, backfill))
        return rank

    return file


@register_order("fair_oldest", fair_shares=True)
@register_order("oldest")
@register_order("oldest_passed", backfill=True)
def rank_by_arrival(job: WaitingJob) -> float:
    """Rank by time of arrival."""
    return job.arrived


@register_order("fair_slack", fair_shares=True)
@register_order("least_slack", backfill=True)
def rank_by_slack(job: WaitingJob) -> float:
    """Rank by the time until which the job can wait."""
    return job.placement_deadline_at


@register_order("shortest", backfill=True)
@register_order("fair_shortest", fair_shares=True)
def rank_by_critical_path(job: WaitingJob) -> float:
    """Rank by the longest chain of run times."""
    return job.critical_path_s


@register_order("priority", backfill=True)
def rank_by_aged_priority(job: WaitingJob) -> float:
    """Rank by priority; a job gains one step with each `PRIORITY_AGING_STEP_S` of
    waiting.
    """
    return job.arrived + PRIORITY_AGING_STEP_S * job.priority


@register_order("strict_priority", backfill=True)
def rank_by_strict_priority(job: WaitingJob) -> float:
    """Rank by priority, and by arrival within it."""
    return STRICT_PRIORITY_STEP_S * job.priority + job.arrived


@register_order("shortest_kind", backfill=True)
@register_order("fair_shortest_kind", fair_shares=True)
def rank_by_mean_critical_path(job: WaitingJob) -> float:
    """Rank kinds of short jobs first, each kind by arrival.

    Explanation
    -----------
    A job of a usual run time of 0.4 s goes before one of 1.8 s that came up to
    `CRITICAL_PATH_WEIGHT` times 1.4 s earlier. The size of the single job does not
    count: its
    own kind's largest jobs wait no longer than the others.
    """
    return job.arrived + CRITICAL_PATH_WEIGHT * job.mean_critical_path_s
