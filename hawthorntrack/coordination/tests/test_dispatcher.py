"""Tests of the dispatcher: multi-step jobs, and guards that fail or restart."""

import asyncio
from functools import partial

import pytest

from hawthorntrack.coordination import leases
from hawthorntrack.coordination.crash_records import (
    EARLY_RUN_MS,
    MAX_CRASHES,
    MAX_POSSIBLE_CRASHES,
    RECORD_RETENTION_S,
)
from hawthorntrack.coordination.dispatcher import (
    MIN_DRAIN_S,
    RUN_NUMBERS_RETENTION_S,
    STARTUP_GRACE_S,
    Dispatcher,
)
from hawthorntrack.coordination.guard_peer import (
    LINK_TIMEOUT_S,
    MAX_SILENCE_FOR_NEW_RUNS_S,
)
from hawthorntrack.coordination.quarantine import (
    QUARANTINE_LINGER_S,
    choose_quarantine,
)
from hawthorntrack.coordination.working_set import SURPLUS_LINGER_S
from hawthorntrack.coordination.zone_knowledge import OUTDATED_AFTER_S
from hawthorntrack.protocol.job_requests import (
    CallerDisconnected,
    CancelPlan,
    CountQueuedJobs,
    DirectivesChanged,
    DirectivesConfirmed,
    GetPlanState,
    SubmitPlan,
)
from hawthorntrack.protocol.links import (
    CloseLink,
    LinkDown,
    MaintainLink,
    RemovePeer,
)
from hawthorntrack.protocol.local import (
    Drain,
    DrainCompleted,
    DrainDeadlinePassed,
    MembersKnown,
)
from hawthorntrack.protocol.run_messages import (
    CancelJobRuns,
    CheckRuns,
    ConfirmLease,
    CrashedRun,
    GuardHeartbeat,
    Hello,
    RunEnding,
    RunsAccepted,
    RunsCrashed,
    RunsEnded,
    RunsRefused,
    StartRuns,
    StopRuns,
    TargetStatus,
)
from hawthorntrack.state.actor import Delivery
from hawthorntrack.state.catalogue import Catalogue, Queue, Service
from hawthorntrack.state.directives import Directives, Member
from hawthorntrack.state.lease_times import (
    GUARD_HEARTBEAT_INTERVAL_S,
    DeploymentTimes,
    derive_lease_times,
)
from hawthorntrack.state.mailbox import Mailbox, Tick
from hawthorntrack.state.plans import JobPlan, RunName, StepSpec, TaskName
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
CAPACITY = Resources(16_000, 32_768)
QUEUES = tuple(
    Queue(name, "calls.example", f"/{name}/", "visits", 0.06, 0, 2, 1.6)
    for name in ("confirm", "check")
)
GUARD_1, GUARD_2, GUARD_3 = (Incarnation(f"guard-{n}:1", f"g{n}") for n in (1, 2, 3))
CALLER = Incarnation("caller:1", "")
DRAIN_S = 5.0
# Targets grant leases of up to 1 s on their clocks, which are up to 2% slow.
MAX_LEASE_S = 1.0 / 0.98
LEASE_TIMES = derive_lease_times(DeploymentTimes())
runs_gone_by = partial(leases.runs_gone_by, LEASE_TIMES)
# Specified time that a target takes to stop a run.
STOP_S = 0.05


class DispatcherHarness:
    """A dispatcher with a manual clock, which records what it sends.

    Messages that it posts to itself for the next pass of the event loop are delivered
    after the current one, or by `run_passes` while `hold_passes` is set. The store
    confirms the directives all the time while `store_answers` is set.
    """

    def __init__(self, loop, lease_times=LEASE_TIMES, share_room=False) -> None:
        self.time = 1_000.0
        self.loop = loop
        self.links = Mailbox("links")
        self.drained = Mailbox("drained")
        self.sent = []
        self.ready = None
        self.sequence = 0
        self.delayed = []
        self.next_pass = []
        self.hold_passes = False
        self.store_answers = True
        self.dispatcher = Dispatcher(
            "recife",
            1.5,
            lambda address, body: self.sent.append((address, body)),
            self.links,
            self.drained,
            self.record_ready,
            lambda: self.time,
            DRAIN_S,
            lease_times,
            share_room=share_room,
        )
        self.dispatcher.post_later = self.post_later

    def post_later(self, delay_s, body):
        (self.delayed if delay_s else self.next_pass).append(body)

    def record_ready(self, ready, reason):
        self.ready = ready

    def deliver(self, body, sender=CALLER):
        if self.store_answers:
            self.dispatcher.handle(DirectivesConfirmed(0, self.time))
        self.dispatcher.handle(Delivery(sender, body))
        if not self.hold_passes:
            self.run_passes()

    def run_passes(self):
        while self.next_pass:
            self.dispatcher.handle(self.next_pass.pop(0))

    def set_directives(self, stamp=1, version=7, zones_out=(), services=()):
        catalogue = Catalogue(version, QUEUES, services)
        self.deliver(
            DirectivesChanged(Directives(stamp, catalogue, frozenset(zones_out)))
        )

    def advance(self, seconds):
        """Advance the clock in steps of 20 ms, with a tick at each."""
        for _ in range(max(1, round(seconds / 0.02))):
            self.time += 0.02
            self.deliver(Tick())

    def send_heartbeat(
        self,
        guard,
        free=CAPACITY,
        slowness=1.0,
        status="ready",
        zone="recife",
        target="",
        capacity_is_current=True,
    ):
        self.sequence += 1
        target_status = TargetStatus(
            status,
            "visits",
            zone,
            target or f"t-{guard.address}",
            ("a", "r1"),
            CAPACITY,
            free,
            slowness,
            self.sequence,
            capacity_is_current,
        )
        self.deliver(GuardHeartbeat(round(self.time * 1000), target_status), guard)
        return target_status

    def connect_guard(self, guard, **changes):
        self.deliver(Hello("guard", "recife", guard.address), guard)
        return self.send_heartbeat(guard, **changes)

    def submit(self, key="a" * 16, steps=None, queue="confirm", **changes):
        plan = JobPlan(key, "spec", steps or (StepSpec(2, NEED, 0.4),))
        reply = self.loop.create_future()
        submission = SubmitPlan(
            "calls.example", f"/{queue}/{key}", plan, "", self.time, 9.0, reply
        )
        self.deliver(submission._replace(**changes))
        return reply

    def take_messages(self, kind):
        selected = [(to, body) for to, body in self.sent if type(body) is kind]
        self.sent = [item for item in self.sent if type(item[1]) is not kind]
        return selected

    def take_starts(self):
        """Return and drop the runs that were sent, as pairs of guard and run."""
        return [
            (to, run.name)
            for to, body in self.take_messages(StartRuns)
            for run in body.runs
        ]

    def end_run(self, guard, run, end_state="done", number=None):
        target_status = TargetStatus("ready", sequence=0)
        ending = RunEnding(run, number or run.run, end_state)
        self.deliver(RunsEnded((ending,), target_status), guard)

    def crash_target(self, guard, runs, age_ms=15):
        """Let a guard report a crash under runs, and their ends."""
        crashed = tuple(CrashedRun(run, age_ms) for run in runs)
        self.deliver(RunsCrashed(crashed), guard)
        self.end_crashed_runs(guard, runs)

    def end_crashed_runs(self, guard, runs):
        """Let a guard report that runs ended with its target."""
        endings = tuple(RunEnding(run, run.run, "crashed") for run in runs)
        self.deliver(RunsEnded(endings, TargetStatus("ready", sequence=0)), guard)

    def refuse_runs(self, guard, runs, reason, number=0):
        target_status = TargetStatus("ready", sequence=0)
        highest_run_numbers = (number,) * len(runs)
        self.deliver(
            RunsRefused(tuple(runs), highest_run_numbers, reason, target_status), guard
        )


@pytest.fixture
def loop():
    event_loop = asyncio.new_event_loop()
    yield event_loop
    event_loop.close()


@pytest.fixture
def entry_without_guards(loop):
    """Return an entry instance with a configuration and without guards."""
    entry = DispatcherHarness(loop)
    entry.set_directives()
    return entry


@pytest.fixture
def entry(entry_without_guards):
    """Return an entry instance with one guard."""
    entry_without_guards.connect_guard(GUARD_1)
    return entry_without_guards


@pytest.fixture
def placed_job(entry):
    """Return an entry instance, the reply of its job, and the job's runs."""
    reply = entry.submit()
    return entry, reply, [run for _, run in entry.take_starts()]


