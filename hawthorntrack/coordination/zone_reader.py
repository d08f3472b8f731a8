"""Actor that reads the zones out of service from the store for a guard."""

from collections.abc import Callable, Iterable

from hawthorntrack.coordination.store_watcher import DIRECTIVES_TABLE
from hawthorntrack.protocol.local import ReadZones, ZonesRead
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.directives import KeyRange, StoreRow, ZonesAsOf
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.store import Store, StoreUnavailable
from hawthorntrack.state.values import Incarnation


class ZoneReader(Actor):
    """Reads the operators' rows of zones, and no others, which may be large.

    Parameters
    ----------
    store : Store
        The platform's store.
    zone_keys : KeyRange
        Keys of the rows that take zones out of service.
    decode : callable
        Returns the zones that are out of service by these rows.
    holder : Mailbox
        Receives a `ZonesRead` for each `ReadZones`.
    """

    def __init__(
        self,
        store: Store,
        zone_keys: KeyRange,
        decode: Callable[[Iterable[StoreRow]], frozenset[str]],
        holder: Mailbox,
    ) -> None:
        super().__init__()
        self.store = store
        self.zone_keys = zone_keys
        self.decode = decode
        self.holder = holder

    @handles(ReadZones)
    def on_read_zones(self, request: ReadZones, sender: Incarnation) -> None:
        """Read the rows in a task of its own."""
        self.spawn(self.read(request))

    async def read(self, request: ReadZones) -> None:
        """Read the rows once, and report the zones."""
        outcome = await self.store.read(DIRECTIVES_TABLE, self.zone_keys)
        zones = None
        if not isinstance(outcome, StoreUnavailable):
            zones = ZonesAsOf(outcome.version, self.decode(outcome.rows))
        self.holder.put(ZonesRead(zones, request.asked_at))
