"""Tests of a cluster with cut links, frozen and killed guards, and table outages."""

import asyncio

import pytest

from hawthorntrack.coordination.tests.fakes import (
    check_invariants,
    lengthen_poll_intervals,
    starts_after_zone_out,
    stop_all,
    submit_job,
    submit_load,
    wait_for_answers,
)
from hawthorntrack.protocol import local, rows
from hawthorntrack.state.table import ABSENT

# A configuration change must be in force in all processes within this time.
MAX_CONFIG_DELAY_S = 7.0


@pytest.mark.parametrize("fault", ["kill", "freeze", "cut", "isolate"])
@pytest.mark.parametrize("table", ["up", "down", "lose_answers"])
def test_no_task_starts_twice_when_an_owner_fails(
    run, start_cluster, make_job, fault, table
):
    async def scenario():
        cluster, router = await start_cluster()
        loading = asyncio.ensure_future(submit_load(cluster, router, make_job))
        await asyncio.sleep(1)
        cluster.table.mode = table
        if fault == "kill":
            cluster.kill("g1")
        elif fault == "freeze":
            cluster.freeze("g1")
        elif fault == "cut":
            cluster.cut_links = {frozenset(("g1", "g2")), frozenset(("g1", "g3"))}
        else:
            others = ("g0", "g2", "g3", "entry")
            cluster.cut_links = {frozenset(("g1", other)) for other in others}
        await asyncio.sleep(6)
        cluster.table.mode = "up"
        cluster.cut_links = set()
        if fault == "freeze":
            cluster.resume("g1")
        check_invariants(cluster, await wait_for_answers(await loading))
        complete = sum(name[2] == 0 for name, _, _ in cluster.starts)
        assert complete >= 15
        await stop_all(cluster)

    run(scenario())


@pytest.mark.parametrize("seed", range(8))
def test_no_task_starts_twice_under_random_faults(run, start_cluster, make_job, seed):
    async def scenario():
        cluster, router = await start_cluster(seed)
        cluster.loss_rate, cluster.duplicate_rate, cluster.delay_rate = 0.02, 0.05, 0.05
        loading = asyncio.ensure_future(submit_load(cluster, router, make_job, jobs=80))
        names = list(cluster.places)
        for _ in range(6):
            await asyncio.sleep(cluster.rng.uniform(0.5, 2.5))
            name = cluster.rng.choice(names)
            match cluster.rng.choice(["kill", "freeze", "cut", "down", "lose_answers"]):
                case "kill" if name in cluster.nodes:
                    cluster.kill(name)
                    await asyncio.sleep(cluster.rng.uniform(0.1, 3))
                    cluster.start_guard(name)
                case "freeze" if name in cluster.nodes:
                    cluster.freeze(name)
                    await asyncio.sleep(cluster.rng.uniform(0.5, 6))
                    cluster.resume(name)
                case "cut":
                    other = cluster.rng.choice(names)
                    cluster.cut_links = {frozenset((name, other))}
                    await asyncio.sleep(cluster.rng.uniform(0.5, 6))
                    cluster.cut_links = set()
                case mode:
                    cluster.table.mode = (
                        mode if mode in ("down", "lose_answers") else "up"
                    )
                    await asyncio.sleep(cluster.rng.uniform(0.5, 4))
                    cluster.table.mode = "up"
        cluster.loss_rate = cluster.duplicate_rate = cluster.delay_rate = 0.0
        check_invariants(cluster, await wait_for_answers(await loading))
        await stop_all(cluster)

    run(scenario())


def test_guard_frozen_during_zone_out_starts_nothing_in_the_zone(
    run, start_cluster, make_job
):
    async def scenario():
        cluster, router = await start_cluster()
        loading = asyncio.ensure_future(submit_load(cluster, router, make_job, jobs=80))
        await asyncio.sleep(1)
        cluster.freeze("g0")
        key = rows.zones_key("production")
        await cluster.table.write(key, ABSENT, rows.encode_zones(["recife"]))
        out_at = asyncio.get_running_loop().time()
        await asyncio.sleep(5)
        cluster.resume("g0")
        check_invariants(cluster, await wait_for_answers(await loading))
        late = starts_after_zone_out(cluster, "recife", out_at)
        assert late == []
        await stop_all(cluster)

    run(scenario())


