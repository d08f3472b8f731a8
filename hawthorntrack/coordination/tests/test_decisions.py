"""Tests of decisions: admission, placement, retries, fairness, slots, leases."""

import random

import pytest
from hypothesis import HealthCheck, assume, given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from hawthorntrack.coordination import health, leases
from hawthorntrack.coordination import ownership as own
from hawthorntrack.coordination.admission import (
    AdmissionLoad,
    apply_deadline_limits,
    check_admission,
    customer_allowance,
)
from hawthorntrack.coordination.control_view import fleet_poll_interval_s
from hawthorntrack.coordination.fairness import WeightedFairQueue
from hawthorntrack.coordination.leaseholder import GUARD_HEARTBEAT_INTERVAL_S
from hawthorntrack.coordination.membership import (
    choose_witness,
    eligible_guards,
    sample_guards,
)
from hawthorntrack.coordination.placement import (
    PlacementContext,
    WaitingTask,
    distribute_permit_requests,
    policies,
)
from hawthorntrack.coordination.retries import decide_retry, new_budget
from hawthorntrack.coordination.run_reconciler import RENEWAL_LONG_POLL_S
from hawthorntrack.coordination.slot_assignment import (
    MembershipSnapshot,
    plan_slot_action,
)
from hawthorntrack.coordination.slot_manager import may_predate_reset
from hawthorntrack.coordination.start_checks import (
    StartConditions,
    refusal_reason,
    start_checks,
)
from hawthorntrack.state import uuid7
from hawthorntrack.state.guard_stats import GuardStats
from hawthorntrack.state.guard_view import GuardView
from hawthorntrack.state.hashing import rendezvous, slot_of
from hawthorntrack.state.lease_times import (
    DeploymentTimes,
    LeaseTimes,
    derive_lease_times,
    min_caller_retry_ms,
)
from hawthorntrack.state.slots import (
    CLAIMING,
    FORMING,
    IDLE,
    OPENED,
    WITNESS,
    SlotState,
)
from hawthorntrack.state.values import (
    NO_INCARNATION,
    Incarnation,
    Location,
    SlotRow,
    TargetLoad,
)

READY = StartConditions(
    view_fresh=True,
    zone_out=False,
    draining=False,
    has_target=True,
    leaving=False,
    kinds=frozenset({"confirm"}),
    ejected=False,
    past_deadline=False,
)
LOAD = AdmissionLoad(frozenset({"confirm"}), 0, 0, 0.1, 0.0, 88)


@pytest.mark.parametrize(
    ("change", "kind"),
    [
        ({"kinds": frozenset()}, "no_target"),
        ({"queued_tasks": 3_999}, "queue_full"),
        ({"customer_tasks": 399}, "customer_limit"),
        ({"work_ahead_ms": 88 * 4_000.0}, "deadline_unreachable"),
    ],
)
def test_admission_refuses_with_the_reason(document, make_job, change, kind):
    answer = check_admission(LOAD._replace(**change), document, make_job())
    assert (answer.kind, answer.ran) == (kind, "no")


def test_admission_accepts_a_job_within_all_limits(document, make_job):
    assert check_admission(LOAD, document, make_job()) is None


def test_job_larger_than_its_customers_quota_is_refused(document, make_job):
    job = make_job(tasks=160, customer="stranger")
    small = document._replace(
        customers={"default": document.customer("stranger")._replace(max_tasks=100)}
    )
    assert check_admission(LOAD, small, job).kind == "customer_limit"


@given(st.integers(1, 10_000), st.floats(0, 1))
def test_one_owner_never_allows_more_than_the_quota(quota, share):
    assert 1 <= customer_allowance(quota, share) <= quota


def test_deadline_is_bounded_by_the_document(document, make_job):
    job = make_job(deadline_ms=10**9)
    assert apply_deadline_limits(job, document).deadline_ms == document.max_ms
    assert apply_deadline_limits(make_job(deadline_ms=0), document).deadline_ms == 5_000


loads = st.lists(
    st.tuples(st.integers(0, 8), st.integers(0, 8), st.integers(0, 3)),
    min_size=4,
    max_size=4,
)


