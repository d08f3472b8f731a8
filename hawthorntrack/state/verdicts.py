"""Verdicts on callers' requests about jobs with steps."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Completed:
    """All tasks of the job completed."""


@dataclass(frozen=True)
class JobFailed:
    """A task failed its maximum number of attempts, or no target can ever run it."""

    reason: str


@dataclass(frozen=True)
class Refused:
    """The request is refused; no task of the job was or will be run for it.

    Attributes
    ----------
    reason : str
        Stable name of the reason, which labels the counter and the log line.
    retry_after_s : int
        Time after which the caller should try again, in whole seconds.
    overloaded : bool
        Whether the cause is load rather than the state of this instance.
    """

    reason: str
    retry_after_s: int
    overloaded: bool = False


@dataclass(frozen=True)
class Abandoned:
    """The job ended before it completed, and tasks may have run; they are stopped."""

    reason: str


@dataclass(frozen=True)
class NoQueue:
    """No queue matches the host and path of the request."""


@dataclass(frozen=True)
class BadJob:
    """The body is not a valid job; `problem` describes the error and its location."""

    problem: str


@dataclass(frozen=True)
class UnknownJob:
    """This instance has no job with that key."""


@dataclass(frozen=True)
class JobState:
    """The state of a job: ``queued``, ``running`` or, once cancelled, ``cancelled``."""

    state: str


Verdict = Completed | JobFailed | Refused | Abandoned | NoQueue | BadJob | UnknownJob
