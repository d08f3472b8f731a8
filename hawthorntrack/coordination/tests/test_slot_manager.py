"""A key is admitted once; who submits it again gets the same answer."""

import asyncio
import itertools

import pytest

from hawthorntrack.coordination import ownership as own
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
def keeper(infos, settings, wire, view, guards):
    """Return a function that makes a keeper that owns slot 0 with guard 1."""

    def make():
        made = SlotManager(
            infos[0],
            settings,
            MemoryTable(),
            wire.send,
            Mailbox("beats"),
            Mailbox("runner"),
            Mailbox("drained"),
        )
        show_view(made, view)
        row = SlotRow(1, guards[0], guards[1], True, guards[0], guards[1], 0, 2)
        slot = made.slots[0]
        slot.state = SlotState(OPENED, 1, guards[1], row)
        slot.tracker.state = OPENED
        made.active_slots[0] = slot
        return made

    return make


def submit(keeper, job, entry=ENTRY, request="1", sequence=0):
    """Submit a job; return the offers that the runner got."""
    deliver(
        keeper, messages.Submit(request, sequence or next(SEQUENCES), 0, job), entry
    )
    return posted(keeper.runner, local.OfferJob)


def admit(keeper, job, wire, guards):
    """Bring a job to admission; return its token."""
    token = submit(keeper, job)[0].token
    deliver(keeper, local.OfferReply(token, 0, None))
    note = wire.take(messages.ReplicateKeys)[0]
    deliver(keeper, messages.KeysReplicated(0, note.epoch, note.batch), guards[1])
    assert posted(keeper.runner, local.AdmitJob) == [local.AdmitJob(token)]
    return token


def answers(wire):
    """Return the answers sent, by entry and request."""
    found = [
        (to, body.request, body.answer)
        for to, body in wire.sent
        if isinstance(body, messages.Answered)
    ]
    wire.take(messages.Answered)
    return found


def test_job_runs_only_after_the_witness_has_noted_its_key(
    run, keeper, wire, guards, make_job
):
    async def scene():
        made = keeper()
        token = submit(made, make_job())[0].token
        deliver(made, local.OfferReply(token, 0, None))
        assert posted(made.runner, local.AdmitJob) == []
        note = wire.take(messages.ReplicateKeys)[0]
        deliver(made, messages.KeysReplicated(0, note.epoch + 1, note.batch), guards[1])
        deliver(made, messages.KeysReplicated(0, note.epoch, note.batch), guards[2])
        assert posted(made.runner, local.AdmitJob) == []
        deliver(made, messages.KeysReplicated(0, note.epoch, note.batch), guards[1])
        assert posted(made.runner, local.AdmitJob) == [local.AdmitJob(token)]

    run(scene())


def test_same_key_joins_and_gets_the_same_answer(run, keeper, wire, guards, make_job):
    async def scene():
        made = keeper()
        token = admit(made, make_job(), wire, guards)
        assert submit(made, make_job(), OTHER_ENTRY, "7") == []
        done = Answer("complete", "", "yes", "")
        deliver(made, local.JobEnded(token, 0, done))
        assert answers(wire) == [(ENTRY, "1", done), (OTHER_ENTRY, "7", done)]
        assert submit(made, make_job(), OTHER_ENTRY, "8") == []
        assert answers(wire) == [(OTHER_ENTRY, "8", done)]

    run(scene())


@pytest.mark.parametrize("ended", [False, True])
def test_same_key_with_another_body_is_a_conflict(
    run, keeper, wire, guards, make_job, ended
):
    async def scene():
        made = keeper()
        token = admit(made, make_job(), wire, guards)
        if ended:
            deliver(made, local.JobEnded(token, 0, Answer("complete", "", "yes", "")))
        wire.sent.clear()
        assert submit(made, make_job(digest=b"other")) == []
        assert answers(wire)[0][2].kind == "key_conflict"

    run(scene())


def test_pending_jobs_are_refused_when_the_owner_must_claim(
    run, keeper, wire, make_job
):
    async def scene():
        made = keeper()
        token = submit(made, make_job())[0].token
        deliver(made, local.OfferReply(token, 0, None))
        note = wire.take(messages.ReplicateKeys)[0]
        await asyncio.sleep(2)
        show_view(made, made.view)
        for guard in made.view.guards.values():
            if guard.incarnation != made.slots[0].state.peer:
                made.last_heard_at[guard.incarnation] = made.now()
        tick(made)
        assert made.slots[0].state.phase == "claiming"
        assert answers(wire)[0][2].kind == "slot_moving"
        assert posted(made.runner, local.WithdrawOffer) == [local.WithdrawOffer(token)]
        late = messages.KeysReplicated(0, note.epoch, note.batch)
        deliver(made, late, Incarnation(*made.view.slots.get(1, ENTRY)))
        assert posted(made.runner, local.AdmitJob) == []
        for task in made.spawned:
            task.cancel()

    run(scene())


