"""The task that places an owner's admitted jobs on guards."""

import asyncio
import itertools
import math
import random
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from eliot import log_message

from hawthorntrack.coordination.admission import AdmissionLoad, check_admission
from hawthorntrack.coordination.fairness import WeightedFairQueue
from hawthorntrack.coordination.placement import (
    PlacementChoice,
    PlacementContext,
    WaitingTask,
    distribute_permit_requests,
    policies,
)
from hawthorntrack.coordination.retries import decide_retry, new_budget
from hawthorntrack.protocol import local, messages
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.control_view import ControlView
from hawthorntrack.state.documents import Document
from hawthorntrack.state.guard_stats import GuardStats
from hawthorntrack.state.guard_view import GuardView
from hawthorntrack.state.jobs import RUNNING, Job, TaskState
from hawthorntrack.state.mailbox import Mailbox, Tick
from hawthorntrack.state.metrics import (
    FAILURES,
    JOBS,
    NOT_RUN,
    QUEUED,
    RETRIES,
    labelled,
)
from hawthorntrack.state.outcomes import (
    CANCELLED,
    DEADLINE_PASSED,
    GUARD_LOST,
    NOT_PLACED,
    RETRIES_EXHAUSTED,
    TASK_FAILED,
    UNKNOWN_SERVICE,
    OutcomeKind,
    fail,
    refuse,
)
from hawthorntrack.state.settings import Settings
from hawthorntrack.state.values import Answer, Incarnation, TaskResult

PROBE_AFTER_S = 1.0
PROBE_RUN_TIME_FACTOR = 2.0  # of the expected run time
LOST_AFTER_S = 2.0  # a guard that left may have results on their way
RESERVE_WAIT_MS = 1_000
BATCH_MAX_TASKS = 1_000
AVOIDED_GUARDS = 3
JOB_NAME_MAX_DIGITS = 20  # digits


class PlaceWaitingTasks(NamedTuple):
    """Give waiting tasks their places."""


