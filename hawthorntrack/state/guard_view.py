"""What an owner has learned of guards and their targets."""

from typing import NamedTuple

from hawthorntrack.state.values import Incarnation, Location, TargetLoad

MOVING_AVERAGE_WEIGHT = 0.2  # of the newest measurement in the moving average


class GuardView(NamedTuple):
    """A guard as an owner sees it when it places tasks.

    Attributes
    ----------
    outstanding : int
        Tasks that this owner sent there and that have not come back.
    heard_at : float
        Loop time of its newest heartbeat, in seconds.
    sent_since_heartbeat : int
        Tasks sent there since that heartbeat; its load does not count them yet.
    """

    incarnation: Incarnation
    place: Location
    load: TargetLoad
    outstanding: int
    heard_at: float
    sent_since_heartbeat: int = 0

    @property
    def pending_tasks(self) -> int:
        """Tasks running or waiting there, with those on their way."""
        return max(
            self.load.busy + self.load.queued + self.sent_since_heartbeat,
            self.outstanding,
        )

    @property
    def free(self) -> int:
        """Slots expected to be free."""
        return self.load.slots - self.pending_tasks


def moving_average(
    old: float, new: float, weight: float = MOVING_AVERAGE_WEIGHT
) -> float:
    """Return the moving average after one more measurement.

    Examples
    --------
    >>> moving_average(1.0, 2.0, 0.5)
    1.5
    """
    return old + (new - old) * weight
