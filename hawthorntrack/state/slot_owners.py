"""An entry instance's record of the owners of slots."""

from collections.abc import Mapping

from hawthorntrack.state.values import Incarnation, SlotRow


class SlotOwners:
    """The newest row of each slot that this process has seen.

    Examples
    --------
    >>> owners = SlotOwners()
    >>> guard, other = Incarnation("127.0.0.1:1", "a"), Incarnation("127.0.0.1:2", "b")
    >>> owners.update(0, SlotRow(1, guard, other, True, guard, other, 0, 7))
    >>> owners.update(0, SlotRow(1, guard, other, False, guard, other, 0, 6))
    >>> owners.owner(0) == guard
    True
    >>> owners.owner(1) is None
    True
    """

    def __init__(self) -> None:
        self.rows: dict[int, SlotRow] = {}
        self.last_rows: Mapping[int, SlotRow] = {}

    def update(self, slot: int, row: SlotRow) -> None:
        """Record a slot's row, unless a newer one is recorded."""
        known = self.rows.get(slot)
        if known is None or known.version < row.version:
            self.rows[slot] = row

    def update_all(self, rows: Mapping[int, SlotRow]) -> None:
        """Record the rows of a view, unless the same mapping was recorded last."""
        if rows is self.last_rows:
            return
        self.last_rows = rows
        for slot, row in rows.items():
            self.update(slot, row)

    def owner(self, slot: int) -> Incarnation | None:
        """Return the owner of a slot that is open by its newest row, otherwise None."""
        row = self.rows.get(slot)
        return row.owner if row is not None and row.formed else None

    def open_slots(self) -> int:
        """Return the number of slots that are open by their newest rows."""
        return sum(row.formed for row in self.rows.values())
