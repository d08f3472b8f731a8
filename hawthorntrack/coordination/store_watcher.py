"""Actor that keeps a process's directives and members current with the store.

While the store gives no answer, entry instances get both from their peers.
"""

import asyncio
import itertools
from collections.abc import Callable
from typing import Any

from hawthorntrack.protocol.job_requests import (
    DirectivesChanged,
    DirectivesConfirmed,
)
from hawthorntrack.protocol.links import DialOnce, MaintainLink, StampChanged
from hawthorntrack.protocol.local import MembersKnown, NewerStampSeen
from hawthorntrack.protocol.run_messages import (
    DirectiveRows,
    Hello,
    KnownMembers,
    RequestDirectives,
)
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.directives import (
    Directives,
    Member,
    StoreRow,
    merge_rows,
)
from hawthorntrack.state.event_log import log_event
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.metrics import BAD_INPUT, CONFIG_STAMP, labelled
from hawthorntrack.state.store import Changes, HistoryGone, Store, StoreUnavailable
from hawthorntrack.state.values import Incarnation

DIRECTIVES_TABLE = "op"
MEMBERS_TABLE = "members"
# A connection that stopped responding must be noticed within half of the 2 s in which
# directives have to be in force.
DIRECTIVES_WATCH_S = 0.7
MEMBERS_WATCH_S = 2.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8
DIRECTIVES_REQUEST_INTERVAL_S = 0.2
# Peers are asked for newer directives once the store has not answered for this long,
# which leaves a second of the 2 s in which directives have to be in force.
ASK_PEERS_AFTER_S = 1.0


class StoreAnswer:
    """The outcome of reading or watching one table of the store.

    Parameters
    ----------
    table : str
        Name of the table.
    is_full_read : bool
        Whether the rows are all rows of the table, not only changed ones.
    outcome : Changes
        The rows and the version of the table.
    as_of : float
        Time at which the store had no newer rows, in seconds since boot.
    """

    def __init__(
        self, table: str, is_full_read: bool, outcome: Changes, as_of: float
    ) -> None:
        self.table = table
        self.is_full_read = is_full_read
        self.outcome = outcome
        self.as_of = as_of


