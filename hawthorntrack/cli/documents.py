"""Commands on service documents: check, put, show, diff, promote, history."""

import difflib
import uuid
from typing import NamedTuple

import click
import yaml

from hawthorntrack.cli.context import (
    EXIT_BAD_INPUT,
    EXIT_CONFLICT,
    EXIT_FAILED,
    CommandError,
    Context,
    command,
)
from hawthorntrack.coordination.membership import witness_rules
from hawthorntrack.coordination.placement import policies
from hawthorntrack.protocol.rows import (
    DocumentRow,
    decode_document,
    document_key,
    encode_document,
    history_key,
    history_prefix,
)
from hawthorntrack.state.documents import ENVIRONMENTS, DocumentBody, check_document
from hawthorntrack.state.table import ABSENT, Conflict, Written
from hawthorntrack.state.validation import load_yaml


class StoredDocument(NamedTuple):
    """A service's document in the table, with its versions.

    Attributes
    ----------
    version : int
        The table's version of the document's row; 0 if there is no row.
    number : int
        The document's own version in its environment; 0 if there is no document.
    """

    version: int
    number: int
    body: DocumentBody | None


def load_document(path: str) -> DocumentBody:
    """Read a document from a YAML file and check it."""
    data = load_yaml(path)
    return check_document(data, path, policies.names(), witness_rules.names())


async def read_stored(
    context: Context, environment: str, service: str
) -> StoredDocument:
    """Read a service's document in an environment."""
    row = await context.row(document_key(environment, service))
    if row is None:
        return StoredDocument(ABSENT, 0, None)
    document: DocumentRow = decode_document(row)
    return StoredDocument(row.version, document["number"], document["body"])


async def read_existing(
    context: Context, environment: str, service: str
) -> StoredDocument:
    """Read a service's document; raise a `CommandError` if there is none."""
    found = await read_stored(context, environment, service)
    if found.body is None:
        raise CommandError(
            "no_document",
            f"{environment} has no document of {service}. Put one first, or check"
            " the name.",
            EXIT_BAD_INPUT,
        )
    return found


async def write_next_version(
    context: Context, environment: str, before: StoredDocument, body: DocumentBody
) -> int:
    """Replace the version that was read by the next one; return its number.

    Raises
    ------
    CommandError
        If another operator has changed the document since; the message names both
        versions.
    """
    service, number = body["service"], before.number + 1
    value = encode_document(number, body, mark=uuid.uuid4().hex)
    key = document_key(environment, service)
    outcome = await context.write(key, before.version, value)
    if isinstance(outcome, Conflict):
        current_number = decode_document(outcome.row)["number"] if outcome.row else 0
        raise CommandError(
            "conflict",
            f"You changed version {before.number} of {service} in {environment}, but"
            f" it is at version {current_number} now. Look at the difference and try"
            " again.",
            EXIT_CONFLICT,
        )
    assert isinstance(outcome, Written)
    # The history is only shown to operators, so that a failed write here loses one
    # entry of it and nothing else.
    history = history_key(environment, service, number)
    await context.table.write(history, ABSENT, value)
    return number


def document_yaml(body: DocumentBody) -> str:
    """Return a document as YAML."""
    return yaml.safe_dump(body)


def document_diff(before: DocumentBody | None, after: DocumentBody | None) -> list[str]:
    """Return the lines that differ between two documents."""
    texts = [
        document_yaml(body).splitlines() if body else [] for body in (before, after)
    ]
    return list(difflib.unified_diff(*texts, "before", "after", lineterm=""))


environment_option = click.option(
    "--in",
    "environment",
    type=click.Choice(ENVIRONMENTS),
    default="trial",
    show_default=True,
    help="The environment.",
)


@click.group()
def document() -> None:
    """Documents: what each service must deliver.

    Put a document into trial, look at it, then promote it to production.
    """


