"""Decisions over values: admission, placement, retries, fairness, membership."""

import random

import pytest
from hypothesis import HealthCheck, given
from hypothesis import settings as settings_of_search
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
BUSY = AdmissionLoad(frozenset({"confirm"}), 0, 0, 0.1, 0.0, 88)


@pytest.mark.parametrize(
    ("change", "kind"),
    [
        ({"kinds": frozenset()}, "no_target"),
        ({"queued_tasks": 3_999}, "queue_full"),
        ({"customer_tasks": 399}, "customer_limit"),
        ({"work_ahead_ms": 88 * 4_000.0}, "deadline_unreachable"),
    ],
)
def test_admission_refuses_early_with_the_reason(document, make_job, change, kind):
    answer = check_admission(BUSY._replace(**change), document, make_job())
    assert (answer.kind, answer.ran) == (kind, "no")


def test_admission_takes_what_fits(document, make_job):
    assert check_admission(BUSY, document, make_job()) is None


def test_job_above_the_whole_quota_is_refused(document, make_job):
    job = make_job(tasks=160, customer="stranger")
    small = document._replace(
        customers={"default": document.customer("stranger")._replace(max_tasks=100)}
    )
    assert check_admission(BUSY, small, job).kind == "customer_limit"


@given(st.integers(1, 10_000), st.floats(0, 1))
def test_one_owner_never_allows_more_than_the_quota(quota, share):
    assert 1 <= customer_allowance(quota, share) <= quota


def test_deadline_is_bounded_by_the_document(document, make_job):
    asked = make_job(deadline_ms=10**9)
    assert apply_deadline_limits(asked, document).deadline_ms == document.max_ms
    assert apply_deadline_limits(make_job(deadline_ms=0), document).deadline_ms == 5_000


loads = st.lists(
    st.tuples(st.integers(0, 8), st.integers(0, 8), st.integers(0, 3)),
    min_size=4,
    max_size=4,
)


@pytest.mark.parametrize("name", policies.names())
@given(drawn=loads, count=st.integers(0, 40))
def test_policy_places_each_task_on_a_guard_that_runs_it(name, drawn, count):
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
    scene = PlacementContext(views, lambda g, k: 1.0, "recife", random.Random(1))
    tasks = [WaitingTask(1, n, "confirm", 100, 0.0, frozenset()) for n in range(count)]
    choices = policies[name].choose(scene, tasks)
    able = {view.incarnation for view in views if view.load.slots}
    assert {choice.guard for choice in choices} <= able
    indices = [choice.task.index for choice in choices]
    assert len(indices) == len(set(indices))
    if name == "expected_finish":
        room = sum(max(0, view.free) for view in views)
        assert len(choices) == min(count, room)
    asked = distribute_permit_requests(views, {}, count)
    assert set(asked) <= able
    assert sum(asked.values()) == (count if able else 0)


@pytest.fixture
def scene_of(guards, places, load, rng):
    """Return a function that makes a scene of loads."""

    def make(loads, slowness=lambda guard, kind: 1.0):
        views = tuple(
            GuardView(guard, place, item, 0, 0.0)
            for guard, place, item in zip(guards, places, loads, strict=False)
        )
        return PlacementContext(views, slowness, "recife", rng)

    return make


def test_expected_finish_prefers_the_target_measured_faster(scene_of, load, guards):
    scene = scene_of([load, load], lambda guard, kind: 1 + (guard == guards[0]))
    task = WaitingTask(1, 0, "confirm", 100, 0.0, frozenset())
    assert policies["expected_finish"].choose(scene, [task])[0].guard == guards[1]


def test_guard_that_sent_a_task_back_is_avoided(scene_of, load, guards):
    scene = scene_of([load, load])
    task = WaitingTask(1, 0, "confirm", 100, 0.0, frozenset({guards[0]}))
    for name in policies:
        chosen = {c.guard for c in policies[name].choose(scene, [task])}
        assert chosen <= {guards[1]}


