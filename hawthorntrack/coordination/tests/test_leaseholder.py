"""Tests of the lease holder: runs, leases, and targets that fail or do not answer."""

from functools import partial

import pytest

from hawthorntrack.coordination import leases
from hawthorntrack.coordination.answer_times import MAX_ORDER_TIMEOUT_S, AnswerTimes
from hawthorntrack.coordination.leaseholder import (
    CAPACITY_REPORT_FANOUT,
    LeaseHolder,
    ReportCapacity,
)
from hawthorntrack.coordination.leases import (
    MAX_CLOCK_DRIFT_FACTOR,
    TargetClockReading,
    to_target_clock_ms,
)
from hawthorntrack.coordination.retries import (
    BUDGET_FLOOR_PER_S,
    TARGET_BUDGET_BURST,
    TARGET_BUDGET_RATIO,
)
from hawthorntrack.coordination.run_controller import (
    MAX_UNANSWERED_START_RETRIES,
    NO_CAPACITY_PAUSE_S,
    STOP_RETRY_DELAY_S,
)
from hawthorntrack.coordination.run_reconciler import RENEWAL_LONG_POLL_S
from hawthorntrack.protocol.links import LinkDown
from hawthorntrack.protocol.local import Drain, ZonesRead
from hawthorntrack.protocol.run_messages import (
    CancelJobRuns,
    CheckRuns,
    ConfirmLease,
    CrashedRun,
    GuardHeartbeat,
    Hello,
    RunOrder,
    RunsAccepted,
    RunsCrashed,
    RunsEnded,
    RunsRefused,
    StartRuns,
    StopRuns,
)
from hawthorntrack.protocol.target_messages import (
    ORDER_TIMEOUT_S,
    RenewLeaseOrder,
    RenewLeaseReply,
    StartOrder,
    StartReply,
    StopOrder,
    StopReply,
    TargetDeparted,
    TargetHeartbeat,
)
from hawthorntrack.state.actor import Delivery
from hawthorntrack.state.directives import ZonesAsOf
from hawthorntrack.state.lease_times import DeploymentTimes, derive_lease_times
from hawthorntrack.state.mailbox import Mailbox, Tick
from hawthorntrack.state.plans import (
    RunEnd,
    RunName,
    RunStatus,
    TargetIncarnation,
    TargetState,
    TaskName,
)
from hawthorntrack.state.resources import Resources
from hawthorntrack.state.values import Incarnation

ENTRY = Incarnation("entry:1", "e1")
OTHER = Incarnation("entry:2", "e2")
NEED = Resources(1_600, 64)
INCARNATION = TargetIncarnation("t1", 100)
MAX_IMMEDIATE_STOPS = 8
# As long as an order waits for its answer.
MIN_STOP_RETRY_DELAY_S = 0.05
# Lowest rate that is specified for targets' clocks.
SLOWEST_CLOCK_RATE = 0.98
# Specified time from a broken connection, 502 or 504 to the caller's next attempt.
CALLER_RETRY_S = 1.3
LEASE_TIMES = derive_lease_times(DeploymentTimes())
OWNER_LEASE_S = LEASE_TIMES.owner_lease_s
TARGET_LEASE_S = LEASE_TIMES.target_lease_s
MAX_STOP_DURATION_S = LEASE_TIMES.stop_duration_s
MAX_TARGET_LEASE_S = LEASE_TIMES.max_target_lease_s
runs_gone_by = partial(leases.runs_gone_by, LEASE_TIMES)


class OrderMailbox(Mailbox):
    """Mailbox for orders to the target that also records their lease ends."""

    def __init__(self) -> None:
        super().__init__("calls")
        self.leases_ms = []

    def put(self, order):
        super().put(order)
        lease_end_ms = getattr(order, "lease_end_ms", None)
        self.leases_ms += [] if lease_end_ms is None else [lease_end_ms]


class Guard:
    """A lease holder with a clock and mailboxes that the test controls."""

    def __init__(self, lease_times=LEASE_TIMES) -> None:
        self.time = 1_000.0
        self.suspended_s = 0.0
        self.target_suspended_s = 0.0
        self.clock_rate = 1.0
        self.calls = OrderMailbox()
        self.target_record = Mailbox("memory")
        self.zone_reader = Mailbox("zone_reader")
        self.sent = []
        self.holder = LeaseHolder(
            lambda address, body: self.sent.append((address, body)),
            self.calls,
            self.target_record,
            Mailbox("drained"),
            self.zone_reader,
            lambda: self.time,
            first_token=50,
            lease_times=lease_times,
            awake_clock=lambda: self.time - self.suspended_s,
        )
        self.holder.post_later = lambda delay_s, message: None

    def deliver(self, body, sender=None):
        self.holder.handle(Delivery(sender, body) if sender else body)

    def wait(self, seconds):
        self.time += seconds
        self.deliver(Tick())

    def suspend(self, seconds, with_target=True):
        """Suspend the guard's machine, where the target may run as well."""
        self.time += seconds
        self.suspended_s += seconds
        self.target_suspended_s += seconds if with_target else 0.0

    def target_clock_ms(self):
        """Return the time of the target's clock."""
        awake_s = self.time - 1_000 - self.target_suspended_s
        return 5_000 + round(awake_s * 1_000 * self.clock_rate)

    def longest_lease_end(self):
        """Return when the target's clock reaches the end of the longest lease."""
        awake_s = (max(self.calls.leases_ms) - 5_000) / 1_000 / self.clock_rate
        return 1_000 + self.target_suspended_s + awake_s

    def take_orders(self, kind):
        queue = self.calls.queue
        items = [queue.get_nowait() for _ in range(queue.qsize())]
        for item in items:
            if type(item) is not kind:
                queue.put_nowait(item)
        return [item for item in items if type(item) is kind]

    def take_messages(self, kind):
        matching = [body for _, body in self.sent if type(body) is kind]
        self.sent = [item for item in self.sent if type(item[1]) is not kind]
        return matching

    def announce(
        self,
        incarnation=INCARNATION,
        sequence=1,
        draining=False,
        stored=False,
        **changes,
    ):
        state = TargetState(
            incarnation,
            "visits",
            "10.0.0.1:80",
            "recife",
            draining,
            Resources(16_000, 32_768),
            ("a", "r1"),
            sequence,
            5_000,
        )
        self.deliver(TargetHeartbeat(state._replace(**changes), stored))

    def answer_renewals(self, running=(), ended=(), outcome="held"):
        """Answer all renewals that were sent, with the same run lists; return them."""
        orders = self.take_orders(RenewLeaseOrder)
        for order in orders:
            born_ms = order.target.incarnation.born_ms
            lists = (tuple(running), tuple(ended))
            self.deliver(
                RenewLeaseReply(order, outcome, self.target_clock_ms(), born_ms, *lists)
            )
        return orders

    def order_runs(
        self, count=1, job="a" * 16, number=1, age_s=0.0, remaining_ms=9_000
    ):
        """Deliver an order of runs from the entry instance; return the runs' names."""
        names = [RunName(TaskName(job, 0, 0, i), number) for i in range(count)]
        runs = tuple(RunOrder(name, NEED, 400) for name in names)
        guard_clock_ms = round((self.time - age_s) * 1000)
        self.deliver(StartRuns(guard_clock_ms, "spec", remaining_ms, runs), ENTRY)
        return names

    def answer_starts(self, outcome="started"):
        orders = self.take_orders(StartOrder)
        for order in orders:
            self.deliver(StartReply(order, outcome, self.target_clock_ms()))
        return orders


@pytest.fixture
def guard(run):
    """Return a guard whose target is ready and whose entry instance is linked."""
    guard = Guard()
    guard.announce()
    guard.answer_renewals()
    guard.deliver(Hello("entry", "recife", "entry-1"), ENTRY)
    guard.deliver(ConfirmLease(round(guard.time * 1000), 1, ()), ENTRY)
    return guard


@pytest.fixture
def running(guard):
    """Return a guard with one run in progress, and the run's name."""
    (name,) = guard.order_runs()
    guard.answer_starts()
    guard.time += 0.01
    guard.answer_renewals([RunStatus(name, 1)])
    return guard, name


def test_run_is_started_under_a_lease_and_its_end_is_reported(running):
    guard, name = running
    assert [message.runs for message in guard.take_messages(RunsAccepted)] == [(name,)]
    guard.answer_renewals(ended=[RunEnd(1, name, "done")])
    (ended,) = guard.take_messages(RunsEnded)
    assert [(e.name, e.end_state) for e in ended.endings] == [(name, "done")]
    (renewal,) = guard.take_orders(RenewLeaseOrder)
    assert renewal.ends_seen == 1


def test_lease_of_a_start_is_no_longer_than_the_target_lease(guard):
    guard.order_runs()
    (start,) = guard.take_orders(StartOrder)
    assert start.lease_end_ms <= 5_000 + 1_000 * TARGET_LEASE_S


@pytest.mark.parametrize("clock_rate", [SLOWEST_CLOCK_RATE, 1.0])
def test_lease_from_an_old_clock_reading_is_not_too_long_on_a_slow_clock(
    guard, clock_rate
):
    guard.clock_rate = clock_rate
    guard.time += 3.0
    guard.order_runs()
    assert guard.take_orders(StartOrder) != []
    assert guard.longest_lease_end() <= guard.time + TARGET_LEASE_S


def test_capacity_of_unfinished_runs_counts_as_occupied(guard):
    guard.order_runs(count=12)
    (accepted,), (refused,) = (
        guard.take_messages(RunsAccepted),
        guard.take_messages(RunsRefused),
    )
    assert (len(accepted.runs), len(refused.runs)) == (10, 2)
    assert refused.reason == "no_room"
    assert accepted.target_status.free.cpu_m == 0


def test_order_that_was_delayed_is_refused(guard):
    guard.order_runs(age_s=OWNER_LEASE_S + 0.01)
    (refused,) = guard.take_messages(RunsRefused)
    assert refused.reason == "stale_order"
    assert guard.take_orders(StartOrder) == []


def test_run_in_a_zone_out_of_service_is_refused(guard):
    guard.deliver(ConfirmLease(round(guard.time * 1000), 7, ("recife",)), ENTRY)
    guard.order_runs()
    assert [r.reason for r in guard.take_messages(RunsRefused)] == ["zone_out"]


def confirm_with_age(guard, age_s, entry=ENTRY):
    """Confirm the lease with directives that the store last confirmed so long ago."""
    clock_ms, age_ms = round(guard.time * 1000), round(age_s * 1000)
    guard.deliver(ConfirmLease(clock_ms, 1, (), False, age_ms), entry)


def answer_zone_reads(guard, version, zones_out):
    """Answer the guard's reads of the zones; None for zones that cannot be read."""
    queue = guard.zone_reader.queue
    requests = [queue.get_nowait() for _ in range(queue.qsize())]
    zones = None if zones_out is None else ZonesAsOf(version, frozenset(zones_out))
    for request in requests:
        guard.deliver(ZonesRead(zones, request.asked_at))
    return len(requests)


def test_zone_out_takes_effect_while_the_store_rejects_all_entry_instances(guard):
    """Seen: guards went on starting tasks in the zone for as long as that lasted."""
    for tenths in range(30):
        guard.wait(0.1)
        confirm_with_age(guard, (tenths + 1) / 10)
        answer_zone_reads(guard, 7, ["recife"])
    (name,) = guard.order_runs()
    assert guard.take_orders(StartOrder) == []
    (refused,) = guard.take_messages(RunsRefused)
    assert (refused.runs, refused.reason) == ((name,), "zone_out")


