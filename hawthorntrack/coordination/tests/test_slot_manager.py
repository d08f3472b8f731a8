"""Tests that each key is admitted once, and that every submission gets its answer."""

import asyncio
import itertools

import pytest

from hawthorntrack.coordination import ownership
from hawthorntrack.coordination.slot_manager import SlotManager
from hawthorntrack.coordination.tests.conftest import deliver, posted, show_view, tick
from hawthorntrack.protocol import local, messages
from hawthorntrack.state.idempotency_keys import KeyRecord
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.outcomes import CUSTOMER_LIMIT, refuse
from hawthorntrack.state.slots import OPENED, WITNESS, SlotState
from hawthorntrack.state.table import MemoryTable
from hawthorntrack.state.values import Answer, Incarnation, SlotRow

ENTRY = Incarnation("127.0.0.1:41", "e")
OTHER_ENTRY = Incarnation("127.0.0.1:42", "e")
SEQUENCES = itertools.count(1)


@pytest.fixture
def make_manager(infos, settings, wire, view, guards):
    """Return a function that makes an owner of slot 0 with guard 1 as its witness."""

    def make():
        manager = SlotManager(
            infos[0],
            settings,
            MemoryTable(),
            wire.send,
            Mailbox("heartbeats"),
            Mailbox("runner"),
            Mailbox("drained"),
        )
        show_view(manager, view)
        row = SlotRow(1, guards[0], guards[1], True, guards[0], guards[1], 0, 2)
        slot = manager.slots[0]
        slot.state = SlotState(OPENED, 1, guards[1], row)
        slot.tracker.state = OPENED
        manager.active_slots[0] = slot
        return manager

    return make


def submit(manager, job, entry=ENTRY, request="1", sequence=0):
    """Submit a job; return the offers posted to the runner."""
    deliver(
        manager, messages.Submit(request, sequence or next(SEQUENCES), 0, job), entry
    )
    return posted(manager.runner, local.OfferJob)


def admit(manager, job, wire, guards):
    """Submit a job and have it admitted; return its token."""
    token = submit(manager, job)[0].token
    deliver(manager, local.OfferReply(token, 0, None))
    batch = wire.take(messages.ReplicateKeys)[0]
    deliver(manager, messages.KeysReplicated(0, batch.epoch, batch.batch), guards[1])
    assert posted(manager.runner, local.AdmitJob) == [local.AdmitJob(token)]
    return token


def answers(wire):
    """Return and remove the answers sent, each with its entry and request."""
    found = [
        (to, body.request, body.answer)
        for to, body in wire.sent
        if isinstance(body, messages.Answered)
    ]
    wire.take(messages.Answered)
    return found


def test_job_is_admitted_only_after_the_witness_confirms_its_key(
    run, make_manager, wire, guards, make_job
):
    async def scenario():
        manager = make_manager()
        token = submit(manager, make_job())[0].token
        deliver(manager, local.OfferReply(token, 0, None))
        assert posted(manager.runner, local.AdmitJob) == []
        batch = wire.take(messages.ReplicateKeys)[0]
        deliver(
            manager, messages.KeysReplicated(0, batch.epoch + 1, batch.batch), guards[1]
        )
        deliver(
            manager, messages.KeysReplicated(0, batch.epoch, batch.batch), guards[2]
        )
        assert posted(manager.runner, local.AdmitJob) == []
        deliver(
            manager, messages.KeysReplicated(0, batch.epoch, batch.batch), guards[1]
        )
        assert posted(manager.runner, local.AdmitJob) == [local.AdmitJob(token)]

    run(scenario())


def test_repeated_submission_gets_the_same_answer(
    run, make_manager, wire, guards, make_job
):
    async def scenario():
        manager = make_manager()
        token = admit(manager, make_job(), wire, guards)
        assert submit(manager, make_job(), OTHER_ENTRY, "7") == []
        done = Answer("complete", "", "yes", "")
        deliver(manager, local.JobEnded(token, 0, done))
        assert answers(wire) == [(ENTRY, "1", done), (OTHER_ENTRY, "7", done)]
        assert submit(manager, make_job(), OTHER_ENTRY, "8") == []
        assert answers(wire) == [(OTHER_ENTRY, "8", done)]

    run(scenario())


