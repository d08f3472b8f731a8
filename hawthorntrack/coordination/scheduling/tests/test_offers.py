"""Tests of the order in which waiting tasks get a guard's free capacity."""

from collections import Counter

import pytest

from hawthorntrack.coordination.scheduling import offers
from hawthorntrack.coordination.scheduling.lookahead import BackfillPlan, RoomView
from hawthorntrack.coordination.scheduling.offers import (
    DEMAND_VALID_S,
    EXPIRED_PAUSE_S,
    MAX_OFFERED_TASKS,
    MAX_OPEN_OFFERS,
    MAX_WAIT_MS,
    OFFER_VALID_S,
    UNUSED_PAUSE_S,
    OfferBook,
)
from hawthorntrack.protocol.run_messages import (
    MAX_SAFE_INTEGER,
    BoundedResources,
    QueueDemand,
    QueueWait,
)
from hawthorntrack.state.resources import NO_RESOURCES, Resources

NEED = Resources(4_000, 64)
LARGE = Resources(7_000, 64)
NOW = 1_000.0


def demand(queue="small", priority=1, waited_ms=100, tasks=1, first=NEED, **changes):
    """Return a demand whose tasks run for 0.4 s."""
    need = BoundedResources(*first)
    made = QueueDemand(queue, priority, waited_ms, tasks, need, need, 400, 400, 1_600)
    return made._replace(**changes)


def room(tasks):
    """Return a target with free capacity for a number of tasks."""
    return RoomView(Resources(4_000 * tasks, 64 * tasks))


def open_all(book, free, now=NOW):
    """Open all offers that the free capacity admits."""
    opened = []
    while offer := book.next_offer(RoomView(free.minus(book.held)), now):
        opened.append(offer)
    return opened


@pytest.fixture
def book():
    return OfferBook()


def test_entry_instances_that_compete_get_disjoint_capacity(book):
    """Load: four instances wait for the capacity of two tasks; two are refused today"""
    for name in "abcd":
        book.report(name, [demand(waited_ms=ord(name))], NOW)
    opened = open_all(book, room(2).free)
    assert [offer.entry for offer in opened] == ["d", "c"]
    assert book.held.fits_in(room(2).free)


def test_queues_share_capacity_by_weight_whatever_instance_they_wait_at(book):
    """Load: urgent work at one entry instance loses to less urgent work at others."""
    started = Counter()
    for step in range(600):
        now = NOW + step * 0.01
        for entry, queue, priority in (("a", "q", 0), ("b", "s", 1), ("c", "l", 2)):
            book.report(entry, [demand(queue, priority, 5_000 * priority)], now)
        offer = book.next_offer(room(1), now)
        started[offer.queue] += 1
        assert book.take(offer.entry, offer.number, NEED, now)
        book.charge(offer.queue, book.priority_of(offer.queue), 1.6, now)
        book.close(offer.entry, offer.number, (), now)
    assert started["q"] / started["s"] == pytest.approx(4, rel=0.1)
    assert started["s"] / started["l"] == pytest.approx(4, rel=0.2)


def test_use_of_idle_capacity_is_not_held_against_a_queue(book):
    """Load: a queue that was served alone for long meets one that was idle."""
    for step in range(100):
        book.charge("small", 1, 1.6, NOW + step * 0.01)
    book.report("a", [demand("small"), demand("other")], NOW + 1)
    times = [book.shares.virtual_time_of(queue) for queue in ("small", "other")]
    assert times[0] - times[1] <= 1.6 / 0.25


def test_large_jobs_are_chosen_as_often_as_small_ones(book):
    """Load: the largest tasks of a kind wait until nobody else does."""
    book.report("small", [demand(waited_ms=100)], NOW)
    book.report("large", [demand(waited_ms=101, first=LARGE)], NOW)
    assert book.next_offer(room(2), NOW).entry == "large"


@pytest.mark.parametrize(
    "tasks, free_tasks, expected",
    [(2, 8, [2]), (9, 1, [1]), (9, 8, [4, 4]), (3, 0, [])],
)
def test_an_offer_covers_what_is_needed_and_fits_up_to_a_limit(
    book, tasks, free_tasks, expected
):
    """Load: one instance with many waiting tasks meets a large gap."""
    book.report("a", [demand(tasks=tasks)], NOW)
    opened = open_all(book, room(free_tasks).free)
    assert [offer.tasks for offer in opened] == expected


def test_capacity_freed_at_once_does_not_all_go_to_the_longest_wait(book):
    """Load: many tasks wait at one instance, a few younger ones at another."""
    book.report("a", [demand(tasks=99, waited_ms=200)], NOW)
    book.report("b", [demand(tasks=2)], NOW)
    entries = [o.entry for o in open_all(book, room(2 * MAX_OFFERED_TASKS).free)]
    assert entries == ["a", "b", "a"]


def test_an_unused_offer_passes_to_the_next_for_a_moment(book):
    """Load: the instance that waited longest has placed its tasks elsewhere."""
    for name, waited_ms in (("a", 200), ("b", 100)):
        book.report(name, [demand(waited_ms=waited_ms)], NOW)
    first = book.next_offer(room(1), NOW)
    assert book.close("a", first.number, [demand(waited_ms=200)], NOW) == first
    assert book.next_offer(room(1), NOW).entry == "b"
    later = NOW + UNUSED_PAUSE_S
    book.expire(later)
    assert book.next_offer(room(1), later).entry == "a"


