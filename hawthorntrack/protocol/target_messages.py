"""Messages between a guard's lease holder and the client of its target."""

from typing import NamedTuple

from hawthorntrack.state.plans import (
    RunEnd,
    RunName,
    RunStatus,
    TargetIncarnation,
    TargetState,
)


class TargetAddress(NamedTuple):
    """Which life of which target an order is meant for, and where it listens."""

    incarnation: TargetIncarnation
    address: str


class StartOrder(NamedTuple):
    """Start a run.

    Attributes
    ----------
    lease_end_ms : int
        Until when everything on the target may run, on the target's clock.
    token : int
        Fencing token; the target ignores orders with a lower one.
    """

    target: TargetAddress
    name: RunName
    payload: str
    lease_end_ms: int
    token: int


class StopOrder(NamedTuple):
    """Stop a run; one that has not begun will be turned away."""

    target: TargetAddress
    name: RunName
    token: int


class RenewLeaseOrder(NamedTuple):
    """Renew the lease and list the runs.

    Attributes
    ----------
    lease_end_ms : int or None
        As in `StartOrder`; None to look only.
    ends_seen : int
        Ends up to this number may be forgotten.
    wait_s : float
        How long the target may wait for an end before it answers.
    sent_at : float
        When the order was sent, in seconds of the guard's clock.
    """

    target: TargetAddress
    lease_end_ms: int | None
    token: int
    ends_seen: int
    wait_s: float
    sent_at: float


class StartReply(NamedTuple):
    """What came of a start.

    Attributes
    ----------
    outcome : str
        ``started``; ``fenced``, ``old_run``, ``late``, ``no_room``, ``invalid``,
        ``unwell`` or ``other_life``: the run was not begun; ``unreachable``: nobody
        listens at the address; ``unsent``: the order was not sent for another
        reason; ``unanswered``: it may still be carried out.
    clock_ms : int
        The target's clock; 0 where it was not told.
    """

    order: StartOrder
    outcome: str
    clock_ms: int = 0


class StopReply(NamedTuple):
    """What came of a stop; ``stopped`` means that it was taken."""

    order: StopOrder
    outcome: str
    clock_ms: int = 0


class RenewLeaseReply(NamedTuple):
    """What came of a hold; ``held`` brings the lists."""

    order: RenewLeaseOrder
    outcome: str
    clock_ms: int = 0
    born_ms: int = 0
    running: tuple[RunStatus, ...] = ()
    ended: tuple[RunEnd, ...] = ()


class TargetHeartbeat(NamedTuple):
    """A heartbeat of the target; `state` is None where it could not be read."""

    state: object


class TargetStateChanged(NamedTuple):
    """The target beside a guard has begun a life, or leaves."""

    state: TargetState


class TargetDeparted(NamedTuple):
    """The target says that it has ended."""

    target: str
