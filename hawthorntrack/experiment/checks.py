"""Checks of a run: what must always hold, and outcomes that a trace states."""

import itertools
from collections import Counter
from collections.abc import Callable
from typing import Any

from hawthorntrack.experiment.records import Run, Submission, quantile
from hawthorntrack.state.registry import Registry

ZONE_OUT_BOUND_S = 3.0  # "a few seconds"

Check = Callable[..., list[str]]
invariants: Registry[Check] = Registry("invariant")
expectations: Registry[Check] = Registry("expectation")


def violations(run: Run) -> list[str]:
    """Return every breach of what must always hold, in words."""
    return [problem for name in invariants for problem in invariants[name](run)]


@invariants.register("no_double_start")
def no_double_start(run: Run) -> list[str]:
    """Every task of a key starts at most once, over all targets."""
    counts = Counter((start["key"], start["index"]) for start in run.starts)
    return [
        f"task {index} of {key} started {n} times"
        for (key, index), n in counts.items()
        if n > 1
    ]


@invariants.register("whole_answers")
def whole_answers(run: Run) -> list[str]:
    """Each answer is complete, in order and the caller's own, or has no results."""
    return [
        f"{item.key}: wrong answer {str(item.body)[:200]}"
        for item in run.submissions
        if not is_whole(item)
    ]


def is_whole(item: Submission) -> bool:
    """Return whether an answer is whole."""
    results = item.body.get("results")
    if item.status != "complete":
        return results is None
    expected = [(item.key, index) for index in range(item.tasks)]
    return [(got["key"], got["index"]) for got in results] == expected


@invariants.register("true_refusals")
def true_refusals(run: Run) -> list[str]:
    """A key of which every submission was refused has no start at all."""
    by_key: dict[str, list[Submission]] = {}
    for item in run.submissions:
        by_key.setdefault(item.key, []).append(item)
    started = {start["key"] for start in run.starts}
    return [
        f"{key} was refused as not run, but has starts"
        for key, items in by_key.items()
        if key in started and all(item.body.get("ran") == "no" for item in items)
    ]


@invariants.register("complete_means_started")
def complete_means_started(run: Run) -> list[str]:
    """A complete job has a start for each of its tasks, at targets still alive."""
    if run.notes.get("target_killed"):
        return []
    started = Counter(start["key"] for start in run.starts)
    return [
        f"{item.key} is complete with {started[item.key]} of {item.tasks} starts"
        for item in run.submissions
        if item.status == "complete" and started[item.key] != item.tasks
    ]


@invariants.register("zone_out")
def zone_out(run: Run) -> list[str]:
    """No task starts in a zone a few seconds after it was taken out."""
    return [
        f"{start['key']} started in {out.zone} {start['at'] - out.since:.1f} s after"
        for out in run.zones_out
        for start in run.starts
        if start["zone"] == out.zone
        and out.since + ZONE_OUT_BOUND_S < start["at"] < out.until
    ]


@invariants.register("no_reverting")
def no_reverting(run: Run) -> list[str]:
    """No process goes back to a lower configuration."""
    return [
        f"{name} went back from {before} to {after}"
        for name, stamps in run.stamps.items()
        for before, after in itertools.pairwise(stamps)
        if after < before
    ]


# --- outcomes that traces state


def count(
    run: Run, status: str, prefix: str = "", after_s: float = 0.0
) -> tuple[int, int]:
    """Return how many submissions have a status, and how many there are."""
    items = [
        item
        for item in run.submissions
        if item.key.startswith(prefix) and item.begun_s >= after_s
    ]
    return sum(item.status == status for item in items), len(items)


@expectations.register("share")
def share_of(
    run: Run,
    status: str,
    least: float = 0,
    most: float = 1,
    prefix: str = "",
    after_s: float = 0.0,
) -> list[str]:
    """Between `least` and `most` of the submissions from a time on have a status."""
    found, total = count(run, status, prefix, after_s)
    share = found / total if total else 0.0
    if least <= share <= most:
        return []
    return [f"{share:.3f} of {total} {prefix} are {status}, not {least} to {most}"]


@expectations.register("kind_seen")
def kind_seen(run: Run, kind: str, least: int = 1) -> list[str]:
    """At least so many answers are of a kind."""
    found = sum(item.body.get("kind") == kind for item in run.submissions)
    return [] if found >= least else [f"{found} answers of kind {kind}, not {least}"]


@expectations.register("counter")
def counter_at_least(run: Run, name: str, least: float) -> list[str]:
    """A counter, summed over processes, has at least this value."""
    found = sum(n for key, n in run.counters.items() if key.startswith(name))
    return [] if found >= least else [f"{name} is {found}, not {least} or more"]


@expectations.register("ratio")
def ratio_at_most(run: Run, share: float, most: float, prefix: str = "") -> list[str]:
    """A quantile of response time over the ideal is at most this, when complete."""
    ratios = [
        item.ratio
        for item in run.submissions
        if item.status == "complete" and item.key.startswith(prefix)
    ]
    found = quantile(ratios, share)
    return [] if found <= most else [f"ratio at {share} is {found:.2f}, not {most}"]


@expectations.register("refused_within")
def refused_within(run: Run, seconds: float, prefix: str = "") -> list[str]:
    """Refusals come within so many seconds."""
    late = [
        item
        for item in run.submissions
        if item.status == "refused"
        and item.key.startswith(prefix)
        and item.spent_s > seconds
    ]
    return [f"{item.key} was refused after {item.spent_s:.2f} s" for item in late]


@expectations.register("starts_in_zone")
def starts_in_zone(run: Run, zone: str, least: int) -> list[str]:
    """At least so many tasks started in a zone after its last return."""
    back = max((out.until for out in run.zones_out if out.zone == zone), default=0.0)
    found = sum(s["zone"] == zone and s["at"] > back for s in run.starts)
    return [] if found >= least else [f"{found} starts in {zone} after its return"]


def unmet(run: Run, wanted: list[tuple[str, dict[str, Any]]]) -> list[str]:
    """Return the stated outcomes that a run does not meet, in words."""
    return [
        problem
        for name, arguments in wanted
        for problem in expectations[name](run, **arguments)
    ]
