"""Tests of the lease holder's offers: lost, late and unexpected messages."""

import msgspec
import pytest

from hawthorntrack.coordination.room_offering import ReviewOffers
from hawthorntrack.coordination.scheduling.offers import OFFER_VALID_S, UNUSED_PAUSE_S
from hawthorntrack.coordination.tests.test_leaseholder import ENTRY, NEED, OTHER, Guard
from hawthorntrack.protocol import run_messages as rm
from hawthorntrack.protocol.codec import BadMessage, codecs
from hawthorntrack.protocol.links import LinkDown
from hawthorntrack.protocol.local import Drain
from hawthorntrack.state.metrics import BAD_INPUT, OFFERS, labelled
from hawthorntrack.state.plans import RunEnd, RunName, TaskName
from hawthorntrack.state.values import Incarnation

SLOTS = 10
NEEDED = rm.BoundedResources(*NEED)
DEMAND = rm.QueueDemand("small", 1, 100, 1, NEEDED, NEEDED, 400, 400, 640)
HELLO = rm.Hello("entry", "recife", "entry")
RESTARTED = Incarnation(ENTRY.address, "e9")
ISOLATED = rm.RunOrder(RunName(TaskName("c" * 16, 0, 0, 0), 1), NEED, 400, True)


@pytest.fixture
def guard(run, request):
    """Return a guard that offers the capacity of one task; others occupy the rest."""
    guard = Guard()
    guard.holder.share_room = getattr(request, "param", True)
    guard.timers = []
    guard.holder.post_later = lambda *timer: guard.timers.append(timer)
    guard.announce()
    guard.answer_renewals()
    for entry in (ENTRY, OTHER):
        guard.deliver(HELLO, entry)
    assert start(guard, OTHER, count=SLOTS - 1, job="f" * 16) == ""
    return guard


def ask(guard, entry=ENTRY, **changes):
    """Report demand of an entry instance; return the offers that are sent."""
    guard.deliver(rm.ReportDemand((DEMAND._replace(**changes),)), entry)
    return guard.take_messages(rm.OfferRoom)


def start(guard, entry, offer=0, count=1, job="a" * 16):
    """Order runs; return why they were refused, or an empty text."""
    names = [RunName(TaskName(job, 0, 0, i), 1) for i in range(count)]
    runs = tuple(rm.RunOrder(name, NEED, 400) for name in names)
    clock_ms = round(guard.time * 1000)
    guard.deliver(rm.StartRuns(clock_ms, "", 9_000, runs, "small", offer), entry)
    guard.answer_starts()
    refused = guard.take_messages(rm.RunsRefused)
    return refused[0].reason if refused else ""


def end_one_run(guard):
    """Let a run of another entry instance end; return the status that is reported."""
    guard.time += 0.01
    name = RunName(TaskName("f" * 16, 0, 0, 0), 1)
    guard.answer_renewals(ended=[RunEnd(1, name, "done")])
    return guard.take_messages(rm.RunsEnded)[0].target_status


def count(metric, *labels):
    return labelled(metric, *labels)._value.get()


def test_freed_capacity_is_offered_before_a_status_shows_it_as_free(guard):
    """Other entry instances would order starts in it, and be refused."""
    assert ask(guard, tasks=2)[0].room.cpu_m == NEED.cpu_m
    status = end_one_run(guard)
    (offer,) = guard.take_messages(rm.OfferRoom)
    assert status.free.cpu_m == 0
    assert [wait.queue for wait in status.queue_waits] == ["small"]
    assert start(guard, OTHER, job="b" * 16) == "no_room"
    before = count(OFFERS, "used")
    assert start(guard, ENTRY, offer.offer) == ""
    guard.deliver(rm.CloseOffer(offer.offer, ()), ENTRY)
    assert count(OFFERS, "used") == before + 1
    run = guard.holder.current_session().runs[TaskName("a" * 16, 0, 0, 0)]
    assert run.queue == "small"
    assert guard.holder.offers.shares.virtual_time_of("small") > 0


@pytest.mark.parametrize(
    "outcome, after_s, messages",
    [
        ("expired", OFFER_VALID_S, [(ReviewOffers(0.0), None)]),
        ("discarded", 0.0, [(LinkDown(ENTRY.address), None)]),
        ("discarded", 0.0, [(HELLO, RESTARTED)]),
        # The offer and a withdrawal cross; the number follows the guard's first token.
        (
            "unused",
            0.0,
            [(rm.ReportDemand(()), ENTRY), (rm.CloseOffer(50, ()), ENTRY)],
        ),
    ],
)
def test_capacity_of_a_failed_offer_passes_on(guard, outcome, after_s, messages):
    """It would stay idle while another entry instance has waiting tasks."""
    (offer,) = ask(guard, waited_ms=200)
    assert ask(guard, OTHER) == []
    before = count(OFFERS, outcome)
    guard.time += after_s
    for body, sender in messages:
        guard.deliver(body, sender)
    assert count(OFFERS, outcome) == before + 1
    passed = [to for to, body in guard.sent if isinstance(body, rm.OfferRoom)]
    assert passed == [OTHER.address]
    assert start(guard, ENTRY, offer.offer) == "no_room"


