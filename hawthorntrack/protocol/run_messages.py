"""Messages between entry instances and guards about runs on leased targets."""

from typing import Annotated, NamedTuple

import msgspec

from hawthorntrack.protocol.messages import message
from hawthorntrack.state.plans import RunName
from hawthorntrack.state.resources import NO_RESOURCES, Resources

# Integers up to this one are exact in every codec. Sums and products of the values
# that it bounds stay far from any overflow.
MAX_SAFE_INTEGER = 2**53 - 1
# A deployment's configuration has tens of queues.
MAX_DEMANDS = 64
MAX_QUEUE_NAME_LENGTH = 200

# Measured run times of up to this multiple of the declared ones are told apart.
MAX_SLOWNESS = 1_000

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_SAFE_INTEGER)]
Slowness = Annotated[float, msgspec.Meta(ge=0, le=MAX_SLOWNESS)]
QueueName = Annotated[str, msgspec.Meta(max_length=MAX_QUEUE_NAME_LENGTH)]


class BoundedResources(NamedTuple):
    """Resources in a message whose amounts are checked when it is decoded.

    Explanation
    -----------
    It has the fields of `Resources`, and `to_resources` converts it.
    """

    cpu_m: Count = 0
    memory_mb: Count = 0
    gpus: Count = 0

    def to_resources(self) -> Resources:
        """Return the amounts as `Resources`."""
        return Resources(*self)


class QueueWait(NamedTuple):
    """Expected wait of a new task of one queue at a guard.

    Attributes
    ----------
    wait_ms : int
        Time in milliseconds until the guard would start the task.
    """

    queue: QueueName
    wait_ms: Count


class TargetStatus(NamedTuple):
    """State and free capacity of a guard's target.

    Attributes
    ----------
    status : str
        ``ready``, ``draining``, ``unwell`` or ``absent``.
    capacity : Resources
        The largest capacity that the target's process has reported.
    free : Resources
        Capacity that it has at present and that no run occupies.
    slowness : float
        Average ratio of measured to declared run time; 0 before the first run.
    sequence : int
        Increases with each change at one guard; a lower one is older.
    capacity_is_current : bool
        Whether the target itself has reported its capacity since its guard started.
    queue_waits : tuple of QueueWait
        Expected waits of the queues that have demand at the guard.
    free_soon_cpu_m : tuple of int
        Processor capacity that is expected to be free within each of
        `LOOK_AHEAD_HORIZONS_S`, in thousandths of a core; empty if it is not reported.
    """

    status: str
    service: str = ""
    zone: str = ""
    target: str = ""
    labels: tuple[str, ...] = ()
    capacity: Resources = NO_RESOURCES
    free: Resources = NO_RESOURCES
    slowness: Slowness = 1.0
    sequence: int = 0
    capacity_is_current: bool = True
    queue_waits: tuple[QueueWait, ...] = ()
    free_soon_cpu_m: tuple[Count, ...] = ()


@message("hello")
class Hello(NamedTuple):
    """The first message on a link: role, zone and node of the sender."""

    role: str
    zone: str
    node: str


@message("pulse")
class GuardHeartbeat(NamedTuple):
    """A guard's heartbeat, with the status of its target.

    Attributes
    ----------
    guard_clock_ms : int
        The guard's own clock, in milliseconds. `ConfirmLease` returns it.
    """

    exposed_name = "Pulse"

    guard_clock_ms: int
    target_status: TargetStatus


