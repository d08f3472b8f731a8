"""The idempotency keys of a slot, kept for as long as jobs may be resubmitted."""

from collections import OrderedDict
from collections.abc import Iterator
from typing import NamedTuple


class ReplicatedKey(NamedTuple):
    """A key as one member of a slot's pair sends it to the other.

    Attributes
    ----------
    age_ms : int
        Time since the key was recorded, by the clock of the sender, in milliseconds.
    """

    service: str
    key: str
    digest: bytes
    age_ms: int


class KeyRecord(NamedTuple):
    """The record that one member of the pair has of a key.

    Attributes
    ----------
    digest : bytes
        Hash of the body that was submitted with the key.
    recorded_at : float
        Loop time in seconds at which the key was recorded.
    epoch : int
        The epoch at which this guard, as owner, admitted the key's job; 0 if it did
        not admit the job.
    ended : bool
        Whether the job has an answer.
    """

    digest: bytes
    recorded_at: float
    epoch: int = 0
    ended: bool = False


class KeySet:
    """The keys of one slot in the order of recording, with expiry.

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
        """Return the record of a key, or None if there is none."""
        return self.records.get((service, key))

    def add(self, service: str, key: str, digest: bytes, now: float) -> None:
        """Record a key, unless it is recorded already."""
        self.records.setdefault((service, key), KeyRecord(digest, now))

    def put(self, service: str, key: str, record: KeyRecord) -> None:
        """Replace the record of a key."""
        self.records[(service, key)] = record

    def drop(self, service: str, key: str) -> None:
        """Remove a key whose job was refused and never ran."""
        self.records.pop((service, key), None)

    def expire(self, now: float, retention_s: float) -> None:
        """Remove keys recorded more than `retention_s` ago whose jobs do not run."""
        expired = [
            name
            for name, record in self.records.items()
            if now - record.recorded_at > retention_s
            and (record.ended or not record.epoch)
        ]
        for name in expired:
            del self.records[name]

    def with_ages(self, now: float) -> Iterator[ReplicatedKey]:
        """Yield all keys with their ages, for a new member of the pair."""
        return (
            ReplicatedKey(
                service, key, record.digest, int((now - record.recorded_at) * 1000)
            )
            for (service, key), record in self.records.items()
        )

    def merge(self, replicated_keys: tuple[ReplicatedKey, ...], now: float) -> None:
        """Add the keys that another member sent."""
        for replicated in replicated_keys:
            self.add(
                replicated.service,
                replicated.key,
                replicated.digest,
                now - replicated.age_ms / 1000,
            )
