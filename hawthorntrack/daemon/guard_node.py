"""Guard process on the users' platform."""

import time

from hawthorntrack.coordination.leaseholder import LeaseHolder
from hawthorntrack.coordination.target_record import TargetRecord
from hawthorntrack.coordination.zone_reader import ZoneReader
from hawthorntrack.daemon.node import Node
from hawthorntrack.platform.formats import (
    ZONES_OUT_KEYS,
    decode_target_row,
    decode_zones_out,
    encode_target_row,
)
from hawthorntrack.platform.targets import HeartbeatHandler, TargetCalls
from hawthorntrack.state.clock import seconds_awake, seconds_since_boot
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.node_settings import NodeSettings
from hawthorntrack.transport.http_server import HttpServer

GUARD_TICK_S = 0.1


async def run_guard_node(settings: NodeSettings, settings_path: str) -> None:
    """Run a guard until it is stopped."""
    node = Node(settings, settings_path, "guard")
    target_calls = TargetCalls(Mailbox("unbound"))
    target_record = TargetRecord(
        settings.advertised,
        node.store,
        encode_target_row,
        decode_target_row,
        Mailbox("unbound"),
    )
    zone_reader = ZoneReader(
        node.store, ZONES_OUT_KEYS, decode_zones_out, Mailbox("unbound")
    )
    lease_holder = LeaseHolder(
        node.send,
        target_calls.mailbox,
        target_record.mailbox,
        node.drained,
        zone_reader.mailbox,
        seconds_since_boot,
        int(time.time() * 1000),
        settings.lease_times,
        seconds_awake,
        settings.share_room,
    )
    target_calls.replies = target_record.holder = lease_holder.mailbox
    zone_reader.holder = lease_holder.mailbox
    node.bus.listeners.append(lease_holder.mailbox)
    store_watcher = node.add_store_watcher([])
    node.add_routes(lease_holder)
    heartbeat_handler = HeartbeatHandler(lease_holder.mailbox)
    node.servers.append(HttpServer(settings.target, heartbeat_handler.answer))
    actors = [
        *(node.bus, store_watcher, lease_holder, target_calls, target_record),
        zone_reader,
    ]
    await node.run(actors, (lease_holder, GUARD_TICK_S), lease_holder)
