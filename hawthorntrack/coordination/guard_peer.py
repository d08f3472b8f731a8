"""What a dispatcher knows of one guard."""

from hawthorntrack.coordination import leases
from hawthorntrack.coordination.target_selection import TargetCandidate
from hawthorntrack.protocol.run_messages import TargetStatus
from hawthorntrack.state.plans import RunName, TaskName
from hawthorntrack.state.resources import Resources

NO_NEW_RUNS_AFTER_S = 0.45  # two pulses: no new runs until it is heard again
LINK_TIMEOUT_S = 0.8  # the link is closed, so that the guard is no longer vouched for
NO_TARGET = TargetStatus("absent")


class GuardPeer:
    """One guard and the runs that were sent there.

    Attributes
    ----------
    nonce : str
        Tells which life of the guard the runs were sent to.
    unreported : dict of RunName to Resources
        Sent, and not yet in the room that the guard reports.
    runs : dict of TaskName to RunName
        What should run there.
    guard_clock_ms : int
        The guard's clock in its newest pulse.
    lease_confirmed_at : float
        When the guard was last told that its runs are still wanted.
    lease_confirmed_stamp : int
        The stamp of the directives that it was told then.
    incarnation_heard_at : float
        When the guard's present life was first heard.
    heard_at, heartbeat_at : float
        When any message, and the newest pulse, arrived; in seconds, suspended time
        included.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.nonce = ""
        self.linked = False
        self.target_status = NO_TARGET
        self.unreported: dict[RunName, Resources] = {}
        self.runs: dict[TaskName, RunName] = {}
        self.incarnation_heard_at = 0.0
        self.heard_at = 0.0
        self.heartbeat_at = 0.0
        self.guard_clock_ms = 0
        self.lease_confirmed_at = 0.0
        self.lease_confirmed_stamp = -1

    def begin_incarnation(self, nonce: str) -> None:
        """Forget what holds for one life of the guard only, its clock among it."""
        self.nonce, self.incarnation_heard_at = nonce, self.heard_at
        self.target_status = NO_TARGET
        self.guard_clock_ms = 0
        self.lease_confirmed_at = 0.0
        self.lease_confirmed_stamp = -1

    def update_capacity(self, target_status: TargetStatus) -> None:
        """Take a report of room in, unless a newer one is known."""
        if target_status.sequence > self.target_status.sequence:
            self.target_status = target_status

    def accepts_runs(self, now: float, zones_out: frozenset[str]) -> bool:
        """Return whether new runs may be sent."""
        return (
            self.linked
            and self.target_status.status == "ready"
            and self.target_status.zone not in zones_out
            and now - self.heard_at < NO_NEW_RUNS_AFTER_S
        )

    def to_candidate(self) -> TargetCandidate:
        """Return the target as tasks see it."""
        free = self.target_status.free
        for need in self.unreported.values():
            free = free.minus(need)
        return TargetCandidate(self.address, self.target_status, free)

    def earlier_leases_expired(self, now: float) -> bool:
        """Return whether no lease of the guard's earlier life can be left."""
        return now > leases.runs_stopped_by(
            leases.latest_lease_end(self.incarnation_heard_at)
        )

    def runs_gone_by(self) -> float:
        """Return when runs sent here are certainly gone if it stays silent."""
        return leases.runs_gone_by(self.heartbeat_at)
