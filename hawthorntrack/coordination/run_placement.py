"""Base of the dispatcher: places its waiting tasks on guards."""

import math
from collections import defaultdict
from collections.abc import Callable, Iterable
from typing import Any

from hawthorntrack.coordination.guard_peer import GuardPeer
from hawthorntrack.coordination.job_progress import PLACED, Job, Task
from hawthorntrack.coordination.queue_ordering import (
    DEFAULT_ORDER,
    WaitingJob,
    queue_orders,
)
from hawthorntrack.coordination.queueing import (
    FairShares,
    slowness_limit,
)
from hawthorntrack.coordination.run_tracking import RunTracking
from hawthorntrack.coordination.scheduling.placement_pass import PlacementPass
from hawthorntrack.coordination.scheduling.shares import WeightedShares
from hawthorntrack.coordination.target_selection import LookAhead, TargetCandidate
from hawthorntrack.coordination.working_set import WorkingSet
from hawthorntrack.protocol.run_messages import RunOrder, StartRuns, TargetStatus
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.lease_times import LeaseTimes
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.metrics import WAIT_SECONDS, labelled


class RunPlacement(RunTracking):
    """Keeps the jobs with waiting tasks, and places these in the order of the policy.

    Parameters
    ----------
    zone : str
        Zone of this instance.
    far_factor : float
        Factor on a task's run time on a target outside the rack of its data.
    send, links, clock, lease_times, working_set
        As for `GuardLinks`.
    share_room : bool
        Whether guards share their capacity among the queues of all entry instances, by
        priority.

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
        share_room: bool,
    ) -> None:
        super().__init__(send, links, clock, lease_times, working_set)
        self.share_room = share_room
        self.zone = zone
        self.far_factor = far_factor
        self.waiting_jobs: dict[str, Job] = {}
        self.least_waiting_cpu_m: float = 0
        self.quarantined: dict[str, frozenset[str]] = {}
        self.shares = WeightedShares() if share_room else FairShares()
        self.queue_order = queue_orders[DEFAULT_ORDER]
        self.mean_critical_path_s: dict[str, float] = {}
        self.placement_pending = False

    def new_pass(self, candidates: Iterable[TargetCandidate]) -> PlacementPass:
        """Return a placement pass over targets."""
        return PlacementPass(candidates, self.zone, self.far_factor)

    def placement_order(self, tasks: list[Task]) -> list[Task]:
        """Return tasks of one job in the order in which they are placed."""
        return tasks

    def look_ahead(self, job: Job, task: Task, now: float) -> LookAhead | None:
        """Return how long a task may wait for a better target than the free ones."""
        return None

    def note_awaited_target(self, job: Job, task: Task) -> None:
        """Record that a task waits although a target has room for it."""
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

    def place_if_due(self, now: float) -> None:
        """Place waiting tasks once it is useful and the mailbox is empty."""
        if self.placement_is_due(now):
            self.placement_pending = False
            self.place_waiting()

    def placement_is_due(self, now: float) -> bool:
        """Return whether waiting tasks are to be placed now."""
        return (
            self.placement_pending
            and not self.disconnections_unread
            and self.mailbox.queue.empty()
        )

    def place_waiting(self) -> None:
        """Place waiting tasks in the order that the current policy gives."""
        self.end_unawaited_jobs(self.waiting_jobs.values())
        self.prune_waiting_jobs()
        self.least_waiting_cpu_m = 0
        queues: dict[str, list[Job]] = defaultdict(list)
        now = self.clock()
        self.update_quarantine(now)
        for job in self.placeable_jobs(now):
            queues[job.queue.name if self.queue_order.fair_shares else ""].append(job)
        candidates = self.candidates(now) if queues else []
        if not candidates:
            self.request_capacity_updates(bool(queues))
            return
        placement = self.new_pass(candidates)
        self.shares.advance_virtual_time(queues)
        for jobs in queues.values():
            jobs.sort(key=lambda job: self.queue_order.key(self.waiting_job(job)))
        heads = {name: iter(jobs) for name, jobs in queues.items()}
        while heads:
            name = self.shares.lowest(heads)
            job = next(heads[name], None)
            if job is None:
                del heads[name]
            elif not self.place_job(job, placement, now):
                if not self.queue_order.backfill:
                    del heads[name]
        self.send_orders(placement.batches, now)
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

    def placeable_jobs(self, now: float) -> list[Job]:
        """Return the waiting jobs whose tasks may be placed."""
        return [job for job in self.waiting_jobs.values() if not job.process_suspended]

    def candidates(self, now: float) -> list[TargetCandidate]:
        """Return the targets that accept runs and whose capacity is certain."""
        return [
            peer.to_candidate()
            for peer in self.available_peers(now)
            if self.capacity_is_certain(peer.target_status)
        ]

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
        self,
        batches: dict[tuple[str, str], list[RunOrder]],
        now: float,
        offer: int = 0,
    ) -> None:
        """Send the orders of one placement, by job and guard.

        Explanation
        -----------
        An order extends the leases of all runs of this instance at the guard, so the
        unwanted ones are stopped first.

        Parameters
        ----------
        offer : int
            Number of the guard's offer that the runs use; 0 for none.
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
                guard_clock_ms,
                job.plan.payload,
                remaining_ms,
                tuple(orders),
                job.queue.name if self.share_room else "",
                offer,
                round(self.directives_age_s() * 1000),
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

    def place_job(self, job: Job, placement: PlacementPass, now: float) -> bool:
        """Place a job's waiting tasks; return whether there was capacity for all.

        Explanation
        -----------
        Suspects that wait for one of the few targets that are set apart do not count,
        so that they hold up no other job of their queue.
        """
        unsuspected, suspects = self.split_suspects(job)
        set_apart = self.set_apart(job.queue.service)
        self.place_suspects(job, suspects, placement)
        max_slowness = self.max_slowness(job, placement.median_slowness, now)
        awaiting: set[int] = set()
        for task in self.placement_order(unsuspected):
            if task.name.step in awaiting:
                continue
            wanted = task.step, job.queue.service, set_apart, task.avoid, max_slowness
            look_ahead = self.look_ahead(job, task, now)
            candidate = placement.choose(*wanted, look_ahead)
            if candidate is None:
                if look_ahead is None or placement.choose(*wanted) is None:
                    return False
                self.note_awaited_target(job, task)
                awaiting.add(task.name.step)
                continue
            self.place_task(job, task, candidate, placement)
        if not awaiting:
            labelled(WAIT_SECONDS, job.queue.name).observe(now - job.arrived)
        return True

    def max_slowness(self, job: Job, median_slowness: float, now: float) -> float:
        """Return the slowness up to which a target may get a task of a job now."""
        waited_s = math.inf if job.begun else now - job.arrived
        max_wait_s = job.placement_deadline_at - job.arrived
        return slowness_limit(median_slowness, waited_s, max_wait_s)

    def place_suspects(
        self, job: Job, suspects: list[Task], placement: PlacementPass
    ) -> None:
        """Place the suspects of a job on the targets that are set apart for them.

        Explanation
        -----------
        Once they have one of these targets, no other job gets it before they have
        ended.
        """
        used = set()
        for task in suspects:
            candidate = placement.choose_apart(
                task.step, self.set_apart(job.queue.service)
            )
            if candidate is None:
                break
            self.place_task(job, task, candidate, placement, isolated=True)
            used.add(candidate.address)
        for address in used:
            placement.use_up(address)

    def place_task(
        self,
        job: Job,
        task: Task,
        candidate: TargetCandidate,
        placement: PlacementPass,
        isolated: bool = False,
    ) -> None:
        """Add the order of a run to the pass, and record the placement."""
        peer = self.peers[candidate.address]
        self.record_placement(job, task, peer)
        if isolated:
            # Until its guard has reported that the job has the target for itself.
            peer.unreported[task.run] = candidate.target_status.capacity
        estimate_ms = round(task.step.estimate_s * 1000)
        order = RunOrder(task.run, task.step.need, estimate_ms, isolated)
        placement.add_order(job.plan.key, candidate.address, order)

    def record_placement(self, job: Job, task: Task, peer: GuardPeer) -> None:
        """Record that a task is sent to a guard, and charge its queue."""
        task.phase, task.guard, task.guard_nonce = PLACED, peer.address, peer.nonce
        task.guard_clock_ms = peer.guard_clock_ms
        task.target = peer.target_status.target
        job.begun = True
        peer.runs[task.name] = task.run
        peer.unreported[task.run] = task.step.need
        cores, run_s = task.step.need.cpu_m / 1000, task.step.estimate_s
        if self.share_room:
            # No run lasts longer than its caller waits, whatever run time is declared.
            run_s = min(run_s, job.deadline_at - job.arrived)
            self.shares.charge(job.queue.name, job.queue.priority, cores * run_s)
        else:
            self.shares.charge(job.queue.name, cores * run_s)
