"""Base class of the dispatcher: asks guards for capacity that its tasks wait for."""

import math
from collections.abc import Callable
from typing import Any

from hawthorntrack.coordination.guard_peer import GuardPeer
from hawthorntrack.coordination.job_progress import Job, Task
from hawthorntrack.coordination.look_ahead_placement import LookAheadPlacement
from hawthorntrack.coordination.scheduling.demand import (
    MAX_VIEWED_JOBS,
    MIN_REPORT_INTERVAL_S,
    Backlog,
    DemandReports,
    DemandView,
    JobDemand,
    bounded_count,
    divide_work,
    guards_to_ask,
    is_twice_as_large,
    job_demand,
    scale_to_backlog,
    startable,
    tasks_that_fit,
    without_vain_exclusions,
)
from hawthorntrack.coordination.scheduling.outlook import NO_OUTLOOK
from hawthorntrack.coordination.scheduling.placement_pass import (
    NOMINAL_SLOWNESS,
    PlacementPass,
)
from hawthorntrack.coordination.target_selection import (
    LAST_CHANCE_S,
    TargetCandidate,
)
from hawthorntrack.coordination.working_set import WorkingSet
from hawthorntrack.protocol.links import LinkDown
from hawthorntrack.protocol.run_messages import (
    CloseOffer,
    Hello,
    OfferRoom,
    QueueDemand,
    ReportDemand,
    RunsRefused,
)
from hawthorntrack.state.actor import handles
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.event_log import log_event
from hawthorntrack.state.lease_times import LeaseTimes
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.metrics import (
    DEMANDS_SENT,
    OFFERED_STARTS,
    OFFERS_ANSWERED,
    WAIT_SECONDS,
    labelled,
)
from hawthorntrack.state.values import Incarnation

# A sixth of the time for which a guard keeps an offered capacity, and of the shortest
# time that a job may wait (both 30 ms).
MAX_PLACEMENT_DELAY_S = 0.005
# A view of the demand takes a millisecond or two of an entry instance's processor, so
# under overload it may take a fifth of it.
MIN_REVIEW_INTERVAL_S = 0.01
# Within one report interval, guards with free capacity have offered it. A task that
# waits longer competes with others.
UNCONTENDED_WAIT_S = MIN_REPORT_INTERVAL_S
# Bursts and their retries come seconds apart. Between them, few tasks wait.
CONTENTION_LINGER_S = 5.0
# An instance that has just started does not know the load, and others may have started
# with it. Guards are linked and known within a second.
STARTUP_CONTENTION_S = 2.0
# Shorter waits happen all the time on busy targets; the metrics count them.
MIN_LOGGED_WAIT_S = 0.25


