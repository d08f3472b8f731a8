"""Tests that a guard starts a task at most once and never after refusing it."""

import asyncio

import pytest

from hawthorntrack.coordination.executor import Executor
from hawthorntrack.coordination.tests.conftest import deliver, posted, show_view, tick
from hawthorntrack.protocol import local, messages
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.values import TaskSpec


@pytest.fixture
def announcement(places):
    return {
        "service": "visits",
        "address": "127.0.0.1:9",
        "kinds": ["confirm"],
        "slots": 2,
        "connections": 4,
        **places[0]._asdict(),
    }


@pytest.fixture
def make_executor(infos, settings, wire, view, announcement):
    """Return a function that creates an executor whose target has two slots."""

    def make():
        executor = Executor(
            infos[0], settings, wire.send, Mailbox("beats"), Mailbox("d")
        )
        executor.client = Mailbox("client")
        show_view(executor, view)
        announce(executor, announcement)
        return executor

    return make


def announce(executor, body):
    """Announce a target; return the refusal, or None if it is accepted."""
    reply = asyncio.get_running_loop().create_future()
    deliver(executor, local.AnnounceTarget(body, reply))
    return reply.result()


def order_start(
    owner,
    executor,
    indices,
    attempt=1,
    permit="",
    key="k",
    remaining_ms=4_000,
    slack_ms=0,
):
    """Deliver a start order from an owner."""
    spec = TaskSpec("confirm", b"null", 100)
    tasks = tuple(
        messages.StartTask(i, attempt, spec, slack_ms, permit) for i in indices
    )
    deliver(
        executor, messages.StartTasks("1", "visits", key, remaining_ms, tasks), owner
    )


def answer(executor, index, ok=True, target_fault=False, key="k"):
    """Deliver the target's answer to a task."""
    name = ("visits", key, index)
    deliver(executor, local.TargetAnswered(name, ok, b"1", 100.0, target_fault))


def take_started(executor):
    """Return and drop the indices of the tasks that were started on the target."""
    return [task.index for task in posted(executor.client, local.RunTask)]


def test_repeated_start_order_runs_nothing_again_and_resends_the_result(
    run, make_executor, wire, guards
):
    async def scene():
        executor = make_executor()
        order_start(guards[1], executor, [0])
        order_start(guards[1], executor, [0])
        assert take_started(executor) == [0]
        answer(executor, 0)
        order_start(guards[1], executor, [0])
        order_start(guards[2], executor, [0], attempt=2)
        assert take_started(executor) == []
        assert len(wire.take(messages.TasksDone)) == 3

    run(scene())


def test_start_order_that_arrives_after_a_probe_for_it_is_refused(
    run, make_executor, wire, guards
):
    async def scene():
        executor = make_executor()
        deliver(
            executor,
            messages.ProbeTasks("1", "visits", "k", ((0, 1),), False),
            guards[1],
        )
        assert wire.take(messages.TasksNotRun)[0].reason == "never_arrived"
        order_start(guards[1], executor, [0], attempt=1)
        assert take_started(executor) == []
        assert wire.take(messages.TasksNotRun)[0].reason == "dropped"
        order_start(guards[1], executor, [0], attempt=2)
        assert take_started(executor) == [0]

    run(scene())


def test_queue_is_bounded_and_refused_when_the_zone_goes_out_of_service(
    run, make_executor, wire, guards, view, document
):
    async def scene():
        executor = make_executor()
        documents = {"visits": document._replace(guard_queue=3)}
        show_view(executor, view._replace(documents=documents))
        order_start(guards[1], executor, range(6))
        assert take_started(executor) == [0, 1]
        refused = wire.take(messages.TasksNotRun)
        assert (refused[0].reason, refused[0].tasks) == ("queue_full", ((5, 1),))
        show_view(executor, view._replace(zones_out=frozenset({"recife"})))
        assert {m.reason for m in wire.take(messages.TasksNotRun)} == {"zone_out"}
        answer(executor, 0)
        order_start(guards[1], executor, [7])
        assert take_started(executor) == []
        assert wire.take(messages.TasksDone)

    run(scene())


def test_guard_that_was_suspended_starts_nothing_on_a_stale_view(
    run, make_executor, wire, guards, view
):
    async def scene():
        executor = make_executor()
        await asyncio.sleep(10)
        order_start(guards[1], executor, [0])
        assert wire.take(messages.TasksNotRun)[0].reason == "stale_view"
        show_view(executor, view)

    run(scene())


