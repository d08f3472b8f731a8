"""The core value types that every layer shares."""

from typing import NamedTuple


class Incarnation(NamedTuple):
    """One life of one process.

    Attributes
    ----------
    address : str
        Where its bus listens, ``host:port``; empty for nobody.
    nonce : str
        Drawn at start, so that a restarted process is another incarnation.
    """

    address: str
    nonce: str

    def __str__(self) -> str:
        return f"{self.address}#{self.nonce}"


NO_INCARNATION = Incarnation("", "")


class Location(NamedTuple):
    """Where a process runs."""

    zone: str
    rack: str
    worker: str


class SlotRow(NamedTuple):
    """The table's row of one slot.

    Attributes
    ----------
    epoch : int
        Grows by one with each claim.
    owner, witness : Incarnation
        The pair of this epoch.
    formed : bool
        Whether the witness holds the whole key set of this epoch.
    last_owner, last_witness : Incarnation
        The pair of the newest formed epoch; nobody when there was none.
    reset_ms : int
        Unix time in milliseconds of a reset after both members were lost. Keys
        made before it may have been admitted by the lost pair. 0: no reset.
    version : int
        The table's version of the row, the base of conditional writes. 0: absent.
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
        Names the work; targets announce the kinds that they run.
    input : bytes
        JSON text, passed on to the target unread.
    size_ms : int
        The declared run time in milliseconds, a hint only.
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
        Hash of the body, to tell a resubmission from a conflicting job.
    deadline_ms : int
        Time the caller waits, in milliseconds from arrival.
    """

    key: str
    digest: bytes
    service: str
    customer: str
    tasks: tuple[TaskSpec, ...]
    repeatable: bool
    deadline_ms: int


class TaskResult(NamedTuple):
    """What a target made of one started task.

    Attributes
    ----------
    ok : bool
        Whether the target completed the task.
    output : bytes
        JSON text: the output, or the reason of the failure.
    run_ms : float
        Time at the target in milliseconds.
    """

    index: int
    ok: bool
    output: bytes
    run_ms: float


class Answer(NamedTuple):
    """The one answer to a job: complete, failed, or refused.

    Attributes
    ----------
    status : str
        ``complete``, ``failed`` or ``refused``.
    kind : str
        Name of the outcome kind when not complete.
    ran : str
        ``yes``, ``maybe`` or ``no``; a refusal always says ``no``.
    detail : str
        What was met, in words; the kind's remedy is added at the edge.
    results : tuple of TaskResult
        All tasks in order when complete, otherwise empty.
    """

    status: str
    kind: str
    ran: str
    detail: str
    results: tuple[TaskResult, ...] = ()


class TargetLoad(NamedTuple):
    """How busy a guard's target is.

    Attributes
    ----------
    slots : int
        Tasks the target runs at once; 0 when it takes no work.
    busy, queued : int
        Tasks running, and tasks waiting at the guard.
    speed : float
        Declared milliseconds done per millisecond, measured; 1.0 until known.
    sequence : int
        Grows with each measurement of this guard; a lower one is older.
    """

    service: str
    kinds: tuple[str, ...]
    slots: int
    busy: int
    queued: int
    speed: float
    sequence: int = 0


class GuardInfo(NamedTuple):
    """A guard as its registration row shows it."""

    incarnation: Incarnation
    place: Location
    http: str
    draining: bool
