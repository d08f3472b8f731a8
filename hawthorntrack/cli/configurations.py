"""Command that checks a configuration of queues and services before it is sent."""

from pathlib import Path

import click

from hawthorntrack.cli.context import (
    EXIT_BAD_INPUT,
    CommandError,
    Context,
    command,
)
from hawthorntrack.coordination.catalogue_checks import (
    ERROR,
    WARNING,
    CallerDeadlines,
    Difference,
    Finding,
    Proposal,
    check_catalogue,
    differences,
)
from hawthorntrack.platform.entry_http import DEFAULT_DEADLINE_S, MAX_DEADLINE_MS
from hawthorntrack.platform.formats import (
    Malformed,
    decode_catalogue,
    find_unknown_config_fields,
)
from hawthorntrack.state.catalogue import Catalogue

DEADLINES = CallerDeadlines(DEFAULT_DEADLINE_S, MAX_DEADLINE_MS / 1000)


def read_configuration(path: str) -> bytes:
    """Return the contents of a file with a configuration.

    Raises
    ------
    CommandError
        If the file cannot be read.
    """
    try:
        return Path(path).read_bytes()
    except OSError as error:
        text = f"{path}: cannot be read: {error.strerror}. Check the path."
        raise CommandError("unreadable_file", text, EXIT_BAD_INPUT) from error


def load_catalogue(path: str) -> Catalogue:
    """Return the configuration in a file.

    Raises
    ------
    CommandError
        If the file cannot be read, or processes would not accept its contents.
    """
    try:
        return decode_catalogue(read_configuration(path))
    except Malformed as error:
        text = f"{path}: processes would not accept it: {error}. Correct the value."
        raise CommandError("malformed_configuration", text, EXIT_BAD_INPUT) from error


def find_ignored_fields(path: str) -> list[Finding]:
    """Return a finding for each field in a file that processes ignore."""
    return [
        Finding(
            "ignored_field",
            WARNING,
            field,
            "is not a known field, so processes ignore it",
            "Check its spelling, or remove it.",
        )
        for field in find_unknown_config_fields(read_configuration(path))
    ]


def finding_line(finding: Finding) -> str:
    """Return a finding as a line of text."""
    return (
        f"{finding.level}: {finding.subject} {finding.problem}."
        f" {finding.remedy} [{finding.check}]"
    )


def difference_line(difference: Difference) -> str:
    """Return a difference as a line of text.

    Examples
    --------
    >>> difference_line(Difference("queue quick", "priority", 0, 1))
    'queue quick: priority 0 -> 1'
    """
    subject, field, before, after = difference
    name = f"{subject}: {field}" if field else f"{subject}:"
    return f"{name} {before} -> {after}"


@click.group()
def configuration() -> None:
    """Configurations of queues and services, in the platform's format."""


@configuration.command()
@click.argument("file", type=click.Path())
@click.option(
    "--against",
    type=click.Path(),
    help="File with the version in force; the differences from it are shown.",
)
@command
async def check(context: Context, file: str, against: str | None) -> None:
    """Check FILE before it is sent, and change nothing.

    Exit code 2 if FILE has errors; warnings alone give exit code 0.
    """
    proposed = load_catalogue(file)
    in_force = load_catalogue(against) if against else None
    findings = [
        *check_catalogue(Proposal(proposed, DEADLINES, in_force)),
        *find_ignored_fields(file),
    ]
    changes = differences(in_force, proposed) if in_force is not None else []
    levels = [finding.level for finding in findings]
    errors, warnings = levels.count(ERROR), levels.count(WARNING)
    context.show(
        {
            "ok": not errors,
            "findings": [finding._asdict() for finding in findings],
            "differences": [change._asdict() for change in changes],
        },
        [
            *map(finding_line, findings),
            *map(difference_line, changes),
            f"{file}: {errors} errors, {warnings} warnings, {len(changes)} differences"
            if against
            else f"{file}: {errors} errors, {warnings} warnings",
        ],
    )
    if errors:
        click.get_current_context().exit(EXIT_BAD_INPUT)
