"""Tests of the router: one answer per caller, and 'not run' only if certain."""

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
def make_router(settings, wire, view, guards):
    """Return a function that creates a router; guard 0 owns every slot."""

    def make(owners=True):
        router = Router(ENTRY, settings, wire.send, Mailbox("drained"))
        slots = (
            {n: slot_row(guards[0], guards[1], 2) for n in range(4)} if owners else {}
        )
        show_view(router, view._replace(slots=slots))
        return router

    return make


def submit_job(router, job):
    """Submit a caller's job; return the future of its answer."""
    reply = asyncio.get_running_loop().create_future()
    deliver(router, local.SubmitJob(job, reply))
    return reply


def take_submissions(wire):
    """Return the owners to which submissions were sent, and drop the messages."""
    owners = [to for to, body in wire.sent if isinstance(body, messages.Submit)]
    wire.take(messages.Submit)
    return owners


def deliver_refusal(router, sender, kind, row=None, request="1", sequence=1):
    deliver(router, messages.Answered(request, refuse(kind), row, sequence), sender)


def test_answers_out_of_order_reach_their_own_callers(
    run, make_router, guards, make_job
):
    async def scenario():
        router = make_router()
        replies = [submit_job(router, make_job(f"k{n}")) for n in range(3)]
        for number in (3, 1, 2):
            answer = Answer("failed", "task_failed", "yes", str(number))
            deliver(router, messages.Answered(str(number), answer), guards[0])
        assert [reply.result().detail for reply in replies] == ["1", "2", "3"]

    run(scenario())


def test_second_answer_to_a_request_is_dropped(run, make_router, guards, make_job):
    async def scenario():
        router = make_router()
        reply = submit_job(router, make_job())
        first = Answer("failed", "task_failed", "yes", "first")
        deliver(router, messages.Answered("1", first), guards[0])
        deliver(router, messages.Answered("1", DONE), guards[0])
        assert reply.result() == first

    run(scenario())


def test_job_refused_by_a_moving_slot_is_submitted_to_the_new_owner(
    run, make_router, wire, guards, make_job
):
    async def scenario():
        router = make_router()
        reply = submit_job(router, make_job())
        assert take_submissions(wire) == [guards[0]]
        deliver_refusal(
            router, guards[0], SLOT_MOVING, slot_row(guards[1], guards[2], 4, 2)
        )
        await asyncio.sleep(0.1)
        tick(router)
        assert take_submissions(wire) == [guards[1]]
        deliver_refusal(router, guards[1], CUSTOMER_LIMIT, sequence=2)
        assert (reply.result().status, reply.result().ran) == ("refused", "no")

    run(scenario())


def test_refusal_is_not_passed_on_while_another_owner_may_run_the_job(
    run, make_router, wire, guards, make_job, view
):
    async def scenario():
        router = make_router()
        reply = submit_job(router, make_job(deadline_ms=60_000))
        timing = router.settings.timing
        await asyncio.sleep(timing.inquire_s + timing.pair_silence_s)
        slots = {n: slot_row(guards[1], guards[2], 4, 2) for n in range(4)}
        show_view(router, view._replace(slots=slots))
        tick(router)
        assert take_submissions(wire) == [guards[0], guards[1]]
        deliver_refusal(router, guards[1], CUSTOMER_LIMIT, sequence=2)
        answer = reply.result()
        assert (answer.status, answer.ran) == ("failed", "maybe")

    run(scenario())


def test_job_stays_with_an_owner_that_reports_it_as_pending(
    run, make_router, wire, guards, make_job, view
):
    async def scenario():
        router = make_router()
        submit_job(router, make_job(deadline_ms=60_000))
        take_submissions(wire)
        slots = {n: slot_row(guards[1], guards[2], 4, 2) for n in range(4)}
        show_view(router, view._replace(slots=slots))
        for _ in range(5):
            await asyncio.sleep(router.settings.timing.inquire_s * 1.1)
            tick(router)
            assert wire.take(messages.Inquire)
            deliver(router, messages.Pending("1"), guards[0])
        assert take_submissions(wire) == []

    run(scenario())


def test_job_unknown_to_its_owner_is_submitted_again(
    run, make_router, wire, guards, make_job
):
    async def scenario():
        router = make_router()
        submit_job(router, make_job())
        take_submissions(wire)
        deliver(router, messages.JobNotFound("1"), guards[0])
        assert take_submissions(wire) == [guards[0]]

    run(scenario())


@pytest.mark.parametrize(
    ("owners", "status", "ran"),
    [(False, "refused", "no"), (True, "failed", "maybe")],
)
def test_answer_at_the_deadline_says_whether_the_job_may_run(
    run, make_router, make_job, owners, status, ran
):
    async def scenario():
        router = make_router(owners)
        reply = submit_job(router, make_job(deadline_ms=1_000))
        await asyncio.sleep(1.3)
        tick(router)
        assert (reply.result().status, reply.result().ran) == (status, ran)

    run(scenario())


def test_unknown_service_and_jobs_during_a_drain_are_refused(
    run, make_router, make_job
):
    async def scenario():
        router = make_router()
        unknown = submit_job(router, make_job(service="other"))
        assert unknown.result().kind == "unknown_service"
        waiting = submit_job(router, make_job())
        deliver(router, local.Drain())
        assert submit_job(router, make_job("k2")).result().kind == "draining"
        tick(router)
        assert not posted(router.drained, local.DrainCompleted)
        assert not waiting.done()

    run(scenario())


def test_duplicate_refusal_does_not_resolve_a_later_submission(
    run, make_router, wire, guards, make_job
):
    async def scenario():
        router = make_router()
        reply = submit_job(router, make_job(deadline_ms=1_000))
        deliver_refusal(router, guards[0], SLOT_MOVING)
        await asyncio.sleep(0.1)
        tick(router)
        assert take_submissions(wire) == [guards[0], guards[0]]
        deliver_refusal(router, guards[0], SLOT_MOVING)
        await asyncio.sleep(1.3)
        tick(router)
        assert (reply.result().status, reply.result().ran) == ("failed", "maybe")

    run(scenario())


def test_refusal_of_a_moved_slot_does_not_resolve_an_earlier_submission(
    run, make_router, wire, guards, make_job
):
    async def scenario():
        router = make_router()
        reply = submit_job(router, make_job(deadline_ms=1_000))
        # The job ran and its answer was lost; then the slot moved to another owner.
        deliver(router, messages.JobNotFound("1"), guards[0])
        deliver_refusal(router, guards[0], SLOT_MOVING, sequence=2)
        await asyncio.sleep(1.3)
        tick(router)
        assert (reply.result().status, reply.result().ran) == ("failed", "maybe")

    run(scenario())


def test_refusal_after_a_key_lookup_resolves_earlier_submissions(
    run, make_router, guards, make_job
):
    async def scenario():
        router = make_router()
        reply = submit_job(router, make_job())
        deliver(router, messages.JobNotFound("1"), guards[0])
        deliver_refusal(router, guards[0], CUSTOMER_LIMIT, sequence=2)
        assert (reply.result().status, reply.result().ran) == ("refused", "no")

    run(scenario())
