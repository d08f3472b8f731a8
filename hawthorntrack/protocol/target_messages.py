"""Messages between a guard's leaseholder and the client of its target."""

from typing import NamedTuple

from hawthorntrack.state.plans import (
    RunEnd,
    RunName,
    RunStatus,
    TargetIncarnation,
    TargetState,
)

ORDER_TIMEOUT_S = 0.05  # a target on the same machine answers in under 1 ms


class TargetAddress(NamedTuple):
    """The target incarnation that an order is meant for, and its address."""

    incarnation: TargetIncarnation
    address: str


class StartOrder(NamedTuple):
    """Order to start a run.

    Attributes
    ----------
    lease_end_ms : int
        End of the lease on the target, on the target's clock in milliseconds. No run
        of any job may continue on the target after it.
    token : int
        Fencing token; the target ignores orders with a lower one.
    sent_at : float
        When the order was sent, in seconds on the guard's clock.
    timeout_s : float
        Time limit for the answer in seconds.
    """

    target: TargetAddress
    name: RunName
    payload: str
    lease_end_ms: int
    token: int
    sent_at: float = 0.0
    timeout_s: float = ORDER_TIMEOUT_S


class StopOrder(NamedTuple):
    """Order to stop a run; if it has not begun, the target refuses a later start."""

    target: TargetAddress
    name: RunName
    token: int
    sent_at: float = 0.0
    timeout_s: float = ORDER_TIMEOUT_S


class RenewLeaseOrder(NamedTuple):
    """Order to renew the lease and list the runs.

    Attributes
    ----------
    lease_end_ms : int or None
        As in `StartOrder`; None to list the runs without renewing the lease.
    ends_seen : int
        The target may discard its records of ended runs up to this number.
    wait_s : float
        How long the target may wait for a run to end before it answers, in seconds.
    sent_at : float
        When the order was sent, in seconds on the guard's clock.
    timeout_s : float
        Time limit for the answer in seconds, in addition to `wait_s`.
    """

    target: TargetAddress
    lease_end_ms: int | None
    token: int
    ends_seen: int
    wait_s: float
    sent_at: float
    timeout_s: float = ORDER_TIMEOUT_S


class StartReply(NamedTuple):
    """Outcome of a `StartOrder`.

    Attributes
    ----------
    outcome : str
        ``started``; ``fenced``, ``old_run``, ``late``, ``no_room``, ``invalid``,
        ``unwell`` or ``other_life``: the target did not begin the run;
        ``unreachable``: no process listens at the address; ``unsent``: the order was
        not sent for another reason; ``unanswered``: the target may still carry the
        order out.
    clock_ms : int
        The target's clock in milliseconds; 0 if the reply did not contain it.
    """

    order: StartOrder
    outcome: str
    clock_ms: int = 0


class StopReply(NamedTuple):
    """Outcome of a `StopOrder`; ``stopped`` means that the target accepted it."""

    order: StopOrder
    outcome: str
    clock_ms: int = 0


class RenewLeaseReply(NamedTuple):
    """Outcome of a `RenewLeaseOrder`; an outcome of ``held`` includes the lists."""

    order: RenewLeaseOrder
    outcome: str
    clock_ms: int = 0
    born_ms: int = 0
    running: tuple[RunStatus, ...] = ()
    ended: tuple[RunEnd, ...] = ()


class TargetHeartbeat(NamedTuple):
    """A target's heartbeat, or the state of a target that the guard had stored.

    Attributes
    ----------
    state : TargetState or str
        The reported state, or a description of the problem if the body of the
        heartbeat could not be decoded.
    stored : bool
        Whether the state is one that the guard had stored. Its capacity may have
        changed since.
    """

    state: object
    stored: bool = False


class TargetStateChanged(NamedTuple):
    """A new incarnation of the guard's target has started, or the target drains."""

    state: TargetState


class TargetDeparted(NamedTuple):
    """The target with this id reports that it has ended."""

    target: str