def test_an_instance_that_cannot_hear_stops_blocking_capacity(book):
    """Load: a one-way cut; reports arrive every 20 ms, and no offer is answered."""
    held_s = 0.0
    for step in range(1_000):
        now = NOW + step * 0.001
        book.expire(now)
        if step % 20 == 0:
            book.report("a", [demand(tasks=8)], now)
        book.next_offer(RoomView(room(8).free.minus(book.held)), now)
        held_s += 0.001 * (book.held != NO_RESOURCES)
    assert held_s <= (2 + 1 / (EXPIRED_PAUSE_S + OFFER_VALID_S)) * OFFER_VALID_S


def test_a_short_delay_of_an_instance_with_several_offers_counts_once(book):
    book.report("a", [demand(tasks=8)], NOW)
    open_all(book, room(8).free)
    assert len(book.expire(NOW + OFFER_VALID_S)) == 2
    assert book.next_offer(room(8), NOW + OFFER_VALID_S) is not None


@pytest.mark.parametrize(
    "entry, after_s, need, used",
    [
        ("a", 0.0, NEED, True),
        ("a", OFFER_VALID_S, NEED, False),
        ("b", 0.0, NEED, False),
        ("a", 0.0, LARGE, False),
    ],
)
def test_held_capacity_is_used_only_by_its_owner_in_time(
    book, entry, after_s, need, used
):
    """Load: late and repeated orders arrive while others were offered the same."""
    book.report("a", [demand(tasks=2)], NOW)
    offer = book.next_offer(room(1), NOW)
    assert book.take(entry, offer.number, need, NOW + after_s) == used
    assert book.held == (NO_RESOURCES if used else offer.room)
    assert not book.take(entry, offer.number, need, NOW + after_s)


def test_outdated_demand_and_a_forgotten_instance_get_nothing(book):
    """Load: entry instances die while their tasks wait."""
    book.report("a", [demand()], NOW)
    book.report("b", [demand()], NOW + 0.1)
    assert book.next_offer(room(1), NOW + 0.1).entry == "a"
    assert [offer.entry for offer in book.forget("a")] == ["a"]
    assert book.held == NO_RESOURCES
    book.expire(NOW + 0.1 + DEMAND_VALID_S)
    assert book.next_offer(room(1), NOW + 0.1 + DEMAND_VALID_S) is None


@pytest.mark.parametrize(
    "spare, plan_s, shortest_run_ms, expected",
    [
        (NO_RESOURCES, 0.05, 400, None),
        (NO_RESOURCES, 0.0502, 20, 25),
        (NEED, 0.05, 400, 0),
        (LARGE, 0.001, 400, 0),
    ],
)
def test_a_gap_for_a_large_task_is_kept_from_tasks_that_delay_it(
    book, monkeypatch, spare, plan_s, shortest_run_ms, expected
):
    """Load: small tasks fill each gap before a large task fits; the target is slow."""
    plan = BackfillPlan(NOW + plan_s, spare)
    monkeypatch.setattr(offers, "backfill_plan", lambda *_: plan)
    book.report("large", [demand(waited_ms=300, first=LARGE)], NOW)
    book.report("a", [demand(shortest_run_ms=shortest_run_ms)], NOW)
    offer = book.next_offer(room(1), NOW, slowness=2.0)
    assert (offer and offer.max_run_ms) == expected
    assert book.kept == (room(1).free.minus(spare) if spare.cpu_m == 0 else book.kept)
    book.report("a", [], NOW + offers.MAX_KEPT_S)
    book.report("a", [demand(waited_ms=0)], NOW + offers.MAX_KEPT_S)
    book.expire(NOW + offers.MAX_KEPT_S)
    assert book.next_offer(room(1), NOW + offers.MAX_KEPT_S).max_run_ms == 0
    assert book.kept == NO_RESOURCES


def test_expected_wait_is_waiting_work_over_the_measured_rate(book):
    """Load: a burst; what is refused at arrival depends on the measured backlog."""
    for entry in "ab":
        book.report(entry, [demand(work_ms=8_000, waited_ms=70)], NOW)
    assert book.waits(NOW + 0.01) == (QueueWait("small", 80),)
    for step in range(5):
        book.charge("small", 1, 1.6, NOW + step * 0.1)
    assert book.waits(NOW + 0.45) == (QueueWait("small", 1_000),)
    assert book.waits(NOW + 2) == (QueueWait("small", 2_070),)


def test_extreme_numbers_end_in_bounded_results(book):
    """Load: a peer that reports the largest numbers that a message may contain."""
    most = {"priority": MAX_SAFE_INTEGER, "tasks": MAX_SAFE_INTEGER}
    none = BoundedResources()
    extreme = demand(waited_ms=MAX_SAFE_INTEGER, smallest=none, first=none, **most)
    book.report("a", [extreme._replace(work_ms=MAX_SAFE_INTEGER)], NOW)
    assert len(open_all(book, room(1).free)) == MAX_OPEN_OFFERS
    book.charge("small", book.priority_of("small"), 1e-3, NOW)
    assert book.waits(NOW) == (QueueWait("small", MAX_WAIT_MS),)
    assert book.waits(NOW + 9) == (QueueWait("small", MAX_WAIT_MS),)
