"""The messages that the system's own processes send each other.

Every message is one-way. A message that asks for something carries what its answer
needs to find the asker's task again; who sent it stands in the envelope.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

from hawthorntrack.state.idempotency_keys import ReplicatedKey
from hawthorntrack.state.registry import Registry
from hawthorntrack.state.values import (
    Answer,
    Incarnation,
    JobSpec,
    Location,
    SlotRow,
    TargetLoad,
    TaskResult,
    TaskSpec,
)

messages: Registry[type] = Registry("message type")
message = messages.register


class Envelope(NamedTuple):
    """A message as it arrived.

    Attributes
    ----------
    stamp : int
        Configuration in force at the sender.
    """

    sender: Incarnation
    stamp: int
    body: Any


@message("beat")
class Heartbeat(NamedTuple):
    """A guard's heartbeat: that it lives, and how busy its target is."""

    exposed_name = "Beat"

    place: Location
    draining: bool
    loads: tuple[TargetLoad, ...]


@message("ask_config")
class RequestConfig(NamedTuple):
    """Asks a peer for its configuration rows after a version.

    Attributes
    ----------
    asked_at : float
        The asker's own loop time, in seconds; it comes back with the answer.
    """

    exposed_name = "AskConfig"

    after: int
    asked_at: float


@message("config_rows")
class ConfigRows(NamedTuple):
    """Configuration rows as ``(key, version, value)``; `total` counts all of them.

    Attributes
    ----------
    asked_at : float
        As it was asked.
    age_s : float
        How long before the answer the table was asked for what is told, in seconds.
    """

    rows: tuple[tuple[str, int, bytes], ...]
    total: int
    asked_at: float
    age_s: float


@message("submit")
class Submit(NamedTuple):
    """An entry instance submits a job to the owner of its slot.

    Attributes
    ----------
    sequence : int
        Grows with every submission of that entry instance. An owner that has seen
        one drops those before it: a submission that comes late or twice is not
        let in after its request was refused.
    """

    request: str
    sequence: int
    slot: int
    job: JobSpec


@message("inquire")
class Inquire(NamedTuple):
    """An entry instance asks whether a job it submitted is still known.

    Attributes
    ----------
    sequence : int
        Of its newest submission of that job.
    """

    request: str
    sequence: int
    slot: int
    service: str
    key: str


@message("pending")
class Pending(NamedTuple):
    """The owner still works on the job."""

    request: str


@message("unheard")
class JobNotFound(NamedTuple):
    """The owner has no such job: submit it again."""

    exposed_name = "Unheard"

    request: str


@message("answered")
class Answered(NamedTuple):
    """The owner's answer to a submission.

    Attributes
    ----------
    row : SlotRow or None
        The slot's row as the guard knows it, when the guard is not the owner.
    sequence : int
        Of the submission that is answered; 0 for the answer to a question.
    """

    request: str
    answer: Answer
    row: SlotRow | None = None
    sequence: int = 0


@message("look_up")
class LookUp(NamedTuple):
    """Asks the owner what is known of a job."""

    request: str
    slot: int
    service: str
    key: str


@message("cancel_job")
class CancelJob(NamedTuple):
    """Asks the owner to cancel a job."""

    request: str
    slot: int
    service: str
    key: str


@message("note")
class ReplicateKeys(NamedTuple):
    """The owner has its witness remember new keys, before it admits them."""

    exposed_name = "Note"

    slot: int
    epoch: int
    batch: int
    keys: tuple[ReplicatedKey, ...]


@message("note_taken")
class KeysReplicated(NamedTuple):
    """The witness remembers the keys of a note."""

    exposed_name = "NoteTaken"

    slot: int
    epoch: int
    batch: int


@message("note_refused")
class ReplicationRefused(NamedTuple):
    """The receiver is not the witness at that epoch."""

    exposed_name = "NoteRefused"

    slot: int
    epoch: int


@message("handover")
class Handover(NamedTuple):
    """A claimer hands a part of the slot's key set to its new witness."""

    slot: int
    epoch: int
    part: int
    parts: int
    keys: tuple[ReplicatedKey, ...]


@message("handover_taken")
class HandoverAccepted(NamedTuple):
    """The new witness holds the whole key set of that epoch."""

    exposed_name = "HandoverTaken"

    slot: int
    epoch: int


@message("yield")
class YieldSlot(NamedTuple):
    """The owner asks its witness to claim the slot now."""

    exposed_name = "Yield"

    slot: int
    epoch: int


class KeyAnswer(NamedTuple):
    """The answer of a job that was admitted."""

    service: str
    key: str
    answer: Answer


@message("answers")
class TransferAnswers(NamedTuple):
    """An owner that hands its slot on passes answers to the next one."""

    exposed_name = "Answers"

    slot: int
    answers: tuple[KeyAnswer, ...]


@message("reserve")
class Reserve(NamedTuple):
    """An owner asks a guard for permits to start tasks.

    Attributes
    ----------
    wait_ms : int
        How long the request may wait for slots to come free.
    """

    service: str
    count: int
    wait_ms: int


@message("grant")
class Grant(NamedTuple):
    """A guard grants permits; each holds a slot for a short time."""

    service: str
    permits: tuple[str, ...]
    load: TargetLoad


@message("release")
class Release(NamedTuple):
    """An owner gives permits back and drops its waiting requests."""

    service: str
    permits: tuple[str, ...]


class StartTask(NamedTuple):
    """One task of a start message.

    Attributes
    ----------
    attempt : int
        Counts how often the task was offered to guards, from 1.
    slack_ms : int
        How long the task may wait without delaying its job's answer; below 0 when
        it is late. The least goes first.
    permit : str
        The permit it uses up; empty to take a free slot or wait in the queue.
    """

    index: int
    attempt: int
    spec: TaskSpec
    slack_ms: int = 0
    permit: str = ""


@message("start")
class StartTasks(NamedTuple):
    """An owner has a guard run tasks of one job.

    Attributes
    ----------
    remaining_ms : int
        Time left until the job's deadline when this was sent.
    """

    exposed_name = "Start"

    job: str
    service: str
    key: str
    remaining_ms: int
    tasks: tuple[StartTask, ...]


@message("done")
class TasksDone(NamedTuple):
    """A guard returns results of tasks it ran."""

    exposed_name = "Done"

    job: str
    results: tuple[TaskResult, ...]
    load: TargetLoad


@message("not_run")
class TasksNotRun(NamedTuple):
    """A guard sends tasks back that it did not start and never will.

    Attributes
    ----------
    tasks : tuple of (int, int)
        Index and attempt of each.
    """

    exposed_name = "NotRun"

    job: str
    tasks: tuple[tuple[int, int], ...]
    reason: str
    load: TargetLoad


@message("probe")
class ProbeTasks(NamedTuple):
    """An owner asks after tasks; those not started are then never started.

    Attributes
    ----------
    drop : bool
        Whether queued tasks are to be sent back as well, and running ones told
        to stop.
    """

    exposed_name = "Probe"

    job: str
    service: str
    key: str
    tasks: tuple[tuple[int, int], ...]
    drop: bool


def bus_message_types(kinds: Iterable[type]) -> tuple[type, ...]:
    """Return those of some message types that come from other processes.

    Examples
    --------
    >>> bus_message_types((Heartbeat, int)) == (Heartbeat,)
    True
    """
    registered = {messages[name] for name in messages}
    return tuple(kind for kind in kinds if kind in registered)
