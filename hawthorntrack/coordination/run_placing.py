"""The part of a dispatcher that places tasks on guards and follows their runs."""

import math
from collections import defaultdict
from collections.abc import Callable
from statistics import median
from typing import Any

from hawthorntrack.coordination.ordering import (
    USUAL_ORDER,
    WaitingJob,
    waiting_orders,
)
from hawthorntrack.coordination.packing import choose_place
from hawthorntrack.coordination.peers import GuardPeer
from hawthorntrack.coordination.progress import PLACED, WAITING, Job, Task
from hawthorntrack.coordination.waiting import (
    FairShares,
    slowest_taken,
)
from hawthorntrack.protocol.dispatch import (
    CheckRuns,
    Ending,
    Hello,
    Pulse,
    RunOrder,
    RunsEnded,
    RunsRefused,
    RunsTaken,
    StartRuns,
    Vouch,
)
from hawthorntrack.protocol.links import LinkDown, LinkUp
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.directives import Directives
from hawthorntrack.state.events import log_event
from hawthorntrack.state.metrics import (
    RETRIES,
    WAIT_SECONDS,
    labelled,
)
from hawthorntrack.state.plans import RunName
from hawthorntrack.state.values import Incarnation
from hawthorntrack.state.verdicts import (
    Abandoned,
    Completed,
    JobFailed,
    Verdict,
)

VOUCH_S = 0.15  # below the interval of pulses, so that each of those is answered
NEWS_LINGER_S = 0.5  # two pulses and a half: jobs wait in waves
JUDGED_ENDS = {"failed"}


