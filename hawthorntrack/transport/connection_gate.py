"""Bounds what the connections of an HTTP server occupy all together.

Load pattern: thousands of connections send large bodies, tiny chunks or endless heads,
stop short of the end and stay open. Each is within the limits of a single request, and
all together exhaust the memory and the processor. So a connection may send a short
request at any time, only a few at a time may send more, and what was read is decoded
in small portions, the shortest first.
"""

import asyncio
import heapq
from collections.abc import Callable
from itertools import count
from typing import Any, NamedTuple

from aiohttp import web

from hawthorntrack.state.event_log import log_event
from hawthorntrack.state.metrics import CONNECTIONS_CLOSED, labelled

READ_BYTES = 4_096
# The largest head that the configuration allows, and one read beyond it.
MAX_HEAD_BYTES = 16_384 + READ_BYTES
# Bytes of a head or of a body that need no turn. Ordinary jobs are shorter.
SHORT_HEAD_BYTES = READ_BYTES
SHORT_BODY_BYTES = 2 * READ_BYTES
# A request whose head has not arrived after this time is given up.
HEAD_TIMEOUT_S = 5.0
SWEEP_INTERVAL_S = 0.5
# A request that was received begins within three passes of the event loop.
PASSES_TO_BEGIN = 5
# Time for decoding in one pass of the event loop; other work follows each pass.
DECODING_S_PER_PASS = 0.002


class ConnectionLimits(NamedTuple):
    """Limits on the connections of one server.

    Attributes
    ----------
    connections : int
        Largest number of open connections.
    long_requests : int
        Largest number of connections that send a long request at a time; others wait.
    """

    connections: int = 1_000
    long_requests: int = 4


class GatedTransport:
    """A connection's transport, whose reading the gate may pause as well.

    Attributes
    ----------
    gate : ConnectionGate
        The gate of the connection.
    """

    def __init__(self, transport: asyncio.Transport, gate: "ConnectionGate") -> None:
        self.transport = transport
        self.gate = gate
        self.paused_by_protocol = False
        self.paused_by_gate = False

    def __getattr__(self, name: str) -> Any:
        return getattr(self.transport, name)

    def pause_reading(self) -> None:
        """Pause reading for the HTTP protocol."""
        self.paused_by_protocol = True
        self.apply()

    def resume_reading(self) -> None:
        """Resume reading for the HTTP protocol, unless the gate has paused it."""
        self.paused_by_protocol = False
        self.apply()

    def hold(self, held: bool) -> None:
        """Pause reading for the gate, or resume it unless the protocol has paused."""
        if held != self.paused_by_gate:
            self.paused_by_gate = held
            self.apply()

    def apply(self) -> None:
        """Pause reading if either side wants it."""
        if self.paused_by_protocol or self.paused_by_gate:
            self.transport.pause_reading()
        else:
            self.transport.resume_reading()


