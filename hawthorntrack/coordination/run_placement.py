"""The part of a dispatcher that places tasks on guards and follows their runs."""

import math
from collections import defaultdict
from collections.abc import Callable
from statistics import median
from typing import Any

from hawthorntrack.coordination.guard_peer import GuardPeer
from hawthorntrack.coordination.job_progress import PLACED, WAITING, Job, Task
from hawthorntrack.coordination.queue_ordering import (
    DEFAULT_ORDER,
    WaitingJob,
    queue_orders,
)
from hawthorntrack.coordination.queueing import (
    FairShares,
    slowness_limit,
)
from hawthorntrack.coordination.target_selection import choose_target
from hawthorntrack.protocol.links import LinkDown, LinkUp
from hawthorntrack.protocol.run_messages import (
    CheckRuns,
    ConfirmLease,
    GuardHeartbeat,
    Hello,
    RunEnding,
    RunOrder,
    RunsAccepted,
    RunsEnded,
    RunsRefused,
    StartRuns,
)
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.directives import Directives
from hawthorntrack.state.event_log import log_event
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

MIN_LEASE_CONFIRM_INTERVAL_S = (
    0.15  # below the interval of pulses, so that each of those is answered
)
CAPACITY_UPDATES_LINGER_S = 0.5  # two pulses and a half: jobs wait in waves
FAILURE_ENDINGS = {"failed"}


