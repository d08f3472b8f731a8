"""Tests that each safety mechanism is necessary.

A scenario must pass with the mechanism it is meant for, and fail when that mechanism is
removed.
"""

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
    check_invariants,
    lengthen_poll_intervals,
    starts_after_zone_out,
    stop_all,
    submit_load,
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
    """Admit keys at once, without replicating them."""
    patch.setattr(
        SlotReplication,
        "replicate_key",
        lambda self, slot, token, key: self.admit_replicated(slot, (token,)),
    )


@removals.register("start memory")
def forget_starts(patch):
    """Start each task of every start message, even if it was started before."""
    patch.setattr(Executor, "resend_result", lambda self, name: False)


@removals.register("promise not to start")
def forget_promises(patch):
    """Forget which attempts were promised never to start."""
    patch.setattr(
        StartRecords, "is_attempt_forbidden", lambda self, name, attempt: False
    )


@removals.register("freshness")
def trust_any_view(patch):
    """Act on a view of any age."""
    patch.setattr(ControlView, "is_fresh", lambda self, now, freshness_s: True)


@removals.register("whole answers")
def end_on_the_first_result(patch):
    """Answer a job as soon as one of its tasks has a result."""
    record = JobRunner.record_result

    def record_and_end(self, job, guard, result):
        record(self, job, guard, result)
        results = tuple(task.result for task in job.tasks if task.result)
        self.end_job(job, Answer("complete", "", "yes", "", results))
        job.unfinished = -1

    patch.setattr(JobRunner, "record_result", record_and_end)


@removals.register("own answers")
def answer_oldest_request(patch):
    """Return each answer to the request that has waited longest."""
    finish = Router.finish

    def finish_oldest(self, request, answer):
        finish(self, next(iter(self.requests.values())), answer)

    patch.setattr(Router, "finish", finish_oldest)


@removals.register("numbered submissions")
def accept_stale_submissions(patch):
    """Accept a submission even if it or a later one was seen before."""
    patch.setattr(
        SlotManager, "is_stale_submission", lambda self, entry, sequence: False
    )


@removals.register("drain")
def stop_without_draining(patch):
    """Stop a guard without draining it."""

    async def stop_at_once(self, name):
        self.kill(name)

    patch.setattr(Cluster, "drain_and_stop", stop_at_once)


@removals.register("passed answers")
def withhold_answers(patch):
    """Hand over slots without the answers of their jobs."""
    patch.setattr(SlotManager, "send_answers", lambda self, slot, answers: None)


@removals.register("told by peers")
def ignore_config_requests(patch):
    """Ignore requests of peers for newer configuration."""
    patch.setitem(
        ControlViewPoller.handlers, messages.RequestConfig, lambda *request: None
    )


@removals.register("kept fresh by peers")
def confirm_views_by_polls_only(patch):
    """Confirm a view by the process's own polls only, not by peers."""
    patch.setattr(ControlViewPoller, "request_config_from_peers", lambda self: None)


@removals.register("sure messages")
def drop_puts_when_full(patch):
    """Let a full mailbox drop also the messages for work that was accepted before."""
    patch.setattr(Mailbox, "put", lambda self, message: self.post(message))


async def plain_load(cluster, router, make_job):
    """Submit overlapping jobs without any fault."""
    check_invariants(
        cluster,
        await wait_for_answers(
            await submit_load(cluster, router, make_job, gap_s=0.03)
        ),
    )


async def submissions_duplicated_after_refusal(cluster, router, make_job):
    """Duplicate messages while jobs are refused because of a customer's limit."""
    body = document_body(deployments["jardim"])
    body["customers"]["jardim"]["max_tasks"] = 8
    key = rows.document_key("production", "visits")
    (row,) = (await cluster.table.read(key)).rows
    await cluster.table.write(key, row.version, rows.encode_document(2, body))
    await asyncio.sleep(3)
    cluster.duplicate_rate = 0.5
    loading = submit_load(
        cluster, router, make_job, jobs=60, gap_s=0.01, resubmit_after_s=()
    )
    check_invariants(cluster, await wait_for_answers(await loading))


async def mailboxes_full_at_times(cluster, router, make_job):
    """Let every mailbox drop one of ten messages that are posted to it."""
    rng = random.Random(5)
    nodes = cluster.nodes.values()
    actors = [actor for node in nodes for actor in node.actors]
    for actor in actors:
        post = actor.mailbox.post
        actor.mailbox.post = lambda m, post=post: rng.random() > 0.1 and post(m)
    check_invariants(
        cluster, await wait_for_answers(await submit_load(cluster, router, make_job))
    )
    assert [actor.jobs for actor in actors if getattr(actor, "jobs", None)] == []


async def guards_drained_in_turn(cluster, router, make_job):
    """Drain and restart two guards in turn, while callers submit jobs again."""
    loading = asyncio.ensure_future(submit_load(cluster, router, make_job, jobs=120))
    for name in ("g1", "g2"):
        await cluster.drain_and_stop(name)
        cluster.start_guard(name)
        await asyncio.sleep(2)
    replies = await wait_for_answers(await loading)
    check_invariants(cluster, replies)
    answers = itertools.chain.from_iterable(replies.values())
    assert {reply.result().status for reply in answers} == {"complete"}


