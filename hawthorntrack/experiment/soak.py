"""A randomized soak: real processes, callers, faults from outside, and checks."""

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp

from hawthorntrack.experiment.model_site import RESEND_S, SMALL_SITE, Kind
from hawthorntrack.experiment.model_target import ModelTarget
from hawthorntrack.experiment.soak_faults import play_series, soak_faults
from hawthorntrack.experiment.soak_site import HOST, SoakNode, SoakSite
from hawthorntrack.platform.entry_http import DEADLINE_HEADER
from hawthorntrack.platform.standins import job_body
from hawthorntrack.state.plans import JobPlan, RunName, StepSpec, TaskName
from hawthorntrack.state.resources import Resources

CALLERS = 24
THINK_S = 1.5
ANSWER_SLACK_S = 0.7  # beyond the deadline: ticks, and a machine that is busy
STALL_S = 0.2  # within the slack for answers
LOOK_S = 0.05
CALM_S = 3.0  # without a fault before a bound applies
APPLY_S = 2.0  # from the store's answer to a configuration in force
ZONE_OUT_S = 5.0  # from the store's answer to no more starts in the zone
STRETCH_S = 5.0  # what either may take longer beside other faults
RECOVERY_S = 12.0  # from the last fault to a share of jobs served
RECOVERED_SHARE = 0.25
QUIET_S = RECOVERY_S + 4.0
FINAL = {200, 400, 404, 413, 429, 503}


class SoakReport(NamedTuple):
    """What one run found.

    Attributes
    ----------
    violations : list of str
        Promises that were not kept, with the time into the run.
    answers : dict of str to int
        Jobs by their final answer.
    faults : list of str
        What was played, and when.
    stalls : int
        How often the soak's own process stood still, so that it read no answers.
    folder : Path
        Logs and settings of the processes.
    """

    seed: int
    violations: list[str]
    answers: dict[str, int]
    faults: list[str]
    stalls: int
    folder: Path


class Ledger:
    """What callers and targets saw, held against the promises.

    Attributes
    ----------
    running : dict of TaskName to set of str
        Targets where a run of the task is at work.
    done : dict of str to set of TaskName
        Tasks of each job that have ended well.
    refused : set of str
        Jobs of which every submission was turned away.
    """

    def __init__(self) -> None:
        self.site: SoakSite | None = None
        self.running: dict[TaskName, set[str]] = defaultdict(set)
        self.done: dict[str, set[TaskName]] = defaultdict(set)
        self.started: set[str] = set()
        self.asked: set[str] = set()
        self.refused: set[str] = set()
        self.violations: list[str] = []

    def breach(self, text: str) -> None:
        """Note a promise that was not kept."""
        at_s = self.site.now() - self.site.began_at
        self.violations.append(f"{at_s:.2f} s: {text}")

    def run_began(self, target: ModelTarget, name: RunName) -> None:
        """Check a run that begins."""
        job = name.task.job
        others = self.running[name.task]
        if others:
            self.breach(f"{name} began on {target.name} beside {sorted(others)}")
        others.add(target.name)
        if job not in self.asked:
            self.breach(f"{name} began, which nobody asked for")
        if job in self.refused:
            self.breach(f"{name} began after its job was refused")
        self.started.add(job)
        since = self.site.zones_out.get(target.zone)
        limit = ZONE_OUT_S + STRETCH_S
        if since is not None and self.site.now() - since > limit:
            self.breach(f"{name} began in a zone out of service for over {limit} s")

    def run_ended(self, target: ModelTarget, name: RunName, how: str) -> None:
        """Note the end of a run."""
        self.running[name.task].discard(target.name)
        if how == "done":
            self.done[name.task.job].add(name.task)

    def refuse(self, key: str) -> None:
        """Check a job that was refused for good."""
        self.refused.add(key)
        if key in self.started:
            self.breach(f"job {key} was refused, and had started")

    def complete(self, plan: JobPlan) -> None:
        """Check a job that its caller was told is complete."""
        wanted = sum(step.count for step in plan.steps)
        found = len(self.done[plan.key])
        if found != wanted:
            self.breach(f"job {plan.key}: complete with {found} of {wanted} tasks")


