"""Measures how memory, processor time and traffic grow; input of the capacity page."""

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
from hawthorntrack.experiment.costs import (
    costs,
    guard_name,
    heartbeat_envelope,
    median_us_per_item,
)
from hawthorntrack.experiment.launcher import Fleet
from hawthorntrack.experiment.layout import deployments, document_body
from hawthorntrack.experiment.replay import Replay, increase, process_cpu_s
from hawthorntrack.experiment.scenarios import load
from hawthorntrack.experiment.summary import figures
from hawthorntrack.experiment.trace import Trace
from hawthorntrack.protocol import rows
from hawthorntrack.protocol.codec import codecs
from hawthorntrack.state.answer_cache import AnswerCache
from hawthorntrack.state.guard_stats import GuardStats
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

OBSERVATION_TIME_S = 8.0
# Settings of a process in a deployment of thousands; `docs/OPERATIONS.md` explains
# them.
LARGE_TIMING = {
    "beat_interval_ms": 1_000,
    "poll_interval_ms": 2_000,
    "members_interval_ms": 10_000,
    "pair_silence_ms": 5_000,
    "freshness_ms": 5_000,
}
SETTLE_TIME_S = 6.0

Maker = Callable[[int], Any]
memory: Registry[Maker] = Registry("memory slope")


class Line(NamedTuple):
    """A straight line fitted to measured points."""

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


# Memory, in bytes per item


@memory.register("slot")
def make_slots(count: int) -> list[Slot]:
    """Return slots of which this guard is neither owner nor witness."""
    return [Slot(number) for number in range(count)]


@memory.register("remembered key")
def make_keys(count: int) -> KeySet:
    """Return a set of idempotency keys of one slot."""
    keys = KeySet()
    for number in range(count):
        keys.add("visits", f"0193c2a0-0000-7000-8000-{number:012d}", bytes(16), 1.0)
    return keys


@memory.register("remembered start")
def make_start_records(count: int) -> StartRecords:
    """Return a guard's records of started tasks, with results of 60 bytes."""
    starts = StartRecords()
    owner = guard_name(1)
    for number in range(count):
        name = ("visits", f"0193c2a0-0000-7000-8000-{number:012d}", number % 160)
        starts.start(name, StartedTask(owner, str(number), float(number)))
        output = str(number).ljust(60).encode()
        starts.finish(name, TaskResult(number % 160, True, output, 80.5))
    return starts


@memory.register("kept answer of 10 tasks")
def make_answer_cache(count: int) -> AnswerCache:
    """Return a cache of answers of ten tasks each."""
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
def make_mirror(count: int) -> Mirror:
    """Return a mirror of slot rows."""
    guard, other = guard_name(1), guard_name(2)
    row = SlotRow(12, guard, other, True, guard, other, 0, 99)
    keys = (rows.slot_key("production", number) for number in range(count))
    found = (Row(key, 99 + n, rows.encode_slot(row)) for n, key in enumerate(keys))
    return merge(Mirror(), found, count).mirror


@memory.register("guard in view")
def make_guard_stats(count: int) -> GuardStats:
    """Return the statistics that an owner keeps about guards."""
    stats = GuardStats()
    for number in range(count):
        guard = guard_name(number)
        place = Location(f"zone-{number % 10}", f"rack-{number % 500}", f"w{number}")
        stats.record_heartbeat(guard, place, 1.0)
        stats.update_load(
            guard, TargetLoad("visits", ("a", "b"), 8, number % 8, 0, 1.1), 1.0
        )
        stats.record_run_time(guard, "a", 100, 120)
    return stats


