"""Command line of ``hawthorntrack-lab``, the load and experiment tool."""

import asyncio
import sys
from pathlib import Path

import click
import msgspec

from hawthorntrack.coordination.placement import policies
from hawthorntrack.coordination.queue_ordering import queue_orders
from hawthorntrack.experiment.bench import run_bench
from hawthorntrack.experiment.capacity import capacity_lines, slope_lines
from hawthorntrack.experiment.demo import answer_line, find_problems
from hawthorntrack.experiment.fleet_costs import measure_fleet
from hawthorntrack.experiment.launcher import Fleet
from hawthorntrack.experiment.layout import deployments
from hawthorntrack.experiment.model_faults import troubles
from hawthorntrack.experiment.model_site import (
    SMALL_SITE,
    ModelSite,
    Tally,
    in_simulated_time,
)
from hawthorntrack.experiment.orders import compare_orders
from hawthorntrack.experiment.replay import Replay
from hawthorntrack.experiment.scenarios import scenarios
from hawthorntrack.experiment.slopes import measure_all
from hawthorntrack.experiment.soak import CALLERS, Soak
from hawthorntrack.experiment.soak_faults import soak_faults
from hawthorntrack.experiment.summary import summary_lines
from hawthorntrack.experiment.trace import read_trace
from hawthorntrack.standins.serving import wait_for_stop_signal
from hawthorntrack.state.node_settings import MAX_GUARD_LINKS


@click.group()
def main() -> None:
    """Load and experiment tool: runs deployments on this machine's loopback."""


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True))
@click.option("--policy", default="expected_finish", show_default=True)
@click.option("--base-port", default=21_000, show_default=True)
@click.option("--answers", is_flag=True, help="Print each answer.")
def replay(files: tuple[str, ...], policy: str, base_port: int, answers: bool) -> None:
    """Replay trace FILES and check their expectations; exit 1 if one is not met."""
    failed = False
    for file in files:
        played = Replay(read_trace(Path(file)), base_port, policy)
        run = asyncio.run(played.run())
        problems = find_problems(played, run)
        failed |= bool(problems)
        click.echo(f"== {file}: {'FAILED' if problems else 'as stated'}")
        if answers:
            for item in sorted(run.submissions, key=lambda item: item.started_s):
                click.echo(answer_line(item))
        for line in [*summary_lines(run), *(f"WRONG: {p}" for p in problems[:20])]:
            click.echo(f"   {line}")
        if problems:
            click.echo(f"   logs are in {played.fleet.folder}")
    sys.exit(1 if failed else 0)


@main.command()
@click.option("--deployment", default="jardim", show_default=True)
@click.option("--scenario", "names", multiple=True, help="All if none is given.")
@click.option("--policy", "policy_names", multiple=True, help="All if none is given.")
@click.option("--rounds", default=1, show_default=True)
@click.option("--seconds", default=10.0, show_default=True, help="Length of a run.")
@click.option("--beat-ms", default=250, show_default=True, help="Heartbeat interval.")
@click.option("--base-port", default=23_000, show_default=True)
@click.option("--out", default="out", show_default=True, type=click.Path())
def bench(
    deployment: str,
    names: tuple[str, ...],
    policy_names: tuple[str, ...],
    rounds: int,
    seconds: float,
    beat_ms: int,
    base_port: int,
    out: str,
) -> None:
    """Compare placement policies in paired runs; write OUT/bench.json and .svg."""
    results = run_bench(
        deployment,
        list(names) or list(scenarios),
        list(policy_names) or list(policies),
        rounds,
        seconds,
        base_port,
        Path(out),
        click.echo,
        {"timing": {"beat_interval_ms": beat_ms}},
    )
    sys.exit(any(result.violations for result in results))


@main.command()
@click.option("--guards", "counts", multiple=True, type=int, default=(11, 25, 50, 100))
@click.option("--share", "shares", multiple=True, default=(0.1, 0.3, 0.5, 0.7))
@click.option("--seconds", default=8.0, show_default=True, help="Length of a load.")
@click.option("--base-port", default=25_000, show_default=True)
@click.option("--out", default="out", show_default=True, type=click.Path())
def slopes(
    counts: tuple[int, ...],
    shares: tuple[float, ...],
    seconds: float,
    base_port: int,
    out: str,
) -> None:
    """Measure the slopes behind docs/CAPACITY.md; write OUT/slopes.json."""
    found = measure_all(list(counts), list(shares), base_port, seconds)
    folder = Path(out)
    folder.mkdir(parents=True, exist_ok=True)
    text = msgspec.json.format(msgspec.json.encode(found._asdict()))
    (folder / "slopes.json").write_bytes(text)
    for line in [*slope_lines(found), *capacity_lines(found)]:
        click.echo(line)


@main.command()
@click.option("--deployment", default="jardim", show_default=True)
@click.option("--base-port", default=21_000, show_default=True)
def up(deployment: str, base_port: int) -> None:
    """Start a deployment and keep it running until Ctrl-C."""
    asyncio.run(keep_up(Fleet(deployments[deployment], base_port)))


