"""Core value types that all layers share."""

from typing import NamedTuple


class Incarnation(NamedTuple):
    """One execution of a process; a restarted process is another incarnation.

    Attributes
    ----------
    address : str
        Address on which its bus listens, ``host:port``; empty in `NO_INCARNATION`.
    nonce : str
        Random value drawn at start, which distinguishes restarts.
    """

    address: str
    nonce: str

    def __str__(self) -> str:
        return f"{self.address}#{self.nonce}"


NO_INCARNATION = Incarnation("", "")


class Location(NamedTuple):
    """The zone, rack and worker on which a process runs."""

    zone: str
    rack: str
    worker: str


class SlotRow(NamedTuple):
    """The table's row of one slot.

    Attributes
    ----------
    epoch : int
        Increases by one with each claim.
    owner, witness : Incarnation
        The pair of this epoch.
    formed : bool
        Whether the witness has the whole key set of this epoch.
    last_owner, last_witness : Incarnation
        The pair of the newest formed epoch; `NO_INCARNATION` if there was none.
    reset_ms : int
        Unix time in milliseconds of a reset after both members were lost; 0 if there
        was none. The lost pair may have admitted keys that were created before it.
    version : int
        The table's version of the row, on which conditional writes are based; 0 if
        the row is absent.
    """

    epoch: int
    owner: Incarnation
    witness: Incarnation
    formed: bool
    last_owner: Incarnation
    last_witness: Incarnation
    reset_ms: int = 0
    version: int = 0


class TaskSpec(NamedTuple):
    """One task of a job as the caller declared it.

    Attributes
    ----------
    kind : str
        Kind of work; targets announce the kinds that they run.
    input : bytes
        JSON text, passed on to the target without being decoded.
    size_ms : int
        The declared run time in milliseconds, which is only a hint.
    """

    kind: str
    input: bytes
    size_ms: int


class JobSpec(NamedTuple):
    """A job as the caller submitted it.

    Attributes
    ----------
    key : str
        The caller's idempotency key.
    digest : bytes
        Hash of the body, which distinguishes a resubmission from a conflicting job.
    deadline_ms : int
        Time in milliseconds until the caller's deadline, from the arrival of the job
        or, in a `Submit`, from sending it. It is 0 if the caller set none, until the
        default of the service's document replaces it.
    """

    key: str
    digest: bytes
    service: str
    customer: str
    tasks: tuple[TaskSpec, ...]
    repeatable: bool
    deadline_ms: int


class TaskResult(NamedTuple):
    """The result of one started task.

    Attributes
    ----------
    ok : bool
        Whether the target completed the task.
    output : bytes
        JSON text: the output, or the reason for the failure.
    run_ms : float
        Run time at the target in milliseconds.
    """

    index: int
    ok: bool
    output: bytes
    run_ms: float


class Answer(NamedTuple):
    """The answer to a job or to a query about it.

    Attributes
    ----------
    status : str
        ``complete``, ``failed`` or ``refused``; a query may also get ``running`` or
        ``unknown``.
    kind : str
        Name of the outcome kind if the status is not ``complete``.
    ran : str
        Whether tasks ran: ``yes``, ``maybe`` or ``no``; always ``no`` for a refusal,
        empty while the job runs.
    detail : str
        Cause of the outcome as a sentence. The remedy of the kind is appended when the
        answer is sent to the caller.
    results : tuple of TaskResult
        The results of all tasks in order if complete, otherwise empty.
    """

    status: str
    kind: str
    ran: str
    detail: str
    results: tuple[TaskResult, ...] = ()


class TargetLoad(NamedTuple):
    """The load of a guard's target.

    Attributes
    ----------
    slots : int
        Number of tasks that the target runs concurrently; 0 if it accepts no work.
    busy, queued : int
        Number of tasks running at the target, granted permits included, and number of
        tasks waiting at the guard.
    speed : float
        Measured ratio of declared size to run time; 1.0 before the first measurement.
    sequence : int
        Increases with each measurement by this guard; a lower one is older.
    """

    service: str
    kinds: tuple[str, ...]
    slots: int
    busy: int
    queued: int
    speed: float
    sequence: int = 0


class GuardInfo(NamedTuple):
    """A guard or an entry instance, as described by its registration row."""

    incarnation: Incarnation
    place: Location
    http: str
    draining: bool
