"""The task that keeps a process in step with the store, or with its peers."""

import asyncio
from collections.abc import Callable
from typing import Any

from hawthorntrack.protocol.dispatch import (
    AskDirectives,
    DirectiveRows,
    Hello,
    KnownMembers,
)
from hawthorntrack.protocol.jobs import DirectivesChanged
from hawthorntrack.protocol.links import Dial, StampMoved
from hawthorntrack.protocol.local import StampSeen
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.directives import (
    Directives,
    Member,
    StoreRow,
    merge_rows,
)
from hawthorntrack.state.events import log_event
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.metrics import BAD_INPUT, CONFIG_STAMP, labelled
from hawthorntrack.state.store import Changes, HistoryGone, Store, Unavailable
from hawthorntrack.state.values import Incarnation

DIRECTIVES_TABLE = "op"
MEMBERS_TABLE = "members"
DIRECTIVES_WAIT_S = 0.7  # a silent connection shows within half the bound of 2 s
MEMBERS_WAIT_S = 2.0
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.8
ASK_INTERVAL_S = 0.2


class StoreAnswer:
    """The outcome of a read or a watch of one table.

    Parameters
    ----------
    whole : bool
        Whether the rows are all of the table.
    """

    def __init__(self, table: str, whole: bool, outcome: Changes) -> None:
        self.table = table
        self.whole = whole
        self.outcome = outcome


