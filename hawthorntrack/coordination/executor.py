"""Actor of a guard that executes tasks on the target beside it.

It admits, queues or refuses tasks, grants permits for free slots, and reports results
and the target's load.
"""

import itertools
from collections import OrderedDict, deque
from typing import NamedTuple

from eliot import log_message

from hawthorntrack.coordination import health
from hawthorntrack.coordination.slot_replication import Send
from hawthorntrack.coordination.start_checks import StartConditions, refusal_reason
from hawthorntrack.protocol import local, messages
from hawthorntrack.protocol.bodies import AnnouncementBody
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.control_view import ControlView
from hawthorntrack.state.guard_view import moving_average
from hawthorntrack.state.mailbox import Mailbox, Tick
from hawthorntrack.state.metrics import NOT_RUN, QUEUED, RUNNING, STARTS, labelled
from hawthorntrack.state.naming import exposed_name
from hawthorntrack.state.settings import Settings
from hawthorntrack.state.started_tasks import StartedTask, StartRecords, TaskKey
from hawthorntrack.state.values import (
    GuardInfo,
    Incarnation,
    TargetLoad,
    TaskResult,
    TaskSpec,
)

PERMIT_LIFETIME_S = 0.25
DEFAULT_RETENTION_S = 600
DEFAULT_QUEUE_LIMIT = 4


class QueuedTask(NamedTuple):
    """A task that waits at the guard for a slot of the target.

    Attributes
    ----------
    deadline_at : float
        Loop time of the job's deadline, in seconds.
    start_by : float
        Loop time in seconds after which a start would delay its job's answer. The task
        with the earliest one is started first.
    """

    owner: Incarnation
    job: str
    key: str
    index: int
    attempt: int
    spec: TaskSpec
    deadline_at: float
    start_by: float = 0.0


class Reservation(NamedTuple):
    """A request of an owner for permits, while it waits for free slots."""

    owner: Incarnation
    service: str
    count: int
    until: float


class Target(NamedTuple):
    """A target with its last announcement.

    Attributes
    ----------
    heard_at : float
        Loop time of the last announcement, in seconds.
    """

    body: AnnouncementBody
    heard_at: float