def test_job_is_answered_once_all_its_tasks_are_done(placed_job):
    entry, reply, runs = placed_job
    entry.end_run(GUARD_1, runs[0])
    assert not reply.done()
    entry.end_run(GUARD_1, runs[1])
    assert reply.result() == Completed()


def test_steps_run_in_order(entry):
    steps = (StepSpec(1, NEED, 0.1), StepSpec(1, NEED, 0.1, depends_on=(0,)))
    reply = entry.submit(steps=steps)
    ((_, first),) = entry.take_starts()
    assert first.task.step == 0
    entry.end_run(GUARD_1, first)
    ((_, second),) = entry.take_starts()
    assert second.task.step == 1
    entry.end_run(GUARD_1, second)
    assert reply.result() == Completed()


def test_the_same_job_twice_runs_once_and_answers_both(placed_job):
    entry, reply, runs = placed_job
    second_reply = entry.submit()
    assert entry.take_starts() == []
    for run in runs:
        entry.end_run(GUARD_1, run)
    assert (reply.result(), second_reply.result()) == (Completed(), Completed())


def test_run_end_reported_twice_counts_once(placed_job):
    entry, reply, runs = placed_job
    entry.end_run(GUARD_1, runs[0])
    entry.end_run(GUARD_1, runs[0])
    assert not reply.done()


def test_failed_task_is_retried_on_another_guard_up_to_max_attempts(entry):
    entry.connect_guard(GUARD_2, slowness=2.0)
    reply = entry.submit(steps=(StepSpec(1, NEED, 0.4),))
    ((to, run),) = entry.take_starts()
    entry.end_run(GUARD_1, run, "failed")
    ((retried_on, retried),) = entry.take_starts()
    assert (to, retried_on) == (GUARD_1.address, GUARD_2.address)
    assert retried.run > run.run
    entry.end_run(GUARD_2, retried, "failed")
    assert reply.result() == JobFailed("task_failed")


@pytest.mark.parametrize("how", ["lapsed", "lost", "stopped", "hung"])
def test_run_ended_without_fault_of_its_task_uses_no_attempt(entry, how):
    reply = entry.submit(steps=(StepSpec(1, NEED, 0.4),))
    for _ in range(5):
        ((_, run),) = entry.take_starts()
        entry.end_run(GUARD_1, run, how)
    assert not reply.done()
    ((_, run),) = entry.take_starts()
    entry.end_run(GUARD_1, run)
    assert reply.result() == Completed()


def test_run_number_used_by_the_guard_is_skipped(entry):
    entry.submit(steps=(StepSpec(1, NEED, 0.4),))
    ((_, run),) = entry.take_starts()
    entry.refuse_runs(GUARD_1, [run], "no_room", number=6)
    entry.send_heartbeat(GUARD_1)
    ((_, retried),) = entry.take_starts()
    assert retried.run == 7


def test_task_refused_as_invalid_fails_its_job(placed_job):
    entry, reply, runs = placed_job
    entry.refuse_runs(GUARD_1, runs[:1], "invalid")
    assert reply.result() == JobFailed("target_refused_task")
    assert entry.take_messages(StopRuns)[0][1].runs == (runs[1],)


def test_job_that_fits_no_target_fails_at_once(entry):
    large = Resources(17_000, 64)
    reply = entry.submit(steps=(StepSpec(1, large, 0.4),))
    assert reply.result() == JobFailed("no_target_is_large_enough")
    reply = entry.submit(key="b" * 16, steps=(StepSpec(1, NEED, 0.4, label="gpu"),))
    assert isinstance(reply.result(), JobFailed)


def test_job_whose_label_no_linked_target_has_is_not_failed_for_good(entry):
    """Load pattern: a large fleet in which few targets have a label."""
    members = [Member(f"10.0.0.{n}:1", "guard", "recife", "n") for n in range(200)]
    members += [Member(f"10.0.1.{n}:1", "entry", "recife", "n") for n in range(40)]
    entry.deliver(MembersKnown(tuple(members)))
    reply = entry.submit(steps=(StepSpec(1, NEED, 0.4, label="gpu"),))
    assert reply.result() == Refused("label_not_linked", 1)
    before = len(entry.dispatcher.working_set.chosen)
    entry.advance(0.2)
    assert len(entry.dispatcher.working_set.chosen) > before


def test_guard_that_registers_is_dialled_at_once(entry):
    member = Member("10.0.0.7:1", "guard", "olinda", "side-7")
    entry.deliver(MembersKnown((member,)))
    dialled = [entry.links.queue.get_nowait() for _ in range(entry.links.queue.qsize())]
    assert MaintainLink(member.address) in dialled


@pytest.fixture
def surplus_guard(placed_job):
    """Return an entry instance with a job at a guard that left its working set."""
    entry, reply, runs = placed_job
    working_set = entry.dispatcher.working_set
    members = [Member(f"10.0.0.{n}:1", "guard", "recife", "n") for n in range(200)]
    working_set.add_members(members)
    working_set.order.remove(GUARD_1.address)
    for _ in range(round((SURPLUS_LINGER_S + 0.2) / GUARD_HEARTBEAT_INTERVAL_S)):
        entry.advance(GUARD_HEARTBEAT_INTERVAL_S)
        entry.send_heartbeat(GUARD_1)
    return entry, reply, runs


def test_link_to_a_guard_that_left_the_set_is_kept_while_it_has_runs(surplus_guard):
    entry, reply, runs = surplus_guard
    entry.take_messages(ConfirmLease)
    entry.advance(GUARD_HEARTBEAT_INTERVAL_S)
    entry.send_heartbeat(GUARD_1)
    assert len(entry.take_messages(ConfirmLease)) == 1
    assert RemovePeer(GUARD_1.address) not in entry.links.queue._queue
    for run in runs:
        entry.end_run(GUARD_1, run)
    assert reply.result() == Completed()
    entry.advance(0.2)
    assert RemovePeer(GUARD_1.address) in entry.links.queue._queue
    assert GUARD_1.address not in entry.dispatcher.peers


def test_guard_that_left_the_set_gets_no_new_runs(surplus_guard):
    entry, _, _ = surplus_guard
    entry.submit(key="b" * 16)
    assert entry.take_starts() == []


def test_job_cancelled_at_another_instance_is_cancelled_where_it_runs(placed_job):
    """The other instance may not be linked to the guards that have the runs."""
    entry, reply, runs = placed_job
    entry.deliver(CancelJobRuns("a" * 16), Incarnation("entry-2:1", "e2"))
    assert reply.result() == Abandoned("cancelled")
    ((to, stop),) = entry.take_messages(StopRuns)
    assert (to, set(stop.runs)) == (GUARD_1.address, set(runs))


def test_cancellation_is_sent_to_the_other_entry_instances(entry):
    entry.deliver(MembersKnown((Member("10.0.0.8:1", "entry", "recife", "e"),)))
    reply = entry.loop.create_future()
    entry.deliver(CancelPlan("calls.example", "/confirm/x", "a" * 16, reply))
    receivers = [to for to, _ in entry.take_messages(CancelJobRuns)]
    assert receivers == [GUARD_1.address, "10.0.0.8:1"]


def test_job_without_capacity_is_refused_early_and_never_started(entry):
    entry.send_heartbeat(GUARD_1, free=Resources())
    reply = entry.submit()
    objective_s = 0.4 * 1.6 + 0.06
    entry.advance(objective_s / 2)
    assert isinstance(reply.result(), Refused)
    assert reply.result().overloaded
    entry.send_heartbeat(GUARD_1)
    assert entry.take_starts() == []


def test_job_with_a_placed_task_is_not_refused(entry):
    entry.send_heartbeat(GUARD_1, free=NEED)
    reply = entry.submit()
    assert len(entry.take_starts()) == 1
    entry.advance(0.4)
    assert not reply.done()


def test_runs_are_stopped_when_the_caller_disconnects(placed_job):
    entry, reply, runs = placed_job
    entry.deliver(CallerDisconnected("a" * 16, reply))
    assert set(entry.take_messages(StopRuns)[0][1].runs) == set(runs)
    entry.end_run(GUARD_1, runs[0], "unwanted")
    entry.send_heartbeat(GUARD_1)
    assert entry.take_starts() == []


def test_job_past_its_deadline_is_answered_and_stopped(placed_job):
    entry, reply, _ = placed_job
    for _ in range(24):
        entry.advance(0.4)
        entry.send_heartbeat(GUARD_1)
    assert reply.result() == Abandoned("deadline")
    assert entry.take_messages(StopRuns)


