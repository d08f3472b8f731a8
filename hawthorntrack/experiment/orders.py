"""Compares orders of waiting in simulated time, on the same arrivals."""

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

WINDOW_S = 2.0  # one in which callers judge the service
SERVED = frozenset({"in_time", "late"})
LARGEST_SHARE = 0.1  # of a kind's jobs, by their work


class OrderResult(NamedTuple):
    """How callers were served under one order of waiting.

    Attributes
    ----------
    credit : float
        Share of the jobs answered in time, as a mean over the queues.
    by_queue : dict of str to float
        Share of each queue's jobs answered in time.
    largest : float
        Share served, also late, of the largest tenth of a kind over that of the
        whole kind, for the kind where that is lowest.
    worst : float
        Share in time in the worst window.
    """

    order: str
    credit: float
    by_queue: dict[str, float]
    largest: float
    worst: float


def share_in_time(
    answers: Iterable[Answered], good: frozenset[str] = frozenset({"in_time"})
) -> float:
    """Return the share of jobs that were answered in time, or in another good way.

    Examples
    --------
    >>> late = Answered(0.0, "a", "late", 1.0)
    >>> share_in_time([late, late._replace(answer="in_time")])
    0.5
    """
    results = [item.answer in good for item in answers]
    return sum(results) / max(1, len(results))


def largest_against_all(answers: list[Answered]) -> float:
    """Return how the largest tenth of one kind is served, against the whole kind."""
    by_work = sorted(answers, key=lambda item: -item.work)
    largest = by_work[: max(1, round(len(by_work) * LARGEST_SHARE))]
    whole = share_in_time(answers, SERVED)
    return share_in_time(largest, SERVED) / whole if whole else 1.0


def result_of(order: str, answers: list[Answered]) -> OrderResult:
    """Return how the jobs of a run were served."""
    queues = sorted({item.queue for item in answers})
    of_queue = {q: [item for item in answers if item.queue == q] for q in queues}
    windows: dict[int, list[Answered]] = {}
    for item in answers:
        windows.setdefault(int(item.at / WINDOW_S), []).append(item)
    full = [jobs for number, jobs in sorted(windows.items())][1:-1]
    by_queue = {name: share_in_time(jobs) for name, jobs in of_queue.items()}
    return OrderResult(
        order,
        fmean(by_queue.values()) if by_queue else 0.0,
        by_queue,
        min(map(largest_against_all, of_queue.values()), default=1.0),
        min(map(share_in_time, full), default=1.0),
    )


def play_order(
    order: str, load: float, seconds: float, seed: int, site: Site = SMALL_SITE
) -> OrderResult:
    """Play a load under one order of waiting."""
    model = ModelSite(site, seed, order)
    in_simulated_time(model.play(seconds, factor=lambda at: load))
    return result_of(order, model.answers)


def compare_orders(
    names: Iterable[str], load: float, seconds: float, seed: int
) -> list[OrderResult]:
    """Play a load under each order, the best credit first."""
    results = [play_order(name, load, seconds, seed) for name in names]
    return sorted(results, key=lambda result: -result.credit)
