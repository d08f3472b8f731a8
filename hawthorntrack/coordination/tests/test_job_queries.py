"""Questions about jobs are asked until they are answered, and never say "no"."""

import asyncio

import pytest

from hawthorntrack.coordination.job_queries import JobQueryClient
from hawthorntrack.coordination.tests.conftest import deliver, show_view, slot_row, tick
from hawthorntrack.protocol import local, messages
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.outcomes import SLOT_MOVING, unknown
from hawthorntrack.state.values import Answer

DONE = Answer("complete", "", "yes", "", ())


@pytest.fixture
def questioner(settings, wire, view, guards):
    """Return a function that makes a questioner; guard 0 owns every slot."""

    def make(owners=True):
        made = JobQueryClient(settings, wire.send, Mailbox("drained"))
        slots = (
            {n: slot_row(guards[0], guards[1], 2) for n in range(4)} if owners else {}
        )
        show_view(made, view._replace(slots=slots))
        return made

    return make


def question(made, job, cancel=False):
    """Have a caller ask after a job; return the future of its answer."""
    reply = asyncio.get_running_loop().create_future()
    deliver(made, local.QueryJob(job.service, job.key, cancel, reply))
    return reply


@pytest.mark.parametrize("cancel", [False, True])
def test_question_during_a_move_is_asked_again_at_the_new_owner(
    run, questioner, wire, guards, make_job, cancel
):
    async def scene():
        made = questioner()
        reply = question(made, make_job(), cancel)
        hint = slot_row(guards[1], guards[2], 4, 2)
        asked = wire.sent.pop()[1]
        deliver(
            made,
            messages.Answered(asked.request, unknown(SLOT_MOVING), hint),
            guards[0],
        )
        await asyncio.sleep(0.1)
        tick(made)
        to, again = wire.sent.pop()
        assert to == guards[1]
        deliver(made, messages.Answered(again.request, DONE), guards[1])
        assert reply.result() == DONE

    run(scene())


@pytest.mark.parametrize("owners", [False, True])
def test_question_that_nobody_answers_says_maybe(run, questioner, make_job, owners):
    async def scene():
        made = questioner(owners)
        reply = question(made, make_job())
        assert not reply.done()
        for _ in range(30):
            await asyncio.sleep(0.1)
            tick(made)
        assert (reply.result().status, reply.result().ran) == ("unknown", "maybe")

    run(scene())
