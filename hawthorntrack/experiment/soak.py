"""Randomized soak test: real processes under load and faults, checked throughout."""

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp

from hawthorntrack.experiment.model_site import RESEND_DELAY_S, SMALL_SITE, Kind
from hawthorntrack.experiment.model_target import ModelTarget
from hawthorntrack.experiment.soak_faults import inject_faults, soak_faults
from hawthorntrack.experiment.soak_site import HOST, SoakNode, SoakSite
from hawthorntrack.platform.entry_http import DEADLINE_HEADER
from hawthorntrack.platform.standins import job_body
from hawthorntrack.state.node_settings import MAX_GUARD_LINKS
from hawthorntrack.state.plans import JobPlan, RunName, StepSpec, TaskName
from hawthorntrack.state.resources import Resources

CALLERS = 24
MEAN_THINK_TIME_S = 1.5
# A response may arrive this long after its deadline, because of timer ticks and
# because the machine is busy.
RESPONSE_SLACK_S = 0.7
STALL_THRESHOLD_S = 0.2  # must stay below RESPONSE_SLACK_S
POLL_INTERVAL_S = 0.05
FAULT_FREE_S = 3.0  # time limits hold only after this long without a fault
# Both limits count from the store's acknowledgement of the change.
CONFIG_APPLIED_WITHIN_S = 2.0
ZONE_DRAINED_WITHIN_S = 5.0  # no run starts in the zone after this
EXTRA_UNDER_FAULTS_S = 5.0  # added to both limits during other faults
# Jobs submitted this long after the last fault must be served to MIN_SERVED_SHARE.
RECOVERY_TIME_S = 12.0
MIN_SERVED_SHARE = 0.25
FAULT_FREE_TAIL_S = RECOVERY_TIME_S + 4.0
FINAL_STATUSES = {200, 400, 404, 413, 429, 503}


class SoakReport(NamedTuple):
    """Result of one soak.

    Attributes
    ----------
    violations : list of str
        Broken guarantees, each with the time since the start of the soak.
    answers : dict of str to int
        Number of jobs by their final answer.
    faults : list of str
        The injected faults, each with the time since the start of the soak.
    stalls : int
        How often the process of the soak itself got no processor time, so that it read
        no responses.
    folder : Path
        Folder with the logs and settings of the processes.
    """

    seed: int
    violations: list[str]
    answers: dict[str, int]
    faults: list[str]
    stalls: int
    folder: Path


class PromiseChecker:
    """Checks what callers and targets observe against the system's guarantees.

    Attributes
    ----------
    running : dict of TaskName to set of str
        Targets on which a run of the task is in progress.
    done : dict of str to set of TaskName
        Tasks of each job that have completed.
    refused : set of str
        Jobs of which every submission was refused.
    """

    def __init__(self) -> None:
        self.site: SoakSite | None = None
        self.running: dict[TaskName, set[str]] = defaultdict(set)
        self.done: dict[str, set[TaskName]] = defaultdict(set)
        self.started: set[str] = set()
        self.submitted: set[str] = set()
        self.refused: set[str] = set()
        self.violations: list[str] = []

    def record_violation(self, text: str) -> None:
        """Record a broken guarantee."""
        at_s = self.site.now() - self.site.started_at
        self.violations.append(f"{at_s:.2f} s: {text}")

    def on_run_started(self, target: ModelTarget, name: RunName) -> None:
        """Check a run that starts."""
        job = name.task.job
        others = self.running[name.task]
        if others:
            self.record_violation(
                f"{name} started on {target.name} beside {sorted(others)}"
            )
        others.add(target.name)
        if job not in self.submitted:
            self.record_violation(f"{name} started, but its job was not submitted")
        if job in self.refused:
            self.record_violation(f"{name} started after its job was refused")
        self.started.add(job)
        since = self.site.zones_out.get(target.zone)
        limit = ZONE_DRAINED_WITHIN_S + EXTRA_UNDER_FAULTS_S
        if since is not None and self.site.now() - since > limit:
            self.record_violation(
                f"{name} started in a zone out of service for over {limit} s"
            )

    def on_run_ended(self, target: ModelTarget, name: RunName, how: str) -> None:
        """Record the end of a run."""
        self.running[name.task].discard(target.name)
        if how == "done":
            self.done[name.task.job].add(name.task)

    def record_refusal(self, key: str) -> None:
        """Check a job whose caller gave up after refusals only."""
        self.refused.add(key)
        if key in self.started:
            self.record_violation(f"job {key} was refused but had started")

    def record_completion(self, plan: JobPlan) -> None:
        """Check a job that was reported to its caller as completed."""
        expected = sum(step.count for step in plan.steps)
        found = len(self.done[plan.key])
        if found != expected:
            self.record_violation(
                f"job {plan.key}: complete with {found} of {expected} tasks"
            )


