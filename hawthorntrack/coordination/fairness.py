"""Fair order in which customers' waiting tasks are placed."""

import heapq
from collections.abc import Iterator, Mapping, Sequence
from typing import TypeVar

T = TypeVar("T")


class WeightedFairQueue:
    """Weighted fair queueing over customers.

    Explanation
    -----------
    Each customer has a virtual time that grows by 1 / weight with each task placed;
    the customer with the lowest virtual time comes next. A customer that was idle
    starts at the lowest virtual time of the waiting ones, so that being idle gives no
    right to a burst.

    Examples
    --------
    >>> order = WeightedFairQueue()
    >>> queues = {"a": ["a1", "a2", "a3"], "b": ["b1"]}
    >>> list(order.interleave(queues, {"a": 1.0, "b": 1.0}))
    ['a1', 'b1', 'a2', 'a3']
    """

    def __init__(self) -> None:
        self.virtual_times: dict[str, float] = {}

    def interleave(
        self, queues: Mapping[str, Sequence[T]], weights: Mapping[str, float]
    ) -> Iterator[T]:
        """Yield waiting items in fair order, without charging their customers."""
        floor = min((self.virtual_times.get(name, 0.0) for name in queues), default=0.0)
        heads = [
            (max(self.virtual_times.get(name, floor), floor), name, 0)
            for name in queues
        ]
        heapq.heapify(heads)
        while heads:
            virtual_time, name, position = heapq.heappop(heads)
            if position >= len(queues[name]):
                continue
            yield queues[name][position]
            heapq.heappush(
                heads, (virtual_time + 1 / weights[name], name, position + 1)
            )

    def charge(self, customer: str, weight: float, waiting: Sequence[str]) -> None:
        """Charge a customer for one placed task."""
        floor = min(
            (self.virtual_times.get(name, 0.0) for name in waiting), default=0.0
        )
        self.virtual_times[customer] = (
            max(self.virtual_times.get(customer, floor), floor) + 1 / weight
        )
        if len(self.virtual_times) > len(waiting) + 1_000:
            self.virtual_times = {
                name: self.virtual_times.get(name, floor) for name in waiting
            }
