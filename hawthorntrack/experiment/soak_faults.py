"""Faults from outside the processes; they come in series and overlap."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Iterator, Sequence
from contextlib import contextmanager

from hawthorntrack.experiment.relays import Line
from hawthorntrack.experiment.soak_site import ZONES, SoakNode, SoakSite
from hawthorntrack.platform.standins import store_faults
from hawthorntrack.state.registry import Registry

BACK_S = (0.2, 2.0)  # from a process's end to its next start
LASTS_S = (0.3, 3.0)  # from shorter than a lease to longer than any patience
SERIES_MOST = 4
GAP_S = (0.1, 1.5)
END_LIMIT_S = 10.0  # well beyond the grace
LATEST_S = 0.2  # a slow line, one way
LATE_SHARE = 0.3  # of a target's orders

SoakFault = Callable[[SoakSite, random.Random], Awaitable[None]]
soak_faults: Registry[SoakFault] = Registry("soak fault")
soak_fault = soak_faults.register


def some_node(site: SoakSite, rng: random.Random) -> SoakNode:
    """Return an entry instance or a guard, either as likely."""
    return rng.choice(site.role(rng.choice(("entry", "guard"))))


@contextmanager
def disturbed(*nodes: SoakNode) -> Iterator[None]:
    """Note that processes are disturbed meanwhile."""
    for node in nodes:
        node.begin_disturbance()
    try:
        yield
    finally:
        for node in nodes:
            node.end_disturbance()


async def end_and_start(
    site: SoakSite, node: SoakNode, number: int, back_s: float
) -> None:
    """Send a signal that ends a process, and start it again afterwards."""
    with disturbed(node):
        if node.asked_to_end:
            return  # another fault ends it already, and starts it again
        site.signal(node, number)
        async with asyncio.timeout(END_LIMIT_S):
            while node.alive:
                await asyncio.sleep(0.02)
        await asyncio.sleep(back_s)
        site.spawn(node)


@soak_fault("kill")
async def kill(site: SoakSite, rng: random.Random) -> None:
    """Kill one process; it comes back."""
    node = some_node(site, rng)
    await end_and_start(site, node, signal.SIGKILL, rng.uniform(*BACK_S))


@soak_fault("restart")
async def restart(site: SoakSite, rng: random.Random) -> None:
    """Stop one process gracefully; it comes back."""
    node = some_node(site, rng)
    await end_and_start(site, node, signal.SIGTERM, rng.uniform(*BACK_S))


@soak_fault("herd_kill")
async def herd_kill(site: SoakSite, rng: random.Random) -> None:
    """Kill half of the processes, or all, at the same moment."""
    nodes = list(site.nodes.values())
    chosen = rng.sample(nodes, rng.choice((len(nodes) // 2, len(nodes))))
    back_s = rng.uniform(*BACK_S)
    await asyncio.gather(
        *(end_and_start(site, node, signal.SIGKILL, back_s) for node in chosen)
    )


@soak_fault("freeze")
async def freeze(site: SoakSite, rng: random.Random) -> None:
    """Have one process stand still for a while."""
    node = some_node(site, rng)
    with disturbed(node):
        site.signal(node, signal.SIGSTOP)
        await asyncio.sleep(rng.uniform(*LASTS_S))
        site.signal(node, signal.SIGCONT)


@soak_fault("hangup")
async def hangup(site: SoakSite, rng: random.Random) -> None:
    """Have one process read its settings again."""
    node = some_node(site, rng)
    if node.in_rotation:  # a handler is there
        site.signal(node, signal.SIGHUP)


async def harm_line(
    node: SoakNode, harm: Callable[[Line], None], lasts_s: float, way: str
) -> None:
    """Harm one of a process's lines for a while."""
    line = node.lines[way]
    with disturbed(node):
        harm(line)
        await asyncio.sleep(lasts_s)
        line.heal()


def line_fault(name: str, way: str) -> Callable:
    """Register a harm to one kind of line as a fault."""

    def file(harm: Callable[[Line], None]) -> Callable:
        @soak_fault(f"{name}_{way}")
        async def play(site: SoakSite, rng: random.Random) -> None:
            nodes = [n for n in site.nodes.values() if way in n.lines]
            await harm_line(rng.choice(nodes), harm, rng.uniform(*LASTS_S), way)

        return harm

    return file


