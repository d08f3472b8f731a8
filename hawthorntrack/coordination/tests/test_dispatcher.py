"""What an entry instance does with jobs in steps, and with guards that misbehave."""

import asyncio

import pytest

from hawthorntrack.coordination.dispatcher import (
    MIN_DRAIN_S,
    RUN_NUMBERS_RETENTION_S,
    STARTUP_GRACE_S,
    Dispatcher,
)
from hawthorntrack.coordination.guard_peer import LINK_TIMEOUT_S
from hawthorntrack.coordination.leases import runs_gone_by
from hawthorntrack.protocol.job_requests import (
    CallerDisconnected,
    CancelPlan,
    CountQueuedJobs,
    DirectivesChanged,
    GetPlanState,
    SubmitPlan,
)
from hawthorntrack.protocol.links import CloseLink, LinkDown
from hawthorntrack.protocol.local import Drain, DrainCompleted, DrainDeadlinePassed
from hawthorntrack.protocol.run_messages import (
    CancelJobRuns,
    CheckRuns,
    ConfirmLease,
    GuardHeartbeat,
    Hello,
    RunEnding,
    RunsAccepted,
    RunsEnded,
    RunsRefused,
    StartRuns,
    StopRuns,
    TargetStatus,
)
from hawthorntrack.state.actor import Delivery
from hawthorntrack.state.catalogue import Catalogue, Queue
from hawthorntrack.state.directives import Directives
from hawthorntrack.state.mailbox import Mailbox, Tick
from hawthorntrack.state.plans import JobPlan, StepSpec
from hawthorntrack.state.resources import Resources
from hawthorntrack.state.values import Incarnation
from hawthorntrack.state.verdicts import (
    Abandoned,
    BadJob,
    Completed,
    JobFailed,
    JobState,
    NoQueue,
    Refused,
    UnknownJob,
)

NEED = Resources(1_600, 64)
ROOM = Resources(16_000, 32_768)
QUEUES = tuple(
    Queue(name, "calls.example", f"/{name}/", "visits", 0.06, 0, 2, 1.6)
    for name in ("confirm", "check")
)
ONE, TWO, THREE = (Incarnation(f"guard-{n}:1", f"g{n}") for n in (1, 2, 3))
CALLER = Incarnation("caller:1", "")
DRAIN_S = 5.0
LONGEST_LEASE_S = 1.0 / 0.98  # stated: 1 s on targets' clocks, which are up to 2% slow


class Entry:
    """A dispatcher whose clock and mailboxes a test holds in its hands."""

    def __init__(self, loop) -> None:
        self.time = 1_000.0
        self.loop = loop
        self.links = Mailbox("links")
        self.drained = Mailbox("drained")
        self.sent = []
        self.ready = None
        self.sequence = 0
        self.posted = []
        self.dispatcher = Dispatcher(
            "recife",
            1.5,
            lambda address, body: self.sent.append((address, body)),
            self.links,
            self.drained,
            self.note_ready,
            lambda: self.time,
            DRAIN_S,
        )
        self.dispatcher.post_later = lambda delay_s, body: self.posted.append(body)

    def note_ready(self, ready, reason):
        self.ready = ready

    def tell(self, body, sender=CALLER):
        self.dispatcher.handle(Delivery(sender, body))

    def direct(self, stamp=1, version=7, zones_out=()):
        catalogue = Catalogue(version, QUEUES)
        self.tell(DirectivesChanged(Directives(stamp, catalogue, frozenset(zones_out))))

    def wait(self, seconds):
        """Let time pass in ticks."""
        for _ in range(max(1, round(seconds / 0.02))):
            self.time += 0.02
            self.tell(Tick())

    def pulse(
        self,
        guard,
        free=ROOM,
        slowness=1.0,
        status="ready",
        zone="recife",
        target="",
    ):
        self.sequence += 1
        target_status = TargetStatus(
            status,
            "visits",
            zone,
            target or f"t-{guard.address}",
            ("a", "r1"),
            ROOM,
            free,
            slowness,
            self.sequence,
        )
        self.tell(GuardHeartbeat(round(self.time * 1000), target_status), guard)
        return target_status

    def link(self, guard, **changes):
        self.tell(Hello("guard", "recife", guard.address), guard)
        return self.pulse(guard, **changes)

    def submit(self, key="a" * 16, steps=None, queue="confirm", **changes):
        plan = JobPlan(key, "spec", steps or (StepSpec(2, NEED, 0.4),))
        reply = self.loop.create_future()
        order = SubmitPlan("calls.example", f"/{queue}/{key}", plan, "", 9.0, reply)
        self.tell(order._replace(**changes))
        return reply

    def messages(self, kind):
        found = [(to, body) for to, body in self.sent if type(body) is kind]
        self.sent = [item for item in self.sent if type(item[1]) is not kind]
        return found

    def starts(self):
        """Return the runs that were sent, as pairs of guard and run."""
        return [
            (to, run.name) for to, body in self.messages(StartRuns) for run in body.runs
        ]

    def end(self, guard, run, how="done", number=None):
        target_status = TargetStatus("ready", sequence=0)
        ending = RunEnding(run, number or run.run, how)
        self.tell(RunsEnded((ending,), target_status), guard)

    def refuse(self, guard, runs, reason, number=0):
        target_status = TargetStatus("ready", sequence=0)
        highest_run_numbers = (number,) * len(runs)
        self.tell(
            RunsRefused(tuple(runs), highest_run_numbers, reason, target_status), guard
        )


