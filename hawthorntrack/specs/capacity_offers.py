"""Model of the offers of capacity: one guard, two entry instances, unreliable links.

The guard decides with the production class `OfferBook`; this module models only the
environment. The messages of a link arrive in order, as on one TCP connection. A link
may fall silent in one direction or in both, and it may break, which loses its messages.
An offer that was read before the break may be answered after it, over the next link.
Processes die and restart as new incarnations. The guard's clock and the timer by which
it notices that time has passed are separate steps, as for a suspended process.

The leases of runs are not part of the model: the runs of a guard that dies end with it.
"""

import pickle
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from typing import Any, NamedTuple

from hawthorntrack.coordination.scheduling.lookahead import ExpectedEnd, RoomView
from hawthorntrack.coordination.scheduling.offers import OfferBook
from hawthorntrack.protocol.run_messages import BoundedResources, QueueDemand
from hawthorntrack.state.resources import NO_RESOURCES, Resources

Step = tuple[str, Callable[[], "SystemState"]]
MakeBook = Callable[[int], OfferBook]

QUEUE = "visits"
CORE_M = 1_000
# Short enough that capacity is kept free until a run of this length has ended.
RUN_MS = 60
# Longer than an offer is valid, and longer than a demand that is not repeated.
OFFER_OVER_MS = 35
DEMAND_OVER_MS = 600
# By then every offer, demand and pause has ended.
ALL_OVER_MS = 5_000
NUMBERS_PER_INCARNATION = 1_000  # no search makes as many offers
TO_GUARD, TO_ENTRY = "to_guard", "to_entry"


class Limits(NamedTuple):
    """Bounds of the search.

    Attributes
    ----------
    needs : tuple of tuple of int
        Cores that each task needs, by entry instance.
    capacity : int
        Cores of the guard's target.
    waits_ms : tuple of int
        Wait of each entry instance's oldest job.
    ticks : tuple of int
        Times in milliseconds by which the guard's clock advances, in this order.
    repeats : int
        Number of reports of a demand that has not changed.
    direct : int
        Number of start orders without an offer.
    """

    needs: tuple[tuple[int, ...], ...] = ((1, 1), (2, 1))
    capacity: int = 2
    waits_ms: tuple[int, ...] = (20, 10)
    ticks: tuple[int, ...] = (OFFER_OVER_MS,)
    repeats: int = 0
    cancellations: int = 0
    direct: int = 0
    entry_deaths: int = 0
    guard_deaths: int = 0
    breaks: int = 0
    silences: int = 0

    def need(self, task: "Task") -> Resources:
        """Return the need of a task."""
        return Resources(self.needs[task.entry][task.number] * CORE_M)

    def total(self) -> Resources:
        """Return the capacity of the target."""
        return Resources(self.capacity * CORE_M)


class Task(NamedTuple):
    """A task of an entry instance."""

    entry: int
    number: int


class Run(NamedTuple):
    """A run at the guard, and the time by its clock at which its end is expected."""

    task: Task
    ends_at_ms: int


class OpenOffer(NamedTuple):
    """An offer that is in force, recorded apart from the book under test.

    Attributes
    ----------
    left : Resources
        The part of its capacity that no run has used.
    ends_at_ms : int
        Time by the guard's clock at which it expires.
    """

    number: int
    entry: int
    left: Resources
    ends_at_ms: int


class ReceivedOffer(NamedTuple):
    """An offer on its way to an entry instance, or read by it.

    Attributes
    ----------
    guard_nonce : int
        The guard's incarnation that made it. The message does not carry it.
    """

    number: int
    room: Resources
    guard_nonce: int


class Message(NamedTuple):
    """A message on a link; `kind` names its type and how it is handled."""

    kind: str
    tasks: tuple[Task, ...] = ()
    offer: ReceivedOffer | None = None
    demands: tuple[QueueDemand, ...] = ()


