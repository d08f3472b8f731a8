"""Slot assignment: which slots to claim, hand over, or give a new witness."""

from collections.abc import Mapping
from typing import NamedTuple

from hawthorntrack.coordination.membership import choose_witness, preferred_owner
from hawthorntrack.state.slots import FORMING, IDLE, OPENED, WITNESS, SlotState
from hawthorntrack.state.values import NO_INCARNATION, GuardInfo, Incarnation


class SlotAction(NamedTuple):
    """An action to take on one slot.

    Attributes
    ----------
    witness : Incarnation or None
        Witness of the new claim; None to ask the present witness to claim the slot.
    reset : bool
        Whether the incarnations of both members of the last formed pair have ended.
    """

    slot: int
    reason: str
    witness: Incarnation | None
    reset: bool = False


class MembershipSnapshot(NamedTuple):
    """View of the fleet on which a guard bases its slot actions.

    Attributes
    ----------
    me : GuardInfo
        This guard.
    registered : mapping of str to GuardInfo
        All guards registered in the table, by address.
    candidates : mapping of str to GuardInfo
        Guards that are eligible for slots, by address.
    candidate_addresses : frozenset of str
        Addresses of the candidates.
    alive : set of Incarnation
        Guards from which a message arrived recently.
    rule : str
        Name of the rule for choosing a witness.
    membership_stable : bool
        Whether the candidates have not changed recently.
    leaving : bool
        Whether this guard must give up its slots.
    """

    me: GuardInfo
    registered: Mapping[str, GuardInfo]
    candidates: Mapping[str, GuardInfo]
    candidate_addresses: frozenset[str]
    alive: set[Incarnation]
    rule: str
    membership_stable: bool
    leaving: bool


def incarnation_ended(snapshot: MembershipSnapshot, member: Incarnation) -> bool:
    """Return whether the table shows that an incarnation of a guard has ended."""
    registered = snapshot.registered.get(member.address)
    return registered is None or registered.incarnation != member


def plan_slot_action(
    slot: int, state: SlotState, snapshot: MembershipSnapshot
) -> SlotAction | None:
    """Return the action that a slot needs now, or None.

    Parameters
    ----------
    slot : int
        Slot number.
    state : SlotState
        This guard's state of the slot.
    snapshot : MembershipSnapshot
        Current view of the fleet.
    """
    if state.pending_write is not None:
        return None
    if state.phase in (OPENED, WITNESS, FORMING) and state.peer not in snapshot.alive:
        return plan_claim(slot, "peer_silent", snapshot, avoid=state.peer)
    if state.phase == OPENED:
        return plan_handover(slot, state, snapshot)
    if state.phase == IDLE:
        return plan_takeover(slot, state, snapshot)
    return None


def plan_claim(
    slot: int,
    reason: str,
    snapshot: MembershipSnapshot,
    avoid: Incarnation = NO_INCARNATION,
    reset: bool = False,
) -> SlotAction | None:
    """Return the claim of a slot with the best witness, or None if there is none."""
    witness = choose_witness(
        slot, snapshot.me, snapshot.candidates, snapshot.rule, frozenset({avoid})
    )
    return SlotAction(slot, reason, witness, reset) if witness else None


def plan_handover(
    slot: int, state: SlotState, snapshot: MembershipSnapshot
) -> SlotAction | None:
    """Return the handover of a slot, or the claim with a new witness, or None."""
    preferred = preferred_owner(slot, snapshot.candidate_addresses)
    own_address = snapshot.me.incarnation.address
    witness_eligible = state.peer.address in snapshot.candidates
    if preferred is None or not (
        snapshot.membership_stable or snapshot.leaving or not witness_eligible
    ):
        return None
    if snapshot.leaving and witness_eligible:
        return SlotAction(slot, "leaving", None)
    if not witness_eligible:
        return plan_claim(slot, "witness_leaving", snapshot, avoid=state.peer)
    if preferred == state.peer.address:
        return SlotAction(slot, "rebalance", None)
    if preferred != own_address:
        return SlotAction(slot, "rebalance", snapshot.candidates[preferred].incarnation)
    return None


def plan_takeover(
    slot: int, state: SlotState, snapshot: MembershipSnapshot
) -> SlotAction | None:
    """Return the claim of a slot that has no working owner, or None."""
    if snapshot.leaving:
        return None
    row = state.row
    if row is None:
        may_claim = snapshot.membership_stable and is_preferred_owner(slot, snapshot)
        return plan_claim(slot, "unowned", snapshot) if may_claim else None
    pair = (row.last_owner, row.last_witness)
    if not row.formed and snapshot.me.incarnation in pair:
        claimer_silent = row.owner not in snapshot.alive
        return (
            plan_claim(slot, "claimer_silent", snapshot, avoid=row.owner)
            if claimer_silent
            else None
        )
    if row.formed and snapshot.me.incarnation in pair:
        return plan_claim(slot, "membership_lost", snapshot)
    if row.last_owner == NO_INCARNATION:
        claimer_silent = row.owner not in snapshot.alive and is_preferred_owner(
            slot, snapshot
        )
        return (
            plan_claim(slot, "claimer_silent", snapshot, avoid=row.owner)
            if claimer_silent
            else None
        )
    if not snapshot.membership_stable or not all(
        incarnation_ended(snapshot, member) for member in pair
    ):
        return None
    if is_preferred_owner(slot, snapshot):
        return plan_claim(slot, "pair_lost", snapshot, reset=True)
    return None


def is_preferred_owner(slot: int, snapshot: MembershipSnapshot) -> bool:
    """Return whether this guard is the preferred owner of a slot.

    Explanation
    -----------
    Callers check other conditions first, because this ranks all candidates.
    """
    return (
        preferred_owner(slot, snapshot.candidate_addresses)
        == snapshot.me.incarnation.address
    )
