"""Entry instance process on the users' platform."""

from hawthorntrack.coordination.dispatcher import Dispatcher
from hawthorntrack.daemon.node import SHUTDOWN_RESERVE_S, Node
from hawthorntrack.platform.entry_http import CallersHandler, ReadinessHandler
from hawthorntrack.state.clock import seconds_since_boot
from hawthorntrack.state.event_log import log_event
from hawthorntrack.state.node_settings import NodeSettings
from hawthorntrack.transport.connection_gate import ConnectionLimits
from hawthorntrack.transport.http_server import HttpServer

DISPATCHER_TICK_S = 0.02  # upper bound on the delay of a refusal


async def run_entry_node(settings: NodeSettings, settings_path: str) -> None:
    """Run an entry instance until it is stopped."""
    node = Node(settings, settings_path, "entry")
    readiness = ReadinessHandler()

    def on_ready(is_ready: bool, reason: str) -> None:
        if is_ready != readiness.ready:
            log_event("process:ready" if is_ready else "process:busy", reason=reason)
        readiness.ready = is_ready
        callers_handler.close_connections = reason == "draining"

    dispatcher = Dispatcher(
        settings.zone,
        settings.far_factor,
        node.send,
        node.bus.mailbox,
        node.drained,
        on_ready,
        seconds_since_boot,
        settings.grace_s - SHUTDOWN_RESERVE_S,
        settings.lease_times,
        settings.advertised,
        settings.max_guard_links,
        settings.share_room,
    )
    callers_handler = CallersHandler(dispatcher.mailbox)
    limits = ConnectionLimits(
        settings.max_caller_connections, settings.max_long_requests
    )
    node.bus.listeners.append(dispatcher.mailbox)
    store_watcher = node.add_store_watcher([dispatcher.mailbox])
    node.add_routes(dispatcher)
    node.servers += [
        HttpServer(settings.callers, callers_handler.answer, limits),
        HttpServer(settings.balancer, readiness.answer),
    ]
    await node.run(
        [node.bus, store_watcher, dispatcher],
        (dispatcher, DISPATCHER_TICK_S),
        dispatcher,
    )
