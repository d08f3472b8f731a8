"""Stable hashes: slots of keys, digests of bodies and rendezvous hashing."""

from collections.abc import Iterable
from hashlib import blake2b

DIGEST_BYTES = 16


def digest(data: bytes) -> bytes:
    """Return a 16-byte digest of `data`."""
    return blake2b(data, digest_size=DIGEST_BYTES).digest()


def slot_of(service: str, key: str, slots: int) -> int:
    """Return the slot that a job's key belongs to.

    Examples
    --------
    >>> 0 <= slot_of("visits", "k1", 64) < 64
    True
    """
    hashed = blake2b(f"{service}\0{key}".encode(), digest_size=8).digest()
    return int.from_bytes(hashed, "big") % slots


def rendezvous(subject: str, names: Iterable[str]) -> list[str]:
    """Return `names` ordered by descending rendezvous weight for `subject`.

    Explanation
    -----------
    The weight of a name depends on that name and the subject alone. When a name is
    removed, only the subjects for which it ranked first get another first name.

    Examples
    --------
    >>> first = rendezvous("slot-3", ["a", "b", "c"])
    >>> rendezvous("slot-3", [n for n in "abc" if n != first[0]]) == first[1:]
    True
    """

    def weight(name: str) -> bytes:
        return blake2b(f"{subject}\0{name}".encode(), digest_size=8).digest()

    return sorted(names, key=weight, reverse=True)
