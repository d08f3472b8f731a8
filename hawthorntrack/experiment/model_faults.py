"""Faults and fault sequences for the simulated site."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable

from hawthorntrack.coordination.working_set import SURPLUS_LINGER_S
from hawthorntrack.experiment.model_site import ModelSite
from hawthorntrack.state.registry import Registry

Trouble = Callable[[ModelSite], Awaitable[None]]

troubles: Registry[Trouble] = Registry("trouble")
trouble = troubles.register

START_DELAY_S = 1.0
FAULT_DURATION_S = 3.0
LATE_GRANTS_SHARE = 0.2
GUARDS_FROZEN_AT_ONCE = 2
# Longer than an owner waits for a silent guard, shorter than any order is late.
MIN_FREEZE_S = 1.2
MAX_FREEZE_S = 1.8
SETS_CHANGE_INTERVAL_S = 0.15


@trouble("none")
async def none(site: ModelSite) -> None:
    """Inject no fault."""


@trouble("entry_killed")
async def entry_killed(site: ModelSite) -> None:
    """Kill one entry instance after the other, and restart each."""
    await asyncio.sleep(START_DELAY_S)
    for number in range(len(site.entries)):
        site.restart_entry(number, 0.5)
        await asyncio.sleep(0.9)


@trouble("guard_killed")
async def guard_killed(site: ModelSite) -> None:
    """Kill a third of the guards in turn, and restart each within its lease."""
    await asyncio.sleep(START_DELAY_S)
    for number in range(0, len(site.guards), 3):
        site.restart_guard(number, 0.6)
        await asyncio.sleep(0.4)


@trouble("guard_frozen")
async def guard_frozen(site: ModelSite) -> None:
    """Freeze guards for less than a lease, for about one, and for longer."""
    await asyncio.sleep(START_DELAY_S)
    for guard, duration_s in zip(site.guards, (0.4, 0.7, 0.9, 1.1, 3.0), strict=False):
        guard.freeze()
        asyncio.get_running_loop().call_later(duration_s, guard.thaw)


@trouble("entry_frozen")
async def entry_frozen(site: ModelSite) -> None:
    """Freeze two entry instances, for 0.55 s and for 3 s."""
    await asyncio.sleep(START_DELAY_S)
    for entry, duration_s in zip(site.entries, (0.55, 3.0), strict=False):
        entry.freeze()
        asyncio.get_running_loop().call_later(duration_s, entry.thaw)


@trouble("entry_cut_off")
async def entry_cut_off(site: ModelSite) -> None:
    """Partition an entry instance from all guards; messages arrive afterwards."""
    await asyncio.sleep(START_DELAY_S)
    site.cut_off(site.entries[0], site.guards)
    await asyncio.sleep(FAULT_DURATION_S)
    site.network.heal()


@trouble("guards_cut_off")
async def guards_cut_off(site: ModelSite) -> None:
    """Partition two guards from all entry instances, the second in one direction."""
    await asyncio.sleep(START_DELAY_S)
    site.cut_off(site.guards[0], site.entries)
    one_way = site.guards[1].me.address
    site.network.cut_pairs |= {(entry.me.address, one_way) for entry in site.entries}
    await asyncio.sleep(FAULT_DURATION_S)
    site.network.heal()


@trouble("links_reset")
async def links_reset(site: ModelSite) -> None:
    """Reset the links of all guards, 0.2 s apart, while runs are in progress."""
    await asyncio.sleep(START_DELAY_S)
    for guard in site.guards:
        for entry in site.entries:
            site.break_link(entry, guard.me.address)
        await asyncio.sleep(0.2)


async def change_working_sets(site: ModelSite, until: float) -> None:
    """Give each entry instance another half of the guards several times a second.

    Explanation
    -----------
    Guards leave a set with runs at work, return to it meanwhile, and are in the sets
    of several entry instances.
    """
    while site.clock() < until:
        for entry in site.entries:
            working_set = entry.actor.working_set
            working_set.max_links = len(site.guards) // 2
            site.rng.shuffle(working_set.order)
            long_ago = site.clock() - SURPLUS_LINGER_S
            working_set.surplus_since = dict.fromkeys(working_set.dialled, long_ago)
        await asyncio.sleep(SETS_CHANGE_INTERVAL_S)


@trouble("sets_change")
async def sets_change(site: ModelSite) -> None:
    """Change the working sets all the time."""
    await asyncio.sleep(START_DELAY_S)
    await change_working_sets(site, site.clock() + FAULT_DURATION_S)


@trouble("sets_change_under_faults")
async def sets_change_under_faults(site: ModelSite) -> None:
    """Change the working sets while guards and entry instances freeze and restart."""
    await asyncio.sleep(START_DELAY_S)
    site.spawn(change_working_sets(site, site.clock() + FAULT_DURATION_S))
    for number, guard in enumerate(site.guards[:8]):
        guard.freeze()
        asyncio.get_running_loop().call_later(
            site.rng.uniform(MIN_FREEZE_S, MAX_FREEZE_S), guard.thaw
        )
        if number % 3 == 0:
            site.restart_entry(number // 3, 0.3)
        await asyncio.sleep(FAULT_DURATION_S / 8)


@trouble("links_silent")
async def links_silent(site: ModelSite) -> None:
    """Cut an entry instance off from half of the guards without a reset."""
    await asyncio.sleep(START_DELAY_S)
    site.cut_off(site.entries[0], site.guards[::2])
    await asyncio.sleep(FAULT_DURATION_S)
    site.network.cut_pairs.clear()
    site.network.held_messages.clear()


def target_fault(name: str, count: int, share: float) -> None:
    """Register a fault that `count` targets show for a while."""

    @trouble(f"targets_{name}")
    async def some_targets(site: ModelSite) -> None:
        await asyncio.sleep(START_DELAY_S)
        for target in site.targets[:count]:
            target.fault, target.fault_share = name, share
        await asyncio.sleep(FAULT_DURATION_S)
        for target in site.targets[:count]:
            target.fault = ""

    some_targets.__doc__ = f"Make {count} targets show the fault {name!r}."


target_fault("errors", 2, 1.0)
target_fault("hang", 2, 1.0)
target_fault("shed", 2, 1.0)
target_fault("mute", 2, 1.0)
target_fault("late", 11, 0.06)
target_fault("lost", 11, 0.1)


@trouble("guards_frozen_and_grants_late")
async def guards_frozen_and_grants_late(site: ModelSite) -> None:
    """Freeze guards in turn while a share of the orders grants its lease late.

    Explanation
    -----------
    The owner of a run gives up a frozen guard before the guard continues. The guard
    continues before its last orders are executed, so it can still fence them.
    """
    await asyncio.sleep(START_DELAY_S)
    for target in site.targets:
        target.fault, target.fault_share = "late_grants", LATE_GRANTS_SHARE
    remaining = iter([*site.guards])
    while guards := list(itertools.islice(remaining, GUARDS_FROZEN_AT_ONCE)):
        for guard in guards:
            guard.freeze()
        await asyncio.sleep(site.rng.uniform(MIN_FREEZE_S, MAX_FREEZE_S))
        for guard in guards:
            guard.thaw()
    for target in site.targets:
        target.fault = ""


@trouble("targets_slow")
async def targets_slow(site: ModelSite) -> None:
    """Slow two targets, a sixth of the small site, down seven times for a while."""
    await asyncio.sleep(START_DELAY_S)
    slowed = site.targets[:2]
    original = [target.slowness for target in slowed]
    for target in slowed:
        target.change_speed(target.slowness * 7)
    await asyncio.sleep(FAULT_DURATION_S)
    for target, slowness in zip(slowed, original, strict=True):
        target.change_speed(slowness)


@trouble("targets_crash")
async def targets_crash(site: ModelSite) -> None:
    """Restart three targets, each as a new incarnation with the same id."""
    await asyncio.sleep(START_DELAY_S)
    for target in site.targets[:3]:
        target.restart()
        await asyncio.sleep(0.5)
