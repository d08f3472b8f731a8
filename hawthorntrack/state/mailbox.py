"""Bounded message queues between tasks, and periodic ticks."""

import asyncio
import itertools
from collections.abc import Iterable
from typing import Any

from hawthorntrack.state.metrics import MAILBOX_FULL

ROUNDING_TOLERANCE = 1e-9


class Mailbox:
    """The bounded message queue of one task.

    Explanation
    -----------
    Messages from outside are added with `post`, which drops them when the queue is
    full. A message that continues work accepted before (an admission, the end of a
    job, a result) is added with `put`, whatever the length of the queue. Accepted work
    bounds the number of such messages, and losing one would leave its job unfinished.

    Parameters
    ----------
    owner : str
        Name of the task that reads the queue; the label of the counter of drops.
    bound : int
        Length of the queue from which `post` drops messages.

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
        """Add a message; if the queue is full, count a drop and return False."""
        if self.queue.qsize() >= self.bound:
            MAILBOX_FULL.labels(task=self.owner).inc()
            return False
        self.queue.put_nowait(message)
        return True

    def put(self, message: Any) -> None:
        """Add a message that must not be lost, even beyond the bound."""
        self.queue.put_nowait(message)

    async def get(self) -> Any:
        """Wait for the next message and return it."""
        return await self.queue.get()


class Tick:
    """The interval of the receiving task has passed."""


async def tick(intervals: Iterable[tuple[Mailbox, float]]) -> None:
    """Post a `Tick` to each mailbox at its interval, until cancelled.

    Explanation
    -----------
    Waking the process costs more than the work of most ticks, so all mailboxes share
    one timer, which runs at the shortest interval. The tick of a longer interval is
    posted in the first round of the timer after that interval has passed. Its average
    rate is not changed by that.

    Parameters
    ----------
    intervals : iterable of (Mailbox, float)
        Mailboxes with their intervals in seconds.
    """
    intervals = tuple(intervals)
    step_s = min(interval_s for _, interval_s in intervals)
    for current_round in itertools.count(1):
        await asyncio.sleep(step_s)
        for mailbox, interval_s in intervals:
            ticks_before, ticks_after = (
                int(rounds * step_s / interval_s + ROUNDING_TOLERANCE)
                for rounds in (current_round - 1, current_round)
            )
            if ticks_after > ticks_before:
                mailbox.post(Tick())
