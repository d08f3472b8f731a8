"""Wires the layers into an entry instance or a guard on the users' platform."""

import asyncio
import secrets
import signal
import time
from typing import Any

from hawthorntrack.coordination.dispatcher import Dispatcher
from hawthorntrack.coordination.follower import Follower
from hawthorntrack.coordination.leaseholder import LeaseHolder
from hawthorntrack.coordination.remembering import TargetMemory
from hawthorntrack.platform.formats import (
    directives_of,
    member_value,
    members_of,
    remembered_target,
    target_value,
)
from hawthorntrack.platform.front import CallersFront, ReadyFront
from hawthorntrack.platform.store import PlatformStore
from hawthorntrack.platform.targets import HeartbeatFront, TargetCalls
from hawthorntrack.protocol.codec import codecs
from hawthorntrack.protocol.dispatch import Hello
from hawthorntrack.protocol.links import Send
from hawthorntrack.protocol.local import Drain, DrainOver, StampSeen
from hawthorntrack.protocol.messages import Envelope, of_the_bus
from hawthorntrack.state.actor import Actor, Delivery
from hawthorntrack.state.checking import InvalidInput
from hawthorntrack.state.clock import elapsed_with_suspension
from hawthorntrack.state.directives import Member
from hawthorntrack.state.events import log_event
from hawthorntrack.state.mailbox import Mailbox, tick
from hawthorntrack.state.node import NodeSettings, load_node_settings
from hawthorntrack.state.values import Incarnation
from hawthorntrack.transport.serving import HttpServer, show_metrics
from hawthorntrack.transport.streams import StreamBus

DISPATCHER_TICK_S = 0.02  # a refusal is late by at most that much
GUARD_TICK_S = 0.1
STOP_RESERVE_S = 0.9  # of the grace: for closing sockets before the kill
FLUSH_S = 0.05


class Node:
    """What both roles share: links to peers, the store, and a life.

    Parameters
    ----------
    settings : NodeSettings
        The process's settings.
    path : str
        Their file, which is read again on SIGHUP.
    role : str
        ``entry`` or ``guard``.
    """

    def __init__(self, settings: NodeSettings, path: str, role: str) -> None:
        self.settings = settings
        self.path = path
        self.me = Incarnation(settings.advertised, secrets.token_hex(6))
        self.member = Member(self.me.address, role, settings.zone, settings.node)
        hello = Hello(role, settings.zone, settings.node)
        self.bus = StreamBus(
            self.me, settings.peers, hello, codecs["msgpack"], self.deliver
        )
        self.store = PlatformStore(settings.store)
        self.drained = Mailbox("drained")
        self.routes: dict[type, tuple[Mailbox, ...]] = {}
        self.follower: Follower | None = None
        self.servers: list[HttpServer] = []
        if settings.metrics:
            self.servers.append(HttpServer(settings.metrics, show_metrics))

    def send(self, address: str, body: Any) -> None:
        """Send a message to a peer."""
        self.bus.mailbox.put(Send(address, body))

    def follow(self, subscribers: list[Mailbox]) -> Follower:
        """Make the task that follows the store."""
        port = self.settings.peers.rpartition(":")[2]
        self.follower = Follower(
            self.member,
            self.store,
            directives_of,
            members_of,
            member_value(self.member),
            [f"{host}:{port}" for host in self.settings.seeds],
            self.send,
            self.bus.mailbox,
            subscribers,
        )
        self.route(self.follower)
        return self.follower

    def route(self, actor: Actor) -> None:
        """Have `actor` get the peers' messages that it handles."""
        for kind in of_the_bus(actor.handlers):
            self.routes[kind] = (*self.routes.get(kind, ()), actor.mailbox)

    def deliver(self, envelope: Envelope) -> None:
        """Give a peer's message to its tasks."""
        if envelope.stamp > self.follower.stamp:
            self.follower.mailbox.post(StampSeen(envelope.sender, envelope.stamp))
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
            await self.until_stopped(signals)
            drainer.mailbox.put(Drain())
            limit_s = self.settings.grace_s - STOP_RESERVE_S
            left = await self.drain(limit_s)
            if left:
                drainer.mailbox.put(DrainOver())
                await asyncio.sleep(FLUSH_S)
            for server in self.servers:
                await server.stop()
            await asyncio.sleep(FLUSH_S)
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

    async def until_stopped(self, signals: asyncio.Queue[int]) -> None:
        """Read the settings again on each SIGHUP, until another signal."""
        while (number := await signals.get()) == signal.SIGHUP:
            self.reload()
        log_event("process:draining", node=self.settings.node, signal=int(number))

    def reload(self) -> None:
        """Take over what may change while running: where peers may be."""
        try:
            fresh = load_node_settings(self.path)
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


async def run_entry_node(settings: NodeSettings, path: str) -> None:
    """Run an entry instance until it is stopped."""
    node = Node(settings, path, "entry")
    ready = ReadyFront()

    def on_ready(is_ready: bool, reason: str) -> None:
        if is_ready != ready.ready:
            log_event("process:ready" if is_ready else "process:busy", reason=reason)
        ready.ready = is_ready
        front.closing = reason == "draining"

    dispatcher = Dispatcher(
        settings.zone,
        settings.far_factor,
        node.send,
        node.bus.mailbox,
        node.drained,
        on_ready,
        elapsed_with_suspension,
        settings.grace_s - STOP_RESERVE_S,
    )
    front = CallersFront(dispatcher.mailbox)
    node.bus.listeners.append(dispatcher.mailbox)
    follower = node.follow([dispatcher.mailbox])
    node.route(dispatcher)
    node.servers += [
        HttpServer(settings.callers, front.answer),
        HttpServer(settings.balancer, ready.answer),
    ]
    await node.run(
        [node.bus, follower, dispatcher], (dispatcher, DISPATCHER_TICK_S), dispatcher
    )


async def run_guard_node(settings: NodeSettings, path: str) -> None:
    """Run a guard until it is stopped."""
    node = Node(settings, path, "guard")
    calls = TargetCalls(Mailbox("unbound"))
    memory = TargetMemory(
        settings.advertised,
        node.store,
        target_value,
        remembered_target,
        Mailbox("unbound"),
    )
    holder = LeaseHolder(
        node.send,
        calls.mailbox,
        memory.mailbox,
        node.drained,
        elapsed_with_suspension,
        int(time.time() * 1000),
    )
    calls.replies = memory.holder = holder.mailbox
    node.bus.listeners.append(holder.mailbox)
    follower = node.follow([])
    node.route(holder)
    front = HeartbeatFront(holder.mailbox)
    node.servers.append(HttpServer(settings.target, front.answer))
    actors = [node.bus, follower, holder, calls, memory]
    await node.run(actors, (holder, GUARD_TICK_S), holder)
