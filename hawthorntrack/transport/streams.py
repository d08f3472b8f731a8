"""Links to peers over TCP: frames of a length and an encoded envelope."""

import asyncio
import socket
import struct
from collections.abc import Callable
from typing import Any

from hawthorntrack.protocol.codec import BadMessage, Codec
from hawthorntrack.protocol.dispatch import Hello
from hawthorntrack.protocol.links import (
    Dial,
    Forget,
    Hangup,
    LinkDown,
    LinkUp,
    Send,
    StampMoved,
)
from hawthorntrack.protocol.messages import Envelope
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.addresses import split_address
from hawthorntrack.state.events import log_event
from hawthorntrack.state.metrics import (
    BAD_INPUT,
    BUS_DROPS,
    MESSAGE_BYTES,
    MESSAGES,
    labelled,
)
from hawthorntrack.state.naming import exposed_name
from hawthorntrack.state.values import Incarnation

HEADER = struct.Struct(">I")
FRAME_MAX_BYTES = 8_000_000  # well above the largest configuration of a store row
BACKLOG_MAX_BYTES = 4_000_000  # a peer that reads nothing for so long is dropped
CONNECT_TIMEOUT_S = 0.5
FIRST_REDIAL_S = 0.05
LONGEST_REDIAL_S = 0.8
USER_TIMEOUT_MS = 2_000  # unacknowledged bytes after which the kernel gives up


class Link(asyncio.Protocol):
    """One connection; turns bytes into frames.

    Parameters
    ----------
    on_frame : callable
        Takes the link and the bytes of one frame.
    on_lost : callable
        Takes the link once its connection is gone.
    """

    def __init__(
        self,
        on_made: Callable[["Link"], None],
        on_frame: Callable[["Link", bytes], None],
        on_lost: Callable[["Link"], None],
    ) -> None:
        self.on_made = on_made
        self.on_frame = on_frame
        self.on_lost = on_lost
        self.transport: asyncio.Transport | None = None
        self.peer: Incarnation | None = None
        self.buffer = bytearray()
        self.closed = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Set the socket up."""
        self.transport = transport
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
        self.on_made(self)

    def data_received(self, data: bytes) -> None:
        """Pass on each whole frame."""
        self.buffer += data
        start = 0
        while len(self.buffer) - start >= HEADER.size:
            (length,) = HEADER.unpack_from(self.buffer, start)
            if length > FRAME_MAX_BYTES:
                labelled(BAD_INPUT, "link", "frame_size").inc()
                self.transport.abort()
                return
            end = start + HEADER.size + length
            if len(self.buffer) < end:
                break
            self.on_frame(self, bytes(self.buffer[start + HEADER.size : end]))
            start = end
        del self.buffer[:start]

    def connection_lost(self, error: Exception | None) -> None:
        """Tell the owner."""
        if not self.closed.done():
            self.closed.set_result(None)
        self.on_lost(self)

    def write(self, data: bytes) -> None:
        """Queue one frame."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.transport.get_write_buffer_size() > BACKLOG_MAX_BYTES:
            labelled(BUS_DROPS, "backlog").inc()
            self.transport.abort()
            return
        self.transport.write(HEADER.pack(len(data)) + data)

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
        self.open: set[Link] = set()
        self.dialled: dict[str, asyncio.Task[None]] = {}
        self.server: asyncio.Server | None = None

    def new_link(self) -> Link:
        """Return the protocol of one more connection."""
        return Link(self.made, self.receive, self.lost)

    def made(self, link: Link) -> None:
        """Say who we are."""
        self.open.add(link)
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
            self.adopt(link, envelope.sender)
        self.deliver(envelope)

    def adopt(self, link: Link, peer: Incarnation) -> None:
        """Take a link as the one to this peer, in place of an older one."""
        link.peer = peer
        older = self.links.get(peer.address)
        self.links[peer.address] = link
        if older is not None and older is not link:
            older.close()
        self.tell(LinkUp(peer.address, peer.nonce))

    def lost(self, link: Link) -> None:
        """Tell the listeners when the peer's newest link is gone."""
        self.open.discard(link)
        if link.peer is None or self.links.get(link.peer.address) is not link:
            return
        del self.links[link.peer.address]
        self.tell(LinkDown(link.peer.address))

    def tell(self, news: LinkUp | LinkDown) -> None:
        """Pass news of a link on to whoever listens."""
        for mailbox in self.listeners:
            mailbox.put(news)

    @handles(Send)
    def send(self, order: Send, sender: Incarnation) -> None:
        """Send a message if the peer has a link."""
        link = self.links.get(order.address)
        if link is None:
            labelled(BUS_DROPS, "no_link").inc()
            return
        self.write(link, order.body)

    @handles(StampMoved)
    def move_stamp(self, news: StampMoved, sender: Incarnation) -> None:
        """Carry another stamp from now on."""
        self.stamp = news.stamp

    @handles(Dial)
    def dial(self, order: Dial, sender: Incarnation) -> None:
        """Keep a link to a peer."""
        if order.address in self.dialled or order.address == self.me.address:
            return
        try:
            host, port = split_address(order.address)
        except ValueError as error:
            labelled(BAD_INPUT, "link", "address").inc()
            log_event("link:no_address", problem=str(error))
            return
        task = asyncio.get_running_loop().create_task(self.keep(host, port))
        self.dialled[order.address] = task
        self.spawned.add(task)
        task.add_done_callback(self.settle)

    @handles(Hangup)
    def hang_up(self, order: Hangup, sender: Incarnation) -> None:
        """Close the link to a peer."""
        link = self.links.get(order.address)
        if link is not None:
            link.close()

    @handles(Forget)
    def forget(self, order: Forget, sender: Incarnation) -> None:
        """Close the link to a peer and stop dialling it."""
        task = self.dialled.pop(order.address, None)
        if task is not None:
            task.cancel()
        self.hang_up(Hangup(order.address), sender)

    async def keep(self, host: str, port: int) -> None:
        """Dial a peer whenever no link to it is up."""
        loop = asyncio.get_running_loop()
        pause_s = FIRST_REDIAL_S
        while True:
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, link = await loop.create_connection(self.new_link, host, port)
            except (OSError, TimeoutError):
                pause_s = min(LONGEST_REDIAL_S, pause_s * 2)
            else:
                pause_s = FIRST_REDIAL_S
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
            for link in list(self.open):
                link.close()
