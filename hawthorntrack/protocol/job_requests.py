"""Messages from the callers' HTTP front end to the dispatcher."""

import asyncio
from typing import NamedTuple

from hawthorntrack.state.directives import Directives
from hawthorntrack.state.plans import JobPlan


class SubmitPlan(NamedTuple):
    """A caller submits a job.

    Attributes
    ----------
    plan : JobPlan or None
        None if the body is not a valid job; `problem` then gives the reason.
    arrived_at : float
        Time in seconds at which the request arrived at the machine, on the clock that
        includes suspended time.
    deadline_s : float
        How long the caller waits, in seconds from the request's arrival.
    reply : Future
        Receives the verdict; cancelled once the caller has closed its connection.
    """

    host: str
    path: str
    plan: JobPlan | None
    problem: str
    arrived_at: float
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
    """A caller requests the state of a job."""

    host: str
    path: str
    key: str
    reply: asyncio.Future


class CountQueuedJobs(NamedTuple):
    """A caller requests the number of waiting jobs in a queue."""

    host: str
    path: str
    reply: asyncio.Future


class DirectivesChanged(NamedTuple):
    """The operators' directives have changed; these are in force from now on."""

    directives: Directives


class DirectivesConfirmed(NamedTuple):
    """The directives in force are still the newest.

    Attributes
    ----------
    stamp : int
        Store version as of which they are in force.
    as_of : float
        Time at which the store had no newer ones, in seconds since boot; 0.0 if that
        is not known.
    """

    stamp: int
    as_of: float
