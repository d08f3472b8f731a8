"""What a guard does with runs, leases and a target that misbehaves."""

import pytest

from hawthorntrack.coordination.leaseholder import LeaseHolder, ReportCapacity
from hawthorntrack.coordination.leases import (
    MAX_STOP_DURATION_S,
    OWNER_LEASE_S,
    TARGET_LEASE_S,
    TargetClockReading,
    runs_gone_by,
    to_target_clock_ms,
)
from hawthorntrack.coordination.run_controller import (
    MAX_UNANSWERED_START_RETRIES,
    NO_CAPACITY_PAUSE_S,
)
from hawthorntrack.protocol.links import LinkDown
from hawthorntrack.protocol.local import Drain
from hawthorntrack.protocol.run_messages import (
    CancelJobRuns,
    CheckRuns,
    ConfirmLease,
    GuardHeartbeat,
    Hello,
    RunOrder,
    RunsAccepted,
    RunsEnded,
    RunsRefused,
    StartRuns,
    StopRuns,
)
from hawthorntrack.protocol.target_messages import (
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
LIFE = TargetIncarnation("t1", 100)
STOPS_AT_ONCE = 8
PAUSE_S = 0.05  # as long as an order waits for its answer
SLOWEST_PACE = 0.98  # stated for targets' clocks
RESEND_S = 1.3  # stated: from a broken connection, 502 or 504 to the next attempt


class Orders(Mailbox):
    """Keeps orders to the target, and the leases that they carry."""

    def __init__(self) -> None:
        super().__init__("calls")
        self.leases_ms = []

    def put(self, order):
        super().put(order)
        lease_end_ms = getattr(order, "lease_end_ms", None)
        self.leases_ms += [] if lease_end_ms is None else [lease_end_ms]


class Guard:
    """A lease holder whose clock and mailboxes a test holds in its hands."""

    def __init__(self) -> None:
        self.time = 1_000.0
        self.pace = 1.0
        self.calls = Orders()
        self.memory = Mailbox("memory")
        self.sent = []
        self.holder = LeaseHolder(
            lambda address, body: self.sent.append((address, body)),
            self.calls,
            self.memory,
            Mailbox("drained"),
            lambda: self.time,
            first_token=50,
        )
        self.holder.post_later = lambda delay_s, message: None

    def tell(self, body, sender=None):
        self.holder.handle(Delivery(sender, body) if sender else body)

    def wait(self, seconds):
        self.time += seconds
        self.tell(Tick())

    def clock_ms(self):
        """Return what the target's clock shows."""
        return 5_000 + round((self.time - 1_000) * 1_000 * self.pace)

    def lease_over(self):
        """Return when the target's clock reaches the end of the longest lease."""
        return 1_000 + (max(self.calls.leases_ms) - 5_000) / 1_000 / self.pace

    def orders(self, kind):
        queue = self.calls.queue
        items = [queue.get_nowait() for _ in range(queue.qsize())]
        for item in items:
            if type(item) is not kind:
                queue.put_nowait(item)
        return [item for item in items if type(item) is kind]

    def messages(self, kind):
        found = [body for _, body in self.sent if type(body) is kind]
        self.sent = [item for item in self.sent if type(item[1]) is not kind]
        return found

    def announce(self, incarnation=LIFE, sequence=1, draining=False, **changes):
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
        self.tell(TargetHeartbeat(state._replace(**changes)))

    def answer_holds(self, running=(), ended=(), outcome="held"):
        """Answer all holds that were sent, with the same lists."""
        for order in self.orders(RenewLeaseOrder):
            born_ms = order.target.incarnation.born_ms
            lists = (tuple(running), tuple(ended))
            self.tell(RenewLeaseReply(order, outcome, self.clock_ms(), born_ms, *lists))

    def order_runs(
        self, count=1, job="a" * 16, number=1, age_s=0.0, remaining_ms=9_000
    ):
        """Have the entry instance order runs; return their names."""
        names = [RunName(TaskName(job, 0, 0, i), number) for i in range(count)]
        runs = tuple(RunOrder(name, NEED, 400) for name in names)
        guard_clock_ms = round((self.time - age_s) * 1000)
        self.tell(StartRuns(guard_clock_ms, "spec", remaining_ms, runs), ENTRY)
        return names

    def answer_starts(self, outcome="started"):
        orders = self.orders(StartOrder)
        for order in orders:
            self.tell(StartReply(order, outcome, self.clock_ms()))
        return orders


@pytest.fixture
def guard(run):
    """Return a guard whose target is ready and whose entry instance is linked."""
    made = Guard()
    made.announce()
    made.answer_holds()
    made.tell(Hello("entry", "recife", "entry-1"), ENTRY)
    made.tell(ConfirmLease(round(made.time * 1000), 1, ()), ENTRY)
    return made


@pytest.fixture
def running(guard):
    """Return a guard with one run at work, and the run's name."""
    (name,) = guard.order_runs()
    guard.answer_starts()
    guard.time += 0.01
    guard.answer_holds([RunStatus(name, 1)])
    return guard, name


def test_starts_a_run_under_a_lease_and_takes_its_end_in(running):
    guard, name = running
    assert [taken.runs for taken in guard.messages(RunsAccepted)] == [(name,)]
    guard.answer_holds(ended=[RunEnd(1, name, "done")])
    (ended,) = guard.messages(RunsEnded)
    assert [(e.name, e.end_state) for e in ended.endings] == [(name, "done")]
    (hold,) = guard.orders(RenewLeaseOrder)
    assert hold.ends_seen == 1


def test_lease_is_shorter_than_what_targets_grant(guard):
    guard.order_runs()
    (start,) = guard.orders(StartOrder)
    assert start.lease_end_ms <= 5_000 + 1_000 * TARGET_LEASE_S


@pytest.mark.parametrize("pace", [SLOWEST_PACE, 1.0])
def test_lease_on_a_clock_read_long_ago_is_no_longer_where_that_clock_is_slow(
    guard, pace
):
    guard.pace = pace
    guard.time += 3.0
    guard.order_runs()
    assert guard.orders(StartOrder) != []
    assert guard.lease_over() <= guard.time + TARGET_LEASE_S


def test_counts_room_that_unfinished_runs_occupy(guard):
    guard.order_runs(count=12)
    (taken,), (refused,) = guard.messages(RunsAccepted), guard.messages(RunsRefused)
    assert (len(taken.runs), len(refused.runs)) == (10, 2)
    assert refused.reason == "no_room"
    assert taken.target_status.free.cpu_m == 0


def test_refuses_an_order_that_was_held_up(guard):
    guard.order_runs(age_s=OWNER_LEASE_S + 0.01)
    (refused,) = guard.messages(RunsRefused)
    assert refused.reason == "stale_order"
    assert guard.orders(StartOrder) == []


def test_refuses_runs_in_a_zone_that_is_out(guard):
    guard.tell(ConfirmLease(round(guard.time * 1000), 7, ("recife",)), ENTRY)
    guard.order_runs()
    assert [r.reason for r in guard.messages(RunsRefused)] == ["zone_out"]


def test_zone_news_that_come_late_undo_nothing(guard):
    guard.tell(ConfirmLease(round(guard.time * 1000), 7, ("recife",)), ENTRY)
    guard.tell(ConfirmLease(round(guard.time * 1000), 6, ()), ENTRY)
    guard.order_runs()
    assert [r.reason for r in guard.messages(RunsRefused)] == ["zone_out"]


def test_refuses_runs_on_a_draining_target(guard):
    guard.announce(sequence=2, draining=True)
    guard.order_runs()
    assert [r.reason for r in guard.messages(RunsRefused)] == ["draining"]


def test_heartbeat_that_comes_late_undoes_nothing(guard):
    guard.announce(sequence=3, draining=True)
    guard.announce(sequence=2)
    guard.order_runs()
    assert [r.reason for r in guard.messages(RunsRefused)] == ["draining"]


def test_heartbeat_of_a_dead_life_is_not_taken_in(running):
    guard, _ = running
    guard.announce(TargetIncarnation("t1", 50), sequence=9)
    assert guard.messages(RunsEnded) == []


@pytest.fixture
def crashed(running):
    """Return a guard whose target came back under its id, and the run's name."""
    guard, name = running
    guard.orders(RenewLeaseOrder)
    guard.announce(TargetIncarnation("t1", 200))
    return guard, name


def test_runs_of_a_life_that_is_over_are_lost_once_the_new_life_has_none(crashed):
    """A start sent between the crash and its discovery runs in the new life."""
    guard, name = crashed
    assert guard.messages(RunsEnded) == []
    (stop,) = guard.orders(StopOrder)
    assert (stop.target.incarnation, stop.name) == (TargetIncarnation("t1", 200), name)
    guard.time += 0.01
    guard.tell(StopReply(stop, "stopped", 10))
    guard.time += 0.01
    guard.answer_holds()
    guard.time += 0.01
    guard.answer_holds()
    (ended,) = guard.messages(RunsEnded)
    assert [(e.name, e.end_state) for e in ended.endings] == [(name, "lost")]


def test_run_that_ended_in_the_new_life_is_done(crashed):
    guard, name = crashed
    guard.time += 0.01
    guard.answer_holds(ended=[RunEnd(1, name, "done")])
    (ended,) = guard.messages(RunsEnded)
    assert [(e.name, e.end_state) for e in ended.endings] == [(name, "done")]


def test_life_that_only_a_list_told_of_takes_no_runs(running):
    """It may be of another kind, which its first heartbeat tells."""
    guard, _ = running
    for order in guard.orders(RenewLeaseOrder):
        guard.tell(RenewLeaseReply(order, "held", 10, 200, (), ()))
    (stop,) = guard.orders(StopOrder)
    assert stop.target.incarnation == TargetIncarnation("t1", 200)
    guard.answer_holds()
    guard.messages(RunsRefused)
    guard.order_runs(job="b" * 16)
    assert [r.reason for r in guard.messages(RunsRefused)] == ["unwell"]
    guard.announce(TargetIncarnation("t1", 200))
    finish_stop(guard, stop)
    guard.time += 0.1  # what is left of a lease is over with the owner's trust then
    guard.order_runs(job="c" * 16)
    assert guard.messages(RunsRefused) == []


def come_back_at_once(guard):
    """Have the target announce a new life."""
    guard.announce(TargetIncarnation("t1", 200))


def come_back_in_a_list(guard):
    """Have a list of runs tell of a new life."""
    for order in guard.orders(RenewLeaseOrder):
        guard.tell(RenewLeaseReply(order, "held", 10, 200, (), ()))


def come_back_after_the_lapse(guard):
    """Have the target announce a new life when its runs have been given up."""
    guard.answer_holds(outcome="unreachable")
    guard.wait(2.0)
    guard.announce(TargetIncarnation("t1", 200))


def come_back_after_another(guard):
    """Have another target answer at the address before."""
    guard.answer_holds(outcome="other_life")
    guard.announce(TargetIncarnation("t1", 200))


def come_back_after_silence(guard):
    """Have the target announce a new life when it has been forgotten."""
    guard.answer_holds(outcome="unreachable")
    guard.wait(2.0)
    guard.wait(20.0)
    assert not guard.holder.sessions
    guard.announce(TargetIncarnation("t1", 200))


@pytest.mark.parametrize(
    "come_back",
    [
        come_back_at_once,
        come_back_in_a_list,
        come_back_after_the_lapse,
        come_back_after_another,
        come_back_after_silence,
    ],
)
def test_orders_to_an_earlier_life_are_fenced_by_the_first_to_the_next(
    guard, come_back
):
    """The new life goes by the same id and carries them out, late as they are."""
    guard.order_runs()
    (start,) = guard.answer_starts("fenced")
    (start,) = guard.answer_starts()
    come_back(guard)
    orders = guard.orders(RenewLeaseOrder) + guard.orders(StopOrder)
    first = [o for o in orders if o.target.incarnation == TargetIncarnation("t1", 200)]
    assert first
    assert all(order.token > start.token for order in first)


def test_unreadable_heartbeat_changes_nothing(running):
    guard, _ = running
    guard.tell(TargetHeartbeat("no state"))
    assert guard.messages(RunsEnded) == []


@pytest.fixture
def departed(running):
    """Return a guard whose target has said that it ends, and the run's name."""
    guard, name = running
    guard.tell(TargetDeparted("t1"))
    return guard, name


def test_farewell_that_a_cut_held_up_gives_no_run_back(departed):
    """It may be one of an earlier life; only the lists tell."""
    guard, name = departed
    assert guard.messages(RunsEnded) == []
    guard.answer_holds([RunStatus(name, 5)])
    assert guard.messages(RunsEnded) == []
    guard.answer_holds(ended=[RunEnd(1, name, "done")])
    (ended,) = guard.messages(RunsEnded)
    assert [(e.name, e.end_state) for e in ended.endings] == [(name, "done")]


@pytest.mark.parametrize("outcome", ["unreachable", "other_life"])
def test_target_that_has_left_takes_its_runs_along_at_once(departed, outcome):
    guard, name = departed
    assert guard.messages(RunsEnded) == []
    guard.answer_holds(outcome=outcome)
    (ended,) = guard.messages(RunsEnded)
    assert [(e.name, e.end_state) for e in ended.endings] == [(name, "lost")]


@pytest.mark.parametrize("outcome", ["unsent", "unanswered"])
def test_runs_of_a_target_that_left_unseen_are_given_back_with_the_lapse(
    departed, outcome
):
    guard, _ = departed
    guard.answer_holds(outcome=outcome)
    guard.wait(0.5)
    guard.answer_holds(outcome=outcome)
    assert guard.messages(RunsEnded) == []
    guard.wait(1.5)
    (ended,) = guard.messages(RunsEnded)
    assert [e.end_state for e in ended.endings] == ["lapsed"]


def test_target_that_said_farewell_takes_no_runs_before_it_is_heard_again(departed):
    guard, name = departed
    guard.answer_holds([RunStatus(name, 5)])
    guard.order_runs(job="b" * 16)
    assert [r.reason for r in guard.messages(RunsRefused)] == ["draining"]
    guard.announce(sequence=2)
    guard.order_runs(job="c" * 16)
    assert guard.messages(RunsRefused) == []


def test_target_that_is_heard_after_a_farewell_is_not_given_up_on_at_once(departed):
    guard, _ = departed
    guard.announce(sequence=2)
    guard.answer_holds(outcome="unreachable")
    assert guard.messages(RunsEnded) == []


def test_raises_its_token_until_the_target_accepts_it(guard):
    guard.order_runs()
    tokens = [guard.answer_starts("fenced")[0].token for _ in range(4)]
    assert tokens == sorted(set(tokens))
    assert guard.messages(RunsRefused) == []


def test_raises_the_run_number_that_an_earlier_guard_has_used(guard):
    guard.order_runs()
    guard.answer_starts("old_run")
    guard.answer_starts("old_run")
    (order,) = guard.answer_starts()
    assert order.name.run > 2


def test_late_start_is_sent_again_with_the_clock_corrected(guard):
    guard.order_runs()
    (first,) = guard.orders(StartOrder)
    guard.tell(StartReply(first, "late", 9_000))
    (again,) = guard.orders(StartOrder)
    assert again.lease_end_ms > first.lease_end_ms + 3_000


@pytest.mark.parametrize(
    ("outcome", "reason"),
    [("no_room", "no_room"), ("invalid", "invalid"), ("unwell", "unwell")],
)
def test_start_that_was_turned_away_is_given_back(guard, outcome, reason):
    (name,) = guard.order_runs()
    guard.answer_starts(outcome)
    (refused,) = guard.messages(RunsRefused)
    assert (refused.runs, refused.reason) == ((name,), reason)


def test_unwell_target_gets_nothing_for_a_while(guard):
    guard.order_runs()
    guard.answer_starts("unwell")
    guard.messages(RunsRefused)
    guard.order_runs(job="b" * 16)
    assert [r.reason for r in guard.messages(RunsRefused)] == ["unwell"]


def test_start_without_an_answer_is_sent_again_under_the_same_number(guard):
    (name,) = guard.order_runs()
    guard.answer_starts("unanswered")
    assert [order.name for order in guard.answer_starts()] == [name]
    assert guard.orders(StopOrder) == []


def leave_starts_unanswered(guard):
    """Leave a start and its repeats without an answer."""
    for _ in range(1 + MAX_UNANSWERED_START_RETRIES):
        guard.answer_starts("unanswered")


def test_start_without_an_answer_is_found_in_the_lists(guard):
    (name,) = guard.order_runs()
    leave_starts_unanswered(guard)
    guard.time += 0.01
    guard.answer_holds([RunStatus(name, 5)])
    guard.answer_holds(ended=[RunEnd(1, name, "done")])
    assert guard.orders(StopOrder) == []
    assert guard.messages(RunsEnded)[0].endings[0].end_state == "done"


def test_start_without_an_answer_is_fenced_by_a_stop_before_it_is_given_back(guard):
    """The order may still be carried out, until its number has been stopped."""
    (name,) = guard.order_runs()
    leave_starts_unanswered(guard)
    guard.time += 0.01
    guard.tell(Tick())
    guard.holder.request_run_list(guard.holder.current_session())
    guard.answer_holds()
    (stop,) = guard.orders(StopOrder)
    assert guard.messages(RunsEnded) == []
    guard.tell(StopReply(stop, "stopped", 5_000))
    guard.time += 0.01
    guard.holder.request_run_list(guard.holder.current_session())
    guard.answer_holds()
    (ended,) = guard.messages(RunsEnded)
    assert [(e.name, e.end_state) for e in ended.endings] == [
        (name, "start_unanswered")
    ]


def test_stop_without_an_answer_is_sent_again(running):
    guard, name = running
    guard.tell(StopRuns((name,)), ENTRY)
    (stop,) = guard.orders(StopOrder)
    guard.tell(StopReply(stop, "unanswered"))
    assert len(guard.orders(StopOrder)) == 1


def fail_stops(guard, outcome):
    """Have stops fail with no time passed; return what the guard posts to itself."""
    posted = []
    guard.holder.post_later = lambda delay_s, message: posted.append((delay_s, message))
    for _ in range(STOPS_AT_ONCE):
        for stop in guard.orders(StopOrder):
            guard.tell(StopReply(stop, outcome))
    assert guard.orders(StopOrder) == []
    return [item for item in posted if not isinstance(item[1], ReportCapacity)]


@pytest.mark.parametrize("outcome", ["unreachable", "unsent", "unanswered", "unwell"])
def test_stops_that_fail_at_once_are_not_sent_in_a_busy_loop(running, outcome):
    """A refused port answers in no time, and each order makes a connection."""
    guard, name = running
    guard.tell(StopRuns((name,)), ENTRY)
    for _ in range(3):
        ((delay_s, again),) = fail_stops(guard, outcome)
        assert delay_s >= PAUSE_S
        guard.tell(again)
        (stop,) = guard.orders(StopOrder)
        assert stop.name == name
        guard.calls.put(stop)


def test_stop_that_was_taken_meanwhile_is_not_sent_again(running):
    guard, name = running
    guard.tell(StopRuns((name,)), ENTRY)
    ((_, again),) = fail_stops(guard, "unreachable")
    guard.answer_holds(ended=[RunEnd(1, name, "stopped")])
    guard.tell(again)
    assert guard.orders(StopOrder) == []


def test_lease_is_not_renewed_while_a_stop_is_not_being_answered(running):
    guard, name = running
    guard.tell(StopRuns((name,)), ENTRY)
    granted = list(guard.calls.leases_ms)
    lose_stops(guard, name, vouching=True)
    assert guard.orders(RenewLeaseOrder) != []
    assert guard.calls.leases_ms == granted


def test_lease_is_renewed_as_soon_as_a_stop_was_answered(guard):
    """Other runs on the target are under the same lease."""
    names = guard.order_runs(count=2)
    guard.answer_starts()
    guard.orders(RenewLeaseOrder)
    guard.tell(StopRuns(names[:1]), ENTRY)
    (stop,) = guard.orders(StopOrder)
    guard.tell(StopReply(stop, "stopped", guard.clock_ms()))
    assert [hold.lease_end_ms is None for hold in guard.orders(RenewLeaseOrder)] == [
        False
    ]


@pytest.fixture
def slow_running(running):
    """Return a guard with a run just vouched for; the target's clock is slow."""
    guard, name = running
    guard.pace = SLOWEST_PACE
    guard.time += 0.2
    guard.tell(ConfirmLease(round(guard.time * 1000), 1, ()), ENTRY)
    guard.answer_holds([RunStatus(name, 2)])
    return guard, name


def lose_stops(guard, name, vouching, seconds=1.6):
    """Let time pass; holds are answered, stops are not."""
    for step in range(round(seconds / 0.05)):
        guard.time += 0.05
        for stop in guard.orders(StopOrder):
            guard.tell(StopReply(stop, "unanswered"))
        if vouching and step % 4 == 0:
            guard.tell(ConfirmLease(round(guard.time * 1000), 1, ()), ENTRY)
        guard.answer_holds([RunStatus(name, 3 + step)])
        if step % 2:
            guard.tell(Tick())


THE_RUN = RunName(TaskName("a" * 16, 0, 0, 0), 1)


@pytest.mark.parametrize(
    ("news", "sender"),
    [
        (Tick(), None),
        (LinkDown(ENTRY.address), None),
        (Hello("entry", "recife", "entry-1"), ENTRY._replace(nonce="e2")),
        (StopRuns((THE_RUN,)), ENTRY),
        (CheckRuns(()), ENTRY),
        (CancelJobRuns(THE_RUN.task.job), OTHER),
    ],
    ids=["silent", "killed", "restarted", "job_ended", "relinked", "cancelled"],
)
def test_unwanted_run_whose_stops_are_lost_is_over_before_its_caller_sends_again(
    slow_running, news, sender
):
    guard, name = slow_running
    unwanted_at = guard.time
    guard.tell(news, sender)
    lose_stops(guard, name, vouching=type(news) in (StopRuns, CheckRuns, CancelJobRuns))
    assert guard.lease_over() + MAX_STOP_DURATION_S < unwanted_at + RESEND_S


@pytest.mark.parametrize("suspended_s", [0.55, 0.65, 0.95, 2.0])
@pytest.mark.parametrize("stops_lost", [False, True])
def test_guard_that_stood_still_lets_no_run_outlast_its_owner(
    slow_running, suspended_s, stops_lost
):
    """The answer to a hold waits for it when it goes on, before any tick."""
    guard, name = slow_running
    owner_gone_at = guard.time
    guard.time += suspended_s
    guard.answer_holds([RunStatus(name, 3)])
    if stops_lost:
        lose_stops(guard, name, vouching=False)
    assert guard.lease_over() + MAX_STOP_DURATION_S <= runs_gone_by(owner_gone_at)
    assert guard.lease_over() + MAX_STOP_DURATION_S < owner_gone_at + RESEND_S


@pytest.mark.parametrize("outcome", ["late", "fenced", "old_run"])
def test_start_turned_away_after_its_owner_gave_it_up_is_not_sent_again(guard, outcome):
    """The answer waits for a guard that stood still."""
    (name,) = guard.order_runs()
    guard.time += 2.0
    guard.answer_starts(outcome)
    assert guard.orders(StartOrder) == []
    (refused,) = guard.messages(RunsRefused)
    assert (refused.runs, refused.reason) == ((name,), "owner_silent")


@pytest.mark.parametrize("outcomes", [("unanswered",), ("unanswered", "late")])
def test_start_unanswered_when_its_owner_gave_it_up_is_fenced_instead_of_repeated(
    guard, outcomes
):
    (name,) = guard.order_runs()
    for outcome in outcomes[:-1]:
        guard.answer_starts(outcome)
    guard.time += OWNER_LEASE_S + 0.01
    guard.answer_starts(outcomes[-1])
    assert guard.orders(StartOrder) == []
    assert [stop.name for stop in guard.orders(StopOrder)] == [name]
    assert guard.messages(RunsRefused) == []


def test_runs_of_another_owner_do_not_extend_those_of_a_silent_one(slow_running):
    """One lease covers all that runs on a target."""
    guard, name = slow_running
    owner_gone_at = guard.time
    for step in range(14):
        guard.time += 0.1
        guard_clock_ms = round(guard.time * 1000)
        other = RunName(TaskName(f"b{step:015x}", 0, 0, 0), 1)
        guard.tell(
            StartRuns(guard_clock_ms, "spec", 9_000, (RunOrder(other, NEED, 1),)), OTHER
        )
        guard.answer_starts()
        for stop in guard.orders(StopOrder):
            guard.tell(StopReply(stop, "unanswered"))
        guard.answer_holds([RunStatus(name, 3 + step)])
        guard.tell(Tick())
    assert guard.lease_over() + MAX_STOP_DURATION_S < owner_gone_at + RESEND_S


@pytest.mark.parametrize("pace", [SLOWEST_PACE, 1.0])
def test_lease_keeps_half_a_second_while_owner_and_target_answer(running, pace):
    """Load pattern: a calm day; pulses come each 0.2 s, on ticks of 0.1 s."""
    guard, name = running
    guard.pace = pace
    least_s = TARGET_LEASE_S
    for step in range(40):
        guard.time += 0.1
        if step % 2:
            least_s = min(least_s, guard.lease_over() - guard.time)
            guard.answer_holds([RunStatus(name, 3 + step)])
            guard.tell(ConfirmLease(round(guard.time * 1000) - 20, 1, ()), ENTRY)
        guard.tell(Tick())
    assert least_s >= 0.5


def test_stops_the_runs_of_an_owner_that_falls_silent(running):
    guard, _ = running
    guard.wait(OWNER_LEASE_S + 0.01)
    assert len(guard.orders(StopOrder)) == 1


def test_vouching_for_an_old_pulse_extends_nothing(running):
    """Messages that a cut held up arrive all at once when it heals."""
    guard, _ = running
    guard.time += OWNER_LEASE_S / 2
    guard.tell(ConfirmLease(round((guard.time - OWNER_LEASE_S) * 1000), 1, ()), ENTRY)
    guard.wait(OWNER_LEASE_S / 2 + 0.01)
    assert len(guard.orders(StopOrder)) == 1


def test_owner_that_is_back_after_its_trust_ran_out_finds_its_runs_stopped(running):
    """A guard that stood still must not let a given-up run go on."""
    guard, _ = running
    guard.time += OWNER_LEASE_S + 0.5
    guard.tell(ConfirmLease(round(guard.time * 1000), 1, ()), ENTRY)
    assert len(guard.orders(StopOrder)) == 1


def test_order_of_an_owner_whose_trust_ran_out_finds_its_earlier_runs_stopped(running):
    """Its new order must not make the guard trust it for what it gave up."""
    guard, name = running
    guard.time += OWNER_LEASE_S + 0.5
    guard.order_runs(job="b" * 16)
    assert [stop.name for stop in guard.orders(StopOrder)] == [name]


def test_start_beside_an_unanswered_stop_waits_for_it_when_the_lease_is_over(running):
    guard, _ = running
    guard.time += OWNER_LEASE_S + 0.5
    guard.tell(ConfirmLease(round(guard.time * 1000), 1, ()), ENTRY)
    (name,) = guard.order_runs(job="b" * 16)
    assert guard.orders(StartOrder) == []
    (refused,) = guard.messages(RunsRefused)
    assert (refused.runs, refused.reason) == ((name,), "no_room")
    assert all(name not in news.runs for news in guard.messages(RunsAccepted))
    (stop,) = guard.orders(StopOrder)
    guard.tell(StopReply(stop, "stopped", guard.clock_ms()))
    guard.time += NO_CAPACITY_PAUSE_S
    (name,) = guard.order_runs(job="c" * 16)
    assert [start.name for start in guard.orders(StartOrder)] == [name]


def test_broken_link_that_is_made_anew_costs_no_run(running):
    guard, name = running
    guard.tell(LinkDown(ENTRY.address))
    guard.wait(0.1)
    guard.tell(Hello("entry", "recife", "entry-1"), ENTRY)
    guard.tell(CheckRuns((name,)), ENTRY)
    guard.tell(ConfirmLease(round(guard.time * 1000), 1, ()), ENTRY)
    guard.wait(0.2)
    assert guard.orders(StopOrder) == []


def test_runs_of_a_killed_owner_are_gone_before_the_caller_sends_again(running):
    guard, _ = running
    guard.tell(LinkDown(ENTRY.address))
    guard.wait(0.3)
    assert len(guard.orders(StopOrder)) == 1


def test_runs_of_an_owners_earlier_life_are_stopped(running):
    guard, _ = running
    guard.tell(Hello("entry", "recife", "entry-1"), Incarnation("entry:1", "e2"))
    assert len(guard.orders(StopOrder)) == 1


def ask_for_running_task(guard, name, age_s=0.0):
    """Have a second entry instance order a task that runs for the first."""
    guard_clock_ms = round((guard.time - age_s) * 1000)
    runs = (RunOrder(name, NEED, 1),)
    guard.tell(StartRuns(guard_clock_ms, "spec", 900, runs), OTHER)


def finish_stop(guard, stop):
    """Answer a stop, and show by the lists that its run is gone."""
    guard.time += 0.01
    guard.tell(StopReply(stop, "stopped", 5_000))
    for _ in range(2):
        guard.time += 0.01
        guard.answer_holds()


def told(guard, kind, address):
    """Return the messages of a type that one entry instance was sent."""
    return [b for to, b in guard.sent if to == address and type(b) is kind]


def test_task_at_work_is_not_given_back_to_another_owner_before_it_is_over(running):
    guard, name = running
    ask_for_running_task(guard, name)
    (stop,) = guard.orders(StopOrder)
    guard.tell(StopReply(stop, "unanswered"))
    (stop,) = guard.orders(StopOrder)
    guard.time += 0.01
    guard.answer_holds([RunStatus(name, 2)])
    assert told(guard, RunsRefused, OTHER.address) == []
    finish_stop(guard, stop)
    (refused,) = told(guard, RunsRefused, OTHER.address)
    assert (refused.reason, refused.runs) == ("still_running", (name,))
    assert refused.highest_run_numbers == (name.run,)
    (ended,) = told(guard, RunsEnded, ENTRY.address)
    assert [e.end_state for e in ended.endings] == ["superseded"]


def test_task_on_a_silent_target_is_given_back_to_another_owner_once_lapsed(running):
    """No target that is unwell makes a second run safe."""
    guard, name = running
    for _ in range(2):
        guard.answer_holds(outcome="unanswered")
        guard.time += 0.01
    ask_for_running_task(guard, name)
    assert told(guard, RunsRefused, OTHER.address) == []
    guard.wait(1.2)
    (refused,) = told(guard, RunsRefused, OTHER.address)
    assert refused.reason == "still_running"


def test_order_held_up_on_its_way_stops_no_run_and_starts_none_beside_it(running):
    guard, name = running
    ask_for_running_task(guard, name, age_s=OWNER_LEASE_S + 0.01)
    assert guard.orders(StopOrder) == []
    assert told(guard, RunsRefused, OTHER.address) == []
    guard.answer_holds(ended=[RunEnd(1, name, "done")])
    assert len(told(guard, RunsEnded, ENTRY.address)) == 1


def test_task_that_ended_before_its_stop_is_done_for_all_who_asked(running):
    guard, name = running
    ask_for_running_task(guard, name)
    guard.answer_holds(ended=[RunEnd(1, name, "done")])
    for address in (ENTRY.address, OTHER.address):
        (ended,) = told(guard, RunsEnded, address)
        assert [(e.name, e.end_state) for e in ended.endings] == [(name, "done")]


def test_check_finds_an_order_that_waits_for_an_earlier_run(running):
    guard, name = running
    ask_for_running_task(guard, name)
    guard.tell(CheckRuns((name,)), OTHER)
    assert told(guard, RunsEnded, OTHER.address) == []


def test_check_is_not_told_how_another_owners_run_ended(running):
    guard, name = running
    ask_for_running_task(guard, name)
    (stop,) = guard.orders(StopOrder)
    finish_stop(guard, stop)
    guard.tell(CheckRuns((name,)), OTHER)
    (ended,) = told(guard, RunsEnded, OTHER.address)
    assert [e.end_state for e in ended.endings] == ["lost"]


def test_cancelled_job_ends_an_order_that_waits_for_an_earlier_run(running):
    guard, name = running
    ask_for_running_task(guard, name)
    guard.tell(CancelJobRuns(name.task.job), Incarnation("entry:3", "g1"))
    (ended,) = told(guard, RunsEnded, OTHER.address)
    assert [e.end_state for e in ended.endings] == ["cancelled"]
    (stop,) = guard.orders(StopOrder)
    finish_stop(guard, stop)
    assert told(guard, RunsRefused, OTHER.address) == []


def test_order_of_an_owners_earlier_life_is_not_answered_to_the_next(running):
    guard, name = running
    ask_for_running_task(guard, name)
    guard.tell(Hello("entry", "olinda", "entry-2"), OTHER)
    guard.tell(Hello("entry", "olinda", "entry-2"), OTHER._replace(nonce="e9"))
    (stop,) = guard.orders(StopOrder)
    finish_stop(guard, stop)
    assert told(guard, RunsRefused, OTHER.address) == []


def test_check_reports_ends_that_were_told_while_the_link_was_down(running):
    guard, name = running
    guard.answer_holds(ended=[RunEnd(1, name, "done")])
    guard.messages(RunsEnded)
    guard.tell(CheckRuns((name, RunName(TaskName("c" * 16, 0, 0, 0), 1))), ENTRY)
    (told,) = guard.messages(RunsEnded)
    assert [e.end_state for e in told.endings] == ["done", "lost"]


def test_cancelled_job_is_stopped_whoever_owns_it(running):
    guard, name = running
    guard.tell(CancelJobRuns(name.task.job), Incarnation("entry:2", "f1"))
    assert len(guard.orders(StopOrder)) == 1


def test_run_that_stands_still_is_stopped_and_its_target_judged(running):
    guard, name = running
    for _ in range(3):
        guard.time += 0.2
        guard.tell(ConfirmLease(round(guard.time * 1000), 1, ()), ENTRY)
        guard.answer_holds([RunStatus(name, 1)])
    assert len(guard.orders(StopOrder)) == 1


def test_caller_that_gave_up_has_its_runs_stopped(guard):
    (name,) = guard.order_runs(remaining_ms=100)
    guard.answer_starts()
    guard.wait(0.11)
    assert [stop.name for stop in guard.orders(StopOrder)] == [name]


def test_runs_on_a_silent_target_are_given_back_once_their_lease_has_lapsed(running):
    guard, _ = running
    guard.answer_holds(outcome="unanswered")
    guard.wait(0.2)
    guard.answer_holds(outcome="unanswered")
    assert guard.messages(RunsEnded) == []
    guard.tell(ConfirmLease(round(guard.time * 1000), 1, ()), ENTRY)
    guard.wait(1.2)
    (ended,) = guard.messages(RunsEnded)
    assert ended.endings[0].end_state == "lapsed"


def test_runs_of_an_earlier_guard_are_stopped_before_the_target_is_ready(run):
    guard = Guard()
    guard.announce()
    stranger = RunName(TaskName("d" * 16, 0, 0, 0), 3)
    guard.answer_holds([RunStatus(stranger, 50)])
    assert [stop.name for stop in guard.orders(StopOrder)] == [stranger]
    assert guard.holder.target_status().status == "unwell"
    guard.tell(Tick())
    guard.answer_holds()
    assert guard.holder.target_status().status == "ready"


def test_lists_are_not_asked_for_in_a_busy_loop_while_a_foreign_run_is_stopped(run):
    """A stop takes a while; its end answers the hold that waits for it."""
    guard = Guard()
    guard.announce()
    stranger = RunName(TaskName("d" * 16, 0, 0, 0), 3)
    guard.answer_holds([RunStatus(stranger, 50)])
    assert [hold.wait_s > 0 for hold in guard.orders(RenewLeaseOrder)] == [True]


def test_room_is_reported_at_once_only_where_jobs_wait(guard):
    """Load pattern: a calm day at many entry instances."""
    posted = []
    guard.holder.post_later = lambda delay_s, message: posted.append(message)
    guard.tell(Hello("entry", "olinda", "entry-2"), OTHER)
    guard.wait(0.25)
    guard.holder.report_scheduled = False
    guard.order_runs()
    assert posted == []
    guard.tell(ConfirmLease(round(guard.time * 1000), 1, (), True), OTHER)
    guard.order_runs(job="b" * 16)
    guard.sent.clear()
    guard.tell(posted.pop())
    assert [to for to, body in guard.sent if type(body) is GuardHeartbeat] == [
        OTHER.address
    ]


def test_change_of_standing_is_reported_to_all(guard):
    posted = []
    guard.holder.post_later = lambda delay_s, message: posted.append(message)
    guard.tell(Hello("entry", "olinda", "entry-2"), OTHER)
    guard.wait(0.25)
    guard.holder.report_scheduled = False
    guard.sent.clear()
    guard.tell(Drain())
    guard.tell(posted.pop())
    told = {to for to, body in guard.sent if type(body) is GuardHeartbeat}
    assert told == {ENTRY.address, OTHER.address}


def test_target_that_did_not_answer_is_asked_until_it_does(running):
    """Its runs have lapsed: nothing else would show that it answers again."""
    guard, _ = running
    for _ in range(20):
        guard.answer_holds(outcome="unanswered")
        guard.wait(0.1)
    assert [e.end_state for m in guard.messages(RunsEnded) for e in m.endings] == [
        "lapsed"
    ]
    guard.order_runs(job="b" * 16)
    assert [r.reason for r in guard.messages(RunsRefused)] == ["unwell"]
    guard.wait(0.1)
    guard.answer_holds()
    guard.tell(ConfirmLease(round(guard.time * 1000), 1, ()), ENTRY)
    guard.order_runs(job="c" * 16)
    assert guard.messages(RunsRefused) == []


@pytest.mark.parametrize("outcome", ["no_room", "unwell", "unreachable", "invalid"])
def test_start_refused_after_one_without_an_answer_is_fenced_first(guard, outcome):
    """The one without an answer may be carried out late."""
    (name,) = guard.order_runs()
    guard.answer_starts("unanswered")
    guard.answer_starts(outcome)
    assert guard.messages(RunsRefused) == []
    (stop,) = guard.orders(StopOrder)
    assert stop.name == name
    finish_stop(guard, stop)
    (ended,) = guard.messages(RunsEnded)
    assert [(e.name, e.end_state) for e in ended.endings] == [
        (name, "start_unanswered")
    ]


def test_run_that_ended_before_its_repeated_start_is_not_begun_twice(guard):
    """The repeat is refused as old: its own first order was carried out."""
    (name,) = guard.order_runs()
    guard.answer_starts("unanswered")
    guard.answer_starts("old_run")
    assert guard.orders(StartOrder) == []
    guard.time += 0.01
    guard.holder.request_run_list(guard.holder.current_session())
    guard.answer_holds(ended=[RunEnd(1, name, "done")])
    (ended,) = guard.messages(RunsEnded)
    assert [(e.name, e.end_state) for e in ended.endings] == [(name, "done")]


def test_run_at_work_is_not_begun_under_a_higher_number(guard):
    """A target may refuse the repeat of a run that it has already begun."""
    (name,) = guard.order_runs()
    guard.answer_starts("unanswered")
    guard.answer_starts("old_run")
    guard.time += 0.01
    guard.holder.request_run_list(guard.holder.current_session())
    guard.answer_holds([RunStatus(name, 5)])
    assert guard.orders(StartOrder) == []
    assert guard.orders(StopOrder) == []
    guard.answer_holds(ended=[RunEnd(1, name, "done")])
    assert guard.messages(RunsEnded)[0].endings[0].end_state == "done"


def test_number_used_before_is_raised_only_after_a_doubtful_start_is_fenced(guard):
    (name,) = guard.order_runs()
    guard.answer_starts("unanswered")
    guard.answer_starts("old_run")
    guard.time += 0.01
    guard.holder.request_run_list(guard.holder.current_session())
    guard.answer_holds()
    (stop,) = guard.orders(StopOrder)
    assert stop.name == name
    guard.tell(StopReply(stop, "stopped", 5_000))
    guard.time += 0.01
    guard.holder.request_run_list(guard.holder.current_session())
    guard.answer_holds()
    (ended,) = guard.messages(RunsEnded)
    assert [(e.name, e.end_state) for e in ended.endings] == [
        (name, "start_unanswered")
    ]
    guard.order_runs(number=2)
    guard.answer_starts("old_run")
    (again,) = guard.answer_starts()
    assert again.name.run > 2


def test_vouch_stamped_before_a_power_loss_renews_no_trust(running):
    """The guard's clock may begin anew far behind the stamp."""
    guard, _ = running
    guard.tell(ConfirmLease(round((guard.time + 5_000) * 1000), 1, ()), ENTRY)
    guard.wait(OWNER_LEASE_S + 0.01)
    assert len(guard.orders(StopOrder)) == 1


def test_order_stamped_before_a_power_loss_is_refused(guard):
    guard.order_runs(age_s=-5_000)
    assert [r.reason for r in guard.messages(RunsRefused)] == ["stale_order"]
    assert guard.orders(StartOrder) == []


def test_end_of_an_owners_earlier_life_is_not_told_to_the_next(running):
    """The next life may have ordered a run of that name meanwhile."""
    guard, _ = running
    guard.tell(Hello("entry", "recife", "entry-1"), ENTRY._replace(nonce="e9"))
    (stop,) = guard.orders(StopOrder)
    finish_stop(guard, stop)
    assert guard.messages(RunsEnded) == []


FOREIGN = [
    (TargetIncarnation("t2", 900), {"service": "odd", "address": "10.9.9.9:80"}),
    (TargetIncarnation("t2", 900), {"address": "10.9.9.9:80"}),
    (TargetIncarnation("t1", 900), {"service": "odd"}),
    (LIFE, {"service": "odd"}),
    (LIFE, {"address": "10.9.9.9:80"}),
    (LIFE, {"service": "odd", "draining": True}),
]


def refuse_foreign_calls(guard):
    """Answer the calls to the target, and none to another address or id."""
    for order in guard.orders(RenewLeaseOrder):
        ours = (order.target.incarnation.id, order.target.address) == (
            "t1",
            "10.0.0.1:80",
        )
        outcome = "held" if ours else "unreachable"
        guard.tell(RenewLeaseReply(order, outcome, 5_000, 100 if ours else 0))


@pytest.mark.parametrize(("incarnation", "changes"), FOREIGN)
def test_heartbeat_of_another_writer_displaces_no_target(guard, incarnation, changes):
    guard.announce(incarnation, 7, **changes)
    refuse_foreign_calls(guard)
    target_status = guard.holder.target_status()
    assert (target_status.status, target_status.service, target_status.target) == (
        "ready",
        "visits",
        "t1",
    )
    guard.order_runs()
    (start,) = guard.orders(StartOrder)
    assert start.target == (LIFE, "10.0.0.1:80")


@pytest.mark.parametrize(
    ("incarnation", "changes"), [case for case in FOREIGN if "address" in case[1]]
)
def test_target_is_used_though_another_writer_came_first(run, incarnation, changes):
    guard = Guard()
    guard.announce(incarnation, 7, **changes)
    refuse_foreign_calls(guard)
    guard.announce(sequence=1)
    refuse_foreign_calls(guard)
    target_status = guard.holder.target_status()
    assert (target_status.status, target_status.service, target_status.target) == (
        "ready",
        "visits",
        "t1",
    )


@pytest.mark.parametrize(("incarnation", "changes"), FOREIGN)
def test_target_of_another_writer_is_not_remembered(guard, incarnation, changes):
    queue = guard.memory.queue
    seen = [queue.get_nowait().state.incarnation for _ in range(queue.qsize())]
    assert seen == [LIFE]
    guard.announce(incarnation, 7, **changes)
    refuse_foreign_calls(guard)
    assert queue.empty()


def test_new_target_takes_the_place_of_the_old_one_once_it_answers(guard):
    guard.announce(TargetIncarnation("t2", 900), address="10.0.0.2:80")
    assert guard.holder.target_status().target == "t1"
    guard.answer_holds()
    assert guard.holder.target_status().target == "t2"
    assert guard.memory.queue.qsize() == 2


FALSE_CLOCK_MS = 2**53 - 1


def test_leases_go_by_the_clock_of_answers_alone(guard):
    """A heartbeat may be late, or another writer's."""
    guard.announce(sequence=2, clock_ms=FALSE_CLOCK_MS)
    guard.order_runs()
    (start,) = guard.orders(StartOrder)
    assert start.lease_end_ms <= 5_000 + 1_000 * TARGET_LEASE_S


def test_no_lease_is_renewed_by_the_clock_of_a_first_heartbeat(running):
    guard, _ = running
    guard.announce(TargetIncarnation("t1", 900), clock_ms=FALSE_CLOCK_MS)
    holds = [
        order
        for order in guard.orders(RenewLeaseOrder)
        if order.target.incarnation != LIFE
    ]
    assert [order.lease_end_ms for order in holds] == [None]


def test_clock_that_begins_at_nothing_is_a_clock(run):
    guard = Guard()
    guard.announce(clock_ms=0)
    (order,) = guard.orders(RenewLeaseOrder)
    guard.tell(RenewLeaseReply(order, "held", 0, 100))
    guard.tell(Hello("entry", "recife", "entry-1"), ENTRY)
    guard.order_runs()
    (start,) = guard.orders(StartOrder)
    clock = TargetClockReading(0, guard.time)
    assert start.lease_end_ms == to_target_clock_ms(clock, guard.time + TARGET_LEASE_S)


def test_list_older_than_the_one_that_showed_a_doubtful_run_does_not_end_it(guard):
    """Answers on different connections overtake each other."""
    (name,) = guard.order_runs()
    for _ in range(1 + MAX_UNANSWERED_START_RETRIES):
        guard.time += 0.05
        guard.answer_starts("unanswered")
    older = guard.orders(RenewLeaseOrder)
    guard.time += 0.01
    guard.holder.request_run_list(guard.holder.current_session())
    (newer,) = guard.orders(RenewLeaseOrder)
    guard.tell(
        RenewLeaseReply(newer, "held", guard.clock_ms(), 100, (RunStatus(name, 5),))
    )
    guard.orders(RenewLeaseOrder)
    for order in older:
        guard.tell(RenewLeaseReply(order, "held", guard.clock_ms(), 100))
    assert guard.messages(RunsEnded) == []
    assert guard.orders(StopOrder) == []


def test_lease_of_a_start_that_a_new_life_carried_out_is_waited_for(running):
    """Its lease lies far ahead on the new clock, so the target grants the longest."""
    guard, _ = running
    guard.orders(RenewLeaseOrder)
    guard.time += TARGET_LEASE_S - 0.05
    guard.announce(TargetIncarnation("t1", 200))
    guard.answer_holds(outcome="unanswered")
    for _ in range(2):
        guard.time += 0.4
        guard.answer_holds(outcome="unanswered")
        guard.tell(Tick())
        assert guard.messages(RunsEnded) == []
    guard.time += 0.5
    guard.answer_holds(outcome="unanswered")
    guard.tell(Tick())
    assert [e.end_state for m in guard.messages(RunsEnded) for e in m.endings] == [
        "lapsed"
    ]


@pytest.mark.parametrize("age_s", [0.45, 0.3])
def test_owner_last_heard_long_ago_gets_no_start_under_anothers_longer_lease(
    guard, age_s
):
    """One lease covers all runs on a target, and cannot be shortened."""
    guard.tell(Hello("entry", "olinda", "entry-2"), OTHER)
    order = RunOrder(RunName(TaskName("b" * 16, 0, 0, 0), 1), NEED, 400)
    guard.time += 1.0
    heard_at = guard.time - age_s
    guard_clock_ms = round(guard.time * 1000)
    guard.tell(StartRuns(guard_clock_ms, "spec", 9_000, (order,)), OTHER)
    guard.answer_starts()
    guard.order_runs(age_s=age_s)
    begun = guard.orders(StartOrder)
    assert not begun or guard.lease_over() + MAX_STOP_DURATION_S <= runs_gone_by(
        heard_at
    )


def test_lease_that_an_earlier_life_may_have_left_is_granted_to_no_start(crashed):
    guard, _ = crashed
    (stop,) = guard.orders(StopOrder)
    guard.time += 0.01
    guard.answer_holds()
    guard.tell(StopReply(stop, "unanswered"))
    guard.order_runs(job="b" * 16)
    assert guard.orders(StartOrder) == []


def test_order_that_waits_for_a_start_which_is_turned_away_is_answered(guard):
    (name,) = guard.order_runs()
    order = RunOrder(name._replace(run=4), NEED, 400)
    guard_clock_ms = round((guard.time - OWNER_LEASE_S - 0.1) * 1000)
    guard.tell(StartRuns(guard_clock_ms, "spec", 9_000, (order,)), OTHER)
    guard.messages(RunsRefused)
    guard.answer_starts("no_room")
    refused = {name for told in guard.messages(RunsRefused) for name in told.runs}
    assert refused == {name, order.name}


STRANGER = RunName(TaskName("c" * 16, 0, 0, 0), 1)


def leave_stops_unanswered(guard):
    """Leave the stops that were sent without an answer."""
    for stop in guard.orders(StopOrder):
        guard.tell(StopReply(stop, "unanswered"))


def test_unknown_run_whose_stop_got_no_answer_is_asked_after_again(running):
    guard, name = running
    guard.time += 0.01
    guard.answer_holds([RunStatus(STRANGER, 5)], ended=[RunEnd(1, name, "done")])
    leave_stops_unanswered(guard)
    guard.time += 0.2
    guard.answer_holds([RunStatus(STRANGER, 6)])
    leave_stops_unanswered(guard)
    guard.wait(0.05)
    assert guard.orders(RenewLeaseOrder) != []


def test_unknown_run_whose_stop_got_no_answer_has_no_lease_renewed(running):
    guard, name = running
    guard.time += 0.1
    guard.tell(ConfirmLease(round(guard.time * 1000), 1, ()), ENTRY)
    granted = guard.holder.current_session().lease_end
    guard.answer_holds([RunStatus(STRANGER, 5), RunStatus(name, 2)])
    leave_stops_unanswered(guard)
    guard.time += 0.01
    guard.order_runs(job="d" * 16)
    assert guard.holder.current_session().lease_end == granted


def test_answer_from_another_address_confirms_no_target(run):
    """A heartbeat of another writer came between the call and its answer."""
    guard = Guard()
    guard.announce()
    held = guard.orders(RenewLeaseOrder)
    guard.announce(sequence=2, address="10.9.9.9:80")
    for order in held:
        guard.tell(RenewLeaseReply(order, "held", guard.clock_ms(), 100))
    guard.announce(sequence=3)
    for order in guard.orders(RenewLeaseOrder):
        ours = order.target.address == "10.0.0.1:80"
        outcome, born_ms = ("held", 100) if ours else ("unsent", 0)
        guard.tell(RenewLeaseReply(order, outcome, guard.clock_ms(), born_ms))
    assert guard.holder.current_session().state.address == "10.0.0.1:80"


def test_first_order_to_a_next_life_has_a_token_above_all_before(running):
    guard, _ = running
    token = guard.holder.current_session().token
    guard.orders(RenewLeaseOrder)
    guard.announce(TargetIncarnation("t1", 200))
    (hold,) = guard.orders(RenewLeaseOrder)
    assert hold.target.incarnation == TargetIncarnation("t1", 200)
    assert hold.token > token


def test_list_asked_for_before_a_stop_was_answered_does_not_end_its_run(running):
    guard, name = running
    older = guard.orders(RenewLeaseOrder)
    guard.time += 0.01
    guard.tell(StopRuns((name,)), ENTRY)
    (stop,) = guard.orders(StopOrder)
    guard.time += 0.01
    guard.tell(StopReply(stop, "stopped", guard.clock_ms()))
    for order in older:
        guard.tell(RenewLeaseReply(order, "held", guard.clock_ms(), 100))
    assert older != []
    assert guard.messages(RunsEnded) == []


def test_list_asked_for_before_a_start_went_unanswered_does_not_stop_its_run(running):
    guard, _ = running
    older = guard.orders(RenewLeaseOrder)
    guard.order_runs(job="b" * 16)
    for _ in range(1 + MAX_UNANSWERED_START_RETRIES):
        guard.time += 0.05
        guard.answer_starts("unanswered")
    for order in older:
        guard.tell(RenewLeaseReply(order, "held", guard.clock_ms(), 100))
    assert older != []
    stopped = {stop.name.task.job for stop in guard.orders(StopOrder)}
    assert "b" * 16 not in stopped
