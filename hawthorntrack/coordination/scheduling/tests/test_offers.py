"""Tests of the order in which waiting tasks get a guard's free capacity."""

from collections import Counter

import pytest

from hawthorntrack.coordination.scheduling import offers
from hawthorntrack.coordination.scheduling.lookahead import BackfillPlan, RoomView
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
    need = BoundedResources(*first)
    made = QueueDemand(queue, priority, waited_ms, tasks, need, need, 400, 400, 8_000)
    return made._replace(**changes)


def open_all(book, tasks, now=NOW):
    """Open all offers that the free capacity for a number of tasks admits."""
    free = Resources(4_000 * tasks, 64 * tasks)
    views = iter(lambda: RoomView(free.minus(book.held)), None)
    return list(iter(lambda: book.next_offer(next(views), now, 2.0), None))


@pytest.fixture
def book():
    return offers.OfferBook()


@pytest.mark.parametrize(
    "demands, free_tasks, expected",
    [
        # Four instances wait for the capacity of two tasks, and two are refused today.
        ([demand(waited_ms=n) for n in (1, 2, 3, 4)], 2, [(3, 1), (2, 1)]),
        # The largest tasks of a kind wait until nobody else does.
        ([demand(), demand(waited_ms=101, first=LARGE)], 2, [(1, 1)]),
        # One instance with many tasks meets a gap, alone and with a younger demand.
        ([demand(tasks=9)], 8, [(0, 4), (0, 4)]),
        (
            [demand(tasks=99, waited_ms=200), demand(tasks=2)],
            8,
            [(0, 4), (1, 2), (0, 2)],
        ),
        # Less urgent tasks have waited longer; each queue gets its first task in turn.
        ([demand("l", 2, 9_000), demand("q", 0, tasks=9)], 5, [(1, 1), (0, 1), (1, 3)]),
        # Both queues have demand for all of the capacity that becomes free at once.
        (
            [demand("s", tasks=9), demand("q", 0, tasks=9)],
            8,
            [(1, 1), (0, 1), (1, 4), (0, 1), (1, 1)],
        ),
        ([demand(tasks=3)], 0, []),
    ],
)
def test_order_and_size_of_offers(book, demands, free_tasks, expected):
    """Load: entry instances compete for less capacity than their tasks need."""
    for entry, asked in enumerate(demands):
        book.report(entry, [asked], NOW)
    opened = open_all(book, free_tasks)
    assert [(offer.entry, offer.tasks) for offer in opened] == expected


def test_queues_share_capacity_by_weight_whatever_instance_they_wait_at(book):
    """Load: urgent work at one instance meets older, less urgent work at others."""
    for step in range(100):
        book.charge("s", 1, 1.6, NOW + step * 0.01)  # alone, with idle capacity
    started = Counter()
    for step in range(600):
        now = NOW + 1 + step * 0.01
        for entry, queue, priority in (("a", "q", 0), ("b", "s", 1), ("c", "l", 2)):
            book.report(entry, [demand(queue, priority, 5_000 * priority)], now)
        (offer,) = open_all(book, 1, now)
        started[offer.queue] += 1
        assert book.take(offer.entry, offer.number, NEED, now)
        book.charge(offer.queue, book.priority_of(offer.queue), 1.6, now)
        book.close(offer.entry, offer.number, (), now)
    assert started["q"] / started["s"] == pytest.approx(4, rel=0.1)
    assert started["s"] / started["l"] == pytest.approx(4, rel=0.2)


def test_an_instance_that_cannot_hear_stops_holding_capacity(book):
    """Load: a one-way cut; reports arrive every 20 ms, and no offer is answered."""
    held_s = 0.0
    for step in range(1_000):
        now = NOW + step * 0.001
        book.expire(now)
        if step % 20 == 0:
            book.report("a", [demand(tasks=8)], now)
        open_all(book, 8, now)
        held_s += 0.001 * (book.held != NO_RESOURCES)
    assert held_s <= (2 + 1 / offers.EXPIRED_PAUSE_S) * offers.OFFER_VALID_S


@pytest.mark.parametrize(
    "entry, after_s, need, used",
    [
        ("a", 0.0, NEED, True),
        ("a", offers.OFFER_VALID_S, NEED, False),
        ("b", 0.0, NEED, False),
        ("a", 0.0, LARGE, False),
    ],
)
def test_held_capacity_is_used_once_by_its_owner_in_time(
    book, entry, after_s, need, used
):
    """Load: late and repeated orders arrive while others were offered the same."""
    book.report("a", [demand(tasks=2)], NOW)
    (offer,) = open_all(book, 1)
    assert book.take(entry, offer.number, need, NOW + after_s) == used
    assert book.held == (NO_RESOURCES if used else offer.room)
    assert not book.take(entry, offer.number, need, NOW + after_s)


@pytest.mark.parametrize(
    "spare, plan_s, shortest_run_ms, max_run_ms",
    [
        (NO_RESOURCES, 0.05, 400, []),
        (NO_RESOURCES, 0.0502, 20, [25]),
        (NEED, 0.05, 400, [0]),
    ],
)
def test_a_gap_for_a_large_task_is_kept_from_tasks_that_delay_it(
    book, monkeypatch, spare, plan_s, shortest_run_ms, max_run_ms
):
    """Load: small tasks fill each gap before a large task fits; the target is slow."""
    plan = BackfillPlan(NOW + plan_s, spare)
    monkeypatch.setattr(offers, "backfill_plan", lambda *_: plan)
    book.report("large", [demand(waited_ms=300, first=LARGE)], NOW)
    book.report("a", [demand(shortest_run_ms=shortest_run_ms)], NOW)
    assert [offer.max_run_ms for offer in open_all(book, 1)] == max_run_ms
    assert bool(book.kept.cpu_m) == (not max_run_ms)
    later = NOW + offers.MAX_KEPT_S
    book.expire(later)
    assert book.kept == NO_RESOURCES
    book.report("a", [demand()], later)
    assert [offer.max_run_ms for offer in open_all(book, 1, later)] == [0]


def test_expected_wait_is_waiting_work_over_the_measured_rate(book):
    """Load: a burst; what is refused at arrival depends on the measured backlog."""
    for entry in "ab":
        book.report(entry, [demand(waited_ms=70)], NOW)
    for step in range(5):
        book.charge("small", 1, 1.6, NOW + 0.1 + step * 0.1)
    waits = [book.waits(NOW + after_s) for after_s in (0.55, 2)]
    assert waits == [(QueueWait("small", 1_000),), (QueueWait("small", 2_070),)]
    book.expire(NOW + offers.DEMAND_VALID_S)
    assert book.waits(NOW + offers.DEMAND_VALID_S) == ()


def test_extreme_numbers_end_in_bounded_results(book):
    """Load: a peer that reports the largest numbers that a message may contain."""
    most, none = MAX_SAFE_INTEGER, BoundedResources()
    book.report("a", [demand("q", most, most, most, none, work_ms=most)], NOW)
    assert len(open_all(book, 1)) == offers.MAX_OPEN_OFFERS
    book.charge("q", book.priority_of("q"), 1e-3, NOW)
    for at in (NOW, NOW + 9):
        assert book.waits(at) == (QueueWait("q", offers.MAX_WAIT_MS),)