class Follower(Actor):
    """Owns what a process knows of the store.

    Parameters
    ----------
    me : Member
        This process; it is written into the store's table of members.
    store : Store
        The platform's store.
    decode : callable
        Turns the operator's rows and their stamp into `Directives`.
    decode_members : callable
        Turns rows into members.
    my_value : bytes
        What this process's row holds.
    seeds : list of str
        Addresses of peers to ask while the store gives no answer.
    send : callable
        Takes a peer's address and a message.
    links : Mailbox
        Takes `Dial` and `StampMoved`.
    subscribers : list of Mailbox
        Get `DirectivesChanged`.
    """

    def __init__(
        self,
        me: Member,
        store: Store,
        decode: Callable[[dict[str, StoreRow], int], Directives],
        decode_members: Callable[[Any], tuple[Member, ...]],
        my_value: bytes,
        seeds: list[str],
        send: Callable[[str, Any], None],
        links: Mailbox,
        subscribers: list[Mailbox],
    ) -> None:
        super().__init__()
        self.me = me
        self.store = store
        self.decode = decode
        self.decode_members = decode_members
        self.my_value = my_value
        self.seeds = seeds
        self.send = send
        self.links = links
        self.subscribers = subscribers
        self.rows: dict[str, StoreRow] = {}
        self.stamp = 0
        self.members: dict[str, Member] = {}
        self.asked_at = 0.0
        self.reachable: dict[str, bool] = {}

    async def run(self) -> None:
        """Register, follow the store, and handle messages until cancelled."""
        self.spawn(self.register())
        if self.me.role == "entry":
            self.spawn(self.follow(DIRECTIVES_TABLE, DIRECTIVES_WAIT_S))
            self.spawn(self.follow(MEMBERS_TABLE, MEMBERS_WAIT_S))
        await super().run()

    async def register(self) -> None:
        """Write this process's row, however long that takes."""
        pause_s = FIRST_PAUSE_S
        while True:
            outcome = await self.store.put(
                MEMBERS_TABLE, self.me.address, self.my_value
            )
            self.note_reachable("register", outcome)
            if outcome is None:
                log_event("member:registered", address=self.me.address)
                return
            self.dial_seeds()
            await asyncio.sleep(pause_s)
            pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)

    async def follow(self, table: str, wait_s: float) -> None:
        """Read a table, then watch it; read it again where the feed has a gap."""
        after: int | None = None
        pause_s = FIRST_PAUSE_S
        while True:
            whole = after is None
            if whole:
                outcome = await self.store.read(table)
            else:
                outcome = await self.store.watch(table, after, wait_s)
            self.note_reachable(table, outcome)
            if isinstance(outcome, Unavailable):
                self.dial_seeds()
                await asyncio.sleep(pause_s)
                pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)
                continue
            pause_s = FIRST_PAUSE_S
            if isinstance(outcome, HistoryGone):
                log_event("store:history_gone", table=table, after=after)
                after = None
                continue
            after = outcome.version
            if whole or outcome.rows:
                self.mailbox.put(StoreAnswer(table, whole, outcome))

    def note_reachable(self, call: str, outcome: Any) -> None:
        """Log when a part of the store is lost or regained."""
        reachable = not isinstance(outcome, Unavailable)
        if self.reachable.get(call, True) != reachable:
            event = "store:regained" if reachable else "store:lost"
            log_event(event, call=call, reason=getattr(outcome, "reason", ""))
        self.reachable[call] = reachable

    def dial_seeds(self) -> None:
        """Reach for peers that may know what the store does not tell."""
        for address in self.seeds:
            self.links.put(Dial(address))

    @handles(StoreAnswer)
    def take_answer(self, answer: StoreAnswer, sender: Incarnation) -> None:
        """Take rows of the store in."""
        if answer.table == DIRECTIVES_TABLE:
            before = {} if answer.whole else self.rows
            rows = merge_rows(before, answer.outcome.rows)
            self.adopt(rows, answer.outcome.version)
        else:
            rows = [row for row in answer.outcome.rows if not row.removed]
            self.add_members(self.decode_members(rows))

    def adopt(self, rows: dict[str, StoreRow], stamp: int) -> None:
        """Put rows in force, unless something newer is."""
        if stamp <= self.stamp:
            return
        if rows == self.rows and self.stamp:
            self.stamp = stamp
            self.links.put(StampMoved(stamp))
            return
        try:
            directives = self.decode(rows, stamp)
        except ValueError:
            self.adopt_readable(rows, stamp)
            return
        self.rows, self.stamp = rows, stamp
        CONFIG_STAMP.set(stamp)
        self.links.put(StampMoved(stamp))
        for mailbox in self.subscribers:
            mailbox.put(DirectivesChanged(directives))

    def adopt_readable(self, rows: dict[str, StoreRow], stamp: int) -> None:
        """Put rows in force, with the earlier ones of those that cannot be read."""
        unreadable = {key for key, row in rows.items() if not self.reads(row, stamp)}
        earlier = {key: self.rows[key] for key in unreadable & self.rows.keys()}
        readable = {key: row for key, row in rows.items() if key not in unreadable}
        if self.stamp and unreadable:
            self.adopt(readable | earlier, stamp)
        else:
            # Without a stamp, this process asks a peer that has some in force.
            self.rows = readable

    def reads(self, row: StoreRow, stamp: int) -> bool:
        """Return whether a row can be read by itself."""
        try:
            self.decode({row.key: row}, stamp)
        except ValueError as error:
            labelled(BAD_INPUT, "store", "config").inc()
            log_event(
                "directives:unreadable", key=row.key, problem=str(error), as_of=stamp
            )
            return False
        return True

    def add_members(self, members: tuple[Member, ...]) -> None:
        """Link up with members: guards always, entries from one side only."""
        for member in members:
            if self.members.get(member.address) == member:
                continue
            self.members[member.address] = member
            to_guard = self.me.role == "entry" and member.role == "guard"
            to_entry = member.role == self.me.role and self.me.address < member.address
            if to_guard or to_entry:
                self.links.put(Dial(member.address))

    @handles(Hello)
    def greet(self, hello: Hello, sender: Incarnation) -> None:
        """Learn of a member from itself, and tell an entry of the others."""
        member = Member(sender.address, hello.role, hello.zone, hello.node)
        if self.me.role == "entry":
            news = sender.address not in self.members
            self.add_members((member,))
            if hello.role == "entry":
                self.send(sender.address, KnownMembers(self.known()))
            elif news:
                self.spread(KnownMembers((tuple(member),)))

    def known(self) -> tuple[tuple[str, str, str, str], ...]:
        """Return the members as a message carries them."""
        return tuple(tuple(member) for member in self.members.values())

    def spread(self, message: Any) -> None:
        """Send a message to all entry instances."""
        for member in self.members.values():
            if member.role == "entry" and member.address != self.me.address:
                self.send(member.address, message)

    @handles(KnownMembers)
    def take_members(self, news: KnownMembers, sender: Incarnation) -> None:
        """Learn of members from a peer."""
        if self.me.role == "entry":
            self.add_members(tuple(Member(*member) for member in news.members))

    @handles(StampSeen)
    def notice_stamp(self, news: StampSeen, sender: Incarnation) -> None:
        """Ask a peer that is ahead."""
        now = self.now()
        # Guards learn of zones by each vouch and need no more.
        if self.me.role != "entry":
            return
        if news.stamp > self.stamp and now - self.asked_at >= ASK_INTERVAL_S:
            self.asked_at = now
            self.send(news.peer.address, AskDirectives())

    @handles(AskDirectives)
    def tell_directives(self, order: AskDirectives, sender: Incarnation) -> None:
        """Tell a peer what is in force."""
        rows = tuple((row.key, row.value, row.version) for row in self.rows.values())
        self.send(sender.address, DirectiveRows(self.stamp, rows))

    @handles(DirectiveRows)
    def take_rows(self, news: DirectiveRows, sender: Incarnation) -> None:
        """Take what is in force from a peer."""
        if news.as_of > self.stamp:
            log_event("directives:from_peer", peer=sender.address, as_of=news.as_of)
        self.adopt(
            {key: StoreRow(key, value, v) for key, value, v in news.rows}, news.as_of
        )
