"""Selection of the targets on which tasks that may crash their target are run.

Load pattern: for seconds, some of the jobs crash each target that starts them, and
those beside them are lost with it. Placed again beside other work, each of these jobs
takes one more target from all others, until most are down. So the tasks that may be
the cause run apart from other work, one job at a time, on few targets.
"""

import math
from collections import defaultdict
from collections.abc import Iterable

from hawthorntrack.coordination.guard_peer import GuardPeer
from hawthorntrack.coordination.working_set import rendezvous_weight

# Share of a service's targets, rounded up.
QUARANTINE_SHARE = 0.05
# With fewer targets in service, none is set apart: no other work would be left.
MIN_TARGETS = 2
# Other work keeps away for this long after the newest suspicion, so that a target that
# was cleared for suspects does not fill up between two of them.
QUARANTINE_LINGER_S = 2.0
# A target that crashed under a suspect keeps its place for this long, so that suspects
# do not take one target after the other.
RETURN_LIMIT_S = 5.0


def quarantine_size(targets: int) -> int:
    """Return how many of a service's targets are set apart.

    Examples
    --------
    >>> quarantine_size(11), quarantine_size(160), quarantine_size(1)
    (1, 8, 0)
    """
    return math.ceil(QUARANTINE_SHARE * targets) if targets >= MIN_TARGETS else 0


def choose_quarantine(service: str, guards: Iterable[str]) -> list[str]:
    """Return the guards whose targets are set apart.

    Explanation
    -----------
    The order by a hash needs no agreement among entry instances: those that are linked
    to the same guards choose the same ones.
    """
    ordered = sorted(guards, key=lambda guard: rendezvous_weight(service, guard))
    return ordered[: quarantine_size(len(ordered))]


class Quarantine:
    """The targets that are set apart at present.

    Attributes
    ----------
    active_until : float
        When other work may use these targets again, in seconds.
    crashed_at : dict of str to float
        Time of the newest crash under a suspect of the target beside a guard, in
        seconds.
    """

    def __init__(self) -> None:
        self.active_until = 0.0
        self.crashed_at: dict[str, float] = {}

    def note_crash(self, guard: str, now: float) -> None:
        """Record that the target beside a guard crashed under a suspect."""
        self.crashed_at[guard] = now

    def extend(self, now: float) -> None:
        """Keep other work away from now on, for `QUARANTINE_LINGER_S` at least."""
        self.active_until = now + QUARANTINE_LINGER_S

    def guards(
        self, peers: Iterable[GuardPeer], zones_out: frozenset[str], now: float
    ) -> dict[str, frozenset[str]]:
        """Return the guards whose targets are set apart now, by service."""
        if now >= self.active_until:
            return {}
        by_service: dict[str, list[str]] = defaultdict(list)
        for peer in peers:
            crashed_at = self.crashed_at.get(peer.address, -math.inf)
            returns = peer.linked and now < crashed_at + RETURN_LIMIT_S
            if returns or peer.is_in_service(now, zones_out):
                by_service[peer.target_status.service].append(peer.address)
        return {
            service: frozenset(choose_quarantine(service, addresses))
            for service, addresses in by_service.items()
        }
