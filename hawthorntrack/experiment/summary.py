"""Figures of a run: response times, messages, refusals, processor time."""

from typing import NamedTuple

from hawthorntrack.experiment.records import Run, quantile

CONTROL_TYPES = {
    "Beat",
    "AskConfig",
    "ConfigRows",
    "Handover",
    "HandoverTaken",
    "Yield",
    "Answers",
}
# Retries of messages; those of calls to the table are left out.
SENT_AGAIN = ("entry:retries{", "guard:retries{note", "guard:retries{handover")


class Figures(NamedTuple):
    """The figures of a run.

    Attributes
    ----------
    p50, p99, p999 : float
        Quantiles of response time over the ideal, of complete jobs.
    messages_per_task : float
        Bus messages for jobs, over tasks started.
    wasted_share : float
        Share of those messages that served work redone or discarded.
    wasted_by : dict of str to float
        Those messages, by type.
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
    """Return the bus messages sent for jobs, by type, without those of control."""
    prefix = "messages{out,"
    sent: dict[str, float] = {}
    for key, value in run.counters.items():
        name = key.partition(":")[2]
        if name.startswith(prefix):
            kind = name.removeprefix(prefix).rstrip("}")
            if kind not in CONTROL_TYPES:
                sent[kind] = sent.get(kind, 0.0) + value
    return sent


def wasted_messages(run: Run, sent: dict[str, float]) -> dict[str, float]:
    """Return how many messages served work that was redone or discarded, by type.

    Explanation
    -----------
    Counted are tasks sent back unstarted, with the start message that each cost;
    probes, inquiries and their answers; notes and submissions sent again; and the
    permits given back.
    """
    asking = ("NotRun", "Probe", "Inquire", "Pending", "Unheard", "Release")
    retried = sum(
        value
        for key, value in run.counters.items()
        if key.startswith(SENT_AGAIN) and "table_" not in key
    )
    wasted = {kind: sent[kind] for kind in asking if sent.get(kind)}
    if "NotRun" in wasted:
        wasted["Start"] = wasted["NotRun"]
    if retried:
        wasted["sent again"] = retried
    return wasted


def figures(run: Run) -> Figures:
    """Return the figures of a run."""
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


def reasons(run: Run, counter: str) -> dict[str, float]:
    """Return a counter's values by its label, over roles."""
    found: dict[str, float] = {}
    for key, value in run.counters.items():
        name = key.partition(":")[2]
        if name.startswith(f"{counter}{{") and value:
            label = name.removeprefix(f"{counter}{{").rstrip("}")
            found[label] = found.get(label, 0.0) + value
    return found


def summary_lines(run: Run) -> list[str]:
    """Return a short table of a run's figures."""
    got = figures(run)
    lines = [
        f"jobs {got.jobs}: complete {got.complete}, failed {got.failed}, refused"
        f" {got.refused}, cut {got.cut}; tasks started {got.tasks_started}",
        f"response over ideal  p50 {got.p50:.3f}  p99 {got.p99:.3f}"
        f"  p99.9 {got.p999:.3f}",
        f"messages per task    {got.messages_per_task:.2f}"
        f"  (wasted {100 * got.wasted_share:.2f}%"
        + "".join(f", {kind} {n:.0f}" for kind, n in got.wasted_by.items())
        + ")",
        "cpu ms per task      "
        + "  ".join(f"{k} {v:.2f}" for k, v in sorted(got.cpu_ms_per_task.items())),
    ]
    for title, counter in (
        ("refusals", "refusals"),
        ("failures", "failures"),
        ("retries", "retries"),
        ("not run", "not_run"),
    ):
        found = reasons(run, counter)
        text = "  ".join(f"{k} {v:.0f}" for k, v in sorted(found.items())) or "none"
        lines.append(f"{title:<20} {text}")
    return lines
