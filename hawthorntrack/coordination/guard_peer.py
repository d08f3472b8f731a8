"""State that a dispatcher keeps of one guard."""

from hawthorntrack.coordination import leases
from hawthorntrack.coordination.target_selection import TargetCandidate
from hawthorntrack.protocol.run_messages import TargetStatus
from hawthorntrack.state.lease_times import LeaseTimes
from hawthorntrack.state.plans import RunName, TaskName
from hawthorntrack.state.resources import Resources

# A guard that missed two heartbeats gets no new runs until a message from it arrives.
MAX_SILENCE_FOR_NEW_RUNS_S = 0.45
# The link to a guard that is silent for longer than this is closed, and the leases of
# its runs are no longer confirmed.
LINK_TIMEOUT_S = 0.8
NO_TARGET = TargetStatus("absent")
# A guard refuses orders for these reasons until its next heartbeat has been answered:
# by an order with a newer timestamp, or by a confirmation with newer directives.
REFUSALS_UNTIL_HEARTBEAT = frozenset(
    {"owner_silent", "stale_order", "zone_out", "zones_outdated"}
)
# Statuses with which a guard reports a target that has answered it.
VERIFIED_STATUSES = frozenset({"ready", "zone_out"})


class GuardPeer:
    """One guard and the runs that were sent to it.

    Attributes
    ----------
    address : str
        Address of the guard.
    lease_times : LeaseTimes
        Durations of leases.
    nonce : str
        Identifies the incarnation of the guard to which the runs were sent.
    linked : bool
        Whether there is a link to the guard.
    target_status : TargetStatus
        Newest report of the target's status and free resources.
    unreported : dict of RunName to Resources
        Needs of runs that were sent and that the reported free resources do not yet
        take into account.
    runs : dict of TaskName to RunName
        Runs that are placed at the guard, by task.
    guard_clock_ms : int
        The guard's clock in its newest heartbeat, in milliseconds.
    refused_clock_ms : int
        Timestamp with which the guard refuses all orders; -1 if there is none.
    lease_confirmed_at : float
        Arrival time of the heartbeat on which the leases of the runs at the guard were
        last confirmed, in seconds.
    lease_confirmed_stamp : int
        The stamp of the directives sent with that confirmation; -1 before the first on
        a link.
    sends_capacity_updates : bool
        Whether that confirmation requested an update on each change of capacity.
    told_outdated : bool
        Whether it told the guard that the directives are outdated.
    released : bool
        Whether the guard has left the working set, and its link is to be closed once no
        run is left there.
    incarnation_heard_at : float
        Arrival time of the first message of the guard's present incarnation, in
        seconds.
    heard_at, heartbeat_at : float
        Times at which the newest message of any kind, and the newest heartbeat,
        arrived; in seconds, suspended time included.
    """

    def __init__(self, address: str, lease_times: LeaseTimes) -> None:
        self.address = address
        self.lease_times = lease_times
        self.nonce = ""
        self.linked = False
        self.target_status = NO_TARGET
        self.unreported: dict[RunName, Resources] = {}
        self.runs: dict[TaskName, RunName] = {}
        self.incarnation_heard_at = 0.0
        self.heard_at = 0.0
        self.heartbeat_at = 0.0
        self.guard_clock_ms = 0
        self.refused_clock_ms = -1
        self.lease_confirmed_at = 0.0
        self.lease_confirmed_stamp = -1
        self.sends_capacity_updates = False
        self.told_outdated = False
        self.released = False

    def begin_incarnation(self, nonce: str) -> None:
        """Reset the state that belongs to one incarnation of the guard."""
        self.nonce, self.incarnation_heard_at = nonce, self.heard_at
        self.target_status = NO_TARGET
        self.guard_clock_ms = 0
        self.refused_clock_ms = -1
        self.lease_confirmed_at = 0.0
        self.lease_confirmed_stamp = -1
        self.sends_capacity_updates = False
        self.told_outdated = False

    def update_capacity(self, target_status: TargetStatus) -> None:
        """Store a report of the target's status, unless a newer one is known."""
        if target_status.sequence > self.target_status.sequence:
            self.target_status = target_status

    def record_refusal(self, reason: str, order_clock_ms: int) -> None:
        """Close the guard until its next heartbeat if only that can end the refusals.

        Explanation
        -----------
        An order that was sent before the newest heartbeat says nothing about orders
        with the timestamp of that heartbeat.

        Parameters
        ----------
        reason : str
            Why the guard refused an order.
        order_clock_ms : int
            Timestamp of that order, in milliseconds of the guard's clock.
        """
        if reason in REFUSALS_UNTIL_HEARTBEAT and order_clock_ms == self.guard_clock_ms:
            self.refused_clock_ms = order_clock_ms

    def accepts_runs(self, now: float, zones_out: frozenset[str]) -> bool:
        """Return whether new runs may be sent to the guard now."""
        return (
            self.is_in_service(now, zones_out)
            and not self.released
            and self.guard_clock_ms != self.refused_clock_ms
        )

    def is_in_service(self, now: float, zones_out: frozenset[str]) -> bool:
        """Return whether the guard is heard from, and its target is ready for runs."""
        return (
            self.linked
            and self.target_status.status == "ready"
            and self.target_status.zone not in zones_out
            and now - self.heard_at < MAX_SILENCE_FOR_NEW_RUNS_S
        )

    def to_candidate(self) -> TargetCandidate:
        """Return the target as a candidate for tasks, less the unreported needs."""
        free = self.target_status.free
        for need in self.unreported.values():
            free = free.minus(need)
        return TargetCandidate(self.address, self.target_status, free)

    def earlier_leases_expired(self, now: float) -> bool:
        """Return whether all runs of the guard's earlier incarnations have stopped.

        Explanation
        -----------
        Their leases were granted before the first message of the present incarnation
        arrived.
        """
        times = self.lease_times
        return now > leases.runs_stopped_by(
            times, leases.latest_lease_end(times, self.incarnation_heard_at)
        )

    def runs_gone_by(self) -> float:
        """Return the time by which all runs have stopped if the guard stays silent."""
        return leases.runs_gone_by(self.lease_times, self.heartbeat_at)
