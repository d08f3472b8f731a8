"""TCP relays between processes, which delay, cut or reset their connections."""

import asyncio
import contextlib
import itertools

CHUNK_BYTES = 65_536


class Direction:
    """State of one direction of a relay.

    Attributes
    ----------
    flowing : asyncio.Event
        Cleared while bytes are held back; neither end receives an error.
    delay_s : float
        Delay before each chunk is passed on.
    """

    def __init__(self) -> None:
        self.flowing = asyncio.Event()
        self.flowing.set()
        self.delay_s = 0.0


class Relay:
    """Relay that passes TCP connections on to one process.

    Parameters
    ----------
    listen, destination : str
        ``ip:port`` of the relay, and of the process that it leads to.

    Attributes
    ----------
    forward, backward : Direction
        From the connecting client to the process, and from the process to the client.
    """

    def __init__(self, listen: str, destination: str) -> None:
        self.listen = listen
        self.destination = destination
        self.forward = Direction()
        self.backward = Direction()
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def open(self) -> None:
        """Start to accept connections."""
        host, _, port = self.listen.rpartition(":")
        self.server = await asyncio.start_server(self.connect, host, int(port))

    async def connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Open a connection to the destination, and copy bytes both ways."""
        host, _, port = self.destination.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        except asyncio.CancelledError:
            writer.transport.abort()
            raise
        ends = ((reader, far_writer, self.forward), (far_reader, writer, self.backward))
        for source, sink, direction in ends:
            self.writers.add(sink)
            task = asyncio.create_task(self.copy(source, sink, direction))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def copy(
        self,
        source: asyncio.StreamReader,
        sink: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        """Copy bytes; during a cut they are held, and passed on after it."""
        with contextlib.suppress(OSError):
            while data := await source.read(CHUNK_BYTES):
                await asyncio.sleep(direction.delay_s)
                await direction.flowing.wait()
                sink.write(data)
                await sink.drain()
        self.writers.discard(sink)
        sink.close()

    def cut(self) -> None:
        """Hold back bytes in both directions."""
        self.forward.flowing.clear()
        self.backward.flowing.clear()

    def heal(self) -> None:
        """End the cut and the delay; held bytes are passed on."""
        for direction in (self.forward, self.backward):
            direction.flowing.set()
            direction.delay_s = 0.0

    def reset(self) -> None:
        """Reset the open connections."""
        for sink in list(self.writers):
            sink.transport.abort()

    async def close(self) -> None:
        """Stop listening and end every connection."""
        if self.server is None:
            return
        self.server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


class Relays:
    """A relay for each ordered pair of processes.

    Parameters
    ----------
    addresses : dict of str to str
        The bus address of each process, by name.
    first_port : int
        First of the consecutive ports that the relays listen on.
    """

    def __init__(self, addresses: dict[str, str], first_port: int) -> None:
        self.addresses = addresses
        ports = itertools.count(first_port)
        self.relays = {
            (begin, end): Relay(f"127.0.0.1:{next(ports)}", addresses[end])
            for begin, end in itertools.permutations(addresses, 2)
        }

    def routes(self, name: str) -> dict[str, str]:
        """Return the relay address by which a process reaches each other process."""
        return {
            self.addresses[end]: relay.listen
            for (begin, end), relay in self.relays.items()
            if begin == name
        }

    async def open(self) -> None:
        """Start every relay."""
        for relay in self.relays.values():
            await relay.open()

    def cut(self, one: str, other: str) -> None:
        """Hold back bytes between two processes in both directions."""
        for direction in ((one, other), (other, one)):
            self.relays[direction].cut()

    def heal(self) -> None:
        """End every cut; held bytes are passed on."""
        for relay in self.relays.values():
            relay.heal()

    async def close(self) -> None:
        """Close every relay."""
        for relay in self.relays.values():
            await relay.close()