def test_zone_out_is_reported_to_entry_instances_that_do_not_know_it(guard):
    """They stop placing there at once, instead of being refused order by order."""
    confirm_with_age(guard, 3.0)
    guard.time += 3.0
    guard.wait(0.1)
    answer_zone_reads(guard, 7, ["recife"])
    guard.take_messages(GuardHeartbeat)
    guard.deliver(ReportCapacity())
    (heartbeat,) = guard.take_messages(GuardHeartbeat)
    assert heartbeat.target_status.status == "zone_out"


def test_zone_that_the_guard_read_out_is_back_with_newer_directives(guard):
    guard.time += 3.0
    confirm_with_age(guard, 3.0)
    answer_zone_reads(guard, 7, ["recife"])
    confirm_with_age(guard, 0.1)
    guard.order_runs()
    assert guard.take_orders(StartOrder) == []
    guard.deliver(ConfirmLease(round(guard.time * 1000), 9, ()), ENTRY)
    guard.order_runs(job="b" * 16)
    assert len(guard.take_orders(StartOrder)) == 1


def test_runs_are_started_while_the_store_is_away_for_all(guard):
    for tenths in range(80):
        guard.wait(0.1)
        confirm_with_age(guard, (tenths + 1) / 10)
        answer_zone_reads(guard, 0, None)
        guard.answer_renewals()
        guard.announce(sequence=tenths + 2)
    guard.order_runs()
    assert len(guard.take_orders(StartOrder)) == 1


def test_guard_on_a_calm_day_does_not_read_the_zones(guard):
    for _ in range(100):
        guard.wait(0.1)
        confirm_with_age(guard, 0.7)
    assert answer_zone_reads(guard, 0, None) == 0


def test_order_on_old_directives_is_refused_until_the_zones_were_read(guard):
    """It is from an entry instance that was frozen, and has not asked the store yet."""
    guard.time += 60.0
    guard.announce(sequence=2)
    order = StartRuns(
        round(guard.time * 1000),
        "spec",
        9_000,
        (RunOrder(RunName(TaskName("a" * 16, 0, 0, 0), 1), NEED, 400),),
        directives_age_ms=60_000,
    )
    guard.deliver(order, ENTRY)
    assert [r.reason for r in guard.take_messages(RunsRefused)] == ["zones_outdated"]
    assert answer_zone_reads(guard, 7, []) == 1
    guard.deliver(order, ENTRY)
    assert len(guard.take_orders(StartOrder)) == 1


def test_entry_instance_that_is_gone_causes_no_reads(guard):
    guard.time += 3.0
    guard.deliver(LinkDown(ENTRY.address))
    guard.wait(0.1)
    assert answer_zone_reads(guard, 0, None) == 0


def test_late_message_of_an_entry_instance_that_is_gone_causes_no_reads(guard):
    guard.time += 3.0
    guard.deliver(LinkDown(ENTRY.address))
    confirm_with_age(guard, 3.0)
    guard.wait(3.0)
    assert answer_zone_reads(guard, 0, None) == 0


def test_late_update_of_zones_does_not_replace_a_newer_one(guard):
    guard.deliver(ConfirmLease(round(guard.time * 1000), 7, ("recife",)), ENTRY)
    guard.deliver(ConfirmLease(round(guard.time * 1000), 6, ()), ENTRY)
    guard.order_runs()
    assert [r.reason for r in guard.take_messages(RunsRefused)] == ["zone_out"]


def test_run_on_a_draining_target_is_refused(guard):
    guard.announce(sequence=2, draining=True)
    guard.order_runs()
    assert [r.reason for r in guard.take_messages(RunsRefused)] == ["draining"]


def test_late_heartbeat_does_not_replace_a_newer_one(guard):
    guard.announce(sequence=3, draining=True)
    guard.announce(sequence=2)
    guard.order_runs()
    assert [r.reason for r in guard.take_messages(RunsRefused)] == ["draining"]


def test_heartbeat_of_an_earlier_incarnation_is_ignored(running):
    guard, _ = running
    guard.announce(TargetIncarnation("t1", 50), sequence=9)
    assert guard.take_messages(RunsEnded) == []


@pytest.fixture
def crashed(running):
    """Return a guard whose target restarted under its id, and the run's name."""
    guard, name = running
    guard.take_orders(RenewLeaseOrder)
    guard.announce(TargetIncarnation("t1", 200))
    return guard, name


def test_runs_have_crashed_with_their_target_once_its_next_incarnation_has_none(
    crashed,
):
    """A start sent between the crash and its detection runs in the new incarnation."""
    guard, name = crashed
    assert guard.take_messages(RunsEnded) == []
    (stop,) = guard.take_orders(StopOrder)
    assert (stop.target.incarnation, stop.name) == (TargetIncarnation("t1", 200), name)
    guard.time += 0.01
    guard.deliver(StopReply(stop, "stopped", 10))
    guard.time += 0.01
    guard.answer_renewals()
    guard.time += 0.01
    guard.answer_renewals()
    (ended,) = guard.take_messages(RunsEnded)
    assert [(e.name, e.end_state) for e in ended.endings] == [(name, "crashed")]


def test_crash_is_reported_to_all_entry_instances_with_the_ages_of_the_runs(running):
    """The owner may be gone; its callers submit their jobs to another instance."""
    guard, name = running
    guard.deliver(Hello("entry", "recife", "entry-2"), OTHER)
    started_at = guard.holder.sessions["t1"].runs[name.task].started_at
    guard.wait(0.1)
    age_ms = round((guard.time - started_at) * 1000)
    for _ in range(2):
        guard.answer_renewals(outcome="unreachable")
        guard.wait(TARGET_LEASE_S)
    guard.wait(MAX_STOP_DURATION_S)
    reports = [(to, body) for to, body in guard.sent if type(body) is RunsCrashed]
    assert sorted(to for to, _ in reports) == [ENTRY.address, OTHER.address]
    assert {body.runs for _, body in reports} == {(CrashedRun(name, age_ms),)}
    assert sorted(body.pass_on for _, body in reports) == [False, True]


def test_start_without_an_answer_is_reported_as_not_known_to_have_run(guard):
    (name,) = guard.order_runs()
    for _ in range(MAX_UNANSWERED_START_RETRIES + 1):
        guard.answer_starts("unanswered")
    for _ in range(2):
        guard.answer_renewals(outcome="unreachable")
        guard.wait(TARGET_LEASE_S)
    guard.wait(MAX_STOP_DURATION_S)
    (report,) = guard.take_messages(RunsCrashed)
    assert [(run.name, run.was_running) for run in report.runs] == [(name, False)]


@pytest.mark.parametrize(
    "outcome, end_state", [("unreachable", "crashed"), ("unanswered", "lapsed")]
)
def test_crash_of_a_target_is_told_from_its_silence(running, outcome, end_state):
    guard, _ = running
    for _ in range(2):
        guard.answer_renewals(outcome=outcome)
        guard.wait(TARGET_LEASE_S)
    guard.wait(MAX_STOP_DURATION_S)
    (ended,) = guard.take_messages(RunsEnded)
    assert [ending.end_state for ending in ended.endings] == [end_state]


def test_target_that_leaves_after_its_notice_has_not_crashed(running):
    guard, _ = running
    guard.announce(sequence=2, draining=True)
    for _ in range(2):
        guard.answer_renewals(outcome="unreachable")
        guard.wait(TARGET_LEASE_S)
    guard.wait(MAX_STOP_DURATION_S)
    (ended,) = guard.take_messages(RunsEnded)
    assert [ending.end_state for ending in ended.endings] == ["lapsed"]


def test_run_that_ended_in_the_new_incarnation_is_done(crashed):
    guard, name = crashed
    guard.time += 0.01
    guard.answer_renewals(ended=[RunEnd(1, name, "done")])
    (ended,) = guard.take_messages(RunsEnded)
    assert [(e.name, e.end_state) for e in ended.endings] == [(name, "done")]


def test_incarnation_known_only_from_a_run_list_gets_no_runs(running):
    """It may be of another kind, which only its first heartbeat shows."""
    guard, _ = running
    for order in guard.take_orders(RenewLeaseOrder):
        guard.deliver(RenewLeaseReply(order, "held", 10, 200, (), ()))
    (stop,) = guard.take_orders(StopOrder)
    assert stop.target.incarnation == TargetIncarnation("t1", 200)
    guard.answer_renewals()
    guard.take_messages(RunsRefused)
    guard.order_runs(job="b" * 16)
    assert [r.reason for r in guard.take_messages(RunsRefused)] == ["unwell"]
    guard.announce(TargetIncarnation("t1", 200))
    finish_stop(guard, stop)
    # From now on, the inherited lease no longer overruns the lease of a new order.
    guard.time += 0.1
    guard.order_runs(job="c" * 16)
    assert guard.take_messages(RunsRefused) == []


def announce_restart_at_once(guard):
    """Announce a new incarnation of the target."""
    guard.announce(TargetIncarnation("t1", 200))


def reveal_restart_in_a_run_list(guard):
    """Answer renewals with the run list of a new incarnation."""
    for order in guard.take_orders(RenewLeaseOrder):
        guard.deliver(RenewLeaseReply(order, "held", 10, 200, (), ()))


def announce_restart_after_the_runs_lapsed(guard):
    """Announce a new incarnation of the target after its runs have lapsed."""
    guard.answer_renewals(outcome="unreachable")
    guard.wait(2.0)
    guard.announce(TargetIncarnation("t1", 200))


def announce_restart_after_another_target_answered(guard):
    """Announce a new incarnation after another target has answered at the address."""
    guard.answer_renewals(outcome="other_life")
    guard.announce(TargetIncarnation("t1", 200))


def announce_restart_after_the_session_was_dropped(guard):
    """Announce a new incarnation after the guard has dropped the target's session."""
    guard.answer_renewals(outcome="unreachable")
    guard.wait(2.0)
    guard.wait(20.0)
    assert not guard.holder.sessions
    guard.announce(TargetIncarnation("t1", 200))


@pytest.mark.parametrize(
    "restart",
    [
        announce_restart_at_once,
        reveal_restart_in_a_run_list,
        announce_restart_after_the_runs_lapsed,
        announce_restart_after_another_target_answered,
        announce_restart_after_the_session_was_dropped,
    ],
)
def test_first_order_to_a_new_incarnation_fences_orders_to_the_one_before(
    guard, restart
):
    """The new incarnation has the same id and would execute late orders."""
    guard.order_runs()
    (start,) = guard.answer_starts("fenced")
    (start,) = guard.answer_starts()
    restart(guard)
    orders = guard.take_orders(RenewLeaseOrder) + guard.take_orders(StopOrder)
    first = [o for o in orders if o.target.incarnation == TargetIncarnation("t1", 200)]
    assert first
    assert all(order.token > start.token for order in first)


def test_late_start_of_a_lapsed_run_is_fenced_by_the_next_order_to_its_address(guard):
    """A new incarnation may be listening there before it announces itself."""
    guard.order_runs()
    (start,) = guard.answer_starts()
    while not guard.take_messages(RunsEnded):
        guard.answer_renewals(outcome="unanswered")
        guard.wait(0.1)
    guard.answer_renewals(outcome="unanswered")
    guard.wait(0.1)
    orders = guard.take_orders(RenewLeaseOrder)
    assert orders
    assert all(order.token > start.token for order in orders)


def test_start_without_an_answer_yet_is_fenced_once_its_run_counts_as_lapsed(running):
    """A slow target has longer to answer than its runs have to stop."""
    guard, name = running
    session = guard.holder.current_session()
    session.answer_times = AnswerTimes(mean_s=MAX_ORDER_TIMEOUT_S)
    guard.deliver(StopRuns((name,)), ENTRY)
    guard.answer_renewals(outcome="unanswered")
    guard.time = session.lease_end - 0.01
    guard.order_runs(job="b" * 16)
    (start,) = guard.take_orders(StartOrder)
    guard.take_orders(RenewLeaseOrder)
    session.pending_renewal = None
    guard.wait(MAX_STOP_DURATION_S + 0.02)
    (ended,) = guard.take_messages(RunsEnded)
    assert "b" * 16 in [ending.name.task.job for ending in ended.endings]
    assert guard.time < start.sent_at + start.timeout_s
    renewals = guard.take_orders(RenewLeaseOrder)
    assert renewals
    assert all(order.token > start.token for order in renewals)


