"""Faulty variants of the slot decisions, which the search must detect."""

from typing import Any

from hawthorntrack.coordination import ownership as own
from hawthorntrack.specs.slot_protocol import Decide
from hawthorntrack.state.registry import Registry
from hawthorntrack.state.slots import (
    CLAIMING,
    FORMING,
    OPENED,
    SEALING,
    WITNESS,
    SlotState,
)
from hawthorntrack.state.values import Incarnation

mutations: Registry[Decide] = Registry("mutation")


@mutations.register("no_forming")
def open_without_forming(me: Incarnation, state: SlotState, event: Any) -> own.Step:
    """Write the claim as formed, and open before the witness has received the keys."""
    step = own.decide(me, state, event)
    if isinstance(event, own.Claim) and step.state.phase == CLAIMING:
        row = step.state.pending_write._replace(
            formed=True, last_owner=me, last_witness=step.state.peer
        )
        commands = tuple(
            command._replace(row=row) if isinstance(command, own.WriteRow) else command
            for command in step.commands
        )
        return own.Step(step.state._replace(pending_write=row), commands)
    if isinstance(event, own.WriteSucceeded) and step.state.phase == FORMING:
        return own.Step(step.state._replace(phase=OPENED), step.commands)
    return step


@mutations.register("claimer_acknowledges")
def acknowledge_while_claiming(
    me: Incarnation, state: SlotState, event: Any
) -> own.Step:
    """Accept replication of the old epoch while claiming the next one."""
    claiming = state.phase in (CLAIMING, FORMING, SEALING)
    if isinstance(event, own.ReplicationRequested) and claiming:
        return own.Step(state, (own.AcceptReplication(event.sender, event.epoch),))
    return own.decide(me, state, event)


@mutations.register("claimer_admits")
def admit_while_claiming(me: Incarnation, state: SlotState, event: Any) -> own.Step:
    """Admit keys as the old owner while claiming the next epoch."""
    step = own.decide(me, state, event)
    if isinstance(event, own.Claim) and state.phase == OPENED:
        commands = (c for c in step.commands if not isinstance(c, own.RefusePending))
        return own.Step(step.state, tuple(commands))
    if isinstance(event, own.ReplicationConfirmed) and state.phase != WITNESS:
        return own.Step(state, (own.AdmitReplicated(),))
    return step


@mutations.register("forming_witness_claims")
def let_forming_witness_claim(
    me: Incarnation, state: SlotState, event: Any
) -> own.Step:
    """Allow an owner or witness of a row that is not formed to claim the next epoch."""
    row = state.row
    if isinstance(event, own.Claim) and row and me in (row.owner, row.witness):
        formed_row = row._replace(last_owner=row.owner, last_witness=row.witness)
        return own.decide(me, state._replace(row=formed_row), event)
    return own.decide(me, state, event)
