"""Actor that admits jobs by idempotency key and answers the entry instances."""

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
MAX_DEFERRED_SUBMISSIONS = 1_000
# Bounds the memory for the newest sequence number seen of each entry incarnation.
MAX_TRACKED_ENTRIES = 4_096
RUNNING = Answer("running", "", "", "")


class AnswerRequester(NamedTuple):
    """An entry instance's request that waits for a job's answer."""

    incarnation: Incarnation
    request: str
    sequence: int = 0


class ActiveJob(NamedTuple):
    """A job that was offered to the runner and has not ended.

    Attributes
    ----------
    requesters : dict of AnswerRequester
        Requests to answer when the job ends, as an ordered set. A repeated
        submission of the same job adds one.
    admitted : bool
        Whether the witness has confirmed the job's key.
    """

    job: JobSpec
    slot: int
    requesters: dict[AnswerRequester, None]
    admitted: bool = False


def may_predate_reset(key: str, reset_ms: int, skew_s: float) -> bool:
    """Return whether a pair lost at `reset_ms` may have admitted the key.

    Parameters
    ----------
    key : str
        The idempotency key, unknown at the slot's present owner. A key in UUIDv7
        form contains the time at which it was created.
    reset_ms : int
        Unix time in milliseconds of the slot's last reset; 0 if there was none.
    skew_s : float
        Greatest difference allowed between callers' clocks and this one, in seconds.

    Examples
    --------
    >>> may_predate_reset("reservation-7", 0, 60)
    False
    >>> may_predate_reset("reservation-7", 1_700_000_000_000, 60)
    True
    """
    if not reset_ms:
        return False
    created = created_ms(key)
    return created is None or created <= reset_ms + skew_s * 1000


