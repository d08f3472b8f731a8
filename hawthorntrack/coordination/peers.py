"""What a dispatcher knows of one guard."""

from hawthorntrack.coordination import leases
from hawthorntrack.coordination.packing import Place
from hawthorntrack.protocol.dispatch import TargetRoom
from hawthorntrack.state.plans import RunName, TaskName
from hawthorntrack.state.resources import Resources

QUIET_S = 0.45  # two pulses: no new runs until it is heard again
SILENT_S = 0.8  # the link is closed, so that the guard is no longer vouched for
ABSENT = TargetRoom("absent")


class GuardPeer:
    """One guard and the runs that were sent there.

    Attributes
    ----------
    nonce : str
        Tells which life of the guard the runs were sent to.
    unconfirmed : dict of RunName to Resources
        Sent, and not yet in the room that the guard reports.
    runs : dict of TaskName to RunName
        What should run there.
    stamp_ms : int
        The guard's clock in its newest pulse.
    vouched_at : float
        When the guard was last told that its runs are still wanted.
    vouched_as_of : int
        The stamp of the directives that it was told then.
    begun_at : float
        When the guard's present life was first heard.
    heard_at, pulse_at : float
        When any message, and the newest pulse, arrived; in seconds, suspended time
        included.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.nonce = ""
        self.linked = False
        self.room = ABSENT
        self.unconfirmed: dict[RunName, Resources] = {}
        self.runs: dict[TaskName, RunName] = {}
        self.begun_at = 0.0
        self.heard_at = 0.0
        self.pulse_at = 0.0
        self.stamp_ms = 0
        self.vouched_at = 0.0
        self.vouched_as_of = -1

    def begin_life(self, nonce: str) -> None:
        """Forget what holds for one life of the guard only, its clock among it."""
        self.nonce, self.begun_at = nonce, self.heard_at
        self.room = ABSENT
        self.stamp_ms = 0
        self.vouched_at = 0.0
        self.vouched_as_of = -1

    def take_room(self, room: TargetRoom) -> None:
        """Take a report of room in, unless a newer one is known."""
        if room.sequence > self.room.sequence:
            self.room = room

    def open(self, now: float, zones_out: frozenset[str]) -> bool:
        """Return whether new runs may be sent."""
        return (
            self.linked
            and self.room.standing == "ready"
            and self.room.zone not in zones_out
            and now - self.heard_at < QUIET_S
        )

    def place(self) -> Place:
        """Return the target as tasks see it."""
        free = self.room.free
        for need in self.unconfirmed.values():
            free = free.minus(need)
        return Place(self.address, self.room, free)

    def lapsed(self, now: float) -> bool:
        """Return whether no lease of the guard's earlier life can be left."""
        return now > leases.lapsed_by(leases.lapse_of_longest(self.begun_at))

    def gone_by(self) -> float:
        """Return when runs sent here are certainly gone if it stays silent."""
        return leases.gone_by(self.pulse_at)
