"""A local copy of the table's rows under one prefix, updated incrementally."""

from collections.abc import Iterable
from typing import NamedTuple

from hawthorntrack.state.table import ABSENT, Row


class Mirror(NamedTuple):
    """The rows of a prefix at one version of the table.

    Attributes
    ----------
    version : int
        Highest version of the merged rows. The mirror contains every row of the prefix
        up to this version.
    """

    rows: dict[str, Row] = {}
    version: int = ABSENT


class MirrorUpdate(NamedTuple):
    """A mirror after a merge, and the rows that the merge changed in it."""

    mirror: Mirror
    changed: tuple[Row, ...]


def merge(mirror: Mirror, rows: Iterable[Row], total: int) -> MirrorUpdate | None:
    """Merge the rows that changed after the mirror's version into the mirror.

    Explanation
    -----------
    A deleted row is missing from every read and is detected by the number of rows:
    the merged mirror can have more rows than the table's prefix only if it contains
    rows that were deleted from the table.

    Parameters
    ----------
    mirror : Mirror
        The mirror before the merge; an empty one if all rows were read.
    rows : iterable of Row
        All rows whose version is above the mirror's; older rows are ignored.
    total : int
        Total number of rows that the prefix has in the table.

    Returns
    -------
    MirrorUpdate or None
        None if rows were deleted, so that all rows must be read again.

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
    merged_rows = mirror.rows
    if changed:
        merged_rows = {**merged_rows, **{row.key: row for row in changed}}
    if len(merged_rows) != total:
        return None
    version = max((row.version for row in changed), default=mirror.version)
    return MirrorUpdate(Mirror(merged_rows, version), changed)