def test_unreadable_heartbeat_changes_nothing(running):
    guard, _ = running
    guard.deliver(TargetHeartbeat("no state"))
    assert guard.take_messages(RunsEnded) == []


@pytest.fixture
def departed(running):
    """Return a guard whose target has sent its departure, and the run's name."""
    guard, name = running
    guard.deliver(TargetDeparted("t1"))
    return guard, name


def test_departure_message_delayed_by_a_network_cut_ends_no_run(departed):
    """It may be from an earlier incarnation; only the run list shows what runs."""
    guard, name = departed
    assert guard.take_messages(RunsEnded) == []
    guard.answer_renewals([RunStatus(name, 5)])
    assert guard.take_messages(RunsEnded) == []
    guard.answer_renewals(ended=[RunEnd(1, name, "done")])
    (ended,) = guard.take_messages(RunsEnded)
    assert [(e.name, e.end_state) for e in ended.endings] == [(name, "done")]


@pytest.mark.parametrize("outcome", ["unreachable", "other_life"])
def test_runs_of_a_departed_target_are_lost_once_its_end_is_proved(departed, outcome):
    guard, name = departed
    assert guard.take_messages(RunsEnded) == []
    guard.answer_renewals(outcome=outcome)
    (ended,) = guard.take_messages(RunsEnded)
    assert [(e.name, e.end_state) for e in ended.endings] == [(name, "lost")]


@pytest.mark.parametrize("outcome", ["unsent", "unanswered"])
def test_runs_of_a_departed_target_that_does_not_answer_end_with_their_lease(
    departed, outcome
):
    guard, _ = departed
    guard.answer_renewals(outcome=outcome)
    guard.wait(0.5)
    guard.answer_renewals(outcome=outcome)
    assert guard.take_messages(RunsEnded) == []
    guard.wait(1.5)
    (ended,) = guard.take_messages(RunsEnded)
    assert [e.end_state for e in ended.endings] == ["lapsed"]


def test_departed_target_gets_no_runs_until_its_next_heartbeat(departed):
    guard, name = departed
    guard.answer_renewals([RunStatus(name, 5)])
    guard.order_runs(job="b" * 16)
    assert [r.reason for r in guard.take_messages(RunsRefused)] == ["draining"]
    guard.announce(sequence=2)
    guard.order_runs(job="c" * 16)
    assert guard.take_messages(RunsRefused) == []


def test_target_heard_after_its_departure_message_keeps_its_runs(departed):
    guard, _ = departed
    guard.announce(sequence=2)
    guard.answer_renewals(outcome="unreachable")
    assert guard.take_messages(RunsEnded) == []


def test_token_is_raised_until_the_target_accepts_it(guard):
    guard.order_runs()
    tokens = [guard.answer_starts("fenced")[0].token for _ in range(4)]
    assert tokens == sorted(set(tokens))
    assert guard.take_messages(RunsRefused) == []


def test_run_number_used_by_an_earlier_guard_is_raised(guard):
    guard.order_runs()
    guard.answer_starts("old_run")
    guard.answer_starts("old_run")
    (order,) = guard.answer_starts()
    assert order.name.run > 2


def test_late_start_is_retried_with_the_corrected_clock(guard):
    guard.order_runs()
    (first,) = guard.take_orders(StartOrder)
    guard.deliver(StartReply(first, "late", 9_000))
    (retry,) = guard.take_orders(StartOrder)
    assert retry.lease_end_ms > first.lease_end_ms + 3_000


@pytest.mark.parametrize(
    ("outcome", "reason"),
    [("no_room", "no_room"), ("invalid", "invalid"), ("unwell", "unwell")],
)
def test_run_is_refused_when_the_target_refuses_its_start(guard, outcome, reason):
    (name,) = guard.order_runs()
    guard.answer_starts(outcome)
    (refused,) = guard.take_messages(RunsRefused)
    assert (refused.runs, refused.reason) == ((name,), reason)


def test_unwell_target_gets_no_runs_for_a_while(guard):
    guard.order_runs()
    guard.answer_starts("unwell")
    guard.take_messages(RunsRefused)
    guard.order_runs(job="b" * 16)
    assert [r.reason for r in guard.take_messages(RunsRefused)] == ["unwell"]


def test_unanswered_start_is_retried_under_the_same_number(guard):
    (name,) = guard.order_runs()
    guard.answer_starts("unanswered")
    assert [order.name for order in guard.answer_starts()] == [name]
    assert guard.take_orders(StopOrder) == []


def leave_starts_unanswered(guard):
    """Answer neither a start nor its retries."""
    for _ in range(1 + MAX_UNANSWERED_START_RETRIES):
        guard.answer_starts("unanswered")


def test_unanswered_start_is_found_in_the_run_list(guard):
    (name,) = guard.order_runs()
    leave_starts_unanswered(guard)
    guard.time += 0.01
    guard.answer_renewals([RunStatus(name, 5)])
    guard.answer_renewals(ended=[RunEnd(1, name, "done")])
    assert guard.take_orders(StopOrder) == []
    assert guard.take_messages(RunsEnded)[0].endings[0].end_state == "done"


def test_unanswered_start_is_fenced_by_a_stop_before_its_run_is_reported(guard):
    """The order may still be executed until its run number has been stopped."""
    (name,) = guard.order_runs()
    leave_starts_unanswered(guard)
    guard.time += 0.01
    guard.deliver(Tick())
    guard.holder.request_run_list(guard.holder.current_session())
    guard.answer_renewals()
    (stop,) = guard.take_orders(StopOrder)
    assert guard.take_messages(RunsEnded) == []
    guard.deliver(StopReply(stop, "stopped", 5_000))
    guard.time += 0.01
    guard.holder.request_run_list(guard.holder.current_session())
    guard.answer_renewals()
    (ended,) = guard.take_messages(RunsEnded)
    assert [(e.name, e.end_state) for e in ended.endings] == [
        (name, "start_unanswered")
    ]


def test_start_executed_seconds_late_is_fenced_by_the_next_order(guard):
    """Otherwise it starts a run that has been reported as ended meanwhile."""
    guard.order_runs()
    (unanswered,) = guard.answer_starts("unanswered")
    (repeated,) = guard.take_orders(StartOrder)
    assert repeated.token > unanswered.token


def test_renewal_executed_seconds_late_is_fenced_by_the_next_order(running):
    """Otherwise it extends the lease of runs while the guard is suspended."""
    guard, _ = running
    (unanswered,) = guard.take_orders(RenewLeaseOrder)
    guard.deliver(RenewLeaseReply(unanswered, "unanswered"))
    tokens = {order.token for order in guard.take_orders(RenewLeaseOrder)}
    assert tokens
    assert min(tokens) > unanswered.token


def test_stop_executed_seconds_late_is_fenced_by_the_next_order(running):
    guard, name = running
    guard.deliver(StopRuns((name,)), ENTRY)
    (unanswered,) = guard.take_orders(StopOrder)
    guard.deliver(StopReply(unanswered, "unanswered"))
    (repeated,) = guard.take_orders(StopOrder)
    assert repeated.token > unanswered.token


def test_refusal_of_an_overtaken_order_does_not_raise_the_token(guard):
    """Steps that double without need would exceed the range of a token."""
    guard.order_runs(count=2)
    first, second = guard.take_orders(StartOrder)
    guard.deliver(StartReply(first, "unanswered"))
    (repeated,) = guard.take_orders(StartOrder)
    guard.deliver(StartReply(second, "fenced", guard.target_clock_ms()))
    (overtaken,) = guard.take_orders(StartOrder)
    assert overtaken.token == repeated.token


def test_unanswered_stop_is_retried(running):
    guard, name = running
    guard.deliver(StopRuns((name,)), ENTRY)
    (stop,) = guard.take_orders(StopOrder)
    guard.deliver(StopReply(stop, "unanswered"))
    assert len(guard.take_orders(StopOrder)) == 1


def test_stop_sent_before_its_start_was_answered_is_still_retried(guard):
    (name,) = guard.order_runs()
    guard.deliver(StopRuns((name,)), ENTRY)
    guard.answer_starts()
    (stop,) = guard.take_orders(StopOrder)
    guard.deliver(StopReply(stop, "unanswered"))
    assert [retry.name for retry in guard.take_orders(StopOrder)] == [name]


def test_answered_stop_of_another_run_of_its_task_ends_no_run(running):
    """An earlier guard's run of the task was stopped as unknown before."""
    guard, name = running
    guard.deliver(StopRuns((name,)), ENTRY)
    (stop,) = guard.take_orders(StopOrder)
    other = stop._replace(name=name._replace(run=name.run + 1))
    guard.time += 0.01
    guard.deliver(StopReply(other, "stopped", guard.target_clock_ms()))
    guard.time += 0.01
    guard.holder.request_run_list(guard.holder.current_session())
    guard.answer_renewals()
    assert guard.take_messages(RunsEnded) == []


def fail_stops(guard, outcome):
    """Let stops fail without delay; return the messages that the guard posts itself."""
    posted = []
    guard.holder.post_later = lambda delay_s, message: posted.append((delay_s, message))
    for _ in range(MAX_IMMEDIATE_STOPS):
        for stop in guard.take_orders(StopOrder):
            guard.deliver(StopReply(stop, outcome))
    assert guard.take_orders(StopOrder) == []
    return [item for item in posted if not isinstance(item[1], ReportCapacity)]


@pytest.mark.parametrize("outcome", ["unreachable", "unsent", "unanswered", "unwell"])
def test_stops_that_fail_immediately_are_not_retried_in_a_busy_loop(running, outcome):
    """A closed port refuses immediately, and each order opens a connection."""
    guard, name = running
    guard.deliver(StopRuns((name,)), ENTRY)
    for _ in range(3):
        ((delay_s, retry),) = fail_stops(guard, outcome)
        assert delay_s >= MIN_STOP_RETRY_DELAY_S
        guard.deliver(retry)
        (stop,) = guard.take_orders(StopOrder)
        assert stop.name == name
        guard.calls.put(stop)


def test_stop_of_a_run_that_ended_meanwhile_is_not_retried(running):
    guard, name = running
    guard.deliver(StopRuns((name,)), ENTRY)
    ((_, retry),) = fail_stops(guard, "unreachable")
    guard.answer_renewals(ended=[RunEnd(1, name, "stopped")])
    guard.deliver(retry)
    assert guard.take_orders(StopOrder) == []


def test_lease_is_not_renewed_while_a_stop_gets_no_answer(running):
    guard, name = running
    guard.deliver(StopRuns((name,)), ENTRY)
    granted = list(guard.calls.leases_ms)
    lose_stops(guard, name, confirming=True)
    assert guard.take_orders(RenewLeaseOrder) != []
    assert guard.calls.leases_ms == granted


def test_lease_is_renewed_once_a_stop_is_answered(guard):
    """Other runs on the target depend on the same lease."""
    names = guard.order_runs(count=2)
    guard.answer_starts()
    guard.take_orders(RenewLeaseOrder)
    guard.deliver(StopRuns(names[:1]), ENTRY)
    (stop,) = guard.take_orders(StopOrder)
    guard.deliver(StopReply(stop, "stopped", guard.target_clock_ms()))
    assert [
        renewal.lease_end_ms is None for renewal in guard.take_orders(RenewLeaseOrder)
    ] == [False]


