"""A guard: the process beside a target."""

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
    beats = HeartbeatSender(me, settings, send)
    runner = JobRunner(me.incarnation, settings, send, rng)
    keeper = SlotManager(
        me,
        settings,
        process.table,
        send,
        beats.mailbox,
        runner.mailbox,
        process.drained,
    )
    executor = Executor(me, settings, send, beats.mailbox, process.drained)
    client = TargetClient(executor.mailbox)
    runner.slot_manager, executor.client = keeper.mailbox, client.mailbox
    subscribers = [beats.mailbox, runner.mailbox, keeper.mailbox, executor.mailbox]
    prefix = guards_prefix(settings.environment)
    process.add_control(
        ControlViewPoller(me, prefix, settings, process.table, send, subscribers, rng)
    )
    for actor in (keeper, runner, executor):
        process.add_routes(actor)
    tasks = {
        "control": process.control.mailbox,
        "keeper": keeper.mailbox,
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
                (keeper, SLOT_MANAGER_TICK_S),
                (runner, RUNNER_TICK_S),
                (executor, EXECUTOR_TICK_S),
                (client, 0),
                (beats, settings.timing.beat_interval_s),
            ],
            [keeper, executor],
            server,
            [beats],
        )
    finally:
        await process.close()