@pytest.mark.parametrize("ended", [False, True])
def test_same_key_with_another_body_is_refused_as_a_conflict(
    run, make_manager, wire, guards, make_job, ended
):
    async def scenario():
        manager = make_manager()
        token = admit(manager, make_job(), wire, guards)
        if ended:
            deliver(
                manager, local.JobEnded(token, 0, Answer("complete", "", "yes", ""))
            )
        wire.sent.clear()
        assert submit(manager, make_job(digest=b"other")) == []
        assert answers(wire)[0][2].kind == "key_conflict"

    run(scenario())


def test_unadmitted_jobs_are_refused_when_the_owner_claims_again(
    run, make_manager, wire, make_job
):
    async def scenario():
        manager = make_manager()
        token = submit(manager, make_job())[0].token
        deliver(manager, local.OfferReply(token, 0, None))
        batch = wire.take(messages.ReplicateKeys)[0]
        await asyncio.sleep(2)
        show_view(manager, manager.view)
        for guard in manager.view.guards.values():
            if guard.incarnation != manager.slots[0].state.peer:
                manager.last_heard_at[guard.incarnation] = manager.now()
        tick(manager)
        assert manager.slots[0].state.phase == "claiming"
        assert answers(wire)[0][2].kind == "slot_moving"
        assert posted(manager.runner, local.WithdrawOffer) == [
            local.WithdrawOffer(token)
        ]
        late = messages.KeysReplicated(0, batch.epoch, batch.batch)
        deliver(manager, late, Incarnation(*manager.view.slots.get(1, ENTRY)))
        assert posted(manager.runner, local.AdmitJob) == []
        for task in manager.spawned:
            task.cancel()

    run(scenario())


def test_key_of_a_refused_job_may_be_submitted_again(
    run, make_manager, wire, guards, make_job
):
    async def scenario():
        manager = make_manager()
        token = admit(manager, make_job(), wire, guards)
        deliver(
            manager, local.JobEnded(token, 0, Answer("refused", "not_placed", "no", ""))
        )
        assert len(submit(manager, make_job())) == 1

    run(scenario())


def test_key_admitted_by_an_earlier_owner_is_answered_maybe(
    run, make_manager, wire, make_job
):
    async def scenario():
        manager = make_manager()
        manager.slots[0].keys.put("visits", "k", KeyRecord(b"d", manager.now()))
        assert submit(manager, make_job()) == []
        answer = answers(wire)[0][2]
        assert (answer.kind, answer.ran) == ("owner_lost", "maybe")

    run(scenario())


def test_key_that_may_predate_a_reset_is_answered_maybe(
    run, make_manager, wire, make_job
):
    async def scenario():
        manager = make_manager()
        slot = manager.slots[0]
        row = slot.state.row._replace(reset_ms=1_700_000_000_000)
        slot.state = slot.state._replace(row=row)
        assert submit(manager, make_job()) == []
        assert answers(wire)[0][2].kind == "owner_lost"

    run(scenario())


def test_new_key_is_refused_while_the_key_store_is_full(
    run, make_manager, wire, document, make_job, view
):
    async def scenario():
        manager = make_manager()
        small = document._replace(remembered_keys=1)
        show_view(manager, view._replace(documents={"visits": small}))
        manager.slots[0].keys.add("visits", "other", b"d", manager.now())
        assert submit(manager, make_job()) == []
        assert answers(wire)[0][2].kind == "key_store_full"

    run(scenario())


def test_owner_with_a_stale_view_after_a_freeze_admits_nothing(
    run, make_manager, wire, make_job
):
    async def scenario():
        manager = make_manager()
        await asyncio.sleep(10)
        assert submit(manager, make_job()) == []
        assert answers(wire)[0][2].kind == "stale_view"

    run(scenario())


