"""Tests that job queries are repeated until answered, and are never answered "no"."""

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
def make_client(settings, wire, view, guards):
    """Return a function that makes a query client; guard 0 may own all slots."""

    def make(has_owners=True):
        client = JobQueryClient(settings, wire.send, Mailbox("drained"))
        slots = (
            {n: slot_row(guards[0], guards[1], 2) for n in range(4)}
            if has_owners
            else {}
        )
        show_view(client, view._replace(slots=slots))
        return client

    return make


def post_query(client, job, cancel=False):
    """Query or cancel a job as a caller does; return the future of the answer."""
    reply = asyncio.get_running_loop().create_future()
    deliver(client, local.QueryJob(job.service, job.key, cancel, reply))
    return reply


@pytest.mark.parametrize("cancel", [False, True])
def test_query_during_a_move_is_repeated_at_the_new_owner(
    run, make_client, wire, guards, make_job, cancel
):
    async def scenario():
        client = make_client()
        reply = post_query(client, make_job(), cancel)
        new_row = slot_row(guards[1], guards[2], 4, 2)
        first = wire.sent.pop()[1]
        deliver(
            client,
            messages.Answered(first.request, unknown(SLOT_MOVING), new_row),
            guards[0],
        )
        await asyncio.sleep(0.1)
        tick(client)
        to, second = wire.sent.pop()
        assert to == guards[1]
        deliver(client, messages.Answered(second.request, DONE), guards[1])
        assert reply.result() == DONE

    run(scenario())


@pytest.mark.parametrize("has_owners", [False, True])
def test_query_without_an_answer_ends_as_maybe(run, make_client, make_job, has_owners):
    async def scenario():
        client = make_client(has_owners)
        reply = post_query(client, make_job())
        assert not reply.done()
        for _ in range(30):
            await asyncio.sleep(0.1)
            tick(client)
        assert (reply.result().status, reply.result().ran) == ("unknown", "maybe")

    run(scenario())