@message("vouch")
class ConfirmLease(NamedTuple):
    """An entry instance extends the lease on its runs at this guard.

    Explanation
    -----------
    The message returns the clock reading of a `GuardHeartbeat`, and the lease is
    extended from that time. A confirmation that a network partition delayed for long
    thus extends nothing.

    Attributes
    ----------
    guard_clock_ms : int
        Clock reading of the newest `GuardHeartbeat` from this guard.
    store_version : int
        Store version as of which `zones_out` is valid.
    zones_out : tuple of str
        Zones in which no task may start.
    needs_capacity_updates : bool
        Whether jobs wait for capacity at the guard. It then reports each change of
        its free capacity at once.
    directives_age_ms : int
        Time for which the store has not answered the sender, in milliseconds; the
        sender does not know what has changed since.
    """

    exposed_name = "Vouch"

    guard_clock_ms: int
    store_version: int
    zones_out: tuple[str, ...]
    needs_capacity_updates: bool = False
    directives_age_ms: Count = 0


class RunOrder(NamedTuple):
    """One run that an entry instance requests.

    Attributes
    ----------
    name : RunName
        The task, and the lowest run number that the guard may use.
    isolated : bool
        Whether no run of another job may begin on the target before this one has ended,
        because the task may crash it.
    """

    name: RunName
    need: Resources
    estimate_ms: Count
    isolated: bool = False


@message("start_runs")
class StartRuns(NamedTuple):
    """An entry instance requests that a guard start runs of one job.

    Attributes
    ----------
    guard_clock_ms : int
        Clock reading of the newest `GuardHeartbeat` that the entry instance has
        received. The guard recognises a delayed order by it and refuses the order.
    remaining_ms : int
        Time left until the job's deadline when the message was sent.
    queue : str
        Queue of the job, whose share the work is charged to; empty if it is not shared.
    offer : int
        Number of the `OfferRoom` that the runs use; 0 for none.
    directives_age_ms : int
        As in `ConfirmLease`.
    """

    guard_clock_ms: int
    payload: str
    remaining_ms: int
    runs: tuple[RunOrder, ...]
    queue: QueueName = ""
    offer: Count = 0
    directives_age_ms: Count = 0


class QueueDemand(NamedTuple):
    """Tasks of one queue that wait at an entry instance and may run at a guard.

    Attributes
    ----------
    priority : int
        Priority of the queue; 0 is the highest.
    waited_ms : int
        Wait of the oldest of the jobs so far, in milliseconds.
    tasks : int
        Number of waiting tasks.
    smallest : BoundedResources
        Smallest need among them.
    first : BoundedResources
        Need of a task of the oldest job.
    run_ms : int
        Declared run time of a task of the oldest job, in milliseconds.
    shortest_run_ms : int
        Shortest declared run time among the tasks, in milliseconds.
    work_ms : int
        Core-milliseconds of all the tasks, divided by the number of guards to which
        they are reported.
    """

    queue: QueueName
    priority: Count
    waited_ms: Count
    tasks: Count
    smallest: BoundedResources
    first: BoundedResources
    run_ms: Count
    shortest_run_ms: Count
    work_ms: Count


Demands = Annotated[tuple[QueueDemand, ...], msgspec.Meta(max_length=MAX_DEMANDS)]


@message("report_demand")
class ReportDemand(NamedTuple):
    """An entry instance reports which of its waiting tasks a guard could run.

    Explanation
    -----------
    It replaces the sender's earlier report; an empty one withdraws it.
    """

    demands: Demands


@message("offer_room")
class OfferRoom(NamedTuple):
    """A guard reserves capacity for an entry instance's waiting tasks.

    Attributes
    ----------
    offer : int
        Number of the offer, which increases at one guard.
    queue : str
        Queue whose tasks are to use the capacity.
    room : BoundedResources
        The reserved capacity.
    valid_ms : int
        Time in milliseconds, by the guard's clock, after which the reservation ends.
    max_run_ms : int
        Longest declared run time of a task that may use the capacity, in milliseconds;
        0 for no limit.
    """

    offer: Count
    queue: QueueName
    room: BoundedResources
    valid_ms: Count
    max_run_ms: Count = 0


@message("close_offer")
class CloseOffer(NamedTuple):
    """An entry instance has used as much of an offer as it needs.

    Attributes
    ----------
    offer : int
        Number of the offer. The runs that use it were ordered before, on the same link.
    demands : tuple of QueueDemand
        The tasks that still wait, as in `ReportDemand`.
    """

    offer: Count
    demands: Demands


