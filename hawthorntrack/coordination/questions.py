"""The task by which an entry instance asks owners after jobs, or to cancel them."""

import itertools
from typing import NamedTuple

from hawthorntrack.coordination.pairing import Send
from hawthorntrack.protocol import local, messages
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.hashing import slot_of
from hawthorntrack.state.mailbox import Mailbox, Tick
from hawthorntrack.state.metrics import RETRIES
from hawthorntrack.state.naming import exposed_name
from hawthorntrack.state.outcomes import NO_OWNER, SLOT_MOVING, settle, unknown
from hawthorntrack.state.owners import SlotOwners
from hawthorntrack.state.settings import Settings
from hawthorntrack.state.values import Answer, Incarnation

LIMIT_S = 2.0
RETRY_PAUSE_S = 0.05


class Question(NamedTuple):
    """A caller's question about a job, or its wish to have it cancelled.

    Attributes
    ----------
    sent_to : Incarnation or None
        The owner that has the question now; None while it waits to be sent.
    send_at, limit_at : float
        Loop times in seconds.
    """

    number: str
    ask: local.AskKnown
    slot: int
    limit_at: float
    sent_to: Incarnation | None = None
    send_at: float = 0.0


class Questioner(Actor):
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

    def __init__(self, settings: Settings, send: Send, drained: Mailbox) -> None:
        super().__init__(settings.bounds.mailbox)
        self.settings = settings
        self.send = send
        self.drained = drained
        self.owners = SlotOwners()
        self.questions: dict[str, Question] = {}
        self.numbers = itertools.count(1)
        self.draining = False

    @handles(local.AskKnown)
    def ask(self, ask: local.AskKnown, sender: Incarnation) -> None:
        """Pass a caller's question on to the job's owner."""
        slot = slot_of(ask.service, ask.key, self.settings.slots)
        number = f"q{next(self.numbers)}"
        question = Question(number, ask, slot, self.now() + LIMIT_S)
        self.questions[number] = question
        self.dispatch(question)

    def dispatch(self, question: Question) -> None:
        """Send a question to its owner, or let it wait for one."""
        owner = self.owners.owner(question.slot)
        self.questions[question.number] = question._replace(
            sent_to=owner, send_at=self.now() + RETRY_PAUSE_S
        )
        if owner is not None:
            ask = question.ask
            kind = messages.CancelJob if ask.cancel else messages.LookUp
            self.send(owner, kind(question.number, question.slot, ask.service, ask.key))

    @handles(messages.Answered)
    def take_answer(self, answered: messages.Answered, sender: Incarnation) -> None:
        """Give an answer to its caller, or ask again where the slot moves."""
        question = self.questions.get(answered.request)
        if question is None:
            return
        if answered.row is not None:
            self.owners.learn(question.slot, answered.row)
        if answered.answer.kind != SLOT_MOVING.name:
            self.finish(question, answered.answer)
        elif question.sent_to == sender:
            RETRIES.labels(reason="question").inc()
            self.questions[question.number] = question._replace(sent_to=None)

    def finish(self, question: Question, answer: Answer) -> None:
        """Give a question its one answer."""
        del self.questions[question.number]
        settle(question.ask.reply, answer)

    @handles(local.ViewChanged)
    def take_view(self, change: local.ViewChanged, sender: Incarnation) -> None:
        """Take the slot rows that are newer than those known."""
        self.owners.learn_all(change.view.slots)

    @handles(Tick)
    def keep_up(self, tick: Tick, sender: Incarnation) -> None:
        """Ask again where the owner changed; end what nobody answers."""
        now = self.now()
        for question in list(self.questions.values()):
            owner = self.owners.owner(question.slot)
            if now >= question.limit_at:
                self.finish(question, unknown(NO_OWNER))
            elif now >= question.send_at and owner not in (None, question.sent_to):
                self.dispatch(question)
        if self.draining and not self.questions:
            self.drained.put(local.Drained(exposed_name(type(self))))

    @handles(local.Drain)
    def drain(self, drain: local.Drain, sender: Incarnation) -> None:
        """Finish the questions under way."""
        self.draining = True
