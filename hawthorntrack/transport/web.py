"""HTTP server of a process: health, readiness, metrics, status and request limits."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping

import msgspec
from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from hawthorntrack.protocol import local
from hawthorntrack.protocol.bodies import answer_body, answer_status
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.metrics import BAD_INPUT, REFUSALS
from hawthorntrack.state.outcomes import (
    BAD_REQUEST,
    BODY_TOO_LARGE,
    QUEUE_FULL,
    kinds,
    refuse,
    unknown,
)
from hawthorntrack.state.settings import Settings
from hawthorntrack.state.values import Answer

BODY_TIMEOUT_S = 5.0
STATUS_TIMEOUT_S = 1.0
KEEPALIVE_S = 75.0
SHUTDOWN_TIMEOUT_S = 5.0
JSON_TYPE = "application/json"

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Readiness:
    """Whether a process accepts requests, as the load balancer's check sees it."""

    def __init__(self) -> None:
        self.ready = False
        self.reason = "starting"

    def set(self, ready: bool, reason: str = "") -> None:
        """Set the readiness, and the reason if the process is not ready."""
        self.ready = ready
        self.reason = reason


class WebServer:
    """HTTP server of a process; owns the listening socket.

    Parameters
    ----------
    settings : Settings
        Settings with the address to listen on and the limits of requests.
    readiness : Readiness
        The readiness that ``/readyz`` reports.
    tasks : mapping of str to Mailbox
        Actors that ``/status`` queries, by their name on that page.
    routes : list of web.RouteDef
        The routes of this kind of process.
    """

    def __init__(
        self,
        settings: Settings,
        readiness: Readiness,
        tasks: Mapping[str, Mailbox],
        routes: list[web.RouteDef],
    ) -> None:
        self.settings = settings
        self.readiness = readiness
        self.tasks = tasks
        self.runner: web.AppRunner | None = None
        self.app = web.Application(
            client_max_size=settings.bounds.body_bytes,
            middlewares=[self.enforce_bounds],
        )
        self.app.add_routes(
            [
                web.get("/healthz", self.healthz),
                web.get("/readyz", self.readyz),
                web.get("/metrics", self.metrics),
                web.get("/status", self.status),
                *routes,
            ]
        )

    @web.middleware
    async def enforce_bounds(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Refuse requests that exceed a limit or match no route, as JSON answers."""
        connections = len(self.runner.server.connections)
        if connections > self.settings.bounds.connections:
            REFUSALS.labels(kind=QUEUE_FULL.name).inc()
            is_query = request.method != "POST"
            answer = unknown(QUEUE_FULL) if is_query else refuse(QUEUE_FULL)
            response = answer_response("", answer)
            response.force_close()
            return response
        try:
            return await handler(request)
        except web.HTTPRequestEntityTooLarge:
            return bad_input_response("body_size", refuse(BODY_TOO_LARGE))
        except web.HTTPException as error:
            if error.status < 400:
                raise
            answer = refuse(BAD_REQUEST, f"{error.reason}.")
            return bad_input_response("route", answer, status=error.status)

    async def start(self) -> None:
        """Open the socket and accept requests."""
        self.runner = web.AppRunner(
            self.app,
            access_log=None,
            keepalive_timeout=KEEPALIVE_S,
            shutdown_timeout=SHUTDOWN_TIMEOUT_S,
        )
        await self.runner.setup()
        host, _, port = self.settings.http.rpartition(":")
        site = web.TCPSite(self.runner, host.strip("[]"), int(port), backlog=1024)
        await site.start()

    async def stop(self) -> None:
        """Close the socket; open requests get `SHUTDOWN_TIMEOUT_S` to finish."""
        await self.runner.cleanup()

    async def healthz(self, request: web.Request) -> web.Response:
        """Answer that the process runs."""
        return web.Response(text="ok\n")

    async def readyz(self, request: web.Request) -> web.Response:
        """Answer whether the process accepts requests."""
        ready = self.readiness.ready
        text = "ready\n" if ready else f"{self.readiness.reason}\n"
        return web.Response(text=text, status=200 if ready else 503)

    async def metrics(self, request: web.Request) -> web.Response:
        """Answer with the process's metrics in the format of Prometheus."""
        headers = {"Content-Type": CONTENT_TYPE_LATEST}
        return web.Response(body=generate_latest(), headers=headers)

    async def status(self, request: web.Request) -> web.Response:
        """Answer with each actor's status, or null if it does not reply in time."""
        loop = asyncio.get_running_loop()
        replies = {name: loop.create_future() for name in self.tasks}
        for name, reply in replies.items():
            self.tasks[name].post(local.GetStatus(reply))
        await asyncio.wait(replies.values(), timeout=STATUS_TIMEOUT_S)
        statuses = {
            name: reply.result() if reply.done() else None
            for name, reply in replies.items()
        }
        return web.Response(body=msgspec.json.encode(statuses), content_type=JSON_TYPE)


async def read_body(request: web.Request) -> bytes | None:
    """Return a request's body, or None if it is not received in time."""
    try:
        return await asyncio.wait_for(request.read(), BODY_TIMEOUT_S)
    except TimeoutError:
        return None


def answer_response(
    key: str, answer: Answer, status: int | None = None
) -> web.Response:
    """Return the response for an answer; refusals may carry `Retry-After`."""
    headers = {}
    if answer.status == "refused" and kinds[answer.kind].retry_after_s:
        headers["Retry-After"] = str(kinds[answer.kind].retry_after_s)
    return web.Response(
        body=msgspec.json.encode(answer_body(key, answer)),
        status=status or answer_status(answer),
        content_type=JSON_TYPE,
        headers=headers,
    )


def bad_input_response(
    reason: str, answer: Answer, status: int | None = None
) -> web.Response:
    """Count bad input under a reason, and return its refusal as a response."""
    BAD_INPUT.labels(edge="http", reason=reason).inc()
    REFUSALS.labels(kind=answer.kind).inc()
    return answer_response("", answer, status)
