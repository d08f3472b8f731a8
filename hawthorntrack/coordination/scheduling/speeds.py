"""Slowness of targets by their kind, for targets that have run no task yet.

Load pattern: targets of uneven speed. Where a new target counted as the fastest, each
new slow target drew tasks that ended there too late.
"""

from collections import defaultdict
from collections.abc import Iterable
from statistics import fmean

from hawthorntrack.protocol.run_messages import TargetStatus

# Slowness of all targets as long as none has been measured.
NOMINAL_SLOWNESS = 1.0
# A deployment has a few kinds of target per service.
MAX_KINDS = 256


def kind_of(status: TargetStatus) -> tuple[str, str]:
    """Return the service and kind of a target; its first label names its kind."""
    return status.service, status.labels[0] if status.labels else ""


class KindSpeeds:
    """Mean slowness of the measured targets of each service and kind.

    Explanation
    -----------
    A kind keeps its mean while none of its targets is measured, for instance when all
    of them are replaced. A kind that was never measured counts as fast as the fastest
    measured target: if it counted as slower, its targets would get tasks only once all
    measured ones are full, and would not be measured.

    Examples
    --------
    >>> speeds = KindSpeeds()
    >>> target = TargetStatus("ready", "visits", labels=("wide",), slowness=1.7)
    >>> speeds.update([target])
    >>> speeds.assume(target._replace(slowness=0.0)).slowness
    1.7
    """

    def __init__(self) -> None:
        self.mean_slowness: dict[tuple[str, str], float] = {}
        self.lowest_slowness = NOMINAL_SLOWNESS

    def update(self, statuses: Iterable[TargetStatus]) -> None:
        """Update the means with the newest reports of the working set."""
        measured = defaultdict(list)
        for status in statuses:
            if status.slowness:
                measured[kind_of(status)].append(status.slowness)
        for kind, values in measured.items():
            if kind in self.mean_slowness or len(self.mean_slowness) < MAX_KINDS:
                self.mean_slowness[kind] = fmean(values)
        if measured:
            self.lowest_slowness = min(map(min, measured.values()))

    def assume(self, status: TargetStatus) -> TargetStatus:
        """Return a status, with the slowness of its kind if it has none measured."""
        if status.slowness:
            return status
        slowness = self.mean_slowness.get(kind_of(status), self.lowest_slowness)
        return status._replace(slowness=slowness)
