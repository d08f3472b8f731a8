"""Retries of tasks that a guard returned unstarted, and of calls to its target."""

from typing import NamedTuple

from hawthorntrack.state.documents import Document
from hawthorntrack.state.token_bucket import TokenBucket

FIRST_BACKOFF_S = 0.005
MAX_BACKOFF_S = 0.5
BUDGET_BURST = 200
# An owner that starts few tasks can still retry at this rate.
BUDGET_FLOOR_PER_S = 20.0
# Equals what the floor adds in one second.
TARGET_BUDGET_BURST = 20
# The share of repeats that an overloaded target has to bear beside the first calls.
TARGET_BUDGET_RATIO = 0.2


class RetryDecision(NamedTuple):
    """Whether, and after which delay, a returned task is placed again.

    Attributes
    ----------
    retry : bool
        Whether the task is placed again.
    delay_s : float
        Time before the retry, in seconds.
    """

    retry: bool
    delay_s: float


def new_budget() -> TokenBucket:
    """Return an owner's retry budget; the first attempt of each task adds to it."""
    return TokenBucket(BUDGET_FLOOR_PER_S, BUDGET_BURST)


def new_target_budget() -> TokenBucket:
    """Return a guard's budget for repeats; each first call to its target adds to it.

    Explanation
    -----------
    Repeats of calls that a slow target is still working on keep it slow. The budget
    covers repeated starts, duplicates of renewals, and run lists that are requested
    while another one is under way. Stops need none: until one is confirmed, it is
    repeated, and the lease of its run is not renewed.
    """
    return TokenBucket(BUDGET_FLOOR_PER_S, TARGET_BUDGET_BURST)


def decide_retry(
    attempt: int, document: Document, budget: TokenBucket, now: float
) -> RetryDecision:
    """Decide whether to place a task again after a guard returned it.

    Explanation
    -----------
    An empty budget delays the next attempt instead of failing the job: the deadline
    limits the attempts, and the delay keeps retries from worsening an overload.

    Parameters
    ----------
    attempt : int
        Number of the attempt that was returned, from 1.
    document : Document
        Configuration document of the service, with the highest number of attempts.
    budget : TokenBucket
        The owner's retry budget.
    now : float
        Loop time in seconds.
    """
    if attempt >= document.max_attempts:
        return RetryDecision(False, 0.0)
    if not budget.take(now):
        return RetryDecision(True, MAX_BACKOFF_S)
    backoff = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (attempt - 1))
    return RetryDecision(True, backoff)
