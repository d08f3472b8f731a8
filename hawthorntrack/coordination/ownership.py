"""Decisions about who owns a slot, made over values alone.

See Also
--------
hawthorntrack.specs.slot_protocol : checks these very functions exhaustively.
"""

from collections.abc import Callable
from typing import Any, NamedTuple

from hawthorntrack.state.slots import (
    CLAIMING,
    FORMING,
    IDLE,
    OPENED,
    SEALING,
    WITNESS,
    SlotState,
)
from hawthorntrack.state.values import NOBODY, Incarnation, SlotRow

# --- events


class Observe(NamedTuple):
    """The slot's row as the table shows it; None where it is absent."""

    row: SlotRow | None


class Claim(NamedTuple):
    """This guard is to become owner, with this witness.

    Attributes
    ----------
    reset_ms : int
        Unix time of a reset, when the table shows that both members of the last
        formed pair are gone; otherwise 0.
    """

    witness: Incarnation
    reset_ms: int = 0


class WriteTook(NamedTuple):
    """The write in `SlotState.wrote` took effect."""

    version: int


class WriteLost(NamedTuple):
    """The write met another version; this is the row there."""

    row: SlotRow | None


class WriteUnknown(NamedTuple):
    """The write may or may not have taken effect, or may do so yet."""


class HandoverArrived(NamedTuple):
    """The whole key set of an epoch was received from its claimer."""

    sender: Incarnation
    epoch: int


class HandoverConfirmed(NamedTuple):
    """The new witness holds the key set of that epoch."""

    sender: Incarnation
    epoch: int


class NoteArrived(NamedTuple):
    """The owner asks this guard to remember keys."""

    sender: Incarnation
    epoch: int


class NoteConfirmed(NamedTuple):
    """The witness remembers keys of that epoch."""

    sender: Incarnation
    epoch: int


# --- commands


class ReadRow(NamedTuple):
    """Read the slot's row and observe it."""


class WriteRow(NamedTuple):
    """Write the row, if the table's version is still `expect`."""

    expect: int
    row: SlotRow


class SendHandover(NamedTuple):
    """Send the whole key set to the new witness."""

    to: Incarnation
    epoch: int


class TakeKeys(NamedTuple):
    """Merge the keys handed over, then confirm that to their sender."""

    to: Incarnation
    epoch: int


class TakeNote(NamedTuple):
    """Remember the noted keys, then confirm that to the owner."""

    to: Incarnation
    epoch: int


class RejectNote(NamedTuple):
    """Tell the sender that this guard is not the witness at that epoch."""

    to: Incarnation
    epoch: int


class AdmitNoted(NamedTuple):
    """The keys of the confirmed note are admitted: run their jobs."""


class RefusePending(NamedTuple):
    """Refuse jobs whose keys the witness has not confirmed; they never ran."""


class ForgetKeys(NamedTuple):
    """Drop the key set: no pair that may still claim includes this guard."""


class Step(NamedTuple):
    """The state after an event, and what is to be done."""

    state: SlotState
    commands: tuple[Any, ...] = ()


handlers: dict[type, Callable[[Incarnation, SlotState, Any], Step]] = {}


def on(kind: type) -> Callable[[Callable], Callable]:
    """Register the decision for events of type `kind`."""

    def file(decision: Callable) -> Callable:
        handlers[kind] = decision
        return decision

    return file


def decide(me: Incarnation, state: SlotState, event: Any) -> Step:
    """Return the state after `event` and the commands that it calls for.

    Parameters
    ----------
    me : Incarnation
        The guard that decides.
    state : SlotState
        Its role in the slot so far.
    event : Any
        One of the events of this module.

    Examples
    --------
    >>> me, other = Incarnation("a:1", "x"), Incarnation("b:1", "y")
    >>> step = decide(me, SlotState(), Claim(other))
    >>> step.state.phase, [type(c).__name__ for c in step.commands]
    ('claiming', ['RefusePending', 'WriteRow'])
    """
    return handlers[type(event)](me, state, event)


def may_claim(me: Incarnation, row: SlotRow | None) -> bool:
    """Return whether `me` may write the next epoch over `row`.

    Explanation
    -----------
    Only a member of the last formed pair is sure to hold every key that was ever
    admitted. A forming pair's new witness is no member until the row says formed.
    Before the first formed epoch no key was ever admitted, and anyone may claim.
    """
    if row is None or row.last_owner == NOBODY:
        return True
    return me in (row.last_owner, row.last_witness)


def knows_version(state: SlotState) -> bool:
    """Return whether the row known is of the epoch that this guard acts at."""
    return state.phase != WITNESS or (
        state.row is not None and state.row.epoch == state.epoch and state.row.formed
    )