@pytest.fixture
def slow_running(running):
    """Return a guard with a newly extended owner lease and a slow target clock."""
    guard, name = running
    guard.clock_rate = SLOWEST_CLOCK_RATE
    guard.time += 0.2
    guard.deliver(ConfirmLease(round(guard.time * 1000), 1, ()), ENTRY)
    guard.answer_renewals([RunStatus(name, 2)])
    return guard, name


def lose_stops(guard, name, confirming, seconds=1.6):
    """Let time pass while renewals are answered and stops are not."""
    for step in range(round(seconds / 0.05)):
        guard.time += 0.05
        for stop in guard.take_orders(StopOrder):
            guard.deliver(StopReply(stop, "unanswered"))
        if confirming and step % 4 == 0:
            guard.deliver(ConfirmLease(round(guard.time * 1000), 1, ()), ENTRY)
        guard.answer_renewals([RunStatus(name, 3 + step)])
        if step % 2:
            guard.deliver(Tick())


RUNNING_RUN = RunName(TaskName("a" * 16, 0, 0, 0), 1)


@pytest.mark.parametrize(
    ("message", "sender"),
    [
        (Tick(), None),
        (LinkDown(ENTRY.address), None),
        (Hello("entry", "recife", "entry-1"), ENTRY._replace(nonce="e2")),
        (StopRuns((RUNNING_RUN,)), ENTRY),
        (CheckRuns(()), ENTRY),
        (CancelJobRuns(RUNNING_RUN.task.job), OTHER),
    ],
    ids=["silent", "killed", "restarted", "job_ended", "relinked", "cancelled"],
)
def test_obsolete_run_whose_stops_are_lost_ends_before_its_caller_retries(
    slow_running, message, sender
):
    guard, name = slow_running
    obsolete_at = guard.time
    guard.deliver(message, sender)
    lose_stops(
        guard, name, confirming=type(message) in (StopRuns, CheckRuns, CancelJobRuns)
    )
    assert (
        guard.longest_lease_end() + MAX_STOP_DURATION_S < obsolete_at + CALLER_RETRY_S
    )


def test_run_that_goes_on_after_its_stop_was_answered_ends_before_its_caller_retries(
    slow_running,
):
    """A target that is slowed down answers at once and stops the run late."""
    guard, name = slow_running
    obsolete_at = guard.time
    guard.deliver(StopRuns((name,)), ENTRY)
    for _ in range(32):
        guard.time += 0.05
        for stop in guard.take_orders(StopOrder):
            guard.deliver(StopReply(stop, "stopped", guard.target_clock_ms()))
        guard.deliver(ConfirmLease(round(guard.time * 1000), 1, ()), ENTRY)
        guard.answer_renewals([RunStatus(name, 3)])
        guard.deliver(Tick())
    assert (
        guard.longest_lease_end() + MAX_STOP_DURATION_S < obsolete_at + CALLER_RETRY_S
    )


@pytest.mark.parametrize("suspended_s", [0.55, 0.65, 0.95, 2.0])
@pytest.mark.parametrize("stops_lost", [False, True])
@pytest.mark.parametrize("with_machine", [False, True])
def test_runs_at_a_suspended_guard_do_not_outlast_their_owner(
    slow_running, suspended_s, stops_lost, with_machine
):
    """After the suspension, the answer to a renewal is handled before any tick."""
    guard, name = slow_running
    owner_gone_at = guard.time
    if with_machine:
        guard.suspend(suspended_s, with_target=False)
    else:
        guard.time += suspended_s
    guard.answer_renewals([RunStatus(name, 3)])
    if stops_lost:
        lose_stops(guard, name, confirming=False)
    assert guard.longest_lease_end() + MAX_STOP_DURATION_S <= runs_gone_by(
        owner_gone_at
    )
    assert (
        guard.longest_lease_end() + MAX_STOP_DURATION_S < owner_gone_at + CALLER_RETRY_S
    )


@pytest.mark.parametrize("suspended_s", [0.0, 0.3, 0.55, 0.95])
@pytest.mark.parametrize(
    "deployment_times",
    [
        {"caller_retry_ms": 1_000},
        {"stop_ms": 200},
        {"caller_retry_ms": 1_100, "stop_ms": 80},
        {"max_target_lease_ms": 2_000},
    ],
)
def test_runs_end_before_the_retry_that_the_deployment_gives(
    run, deployment_times, suspended_s
):
    """Lease times were constants that held for one set of deployment times only."""
    given = DeploymentTimes(**deployment_times)
    guard = Guard(derive_lease_times(given))
    guard.clock_rate = SLOWEST_CLOCK_RATE
    guard.announce()
    guard.answer_renewals()
    guard.deliver(Hello("entry", "recife", "entry-1"), ENTRY)
    (name,) = guard.order_runs()
    guard.answer_starts()
    owner_gone_at = guard.time
    guard.time += suspended_s
    guard.answer_renewals([RunStatus(name, 2)])
    lose_stops(guard, name, confirming=False)
    stopped_at = guard.longest_lease_end() + given.stop_ms / 1_000
    assert stopped_at <= leases.runs_gone_by(guard.holder.lease_times, owner_gone_at)
    assert stopped_at < owner_gone_at + given.caller_retry_ms / 1_000


def test_runs_count_as_lapsed_only_after_the_longest_lease_of_the_deployment(run):
    guard = Guard(derive_lease_times(DeploymentTimes(max_target_lease_ms=2_000)))
    guard.announce()
    guard.answer_renewals()
    (name,) = guard.order_runs()
    guard.answer_starts()
    guard.answer_renewals([RunStatus(name, 1)])
    guard.announce(INCARNATION._replace(born_ms=200))
    granted_at = guard.time
    while guard.time < granted_at + 2.0 / SLOWEST_CLOCK_RATE + 0.05:
        guard.take_orders(StopOrder)
        guard.answer_renewals(outcome="unanswered")
        guard.deliver(Tick())
        assert guard.take_messages(RunsEnded) == []
        guard.time += 0.1
    guard.time += 0.1
    guard.deliver(Tick())
    assert [e.end_state for m in guard.take_messages(RunsEnded) for e in m.endings] == [
        "lapsed"
    ]


@pytest.mark.parametrize("age_s", [0.0, 0.3, 0.5])
@pytest.mark.parametrize("suspended_s", [0.3, 3.0])
def test_start_on_a_target_suspended_with_its_guard_does_not_outlast_its_owner(
    guard, suspended_s, age_s
):
    """The end of the lease lay ahead of the target's clock by the suspension."""
    guard.clock_rate = SLOWEST_CLOCK_RATE
    guard.suspend(suspended_s)
    guard.time += age_s
    last_heard_at = guard.time - age_s
    guard.order_runs(age_s=age_s)
    (start,) = guard.take_orders(StartOrder)
    longest_ms = guard.target_clock_ms() + 1_000 * LEASE_TIMES.max_target_lease_s
    guard.calls.leases_ms = [min(start.lease_end_ms, longest_ms)]
    assert guard.longest_lease_end() + MAX_STOP_DURATION_S <= runs_gone_by(
        last_heard_at
    )


def test_start_under_a_lease_that_a_suspension_prolonged_does_not_outlast_its_owner(
    running,
):
    """Leases on a target that is suspended with its guard end later."""
    guard, _ = running
    guard.deliver(Hello("entry", "olinda", "entry-2"), OTHER)
    last_heard_at = guard.time
    guard.suspend(0.5)
    order = RunOrder(RunName(TaskName("b" * 16, 0, 0, 0), 1), NEED, 400)
    guard_clock_ms = round(last_heard_at * 1000)
    guard.deliver(StartRuns(guard_clock_ms, "spec", 9_000, (order,)), OTHER)
    assert guard.take_orders(
        StartOrder
    ) == [] or guard.longest_lease_end() + MAX_STOP_DURATION_S <= runs_gone_by(
        last_heard_at
    )


def test_runs_lapse_only_after_a_lease_that_a_suspension_prolonged(running):
    guard, _ = running
    guard.answer_renewals(outcome="unanswered")
    guard.suspend(0.5)
    while guard.time < guard.longest_lease_end():
        guard.answer_renewals(outcome="unanswered")
        guard.deliver(Tick())
        assert guard.take_messages(RunsEnded) == []
        guard.time += 0.05
    guard.wait(MAX_STOP_DURATION_S + 0.05)
    assert [e.end_state for m in guard.take_messages(RunsEnded) for e in m.endings] == [
        "lapsed"
    ]


def test_target_that_was_not_suspended_with_its_guard_gets_runs_at_once(guard):
    guard.suspend(3.0, with_target=False)
    guard.order_runs()
    (early,) = guard.take_orders(StartOrder)
    assert early.lease_end_ms < guard.target_clock_ms()
    guard.deliver(StartReply(early, "late", guard.target_clock_ms()))
    (start,) = guard.take_orders(StartOrder)
    lease_s = (start.lease_end_ms - guard.target_clock_ms()) / 1_000
    assert lease_s == pytest.approx(TARGET_LEASE_S / MAX_CLOCK_DRIFT_FACTOR, abs=0.01)


@pytest.mark.parametrize("outcome", ["late", "fenced", "old_run"])
def test_refused_start_is_not_retried_after_its_owners_lease_expired(guard, outcome):
    """The refusal is handled late, because the guard was suspended."""
    (name,) = guard.order_runs()
    guard.time += 2.0
    guard.answer_starts(outcome)
    assert guard.take_orders(StartOrder) == []
    (refused,) = guard.take_messages(RunsRefused)
    assert (refused.runs, refused.reason) == ((name,), "owner_silent")


@pytest.mark.parametrize("outcomes", [("unanswered",), ("unanswered", "late")])
def test_unanswered_start_is_fenced_after_its_owners_lease_expired(guard, outcomes):
    (name,) = guard.order_runs()
    for outcome in outcomes[:-1]:
        guard.answer_starts(outcome)
    guard.time += OWNER_LEASE_S + 0.01
    guard.answer_starts(outcomes[-1])
    assert guard.take_orders(StartOrder) == []
    assert [stop.name for stop in guard.take_orders(StopOrder)] == [name]
    assert guard.take_messages(RunsRefused) == []


def test_runs_of_one_owner_do_not_extend_those_of_a_silent_owner(slow_running):
    """One lease covers all runs on a target."""
    guard, name = slow_running
    owner_gone_at = guard.time
    for step in range(14):
        guard.time += 0.1
        guard_clock_ms = round(guard.time * 1000)
        other = RunName(TaskName(f"b{step:015x}", 0, 0, 0), 1)
        guard.deliver(
            StartRuns(guard_clock_ms, "spec", 9_000, (RunOrder(other, NEED, 1),)), OTHER
        )
        guard.answer_starts()
        for stop in guard.take_orders(StopOrder):
            guard.deliver(StopReply(stop, "unanswered"))
        guard.answer_renewals([RunStatus(name, 3 + step)])
        guard.deliver(Tick())
    assert (
        guard.longest_lease_end() + MAX_STOP_DURATION_S < owner_gone_at + CALLER_RETRY_S
    )


@pytest.mark.parametrize("clock_rate", [SLOWEST_CLOCK_RATE, 1.0])
def test_lease_has_half_a_second_left_while_owner_and_target_answer(
    running, clock_rate
):
    """Load pattern: low load; guard heartbeats every 0.2 s, ticks every 0.1 s."""
    guard, name = running
    guard.clock_rate = clock_rate
    least_s = TARGET_LEASE_S
    for step in range(40):
        guard.time += 0.1
        if step % 2:
            least_s = min(least_s, guard.longest_lease_end() - guard.time)
            guard.answer_renewals([RunStatus(name, 3 + step)])
            guard.deliver(ConfirmLease(round(guard.time * 1000) - 20, 1, ()), ENTRY)
        guard.deliver(Tick())
    assert least_s >= 0.5


