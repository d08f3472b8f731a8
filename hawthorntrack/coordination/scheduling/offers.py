"""Which waiting task of which entry instance gets a guard's free capacity next.

Load pattern: jobs wait at several entry instances and need more than the free capacity.
If all of them try to use each change of it, one start order succeeds and the others are
refused, and an urgent job loses to a less urgent one elsewhere.
"""

from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterable, Iterator
from functools import reduce
from itertools import chain
from typing import NamedTuple

from hawthorntrack.coordination.scheduling.lookahead import (
    MAX_KEPT_S,
    BackfillPlan,
    ExpectedEnd,
    RoomView,
    backfill_limit_ms,
    backfill_plan,
)
from hawthorntrack.coordination.scheduling.shares import (
    WeightedShares,
    bounded_priority,
    weight_of,
)
from hawthorntrack.protocol.run_messages import MAX_DEMANDS, QueueDemand, QueueWait
from hawthorntrack.state.resources import NO_RESOURCES, Resources

# Covers two round trips between data centres and the time until an entry instance
# reads the message.
OFFER_VALID_S = 0.03
# Entry instances repeat an unchanged report after half of this time.
DEMAND_VALID_S = 0.5
# One entry instance does not get all free capacity of a target at once.
MAX_OFFERED_TASKS = 4
# Bounds the work of one pass, also for demands that need next to nothing.
MAX_OPEN_OFFERS = 64
# An entry instance that returns an offer unused usually has placed its tasks elsewhere
# and reports that within one interval between reports.
UNUSED_PAUSE_S = 0.01
# After this many unanswered offers in a row, the entry instance may not hear the guard.
MAX_EXPIRED_IN_ROW = 2
# It then gets no offer before a report that is at least this much later: one interval
# between unchanged reports.
EXPIRED_PAUSE_S = 0.25
# Covers some tens of starts at a busy target.
START_RATE_WINDOW_S = 0.5
# Longer than any caller waits. It also keeps the reported number within its bounds.
MAX_WAIT_MS = 60_000


class Demand(NamedTuple):
    """Waiting tasks of one queue at one entry instance, as it reported them.

    Attributes
    ----------
    since : float
        Time at which the oldest of the jobs began to wait, in seconds.
    smallest, first : Resources
        Smallest need among the tasks, and need of a task of the oldest job.
    """

    entry: str
    queue: str
    since: float
    tasks: int
    smallest: Resources
    first: Resources
    run_ms: int
    shortest_run_ms: int
    work_ms: int


class Offer(NamedTuple):
    """Capacity that is held for an entry instance.

    Attributes
    ----------
    room : Resources
        The capacity that was offered.
    left : Resources
        The part of it that no run has used yet.
    max_run_ms : int
        Longest declared run time of a task in it, in milliseconds; 0 for no limit.
    tasks : int
        Number of tasks for which it was made.
    task_work : float
        Expected work of one of them in core-seconds.
    taken : int
        Number of runs that have used it.
    free_again_at : float
        Time by which all runs in it have ended, in seconds; infinity without a limit.
    """

    number: int
    entry: str
    queue: str
    room: Resources
    left: Resources
    max_run_ms: int
    expires_at: float
    tasks: int
    task_work: float
    free_again_at: float
    taken: int = 0

    @property
    def outcome(self) -> str:
        """Return how the offer ended, if its entry instance has answered it."""
        return "used" if self.taken else "unused"


class Expiries(NamedTuple):
    """Offers to an entry instance that expired in a row, and the time of the last."""

    in_row: int
    last_at: float


class Bounds(NamedTuple):
    """Capacity for the tasks of one demand; 0 ms means that run times are not limited.

    Attributes
    ----------
    ends_by : float
        Time by which the tasks must have ended, in seconds.
    """

    capacity: Resources
    max_run_ms: int = 0
    ends_by: float = float("inf")


def lower(one: Resources, other: Resources) -> Resources:
    """Return the lower one of each amount."""
    return Resources(*map(min, one, other))


