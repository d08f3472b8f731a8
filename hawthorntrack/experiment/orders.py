"""Comparison of queue orders in simulated time on identical arrivals."""

from collections.abc import Iterable
from statistics import fmean
from typing import NamedTuple

from hawthorntrack.experiment.model_site import (
    SMALL_SITE,
    Answered,
    ModelSite,
    Site,
    in_simulated_time,
)

WINDOW_S = 2.0  # callers judge the service over windows of this length
SERVED = frozenset({"in_time", "late"})
LARGEST_SHARE = 0.1  # share of a kind's jobs, by work, that counts as its largest


class OrderResult(NamedTuple):
    """How callers were served under one queue order.

    Attributes
    ----------
    credit : float
        Mean over the queues of the share of jobs answered in time.
    by_queue : dict of str to float
        Share of each queue's jobs answered in time.
    largest : float
        Share of the largest tenth of a kind's jobs that is served, also late, divided
        by that share of the whole kind; the minimum over the kinds.
    worst : float
        Share answered in time in the worst window.
    """

    order: str
    credit: float
    by_queue: dict[str, float]
    largest: float
    worst: float


def share_in_time(
    answers: Iterable[Answered], good: frozenset[str] = frozenset({"in_time"})
) -> float:
    """Return the share of jobs whose answer is among the good ones.

    Examples
    --------
    >>> late = Answered(0.0, "a", "late", 1.0)
    >>> share_in_time([late, late._replace(answer="in_time")])
    0.5
    """
    results = [item.answer in good for item in answers]
    return sum(results) / max(1, len(results))


def relative_share_of_largest(answers: list[Answered]) -> float:
    """Return the share served of the largest tenth, relative to that of all jobs."""
    by_falling_work = sorted(answers, key=lambda item: -item.work)
    largest = by_falling_work[: max(1, round(len(by_falling_work) * LARGEST_SHARE))]
    share_of_all = share_in_time(answers, SERVED)
    return share_in_time(largest, SERVED) / share_of_all if share_of_all else 1.0


def result_of(order: str, answers: list[Answered]) -> OrderResult:
    """Return the result of a run from the answers to its jobs."""
    queues = sorted({item.queue for item in answers})
    answers_by_queue = {
        q: [item for item in answers if item.queue == q] for q in queues
    }
    windows: dict[int, list[Answered]] = {}
    for item in answers:
        windows.setdefault(int(item.at / WINDOW_S), []).append(item)
    complete_windows = [jobs for number, jobs in sorted(windows.items())][1:-1]
    by_queue = {name: share_in_time(jobs) for name, jobs in answers_by_queue.items()}
    return OrderResult(
        order,
        fmean(by_queue.values()) if by_queue else 0.0,
        by_queue,
        min(map(relative_share_of_largest, answers_by_queue.values()), default=1.0),
        min(map(share_in_time, complete_windows), default=1.0),
    )


def play_order(
    order: str, load: float, seconds: float, seed: int, site: Site = SMALL_SITE
) -> OrderResult:
    """Simulate a load under one queue order."""
    model = ModelSite(site, seed, order)
    in_simulated_time(model.play(seconds, factor=lambda at: load))
    return result_of(order, model.answers)


def compare_orders(
    names: Iterable[str], load: float, seconds: float, seed: int
) -> list[OrderResult]:
    """Simulate a load under each queue order; return results by falling credit."""
    results = [play_order(name, load, seconds, seed) for name in names]
    return sorted(results, key=lambda result: -result.credit)
