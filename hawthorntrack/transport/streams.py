"""Links to peers over TCP: frames of a length and an encoded envelope."""

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Any

from hawthorntrack.protocol.codec import BadMessage, Codec
from hawthorntrack.protocol.links import (
    CloseLink,
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

FRAME_HEADER = struct.Struct(">I")
FRAME_MAX_BYTES = 8_000_000  # well above the largest configuration of a store row
WRITE_BUFFER_MAX_BYTES = 4_000_000  # a peer that reads nothing for so long is dropped
CONNECT_TIMEOUT_S = 0.5
REDIAL_BACKOFF_MIN_S = 0.05
REDIAL_BACKOFF_MAX_S = 0.8
UNACKED_TIMEOUT_MS = 2_000  # unacknowledged bytes after which the kernel gives up


class Link(asyncio.Protocol):
    """One connection; turns bytes into frames.

    Parameters
    ----------
    on_frame : callable
        Takes the link and the bytes of one frame.
    on_disconnected : callable
        Takes the link once its connection is gone.
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
        """Set the socket up."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)
        self.on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Pass on each whole frame."""
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
        """Tell the owner."""
        if not self.closed.done():
            self.closed.set_result(None)
        self.on_disconnected(self)

    def write(self, data: bytes) -> None:
        """Queue one frame."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.transport.get_write_buffer_size() > WRITE_BUFFER_MAX_BYTES:
            labelled(BUS_DROPS, "backlog").inc()
            self.transport.abort()
            return
        self.transport.write(FRAME_HEADER.pack(len(data)) + data)

    def close(self) -> None:
        """Drop the connection."""
        if self.transport is not None:
            self.transport.abort()


class StreamBus(Actor):
    """Owns the links to peers.

    Explanation
    -----------
    An end of a connection shows at once here, which tells a killed process from a
    silent one; a message queue that reconnects by itself would hide it.

    Parameters
    ----------
    me : Incarnation
        This process, by the address at which peers reach it.
    listen : str
        ``ip:port`` to listen on.
    hello : Hello
        What the process says first on each link.
    codec : Codec
        Encoding of the envelopes.
    deliver : callable
        Takes each `Envelope` that arrives.
    listeners : list of Mailbox
        Get `LinkUp` and `LinkDown`.
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
        self.server: asyncio.Server | None = None

    def new_link(self) -> Link:
        """Return the protocol of one more connection."""
        return Link(self.link_connected, self.receive, self.link_disconnected)

    def link_connected(self, link: Link) -> None:
        """Say who we are."""
        self.open_links.add(link)
        self.write(link, self.hello)

    def write(self, link: Link, body: Any) -> None:
        """Encode a message and queue it on a link."""
        data = self.codec.encode(Envelope(self.me, self.stamp, body))
        labelled(MESSAGES, "out", exposed_name(type(body))).inc()
        labelled(MESSAGE_BYTES, "out").inc(len(data))
        link.write(data)

    def receive(self, link: Link, data: bytes) -> None:
        """Decode and deliver one message; count and drop a bad one."""
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
        """Take a link as the one to this peer, in place of an older one."""
        link.peer = peer
        older = self.links.get(peer.address)
        self.links[peer.address] = link
        if older is not None and older is not link:
            older.close()
        self.notify_listeners(LinkUp(peer.address, peer.nonce))

    def link_disconnected(self, link: Link) -> None:
        """Tell the listeners when the peer's newest link is gone."""
        self.open_links.discard(link)
        if link.peer is None or self.links.get(link.peer.address) is not link:
            return
        del self.links[link.peer.address]
        self.notify_listeners(LinkDown(link.peer.address))

    def notify_listeners(self, news: LinkUp | LinkDown) -> None:
        """Pass news of a link on to whoever listens."""
        for mailbox in self.listeners:
            mailbox.put(news)

    @handles(Send)
    def on_send(self, order: Send, sender: Incarnation) -> None:
        """Send a message if the peer has a link."""
        link = self.links.get(order.address)
        if link is None:
            labelled(BUS_DROPS, "no_link").inc()
            return
        self.write(link, order.body)

    @handles(StampChanged)
    def on_stamp_changed(self, news: StampChanged, sender: Incarnation) -> None:
        """Carry another stamp from now on."""
        self.stamp = news.stamp

    @handles(MaintainLink)
    def on_maintain_link(self, order: MaintainLink, sender: Incarnation) -> None:
        """Keep a link to a peer."""
        if order.address in self.dial_tasks or order.address == self.me.address:
            return
        try:
            host, port = split_address(order.address)
        except ValueError as error:
            labelled(BAD_INPUT, "link", "address").inc()
            log_event("link:no_address", problem=str(error))
            return
        task = asyncio.get_running_loop().create_task(self.maintain_link(host, port))
        self.dial_tasks[order.address] = task
        self.spawned.add(task)
        task.add_done_callback(self.settle)

    @handles(CloseLink)
    def on_close_link(self, order: CloseLink, sender: Incarnation) -> None:
        """Close the link to a peer."""
        link = self.links.get(order.address)
        if link is not None:
            link.close()

    @handles(RemovePeer)
    def on_remove_peer(self, order: RemovePeer, sender: Incarnation) -> None:
        """Close the link to a peer and stop dialling it."""
        task = self.dial_tasks.pop(order.address, None)
        if task is not None:
            task.cancel()
        self.on_close_link(CloseLink(order.address), sender)

    async def maintain_link(self, host: str, port: int) -> None:
        """MaintainLink a peer whenever no link to it is up."""
        loop = asyncio.get_running_loop()
        pause_s = REDIAL_BACKOFF_MIN_S
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, link = await loop.create_connection(self.new_link, host, port)
            except (OSError, TimeoutError):
                pause_s = min(REDIAL_BACKOFF_MAX_S, pause_s * 2)
            else:
                pause_s = REDIAL_BACKOFF_MIN_S
                await link.closed
            await asyncio.sleep(pause_s)

    async def run(self) -> None:
        """Listen and keep links until cancelled."""
        host, _, port = self.listen.rpartition(":")
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            self.new_link, host, int(port), backlog=512, reuse_address=True
        )
        try:
            await super().run()
        finally:
            self.server.close()
            for link in list(self.open_links):
                link.close()
