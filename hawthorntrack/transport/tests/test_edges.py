"""HTTP and the message bus on loopback: invalid input, slow clients, lost answers."""

import asyncio
import os

import aiohttp
import pytest
import zmq
import zmq.asyncio

from hawthorntrack.protocol import local, messages
from hawthorntrack.protocol.codec import codecs
from hawthorntrack.standins.serving import start_server
from hawthorntrack.standins.table import TableStandIn
from hawthorntrack.standins.target import TargetStandIn
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.metrics import BAD_INPUT, BUS_DROPS
from hawthorntrack.state.table import (
    ABSENT,
    Conflict,
    ReadResult,
    TableUnavailable,
    WriteOutcomeUnknown,
    Written,
)
from hawthorntrack.state.values import Answer, Incarnation, TaskSpec
from hawthorntrack.transport import web as web_module
from hawthorntrack.transport.bus import BusReceiver, BusSender, Outgoing
from hawthorntrack.transport.callers import CallersApi
from hawthorntrack.transport.table_client import HttpTable
from hawthorntrack.transport.target_client import TargetClient
from hawthorntrack.transport.web import Readiness, WebServer

WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
TABLE, TARGET, BUS, HTTP = (f"127.0.0.1:{31_801 + 10 * WORKER + n}" for n in range(4))


def run_with_real_clock(scenario):
    """Run a scenario on a loop with the real clock, which real sockets need."""
    return asyncio.run(asyncio.wait_for(scenario, 20))


@pytest.fixture
def table_client():
    return HttpTable(f"http://{TABLE}", 0.3, 100, 100)


def test_table_write_without_an_answer_has_an_unknown_outcome(table_client):
    async def scenario():
        standin = TableStandIn()
        app_runner = await start_server(standin.routes(), TABLE)
        table = table_client
        assert isinstance(await table.write("a", ABSENT, b"1"), Written)
        assert isinstance(await table.write("a", ABSENT, b"2"), Conflict)
        assert isinstance(await table.read("a"), ReadResult)
        standin.fault = {"mode": "down"}
        assert isinstance(await table.read("a"), TableUnavailable)
        assert isinstance(await table.write("b", ABSENT, b"1"), WriteOutcomeUnknown)
        standin.fault = {"mode": "lose_answers"}
        assert isinstance(await table.write("b", ABSENT, b"1"), WriteOutcomeUnknown)
        assert "b" in standin.table.rows
        standin.fault = {"mode": "up", "delay_ms": 600}
        assert isinstance(await table.read("a"), TableUnavailable)
        await table.close()
        await app_runner.cleanup()
        assert isinstance(
            await HttpTable("http://127.0.0.1:1", 0.3, 9, 9).read(""), TableUnavailable
        )

    run_with_real_clock(scenario())


def test_table_client_keeps_within_its_rate_limit(table_client):
    async def scenario():
        app_runner = await start_server(TableStandIn().routes(), TABLE)
        table = HttpTable(f"http://{TABLE}", 1.0, 20, 20)
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        await asyncio.gather(*(table.read("") for _ in range(30)))
        assert loop.time() - started_at >= 0.45
        await table.close()
        await app_runner.cleanup()

    run_with_real_clock(scenario())


@pytest.mark.parametrize(
    ("fault", "body", "ok", "target_fault"),
    [
        ({"mode": "ok"}, b'{"echo": "x"}', True, False),
        ({"mode": "fail"}, b"null", False, True),
        ({"mode": "ok"}, b'{"poison": true}', False, False),
        (None, b"null", False, True),
    ],
)
def test_failure_counts_against_the_target_only_if_it_caused_it(
    fault, body, ok, target_fault
):
    async def scenario():
        app_runner = None
        if fault is not None:
            standin = TargetStandIn(1.0, 8, 1)
            standin.fault = fault
            app_runner = await start_server(standin.routes(), TARGET)
        answers = Mailbox("answers")
        client = TargetClient(answers)
        client.handle(local.SetConnections(2))
        spec = TaskSpec("confirm", body, 10)
        client.handle(local.RunTask(("visits", "k", 0), TARGET, "k", 0, spec))
        answer = await answers.get()
        assert (answer.ok, answer.target_fault) == (ok, target_fault)
        await client.session.close()
        if app_runner:
            await app_runner.cleanup()

    run_with_real_clock(scenario())


