"""Base class of tasks that own their state and handle messages from one mailbox."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, ClassVar

from eliot import log_message

from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.naming import exposed_name
from hawthorntrack.state.values import NO_INCARNATION, Incarnation

Handler = Callable[[Any, Any, Incarnation], None]


class Delivery:
    """A message from another process, with its sender.

    Parameters
    ----------
    sender : Incarnation
        Incarnation of the process that sent the message.
    body : Any
        The message.
    """

    __slots__ = ("body", "sender")

    def __init__(self, sender: Incarnation, body: Any) -> None:
        self.sender = sender
        self.body = body


def handles(kind: type) -> Callable[[Handler], Handler]:
    """Return a decorator that makes a method the handler of messages of a type."""

    def set_handled_kind(method: Handler) -> Handler:
        method.handled_kind = kind
        return method

    return set_handled_kind


class Actor:
    """A task with a mailbox and handlers by message type.

    Explanation
    -----------
    No other task accesses the state of this one: others post messages, and every
    handler runs to its end before the next message is read. Work that must wait,
    such as a table call, runs in a spawned task that posts its outcome back.

    Parameters
    ----------
    bound : int
        Maximum number of messages in the mailbox.
    """

    handlers: ClassVar[dict[type, Handler]] = {}

    def __init_subclass__(cls) -> None:
        own_handlers = {
            method.handled_kind: method
            for method in vars(cls).values()
            if hasattr(method, "handled_kind")
        }
        cls.handlers = {**cls.handlers, **own_handlers}

    def __init__(self, bound: int = 20_000) -> None:
        self.mailbox = Mailbox(exposed_name(type(self)), bound)
        self.spawned: set[asyncio.Task[None]] = set()

    def now(self) -> float:
        """Return the event loop's time in seconds."""
        return asyncio.get_running_loop().time()

    def post_later(self, delay_s: float, message: Any) -> None:
        """Post a message to this task after `delay_s` seconds."""
        asyncio.get_running_loop().call_later(delay_s, self.mailbox.put, message)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run `work` concurrently with this task; its failure ends this task."""
        task = asyncio.get_running_loop().create_task(work)
        self.spawned.add(task)
        task.add_done_callback(self.on_spawned_done)

    def on_spawned_done(self, task: asyncio.Task[None]) -> None:
        """Report the failure of spawned work to this task."""
        self.spawned.discard(task)
        if not task.cancelled() and task.exception():
            self.mailbox.put(SpawnedWorkFailed(task.exception()))

    async def run(self) -> None:
        """Handle messages until the task is cancelled or a handler fails."""
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
            The error of spawned work, if `message` reports its failure.
        """
        if isinstance(message, SpawnedWorkFailed):
            raise message.error
        sender, body = NO_INCARNATION, message
        if isinstance(message, Delivery):
            sender, body = message.sender, message.body
        handler = self.handlers.get(type(body))
        if handler is None:
            kind = type(body)
            # The class's repr, with the exposed name in place of the class name.
            shown = str(kind).replace(f"{kind.__name__}'>", f"{exposed_name(kind)}'>")
            log_message("actor:unhandled", actor=exposed_name(type(self)), type=shown)
            return
        handler(self, body, sender)


class SpawnedWorkFailed:
    """Spawned work has failed with this error."""

    def __init__(self, error: BaseException) -> None:
        self.error = error
