"""The task of an entry instance that takes jobs in steps and answers them."""

from collections import defaultdict
from collections.abc import Callable
from itertools import takewhile
from typing import Any, NamedTuple

from hawthorntrack.coordination.guard_peer import LINK_TIMEOUT_S
from hawthorntrack.coordination.job_progress import PLACED, Job, critical_path_length_s
from hawthorntrack.coordination.queueing import (
    jitter_of,
    objective_s,
    retry_after_s,
)
from hawthorntrack.coordination.run_placement import RunPlacement
from hawthorntrack.coordination.target_selection import is_feasible
from hawthorntrack.protocol.job_requests import (
    CallerDisconnected,
    CancelPlan,
    CountQueuedJobs,
    DirectivesChanged,
    GetPlanState,
    SubmitPlan,
)
from hawthorntrack.protocol.links import CloseLink
from hawthorntrack.protocol.local import Drain, DrainCompleted, DrainDeadlinePassed
from hawthorntrack.protocol.run_messages import (
    CancelJobRuns,
    StopRuns,
)
from hawthorntrack.state.actor import handles
from hawthorntrack.state.catalogue import Queue, QueueIndex
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.event_log import log_event
from hawthorntrack.state.mailbox import Mailbox, Tick
from hawthorntrack.state.metrics import (
    JOB_SECONDS,
    REFUSALS,
    labelled,
)
from hawthorntrack.state.naming import exposed_name
from hawthorntrack.state.outcomes import resolve
from hawthorntrack.state.plans import RunName
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

SUSPENSION_THRESHOLD_S = (
    0.5  # ten ticks: the process was suspended, or had no processor
)
STARTUP_GRACE_S = (
    3.0  # two intervals of targets' heartbeats, for guards and targets to show
)
CONFIGURATION_RETRY_S = 0.02
MIN_DRAIN_S = 2.6  # the balancer needs two misses, a second apart, to notice
ANSWER_RATE_WINDOW_S = 2.0
RUN_NUMBERS_RETENTION_S = 5.0  # as long as a guard tells an ending again
CRITICAL_PATH_MEAN_WEIGHT = (
    0.05  # of one job in the mean of its queue: the last twenty or so
)


class UsedRunNumbers(NamedTuple):
    """When a job ended, and the highest number that an order of its tasks had."""

    at: float
    highest: int


