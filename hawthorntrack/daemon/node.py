"""The parts common to entry instances and guards on the users' platform."""

import asyncio
import secrets
import signal
from typing import Any

from hawthorntrack.coordination.store_watcher import StoreWatcher
from hawthorntrack.platform.formats import (
    decode_member_rows,
    decode_operator_rows,
    encode_member,
)
from hawthorntrack.platform.store import PlatformStore
from hawthorntrack.protocol.codec import codecs
from hawthorntrack.protocol.links import Send
from hawthorntrack.protocol.local import Drain, DrainDeadlinePassed, NewerStampSeen
from hawthorntrack.protocol.messages import Envelope, bus_message_types
from hawthorntrack.protocol.run_messages import Hello
from hawthorntrack.state.actor import Actor, Delivery
from hawthorntrack.state.clock import seconds_since_boot
from hawthorntrack.state.directives import Member
from hawthorntrack.state.event_log import log_event
from hawthorntrack.state.mailbox import Mailbox, tick
from hawthorntrack.state.node_settings import NodeSettings, load_node_settings
from hawthorntrack.state.validation import InvalidInput
from hawthorntrack.state.values import Incarnation
from hawthorntrack.transport.http_server import HttpServer, show_metrics
from hawthorntrack.transport.streams import StreamBus

# Part of the grace period that is reserved for closing sockets after the drain, before
# the platform kills the process.
SHUTDOWN_RESERVE_S = 0.9
FLUSH_DELAY_S = 0.05


class Node:
    """The parts common to both roles: links to peers, the store client and lifecycle.

    Parameters
    ----------
    settings : NodeSettings
        The process's settings.
    settings_path : str
        Path of the settings file, which is read again on SIGHUP.
    role : str
        ``entry`` or ``guard``.
    """

    def __init__(self, settings: NodeSettings, settings_path: str, role: str) -> None:
        self.settings = settings
        self.settings_path = settings_path
        self.me = Incarnation(settings.advertised, secrets.token_hex(6))
        self.member = Member(self.me.address, role, settings.zone, settings.node)
        hello = Hello(role, settings.zone, settings.node)
        self.bus = StreamBus(
            self.me, settings.peers, hello, codecs["msgpack"], self.deliver
        )
        self.store = PlatformStore(settings.store)
        self.drained = Mailbox("drained")
        self.routes: dict[type, tuple[Mailbox, ...]] = {}
        self.store_watcher: StoreWatcher | None = None
        self.servers: list[HttpServer] = []
        if settings.metrics:
            self.servers.append(HttpServer(settings.metrics, show_metrics))

    def send(self, address: str, body: Any) -> None:
        """Queue a message to the peer at an address."""
        self.bus.mailbox.put(Send(address, body))

    def add_store_watcher(self, subscribers: list[Mailbox]) -> StoreWatcher:
        """Create the actor that watches the store; it reports to `subscribers`."""
        port = self.settings.peers.rpartition(":")[2]
        self.store_watcher = StoreWatcher(
            self.member,
            self.store,
            decode_operator_rows,
            decode_member_rows,
            encode_member(self.member),
            [f"{host}:{port}" for host in self.settings.seeds],
            self.send,
            self.bus.mailbox,
            subscribers,
            seconds_since_boot,
        )
        self.add_routes(self.store_watcher)
        return self.store_watcher

    def add_routes(self, actor: Actor) -> None:
        """Route messages from peers to `actor` if it handles their type."""
        for kind in bus_message_types(actor.handlers):
            self.routes[kind] = (*self.routes.get(kind, ()), actor.mailbox)

    def deliver(self, envelope: Envelope) -> None:
        """Pass a peer's message to the actors that handle it.

        A stamp newer than this process's own is reported to the store watcher.
        """
        if envelope.stamp > self.store_watcher.stamp:
            self.store_watcher.mailbox.post(
                NewerStampSeen(envelope.sender, envelope.stamp)
            )
        for mailbox in self.routes.get(type(envelope.body), ()):
            mailbox.put(Delivery(envelope.sender, envelope.body))

    async def run(
        self, actors: list[Actor], ticked: tuple[Actor, float], drainer: Actor
    ) -> None:
        """Run until a signal to stop, then drain and close.

        Parameters
        ----------
        actors : list of Actor
            Actors to run.
        ticked : (Actor, float)
            The actor that receives ticks, and their interval in seconds.
        drainer : Actor
            The actor that reports when its work has drained.
        """
        log_event("process:start", node=self.settings.node, process=str(self.me))
        for server in self.servers:
            await server.start()
        signals = self.catch_signals()
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(actor.run()) for actor in actors]
            actor, interval_s = ticked
            tick_work = tick([(actor.mailbox, interval_s)])
            tasks.append(group.create_task(tick_work))
            await self.wait_for_stop(signals)
            drainer.mailbox.put(Drain())
            limit_s = self.settings.grace_s - SHUTDOWN_RESERVE_S
            unfinished = await self.drain(limit_s)
            if unfinished:
                drainer.mailbox.put(DrainDeadlinePassed())
                await asyncio.sleep(FLUSH_DELAY_S)
            for server in self.servers:
                await server.stop()
            await asyncio.sleep(FLUSH_DELAY_S)
            for task in tasks:
                task.cancel()
        await self.store.close()
        log_event("process:stop", node=self.settings.node, drained=not unfinished)

    def catch_signals(self) -> asyncio.Queue[int]:
        """Install signal handlers; return a queue of the signals received."""
        signals: asyncio.Queue[int] = asyncio.Queue()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, signals.put_nowait, number)
        return signals

    async def wait_for_stop(self, signals: asyncio.Queue[int]) -> None:
        """Wait for a signal to stop; reload the settings on each SIGHUP until then."""
        while (number := await signals.get()) == signal.SIGHUP:
            self.reload()
        log_event("process:draining", node=self.settings.node, signal=int(number))

    def reload(self) -> None:
        """Read the settings again and apply the seeds, the only reloadable setting."""
        try:
            new_settings = load_node_settings(self.settings_path)
        except InvalidInput as error:
            log_event("settings:refused", problem=str(error))
            return
        port = new_settings.peers.rpartition(":")[2]
        self.store_watcher.seeds = [f"{host}:{port}" for host in new_settings.seeds]
        log_event("settings:reloaded", seeds=",".join(new_settings.seeds))

    async def drain(self, limit_s: float) -> bool:
        """Wait until the work has drained; return whether some is unfinished."""
        try:
            async with asyncio.timeout(limit_s):
                await self.drained.get()
        except TimeoutError:
            return True
        return False