def sized(
    unit: Resources, smallest: Resources, tasks: int, capacity: Resources
) -> tuple[int, Resources]:
    """Return for how many tasks capacity is offered, and how much of it.

    Explanation
    -----------
    Tasks of one queue differ in need. A rest in which not even the smallest one fits is
    offered as well, up to `unit`, so that a task that is larger than `unit` may use it.

    Examples
    --------
    >>> sized(Resources(4), Resources(3), 2, Resources(13))
    (2, Resources(cpu_m=8, memory_mb=0, gpus=0))
    >>> sized(Resources(4), Resources(3), 3, Resources(10))
    (2, Resources(cpu_m=10, memory_mb=0, gpus=0))
    """
    count, room = 0, NO_RESOURCES
    while count < tasks and room.plus(unit).fits_in(capacity):
        count, room = count + 1, room.plus(unit)
    if not smallest.fits_in(capacity.minus(room)):
        room = lower(capacity, room.plus(unit))
    return count, room


class OfferBook:
    """Demands of entry instances at one guard, and the capacity offered to them.

    Explanation
    -----------
    The queue with the lowest virtual time comes first (`WeightedShares`), of equal ones
    the most urgent. Work for which an offer is open counts as started in this order.
    Within a queue, the entry instance whose oldest job has waited longest comes first,
    after those with fewer open offers and before those that let the last one expire.
    The size of a job does not count.

    Parameters
    ----------
    first_number : int
        Number of the first offer. It must be above those of earlier processes of the
        guard, whose offers are not valid any more.

    Attributes
    ----------
    demands : dict of str to dict of str to Demand
        By queue and entry instance.
    reported_at : dict of str to float
        Time of the newest demand of each entry instance that has any.
    least_need : Resources or None
        No task in `demands` needs less of any resource; None without demands. It is
        computed at intervals and only lowered in between, which keeps the many passes
        cheap in which nothing fits.
    least_need_valid_until : float
        When it is computed again.
    open_offers : dict of int to Offer
        By number, which is also the order of their expiry.
    kept : Resources
        Free capacity that is kept for the first task in the order.
    kept_until : float
        Time at which `kept` is free again.
    kept_since : dict of (str, str) to float
        When capacity was first kept, by entry instance and queue.
    plan_counts : Counter
        Plans that were ``made``, ``kept`` (the task fitted in time) or ``dropped``.
    paused_until : dict of (str, str) to float
        No offer is made before this time, by entry instance and queue.
    expiries : dict of str to Expiries
        Entry instances that have not answered in time since an offer to them expired.
    silent_since : dict of str to float
        Entry instances that get no offer before a later report.
    """

    def __init__(self, first_number: int = 1) -> None:
        self.next_number = first_number
        self.shares = WeightedShares()
        self.priorities: dict[str, int] = {}
        self.demands: dict[str, dict[str, Demand]] = {}
        self.reported_at: dict[str, float] = {}
        self.least_need: Resources | None = None
        self.least_need_valid_until = 0.0
        self.open_offers: dict[int, Offer] = {}
        self.kept = NO_RESOURCES
        self.kept_until = 0.0
        self.kept_since: dict[tuple[str, str], float] = {}
        self.plan_counts: Counter[str] = Counter()
        self.paused_until: dict[tuple[str, str], float] = {}
        self.expiries: dict[str, Expiries] = {}
        self.silent_since: dict[str, float] = {}
        self.recent_starts: dict[str, deque[tuple[float, float]]] = defaultdict(deque)

    @property
    def held(self) -> Resources:
        """Return the capacity of open offers that no run has used yet."""
        total = NO_RESOURCES
        for offer in self.open_offers.values():
            total = total.plus(offer.left)
        return total

    @property
    def reserved(self) -> Resources:
        """Return the free capacity that is not for start orders without an offer."""
        return self.held.plus(self.kept)

    def report(self, entry: str, demands: Iterable[QueueDemand], now: float) -> None:
        """Replace the demands of an entry instance, and end its pauses."""
        for queue in self.demands:
            self.paused_until.pop((entry, queue), None)
        if now >= self.silent_since.get(entry, now) + EXPIRED_PAUSE_S:
            del self.silent_since[entry]
        self.replace(entry, demands, now)

    def replace(self, entry: str, demands: Iterable[QueueDemand], now: float) -> None:
        """Replace the demands of an entry instance."""
        self.remove_demands(entry)
        for demand in demands:
            if not demand.tasks:
                continue
            self.reported_at[entry] = now
            smallest = demand.smallest.to_resources()
            self.least_need = lower(self.least_need or smallest, smallest)
            self.priorities[demand.queue] = bounded_priority(demand.priority)
            self.demands.setdefault(demand.queue, {})[entry] = Demand(
                entry,
                demand.queue,
                now - demand.waited_ms / 1000,
                demand.tasks,
                smallest,
                demand.first.to_resources(),
                demand.run_ms,
                demand.shortest_run_ms,
                demand.work_ms,
            )
        for owner, queue in list(self.kept_since):
            if owner not in self.demands.get(queue, ()):
                self.end_plan((owner, queue), kept=False, now=now)
        if not self.demands:
            self.kept = NO_RESOURCES

    def remove_demands(self, entry: str) -> None:
        """Remove all demands of an entry instance."""
        if self.reported_at.pop(entry, None) is None:
            return
        for by_entry in self.demands.values():
            by_entry.pop(entry, None)
        self.demands = {queue: found for queue, found in self.demands.items() if found}

    def forget(self, entry: str) -> list[Offer]:
        """Remove all state of an entry instance; return its open offers."""
        self.replace(entry, (), 0.0)
        self.paused_until = {
            key: until for key, until in self.paused_until.items() if key[0] != entry
        }
        self.record_answer(entry)
        return self.remove_offers(
            o for o in self.open_offers.values() if o.entry == entry
        )

    def remove_offers(self, offers: Iterable[Offer]) -> list[Offer]:
        """Remove open offers and return them."""
        return [self.open_offers.pop(offer.number) for offer in list(offers)]

    def close(
        self, entry: str, number: int, demands: Iterable[QueueDemand], now: float
    ) -> Offer | None:
        """Close an offer and replace its owner's demands.

        Returns
        -------
        Offer or None
            None if the offer is unknown, or has expired before.
        """
        offer = self.valid_offer(entry, number, now)
        if offer is not None:
            del self.open_offers[number]
            self.record_answer(entry)
            if not offer.taken:
                self.paused_until[entry, offer.queue] = now + UNUSED_PAUSE_S
        self.replace(entry, demands, now)
        return offer

    def take(self, entry: str, number: int, need: Resources, now: float) -> bool:
        """Use an offer for a run if it is valid and large enough."""
        offer = self.valid_offer(entry, number, now)
        if offer is None or not need.fits_in(offer.left):
            return False
        self.open_offers[number] = offer._replace(
            left=offer.left.minus(need), taken=offer.taken + 1
        )
        self.record_answer(entry)
        return True

    def valid_offer(self, entry: str, number: int, now: float) -> Offer | None:
        """Return an open offer of an entry instance that has not expired, or None."""
        offer = self.open_offers.get(number)
        valid = offer is not None and offer.entry == entry and now < offer.expires_at
        return offer if valid else None

    def record_answer(self, entry: str) -> None:
        """Store that an entry instance has answered an offer in time."""
        self.expiries.pop(entry, None)
        self.silent_since.pop(entry, None)

    def expire(self, now: float) -> list[Offer]:
        """Remove outdated offers, demands and pauses; return the expired offers."""
        expired = self.remove_offers(
            offer for offer in self.open_offers.values() if offer.expires_at <= now
        )
        for offer in expired:
            if not offer.taken:
                self.record_expiry(offer, now)
        outdated = [
            entry
            for entry, reported_at in self.reported_at.items()
            if now >= reported_at + DEMAND_VALID_S
        ]
        for entry in outdated:
            self.replace(entry, (), now)
        self.paused_until = {
            key: until for key, until in self.paused_until.items() if until > now
        }
        if now >= self.least_need_valid_until:
            self.least_need_valid_until = now + DEMAND_VALID_S
            needs = [d.smallest for q in self.demands.values() for d in q.values()]
            self.least_need = reduce(lower, needs) if needs else None
        if len(self.priorities) > MAX_DEMANDS:
            self.forget_idle_queues()
        if now >= self.kept_until:
            self.kept = NO_RESOURCES
        return expired

    def record_expiry(self, offer: Offer, now: float) -> None:
        """Store that an offer expired; offers made before the last expiry count once.

        Explanation
        -----------
        Several offers may be open when their entry instance is delayed for a moment.
        """
        before = self.expiries.get(offer.entry, Expiries(0, 0.0))
        if offer.expires_at - OFFER_VALID_S < before.last_at:
            return
        self.expiries[offer.entry] = Expiries(before.in_row + 1, now)
        if before.in_row + 1 >= MAX_EXPIRED_IN_ROW:
            self.silent_since[offer.entry] = now

    def forget_idle_queues(self) -> None:
        """Remove the state of queues that have neither demand nor a virtual time."""
        times, virtual_time = self.shares.queue_virtual_times, self.shares.virtual_time
        self.shares.queue_virtual_times = {
            queue: at for queue, at in times.items() if at > virtual_time
        }
        kept = self.demands.keys() | self.shares.queue_virtual_times.keys()
        self.priorities = {q: self.priorities.get(q, 0) for q in kept}
        for queue in self.recent_starts.keys() - kept:
            del self.recent_starts[queue]

    def next_change_at(self) -> float:
        """Return when an offer expires or a pause ends next; infinity if none does."""
        times = [offer.expires_at for offer in self.open_offers.values()]
        kept = [self.kept_until] if self.kept != NO_RESOURCES else []
        return min([*times, *kept, *self.paused_until.values()], default=float("inf"))

    def next_offer(
        self,
        room: RoomView,
        now: float,
        slowness: float = 1.0,
        ratio_of: Callable[[str], float] = lambda queue: 1.0,
    ) -> Offer | None:
        """Open the next offer; None if no demand can use the free capacity.

        Explanation
        -----------
        While the task that comes first waits for a larger gap, other tasks get only
        what will not delay it (EASY backfill).

        Parameters
        ----------
        room : RoomView
            Capacity of the target, less `held`.
        now : float
            Current time in seconds.
        slowness : float
            Ratio of run times on the target to declared ones.
        ratio_of : callable
            Returns the upper side of a queue's run times over those that follow from
            `slowness`.
        """
        self.kept = NO_RESOURCES
        full = len(self.open_offers) >= MAX_OPEN_OFFERS
        if full or not self.demands or not self.least_need.fits_in(room.free):
            return None
        plan: BackfillPlan | None = None
        for position, (demand, share_work) in enumerate(self.in_order()):
            if not position:
                plan = self.plan_for(demand, room, now)
            factor = (slowness or 1.0) * ratio_of(demand.queue)
            for bounds in self.bounds_for(demand, plan, room.free, now, factor):
                if demand.smallest.fits_in(bounds.capacity):
                    return self.open_offer(demand, share_work, bounds, now)
        return None

    def in_order(self) -> Iterator[tuple[Demand, float]]:
        """Yield the demands that may get an offer, the first in the order first.

        Explanation
        -----------
        Each comes with the work, in core-seconds, after which the next queue has the
        lower virtual time.
        """
        offers: Counter[tuple[str, str]] = Counter()
        covered: Counter[tuple[str, str]] = Counter()
        offered_work: Counter[str] = Counter()
        for offer in self.open_offers.values():
            offers[offer.entry, offer.queue] += 1
            covered[offer.entry, offer.queue] += offer.tasks
            remaining = max(0, offer.tasks - offer.taken)
            offered_work[offer.queue] += remaining * offer.task_work
        # After an expiry, one offer at a time shows whether the link works again.
        unanswering = {entry for entry, _ in offers if entry in self.expiries}

        def virtual_time(queue: str) -> float:
            pending = offered_work[queue] / weight_of(self.priority_of(queue))
            return self.shares.virtual_time_of(queue) + pending

        ordered = sorted(
            (virtual_time(q), self.priority_of(q), q) for q in self.demands
        )
        following = chain((at for at, _, _ in ordered[1:]), (float("inf"),))
        for (at, priority, queue), next_at in zip(ordered, following, strict=False):
            share_work = (next_at - at) * weight_of(priority)
            yield from (
                (demand, share_work)
                for demand in sorted(
                    self.demands[queue].values(),
                    key=lambda d: (
                        d.entry in self.expiries,
                        offers[d.entry, queue],
                        d.since,
                        d.entry,
                    ),
                )
                if demand.tasks > covered[demand.entry, queue]
                and (demand.entry, queue) not in self.paused_until
                and demand.entry not in self.silent_since
                and demand.entry not in unanswering
            )

    def plan_for(
        self, demand: Demand, room: RoomView, now: float
    ) -> BackfillPlan | None:
        """Keep capacity free for the first demand if its task fits soon."""
        key = (demand.entry, demand.queue)
        if demand.first.fits_in(room.free):
            self.end_plan(key, kept=True, now=now)
            return None
        kept_since = self.kept_since.get(key, now)
        if now >= kept_since + MAX_KEPT_S:
            return None
        returned = tuple(
            ExpectedEnd(offer.free_again_at, offer.left)
            for offer in self.open_offers.values()
            if offer.max_run_ms
        )
        view = room._replace(ends=room.ends + returned)
        plan = backfill_plan(demand.first, view, now, kept_since)
        if plan is not None:
            if key not in self.kept_since:
                self.plan_counts["made"] += 1
            self.kept_since[key] = kept_since
            self.kept = room.free.minus(lower(room.free, plan.spare))
            self.kept_until = min(plan.at, kept_since + MAX_KEPT_S)
        return plan

    def end_plan(self, key: tuple[str, str], kept: bool, now: float) -> None:
        """Count the end of a plan; one that was kept too long counts as dropped."""
        since = self.kept_since.pop(key, None)
        if since is not None:
            kept = kept and now <= since + MAX_KEPT_S
            self.plan_counts["kept" if kept else "dropped"] += 1

    def bounds_for(
        self,
        demand: Demand,
        plan: BackfillPlan | None,
        free: Resources,
        now: float,
        run_time_factor: float,
    ) -> Iterator[Bounds]:
        """Yield what a demand may get: without a limit of run times first."""
        if plan is None:
            yield Bounds(free)
            return
        yield Bounds(lower(free, plan.spare))
        max_run_ms = backfill_limit_ms(plan, run_time_factor, now)
        if 0 < max_run_ms >= demand.shortest_run_ms:
            yield Bounds(free, max_run_ms, plan.at)

    def open_offer(
        self, demand: Demand, share_work: float, bounds: Bounds, now: float
    ) -> Offer:
        """Open an offer to a demand within bounds in which its smallest task fits.

        Explanation
        -----------
        It ends with the task by which the queue uses up `share_work`. Otherwise a less
        urgent queue would get several long tasks as soon as its turn comes.
        """
        covered = sum(
            offer.tasks
            for offer in self.open_offers.values()
            if (offer.entry, offer.queue) == (demand.entry, demand.queue)
        )
        first_fits = demand.first.fits_in(bounds.capacity) and (
            not bounds.max_run_ms or demand.run_ms <= bounds.max_run_ms
        )
        unit = demand.first if first_fits else demand.smallest
        task_work = unit.cpu_m / 1000 * demand.run_ms / 1000
        limit = min(MAX_OFFERED_TASKS, demand.tasks - covered)
        if share_work < limit * task_work:
            limit = min(limit, 1 + int(share_work / task_work))
        tasks, room = sized(unit, demand.smallest, limit, bounds.capacity)
        offer = Offer(
            self.next_number,
            demand.entry,
            demand.queue,
            room,
            room,
            bounds.max_run_ms,
            now + OFFER_VALID_S,
            tasks,
            task_work,
            bounds.ends_by,
        )
        self.next_number += 1
        self.open_offers[offer.number] = offer
        return offer

    def priority_of(self, queue: str) -> int:
        """Return the priority that was reported last for a queue; 0 if none was."""
        return self.priorities.get(queue, 0)

    def charge(self, queue: str, priority: int, work: float, now: float) -> None:
        """Charge started work, in core-seconds, to a queue.

        Explanation
        -----------
        The global virtual time follows the starts, up to the lowest of the queues with
        demand. A queue that used idle capacity is not put behind others later, and one
        whose demand pauses for a moment loses no part of its share.
        """
        self.shares.advance_virtual_time([queue, *self.demands])
        self.shares.charge(queue, priority, work)
        self.priorities.setdefault(queue, priority)
        self.recent_starts[queue].append((now, work))
        self.drop_old_starts(queue, now)

    def drop_old_starts(self, queue: str, now: float) -> None:
        """Remove the starts of a queue that the measured rate no longer covers."""
        starts = self.recent_starts[queue]
        while starts and starts[0][0] <= now - START_RATE_WINDOW_S:
            starts.popleft()

    def waits(self, now: float) -> tuple[QueueWait, ...]:
        """Return the expected wait of a new task of each queue that has demand."""
        return tuple(QueueWait(q, self.wait_ms(q, now)) for q in self.demands)

    def wait_ms(self, queue: str, now: float) -> int:
        """Return the expected wait of a new task of a queue with demand.

        Explanation
        -----------
        It is the waiting work over the rate at which work of the queue is started, or
        the longest wait so far while none is started.
        """
        demands = self.demands[queue].values()
        self.drop_old_starts(queue, now)
        started = sum(work for _, work in self.recent_starts[queue])
        if started > 0:
            waiting_ms = sum(demand.work_ms for demand in demands)
            wait_ms = waiting_ms * START_RATE_WINDOW_S / started
        else:
            wait_ms = (now - min(demand.since for demand in demands)) * 1000
        return round(min(wait_ms, MAX_WAIT_MS))
