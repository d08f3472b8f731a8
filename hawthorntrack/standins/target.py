"""A stand-in for a target: runs tasks by waiting, and records every start."""

import asyncio
import random
import time
from typing import Annotated, NamedTuple, NotRequired, TypedDict

import aiohttp
import click
import msgspec
from aiohttp import web

from hawthorntrack.protocol.bodies import AnnouncementBody, RunBody
from hawthorntrack.standins.serving import start_server, wait_for_stop_signal
from hawthorntrack.standins.table import json_response
from hawthorntrack.state.registry import Registry

ANNOUNCE_INTERVAL_S = 0.5
LEAVE_GRACE_S = 1.0


class InputBody(TypedDict):
    """What a task's input may ask of the stand-in.

    `true_ms` is the run time at speed 1, where the declared size is wrong; `echo`
    comes back in the output; `poison` makes the task one that can never run.
    """

    true_ms: NotRequired[float]
    echo: NotRequired[str]
    poison: NotRequired[bool]


class FaultBody(TypedDict):
    """How the target is to behave from now on."""

    mode: str
    share: NotRequired[Annotated[float, msgspec.Meta(ge=0, le=1)]]
    factor: NotRequired[float]


class Start(NamedTuple):
    """One start of a task, at Unix time `at` in seconds."""

    key: str
    index: int
    at: float


class FaultEffect(NamedTuple):
    """What a fault makes of a task: seconds to wait, then a status."""

    wait_s: float
    status: int


faults: Registry = Registry("target fault")


@faults.register("ok")
def run_all(run_s: float, fault: FaultBody, rng: random.Random) -> FaultEffect:
    """Run every task."""
    return FaultEffect(run_s, 200)


@faults.register("fail")
def fail_all(run_s: float, fault: FaultBody, rng: random.Random) -> FaultEffect:
    """Fail every task at once: idle and fast to look at."""
    return FaultEffect(0.0, 500)


@faults.register("straggle")
def slow_down_share(run_s: float, fault: FaultBody, rng: random.Random) -> FaultEffect:
    """Run a share of the tasks some factor slower."""
    slow = rng.random() < fault.get("share", 0.05)
    return FaultEffect(run_s * (fault.get("factor", 5.0) if slow else 1.0), 200)


class TargetStandIn:
    """Runs tasks by waiting their run time over its speed.

    Parameters
    ----------
    speed : float
        Declared milliseconds done per millisecond.
    slots : int
        Tasks that may run at once; more are counted as `overrun`.
    """

    def __init__(self, speed: float, slots: int, seed: int) -> None:
        self.speed = speed
        self.slots = slots
        self.rng = random.Random(seed)
        self.fault: FaultBody = {"mode": "ok"}
        self.starts: list[Start] = []
        self.running = 0
        self.overrun = 0
        self.stopped = 0

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the target and of its faults."""
        return [
            web.post("/run", self.run),
            web.get("/starts", self.show_starts),
            web.post("/faults", self.set_fault),
        ]

    async def run(self, request: web.Request) -> web.Response:
        """Run one task."""
        body = msgspec.json.decode(await request.read(), type=RunBody)
        self.starts.append(Start(body["key"], body["index"], time.time()))
        try:
            wanted = msgspec.json.decode(bytes(body["input"]), type=InputBody | None)
        except msgspec.ValidationError:
            wanted = None
        wanted = wanted or {}
        if wanted.get("poison"):
            return web.Response(status=422, text='"this task can never run"')
        true_ms = wanted.get("true_ms", body["size_ms"])
        self.running += 1
        self.overrun += self.running > self.slots
        try:
            run_s = true_ms / 1000 / self.speed
            outcome = faults[self.fault["mode"]](run_s, self.fault, self.rng)
            await asyncio.sleep(outcome.wait_s)
        except asyncio.CancelledError:
            self.stopped += 1
            raise
        finally:
            self.running -= 1
        if outcome.status != 200:
            return web.Response(status=outcome.status, text='"target fault"')
        echo = wanted.get("echo", "")
        return json_response({"key": body["key"], "index": body["index"], "echo": echo})

    async def show_starts(self, request: web.Request) -> web.Response:
        """Return every start so far."""
        return json_response(
            {
                "starts": [start._asdict() for start in self.starts],
                "overrun": self.overrun,
                "stopped": self.stopped,
            }
        )

    async def set_fault(self, request: web.Request) -> web.Response:
        """Set the fault in force."""
        fault = msgspec.json.decode(await request.read(), type=FaultBody)
        if fault["mode"] not in faults:
            return web.Response(status=400, text=f"modes: {faults.names()}\n")
        self.fault = fault
        return json_response(fault)


async def announce(body: AnnouncementBody, guard: str) -> None:
    """Announce the target to its guard, again and again."""
    timeout = aiohttp.ClientTimeout(total=1.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while True:
            try:
                data = msgspec.json.encode(body)
                async with session.post(f"http://{guard}/announce", data=data):
                    pass
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)


async def run_target(
    standin: TargetStandIn, body: AnnouncementBody, guard: str
) -> None:
    """Serve until stopped; then announce the leaving and finish what runs."""
    runner = await start_server(standin.routes(), body["address"])
    announcing = asyncio.create_task(announce(body, guard))
    await wait_for_stop_signal()
    body["leaving"] = True
    await asyncio.sleep(LEAVE_GRACE_S)
    while standin.running:
        await asyncio.sleep(0.05)
    announcing.cancel()
    await runner.cleanup()


@click.command()
@click.option("--address", required=True, help="ip:port to listen on")
@click.option("--guard", required=True, help="ip:port of the guard's HTTP side")
@click.option("--service", required=True)
@click.option("--kinds", required=True, help="kinds of task, separated by commas")
@click.option("--slots", default=8)
@click.option("--connections", default=64)
@click.option("--zone", required=True)
@click.option("--rack", required=True)
@click.option("--worker", required=True)
@click.option("--speed", default=1.0)
@click.option("--seed", default=1)
def main(
    address: str,
    guard: str,
    service: str,
    kinds: str,
    slots: int,
    connections: int,
    zone: str,
    rack: str,
    worker: str,
    speed: float,
    seed: int,
) -> None:
    """Run the stand-in of a target."""
    body: AnnouncementBody = {
        "service": service,
        "address": address,
        "kinds": kinds.split(","),
        "slots": slots,
        "connections": connections,
        "zone": zone,
        "rack": rack,
        "worker": worker,
    }
    asyncio.run(run_target(TargetStandIn(speed, slots, seed), body, guard))


if __name__ == "__main__":
    main()
