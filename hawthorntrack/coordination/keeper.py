"""The task that lets jobs in by their keys, and gives their answers out."""

import itertools
from collections import Counter
from typing import NamedTuple

from hawthorntrack.coordination.pairing import Send, Slot, SlotPairing
from hawthorntrack.protocol import local, messages
from hawthorntrack.state.actor import handles
from hawthorntrack.state.answers import AnswerStore
from hawthorntrack.state.keys import KeyNote, KeyRecord
from hawthorntrack.state.mailbox import Mailbox, Tick
from hawthorntrack.state.metrics import BAD_INPUT, KEYS, REFUSALS, SLOTS, labelled
from hawthorntrack.state.naming import exposed_name
from hawthorntrack.state.outcomes import (
    ANSWER_DROPPED,
    CANCELLED,
    DRAINING,
    KEY_CONFLICT,
    KEY_STORE_FULL,
    OWNER_LOST,
    QUEUE_FULL,
    SLOT_MOVING,
    STALE_VIEW,
    UNKNOWN_JOB,
    UNKNOWN_SERVICE,
    fail,
    refuse,
    unknown,
)
from hawthorntrack.state.settings import Settings
from hawthorntrack.state.slots import IDLE, OPENED, PHASES
from hawthorntrack.state.table import Table
from hawthorntrack.state.uuid7 import made_ms
from hawthorntrack.state.values import Answer, GuardInfo, Incarnation, JobSpec

DEFAULT_RETENTION_S = 600
EXPIRE_INTERVAL_S = 5.0
ALONE_AFTER_S = 2.0
ANSWERS_AT_ONCE = 16
HAND_ON_S = 0.5
PARKED_BOUND = 1_000  # submissions that wait for a slot to move
ENTRIES_BOUND = 4_096  # lives of entry instances whose newest submission is known
RUNNING = Answer("running", "", "", "")


class Asker(NamedTuple):
    """Who waits for a job's answer."""

    incarnation: Incarnation
    request: str
    sequence: int = 0


class ActiveJob(NamedTuple):
    """A job offered to the runner, noted, or running.

    Attributes
    ----------
    askers : dict of Asker
        An ordered set; grows as the same job is submitted again.
    """

    job: JobSpec
    slot: int
    askers: dict[Asker, None]
    admitted: bool = False


def maybe_admitted(key: str, reset_ms: int, skew_s: float) -> bool:
    """Return whether a pair lost at `reset_ms` may have admitted an unknown key.

    Parameters
    ----------
    key : str
        The idempotency key; in UUIDv7 form it tells when it was made.
    reset_ms : int
        Unix time in milliseconds; 0 when no pair was lost.
    skew_s : float
        How far callers' clocks may be ahead, in seconds.

    Examples
    --------
    >>> maybe_admitted("reservation-7", 0, 60)
    False
    >>> maybe_admitted("reservation-7", 1_700_000_000_000, 60)
    True
    """
    if not reset_ms:
        return False
    made = made_ms(key)
    return made is None or made <= reset_ms + skew_s * 1000


