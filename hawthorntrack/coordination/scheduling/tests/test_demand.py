"""Tests of the decisions on which guards are told of which waiting tasks."""

import asyncio

import pytest

from hawthorntrack.coordination.job_progress import Job
from hawthorntrack.coordination.scheduling.demand import (
    MIN_GUARDS_TO_ASK,
    MIN_REPORT_INTERVAL_S,
    REPORT_REPETITION_S,
    Backlog,
    DemandReports,
    DemandView,
    JobDemand,
    TaskGroup,
    demands_for,
    divide_work,
    guards_to_ask,
    job_demand,
    queue_demand,
)
from hawthorntrack.coordination.target_selection import TargetCandidate
from hawthorntrack.protocol.codec import codecs
from hawthorntrack.protocol.messages import Envelope
from hawthorntrack.protocol.run_messages import QueueWait, ReportDemand, TargetStatus
from hawthorntrack.state.catalogue import Queue
from hawthorntrack.state.plans import JobPlan, StepSpec
from hawthorntrack.state.resources import NO_RESOURCES, Resources
from hawthorntrack.state.values import NO_INCARNATION

NEED = Resources(4_000, 64)
CAPACITY = Resources(64_000, 32_768)
NOW = 1_000.0
ROUNDING_S = 1e-6
MEDIAN_SLOWNESS = 1.0


def waiting(key="a", queue="small", priority=1, waited_s=0.0, avoid=(), **changes):
    """Return what waits of a job with one step."""
    step = StepSpec(2, NEED, 0.4)._replace(**changes)
    loop = asyncio.new_event_loop()
    job = Job(
        JobPlan(key, "", (step,)),
        Queue(queue, "", "", "visits", 0.06, priority, 2, 1.6),
        loop.create_future(),
        NOW - waited_s,
        9.0,
    )
    loop.close()
    for task in job.waiting():
        task.avoid = frozenset(avoid)
    return job_demand(job, job.waiting(), (False, job.arrived))


def target(number, free=NO_RESOURCES, **changes):
    status = TargetStatus("ready", "visits", "z", f"t{number}", ("r1",), CAPACITY)
    return TargetCandidate(f"guard-{number}", status._replace(**changes), free)


def view(jobs, targets):
    return DemandView(jobs, targets, MEDIAN_SLOWNESS, NOW)


def demand_at(candidate, *jobs):
    """Return the tasks of each queue that could start at a target."""
    demands = demands_for(jobs, candidate, MEDIAN_SLOWNESS, NOW)
    return {demand.queue: demand.tasks for demand in demands}


@pytest.mark.parametrize(
    ("job", "candidate", "tasks"),
    [
        (waiting(), target(1), 2),
        (waiting(label="r1"), target(1), 2),
        (waiting(label="gpu"), target(1), 0),
        (waiting(need=Resources(65_000, 64)), target(1), 0),
        (waiting(avoid=["guard-1"]), target(1), 0),
        (waiting(avoid=["guard-1"]), target(2), 2),
        (waiting(), target(1, service="other"), 0),
        (waiting(), target(1, slowness=7.0), 0),
        (waiting(waited_s=0.27), target(1, slowness=7.0), 2),
    ],
)
def test_only_tasks_that_could_start_at_a_guard_are_reported(job, candidate, tasks):
    """An offer for any other task would be returned, and hold capacity meanwhile."""
    assert demand_at(candidate, job) == ({"small": tasks} if tasks else {})


def test_demand_states_the_oldest_job_and_the_smallest_task():
    old = waiting("a", waited_s=0.2, need=Resources(6_000, 64), estimate_s=0.5)
    new = waiting("b", waited_s=0.1, need=Resources(3_000, 128), count=3)
    urgent = waiting("c", queue="quick", priority=0)
    first, second = demands_for([new, old, urgent], target(1), MEDIAN_SLOWNESS, NOW)
    assert (first.queue, second.queue) == ("quick", "small")
    assert (second.waited_ms, second.tasks, second.run_ms) == (200, 5, 500)
    assert second.first == (6_000, 64, 0)
    assert second.smallest == (3_000, 64, 0)
    assert (second.shortest_run_ms, second.work_ms) == (400, 2 * 3_000 + 3 * 1_200)


def test_work_is_divided_among_the_guards_that_are_told():
    demands = demands_for([waiting()], target(1), MEDIAN_SLOWNESS, NOW)
    divided = divide_work({"guard-1": demands, "guard-2": demands})
    assert [at[0].work_ms for at in divided.values()] == [1_600, 1_600]


@pytest.mark.parametrize(("tasks", "asked"), [(1, 4), (3, 6), (40, 20)])
def test_twice_as_many_guards_as_tasks_are_asked(tasks, asked):
    """With all guards asked for each task, messages would grow with the site."""
    jobs = [waiting(count=tasks)]
    assert len(guards_to_ask(view(jobs, map(target, range(20))), (), False)) == asked