def test_runs_of_an_owner_that_becomes_silent_are_stopped(running):
    guard, _ = running
    guard.wait(OWNER_LEASE_S + 0.01)
    assert len(guard.take_orders(StopOrder)) == 1


def test_confirmation_of_an_old_heartbeat_does_not_extend_the_lease(running):
    """Messages that a network cut delayed all arrive at once when it ends."""
    guard, _ = running
    guard.time += OWNER_LEASE_S / 2
    guard.deliver(
        ConfirmLease(round((guard.time - OWNER_LEASE_S) * 1000), 1, ()), ENTRY
    )
    guard.wait(OWNER_LEASE_S / 2 + 0.01)
    assert len(guard.take_orders(StopOrder)) == 1


def test_runs_are_stopped_if_their_owner_confirms_after_its_lease_expired(running):
    """A guard that was suspended must not continue runs that the owner gave up."""
    guard, _ = running
    guard.time += OWNER_LEASE_S + 0.5
    guard.deliver(ConfirmLease(round(guard.time * 1000), 1, ()), ENTRY)
    assert len(guard.take_orders(StopOrder)) == 1


def test_runs_are_stopped_if_their_owner_orders_after_its_lease_expired(running):
    """The new order must not extend the lease of runs that the owner gave up."""
    guard, name = running
    guard.time += OWNER_LEASE_S + 0.5
    guard.order_runs(job="b" * 16)
    assert [stop.name for stop in guard.take_orders(StopOrder)] == [name]


def test_run_is_refused_while_an_unanswered_stop_blocks_an_expired_lease(running):
    guard, _ = running
    guard.time += OWNER_LEASE_S + 0.5
    guard.deliver(ConfirmLease(round(guard.time * 1000), 1, ()), ENTRY)
    (name,) = guard.order_runs(job="b" * 16)
    assert guard.take_orders(StartOrder) == []
    (refused,) = guard.take_messages(RunsRefused)
    assert (refused.runs, refused.reason) == ((name,), "no_room")
    assert all(
        name not in message.runs for message in guard.take_messages(RunsAccepted)
    )
    (stop,) = guard.take_orders(StopOrder)
    guard.deliver(StopReply(stop, "stopped", guard.target_clock_ms()))
    guard.time += NO_CAPACITY_PAUSE_S
    (name,) = guard.order_runs(job="c" * 16)
    assert [start.name for start in guard.take_orders(StartOrder)] == [name]


def test_reconnecting_after_a_broken_link_stops_no_run(running):
    guard, name = running
    guard.deliver(LinkDown(ENTRY.address))
    guard.wait(0.1)
    guard.deliver(Hello("entry", "recife", "entry-1"), ENTRY)
    guard.deliver(CheckRuns((name,)), ENTRY)
    guard.deliver(ConfirmLease(round(guard.time * 1000), 1, ()), ENTRY)
    guard.wait(0.2)
    assert guard.take_orders(StopOrder) == []


def test_runs_of_a_killed_owner_are_stopped_before_the_caller_retries(running):
    guard, _ = running
    guard.deliver(LinkDown(ENTRY.address))
    guard.wait(0.3)
    assert len(guard.take_orders(StopOrder)) == 1


def test_broken_link_to_an_owner_does_not_extend_its_lease(running):
    """A silent owner's link is closed shortly before its lease expires."""
    guard, _ = running
    guard.time += OWNER_LEASE_S - 0.05
    guard.deliver(LinkDown(ENTRY.address))
    guard.wait(0.06)
    assert len(guard.take_orders(StopOrder)) == 1


def test_runs_of_an_earlier_process_of_an_owner_are_stopped(running):
    guard, _ = running
    guard.deliver(Hello("entry", "recife", "entry-1"), Incarnation("entry:1", "e2"))
    assert len(guard.take_orders(StopOrder)) == 1


def test_run_of_an_owners_next_process_does_not_outlast_what_that_process_confirmed(
    running,
):
    """The process before it confirmed a newer heartbeat of the guard."""
    guard, _ = running
    guard.time += 0.2
    guard.deliver(ConfirmLease(round(guard.time * 1000), 1, ()), ENTRY)
    guard.deliver(Hello("entry", "recife", "entry-1"), ENTRY._replace(nonce="e2"))
    (stop,) = guard.take_orders(StopOrder)
    finish_stop(guard, stop)
    guard.time += 0.3
    last_heard_at = guard.time - 0.45
    guard.order_runs(job="b" * 16, age_s=0.45)
    guard.answer_starts()
    assert guard.longest_lease_end() + MAX_STOP_DURATION_S <= runs_gone_by(
        last_heard_at
    )


def order_running_task_for_other(guard, name, age_s=0.0):
    """Deliver another entry instance's order for a task that runs for the first."""
    guard_clock_ms = round((guard.time - age_s) * 1000)
    runs = (RunOrder(name, NEED, 1),)
    guard.deliver(StartRuns(guard_clock_ms, "spec", 900, runs), OTHER)


def finish_stop(guard, stop):
    """Answer a stop, then report run lists without its run."""
    guard.time += 0.01
    guard.deliver(StopReply(stop, "stopped", 5_000))
    for _ in range(2):
        guard.time += 0.01
        guard.answer_renewals()


def messages_to(guard, kind, address):
    """Return the messages of a type that were sent to one address."""
    return [b for to, b in guard.sent if to == address and type(b) is kind]


def test_running_task_is_refused_to_another_owner_only_after_its_run_ended(running):
    guard, name = running
    order_running_task_for_other(guard, name)
    (stop,) = guard.take_orders(StopOrder)
    guard.deliver(StopReply(stop, "unanswered"))
    (stop,) = guard.take_orders(StopOrder)
    guard.time += 0.01
    guard.answer_renewals([RunStatus(name, 2)])
    assert messages_to(guard, RunsRefused, OTHER.address) == []
    finish_stop(guard, stop)
    (refused,) = messages_to(guard, RunsRefused, OTHER.address)
    assert (refused.reason, refused.runs) == ("still_running", (name,))
    assert refused.highest_run_numbers == (name.run,)
    (ended,) = messages_to(guard, RunsEnded, ENTRY.address)
    assert [e.end_state for e in ended.endings] == ["superseded"]


def test_task_on_a_silent_target_is_refused_to_another_owner_once_lapsed(running):
    """The run may go on without answers, so a second run is not safe before that."""
    guard, name = running
    for _ in range(2):
        guard.answer_renewals(outcome="unanswered")
        guard.time += 0.01
    order_running_task_for_other(guard, name)
    assert messages_to(guard, RunsRefused, OTHER.address) == []
    guard.wait(1.2)
    (refused,) = messages_to(guard, RunsRefused, OTHER.address)
    assert refused.reason == "still_running"


def test_task_that_still_runs_on_a_draining_target_is_not_started_on_its_successor(
    running,
):
    guard, name = running
    guard.announce(sequence=2, draining=True)
    guard.announce(TargetIncarnation("t2", 900), address="10.0.0.2:80")
    for order in guard.take_orders(RenewLeaseOrder):
        is_old = order.target.incarnation == INCARNATION
        born_ms, listed = (100, (RunStatus(name, 2),)) if is_old else (900, ())
        guard.deliver(RenewLeaseReply(order, "held", 5_000, born_ms, listed))
    assert guard.holder.target_status().target == "t2"
    order_running_task_for_other(guard, name)
    assert guard.take_orders(StartOrder) == []
    assert [stop.name for stop in guard.take_orders(StopOrder)] == [name]


def test_delayed_order_neither_stops_the_current_run_nor_starts_another(running):
    guard, name = running
    order_running_task_for_other(guard, name, age_s=OWNER_LEASE_S + 0.01)
    assert guard.take_orders(StopOrder) == []
    assert messages_to(guard, RunsRefused, OTHER.address) == []
    guard.answer_renewals(ended=[RunEnd(1, name, "done")])
    assert len(messages_to(guard, RunsEnded, ENTRY.address)) == 1


def test_task_that_ended_before_its_stop_is_reported_done_to_both_owners(running):
    guard, name = running
    order_running_task_for_other(guard, name)
    guard.answer_renewals(ended=[RunEnd(1, name, "done")])
    for address in (ENTRY.address, OTHER.address):
        (ended,) = messages_to(guard, RunsEnded, address)
        assert [(e.name, e.end_state) for e in ended.endings] == [(name, "done")]


def test_deferred_order_is_not_reported_as_ended_by_a_check(running):
    guard, name = running
    order_running_task_for_other(guard, name)
    guard.deliver(CheckRuns((name,)), OTHER)
    assert messages_to(guard, RunsEnded, OTHER.address) == []


def test_check_does_not_report_the_ending_of_another_owners_run(running):
    guard, name = running
    order_running_task_for_other(guard, name)
    (stop,) = guard.take_orders(StopOrder)
    finish_stop(guard, stop)
    guard.deliver(CheckRuns((name,)), OTHER)
    (ended,) = messages_to(guard, RunsEnded, OTHER.address)
    assert [e.end_state for e in ended.endings] == ["lost"]


def test_cancelled_job_ends_a_deferred_order(running):
    guard, name = running
    order_running_task_for_other(guard, name)
    guard.deliver(CancelJobRuns(name.task.job), Incarnation("entry:3", "g1"))
    (ended,) = messages_to(guard, RunsEnded, OTHER.address)
    assert [e.end_state for e in ended.endings] == ["cancelled"]
    (stop,) = guard.take_orders(StopOrder)
    finish_stop(guard, stop)
    assert messages_to(guard, RunsRefused, OTHER.address) == []


def test_deferred_order_of_a_replaced_owner_process_is_not_answered(running):
    guard, name = running
    order_running_task_for_other(guard, name)
    guard.deliver(Hello("entry", "olinda", "entry-2"), OTHER)
    guard.deliver(Hello("entry", "olinda", "entry-2"), OTHER._replace(nonce="e9"))
    (stop,) = guard.take_orders(StopOrder)
    finish_stop(guard, stop)
    assert messages_to(guard, RunsRefused, OTHER.address) == []


def test_check_reports_endings_that_were_sent_while_the_link_was_down(running):
    guard, name = running
    guard.answer_renewals(ended=[RunEnd(1, name, "done")])
    guard.take_messages(RunsEnded)
    guard.deliver(CheckRuns((name, RunName(TaskName("c" * 16, 0, 0, 0), 1))), ENTRY)
    (ended,) = guard.take_messages(RunsEnded)
    assert [e.end_state for e in ended.endings] == ["done", "lost"]


def test_cancelled_job_is_stopped_for_any_owner(running):
    guard, name = running
    guard.deliver(CancelJobRuns(name.task.job), Incarnation("entry:2", "f1"))
    assert len(guard.take_orders(StopOrder)) == 1


def test_run_without_progress_is_stopped(running):
    guard, name = running
    for _ in range(3):
        guard.time += 0.2
        guard.deliver(ConfirmLease(round(guard.time * 1000), 1, ()), ENTRY)
        guard.answer_renewals([RunStatus(name, 1)])
    assert len(guard.take_orders(StopOrder)) == 1


def test_run_is_not_reported_as_lapsed_before_the_longest_lease_granted_has_ended(
    slow_running,
):
    """A broken link shortens the owner's lease, but no lease on the target."""
    guard, name = slow_running
    guard.deliver(LinkDown(ENTRY.address))
    guard.answer_renewals([RunStatus(name, 3)])
    while not guard.take_messages(RunsEnded):
        guard.answer_renewals(outcome="unanswered")
        guard.wait(0.01)
    assert guard.time > guard.longest_lease_end() + MAX_STOP_DURATION_S


