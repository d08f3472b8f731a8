"""What an owner has learned of guards and their targets."""

from typing import NamedTuple

from hawthorntrack.state.values import Incarnation, Place, TargetLoad

SPEED_WEIGHT = 0.2  # of the newest measurement in the moving average


class GuardView(NamedTuple):
    """A guard as an owner sees it when it places tasks.

    Attributes
    ----------
    outstanding : int
        Tasks that this owner sent there and that have not come back.
    heard_at : float
        Loop time of its newest heartbeat, in seconds.
    sent_since : int
        Tasks sent there since that heartbeat; its load does not count them yet.
    """

    incarnation: Incarnation
    place: Place
    load: TargetLoad
    outstanding: int
    heard_at: float
    sent_since: int = 0

    @property
    def waiting(self) -> int:
        """Tasks running or waiting there, with those on their way."""
        return max(
            self.load.busy + self.load.queued + self.sent_since, self.outstanding
        )

    @property
    def free(self) -> int:
        """Slots expected to be free."""
        return self.load.slots - self.waiting


def average(old: float, new: float, weight: float = SPEED_WEIGHT) -> float:
    """Return the moving average after one more measurement.

    Examples
    --------
    >>> average(1.0, 2.0, 0.5)
    1.5
    """
    return old + (new - old) * weight
