"""Each mechanism is needed: without it, the scene that it is meant for breaks."""

import asyncio
import itertools
import random

import pytest

from hawthorntrack.coordination.control_view import ControlViewPoller
from hawthorntrack.coordination.executor import Executor
from hawthorntrack.coordination.router import Router
from hawthorntrack.coordination.runner import JobRunner
from hawthorntrack.coordination.slot_manager import SlotManager
from hawthorntrack.coordination.slot_replication import SlotReplication
from hawthorntrack.coordination.tests.fakes import (
    Cluster,
    check,
    load,
    poll_seldom,
    starts_after_zone_out,
    stop,
    wait_for_answers,
)
from hawthorntrack.experiment.layout import deployments, document_body
from hawthorntrack.protocol import messages, rows
from hawthorntrack.state.control_view import ControlView
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.registry import Registry
from hawthorntrack.state.started_tasks import StartRecords
from hawthorntrack.state.table import ABSENT
from hawthorntrack.state.values import Answer

removals = Registry("removed mechanism")


@removals.register("witness")
def admit_without_witness(patch):
    """Admit keys at once, without a note."""
    patch.setattr(
        SlotReplication,
        "replicate_key",
        lambda self, slot, token, key: self.admit_replicated(slot, (token,)),
    )


@removals.register("start memory")
def forget_starts(patch):
    """Start whatever a start message says."""
    patch.setattr(Executor, "resend_result", lambda self, name: False)


@removals.register("promise not to start")
def forget_promises(patch):
    """Forget what was promised never to start."""
    patch.setattr(
        StartRecords, "is_attempt_forbidden", lambda self, name, attempt: False
    )


@removals.register("freshness")
def trust_any_view(patch):
    """Act on a view however old it is."""
    patch.setattr(ControlView, "is_fresh", lambda self, now, freshness_s: True)


@removals.register("whole answers")
def end_on_the_first_result(patch):
    """Answer a job as soon as one of its tasks has a result."""
    take = JobRunner.record_result

    def take_and_end(self, job, guard, result):
        take(self, job, guard, result)
        found = tuple(task.result for task in job.tasks if task.result)
        self.end_job(job, Answer("complete", "", "yes", "", found))
        job.unfinished = -1

    patch.setattr(JobRunner, "record_result", take_and_end)


@removals.register("own answers")
def answer_the_oldest(patch):
    """Give an answer to whichever caller waits longest."""
    finish = Router.finish

    def finish_oldest(self, request, answer):
        finish(self, next(iter(self.requests.values())), answer)

    patch.setattr(Router, "finish", finish_oldest)


@removals.register("numbered submissions")
def let_any_submission_in(patch):
    """Let a submission in that was refused before."""
    patch.setattr(
        SlotManager, "is_stale_submission", lambda self, entry, sequence: False
    )


@removals.register("drain")
def stop_at_once(patch):
    """End a guard without draining it."""

    async def leave(self, name):
        self.kill(name)

    patch.setattr(Cluster, "leave", leave)


@removals.register("passed answers")
def keep_answers_to_itself(patch):
    """Hand slots on without the answers of their jobs."""
    patch.setattr(SlotManager, "send_answers", lambda self, slot, found: None)


@removals.register("told by peers")
def tell_no_peer(patch):
    """Leave peers that ask for newer configuration without an answer."""
    patch.setitem(
        ControlViewPoller.handlers, messages.RequestConfig, lambda *asked: None
    )


@removals.register("kept fresh by peers")
def ask_the_table_only(patch):
    """Leave it to the own polls to confirm a view."""
    patch.setattr(ControlViewPoller, "request_config_from_peers", lambda self: None)


@removals.register("sure messages")
def put_as_posted(patch):
    """Let a full mailbox drop a message that carries on with something taken in."""
    patch.setattr(Mailbox, "put", lambda self, message: self.post(message))


async def plain_load(made, router, make_job):
    """Jobs overlap, nothing fails."""
    check(made, await wait_for_answers(await load(made, router, make_job, gap_s=0.03)))


async def doubled_after_a_refusal(made, router, make_job):
    """A customer is over its quota while messages come twice and late."""
    body = document_body(deployments["jardim"])
    body["customers"]["jardim"]["max_tasks"] = 8
    key = rows.document_key("production", "visits")
    (row,) = (await made.table.read(key)).rows
    await made.table.write(key, row.version, rows.encode_document(2, body))
    await asyncio.sleep(3)
    made.doubled = 0.5
    loading = load(made, router, make_job, jobs=60, gap_s=0.01, again_s=())
    check(made, await wait_for_answers(await loading))


async def mailboxes_full_at_times(made, router, make_job):
    """Every mailbox drops one of ten messages that are posted to it."""
    rng = random.Random(5)
    nodes = made.nodes.values()
    actors = [actor for node in nodes for actor in node.actors]
    for actor in actors:
        whole = actor.mailbox.post
        actor.mailbox.post = lambda m, whole=whole: rng.random() > 0.1 and whole(m)
    check(made, await wait_for_answers(await load(made, router, make_job)))
    assert [actor.jobs for actor in actors if getattr(actor, "jobs", None)] == []


