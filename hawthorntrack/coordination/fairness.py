"""The order in which customers' waiting tasks get places."""

import heapq
from collections.abc import Iterator, Mapping, Sequence
from typing import TypeVar

T = TypeVar("T")


class WeightedFairQueue:
    """Weighted fair queueing over customers.

    Explanation
    -----------
    Each customer has a virtual time that grows by the work placed over its weight;
    the customer with the lowest comes next. One that was idle starts at the lowest
    time of those waiting, so that idling earns no burst.

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
        """Yield waiting items in fair order, without counting them as served."""
        floor = min((self.virtual_times.get(name, 0.0) for name in queues), default=0.0)
        heads = [
            (max(self.virtual_times.get(name, floor), floor), name, 0)
            for name in queues
        ]
        heapq.heapify(heads)
        while heads:
            at, name, position = heapq.heappop(heads)
            if position >= len(queues[name]):
                continue
            yield queues[name][position]
            heapq.heappush(heads, (at + 1 / weights[name], name, position + 1))

    def charge(self, customer: str, weight: float, waiting: Sequence[str]) -> None:
        """Count one task of a customer as placed."""
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
