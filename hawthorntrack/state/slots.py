"""What a guard knows of a slot, and the phases of its role there."""

from typing import NamedTuple

from transitions import Machine

from hawthorntrack.state.values import NO_INCARNATION, Incarnation, SlotRow

IDLE = "idle"
WITNESS = "witness"
OPENED = "opened"
CLAIMING = "claiming"
FORMING = "forming"
SEALING = "sealing"

PHASES = (IDLE, WITNESS, OPENED, CLAIMING, FORMING, SEALING)

# source phase, destination phase, and the trigger that leads there
PHASE_TRANSITIONS = (
    ("claim", IDLE, CLAIMING),
    ("claim", WITNESS, CLAIMING),
    ("claim", OPENED, CLAIMING),
    ("claim", FORMING, CLAIMING),
    ("claim_written", CLAIMING, FORMING),
    ("claim_lost", CLAIMING, IDLE),
    ("handover_taken", FORMING, SEALING),
    ("sealed", SEALING, OPENED),
    ("seal_lost", SEALING, IDLE),
    ("deposed", OPENED, IDLE),
    ("deposed", WITNESS, IDLE),
    ("deposed", FORMING, IDLE),
    ("handed_keys", IDLE, WITNESS),
    ("handed_keys", WITNESS, WITNESS),
    ("handed_keys", OPENED, WITNESS),
    ("handed_keys", CLAIMING, WITNESS),
    ("handed_keys", FORMING, WITNESS),
    ("handed_keys", SEALING, WITNESS),
)


class SlotState(NamedTuple):
    """A guard's role in one slot.

    Attributes
    ----------
    phase : str
        One of `PHASES`.
    epoch : int
        The epoch that this guard acts at; it acknowledges notes of no other.
    peer : Incarnation
        The other member of the pair at that epoch.
    row : SlotRow or None
        The newest row read or written; None before the first read, or absent.
    pending_write : SlotRow or None
        The row of a write that is not settled yet.
    """

    phase: str = IDLE
    epoch: int = 0
    peer: Incarnation = NO_INCARNATION
    row: SlotRow | None = None
    pending_write: SlotRow | None = None


class RoleTracker:
    """Checks that a slot's role moves only along `PHASE_TRANSITIONS`.

    Examples
    --------
    >>> tracker = RoleTracker()
    >>> tracker.transition_to(CLAIMING)
    >>> tracker.state
    'claiming'
    """

    def __init__(self) -> None:
        self.state = IDLE

    def transition_to(self, phase: str) -> None:
        """Go to `phase`, by a declared transition.

        Raises
        ------
        ValueError
            If no declared transition leads there.
        """
        if phase == self.state:
            return
        names = [
            name
            for name, source, dest in PHASE_TRANSITIONS
            if (source, dest) == (self.state, phase)
        ]
        if not names:
            raise ValueError(f"no transition from {self.state} to {phase}")
        ROLE_MACHINE.events[f"to_{phase}_by_{names[0]}"].trigger(self)


# One machine for all slots: it is told which tracker to move.
ROLE_MACHINE = Machine(
    model=None,
    states=list(PHASES),
    transitions=[
        {"trigger": f"to_{dest}_by_{name}", "source": source, "dest": dest}
        for name, source, dest in PHASE_TRANSITIONS
    ],
    initial=IDLE,
    auto_transitions=False,
)
