"""Traces: recorded arrivals, failures, operators' actions and expected outcomes.

A trace is a file of JSON lines. The first line is the header; each further line is
an event or an expectation. An event has `at_ms`, milliseconds since the start of the
trace, and `do`, the name of a registered act; an expectation has `expect`, the name of
a registered check.
"""

import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple, NotRequired, TypedDict

import msgspec

from hawthorntrack.experiment.layout import Deployment


class Header(TypedDict):
    """The first line of a trace: its name, description and deployment."""

    trace: str
    deployment: str
    about: str
    settings: NotRequired[dict[str, Any]]
    speeds: NotRequired[list[float]]
    relayed: NotRequired[bool]


class Event(NamedTuple):
    """An act to carry out `at_s` seconds after the start of the trace."""

    at_s: float
    act: str
    arguments: dict[str, Any]


class Expectation(NamedTuple):
    """A check that the recorded run must pass."""

    check: str
    arguments: dict[str, Any]


class Trace(NamedTuple):
    """A trace, with its events in order of time."""

    header: Header
    events: tuple[Event, ...]
    expectations: tuple[Expectation, ...]


class LoadBody(TypedDict):
    """Parameters of randomly drawn jobs that arrive from `at_ms` on for `seconds`.

    `tasks` and `size_ms` are the lowest and the highest value; sizes are uniformly
    distributed on a logarithmic scale. `error` is the largest factor by which declared
    sizes are too high or too low. `deadline_ms` applies to each job, and the customer
    of each job is drawn from `customers`.
    """

    at_ms: float
    seconds: float
    jobs_per_s: float
    tasks: tuple[int, int]
    size_ms: tuple[float, float]
    error: NotRequired[float]
    prefix: NotRequired[str]
    seed: NotRequired[int]
    deadline_ms: NotRequired[int]
    customers: NotRequired[list[str]]


def read_trace(path: Path) -> Trace:
    """Return the trace read from a file.

    Raises
    ------
    ValueError
        If a line is not valid JSON, or the first line is not a header; the message has
        the line number.
    """
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    try:
        header = msgspec.json.decode(lines[0], type=Header)
    except (msgspec.DecodeError, IndexError) as error:
        raise ValueError(f"{path}: line 1 is not a header: {error}") from error
    bodies = [decode_line(path, number, line) for number, line in enumerate(lines, 1)]
    events = (
        event for body in bodies[1:] if "do" in body for event in expand_line(body)
    )
    expectations = [
        Expectation(body.pop("expect"), body) for body in bodies[1:] if "expect" in body
    ]
    ordered = sorted(events, key=lambda event: event.at_s)
    return Trace(header, tuple(ordered), tuple(expectations))


def decode_line(path: Path, number: int, line: str) -> dict[str, Any]:
    """Return the decoded object of one line."""
    try:
        return msgspec.json.decode(line, type=dict[str, Any])
    except msgspec.DecodeError as error:
        raise ValueError(f"{path}: line {number}: {error}") from error


def expand_line(body: dict[str, Any]) -> Iterator[Event]:
    """Yield the events of a line; a `load` line expands into many jobs."""
    if body["do"] == "load":
        load = {key: item for key, item in body.items() if key != "do"}
        yield from draw_jobs(msgspec.convert(load, LoadBody))
    else:
        arguments = {k: v for k, v in body.items() if k not in ("do", "at_ms")}
        yield Event(body["at_ms"] / 1000, body["do"], arguments)


def draw_jobs(load: LoadBody) -> Iterator[Event]:
    """Yield jobs that arrive as a Poisson process.

    Examples
    --------
    >>> load = {"at_ms": 0, "seconds": 1, "jobs_per_s": 5, "tasks": (1, 1),
    ...         "size_ms": (100, 100)}
    >>> all(event.act == "job" for event in draw_jobs(load))
    True
    """
    rng = random.Random(load.get("seed", 1))
    prefix = load.get("prefix", "job")
    customers = load.get("customers", ["default"])
    at_s, number = load["at_ms"] / 1000, 0
    end_s = at_s + load["seconds"]
    while (at_s := at_s + rng.expovariate(load["jobs_per_s"])) < end_s:
        number += 1
        tasks = [draw_task(load, rng) for _ in range(rng.randint(*load["tasks"]))]
        arguments = {
            "key": f"{prefix}-{number}",
            "customer": rng.choice(customers),
            "entry": number,
            "tasks": tasks,
        }
        if "deadline_ms" in load:
            arguments["deadline_ms"] = load["deadline_ms"]
        yield Event(at_s, "job", arguments)


def draw_task(load: LoadBody, rng: random.Random) -> dict[str, Any]:
    """Return a randomly drawn task with its true run time and declared size."""
    low, high = load["size_ms"]
    true_ms = low * (high / low) ** rng.random()
    error = load.get("error", 1.0)
    declared_ms = true_ms * error ** rng.uniform(-1, 1)
    return {"size_ms": max(1, round(declared_ms)), "true_ms": round(true_ms, 1)}


def arrival_rate_for_load(
    deployment: Deployment, share: float, tasks: float, mean_ms: float
) -> float:
    """Return the arrival rate, in jobs/s, that uses a share of the capacity.

    Parameters
    ----------
    share : float
        Share of the capacity to use, 0 to 1.
    tasks : float
        Mean number of tasks in a job.
    mean_ms : float
        Mean run time of a task at speed 1, in milliseconds.
    """
    speeds = deployment.speeds
    total = sum(speeds[n % len(speeds)] for n in range(deployment.workers))
    return share * total * deployment.slots * 1000 / (tasks * mean_ms)
