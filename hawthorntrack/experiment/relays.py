"""Relays between processes, by which a trace cuts the connections of two of them."""

import asyncio
import contextlib
import itertools

CHUNK_BYTES = 65_536


class Way:
    """One direction of a line.

    Attributes
    ----------
    whole : asyncio.Event
        Unset while bytes on this way are held, without a word to either end.
    delay_s : float
        By how much each piece is late.
    """

    def __init__(self) -> None:
        self.whole = asyncio.Event()
        self.whole.set()
        self.delay_s = 0.0


class Line:
    """The way from one process to another: open, slow, or cut.

    Parameters
    ----------
    listen, to : str
        ``ip:port`` of the relay, and of the process it leads to.

    Attributes
    ----------
    there, back : Way
        From who connects to the process, and back to it.
    """

    def __init__(self, listen: str, to: str) -> None:
        self.listen = listen
        self.to = to
        self.there = Way()
        self.back = Way()
        self.server: asyncio.Server | None = None
        self.pumps: set[asyncio.Task[None]] = set()
        self.sinks: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Listen."""
        host, _, port = self.listen.rpartition(":")
        self.server = await asyncio.start_server(self.connect, host, int(port))

    async def connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Join a connection with one of its own to the far process."""
        host, _, port = self.to.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        ends = ((reader, far_writer, self.there), (far_reader, writer, self.back))
        for source, sink, way in ends:
            self.sinks.add(sink)
            pump = asyncio.create_task(self.pump(source, sink, way))
            self.pumps.add(pump)
            pump.add_done_callback(self.pumps.discard)

    async def pump(
        self, source: asyncio.StreamReader, sink: asyncio.StreamWriter, way: Way
    ) -> None:
        """Pass bytes on; while the way is cut they are held, and come late."""
        with contextlib.suppress(OSError):
            while data := await source.read(CHUNK_BYTES):
                await asyncio.sleep(way.delay_s)
                await way.whole.wait()
                sink.write(data)
                await sink.drain()
        self.sinks.discard(sink)
        sink.close()

    def cut(self) -> None:
        """Hold what either end sends."""
        self.there.whole.clear()
        self.back.whole.clear()

    def heal(self) -> None:
        """Let everything through at once again; what was held arrives."""
        for way in (self.there, self.back):
            way.whole.set()
            way.delay_s = 0.0

    def reset(self) -> None:
        """Reset the connections that are open."""
        for sink in list(self.sinks):
            sink.transport.abort()

    async def close(self) -> None:
        """End every connection."""
        if self.server is None:
            return
        self.server.close()
        for pump in list(self.pumps):
            pump.cancel()
        await asyncio.gather(*self.pumps, return_exceptions=True)


class Relays:
    """A line for each pair of processes, each way.

    Parameters
    ----------
    addresses : dict of str to str
        The bus address of each process, by name.
    first_port : int
        The lines listen on this port and those after it.
    """

    def __init__(self, addresses: dict[str, str], first_port: int) -> None:
        self.addresses = addresses
        ports = itertools.count(first_port)
        self.lines = {
            (begin, end): Line(f"127.0.0.1:{next(ports)}", addresses[end])
            for begin, end in itertools.permutations(addresses, 2)
        }

    def routes(self, name: str) -> dict[str, str]:
        """Return by which address a process reaches each of the others."""
        return {
            self.addresses[end]: line.listen
            for (begin, end), line in self.lines.items()
            if begin == name
        }

    async def open(self) -> None:
        """Listen on every line."""
        for line in self.lines.values():
            await line.open()

    def cut(self, one: str, other: str) -> None:
        """Cut two processes from each other."""
        for way in ((one, other), (other, one)):
            self.lines[way].cut()

    def heal(self) -> None:
        """Make every line whole; what was held arrives late."""
        for line in self.lines.values():
            line.heal()

    async def close(self) -> None:
        """End every line."""
        for line in self.lines.values():
            await line.close()
