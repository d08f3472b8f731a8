"""Messages between the actors of one process."""

import asyncio
from typing import NamedTuple

from hawthorntrack.protocol.bodies import AnnouncementBody
from hawthorntrack.state.control_view import ControlView
from hawthorntrack.state.directives import Member, ZonesAsOf
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
    """The view of configuration and membership has changed; this one is in force."""

    view: ControlView


class MembersKnown(NamedTuple):
    """These processes have registered, again or for the first time."""

    members: tuple[Member, ...]


class NewerStampSeen(NamedTuple):
    """A peer's message carried a newer configuration version than this process's."""

    peer: Incarnation
    stamp: int


class ReadZones(NamedTuple):
    """A guard must read the zones out of service; `asked_at` is its time in seconds."""

    asked_at: float


class ZonesRead(NamedTuple):
    """The outcome of a `ReadZones`; `zones` is None if the store gave no answer."""

    zones: ZonesAsOf | None
    asked_at: float


class PollCompleted(NamedTuple):
    """A poll of the table ended.

    Attributes
    ----------
    sent_at : float
        Loop time at which the poll was sent, in seconds.
    after : int
        The poll requested the rows above this version.
    read_result : ReadResult or None
        None if the poll failed.
    """

    subject: str
    sent_at: float
    after: int
    read_result: ReadResult | None


class RegistrationWritten(NamedTuple):
    """The write of this process's registration row has ended."""

    outcome: WriteOutcome


class Drain(NamedTuple):
    """Stop accepting new work and finish the work that is running."""


class DrainDeadlinePassed(NamedTuple):
    """The time allowed for draining has passed; answer the requests that are left."""


class DrainCompleted(NamedTuple):
    """This actor has no work left to finish."""

    task: str


class SlotWriteCompleted(NamedTuple):
    """A write of a slot's row has ended, or the row was read again."""

    slot: int
    outcome: WriteOutcome


class OfferJob(NamedTuple):
    """The slot manager asks the runner whether it would accept a job."""

    token: int
    slot: int
    job: JobSpec


class OfferReply(NamedTuple):
    """The runner's reply to an offer; `refusal` is None if it accepts the job."""

    token: int
    slot: int
    refusal: Answer | None


class WithdrawOffer(NamedTuple):
    """A job whose offer was accepted will not be admitted."""

    token: int


class AdmitJob(NamedTuple):
    """Run an offered job; its witness has stored the key."""

    token: int


class CancelAdmittedJob(NamedTuple):
    """Cancel an admitted job at its caller's request."""

    token: int


class JobEnded(NamedTuple):
    """An admitted job has ended with this answer."""

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
    """Stop a task at the target."""

    name: TaskKey


class SetConnections(NamedTuple):
    """Set the maximum number of connections to the target."""

    count: int


class TargetAnswered(NamedTuple):
    """The outcome of a `RunTask`.

    Attributes
    ----------
    target_fault : bool
        Whether the target caused the failure rather than the task.
    """

    name: TaskKey
    ok: bool
    output: bytes
    run_ms: float
    target_fault: bool


class AnnounceTarget(NamedTuple):
    """A target's announcement; `reply` receives the refusal, or None if accepted."""

    body: AnnouncementBody
    reply: asyncio.Future[str | None]


class LoadChanged(NamedTuple):
    """The load of this guard's target has changed."""

    loads: tuple[TargetLoad, ...]


class PartnersChanged(NamedTuple):
    """The set of guards that share a slot with this one has changed."""

    guards: frozenset[Incarnation]


class SubmitJob(NamedTuple):
    """A caller submits a job at an entry instance; `reply` receives the answer."""

    job: JobSpec
    reply: asyncio.Future[Answer]


class QueryJob(NamedTuple):
    """A caller queries a job or cancels it; `reply` receives the answer."""

    service: str
    key: str
    cancel: bool
    reply: asyncio.Future[Answer]


class GetStatus(NamedTuple):
    """Requests an actor's part of the status page."""

    reply: asyncio.Future[dict]
