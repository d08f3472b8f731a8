"""Actor through which an entry instance queries and cancels jobs at their owners."""

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
    """A caller's query for the state of a job, or its request to cancel the job.

    Attributes
    ----------
    query_id : str
        Identifies the query in messages to owners.
    request : local.QueryJob
        The caller's request.
    slot : int
        Slot of the job's key.
    deadline_at : float
        Loop time in seconds at which the query is answered as unknown.
    sent_to : Incarnation or None
        The owner to which the query was last sent; None while it waits to be sent.
    send_at : float
        Loop time in seconds before which the query is not sent again.
    """

    query_id: str
    request: local.QueryJob
    slot: int
    deadline_at: float
    sent_to: Incarnation | None = None
    send_at: float = 0.0


class JobQueryClient(Actor):
    """Sends the job queries of one entry instance and returns their answers.

    Explanation
    -----------
    A query is idempotent, so it is sent again until its deadline. A query without an
    answer by then is answered "maybe", because the job may run at an owner that could
    not be reached.

    Parameters
    ----------
    settings : Settings
        Settings of the entry instance.
    send : callable
        Sends a message to an incarnation.
    drained : Mailbox
        Receives `DrainCompleted` once a drain has left no query.
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
    def on_query_job(self, request: local.QueryJob, sender: Incarnation) -> None:
        """Send a caller's query to the job's owner."""
        slot = slot_of(request.service, request.key, self.settings.slots)
        query_id = f"q{next(self.query_ids)}"
        query = JobQuery(query_id, request, slot, self.now() + QUERY_TIMEOUT_S)
        self.queries[query_id] = query
        self.send_query(query)

    def send_query(self, query: JobQuery) -> None:
        """Send a query to the slot's owner, or let it wait until one is known."""
        owner = self.owners.owner(query.slot)
        self.queries[query.query_id] = query._replace(
            sent_to=owner, send_at=self.now() + RETRY_PAUSE_S
        )
        if owner is not None:
            request = query.request
            kind = messages.CancelJob if request.cancel else messages.LookUp
            self.send(
                owner,
                kind(query.query_id, query.slot, request.service, request.key),
            )

    @handles(messages.Answered)
    def on_answered(self, answered: messages.Answered, sender: Incarnation) -> None:
        """Return an answer to its caller, or send the query again if the slot moves."""
        query = self.queries.get(answered.request)
        if query is None:
            return
        if answered.row is not None:
            self.owners.update(query.slot, answered.row)
        if answered.answer.kind != SLOT_MOVING.name:
            self.answer_query(query, answered.answer)
        elif query.sent_to == sender:
            RETRIES.labels(reason="question").inc()
            self.queries[query.query_id] = query._replace(sent_to=None)

    def answer_query(self, query: JobQuery, answer: Answer) -> None:
        """Answer a query and drop it."""
        del self.queries[query.query_id]
        resolve(query.request.reply, answer)

    @handles(local.ViewChanged)
    def on_view_changed(self, change: local.ViewChanged, sender: Incarnation) -> None:
        """Store the slot rows that are newer than those known."""
        self.owners.update_all(change.view.slots)

    @handles(Tick)
    def on_tick(self, tick: Tick, sender: Incarnation) -> None:
        """Send queries again whose owner changed, and end those past their deadline."""
        now = self.now()
        for query in list(self.queries.values()):
            owner = self.owners.owner(query.slot)
            if now >= query.deadline_at:
                self.answer_query(query, unknown(NO_OWNER))
            elif now >= query.send_at and owner not in (None, query.sent_to):
                self.send_query(query)
        if self.draining and not self.queries:
            self.drained.put(local.DrainCompleted(exposed_name(type(self))))

    @handles(local.Drain)
    def on_drain(self, drain: local.Drain, sender: Incarnation) -> None:
        """Begin to drain: report once the present queries have been answered."""
        self.draining = True
