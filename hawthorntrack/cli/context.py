"""What the commands share: the table, output, and errors with exit codes."""

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
    """A command could not be carried out.

    Attributes
    ----------
    kind : str
        Stable name of the error, shown with ``--json``.
    text : str
        What happened and what to do about it.
    """

    kind: str
    text: str
    exit_code: int


class Context:
    """The options that every command has."""

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
        """Print a result: as JSON for scripts, or as lines for people."""
        if self.as_json:
            click.echo(msgspec.json.encode(value).decode())
        else:
            for line in lines:
                click.echo(line)

    async def read_prefix(self, prefix: str) -> ReadResult:
        """Read by prefix, or raise that the table does not answer."""
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
        """Return rows by prefix."""
        return (await self.read_prefix(prefix)).rows

    async def row(self, key: str) -> Row | None:
        """Return one row, or None where it is absent."""
        return (await self.read_prefix(key)).row(key)

    async def write(self, key: str, expect: int, value: bytes | None) -> WriteOutcome:
        """Write a row and settle a lost answer by reading back.

        Explanation
        -----------
        A write without an answer may take effect late. The same conditional write
        is sent again until the row has moved past `expect`: then either it holds
        this value, or another writer was first. Where it matters whose write it
        was, the value carries a mark of its own.
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
    """Return whether a row holds the value that was to be written."""
    if row is None or value is None:
        return row is None and value is None
    return msgspec.json.decode(row.value) == msgspec.json.decode(value)


pass_context = click.make_pass_decorator(Context)


def run(context: Context, work: Coroutine[Any, Any, T]) -> T:
    """Run a command's work; print its error and exit with the error's code."""

    async def whole() -> T:
        try:
            return await work
        finally:
            await context.table.close()

    try:
        return asyncio.run(whole())
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
    """Turn a coroutine over the context into a command's function."""

    @pass_context
    def call(context: Context, *args: Any, **kwargs: Any) -> None:
        run(context, work(context, *args, **kwargs))

    return update_wrapper(call, work)
