"""An executor as PROTOCOL.md describes it, on one loopback address."""

import asyncio
import json
import time
from collections.abc import Callable
from typing import Any

import aiohttp
from aiohttp import web

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 1000
STOP_S = 0.03  # `stop_ms` is 50
LISTED_ENDS = 500


class Run:
    """One run that is at work."""

    def __init__(self, task: str, number: int, work_s: float, cpu: int) -> None:
        self.task = task
        self.number = number
        self.work_s = work_s
        self.cpu = cpu
        self.began = time.monotonic()
        self.timer: asyncio.TimerHandle | None = None


class Executor:
    """An executor with a fixed capacity, which it enforces.

    Parameters
    ----------
    name : str
        Its id.
    address, control : str
        Where it takes calls, and where it sends its heartbeats.
    need_of : callable
        Returns a task's work in seconds and its `cpu`; known from the job's body.
    note : callable
        Records an event: a word and the fields that belong to it.
    """

    def __init__(
        self,
        name: str,
        address: str,
        control: str,
        zone: str,
        labels: tuple[str, ...],
        need_of: Callable[[str], tuple[float, int]],
        note: Callable[..., None],
        cpu: int = 16_000,
    ) -> None:
        self.name, self.address, self.control = name, address, control
        self.zone, self.labels, self.cpu = zone, labels, cpu
        self.need_of, self.note = need_of, note
        self.session: aiohttp.ClientSession | None = None
        self.runner: web.ServerRunner | None = None
        self.beats: asyncio.Task[None] | None = None
        self.runs: dict[str, Run] = {}

    async def start(self) -> None:
        """Begin a new life, which knows nothing of an earlier one."""
        self.began = time.monotonic()
        self.born = time.time_ns() // 1_000_000
        self.runs, self.barred, self.ends = {}, {}, []
        self.token = self.count = self.seq = self.lease_ms = 0
        self.state = "ready"
        self.changed = asyncio.Event()
        self.runner = web.ServerRunner(web.Server(self.answer, access_log=None))
        await self.runner.setup()
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self.runner, host, int(port)).start()
        self.session = aiohttp.ClientSession()
        self.beats = asyncio.create_task(self.send_heartbeats())
        self.note("executor-up", executor=self.name)

    async def crash(self) -> None:
        """End at once: all runs are gone, and nothing is sent."""
        self.note("executor-crash", executor=self.name, running=sorted(self.runs))
        for run in self.runs.values():
            if run.timer:
                run.timer.cancel()
            self.note("run-crashed", executor=self.name, task=run.task, run=run.number)
        self.runs = {}
        self.beats.cancel()
        for handler in list(self.runner.server.connections):
            if handler.transport is not None:
                handler.transport.abort()
        await self.runner.cleanup()
        await self.session.close()

    async def leave(self, serves_on_s: float) -> None:
        """Report that it drains, serve on for a while, and end."""
        self.note("executor-drains", executor=self.name)
        self.state = "draining"
        self.beats.cancel()
        self.beats = asyncio.create_task(self.send_heartbeats())
        await asyncio.sleep(serves_on_s)
        self.beats.cancel()
        url = f"http://{self.control}/v1/executors/{self.name}"
        async with self.session.delete(url) as response:
            await response.read()
        await self.crash()

    def clock_ms(self) -> int:
        """Return its own steady clock."""
        return round((time.monotonic() - self.began) * 1000)

    async def send_heartbeats(self) -> None:
        """Send a heartbeat at the start and every `HEARTBEAT_S`."""
        while True:
            self.seq += 1
            body = {
                "service": "visitas",
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": self.state,
                "cold_remaining_ms": 0,
                "capacity": {"cpu": self.cpu, "mem_mb": 32_768, "gpu": 0},
                "labels": list(self.labels),
                "clock_ms": self.clock_ms(),
                "seq": self.seq,
                "born": self.born,
            }
            url = f"http://{self.control}/v1/executors/{self.name}"
            try:
                async with asyncio.timeout(1.0):
                    async with self.session.put(url, json=body) as response:
                        await response.read()
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            await asyncio.sleep(HEARTBEAT_S)

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Carry out one call."""
        if request.headers.get("Hawthorntrack-Expected-Instance") != self.name:
            return self.reply(421)
        body = json.loads(await request.read())
        token = body.get("fencing_token", 0)
        if token < self.token:
            return self.reply(409, reason="fence")
        self.token = token
        if request.path == "/v1/run-start":
            return self.start_run(body)
        if request.path == "/v1/run-stop":
            return self.stop_run(body)
        if request.path == "/v1/hold":
            return await self.hold(body)
        return self.reply(400)

    def reply(self, status: int, **fields: Any) -> web.Response:
        """Return a response with the clock and the life's birth."""
        body = {"clock_ms": self.clock_ms(), "born": self.born, **fields}
        return web.Response(
            status=status,
            body=json.dumps(body).encode(),
            content_type="application/json",
        )

    def start_run(self, body: dict[str, Any]) -> web.Response:
        """Start a run if its lease, its number and the room allow it."""
        task, number = body["task"], body["run"]
        if body["deadline_ms"] <= self.clock_ms():
            return self.reply(409, reason="late")
        self.extend_lease(body["deadline_ms"])
        present = self.runs.get(task)
        if present is not None and present.number == number:
            return self.reply(200)
        if present is not None or number <= self.barred.get(task, 0):
            return self.reply(409, reason="old")
        work_s, cpu = self.need_of(task)
        if sum(run.cpu for run in self.runs.values()) + cpu > self.cpu:
            return self.reply(409, reason="room")
        run = self.runs[task] = Run(task, number, work_s, cpu)
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(work_s, self.end, run, "done")
        self.note("start", executor=self.name, task=task, run=number)
        return self.reply(200)

    def stop_run(self, body: dict[str, Any]) -> web.Response:
        """Stop a run, and bar it if it is not there."""
        task, number = body["task"], body["run"]
        self.barred[task] = max(number, self.barred.get(task, 0))
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, self.end, run, "stopped")
        return self.reply(200)

    def end(self, run: Run, how: str) -> None:
        """End a run and list its end."""
        if self.runs.get(run.task) is not run:
            return
        run.timer.cancel()
        del self.runs[run.task]
        self.barred[run.task] = max(run.number, self.barred.get(run.task, 0))
        self.count += 1
        self.ends.append([self.count, run.task, run.number, how, ""])
        self.note("end", executor=self.name, task=run.task, run=run.number, how=how)
        self.changed.set()
        self.changed = asyncio.Event()

    def extend_lease(self, deadline_ms: int) -> None:
        """Extend the lease of all runs; it never shortens."""
        limit = self.clock_ms() + HOLD_MAX_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, limit))
        left_s = (self.lease_ms - self.clock_ms()) / 1000
        asyncio.get_running_loop().call_later(left_s + 0.001, self.check_lease)

    def check_lease(self) -> None:
        """Kill everything once the lease has expired."""
        if self.clock_ms() >= self.lease_ms:
            for run in list(self.runs.values()):
                self.end(run, "lapsed")

    async def hold(self, body: dict[str, Any]) -> web.Response:
        """Renew the lease and list the runs, after a wait for an end."""
        acked = body.get("acked_upto", 0)
        self.ends = [end for end in self.ends if end[0] > acked]
        if "deadline_ms" in body:
            self.extend_lease(body["deadline_ms"])
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.ends and (left_s := until - time.monotonic()) > 0:
            try:
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
            except TimeoutError:
                break
        now = time.monotonic()
        running = [
            [r.task, r.number, "", min(99, int(100 * (now - r.began) / r.work_s)), 0]
            for r in self.runs.values()
        ]
        return self.reply(200, running=running, ended=self.ends[:LISTED_ENDS])
