"""Demand of one entry instance: which waiting tasks could start at which guard.

Load pattern: jobs wait at several entry instances, and need more than the free
capacity. If each entry instance ordered starts whenever it hears of free capacity, most
of the orders would be refused. So the entry instances report what waits, and each guard
offers its free capacity to one of them.
"""

import math
from collections import Counter, defaultdict
from collections.abc import Collection, Iterable, Mapping, Sequence
from operator import attrgetter
from typing import NamedTuple

from hawthorntrack.coordination.job_progress import PLACED, Job, Task
from hawthorntrack.coordination.queueing import slowness_limit
from hawthorntrack.coordination.scheduling.outlook import (
    NO_OUTLOOK,
    TargetOutlook,
    speed_class,
)
from hawthorntrack.coordination.scheduling.shares import bounded_priority
from hawthorntrack.coordination.target_selection import (
    TargetCandidate,
    is_feasible,
    look_ahead_for,
    paths_after_s,
    room_for,
)
from hawthorntrack.protocol.run_messages import (
    MAX_DEMANDS,
    MAX_QUEUE_NAME_LENGTH,
    MAX_SAFE_INTEGER,
    BoundedResources,
    QueueDemand,
)
from hawthorntrack.state.plans import StepSpec

# A guard offers to one entry instance after the other, so with twice as many guards as
# tasks, a task also finds capacity where half of them serve others first.
GUARDS_PER_TASK = 2
# A single task that asked one or two guards would wait for the runs of these to end.
MIN_GUARDS_TO_ASK = 4
# At most 50 reports a second to one guard; a change is reported within a tick.
MIN_REPORT_INTERVAL_S = 0.02
# A report is valid for 0.5 s at the guard, so one may be lost.
REPORT_REPETITION_S = 0.25
# A guard chooses among the oldest jobs of entry instances. It is told that the oldest
# job changed once its order would be wrong by more than half of the shortest waiting
# limit in use (0.1 s, of jobs of 0.12 s).
WAIT_TOLERANCE_MS = 50
# Offers cover at most 4 tasks and each is followed by a new report, so the exact number
# of more tasks than these does not matter to the guard.
TASKS_CHANGE_FACTOR = 2
# The best jobs of each queue are viewed one by one. They have more tasks than guards
# offer capacity for until the next report; the others count by their number.
MAX_VIEWED_JOBS = 16
# Needs vary by 20% among the tasks of one kind; smaller changes are no news.
NEED_CHANGE_FACTOR = 1.25


class TaskGroup(NamedTuple):
    """Waiting tasks of one step of a job that may start at the same guards.

    Attributes
    ----------
    excluded : frozenset of str
        Guards that must not get them now: where they failed, or where the step's limit
        per target is reached.
    path_after_s : float
        Declared run time along the longest chain of steps after the step, in seconds.
    full : frozenset of str
        Those of the excluded guards where the limit is reached.
    """

    step: StepSpec
    count: int
    excluded: frozenset[str]
    path_after_s: float = 0.0
    full: frozenset[str] = frozenset()


class JobDemand(NamedTuple):
    """What waits of one job.

    Attributes
    ----------
    rank : tuple
        Sort key of the job within its queue; the lowest is placed first.
    max_wait_s : float
        Longest time that it may wait for its first task, in seconds; 0 once it has
        begun. It avoids slow targets during the first part of this time.
    groups : tuple of TaskGroup
        Its waiting tasks, without those that must run in isolation.
    answer_by : float
        End of its objective, in seconds.
    """

    job: str
    queue: str
    service: str
    priority: int
    rank: tuple
    arrived: float
    max_wait_s: float
    groups: tuple[TaskGroup, ...]
    answer_by: float = math.inf

    def max_slowness(self, median_slowness: float, now: float) -> float:
        """Return the slowness up to which a target may get one of the tasks now."""
        return slowness_limit(median_slowness, now - self.arrived, self.max_wait_s)

    def should_use(
        self, slowness: float, group: TaskGroup, outlook: TargetOutlook, now: float
    ) -> bool:
        """Return whether tasks should use a target rather than wait for another."""
        look_ahead = look_ahead_for(
            self.queue,
            not self.max_wait_s,
            self.arrived + self.max_wait_s - now,
            self.answer_by - now,
            group.path_after_s,
        )
        return outlook.is_worth_using(
            self.service, slowness, group.step, group.excluded, look_ahead
        )