def test_run_past_its_callers_deadline_is_stopped(guard):
    (name,) = guard.order_runs(remaining_ms=100)
    guard.answer_starts()
    guard.wait(0.11)
    assert [stop.name for stop in guard.take_orders(StopOrder)] == [name]


def test_runs_on_a_silent_target_are_reported_once_their_lease_expired(running):
    guard, _ = running
    guard.answer_renewals(outcome="unanswered")
    guard.wait(0.2)
    guard.answer_renewals(outcome="unanswered")
    assert guard.take_messages(RunsEnded) == []
    guard.deliver(ConfirmLease(round(guard.time * 1000), 1, ()), ENTRY)
    guard.wait(1.2)
    (ended,) = guard.take_messages(RunsEnded)
    assert ended.endings[0].end_state == "lapsed"


def test_runs_of_an_earlier_guard_are_stopped_before_the_target_is_ready(run):
    guard = Guard()
    guard.announce()
    unknown_run = RunName(TaskName("d" * 16, 0, 0, 0), 3)
    guard.answer_renewals([RunStatus(unknown_run, 50)])
    assert [stop.name for stop in guard.take_orders(StopOrder)] == [unknown_run]
    assert guard.holder.target_status().status == "unwell"
    guard.deliver(Tick())
    guard.answer_renewals()
    assert guard.holder.target_status().status == "ready"


def test_run_list_is_not_requested_in_a_busy_loop_while_an_unknown_run_stops(run):
    """A stop takes a while; the renewal waits for the run's end meanwhile."""
    guard = Guard()
    guard.announce()
    unknown_run = RunName(TaskName("d" * 16, 0, 0, 0), 3)
    guard.answer_renewals([RunStatus(unknown_run, 50)])
    assert [renewal.wait_s > 0 for renewal in guard.take_orders(RenewLeaseOrder)] == [
        True
    ]


def test_each_capacity_change_is_reported_to_a_few_subscribers_in_turn(guard):
    """Load pattern: many entry instances wait for the capacity of a full target."""
    entries = [Incarnation(f"entry:{n}", f"e{n}") for n in range(1, 9)]
    for entry in entries:
        guard.deliver(Hello("entry", "recife", entry.address), entry)
        guard.deliver(ConfirmLease(round(guard.time * 1000), 3, (), True), entry)
    guard.wait(0.25)  # a heartbeat tells all of them the target's status
    told = []
    for _ in range(4):
        guard.sent.clear()
        guard.deliver(ReportCapacity())
        receivers = [to for to, body in guard.sent if type(body) is GuardHeartbeat]
        assert len(receivers) == CAPACITY_REPORT_FANOUT
        told += receivers
    assert {entry.address for entry in entries} == set(told)


def test_heartbeats_go_only_to_linked_entry_instances(guard):
    guard.deliver(Hello("entry", "recife", "entry-2"), OTHER)
    guard.deliver(LinkDown(OTHER.address))
    guard.sent.clear()
    guard.wait(0.2)
    assert [to for to, body in guard.sent if type(body) is GuardHeartbeat] == [
        ENTRY.address
    ]


def test_runs_of_an_instance_that_restarts_while_its_link_is_down_are_stopped(guard):
    """The guard knows the earlier process only by the nonce of a link that broke."""
    guard.order_runs()
    guard.answer_starts()
    guard.deliver(LinkDown(ENTRY.address))
    guard.wait(0.2)
    guard.deliver(Hello("entry", "recife", "entry-1"), ENTRY._replace(nonce="e9"))
    assert len(guard.take_orders(StopOrder)) == 1


def test_unlinked_instances_without_runs_are_forgotten(guard):
    """Rolling restarts give the guard ever new addresses of entry instances."""
    for number in range(50):
        entry = Incarnation(f"entry:{number}", "e")
        guard.deliver(Hello("entry", "recife", entry.address), entry)
        guard.deliver(LinkDown(entry.address))
    guard.wait(0.2)
    assert len(guard.holder.entry_nonces) <= 1


def test_capacity_change_is_reported_at_once_only_to_subscribers(guard):
    """Load pattern: low load at many entry instances."""
    posted = []
    guard.holder.post_later = lambda delay_s, message: posted.append(message)
    guard.deliver(Hello("entry", "olinda", "entry-2"), OTHER)
    guard.wait(0.25)
    guard.holder.report_scheduled = False
    guard.order_runs()
    assert posted == []
    guard.deliver(ConfirmLease(round(guard.time * 1000), 1, (), True), OTHER)
    guard.order_runs(job="b" * 16)
    guard.sent.clear()
    guard.deliver(posted.pop())
    assert [to for to, body in guard.sent if type(body) is GuardHeartbeat] == [
        OTHER.address
    ]


def test_status_change_is_reported_to_all_entry_instances(guard):
    posted = []
    guard.holder.post_later = lambda delay_s, message: posted.append(message)
    guard.deliver(Hello("entry", "olinda", "entry-2"), OTHER)
    guard.wait(0.25)
    guard.holder.report_scheduled = False
    guard.sent.clear()
    guard.deliver(Drain())
    guard.deliver(posted.pop())
    recipients = {to for to, body in guard.sent if type(body) is GuardHeartbeat}
    assert recipients == {ENTRY.address, OTHER.address}


def test_silent_target_without_runs_is_queried_until_it_answers(running):
    """After its runs have lapsed, only an answer shows that it has recovered."""
    guard, _ = running
    for _ in range(20):
        guard.answer_renewals(outcome="unanswered")
        guard.wait(0.1)
    assert [e.end_state for m in guard.take_messages(RunsEnded) for e in m.endings] == [
        "lapsed"
    ]
    guard.order_runs(job="b" * 16)
    assert [r.reason for r in guard.take_messages(RunsRefused)] == ["unwell"]
    guard.wait(0.1)
    guard.answer_renewals()
    guard.deliver(ConfirmLease(round(guard.time * 1000), 1, ()), ENTRY)
    guard.order_runs(job="c" * 16)
    assert guard.take_messages(RunsRefused) == []


@pytest.mark.parametrize("outcome", ["no_room", "unwell", "unreachable", "invalid"])
def test_refused_retry_of_an_unanswered_start_is_fenced_first(guard, outcome):
    """The unanswered order may still be executed."""
    (name,) = guard.order_runs()
    guard.answer_starts("unanswered")
    guard.answer_starts(outcome)
    assert guard.take_messages(RunsRefused) == []
    (stop,) = guard.take_orders(StopOrder)
    assert stop.name == name
    finish_stop(guard, stop)
    (ended,) = guard.take_messages(RunsEnded)
    assert [(e.name, e.end_state) for e in ended.endings] == [
        (name, "start_unanswered")
    ]


def test_run_that_ended_before_its_start_was_retried_is_not_started_twice(guard):
    """The target refuses the retry as old, because it executed the first order."""
    (name,) = guard.order_runs()
    guard.answer_starts("unanswered")
    guard.answer_starts("old_run")
    assert guard.take_orders(StartOrder) == []
    guard.time += 0.01
    guard.holder.request_run_list(guard.holder.current_session())
    guard.answer_renewals(ended=[RunEnd(1, name, "done")])
    (ended,) = guard.take_messages(RunsEnded)
    assert [(e.name, e.end_state) for e in ended.endings] == [(name, "done")]


def test_run_in_progress_is_not_started_again_under_a_higher_number(guard):
    """A target may refuse the retry of a run that it has already started."""
    (name,) = guard.order_runs()
    guard.answer_starts("unanswered")
    guard.answer_starts("old_run")
    guard.time += 0.01
    guard.holder.request_run_list(guard.holder.current_session())
    guard.answer_renewals([RunStatus(name, 5)])
    assert guard.take_orders(StartOrder) == []
    assert guard.take_orders(StopOrder) == []
    guard.answer_renewals(ended=[RunEnd(1, name, "done")])
    assert guard.take_messages(RunsEnded)[0].endings[0].end_state == "done"


def test_used_run_number_is_raised_only_after_an_unanswered_start_is_fenced(guard):
    (name,) = guard.order_runs()
    guard.answer_starts("unanswered")
    guard.answer_starts("old_run")
    guard.time += 0.01
    guard.holder.request_run_list(guard.holder.current_session())
    guard.answer_renewals()
    (stop,) = guard.take_orders(StopOrder)
    assert stop.name == name
    guard.deliver(StopReply(stop, "stopped", 5_000))
    guard.time += 0.01
    guard.holder.request_run_list(guard.holder.current_session())
    guard.answer_renewals()
    (ended,) = guard.take_messages(RunsEnded)
    assert [(e.name, e.end_state) for e in ended.endings] == [
        (name, "start_unanswered")
    ]
    guard.order_runs(number=2)
    guard.answer_starts("old_run")
    (retry,) = guard.answer_starts()
    assert retry.name.run > 2


def test_confirmation_from_before_a_power_loss_does_not_extend_the_lease(running):
    """The guard's clock restarts from zero, far behind the timestamp."""
    guard, _ = running
    guard.deliver(ConfirmLease(round((guard.time + 5_000) * 1000), 1, ()), ENTRY)
    guard.wait(OWNER_LEASE_S + 0.01)
    assert len(guard.take_orders(StopOrder)) == 1


def test_order_from_before_a_power_loss_is_refused(guard):
    guard.order_runs(age_s=-5_000)
    assert [r.reason for r in guard.take_messages(RunsRefused)] == ["stale_order"]
    assert guard.take_orders(StartOrder) == []


def test_ending_of_a_replaced_owners_run_is_not_sent_to_the_new_process(running):
    """The new process may have ordered a run of the same name meanwhile."""
    guard, _ = running
    guard.deliver(Hello("entry", "recife", "entry-1"), ENTRY._replace(nonce="e9"))
    (stop,) = guard.take_orders(StopOrder)
    finish_stop(guard, stop)
    assert guard.take_messages(RunsEnded) == []


FOREIGN_HEARTBEATS = [
    (TargetIncarnation("t2", 900), {"service": "odd", "address": "10.9.9.9:80"}),
    (TargetIncarnation("t2", 900), {"address": "10.9.9.9:80"}),
    (TargetIncarnation("t1", 900), {"service": "odd"}),
    (INCARNATION, {"service": "odd"}),
    (INCARNATION, {"address": "10.9.9.9:80"}),
    (INCARNATION, {"service": "odd", "draining": True}),
]


def answer_only_the_real_target(guard):
    """Answer requests to the real target; those to another address or id fail."""
    for order in guard.take_orders(RenewLeaseOrder):
        is_real_target = (order.target.incarnation.id, order.target.address) == (
            "t1",
            "10.0.0.1:80",
        )
        outcome = "held" if is_real_target else "unreachable"
        guard.deliver(
            RenewLeaseReply(order, outcome, 5_000, 100 if is_real_target else 0)
        )


@pytest.mark.parametrize(("incarnation", "changes"), FOREIGN_HEARTBEATS)
def test_heartbeat_from_another_sender_does_not_replace_the_target(
    guard, incarnation, changes
):
    guard.announce(incarnation, 7, **changes)
    answer_only_the_real_target(guard)
    target_status = guard.holder.target_status()
    assert (target_status.status, target_status.service, target_status.target) == (
        "ready",
        "visits",
        "t1",
    )
    guard.order_runs()
    (start,) = guard.take_orders(StartOrder)
    assert start.target == (INCARNATION, "10.0.0.1:80")