def test_retries_end_after_the_attempts_and_slow_down_without_budget(document):
    budget = new_budget()
    assert decide_retry(1, document, budget, 0.0).retry
    assert not decide_retry(document.max_attempts, document, budget, 0.0).retry
    verdicts = [decide_retry(1, document, budget, 0.0) for _ in range(300)]
    assert verdicts[-1].retry
    assert verdicts[-1].delay_s > verdicts[0].delay_s


@given(st.dictionaries(st.sampled_from("abc"), st.integers(1, 30), min_size=2))
def test_customers_take_turns_by_weight(counts):
    queues = {name: list(range(count)) for name, count in counts.items()}
    order = list(WeightedFairQueue().interleave(queues, dict.fromkeys(queues, 1.0)))
    assert len(order) == sum(counts.values())
    least = min(counts.values())
    first = order[: least * len(counts)]
    assert sorted(first) == sorted(list(range(least)) * len(counts))


def test_heavier_customer_gets_more_places():
    queues = {"a": ["a"] * 40, "b": ["b"] * 40}
    first = list(WeightedFairQueue().interleave(queues, {"a": 3.0, "b": 1.0}))[:40]
    assert first.count("a") == 30


STOPS = {
    "zone_out": {"zone_out": True},
    "stale_view": {"view_fresh": False},
    "draining": {"draining": True},
    "no_target": {"has_target": False},
    "target_leaving": {"leaving": True},
    "wrong_kind": {"kinds": frozenset()},
    "target_ejected": {"ejected": True},
    "too_late": {"past_deadline": True},
}


def test_every_start_check_is_tried():
    assert STOPS.keys() == set(start_checks)


@pytest.mark.parametrize("reason", sorted(STOPS))
def test_guard_sends_back_with_the_reason(reason):
    assert refusal_reason(READY._replace(**STOPS[reason]), "confirm") == reason
    assert refusal_reason(READY, "confirm") is None


@pytest.mark.parametrize("reason", sorted(STOPS))
def test_task_would_start_without_the_check(reason, monkeypatch):
    # A new mapping: an item put back would come last, and the order counts.
    others = {name: start_checks[name] for name in start_checks if name != reason}
    monkeypatch.setattr(start_checks, "entries", others)
    assert refusal_reason(READY._replace(**STOPS[reason]), "confirm") is None


def test_black_hole_is_ejected_probed_and_taken_back():
    state = health.Health()
    for key in ("a", "a", "b", "c"):
        state = health.after_result(state, key, True, 0.0)
    assert health.capacity(state, 8, 0.5) == 0
    assert health.capacity(state, 8, 1.5) == 1
    probe = health.after_task_start(state)
    assert health.after_result(probe, "d", True, 1.5).ejected_until == 3.5
    assert health.capacity(health.after_result(probe, "d", False, 1.5), 8, 1.6) == 8


def test_one_job_that_cannot_run_ejects_no_target():
    state = health.Health()
    for _ in range(160):
        state = health.after_result(state, "poison", True, 0.0)
    assert health.capacity(state, 8, 0.0) == 8


def test_witness_stands_in_another_zone(infos):
    candidates = {info.incarnation.address: info for info in infos}
    for slot in range(20):
        witness = choose_witness(slot, infos[0], candidates, "other_zone")
        assert candidates[witness.address].place.zone != "recife"
        near = choose_witness(slot, infos[0], candidates, "other_rack")
        assert near == infos[1].incarnation


def test_guards_out_of_service_are_not_eligible(infos, guards):
    registered = {info.incarnation.address: info for info in infos}
    left = eligible_guards(registered, frozenset({"recife"}), set(guards[:3]))
    assert list(left) == [guards[2].address]


def test_view_is_a_sample_with_half_from_the_own_zone(infos, places):
    many = [
        info._replace(
            incarnation=info.incarnation._replace(address=f"h:{n}-{info.place.zone}")
        )
        for n in range(50)
        for info in infos
    ]
    sample = sample_guards(places[2], many, 20, "h:1")
    assert len({guard.incarnation for guard in sample}) == 20
    assert sum(guard.place.zone == "olinda" for guard in sample) >= 10


