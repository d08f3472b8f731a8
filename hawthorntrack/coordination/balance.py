"""Decisions on which slots to claim, to hand on, or to give a new witness."""

from collections.abc import Mapping
from typing import NamedTuple

from hawthorntrack.coordination.membership import choose_witness, preferred_owner
from hawthorntrack.state.slots import FORMING, IDLE, OPENED, WITNESS, SlotState
from hawthorntrack.state.values import NOBODY, GuardInfo, Incarnation


class Move(NamedTuple):
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


class Surroundings(NamedTuple):
    """What a guard knows when it looks after its slots.

    Attributes
    ----------
    me : GuardInfo
        This guard.
    registered : mapping of str to GuardInfo
        All guards that the table shows, by address.
    candidates : mapping of str to GuardInfo
        Guards that may take slots, by address.
    names : frozenset of str
        Addresses of the candidates.
    alive : set of Incarnation
        Guards heard of lately.
    rule : str
        The rule for choosing a witness.
    settled : bool
        Whether the candidates have been the same for a while.
    leaving : bool
        Whether this guard is to give its slots up.
    """

    me: GuardInfo
    registered: Mapping[str, GuardInfo]
    candidates: Mapping[str, GuardInfo]
    names: frozenset[str]
    alive: set[Incarnation]
    rule: str
    settled: bool
    leaving: bool


def gone(around: Surroundings, member: Incarnation) -> bool:
    """Return whether the table shows that this life of a guard has ended."""
    known = around.registered.get(member.address)
    return known is None or known.incarnation != member


def plan_move(slot: int, state: SlotState, around: Surroundings) -> Move | None:
    """Return what is to be done about a slot now, or None.

    Parameters
    ----------
    slot : int
        Number of the slot.
    state : SlotState
        This guard's role there.
    around : Surroundings
        Who else is there.
    """
    if state.wrote is not None:
        return None
    if state.phase in (OPENED, WITNESS, FORMING) and state.peer not in around.alive:
        return claim(slot, "peer_silent", around, avoid=state.peer)
    if state.phase == OPENED:
        return hand_on(slot, state, around)
    if state.phase == IDLE:
        return take_up(slot, state, around)
    return None


def claim(
    slot: int,
    reason: str,
    around: Surroundings,
    avoid: Incarnation = NOBODY,
    reset: bool = False,
) -> Move | None:
    """Return the claim of a slot with the best witness, or None without one."""
    witness = choose_witness(
        slot, around.me, around.candidates, around.rule, frozenset({avoid})
    )
    return Move(slot, reason, witness, reset) if witness else None


def hand_on(slot: int, state: SlotState, around: Surroundings) -> Move | None:
    """Return how an owner passes its slot to the guard that should have it."""
    owner = preferred_owner(slot, around.names)
    here = around.me.incarnation.address
    peer_serves = state.peer.address in around.candidates
    if owner is None or not (around.settled or around.leaving or not peer_serves):
        return None
    if around.leaving and peer_serves:
        return Move(slot, "leaving", None)
    if not peer_serves:
        return claim(slot, "witness_leaving", around, avoid=state.peer)
    if owner == state.peer.address:
        return Move(slot, "rebalance", None)
    if owner != here:
        return Move(slot, "rebalance", around.candidates[owner].incarnation)
    return None


def take_up(slot: int, state: SlotState, around: Surroundings) -> Move | None:
    """Return the claim of a slot that has no open owner, or None."""
    if around.leaving:
        return None
    row = state.row
    if row is None:
        first = around.settled and ranks_first(slot, around)
        return claim(slot, "unowned", around) if first else None
    pair = (row.last_owner, row.last_witness)
    if not row.formed and around.me.incarnation in pair:
        stuck = row.owner not in around.alive
        return claim(slot, "claimer_silent", around, avoid=row.owner) if stuck else None
    if row.formed and around.me.incarnation in pair:
        return claim(slot, "membership_lost", around)
    if row.last_owner == NOBODY:
        stuck = row.owner not in around.alive and ranks_first(slot, around)
        return claim(slot, "claimer_silent", around, avoid=row.owner) if stuck else None
    if not around.settled or not all(gone(around, member) for member in pair):
        return None
    if ranks_first(slot, around):
        return claim(slot, "pair_lost", around, reset=True)
    return None


def ranks_first(slot: int, around: Surroundings) -> bool:
    """Return whether this guard should have a slot; asked last, for it ranks all."""
    return preferred_owner(slot, around.names) == around.me.incarnation.address