@pytest.mark.parametrize("name", policies.names())
@given(drawn=loads, count=st.integers(0, 40))
def test_policy_places_each_task_once_on_a_guard_with_slots(name, drawn, count):
    views = tuple(
        GuardView(
            Incarnation(f"h:{n}", "a"),
            Location("recife", "r", str(n)),
            TargetLoad("visits", ("confirm",), slots, busy, queued, 1.0),
            0,
            0.0,
        )
        for n, (slots, busy, queued) in enumerate(drawn)
    )
    context = PlacementContext(views, lambda g, k: 1.0, "recife", random.Random(1))
    tasks = [WaitingTask(1, n, "confirm", 100, 0.0, frozenset()) for n in range(count)]
    choices = policies[name].choose(context, tasks)
    eligible = {view.incarnation for view in views if view.load.slots}
    assert {choice.guard for choice in choices} <= eligible
    indices = [choice.task.index for choice in choices]
    assert len(indices) == len(set(indices))
    if name == "expected_finish":
        free_slots = sum(max(0, view.free) for view in views)
        assert len(choices) == min(count, free_slots)
    requests = distribute_permit_requests(views, {}, count)
    assert set(requests) <= eligible
    assert sum(requests.values()) == (count if eligible else 0)


@pytest.fixture
def make_context(guards, places, load, rng):
    """Return a function that creates a placement context of guards with given loads."""

    def make(loads, slowness=lambda guard, kind: 1.0):
        views = tuple(
            GuardView(guard, place, item, 0, 0.0)
            for guard, place, item in zip(guards, places, loads, strict=False)
        )
        return PlacementContext(views, slowness, "recife", rng)

    return make


def test_expected_finish_prefers_the_target_measured_faster(make_context, load, guards):
    context = make_context([load, load], lambda guard, kind: 1 + (guard == guards[0]))
    task = WaitingTask(1, 0, "confirm", 100, 0.0, frozenset())
    assert policies["expected_finish"].choose(context, [task])[0].guard == guards[1]


def test_guard_that_returned_a_task_is_avoided(make_context, load, guards):
    context = make_context([load, load])
    task = WaitingTask(1, 0, "confirm", 100, 0.0, frozenset({guards[0]}))
    for name in policies:
        chosen = {c.guard for c in policies[name].choose(context, [task])}
        assert chosen <= {guards[1]}


def test_retries_stop_at_max_attempts_and_slow_down_without_budget(document):
    budget = new_budget()
    assert decide_retry(1, document, budget, 0.0).retry
    assert not decide_retry(document.max_attempts, document, budget, 0.0).retry
    decisions = [decide_retry(1, document, budget, 0.0) for _ in range(300)]
    assert decisions[-1].retry
    assert decisions[-1].delay_s > decisions[0].delay_s


@given(st.dictionaries(st.sampled_from("abc"), st.integers(1, 30), min_size=2))
def test_customers_of_equal_weight_take_turns(counts):
    queues = {name: list(range(count)) for name, count in counts.items()}
    order = list(WeightedFairQueue().interleave(queues, dict.fromkeys(queues, 1.0)))
    assert len(order) == sum(counts.values())
    shortest = min(counts.values())
    placed = order[: shortest * len(counts)]
    assert sorted(placed) == sorted(list(range(shortest)) * len(counts))


def test_customer_with_three_times_the_weight_gets_three_times_the_places():
    queues = {"a": ["a"] * 40, "b": ["b"] * 40}
    placed = list(WeightedFairQueue().interleave(queues, {"a": 3.0, "b": 1.0}))[:40]
    assert placed.count("a") == 30


REFUSAL_CASES = {
    "zone_out": {"zone_out": True},
    "stale_view": {"view_fresh": False},
    "draining": {"draining": True},
    "no_target": {"has_target": False},
    "target_leaving": {"leaving": True},
    "wrong_kind": {"kinds": frozenset()},
    "target_ejected": {"ejected": True},
    "too_late": {"past_deadline": True},
}


def test_every_start_check_has_a_case():
    assert REFUSAL_CASES.keys() == set(start_checks)


@pytest.mark.parametrize("reason", sorted(REFUSAL_CASES))
def test_start_check_refuses_with_its_reason(reason):
    assert refusal_reason(READY._replace(**REFUSAL_CASES[reason]), "confirm") == reason
    assert refusal_reason(READY, "confirm") is None


