"""What a guard knows of one life of a target and the runs on it."""

import math

from hawthorntrack.coordination.leases import TargetClockReading
from hawthorntrack.protocol.run_messages import RunOrder
from hawthorntrack.protocol.target_messages import RenewLeaseOrder, TargetAddress
from hawthorntrack.state.plans import RunName, TargetState, TaskName
from hawthorntrack.state.resources import NO_RESOURCES, Resources

STARTING = "starting"  # a start is on its way
START_UNCONFIRMED = "unsure"  # a start got no answer; the next list of runs tells
RUNNING = "running"
STOPPING = "stopping"  # a stop is on its way, or must be sent again


class Run:
    """One run at the target.

    Attributes
    ----------
    order : RunOrder
        As its owner asked for it.
    name : RunName
        With the number it was started under.
    owner : str
        TargetAddress of the entry instance that wants it; empty once that life of it is
        over.
    deadline_at : float
        When its caller gives up, in seconds of the guard's clock.
    """

    __slots__ = (
        "attempts",
        "deadline_at",
        "last_change_at",
        "name",
        "order",
        "owner",
        "payload",
        "percent",
        "phase",
        "started_at",
        "stop_reason",
        "unanswered_retries",
    )

    def __init__(
        self,
        order: RunOrder,
        name: RunName,
        owner: str,
        payload: str,
        deadline_at: float,
        now: float,
    ) -> None:
        self.order = order
        self.name = name
        self.owner = owner
        self.payload = payload
        self.deadline_at = deadline_at
        self.phase = STARTING
        self.started_at = now
        self.last_change_at = now
        self.percent = 0
        self.attempts = 0
        self.unanswered_retries = 0
        self.stop_reason = ""


class TargetSession:
    """One life of a target.

    Attributes
    ----------
    clock : TargetClockReading or None
        As an answer told it last: a heartbeat may be late, or another writer's.
    token : int
        Fencing token of the next order.
    ends_seen : int
        Number of the last end that was taken in.
    lease_end : float
        When all leases that were ordered are over; 0.0 before the first.
    inherited_leases_end : float
        When leases are over that orders to an earlier life may have brought about.
    announced : bool
        Whether the target has told what this life can take.
    departed : bool
        Whether the target has said that it ends, and nothing since.
    verified : bool
        Whether a list of runs has shown that none of an earlier guard is left.
    """

    def __init__(self, state: TargetState, token: int, now: float) -> None:
        self.state = state
        self.clock: TargetClockReading | None = None
        self.token = token
        self.fencing_refusals = 0
        self.runs: dict[TaskName, Run] = {}
        self.ends_seen = 0
        self.ends_acknowledged = 0
        self.pending_renewal: RenewLeaseOrder | None = None
        self.lease_end = 0.0
        self.inherited_leases_end = 0.0
        self.heard_at = now
        self.failures = 0
        self.lost_answer_at = -math.inf
        self.retry_at = 0.0
        self.announced = True
        self.departed = False
        self.verified = False
        self.unknown_runs: set[RunName] = set()

    @property
    def target(self) -> TargetAddress:
        """Return where orders go."""
        return TargetAddress(self.state.incarnation, self.state.address)

    @property
    def free(self) -> Resources:
        """Return the room that no run occupies."""
        used = NO_RESOURCES
        for run in self.runs.values():
            used = used.plus(run.order.need)
        return self.state.capacity.minus(used)

    @property
    def all_leases_end(self) -> float:
        """Return when everything on the target has lapsed if nothing is renewed."""
        return max(self.lease_end, self.inherited_leases_end)

    def proves_ended(self, outcome: str) -> bool:
        """Return whether an order's outcome proves that nothing of this life runs."""
        return outcome == "other_life" or (self.departed and outcome == "unreachable")

    def contradicts(self, state: TargetState) -> bool:
        """Return whether a heartbeat changes what stays the same.

        Explanation
        -----------
        A target keeps its address for one life, and its service under its id.
        """
        same_incarnation = state.incarnation == self.state.incarnation
        moved = same_incarnation and state.address != self.state.address
        return moved or state.service != self.state.service

    def record_clock(self, clock_ms: int, now: float) -> None:
        """Take a reading of the target's clock."""
        if clock_ms:
            self.clock = TargetClockReading(clock_ms, now)
