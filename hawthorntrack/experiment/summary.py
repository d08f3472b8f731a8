"""Figures of a run: response times, messages, refusals and processor time."""

from typing import NamedTuple

from hawthorntrack.experiment.records import Run, quantile

CONTROL_MESSAGE_TYPES = {
    "Beat",
    "AskConfig",
    "ConfigRows",
    "Handover",
    "HandoverTaken",
    "Yield",
    "Answers",
}
# Counters of bus messages sent again. Retried calls to the table are not counted.
RESEND_COUNTERS = ("entry:retries{", "guard:retries{note", "guard:retries{handover")


class Figures(NamedTuple):
    """Response times, message counts and processor times of a run.

    Attributes
    ----------
    p50, p99, p999 : float
        Quantiles of response time divided by ideal run time, over complete jobs.
    messages_per_task : float
        Bus messages sent for jobs, divided by the number of tasks started.
    wasted_share : float
        Share of those messages that served work that was redone or discarded.
    wasted_by : dict of str to float
        Number of messages that served such work, by type.
    cpu_ms_per_task : dict of str to float
        Processor milliseconds per task started, by role.
    """

    jobs: int
    complete: int
    failed: int
    refused: int
    cut: int
    tasks_started: int
    p50: float
    p99: float
    p999: float
    messages_per_task: float
    wasted_share: float
    wasted_by: dict[str, float]
    cpu_ms_per_task: dict[str, float]


def job_messages(run: Run) -> dict[str, float]:
    """Return the number of bus messages sent for jobs, by type.

    Control messages are left out.
    """
    prefix = "messages{out,"
    sent: dict[str, float] = {}
    for key, value in run.counters.items():
        name = key.partition(":")[2]
        if name.startswith(prefix):
            kind = name.removeprefix(prefix).rstrip("}")
            if kind not in CONTROL_MESSAGE_TYPES:
                sent[kind] = sent.get(kind, 0.0) + value
    return sent


def wasted_messages(run: Run, sent: dict[str, float]) -> dict[str, float]:
    """Return the number of messages spent on redone or discarded work, by type.

    Explanation
    -----------
    Counted are tasks that a guard returned without starting them, each with the start
    message that it cost; probes, inquiries and their answers; key replication messages,
    handovers and submissions sent again; and permits returned to guards.
    """
    wasted_types = ("NotRun", "Probe", "Inquire", "Pending", "Unheard", "Release")
    resent = sum(
        value
        for key, value in run.counters.items()
        if key.startswith(RESEND_COUNTERS) and "table_" not in key
    )
    wasted = {kind: sent[kind] for kind in wasted_types if sent.get(kind)}
    if "NotRun" in wasted:
        wasted["Start"] = wasted["NotRun"]
    if resent:
        wasted["sent again"] = resent
    return wasted


def figures(run: Run) -> Figures:
    """Compute the figures of a run."""
    status = [item.status for item in run.submissions]
    ratios = [item.ratio for item in run.submissions if item.status == "complete"]
    sent = job_messages(run)
    wasted = wasted_messages(run, sent)
    total, tasks = sum(sent.values()), max(1, len(run.starts))
    return Figures(
        jobs=len(status),
        complete=status.count("complete"),
        failed=status.count("failed"),
        refused=status.count("refused"),
        cut=status.count("cut"),
        tasks_started=len(run.starts),
        p50=quantile(ratios, 0.5),
        p99=quantile(ratios, 0.99),
        p999=quantile(ratios, 0.999),
        messages_per_task=total / tasks,
        wasted_share=sum(wasted.values()) / max(1.0, total),
        wasted_by=wasted,
        cpu_ms_per_task={
            role: 1000 * spent / tasks for role, spent in run.cpu_s.items()
        },
    )


def values_by_label(run: Run, counter: str) -> dict[str, float]:
    """Return the values of a counter by label, summed over roles."""
    found: dict[str, float] = {}
    for key, value in run.counters.items():
        name = key.partition(":")[2]
        if name.startswith(f"{counter}{{") and value:
            label = name.removeprefix(f"{counter}{{").rstrip("}")
            found[label] = found.get(label, 0.0) + value
    return found


def summary_lines(run: Run) -> list[str]:
    """Return the figures of a run as lines of text."""
    stats = figures(run)
    lines = [
        f"jobs {stats.jobs}: complete {stats.complete}, failed {stats.failed}, refused"
        f" {stats.refused}, cut {stats.cut}; tasks started {stats.tasks_started}",
        f"response over ideal  p50 {stats.p50:.3f}  p99 {stats.p99:.3f}"
        f"  p99.9 {stats.p999:.3f}",
        f"messages per task    {stats.messages_per_task:.2f}"
        f"  (wasted {100 * stats.wasted_share:.2f}%"
        + "".join(f", {kind} {n:.0f}" for kind, n in stats.wasted_by.items())
        + ")",
        "cpu ms per task      "
        + "  ".join(f"{k} {v:.2f}" for k, v in sorted(stats.cpu_ms_per_task.items())),
    ]
    for title, counter in (
        ("refusals", "refusals"),
        ("failures", "failures"),
        ("retries", "retries"),
        ("not run", "not_run"),
    ):
        found = values_by_label(run, counter)
        text = "  ".join(f"{k} {v:.0f}" for k, v in sorted(found.items())) or "none"
        lines.append(f"{title:<20} {text}")
    return lines
