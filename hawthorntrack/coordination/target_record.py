"""Actor that records in the store which target is beside a guard."""

import asyncio
from collections.abc import Callable

from hawthorntrack.protocol.target_messages import TargetHeartbeat, TargetStateChanged
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.event_log import log_event
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.plans import TargetState
from hawthorntrack.state.store import Store, StoreUnavailable
from hawthorntrack.state.values import Incarnation

TARGETS_TABLE = "targets"
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.6


class TargetRecord(Actor):
    """Maintains the row from which a restarted guard learns of its target at once.

    Explanation
    -----------
    This matters when all processes lose power together: a target announces itself
    only every 1.5 s, and until then no job can be placed. The row is a hint, which
    the target's own lists confirm before anything is started there.

    Parameters
    ----------
    address : str
        The guard's address, which is the key of the row.
    store : Store
        The platform's store.
    encode, decode : callable
        Encode a `TargetState` to the row's value, and decode it; `decode` returns
        None if the value is malformed.
    holder : Mailbox
        Receives a `TargetHeartbeat` for the target in the row.
    """

    exposed_name = "TargetMemory"

    def __init__(
        self,
        address: str,
        store: Store,
        encode: Callable[[TargetState], bytes],
        decode: Callable[[bytes], TargetState | None],
        holder: Mailbox,
    ) -> None:
        super().__init__()
        self.address = address
        self.store = store
        self.encode = encode
        self.decode = decode
        self.holder = holder
        self.last_state: TargetState | None = None

    async def run(self) -> None:
        """Restore the target from the store, and record changes until cancelled."""
        self.spawn(self.restore())
        await super().run()

    async def restore(self) -> None:
        """Read the row and report its target, unless the target announced itself."""
        pause_s = INITIAL_BACKOFF_S
        while self.last_state is None:
            row = await self.store.read_row(TARGETS_TABLE, self.address)
            if not isinstance(row, StoreUnavailable):
                state = self.decode(row.value) if row is not None else None
                if state is not None and self.last_state is None:
                    log_event("target:remembered", target=state.incarnation.id)
                    self.holder.put(TargetHeartbeat(state, stored=True))
                return
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_BACKOFF_S, 2 * pause_s)

    @handles(TargetStateChanged)
    def on_target_state_changed(
        self, changed: TargetStateChanged, sender: Incarnation
    ) -> None:
        """Write the state of a target that has started or is draining."""
        if changed.state == self.last_state:
            return
        self.last_state = changed.state
        self.spawn(self.write_state(changed.state))

    async def write_state(self, state: TargetState) -> None:
        """Write the row, and retry until it is acknowledged or outdated."""
        pause_s = INITIAL_BACKOFF_S
        while self.last_state is state:
            value = self.encode(state)
            outcome = await self.store.put(TARGETS_TABLE, self.address, value)
            if outcome is None:
                return
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_BACKOFF_S, 2 * pause_s)
