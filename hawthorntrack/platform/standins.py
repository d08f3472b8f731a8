"""The platform's side of the wire, for experiments: its store, and a target's calls."""

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
MEAN_DELAY_S = 0.5  # of a slow store: near the limit of a call
HANG_S = 5.0  # beyond every caller's patience

store_faults: Registry[Any] = Registry("fault of the store")
store_calls: Registry[Any] = Registry("call to the store")


@store_faults.register("down")
async def abort_connection(
    store: "StandInStore", request: web.BaseRequest
) -> web.Response:
    """Break the connection."""
    request.transport.abort()
    return web.Response()


@store_faults.register("silent")
async def hang(store: "StandInStore", request: web.BaseRequest) -> web.Response:
    """Never answer."""
    await asyncio.sleep(HANG_S)
    return await abort_connection(store, request)


@store_faults.register("slow")
async def delay_answer(store: "StandInStore", request: web.BaseRequest) -> web.Response:
    """Answer after a while."""
    await asyncio.sleep(store.rng.uniform(0, 2 * MEAN_DELAY_S))
    return await store.execute_call(request)


@store_faults.register("lossy")
async def drop_answers(store: "StandInStore", request: web.BaseRequest) -> web.Response:
    """Carry a call out; every third answer is lost."""
    response = await store.execute_call(request)
    return (
        response
        if store.rng.random() > 1 / 3
        else await abort_connection(store, request)
    )


@store_faults.register("busy")
async def reject_calls(store: "StandInStore", request: web.BaseRequest) -> web.Response:
    """Turn half of the calls away."""
    if store.rng.random() < 0.5:
        return json_response({}, store.rng.choice((429, 503)))
    return await store.execute_call(request)


@store_faults.register("forgetful")
async def discard_history(
    store: "StandInStore", request: web.BaseRequest
) -> web.Response:
    """Answer with no history."""
    store.oldest_feed_version = store.version + 1
    return await store.execute_call(request)


class StandInStore:
    """The store: rows in tables, and a feed of their changes.

    Attributes
    ----------
    fault : str
        A name in `store_faults`, or empty.
    oldest_feed_version : int
        The feed knows changes from this version on.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.fault = ""
        self.version = 0
        self.oldest_feed_version = 0
        self.tables: dict[str, dict[str, dict[str, Any]]] = {}
        self.changed = asyncio.Event()

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Answer one call."""
        if self.fault:
            return await store_faults[self.fault](self, request)
        return await self.execute_call(request)

    async def execute_call(self, request: web.BaseRequest) -> web.Response:
        """Carry a call out."""
        name = request.path.removeprefix("/v1/")
        if name not in store_calls:
            return json_response({}, 404)
        return await store_calls[name](self, request)

    def write(self, table: str, key: str, value: bytes | None) -> None:
        """Write a row, or drop it."""
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
        """Answer with rows."""
        now_ms = round(time.monotonic() * 1000)
        body = {"rows": rows, "ver": self.version, "now_ms": now_ms}
        return json_response(body | {"more_pages": False})

    # What the operator writes

    def configure(self, catalogue: Catalogue) -> None:
        """Put a configuration in force."""
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
        """Take a zone out of service, or back."""
        value = encode_json({"zone": zone}) if out else None
        self.write(OPERATOR_TABLE, EVACUATED_ZONE_PREFIX + zone, value)


@store_calls.register("rows-get")
async def get_rows(store: StandInStore, request: web.BaseRequest) -> web.Response:
    """Return a table's rows."""
    rows = store.tables.get(request.query["table"], {}).values()
    start, beyond = request.query.get("from", ""), request.query.get("target")
    found = [
        row
        for row in rows
        if not row["deleted"]
        and row["key"] >= start
        and (beyond is None or row["key"] < beyond)
    ]
    return store.rows_response(sorted(found, key=lambda row: row["key"].encode()))


