"""Jobs in steps, and the runs of their tasks on targets."""

from typing import NamedTuple

from hawthorntrack.state.resources import Resources


class StepSpec(NamedTuple):
    """One step of a job: tasks that are alike.

    Attributes
    ----------
    count : int
        Number of tasks.
    need : Resources
        What each task occupies while it runs.
    estimate_s : float
        Declared run time of a task, often far off.
    after : tuple of int
        Steps, counted from 0, all of whose tasks must have completed before.
    label : str
        A label that the target must have; empty for any.
    rack : str
        Rack of the data; on any other rack the task takes longer. Empty: none.
    per_target : int
        Tasks of the step that may run on one target at a time; 0: any number.
    allows_copies : bool
        Whether copies of a task may run side by side.
    """

    count: int
    need: Resources
    estimate_s: float
    depends_on: tuple[int, ...] = ()
    label: str = ""
    rack: str = ""
    per_target: int = 0
    allows_copies: bool = False


class JobPlan(NamedTuple):
    """A job as its caller handed it in.

    Attributes
    ----------
    key : str
        The caller's name for the job.
    payload : str
        Text that every task of the job is started with.
    survives_disconnect : bool
        Whether the job must outlast its caller's connection.
    """

    key: str
    payload: str
    steps: tuple[StepSpec, ...]
    survives_disconnect: bool = False


class TaskName(NamedTuple):
    """Names one task of a job; `occurrence` is 0 for a job that runs once."""

    job: str
    occurrence: int
    step: int
    index: int

    @property
    def position(self) -> str:
        """Return the task's place in its job, as log lines show it.

        Examples
        --------
        >>> TaskName("5c0e7a21d94b36f8", 0, 1, 17).position
        '1.17'
        """
        return f"{self.step}.{self.index}"


class RunName(NamedTuple):
    """One run of a task; `run` counts the task's starts from 1."""

    task: TaskName
    run: int


class RunStatus(NamedTuple):
    """A run as its target lists it; `percent` is the share of its work done."""

    name: RunName
    percent: int


class RunEnd(NamedTuple):
    """The end of a run as its target lists it.

    Attributes
    ----------
    number : int
        Grows with each end in one life of the target.
    end_state : str
        ``done``, ``failed``, ``stopped``, ``lapsed`` or another word.
    """

    number: int
    name: RunName
    end_state: str


class TargetIncarnation(NamedTuple):
    """One life of a target; a later life under the same id was born later.

    Attributes
    ----------
    born_ms : int
        Unix milliseconds of its start; 0 where the target does not tell.
    """

    id: str
    born_ms: int


class TargetState(NamedTuple):
    """What a target says of itself in a heartbeat.

    Attributes
    ----------
    address : str
        Where it takes orders, ``host:port``.
    sequence : int
        Grows with each heartbeat of one life.
    labels : tuple of str
        Its kind and its rack.
    clock_ms : int
        Its own steady clock, which leases are measured on.
    """

    incarnation: TargetIncarnation
    service: str
    address: str
    zone: str
    draining: bool
    capacity: Resources
    labels: tuple[str, ...]
    sequence: int
    clock_ms: int = 0
