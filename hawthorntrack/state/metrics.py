"""Prometheus counters, gauges and histograms of a process."""

from functools import lru_cache
from typing import Any

from prometheus_client import Counter, Gauge, Histogram

REFUSALS = Counter("hawthorntrack_refusals", "Requests refused, not run.", ["kind"])
ARRIVAL_REFUSALS = Counter(
    "hawthorntrack_arrival_refusals",
    "Jobs refused at arrival because their expected wait exceeds a limit.",
    ["queue", "limit"],
)
EXPECTED_WAIT_SECONDS = Gauge(
    "hawthorntrack_expected_wait_seconds", "Expected wait of a new job.", ["queue"]
)
FAILURES = Counter("hawthorntrack_failures", "Jobs answered as failed.", ["kind"])
RETRIES = Counter("hawthorntrack_retries", "Tasks or requests sent again.", ["reason"])
JOBS = Counter("hawthorntrack_jobs", "Jobs answered.", ["status"])
STARTS = Counter("hawthorntrack_task_starts", "Tasks started at a target.")
TARGET_CRASHES = Counter(
    "hawthorntrack_target_crashes", "Crashes of the target beside a guard."
)
NOT_RUN = Counter("hawthorntrack_not_run", "Tasks returned unstarted.", ["reason"])
ZONE_READS = Counter(
    "hawthorntrack_zone_reads",
    "Reads of the zones out of service by a guard, when no entry instance is current.",
    ["outcome"],
)
ROOM_KEPT_SECONDS = Counter(
    "hawthorntrack_room_kept_seconds",
    "Time for which free capacity was kept for a task that does not fit yet.",
)
BACKFILL_PLANS = Counter(
    "hawthorntrack_backfill_plans",
    "Plans to keep capacity for a task that does not fit yet.",
    ["outcome"],
)
AWAITED_TARGETS = Counter(
    "hawthorntrack_awaited_targets",
    "Tasks that waited for a faster target although another had room.",
    ["queue"],
)
OFFERS = Counter(
    "hawthorntrack_offers", "Offers of capacity that have ended.", ["outcome"]
)
DEMAND_REPORTS = Counter(
    "hawthorntrack_demands_reported", "Reports of waiting tasks received."
)
HELD_CPU = Gauge(
    "hawthorntrack_held_cpu_m",
    "Processor capacity held for open offers, in millicores.",
)
MESSAGES = Counter("hawthorntrack_messages", "Bus messages.", ["direction", "type"])
MESSAGE_BYTES = Counter("hawthorntrack_message_bytes", "Bus bytes.", ["direction"])
BAD_INPUT = Counter(
    "hawthorntrack_bad_input", "Invalid input refused.", ["edge", "reason"]
)
CONNECTIONS_CLOSED = Counter(
    "hawthorntrack_connections_closed", "Connections that a limit closed.", ["reason"]
)
MAILBOX_FULL = Counter(
    "hawthorntrack_mailbox_full", "Messages dropped by a full mailbox.", ["task"]
)
BUS_DROPS = Counter("hawthorntrack_bus_drops", "Bus messages dropped.", ["reason"])
TABLE_CALLS = Counter("hawthorntrack_table_calls", "Table calls.", ["call", "outcome"])
LOG_LINES_DROPPED = Counter(
    "hawthorntrack_log_lines_dropped", "Log lines dropped by rate limit.", ["event"]
)
GUARD_LINKS = Gauge(
    "hawthorntrack_guard_links", "Guards of an entry instance's working set.", ["state"]
)
DEMANDS_SENT = Counter(
    "hawthorntrack_demands_sent", "Reports of waiting tasks sent to guards.", ["kind"]
)
OFFERS_ANSWERED = Counter(
    "hawthorntrack_offers_answered", "Guards' offers of capacity answered.", ["outcome"]
)
OFFERED_STARTS = Counter(
    "hawthorntrack_offered_starts", "Tasks started in capacity that a guard offered."
)
CLAIMS = Counter("hawthorntrack_slot_claims", "Slot claims begun.", ["reason"])
SLOTS = Gauge("hawthorntrack_slots", "Slots by role of this guard.", ["phase"])
QUEUED = Gauge("hawthorntrack_queued_tasks", "Tasks waiting.", ["where"])
RUNNING = Gauge("hawthorntrack_running_tasks", "Tasks running at the target.")
KEYS = Gauge("hawthorntrack_remembered_keys", "Idempotency keys remembered.")
CONFIG_STAMP = Gauge("hawthorntrack_config_stamp", "Configuration version in force.")
RESPONSE_RATIO = Histogram(
    "hawthorntrack_response_ratio",
    "Response time over the job's longest task at its target.",
    buckets=(1.01, 1.05, 1.1, 1.2, 1.5, 2, 3, 5, 10, 30),
)

JOB_SECONDS = Histogram(
    "hawthorntrack_job_seconds",
    "Time from a job's arrival to its answer.",
    ["queue", "answer"],
    buckets=(0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 3, 5, 10),
)
WAIT_SECONDS = Histogram(
    "hawthorntrack_wait_seconds",
    "Time from a job's arrival to the first placement of its last task.",
    ["queue"],
    buckets=(0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2),
)


@lru_cache(maxsize=1_024)
def labelled(metric: Any, *labels: str) -> Any:
    """Return the child of a metric for given label values, from a cache.

    Explanation
    -----------
    Every message and tick updates metrics, so the look-up of the child is cached.

    Examples
    --------
    >>> labelled(BUS_DROPS, "example") is BUS_DROPS.labels("example")
    True
    """
    return metric.labels(*labels)