class JobRunner(Actor):
    """Owns the jobs of one guard's slots, from offer to answer.

    Parameters
    ----------
    me : Incarnation
        This guard.
    settings : Settings
        The guard's settings.
    send : callable
        Sends a message to an incarnation.
    rng : random.Random
        Source of chance for policies.
    """

    def __init__(
        self,
        me: Incarnation,
        settings: Settings,
        send: Callable[[Incarnation, Any], None],
        rng: random.Random,
    ) -> None:
        super().__init__(settings.bounds.mailbox)
        self.me = me
        self.settings = settings
        self.send = send
        self.rng = rng
        self.slot_manager: Mailbox | None = None
        self.view = ControlView()
        self.owned = 0
        self.fleet = GuardStats()
        self.fair_queue = WeightedFairQueue()
        self.jobs: dict[int, Job] = {}
        self.budget = new_budget()
        self.guards_in_service: set[Incarnation] = set()
        self.unregistered_since: dict[Incarnation, float] = {}
        self.requested_permits: dict[tuple[str, Incarnation], tuple[int, float]] = {}
        self.place_posted = False

    # --- the way in

    @handles(local.OfferJob)
    def on_offer_job(self, offer: local.OfferJob, sender: Incarnation) -> None:
        """Take a job or refuse it, before its key is noted."""
        document = self.view.documents.get(offer.job.service)
        if document is None:
            refusal = refuse(UNKNOWN_SERVICE)
        else:
            refusal = check_admission(self.admission_load(offer), document, offer.job)
        if refusal is None:
            now = self.now()
            deadline_at = now + offer.job.deadline_ms / 1000
            job = Job(offer.token, offer.slot, offer.job, now, deadline_at)
            self.jobs[offer.token] = job
        self.slot_manager.put(local.OfferReply(offer.token, offer.slot, refusal))

    def admission_load(self, offer: local.OfferJob) -> AdmissionLoad:
        """Return the load that decides on an offered job."""
        guards = self.guards_for_service(offer.job.service)
        share = self.owned_share()
        queued = sum(len(job.waiting) for job in self.jobs.values())
        at_guards = sum(guard.load.queued for guard in guards)
        return AdmissionLoad(
            kinds=frozenset(kind for guard in guards for kind in guard.load.kinds),
            queued_tasks=queued,
            customer_tasks=sum(
                job.unfinished
                for job in self.jobs.values()
                if job.spec.customer == offer.job.customer
            ),
            owned_share=share,
            work_ahead_ms=max(queued / share, at_guards) * self.fleet.mean_run_ms,
            slots=sum(guard.load.slots for guard in guards),
        )

    def owned_share(self) -> float:
        """Return the share of all slots that this guard owns, at least one slot's."""
        return max(1, self.owned) / self.settings.slots

    @handles(local.WithdrawOffer)
    def on_withdraw_offer(
        self, withdrawn: local.WithdrawOffer, sender: Incarnation
    ) -> None:
        """Drop a job that was taken but not admitted."""
        self.jobs.pop(withdrawn.token, None)

    @handles(local.AdmitJob)
    def on_admit_job(self, admitted: local.AdmitJob, sender: Incarnation) -> None:
        """Run a job whose key the witness remembers."""
        job = self.jobs[admitted.token]
        job.apply_transition("admit")
        log_message(
            "job:admitted",
            process=str(self.me),
            service=job.spec.service,
            job=job.spec.key,
            customer=job.spec.customer,
            tasks=len(job.tasks),
        )
        self.request_place()

    # --- placing

    def request_place(self) -> None:
        """Have waiting tasks placed once the messages at hand are read."""
        if not self.place_posted:
            self.place_posted = True
            self.mailbox.put(PlaceWaitingTasks())

    @handles(PlaceWaitingTasks)
    def on_place_waiting_tasks(
        self, now: PlaceWaitingTasks, sender: Incarnation
    ) -> None:
        """Place waiting tasks of each service by its policy."""
        self.place_posted = False
        services = {job.spec.service for job in self.jobs.values() if job.waiting}
        for service in sorted(services & self.view.documents.keys()):
            self.place_service(self.view.documents[service])

    def place_service(self, document: Document) -> None:
        """Place waiting tasks of one service; ask for permits for the others."""
        guards = self.guards_for_service(document.service)
        tasks = list(self.waiting_in_fair_order(document))
        if not guards or not tasks:
            return
        policy = policies[document.policy]
        zone = self.settings.place.zone
        scene = PlacementContext(guards, self.fleet.slowness, zone, self.rng)
        choices = policy.choose(scene, tasks[:BATCH_MAX_TASKS])
        by_batch = sorted(choices, key=batch_of)
        for (token, guard), batch in itertools.groupby(by_batch, key=batch_of):
            items = [(choice.task.index, "") for choice in batch]
            self.send_start(self.jobs[token], guard, items)
        self.charge_customers(document, [choice.task for choice in choices])
        waiting = len(tasks) - len(choices)
        if policy.permits_per_waiting_task and waiting:
            self.ask_permits(
                document.service, guards, waiting * policy.permits_per_waiting_task
            )

    def ask_permits(
        self, service: str, guards: tuple[GuardView, ...], wanted: float
    ) -> None:
        """Ask guards for permits until as many are asked for as are wanted."""
        now = self.now()
        asked = {
            guard: count
            for (name, guard), (count, until) in self.requested_permits.items()
            if name == service and until > now
        }
        missing = math.ceil(wanted) - sum(asked.values())
        for guard, count in distribute_permit_requests(guards, asked, missing).items():
            total = asked.get(guard, 0) + count
            self.requested_permits[(service, guard)] = (
                total,
                now + RESERVE_WAIT_MS / 1000,
            )
            self.send(guard, messages.Reserve(service, count, RESERVE_WAIT_MS))

    def waiting_in_fair_order(self, document: Document) -> Iterator[WaitingTask]:
        """Return tasks that may be placed now, customers taking turns."""
        now = self.now()
        queues: dict[str, list[WaitingTask]] = {}
        for job in self.jobs.values():
            spec = job.spec
            if spec.service == document.service and job.state == RUNNING:
                queue = queues.setdefault(spec.customer, [])
                queue.extend(placeable_tasks(job, now))
        queues = {
            name: sorted(queue, key=lambda task: task.start_by)
            for name, queue in queues.items()
            if queue
        }
        weights = {name: document.customer(name).weight for name in queues}
        return self.fair_queue.interleave(queues, weights)

    def charge_customers(
        self, document: Document, tasks: Iterable[WaitingTask]
    ) -> None:
        """Count placed tasks against their customers' shares."""
        waiting = {job.spec.customer for job in self.jobs.values() if job.waiting}
        for task in tasks:
            job = self.jobs.get(task.token)
            if job is not None:
                name = job.spec.customer
                weight = document.customer(name).weight
                self.fair_queue.charge(name, weight, sorted(waiting | {name}))

    def send_start(
        self, job: Job, guard: Incarnation, items: list[tuple[int, str]]
    ) -> None:
        """Send a start message for tasks, each with its permit or none."""
        now = self.now()
        tasks = []
        for index, permit in items:
            before = job.tasks[index]
            job.tasks[index] = before._replace(
                guard=guard, attempt=before.attempt + 1, sent_at=now, probed_at=now
            )
            del job.waiting[index]
            if before.attempt == 0:
                document = self.view.documents[job.spec.service]
                self.budget.add_tokens(document.budget_ratio)
            tasks.append(
                messages.StartTask(
                    index,
                    before.attempt + 1,
                    job.spec.tasks[index],
                    int((job.start_by(index) - now) * 1000),
                    permit,
                )
            )
        self.fleet.record_sent(guard, len(tasks), now)
        remaining_ms = max(1, int((job.deadline_at - now) * 1000))
        spec = job.spec
        self.send(
            guard,
            messages.StartTasks(
                job.name, spec.service, spec.key, remaining_ms, tuple(tasks)
            ),
        )

    @handles(messages.Grant)
    def on_grant(self, grant: messages.Grant, sender: Incarnation) -> None:
        """StartTasks waiting tasks on permits; give back what is left over."""
        self.fleet.update_load(sender, grant.load, self.now())
        self.record_grant(grant, sender)
        document = self.view.documents.get(grant.service)
        found = self.waiting_in_fair_order(document) if document else iter(())
        able = (task for task in found if task.kind in grant.load.kinds)
        pairs = list(zip(able, grant.permits, strict=False))
        by_job = sorted(pairs, key=lambda pair: pair[0].token)
        for token, batch in itertools.groupby(by_job, key=lambda pair: pair[0].token):
            items = [(task.index, permit) for task, permit in batch]
            self.send_start(self.jobs[token], sender, items)
        if document:
            self.charge_customers(document, [task for task, _ in pairs])
        spare = grant.permits[len(pairs) :]
        if spare:
            self.requested_permits.pop((grant.service, sender), None)
            self.send(sender, messages.Release(grant.service, spare))

    def record_grant(self, grant: messages.Grant, guard: Incarnation) -> None:
        """Count permits as no longer asked for."""
        name = (grant.service, guard)
        count, until = self.requested_permits.pop(name, (0, 0.0))
        if count > len(grant.permits):
            self.requested_permits[name] = (count - len(grant.permits), until)

    # --- what guards send back

    @handles(messages.TasksDone)
    def on_tasks_done(self, done: messages.TasksDone, sender: Incarnation) -> None:
        """Take results; end the job on its last one, or on a failed one."""
        self.fleet.update_load(sender, done.load, self.now())
        self.request_place()
        job = self.find_job(done.job)
        if job is None:
            return
        taken = [
            item for item in done.results if is_outstanding(job, item.index, sender)
        ]
        for result in taken:
            self.record_result(job, sender, result)
        failed = [result for result in taken if not result.ok]
        if failed:
            text = failed[0].output.decode("utf-8", "replace")[:200]
            detail = f"Task {failed[0].index}: {text}."
            self.end_job(job, fail(TASK_FAILED, "yes", detail))
        elif job.unfinished == 0:
            results = tuple(task.result for task in job.tasks)
            self.end_job(job, Answer("complete", "", "yes", "", results))

    def find_job(self, name: str) -> Job | None:
        """Return the job that a message names, if it is here."""
        known = name.isascii() and name.isdecimal() and len(name) <= JOB_NAME_MAX_DIGITS
        return self.jobs.get(int(name)) if known else None

    def record_result(self, job: Job, guard: Incarnation, result: TaskResult) -> None:
        """Keep one result and learn from its run time."""
        job.tasks[result.index] = job.tasks[result.index]._replace(result=result)
        job.unfinished -= 1
        self.fleet.record_returned(guard, 1)
        spec = job.spec.tasks[result.index]
        if result.ok:
            self.fleet.record_run_time(guard, spec.kind, spec.size_ms, result.run_ms)

    @handles(messages.TasksNotRun)
    def on_tasks_not_run(self, back: messages.TasksNotRun, sender: Incarnation) -> None:
        """Let tasks wait again that a guard did not start, within the budget."""
        self.fleet.update_load(sender, back.load, self.now())
        job = self.find_job(back.job)
        if job is None or job.state != RUNNING:
            return
        NOT_RUN.labels(reason=back.reason).inc(len(back.tasks))
        document = self.view.documents[job.spec.service]
        for index, attempt in back.tasks:
            if (
                not is_outstanding(job, index, sender)
                or job.tasks[index].attempt != attempt
            ):
                continue
            self.fleet.record_returned(sender, 1)
            now = self.now()
            verdict = decide_retry(attempt, document, self.budget, now)
            self.requeue_task(job, index, sender, now + verdict.delay_s)
            if not verdict.retry:
                self.abort_job(job, RETRIES_EXHAUSTED, f"Last reason: {back.reason}.")
                return
            RETRIES.labels(reason=back.reason).inc()
            asyncio.get_running_loop().call_later(verdict.delay_s, self.request_place)

    def requeue_task(
        self, job: Job, index: int, guard: Incarnation, not_before: float
    ) -> None:
        """Put a task back among those that wait for a place."""
        task = job.tasks[index]
        avoided_guards = frozenset(
            [guard, *list(task.avoided_guards)[: AVOIDED_GUARDS - 1]]
        )
        job.tasks[index] = task._replace(
            guard=None, not_before=not_before, avoided_guards=avoided_guards
        )
        job.waiting[index] = None

    # --- the way out

    def abort_job(self, job: Job, kind: OutcomeKind, detail: str = "") -> None:
        """End a job: refused where nothing of it started, failed otherwise."""
        if job.started:
            self.end_job(job, fail(kind, "maybe", detail))
        else:
            refusal = kind if kind is CANCELLED else NOT_PLACED
            self.end_job(job, refuse(refusal, detail))

    def end_job(self, job: Job, answer: Answer) -> None:
        """Answer a job, and call back what of it is still out."""
        job.apply_transition("end")
        del self.jobs[job.token]
        JOBS.labels(status=answer.status).inc()
        if answer.status == "failed":
            FAILURES.labels(kind=answer.kind).inc()
        self.recall_tasks(job)
        log_message(
            "job:ended",
            process=str(self.me),
            service=job.spec.service,
            job=job.spec.key,
            status=answer.status,
            kind=answer.kind,
            ran=answer.ran,
        )
        self.slot_manager.put(local.JobEnded(job.token, job.slot, answer))
        self.request_place()

    def recall_tasks(self, job: Job) -> None:
        """Have guards drop tasks of an ended job, and stop those that run."""
        for guard, tasks in outstanding_by_guard(job).items():
            self.fleet.record_returned(guard, len(tasks))
            self.send_probe(job, guard, tasks, drop=True)

    def send_probe(
        self, job: Job, guard: Incarnation, tasks: list[int], drop: bool
    ) -> None:
        """Ask a guard after tasks of a job."""
        named = tuple((index, job.tasks[index].attempt) for index in tasks)
        spec = job.spec
        self.send(
            guard, messages.ProbeTasks(job.name, spec.service, spec.key, named, drop)
        )

    @handles(local.CancelAdmittedJob)
    def on_cancel_admitted_job(
        self, cancel: local.CancelAdmittedJob, sender: Incarnation
    ) -> None:
        """End a job that its caller no longer wants."""
        job = self.jobs.get(cancel.token)
        if job is not None and job.state == RUNNING:
            self.abort_job(job, CANCELLED)

    # --- upkeep

    @handles(messages.Heartbeat)
    def on_heartbeat(self, beat: messages.Heartbeat, sender: Incarnation) -> None:
        """Learn of a guard and its load."""
        now = self.now()
        self.fleet.record_heartbeat(sender, beat.place, now)
        for load in beat.loads:
            self.fleet.update_load(sender, load, now)
        self.fleet.retain_services(sender, (load.service for load in beat.loads))
        self.request_place()

    @handles(local.ViewChanged)
    def on_view_changed(self, change: local.ViewChanged, sender: Incarnation) -> None:
        """Take a new view of who is in service, and of the slots owned here."""
        before, view = self.view, change.view
        self.view = view
        if view.slots is not before.slots:
            self.owned = sum(row.owner == self.me for row in view.slots.values())
        if (view.guards, view.zones_out) != (before.guards, before.zones_out):
            self.guards_in_service = {
                guard.incarnation
                for guard in view.guards.values()
                if not guard.draining and guard.place.zone not in view.zones_out
            }
        self.request_place()

    @handles(Tick)
    def on_tick(self, tick: Tick, sender: Incarnation) -> None:
        """End jobs past their deadline, and ask after tasks that take long."""
        now = self.now()
        self.fail_jobs_of_lost_guards(now)
        self.fleet.remove_silent_guards(now)
        for job in [job for job in self.jobs.values() if job.state == RUNNING]:
            if now >= job.deadline_at:
                self.abort_job(job, DEADLINE_PASSED)
            else:
                self.probe_overdue_tasks(job, now)
        waiting = sum(len(job.waiting) for job in self.jobs.values())
        if any(until <= now for _, until in self.requested_permits.values()):
            self.requested_permits = {
                k: item for k, item in self.requested_permits.items() if item[1] > now
            }
            self.request_place()
        labelled(QUEUED, "owner").set(waiting)

    def probe_overdue_tasks(self, job: Job, now: float) -> None:
        """Ask guards after tasks that have been out for long."""
        for guard, tasks in outstanding_by_guard(job).items():
            late = [
                index
                for index in tasks
                if now - job.tasks[index].probed_at > self.probe_delay_s(job, index)
            ]
            if late:
                for index in late:
                    job.tasks[index] = job.tasks[index]._replace(probed_at=now)
                self.send_probe(job, guard, late, drop=False)

    def probe_delay_s(self, job: Job, index: int) -> float:
        """Return how long a task may be out before its guard is asked."""
        spec, guard = job.spec.tasks[index], job.tasks[index].guard
        expected_ms = spec.size_ms * self.fleet.slowness(guard, spec.kind)
        return max(PROBE_AFTER_S, PROBE_RUN_TIME_FACTOR * expected_ms / 1000)

    def fail_jobs_of_lost_guards(self, now: float) -> None:
        """Fail jobs with tasks at guards whose life has ended."""
        registered = {guard.incarnation for guard in self.view.guards.values()}
        busy = {guard for guard, count in self.fleet.outstanding.items() if count}
        self.unregistered_since = {
            guard: self.unregistered_since.get(guard, now)
            for guard in busy - registered
        }
        for guard in [
            g for g, at in self.unregistered_since.items() if now - at > LOST_AFTER_S
        ]:
            for job in list(self.jobs.values()):
                if guard in outstanding_by_guard(job):
                    self.abort_job(job, GUARD_LOST, f"Guard {guard} is gone.")
            self.fleet.remove_guard(guard)

    def guards_for_service(self, service: str) -> tuple[GuardView, ...]:
        """Return the guards in service that have a target of a service."""
        silence_s = self.settings.timing.pair_silence_s
        return self.fleet.guard_views(
            service, self.guards_in_service, self.now(), silence_s
        )

    @handles(local.GetStatus)
    def on_get_status(self, ask: local.GetStatus, sender: Incarnation) -> None:
        """Give the status page the jobs at work."""
        waiting = sum(len(job.waiting) for job in self.jobs.values())
        if not ask.reply.done():
            ask.reply.set_result({"running": len(self.jobs), "waiting_tasks": waiting})


