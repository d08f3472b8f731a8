"""HTTP server for the stand-ins."""

import asyncio
import signal

from aiohttp import web

SHUTDOWN_TIMEOUT_S = 2.0


async def start_server(routes: list[web.RouteDef], address: str) -> web.AppRunner:
    """Start a server for routes; it cancels a handler when its client disconnects."""
    app = web.Application(client_max_size=32_000_000)
    app.add_routes(routes)
    runner = web.AppRunner(
        app,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=SHUTDOWN_TIMEOUT_S,
    )
    await runner.setup()
    host, _, port = address.rpartition(":")
    await web.TCPSite(runner, host, int(port), backlog=1024).start()
    return runner


async def wait_for_stop_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()


async def serve(routes: list[web.RouteDef], address: str) -> None:
    """Serve routes until SIGTERM or SIGINT."""
    runner = await start_server(routes, address)
    await wait_for_stop_signal()
    await runner.cleanup()