@line_fault("cut", "peers")
@line_fault("cut", "store")
@line_fault("cut", "target")
def cut(line: Line) -> None:
    """Hold bytes both ways."""
    line.cut()


@line_fault("one_way", "peers")
@line_fault("one_way", "target")
def cut_one_way(line: Line) -> None:
    """Hold what comes back."""
    line.back.whole.clear()


@line_fault("deaf", "peers")
def cut_other_way(line: Line) -> None:
    """Hold what goes there."""
    line.there.whole.clear()


@line_fault("reset", "peers")
@line_fault("reset", "store")
@line_fault("reset", "target")
def reset(line: Line) -> None:
    """Reset the connections."""
    line.reset()


@line_fault("delay", "peers")
@line_fault("delay", "store")
@line_fault("delay", "target")
def delay(line: Line) -> None:
    """Make both ways slow."""
    line.there.delay_s = line.back.delay_s = LATEST_S


def store_fault(name: str) -> None:
    """Register a fault of the store."""

    @soak_fault(f"store_{name}")
    async def play(site: SoakSite, rng: random.Random) -> None:
        site.store.fault = name
        site.store_disturbances += 1
        await asyncio.sleep(rng.uniform(*LASTS_S))
        site.store_disturbances -= 1
        if not site.store_disturbances:
            site.store.fault = ""
            site.store_calm_at = site.now()


for fault_name in store_faults:
    store_fault(fault_name)


def target_fault(name: str, share: float) -> None:
    """Register a fault that a third of the targets has for a while."""

    @soak_fault(f"targets_{name}")
    async def play(site: SoakSite, rng: random.Random) -> None:
        chosen = rng.sample(site.targets, max(1, len(site.targets) // 3))
        for target in chosen:
            target.fault, target.fault_share = name, share
        await asyncio.sleep(rng.uniform(*LASTS_S))
        for target in chosen:
            target.fault = ""


for fault_name, fault_share in (
    ("errors", 1.0),
    ("hang", 1.0),
    ("shed", 1.0),
    ("mute", 1.0),
    ("late", LATE_SHARE),
    ("lost", 0.3),
):
    target_fault(fault_name, fault_share)


@soak_fault("targets_crash")
async def crash(site: SoakSite, rng: random.Random) -> None:
    """Have one target begin a new life under its id."""
    rng.choice(site.targets).be_born()


@soak_fault("targets_crash_late")
async def crash_while_late(site: SoakSite, rng: random.Random) -> None:
    """Have targets begin new lives that carry out orders sent to the ones before."""
    chosen = rng.sample(site.targets, max(1, len(site.targets) // 3))
    for target in chosen:
        target.fault, target.fault_share = "late", LATE_SHARE
    await asyncio.sleep(rng.uniform(*LASTS_S))
    for target in chosen:
        target.be_born()
        target.fault = ""


@soak_fault("targets_slow")
async def slow(site: SoakSite, rng: random.Random) -> None:
    """Have one target work seven times slower for a while."""
    target = rng.choice(site.targets)
    target.change_speed(target.slowness * 7)
    await asyncio.sleep(rng.uniform(*LASTS_S))
    target.change_speed(target.slowness / 7)


@soak_fault("zone_out")
async def take_zone_out(site: SoakSite, rng: random.Random) -> None:
    """Take a zone out of service, and back."""
    zone = rng.choice(ZONES)
    site.zone_out(zone, True)
    await asyncio.sleep(rng.uniform(3.0, 8.0))
    site.zone_out(zone, False)


@soak_fault("configurations")
async def change_configuration(site: SoakSite, rng: random.Random) -> None:
    """Add a queue and take the one before away, twice in quick succession."""
    for _ in range(2):
        site.change_queues()
        await asyncio.sleep(rng.uniform(*GAP_S))


async def play_series(
    site: SoakSite, rng: random.Random, until: float, names: Sequence[str]
) -> list[str]:
    """Play series of the faults named until a time; return what was played."""
    played: list[str] = []
    while site.now() < until:
        name = rng.choice(names)
        series = rng.randint(1, SERIES_MOST)
        for _ in range(series):
            if site.now() >= until:
                break
            played.append(f"{site.now() - site.began_at:.2f} {name}")
            site.run_beside(soak_faults[name](site, random.Random(rng.random())))
            await asyncio.sleep(rng.uniform(*GAP_S))
    return played
