"""Base class of the lease holder: offers free capacity to waiting tasks.

The offer book decides who gets an offer. This part handles the entry instances'
reports, sends the offers, and tells which capacity is left for other start orders.
"""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from hawthorntrack.coordination.run_estimates import RunEstimates
from hawthorntrack.coordination.scheduling.lookahead import (
    LOOK_AHEAD_HORIZONS_S,
    RoomView,
    free_within,
)
from hawthorntrack.coordination.scheduling.offers import (
    OFFER_VALID_S,
    Offer,
    OfferBook,
)
from hawthorntrack.coordination.target_session import TargetSession
from hawthorntrack.coordination.zone_knowledge import ZoneKnowledge
from hawthorntrack.protocol.run_messages import (
    BoundedResources,
    CloseOffer,
    OfferRoom,
    ReportDemand,
    RunOrder,
    StartRuns,
)
from hawthorntrack.protocol.target_messages import TargetHeartbeat
from hawthorntrack.state.actor import handles
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.event_log import log_event
from hawthorntrack.state.lease_times import LeaseTimes
from hawthorntrack.state.mailbox import Mailbox, Tick
from hawthorntrack.state.metrics import (
    BACKFILL_PLANS,
    BAD_INPUT,
    DEMAND_REPORTS,
    HELD_CPU,
    OFFERS,
    ROOM_KEPT_SECONDS,
    labelled,
)
from hawthorntrack.state.resources import NO_RESOURCES, Resources
from hawthorntrack.state.values import Incarnation

# Shortest time until the offers are reviewed again, so that a timer that fires just
# before an offer expires is not set again without a pause.
MIN_REVIEW_DELAY_S = 0.001


class ReviewOffers(NamedTuple):
    """Message of the lease holder to itself: an offer has expired or a pause ended.

    Attributes
    ----------
    at : float
        Time at which it was due; one that an earlier review replaced is ignored.
    """

    at: float


