"""A guard's state for a slot, and the state machine of its role in the slot."""

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

# Each entry names the trigger, the source phase and the destination phase.
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
    """A guard's role and record of one slot.

    Attributes
    ----------
    phase : str
        One of `PHASES`.
    epoch : int
        The epoch at which this guard acts. It acknowledges replicated keys of no other
        epoch.
    peer : Incarnation
        The other member of the pair at that epoch.
    row : SlotRow or None
        The newest row read or written; None before the first read, or if the table
        has no row.
    pending_write : SlotRow or None
        The row of a write whose outcome is not known yet.
    """

    phase: str = IDLE
    epoch: int = 0
    peer: Incarnation = NO_INCARNATION
    row: SlotRow | None = None
    pending_write: SlotRow | None = None


class RoleTracker:
    """Tracks a slot's role and allows only the changes in `PHASE_TRANSITIONS`.

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
        """Change the role to `phase` by a declared transition.

        Raises
        ------
        ValueError
            If no declared transition leads from the current phase to `phase`.
        """
        if phase == self.state:
            return
        triggers = [
            name
            for name, source, dest in PHASE_TRANSITIONS
            if (source, dest) == (self.state, phase)
        ]
        if not triggers:
            raise ValueError(f"no declared transition from {self.state} to {phase}")
        ROLE_MACHINE.events[f"to_{phase}_by_{triggers[0]}"].trigger(self)


# All slots share one machine. Each trigger is passed the tracker that it changes.
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
