"""Stand-ins for the platform in experiments: its store, and a target's interface."""

import asyncio
import base64
import random
import time
from typing import Any, Protocol

import aiohttp
import msgspec
from aiohttp import web

from hawthorntrack.platform.formats import (
    CONFIG_KEY,
    EVACUATED_ZONE_PREFIX,
    encode_json,
    format_task_name,
    parse_task_name,
)
from hawthorntrack.platform.targets import (
    HEARTBEATS_PATH,
    INSTANCE_HEADER,
    OUTCOME_BY_REASON,
    OUTCOME_BY_STATUS,
    json_response,
)
from hawthorntrack.protocol.target_messages import (
    RenewLeaseOrder,
    RenewLeaseReply,
    StartOrder,
    StopOrder,
    TargetAddress,
    TargetHeartbeat,
)
from hawthorntrack.state.catalogue import Catalogue
from hawthorntrack.state.plans import JobPlan, RunName, TargetIncarnation, TargetState
from hawthorntrack.state.registry import Registry
from hawthorntrack.state.resources import Resources

OPERATOR_TABLE = "op"
HEARTBEAT_TIMEOUT_S = 1.0
SLOW_ANSWER_MEAN_DELAY_S = 0.5  # close to the client's timeout, CALL_TIMEOUT_S
HANG_DELAY_S = 5.0  # longer than every client's timeout

store_faults: Registry[Any] = Registry("fault of the store")
store_calls: Registry[Any] = Registry("call to the store")


@store_faults.register("down")
async def abort_connection(
    store: "StandInStore", request: web.BaseRequest
) -> web.Response:
    """Abort the connection without an answer."""
    request.transport.abort()
    return web.Response()


@store_faults.register("silent")
async def hang(store: "StandInStore", request: web.BaseRequest) -> web.Response:
    """Leave the call unanswered until the client has given up."""
    await asyncio.sleep(HANG_DELAY_S)
    return await abort_connection(store, request)


@store_faults.register("slow")
async def delay_answer(store: "StandInStore", request: web.BaseRequest) -> web.Response:
    """Answer after a random delay."""
    await asyncio.sleep(store.rng.uniform(0, 2 * SLOW_ANSWER_MEAN_DELAY_S))
    return await store.execute_call(request)


@store_faults.register("lossy")
async def drop_answers(store: "StandInStore", request: web.BaseRequest) -> web.Response:
    """Carry out the call, and lose a third of the answers."""
    response = await store.execute_call(request)
    return (
        response
        if store.rng.random() > 1 / 3
        else await abort_connection(store, request)
    )


@store_faults.register("busy")
async def reject_calls(store: "StandInStore", request: web.BaseRequest) -> web.Response:
    """Reject half of the calls with status 429 or 503."""
    if store.rng.random() < 0.5:
        return json_response({}, store.rng.choice((429, 503)))
    return await store.execute_call(request)


@store_faults.register("forgetful")
async def discard_history(
    store: "StandInStore", request: web.BaseRequest
) -> web.Response:
    """Discard past changes, so that a watch from an older version gets status 410."""
    store.oldest_feed_version = store.version + 1
    return await store.execute_call(request)


