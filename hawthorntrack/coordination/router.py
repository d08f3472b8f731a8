"""Request router of an entry instance: submits jobs to the owners of their slots."""

import asyncio
import itertools
from typing import Any, NamedTuple

from eliot import log_message

from hawthorntrack.coordination.admission import apply_deadline_limits
from hawthorntrack.coordination.slot_replication import Send
from hawthorntrack.protocol import local, messages
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.control_view import ControlView
from hawthorntrack.state.hashing import slot_of
from hawthorntrack.state.mailbox import Mailbox, Tick
from hawthorntrack.state.metrics import REFUSALS, RESPONSE_RATIO, RETRIES
from hawthorntrack.state.naming import exposed_name
from hawthorntrack.state.outcomes import (
    DEADLINE_PASSED,
    DRAINING,
    NO_OWNER,
    OWNER_LOST,
    SLOT_MOVING,
    STALE_VIEW,
    UNKNOWN_SERVICE,
    fail,
    refuse,
    resolve,
)
from hawthorntrack.state.settings import Settings
from hawthorntrack.state.slot_owners import SlotOwners
from hawthorntrack.state.values import Answer, Incarnation, JobSpec

RETRY_PAUSE_S = 0.03
# An answer that the owner sends at the deadline may still be in transit.
ANSWER_GRACE_S = 0.25
# Refusals after which another submission within the deadline may succeed.
TRANSIENT_REFUSALS = {SLOT_MOVING.name, STALE_VIEW.name, DRAINING.name}


class Request(NamedTuple):
    """A caller's job that is not answered yet.

    Attributes
    ----------
    reply : asyncio.Future
        Receives the answer.
    deadline_at : float
        Loop time in seconds.
    sent_to : Incarnation or None
        Owner of the newest submission; None while the next one is delayed.
    sequence : int
        Sequence number of the newest submission.
    unresolved_submissions : frozenset of (Incarnation, int)
        Submissions, by owner and sequence number, that were not refused and may
        therefore run.
    heard_at, inquired_at : float
        Loop times of the owner's last message about the job and of the last inquiry.
    retry_at : float
        Loop time from which the job may be submitted again.
    """

    request_id: str
    job: JobSpec
    slot: int
    reply: asyncio.Future[Answer]
    begun_at: float
    deadline_at: float
    sent_to: Incarnation | None = None
    sequence: int = 0
    unresolved_submissions: frozenset[tuple[Incarnation, int]] = frozenset()
    heard_at: float = 0.0
    inquired_at: float = 0.0
    retry_at: float = 0.0


