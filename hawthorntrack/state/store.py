"""Interface to the platform's store: tables of rows with a feed of changes."""

from dataclasses import dataclass
from typing import Protocol

from hawthorntrack.state.directives import KeyRange, StoreRow


@dataclass(frozen=True)
class Changes:
    """Changed rows, after which the reader's copy is at `version`."""

    rows: tuple[StoreRow, ...]
    version: int


@dataclass(frozen=True)
class HistoryGone:
    """The feed has discarded the requested changes; the whole table must be read."""


@dataclass(frozen=True)
class StoreUnavailable:
    """The store gave no usable answer.

    Attributes
    ----------
    reason : str
        ``busy``, ``limited`` (too many requests), ``unanswered``, ``malformed``, or
        ``status_`` with the HTTP status of another error.
    """

    reason: str


class Store(Protocol):
    """Calls to the platform's store."""

    async def read(
        self, table: str, keys: KeyRange = KeyRange()
    ) -> Changes | StoreUnavailable:
        """Return the rows of a table in a range of keys, which is all by default."""

    async def read_row(
        self, table: str, key: str
    ) -> StoreRow | StoreUnavailable | None:
        """Return one row, or None if the table has no row with that key."""

    async def watch(
        self, table: str, after: int, wait_s: float
    ) -> Changes | HistoryGone | StoreUnavailable:
        """Return the changes after a version, waiting up to `wait_s` for the first."""

    async def put(self, table: str, key: str, value: bytes) -> StoreUnavailable | None:
        """Write a row; return None when the store has acknowledged the write."""

    async def close(self) -> None:
        """Close the connections."""
