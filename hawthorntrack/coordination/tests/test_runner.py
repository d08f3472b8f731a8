"""An owner places each task once at a time, and tells truly what ran."""

import asyncio

import pytest

from hawthorntrack.coordination.runner import JobRunner
from hawthorntrack.coordination.tests.conftest import deliver, posted, show_view, tick
from hawthorntrack.protocol import local, messages
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.values import TaskResult


@pytest.fixture
def runner(guards, settings, wire, rng, view, load, places):
    """Return a function that makes a runner with two guards in service."""

    def make(document=None):
        made = JobRunner(guards[0], settings, wire.send, rng)
        made.slot_manager = Mailbox("keeper")
        shown = view._replace(documents={"visits": document}) if document else view
        show_view(made, shown)
        for guard, place in list(zip(guards, places, strict=True))[:2]:
            deliver(made, messages.Heartbeat(place, False, (load,)), guard)
        return made

    return make


def admit(runner, job, token=1):
    """OfferJob and admit a job; return the start messages sent for it."""
    deliver(runner, local.OfferJob(token, 0, job))
    deliver(runner, local.AdmitJob(token))
    return place(runner)


def place(runner):
    """Have the runner place, and return its start messages with their guards."""
    while not runner.mailbox.queue.empty():
        runner.handle(runner.mailbox.queue.get_nowait())
    wire = runner.send.__self__
    found = [
        (to, body) for to, body in wire.sent if isinstance(body, messages.StartTasks)
    ]
    wire.take(messages.StartTasks)
    return found


def finish(runner, guard, indices, load, ok=True, job="1"):
    """Have a guard return results."""
    for index in indices:
        result = TaskResult(index, ok, b'"out"', 50.0)
        deliver(runner, messages.TasksDone(job, (result,), load), guard)


def ended(runner):
    """Return the answer that the runner gave, or None."""
    found = posted(runner.slot_manager, local.JobEnded)
    return found[0].answer if found else None


def test_results_come_back_whole_and_in_task_order(run, runner, make_job, load):
    async def scene():
        made = runner()
        sent = admit(made, make_job(tasks=6))
        assert sorted(t.index for _, s in sent for t in s.tasks) == list(range(6))
        for guard, message in reversed(sent):
            finish(made, guard, [t.index for t in reversed(message.tasks)], load)
        answer = ended(made)
        assert answer.status == "complete"
        assert [result.index for result in answer.results] == list(range(6))

    run(scene())


def test_late_doubled_or_strange_results_change_nothing(
    run, runner, make_job, load, guards
):
    async def scene():
        made = runner()
        ((guard, _),) = admit(made, make_job(tasks=1))
        stranger = next(g for g in guards if g != guard)
        finish(made, stranger, [0], load)
        finish(made, guard, [5], load)
        assert ended(made) is None
        finish(made, guard, [0], load)
        assert ended(made).status == "complete"
        finish(made, guard, [0], load)
        assert ended(made) is None

    run(scene())


def test_failed_task_fails_the_job_whole_and_calls_the_rest_back(
    run, runner, make_job, load, wire
):
    async def scene():
        made = runner()
        sent = admit(made, make_job(tasks=4))
        finish(made, sent[0][0], [sent[0][1].tasks[0].index], load, ok=False)
        answer = ended(made)
        assert (answer.status, answer.kind, answer.ran) == (
            "failed",
            "task_failed",
            "yes",
        )
        assert answer.results == ()
        assert all(probe.drop for probe in wire.take(messages.ProbeTasks))

    run(scene())


def test_sent_back_task_goes_to_another_guard(run, runner, make_job, load):
    async def scene():
        made = runner()
        ((guard, _),) = admit(made, make_job(tasks=1))
        deliver(made, messages.TasksNotRun("1", ((0, 1),), "queue_full", load), guard)
        await asyncio.sleep(0.1)
        ((other, message),) = place(made)
        assert other != guard
        assert message.tasks[0].attempt == 2
        deliver(made, messages.TasksNotRun("1", ((0, 1),), "queue_full", load), guard)
        assert place(made) == []

    run(scene())


def test_job_never_started_is_refused_at_its_deadline(run, runner, make_job, load):
    async def scene():
        made = runner()
        ((guard, _),) = admit(made, make_job(tasks=1, deadline_ms=1_000))
        deliver(made, messages.TasksNotRun("1", ((0, 1),), "draining", load), guard)
        await asyncio.sleep(1)
        tick(made)
        answer = ended(made)
        assert (answer.status, answer.ran) == ("refused", "no")

    run(scene())


