"""Entry instance process: passes callers' jobs to their owners, and stores nothing."""

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
    job_query_client = JobQueryClient(settings, send, process.drained)
    router = Router(me.incarnation, settings, send, process.drained)
    prefix = entries_prefix(settings.environment)
    process.add_control(
        ControlViewPoller(
            me,
            prefix,
            settings,
            process.table,
            send,
            [router.mailbox, job_query_client.mailbox],
            random.Random(settings.seed),
        )
    )
    process.add_routes(router)
    process.add_routes(job_query_client)
    tasks = {"control": process.control.mailbox, "router": router.mailbox}
    routes = CallersApi(
        router.mailbox, job_query_client.mailbox, settings.bounds
    ).routes()
    server = WebServer(settings, process.readiness, tasks, routes)
    try:
        await process.run(
            [
                (process.sender, BUS_TICK_S),
                (process.control, CONTROL_TICK_S),
                (router, ROUTER_TICK_S),
                (job_query_client, ROUTER_TICK_S),
            ],
            [router, job_query_client],
            server,
        )
    finally:
        await process.close()