def full_targets(job: Job, tasks: Iterable[Task]) -> dict[int, frozenset[str]]:
    """Return, for the steps of waiting tasks, the guards that have their limit."""
    limits = {
        task.name.step: task.step.per_target for task in tasks if task.step.per_target
    }
    if not limits:
        return {}
    placed = Counter(
        (task.name.step, task.guard)
        for task in job.tasks.values()
        if task.phase == PLACED
    )
    return {
        step: frozenset(
            guard
            for (of_step, guard), count in placed.items()
            if of_step == step and count >= limit
        )
        for step, limit in limits.items()
    }


def job_demand(job: Job, tasks: Sequence[Task], rank: tuple) -> JobDemand:
    """Return what waits of a job, given its tasks that may be placed as usual."""
    full = full_targets(job, tasks)
    after_s = paths_after_s(job.plan.steps)
    groups = Counter(
        (
            task.step,
            task.avoid,
            full.get(task.name.step, frozenset()),
            after_s[task.name.step],
        )
        for task in tasks
    )
    return JobDemand(
        job.plan.key,
        job.queue.name,
        job.queue.service,
        job.queue.priority,
        rank,
        job.arrived,
        0.0 if job.begun else job.placement_deadline_at - job.arrived,
        tuple(
            TaskGroup(step, count, avoid | full_guards, path_after_s, full_guards)
            for (step, avoid, full_guards, path_after_s), count in groups.items()
        ),
        job.arrived + job.objective,
    )