class RoomOffering(RunEstimates):
    """Offers the target's free capacity to entry instances whose tasks wait.

    Explanation
    -----------
    Offers are made once per message, after it has been handled or before the first
    status that is sent while it is handled, so that no status shows capacity as free
    that is offered next.

    Parameters
    ----------
    calls, target_record, clock, first_token, lease_times, awake_clock
        As for `RunEstimates`.
    send : callable
        Sends a message to a peer; called with the peer's address and the message.
    share_room : bool
        Whether free capacity is offered.

    Attributes
    ----------
    entry_nonces : dict of str to str
        Nonce of the current process at the address of each entry instance that is
        linked or has runs here.
    linked_entries : set of str
        Entry instances to which there is a link.
    zones : ZoneKnowledge
        Zones in which no task may start, and as of when they are known.
    offers : OfferBook
        Demands and open offers.
    room_changed : bool
        Whether capacity or demand has changed since offers were last made.
    keeping_since : float or None
        Time up to which kept capacity was counted; None while none is kept.
    review_at : float
        When the next `ReviewOffers` arrives; infinity if none is on its way.
    """

    def __init__(
        self,
        calls: Mailbox,
        target_record: Mailbox,
        clock: Clock,
        first_token: int,
        lease_times: LeaseTimes,
        awake_clock: Clock,
        send: Callable[[str, Any], None],
        share_room: bool,
    ) -> None:
        super().__init__(
            calls, target_record, clock, first_token, lease_times, awake_clock
        )
        self.send = send
        self.share_room = share_room
        self.entry_nonces: dict[str, str] = {}
        self.linked_entries: set[str] = set()
        self.zones = ZoneKnowledge()
        # The first token is above those of earlier processes, and so are its offers.
        self.offers = OfferBook(first_token)
        self.room_changed = False
        self.keeping_since: float | None = None
        self.review_at = float("inf")

    def status(self, session: TargetSession | None, now: float) -> str:
        """Return the target's status, as `LeaseHolder.status` does."""
        raise NotImplementedError

    def handle(self, message: Any) -> None:
        """Handle one message, and make offers if it has changed capacity or demand."""
        now = self.clock()
        if now >= self.review_at:
            # The timer's message may be late, behind an order that names the offer.
            self.record_ended(self.offers.expire(now), "expired")
            self.room_changed = True
        super().handle(message)
        # Ticks cover the changes that no message reports, such as the end of a pause.
        self.room_changed |= isinstance(message, TargetHeartbeat | Tick)
        self.make_offers()

    def make_offers(self) -> None:
        """Offer the free capacity if anything has changed since the last time."""
        if not self.room_changed:
            return
        self.room_changed = False
        if not self.share_room:
            return
        now, session = self.clock(), self.current_session()
        self.record_ended(self.offers.expire(now), "expired")
        if self.status(session, now) == "ready":
            view = RoomView(session.offered)
            if self.offers.demands:
                view = self.room_view(session, NO_RESOURCES, now)
            while True:
                open_view = view._replace(free=view.free.minus(self.offers.held))
                offer = self.offers.next_offer(
                    open_view, now, self.slowness, self.upper_ratio
                )
                if offer is None:
                    break
                self.send_offer(offer)
        HELD_CPU.set(self.offers.held.cpu_m)
        self.record_plans(now)
        self.schedule_review(now)

    def record_plans(self, now: float) -> None:
        """Count plans for large tasks, and the time that capacity is kept for them."""
        for outcome, count in self.offers.plan_counts.items():
            labelled(BACKFILL_PLANS, outcome).inc(count)
        self.offers.plan_counts.clear()
        if self.keeping_since is not None:
            ROOM_KEPT_SECONDS.inc(now - self.keeping_since)
        keeps = self.offers.kept != NO_RESOURCES
        if keeps and self.keeping_since is None:
            kept = self.offers.kept
            log_event("room:kept", cpu_m=kept.cpu_m, until=self.offers.kept_until)
        self.keeping_since = now if keeps else None

    def free_soon_cpu_m(self, session: TargetSession, now: float) -> tuple[int, ...]:
        """Return the capacity expected to be free within each horizon; none if unused.

        Explanation
        -----------
        Capacity that is reserved now will mostly be occupied.
        """
        if not self.share_room:
            return ()
        view = self.room_view(session, self.offers.reserved, now)
        return free_within(view, LOOK_AHEAD_HORIZONS_S, now)

    def send_offer(self, offer: Offer) -> None:
        """Send an offer to its entry instance."""
        valid_ms = round(OFFER_VALID_S * 1000)
        room = BoundedResources(*offer.room)
        self.send(
            offer.entry,
            OfferRoom(offer.number, offer.queue, room, valid_ms, offer.max_run_ms),
        )

    def schedule_review(self, now: float) -> None:
        """Post a message to this task for the next expiry or end of a pause."""
        at = max(self.offers.next_change_at(), now + MIN_REVIEW_DELAY_S)
        if at < self.review_at:
            self.review_at = at
            self.post_later(at - now, ReviewOffers(at))

    @handles(ReviewOffers)
    def on_review_offers(self, message: ReviewOffers, sender: Incarnation) -> None:
        """Have outdated offers expire and their capacity offered again."""
        if message.at == self.review_at:
            self.review_at = float("inf")
            self.room_changed = True

    @handles(ReportDemand)
    def on_report_demand(self, report: ReportDemand, sender: Incarnation) -> None:
        """Store the demand of an entry instance."""
        if self.is_expected(sender):
            DEMAND_REPORTS.inc()
            self.offers.report(sender.address, report.demands, self.clock())
            self.room_changed = True

    @handles(CloseOffer)
    def on_close_offer(self, message: CloseOffer, sender: Incarnation) -> None:
        """Free what is left of an offer, and store the remaining demand."""
        if not self.is_expected(sender):
            return
        offer = self.offers.close(
            sender.address, message.offer, message.demands, self.clock()
        )
        if offer is not None:
            self.record_ended([offer], offer.outcome)
        self.room_changed = True

    def is_expected(self, sender: Incarnation) -> bool:
        """Return whether a message is from a linked process; count one that is not."""
        address = sender.address
        linked = address in self.linked_entries
        known = linked and self.entry_nonces.get(address) == sender.nonce
        if not (self.share_room and known):
            labelled(BAD_INPUT, "link", "not_linked").inc()
            return False
        return True

    def record_ended(self, offers: Iterable[Offer], outcome: str) -> None:
        """Count ended offers, and log those that were not answered."""
        for offer in offers:
            counted = "used" if offer.taken else outcome
            labelled(OFFERS, counted).inc()
            if counted in ("expired", "discarded"):
                log_event(
                    "offer:unanswered",
                    entry=offer.entry,
                    queue=offer.queue,
                    offer=offer.number,
                    outcome=counted,
                    room_cpu_m=offer.room.cpu_m,
                    silent=offer.entry in self.offers.silent_since,
                )

    def forget_demand(self, entry: str) -> None:
        """Discard the demands and offers of an entry instance that is gone."""
        self.record_ended(self.offers.forget(entry), "discarded")
        self.room_changed = True

    def admits(
        self, need: Resources, free: Resources, order: StartRuns, owner: str
    ) -> bool:
        """Return whether a run fits; it uses the offer that its order names."""
        if not need.fits_in(free):
            return False
        now = self.clock()
        if order.offer and self.offers.take(owner, order.offer, need, now):
            return True
        reserved = self.offers.reserved
        return reserved == NO_RESOURCES or need.fits_in(free.minus(reserved))

    def charge_start(self, order: RunOrder, batch: StartRuns) -> None:
        """Charge a started run to its queue's share.

        Explanation
        -----------
        No run lasts longer than its caller waits, whatever run time is declared. A
        queue whose priority was never reported here has had no demand to compete with.
        """
        queue = batch.queue
        if self.share_room and queue in self.offers.priorities:
            run_ms = min(order.estimate_ms, batch.remaining_ms)
            work = order.need.cpu_m / 1000 * run_ms / 1000
            priority = self.offers.priority_of(queue)
            self.offers.charge(queue, priority, work, self.clock())
