"""Crowds of connections that send large, slow or endless requests.

Each kind sends bytes on one connection; a crowd has many of them at once, which stay
open. They stand for clients that nobody controls, so every number here is bounded.
"""

import asyncio
from collections.abc import AsyncIterator, Callable

from hawthorntrack.state.registry import Registry

BODY_BYTES = 262_144
CHUNK_BYTES = 16_384
TINY_CHUNKS = 65_536
PIECES = 16
PIECE_PAUSE_S = 0.05
ENDLESS_BYTES = 524_288
OVERSIZED_HEAD_BYTES = 65_536
CONNECT_LIMIT_S = 10.0
SEND_LIMIT_S = 20.0
REQUEST_LINE = b"POST /confirm/%016x HTTP/1.1\r\nHost: calls.example\r\n"

Sender = Callable[[int], AsyncIterator[bytes]]
crowds: Registry[Sender] = Registry("crowd")


def head_with_length(number: int) -> bytes:
    """Return the head of a request with a body of the largest legal size."""
    return REQUEST_LINE % number + b"Content-Length: %d\r\n\r\n" % BODY_BYTES


def head_of_chunks(number: int) -> bytes:
    """Return the head of a request with a chunked body."""
    return REQUEST_LINE % number + b"Transfer-Encoding: chunked\r\n\r\n"


@crowds.register("bodies_one_byte_short")
async def send_body_one_byte_short(number: int) -> AsyncIterator[bytes]:
    """Send a body at once except for its last byte."""
    yield head_with_length(number) + b"x" * (BODY_BYTES - 1)


@crowds.register("whole_bodies")
async def send_whole_body(number: int) -> AsyncIterator[bytes]:
    """Send a whole body that is not valid."""
    yield head_with_length(number) + b"x" * BODY_BYTES


@crowds.register("bodies_in_pieces")
async def send_body_in_pieces(number: int) -> AsyncIterator[bytes]:
    """Send a body piece by piece, except for its last byte."""
    yield head_with_length(number)
    piece = b"x" * (BODY_BYTES // PIECES)
    for index in range(PIECES):
        yield piece[index == 0 :]
        await asyncio.sleep(PIECE_PAUSE_S)


@crowds.register("large_chunks_without_end")
async def send_large_chunks(number: int) -> AsyncIterator[bytes]:
    """Send a body of the largest legal size in large chunks, without its end."""
    yield head_of_chunks(number)
    for _ in range(BODY_BYTES // CHUNK_BYTES):
        yield b"%x\r\n%s\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)


@crowds.register("tiny_chunks_without_end")
async def send_tiny_chunks(number: int) -> AsyncIterator[bytes]:
    """Send a body in chunks of one byte, without its end."""
    yield head_of_chunks(number) + b"1\r\nx\r\n" * TINY_CHUNKS


@crowds.register("header_line_without_end")
async def send_header_line(number: int) -> AsyncIterator[bytes]:
    """Send a single header line that does not end."""
    yield REQUEST_LINE % number + b"X-Line: " + b"x" * ENDLESS_BYTES


@crowds.register("header_lines_without_end")
async def send_header_lines(number: int) -> AsyncIterator[bytes]:
    """Send header lines that do not end."""
    line = b"X-Line: " + b"x" * 90 + b"\r\n"
    yield REQUEST_LINE % number + line * (ENDLESS_BYTES // len(line))


@crowds.register("heads_over_the_limit")
async def send_oversized_head(number: int) -> AsyncIterator[bytes]:
    """Send a whole head that is too long, and the begin of its body."""
    line = b"X-Line: " + b"x" * 90 + b"\r\n"
    filler = line * (OVERSIZED_HEAD_BYTES // len(line))
    yield REQUEST_LINE % number + filler + b"Content-Length: 100\r\n\r\nx"


@crowds.register("empty_lines_without_end")
async def send_empty_lines(number: int) -> AsyncIterator[bytes]:
    """Send empty lines where a request should begin."""
    yield b"\r\n" * (ENDLESS_BYTES // 2)


class Crowd:
    """Connections of one kind to one address, which stay open after they have sent.

    Parameters
    ----------
    kind : str
        Name of the kind, one of `crowds`.
    size : int
        Number of connections.
    """

    def __init__(self, kind: str, size: int, host: str, port: int) -> None:
        self.send = crowds[kind]
        self.size = size
        self.host = host
        self.port = port
        self.writers: list[asyncio.StreamWriter] = []

    async def attack(self) -> None:
        """Open all connections, and send on each until it is sent, refused or late."""
        await asyncio.gather(*map(self.attack_once, range(self.size)))

    async def attack_once(self, number: int) -> None:
        """Open one connection and send on it; it stays open."""
        try:
            async with asyncio.timeout(CONNECT_LIMIT_S):
                _, writer = await asyncio.open_connection(self.host, self.port)
        except (OSError, TimeoutError):
            return
        self.writers.append(writer)
        try:
            async with asyncio.timeout(SEND_LIMIT_S):
                async for data in self.send(number):
                    writer.write(data)
                    await writer.drain()
        except (OSError, TimeoutError):
            return

    async def leave(self) -> None:
        """Abort all connections."""
        for writer in self.writers:
            writer.transport.abort()
            writer.close()
        closed = (writer.wait_closed() for writer in self.writers)
        await asyncio.gather(*closed, return_exceptions=True)
