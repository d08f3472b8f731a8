"""Control messages of a process at several sizes of a site, in simulated time.

All messages between entry instances and guards are those that the production code
sends; their sizes are those of the production codec, without the headers of TCP.
"""

import asyncio
from collections import Counter
from typing import Any, NamedTuple

from hawthorntrack.experiment.model_site import (
    Kind,
    ModelSite,
    Network,
    Process,
    Site,
    in_simulated_time,
)
from hawthorntrack.protocol.codec import codecs
from hawthorntrack.protocol.messages import Envelope
from hawthorntrack.state.naming import exposed_name
from hawthorntrack.state.resources import Resources

# The largest site of the users: 35 entry instances and 160 guards in five zones.
ZONES = ("recife", "olinda", "jaboatao", "paulista", "camaragibe")
ENTRY_SHARE = 35 / 195
SLOWNESS = (0.7, 0.7, 1.7)
TARGET_CAPACITY = Resources(16_000, 32_768)
# Arrivals for each guard, per second.
KINDS = (
    Kind("confirm", 0, 0.97, 8, 0.12, 2_500),
    Kind("reroute", 2, 0.18, 4, 1.8, 2_500),
    Kind("check", 1, 2.8, 2, 0.4, 2_500),
)
# New links settle within this time after the start of all processes.
WARM_UP_S = 8.0


class FleetCost(NamedTuple):
    """Messages and bytes that the processes of a site send, per second and process.

    Attributes
    ----------
    sent : dict of (str, str) to float
        Messages by role and type.
    sent_bytes : dict of str to float
        Bytes by role.
    links : dict of str to float
        Mean number of links by role.
    """

    entries: int
    guards: int
    sent: dict[tuple[str, str], float]
    sent_bytes: dict[str, float]
    links: dict[str, float]

    def messages(self, role: str) -> float:
        """Return the messages that a process of a role sends per second."""
        return sum(rate for (by, _), rate in self.sent.items() if by == role)


class CountingNetwork(Network):
    """Network that counts the messages sent, and their encoded bytes."""

    def __init__(self) -> None:
        super().__init__()
        self.codec = codecs["msgpack"]
        self.sent: Counter[tuple[str, str]] = Counter()
        self.sent_bytes: Counter[str] = Counter()

    def send(self, source: Process, address: str, body: Any) -> None:
        """Count a message, and send it."""
        self.sent[source.role, exposed_name(type(body))] += 1
        self.sent_bytes[source.role] += len(
            self.codec.encode(Envelope(source.me, 1, body))
        )
        super().send(source, address, body)


def site_of_size(machines: int, load: float) -> Site:
    """Return a site with the shares of roles of the largest site."""
    entries = max(1, round(machines * ENTRY_SHARE))
    guards = machines - entries
    return Site(
        tuple(ZONES[number % len(ZONES)] for number in range(entries)),
        tuple(SLOWNESS[number % len(SLOWNESS)] for number in range(guards)),
        TARGET_CAPACITY,
        tuple(
            kind._replace(per_s=kind.per_s * load * guards) for kind in KINDS if load
        ),
    )


def measure_fleet(machines: int, load: float, seconds: float, seed: int) -> FleetCost:
    """Return what the processes of a site of some size send under a load.

    Parameters
    ----------
    machines : int
        Number of entry instances and guards.
    load : float
        Factor on the arrivals of a usual day; 0 for none.
    seconds : float
        Simulated time that is measured, after a warm-up.
    seed : int
        Seed of all random choices.
    """
    model = ModelSite(site_of_size(machines, load), seed)
    network = model.network = CountingNetwork()

    async def run() -> dict[str, int]:
        play = asyncio.create_task(model.play(WARM_UP_S + seconds, settle_s=0.0))
        await asyncio.sleep(1.0 + WARM_UP_S)
        network.sent.clear()
        network.sent_bytes.clear()
        await asyncio.sleep(seconds)
        links = {
            role: sum(len(process.links) for process in processes)
            for role, processes in (("entry", model.entries), ("guard", model.guards))
        }
        await play
        return links

    links = in_simulated_time(run())
    counts = {"entry": len(model.entries), "guard": len(model.guards)}
    return FleetCost(
        counts["entry"],
        counts["guard"],
        {
            (role, kind): count / counts[role] / seconds
            for (role, kind), count in sorted(network.sent.items())
        },
        {
            role: count / counts[role] / seconds
            for role, count in network.sent_bytes.items()
        },
        {role: links[role] / counts[role] for role in counts},
    )
