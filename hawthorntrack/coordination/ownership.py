"""Pure functions that decide on the ownership of slots: the slot protocol.

A slot has an owner, which admits jobs, and a witness, which holds a copy of the
owner's keys. Each decision takes the state of a slot at one guard and an event, and
returns the next state and the commands to execute.

See Also
--------
hawthorntrack.specs.slot_protocol : Checks these functions exhaustively.
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

# Events


class RowObserved(NamedTuple):
    """The slot's row was read from the table; None if the table has no such row."""

    row: SlotRow | None


class Claim(NamedTuple):
    """This guard is to claim the slot, with the given witness.

    Attributes
    ----------
    reset_ms : int
        Unix time in milliseconds of a reset, if the table shows that the incarnations
        of both members of the last formed pair have ended; otherwise 0.
    """

    witness: Incarnation
    reset_ms: int = 0


class WriteSucceeded(NamedTuple):
    """The write in `SlotState.pending_write` took effect."""

    version: int


class WriteConflicted(NamedTuple):
    """The write failed because the table holds another version, in `row`."""

    row: SlotRow | None


class WriteUnconfirmed(NamedTuple):
    """The outcome of the write is unknown; it may still take effect."""


class HandoverReceived(NamedTuple):
    """The whole key set of an epoch was received from the guard that claimed it."""

    sender: Incarnation
    epoch: int


class HandoverConfirmed(NamedTuple):
    """The new witness holds the key set of that epoch."""

    sender: Incarnation
    epoch: int


class ReplicationRequested(NamedTuple):
    """The owner asks this guard, its witness, to store keys."""

    sender: Incarnation
    epoch: int


class ReplicationConfirmed(NamedTuple):
    """The witness has stored keys of that epoch."""

    sender: Incarnation
    epoch: int


# Commands


class ReadRow(NamedTuple):
    """Read the slot's row, and apply it as `RowObserved`."""


class WriteRow(NamedTuple):
    """Write the row, if the table's version is still `expect`."""

    expect: int
    row: SlotRow


class SendHandover(NamedTuple):
    """Send the whole key set to the new witness."""

    to: Incarnation
    epoch: int


class MergeHandover(NamedTuple):
    """Merge the keys handed over, then confirm the handover to their sender."""

    to: Incarnation
    epoch: int


class AcceptReplication(NamedTuple):
    """Store the owner's keys, then confirm this to the owner."""

    to: Incarnation
    epoch: int


class RejectReplication(NamedTuple):
    """Reply to the sender that this guard is not the witness of that epoch."""

    to: Incarnation
    epoch: int


class AdmitReplicated(NamedTuple):
    """Admit the jobs of the confirmed batch of keys."""


class RefusePending(NamedTuple):
    """Refuse the jobs whose keys the witness has not confirmed; they never ran."""


class ForgetKeys(NamedTuple):
    """Drop the key set: no pair that may still claim includes this guard."""


class Step(NamedTuple):
    """The state after an event, and the commands to execute in order."""

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
    """Return the state after `event` and the commands to execute.

    Parameters
    ----------
    me : Incarnation
        The guard that decides.
    state : SlotState
        The state of the slot at this guard before the event.
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
    Only a member of the last formed pair is certain to hold every key that was ever
    admitted. The new witness of a forming pair is not a member until the row is
    marked as formed. Before the first formed epoch no key has been admitted, so any
    guard may claim.
    """
    if row is None or row.last_owner == NO_INCARNATION:
        return True
    return me in (row.last_owner, row.last_witness)


def row_is_current(state: SlotState) -> bool:
    """Return whether the row in `state` suffices to claim from.

    Explanation
    -----------
    A witness learns of an epoch by the handover, before it has seen the epoch's row
    marked as formed.
    """
    return state.phase != WITNESS or (
        state.row is not None and state.row.epoch == state.epoch and state.row.formed
    )


@on(Claim)
def on_claim(me: Incarnation, state: SlotState, event: Claim) -> Step:
    """Stop admitting jobs and confirming keys, and write a row of the next epoch."""
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
    """Start the handover after a claim, or open the slot once the pair is formed."""
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
    """Become idle, unless an earlier attempt wrote the row that conflicts."""
    if state.pending_write is None:
        return Step(state)
    found = event.row
    if found is not None and found._replace(version=0) == state.pending_write:
        return on_write_succeeded(me, state, WriteSucceeded(found.version))
    after = state._replace(
        phase=IDLE, peer=NO_INCARNATION, row=found, pending_write=None
    )
    return Step(after, forget_keys_if_not_member(me, after))


@on(WriteUnconfirmed)
def on_write_unconfirmed(
    me: Incarnation, state: SlotState, event: WriteUnconfirmed
) -> Step:
    """Repeat the write; at most one of several equal conditional writes succeeds."""
    if state.pending_write is None:
        return Step(state)
    expect = state.row.version if state.row else 0
    return Step(state, (WriteRow(expect, state.pending_write),))


@on(HandoverReceived)
def on_handover_received(
    me: Incarnation, state: SlotState, event: HandoverReceived
) -> Step:
    """Become the witness of a newer epoch; merge the keys and confirm the handover."""
    if event.epoch == state.epoch and event.sender == state.peer:
        repeated = state.phase == WITNESS
        return Step(
            state, (MergeHandover(event.sender, event.epoch),) if repeated else ()
        )
    claimed_epoch = state.pending_write.epoch if state.pending_write else 0
    if event.epoch <= state.epoch or event.epoch < claimed_epoch:
        return Step(state)
    # A write of this guard that is still unconfirmed is for this epoch or an earlier
    # one. The sender's claim of this epoch took effect, so that write never will.
    after = state._replace(
        phase=WITNESS, epoch=event.epoch, peer=event.sender, pending_write=None
    )
    return Step(after, (RefusePending(), MergeHandover(event.sender, event.epoch)))


@on(HandoverConfirmed)
def on_handover_confirmed(
    me: Incarnation, state: SlotState, event: HandoverConfirmed
) -> Step:
    """Write a row marked as formed; the slot opens only after this write succeeds."""
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
    """Accept keys from the owner of the present epoch; reject those of any other."""
    expected = (WITNESS, state.epoch, state.peer)
    if (state.phase, event.epoch, event.sender) == expected:
        return Step(state, (AcceptReplication(event.sender, event.epoch),))
    return Step(state, (RejectReplication(event.sender, event.epoch),))


@on(ReplicationConfirmed)
def on_replication_confirmed(
    me: Incarnation, state: SlotState, event: ReplicationConfirmed
) -> Step:
    """Admit the keys that the witness of the present epoch has confirmed."""
    expected = (OPENED, state.epoch, state.peer)
    if (state.phase, event.epoch, event.sender) == expected:
        return Step(state, (AdmitReplicated(),))
    return Step(state)


@on(RowObserved)
def on_row_observed(me: Incarnation, state: SlotState, event: RowObserved) -> Step:
    """Store a newer row, and step down if it is of a newer epoch."""
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
    """Return `ForgetKeys` if `me` belongs to no pair that may claim, or nothing."""
    row = state.row
    members = (row.owner, row.witness, row.last_owner, row.last_witness) if row else ()
    return () if me in members else (ForgetKeys(),)
