"""Job runner of an owner: places the tasks of admitted jobs on guards."""

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

MIN_PROBE_DELAY_S = 1.0
# A guard is asked about a task after this multiple of the task's expected run time.
PROBE_RUN_TIME_FACTOR = 2.0
# Results of a guard that is no longer registered may still be in transit.
LOST_GUARD_TIMEOUT_S = 2.0
PERMIT_REQUEST_TIMEOUT_MS = 1_000
MAX_TASKS_PER_PLACEMENT = 1_000
MAX_AVOIDED_GUARDS = 3
JOB_NAME_MAX_DIGITS = 20


class PlaceWaitingTasks(NamedTuple):
    """Request to place waiting tasks, which the runner posts to itself."""


class JobRunner(Actor):
    """Actor that owns the jobs of one guard's slots, from offer to answer.

    Parameters
    ----------
    me : Incarnation
        This guard.
    settings : Settings
        The guard's settings.
    send : callable
        Sends a message to an incarnation.
    rng : random.Random
        Random number generator for placement policies.
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
        self.owned_slots = 0
        self.fleet = GuardStats()
        self.fair_queue = WeightedFairQueue()
        self.jobs: dict[int, Job] = {}
        self.retry_budget = new_budget()
        self.guards_in_service: set[Incarnation] = set()
        self.unregistered_since: dict[Incarnation, float] = {}
        self.requested_permits: dict[tuple[str, Incarnation], tuple[int, float]] = {}
        self.placement_posted = False

    # Admission of jobs

    @handles(local.OfferJob)
    def on_offer_job(self, offer: local.OfferJob, sender: Incarnation) -> None:
        """Accept or refuse an offered job, before its key is replicated."""
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
        """Return the load by which an offered job is accepted or refused."""
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
        """Return the share of all slots that this guard owns, at least one slot."""
        return max(1, self.owned_slots) / self.settings.slots

    @handles(local.WithdrawOffer)
    def on_withdraw_offer(
        self, withdrawn: local.WithdrawOffer, sender: Incarnation
    ) -> None:
        """Drop a job that was accepted here but not admitted."""
        self.jobs.pop(withdrawn.token, None)

    @handles(local.AdmitJob)
    def on_admit_job(self, admitted: local.AdmitJob, sender: Incarnation) -> None:
        """Run a job whose key is replicated to the witness."""
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
        self.request_placement()

    # Placement

    def request_placement(self) -> None:
        """Schedule a placement after the messages that are already in the mailbox."""
        if not self.placement_posted:
            self.placement_posted = True
            self.mailbox.put(PlaceWaitingTasks())

    @handles(PlaceWaitingTasks)
    def on_place_waiting_tasks(
        self, trigger: PlaceWaitingTasks, sender: Incarnation
    ) -> None:
        """Place the waiting tasks of each service by its placement policy."""
        self.placement_posted = False
        services = {job.spec.service for job in self.jobs.values() if job.waiting}
        for service in sorted(services & self.view.documents.keys()):
            self.place_service(self.view.documents[service])

    def place_service(self, document: Document) -> None:
        """Place waiting tasks of a service; request permits for the remaining ones."""
        guards = self.guards_for_service(document.service)
        tasks = list(self.waiting_in_fair_order(document))
        if not guards or not tasks:
            return
        policy = policies[document.policy]
        zone = self.settings.place.zone
        context = PlacementContext(guards, self.fleet.slowness, zone, self.rng)
        choices = policy.choose(context, tasks[:MAX_TASKS_PER_PLACEMENT])
        by_batch = sorted(choices, key=batch_key)
        for (token, guard), batch in itertools.groupby(by_batch, key=batch_key):
            items = [(choice.task.index, "") for choice in batch]
            self.send_start(self.jobs[token], guard, items)
        self.charge_customers(document, [choice.task for choice in choices])
        waiting = len(tasks) - len(choices)
        if policy.permits_per_waiting_task and waiting:
            self.request_permits(
                document.service, guards, waiting * policy.permits_per_waiting_task
            )

    def request_permits(
        self, service: str, guards: tuple[GuardView, ...], needed: float
    ) -> None:
        """Request permits until the number of outstanding ones covers the need."""
        now = self.now()
        outstanding = {
            guard: count
            for (name, guard), (count, expires_at) in self.requested_permits.items()
            if name == service and expires_at > now
        }
        missing = math.ceil(needed) - sum(outstanding.values())
        for guard, count in distribute_permit_requests(
            guards, outstanding, missing
        ).items():
            total = outstanding.get(guard, 0) + count
            self.requested_permits[(service, guard)] = (
                total,
                now + PERMIT_REQUEST_TIMEOUT_MS / 1000,
            )
            self.send(
                guard, messages.Reserve(service, count, PERMIT_REQUEST_TIMEOUT_MS)
            )

    def waiting_in_fair_order(self, document: Document) -> Iterator[WaitingTask]:
        """Return the tasks that may be placed now, in fair order of customers."""
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
        """Charge placed tasks to their customers' fair shares."""
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
        """Send a start message for tasks, each with its permit or an empty string."""
        now = self.now()
        tasks = []
        for index, permit in items:
            previous = job.tasks[index]
            job.tasks[index] = previous._replace(
                guard=guard, attempt=previous.attempt + 1, sent_at=now, probed_at=now
            )
            del job.waiting[index]
            if previous.attempt == 0:
                document = self.view.documents[job.spec.service]
                self.retry_budget.add_tokens(document.budget_ratio)
            tasks.append(
                messages.StartTask(
                    index,
                    previous.attempt + 1,
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
        """Start waiting tasks on the granted permits, and release unused ones."""
        self.fleet.update_load(sender, grant.load, self.now())
        self.record_grant(grant, sender)
        document = self.view.documents.get(grant.service)
        waiting = self.waiting_in_fair_order(document) if document else iter(())
        eligible = (task for task in waiting if task.kind in grant.load.kinds)
        pairs = list(zip(eligible, grant.permits, strict=False))
        by_job = sorted(pairs, key=lambda pair: pair[0].token)
        for token, batch in itertools.groupby(by_job, key=lambda pair: pair[0].token):
            items = [(task.index, permit) for task, permit in batch]
            self.send_start(self.jobs[token], sender, items)
        if document:
            self.charge_customers(document, [task for task, _ in pairs])
        unused = grant.permits[len(pairs) :]
        if unused:
            self.requested_permits.pop((grant.service, sender), None)
            self.send(sender, messages.Release(grant.service, unused))

    def record_grant(self, grant: messages.Grant, guard: Incarnation) -> None:
        """Remove granted permits from the outstanding requests."""
        request = (grant.service, guard)
        count, expires_at = self.requested_permits.pop(request, (0, 0.0))
        if count > len(grant.permits):
            self.requested_permits[request] = (count - len(grant.permits), expires_at)

    # Results from guards

    @handles(messages.TasksDone)
    def on_tasks_done(self, done: messages.TasksDone, sender: Incarnation) -> None:
        """Record results; end the job on its last result or on a failed one."""
        self.fleet.update_load(sender, done.load, self.now())
        self.request_placement()
        job = self.find_job(done.job)
        if job is None:
            return
        accepted = [
            item for item in done.results if is_outstanding(job, item.index, sender)
        ]
        for result in accepted:
            self.record_result(job, sender, result)
        failed = [result for result in accepted if not result.ok]
        if failed:
            text = failed[0].output.decode("utf-8", "replace")[:200]
            detail = f"Task {failed[0].index}: {text}."
            self.end_job(job, fail(TASK_FAILED, "yes", detail))
        elif job.unfinished == 0:
            results = tuple(task.result for task in job.tasks)
            self.end_job(job, Answer("complete", "", "yes", "", results))

    def find_job(self, name: str) -> Job | None:
        """Return the job that a message names, or None if it is not open here."""
        well_formed = (
            name.isascii() and name.isdecimal() and len(name) <= JOB_NAME_MAX_DIGITS
        )
        return self.jobs.get(int(name)) if well_formed else None

    def record_result(self, job: Job, guard: Incarnation, result: TaskResult) -> None:
        """Store a result and update the run time statistics of its guard."""
        job.tasks[result.index] = job.tasks[result.index]._replace(result=result)
        job.unfinished -= 1
        self.fleet.record_returned(guard, 1)
        spec = job.spec.tasks[result.index]
        if result.ok:
            self.fleet.record_run_time(guard, spec.kind, spec.size_ms, result.run_ms)

    @handles(messages.TasksNotRun)
    def on_tasks_not_run(
        self, returned: messages.TasksNotRun, sender: Incarnation
    ) -> None:
        """Requeue tasks that a guard did not start, within the limits on retries."""
        self.fleet.update_load(sender, returned.load, self.now())
        job = self.find_job(returned.job)
        if job is None or job.state != RUNNING:
            return
        NOT_RUN.labels(reason=returned.reason).inc(len(returned.tasks))
        document = self.view.documents[job.spec.service]
        for index, attempt in returned.tasks:
            if (
                not is_outstanding(job, index, sender)
                or job.tasks[index].attempt != attempt
            ):
                continue
            self.fleet.record_returned(sender, 1)
            now = self.now()
            decision = decide_retry(attempt, document, self.retry_budget, now)
            self.requeue_task(job, index, sender, now + decision.delay_s)
            if not decision.retry:
                self.abort_job(
                    job, RETRIES_EXHAUSTED, f"Last reason: {returned.reason}."
                )
                return
            RETRIES.labels(reason=returned.reason).inc()
            asyncio.get_running_loop().call_later(
                decision.delay_s, self.request_placement
            )

    def requeue_task(
        self, job: Job, index: int, guard: Incarnation, not_before: float
    ) -> None:
        """Return a task to the waiting ones and avoid the guard that returned it."""
        task = job.tasks[index]
        avoided_guards = frozenset(
            [guard, *list(task.avoided_guards)[: MAX_AVOIDED_GUARDS - 1]]
        )
        job.tasks[index] = task._replace(
            guard=None, not_before=not_before, avoided_guards=avoided_guards
        )
        job.waiting[index] = None

    # End of jobs

    def abort_job(self, job: Job, kind: OutcomeKind, detail: str = "") -> None:
        """End a job: as refused if no task may have started, otherwise as failed."""
        if job.started:
            self.end_job(job, fail(kind, "maybe", detail))
        else:
            refused_kind = kind if kind is CANCELLED else NOT_PLACED
            self.end_job(job, refuse(refused_kind, detail))

    def end_job(self, job: Job, answer: Answer) -> None:
        """Answer a job and recall its outstanding tasks."""
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
        self.request_placement()

    def recall_tasks(self, job: Job) -> None:
        """Request that guards drop or stop the outstanding tasks of an ended job."""
        for guard, tasks in outstanding_by_guard(job).items():
            self.fleet.record_returned(guard, len(tasks))
            self.send_probe(job, guard, tasks, drop=True)

    def send_probe(
        self, job: Job, guard: Incarnation, tasks: list[int], drop: bool
    ) -> None:
        """Ask a guard for the state of tasks; with `drop`, also request to end them."""
        attempts = tuple((index, job.tasks[index].attempt) for index in tasks)
        spec = job.spec
        self.send(
            guard, messages.ProbeTasks(job.name, spec.service, spec.key, attempts, drop)
        )

    @handles(local.CancelAdmittedJob)
    def on_cancel_admitted_job(
        self, cancel: local.CancelAdmittedJob, sender: Incarnation
    ) -> None:
        """End a job that its caller cancelled."""
        job = self.jobs.get(cancel.token)
        if job is not None and job.state == RUNNING:
            self.abort_job(job, CANCELLED)

    # Guards, view and timers

    @handles(messages.Heartbeat)
    def on_heartbeat(self, heartbeat: messages.Heartbeat, sender: Incarnation) -> None:
        """Update the record of a guard and the loads of its targets."""
        now = self.now()
        self.fleet.record_heartbeat(sender, heartbeat.place, now)
        for load in heartbeat.loads:
            self.fleet.update_load(sender, load, now)
        self.fleet.retain_services(sender, (load.service for load in heartbeat.loads))
        self.request_placement()

    @handles(local.ViewChanged)
    def on_view_changed(self, change: local.ViewChanged, sender: Incarnation) -> None:
        """Update the guards in service and the number of slots owned here."""
        previous, view = self.view, change.view
        self.view = view
        if view.slots is not previous.slots:
            self.owned_slots = sum(row.owner == self.me for row in view.slots.values())
        if (view.guards, view.zones_out) != (previous.guards, previous.zones_out):
            self.guards_in_service = {
                guard.incarnation
                for guard in view.guards.values()
                if not guard.draining and guard.place.zone not in view.zones_out
            }
        self.request_placement()

    @handles(Tick)
    def on_tick(self, tick: Tick, sender: Incarnation) -> None:
        """End jobs that are past their deadline, and probe overdue tasks."""
        now = self.now()
        self.fail_jobs_of_lost_guards(now)
        self.fleet.remove_silent_guards(now)
        for job in [job for job in self.jobs.values() if job.state == RUNNING]:
            if now >= job.deadline_at:
                self.abort_job(job, DEADLINE_PASSED)
            else:
                self.probe_overdue_tasks(job, now)
        waiting = sum(len(job.waiting) for job in self.jobs.values())
        if any(expires_at <= now for _, expires_at in self.requested_permits.values()):
            self.requested_permits = {
                k: item for k, item in self.requested_permits.items() if item[1] > now
            }
            self.request_placement()
        labelled(QUEUED, "owner").set(waiting)

    def probe_overdue_tasks(self, job: Job, now: float) -> None:
        """Ask guards about tasks that have been outstanding for too long."""
        for guard, tasks in outstanding_by_guard(job).items():
            overdue = [
                index
                for index in tasks
                if now - job.tasks[index].probed_at > self.probe_delay_s(job, index)
            ]
            if overdue:
                for index in overdue:
                    job.tasks[index] = job.tasks[index]._replace(probed_at=now)
                self.send_probe(job, guard, overdue, drop=False)

    def probe_delay_s(self, job: Job, index: int) -> float:
        """Return the time after which a guard is asked about an outstanding task."""
        spec, guard = job.spec.tasks[index], job.tasks[index].guard
        expected_ms = spec.size_ms * self.fleet.slowness(guard, spec.kind)
        return max(MIN_PROBE_DELAY_S, PROBE_RUN_TIME_FACTOR * expected_ms / 1000)

    def fail_jobs_of_lost_guards(self, now: float) -> None:
        """Fail jobs with tasks at guards that are no longer registered."""
        registered = {guard.incarnation for guard in self.view.guards.values()}
        busy = {guard for guard, count in self.fleet.outstanding.items() if count}
        self.unregistered_since = {
            guard: self.unregistered_since.get(guard, now)
            for guard in busy - registered
        }
        for guard in [
            guard
            for guard, since in self.unregistered_since.items()
            if now - since > LOST_GUARD_TIMEOUT_S
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
    def on_get_status(self, request: local.GetStatus, sender: Incarnation) -> None:
        """Answer the status page with the numbers of jobs and of waiting tasks."""
        waiting = sum(len(job.waiting) for job in self.jobs.values())
        if not request.reply.done():
            request.reply.set_result(
                {"running": len(self.jobs), "waiting_tasks": waiting}
            )


def batch_key(choice: PlacementChoice) -> tuple[int, Incarnation]:
    """Return the job token and guard, by which tasks share a start message."""
    return choice.task.token, choice.guard


def is_outstanding(job: Job, index: int, guard: Incarnation) -> bool:
    """Return whether a task of a job is at a guard and has no result yet."""
    if not 0 <= index < len(job.tasks):
        return False
    task = job.tasks[index]
    return task.guard == guard and task.result is None


def outstanding_by_guard(job: Job) -> dict[Incarnation, list[int]]:
    """Return the indices of a job's outstanding tasks, by guard."""
    outstanding: dict[Incarnation, list[int]] = {}
    for index, task in enumerate(job.tasks):
        if task.guard is not None and task.result is None:
            outstanding.setdefault(task.guard, []).append(index)
    return outstanding


def placeable_tasks(job: Job, now: float) -> list[WaitingTask]:
    """Return a job's waiting tasks whose retry delay is over."""

    def to_waiting_task(index: int, task: TaskState) -> WaitingTask:
        spec = job.spec.tasks[index]
        start_by = job.start_by(index)
        return WaitingTask(
            job.token, index, spec.kind, spec.size_ms, start_by, task.avoided_guards
        )

    return [
        to_waiting_task(index, job.tasks[index])
        for index in job.waiting
        if job.tasks[index].not_before <= now
    ]
