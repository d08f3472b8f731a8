"""The task that lets jobs in by their keys, and gives their answers out."""

import itertools
from collections import Counter
from typing import NamedTuple

from hawthorntrack.coordination.slot_replication import Send, Slot, SlotReplication
from hawthorntrack.protocol import local, messages
from hawthorntrack.state.actor import handles
from hawthorntrack.state.answer_cache import AnswerCache
from hawthorntrack.state.idempotency_keys import KeyRecord, ReplicatedKey
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
from hawthorntrack.state.uuid7 import created_ms
from hawthorntrack.state.values import Answer, GuardInfo, Incarnation, JobSpec

DEFAULT_RETENTION_S = 600
EXPIRE_INTERVAL_S = 5.0
NO_SUCCESSOR_TIMEOUT_S = 2.0
ANSWERS_PER_MESSAGE = 16
SUCCESSION_TIMEOUT_S = 0.5
MAX_DEFERRED = 1_000  # submissions that wait for a slot to move
MAX_TRACKED_ENTRIES = 4_096  # lives of entry instances whose newest submission is known
RUNNING = Answer("running", "", "", "")


class AnswerRequester(NamedTuple):
    """Who waits for a job's answer."""

    incarnation: Incarnation
    request: str
    sequence: int = 0


class ActiveJob(NamedTuple):
    """A job offered to the runner, noted, or running.

    Attributes
    ----------
    requesters : dict of AnswerRequester
        An ordered set; grows as the same job is submitted again.
    """

    job: JobSpec
    slot: int
    requesters: dict[AnswerRequester, None]
    admitted: bool = False


