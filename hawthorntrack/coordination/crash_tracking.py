"""Base class of the dispatcher: learns of crashes of targets, and tells its peers."""

from collections.abc import Callable
from typing import Any

from hawthorntrack.coordination.crash_records import (
    CrashEvidence,
    CrashId,
    CrashRecords,
)
from hawthorntrack.coordination.guard_links import GuardLinks
from hawthorntrack.coordination.job_progress import Job
from hawthorntrack.coordination.quarantine import Quarantine
from hawthorntrack.coordination.working_set import WorkingSet
from hawthorntrack.protocol.run_messages import Hello, RunsCrashed
from hawthorntrack.state.actor import handles
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.lease_times import LeaseTimes
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.values import Incarnation
from hawthorntrack.state.verdicts import Abandoned, JobFailed, Verdict


class CrashTracking(GuardLinks):
    """Records crashes under tasks, of all owners, and gives up jobs that cause them.

    Parameters
    ----------
    send, links, clock, lease_times, working_set
        As for `GuardLinks`.

    Attributes
    ----------
    jobs : dict of str to Job
        The open jobs by key.
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
        self.jobs: dict[str, Job] = {}
        self.crash_records = CrashRecords()
        self.quarantine = Quarantine()

    def end_job(self, job: Job, verdict: Verdict) -> None:
        """Answer a job and stop its remaining runs."""
        raise NotImplementedError

    @handles(Hello)
    def on_hello(self, message: Hello, sender: Incarnation) -> None:
        """Tell another entry instance of all crashes; it may have been restarted."""
        if message.role == "entry":
            for guard, runs in self.crash_records.crashed_runs().items():
                self.send(sender.address, RunsCrashed(tuple(runs), guard))
        super().on_hello(message, sender)

    @handles(RunsCrashed)
    def on_runs_crashed(self, crashed: RunsCrashed, sender: Incarnation) -> None:
        """Record a crash under all of its tasks; give up jobs that crash targets.

        Explanation
        -----------
        What was reported before, for instance by the guard and by a peer, has no effect
        again.
        """
        guard, now = crashed.guard or sender.address, self.clock()
        if crashed.pass_on:
            for address in sorted(self.working_set.entries - {self.working_set.owner}):
                self.send(address, RunsCrashed(crashed.runs, guard))
        news = [
            run
            for run in crashed.runs
            if self.crash_records.add(
                run.name.task,
                CrashId(guard, run.name.run),
                CrashEvidence(run.was_running, run.age_ms, run.isolated),
                now,
            )
        ]
        if any(run.isolated for run in news):
            self.quarantine.note_crash(guard, now)
        for key in dict.fromkeys(run.name.task.job for run in news):
            if self.crash_records.suspects(key):
                self.quarantine.extend(now)
            if key in self.jobs:
                self.give_up_culprit(self.jobs[key])

    def give_up_culprit(self, job: Job) -> bool:
        """End a job of which a task crashes targets; return whether it did."""
        verdict = self.crash_verdict(job.plan.key)
        if verdict is not None:
            self.end_job(job, verdict)
        return verdict is not None

    def crash_verdict(self, key: str) -> JobFailed | Abandoned | None:
        """Return the verdict on a job that crashes targets, or None."""
        if self.crash_records.culprits(key):
            return JobFailed("task_crashes_targets")
        if self.crash_records.is_exhausted(key):
            return Abandoned("too_many_crashes")
        return None
