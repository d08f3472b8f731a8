"""Slopes that the capacity page is worked out from, measured on this machine."""

import asyncio
import resource
import statistics
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from hawthorntrack.coordination.slot_replication import Slot
from hawthorntrack.experiment.costs import beat, costs, guard_name, median_us
from hawthorntrack.experiment.launcher import Fleet
from hawthorntrack.experiment.layout import deployments, document_body
from hawthorntrack.experiment.replay import Replay, increase, process_cpu_s
from hawthorntrack.experiment.scenarios import load
from hawthorntrack.experiment.summary import figures
from hawthorntrack.experiment.trace import Trace
from hawthorntrack.protocol import rows
from hawthorntrack.protocol.codec import codecs
from hawthorntrack.state.answer_cache import AnswerCache
from hawthorntrack.state.guard_stats import GuardStats as FleetView
from hawthorntrack.state.idempotency_keys import KeySet
from hawthorntrack.state.mirror import Mirror, merge
from hawthorntrack.state.registry import Registry
from hawthorntrack.state.started_tasks import StartedTask, StartRecords
from hawthorntrack.state.table import Row
from hawthorntrack.state.values import (
    Answer,
    GuardInfo,
    Location,
    SlotRow,
    TargetLoad,
    TaskResult,
)

OBSERVE_S = 8.0
# What one of thousands of processes is set to; `docs/OPERATIONS.md` tells why.
LARGE_TIMING = {
    "beat_interval_ms": 1_000,
    "poll_interval_ms": 2_000,
    "members_interval_ms": 10_000,
    "pair_silence_ms": 5_000,
    "freshness_ms": 5_000,
}
SETTLE_S = 6.0

Maker = Callable[[int], Any]
memory: Registry[Maker] = Registry("memory slope")


class Line(NamedTuple):
    """A straight line through measured points."""

    intercept: float
    slope: float


def fit(points: list[tuple[float, float]]) -> Line:
    """Return the least-squares line through points.

    Examples
    --------
    >>> fit([(0, 1), (1, 3), (2, 5)])
    Line(intercept=1.0, slope=2.0)
    """
    xs, ys = zip(*points, strict=True)
    slope, intercept = statistics.linear_regression(xs, ys)
    return Line(intercept, slope)


# --- memory, in bytes for each item


@memory.register("slot")
def many_slots(count: int) -> list[Slot]:
    """Return slots of which this guard has no part."""
    return [Slot(number) for number in range(count)]


@memory.register("remembered key")
def many_keys(count: int) -> KeySet:
    """Return a slot's keys."""
    keys = KeySet()
    for number in range(count):
        keys.add("visits", f"0193c2a0-0000-7000-8000-{number:012d}", bytes(16), 1.0)
    return keys


@memory.register("remembered start")
def many_starts(count: int) -> StartRecords:
    """Return a guard's memory of starts, with results of 60 bytes."""
    starts = StartRecords()
    owner = guard_name(1)
    for number in range(count):
        name = ("visits", f"0193c2a0-0000-7000-8000-{number:012d}", number % 160)
        starts.start(name, StartedTask(owner, str(number), float(number)))
        output = str(number).ljust(60).encode()
        starts.finish(name, TaskResult(number % 160, True, output, 80.5))
    return starts


@memory.register("kept answer of 10 tasks")
def many_answers(count: int) -> AnswerCache:
    """Return kept answers."""
    store = AnswerCache()
    for number in range(count):
        results = tuple(
            TaskResult(i, True, f"{number}-{i}".ljust(60).encode(), 80.5 + i)
            for i in range(10)
        )
        answer = Answer("complete", "", "yes", "", results)
        store.add("visits", f"0193c2a0-{number:012d}", answer, 1.0)
    return store


@memory.register("row kept in step")
def many_rows(count: int) -> Mirror:
    """Return a mirror of slot rows."""
    guard, other = guard_name(1), guard_name(2)
    row = SlotRow(12, guard, other, True, guard, other, 0, 99)
    keys = (rows.slot_key("production", number) for number in range(count))
    found = (Row(key, 99 + n, rows.encode_slot(row)) for n, key in enumerate(keys))
    return merge(Mirror(), found, count).mirror


@memory.register("guard in view")
def many_guards(count: int) -> FleetView:
    """Return an owner's view of guards."""
    view = FleetView()
    for number in range(count):
        guard = guard_name(number)
        place = Location(f"zone-{number % 10}", f"rack-{number % 500}", f"w{number}")
        view.record_heartbeat(guard, place, 1.0)
        view.update_load(
            guard, TargetLoad("visits", ("a", "b"), 8, number % 8, 0, 1.1), 1.0
        )
        view.record_run_time(guard, "a", 100, 120)
    return view


