"""Estimates what each role needs at the target size, from measured slopes."""

import math
from typing import NamedTuple

from hawthorntrack.coordination.control_view import (
    PEERS_PER_REQUEST,
    SWEEP_MIN_FRACTION,
    fleet_poll_interval_s,
)
from hawthorntrack.daemon.guard import CONTROL_TICK_S, SLOT_MANAGER_TICK_S
from hawthorntrack.experiment.slopes import Line, Slopes, fit
from hawthorntrack.state.settings import Bounds


class Size(NamedTuple):
    """The deployment size and the resource bounds that the users require."""

    guards: int = 13_000
    entries: int = 200
    starts_per_s: float = 1_100_000
    tasks_per_job: float = 20
    zones: int = 10
    services: int = 370
    retention_s: float = 600
    slots_per_guard: float = 2
    reads_per_s: float = 2_000
    writes_per_s: float = 300
    changes_per_day: float = 17_000
    restarts_per_day: float = 5_000
    control_cpu: float = 0.017
    control_mb: float = 256
    control_bytes_per_s: float = 6_000


class Need(NamedTuple):
    """An estimated figure at the target size, with its bound.

    Attributes
    ----------
    bound : float
        The highest value allowed; 0 if there is no bound.
    """

    role: str
    what: str
    value: float
    unit: str
    bound: float = 0.0

    @property
    def factor(self) -> float:
        """The value divided by its bound; above 1 the bound is exceeded."""
        return self.value / self.bound if self.bound else 0.0


LARGE_BEAT_INTERVAL_S = 1.0
LARGE_FANOUT = 16
PARTNERS_PER_SLOT = 2


def needs(slopes: Slopes, size: Size = Size()) -> list[Need]:
    """Return the estimated figures at the target size."""
    jobs_per_s = size.starts_per_s / size.tasks_per_job
    jobs_per_s_per_guard = jobs_per_s / size.guards
    starts_per_s_per_guard = size.starts_per_s / size.guards
    memory = slopes.memory_bytes
    base = fit([(item.guards, item.resident_mb) for item in slopes.idle])
    guard_cpu_s_per_task = fit(
        [(x.tasks_per_s, x.guard_cpu_s_per_s) for x in slopes.loaded]
    ).slope
    entry_cpu_s_per_task = fit(
        [(x.tasks_per_s, x.entry_cpu_s_per_s) for x in slopes.loaded]
    ).slope
    peers = LARGE_FANOUT + PARTNERS_PER_SLOT * size.slots_per_guard
    heartbeats_per_s = 2 * peers / LARGE_BEAT_INTERVAL_S
    cpu_s_per_message = message_cpu_s(slopes)
    keys_mb = (
        2 * jobs_per_s_per_guard * size.retention_s * memory["remembered key"] / 1e6
    )
    starts_mb = (
        starts_per_s_per_guard * size.retention_s * memory["remembered start"] / 1e6
    )
    view_mb = 64 * memory["guard in view"] / 1e6
    slots_mb = size.guards * size.slots_per_guard * memory["slot"] / 1e6
    guards_lost = size.guards / size.zones
    claims = 2 * size.slots_per_guard * guards_lost
    budget = Bounds().poll_budget_per_s
    interval_s = fleet_poll_interval_s(1.0, size.guards + size.entries, budget)
    lists = list_traffic(slopes, size)
    listed_rows = size.guards * (1 + size.slots_per_guard)
    rows_mb = listed_rows * memory["row kept in step"] / 1e6
    requests_per_s = PEERS_PER_REQUEST / CONTROL_TICK_S
    fresh_share = min(1.0, CONTROL_TICK_S * budget / (size.guards + size.entries))
    rounds = math.log(1 / fresh_share) / math.log(1 + PEERS_PER_REQUEST)
    return [
        Need("guard", "jobs owned", jobs_per_s_per_guard, "jobs/s"),
        Need("guard", "starts", starts_per_s_per_guard, "starts/s"),
        Need(
            "guard",
            "processor for jobs and starts",
            starts_per_s_per_guard * guard_cpu_s_per_task,
            "cores",
        ),
        Need("guard", "keys, own and witnessed", keys_mb, "MB"),
        Need("guard", "memory of starts", starts_mb, "MB"),
        Need("guard", "guards in view", view_mb, "MB"),
        Need("guard", "all slots of the environment", slots_mb, "MB"),
        Need("guard", "process without load", base.intercept, "MB"),
        Need(
            "guard",
            "memory in all",
            base.intercept + keys_mb + starts_mb + view_mb + slots_mb + rows_mb,
            "MB",
            size.control_mb,
        ),
        Need(
            "guard",
            "heartbeats sent, bytes",
            heartbeats_per_s / 2 * slopes.beat_bytes,
            "B/s",
            size.control_bytes_per_s,
        ),
        Need(
            "guard",
            "processor for heartbeats both ways",
            heartbeats_per_s * cpu_s_per_message,
            "cores",
            size.control_cpu,
        ),
        Need(
            "guard",
            "processor without any message",
            message_line(slopes).intercept,
            "cores",
            size.control_cpu,
        ),
        Need(
            "guard",
            "processor for upkeep of slots, 64 heartbeats with it",
            slopes.processor_us["upkeep of 26,000 slots among 13,000 guards"]
            / 1e6
            / SLOT_MANAGER_TICK_S,
            "cores",
            size.control_cpu,
        ),
        Need("entry", "jobs", jobs_per_s / size.entries, "jobs/s"),
        Need(
            "entry",
            "processor",
            size.starts_per_s / size.entries * entry_cpu_s_per_task,
            "cores",
            1.0,
        ),
        Need(
            "table",
            "polls: configuration, registrations, slot rows",
            3 * budget,
            "reads/s",
            size.reads_per_s,
        ),
        Need("each", "interval of each poll", interval_s, "s"),
        Need(
            "each",
            "changed registrations, slot rows and documents",
            lists.changes_per_s,
            "B/s",
            size.control_bytes_per_s,
        ),
        Need(
            "each",
            "registrations read whole after sweeps",
            lists.sweeps_per_s,
            "B/s",
            size.control_bytes_per_s,
        ),
        Need("each", "lists read whole at the start", lists.whole / 1e6, "MB"),
        Need("each", "rows kept in step", rows_mb, "MB"),
        Need("table", "lists read whole by who starts", lists.starts_per_s, "B/s"),
        Need("each", "peers asked for freshness", requests_per_s, "messages/s"),
        Need("each", "share that a poll made fresh", fresh_share, "of all"),
        Need("each", "rounds of asking until all are fresh", rounds, "rounds"),
        Need("table", "claims after a zone's loss", claims, "claims"),
        Need(
            "table",
            "time to move those slots",
            2 * claims / size.writes_per_s,
            "s",
        ),
        Need(
            "table",
            "restarts and failures",
            (3 + 8 * size.slots_per_guard) * size.restarts_per_day / 86_400,
            "writes/s",
            size.writes_per_s,
        ),
        Need("table", "changes", size.changes_per_day / 86_400, "writes/s"),
    ]