class Link(NamedTuple):
    """A connection of an entry instance and the guard, with the messages on it.

    Attributes
    ----------
    silent : frozenset of str
        Directions in which messages are lost from now on.
    """

    to_guard: tuple[Message, ...] = ()
    to_entry: tuple[Message, ...] = ()
    silent: frozenset[str] = frozenset()


class Entry(NamedTuple):
    """State of an entry instance.

    Attributes
    ----------
    ordered : frozenset of Task
        Tasks whose start was ordered and of which no end is known.
    reported : frozenset of Task or None
        Tasks last reported over the present link; None if none were.
    unanswered : tuple of ReceivedOffer
        Offers that were read from a link that has ended.
    """

    alive: bool = True
    waiting: frozenset[Task] = frozenset()
    ordered: frozenset[Task] = frozenset()
    reported: frozenset[Task] | None = None
    unanswered: tuple[ReceivedOffer, ...] = ()


class Guard(NamedTuple):
    """State of the guard; `book` is its pickled `OfferBook`, empty while it is dead.

    Attributes
    ----------
    ended : frozenset of Task
        Tasks whose runs have ended, of which it keeps a record.
    """

    nonce: int
    book: bytes
    runs: frozenset[Run] = frozenset()
    ended: frozenset[Task] = frozenset()
    open_offers: tuple[OpenOffer, ...] = ()


class SystemState(NamedTuple):
    """State of the processes, the links and the guard's clock.

    Attributes
    ----------
    counts : tuple of int
        How often each bounded step was taken, in the order of `BOUNDED`.
    violation : str
        A step that broke an invariant; empty if none did.
    """

    entries: tuple[Entry, ...]
    links: tuple[Link | None, ...]
    guard: Guard
    clock_ms: int = 0
    counts: tuple[int, ...] = ()
    violation: str = ""


BOUNDED = (
    "repeats",
    "cancellations",
    "direct",
    "entry_deaths",
    "guard_deaths",
    "breaks",
    "silences",
    "ticks",
)


def make_book(incarnation: int, book: type[OfferBook] = OfferBook) -> OfferBook:
    """Return the empty book of a guard's incarnation.

    Its numbers are above those of earlier incarnations, as `RoomOffering` has it.
    """
    return book(incarnation * NUMBERS_PER_INCARNATION)


def initial_state(limits: Limits, make_book: MakeBook = make_book) -> SystemState:
    """Return the state in which every entry instance is linked and has its tasks."""
    entries = tuple(
        Entry(waiting=frozenset(Task(entry, n) for n in range(len(needs))))
        for entry, needs in enumerate(limits.needs)
    )
    guard = Guard(1, pickle.dumps(make_book(1)))
    return SystemState(
        entries, (Link(),) * len(entries), guard, counts=(0,) * len(BOUNDED)
    )


