"""Decisions on which job gets room first, as policies that can be compared.

Load pattern: arrivals above capacity for seconds, in kinds whose jobs differ
hundredfold in work and in the time that they can wait.
"""

from collections.abc import Callable
from typing import NamedTuple

from hawthorntrack.state.registry import Registry

USUAL_ORDER = "fair_oldest"
PRIORITY_S = 1_000.0  # more than any job waits
AGING_PER_S = 0.64  # the share of its run time that a job can wait at a stretch of 1.6
AGING_S = 0.1  # waiting that makes up for one step of priority


class WaitingJob(NamedTuple):
    """A job with tasks that wait for room.

    Attributes
    ----------
    begun : bool
        Whether one of its tasks has been placed; the others hold that room up.
    priority : int
        Of its queue; 0 comes first.
    arrived, patient_until : float
        When it came, and when it is refused unless it has begun; in seconds.
    chain_s : float
        Declared run time of its longest chain of steps, in seconds.
    usual_chain_s : float
        The same, as a mean of its queue's jobs of late.
    """

    begun: bool
    priority: int
    arrived: float
    patient_until: float
    chain_s: float
    usual_chain_s: float


class WaitingOrder(NamedTuple):
    """An order of waiting jobs.

    Attributes
    ----------
    rank : callable
        Returns what jobs are sorted by, lowest first; begun ones go before.
    shared : bool
        Whether queues get equal shares of capacity. Otherwise they form one line.
    passes : bool
        Whether a job that finds no room lets those behind it in its line go first.
    """

    rank: Callable[[WaitingJob], float]
    shared: bool = False
    passes: bool = False

    def key(self, job: WaitingJob) -> tuple[bool, float]:
        """Return the sort key of a job."""
        return (not job.begun, self.rank(job))


waiting_orders: Registry[WaitingOrder] = Registry("order of waiting")


def waiting_order(name: str, shared: bool = False, passes: bool = False) -> Callable:
    """Register a ranking function as an order of waiting."""

    def file(rank: Callable[[WaitingJob], float]) -> Callable:
        waiting_orders.register(name)(WaitingOrder(rank, shared, passes))
        return rank

    return file


@waiting_order("fair_oldest", shared=True)
@waiting_order("oldest")
@waiting_order("oldest_passed", passes=True)
def rank_by_arrival(job: WaitingJob) -> float:
    """Rank by time of arrival."""
    return job.arrived


@waiting_order("fair_slack", shared=True)
@waiting_order("least_slack", passes=True)
def rank_by_slack(job: WaitingJob) -> float:
    """Rank by the time until which the job can wait."""
    return job.patient_until


@waiting_order("shortest", passes=True)
@waiting_order("fair_shortest", shared=True)
def rank_by_chain(job: WaitingJob) -> float:
    """Rank by the longest chain of run times."""
    return job.chain_s


@waiting_order("priority", passes=True)
def rank_by_priority(job: WaitingJob) -> float:
    """Rank by priority; a job gains one step with each `AGING_S` of waiting."""
    return job.arrived + AGING_S * job.priority


@waiting_order("strict_priority", passes=True)
def rank_by_priority_first(job: WaitingJob) -> float:
    """Rank by priority, and by arrival within it."""
    return PRIORITY_S * job.priority + job.arrived


@waiting_order("shortest_kind", passes=True)
@waiting_order("fair_shortest_kind", shared=True)
def rank_by_usual_chain(job: WaitingJob) -> float:
    """Rank kinds of short jobs first, each kind by arrival.

    Explanation
    -----------
    A job of a usual run time of 0.4 s goes before one of 1.8 s that came up to
    `AGING_PER_S` times 1.4 s earlier. The size of the single job does not count: its
    own kind's largest jobs wait no longer than the others.
    """
    return job.arrived + AGING_PER_S * job.usual_chain_s
