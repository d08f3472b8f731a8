"""Settings of a process on a platform whose targets run under leases."""

from typing import Annotated, Any, NamedTuple, NotRequired, TypedDict

import msgspec

from hawthorntrack.state.lease_times import (
    MIN_OWNER_LEASE_MS,
    DeploymentTimes,
    LeaseTimes,
    derive_lease_times,
    min_caller_retry_ms,
)
from hawthorntrack.state.settings import check_address
from hawthorntrack.state.validation import InvalidInput, check, load_yaml

Seconds = Annotated[float, msgspec.Meta(ge=0)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=600_000)]
Factor = Annotated[float, msgspec.Meta(ge=1)]
Megabytes = Annotated[float, msgspec.Meta(ge=1, le=10_000_000)]
LinkCount = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
# A tenth of the descriptors of the smallest machines that entry instances run on.
MAX_GUARD_LINKS = 160
# Where the machine's memory and descriptors are not given.
MAX_CALLER_CONNECTIONS = 1_000
# Callers' connections may take this share of the memory and of the descriptors.
CONNECTIONS_MEMORY_SHARE = 0.5
CONNECTIONS_DESCRIPTOR_SHARE = 0.75
# What one of many stalled connections takes at most (docs/CAPACITY.md).
CONNECTION_KB = 48
# Descriptors that the platform reserves for files.
RESERVED_DESCRIPTORS = 200
# Callers whose requests are longer than 4 KB of head or 8 KB of body, at a time.
MAX_LONG_REQUESTS = 32


def derive_caller_connections(memory_mb: float, descriptors: int) -> int:
    """Return how many callers' connections a machine bears; 0 means not given.

    Examples
    --------
    >>> derive_caller_connections(300, 4_100), derive_caller_connections(160, 1_638)
    (2925, 1078)
    >>> derive_caller_connections(0, 0)
    1000
    """
    bounds = [
        bound
        for given, bound in (
            (memory_mb, memory_mb * 1024 * CONNECTIONS_MEMORY_SHARE / CONNECTION_KB),
            (
                descriptors,
                (descriptors - RESERVED_DESCRIPTORS) * CONNECTIONS_DESCRIPTOR_SHARE,
            ),
        )
        if given
    ]
    return max(1, int(min(bounds, default=MAX_CALLER_CONNECTIONS)))


class NodeListenBody(TypedDict):
    """Listening addresses, ``ip:port``; the role decides which ones are given."""

    peers: str
    advertised: NotRequired[str | None]
    metrics: NotRequired[str | None]
    callers: NotRequired[str | None]
    balancer: NotRequired[str | None]
    target: NotRequired[str | None]


class NodeBody(TypedDict):
    """The YAML settings of one process."""

    node: str
    zone: str
    listen: NodeListenBody
    store: str
    seeds: NotRequired[list[str] | None]
    grace_s: NotRequired[Seconds]
    far_factor: NotRequired[Factor]
    caller_retry_ms: NotRequired[Milliseconds | None]
    max_target_lease_ms: NotRequired[Milliseconds | None]
    stop_ms: NotRequired[Milliseconds | None]
    max_guard_links: NotRequired[LinkCount]
    memory_mb: NotRequired[Megabytes | None]
    descriptors: NotRequired[LinkCount | None]
    max_caller_connections: NotRequired[LinkCount]
    max_long_requests: NotRequired[LinkCount]
    share_room: NotRequired[bool]


