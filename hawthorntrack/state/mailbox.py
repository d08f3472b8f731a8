"""Bounded queues by which tasks talk."""

import asyncio
import itertools
from collections.abc import Iterable
from typing import Any

from hawthorntrack.state.metrics import MAILBOX_FULL

ROUNDING_TOLERANCE = 1e-9


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


async def tick(intervals: Iterable[tuple[Mailbox, float]]) -> None:
    """Post a `Tick` to each mailbox at its interval, for ever.

    Explanation
    -----------
    Waking a process costs more than what most ticks do, so all share one timer. It
    goes by the shortest interval; a longer one ends with the round in which it is
    over, and keeps its rate.

    Parameters
    ----------
    intervals : iterable of (Mailbox, float)
        Mailboxes with their intervals in seconds.
    """
    intervals = tuple(intervals)
    step_s = min(interval_s for _, interval_s in intervals)
    for number in itertools.count(1):
        await asyncio.sleep(step_s)
        for mailbox, interval_s in intervals:
            before, after = (
                int(rounds * step_s / interval_s + ROUNDING_TOLERANCE)
                for rounds in (number - 1, number)
            )
            if after > before:
                mailbox.post(Tick())
