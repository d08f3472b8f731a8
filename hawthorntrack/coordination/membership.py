"""Pure functions that select guards as slot owners, as witnesses and as neighbours."""

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
        All registered guards, by address. There may be thousands, so the smaller set
        `alive` is iterated instead.
    zones_out : frozenset of str
        Zones out of service.
    alive : set of Incarnation
        Guards from which a message arrived recently, and this one. The size is
        bounded by the number of guards that this process keeps in view.
    """
    registrations = (registered.get(incarnation.address) for incarnation in alive)
    return {
        guard.incarnation.address: guard
        for guard in registrations
        if guard is not None
        and not guard.draining
        and guard.place.zone not in zones_out
        and guard.incarnation in alive
    }


@lru_cache(maxsize=RANKING_CACHE_SIZE)
def preferred_owner(slot: int, addresses: frozenset[str]) -> str | None:
    """Return the address that ranks first for a slot, or None without candidates.

    Explanation
    -----------
    Results are cached, because every guard ranks the same slots repeatedly and the
    candidates seldom change.

    Parameters
    ----------
    addresses : frozenset of str
        Addresses of the candidates.
    """
    ranked = rendezvous(f"slot-{slot}", addresses)
    return ranked[0] if ranked else None


@witness_rules.register("other_zone")
def prefer_other_zone(owner: Location, other: Location) -> tuple[bool, bool]:
    """Prefer a location in another zone, then one in another rack."""
    return owner.zone != other.zone, (owner.zone, owner.rack) != (
        other.zone,
        other.rack,
    )


@witness_rules.register("other_rack")
def prefer_other_rack(owner: Location, other: Location) -> tuple[bool, bool]:
    """Prefer another rack of the same zone, then any other rack."""
    other_rack = (owner.zone, owner.rack) != (other.zone, other.rack)
    return other_rack and owner.zone == other.zone, other_rack


def choose_witness(
    slot: int,
    owner: GuardInfo,
    candidates: Mapping[str, GuardInfo],
    rule: str,
    avoid: frozenset[Incarnation] = frozenset(),
) -> Incarnation | None:
    """Return the witness for an owner: the best location, then the first in rank.

    Parameters
    ----------
    rule : str
        Name of a witness rule.
    avoid : frozenset of Incarnation
        Guards not to choose, such as one that has just stopped responding.

    Returns
    -------
    Incarnation or None
        None if no other guard is eligible.
    """
    addresses = [
        address
        for address, guard in candidates.items()
        if guard.incarnation != owner.incarnation and guard.incarnation not in avoid
    ]
    ranked = rendezvous(f"slot-{slot}", addresses)
    if not ranked:
        return None
    rank = witness_rules[rule]
    best = max(ranked, key=lambda address: rank(owner.place, candidates[address].place))
    return candidates[best].incarnation


def sample_guards(
    me: Location, guards: Iterable[GuardInfo], size: int, subject: str
) -> list[GuardInfo]:
    """Return at most `size` guards to keep in view, up to half of them in its own zone.

    Explanation
    -----------
    A process of a large fleet keeps a sample of the guards in view. The sample is
    drawn by rendezvous hashing with `subject`, so that each process has a different
    one, which stays mostly the same while guards join and leave.
    """
    by_address = {guard.incarnation.address: guard for guard in guards}
    if len(by_address) <= size:
        return list(by_address.values())
    ranked = [by_address[address] for address in rendezvous(subject, by_address)]
    same_zone = [guard for guard in ranked if guard.place.zone == me.zone][: size // 2]
    chosen = {guard.incarnation.address for guard in same_zone}
    rest = (guard for guard in ranked if guard.incarnation.address not in chosen)
    return same_zone + list(islice(rest, size - len(same_zone)))