class NodeSettings(NamedTuple):
    """Settings in force.

    Attributes
    ----------
    peers : str
        Address on which the process listens for its peers.
    advertised : str
        Address at which peers reach the process. It differs from `peers` behind port
        forwarding.
    metrics : str
        Address that serves the metrics; empty to serve none.
    callers, balancer : str
        Addresses on which an entry instance accepts jobs and reports to the load
        balancer whether it accepts them.
    target : str
        Address on which a guard receives its target's heartbeats.
    store : str
        Address of the platform's store.
    seeds : tuple of str
        Hosts on which peers may be running.
    grace_s : float
        Time in seconds from the signal to stop until the process is killed.
    far_factor : float
        Factor on the run time of a task that runs outside the rack of its data.
    lease_times : LeaseTimes
        Durations of leases, which follow from the deployment's times.
    max_guard_links : int
        Largest number of guards that an entry instance keeps links to.
    max_caller_connections : int
        Largest number of callers' connections to an entry instance.
    max_long_requests : int
        Largest number of callers that send a long request at a time.
    share_room : bool
        Whether guards offer free capacity to waiting tasks in one order for all entry
        instances.
    """

    node: str
    zone: str
    peers: str
    advertised: str
    metrics: str
    callers: str
    balancer: str
    target: str
    store: str
    seeds: tuple[str, ...]
    grace_s: float
    far_factor: float
    lease_times: LeaseTimes
    max_guard_links: int
    max_caller_connections: int
    max_long_requests: int
    share_room: bool


def parse_node_settings(data: Any, source: str) -> NodeSettings:
    """Return the validated settings.

    Raises
    ------
    InvalidInput
        If a setting is invalid. The error names the key path and the remedy.
    """
    body = check(data, NodeBody, source)
    listen = body["listen"]
    for name, address in listen.items():
        if address:
            check_address(address, source, f"listen.{name}")
    check_address(body["store"], source, "store")
    seeds = body.get("seeds") or []
    for number, seed in enumerate(seeds):
        check_address(seed, source, f"seeds[{number}]")
    return NodeSettings(
        node=body["node"],
        zone=body["zone"],
        peers=listen["peers"],
        advertised=listen.get("advertised") or listen["peers"],
        metrics=listen.get("metrics") or "",
        callers=listen.get("callers") or "",
        balancer=listen.get("balancer") or "",
        target=listen.get("target") or "",
        store=body["store"],
        seeds=tuple(seed.rpartition(":")[0] for seed in seeds),
        grace_s=body.get("grace_s", 6.0),
        far_factor=body.get("far_factor", 1.0),
        lease_times=check_lease_times(body, source),
        max_guard_links=body.get("max_guard_links", MAX_GUARD_LINKS),
        max_caller_connections=body.get("max_caller_connections")
        or derive_caller_connections(
            body.get("memory_mb") or 0, body.get("descriptors") or 0
        ),
        max_long_requests=body.get("max_long_requests", MAX_LONG_REQUESTS),
        share_room=body.get("share_room", False),
    )


def check_lease_times(body: NodeBody, source: str) -> LeaseTimes:
    """Return the lease times that follow from the deployment's times.

    Explanation
    -----------
    A time of 0 or null has the same meaning as a missing one: a platform that does not
    use it may leave it empty.

    Raises
    ------
    InvalidInput
        If `caller_retry_ms` leaves too little time for the heartbeats that keep an
        owner lease alive.
    """
    given = DeploymentTimes(
        **{name: body[name] for name in DeploymentTimes._fields if body.get(name)}
    )
    least_ms = min_caller_retry_ms(given.stop_ms)
    if given.caller_retry_ms < least_ms:
        raise InvalidInput(
            source,
            "caller_retry_ms",
            f"{given.caller_retry_ms:g} leaves less than {MIN_OWNER_LEASE_MS} ms, two "
            "guard heartbeats, for the owner lease",
            f"With stop_ms {given.stop_ms:g}, use at least {least_ms}, and let callers "
            "wait that long before they submit a job again.",
        )
    return derive_lease_times(given)


def load_node_settings(path: str) -> NodeSettings:
    """Return the validated settings from a YAML file.

    Raises
    ------
    InvalidInput
        If the file or a setting is invalid. The error names the file, the key path and
        the remedy.
    """
    return parse_node_settings(load_yaml(path), path)
