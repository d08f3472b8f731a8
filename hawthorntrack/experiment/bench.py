"""Compares placement policies by alternating runs on one running deployment."""

import asyncio
import statistics
from pathlib import Path
from typing import Any, NamedTuple

import msgspec

from hawthorntrack.experiment.checks import violations
from hawthorntrack.experiment.launcher import ENVIRONMENT, Fleet
from hawthorntrack.experiment.layout import Deployment, deployments, document_body
from hawthorntrack.experiment.records import Run
from hawthorntrack.experiment.replay import Replay
from hawthorntrack.experiment.scenarios import scenario_trace
from hawthorntrack.experiment.summary import Figures, figures, values_by_label
from hawthorntrack.protocol.rows import document_key, encode_document
from hawthorntrack.state.documents import DocumentBody

WARM_UP_TIME_S = 3.0


class Result(NamedTuple):
    """The result of one run of a policy in a scenario.

    Attributes
    ----------
    through_zone : float
        Tasks completed while the zone was out of service, divided by the tasks that
        arrived in that time; 0 in other scenarios.
    """

    scenario: str
    policy: str
    round: int
    figures: Figures
    refusals: dict[str, float]
    not_run: dict[str, float]
    violations: list[str]
    through_zone: float


def variant_body(deployment: Deployment, variant: str) -> DocumentBody:
    """Return the document of a variant: a policy, or ``policy/guard_queue``.

    Examples
    --------
    >>> body = variant_body(deployments["jardim"], "random/8")
    >>> body["policy"], body["limits"]["guard_queue"]
    ('random', 8)
    """
    policy, _, queue = variant.partition("/")
    body = document_body(deployment, policy)
    if queue:
        body["limits"]["guard_queue"] = int(queue)
    return body


async def set_policy(fleet: Fleet, policy: str, number: int) -> None:
    """Write the document of a policy and wait until it is in force everywhere."""
    value = encode_document(number, variant_body(fleet.deployment, policy))
    key = document_key(ENVIRONMENT, fleet.deployment.service)
    stamp = await fleet.write_row(key, value)

    async def in_force() -> bool:
        names = fleet.running([*fleet.guards(), *fleet.entries()])
        pages = [await fleet.status(name) for name in names]
        return all(page["control"]["stamp"] >= stamp for page in pages)

    await fleet.wait_until(in_force, "the policy is in force")


def through_zone(run: Run, seconds: float) -> float:
    """Return the tasks completed while a zone was out, divided by those that arrived.

    Explanation
    -----------
    If the remaining capacity is above the load, all tasks that arrive should complete.
    The ratio is then 1, apart from tasks in progress when the zone leaves and returns.
    """
    if not run.zones_out:
        return 0.0
    begin, end = seconds / 3, 2 * seconds / 3
    tasks_arrived = sum(
        item.tasks for item in run.submissions if begin <= item.started_s < end
    )
    tasks_completed = sum(
        item.tasks
        for item in run.submissions
        if item.status == "complete" and begin <= item.started_s + item.duration_s < end
    )
    return tasks_completed / max(1, tasks_arrived)


async def compare(
    deployment_name: str,
    scenario_names: list[str],
    policy_names: list[str],
    rounds: int,
    seconds: float,
    base_port: int,
    print_line: Any,
    changes: dict[str, Any] | None = None,
) -> list[Result]:
    """Run each policy in each scenario, alternating the policies within a round."""
    deployment = deployments[deployment_name]
    fleet = Fleet(deployment, base_port, changes=changes)
    results = []
    number = 1
    try:
        await fleet.start()
        warm_up_trace = scenario_trace(
            "steady", deployment_name, deployment, WARM_UP_TIME_S, "warm", 99
        )
        await Replay(warm_up_trace, fleet=fleet).measure()
        for round_number in range(rounds):
            for scenario in scenario_names:
                for policy in policy_names:
                    number += 1
                    await set_policy(fleet, policy, number)
                    prefix = f"{scenario}-{policy}-{round_number}"
                    trace = scenario_trace(
                        scenario,
                        deployment_name,
                        deployment,
                        seconds,
                        prefix,
                        round_number,
                    )
                    run = await Replay(trace, fleet=fleet).measure()
                    result = Result(
                        scenario,
                        policy,
                        round_number,
                        figures(run),
                        values_by_label(run, "refusals"),
                        values_by_label(run, "not_run"),
                        violations(run),
                        through_zone(run, seconds),
                    )
                    results.append(result)
                    print_line(result_line(result))
        await fleet.stop()
    finally:
        await fleet.close()
    return results


