"""Settings of a process on a platform that runs leased targets."""

from typing import Annotated, Any, NamedTuple, NotRequired, TypedDict

import msgspec

from hawthorntrack.state.settings import check_address
from hawthorntrack.state.validation import check, load_yaml

Seconds = Annotated[float, msgspec.Meta(ge=0)]
Factor = Annotated[float, msgspec.Meta(ge=1)]


class NodeListenBody(TypedDict):
    """Addresses, ``ip:port``; which ones there are depends on the role."""

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


class NodeSettings(NamedTuple):
    """Settings in force.

    Attributes
    ----------
    peers : str
        Where the process listens for its peers.
    advertised : str
        Where peers reach it: another address than `peers` behind a port forwarding.
    metrics : str
        Where it shows its metrics; empty for nowhere.
    callers, balancer : str
        Where an entry instance takes jobs, and tells whether it does.
    target : str
        Where a guard takes its target's heartbeats.
    store : str
        The platform's store.
    seeds : tuple of str
        Hosts of peers that may be up.
    grace_s : float
        Time from the signal to stop until the process is killed.
    far_factor : float
        Factor on a task's run time away from the rack of its data.
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


def parse_node_settings(data: Any, source: str) -> NodeSettings:
    """Return checked settings.

    Raises
    ------
    InvalidInput
        With the key path and the remedy.
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
    )


def load_node_settings(path: str) -> NodeSettings:
    """Return the settings of a file.

    Raises
    ------
    InvalidInput
        With the file, the key path and the remedy.
    """
    return parse_node_settings(load_yaml(path), path)
