"""HTTP calls over real sockets, answered by a stand-in for the platform."""

import asyncio
import json
import random
import socket
import struct
import time

import aiohttp
import pytest
from aiohttp import web

from hawthorntrack.coordination.zone_reader import ZoneReader
from hawthorntrack.platform.entry_http import CallersHandler
from hawthorntrack.platform.formats import ZONES_OUT_KEYS, decode_zones_out
from hawthorntrack.platform.standins import StandInStore
from hawthorntrack.platform.store import PlatformStore
from hawthorntrack.platform.targets import HeartbeatHandler, TargetCalls
from hawthorntrack.protocol.job_requests import CallerDisconnected, SubmitPlan
from hawthorntrack.protocol.local import ReadZones, ZonesRead
from hawthorntrack.protocol.target_messages import (
    ORDER_TIMEOUT_S,
    RenewLeaseOrder,
    StartOrder,
    StopOrder,
    TargetAddress,
    TargetDeparted,
    TargetHeartbeat,
)
from hawthorntrack.state.catalogue import Catalogue
from hawthorntrack.state.clock import seconds_since_boot
from hawthorntrack.state.directives import ZonesAsOf
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.plans import RunName, TargetIncarnation, TargetState, TaskName
from hawthorntrack.state.store import Changes, HistoryGone, StoreUnavailable
from hawthorntrack.state.verdicts import (
    Abandoned,
    Completed,
    JobFailed,
    NoQueue,
    Refused,
    UnknownJob,
)

KEY = "5c0e7a21d94b36f8"
TIMEOUT_S = 5.0  # long, so that a slow machine does not change an outcome
JOB_BODY = json.dumps({"best_effort": True, "steps": [{"count": 1}]}).encode()
POST_REQUEST = (
    b"POST /q/%s HTTP/1.1\r\nHost: calls.example\r\nContent-Length: %d\r\n\r\n%s"
    % (KEY.encode(), len(JOB_BODY), JOB_BODY)
)
# Closing a socket that lingers for 0 s resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class StandIn:
    """Answers each path as the test has set, and records the requests."""

    def __init__(self):
        self.answers = {}
        self.requests = []

    async def answer(self, request):
        self.requests.append((request, await request.read()))
        status, value = self.answers[request.path]
        if status is None:
            request.transport.abort()
            return web.Response()
        return web.Response(status=status, body=json.dumps(value).encode())


@pytest.fixture
def stand_in():
    return StandIn()


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        ((200, {"clock_ms": 5}), "started"),
        ((409, {"clock_ms": 5, "reason": "fence"}), "fenced"),
        ((409, {"clock_ms": 5, "reason": "old"}), "old_run"),
        ((409, {"clock_ms": 5, "reason": "late"}), "late"),
        ((409, {"clock_ms": 5, "reason": "room"}), "no_room"),
        ((409, {"clock_ms": 5, "reason": "new"}), "invalid"),
        ((400, {}), "invalid"),
        ((421, {}), "other_life"),
        ((429, {}), "unwell"),
        ((503, []), "unwell"),
        ((404, {}), "unanswered"),
        ((500, {}), "unanswered"),
        ((None, None), "unanswered"),
    ],
)
def test_start_outcome_follows_from_the_targets_answer(
    with_server, stand_in, answer, outcome
):
    stand_in.answers["/v1/run-start"] = answer

    async def scenario(address):
        replies = Mailbox("replies")
        calls = TargetCalls(replies, TIMEOUT_S)
        task = asyncio.create_task(calls.run())
        target = TargetAddress(TargetIncarnation("i-1", 7), address)
        name = RunName(TaskName(KEY, 0, 0, 3), 2)
        calls.mailbox.put(StartOrder(target, name, "text", 900, 50))
        reply = await replies.get()
        task.cancel()
        return reply

    reply = with_server(stand_in.answer, scenario)
    assert reply.outcome == outcome
    request, sent = stand_in.requests[0]
    assert request.headers["Hawthorntrack-Expected-Instance"] == "i-1"
    assert json.loads(sent)["task"] == f"{KEY}.0.0.3"