def result_line(result: Result) -> str:
    """Return a line of text that describes a result."""
    stats = result.figures
    cpu = " ".join(f"{k}={v:.1f}" for k, v in sorted(stats.cpu_ms_per_task.items()))
    by = " ".join(f"{kind} {count:.0f}" for kind, count in stats.wasted_by.items())
    zone = f" through zone {result.through_zone:.2f}" if result.through_zone else ""
    bad = f" VIOLATIONS {result.violations[:2]}" if result.violations else ""
    return (
        f"{result.scenario:<12} {result.policy:<16} p50 {stats.p50:5.2f}"
        f"  p99 {stats.p99:5.2f}  p99.9 {stats.p999:5.2f}  msg/task"
        f" {stats.messages_per_task:4.2f}  wasted {100 * stats.wasted_share:5.2f}%"
        f" ({by})"
        f"  {stats.complete}/{stats.jobs} complete{zone}  cpu ms/task {cpu}{bad}"
    )


def medians(results: list[Result]) -> list[dict[str, Any]]:
    """Return the medians over the rounds of each scenario and policy."""
    groups: dict[tuple[str, str], list[Result]] = {}
    for result in results:
        groups.setdefault((result.scenario, result.policy), []).append(result)
    names = ("p50", "p99", "p999", "messages_per_task", "wasted_share")
    return [
        {
            "scenario": scenario,
            "policy": policy,
            "rounds": len(group),
            "complete": sum(item.figures.complete for item in group),
            "jobs": sum(item.figures.jobs for item in group),
            "through_zone": statistics.median(item.through_zone for item in group),
            "violations": sum(len(item.violations) for item in group),
            "cpu_ms_per_task": {
                role: statistics.median(
                    item.figures.cpu_ms_per_task.get(role, 0.0) for item in group
                )
                for role in group[0].figures.cpu_ms_per_task
            },
            **{
                name: statistics.median(getattr(item.figures, name) for item in group)
                for name in names
            },
        }
        for (scenario, policy), group in groups.items()
    ]


def median_line(row: dict[str, Any]) -> str:
    """Return a line of text with the medians of a scenario and policy."""
    cpu = " ".join(f"{k}={v:.2f}" for k, v in sorted(row["cpu_ms_per_task"].items()))
    zone = f"  through zone {row['through_zone']:.2f}" if row["through_zone"] else ""
    return (
        f"median of {row['rounds']}  {row['scenario']:<12} {row['policy']:<16}"
        f" p50 {row['p50']:5.2f}  p99 {row['p99']:5.2f}  p99.9 {row['p999']:5.2f}"
        f"  msg/task {row['messages_per_task']:4.2f}"
        f"  wasted {100 * row['wasted_share']:5.2f}%"
        f"  {row['complete']}/{row['jobs']} complete{zone}  cpu s/1000 tasks {cpu}"
    )


def write_report(results: list[Result], folder: Path) -> None:
    """Write the results as JSON and plot the medians as SVG."""
    folder.mkdir(parents=True, exist_ok=True)
    rows = medians(results)
    runs = [
        {**result._asdict(), "figures": result.figures._asdict()} for result in results
    ]
    (folder / "bench.json").write_bytes(
        msgspec.json.format(msgspec.json.encode({"medians": rows, "runs": runs}))
    )
    plot(rows, folder / "bench.svg")


def plot(rows: list[dict[str, Any]], path: Path) -> None:
    """Plot p50 and p99 of each policy in each scenario."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    scenario_names = list(dict.fromkeys(row["scenario"] for row in rows))
    policy_names = list(dict.fromkeys(row["policy"] for row in rows))
    figure, axes = pyplot.subplots(1, 2, figsize=(11, 4))
    width = 0.8 / len(policy_names)
    for axis, name in zip(axes, ("p50", "p99"), strict=True):
        for offset, policy in enumerate(policy_names):
            found = {r["scenario"]: r[name] for r in rows if r["policy"] == policy}
            places = [n + offset * width for n in range(len(scenario_names))]
            heights = [found.get(scenario, 0) for scenario in scenario_names]
            axis.bar(places, heights, width, label=policy)
        axis.set_xticks(range(len(scenario_names)), scenario_names)
        axis.set_title(f"response time over the ideal, {name}")
    axes[0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path)


def run_bench(
    deployment: str,
    scenario_names: list[str],
    policy_names: list[str],
    rounds: int,
    seconds: float,
    base_port: int,
    folder: Path,
    print_line: Any,
    changes: dict[str, Any],
) -> list[Result]:
    """Compare the policies, print the medians and write the report."""
    results = asyncio.run(
        compare(
            deployment,
            scenario_names,
            policy_names,
            rounds,
            seconds,
            base_port,
            print_line,
            changes,
        )
    )
    for row in medians(results):
        print_line(median_line(row))
    write_report(results, folder)
    return results