@pytest.fixture
def loop():
    made = asyncio.new_event_loop()
    yield made
    made.close()


@pytest.fixture
def bare(loop):
    """Return an entry instance that has a configuration and knows no guard."""
    entry = Entry(loop)
    entry.direct()
    return entry


@pytest.fixture
def entry(bare):
    """Return an entry instance with one guard."""
    bare.link(ONE)
    return bare


@pytest.fixture
def placed(entry):
    """Return an entry instance, the reply of its job, and the job's runs."""
    reply = entry.submit()
    return entry, reply, [run for _, run in entry.starts()]


def test_job_is_answered_once_all_its_tasks_are_done(placed):
    entry, reply, runs = placed
    entry.end(ONE, runs[0])
    assert not reply.done()
    entry.end(ONE, runs[1])
    assert reply.result() == Completed()


def test_steps_run_in_order(entry):
    steps = (StepSpec(1, NEED, 0.1), StepSpec(1, NEED, 0.1, depends_on=(0,)))
    reply = entry.submit(steps=steps)
    ((_, first),) = entry.starts()
    assert first.task.step == 0
    entry.end(ONE, first)
    ((_, second),) = entry.starts()
    assert second.task.step == 1
    entry.end(ONE, second)
    assert reply.result() == Completed()


def test_the_same_job_twice_runs_once_and_answers_both(placed):
    entry, reply, runs = placed
    again = entry.submit()
    assert entry.starts() == []
    for run in runs:
        entry.end(ONE, run)
    assert (reply.result(), again.result()) == (Completed(), Completed())


def test_end_that_is_told_twice_counts_once(placed):
    entry, reply, runs = placed
    entry.end(ONE, runs[0])
    entry.end(ONE, runs[0])
    assert not reply.done()


def test_failed_task_is_tried_again_elsewhere_until_its_attempts_are_used_up(entry):
    entry.link(TWO, slowness=2.0)
    reply = entry.submit(steps=(StepSpec(1, NEED, 0.4),))
    ((to, run),) = entry.starts()
    entry.end(ONE, run, "failed")
    ((again_to, again),) = entry.starts()
    assert (to, again_to) == (ONE.address, TWO.address)
    assert again.run > run.run
    entry.end(TWO, again, "failed")
    assert reply.result() == JobFailed("task_failed")


@pytest.mark.parametrize("how", ["lapsed", "lost", "stopped", "hung"])
def test_run_that_the_task_is_not_to_blame_for_costs_no_attempt(entry, how):
    reply = entry.submit(steps=(StepSpec(1, NEED, 0.4),))
    for _ in range(5):
        ((_, run),) = entry.starts()
        entry.end(ONE, run, how)
    assert not reply.done()
    ((_, run),) = entry.starts()
    entry.end(ONE, run)
    assert reply.result() == Completed()


def test_number_that_the_guard_has_used_is_passed_over(entry):
    entry.submit(steps=(StepSpec(1, NEED, 0.4),))
    ((_, run),) = entry.starts()
    entry.refuse(ONE, [run], "no_room", number=6)
    entry.pulse(ONE)
    ((_, again),) = entry.starts()
    assert again.run == 7


def test_task_that_the_target_does_not_understand_fails_its_job(placed):
    entry, reply, runs = placed
    entry.refuse(ONE, runs[:1], "invalid")
    assert reply.result() == JobFailed("target_refused_task")
    assert entry.messages(StopRuns)[0][1].runs == (runs[1],)


