"""The idempotency keys of a slot, kept for the resubmission window."""

from collections import OrderedDict
from collections.abc import Iterator
from typing import NamedTuple


class ReplicatedKey(NamedTuple):
    """A key as pair members pass it on.

    Attributes
    ----------
    age_ms : int
        Time since it was noted, by the clock of the member that passes it on.
    """

    service: str
    key: str
    digest: bytes
    age_ms: int


class KeyRecord(NamedTuple):
    """A key as one member remembers it.

    Attributes
    ----------
    recorded_at : float
        Loop time in seconds.
    epoch : int
        The epoch at which this guard admitted it as owner; 0 if it did not.
    ended : bool
        Whether its job has an answer.
    """

    digest: bytes
    recorded_at: float
    epoch: int = 0
    ended: bool = False


class KeySet:
    """Keys of one slot in the order noted, forgotten after the retention.

    Examples
    --------
    >>> keys = KeySet()
    >>> keys.add("visits", "k", b"d", now=1.0)
    >>> keys.find("visits", "k").recorded_at
    1.0
    >>> keys.expire(now=700.0, retention_s=600)
    >>> len(keys)
    0
    """

    def __init__(self) -> None:
        self.records: OrderedDict[tuple[str, str], KeyRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self.records)

    def find(self, service: str, key: str) -> KeyRecord | None:
        """Return what is remembered of a key."""
        return self.records.get((service, key))

    def add(self, service: str, key: str, digest: bytes, now: float) -> None:
        """Remember a key, unless it is remembered already."""
        self.records.setdefault((service, key), KeyRecord(digest, now))

    def put(self, service: str, key: str, record: KeyRecord) -> None:
        """Replace what is remembered of a key."""
        self.records[(service, key)] = record

    def drop(self, service: str, key: str) -> None:
        """Forget a key that was refused and never ran."""
        self.records.pop((service, key), None)

    def expire(self, now: float, retention_s: float) -> None:
        """Forget keys noted more than `retention_s` ago, but none still running."""
        old = [
            name
            for name, record in self.records.items()
            if now - record.recorded_at > retention_s
            and (record.ended or not record.epoch)
        ]
        for name in old:
            del self.records[name]

    def with_ages(self, now: float) -> Iterator[ReplicatedKey]:
        """Yield all keys with their age, for a new pair member."""
        return (
            ReplicatedKey(
                service, key, record.digest, int((now - record.recorded_at) * 1000)
            )
            for (service, key), record in self.records.items()
        )

    def merge(self, notes: tuple[ReplicatedKey, ...], now: float) -> None:
        """Take in keys that another member passed on."""
        for note in notes:
            self.add(note.service, note.key, note.digest, now - note.age_ms / 1000)
