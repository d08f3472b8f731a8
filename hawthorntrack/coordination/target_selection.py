"""Selection of a target for a task, by free capacity, speed and distance.

Load pattern: targets that differ by a factor of three in speed and are used to the
last core, with jobs of up to 32 tasks whose answer waits for the slowest task.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

from hawthorntrack.coordination.placement import CROSS_ZONE_RTT_MS
from hawthorntrack.coordination.scheduling.lookahead import LOOK_AHEAD_HORIZONS_S
from hawthorntrack.protocol.run_messages import TargetStatus
from hawthorntrack.state.plans import StepSpec
from hawthorntrack.state.resources import Resources

# Measured slowness differs by about this share between targets of the same speed.
SIMILAR_DURATION_SHARE = 0.15
# Targets of similar speed with less than this share of their capacity free are left to
# the tasks that need them: a job of average width needs about a sixth of a target.
SCARCE_FREE_SHARE = 0.15
# Capacity that is not expected within the last horizon may be free after twice as long.
BEYOND_HORIZONS_S = 2 * LOOK_AHEAD_HORIZONS_S[-1]
# Time of a task's start and of its answer besides its run: two round trips between
# zones, two calls to the target, and the time until each message is read.
START_ALLOWANCE_S = 0.01
# A waiting job uses any target this long before it would be refused: two intervals at
# which an entry instance looks at its waiting jobs.
LAST_CHANCE_S = 0.04


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


class LookAhead(NamedTuple):
    """How long a task may wait for a better target than those that are free now.

    Attributes
    ----------
    queue : str
        Queue of the task's job.
    max_wait_s : float
        Longest time that the task may still wait for a target, in seconds.
    end_within_s : float
        Time in seconds within which the task must end for its job to be answered
        within its objective.
    """

    queue: str
    max_wait_s: float
    end_within_s: float


def look_ahead_for(
    queue: str,
    begun: bool,
    placement_left_s: float,
    objective_left_s: float,
    path_after_s: float,
) -> LookAhead:
    """Return how long a task may wait.

    Parameters
    ----------
    begun : bool
        Whether a task of the job has been placed, so that it is not refused any more.
    placement_left_s : float
        Time in seconds until the job is refused if no task of it has been placed.
    objective_left_s : float
        Time in seconds until the end of the job's objective.
    path_after_s : float
        Declared run time along the longest chain of steps after the task's step.

    Examples
    --------
    >>> look_ahead_for("long", False, 1.04, 3.01, 0.0)
    LookAhead(queue='long', max_wait_s=1.0, end_within_s=3.0)
    """
    end_within_s = objective_left_s - path_after_s - START_ALLOWANCE_S
    max_wait_s = end_within_s if begun else placement_left_s - LAST_CHANCE_S
    return LookAhead(queue, max_wait_s, end_within_s)


def paths_after_s(steps: tuple[StepSpec, ...]) -> list[float]:
    """Return for each step the declared run time of the longest chain after it.

    Examples
    --------
    >>> from hawthorntrack.state.resources import NO_RESOURCES
    >>> steps = (StepSpec(2, NO_RESOURCES, 0.4), StepSpec(1, NO_RESOURCES, 0.2, (0,)))
    >>> paths_after_s(steps)
    [0.2, 0.0]
    """
    after_s = [0.0] * len(steps)
    for number in reversed(range(len(steps))):
        for predecessor in steps[number].depends_on:
            path_s = after_s[number] + steps[number].estimate_s
            after_s[predecessor] = max(after_s[predecessor], path_s)
    return after_s


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


def expected_wait_s(candidate: TargetCandidate, need: Resources, queue: str) -> float:
    """Return the time in which a need is expected to fit; infinity if unknown.

    Explanation
    -----------
    Capacity that will be free is also wanted by the tasks that wait at the guard, so
    the wait is at least the one that the guard reports for the queue.
    """
    if need.fits_in(candidate.free):
        return 0.0
    status = candidate.target_status
    if len(status.free_soon_cpu_m) != len(LOOK_AHEAD_HORIZONS_S):
        return math.inf
    taken_cpu_m = status.free.cpu_m - candidate.free.cpu_m
    fitting = (
        horizon_s
        for horizon_s, free_cpu_m in zip(
            LOOK_AHEAD_HORIZONS_S, status.free_soon_cpu_m, strict=True
        )
        if need.cpu_m <= free_cpu_m - taken_cpu_m
    )
    reported = (wait.wait_ms for wait in status.queue_waits if wait.queue == queue)
    return max(next(fitting, BEYOND_HORIZONS_S), next(reported, 0) / 1_000)


def free_share(targets: Iterable[TargetCandidate]) -> float:
    """Return the share of the processor capacity of targets that is free."""
    targets = list(targets)
    capacity = sum(target.target_status.capacity.cpu_m for target in targets)
    free = sum(max(0, target.free.cpu_m) for target in targets)
    return free / max(1, capacity)


def leave_scarce_targets(
    in_time: list[TargetCandidate],
    usable: list[TargetCandidate],
    durations_s: dict[str, float],
) -> list[TargetCandidate]:
    """Return the targets with room on which a task ends in time, less scarce fast ones.

    Explanation
    -----------
    Load pattern: quick tasks end in time on any target, long tasks only on the fast
    ones. If the quick ones fill up the fast targets, the long ones wait although the
    slow targets are idle. Of targets that are about as fast as one another, those with
    little free capacity are therefore left out as long as there are slower ones.
    """
    while True:
        limit_s = (1 + SIMILAR_DURATION_SHARE) * min(
            durations_s[target.address] for target in in_time
        )
        slower = [target for target in in_time if durations_s[target.address] > limit_s]
        similar = [
            target for target in usable if durations_s[target.address] <= limit_s
        ]
        if not slower or free_share(similar) >= SCARCE_FREE_SHARE:
            return in_time
        in_time = slower


def targets_worth_using(
    with_room: list[TargetCandidate],
    usable: list[TargetCandidate],
    step: StepSpec,
    zone: str,
    far_factor: float,
    look_ahead: LookAhead,
) -> list[TargetCandidate]:
    """Return the targets with room that a task should use now; none if it should wait.

    Explanation
    -----------
    A target on which the task ends in time is used at once. Otherwise the task waits
    if it is expected to end in time on a target that is full now, or to end clearly
    earlier there than on any target with room, and may wait that long.

    Parameters
    ----------
    with_room : list of TargetCandidate
        Targets into which the task fits now.
    usable : list of TargetCandidate
        All targets that can run the task, full ones included.
    step, zone, far_factor
        As for `choose_target`.
    look_ahead : LookAhead
        How long the task may wait.
    """
    if not with_room:
        return []
    durations_s = {
        target.address: expected_duration_s(target, step, zone, far_factor)
        for target in {
            target.address: target for target in [*usable, *with_room]
        }.values()
    }
    in_time = [
        target
        for target in with_room
        if durations_s[target.address] <= look_ahead.end_within_s
    ]
    if in_time:
        return leave_scarce_targets(in_time, usable, durations_s)
    waits_s = {
        target.address: expected_wait_s(target, step.need, look_ahead.queue)
        for target in usable
    }
    first_end_s = min(
        (
            wait_s + durations_s[address]
            for address, wait_s in waits_s.items()
            if wait_s <= look_ahead.max_wait_s
        ),
        default=math.inf,
    )
    end_now_s = min(durations_s[target.address] for target in with_room)
    clearly_earlier = first_end_s * (1 + SIMILAR_DURATION_SHARE) < end_now_s
    if first_end_s <= look_ahead.end_within_s or clearly_earlier:
        return []
    return with_room


def choose_target(
    candidates: Iterable[TargetCandidate],
    step: StepSpec,
    zone: str,
    far_factor: float,
    avoid: frozenset[str] = frozenset(),
    max_slowness: float = math.inf,
    look_ahead: LookAhead | None = None,
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
    look_ahead : LookAhead, optional
        How long the task may wait for a better target; without it, any target with
        room is used. With it, None may also mean that the task should wait.
    """
    usable = [
        candidate
        for candidate in candidates
        if candidate.target_status.slowness <= max_slowness
        and is_feasible(candidate.target_status, step)
        and not (step.per_target and candidate.same_step_tasks >= step.per_target)
    ]
    eligible = [candidate for candidate in usable if step.need.fits_in(candidate.free)]
    preferred = [
        candidate for candidate in eligible if candidate.address not in avoid
    ] or eligible
    if look_ahead is not None:
        unavoided = [
            candidate for candidate in usable if candidate.address not in avoid
        ]
        preferred = targets_worth_using(
            preferred, unavoided, step, zone, far_factor, look_ahead
        )
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
