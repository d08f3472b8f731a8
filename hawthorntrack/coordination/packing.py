"""Decisions on which target a task goes to, by room, speed and distance.

Load pattern: targets that differ threefold in speed, filled to the last core, with
jobs of up to 32 tasks whose answer waits for the slowest one.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from hawthorntrack.coordination.placement import OTHER_ZONE_MS
from hawthorntrack.protocol.dispatch import TargetRoom
from hawthorntrack.state.plans import StepSpec
from hawthorntrack.state.resources import Resources

CROWDING_MS = 2.0  # a full target's tasks start that much later than an idle one's


class Place(NamedTuple):
    """A target as a task sees it.

    Attributes
    ----------
    address : str
        Its guard.
    free : Resources
        Room left after what was sent and is not yet confirmed.
    siblings : int
        Tasks of the same step that are there already.
    """

    address: str
    room: TargetRoom
    free: Resources
    siblings: int = 0


def suits(room: TargetRoom, step: StepSpec) -> bool:
    """Return whether a target could ever run a step's task."""
    return step.need.fits(room.capacity) and (
        not step.label or step.label in room.labels
    )


def expected_s(place: Place, step: StepSpec, zone: str, far_factor: float) -> float:
    """Return how long a task is expected to take at a place, distance included."""
    run_s = step.estimate_s * place.room.slowness
    if step.rack and step.rack not in place.room.labels:
        run_s *= far_factor
    away_s = OTHER_ZONE_MS / 1000 * (place.room.zone != zone)
    used = 1 - place.free.cpu_m / max(1, place.room.capacity.cpu_m)
    return run_s + away_s + used * CROWDING_MS / 1000


def choose_place(
    places: Iterable[Place],
    step: StepSpec,
    zone: str,
    far_factor: float,
    avoid: frozenset[str] = frozenset(),
    slowest: float = math.inf,
) -> Place | None:
    """Return the place where a task should end first, or None if none has room.

    Parameters
    ----------
    places : iterable of Place
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
        if step.need.fits(place.free)
        and place.room.slowness <= slowest
        and suits(place.room, step)
        and not (step.per_target and place.siblings >= step.per_target)
    ]
    better = [place for place in able if place.address not in avoid] or able
    return min(
        better, key=lambda p: expected_s(p, step, zone, far_factor), default=None
    )