def test_poll_that_fails_after_a_freeze_does_not_make_the_view_fresh(
    run, start_cluster
):
    async def scenario():
        cluster, _ = await start_cluster()
        poller = cluster.view_poller("g0")
        sent_at = poller.now()
        await asyncio.sleep(5)
        view = poller.view._replace(last_success_at=sent_at, last_failure_at=sent_at)
        poller.publish(view)
        poller.handle(local.PollCompleted("config", sent_at, 0, None))
        assert not poller.view.is_fresh(poller.now(), 2.5)
        await stop_all(cluster)

    run(scenario())


def test_all_jobs_complete_during_a_minute_without_the_table(
    run, start_cluster, make_job
):
    async def scenario():
        cluster, router = await start_cluster()
        cluster.table.mode = "down"
        replies = await submit_load(
            cluster, router, make_job, jobs=60, gap_s=1.0, resubmit_after_s=()
        )
        await wait_for_answers(replies)
        check_invariants(cluster, replies)
        answers = [reply.result().status for (reply,) in replies.values()]
        assert answers == ["complete"] * 60
        await stop_all(cluster)

    run(scenario())


def test_document_reaches_all_processes_in_time_through_peers_alone(
    run, start_cluster, make_job
):
    async def scenario():
        cluster, router = await start_cluster()
        for node in cluster.nodes.values():
            if node.info.incarnation.address != "g0":
                cluster.view_poller(node.info.incarnation.address).poll = (
                    lambda subject: None
                )
        key = rows.zones_key("production")
        await cluster.table.write(key, ABSENT, rows.encode_zones(["olinda"]))
        await submit_load(
            cluster,
            router,
            make_job,
            jobs=5,
            gap_s=MAX_CONFIG_DELAY_S / 5,
            resubmit_after_s=(),
        )
        pollers = [cluster.view_poller(name) for name in cluster.nodes]
        zones_out = [poller.view.zones_out for poller in pollers]
        assert zones_out == [frozenset({"olinda"})] * len(pollers)
        await stop_all(cluster)

    run(scenario())


def test_slot_is_reset_and_no_task_starts_twice_after_both_guards_restart(
    run, start_cluster, make_job
):
    async def scenario():
        cluster, router = await start_cluster()
        replies = await submit_load(
            cluster, router, make_job, jobs=10, resubmit_after_s=()
        )
        row = router.owners.rows[0]
        for member in (row.owner, row.witness):
            cluster.kill(member.address)
        await asyncio.sleep(4)
        for member in (row.owner, row.witness):
            cluster.start_guard(member.address)
        await asyncio.sleep(8)
        assert router.owners.rows[0].formed
        assert router.owners.rows[0].reset_ms > 0
        repeated = {
            key: [submit_job(router, make_job(key, tasks=1 + n % 3, deadline_ms=6_000))]
            for n, key in enumerate(replies)
        }
        await wait_for_answers(repeated)
        assert cluster.double_starts() == []
        await stop_all(cluster)

    run(scenario())


@pytest.mark.parametrize("polls_stopped", [False, True])
def test_no_task_starts_twice_when_a_pair_in_service_is_deregistered(
    run, start_cluster, make_job, polls_stopped
):
    async def scenario():
        cluster, router = await start_cluster()
        loading = asyncio.ensure_future(submit_load(cluster, router, make_job, jobs=80))
        await asyncio.sleep(1)
        row = router.owners.rows[0]
        for member in (row.owner, row.witness):
            if polls_stopped:
                cluster.view_poller(member.address).poll = lambda subject: None
            key = rows.guard_key("production", member.address)
            (found,) = (await cluster.table.read(key)).rows
            await cluster.table.write(key, found.version, None)
        check_invariants(cluster, await wait_for_answers(await loading))
        await stop_all(cluster)

    run(scenario())


@pytest.mark.parametrize("frozen", [(), ("g0", "g1")])
def test_zone_out_takes_effect_in_time_with_long_poll_intervals(
    run, start_cluster, make_job, frozen
):
    async def scenario():
        cluster, router = await start_cluster()
        await lengthen_poll_intervals(cluster)
        loading = asyncio.ensure_future(
            submit_load(
                cluster, router, make_job, jobs=120, gap_s=0.05, resubmit_after_s=()
            )
        )
        await asyncio.sleep(1)
        for name in frozen:
            cluster.freeze(name)
        key = rows.zones_key("production")
        await cluster.table.write(key, ABSENT, rows.encode_zones(["recife"]))
        out_at = asyncio.get_running_loop().time()
        await asyncio.sleep(5)
        for name in frozen:
            cluster.resume(name)
        check_invariants(cluster, await wait_for_answers(await loading))
        assert starts_after_zone_out(cluster, "recife", out_at) == []
        assert cluster.starts[-1][2] > out_at
        await stop_all(cluster)

    run(scenario())
