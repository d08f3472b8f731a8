"""``make demo``: the main job, on stand-ins, from a trace in the repository."""

import asyncio
import sys
from pathlib import Path

import click

from hawthorntrack.experiment.checks import unmet, violations
from hawthorntrack.experiment.records import Run, Submission
from hawthorntrack.experiment.replay import Replay
from hawthorntrack.experiment.summary import summary_lines
from hawthorntrack.experiment.trace import read_trace

TRACE = Path(__file__).parents[2] / "examples" / "traces" / "demo.jsonl"


def show_answer(item: Submission) -> str:
    """Return one line for a submission's answer."""
    kind = item.body.get("kind", "")
    spent_ms = item.spent_s * 1000
    return (
        f"{item.key:<16} {item.status:<9} {kind:<14} {item.tasks:>3} tasks"
        f" {spent_ms:>7.0f} ms  {item.ratio:>5.2f} of ideal"
    )


def problems_of(replay: Replay, run: Run) -> list[str]:
    """Return what was wrong with a run."""
    wanted = [(item.check, item.arguments) for item in replay.trace.expectations]
    codes = run.notes.get("exit_codes", {})
    stops = [f"{name} ended with code {code}" for name, code in codes.items()]
    return [*violations(run), *unmet(run, wanted), *stops]


def main() -> None:
    """Run the demo; exit 1 if any answer was wrong."""
    replay = Replay(read_trace(TRACE))
    click.echo(f"{replay.trace.header['about']}\n")
    click.echo("Starting 11 guards, 11 targets, 2 entries and a table ...")
    run = asyncio.run(replay.run())
    for item in sorted(run.submissions, key=lambda item: item.begun_s):
        click.echo(show_answer(item))
    click.echo("")
    for line in summary_lines(run):
        click.echo(line)
    problems = problems_of(replay, run)
    for problem in problems:
        click.echo(f"WRONG: {problem}", err=True)
    click.echo("\nEvery answer was right." if not problems else "\nFailed.")
    sys.exit(1 if problems else 0)


if __name__ == "__main__":
    main()