def batch_of(choice: PlacementChoice) -> tuple[int, Incarnation]:
    """Return what tasks must share to go out in one message."""
    return choice.task.token, choice.guard


def is_outstanding(job: Job, index: int, guard: Incarnation) -> bool:
    """Return whether a task of a job is at a guard and has no result yet."""
    if not 0 <= index < len(job.tasks):
        return False
    task = job.tasks[index]
    return task.guard == guard and task.result is None


def outstanding_by_guard(job: Job) -> dict[Incarnation, list[int]]:
    """Return the indices of a job's tasks that are out, by guard."""
    out: dict[Incarnation, list[int]] = {}
    for index, task in enumerate(job.tasks):
        if task.guard is not None and task.result is None:
            out.setdefault(task.guard, []).append(index)
    return out


def placeable_tasks(job: Job, now: float) -> list[WaitingTask]:
    """Return a job's tasks that may be placed now."""

    def view(index: int, task: TaskState) -> WaitingTask:
        spec = job.spec.tasks[index]
        start_by = job.start_by(index)
        return WaitingTask(
            job.token, index, spec.kind, spec.size_ms, start_by, task.avoided_guards
        )

    return [
        view(index, job.tasks[index])
        for index in job.waiting
        if job.tasks[index].not_before <= now
    ]