@pytest.mark.parametrize("reason", sorted(REFUSAL_CASES))
def test_task_would_start_without_the_check(reason, monkeypatch):
    # A new mapping keeps the order of the checks, which matters; an entry that is
    # removed and put back would come last.
    others = {name: start_checks[name] for name in start_checks if name != reason}
    monkeypatch.setattr(start_checks, "entries", others)
    assert refusal_reason(READY._replace(**REFUSAL_CASES[reason]), "confirm") is None


def test_failing_target_is_ejected_then_probed_and_restored():
    state = health.Health()
    for key in ("a", "a", "b", "c"):
        state = health.after_result(state, key, True, 0.0)
    assert health.capacity(state, 8, 0.5) == 0
    assert health.capacity(state, 8, 1.5) == 1
    probe = health.after_task_start(state)
    assert health.after_result(probe, "d", True, 1.5).ejected_until == 3.5
    assert health.capacity(health.after_result(probe, "d", False, 1.5), 8, 1.6) == 8


def test_failures_of_a_single_job_eject_no_target():
    state = health.Health()
    for _ in range(160):
        state = health.after_result(state, "poison", True, 0.0)
    assert health.capacity(state, 8, 0.0) == 8


def test_witness_is_in_another_zone_or_rack(infos):
    candidates = {info.incarnation.address: info for info in infos}
    for slot in range(20):
        witness = choose_witness(slot, infos[0], candidates, "other_zone")
        assert candidates[witness.address].place.zone != "recife"
        same_zone_witness = choose_witness(slot, infos[0], candidates, "other_rack")
        assert same_zone_witness == infos[1].incarnation


def test_guards_out_of_service_are_not_eligible(infos, guards):
    registered = {info.incarnation.address: info for info in infos}
    eligible = eligible_guards(registered, frozenset({"recife"}), set(guards[:3]))
    assert list(eligible) == [guards[2].address]


def test_sample_of_guards_has_half_from_the_own_zone(infos, places):
    registered = [
        info._replace(
            incarnation=info.incarnation._replace(address=f"h:{n}-{info.place.zone}")
        )
        for n in range(50)
        for info in infos
    ]
    sample = sample_guards(places[2], registered, 20, "h:1")
    assert len({guard.incarnation for guard in sample}) == 20
    assert sum(guard.place.zone == "olinda" for guard in sample) >= 10


@given(st.sets(st.text(min_size=1, max_size=4), min_size=2, max_size=8))
def test_leaving_guard_moves_only_its_own_slots(names):
    left = min(names)
    for slot in range(8):
        before = rendezvous(str(slot), names)
        assert rendezvous(str(slot), names - {left}) == [n for n in before if n != left]


def test_polls_of_all_processes_stay_within_the_tables_budget():
    assert 13_000 / fleet_poll_interval_s(0.5, 13_000, 400) <= 400


def test_keys_spread_evenly_over_slots():
    counts = [0] * 16
    for number in range(16_000):
        counts[slot_of("visits", f"key-{number}", 16)] += 1
    assert 850 < min(counts) and max(counts) < 1_150


def test_only_keys_created_after_a_reset_are_certainly_new():
    lost_ms = 1_700_000_000_000
    assert not may_predate_reset(uuid7.new_uuid7(lost_ms + 61_000), lost_ms, 60)
    assert may_predate_reset(uuid7.new_uuid7(lost_ms + 59_000), lost_ms, 60)
    assert may_predate_reset("reservation-7", lost_ms, 60)


# Slots


@pytest.fixture
def opened(guards):
    row = SlotRow(1, guards[0], guards[1], True, guards[0], guards[1], 0, 2)
    return SlotState(OPENED, 1, guards[1], row)


@pytest.fixture
def snapshot(infos, guards):
    return MembershipSnapshot(
        me=infos[0],
        registered={info.incarnation.address: info for info in infos},
        candidates={info.incarnation.address: info for info in infos},
        candidate_addresses=frozenset(info.incarnation.address for info in infos),
        alive=set(guards),
        rule="other_zone",
        membership_stable=True,
        leaving=False,
    )


def test_guard_outside_the_pair_does_not_claim_a_formed_slot(opened, guards):
    outside_state = SlotState(row=opened.row)
    step = own.decide(guards[2], outside_state, own.Claim(guards[3]))
    assert step.state == outside_state
    assert step.commands == (own.ReadRow(),)