def test_job_out_at_its_deadline_is_failed_as_maybe(run, runner, make_job):
    async def scene():
        made = runner()
        admit(made, make_job(tasks=1, deadline_ms=1_000))
        await asyncio.sleep(1)
        tick(made)
        answer = ended(made)
        assert (answer.status, answer.kind, answer.ran) == (
            "failed",
            "deadline_passed",
            "maybe",
        )

    run(scene())


def test_retries_are_exhausted_by_the_documents_bound(
    run, runner, make_job, load, document
):
    async def scene():
        made = runner(document._replace(max_attempts=2))
        sent = admit(made, make_job(tasks=1))
        for attempt in (1, 2):
            ((guard, _),) = sent
            back = messages.TasksNotRun("1", ((0, attempt),), "queue_full", load)
            deliver(made, back, guard)
            await asyncio.sleep(0.1)
            sent = place(made)
        answer = ended(made)
        assert (answer.status, answer.kind) == ("refused", "not_placed")

    run(scene())


def test_job_at_a_guard_that_is_gone_is_failed(run, runner, make_job, view):
    async def scene():
        made = runner()
        ((guard, _),) = admit(made, make_job(tasks=1, deadline_ms=60_000))
        left = {a: g for a, g in view.guards.items() if g.incarnation != guard}
        show_view(made, view._replace(guards=left))
        tick(made)
        assert ended(made) is None
        await asyncio.sleep(2.1)
        tick(made)
        assert ended(made).kind == "guard_lost"

    run(scene())


def test_silent_task_is_asked_after(run, runner, make_job, wire):
    async def scene():
        made = runner()
        admit(made, make_job(tasks=1))
        await asyncio.sleep(1.1)
        tick(made)
        probe = wire.take(messages.ProbeTasks)[0]
        assert (probe.tasks, probe.drop) == (((0, 1),), False)
        tick(made)
        assert not wire.take(messages.ProbeTasks)

    run(scene())


def test_cancel_before_any_start_is_a_true_refusal(run, runner, make_job, load):
    async def scene():
        made = runner()
        ((guard, _),) = admit(made, make_job(tasks=1))
        deliver(made, messages.TasksNotRun("1", ((0, 1),), "draining", load), guard)
        deliver(made, local.CancelAdmittedJob(1))
        answer = ended(made)
        assert (answer.status, answer.kind, answer.ran) == (
            "refused",
            "cancelled",
            "no",
        )

    run(scene())


def test_zone_out_stops_placing_there(run, runner, make_job, view):
    async def scene():
        made = runner()
        show_view(made, view._replace(zones_out=frozenset({"recife"})))
        deliver(made, local.OfferJob(1, 0, make_job()))
        refusal = posted(made.slot_manager, local.OfferReply)[0].refusal
        assert refusal.kind == "no_target"

    run(scene())


def test_late_binding_starts_on_permits_and_releases_the_rest(
    run, runner, make_job, load, document, wire, guards
):
    async def scene():
        made = runner(document._replace(policy="late_binding"))
        assert admit(made, make_job(tasks=2)) == []
        asked = sum(ask.count for ask in wire.take(messages.Reserve))
        assert asked == 4
        deliver(made, messages.Grant("visits", ("a", "b", "c"), load), guards[1])
        ((guard, message),) = place(made)
        assert guard == guards[1]
        assert [task.permit for task in message.tasks] == ["a", "b"]
        assert wire.take(messages.Release)[0].permits == ("c",)

    run(scene())


def test_task_without_a_free_slot_waits_for_one_permit(
    run, runner, make_job, load, wire, guards, places
):
    async def scene():
        made = runner()
        for guard, place_of_guard in list(zip(guards, places, strict=True))[:2]:
            full = load._replace(busy=8)
            deliver(made, messages.Heartbeat(place_of_guard, False, (full,)), guard)
        assert admit(made, make_job(tasks=3)) == []
        assert sum(ask.count for ask in wire.take(messages.Reserve)) == 3
        deliver(
            made, messages.Grant("visits", ("a",), load._replace(busy=8)), guards[0]
        )
        ((guard, message),) = place(made)
        assert (guard, len(message.tasks)) == (guards[0], 1)
        assert wire.take(messages.Reserve) == []

    run(scene())


@pytest.mark.parametrize("name", ["", "x", "-1", "9" * 5_000])
def test_message_for_a_job_that_is_not_there_is_dropped(
    run, runner, load, guards, name
):
    async def scene():
        made = runner()
        deliver(made, messages.TasksDone(name, (), load), guards[1])
        deliver(
            made, messages.TasksNotRun(name, ((0, 1),), "draining", load), guards[1]
        )
        assert ended(made) is None

    run(scene())
