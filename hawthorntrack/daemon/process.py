"""Parts common to entry instances and guards: message bus, lifecycle and drain."""

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
    """State machine of a process: starting, serving, draining, stopped."""

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
    """The actors of one process and the routing of messages between them.

    Parameters
    ----------
    settings : Settings
        The process's settings.

    Attributes
    ----------
    routes : dict
        The mailboxes that receive each type of bus message.
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
        """Add the control view poller, and pass its stamps to the bus sender."""
        self.control = control
        control.subscribers.append(StampRelay(self.sender.mailbox))
        control.on_ready = self.become_ready
        self.add_routes(control)

    def add_routes(self, actor: Actor) -> None:
        """Route bus messages to `actor` if it handles their type."""
        for kind in bus_message_types(actor.handlers):
            self.routes[kind] = (*self.routes.get(kind, ()), actor.mailbox)

    def become_ready(self) -> None:
        """Accept requests if the process is still starting."""
        if self.lifecycle.state == "starting":
            self.lifecycle.become_ready()
            self.readiness.set(True)
            log_message("process:ready", process=str(self.me.incarnation))

    def deliver(self, envelope: Envelope) -> None:
        """Pass a message from the bus to the actors that handle it.

        A stamp newer than that of this process's view is reported to the poller.
        """
        if envelope.stamp > self.control.view.stamp:
            self.control.mailbox.post(
                local.NewerStampSeen(envelope.sender, envelope.stamp)
            )
        self.deliver_local(envelope.sender, envelope.body)

    def deliver_local(self, sender: Incarnation, body: Any) -> None:
        """Pass a message to its actors; count it as bad input if it has none."""
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
        notified: Iterable[Actor] = (),
    ) -> None:
        """Run until a signal to stop, then drain and close.

        Parameters
        ----------
        actors : list of (Actor, float)
            Actors with their tick interval in seconds; 0 for no ticks.
        drainers : list of Actor
            Actors that are notified of a drain and report when they have drained.
        server : WebServer
            The process's HTTP server.
        notified : iterable of Actor
            Actors that are notified of a drain and do not report.
        """
        await server.start()
        stop = self.stop_on_signals()
        async with asyncio.TaskGroup() as group:
            running = [group.create_task(self.receiver.run())]
            ticking = [
                (actor.mailbox, interval_s)
                for actor, interval_s in actors
                if interval_s
            ]
            running += [group.create_task(actor.run()) for actor, _ in actors]
            running.append(group.create_task(tick(ticking)))
            group.create_task(
                self.drain_and_stop(stop, running, drainers, server, notified)
            )

    def stop_on_signals(self) -> asyncio.Queue[int]:
        """Install signal handlers; return a queue of the signals to stop."""
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
        notified: Iterable[Actor],
    ) -> None:
        """Wait for a signal, drain, deregister, and cancel the tasks."""
        await stop.get()
        self.lifecycle.begin_drain()
        self.readiness.set(False, "draining")
        log_message("process:draining", process=str(self.me.incarnation))
        for actor in (self.control, *notified, *drainers):
            actor.mailbox.put(local.Drain())
        unfinished = await self.drain(
            stop, {exposed_name(type(actor)) for actor in drainers}
        )
        await server.stop()
        await asyncio.sleep(FLUSH_DELAY_S)
        await self.control.deregister()
        self.lifecycle.finish()
        log_message(
            "process:stopped",
            process=str(self.me.incarnation),
            unfinished=",".join(sorted(unfinished)) or "none",
        )
        for task in running:
            task.cancel()

    async def drain(self, stop: asyncio.Queue[int], unfinished: set[str]) -> set[str]:
        """Wait until the named actors have drained; return those that have not.

        Explanation
        -----------
        A second signal, or the time limit in the settings, ends the wait.
        """
        second_signal = asyncio.create_task(stop.get())
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self.settings.timing.drain_limit_s
        while unfinished and not second_signal.done() and loop.time() < deadline:
            report = asyncio.create_task(self.drained.get())
            await asyncio.wait(
                (report, second_signal),
                timeout=deadline - loop.time(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if report.done():
                unfinished.discard(report.result().task)
            else:
                report.cancel()
        second_signal.cancel()
        return unfinished

    async def close(self) -> None:
        """Close the table client and the sockets of the bus."""
        await self.table.close()
        self.context.destroy(linger=0)


class StampRelay:
    """Passes the configuration stamp of each new view to the bus sender.

    It is used in place of a mailbox among the poller's subscribers.
    """

    def __init__(self, mailbox: Mailbox) -> None:
        self.mailbox = mailbox
        self.stamp = 0

    def put(self, change: local.ViewChanged) -> None:
        """Send the view's stamp to the bus sender if it has changed."""
        if change.view.stamp != self.stamp:
            self.stamp = change.view.stamp
            self.mailbox.put(StampChanged(self.stamp))