class Executor(Actor):
    """Owns the slots of the target and the records of tasks started there.

    Parameters
    ----------
    me : GuardInfo
        This guard.
    settings : Settings
        Its settings.
    send : callable
        Sends a message to an incarnation.
    heartbeat_mailbox : Mailbox
        Receives `LoadChanged`.
    drained : Mailbox
        Receives `DrainCompleted` once all tasks have finished after a `Drain`.

    Attributes
    ----------
    client : Mailbox
        Mailbox of the actor that sends requests to the target; set after construction.
    permits : OrderedDict
        Owner and expiry of each permit that was granted and not used.
    speed : float
        Moving average of declared run time over measured run time.
    """

    def __init__(
        self,
        me: GuardInfo,
        settings: Settings,
        send: Send,
        heartbeat_mailbox: Mailbox,
        drained: Mailbox,
    ) -> None:
        super().__init__(settings.bounds.mailbox)
        self.me = me
        self.settings = settings
        self.send = send
        self.client: Mailbox | None = None
        self.heartbeat_mailbox = heartbeat_mailbox
        self.drained = drained
        self.view = ControlView()
        self.target: Target | None = None
        self.health = health.Health()
        self.start_records = StartRecords()
        self.running: dict[TaskKey, TaskSpec] = {}
        self.queue: dict[TaskKey, QueuedTask] = {}
        self.permits: OrderedDict[str, tuple[Incarnation, float]] = OrderedDict()
        self.reservations: deque[Reservation] = deque()
        self.permit_numbers = itertools.count(1)
        self.speed = 1.0
        self.sequence = 0
        self.draining = False

    @handles(messages.StartTasks)
    def on_start_tasks(self, message: messages.StartTasks, sender: Incarnation) -> None:
        """Start, queue or refuse each task of an order."""
        now = self.now()
        refused: dict[str, list[tuple[int, int]]] = {}
        for item in message.tasks:
            name = (message.service, message.key, item.index)
            task = QueuedTask(
                sender,
                message.job,
                message.key,
                item.index,
                item.attempt,
                item.spec,
                now + message.remaining_ms / 1000,
                now + item.slack_ms / 1000,
            )
            if name in self.queue or self.resend_result(name):
                continue
            reason = self.admit(name, task, item.permit)
            if reason is not None:
                refused.setdefault(reason, []).append((item.index, item.attempt))
        for reason, tasks in refused.items():
            self.refuse(sender, message.job, message.service, tasks, reason)
        self.report_load()

    def resend_result(self, name: TaskKey) -> bool:
        """Return whether a task was started before; send its result if there is one."""
        known = self.start_records.find(name)
        if known is not None and known.result is not None:
            self.report(name, known)
        return known is not None

    def admit(self, name: TaskKey, task: QueuedTask, permit: str) -> str | None:
        """Start or queue a task; return the reason if it is refused, otherwise None."""
        if self.start_records.is_attempt_forbidden(name, task.attempt):
            return "dropped"
        reason = refusal_reason(
            self.start_conditions(task.deadline_at, name[0]), task.spec.kind
        )
        if reason is None and permit:
            if self.permits.pop(permit, None) is None:
                reason = "permit_expired"
            else:
                self.start_task(name, task)
        elif reason is None and self.free_slots() > 0 and not self.queue:
            self.start_task(name, task)
        elif reason is None:
            reason = self.enqueue(name, task)
        return reason

    def enqueue(self, name: TaskKey, task: QueuedTask) -> str | None:
        """Queue a task; return the reason if the queue is full, otherwise None."""
        document = self.view.documents.get(name[0])
        limit = document.guard_queue if document else DEFAULT_QUEUE_LIMIT
        if len(self.queue) >= limit:
            return "queue_full"
        self.queue[name] = task
        return None

    def start_task(self, name: TaskKey, task: QueuedTask) -> None:
        """Start a task on the target; from now on it must be assumed to have run."""
        self.start_records.start(name, StartedTask(task.owner, task.job, self.now()))
        self.running[name] = task.spec
        self.health = health.after_task_start(self.health)
        STARTS.inc()
        address = self.target.body["address"]
        self.client.put(local.RunTask(name, address, task.key, task.index, task.spec))

    def start_conditions(self, deadline_at: float, service: str) -> StartConditions:
        """Return the conditions that decide whether a task may start now."""
        now = self.now()
        target = self.target
        body = target.body if target else None
        has_target = (
            target is not None
            and now - target.heard_at <= self.settings.timing.target_ttl_s
            and body["service"] == service
        )
        zones = {self.me.place.zone} | ({body["zone"]} if body else set())
        return StartConditions(
            view_fresh=self.view.is_fresh(now, self.settings.timing.freshness_s),
            zone_out=bool(zones & self.view.zones_out),
            draining=self.draining,
            has_target=has_target,
            leaving=bool(body and body.get("leaving", False)),
            kinds=frozenset(body["kinds"]) if body else frozenset(),
            ejected=self.health.ejected_until > now,
            past_deadline=now >= deadline_at,
        )

    def free_slots(self) -> int:
        """Return how many more tasks may be started on the target now."""
        slots = self.target.body["slots"] if self.target else 0
        allowed = health.capacity(self.health, slots, self.now())
        return allowed - len(self.running) - len(self.permits)

    def refuse(
        self,
        owner: Incarnation,
        job: str,
        service: str,
        tasks: list[tuple[int, int]],
        reason: str,
    ) -> None:
        """Report to an owner that attempts were not started and never will be."""
        NOT_RUN.labels(reason=f"guard_{reason}").inc(len(tasks))
        load = self.load(service)
        self.send(owner, messages.TasksNotRun(job, tuple(tasks), reason, load))

    @handles(local.TargetAnswered)
    def on_target_answered(
        self, answered: local.TargetAnswered, sender: Incarnation
    ) -> None:
        """Report a result and assign the slot that it frees."""
        spec = self.running.pop(answered.name)
        now = self.now()
        key = answered.name[1]
        self.health = health.after_result(self.health, key, answered.target_fault, now)
        if self.health.ejected_until > now:
            log_message(
                "target:ejected",
                process=str(self.me.incarnation),
                until=self.health.ejected_until,
            )
        if answered.ok and answered.run_ms > 0:
            self.speed = moving_average(self.speed, spec.size_ms / answered.run_ms)
        result = TaskResult(
            answered.name[2], answered.ok, answered.output, round(answered.run_ms, 2)
        )
        self.assign_free_slots()
        self.report(answered.name, self.start_records.finish(answered.name, result))
        self.report_load()

    def report(self, name: TaskKey, task: StartedTask) -> None:
        """Send the result of a task to its owner."""
        load = self.load(name[0])
        self.send(task.owner, messages.TasksDone(task.job, (task.result,), load))

    def assign_free_slots(self) -> None:
        """Assign free slots to queued tasks first, then to reservations."""
        while self.queue and self.free_slots() > 0:
            name = min(self.queue, key=lambda name: self.queue[name].start_by)
            task = self.queue.pop(name)
            reason = refusal_reason(
                self.start_conditions(task.deadline_at, name[0]), task.spec.kind
            )
            if reason is None:
                self.start_task(name, task)
            else:
                self.refuse_queued(name, task, reason)
        while self.reservations and self.free_slots() > 0:
            self.grant(self.reservations.popleft())

    def refuse_queued(self, name: TaskKey, task: QueuedTask, reason: str) -> None:
        """Refuse a task that was queued, and forbid that attempt of it."""
        self.start_records.forbid_attempt(name, task.attempt, self.now())
        tasks = [(task.index, task.attempt)]
        self.refuse(task.owner, task.job, name[0], tasks, reason)

    @handles(messages.Reserve)
    def on_reserve(self, request: messages.Reserve, sender: Incarnation) -> None:
        """Grant permits now, or queue the request until slots are free."""
        until = self.now() + request.wait_ms / 1000
        reservation = Reservation(sender, request.service, request.count, until)
        if self.free_slots() > 0 and not self.queue:
            self.grant(reservation)
        else:
            self.reservations.append(reservation)

    def grant(self, reservation: Reservation) -> None:
        """Grant as many permits as there are free slots, and queue the rest.

        Explanation
        -----------
        The request is dropped if no task of the service may start now.
        """
        conditions = self.start_conditions(reservation.until, reservation.service)
        if refusal_reason(conditions, next(iter(conditions.kinds), "")) is not None:
            return
        count = min(reservation.count, self.free_slots())
        granted = tuple(str(next(self.permit_numbers)) for _ in range(count))
        until = self.now() + PERMIT_LIFETIME_S
        self.permits.update((permit, (reservation.owner, until)) for permit in granted)
        load = self.load(reservation.service)
        self.send(reservation.owner, messages.Grant(reservation.service, granted, load))
        if reservation.count > count:
            self.reservations.append(
                reservation._replace(count=reservation.count - count)
            )

    @handles(messages.Release)
    def on_release(self, release: messages.Release, sender: Incarnation) -> None:
        """Release unused permits and cancel the sender's queued reservations."""
        for permit in release.permits:
            if self.permits.get(permit, (None,))[0] == sender:
                del self.permits[permit]
        self.reservations = deque(
            reservation
            for reservation in self.reservations
            if (reservation.owner, reservation.service) != (sender, release.service)
        )
        self.assign_free_slots()

    @handles(messages.ProbeTasks)
    def on_probe_tasks(self, probe: messages.ProbeTasks, sender: Incarnation) -> None:
        """Report the state of tasks; forbid the attempts that were not started.

        Explanation
        -----------
        A probe with `drop` set also stops those that are running and removes those that
        are queued.
        """
        refused = []
        for index, attempt in probe.tasks:
            name = (probe.service, probe.key, index)
            if name in self.queue and not probe.drop:
                continue
            if name in self.running and probe.drop:
                self.client.put(local.StopTask(name))
            if not self.resend_result(name):
                self.queue.pop(name, None)
                self.start_records.forbid_attempt(name, attempt, self.now())
                refused.append((index, attempt))
        if refused:
            reason = "dropped" if probe.drop else "never_arrived"
            if not probe.drop:
                self.refuse(sender, probe.job, probe.service, refused, reason)
        self.assign_free_slots()

    @handles(local.AnnounceTarget)
    def on_announce_target(
        self, announced: local.AnnounceTarget, sender: Incarnation
    ) -> None:
        """Accept a target's announcement, unless another target is present."""
        body, now = announced.body, self.now()
        known = self.target
        occupied = (
            known is not None
            and known.body["address"] != body["address"]
            and now - known.heard_at <= self.settings.timing.target_ttl_s
        )
        if occupied:
            refusal = (
                f"Target {known.body['address']} is here: stop it first, or announce"
                " to the guard beside the new one."
            )
        else:
            refusal = None
            self.accept_announcement(body, now)
        if not announced.reply.done():
            announced.reply.set_result(refusal)

    def accept_announcement(self, body: AnnouncementBody, now: float) -> None:
        """Store a target's announcement; reset the health if the target is new."""
        known = self.target
        if known is None or known.body["address"] != body["address"]:
            self.health = health.Health()
            self.client.put(local.SetConnections(body["connections"]))
            log_message(
                "target:announced",
                process=str(self.me.incarnation),
                address=body["address"],
                service=body["service"],
                slots=body["slots"],
            )
        self.target = Target(body, now)
        if known is None or known.body != body:
            self.report_load()
        self.assign_free_slots()

    def load(self, service: str) -> TargetLoad:
        """Return the load of the target, with no slots while it accepts no tasks."""
        self.sequence += 1
        body = self.target.body if self.target else None
        if body is None or body["service"] != service:
            return TargetLoad(service, (), 0, 0, 0, self.speed, self.sequence)
        conditions = self.start_conditions(float("inf"), service)
        accepts_tasks = refusal_reason(conditions, body["kinds"][0]) is None
        slots = health.capacity(self.health, body["slots"], self.now())
        return TargetLoad(
            service,
            tuple(body["kinds"]),
            slots if accepts_tasks else 0,
            len(self.running) + len(self.permits),
            len(self.queue)
            + sum(reservation.count for reservation in self.reservations),
            self.speed,
            self.sequence,
        )

    def report_load(self) -> None:
        """Post the load to the actor that sends heartbeats."""
        target = self.target
        ttl_s = self.settings.timing.target_ttl_s
        target_present = target is not None and self.now() - target.heard_at <= ttl_s
        loads = (self.load(target.body["service"]),) if target_present else ()
        self.heartbeat_mailbox.post(local.LoadChanged(loads))

    @handles(local.ViewChanged)
    def on_view_changed(self, change: local.ViewChanged, sender: Incarnation) -> None:
        """Store a new view of the table and refuse queued tasks that may not start."""
        self.view = change.view
        self.refuse_unstartable()

    def refuse_unstartable(self) -> None:
        """Refuse queued tasks that may no longer start, except for a stale view."""
        for name, task in list(self.queue.items()):
            reason = refusal_reason(
                self.start_conditions(task.deadline_at, name[0]), task.spec.kind
            )
            if reason is not None and reason != "stale_view":
                del self.queue[name]
                self.refuse_queued(name, task, reason)

    @handles(local.Drain)
    def on_drain(self, drain: local.Drain, sender: Incarnation) -> None:
        """Start no more tasks; those that are running finish."""
        self.draining = True
        self.refuse_unstartable()

    @handles(Tick)
    def on_tick(self, tick: Tick, sender: Incarnation) -> None:
        """Expire permits, reservations and start records; report the load."""
        now = self.now()
        for permit in [p for p, (_, until) in self.permits.items() if until < now]:
            del self.permits[permit]
        if self.reservations:
            remaining = (
                reservation
                for reservation in self.reservations
                if reservation.until > now
            )
            self.reservations = deque(remaining)
        retentions_s = [
            document.retention_s for document in self.view.documents.values()
        ]
        self.start_records.expire(now, max(retentions_s, default=DEFAULT_RETENTION_S))
        self.refuse_unstartable()
        self.assign_free_slots()
        self.report_load()
        RUNNING.set(len(self.running))
        labelled(QUEUED, "guard").set(len(self.queue))
        if self.draining and not self.running:
            self.drained.put(local.DrainCompleted(exposed_name(type(self))))

    @handles(local.GetStatus)
    def on_get_status(self, request: local.GetStatus, sender: Incarnation) -> None:
        """Return the target and the counts of tasks for the status page."""
        target = dict(self.target.body) if self.target else None
        status = {
            "target": target,
            "running": len(self.running),
            "queued": len(self.queue),
            "ejected": self.health.ejected_until > self.now(),
        }
        if not request.reply.done():
            request.reply.set_result(status)