def test_job_that_no_target_could_ever_run_fails_at_once(entry):
    large = Resources(17_000, 64)
    reply = entry.submit(steps=(StepSpec(1, large, 0.4),))
    assert reply.result() == JobFailed("no_target_is_large_enough")
    reply = entry.submit(key="b" * 16, steps=(StepSpec(1, NEED, 0.4, label="gpu"),))
    assert isinstance(reply.result(), JobFailed)


def test_job_that_found_no_room_is_refused_early_and_nothing_of_it_starts(entry):
    entry.pulse(ONE, free=Resources())
    reply = entry.submit()
    objective_s = 0.4 * 1.6 + 0.06
    entry.wait(objective_s / 2)
    assert isinstance(reply.result(), Refused)
    assert reply.result().overloaded
    entry.pulse(ONE)
    assert entry.starts() == []


def test_job_that_has_begun_is_not_refused(entry):
    entry.pulse(ONE, free=NEED)
    reply = entry.submit()
    assert len(entry.starts()) == 1
    entry.wait(0.4)
    assert not reply.done()


def test_caller_that_gave_up_has_its_runs_stopped(placed):
    entry, reply, runs = placed
    entry.tell(CallerDisconnected("a" * 16, reply))
    assert set(entry.messages(StopRuns)[0][1].runs) == set(runs)
    entry.end(ONE, runs[0], "unwanted")
    entry.pulse(ONE)
    assert entry.starts() == []


def test_job_past_its_deadline_is_answered_and_stopped(placed):
    entry, reply, _ = placed
    for _ in range(24):
        entry.wait(0.4)
        entry.pulse(ONE)
    assert reply.result() == Abandoned("deadline")
    assert entry.messages(StopRuns)


def test_cancel_stops_the_job_here_and_asks_all_guards_to(placed):
    entry, reply, runs = placed
    cancelled = entry.loop.create_future()
    entry.tell(CancelPlan("calls.example", "/confirm/" + "a" * 16, "a" * 16, cancelled))
    assert cancelled.result() == JobState("cancelled")
    assert isinstance(reply.result(), Abandoned)
    assert entry.messages(CancelJobRuns)
    assert set(entry.messages(StopRuns)[0][1].runs) == set(runs)


def test_cancel_of_a_job_that_is_not_here_still_reaches_the_guards(entry):
    cancelled = entry.loop.create_future()
    entry.tell(CancelPlan("calls.example", "/confirm/" + "c" * 16, "c" * 16, cancelled))
    assert cancelled.result() == UnknownJob()
    assert entry.messages(CancelJobRuns) == [(ONE.address, CancelJobRuns("c" * 16))]


def test_lookups_and_counts(placed):
    entry, _, _ = placed
    replies = [entry.loop.create_future() for _ in range(4)]
    host, path = "calls.example", "/confirm/" + "a" * 16
    entry.tell(GetPlanState(host, path, "a" * 16, replies[0]))
    entry.tell(GetPlanState(host, path, "b" * 16, replies[1]))
    entry.tell(CountQueuedJobs(host, "/confirm/", replies[2]))
    entry.tell(CountQueuedJobs(host, "/none/", replies[3]))
    assert [reply.result() for reply in replies] == [
        JobState("running"),
        UnknownJob(),
        0,
        NoQueue(),
    ]


def test_queue_that_was_dropped_takes_no_job(entry):
    entry.tell(DirectivesChanged(Directives(2, Catalogue(9, QUEUES[:1]))))
    assert entry.submit(queue="check").result() == NoQueue()


def test_body_that_is_no_job_is_told_what_is_wrong(entry):
    reply = entry.submit(plan=None, problem="steps")
    assert reply.result() == BadJob("steps")


def test_job_waits_for_targets_that_announce_themselves_after_the_start(bare):
    reply = bare.submit()
    assert not reply.done()
    bare.link(ONE)
    assert len(bare.starts()) == 2


def test_job_is_refused_at_once_when_no_target_has_shown_for_long(bare):
    bare.wait(STARTUP_GRACE_S + 0.1)
    assert bare.submit().result() == Refused("no_target", 1)


def test_job_waits_shortly_for_the_first_configuration(loop):
    entry = Entry(loop)
    reply = entry.submit()
    assert not reply.done()
    assert entry.posted
    entry.wait(STARTUP_GRACE_S + 0.1)
    entry.tell(entry.posted.pop())
    assert reply.result() == Refused("no_configuration", 1)