class Soak:
    """One run of the soak.

    Parameters
    ----------
    seed : int
        Of the faults and the load.
    seconds : float
        How long faults are played; a quiet time follows.
    entries, guards, block
        As for `SoakSite`.
    callers : int
        How many hand jobs in.
    faults : sequence of str
        What is played; all if empty.
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
    ) -> None:
        self.seed = seed
        self.faults = faults or soak_faults.names()
        self.seconds = seconds
        self.callers = callers
        self.rng = random.Random(seed)
        self.ledger = Ledger()
        self.site = SoakSite(entries, guards, seed, block, self.ledger)
        self.ledger.site = self.site
        self.site.on_queue = self.queue_changed
        self.answers: Counter[str] = Counter()
        self.late_answers: Counter[str] = Counter()
        self.quiet_from = float("inf")
        self.calling = True
        self.stalled_at = 0.0
        self.stalls = 0

    async def run(self) -> SoakReport:
        """Play the faults, then let the site recover, and report."""
        faults: list[str] = []
        try:
            await self.site.start()
            calls = [asyncio.create_task(self.caller(n)) for n in range(self.callers)]
            self.site.run_beside(self.watch_ends(), self.watch_stalls())
            until = self.site.now() + self.seconds
            faults = await play_series(self.site, self.rng, until, self.faults)
            await self.recover()
            self.calling = False
            for call in await asyncio.gather(*calls, return_exceptions=True):
                if isinstance(call, BaseException):
                    self.ledger.breach(f"a caller of the soak failed: {call!r}")
            self.check_recovery()
            for name, code in (await self.site.stop()).items():
                self.ledger.breach(f"{name} ended with code {code}")
        finally:
            await self.site.close()
        return SoakReport(
            self.seed,
            self.ledger.violations,
            dict(self.answers),
            faults,
            self.stalls,
            self.site.folder,
        )

    async def recover(self) -> None:
        """Wait until the faults are over, and for the time that recovery may take."""
        while any(node.disturbances for node in self.site.nodes.values()):
            await asyncio.sleep(0.1)
        for target in self.site.targets:
            target.fault = ""
        self.quiet_from = self.site.now() + RECOVERY_S
        await asyncio.sleep(QUIET_S)

    def check_recovery(self) -> None:
        """Check that jobs are served again after the faults."""
        asked = sum(self.late_answers.values())
        served = self.late_answers["completed"]
        if served < RECOVERED_SHARE * asked or not asked:
            self.ledger.breach(f"{served} of {asked} jobs served after the faults")

    async def watch_ends(self) -> None:
        """Check that processes end only when they are told to."""
        while True:
            for node in self.site.nodes.values():
                if not (node.alive or node.asked_to_end):
                    self.ledger.breach(f"{node.name} ended by itself")
                    node.asked_to_end = True
            await asyncio.sleep(LOOK_S)

    async def watch_stalls(self) -> None:
        """Note when this process itself had no processor: it read no answers then."""
        while True:
            before = self.site.now()
            await asyncio.sleep(LOOK_S)
            lag_s = self.site.now() - before - LOOK_S
            if lag_s > STALL_S:
                self.stalled_at = self.site.now()
                self.stalls += 1

    # Configuration

    def queue_changed(self, name: str, added: bool) -> None:
        """Have each entry instance asked for a queue when its bound is over."""
        for node in self.site.role("entry"):
            self.site.run_beside(self.check_queue(node, name, added))

    async def check_queue(self, node: SoakNode, name: str, added: bool) -> None:
        """Check that an entry instance goes by a change in time."""
        written = self.site.now()
        await asyncio.sleep(APPLY_S)
        calm = node.calm_since(written - CALM_S)
        if not (calm and self.site.store_calm_since(written - CALM_S)):
            await asyncio.sleep(STRETCH_S)
        since = self.site.now() - CALM_S
        if not (node.calm_since(since) and self.site.store_calm_since(since)):
            return
        url = f"http://{self.site.callers_address(node)}/{name}/"
        headers = {"Host": HOST}
        try:
            async with self.site.session.get(url, headers=headers) as response:
                status = response.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return
        gone = added and name != self.site.extra_queue  # another change came since
        if not gone and (status == 200) != added:
            self.ledger.breach(f"{node.name} answers {status} for {name}, {added=}")

    # Callers

    async def caller(self, number: int) -> None:
        """Hand jobs in one after the other, on a connection that stays open."""
        rng = random.Random(f"{self.seed}/{number}")
        weights = [kind.per_s for kind in SMALL_SITE.kinds]
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            node: SoakNode | None = None
            while self.calling:
                await asyncio.sleep(rng.expovariate(1 / THINK_S))
                kind = rng.choices(SMALL_SITE.kinds, weights)[0]
                plan = self.plan(kind, rng)
                node = await self.call(session, node, kind, plan, rng)

    def plan(self, kind: Kind, rng: random.Random) -> JobPlan:
        """Draw a job of a kind."""
        key = f"{rng.getrandbits(64):016x}"
        work_s = kind.task_s * rng.lognormvariate(-0.08, 0.4)
        width = max(1, round(kind.width * rng.lognormvariate(-0.08, 0.4)))
        need = Resources(kind.cpu_m, 64)
        for target in self.site.targets:
            target.needs[key] = need
        self.ledger.asked.add(key)
        return JobPlan(key, f"{work_s}", (StepSpec(width, need, work_s),))

    async def call(
        self,
        session: aiohttp.ClientSession,
        node: SoakNode | None,
        kind: Kind,
        plan: JobPlan,
        rng: random.Random,
    ) -> SoakNode | None:
        """Hand a job in until it has an answer; return where the connection leads."""
        begun = self.site.now()
        objective_s = SMALL_SITE.stretch * float(plan.payload)
        limit = begun + 3 * (objective_s + SMALL_SITE.latency_target_s)
        statuses: list[int] = []
        while self.site.now() < limit:
            if node is None:
                entries = self.site.role("entry")
                ready = [entry for entry in entries if entry.in_rotation]
                node = rng.choice(ready or entries)
            status, state = await self.try_once(session, node, kind, plan, limit)
            statuses.append(status)
            if status in FINAL:
                break
            if status == 0:
                node = None
            await asyncio.sleep(RESEND_S)
        self.conclude(plan, statuses, state, begun)
        return node

    async def try_once(
        self,
        session: aiohttp.ClientSession,
        node: SoakNode,
        kind: Kind,
        plan: JobPlan,
        limit: float,
    ) -> tuple[int, str]:
        """Send a job once; return the status, 0 for none, and the job's state."""
        sent = self.site.now()
        left_s = limit - sent
        url = f"http://{self.site.callers_address(node)}/{kind.queue}/{plan.key}"
        headers = {"Host": HOST, DEADLINE_HEADER: str(max(1, round(left_s * 1000)))}
        try:
            async with (
                asyncio.timeout(left_s + ANSWER_SLACK_S),
                session.post(url, data=job_body(plan), headers=headers) as response,
            ):
                body: Any = await response.json()
                return response.status, str(body.get("state", ""))
        except TimeoutError:
            listened = self.stalled_at < sent
            if listened and node.alive and node.calm_since(sent - CALM_S):
                self.ledger.breach(f"{node.name} left job {plan.key} unanswered")
            return 0, ""
        except (aiohttp.ClientError, OSError):
            return 0, ""

    def conclude(
        self, plan: JobPlan, statuses: list[int], state: str, begun: float
    ) -> None:
        """Count a job's answer, and check it."""
        if statuses and all(status in (429, 503) for status in statuses):
            answer = "refused"
            self.ledger.refuse(plan.key)
        elif statuses and statuses[-1] == 200:
            answer = state
            if state == "completed":
                self.ledger.complete(plan)
        else:
            answer = "failed"
        self.answers[answer] += 1
        if begun >= self.quiet_from:
            self.late_answers[answer] += 1