class Backlog:
    """The jobs with waiting tasks, by queue in the order in which they are placed.

    Explanation
    -----------
    Under overload hundreds of jobs wait, and an offer is handled hundreds of times a
    second. Each queue is therefore sorted again only after one of its jobs changed.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JobDemand] = {}
        self.since: dict[str, float] = {}
        self.ordered: dict[str, list[JobDemand]] = {}
        self.counts: Counter[str] = Counter()

    def put(self, demand: JobDemand, now: float) -> None:
        """Add a job, or replace what is known of it."""
        since = self.since.get(demand.job, now)
        self.discard(demand.job)
        self.since[demand.job] = since
        self.jobs[demand.job] = demand
        self.ordered.pop(demand.queue, None)
        self.counts[demand.queue] += sum(group.count for group in demand.groups)

    def discard(self, job: str) -> None:
        """Remove a job, if it is there."""
        demand = self.jobs.pop(job, None)
        self.since.pop(job, None)
        if demand is not None:
            self.ordered.pop(demand.queue, None)
            self.counts[demand.queue] -= sum(group.count for group in demand.groups)

    def longest_wait_s(self, now: float) -> float:
        """Return the longest time for which a job has been in the backlog."""
        return now - min(self.since.values(), default=now)

    def tasks(self) -> dict[str, int]:
        """Return the number of waiting tasks of each queue that has any."""
        return {queue: count for queue, count in self.counts.items() if count}

    def in_order(self, queue: str) -> list[JobDemand]:
        """Return the jobs of a queue, best first."""
        if queue not in self.ordered:
            self.ordered[queue] = sorted(
                (demand for demand in self.jobs.values() if demand.queue == queue),
                key=attrgetter("rank"),
            )
        return self.ordered[queue]

    def viewed_jobs(self) -> list[JobDemand]:
        """Return the best jobs of each queue, which stand for all of them."""
        return [
            demand
            for queue in self.tasks()
            for demand in self.in_order(queue)[:MAX_VIEWED_JOBS]
        ]

    def tasks_per_viewed_task(self) -> dict[str, float]:
        """Return, for each queue, its waiting tasks for each task of a viewed job."""
        return {
            queue: count
            / sum(
                group.count
                for demand in self.in_order(queue)[:MAX_VIEWED_JOBS]
                for group in demand.groups
            )
            for queue, count in self.tasks().items()
        }

    def oldest_wait_ms(self, queue: str, now: float) -> int:
        """Return how long the oldest viewed job of a queue has waited, in ms."""
        jobs = self.in_order(queue)[:MAX_VIEWED_JOBS]
        oldest = min((demand.arrived for demand in jobs), default=now)
        return bounded_count((now - oldest) * 1000)

    def least_cpu_m(self, queue: str) -> int:
        """Return the smallest processor need in a queue; 0 if it is empty."""
        return min(
            (
                group.step.need.cpu_m
                for demand in self.in_order(queue)[:MAX_VIEWED_JOBS]
                for group in demand.groups
            ),
            default=0,
        )


def startable(
    jobs: Iterable[JobDemand],
    candidate: TargetCandidate,
    median_slowness: float,
    now: float,
    outlook: TargetOutlook = NO_OUTLOOK,
) -> list[tuple[JobDemand, TaskGroup]]:
    """Return the waiting tasks that should start at a target once it has room."""
    status = candidate.target_status
    return [
        (demand, group)
        for demand in jobs
        if demand.service == status.service
        and status.slowness <= demand.max_slowness(median_slowness, now)
        for group in demand.groups
        if candidate.address not in group.excluded
        and is_feasible(status, group.step)
        and demand.should_use(status.slowness, group, outlook, now)
    ]


def demands_for(
    jobs: Iterable[JobDemand],
    candidate: TargetCandidate,
    median_slowness: float,
    now: float,
    outlook: TargetOutlook = NO_OUTLOOK,
) -> tuple[QueueDemand, ...]:
    """Return the demand of each queue at one guard, the most urgent queues first.

    Explanation
    -----------
    `work_ms` is that of all tasks; `divide_work` divides it among the guards.
    """
    by_queue: dict[str, list[tuple[JobDemand, TaskGroup]]] = defaultdict(list)
    for demand, group in startable(jobs, candidate, median_slowness, now, outlook):
        by_queue[demand.queue].append((demand, group))
    demands = [
        queue_demand(queue, waiting, now)
        for queue, waiting in by_queue.items()
        if len(queue) <= MAX_QUEUE_NAME_LENGTH
    ]
    demands.sort(key=attrgetter("priority", "queue"))
    return tuple(demands[:MAX_DEMANDS])


def queue_demand(
    queue: str, waiting: Sequence[tuple[JobDemand, TaskGroup]], now: float
) -> QueueDemand:
    """Return the demand of one queue, given its waiting tasks."""
    oldest, first = min(waiting, key=lambda item: item[0].arrived)
    needs = [group.step.need for _, group in waiting]
    estimates_s = [group.step.estimate_s for _, group in waiting]
    work_ms = sum(
        group.count * group.step.need.cpu_m * group.step.estimate_s
        for _, group in waiting
    )
    return QueueDemand(
        queue,
        bounded_priority(oldest.priority),
        bounded_count((now - oldest.arrived) * 1000),
        sum(group.count for _, group in waiting),
        BoundedResources(*map(min, zip(*needs, strict=True))),
        BoundedResources(*first.step.need),
        bounded_count(first.step.estimate_s * 1000),
        bounded_count(min(estimates_s) * 1000),
        bounded_count(work_ms),
    )


def bounded_count(amount: float) -> int:
    """Round an amount to a count that a message may carry.

    Explanation
    -----------
    Declared run times are the callers' and may be absurd. A number out of bounds would
    make guards drop the whole report.

    Examples
    --------
    >>> bounded_count(1.6), bounded_count(-3.0), bounded_count(1e30) == MAX_SAFE_INTEGER
    (2, 0, True)
    """
    return round(min(max(amount, 0.0), MAX_SAFE_INTEGER))


def scale_to_backlog(
    demands: Iterable[QueueDemand], factors: Mapping[str, float]
) -> tuple[QueueDemand, ...]:
    """Scale the demand of the viewed jobs to that of all jobs of their queues."""
    return tuple(
        demand._replace(
            tasks=bounded_count(demand.tasks * factors[demand.queue]),
            work_ms=bounded_count(demand.work_ms * factors[demand.queue]),
        )
        for demand in demands
    )


def divide_work(
    demands: Mapping[str, tuple[QueueDemand, ...]],
) -> dict[str, tuple[QueueDemand, ...]]:
    """Divide the work of each queue by the number of guards to which it is reported."""
    guards = Counter(demand.queue for at in demands.values() for demand in at)
    return {
        guard: tuple(
            demand._replace(work_ms=round(demand.work_ms / guards[demand.queue]))
            for demand in at
        )
        for guard, at in demands.items()
    }


class DemandView:
    """The demand at each of the targets that accept runs, at one time.

    Explanation
    -----------
    Most targets can run the same tasks. They are treated as one kind if they agree in
    all that matters to the waiting tasks, so that the cost of a view grows with the
    number of kinds and not with the number of guards.

    Parameters
    ----------
    jobs : iterable of JobDemand
        What waits.
    candidates : iterable of TargetCandidate
        The targets that accept runs.
    median_slowness : float
        Median slowness of these targets.
    now : float
        Current time in seconds.

    Attributes
    ----------
    guards : dict of str to set of str
        The guards of these targets, by service.
    outlook : TargetOutlook
        Expected waits for these targets, by their speed.
    """

    def __init__(
        self,
        jobs: Iterable[JobDemand],
        candidates: Iterable[TargetCandidate],
        median_slowness: float,
        now: float,
    ) -> None:
        self.candidates = {candidate.address: candidate for candidate in candidates}
        self.median_slowness = median_slowness
        self.now = now
        self.outlook = TargetOutlook(self.candidates.values())
        self.guards: dict[str, set[str]] = defaultdict(set)
        for address, candidate in self.candidates.items():
            self.guards[candidate.target_status.service].add(address)
        self.jobs = [
            without_vain_exclusions(job, self.guards[job.service]) for job in jobs
        ]
        groups = [group for demand in self.jobs for group in demand.groups]
        self.labels = {group.step.label for group in groups}
        self.excluded = frozenset().union(*(group.excluded for group in groups))
        self.slow_above = slowness_limit(median_slowness, 0.0, 1.0)
        self.by_kind: dict[tuple, tuple[QueueDemand, ...]] = {}

    def kind_of(self, candidate: TargetCandidate) -> tuple:
        """Return a value that is equal for targets with the same demand."""
        status = candidate.target_status
        return (
            status.service,
            status.capacity,
            status.slowness > self.slow_above,
            speed_class(status.slowness),
            frozenset(self.labels.intersection(status.labels)),
            candidate.address if candidate.address in self.excluded else "",
        )

    def at(self, address: str) -> tuple[QueueDemand, ...]:
        """Return the demand at a guard, its work not divided."""
        candidate = self.candidates[address]
        kind = self.kind_of(candidate)
        if kind not in self.by_kind:
            self.by_kind[kind] = demands_for(
                self.jobs, candidate, self.median_slowness, self.now, self.outlook
            )
        return self.by_kind[kind]

    def preference(self, address: str) -> tuple:
        """Return the sort key of a guard among those that could be asked.

        Explanation
        -----------
        Of guards with free capacity, those with faster targets come first.
        """
        candidate = self.candidates[address]
        has_room = self.has_room(address)
        return (
            not has_room,
            longest_wait_ms(candidate),
            speed_class(candidate.target_status.slowness) if has_room else 0,
            -candidate.free.cpu_m,
        )

    def has_room(self, address: str) -> bool:
        """Return whether a guard reports free capacity for the smallest task."""
        free = self.candidates[address].free
        return any(
            demand.smallest.to_resources().fits_in(free) for demand in self.at(address)
        )

    def sufficient(self, guards: Sequence[str], tasks: int) -> int:
        """Return how many of the guards, at least four, have capacity for tasks."""
        for number, address in enumerate(guards):
            if number >= MIN_GUARDS_TO_ASK and tasks <= 0:
                return number
            tasks -= self.room_at(address)
        return len(guards)

    def room_at(self, address: str) -> int:
        """Return how many tasks of the oldest job fit into a guard's free capacity."""
        candidate = self.candidates[address]
        needs = [demand.first.to_resources() for demand in self.at(address)]
        return max((room_for(candidate, need) for need in needs), default=0)

    def groups(self) -> dict[tuple[str, ...], int]:
        """Return the number of tasks by the guards at which they could start."""
        kinds: dict[tuple, list[TargetCandidate]] = defaultdict(list)
        for candidate in self.candidates.values():
            kinds[self.kind_of(candidate)].append(candidate)
        reach: dict[tuple[str, int], list[tuple]] = defaultdict(list)
        counts: dict[tuple[str, int], int] = {}
        for kind, (first, *_) in kinds.items():
            for demand, group in startable(
                self.jobs, first, self.median_slowness, self.now, self.outlook
            ):
                tasks = (demand.job, id(group))
                reach[tasks].append(kind)
                counts[tasks] = group.count
        by_kinds: Counter[tuple] = Counter()
        for tasks, of_kinds in reach.items():
            by_kinds[tuple(of_kinds)] += counts[tasks]
        return {
            tuple(
                candidate.address for kind in of_kinds for candidate in kinds[kind]
            ): n
            for of_kinds, n in by_kinds.items()
        }


