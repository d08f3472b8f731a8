"""Fixtures: bodies from other programs, an HTTP server, and a guard with a target."""

import asyncio
import json

import pytest

from hawthorntrack.conftest import NESTED
from hawthorntrack.coordination.leaseholder import LeaseHolder
from hawthorntrack.platform.formats import decode_heartbeat, encode_json
from hawthorntrack.protocol.codec import codecs
from hawthorntrack.protocol.messages import Envelope
from hawthorntrack.protocol.run_messages import (
    ConfirmLease,
    GuardHeartbeat,
    Hello,
    RunOrder,
    StartRuns,
)
from hawthorntrack.protocol.target_messages import (
    RenewLeaseOrder,
    RenewLeaseReply,
    StartOrder,
    StartReply,
    TargetHeartbeat,
)
from hawthorntrack.state.actor import Delivery
from hawthorntrack.state.lease_times import DeploymentTimes, derive_lease_times
from hawthorntrack.state.mailbox import Mailbox, Tick
from hawthorntrack.state.plans import RunName, TaskName
from hawthorntrack.state.resources import Resources
from hawthorntrack.state.values import Incarnation
from hawthorntrack.transport.http_server import HttpServer

ENTRY = Incarnation("10.0.0.1:7720", "e1")
NON_JSON_VALUES = {
    "nested": NESTED,
    "nan": b"NaN",
    "infinity": b"Infinity",
    "surrogate": b'"\\ud800"',
}
UNEXPECTED_VALUES = {
    **NON_JSON_VALUES,
    "beyond_floats": b"1" + b"0" * 400,
    "beyond_digits": b"1" + b"0" * 5_000,
    "exponent": b"1e400",
    "beyond_64_bits": b"18446744073709551616",
    "beyond_63_bits": b"9223372036854775808",
    "negative": b"-1",
    "fraction": b"1.5",
    "null": b"null",
    "list": b"[null]",
    "object": b'{"cpu":18446744073709551616}',
    "text": b'"x"',
    "empty_text": b'""',
    "long_text": b'"' + b"x" * 100_000 + b'"',
    "no_utf8": b'"\xff"',
    "line_break": b'"a\\r\\nb:80"',
}


def with_field(body, path, value):
    """Return a body as JSON in which raw bytes replace the value at a path."""
    placeholder = "put-it-here"
    body = json.loads(json.dumps(body))
    inner = body
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = placeholder
    return json.dumps(body).encode().replace(b'"%s"' % placeholder.encode(), value)


@pytest.fixture
def heartbeat():
    """Return a target's heartbeat."""
    return {
        "service": "huvo11a",
        "address": "10.128.0.9:8080",
        "zone": "recife",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "capacity": {"cpu": 16000, "mem_mb": 32768, "gpu": 0},
        "labels": ["a", "r1-3"],
        "clock_ms": 482113,
        "seq": 4,
        "born": 1777896939785,
    }


@pytest.fixture(params=UNEXPECTED_VALUES.values(), ids=UNEXPECTED_VALUES)
def unexpected_value(request):
    """Return the bytes of a value that is invalid in most fields."""
    return request.param


@pytest.fixture
def with_server():
    """Return a function that runs a scenario against an HTTP server on a free port."""

    def run_with_server(handler, scenario):
        async def run_all():
            server = HttpServer("127.0.0.1:0", handler)
            await server.start()
            host, port = server.runner.addresses[0][:2]
            try:
                async with asyncio.timeout(10):
                    return await scenario(f"{host}:{port}")
            finally:
                await server.stop()

        return asyncio.run(run_all())

    return run_with_server


class Guard:
    """A lease holder whose target accepts every order."""

    def __init__(self, heartbeat):
        self.time = 1_000.0
        self.calls, self.target_record = Mailbox("calls"), Mailbox("memory")
        self.sent = []
        self.holder = LeaseHolder(
            lambda address, body: self.sent.append(body),
            self.calls,
            self.target_record,
            Mailbox("drained"),
            Mailbox("zone_reader"),
            lambda: self.time,
            first_token=50,
            lease_times=derive_lease_times(DeploymentTimes()),
            awake_clock=lambda: self.time,
        )
        self.holder.post_later = lambda delay_s, message: None
        self.holder.handle(
            TargetHeartbeat(decode_heartbeat("i-1", json.dumps(heartbeat).encode()))
        )
        self.answer()
        self.deliver(Hello("entry", "recife", "entry-1"))
        self.deliver(ConfirmLease(round(self.time * 1000), 1, ()))

    def deliver(self, body):
        self.holder.handle(Delivery(ENTRY, body))

    def answer(self):
        """Encode each pending order, as sending it would, and answer it."""
        queue = self.calls.queue
        for order in [queue.get_nowait() for _ in range(queue.qsize())]:
            encode_json(order)
            if isinstance(order, RenewLeaseOrder):
                born_ms = order.target.incarnation.born_ms
                self.holder.handle(RenewLeaseReply(order, "held", 5_000, born_ms))
            elif isinstance(order, StartOrder):
                self.holder.handle(StartReply(order, "started", 5_000))

    def run_one_task(self):
        """Start a run, encode all messages sent, and return the last heartbeat."""
        name = RunName(TaskName("a" * 16, 0, 0, int(self.time * 10)), 1)
        runs = (RunOrder(name, Resources(1_600, 64), 400),)
        self.deliver(StartRuns(round(self.time * 1000), "spec", 9_000, runs))
        self.answer()
        self.time += 0.3
        self.holder.handle(Tick())
        self.answer()
        for body in self.sent:
            codecs["msgpack"].encode(Envelope(ENTRY, 1, body))
        return next(b for b in reversed(self.sent) if isinstance(b, GuardHeartbeat))


@pytest.fixture
def guard(run, heartbeat):
    """Return a guard whose target is ready."""
    return Guard(heartbeat)
