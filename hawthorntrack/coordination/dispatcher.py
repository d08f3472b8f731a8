"""The task of an entry instance that takes jobs in steps and places their tasks."""

import asyncio
from collections import defaultdict
from collections.abc import Callable
from typing import Any, NamedTuple

from hawthorntrack.coordination.packing import choose_place, suits
from hawthorntrack.coordination.peers import ABSENT, SILENT_S, GuardPeer
from hawthorntrack.coordination.progress import PLACED, WAITING, Job, Task
from hawthorntrack.coordination.waiting import (
    FairShares,
    latest_end,
    retry_after_s,
)
from hawthorntrack.protocol.dispatch import (
    CheckRuns,
    DropJob,
    Ending,
    Hello,
    Pulse,
    RunOrder,
    RunsEnded,
    RunsRefused,
    RunsTaken,
    StartRuns,
    StopRuns,
    Vouch,
)
from hawthorntrack.protocol.jobs import (
    CallerLeft,
    CancelPlan,
    CountWaiting,
    DirectivesChanged,
    LookUpPlan,
    SubmitPlan,
)
from hawthorntrack.protocol.links import Hangup, LinkDown, LinkUp
from hawthorntrack.protocol.local import Drain, Drained
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.catalogue import Queue, QueueIndex
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.directives import Directives
from hawthorntrack.state.events import log_event
from hawthorntrack.state.mailbox import Mailbox, Tick
from hawthorntrack.state.metrics import (
    JOB_SECONDS,
    REFUSALS,
    RETRIES,
    WAIT_SECONDS,
    labelled,
)
from hawthorntrack.state.plans import RunName, TaskName
from hawthorntrack.state.values import Incarnation
from hawthorntrack.state.verdicts import (
    Abandoned,
    BadJob,
    Completed,
    JobFailed,
    JobState,
    NoQueue,
    Refused,
    UnknownJob,
    Verdict,
)

STOOD_STILL_S = 0.5  # ten ticks: the process was suspended, or had no processor
RETAKE_S = 0.06  # for a guard to stop the run of an earlier submission
STARTING_S = 3.0  # two intervals of targets' heartbeats, for guards and targets to show
CONFIGURATION_LOOK_S = 0.02
DRAIN_OPEN_S = 2.6  # the balancer needs two misses, a second apart, to notice
ANSWERS_WINDOW_S = 2.0
JUDGED_ENDS = {"failed"}


class Retake(NamedTuple):
    """Tells the dispatcher that a task may be placed again."""

    task: TaskName