def test_stopping_a_task_cancels_it_at_the_target():
    async def scenario():
        standin = TargetStandIn(1.0, 8, 1)
        app_runner = await start_server(standin.routes(), TARGET)
        answers = Mailbox("answers")
        client = TargetClient(answers)
        client.handle(local.SetConnections(2))
        name = ("visits", "k", 0)
        spec = TaskSpec("confirm", b"null", 10_000)
        client.handle(local.RunTask(name, TARGET, "k", 0, spec))
        while not standin.running:
            await asyncio.sleep(0.01)
        client.handle(local.StopTask(name))
        assert not (await answers.get()).ok
        while standin.running:
            await asyncio.sleep(0.01)
        assert standin.stopped == 1
        await client.session.close()
        await app_runner.cleanup()

    run_with_real_clock(scenario())


def counter_value(counter, **labels):
    return counter.labels(**labels)._value.get()


def test_message_to_an_invalid_address_is_dropped(odd_address):
    async def scenario():
        context = zmq.asyncio.Context()
        me = Incarnation("127.0.0.1:1", "a")
        sender = BusSender(context, codecs["msgpack"], me, None, {})
        try:
            sender.handle(
                Outgoing(Incarnation(odd_address, "n"), messages.Pending("r1"))
            )
            assert sender.peers == {}
        finally:
            context.destroy(linger=0)

    asyncio.run(scenario())


def test_message_to_a_peer_whose_socket_rejects_the_address_is_dropped(monkeypatch):
    def reject(socket, address):
        raise zmq.ZMQError(zmq.EINVAL)

    async def scenario():
        context = zmq.asyncio.Context()
        me, peer = Incarnation("127.0.0.1:1", "a"), Incarnation("127.0.0.1:2", "n")
        sender = BusSender(context, codecs["msgpack"], me, None, {})
        dropped = counter_value(BUS_DROPS, reason="no_address")
        try:
            sender.handle(Outgoing(peer, messages.Pending("r1")))
            assert sender.peers == {}
            assert counter_value(BUS_DROPS, reason="no_address") == dropped + 1
        finally:
            context.destroy(linger=0)

    monkeypatch.setattr(zmq.Socket, "connect", reject)
    asyncio.run(scenario())


def test_task_for_an_unencodable_target_address_fails(unencodable_address):
    """The resolver's error for such a host used to end the client and its process."""

    async def scenario():
        answers = Mailbox("answers")
        client = TargetClient(answers)
        client.handle(local.SetConnections(2))
        name = ("visits", "k", 0)
        spec = TaskSpec("confirm", b"null", 10)
        client.handle(local.RunTask(name, unencodable_address, "k", 0, spec))
        answer = await answers.get()
        assert not answer.ok
        assert answer.target_fault
        await client.session.close()

    run_with_real_clock(scenario())


def test_table_at_an_unencodable_address_is_unavailable(unencodable_address):
    async def scenario():
        table = HttpTable(f"http://{unencodable_address}", 0.3, 9, 9)
        assert isinstance(await table.read(""), TableUnavailable)
        assert isinstance(await table.write("a", ABSENT, b""), WriteOutcomeUnknown)
        await table.close()

    run_with_real_clock(scenario())


def test_bus_drops_invalid_messages_and_keeps_receiving():
    async def scenario():
        context = zmq.asyncio.Context()
        me = Incarnation(BUS, "life2")
        received: asyncio.Queue = asyncio.Queue()
        receiver = BusReceiver(context, codecs["msgpack"], me, received.put_nowait)
        receiving = asyncio.create_task(receiver.run())
        raw = context.socket(zmq.PUSH, socket_class=zmq.Socket)
        raw.connect(f"tcp://{BUS}")
        malformed = counter_value(BAD_INPUT, edge="bus", reason="malformed")
        other = counter_value(BUS_DROPS, reason="other_incarnation")
        raw.send_multipart([b"", b"\xff garbage"])
        raw.send_multipart([b"one frame"])
        sender = BusSender(
            context, codecs["msgpack"], Incarnation("127.0.0.1:1", "s"), print, {}
        )
        old_incarnation = Incarnation(BUS, "life1")
        sender.handle(Outgoing(old_incarnation, messages.Pending("old")))
        sender.handle(Outgoing(me, messages.Pending("new")))
        try:
            assert (await received.get()).body == messages.Pending("new")
            while counter_value(BAD_INPUT, edge="bus", reason="malformed") == malformed:
                await asyncio.sleep(0.01)
            while counter_value(BUS_DROPS, reason="other_incarnation") == other:
                await asyncio.sleep(0.01)
            assert received.empty()
            assert not receiving.done()
        finally:
            receiving.cancel()
            raw.close(linger=0)
            for peer in sender.peers.values():
                peer.socket.close(linger=0)
            await asyncio.sleep(0)
            context.destroy(linger=0)

    run_with_real_clock(scenario())