def test_cancel_stops_the_job_and_is_sent_to_all_guards(placed_job):
    entry, reply, runs = placed_job
    cancelled = entry.loop.create_future()
    entry.deliver(
        CancelPlan("calls.example", "/confirm/" + "a" * 16, "a" * 16, cancelled)
    )
    assert cancelled.result() == JobState("cancelled")
    assert isinstance(reply.result(), Abandoned)
    assert entry.take_messages(CancelJobRuns)
    assert set(entry.take_messages(StopRuns)[0][1].runs) == set(runs)


def test_cancel_of_a_job_that_is_not_here_still_reaches_the_guards(entry):
    cancelled = entry.loop.create_future()
    entry.deliver(
        CancelPlan("calls.example", "/confirm/" + "c" * 16, "c" * 16, cancelled)
    )
    assert cancelled.result() == UnknownJob()
    assert entry.take_messages(CancelJobRuns) == [
        (GUARD_1.address, CancelJobRuns("c" * 16))
    ]


def test_job_state_and_queue_length_are_answered(placed_job):
    entry, _, _ = placed_job
    replies = [entry.loop.create_future() for _ in range(4)]
    host, path = "calls.example", "/confirm/" + "a" * 16
    entry.deliver(GetPlanState(host, path, "a" * 16, replies[0]))
    entry.deliver(GetPlanState(host, path, "b" * 16, replies[1]))
    entry.deliver(CountQueuedJobs(host, "/confirm/", replies[2]))
    entry.deliver(CountQueuedJobs(host, "/none/", replies[3]))
    assert [reply.result() for reply in replies] == [
        JobState("running"),
        UnknownJob(),
        0,
        NoQueue(),
    ]


def test_job_for_a_removed_queue_is_rejected(entry):
    entry.deliver(DirectivesChanged(Directives(2, Catalogue(9, QUEUES[:1]))))
    assert entry.submit(queue="check").result() == NoQueue()


def test_malformed_job_is_answered_with_the_problem(entry):
    reply = entry.submit(plan=None, problem="steps")
    assert reply.result() == BadJob("steps")


def test_job_waits_for_targets_announced_after_the_start(entry_without_guards):
    reply = entry_without_guards.submit()
    assert not reply.done()
    entry_without_guards.connect_guard(GUARD_1)
    assert len(entry_without_guards.take_starts()) == 2


def test_job_is_refused_at_once_without_targets_after_the_startup_grace(
    entry_without_guards,
):
    entry_without_guards.advance(STARTUP_GRACE_S + 0.1)
    assert entry_without_guards.submit().result() == Refused("no_target", 1)


def test_job_waits_shortly_for_the_first_configuration(loop):
    entry = DispatcherHarness(loop)
    reply = entry.submit()
    assert not reply.done()
    assert entry.delayed
    entry.advance(STARTUP_GRACE_S + 0.1)
    entry.deliver(entry.delayed.pop())
    assert reply.result() == Refused("no_configuration", 1)


def test_no_run_is_sent_to_a_zone_out_of_service(entry):
    entry.set_directives(stamp=2, zones_out=["recife"])
    entry.submit()
    assert entry.take_starts() == []


def test_heartbeat_is_confirmed_with_its_clock_and_the_zones_out(entry):
    entry.set_directives(stamp=5, zones_out=["olinda"])
    entry.take_messages(ConfirmLease)
    entry.send_heartbeat(GUARD_1)
    ((_, confirmation),) = entry.take_messages(ConfirmLease)
    assert confirmation == ConfirmLease(round(entry.time * 1000), 5, ("olinda",))


def test_guard_without_runs_is_told_when_the_directives_are_outdated(entry):
    """It reads the zones out of service itself from then on."""
    entry.take_messages(ConfirmLease)
    entry.store_answers = False
    silent_since = entry.time
    ages_ms = []
    for _ in range(30):
        entry.advance(0.2)
        entry.send_heartbeat(GUARD_1)
        ages_ms += [m.directives_age_ms for _, m in entry.take_messages(ConfirmLease)]
    assert len(ages_ms) == 1
    assert OUTDATED_AFTER_S <= ages_ms[0] / 1000 <= OUTDATED_AFTER_S + 0.25
    assert entry.time - silent_since > 5.0
    entry.store_answers = True
    entry.send_heartbeat(GUARD_1)
    ((_, confirmation),) = entry.take_messages(ConfirmLease)
    assert confirmation.directives_age_ms == 0


def test_order_carries_the_age_of_the_directives(entry):
    entry.store_answers = False
    entry.advance(0.1)
    entry.send_heartbeat(GUARD_1)
    entry.submit()
    ((_, order),) = entry.take_messages(StartRuns)
    assert order.directives_age_ms == 100


def test_no_run_is_sent_to_a_guard_that_reports_its_zone_out(entry):
    """It has read a zone that this entry instance does not know to be out."""
    entry.send_heartbeat(GUARD_1, status="zone_out")
    entry.submit()
    assert entry.take_starts() == []
    entry.send_heartbeat(GUARD_1)
    assert entry.take_starts() != []


def test_order_is_as_old_as_the_heartbeat_that_it_relies_on(entry):
    """A guard refuses an order that a network cut delayed by its timestamp."""
    heartbeat_ms = round(entry.time * 1000)
    entry.advance(0.3)
    entry.submit()
    ((_, order),) = entry.take_messages(StartRuns)
    assert order.guard_clock_ms == heartbeat_ms


def test_capacity_of_sent_runs_is_not_used_twice(entry):
    entry.submit(steps=(StepSpec(10, NEED, 0.4),))
    assert len(entry.take_starts()) == 10
    entry.submit(key="b" * 16, queue="check")
    assert entry.take_starts() == []


def test_accepted_runs_count_only_in_the_guards_report(entry):
    reply = entry.submit(steps=(StepSpec(4, NEED, 0.4),))
    runs = [run for _, run in entry.take_starts()]
    target_status = entry.send_heartbeat(GUARD_1, free=Resources(9_600, 32_000))
    entry.deliver(
        RunsAccepted(tuple(runs), target_status._replace(sequence=99)), GUARD_1
    )
    entry.submit(key="b" * 16, steps=(StepSpec(6, NEED, 0.4),))
    assert len(entry.take_starts()) == 6
    assert not reply.done()


def test_faster_target_is_chosen(entry):
    entry.connect_guard(GUARD_2, slowness=0.5)
    entry.submit()
    assert {to for to, _ in entry.take_starts()} == {GUARD_2.address}


def test_target_too_slow_for_the_objective_is_excluded_at_first(entry_without_guards):
    """Load pattern: a sixth of the targets runs tasks seven times slower."""
    entry_without_guards.connect_guard(GUARD_1, slowness=7.0)
    entry_without_guards.connect_guard(GUARD_2, free=Resources())
    entry_without_guards.connect_guard(GUARD_3, free=Resources())
    entry_without_guards.submit()
    assert entry_without_guards.take_starts() == []


def test_no_place_is_passed_over_when_all_targets_are_slow(entry_without_guards):
    """Load pattern: delayed answers make all targets look slow."""
    for guard in (GUARD_1, GUARD_2, GUARD_3):
        entry_without_guards.connect_guard(guard, slowness=7.0)
    entry_without_guards.submit()
    assert len(entry_without_guards.take_starts()) == 2


def test_new_target_gets_tasks_before_busy_ones(entry_without_guards):
    """Users saw new, empty targets idle while jobs waited for the older ones."""
    for guard in (GUARD_1, GUARD_2):
        free = Resources(2 * NEED.cpu_m, 32_000)
        entry_without_guards.connect_guard(guard, slowness=0.7, free=free)
    entry_without_guards.connect_guard(GUARD_3, slowness=0.0)
    entry_without_guards.submit()
    assert {to for to, _ in entry_without_guards.take_starts()} == {GUARD_3.address}


def test_targets_without_measurements_are_used(entry_without_guards):
    """Load pattern: all guards have restarted."""
    for guard in (GUARD_1, GUARD_2):
        entry_without_guards.connect_guard(guard, slowness=0.0)
    entry_without_guards.submit()
    assert len(entry_without_guards.take_starts()) == 2


def test_slow_place_is_better_than_a_refusal(entry_without_guards):
    entry_without_guards.connect_guard(GUARD_1, slowness=7.0)
    entry_without_guards.connect_guard(GUARD_2, free=Resources())
    entry_without_guards.connect_guard(GUARD_3, free=Resources())
    reply = entry_without_guards.submit()
    for _ in range(10):
        entry_without_guards.advance(0.02)
        for guard in (GUARD_2, GUARD_3):
            entry_without_guards.send_heartbeat(guard, free=Resources())
        entry_without_guards.send_heartbeat(GUARD_1, slowness=7.0)
    assert not reply.done()
    assert {to for to, _ in entry_without_guards.take_starts()} == {GUARD_1.address}


