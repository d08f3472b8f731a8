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
)


class Prospect(NamedTuple):
    """A speed of targets, and the shortest expected wait for one of them.

    Attributes
    ----------
    wait_s : float
        Wait in seconds that the guard reports for the queue.
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
    """Expected waits for targets of each speed, by service and queue.

    Parameters
    ----------
    candidates : iterable of TargetCandidate
        The targets that accept runs.
    """

    def __init__(self, candidates: Iterable[TargetCandidate]) -> None:
        self.statuses = [candidate.target_status for candidate in candidates]
        self.by_queue: dict[tuple[str, str], list[Prospect]] = {}

    def prospects(self, service: str, queue: str) -> list[Prospect]:
        """Return the shortest waits, each for faster targets than the one before."""
        key = service, queue
        if key not in self.by_queue:
            self.by_queue[key] = self.shortest_waits(service, queue)
        return self.by_queue[key]

    def shortest_waits(self, service: str, queue: str) -> list[Prospect]:
        """Return the waits that no faster target undercuts, shortest first."""
        found: list[Prospect] = []
        for prospect in sorted(
            Prospect(
                sum(w.wait_ms for w in status.queue_waits if w.queue == queue) / 1000,
                status.slowness,
            )
            for status in self.statuses
            if status.service == service
        ):
            if not found or prospect.slowness < found[-1].slowness:
                found.append(prospect)
        return found

    def is_worth_using(
        self, service: str, slowness: float, estimate_s: float, look_ahead: LookAhead
    ) -> bool:
        """Return whether a task should use a target rather than wait for another.

        Parameters
        ----------
        service : str
            Service of the task's queue.
        slowness : float
            Slowness of the target.
        estimate_s : float
            Declared run time of the task in seconds.
        look_ahead : LookAhead
            How long the task may wait.
        """
        if slowness * estimate_s <= look_ahead.end_within_s:
            return True
        return not any(
            prospect.wait_s <= look_ahead.max_wait_s
            and prospect.wait_s + prospect.slowness * estimate_s
            <= look_ahead.end_within_s
            for prospect in self.prospects(service, look_ahead.queue)
        )


# Without known waits for other targets, any target is worth using.
NO_OUTLOOK = TargetOutlook(())