@pytest.mark.parametrize(
    ("incarnation", "changes"),
    [case for case in FOREIGN_HEARTBEATS if "address" in case[1]],
)
def test_target_is_used_although_a_heartbeat_from_another_sender_came_first(
    run, incarnation, changes
):
    guard = Guard()
    guard.announce(incarnation, 7, **changes)
    answer_only_the_real_target(guard)
    guard.announce(sequence=1)
    answer_only_the_real_target(guard)
    target_status = guard.holder.target_status()
    assert (target_status.status, target_status.service, target_status.target) == (
        "ready",
        "visits",
        "t1",
    )


@pytest.mark.parametrize(("incarnation", "changes"), FOREIGN_HEARTBEATS)
def test_target_in_a_heartbeat_from_another_sender_is_not_recorded(
    guard, incarnation, changes
):
    queue = guard.target_record.queue
    seen = [queue.get_nowait().state.incarnation for _ in range(queue.qsize())]
    assert seen == [INCARNATION]
    guard.announce(incarnation, 7, **changes)
    answer_only_the_real_target(guard)
    assert queue.empty()


def test_new_target_replaces_the_old_one_once_it_answers(guard):
    guard.announce(TargetIncarnation("t2", 900), address="10.0.0.2:80")
    assert guard.holder.target_status().target == "t1"
    guard.answer_renewals()
    assert guard.holder.target_status().target == "t2"
    assert guard.target_record.queue.qsize() == 2


WRONG_CLOCK_MS = 2**53 - 1


def test_leases_use_clock_readings_from_answers_only(guard):
    """A heartbeat may be late or come from another sender."""
    guard.announce(sequence=2, clock_ms=WRONG_CLOCK_MS)
    guard.order_runs()
    (start,) = guard.take_orders(StartOrder)
    assert start.lease_end_ms <= 5_000 + 1_000 * TARGET_LEASE_S


def test_clock_in_a_first_heartbeat_renews_no_lease(running):
    guard, _ = running
    guard.announce(TargetIncarnation("t1", 900), clock_ms=WRONG_CLOCK_MS)
    renewals = [
        order
        for order in guard.take_orders(RenewLeaseOrder)
        if order.target.incarnation != INCARNATION
    ]
    assert [order.lease_end_ms for order in renewals] == [None]


def test_target_clock_reading_of_zero_is_valid(run):
    guard = Guard()
    guard.announce(clock_ms=0)
    (order,) = guard.take_orders(RenewLeaseOrder)
    guard.deliver(RenewLeaseReply(order, "held", 0, 100))
    guard.deliver(Hello("entry", "recife", "entry-1"), ENTRY)
    guard.order_runs()
    (start,) = guard.take_orders(StartOrder)
    clock = TargetClockReading(0, guard.time)
    assert start.lease_end_ms == to_target_clock_ms(clock, guard.time + TARGET_LEASE_S)


def test_outdated_run_list_does_not_end_a_run_that_a_newer_list_showed(guard):
    """Answers on different connections can overtake each other."""
    (name,) = guard.order_runs()
    for _ in range(1 + MAX_UNANSWERED_START_RETRIES):
        guard.time += 0.05
        guard.answer_starts("unanswered")
    older = guard.take_orders(RenewLeaseOrder)
    guard.time += 0.01
    guard.holder.request_run_list(guard.holder.current_session())
    (newer,) = guard.take_orders(RenewLeaseOrder)
    guard.deliver(
        RenewLeaseReply(
            newer, "held", guard.target_clock_ms(), 100, (RunStatus(name, 5),)
        )
    )
    guard.take_orders(RenewLeaseOrder)
    for order in older:
        guard.deliver(RenewLeaseReply(order, "held", guard.target_clock_ms(), 100))
    assert guard.take_messages(RunsEnded) == []
    assert guard.take_orders(StopOrder) == []


def test_run_lapses_only_after_the_longest_lease_that_a_new_incarnation_grants(running):
    """The start's lease end is far ahead on the new clock, so the lease is capped."""
    guard, _ = running
    guard.take_orders(RenewLeaseOrder)
    guard.time += TARGET_LEASE_S - 0.05
    guard.announce(TargetIncarnation("t1", 200))
    guard.answer_renewals(outcome="unanswered")
    for _ in range(2):
        guard.time += 0.4
        guard.answer_renewals(outcome="unanswered")
        guard.deliver(Tick())
        assert guard.take_messages(RunsEnded) == []
    guard.time += 0.5
    guard.answer_renewals(outcome="unanswered")
    guard.deliver(Tick())
    assert [e.end_state for m in guard.take_messages(RunsEnded) for e in m.endings] == [
        "lapsed"
    ]


def test_run_in_a_new_incarnation_lapses_only_after_a_lease_on_a_slow_clock(crashed):
    """A late start order may have got the longest lease on the slowest clock."""
    guard, _ = crashed
    crash_seen_at = guard.time
    while not guard.take_messages(RunsEnded):
        guard.answer_renewals(outcome="unanswered")
        guard.wait(0.01)
    longest_lease_s = MAX_TARGET_LEASE_S / SLOWEST_CLOCK_RATE
    assert guard.time > crash_seen_at + longest_lease_s + MAX_STOP_DURATION_S


@pytest.mark.parametrize("age_s", [0.45, 0.3])
def test_owner_heard_long_ago_gets_no_start_under_the_longer_lease_of_another(
    guard, age_s
):
    """One lease covers all runs on a target and cannot be shortened."""
    guard.deliver(Hello("entry", "olinda", "entry-2"), OTHER)
    order = RunOrder(RunName(TaskName("b" * 16, 0, 0, 0), 1), NEED, 400)
    guard.time += 1.0
    last_heard_at = guard.time - age_s
    guard_clock_ms = round(guard.time * 1000)
    guard.deliver(StartRuns(guard_clock_ms, "spec", 9_000, (order,)), OTHER)
    guard.answer_starts()
    guard.order_runs(age_s=age_s)
    started = guard.take_orders(StartOrder)
    assert (
        not started
        or guard.longest_lease_end() + MAX_STOP_DURATION_S
        <= runs_gone_by(last_heard_at)
    )


def test_no_run_starts_under_a_lease_inherited_from_an_earlier_incarnation(crashed):
    guard, _ = crashed
    (stop,) = guard.take_orders(StopOrder)
    guard.time += 0.01
    guard.answer_renewals()
    guard.deliver(StopReply(stop, "unanswered"))
    guard.order_runs(job="b" * 16)
    assert guard.take_orders(StartOrder) == []


def test_start_in_a_new_incarnation_does_not_outlast_an_owner_heard_long_ago(crashed):
    """A late order to the incarnation before may have granted the longest lease."""
    guard, _ = crashed
    (stop,) = guard.take_orders(StopOrder)
    finish_stop(guard, stop)
    guard.order_runs(job="b" * 16, age_s=0.4)
    assert guard.take_orders(StartOrder) == []


def test_run_whose_stop_was_answered_before_a_crash_is_stopped_in_the_new_incarnation(
    running,
):
    """A late start order is executed there, where no stop has been received."""
    guard, name = running
    guard.take_orders(RenewLeaseOrder)
    guard.deliver(StopRuns((name,)), ENTRY)
    (stop,) = guard.take_orders(StopOrder)
    guard.deliver(StopReply(stop, "stopped", guard.target_clock_ms()))
    guard.announce(TargetIncarnation("t1", 200))
    (stop,) = guard.take_orders(StopOrder)
    assert (stop.target.incarnation, stop.name) == (TargetIncarnation("t1", 200), name)


def test_order_deferred_for_a_start_that_is_refused_is_answered(guard):
    (name,) = guard.order_runs()
    order = RunOrder(name._replace(run=4), NEED, 400)
    guard_clock_ms = round((guard.time - OWNER_LEASE_S - 0.1) * 1000)
    guard.deliver(StartRuns(guard_clock_ms, "spec", 9_000, (order,)), OTHER)
    guard.take_messages(RunsRefused)
    guard.answer_starts("no_room")
    refused = {
        name for message in guard.take_messages(RunsRefused) for name in message.runs
    }
    assert refused == {name, order.name}


UNKNOWN_RUN = RunName(TaskName("c" * 16, 0, 0, 0), 1)


def leave_stops_unanswered(guard):
    """Report the stops that were sent as unanswered."""
    for stop in guard.take_orders(StopOrder):
        guard.deliver(StopReply(stop, "unanswered"))


def test_unanswered_stop_of_an_unknown_run_repeats_the_run_list_request(running):
    guard, name = running
    guard.time += 0.01
    guard.answer_renewals([RunStatus(UNKNOWN_RUN, 5)], ended=[RunEnd(1, name, "done")])
    leave_stops_unanswered(guard)
    guard.time += 0.2
    guard.answer_renewals([RunStatus(UNKNOWN_RUN, 6)])
    leave_stops_unanswered(guard)
    guard.wait(0.05)
    assert guard.take_orders(RenewLeaseOrder) != []


def test_unanswered_stop_of_an_unknown_run_prevents_lease_renewal(running):
    guard, name = running
    guard.time += 0.1
    guard.deliver(ConfirmLease(round(guard.time * 1000), 1, ()), ENTRY)
    granted = guard.holder.current_session().lease_end
    guard.answer_renewals([RunStatus(UNKNOWN_RUN, 5), RunStatus(name, 2)])
    leave_stops_unanswered(guard)
    guard.time += 0.01
    guard.order_runs(job="d" * 16)
    assert guard.holder.current_session().lease_end == granted


def test_answer_from_another_address_does_not_verify_the_target(run):
    """A heartbeat from another sender came between the request and its answer."""
    guard = Guard()
    guard.announce()
    first_renewals = guard.take_orders(RenewLeaseOrder)
    guard.announce(sequence=2, address="10.9.9.9:80")
    for order in first_renewals:
        guard.deliver(RenewLeaseReply(order, "held", guard.target_clock_ms(), 100))
    guard.announce(sequence=3)
    for order in guard.take_orders(RenewLeaseOrder):
        is_real_target = order.target.address == "10.0.0.1:80"
        outcome, born_ms = ("held", 100) if is_real_target else ("unsent", 0)
        guard.deliver(RenewLeaseReply(order, outcome, guard.target_clock_ms(), born_ms))
    assert guard.holder.current_session().state.address == "10.0.0.1:80"


def test_first_order_to_a_new_incarnation_has_a_token_above_all_earlier_ones(running):
    guard, _ = running
    token = guard.holder.current_session().token
    guard.take_orders(RenewLeaseOrder)
    guard.announce(TargetIncarnation("t1", 200))
    (renewal,) = guard.take_orders(RenewLeaseOrder)
    assert renewal.target.incarnation == TargetIncarnation("t1", 200)
    assert renewal.token > token


def test_run_list_requested_before_a_stop_was_answered_ends_no_run(running):
    guard, name = running
    older = guard.take_orders(RenewLeaseOrder)
    guard.time += 0.01
    guard.deliver(StopRuns((name,)), ENTRY)
    (stop,) = guard.take_orders(StopOrder)
    guard.time += 0.01
    guard.deliver(StopReply(stop, "stopped", guard.target_clock_ms()))
    for order in older:
        guard.deliver(RenewLeaseReply(order, "held", guard.target_clock_ms(), 100))
    assert older != []
    assert guard.take_messages(RunsEnded) == []


def test_run_list_requested_before_an_unanswered_start_stops_no_run(running):
    guard, _ = running
    older = guard.take_orders(RenewLeaseOrder)
    guard.order_runs(job="b" * 16)
    for _ in range(1 + MAX_UNANSWERED_START_RETRIES):
        guard.time += 0.05
        guard.answer_starts("unanswered")
    for order in older:
        guard.deliver(RenewLeaseReply(order, "held", guard.target_clock_ms(), 100))
    assert older != []
    stopped = {stop.name.task.job for stop in guard.take_orders(StopOrder)}
    assert "b" * 16 not in stopped


