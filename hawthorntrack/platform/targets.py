"""HTTP client for a guard's orders to its target, and server for its heartbeats."""

import asyncio
from typing import Any

import aiohttp
from aiohttp import web

from hawthorntrack.platform.formats import (
    LOGGED_ENTRY_MAX_CHARS,
    Malformed,
    decode_heartbeat,
    decode_order_answer,
    decode_run_lists,
    encode_json,
    format_task_name,
)
from hawthorntrack.protocol.target_messages import (
    ORDER_TIMEOUT_S,
    RenewLeaseOrder,
    RenewLeaseReply,
    StartOrder,
    StartReply,
    StopOrder,
    StopReply,
    TargetAddress,
    TargetDeparted,
    TargetHeartbeat,
)
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.metrics import BAD_INPUT, labelled
from hawthorntrack.state.values import Incarnation
from hawthorntrack.transport.connecting import address_errors
from hawthorntrack.transport.http_server import read_body

MAX_CONNECTIONS = 12
MAX_HEARTBEAT_BYTES = 1_048_576
KEEPALIVE_S = 60.0
HEARTBEATS_PATH = "/v1/executors/"
INSTANCE_HEADER = "Hawthorntrack-Expected-Instance"
OUTCOME_BY_REASON = {
    "fence": "fenced",
    "old": "old_run",
    "late": "late",
    "room": "no_room",
    "ticket": "invalid",
}
OUTCOME_BY_STATUS = {400: "invalid", 421: "other_life", 429: "unwell", 503: "unwell"}
# After any other status the target may have carried out the order.
OUTCOME_OF_OTHER_STATUS = "unanswered"
CALL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