class Dispatcher(Actor):
    """Owns the jobs of one entry instance.

    Parameters
    ----------
    zone : str
        Where this instance runs.
    far_factor : float
        Factor on a task's run time away from the rack of its data.
    send : callable
        Takes a peer's address and a message.
    links : Mailbox
        Takes `Hangup`.
    drained : Mailbox
        Gets `Drained` when nothing is left after a `Drain`.
    on_ready : callable
        Is told whether jobs can be taken.
    clock : callable
        Returns seconds, suspended time included.
    """

    def __init__(
        self,
        zone: str,
        far_factor: float,
        send: Callable[[str, Any], None],
        links: Mailbox,
        drained: Mailbox,
        on_ready: Callable[[bool, str], None],
        clock: Clock,
    ) -> None:
        super().__init__()
        self.zone = zone
        self.far_factor = far_factor
        self.send = send
        self.links = links
        self.drained = drained
        self.on_ready = on_ready
        self.clock = clock
        self.directives = Directives()
        self.index = QueueIndex(self.directives.catalogue)
        self.jobs: dict[str, Job] = {}
        self.peers: dict[str, GuardPeer] = {}
        self.shares = FairShares()
        self.answered: list[float] = []
        self.began_at = clock()
        self.handled_at = 0.0
        self.drain_began: float | None = None
        self.dirty = False

    def handle(self, message: Any) -> None:
        """Handle one message, then place what can be placed."""
        now = self.clock()
        if self.handled_at and now - self.handled_at > STOOD_STILL_S:
            self.notice_suspension(now - self.handled_at)
        self.handled_at = now
        super().handle(message)
        if self.dirty and self.mailbox.queue.empty():
            self.dirty = False
            self.place_waiting()

    def notice_suspension(self, lasted_s: float) -> None:
        """Start nothing more of jobs whose callers may have gone elsewhere."""
        log_event("process:stood_still", lasted_s=round(lasted_s, 3))
        for job in self.jobs.values():
            job.suspended = True
        for peer in self.peers.values():
            peer.heard_at = min(peer.heard_at, self.clock() - SILENT_S / 2)

    # Callers

    @handles(SubmitPlan)
    def submit(self, order: SubmitPlan, sender: Incarnation) -> None:
        """Take a job, or refuse it at once."""
        now = self.clock()
        if not self.directives.catalogue.version:
            if now < self.began_at + STARTING_S:
                self.later(CONFIGURATION_LOOK_S, order)
            else:
                self.refuse(order, Refused("no_configuration", 1))
            return
        queue = self.index.find(order.host, order.path)
        if queue is None:
            self.settle(order.reply, NoQueue())
            return
        if order.plan is None:
            log_event("job:unreadable", queue=queue.name, problem=order.problem)
            self.settle(order.reply, BadJob(order.problem))
            return
        known = self.jobs.get(order.plan.key)
        if known is not None:
            known.replies.append(order.reply)
            return
        verdict = self.admit(order, queue, now)
        if verdict is not None:
            self.refuse(order, verdict)
            return
        job = Job(order.plan, queue, order.reply, now, order.deadline_s)
        self.jobs[order.plan.key] = job
        log_event(
            "job:taken",
            job=order.plan.key,
            queue=queue.name,
            tasks=len(job.tasks),
            objective_ms=round(job.objective * 1000),
            config=self.directives.catalogue.version,
        )
        self.dirty = True

    def admit(self, order: SubmitPlan, queue: Queue, now: float) -> Verdict | None:
        """Return why a job is not taken, or None."""
        if self.drain_began is not None and now > self.drain_began + DRAIN_OPEN_S:
            return Refused("draining", 1)
        if order.plan.kept:
            return Refused("kept_jobs_not_offered", 5)
        rooms = [
            peer.room
            for peer in self.peers.values()
            if peer.room.service == queue.service
        ]
        if not rooms:
            # Targets announce themselves within two heartbeats of a guard's start.
            starting = now < self.began_at + STARTING_S
            return None if starting else Refused("no_target", 1)
        if not all(any(suits(room, s) for room in rooms) for s in order.plan.steps):
            return JobFailed("no_target_is_large_enough")
        return None

    def later(self, delay_s: float, message: Any) -> None:
        """Post a message to this task after a while."""
        asyncio.get_running_loop().call_later(delay_s, self.mailbox.put, message)

    def refuse(self, order: SubmitPlan, verdict: Verdict) -> None:
        """Answer a submission that is not taken."""
        reason = getattr(verdict, "reason", "")
        labelled(REFUSALS, reason).inc()
        log_event(
            "job:refused",
            job=order.plan.key if order.plan else "",
            reason=reason,
            waiting=len(self.jobs),
            as_of=self.directives.stamp,
        )
        self.settle(order.reply, verdict)

    @handles(CallerLeft)
    def caller_left(self, news: CallerLeft, sender: Incarnation) -> None:
        """Drop a job that nobody waits for any more."""
        job = self.jobs.get(news.key)
        if job is None or news.reply not in job.replies:
            return
        job.replies.remove(news.reply)
        if not job.replies:
            self.end(job, Abandoned("caller_left"))

    @handles(CancelPlan)
    def cancel(self, order: CancelPlan, sender: Incarnation) -> None:
        """Drop a job, here and wherever else it may be."""
        for address in self.peers:
            self.send(address, DropJob(order.key))
        job = self.jobs.get(order.key)
        if job is None:
            self.settle(order.reply, UnknownJob())
            return
        self.end(job, Abandoned("cancelled"))
        self.settle(order.reply, JobState("cancelled"))

    @handles(LookUpPlan)
    def look_up(self, order: LookUpPlan, sender: Incarnation) -> None:
        """Tell the state of a job that is open here."""
        if self.index.find(order.host, order.path) is None:
            self.settle(order.reply, NoQueue())
            return
        job = self.jobs.get(order.key)
        if job is None:
            self.settle(order.reply, UnknownJob())
        else:
            self.settle(order.reply, JobState("running" if job.begun else "queued"))

    @handles(CountWaiting)
    def count_waiting(self, order: CountWaiting, sender: Incarnation) -> None:
        """Tell how many jobs of a queue wait for their first task."""
        queue = self.index.find(order.host, order.path)
        if queue is None:
            self.settle(order.reply, NoQueue())
            return
        jobs = self.jobs.values()
        waiting = sum(not job.begun and job.queue.name == queue.name for job in jobs)
        self.settle(order.reply, waiting)

    def settle(self, reply: asyncio.Future, verdict: Any) -> None:
        """Give a verdict to whoever still waits for it."""
        if not reply.done():
            reply.set_result(verdict)

    def end(self, job: Job, verdict: Verdict) -> None:
        """Answer a job and stop what still runs of it."""
        now = self.clock()
        name = type(verdict).__name__.lower()
        reason = getattr(verdict, "reason", "")
        self.jobs.pop(job.plan.key, None)
        stops: dict[str, list[RunName]] = defaultdict(list)
        for task in job.tasks.values():
            if task.phase == PLACED:
                stops[task.guard].append(task.run)
                self.peers[task.guard].runs.pop(task.name, None)
        for address, runs in stops.items():
            self.send(address, StopRuns(tuple(runs)))
        for reply in job.replies:
            self.settle(reply, verdict)
        if isinstance(verdict, Refused):
            labelled(REFUSALS, reason).inc()
        elif isinstance(verdict, Completed):
            self.answered.append(now)
        labelled(JOB_SECONDS, job.queue.name, name).observe(now - job.arrived)
        log_event(
            "job:answered",
            job=job.plan.key,
            answer=name,
            reason=reason,
            after_ms=round((now - job.arrived) * 1000),
            objective_ms=round(job.objective * 1000),
            stopped=sum(map(len, stops.values())),
        )
        self.dirty = True
        self.report_drained()

    # Placing

    def place_waiting(self) -> None:
        """Place waiting tasks, fair among queues, oldest first within each."""
        now = self.clock()
        places = {
            address: peer.place()
            for address, peer in self.peers.items()
            if peer.open(now, self.directives.zones_out)
        }
        if not places:
            return
        queues: dict[str, list[Job]] = defaultdict(list)
        for job in self.jobs.values():
            if not job.suspended and job.waiting():
                queues[job.queue.name].append(job)
        self.shares.settle(queues)
        for jobs in queues.values():
            jobs.sort(key=lambda job: (not job.begun, job.arrived))
        batches: dict[tuple[str, str], list[RunOrder]] = defaultdict(list)
        heads = {name: iter(jobs) for name, jobs in queues.items()}
        while heads:
            name = self.shares.lowest(heads)
            job = next(heads[name], None)
            if job is None or not self.place_job(job, places, batches, now):
                del heads[name]
        for (key, address), orders in batches.items():
            job = self.jobs[key]
            left_ms = max(1, round((job.useless_at - now) * 1000))
            stamp_ms = self.peers[address].stamp_ms
            order = StartRuns(stamp_ms, job.plan.payload, left_ms, tuple(orders))
            self.send(address, order)

    def place_job(
        self,
        job: Job,
        places: dict[str, Any],
        batches: dict[tuple[str, str], list[RunOrder]],
        now: float,
    ) -> bool:
        """Place a job's waiting tasks; return whether all of them found room."""
        end_by = latest_end(
            job.arrived, job.objective, job.patient_until, now, job.begun
        )
        for task in job.waiting():
            place = choose_place(
                (p for p in places.values() if p.room.service == job.queue.service),
                task.step,
                self.zone,
                self.far_factor,
                task.avoid,
                end_by - now,
            )
            if place is None:
                return False
            need = task.step.need
            places[place.address] = place._replace(
                free=place.free.minus(need), siblings=place.siblings + 1
            )
            self.assign(job, task, self.peers[place.address])
            estimate_ms = round(task.step.estimate_s * 1000)
            batches[job.plan.key, place.address].append(
                RunOrder(task.run, need, estimate_ms)
            )
        labelled(WAIT_SECONDS, job.queue.name).observe(now - job.arrived)
        return True

    def assign(self, job: Job, task: Task, peer: GuardPeer) -> None:
        """Note that a task is sent to a guard."""
        task.phase, task.guard, task.guard_life = PLACED, peer.address, peer.nonce
        job.begun = True
        peer.runs[task.name] = task.run
        peer.unconfirmed[task.run] = task.step.need
        work = task.step.need.cpu_m / 1000 * task.step.estimate_s
        self.shares.charge(job.queue.name, work)

    def task_at(self, peer: GuardPeer, run: RunName) -> tuple[Job, Task] | None:
        """Return the job and task of a run that is believed to be at a guard."""
        job = self.jobs.get(run.task.job)
        task = job.tasks.get(run.task) if job else None
        if task is None or task.phase != PLACED or task.guard != peer.address:
            return None
        return (job, task) if task.run == run else None

    def give_back(self, job: Job, task: Task, wait_s: float = 0.0) -> None:
        """Have a task placed again, unless its job is to start nothing more."""
        task.guard = ""
        if job.suspended:
            self.end(job, Abandoned("stood_still"))
            return
        task.phase = "paused" if wait_s else WAITING
        if wait_s:
            self.later(wait_s, Retake(task.name))
        self.dirty = True

    @handles(Retake)
    def retake(self, order: Retake, sender: Incarnation) -> None:
        """Let a paused task wait for a place again."""
        job = self.jobs.get(order.task.job)
        task = job.tasks.get(order.task) if job else None
        if task is not None and task.phase == "paused":
            task.phase = WAITING
            self.dirty = True

    # Guards

    def peer(self, sender: Incarnation) -> GuardPeer:
        """Return what is known of a guard, with the time it was heard."""
        peer = self.peers.get(sender.address)
        if peer is None:
            peer = self.peers[sender.address] = GuardPeer(sender.address)
        peer.heard_at = self.clock()
        return peer

    @handles(Hello)
    def greet(self, hello: Hello, sender: Incarnation) -> None:
        """Know a guard; tell it which runs it should have."""
        if hello.role != "guard":
            return
        peer = self.peer(sender)
        peer.linked = True
        peer.unconfirmed.clear()
        log_event("guard:linked", guard=str(sender), runs=len(peer.runs))
        if peer.nonce != sender.nonce:
            peer.nonce = sender.nonce
            peer.room = ABSENT
        else:
            self.send(sender.address, CheckRuns(tuple(peer.runs.values())))

    @handles(LinkUp)
    def link_up(self, news: LinkUp, sender: Incarnation) -> None:
        """Wait for the peer's first message, which tells its role."""

    @handles(LinkDown)
    def link_down(self, news: LinkDown, sender: Incarnation) -> None:
        """Send nothing to a guard until its link is back."""
        peer = self.peers.get(news.address)
        if peer is not None:
            log_event("guard:lost", guard=news.address, runs=len(peer.runs))
            peer.linked = False

    @handles(Pulse)
    def take_pulse(self, pulse: Pulse, sender: Incarnation) -> None:
        """Answer a guard's heartbeat."""
        peer = self.peer(sender)
        if not peer.linked or peer.nonce != sender.nonce:
            return
        peer.pulse_at, peer.stamp_ms = peer.heard_at, pulse.stamp_ms
        peer.take_room(pulse.room)
        zones_out = tuple(sorted(self.directives.zones_out))
        vouch = Vouch(pulse.stamp_ms, self.directives.stamp, zones_out)
        self.send(sender.address, vouch)
        if peer.room.standing == "ready":
            self.forget_earlier_life(peer)
        self.report_ready()
        self.dirty = True

    def forget_earlier_life(self, peer: GuardPeer) -> None:
        """Place again what an earlier life of a guard had; its target has none."""
        lost = [
            found
            for run in peer.runs.values()
            if (found := self.task_at(peer, run)) and found[1].guard_life != peer.nonce
        ]
        for job, task in lost:
            peer.runs.pop(task.name, None)
            labelled(RETRIES, "guard_restarted").inc()
            self.give_back(job, task)

    @handles(RunsTaken)
    def take_taken(self, news: RunsTaken, sender: Incarnation) -> None:
        """Count runs as part of the room that the guard reports."""
        peer = self.peer(sender)
        for run in news.runs:
            peer.unconfirmed.pop(run, None)
        peer.take_room(news.room)

    @handles(RunsRefused)
    def take_refused(self, news: RunsRefused, sender: Incarnation) -> None:
        """Place tasks elsewhere that a guard did not start."""
        peer = self.peer(sender)
        peer.take_room(news.room)
        for run, number in zip(news.runs, news.numbers, strict=True):
            peer.unconfirmed.pop(run, None)
            found = self.task_at(peer, run)
            if found is None:
                continue
            peer.runs.pop(run.task, None)
            job, task = found
            labelled(RETRIES, news.reason).inc()
            task.number = max(task.number, number + 1)
            if news.reason == "invalid":
                self.end(job, JobFailed("target_refused_task"))
            else:
                busy = news.reason == "still_running"
                self.give_back(job, task, RETAKE_S if busy else 0.0)
        self.dirty = True

    @handles(RunsEnded)
    def take_ended(self, news: RunsEnded, sender: Incarnation) -> None:
        """Take ends of runs in."""
        peer = self.peer(sender)
        peer.take_room(news.room)
        for ending in news.endings:
            peer.unconfirmed.pop(ending.name, None)
            found = self.task_at(peer, ending.name)
            if found is not None:
                peer.runs.pop(ending.name.task, None)
                self.task_ended(*found, ending)
        self.dirty = True

    def task_ended(self, job: Job, task: Task, ending: Ending) -> None:
        """Go on with a job after one of its runs has ended."""
        if ending.how == "done":
            job.complete_task(task)
            if job.complete:
                self.end(job, Completed())
            return
        labelled(RETRIES, f"run_{ending.how}").inc()
        log_event(
            "run:ended",
            job=job.plan.key,
            task=f"{task.name.step}.{task.name.index}",
            how=ending.how,
            guard=task.guard,
            failures=task.failures,
        )
        task.number = max(task.number, ending.number) + 1
        if ending.how in ("superseded", "cancelled"):
            self.end(job, Abandoned(ending.how))
            return
        if ending.how in JUDGED_ENDS:
            task.failures += 1
            task.avoid |= {task.guard}
            if task.failures >= job.queue.max_attempts:
                self.end(job, JobFailed("task_failed"))
                return
        elif ending.how == "hung":
            task.avoid |= {task.guard}
        self.give_back(job, task)

    # Time and directives

    @handles(DirectivesChanged)
    def take_directives(self, news: DirectivesChanged, sender: Incarnation) -> None:
        """Go by what operators have put in force."""
        before, self.directives = self.directives, news.directives
        if before.catalogue is not news.directives.catalogue:
            self.index = QueueIndex(news.directives.catalogue)
        log_event(
            "directives:changed",
            version=news.directives.catalogue.version,
            as_of=news.directives.stamp,
            zones_out=",".join(sorted(news.directives.zones_out)),
        )
        self.report_ready()
        self.dirty = True

    @handles(Tick)
    def keep_time(self, tick: Tick, sender: Incarnation) -> None:
        """End jobs whose time is over, and give up on silent guards."""
        now = self.clock()
        for job in list(self.jobs.values()):
            if job.useless_at <= now:
                verdict = Abandoned("deadline") if job.begun else self.overloaded(now)
                self.end(job, verdict)
            elif not job.begun and job.patient_until <= now:
                self.end(job, self.overloaded(now))
            elif job.suspended and job.waiting():
                self.end(job, Abandoned("stood_still"))
        for peer in self.peers.values():
            if peer.linked and now - peer.heard_at > SILENT_S:
                log_event("guard:silent", guard=peer.address, runs=len(peer.runs))
                peer.linked = False
                self.links.put(Hangup(peer.address))
            if not peer.linked and peer.runs and now > peer.gone_by():
                self.give_up_runs(peer)
        self.answered = [at for at in self.answered if at > now - ANSWERS_WINDOW_S]
        self.report_ready()
        self.report_drained()

    def overloaded(self, now: float) -> Refused:
        """Return the refusal of a job that found no room in time."""
        waiting = sum(not job.begun for job in self.jobs.values())
        rate = len(self.answered) / ANSWERS_WINDOW_S
        return Refused("overloaded", retry_after_s(waiting, rate), overloaded=True)

    def give_up_runs(self, peer: GuardPeer) -> None:
        """Place again what a guard had that has been silent for long."""
        runs, peer.runs = peer.runs, {}
        peer.unconfirmed.clear()
        log_event("guard:given_up", guard=peer.address, runs=len(runs))
        for run in runs.values():
            found = self.task_at(peer, run)
            if found is not None:
                labelled(RETRIES, "guard_silent").inc()
                found[1].number += 1
                self.give_back(*found)

    def report_ready(self) -> None:
        """Tell whether jobs can be taken."""
        if self.drain_began is not None:
            return
        now = self.clock()
        if not self.directives.catalogue.version:
            self.on_ready(False, "no_configuration")
        elif not any(p.linked and now - p.heard_at < 1 for p in self.peers.values()):
            self.on_ready(False, "no_guard")
        else:
            self.on_ready(True, "")

    @handles(Drain)
    def drain(self, order: Drain, sender: Incarnation) -> None:
        """Take jobs only until the balancer has noticed."""
        self.drain_began = self.clock()
        self.on_ready(False, "draining")

    def report_drained(self) -> None:
        """Say when nothing is left to answer."""
        if self.drain_began is None or self.jobs:
            return
        if self.clock() > self.drain_began + DRAIN_OPEN_S:
            self.drained.put(Drained(type(self).__name__))
