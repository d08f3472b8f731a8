"""Value types for jobs with steps, runs of their tasks, and states of targets."""

from typing import NamedTuple

from hawthorntrack.state.resources import Resources


class StepSpec(NamedTuple):
    """One step of a job: a number of tasks with the same requirements.

    Attributes
    ----------
    count : int
        Number of tasks.
    need : Resources
        Resources that each task occupies while it runs.
    estimate_s : float
        Declared run time of a task in seconds. It is often inaccurate.
    depends_on : tuple of int
        Indices, from 0, of the steps whose tasks must all have completed before.
    label : str
        A label that the target must have; empty for any target.
    rack : str
        Rack of the data; on any other rack the task takes longer. Empty for no rack.
    per_target : int
        Maximum number of the step's tasks that run on one target at a time; 0 for no
        limit.
    allows_copies : bool
        Whether copies of a task may run at the same time.
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
    """A job as its caller submitted it.

    Attributes
    ----------
    key : str
        Name of the job, chosen by the caller.
    payload : str
        Text that is passed to every task of the job.
    survives_disconnect : bool
        Whether the job continues when its caller's connection is closed.
    """

    key: str
    payload: str
    steps: tuple[StepSpec, ...]
    survives_disconnect: bool = False


class TaskName(NamedTuple):
    """The name of one task of a job; `occurrence` is 0 for a job that runs once."""

    job: str
    occurrence: int
    step: int
    index: int

    @property
    def position(self) -> str:
        """Return the task's step and index in its job, as shown in log lines.

        Examples
        --------
        >>> TaskName("5c0e7a21d94b36f8", 0, 1, 17).position
        '1.17'
        """
        return f"{self.step}.{self.index}"


class RunName(NamedTuple):
    """The name of one run of a task; `run` counts the task's runs from 1."""

    task: TaskName
    run: int


class RunStatus(NamedTuple):
    """A run as listed by its target; `percent` is the completed share of its work."""

    name: RunName
    percent: int


class RunEnd(NamedTuple):
    """The end of a run as listed by its target.

    Attributes
    ----------
    number : int
        Increases with each ended run of one incarnation of the target.
    end_state : str
        ``done``, ``failed``, ``stopped``, ``lapsed`` (the lease ended) or another
        state that the target reports.
    """

    number: int
    name: RunName
    end_state: str


class TargetIncarnation(NamedTuple):
    """One execution of a target process; a restarted target has a later `born_ms`.

    Attributes
    ----------
    born_ms : int
        Unix time of the start in milliseconds; 0 if the target does not report it.
    """

    id: str
    born_ms: int


class TargetState(NamedTuple):
    """The state of a target, as reported in its heartbeat.

    Attributes
    ----------
    address : str
        Address at which the target accepts orders, ``host:port``.
    sequence : int
        Increases with each heartbeat of one incarnation.
    labels : tuple of str
        Kind and rack of the target.
    clock_ms : int
        The target's own monotonic clock in milliseconds, on which leases are measured.
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