def bytes_per_item(make: Maker, count: int = 4_000) -> float:
    """Return the memory of each additional item, in bytes."""

    def traced_size(number: int) -> int:
        tracemalloc.start()
        kept = make(number)
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        del kept
        return size

    points = [(n, traced_size(n)) for n in (count // 4, count // 2, count)]
    return fit([(float(n), float(size)) for n, size in points]).slope


# Row sizes, in bytes


def row_sizes() -> dict[str, int]:
    """Return the size in bytes of a row of each list, as the table sends it."""
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


# Measurements of running processes


class Idle(NamedTuple):
    """Resource use of a deployment without load, per guard."""

    guards: int
    cpu_share: float
    bytes_per_s: float
    messages_per_s: float
    table_reads_per_s: float
    table_bytes_per_s: float
    resident_mb: float
    formed_after_s: float


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1e6


async def measure_idle(count: int, base_port: int) -> Idle:
    """Start guards without load, with settings of a large deployment; measure them."""
    deployment = deployments["jardim"]._replace(workers=count, entries=1)
    changes = {"slots": max(32, 2 * count), "timing": LARGE_TIMING}
    fleet = Fleet(deployment, base_port, changes=changes)
    try:
        started_at = time.monotonic()
        await fleet.start(targets=False)
        time_to_ready_s = time.monotonic() - started_at
        await asyncio.sleep(SETTLE_TIME_S)
        replay = Replay(EMPTY_TRACE, fleet=fleet)
        names = fleet.guards()
        before, stats = await replay.counters(), await fleet.get("table", "/stats")
        pids = [fleet.processes[name].pid for name in names]
        cpu = sum(map(process_cpu_s, pids))
        await asyncio.sleep(OBSERVATION_TIME_S)
        cpu = sum(map(process_cpu_s, pids)) - cpu
        sent = increase(before, await replay.counters())
        stats = increase(stats, await fleet.get("table", "/stats"))
        resident = statistics.median(map(resident_mb, pids))
    finally:
        await fleet.close()
    out = sum(v for k, v in sent.items() if k.startswith("guard:messages{out"))
    return Idle(
        count,
        cpu / OBSERVATION_TIME_S / count,
        sent["guard:message_bytes{out}"] / OBSERVATION_TIME_S / count,
        out / OBSERVATION_TIME_S / count,
        stats["reads"] / OBSERVATION_TIME_S / (count + 1),
        stats["read_bytes"] / OBSERVATION_TIME_S / (count + 1),
        resident,
        time_to_ready_s,
    )


EMPTY_TRACE = Trace({"trace": "", "deployment": "jardim", "about": ""}, (), ())


class Loaded(NamedTuple):
    """Resource use of a deployment at one load."""

    jobs_per_s: float
    tasks_per_s: float
    guard_cpu_s_per_s: float
    entry_cpu_s_per_s: float
    messages_per_task: float
    bytes_per_task: float


async def measure_loaded(
    shares: list[float], base_port: int, seconds: float
) -> list[Loaded]:
    """Measure processor time, messages and bytes per task at several loads."""
    deployment = deployments["jardim"]
    fleet = Fleet(deployment, base_port)
    points = []
    try:
        await fleet.start()
        for number, share in enumerate(shares):
            events = load(deployment, share, 0, seconds, f"slope{number}", number)
            header = {"trace": "slope", "deployment": "jardim", "about": ""}
            trace = Trace(header, tuple(events), ())
            started_at = time.monotonic()
            run = await Replay(trace, fleet=fleet).measure()
            duration_s = time.monotonic() - started_at
            load_figures = figures(run)
            points.append(
                Loaded(
                    load_figures.jobs / duration_s,
                    load_figures.tasks_started / duration_s,
                    run.cpu_s["guard"] / duration_s,
                    run.cpu_s["entry"] / duration_s,
                    load_figures.messages_per_task,
                    run.counters["guard:message_bytes{out}"]
                    / load_figures.tasks_started,
                )
            )
    finally:
        await fleet.close()
    return points


class Slopes(NamedTuple):
    """Results of a measurement of all slopes."""

    memory_bytes: dict[str, float]
    processor_us: dict[str, float]
    beat_bytes: int
    row_bytes: dict[str, int]
    idle: list[Idle]
    loaded: list[Loaded]


async def measure_processes(
    counts: list[int], shares: list[float], base_port: int, seconds: float
) -> tuple[list[Idle], list[Loaded]]:
    """Measure deployments without load and at several loads."""
    idle_points = [await measure_idle(count, base_port) for count in counts]
    return idle_points, await measure_loaded(shares, base_port, seconds)


def measure_all(
    counts: list[int], shares: list[float], base_port: int, seconds: float
) -> Slopes:
    """Measure all slopes.

    This is a plain function because some benchmarked pieces run event loops of their
    own, which is not possible inside a running loop.
    """
    idle_points, loaded_points = asyncio.run(
        measure_processes(counts, shares, base_port, seconds)
    )
    return Slopes(
        {name: bytes_per_item(memory[name]) for name in memory},
        {name: median_us_per_item(costs[name]()) for name in costs},
        len(codecs["msgpack"].encode(heartbeat_envelope())),
        row_sizes(),
        idle_points,
        loaded_points,
    )
