"""Base class of the dispatcher: decides which jobs are admitted, and when to retry."""

from collections.abc import Callable, Iterable
from itertools import chain
from typing import Any

from hawthorntrack.coordination.guard_peer import GuardPeer
from hawthorntrack.coordination.job_progress import Job, critical_path_length_s
from hawthorntrack.coordination.queueing import (
    jitter_of,
    objective_s,
    retry_after_s,
)
from hawthorntrack.coordination.room_requests import RoomRequests
from hawthorntrack.coordination.scheduling.waits import (
    ArrivingJob,
    ExpectedWaits,
    RetrySchedule,
    WaitReport,
    admission_refusal,
)
from hawthorntrack.coordination.target_selection import is_feasible
from hawthorntrack.coordination.working_set import WorkingSet
from hawthorntrack.protocol.job_requests import SubmitPlan
from hawthorntrack.state.catalogue import Queue
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.event_log import log_event
from hawthorntrack.state.lease_times import LeaseTimes
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.metrics import (
    ARRIVAL_REFUSALS,
    EXPECTED_WAIT_SECONDS,
    labelled,
)
from hawthorntrack.state.plans import StepSpec
from hawthorntrack.state.verdicts import JobFailed, Refused, Verdict

# Guards and targets announce themselves within two intervals of target heartbeats.
STARTUP_GRACE_S = 3.0
ANSWER_RATE_WINDOW_S = 2.0


