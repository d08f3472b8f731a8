"""Which tasks a guard started, and which it promised never to start."""

from collections import OrderedDict
from typing import NamedTuple

from hawthorntrack.state.values import Incarnation, TaskResult

TaskKey = tuple[str, str, int]  # service, job key, index of the task


class StartedTask(NamedTuple):
    """A task that was started here.

    Attributes
    ----------
    owner : Incarnation
        Who gets the result.
    job : str
        The owner's name for the job.
    started_at : float
        Loop time of the start in seconds.
    result : TaskResult or None
        What came of it, once it came.
    """

    owner: Incarnation
    job: str
    started_at: float
    result: TaskResult | None = None


class StartRecords:
    """Remembers starts for the retention, so that none is repeated.

    Examples
    --------
    >>> memory = StartRecords()
    >>> name = ("visits", "k", 0)
    >>> memory.forbid_attempt(name, attempt=1, now=0.0)
    >>> memory.is_attempt_forbidden(name, 1), memory.is_attempt_forbidden(name, 2)
    (True, False)
    """

    def __init__(self) -> None:
        self.started: OrderedDict[TaskKey, StartedTask] = OrderedDict()
        self.forbidden_attempts: OrderedDict[TaskKey, tuple[int, float]] = OrderedDict()

    def find(self, name: TaskKey) -> StartedTask | None:
        """Return the start of a task, if it was started here."""
        return self.started.get(name)

    def start(self, name: TaskKey, task: StartedTask) -> None:
        """Remember a start."""
        self.started[name] = task

    def finish(self, name: TaskKey, result: TaskResult) -> StartedTask:
        """Remember a result and return the start that it belongs to."""
        task = self.started[name]._replace(result=result)
        self.started[name] = task
        return task

    def forbid_attempt(self, name: TaskKey, attempt: int, now: float) -> None:
        """Promise never to start this attempt of a task, or an earlier one."""
        known = self.forbidden_attempts.get(name, (0, now))[0]
        self.forbidden_attempts[name] = (max(known, attempt), now)
        self.forbidden_attempts.move_to_end(name)

    def is_attempt_forbidden(self, name: TaskKey, attempt: int) -> bool:
        """Return whether this attempt was promised never to start."""
        return attempt <= self.forbidden_attempts.get(name, (0, 0.0))[0]

    def expire(self, now: float, retention_s: float) -> None:
        """Forget starts and promises older than the retention."""
        while self.started:
            name, task = next(iter(self.started.items()))
            if now - task.started_at <= retention_s:
                break
            del self.started[name]
            if task.result is None:
                # It still runs: remember it for another retention.
                self.started[name] = task._replace(started_at=now)
        while self.forbidden_attempts:
            name, (_, at) = next(iter(self.forbidden_attempts.items()))
            if now - at <= retention_s:
                break
            del self.forbidden_attempts[name]
