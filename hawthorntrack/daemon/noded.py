"""Command ``hawthorntrack-node``: run one process on the users' platform."""

import asyncio
import os
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import click

from hawthorntrack.daemon.logs import start_pipe_log
from hawthorntrack.platform.formats import SETTINGS_PATH_VARIABLE
from hawthorntrack.state.node_settings import NodeSettings, load_node_settings
from hawthorntrack.state.registry import Registry
from hawthorntrack.state.validation import InvalidInput

EXIT_BAD_SETTINGS = 2

# Each role imports only its own modules: a guard is one of hundreds of processes, and
# the memory and start-up time of each count.
roles: Registry[Callable[[NodeSettings, str], Coroutine[Any, Any, None]]] = Registry(
    "role"
)


@roles.register("entry")
async def run_entry(settings: NodeSettings, settings_path: str) -> None:
    """Run an entry instance until it is stopped."""
    from hawthorntrack.daemon.entry_node import run_entry_node

    await run_entry_node(settings, settings_path)


@roles.register("guard")
async def run_guard(settings: NodeSettings, settings_path: str) -> None:
    """Run a guard until it is stopped."""
    from hawthorntrack.daemon.guard_node import run_guard_node

    await run_guard_node(settings, settings_path)


@click.command()
@click.argument("role", type=click.Choice(roles.names()))
@click.option(
    "--settings",
    "path",
    envvar=SETTINGS_PATH_VARIABLE,
    required=True,
    type=click.Path(),
    help="YAML settings of this process; docs/OPERATIONS.md lists the keys.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
def main(role: str, path: str, check: bool) -> None:
    """Run an entry instance, or the guard of the target on this machine."""
    try:
        settings = load_node_settings(path)
    except InvalidInput as error:
        click.echo(f"hawthorntrack-node: {error}", err=True)
        sys.exit(EXIT_BAD_SETTINGS)
    if check:
        click.echo(f"{path}: settings are in order")
        return
    start_pipe_log()
    asyncio.run(roles[role](settings, os.fspath(path)))


if __name__ == "__main__":
    main()
