"""HTTP interface of an entry instance: callers' requests and the readiness check."""

import asyncio
from typing import Any

from aiohttp import web

from hawthorntrack.platform.formats import Malformed, decode_job
from hawthorntrack.platform.targets import json_response
from hawthorntrack.protocol.job_requests import (
    CallerDisconnected,
    CancelPlan,
    CountQueuedJobs,
    GetPlanState,
    SubmitPlan,
)
from hawthorntrack.state.clock import Clock, seconds_since_boot
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.metrics import BAD_INPUT, labelled
from hawthorntrack.state.naming import exposed_name
from hawthorntrack.state.outcomes import resolve
from hawthorntrack.state.registry import Registry
from hawthorntrack.state.verdicts import (
    Abandoned,
    BadJob,
    Completed,
    JobFailed,
    JobState,
    NoQueue,
    Refused,
    UnknownJob,
)
from hawthorntrack.transport.http_server import (
    connection_state,
    gate_of,
    read_body,
)

DEADLINE_HEADER = "Hawthorntrack-Deadline-Ms"
DEFAULT_DEADLINE_S = 30.0
MAX_DEADLINE_MS = 3_600_000  # the same maximum as in `protocol.bodies.JobBody`
JOB_KEY_LENGTH = 16
HEX_DIGITS = frozenset("0123456789abcdefABCDEF")
READY_PATH = "/v1/ready"

responses: Registry[Any] = Registry("response to a verdict")


def responds_to(kind: type) -> Any:
    """Register a function that turns a verdict of this type into a response."""
    return responses.register(exposed_name(kind))


@responds_to(Completed)
def completed(verdict: Completed) -> web.Response:
    """Report that the job completed."""
    return json_response({"state": "completed"})


@responds_to(JobFailed)
def job_failed(verdict: JobFailed) -> web.Response:
    """Report that the job failed."""
    return json_response({"state": "failed"})


@responds_to(JobState)
def job_state(verdict: JobState) -> web.Response:
    """Report the job's current state."""
    return json_response({"state": verdict.state})


@responds_to(Refused)
def refused(verdict: Refused) -> web.Response:
    """Report that the job will not run, and when the caller may try again."""
    status = 429 if verdict.overloaded else 503
    headers = {"Retry-After": str(verdict.retry_after_s)}
    return json_response({"error": verdict.reason}, status, headers)


@responds_to(Abandoned)
def abandoned(verdict: Abandoned) -> web.Response:
    """Report that the job ended before it completed and may have run in part."""
    return json_response({"error": verdict.reason}, 504)


@responds_to(NoQueue)
def no_queue(verdict: NoQueue) -> web.Response:
    """Report that no queue is configured for the request's host and path."""
    return json_response({"error": "no_such_queue"}, 404)


@responds_to(BadJob)
def bad_job(verdict: BadJob) -> web.Response:
    """Report what is invalid in the submission."""
    return json_response({"error": verdict.problem}, 400)


@responds_to(UnknownJob)
def unknown_job(verdict: UnknownJob) -> web.Response:
    """Report that this entry instance has no job with the given key."""
    return json_response({"error": "no_such_job"}, 410)


@responds_to(int)
def count(waiting: int) -> web.Response:
    """Report the number of queued jobs."""
    return json_response({"waiting": waiting})


def job_key_from_path(path: str) -> str:
    """Return the job key at the end of a URL path, or an empty string without one.

    Examples
    --------
    >>> job_key_from_path("/lohu930/5c0e7a21d94b36f8"), job_key_from_path("/lohu930/")
    ('5c0e7a21d94b36f8', '')
    """
    key = path[-JOB_KEY_LENGTH:]
    return key if len(key) == JOB_KEY_LENGTH and HEX_DIGITS.issuperset(key) else ""


def request_deadline_s(request: web.BaseRequest) -> float:
    """Return how long the caller will wait for the answer, in seconds.

    A missing or unreadable header gives `DEFAULT_DEADLINE_S`.
    """
    try:
        deadline_ms = int(request.headers[DEADLINE_HEADER])
    except (KeyError, ValueError):
        return DEFAULT_DEADLINE_S
    return min(max(deadline_ms, 0), MAX_DEADLINE_MS) / 1000


class CallersHandler:
    """Passes callers' requests to the dispatcher and returns its verdicts.

    Parameters
    ----------
    dispatcher : Mailbox
        The dispatcher's mailbox.
    clock : callable
        Returns seconds, including time for which the machine was suspended.
    """

    def __init__(self, dispatcher: Mailbox, clock: Clock = seconds_since_boot) -> None:
        self.dispatcher = dispatcher
        self.clock = clock
        self.close_connections = False
        self.max_body_bytes = 262_144

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request; report a caller that disconnects to the dispatcher."""
        reply = asyncio.get_running_loop().create_future()
        message = await self.read_message(request, reply)
        if isinstance(message, web.Response):
            return message
        if not self.dispatcher.post(message):
            resolve(reply, Refused("mailbox_full", 1))
        try:
            verdict = await reply
        except asyncio.CancelledError:
            if isinstance(message, SubmitPlan) and message.plan is not None:
                self.dispatcher.put(CallerDisconnected(message.plan.key, reply))
            raise
        response = responses[exposed_name(type(verdict))](verdict)
        if self.close_connections:
            response.force_close()
        return response

    async def read_message(
        self, request: web.BaseRequest, reply: asyncio.Future
    ) -> Any:
        """Return the message for the dispatcher, or a response that refuses."""
        host, path = request.host, request.path
        key = job_key_from_path(path)
        if request.method == "POST":
            return await self.read_submission(request, host, path, key, reply)
        if request.method == "GET":
            if key:
                return GetPlanState(host, path, key, reply)
            return CountQueuedJobs(host, path, reply)
        if request.method == "DELETE":
            return CancelPlan(host, path, key, reply)
        return json_response({"error": "method_not_allowed"}, 405)

    async def read_submission(
        self,
        request: web.BaseRequest,
        host: str,
        path: str,
        key: str,
        reply: asyncio.Future,
    ) -> Any:
        """Return a `SubmitPlan`, or a response if the body cannot be received.

        Explanation
        -----------
        The reply is cancelled if the caller has already closed its connection, so that
        the dispatcher does not start the job.
        """
        arrived_at = self.clock() - connection_state(request).silence_s
        gate = gate_of(request)
        try:
            body = await read_body(request, self.max_body_bytes)
        except TimeoutError:
            if gate is not None and gate.has_waited:
                return refused(Refused("too_many_long_requests", 1))
            return json_response({"error": "body_not_received"}, 408)
        except web.HTTPRequestEntityTooLarge:
            labelled(BAD_INPUT, "callers", "body_size").inc()
            return json_response({"error": "body_too_large"}, 413)
        plan, problem = None, "no_key_of_16_hexadecimal_digits"
        if key:
            try:
                plan = decode_job(key, body)
            except Malformed as error:
                labelled(BAD_INPUT, "callers", "body").inc()
                problem = str(error)
        if not connection_state(request).is_open:
            reply.cancel()
        return SubmitPlan(
            host, path, plan, problem, arrived_at, request_deadline_s(request), reply
        )


class ReadinessHandler:
    """Answers the readiness check of the platform's load balancer."""

    def __init__(self) -> None:
        self.ready = False

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Answer 200 while jobs are accepted, otherwise 503."""
        if request.path != READY_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self.ready else 503)
