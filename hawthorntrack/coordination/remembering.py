"""The task that keeps in the store which target is beside a guard."""

import asyncio
from collections.abc import Callable

from hawthorntrack.protocol.orders import Announced, TargetSeen
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.events import log_event
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.plans import TargetState
from hawthorntrack.state.store import Store, Unavailable
from hawthorntrack.state.values import Incarnation

TARGETS_TABLE = "targets"
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 1.6


class TargetMemory(Actor):
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
        Takes `Announced` for the target that the row names.
    """

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
        self.seen: TargetState | None = None

    async def run(self) -> None:
        """Look the target up, and note each change, until cancelled."""
        self.spawn(self.look_up())
        await super().run()

    async def look_up(self) -> None:
        """Read the row, unless the target announces itself before."""
        pause_s = FIRST_PAUSE_S
        while self.seen is None:
            row = await self.store.read_row(TARGETS_TABLE, self.address)
            if not isinstance(row, Unavailable):
                state = self.decode(row.value) if row is not None else None
                if state is not None and self.seen is None:
                    log_event("target:remembered", target=state.life.id)
                    self.holder.put(Announced(state))
                return
            await asyncio.sleep(pause_s)
            pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)

    @handles(TargetSeen)
    def take_seen(self, news: TargetSeen, sender: Incarnation) -> None:
        """Note a target that began a life, or leaves."""
        if news.state == self.seen:
            return
        self.seen = news.state
        self.spawn(self.note(news.state))

    async def note(self, state: TargetState) -> None:
        """Write the row, however long that takes, unless it is outdated."""
        pause_s = FIRST_PAUSE_S
        while self.seen is state:
            value = self.encode(state)
            outcome = await self.store.put(TARGETS_TABLE, self.address, value)
            if outcome is None:
                return
            await asyncio.sleep(pause_s)
            pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)
