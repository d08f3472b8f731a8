"""Recorded traces: arrivals, failures, operators' acts, and stated outcomes.

A trace is a file of JSON lines. The first line is the header; each further line is
an event with `at_ms`, the time from the trace's begin, and `do`, a registered act,
or an expectation with `expect`, a registered check.
"""

import random
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple, NotRequired, TypedDict

import msgspec

from hawthorntrack.experiment.layout import Deployment


class Header(TypedDict):
    """The first line: what the trace is about and where it runs."""

    trace: str
    deployment: str
    about: str
    settings: NotRequired[dict[str, Any]]
    speeds: NotRequired[list[float]]
    relayed: NotRequired[bool]


class Event(NamedTuple):
    """Something that happens `at_s` seconds from the trace's begin."""

    at_s: float
    act: str
    arguments: dict[str, Any]


class Expectation(NamedTuple):
    """A stated outcome."""

    check: str
    arguments: dict[str, Any]


class Trace(NamedTuple):
    """A trace, its events in order of time."""

    header: Header
    events: tuple[Event, ...]
    expectations: tuple[Expectation, ...]


class LoadBody(TypedDict):
    """Jobs drawn by chance, from `at_ms` on for `seconds`.

    `tasks` and `size_ms` are bounds, lowest and highest; sizes are drawn evenly on
    a logarithmic scale. `error` is by how much declared sizes are off, as a factor
    up or down. `deadline_ms`, `customers` and `entries` apply to each job.
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
    """Return the trace of a file.

    Raises
    ------
    ValueError
        If a line is no JSON or no event, with its number.
    """
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    try:
        header = msgspec.json.decode(lines[0], type=Header)
    except (msgspec.DecodeError, IndexError) as error:
        raise ValueError(f"{path}: line 1 is no header: {error}") from error
    bodies = [decode_line(path, number, line) for number, line in enumerate(lines, 1)]
    events = (event for body in bodies[1:] if "do" in body for event in expand(body))
    expectations = [
        Expectation(body.pop("expect"), body) for body in bodies[1:] if "expect" in body
    ]
    ordered = sorted(events, key=lambda event: event.at_s)
    return Trace(header, tuple(ordered), tuple(expectations))


def decode_line(path: Path, number: int, line: str) -> dict[str, Any]:
    """Return the values of one line."""
    try:
        return msgspec.json.decode(line, type=dict[str, Any])
    except msgspec.DecodeError as error:
        raise ValueError(f"{path}: line {number}: {error}") from error


def expand(body: dict[str, Any]) -> Iterator[Event]:
    """Yield the events of a line; a `load` line stands for many jobs."""
    if body["do"] == "load":
        load = {key: item for key, item in body.items() if key != "do"}
        yield from draw_jobs(msgspec.convert(load, LoadBody))
    else:
        arguments = {k: v for k, v in body.items() if k not in ("do", "at_ms")}
        yield Event(body["at_ms"] / 1000, body["do"], arguments)


def draw_jobs(load: LoadBody) -> Iterator[Event]:
    """Yield jobs that arrive by chance, evenly over time on average.

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
    """Return a task with its true run time and its declared size."""
    low, high = load["size_ms"]
    true_ms = low * (high / low) ** rng.random()
    error = load.get("error", 1.0)
    declared = true_ms * error ** rng.uniform(-1, 1)
    return {"size_ms": max(1, round(declared)), "true_ms": round(true_ms, 1)}


def jobs_per_s_for(
    deployment: Deployment, share: float, tasks: float, mean_ms: float
) -> float:
    """Return the arrival rate that takes a share of a deployment's capacity.

    Parameters
    ----------
    share : float
        Wanted load, 0 to 1.
    tasks : float
        Mean number of tasks in a job.
    mean_ms : float
        Mean run time of a task at speed 1, in milliseconds.
    """
    speeds = deployment.speeds
    total = sum(speeds[n % len(speeds)] for n in range(deployment.workers))
    return share * total * deployment.slots * 1000 / (tasks * mean_ms)
