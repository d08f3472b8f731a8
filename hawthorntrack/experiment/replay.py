"""Replays traces against the real processes of a deployment and records the runs."""

import asyncio
import contextlib
import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
from prometheus_client.parser import text_string_to_metric_families

from hawthorntrack.experiment.launcher import ENVIRONMENT, Fleet
from hawthorntrack.experiment.layout import deployments
from hawthorntrack.experiment.records import Run, Submission, ZoneOut
from hawthorntrack.experiment.trace import Event, Trace
from hawthorntrack.protocol.rows import decode_zones, encode_zones, zones_key
from hawthorntrack.state.registry import Registry

STAMP_INTERVAL_S = 0.5
SETTLE_TIME_S = 0.5

acts: Registry[Callable] = Registry("trace act")


class Replay:
    """A single run of a trace.

    Parameters
    ----------
    trace : Trace
        The events to carry out, with their times.
    base_port : int
        First port of the range that the processes listen on.
    policy : str
        Placement policy in the service document.
    fleet : Fleet or None
        A deployment that is already running, to replay several traces on it in
        turn. If None, the deployment that the trace names is made.
    """

    def __init__(
        self,
        trace: Trace,
        base_port: int = 21_000,
        policy: str = "expected_finish",
        fleet: Fleet | None = None,
    ) -> None:
        self.trace = trace
        self.fleet = fleet or fleet_for(trace, base_port, policy)
        self.submissions: list[Submission] = []
        self.zones_out: list[ZoneOut] = []
        self.stamps: dict[str, list[int]] = {}
        self.notes: dict[str, Any] = {}
        self.job_bodies: dict[str, dict[str, Any]] = {}
        self.started_at = 0.0

    async def run(self) -> Run:
        """Start the deployment, replay the trace, and stop it; return the record."""
        try:
            await self.fleet.start()
            run = await self.measure()
            codes = await self.fleet.stop()
            run.notes["exit_codes"] = {n: c for n, c in codes.items() if c}
        finally:
            await self.fleet.close()
        return run

    async def measure(self) -> Run:
        """Replay the trace on a running deployment, and return its own record.

        Counters and processor time are recorded as increases, and starts are those of
        the keys that this trace submitted.
        """
        counters, cpu_s = await self.counters(), self.cpu_seconds()
        stamp_recorder = asyncio.create_task(self.record_stamps())
        await self.play()
        stamp_recorder.cancel()
        await asyncio.sleep(SETTLE_TIME_S)
        keys = {item.key for item in self.submissions}
        return Run(
            self.submissions,
            [start for start in await self.fleet.starts() if start["key"] in keys],
            self.zones_out,
            increase(counters, await self.counters()),
            self.stamps,
            increase(cpu_s, self.cpu_seconds()),
            self.notes,
        )

    async def play(self) -> None:
        """Carry out each event at its time, and wait until all have finished."""
        self.started_at = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for event in self.trace.events:
                wait_s = self.started_at + event.at_s - time.monotonic()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                group.create_task(self.run_event(event))

    async def run_event(self, event: Event) -> None:
        """Call the act that an event names."""
        await acts[event.act](self, **event.arguments)

    async def record_stamps(self) -> None:
        """Record the configuration stamp of each running daemon at a fixed interval."""
        while True:
            for name in self.fleet.running(
                [*self.fleet.guards(), *self.fleet.entries()]
            ):
                with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError):
                    page = await asyncio.wait_for(self.fleet.status(name), 1.0)
                    incarnation_name = f"{name}/{page['control']['incarnation']}"
                    self.stamps.setdefault(incarnation_name, []).append(
                        page["control"]["stamp"]
                    )
            await asyncio.sleep(STAMP_INTERVAL_S)

    async def counters(self) -> dict[str, float]:
        """Return the sums of all counters over the running daemons."""
        sums: dict[str, float] = {}
        names = [*self.fleet.guards(), *self.fleet.entries()]
        for name in self.fleet.running(names):
            text = await self.metrics(name)
            role = "entry" if name.startswith("entry") else "guard"
            for family in text_string_to_metric_families(text):
                for sample in family.samples:
                    if sample.name.endswith("_total"):
                        key = counter_key(sample.name, sample.labels, role)
                        sums[key] = sums.get(key, 0.0) + sample.value
        return sums

    async def metrics(self, name: str) -> str:
        """Return the metrics of a daemon, or an empty text if it does not answer."""
        url = f"http://{self.fleet.http(name)}/metrics"
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with self.fleet.session.get(url) as response:
                return await response.text()
        return ""

    def cpu_seconds(self) -> dict[str, float]:
        """Return the processor seconds spent so far, by role."""
        spent: dict[str, float] = {}
        for name, process in self.fleet.processes.items():
            role = name.rstrip("0123456789")
            with contextlib.suppress(OSError):
                spent[role] = spent.get(role, 0.0) + process_cpu_s(process.pid)
        return spent

    async def submit(self, key: str, body: dict[str, Any], entry: int) -> Submission:
        """Submit a job and record its answer."""
        names = self.fleet.running(self.fleet.entries())
        url = self.jobs_url(names[entry % len(names)])
        started_at = time.monotonic()
        headers = {
            "Idempotency-Key": key,
            "Hawthorntrack-Customer": body.pop("customer", "default"),
        }
        try:
            data = msgspec.json.encode(body)
            async with self.fleet.session.post(
                url, data=data, headers=headers
            ) as reply:
                answer, code = msgspec.json.decode(await reply.read()), reply.status
                status = answer["status"]
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            answer, code, status = {"error": str(error)}, 0, "cut"
        ideal_ms = max(task["input"]["true_ms"] for task in body["tasks"])
        record = Submission(
            key,
            len(body["tasks"]),
            started_at - self.started_at,
            time.monotonic() - started_at,
            status,
            code,
            answer,
            max(ideal_ms, 1.0),
        )
        self.submissions.append(record)
        return record

    def jobs_url(self, entry: str) -> str:
        """Return the URL for jobs of the service at an entry instance."""
        service = self.fleet.deployment.service
        return f"http://{self.fleet.http(entry)}/v1/services/{service}/jobs"

    async def change_zones(self, change: Callable[[set[str]], set[str]]) -> float:
        """Change the set of zones out of service; return the Unix time of the write."""
        key = zones_key(ENVIRONMENT)
        row = (await self.fleet.table.read(key)).row(key)
        out = set(decode_zones(row)) if row else set()
        await self.fleet.write_row(key, encode_zones(change(out)))
        return time.time()


