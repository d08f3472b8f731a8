"""Placement of a dispatcher's tasks on guards, and tracking of their runs."""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable
from statistics import median
from typing import Any

from hawthorntrack.coordination.crash_records import UNKNOWN_CRASH, CrashId
from hawthorntrack.coordination.crash_tracking import CrashTracking
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
from hawthorntrack.coordination.target_selection import (
    TargetCandidate,
    assume_slowness,
    choose_target,
)
from hawthorntrack.coordination.working_set import WorkingSet
from hawthorntrack.protocol.run_messages import (
    CheckRuns,
    ConfirmLease,
    GuardHeartbeat,
    RunEnding,
    RunOrder,
    RunsAccepted,
    RunsEnded,
    RunsRefused,
    StartRuns,
    TargetStatus,
)
from hawthorntrack.state.actor import handles
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.event_log import log_event
from hawthorntrack.state.lease_times import LeaseTimes
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.metrics import (
    RETRIES,
    WAIT_SECONDS,
    labelled,
)
from hawthorntrack.state.plans import RunName
from hawthorntrack.state.resources import NO_RESOURCES
from hawthorntrack.state.values import Incarnation
from hawthorntrack.state.verdicts import (
    Abandoned,
    Completed,
    JobFailed,
)

# Shorter than the interval of guard heartbeats, so that each regular heartbeat is
# answered by a lease confirmation.
MIN_LEASE_CONFIRM_INTERVAL_S = 0.15
# Jobs begin to wait in waves. Capacity updates continue between two waves for this
# time, which equals two and a half guard heartbeat intervals.
CAPACITY_UPDATES_LINGER_S = 0.5
FAILURE_ENDINGS = {"failed"}
# Slowness of all targets as long as none has been measured.
NOMINAL_SLOWNESS = 1.0


