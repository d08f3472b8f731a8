"""Faulty variants of a guard's book of offers, which the search must detect."""

import copy

from hawthorntrack.coordination.scheduling.lookahead import RoomView
from hawthorntrack.coordination.scheduling.offers import Offer, OfferBook
from hawthorntrack.state.registry import Registry
from hawthorntrack.state.resources import Resources

offer_mutations: Registry[type[OfferBook]] = Registry("mutation of the offers")


@offer_mutations.register("expiry_ignored")
class ExpiryIgnored(OfferBook):
    """Accepts the use of offers that have expired."""

    def take(self, entry: str, number: int, need: Resources, now: float) -> bool:
        """Accept the use of an offer at any time."""
        return super().take(entry, number, need, 0.0)


@offer_mutations.register("held_forever")
class HeldForever(OfferBook):
    """Holds the capacity of offers that nobody answers."""

    def expire(self, now: float) -> list[Offer]:
        """Remove nothing."""
        return []


@offer_mutations.register("offer_used_twice")
class OfferUsedTwice(OfferBook):
    """Keeps the capacity of an offer for another use after it was used."""

    def take(self, entry: str, number: int, need: Resources, now: float) -> bool:
        """Accept the use of an offer and leave the offer as it was."""
        before = copy.deepcopy(vars(self))
        accepted = super().take(entry, number, need, now)
        vars(self).update(before)
        return accepted


@offer_mutations.register("earlier_incarnation_accepted")
class EarlierIncarnationAccepted(OfferBook):
    """Numbers its offers as the guard's earlier incarnation did."""

    def __init__(self, first_number: int = 1) -> None:
        super().__init__()


@offer_mutations.register("held_after_death")
class HeldAfterDeath(OfferBook):
    """Keeps the offers and demands of an entry instance whose link has ended."""

    def forget(self, entry: str) -> list[Offer]:
        """Remove nothing."""
        return []


@offer_mutations.register("held_offered_again")
class HeldOfferedAgain(OfferBook):
    """Offers the capacity that it holds for one entry instance to another."""

    def next_offer(
        self, room: RoomView, now: float, slowness: float = 1.0
    ) -> Offer | None:
        """Offer capacity as if none were held."""
        unreserved = room._replace(free=room.free.plus(self.held))
        return super().next_offer(unreserved, now, slowness)