@given(st.sets(st.text(min_size=1, max_size=4), min_size=2, max_size=8))
def test_leaving_guard_moves_only_its_own_slots(names):
    gone = min(names)
    for slot in range(8):
        before = rendezvous(str(slot), names)
        assert rendezvous(str(slot), names - {gone}) == [n for n in before if n != gone]


def test_polls_of_all_processes_stay_within_the_tables_budget():
    assert 13_000 / fleet_poll_interval_s(0.5, 13_000, 400) <= 400


def test_keys_spread_evenly_over_slots():
    counts = [0] * 16
    for number in range(16_000):
        counts[slot_of("visits", f"key-{number}", 16)] += 1
    assert 850 < min(counts) and max(counts) < 1_150


def test_key_made_after_a_reset_is_new_and_any_other_may_have_run():
    lost_ms = 1_700_000_000_000
    assert not may_predate_reset(uuid7.new_uuid7(lost_ms + 61_000), lost_ms, 60)
    assert may_predate_reset(uuid7.new_uuid7(lost_ms + 59_000), lost_ms, 60)
    assert may_predate_reset("reservation-7", lost_ms, 60)


# --- slots


@pytest.fixture
def opened(guards):
    row = SlotRow(1, guards[0], guards[1], True, guards[0], guards[1], 0, 2)
    return SlotState(OPENED, 1, guards[1], row)


@pytest.fixture
def around(infos, guards):
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


def test_stranger_may_not_claim_a_formed_slot(opened, guards):
    stranger = SlotState(row=opened.row)
    step = own.decide(guards[2], stranger, own.Claim(guards[3]))
    assert step.state == stranger
    assert step.commands == (own.ReadRow(),)


def test_claimer_refuses_what_is_pending_before_it_writes(opened, guards):
    step = own.decide(guards[0], opened, own.Claim(guards[2]))
    assert step.state.phase == CLAIMING
    assert [type(c).__name__ for c in step.commands] == ["RefusePending", "WriteRow"]


def test_unsettled_claim_is_written_again_until_the_row_tells(opened, guards):
    state = own.decide(guards[0], opened, own.Claim(guards[2])).state
    again = own.decide(guards[0], state, own.WriteUnconfirmed())
    assert again.commands == (own.WriteRow(2, state.pending_write),)
    mine = state.pending_write._replace(version=9)
    assert own.decide(guards[0], state, own.WriteConflicted(mine)).state.epoch == 2
    other = mine._replace(owner=guards[1])
    assert (
        own.decide(guards[0], state, own.WriteConflicted(other)).state.phase == "idle"
    )


def test_witness_takes_notes_of_its_owner_and_epoch_only(guards):
    state = SlotState(WITNESS, 2, guards[0])
    for sender, epoch, taken in [
        (guards[0], 2, True),
        (guards[0], 1, False),
        (guards[2], 2, False),
    ]:
        step = own.decide(guards[1], state, own.ReplicationRequested(sender, epoch))
        assert isinstance(step.commands[0], own.AcceptReplication) == taken


def test_owner_claims_when_its_witness_falls_silent(opened, around, guards):
    quiet = around._replace(alive=around.alive - {guards[1]})
    move = plan_slot_action(3, opened, quiet)
    assert move.reason == "peer_silent"
    assert move.witness not in (guards[0], guards[1], None)


def test_leaving_owner_asks_its_witness_to_claim(opened, around):
    left = {a: g for a, g in around.candidates.items() if g != around.me}
    move = plan_slot_action(3, opened, around._replace(leaving=True, candidates=left))
    assert (move.reason, move.witness) == ("leaving", None)