def test_small_job_is_placed_after_a_larger_one_when_the_guard_is_heard_again(entry):
    entry.send_heartbeat(GUARD_1, free=NEED)
    steps = (StepSpec(1, NEED.plus(NEED), 0.4),)
    entry.submit(key="b" * 16, steps=steps, queue="check", deadline_s=90.0)
    entry.advance(0.02)
    entry.time += MAX_SILENCE_FOR_NEW_RUNS_S
    reply = entry.submit(key="c" * 16, steps=(StepSpec(1, NEED, 0.4),))
    assert entry.take_starts() == []
    entry.send_heartbeat(GUARD_1, free=NEED)
    ((_, run),) = entry.take_starts()
    assert run.task.job == "c" * 16
    assert not reply.done()


def test_slow_place_is_taken_in_time_although_no_message_arrives(entry_without_guards):
    """Messages of the full targets lead to no placement any more."""
    entry_without_guards.connect_guard(GUARD_1, slowness=7.0)
    entry_without_guards.connect_guard(GUARD_2, free=Resources())
    entry_without_guards.connect_guard(GUARD_3, free=Resources())
    reply = entry_without_guards.submit()
    entry_without_guards.advance(0.26)
    assert not reply.done()
    assert {to for to, _ in entry_without_guards.take_starts()} == {GUARD_1.address}


def test_queues_share_scarce_capacity_equally(entry):
    """Load pattern: one queue needs many times the capacity of the other."""
    entry.send_heartbeat(GUARD_1, free=Resources())
    for number in range(8):
        entry.submit(key=f"a{number:015x}", queue="check")
    for number in range(4):
        entry.submit(key=f"b{number:015x}", queue="confirm")
    entry.send_heartbeat(GUARD_1, free=Resources(9_600, 32_000))
    started = [run.task.job[0] for _, run in entry.take_starts()]
    assert sorted(started) == ["a", "a", "b", "b", "b", "b"] or sorted(started) == [
        "a",
        "a",
        "a",
        "a",
        "b",
        "b",
    ]


def test_silent_guard_gets_no_runs_and_its_link_is_closed(placed_job):
    entry, _, _ = placed_job
    entry.advance(LINK_TIMEOUT_S + 0.1)
    assert CloseLink(GUARD_1.address) in list(entry.links.queue._queue)
    entry.submit(key="b" * 16)
    assert entry.take_starts() == []


def test_runs_of_a_silent_guard_go_elsewhere_only_once_they_are_certainly_gone(
    placed_job,
):
    entry, _, runs = placed_job
    silent_from = entry.time
    while entry.time < runs_gone_by(silent_from) - 0.05:
        entry.advance(0.1)
        entry.connect_guard(GUARD_2)
        assert entry.take_starts() == []
    while entry.time < runs_gone_by(silent_from) + 0.2:
        entry.advance(0.1)
        entry.connect_guard(GUARD_2)
    retried = entry.take_starts()
    assert {to for to, _ in retried} == {GUARD_2.address}
    assert all(run.run > runs[0].run for _, run in retried)


def test_reconnected_guard_keeps_its_runs_after_a_check(placed_job):
    entry, reply, runs = placed_job
    entry.deliver(LinkDown(GUARD_1.address))
    entry.connect_guard(GUARD_1)
    ((_, check),) = entry.take_messages(CheckRuns)
    assert set(check.runs) == set(runs)
    for run in runs:
        entry.end_run(GUARD_1, run)
    assert reply.result() == Completed()


def test_reconnected_guard_gets_the_list_of_runs_before_a_lease_confirmation(
    placed_job,
):
    """The order to stop the runs was lost when the link broke."""
    entry, reply, _ = placed_job
    entry.deliver(LinkDown(GUARD_1.address))
    entry.deliver(CallerDisconnected("a" * 16, reply))
    entry.sent.clear()
    entry.advance(0.2)
    entry.send_heartbeat(GUARD_1)
    assert entry.take_messages(ConfirmLease) == []
    entry.connect_guard(GUARD_1)
    sent = [body for to, body in entry.sent if to == GUARD_1.address]
    assert sent[0] == CheckRuns(())
    assert type(sent[1]) is ConfirmLease


def test_restarted_guard_is_asked_about_earlier_runs_once_ready(placed_job):
    entry, _, runs = placed_job
    entry.deliver(LinkDown(GUARD_1.address))
    restarted = GUARD_1._replace(nonce="g9")
    entry.connect_guard(restarted, status="unwell")
    assert entry.take_messages(CheckRuns) == []
    entry.send_heartbeat(restarted)
    entry.send_heartbeat(restarted)
    ((_, check),) = entry.take_messages(CheckRuns)
    assert set(check.runs) == set(runs)
    assert entry.take_starts() == []
    for run in runs:
        entry.end_run(restarted, run, "lost")
    assert len(entry.take_starts()) == 2


def test_runs_of_a_guards_earlier_incarnation_are_not_placed_again_on_reconnection(
    placed_job,
):
    """The guard would report them as lost, while its target may still run them."""
    entry, _, _ = placed_job
    entry.deliver(LinkDown(GUARD_1.address))
    restarted = GUARD_1._replace(nonce="g9")
    for _ in range(2):
        entry.connect_guard(restarted, status="unwell")
        entry.deliver(LinkDown(GUARD_1.address))
    asked = {run for _, check in entry.take_messages(CheckRuns) for run in check.runs}
    assert asked == set()


def test_late_heartbeat_of_a_guards_earlier_incarnation_ends_no_run(placed_job):
    """Its target is ready for that incarnation, not for the one that is asked."""
    entry, _, _ = placed_job
    entry.deliver(LinkDown(GUARD_1.address))
    entry.connect_guard(GUARD_1._replace(nonce="g9"), status="unwell")
    entry.send_heartbeat(GUARD_1)
    assert entry.take_messages(CheckRuns) == []


def test_report_of_a_guards_earlier_incarnation_does_not_make_the_next_one_ready(
    placed_job,
):
    """The next incarnation numbers its reports anew."""
    entry, _, _ = placed_job
    entry.send_heartbeat(GUARD_1)
    entry.deliver(LinkDown(GUARD_1.address))
    entry.sequence = 0
    entry.connect_guard(GUARD_1._replace(nonce="g9"), status="unwell")
    assert entry.take_messages(CheckRuns) == []


def test_end_that_another_guard_reports_places_no_second_run(placed_job):
    """It is about a run of a submission whose run numbers have been forgotten."""
    entry, _, runs = placed_job
    entry.connect_guard(GUARD_2)
    for run in runs:
        entry.end_run(GUARD_2, run, "lost")
    assert entry.take_starts() == []


def test_order_received_by_the_next_incarnation_is_not_placed_again(placed_job):
    """Orders are sent by address, also before the guard's restart is noticed."""
    entry, reply, runs = placed_job
    restarted = GUARD_1._replace(nonce="g9")
    entry.connect_guard(restarted)
    assert entry.take_starts() == []
    for run in runs:
        entry.end_run(restarted, run)
    assert reply.result() == Completed()


def test_process_that_stood_still_starts_no_more_tasks_of_its_jobs(placed_job):
    """The callers may have submitted the jobs to another entry instance."""
    entry, reply, runs = placed_job
    entry.time += 2.0
    entry.end_run(GUARD_1, runs[0], "owner_silent")
    assert reply.result() == Abandoned("stood_still")
    assert entry.take_starts() == []


def test_job_that_completes_after_a_suspension_is_still_answered(placed_job):
    entry, reply, runs = placed_job
    entry.time += 2.0
    for run in runs:
        entry.end_run(GUARD_1, run)
    assert reply.result() == Completed()


def test_task_refused_as_still_running_is_placed_again_without_a_timer(placed_job):
    """The refusal is sent once the earlier run has ended, so no delay is needed."""
    entry, _, runs = placed_job
    entry.refuse_runs(GUARD_1, runs, "still_running", number=3)
    entry.send_heartbeat(GUARD_1)
    assert entry.delayed == []
    assert [run.run for _, run in entry.take_starts()] == [4, 4]


