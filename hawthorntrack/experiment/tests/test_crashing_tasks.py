"""Tasks that crash each target that starts them, beside the usual load of a site."""

import asyncio
from collections import Counter

import pytest

from hawthorntrack.experiment.model_site import (
    RESEND_DELAY_S,
    SMALL_SITE,
    ModelSite,
)
from hawthorntrack.state.plans import JobPlan, StepSpec, TaskName
from hawthorntrack.state.resources import Resources
from hawthorntrack.state.verdicts import Abandoned, JobFailed

NEED = Resources(1_600, 64)
WIDTH = 8
TASK_S = 0.12
PATIENCE_S = 25.0
# Targets have announced themselves, and all guards have been heard.
STARTUP_S = 4.0
LOAD_SHARE = 0.5
CRASHING_JOBS_PER_S = 1.7
CRASHES_LAST_S = 10.0
# The users' lower limit on the share served, for a day with faults.
MIN_SHARE_SERVED_UNDER_FAULTS = 0.4
# The users' limit: three starts more, after three targets have crashed under a task.
CRASHES_BEFORE_LIMIT = 3
STARTS_OVER_LIMIT = 3


class CrashSite(ModelSite):
    """A model site that counts, by task, the crashes and the starts after three.

    Attributes
    ----------
    crashes : Counter
        Targets that crashed while they ran a task.
    starts_over_limit : Counter
        Starts of a task after `CRASHES_BEFORE_LIMIT` targets had crashed under it.
    failed_ordinary_jobs : list of str
        Jobs that crash nothing and were answered as failed.
    """

    def __init__(self, seed):
        super().__init__(SMALL_SITE, seed)
        self.crashes = Counter()
        self.starts_over_limit = Counter()
        self.failed_ordinary_jobs = []
        self.crashing_tasks = []

    def start_entry(self, address, zone):
        """Start an entry instance, and link it to the others."""
        process = super().start_entry(address, zone)
        for other in self.entries:
            if other is not process:
                self.link(other, process)
        return process

    def on_run_started(self, target, name):
        super().on_run_started(target, name)
        if self.crashes[name.task] >= CRASHES_BEFORE_LIMIT:
            self.starts_over_limit[name.task] += 1

    def on_run_ended(self, target, name, how):
        super().on_run_ended(target, name, how)
        self.crashes[name.task] += how == "crashed"

    async def submit_until_answered(self, kind, plan):
        verdict = await super().submit_until_answered(kind, plan)
        if isinstance(verdict, JobFailed):
            self.failed_ordinary_jobs.append(plan.key)
        return verdict

    def new_crashing_job(self):
        """Return a job whose first task crashes each target that starts it."""
        key = f"{next(self.job_numbers):016x}"
        for target in self.targets:
            target.needs[key] = NEED
            target.crashing_tasks.add(TaskName(key, 0, 0, 0))
        self.crashing_tasks.append(TaskName(key, 0, 0, 0))
        return JobPlan(key, f"{TASK_S}", (StepSpec(WIDTH, NEED, TASK_S),))

    def most_starts_over_limit(self):
        """Return the most starts over the limit of a task that crashes targets."""
        return max(self.starts_over_limit[task] for task in self.crashing_tasks)

    async def submit_patiently(self, plan):
        """Submit a job until it is answered for good; return the verdict."""
        until = self.clock() + PATIENCE_S
        verdict = Abandoned("no_answer")
        while isinstance(verdict, Abandoned) and self.clock() < until:
            verdict = await self.submit_once(self.site.kinds[0], plan, until)
            if isinstance(verdict, Abandoned):
                await asyncio.sleep(RESEND_DELAY_S)
        return verdict


@pytest.fixture(params=[1, 2, 3])
def site(request):
    """Return a site whose targets return under another id after a crash."""
    return CrashSite(request.param)


async def play(site, faults, seconds=PATIENCE_S):
    """Play a load on the site beside a coroutine function of faults."""

    async def begin(model):
        for target in model.targets:
            target.renamed_by_crash = True
        await asyncio.sleep(STARTUP_S)
        await faults(model)

    return await site.play(seconds + STARTUP_S, begin, lambda at: LOAD_SHARE)


def test_task_that_crashes_targets_is_not_started_without_limit(run, site):
    verdicts = []

    async def submit_one(model):
        verdicts.append(await model.submit_patiently(model.new_crashing_job()))

    run(play(site, submit_one))
    assert site.most_starts_over_limit() < STARTS_OVER_LIMIT
    assert [type(verdict) for verdict in verdicts] == [JobFailed]


async def kill_owner_after_each_crash(site, plan):
    """Kill the entry instance that has a job, whenever a target crashed under it."""
    task, crashes = TaskName(plan.key, 0, 0, 0), 0
    while True:
        await asyncio.sleep(0.02)
        if site.crashes[task] > crashes:
            crashes = site.crashes[task]
            by_address = {entry.me.address: entry for entry in site.entries}
            for number in range(len(site.site.zones)):
                if plan.key in by_address[f"entry-{number}:1"].actor.jobs:
                    site.restart_entry(number, 0.5)


def test_crashes_under_a_task_count_although_its_entry_instances_are_killed(run, site):
    verdicts = []

    async def submit_one(model):
        plan = model.new_crashing_job()
        model.spawn(kill_owner_after_each_crash(model, plan))
        verdicts.append(await model.submit_patiently(plan))

    run(play(site, submit_one))
    assert site.most_starts_over_limit() < STARTS_OVER_LIMIT
    assert [type(verdict) for verdict in verdicts] == [JobFailed]


async def submit_crashing_jobs(site):
    """Submit jobs that crash targets, a tenth of one kind's, for some seconds."""
    until = site.clock() + CRASHES_LAST_S
    while site.clock() < until:
        await asyncio.sleep(site.rng.expovariate(CRASHING_JOBS_PER_S))
        site.spawn(site.submit_patiently(site.new_crashing_job()))


def test_jobs_beside_tasks_that_crash_targets_are_served_and_not_given_up(run, site):
    """Seen: most jobs whose runs were lost stood beside the one that was the cause."""
    run(play(site, submit_crashing_jobs, CRASHES_LAST_S + 4))
    assert site.most_starts_over_limit() < STARTS_OVER_LIMIT
    assert site.failed_ordinary_jobs == []
    asked = [item.answer for item in site.answers]
    assert asked.count("in_time") >= MIN_SHARE_SERVED_UNDER_FAULTS * len(asked)
