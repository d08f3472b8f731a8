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
from hawthorntrack.state.values import NO_INCARNATION, Incarnation, SlotRow

# --- events


class RowObserved(NamedTuple):
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


class WriteSucceeded(NamedTuple):
    """The write in `SlotState.pending_write` took effect."""

    version: int


class WriteConflicted(NamedTuple):
    """The write met another version; this is the row there."""

    row: SlotRow | None


class WriteUnconfirmed(NamedTuple):
    """The write may or may not have taken effect, or may do so yet."""


class HandoverReceived(NamedTuple):
    """The whole key set of an epoch was received from its claimer."""

    sender: Incarnation
    epoch: int


class HandoverConfirmed(NamedTuple):
    """The new witness holds the key set of that epoch."""

    sender: Incarnation
    epoch: int


class ReplicationRequested(NamedTuple):
    """The owner asks this guard to remember keys."""

    sender: Incarnation
    epoch: int


class ReplicationConfirmed(NamedTuple):
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


class MergeHandover(NamedTuple):
    """Merge the keys handed over, then confirm that to their sender."""

    to: Incarnation
    epoch: int


class AcceptReplication(NamedTuple):
    """Remember the noted keys, then confirm that to the owner."""

    to: Incarnation
    epoch: int


class RejectReplication(NamedTuple):
    """Tell the sender that this guard is not the witness at that epoch."""

    to: Incarnation
    epoch: int


class AdmitReplicated(NamedTuple):
    """The keys of the confirmed note are admitted: run their jobs."""


class RefusePending(NamedTuple):
    """Refuse jobs whose keys the witness has not confirmed; they never ran."""


class ForgetKeys(NamedTuple):
    """Drop the key set: no pair that may still claim includes this guard."""


class Step(NamedTuple):
    """The state after an event, and what is to be done."""

    state: SlotState
    commands: tuple[Any, ...] = ()


decisions: dict[type, Callable[[Incarnation, SlotState, Any], Step]] = {}


def on(kind: type) -> Callable[[Callable], Callable]:
    """Register the decision for events of type `kind`."""

    def register(decision: Callable) -> Callable:
        decisions[kind] = decision
        return decision

    return register


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
    return decisions[type(event)](me, state, event)


def may_claim(me: Incarnation, row: SlotRow | None) -> bool:
    """Return whether `me` may write the next epoch over `row`.

    Explanation
    -----------
    Only a member of the last formed pair is sure to hold every key that was ever
    admitted. A forming pair's new witness is no member until the row says formed.
    Before the first formed epoch no key was ever admitted, and anyone may claim.
    """
    if row is None or row.last_owner == NO_INCARNATION:
        return True
    return me in (row.last_owner, row.last_witness)


def row_is_current(state: SlotState) -> bool:
    """Return whether the row known is of the epoch that this guard acts at."""
    return state.phase != WITNESS or (
        state.row is not None and state.row.epoch == state.epoch and state.row.formed
    )


@on(Claim)
def on_claim(me: Incarnation, state: SlotState, event: Claim) -> Step:
    """Stop admitting and acknowledging, then write the next epoch."""
    if state.pending_write is not None:
        return Step(state)
    if not row_is_current(state):
        return Step(state, (ReadRow(),))
    row = state.row
    if not (event.reset_ms or may_claim(me, row)):
        return Step(state, (ReadRow(),))
    if event.reset_ms:
        pair, reset_ms = (NO_INCARNATION, NO_INCARNATION), event.reset_ms
    else:
        pair = (
            (row.last_owner, row.last_witness)
            if row
            else (NO_INCARNATION, NO_INCARNATION)
        )
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
    after = state._replace(phase=CLAIMING, peer=event.witness, pending_write=claimed)
    expect = row.version if row else 0
    return Step(after, (RefusePending(), WriteRow(expect, claimed)))


@on(WriteSucceeded)
def on_write_succeeded(
    me: Incarnation, state: SlotState, event: WriteSucceeded
) -> Step:
    """Go on from the claim to the handover, or from the seal to opening."""
    if state.pending_write is None:
        return Step(state)
    row = state.pending_write._replace(version=event.version)
    if state.phase == CLAIMING:
        after = state._replace(
            phase=FORMING, epoch=row.epoch, row=row, pending_write=None
        )
        return Step(after, (SendHandover(row.witness, row.epoch),))
    return Step(state._replace(phase=OPENED, row=row, pending_write=None))


