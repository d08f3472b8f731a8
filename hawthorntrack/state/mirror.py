"""Rows of one prefix, kept in step with the table by what has changed."""

from collections.abc import Iterable
from typing import NamedTuple

from hawthorntrack.state.table import ABSENT, Row


class Mirror(NamedTuple):
    """The rows of a prefix as they were at one version of the table.

    Attributes
    ----------
    version : int
        Highest version taken in; every row below it is held.
    """

    rows: dict[str, Row] = {}
    version: int = ABSENT


class MirrorUpdate(NamedTuple):
    """A mirror after a read, and the rows that the read has changed in it."""

    mirror: Mirror
    changed: tuple[Row, ...]


def merge(mirror: Mirror, rows: Iterable[Row], total: int) -> MirrorUpdate | None:
    """Take in the rows that changed after the mirror's version.

    Explanation
    -----------
    A row that was deleted is in no read. It shows in the count: rows held that are
    gone from the table are the only ones by which the merged mirror can be larger
    than the table's prefix.

    Parameters
    ----------
    mirror : Mirror
        What was held; an empty one for a whole read.
    rows : iterable of Row
        All rows whose version is above the mirror's; older ones are passed over.
    total : int
        How many rows the prefix has in all.

    Returns
    -------
    MirrorUpdate or None
        None where rows were deleted, so that the whole must be read.

    Examples
    --------
    >>> first = merge(Mirror(), [Row("a", 1, b"1"), Row("b", 2, b"2")], 2)
    >>> second = merge(first.mirror, [Row("b", 5, b"3")], 2)
    >>> second.mirror.version, [row.value for row in second.mirror.rows.values()]
    (5, [b'1', b'3'])
    >>> merge(second.mirror, [Row("c", 7, b"4")], 2) is None
    True
    """
    changed = tuple(row for row in rows if row.version > mirror.version)
    held = mirror.rows
    if changed:
        held = {**held, **{row.key: row for row in changed}}
    if len(held) != total:
        return None
    version = max((row.version for row in changed), default=mirror.version)
    return MirrorUpdate(Mirror(held, version), changed)
