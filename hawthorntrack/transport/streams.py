"""Links to peers over TCP.

Each frame is a four-byte length followed by an encoded envelope.
"""

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Any

from hawthorntrack.protocol.codec import BadMessage, Codec
from hawthorntrack.protocol.links import (
    CloseLink,
    DialOnce,
    LinkDown,
    LinkUp,
    MaintainLink,
    RemovePeer,
    Send,
    StampChanged,
)
from hawthorntrack.protocol.messages import Envelope
from hawthorntrack.protocol.run_messages import Hello
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.addresses import split_address
from hawthorntrack.state.event_log import log_event
from hawthorntrack.state.metrics import (
    BAD_INPUT,
    BUS_DROPS,
    MESSAGE_BYTES,
    MESSAGES,
    labelled,
)
from hawthorntrack.state.naming import exposed_name
from hawthorntrack.state.values import Incarnation
from hawthorntrack.transport.connecting import address_errors

FRAME_HEADER = struct.Struct(">I")
FRAME_MAX_BYTES = 8_000_000  # well above the largest configuration row in the store
WRITE_BUFFER_MAX_BYTES = 4_000_000  # the link to a peer that stops reading is closed
CONNECT_TIMEOUT_S = 0.5
REDIAL_BACKOFF_MIN_S = 0.05
REDIAL_BACKOFF_MAX_S = 0.8
# The kernel closes a connection whose sent bytes stay unacknowledged for this long.
UNACKED_TIMEOUT_MS = 2_000


class Link(asyncio.Protocol):
    """One TCP connection to a peer; splits the received bytes into frames.

    Parameters
    ----------
    on_connected : callable
        Called with the link when its connection is established.
    on_frame : callable
        Called with the link and the bytes of each frame.
    on_disconnected : callable
        Called with the link when its connection is closed.
    """

    def __init__(
        self,
        on_connected: Callable[["Link"], None],
        on_frame: Callable[["Link", bytes], None],
        on_disconnected: Callable[["Link"], None],
    ) -> None:
        self.on_connected = on_connected
        self.on_frame = on_frame
        self.on_disconnected = on_disconnected
        self.transport: asyncio.Transport | None = None
        self.peer: Incarnation | None = None
        self.buffer = bytearray()
        self.closed = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the socket's options and notify the owner."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)
        self.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Pass on each complete frame; abort the connection if one is too large."""
        self.buffer += data
        start = 0
        while len(self.buffer) - start >= FRAME_HEADER.size:
            (length,) = FRAME_HEADER.unpack_from(self.buffer, start)
            if length > FRAME_MAX_BYTES:
                labelled(BAD_INPUT, "link", "frame_size").inc()
                self.transport.abort()
                return
            end = start + FRAME_HEADER.size + length
            if len(self.buffer) < end:
                break
            self.on_frame(self, bytes(self.buffer[start + FRAME_HEADER.size : end]))
            start = end
        del self.buffer[:start]

    def connection_lost(self, error: Exception | None) -> None:
        """Notify the owner that the connection is closed."""
        if not self.closed.done():
            self.closed.set_result(None)
        self.on_disconnected(self)

    def write(self, data: bytes) -> None:
        """Send one frame; abort the connection if its write buffer is too long."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.transport.get_write_buffer_size() > WRITE_BUFFER_MAX_BYTES:
            labelled(BUS_DROPS, "backlog").inc()
            self.transport.abort()
            return
        self.transport.write(FRAME_HEADER.pack(len(data)) + data)

    def close(self) -> None:
        """Abort the connection."""
        if self.transport is not None:
            self.transport.abort()