class SlotKeeper(SlotPairing):
    """Owns the slots of one guard, and the jobs whose keys they hold.

    Parameters
    ----------
    me, settings, table, send, beats
        As for `SlotPairing`.
    runner : Mailbox
        The task that places admitted jobs.
    drained : Mailbox
        Told when no slot and no job is left after a `Drain`.
    """

    def __init__(
        self,
        me: GuardInfo,
        settings: Settings,
        table: Table,
        send: Send,
        beats: Mailbox,
        runner: Mailbox,
        drained: Mailbox,
    ) -> None:
        super().__init__(me, settings, table, send, beats)
        self.runner = runner
        self.drained = drained
        self.jobs: dict[int, ActiveJob] = {}
        self.tokens: dict[tuple[str, str], int] = {}
        self.numbers = itertools.count(1)
        self.newest: dict[Incarnation, int] = {}
        self.parked: dict[tuple[Incarnation, str], messages.Submit] = {}
        self.answers = AnswerStore()
        self.expired_at = 0.0

    # --- the way in

    @handles(messages.Submit)
    def submit(self, submit: messages.Submit, sender: Incarnation) -> None:
        """Take a submission that is newer than all from its entry instance."""
        if self.seen_before(sender, submit.sequence):
            BAD_INPUT.labels(edge="bus", reason="late_submission").inc()
            self.send(sender, messages.Unheard(submit.request))
        else:
            self.let_in(submit, sender)

    def let_in(self, submit: messages.Submit, sender: Incarnation) -> None:
        """Join, answer, refuse, or offer a job; let it wait while its slot moves."""
        # An older one of the same request must not be let in after this is refused.
        self.parked.pop((sender, submit.request), None)
        asker = Asker(sender, submit.request, submit.sequence)
        job = submit.job
        if not self.has_slot(submit.slot):
            self.reply(asker, refuse(SLOT_MOVING, "No such slot."))
            return
        slot = self.slots[submit.slot]
        token = self.tokens.get((job.service, job.key))
        if token is not None:
            self.join(token, job, asker)
            return
        record = slot.keys.find(job.service, job.key)
        if record is None:
            if self.handing_on(slot) and len(self.parked) < PARKED_BOUND:
                self.parked[(sender, submit.request)] = submit
                return
        elif record.digest == job.digest and self.awaited(slot, job.service, record):
            self.send(sender, messages.Pending(submit.request))
            return
        refusal = self.unfit(slot, job, record)
        if refusal is not None:
            self.reply(asker, refusal, slot)
            return
        token = next(self.numbers)
        if not self.runner.post(local.Offer(token, slot.number, job)):
            self.reply(asker, refuse(QUEUE_FULL), slot)
            return
        self.jobs[token] = ActiveJob(job, slot.number, {asker: None})
        self.tokens[(job.service, job.key)] = token

    def seen_before(self, entry: Incarnation, sequence: int) -> bool:
        """Return whether that submission, or a later one, was seen before."""
        newest = self.newest.pop(entry, 0)
        self.newest[entry] = max(newest, sequence)
        if len(self.newest) > ENTRIES_BOUND:
            del self.newest[next(iter(self.newest))]
        return sequence <= newest

    def awaited(self, slot: Slot, service: str, record: KeyRecord) -> bool:
        """Return whether a key's job may still run at the slot's owner before.

        Explanation
        -----------
        An owner that hands its slot on finishes its jobs and passes their answers.
        Until it has, or is gone, an asker waits for it.
        """
        document = self.view.documents.get(service)
        if document is None or slot.predecessor is None:
            return False
        now = self.now()
        heard_at = self.heard.get(slot.predecessor, 0.0)
        return (
            slot.state.phase == OPENED
            and not record.ended
            and not record.epoch
            and now - record.noted_at <= document.max_ms / 1000
            and now - heard_at <= self.settings.timing.pair_silence_s
        )

    def join(self, token: int, job: JobSpec, asker: Asker) -> None:
        """Have one more asker wait for a job that is here already."""
        active = self.jobs[token]
        if active.job.digest != job.digest:
            self.reply(asker, refuse(KEY_CONFLICT))
        else:
            active.askers[asker] = None

    def unfit(
        self, slot: Slot, job: JobSpec, record: KeyRecord | None
    ) -> Answer | None:
        """Return the answer to a job that is not to be offered, or None."""
        if slot.state.phase != OPENED:
            return refuse(SLOT_MOVING)
        if not self.view.fresh(self.now(), self.settings.timing.freshness_s):
            return refuse(STALE_VIEW)
        if record is not None:
            return self.known(job, record)
        reset_ms = slot.state.row.reset_ms
        if maybe_admitted(job.key, reset_ms, self.settings.timing.key_clock_skew_s):
            return fail(OWNER_LOST, "maybe", "Both guards of the slot were lost.")
        if self.draining:
            return refuse(DRAINING)
        document = self.view.documents.get(job.service)
        if document is None:
            return refuse(UNKNOWN_SERVICE)
        if len(slot.keys) * max(1, self.owned()) >= document.remembered_keys:
            return refuse(KEY_STORE_FULL)
        return None

    def unpark(self) -> None:
        """Look again at submissions that wait for a slot to move."""
        parked, self.parked = self.parked, {}
        for (sender, _), submit in parked.items():
            self.let_in(submit, sender)

    def handing_on(self, slot: Slot) -> bool:
        """Return whether a slot's witness is about to take it over.

        Explanation
        -----------
        A key noted just then would be known to the next owner, but never admitted.
        Where nothing comes of it within `HAND_ON_S`, jobs are let in again.
        """
        heir, now = slot.heir, self.now()
        return (
            slot.state.phase == OPENED
            and heir is not None
            and heir.epoch == slot.state.epoch
            and now - heir.asked_at < HAND_ON_S
        )

    def known(self, job: JobSpec, record: KeyRecord) -> Answer:
        """Return the answer to a key that is remembered and not active."""
        if record.digest != job.digest:
            return refuse(KEY_CONFLICT)
        return self.remembered(job.service, job.key, record)

    def remembered(self, service: str, key: str, record: KeyRecord) -> Answer:
        """Return the answer of a key that is remembered, whoever admitted it."""
        lost = fail(ANSWER_DROPPED if record.ended else OWNER_LOST, "maybe")
        return self.answers.find(service, key) or lost

    @handles(local.Offered)
    def take_offer(self, offered: local.Offered, sender: Incarnation) -> None:
        """Note the key of a job that the runner takes; answer one it refuses."""
        active = self.jobs.get(offered.token)
        if active is None:
            if offered.refusal is None:
                self.runner.put(local.Withdraw(offered.token))
        elif offered.refusal is not None:
            self.close(offered.token, offered.refusal)
        else:
            job, slot = active.job, self.slots[active.slot]
            self.note(slot, offered.token, KeyNote(job.service, job.key, job.digest, 0))

    def admit_noted(self, slot: Slot, tokens: tuple[int, ...]) -> None:
        """Admit jobs whose keys the witness remembers."""
        for token in tokens:
            active = self.jobs.get(token)
            if active is None:
                continue
            job = active.job
            self.jobs[token] = active._replace(admitted=True)
            record = KeyRecord(job.digest, self.now(), slot.state.epoch)
            slot.keys.put(job.service, job.key, record)
            self.runner.put(local.Admit(token))

    def refuse_pending(self, slot: Slot) -> None:
        """Refuse jobs of a slot that were not admitted; they never ran."""
        pending = [
            token
            for token, active in self.jobs.items()
            if active.slot == slot.number and not active.admitted
        ]
        for token in pending:
            self.runner.put(local.Withdraw(token))
            self.close(token, refuse(SLOT_MOVING))
        self.unpark()

    # --- answers that follow a slot

    def pass_answers(self, slot: Slot) -> None:
        """Pass on the answers that somebody may still be waiting for."""
        now, found = self.now(), []
        for (service, key), record in slot.keys.records.items():
            document = self.view.documents.get(service)
            answer = self.answers.find(service, key)
            if document and answer and now - record.noted_at <= document.max_ms / 1000:
                found.append(messages.KeyAnswer(service, key, answer))
        self.pass_on(slot, found)

    def pass_on(self, slot: Slot, found: list[messages.KeyAnswer]) -> None:
        """Send answers to a slot's heir, a few in each message."""
        if slot.heir is not None:
            for begin in range(0, len(found), ANSWERS_AT_ONCE):
                part = tuple(found[begin : begin + ANSWERS_AT_ONCE])
                self.send(slot.heir.guard, messages.Answers(slot.number, part))

    @handles(messages.Answers)
    def take_answers(self, passed: messages.Answers, sender: Incarnation) -> None:
        """Keep the answers of the owner before."""
        slot = self.slots[passed.slot]
        for service, key, answer in passed.answers:
            record = slot.keys.find(service, key)
            if record is not None and not record.epoch:
                slot.keys.put(service, key, record._replace(ended=True))
                self.answers.keep(service, key, answer, self.now())

    # --- the way out

    @handles(local.JobEnded)
    def end(self, ended: local.JobEnded, sender: Incarnation) -> None:
        """Keep the answer of an admitted job and give it to all who wait."""
        active = self.jobs[ended.token]
        job, slot = active.job, self.slots[active.slot]
        keys = slot.keys
        if ended.answer.status == "refused":
            # Nothing of it ran: the key may be used for another try.
            keys.drop(job.service, job.key)
        elif (record := keys.find(job.service, job.key)) is not None:
            keys.put(job.service, job.key, record._replace(ended=True))
            self.answers.keep(job.service, job.key, ended.answer, self.now())
        self.close(ended.token, ended.answer)
        if ended.answer.status != "refused":
            answer = messages.KeyAnswer(job.service, job.key, ended.answer)
            self.pass_on(slot, [answer])

    def close(self, token: int, answer: Answer) -> None:
        """Answer all askers of a job and drop it from the active ones."""
        active = self.jobs.pop(token)
        self.tokens.pop((active.job.service, active.job.key), None)
        for asker in active.askers:
            self.reply(asker, answer, self.slots[active.slot])

    def reply(self, asker: Asker, answer: Answer, slot: Slot | None = None) -> None:
        """Send an answer; one that sends the asker on carries the row."""
        row = None
        if answer.status == "refused":
            REFUSALS.labels(kind=answer.kind).inc()
        if slot is not None and answer.status in ("refused", "unknown"):
            row = slot.state.row
        answered = messages.Answered(asker.request, answer, row, asker.sequence)
        self.send(asker.incarnation, answered)

    # --- questions

    @handles(messages.Inquire)
    def inquire(self, inquire: messages.Inquire, sender: Incarnation) -> None:
        """Say whether a job submitted here is still at work."""
        token = self.tokens.get((inquire.service, inquire.key))
        if token is None:
            self.seen_before(sender, inquire.sequence)
            self.send(sender, messages.Unheard(inquire.request))
        else:
            asker = Asker(sender, inquire.request, inquire.sequence)
            self.jobs[token].askers[asker] = None
            self.send(sender, messages.Pending(inquire.request))

    @handles(messages.LookUp)
    def look_up(self, ask: messages.LookUp, sender: Incarnation) -> None:
        """Answer what is known of a job."""
        if not self.has_slot(ask.slot):
            return
        slot = self.slots[ask.slot]
        record = slot.keys.find(ask.service, ask.key)
        active = (ask.service, ask.key) in self.tokens
        if active or (record and self.awaited(slot, ask.service, record)):
            answer = RUNNING
        elif slot.state.phase != OPENED:
            answer = unknown(SLOT_MOVING)
        elif record is None:
            answer = unknown(UNKNOWN_JOB)
        else:
            answer = self.remembered(ask.service, ask.key, record)
        self.reply(Asker(sender, ask.request), answer, slot)

    @handles(messages.CancelJob)
    def cancel(self, cancel: messages.CancelJob, sender: Incarnation) -> None:
        """Have the runner cancel a job; who asked gets its answer."""
        token = self.tokens.get((cancel.service, cancel.key))
        if token is None:
            self.look_up(messages.LookUp(*cancel), sender)
            return
        active = self.jobs[token]
        active.askers[Asker(sender, cancel.request)] = None
        if active.admitted:
            self.runner.put(local.Cancel(token))
        else:
            self.runner.put(local.Withdraw(token))
            self.close(token, refuse(CANCELLED))

    # --- upkeep

    @handles(local.Drain)
    def drain(self, drain: local.Drain, sender: Incarnation) -> None:
        """Begin to hand all slots over."""
        self.draining = True

    @handles(Tick)
    def keep_up(self, tick: Tick, sender: Incarnation) -> None:
        """Look after the slots, forget old keys, and report."""
        self.look_after(tick, sender)
        self.unpark()
        now = self.now()
        if now - self.expired_at >= EXPIRE_INTERVAL_S:
            self.expired_at = now
            self.expire(now)
        phases = Counter(slot.state.phase for slot in self.held.values())
        phases[IDLE] = len(self.slots) - len(self.held)
        for phase in PHASES:
            labelled(SLOTS, phase).set(phases[phase])
        if self.draining and not self.jobs and self.may_leave(now):
            self.drained.put(local.Drained(exposed_name(type(self))))

    def expire(self, now: float) -> None:
        """Forget keys and answers past the retention."""
        spans = [document.retention_s for document in self.view.documents.values()]
        retention_s = max(spans, default=DEFAULT_RETENTION_S)
        for slot in self.slots:
            slot.keys.expire(now, retention_s)
        self.answers.expire(now, retention_s)
        KEYS.set(sum(len(slot.keys) for slot in self.slots))

    def owned(self) -> int:
        """Return how many slots are open here."""
        return sum(slot.state.phase == OPENED for slot in self.held.values())

    def may_leave(self, now: float) -> bool:
        """Return whether no slot is left here, or nobody to hand one to.

        Explanation
        -----------
        When a whole environment stops at once, the last guards have no successor.
        Their keys go with them, and the table shows that: whoever claims such a
        slot later does so by a reset.
        """
        alone = not self.names and now - self.candidates_since > ALONE_AFTER_S
        return alone or not self.held

    @handles(local.ShowStatus)
    def show(self, ask: local.ShowStatus, sender: Incarnation) -> None:
        """Give the status page the slots and jobs."""
        roles = {
            phase: [s.number for s in self.held.values() if s.state.phase == phase]
            for phase in PHASES
            if phase != IDLE
        }
        if not ask.reply.done():
            ask.reply.set_result({"slots": roles, "jobs": len(self.jobs)})
