"""The jobs that an owner runs, and the life of each."""

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
    """Where one task of a job stands.

    Attributes
    ----------
    guard : Incarnation or None
        Where it was sent; None while it waits at the owner.
    attempt : int
        How often it was sent.
    sent_at, not_before : float
        Loop times in seconds: of the newest sending, and of the next one allowed.
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
        The owner's number for it.
    begun_at, deadline_at : float
        Loop times in seconds: when it was offered, and when it is given up.
    waiting : dict of int
        Indices of tasks that wait for a place, in order.
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
        """Return the loop time at which a task must start not to delay the answer.

        Explanation
        -----------
        Nobody waits for a short task of a job that has a long one: it may start
        later by the difference of their declared sizes.
        """
        spare_ms = self.longest_ms - self.spec.tasks[index].size_ms
        return self.begun_at + spare_ms / 1000

    def apply_transition(self, trigger: str) -> None:
        """Go on by a declared transition."""
        JOB_MACHINE.events[trigger].trigger(self)


JOB_MACHINE = Machine(
    model=None,
    states=[OFFERED, RUNNING, ENDED],
    transitions=list(JOB_TRANSITIONS),
    initial=OFFERED,
    auto_transitions=False,
)
