"""Messages between tasks of one process."""

import asyncio
from typing import NamedTuple

from hawthorntrack.protocol.bodies import AnnouncementBody
from hawthorntrack.state.control_view import ControlView
from hawthorntrack.state.started_tasks import TaskKey
from hawthorntrack.state.table import ReadResult, WriteOutcome
from hawthorntrack.state.values import (
    Answer,
    Incarnation,
    JobSpec,
    TargetLoad,
    TaskSpec,
)


class ViewChanged(NamedTuple):
    """The view of configuration and membership that is in force from now on."""

    view: ControlView


class NewerStampSeen(NamedTuple):
    """A peer's message carried a newer stamp than ours."""

    peer: Incarnation
    stamp: int


class PollCompleted(NamedTuple):
    """A poll of the table ended; `found` is None where it failed.

    `after` is the version above which rows were asked for.
    """

    subject: str
    sent_at: float
    after: int
    read_result: ReadResult | None


class RegistrationWritten(NamedTuple):
    """The write of this guard's registration was answered."""

    outcome: WriteOutcome


class Drain(NamedTuple):
    """Stop taking new work, and finish what runs."""


class DrainDeadlinePassed(NamedTuple):
    """The time to finish is over: answer what is left."""


class DrainCompleted(NamedTuple):
    """This task has nothing left to finish."""

    task: str


class SlotWriteCompleted(NamedTuple):
    """A write of a slot's row was answered, or the row was read again."""

    slot: int
    outcome: WriteOutcome


class OfferJob(NamedTuple):
    """The keeper asks the runner whether it would take a job."""

    token: int
    slot: int
    job: JobSpec


class OfferReply(NamedTuple):
    """The runner's word on an offer: taken, or the refusal."""

    token: int
    slot: int
    refusal: Answer | None


class WithdrawOffer(NamedTuple):
    """An offer that was taken will not be admitted after all."""

    token: int


class AdmitJob(NamedTuple):
    """The witness noted the key: run the job."""

    token: int


class CancelAdmittedJob(NamedTuple):
    """The caller cancels an admitted job."""

    token: int


class JobEnded(NamedTuple):
    """An admitted job has its answer."""

    token: int
    slot: int
    answer: Answer


class RunTask(NamedTuple):
    """Run a task on the target at `address`."""

    name: TaskKey
    address: str
    key: str
    index: int
    spec: TaskSpec


class StopTask(NamedTuple):
    """Tell the target to stop a task."""

    name: TaskKey


class SetConnections(NamedTuple):
    """How many connections the target allows."""

    count: int


class TargetAnswered(NamedTuple):
    """What came of a `RunTask`.

    Attributes
    ----------
    target_fault : bool
        Whether the failure is the target's, not the task's.
    """

    name: TaskKey
    ok: bool
    output: bytes
    run_ms: float
    target_fault: bool


class AnnounceTarget(NamedTuple):
    """A target's announcement; the refusal, or None, goes to `reply`."""

    body: AnnouncementBody
    reply: asyncio.Future[str | None]


class LoadChanged(NamedTuple):
    """How busy this guard's target is."""

    loads: tuple[TargetLoad, ...]


class PartnersChanged(NamedTuple):
    """The guards that share a slot with this one."""

    guards: frozenset[Incarnation]


class SubmitJob(NamedTuple):
    """A caller's job, at the entry; its answer goes to `reply`."""

    job: JobSpec
    reply: asyncio.Future[Answer]


class QueryJob(NamedTuple):
    """A caller asks after a job, or cancels it; the answer goes to `reply`."""

    service: str
    key: str
    cancel: bool
    reply: asyncio.Future[Answer]


class GetStatus(NamedTuple):
    """Asks a task for its part of the status page."""

    reply: asyncio.Future[dict]
