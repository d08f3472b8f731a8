"""The platform's table as an abstract store with conditional writes."""

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
    """The row was at another version; `row` is None where it is absent."""

    row: Row | None


@dataclass(frozen=True)
class WriteOutcomeUnknown:
    """No answer came: the write may have taken effect, or may yet do so."""

    exposed_name = "Unsettled"

    reason: str


@dataclass(frozen=True)
class ReadResult:
    """Rows of a read, in order of their keys.

    Attributes
    ----------
    total : int
        How many rows the prefix has, also those that were not asked for.
    """

    rows: tuple[Row, ...]
    total: int

    def row(self, key: str) -> Row | None:
        """Return the row of exactly this key, or None where it is absent."""
        return next((row for row in self.rows if row.key == key), None)


@dataclass(frozen=True)
class TableUnavailable:
    """The table did not answer a read."""

    reason: str


WriteOutcome = Written | Conflict | WriteOutcomeUnknown
ReadOutcome = ReadResult | TableUnavailable


class Table(Protocol):
    """Reads by prefix and conditional writes."""

    async def read(self, prefix: str, after: int = ABSENT) -> ReadOutcome:
        """Return rows whose key starts with `prefix`, changed after a version."""

    async def write(self, key: str, expect: int, value: bytes | None) -> WriteOutcome:
        """Write a row if its version is `expect`; None deletes it."""


tables: Registry[type[Table]] = Registry("table backend")


@tables.register("memory")
class MemoryTable:
    """A table in memory, the store behind the stand-in and the tests.

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
        """Carry out a conditional write at once."""
        row = self.rows.get(key)
        if (row.version if row else ABSENT) != expect:
            return Conflict(row)
        # Versions come from one counter, so a deleted and remade row never
        # shows a version that an old writer still holds.
        self.last_version += 1
        if value is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = Row(key, self.last_version, value)
        return Written(self.last_version)