async def guard_drained(cluster, router, make_job):
    """Drain and stop a guard with running tasks."""
    loading = asyncio.ensure_future(
        submit_load(cluster, router, make_job, jobs=60, gap_s=0.03, resubmit_after_s=())
    )
    await asyncio.sleep(1)
    await cluster.drain_and_stop("g1")
    replies = await wait_for_answers(await loading)
    assert {reply.result().status for (reply,) in replies.values()} == {"complete"}


async def zone_out_polled_by_one_guard(cluster, router, make_job):
    """Take a zone out of service while one guard alone polls the table."""
    for name in cluster.nodes:
        if name != "g0":
            cluster.view_poller(name).poll = lambda subject: None
    key = rows.zones_key("production")
    await cluster.table.write(key, ABSENT, rows.encode_zones(["olinda"]))
    await submit_load(cluster, router, make_job, jobs=5, gap_s=1.0, resubmit_after_s=())
    zones_out = [cluster.view_poller(name).view.zones_out for name in cluster.nodes]
    assert zones_out == [frozenset({"olinda"})] * len(zones_out)


async def polls_rarer_than_freshness_bound(cluster, router, make_job):
    """Let each process poll at intervals longer than a view stays fresh."""
    await lengthen_poll_intervals(cluster)
    loading = asyncio.ensure_future(
        submit_load(cluster, router, make_job, jobs=100, gap_s=0.1, resubmit_after_s=())
    )
    reads_before = cluster.table.reads
    for _ in range(100):
        await asyncio.sleep(0.1)
        pollers = [cluster.view_poller(name) for name in cluster.nodes]
        assert all(poller.view.is_fresh(poller.now(), 2.5) for poller in pollers)
    assert cluster.table.reads - reads_before <= 3 * 6 * len(cluster.nodes)
    replies = await wait_for_answers(await loading)
    check_invariants(cluster, replies)
    assert {reply.result().status for (reply,) in replies.values()} == {"complete"}


async def owner_killed(cluster, router, make_job):
    """Kill two guards, so that slots lose their owners; callers submit jobs again."""
    loading = asyncio.ensure_future(
        submit_load(cluster, router, make_job, resubmit_after_s=(2.5, 4.0))
    )
    await asyncio.sleep(1.5)
    cluster.kill("g1")
    cluster.kill("g2")
    check_invariants(cluster, await wait_for_answers(await loading))


async def messages_duplicated_and_delayed(cluster, router, make_job):
    """Duplicate messages, and delay them by up to several seconds."""
    cluster.duplicate_rate = cluster.delay_rate = 0.3
    loading = submit_load(cluster, router, make_job, jobs=60)
    check_invariants(cluster, await wait_for_answers(await loading))


async def zone_out_while_frozen(cluster, router, make_job):
    """Take a zone out of service while its guards are frozen with work under way.

    The targets' announcements stay valid for longer than the freeze. Otherwise their
    expiry alone would keep the guards from starting anything.
    """
    long_ttl = cluster.settings.timing._replace(target_ttl_s=30.0)
    for name in ("g0", "g1"):
        for actor in cluster.nodes[name].actors:
            actor.settings = cluster.settings._replace(
                place=cluster.places[name], timing=long_ttl
            )
    loading = asyncio.ensure_future(
        submit_load(
            cluster, router, make_job, jobs=250, gap_s=0.012, resubmit_after_s=()
        )
    )
    await asyncio.sleep(1)
    cluster.freeze("g0")
    cluster.freeze("g1")
    await asyncio.sleep(0.5)
    key = rows.zones_key("production")
    await cluster.table.write(key, ABSENT, rows.encode_zones(["recife"]))
    out_at = asyncio.get_running_loop().time()
    await asyncio.sleep(5)
    cluster.resume("g0")
    cluster.resume("g1")
    await wait_for_answers(await loading)
    assert starts_after_zone_out(cluster, "recife", out_at) == []


SCENARIOS = {
    "witness": owner_killed,
    "start memory": messages_duplicated_and_delayed,
    "promise not to start": messages_duplicated_and_delayed,
    "freshness": zone_out_while_frozen,
    "whole answers": plain_load,
    "own answers": plain_load,
    "numbered submissions": submissions_duplicated_after_refusal,
    "drain": guard_drained,
    "passed answers": guards_drained_in_turn,
    "sure messages": mailboxes_full_at_times,
    "told by peers": zone_out_polled_by_one_guard,
    "kept fresh by peers": polls_rarer_than_freshness_bound,
}


@pytest.mark.parametrize("name", sorted(SCENARIOS))
def test_scenario_passes_with_and_fails_without_the_mechanism(
    run, start_cluster, make_job, monkeypatch, name
):
    async def scenario():
        cluster, router = await start_cluster(seed=3)
        try:
            await SCENARIOS[name](cluster, router, make_job)
        finally:
            await stop_all(cluster)

    run(scenario())
    removals[name](monkeypatch)
    with pytest.raises(AssertionError):
        run(scenario())
