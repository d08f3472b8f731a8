"""Stand-in for a target: runs tasks by sleeping, and records every start."""

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
    """Instructions to the stand-in in a task's input.

    Attributes
    ----------
    true_ms : float
        Run time at speed 1 in milliseconds, for a task whose declared size is wrong.
    echo : str
        Text to return in the output.
    poison : bool
        Whether to reject the task as one that can never run.
    """

    true_ms: NotRequired[float]
    echo: NotRequired[str]
    poison: NotRequired[bool]


class FaultBody(TypedDict):
    """The fault to inject from now on.

    Attributes
    ----------
    mode : str
        Name of a registered fault.
    share : float
        Share of the tasks that ``straggle`` slows down.
    factor : float
        Factor by which their run time grows.
    """

    mode: str
    share: NotRequired[Annotated[float, msgspec.Meta(ge=0, le=1)]]
    factor: NotRequired[float]


class Start(NamedTuple):
    """One start of a task, at Unix time `at` in seconds."""

    key: str
    index: int
    at: float


class FaultEffect(NamedTuple):
    """The effect of a fault on a task: run time in seconds, and HTTP status."""

    wait_s: float
    status: int


faults: Registry = Registry("target fault")


@faults.register("ok")
def run_all(run_s: float, fault: FaultBody, rng: random.Random) -> FaultEffect:
    """Run every task."""
    return FaultEffect(run_s, 200)


@faults.register("fail")
def fail_all(run_s: float, fault: FaultBody, rng: random.Random) -> FaultEffect:
    """Fail every task at once, so that the target looks idle and fast."""
    return FaultEffect(0.0, 500)


@faults.register("straggle")
def slow_down_share(run_s: float, fault: FaultBody, rng: random.Random) -> FaultEffect:
    """Slow down a random share of the tasks by a factor."""
    slow = rng.random() < fault.get("share", 0.05)
    return FaultEffect(run_s * (fault.get("factor", 5.0) if slow else 1.0), 200)


class TargetStandIn:
    """Runs a task by sleeping for its run time divided by the target's speed.

    Parameters
    ----------
    speed : float
        Milliseconds of declared run time done per millisecond.
    slots : int
        Number of tasks that may run at once; starts above it count as `overrun`.
    seed : int
        Seed of the random choices that faults make.
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
        """Return the routes of the target, of its starts and of fault injection."""
        return [
            web.post("/run", self.run),
            web.get("/starts", self.show_starts),
            web.post("/faults", self.set_fault),
        ]

    async def run(self, request: web.Request) -> web.Response:
        """Run one task; count it as stopped if the client disconnects."""
        body = msgspec.json.decode(await request.read(), type=RunBody)
        self.starts.append(Start(body["key"], body["index"], time.time()))
        try:
            instructions = msgspec.json.decode(
                bytes(body["input"]), type=InputBody | None
            )
        except msgspec.ValidationError:
            instructions = None
        instructions = instructions or {}
        if instructions.get("poison"):
            return web.Response(status=422, text='"this task can never run"')
        true_ms = instructions.get("true_ms", body["size_ms"])
        self.running += 1
        self.overrun += self.running > self.slots
        try:
            run_s = true_ms / 1000 / self.speed
            effect = faults[self.fault["mode"]](run_s, self.fault, self.rng)
            await asyncio.sleep(effect.wait_s)
        except asyncio.CancelledError:
            self.stopped += 1
            raise
        finally:
            self.running -= 1
        if effect.status != 200:
            return web.Response(status=effect.status, text='"target fault"')
        echo = instructions.get("echo", "")
        return json_response({"key": body["key"], "index": body["index"], "echo": echo})

    async def show_starts(self, request: web.Request) -> web.Response:
        """Return all recorded starts, and the counts of overruns and stops."""
        return json_response(
            {
                "starts": [start._asdict() for start in self.starts],
                "overrun": self.overrun,
                "stopped": self.stopped,
            }
        )

    async def set_fault(self, request: web.Request) -> web.Response:
        """Set the fault to inject."""
        fault = msgspec.json.decode(await request.read(), type=FaultBody)
        if fault["mode"] not in faults:
            return web.Response(status=400, text=f"modes: {faults.names()}\n")
        self.fault = fault
        return json_response(fault)


async def announce(body: AnnouncementBody, guard: str) -> None:
    """Announce the target to its guard every `ANNOUNCE_INTERVAL_S`."""
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
    """Serve until SIGTERM or SIGINT; then announce the departure and finish tasks."""
    runner = await start_server(standin.routes(), body["address"])
    announcer = asyncio.create_task(announce(body, guard))
    await wait_for_stop_signal()
    body["leaving"] = True
    await asyncio.sleep(LEAVE_GRACE_S)
    while standin.running:
        await asyncio.sleep(0.05)
    announcer.cancel()
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
