"""Decisions on tasks that a guard sent back unstarted."""

from typing import NamedTuple

from hawthorntrack.state.documents import Document
from hawthorntrack.state.token_bucket import TokenBucket

FIRST_BACKOFF_S = 0.005
LONGEST_BACKOFF_S = 0.5
BUDGET_BURST = 200
BUDGET_FLOOR_PER_S = 20.0  # so that an idle owner can still place again


class RetryDecision(NamedTuple):
    """What becomes of a task that was sent back.

    Attributes
    ----------
    retry : bool
        Whether it is placed again.
    delay_s : float
        Time before that, in seconds.
    """

    retry: bool
    delay_s: float


def new_budget() -> TokenBucket:
    """Return the budget of one owner, to which each first sending adds."""
    return TokenBucket(BUDGET_FLOOR_PER_S, BUDGET_BURST)


def decide_retry(
    attempt: int, document: Document, budget: TokenBucket, now: float
) -> RetryDecision:
    """Decide on a task that was offered `attempt` times and sent back.

    Explanation
    -----------
    An empty budget delays the next try instead of failing the job: the deadline
    bounds it, and an overload is not made worse meanwhile.

    Parameters
    ----------
    attempt : int
        How often it was offered, from 1.
    budget : TokenBucket
        The owner's retry budget.
    now : float
        Loop time in seconds.
    """
    if attempt >= document.max_attempts:
        return RetryDecision(False, 0.0)
    if not budget.take(now):
        return RetryDecision(True, LONGEST_BACKOFF_S)
    backoff = min(LONGEST_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (attempt - 1))
    return RetryDecision(True, backoff)