@on(WriteConflicted)
def on_write_conflicted(
    me: Incarnation, state: SlotState, event: WriteConflicted
) -> Step:
    """Give up, unless the row met is the one written: then an earlier try took."""
    if state.pending_write is None:
        return Step(state)
    met = event.row
    if met is not None and met._replace(version=0) == state.pending_write:
        return on_write_succeeded(me, state, WriteSucceeded(met.version))
    after = state._replace(phase=IDLE, peer=NO_INCARNATION, row=met, pending_write=None)
    return Step(after, forget_keys_if_not_member(me, after))


@on(WriteUnconfirmed)
def on_write_unconfirmed(
    me: Incarnation, state: SlotState, event: WriteUnconfirmed
) -> Step:
    """Send the same write again: of equal conditional writes one takes effect."""
    if state.pending_write is None:
        return Step(state)
    expect = state.row.version if state.row else 0
    return Step(state, (WriteRow(expect, state.pending_write),))


@on(HandoverReceived)
def on_handover_received(
    me: Incarnation, state: SlotState, event: HandoverReceived
) -> Step:
    """Become the witness of a newer epoch, and confirm once the keys are held."""
    if event.epoch == state.epoch and event.sender == state.peer:
        again = state.phase == WITNESS
        return Step(state, (MergeHandover(event.sender, event.epoch),) if again else ())
    claimed = state.pending_write.epoch if state.pending_write else 0
    if event.epoch <= state.epoch or event.epoch < claimed:
        return Step(state)
    # A write of ours that is still unsettled was for this epoch at most, and the
    # sender's claim of it took effect: ours never will.
    after = state._replace(
        phase=WITNESS, epoch=event.epoch, peer=event.sender, pending_write=None
    )
    return Step(after, (RefusePending(), MergeHandover(event.sender, event.epoch)))


@on(HandoverConfirmed)
def on_handover_confirmed(
    me: Incarnation, state: SlotState, event: HandoverConfirmed
) -> Step:
    """Write that the pair is formed; only then may the slot open."""
    expected = (FORMING, state.epoch, state.peer)
    if (state.phase, event.epoch, event.sender) != expected:
        return Step(state)
    formed = state.row._replace(
        formed=True, last_owner=me, last_witness=state.peer, version=0
    )
    after = state._replace(phase=SEALING, pending_write=formed)
    return Step(after, (WriteRow(state.row.version, formed),))


@on(ReplicationRequested)
def on_replication_requested(
    me: Incarnation, state: SlotState, event: ReplicationRequested
) -> Step:
    """Remember keys for the owner of this epoch, and for no other."""
    expected = (WITNESS, state.epoch, state.peer)
    if (state.phase, event.epoch, event.sender) == expected:
        return Step(state, (AcceptReplication(event.sender, event.epoch),))
    return Step(state, (RejectReplication(event.sender, event.epoch),))


@on(ReplicationConfirmed)
def on_replication_confirmed(
    me: Incarnation, state: SlotState, event: ReplicationConfirmed
) -> Step:
    """Admit keys that the witness of this epoch remembers."""
    expected = (OPENED, state.epoch, state.peer)
    if (state.phase, event.epoch, event.sender) == expected:
        return Step(state, (AdmitReplicated(),))
    return Step(state)


@on(RowObserved)
def on_row_observed(me: Incarnation, state: SlotState, event: RowObserved) -> Step:
    """Step down where the table shows a newer epoch."""
    row = event.row
    if row is None or state.pending_write is not None:
        return Step(state)
    if state.row is not None and row.version <= state.row.version:
        return Step(state)
    if row.epoch > state.epoch and state.phase in (OPENED, WITNESS, FORMING):
        after = state._replace(phase=IDLE, peer=NO_INCARNATION, row=row)
        return Step(after, (RefusePending(), *forget_keys_if_not_member(me, after)))
    after = state._replace(row=row)
    return Step(
        after, forget_keys_if_not_member(me, after) if after.phase == IDLE else ()
    )


def forget_keys_if_not_member(
    me: Incarnation, state: SlotState
) -> tuple[ForgetKeys, ...]:
    """Return the command to forget, where `me` is in no pair that may claim."""
    row = state.row
    members = (row.owner, row.witness, row.last_owner, row.last_witness) if row else ()
    return () if me in members else (ForgetKeys(),)