class TargetCalls(Actor):
    """Sends a guard's orders to its target over HTTP; owns the connections.

    Parameters
    ----------
    replies : Mailbox
        Receives the reply to each order.
    timeout_s : float
        Lower bound on the time limits that orders carry, in seconds.
    """

    def __init__(self, replies: Mailbox, timeout_s: float = ORDER_TIMEOUT_S) -> None:
        super().__init__()
        self.replies = replies
        self.timeout_s = timeout_s
        self.session: aiohttp.ClientSession | None = None

    async def run(self) -> None:
        """Send orders until cancelled, then close the connections."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=MAX_CONNECTIONS,
                keepalive_timeout=KEEPALIVE_S,
                use_dns_cache=False,
            ),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )
        try:
            await super().run()
        finally:
            await self.session.close()

    @handles(StartOrder)
    def on_start_order(self, order: StartOrder, sender: Incarnation) -> None:
        """Send a start order in a task of its own."""
        self.spawn(self.send_start(order))

    @handles(StopOrder)
    def on_stop_order(self, order: StopOrder, sender: Incarnation) -> None:
        """Send a stop order in a task of its own."""
        self.spawn(self.send_stop(order))

    @handles(RenewLeaseOrder)
    def on_renew_lease_order(self, order: RenewLeaseOrder, sender: Incarnation) -> None:
        """Send a lease renewal in a task of its own."""
        self.spawn(self.send_renewal(order))

    def time_limit_s(self, order: StartOrder | StopOrder | RenewLeaseOrder) -> float:
        """Return the time limit for the answer to an order in seconds."""
        return max(self.timeout_s, order.timeout_s)

    async def post(
        self, target: TargetAddress, path: str, body: dict[str, Any], timeout_s: float
    ) -> tuple[int, bytes]:
        """Post one order; return the answer's status and body.

        Explanation
        -----------
        The order is for this target alone, so a redirection is not followed.
        """
        data = encode_json(body)
        headers = {
            "Content-Type": "application/json",
            INSTANCE_HEADER: target.incarnation.id,
        }
        with address_errors("target", target.address):
            async with (
                asyncio.timeout(timeout_s),
                self.session.post(
                    f"http://{target.address}{path}",
                    data=data,
                    headers=headers,
                    allow_redirects=False,
                ) as response,
            ):
                return response.status, await response.read()

    async def send_start(self, order: StartOrder) -> None:
        """Order the target to start a run, and report the outcome."""
        body = {
            "task": format_task_name(order.name.task),
            "run": order.name.run,
            "spec": order.payload,
            "deadline_ms": order.lease_end_ms,
            "fencing_token": order.token,
        }
        outcome, clock_ms = await self.call_target(
            order, "/v1/run-start", body, "started"
        )
        self.replies.put(StartReply(order, outcome, clock_ms))

    async def send_stop(self, order: StopOrder) -> None:
        """Order the target to stop a run, and report the outcome."""
        body = {
            "task": format_task_name(order.name.task),
            "run": order.name.run,
            "fencing_token": order.token,
        }
        outcome, clock_ms = await self.call_target(
            order, "/v1/run-stop", body, "stopped"
        )
        self.replies.put(StopReply(order, outcome, clock_ms))

    async def call_target(
        self,
        order: StartOrder | StopOrder,
        path: str,
        body: dict[str, Any],
        success: str,
    ) -> tuple[str, int]:
        """Post an order; return its outcome and the target's clock."""
        try:
            status, data = await self.post(
                order.target, path, body, self.time_limit_s(order)
            )
        except aiohttp.ClientConnectorError as error:
            return connect_failure_outcome(error), 0
        except CALL_ERRORS:
            return "unanswered", 0
        answer = decode_order_answer(data)
        if status == 200:
            return success, answer.clock_ms
        if status == 409:
            outcome = OUTCOME_BY_REASON.get(answer.reason, "invalid")
            return outcome, answer.clock_ms
        return OUTCOME_BY_STATUS.get(status, OUTCOME_OF_OTHER_STATUS), answer.clock_ms

    async def send_renewal(self, order: RenewLeaseOrder) -> None:
        """Renew the lease at the target, and report its lists of runs."""
        body: dict[str, Any] = {
            "fencing_token": order.token,
            "acked_upto": order.ends_seen,
        }
        if order.lease_end_ms is not None:
            body["deadline_ms"] = order.lease_end_ms
        if order.wait_s:
            body["wait_ms"] = round(order.wait_s * 1000)
        try:
            status, data = await self.post(
                order.target,
                "/v1/hold",
                body,
                order.wait_s + self.time_limit_s(order),
            )
            if status == 200:
                clock_ms, born_ms, running, ended = decode_run_lists(data)
                reply = RenewLeaseReply(
                    order, "held", clock_ms, born_ms, running, ended
                )
            elif status == 409:
                reason = decode_order_answer(data).reason
                reply = RenewLeaseReply(order, OUTCOME_BY_REASON.get(reason, "unwell"))
            else:
                outcome = OUTCOME_BY_STATUS.get(status, OUTCOME_OF_OTHER_STATUS)
                reply = RenewLeaseReply(order, outcome)
        except aiohttp.ClientConnectorError as error:
            reply = RenewLeaseReply(order, connect_failure_outcome(error))
        except CALL_ERRORS:
            reply = RenewLeaseReply(order, "unanswered")
        except Malformed:
            labelled(BAD_INPUT, "target", "lists").inc()
            reply = RenewLeaseReply(order, "unanswered")
        self.replies.put(reply)


def connect_failure_outcome(error: aiohttp.ClientConnectorError) -> str:
    """Return the outcome of an order for which no connection was made."""
    refused = isinstance(error.os_error, ConnectionRefusedError)
    return "unreachable" if refused else "unsent"


class HeartbeatHandler:
    """Receives the heartbeats of the target beside this guard.

    Parameters
    ----------
    events : Mailbox
        Receives `TargetHeartbeat` and `TargetDeparted`.
    """

    def __init__(self, events: Mailbox) -> None:
        self.events = events

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Handle a heartbeat (PUT) or the target's departure (DELETE)."""
        if not request.path.startswith(HEARTBEATS_PATH):
            return web.Response(status=404)
        target = request.path.removeprefix(HEARTBEATS_PATH)
        if request.method == "DELETE":
            self.events.put(TargetDeparted(target))
            return json_response({})
        if request.method != "PUT":
            return web.Response(status=405)
        try:
            self.events.put(
                TargetHeartbeat(
                    decode_heartbeat(
                        target, await read_body(request, MAX_HEARTBEAT_BYTES)
                    )
                )
            )
        except Malformed as error:
            labelled(BAD_INPUT, "heartbeat", "malformed").inc()
            self.events.put(
                TargetHeartbeat(f"{target[:LOGGED_ENTRY_MAX_CHARS]!r}: {error}")
            )
        return json_response({})


def json_response(
    body: dict[str, Any], status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    """Return a response with a JSON body."""
    return web.Response(
        body=encode_json(body),
        status=status,
        content_type="application/json",
        headers=headers,
    )