async def keep_up(fleet: Fleet) -> None:
    """Run a deployment until a stop signal arrives, then stop it gracefully."""
    try:
        await fleet.start()
        click.echo(f"table  http://{fleet.ports.table()}")
        for name in fleet.entries():
            click.echo(f"{name} http://{fleet.http(name)}")
        click.echo(f"settings and logs in {fleet.folder}; Ctrl-C stops it")
        await wait_for_stop_signal()
        await fleet.stop()
    finally:
        await fleet.close()


@main.command()
@click.option("--load", default=1.0, show_default=True, help="Factor on arrivals.")
@click.option("--seconds", default=10.0, show_default=True, help="Simulated time.")
@click.option("--trouble", "name", default="none", type=click.Choice(troubles.names()))
@click.option("--seed", default=1, show_default=True)
def site(load: float, seconds: float, name: str, seed: int) -> None:
    """Simulate a site of leased targets; exit 1 if a task has two runs at once."""
    model = ModelSite(SMALL_SITE, seed)
    play = model.play(seconds, troubles[name], factor=lambda at: load)
    tallies = in_simulated_time(play)
    click.echo(f"{'queue':10} {' '.join(f'{name:>8}' for name in Tally._fields)}")
    for queue, tally in tallies.items():
        click.echo(f"{queue:10} {' '.join(f'{count:8}' for count in tally)}")
    for violation in model.violations:
        click.echo(f"WRONG: {violation}")
    sys.exit(1 if model.violations else 0)


@main.command()
@click.option("--machines", "sizes", multiple=True, type=int, default=(30, 100, 300))
@click.option("--load", default=0.0, show_default=True, help="Factor on arrivals.")
@click.option("--seconds", default=2.0, show_default=True, help="Simulated time.")
@click.option("--seed", default=1, show_default=True)
def fleet(sizes: tuple[int, ...], load: float, seconds: float, seed: int) -> None:
    """Count the control messages of a process at several sizes of a site."""
    for machines in sizes:
        cost = measure_fleet(machines, load, seconds, seed)
        click.echo(f"{cost.entries} entry instances, {cost.guards} guards")
        for role in ("entry", "guard"):
            click.echo(
                f"  {role}: {cost.links[role]:.1f} links; sent a second "
                f"{cost.messages(role):.1f} messages, "
                f"{cost.sent_bytes.get(role, 0.0) / 1000:.2f} kB"
            )
        for (role, kind), rate in cost.sent.items():
            click.echo(f"    {role:5} {kind:14} {rate:8.1f}")


@main.command()
@click.option("--seed", "first", default=1, show_default=True)
@click.option("--seeds", default=1, show_default=True, help="Number of seeds, in turn.")
@click.option("--seconds", default=12.0, show_default=True, help="Length of faults.")
@click.option("--entries", default=3, show_default=True)
@click.option("--guards", default=8, show_default=True)
@click.option("--callers", default=CALLERS, show_default=True)
@click.option("--block", default=0, show_default=True, help="Block of addresses.")
@click.option(
    "--links",
    default=MAX_GUARD_LINKS,
    show_default=True,
    help="Largest number of guards that an entry instance is linked to.",
)
@click.option(
    "--fault",
    "faults",
    multiple=True,
    type=click.Choice(soak_faults.names()),
    help="All if none is given.",
)
def soak(
    first: int,
    seeds: int,
    seconds: float,
    entries: int,
    guards: int,
    callers: int,
    block: int,
    links: int,
    faults: tuple[str, ...],
) -> None:
    """Run real processes through random faults; exit 1 if a guarantee is violated."""
    broken = []
    for seed in range(first, first + seeds):
        played = Soak(seed, seconds, entries, guards, block, callers, faults, links)
        report = asyncio.run(played.run())
        found = f"{len(report.faults)} faults, {report.answers}, {report.stalls} stalls"
        click.echo(f"seed {seed}: {found}")
        for violation in report.violations:
            click.echo(f"  WRONG: {violation}")
        if report.violations:
            broken.append(seed)
            click.echo(f"  faults: {'; '.join(report.faults)}")
            click.echo(f"  logs are in {report.folder}")
    click.echo(f"{seeds} seeds, broken: {broken or 'none'}")
    sys.exit(1 if broken else 0)


@main.command()
@click.option("--load", default=1.5, show_default=True, help="Factor on arrivals.")
@click.option("--seconds", default=10.0, show_default=True, help="Simulated time.")
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--order",
    "names",
    multiple=True,
    type=click.Choice(queue_orders.names()),
    help="All if none is given.",
)
def orders(load: float, seconds: float, seed: int, names: tuple[str, ...]) -> None:
    """Compare orders in which waiting jobs get capacity, in simulated time."""
    chosen = names or queue_orders.names()
    results = compare_orders(chosen, load, seconds, seed)
    queues = list(results[0].by_queue)
    titles = ["credit", *queues, "largest", "worst 2 s"]
    click.echo(f"{'order':18} {' '.join(f'{title:>9}' for title in titles)}")
    for result in results:
        shares = [
            result.credit,
            *result.by_queue.values(),
            result.largest,
            result.worst,
        ]
        click.echo(f"{result.order:18} {' '.join(f'{x:9.3f}' for x in shares)}")


if __name__ == "__main__":
    main()
