"""Faults injected from outside the processes, in series that overlap."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager

from hawthorntrack.experiment.relays import Relay
from hawthorntrack.experiment.soak_site import ZONES, SoakNode, SoakSite
from hawthorntrack.platform.standins import store_faults
from hawthorntrack.state.registry import Registry

RESTART_DELAY_S = (0.2, 2.0)
FAULT_DURATION_S = (0.3, 3.0)  # shorter than a lease up to longer than any time-out
MAX_SERIES_LENGTH = 4
FAULT_GAP_S = (0.1, 1.5)
EXIT_TIMEOUT_S = 10.0  # well above the grace period for a shutdown
UNSEEN_ZONE_OUT_S = 12.0  # longer than a start in the zone is allowed under faults
RELAY_DELAY_S = 0.2  # in each direction
LATE_ORDER_SHARE = 0.3

SoakFault = Callable[[SoakSite, random.Random], Awaitable[None]]
soak_faults: Registry[SoakFault] = Registry("soak fault")
soak_fault = soak_faults.register


def random_node(site: SoakSite, rng: random.Random) -> SoakNode:
    """Return a random entry instance or guard; both roles are equally likely."""
    return rng.choice(site.role(rng.choice(("entry", "guard"))))


@contextmanager
def disturbed(*nodes: SoakNode) -> Iterator[None]:
    """Mark processes as disturbed within the context."""
    for node in nodes:
        node.begin_disturbance()
    try:
        yield
    finally:
        for node in nodes:
            node.end_disturbance()


async def stop_and_restart(
    site: SoakSite, node: SoakNode, number: int, restart_delay_s: float
) -> None:
    """Send a terminating signal to a process, and restart it after its exit."""
    with disturbed(node):
        if node.stop_requested:
            return  # another fault is already restarting it
        site.signal(node, number)
        async with asyncio.timeout(EXIT_TIMEOUT_S):
            while node.alive:
                await asyncio.sleep(0.02)
        await asyncio.sleep(restart_delay_s)
        site.spawn(node)


@soak_fault("kill")
async def kill(site: SoakSite, rng: random.Random) -> None:
    """Kill one process and restart it."""
    node = random_node(site, rng)
    await stop_and_restart(site, node, signal.SIGKILL, rng.uniform(*RESTART_DELAY_S))


@soak_fault("restart")
async def restart(site: SoakSite, rng: random.Random) -> None:
    """Stop one process gracefully and restart it."""
    node = random_node(site, rng)
    await stop_and_restart(site, node, signal.SIGTERM, rng.uniform(*RESTART_DELAY_S))


@soak_fault("herd_kill")
async def herd_kill(site: SoakSite, rng: random.Random) -> None:
    """Kill half or all of the processes at the same moment, and restart them."""
    nodes = list(site.nodes.values())
    chosen = rng.sample(nodes, rng.choice((len(nodes) // 2, len(nodes))))
    restart_delay_s = rng.uniform(*RESTART_DELAY_S)
    await asyncio.gather(
        *(
            stop_and_restart(site, node, signal.SIGKILL, restart_delay_s)
            for node in chosen
        )
    )


@soak_fault("freeze")
async def freeze(site: SoakSite, rng: random.Random) -> None:
    """Suspend one process (SIGSTOP) for a while."""
    node = random_node(site, rng)
    with disturbed(node):
        site.signal(node, signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(*FAULT_DURATION_S))
        site.signal(node, signal.SIGCONT)


@soak_fault("hangup")
async def hangup(site: SoakSite, rng: random.Random) -> None:
    """Make one process reload its settings (SIGHUP)."""
    node = random_node(site, rng)
    if node.in_rotation:  # its signal handler is installed
        site.signal(node, signal.SIGHUP)


async def disturb_relay(
    node: SoakNode, disturb: Callable[[Relay], None], duration_s: float, relay_name: str
) -> None:
    """Apply a fault to one relay of a process for a while."""
    relay = node.relays[relay_name]
    with disturbed(node):
        disturb(relay)
        await asyncio.sleep(duration_s)
        relay.heal()


def relay_fault(name: str, relay_name: str) -> Callable:
    """Register a function as a fault of one kind of relay."""

    def register(disturb: Callable[[Relay], None]) -> Callable:
        @soak_fault(f"{name}_{relay_name}")
        async def inject(site: SoakSite, rng: random.Random) -> None:
            nodes = [n for n in site.nodes.values() if relay_name in n.relays]
            await disturb_relay(
                rng.choice(nodes), disturb, rng.uniform(*FAULT_DURATION_S), relay_name
            )

        return disturb

    return register


@relay_fault("cut", "peers")
@relay_fault("cut", "store")
@relay_fault("cut", "target")
def cut(relay: Relay) -> None:
    """Hold back bytes in both directions."""
    relay.cut()


@relay_fault("one_way", "peers")
@relay_fault("one_way", "target")
def cut_returning(relay: Relay) -> None:
    """Hold back bytes from the process that the relay leads to."""
    relay.backward.flowing.clear()


@relay_fault("deaf", "peers")
def cut_outgoing(relay: Relay) -> None:
    """Hold back bytes to the process that the relay leads to."""
    relay.forward.flowing.clear()


@relay_fault("reset", "peers")
@relay_fault("reset", "store")
@relay_fault("reset", "target")
def reset(relay: Relay) -> None:
    """Reset the open connections."""
    relay.reset()


@relay_fault("delay", "peers")
@relay_fault("delay", "store")
@relay_fault("delay", "target")
def delay(relay: Relay) -> None:
    """Delay bytes in both directions."""
    relay.forward.delay_s = relay.backward.delay_s = RELAY_DELAY_S


def store_fault(name: str) -> None:
    """Register a fault of the stand-in store."""

    @soak_fault(f"store_{name}")
    async def inject(site: SoakSite, rng: random.Random) -> None:
        site.store.fault = name
        site.store_disturbances += 1
        await asyncio.sleep(rng.uniform(*FAULT_DURATION_S))
        site.store_disturbances -= 1
        if not site.store_disturbances:
            site.store.fault = ""
            site.store_fault_ended_at = site.now()


for fault_name in store_faults:
    store_fault(fault_name)


def target_fault(name: str, share: float) -> None:
    """Register a fault that a third of the targets show for a while."""

    @soak_fault(f"targets_{name}")
    async def inject(site: SoakSite, rng: random.Random) -> None:
        chosen = rng.sample(site.targets, max(1, len(site.targets) // 3))
        for target in chosen:
            target.fault, target.fault_share = name, share
        await asyncio.sleep(rng.uniform(*FAULT_DURATION_S))
        for target in chosen:
            target.fault = ""


for fault_name, fault_share in (
    ("errors", 1.0),
    ("hang", 1.0),
    ("shed", 1.0),
    ("mute", 1.0),
    ("late", LATE_ORDER_SHARE),
    ("lost", 0.3),
):
    target_fault(fault_name, fault_share)


@soak_fault("targets_crash")
async def crash(site: SoakSite, rng: random.Random) -> None:
    """Restart one target as a new incarnation with the same id."""
    rng.choice(site.targets).restart()


@soak_fault("targets_crash_late")
async def crash_with_late_orders(site: SoakSite, rng: random.Random) -> None:
    """Restart targets that then execute orders sent to their previous incarnation."""
    chosen = rng.sample(site.targets, max(1, len(site.targets) // 3))
    for target in chosen:
        target.fault, target.fault_share = "late", LATE_ORDER_SHARE
    await asyncio.sleep(rng.uniform(*FAULT_DURATION_S))
    for target in chosen:
        target.restart()
        target.fault = ""


@soak_fault("targets_slow")
async def slow(site: SoakSite, rng: random.Random) -> None:
    """Slow one target down seven times for a while."""
    target = rng.choice(site.targets)
    target.change_speed(target.slowness * 7)
    await asyncio.sleep(rng.uniform(*FAULT_DURATION_S))
    target.change_speed(target.slowness / 7)


@soak_fault("zone_out")
async def take_zone_out(site: SoakSite, rng: random.Random) -> None:
    """Take a zone out of service, and return it after a while."""
    zone = rng.choice(ZONES)
    site.set_zone_out(zone, True)
    await asyncio.sleep(rng.uniform(3.0, 8.0))
    site.set_zone_out(zone, False)


@soak_fault("zone_out_unseen")
async def take_zone_out_unseen(site: SoakSite, rng: random.Random) -> None:
    """Take a zone out of service while no entry instance reaches the store."""
    zone = rng.choice(ZONES)
    entries = site.role("entry")
    relays = [entry.relays["store"] for entry in entries]
    with disturbed(*entries):
        for relay in relays:
            relay.cut()
        await asyncio.sleep(rng.uniform(*FAULT_GAP_S))
        site.set_zone_out(zone, True)
        await asyncio.sleep(UNSEEN_ZONE_OUT_S)
        site.set_zone_out(zone, False)
        for relay in relays:
            relay.heal()


@soak_fault("configurations")
async def change_configuration(site: SoakSite, rng: random.Random) -> None:
    """Add a queue and remove the previous one, twice in quick succession."""
    for _ in range(2):
        site.change_queues()
        await asyncio.sleep(rng.uniform(*FAULT_GAP_S))


async def inject_faults(
    site: SoakSite, rng: random.Random, until: float, names: Sequence[str]
) -> list[str]:
    """Inject series of the named faults until a time; return the injected faults."""
    injected: list[str] = []
    while site.now() < until:
        name = rng.choice(names)
        series = rng.randint(1, MAX_SERIES_LENGTH)
        for _ in range(series):
            if site.now() >= until:
                break
            injected.append(f"{site.now() - site.started_at:.2f} {name}")
            site.run_in_background(soak_faults[name](site, random.Random(rng.random())))
            await asyncio.sleep(rng.uniform(*FAULT_GAP_S))
    return injected
