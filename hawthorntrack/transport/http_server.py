"""HTTP server with a single request handler, and the metrics handler."""

import asyncio
import socket
import struct
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from hawthorntrack.transport.connection_gate import (
    MAX_HEAD_BYTES,
    ConnectionGate,
    ConnectionLimits,
    GatedServer,
)

KEEPALIVE_S = 75.0
BACKLOG = 512
SHUTDOWN_TIMEOUT_S = 0.5
# An idle connection is probed at this interval, the kernel's shortest. A client whose
# reset got lost answers the first probe with another one.
PROBE_INTERVAL_S = 1
BODY_TIMEOUT_S = 5.0
# The shortest header line, with its end, has this many bytes.
SHORTEST_HEADER_BYTES = 4

# The first fields of `struct tcp_info`: eight of one byte, the first of which is the
# state, and twelve of four bytes, the last of which is the time since data arrived.
TCP_INFO_FIELDS = struct.Struct("=8B12I")
TCP_ESTABLISHED = 1

Handler = Callable[[web.BaseRequest], Coroutine[Any, Any, web.StreamResponse]]


class ConnectionState(NamedTuple):
    """The kernel's view of a request's connection.

    Attributes
    ----------
    is_open : bool
        Whether the client has neither closed nor reset the connection.
    silence_s : float
        Time since data last arrived from the client, in seconds, without time for which
        the machine was suspended.
    """

    is_open: bool
    silence_s: float


def connection_state(request: web.BaseRequest) -> ConnectionState:
    """Return the state of a request's connection.

    Explanation
    -----------
    The event loop reads the end of a connection some iterations after the request that
    precedes it, and reads both late if the process was suspended. The kernel knows the
    end as soon as it arrives.
    """
    if request.transport is None:
        return ConnectionState(False, 0.0)
    sock = request.transport.get_extra_info("socket")
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_FIELDS.size
        )
    except OSError:
        return ConnectionState(not request.transport.is_closing(), 0.0)
    state, *_, silence_ms = TCP_INFO_FIELDS.unpack(info)
    return ConnectionState(state == TCP_ESTABLISHED, silence_ms / 1000)


class HttpServer:
    """HTTP server on one address; owns the listening socket.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on.
    handler : callable
        Coroutine function that answers each request. It is cancelled when the
        client closes the connection, at most `PROBE_INTERVAL_S` later if the closing
        got lost on the way.
    limits : ConnectionLimits
        Limits on the connections all together.
    """

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: ConnectionLimits = ConnectionLimits(),
    ) -> None:
        self.address = address
        self.handler = handler
        self.limits = limits
        self.runner: web.ServerRunner | None = None
        self.sweeper: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Open the socket and accept requests."""
        host, _, port = self.address.rpartition(":")
        server = GatedServer(
            self.answer,
            self.limits,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
            max_line_size=MAX_HEAD_BYTES,
            max_field_size=MAX_HEAD_BYTES,
            max_headers=MAX_HEAD_BYTES // SHORTEST_HEADER_BYTES,
        )
        self.runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self.runner.setup()
        listener = socket.create_server(
            (host.strip("[]"), int(port)),
            family=socket.AF_INET6 if ":" in host else socket.AF_INET,
            backlog=BACKLOG,
        )
        # Accepted connections inherit the options.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
            listener.setsockopt(socket.IPPROTO_TCP, option, PROBE_INTERVAL_S)
        await web.SockSite(self.runner, listener, backlog=BACKLOG).start()
        self.sweeper = asyncio.create_task(server.table.sweep())

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request, and note its begin and its end at the connection."""
        gate = gate_of(request)
        if gate is None:
            return await self.handler(request)
        gate.begin_request()
        try:
            return await self.handler(request)
        finally:
            gate.end_request()

    async def stop(self) -> None:
        """Close the socket; open requests get `SHUTDOWN_TIMEOUT_S` to finish."""
        if self.sweeper is not None:
            self.sweeper.cancel()
        if self.runner is not None:
            await self.runner.cleanup()


def gate_of(request: web.BaseRequest) -> ConnectionGate | None:
    """Return the gate of a request's connection; None once that is closed."""
    return getattr(request.transport, "gate", None)


async def read_body(request: web.BaseRequest, max_bytes: int) -> bytes:
    """Return the body of a request.

    Raises
    ------
    TimeoutError
        If it has not arrived after `BODY_TIMEOUT_S`.
    aiohttp.web.HTTPRequestEntityTooLarge
        If it is longer than `max_bytes`.
    """
    gate = gate_of(request)
    if (request.content_length or 0) > max_bytes:
        raise web.HTTPRequestEntityTooLarge(max_bytes, request.content_length)
    body = bytearray()
    async with asyncio.timeout(BODY_TIMEOUT_S):
        while part := await request.content.readany():
            body += part
            if len(body) > max_bytes:
                raise web.HTTPRequestEntityTooLarge(max_bytes, len(body))
    if gate is not None:
        gate.end_body()
    return bytes(body)


async def show_metrics(request: web.BaseRequest) -> web.Response:
    """Answer with the process's metrics in the format of Prometheus."""
    if request.path != "/metrics":
        return web.Response(status=404)
    return web.Response(
        body=generate_latest(), headers={"Content-Type": CONTENT_TYPE_LATEST}
    )
