"""The state of the jobs that an owner runs, and the state machine of a job."""

from typing import NamedTuple

from transitions import Machine

from hawthorntrack.state.values import Incarnation, JobSpec, TaskResult

OFFERED = "offered"
RUNNING = "running"
ENDED = "ended"
JOB_TRANSITIONS = (
    {"trigger": "admit", "source": OFFERED, "dest": RUNNING},
    {"trigger": "end", "source": RUNNING, "dest": ENDED},
)


class TaskState(NamedTuple):
    """The state of one task of a job at the owner.

    Attributes
    ----------
    guard : Incarnation or None
        The guard that the task was sent to; None while it waits at the owner.
    attempt : int
        Number of times that the task was sent to a guard.
    sent_at : float
        Loop time in seconds at which the task was last sent.
    not_before : float
        Loop time in seconds before which the task must not be sent again.
    """

    guard: Incarnation | None = None
    attempt: int = 0
    sent_at: float = 0.0
    not_before: float = 0.0
    probed_at: float = 0.0
    avoided_guards: frozenset[Incarnation] = frozenset()
    result: TaskResult | None = None


class Job:
    """A job at its owner.

    Attributes
    ----------
    token : int
        Number that identifies the job at its owner.
    begun_at, deadline_at : float
        Loop times in seconds at which the job was offered, and after which it
        fails.
    waiting : dict of int
        Ordered set of the indices of tasks that wait to be placed at a guard.
    unfinished : int
        Tasks without a result.
    """

    def __init__(
        self,
        token: int,
        slot: int,
        spec: JobSpec,
        begun_at: float,
        deadline_at: float,
    ) -> None:
        self.token = token
        self.slot = slot
        self.spec = spec
        self.begun_at = begun_at
        self.deadline_at = deadline_at
        self.state = OFFERED
        self.tasks = [TaskState() for _ in spec.tasks]
        self.waiting = dict.fromkeys(range(len(self.tasks)))
        self.unfinished = len(self.tasks)
        self.longest_ms = max(task.size_ms for task in spec.tasks)

    @property
    def name(self) -> str:
        """The job's name in messages between owner and guards."""
        return str(self.token)

    @property
    def started(self) -> bool:
        """Whether any task may have started."""
        return any(task.guard or task.result for task in self.tasks)

    def start_by(self, index: int) -> float:
        """Return the latest start time of a task that does not delay the job's answer.

        Explanation
        -----------
        The answer waits for the job's longest task anyway. A shorter task may start
        later by the difference of their declared sizes. The result is a loop time in
        seconds.
        """
        spare_ms = self.longest_ms - self.spec.tasks[index].size_ms
        return self.begun_at + spare_ms / 1000

    def apply_transition(self, trigger: str) -> None:
        """Change the job's state by a transition declared in `JOB_TRANSITIONS`."""
        JOB_MACHINE.events[trigger].trigger(self)


JOB_MACHINE = Machine(
    model=None,
    states=[OFFERED, RUNNING, ENDED],
    transitions=list(JOB_TRANSITIONS),
    initial=OFFERED,
    auto_transitions=False,
)
