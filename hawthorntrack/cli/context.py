"""Table access, output and exit codes, shared by all commands."""

import asyncio
import sys
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass
from functools import update_wrapper
from typing import Any, TypeVar

import aiohttp
import click
import msgspec

from hawthorntrack.state.table import (
    Conflict,
    ReadResult,
    Row,
    TableUnavailable,
    WriteOutcome,
    WriteOutcomeUnknown,
    Written,
)
from hawthorntrack.state.validation import InvalidInput
from hawthorntrack.transport.table_client import HttpTable

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNAVAILABLE = 4
EXIT_TIMED_OUT = 5

CALLS_PER_S = 200
WRITE_ATTEMPTS = 8
WRITE_RETRY_PAUSE_S = 0.3

T = TypeVar("T")


@dataclass
class CommandError(Exception):
    """Raised when a command cannot be carried out.

    Attributes
    ----------
    kind : str
        Stable name of the error, printed with ``--json``.
    text : str
        Description of the error and its remedy.
    exit_code : int
        The tool's exit code.
    """

    kind: str
    text: str
    exit_code: int


class Context:
    """The tool's global options, and the table client that they configure."""

    def __init__(
        self, table_url: str, environment: str, as_json: bool, timeout_s: float
    ) -> None:
        self.table_url = table_url
        self.environment = environment
        self.as_json = as_json
        self.timeout_s = timeout_s
        self.table = HttpTable(
            table_url.rstrip("/"), timeout_s, CALLS_PER_S, CALLS_PER_S
        )

    def show(self, value: Any, lines: list[str]) -> None:
        """Print a result, as JSON for scripts or as lines for people."""
        if self.as_json:
            click.echo(msgspec.json.encode(value).decode())
        else:
            for line in lines:
                click.echo(line)

    async def read_prefix(self, prefix: str) -> ReadResult:
        """Read the rows with a key prefix.

        Raises
        ------
        CommandError
            If the table does not answer.
        """
        outcome = await self.table.read(prefix)
        if isinstance(outcome, TableUnavailable):
            raise CommandError(
                "table_unavailable",
                f"The table at {self.table_url} does not answer ({outcome.reason})."
                " Check --table, or wait until the platform's store is back.",
                EXIT_UNAVAILABLE,
            )
        assert isinstance(outcome, ReadResult)
        return outcome

    async def rows(self, prefix: str) -> tuple[Row, ...]:
        """Return the rows with a key prefix."""
        return (await self.read_prefix(prefix)).rows

    async def row(self, key: str) -> Row | None:
        """Return one row, or None if it does not exist."""
        return (await self.read_prefix(key)).row(key)

    async def write(self, key: str, expect: int, value: bytes | None) -> WriteOutcome:
        """Write a row conditionally, and repeat a write whose answer is lost.

        Explanation
        -----------
        A write without an answer may still take effect later. The same conditional
        write is sent again until the row's version has changed from `expect`. The row
        then holds either this value or that of another writer who was first. Values
        that two writers could write alike must contain a unique mark.
        """
        for _ in range(WRITE_ATTEMPTS):
            outcome = await self.table.write(key, expect, value)
            if isinstance(outcome, Conflict) and holds_value(outcome.row, value):
                return Written(outcome.row.version if outcome.row else 0)
            if not isinstance(outcome, WriteOutcomeUnknown):
                return outcome
            await asyncio.sleep(WRITE_RETRY_PAUSE_S)
        raise CommandError(
            "unsettled",
            f"No answer to the write of {key}: it may have taken effect, or may yet."
            " Look with the matching show command before you try again.",
            EXIT_UNAVAILABLE,
        )


def holds_value(row: Row | None, value: bytes | None) -> bool:
    """Return whether a row holds a value; an absent row holds None."""
    if row is None or value is None:
        return row is None and value is None
    return msgspec.json.decode(row.value) == msgspec.json.decode(value)


pass_context = click.make_pass_decorator(Context)


def run(context: Context, work: Coroutine[Any, Any, T]) -> T:
    """Run a command's coroutine; on an error print it and exit with its code."""

    async def run_and_close() -> T:
        try:
            return await work
        finally:
            await context.table.close()

    try:
        return asyncio.run(run_and_close())
    except CommandError as error:
        fail(context, error.kind, error.text, error.exit_code)
    except InvalidInput as error:
        fail(context, "invalid_input", str(error), EXIT_BAD_INPUT)
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        text = f"{error or type(error).__name__}. Check the address and try again."
        fail(context, "unreachable", text, EXIT_UNAVAILABLE)
    raise AssertionError("fail() exits")


def fail(context: Context, kind: str, text: str, exit_code: int) -> None:
    """Print an error and exit."""
    if context.as_json:
        click.echo(msgspec.json.encode({"error": kind, "message": text}).decode())
    else:
        click.echo(f"hawthorntrack: {text}", err=True)
    sys.exit(exit_code)


def command(
    work: Callable[..., Awaitable[None]],
) -> Callable[..., None]:
    """Turn a coroutine function that takes a `Context` into a command's callback."""

    @pass_context
    def call(context: Context, *args: Any, **kwargs: Any) -> None:
        run(context, work(context, *args, **kwargs))

    return update_wrapper(call, work)
