"""Whether a waiting task should use a target, or wait for one on which it is in time.

Load pattern: targets of uneven speed, all of them full. Long tasks that start in the
first capacity that is offered to them end after their objective on slow targets.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from hawthorntrack.coordination.target_selection import (
    SIMILAR_DURATION_SHARE,
    LookAhead,
    TargetCandidate,
    expected_wait_s,
    is_feasible,
)
from hawthorntrack.state.plans import StepSpec


class Prospect(NamedTuple):
    """A speed of targets, and the shortest expected wait for one of them.

    Attributes
    ----------
    wait_s : float
        Time in seconds until capacity is expected to be free there.
    """

    wait_s: float
    slowness: float


def speed_class(slowness: float) -> int:
    """Return a number that is equal for targets of about the same slowness.

    Examples
    --------
    >>> speed_class(1.0), speed_class(1.05), speed_class(1.7)
    (0, 0, 4)
    """
    return round(math.log(slowness or 1.0, 1 + SIMILAR_DURATION_SHARE))


class TargetOutlook:
    """Expected waits for targets of each speed.

    Explanation
    -----------
    Tasks of one queue need similar amounts, so the waits are computed once for each
    queue, label and set of excluded guards, with the need of the first task.

    Parameters
    ----------
    candidates : iterable of TargetCandidate
        The targets that accept runs.
    """

    def __init__(self, candidates: Iterable[TargetCandidate]) -> None:
        self.candidates = list(candidates)
        self.cache: dict[tuple, list[Prospect]] = {}

    def prospects(
        self, service: str, queue: str, step: StepSpec, excluded: frozenset[str]
    ) -> list[Prospect]:
        """Return the shortest waits, each for faster targets than the one before."""
        key = service, queue, step.label, excluded
        if key not in self.cache:
            self.cache[key] = self.shortest_waits(service, queue, step, excluded)
        return self.cache[key]

    def shortest_waits(
        self, service: str, queue: str, step: StepSpec, excluded: frozenset[str]
    ) -> list[Prospect]:
        """Return the waits that no faster target undercuts, shortest first."""
        found: list[Prospect] = []
        for prospect in sorted(
            Prospect(
                expected_wait_s(candidate, step.need, queue),
                candidate.target_status.slowness,
            )
            for candidate in self.candidates
            if candidate.target_status.service == service
            and candidate.address not in excluded
            and is_feasible(candidate.target_status, step)
        ):
            if not found or prospect.slowness < found[-1].slowness:
                found.append(prospect)
        return found

    def is_worth_using(
        self,
        service: str,
        slowness: float,
        step: StepSpec,
        excluded: frozenset[str],
        look_ahead: LookAhead,
    ) -> bool:
        """Return whether a task should use a target rather than wait for another.

        Parameters
        ----------
        service : str
            Service of the task's queue.
        slowness : float
            Slowness of the target.
        step : StepSpec
            Step of the task.
        excluded : frozenset of str
            Guards that must not get the task.
        look_ahead : LookAhead
            How long the task may wait.
        """
        estimate_s = step.estimate_s
        if slowness * estimate_s <= look_ahead.end_within_s:
            return True
        return not any(
            prospect.wait_s <= look_ahead.max_wait_s
            and prospect.wait_s + prospect.slowness * estimate_s
            <= look_ahead.end_within_s
            for prospect in self.prospects(service, look_ahead.queue, step, excluded)
        )


# Without known waits for other targets, any target is worth using.
NO_OUTLOOK = TargetOutlook(())
