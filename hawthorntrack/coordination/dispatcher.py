"""Job dispatcher of an entry instance: admits multi-step jobs and answers them."""

from collections import defaultdict
from collections.abc import Callable, Iterable
from itertools import takewhile
from typing import Any, NamedTuple

from hawthorntrack.coordination.guard_peer import LINK_TIMEOUT_S
from hawthorntrack.coordination.job_admission import (
    ANSWER_RATE_WINDOW_S,
    STARTUP_GRACE_S,
    JobAdmission,
)
from hawthorntrack.coordination.job_progress import PLACED, Job
from hawthorntrack.coordination.working_set import WorkingSet
from hawthorntrack.protocol.job_requests import (
    CallerDisconnected,
    CancelPlan,
    CountQueuedJobs,
    DirectivesChanged,
    DirectivesConfirmed,
    GetPlanState,
    SubmitPlan,
)
from hawthorntrack.protocol.local import Drain, DrainCompleted, DrainDeadlinePassed
from hawthorntrack.protocol.run_messages import (
    CancelJobRuns,
    StopRuns,
)
from hawthorntrack.state.actor import handles
from hawthorntrack.state.catalogue import QueueIndex
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.event_log import log_event
from hawthorntrack.state.lease_times import LeaseTimes
from hawthorntrack.state.mailbox import Mailbox, Tick
from hawthorntrack.state.metrics import (
    JOB_SECONDS,
    REFUSALS,
    labelled,
)
from hawthorntrack.state.naming import exposed_name
from hawthorntrack.state.node_settings import MAX_GUARD_LINKS
from hawthorntrack.state.outcomes import resolve
from hawthorntrack.state.plans import RunName
from hawthorntrack.state.values import Incarnation
from hawthorntrack.state.verdicts import (
    Abandoned,
    BadJob,
    Completed,
    JobState,
    NoQueue,
    Refused,
    UnknownJob,
    Verdict,
)

# A process that handles no message for this long, which is ten ticks, was suspended or
# got no processor time.
SUSPENSION_THRESHOLD_S = 0.5
# Without a tick for this long, which is five intervals, connections that have closed
# meanwhile may not have been read. A lease may be confirmed for a caller that left this
# long ago, since its runs end 0.2 s before it retries (`leases.runs_gone_by`).
MAX_READ_INTERVAL_S = 0.1
# The event loop reads the end of a connection in one pass, and cancels the reply in the
# next.
PASSES_TO_NOTICE_DISCONNECTION = 2
CONFIGURATION_RETRY_S = 0.02
# The load balancer removes an instance after two failed health checks, 1 s apart.
MIN_DRAIN_S = 2.6
# For this long, a guard reports the end of a run again when it is asked.
RUN_NUMBERS_RETENTION_S = 5.0
# Weight of a new job in the moving mean of its queue, which thus covers about the
# last twenty jobs.
CRITICAL_PATH_MEAN_WEIGHT = 0.05


class UsedRunNumbers(NamedTuple):
    """End time of a job and the highest run number that any of its tasks used."""

    ended_at: float
    highest: int


class LoopPassed(NamedTuple):
    """Message of the dispatcher to itself: the event loop has read the sockets.

    Attributes
    ----------
    passes_left : int
        Number of further passes of the event loop to wait for.
    """

    passes_left: int