def test_claimer_refuses_pending_jobs_before_it_writes_the_row(opened, guards):
    step = own.decide(guards[0], opened, own.Claim(guards[2]))
    assert step.state.phase == CLAIMING
    assert [type(c).__name__ for c in step.commands] == ["RefusePending", "WriteRow"]


def test_unconfirmed_claim_is_written_again_until_the_row_shows_the_outcome(
    opened, guards
):
    state = own.decide(guards[0], opened, own.Claim(guards[2])).state
    retried = own.decide(guards[0], state, own.WriteUnconfirmed())
    assert retried.commands == (own.WriteRow(2, state.pending_write),)
    own_row = state.pending_write._replace(version=9)
    assert own.decide(guards[0], state, own.WriteConflicted(own_row)).state.epoch == 2
    other_row = own_row._replace(owner=guards[1])
    assert (
        own.decide(guards[0], state, own.WriteConflicted(other_row)).state.phase
        == "idle"
    )


def test_witness_accepts_replication_from_its_owner_and_epoch_only(guards):
    state = SlotState(WITNESS, 2, guards[0])
    for sender, epoch, accepted in [
        (guards[0], 2, True),
        (guards[0], 1, False),
        (guards[2], 2, False),
    ]:
        step = own.decide(guards[1], state, own.ReplicationRequested(sender, epoch))
        assert isinstance(step.commands[0], own.AcceptReplication) == accepted


def test_owner_claims_with_another_witness_when_its_witness_is_silent(
    opened, snapshot, guards
):
    without_witness = snapshot._replace(alive=snapshot.alive - {guards[1]})
    action = plan_slot_action(3, opened, without_witness)
    assert action.reason == "peer_silent"
    assert action.witness not in (guards[0], guards[1], None)


def test_leaving_owner_asks_its_witness_to_claim(opened, snapshot):
    candidates = {a: g for a, g in snapshot.candidates.items() if g != snapshot.me}
    action = plan_slot_action(
        3, opened, snapshot._replace(leaving=True, candidates=candidates)
    )
    assert (action.reason, action.witness) == ("leaving", None)


@hypothesis_settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(
    phase=st.sampled_from([IDLE, OPENED, WITNESS, FORMING]),
    serving=st.sets(st.integers(1, 3)),
    alive=st.sets(st.integers(1, 3)),
    slot=st.integers(0, 63),
)
def test_draining_guard_claims_no_slot_and_hands_over_its_own(
    opened, snapshot, infos, guards, phase, serving, alive, slot
):
    candidates = {infos[n].incarnation.address: infos[n] for n in serving}
    draining = snapshot._replace(
        leaving=True,
        candidates=candidates,
        candidate_addresses=frozenset(candidates),
        alive={guards[0], *(guards[n] for n in alive)},
    )
    action = plan_slot_action(slot, opened._replace(phase=phase), draining)
    if phase == IDLE:
        assert action is None
    elif phase == OPENED and 1 in serving & alive:
        assert (action.reason, action.witness) == ("leaving", None)
    elif phase == OPENED and serving - {1}:
        assert action.witness in {guards[n] for n in serving - {1}}
    if action is not None and action.witness is not None:
        assert action.witness.address in candidates


@pytest.mark.parametrize("lost", [1, 2])
def test_slot_is_reset_only_when_the_table_shows_both_members_gone(
    opened, snapshot, infos, guards, lost
):
    row = opened.row._replace(
        owner=guards[1], witness=guards[2], last_owner=guards[1], last_witness=guards[2]
    )
    gone = {guard.address for guard in guards[1 : 1 + lost]}
    registered = {a: g for a, g in snapshot.registered.items() if a not in gone}
    snapshot = snapshot._replace(
        registered=registered,
        candidates={guards[0].address: infos[0], guards[3].address: infos[3]},
        candidate_addresses=frozenset({guards[0].address, guards[3].address}),
        alive={guards[0], guards[3]},
    )
    actions = [
        plan_slot_action(slot, SlotState(row=row), snapshot) for slot in range(20)
    ]
    resets = [action for action in actions if action and action.reset]
    assert bool(resets) == (lost == 2)


def test_any_guard_may_claim_a_slot_before_its_first_epoch(guards):
    row = SlotRow(1, guards[0], guards[1], False, NO_INCARNATION, NO_INCARNATION, 0, 1)
    assert own.may_claim(guards[3], row)


