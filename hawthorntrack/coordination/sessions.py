"""What a guard knows of one life of a target and the runs on it."""

import math

from hawthorntrack.coordination.leases import TargetClock
from hawthorntrack.protocol.dispatch import RunOrder
from hawthorntrack.protocol.orders import Address, HoldOrder
from hawthorntrack.state.plans import RunName, TargetState, TaskName
from hawthorntrack.state.resources import NOTHING, Resources

STARTING = "starting"  # a start is on its way
UNSURE = "unsure"  # a start got no answer; the next list of runs tells
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
        Address of the entry instance that wants it; empty once that life of it is
        over.
    useless_at : float
        When its caller gives up, in seconds of the guard's clock.
    """

    __slots__ = (
        "began_at",
        "moved_at",
        "name",
        "order",
        "owner",
        "payload",
        "percent",
        "phase",
        "repeats",
        "tries",
        "useless_at",
        "why",
    )

    def __init__(
        self,
        order: RunOrder,
        name: RunName,
        owner: str,
        payload: str,
        useless_at: float,
        now: float,
    ) -> None:
        self.order = order
        self.name = name
        self.owner = owner
        self.payload = payload
        self.useless_at = useless_at
        self.phase = STARTING
        self.began_at = now
        self.moved_at = now
        self.percent = 0
        self.tries = 0
        self.repeats = 0
        self.why = ""


class TargetSession:
    """One life of a target.

    Attributes
    ----------
    clock : TargetClock or None
        As an answer told it last: a heartbeat may be late, or another writer's.
    token : int
        Fencing token of the next order.
    ends_seen : int
        Number of the last end that was taken in.
    lease_ends : float
        When all leases that were ordered are over; 0.0 before the first.
    inherited_until : float
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
        self.clock: TargetClock | None = None
        self.token = token
        self.fenced = 0
        self.runs: dict[TaskName, Run] = {}
        self.ends_seen = 0
        self.ends_acknowledged = 0
        self.holding: HoldOrder | None = None
        self.lease_ends = 0.0
        self.inherited_until = 0.0
        self.heard_at = now
        self.failures = 0
        self.lost_answer_at = -math.inf
        self.retry_at = 0.0
        self.announced = True
        self.departed = False
        self.verified = False
        self.foreign: set[RunName] = set()

    @property
    def target(self) -> Address:
        """Return where orders go."""
        return Address(self.state.life, self.state.address)

    @property
    def free(self) -> Resources:
        """Return the room that no run occupies."""
        taken = NOTHING
        for run in self.runs.values():
            taken = taken.plus(run.order.need)
        return self.state.capacity.minus(taken)

    @property
    def lapses_at(self) -> float:
        """Return when everything on the target has lapsed if nothing is renewed."""
        return max(self.lease_ends, self.inherited_until)

    def is_over(self, outcome: str) -> bool:
        """Return whether an order's outcome proves that nothing of this life runs."""
        return outcome == "other_life" or (self.departed and outcome == "unreachable")

    def contradicts(self, state: TargetState) -> bool:
        """Return whether a heartbeat changes what stays the same.

        Explanation
        -----------
        A target keeps its address for one life, and its service under its id.
        """
        same_life = state.life == self.state.life
        moved = same_life and state.address != self.state.address
        return moved or state.service != self.state.service

    def read_clock(self, clock_ms: int, now: float) -> None:
        """Take a reading of the target's clock."""
        if clock_ms:
            self.clock = TargetClock(clock_ms, now)
