"""Answers kept for resubmissions, bounded in bytes."""

from collections import OrderedDict
from typing import NamedTuple

from hawthorntrack.state.values import Answer

MAX_CACHED_BYTES = 64_000_000
ANSWER_OVERHEAD_BYTES = 500  # of an answer beside its outputs


class CachedAnswer(NamedTuple):
    """An answer with its size in bytes and the loop time it came at."""

    answer: Answer
    size: int
    cached_at: float


class AnswerCache:
    """The newest answers, up to a number of bytes.

    Examples
    --------
    >>> store = AnswerCache(max_bytes=600)
    >>> store.add("visits", "a", Answer("complete", "", "yes", ""), 0.0)
    >>> store.add("visits", "b", Answer("complete", "", "yes", ""), 0.0)
    >>> store.find("visits", "a") is None
    True
    """

    def __init__(self, max_bytes: int = MAX_CACHED_BYTES) -> None:
        self.max_bytes = max_bytes
        self.bytes = 0
        self.entries: OrderedDict[tuple[str, str], CachedAnswer] = OrderedDict()

    def add(self, service: str, key: str, answer: Answer, now: float) -> None:
        """Keep an answer, and drop the oldest where there are too many bytes."""
        size = ANSWER_OVERHEAD_BYTES + sum(
            len(result.output) for result in answer.results
        )
        self.drop(service, key)
        self.entries[(service, key)] = CachedAnswer(answer, size, now)
        self.bytes += size
        while self.bytes > self.max_bytes:
            self.drop(*next(iter(self.entries)))

    def find(self, service: str, key: str) -> Answer | None:
        """Return the answer of a job, if it is still kept."""
        held = self.entries.get((service, key))
        return held.answer if held else None

    def drop(self, service: str, key: str) -> None:
        """Drop an answer."""
        held = self.entries.pop((service, key), None)
        self.bytes -= held.size if held else 0

    def expire(self, now: float, retention_s: float) -> None:
        """Drop answers that came more than `retention_s` ago."""
        while self.entries:
            name, held = next(iter(self.entries.items()))
            if now - held.cached_at <= retention_s:
                return
            self.drop(*name)
