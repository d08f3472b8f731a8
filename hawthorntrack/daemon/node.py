"""Wires the layers into an entry instance or a guard on the users' platform."""

import asyncio
import secrets
import signal
import time
from typing import Any

from hawthorntrack.coordination.dispatcher import Dispatcher
from hawthorntrack.coordination.leaseholder import LeaseHolder
from hawthorntrack.coordination.store_watcher import StoreWatcher
from hawthorntrack.coordination.target_record import TargetRecord
from hawthorntrack.platform.entry_http import CallersHandler, ReadinessHandler
from hawthorntrack.platform.formats import (
    decode_member_rows,
    decode_operator_rows,
    decode_target_row,
    encode_member,
    encode_target_row,
)
from hawthorntrack.platform.store import PlatformStore
from hawthorntrack.platform.targets import HeartbeatHandler, TargetCalls
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

DISPATCHER_TICK_S = 0.02  # a refusal is late by at most that much
GUARD_TICK_S = 0.1
SHUTDOWN_RESERVE_S = 0.9  # of the grace: for closing sockets before the kill
FLUSH_DELAY_S = 0.05


class Node:
    """What both roles share: links to peers, the store, and a life.

    Parameters
    ----------
    settings : NodeSettings
        The process's settings.
    settings_path : str
        Their file, which is read again on SIGHUP.
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
        self.follower: StoreWatcher | None = None
        self.servers: list[HttpServer] = []
        if settings.metrics:
            self.servers.append(HttpServer(settings.metrics, show_metrics))

    def send(self, address: str, body: Any) -> None:
        """Send a message to a peer."""
        self.bus.mailbox.put(Send(address, body))

    def add_store_watcher(self, subscribers: list[Mailbox]) -> StoreWatcher:
        """Make the task that follows the store."""
        port = self.settings.peers.rpartition(":")[2]
        self.follower = StoreWatcher(
            self.member,
            self.store,
            decode_operator_rows,
            decode_member_rows,
            encode_member(self.member),
            [f"{host}:{port}" for host in self.settings.seeds],
            self.send,
            self.bus.mailbox,
            subscribers,
        )
        self.add_routes(self.follower)
        return self.follower

    def add_routes(self, actor: Actor) -> None:
        """Have `actor` get the peers' messages that it handles."""
        for kind in bus_message_types(actor.handlers):
            self.routes[kind] = (*self.routes.get(kind, ()), actor.mailbox)

    def deliver(self, envelope: Envelope) -> None:
        """Give a peer's message to its tasks."""
        if envelope.stamp > self.follower.stamp:
            self.follower.mailbox.post(NewerStampSeen(envelope.sender, envelope.stamp))
        for mailbox in self.routes.get(type(envelope.body), ()):
            mailbox.put(Delivery(envelope.sender, envelope.body))

    async def run(
        self, actors: list[Actor], ticked: tuple[Actor, float], drainer: Actor
    ) -> None:
        """Run until SIGTERM and the drain that follows."""
        log_event("process:start", node=self.settings.node, process=str(self.me))
        for server in self.servers:
            await server.start()
        signals = self.catch_signals()
        async with asyncio.TaskGroup() as group:
            tasks = [group.create_task(actor.run()) for actor in actors]
            actor, interval_s = ticked
            ticking = tick([(actor.mailbox, interval_s)])
            tasks.append(group.create_task(ticking))
            await self.wait_for_stop(signals)
            drainer.mailbox.put(Drain())
            limit_s = self.settings.grace_s - SHUTDOWN_RESERVE_S
            left = await self.drain(limit_s)
            if left:
                drainer.mailbox.put(DrainDeadlinePassed())
                await asyncio.sleep(FLUSH_DELAY_S)
            for server in self.servers:
                await server.stop()
            await asyncio.sleep(FLUSH_DELAY_S)
            for task in tasks:
                task.cancel()
        await self.store.close()
        log_event("process:stop", node=self.settings.node, drained=not left)

    def catch_signals(self) -> asyncio.Queue[int]:
        """Return a queue that gets each signal."""
        caught: asyncio.Queue[int] = asyncio.Queue()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.add_signal_handler(number, caught.put_nowait, number)
        return caught

    async def wait_for_stop(self, signals: asyncio.Queue[int]) -> None:
        """Read the settings again on each SIGHUP, until another signal."""
        while (number := await signals.get()) == signal.SIGHUP:
            self.reload()
        log_event("process:draining", node=self.settings.node, signal=int(number))

    def reload(self) -> None:
        """Take over what may change while running: where peers may be."""
        try:
            fresh = load_node_settings(self.settings_path)
        except InvalidInput as error:
            log_event("settings:refused", problem=str(error))
            return
        port = fresh.peers.rpartition(":")[2]
        self.follower.seeds = [f"{host}:{port}" for host in fresh.seeds]
        log_event("settings:reloaded", seeds=",".join(fresh.seeds))

    async def drain(self, limit_s: float) -> bool:
        """Wait until the work is done; return whether some was left."""
        try:
            async with asyncio.timeout(limit_s):
                await self.drained.get()
        except TimeoutError:
            return True
        return False


async def run_entry_node(settings: NodeSettings, settings_path: str) -> None:
    """Run an entry instance until it is stopped."""
    node = Node(settings, settings_path, "entry")
    ready = ReadinessHandler()

    def on_ready(is_ready: bool, reason: str) -> None:
        if is_ready != ready.ready:
            log_event("process:ready" if is_ready else "process:busy", reason=reason)
        ready.ready = is_ready
        front.close_connections = reason == "draining"

    dispatcher = Dispatcher(
        settings.zone,
        settings.far_factor,
        node.send,
        node.bus.mailbox,
        node.drained,
        on_ready,
        seconds_since_boot,
        settings.grace_s - SHUTDOWN_RESERVE_S,
    )
    front = CallersHandler(dispatcher.mailbox)
    node.bus.listeners.append(dispatcher.mailbox)
    follower = node.add_store_watcher([dispatcher.mailbox])
    node.add_routes(dispatcher)
    node.servers += [
        HttpServer(settings.callers, front.answer),
        HttpServer(settings.balancer, ready.answer),
    ]
    await node.run(
        [node.bus, follower, dispatcher], (dispatcher, DISPATCHER_TICK_S), dispatcher
    )


async def run_guard_node(settings: NodeSettings, settings_path: str) -> None:
    """Run a guard until it is stopped."""
    node = Node(settings, settings_path, "guard")
    calls = TargetCalls(Mailbox("unbound"))
    memory = TargetRecord(
        settings.advertised,
        node.store,
        encode_target_row,
        decode_target_row,
        Mailbox("unbound"),
    )
    holder = LeaseHolder(
        node.send,
        calls.mailbox,
        memory.mailbox,
        node.drained,
        seconds_since_boot,
        int(time.time() * 1000),
    )
    calls.replies = memory.holder = holder.mailbox
    node.bus.listeners.append(holder.mailbox)
    follower = node.add_store_watcher([])
    node.add_routes(holder)
    front = HeartbeatHandler(holder.mailbox)
    node.servers.append(HttpServer(settings.target, front.answer))
    actors = [node.bus, follower, holder, calls, memory]
    await node.run(actors, (holder, GUARD_TICK_S), holder)