def test_nothing_is_sent_to_a_zone_that_is_out(entry):
    entry.direct(stamp=2, zones_out=["recife"])
    entry.submit()
    assert entry.starts() == []


def test_pulse_is_answered_with_its_stamp_and_the_zones_that_are_out(entry):
    entry.direct(stamp=5, zones_out=["olinda"])
    entry.messages(ConfirmLease)
    entry.pulse(ONE)
    ((_, vouch),) = entry.messages(ConfirmLease)
    assert vouch == ConfirmLease(round(entry.time * 1000), 5, ("olinda",))


def test_room_that_was_sent_out_is_not_sent_out_again(entry):
    entry.submit(steps=(StepSpec(10, NEED, 0.4),))
    assert len(entry.starts()) == 10
    entry.submit(key="b" * 16, queue="check")
    assert entry.starts() == []


def test_runs_that_a_guard_took_count_in_its_report_only(entry):
    reply = entry.submit(steps=(StepSpec(4, NEED, 0.4),))
    runs = [run for _, run in entry.starts()]
    target_status = entry.pulse(ONE, free=Resources(9_600, 32_000))
    entry.tell(RunsAccepted(tuple(runs), target_status._replace(sequence=99)), ONE)
    entry.submit(key="b" * 16, steps=(StepSpec(6, NEED, 0.4),))
    assert len(entry.starts()) == 6
    assert not reply.done()


def test_faster_target_is_chosen(entry):
    entry.link(TWO, slowness=0.5)
    entry.submit()
    assert {to for to, _ in entry.starts()} == {TWO.address}


def test_target_far_too_slow_to_be_in_time_is_passed_over_at_first(bare):
    """Load pattern: a sixth of the targets works seven times slower."""
    bare.link(ONE, slowness=7.0)
    bare.link(TWO, free=Resources())
    bare.link(THREE, free=Resources())
    bare.submit()
    assert bare.starts() == []


def test_no_place_is_passed_over_when_all_targets_are_slow(bare):
    """Load pattern: late answers of all targets make all of them look slow."""
    for guard in (ONE, TWO, THREE):
        bare.link(guard, slowness=7.0)
    bare.submit()
    assert len(bare.starts()) == 2


def test_slow_place_is_better_than_a_refusal(bare):
    bare.link(ONE, slowness=7.0)
    bare.link(TWO, free=Resources())
    bare.link(THREE, free=Resources())
    reply = bare.submit()
    for _ in range(10):
        bare.wait(0.02)
        for guard in (TWO, THREE):
            bare.pulse(guard, free=Resources())
        bare.pulse(ONE, slowness=7.0)
    assert not reply.done()
    assert {to for to, _ in bare.starts()} == {ONE.address}


def test_queues_share_scarce_room_equally(entry):
    """Load pattern: one kind asks for many times the room of the other."""
    entry.pulse(ONE, free=Resources())
    for number in range(8):
        entry.submit(key=f"a{number:015x}", queue="check")
    for number in range(4):
        entry.submit(key=f"b{number:015x}", queue="confirm")
    entry.pulse(ONE, free=Resources(9_600, 32_000))
    started = [run.task.job[0] for _, run in entry.starts()]
    assert sorted(started) == ["a", "a", "b", "b", "b", "b"] or sorted(started) == [
        "a",
        "a",
        "a",
        "a",
        "b",
        "b",
    ]


def test_guard_that_is_silent_gets_nothing_and_is_hung_up_on(placed):
    entry, _, _ = placed
    entry.wait(LINK_TIMEOUT_S + 0.1)
    assert CloseLink(ONE.address) in list(entry.links.queue._queue)
    entry.submit(key="b" * 16)
    assert entry.starts() == []


def test_runs_of_a_silent_guard_go_elsewhere_only_once_they_are_certainly_gone(placed):
    entry, _, runs = placed
    silent_from = entry.time
    while entry.time < runs_gone_by(silent_from) - 0.05:
        entry.wait(0.1)
        entry.link(TWO)
        assert entry.starts() == []
    while entry.time < runs_gone_by(silent_from) + 0.2:
        entry.wait(0.1)
        entry.link(TWO)
    again = entry.starts()
    assert {to for to, _ in again} == {TWO.address}
    assert all(run.run > runs[0].run for _, run in again)