class StoreWatcher(Actor):
    """Maintains the directives in force and the members known to one process.

    Parameters
    ----------
    me : Member
        This process; it is registered in the store's table of members.
    store : Store
        The platform's store.
    decode : callable
        Decodes the operator's rows and their stamp to `Directives`; raises ValueError
        if a row is malformed.
    decode_members : callable
        Decodes rows to members.
    registration_value : bytes
        Value of this process's row in the table of members.
    seeds : list of str
        Addresses of peers to connect to while the store gives no answer.
    send : callable
        Sends a message to a peer's address.
    links : Mailbox
        Receives `MaintainLink`, `DialOnce` and `StampChanged`.
    subscribers : list of Mailbox
        Receive `DirectivesChanged`, `DirectivesConfirmed` and `MembersKnown`.
    clock : callable
        Returns seconds since boot, including time for which the machine was suspended.
    """

    exposed_name = "Follower"

    def __init__(
        self,
        me: Member,
        store: Store,
        decode: Callable[[dict[str, StoreRow], int], Directives],
        decode_members: Callable[[Any], tuple[Member, ...]],
        registration_value: bytes,
        seeds: list[str],
        send: Callable[[str, Any], None],
        links: Mailbox,
        subscribers: list[Mailbox],
        clock: Clock,
    ) -> None:
        super().__init__()
        self.me = me
        self.store = store
        self.decode = decode
        self.decode_members = decode_members
        self.registration_value = registration_value
        self.seeds = seeds
        self.send = send
        self.links = links
        self.subscribers = subscribers
        self.clock = clock
        self.rows: dict[str, StoreRow] = {}
        self.stamp = 0
        self.members: dict[str, Member] = {}
        self.asked_at = 0.0
        self.confirmed_at = 0.0
        self.reachable: dict[str, bool] = {}

    async def run(self) -> None:
        """Register, watch the store, and handle messages until cancelled."""
        self.spawn(self.register())
        if self.me.role == "entry":
            self.spawn(self.watch_table(DIRECTIVES_TABLE, DIRECTIVES_WATCH_S))
            self.spawn(self.watch_table(MEMBERS_TABLE, MEMBERS_WATCH_S))
            self.spawn(self.ask_peers_while_outdated())
        await super().run()

    async def register(self) -> None:
        """Write this process's row, and retry until the store acknowledges it."""
        pause_s = INITIAL_BACKOFF_S
        while True:
            outcome = await self.store.put(
                MEMBERS_TABLE, self.me.address, self.registration_value
            )
            self.log_reachability("register", outcome)
            if outcome is None:
                log_event("member:registered", address=self.me.address)
                return
            self.connect_to_seeds()
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_BACKOFF_S, 2 * pause_s)

    async def watch_table(self, table: str, wait_s: float) -> None:
        """Read a table, then watch it; read it again if changes were missed."""
        after: int | None = None
        pause_s = INITIAL_BACKOFF_S
        while True:
            is_full_read = after is None
            as_of = self.clock()
            if is_full_read:
                outcome = await self.store.read(table)
            else:
                outcome = await self.store.watch(table, after, wait_s)
            self.log_reachability(table, outcome)
            if isinstance(outcome, StoreUnavailable):
                self.connect_to_seeds()
                await asyncio.sleep(pause_s)
                pause_s = min(MAX_BACKOFF_S, 2 * pause_s)
                continue
            pause_s = INITIAL_BACKOFF_S
            if isinstance(outcome, HistoryGone):
                log_event("store:history_gone", table=table, after=after)
                after = None
                continue
            after = outcome.version
            if not is_full_read and not outcome.rows:
                # Nothing had changed by the end of the wait.
                as_of = min(self.clock(), as_of + wait_s)
            self.mailbox.put(StoreAnswer(table, is_full_read, outcome, as_of))

    async def ask_peers_while_outdated(self) -> None:
        """Ask one peer after the other for newer directives while the store is silent.

        Explanation
        -----------
        A peer's stamp comes with its messages, but entry instances exchange none on a
        quiet day.
        """
        for number in itertools.count():
            await asyncio.sleep(DIRECTIVES_REQUEST_INTERVAL_S)
            if self.clock() - self.confirmed_at < ASK_PEERS_AFTER_S:
                continue
            if peers := self.entry_peers():
                peer = peers[number % len(peers)]
                self.send(peer, RequestDirectives(self.stamp))

    def log_reachability(self, call: str, outcome: Any) -> None:
        """Log when a call to the store begins to fail or succeeds again."""
        reachable = not isinstance(outcome, StoreUnavailable)
        if self.reachable.get(call, True) != reachable:
            event = "store:regained" if reachable else "store:lost"
            log_event(event, call=call, reason=getattr(outcome, "reason", ""))
        self.reachable[call] = reachable

    def connect_to_seeds(self) -> None:
        """Connect to the seed peers, which may have newer directives and members.

        Explanation
        -----------
        These links are not maintained: callers of this method repeat it while the
        store gives no answer.
        """
        for address in self.seeds:
            self.links.put(DialOnce(address))

    @handles(StoreAnswer)
    def on_store_answer(self, answer: StoreAnswer, sender: Incarnation) -> None:
        """Apply rows read from the store; without rows, the others are confirmed."""
        if answer.table == DIRECTIVES_TABLE:
            if answer.is_full_read or answer.outcome.rows:
                before = {} if answer.is_full_read else self.rows
                rows = merge_rows(before, answer.outcome.rows)
                self.apply_rows(rows, answer.outcome.version)
            self.confirmed_at = max(self.confirmed_at, answer.as_of)
            self.confirm_directives(answer.as_of)
        else:
            rows = [row for row in answer.outcome.rows if not row.removed]
            self.add_members(self.decode_members(rows))

    def apply_rows(self, rows: dict[str, StoreRow], stamp: int) -> None:
        """Put rows in force, unless the stamp in force is as new or newer."""
        if stamp <= self.stamp:
            return
        if rows == self.rows and self.stamp:
            self.stamp = stamp
            self.links.put(StampChanged(stamp))
            self.confirm_directives()
            return
        try:
            directives = self.decode(rows, stamp)
        except ValueError:
            self.apply_readable_rows(rows, stamp)
            return
        self.rows, self.stamp = rows, stamp
        CONFIG_STAMP.set(stamp)
        self.links.put(StampChanged(stamp))
        for mailbox in self.subscribers:
            mailbox.put(DirectivesChanged(directives))

    def confirm_directives(self, as_of: float = 0.0) -> None:
        """Tell the subscribers that the directives in force are still the newest."""
        for mailbox in self.subscribers:
            mailbox.put(DirectivesConfirmed(self.stamp, as_of))

    def apply_readable_rows(self, rows: dict[str, StoreRow], stamp: int) -> None:
        """Put the readable rows in force, and keep earlier versions of the others."""
        unreadable = {
            key for key, row in rows.items() if not self.is_readable(row, stamp)
        }
        earlier = {key: self.rows[key] for key in unreadable & self.rows.keys()}
        readable = {key: row for key, row in rows.items() if key not in unreadable}
        if self.stamp and unreadable:
            self.apply_rows(readable | earlier, stamp)
        else:
            # As long as its stamp is 0, this process requests the directives from any
            # peer that has some in force.
            self.rows = readable

    def is_readable(self, row: StoreRow, stamp: int) -> bool:
        """Return whether a row can be decoded by itself; log it if not."""
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
        """Record members, pass them to the subscribers, and connect to entries.

        Explanation
        -----------
        Of two entries, the one with the lower address connects to the other. The
        subscribers decide which guards are connected to.
        """
        for member in members:
            if self.members.get(member.address) == member:
                continue
            self.members[member.address] = member
            if member.role == self.me.role and self.me.address < member.address:
                self.links.put(MaintainLink(member.address))
        if members:
            for mailbox in self.subscribers:
                mailbox.put(MembersKnown(members))

    @handles(Hello)
    def on_hello(self, hello: Hello, sender: Incarnation) -> None:
        """Record the sender as a member, and exchange members with other entries."""
        member = Member(sender.address, hello.role, hello.zone, hello.node)
        if self.me.role == "entry":
            is_new = sender.address not in self.members
            self.add_members((member,))
            if hello.role == "entry":
                self.send(sender.address, KnownMembers(self.member_fields()))
            elif is_new:
                self.send_to_entries(KnownMembers((tuple(member),)))

    def member_fields(self) -> tuple[tuple[str, str, str, str], ...]:
        """Return the fields of all members, for a message."""
        return tuple(tuple(member) for member in self.members.values())

    def entry_peers(self) -> list[str]:
        """Return the addresses of the other entry instances."""
        return [
            member.address
            for member in self.members.values()
            if member.role == "entry" and member.address != self.me.address
        ]

    def send_to_entries(self, message: Any) -> None:
        """Send a message to all other entry instances."""
        for address in self.entry_peers():
            self.send(address, message)

    @handles(KnownMembers)
    def on_known_members(self, known: KnownMembers, sender: Incarnation) -> None:
        """Record the members that a peer sent."""
        if self.me.role == "entry":
            self.add_members(tuple(Member(*member) for member in known.members))

    @handles(NewerStampSeen)
    def on_newer_stamp_seen(self, seen: NewerStampSeen, sender: Incarnation) -> None:
        """Request the directives from a peer whose stamp is newer."""
        now = self.now()
        # Guards receive the zones out of service with each lease confirmation, and
        # need no other directives.
        if self.me.role != "entry":
            return
        if (
            seen.stamp > self.stamp
            and now - self.asked_at >= DIRECTIVES_REQUEST_INTERVAL_S
        ):
            self.asked_at = now
            self.send(seen.peer.address, RequestDirectives(self.stamp))

    @handles(RequestDirectives)
    def on_request_directives(
        self, request: RequestDirectives, sender: Incarnation
    ) -> None:
        """Send a peer the directives in force if they are newer than its own."""
        if self.stamp <= request.after:
            return
        rows = tuple((row.key, row.value, row.version) for row in self.rows.values())
        self.send(sender.address, DirectiveRows(self.stamp, rows))

    @handles(DirectiveRows)
    def on_directive_rows(self, reply: DirectiveRows, sender: Incarnation) -> None:
        """Put a peer's directives in force if they are newer."""
        if reply.store_version > self.stamp:
            log_event(
                "directives:from_peer", peer=sender.address, as_of=reply.store_version
            )
        self.apply_rows(
            {key: StoreRow(key, value, version) for key, value, version in reply.rows},
            reply.store_version,
        )
