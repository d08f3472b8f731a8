"""Decisions on which target a task goes to, by room, speed and distance.

Load pattern: targets that differ threefold in speed, filled to the last core, with
jobs of up to 32 tasks whose answer waits for the slowest one.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from hawthorntrack.coordination.placement import CROSS_ZONE_RTT_MS
from hawthorntrack.protocol.run_messages import TargetStatus
from hawthorntrack.state.plans import StepSpec
from hawthorntrack.state.resources import Resources

FULL_TARGET_DELAY_MS = (
    2.0  # a full target's tasks start that much later than an idle one's
)


class TargetCandidate(NamedTuple):
    """A target as a task sees it.

    Attributes
    ----------
    address : str
        Its guard.
    free : Resources
        Room left after what was sent and is not yet confirmed.
    same_step_tasks : int
        Tasks of the same step that are there already.
    """

    address: str
    target_status: TargetStatus
    free: Resources
    same_step_tasks: int = 0


def is_feasible(target_status: TargetStatus, step: StepSpec) -> bool:
    """Return whether a target could ever run a step's task."""
    return step.need.fits_in(target_status.capacity) and (
        not step.label or step.label in target_status.labels
    )


def expected_duration_s(
    place: TargetCandidate, step: StepSpec, zone: str, far_factor: float
) -> float:
    """Return how long a task is expected to take at a place, distance included."""
    run_s = step.estimate_s * place.target_status.slowness
    if step.rack and step.rack not in place.target_status.labels:
        run_s *= far_factor
    away_s = CROSS_ZONE_RTT_MS / 1000 * (place.target_status.zone != zone)
    used = 1 - place.free.cpu_m / max(1, place.target_status.capacity.cpu_m)
    return run_s + away_s + used * FULL_TARGET_DELAY_MS / 1000


def choose_target(
    places: Iterable[TargetCandidate],
    step: StepSpec,
    zone: str,
    far_factor: float,
    avoid: frozenset[str] = frozenset(),
    slowest: float = math.inf,
) -> TargetCandidate | None:
    """Return the place where a task should end first, or None if none has room.

    Parameters
    ----------
    places : iterable of TargetCandidate
        Targets that take runs now.
    step : StepSpec
        What the task needs.
    zone : str
        Zone of the dispatcher.
    far_factor : float
        Factor on the run time away from the step's rack.
    avoid : frozenset of str
        Guards where the task failed; used only if no other has room.
    slowest : float
        Places with a higher slowness are passed over.
    """
    able = [
        place
        for place in places
        if step.need.fits_in(place.free)
        and place.target_status.slowness <= slowest
        and is_feasible(place.target_status, step)
        and not (step.per_target and place.same_step_tasks >= step.per_target)
    ]
    better = [place for place in able if place.address not in avoid] or able
    return min(
        better,
        key=lambda p: expected_duration_s(p, step, zone, far_factor),
        default=None,
    )
