"""The platform's store as the product sees it: rows, and a feed of changes."""

from dataclasses import dataclass
from typing import Protocol

from hawthorntrack.state.directives import StoreRow


@dataclass(frozen=True)
class Changes:
    """Rows that changed; they bring the reader up to `version`."""

    rows: tuple[StoreRow, ...]
    version: int


@dataclass(frozen=True)
class HistoryGone:
    """The feed no longer reaches back that far: read the table whole."""


@dataclass(frozen=True)
class StoreUnavailable:
    """The store gave no answer that can be used.

    Attributes
    ----------
    reason : str
        ``busy``, ``limited``, ``unanswered`` or ``malformed``.
    """

    reason: str


class Store(Protocol):
    """Calls to the platform's store."""

    async def read(self, table: str) -> Changes | StoreUnavailable:
        """Return all rows of a table."""

    async def read_row(
        self, table: str, key: str
    ) -> StoreRow | StoreUnavailable | None:
        """Return one row, None if there is none."""

    async def watch(
        self, table: str, after: int, wait_s: float
    ) -> Changes | HistoryGone | StoreUnavailable:
        """Return the changes after a version, as soon as there are any."""

    async def put(self, table: str, key: str, value: bytes) -> StoreUnavailable | None:
        """Write a row; None once the store has acknowledged it."""

    async def close(self) -> None:
        """Close the connections."""