def test_start_to_a_closed_port_is_unreachable(with_server, stand_in):
    async def scenario(address):
        replies = Mailbox("replies")
        calls = TargetCalls(replies, TIMEOUT_S)
        task = asyncio.create_task(calls.run())
        target = TargetAddress(TargetIncarnation("i-1", 7), "127.0.0.1:9")
        name = RunName(TaskName(KEY, 0, 0, 3), 2)
        calls.mailbox.put(StartOrder(target, name, "text", 900, 50))
        reply = await replies.get()
        task.cancel()
        return reply.outcome

    assert with_server(stand_in.answer, scenario) == "unreachable"


@pytest.mark.parametrize(
    ("address", "outcome"),
    [("127.0.0.1:9", "unreachable"), ("255.255.255.255:9", "unsent")],
)
def test_only_a_refused_connection_counts_as_unreachable(address, outcome):
    """Other connection failures do not show whether the target is down."""

    async def scenario():
        replies = Mailbox("replies")
        calls = TargetCalls(replies, TIMEOUT_S)
        task = asyncio.create_task(calls.run())
        target = TargetAddress(TargetIncarnation("i-1", 7), address)
        name = RunName(TaskName(KEY, 0, 0, 3), 2)
        orders = (
            StartOrder(target, name, "text", 900, 50),
            StopOrder(target, name, 50),
            RenewLeaseOrder(target, None, 50, 0, 0.0, 0.0),
        )
        for order in orders:
            calls.mailbox.put(order)
        outcomes = [(await replies.get()).outcome for _ in orders]
        task.cancel()
        return outcomes

    assert asyncio.run(scenario()) == [outcome] * 3


def test_order_is_given_up_only_after_the_time_limit_that_it_carries(with_server):
    """Seen: calls to a slow target were given up after a fixed 50 ms, and repeated."""

    async def answer_late(request):
        await asyncio.sleep(4 * ORDER_TIMEOUT_S)
        return web.Response(body=b'{"clock_ms": 5, "running": [], "ended": []}')

    async def scenario(address):
        replies = Mailbox("replies")
        calls = TargetCalls(replies)
        task = asyncio.create_task(calls.run())
        target = TargetAddress(TargetIncarnation("i-1", 7), address)
        name = RunName(TaskName(KEY, 0, 0, 3), 2)
        outcomes = {}
        for limit_s in (ORDER_TIMEOUT_S, TIMEOUT_S):
            orders = (
                StartOrder(target, name, "text", 900, 50, timeout_s=limit_s),
                StopOrder(target, name, 50, timeout_s=limit_s),
                RenewLeaseOrder(target, None, 50, 0, 0.0, 0.0, limit_s),
            )
            for order in orders:
                calls.mailbox.put(order)
            outcomes[limit_s] = {(await replies.get()).outcome for _ in orders}
        task.cancel()
        return outcomes

    assert with_server(answer_late, scenario) == {
        ORDER_TIMEOUT_S: {"unanswered"},
        TIMEOUT_S: {"started", "stopped", "held"},
    }


def test_unreadable_run_lists_count_as_unanswered(with_server, stand_in):
    stand_in.answers["/v1/hold"] = (200, {"clock_ms": 1, "running": [["x"]]})

    async def scenario(address):
        replies = Mailbox("replies")
        calls = TargetCalls(replies, TIMEOUT_S)
        task = asyncio.create_task(calls.run())
        target = TargetAddress(TargetIncarnation("i-1", 7), address)
        calls.mailbox.put(RenewLeaseOrder(target, None, 1, 0, 0.0, 0.0))
        reply = await replies.get()
        task.cancel()
        return reply.outcome

    assert with_server(stand_in.answer, scenario) == "unanswered"


@pytest.mark.parametrize(
    ("answer", "outcome"),
    [
        ((200, {"ver": 4, "rows": []}), Changes((), 4)),
        ((410, {}), HistoryGone()),
        ((429, {}), StoreUnavailable("limited")),
        ((503, {}), StoreUnavailable("busy")),
        ((200, {"rows": []}), StoreUnavailable("malformed")),
        ((None, None), StoreUnavailable("unanswered")),
    ],
)
def test_watch_outcome_follows_from_the_stores_answer(
    with_server, stand_in, answer, outcome
):
    stand_in.answers["/v1/rows-feed"] = answer

    async def scenario(address):
        store = PlatformStore(address)
        try:
            return await store.watch("op", 3, 0.1)
        finally:
            await store.close()

    assert with_server(stand_in.answer, scenario) == outcome


