"""Tests of the entry instance's side of offers: reports of demand, and their use."""

import pytest

from hawthorntrack.coordination.guard_peer import MAX_SILENCE_FOR_NEW_RUNS_S
from hawthorntrack.coordination.room_requests import (
    CONTENTION_LINGER_S,
    MAX_PLACEMENT_DELAY_S,
)
from hawthorntrack.coordination.scheduling.demand import REPORT_REPETITION_S
from hawthorntrack.coordination.tests import test_dispatcher
from hawthorntrack.coordination.tests.test_dispatcher import (
    GUARD_1,
    GUARD_2,
    NEED,
    DispatcherHarness,
)
from hawthorntrack.protocol.job_requests import CallerDisconnected
from hawthorntrack.protocol.links import LinkDown
from hawthorntrack.protocol.run_messages import (
    BoundedResources,
    CloseOffer,
    ConfirmLease,
    Hello,
    OfferRoom,
    ReportDemand,
    StartRuns,
)
from hawthorntrack.state.mailbox import Tick
from hawthorntrack.state.plans import StepSpec
from hawthorntrack.state.resources import NO_RESOURCES, Resources

loop = test_dispatcher.loop
ONE_TASK = (StepSpec(1, NEED, 0.4),)


def wait_for_calm(entry):
    """Let time pass until tasks start without an offer again; GUARD_1 has capacity."""
    entry.advance(CONTENTION_LINGER_S + 0.1)
    entry.connect_guard(GUARD_1)
    entry.sent.clear()


@pytest.fixture
def entry(loop):
    """Return an entry instance that shares capacity, with one guard that is full."""
    harness = DispatcherHarness(loop, share_room=True)
    harness.set_directives()
    harness.connect_guard(GUARD_1, free=NO_RESOURCES)
    harness.sent.clear()
    return harness


def offer_room(entry, tasks=1, queue="confirm", guard=GUARD_1, number=7, **limits):
    """Offer capacity for some tasks; return the orders, and the demand that is left."""
    room = BoundedResources(*(tasks * amount for amount in NEED))
    entry.sent.clear()
    entry.deliver(OfferRoom(number, queue, room, 30, **limits), guard)
    *orders, (to, closing) = entry.sent
    assert (to, type(closing), closing.offer) == (guard.address, CloseOffer, number)
    assert all(to == guard.address for to, _ in orders)
    runs = [
        (order.queue, order.offer, run.name.task.job[0])
        for _, order in orders
        if type(order) is StartRuns
        for run in order.runs
    ]
    return runs, {demand.queue: demand.tasks for demand in closing.demands}


def reports(entry):
    """Return and drop the reports that were sent: guard, and tasks by queue."""
    return [
        (to, {demand.queue: demand.tasks for demand in body.demands})
        for to, body in entry.take_messages(ReportDemand)
    ]


def test_waiting_tasks_are_reported_repeated_and_withdrawn(entry):
    """A report is valid for 0.5 s at the guard; one may be lost."""
    reply = entry.submit(steps=(StepSpec(2, NEED, 1.0),))
    assert reports(entry) == [(GUARD_1.address, {"confirm": 2})]
    entry.advance(REPORT_REPETITION_S - 0.04)
    assert reports(entry) == []
    entry.advance(0.06)
    assert reports(entry) == [(GUARD_1.address, {"confirm": 2})]
    reply.cancel()
    entry.deliver(CallerDisconnected("a" * 16, reply))
    assert reports(entry) == [(GUARD_1.address, {})]


def test_capacity_updates_are_not_requested_while_tasks_wait(entry):
    """Otherwise all entry instances would order starts on each update."""
    entry.submit()
    entry.advance(0.1)
    confirmations = entry.take_messages(ConfirmLease)
    assert not any(body.needs_capacity_updates for _, body in confirmations)


@pytest.mark.parametrize(
    ("tasks", "limits", "started", "left"),
    [
        pytest.param(1, {}, 1, {"confirm": 3}, id="smaller"),
        pytest.param(3, {}, 3, {"confirm": 1}, id="job_that_has_begun_first"),
        pytest.param(9, {}, 4, {}, id="larger"),
        pytest.param(9, {"max_run_ms": 399}, 0, {"confirm": 4}, id="too_short"),
        pytest.param(9, {"max_run_ms": 400}, 4, {}, id="long_enough"),
        pytest.param(0, {}, 0, {"confirm": 4}, id="no_task_fits"),
    ],
)
def test_offer_is_used_as_far_as_the_oldest_tasks_fit(
    entry, tasks, limits, started, left
):
    """An offer may be too small for the tasks that wait, or larger than needed."""
    for key in "ab":
        entry.submit(key * 16)
        entry.time += 0.001
    starts = [("confirm", 7, job) for job in "aabb"]
    assert offer_room(entry, tasks, **limits) == (starts[:started], left)


def test_job_that_has_begun_gets_an_offer_before_an_older_one(entry):
    """Its running tasks hold capacity that helps no caller until the rest has run."""
    for key in "ab":
        entry.submit(key * 16)
        entry.time += 0.001
    entry.dispatcher.jobs["b" * 16].begun = True
    entry.dispatcher.note_job_changed(entry.dispatcher.jobs["b" * 16])
    assert offer_room(entry, 2)[0] == [("confirm", 7, "b")] * 2


def test_offer_after_the_demand_was_withdrawn_is_returned(entry):
    """The offer and the withdrawal crossed on the link."""
    reply = entry.submit()
    reply.cancel()
    entry.deliver(CallerDisconnected("a" * 16, reply))
    assert offer_room(entry) == ([], {})


