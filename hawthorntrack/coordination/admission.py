"""Admission control: whether an owner accepts a job, decided before it is recorded."""

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

# Lets an owner of few slots accept a job of ordinary size.
MIN_SHARE_TASKS = 8


class AdmissionLoad(NamedTuple):
    """Load that an owner sees when a job is offered to it.

    Attributes
    ----------
    kinds : frozenset of str
        Kinds of task that the targets in service run for the job's service.
    queued_tasks : int
        Tasks of this owner that wait to be placed.
    customer_tasks : int
        Unfinished tasks of the job's customer at this owner.
    owned_share : float
        Share of all slots that this guard owns, 0 to 1.
    work_ahead_ms : float
        Total run time of the tasks expected to be queued ahead in the fleet, in
        milliseconds.
    slots : int
        Number of slots of the targets that are in view and in service.
    """

    kinds: frozenset[str]
    queued_tasks: int
    customer_tasks: int
    owned_share: float
    work_ahead_ms: float
    slots: int


def customer_allowance(max_tasks: int, owned_share: float) -> int:
    """Return the number of unfinished tasks that one owner accepts from a customer.

    Explanation
    -----------
    Job keys are spread evenly over the slots, so an owner gets about its share of
    each customer's jobs. Twice that share allows for unevenness; the whole quota is
    the upper limit.

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
    """Return the refusal of a job, or None to accept it.

    Parameters
    ----------
    load : AdmissionLoad
        Load at this owner.
    document : Document
        Current configuration document of the service.
    job : JobSpec
        The job, after `apply_deadline_limits`.
    """
    unsupported_kinds = sorted({task.kind for task in job.tasks} - load.kinds)
    if unsupported_kinds:
        return refuse(NO_TARGET, f"No target for {', '.join(unsupported_kinds)}.")
    if load.queued_tasks + len(job.tasks) > document.queued_tasks:
        return refuse(QUEUE_FULL, f"{load.queued_tasks} tasks wait here.")
    quota = document.customer(job.customer).max_tasks
    allowance = customer_allowance(quota, load.owned_share)
    # A job larger than the allowance is accepted while the customer has no other
    # unfinished task here; otherwise it could never run.
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
    """Return the job with its deadline defaulted and limited by the document."""
    deadline_ms = job.deadline_ms or document.default_ms
    return job._replace(deadline_ms=min(deadline_ms, document.max_ms))
