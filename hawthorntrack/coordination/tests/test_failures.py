"""Several guards together, under cuts, freezes, kills and outages of the table."""

import asyncio

import pytest

from hawthorntrack.coordination.tests.fakes import (
    ask,
    check,
    load,
    poll_seldom,
    starts_after_zone_out,
    stop,
    wait_for_answers,
)
from hawthorntrack.protocol import local, rows
from hawthorntrack.state.table import ABSENT

IN_FORCE_S = 7.0  # letter 1


@pytest.mark.parametrize("fault", ["kill", "freeze", "cut", "isolate"])
@pytest.mark.parametrize("table", ["up", "down", "lose_answers"])
def test_no_task_starts_twice_when_an_owner(run, cluster, make_job, fault, table):
    async def scene():
        made, router = await cluster()
        loading = asyncio.ensure_future(load(made, router, make_job))
        await asyncio.sleep(1)
        made.table.mode = table
        if fault == "kill":
            made.kill("g1")
        elif fault == "freeze":
            made.freeze("g1")
        elif fault == "cut":
            made.cuts = {frozenset(("g1", "g2")), frozenset(("g1", "g3"))}
        else:
            others = ("g0", "g2", "g3", "entry")
            made.cuts = {frozenset(("g1", other)) for other in others}
        await asyncio.sleep(6)
        made.table.mode = "up"
        made.cuts = set()
        if fault == "freeze":
            made.resume("g1")
        check(made, await wait_for_answers(await loading))
        complete = sum(name[2] == 0 for name, _, _ in made.starts)
        assert complete >= 15
        await stop(made)

    run(scene())


@pytest.mark.parametrize("seed", range(8))
def test_no_task_starts_twice_whatever_happens(run, cluster, make_job, seed):
    async def scene():
        made, router = await cluster(seed)
        made.loss, made.doubled, made.late = 0.02, 0.05, 0.05
        loading = asyncio.ensure_future(load(made, router, make_job, jobs=80))
        names = list(made.places)
        for _ in range(6):
            await asyncio.sleep(made.rng.uniform(0.5, 2.5))
            name = made.rng.choice(names)
            match made.rng.choice(["kill", "freeze", "cut", "down", "lose_answers"]):
                case "kill" if name in made.nodes:
                    made.kill(name)
                    await asyncio.sleep(made.rng.uniform(0.1, 3))
                    made.start_guard(name)
                case "freeze" if name in made.nodes:
                    made.freeze(name)
                    await asyncio.sleep(made.rng.uniform(0.5, 6))
                    made.resume(name)
                case "cut":
                    other = made.rng.choice(names)
                    made.cuts = {frozenset((name, other))}
                    await asyncio.sleep(made.rng.uniform(0.5, 6))
                    made.cuts = set()
                case mode:
                    made.table.mode = mode if mode in ("down", "lose_answers") else "up"
                    await asyncio.sleep(made.rng.uniform(0.5, 4))
                    made.table.mode = "up"
        made.loss = made.doubled = made.late = 0.0
        check(made, await wait_for_answers(await loading))
        await stop(made)

    run(scene())


def test_zone_that_is_out_starts_nothing_even_where_a_guard_was_frozen(
    run, cluster, make_job
):
    async def scene():
        made, router = await cluster()
        loading = asyncio.ensure_future(load(made, router, make_job, jobs=80))
        await asyncio.sleep(1)
        made.freeze("g0")
        key = rows.zones_key("production")
        await made.table.write(key, ABSENT, rows.encode_zones(["recife"]))
        out_at = asyncio.get_running_loop().time()
        await asyncio.sleep(5)
        made.resume("g0")
        check(made, await wait_for_answers(await loading))
        late = starts_after_zone_out(made, "recife", out_at)
        assert late == []
        await stop(made)

    run(scene())


