"""An entry gives each caller one answer, and says 'not run' only when sure."""

import asyncio

import pytest

from hawthorntrack.coordination.router import Router
from hawthorntrack.coordination.tests.conftest import (
    deliver,
    posted,
    show_view,
    slot_row,
    tick,
)
from hawthorntrack.protocol import local, messages
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.outcomes import CUSTOMER_LIMIT, SLOT_MOVING, refuse
from hawthorntrack.state.values import Answer, Incarnation

ENTRY = Incarnation("127.0.0.1:41", "e")
DONE = Answer("complete", "", "yes", "", ())


@pytest.fixture
def router(settings, wire, view, guards):
    """Return a function that makes a router; guard 0 owns every slot."""

    def make(owners=True):
        made = Router(ENTRY, settings, wire.send, Mailbox("drained"))
        slots = (
            {n: slot_row(guards[0], guards[1], 2) for n in range(4)} if owners else {}
        )
        show_view(made, view._replace(slots=slots))
        return made

    return make


def ask(router, job):
    """Have a caller ask; return the future of its answer."""
    reply = asyncio.get_running_loop().create_future()
    deliver(router, local.SubmitJob(job, reply))
    return reply


def submitted(wire):
    """Return whom submissions went to."""
    found = [to for to, body in wire.sent if isinstance(body, messages.Submit)]
    wire.take(messages.Submit)
    return found


def refused(router, sender, kind, hint=None, request="1", sequence=1):
    deliver(router, messages.Answered(request, refuse(kind), hint, sequence), sender)


def test_answers_out_of_order_reach_their_own_callers(run, router, guards, make_job):
    async def scene():
        made = router()
        replies = [ask(made, make_job(f"k{n}")) for n in range(3)]
        for number in (3, 1, 2):
            answer = Answer("failed", "task_failed", "yes", str(number))
            deliver(made, messages.Answered(str(number), answer), guards[0])
        assert [reply.result().detail for reply in replies] == ["1", "2", "3"]

    run(scene())


def test_second_answer_to_a_request_is_dropped(run, router, guards, make_job):
    async def scene():
        made = router()
        reply = ask(made, make_job())
        first = Answer("failed", "task_failed", "yes", "first")
        deliver(made, messages.Answered("1", first), guards[0])
        deliver(made, messages.Answered("1", DONE), guards[0])
        assert reply.result() == first

    run(scene())


def test_moving_slot_is_tried_again_at_the_new_owner(
    run, router, wire, guards, make_job
):
    async def scene():
        made = router()
        reply = ask(made, make_job())
        assert submitted(wire) == [guards[0]]
        refused(made, guards[0], SLOT_MOVING, slot_row(guards[1], guards[2], 4, 2))
        await asyncio.sleep(0.1)
        tick(made)
        assert submitted(wire) == [guards[1]]
        refused(made, guards[1], CUSTOMER_LIMIT, sequence=2)
        assert (reply.result().status, reply.result().ran) == ("refused", "no")

    run(scene())


def test_refusal_is_not_passed_on_while_another_owner_may_run_it(
    run, router, wire, guards, make_job, view
):
    async def scene():
        made = router()
        reply = ask(made, make_job(deadline_ms=60_000))
        timing = made.settings.timing
        await asyncio.sleep(timing.inquire_s + timing.pair_silence_s)
        slots = {n: slot_row(guards[1], guards[2], 4, 2) for n in range(4)}
        show_view(made, view._replace(slots=slots))
        tick(made)
        assert submitted(wire) == [guards[0], guards[1]]
        refused(made, guards[1], CUSTOMER_LIMIT, sequence=2)
        answer = reply.result()
        assert (answer.status, answer.ran) == ("failed", "maybe")

    run(scene())


def test_owner_that_still_works_is_waited_for(
    run, router, wire, guards, make_job, view
):
    async def scene():
        made = router()
        ask(made, make_job(deadline_ms=60_000))
        submitted(wire)
        slots = {n: slot_row(guards[1], guards[2], 4, 2) for n in range(4)}
        show_view(made, view._replace(slots=slots))
        for _ in range(5):
            await asyncio.sleep(made.settings.timing.inquire_s * 1.1)
            tick(made)
            assert wire.take(messages.Inquire)
            deliver(made, messages.Pending("1"), guards[0])
        assert submitted(wire) == []

    run(scene())


def test_owner_that_never_heard_of_it_gets_it_again(
    run, router, wire, guards, make_job
):
    async def scene():
        made = router()
        ask(made, make_job())
        submitted(wire)
        deliver(made, messages.JobNotFound("1"), guards[0])
        assert submitted(wire) == [guards[0]]

    run(scene())


@pytest.mark.parametrize(
    ("owners", "status", "ran"),
    [(False, "refused", "no"), (True, "failed", "maybe")],
)
def test_deadline_is_told_truly(run, router, make_job, owners, status, ran):
    async def scene():
        made = router(owners)
        reply = ask(made, make_job(deadline_ms=1_000))
        await asyncio.sleep(1.3)
        tick(made)
        assert (reply.result().status, reply.result().ran) == (status, ran)

    run(scene())


def test_unknown_service_and_draining_are_refused(run, router, make_job):
    async def scene():
        made = router()
        unknown = ask(made, make_job(service="other"))
        assert unknown.result().kind == "unknown_service"
        waiting = ask(made, make_job())
        deliver(made, local.Drain())
        assert ask(made, make_job("k2")).result().kind == "draining"
        tick(made)
        assert not posted(made.drained, local.DrainCompleted)
        assert not waiting.done()

    run(scene())


def test_doubled_refusal_says_nothing_of_a_later_submission(
    run, router, wire, guards, make_job
):
    async def scene():
        made = router()
        reply = ask(made, make_job(deadline_ms=1_000))
        refused(made, guards[0], SLOT_MOVING)
        await asyncio.sleep(0.1)
        tick(made)
        assert submitted(wire) == [guards[0], guards[0]]
        refused(made, guards[0], SLOT_MOVING)
        await asyncio.sleep(1.3)
        tick(made)
        assert (reply.result().status, reply.result().ran) == ("failed", "maybe")

    run(scene())


def test_refusal_of_a_moved_slot_says_nothing_of_an_earlier_submission(
    run, router, wire, guards, make_job
):
    async def scene():
        made = router()
        reply = ask(made, make_job(deadline_ms=1_000))
        # The job ran and its answer was lost; then the slot moved away.
        deliver(made, messages.JobNotFound("1"), guards[0])
        refused(made, guards[0], SLOT_MOVING, sequence=2)
        await asyncio.sleep(1.3)
        tick(made)
        assert (reply.result().status, reply.result().ran) == ("failed", "maybe")

    run(scene())


def test_refusal_by_an_owner_that_knows_its_keys_settles_earlier_submissions(
    run, router, guards, make_job
):
    async def scene():
        made = router()
        reply = ask(made, make_job())
        deliver(made, messages.JobNotFound("1"), guards[0])
        refused(made, guards[0], CUSTOMER_LIMIT, sequence=2)
        assert (reply.result().status, reply.result().ran) == ("refused", "no")

    run(scene())