def test_offer_for_the_task_of_a_caller_that_left_is_returned(entry):
    """The caller may have sent the job elsewhere; the message that it left waits."""
    entry.submit().cancel()
    assert offer_room(entry) == ([], {})


def disconnect(entry):
    entry.deliver(LinkDown(GUARD_1.address), GUARD_1)


def silence(entry):
    entry.time += MAX_SILENCE_FOR_NEW_RUNS_S / 2
    entry.send_heartbeat(GUARD_1, status="draining")


def suspend(entry):
    entry.advance(0.02)
    entry.hold_passes = True
    entry.time += 0.2


def suspend_for_long(entry):
    entry.time += 0.6


@pytest.mark.parametrize(
    ("fault", "sender", "left"),
    [
        pytest.param(disconnect, GUARD_1, {}, id="unlinked"),
        pytest.param(silence, GUARD_1, {}, id="target_drains"),
        pytest.param(suspend, GUARD_1, {"confirm": 1}, id="disconnections_unread"),
        pytest.param(suspend_for_long, GUARD_1, {}, id="suspended"),
        pytest.param(
            lambda entry: None,
            GUARD_1._replace(nonce="earlier"),
            {"confirm": 1},
            id="earlier_incarnation",
        ),
        pytest.param(lambda entry: None, GUARD_2, {}, id="unknown_guard"),
    ],
)
def test_offer_that_must_not_be_used_is_returned(entry, fault, sender, left):
    entry.submit(steps=ONE_TASK)
    fault(entry)
    assert offer_room(entry, guard=sender) == ([], left)


def test_guard_that_was_restarted_is_told_the_demand_again(entry):
    """The next incarnation knows no demand."""
    entry.submit()
    reports(entry)
    restarted = GUARD_1._replace(nonce="next")
    entry.deliver(LinkDown(GUARD_1.address), GUARD_1)
    entry.deliver(Hello("guard", "recife", GUARD_1.address), restarted)
    entry.send_heartbeat(restarted, free=NO_RESOURCES)
    entry.advance(0.04)
    assert reports(entry) == [(GUARD_1.address, {"confirm": 2})]


def test_offer_to_a_queue_without_tasks_serves_one_that_is_as_urgent(entry):
    entry.submit(steps=ONE_TASK)
    assert offer_room(entry, queue="check")[0] == [("confirm", 7, "a")]


def test_offer_to_an_urgent_queue_is_not_used_for_a_less_urgent_one(entry):
    """A task of 1.8 s would take the capacity from urgent tasks elsewhere."""
    queues = entry.dispatcher.directives.catalogue.queues
    catalogue = entry.dispatcher.directives.catalogue._replace(
        queues=(queues[0]._replace(priority=1), *queues[1:])
    )
    entry.dispatcher.directives = entry.dispatcher.directives._replace(
        catalogue=catalogue
    )
    entry.submit(steps=ONE_TASK)
    assert offer_room(entry, queue="check") == ([], {"confirm": 1})


def test_after_a_refusal_tasks_ask_before_they_start(entry):
    """Ten entry instances chose the emptiest target: 49 of 120 orders were refused."""
    wait_for_calm(entry)
    reply = entry.submit(steps=ONE_TASK)
    ((_, order),) = entry.take_messages(StartRuns)
    assert (order.queue, order.offer) == ("confirm", 0)
    reports(entry)
    entry.refuse_runs(GUARD_1, [run.name for run in order.runs], "no_room")
    assert (reports(entry), entry.take_starts()) == (
        [(GUARD_1.address, {"confirm": 1})],
        [],
    )
    assert offer_room(entry)[0] == [("confirm", 7, "a")]
    reply.cancel()
    entry.deliver(CallerDisconnected("a" * 16, reply))
    wait_for_calm(entry)
    entry.submit("b" * 16, steps=ONE_TASK)
    assert len(entry.take_starts()) == 1


@pytest.mark.parametrize("share_room", [False, True])
def test_flood_of_messages_delays_placement_by_a_few_milliseconds(
    loop,
    share_room,
):
    """Load pattern: messages arrive faster than they are handled, for seconds."""
    entry = DispatcherHarness(loop, share_room=share_room)
    entry.set_directives()
    entry.connect_guard(GUARD_1)
    wait_for_calm(entry)
    entry.dispatcher.mailbox.put(Tick())
    entry.submit()
    entry.time += 1.01 * MAX_PLACEMENT_DELAY_S
    entry.deliver(Tick())
    assert bool(entry.take_starts()) == share_room


def test_without_shared_capacity_the_messages_are_those_of_before(loop):
    """Entry instances and guards of a site that does not share must see no change."""
    entry = DispatcherHarness(loop)
    entry.set_directives()
    entry.connect_guard(GUARD_1, free=NEED)
    entry.submit()
    entry.deliver(OfferRoom(7, "confirm", BoundedResources(*NEED), 30), GUARD_1)
    entry.advance(0.3)
    entry.send_heartbeat(GUARD_1, free=Resources(*NEED))
    stamp = round(entry.time * 1000)
    kinds = [type(body) for _, body in entry.sent]
    orders = [body for _, body in entry.sent if type(body) is StartRuns]
    assert kinds == [
        ConfirmLease,
        StartRuns,
        ConfirmLease,
        CloseOffer,
        ConfirmLease,
    ]
    assert [(order.queue, order.offer) for order in orders] == [("", 0)]
    assert entry.sent[-1][1] == ConfirmLease(stamp, 1, (), True)
    assert entry.sent[3][1] == CloseOffer(7, ())
