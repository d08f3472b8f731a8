"""An owner's view of a guard for placement, and moving averages."""

from typing import NamedTuple

from hawthorntrack.state.values import Incarnation, Location, TargetLoad

MOVING_AVERAGE_WEIGHT = 0.2


class GuardView(NamedTuple):
    """The state of a guard and its target that an owner uses to place tasks.

    Attributes
    ----------
    outstanding : int
        Number of tasks that this owner sent to the guard and that have not returned.
    heard_at : float
        Loop time of the newest heartbeat or load, in seconds.
    sent_since_heartbeat : int
        Number of tasks sent recently that the load may not include yet.
    """

    incarnation: Incarnation
    place: Location
    load: TargetLoad
    outstanding: int
    heard_at: float
    sent_since_heartbeat: int = 0

    @property
    def pending_tasks(self) -> int:
        """Number of tasks that run or wait at the guard or are on the way to it."""
        return max(
            self.load.busy + self.load.queued + self.sent_since_heartbeat,
            self.outstanding,
        )

    @property
    def free(self) -> int:
        """Number of slots expected to be free; negative if tasks wait."""
        return self.load.slots - self.pending_tasks


def moving_average(
    old: float, new: float, weight: float = MOVING_AVERAGE_WEIGHT
) -> float:
    """Return the moving average after one more measurement.

    Parameters
    ----------
    weight : float
        Weight of the new measurement, from 0 to 1.

    Examples
    --------
    >>> moving_average(1.0, 2.0, 0.5)
    1.5
    """
    return old + (new - old) * weight
