"""An entry instance: takes callers' jobs, keeps nothing."""

import random

from hawthorntrack.coordination.control_view import ControlViewPoller
from hawthorntrack.coordination.job_queries import JobQueryClient
from hawthorntrack.coordination.router import Router
from hawthorntrack.daemon.process import Process
from hawthorntrack.protocol.rows import entries_prefix
from hawthorntrack.state.settings import Settings
from hawthorntrack.transport.callers import CallersApi
from hawthorntrack.transport.web import WebServer

CONTROL_TICK_S = 0.1
ROUTER_TICK_S = 0.02
BUS_TICK_S = 10.0


async def run_entry(settings: Settings) -> None:
    """Run an entry instance until it is stopped.

    Parameters
    ----------
    settings : Settings
        The instance's settings.
    """
    process = Process(settings)
    me, send = process.me, process.sender.send
    questioner = JobQueryClient(settings, send, process.drained)
    router = Router(me.incarnation, settings, send, process.drained)
    prefix = entries_prefix(settings.environment)
    process.add_control(
        ControlViewPoller(
            me,
            prefix,
            settings,
            process.table,
            send,
            [router.mailbox, questioner.mailbox],
            random.Random(settings.seed),
        )
    )
    process.add_routes(router)
    process.add_routes(questioner)
    tasks = {"control": process.control.mailbox, "router": router.mailbox}
    routes = CallersApi(router.mailbox, questioner.mailbox, settings.bounds).routes()
    server = WebServer(settings, process.readiness, tasks, routes)
    try:
        await process.run(
            [
                (process.sender, BUS_TICK_S),
                (process.control, CONTROL_TICK_S),
                (router, ROUTER_TICK_S),
                (questioner, ROUTER_TICK_S),
            ],
            [router, questioner],
            server,
        )
    finally:
        await process.close()
