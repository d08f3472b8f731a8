"""The task that keeps in the store which target is beside a guard."""

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
    """Owns the row by which a guard that restarts finds its target at once.

    Explanation
    -----------
    Load pattern: all processes lose power. A target announces itself every 1.5 s
    only, and until then no job finds room. The row is a hint: the target's own lists
    confirm it before anything is started there.

    Parameters
    ----------
    address : str
        The guard's address: the key of the row.
    store : Store
        The platform's store.
    encode, decode : callable
        Turn a `TargetState` into the row's value and back; `decode` returns None
        where that cannot be read.
    holder : Mailbox
        Takes `TargetHeartbeat` for the target that the row names.
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
        """Look the target up, and note each change, until cancelled."""
        self.spawn(self.restore())
        await super().run()

    async def restore(self) -> None:
        """Read the row, unless the target announces itself before."""
        pause_s = INITIAL_BACKOFF_S
        while self.last_state is None:
            row = await self.store.read_row(TARGETS_TABLE, self.address)
            if not isinstance(row, StoreUnavailable):
                state = self.decode(row.value) if row is not None else None
                if state is not None and self.last_state is None:
                    log_event("target:remembered", target=state.incarnation.id)
                    self.holder.put(TargetHeartbeat(state))
                return
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_BACKOFF_S, 2 * pause_s)

    @handles(TargetStateChanged)
    def on_target_state_changed(
        self, news: TargetStateChanged, sender: Incarnation
    ) -> None:
        """Note a target that began a life, or leaves."""
        if news.state == self.last_state:
            return
        self.last_state = news.state
        self.spawn(self.write_state(news.state))

    async def write_state(self, state: TargetState) -> None:
        """Write the row, however long that takes, unless it is outdated."""
        pause_s = INITIAL_BACKOFF_S
        while self.last_state is state:
            value = self.encode(state)
            outcome = await self.store.put(TARGETS_TABLE, self.address, value)
            if outcome is None:
                return
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_BACKOFF_S, 2 * pause_s)
