"""Selection of the guards to which an entry instance keeps links.

Load pattern: tens of entry instances and hundreds of guards. If each entry instance
were linked to each guard, heartbeats and capacity reports would grow with the product
of both numbers. So an entry instance places its tasks on a bounded working set, and
extends that set while its jobs wait.
"""

import math
from collections.abc import Callable, Collection, Iterable
from functools import lru_cache
from hashlib import blake2b
from itertools import chain, zip_longest
from typing import NamedTuple

from hawthorntrack.state.directives import Member

# Holds several jobs of the widest kind beside the runs of other entry instances.
MIN_SET_SIZE = 26
# Each guard is in the working sets of about this many entry instances, so that its
# target gets work although some of them have no callers.
SETS_PER_GUARD = 5
# A guard that cannot be used for this long is replaced by the next in order.
SUBSTITUTION_DELAY_S = 1.0
# A new link to a guard that is alive is up within a few round trips.
FIRST_LINK_ALLOWANCE_S = 0.2
# Where no guard can be used, as at a start, more substitutes would not help.
MAX_SUBSTITUTION_FACTOR = 2
# A guard without a link for this long gives up its place, and is dialled again at this
# interval.
DIAL_PATIENCE_S = 30.0
# Guards that are no longer needed keep their links for this long, so that short
# failures and short bursts do not open and close links all the time.
SURPLUS_LINGER_S = 5.0
# A set that must be larger than `MIN_SET_SIZE` grows by one guard at this interval.
GROWTH_INTERVAL_S = 0.1
# While jobs wait, this many guards are added at each review.
EXTENSION_STEP = 4
# The extension ends this long after the last job waited.
EXTENSION_LINGER_S = 2.0


def set_size(entries: int, guards: int, max_links: int) -> int:
    """Return the number of usable guards that a working set should have.

    Examples
    --------
    >>> set_size(3, 11, 256), set_size(35, 160, 256), set_size(53, 246, 256)
    (11, 26, 26)
    """
    covering = math.ceil(SETS_PER_GUARD * guards / max(1, entries))
    return min(guards, max_links, max(MIN_SET_SIZE, covering))


@lru_cache(maxsize=100_000)
def rendezvous_weight(owner: str, guard: str) -> bytes:
    """Return a hash of two addresses; the lowest ones are preferred."""
    return blake2b(f"{owner} {guard}".encode(), digest_size=8).digest()


def preference_order(owner: str, zone: str, guards: Iterable[Member]) -> list[str]:
    """Return guards' addresses in an entry instance's order of preference.

    Explanation
    -----------
    The order is by a hash of both addresses (rendezvous hashing): it needs no
    agreement, and a guard that joins or leaves changes little. Guards of the own zone
    and of other zones alternate, so that a working set outlives its zone.
    """
    ordered = sorted(guards, key=lambda guard: rendezvous_weight(owner, guard.address))
    near = (guard.address for guard in ordered if guard.zone == zone)
    far = (guard.address for guard in ordered if guard.zone != zone)
    pairs = zip_longest(near, far)
    return [address for address in chain.from_iterable(pairs) if address is not None]


class Place(NamedTuple):
    """The place of a guard in a working set.

    Attributes
    ----------
    unusable_since : float
        Time since which it cannot be used; infinity while it can.
    counts_until : float
        It counts as one of the usable guards until this time.
    """

    unusable_since: float
    counts_until: float


USABLE = Place(math.inf, math.inf)


def next_place(previous: Place | None, usable: bool, now: float) -> Place:
    """Return the place of a guard at a review, given its place at the one before.

    Examples
    --------
    >>> next_place(None, False, 10.0)
    Place(unusable_since=10.0, counts_until=10.2)
    >>> next_place(USABLE, False, 20.0)
    Place(unusable_since=20.0, counts_until=21.0)
    """
    if usable:
        return USABLE
    if previous is None:
        return Place(now, now + FIRST_LINK_ALLOWANCE_S)
    if previous is USABLE:
        return Place(now, now + SUBSTITUTION_DELAY_S)
    return previous


class LinkChanges(NamedTuple):
    """Links to open, and links that are not needed any more."""

    dial: list[str]
    release: list[str]