def test_older_load_report_does_not_replace_a_newer_one(guards, places, load):
    fleet = GuardStats()
    fleet.record_heartbeat(guards[0], places[0], 1.0)
    fleet.update_load(guards[0], load._replace(busy=8, sequence=2), 1.0)
    fleet.record_sent(guards[0], 3, 1.0)
    fleet.update_load(guards[0], load._replace(busy=0, sequence=1), 1.001)
    (view,) = fleet.guard_views("visits", {guards[0]}, 1.001, 2.0)
    assert (view.load.busy, view.pending_tasks) == (8, 11)


def test_task_in_transit_counts_on_top_of_a_load_report_without_it(
    guards, places, load
):
    fleet = GuardStats()
    fleet.record_heartbeat(guards[0], places[0], 1.0)
    fleet.record_sent(guards[0], 3, 1.0)
    fleet.update_load(guards[0], load._replace(busy=5, sequence=1), 1.001)
    assert fleet.guard_views("visits", {guards[0]}, 1.001, 2.0)[0].pending_tasks == 8
    fleet.update_load(guards[0], load._replace(busy=8, sequence=2), 1.1)
    assert fleet.guard_views("visits", {guards[0]}, 1.1, 2.0)[0].pending_tasks == 8


# Callers retry this long after a broken connection, a 502 or a 504.
CALLER_RETRY_S = 1.3


def test_runs_of_a_lost_owner_end_before_its_caller_retries():
    """Checked for 100 lease times and the slowest target clock, which is 2% slow."""
    longest_stop_s, slowest_pace = 0.05, 0.98
    times = derive_lease_times(DeploymentTimes())
    clock = leases.TargetClockReading(0, 0.0)
    for granted_at in [step / 100 for step in range(100)]:
        ends = leases.target_lease_end(times, granted_at, [times.owner_lease_s])
        over = leases.to_target_clock_ms(clock, ends) / 1000 / slowest_pace
        assert over + longest_stop_s < leases.runs_gone_by(times, 0.0)
    assert leases.runs_gone_by(times, 0.0) < CALLER_RETRY_S


@given(
    caller_retry_ms=st.floats(500, 5_000),
    stop_ms=st.floats(1, 1_000),
    max_target_lease_ms=st.floats(100, 10_000),
)
def test_lease_times_of_any_deployment_end_runs_before_callers_retry(
    caller_retry_ms, stop_ms, max_target_lease_ms
):
    """The largest sum: heartbeat, owner lease, overrun, slow target clock, stop."""
    assume(caller_retry_ms >= min_caller_retry_ms(stop_ms))
    times = derive_lease_times(
        DeploymentTimes(caller_retry_ms, max_target_lease_ms, stop_ms)
    )
    clock = leases.TargetClockReading(0, 0.0)
    owner_lease_end = leases.owner_lease_end(times, 0, 0.0)
    for granted_at in [step / 20 for step in range(20)]:
        ends = leases.target_lease_end(times, granted_at, [owner_lease_end])
        over = leases.to_target_clock_ms(clock, ends) / 1000 / 0.98
        assert over + stop_ms / 1000 < leases.runs_gone_by(times, 0.0)
    assert leases.runs_gone_by(times, 0.0) < caller_retry_ms / 1000
    longest_lease_s = max_target_lease_ms / 1000 / 0.98
    assert longest_lease_s < leases.latest_lease_end(times, 0.0)
    assert times.owner_lease_s >= 2 * GUARD_HEARTBEAT_INTERVAL_S
    assert times.target_lease_s >= 2 * RENEWAL_LONG_POLL_S


def test_lease_times_at_the_usual_deployment_times():
    times = derive_lease_times(DeploymentTimes(1_300.0, 1_000.0, 50.0))
    assert times == derive_lease_times(DeploymentTimes())
    assert times == LeaseTimes(0.6, 0.4, 0.75, 1.0, 0.1)
    assert leases.runs_gone_by(times, 0.0) == 1.1
    assert leases.latest_lease_end(times, 0.0) == 1.03


@pytest.mark.parametrize(
    "deployment_times",
    [{"caller_retry_ms": 60_000}, {"stop_ms": 1}, {"max_target_lease_ms": 10_000}],
)
def test_owner_leases_do_not_grow_with_the_deployment_times(deployment_times):
    times = derive_lease_times(DeploymentTimes(**deployment_times))
    assert times[:3] == derive_lease_times(DeploymentTimes())[:3]
