"""Checks of a configuration of queues and services before operators send it.

The decoder accepts every value that processes can work with. These checks find what a
process would accept and operators hardly mean: queues that no request reaches, limits
that contradict each other, and what a new version changes.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

from hawthorntrack.coordination.queueing import max_wait_s
from hawthorntrack.protocol.run_messages import (
    MAX_DEMANDS,
    MAX_QUEUE_NAME_LENGTH,
)
from hawthorntrack.state.catalogue import Catalogue, Queue, QueueIndex
from hawthorntrack.state.registry import Registry

ERROR = "error"
WARNING = "warning"
# Each level has a quarter of the share of the one before, so 4**-9 is the last one
# above a millionth.
MAX_USEFUL_PRIORITY = 9


class CallerDeadlines(NamedTuple):
    """How long callers wait for an answer.

    Attributes
    ----------
    default_s : float
        Time in seconds for a request that states no deadline.
    max_s : float
        Longest time in seconds that a request may state.
    """

    default_s: float
    max_s: float


class Proposal(NamedTuple):
    """A configuration to check.

    Attributes
    ----------
    in_force : Catalogue or None
        The configuration that it would replace, if it is known.
    """

    catalogue: Catalogue
    deadlines: CallerDeadlines
    in_force: Catalogue | None = None


class Problem(NamedTuple):
    """A problem that one check has found.

    Attributes
    ----------
    level : str
        `ERROR` if the configuration must not be sent, `WARNING` otherwise.
    subject : str
        The queue, service or limit that is concerned.
    """

    level: str
    subject: str
    problem: str
    remedy: str


class Finding(NamedTuple):
    """A problem, with the name of the check that has found it."""

    check: str
    level: str
    subject: str
    problem: str
    remedy: str


class Difference(NamedTuple):
    """A value that differs from the version in force.

    Attributes
    ----------
    field : str
        The field that differs; empty if the whole subject was added or removed.
    """

    subject: str
    field: str
    before: Any
    after: Any


Check = Callable[[Proposal], Iterable[Problem]]
catalogue_checks: Registry[Check] = Registry("check of a configuration")


def check_catalogue(proposal: Proposal) -> list[Finding]:
    """Return what all checks find, errors first.

    Examples
    --------
    >>> queue = Queue("quick", "calls.example", "/q/", "visits", 0.06, 0, 3, 1.6)
    >>> deadlines = CallerDeadlines(30.0, 3600.0)
    >>> for finding in check_catalogue(Proposal(Catalogue(7, (queue,)), deadlines)):
    ...     print(finding.level, finding.check, finding.subject)
    error missing_service queue quick
    """
    findings = [
        Finding(name, *problem)
        for name in catalogue_checks
        for problem in catalogue_checks[name](proposal)
    ]
    return sorted(findings, key=lambda finding: finding.level != ERROR)


@catalogue_checks.register("version")
def check_version(proposal: Proposal) -> Iterator[Problem]:
    """Find a version that counts as none, or that is not above the one in force."""
    version, before = proposal.catalogue.version, proposal.in_force
    if version == 0:
        yield Problem(
            ERROR, "version", "0 means that there is no configuration", "Use 1 or more."
        )
    elif before is not None and version <= before.version:
        yield Problem(
            ERROR,
            "version",
            f"{version} is not above {before.version}, the version in force",
            f"Use {before.version + 1} or more: log lines name versions by it.",
        )


@catalogue_checks.register("names")
def check_names(proposal: Proposal) -> Iterator[Problem]:
    """Find names that are empty, too long, or used twice."""
    catalogue = proposal.catalogue
    for kind, names in (
        ("queue", [queue.name for queue in catalogue.queues]),
        ("service", [service.name for service in catalogue.services]),
    ):
        for name, number in Counter(names).items():
            if not name:
                yield Problem(ERROR, kind, "a name is empty", "Give it a name.")
            elif number > 1:
                yield Problem(
                    ERROR,
                    f"{kind} {name}",
                    f"is defined {number} times",
                    "Keep one definition, or give each its own name.",
                )
            if len(name) > MAX_QUEUE_NAME_LENGTH:
                yield Problem(
                    ERROR,
                    f"{kind} {name[:40]}...",
                    f"has a name of {len(name)} characters",
                    f"Use at most {MAX_QUEUE_NAME_LENGTH}.",
                )


@catalogue_checks.register("number_of_queues")
def check_number_of_queues(proposal: Proposal) -> Iterator[Problem]:
    """Find more queues than a report of waiting tasks can list."""
    number = len(proposal.catalogue.queues)
    if number > MAX_DEMANDS:
        yield Problem(
            WARNING,
            "queues",
            f"there are {number}, and guards learn of at most {MAX_DEMANDS} that wait",
            "Use fewer queues.",
        )


@catalogue_checks.register("address")
def check_addresses(proposal: Proposal) -> Iterator[Problem]:
    """Find queues whose host or path prefix no request can have."""
    for queue in proposal.catalogue.queues:
        if not queue.host or queue.host != queue.host.strip():
            yield of_queue(queue, "has an empty host, or one with spaces", "Name one.")
        elif ":" in queue.host:
            yield of_queue(
                queue,
                f"has a port in its host {queue.host}, and requests match without it",
                "Remove the port.",
            )
        if queue.path_prefix and not queue.path_prefix.startswith("/"):
            yield of_queue(
                queue,
                f"has the path prefix {queue.path_prefix!r}, and paths begin with /",
                "Begin it with /.",
            )


@catalogue_checks.register("hidden_queue")
def check_hidden_queues(proposal: Proposal) -> Iterator[Problem]:
    """Find queues whose requests all go to another queue."""
    index = QueueIndex(proposal.catalogue)
    for queue in proposal.catalogue.queues:
        at_prefix = index.find(queue.host, queue.path_prefix)
        if at_prefix is not queue and share_address(at_prefix, queue):
            yield of_queue(
                queue,
                f"gets no request: queue {at_prefix.name} has the same host and prefix",
                "Change the prefix of one, or remove one.",
            )
            continue
        # The job's key follows the prefix, with or without a slash between them.
        under = index.find(queue.host, f"{queue.path_prefix}/")
        if under is not None and under.path_prefix == f"{queue.path_prefix}/":
            yield Problem(
                WARNING,
                f"queue {queue.name}",
                f"gets no request below {under.path_prefix}, which queue {under.name}"
                " has",
                "Change the prefix of one.",
            )


@catalogue_checks.register("missing_service")
def check_missing_services(proposal: Proposal) -> Iterator[Problem]:
    """Find queues whose service is not defined, and services without a queue."""
    catalogue = proposal.catalogue
    defined = {service.name for service in catalogue.services}
    for queue in catalogue.queues:
        if queue.service not in defined:
            yield of_queue(
                queue,
                f"belongs to service {queue.service!r}, which is not defined",
                f"Define it, or choose one of {', '.join(sorted(defined)) or 'none'}.",
            )
    for name in sorted(defined - {queue.service for queue in catalogue.queues}):
        yield Problem(
            WARNING, f"service {name}", "has no queue", "Remove it, or add a queue."
        )


@catalogue_checks.register("priority")
def check_priorities(proposal: Proposal) -> Iterator[Problem]:
    """Find priorities that messages cannot state, or with hardly any share."""
    for queue in proposal.catalogue.queues:
        if queue.priority < 0:
            yield of_queue(
                queue,
                f"has priority {queue.priority}, and 0 is the most urgent",
                "Use 0 or more.",
            )
        elif queue.priority > MAX_USEFUL_PRIORITY:
            yield Problem(
                WARNING,
                f"queue {queue.name}",
                f"has priority {queue.priority}, whose share beside priority 0 is less"
                " than a millionth",
                f"Use 0 to {MAX_USEFUL_PRIORITY}.",
            )


@catalogue_checks.register("attempts")
def check_attempts(proposal: Proposal) -> Iterator[Problem]:
    """Find queues that allow no attempt, although each task is attempted once."""
    for queue in proposal.catalogue.queues:
        if queue.max_attempts == 0:
            yield Problem(
                WARNING,
                f"queue {queue.name}",
                "allows 0 attempts, which has the same effect as 1",
                "Use 1 to fail a job at its first failed run, or more.",
            )


@catalogue_checks.register("objective")
def check_objectives(proposal: Proposal) -> Iterator[Problem]:
    """Find objectives that are shorter than the declared run time of the job."""
    for queue in proposal.catalogue.queues:
        if queue.stretch < 1:
            level = ERROR if queue.latency_target_s == 0 else WARNING
            yield Problem(
                level,
                f"queue {queue.name}",
                f"has stretch {queue.stretch:g}: no job of more than"
                f" {queue.latency_target_s / (1 - queue.stretch):g} s can be in time",
                "Use a stretch of 1 or more.",
            )
        elif queue.stretch == 1 and queue.latency_target_s == 0:
            yield Problem(
                WARNING,
                f"queue {queue.name}",
                "has an objective equal to the job's run time, which leaves no time"
                " for anything else",
                "Raise the stretch or the latency target.",
            )


@catalogue_checks.register("waiting_limit")
def check_waiting_limits(proposal: Proposal) -> Iterator[Problem]:
    """Find queues whose jobs may wait for longer than their callers do.

    Explanation
    -----------
    The shortest job's objective is the queue's latency target alone, so a limit that is
    too long for it is too long for every job.
    """
    deadlines = proposal.deadlines
    for queue in proposal.catalogue.queues:
        wait_s = max_wait_s(queue.latency_target_s)
        if wait_s > deadlines.max_s:
            yield of_queue(
                queue,
                f"lets jobs wait {wait_s:g} s for a target, and no caller waits longer"
                f" than {deadlines.max_s:g} s",
                "Lower its latency target.",
            )
        elif wait_s > deadlines.default_s:
            yield Problem(
                WARNING,
                f"queue {queue.name}",
                f"lets jobs wait {wait_s:g} s for a target, and callers that state no"
                f" deadline wait {deadlines.default_s:g} s",
                "Lower its latency target, or let its callers state their deadline.",
            )


@catalogue_checks.register("body_limit")
def check_limits(proposal: Proposal) -> Iterator[Problem]:
    """Find size limits that no request can keep."""
    limits = proposal.catalogue.limits
    for name, number in zip(limits._fields, limits, strict=True):
        if number == 0:
            yield Problem(
                ERROR,
                f"limit of {name}",
                "is 0, which every request exceeds",
                "Raise it.",
            )


@catalogue_checks.register("removed_queue")
def check_removed_queues(proposal: Proposal) -> Iterator[Problem]:
    """Find addresses that have a queue in force and would have none."""
    if proposal.in_force is None:
        return
    index = QueueIndex(proposal.catalogue)
    for queue in proposal.in_force.queues:
        if index.find(queue.host, queue.path_prefix) is None:
            yield Problem(
                WARNING,
                f"queue {queue.name}",
                f"is in force at {queue.host}{queue.path_prefix}, where this version"
                " has none: its callers would get 404",
                "Keep it until no caller uses it.",
            )


def share_address(one: Queue | None, other: Queue) -> bool:
    """Return whether two queues have the same host and path prefix."""
    return one is not None and (one.host.lower(), one.path_prefix) == (
        other.host.lower(),
        other.path_prefix,
    )


def of_queue(queue: Queue, problem: str, remedy: str) -> Problem:
    """Return an error of a queue."""
    return Problem(ERROR, f"queue {queue.name}", problem, remedy)


def differences(before: Catalogue, after: Catalogue) -> list[Difference]:
    """Return every value that differs between two configurations.

    Examples
    --------
    >>> queue = Queue("quick", "calls.example", "/q/", "visits", 0.06, 0, 3, 1.6)
    >>> changed = Catalogue(8, (queue._replace(priority=1),))
    >>> for difference in differences(Catalogue(7, (queue,)), changed):
    ...     print(*difference)
    configuration version 7 8
    queue quick priority 0 1
    """
    old, new = fields_of(before), fields_of(after)
    found = []
    for subject in [*old, *(subject for subject in new if subject not in old)]:
        if subject not in new:
            found.append(Difference(subject, "", "present", "absent"))
        elif subject not in old:
            found.append(Difference(subject, "", "absent", "present"))
        else:
            found += [
                Difference(subject, field, value, new[subject][field])
                for field, value in old[subject].items()
                if value != new[subject][field]
            ]
    return found


def fields_of(catalogue: Catalogue) -> dict[str, dict[str, Any]]:
    """Return the values of a configuration by subject and field."""
    return {
        "configuration": {"version": catalogue.version},
        **{f"queue {queue.name}": queue._asdict() for queue in catalogue.queues},
        **{f"service {item.name}": item._asdict() for item in catalogue.services},
        "limits": catalogue.limits._asdict(),
    }
