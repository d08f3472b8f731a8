"""The task by which an entry instance asks owners after jobs, or to cancel them."""

import itertools
from typing import NamedTuple

from hawthorntrack.coordination.slot_replication import Send
from hawthorntrack.protocol import local, messages
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.hashing import slot_of
from hawthorntrack.state.mailbox import Mailbox, Tick
from hawthorntrack.state.metrics import RETRIES
from hawthorntrack.state.naming import exposed_name
from hawthorntrack.state.outcomes import NO_OWNER, SLOT_MOVING, resolve, unknown
from hawthorntrack.state.settings import Settings
from hawthorntrack.state.slot_owners import SlotOwners
from hawthorntrack.state.values import Answer, Incarnation

QUERY_TIMEOUT_S = 2.0
RETRY_PAUSE_S = 0.05


class JobQuery(NamedTuple):
    """A caller's question about a job, or its wish to have it cancelled.

    Attributes
    ----------
    sent_to : Incarnation or None
        The owner that has the question now; None while it waits to be sent.
    send_at, deadline_at : float
        Loop times in seconds.
    """

    query_id: str
    ask: local.QueryJob
    slot: int
    deadline_at: float
    sent_to: Incarnation | None = None
    send_at: float = 0.0


class JobQueryClient(Actor):
    """Owns the questions of one entry instance.

    Explanation
    -----------
    A question changes nothing at the owner that a second one would not, so it is
    asked again until its limit. An answer that never came says "maybe": the job may
    run at an owner that could not be reached.

    Parameters
    ----------
    settings : Settings
        Its settings.
    send : callable
        Sends a message to an incarnation.
    drained : Mailbox
        Told when no question is left after a `Drain`.
    """

    exposed_name = "Questioner"

    def __init__(self, settings: Settings, send: Send, drained: Mailbox) -> None:
        super().__init__(settings.bounds.mailbox)
        self.settings = settings
        self.send = send
        self.drained = drained
        self.owners = SlotOwners()
        self.queries: dict[str, JobQuery] = {}
        self.query_ids = itertools.count(1)
        self.draining = False

    @handles(local.QueryJob)
    def on_query_job(self, ask: local.QueryJob, sender: Incarnation) -> None:
        """Pass a caller's question on to the job's owner."""
        slot = slot_of(ask.service, ask.key, self.settings.slots)
        query_id = f"q{next(self.query_ids)}"
        question = JobQuery(query_id, ask, slot, self.now() + QUERY_TIMEOUT_S)
        self.queries[query_id] = question
        self.send_query(question)

    def send_query(self, question: JobQuery) -> None:
        """Send a question to its owner, or let it wait for one."""
        owner = self.owners.owner(question.slot)
        self.queries[question.query_id] = question._replace(
            sent_to=owner, send_at=self.now() + RETRY_PAUSE_S
        )
        if owner is not None:
            ask = question.ask
            kind = messages.CancelJob if ask.cancel else messages.LookUp
            self.send(
                owner, kind(question.query_id, question.slot, ask.service, ask.key)
            )

    @handles(messages.Answered)
    def on_answered(self, answered: messages.Answered, sender: Incarnation) -> None:
        """Give an answer to its caller, or ask again where the slot moves."""
        question = self.queries.get(answered.request)
        if question is None:
            return
        if answered.row is not None:
            self.owners.update(question.slot, answered.row)
        if answered.answer.kind != SLOT_MOVING.name:
            self.answer_query(question, answered.answer)
        elif question.sent_to == sender:
            RETRIES.labels(reason="question").inc()
            self.queries[question.query_id] = question._replace(sent_to=None)

    def answer_query(self, question: JobQuery, answer: Answer) -> None:
        """Give a question its one answer."""
        del self.queries[question.query_id]
        resolve(question.ask.reply, answer)

    @handles(local.ViewChanged)
    def on_view_changed(self, change: local.ViewChanged, sender: Incarnation) -> None:
        """Take the slot rows that are newer than those known."""
        self.owners.update_all(change.view.slots)

    @handles(Tick)
    def on_tick(self, tick: Tick, sender: Incarnation) -> None:
        """Ask again where the owner changed; end what nobody answers."""
        now = self.now()
        for question in list(self.queries.values()):
            owner = self.owners.owner(question.slot)
            if now >= question.deadline_at:
                self.answer_query(question, unknown(NO_OWNER))
            elif now >= question.send_at and owner not in (None, question.sent_to):
                self.send_query(question)
        if self.draining and not self.queries:
            self.drained.put(local.DrainCompleted(exposed_name(type(self))))

    @handles(local.Drain)
    def on_drain(self, drain: local.Drain, sender: Incarnation) -> None:
        """Finish the questions under way."""
        self.draining = True