def test_zones_out_are_read_without_the_operators_other_rows(with_server):
    """The configuration may be large, and a guard has no use for it."""
    stand_in_store = StandInStore(random.Random(1))
    stand_in_store.configure(Catalogue(3, (), ()))
    stand_in_store.set_zone_out("recife", True)
    stand_in_store.set_zone_out("olinda", True)
    stand_in_store.set_zone_out("olinda", False)
    holder = Mailbox("holder")

    async def scenario(address):
        store = PlatformStore(address)
        try:
            changes = await store.read("op", ZONES_OUT_KEYS)
            reader = ZoneReader(store, ZONES_OUT_KEYS, decode_zones_out, holder)
            await reader.read(ReadZones(5.0))
        finally:
            await store.close()
        assert [row.key for row in changes.rows] == ["evacuate/recife"]
        return await holder.get()

    outcome = with_server(stand_in_store.answer, scenario)
    assert outcome == ZonesRead(ZonesAsOf(4, frozenset({"recife"})), 5.0)


def test_zones_that_cannot_be_read_are_reported_as_unknown(with_server, stand_in):
    stand_in.answers["/v1/rows-get"] = (503, {})
    holder = Mailbox("holder")

    async def scenario(address):
        store = PlatformStore(address)
        reader = ZoneReader(store, ZONES_OUT_KEYS, decode_zones_out, holder)
        await reader.read(ReadZones(5.0))
        await store.close()
        return await holder.get()

    assert with_server(stand_in.answer, scenario) == ZonesRead(None, 5.0)


def test_heartbeats_and_departures_are_passed_to_the_guard(with_server):
    events = Mailbox("events")

    async def scenario(address):
        url = f"http://{address}/v1/executors/i-1"
        heartbeat = {"service": "s", "address": "h:1", "zone": "z", "state": "ready"}
        async with aiohttp.ClientSession() as session:
            for data in (
                json.dumps(heartbeat | {"seq": 1}),
                json.dumps(heartbeat),
                "\xff",
            ):
                async with session.put(url, data=data) as response:
                    assert response.status == 200
            async with session.delete(url) as response:
                assert response.status == 200
        return [await events.get() for _ in range(4)]

    first, second, third, last = with_server(HeartbeatHandler(events).answer, scenario)
    assert isinstance(first.state, TargetState)
    assert not isinstance(second.state, TargetState)
    assert isinstance(third, TargetHeartbeat)
    assert last == TargetDeparted("i-1")


async def submit(address, data=None, headers=None):
    """Submit a job; return the status, headers and body of the response."""
    body = data or json.dumps({"best_effort": True, "steps": [{"count": 1}]})
    async with (
        aiohttp.ClientSession() as session,
        session.post(
            f"http://{address}/q/{KEY}", data=body, headers=headers
        ) as response,
    ):
        return response.status, response.headers, await response.json()


@pytest.mark.parametrize(
    ("verdict", "status"),
    [
        (Completed(), 200),
        (JobFailed("task_failed"), 200),
        (Refused("overloaded", 2, True), 429),
        (Refused("draining", 1), 503),
        (Abandoned("deadline"), 504),
        (NoQueue(), 404),
        (UnknownJob(), 410),
    ],
)
def test_verdict_sets_the_response_status(with_server, verdict, status):
    dispatcher = Mailbox("dispatcher")

    async def scenario(address):
        call = asyncio.create_task(submit(address))
        (await dispatcher.get()).reply.set_result(verdict)
        return await call

    got, headers, _ = with_server(CallersHandler(dispatcher).answer, scenario)
    assert got == status
    if isinstance(verdict, Refused):
        assert headers["Retry-After"] == str(verdict.retry_after_s)


