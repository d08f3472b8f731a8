"""Interface to the platform's table service, and an in-memory implementation."""

from dataclasses import dataclass
from typing import NamedTuple, Protocol

from hawthorntrack.state.registry import Registry

ABSENT = 0  # the version of a row that does not exist


class Row(NamedTuple):
    """A row as the table returns it; `value` is JSON text."""

    key: str
    version: int
    value: bytes


@dataclass(frozen=True)
class Written:
    """The write took effect and gave the row this version."""

    version: int


@dataclass(frozen=True)
class Conflict:
    """The row has another version than expected; `row` is None if it is absent."""

    row: Row | None


@dataclass(frozen=True)
class WriteOutcomeUnknown:
    """No usable answer came; the write may have taken effect or may still do so."""

    exposed_name = "Unsettled"

    reason: str


@dataclass(frozen=True)
class ReadResult:
    """The rows that a read returned, ordered by key.

    Attributes
    ----------
    total : int
        Number of all rows with the prefix, including rows not newer than the requested
        version.
    """

    rows: tuple[Row, ...]
    total: int

    def row(self, key: str) -> Row | None:
        """Return the row with exactly this key, or None if it is absent."""
        return next((row for row in self.rows if row.key == key), None)


@dataclass(frozen=True)
class TableUnavailable:
    """The table gave no usable answer to a read."""

    reason: str


WriteOutcome = Written | Conflict | WriteOutcomeUnknown
ReadOutcome = ReadResult | TableUnavailable


class Table(Protocol):
    """A table with reads by key prefix and conditional writes."""

    async def read(self, prefix: str, after: int = ABSENT) -> ReadOutcome:
        """Return rows whose key starts with `prefix`, changed after a version."""

    async def write(self, key: str, expect: int, value: bytes | None) -> WriteOutcome:
        """Write a row if its version is `expect`; None deletes it."""


tables: Registry[type[Table]] = Registry("table backend")


@tables.register("memory")
class MemoryTable:
    """A table in memory, used by the stand-in table service and by tests.

    Examples
    --------
    >>> import asyncio
    >>> table = MemoryTable()
    >>> asyncio.run(table.write("a", ABSENT, b"1"))
    Written(version=1)
    >>> asyncio.run(table.write("a", ABSENT, b"2"))
    Conflict(row=Row(key='a', version=1, value=b'1'))
    """

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.last_version = 0

    async def read(self, prefix: str, after: int = ABSENT) -> ReadOutcome:
        """Return rows whose key starts with `prefix`, changed after a version."""
        rows = [row for key, row in self.rows.items() if key.startswith(prefix)]
        changed = (row for row in rows if row.version > after)
        return ReadResult(tuple(sorted(changed)), len(rows))

    async def write(self, key: str, expect: int, value: bytes | None) -> WriteOutcome:
        """Write a row if its version is `expect`; None deletes it."""
        return self.apply(key, expect, value)

    def apply(self, key: str, expect: int, value: bytes | None) -> WriteOutcome:
        """Apply a conditional write synchronously."""
        row = self.rows.get(key)
        if (row.version if row else ABSENT) != expect:
            return Conflict(row)
        # All versions come from one counter. A row that is deleted and created again
        # thus never has a version that an earlier writer still expects.
        self.last_version += 1
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = Row(key, self.last_version, value)
        return Written(self.last_version)
