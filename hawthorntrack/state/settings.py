"""A process's settings: a YAML file that is validated before the process starts."""

import ipaddress
import socket
from typing import Annotated, Any, NamedTuple, NotRequired, TypedDict
from urllib.parse import urlsplit

import msgspec

from hawthorntrack.state.addresses import split_address
from hawthorntrack.state.documents import ENVIRONMENTS, Milliseconds, Name
from hawthorntrack.state.validation import InvalidInput, check, load_yaml
from hawthorntrack.state.values import Location

POLL_GAP_S = 0.3  # Pause between the end of one poll and the start of the next.

Positive = Annotated[int, msgspec.Meta(ge=1)]


class ListenBody(TypedDict):
    """Listening addresses, ``ip:port``, of the bus between processes and of HTTP."""

    bus: str
    http: str


class TableBody(TypedDict):
    """Address, time-out and rate limits of the platform's table service."""

    url: str
    timeout_ms: NotRequired[Milliseconds]
    reads_per_s: NotRequired[Positive]
    writes_per_s: NotRequired[Positive]


class TimingBody(TypedDict):
    """Intervals and time limits in milliseconds."""

    beat_interval_ms: NotRequired[Milliseconds]
    poll_interval_ms: NotRequired[Milliseconds]
    members_interval_ms: NotRequired[Milliseconds]
    pair_silence_ms: NotRequired[Milliseconds]
    freshness_ms: NotRequired[Milliseconds]
    inquire_ms: NotRequired[Milliseconds]
    target_ttl_ms: NotRequired[Milliseconds]
    drain_limit_ms: NotRequired[Milliseconds]
    key_clock_skew_ms: NotRequired[Milliseconds]


class BoundsBody(TypedDict):
    """Limits on what one process accepts, stores and sends."""

    body_bytes: NotRequired[Positive]
    tasks_per_job: NotRequired[Positive]
    connections: NotRequired[Positive]
    mailbox: NotRequired[Positive]
    view_size: NotRequired[Positive]
    fanout: NotRequired[Positive]
    poll_budget_per_s: NotRequired[Positive]


class SettingsBody(TypedDict):
    """The YAML settings of one process."""

    environment: str
    zone: Name
    rack: Name
    worker: Name
    listen: ListenBody
    table: TableBody
    slots: NotRequired[Annotated[int, msgspec.Meta(ge=1, le=1_048_576)]]
    seed: NotRequired[int]
    log: NotRequired[str]
    routes: NotRequired[dict[str, str]]
    timing: NotRequired[TimingBody]
    bounds: NotRequired[BoundsBody]


class Timing(NamedTuple):
    """Intervals and time limits in force, in seconds.

    Attributes
    ----------
    poll_interval_s, members_interval_s : float
        Shortest intervals between polls of the configuration, and between polls of
        the registered guards and of the slots.
    pair_silence_s : float
        Time without a heartbeat after which a guard is taken as failed.
    freshness_s : float
        Maximum age of a view that a process may act on.
    inquire_s : float
        Interval at which an entry instance inquires about an unanswered job.
    target_ttl_s : float
        Time after a target's last announcement after which it is taken as absent.
    key_clock_skew_s : float
        Greatest difference allowed between callers' clocks and a guard's.
    """

    beat_interval_s: float = 0.25
    poll_interval_s: float = 0.5
    members_interval_s: float = 1.0
    pair_silence_s: float = 1.5
    freshness_s: float = 2.5
    inquire_s: float = 2.0
    target_ttl_s: float = 3.0
    drain_limit_s: float = 30.0
    key_clock_skew_s: float = 60.0


class Bounds(NamedTuple):
    """Limits in force.

    Attributes
    ----------
    view_size : int
        Maximum number of guards in the sample with which one process exchanges
        configuration and heartbeats.
    fanout : int
        Number of guards that get a heartbeat at each interval, in addition to the
        guards that share a slot with the sender.
    poll_budget_per_s : int
        Maximum rate of polls of one subject (configuration, guards or slots) by all
        processes together, per second.
    """

    body_bytes: int = 4_000_000
    tasks_per_job: int = 160
    connections: int = 1_000
    mailbox: int = 20_000
    view_size: int = 64
    fanout: int = 16
    poll_budget_per_s: int = 400


class Settings(NamedTuple):
    """Settings in force.

    Attributes
    ----------
    routes : dict of str to str
        Address at which this process reaches a peer's bus, by the peer's own address,
        if the two differ: for example a port that is forwarded between networks.
    """

    environment: str
    place: Location
    bus: str
    http: str
    table_url: str
    table_timeout_s: float
    reads_per_s: int
    writes_per_s: int
    slots: int
    seed: int | None
    log: str
    routes: dict[str, str]
    timing: Timing
    bounds: Bounds


