"""Messages between tasks of one process."""

import asyncio
from typing import NamedTuple

from hawthorntrack.protocol.bodies import AnnouncementBody
from hawthorntrack.state.control import ControlView
from hawthorntrack.state.started import TaskName
from hawthorntrack.state.table import Found, WriteOutcome
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


class StampSeen(NamedTuple):
    """A peer's message carried a newer stamp than ours."""

    peer: Incarnation
    stamp: int


class PollAnswered(NamedTuple):
    """A poll of the table ended; `found` is None where it failed.

    `after` is the version above which rows were asked for.
    """

    subject: str
    sent_at: float
    after: int
    found: Found | None


class Registered(NamedTuple):
    """The write of this guard's registration was answered."""

    outcome: WriteOutcome


class Drain(NamedTuple):
    """Stop taking new work, and finish what runs."""


class DrainOver(NamedTuple):
    """The time to finish is over: answer what is left."""


class Drained(NamedTuple):
    """This task has nothing left to finish."""

    task: str


class WriteSettled(NamedTuple):
    """A write of a slot's row was answered, or the row was read again."""

    slot: int
    outcome: WriteOutcome


class Offer(NamedTuple):
    """The keeper asks the runner whether it would take a job."""

    token: int
    slot: int
    job: JobSpec


class Offered(NamedTuple):
    """The runner's word on an offer: taken, or the refusal."""

    token: int
    slot: int
    refusal: Answer | None


class Withdraw(NamedTuple):
    """An offer that was taken will not be admitted after all."""

    token: int


class Admit(NamedTuple):
    """The witness noted the key: run the job."""

    token: int


class Cancel(NamedTuple):
    """The caller cancels an admitted job."""

    token: int


class JobEnded(NamedTuple):
    """An admitted job has its answer."""

    token: int
    slot: int
    answer: Answer


class RunTask(NamedTuple):
    """Run a task on the target at `address`."""

    name: TaskName
    address: str
    key: str
    index: int
    spec: TaskSpec


class StopTask(NamedTuple):
    """Tell the target to stop a task."""

    name: TaskName


class SetConnections(NamedTuple):
    """How many connections the target allows."""

    count: int


class TargetAnswered(NamedTuple):
    """What came of a `RunTask`.

    Attributes
    ----------
    spoiled : bool
        Whether the failure is the target's, not the task's.
    """

    name: TaskName
    ok: bool
    output: bytes
    run_ms: float
    spoiled: bool


class Announced(NamedTuple):
    """A target's announcement; the refusal, or None, goes to `reply`."""

    body: AnnouncementBody
    reply: asyncio.Future[str | None]


class LoadChanged(NamedTuple):
    """How busy this guard's target is."""

    loads: tuple[TargetLoad, ...]


class Partners(NamedTuple):
    """The guards that share a slot with this one."""

    guards: frozenset[Incarnation]


class Ask(NamedTuple):
    """A caller's job, at the entry; its answer goes to `reply`."""

    job: JobSpec
    reply: asyncio.Future[Answer]


class AskKnown(NamedTuple):
    """A caller asks after a job, or cancels it; the answer goes to `reply`."""

    service: str
    key: str
    cancel: bool
    reply: asyncio.Future[Answer]


class ShowStatus(NamedTuple):
    """Asks a task for its part of the status page."""

    reply: asyncio.Future[dict]
