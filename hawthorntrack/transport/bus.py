"""Message bus between the system's own processes, over ZeroMQ.

`BusReceiver` owns the listening socket, `BusSender` the sockets connected to peers.
"""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import zmq
import zmq.asyncio

from hawthorntrack.protocol.codec import BadMessage, Codec
from hawthorntrack.protocol.messages import Envelope
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.addresses import split_address
from hawthorntrack.state.mailbox import Tick
from hawthorntrack.state.metrics import (
    BAD_INPUT,
    BUS_DROPS,
    MESSAGE_BYTES,
    MESSAGES,
    labelled,
)
from hawthorntrack.state.naming import exposed_name
from hawthorntrack.state.values import Incarnation

PEER_QUEUE_MAX_MESSAGES = 10_000
MESSAGE_MAX_BYTES = 64_000_000
RECONNECT_MS = 50
RECONNECT_MAX_MS = 500
HEARTBEAT_MS = 500
HEARTBEAT_TIMEOUT_MS = 2_000
CLOSE_LINGER_MS = 500
IDLE_CLOSE_S = 60.0


class Outgoing(NamedTuple):
    """A message to send; `to` with an empty nonce addresses any incarnation."""

    to: Incarnation
    body: Any


class StampChanged(NamedTuple):
    """The configuration version that outgoing messages carry from now on."""

    stamp: int


class PeerSocket:
    """The socket connected to one peer."""

    def __init__(self, context: zmq.asyncio.Context, address: str, now: float) -> None:
        self.socket = context.socket(zmq.PUSH, socket_class=zmq.Socket)
        self.socket.set_hwm(PEER_QUEUE_MAX_MESSAGES)
        self.socket.setsockopt(zmq.LINGER, CLOSE_LINGER_MS)
        self.socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MS)
        self.socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        self.socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        self.socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        self.last_used_at = now
        try:
            self.socket.connect(f"tcp://{address}")
        except zmq.ZMQError:
            self.socket.close()
            raise


class BusSender(Actor):
    """Sends messages to peers; owns the sockets connected to them.

    Parameters
    ----------
    deliver_local : callable
        Delivers a message from this process to itself.
    routes : mapping of str to str
        The address to connect to, for peers not reached at their own address.
    """

    def __init__(
        self,
        context: zmq.asyncio.Context,
        codec: Codec,
        me: Incarnation,
        deliver_local: Callable[[Incarnation, Any], None],
        routes: Mapping[str, str],
    ) -> None:
        super().__init__()
        self.context = context
        self.codec = codec
        self.me = me
        self.deliver_local = deliver_local
        self.routes = routes
        self.stamp = 0
        self.peers: dict[str, PeerSocket] = {}

    def send(self, to: Incarnation, body: Any) -> None:
        """Queue a message to a peer; deliver a message to this process directly."""
        if to == self.me:
            self.deliver_local(self.me, body)
        else:
            self.mailbox.post(Outgoing(to, body))

    @handles(StampChanged)
    def on_stamp_changed(self, change: StampChanged, sender: Incarnation) -> None:
        """Set the stamp of all later messages."""
        self.stamp = change.stamp

    @handles(Outgoing)
    def on_outgoing(self, message: Outgoing, sender: Incarnation) -> None:
        """Queue a message on its peer's socket.

        It is counted and dropped if the queue is full or the address is invalid.
        """
        address = message.to.address
        peer = self.peers.get(address)
        if peer is None:
            route = self.routes.get(address, address)
            try:
                split_address(route)
                peer = PeerSocket(self.context, route, self.now())
            except (ValueError, zmq.ZMQError):
                labelled(BUS_DROPS, "no_address").inc()
                return
            self.peers[address] = peer
        peer.last_used_at = self.now()
        data = self.codec.encode(Envelope(self.me, self.stamp, message.body))
        nonce = message.to.nonce.encode()
        try:
            peer.socket.send_multipart((nonce, data), zmq.DONTWAIT)
        except zmq.Again:
            BUS_DROPS.labels(reason="peer_queue_full").inc()
            return
        labelled(MESSAGES, "out", exposed_name(type(message.body))).inc()
        labelled(MESSAGE_BYTES, "out").inc(len(data))

    @handles(Tick)
    def on_tick(self, tick: Tick, sender: Incarnation) -> None:
        """Close sockets that have not been used for `IDLE_CLOSE_S`."""
        idle = [
            address
            for address, peer in self.peers.items()
            if self.now() - peer.last_used_at > IDLE_CLOSE_S
        ]
        for address in idle:
            self.peers.pop(address).socket.close()

    async def run(self) -> None:
        """Send messages until cancelled; then send the queued ones and close."""
        try:
            await super().run()
        finally:
            while not self.mailbox.queue.empty():
                self.handle(self.mailbox.queue.get_nowait())
            for peer in self.peers.values():
                peer.socket.close()


class BusReceiver:
    """Receives messages from peers; owns the listening socket.

    Parameters
    ----------
    deliver : callable
        Called with each envelope that arrives.
    """

    def __init__(
        self,
        context: zmq.asyncio.Context,
        codec: Codec,
        me: Incarnation,
        deliver: Callable[[Envelope], None],
    ) -> None:
        self.context = context
        self.codec = codec
        self.me = me
        self.deliver = deliver

    async def run(self) -> None:
        """Receive messages until cancelled."""
        socket = self.context.socket(zmq.PULL)
        socket.set_hwm(PEER_QUEUE_MAX_MESSAGES)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.MAXMSGSIZE, MESSAGE_MAX_BYTES)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        socket.bind(f"tcp://{self.me.address}")
        try:
            while True:
                self.receive(await socket.recv_multipart())
        finally:
            socket.close()

    def receive(self, frames: list[bytes]) -> None:
        """Decode and deliver one message; count and drop an invalid one."""
        try:
            if len(frames) != 2:
                raise BadMessage("frames", f"got {len(frames)} frames, expected 2")
            nonce, data = frames
            if nonce and nonce != self.me.nonce.encode():
                BUS_DROPS.labels(reason="other_incarnation").inc()
                return
            envelope = self.codec.decode(data)
        except BadMessage as error:
            BAD_INPUT.labels(edge="bus", reason=error.reason).inc()
            return
        labelled(MESSAGES, "in", exposed_name(type(envelope.body))).inc()
        labelled(MESSAGE_BYTES, "in").inc(len(data))
        self.deliver(envelope)
