"""Bounded queues by which tasks talk."""

import asyncio
from typing import Any

from hawthorntrack.state.metrics import MAILBOX_FULL


class Mailbox:
    """The bounded queue of one task.

    Explanation
    -----------
    What comes from outside is posted, and dropped when the queue is full. A message
    that carries on with something taken in before (an admission, a job's end, a
    result) is put in whatever the length: there are no more of these than of the
    things taken in, and each that was lost would leave one of them hanging.

    Parameters
    ----------
    owner : str
        Name of the task that reads it; the label of its counter.
    bound : int
        Length from which on nothing is posted.

    Examples
    --------
    >>> box = Mailbox("example", 1)
    >>> box.post("first"), box.post("second")
    (True, False)
    >>> box.put("third")
    >>> box.queue.qsize()
    2
    """

    def __init__(self, owner: str, bound: int = 20_000) -> None:
        self.owner = owner
        self.bound = bound
        self.queue: asyncio.Queue[Any] = asyncio.Queue()

    def post(self, message: Any) -> bool:
        """Add a message; return False, and count it, when the queue is full."""
        if self.queue.qsize() >= self.bound:
            MAILBOX_FULL.labels(task=self.owner).inc()
            return False
        self.queue.put_nowait(message)
        return True

    def put(self, message: Any) -> None:
        """Add a message that must not be lost."""
        self.queue.put_nowait(message)

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
