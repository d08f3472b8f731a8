"""Decisions about which guards may own, witness and run."""

from collections.abc import Callable, Iterable, Mapping
from functools import lru_cache
from itertools import islice

from hawthorntrack.state.hashing import rendezvous
from hawthorntrack.state.registry import Registry
from hawthorntrack.state.values import GuardInfo, Incarnation, Location

RANKING_CACHE_SIZE = 65_536

WitnessRule = Callable[[Location, Location], tuple[bool, bool]]
witness_rules: Registry[WitnessRule] = Registry("witness rule")


def eligible_guards(
    registered: Mapping[str, GuardInfo],
    zones_out: frozenset[str],
    alive: set[Incarnation],
) -> dict[str, GuardInfo]:
    """Return the guards that may take slots, by address.

    Parameters
    ----------
    registered : mapping of str to GuardInfo
        All registered guards, by address. There may be thousands; of those alive
        there are as many as are in view.
    zones_out : frozenset of str
        Zones out of service.
    alive : set of Incarnation
        Guards heard of lately, this one included.
    """
    found = (registered.get(incarnation.address) for incarnation in alive)
    return {
        guard.incarnation.address: guard
        for guard in found
        if guard is not None
        and not guard.draining
        and guard.place.zone not in zones_out
        and guard.incarnation in alive
    }


@lru_cache(maxsize=RANKING_CACHE_SIZE)
def preferred_owner(slot: int, names: frozenset[str]) -> str | None:
    """Return the address that ranks first for a slot, or None without candidates.

    Parameters
    ----------
    names : frozenset of str
        Addresses of the candidates. Every guard asks for the same slots again and
        again, and the candidates seldom change, so answers are kept.
    """
    ranked = rendezvous(f"slot-{slot}", names)
    return ranked[0] if ranked else None


@witness_rules.register("other_zone")
def prefer_other_zone(owner: Location, other: Location) -> tuple[bool, bool]:
    """Rank a place higher in another zone, then in another rack."""
    return owner.zone != other.zone, (owner.zone, owner.rack) != (
        other.zone,
        other.rack,
    )


@witness_rules.register("other_rack")
def prefer_other_rack(owner: Location, other: Location) -> tuple[bool, bool]:
    """Rank a place higher in another rack of the same zone, then anywhere apart."""
    other_rack = (owner.zone, owner.rack) != (other.zone, other.rack)
    return other_rack and owner.zone == other.zone, other_rack


def choose_witness(
    slot: int,
    owner: GuardInfo,
    candidates: Mapping[str, GuardInfo],
    rule: str,
    avoid: frozenset[Incarnation] = frozenset(),
) -> Incarnation | None:
    """Return the witness for an owner: the best place first, then by rank.

    Parameters
    ----------
    rule : str
        Name of a witness rule.
    avoid : frozenset of Incarnation
        Guards not to choose, such as one that has just fallen silent.

    Returns
    -------
    Incarnation or None
        None when no other guard may serve.
    """
    names = [
        address
        for address, guard in candidates.items()
        if guard.incarnation != owner.incarnation and guard.incarnation not in avoid
    ]
    ranked = rendezvous(f"slot-{slot}", names)
    if not ranked:
        return None
    rank = witness_rules[rule]
    best = max(ranked, key=lambda address: rank(owner.place, candidates[address].place))
    return candidates[best].incarnation


def sample_guards(
    me: Location, guards: Iterable[GuardInfo], size: int, subject: str
) -> list[GuardInfo]:
    """Return at most `size` guards to keep in view, half of them of one's own zone.

    Explanation
    -----------
    A process of a large fleet knows a sample. The sample is drawn by rendezvous
    for `subject`, so that each process has another one and keeps it while others
    come and go.
    """
    by_address = {guard.incarnation.address: guard for guard in guards}
    if len(by_address) <= size:
        return list(by_address.values())
    ranked = [by_address[name] for name in rendezvous(subject, by_address)]
    near = [guard for guard in ranked if guard.place.zone == me.zone][: size // 2]
    taken = {guard.incarnation.address for guard in near}
    rest = (guard for guard in ranked if guard.incarnation.address not in taken)
    return near + list(islice(rest, size - len(near)))
