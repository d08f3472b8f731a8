"""Tests of the HTTP server's connections."""

import asyncio
import socket

import aiohttp
import pytest
from aiohttp import web

from hawthorntrack.transport.http_server import (
    ConnectionState,
    HttpServer,
    connection_state,
)

# Specified time from a broken connection to the caller's next attempt.
CALLER_RETRY_S = 1.3
# A run's lease is not renewed, and the run is stopped, within this time.
STOP_RUNS_S = 0.2


def test_caller_whose_reset_got_lost_is_noticed_before_it_submits_its_job_elsewhere():
    """The kernel probes the idle connection; the caller's answers that it is closed."""
    options = {}

    async def record_options(request):
        sock = request.transport.get_extra_info("socket")
        options["enabled"] = sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        for name in ("TCP_KEEPIDLE", "TCP_KEEPINTVL"):
            option = getattr(socket, name)
            options[name] = sock.getsockopt(socket.IPPROTO_TCP, option)
        return web.Response()

    async def serve_one_request():
        server = HttpServer("127.0.0.1:0", record_options)
        await server.start()
        host, port = server.runner.addresses[0][:2]
        try:
            async with (
                aiohttp.ClientSession() as client,
                client.post(f"http://{host}:{port}/") as response,
            ):
                await response.read()
        finally:
            await server.stop()

    asyncio.run(serve_one_request())
    assert options.pop("enabled")
    assert all(seconds + STOP_RUNS_S < CALLER_RETRY_S for seconds in options.values())


@pytest.mark.parametrize("address", ["127.0.0.1:0", "::1:0", "[::1]:0"])
def test_server_listens_on_each_form_of_address_that_the_settings_allow(address):
    """An address of the other family ended the process at its start."""

    async def listen():
        server = HttpServer(address, None)
        await server.start()
        try:
            return server.runner.addresses[0][0]
        finally:
            await server.stop()

    assert asyncio.run(listen()) == address.rpartition(":")[0].strip("[]")


@pytest.mark.parametrize("closing", [False, True])
def test_request_is_not_dropped_where_the_kernel_does_not_describe_connections(closing):
    """Every caller would count as gone."""

    class UnknownOption:
        def getsockopt(self, *args):
            raise OSError("Protocol not available")

    class Transport:
        def get_extra_info(self, name):
            return UnknownOption()

        def is_closing(self):
            return closing

    class Request:
        transport = Transport()

    assert connection_state(Request()) == ConnectionState(not closing, 0.0)