class Router(Actor):
    """Actor that owns the open requests of one entry instance.

    Parameters
    ----------
    me : Incarnation
        This entry instance.
    settings : Settings
        Settings of the entry instance.
    send : callable
        Sends a message to an incarnation.
    drained : Mailbox
        Receives `DrainCompleted` when no request is open after a `Drain`.
    """

    def __init__(
        self, me: Incarnation, settings: Settings, send: Send, drained: Mailbox
    ) -> None:
        super().__init__(settings.bounds.mailbox)
        self.me = me
        self.settings = settings
        self.send = send
        self.drained = drained
        self.view = ControlView()
        self.owners = SlotOwners()
        self.requests: dict[str, Request] = {}
        self.request_ids = itertools.count(1)
        self.sequences = itertools.count(1)
        self.draining = False

    # Submission

    @handles(local.SubmitJob)
    def on_submit_job(self, submission: local.SubmitJob, sender: Incarnation) -> None:
        """Accept a caller's job and submit it to the owner of its slot."""
        document = self.view.documents.get(submission.job.service)
        if self.draining or document is None:
            refusal = refuse(DRAINING if self.draining else UNKNOWN_SERVICE)
            REFUSALS.labels(kind=refusal.kind).inc()
            resolve(submission.reply, refusal)
            return
        job, now = apply_deadline_limits(submission.job, document), self.now()
        request_id = str(next(self.request_ids))
        slot = slot_of(job.service, job.key, self.settings.slots)
        deadline_at = now + job.deadline_ms / 1000
        self.requests[request_id] = Request(
            request_id, job, slot, submission.reply, now, deadline_at
        )
        self.submit_to_owner(self.requests[request_id])

    def submit_to_owner(self, request: Request) -> None:
        """Submit a request to the owner of its slot, or delay it if none is known."""
        now, owner = self.now(), self.owners.owner(request.slot)
        if owner is None:
            retry_at = now + RETRY_PAUSE_S
            self.requests[request.request_id] = request._replace(
                sent_to=None, retry_at=retry_at
            )
            return
        remaining_ms = max(1, int((request.deadline_at - now) * 1000))
        job = request.job._replace(deadline_ms=remaining_ms)
        sequence = next(self.sequences)
        self.requests[request.request_id] = request._replace(
            sent_to=owner,
            sequence=sequence,
            unresolved_submissions=request.unresolved_submissions | {(owner, sequence)},
            heard_at=now,
            inquired_at=now,
        )
        submit = messages.Submit(request.request_id, sequence, request.slot, job)
        self.send(owner, submit)

    # Answers

    @handles(messages.Answered)
    def on_answered(self, answered: messages.Answered, sender: Incarnation) -> None:
        """Pass an answer on to its caller, or retry after a transient refusal."""
        request = self.requests.get(answered.request)
        if request is None:
            return
        if answered.row is not None:
            self.owners.update(request.slot, answered.row)
        if answered.answer.status == "refused":
            self.retry_or_refuse(request, answered, sender)
        else:
            self.finish(request, answered.answer)

    def retry_or_refuse(
        self, request: Request, answered: messages.Answered, sender: Incarnation
    ) -> None:
        """Retry after a transient refusal; otherwise answer whether the job may run.

        Explanation
        -----------
        A transient refusal is valid for one submission only. Any other refusal comes
        from an owner that looked the key up: it has never admitted the key, and drops
        earlier submissions that arrive late.
        """
        answer, now = answered.answer, self.now()
        first_sequence = answered.sequence if answer.kind in TRANSIENT_REFUSALS else 0
        unresolved_submissions = frozenset(
            (owner, sequence)
            for owner, sequence in request.unresolved_submissions
            if owner != sender or not first_sequence <= sequence <= answered.sequence
        )
        request = request._replace(unresolved_submissions=unresolved_submissions)
        if (
            answer.kind in TRANSIENT_REFUSALS
            and now + RETRY_PAUSE_S < request.deadline_at
        ):
            RETRIES.labels(reason=answer.kind).inc()
            if request.sequence == answered.sequence:
                request = request._replace(sent_to=None, retry_at=now + RETRY_PAUSE_S)
            self.requests[request.request_id] = request
        elif unresolved_submissions:
            self.finish(request, fail(OWNER_LOST, "maybe", answer.detail))
        else:
            self.finish(request, answer)

    def finish(self, request: Request, answer: Answer) -> None:
        """Close a request and answer its caller."""
        self.requests.pop(request.request_id, None)
        if answer.status == "refused":
            REFUSALS.labels(kind=answer.kind).inc()
        elif answer.status == "complete":
            longest_ms = max(result.run_ms for result in answer.results)
            spent_ms = (self.now() - request.begun_at) * 1000
            RESPONSE_RATIO.observe(spent_ms / max(longest_ms, 1.0))
        log_message(
            "request:answered",
            process=str(self.me),
            service=request.job.service,
            job=request.job.key,
            status=answer.status,
            kind=answer.kind,
        )
        resolve(request.reply, answer)

    @handles(messages.Pending)
    def on_pending(self, pending: messages.Pending, sender: Incarnation) -> None:
        """Record that the owner still has the job."""
        request = self.requests.get(pending.request)
        if request is not None and request.sent_to == sender:
            self.requests[request.request_id] = request._replace(heard_at=self.now())

    @handles(messages.JobNotFound)
    def on_job_not_found(
        self, not_found: messages.JobNotFound, sender: Incarnation
    ) -> None:
        """Submit a job again that its owner never received."""
        request = self.requests.get(not_found.request)
        if request is not None and request.sent_to == sender:
            RETRIES.labels(reason="owner_unheard").inc()
            self.submit_to_owner(request)

    # View and timers

    @handles(local.ViewChanged)
    def on_view_changed(self, change: local.ViewChanged, sender: Incarnation) -> None:
        """Store a new view, and its slot rows where they are newer."""
        self.view = change.view
        self.owners.update_all(change.view.slots)

    @handles(Tick)
    def on_tick(self, tick: Tick, sender: Incarnation) -> None:
        """Expire requests, submit delayed ones, and inquire about the others."""
        now = self.now()
        for request in list(self.requests.values()):
            if now >= request.deadline_at + (
                ANSWER_GRACE_S if request.unresolved_submissions else 0
            ):
                self.expire_request(request)
            elif request.sent_to is None:
                if now >= request.retry_at:
                    self.submit_to_owner(request)
            else:
                self.check_owner(request, now)
        if self.draining and not self.requests:
            self.drained.put(local.DrainCompleted(exposed_name(type(self))))

    def expire_request(self, request: Request) -> None:
        """Answer a request whose deadline has passed."""
        if request.unresolved_submissions:
            self.finish(request, fail(DEADLINE_PASSED, "maybe"))
        else:
            self.finish(request, refuse(NO_OWNER))

    def check_owner(self, request: Request, now: float) -> None:
        """Inquire about a request; submit it to a new owner if the old is silent."""
        timing = self.settings.timing
        owner = self.owners.owner(request.slot)
        silent = now - request.heard_at > timing.inquire_s + timing.pair_silence_s / 3
        if silent and owner not in (None, request.sent_to):
            RETRIES.labels(reason="owner_silent").inc()
            self.submit_to_owner(request)
        elif now - request.inquired_at > timing.inquire_s:
            self.requests[request.request_id] = request._replace(inquired_at=now)
            self.send(
                request.sent_to,
                messages.Inquire(
                    request.request_id,
                    request.sequence,
                    request.slot,
                    request.job.service,
                    request.job.key,
                ),
            )

    @handles(local.Drain)
    def on_drain(self, drain: local.Drain, sender: Incarnation) -> None:
        """Refuse new requests from now on; open ones are finished."""
        self.draining = True

    @handles(local.GetStatus)
    def on_get_status(self, request: local.GetStatus, sender: Incarnation) -> None:
        """Answer the status page with the numbers of open requests and open slots."""
        page: dict[str, Any] = {
            "requests": len(self.requests),
            "slots_open": self.owners.open_slots(),
        }
        if not request.reply.done():
            request.reply.set_result(page)