def test_refused_job_may_be_tried_again(run, keeper, wire, guards, make_job):
    async def scene():
        made = keeper()
        token = admit(made, make_job(), wire, guards)
        deliver(
            made, local.JobEnded(token, 0, Answer("refused", "not_placed", "no", ""))
        )
        assert len(submit(made, make_job())) == 1

    run(scene())


def test_key_from_an_earlier_owner_is_answered_maybe(run, keeper, wire, make_job):
    async def scene():
        made = keeper()
        made.slots[0].keys.put("visits", "k", KeyRecord(b"d", made.now()))
        assert submit(made, make_job()) == []
        answer = answers(wire)[0][2]
        assert (answer.kind, answer.ran) == ("owner_lost", "maybe")

    run(scene())


def test_keys_older_than_a_reset_are_answered_maybe(run, keeper, wire, make_job):
    async def scene():
        made = keeper()
        slot = made.slots[0]
        row = slot.state.row._replace(reset_ms=1_700_000_000_000)
        slot.state = slot.state._replace(row=row)
        assert submit(made, make_job()) == []
        assert answers(wire)[0][2].kind == "owner_lost"

    run(scene())


def test_key_store_is_bounded(run, keeper, wire, document, make_job, view):
    async def scene():
        made = keeper()
        small = document._replace(remembered_keys=1)
        show_view(made, view._replace(documents={"visits": small}))
        made.slots[0].keys.add("visits", "other", b"d", made.now())
        assert submit(made, make_job()) == []
        assert answers(wire)[0][2].kind == "key_store_full"

    run(scene())


def test_owner_resumed_from_a_freeze_admits_nothing_on_its_old_view(
    run, keeper, wire, make_job
):
    async def scene():
        made = keeper()
        await asyncio.sleep(10)
        assert submit(made, make_job()) == []
        assert answers(wire)[0][2].kind == "stale_view"

    run(scene())


def test_unnoted_keys_go_out_together(run, keeper, wire, guards, make_job):
    async def scene():
        made = keeper()
        for number in range(4):
            token = submit(made, make_job(f"k{number}"), request=str(number))[0].token
            deliver(made, local.OfferReply(token, 0, None))
        first = wire.take(messages.ReplicateKeys)
        assert [len(note.keys) for note in first] == [1]
        deliver(made, messages.KeysReplicated(0, 1, first[0].batch), guards[1])
        assert [len(note.keys) for note in wire.take(messages.ReplicateKeys)] == [3]

    run(scene())


def test_lost_note_is_sent_again(run, keeper, wire, guards, make_job):
    async def scene():
        made = keeper()
        token = submit(made, make_job())[0].token
        deliver(made, local.OfferReply(token, 0, None))
        first = wire.take(messages.ReplicateKeys)[0]
        await asyncio.sleep(0.6)
        made.last_heard_at = dict.fromkeys(guards, made.now())
        tick(made)
        assert wire.take(messages.ReplicateKeys)[0].batch == first.batch

    run(scene())


def test_handover_in_parts_is_taken_once_whole(run, keeper, wire, guards):
    async def scene():
        made = keeper()
        note = messages.ReplicatedKey("visits", "k", b"d", 100)
        deliver(made, messages.Handover(1, 5, 0, 2, (note,)), guards[2])
        assert made.slots[1].state.phase == "idle"
        deliver(made, messages.Handover(1, 5, 1, 2, ()), guards[2])
        assert made.slots[1].state.phase == WITNESS
        assert wire.take(messages.HandoverAccepted) == [messages.HandoverAccepted(1, 5)]
        assert made.slots[1].keys.find("visits", "k") is not None

    run(scene())


def test_look_up_tells_what_is_known(run, keeper, wire, guards, make_job):
    async def scene():
        made = keeper()
        deliver(made, messages.LookUp("9", 0, "visits", "k"), ENTRY)
        assert answers(wire)[0][2].ran == "maybe"
        token = admit(made, make_job(), wire, guards)
        deliver(made, messages.LookUp("9", 0, "visits", "k"), ENTRY)
        assert answers(wire)[0][2].status == "running"
        deliver(made, messages.CancelJob("9", 0, "visits", "k"), ENTRY)
        assert posted(made.runner, local.CancelAdmittedJob) == [
            local.CancelAdmittedJob(token)
        ]

    run(scene())


