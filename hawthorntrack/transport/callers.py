"""HTTP interface of an entry instance: submission, query and cancellation of jobs."""

import asyncio

from aiohttp import web

from hawthorntrack.protocol import local
from hawthorntrack.protocol.bodies import (
    CUSTOMER_HEADER,
    KEY_HEADER,
    BadBody,
    CallerHeaders,
    decode_job,
)
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.outcomes import BAD_REQUEST, QUEUE_FULL, refuse, unknown
from hawthorntrack.state.settings import Bounds
from hawthorntrack.transport.web import answer_response, bad_input_response, read_body


class CallersApi:
    """Passes callers' requests to the router and the job query client.

    Parameters
    ----------
    router : Mailbox
        Mailbox of the actor that submits jobs to their owners.
    job_query_client : Mailbox
        Mailbox of the actor that sends queries and cancellations to owners.
    bounds : Bounds
        Limits on the size of a request.
    """

    def __init__(
        self, router: Mailbox, job_query_client: Mailbox, bounds: Bounds
    ) -> None:
        self.router = router
        self.job_query_client = job_query_client
        self.bounds = bounds

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the callers' interface."""
        return [
            web.post("/v1/services/{service}/jobs", self.submit),
            web.get("/v1/services/{service}/jobs/{key}", self.look_up),
            web.delete("/v1/services/{service}/jobs/{key}", self.cancel),
        ]

    async def submit(self, request: web.Request) -> web.Response:
        """Submit a job, and answer with all of its results."""
        body = await read_body(request)
        if body is None:
            return bad_input_response(
                "slow_body", refuse(BAD_REQUEST, "The body came too slowly.")
            )
        caller = CallerHeaders(
            request.match_info["service"],
            request.headers.get(KEY_HEADER, ""),
            request.headers.get(CUSTOMER_HEADER, ""),
        )
        try:
            job = decode_job(caller, body, self.bounds.tasks_per_job)
        except BadBody as error:
            return bad_input_response(error.reason, refuse(BAD_REQUEST, str(error)))
        reply = asyncio.get_running_loop().create_future()
        if not self.router.post(local.SubmitJob(job, reply)):
            return answer_response(job.key, refuse(QUEUE_FULL))
        return answer_response(job.key, await reply)

    async def look_up(self, request: web.Request) -> web.Response:
        """Answer with a job's state."""
        return await self.query_owner(request, cancel=False)

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancel a job, and answer with the outcome."""
        return await self.query_owner(request, cancel=True)

    async def query_owner(self, request: web.Request, cancel: bool) -> web.Response:
        """Query or cancel a job at its owner, and answer with the owner's reply."""
        service, key = request.match_info["service"], request.match_info["key"]
        reply = asyncio.get_running_loop().create_future()
        if not self.job_query_client.post(local.QueryJob(service, key, cancel, reply)):
            return answer_response(key, unknown(QUEUE_FULL))
        return answer_response(key, await reply)
