"""Base of the dispatcher: tracks the runs at guards, and keeps their leases."""

from collections.abc import Callable, Iterable
from typing import Any

from hawthorntrack.coordination.crash_records import UNKNOWN_CRASH, CrashId
from hawthorntrack.coordination.crash_tracking import CrashTracking
from hawthorntrack.coordination.guard_peer import VERIFIED_STATUSES, GuardPeer
from hawthorntrack.coordination.job_progress import PLACED, WAITING, Job, Task
from hawthorntrack.coordination.working_set import WorkingSet
from hawthorntrack.coordination.zone_knowledge import is_outdated
from hawthorntrack.protocol.run_messages import (
    CheckRuns,
    ConfirmLease,
    GuardHeartbeat,
    RunEnding,
    RunsAccepted,
    RunsEnded,
    RunsRefused,
)
from hawthorntrack.state.actor import handles
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.event_log import log_event
from hawthorntrack.state.lease_times import LeaseTimes
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.metrics import RETRIES, labelled
from hawthorntrack.state.plans import RunName
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


class RunTracking(CrashTracking):
    """Follows the runs of this instance from a guard's answer to their end.

    Parameters
    ----------
    send, links, clock, lease_times, working_set
        As for `GuardLinks`.

    Attributes
    ----------
    needs_capacity_updates : bool
        Whether guards are asked to report each change of their free capacity.
    disconnections_unread : bool
        Whether callers may have left without this instance having noticed.
    """

    def __init__(
        self,
        send: Callable[[str, Any], None],
        links: Mailbox,
        clock: Clock,
        lease_times: LeaseTimes,
        working_set: WorkingSet,
    ) -> None:
        super().__init__(send, links, clock, lease_times, working_set)
        self.needs_capacity_updates = False
        self.capacity_updates_until = 0.0
        self.disconnections_unread = False

    def end_unawaited_jobs(self, jobs: Iterable[Job]) -> None:
        """End those of the jobs whose callers have left or have stopped waiting."""
        raise NotImplementedError

    def report_ready(self) -> None:
        """Report whether this instance can accept jobs."""
        raise NotImplementedError

    def queue_job(self, job: Job) -> None:
        """Add a job with waiting tasks to those that are placed next."""
        raise NotImplementedError

    def place_if_useful(self, peer: GuardPeer) -> None:
        """Place waiting tasks next if a guard has room for one of them."""
        raise NotImplementedError

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
        the directives, whether they are outdated, and whether jobs wait for its
        capacity, when these change.
        """
        if not peer.linked or not peer.guard_clock_ms:
            return
        informed = (
            peer.lease_confirmed_stamp == self.directives.stamp
            and peer.sends_capacity_updates == self.needs_capacity_updates
            and peer.told_outdated == is_outdated(self.directives_age_s())
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
        age_s = self.directives_age_s()
        confirmation = ConfirmLease(
            peer.guard_clock_ms,
            self.directives.stamp,
            zones_out,
            self.needs_capacity_updates,
            round(age_s * 1000),
        )
        peer.lease_confirmed_at, peer.lease_confirmed_stamp = (
            peer.heartbeat_at,
            confirmation.store_version,
        )
        peer.sends_capacity_updates = confirmation.needs_capacity_updates
        peer.told_outdated = is_outdated(age_s)
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
        is_verified = peer.target_status.status in VERIFIED_STATUSES
        verified_target = peer.target_status.target if is_verified else None
        inherited = [
            task
            for task in self.tasks_placed_at(peer)
            if task.guard_nonce != peer.nonce
            and (leases_expired or task.target == verified_target)
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