def without_vain_exclusions(demand: JobDemand, guards: set[str]) -> JobDemand:
    """Return what waits of a job; tasks excluded by all guards may start at any.

    Explanation
    -----------
    A task that failed everywhere is tried again where it failed, as without offers.
    """
    if not guards or not any(group.excluded >= guards for group in demand.groups):
        return demand
    return demand._replace(
        groups=tuple(
            group._replace(excluded=group.full) if group.excluded >= guards else group
            for group in demand.groups
        )
    )


def guards_to_ask(
    view: DemandView, asked: Iterable[str], waits_briefly: bool
) -> list[str]:
    """Return the guards to which demand is reported.

    Explanation
    -----------
    For each set of tasks that could start at the same guards, these are twice as many
    guards as tasks, at least four. Guards that were asked before are kept, so that the
    places of the tasks in the guards' orders are not lost. The others are chosen by the
    shortest reported wait, then by speed and free capacity. While tasks wait at guards
    without free capacity, guards that report some are asked as well.

    Parameters
    ----------
    view : DemandView
        What waits, and the targets that accept runs.
    asked : iterable of str
        Guards to which demand is reported at present.
    waits_briefly : bool
        Whether the tasks began to wait just now. They then ask no more guards than have
        twice the capacity for them by their reports, so that slow targets do not get
        tasks while fast ones have free capacity.
    """
    kept = {address for address in asked if address in view.candidates}
    chosen: dict[str, None] = dict.fromkeys(kept)
    for guards, tasks in view.groups().items():
        number = max(MIN_GUARDS_TO_ASK, GUARDS_PER_TASK * tasks)
        missing = max(0, number - sum(address in kept for address in guards))
        others = sorted(
            (address for address in guards if address not in kept), key=view.preference
        )
        wanted = others[:missing]
        if waits_briefly:
            wanted = wanted[: view.sufficient(wanted, GUARDS_PER_TASK * tasks)]
        else:
            wanted += [
                address for address in others[missing:number] if view.has_room(address)
            ]
        chosen.update(dict.fromkeys(wanted))
    return list(chosen)


