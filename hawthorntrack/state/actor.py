"""The frame of a task that owns its state and reads one mailbox."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, ClassVar

from eliot import log_message

from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.naming import exposed_name
from hawthorntrack.state.values import NO_INCARNATION, Incarnation

Handler = Callable[[Any, Any, Incarnation], None]


class Delivery:
    """A message that came from another process.

    Parameters
    ----------
    sender : Incarnation
        Who sent it.
    body : Any
        The message.
    """

    __slots__ = ("body", "sender")

    def __init__(self, sender: Incarnation, body: Any) -> None:
        self.sender = sender
        self.body = body


def handles(kind: type) -> Callable[[Handler], Handler]:
    """Register a method as the handler of messages of type `kind`."""

    def mark(method: Handler) -> Handler:
        method.handled_kind = kind
        return method

    return mark


class Actor:
    """A task with a mailbox and handlers by message type.

    Explanation
    -----------
    Nothing outside the task touches its state: others post messages, and every
    handler runs to its end before the next message is read. Work that must wait
    (a table call, say) is spawned, and posts its outcome back.

    Parameters
    ----------
    bound : int
        Messages that the mailbox holds at most.
    """

    handlers: ClassVar[dict[type, Handler]] = {}

    def __init_subclass__(cls) -> None:
        own = {
            method.handled_kind: method
            for method in vars(cls).values()
            if hasattr(method, "handled_kind")
        }
        cls.handlers = {**cls.handlers, **own}

    def __init__(self, bound: int = 20_000) -> None:
        self.mailbox = Mailbox(exposed_name(type(self)), bound)
        self.spawned: set[asyncio.Task[None]] = set()

    def now(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def post_later(self, delay_s: float, message: Any) -> None:
        """Post a message to this task after a while."""
        asyncio.get_running_loop().call_later(delay_s, self.mailbox.put, message)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run `work` beside the task; its failure ends the task."""
        task = asyncio.get_running_loop().create_task(work)
        self.spawned.add(task)
        task.add_done_callback(self.settle)

    def settle(self, task: asyncio.Task[None]) -> None:
        """Pass the failure of spawned work on to the task."""
        self.spawned.discard(task)
        if not task.cancelled() and task.exception():
            self.mailbox.put(SpawnedWorkFailed(task.exception()))

    async def run(self) -> None:
        """Handle messages for ever."""
        try:
            while True:
                self.handle(await self.mailbox.get())
        finally:
            for task in self.spawned:
                task.cancel()

    def handle(self, message: Any) -> None:
        """Handle one message.

        Raises
        ------
        Exception
            What spawned work failed with, if `message` reports such a failure.
        """
        if isinstance(message, SpawnedWorkFailed):
            raise message.error
        sender, body = NO_INCARNATION, message
        if isinstance(message, Delivery):
            sender, body = message.sender, message.body
        handler = self.handlers.get(type(body))
        if handler is None:
            kind = type(body)
            # The text of the class itself, with its exposed name in place of its own.
            shown = str(kind).replace(f"{kind.__name__}'>", f"{exposed_name(kind)}'>")
            log_message("actor:unhandled", actor=exposed_name(type(self)), type=shown)
            return
        handler(self, body, sender)


class SpawnedWorkFailed:
    """Spawned work failed with this error."""

    def __init__(self, error: BaseException) -> None:
        self.error = error
