"""In which order jobs get room, and what the order in force must keep."""

import pytest

from hawthorntrack.coordination.queue_ordering import (
    DEFAULT_ORDER,
    QueueOrder,
    WaitingJob,
    queue_orders,
)
from hawthorntrack.experiment.orders import play_order

OVERLOAD = 2.2
# The users' floor for a kind on a day of high load, and for its largest jobs.
KIND_LEAST = 0.4
LARGEST_LEAST = 0.5


@pytest.fixture
def job() -> WaitingJob:
    """Return a job that has just come."""
    return WaitingJob(False, 1, 10.0, 10.3, 0.4, 0.5)


@pytest.mark.parametrize("name", queue_orders.names())
def test_job_that_has_begun_goes_before_all_others(job, name):
    order = queue_orders[name]
    late = job._replace(
        begun=True, arrived=99.0, placement_deadline_at=99.9, priority=2
    )
    assert order.key(late) < order.key(job)


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
def test_order_prefers(job, name, change):
    order: QueueOrder = queue_orders[name]
    assert order.key(job._replace(**change)) < order.key(job)


def test_priority_gives_way_to_a_job_that_waited(job):
    urgent = job._replace(priority=0, arrived=10.2)
    assert queue_orders["priority"].key(job) < queue_orders["priority"].key(urgent)


def test_order_in_force_starves_no_kind_and_no_size():
    """Load pattern: twice what there is room for, for ten seconds, retries on."""
    result = play_order(DEFAULT_ORDER, OVERLOAD, 10.0, seed=1)
    assert min(result.by_queue.values()) >= KIND_LEAST
    assert result.largest >= LARGEST_LEAST