@message("runs_taken")
class RunsAccepted(NamedTuple):
    """The guard has reserved capacity for these runs and is starting them."""

    exposed_name = "RunsTaken"

    runs: tuple[RunName, ...]
    target_status: TargetStatus


@message("runs_refused")
class RunsRefused(NamedTuple):
    """The guard did not start these runs and never will.

    Attributes
    ----------
    highest_run_numbers : tuple of int
        For each run, the highest number the guard has used for its task.
    """

    runs: tuple[RunName, ...]
    highest_run_numbers: tuple[int, ...]
    reason: str
    target_status: TargetStatus


class RunEnding(NamedTuple):
    """How a run ended.

    Attributes
    ----------
    name : RunName
        The name under which the entry instance requested the run.
    number : int
        The run number that the guard used.
    end_state : str
        ``done``, ``failed``, ``stopped``, ``lapsed`` (the lease ended), ``lost``,
        ``crashed`` (its target did) or another state that the target reports.
    """

    name: RunName
    number: int
    end_state: str


@message("runs_ended")
class RunsEnded(NamedTuple):
    """These runs have ended, and no part of them remains on the target."""

    endings: tuple[RunEnding, ...]
    target_status: TargetStatus


class CrashedRun(NamedTuple):
    """A run that ended in a crash of its target.

    Attributes
    ----------
    name : RunName
        The task, and the run number that the guard used.
    age_ms : int
        Time from its start to the crash, in milliseconds.
    was_running : bool
        Whether it is known to have been in progress. A start without an answer may not
        have begun, and a run that was being stopped may have ended before.
    isolated : bool
        Whether it ran in isolation.
    """

    name: RunName
    age_ms: int
    was_running: bool = True
    isolated: bool = False


@message("runs_crashed")
class RunsCrashed(NamedTuple):
    """A guard's target has crashed under these runs, of all owners.

    Attributes
    ----------
    guard : str
        Address of the guard; empty if the guard itself sends the message.
    pass_on : bool
        Whether the receiver passes the message on to all other entry instances.
    """

    runs: tuple[CrashedRun, ...]
    guard: str = ""
    pass_on: bool = False


@message("stop_runs")
class StopRuns(NamedTuple):
    """An entry instance requests that a guard stop these runs."""

    runs: tuple[RunName, ...]


@message("check_runs")
class CheckRuns(NamedTuple):
    """An entry instance asks for the state of its runs after a link came back.

    For each listed run that is no longer there, the guard reports how it ended, or
    ``lost`` if it has no record of the run. It stops the runs of this entry instance
    that are not listed.
    """

    runs: tuple[RunName, ...]


@message("drop_job")
class CancelJobRuns(NamedTuple):
    """A caller cancelled this job; each guard stops the runs of it that it has."""

    exposed_name = "DropJob"

    job: str


@message("ask_directives")
class RequestDirectives(NamedTuple):
    """Requests the operators' directives in force at a peer if they are newer.

    Attributes
    ----------
    after : int
        Stamp of the directives that the sender has; 0 if it has none.
    """

    exposed_name = "AskDirectives"

    after: Count = 0


@message("directive_rows")
class DirectiveRows(NamedTuple):
    """All rows of the directives in force.

    Attributes
    ----------
    store_version : int
        Store version as of which the rows are valid.
    rows : tuple of (str, bytes, int)
        Key, value and version of each row.
    """

    store_version: int
    rows: tuple[tuple[str, bytes, int], ...]


@message("known_members")
class KnownMembers(NamedTuple):
    """All members that the sender has a record of.

    Attributes
    ----------
    members : tuple of (str, str, str, str)
        Address, role, zone and node of each member.
    """

    members: tuple[tuple[str, str, str, str], ...]