def test_link_that_is_back_keeps_its_runs_and_checks_them(placed):
    entry, reply, runs = placed
    entry.tell(LinkDown(ONE.address))
    entry.link(ONE)
    ((_, check),) = entry.messages(CheckRuns)
    assert set(check.runs) == set(runs)
    for run in runs:
        entry.end(ONE, run)
    assert reply.result() == Completed()


def test_guard_is_vouched_for_again_only_after_it_was_told_which_runs_are_left(placed):
    """The order to stop was lost with the link."""
    entry, reply, _ = placed
    entry.tell(LinkDown(ONE.address))
    entry.tell(CallerDisconnected("a" * 16, reply))
    entry.sent.clear()
    entry.wait(0.2)
    entry.pulse(ONE)
    assert entry.messages(ConfirmLease) == []
    entry.link(ONE)
    told = [body for to, body in entry.sent if to == ONE.address]
    assert told[0] == CheckRuns(())
    assert type(told[1]) is ConfirmLease


def test_restarted_guard_that_is_ready_is_asked_for_the_earlier_runs(placed):
    entry, _, runs = placed
    entry.tell(LinkDown(ONE.address))
    reborn = ONE._replace(nonce="g9")
    entry.link(reborn, status="unwell")
    assert entry.messages(CheckRuns) == []
    entry.pulse(reborn)
    entry.pulse(reborn)
    ((_, check),) = entry.messages(CheckRuns)
    assert set(check.runs) == set(runs)
    assert entry.starts() == []
    for run in runs:
        entry.end(reborn, run, "lost")
    assert len(entry.starts()) == 2


def test_order_that_reached_a_guards_next_life_is_not_placed_again(placed):
    """It was sent by address, before the guard's restart was known."""
    entry, reply, runs = placed
    reborn = ONE._replace(nonce="g9")
    entry.link(reborn)
    assert entry.starts() == []
    for run in runs:
        entry.end(reborn, run)
    assert reply.result() == Completed()


def test_process_that_stood_still_starts_nothing_more_of_its_jobs(placed):
    """Its callers may have sent the jobs elsewhere meanwhile."""
    entry, reply, runs = placed
    entry.time += 2.0
    entry.end(ONE, runs[0], "owner_silent")
    assert reply.result() == Abandoned("stood_still")
    assert entry.starts() == []


def test_answer_that_is_ready_after_a_standstill_is_delivered(placed):
    entry, reply, runs = placed
    entry.time += 2.0
    for run in runs:
        entry.end(ONE, run)
    assert reply.result() == Completed()


def test_task_that_ran_for_another_submission_is_placed_without_a_timer(placed):
    """The refusal says that the earlier run is over."""
    entry, _, runs = placed
    entry.refuse(ONE, runs, "still_running", number=3)
    entry.pulse(ONE)
    assert entry.posted == []
    assert [run.run for _, run in entry.starts()] == [4, 4]


def test_run_that_another_submission_took_over_ends_the_job(placed):
    entry, reply, runs = placed
    entry.end(ONE, runs[0], "superseded")
    assert reply.result() == Abandoned("superseded")


def test_drain_goes_on_with_jobs_and_ends_when_none_is_left(placed):
    entry, _, runs = placed
    entry.tell(Drain())
    assert entry.ready is False
    for run in runs:
        entry.end(ONE, run)
    assert entry.drained.queue.empty()
    for _ in range(8):
        entry.wait(MIN_DRAIN_S / 7)
        entry.pulse(ONE)
    assert isinstance(entry.drained.queue.get_nowait(), DrainCompleted)
    assert entry.submit(key="b" * 16).result() == Refused("draining", 1)


def test_jobs_that_a_drain_did_not_finish_are_answered(placed):
    entry, reply, _ = placed
    entry.tell(Drain())
    entry.tell(DrainDeadlinePassed())
    assert reply.result() == Abandoned("stopping")


def test_guards_are_asked_for_news_only_while_jobs_wait(entry):
    """Load pattern: a calm day at many entry instances."""
    entry.direct()
    entry.link(ONE, free=NEED)
    assert [v.needs_capacity_updates for _, v in entry.messages(ConfirmLease)] == [
        False
    ]
    entry.submit()  # two tasks, room for one
    assert [v.needs_capacity_updates for _, v in entry.messages(ConfirmLease)] == [True]
    assert len(entry.starts()) == 1
    entry.pulse(ONE, free=ROOM)
    assert len(entry.starts()) == 1
    entry.messages(ConfirmLease)
    entry.wait(0.6)
    entry.pulse(ONE)
    assert entry.messages(ConfirmLease)[-1][1].needs_capacity_updates is False