class Soak:
    """One soak of a site.

    Parameters
    ----------
    seed : int
        Seed of the faults and the load.
    seconds : float
        Time during which faults are injected; a fault-free period follows.
    entries, guards, block
        As for `SoakSite`.
    callers : int
        Number of callers that submit jobs.
    faults : sequence of str
        Names of the faults to inject; all registered faults if empty.
    max_guard_links : int
        Largest number of guards that an entry instance keeps links to.
    share_room : bool
        As for `SoakSite`.
    """

    def __init__(
        self,
        seed: int,
        seconds: float = 12.0,
        entries: int = 3,
        guards: int = 8,
        block: int = 0,
        callers: int = CALLERS,
        faults: Sequence[str] = (),
        max_guard_links: int = MAX_GUARD_LINKS,
        share_room: bool = True,
    ) -> None:
        self.seed = seed
        self.faults = faults or soak_faults.names()
        self.seconds = seconds
        self.callers = callers
        self.rng = random.Random(seed)
        self.checker = PromiseChecker()
        self.site = SoakSite(
            entries, guards, seed, block, self.checker, max_guard_links, share_room
        )
        self.checker.site = self.site
        self.site.queue_listener = self.on_queue_changed
        self.answers: Counter[str] = Counter()
        self.tail_answers: Counter[str] = Counter()
        self.tail_from = float("inf")
        self.submitting = True
        self.stalled_at = 0.0
        self.stalls = 0

    async def run(self) -> SoakReport:
        """Inject the faults, wait for recovery, and return the report."""
        faults: list[str] = []
        try:
            await self.site.start()
            calls = [asyncio.create_task(self.caller(n)) for n in range(self.callers)]
            self.site.run_in_background(self.watch_exits(), self.watch_stalls())
            until = self.site.now() + self.seconds
            faults = await inject_faults(self.site, self.rng, until, self.faults)
            await self.recover()
            self.submitting = False
            for call in await asyncio.gather(*calls, return_exceptions=True):
                if isinstance(call, BaseException):
                    self.checker.record_violation(
                        f"a caller of the soak failed: {call!r}"
                    )
            self.check_recovery()
            for name, code in (await self.site.stop()).items():
                self.checker.record_violation(f"{name} ended with code {code}")
        finally:
            await self.site.close()
        return SoakReport(
            self.seed,
            self.checker.violations,
            dict(self.answers),
            faults,
            self.stalls,
            self.site.folder,
        )

    async def recover(self) -> None:
        """Wait until all faults have ended, then for the fault-free period."""
        while any(node.disturbances for node in self.site.nodes.values()):
            await asyncio.sleep(0.1)
        for target in self.site.targets:
            target.fault = ""
        self.tail_from = self.site.now() + RECOVERY_TIME_S
        await asyncio.sleep(FAULT_FREE_TAIL_S)

    def check_recovery(self) -> None:
        """Check the share of jobs served after the recovery time."""
        submitted = sum(self.tail_answers.values())
        served = self.tail_answers["completed"]
        if served < MIN_SERVED_SHARE * submitted or not submitted:
            self.checker.record_violation(
                f"{served} of {submitted} jobs served after the faults"
            )

    async def watch_exits(self) -> None:
        """Check that processes exit only after a signal of this soak."""
        while True:
            for node in self.site.nodes.values():
                if not (node.alive or node.stop_requested):
                    self.checker.record_violation(f"{node.name} ended by itself")
                    node.stop_requested = True
            await asyncio.sleep(POLL_INTERVAL_S)

    async def watch_stalls(self) -> None:
        """Record when this process itself was stalled and read no responses."""
        while True:
            slept_from = self.site.now()
            await asyncio.sleep(POLL_INTERVAL_S)
            stall_s = self.site.now() - slept_from - POLL_INTERVAL_S
            if stall_s > STALL_THRESHOLD_S:
                self.stalled_at = self.site.now()
                self.stalls += 1

    def on_queue_changed(self, name: str, added: bool) -> None:
        """Check the change at each entry instance once its time limit has passed."""
        for node in self.site.role("entry"):
            self.site.run_in_background(self.check_queue(node, name, added))

    async def check_queue(self, node: SoakNode, name: str, added: bool) -> None:
        """Check that an entry instance applies a queue change within the limit."""
        written_at = self.site.now()
        await asyncio.sleep(CONFIG_APPLIED_WITHIN_S)
        fault_free = node.fault_free_since(written_at - FAULT_FREE_S)
        if not (
            fault_free and self.site.store_fault_free_since(written_at - FAULT_FREE_S)
        ):
            await asyncio.sleep(EXTRA_UNDER_FAULTS_S)
        since = self.site.now() - FAULT_FREE_S
        if not (
            node.fault_free_since(since) and self.site.store_fault_free_since(since)
        ):
            return
        url = f"http://{self.site.callers_address(node)}/{name}/"
        headers = {"Host": HOST}
        try:
            async with self.site.session.get(url, headers=headers) as response:
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return
        # A later change may have removed the queue again.
        superseded = added and name != self.site.extra_queue
        if not superseded and (status == 200) != added:
            self.checker.record_violation(
                f"{node.name} answers {status} for {name}, {added=}"
            )

    async def caller(self, number: int) -> None:
        """Submit jobs one after the other on a persistent connection."""
        rng = random.Random(f"{self.seed}/{number}")
        weights = [kind.per_s for kind in SMALL_SITE.kinds]
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            node: SoakNode | None = None
            while self.submitting:
                await asyncio.sleep(rng.expovariate(1 / MEAN_THINK_TIME_S))
                kind = rng.choices(SMALL_SITE.kinds, weights)[0]
                plan = self.plan(kind, rng)
                node = await self.submit_until_answered(session, node, kind, plan, rng)

    def plan(self, kind: Kind, rng: random.Random) -> JobPlan:
        """Return a random job of a kind."""
        key = f"{rng.getrandbits(64):016x}"
        work_s = kind.task_s * rng.lognormvariate(-0.08, 0.4)
        width = max(1, round(kind.width * rng.lognormvariate(-0.08, 0.4)))
        need = Resources(kind.cpu_m, 64)
        for target in self.site.targets:
            target.needs[key] = need
        self.checker.submitted.add(key)
        return JobPlan(key, f"{work_s}", (StepSpec(width, need, work_s),))

    async def submit_until_answered(
        self,
        session: aiohttp.ClientSession,
        node: SoakNode | None,
        kind: Kind,
        plan: JobPlan,
        rng: random.Random,
    ) -> SoakNode | None:
        """Submit a job until it has a final answer.

        Returns
        -------
        SoakNode or None
            The entry instance that the open connection leads to.
        """
        started_at = self.site.now()
        objective_s = SMALL_SITE.stretch * float(plan.payload)
        limit = started_at + 3 * (objective_s + SMALL_SITE.latency_target_s)
        statuses: list[int] = []
        while self.site.now() < limit:
            if node is None:
                entries = self.site.role("entry")
                ready = [entry for entry in entries if entry.in_rotation]
                node = rng.choice(ready or entries)
            status, state = await self.submit_once(session, node, kind, plan, limit)
            statuses.append(status)
            if status in FINAL_STATUSES:
                break
            if status == 0:
                node = None
            await asyncio.sleep(RESEND_DELAY_S)
        self.record_answer(plan, statuses, state, started_at)
        return node

    async def submit_once(
        self,
        session: aiohttp.ClientSession,
        node: SoakNode,
        kind: Kind,
        plan: JobPlan,
        limit: float,
    ) -> tuple[int, str]:
        """Send a job once; return the status (0 without a response) and job state."""
        sent_at = self.site.now()
        remaining_s = limit - sent_at
        url = f"http://{self.site.callers_address(node)}/{kind.queue}/{plan.key}"
        headers = {
            "Host": HOST,
            DEADLINE_HEADER: str(max(1, round(remaining_s * 1000))),
        }
        try:
            async with (
                asyncio.timeout(remaining_s + RESPONSE_SLACK_S),
                session.post(url, data=job_body(plan), headers=headers) as response,
            ):
                body: Any = await response.json()
                return response.status, str(body.get("state", ""))
        except TimeoutError:
            was_reading = self.stalled_at < sent_at
            if (
                was_reading
                and node.alive
                and node.fault_free_since(sent_at - FAULT_FREE_S)
            ):
                self.checker.record_violation(
                    f"{node.name} left job {plan.key} unanswered"
                )
            return 0, ""
        except (aiohttp.ClientError, OSError):
            return 0, ""

    def record_answer(
        self, plan: JobPlan, statuses: list[int], state: str, started_at: float
    ) -> None:
        """Count the final answer of a job, and check it."""
        if statuses and all(status in (429, 503) for status in statuses):
            answer = "refused"
            self.checker.record_refusal(plan.key)
        elif statuses and statuses[-1] == 200:
            answer = state
            if state == "completed":
                self.checker.record_completion(plan)
        else:
            answer = "failed"
        self.answers[answer] += 1
        if started_at >= self.tail_from:
            self.tail_answers[answer] += 1
