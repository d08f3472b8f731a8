"""Commands on jobs: submit, show and cancel."""

import sys
import time
from typing import Any

import aiohttp
import click
import msgspec

from hawthorntrack.cli.context import (
    EXIT_BAD_INPUT,
    EXIT_FAILED,
    CommandError,
    Context,
    command,
)
from hawthorntrack.protocol.bodies import CUSTOMER_HEADER, KEY_HEADER
from hawthorntrack.protocol.rows import decode_guards, entries_prefix
from hawthorntrack.state import uuid7

REQUEST_TIMEOUT_S = 3_700.0


@click.group()
def job() -> None:
    """Jobs: submit one, look at it, cancel it."""


async def find_entry(context: Context, given: str | None) -> str:
    """Return the given address, or that of an entry instance that is not draining."""
    if given:
        return given
    entries = decode_guards(await context.rows(entries_prefix(context.environment)))
    serving = [entry for entry in entries.values() if not entry.draining]
    if not serving:
        raise CommandError(
            "no_entry",
            "No entry instance is registered. Start one, or name it with --entry.",
            EXIT_FAILED,
        )
    return serving[0].http


async def send_request(
    method: str, url: str, headers: dict[str, str], data: bytes | None = None
) -> dict[str, Any]:
    """Send a request to an entry instance and return its decoded answer."""
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.request(method, url, headers=headers, data=data) as response,
    ):
        return msgspec.json.decode(await response.read(), type=dict[str, Any])


async def request_job(
    context: Context, method: str, service: str, key: str, entry: str | None
) -> dict[str, Any]:
    """Query or cancel a submitted job through an entry instance."""
    address = await find_entry(context, entry)
    return await send_request(
        method, f"http://{address}/v1/services/{service}/jobs/{key}", {}
    )


def print_answer(context: Context, answer: dict[str, Any]) -> None:
    """Print an answer; exit with code 1 unless the job is complete or running."""
    lines = [f"{answer['job']}: {answer['status']}"]
    if "message" in answer:
        lines.append(f"{answer['kind']}, ran: {answer['ran']}. {answer['message']}")
    lines += [
        f"{index}: {msgspec.json.encode(item).decode()}"
        for index, item in enumerate(answer.get("results", []))
    ]
    context.show(answer, lines)
    if answer["status"] not in ("complete", "running"):
        sys.exit(EXIT_FAILED)


entry_option = click.option("--entry", help="ip:port of an entry instance's HTTP side.")


@job.command()
@click.argument("service")
@click.argument("file", type=click.File("rb"))
@click.option("--key", help="Idempotency key; a new UUIDv7 if none is given.")
@click.option("--customer", default="default", show_default=True)
@entry_option
@command
async def submit(
    context: Context,
    service: str,
    file: Any,
    key: str | None,
    customer: str,
    entry: str | None,
) -> None:
    """Submit the job in FILE (JSON, or - for standard input) to SERVICE."""
    data = file.read()
    try:
        msgspec.json.decode(data)
    except msgspec.DecodeError as error:
        raise CommandError(
            "bad_file",
            f"{file.name} is no JSON: {error}. docs/CALLERS.md shows a job.",
            EXIT_BAD_INPUT,
        ) from error
    address = await find_entry(context, entry)
    key = key or uuid7.new_uuid7(int(time.time() * 1000))
    headers = {KEY_HEADER: key, CUSTOMER_HEADER: customer}
    url = f"http://{address}/v1/services/{service}/jobs"
    print_answer(context, await send_request("POST", url, headers, data))


@job.command()
@click.argument("service")
@click.argument("key")
@entry_option
@command
async def show(context: Context, service: str, key: str, entry: str | None) -> None:
    """Show what is known of the job with KEY."""
    print_answer(context, await request_job(context, "GET", service, key, entry))


@job.command()
@click.argument("service")
@click.argument("key")
@entry_option
@command
async def cancel(context: Context, service: str, key: str, entry: str | None) -> None:
    """Cancel the job with KEY: what has not started never will."""
    answer = await request_job(context, "DELETE", service, key, entry)
    cancelled = answer.get("kind") == "cancelled"
    if cancelled:
        context.show(answer, [f"{key}: cancelled, ran: {answer['ran']}"])
    else:
        print_answer(context, answer)