@pytest.mark.parametrize(
    "reason", ["owner_silent", "stale_order", "zone_out", "zones_outdated"]
)
def test_refused_order_is_not_repeated_at_a_guard_before_its_next_heartbeat(
    entry, reason
):
    """Seen: 85 refusals of one owner's orders as `owner_silent` within 2 s."""
    entry.submit(steps=(StepSpec(1, NEED, 0.4),))
    ((_, run),) = entry.take_starts()
    entry.refuse_runs(GUARD_1, [run], reason)
    entry.advance(0.1)
    assert entry.take_starts() == []
    entry.send_heartbeat(GUARD_1)
    assert [to for to, _ in entry.take_starts()] == [GUARD_1.address]


@pytest.mark.parametrize(
    "reason", ["owner_silent", "stale_order", "zone_out", "zones_outdated"]
)
def test_task_refused_until_a_heartbeat_is_placed_at_another_guard_at_once(
    entry, reason
):
    entry.connect_guard(GUARD_2, slowness=2.0)
    entry.submit(steps=(StepSpec(1, NEED, 0.4),))
    ((_, run),) = entry.take_starts()
    entry.refuse_runs(GUARD_1, [run], reason)
    assert [to for to, _ in entry.take_starts()] == [GUARD_2.address]


def test_refusal_of_an_order_sent_before_the_newest_heartbeat_closes_no_guard(entry):
    """A guard that resumes refuses orders that queued there; newer ones are valid."""
    entry.submit(steps=(StepSpec(1, NEED, 0.4),))
    ((_, run),) = entry.take_starts()
    entry.advance(0.1)
    entry.send_heartbeat(GUARD_1)
    entry.refuse_runs(GUARD_1, [run], "stale_order")
    assert [to for to, _ in entry.take_starts()] == [GUARD_1.address]


def test_refusal_for_lack_of_capacity_does_not_close_the_guard(entry):
    entry.submit(steps=(StepSpec(1, NEED, 0.4),))
    ((_, run),) = entry.take_starts()
    entry.refuse_runs(GUARD_1, [run], "no_room")
    assert [to for to, _ in entry.take_starts()] == [GUARD_1.address]


def test_run_superseded_by_another_submission_ends_the_job(placed_job):
    entry, reply, runs = placed_job
    entry.end_run(GUARD_1, runs[0], "superseded")
    assert reply.result() == Abandoned("superseded")


def test_drain_finishes_open_jobs_before_it_completes(placed_job):
    entry, _, runs = placed_job
    entry.deliver(Drain())
    assert entry.ready is False
    for run in runs:
        entry.end_run(GUARD_1, run)
    assert entry.drained.queue.empty()
    for _ in range(8):
        entry.advance(MIN_DRAIN_S / 7)
        entry.send_heartbeat(GUARD_1)
    assert isinstance(entry.drained.queue.get_nowait(), DrainCompleted)
    assert entry.submit(key="b" * 16).result() == Refused("draining", 1)


def test_jobs_open_at_the_drain_deadline_are_answered(placed_job):
    entry, reply, _ = placed_job
    entry.deliver(Drain())
    entry.deliver(DrainDeadlinePassed())
    assert reply.result() == Abandoned("stopping")


def test_capacity_updates_are_requested_only_while_jobs_wait(entry):
    """Load pattern: a day of low load with many entry instances."""
    entry.set_directives()
    entry.connect_guard(GUARD_1, free=NEED)
    assert [
        confirmation.needs_capacity_updates
        for _, confirmation in entry.take_messages(ConfirmLease)
    ] == [False, False]  # one on each of two links
    entry.submit()  # two tasks, capacity for one
    assert [
        confirmation.needs_capacity_updates
        for _, confirmation in entry.take_messages(ConfirmLease)
    ] == [True]
    assert len(entry.take_starts()) == 1
    entry.send_heartbeat(GUARD_1, free=CAPACITY)
    assert len(entry.take_starts()) == 1
    entry.take_messages(ConfirmLease)
    entry.advance(0.6)
    entry.send_heartbeat(GUARD_1)
    assert entry.take_messages(ConfirmLease)[-1][1].needs_capacity_updates is False


def test_heartbeats_in_quick_succession_are_confirmed_once(entry):
    entry.set_directives()
    entry.connect_guard(GUARD_1)
    entry.submit()
    entry.take_messages(ConfirmLease)
    for _ in range(5):
        entry.send_heartbeat(GUARD_1)
    assert entry.take_messages(ConfirmLease) == []
    entry.time += 0.2
    entry.send_heartbeat(GUARD_1)
    assert len(entry.take_messages(ConfirmLease)) == 1


def test_request_for_capacity_updates_takes_no_heartbeats_confirmation_away(entry):
    """The shortest owner lease lasts for two heartbeats, and would end without it."""
    entry.set_directives()
    entry.connect_guard(GUARD_1)
    entry.submit()
    entry.advance(GUARD_HEARTBEAT_INTERVAL_S - 0.02)
    entry.dispatcher.request_capacity_updates(True)
    entry.time += 0.02
    entry.take_messages(ConfirmLease)
    entry.send_heartbeat(GUARD_1)
    ((_, confirmation),) = entry.take_messages(ConfirmLease)
    assert confirmation.guard_clock_ms == round(entry.time * 1000)


def test_guard_without_runs_is_told_only_changes(entry):
    """Load pattern: a quiet day; most guards have no run of an entry instance."""
    entry.take_messages(ConfirmLease)
    for _ in range(10):
        entry.advance(GUARD_HEARTBEAT_INTERVAL_S)
        entry.send_heartbeat(GUARD_1)
    assert entry.take_messages(ConfirmLease) == []
    entry.set_directives(stamp=5, zones_out=["olinda"])
    entry.send_heartbeat(GUARD_1)
    ((_, confirmation),) = entry.take_messages(ConfirmLease)
    assert (confirmation.store_version, confirmation.zones_out) == (5, ("olinda",))


def test_directives_are_told_again_on_a_new_link(entry):
    """The link broke with the confirmation that told them in transit."""
    entry.take_messages(ConfirmLease)
    entry.deliver(LinkDown(GUARD_1.address))
    entry.connect_guard(GUARD_1)
    assert len(entry.take_messages(ConfirmLease)) == 1


def test_every_heartbeat_of_a_guard_with_runs_is_confirmed(placed_job):
    entry, _, _ = placed_job
    entry.take_messages(ConfirmLease)
    for _ in range(5):
        entry.advance(GUARD_HEARTBEAT_INTERVAL_S)
        entry.send_heartbeat(GUARD_1)
        ((_, confirmation),) = entry.take_messages(ConfirmLease)
        assert confirmation.guard_clock_ms == round(entry.time * 1000)


def test_lease_is_not_extended_by_an_order_for_a_job_whose_caller_left(entry):
    """An order for another job extends the leases of all runs at the guard."""
    left = entry.submit(key="b" * 16)
    entry.take_starts()
    left.cancel()
    entry.submit(key="c" * 16)
    kinds = [type(body) for to, body in entry.sent if to == GUARD_1.address]
    assert kinds.index(StopRuns) < kinds.index(StartRuns)


def test_draining_entry_takes_what_still_ends_in_time(placed_job):
    """Load pattern: rolling restarts with callers that keep their connections."""
    entry, _, _ = placed_job
    entry.deliver(Drain())
    for _ in range(8):
        entry.advance(0.4)
        entry.send_heartbeat(GUARD_1)
    short = entry.submit(key="b" * 16)
    long = entry.submit(key="c" * 16, steps=(StepSpec(1, NEED, 1.8),))
    assert long.result() == Refused("draining", 1)
    assert not short.done()
    assert len(entry.take_starts()) == 2


def test_restarted_guard_gets_no_lease_confirmation_by_its_earlier_clock(entry):
    entry.connect_guard(GUARD_1)
    entry.take_messages(ConfirmLease)
    entry.deliver(Hello("guard", "recife", "guard-1"), GUARD_1._replace(nonce="later"))
    entry.dispatcher.request_capacity_updates(True)
    assert entry.take_messages(ConfirmLease) == []


def test_check_answered_after_a_refusal_places_no_second_run(entry):
    """Both reports are about the first order; the task was sent again since."""
    reply = entry.submit(steps=(StepSpec(1, NEED, 0.4),))
    ((_, run),) = entry.take_starts()
    entry.deliver(LinkDown(GUARD_1.address))
    entry.connect_guard(GUARD_1)
    entry.refuse_runs(GUARD_1, [run], "no_room")
    entry.send_heartbeat(GUARD_1)
    assert len(entry.take_starts()) == 1
    entry.end_run(GUARD_1, run, "lost")
    entry.send_heartbeat(GUARD_1)
    assert entry.take_starts() == []
    assert not reply.done()


