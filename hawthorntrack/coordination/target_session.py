"""State that a guard keeps for one incarnation of a target and the runs on it."""

import math

from hawthorntrack.coordination.answer_times import (
    AnswerTimes,
    after_answer,
    after_timeout,
)
from hawthorntrack.coordination.leases import TargetClockReading
from hawthorntrack.coordination.retries import new_target_budget
from hawthorntrack.protocol.run_messages import RunOrder
from hawthorntrack.protocol.target_messages import (
    RenewLeaseOrder,
    StartOrder,
    StopOrder,
    TargetAddress,
)
from hawthorntrack.state.plans import RunName, TargetState, TaskName
from hawthorntrack.state.resources import NO_RESOURCES, Resources

# Phases of a run.
# A start order has been sent and not been answered yet.
STARTING = "starting"
# The start order got no answer; the next run list shows whether the run has started.
START_UNCONFIRMED = "unsure"
RUNNING = "running"
# A stop order has been sent, or must be sent again.
STOPPING = "stopping"


class Run:
    """One run on the target.

    Attributes
    ----------
    order : RunOrder
        The order as its owner sent it.
    name : RunName
        Name of the run, with the number under which it was started.
    owner : str
        Address of the entry instance that ordered it; empty once that process has been
        replaced by a new one.
    deadline_at : float
        Deadline of its job, in seconds of the guard's clock.
    last_change_at : float
        When its phase or its progress last changed, in seconds of the guard's clock. In
        the phase `STOPPING`: when the target confirmed the stop, 0.0 before that.
    percent : int
        Progress that the target reported last.
    attempts : int
        Orders that were refused or failed: starts, or stops once it is being stopped.
    unanswered_retries : int
        Start orders sent again because the one before got no answer.
    stop_reason : str
        Why it is being stopped; empty before that.
    stopping_since : float
        When its stop was first sent; infinity before that.
    was_seen_running : bool
        Whether the target has confirmed its start, or listed it as running.
    queue : str
        Queue of its job; empty if the order did not name one.
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
        "queue",
        "started_at",
        "stop_reason",
        "stopping_since",
        "unanswered_retries",
        "was_seen_running",
    )

    def __init__(
        self,
        order: RunOrder,
        name: RunName,
        owner: str,
        payload: str,
        deadline_at: float,
        now: float,
        queue: str = "",
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
        self.stopping_since = math.inf
        self.was_seen_running = False
        self.queue = queue


class TargetSession:
    """A guard's state for one incarnation of a target.

    Attributes
    ----------
    clock : TargetClockReading or None
        Reading from the newest answer to an order. Heartbeats are not used for it,
        because one may arrive late or come from another sender.
    token : int
        Fencing token of the next order.
    fencing_refusals : int
        Orders that the target refused because of their token.
    ends_seen : int
        Highest number of a run end that has been processed.
    ends_acknowledged : int
        Highest number of a run end whose processing was acknowledged to the target.
    largest_capacity : Resources
        The largest capacity that this incarnation has reported. The present one may be
        lower for a while.
    capacity_is_current : bool
        Whether a heartbeat has reported the capacity since this guard started.
    pending_renewal : RenewLeaseOrder or None
        The renewal that is waiting for its answer.
    lease_end : float
        When all leases that were ordered have expired; 0.0 before the first order.
    inherited_leases_end : float
        When the leases that delayed orders to an earlier incarnation may have started,
        or that a suspension may have prolonged, have all expired.
    heard_at : float
        When the newest heartbeat, run list or confirmed start arrived, in seconds of
        the guard's clock.
    failures : int
        Consecutive orders that failed or got no answer.
    failing_since : float
        When the first of these failed; infinity while there is none.
    connection_refused : bool
        Whether the newest of these found no process at the target's address.
    lost_answer_at : float
        When an order last went without an answer.
    answer_times : AnswerTimes
        How fast the target answers.
    repeat_budget : TokenBucket
        Budget for repeated calls.
    pending_list : RenewLeaseOrder or None
        The newest request for the run lists, besides `pending_renewal`, that is not
        answered yet.
    list_wanted : bool
        Whether the lists are to be requested again once `pending_list` is answered.
    retry_at : float
        No run is started before this time.
    announced : bool
        Whether a heartbeat has reported the capacity of this incarnation.
    departed : bool
        Whether the target's newest message reported that it is shutting down.
    verified : bool
        Whether a run list has shown that no run of an earlier guard is left.
    unknown_runs : set of RunName
        Listed runs that this guard did not start and that are not stopped yet.
    """

    def __init__(self, state: TargetState, token: int, now: float) -> None:
        self.state = state
        self.largest_capacity = state.capacity
        self.capacity_is_current = True
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
        self.failing_since = math.inf
        self.connection_refused = False
        self.lost_answer_at = -math.inf
        self.answer_times = AnswerTimes()
        self.repeat_budget = new_target_budget()
        self.pending_list: RenewLeaseOrder | None = None
        self.list_wanted = False
        self.retry_at = 0.0
        self.announced = True
        self.departed = False
        self.verified = False
        self.unknown_runs: set[RunName] = set()

    @property
    def target(self) -> TargetAddress:
        """Return the incarnation and address that orders are sent to."""
        return TargetAddress(self.state.incarnation, self.state.address)

    @property
    def free(self) -> Resources:
        """Return the capacity that no run occupies."""
        used = NO_RESOURCES
        for run in self.runs.values():
            used = used.plus(run.order.need)
        return self.state.capacity.minus(used)

    @property
    def isolated_job(self) -> str:
        """Return the job that has the target for itself; empty if none has."""
        jobs = (run.name.task.job for run in self.runs.values() if run.order.isolated)
        return next(jobs, "")

    @property
    def offered(self) -> Resources:
        """Return the capacity that any job may use."""
        return NO_RESOURCES if self.isolated_job else self.free

    @property
    def all_leases_end(self) -> float:
        """Return when all leases on the target expire unless one is renewed."""
        return max(self.lease_end, self.inherited_leases_end)

    def proves_ended(self, outcome: str) -> bool:
        """Return whether an order's outcome proves that this incarnation has ended."""
        return outcome == "other_life" or (self.departed and outcome == "unreachable")

    @property
    def leaves_as_planned(self) -> bool:
        """Return whether the target has reported that it drains or has ended."""
        return self.state.draining or self.departed

    def update_state(self, state: TargetState, now: float) -> None:
        """Store the state that a newer heartbeat reports."""
        self.state, self.announced, self.departed = state, True, False
        self.capacity_is_current = True
        self.largest_capacity = self.largest_capacity.largest(state.capacity)
        self.heard_at = now

    def record_failure(self, outcome: str, now: float) -> None:
        """Store that an order failed or got no answer."""
        self.failures += 1
        self.failing_since = min(self.failing_since, now)
        self.connection_refused = outcome == "unreachable"

    def record_contact(self, now: float) -> None:
        """Store that the target has answered an order."""
        self.failures, self.heard_at = 0, now
        self.failing_since, self.connection_refused = math.inf, False

    def contradicts(self, state: TargetState) -> bool:
        """Return whether a heartbeat contradicts constant properties of the target.

        Explanation
        -----------
        A target keeps its address for one incarnation, and its service for as long as
        it keeps its id.
        """
        same_incarnation = state.incarnation == self.state.incarnation
        moved = same_incarnation and state.address != self.state.address
        return moved or state.service != self.state.service

    def add_suspension(self, duration_s: float) -> None:
        """Take into account that the target may have been suspended with its guard.

        Explanation
        -----------
        The target's clock did not advance meanwhile, so the leases on it end later.
        `lease_end` is what orders carry and stays as it is.
        """
        self.inherited_leases_end = self.all_leases_end + duration_s
        if self.clock is not None:
            read_at = self.clock.read_at + duration_s
            self.clock = self.clock._replace(read_at=read_at)

    def record_answer_time(
        self,
        order: StartOrder | StopOrder | RenewLeaseOrder,
        outcome: str,
        now: float,
    ) -> None:
        """Store how long an answer took, or that it did not arrive.

        Explanation
        -----------
        An answer that comes before the end of the requested wait reports the end of a
        run, and the time before that end is unknown.
        """
        answer_s = now - order.sent_at - getattr(order, "wait_s", 0.0)
        if outcome == "unanswered":
            self.answer_times = after_timeout(self.answer_times, order.sent_at, now)
        elif outcome not in ("unreachable", "unsent") and answer_s >= 0:
            self.answer_times = after_answer(self.answer_times, answer_s)

    def record_clock(self, clock_ms: int, now: float) -> None:
        """Store a reading of the target's clock; 0 means that there is none."""
        if clock_ms:
            self.clock = TargetClockReading(clock_ms, now)
