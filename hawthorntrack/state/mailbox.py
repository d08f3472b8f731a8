"""Bounded queues by which tasks talk."""

import asyncio
from typing import Any

from hawthorntrack.state.metrics import MAILBOX_FULL


class Mailbox:
    """The bounded queue of one task.

    Parameters
    ----------
    owner : str
        Name of the task that reads it; the label of its counter.
    bound : int
        Messages held at most.

    Examples
    --------
    >>> box = Mailbox("example", 1)
    >>> box.post("first"), box.post("second")
    (True, False)
    """

    def __init__(self, owner: str, bound: int = 20_000) -> None:
        self.owner = owner
        self.queue: asyncio.Queue[Any] = asyncio.Queue(bound)

    def post(self, message: Any) -> bool:
        """Add a message; return False, and count it, when the queue is full."""
        try:
            self.queue.put_nowait(message)
        except asyncio.QueueFull:
            MAILBOX_FULL.labels(task=self.owner).inc()
            return False
        return True

    async def get(self) -> Any:
        """Wait for the next message."""
        return await self.queue.get()


class Tick:
    """Tells a task that its interval has passed."""


async def tick(mailbox: Mailbox, interval_s: float) -> None:
    """Post a `Tick` to `mailbox` every `interval_s` seconds, for ever."""
    while True:
        await asyncio.sleep(interval_s)
        mailbox.post(Tick())