@pytest.mark.parametrize("how", ["unwanted", "lapsed", "lost"])
def test_end_of_an_earlier_submissions_run_places_no_second_run(placed_job, how):
    """The report was in transit while the job was submitted to that guard again."""
    entry, reply, runs = placed_job
    entry.deliver(CallerDisconnected("a" * 16, reply))
    entry.submit()
    assert len(entry.take_starts()) == 2
    for run in runs:
        entry.end_run(GUARD_1, run, how)
    entry.send_heartbeat(GUARD_1)
    assert entry.take_starts() == []


def test_refusal_of_an_earlier_submissions_run_places_no_second_run(placed_job):
    entry, reply, runs = placed_job
    entry.deliver(CallerDisconnected("a" * 16, reply))
    entry.submit()
    assert len(entry.take_starts()) == 2
    entry.refuse_runs(GUARD_1, runs, "no_room")
    entry.send_heartbeat(GUARD_1)
    assert entry.take_starts() == []


def test_run_numbers_of_ended_jobs_expire(placed_job):
    entry, reply, _ = placed_job
    entry.deliver(CallerDisconnected("a" * 16, reply))
    entry.advance(RUN_NUMBERS_RETENTION_S + 0.1)
    assert entry.dispatcher.used_run_numbers == {}


def test_restarted_guard_with_another_target_is_asked_only_after_the_lease(placed_job):
    """The earlier target is still draining and may go on with its runs."""
    entry, _, runs = placed_job
    entry.deliver(LinkDown(GUARD_1.address))
    restarted = GUARD_1._replace(nonce="g9")
    entry.connect_guard(restarted, target="t-new")
    assert entry.take_starts() == []
    for _ in range(int(MAX_LEASE_S / 0.1)):
        entry.advance(0.1)
        entry.send_heartbeat(restarted, target="t-new")
        assert entry.take_starts() == []
        assert not any(check.runs for _, check in entry.take_messages(CheckRuns))
    entry.advance(0.2)
    entry.send_heartbeat(restarted, target="t-new")
    ((_, check),) = entry.take_messages(CheckRuns)
    assert set(check.runs) == set(runs)


def test_runs_of_a_restarted_guard_are_waited_out_where_targets_grant_longer_leases(
    loop,
):
    """The longest lease was taken to be 1 s in every deployment."""
    entry = DispatcherHarness(
        loop, derive_lease_times(DeploymentTimes(max_target_lease_ms=2_000))
    )
    entry.set_directives()
    entry.connect_guard(GUARD_1)
    entry.submit()
    runs = [run for _, run in entry.take_starts()]
    entry.deliver(LinkDown(GUARD_1.address))
    restarted = GUARD_1._replace(nonce="g9")
    entry.connect_guard(restarted, target="t-new")
    for _ in range(int(2 * MAX_LEASE_S / 0.1)):
        entry.advance(0.1)
        entry.send_heartbeat(restarted, target="t-new")
        assert not any(check.runs for _, check in entry.take_messages(CheckRuns))
    entry.advance(0.2)
    entry.send_heartbeat(restarted, target="t-new")
    ((_, check),) = entry.take_messages(CheckRuns)
    assert set(check.runs) == set(runs)


def test_restarted_guard_is_asked_only_after_an_earlier_target_has_stopped_its_runs(
    placed_job,
):
    """A target stops its runs within a while after their lease has expired."""
    entry, _, _ = placed_job
    entry.deliver(LinkDown(GUARD_1.address))
    restarted = GUARD_1._replace(nonce="g9")
    heard_at = entry.time
    entry.connect_guard(restarted, target="t-new")
    while entry.time + 0.02 < heard_at + MAX_LEASE_S + STOP_S:
        entry.advance(0.02)
        entry.send_heartbeat(restarted, target="t-new")
        assert entry.take_messages(CheckRuns) == []


def test_restarted_guard_whose_target_drains_is_asked_after_the_lease(placed_job):
    """A draining target never reports ready; past the lease its runs have stopped."""
    entry, _, runs = placed_job
    entry.deliver(LinkDown(GUARD_1.address))
    restarted = GUARD_1._replace(nonce="g9")
    entry.connect_guard(restarted, status="draining")
    entry.take_messages(CheckRuns)
    for _ in range(round(MAX_LEASE_S / 0.1) + 2):
        entry.advance(0.1)
        entry.send_heartbeat(restarted, status="draining")
    asked = {run for _, check in entry.take_messages(CheckRuns) for run in check.runs}
    assert asked == set(runs)


def test_submission_whose_caller_left_in_the_mailbox_starts_nothing(entry):
    """The connection closed while the submission waited in a long mailbox."""
    left = entry.loop.create_future()
    left.cancel()
    entry.submit(reply=left)
    assert entry.take_starts() == []
    assert entry.dispatcher.jobs == {}


def test_waiting_job_whose_callers_left_is_not_started(entry):
    """The message about the closed connection is still in the mailbox."""
    entry.send_heartbeat(GUARD_1, free=Resources())
    for reply in (entry.submit(), entry.submit()):
        reply.cancel()
    entry.send_heartbeat(GUARD_1)
    assert entry.take_starts() == []


def test_no_further_task_is_started_after_all_callers_left(entry):
    steps = (StepSpec(1, NEED, 0.1), StepSpec(1, NEED, 0.1, depends_on=(0,)))
    reply = entry.submit(steps=steps)
    ((_, first),) = entry.take_starts()
    reply.cancel()
    entry.end_run(GUARD_1, first)
    assert entry.take_starts() == []


def test_runs_of_callers_that_left_are_stopped_before_a_lease_confirmation(placed_job):
    """The message about the closed connection is behind a heartbeat in the mailbox."""
    entry, reply, runs = placed_job
    entry.sent.clear()
    reply.cancel()
    entry.time += 0.2
    entry.send_heartbeat(GUARD_1)
    stop, confirmation = (body for _, body in entry.sent)
    assert set(stop.runs) == set(runs)
    assert type(confirmation) is ConfirmLease


@pytest.mark.parametrize("left", [0, 1])
def test_job_runs_on_while_one_of_its_callers_waits(placed_job, left):
    entry, first_reply, runs = placed_job
    replies = [first_reply, entry.submit()]
    replies[left].cancel()
    entry.time += 0.2
    entry.send_heartbeat(GUARD_1)
    assert entry.take_messages(StopRuns) == []
    entry.deliver(CallerDisconnected("a" * 16, replies[left]))
    for run in runs:
        entry.end_run(GUARD_1, run)
    assert replies[1 - left].result() == Completed()


def test_job_handed_in_again_before_the_first_disconnection_is_handled(placed_job):
    """Both attempts of the caller are at this instance; the runs continue for it."""
    entry, first_reply, runs = placed_job
    first_reply.cancel()
    second_reply = entry.submit()
    entry.deliver(CallerDisconnected("a" * 16, first_reply))
    assert entry.take_starts() == []
    for run in runs:
        entry.end_run(GUARD_1, run)
    assert second_reply.result() == Completed()


def test_deadline_counts_from_the_arrival_of_the_request(entry):
    """The request lay in the buffers of a process without processor time."""
    entry.submit(arrived_at=entry.time - 0.1, steps=(StepSpec(2, NEED, 4.0),))
    ((_, order),) = entry.take_messages(StartRuns)
    assert order.remaining_ms == 8_900


def test_request_that_arrived_before_its_deadline_starts_nothing_after_it(entry):
    reply = entry.submit(arrived_at=entry.time - 9.1)
    assert entry.take_starts() == []
    assert isinstance(reply.result(), Refused)


def test_waiting_job_is_not_started_after_its_deadline(entry):
    """A heartbeat with free capacity is handled before the tick that ends the job."""
    entry.send_heartbeat(GUARD_1, free=Resources())
    entry.submit(deadline_s=0.3, steps=(StepSpec(2, NEED, 4.0),))
    entry.time += 0.4
    entry.send_heartbeat(GUARD_1)
    assert entry.take_starts() == []


def test_runs_past_their_deadline_are_stopped_before_a_lease_confirmation(entry):
    """The caller is behind a half-open connection and has stopped waiting."""
    entry.submit(deadline_s=0.3, steps=(StepSpec(2, NEED, 4.0),))
    entry.sent.clear()
    entry.time += 0.4
    entry.send_heartbeat(GUARD_1)
    assert [type(body) for _, body in entry.sent] == [StopRuns, ConfirmLease]


