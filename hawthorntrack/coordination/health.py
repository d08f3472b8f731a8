"""Decides when a failing target is ejected, and when a probe may bring it back."""

from typing import NamedTuple

# Counts distinct jobs with a failed task since the last success, because one job whose
# tasks always fail must not eject a target.
FAILED_JOBS_BEFORE_EJECTION = 3
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0


class Health(NamedTuple):
    """Health of a target as far as its task results show it.

    Attributes
    ----------
    failed_jobs : frozenset of str
        Jobs with a task that failed by the target's fault since the last success.
    ejected_until : float
        End of the ejection, on the clock that gives `now`; 0.0 when in service.
    ejections : int
        Consecutive ejections. Each doubles the duration of the next one.
    probing : bool
        Whether one task has been started to test the target after an ejection.
    """

    failed_jobs: frozenset[str] = frozenset()
    ejected_until: float = 0.0
    ejections: int = 0
    probing: bool = False


def after_result(health: Health, job: str, target_fault: bool, now: float) -> Health:
    """Return the health after the result of one task.

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
    """Return how many tasks the target may run: `slots`, none, or a single probe."""
    if health.ejected_until > now:
        return 0
    return 1 if health.ejections else slots


def after_task_start(health: Health) -> Health:
    """Return the health after a task start, which is a probe after an ejection."""
    return health._replace(probing=True) if health.ejections else health