def bytes_each(make: Maker, count: int = 4_000) -> float:
    """Return the bytes that each further item takes."""

    def held(number: int) -> int:
        tracemalloc.start()
        kept = make(number)
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        del kept
        return size

    points = [(n, held(n)) for n in (count // 4, count // 2, count)]
    return fit([(float(n), float(size)) for n, size in points]).slope


# --- sizes, in bytes


def row_sizes() -> dict[str, int]:
    """Return the bytes of a row of each list, as the table sends it."""
    guard, other = guard_name(1), guard_name(2)
    place = Location("recife", "recife-r0", "w000")
    info = GuardInfo(guard, place, guard.address, False)
    row = SlotRow(12, guard, other, True, guard, other, 0, 99)
    values = {
        rows.guard_key("production", guard.address): rows.encode_guard(info),
        rows.slot_key("production", 12_345): rows.encode_slot(row),
        rows.document_key("production", "visits"): rows.encode_document(
            12, document_body(deployments["jardim"]), "a" * 32
        ),
    }
    sent = [
        msgspec.json.encode({"key": key, "version": 99, "value": msgspec.Raw(value)})
        for key, value in values.items()
    ]
    return dict(zip(("registration", "slot", "document"), map(len, sent), strict=True))


# --- processes


class Idle(NamedTuple):
    """What an idle deployment spends, per guard."""

    guards: int
    cpu_share: float
    bytes_per_s: float
    messages_per_s: float
    table_reads_per_s: float
    table_bytes_per_s: float
    resident_mb: float
    formed_after_s: float


def resident_mb(pid: int) -> float:
    """Return a process's resident memory in megabytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


async def idle(count: int, base_port: int) -> Idle:
    """Start so many guards without load, set as one of many, and measure them."""
    deployment = deployments["jardim"]._replace(workers=count, entries=1)
    changes = {"slots": max(32, 2 * count), "timing": LARGE_TIMING}
    fleet = Fleet(deployment, base_port, changes=changes)
    try:
        begun = time.monotonic()
        await fleet.start(targets=False)
        formed_s = time.monotonic() - begun
        await asyncio.sleep(SETTLE_S)
        replay = Replay(EMPTY, fleet=fleet)
        names = fleet.guards()
        before, stats = await replay.counters(), await fleet.get("table", "/stats")
        pids = [fleet.processes[name].pid for name in names]
        cpu = sum(map(process_cpu_s, pids))
        await asyncio.sleep(OBSERVE_S)
        cpu = sum(map(process_cpu_s, pids)) - cpu
        sent = increase(before, await replay.counters())
        stats = increase(stats, await fleet.get("table", "/stats"))
        resident = statistics.median(map(resident_mb, pids))
    finally:
        await fleet.close()
    out = sum(v for k, v in sent.items() if k.startswith("guard:messages{out"))
    return Idle(
        count,
        cpu / OBSERVE_S / count,
        sent["guard:message_bytes{out}"] / OBSERVE_S / count,
        out / OBSERVE_S / count,
        stats["reads"] / OBSERVE_S / (count + 1),
        stats["read_bytes"] / OBSERVE_S / (count + 1),
        resident,
        formed_s,
    )


EMPTY = Trace({"trace": "", "deployment": "jardim", "about": ""}, (), ())


class Loaded(NamedTuple):
    """What a deployment spends at one load."""

    jobs_per_s: float
    tasks_per_s: float
    guard_cpu_s_per_s: float
    entry_cpu_s_per_s: float
    messages_per_task: float
    bytes_per_task: float


async def loaded(shares: list[float], base_port: int, seconds: float) -> list[Loaded]:
    """Measure the processor time of guards and entries at several loads."""
    deployment = deployments["jardim"]
    fleet = Fleet(deployment, base_port)
    points = []
    try:
        await fleet.start()
        for number, share in enumerate(shares):
            events = load(deployment, share, 0, seconds, f"slope{number}", number)
            header = {"trace": "slope", "deployment": "jardim", "about": ""}
            trace = Trace(header, tuple(events), ())
            begun = time.monotonic()
            run = await Replay(trace, fleet=fleet).measure()
            spent_s = time.monotonic() - begun
            got = figures(run)
            points.append(
                Loaded(
                    got.jobs / spent_s,
                    got.tasks_started / spent_s,
                    run.cpu_s["guard"] / spent_s,
                    run.cpu_s["entry"] / spent_s,
                    got.messages_per_task,
                    run.counters["guard:message_bytes{out}"] / got.tasks_started,
                )
            )
    finally:
        await fleet.close()
    return points


class Slopes(NamedTuple):
    """All slopes of one measurement."""

    memory_bytes: dict[str, float]
    processor_us: dict[str, float]
    beat_bytes: int
    row_bytes: dict[str, int]
    idle: list[Idle]
    loaded: list[Loaded]


async def measure_processes(
    counts: list[int], shares: list[float], base_port: int, seconds: float
) -> tuple[list[Idle], list[Loaded]]:
    """Measure what needs running processes."""
    idling = [await idle(count, base_port) for count in counts]
    return idling, await loaded(shares, base_port, seconds)


def measure_all(
    counts: list[int], shares: list[float], base_port: int, seconds: float
) -> Slopes:
    """Measure every slope; some pieces run loops of their own."""
    idling, loads = asyncio.run(measure_processes(counts, shares, base_port, seconds))
    return Slopes(
        {name: bytes_each(memory[name]) for name in memory},
        {name: median_us(costs[name]()) for name in costs},
        len(codecs["msgpack"].encode(beat())),
        row_sizes(),
        idling,
        loads,
    )