@pytest.mark.parametrize(
    ("change", "reason"),
    [({"leaving": True}, "target_leaving"), ({"kinds": ["check"]}, "wrong_kind")],
)
def test_leaving_target_or_target_of_another_kind_gets_no_task(
    run, make_executor, wire, guards, announcement, change, reason
):
    async def scene():
        executor = make_executor()
        announce(executor, {**announcement, **change})
        order_start(guards[1], executor, [0])
        assert wire.take(messages.TasksNotRun)[0].reason == reason

    run(scene())


def test_silent_target_gets_no_task(run, make_executor, wire, guards, view):
    async def scene():
        executor = make_executor()
        await asyncio.sleep(4)
        show_view(executor, view)
        order_start(guards[1], executor, [0])
        assert wire.take(messages.TasksNotRun)[0].reason == "no_target"

    run(scene())


def test_second_target_is_refused_while_the_first_is_present(
    run, make_executor, announcement
):
    async def scene():
        executor = make_executor()
        other = {**announcement, "address": "127.0.0.1:10"}
        assert "stop it first" in announce(executor, other)
        await asyncio.sleep(4)
        assert announce(executor, other) is None

    run(scene())


def test_target_that_fails_all_tasks_is_ejected_and_then_probed(
    run, make_executor, wire, guards
):
    async def scene():
        executor = make_executor()
        for key in ("a", "b", "c"):
            order_start(guards[1], executor, [0], key=key)
            answer(executor, 0, ok=False, target_fault=True, key=key)
        order_start(guards[1], executor, [0], key="d")
        assert wire.take(messages.TasksNotRun)[0].reason == "target_ejected"
        await asyncio.sleep(1.1)
        order_start(guards[1], executor, [1, 2], key="e")
        assert take_started(executor)[-1:] == [1]

    run(scene())


def test_permits_reserve_slots_and_expire(run, make_executor, wire, guards, view):
    async def scene():
        executor = make_executor()
        deliver(executor, messages.Reserve("visits", 3, 1_000), guards[1])
        permits = wire.take(messages.Grant)[0].permits
        assert len(permits) == 2
        order_start(guards[1], executor, [0], permit=permits[0])
        assert take_started(executor) == [0]
        await asyncio.sleep(0.3)
        tick(executor)
        order_start(guards[1], executor, [1], permit=permits[1])
        assert wire.take(messages.TasksNotRun)[0].reason == "permit_expired"

    run(scene())


def test_drain_finishes_running_tasks_and_starts_no_others(
    run, make_executor, wire, guards
):
    async def scene():
        executor = make_executor()
        order_start(guards[1], executor, [0, 1, 2])
        deliver(executor, local.Drain())
        assert wire.take(messages.TasksNotRun)[0].reason == "draining"
        tick(executor)
        assert not posted(executor.drained, local.DrainCompleted)
        answer(executor, 0)
        answer(executor, 1)
        assert len(wire.take(messages.TasksDone)) == 2
        tick(executor)
        assert posted(executor.drained, local.DrainCompleted)

    run(scene())


def test_cancellation_stops_running_tasks_and_empties_the_queue(
    run, make_executor, wire, guards
):
    async def scene():
        executor = make_executor()
        order_start(guards[1], executor, [0, 1, 2])
        dropped = tuple((index, 1) for index in range(3))
        deliver(
            executor, messages.ProbeTasks("1", "visits", "k", dropped, True), guards[1]
        )
        stopped = posted(executor.client, local.StopTask)
        assert sorted(stop.name[2] for stop in stopped) == [0, 1]
        assert not executor.queue

    run(scene())


def test_task_past_its_deadline_is_not_started(run, make_executor, wire, guards, view):
    async def scene():
        executor = make_executor()
        order_start(guards[1], executor, [0, 1, 2], remaining_ms=500)
        await asyncio.sleep(1)
        show_view(executor, view)
        tick(executor)
        assert wire.take(messages.TasksNotRun)[0].reason == "too_late"

    run(scene())


def test_queued_task_that_must_start_soonest_goes_first(run, make_executor, guards):
    async def scene():
        executor = make_executor()
        slots = executor.target.body["slots"]
        order_start(guards[0], executor, range(slots))
        order_start(guards[0], executor, [0], key="patient", slack_ms=500)
        order_start(guards[1], executor, [7], key="urgent", slack_ms=-10)
        assert len(take_started(executor)) == slots
        answer(executor, 0)
        assert take_started(executor) == [7]

    run(scene())