class Offers:
    """Transition relation of the offers of capacity.

    Parameters
    ----------
    limits : Limits
        Bounds of the search.
    make_book : callable
        Creates the book of a guard's incarnation, given its number; the search must
        detect a mutated one.
    """

    def __init__(self, limits: Limits, make_book: MakeBook = make_book) -> None:
        self.limits = limits
        self.make_book = make_book

    def successors(self, system: SystemState) -> Iterator[Step]:
        """Yield every step that is possible in a state."""
        for number, entry in enumerate(system.entries):
            if entry.alive:
                yield from self.entry_steps(system, number, entry)
            yield from self.link_steps(system, number)
        yield from self.guard_steps(system)

    def entry_steps(
        self, system: SystemState, number: int, entry: Entry
    ) -> Iterator[Step]:
        """Yield the reports, orders and the death of an entry instance."""
        link = system.links[number]
        if link is not None:
            unchanged = entry.reported == entry.waiting
            if entry.waiting != (entry.reported or frozenset()):
                yield f"{number} reports", partial(self.report, system, number)
            elif unchanged and entry.waiting and self.allowed(system, "repeats"):
                counted = count(system, "repeats")
                yield f"{number} repeats", partial(self.report, counted, number)
            if self.allowed(system, "direct"):
                for task in sorted(entry.waiting):
                    ordered = partial(
                        self.order, count(system, "direct"), number, (task,), None
                    )
                    yield f"{number} orders {task.number} directly", ordered
            if entry.unanswered:
                offer, rest = entry.unanswered[0], entry.unanswered[1:]
                taken = replace_entry(system, number, entry._replace(unanswered=rest))
                yield from self.answers(taken, number, offer, "late")
        if self.allowed(system, "cancellations"):
            for task in sorted(entry.waiting):
                cancelled = entry._replace(waiting=entry.waiting - {task})
                after = replace_entry(count(system, "cancellations"), number, cancelled)
                yield f"{number} cancels {task.number}", partial(precomputed, after)
        if self.allowed(system, "entry_deaths"):
            after = replace_entry(
                count(system, "entry_deaths"), number, Entry(alive=False)
            )
            yield f"{number} dies", partial(precomputed, after)

    def answers(
        self, system: SystemState, number: int, offer: ReceivedOffer, manner: str
    ) -> Iterator[Step]:
        """Yield the answers of an entry instance to an offer: use it, or return it."""
        entry, room = system.entries[number], offer.room
        chosen: list[Task] = []
        for task in sorted(entry.waiting):
            need = self.limits.need(task)
            if need.fits_in(room):
                chosen.append(task)
                room = room.minus(need)
        name = f"{number} {{}} offer {offer.number} {manner}".rstrip()
        for verb, tasks in (("uses", tuple(chosen)), ("returns", ())):
            if tasks or verb == "returns":
                step = partial(self.answer, system, number, offer, tasks)
                yield name.format(verb), step

    def answer(
        self,
        system: SystemState,
        number: int,
        offer: ReceivedOffer,
        tasks: tuple[Task, ...],
    ) -> SystemState:
        """Return the state after an offer was used for some tasks and closed."""
        if tasks:
            system = self.order(system, number, tasks, offer)
        waiting = system.entries[number].waiting
        closing = Message("close", offer=offer, demands=self.demands(number, waiting))
        return send(self.set_reported(system, number), number, TO_GUARD, closing)

    def report(self, system: SystemState, number: int) -> SystemState:
        """Return the state after an entry instance has reported its demand."""
        demands = self.demands(number, system.entries[number].waiting)
        message = Message("report", demands=demands)
        return send(self.set_reported(system, number), number, TO_GUARD, message)

    def set_reported(self, system: SystemState, number: int) -> SystemState:
        """Return the state in which the present demand counts as reported."""
        entry = system.entries[number]
        return replace_entry(system, number, entry._replace(reported=entry.waiting))

    def order(
        self,
        system: SystemState,
        number: int,
        tasks: tuple[Task, ...],
        offer: ReceivedOffer | None,
    ) -> SystemState:
        """Return the state after an entry instance has ordered the start of tasks."""
        entry = system.entries[number]
        ordered = entry._replace(
            waiting=entry.waiting - set(tasks), ordered=entry.ordered | set(tasks)
        )
        system = replace_entry(system, number, ordered)
        return send(system, number, TO_GUARD, Message("start", tasks, offer))

    def demands(self, number: int, tasks: Iterable[Task]) -> tuple[QueueDemand, ...]:
        """Return the demand of an entry instance's waiting tasks."""
        needs = [self.limits.need(task) for task in sorted(tasks)]
        if not needs:
            return ()
        work_ms = sum(need.cpu_m for need in needs) * RUN_MS // CORE_M
        return (
            QueueDemand(
                QUEUE,
                0,
                self.limits.waits_ms[number],
                len(needs),
                BoundedResources(*min(needs)),
                BoundedResources(*needs[0]),
                RUN_MS,
                RUN_MS,
                work_ms,
            ),
        )

    def link_steps(self, system: SystemState, number: int) -> Iterator[Step]:
        """Yield the deliveries on a link, its failures, and its restoration."""
        entry, link = system.entries[number], system.links[number]
        if link is None:
            if system.guard.book:
                verb = "links" if entry.alive else "restarts and links"
                yield f"{number} {verb}", partial(self.connect, system, number)
            return
        if not entry.alive:
            # The next incarnation may connect before the guard notices the death.
            yield (
                f"{number} restarts and links",
                partial(self.connect, system, number),
            )
            yield f"guard notices death of {number}", partial(self.end, system, number)
        if link.to_guard and system.guard.book:
            rest = replace_link(
                system, number, link._replace(to_guard=link.to_guard[1:])
            )
            message = link.to_guard[0]
            yield (
                f"guard gets {message.kind} of {number}",
                partial(self.handle_at_guard, rest, number, message),
            )
        if link.to_entry and entry.alive:
            message = link.to_entry[0]
            rest = replace_link(
                system, number, link._replace(to_entry=link.to_entry[1:])
            )
            if message.offer is not None:
                yield from self.answers(rest, number, message.offer, "")
            else:
                yield (
                    f"{number} gets {message.kind}",
                    partial(self.handle_at_entry, rest, number, message),
                )
        if self.allowed(system, "breaks") or link.silent:
            bounded = system if link.silent else count(system, "breaks")
            yield f"link of {number} breaks", partial(self.end, bounded, number)
            if any(message.offer for message in link.to_entry) and entry.alive:
                read = self.read_offers(bounded, number)
                yield f"link of {number} breaks, read", partial(self.end, read, number)
        if self.allowed(system, "silences") and not link.silent:
            for directions in ({TO_GUARD}, {TO_ENTRY}, {TO_GUARD, TO_ENTRY}):
                silent = Link(
                    () if TO_GUARD in directions else link.to_guard,
                    () if TO_ENTRY in directions else link.to_entry,
                    frozenset(directions),
                )
                after = replace_link(count(system, "silences"), number, silent)
                yield (
                    f"link of {number} is silent {'+'.join(sorted(directions))}",
                    partial(precomputed, after),
                )

    def read_offers(self, system: SystemState, number: int) -> SystemState:
        """Return the state after an entry instance has read the offers on its link."""
        entry, link = system.entries[number], system.links[number]
        offers = tuple(message.offer for message in link.to_entry if message.offer)
        read = entry._replace(unanswered=entry.unanswered + offers)
        return replace_entry(system, number, read)

    def connect(self, system: SystemState, number: int) -> SystemState:
        """Return the state after an entry instance has linked to the guard.

        Its first message lists its runs, so that both sides agree on them.
        """
        entry = system.entries[number]
        system = self.forget(system, number)
        system = replace_link(system, number, Link())
        linked = entry._replace(alive=True, reported=None)
        system = replace_entry(system, number, linked)
        listing = Message("check", tuple(sorted(entry.ordered)))
        return send(system, number, TO_GUARD, listing)

    def end(self, system: SystemState, number: int) -> SystemState:
        """Return the state after both sides have noticed the end of a link."""
        entry = system.entries[number]
        system = replace_entry(system, number, entry._replace(reported=None))
        return self.forget(replace_link(system, number, None), number)

    def forget(self, system: SystemState, number: int) -> SystemState:
        """Return the state after the guard has discarded what it has of a process."""
        guard = system.guard
        if not guard.book:
            return system
        book = pickle.loads(guard.book)
        book.forget(address(number))
        kept = tuple(o for o in guard.open_offers if o.entry != number)
        system = system._replace(guard=guard._replace(open_offers=kept))
        return self.offer_room(system, book)

    def handle_at_entry(
        self, system: SystemState, number: int, message: Message
    ) -> SystemState:
        """Return the state after an entry instance was told of an end or a refusal."""
        entry, tasks = system.entries[number], set(message.tasks)
        again = tasks & entry.ordered if message.kind == "refused" else set()
        after = entry._replace(
            ordered=entry.ordered - tasks, waiting=entry.waiting | again
        )
        return replace_entry(system, number, after)

    def handle_at_guard(
        self, system: SystemState, number: int, message: Message
    ) -> SystemState:
        """Return the state after the guard has handled a message."""
        handler = getattr(self, f"on_{message.kind}")
        book = pickle.loads(system.guard.book)
        return self.offer_room(handler(system, book, number, message), book)

    def on_report(
        self, system: SystemState, book: OfferBook, number: int, message: Message
    ) -> SystemState:
        """Return the state after a report of demand."""
        book.report(address(number), message.demands, seconds(system))
        return system

    def on_close(
        self, system: SystemState, book: OfferBook, number: int, message: Message
    ) -> SystemState:
        """Return the state after an offer was returned."""
        guard, closed = system.guard, message.offer.number
        book.close(address(number), closed, message.demands, seconds(system))
        kept = tuple(
            offer
            for offer in guard.open_offers
            if (offer.number, offer.entry) != (closed, number)
        )
        return system._replace(guard=guard._replace(open_offers=kept))

    def on_check(
        self, system: SystemState, book: OfferBook, number: int, message: Message
    ) -> SystemState:
        """Return the state after an entry instance has listed its runs."""
        guard, listed = system.guard, frozenset(message.tasks)
        running = {run.task for run in guard.runs}
        kept = frozenset(
            run for run in guard.runs if run.task.entry != number or run.task in listed
        )
        system = system._replace(guard=guard._replace(runs=kept))
        for kind, tasks in (
            ("ended", listed & guard.ended),
            ("refused", listed - running - guard.ended),
        ):
            if tasks:
                answer = Message(kind, tuple(sorted(tasks)))
                system = send(system, number, TO_ENTRY, answer)
        return system

    def on_start(
        self, system: SystemState, book: OfferBook, number: int, message: Message
    ) -> SystemState:
        """Return the state after the guard has decided on the runs of an order."""
        refused = []
        for task in message.tasks:
            need = self.limits.need(task)
            free = self.limits.total().minus(self.occupied(system))
            fits = need.fits_in(free)
            granted = (
                fits
                and message.offer is not None
                and book.take(
                    address(number), message.offer.number, need, seconds(system)
                )
            )
            if granted:
                system = self.record_use(system, number, message.offer, need)
            elif not (fits and need.fits_in(free.minus(book.reserved))):
                refused.append(task)
                continue
            if any(run.task == task for run in system.guard.runs):
                system = system._replace(violation=f"{task} is started twice")
            book.charge(QUEUE, 0, need.cpu_m * RUN_MS / 1e6, seconds(system))
            guard, run = system.guard, Run(task, system.clock_ms + RUN_MS)
            system = system._replace(guard=guard._replace(runs=guard.runs | {run}))
        if refused:
            answer = Message("refused", tuple(refused))
            system = send(system, number, TO_ENTRY, answer)
        return system

    def record_use(
        self, system: SystemState, number: int, used: ReceivedOffer, need: Resources
    ) -> SystemState:
        """Return the state after the use of an offer, and check the right to it."""
        guard = system.guard
        if used.guard_nonce != guard.nonce:
            problem = (
                f"offer of incarnation {used.guard_nonce} was used at {guard.nonce}"
            )
            return system._replace(violation=problem)
        for index, offer in enumerate(guard.open_offers):
            if (offer.number, offer.entry) != (used.number, number):
                continue
            if system.clock_ms >= offer.ends_at_ms:
                problem = f"offer {offer.number} was used after its expiry"
                return system._replace(violation=problem)
            if not need.fits_in(offer.left):
                problem = f"offer {offer.number} was used for more than it had left"
                return system._replace(violation=problem)
            after = offer._replace(left=offer.left.minus(need))
            offers = replace_item(guard.open_offers, index, after)
            return system._replace(guard=guard._replace(open_offers=offers))
        return system._replace(
            violation=f"offer {used.number} is not open, but was used"
        )

    def guard_steps(self, system: SystemState) -> Iterator[Step]:
        """Yield the ends of runs, the passing of time, death and restart."""
        guard = system.guard
        ticks = self.limits.ticks
        passed = system.counts[BOUNDED.index("ticks")]
        if passed < len(ticks):
            later = count(system, "ticks")
            after = later._replace(clock_ms=system.clock_ms + ticks[passed])
            yield f"{ticks[passed]} ms pass", partial(precomputed, after)
        if not guard.book:
            yield "guard restarts", partial(self.restart_guard, system)
            return
        yield "guard's timer", partial(self.run_timer, system)
        for run in sorted(guard.runs):
            name = f"run of {run.task.entry}.{run.task.number} ends"
            yield name, partial(self.end_run, system, run)
        if self.allowed(system, "guard_deaths"):
            yield from self.guard_death_steps(count(system, "guard_deaths"))

    def guard_death_steps(self, system: SystemState) -> Iterator[Step]:
        """Yield the death of the guard, with its offers lost or read before."""
        dead = Guard(system.guard.nonce, b"")
        for name, read in (("guard dies", False), ("guard dies, offers read", True)):
            after = system
            for number, link in enumerate(system.links):
                if read and link is not None and system.entries[number].alive:
                    after = self.read_offers(after, number)
                entry = after.entries[number]._replace(reported=None)
                after = replace_link(replace_entry(after, number, entry), number, None)
            yield name, partial(precomputed, after._replace(guard=dead))

    def restart_guard(self, system: SystemState) -> SystemState:
        """Return the state after the guard has started as a new incarnation."""
        nonce = system.guard.nonce + 1
        book = pickle.dumps(self.make_book(nonce))
        return system._replace(guard=Guard(nonce, book))

    def run_timer(self, system: SystemState) -> SystemState:
        """Return the state after the guard has noticed that time has passed."""
        return self.offer_room(system, pickle.loads(system.guard.book))

    def end_run(self, system: SystemState, run: Run) -> SystemState:
        """Return the state after a run has ended and its owner was told."""
        guard, task = system.guard, run.task
        ended = guard._replace(runs=guard.runs - {run}, ended=guard.ended | {task})
        system = system._replace(guard=ended)
        system = send(system, task.entry, TO_ENTRY, Message("ended", (task,)))
        return self.offer_room(system, pickle.loads(guard.book))

    def offer_room(self, system: SystemState, book: OfferBook) -> SystemState:
        """Return the state after the guard has offered the capacity that is free."""
        book.expire(seconds(system))
        guard = system.guard
        valid = tuple(o for o in guard.open_offers if o.ends_at_ms > system.clock_ms)
        system = system._replace(guard=guard._replace(open_offers=valid))
        ends = tuple(
            ExpectedEnd(run.ends_at_ms / 1000, self.limits.need(run.task))
            for run in sorted(guard.runs)
        )
        while book.demands:
            free = self.limits.total().minus(self.occupied(system)).minus(book.held)
            offer = book.next_offer(RoomView(free, ends), seconds(system))
            if offer is None:
                break
            number, guard = entry_number(offer.entry), system.guard
            if system.links[number] is None:
                problem = f"capacity is offered to {number}, which has no link"
                return system._replace(violation=problem)
            ends_at_ms = round(offer.expires_at * 1000)
            opened = OpenOffer(offer.number, number, offer.room, ends_at_ms)
            offers = (*guard.open_offers, opened)
            system = system._replace(guard=guard._replace(open_offers=offers))
            sent = ReceivedOffer(offer.number, offer.room, guard.nonce)
            system = send(system, number, TO_ENTRY, Message("offer", offer=sent))
        return system._replace(guard=system.guard._replace(book=pickle.dumps(book)))

    def occupied(self, system: SystemState) -> Resources:
        """Return what the runs at the guard need together."""
        return add_up(self.limits.need(run.task) for run in system.guard.runs)

    def allowed(self, system: SystemState, bound: str) -> bool:
        """Return whether a bounded step may still be taken."""
        return system.counts[BOUNDED.index(bound)] < getattr(self.limits, bound)

    def find_violation(self, system: SystemState) -> str | None:
        """Return a description of the first violated invariant, or None."""
        if system.violation:
            return system.violation
        if not system.guard.book:
            return None
        book = pickle.loads(system.guard.book)
        occupied = self.occupied(system)
        if not book.reserved.plus(occupied).fits_in(self.limits.total()):
            return f"{occupied} occupied and {book.reserved} reserved"
        if book.kept != NO_RESOURCES and not book.demands:
            return f"{book.kept} is kept free, and no task waits for it"
        offers = system.guard.open_offers
        recorded = add_up(offer.left for offer in offers)
        if not book.held.fits_in(recorded):
            return f"{book.held} is held, but {recorded} belongs to open offers"
        valid = add_up(o.left for o in offers if o.ends_at_ms > system.clock_ms)
        if not valid.fits_in(book.held):
            return f"{book.held} is held, but {valid} was offered"
        return self.find_remainder(system, book)

    def find_remainder(self, system: SystemState, book: OfferBook) -> str | None:
        """Return what is left at the guard after all messages and times, or None."""
        if any(link and (link.to_guard or link.to_entry) for link in system.links):
            return None
        later = (system.clock_ms + ALL_OVER_MS) / 1000
        book.expire(later)
        if book.reserved != NO_RESOURCES:
            return f"{book.reserved} stays reserved"
        if book.next_offer(RoomView(self.limits.total()), later) is not None:
            return "a demand is kept that nobody repeats"
        return None


