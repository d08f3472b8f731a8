"""Commands on a deployment: zones, status, and removal of a guard's registration."""

import asyncio
import time
from collections.abc import Callable
from typing import Any

import aiohttp
import click
import msgspec

from hawthorntrack.cli.context import (
    EXIT_BAD_INPUT,
    EXIT_CONFLICT,
    EXIT_TIMED_OUT,
    CommandError,
    Context,
    command,
)
from hawthorntrack.protocol.rows import (
    decode_guard,
    decode_guards,
    decode_slots,
    decode_zones,
    encode_departed_guard,
    encode_zones,
    entries_prefix,
    guard_key,
    guards_prefix,
    slots_prefix,
    zones_key,
)
from hawthorntrack.state.table import ABSENT, Conflict
from hawthorntrack.state.values import GuardInfo

STATUS_TIMEOUT_S = 1.0
WAIT_POLL_S = 0.2


async def fetch_status(
    session: aiohttp.ClientSession, process: GuardInfo
) -> dict[str, Any] | None:
    """Return a process's status page, or None if it does not answer."""
    try:
        async with session.get(f"http://{process.http}/status") as response:
            return msgspec.json.decode(await response.read())
    except (aiohttp.ClientError, OSError, TimeoutError, msgspec.DecodeError):
        return None