def test_wait_for_the_first_configuration_does_not_extend_the_deadline(loop):
    entry = DispatcherHarness(loop)
    entry.submit(steps=(StepSpec(2, NEED, 4.0),))
    entry.time += 0.4
    entry.set_directives()
    entry.connect_guard(GUARD_1)
    entry.deliver(entry.delayed.pop())
    ((_, order),) = entry.take_messages(StartRuns)
    assert order.remaining_ms == 8_600


@pytest.fixture
def paused_entry(placed_job):
    """Return an entry instance whose process was just suspended for 0.3 s.

    The event loop has not read the sockets since.
    """
    entry, reply, runs = placed_job
    entry.advance(0.02)
    entry.send_heartbeat(GUARD_1)
    entry.sent.clear()
    entry.hold_passes = True
    entry.time += 0.3
    return entry, reply, runs


@pytest.mark.parametrize("earlier", [[], [Tick()]], ids=["no_message", "tick"])
def test_no_lease_is_confirmed_after_a_pause_before_the_sockets_are_read(
    paused_entry, earlier
):
    """The end of the caller's connection is read after the guard's heartbeat."""
    entry, reply, runs = paused_entry
    for message in earlier:
        entry.deliver(message)
    entry.send_heartbeat(GUARD_1)
    entry.deliver(Tick())
    assert entry.sent == []
    reply.cancel()
    entry.run_passes()
    stop, confirmation = (body for _, body in entry.sent)
    assert set(stop.runs) == set(runs)
    assert confirmation.guard_clock_ms == round(entry.time * 1000)


def test_no_task_is_started_after_a_pause_before_the_sockets_are_read(paused_entry):
    entry, _, _ = paused_entry
    left, waits = entry.submit(key="b" * 16), entry.submit(key="c" * 16)
    assert entry.take_starts() == []
    left.cancel()
    entry.run_passes()
    assert {run.task.job for _, run in entry.take_starts()} == {"c" * 16}
    assert not waits.done()


def test_guard_of_a_broken_link_gets_no_late_lease_confirmation(paused_entry):
    entry, _, _ = paused_entry
    entry.send_heartbeat(GUARD_1)
    entry.deliver(LinkDown(GUARD_1.address))
    entry.run_passes()
    assert entry.take_messages(ConfirmLease) == []


def test_leases_are_confirmed_at_once_while_the_process_runs(placed_job):
    """Load pattern: a usual day; nothing waits for another pass of the event loop."""
    entry, _, _ = placed_job
    entry.hold_passes = True
    for _ in range(5):
        entry.take_messages(ConfirmLease)
        entry.advance(0.2)
        entry.send_heartbeat(GUARD_1)
        assert len(entry.take_messages(ConfirmLease)) == 1
    entry.submit(key="b" * 16)
    assert len(entry.take_starts()) == 2
    assert entry.next_pass == []


def crash_under_next_runs(entry, age_ms):
    """Crash the target under all runs that were just sent; return their number."""
    runs = [run for _, run in entry.take_starts()]
    entry.crash_target(GUARD_1, runs, age_ms)
    return len(runs)


def test_job_is_failed_once_a_task_crashed_two_targets_as_it_started(entry):
    reply = entry.submit()
    crash_under_next_runs(entry, EARLY_RUN_MS)
    assert not reply.done()
    crash_under_next_runs(entry, EARLY_RUN_MS)
    assert reply.result() == JobFailed("task_crashes_targets")
    assert entry.take_starts() == []


def test_job_whose_runs_were_under_way_outlives_crashes_up_to_the_limit(entry):
    """It is more likely to have been beside the task that crashed the targets."""
    reply = entry.submit()
    for _ in range(MAX_CRASHES - 1):
        crash_under_next_runs(entry, EARLY_RUN_MS + 1)
        assert not reply.done()
    crash_under_next_runs(entry, EARLY_RUN_MS + 1)
    assert reply.result() == JobFailed("task_crashes_targets")


def test_crash_counts_once_however_often_it_is_reported(entry):
    reply = entry.submit()
    runs = [run for _, run in entry.take_starts()]
    crashed = tuple(CrashedRun(run, 0) for run in runs)
    for _ in range(MAX_CRASHES):
        entry.deliver(RunsCrashed(crashed), GUARD_1)
    entry.end_crashed_runs(GUARD_1, runs)
    assert not reply.done()
    assert [run.task for _, run in entry.take_starts()] == [run.task for run in runs]


def test_job_that_crashed_targets_elsewhere_is_failed_at_once(entry):
    """Its entry instance was killed, and its caller submits it here."""
    task = TaskName("a" * 16, 0, 0, 0)
    for number in (1, 2):
        entry.deliver(RunsCrashed((CrashedRun(RunName(task, number), 0),)), GUARD_1)
    assert entry.submit().result() == JobFailed("task_crashes_targets")
    assert entry.take_starts() == []


def test_crashes_are_forgotten_after_their_retention(entry):
    task = TaskName("a" * 16, 0, 0, 0)
    for number in (1, 2):
        entry.deliver(RunsCrashed((CrashedRun(RunName(task, number), 0),)), GUARD_1)
    entry.time += RECORD_RETENTION_S
    entry.send_heartbeat(GUARD_1)
    entry.advance(0.02)
    assert not entry.submit().done()


def test_crash_is_passed_on_to_entry_instances_without_a_link_to_the_guard(entry):
    """A job's caller may submit it to any of them once its entry instance is gone."""
    members = [Member(f"entry-{n}:1", "entry", "olinda", "e") for n in (1, 2)]
    entry.deliver(MembersKnown(tuple(members)))
    crashed = (CrashedRun(RunName(TaskName("a" * 16, 0, 0, 0), 1), 0),)
    entry.deliver(RunsCrashed(crashed, pass_on=True), GUARD_1)
    passed_on = entry.take_messages(RunsCrashed)
    assert [to for to, _ in passed_on] == [member.address for member in members]
    assert {body for _, body in passed_on} == {RunsCrashed(crashed, GUARD_1.address)}


def test_crash_counts_once_if_it_is_also_passed_on(entry):
    reply = entry.submit()
    runs = [run for _, run in entry.take_starts()]
    crashed = tuple(CrashedRun(run, 0) for run in runs)
    entry.deliver(RunsCrashed(crashed), GUARD_1)
    entry.deliver(RunsCrashed(crashed, GUARD_1.address), Incarnation("entry-1:1", "e"))
    assert not reply.done()


def test_start_without_an_answer_is_no_evidence_that_a_task_crashed_its_target(entry):
    """Seen on the bench: a job was failed whose task had been under one crash."""
    reply = entry.submit()
    for _ in range(MAX_POSSIBLE_CRASHES - 1):
        runs = [run for _, run in entry.take_starts()]
        crashed = tuple(CrashedRun(run, 0, was_running=False) for run in runs)
        entry.deliver(RunsCrashed(crashed), GUARD_1)
        entry.end_crashed_runs(GUARD_1, runs)
        assert not reply.done()


def test_task_that_may_have_crashed_five_targets_is_not_started_again(entry):
    reply = entry.submit()
    for _ in range(MAX_POSSIBLE_CRASHES):
        for _, run in entry.take_starts():
            entry.end_run(GUARD_1, run, "crashed")
    assert reply.result() == Abandoned("too_many_crashes")
    assert entry.submit().result() == Abandoned("too_many_crashes")
    assert entry.take_starts() == []


def test_restarted_entry_instance_learns_of_earlier_crashes_from_its_peers(entry, loop):
    """Seen: the count of a task's crashes ended with the process that kept it."""
    task = TaskName("a" * 16, 0, 0, 0)
    for number in (1, 2):
        entry.deliver(RunsCrashed((CrashedRun(RunName(task, number), 0),)), GUARD_1)
    entry.deliver(Hello("entry", "olinda", "e"), Incarnation("entry-2:1", "new"))
    restarted = DispatcherHarness(loop)
    restarted.set_directives()
    restarted.connect_guard(GUARD_2)
    for to, report in entry.take_messages(RunsCrashed):
        assert to == "entry-2:1"
        restarted.deliver(report, Incarnation("entry-1:1", "old"))
    assert restarted.submit().result() == JobFailed("task_crashes_targets")


@pytest.fixture
def entry_with_suspect(entry):
    """Return an entry instance with three guards and a job that is under suspicion.

    The job, of one task, waits for the target that is set apart; its guard is given.
    """
    for guard in (GUARD_2, GUARD_3):
        entry.connect_guard(guard)
    reply = entry.submit(steps=(StepSpec(1, NEED, 0.4),))
    ((address, run),) = entry.take_starts()
    guards = {guard.address: guard for guard in (GUARD_1, GUARD_2, GUARD_3)}
    crashed = (CrashedRun(run, EARLY_RUN_MS),)
    entry.deliver(RunsCrashed(crashed), guards[address])
    (chosen,) = choose_quarantine("visits", guards)
    entry.end_crashed_runs(guards[address], [run])
    return entry, reply, guards[chosen]