class ConnectionGate(asyncio.BufferedProtocol):
    """Passes what one connection sends on to the HTTP protocol, within limits.

    Attributes
    ----------
    received : int
        Bytes received of a head that is not complete, or of a body that is not.
    reading_body : bool
        Whether a request's head is complete and its body is not.
    answering : bool
        Whether a request has been received and is not answered.
    undecoded : bytes
        What was read and waits to be decoded.
    has_waited : bool
        Whether the present request had to wait for its turn.
    admitted : bool
        Whether the connection was passed on to the HTTP protocol.
    """

    def __init__(self, protocol: Any, table: "ConnectionTable") -> None:
        self.protocol = protocol
        self.table = table
        self.transport: GatedTransport | None = None
        self.received = 0
        self.reading_body = False
        self.answering = False
        self.undecoded = b""
        self.has_waited = False
        self.admitted = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Admit a connection; another one may be closed for it."""
        self.transport = GatedTransport(transport, self)
        self.admitted = self.table.admit(self)
        if self.admitted:
            self.protocol.connection_made(self.transport)
        else:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget a closed connection."""
        self.undecoded = b""
        self.table.forget(self)
        if self.admitted:
            self.protocol.connection_lost(exc)

    def pause_writing(self) -> None:
        """Pass on that the client does not read."""
        self.protocol.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the client reads again."""
        self.protocol.resume_writing()

    def eof_received(self) -> bool | None:
        """Pass on that the client has closed its side."""
        return self.protocol.eof_received()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next read, which all connections share."""
        return self.table.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Decode received bytes, now or when it is their turn."""
        self.received += nbytes
        self.table.note_bytes(self)
        self.undecoded = bytes(self.table.buffer[:nbytes])
        if not self.table.decode_or_defer(self):
            self.transport.hold(True)

    def decode(self) -> None:
        """Pass on what was read, and pause reading if there is too much."""
        data, self.undecoded = self.undecoded, b""
        if data:
            self.protocol.data_received(data)
            self.regulate()

    def regulate(self) -> None:
        """Pause or resume reading by what the connection has sent."""
        if self.undecoded:
            return
        if self.answering:
            held = self.received > MAX_HEAD_BYTES
        elif self.reading_body:
            held = self.waits_for_turn(SHORT_BODY_BYTES)
        elif self.received > MAX_HEAD_BYTES:
            held = True
            self.close_unless_begun(PASSES_TO_BEGIN)
        else:
            held = self.waits_for_turn(SHORT_HEAD_BYTES)
        self.transport.hold(held)

    def waits_for_turn(self, short_bytes: int) -> bool:
        """Return whether a request is long and must wait for its turn."""
        waits = self.received > short_bytes and not self.table.take_turn(self)
        self.has_waited |= waits
        return waits

    def close_unless_begun(self, passes_left: int) -> None:
        """Close the connection if its head is too long and still not complete."""
        if passes_left:
            loop = asyncio.get_running_loop()
            loop.call_soon(self.close_unless_begun, passes_left - 1)
        elif self.received > MAX_HEAD_BYTES and not self.reading_body:
            self.close("head_too_large")

    def begin_request(self) -> None:
        """Note that the head of a request is complete."""
        self.received, self.reading_body = 0, True
        self.table.note_request(self)
        self.regulate()

    def end_body(self) -> None:
        """Note that the body of the request is complete, or is not awaited."""
        if self.reading_body:
            self.received, self.reading_body, self.answering = 0, False, True
            self.has_waited = False
            self.table.end_turn(self)
            self.regulate()

    def end_request(self) -> None:
        """Note that the request is answered."""
        self.end_body()
        self.answering = False
        self.table.note_answer(self)
        self.regulate()

    def close(self, reason: str) -> None:
        """Close the connection, without an answer."""
        labelled(CONNECTIONS_CLOSED, reason).inc()
        log_event("connection:closed", reason=reason, received=self.received)
        self.undecoded = b""
        self.transport.abort()


class ConnectionTable:
    """The connections of one server, and which of them send long requests.

    Attributes
    ----------
    connections : set of ConnectionGate
        The open connections.
    idle : dict of ConnectionGate to None
        Connections without a request, longest idle first.
    unfinished : dict of ConnectionGate to float
        Connections that have sent a part of a head, with the time of its begin in
        seconds of the event loop; earliest first.
    turns : set of ConnectionGate
        Connections that may send a long request.
    waiting : dict of ConnectionGate to None
        Connections whose long request waits for a turn, in order.
    deferred : list of (int, int, ConnectionGate)
        Heap of connections whose bytes wait to be decoded, by the number of bytes and
        in order of arrival.
    decoding_s : float
        Time spent on decoding in this pass of the event loop, in seconds.
    """

    def __init__(self, limits: ConnectionLimits) -> None:
        self.limits = limits
        self.buffer = memoryview(bytearray(READ_BYTES))
        self.connections: set[ConnectionGate] = set()
        self.idle: dict[ConnectionGate, None] = {}
        self.unfinished: dict[ConnectionGate, float] = {}
        self.turns: set[ConnectionGate] = set()
        self.waiting: dict[ConnectionGate, None] = {}
        self.deferred: list[tuple[int, int, ConnectionGate]] = []
        self.arrivals = count()
        self.decoding_s = 0.0
        self.next_pass_scheduled = False

    def admit(self, gate: ConnectionGate) -> bool:
        """Add a connection if there is room, or one can be closed for it.

        Explanation
        -----------
        Requests that are being answered, or whose body arrives, are not given up for a
        new connection.
        """
        if len(self.connections) >= self.limits.connections:
            victim = next(iter(self.unfinished), None) or next(iter(self.idle), None)
            if victim is None:
                labelled(CONNECTIONS_CLOSED, "no_room").inc()
                return False
            self.forget(victim)
            victim.close("displaced")
        self.connections.add(gate)
        self.idle[gate] = None
        return True

    def forget(self, gate: ConnectionGate) -> None:
        """Remove a connection."""
        self.connections.discard(gate)
        self.idle.pop(gate, None)
        self.unfinished.pop(gate, None)
        self.end_turn(gate)

    def note_bytes(self, gate: ConnectionGate) -> None:
        """Note that a connection has sent a part of a head or of a body."""
        if not gate.reading_body and not gate.answering:
            self.idle.pop(gate, None)
            now = asyncio.get_running_loop().time()
            self.unfinished.setdefault(gate, now)

    def note_request(self, gate: ConnectionGate) -> None:
        """Note that the head of a request is complete."""
        self.idle.pop(gate, None)
        self.unfinished.pop(gate, None)

    def note_answer(self, gate: ConnectionGate) -> None:
        """Note that a connection has no request any more."""
        if gate in self.connections:
            self.idle[gate] = None
            if gate.received:
                self.note_bytes(gate)

    def decode_or_defer(self, gate: ConnectionGate) -> bool:
        """Decode what a connection sent if there is time in this pass; return whether.

        Explanation
        -----------
        Tiny chunks take a hundred times as long to decode as other bytes. Short reads
        come first, and ordinary requests are shorter than the parts of long ones.
        """
        if not self.deferred and self.decoding_s < DECODING_S_PER_PASS:
            self.decode(gate)
            return True
        entry = (len(gate.undecoded), next(self.arrivals), gate)
        heapq.heappush(self.deferred, entry)
        return False

    def decode(self, gate: ConnectionGate) -> None:
        """Decode what a connection sent, and measure the time that it takes."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        gate.decode()
        self.decoding_s += loop.time() - began_at
        if not self.next_pass_scheduled:
            self.next_pass_scheduled = True
            loop.call_soon(self.begin_pass)

    def begin_pass(self) -> None:
        """Decode what was deferred, for as long as one pass may take."""
        self.decoding_s, self.next_pass_scheduled = 0.0, False
        while self.deferred and self.decoding_s < DECODING_S_PER_PASS:
            self.decode(heapq.heappop(self.deferred)[-1])

    def take_turn(self, gate: ConnectionGate) -> bool:
        """Return whether a connection may send a long request now; else it waits."""
        if gate not in self.turns and len(self.turns) < self.limits.long_requests:
            self.turns.add(gate)
        if gate in self.turns:
            self.waiting.pop(gate, None)
            return True
        self.waiting[gate] = None
        return False

    def end_turn(self, gate: ConnectionGate) -> None:
        """End a connection's turn, and give it to the one that has waited longest."""
        self.waiting.pop(gate, None)
        if gate in self.turns:
            self.turns.discard(gate)
            following = next(iter(self.waiting), None)
            if following is not None:
                following.regulate()

    def close_late_heads(self) -> None:
        """Close the connections whose head has not arrived in time."""
        now = asyncio.get_running_loop().time()
        while self.unfinished:
            gate, began_at = next(iter(self.unfinished.items()))
            if began_at + HEAD_TIMEOUT_S > now:
                return
            del self.unfinished[gate]
            gate.close("head_not_received")

    async def sweep(self) -> None:
        """Close connections with late heads until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.close_late_heads()


class GatedServer(web.Server):
    """HTTP server each of whose connections passes a gate."""

    def __init__(
        self, handler: Callable[..., Any], limits: ConnectionLimits, **options: Any
    ) -> None:
        super().__init__(handler, **options)
        self.table = ConnectionTable(limits)

    def __call__(self) -> ConnectionGate:
        """Return the protocol of a new connection."""
        return ConnectionGate(super().__call__(), self.table)