class RunPlacement(Actor):
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
        self.queue_order = queue_orders[DEFAULT_ORDER]
        self.mean_critical_path_s: dict[str, float] = {}
        self.needs_capacity_updates = False
        self.capacity_updates_until = 0.0
        self.placement_pending = False

    def end_job(self, job: Job, verdict: Verdict) -> None:
        """Answer a job and stop what still runs of it."""
        raise NotImplementedError

    def report_ready(self) -> None:
        """Tell whether jobs can be taken."""
        raise NotImplementedError

    def available_peers(self, now: float) -> list[GuardPeer]:
        """Return the guards to which new runs may be sent."""
        zones_out = self.directives.zones_out
        return [
            peer for peer in self.peers.values() if peer.accepts_runs(now, zones_out)
        ]

    def place_waiting(self) -> None:
        """Place waiting tasks in the order in force."""
        queues: dict[str, list[Job]] = defaultdict(list)
        for job in self.jobs.values():
            if not job.process_suspended and job.waiting():
                queues[job.queue.name if self.queue_order.fair_shares else ""].append(
                    job
                )
        now = self.clock()
        places = {}
        if queues:
            places = {
                peer.address: peer.to_candidate() for peer in self.available_peers(now)
            }
        if not places:
            self.request_capacity_updates(bool(queues))
            return
        self.shares.advance_virtual_time(queues)
        for jobs in queues.values():
            jobs.sort(key=lambda job: self.queue_order.key(self.waiting_job(job)))
        batches: dict[tuple[str, str], list[RunOrder]] = defaultdict(list)
        heads = {name: iter(jobs) for name, jobs in queues.items()}
        usual = median(place.target_status.slowness for place in places.values())
        while heads:
            name = self.shares.lowest(heads)
            job = next(heads[name], None)
            if job is None:
                del heads[name]
            elif not self.place_job(job, places, batches, usual, now):
                if not self.queue_order.backfill:
                    del heads[name]
        for (key, address), orders in batches.items():
            job = self.jobs[key]
            remaining_ms = max(1, round((job.deadline_at - now) * 1000))
            guard_clock_ms = self.peers[address].guard_clock_ms
            order = StartRuns(
                guard_clock_ms, job.plan.payload, remaining_ms, tuple(orders)
            )
            self.send(address, order)
        self.request_capacity_updates(
            any(job.waiting() for jobs in queues.values() for job in jobs)
        )

    def waiting_job(self, job: Job) -> WaitingJob:
        """Return what decides on a job's turn."""
        return WaitingJob(
            job.begun,
            job.queue.priority,
            job.arrived,
            job.placement_deadline_at,
            job.critical_path_s,
            self.mean_critical_path_s.get(job.queue.name, job.critical_path_s),
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
        patience = job.placement_deadline_at - job.arrived
        slowest = slowness_limit(usual, waited_s, patience)
        for task in job.waiting():
            place = choose_target(
                (
                    p
                    for p in places.values()
                    if p.target_status.service == job.queue.service
                ),
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
                free=place.free.minus(need), same_step_tasks=place.same_step_tasks + 1
            )
            self.record_placement(job, task, self.peers[place.address])
            estimate_ms = round(task.step.estimate_s * 1000)
            batches[job.plan.key, place.address].append(
                RunOrder(task.run, need, estimate_ms)
            )
        labelled(WAIT_SECONDS, job.queue.name).observe(now - job.arrived)
        return True

    def record_placement(self, job: Job, task: Task, peer: GuardPeer) -> None:
        """Note that a task is sent to a guard."""
        task.phase, task.guard, task.guard_life = PLACED, peer.address, peer.nonce
        task.target = peer.target_status.target
        job.begun = True
        peer.runs[task.name] = task.run
        peer.unreported[task.run] = task.step.need
        work = task.step.need.cpu_m / 1000 * task.step.estimate_s
        self.shares.charge(job.queue.name, work)

    def find_placed_task(
        self, peer: GuardPeer, run: RunName
    ) -> tuple[Job, Task] | None:
        """Return the job and task of a run that is believed to be at a guard."""
        job = self.jobs.get(run.task.job)
        task = job.tasks.get(run.task) if job else None
        if task is None or task.phase != PLACED or task.guard != peer.address:
            return None
        return (job, task) if task.run == run else None

    def requeue_task(self, job: Job, task: Task) -> None:
        """Have a task placed again, unless its job is to start nothing more."""
        if self.jobs.get(job.plan.key) is not job:
            return
        if job.process_suspended:
            self.end_job(job, Abandoned("stood_still"))
            return
        task.phase = WAITING
        self.placement_pending = True

    def touch_peer(self, sender: Incarnation) -> GuardPeer:
        """Return what is known of a guard, with the time it was heard."""
        peer = self.peers.get(sender.address)
        if peer is None:
            peer = self.peers[sender.address] = GuardPeer(sender.address)
        peer.heard_at = self.clock()
        return peer

    @handles(Hello)
    def on_hello(self, hello: Hello, sender: Incarnation) -> None:
        """Know a guard; tell it which runs it should have."""
        if hello.role != "guard":
            return
        peer = self.touch_peer(sender)
        peer.linked = True
        peer.unreported.clear()
        log_event("guard:linked", guard=str(sender), runs=len(peer.runs))
        if peer.nonce != sender.nonce:
            peer.begin_incarnation(sender.nonce)
        else:
            self.send_check_runs(peer)

    @handles(LinkUp)
    def on_link_up(self, news: LinkUp, sender: Incarnation) -> None:
        """Wait for the peer's first message, which tells its role."""

    @handles(LinkDown)
    def on_link_down(self, news: LinkDown, sender: Incarnation) -> None:
        """Send nothing to a guard until its link is back."""
        peer = self.peers.get(news.address)
        if peer is not None:
            log_event("guard:lost", guard=news.address, runs=len(peer.runs))
            peer.linked = False

    @handles(GuardHeartbeat)
    def on_guard_heartbeat(self, pulse: GuardHeartbeat, sender: Incarnation) -> None:
        """Answer a guard's heartbeat."""
        peer = self.touch_peer(sender)
        if not peer.linked or peer.nonce != sender.nonce:
            return
        peer.heartbeat_at, peer.guard_clock_ms = peer.heard_at, pulse.guard_clock_ms
        peer.update_capacity(pulse.target_status)
        told_all = peer.lease_confirmed_stamp == self.directives.stamp
        if (
            not told_all
            or peer.heard_at - peer.lease_confirmed_at >= MIN_LEASE_CONFIRM_INTERVAL_S
        ):
            self.confirm_leases(peer)
        self.check_runs_of_earlier_incarnation(peer)
        self.report_ready()
        self.placement_pending = True

    def confirm_leases(self, peer: GuardPeer) -> None:
        """Tell a guard that its runs are still wanted, and whether news of room is."""
        zones_out = tuple(sorted(self.directives.zones_out))
        confirmation = ConfirmLease(
            peer.guard_clock_ms,
            self.directives.stamp,
            zones_out,
            self.needs_capacity_updates,
        )
        peer.lease_confirmed_at, peer.lease_confirmed_stamp = (
            self.clock(),
            confirmation.store_version,
        )
        self.send(peer.address, confirmation)

    def request_capacity_updates(self, waiting: bool) -> None:
        """Have guards report each change of room while jobs wait, and a little on.

        Explanation
        -----------
        Load pattern: a calm day. Reports of every change to every entry instance
        are most of all messages there, and nobody waits for them.
        """
        now = self.clock()
        if waiting:
            self.capacity_updates_until = now + CAPACITY_UPDATES_LINGER_S
        wanted = now < self.capacity_updates_until
        if wanted == self.needs_capacity_updates:
            return
        self.needs_capacity_updates = wanted
        for peer in self.peers.values():
            if peer.linked and peer.guard_clock_ms:
                self.confirm_leases(peer)

    def check_runs_of_earlier_incarnation(self, peer: GuardPeer) -> None:
        """Ask after what an earlier life of a guard had, now that it can tell.

        Explanation
        -----------
        An order that was on its way may have reached this life; what did not is
        reported lost. A target that the guard does not report as ready may run on
        what it had; that is over with the lease.
        """
        lapsed = peer.earlier_leases_expired(self.clock())
        ready = (
            peer.target_status.target if peer.target_status.status == "ready" else None
        )
        asked = [
            task
            for task in self.tasks_placed_at(peer)
            if task.guard_life != peer.nonce and (lapsed or task.target == ready)
        ]
        if not asked:
            return
        labelled(RETRIES, "guard_restarted").inc(len(asked))
        for task in asked:
            task.guard_life = peer.nonce
        self.send_check_runs(peer)

    def send_check_runs(self, peer: GuardPeer) -> None:
        """Tell a guard which runs its present life should have."""
        names = [
            t.run for t in self.tasks_placed_at(peer) if t.guard_life == peer.nonce
        ]
        self.send(peer.address, CheckRuns(tuple(names)))

    def tasks_placed_at(self, peer: GuardPeer) -> list[Task]:
        """Return the tasks that are believed to be at a guard."""
        found = (self.find_placed_task(peer, run) for run in peer.runs.values())
        return [job_and_task[1] for job_and_task in found if job_and_task]

    @handles(RunsAccepted)
    def on_runs_accepted(self, news: RunsAccepted, sender: Incarnation) -> None:
        """Count runs as part of the room that the guard reports."""
        peer = self.touch_peer(sender)
        for run in news.runs:
            peer.unreported.pop(run, None)
        peer.update_capacity(news.target_status)

    @handles(RunsRefused)
    def on_runs_refused(self, news: RunsRefused, sender: Incarnation) -> None:
        """Place tasks elsewhere that a guard did not start."""
        peer = self.touch_peer(sender)
        peer.update_capacity(news.target_status)
        for run, number in zip(news.runs, news.highest_run_numbers, strict=True):
            peer.unreported.pop(run, None)
            found = self.find_placed_task(peer, run)
            if found is None:
                continue
            job, task = found
            self.clear_placement(peer, task, number)
            labelled(RETRIES, news.reason).inc()
            if news.reason == "invalid":
                self.end_job(job, JobFailed("target_refused_task"))
            else:
                self.requeue_task(job, task)
        self.placement_pending = True

    @handles(RunsEnded)
    def on_runs_ended(self, news: RunsEnded, sender: Incarnation) -> None:
        """Take ends of runs in."""
        peer = self.touch_peer(sender)
        peer.update_capacity(news.target_status)
        for ending in news.endings:
            peer.unreported.pop(ending.name, None)
            found = self.find_placed_task(peer, ending.name)
            if found is not None:
                self.clear_placement(peer, found[1], ending.number)
                self.apply_run_ending(*found, ending, peer.address)
        self.placement_pending = True

    def clear_placement(self, peer: GuardPeer, task: Task, number: int) -> None:
        """Note that nothing of a task is at a guard, which has used a number for it.

        Explanation
        -----------
        No two orders of a task have one name, so that what a guard tells of an earlier
        one is not taken for the next.
        """
        task.number = max(task.number, number) + 1
        peer.runs.pop(task.name, None)
        task.phase, task.guard = WAITING, ""

    def apply_run_ending(
        self, job: Job, task: Task, ending: RunEnding, guard: str
    ) -> None:
        """Go on with a job after one of its runs has ended."""
        if ending.end_state == "done":
            job.complete_task(task)
            if job.complete:
                self.end_job(job, Completed())
            return
        labelled(RETRIES, f"run_{ending.end_state}").inc()
        log_event(
            "run:ended",
            job=job.plan.key,
            task=task.name.position,
            run=ending.number,
            how=ending.end_state,
            guard=guard,
            failures=task.failures,
        )
        if ending.end_state in ("superseded", "cancelled"):
            self.end_job(job, Abandoned(ending.end_state))
            return
        if ending.end_state in FAILURE_ENDINGS:
            task.failures += 1
            task.avoid |= {guard}
            if task.failures >= job.queue.max_attempts:
                self.end_job(job, JobFailed("task_failed"))
                return
        elif ending.end_state == "hung":
            task.avoid |= {guard}
        self.requeue_task(job, task)

    def reschedule_runs(self, peer: GuardPeer) -> None:
        """Place again what a guard had that has been silent for long."""
        runs, peer.runs = peer.runs, {}
        peer.unreported.clear()
        log_event("guard:given_up", guard=peer.address, runs=len(runs))
        for run in runs.values():
            found = self.find_placed_task(peer, run)
            if found is not None:
                labelled(RETRIES, "guard_silent").inc()
                self.clear_placement(peer, found[1], run.run)
                self.requeue_task(*found)
