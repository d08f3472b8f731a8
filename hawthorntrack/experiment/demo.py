"""The demo of ``make demo``: replays a trace from the repository on stand-ins."""

import asyncio
import sys
from pathlib import Path

import click

from hawthorntrack.experiment.checks import unmet_expectations, violations
from hawthorntrack.experiment.records import Run, Submission
from hawthorntrack.experiment.replay import Replay
from hawthorntrack.experiment.summary import summary_lines
from hawthorntrack.experiment.trace import read_trace

TRACE = Path(__file__).parents[2] / "examples" / "traces" / "demo.jsonl"


def answer_line(item: Submission) -> str:
    """Return a line of text that describes the answer to a submission."""
    kind = item.body.get("kind", "")
    duration_ms = item.duration_s * 1000
    return (
        f"{item.key:<16} {item.status:<9} {kind:<14} {item.tasks:>3} tasks"
        f" {duration_ms:>7.0f} ms  {item.ratio:>5.2f} of ideal"
    )


def find_problems(replay: Replay, run: Run) -> list[str]:
    """Return violations, unmet expectations and nonzero exit codes of a run."""
    expected = [(item.check, item.arguments) for item in replay.trace.expectations]
    codes = run.notes.get("exit_codes", {})
    stop_problems = [f"{name} ended with code {code}" for name, code in codes.items()]
    return [*violations(run), *unmet_expectations(run, expected), *stop_problems]


def main() -> None:
    """Run the demo, and exit with 1 if a check of the run failed."""
    replay = Replay(read_trace(TRACE))
    click.echo(f"{replay.trace.header['about']}\n")
    click.echo("Starting 11 guards, 11 targets, 2 entries and a table ...")
    run = asyncio.run(replay.run())
    for item in sorted(run.submissions, key=lambda item: item.started_s):
        click.echo(answer_line(item))
    click.echo("")
    for line in summary_lines(run):
        click.echo(line)
    problems = find_problems(replay, run)
    for problem in problems:
        click.echo(f"WRONG: {problem}", err=True)
    click.echo("\nEvery answer was right." if not problems else "\nFailed.")
    sys.exit(1 if problems else 0)


if __name__ == "__main__":
    main()