@store_calls.register("rows-feed")
async def feed_rows(store: StandInStore, request: web.BaseRequest) -> web.Response:
    """Return what changed after a version, as soon as something has."""
    table, after = request.query["table"], int(request.query["after"])
    if after < store.oldest_feed_version - 1:
        return json_response({}, 410)
    limit = time.monotonic() + int(request.query["wait_ms"]) / 1000
    while True:
        rows = store.tables.get(table, {}).values()
        found = [row for row in rows if row["ver"] > after]
        left_s = limit - time.monotonic()
        if found or left_s <= 0:
            return store.rows_response(sorted(found, key=lambda row: row["ver"]))
        try:
            async with asyncio.timeout(left_s):
                await store.changed.wait()
        except TimeoutError:
            continue


@store_calls.register("rows-tx")
async def write_rows(store: StandInStore, request: web.BaseRequest) -> web.Response:
    """Write rows without conditions; the product has none."""
    body = msgspec.json.decode(await request.read())
    for entry in body.get("set_keys", ()):
        if entry["table"] == OPERATOR_TABLE:
            return json_response({}, 403)
        store.write(entry["table"], entry["key"], base64.b64decode(entry["value"]))
    return json_response({"ver": store.version})


class OrderHandler(Protocol):
    """What runs tasks behind a target's calls; its replies go to `replies`."""

    incarnation: TargetIncarnation
    replies: Any

    def put(self, order: Any) -> None:
        """Take an order."""


target_calls: Registry[Any] = Registry("call to a target")


@target_calls.register("/v1/run-start")
def start_order(target: TargetAddress, body: dict[str, Any]) -> StartOrder:
    """Return the start that a call asks for."""
    name = RunName(parse_task_name(body["task"]), body["run"])
    lease_end_ms, token = body["deadline_ms"], body["fencing_token"]
    return StartOrder(target, name, body["spec"], lease_end_ms, token)


@target_calls.register("/v1/run-stop")
def stop_order(target: TargetAddress, body: dict[str, Any]) -> StopOrder:
    """Return the stop that a call asks for."""
    name = RunName(parse_task_name(body["task"]), body["run"])
    return StopOrder(target, name, body["fencing_token"])


@target_calls.register("/v1/hold")
def hold_order(target: TargetAddress, body: dict[str, Any]) -> RenewLeaseOrder:
    """Return the renewal that a call asks for."""
    wait_s = body.get("wait_ms", 0) / 1000
    token, seen = body["fencing_token"], body["acked_upto"]
    return RenewLeaseOrder(target, body.get("deadline_ms"), token, seen, wait_s, 0.0)


class TargetEndpoint:
    """The calls of one target, and its heartbeats to the guard beside it.

    Parameters
    ----------
    runner : OrderHandler
        Carries the orders out.
    address : str
        Where the guard is to send them.
    guard : str
        Where heartbeats go.
    """

    def __init__(self, runner: OrderHandler, address: str, guard: str) -> None:
        self.runner = runner
        self.address = address
        self.guard = guard
        self.waiting: dict[int, asyncio.Future] = {}
        self.heartbeat_tasks: set[asyncio.Task] = set()
        self.session: aiohttp.ClientSession | None = None
        runner.replies = self

    def put(self, news: Any) -> None:
        """Take the runner's replies and heartbeats."""
        if isinstance(news, TargetHeartbeat):
            beat = asyncio.get_running_loop().create_task(
                self.send_heartbeat(news.state)
            )
            self.heartbeat_tasks.add(beat)
            beat.add_done_callback(self.heartbeat_tasks.discard)
            return
        reply = self.waiting.pop(id(news.order), None)
        if reply is not None and not reply.done():
            reply.set_result(news)

    async def send_heartbeat(self, state: TargetState) -> None:
        """Send a heartbeat; one that fails is followed by the next."""
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
        """Answer one call."""
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
    """Return resources as the wire spells them."""
    names = ("cpu", "mem_mb", "gpu")
    return dict(zip(names, resources, strict=True))


def response_to(request: web.BaseRequest, reply: Any) -> web.Response:
    """Return the response that carries a runner's reply."""
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
    """Return the body by which a caller hands a job in and waits for its end."""
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
