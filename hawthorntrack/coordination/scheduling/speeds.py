"""Slowness of targets by their kind, for targets that have run no task yet.

Load pattern: targets of uneven speed. Where a new target counted as the fastest, each
new slow target drew tasks that ended there too late.
"""

from collections import defaultdict
from collections.abc import Iterable

from hawthorntrack.protocol.run_messages import TargetStatus

# Slowness of all targets as long as none has been measured.
NOMINAL_SLOWNESS = 1.0
# A deployment has a few kinds of target per service.
MAX_KINDS = 256


def kind_of(status: TargetStatus) -> tuple[str, str]:
    """Return the service and kind of a target; its first label names its kind."""
    return status.service, status.labels[0] if status.labels else ""


class KindSpeeds:
    """Lowest slowness of the measured targets of each service and kind.

    Explanation
    -----------
    A new target counts as fast as the fastest of its kind, and one of an unknown kind
    as fast as the fastest of all. If it counted as slower, as by the mean of a kind
    whose targets differ, it would get tasks only once the faster ones are full. A kind
    keeps its value while none of its targets is measured, for instance when all of them
    are replaced.

    Examples
    --------
    >>> speeds = KindSpeeds()
    >>> target = TargetStatus("ready", "visits", labels=("wide",), slowness=1.7)
    >>> speeds.update([target])
    >>> speeds.assume(target._replace(slowness=0.0)).slowness
    1.7
    """

    def __init__(self) -> None:
        self.slowness_by_kind: dict[tuple[str, str], float] = {}
        self.lowest_slowness = NOMINAL_SLOWNESS

    def update(self, statuses: Iterable[TargetStatus]) -> None:
        """Update the values with the newest reports of the working set."""
        measured = defaultdict(list)
        for status in statuses:
            if status.slowness:
                measured[kind_of(status)].append(status.slowness)
        for kind, values in measured.items():
            if kind in self.slowness_by_kind or len(self.slowness_by_kind) < MAX_KINDS:
                self.slowness_by_kind[kind] = min(values)
        if measured:
            self.lowest_slowness = min(map(min, measured.values()))

    def assume(self, status: TargetStatus) -> TargetStatus:
        """Return a status, with the slowness of its kind if it has none measured."""
        if status.slowness:
            return status
        slowness = self.slowness_by_kind.get(kind_of(status), self.lowest_slowness)
        return status._replace(slowness=slowness)
