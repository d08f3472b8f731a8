"""Decisions on taking a target out that fails everything, and on probing it."""

from typing import NamedTuple

FAILED_JOBS_BEFORE_EJECTION = 3  # distinct jobs in a row whose tasks the target spoiled
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0


class Health(NamedTuple):
    """A target's standing.

    Attributes
    ----------
    failed_jobs : frozenset of str
        Jobs with a spoiled task since the last success.
    ejected_until : float
        Loop time in seconds; 0.0 when in service.
    ejections : int
        Ejections in a row, which lengthen the next one.
    probing : bool
        Whether one task is let through to see how it fares.
    """

    failed_jobs: frozenset[str] = frozenset()
    ejected_until: float = 0.0
    ejections: int = 0
    probing: bool = False


def after_result(health: Health, job: str, target_fault: bool, now: float) -> Health:
    """Return the standing after one task came back.

    Examples
    --------
    >>> health = Health()
    >>> for job in ("a", "b", "c"):
    ...     health = after_result(health, job, True, now=10.0)
    >>> health.ejected_until
    11.0
    """
    if not target_fault:
        return Health()
    failed = health.failed_jobs | {job}
    if not health.probing and len(failed) < FAILED_JOBS_BEFORE_EJECTION:
        return health._replace(failed_jobs=failed)
    duration_s = min(MAX_EJECTION_S, INITIAL_EJECTION_S * 2**health.ejections)
    return Health(frozenset(), now + duration_s, health.ejections + 1, False)


def capacity(health: Health, slots: int, now: float) -> int:
    """Return how many tasks the target may run at once: all, none, or one probe."""
    if health.ejected_until > now:
        return 0
    return 1 if health.ejections else slots


def after_task_start(health: Health) -> Health:
    """Return the standing once a task starts: after an ejection it is a probe."""
    return health._replace(probing=True) if health.ejections else health
