"""Look-ahead over the expected ends of runs, so that large tasks get free capacity.

Load pattern: small tasks leave gaps that large tasks cannot use, and large tasks wait
long.
"""

from typing import NamedTuple

from hawthorntrack.state.resources import Resources


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


def backfill_plan(first: Resources, room: RoomView, now: float) -> BackfillPlan | None:
    """Return the reservation for a task that does not fit now; None for no reservation.

    Parameters
    ----------
    first : Resources
        Need of the first task in the order.
    room : RoomView
        Capacity of the target.
    now : float
        Current time in seconds.
    """
    return None