def longest_wait_ms(candidate: TargetCandidate) -> int:
    """Return the longest wait that a guard reports for any queue."""
    waits = candidate.target_status.queue_waits
    return max((wait.wait_ms for wait in waits), default=0)


class Report(NamedTuple):
    """The demand that a guard was told last, and the time of the message."""

    demands: tuple[QueueDemand, ...]
    at: float


def queues_of(demands: Iterable[QueueDemand]) -> set[str]:
    """Return the names of the queues that have demand."""
    return {demand.queue for demand in demands}


def changed(previous: QueueDemand, current: QueueDemand, elapsed_s: float) -> bool:
    """Return whether a guard that knows the previous demand needs the current one."""
    known_wait_ms = previous.waited_ms + elapsed_s * 1000
    few, many = sorted((previous.tasks, current.tasks))
    needs = (
        (previous.smallest, current.smallest),
        (previous.first, current.first),
    )
    less, more = sorted((previous.work_ms, current.work_ms))
    return (
        many >= few * TASKS_CHANGE_FACTOR
        or more >= less * TASKS_CHANGE_FACTOR
        or abs(current.waited_ms - known_wait_ms) > WAIT_TOLERANCE_MS
        or any(
            max(amounts) > NEED_CHANGE_FACTOR * min(amounts)
            for pair in needs
            for amounts in zip(*pair, strict=True)
        )
    )