class Dispatcher(RunPlacement):
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
        Takes `CloseLink`.
    drained : Mailbox
        Gets `DrainCompleted` when nothing is left after a `Drain`.
    on_ready : callable
        Is told whether jobs can be taken.
    clock : callable
        Returns seconds, suspended time included.
    drain_s : float
        Time from a `Drain` until the rest is answered by a `DrainDeadlinePassed`.
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
    ) -> None:
        super().__init__(zone, far_factor, send, clock)
        self.links = links
        self.drained = drained
        self.on_ready = on_ready
        self.index = QueueIndex(self.directives.catalogue)
        self.completion_times: list[float] = []
        self.used_run_numbers: dict[str, UsedRunNumbers] = {}
        self.began_at = clock()
        self.handled_at = 0.0
        self.drain_s = drain_s
        self.drain_began: float | None = None
        self.drain_complete = False

    def handle(self, message: Any) -> None:
        """Handle one message, then place what can be placed."""
        now = self.clock()
        if self.handled_at and now - self.handled_at > SUSPENSION_THRESHOLD_S:
            self.notice_suspension(now - self.handled_at)
        self.handled_at = now
        super().handle(message)
        if self.placement_pending and self.mailbox.queue.empty():
            self.placement_pending = False
            self.place_waiting()

    def notice_suspension(self, lasted_s: float) -> None:
        """Start nothing more of jobs whose callers may have gone elsewhere."""
        log_event("process:stood_still", lasted_s=round(lasted_s, 3))
        for job in self.jobs.values():
            job.process_suspended = True
        for peer in self.peers.values():
            peer.heard_at = min(peer.heard_at, self.clock() - LINK_TIMEOUT_S / 2)

    @handles(SubmitPlan)
    def on_submit_plan(self, order: SubmitPlan, sender: Incarnation) -> None:
        """Take a job, or refuse it at once."""
        now = self.clock()
        if not self.directives.catalogue.version:
            if now < self.began_at + STARTUP_GRACE_S:
                self.post_later(CONFIGURATION_RETRY_S, order)
            else:
                self.refuse(order, Refused("no_configuration", 1))
            return
        queue = self.index.find(order.host, order.path)
        if queue is None:
            resolve(order.reply, NoQueue())
            return
        if order.plan is None:
            log_event("job:unreadable", queue=queue.name, problem=order.problem)
            resolve(order.reply, BadJob(order.problem))
            return
        known = self.jobs.get(order.plan.key)
        if known is not None:
            known.replies.append(order.reply)
            return
        verdict = self.check_admission(order, queue, now)
        if verdict is not None:
            self.refuse(order, verdict)
            return
        job = Job(order.plan, queue, order.reply, now, order.deadline_s)
        earlier = self.used_run_numbers.get(order.plan.key)
        if earlier is not None:
            job.raise_run_numbers(earlier.highest)
        self.jobs[order.plan.key] = job
        usual = self.mean_critical_path_s.setdefault(queue.name, job.critical_path_s)
        self.mean_critical_path_s[queue.name] = usual + CRITICAL_PATH_MEAN_WEIGHT * (
            job.critical_path_s - usual
        )
        log_event(
            "job:taken",
            job=order.plan.key,
            queue=queue.name,
            tasks=len(job.tasks),
            objective_ms=round(job.objective * 1000),
            config=self.directives.catalogue.version,
        )
        self.placement_pending = True

    def check_admission(
        self, order: SubmitPlan, queue: Queue, now: float
    ) -> Verdict | None:
        """Return why a job is not taken, or None."""
        if self.drain_began is not None and not self.can_finish_during_drain(
            order, queue, now
        ):
            return Refused("draining", 1)
        if order.plan.survives_disconnect:
            return Refused("kept_jobs_not_offered", 5)
        rooms = [
            peer.target_status
            for peer in self.peers.values()
            if peer.target_status.service == queue.service
        ]
        if not rooms:
            # Targets announce themselves within two heartbeats of a guard's start.
            starting = now < self.began_at + STARTUP_GRACE_S
            return None if starting else Refused("no_target", 1)
        if not all(
            any(is_feasible(target_status, s) for target_status in rooms)
            for s in order.plan.steps
        ):
            return JobFailed("no_target_is_large_enough")
        return None

    def can_finish_during_drain(
        self, order: SubmitPlan, queue: Queue, now: float
    ) -> bool:
        """Return whether a job that comes during the drain can still end in it.

        Explanation
        -----------
        Load pattern: restarts in turn at callers that keep their connections. Those
        send here until the process is gone, and a refusal is all the answer they get.
        """
        critical_path_s = critical_path_length_s(order.plan.steps)
        wanted_s = objective_s(critical_path_s, queue.stretch, queue.latency_target_s)
        return (
            not self.drain_complete and now + wanted_s < self.drain_began + self.drain_s
        )

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
        resolve(order.reply, verdict)

    @handles(CallerDisconnected)
    def on_caller_disconnected(
        self, news: CallerDisconnected, sender: Incarnation
    ) -> None:
        """Drop a job that nobody waits for any more."""
        job = self.jobs.get(news.key)
        if job is None or news.reply not in job.replies:
            return
        job.replies.remove(news.reply)
        if not job.replies:
            self.end_job(job, Abandoned("caller_left"))

    @handles(CancelPlan)
    def on_cancel_plan(self, order: CancelPlan, sender: Incarnation) -> None:
        """Drop a job, here and wherever else it may be."""
        for address in self.peers:
            self.send(address, CancelJobRuns(order.key))
        job = self.jobs.get(order.key)
        if job is None:
            resolve(order.reply, UnknownJob())
            return
        self.end_job(job, Abandoned("cancelled"))
        resolve(order.reply, JobState("cancelled"))

    @handles(GetPlanState)
    def on_get_plan_state(self, order: GetPlanState, sender: Incarnation) -> None:
        """Tell the state of a job that is open here."""
        if self.index.find(order.host, order.path) is None:
            resolve(order.reply, NoQueue())
            return
        job = self.jobs.get(order.key)
        if job is None:
            resolve(order.reply, UnknownJob())
        else:
            resolve(order.reply, JobState("running" if job.begun else "queued"))

    @handles(CountQueuedJobs)
    def on_count_queued_jobs(self, order: CountQueuedJobs, sender: Incarnation) -> None:
        """Tell how many jobs of a queue wait for their first task."""
        queue = self.index.find(order.host, order.path)
        if queue is None:
            resolve(order.reply, NoQueue())
            return
        jobs = self.jobs.values()
        waiting = sum(not job.begun and job.queue.name == queue.name for job in jobs)
        resolve(order.reply, waiting)

    def end_job(self, job: Job, verdict: Verdict) -> None:
        """Answer a job and stop what still runs of it."""
        now = self.clock()
        name = exposed_name(type(verdict)).lower()
        reason = getattr(verdict, "reason", "")
        self.jobs.pop(job.plan.key, None)
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
        self.placement_pending = True
        self.report_drained()

    def answer_log_fields(self, job: Job, now: float) -> dict[str, object]:
        """Return what a job's answer depended on, for the log.

        Explanation
        -----------
        Guards that take runs with the room that they report, the age of the oldest
        of these reports, and the jobs that wait.
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
        self, news: DirectivesChanged, sender: Incarnation
    ) -> None:
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
        self.placement_pending = True

    @handles(Tick)
    def on_tick(self, tick: Tick, sender: Incarnation) -> None:
        """End jobs whose time is over, and give up on silent guards."""
        now = self.clock()
        for job in list(self.jobs.values()):
            if job.deadline_at <= now:
                verdict = (
                    Abandoned("deadline") if job.begun else self.overload_refusal(job)
                )
                self.end_job(job, verdict)
            elif not job.begun and job.placement_deadline_at <= now:
                self.end_job(job, self.overload_refusal(job))
            elif job.process_suspended and job.waiting():
                self.end_job(job, Abandoned("stood_still"))
        for peer in self.peers.values():
            if peer.linked and now - peer.heard_at > LINK_TIMEOUT_S:
                log_event("guard:silent", guard=peer.address, runs=len(peer.runs))
                peer.linked = False
                self.links.put(CloseLink(peer.address))
            if not peer.linked and peer.runs and now > peer.runs_gone_by():
                self.reschedule_runs(peer)
        self.completion_times = [
            at for at in self.completion_times if at > now - ANSWER_RATE_WINDOW_S
        ]
        for key in self.expired_run_numbers(now - RUN_NUMBERS_RETENTION_S):
            del self.used_run_numbers[key]
        self.report_ready()
        self.report_drained()

    def expired_run_numbers(self, limit: float) -> list[str]:
        """Return the jobs that ended by a time; they stand in order of their end."""
        used = self.used_run_numbers
        return list(takewhile(lambda key: used[key].at <= limit, used))

    def count_unstarted_jobs(self) -> int:
        """Return how many jobs wait for their first task."""
        return sum(not job.begun for job in self.jobs.values())

    def overload_refusal(self, job: Job) -> Refused:
        """Return the refusal of a job that found no room in time."""
        rate = len(self.completion_times) / ANSWER_RATE_WINDOW_S
        after_s = retry_after_s(
            self.count_unstarted_jobs(), rate, jitter_of(job.plan.key)
        )
        return Refused("overloaded", after_s, overloaded=True)

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
    def on_drain(self, order: Drain, sender: Incarnation) -> None:
        """Send callers elsewhere; take what they send here all the same."""
        self.drain_began = self.clock()
        self.on_ready(False, "draining")

    @handles(DrainDeadlinePassed)
    def on_drain_deadline_passed(
        self, order: DrainDeadlinePassed, sender: Incarnation
    ) -> None:
        """Answer the jobs that did not end in time, rather than break them off."""
        for job in list(self.jobs.values()):
            self.end_job(job, Abandoned("stopping"))

    def report_drained(self) -> None:
        """Say when nothing is left to answer."""
        if self.drain_began is None or self.jobs:
            return
        if self.clock() > self.drain_began + MIN_DRAIN_S:
            self.drain_complete = True
            self.drained.put(DrainCompleted(exposed_name(type(self))))
