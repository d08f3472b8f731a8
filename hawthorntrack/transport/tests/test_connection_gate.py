"""Limits on what the connections of an HTTP server occupy all together."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from hawthorntrack.transport import connection_gate
from hawthorntrack.transport.connection_gate import (
    MAX_HEAD_BYTES,
    SHORT_BODY_BYTES,
    ConnectionLimits,
)
from hawthorntrack.transport.http_server import HttpServer, read_body

# The largest head and body that the configuration allows by default.
LEGAL_HEAD_BYTES = 16_384
LEGAL_BODY_BYTES = 262_144
LONG_BODY = b"x" * (4 * SHORT_BODY_BYTES)
HEAD = b"POST / HTTP/1.1\r\nHost: calls.example\r\n"
PATIENCE_S = 10.0


class Client:
    """One connection to the server."""

    def __init__(self, reader, writer) -> None:
        self.reader = reader
        self.writer = writer

    async def send(self, data):
        self.writer.write(data)
        await self.writer.drain()

    async def status(self):
        """Return the status of the next response; 0 once the connection is closed."""
        try:
            async with asyncio.timeout(PATIENCE_S):
                head = await self.reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, OSError):
            return 0
        return int(head.split()[1])


class Served:
    """A server that answers with the length of each body, and its clients."""

    def __init__(self, limits) -> None:
        self.server = HttpServer("127.0.0.1:0", self.answer, limits)
        self.clients = []
        self.lengths = []
        self.released = asyncio.Event()

    async def answer(self, request):
        body = await read_body(request, LEGAL_BODY_BYTES)
        self.lengths.append(len(body))
        if body == b"wait":
            await self.released.wait()
        return web.Response()

    async def connect(self):
        host, port = self.server.runner.addresses[0][:2]
        client = Client(*await asyncio.open_connection(host, port))
        self.clients.append(client)
        return client

    async def post(self, body):
        """Send a whole request on a connection of its own; return the client."""
        client = await self.connect()
        await client.send(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)
        return client

    async def stall_long_body(self):
        """Send a long body except for its last byte; return the client."""
        client = await self.connect()
        head = HEAD + b"Content-Length: %d\r\n\r\n" % len(LONG_BODY)
        await client.send(head + LONG_BODY[1:])
        await asyncio.sleep(0.1)
        return client


@asynccontextmanager
async def serving(**limits):
    served = Served(ConnectionLimits(**limits))
    await served.server.start()
    try:
        yield served
    finally:
        served.released.set()
        for client in served.clients:
            client.writer.transport.abort()
        await served.server.stop()


def test_long_body_waits_while_another_one_is_stalled_and_short_ones_do_not():
    async def play():
        async with serving(long_requests=1) as served:
            stalled = await served.stall_long_body()
            waiting = await served.post(LONG_BODY)
            short = await served.post(b"x")
            assert await short.status() == 200
            assert served.lengths == [1]
            await stalled.send(b"x")
            assert [await stalled.status(), await waiting.status()] == [200, 200]
            assert served.lengths == [1, len(LONG_BODY), len(LONG_BODY)]

    asyncio.run(play())


def test_turn_of_a_long_body_ends_with_its_connection():
    async def play():
        async with serving(long_requests=1) as served:
            stalled = await served.stall_long_body()
            waiting = await served.post(LONG_BODY)
            stalled.writer.transport.abort()
            assert await waiting.status() == 200

    asyncio.run(play())


def test_longest_idle_connection_is_closed_for_a_new_one_and_none_with_a_request():
    async def play():
        async with serving(connections=3) as served:
            answering = await served.post(b"wait")
            first, second = await served.connect(), await served.connect()
            await asyncio.sleep(0.1)
            third = await served.post(b"x")
            assert await third.status() == 200
            assert await first.status() == 0
            await second.send(HEAD + b"Content-Length: 1\r\n\r\nx")
            assert await second.status() == 200
            served.released.set()
            assert await answering.status() == 200

    asyncio.run(play())


def test_connection_is_refused_while_all_others_have_requests():
    async def play():
        async with serving(connections=1) as served:
            answering = await served.post(b"wait")
            await asyncio.sleep(0.1)
            refused = await served.connect()
            assert await refused.status() == 0
            served.released.set()
            assert await answering.status() == 200

    asyncio.run(play())


@pytest.mark.parametrize(
    "endless",
    [b"\r\n" * MAX_HEAD_BYTES, HEAD + b"X-Line: aaaaaaaa\r\n" * MAX_HEAD_BYTES],
    ids=["empty_lines", "header_lines"],
)
def test_head_without_end_is_given_up(endless):
    async def play():
        async with serving() as served:
            client = await served.connect()
            client.writer.write(endless)
            assert await client.status() in (0, 400)
            assert not served.server.runner.server.table.unfinished

    asyncio.run(play())


def test_head_that_does_not_arrive_is_given_up(monkeypatch):
    monkeypatch.setattr(connection_gate, "HEAD_TIMEOUT_S", 0.2)

    async def play():
        async with serving() as served:
            client = await served.connect()
            await client.send(HEAD)
            assert await client.status() == 0

    asyncio.run(play())


@pytest.mark.parametrize(
    "lines",
    [b"X-Line: %s\r\n" % (b"a" * 12_000), b"a:b\r\n" * 1_000],
    ids=["one_long_line", "many_short_lines"],
)
def test_head_of_legal_size_is_served(lines):
    assert len(HEAD + lines) <= LEGAL_HEAD_BYTES

    async def play():
        async with serving() as served:
            client = await served.connect()
            await client.send(HEAD + lines + b"Content-Length: 1\r\n\r\nx")
            assert await client.status() == 200

    asyncio.run(play())


@pytest.mark.parametrize("chunk", [b"1\r\nx\r\n", b"4000\r\n%s\r\n" % (b"x" * 0x4000)])
def test_body_of_legal_size_is_served_in_chunks_of_any_size(chunk):
    size = len(chunk.split(b"\r\n")[1])

    async def play():
        async with serving() as served:
            client = await served.connect()
            body = chunk * (LEGAL_BODY_BYTES // size) + b"0\r\n\r\n"
            await client.send(HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + body)
            assert await client.status() == 200
            assert served.lengths == [LEGAL_BODY_BYTES]

    asyncio.run(play())


def test_requests_on_one_connection_are_answered_in_turn():
    async def play():
        async with serving() as served:
            client = await served.connect()
            request = HEAD + b"Content-Length: 1\r\n\r\nx"
            await client.send(request * 100)
            assert [await client.status() for _ in range(100)] == [200] * 100

    asyncio.run(play())