class Dispatcher(JobAdmission):
    """Actor that owns the open jobs of one entry instance.

    Parameters
    ----------
    zone : str
        Zone of this instance.
    far_factor : float
        Factor on a task's run time on a target outside the rack of its data.
    send : callable
        Sends a message; called with a peer's address and the message.
    links : Mailbox
        Receives `CloseLink`.
    drained : Mailbox
        Receives `DrainCompleted` when no job is open after a `Drain`.
    on_ready : callable
        Called with the readiness of the instance and the reason if it is not ready.
    clock : callable
        Returns seconds, including time for which the machine was suspended.
    drain_s : float
        Time in seconds from a `Drain` to the `DrainDeadlinePassed` that answers the
        jobs still open.
    lease_times : LeaseTimes
        Durations of leases.
    address : str
        Address of this instance; its order of preference among guards follows from it.
    max_guard_links : int
        Largest number of guards that this instance keeps links to.
    share_room : bool
        Whether guards offer free capacity to waiting tasks of all entry instances.
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
        drain_s: float,
        lease_times: LeaseTimes,
        address: str = "",
        max_guard_links: int = MAX_GUARD_LINKS,
        share_room: bool = False,
    ) -> None:
        working_set = WorkingSet(address, zone, max_guard_links)
        super().__init__(
            zone,
            far_factor,
            send,
            links,
            clock,
            lease_times,
            working_set,
            share_room,
            drain_s,
        )
        self.drained = drained
        self.on_ready = on_ready
        self.index = QueueIndex(self.directives.catalogue)
        self.used_run_numbers: dict[str, UsedRunNumbers] = {}
        self.handled_at = 0.0
        self.sockets_read_at = 0.0

    def handle(self, message: Any) -> None:
        """Handle one message; then place waiting tasks if that is due."""
        now = self.clock()
        if self.handled_at and now - self.handled_at > SUSPENSION_THRESHOLD_S:
            self.notice_suspension(now - self.handled_at)
        self.handled_at = now
        if self.sockets_read_at and now - self.sockets_read_at > MAX_READ_INTERVAL_S:
            self.wait_for_disconnections()
        super().handle(message)
        self.place_if_due(now)

    def wait_for_disconnections(self) -> None:
        """Defer placement and lease confirmations until the sockets have been read.

        Explanation
        -----------
        After a suspension, messages that were read from guards may be handled before
        the ends of the callers' connections. The event loop reads all sockets in each
        pass before it runs the timers that are due.
        """
        if not self.disconnections_unread:
            self.disconnections_unread = True
            self.post_later(0, LoopPassed(PASSES_TO_NOTICE_DISCONNECTION - 1))

    @handles(LoopPassed)
    def on_loop_passed(self, message: LoopPassed, sender: Incarnation) -> None:
        """Confirm leases and place tasks once all disconnections are noticed."""
        if message.passes_left:
            self.post_later(0, LoopPassed(message.passes_left - 1))
            return
        self.disconnections_unread = False
        self.sockets_read_at = self.clock()
        for peer in self.peers.values():
            self.confirm_leases_if_due(peer)
        self.placement_pending = True

    def notice_suspension(self, lasted_s: float) -> None:
        """Start no further tasks of the open jobs after a suspension of the process.

        Explanation
        -----------
        The callers may have submitted these jobs to another entry instance meanwhile.
        """
        log_event("process:stood_still", lasted_s=round(lasted_s, 3))
        for job in self.jobs.values():
            job.process_suspended = True
            self.note_job_changed(job)
        for peer in self.peers.values():
            peer.heard_at = min(peer.heard_at, self.clock() - LINK_TIMEOUT_S / 2)

    @handles(SubmitPlan)
    def on_submit_plan(self, submission: SubmitPlan, sender: Incarnation) -> None:
        """Admit a job, or refuse it at once."""
        now = self.clock()
        if submission.reply.done():
            self.refuse(submission, Abandoned("caller_left"))
            return
        if not self.directives.catalogue.version:
            if now < self.began_at + STARTUP_GRACE_S:
                self.post_later(CONFIGURATION_RETRY_S, submission)
            else:
                self.refuse(submission, Refused("no_configuration", 1))
            return
        queue = self.index.find(submission.host, submission.path)
        if queue is None:
            resolve(submission.reply, NoQueue())
            return
        if submission.plan is None:
            log_event("job:unreadable", queue=queue.name, problem=submission.problem)
            resolve(submission.reply, BadJob(submission.problem))
            return
        open_job = self.jobs.get(submission.plan.key)
        if open_job is not None:
            open_job.replies.append(submission.reply)
            return
        verdict = self.check_admission(submission, queue, now)
        if verdict is not None:
            self.refuse(submission, verdict)
            return
        job = Job(
            submission.plan,
            queue,
            submission.reply,
            submission.arrived_at,
            submission.deadline_s,
        )
        used_numbers = self.used_run_numbers.get(submission.plan.key)
        if used_numbers is not None:
            job.raise_run_numbers(used_numbers.highest)
        self.jobs[submission.plan.key] = job
        previous_mean_s = self.mean_critical_path_s.setdefault(
            queue.name, job.critical_path_s
        )
        self.mean_critical_path_s[queue.name] = (
            previous_mean_s
            + CRITICAL_PATH_MEAN_WEIGHT * (job.critical_path_s - previous_mean_s)
        )
        log_event(
            "job:taken",
            job=submission.plan.key,
            queue=queue.name,
            tasks=len(job.tasks),
            objective_ms=round(job.objective * 1000),
            config=self.directives.catalogue.version,
        )
        self.queue_job(job)

    def refuse(self, submission: SubmitPlan, verdict: Verdict) -> None:
        """Answer a submission that is not admitted."""
        reason = getattr(verdict, "reason", "")
        labelled(REFUSALS, reason).inc()
        log_event(
            "job:refused",
            job=submission.plan.key if submission.plan else "",
            reason=reason,
            waiting=len(self.jobs),
            as_of=self.directives.stamp,
        )
        resolve(submission.reply, verdict)

    @handles(CallerDisconnected)
    def on_caller_disconnected(
        self, disconnect: CallerDisconnected, sender: Incarnation
    ) -> None:
        """Abandon a job once none of its callers is connected."""
        job = self.jobs.get(disconnect.key)
        if job is None or disconnect.reply not in job.replies:
            return
        job.replies.remove(disconnect.reply)
        if not job.replies:
            self.end_job(job, Abandoned("caller_left"))

    @handles(CancelPlan)
    def on_cancel_plan(self, request: CancelPlan, sender: Incarnation) -> None:
        """Cancel a job here, and ask guards and other entry instances to stop it."""
        other_entries = self.working_set.entries - {self.working_set.owner}
        for address in (*self.peers, *sorted(other_entries)):
            self.send(address, CancelJobRuns(request.key))
        job = self.jobs.get(request.key)
        if job is None:
            resolve(request.reply, UnknownJob())
            return
        self.end_job(job, Abandoned("cancelled"))
        resolve(request.reply, JobState("cancelled"))

    @handles(CancelJobRuns)
    def on_cancel_job_runs(self, order: CancelJobRuns, sender: Incarnation) -> None:
        """Cancel a job here that a caller cancelled at another entry instance.

        Explanation
        -----------
        The other instance may not be linked to the guards that have the job's runs.
        """
        job = self.jobs.get(order.job)
        if job is not None:
            self.end_job(job, Abandoned("cancelled"))

    @handles(GetPlanState)
    def on_get_plan_state(self, request: GetPlanState, sender: Incarnation) -> None:
        """Answer with the state of a job that is open here."""
        if self.index.find(request.host, request.path) is None:
            resolve(request.reply, NoQueue())
            return
        job = self.jobs.get(request.key)
        if job is None:
            resolve(request.reply, UnknownJob())
        else:
            resolve(request.reply, JobState("running" if job.begun else "queued"))

    @handles(CountQueuedJobs)
    def on_count_queued_jobs(
        self, request: CountQueuedJobs, sender: Incarnation
    ) -> None:
        """Answer with the number of a queue's jobs of which no task was placed yet."""
        queue = self.index.find(request.host, request.path)
        if queue is None:
            resolve(request.reply, NoQueue())
            return
        jobs = self.jobs.values()
        waiting = sum(not job.begun and job.queue.name == queue.name for job in jobs)
        resolve(request.reply, waiting)

    def end_job(self, job: Job, verdict: Verdict) -> None:
        """Answer a job and stop its remaining runs."""
        now = self.clock()
        name = exposed_name(type(verdict)).lower()
        reason = getattr(verdict, "reason", "")
        self.jobs.pop(job.plan.key, None)
        self.note_job_changed(job)
        self.used_run_numbers.pop(job.plan.key, None)
        if job.begun:
            highest = max(task.number for task in job.tasks.values())
            self.used_run_numbers[job.plan.key] = UsedRunNumbers(now, highest)
        stops: dict[str, list[RunName]] = defaultdict(list)
        for task in job.tasks.values():
            if task.phase == PLACED:
                stops[task.guard].append(task.run)
                self.peers[task.guard].runs.pop(task.name, None)
        for address, runs in stops.items():
            self.send(address, StopRuns(tuple(runs)))
        for reply in job.replies:
            resolve(reply, verdict)
        if isinstance(verdict, Refused):
            labelled(REFUSALS, reason).inc()
        elif isinstance(verdict, Completed):
            self.completion_times.append(now)
        labelled(JOB_SECONDS, job.queue.name, name).observe(now - job.arrived)
        log_event(
            "job:answered",
            job=job.plan.key,
            answer=name,
            reason=reason,
            after_ms=round((now - job.arrived) * 1000),
            objective_ms=round(job.objective * 1000),
            stopped=sum(map(len, stops.values())),
            **({} if name == "completed" else self.answer_log_fields(job, now)),
        )
        for address in stops:
            self.place_if_useful(self.peers[address])
        self.report_drained()

    def end_unawaited_jobs(self, jobs: Iterable[Job]) -> None:
        """End those of the jobs whose callers have left or have stopped waiting.

        Explanation
        -----------
        A caller may submit such a job to another entry instance. A reply is cancelled
        as soon as its connection is found closed, while the message about that waits in
        the mailbox. A caller behind a connection that is half open is known only to
        wait no longer than its deadline.
        """
        now = self.clock()
        for job in list(jobs):
            if job.callers_left:
                self.end_job(job, Abandoned("caller_left"))
            elif job.deadline_at <= now:
                verdict = (
                    Abandoned("deadline") if job.begun else self.overload_refusal(job)
                )
                self.end_job(job, verdict)

    def answer_log_fields(self, job: Job, now: float) -> dict[str, object]:
        """Return log fields that explain why a job did not complete.

        Explanation
        -----------
        These are the number of guards that accept runs, the capacity that they report
        as free, the age of the oldest of these reports, and the number of jobs that
        wait.
        """
        peers = self.available_peers(now)
        ages = [now - peer.heard_at for peer in peers]
        return {
            "queue": job.queue.name,
            "as_of": self.directives.stamp,
            "guards_open": len(peers),
            "free_cpu_m": sum(max(0, peer.to_candidate().free.cpu_m) for peer in peers),
            "oldest_report_ms": round(1000 * max(ages, default=0.0)),
            "waiting": self.count_unstarted_jobs(),
        }

    @handles(DirectivesChanged)
    def on_directives_changed(
        self, change: DirectivesChanged, sender: Incarnation
    ) -> None:
        """Apply a new configuration and a new set of zones out of service."""
        previous, self.directives = self.directives, change.directives
        if previous.catalogue is not change.directives.catalogue:
            self.index = QueueIndex(change.directives.catalogue)
        log_event(
            "directives:changed",
            version=change.directives.catalogue.version,
            as_of=change.directives.stamp,
            zones_out=",".join(sorted(change.directives.zones_out)),
        )
        self.report_ready()
        self.placement_pending = True

    @handles(DirectivesConfirmed)
    def on_directives_confirmed(
        self, confirmed: DirectivesConfirmed, sender: Incarnation
    ) -> None:
        """Record that the store has no newer directives.

        Explanation
        -----------
        A zone that was taken out of service and brought back while the store did not
        answer leaves the directives as they were. A guard that has learnt of the zone
        in between brings it back only for a newer stamp.
        """
        if confirmed.stamp > self.directives.stamp:
            self.directives = self.directives._replace(stamp=confirmed.stamp)
        self.directives_as_of = max(self.directives_as_of, confirmed.as_of)

    @handles(Tick)
    def on_tick(self, tick: Tick, sender: Incarnation) -> None:
        """End expired jobs, and reschedule the runs of silent guards."""
        now = self.sockets_read_at = self.clock()
        self.record_waits(now)
        self.end_unawaited_jobs(self.jobs.values())
        self.place_if_awaiting()
        for job in list(self.jobs.values()):
            if not job.begun and job.placement_deadline_at <= now:
                self.end_job(job, self.overload_refusal(job))
            elif job.process_suspended and job.waiting():
                self.end_job(job, Abandoned("stood_still"))
        self.close_silent_links(now)
        for peer in self.peers.values():
            if not peer.linked and peer.runs and now > peer.runs_gone_by():
                self.reschedule_runs(peer)
        self.completion_times = [
            time for time in self.completion_times if time > now - ANSWER_RATE_WINDOW_S
        ]
        self.crash_records.expire(now)
        for key in self.expired_run_numbers(now - RUN_NUMBERS_RETENTION_S):
            del self.used_run_numbers[key]
        self.request_capacity_updates(bool(self.waiting_jobs))
        if self.waiting_jobs:
            # Slow targets may be used once a job has waited for most of its time.
            for peer in self.available_peers(now):
                self.place_if_useful(peer)
        self.review_links_if_due(now)
        self.report_demand_at_tick(now)
        self.report_ready()
        self.report_drained()

    def expired_run_numbers(self, ended_by: float) -> list[str]:
        """Return the keys of jobs that ended at or before a time.

        Explanation
        -----------
        `used_run_numbers` is in order of the end times, so the search stops at the
        first later one.
        """
        used = self.used_run_numbers
        return list(takewhile(lambda key: used[key].ended_at <= ended_by, used))

    def report_ready(self) -> None:
        """Report whether this instance can accept jobs."""
        if self.drain_began is not None:
            return
        now = self.clock()
        if not self.directives.catalogue.version:
            self.on_ready(False, "no_configuration")
        elif not any(
            peer.linked and now - peer.heard_at < 1 for peer in self.peers.values()
        ):
            self.on_ready(False, "no_guard")
        else:
            self.on_ready(True, "")

    @handles(Drain)
    def on_drain(self, drain: Drain, sender: Incarnation) -> None:
        """Begin a drain: report not ready, and accept only jobs that end in time.

        Explanation
        -----------
        The load balancer sends new callers to other instances. Callers that keep their
        connections continue to submit jobs here.
        """
        self.drain_began = self.clock()
        self.on_ready(False, "draining")

    @handles(DrainDeadlinePassed)
    def on_drain_deadline_passed(
        self, deadline: DrainDeadlinePassed, sender: Incarnation
    ) -> None:
        """Answer the jobs that are still open, so that none is cut off unanswered."""
        for job in list(self.jobs.values()):
            self.end_job(job, Abandoned("stopping"))

    def report_drained(self) -> None:
        """Report the end of a drain once no job is open and `MIN_DRAIN_S` is over."""
        if self.drain_began is None or self.jobs:
            return
        if self.clock() > self.drain_began + MIN_DRAIN_S:
            self.drain_complete = True
            self.drained.put(DrainCompleted(exposed_name(type(self))))
