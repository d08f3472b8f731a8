"""Operators' directives, the members of the system, and merging of store rows."""

from collections.abc import Iterable
from typing import NamedTuple

from hawthorntrack.state.catalogue import Catalogue


class StoreRow(NamedTuple):
    """A row of the platform's store.

    Attributes
    ----------
    version : int
        Version of the transaction that wrote or removed the row.
    removed : bool
        Whether that transaction removed the row.
    """

    key: str
    value: bytes
    version: int
    removed: bool = False


class KeyRange(NamedTuple):
    """The keys from `start` to before `end`; an empty text is no bound."""

    start: str = ""
    end: str = ""


class Directives(NamedTuple):
    """The operators' directives in force.

    Attributes
    ----------
    stamp : int
        Store version as of which the directives are in force; it never decreases in
        one process.
    zones_out : frozenset of str
        Zones in which no task may start.
    """

    stamp: int = 0
    catalogue: Catalogue = Catalogue()
    zones_out: frozenset[str] = frozenset()


class ZonesAsOf(NamedTuple):
    """The zones out of service at one version of the store."""

    version: int = 0
    zones_out: frozenset[str] = frozenset()


class Member(NamedTuple):
    """A process of the system, as registered in its row of the store.

    Attributes
    ----------
    address : str
        Address on which it listens for its peers, ``host:port``.
    role : str
        ``entry`` or ``guard``.
    """

    address: str
    role: str
    zone: str
    node: str


def merge_rows(
    rows: dict[str, StoreRow], changes: Iterable[StoreRow]
) -> dict[str, StoreRow]:
    """Return `rows` with changes applied; an older change never undoes a newer one.

    Examples
    --------
    >>> rows = {"a": StoreRow("a", b"1", 5)}
    >>> merge_rows(rows, [StoreRow("a", b"0", 4), StoreRow("b", b"", 7, True)])
    {'a': StoreRow(key='a', value=b'1', version=5, removed=False)}
    """
    merged = dict(rows)
    for row in changes:
        known = merged.get(row.key)
        if known is not None and known.version > row.version:
            continue
        if row.removed:
            merged.pop(row.key, None)
        else:
            merged[row.key] = row
    return merged