@settings_of_search(suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(
    phase=st.sampled_from([IDLE, OPENED, WITNESS, FORMING]),
    serving=st.sets(st.integers(1, 3)),
    alive=st.sets(st.integers(1, 3)),
    slot=st.integers(0, 63),
)
def test_draining_guard_takes_nothing_up_and_gives_all_away(
    opened, around, infos, guards, phase, serving, alive, slot
):
    candidates = {infos[n].incarnation.address: infos[n] for n in serving}
    draining = around._replace(
        leaving=True,
        candidates=candidates,
        candidate_addresses=frozenset(candidates),
        alive={guards[0], *(guards[n] for n in alive)},
    )
    move = plan_slot_action(slot, opened._replace(phase=phase), draining)
    if phase == IDLE:
        assert move is None
    elif phase == OPENED and 1 in serving & alive:
        assert (move.reason, move.witness) == ("leaving", None)
    elif phase == OPENED and serving - {1}:
        assert move.witness in {guards[n] for n in serving - {1}}
    if move is not None and move.witness is not None:
        assert move.witness.address in candidates


@pytest.mark.parametrize("lost", [1, 2])
def test_slot_is_reset_only_when_the_table_shows_both_members_gone(
    opened, around, infos, guards, lost
):
    row = opened.row._replace(
        owner=guards[1], witness=guards[2], last_owner=guards[1], last_witness=guards[2]
    )
    gone = {guard.address for guard in guards[1 : 1 + lost]}
    left = {a: g for a, g in around.registered.items() if a not in gone}
    around = around._replace(
        registered=left,
        candidates={guards[0].address: infos[0], guards[3].address: infos[3]},
        candidate_addresses=frozenset({guards[0].address, guards[3].address}),
        alive={guards[0], guards[3]},
    )
    moves = [plan_slot_action(slot, SlotState(row=row), around) for slot in range(20)]
    resets = [move for move in moves if move and move.reset]
    assert bool(resets) == (lost == 2)


def test_before_the_first_epoch_anyone_may_claim(guards):
    row = SlotRow(1, guards[0], guards[1], False, NO_INCARNATION, NO_INCARNATION, 0, 1)
    assert own.may_claim(guards[3], row)


def test_older_load_does_not_replace_a_newer_one(guards, places, load):
    fleet = GuardStats()
    fleet.record_heartbeat(guards[0], places[0], 1.0)
    fleet.update_load(guards[0], load._replace(busy=8, sequence=2), 1.0)
    fleet.record_sent(guards[0], 3, 1.0)
    fleet.update_load(guards[0], load._replace(busy=0, sequence=1), 1.001)
    (view,) = fleet.guard_views("visits", {guards[0]}, 1.001, 2.0)
    assert (view.load.busy, view.pending_tasks) == (8, 11)


def test_task_on_its_way_counts_beside_a_load_that_cannot_know_it(guards, places, load):
    fleet = GuardStats()
    fleet.record_heartbeat(guards[0], places[0], 1.0)
    fleet.record_sent(guards[0], 3, 1.0)
    fleet.update_load(guards[0], load._replace(busy=5, sequence=1), 1.001)
    assert fleet.guard_views("visits", {guards[0]}, 1.001, 2.0)[0].pending_tasks == 8
    fleet.update_load(guards[0], load._replace(busy=8, sequence=2), 1.1)
    assert fleet.guard_views("visits", {guards[0]}, 1.1, 2.0)[0].pending_tasks == 8


RESEND_S = 1.3  # stated: from a broken connection, 502 or 504 to the next attempt


def test_runs_of_an_owner_that_is_gone_are_over_before_its_caller_sends_again():
    """Whenever the lease is granted, and however slow the target's clock is."""
    longest_stop_s, slowest_pace = 0.05, 0.98  # stated
    clock = leases.TargetClockReading(0, 0.0)
    for granted_at in [step / 100 for step in range(100)]:
        ends = leases.target_lease_end(granted_at, [leases.OWNER_LEASE_S])
        over = leases.to_target_clock_ms(clock, ends) / 1000 / slowest_pace
        assert over + longest_stop_s < leases.runs_gone_by(0.0)
    assert leases.runs_gone_by(0.0) < RESEND_S
