"""Caches answers for resubmitted jobs, up to a number of bytes."""

from collections import OrderedDict
from typing import NamedTuple

from hawthorntrack.state.values import Answer

MAX_CACHED_BYTES = 64_000_000
ANSWER_OVERHEAD_BYTES = 500  # Each answer counts this much in addition to its outputs.


class CachedAnswer(NamedTuple):
    """An answer with its size in bytes and the loop time at which it was cached."""

    answer: Answer
    size: int
    cached_at: float


class AnswerCache:
    """Caches the newest answers, up to `max_bytes`.

    Examples
    --------
    >>> cache = AnswerCache(max_bytes=600)
    >>> cache.add("visits", "a", Answer("complete", "", "yes", ""), 0.0)
    >>> cache.add("visits", "b", Answer("complete", "", "yes", ""), 0.0)
    >>> cache.find("visits", "a") is None
    True
    """

    def __init__(self, max_bytes: int = MAX_CACHED_BYTES) -> None:
        self.max_bytes = max_bytes
        self.bytes = 0
        self.entries: OrderedDict[tuple[str, str], CachedAnswer] = OrderedDict()

    def add(self, service: str, key: str, answer: Answer, now: float) -> None:
        """Cache an answer and drop the oldest ones while the size limit is exceeded."""
        size = ANSWER_OVERHEAD_BYTES + sum(
            len(result.output) for result in answer.results
        )
        self.drop(service, key)
        self.entries[(service, key)] = CachedAnswer(answer, size, now)
        self.bytes += size
        while self.bytes > self.max_bytes:
            self.drop(*next(iter(self.entries)))

    def find(self, service: str, key: str) -> Answer | None:
        """Return the answer of a job, or None if it is not cached."""
        cached = self.entries.get((service, key))
        return cached.answer if cached else None

    def drop(self, service: str, key: str) -> None:
        """Remove an answer from the cache."""
        cached = self.entries.pop((service, key), None)
        self.bytes -= cached.size if cached else 0

    def expire(self, now: float, retention_s: float) -> None:
        """Remove answers that were cached more than `retention_s` seconds ago."""
        while self.entries:
            name, cached = next(iter(self.entries.items()))
            if now - cached.cached_at <= retention_s:
                return
            self.drop(*name)
