"""Messages that entry instances and guards exchange over the bus.

Every message is one-way. A request carries the identifiers by which its reply is
matched to the task that sent it. The envelope names the sender.
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
    """A message with its sender and the sender's configuration version.

    Attributes
    ----------
    stamp : int
        Version of the configuration in force at the sender.
    """

    sender: Incarnation
    stamp: int
    body: Any


@message("beat")
class Heartbeat(NamedTuple):
    """A guard's heartbeat, with the load of its target."""

    exposed_name = "Beat"

    place: Location
    draining: bool
    loads: tuple[TargetLoad, ...]


@message("ask_config")
class RequestConfig(NamedTuple):
    """Requests a peer's configuration rows that are newer than a version.

    Attributes
    ----------
    asked_at : float
        The requester's own loop time, in seconds. The reply returns it.
    """

    exposed_name = "AskConfig"

    after: int
    asked_at: float


@message("config_rows")
class ConfigRows(NamedTuple):
    """Configuration rows as ``(key, version, value)`` that the requester lacks.

    Attributes
    ----------
    total : int
        Number of all configuration rows that the sender has.
    asked_at : float
        Copied from the request.
    age_s : float
        Age of the sender's view when the reply was sent, in seconds, as
        `ControlView.age_s` returns it.
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
        Increases with every submission of that entry instance. An owner drops a
        submission unless its sequence is above all that it has seen: a delayed or
        duplicated submission must not be admitted after its request was refused.
    """

    request: str
    sequence: int
    slot: int
    job: JobSpec


@message("inquire")
class Inquire(NamedTuple):
    """An entry instance asks whether the owner still has a job that it submitted.

    Attributes
    ----------
    sequence : int
        Sequence of the entry instance's newest submission of that job.
    """

    request: str
    sequence: int
    slot: int
    service: str
    key: str


@message("pending")
class Pending(NamedTuple):
    """The owner has the job, which is not finished yet."""

    request: str


@message("unheard")
class JobNotFound(NamedTuple):
    """The owner has no such job; the entry instance must submit it again."""

    exposed_name = "Unheard"

    request: str


@message("answered")
class Answered(NamedTuple):
    """The owner's answer to a submission.

    Attributes
    ----------
    row : SlotRow or None
        The newest row of the slot that the guard has, if the guard is not the owner.
    sequence : int
        Sequence of the submission that is answered; 0 in the reply to `LookUp` or
        `CancelJob`.
    """

    request: str
    answer: Answer
    row: SlotRow | None = None
    sequence: int = 0


@message("look_up")
class LookUp(NamedTuple):
    """Requests the state of a job from its owner."""

    request: str
    slot: int
    service: str
    key: str


@message("cancel_job")
class CancelJob(NamedTuple):
    """Requests that the owner cancel a job."""

    request: str
    slot: int
    service: str
    key: str


@message("note")
class ReplicateKeys(NamedTuple):
    """The owner replicates new keys to its witness before it admits their jobs."""

    exposed_name = "Note"

    slot: int
    epoch: int
    batch: int
    keys: tuple[ReplicatedKey, ...]


@message("note_taken")
class KeysReplicated(NamedTuple):
    """The witness has stored the keys of one `ReplicateKeys` batch."""

    exposed_name = "NoteTaken"

    slot: int
    epoch: int
    batch: int


@message("note_refused")
class ReplicationRefused(NamedTuple):
    """The receiver of `ReplicateKeys` is not the slot's witness at that epoch."""

    exposed_name = "NoteRefused"

    slot: int
    epoch: int


@message("handover")
class Handover(NamedTuple):
    """A guard that claims a slot sends its new witness a part of the key set."""

    slot: int
    epoch: int
    part: int
    parts: int
    keys: tuple[ReplicatedKey, ...]


@message("handover_taken")
class HandoverAccepted(NamedTuple):
    """The new witness has received all parts of the key set of that epoch."""

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
    """The key of an admitted job with its answer."""

    service: str
    key: str
    answer: Answer


@message("answers")
class TransferAnswers(NamedTuple):
    """An owner that gives its slot up sends the next owner its answers."""

    exposed_name = "Answers"

    slot: int
    answers: tuple[KeyAnswer, ...]


@message("reserve")
class Reserve(NamedTuple):
    """An owner requests permits to start tasks at a guard.

    Attributes
    ----------
    wait_ms : int
        How long the request may wait until slots become free.
    """

    service: str
    count: int
    wait_ms: int


@message("grant")
class Grant(NamedTuple):
    """A guard grants permits; each reserves one slot for a short time."""

    service: str
    permits: tuple[str, ...]
    load: TargetLoad


@message("release")
class Release(NamedTuple):
    """An owner returns permits and withdraws its waiting requests."""

    service: str
    permits: tuple[str, ...]


class StartTask(NamedTuple):
    """One task of a `StartTasks` message.

    Attributes
    ----------
    attempt : int
        Number of times that the task was sent to a guard, this time included.
    slack_ms : int
        How long the task may wait without delaying its job's answer; negative if it
        is late. The guard starts the task with the least slack first.
    permit : str
        The permit that the task uses; empty to take a free slot or wait in the queue.
    """

    index: int
    attempt: int
    spec: TaskSpec
    slack_ms: int = 0
    permit: str = ""


@message("start")
class StartTasks(NamedTuple):
    """An owner requests that a guard run tasks of one job.

    Attributes
    ----------
    remaining_ms : int
        Time left until the job's deadline when the message was sent.
    """

    exposed_name = "Start"

    job: str
    service: str
    key: str
    remaining_ms: int
    tasks: tuple[StartTask, ...]


@message("done")
class TasksDone(NamedTuple):
    """A guard returns the results of tasks that it ran."""

    exposed_name = "Done"

    job: str
    results: tuple[TaskResult, ...]
    load: TargetLoad


@message("not_run")
class TasksNotRun(NamedTuple):
    """A guard returns tasks that it did not start and never will.

    Attributes
    ----------
    tasks : tuple of (int, int)
        Index and attempt of each task.
    """

    exposed_name = "NotRun"

    job: str
    tasks: tuple[tuple[int, int], ...]
    reason: str
    load: TargetLoad


@message("probe")
class ProbeTasks(NamedTuple):
    """An owner asks for the state of tasks at a guard.

    The guard never starts the tasks of which it has no record yet.

    Attributes
    ----------
    drop : bool
        Whether the guard must also stop running tasks and remove queued ones. It does
        not report the removed tasks.
    """

    exposed_name = "Probe"

    job: str
    service: str
    key: str
    tasks: tuple[tuple[int, int], ...]
    drop: bool


def bus_message_types(kinds: Iterable[type]) -> tuple[type, ...]:
    """Return those of the given types that are messages from other processes.

    Examples
    --------
    >>> bus_message_types((Heartbeat, int)) == (Heartbeat,)
    True
    """
    registered = {messages[name] for name in messages}
    return tuple(kind for kind in kinds if kind in registered)