async def fetch_statuses(
    processes: list[GuardInfo],
) -> dict[str, dict[str, Any] | None]:
    """Return the status pages of processes, keyed by bus address."""
    timeout = aiohttp.ClientTimeout(total=STATUS_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        pages = await asyncio.gather(*(fetch_status(session, p) for p in processes))
    names = [process.incarnation.address for process in processes]
    return dict(zip(names, pages, strict=True))


async def registered_processes(context: Context) -> list[GuardInfo]:
    """Return all registered guards and entry instances."""
    environment = context.environment
    guards = decode_guards(await context.rows(guards_prefix(environment)))
    entries = decode_guards(await context.rows(entries_prefix(environment)))
    return [*guards.values(), *entries.values()]


@click.group()
def zone() -> None:
    """Zones: take a data centre out of service, and bring it back."""


async def update_zones_out(
    context: Context, change: Callable[[set[str]], set[str]]
) -> int:
    """Change the set of zones out of service; return the version of its row."""
    key = zones_key(context.environment)
    row = await context.row(key)
    before = set(decode_zones(row)) if row else set()
    zones_after = change(before)
    if row is not None and zones_after == before:
        return row.version
    expect = row.version if row else ABSENT
    outcome = await context.write(key, expect, encode_zones(zones_after))
    if isinstance(outcome, Conflict):
        current = decode_zones(outcome.row) if outcome.row else []
        raise CommandError(
            "conflict",
            "Another operator changed the zones meanwhile:"
            f" {', '.join(current) or 'none'} are out now. Look with `zone list` and"
            " try again.",
            EXIT_CONFLICT,
        )
    return outcome.version


async def require_known_zone(context: Context, name: str) -> None:
    """Raise a `CommandError` unless a registered process is in the zone."""
    zones = {process.place.zone for process in await registered_processes(context)}
    if name not in zones:
        raise CommandError(
            "unknown_zone",
            f"No process is registered in {name!r}. Known zones:"
            f" {', '.join(sorted(zones)) or 'none'}.",
            EXIT_BAD_INPUT,
        )


async def wait_confirmed(context: Context, version: int, limit_s: float) -> None:
    """Wait until every registered process has applied a version.

    Raises
    ------
    CommandError
        If some have not within the limit; the message names them.
    """
    started_at = time.monotonic()
    processes = await registered_processes(context)
    with click.progressbar(
        length=len(processes), label="confirmed", hidden=context.as_json
    ) as bar:
        while True:
            pages = await fetch_statuses(processes)
            unconfirmed = [
                name for name, page in pages.items() if not has_applied(page, version)
            ]
            bar.update(len(processes) - len(unconfirmed) - bar.pos)
            if not unconfirmed or time.monotonic() - started_at > limit_s:
                break
            await asyncio.sleep(WAIT_POLL_S)
    elapsed_s = time.monotonic() - started_at
    if unconfirmed:
        raise CommandError(
            "not_confirmed",
            f"After {elapsed_s:.1f} s these have not confirmed:"
            f" {', '.join(unconfirmed)}. A process that is frozen or cut off from the"
            " table and its peers starts nothing once its view is stale; see"
            " docs/OPERATIONS.md.",
            EXIT_TIMED_OUT,
        )
    context.show(
        {"confirmed": len(processes), "seconds": round(elapsed_s, 2)},
        [f"all {len(processes)} processes act on it, after {elapsed_s:.1f} s"],
    )


def has_applied(page: dict[str, Any] | None, version: int) -> bool:
    """Return whether a status page shows that a version has been applied."""
    return bool(page and page["control"] and page["control"]["stamp"] >= version)


wait_options = (
    click.option("--wait", is_flag=True, help="Wait until every process confirmed."),
    click.option("--limit", default=30.0, help="Seconds to wait.", show_default=True),
)


def with_wait_options(function: Callable) -> Callable:
    """Add the options for waiting until a change is confirmed."""
    for option in wait_options:
        function = option(function)
    return function


@zone.command()
@click.argument("name")
@with_wait_options
@command
async def out(context: Context, name: str, wait: bool, limit: float) -> None:
    """Take zone NAME out of service: no task starts there any more."""
    await require_known_zone(context, name)
    version = await update_zones_out(context, lambda before: before | {name})
    context.show({"zone": name, "out": True}, [f"{name} is out of service"])
    if wait:
        await wait_confirmed(context, version, limit)


@zone.command()
@click.argument("name")
@with_wait_options
@command
async def back(context: Context, name: str, wait: bool, limit: float) -> None:
    """Bring zone NAME back into service."""
    version = await update_zones_out(context, lambda before: before - {name})
    context.show({"zone": name, "out": False}, [f"{name} is in service"])
    if wait:
        await wait_confirmed(context, version, limit)


@zone.command(name="list")
@command
async def list_zones(context: Context) -> None:
    """List zones, their guards, and whether they are in service."""
    row = await context.row(zones_key(context.environment))
    zones_out = set(decode_zones(row)) if row else set()
    guards = decode_guards(await context.rows(guards_prefix(context.environment)))
    counts: dict[str, int] = {}
    for guard in guards.values():
        counts[guard.place.zone] = counts.get(guard.place.zone, 0) + 1
    zones = sorted(counts.keys() | zones_out)
    context.show(
        [{"zone": z, "guards": counts.get(z, 0), "out": z in zones_out} for z in zones],
        [
            f"{z:<16} {counts.get(z, 0):>5} guards  "
            f"{'out of service' if z in zones_out else 'in service'}"
            for z in zones
        ],
    )


@click.command()
@click.option("--slots", is_flag=True, help="List every slot with its pair.")
@command
async def status(context: Context, slots: bool) -> None:
    """Show who is there, which version each acts on, and who owns the slots."""
    processes = await registered_processes(context)
    pages = await fetch_statuses(processes)
    rows = decode_slots(await context.rows(slots_prefix(context.environment)))
    value = {
        "processes": [
            process_value(process, pages[process.incarnation.address])
            for process in processes
        ],
        "slots": {str(number): slot._asdict() for number, slot in rows.items()},
    }
    lines = [process_line(item) for item in value["processes"]]
    open_count = sum(row.formed for row in rows.values())
    lines.append(f"slots: {open_count} open, {len(rows) - open_count} moving")
    if slots:
        lines += [
            f"slot {number:>5}  epoch {row.epoch:>4}  owner {row.owner.address}"
            f"  witness {row.witness.address}  {'open' if row.formed else 'moving'}"
            for number, row in sorted(rows.items())
        ]
    context.show(value, lines)


def process_value(process: GuardInfo, page: dict[str, Any] | None) -> dict[str, Any]:
    """Return one process's entry in the status."""
    control = (page or {}).get("control") or {}
    slot_manager = (page or {}).get("keeper") or {}
    executor = (page or {}).get("executor") or {}
    return {
        "address": process.incarnation.address,
        "nonce": process.incarnation.nonce,
        "role": "guard" if slot_manager else "entry" if page else "unknown",
        "zone": process.place.zone,
        "draining": process.draining,
        "answers": page is not None,
        "stamp": control.get("stamp"),
        "documents": control.get("documents"),
        "fresh": control.get("fresh"),
        "slots_owned": len(slot_manager.get("slots", {}).get("opened", [])),
        "target": (executor.get("target") or {}).get("address"),
    }


def process_line(item: dict[str, Any]) -> str:
    """Return one process's line in the status, for people."""
    state = "draining" if item["draining"] else "serving"
    if not item["answers"]:
        state = "no answer"
    return (
        f"{item['role']:<8} {item['address']:<22} {item['zone']:<12} {state:<10}"
        f" version {item['stamp']}  owns {item['slots_owned']} slots"
        f"  target {item['target'] or '-'}"
    )


@click.group()
def guard() -> None:
    """Guards: forget one that will never come back."""


@guard.command()
@click.argument("address")
@click.option("--yes", is_flag=True, help="Do not ask.")
@command
async def forget(context: Context, address: str, yes: bool) -> None:
    """Remove the registration of the guard at ADDRESS.

    Only for a guard whose process has ended for good: slots whose two guards are both
    gone open again after this, and keys they may have admitted are answered `failed,
    may have run`. A guard that still runs ends itself when it sees this.
    """
    key = guard_key(context.environment, address)
    row = await context.row(key)
    guard_info = decode_guard(row) if row else None
    if guard_info is None:
        raise CommandError(
            "no_guard", f"No guard is registered at {address}.", EXIT_BAD_INPUT
        )
    if not yes:
        click.confirm(f"Has the process at {address} ended for good?", abort=True)
    outcome = await context.write(key, row.version, encode_departed_guard(guard_info))
    if isinstance(outcome, Conflict):
        raise CommandError(
            "conflict",
            f"A new process has registered at {address} meanwhile: nothing was done.",
            EXIT_CONFLICT,
        )
    context.show({"forgotten": address}, [f"{address} is forgotten"])