def test_guards_with_room_and_short_waits_are_asked_first_and_then_kept():
    targets = [target(n, queue_waits=(QueueWait("small", 90),)) for n in range(20)]
    targets[3:7] = [target(n, free=CAPACITY) for n in range(3, 7)]
    asked = guards_to_ask(view([waiting(count=1)], targets), (), False)
    assert sorted(asked) == [f"guard-{n}" for n in range(3, 7)]
    later = guards_to_ask(
        view([waiting(count=1)], map(target, range(20))), asked, False
    )
    assert sorted(later) == sorted(asked)


def test_guard_that_reports_room_is_asked_while_the_others_are_full():
    """Jobs were refused although a target that they had not asked had become free."""
    targets = [target(n) for n in range(20)]
    asked = guards_to_ask(view([waiting()], targets), (), False)
    targets[19] = target(19, free=CAPACITY)
    assert set(guards_to_ask(view([waiting()], targets), asked, False)) == {
        *asked,
        "guard-19",
    }


def test_slow_targets_are_not_asked_at_once_while_fast_ones_have_room():
    """Of a job's tasks, those that got the offers of slow targets were late."""
    targets = [target(n, CAPACITY, slowness=(1.7, 0.7)[n % 2]) for n in range(20)]
    jobs = [waiting(count=8)]
    asked = guards_to_ask(view(jobs, targets), (), True)
    assert len(asked) == MIN_GUARDS_TO_ASK
    assert all(int(guard.removeprefix("guard-")) % 2 for guard in asked)
    assert len(guards_to_ask(view(jobs, targets), (), False)) == 16


def test_guards_with_the_label_are_asked_even_if_others_seem_better():
    targets = [target(n, free=CAPACITY) for n in range(20)]
    targets[7] = target(7, labels=("gpu",))
    jobs = [waiting("a", count=1), waiting("b", count=1, label="gpu")]
    assert "guard-7" in guards_to_ask(view(jobs, targets), (), False)


def test_task_that_failed_at_all_guards_is_reported_to_them_again():
    """Otherwise it would wait although a target is free."""
    job = waiting(avoid=["guard-1", "guard-2"])
    targets = [target(1), target(2)]
    assert len(guards_to_ask(view([job], targets), (), False)) == 2
    assert len(guards_to_ask(view([job], [*targets, target(3)]), (), False)) == 1


@pytest.fixture
def reported():
    """Return reports of which one went to a guard, and the demand in it."""
    reports = DemandReports()
    demands = demands_for([waiting()], target(1), MEDIAN_SLOWNESS, NOW)
    reports.record("guard-1", demands, NOW)
    return reports, demands


@pytest.mark.parametrize(
    ("after_s", "change", "due"),
    [
        (MIN_REPORT_INTERVAL_S, {"waited_ms": 20, "tasks": 3}, False),
        (REPORT_REPETITION_S, {"waited_ms": 250}, True),
        (MIN_REPORT_INTERVAL_S / 2, {"tasks": 4}, False),
        (MIN_REPORT_INTERVAL_S, {"tasks": 4}, True),
        (MIN_REPORT_INTERVAL_S, {"waited_ms": 90}, True),
        (MIN_REPORT_INTERVAL_S, {"smallest": NEED._replace(cpu_m=3_000)}, True),
        (0.0, {"queue": "quick"}, True),
    ],
)
def test_reports_are_limited_in_rate_and_repeated(reported, after_s, change, due):
    """Under overload the demand changes hundreds of times a second."""
    reports, (demand,) = reported
    wanted = {"guard-1": (demand._replace(**change),)}
    assert bool(reports.due(wanted, NOW + after_s + ROUNDING_S)) == due


def test_demand_that_begins_or_ends_is_reported_at_once(reported):
    reports, demands = reported
    due = reports.due({"guard-1": (), "guard-2": demands}, NOW)
    assert due == {"guard-1": (), "guard-2": demands}


def test_backlog_orders_the_jobs_of_a_queue_and_counts_their_tasks():
    backlog = Backlog()
    old, new = waiting("a", waited_s=0.2), waiting("b", waited_s=0.1)
    for job in (new, old, waiting("c", queue="quick")):
        backlog.put(job, NOW)
    assert [job.job for job in backlog.in_order("small")] == ["a", "b"]
    backlog.put(old._replace(groups=old.groups[:0]), NOW + 1)
    backlog.discard("c")
    assert backlog.tasks() == {"small": 2}
    assert backlog.longest_wait_s(NOW + 1) == 1.0


@pytest.mark.parametrize("estimate_s", [1e13, 0.0])
def test_absurd_run_times_leave_a_report_readable(estimate_s):
    """A guard dropped the whole report, so no queue of the instance had demand."""
    step = StepSpec(32, Resources(96_000, 64), estimate_s)
    group = TaskGroup(step, 32, frozenset())
    demand = JobDemand("a", "long", "visits", -1, (0,), 10.0, 1.0, (group,))
    told = ReportDemand((queue_demand("long", [(demand, group)], 10.5),))
    codec, envelope = codecs["msgpack"], Envelope(NO_INCARNATION, 1, told)
    assert codec.decode(codec.encode(envelope)) == envelope
