"""Tests of the orders of waiting jobs, and of the default order under overload."""

import pytest

from hawthorntrack.coordination.queue_ordering import (
    DEFAULT_ORDER,
    QueueOrder,
    WaitingJob,
    queue_orders,
)
from hawthorntrack.experiment.orders import play_order

LOAD_FACTOR = 2.2
# What callers require on a day of high load: of each queue's jobs, the share answered
# in time; of the largest jobs of a queue, the share served relative to all its jobs.
MIN_QUEUE_IN_TIME_SHARE = 0.4
MIN_LARGEST_JOBS_RATIO = 0.5


@pytest.fixture
def job() -> WaitingJob:
    """Return a waiting job of which no task has been placed."""
    return WaitingJob(False, 1, 10.0, 10.3, 0.4, 0.5)


@pytest.mark.parametrize("name", queue_orders.names())
def test_job_that_has_begun_comes_before_all_others(job, name):
    order = queue_orders[name]
    begun_job = job._replace(
        begun=True, arrived=99.0, placement_deadline_at=99.9, priority=2
    )
    assert order.key(begun_job) < order.key(job)


@pytest.mark.parametrize(
    ("name", "change"),
    [
        ("fair_oldest", {"arrived": 9.9}),
        ("least_slack", {"placement_deadline_at": 10.2}),
        ("shortest", {"critical_path_s": 0.3}),
        ("shortest_kind", {"mean_critical_path_s": 0.4}),
        ("strict_priority", {"priority": 0, "arrived": 10.9}),
        ("priority", {"priority": 0}),
    ],
)
def test_order_ranks_the_preferred_job_first(job, name, change):
    order: QueueOrder = queue_orders[name]
    assert order.key(job._replace(**change)) < order.key(job)


def test_job_that_waited_longer_comes_before_a_higher_priority(job):
    urgent = job._replace(priority=0, arrived=10.2)
    assert queue_orders["priority"].key(job) < queue_orders["priority"].key(urgent)


def test_default_order_starves_no_queue_and_no_large_jobs():
    """Load pattern: twice the capacity for ten seconds, with callers that retry."""
    result = play_order(DEFAULT_ORDER, LOAD_FACTOR, 10.0, seed=1)
    assert min(result.by_queue.values()) >= MIN_QUEUE_IN_TIME_SHARE
    assert result.largest >= MIN_LARGEST_JOBS_RATIO