@on(Claim)
def claim(me: Incarnation, state: SlotState, event: Claim) -> Step:
    """Stop admitting and acknowledging, then write the next epoch."""
    if state.wrote is not None:
        return Step(state)
    if not knows_version(state):
        return Step(state, (ReadRow(),))
    row = state.row
    if not (event.reset_ms or may_claim(me, row)):
        return Step(state, (ReadRow(),))
    if event.reset_ms:
        pair, reset_ms = (NOBODY, NOBODY), event.reset_ms
    else:
        pair = (row.last_owner, row.last_witness) if row else (NOBODY, NOBODY)
        reset_ms = row.reset_ms if row else 0
    claimed = SlotRow(
        epoch=(row.epoch if row else 0) + 1,
        owner=me,
        witness=event.witness,
        formed=False,
        last_owner=pair[0],
        last_witness=pair[1],
        reset_ms=reset_ms,
    )
    after = state._replace(phase=CLAIMING, peer=event.witness, wrote=claimed)
    expect = row.version if row else 0
    return Step(after, (RefusePending(), WriteRow(expect, claimed)))


@on(WriteTook)
def write_took(me: Incarnation, state: SlotState, event: WriteTook) -> Step:
    """Go on from the claim to the handover, or from the seal to opening."""
    if state.wrote is None:
        return Step(state)
    row = state.wrote._replace(version=event.version)
    if state.phase == CLAIMING:
        after = state._replace(phase=FORMING, epoch=row.epoch, row=row, wrote=None)
        return Step(after, (SendHandover(row.witness, row.epoch),))
    return Step(state._replace(phase=OPENED, row=row, wrote=None))


@on(WriteLost)
def write_lost(me: Incarnation, state: SlotState, event: WriteLost) -> Step:
    """Give up, unless the row met is the one written: then an earlier try took."""
    if state.wrote is None:
        return Step(state)
    met = event.row
    if met is not None and met._replace(version=0) == state.wrote:
        return write_took(me, state, WriteTook(met.version))
    after = state._replace(phase=IDLE, peer=NOBODY, row=met, wrote=None)
    return Step(after, forget(me, after))


@on(WriteUnknown)
def write_unknown(me: Incarnation, state: SlotState, event: WriteUnknown) -> Step:
    """Send the same write again: of equal conditional writes one takes effect."""
    if state.wrote is None:
        return Step(state)
    expect = state.row.version if state.row else 0
    return Step(state, (WriteRow(expect, state.wrote),))


@on(HandoverArrived)
def handover_arrived(me: Incarnation, state: SlotState, event: HandoverArrived) -> Step:
    """Become the witness of a newer epoch, and confirm once the keys are held."""
    if event.epoch == state.epoch and event.sender == state.peer:
        again = state.phase == WITNESS
        return Step(state, (TakeKeys(event.sender, event.epoch),) if again else ())
    claimed = state.wrote.epoch if state.wrote else 0
    if event.epoch <= state.epoch or event.epoch < claimed:
        return Step(state)
    # A write of ours that is still unsettled was for this epoch at most, and the
    # sender's claim of it took effect: ours never will.
    after = state._replace(
        phase=WITNESS, epoch=event.epoch, peer=event.sender, wrote=None
    )
    return Step(after, (RefusePending(), TakeKeys(event.sender, event.epoch)))


@on(HandoverConfirmed)
def handover_confirmed(
    me: Incarnation, state: SlotState, event: HandoverConfirmed
) -> Step:
    """Write that the pair is formed; only then may the slot open."""
    expected = (FORMING, state.epoch, state.peer)
    if (state.phase, event.epoch, event.sender) != expected:
        return Step(state)
    formed = state.row._replace(
        formed=True, last_owner=me, last_witness=state.peer, version=0
    )
    after = state._replace(phase=SEALING, wrote=formed)
    return Step(after, (WriteRow(state.row.version, formed),))


@on(NoteArrived)
def note_arrived(me: Incarnation, state: SlotState, event: NoteArrived) -> Step:
    """Remember keys for the owner of this epoch, and for no other."""
    expected = (WITNESS, state.epoch, state.peer)
    if (state.phase, event.epoch, event.sender) == expected:
        return Step(state, (TakeNote(event.sender, event.epoch),))
    return Step(state, (RejectNote(event.sender, event.epoch),))


@on(NoteConfirmed)
def note_confirmed(me: Incarnation, state: SlotState, event: NoteConfirmed) -> Step:
    """Admit keys that the witness of this epoch remembers."""
    expected = (OPENED, state.epoch, state.peer)
    if (state.phase, event.epoch, event.sender) == expected:
        return Step(state, (AdmitNoted(),))
    return Step(state)


@on(Observe)
def observe(me: Incarnation, state: SlotState, event: Observe) -> Step:
    """Step down where the table shows a newer epoch."""
    row = event.row
    if row is None or state.wrote is not None:
        return Step(state)
    if state.row is not None and row.version <= state.row.version:
        return Step(state)
    if row.epoch > state.epoch and state.phase in (OPENED, WITNESS, FORMING):
        after = state._replace(phase=IDLE, peer=NOBODY, row=row)
        return Step(after, (RefusePending(), *forget(me, after)))
    after = state._replace(row=row)
    return Step(after, forget(me, after) if after.phase == IDLE else ())


def forget(me: Incarnation, state: SlotState) -> tuple[ForgetKeys, ...]:
    """Return the command to forget, where `me` is in no pair that may claim."""
    row = state.row
    members = (row.owner, row.witness, row.last_owner, row.last_witness) if row else ()
    return () if me in members else (ForgetKeys(),)
