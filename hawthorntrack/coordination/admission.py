"""Decisions on whether a new job is taken, made before anything is noted."""

from typing import NamedTuple

from hawthorntrack.state.documents import Document
from hawthorntrack.state.outcomes import (
    CUSTOMER_LIMIT,
    DEADLINE_UNREACHABLE,
    NO_TARGET,
    QUEUE_FULL,
    refuse,
)
from hawthorntrack.state.values import Answer, JobSpec

MIN_SHARE_TASKS = 8  # an owner of few slots still takes a job of ordinary size


class AdmissionLoad(NamedTuple):
    """What an owner knows of the load when a job is offered.

    Attributes
    ----------
    kinds : frozenset of str
        Kinds of task that targets in service run, for the job's service.
    queued_tasks : int
        Tasks of this owner that wait for a place.
    customer_tasks : int
        Unfinished tasks of the job's customer at this owner.
    owned_share : float
        Share of all slots that this guard owns, 0 to 1.
    work_ahead_ms : float
        Run time of the tasks expected to wait ahead in the fleet, in milliseconds.
    slots : int
        Slots of the targets in view that are in service.
    """

    kinds: frozenset[str]
    queued_tasks: int
    customer_tasks: int
    owned_share: float
    work_ahead_ms: float
    slots: int


def customer_allowance(max_tasks: int, owned_share: float) -> int:
    """Return how many of a customer's tasks one owner takes at once.

    Explanation
    -----------
    Keys spread evenly over the slots, so an owner sees about its share of each
    customer's jobs. Twice the share absorbs the unevenness; the quota as a whole
    bounds it.

    Examples
    --------
    >>> customer_allowance(880, 0.1)
    176
    """
    return min(max_tasks, max(MIN_SHARE_TASKS, round(2 * max_tasks * owned_share)))


def expected_wait_ms(load: AdmissionLoad) -> float:
    """Return the expected wait for a slot, in milliseconds."""
    return load.work_ahead_ms / load.slots if load.slots else 0.0


def check_admission(
    load: AdmissionLoad, document: Document, job: JobSpec
) -> Answer | None:
    """Return why a job is refused, or None if it is taken.

    Parameters
    ----------
    load : AdmissionLoad
        The load at this owner.
    document : Document
        The service's document in force.
    job : JobSpec
        The job, with its deadline settled.
    """
    missing = sorted({task.kind for task in job.tasks} - load.kinds)
    if missing:
        return refuse(NO_TARGET, f"No target for {', '.join(missing)}.")
    if load.queued_tasks + len(job.tasks) > document.queued_tasks:
        return refuse(QUEUE_FULL, f"{load.queued_tasks} tasks wait here.")
    quota = document.customer(job.customer).max_tasks
    allowance = customer_allowance(quota, load.owned_share)
    # A job larger than the allowance is taken alone, or it never could be.
    if load.customer_tasks and load.customer_tasks + len(job.tasks) > allowance:
        return refuse(CUSTOMER_LIMIT, f"{load.customer_tasks} tasks of {allowance}.")
    if len(job.tasks) > quota:
        return refuse(CUSTOMER_LIMIT, f"The job has more than {quota} tasks.")
    if expected_wait_ms(load) >= job.deadline_ms:
        return refuse(
            DEADLINE_UNREACHABLE,
            f"About {expected_wait_ms(load):.0f} ms of work waits ahead.",
        )
    return None


def apply_deadline_limits(job: JobSpec, document: Document) -> JobSpec:
    """Return the job with the deadline that applies to it."""
    asked = job.deadline_ms or document.default_ms
    return job._replace(deadline_ms=min(asked, document.max_ms))