def test_poll_that_was_out_during_a_freeze_makes_no_view_fresh(run, cluster):
    async def scene():
        made, _ = await cluster()
        control = made.control("g0")
        sent_at = control.now()
        await asyncio.sleep(5)
        view = control.view._replace(last_success_at=sent_at, last_failure_at=sent_at)
        control.publish(view)
        control.handle(local.PollCompleted("config", sent_at, 0, None))
        assert not control.view.is_fresh(control.now(), 2.5)
        await stop(made)

    run(scene())


def test_minute_without_the_table_stops_nothing(run, cluster, make_job):
    async def scene():
        made, router = await cluster()
        made.table.mode = "down"
        replies = await load(made, router, make_job, jobs=60, gap_s=1.0, again_s=())
        await wait_for_answers(replies)
        check(made, replies)
        answers = [reply.result().status for (reply,) in replies.values()]
        assert answers == ["complete"] * 60
        await stop(made)

    run(scene())


def test_document_is_in_force_everywhere_within_seconds_by_peers_alone(
    run, cluster, make_job
):
    async def scene():
        made, router = await cluster()
        for node in made.nodes.values():
            if node.info.incarnation.address != "g0":
                made.control(node.info.incarnation.address).poll = lambda subject: None
        key = rows.zones_key("production")
        await made.table.write(key, ABSENT, rows.encode_zones(["olinda"]))
        await load(made, router, make_job, jobs=5, gap_s=IN_FORCE_S / 5, again_s=())
        controls = [made.control(name) for name in made.nodes]
        told = [control.view.zones_out for control in controls]
        assert told == [frozenset({"olinda"})] * len(controls)
        await stop(made)

    run(scene())


def test_both_guards_of_a_slot_lost_and_started_anew(run, cluster, make_job):
    async def scene():
        made, router = await cluster()
        replies = await load(made, router, make_job, jobs=10, again_s=())
        row = router.owners.rows[0]
        for member in (row.owner, row.witness):
            made.kill(member.address)
        await asyncio.sleep(4)
        for member in (row.owner, row.witness):
            made.start_guard(member.address)
        await asyncio.sleep(8)
        assert router.owners.rows[0].formed
        assert router.owners.rows[0].reset_ms > 0
        again = {
            key: [ask(router, make_job(key, tasks=1 + n % 3, deadline_ms=6_000))]
            for n, key in enumerate(replies)
        }
        await wait_for_answers(again)
        assert made.double_starts() == []
        await stop(made)

    run(scene())


@pytest.mark.parametrize("deaf", [False, True])
def test_pair_that_an_operator_forgot_by_mistake_starts_nothing_twice(
    run, cluster, make_job, deaf
):
    async def scene():
        made, router = await cluster()
        loading = asyncio.ensure_future(load(made, router, make_job, jobs=80))
        await asyncio.sleep(1)
        row = router.owners.rows[0]
        for member in (row.owner, row.witness):
            if deaf:
                made.control(member.address).poll = lambda subject: None
            key = rows.guard_key("production", member.address)
            (found,) = (await made.table.read(key)).rows
            await made.table.write(key, found.version, None)
        check(made, await wait_for_answers(await loading))
        await stop(made)

    run(scene())


@pytest.mark.parametrize("frozen", [(), ("g0", "g1")])
def test_zone_out_is_in_force_where_polls_are_far_apart(run, cluster, make_job, frozen):
    async def scene():
        made, router = await cluster()
        await poll_seldom(made)
        loading = asyncio.ensure_future(
            load(made, router, make_job, jobs=120, gap_s=0.05, again_s=())
        )
        await asyncio.sleep(1)
        for name in frozen:
            made.freeze(name)
        key = rows.zones_key("production")
        await made.table.write(key, ABSENT, rows.encode_zones(["recife"]))
        out_at = asyncio.get_running_loop().time()
        await asyncio.sleep(5)
        for name in frozen:
            made.resume(name)
        check(made, await wait_for_answers(await loading))
        assert starts_after_zone_out(made, "recife", out_at) == []
        assert made.starts[-1][2] > out_at
        await stop(made)

    run(scene())