class RoomRequests(LookAheadPlacement):
    """Reports waiting tasks to guards, and uses the capacity that they offer.

    Explanation
    -----------
    Without `share_room` it adds nothing to `RunPlacement`.

    Parameters
    ----------
    zone, far_factor, send, links, clock, lease_times, working_set, share_room
        As for `LookAheadPlacement`.

    Attributes
    ----------
    backlog : Backlog
        What waits of the open jobs, as of the last `update_backlog`.
    changed_jobs : set of str
        Jobs of which other tasks wait since then.
    reports : DemandReports
        The demand that guards were told of.
    median_slowness : float
        Median slowness of the targets that accept runs, at the last review of demand.
    guards : dict of str to set of str
        The guards of these targets, by service.
    outlook : TargetOutlook
        Expected waits for these targets, by their speed.
    asking_since : float or None
        Time at which this instance began to report demand; None if none is reported.
    contended_until : float
        Until this time, in seconds, tasks start only in offered capacity.
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
    ) -> None:
        super().__init__(
            zone, far_factor, send, links, clock, lease_times, working_set, share_room
        )
        self.backlog = Backlog()
        self.changed_jobs: set[str] = set()
        self.reports = DemandReports()
        self.median_slowness = NOMINAL_SLOWNESS
        self.outlook = NO_OUTLOOK
        self.guards: dict[str, set[str]] = {}
        self.reviewed_at = 0.0
        self.reviewed_tasks: dict[str, int] = {}
        self.asking_since: float | None = None
        self.pending_since: float | None = None
        self.contended_until = clock() + STARTUP_CONTENTION_S

    # Changes of what waits

    def queue_job(self, job: Job) -> None:
        """Add a job with waiting tasks to those that are placed and reported next."""
        super().queue_job(job)
        self.note_job_changed(job)

    def record_placement(self, job: Job, task: Task, peer: GuardPeer) -> None:
        """Record that a task is sent to a guard, and does not wait any more."""
        super().record_placement(job, task, peer)
        self.note_job_changed(job)

    def note_job_changed(self, job: Job) -> None:
        """Record that other tasks of a job wait, or that it has ended."""
        if self.share_room:
            self.changed_jobs.add(job.plan.key)

    def update_backlog(self) -> None:
        """Apply the changes of the jobs to the backlog.

        Explanation
        -----------
        While targets are set apart for suspects, which tasks these are may change with
        each message, so all jobs are considered again.
        """
        now, keys = self.clock(), self.changed_jobs
        if self.quarantined:
            keys = keys | set(self.backlog.jobs) | set(self.waiting_jobs)
        for key in keys:
            job = self.jobs.get(key)
            tasks = [] if job is None else self.split_suspects(job)[0]
            if tasks and not job.process_suspended:
                rank = self.queue_order.key(self.waiting_job(job))
                self.backlog.put(job_demand(job, tasks, rank), now)
            else:
                self.backlog.discard(key)
        self.changed_jobs = set()

    # Time of placement

    def place_if_due(self, now: float) -> None:
        """Place waiting tasks if that is due, and report those that still wait."""
        super().place_if_due(now)
        if self.changed_jobs and self.mailbox.queue.empty():
            self.report_demand_if_due()

    def place_waiting(self) -> None:
        """Place waiting tasks, unless they have to ask for capacity first.

        Explanation
        -----------
        Suspects run in isolation, which guards do not offer. While targets are set
        apart for them, tasks are placed directly.
        """
        super().place_waiting()
        if self.must_ask(self.clock()):
            self.least_waiting_cpu_m = math.inf

    def must_ask(self, now: float) -> bool:
        """Return whether tasks have to ask for capacity before they start."""
        return self.share_room and now < self.contended_until and not self.quarantined

    def placeable_jobs(self, now: float) -> list[Job]:
        """Return the waiting jobs whose tasks may be placed without an offer.

        Explanation
        -----------
        These are all jobs, or those that would be refused next: offers and reports of
        demand may have been lost.
        """
        jobs = super().placeable_jobs(now)
        if not self.must_ask(now):
            return jobs
        return list(filter(self.is_last_chance(now), jobs))

    def is_last_chance(self, now: float) -> Callable[[Job], bool]:
        """Return a function that tells whether a job is about to be refused."""
        limit = now + LAST_CHANCE_S
        return lambda job: not job.begun and job.placement_deadline_at < limit

    def refusal_is_near(self, now: float) -> bool:
        """Return whether a waiting job is about to be refused for its wait."""
        return any(map(self.is_last_chance(now), self.waiting_jobs.values()))

    @handles(RunsRefused)
    def on_runs_refused(self, refused: RunsRefused, sender: Incarnation) -> None:
        """Ask for capacity before each start, after one found none.

        Explanation
        -----------
        Load pattern: ten entry instances on busy targets. A report of free capacity is
        0.1 s old on average. All instances choose the target that seems emptiest: 49 of
        120 orders were refused where capacity for ten tasks or more was reported free.
        To ask first takes a round trip of 1 to 3 ms.
        """
        if self.share_room and refused.reason == "no_room":
            self.contended_until = self.clock() + CONTENTION_LINGER_S
        super().on_runs_refused(refused, sender)

    def placement_is_due(self, now: float) -> bool:
        """Return whether waiting tasks are to be placed now.

        Explanation
        -----------
        Load pattern: messages arrive faster than they are handled, for seconds. Tasks
        whose placement waited for an empty mailbox were refused for their wait.
        """
        if not self.placement_pending or self.disconnections_unread:
            self.pending_since = None
            return False
        if super().placement_is_due(now):
            self.pending_since = None
            return True
        if not self.share_room:
            return False
        if self.pending_since is None:
            self.pending_since = now
        overdue = now - self.pending_since >= MAX_PLACEMENT_DELAY_S
        if overdue:
            self.pending_since = None
        return overdue

    # Reports of demand

    def request_capacity_updates(self, jobs_waiting: bool) -> None:
        """Request no capacity updates where guards offer their free capacity."""
        super().request_capacity_updates(jobs_waiting and not self.share_room)

    def report_demand_if_due(self) -> None:
        """Send the due reports if demand began, ended or doubled, or time has passed.

        Explanation
        -----------
        Load pattern: hundreds of jobs wait, and each message may change one. Smaller
        changes wait for `MIN_REPORT_INTERVAL_S` or for the next tick.
        """
        if not self.share_room:
            return
        now = self.clock()
        self.update_backlog()
        tasks, before = self.backlog.tasks(), self.reviewed_tasks
        elapsed_s = now - self.reviewed_at
        if elapsed_s >= MIN_REPORT_INTERVAL_S or (
            (elapsed_s >= MIN_REVIEW_INTERVAL_S or not tasks or not before)
            and (tasks.keys() != before.keys() or is_twice_as_large(tasks, before))
        ):
            self.report_demand(now)

    def report_demand_at_tick(self, now: float) -> None:
        """Send the reports that time has made due."""
        if self.share_room and now - self.reviewed_at >= MIN_REVIEW_INTERVAL_S:
            self.update_backlog()
            self.report_demand(now)
            self.placement_pending |= self.refusal_is_near(now)

    def report_demand(self, now: float) -> None:
        """Tell guards of new or changed demand, and of demand that has ended."""
        self.reviewed_at, self.reviewed_tasks = now, self.backlog.tasks()
        if not self.reviewed_tasks and not self.reports.reports:
            self.log_waits(now)
            return
        view = self.view_demand(now)
        waits_briefly = self.backlog.longest_wait_s(now) < UNCONTENDED_WAIT_S
        if not waits_briefly:
            self.contended_until = now + CONTENTION_LINGER_S
            self.working_set.note_shortage()
        asked = guards_to_ask(view, self.reports.reports, waits_briefly)
        factors = self.backlog.tasks_per_viewed_task()
        wanted = divide_work(
            {address: scale_to_backlog(view.at(address), factors) for address in asked}
        )
        for address, demands in self.reports.due(wanted, now).items():
            labelled(DEMANDS_SENT, "new" if demands else "withdrawn").inc()
            self.reports.record(address, demands, now)
            self.send(address, ReportDemand(demands))
        self.log_waits(now)

    def view_demand(self, now: float) -> DemandView:
        """Return the demand at the guards that accept runs, except those set apart."""
        placement = PlacementPass(
            self.candidates(now), self.zone, self.far_factor, self.speeds
        )
        candidates = (
            candidate
            for candidate in placement.candidates.values()
            if candidate.address not in self.set_apart(candidate.target_status.service)
        )
        jobs = self.backlog.viewed_jobs()
        view = DemandView(jobs, candidates, placement.median_slowness, now)
        self.median_slowness, self.guards = view.median_slowness, view.guards
        self.outlook = view.outlook
        return view

    def log_waits(self, now: float) -> None:
        """Log the end of a time during which tasks waited."""
        if self.reports.reports:
            if self.asking_since is None:
                self.asking_since = now
        elif self.asking_since is not None:
            lasted_s = now - self.asking_since
            self.asking_since = None
            if lasted_s >= MIN_LOGGED_WAIT_S:
                log_event("demand:ended", lasted_ms=round(lasted_s * 1000))

    @handles(Hello)
    def on_hello(self, message: Hello, sender: Incarnation) -> None:
        """Forget what an earlier incarnation of a guard, or its link, was told."""
        super().on_hello(message, sender)
        self.reports.forget(sender.address)

    @handles(LinkDown)
    def on_link_down(self, link: LinkDown, sender: Incarnation) -> None:
        """Forget what a guard was told: it discards the demand with the link."""
        super().on_link_down(link, sender)
        self.reports.forget(link.address)

    # Use of offers

    @handles(OfferRoom)
    def on_offer_room(self, offer: OfferRoom, sender: Incarnation) -> None:
        """Start waiting tasks in capacity that a guard has reserved, and close it."""
        now = self.clock()
        peer = self.peers.get(sender.address)
        remaining = self.reports.reported(sender.address)
        started = 0
        if peer is not None and peer.linked and peer.nonce == sender.nonce:
            peer = self.touch_peer(sender)
            if self.share_room and not self.disconnections_unread:
                self.update_backlog()
                candidate = self.offering_candidate(peer, now)
                if candidate is not None:
                    started = self.start_in_offer(candidate, offer, now)
                    self.update_backlog()
                    remaining = self.remaining_demand(peer.address, now)
                else:
                    remaining = ()
                self.reports.record(peer.address, remaining, now)
        labelled(OFFERS_ANSWERED, "used" if started else "unused").inc()
        OFFERED_STARTS.inc(started)
        self.send(sender.address, CloseOffer(offer.offer, remaining))

    def offering_candidate(self, peer: GuardPeer, now: float) -> TargetCandidate | None:
        """Return the target of a guard if tasks may start there in an offer."""
        status = peer.target_status
        if (
            not peer.accepts_runs(now, self.directives.zones_out)
            or not self.capacity_is_certain(status)
            or peer.address in self.set_apart(status.service)
        ):
            return None
        return peer.to_candidate()._replace(target_status=self.speeds.assume(status))

    def remaining_demand(self, guard: str, now: float) -> tuple[QueueDemand, ...]:
        """Return the demand at a guard after an offer of it was answered.

        Explanation
        -----------
        Load pattern: an instance answers hundreds of offers a second. The demand is the
        last reported one with the number and the wait of the tasks brought up to date,
        since a new view takes a millisecond; the next report corrects it.
        """
        tasks = self.backlog.tasks()
        return tuple(
            demand._replace(
                tasks=tasks[demand.queue],
                waited_ms=self.backlog.oldest_wait_ms(demand.queue, now),
                work_ms=bounded_count(
                    demand.work_ms * tasks[demand.queue] / max(1, demand.tasks)
                ),
            )
            for demand in self.reports.reported(guard)
            if demand.queue in tasks
        )

    def with_allowed_guards(self, demand: JobDemand) -> JobDemand:
        """Return what waits of a job, given the guards that accepted runs lately."""
        return without_vain_exclusions(demand, self.guards.get(demand.service, set()))

    def start_in_offer(
        self, candidate: TargetCandidate, offer: OfferRoom, now: float
    ) -> int:
        """Order starts of the best waiting tasks that fit; return their number.

        Explanation
        -----------
        Capacity offered to a queue is used for another one only if that is at least as
        urgent. Otherwise it is returned, because an urgent task of another entry
        instance may wait for it.
        """
        room = candidate._replace(free=offer.room.to_resources())
        placement = PlacementPass([room], self.zone, self.far_factor)
        for queue in (offer.queue, *self.substitute_queues(offer.queue)):
            self.place_queue_in_offer(queue, room, offer.max_run_ms, placement, now)
            if placement.batches:
                break
        self.send_orders(placement.batches, now, offer.offer)
        return sum(map(len, placement.batches.values()))

    def substitute_queues(self, offered: str) -> list[str]:
        """Return other queues that may use capacity offered to a queue, best first."""
        priorities = {
            queue.name: queue.priority for queue in self.directives.catalogue.queues
        }
        limit = priorities.get(offered, -1)
        return self.shares.in_order(
            queue
            for queue in self.backlog.tasks()
            if queue != offered and priorities.get(queue, limit + 1) <= limit
        )

    def place_queue_in_offer(
        self,
        queue: str,
        candidate: TargetCandidate,
        max_run_ms: int,
        placement: PlacementPass,
        now: float,
    ) -> None:
        """Place the best tasks of one queue that fit into what is left of an offer."""
        least_cpu_m = self.backlog.least_cpu_m(queue)
        for demand in self.backlog.in_order(queue)[:MAX_VIEWED_JOBS]:
            free = placement.candidates[candidate.address].free
            if free.cpu_m < least_cpu_m:
                return
            groups = startable(
                [self.with_allowed_guards(demand)],
                candidate,
                self.median_slowness,
                now,
                self.outlook,
            )
            if not any(group.step.need.fits_in(free) for _, group in groups):
                continue
            job = self.awaited_job(demand.job)
            if job is None:
                continue
            tasks = tasks_that_fit(
                job,
                self.split_suspects(job)[0],
                candidate._replace(free=free),
                self.guards.get(demand.service, set()),
                max_run_ms,
                self.far_factor,
            )
            for task in tasks:
                self.place_task(job, task, candidate, placement)
            if tasks and not job.waiting():
                labelled(WAIT_SECONDS, queue).observe(now - job.arrived)

    def awaited_job(self, key: str) -> Job | None:
        """Return an open job if a caller still waits for it; end it otherwise."""
        if key in self.jobs:
            self.end_unawaited_jobs([self.jobs[key]])
        return self.jobs.get(key)
