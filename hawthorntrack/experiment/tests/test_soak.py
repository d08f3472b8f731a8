"""A short seeded soak of real processes, and what its checks catch."""

import asyncio
import random
from pathlib import Path

import pytest

from hawthorntrack.experiment.model_target import ModelTarget
from hawthorntrack.experiment.soak import Ledger, Soak
from hawthorntrack.experiment.soak_faults import soak_faults
from hawthorntrack.experiment.soak_site import SoakSite
from hawthorntrack.protocol.target_messages import StartOrder, TargetAddress
from hawthorntrack.state.plans import JobPlan, RunName, StepSpec, TaskName
from hawthorntrack.state.resources import Resources

JOB = "5c0e7a21d94b36f8"
RUN = RunName(TaskName(JOB, 0, 0, 0), 1)
# Seeds and faults of the short run, and every case that ever failed, with its cause.
CASES = (
    (1, ()),
    # A start sent before a crash showed ran on in the new life.
    (24, ("targets_crash",)),
    # Targets that had lost two answers were never asked again.
    (25, ("targets_crash",)),
)


@pytest.fixture
def ledger(run) -> Ledger:
    """Return a ledger of a site that has not been started."""
    made = Ledger()
    made.site = SoakSite(1, 1, 1, 0, made)
    made.asked.add(JOB)
    return made


@pytest.fixture
def target(run, ledger):
    """Return a function that makes a target whose runs the ledger sees."""

    def make(name):
        async def born():
            room = Resources(16_000, 32_768)
            chance = random.Random(1)
            ends = (ledger.run_began, ledger.run_ended)
            return ModelTarget(name, "recife", room, 1.0, chance, *ends)

        return run(born())

    return make


def test_start_to_an_earlier_life_of_a_target_is_carried_out_by_the_next(run, target):
    one = target("t1")
    start = StartOrder(TargetAddress(one.incarnation, "t1:1"), RUN, "0.1", 60_000, 1)

    async def crash_and_carry_out():
        one.be_born()
        one.carry_out(start, False)

    run(crash_and_carry_out())
    assert list(one.runs) == [RUN.task]


def test_second_run_of_a_task_is_a_breach(ledger, target):
    ledger.run_began(target("t1"), RUN)
    assert ledger.violations == []
    ledger.run_began(target("t2"), RUN._replace(run=2))
    assert len(ledger.violations) == 1


def test_run_after_the_end_of_the_first_is_none(ledger, target):
    one = target("t1")
    ledger.run_began(one, RUN)
    ledger.run_ended(one, RUN, "stopped")
    ledger.run_began(target("t2"), RUN._replace(run=2))
    assert ledger.violations == []


def test_refusal_of_a_job_that_started_is_a_breach(ledger, target):
    ledger.run_began(target("t1"), RUN)
    ledger.refuse(JOB)
    assert len(ledger.violations) == 1


def test_start_of_a_refused_job_is_a_breach(ledger, target):
    ledger.refuse(JOB)
    ledger.run_began(target("t1"), RUN)
    assert len(ledger.violations) == 1


def test_answer_before_the_last_task_is_a_breach(ledger, target):
    one = target("t1")
    ledger.run_began(one, RUN)
    ledger.run_ended(one, RUN, "done")
    need = Resources(1_600, 64)
    ledger.complete(JobPlan(JOB, "0.1", (StepSpec(1, need, 0.1),)))
    assert ledger.violations == []
    ledger.complete(JobPlan(JOB, "0.1", (StepSpec(2, need, 0.1),)))
    assert len(ledger.violations) == 1


def test_start_in_a_zone_long_out_of_service_is_a_breach(ledger, target):
    ledger.site.zones_out["recife"] = ledger.site.now() - 11
    ledger.run_began(target("t1"), RUN)
    assert len(ledger.violations) == 1


def test_there_are_faults_of_processes_lines_store_and_targets():
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