@pytest.mark.parametrize("slot", [-1, 4, 10**9])
def test_message_for_a_slot_that_is_not_there_is_dropped(run, keeper, wire, slot):
    async def scene():
        made = keeper()
        for body in (
            messages.ReplicateKeys(slot, 1, 1, ()),
            messages.KeysReplicated(slot, 1, 1),
            messages.ReplicationRefused(slot, 1),
            messages.Handover(slot, 1, 0, 1, ()),
            messages.HandoverAccepted(slot, 1),
            messages.YieldSlot(slot, 1),
        ):
            deliver(made, body, ENTRY)
        assert wire.sent == []

    run(scene())


def test_doubled_submission_is_not_let_in_after_its_refusal(
    run, keeper, wire, make_job
):
    async def scene():
        made, job = keeper(), make_job()
        sequence = next(SEQUENCES)
        token = submit(made, job, sequence=sequence)[0].token
        deliver(made, local.OfferReply(token, 0, refuse(CUSTOMER_LIMIT)))
        assert submit(made, job, sequence=sequence) == []
        assert wire.take(messages.JobNotFound) == [messages.JobNotFound("1")]
        assert len(submit(made, job, OTHER_ENTRY, sequence=sequence)) == 1
        assert len(submit(made, job)) == 0

    run(scene())


def test_submission_that_comes_after_its_inquiry_is_not_let_in(
    run, keeper, wire, make_job
):
    async def scene():
        made, job = keeper(), make_job()
        sequence = next(SEQUENCES)
        inquiry = messages.Inquire("1", sequence, 0, job.service, job.key)
        deliver(made, inquiry, ENTRY)
        assert wire.take(messages.JobNotFound) == [messages.JobNotFound("1")]
        assert submit(made, job, sequence=sequence) == []
        assert len(submit(made, job)) == 1

    run(scene())


@pytest.mark.parametrize("slot", [-1, 4, 10**9])
def test_submission_for_a_slot_that_is_not_there_is_refused(
    run, keeper, wire, make_job, slot
):
    async def scene():
        made = keeper()
        submission = messages.Submit("1", next(SEQUENCES), slot, make_job())
        deliver(made, submission, ENTRY)
        ((_, _, answer),) = answers(wire)
        assert (answer.status, answer.kind) == ("refused", "slot_moving")

    run(scene())


@pytest.mark.parametrize(("digest", "status"), [(b"d", None), (b"other", "refused")])
def test_job_at_the_owner_before_is_waited_for(
    run, keeper, wire, guards, make_job, digest, status
):
    async def scene():
        made, job = keeper(), make_job()
        made.slots[0].predecessor = guards[1]
        made.last_heard_at[guards[1]] = made.now()
        made.slots[0].keys.add(job.service, job.key, b"d", made.now())
        assert submit(made, job._replace(digest=digest)) == []
        found = [answer.status for _, _, answer in answers(wire)]
        assert found == ([status] if status else [])
        assert bool(wire.take(messages.Pending)) == (status is None)
        passed = messages.KeyAnswer(
            job.service, job.key, Answer("complete", "", "yes", "")
        )
        deliver(made, messages.TransferAnswers(0, (passed,)), guards[1])
        submit(made, job)
        assert [answer.status for _, _, answer in answers(wire)] == ["complete"]

    run(scene())


def test_new_key_waits_while_its_slot_is_handed_on(run, keeper, wire, guards, make_job):
    async def scene():
        made = keeper()
        slot = made.slots[0]
        made.request_succession(slot)
        assert wire.take(messages.YieldSlot) == [messages.YieldSlot(0, 1)]
        assert submit(made, make_job()) == []
        assert answers(wire) == []
        row = slot.state.row._replace(
            epoch=2, owner=guards[1], witness=guards[2], version=3
        )
        made.apply_event(slot, own.RowObserved(row))
        ((_, _, answer),) = answers(wire)
        assert (answer.status, answer.kind) == ("refused", "slot_moving")

    run(scene())


def test_new_key_is_let_in_where_nobody_takes_the_slot(run, keeper, make_job):
    async def scene():
        made = keeper()
        made.request_succession(made.slots[0])
        assert submit(made, make_job()) == []
        await asyncio.sleep(0.6)
        made.retry_deferred()
        assert len(posted(made.runner, local.OfferJob)) == 1

    run(scene())


def test_submission_that_waits_is_not_let_in_after_a_newer_one_was_refused(
    run, keeper, make_job
):
    async def scene():
        made, job = keeper(), make_job()
        made.request_succession(made.slots[0])
        assert submit(made, job) == []
        await asyncio.sleep(0.6)
        token = submit(made, job)[0].token
        deliver(made, local.OfferReply(token, 0, refuse(CUSTOMER_LIMIT)))
        made.retry_deferred()
        assert posted(made.runner, local.OfferJob) == []

    run(scene())
