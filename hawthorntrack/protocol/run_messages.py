"""Messages between entry instances and guards about runs on leased targets."""

from typing import NamedTuple

from hawthorntrack.protocol.messages import message
from hawthorntrack.state.plans import RunName
from hawthorntrack.state.resources import NO_RESOURCES, Resources


class TargetStatus(NamedTuple):
    """What a guard's target can take.

    Attributes
    ----------
    status : str
        ``ready``, ``draining``, ``unwell`` or ``absent``.
    free : Resources
        Room that no run occupies.
    slowness : float
        Measured run time over declared run time, averaged.
    sequence : int
        Grows with each change at one guard; a lower one is older.
    """

    status: str
    service: str = ""
    zone: str = ""
    target: str = ""
    labels: tuple[str, ...] = ()
    capacity: Resources = NO_RESOURCES
    free: Resources = NO_RESOURCES
    slowness: float = 1.0
    sequence: int = 0


@message("hello")
class Hello(NamedTuple):
    """The first message on a link: who speaks."""

    role: str
    zone: str
    node: str


@message("pulse")
class GuardHeartbeat(NamedTuple):
    """A guard's heartbeat.

    Attributes
    ----------
    guard_clock_ms : int
        The guard's own clock; it comes back in a `ConfirmLease`.
    """

    exposed_name = "Pulse"

    guard_clock_ms: int
    target_status: TargetStatus


@message("vouch")
class ConfirmLease(NamedTuple):
    """An entry instance still wants its runs at this guard.

    Explanation
    -----------
    It returns the stamp of a pulse, so that one which a cut held up for long
    extends nothing.

    Attributes
    ----------
    store_version : int
        Store version that `zones_out` holds for.
    zones_out : tuple of str
        Zones in which no task may start.
    needs_capacity_updates : bool
        Whether jobs wait for room there: each change of room is reported at once.
    """

    exposed_name = "Vouch"

    guard_clock_ms: int
    store_version: int
    zones_out: tuple[str, ...]
    needs_capacity_updates: bool = False


class RunOrder(NamedTuple):
    """One run that an entry instance asks for.

    Attributes
    ----------
    name : RunName
        Its task, and the lowest number that the run may have.
    """

    name: RunName
    need: Resources
    estimate_ms: int


@message("start_runs")
class StartRuns(NamedTuple):
    """An entry instance has a guard start runs of one job.

    Attributes
    ----------
    guard_clock_ms : int
        Of the newest pulse that the entry instance has seen. An order that was
        held up on its way shows by it, and is refused.
    remaining_ms : int
        Time after which the runs are of no use to the caller.
    """

    guard_clock_ms: int
    payload: str
    remaining_ms: int
    runs: tuple[RunOrder, ...]


@message("runs_taken")
class RunsAccepted(NamedTuple):
    """The guard has set room aside for these runs and is starting them."""

    exposed_name = "RunsTaken"

    runs: tuple[RunName, ...]
    target_status: TargetStatus


@message("runs_refused")
class RunsRefused(NamedTuple):
    """These runs did not start at the guard and never will.

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
        As it was asked for.
    number : int
        The number that the run had in the end.
    end_state : str
        ``done``, ``failed``, ``stopped``, ``lapsed``, ``lost`` or another word.
    """

    name: RunName
    number: int
    end_state: str


@message("runs_ended")
class RunsEnded(NamedTuple):
    """These runs have ended, and nothing of them is left on the target."""

    endings: tuple[RunEnding, ...]
    target_status: TargetStatus


@message("stop_runs")
class StopRuns(NamedTuple):
    """The entry instance no longer wants these runs."""

    runs: tuple[RunName, ...]


@message("check_runs")
class CheckRuns(NamedTuple):
    """Asks after runs when a link is back; unknown ones are reported as lost."""

    runs: tuple[RunName, ...]


@message("drop_job")
class CancelJobRuns(NamedTuple):
    """A caller cancelled this job: whoever has it stops it."""

    exposed_name = "DropJob"

    job: str


@message("ask_directives")
class RequestDirectives(NamedTuple):
    """Asks a peer for what operators have put in force."""

    exposed_name = "AskDirectives"


@message("directive_rows")
class DirectiveRows(NamedTuple):
    """The rows of what is in force, whole.

    Attributes
    ----------
    store_version : int
        Store version that they hold for.
    rows : tuple of (str, bytes, int)
        Key, value and version.
    """

    store_version: int
    rows: tuple[tuple[str, bytes, int], ...]


@message("known_members")
class KnownMembers(NamedTuple):
    """Members that the sender knows: address, role, zone, node."""

    members: tuple[tuple[str, str, str, str], ...]