def test_keys_that_wait_are_replicated_in_one_batch(
    run, make_manager, wire, guards, make_job
):
    async def scenario():
        manager = make_manager()
        for number in range(4):
            token = submit(manager, make_job(f"k{number}"), request=str(number))[
                0
            ].token
            deliver(manager, local.OfferReply(token, 0, None))
        first = wire.take(messages.ReplicateKeys)
        assert [len(batch.keys) for batch in first] == [1]
        deliver(manager, messages.KeysReplicated(0, 1, first[0].batch), guards[1])
        assert [len(batch.keys) for batch in wire.take(messages.ReplicateKeys)] == [3]

    run(scenario())


def test_unanswered_batch_of_keys_is_sent_again(
    run, make_manager, wire, guards, make_job
):
    async def scenario():
        manager = make_manager()
        token = submit(manager, make_job())[0].token
        deliver(manager, local.OfferReply(token, 0, None))
        first = wire.take(messages.ReplicateKeys)[0]
        await asyncio.sleep(0.6)
        manager.last_heard_at = dict.fromkeys(guards, manager.now())
        tick(manager)
        assert wire.take(messages.ReplicateKeys)[0].batch == first.batch

    run(scenario())


def test_handover_is_accepted_once_all_parts_have_arrived(
    run, make_manager, wire, guards
):
    async def scenario():
        manager = make_manager()
        key = messages.ReplicatedKey("visits", "k", b"d", 100)
        deliver(manager, messages.Handover(1, 5, 0, 2, (key,)), guards[2])
        assert manager.slots[1].state.phase == "idle"
        deliver(manager, messages.Handover(1, 5, 1, 2, ()), guards[2])
        assert manager.slots[1].state.phase == WITNESS
        assert wire.take(messages.HandoverAccepted) == [messages.HandoverAccepted(1, 5)]
        assert manager.slots[1].keys.find("visits", "k") is not None

    run(scenario())


def test_look_up_and_cancel_find_an_active_job(
    run, make_manager, wire, guards, make_job
):
    async def scenario():
        manager = make_manager()
        deliver(manager, messages.LookUp("9", 0, "visits", "k"), ENTRY)
        assert answers(wire)[0][2].ran == "maybe"
        token = admit(manager, make_job(), wire, guards)
        deliver(manager, messages.LookUp("9", 0, "visits", "k"), ENTRY)
        assert answers(wire)[0][2].status == "running"
        deliver(manager, messages.CancelJob("9", 0, "visits", "k"), ENTRY)
        assert posted(manager.runner, local.CancelAdmittedJob) == [
            local.CancelAdmittedJob(token)
        ]

    run(scenario())


@pytest.mark.parametrize("slot", [-1, 4, 10**9])
def test_message_for_an_unknown_slot_is_dropped(run, make_manager, wire, slot):
    async def scenario():
        manager = make_manager()
        for body in (
            messages.ReplicateKeys(slot, 1, 1, ()),
            messages.KeysReplicated(slot, 1, 1),
            messages.ReplicationRefused(slot, 1),
            messages.Handover(slot, 1, 0, 1, ()),
            messages.HandoverAccepted(slot, 1),
            messages.YieldSlot(slot, 1),
        ):
            deliver(manager, body, ENTRY)
        assert wire.sent == []

    run(scenario())


def test_duplicate_of_a_refused_submission_is_not_admitted(
    run, make_manager, wire, make_job
):
    async def scenario():
        manager, job = make_manager(), make_job()
        sequence = next(SEQUENCES)
        token = submit(manager, job, sequence=sequence)[0].token
        deliver(manager, local.OfferReply(token, 0, refuse(CUSTOMER_LIMIT)))
        assert submit(manager, job, sequence=sequence) == []
        assert wire.take(messages.JobNotFound) == [messages.JobNotFound("1")]
        assert len(submit(manager, job, OTHER_ENTRY, sequence=sequence)) == 1
        assert len(submit(manager, job)) == 0

    run(scenario())