async def guards_leave_in_turn(made, router, make_job):
    """Two guards stop as planned, and callers submit again meanwhile."""
    loading = asyncio.ensure_future(load(made, router, make_job, jobs=120))
    for name in ("g1", "g2"):
        await made.leave(name)
        made.start_guard(name)
        await asyncio.sleep(2)
    replies = await wait_for_answers(await loading)
    check(made, replies)
    answers = itertools.chain.from_iterable(replies.values())
    assert {reply.result().status for reply in answers} == {"complete"}


async def guard_leaves(made, router, make_job):
    """A guard with running tasks stops as planned."""
    loading = asyncio.ensure_future(
        load(made, router, make_job, jobs=60, gap_s=0.03, again_s=())
    )
    await asyncio.sleep(1)
    await made.leave("g1")
    replies = await wait_for_answers(await loading)
    assert {reply.result().status for (reply,) in replies.values()} == {"complete"}


async def zone_out_seen_by_one(made, router, make_job):
    """One guard alone reads the table's news."""
    for name in made.nodes:
        if name != "g0":
            made.control(name).poll = lambda subject: None
    key = rows.zones_key("production")
    await made.table.write(key, ABSENT, rows.encode_zones(["olinda"]))
    await load(made, router, make_job, jobs=5, gap_s=1.0, again_s=())
    told = [made.control(name).view.zones_out for name in made.nodes]
    assert told == [frozenset({"olinda"})] * len(told)


async def polls_far_apart(made, router, make_job):
    """Each process asks the table at times that lie further apart than views last."""
    await poll_seldom(made)
    loading = asyncio.ensure_future(
        load(made, router, make_job, jobs=100, gap_s=0.1, again_s=())
    )
    begun = made.table.reads
    for _ in range(100):
        await asyncio.sleep(0.1)
        controls = [made.control(name) for name in made.nodes]
        assert all(c.view.is_fresh(c.now(), 2.5) for c in controls)
    assert made.table.reads - begun <= 3 * 6 * len(made.nodes)
    replies = await wait_for_answers(await loading)
    check(made, replies)
    assert {reply.result().status for (reply,) in replies.values()} == {"complete"}


async def owner_killed(made, router, make_job):
    """An owner dies, and its callers submit again."""
    loading = asyncio.ensure_future(load(made, router, make_job, again_s=(2.5, 4.0)))
    await asyncio.sleep(1.5)
    made.kill("g1")
    made.kill("g2")
    check(made, await wait_for_answers(await loading))


async def messages_doubled_and_late(made, router, make_job):
    """Messages come twice, or seconds late."""
    made.doubled = made.late = 0.3
    loading = load(made, router, make_job, jobs=60)
    check(made, await wait_for_answers(await loading))


async def zone_out_while_frozen(made, router, make_job):
    """A zone is taken out while guards there are frozen with work on its way.

    Their targets count as present for longer than the freeze: otherwise that alone
    would keep the guards from starting anything.
    """
    patient = made.settings.timing._replace(target_ttl_s=30.0)
    for name in ("g0", "g1"):
        for actor in made.nodes[name].actors:
            actor.settings = made.settings._replace(
                place=made.places[name], timing=patient
            )
    loading = asyncio.ensure_future(
        load(made, router, make_job, jobs=250, gap_s=0.012, again_s=())
    )
    await asyncio.sleep(1)
    made.freeze("g0")
    made.freeze("g1")
    await asyncio.sleep(0.5)
    key = rows.zones_key("production")
    await made.table.write(key, ABSENT, rows.encode_zones(["recife"]))
    out_at = asyncio.get_running_loop().time()
    await asyncio.sleep(5)
    made.resume("g0")
    made.resume("g1")
    await wait_for_answers(await loading)
    assert starts_after_zone_out(made, "recife", out_at) == []


SCENES = {
    "witness": owner_killed,
    "start memory": messages_doubled_and_late,
    "promise not to start": messages_doubled_and_late,
    "freshness": zone_out_while_frozen,
    "whole answers": plain_load,
    "own answers": plain_load,
    "numbered submissions": doubled_after_a_refusal,
    "drain": guard_leaves,
    "passed answers": guards_leave_in_turn,
    "sure messages": mailboxes_full_at_times,
    "told by peers": zone_out_seen_by_one,
    "kept fresh by peers": polls_far_apart,
}


@pytest.mark.parametrize("name", sorted(SCENES))
def test_scene_breaks_without_and_holds_with(run, cluster, make_job, monkeypatch, name):
    async def scene():
        made, router = await cluster(seed=3)
        try:
            await SCENES[name](made, router, make_job)
        finally:
            await stop(made)

    run(scene())
    removals[name](monkeypatch)
    with pytest.raises(AssertionError):
        run(scene())