class RunPlacing(Actor):
    """Owns what an entry instance knows of guards and of the runs there.

    Parameters
    ----------
    zone : str
        Where this instance runs.
    far_factor : float
        Factor on a task's run time away from the rack of its data.
    send : callable
        Takes a peer's address and a message.
    clock : callable
        Returns seconds, suspended time included.
    """

    def __init__(
        self,
        zone: str,
        far_factor: float,
        send: Callable[[str, Any], None],
        clock: Clock,
    ) -> None:
        super().__init__()
        self.zone = zone
        self.far_factor = far_factor
        self.send = send
        self.clock = clock
        self.directives = Directives()
        self.jobs: dict[str, Job] = {}
        self.peers: dict[str, GuardPeer] = {}
        self.shares = FairShares()
        self.order = waiting_orders[USUAL_ORDER]
        self.usual_chain_s: dict[str, float] = {}
        self.wants_news = False
        self.news_wanted_until = 0.0
        self.placing_due = False

    def end(self, job: Job, verdict: Verdict) -> None:
        """Answer a job and stop what still runs of it."""
        raise NotImplementedError

    def report_ready(self) -> None:
        """Tell whether jobs can be taken."""
        raise NotImplementedError

    def open_peers(self, now: float) -> list[GuardPeer]:
        """Return the guards to which new runs may be sent."""
        zones_out = self.directives.zones_out
        return [peer for peer in self.peers.values() if peer.open(now, zones_out)]

    def place_waiting(self) -> None:
        """Place waiting tasks in the order in force."""
        queues: dict[str, list[Job]] = defaultdict(list)
        for job in self.jobs.values():
            if not job.suspended and job.waiting():
                queues[job.queue.name if self.order.shared else ""].append(job)
        now = self.clock()
        places = {}
        if queues:
            places = {peer.address: peer.place() for peer in self.open_peers(now)}
        if not places:
            self.ask_for_news(bool(queues))
            return
        self.shares.settle(queues)
        for jobs in queues.values():
            jobs.sort(key=lambda job: self.order.key(self.waiting_job(job)))
        batches: dict[tuple[str, str], list[RunOrder]] = defaultdict(list)
        heads = {name: iter(jobs) for name, jobs in queues.items()}
        usual = median(place.room.slowness for place in places.values())
        while heads:
            name = self.shares.lowest(heads)
            job = next(heads[name], None)
            if job is None:
                del heads[name]
            elif not self.place_job(job, places, batches, usual, now):
                if not self.order.passes:
                    del heads[name]
        for (key, address), orders in batches.items():
            job = self.jobs[key]
            left_ms = max(1, round((job.useless_at - now) * 1000))
            stamp_ms = self.peers[address].stamp_ms
            order = StartRuns(stamp_ms, job.plan.payload, left_ms, tuple(orders))
            self.send(address, order)
        self.ask_for_news(
            any(job.waiting() for jobs in queues.values() for job in jobs)
        )

    def waiting_job(self, job: Job) -> WaitingJob:
        """Return what decides on a job's turn."""
        return WaitingJob(
            job.begun,
            job.queue.priority,
            job.arrived,
            job.patient_until,
            job.chain_s,
            self.usual_chain_s.get(job.queue.name, job.chain_s),
        )

    def place_job(
        self,
        job: Job,
        places: dict[str, Any],
        batches: dict[tuple[str, str], list[RunOrder]],
        usual: float,
        now: float,
    ) -> bool:
        """Place a job's waiting tasks; return whether all of them found room."""
        waited_s = math.inf if job.begun else now - job.arrived
        patience = job.patient_until - job.arrived
        slowest = slowest_taken(usual, waited_s, patience)
        for task in job.waiting():
            place = choose_place(
                (p for p in places.values() if p.room.service == job.queue.service),
                task.step,
                self.zone,
                self.far_factor,
                task.avoid,
                slowest,
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
        task.target = peer.room.target
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

    def give_back(self, job: Job, task: Task) -> None:
        """Have a task placed again, unless its job is to start nothing more."""
        if self.jobs.get(job.plan.key) is not job:
            return
        if job.suspended:
            self.end(job, Abandoned("stood_still"))
            return
        task.phase = WAITING
        self.placing_due = True

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
            peer.begin_life(sender.nonce)
        else:
            self.check_runs(peer)

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
        told_all = peer.vouched_as_of == self.directives.stamp
        if not told_all or peer.heard_at - peer.vouched_at >= VOUCH_S:
            self.vouch(peer)
        self.check_earlier_life(peer)
        self.report_ready()
        self.placing_due = True

    def vouch(self, peer: GuardPeer) -> None:
        """Tell a guard that its runs are still wanted, and whether news of room is."""
        zones_out = tuple(sorted(self.directives.zones_out))
        vouch = Vouch(peer.stamp_ms, self.directives.stamp, zones_out, self.wants_news)
        peer.vouched_at, peer.vouched_as_of = self.clock(), vouch.as_of
        self.send(peer.address, vouch)

    def ask_for_news(self, waiting: bool) -> None:
        """Have guards report each change of room while jobs wait, and a little on.

        Explanation
        -----------
        Load pattern: a calm day. Reports of every change to every entry instance
        are most of all messages there, and nobody waits for them.
        """
        now = self.clock()
        if waiting:
            self.news_wanted_until = now + NEWS_LINGER_S
        wanted = now < self.news_wanted_until
        if wanted == self.wants_news:
            return
        self.wants_news = wanted
        for peer in self.peers.values():
            if peer.linked and peer.stamp_ms:
                self.vouch(peer)

    def check_earlier_life(self, peer: GuardPeer) -> None:
        """Ask after what an earlier life of a guard had, now that it can tell.

        Explanation
        -----------
        An order that was on its way may have reached this life; what did not is
        reported lost. A target that the guard does not report as ready may run on
        what it had; that is over with the lease.
        """
        lapsed = peer.lapsed(self.clock())
        ready = peer.room.target if peer.room.standing == "ready" else None
        asked = [
            task
            for task in self.tasks_at(peer)
            if task.guard_life != peer.nonce and (lapsed or task.target == ready)
        ]
        if not asked:
            return
        labelled(RETRIES, "guard_restarted").inc(len(asked))
        for task in asked:
            task.guard_life = peer.nonce
        self.check_runs(peer)

    def check_runs(self, peer: GuardPeer) -> None:
        """Tell a guard which runs its present life should have."""
        names = [t.run for t in self.tasks_at(peer) if t.guard_life == peer.nonce]
        self.send(peer.address, CheckRuns(tuple(names)))

    def tasks_at(self, peer: GuardPeer) -> list[Task]:
        """Return the tasks that are believed to be at a guard."""
        found = (self.task_at(peer, run) for run in peer.runs.values())
        return [job_and_task[1] for job_and_task in found if job_and_task]

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
            job, task = found
            self.unplace(peer, task, number)
            labelled(RETRIES, news.reason).inc()
            if news.reason == "invalid":
                self.end(job, JobFailed("target_refused_task"))
            else:
                self.give_back(job, task)
        self.placing_due = True

    @handles(RunsEnded)
    def take_ended(self, news: RunsEnded, sender: Incarnation) -> None:
        """Take ends of runs in."""
        peer = self.peer(sender)
        peer.take_room(news.room)
        for ending in news.endings:
            peer.unconfirmed.pop(ending.name, None)
            found = self.task_at(peer, ending.name)
            if found is not None:
                self.unplace(peer, found[1], ending.number)
                self.task_ended(*found, ending, peer.address)
        self.placing_due = True

    def unplace(self, peer: GuardPeer, task: Task, number: int) -> None:
        """Note that nothing of a task is at a guard, which has used a number for it.

        Explanation
        -----------
        No two orders of a task have one name, so that what a guard tells of an earlier
        one is not taken for the next.
        """
        task.number = max(task.number, number) + 1
        peer.runs.pop(task.name, None)
        task.phase, task.guard = WAITING, ""

    def task_ended(self, job: Job, task: Task, ending: Ending, guard: str) -> None:
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
            task=task.name.place,
            run=ending.number,
            how=ending.how,
            guard=guard,
            failures=task.failures,
        )
        if ending.how in ("superseded", "cancelled"):
            self.end(job, Abandoned(ending.how))
            return
        if ending.how in JUDGED_ENDS:
            task.failures += 1
            task.avoid |= {guard}
            if task.failures >= job.queue.max_attempts:
                self.end(job, JobFailed("task_failed"))
                return
        elif ending.how == "hung":
            task.avoid |= {guard}
        self.give_back(job, task)

    def give_up_runs(self, peer: GuardPeer) -> None:
        """Place again what a guard had that has been silent for long."""
        runs, peer.runs = peer.runs, {}
        peer.unconfirmed.clear()
        log_event("guard:given_up", guard=peer.address, runs=len(runs))
        for run in runs.values():
            found = self.task_at(peer, run)
            if found is not None:
                labelled(RETRIES, "guard_silent").inc()
                self.unplace(peer, found[1], run.run)
                self.give_back(*found)
