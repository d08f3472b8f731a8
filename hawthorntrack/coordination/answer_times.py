"""Time limits for the answers of a target, which follow its measured answer times.

A limit below the time that a loaded target needs makes its guard repeat calls that are
still being worked on, and the repeats keep the target loaded. No lease depends on these
limits, since an order carries the end of its lease on the target's clock.
"""

from typing import NamedTuple

from hawthorntrack.protocol.target_messages import ORDER_TIMEOUT_S

# A renewal without an answer, its long poll included, takes 0.4 s of a target lease.
MAX_ORDER_TIMEOUT_S = 0.2
# Weights of the newest answer time and factor on the deviation, from TCP (RFC 6298).
MEAN_WEIGHT = 0.125
DEVIATION_WEIGHT = 0.25
DEVIATION_FACTOR = 4
BACKOFF_FACTOR = 2


class AnswerTimes(NamedTuple):
    """Moving averages of a target's answer times.

    Attributes
    ----------
    mean_s, deviation_s : float
        Averages of the answer time and of its absolute deviation, in seconds.
    backoff : int
        Factor on the limit because calls got no answer since the newest one.
    backed_off_at : float
        When `backoff` was last raised, in seconds.
    """

    mean_s: float = 0.0
    deviation_s: float = 0.0
    backoff: int = 1
    backed_off_at: float = 0.0


def timeout_s(times: AnswerTimes) -> float:
    """Return how long to wait for the next answer, in seconds.

    Examples
    --------
    >>> timeout_s(AnswerTimes()), timeout_s(AnswerTimes(0.08, 0.005))
    (0.05, 0.1)
    >>> timeout_s(AnswerTimes(0.08, 0.005, backoff=4))
    0.2
    """
    expected_s = times.mean_s + DEVIATION_FACTOR * times.deviation_s
    return min(MAX_ORDER_TIMEOUT_S, max(ORDER_TIMEOUT_S, expected_s) * times.backoff)


def after_answer(times: AnswerTimes, answer_s: float) -> AnswerTimes:
    """Return the averages after a call that was answered within a time in seconds.

    Explanation
    -----------
    A longer time than the largest limit was spent in a guard that was suspended.
    """
    error_s = min(answer_s, MAX_ORDER_TIMEOUT_S) - times.mean_s
    return AnswerTimes(
        times.mean_s + MEAN_WEIGHT * error_s,
        times.deviation_s + DEVIATION_WEIGHT * (abs(error_s) - times.deviation_s),
        backed_off_at=times.backed_off_at,
    )


def after_timeout(times: AnswerTimes, sent_at: float, now: float) -> AnswerTimes:
    """Return the averages after a call that got no answer within its limit.

    Explanation
    -----------
    Calls that were sent before the limit was last raised had the lower limit, so they
    do not raise it again.
    """
    if sent_at < times.backed_off_at or timeout_s(times) >= MAX_ORDER_TIMEOUT_S:
        return times
    return times._replace(backoff=times.backoff * BACKOFF_FACTOR, backed_off_at=now)