def fleet_for(trace: Trace, base_port: int, policy: str) -> Fleet:
    """Return the deployment that a trace names, with the changes in its header."""
    deployment = deployments[trace.header["deployment"]]
    if "speeds" in trace.header:
        deployment = deployment._replace(speeds=tuple(trace.header["speeds"]))
    settings = trace.header.get("settings")
    relayed = trace.header.get("relayed", False)
    return Fleet(deployment, base_port, policy, settings, relayed)


def increase(before: dict[str, float], after: dict[str, float]) -> dict[str, float]:
    """Return the increase of each value, at least 0.

    A restarted process counts from 0 again, which can make a sum smaller.

    Examples
    --------
    >>> increase({"a": 1.0}, {"a": 3.0, "b": 2.0})
    {'a': 2.0, 'b': 2.0}
    """
    differences = {name: value - before.get(name, 0.0) for name, value in after.items()}
    return {name: max(0.0, value) for name, value in differences.items()}


def counter_key(name: str, labels: dict[str, str], role: str) -> str:
    """Return the key of a counter summed over the processes of a role.

    Examples
    --------
    >>> counter_key("hawthorntrack_not_run_total", {"reason": "draining"}, "guard")
    'guard:not_run{draining}'
    """
    short = name.removeprefix("hawthorntrack_").removesuffix("_total")
    return f"{role}:{short}{{{','.join(labels.values())}}}"