def may_predate_reset(key: str, reset_ms: int, skew_s: float) -> bool:
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
    >>> may_predate_reset("reservation-7", 0, 60)
    False
    >>> may_predate_reset("reservation-7", 1_700_000_000_000, 60)
    True
    """
    if not reset_ms:
        return False
    made = created_ms(key)
    return made is None or made <= reset_ms + skew_s * 1000


class SlotManager(SlotReplication):
    """Owns the slots of one guard, and the jobs whose keys they hold.

    Parameters
    ----------
    me, settings, table, send, beats
        As for `SlotReplication`.
    runner : Mailbox
        The task that places admitted jobs.
    drained : Mailbox
        Told when no slot and no job is left after a `Drain`.
    """

    exposed_name = "SlotKeeper"

    def __init__(
        self,
        me: GuardInfo,
        settings: Settings,
        table: Table,
        send: Send,
        heartbeats: Mailbox,
        runner: Mailbox,
        drained: Mailbox,
    ) -> None:
        super().__init__(me, settings, table, send, heartbeats)
        self.runner = runner
        self.drained = drained
        self.jobs: dict[int, ActiveJob] = {}
        self.tokens_by_key: dict[tuple[str, str], int] = {}
        self.token_counter = itertools.count(1)
        self.last_sequence: dict[Incarnation, int] = {}
        self.deferred: dict[tuple[Incarnation, str], messages.Submit] = {}
        self.answers = AnswerCache()
        self.last_expiry_at = 0.0

    # --- the way in

    @handles(messages.Submit)
    def on_submit(self, submit: messages.Submit, sender: Incarnation) -> None:
        """Take a submission that is newer than all from its entry instance."""
        if self.is_stale_submission(sender, submit.sequence):
            BAD_INPUT.labels(edge="bus", reason="late_submission").inc()
            self.send(sender, messages.JobNotFound(submit.request))
        else:
            self.admit_or_answer(submit, sender)

    def admit_or_answer(self, submit: messages.Submit, sender: Incarnation) -> None:
        """Join, answer, refuse, or offer a job; let it wait while its slot moves."""
        # An older one of the same request must not be let in after this is refused.
        self.deferred.pop((sender, submit.request), None)
        asker = AnswerRequester(sender, submit.request, submit.sequence)
        job = submit.job
        if not self.has_slot(submit.slot):
            self.reply(asker, refuse(SLOT_MOVING, "No such slot."))
            return
        slot = self.slots[submit.slot]
        token = self.tokens_by_key.get((job.service, job.key))
        if token is not None:
            self.join_active_job(token, job, asker)
            return
        record = slot.keys.find(job.service, job.key)
        if record is None:
            if self.succession_pending(slot) and len(self.deferred) < MAX_DEFERRED:
                self.deferred[(sender, submit.request)] = submit
                return
        elif record.digest == job.digest and self.may_run_at_predecessor(
            slot, job.service, record
        ):
            self.send(sender, messages.Pending(submit.request))
            return
        refusal = self.answer_without_offer(slot, job, record)
        if refusal is not None:
            self.reply(asker, refusal, slot)
            return
        token = next(self.token_counter)
        if not self.runner.post(local.OfferJob(token, slot.number, job)):
            self.reply(asker, refuse(QUEUE_FULL), slot)
            return
        self.jobs[token] = ActiveJob(job, slot.number, {asker: None})
        self.tokens_by_key[(job.service, job.key)] = token

    def is_stale_submission(self, entry: Incarnation, sequence: int) -> bool:
        """Return whether that submission, or a later one, was seen before."""
        last_sequence = self.last_sequence.pop(entry, 0)
        self.last_sequence[entry] = max(last_sequence, sequence)
        if len(self.last_sequence) > MAX_TRACKED_ENTRIES:
            del self.last_sequence[next(iter(self.last_sequence))]
        return sequence <= last_sequence

    def may_run_at_predecessor(
        self, slot: Slot, service: str, record: KeyRecord
    ) -> bool:
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
        heard_at = self.last_heard_at.get(slot.predecessor, 0.0)
        return (
            slot.state.phase == OPENED
            and not record.ended
            and not record.epoch
            and now - record.recorded_at <= document.max_ms / 1000
            and now - heard_at <= self.settings.timing.pair_silence_s
        )

    def join_active_job(self, token: int, job: JobSpec, asker: AnswerRequester) -> None:
        """Have one more asker wait for a job that is here already."""
        active = self.jobs[token]
        if active.job.digest != job.digest:
            self.reply(asker, refuse(KEY_CONFLICT))
        else:
            active.requesters[asker] = None

    def answer_without_offer(
        self, slot: Slot, job: JobSpec, record: KeyRecord | None
    ) -> Answer | None:
        """Return the answer to a job that is not to be offered, or None."""
        if slot.state.phase != OPENED:
            return refuse(SLOT_MOVING)
        if not self.view.is_fresh(self.now(), self.settings.timing.freshness_s):
            return refuse(STALE_VIEW)
        if record is not None:
            return self.answer_known_key(job, record)
        reset_ms = slot.state.row.reset_ms
        if may_predate_reset(job.key, reset_ms, self.settings.timing.key_clock_skew_s):
            return fail(OWNER_LOST, "maybe", "Both guards of the slot were lost.")
        if self.draining:
            return refuse(DRAINING)
        document = self.view.documents.get(job.service)
        if document is None:
            return refuse(UNKNOWN_SERVICE)
        if len(slot.keys) * max(1, self.count_open_slots()) >= document.remembered_keys:
            return refuse(KEY_STORE_FULL)
        return None

    def retry_deferred(self) -> None:
        """Look again at submissions that wait for a slot to move."""
        deferred, self.deferred = self.deferred, {}
        for (sender, _), submit in deferred.items():
            self.admit_or_answer(submit, sender)

    def succession_pending(self, slot: Slot) -> bool:
        """Return whether a slot's witness is about to take it over.

        Explanation
        -----------
        A key noted just then would be known to the next owner, but never admitted.
        Where nothing comes of it within `SUCCESSION_TIMEOUT_S`, jobs are let in again.
        """
        succession, now = slot.succession, self.now()
        return (
            slot.state.phase == OPENED
            and succession is not None
            and succession.epoch == slot.state.epoch
            and now - succession.asked_at < SUCCESSION_TIMEOUT_S
        )

    def answer_known_key(self, job: JobSpec, record: KeyRecord) -> Answer:
        """Return the answer to a key that is remembered and not active."""
        if record.digest != job.digest:
            return refuse(KEY_CONFLICT)
        return self.stored_answer(job.service, job.key, record)

    def stored_answer(self, service: str, key: str, record: KeyRecord) -> Answer:
        """Return the answer of a key that is remembered, whoever admitted it."""
        lost = fail(ANSWER_DROPPED if record.ended else OWNER_LOST, "maybe")
        return self.answers.find(service, key) or lost

    @handles(local.OfferReply)
    def on_offer_reply(self, offered: local.OfferReply, sender: Incarnation) -> None:
        """Note the key of a job that the runner takes; answer one it refuses."""
        active = self.jobs.get(offered.token)
        if active is None:
            if offered.refusal is None:
                self.runner.put(local.WithdrawOffer(offered.token))
        elif offered.refusal is not None:
            self.finish_job(offered.token, offered.refusal)
        else:
            job, slot = active.job, self.slots[active.slot]
            self.replicate_key(
                slot, offered.token, ReplicatedKey(job.service, job.key, job.digest, 0)
            )

    def admit_replicated(self, slot: Slot, tokens: tuple[int, ...]) -> None:
        """AdmitJob jobs whose keys the witness remembers."""
        for token in tokens:
            active = self.jobs.get(token)
            if active is None:
                continue
            job = active.job
            self.jobs[token] = active._replace(admitted=True)
            record = KeyRecord(job.digest, self.now(), slot.state.epoch)
            slot.keys.put(job.service, job.key, record)
            self.runner.put(local.AdmitJob(token))

    def refuse_pending(self, slot: Slot) -> None:
        """Refuse jobs of a slot that were not admitted; they never ran."""
        pending = [
            token
            for token, active in self.jobs.items()
            if active.slot == slot.number and not active.admitted
        ]
        for token in pending:
            self.runner.put(local.WithdrawOffer(token))
            self.finish_job(token, refuse(SLOT_MOVING))
        self.retry_deferred()

    # --- answers that follow a slot

    def forward_answers(self, slot: Slot) -> None:
        """Pass on the answers that somebody may still be waiting for."""
        now, found = self.now(), []
        for (service, key), record in slot.keys.records.items():
            document = self.view.documents.get(service)
            answer = self.answers.find(service, key)
            if (
                document
                and answer
                and now - record.recorded_at <= document.max_ms / 1000
            ):
                found.append(messages.KeyAnswer(service, key, answer))
        self.send_answers(slot, found)

    def send_answers(self, slot: Slot, found: list[messages.KeyAnswer]) -> None:
        """Send answers to a slot's heir, a few in each message."""
        if slot.succession is not None:
            for begin in range(0, len(found), ANSWERS_PER_MESSAGE):
                part = tuple(found[begin : begin + ANSWERS_PER_MESSAGE])
                self.send(
                    slot.succession.guard, messages.TransferAnswers(slot.number, part)
                )

    @handles(messages.TransferAnswers)
    def on_transfer_answers(
        self, passed: messages.TransferAnswers, sender: Incarnation
    ) -> None:
        """Keep the answers of the owner before."""
        slot = self.slots[passed.slot]
        for service, key, answer in passed.answers:
            record = slot.keys.find(service, key)
            if record is not None and not record.epoch:
                slot.keys.put(service, key, record._replace(ended=True))
                self.answers.add(service, key, answer, self.now())

    # --- the way out

    @handles(local.JobEnded)
    def on_job_ended(self, ended: local.JobEnded, sender: Incarnation) -> None:
        """Keep the answer of an admitted job and give it to all who wait."""
        active = self.jobs[ended.token]
        job, slot = active.job, self.slots[active.slot]
        keys = slot.keys
        if ended.answer.status == "refused":
            # Nothing of it ran: the key may be used for another try.
            keys.drop(job.service, job.key)
        elif (record := keys.find(job.service, job.key)) is not None:
            keys.put(job.service, job.key, record._replace(ended=True))
            self.answers.add(job.service, job.key, ended.answer, self.now())
        self.finish_job(ended.token, ended.answer)
        if ended.answer.status != "refused":
            answer = messages.KeyAnswer(job.service, job.key, ended.answer)
            self.send_answers(slot, [answer])

    def finish_job(self, token: int, answer: Answer) -> None:
        """Answer all askers of a job and drop it from the active ones."""
        active = self.jobs.pop(token)
        self.tokens_by_key.pop((active.job.service, active.job.key), None)
        for asker in active.requesters:
            self.reply(asker, answer, self.slots[active.slot])

    def reply(
        self, asker: AnswerRequester, answer: Answer, slot: Slot | None = None
    ) -> None:
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
    def on_inquire(self, inquire: messages.Inquire, sender: Incarnation) -> None:
        """Say whether a job submitted here is still at work."""
        token = self.tokens_by_key.get((inquire.service, inquire.key))
        if token is None:
            self.is_stale_submission(sender, inquire.sequence)
            self.send(sender, messages.JobNotFound(inquire.request))
        else:
            asker = AnswerRequester(sender, inquire.request, inquire.sequence)
            self.jobs[token].requesters[asker] = None
            self.send(sender, messages.Pending(inquire.request))

    @handles(messages.LookUp)
    def on_look_up(self, ask: messages.LookUp, sender: Incarnation) -> None:
        """Answer what is known of a job."""
        if not self.has_slot(ask.slot):
            return
        slot = self.slots[ask.slot]
        record = slot.keys.find(ask.service, ask.key)
        active = (ask.service, ask.key) in self.tokens_by_key
        if active or (
            record and self.may_run_at_predecessor(slot, ask.service, record)
        ):
            answer = RUNNING
        elif slot.state.phase != OPENED:
            answer = unknown(SLOT_MOVING)
        elif record is None:
            answer = unknown(UNKNOWN_JOB)
        else:
            answer = self.stored_answer(ask.service, ask.key, record)
        self.reply(AnswerRequester(sender, ask.request), answer, slot)

    @handles(messages.CancelJob)
    def on_cancel_job(self, cancel: messages.CancelJob, sender: Incarnation) -> None:
        """Have the runner cancel a job; who asked gets its answer."""
        token = self.tokens_by_key.get((cancel.service, cancel.key))
        if token is None:
            self.on_look_up(messages.LookUp(*cancel), sender)
            return
        active = self.jobs[token]
        active.requesters[AnswerRequester(sender, cancel.request)] = None
        if active.admitted:
            self.runner.put(local.CancelAdmittedJob(token))
        else:
            self.runner.put(local.WithdrawOffer(token))
            self.finish_job(token, refuse(CANCELLED))

    # --- upkeep

    @handles(local.Drain)
    def on_drain(self, drain: local.Drain, sender: Incarnation) -> None:
        """Begin to hand all slots over."""
        self.draining = True

    @handles(Tick)
    def on_tick(self, tick: Tick, sender: Incarnation) -> None:
        """Look after the slots, forget old keys, and report."""
        self.maintain_slots(tick, sender)
        self.retry_deferred()
        now = self.now()
        if now - self.last_expiry_at >= EXPIRE_INTERVAL_S:
            self.last_expiry_at = now
            self.expire(now)
        phases = Counter(slot.state.phase for slot in self.active_slots.values())
        phases[IDLE] = len(self.slots) - len(self.active_slots)
        for phase in PHASES:
            labelled(SLOTS, phase).set(phases[phase])
        if self.draining and not self.jobs and self.can_finish_drain(now):
            self.drained.put(local.DrainCompleted(exposed_name(type(self))))

    def expire(self, now: float) -> None:
        """Forget keys and answers past the retention."""
        spans = [document.retention_s for document in self.view.documents.values()]
        retention_s = max(spans, default=DEFAULT_RETENTION_S)
        for slot in self.slots:
            slot.keys.expire(now, retention_s)
        self.answers.expire(now, retention_s)
        KEYS.set(sum(len(slot.keys) for slot in self.slots))

    def count_open_slots(self) -> int:
        """Return how many slots are open here."""
        return sum(slot.state.phase == OPENED for slot in self.active_slots.values())

    def can_finish_drain(self, now: float) -> bool:
        """Return whether no slot is left here, or nobody to hand one to.

        Explanation
        -----------
        When a whole environment stops at once, the last guards have no successor.
        Their keys go with them, and the table shows that: whoever claims such a
        slot later does so by a reset.
        """
        alone = (
            not self.candidate_addresses
            and now - self.candidates_stable_since > NO_SUCCESSOR_TIMEOUT_S
        )
        return alone or not self.active_slots

    @handles(local.GetStatus)
    def on_get_status(self, ask: local.GetStatus, sender: Incarnation) -> None:
        """Give the status page the slots and jobs."""
        roles = {
            phase: [
                s.number for s in self.active_slots.values() if s.state.phase == phase
            ]
            for phase in PHASES
            if phase != IDLE
        }
        if not ask.reply.done():
            ask.reply.set_result({"slots": roles, "jobs": len(self.jobs)})