class StandInStore:
    """In-memory stand-in for the platform's store: tables of rows, and their changes.

    Attributes
    ----------
    fault : str
        Name of the fault in force, one of `store_faults`, or empty.
    oldest_feed_version : int
        Oldest version whose change a watch can still return.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.fault = ""
        self.version = 0
        self.oldest_feed_version = 0
        self.tables: dict[str, dict[str, dict[str, Any]]] = {}
        self.changed = asyncio.Event()

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Answer one call, subject to the fault in force."""
        if self.fault:
            return await store_faults[self.fault](self, request)
        return await self.execute_call(request)

    async def execute_call(self, request: web.BaseRequest) -> web.Response:
        """Carry out a call and return its answer."""
        name = request.path.removeprefix("/v1/")
        if name not in store_calls:
            return json_response({}, 404)
        return await store_calls[name](self, request)

    def write(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row, or delete it if the value is None; wake the watches."""
        self.version += 1
        row = {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value or b"").decode(),
            "ver": self.version,
            "deleted": value is None,
        }
        self.tables.setdefault(table, {})[key] = row
        self.changed.set()
        self.changed = asyncio.Event()

    def rows_response(self, rows: list[dict[str, Any]]) -> web.Response:
        """Return the answer that carries these rows as one page."""
        now_ms = round(time.monotonic() * 1000)
        body = {"rows": rows, "ver": self.version, "now_ms": now_ms}
        return json_response(body | {"more_pages": False})

    def configure(self, catalogue: Catalogue) -> None:
        """Write the configuration row, as an operator would."""
        body = {
            "version": catalogue.version,
            "routes": [
                {
                    "name": queue.name,
                    "hostname": queue.host,
                    "path_prefix": queue.path_prefix,
                    "service": queue.service,
                    "target_latency_ms": queue.latency_target_s * 1000,
                    "priority": queue.priority,
                    "max_attempts": queue.max_attempts,
                    "stretch": queue.stretch,
                }
                for queue in catalogue.queues
            ],
            "services": [
                {
                    "name": service.name,
                    "enforces_capacity": service.targets_enforce_capacity,
                }
                for service in catalogue.services
            ],
            "limits": {},
        }
        self.write(OPERATOR_TABLE, CONFIG_KEY, encode_json(body))

    def set_zone_out(self, zone: str, out: bool) -> None:
        """Take a zone out of service or bring it back, as an operator would."""
        value = encode_json({"zone": zone}) if out else None
        self.write(OPERATOR_TABLE, EVACUATED_ZONE_PREFIX + zone, value)


@store_calls.register("rows-get")
async def get_rows(store: StandInStore, request: web.BaseRequest) -> web.Response:
    """Return a table's rows, those of a range of keys if the call gives one."""
    rows = store.tables.get(request.query["table"], {}).values()
    start, end = request.query.get("from", ""), request.query.get("target")
    found = [
        row
        for row in rows
        if not row["deleted"]
        and row["key"] >= start
        and (end is None or row["key"] < end)
    ]
    return store.rows_response(sorted(found, key=lambda row: row["key"].encode()))


@store_calls.register("rows-feed")
async def feed_rows(store: StandInStore, request: web.BaseRequest) -> web.Response:
    """Return the rows changed after a version, waiting for a change if none is."""
    table, after = request.query["table"], int(request.query["after"])
    if after < store.oldest_feed_version - 1:
        return json_response({}, 410)
    wait_until = time.monotonic() + int(request.query["wait_ms"]) / 1000
    while True:
        rows = store.tables.get(table, {}).values()
        found = [row for row in rows if row["ver"] > after]
        remaining_s = wait_until - time.monotonic()
        if found or remaining_s <= 0:
            return store.rows_response(sorted(found, key=lambda row: row["ver"]))
        try:
            async with asyncio.timeout(remaining_s):
                await store.changed.wait()
        except TimeoutError:
            continue


@store_calls.register("rows-tx")
async def write_rows(store: StandInStore, request: web.BaseRequest) -> web.Response:
    """Write rows unconditionally; this project sends no conditional writes."""
    body = msgspec.json.decode(await request.read())
    for entry in body.get("set_keys", ()):
        if entry["table"] == OPERATOR_TABLE:
            return json_response({}, 403)
        store.write(entry["table"], entry["key"], base64.b64decode(entry["value"]))
    return json_response({"ver": store.version})


class OrderHandler(Protocol):
    """A simulated target: carries out orders and puts each reply into `replies`."""

    incarnation: TargetIncarnation
    replies: Any

    def put(self, order: Any) -> None:
        """Receive an order."""


target_calls: Registry[Any] = Registry("call to a target")


@target_calls.register("/v1/run-start")
def start_order(target: TargetAddress, body: dict[str, Any]) -> StartOrder:
    """Decode the body of a call that starts a run."""
    name = RunName(parse_task_name(body["task"]), body["run"])
    lease_end_ms, token = body["deadline_ms"], body["fencing_token"]
    return StartOrder(target, name, body["spec"], lease_end_ms, token)


@target_calls.register("/v1/run-stop")
def stop_order(target: TargetAddress, body: dict[str, Any]) -> StopOrder:
    """Decode the body of a call that stops a run."""
    name = RunName(parse_task_name(body["task"]), body["run"])
    return StopOrder(target, name, body["fencing_token"])


@target_calls.register("/v1/hold")
def renew_lease_order(target: TargetAddress, body: dict[str, Any]) -> RenewLeaseOrder:
    """Decode the body of a call that renews the lease and lists the runs."""
    wait_s = body.get("wait_ms", 0) / 1000
    token, seen = body["fencing_token"], body["acked_upto"]
    return RenewLeaseOrder(target, body.get("deadline_ms"), token, seen, wait_s, 0.0)


class TargetEndpoint:
    """HTTP interface of a simulated target, and client for its heartbeats.

    Parameters
    ----------
    runner : OrderHandler
        Carries out the orders.
    address : str
        ``host:port`` at which the target accepts orders, sent in its heartbeats.
    guard : str
        ``host:port`` at which the guard accepts heartbeats.
    """

    def __init__(self, runner: OrderHandler, address: str, guard: str) -> None:
        self.runner = runner
        self.address = address
        self.guard = guard
        self.waiting: dict[int, asyncio.Future] = {}
        self.heartbeat_tasks: set[asyncio.Task] = set()
        self.session: aiohttp.ClientSession | None = None
        runner.replies = self

    def put(self, message: Any) -> None:
        """Receive a reply or a heartbeat from the runner."""
        if isinstance(message, TargetHeartbeat):
            task = asyncio.get_running_loop().create_task(
                self.send_heartbeat(message.state)
            )
            self.heartbeat_tasks.add(task)
            task.add_done_callback(self.heartbeat_tasks.discard)
            return
        reply = self.waiting.pop(id(message.order), None)
        if reply is not None and not reply.done():
            reply.set_result(message)

    async def send_heartbeat(self, state: TargetState) -> None:
        """Send a heartbeat; a failed one is not retried, since the next follows."""
        body = {
            "service": state.service,
            "address": self.address,
            "zone": state.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if state.draining else "ready",
            "cold_remaining_ms": 0,
            "capacity": encode_resources(state.capacity),
            "labels": state.labels,
            "clock_ms": state.clock_ms,
            "seq": state.sequence,
            "born": state.incarnation.born_ms,
        }
        url = f"http://{self.guard}{HEARTBEATS_PATH}{state.incarnation.id}"
        try:
            async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
                await self.session.put(url, data=encode_json(body))
        except (aiohttp.ClientError, TimeoutError, OSError):
            return

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Pass one call to the runner and answer with its reply."""
        if request.path not in target_calls:
            return json_response({}, 404)
        if request.headers.get(INSTANCE_HEADER) != self.runner.incarnation.id:
            return json_response({}, 421)
        body = msgspec.json.decode(await request.read())
        target = TargetAddress(self.runner.incarnation, self.address)
        order = target_calls[request.path](target, body)
        reply = asyncio.get_running_loop().create_future()
        self.waiting[id(order)] = reply
        self.runner.put(order)
        return response_to(request, await reply)


def encode_resources(resources: Resources) -> dict[str, int]:
    """Return resources under the field names of the platform's bodies."""
    names = ("cpu", "mem_mb", "gpu")
    return dict(zip(names, resources, strict=True))


def response_to(request: web.BaseRequest, reply: Any) -> web.Response:
    """Return the response for a runner's reply, or abort the connection.

    The connection is aborted for the outcome ``unanswered``.
    """
    reasons = {outcome: reason for reason, outcome in OUTCOME_BY_REASON.items()}
    statuses = {outcome: status for status, outcome in OUTCOME_BY_STATUS.items()}
    body: dict[str, Any] = {"clock_ms": reply.clock_ms}
    if reply.outcome == "unanswered":
        request.transport.abort()
        return web.Response()
    if reply.outcome in reasons and reply.outcome != "invalid":
        return json_response(body | {"reason": reasons[reply.outcome]}, 409)
    if reply.outcome in statuses:
        return json_response(body, statuses[reply.outcome])
    if isinstance(reply, RenewLeaseReply):
        body["born"] = reply.born_ms
        body["running"] = [
            [format_task_name(run.name.task), run.name.run, "", run.percent, 0]
            for run in reply.running
        ]
        body["ended"] = [
            [
                end.number,
                format_task_name(end.name.task),
                end.name.run,
                end.end_state,
                "",
            ]
            for end in reply.ended
        ]
    return json_response(body)


def job_body(plan: JobPlan) -> bytes:
    """Encode the body with which a caller submits a job and waits for its end."""
    steps = [
        {
            "count": step.count,
            "estimate_ms": max(1, round(step.estimate_s * 1000)),
            "after": step.depends_on,
            **encode_resources(step.need),
        }
        for step in plan.steps
    ]
    return encode_json({"spec": plan.payload, "steps": steps, "best_effort": True})
