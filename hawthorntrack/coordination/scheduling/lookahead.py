"""Look-ahead over the expected ends of runs, so that large tasks get free capacity.

Load pattern: small tasks leave gaps that large tasks cannot use, and large tasks wait
long.
"""

from collections.abc import Iterable
from typing import NamedTuple

from hawthorntrack.state.resources import Resources

# A status reports the capacity expected to be free within each of these times. The
# longest one covers most of a quick or small task's run; each is twice the one before,
# since an expectation is the less exact the further ahead it is.
LOOK_AHEAD_HORIZONS_S = (0.05, 0.1, 0.2, 0.4)
# Capacity is kept free for one task for at most this long, which is less than the run
# time of a quick task (0.12 s): keeping it longer costs more than a task that fits.
MAX_KEPT_S = 0.1


class ExpectedEnd(NamedTuple):
    """When a run is expected to end, and what it occupies until then.

    Attributes
    ----------
    at : float
        Expected time of the end, in seconds.
    """

    at: float
    need: Resources


class RoomView(NamedTuple):
    """Free capacity of a target now, and the ends that will add to it.

    Attributes
    ----------
    free : Resources
        Capacity that is neither occupied nor reserved.
    ends : tuple of ExpectedEnd
        Expected ends of the runs on the target.
    """

    free: Resources
    ends: tuple[ExpectedEnd, ...] = ()


class BackfillPlan(NamedTuple):
    """Reservation of future capacity for the first task in the order.

    Attributes
    ----------
    at : float
        Time at which the first task is expected to fit, in seconds.
    spare : Resources
        Capacity that is expected to be left then beside the first task. Another task
        may start now if it fits in this, or if it ends before `at`.
    """

    at: float
    spare: Resources


def free_at(room: RoomView, at: float) -> Resources:
    """Return the capacity that is free at a time if nothing is started until then."""
    free = room.free
    for end in room.ends:
        if end.at <= at:
            free = free.plus(end.need)
    return free


def earliest_fit(room: RoomView, need: Resources, now: float) -> float | None:
    """Return the earliest time at which a need fits; None if no end makes it fit.

    Examples
    --------
    >>> need = Resources(4_000)
    >>> room = RoomView(Resources(1_000), (ExpectedEnd(10.5, Resources(3_600)),))
    >>> earliest_fit(room, need, 10.0)
    10.5
    """
    free = room.free
    if need.fits_in(free):
        return now
    for end in sorted(room.ends, key=lambda end: end.at):
        free = free.plus(end.need)
        if need.fits_in(free):
            return max(now, end.at)
    return None


def free_within(
    room: RoomView, horizons_s: Iterable[float], now: float
) -> tuple[int, ...]:
    """Return the processor capacity that is free within each of the given times.

    Examples
    --------
    >>> room = RoomView(Resources(1_000), (ExpectedEnd(10.08, Resources(3_600)),))
    >>> free_within(room, LOOK_AHEAD_HORIZONS_S, 10.0)
    (1000, 4600, 4600, 4600)
    """
    ends = [(end.at, end.need.cpu_m) for end in room.ends]
    return tuple(
        max(0, room.free.cpu_m + sum(cpu_m for at, cpu_m in ends if at <= limit))
        for limit in (now + horizon_s for horizon_s in horizons_s)
    )


def backfill_plan(
    first: Resources, room: RoomView, now: float, kept_since: float | None = None
) -> BackfillPlan | None:
    """Return the reservation for a task that does not fit now; None for no reservation.

    Explanation
    -----------
    Only the first task in the order gets a reservation (EASY backfill). There is none
    if the task is expected to fit only later than `MAX_KEPT_S` after `kept_since`:
    expected ends that slip must not keep capacity free for ever.

    Parameters
    ----------
    first : Resources
        Need of the first task in the order.
    room : RoomView
        Capacity of the target.
    now : float
        Current time in seconds.
    kept_since : float, optional
        Time at which capacity was first kept free for this demand; now by default.
    """
    at = earliest_fit(room, first, now)
    limit = MAX_KEPT_S + (now if kept_since is None else min(now, kept_since))
    if at is None or at <= now or at > limit:
        return None
    return BackfillPlan(at, free_at(room, at).minus(first))


def backfill_limit_ms(plan: BackfillPlan, run_time_factor: float, now: float) -> int:
    """Return the longest declared run time that ends before the first task starts.

    Examples
    --------
    >>> plan = BackfillPlan(10.06, Resources())
    >>> backfill_limit_ms(plan, 1.5, 10.0)
    40
    """
    left_ms = round((plan.at - now) * 1_000)
    return max(0, left_ms * 1_000 // max(1, round(run_time_factor * 1_000)))