def test_pulses_in_quick_succession_are_answered_once(entry):
    entry.direct()
    entry.link(ONE)
    entry.messages(ConfirmLease)
    for _ in range(5):
        entry.pulse(ONE)
    assert entry.messages(ConfirmLease) == []
    entry.time += 0.2
    entry.pulse(ONE)
    assert len(entry.messages(ConfirmLease)) == 1


def test_draining_entry_takes_what_still_ends_in_time(placed):
    """Load pattern: restarts in turn at callers that keep their connections."""
    entry, _, _ = placed
    entry.tell(Drain())
    for _ in range(8):
        entry.wait(0.4)
        entry.pulse(ONE)
    short = entry.submit(key="b" * 16)
    long = entry.submit(key="c" * 16, steps=(StepSpec(1, NEED, 1.8),))
    assert long.result() == Refused("draining", 1)
    assert not short.done()
    assert len(entry.starts()) == 2


def test_guard_back_from_a_power_loss_is_not_vouched_for_by_its_earlier_clock(entry):
    entry.link(ONE)
    entry.messages(ConfirmLease)
    entry.tell(Hello("guard", "recife", "guard-1"), ONE._replace(nonce="later"))
    entry.dispatcher.request_capacity_updates(True)
    assert entry.messages(ConfirmLease) == []


def test_check_answered_after_a_refusal_places_no_second_run(entry):
    """Both tell of the first order; the task has been sent there again since."""
    reply = entry.submit(steps=(StepSpec(1, NEED, 0.4),))
    ((_, run),) = entry.starts()
    entry.tell(LinkDown(ONE.address))
    entry.link(ONE)
    entry.refuse(ONE, [run], "no_room")
    entry.pulse(ONE)
    assert len(entry.starts()) == 1
    entry.end(ONE, run, "lost")
    entry.pulse(ONE)
    assert entry.starts() == []
    assert not reply.done()


@pytest.mark.parametrize("how", ["unwanted", "lapsed", "lost"])
def test_end_of_an_earlier_submissions_run_places_no_second_run(placed, how):
    """It was on its way while the job's next submission was sent to that guard."""
    entry, reply, runs = placed
    entry.tell(CallerDisconnected("a" * 16, reply))
    entry.submit()
    assert len(entry.starts()) == 2
    for run in runs:
        entry.end(ONE, run, how)
    entry.pulse(ONE)
    assert entry.starts() == []


def test_refusal_of_an_earlier_submissions_run_places_no_second_run(placed):
    entry, reply, runs = placed
    entry.tell(CallerDisconnected("a" * 16, reply))
    entry.submit()
    assert len(entry.starts()) == 2
    entry.refuse(ONE, runs, "no_room")
    entry.pulse(ONE)
    assert entry.starts() == []


def test_numbers_of_ended_jobs_are_forgotten(placed):
    entry, reply, _ = placed
    entry.tell(CallerDisconnected("a" * 16, reply))
    entry.wait(RUN_NUMBERS_RETENTION_S + 0.1)
    assert entry.dispatcher.used_run_numbers == {}


def test_restarted_guard_with_another_target_proves_nothing_of_the_first(placed):
    """The first target drains beside it, and still runs what it was told to."""
    entry, _, runs = placed
    entry.tell(LinkDown(ONE.address))
    reborn = ONE._replace(nonce="g9")
    entry.link(reborn, target="t-new")
    assert entry.starts() == []
    for _ in range(int(LONGEST_LEASE_S / 0.1)):
        entry.wait(0.1)
        entry.pulse(reborn, target="t-new")
        assert entry.starts() == []
        assert not any(check.runs for _, check in entry.messages(CheckRuns))
    entry.wait(0.2)
    entry.pulse(reborn, target="t-new")
    ((_, check),) = entry.messages(CheckRuns)
    assert set(check.runs) == set(runs)


def test_restarted_guard_whose_target_drains_is_asked_for_the_earlier_runs(placed):
    """It never reports ready again; after the longest lease any answer is proof."""
    entry, _, runs = placed
    entry.tell(LinkDown(ONE.address))
    reborn = ONE._replace(nonce="g9")
    entry.link(reborn, status="draining")
    entry.messages(CheckRuns)
    for _ in range(round(LONGEST_LEASE_S / 0.1) + 2):
        entry.wait(0.1)
        entry.pulse(reborn, status="draining")
    asked = {run for _, check in entry.messages(CheckRuns) for run in check.runs}
    assert asked == set(runs)
