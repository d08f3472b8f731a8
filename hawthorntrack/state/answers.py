"""Answers kept for resubmissions, bounded in bytes."""

from collections import OrderedDict
from typing import NamedTuple

from hawthorntrack.state.values import Answer

KEPT_MAX_BYTES = 64_000_000
RECORD_BYTES = 500  # of an answer beside its outputs


class KeptAnswer(NamedTuple):
    """An answer with its size in bytes and the loop time it came at."""

    answer: Answer
    size: int
    kept_at: float


class AnswerStore:
    """The newest answers, up to a number of bytes.

    Examples
    --------
    >>> store = AnswerStore(max_bytes=600)
    >>> store.keep("visits", "a", Answer("complete", "", "yes", ""), 0.0)
    >>> store.keep("visits", "b", Answer("complete", "", "yes", ""), 0.0)
    >>> store.find("visits", "a") is None
    True
    """

    def __init__(self, max_bytes: int = KEPT_MAX_BYTES) -> None:
        self.max_bytes = max_bytes
        self.bytes = 0
        self.kept: OrderedDict[tuple[str, str], KeptAnswer] = OrderedDict()

    def keep(self, service: str, key: str, answer: Answer, now: float) -> None:
        """Keep an answer, and drop the oldest where there are too many bytes."""
        size = RECORD_BYTES + sum(len(result.output) for result in answer.results)
        self.drop(service, key)
        self.kept[(service, key)] = KeptAnswer(answer, size, now)
        self.bytes += size
        while self.bytes > self.max_bytes:
            self.drop(*next(iter(self.kept)))

    def find(self, service: str, key: str) -> Answer | None:
        """Return the answer of a job, if it is still kept."""
        held = self.kept.get((service, key))
        return held.answer if held else None

    def drop(self, service: str, key: str) -> None:
        """Drop an answer."""
        held = self.kept.pop((service, key), None)
        self.bytes -= held.size if held else 0

    def expire(self, now: float, retention_s: float) -> None:
        """Drop answers that came more than `retention_s` ago."""
        while self.kept:
            name, held = next(iter(self.kept.items()))
            if now - held.kept_at <= retention_s:
                return
            self.drop(*name)
