"""Selection of a target for a task, by free capacity, speed and distance.

Load pattern: targets that differ by a factor of three in speed and are used to the
last core, with jobs of up to 32 tasks whose answer waits for the slowest task.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from hawthorntrack.coordination.placement import CROSS_ZONE_RTT_MS
from hawthorntrack.protocol.run_messages import TargetStatus
from hawthorntrack.state.plans import StepSpec
from hawthorntrack.state.resources import Resources

# Measured slowness differs by about this share between targets of the same speed.
SIMILAR_DURATION_SHARE = 0.15


class TargetCandidate(NamedTuple):
    """A target with its free capacity, as a candidate for a task.

    Attributes
    ----------
    address : str
        Address of its guard.
    free : Resources
        Reported free capacity, less the needs of runs sent but not yet reported.
    same_step_tasks : int
        Number of tasks of the same step already placed there.
    """

    address: str
    target_status: TargetStatus
    free: Resources
    same_step_tasks: int = 0


def is_feasible(target_status: TargetStatus, step: StepSpec) -> bool:
    """Return whether a target, if idle, could run a task of a step."""
    return step.need.fits_in(target_status.capacity) and (
        not step.label or step.label in target_status.labels
    )


def expected_duration_s(
    candidate: TargetCandidate, step: StepSpec, zone: str, far_factor: float
) -> float:
    """Return the expected time until a task ends on a target, distance included."""
    run_s = step.estimate_s * candidate.target_status.slowness
    if step.rack and step.rack not in candidate.target_status.labels:
        run_s *= far_factor
    return run_s + CROSS_ZONE_RTT_MS / 1000 * (candidate.target_status.zone != zone)


def assume_slowness(candidate: TargetCandidate, slowness: float) -> TargetCandidate:
    """Return a candidate, with a slowness for a target that has none measured yet.

    Explanation
    -----------
    Load pattern: empty targets are added to busy ones. If a new target counted as
    slower than the measured ones, it would get tasks only once all of them are full.
    """
    status = candidate.target_status
    if status.slowness:
        return candidate
    return candidate._replace(target_status=status._replace(slowness=slowness))


def room_for(candidate: TargetCandidate, need: Resources) -> int:
    """Return how many tasks fit into a target's free processor capacity."""
    return candidate.free.cpu_m // max(1, need.cpu_m)


def choose_target(
    candidates: Iterable[TargetCandidate],
    step: StepSpec,
    zone: str,
    far_factor: float,
    avoid: frozenset[str] = frozenset(),
    max_slowness: float = math.inf,
) -> TargetCandidate | None:
    """Return the target on which a task should end first, or None if none fits.

    Explanation
    -----------
    Load pattern: many entry instances place on the same targets and see the changes
    that the others make up to 0.2 s late. If all chose the target that seems fastest,
    most of their orders would be refused there for lack of room. Of targets that are
    about as fast as the fastest, the one with most room is chosen; a target in another
    zone counts as having room for one task less.

    Parameters
    ----------
    candidates : iterable of TargetCandidate
        Targets that accept runs now; of equal ones, the first is chosen.
    step : StepSpec
        The task's step, which states its needs.
    zone : str
        Zone of the dispatcher.
    far_factor : float
        Factor on the run time on a target outside the step's rack.
    avoid : frozenset of str
        Guards at which the task failed; chosen only if no other target fits.
    max_slowness : float
        Targets with a higher slowness are excluded.
    """
    eligible = [
        candidate
        for candidate in candidates
        if step.need.fits_in(candidate.free)
        and candidate.target_status.slowness <= max_slowness
        and is_feasible(candidate.target_status, step)
        and not (step.per_target and candidate.same_step_tasks >= step.per_target)
    ]
    preferred = [
        candidate for candidate in eligible if candidate.address not in avoid
    ] or eligible
    durations_s = [
        expected_duration_s(candidate, step, zone, far_factor)
        for candidate in preferred
    ]
    limit_s = (1 + SIMILAR_DURATION_SHARE) * min(durations_s, default=0.0)
    return max(
        (
            candidate
            for candidate, duration_s in zip(preferred, durations_s, strict=True)
            if duration_s <= limit_s
        ),
        key=lambda candidate: (
            room_for(candidate, step.need) - (candidate.target_status.zone != zone)
        ),
        default=None,
    )
