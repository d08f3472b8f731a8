"""Troubles that a model of a site can be put through."""

import asyncio
from collections.abc import Awaitable, Callable

from hawthorntrack.experiment.model_site import ModelSite
from hawthorntrack.state.registry import Registry

Trouble = Callable[[ModelSite], Awaitable[None]]

troubles: Registry[Trouble] = Registry("trouble")
trouble = troubles.register

BEGIN_S = 1.0
LAST_S = 3.0


@trouble("none")
async def none(site: ModelSite) -> None:
    """Leave everything as it is."""


@trouble("entry_killed")
async def entry_killed(site: ModelSite) -> None:
    """Kill one entry instance after the other; each comes back."""
    await asyncio.sleep(BEGIN_S)
    for number in range(len(site.entries)):
        site.restart_entry(number, 0.5)
        await asyncio.sleep(0.9)


@trouble("guard_killed")
async def guard_killed(site: ModelSite) -> None:
    """Kill a third of the guards in turn; each comes back within its lease."""
    await asyncio.sleep(BEGIN_S)
    for number in range(0, len(site.guards), 3):
        site.restart_guard(number, 0.6)
        await asyncio.sleep(0.4)


@trouble("guard_frozen")
async def guard_frozen(site: ModelSite) -> None:
    """Freeze guards for less than a lease, for about one, and for longer."""
    await asyncio.sleep(BEGIN_S)
    for guard, lasts_s in zip(site.guards, (0.4, 0.7, 0.9, 1.1, 3.0), strict=False):
        guard.freeze()
        asyncio.get_running_loop().call_later(lasts_s, guard.thaw)


@trouble("entry_frozen")
async def entry_frozen(site: ModelSite) -> None:
    """Freeze entry instances, one shortly and one for long."""
    await asyncio.sleep(BEGIN_S)
    for entry, lasts_s in zip(site.entries, (0.55, 3.0), strict=False):
        entry.freeze()
        asyncio.get_running_loop().call_later(lasts_s, entry.thaw)


@trouble("entry_cut_off")
async def entry_cut_off(site: ModelSite) -> None:
    """Cut an entry instance off from all guards; what was sent arrives later."""
    await asyncio.sleep(BEGIN_S)
    site.cut_off(site.entries[0], site.guards)
    await asyncio.sleep(LAST_S)
    site.wires.heal()


@trouble("guards_cut_off")
async def guards_cut_off(site: ModelSite) -> None:
    """Cut two guards off from all entry instances, one way for one of them."""
    await asyncio.sleep(BEGIN_S)
    site.cut_off(site.guards[0], site.entries)
    one_way = site.guards[1].me.address
    site.wires.cut |= {(entry.me.address, one_way) for entry in site.entries}
    await asyncio.sleep(LAST_S)
    site.wires.heal()


@trouble("links_reset")
async def links_reset(site: ModelSite) -> None:
    """Break links again and again while their runs go on."""
    await asyncio.sleep(BEGIN_S)
    for guard in site.guards:
        for entry in site.entries:
            site.break_link(entry, guard.me.address)
        await asyncio.sleep(0.2)


def target_fault(name: str, count: int, share: float) -> None:
    """Register a fault that some targets have for a while."""

    @trouble(f"targets_{name}")
    async def some_targets(site: ModelSite) -> None:
        await asyncio.sleep(BEGIN_S)
        for target in site.targets[:count]:
            target.fault, target.fault_share = name, share
        await asyncio.sleep(LAST_S)
        for target in site.targets[:count]:
            target.fault = ""

    some_targets.__doc__ = f"Have {count} targets show the fault {name!r}."


target_fault("errors", 2, 1.0)
target_fault("hang", 2, 1.0)
target_fault("shed", 2, 1.0)
target_fault("mute", 2, 1.0)
target_fault("late", 11, 0.06)
target_fault("lost", 11, 0.1)


@trouble("targets_slow")
async def targets_slow(site: ModelSite) -> None:
    """Have a sixth of the targets work seven times slower for a while."""
    await asyncio.sleep(BEGIN_S)
    some = site.targets[:2]
    usual = [target.slowness for target in some]
    for target in some:
        target.change_speed(target.slowness * 7)
    await asyncio.sleep(LAST_S)
    for target, slowness in zip(some, usual, strict=True):
        target.change_speed(slowness)


@trouble("targets_crash")
async def targets_crash(site: ModelSite) -> None:
    """Have targets crash and come back under the same id."""
    await asyncio.sleep(BEGIN_S)
    for target in site.targets[:3]:
        target.be_born()
        await asyncio.sleep(0.5)