def answer_starts_after(guard, seconds, outcome="started"):
    """Order a run whose start is answered after a time; return the start order."""
    guard.deliver(ConfirmLease(round(guard.time * 1000), 1, ()), ENTRY)
    guard.runs_ordered = getattr(guard, "runs_ordered", 0) + 1
    (name,) = guard.order_runs(job=f"{guard.runs_ordered:016x}")
    guard.time += seconds
    (order,) = guard.answer_starts(outcome)
    guard.time += 0.01
    guard.answer_renewals(ended=[RunEnd(guard.runs_ordered, name, "done")])
    return order


def test_calls_to_a_slow_target_are_not_given_up_before_it_can_answer(guard):
    """Seen: a target that needed over 50 ms was called three times for each start."""
    for _ in range(20):
        order = answer_starts_after(guard, 0.08)
    assert 0.08 < order.timeout_s <= MAX_ORDER_TIMEOUT_S
    guard.order_runs(job="e" * 16)
    guard.answer_starts()
    assert guard.take_orders(RenewLeaseOrder)[-1].timeout_s > 0.08


def test_time_limit_has_bounds_whatever_a_target_takes(guard):
    for seconds in (0.001, 3.0, 0.001):
        for _ in range(60):
            order = answer_starts_after(guard, seconds)
            assert ORDER_TIMEOUT_S <= order.timeout_s <= MAX_ORDER_TIMEOUT_S
    assert order.timeout_s == ORDER_TIMEOUT_S


def test_time_limit_rises_while_nothing_is_answered_and_falls_with_an_answer(guard):
    """An answer that comes after the limit is not measured."""
    guard.order_runs()
    limits = []
    for outcome in ("unanswered", "unanswered", "started"):
        (order,) = guard.take_orders(StartOrder)
        limits.append(order.timeout_s)
        guard.time += 0.001 if outcome == "started" else order.timeout_s
        guard.deliver(StartReply(order, outcome, guard.target_clock_ms()))
    assert limits == [ORDER_TIMEOUT_S, 2 * ORDER_TIMEOUT_S, 4 * ORDER_TIMEOUT_S]
    assert answer_starts_after(guard, 0.001).timeout_s == ORDER_TIMEOUT_S


def exhaust_repeats(guard):
    """Take all of the budget for repeated calls to the target."""
    repeats = guard.holder.current_session().repeat_budget
    while repeats.take(guard.time):
        pass


def test_repeated_starts_are_a_bounded_share_of_the_calls_to_a_target(guard):
    """Seen: three calls for each start kept a slow target slow until callers left."""
    first, sent, renewals, seconds = 500, 0, 0, 1.0
    for number in range(first):
        guard.deliver(ConfirmLease(round(guard.time * 1000), 1, ()), ENTRY)
        guard.order_runs(job=f"{number:016x}")
        guard.time += seconds / first
        for _ in range(1 + MAX_UNANSWERED_START_RETRIES):
            sent += len(guard.answer_starts("unanswered"))
        # The run is not in the lists; it is fenced by a stop, and ends.
        for _ in range(3):
            guard.time += 1e-4
            renewals += len(guard.answer_renewals())
            for stop in guard.take_orders(StopOrder):
                guard.deliver(StopReply(stop, "stopped", guard.target_clock_ms()))
        guard.deliver(Tick())
    assert len(guard.holder.current_session().runs) <= 1
    allowed = TARGET_BUDGET_BURST + 1.1 * seconds * BUDGET_FLOOR_PER_S
    assert sent - first <= allowed + TARGET_BUDGET_RATIO * (first + renewals)


def test_unanswered_start_without_budget_is_verified_and_fenced_at_once(guard):
    (name,) = guard.order_runs()
    exhaust_repeats(guard)
    guard.answer_starts("unanswered")
    assert guard.take_orders(StartOrder) == []
    guard.time += 0.01
    guard.answer_renewals()
    guard.answer_renewals()
    assert [stop.name for stop in guard.take_orders(StopOrder)] == [name]
    assert guard.take_messages(RunsEnded) == []


def test_renewals_are_sent_once_without_budget_although_answers_are_lost(running):
    guard, name = running
    guard.holder.current_session().lost_answer_at = guard.time
    guard.answer_renewals([RunStatus(name, 2)])
    assert len(guard.take_orders(RenewLeaseOrder)) == 2
    guard.holder.current_session().pending_renewal = None
    exhaust_repeats(guard)
    guard.deliver(Tick())
    assert len(guard.take_orders(RenewLeaseOrder)) == 1


def test_unconfirmed_stop_is_repeated_without_budget(running):
    guard, name = running
    delays = []
    guard.holder.post_later = lambda delay_s, retry: delays.append((delay_s, retry))
    guard.deliver(CancelJobRuns(name.task.job), ENTRY)
    exhaust_repeats(guard)
    for _ in range(10):
        (stop,) = guard.take_orders(StopOrder)
        assert stop.name == name
        guard.time += stop.timeout_s
        guard.deliver(StopReply(stop, "unanswered"))
        if delays:
            delay_s, retry = delays.pop()
            assert stop.timeout_s + delay_s <= MAX_ORDER_TIMEOUT_S + STOP_RETRY_DELAY_S
            guard.time += delay_s
            guard.deliver(retry)


def test_lists_without_budget_are_requested_one_after_the_other(running):
    """A list that is requested later than a stop is still needed to end its run."""
    guard, _ = running
    session = guard.holder.current_session()
    exhaust_repeats(guard)
    for _ in range(5):
        guard.holder.request_run_list(session)
    renewal, *lists = guard.take_orders(RenewLeaseOrder)
    assert (renewal, len(lists)) == (session.pending_renewal, 1)
    sent_at, guard.time = guard.time, guard.time + 0.01
    guard.deliver(RenewLeaseReply(lists[0], "unanswered"))
    (following,) = guard.take_orders(RenewLeaseOrder)
    assert following.sent_at > sent_at


def test_list_that_a_later_order_overtook_is_requested_again(running):
    """Otherwise the end of a stopped run is seen only after the next long poll."""
    guard, name = running
    guard.deliver(StopRuns((name,)), ENTRY)
    (stop,) = guard.take_orders(StopOrder)
    guard.time += 0.01
    guard.deliver(StopReply(stop, "stopped", guard.target_clock_ms()))
    _, overtaken = guard.take_orders(RenewLeaseOrder)
    guard.order_runs(job="b" * 16)
    guard.answer_starts("unanswered")
    guard.take_orders(StartOrder)
    guard.time += 0.01
    guard.deliver(RenewLeaseReply(overtaken, "fenced", guard.target_clock_ms()))
    (again,) = guard.take_orders(RenewLeaseOrder)
    assert (again.wait_s, again.token > overtaken.token) == (0.0, True)


@pytest.fixture
def isolating(guard):
    """Return a guard with a run in isolation, and the run's name."""
    name = RunName(TaskName("b" * 16, 0, 0, 0), 1)
    order = RunOrder(name, NEED, 400, isolated=True)
    guard.deliver(StartRuns(round(guard.time * 1000), "spec", 9_000, (order,)), ENTRY)
    guard.answer_starts()
    return guard, name


def test_target_with_a_run_in_isolation_offers_no_capacity(isolating):
    guard, _ = isolating
    (accepted,) = guard.take_messages(RunsAccepted)
    assert accepted.target_status.free.cpu_m == 0


def test_run_of_another_job_does_not_begin_beside_a_run_in_isolation(isolating):
    guard, _ = isolating
    guard.order_runs()
    assert [r.reason for r in guard.take_messages(RunsRefused)] == ["isolated"]
    assert guard.take_orders(StartOrder) == []


def test_run_of_the_same_job_begins_beside_a_run_in_isolation(isolating):
    guard, _ = isolating
    name = RunName(TaskName("b" * 16, 0, 0, 1), 1)
    order = RunOrder(name, NEED, 400, isolated=True)
    guard.deliver(StartRuns(round(guard.time * 1000), "spec", 9_000, (order,)), ENTRY)
    assert [order.name for order in guard.take_orders(StartOrder)] == [name]


def test_crash_report_says_which_runs_were_in_isolation(isolating):
    guard, name = isolating
    for _ in range(2):
        guard.answer_renewals(outcome="unreachable")
        guard.wait(TARGET_LEASE_S)
    guard.wait(MAX_STOP_DURATION_S)
    (report,) = guard.take_messages(RunsCrashed)
    assert [(run.name, run.isolated) for run in report.runs] == [(name, True)]


def test_target_whose_capacity_shrinks_gets_no_runs_beyond_it(guard):
    guard.order_runs(4)
    guard.announce(sequence=2, capacity=Resources(4 * NEED.cpu_m, 32_768))
    guard.order_runs(job="b" * 16)
    assert [r.reason for r in guard.take_messages(RunsRefused)] == ["no_room"]


def test_run_that_is_being_stopped_occupies_the_capacity_that_shrank(running):
    guard, name = running
    guard.deliver(StopRuns((name,)), ENTRY)
    guard.announce(sequence=2, capacity=NEED)
    guard.order_runs(job="b" * 16)
    assert [r.reason for r in guard.take_messages(RunsRefused)] == ["no_room"]


def test_capacity_that_shrinks_for_a_while_makes_no_job_too_large(guard):
    """A job that no target could ever run is failed, which is final."""
    guard.announce(sequence=2, capacity=Resources(100, 64))
    guard.deliver(Hello("entry", "recife", "e"), ENTRY)
    status = guard.take_messages(GuardHeartbeat)[-1].target_status
    assert status.capacity == Resources(16_000, 32_768)
    assert status.free == Resources(100, 64)


def test_capacity_that_grows_again_is_offered(guard):
    guard.announce(sequence=2, capacity=Resources(100, 64))
    guard.announce(sequence=3)
    guard.order_runs(10)
    (accepted,) = guard.take_messages(RunsAccepted)
    assert len(accepted.runs) == 10


def test_no_run_begins_beside_an_unknown_one_whose_need_is_not_known(running):
    """A start that was executed late, after its run had been given up, is running."""
    guard, name = running
    guard.take_messages(RunsAccepted)
    unknown = RunName(TaskName("c" * 16, 0, 0, 0), 1)
    guard.answer_renewals(running=[RunStatus(name, 1), RunStatus(unknown, 1)])
    guard.order_runs(job="b" * 16)
    assert [r.reason for r in guard.take_messages(RunsRefused)] == ["unwell"]
    guard.take_orders(StopOrder)
    guard.wait(0.1)
    guard.answer_renewals(running=[RunStatus(name, 2)])
    guard.order_runs(job="d" * 16)
    assert len(guard.take_messages(RunsAccepted)) == 1


def test_capacity_known_only_from_the_store_is_reported_as_such(run):
    guard = Guard()
    guard.announce(stored=True)
    guard.answer_renewals()
    assert not guard.holder.target_status().capacity_is_current
    guard.announce(sequence=2)
    assert guard.holder.target_status().capacity_is_current


def test_renewal_follows_at_once_if_only_its_duplicate_is_answered(running):
    """Otherwise none waits at the target, and ends are reported 0.25 s late."""
    guard, name = running
    (unanswered,) = guard.take_orders(RenewLeaseOrder)
    guard.deliver(RenewLeaseReply(unanswered, "unanswered"))
    _, duplicate = guard.take_orders(RenewLeaseOrder)
    guard.time += 0.01
    lists = ((RunStatus(name, 2),), ())
    born_ms = duplicate.target.incarnation.born_ms
    guard.deliver(
        RenewLeaseReply(duplicate, "held", guard.target_clock_ms(), born_ms, *lists)
    )
    assert {order.wait_s for order in guard.take_orders(RenewLeaseOrder)} == {
        RENEWAL_LONG_POLL_S
    }
