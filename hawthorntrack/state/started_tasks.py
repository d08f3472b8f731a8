"""A guard's records of tasks that it started or must never start."""

from collections import OrderedDict
from typing import NamedTuple

from hawthorntrack.state.values import Incarnation, TaskResult

TaskKey = tuple[str, str, int]  # service, job key, index of the task


class StartedTask(NamedTuple):
    """A task that this guard started.

    Attributes
    ----------
    owner : Incarnation
        The owner that receives the result.
    job : str
        The owner's name for the job.
    started_at : float
        Loop time of the start, in seconds.
    result : TaskResult or None
        The task's result; None while the task runs.
    """

    owner: Incarnation
    job: str
    started_at: float
    result: TaskResult | None = None


class StartRecords:
    """Records started tasks and forbidden attempts, so that no start is repeated.

    Examples
    --------
    >>> records = StartRecords()
    >>> name = ("visits", "k", 0)
    >>> records.forbid_attempt(name, attempt=1, now=0.0)
    >>> records.is_attempt_forbidden(name, 1), records.is_attempt_forbidden(name, 2)
    (True, False)
    """

    def __init__(self) -> None:
        self.started: OrderedDict[TaskKey, StartedTask] = OrderedDict()
        self.forbidden_attempts: OrderedDict[TaskKey, tuple[int, float]] = OrderedDict()

    def find(self, name: TaskKey) -> StartedTask | None:
        """Return the record of a started task, or None if it was not started here."""
        return self.started.get(name)

    def start(self, name: TaskKey, task: StartedTask) -> None:
        """Record the start of a task."""
        self.started[name] = task

    def finish(self, name: TaskKey, result: TaskResult) -> StartedTask:
        """Record the result of a started task and return the updated record."""
        task = self.started[name]._replace(result=result)
        self.started[name] = task
        return task

    def forbid_attempt(self, name: TaskKey, attempt: int, now: float) -> None:
        """Forbid the start of this attempt of a task and of all earlier attempts."""
        known = self.forbidden_attempts.get(name, (0, now))[0]
        self.forbidden_attempts[name] = (max(known, attempt), now)
        self.forbidden_attempts.move_to_end(name)

    def is_attempt_forbidden(self, name: TaskKey, attempt: int) -> bool:
        """Return whether this attempt of a task must never be started."""
        return attempt <= self.forbidden_attempts.get(name, (0, 0.0))[0]

    def expire(self, now: float, retention_s: float) -> None:
        """Remove records of ended tasks and forbidden attempts after the retention."""
        while self.started:
            name, task = next(iter(self.started.items()))
            if now - task.started_at <= retention_s:
                break
            del self.started[name]
            if task.result is None:
                # The task still runs; keep its record for another retention period.
                self.started[name] = task._replace(started_at=now)
        while self.forbidden_attempts:
            name, (_, forbidden_at) = next(iter(self.forbidden_attempts.items()))
            if now - forbidden_at <= retention_s:
                break
            del self.forbidden_attempts[name]