class SlotManager(SlotReplication):
    """Manages the slots of one guard and the jobs whose keys belong to them.

    Parameters
    ----------
    me, settings, table, send, heartbeats
        As for `SlotReplication`.
    runner : Mailbox
        Mailbox of the actor that places admitted jobs.
    drained : Mailbox
        Receives `DrainCompleted` once a drain has left neither slots nor jobs.
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

    # Submissions

    @handles(messages.Submit)
    def on_submit(self, submit: messages.Submit, sender: Incarnation) -> None:
        """Handle a submission if it is newer than all others of its entry instance."""
        if self.is_stale_submission(sender, submit.sequence):
            BAD_INPUT.labels(edge="bus", reason="late_submission").inc()
            self.send(sender, messages.JobNotFound(submit.request))
        else:
            self.admit_or_answer(submit, sender)

    def admit_or_answer(self, submit: messages.Submit, sender: Incarnation) -> None:
        """Offer a new job, join or answer a known one, or refuse or defer it."""
        # A deferred submission of the same request must not be admitted after this
        # one has been refused.
        self.deferred.pop((sender, submit.request), None)
        requester = AnswerRequester(sender, submit.request, submit.sequence)
        job = submit.job
        if not self.has_slot(submit.slot):
            self.reply(requester, refuse(SLOT_MOVING, "No such slot."))
            return
        slot = self.slots[submit.slot]
        token = self.tokens_by_key.get((job.service, job.key))
        if token is not None:
            self.join_active_job(token, job, requester)
            return
        record = slot.keys.find(job.service, job.key)
        if record is None:
            if (
                self.succession_pending(slot)
                and len(self.deferred) < MAX_DEFERRED_SUBMISSIONS
            ):
                self.deferred[(sender, submit.request)] = submit
                return
        elif record.digest == job.digest and self.may_run_at_predecessor(
            slot, job.service, record
        ):
            self.send(sender, messages.Pending(submit.request))
            return
        refusal = self.answer_without_offer(slot, job, record)
        if refusal is not None:
            self.reply(requester, refusal, slot)
            return
        token = next(self.token_counter)
        if not self.runner.post(local.OfferJob(token, slot.number, job)):
            self.reply(requester, refuse(QUEUE_FULL), slot)
            return
        self.jobs[token] = ActiveJob(job, slot.number, {requester: None})
        self.tokens_by_key[(job.service, job.key)] = token

    def is_stale_submission(self, entry: Incarnation, sequence: int) -> bool:
        """Return whether this or a later submission was seen; record this one."""
        last_sequence = self.last_sequence.pop(entry, 0)
        self.last_sequence[entry] = max(last_sequence, sequence)
        if len(self.last_sequence) > MAX_TRACKED_ENTRIES:
            del self.last_sequence[next(iter(self.last_sequence))]
        return sequence <= last_sequence

    def may_run_at_predecessor(
        self, slot: Slot, service: str, record: KeyRecord
    ) -> bool:
        """Return whether a key's job may still run at the slot's previous owner.

        Explanation
        -----------
        An owner that hands over its slot finishes its jobs and forwards their
        answers. Requests for such a job wait until the answer has arrived or the
        previous owner has failed.
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

    def join_active_job(
        self, token: int, job: JobSpec, requester: AnswerRequester
    ) -> None:
        """Add a request to a job that is active already."""
        active = self.jobs[token]
        if active.job.digest != job.digest:
            self.reply(requester, refuse(KEY_CONFLICT))
        else:
            active.requesters[requester] = None

    def answer_without_offer(
        self, slot: Slot, job: JobSpec, record: KeyRecord | None
    ) -> Answer | None:
        """Return the answer to a job that must not be offered, or None if it may be."""
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
        """Handle the deferred submissions again."""
        deferred, self.deferred = self.deferred, {}
        for (sender, _), submit in deferred.items():
            self.admit_or_answer(submit, sender)

    def succession_pending(self, slot: Slot) -> bool:
        """Return whether a slot's witness is about to take it over.

        Explanation
        -----------
        A key replicated at that moment would be known to the next owner but never
        admitted. If the witness does not take the slot over within
        `SUCCESSION_TIMEOUT_S`, jobs are admitted again.
        """
        succession, now = slot.succession, self.now()
        return (
            slot.state.phase == OPENED
            and succession is not None
            and succession.epoch == slot.state.epoch
            and now - succession.asked_at < SUCCESSION_TIMEOUT_S
        )

    def answer_known_key(self, job: JobSpec, record: KeyRecord) -> Answer:
        """Return the answer to a job whose key is recorded but not active."""
        if record.digest != job.digest:
            return refuse(KEY_CONFLICT)
        return self.stored_answer(job.service, job.key, record)

    def stored_answer(self, service: str, key: str, record: KeyRecord) -> Answer:
        """Return the cached answer of a recorded key, or a failure if there is none.

        Explanation
        -----------
        The key may have been admitted by this guard or by an earlier owner.
        """
        lost = fail(ANSWER_DROPPED if record.ended else OWNER_LOST, "maybe")
        return self.answers.find(service, key) or lost

    @handles(local.OfferReply)
    def on_offer_reply(self, offered: local.OfferReply, sender: Incarnation) -> None:
        """Replicate the key of a job that the runner accepts; answer one it refuses."""
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
        """Admit jobs whose keys the witness has confirmed."""
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
        """Refuse the jobs of a slot that were not admitted and so never ran."""
        pending = [
            token
            for token, active in self.jobs.items()
            if active.slot == slot.number and not active.admitted
        ]
        for token in pending:
            self.runner.put(local.WithdrawOffer(token))
            self.finish_job(token, refuse(SLOT_MOVING))
        self.retry_deferred()

    # Transfer of answers to the next owner of a slot

    def forward_answers(self, slot: Slot) -> None:
        """Send the next owner the answers that callers may still wait for."""
        now, key_answers = self.now(), []
        for (service, key), record in slot.keys.records.items():
            document = self.view.documents.get(service)
            answer = self.answers.find(service, key)
            if (
                document
                and answer
                and now - record.recorded_at <= document.max_ms / 1000
            ):
                key_answers.append(messages.KeyAnswer(service, key, answer))
        self.send_answers(slot, key_answers)

    def send_answers(self, slot: Slot, key_answers: list[messages.KeyAnswer]) -> None:
        """Send answers in batches to the witness asked to take a slot over, if any."""
        if slot.succession is not None:
            for begin in range(0, len(key_answers), ANSWERS_PER_MESSAGE):
                part = tuple(key_answers[begin : begin + ANSWERS_PER_MESSAGE])
                self.send(
                    slot.succession.guard, messages.TransferAnswers(slot.number, part)
                )

    @handles(messages.TransferAnswers)
    def on_transfer_answers(
        self, transfer: messages.TransferAnswers, sender: Incarnation
    ) -> None:
        """Store the answers forwarded by a slot's previous owner."""
        slot = self.slots[transfer.slot]
        for service, key, answer in transfer.answers:
            record = slot.keys.find(service, key)
            if record is not None and not record.epoch:
                slot.keys.put(service, key, record._replace(ended=True))
                self.answers.add(service, key, answer, self.now())

    # Ended jobs

    @handles(local.JobEnded)
    def on_job_ended(self, ended: local.JobEnded, sender: Incarnation) -> None:
        """Store the answer of an admitted job and send it to all requesters."""
        active = self.jobs[ended.token]
        job, slot = active.job, self.slots[active.slot]
        keys = slot.keys
        if ended.answer.status == "refused":
            # No task of a refused job ran, so its key may be submitted again.
            keys.drop(job.service, job.key)
        elif (record := keys.find(job.service, job.key)) is not None:
            keys.put(job.service, job.key, record._replace(ended=True))
            self.answers.add(job.service, job.key, ended.answer, self.now())
        self.finish_job(ended.token, ended.answer)
        if ended.answer.status != "refused":
            answer = messages.KeyAnswer(job.service, job.key, ended.answer)
            self.send_answers(slot, [answer])

    def finish_job(self, token: int, answer: Answer) -> None:
        """Answer all requesters of a job and drop it from the active ones."""
        active = self.jobs.pop(token)
        self.tokens_by_key.pop((active.job.service, active.job.key), None)
        for requester in active.requesters:
            self.reply(requester, answer, self.slots[active.slot])

    def reply(
        self, requester: AnswerRequester, answer: Answer, slot: Slot | None = None
    ) -> None:
        """Send an answer, with the row of `slot` if it is refused or unknown."""
        row = None
        if answer.status == "refused":
            REFUSALS.labels(kind=answer.kind).inc()
        if slot is not None and answer.status in ("refused", "unknown"):
            row = slot.state.row
        answered = messages.Answered(requester.request, answer, row, requester.sequence)
        self.send(requester.incarnation, answered)

    # Queries and cancellation

    @handles(messages.Inquire)
    def on_inquire(self, inquire: messages.Inquire, sender: Incarnation) -> None:
        """Report whether a submitted job is active; add its requester if so."""
        token = self.tokens_by_key.get((inquire.service, inquire.key))
        if token is None:
            self.is_stale_submission(sender, inquire.sequence)
            self.send(sender, messages.JobNotFound(inquire.request))
        else:
            requester = AnswerRequester(sender, inquire.request, inquire.sequence)
            self.jobs[token].requesters[requester] = None
            self.send(sender, messages.Pending(inquire.request))

    @handles(messages.LookUp)
    def on_look_up(self, look_up: messages.LookUp, sender: Incarnation) -> None:
        """Answer a query for the state of a job."""
        if not self.has_slot(look_up.slot):
            return
        slot = self.slots[look_up.slot]
        record = slot.keys.find(look_up.service, look_up.key)
        active = (look_up.service, look_up.key) in self.tokens_by_key
        if active or (
            record and self.may_run_at_predecessor(slot, look_up.service, record)
        ):
            answer = RUNNING
        elif slot.state.phase != OPENED:
            answer = unknown(SLOT_MOVING)
        elif record is None:
            answer = unknown(UNKNOWN_JOB)
        else:
            answer = self.stored_answer(look_up.service, look_up.key, record)
        self.reply(AnswerRequester(sender, look_up.request), answer, slot)

    @handles(messages.CancelJob)
    def on_cancel_job(self, cancel: messages.CancelJob, sender: Incarnation) -> None:
        """Cancel a job and answer the sender when it has ended."""
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

    # Maintenance

    @handles(local.Drain)
    def on_drain(self, drain: local.Drain, sender: Incarnation) -> None:
        """Begin to hand over all slots."""
        self.draining = True

    @handles(Tick)
    def on_tick(self, tick: Tick, sender: Incarnation) -> None:
        """Maintain the slots, expire old keys, and update the metrics."""
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
        """Drop keys and answers that are past the longest retention of any service."""
        retentions = [document.retention_s for document in self.view.documents.values()]
        retention_s = max(retentions, default=DEFAULT_RETENTION_S)
        for slot in self.slots:
            slot.keys.expire(now, retention_s)
        self.answers.expire(now, retention_s)
        KEYS.set(sum(len(slot.keys) for slot in self.slots))

    def count_open_slots(self) -> int:
        """Return the number of slots that are open at this guard."""
        return sum(slot.state.phase == OPENED for slot in self.active_slots.values())

    def can_finish_drain(self, now: float) -> bool:
        """Return whether no slot is left, or no guard remains to take one over.

        Explanation
        -----------
        When a whole environment stops at once, the last guards have no successor and
        their keys are lost. The table shows this, so that a guard which claims such a
        slot later does so by a reset.
        """
        has_no_successor = (
            not self.candidate_addresses
            and now - self.candidates_stable_since > NO_SUCCESSOR_TIMEOUT_S
        )
        return has_no_successor or not self.active_slots

    @handles(local.GetStatus)
    def on_get_status(self, request: local.GetStatus, sender: Incarnation) -> None:
        """Report the slots by phase and the number of jobs for the status page."""
        slots_by_phase = {
            phase: [
                s.number for s in self.active_slots.values() if s.state.phase == phase
            ]
            for phase in PHASES
            if phase != IDLE
        }
        if not request.reply.done():
            request.reply.set_result({"slots": slots_by_phase, "jobs": len(self.jobs)})