@pytest.fixture
def entry(settings):
    """Return a function that starts the callers' interface with a mailbox as router."""

    async def open_entry(**changes):
        router = Mailbox("router")
        bounds = settings.bounds._replace(body_bytes=2_000, **changes)
        api = CallersApi(router, Mailbox("questioner"), bounds)
        server = WebServer(
            settings._replace(http=HTTP, bounds=bounds),
            Readiness(),
            {"router": router},
            api.routes(),
        )
        await server.start()
        return router, server

    return open_entry


HEADERS = {"Idempotency-Key": "k", "Hawthorntrack-Customer": "jardim"}
URL = f"http://{HTTP}/v1/services/visits/jobs"


@pytest.mark.parametrize(
    ("data", "headers", "status", "kind"),
    [
        (b"{", HEADERS, 400, "bad_request"),
        (b'{"tasks": [{"kind": "a"}]}', {}, 400, "bad_request"),
        (b" " * 3_000, HEADERS, 413, "body_too_large"),
    ],
)
def test_invalid_requests_are_refused_as_not_run(entry, data, headers, status, kind):
    async def scenario():
        router, server = await entry()
        async with aiohttp.ClientSession() as session:
            async with session.post(URL, data=data, headers=headers) as response:
                body = await response.json()
            assert response.status == status
            assert (body["kind"], body["ran"], body["status"]) == (
                kind,
                "no",
                "refused",
            )
            async with session.get(f"http://{HTTP}/nowhere") as response:
                assert (await response.json())["status"] == "refused"
            async with session.get(f"http://{HTTP}/readyz") as response:
                assert response.status == 503
            async with session.get(f"http://{HTTP}/metrics") as response:
                assert "hawthorntrack_bad_input_total" in await response.text()
        assert router.queue.empty()
        await server.stop()

    run_with_real_clock(scenario())


@pytest.mark.parametrize(
    ("method", "status", "ran"),
    [("POST", "refused", "no"), ("GET", "unknown", "maybe")],
)
def test_connections_above_the_limit_are_refused(entry, method, status, ran):
    async def scenario():
        router, server = await entry(connections=2)
        idle = [await asyncio.open_connection(*HTTP.split(":")) for _ in range(2)]
        while len(server.runner.server.connections) < 2:
            await asyncio.sleep(0.01)
        url = URL if method == "POST" else f"{URL}/k"
        async with aiohttp.ClientSession() as session:
            async with session.request(method, url, headers=HEADERS) as response:
                body = await response.json()
            assert (response.status, response.headers["Connection"]) == (503, "close")
            assert (body["kind"], body["status"], body["ran"]) == (
                "queue_full",
                status,
                ran,
            )
            for _, writer in idle:
                writer.close()
            while server.runner.server.connections:
                await asyncio.sleep(0.01)
            async with session.get(f"http://{HTTP}/healthz") as response:
                assert response.status == 200
        assert router.queue.empty()
        await server.stop()

    run_with_real_clock(scenario())


def test_slow_body_is_refused_without_delaying_other_requests(entry, monkeypatch):
    monkeypatch.setattr(web_module, "BODY_TIMEOUT_S", 0.2)

    async def scenario():
        router, server = await entry()
        reader, writer = await asyncio.open_connection(*HTTP.split(":"))
        writer.write(
            b"POST /v1/services/visits/jobs HTTP/1.1\r\nHost: x\r\n"
            b"Idempotency-Key: k\r\nContent-Length: 100\r\n\r\n{"
        )
        async with aiohttp.ClientSession() as session:
            posting = asyncio.create_task(
                session.post(URL, data=b'{"tasks": [{"kind": "a"}]}', headers=HEADERS)
            )
            submission = await router.get()
            submission.reply.set_result(Answer("refused", "customer_limit", "no", ""))
            response = await posting
            assert response.status == 429
            assert response.headers["Retry-After"] == "1"
            await response.read()
        assert b"400" in await reader.readline()
        writer.close()
        await server.stop()

    run_with_real_clock(scenario())
