"""Command ``hawthorntrackd``: run one entry instance or one guard."""

import asyncio
import sys
from collections.abc import Awaitable, Callable

import click
from eliot import log_message

from hawthorntrack import __version__
from hawthorntrack.coordination.control_view import RegistrationLost
from hawthorntrack.daemon.entry import run_entry
from hawthorntrack.daemon.guard import run_guard
from hawthorntrack.daemon.logs import start_file_log
from hawthorntrack.state.settings import Settings, load_settings
from hawthorntrack.state.validation import InvalidInput

EXIT_BAD_SETTINGS = 2
EXIT_FAILED = 1


@click.group()
@click.version_option(__version__)
def main() -> None:
    """Run one process of hawthorntrack.

    It stops gracefully on SIGTERM; a second SIGTERM stops it at once. Exit codes: 0
    stopped, 1 failed, 2 settings refused.
    """


def settings_option(command: Callable) -> Callable:
    """Add the option for the path of the settings file to a command."""
    return click.option(
        "--settings",
        "path",
        required=True,
        type=click.Path(),
        help="YAML settings of this process; docs/OPERATIONS.md lists the keys.",
    )(command)


@main.command()
@settings_option
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def entry(path: str, check: bool) -> None:
    """Run an entry instance, which accepts callers' jobs over HTTP."""
    start(run_entry, path, check)


@main.command()
@settings_option
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def guard(path: str, check: bool) -> None:
    """Run a guard, which executes tasks on the target beside it."""
    start(run_guard, path, check)


def start(run: Callable[[Settings], Awaitable[None]], path: str, check: bool) -> None:
    """Load the settings and run the process; exit with a code on errors."""
    try:
        settings = load_settings(path)
    except InvalidInput as error:
        click.echo(f"hawthorntrackd: {error}", err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    if check:
        click.echo(f"{path}: settings are in order")
        return
    start_file_log(settings.log)
    try:
        asyncio.run(run(settings))
    except* RegistrationLost as errors:
        log_message("process:replaced", error=str(errors.exceptions[0]))
        sys.exit(EXIT_FAILED)


if __name__ == "__main__":
    main()
