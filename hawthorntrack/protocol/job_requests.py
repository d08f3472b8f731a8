"""Messages from a callers' front end to the dispatcher."""

import asyncio
from typing import NamedTuple

from hawthorntrack.state.directives import Directives
from hawthorntrack.state.plans import JobPlan


class SubmitPlan(NamedTuple):
    """A caller hands a job in.

    Attributes
    ----------
    plan : JobPlan or None
        None where the body is no job; `problem` then says why.
    deadline_s : float
        How long the caller waits, from arrival.
    reply : Future
        Gets the verdict.
    """

    host: str
    path: str
    plan: JobPlan | None
    problem: str
    deadline_s: float
    reply: asyncio.Future


class CallerDisconnected(NamedTuple):
    """The caller of a submission has closed its connection."""

    key: str
    reply: asyncio.Future


class CancelPlan(NamedTuple):
    """A caller cancels a job."""

    host: str
    path: str
    key: str
    reply: asyncio.Future


class GetPlanState(NamedTuple):
    """A caller asks for a job's state."""

    host: str
    path: str
    key: str
    reply: asyncio.Future


class CountQueuedJobs(NamedTuple):
    """A caller asks how many jobs of a queue wait."""

    host: str
    path: str
    reply: asyncio.Future


class DirectivesChanged(NamedTuple):
    """What operators have put in force from now on."""

    directives: Directives
