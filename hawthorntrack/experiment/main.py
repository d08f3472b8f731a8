"""``hawthorntrack-lab``: replays traces against real processes and measures them."""

import asyncio
import sys
from pathlib import Path

import click

from hawthorntrack.experiment.demo import problems_of, show_answer
from hawthorntrack.experiment.replay import Replay
from hawthorntrack.experiment.summary import summary_lines
from hawthorntrack.experiment.trace import read_trace


@click.group()
def main() -> None:
    """Load and experiment tool: runs deployments on this machine's loopback."""


@main.command()
@click.argument("files", nargs=-1, required=True, type=click.Path(exists=True))
@click.option("--policy", default="expected_finish", show_default=True)
@click.option("--base-port", default=21_000, show_default=True)
@click.option("--answers", is_flag=True, help="Print each answer.")
def replay(files: tuple[str, ...], policy: str, base_port: int, answers: bool) -> None:
    """Replay trace FILES and check their stated outcomes; exit 1 if one is unmet."""
    failed = False
    for file in files:
        played = Replay(read_trace(Path(file)), base_port, policy)
        run = asyncio.run(played.run())
        problems = problems_of(played, run)
        failed |= bool(problems)
        click.echo(f"== {file}: {'FAILED' if problems else 'as stated'}")
        if answers:
            for item in sorted(run.submissions, key=lambda item: item.begun_s):
                click.echo(show_answer(item))
        for line in [*summary_lines(run), *(f"WRONG: {p}" for p in problems[:20])]:
            click.echo(f"   {line}")
        if problems:
            click.echo(f"   logs are in {played.fleet.folder}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
