"""A link in front of one process: passes on, or cuts, what its peers send to it."""

import asyncio
import contextlib
import time

CHUNK = 65_536
# A connection whose bytes get no acknowledgement for this long is given up by the
# kernel; the processes ask for it with TCP_USER_TIMEOUT.
UNACKED_S = 2.0


class Link:
    """Listens in place of a process, and knows by whom each connection was opened.

    Explanation
    -----------
    The first message on a connection names its sender, so the first bytes are searched
    for the address of each process.
    """

    def __init__(self, listen: str, destination: str, cuts: "Cuts") -> None:
        self.listen, self.destination, self.cuts = listen, destination, cuts
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()

    async def open(self) -> None:
        """Begin to listen."""
        host, _, port = self.listen.rpartition(":")
        self.server = await asyncio.start_server(self.connect, host, int(port))

    async def connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Pass a connection on, once its first bytes have told who opened it."""
        task = asyncio.current_task()
        self.tasks.add(task)
        with contextlib.suppress(OSError, asyncio.CancelledError):
            await self.pass_on(reader, writer)
        self.tasks.discard(task)

    async def pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Copy the bytes of one connection in both directions until it ends."""
        first = await reader.read(CHUNK)
        opener = self.cuts.who_sent(first)
        host, _, port = self.destination.rpartition(":")
        if await self.cuts.lost(opener, self.listen):
            writer.transport.abort()
            return
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        far_writer.write(first)
        copies = [
            asyncio.create_task(self.copy(reader, far_writer, opener)),
            asyncio.create_task(self.copy(far_reader, writer, opener)),
        ]
        self.tasks.update(copies)
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            writer.transport.abort()
            far_writer.transport.abort()
            for copy in copies:
                copy.cancel()
                copy.add_done_callback(self.tasks.discard)

    async def copy(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, opener: str
    ) -> None:
        """Copy bytes; those that a cut holds for too long are lost."""
        with contextlib.suppress(OSError):
            while data := await source.read(CHUNK):
                if await self.cuts.lost(opener, self.listen):
                    return
                sink.write(data)
                await sink.drain()

    async def close(self) -> None:
        """Stop to listen, and end every connection."""
        if self.server is not None:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Cuts:
    """Which processes are cut off from all others now."""

    def __init__(self) -> None:
        self.addresses: list[str] = []
        self.away: set[str] = set()

    def who_sent(self, first: bytes) -> str:
        """Return the address that the first bytes of a connection name."""
        found = [a for a in self.addresses if a.encode() in first]
        return max(found, key=len, default="")

    async def lost(self, one: str, other: str) -> bool:
        """Wait while two processes are cut off; return whether the bytes are lost."""
        since = time.monotonic()
        while self.away & {one, other}:
            if time.monotonic() - since > UNACKED_S:
                return True
            await asyncio.sleep(0.01)
        return False
