"""A key is admitted once; who submits it again gets the same answer."""

import asyncio
import itertools

import pytest

from hawthorntrack.coordination import ownership as own
from hawthorntrack.coordination.keeper import SlotKeeper
from hawthorntrack.coordination.tests.conftest import posted, show_view, tell, tick
from hawthorntrack.protocol import local, messages
from hawthorntrack.state.keys import KeyRecord
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
        made = SlotKeeper(
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
        made.held[0] = slot
        return made

    return make


def submit(keeper, job, entry=ENTRY, request="1", sequence=0):
    """Submit a job; return the offers that the runner got."""
    tell(keeper, messages.Submit(request, sequence or next(SEQUENCES), 0, job), entry)
    return posted(keeper.runner, local.Offer)


def admit(keeper, job, wire, guards):
    """Bring a job to admission; return its token."""
    token = submit(keeper, job)[0].token
    tell(keeper, local.Offered(token, 0, None))
    note = wire.take(messages.Note)[0]
    tell(keeper, messages.NoteTaken(0, note.epoch, note.batch), guards[1])
    assert posted(keeper.runner, local.Admit) == [local.Admit(token)]
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
        tell(made, local.Offered(token, 0, None))
        assert posted(made.runner, local.Admit) == []
        note = wire.take(messages.Note)[0]
        tell(made, messages.NoteTaken(0, note.epoch + 1, note.batch), guards[1])
        tell(made, messages.NoteTaken(0, note.epoch, note.batch), guards[2])
        assert posted(made.runner, local.Admit) == []
        tell(made, messages.NoteTaken(0, note.epoch, note.batch), guards[1])
        assert posted(made.runner, local.Admit) == [local.Admit(token)]

    run(scene())


def test_same_key_joins_and_gets_the_same_answer(run, keeper, wire, guards, make_job):
    async def scene():
        made = keeper()
        token = admit(made, make_job(), wire, guards)
        assert submit(made, make_job(), OTHER_ENTRY, "7") == []
        done = Answer("complete", "", "yes", "")
        tell(made, local.JobEnded(token, 0, done))
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
            tell(made, local.JobEnded(token, 0, Answer("complete", "", "yes", "")))
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
        tell(made, local.Offered(token, 0, None))
        note = wire.take(messages.Note)[0]
        await asyncio.sleep(2)
        show_view(made, made.view)
        for guard in made.view.guards.values():
            if guard.incarnation != made.slots[0].state.peer:
                made.heard[guard.incarnation] = made.now()
        tick(made)
        assert made.slots[0].state.phase == "claiming"
        assert answers(wire)[0][2].kind == "slot_moving"
        assert posted(made.runner, local.Withdraw) == [local.Withdraw(token)]
        late = messages.NoteTaken(0, note.epoch, note.batch)
        tell(made, late, Incarnation(*made.view.slots.get(1, ENTRY)))
        assert posted(made.runner, local.Admit) == []
        for task in made.spawned:
            task.cancel()

    run(scene())


def test_refused_job_may_be_tried_again(run, keeper, wire, guards, make_job):
    async def scene():
        made = keeper()
        token = admit(made, make_job(), wire, guards)
        tell(made, local.JobEnded(token, 0, Answer("refused", "not_placed", "no", "")))
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
        made.slots[0].keys.note("visits", "other", b"d", made.now())
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
            tell(made, local.Offered(token, 0, None))
        first = wire.take(messages.Note)
        assert [len(note.keys) for note in first] == [1]
        tell(made, messages.NoteTaken(0, 1, first[0].batch), guards[1])
        assert [len(note.keys) for note in wire.take(messages.Note)] == [3]

    run(scene())


def test_lost_note_is_sent_again(run, keeper, wire, guards, make_job):
    async def scene():
        made = keeper()
        token = submit(made, make_job())[0].token
        tell(made, local.Offered(token, 0, None))
        first = wire.take(messages.Note)[0]
        await asyncio.sleep(0.6)
        made.heard = dict.fromkeys(guards, made.now())
        tick(made)
        assert wire.take(messages.Note)[0].batch == first.batch

    run(scene())


def test_handover_in_parts_is_taken_once_whole(run, keeper, wire, guards):
    async def scene():
        made = keeper()
        note = messages.KeyNote("visits", "k", b"d", 100)
        tell(made, messages.Handover(1, 5, 0, 2, (note,)), guards[2])
        assert made.slots[1].state.phase == "idle"
        tell(made, messages.Handover(1, 5, 1, 2, ()), guards[2])
        assert made.slots[1].state.phase == WITNESS
        assert wire.take(messages.HandoverTaken) == [messages.HandoverTaken(1, 5)]
        assert made.slots[1].keys.find("visits", "k") is not None

    run(scene())


def test_look_up_tells_what_is_known(run, keeper, wire, guards, make_job):
    async def scene():
        made = keeper()
        tell(made, messages.LookUp("9", 0, "visits", "k"), ENTRY)
        assert answers(wire)[0][2].ran == "maybe"
        token = admit(made, make_job(), wire, guards)
        tell(made, messages.LookUp("9", 0, "visits", "k"), ENTRY)
        assert answers(wire)[0][2].status == "running"
        tell(made, messages.CancelJob("9", 0, "visits", "k"), ENTRY)
        assert posted(made.runner, local.Cancel) == [local.Cancel(token)]

    run(scene())


@pytest.mark.parametrize("slot", [-1, 4, 10**9])
def test_message_for_a_slot_that_is_not_there_is_dropped(run, keeper, wire, slot):
    async def scene():
        made = keeper()
        for body in (
            messages.Note(slot, 1, 1, ()),
            messages.NoteTaken(slot, 1, 1),
            messages.NoteRefused(slot, 1),
            messages.Handover(slot, 1, 0, 1, ()),
            messages.HandoverTaken(slot, 1),
            messages.Yield(slot, 1),
        ):
            tell(made, body, ENTRY)
        assert wire.sent == []

    run(scene())


def test_doubled_submission_is_not_let_in_after_its_refusal(
    run, keeper, wire, make_job
):
    async def scene():
        made, job = keeper(), make_job()
        sequence = next(SEQUENCES)
        token = submit(made, job, sequence=sequence)[0].token
        tell(made, local.Offered(token, 0, refuse(CUSTOMER_LIMIT)))
        assert submit(made, job, sequence=sequence) == []
        assert wire.take(messages.Unheard) == [messages.Unheard("1")]
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
        tell(made, inquiry, ENTRY)
        assert wire.take(messages.Unheard) == [messages.Unheard("1")]
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
        tell(made, submission, ENTRY)
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
        made.heard[guards[1]] = made.now()
        made.slots[0].keys.note(job.service, job.key, b"d", made.now())
        assert submit(made, job._replace(digest=digest)) == []
        found = [answer.status for _, _, answer in answers(wire)]
        assert found == ([status] if status else [])
        assert bool(wire.take(messages.Pending)) == (status is None)
        passed = messages.KeyAnswer(
            job.service, job.key, Answer("complete", "", "yes", "")
        )
        tell(made, messages.Answers(0, (passed,)), guards[1])
        submit(made, job)
        assert [answer.status for _, _, answer in answers(wire)] == ["complete"]

    run(scene())


def test_new_key_waits_while_its_slot_is_handed_on(run, keeper, wire, guards, make_job):
    async def scene():
        made = keeper()
        slot = made.slots[0]
        made.hand_on(slot)
        assert wire.take(messages.Yield) == [messages.Yield(0, 1)]
        assert submit(made, make_job()) == []
        assert answers(wire) == []
        row = slot.state.row._replace(
            epoch=2, owner=guards[1], witness=guards[2], version=3
        )
        made.apply(slot, own.Observe(row))
        ((_, _, answer),) = answers(wire)
        assert (answer.status, answer.kind) == ("refused", "slot_moving")

    run(scene())


def test_new_key_is_let_in_where_nobody_takes_the_slot(run, keeper, make_job):
    async def scene():
        made = keeper()
        made.hand_on(made.slots[0])
        assert submit(made, make_job()) == []
        await asyncio.sleep(0.6)
        made.unpark()
        assert len(posted(made.runner, local.Offer)) == 1

    run(scene())


def test_submission_that_waits_is_not_let_in_after_a_newer_one_was_refused(
    run, keeper, make_job
):
    async def scene():
        made, job = keeper(), make_job()
        made.hand_on(made.slots[0])
        assert submit(made, job) == []
        await asyncio.sleep(0.6)
        token = submit(made, job)[0].token
        tell(made, local.Offered(token, 0, refuse(CUSTOMER_LIMIT)))
        made.unpark()
        assert posted(made.runner, local.Offer) == []

    run(scene())
