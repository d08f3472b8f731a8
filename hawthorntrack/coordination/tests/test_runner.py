"""Tests of the job runner: placement of tasks, and answers that say what ran."""

import asyncio

import pytest

from hawthorntrack.coordination.runner import JobRunner
from hawthorntrack.coordination.tests.conftest import deliver, posted, show_view, tick
from hawthorntrack.protocol import local, messages
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.values import TaskResult


@pytest.fixture
def make_runner(guards, settings, wire, rng, view, load, places):
    """Return a function that creates a runner with two guards in service."""

    def make(document=None):
        runner = JobRunner(guards[0], settings, wire.send, rng)
        runner.slot_manager = Mailbox("keeper")
        shown = view._replace(documents={"visits": document}) if document else view
        show_view(runner, shown)
        for guard, location in list(zip(guards, places, strict=True))[:2]:
            deliver(runner, messages.Heartbeat(location, False, (load,)), guard)
        return runner

    return make


def offer_and_admit(runner, job, token=1):
    """Offer and admit a job; return the start messages sent for it, by guard."""
    deliver(runner, local.OfferJob(token, 0, job))
    deliver(runner, local.AdmitJob(token))
    return place_tasks(runner)


def place_tasks(runner):
    """Handle the posted messages; return the start messages sent, with their guards."""
    while not runner.mailbox.queue.empty():
        runner.handle(runner.mailbox.queue.get_nowait())
    wire = runner.send.__self__
    starts = [
        (to, body) for to, body in wire.sent if isinstance(body, messages.StartTasks)
    ]
    wire.take(messages.StartTasks)
    return starts


def return_results(runner, guard, indices, load, ok=True, job="1"):
    """Deliver results of tasks from a guard."""
    for index in indices:
        result = TaskResult(index, ok, b'"out"', 50.0)
        deliver(runner, messages.TasksDone(job, (result,), load), guard)


def take_answer(runner):
    """Return the answer to the job that the runner ended, or None."""
    ended_jobs = posted(runner.slot_manager, local.JobEnded)
    return ended_jobs[0].answer if ended_jobs else None


def test_results_are_complete_and_in_task_order(run, make_runner, make_job, load):
    async def scenario():
        runner = make_runner()
        sent = offer_and_admit(runner, make_job(tasks=6))
        assert sorted(task.index for _, start in sent for task in start.tasks) == list(
            range(6)
        )
        for guard, message in reversed(sent):
            return_results(
                runner, guard, [task.index for task in reversed(message.tasks)], load
            )
        answer = take_answer(runner)
        assert answer.status == "complete"
        assert [result.index for result in answer.results] == list(range(6))

    run(scenario())


def test_late_duplicate_or_foreign_results_are_ignored(
    run, make_runner, make_job, load, guards
):
    async def scenario():
        runner = make_runner()
        ((guard, _),) = offer_and_admit(runner, make_job(tasks=1))
        other_guard = next(candidate for candidate in guards if candidate != guard)
        return_results(runner, other_guard, [0], load)
        return_results(runner, guard, [5], load)
        assert take_answer(runner) is None
        return_results(runner, guard, [0], load)
        assert take_answer(runner).status == "complete"
        return_results(runner, guard, [0], load)
        assert take_answer(runner) is None

    run(scenario())


def test_failed_task_fails_the_job_and_recalls_its_other_tasks(
    run, make_runner, make_job, load, wire
):
    async def scenario():
        runner = make_runner()
        sent = offer_and_admit(runner, make_job(tasks=4))
        return_results(runner, sent[0][0], [sent[0][1].tasks[0].index], load, ok=False)
        answer = take_answer(runner)
        assert (answer.status, answer.kind, answer.ran) == (
            "failed",
            "task_failed",
            "yes",
        )
        assert answer.results == ()
        assert all(probe.drop for probe in wire.take(messages.ProbeTasks))

    run(scenario())


def test_returned_task_is_placed_on_another_guard(run, make_runner, make_job, load):
    async def scenario():
        runner = make_runner()
        ((guard, _),) = offer_and_admit(runner, make_job(tasks=1))
        deliver(runner, messages.TasksNotRun("1", ((0, 1),), "queue_full", load), guard)
        await asyncio.sleep(0.1)
        ((other, message),) = place_tasks(runner)
        assert other != guard
        assert message.tasks[0].attempt == 2
        deliver(runner, messages.TasksNotRun("1", ((0, 1),), "queue_full", load), guard)
        assert place_tasks(runner) == []

    run(scenario())


def test_job_never_started_is_refused_at_its_deadline(run, make_runner, make_job, load):
    async def scenario():
        runner = make_runner()
        ((guard, _),) = offer_and_admit(runner, make_job(tasks=1, deadline_ms=1_000))
        deliver(runner, messages.TasksNotRun("1", ((0, 1),), "draining", load), guard)
        await asyncio.sleep(1)
        tick(runner)
        answer = take_answer(runner)
        assert (answer.status, answer.ran) == ("refused", "no")

    run(scenario())


