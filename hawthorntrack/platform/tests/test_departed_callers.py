"""An entry instance whose callers leave while its process is paused, over sockets."""

import asyncio
import json
import socket

import pytest

from hawthorntrack.coordination.dispatcher import Dispatcher
from hawthorntrack.platform.entry_http import CallersHandler
from hawthorntrack.protocol.job_requests import DirectivesChanged
from hawthorntrack.protocol.run_messages import (
    ConfirmLease,
    GuardHeartbeat,
    Hello,
    StartRuns,
    StopRuns,
    TargetStatus,
)
from hawthorntrack.state.actor import Delivery
from hawthorntrack.state.catalogue import Catalogue, Queue
from hawthorntrack.state.clock import seconds_since_boot
from hawthorntrack.state.directives import Directives
from hawthorntrack.state.lease_times import DeploymentTimes, derive_lease_times
from hawthorntrack.state.mailbox import Mailbox, Tick
from hawthorntrack.state.resources import Resources
from hawthorntrack.state.values import Incarnation

GUARD = Incarnation("guard-1:1", "g1")
CAPACITY = Resources(16_000, 32_768)
QUEUE = Queue("q", "calls.example", "/q/", "visits", 0.06, 0, 2, 1.6)
PAUSE_S = 0.3  # below the duration from which open jobs count as abandoned
MAX_WAITS = 1_000
BODY = json.dumps(
    {
        "best_effort": True,
        "spec": "x",
        "steps": [{"count": 2, "cpu": 1_600, "mem_mb": 64, "estimate_ms": 4_000}],
    }
).encode()


class PausedEntry:
    """An entry instance whose clock can be advanced as if the process was paused."""

    def __init__(self):
        self.paused_s = 0.0
        self.sent = []
        self.sequence = 0
        self.dispatcher = Dispatcher(
            "recife",
            1.5,
            lambda address, body: self.sent.append(body),
            Mailbox("links"),
            Mailbox("drained"),
            lambda ready, reason: None,
            self.clock,
            5.0,
            derive_lease_times(DeploymentTimes()),
        )
        self.handler = CallersHandler(self.dispatcher.mailbox, self.clock)

    def clock(self):
        return seconds_since_boot() + self.paused_s

    def put(self, body):
        self.dispatcher.mailbox.put(Delivery(GUARD, body))

    def put_heartbeat(self, free):
        self.sequence += 1
        status = TargetStatus(
            "ready", "visits", "recife", "t-1", (), CAPACITY, free, 1.0, self.sequence
        )
        self.put(GuardHeartbeat(round(self.clock() * 1000), status))

    def connect_guard(self, free):
        self.put(DirectivesChanged(Directives(1, Catalogue(1, (QUEUE,)))))
        self.put(Hello("guard", "recife", "guard-1"))
        self.put_heartbeat(free)
        self.put(Tick())

    def submit(self, address, key):
        """Send a job with blocking calls, and return the open connection."""
        host, _, port = address.rpartition(":")
        caller = socket.create_connection((host, int(port)))
        head = f"POST /q/{key} HTTP/1.1\r\nHost: calls.example\r\n"
        caller.sendall(f"{head}Content-Length: {len(BODY)}\r\n\r\n".encode() + BODY)
        return caller

    async def wait_until(self, condition):
        """Let the event loop run until a condition holds."""
        for _ in range(MAX_WAITS):
            if condition():
                return
            await asyncio.sleep(0.001)
        raise AssertionError("the condition did not come about")

    def jobs_started(self):
        """Return the keys of the jobs of which runs were started."""
        return {
            order.name.task.job
            for body in self.sent
            if isinstance(body, StartRuns)
            for order in body.runs
        }

    def kinds_sent(self):
        return [type(body) for body in self.sent]


@pytest.fixture
def entry():
    return PausedEntry()


@pytest.fixture
def play(with_server, entry):
    """Return a function that plays a scenario while the dispatcher runs."""

    def play_scenario(scenario):
        async def with_dispatcher(address):
            task = asyncio.create_task(entry.dispatcher.run())
            try:
                await scenario(address)
            finally:
                task.cancel()

        with_server(entry.handler.answer, with_dispatcher)

    return play_scenario


@pytest.mark.parametrize("passes", range(4))
def test_runs_are_stopped_before_a_lease_confirmation_if_the_caller_left_in_a_pause(
    entry, play, passes
):
    """The heartbeat is in the mailbox some passes before or after the connection ends.

    The leases of the runs were confirmed for a caller that had left 0.3 s before.
    """

    async def scenario(address):
        entry.connect_guard(CAPACITY)
        caller = entry.submit(address, "a" * 16)
        await entry.wait_until(lambda: StartRuns in entry.kinds_sent())
        entry.put(Tick())
        await asyncio.sleep(0)
        entry.sent.clear()
        caller.close()
        entry.paused_s += PAUSE_S
        for _ in range(passes):
            await asyncio.sleep(0)
        entry.put_heartbeat(CAPACITY)
        await entry.wait_until(lambda: StopRuns in entry.kinds_sent())

    play(scenario)
    kinds = entry.kinds_sent()
    assert ConfirmLease not in kinds[: kinds.index(StopRuns)]


def test_heartbeat_read_just_before_the_end_of_the_callers_connection_waits_for_it(
    entry, play
):
    """The dispatcher is woken between the two, and the timer of its pass is due."""

    async def scenario(address):
        loop = asyncio.get_running_loop()
        entry.connect_guard(CAPACITY)
        caller = entry.submit(address, "a" * 16)
        await entry.wait_until(lambda: StartRuns in entry.kinds_sent())
        link, guard = socket.socketpair()

        def read_link():
            link.recv(1)
            entry.put_heartbeat(CAPACITY)

        loop.add_reader(link, read_link)
        entry.put(Tick())
        await asyncio.sleep(0)
        entry.sent.clear()
        entry.paused_s += PAUSE_S
        entry.put(Tick())
        await asyncio.sleep(0)
        guard.send(b"x")
        caller.close()
        await entry.wait_until(lambda: StopRuns in entry.kinds_sent())
        loop.remove_reader(link)
        link.close()
        guard.close()

    play(scenario)
    kinds = entry.kinds_sent()
    assert ConfirmLease not in kinds[: kinds.index(StopRuns)]


@pytest.mark.parametrize("passes", range(4))
def test_waiting_job_whose_caller_left_in_a_pause_is_not_started(entry, play, passes):
    async def scenario(address):
        entry.connect_guard(Resources())
        callers = [entry.submit(address, digit * 16) for digit in "ab"]
        await entry.wait_until(lambda: len(entry.dispatcher.jobs) == len(callers))
        entry.put(Tick())
        await asyncio.sleep(0)
        callers[0].close()
        entry.paused_s += PAUSE_S
        for _ in range(passes):
            await asyncio.sleep(0)
        entry.put_heartbeat(CAPACITY)
        await entry.wait_until(lambda: StartRuns in entry.kinds_sent())
        callers[1].close()

    play(scenario)
    assert entry.jobs_started() == {"b" * 16}


def test_submissions_of_callers_that_left_in_a_pause_are_not_started(entry, play):
    """Nine runs were started 7 ms before their caller was found to have left."""

    async def scenario(address):
        entry.connect_guard(CAPACITY)
        entry.put(Tick())
        callers = [entry.submit(address, f"{number:016x}") for number in range(20)]
        for caller in callers[:-1]:
            caller.close()
        await entry.wait_until(lambda: StartRuns in entry.kinds_sent())
        await asyncio.sleep(0.05)
        callers[-1].close()

    play(scenario)
    assert entry.jobs_started() == {f"{19:016x}"}