class StreamBus(Actor):
    """Message bus over TCP; owns the links to peers.

    Explanation
    -----------
    A closed connection is reported at once, which distinguishes a killed process from
    one that does not answer. A messaging library that reconnects by itself would not
    report it.

    Parameters
    ----------
    me : Incarnation
        This process, with the address at which peers reach it.
    listen : str
        ``ip:port`` to listen on.
    hello : Hello
        The first message on each link.
    codec : Codec
        Encoding of the envelopes.
    deliver : callable
        Called with each `Envelope` that arrives.

    Attributes
    ----------
    listeners : list of Mailbox
        Receive `LinkUp` and `LinkDown`.
    """

    def __init__(
        self,
        me: Incarnation,
        listen: str,
        hello: Hello,
        codec: Codec,
        deliver: Callable[[Envelope], None],
    ) -> None:
        super().__init__()
        self.me = me
        self.listen = listen
        self.hello = hello
        self.codec = codec
        self.deliver = deliver
        self.listeners: list[Any] = []
        self.stamp = 0
        self.links: dict[str, Link] = {}
        self.open_links: set[Link] = set()
        self.dial_tasks: dict[str, asyncio.Task[None]] = {}
        self.single_dials: set[str] = set()
        self.last_encoded: tuple[Any, int, bytes] = (None, 0, b"")
        self.server: asyncio.Server | None = None

    def new_link(self) -> Link:
        """Return the protocol object for a new connection."""
        return Link(self.link_connected, self.receive, self.link_disconnected)

    def link_connected(self, link: Link) -> None:
        """Send the hello message on a new link."""
        self.open_links.add(link)
        self.write(link, self.hello)

    def encode(self, body: Any) -> bytes:
        """Return a message's encoding; one sent to several peers is encoded once."""
        last_body, last_stamp, data = self.last_encoded
        if body is not last_body or self.stamp != last_stamp:
            data = self.codec.encode(Envelope(self.me, self.stamp, body))
            self.last_encoded = (body, self.stamp, data)
        return data

    def write(self, link: Link, body: Any) -> None:
        """Encode and count a message, and send it on a link."""
        data = self.encode(body)
        labelled(MESSAGES, "out", exposed_name(type(body))).inc()
        labelled(MESSAGE_BYTES, "out").inc(len(data))
        link.write(data)

    def receive(self, link: Link, data: bytes) -> None:
        """Decode and deliver one message; count and drop an invalid one."""
        try:
            envelope = self.codec.decode(data)
        except BadMessage as error:
            labelled(BAD_INPUT, "link", error.reason).inc()
            return
        labelled(MESSAGES, "in", exposed_name(type(envelope.body))).inc()
        if link.peer != envelope.sender:
            self.bind_link_to_peer(link, envelope.sender)
        self.deliver(envelope)

    def bind_link_to_peer(self, link: Link, peer: Incarnation) -> None:
        """Make a link the one to this peer, closing an older one."""
        link.peer = peer
        older = self.links.get(peer.address)
        self.links[peer.address] = link
        if older is not None and older is not link:
            older.close()
        self.notify_listeners(LinkUp(peer.address, peer.nonce))

    def link_disconnected(self, link: Link) -> None:
        """Report a peer as disconnected if this was its current link."""
        self.open_links.discard(link)
        if link.peer is None or self.links.get(link.peer.address) is not link:
            return
        del self.links[link.peer.address]
        self.notify_listeners(LinkDown(link.peer.address))

    def notify_listeners(self, event: LinkUp | LinkDown) -> None:
        """Send a change of a link's state to all listeners."""
        for mailbox in self.listeners:
            mailbox.put(event)

    @handles(Send)
    def on_send(self, order: Send, sender: Incarnation) -> None:
        """Send a message to a peer; count and drop it if no link is up."""
        link = self.links.get(order.address)
        if link is None:
            labelled(BUS_DROPS, "no_link").inc()
            return
        self.write(link, order.body)

    @handles(StampChanged)
    def on_stamp_changed(self, change: StampChanged, sender: Incarnation) -> None:
        """Set the stamp of all later messages."""
        self.stamp = change.stamp

    @handles(MaintainLink)
    def on_maintain_link(self, order: MaintainLink, sender: Incarnation) -> None:
        """Start maintaining a link to a peer."""
        if order.address in self.dial_tasks or not self.can_dial(order.address):
            return
        task = asyncio.get_running_loop().create_task(self.maintain_link(order.address))
        self.dial_tasks[order.address] = task
        self.spawned.add(task)
        task.add_done_callback(self.on_spawned_done)

    @handles(DialOnce)
    def on_dial_once(self, order: DialOnce, sender: Incarnation) -> None:
        """Connect to a peer, unless it is connected or being connected to."""
        address = order.address
        under_way = self.links.keys() | self.dial_tasks.keys() | self.single_dials
        if address not in under_way and self.can_dial(address):
            self.single_dials.add(address)
            self.spawn(self.dial_once(address))

    def can_dial(self, address: str) -> bool:
        """Return whether an address is another peer's; count and log an invalid one."""
        if address == self.me.address:
            return False
        try:
            split_address(address)
        except ValueError as error:
            labelled(BAD_INPUT, "link", "address").inc()
            log_event("link:no_address", problem=str(error))
            return False
        return True

    @handles(CloseLink)
    def on_close_link(self, order: CloseLink, sender: Incarnation) -> None:
        """Close the link to a peer."""
        link = self.links.get(order.address)
        if link is not None:
            link.close()

    @handles(RemovePeer)
    def on_remove_peer(self, order: RemovePeer, sender: Incarnation) -> None:
        """Close the link to a peer and stop connecting to it."""
        task = self.dial_tasks.pop(order.address, None)
        if task is not None:
            task.cancel()
        self.on_close_link(CloseLink(order.address), sender)

    async def dial(self, address: str) -> Link | None:
        """Connect to a peer; return the link, or None if there is no connection."""
        loop = asyncio.get_running_loop()
        try:
            with address_errors("link", address):
                host, port = split_address(address)
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, link = await loop.create_connection(self.new_link, host, port)
        except (OSError, TimeoutError):
            return None
        return link

    async def dial_once(self, address: str) -> None:
        """Connect to a peer once."""
        await self.dial(address)
        self.single_dials.discard(address)

    async def maintain_link(self, address: str) -> None:
        """Connect to a peer, again after each failure or disconnection.

        Explanation
        -----------
        A link that the peer has opened is used as long as it is up. If both kept
        opening links, each new one would replace the other's.
        """
        backoff_s = REDIAL_BACKOFF_MIN_S
        while True:
            link = self.links.get(address) or await self.dial(address)
            if link is None:
                backoff_s = min(REDIAL_BACKOFF_MAX_S, backoff_s * 2)
            else:
                backoff_s = REDIAL_BACKOFF_MIN_S
                await link.closed
            await asyncio.sleep(backoff_s)

    async def run(self) -> None:
        """Accept connections and handle messages until cancelled."""
        host, _, port = self.listen.rpartition(":")
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self.new_link,
            host.strip("[]"),
            int(port),
            backlog=512,
            reuse_address=True,
        )
        try:
            await super().run()
        finally:
            self.server.close()
            for link in list(self.open_links):
                link.close()