def test_invalid_job_body_reaches_the_dispatcher_as_a_problem(with_server):
    dispatcher = Mailbox("dispatcher")

    async def scenario(address):
        call = asyncio.create_task(submit(address, data="{"))
        message = await dispatcher.get()
        message.reply.set_result(NoQueue())
        await call
        return message

    message = with_server(CallersHandler(dispatcher).answer, scenario)
    assert message.plan is None
    assert message.problem


def test_body_above_the_size_limit_is_refused(with_server):
    dispatcher = Mailbox("dispatcher")

    async def scenario(address):
        return await submit(address, data="x" * 300_000)

    assert with_server(CallersHandler(dispatcher).answer, scenario)[0] == 413


def test_disconnected_caller_is_reported_to_the_dispatcher(with_server):
    dispatcher = Mailbox("dispatcher")

    async def scenario(address):
        call = asyncio.create_task(submit(address))
        first = await dispatcher.get()
        call.cancel()
        return first, await dispatcher.get()

    first, second = with_server(CallersHandler(dispatcher).answer, scenario)
    assert isinstance(first, SubmitPlan)
    assert second == CallerDisconnected(KEY, first.reply)


class DispatcherMailbox(Mailbox):
    """Records of each submission whether its reply was already cancelled."""

    def __init__(self):
        super().__init__("dispatcher")
        self.cancelled = []

    def post(self, message):
        if isinstance(message, SubmitPlan):
            self.cancelled.append(message.reply.cancelled())
        return super().post(message)


def connect(address):
    """Return a connected socket; its calls block, so the server's loop stands still."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)))


@pytest.mark.parametrize("reset", [False, True], ids=["closed", "reset"])
@pytest.mark.parametrize("reused", [False, True], ids=["new", "reused"])
def test_submission_of_a_caller_that_closed_before_it_was_read_is_cancelled(
    with_server, reset, reused
):
    """A process that resumes reads requests whose callers left seconds before."""
    dispatcher = DispatcherMailbox()

    async def scenario(address):
        loop = asyncio.get_running_loop()
        caller = connect(address)
        if reused:
            caller.sendall(POST_REQUEST)
            (await dispatcher.get()).reply.set_result(Completed())
            await loop.run_in_executor(None, caller.recv, 65_536)
        if reset:
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        caller.sendall(POST_REQUEST)
        caller.close()
        async with asyncio.timeout(TIMEOUT_S):
            submission = await dispatcher.get()
            disconnect = await dispatcher.get()
        assert disconnect == CallerDisconnected(KEY, submission.reply)

    with_server(CallersHandler(dispatcher).answer, scenario)
    assert dispatcher.cancelled == [False] * reused + [True]


def test_caller_that_left_is_no_fault_of_a_full_mailbox(with_server):
    """The refusal must not be set as the result of a cancelled reply."""
    dispatcher = Mailbox("dispatcher", 0)

    async def scenario(address):
        with connect(address) as caller:
            caller.sendall(POST_REQUEST)
        async with asyncio.timeout(TIMEOUT_S):
            return await dispatcher.get()

    last = with_server(CallersHandler(dispatcher).answer, scenario)
    assert isinstance(last, CallerDisconnected)


def test_time_of_arrival_includes_the_wait_in_the_kernels_buffer(with_server):
    """A request that arrived during a suspension has less time left afterwards."""
    dispatcher = Mailbox("dispatcher")

    async def scenario(address):
        with connect(address) as caller:
            caller.sendall(POST_REQUEST)
            sent_at = seconds_since_boot()
            time.sleep(0.5)  # the server's loop stands still
            return sent_at, (await dispatcher.get()).arrived_at

    sent_at, arrived_at = with_server(CallersHandler(dispatcher).answer, scenario)
    assert arrived_at == pytest.approx(sent_at, abs=0.2)


def test_chunked_body_over_the_limit_is_refused(with_server):
    """It states no length, and was read up to four times the limit."""

    async def scenario(address):
        async def chunks():
            for _ in range(17):
                yield b"x" * 16_384

        async with aiohttp.ClientSession() as session:
            url = f"http://{address}/lohu930/5c0e7a21d94b36f8"
            async with session.post(url, data=chunks()) as response:
                return response.status

    handler = CallersHandler(Mailbox("dispatcher"))
    assert with_server(handler.answer, scenario) == 413
