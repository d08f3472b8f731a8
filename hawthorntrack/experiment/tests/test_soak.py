"""Tests of the checks of a soak, and short seeded soaks of real processes."""

import asyncio
import random
from pathlib import Path

import pytest

from hawthorntrack.experiment.model_target import ModelTarget
from hawthorntrack.experiment.soak import PromiseChecker, Soak
from hawthorntrack.experiment.soak_faults import soak_faults
from hawthorntrack.experiment.soak_site import SoakSite
from hawthorntrack.protocol.target_messages import StartOrder, TargetAddress
from hawthorntrack.state.plans import JobPlan, RunName, StepSpec, TaskName
from hawthorntrack.state.resources import Resources

JOB = "5c0e7a21d94b36f8"
RUN = RunName(TaskName(JOB, 0, 0, 0), 1)
# The seed of the short run, and every seed and fault that ever failed, with its cause.
CASES = (
    (1, ()),
    # A start sent before a crash was detected ran in the target's new incarnation.
    (24, ("targets_crash",)),
    # Targets with two lost answers were never called again.
    (25, ("targets_crash",)),
    # Guards started tasks in a zone of which no entry instance knew that it was out.
    (3, ("zone_out_unseen",)),
)
# Links of each entry instance to the eight guards.
LINKS = 4
PARTIAL_SET_CASES = (
    # Links between processes fall silent without a reset, in one or both directions.
    (1, ("cut_peers", "one_way_peers", "deaf_peers")),
    # Entry instances and guards restart while runs are at work.
    (2, ("kill", "restart", "freeze")),
)


@pytest.fixture
def checker(run) -> PromiseChecker:
    """Return a checker for a site that has not been started."""
    made = PromiseChecker()
    made.site = SoakSite(1, 1, 1, 0, made)
    made.submitted.add(JOB)
    return made


@pytest.fixture
def target(run, checker):
    """Return a function that creates a target whose runs the checker observes."""

    def make(name):
        async def create():
            capacity = Resources(16_000, 32_768)
            rng = random.Random(1)
            callbacks = (checker.on_run_started, checker.on_run_ended)
            return ModelTarget(name, "recife", capacity, 1.0, rng, *callbacks)

        return run(create())

    return make


def test_start_sent_to_a_previous_incarnation_runs_in_the_next_one(run, target):
    one = target("t1")
    start = StartOrder(TargetAddress(one.incarnation, "t1:1"), RUN, "0.1", 60_000, 1)

    async def restart_and_execute():
        one.restart()
        one.execute(start, False)

    run(restart_and_execute())
    assert list(one.runs) == [RUN.task]


def test_two_concurrent_runs_of_a_task_are_a_violation(checker, target):
    checker.on_run_started(target("t1"), RUN)
    assert checker.violations == []
    checker.on_run_started(target("t2"), RUN._replace(run=2))
    assert len(checker.violations) == 1


def test_run_after_the_end_of_the_first_is_no_violation(checker, target):
    one = target("t1")
    checker.on_run_started(one, RUN)
    checker.on_run_ended(one, RUN, "stopped")
    checker.on_run_started(target("t2"), RUN._replace(run=2))
    assert checker.violations == []


def test_refusal_of_a_job_that_started_is_a_violation(checker, target):
    checker.on_run_started(target("t1"), RUN)
    checker.record_refusal(JOB)
    assert len(checker.violations) == 1


def test_start_of_a_refused_job_is_a_violation(checker, target):
    checker.record_refusal(JOB)
    checker.on_run_started(target("t1"), RUN)
    assert len(checker.violations) == 1


def test_completion_before_the_last_task_has_ended_is_a_violation(checker, target):
    one = target("t1")
    checker.on_run_started(one, RUN)
    checker.on_run_ended(one, RUN, "done")
    need = Resources(1_600, 64)
    checker.record_completion(JobPlan(JOB, "0.1", (StepSpec(1, need, 0.1),)))
    assert checker.violations == []
    checker.record_completion(JobPlan(JOB, "0.1", (StepSpec(2, need, 0.1),)))
    assert len(checker.violations) == 1


def test_start_in_a_zone_long_out_of_service_is_a_violation(checker, target):
    checker.site.zones_out["recife"] = checker.site.now() - 11
    checker.on_run_started(target("t1"), RUN)
    assert len(checker.violations) == 1


def test_soak_faults_cover_processes_relays_store_and_targets():
    names = soak_faults.names()
    kinds = ("kill", "freeze", "restart", "cut_", "reset_", "store_", "targets_")
    assert all(any(name.startswith(kind) for name in names) for kind in kinds)


@pytest.mark.timeout(120)
@pytest.mark.xdist_group("soak")
@pytest.mark.parametrize(("seed", "faults"), CASES)
def test_promises_are_kept_through_a_short_soak(base_port, seed, faults):
    block = (base_port // 1_000) % 40
    report = asyncio.run(Soak(seed, 6.0, block=block, callers=48, faults=faults).run())
    assert report.violations == []
    assert report.answers.get("completed", 0) > 0
    assert Path(report.folder).exists()


@pytest.mark.timeout(120)
@pytest.mark.xdist_group("soak")
@pytest.mark.parametrize(("seed", "faults"), PARTIAL_SET_CASES)
def test_promises_are_kept_with_partial_working_sets(base_port, seed, faults):
    """Callers resubmit to instances without links to the guards of their runs."""
    block = (base_port // 1_000) % 40
    soak = Soak(
        seed, 6.0, block=block, callers=16, faults=faults, max_guard_links=LINKS
    )
    report = asyncio.run(soak.run())
    assert report.violations == []
    assert report.answers.get("completed", 0) > 0