class DemandReports:
    """What was last reported to which guard, and which reports are due.

    Attributes
    ----------
    reports : dict of str to Report
        The newest report to each guard that has demand of this instance.
    """

    def __init__(self) -> None:
        self.reports: dict[str, Report] = {}

    def reported(self, guard: str) -> tuple[QueueDemand, ...]:
        """Return the demand that a guard was told last."""
        report = self.reports.get(guard)
        return report.demands if report else ()

    def record(self, guard: str, demands: tuple[QueueDemand, ...], now: float) -> None:
        """Record that a guard was told of demand, also with another message."""
        if demands:
            self.reports[guard] = Report(demands, now)
        else:
            self.reports.pop(guard, None)

    def forget(self, guard: str) -> None:
        """Forget a guard that keeps no demand of this instance any more."""
        self.reports.pop(guard, None)

    def due(
        self, wanted: Mapping[str, tuple[QueueDemand, ...]], now: float
    ) -> dict[str, tuple[QueueDemand, ...]]:
        """Return the reports to send now, by guard; an empty one withdraws demand.

        Parameters
        ----------
        wanted : mapping of str to tuple of QueueDemand
            The demand at each guard that is to have it.
        now : float
            Current time in seconds.
        """
        due = {guard: () for guard in self.reports if not wanted.get(guard)}
        for guard, demands in wanted.items():
            if demands and self.is_due(guard, demands, now):
                due[guard] = demands
        return due

    def is_due(self, guard: str, demands: tuple[QueueDemand, ...], now: float) -> bool:
        """Return whether a guard is to be told of its demand now."""
        report = self.reports.get(guard)
        if report is None or queues_of(report.demands) != queues_of(demands):
            return True
        elapsed_s = now - report.at
        if elapsed_s >= REPORT_REPETITION_S:
            return True
        return elapsed_s >= MIN_REPORT_INTERVAL_S and any(
            changed(previous, current, elapsed_s)
            for previous, current in zip(report.demands, demands, strict=True)
        )


def is_twice_as_large(tasks: Mapping[str, int], before: Mapping[str, int]) -> bool:
    """Return whether the number of waiting tasks of a queue at least doubled."""
    return any(
        count >= TASKS_CHANGE_FACTOR * before.get(queue, 0)
        for queue, count in tasks.items()
    )


def tasks_that_fit(
    job: Job,
    tasks: Iterable[Task],
    candidate: TargetCandidate,
    guards: set[str],
    max_run_ms: int,
    far_factor: float,
) -> list[Task]:
    """Return the waiting tasks of one job that an offer has room for.

    Explanation
    -----------
    Tasks whose data is in the target's rack come first; the others take longer there.

    Parameters
    ----------
    tasks : iterable of Task
        The waiting tasks.
    candidate : TargetCandidate
        The target, with the offered capacity as its free capacity.
    guards : set of str
        The guards that accept runs of the job's service.
    max_run_ms : int
        Longest declared run time of a task that may use it, in milliseconds; 0 for no
        limit.
    far_factor : float
        Factor on a task's run time outside the rack of its data.
    """
    status, free = candidate.target_status, candidate.free
    labels = status.labels
    here = Counter(
        task.name.step
        for task in job.tasks.values()
        if task.phase == PLACED and task.guard == candidate.address
    )
    fitting = []
    for task in sorted(tasks, key=lambda task: is_far(task.step, labels)):
        step = task.step
        run_ms = step.estimate_s * 1000 * (far_factor if is_far(step, labels) else 1.0)
        if (
            step.need.fits_in(free)
            and is_feasible(status, step)
            and (candidate.address not in task.avoid or task.avoid >= guards)
            and not (max_run_ms and run_ms > max_run_ms)
            and not (step.per_target and here[task.name.step] >= step.per_target)
        ):
            fitting.append(task)
            here[task.name.step] += 1
            free = free.minus(step.need)
    return fitting


def is_far(step: StepSpec, labels: Collection[str]) -> bool:
    """Return whether a target with these labels is outside the rack of the data."""
    return bool(step.rack) and step.rack not in labels
