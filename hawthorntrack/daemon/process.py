"""What entry instances and guards have in common: the bus, and a life."""

import asyncio
import secrets
import signal
from collections.abc import Iterable
from typing import Any

import zmq.asyncio
from eliot import log_message
from transitions import Machine

from hawthorntrack.coordination.control_view import ControlViewPoller
from hawthorntrack.protocol import local
from hawthorntrack.protocol.codec import codecs
from hawthorntrack.protocol.messages import Envelope, bus_message_types
from hawthorntrack.state.actor import Actor, Delivery
from hawthorntrack.state.mailbox import Mailbox, tick
from hawthorntrack.state.metrics import BAD_INPUT
from hawthorntrack.state.naming import exposed_name
from hawthorntrack.state.settings import Settings
from hawthorntrack.state.values import GuardInfo, Incarnation
from hawthorntrack.transport.bus import BusReceiver, BusSender, StampChanged
from hawthorntrack.transport.table_client import HttpTable, table_from_settings
from hawthorntrack.transport.web import Readiness, WebServer

FLUSH_DELAY_S = 0.3
LIFECYCLE_TRANSITIONS = (
    {"trigger": "become_ready", "source": "starting", "dest": "serving"},
    {"trigger": "begin_drain", "source": ["starting", "serving"], "dest": "draining"},
    {"trigger": "finish", "source": "draining", "dest": "stopped"},
)


class ProcessLifecycle:
    """The life of a process, from starting to stopped."""

    def __init__(self) -> None:
        self.state = "starting"
        self.machine = Machine(
            model=self,
            states=["starting", "serving", "draining", "stopped"],
            transitions=list(LIFECYCLE_TRANSITIONS),
            initial="starting",
            auto_transitions=False,
        )


class Process:
    """The parts of one process and the messages between them.

    Parameters
    ----------
    settings : Settings
        The process's settings.

    Attributes
    ----------
    routes : dict
        The mailboxes that get each type of bus message.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.me = GuardInfo(
            Incarnation(settings.bus, secrets.token_hex(6)),
            settings.place,
            settings.http,
            False,
        )
        self.lifecycle = ProcessLifecycle()
        self.readiness = Readiness()
        self.table: HttpTable = table_from_settings(settings)
        self.drained = Mailbox("drained")
        context = zmq.asyncio.Context()
        self.context = context
        self.sender = BusSender(
            context,
            codecs["msgpack"],
            self.me.incarnation,
            self.deliver_local,
            settings.routes,
        )
        self.receiver = BusReceiver(
            context, codecs["msgpack"], self.me.incarnation, self.deliver
        )
        self.routes: dict[type, tuple[Mailbox, ...]] = {}
        self.control: ControlViewPoller | None = None

    def add_control(self, control: ControlViewPoller) -> None:
        """Add the control task and tell the bus of each new stamp."""
        self.control = control
        control.subscribers.append(StampRelay(self.sender.mailbox))
        control.on_ready = self.become_ready
        self.add_routes(control)

    def add_routes(self, actor: Actor) -> None:
        """Have `actor` get the bus messages that it handles."""
        for kind in bus_message_types(actor.handlers):
            self.routes[kind] = (*self.routes.get(kind, ()), actor.mailbox)

    def become_ready(self) -> None:
        """Take requests from now on."""
        if self.lifecycle.state == "starting":
            self.lifecycle.become_ready()
            self.readiness.set(True)
            log_message("process:ready", process=str(self.me.incarnation))

    def deliver(self, envelope: Envelope) -> None:
        """Give a message from the bus to its tasks."""
        if envelope.stamp > self.control.view.stamp:
            self.control.mailbox.post(
                local.NewerStampSeen(envelope.sender, envelope.stamp)
            )
        self.deliver_local(envelope.sender, envelope.body)

    def deliver_local(self, sender: Incarnation, body: Any) -> None:
        """Give a message to its tasks."""
        mailboxes = self.routes.get(type(body), ())
        if not mailboxes:
            BAD_INPUT.labels(edge="bus", reason="not_for_this_role").inc()
        for mailbox in mailboxes:
            mailbox.post(Delivery(sender, body))

    async def run(
        self,
        actors: list[tuple[Actor, float]],
        drainers: list[Actor],
        server: WebServer,
        told: Iterable[Actor] = (),
    ) -> None:
        """Run until SIGTERM and the drain that follows.

        Parameters
        ----------
        actors : list of (Actor, float)
            Tasks with their tick interval in seconds; 0 for none.
        drainers : list of Actor
            Tasks that report when they have drained.
        server : WebServer
            The process's HTTP side.
        told : iterable of Actor
            Tasks that are told of a drain and have nothing to report.
        """
        await server.start()
        stop = self.stop_on_signals()
        async with asyncio.TaskGroup() as group:
            running = [group.create_task(self.receiver.run())]
            ticking = [(actor.mailbox, span_s) for actor, span_s in actors if span_s]
            running += [group.create_task(actor.run()) for actor, _ in actors]
            running.append(group.create_task(tick(ticking)))
            group.create_task(
                self.drain_and_stop(stop, running, drainers, server, told)
            )

    def stop_on_signals(self) -> asyncio.Queue[int]:
        """Return a queue that gets each signal to stop."""
        stop: asyncio.Queue[int] = asyncio.Queue()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.put_nowait, number)
        return stop

    async def drain_and_stop(
        self,
        stop: asyncio.Queue[int],
        running: list[asyncio.Task[None]],
        drainers: list[Actor],
        server: WebServer,
        told: Iterable[Actor],
    ) -> None:
        """Wait for a signal, drain, deregister, and cancel the tasks."""
        await stop.get()
        self.lifecycle.begin_drain()
        self.readiness.set(False, "draining")
        log_message("process:draining", process=str(self.me.incarnation))
        for actor in (self.control, *told, *drainers):
            actor.mailbox.put(local.Drain())
        left = await self.drain(stop, {exposed_name(type(actor)) for actor in drainers})
        await server.stop()
        await asyncio.sleep(FLUSH_DELAY_S)
        await self.control.deregister()
        self.lifecycle.finish()
        log_message(
            "process:stopped",
            process=str(self.me.incarnation),
            unfinished=",".join(sorted(left)) or "none",
        )
        for task in running:
            task.cancel()

    async def drain(self, stop: asyncio.Queue[int], left: set[str]) -> set[str]:
        """Wait until all have drained; return who has not.

        Explanation
        -----------
        A second signal, or the limit from the settings, ends the wait.
        """
        signalled = asyncio.create_task(stop.get())
        loop = asyncio.get_running_loop()
        limit = loop.time() + self.settings.timing.drain_limit_s
        while left and not signalled.done() and loop.time() < limit:
            reported = asyncio.create_task(self.drained.get())
            await asyncio.wait(
                (reported, signalled),
                timeout=limit - loop.time(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if reported.done():
                left.discard(reported.result().task)
            else:
                reported.cancel()
        signalled.cancel()
        return left

    async def close(self) -> None:
        """Close what the process opened."""
        await self.table.close()
        self.context.destroy(linger=0)


class StampRelay:
    """Passes the stamp of each new view on to the bus."""

    def __init__(self, mailbox: Mailbox) -> None:
        self.mailbox = mailbox
        self.stamp = 0

    def put(self, change: local.ViewChanged) -> None:
        """Put in the stamp, if it changed."""
        if change.view.stamp != self.stamp:
            self.stamp = change.view.stamp
            self.mailbox.put(StampChanged(self.stamp))