def process_cpu_s(pid: int) -> float:
    """Return the processor seconds that a process has spent."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / 100


# Acts that a trace can contain


@acts.register("job")
async def submit_job(
    replay: Replay,
    key: str,
    tasks: list[dict[str, Any]],
    entry: int = 0,
    customer: str = "default",
    repeatable: bool = False,
    deadline_ms: int | None = None,
) -> None:
    """Submit a job.

    Each task has `size_ms` and optionally `true_ms`, `kind` and `poison`.
    """
    kinds = replay.fleet.deployment.kinds
    body: dict[str, Any] = {
        "customer": customer,
        "repeatable": repeatable,
        "tasks": [
            {
                "kind": task.get("kind", kinds[index % len(kinds)]),
                "size_ms": task["size_ms"],
                "input": {
                    "true_ms": task.get("true_ms", task["size_ms"]),
                    "echo": f"{key}/{index}",
                    "poison": task.get("poison", False),
                },
            }
            for index, task in enumerate(tasks)
        ],
    }
    if deadline_ms is not None:
        body["deadline_ms"] = deadline_ms
    replay.job_bodies[key] = body
    await replay.submit(key, dict(body), entry)


@acts.register("resubmit")
async def resubmit(replay: Replay, key: str, entry: int = 0, times: int = 1) -> None:
    """Submit a job again with the same key and body, `times` times concurrently."""
    body = replay.job_bodies[key]
    copies = (replay.submit(key, dict(body), entry + n) for n in range(times))
    await asyncio.gather(*copies)


@acts.register("cancel")
async def cancel(replay: Replay, key: str, entry: int = 0) -> None:
    """Request the cancellation of a job."""
    names = replay.fleet.running(replay.fleet.entries())
    url = f"{replay.jobs_url(names[entry % len(names)])}/{key}"
    async with replay.fleet.session.delete(url) as response:
        await response.read()


@acts.register("zone_out")
async def take_zone_out(replay: Replay, zone: str) -> None:
    """Take a zone out of service."""
    since = await replay.change_zones(lambda out: out | {zone})
    replay.zones_out.append(ZoneOut(zone, since, float("inf")))


@acts.register("zone_back")
async def bring_zone_back(replay: Replay, zone: str) -> None:
    """Bring a zone back into service."""
    until = time.time()
    await replay.change_zones(lambda out: out - {zone})
    replay.zones_out = [
        out._replace(until=until)
        if out.zone == zone and out.until == float("inf")
        else out
        for out in replay.zones_out
    ]


@acts.register("fault")
async def set_fault(replay: Replay, process: str, **fault: Any) -> None:
    """Set the fault that the stand-in for the table or a target simulates."""
    await replay.fleet.fault(process, **fault)


@acts.register("kill")
async def kill(replay: Replay, process: str) -> None:
    """Kill a process with SIGKILL."""
    replay.notes["target_killed"] = process.startswith("target")
    replay.fleet.signal(process, signal.SIGKILL)


@acts.register("freeze")
async def freeze(replay: Replay, process: str) -> None:
    """Suspend a process with SIGSTOP, which it cannot notice."""
    replay.fleet.signal(process, signal.SIGSTOP)


@acts.register("resume")
async def resume(replay: Replay, process: str) -> None:
    """Resume a suspended process with SIGCONT."""
    replay.fleet.signal(process, signal.SIGCONT)


@acts.register("cut")
async def cut(replay: Replay, process: str, others: list[str]) -> None:
    """Cut the connections of a process to others; bytes in transit are held."""
    for other in others:
        replay.fleet.relays.cut(process, other)


@acts.register("heal")
async def heal(replay: Replay) -> None:
    """Restore all connections that were cut; bytes that were held are delivered."""
    replay.fleet.relays.heal()


@acts.register("restart")
async def restart(replay: Replay, process: str) -> None:
    """Stop a daemon gracefully and start it again."""
    replay.fleet.signal(process, signal.SIGTERM)
    code = await replay.fleet.wait_until_stopped(process)
    replay.notes.setdefault("restart_codes", {})[process] = code
    await start(replay, process)


@acts.register("start")
async def start(replay: Replay, process: str) -> None:
    """Start a daemon that is not running, and wait until it is ready.

    Explanation
    -----------
    The signal handlers are installed after the imports: a SIGTERM that arrives before
    kills the process instead of draining it.
    """
    replay.fleet.spawn_daemon(process)
    await replay.fleet.wait_until_ok(process, "/readyz")
