"""Guard process: owns slots, runs jobs and executes tasks on the target beside it."""

import random

from hawthorntrack.coordination.control_view import ControlViewPoller
from hawthorntrack.coordination.executor import Executor
from hawthorntrack.coordination.heartbeats import HeartbeatSender
from hawthorntrack.coordination.runner import JobRunner
from hawthorntrack.coordination.slot_manager import SlotManager
from hawthorntrack.daemon.process import Process
from hawthorntrack.protocol.rows import guards_prefix
from hawthorntrack.state.settings import Settings
from hawthorntrack.transport.announcements import AnnouncementsApi
from hawthorntrack.transport.target_client import TargetClient
from hawthorntrack.transport.web import WebServer

CONTROL_TICK_S = 0.2
SLOT_MANAGER_TICK_S = 0.1
RUNNER_TICK_S = 0.1
EXECUTOR_TICK_S = 0.2
BUS_TICK_S = 10.0


async def run_guard(settings: Settings) -> None:
    """Run a guard until it is stopped.

    Parameters
    ----------
    settings : Settings
        The guard's settings.
    """
    process = Process(settings)
    me, send = process.me, process.sender.send
    rng = random.Random(settings.seed)
    heartbeat_sender = HeartbeatSender(me, settings, send)
    runner = JobRunner(me.incarnation, settings, send, rng)
    slot_manager = SlotManager(
        me,
        settings,
        process.table,
        send,
        heartbeat_sender.mailbox,
        runner.mailbox,
        process.drained,
    )
    executor = Executor(me, settings, send, heartbeat_sender.mailbox, process.drained)
    client = TargetClient(executor.mailbox)
    runner.slot_manager, executor.client = slot_manager.mailbox, client.mailbox
    subscribers = [
        heartbeat_sender.mailbox,
        runner.mailbox,
        slot_manager.mailbox,
        executor.mailbox,
    ]
    prefix = guards_prefix(settings.environment)
    process.add_control(
        ControlViewPoller(me, prefix, settings, process.table, send, subscribers, rng)
    )
    for actor in (slot_manager, runner, executor):
        process.add_routes(actor)
    tasks = {
        "control": process.control.mailbox,
        "keeper": slot_manager.mailbox,
        "runner": runner.mailbox,
        "executor": executor.mailbox,
    }
    routes = AnnouncementsApi(executor.mailbox).routes()
    server = WebServer(settings, process.readiness, tasks, routes)
    try:
        await process.run(
            [
                (process.sender, BUS_TICK_S),
                (process.control, CONTROL_TICK_S),
                (slot_manager, SLOT_MANAGER_TICK_S),
                (runner, RUNNER_TICK_S),
                (executor, EXECUTOR_TICK_S),
                (client, 0),
                (heartbeat_sender, settings.timing.beat_interval_s),
            ],
            [slot_manager, executor],
            server,
            [heartbeat_sender],
        )
    finally:
        await process.close()