@document.command()
@click.argument("file", type=click.Path())
@command
async def check(context: Context, file: str) -> None:
    """Check FILE whole, and change nothing."""
    body = load_document(file)
    context.show({"ok": True, "service": body["service"]}, [f"{file}: in order"])


@document.command()
@click.argument("file", type=click.Path())
@environment_option
@click.option(
    "--base",
    type=int,
    help="Version that your change starts from; another one there is a conflict.",
)
@command
async def put(context: Context, file: str, environment: str, base: int | None) -> None:
    """Put FILE into an environment as the next version."""
    body = load_document(file)
    before = await read_stored(context, environment, body["service"])
    if base is not None and base != before.number:
        raise CommandError(
            "conflict",
            f"Your change starts from version {base}, but {body['service']} is at"
            f" version {before.number} in {environment}. Look at the difference and"
            " try again.",
            EXIT_CONFLICT,
        )
    number = await write_next_version(context, environment, before, body)
    context.show(
        {"service": body["service"], "environment": environment, "version": number},
        [f"{body['service']} is at version {number} in {environment}"],
    )


@document.command()
@click.argument("service")
@environment_option
@click.option("--version", "number", type=int, help="A past version.")
@command
async def show(
    context: Context, service: str, environment: str, number: int | None
) -> None:
    """Show SERVICE's document."""
    if number is None:
        found = await read_existing(context, environment, service)
        number, body = found.number, found.body
    else:
        row = await context.row(history_key(environment, service, number))
        if row is None:
            raise CommandError(
                "no_version",
                f"{environment} has no version {number} of {service}. See `document"
                " history`.",
                EXIT_BAD_INPUT,
            )
        body = decode_document(row)["body"]
    context.show(
        {"version": number, "document": body},
        [f"# version {number} in {environment}", document_yaml(body).rstrip()],
    )


@document.command()
@click.argument("service")
@command
async def diff(context: Context, service: str) -> None:
    """Show how SERVICE's trial differs from its production."""
    before = await read_stored(context, "production", service)
    after = await read_existing(context, "trial", service)
    lines = document_diff(before.body, after.body)
    context.show(
        {"production": before.number, "trial": after.number, "diff": lines},
        lines or ["no difference"],
    )


@document.command()
@click.argument("service")
@click.option("--version", "number", type=int, help="The trial version you mean.")
@click.option("--base", type=int, help="The production version you mean to replace.")
@command
async def promote(
    context: Context, service: str, number: int | None, base: int | None
) -> None:
    """Promote SERVICE's trial document to production.

    The write takes effect only if production is still at the version that was read;
    of two operators who race, one gets a conflict that names both versions.
    """
    trial = await read_existing(context, "trial", service)
    if number is not None and number != trial.number:
        raise CommandError(
            "conflict",
            f"You mean trial version {number}, but trial is at version"
            f" {trial.number}. Look at the difference and try again.",
            EXIT_CONFLICT,
        )
    before = await read_stored(context, "production", service)
    if base is not None and base != before.number:
        raise CommandError(
            "conflict",
            f"You mean to replace production version {base}, but it is at version"
            f" {before.number}. Look at the difference and try again.",
            EXIT_CONFLICT,
        )
    written = await write_next_version(context, "production", before, trial.body)
    context.show(
        {"service": service, "trial": trial.number, "production": written},
        [f"trial version {trial.number} is production version {written}"],
    )


@document.command()
@click.argument("service")
@environment_option
@command
async def history(context: Context, service: str, environment: str) -> None:
    """List SERVICE's versions."""
    rows = await context.rows(history_prefix(environment, service))
    numbers = [decode_document(row)["number"] for row in rows]
    if not numbers:
        raise CommandError(
            "no_document",
            f"{environment} has no version of {service}. Check the name.",
            EXIT_FAILED,
        )
    context.show(
        {"service": service, "versions": numbers},
        [f"version {number}" for number in numbers],
    )