class JobAdmission(RoomRequests):
    """Admits jobs, or refuses them with the time after which callers should retry.

    Parameters
    ----------
    zone, far_factor, send, links, clock, lease_times, working_set, share_room
        As for `RoomRequests`.
    drain_s : float
        Time in seconds from a `Drain` to the `DrainDeadlinePassed` that answers the
        jobs still open.

    Attributes
    ----------
    completion_times : list of float
        Times of the jobs completed within `ANSWER_RATE_WINDOW_S`, in seconds.
    expected_waits : ExpectedWaits
        Expected waits by queue; without reports unless `share_room` is on.
    retry_schedule : RetrySchedule
        Return times of the jobs that were refused under overload.
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
        share_room: bool,
        drain_s: float,
    ) -> None:
        super().__init__(
            zone, far_factor, send, links, clock, lease_times, working_set, share_room
        )
        self.completion_times: list[float] = []
        self.expected_waits = ExpectedWaits()
        self.retry_schedule = RetrySchedule()
        self.began_at = clock()
        self.drain_s = drain_s
        self.drain_began: float | None = None
        self.drain_complete = False

    def check_admission(
        self, submission: SubmitPlan, queue: Queue, now: float
    ) -> Verdict | None:
        """Return the verdict that rejects a job, or None to admit it."""
        if submission.arrived_at + submission.deadline_s <= now:
            return Refused("deadline_passed", 1)
        if self.drain_began is not None and not self.can_finish_during_drain(
            submission, queue, now
        ):
            return Refused("draining", 1)
        if submission.plan.survives_disconnect:
            return Refused("kept_jobs_not_offered", 5)
        verdict = self.crash_verdict(submission.plan.key)
        if verdict is not None:
            return verdict
        statuses = [
            peer.target_status
            for peer in self.peers.values()
            if peer.target_status.service == queue.service
        ]
        if not statuses:
            # Targets are announced within two heartbeats of a guard's start.
            starting = now < self.began_at + STARTUP_GRACE_S
            return None if starting else Refused("no_target", 1)
        unsuitable = [
            step
            for step in submission.plan.steps
            if not any(is_feasible(status, step) for status in statuses)
        ]
        if not unsuitable:
            return self.wait_verdict(submission, queue, now)
        labels = frozenset(chain.from_iterable(status.labels for status in statuses))
        if len(self.peers) < len(self.working_set.guards) and any(
            step.label and step.label not in labels for step in unsuitable
        ):
            # Other targets may have the label, so the job is not failed for good.
            self.working_set.note_shortage()
            return Refused("label_not_linked", 1)
        return JobFailed("no_target_is_large_enough")

    def can_finish_during_drain(
        self, submission: SubmitPlan, queue: Queue, now: float
    ) -> bool:
        """Return whether a job submitted during a drain can end before the drain does.

        Explanation
        -----------
        Load pattern: rolling restarts with callers that keep their connections. They
        submit jobs here until the process exits, and would otherwise only get
        refusals.
        """
        critical_path_s = critical_path_length_s(submission.plan.steps)
        objective = objective_s(critical_path_s, queue.stretch, queue.latency_target_s)
        return (
            not self.drain_complete
            and now + objective < self.drain_began + self.drain_s
        )

    def wait_verdict(
        self, submission: SubmitPlan, queue: Queue, now: float
    ) -> Verdict | None:
        """Return the refusal of a job that would wait for too long, or None.

        Explanation
        -----------
        The time since the job arrived at the machine counts as a part of its wait.
        """
        if not self.share_room:
            return None
        expected_s = self.expected_wait_s(queue.name, now)
        waiting = self.count_unstarted(queue.name)
        if not expected_s or not waiting:
            return None
        peers = [
            peer
            for peer in self.available_peers(now)
            if peer.target_status.service == queue.service
        ]
        steps = [step for step in submission.plan.steps if not step.depends_on]
        expected_s += now - submission.arrived_at
        arriving = arriving_job(submission.plan.steps, queue, peers)
        refusal = admission_refusal(
            arriving._replace(deadline_s=submission.deadline_s),
            False,
            waiting,
            expected_s,
        )
        if refusal is None or any(
            self.has_room(peer, step) for peer in peers for step in steps
        ):
            return None
        labelled(ARRIVAL_REFUSALS, queue.name, refusal.reason).inc()
        ages_s = [now - peer.heartbeat_at for peer in peers]
        log_event(
            "job:wait_too_long",
            job=submission.plan.key,
            queue=queue.name,
            limit=refusal.reason,
            limit_ms=round(refusal.limit_s * 1000),
            expected_ms=round(refusal.expected_s * 1000),
            guards_open=len(peers),
            oldest_report_ms=round(1000 * max(ages_s, default=0.0)),
        )
        after_s = self.planned_retry_s(submission.plan.key, queue.name, now)
        return Refused("overloaded", after_s, overloaded=True)

    def has_room(self, peer: GuardPeer, step: StepSpec) -> bool:
        """Return whether a guard reports free capacity for a task of a step."""
        return (
            step.need.fits_in(peer.to_candidate().free)
            and is_feasible(peer.target_status, step)
            and self.capacity_is_certain(peer.target_status)
        )

    def record_waits(self, now: float) -> None:
        """Take the newest reports of guards into account, and set the gauges."""
        if not self.share_room:
            return
        zones_out = self.directives.zones_out
        self.expected_waits.record(
            (
                WaitReport(peer.target_status.service, peer.target_status.queue_waits)
                for peer in self.peers.values()
                if peer.is_in_service(now, zones_out)
            ),
            now,
        )
        waits_s = self.oldest_waits_s(now)
        for queue in self.directives.catalogue.queues:
            expected_s = self.expected_waits.expected_s(
                queue.name, waits_s.get(queue.name, 0.0)
            )
            labelled(EXPECTED_WAIT_SECONDS, queue.name).set(expected_s)

    def expected_wait_s(self, queue: str, now: float) -> float:
        """Return the expected wait of a new job of a queue, in seconds."""
        oldest_s = self.oldest_waits_s(now).get(queue, 0.0)
        return self.expected_waits.expected_s(queue, oldest_s)

    def oldest_waits_s(self, now: float) -> dict[str, float]:
        """Return how long the oldest unstarted job of each queue has waited here."""
        waits_s: dict[str, float] = {}
        for job in self.unstarted_jobs():
            wait_s = now - job.arrived
            waits_s[job.queue.name] = max(wait_s, waits_s.get(job.queue.name, 0.0))
        return waits_s

    def unstarted_jobs(self) -> Iterable[Job]:
        """Yield the open jobs that wait and of which no task was placed yet."""
        return (
            job
            for key, job in self.waiting_jobs.items()
            if not job.begun and self.jobs.get(key) is job
        )

    def count_unstarted(self, queue: str) -> int:
        """Return the number of jobs of a queue that wait for their first task."""
        return sum(job.queue.name == queue for job in self.unstarted_jobs())

    def count_unstarted_jobs(self) -> int:
        """Return the number of jobs of which no task was placed yet."""
        return sum(not job.begun for job in self.jobs.values())

    def planned_retry_s(self, key: str, queue: str, now: float) -> int:
        """Return the whole number of seconds after which a refused job may return."""
        return self.retry_schedule.after_s(
            queue,
            self.expected_wait_s(queue, now),
            self.count_unstarted(queue),
            jitter_of(key),
            now,
        )

    def overload_refusal(self, job: Job) -> Refused:
        """Return the refusal of a job for which no capacity was free in time."""
        if self.share_room:
            key, queue = job.plan.key, job.queue.name
            after_s = self.planned_retry_s(key, queue, self.clock())
            return Refused("overloaded", after_s, overloaded=True)
        rate = len(self.completion_times) / ANSWER_RATE_WINDOW_S
        after_s = retry_after_s(
            self.count_unstarted_jobs(), rate, jitter_of(job.plan.key)
        )
        return Refused("overloaded", after_s, overloaded=True)


def arriving_job(
    steps: tuple[StepSpec, ...], queue: Queue, peers: Iterable[GuardPeer]
) -> ArrivingJob:
    """Return the properties of a job that limit its wait.

    Parameters
    ----------
    steps : tuple of StepSpec
        The steps of the job.
    peers : iterable of GuardPeer
        The guards that accept runs of its queue.
    """
    statuses = [peer.target_status for peer in peers]
    critical_path_s = critical_path_length_s(steps)
    work_cpu_m_s = sum(
        (step.count - 1) * step.need.cpu_m * step.estimate_s
        for step in steps
        if not step.depends_on
    )
    capacity_cpu_m = sum(status.capacity.cpu_m for status in statuses)
    return ArrivingJob(
        objective_s(critical_path_s, queue.stretch, queue.latency_target_s),
        critical_path_s,
        min((status.slowness for status in statuses if status.slowness), default=0.0),
        # Without guards in service, nothing is known about the width of the job.
        work_cpu_m_s / capacity_cpu_m if capacity_cpu_m else 0.0,
    )
