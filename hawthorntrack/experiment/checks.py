"""Checks of a recorded run: invariants, and the expectations of a trace."""

import itertools
from collections import Counter
from collections.abc import Callable
from typing import Any

from hawthorntrack.experiment.records import Run, Submission, quantile
from hawthorntrack.state.registry import Registry

# Limit for "a few seconds" in the requirement on zones taken out of service.
ZONE_OUT_BOUND_S = 3.0

Check = Callable[..., list[str]]
invariants: Registry[Check] = Registry("invariant")
expectations: Registry[Check] = Registry("expectation")


def violations(run: Run) -> list[str]:
    """Return a description of each violation of an invariant."""
    return [problem for name in invariants for problem in invariants[name](run)]


@invariants.register("no_double_start")
def no_double_start(run: Run) -> list[str]:
    """Check that each task of a key started at most once, over all targets."""
    counts = Counter((start["key"], start["index"]) for start in run.starts)
    return [
        f"task {index} of {key} started {n} times"
        for (key, index), n in counts.items()
        if n > 1
    ]


@invariants.register("whole_answers")
def whole_answers(run: Run) -> list[str]:
    """Check that each answer has all results of its own job in order, or none."""
    return [
        f"{item.key}: wrong answer {str(item.body)[:200]}"
        for item in run.submissions
        if not has_expected_results(item)
    ]


def has_expected_results(item: Submission) -> bool:
    """Return whether an answer has the results that its status requires."""
    results = item.body.get("results")
    if item.status != "complete":
        return results is None
    expected = [(item.key, index) for index in range(item.tasks)]
    return [(got["key"], got["index"]) for got in results] == expected


@invariants.register("true_refusals")
def true_refusals(run: Run) -> list[str]:
    """Check that no task started of a key all of whose submissions were refused.

    Only submissions that were answered with ``ran`` = ``no`` count as refused.
    """
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
    """Check that each task of a complete job has a recorded start.

    Targets keep the records, so nothing is checked after a target was killed.
    """
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
    """Check that no task started in a zone that had been out of service for 3 s."""
    return [
        f"{start['key']} started in {outage.zone} {start['at'] - outage.since:.1f} s"
        " after it was taken out of service"
        for outage in run.zones_out
        for start in run.starts
        if start["zone"] == outage.zone
        and outage.since + ZONE_OUT_BOUND_S < start["at"] < outage.until
    ]


@invariants.register("no_reverting")
def no_reverting(run: Run) -> list[str]:
    """Check that no process returned to a lower configuration stamp."""
    return [
        f"{name} went back from {before} to {after}"
        for name, stamps in run.stamps.items()
        for before, after in itertools.pairwise(stamps)
        if after < before
    ]


# Expectations that a trace can contain


def count_submissions(
    run: Run, status: str, prefix: str = "", after_s: float = 0.0
) -> tuple[int, int]:
    """Return the number of submissions with a status, and the number of all.

    Counted are submissions whose key has a prefix, from `after_s` on.
    """
    items = [
        item
        for item in run.submissions
        if item.key.startswith(prefix) and item.started_s >= after_s
    ]
    return sum(item.status == status for item in items), len(items)


@expectations.register("share")
def status_share_within(
    run: Run,
    status: str,
    least: float = 0,
    most: float = 1,
    prefix: str = "",
    after_s: float = 0.0,
) -> list[str]:
    """Check that the share of submissions with a status is within bounds.

    The bounds are `least` and `most`; submissions before `after_s` do not count.
    """
    found, total = count_submissions(run, status, prefix, after_s)
    share = found / total if total else 0.0
    if least <= share <= most:
        return []
    return [f"{share:.3f} of {total} {prefix} are {status}, not {least} to {most}"]


@expectations.register("kind_seen")
def kind_seen(run: Run, kind: str, least: int = 1) -> list[str]:
    """Check that at least `least` answers are of a kind."""
    found = sum(item.body.get("kind") == kind for item in run.submissions)
    return [] if found >= least else [f"{found} answers of kind {kind}, not {least}"]


@expectations.register("counter")
def counter_at_least(run: Run, name: str, least: float) -> list[str]:
    """Check that a counter, summed over processes, is at least `least`."""
    found = sum(n for key, n in run.counters.items() if key.startswith(name))
    return [] if found >= least else [f"{name} is {found}, not {least} or more"]


@expectations.register("ratio")
def ratio_at_most(run: Run, share: float, most: float, prefix: str = "") -> list[str]:
    """Check that a quantile of response time over ideal is at most `most`.

    Only complete jobs count.
    """
    ratios = [
        item.ratio
        for item in run.submissions
        if item.status == "complete" and item.key.startswith(prefix)
    ]
    found = quantile(ratios, share)
    return [] if found <= most else [f"ratio at {share} is {found:.2f}, not {most}"]


@expectations.register("refused_within")
def refused_within(run: Run, seconds: float, prefix: str = "") -> list[str]:
    """Check that each refusal came within a number of seconds."""
    late = [
        item
        for item in run.submissions
        if item.status == "refused"
        and item.key.startswith(prefix)
        and item.duration_s > seconds
    ]
    return [f"{item.key} was refused after {item.duration_s:.2f} s" for item in late]


@expectations.register("starts_in_zone")
def starts_in_zone(run: Run, zone: str, least: int) -> list[str]:
    """Check that at least `least` tasks started in a zone after its last return."""
    zone_returned_at = max(
        (outage.until for outage in run.zones_out if outage.zone == zone), default=0.0
    )
    found = sum(s["zone"] == zone and s["at"] > zone_returned_at for s in run.starts)
    return [] if found >= least else [f"{found} starts in {zone} after its return"]


def unmet_expectations(
    run: Run, required: list[tuple[str, dict[str, Any]]]
) -> list[str]:
    """Return a description of each expectation that a run does not meet."""
    return [
        problem
        for name, arguments in required
        for problem in expectations[name](run, **arguments)
    ]