def test_submission_that_arrives_after_its_inquiry_is_not_admitted(
    run, make_manager, wire, make_job
):
    async def scenario():
        manager, job = make_manager(), make_job()
        sequence = next(SEQUENCES)
        inquiry = messages.Inquire("1", sequence, 0, job.service, job.key)
        deliver(manager, inquiry, ENTRY)
        assert wire.take(messages.JobNotFound) == [messages.JobNotFound("1")]
        assert submit(manager, job, sequence=sequence) == []
        assert len(submit(manager, job)) == 1

    run(scenario())


@pytest.mark.parametrize("slot", [-1, 4, 10**9])
def test_submission_for_an_unknown_slot_is_refused(
    run, make_manager, wire, make_job, slot
):
    async def scenario():
        manager = make_manager()
        submission = messages.Submit("1", next(SEQUENCES), slot, make_job())
        deliver(manager, submission, ENTRY)
        ((_, _, answer),) = answers(wire)
        assert (answer.status, answer.kind) == ("refused", "slot_moving")

    run(scenario())


@pytest.mark.parametrize(("digest", "status"), [(b"d", None), (b"other", "refused")])
def test_requests_wait_for_a_job_at_the_previous_owner(
    run, make_manager, wire, guards, make_job, digest, status
):
    async def scenario():
        manager, job = make_manager(), make_job()
        manager.slots[0].predecessor = guards[1]
        manager.last_heard_at[guards[1]] = manager.now()
        manager.slots[0].keys.add(job.service, job.key, b"d", manager.now())
        assert submit(manager, job._replace(digest=digest)) == []
        statuses = [answer.status for _, _, answer in answers(wire)]
        assert statuses == ([status] if status else [])
        assert bool(wire.take(messages.Pending)) == (status is None)
        transferred = messages.KeyAnswer(
            job.service, job.key, Answer("complete", "", "yes", "")
        )
        deliver(manager, messages.TransferAnswers(0, (transferred,)), guards[1])
        submit(manager, job)
        assert [answer.status for _, _, answer in answers(wire)] == ["complete"]

    run(scenario())


def test_new_key_is_deferred_while_its_slot_is_handed_over(
    run, make_manager, wire, guards, make_job
):
    async def scenario():
        manager = make_manager()
        slot = manager.slots[0]
        manager.request_succession(slot)
        assert wire.take(messages.YieldSlot) == [messages.YieldSlot(0, 1)]
        assert submit(manager, make_job()) == []
        assert answers(wire) == []
        row = slot.state.row._replace(
            epoch=2, owner=guards[1], witness=guards[2], version=3
        )
        manager.apply_event(slot, ownership.RowObserved(row))
        ((_, _, answer),) = answers(wire)
        assert (answer.status, answer.kind) == ("refused", "slot_moving")

    run(scenario())


def test_deferred_key_is_admitted_if_no_guard_takes_the_slot_over(
    run, make_manager, make_job
):
    async def scenario():
        manager = make_manager()
        manager.request_succession(manager.slots[0])
        assert submit(manager, make_job()) == []
        await asyncio.sleep(0.6)
        manager.retry_deferred()
        assert len(posted(manager.runner, local.OfferJob)) == 1

    run(scenario())


def test_deferred_submission_is_not_admitted_after_a_newer_one_is_refused(
    run, make_manager, make_job
):
    async def scenario():
        manager, job = make_manager(), make_job()
        manager.request_succession(manager.slots[0])
        assert submit(manager, job) == []
        await asyncio.sleep(0.6)
        token = submit(manager, job)[0].token
        deliver(manager, local.OfferReply(token, 0, refuse(CUSTOMER_LIMIT)))
        manager.retry_deferred()
        assert posted(manager.runner, local.OfferJob) == []

    run(scenario())