def test_job_with_an_outstanding_task_fails_at_its_deadline_as_maybe_run(
    run, make_runner, make_job
):
    async def scenario():
        runner = make_runner()
        offer_and_admit(runner, make_job(tasks=1, deadline_ms=1_000))
        await asyncio.sleep(1)
        tick(runner)
        answer = take_answer(runner)
        assert (answer.status, answer.kind, answer.ran) == (
            "failed",
            "deadline_passed",
            "maybe",
        )

    run(scenario())


def test_job_is_refused_after_the_documents_max_attempts(
    run, make_runner, make_job, load, document
):
    async def scenario():
        runner = make_runner(document._replace(max_attempts=2))
        sent = offer_and_admit(runner, make_job(tasks=1))
        for attempt in (1, 2):
            ((guard, _),) = sent
            not_run = messages.TasksNotRun("1", ((0, attempt),), "queue_full", load)
            deliver(runner, not_run, guard)
            await asyncio.sleep(0.1)
            sent = place_tasks(runner)
        answer = take_answer(runner)
        assert (answer.status, answer.kind) == ("refused", "not_placed")

    run(scenario())


def test_job_with_a_task_at_an_unregistered_guard_fails(
    run, make_runner, make_job, view
):
    async def scenario():
        runner = make_runner()
        ((guard, _),) = offer_and_admit(runner, make_job(tasks=1, deadline_ms=60_000))
        remaining = {
            address: info
            for address, info in view.guards.items()
            if info.incarnation != guard
        }
        show_view(runner, view._replace(guards=remaining))
        tick(runner)
        assert take_answer(runner) is None
        await asyncio.sleep(2.1)
        tick(runner)
        assert take_answer(runner).kind == "guard_lost"

    run(scenario())


def test_overdue_task_is_probed_once(run, make_runner, make_job, wire):
    async def scenario():
        runner = make_runner()
        offer_and_admit(runner, make_job(tasks=1))
        await asyncio.sleep(1.1)
        tick(runner)
        probe = wire.take(messages.ProbeTasks)[0]
        assert (probe.tasks, probe.drop) == (((0, 1),), False)
        tick(runner)
        assert not wire.take(messages.ProbeTasks)

    run(scenario())


def test_cancelled_job_without_a_started_task_is_refused_as_not_run(
    run, make_runner, make_job, load
):
    async def scenario():
        runner = make_runner()
        ((guard, _),) = offer_and_admit(runner, make_job(tasks=1))
        deliver(runner, messages.TasksNotRun("1", ((0, 1),), "draining", load), guard)
        deliver(runner, local.CancelAdmittedJob(1))
        answer = take_answer(runner)
        assert (answer.status, answer.kind, answer.ran) == (
            "refused",
            "cancelled",
            "no",
        )

    run(scenario())


def test_job_is_refused_when_the_zone_of_all_targets_is_out(
    run, make_runner, make_job, view
):
    async def scenario():
        runner = make_runner()
        show_view(runner, view._replace(zones_out=frozenset({"recife"})))
        deliver(runner, local.OfferJob(1, 0, make_job()))
        refusal = posted(runner.slot_manager, local.OfferReply)[0].refusal
        assert refusal.kind == "no_target"

    run(scenario())


def test_late_binding_starts_on_permits_and_releases_the_rest(
    run, make_runner, make_job, load, document, wire, guards
):
    async def scenario():
        runner = make_runner(document._replace(policy="late_binding"))
        assert offer_and_admit(runner, make_job(tasks=2)) == []
        asked = sum(request.count for request in wire.take(messages.Reserve))
        assert asked == 4
        deliver(runner, messages.Grant("visits", ("a", "b", "c"), load), guards[1])
        ((guard, message),) = place_tasks(runner)
        assert guard == guards[1]
        assert [task.permit for task in message.tasks] == ["a", "b"]
        assert wire.take(messages.Release)[0].permits == ("c",)

    run(scenario())


def test_tasks_without_a_free_slot_request_one_permit_each(
    run, make_runner, make_job, load, wire, guards, places
):
    async def scenario():
        runner = make_runner()
        for guard, location in list(zip(guards, places, strict=True))[:2]:
            full = load._replace(busy=8)
            deliver(runner, messages.Heartbeat(location, False, (full,)), guard)
        assert offer_and_admit(runner, make_job(tasks=3)) == []
        assert sum(request.count for request in wire.take(messages.Reserve)) == 3
        deliver(
            runner, messages.Grant("visits", ("a",), load._replace(busy=8)), guards[0]
        )
        ((guard, message),) = place_tasks(runner)
        assert (guard, len(message.tasks)) == (guards[0], 1)
        assert wire.take(messages.Reserve) == []

    run(scenario())


@pytest.mark.parametrize("name", ["", "x", "-1", "9" * 5_000])
def test_message_for_an_unknown_job_is_ignored(run, make_runner, load, guards, name):
    async def scenario():
        runner = make_runner()
        deliver(runner, messages.TasksDone(name, (), load), guards[1])
        deliver(
            runner, messages.TasksNotRun(name, ((0, 1),), "draining", load), guards[1]
        )
        assert take_answer(runner) is None

    run(scenario())