@pytest.mark.parametrize("number", [50, 7])
def test_order_with_an_invalid_offer_counts_as_one_without(guard, number):
    """The entry instance was suspended, or the guard restarted; the capacity is free.

    The message of the timer has not arrived yet.
    """
    ask(guard)
    guard.time += OFFER_VALID_S
    assert start(guard, ENTRY, number) == ""


def test_offer_does_not_exceed_capacity_that_has_shrunk(guard):
    """No start may exceed the target's capacity, whatever was offered before."""
    (offer,) = ask(guard)
    capacity = NEED._replace(cpu_m=NEED.cpu_m * (SLOTS - 1), memory_mb=32_768)
    guard.announce(sequence=2, capacity=capacity)
    assert start(guard, ENTRY, offer.offer) == "no_room"


def test_pause_after_an_unused_offer_ends_by_a_timer(guard):
    """No message follows, and a timer may fire a little before the pause ends."""
    (offer,) = ask(guard)
    guard.deliver(rm.CloseOffer(offer.offer, (DEMAND,)), ENTRY)
    assert guard.timers[-1][0] == pytest.approx(UNUSED_PAUSE_S)
    for wait_s, offers in ((UNUSED_PAUSE_S - 0.0001, 0), (0.001, 1)):
        guard.time += wait_s
        guard.deliver(guard.timers[-1][1])
        assert len(guard.take_messages(rm.OfferRoom)) == offers


@pytest.mark.parametrize("sender", [Incarnation("entry:9", "e"), ENTRY])
@pytest.mark.parametrize(
    "body", [rm.ReportDemand((DEMAND,)), rm.CloseOffer(50, (DEMAND,))]
)
def test_message_of_an_unexpected_sender_changes_nothing(guard, sender, body):
    """A process that is gone must not get offers, nor change those of its successor."""
    guard.deliver(HELLO, RESTARTED)
    before = count(BAD_INPUT, "link", "not_linked")
    guard.deliver(body, sender)
    assert count(BAD_INPUT, "link", "not_linked") == before + 1
    assert guard.holder.offers.demands == {}


ROW = ["small", 1, 100, 1, [1, 1, 0], [1, 1, 0], 400, 400]


@pytest.mark.parametrize(
    "tag, body",
    [
        ("report_demand", []),
        ("report_demand", [[ROW]]),
        ("report_demand", [[ROW + [-1]]]),
        ("report_demand", [[ROW + [2**53]]]),
        ("report_demand", [[["q" * 201, *ROW[1:], 0]]]),
        ("report_demand", [[ROW + [0]] * 65]),
        ("close_offer", ["1", [ROW + [0]]]),
    ],
)
def test_malformed_message_is_not_decoded(tag, body):
    """The bus counts it as bad input and drops it."""
    with pytest.raises(BadMessage):
        codecs["msgpack"].decode(msgspec.msgpack.encode((tag, "a:1", "n", 1, body)))


@pytest.mark.parametrize(
    "change",
    [
        rm.ConfirmLease(1_000_000, 2, ("recife",)),
        Drain(),
        rm.StartRuns(1_000_000, "", 9_000, (ISOLATED,)),
    ],
)
def test_nothing_is_offered_where_no_task_may_start(guard, change):
    guard.deliver(change, OTHER)
    assert ask(guard) == []


@pytest.mark.parametrize("guard", [False], indirect=True)
def test_nothing_new_is_sent_unless_capacity_is_shared(guard):
    assert ask(guard, tasks=9) == []
    status = end_one_run(guard)
    assert (status.free.cpu_m, status.queue_waits) == (2 * NEED.cpu_m, ())
    guard.wait(0.1)
    assert guard.take_messages(rm.OfferRoom) == []
    assert not [t for t in guard.timers if isinstance(t[1], ReviewOffers)]


def test_timers_of_the_offers_do_not_multiply(guard):
    """Each timer set another one, and reviews came thousands of times a second."""
    for _ in range(20):
        (offer,) = ask(guard, waited_ms=200)
        guard.time += 0.003
        guard.deliver(rm.CloseOffer(offer.offer, ()), ENTRY)
        guard.time += UNUSED_PAUSE_S
        for _, message in guard.timers:
            guard.deliver(message)
    reviews = [t for t in guard.timers if isinstance(t[1], ReviewOffers)]
    assert len(reviews) <= 2 * 20  # the expiry and the pause of each offer
