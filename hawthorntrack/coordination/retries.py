"""Retries of tasks that a guard returned unstarted."""

from typing import NamedTuple

from hawthorntrack.state.documents import Document
from hawthorntrack.state.token_bucket import TokenBucket

FIRST_BACKOFF_S = 0.005
MAX_BACKOFF_S = 0.5
BUDGET_BURST = 200
# An owner that starts few tasks can still retry at this rate.
BUDGET_FLOOR_PER_S = 20.0


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
