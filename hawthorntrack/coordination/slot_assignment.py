"""Decisions on which slots to claim, to hand on, or to give a new witness."""

from collections.abc import Mapping
from typing import NamedTuple

from hawthorntrack.coordination.membership import choose_witness, preferred_owner
from hawthorntrack.state.slots import FORMING, IDLE, OPENED, WITNESS, SlotState
from hawthorntrack.state.values import NO_INCARNATION, GuardInfo, Incarnation


class SlotAction(NamedTuple):
    """A step to take on one slot.

    Attributes
    ----------
    witness : Incarnation or None
        The witness to claim with; None to ask the present witness to claim.
    reset : bool
        Whether both members of the last formed pair are known to be gone.
    """

    slot: int
    reason: str
    witness: Incarnation | None
    reset: bool = False


class MembershipSnapshot(NamedTuple):
    """What a guard knows when it looks after its slots.

    Attributes
    ----------
    me : GuardInfo
        This guard.
    registered : mapping of str to GuardInfo
        All guards that the table shows, by address.
    candidates : mapping of str to GuardInfo
        Guards that may take slots, by address.
    candidate_addresses : frozenset of str
        Addresses of the candidates.
    alive : set of Incarnation
        Guards heard of lately.
    rule : str
        The rule for choosing a witness.
    membership_stable : bool
        Whether the candidates have been the same for a while.
    leaving : bool
        Whether this guard is to give its slots up.
    """

    me: GuardInfo
    registered: Mapping[str, GuardInfo]
    candidates: Mapping[str, GuardInfo]
    candidate_addresses: frozenset[str]
    alive: set[Incarnation]
    rule: str
    membership_stable: bool
    leaving: bool


def incarnation_ended(around: MembershipSnapshot, member: Incarnation) -> bool:
    """Return whether the table shows that this life of a guard has ended."""
    known = around.registered.get(member.address)
    return known is None or known.incarnation != member


def plan_slot_action(
    slot: int, state: SlotState, around: MembershipSnapshot
) -> SlotAction | None:
    """Return what is to be done about a slot now, or None.

    Parameters
    ----------
    slot : int
        Number of the slot.
    state : SlotState
        This guard's role there.
    around : MembershipSnapshot
        Who else is there.
    """
    if state.pending_write is not None:
        return None
    if state.phase in (OPENED, WITNESS, FORMING) and state.peer not in around.alive:
        return plan_claim(slot, "peer_silent", around, avoid=state.peer)
    if state.phase == OPENED:
        return plan_handover(slot, state, around)
    if state.phase == IDLE:
        return plan_takeover(slot, state, around)
    return None


def plan_claim(
    slot: int,
    reason: str,
    around: MembershipSnapshot,
    avoid: Incarnation = NO_INCARNATION,
    reset: bool = False,
) -> SlotAction | None:
    """Return the claim of a slot with the best witness, or None without one."""
    witness = choose_witness(
        slot, around.me, around.candidates, around.rule, frozenset({avoid})
    )
    return SlotAction(slot, reason, witness, reset) if witness else None


def plan_handover(
    slot: int, state: SlotState, around: MembershipSnapshot
) -> SlotAction | None:
    """Return how an owner passes its slot to the guard that should have it."""
    owner = preferred_owner(slot, around.candidate_addresses)
    here = around.me.incarnation.address
    peer_serves = state.peer.address in around.candidates
    if owner is None or not (
        around.membership_stable or around.leaving or not peer_serves
    ):
        return None
    if around.leaving and peer_serves:
        return SlotAction(slot, "leaving", None)
    if not peer_serves:
        return plan_claim(slot, "witness_leaving", around, avoid=state.peer)
    if owner == state.peer.address:
        return SlotAction(slot, "rebalance", None)
    if owner != here:
        return SlotAction(slot, "rebalance", around.candidates[owner].incarnation)
    return None


def plan_takeover(
    slot: int, state: SlotState, around: MembershipSnapshot
) -> SlotAction | None:
    """Return the claim of a slot that has no open owner, or None."""
    if around.leaving:
        return None
    row = state.row
    if row is None:
        first = around.membership_stable and is_preferred_owner(slot, around)
        return plan_claim(slot, "unowned", around) if first else None
    pair = (row.last_owner, row.last_witness)
    if not row.formed and around.me.incarnation in pair:
        stuck = row.owner not in around.alive
        return (
            plan_claim(slot, "claimer_silent", around, avoid=row.owner)
            if stuck
            else None
        )
    if row.formed and around.me.incarnation in pair:
        return plan_claim(slot, "membership_lost", around)
    if row.last_owner == NO_INCARNATION:
        stuck = row.owner not in around.alive and is_preferred_owner(slot, around)
        return (
            plan_claim(slot, "claimer_silent", around, avoid=row.owner)
            if stuck
            else None
        )
    if not around.membership_stable or not all(
        incarnation_ended(around, member) for member in pair
    ):
        return None
    if is_preferred_owner(slot, around):
        return plan_claim(slot, "pair_lost", around, reset=True)
    return None


def is_preferred_owner(slot: int, around: MembershipSnapshot) -> bool:
    """Return whether this guard should have a slot; asked last, for it ranks all."""
    return (
        preferred_owner(slot, around.candidate_addresses)
        == around.me.incarnation.address
    )