class WorkingSet:
    """The guards that an entry instance wants to be linked to.

    Parameters
    ----------
    owner, zone : str
        Address and zone of the entry instance.
    max_links : int
        Largest number of guards in the set, usable or not.

    Attributes
    ----------
    guards : dict of str to Member
        All guards known, by address.
    entries : set of str
        Addresses of all entry instances known, this one included.
    order : list of str
        The guards in order of preference.
    chosen : dict of str to Place
        The set.
    dialled : set of str
        Guards to which links are maintained: the set, and those that left it lately.
    surplus_since : dict of str to float
        When guards that are still linked left the set.
    resting_until : dict of str to float
        Guards that gave up their place because they could not be linked.
    size_limit : int
        Size up to which the set has grown so far.
    extension : int
        Number of guards by which the set is larger because jobs wait.
    """

    def __init__(self, owner: str, zone: str, max_links: int) -> None:
        self.owner = owner
        self.zone = zone
        self.max_links = max_links
        self.guards: dict[str, Member] = {}
        self.entries: set[str] = {owner}
        self.order: list[str] = []
        self.chosen: dict[str, Place] = {}
        self.dialled: set[str] = set()
        self.surplus_since: dict[str, float] = {}
        self.resting_until: dict[str, float] = {}
        self.size_limit = MIN_SET_SIZE
        self.grows_at = -math.inf
        self.extension = 0
        self.extended_until = -math.inf
        self.short = False

    def add_members(self, members: Iterable[Member]) -> bool:
        """Record members; return whether the set has to be reviewed at once.

        Explanation
        -----------
        A guard that registers again has restarted, and is dialled without a rest.
        """
        reordered = rested = False
        for member in members:
            if member.role == "entry":
                self.entries.add(member.address)
                continue
            rested |= self.resting_until.pop(member.address, None) is not None
            reordered |= self.guards.get(member.address) != member
            self.guards[member.address] = member
        if reordered:
            self.order = preference_order(self.owner, self.zone, self.guards.values())
        return reordered or rested

    def note_shortage(self) -> None:
        """Record that a job waits although all guards of the set were considered."""
        self.short = True

    def review(
        self,
        now: float,
        is_usable: Callable[[str], bool],
        linked: Collection[str],
        recorded: Iterable[str],
    ) -> LinkChanges:
        """Choose the guards again; return the links to open and those to release.

        Parameters
        ----------
        now : float
            Current time in seconds.
        is_usable : callable
            Returns whether a guard can get runs.
        linked : collection of str
            Guards to which there is a link.
        recorded : iterable of str
            Guards of which the caller keeps a record, linked or not.
        """
        previous, self.chosen = self.chosen, {}
        wanted = self.wanted_size(now)
        limit = min(self.max_links, MAX_SUBSTITUTION_FACTOR * wanted)
        serving = 0
        for address in self.order:
            if serving >= wanted or len(self.chosen) >= limit:
                break
            if self.resting_until.get(address, -math.inf) > now:
                continue
            place = next_place(previous.get(address), is_usable(address), now)
            if address not in linked and now - place.unusable_since > DIAL_PATIENCE_S:
                self.resting_until[address] = now + DIAL_PATIENCE_S
                continue
            self.chosen[address] = place
            serving += now < place.counts_until
        dial = [address for address in self.chosen if address not in self.dialled]
        self.dialled.update(dial)
        candidates = {*self.dialled, *recorded}
        return LinkChanges(dial, self.released(now, candidates, is_usable))

    def wanted_size(self, now: float) -> int:
        """Return the size of the set, extended up to twofold while jobs wait."""
        size = self.settled_size(now)
        if self.short:
            self.short = False
            self.extension = min(size, self.extension + EXTENSION_STEP)
            self.extended_until = now + EXTENSION_LINGER_S
        elif now > self.extended_until:
            self.extension = 0
        return size + self.extension

    def settled_size(self, now: float) -> int:
        """Return the size of the set without extension.

        Explanation
        -----------
        Load pattern: all processes start at once. As long as few entry instances are
        known, each seems to be needed for many guards, so the size grows slowly.
        """
        size = set_size(len(self.entries), len(self.guards), self.max_links)
        if size > self.size_limit and now >= self.grows_at:
            self.size_limit += 1
            self.grows_at = now + GROWTH_INTERVAL_S
        self.size_limit = max(MIN_SET_SIZE, min(size, self.size_limit))
        return min(size, self.size_limit)

    def released(
        self, now: float, candidates: Iterable[str], is_usable: Callable[[str], bool]
    ) -> list[str]:
        """Return the candidates whose links are not needed any more.

        Explanation
        -----------
        A usable guard is kept for `SURPLUS_LINGER_S` after it left the set. Others left
        it for one that is preferred, as happens while guards register one by one.
        """
        self.surplus_since = {
            address: self.surplus_since.get(address, now)
            for address in candidates
            if address not in self.chosen
        }
        return [
            address
            for address, since in self.surplus_since.items()
            if now - since >= SURPLUS_LINGER_S or not is_usable(address)
        ]

    def forget_link(self, address: str) -> None:
        """Record that the link to a guard is not maintained any more."""
        self.dialled.discard(address)
        self.surplus_since.pop(address, None)