def test_suspect_runs_in_isolation_on_a_target_that_is_set_apart(entry_with_suspect):
    entry, _, apart = entry_with_suspect
    ((address, order),) = entry.take_messages(StartRuns)
    assert address == apart.address
    assert [run.isolated for run in order.runs] == [True]


def test_other_work_keeps_away_from_a_target_that_is_set_apart(entry_with_suspect):
    entry, _, apart = entry_with_suspect
    entry.take_starts()
    entry.submit("b" * 16, steps=(StepSpec(12, NEED, 0.4),))
    starts = entry.take_starts()
    assert len(starts) == 12
    assert apart.address not in {address for address, _ in starts}


def test_other_work_returns_to_the_target_after_the_suspicion(entry_with_suspect):
    entry, reply, apart = entry_with_suspect
    ((_, run),) = entry.take_starts()
    entry.end_run(apart, run)
    assert reply.result() == Completed()
    entry.time += QUARANTINE_LINGER_S
    for guard in (GUARD_1, GUARD_2, GUARD_3):
        entry.send_heartbeat(guard)
    entry.submit("b" * 16, steps=(StepSpec(30, NEED, 0.4),))
    assert apart.address in {address for address, _ in entry.take_starts()}


def test_suspects_of_two_jobs_do_not_share_a_target(entry_with_suspect):
    entry, _, apart = entry_with_suspect
    ((_, first),) = entry.take_starts()
    task = TaskName("b" * 16, 0, 0, 0)
    entry.deliver(RunsCrashed((CrashedRun(RunName(task, 1), 0),)), GUARD_2)
    entry.submit("b" * 16, steps=(StepSpec(1, NEED, 0.4),))
    assert entry.take_starts() == []
    entry.end_run(apart, first)
    entry.send_heartbeat(apart)
    entry.advance(0.02)
    assert [(to, run.task) for to, run in entry.take_starts()] == [
        (apart.address, task)
    ]


def test_suspect_that_waits_does_not_hold_up_its_queue(entry_with_suspect):
    entry, _, _ = entry_with_suspect
    entry.take_starts()
    task = TaskName("b" * 16, 0, 0, 0)
    entry.deliver(RunsCrashed((CrashedRun(RunName(task, 1), 0),)), GUARD_2)
    entry.submit("b" * 16, steps=(StepSpec(1, NEED, 0.4),))
    entry.submit("c" * 16, steps=(StepSpec(1, NEED, 0.4),))
    assert [run.task.job for _, run in entry.take_starts()] == ["c" * 16]


def test_target_that_crashed_under_a_suspect_is_not_replaced_at_once(
    entry_with_suspect,
):
    """Otherwise the suspects would take one target after the other."""
    entry, reply, apart = entry_with_suspect
    ((_, run),) = entry.take_starts()
    crashed = (CrashedRun(run, 0, isolated=True),)
    entry.deliver(RunsCrashed(crashed), apart)
    entry.end_crashed_runs(apart, [run])
    assert reply.result() == JobFailed("task_crashes_targets")
    entry.send_heartbeat(apart, status="unwell")
    task = TaskName("b" * 16, 0, 0, 0)
    entry.deliver(RunsCrashed((CrashedRun(RunName(task, 1), 0),)), GUARD_2)
    entry.submit("b" * 16, steps=(StepSpec(1, NEED, 0.4),))
    assert entry.take_starts() == []
    entry.send_heartbeat(apart)
    entry.advance(0.02)
    assert [to for to, _ in entry.take_starts()] == [apart.address]


def test_run_that_was_under_way_when_its_target_crashed_is_placed_as_before(entry):
    """Most machines fail under the usual work, which must not wait for few targets."""
    entry.connect_guard(GUARD_2)
    entry.submit()
    runs = [run for _, run in entry.take_starts()]
    crashed = tuple(CrashedRun(run, EARLY_RUN_MS + 1) for run in runs)
    entry.deliver(RunsCrashed(crashed), GUARD_1)
    entry.end_crashed_runs(GUARD_1, runs)
    orders = entry.take_messages(StartRuns)
    assert {run.isolated for _, order in orders for run in order.runs} == {False}


@pytest.mark.parametrize("enforced", [True, False])
def test_target_that_does_not_guard_its_capacity_waits_for_its_report(
    entry_without_guards, enforced
):
    """A restarted guard knows the capacity from the store; it may have shrunk since."""
    entry = entry_without_guards
    entry.set_directives(2, services=(Service("visits", enforced),))
    entry.connect_guard(GUARD_1, capacity_is_current=False)
    entry.submit()
    assert bool(entry.take_starts()) == enforced
    entry.send_heartbeat(GUARD_1)
    assert bool(entry.take_starts()) != enforced


def test_suspect_does_not_wait_for_the_target_that_crashed_under_it(entry):
    """Seen: the target that was set apart had itself failed, and kept its place."""
    guards = {guard.address: guard for guard in (GUARD_1, GUARD_2, GUARD_3)}
    (apart,) = choose_quarantine("visits", guards)
    for guard in guards.values():
        entry.connect_guard(guard, free=CAPACITY if guard.address == apart else NEED)
    entry.submit(steps=(StepSpec(1, NEED, 0.4),))
    ((address, run),) = entry.take_starts()
    assert address == apart
    entry.deliver(RunsCrashed((CrashedRun(run, 0),)), guards[apart])
    entry.send_heartbeat(guards[apart], status="unwell")
    entry.end_crashed_runs(guards[apart], [run])
    ((address, _),) = entry.take_starts()
    assert address != apart


def test_only_target_of_a_service_is_not_set_apart(entry):
    """Nothing else would be left for the other jobs."""
    entry.submit(steps=(StepSpec(1, NEED, 0.4),))
    ((_, run),) = entry.take_starts()
    entry.crash_target(GUARD_1, [run])
    (order,) = [order for _, order in entry.take_messages(StartRuns)]
    assert [run.isolated for run in order.runs] == [False]
    entry.submit("b" * 16, steps=(StepSpec(1, NEED, 0.4),))
    assert [run.task.job for _, run in entry.take_starts()] == ["b" * 16]


def test_suspect_waits_for_room_on_the_only_target_of_its_service(entry):
    entry.submit(steps=(StepSpec(1, NEED, 0.4),))
    ((_, run),) = entry.take_starts()
    entry.deliver(RunsCrashed((CrashedRun(run, 0),)), GUARD_1)
    entry.send_heartbeat(GUARD_1, free=Resources(0, 0))
    entry.end_crashed_runs(GUARD_1, [run])
    entry.advance(0.02)
    assert entry.take_starts() == []
    entry.send_heartbeat(GUARD_1)
    assert [run.task.job for _, run in entry.take_starts()] == ["a" * 16]


def test_crashes_that_a_peer_repeats_set_no_target_apart_again(entry_with_suspect):
    """Entry instances repeat all that they recorded whenever they are linked."""
    entry, _, apart = entry_with_suspect
    ((_, run),) = entry.take_starts()
    entry.end_run(apart, run)
    entry.time += QUARANTINE_LINGER_S
    known = entry.dispatcher.crash_records.crashed_runs().items()
    for guard, runs in list(known):
        report = RunsCrashed(tuple(runs), guard)
        entry.deliver(report, Incarnation("entry-2:1", "e"))
    for guard in (GUARD_1, GUARD_2, GUARD_3):
        entry.send_heartbeat(guard)
    entry.submit("b" * 16, steps=(StepSpec(30, NEED, 0.4),))
    assert apart.address in {address for address, _ in entry.take_starts()}


def test_crashes_that_a_peer_repeats_are_forgotten_in_time(entry):
    task = TaskName("a" * 16, 0, 0, 0)
    reports = [RunsCrashed((CrashedRun(RunName(task, n), 0),)) for n in (1, 2)]
    for report in reports:
        entry.deliver(report, GUARD_1)
    entry.time += RECORD_RETENTION_S - 1
    for report in reports:
        repeated = report._replace(guard=GUARD_1.address)
        entry.deliver(repeated, Incarnation("entry-2:1", "e"))
    entry.time += 1
    entry.send_heartbeat(GUARD_1)
    entry.advance(0.02)
    assert not entry.submit().done()
