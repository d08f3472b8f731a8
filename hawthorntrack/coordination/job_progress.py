"""Progress of a job through its steps, as its dispatcher tracks it."""

import asyncio

from hawthorntrack.coordination.queueing import max_wait_s, objective_s
from hawthorntrack.state.catalogue import Queue
from hawthorntrack.state.plans import JobPlan, RunName, StepSpec, TaskName

# Phases of a task.
# Not all steps that the task depends on are done.
BLOCKED = "blocked"
# The task may start and waits to be placed at a guard.
WAITING = "waiting"
PLACED = "placed"
DONE = "done"


class Task:
    """One task of a job at its dispatcher.

    Attributes
    ----------
    number : int
        The lowest number that its next run may have.
    guard : str
        Address of the guard where it is placed; empty otherwise.
    guard_nonce : str
        Nonce of the guard's incarnation to which the run was sent, or which was last
        asked about it.
    guard_clock_ms : int
        Timestamp of the order that placed it there, in milliseconds of the guard's
        clock.
    target : str
        Target that the guard reported when the task was placed there.
    avoid : frozenset of str
        Guards where it failed.
    """

    __slots__ = (
        "avoid",
        "failures",
        "guard",
        "guard_clock_ms",
        "guard_nonce",
        "name",
        "number",
        "phase",
        "step",
        "target",
    )

    def __init__(self, name: TaskName, step: StepSpec) -> None:
        self.name = name
        self.step = step
        self.phase = BLOCKED
        self.number = 1
        self.failures = 0
        self.guard = ""
        self.guard_nonce = ""
        self.guard_clock_ms = 0
        self.target = ""
        self.avoid: frozenset[str] = frozenset()

    @property
    def run(self) -> RunName:
        """Return the name of the run that is ordered next, or was ordered last."""
        return RunName(self.name, self.number)


def critical_path_length_s(steps: tuple[StepSpec, ...]) -> float:
    """Return the total declared run time of the longest chain of steps, in seconds.

    Examples
    --------
    >>> from hawthorntrack.state.resources import NO_RESOURCES
    >>> steps = (StepSpec(2, NO_RESOURCES, 0.4), StepSpec(1, NO_RESOURCES, 0.2, (0,)))
    >>> round(critical_path_length_s(steps), 3)
    0.6
    """
    finish_times_s: list[float] = []
    for step in steps:
        start_s = max(
            (finish_times_s[number] for number in step.depends_on), default=0.0
        )
        finish_times_s.append(start_s + step.estimate_s)
    return max(finish_times_s, default=0.0)


class Job:
    """A job whose caller waits for the result.

    Attributes
    ----------
    replies : list of Future
        One for each submission that waits for the result.
    arrived : float
        Time at which its first submission arrived at the machine, in seconds.
    critical_path_s : float
        Declared run time along its longest chain of steps, in seconds.
    placement_deadline_at : float
        Time at which it is refused if none of its tasks has been placed.
    deadline_at : float
        Time at which its caller stops waiting.
    begun : bool
        Whether one of its tasks has been placed.
    process_suspended : bool
        Whether this process was suspended while the job was open. The caller may have
        sent the job elsewhere meanwhile, so no further task of it is started.
    unfinished_counts : list of int
        For each step, the number of its tasks that are not done.
    """

    def __init__(
        self,
        plan: JobPlan,
        queue: Queue,
        reply: asyncio.Future,
        arrived: float,
        deadline_s: float,
    ) -> None:
        self.plan = plan
        self.queue = queue
        self.replies = [reply]
        self.arrived = arrived
        self.critical_path_s = critical_path_length_s(plan.steps)
        self.objective = objective_s(
            self.critical_path_s, queue.stretch, queue.latency_target_s
        )
        self.placement_deadline_at = arrived + max_wait_s(self.objective)
        self.deadline_at = arrived + deadline_s
        self.begun = False
        self.process_suspended = False
        self.tasks = {
            name: Task(name, step)
            for number, step in enumerate(plan.steps)
            for name in (
                TaskName(plan.key, 0, number, index) for index in range(step.count)
            )
        }
        self.unfinished_counts = [step.count for step in plan.steps]
        self.unblock_ready_tasks()

    def unblock_ready_tasks(self) -> None:
        """Move tasks whose prerequisite steps are done from blocked to waiting."""
        unblocked_steps = {
            number
            for number, step in enumerate(self.plan.steps)
            if not any(
                self.unfinished_counts[predecessor] for predecessor in step.depends_on
            )
        }
        for task in self.tasks.values():
            if task.phase == BLOCKED and task.name.step in unblocked_steps:
                task.phase = WAITING

    def raise_run_numbers(self, used: int) -> None:
        """Number runs above `used`, the highest number in an earlier submission."""
        for task in self.tasks.values():
            task.number = used + 1

    def waiting(self) -> list[Task]:
        """Return the tasks that wait to be placed at a guard."""
        return [task for task in self.tasks.values() if task.phase == WAITING]

    def complete_task(self, task: Task) -> None:
        """Mark a task as done, and unblock the steps that waited for its step."""
        task.phase, task.guard = DONE, ""
        self.unfinished_counts[task.name.step] -= 1
        if not self.unfinished_counts[task.name.step]:
            self.unblock_ready_tasks()

    @property
    def callers_left(self) -> bool:
        """Return whether no caller waits for the result any more."""
        return all(reply.done() for reply in self.replies)

    @property
    def complete(self) -> bool:
        """Return whether all tasks are done."""
        return not any(self.unfinished_counts)