def check_address(text: str, source: str, path: str) -> None:
    """Raise `InvalidInput` for an address that is not of the form ``ip:port``."""
    try:
        host, _ = split_address(text)
        ipaddress.ip_address(host)
    except ValueError as error:
        raise InvalidInput(
            source,
            path,
            f"{text!r} is not a valid address",
            "Give an IP number and a port, such as 127.0.0.1:7101 or [::1]:7101.",
        ) from error


def check_url(text: str, source: str, path: str) -> None:
    """Raise `InvalidInput` for a URL whose server cannot be connected to."""
    try:
        parts = urlsplit(text)
        has_port = parts.port is not None
        split_address(parts.netloc if has_port else f"{parts.netloc}:80")
        valid = parts.scheme in ("http", "https")
    except ValueError:
        valid = False
    if not valid:
        raise InvalidInput(
            source,
            path,
            f"{text!r} is not a valid URL",
            "Give a scheme, a host and a port, such as http://127.0.0.1:7100.",
        )


def check_free(address: str, source: str, path: str) -> None:
    """Raise `InvalidInput` for an address that cannot be bound, such as one in use."""
    host, _, port = address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    with socket.socket(family) as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host.strip("[]"), int(port)))
        except OSError as error:
            raise InvalidInput(
                source,
                path,
                f"{address} cannot be used: {error.strerror}",
                "Choose a free port, or stop the process that has it.",
            ) from error


def in_seconds(body: dict[str, Any]) -> dict[str, float]:
    """Return values keyed ``…_ms`` converted to seconds, keyed ``…_s``.

    Examples
    --------
    >>> in_seconds({"poll_interval_ms": 500})
    {'poll_interval_s': 0.5}
    """
    return {key.removesuffix("_ms") + "_s": item / 1000 for key, item in body.items()}


def parse_settings(data: Any, source: str) -> Settings:
    """Return the validated settings.

    Parameters
    ----------
    data : Any
        Plain values of the YAML file.
    source : str
        Name of the file, for error messages.

    Raises
    ------
    InvalidInput
        If a setting is invalid. The error names the key path and the remedy.
    """
    body = check(data, SettingsBody, source)
    if body["environment"] not in ENVIRONMENTS:
        raise InvalidInput(
            source,
            "environment",
            f"unknown environment {body['environment']!r}",
            f"Choose one of {', '.join(ENVIRONMENTS)}.",
        )
    for name in ("bus", "http"):
        check_address(body["listen"][name], source, f"listen.{name}")
    timing = Timing(**in_seconds(body.get("timing", {})))
    if timing.pair_silence_s < 3 * timing.beat_interval_s:
        raise InvalidInput(
            source,
            "timing.pair_silence_ms",
            "is under three times beat_interval_ms",
            "Raise it, so that one lost heartbeat does not move slots.",
        )
    routes = body.get("routes", {})
    for peer, route in routes.items():
        check_address(peer, source, "routes")
        check_address(route, source, f"routes.{peer}")
    table = body["table"]
    check_url(table["url"], source, "table.url")
    table_timeout_s = table.get("timeout_ms", 1000) / 1000
    if timing.freshness_s < 2 * table_timeout_s + POLL_GAP_S:
        raise InvalidInput(
            source,
            "timing.freshness_ms",
            "is under twice table.timeout_ms with 300 ms to spare",
            "Raise it or lower the timeout, so that an outage of the table does not"
            " make every view stale.",
        )
    return Settings(
        environment=body["environment"],
        place=Location(body["zone"], body["rack"], body["worker"]),
        bus=body["listen"]["bus"],
        http=body["listen"]["http"],
        table_url=table["url"].rstrip("/"),
        table_timeout_s=table_timeout_s,
        reads_per_s=table.get("reads_per_s", 50),
        writes_per_s=table.get("writes_per_s", 50),
        slots=body.get("slots", 64),
        seed=body.get("seed"),
        log=body.get("log", "-"),
        routes=routes,
        timing=timing,
        bounds=Bounds(**body.get("bounds", {})),
    )


def load_settings(path: str) -> Settings:
    """Return the validated settings from a YAML file; their ports must be free.

    Raises
    ------
    InvalidInput
        If the file or a setting is invalid, or a port is in use. The error names the
        file, the key path and the remedy.
    """
    settings = parse_settings(load_yaml(path), path)
    check_free(settings.bus, path, "listen.bus")
    check_free(settings.http, path, "listen.http")
    return settings