class RunPlacement(CrashTracking):
    """Base of the dispatcher: owns its view of guards and of the runs placed there.

    Parameters
    ----------
    zone : str
        Zone of this instance.
    far_factor : float
        Factor on a task's run time on a target outside the rack of its data.
    send, links, clock, lease_times, working_set
        As for `GuardLinks`.

    Attributes
    ----------
    waiting_jobs : dict of str to Job
        The jobs with tasks that wait to be placed, by key; some may have ended.
    least_waiting_cpu_m : int or float
        Smallest need among the tasks that the last placement left waiting, in
        thousandths of a core; 0 if no guard accepted runs, infinity if only suspects
        wait.
    quarantined : dict of str to frozenset of str
        For each service, the guards whose targets were set apart for suspects at the
        last placement.
    """

    def __init__(
        self,
        zone: str,
        far_factor: float,
        send: Callable[[str, Any], None],
        links: Mailbox,
        clock: Clock,
        lease_times: LeaseTimes,
        working_set: WorkingSet,
    ) -> None:
        super().__init__(send, links, clock, lease_times, working_set)
        self.zone = zone
        self.far_factor = far_factor
        self.waiting_jobs: dict[str, Job] = {}
        self.least_waiting_cpu_m: float = 0
        self.quarantined: dict[str, frozenset[str]] = {}
        self.shares = FairShares()
        self.queue_order = queue_orders[DEFAULT_ORDER]
        self.mean_critical_path_s: dict[str, float] = {}
        self.needs_capacity_updates = False
        self.capacity_updates_until = 0.0
        self.placement_pending = False
        self.disconnections_unread = False

    def end_unawaited_jobs(self, jobs: Iterable[Job]) -> None:
        """End those of the jobs whose callers have left or have stopped waiting."""
        raise NotImplementedError

    def report_ready(self) -> None:
        """Report whether this instance can accept jobs."""
        raise NotImplementedError

    def queue_job(self, job: Job) -> None:
        """Add a job with waiting tasks to those that are placed next."""
        self.waiting_jobs[job.plan.key] = job
        self.placement_pending = True

    def place_if_useful(self, peer: GuardPeer) -> None:
        """Place waiting tasks next if a guard has room for the smallest of them.

        Explanation
        -----------
        Load pattern: for seconds, more jobs wait than the targets can run. A placement
        considers all of them, and most messages report that a target is still full.
        """
        if self.waiting_jobs:
            free = peer.to_candidate().free
            self.placement_pending |= (
                free.cpu_m >= self.least_waiting_cpu_m
                or peer.address in self.set_apart(peer.target_status.service)
            )

    def prune_waiting_jobs(self) -> None:
        """Remove the jobs that have ended or of which no task waits any more."""
        self.waiting_jobs = {
            key: job
            for key, job in self.waiting_jobs.items()
            if self.jobs.get(key) is job and job.waiting()
        }

    def place_waiting(self) -> None:
        """Place waiting tasks in the order that the current policy gives."""
        self.end_unawaited_jobs(self.waiting_jobs.values())
        self.prune_waiting_jobs()
        self.least_waiting_cpu_m = 0
        queues: dict[str, list[Job]] = defaultdict(list)
        for job in self.waiting_jobs.values():
            if not job.process_suspended:
                queues[job.queue.name if self.queue_order.fair_shares else ""].append(
                    job
                )
        now = self.clock()
        self.update_quarantine(now)
        candidates = {}
        if queues:
            candidates = {
                peer.address: peer.to_candidate()
                for peer in self.available_peers(now)
                if self.capacity_is_certain(peer.target_status)
            }
        if not candidates:
            self.request_capacity_updates(bool(queues))
            return
        self.shares.advance_virtual_time(queues)
        for jobs in queues.values():
            jobs.sort(key=lambda job: self.queue_order.key(self.waiting_job(job)))
        batches: dict[tuple[str, str], list[RunOrder]] = defaultdict(list)
        heads = {name: iter(jobs) for name, jobs in queues.items()}
        measured = [
            candidate.target_status.slowness
            for candidate in candidates.values()
            if candidate.target_status.slowness
        ] or [NOMINAL_SLOWNESS]
        median_slowness, lowest_slowness = median(measured), min(measured)
        candidates = {
            address: assume_slowness(candidate, lowest_slowness)
            for address, candidate in candidates.items()
        }
        while heads:
            name = self.shares.lowest(heads)
            job = next(heads[name], None)
            if job is None:
                del heads[name]
            elif not self.place_job(job, candidates, batches, median_slowness, now):
                if not self.queue_order.backfill:
                    del heads[name]
        self.send_orders(batches, now)
        self.prune_waiting_jobs()
        self.least_waiting_cpu_m = min(
            (
                task.step.need.cpu_m
                for job in self.waiting_jobs.values()
                for task in self.split_suspects(job)[0]
            ),
            default=math.inf,
        )
        if self.least_waiting_cpu_m < math.inf:
            self.working_set.note_shortage()
        self.request_capacity_updates(bool(self.waiting_jobs))

    def capacity_is_certain(self, status: TargetStatus) -> bool:
        """Return whether runs that fit the reported capacity fit on the target.

        Explanation
        -----------
        A guard that was restarted knows the capacity from the store, and it may have
        shrunk since. Targets that enforce their capacity refuse what does not fit.
        """
        return status.capacity_is_current or any(
            service.targets_enforce_capacity
            for service in self.directives.catalogue.services
            if service.name == status.service
        )

    def update_quarantine(self, now: float) -> None:
        """Set targets apart while suspects wait, and for a while after."""
        if any(
            task.name in suspects
            for key, job in self.waiting_jobs.items()
            if (suspects := self.crash_records.suspects(key))
            for task in job.waiting()
        ):
            self.quarantine.extend(now)
        self.quarantined = self.quarantine.guards(
            self.peers.values(), self.directives.zones_out, now
        )

    def set_apart(self, service: str) -> frozenset[str]:
        """Return the guards of a service whose targets are set apart for suspects."""
        return self.quarantined.get(service, frozenset())

    def split_suspects(self, job: Job) -> tuple[list[Task], list[Task]]:
        """Return a job's waiting tasks: those to be placed as usual, and in isolation.

        Explanation
        -----------
        Where too few targets are in service to set one apart, suspects are placed like
        other tasks.
        """
        waiting = job.waiting()
        suspects = self.crash_records.suspects(job.plan.key)
        if not suspects or not self.set_apart(job.queue.service):
            return waiting, []
        return (
            [task for task in waiting if task.name not in suspects],
            [task for task in waiting if task.name in suspects],
        )

    def send_orders(
        self, batches: dict[tuple[str, str], list[RunOrder]], now: float
    ) -> None:
        """Send the orders of one placement, by job and guard.

        Explanation
        -----------
        An order extends the leases of all runs of this instance at the guard, so the
        unwanted ones are stopped first.
        """
        for address in dict.fromkeys(address for _, address in batches):
            self.end_unawaited_jobs(self.jobs_at(self.peers[address]))
        for (key, address), orders in batches.items():
            job = self.jobs.get(key)
            if job is None:
                continue
            remaining_ms = max(1, round((job.deadline_at - now) * 1000))
            guard_clock_ms = self.peers[address].guard_clock_ms
            message = StartRuns(
                guard_clock_ms, job.plan.payload, remaining_ms, tuple(orders)
            )
            self.send(address, message)

    def waiting_job(self, job: Job) -> WaitingJob:
        """Return the properties of a job by which queue orders rank it."""
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
        candidates: dict[str, Any],
        batches: dict[tuple[str, str], list[RunOrder]],
        median_slowness: float,
        now: float,
    ) -> bool:
        """Place a job's waiting tasks; return whether there was capacity for all.

        Explanation
        -----------
        Suspects that wait for one of the few targets that are set apart do not count,
        so that they hold up no other job of their queue.
        """
        unsuspected, suspects = self.split_suspects(job)
        set_apart = self.set_apart(job.queue.service)
        self.place_suspects(job, suspects, candidates, batches)
        waited_s = math.inf if job.begun else now - job.arrived
        max_wait_s = job.placement_deadline_at - job.arrived
        max_slowness = slowness_limit(median_slowness, waited_s, max_wait_s)
        for task in unsuspected:
            candidate = choose_target(
                (
                    candidate
                    for candidate in candidates.values()
                    if candidate.target_status.service == job.queue.service
                    and candidate.address not in set_apart
                ),
                task.step,
                self.zone,
                self.far_factor,
                task.avoid,
                max_slowness,
            )
            if candidate is None:
                return False
            self.place_task(job, task, candidate, candidates, batches)
        labelled(WAIT_SECONDS, job.queue.name).observe(now - job.arrived)
        return True

    def place_suspects(
        self,
        job: Job,
        suspects: list[Task],
        candidates: dict[str, Any],
        batches: dict[tuple[str, str], list[RunOrder]],
    ) -> None:
        """Place the suspects of a job on the targets that are set apart for them.

        Explanation
        -----------
        Once they have one of these targets, no other job gets it before they have
        ended.
        """
        used = set()
        for task in suspects:
            candidate = choose_target(
                (
                    candidates[address]
                    for address in sorted(self.set_apart(job.queue.service))
                    if address in candidates
                ),
                task.step,
                self.zone,
                self.far_factor,
            )
            if candidate is None:
                break
            self.place_task(job, task, candidate, candidates, batches, isolated=True)
            used.add(candidate.address)
        for address in used:
            candidates[address] = candidates[address]._replace(free=NO_RESOURCES)

    def place_task(
        self,
        job: Job,
        task: Task,
        candidate: TargetCandidate,
        candidates: dict[str, TargetCandidate],
        batches: dict[tuple[str, str], list[RunOrder]],
        isolated: bool = False,
    ) -> None:
        """Add the order of a run to its batch, and take its need off the candidate."""
        need = task.step.need
        candidates[candidate.address] = candidate._replace(
            free=candidate.free.minus(need),
            same_step_tasks=candidate.same_step_tasks + 1,
        )
        peer = self.peers[candidate.address]
        self.record_placement(job, task, peer)
        if isolated:
            # Until its guard has reported that the job has the target for itself.
            peer.unreported[task.run] = candidate.target_status.capacity
        estimate_ms = round(task.step.estimate_s * 1000)
        batches[job.plan.key, candidate.address].append(
            RunOrder(task.run, need, estimate_ms, isolated)
        )

    def record_placement(self, job: Job, task: Task, peer: GuardPeer) -> None:
        """Record that a task is sent to a guard, and charge its queue."""
        task.phase, task.guard, task.guard_nonce = PLACED, peer.address, peer.nonce
        task.guard_clock_ms = peer.guard_clock_ms
        task.target = peer.target_status.target
        job.begun = True
        peer.runs[task.name] = task.run
        peer.unreported[task.run] = task.step.need
        work = task.step.need.cpu_m / 1000 * task.step.estimate_s
        self.shares.charge(job.queue.name, work)

    def find_placed_task(
        self, peer: GuardPeer, run: RunName
    ) -> tuple[Job, Task] | None:
        """Return the job and task of a run that is placed at a guard, or None."""
        job = self.jobs.get(run.task.job)
        task = job.tasks.get(run.task) if job else None
        if task is None or task.phase != PLACED or task.guard != peer.address:
            return None
        return (job, task) if task.run == run else None

    def requeue_task(self, job: Job, task: Task) -> None:
        """Queue a task to be placed again, unless its job must start no more tasks."""
        if self.jobs.get(job.plan.key) is not job:
            return
        if job.process_suspended:
            self.end_job(job, Abandoned("stood_still"))
            return
        task.phase = WAITING
        self.queue_job(job)

    @handles(GuardHeartbeat)
    def on_guard_heartbeat(
        self, heartbeat: GuardHeartbeat, sender: Incarnation
    ) -> None:
        """Update a guard's capacity and confirm the leases of its runs."""
        peer = self.touch_peer(sender)
        if not peer.linked or peer.nonce != sender.nonce:
            return
        peer.heartbeat_at, peer.guard_clock_ms = peer.heard_at, heartbeat.guard_clock_ms
        peer.update_capacity(heartbeat.target_status)
        if not self.disconnections_unread:
            self.confirm_leases_if_due(peer)
        self.check_runs_of_earlier_incarnation(peer)
        self.report_ready()
        self.place_if_useful(peer)

    def confirm_leases_if_due(self, peer: GuardPeer) -> None:
        """Confirm a guard's runs if its newest heartbeat calls for it.

        Explanation
        -----------
        A guard without runs of this instance has no lease to be extended. It is told
        the directives, and whether jobs wait for its capacity, when these change.
        """
        if not peer.linked or not peer.guard_clock_ms:
            return
        informed = (
            peer.lease_confirmed_stamp == self.directives.stamp
            and peer.sends_capacity_updates == self.needs_capacity_updates
        )
        unconfirmed_s = peer.heartbeat_at - peer.lease_confirmed_at
        due = peer.runs and unconfirmed_s >= MIN_LEASE_CONFIRM_INTERVAL_S
        if due or not informed:
            self.confirm_leases(peer)

    def confirm_leases(self, peer: GuardPeer) -> None:
        """Confirm a guard's runs; state whether it must send capacity updates.

        Explanation
        -----------
        A confirmation extends the lease of all runs of this instance at the guard, so
        the unwanted ones are stopped first.
        """
        self.end_unawaited_jobs(self.jobs_at(peer))
        zones_out = tuple(sorted(self.directives.zones_out))
        confirmation = ConfirmLease(
            peer.guard_clock_ms,
            self.directives.stamp,
            zones_out,
            self.needs_capacity_updates,
        )
        peer.lease_confirmed_at, peer.lease_confirmed_stamp = (
            peer.heartbeat_at,
            confirmation.store_version,
        )
        peer.sends_capacity_updates = confirmation.needs_capacity_updates
        self.send(peer.address, confirmation)

    def request_capacity_updates(self, jobs_waiting: bool) -> None:
        """Request an update on each change of free capacity while jobs wait.

        Explanation
        -----------
        The updates continue for `CAPACITY_UPDATES_LINGER_S` after the last task waited.

        Load pattern: a day of low load. If every change were reported to every entry
        instance, these reports would be most of all messages, and no job waits for
        them.
        """
        now = self.clock()
        if jobs_waiting:
            self.capacity_updates_until = now + CAPACITY_UPDATES_LINGER_S
        needed = now < self.capacity_updates_until
        if needed == self.needs_capacity_updates:
            return
        self.needs_capacity_updates = needed
        for peer in self.peers.values():
            if peer.linked and peer.guard_clock_ms:
                self.confirm_leases(peer)

    def check_runs_of_earlier_incarnation(self, peer: GuardPeer) -> None:
        """Ask a restarted guard about runs that were sent to its earlier incarnation.

        Explanation
        -----------
        An order that was in transit during the restart may have reached the present
        incarnation; the guard reports the other runs as lost. It can do so once it
        reports the same target as ready. Any other target may continue its runs
        until its lease expires, so the guard is asked only after that.
        """
        leases_expired = peer.earlier_leases_expired(self.clock())
        ready_target = (
            peer.target_status.target if peer.target_status.status == "ready" else None
        )
        inherited = [
            task
            for task in self.tasks_placed_at(peer)
            if task.guard_nonce != peer.nonce
            and (leases_expired or task.target == ready_target)
        ]
        if not inherited:
            return
        labelled(RETRIES, "guard_restarted").inc(len(inherited))
        for task in inherited:
            task.guard_nonce = peer.nonce
        self.send_check_runs(peer)

    def send_check_runs(self, peer: GuardPeer) -> None:
        """Send a guard the list of runs that its present incarnation should have."""
        names = [
            task.run
            for task in self.tasks_placed_at(peer)
            if task.guard_nonce == peer.nonce
        ]
        self.send(peer.address, CheckRuns(tuple(names)))

    def jobs_at(self, peer: GuardPeer) -> list[Job]:
        """Return the open jobs that have runs at a guard."""
        keys = dict.fromkeys(task.job for task in peer.runs)
        return [self.jobs[key] for key in keys if key in self.jobs]

    def tasks_placed_at(self, peer: GuardPeer) -> list[Task]:
        """Return the tasks that are placed at a guard."""
        placed = (self.find_placed_task(peer, run) for run in peer.runs.values())
        return [job_and_task[1] for job_and_task in placed if job_and_task]

    @handles(RunsAccepted)
    def on_runs_accepted(self, accepted: RunsAccepted, sender: Incarnation) -> None:
        """Rely on the guard's report for the capacity that accepted runs take."""
        peer = self.touch_peer(sender)
        for run in accepted.runs:
            peer.unreported.pop(run, None)
        peer.update_capacity(accepted.target_status)

    @handles(RunsRefused)
    def on_runs_refused(self, refused: RunsRefused, sender: Incarnation) -> None:
        """Requeue tasks that a guard refused to start."""
        peer = self.touch_peer(sender)
        peer.update_capacity(refused.target_status)
        for run, number in zip(refused.runs, refused.highest_run_numbers, strict=True):
            peer.unreported.pop(run, None)
            found = self.find_placed_task(peer, run)
            if found is None:
                continue
            job, task = found
            peer.record_refusal(refused.reason, task.guard_clock_ms)
            self.clear_placement(peer, task, number)
            labelled(RETRIES, refused.reason).inc()
            if refused.reason == "invalid":
                self.end_job(job, JobFailed("target_refused_task"))
            else:
                self.requeue_task(job, task)
        self.place_if_useful(peer)

    @handles(RunsEnded)
    def on_runs_ended(self, ended: RunsEnded, sender: Incarnation) -> None:
        """Apply the ends of runs that a guard reports."""
        peer = self.touch_peer(sender)
        peer.update_capacity(ended.target_status)
        for ending in ended.endings:
            peer.unreported.pop(ending.name, None)
            found = self.find_placed_task(peer, ending.name)
            if found is not None:
                self.clear_placement(peer, found[1], ending.number)
                self.apply_run_ending(*found, ending, peer.address)
        self.place_if_useful(peer)

    def clear_placement(self, peer: GuardPeer, task: Task, number: int) -> None:
        """Record that no run of a task is at a guard any more; number the next run.

        Explanation
        -----------
        No two runs of a task have the same name, so that a guard's report on an
        earlier run is not mistaken for one on the next.

        Parameters
        ----------
        number : int
            The highest run number that the guard has used for the task.
        """
        task.number = max(task.number, number) + 1
        peer.runs.pop(task.name, None)
        task.phase, task.guard = WAITING, ""

    def apply_run_ending(
        self, job: Job, task: Task, ending: RunEnding, guard: str
    ) -> None:
        """Complete, retry or fail a task, according to how its run ended."""
        if ending.end_state == "done":
            job.complete_task(task)
            if job.complete:
                self.end_job(job, Completed())
            elif job.waiting():
                self.queue_job(job)
            return
        labelled(RETRIES, f"run_{ending.end_state}").inc()
        if ending.end_state == "crashed":
            crash = CrashId(guard, ending.number)
            self.crash_records.add(task.name, crash, UNKNOWN_CRASH, self.clock())
        log_event(
            "run:ended",
            job=job.plan.key,
            task=task.name.position,
            run=ending.number,
            how=ending.end_state,
            guard=guard,
            failures=task.failures,
            crashes=self.crash_records.count(task.name),
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
        if not self.give_up_culprit(job):
            self.requeue_task(job, task)

    def reschedule_runs(self, peer: GuardPeer) -> None:
        """Requeue the tasks of a silent guard whose runs are certainly gone."""
        runs, peer.runs = peer.runs, {}
        peer.unreported.clear()
        log_event("guard:given_up", guard=peer.address, runs=len(runs))
        for run in runs.values():
            found = self.find_placed_task(peer, run)
            if found is not None:
                labelled(RETRIES, "guard_silent").inc()
                self.clear_placement(peer, found[1], run.run)
                self.requeue_task(*found)