class ListTraffic(NamedTuple):
    """Traffic of the lists that processes replicate from the table.

    Attributes
    ----------
    whole : float
        Bytes of all rows, read once.
    changes_per_s, sweeps_per_s : float
        Bytes per second that each process reads for changed rows, and for whole lists
        after departed rows were deleted.
    starts_per_s : float
        Bytes per second that all starting processes read together.
    """

    whole: float
    changes_per_s: float
    sweeps_per_s: float
    starts_per_s: float


def list_traffic(slopes: Slopes, size: Size) -> ListTraffic:
    """Return the traffic of lists, computed from daily restarts and changes.

    Explanation
    -----------
    The registration of a replaced guard is written three times: present, leaving and
    departed. The slots that it owns and those that it witnesses move to another guard
    and back, with two writes each time.
    """
    day_s = 86_400
    sizes = slopes.row_bytes
    registrations = size.guards * sizes["registration"]
    whole = registrations + size.guards * size.slots_per_guard * sizes["slot"]
    slot_writes = 2 * size.slots_per_guard * 2 * 2
    bytes_per_restart = 3 * sizes["registration"] + slot_writes * sizes["slot"]
    changes = size.restarts_per_day * bytes_per_restart
    changes += size.changes_per_day * sizes["document"]
    sweeps = size.restarts_per_day / (SWEEP_MIN_FRACTION * size.guards)
    return ListTraffic(
        whole,
        changes / day_s,
        sweeps * registrations / day_s,
        size.restarts_per_day * whole / day_s,
    )


def message_cpu_s(slopes: Slopes) -> float:
    """Return the processor seconds of one control message, from idle deployments."""
    return max(message_line(slopes).slope, 0.0) / 2


def message_line(slopes: Slopes) -> Line:
    """Fit processor share to messages sent per second, over idle deployments."""
    return fit([(item.messages_per_s, item.cpu_share) for item in slopes.idle])


def slope_lines(slopes: Slopes) -> list[str]:
    """Return the slopes as lines of text."""
    lines = [f"{name}: {size:.0f} bytes" for name, size in slopes.memory_bytes.items()]
    lines += [f"{name}: {us:.1f} us" for name, us in slopes.processor_us.items()]
    lines.append(f"heartbeat: {slopes.beat_bytes} bytes")
    lines += [f"row, {name}: {n} bytes" for name, n in slopes.row_bytes.items()]
    lines += [
        f"idle, {item.guards} guards: {100 * item.cpu_share:.2f}% of a core,"
        f" {item.bytes_per_s:.0f} B/s, {item.messages_per_s:.1f} messages/s sent,"
        f" {item.table_reads_per_s:.2f} table reads/s,"
        f" {item.table_bytes_per_s:.0f} B/s read,"
        f" {item.resident_mb:.0f} MB,"
        f" slots open after {item.formed_after_s:.1f} s"
        for item in slopes.idle
    ]
    lines += [
        f"load, {item.tasks_per_s:.0f} tasks/s in {item.jobs_per_s:.1f} jobs/s:"
        f" guards {item.guard_cpu_s_per_s:.2f} cores, entries"
        f" {item.entry_cpu_s_per_s:.3f} cores, {item.messages_per_task:.2f}"
        f" messages/task, {item.bytes_per_task:.0f} B/task"
        for item in slopes.loaded
    ]
    return lines


def capacity_lines(slopes: Slopes) -> list[str]:
    """Return the figures at the target size as lines of text."""
    return [
        f"{need.role:<6} {need.what:<54} {need.value:>12.3f} {need.unit:<9}"
        + (f" {need.factor:6.2f} of the bound" if need.bound else "")
        for need in needs(slopes)
    ]
