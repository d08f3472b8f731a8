"""A guard starts each task once, and what it sends back it never starts."""

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
def executor(infos, settings, wire, view, announcement):
    """Return a function that makes an executor with a target of two slots."""

    def make():
        made = Executor(infos[0], settings, wire.send, Mailbox("beats"), Mailbox("d"))
        made.client = Mailbox("client")
        show_view(made, view)
        announce(made, announcement)
        return made

    return make


def announce(executor, body):
    """Announce a target; return the refusal or None."""
    reply = asyncio.get_running_loop().create_future()
    deliver(executor, local.AnnounceTarget(body, reply))
    return reply.result()


def start(
    owner,
    executor,
    indices,
    attempt=1,
    permit="",
    key="k",
    remaining_ms=4_000,
    slack_ms=0,
):
    """Have an owner send a start message."""
    spec = TaskSpec("confirm", b"null", 100)
    tasks = tuple(
        messages.StartTask(i, attempt, spec, slack_ms, permit) for i in indices
    )
    deliver(
        executor, messages.StartTasks("1", "visits", key, remaining_ms, tasks), owner
    )


def answer(executor, index, ok=True, target_fault=False, key="k"):
    """Have the target answer a task."""
    name = ("visits", key, index)
    deliver(executor, local.TargetAnswered(name, ok, b"1", 100.0, target_fault))


def started(executor):
    return [task.index for task in posted(executor.client, local.RunTask)]


def test_doubled_start_starts_nothing_and_repeats_the_result(
    run, executor, wire, guards
):
    async def scene():
        made = executor()
        start(guards[1], made, [0])
        start(guards[1], made, [0])
        assert started(made) == [0]
        answer(made, 0)
        start(guards[1], made, [0])
        start(guards[2], made, [0], attempt=2)
        assert started(made) == []
        assert len(wire.take(messages.TasksDone)) == 3

    run(scene())


def test_probe_makes_a_lost_start_never_start(run, executor, wire, guards):
    async def scene():
        made = executor()
        deliver(
            made, messages.ProbeTasks("1", "visits", "k", ((0, 1),), False), guards[1]
        )
        assert wire.take(messages.TasksNotRun)[0].reason == "never_arrived"
        start(guards[1], made, [0], attempt=1)
        assert started(made) == []
        assert wire.take(messages.TasksNotRun)[0].reason == "dropped"
        start(guards[1], made, [0], attempt=2)
        assert started(made) == [0]

    run(scene())


def test_queue_is_bounded_and_returned_when_the_zone_goes_out(
    run, executor, wire, guards, view, document
):
    async def scene():
        made = executor()
        view_of_three = {"visits": document._replace(guard_queue=3)}
        show_view(made, view._replace(documents=view_of_three))
        start(guards[1], made, range(6))
        assert started(made) == [0, 1]
        back = wire.take(messages.TasksNotRun)
        assert (back[0].reason, back[0].tasks) == ("queue_full", ((5, 1),))
        show_view(made, view._replace(zones_out=frozenset({"recife"})))
        assert {m.reason for m in wire.take(messages.TasksNotRun)} == {"zone_out"}
        answer(made, 0)
        start(guards[1], made, [7])
        assert started(made) == []
        assert wire.take(messages.TasksDone)

    run(scene())


def test_guard_resumed_from_a_freeze_starts_nothing_on_its_old_view(
    run, executor, wire, guards, view
):
    async def scene():
        made = executor()
        await asyncio.sleep(10)
        start(guards[1], made, [0])
        assert wire.take(messages.TasksNotRun)[0].reason == "stale_view"
        show_view(made, view)

    run(scene())


@pytest.mark.parametrize(
    ("change", "reason"),
    [({"leaving": True}, "target_leaving"), ({"kinds": ["check"]}, "wrong_kind")],
)
def test_leaving_or_other_target_takes_no_work(
    run, executor, wire, guards, announcement, change, reason
):
    async def scene():
        made = executor()
        announce(made, {**announcement, **change})
        start(guards[1], made, [0])
        assert wire.take(messages.TasksNotRun)[0].reason == reason

    run(scene())


def test_silent_target_takes_no_work(run, executor, wire, guards, view):
    async def scene():
        made = executor()
        await asyncio.sleep(4)
        show_view(made, view)
        start(guards[1], made, [0])
        assert wire.take(messages.TasksNotRun)[0].reason == "no_target"

    run(scene())


def test_second_target_is_refused_while_the_first_is_here(run, executor, announcement):
    async def scene():
        made = executor()
        other = {**announcement, "address": "127.0.0.1:10"}
        assert "stop it first" in announce(made, other)
        await asyncio.sleep(4)
        assert announce(made, other) is None

    run(scene())


def test_target_that_fails_everything_is_ejected(run, executor, wire, guards):
    async def scene():
        made = executor()
        for key in ("a", "b", "c"):
            start(guards[1], made, [0], key=key)
            answer(made, 0, ok=False, target_fault=True, key=key)
        start(guards[1], made, [0], key="d")
        assert wire.take(messages.TasksNotRun)[0].reason == "target_ejected"
        await asyncio.sleep(1.1)
        start(guards[1], made, [1, 2], key="e")
        assert started(made)[-1:] == [1]

    run(scene())


def test_permits_hold_slots_and_expire(run, executor, wire, guards, view):
    async def scene():
        made = executor()
        deliver(made, messages.Reserve("visits", 3, 1_000), guards[1])
        permits = wire.take(messages.Grant)[0].permits
        assert len(permits) == 2
        start(guards[1], made, [0], permit=permits[0])
        assert started(made) == [0]
        await asyncio.sleep(0.3)
        tick(made)
        start(guards[1], made, [1], permit=permits[1])
        assert wire.take(messages.TasksNotRun)[0].reason == "permit_expired"

    run(scene())


def test_drain_finishes_what_runs_and_starts_nothing(run, executor, wire, guards):
    async def scene():
        made = executor()
        start(guards[1], made, [0, 1, 2])
        deliver(made, local.Drain())
        assert wire.take(messages.TasksNotRun)[0].reason == "draining"
        tick(made)
        assert not posted(made.drained, local.DrainCompleted)
        answer(made, 0)
        answer(made, 1)
        assert len(wire.take(messages.TasksDone)) == 2
        tick(made)
        assert posted(made.drained, local.DrainCompleted)

    run(scene())


def test_cancelled_running_task_is_told_to_stop(run, executor, wire, guards):
    async def scene():
        made = executor()
        start(guards[1], made, [0, 1, 2])
        dropped = tuple((index, 1) for index in range(3))
        deliver(made, messages.ProbeTasks("1", "visits", "k", dropped, True), guards[1])
        stopped = posted(made.client, local.StopTask)
        assert sorted(stop.name[2] for stop in stopped) == [0, 1]
        assert not made.queue

    run(scene())


def test_task_past_its_deadline_is_not_started(run, executor, wire, guards, view):
    async def scene():
        made = executor()
        start(guards[1], made, [0, 1, 2], remaining_ms=500)
        await asyncio.sleep(1)
        show_view(made, view)
        tick(made)
        assert wire.take(messages.TasksNotRun)[0].reason == "too_late"

    run(scene())


def test_queued_task_that_must_start_soonest_goes_first(run, executor, guards):
    async def scene():
        made = executor()
        slots = made.target.body["slots"]
        start(guards[0], made, range(slots))
        start(guards[0], made, [0], key="patient", slack_ms=500)
        start(guards[1], made, [7], key="urgent", slack_ms=-10)
        assert len(started(made)) == slots
        answer(made, 0)
        assert started(made) == [7]

    run(scene())
