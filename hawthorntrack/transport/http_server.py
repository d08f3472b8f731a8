"""HTTP server with a single request handler, and the metrics handler."""

import socket
from collections.abc import Callable, Coroutine
from typing import Any

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

KEEPALIVE_S = 75.0
BACKLOG = 512
SHUTDOWN_TIMEOUT_S = 0.5
# An idle connection is probed at this interval, the kernel's shortest. A client whose
# reset got lost answers the first probe with another one.
PROBE_INTERVAL_S = 1

Handler = Callable[[web.BaseRequest], Coroutine[Any, Any, web.StreamResponse]]


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
    """

    def __init__(self, address: str, handler: Handler) -> None:
        self.address = address
        self.handler = handler
        self.runner: web.ServerRunner | None = None

    async def start(self) -> None:
        """Open the socket and accept requests."""
        host, _, port = self.address.rpartition(":")
        server = web.Server(
            self.handler,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
        )
        self.runner = web.ServerRunner(server, shutdown_timeout=SHUTDOWN_TIMEOUT_S)
        await self.runner.setup()
        listener = socket.create_server((host, int(port)), backlog=BACKLOG)
        # Accepted connections inherit the options.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option in (socket.TCP_KEEPIDLE, socket.TCP_KEEPINTVL):
            listener.setsockopt(socket.IPPROTO_TCP, option, PROBE_INTERVAL_S)
        await web.SockSite(self.runner, listener, backlog=BACKLOG).start()

    async def stop(self) -> None:
        """Close the socket; open requests get `SHUTDOWN_TIMEOUT_S` to finish."""
        if self.runner is not None:
            await self.runner.cleanup()


async def show_metrics(request: web.BaseRequest) -> web.Response:
    """Answer with the process's metrics in the format of Prometheus."""
    if request.path != "/metrics":
        return web.Response(status=404)
    return web.Response(
        body=generate_latest(), headers={"Content-Type": CONTENT_TYPE_LATEST}
    )
