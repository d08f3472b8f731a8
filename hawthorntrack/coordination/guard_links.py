"""Base class of the dispatcher: owns its records of guards and the links to them."""

from collections.abc import Callable
from typing import Any

from hawthorntrack.coordination.guard_peer import LINK_TIMEOUT_S, GuardPeer
from hawthorntrack.coordination.working_set import WorkingSet
from hawthorntrack.protocol.links import (
    CloseLink,
    LinkDown,
    LinkUp,
    MaintainLink,
    RemovePeer,
)
from hawthorntrack.protocol.local import MembersKnown
from hawthorntrack.protocol.run_messages import Hello
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.directives import Directives, Member
from hawthorntrack.state.event_log import log_event
from hawthorntrack.state.lease_times import LeaseTimes
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.metrics import GUARD_LINKS, labelled
from hawthorntrack.state.values import Incarnation

REVIEW_INTERVAL_S = 0.1


class GuardLinks(Actor):
    """Keeps links to the guards of the working set, and a record of each guard.

    Parameters
    ----------
    send : callable
        Sends a message; called with a peer's address and the message.
    links : Mailbox
        Receives `MaintainLink`, `CloseLink` and `RemovePeer`.
    clock : callable
        Returns seconds, including time for which the machine was suspended.
    lease_times : LeaseTimes
        Durations of leases.
    working_set : WorkingSet
        The guards that this instance wants to be linked to.

    Attributes
    ----------
    directives : Directives
        The operators' directives in force.
    directives_as_of : float
        Time as of which the store has no newer ones, in seconds of `clock`.
    """

    def __init__(
        self,
        send: Callable[[str, Any], None],
        links: Mailbox,
        clock: Clock,
        lease_times: LeaseTimes,
        working_set: WorkingSet,
    ) -> None:
        super().__init__()
        self.send = send
        self.links = links
        self.clock = clock
        self.lease_times = lease_times
        self.working_set = working_set
        self.directives = Directives()
        self.directives_as_of = 0.0
        self.peers: dict[str, GuardPeer] = {}
        self.next_review_at = 0.0

    def send_check_runs(self, peer: GuardPeer) -> None:
        """Send a guard the list of runs that its present incarnation should have."""
        raise NotImplementedError

    def directives_age_s(self) -> float:
        """Return for how long the store has not answered, in seconds."""
        return max(0.0, self.clock() - self.directives_as_of)

    def available_peers(self, now: float) -> list[GuardPeer]:
        """Return the guards that accept new runs."""
        zones_out = self.directives.zones_out
        return [
            peer for peer in self.peers.values() if peer.accepts_runs(now, zones_out)
        ]

    def touch_peer(self, sender: Incarnation) -> GuardPeer:
        """Return the record of a guard; set the time of its last message to now."""
        peer = self.peers.get(sender.address)
        if peer is None:
            peer = GuardPeer(sender.address, self.lease_times)
            self.peers[sender.address] = peer
        peer.heard_at = self.clock()
        return peer

    @handles(MembersKnown)
    def on_members_known(self, known: MembersKnown, sender: Incarnation) -> None:
        """Record members, and connect to those that enter the working set."""
        if self.working_set.add_members(known.members):
            self.review_links()

    @handles(Hello)
    def on_hello(self, message: Hello, sender: Incarnation) -> None:
        """Record a connected guard; check its runs if it is the same incarnation."""
        if message.role != "guard":
            return
        member = Member(sender.address, message.role, message.zone, message.node)
        self.working_set.add_members((member,))
        peer = self.touch_peer(sender)
        peer.linked = True
        peer.lease_confirmed_stamp = -1
        peer.unreported.clear()
        log_event("guard:linked", guard=str(sender), runs=len(peer.runs))
        if peer.nonce != sender.nonce:
            peer.begin_incarnation(sender.nonce)
        else:
            self.send_check_runs(peer)

    @handles(LinkUp)
    def on_link_up(self, link: LinkUp, sender: Incarnation) -> None:
        """Do nothing: the peer's first message, `Hello`, contains its role."""

    @handles(LinkDown)
    def on_link_down(self, link: LinkDown, sender: Incarnation) -> None:
        """Mark a guard as disconnected, so that no runs are sent to it."""
        peer = self.peers.get(link.address)
        if peer is not None:
            log_event("guard:lost", guard=link.address, runs=len(peer.runs))
            peer.linked = False

    def close_silent_links(self, now: float) -> None:
        """Close the links to guards that have been silent for too long."""
        for peer in self.peers.values():
            if peer.linked and now - peer.heard_at > LINK_TIMEOUT_S:
                log_event("guard:silent", guard=peer.address, runs=len(peer.runs))
                peer.linked = False
                self.links.put(CloseLink(peer.address))

    def review_links_if_due(self, now: float) -> None:
        """Review the working set once in `REVIEW_INTERVAL_S`."""
        if now >= self.next_review_at:
            self.review_links()

    def review_links(self) -> None:
        """Open links to guards that entered the working set, and release others.

        Explanation
        -----------
        A guard that left the set gets no new runs. Its link, on which the leases of
        its runs are confirmed, is closed only once no run is left there.
        """
        now = self.clock()
        self.next_review_at = now + REVIEW_INTERVAL_S
        changes = self.working_set.review(
            now,
            lambda address: self.is_usable(address, now),
            {peer.address for peer in self.peers.values() if peer.linked},
            self.peers,
        )
        for address in changes.dial:
            self.links.put(MaintainLink(address))
        for peer in self.peers.values():
            peer.released = False
        for address in changes.release:
            peer = self.peers.get(address)
            if peer is not None and peer.runs:
                peer.released = True
                continue
            self.peers.pop(address, None)
            self.working_set.forget_link(address)
            self.links.put(RemovePeer(address))
            log_event("guard:released", guard=address)
        labelled(GUARD_LINKS, "wanted").set(len(self.working_set.chosen))
        linked = sum(peer.linked for peer in self.peers.values())
        labelled(GUARD_LINKS, "open").set(linked)

    def is_usable(self, address: str, now: float) -> bool:
        """Return whether a guard of the working set can get runs."""
        peer = self.peers.get(address)
        return peer is not None and peer.is_in_service(now, self.directives.zones_out)