def weight(step: str) -> float:
    """Return the relative probability that a random walk takes a step."""
    rare = {
        "dies": 0.05,
        "breaks": 0.1,
        "silent": 0.05,
        "cancels": 0.2,
        "directly": 0.2,
        "pass": 0.3,
        "timer": 0.3,
    }
    return next((share for word, share in rare.items() if word in step), 1.0)


def address(number: int) -> str:
    """Return the address of an entry instance."""
    return f"entry{number}"


def entry_number(name: str) -> int:
    """Return the number of the entry instance at an address."""
    return int(name.removeprefix("entry"))


def seconds(system: SystemState) -> float:
    """Return the guard's clock."""
    return system.clock_ms / 1000


def add_up(amounts: Iterable[Resources]) -> Resources:
    """Return the sum of resources."""
    total = NO_RESOURCES
    for amount in amounts:
        total = total.plus(amount)
    return total


def precomputed(system: SystemState) -> SystemState:
    """Return a state that has been computed already."""
    return system


def count(system: SystemState, bound: str) -> SystemState:
    """Return the state with one more step of a bounded kind."""
    index = BOUNDED.index(bound)
    counts = replace_item(system.counts, index, system.counts[index] + 1)
    return system._replace(counts=counts)


def send(
    system: SystemState, number: int, direction: str, message: Message
) -> SystemState:
    """Return the state with a message on a link, or lost if that is silent or gone."""
    link = system.links[number]
    if link is None or direction in link.silent:
        return system
    messages = (*getattr(link, direction), message)
    return replace_link(system, number, link._replace(**{direction: messages}))


def replace_entry(system: SystemState, number: int, entry: Entry) -> SystemState:
    """Return the state with one entry instance replaced."""
    return system._replace(entries=replace_item(system.entries, number, entry))


def replace_link(system: SystemState, number: int, link: Link | None) -> SystemState:
    """Return the state with one link replaced."""
    return system._replace(links=replace_item(system.links, number, link))


def replace_item(values: tuple, index: int, value: Any) -> tuple:
    """Return a tuple with one item replaced."""
    return (*values[:index], value, *values[index + 1 :])
