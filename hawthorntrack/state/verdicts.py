"""What a caller is told of a job in steps."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Completed:
    """All tasks completed."""


@dataclass(frozen=True)
class JobFailed:
    """A task failed as often as it may, or no target can ever run it."""

    reason: str


@dataclass(frozen=True)
class Refused:
    """Nothing of the job was or will be run for this request.

    Attributes
    ----------
    reason : str
        Stable name; label of the counter and the log line.
    retry_after_s : int
        When the caller should come back, in whole seconds.
    overloaded : bool
        Whether load is the cause, rather than the state of this instance.
    """

    reason: str
    retry_after_s: int
    overloaded: bool = False


@dataclass(frozen=True)
class Abandoned:
    """The job was given up after tasks may have run; all of them are stopped."""

    reason: str


@dataclass(frozen=True)
class NoQueue:
    """No queue has this host and path."""


@dataclass(frozen=True)
class BadJob:
    """The body is no job; `problem` says where."""

    problem: str


@dataclass(frozen=True)
class UnknownJob:
    """No such job is known here."""


@dataclass(frozen=True)
class JobState:
    """The state of a job that is being worked on."""

    state: str


Verdict = Completed | JobFailed | Refused | Abandoned | NoQueue | BadJob | UnknownJob
