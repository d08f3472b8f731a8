"""``make model``: searches the specifications and prints what was explored."""

import sys
import time
from collections.abc import Callable
from typing import NamedTuple

import click

from hawthorntrack.coordination import ownership
from hawthorntrack.specs import document_versions, slot_protocol
from hawthorntrack.specs.explore import Report, breadth_first, random_walks
from hawthorntrack.specs.mutations import mutations
from hawthorntrack.state.registry import Registry

MAX_STATES = 2_000_000


class Search(NamedTuple):
    """A search and whether it is to find a breach."""

    run: Callable[[], Report]
    must_break: bool = False


searches: Registry[Search] = Registry("search")


def slot_search(
    limits: slot_protocol.Limits,
    decide: slot_protocol.Decide = ownership.decide,
    after: tuple[str, ...] = slot_protocol.OPENING,
) -> Report:
    """Search the slot protocol exhaustively, from the world after some steps."""
    mutated = decide is not ownership.decide
    return breadth_first(
        slot_protocol.world_after(limits, after),
        slot_protocol.Protocol(limits, decide).successors,
        slot_protocol.unsafe if mutated else slot_protocol.breach,
        MAX_STATES,
    )


def slot_walks(limits: slot_protocol.Limits, walks: int, seed: int) -> Report:
    """Walk the slot protocol by chance, past what can be searched whole."""
    return random_walks(
        slot_protocol.world_after(limits, slot_protocol.OPENING),
        slot_protocol.Protocol(limits).successors,
        slot_protocol.breach,
        walks,
        60,
        seed,
        slot_protocol.weight,
    )


def version_search(apply: document_versions.Apply) -> Report:
    """Search the versions of the configuration exhaustively."""
    limits = document_versions.Limits(processes=2, changes=2)
    return breadth_first(
        document_versions.first_world(limits),
        document_versions.Versions(limits, apply).successors,
        document_versions.breach,
        MAX_STATES,
    )


def file(name: str, run: Callable[[], Report], must_break: bool = False) -> None:
    """Register a search."""
    searches.register(name)(Search(run, must_break))


file(
    "forming, 3 guards, 1 crash, 1 late write",
    lambda: slot_search(slot_protocol.Limits(epochs=1), after=()),
)
file(
    "takeover, 3 guards, 2 epochs, 1 crash, 1 late write",
    lambda: slot_search(slot_protocol.Limits()),
)
file(
    "walks, 4 guards, 2 keys, 5 epochs, 2 crashes, restart, stale reads",
    lambda: slot_walks(
        slot_protocol.Limits(
            guards=4,
            keys=2,
            epochs=5,
            submissions=5,
            crashes=2,
            restarts=1,
            late_writes=2,
            stale_reads=True,
        ),
        walks=400,
        seed=1,
    ),
)
file(
    "versions, 2 processes, 2 changes",
    lambda: version_search(document_versions.apply_config),
)
file(
    "mutation take_any version",
    lambda: version_search(document_versions.take_any),
    must_break=True,
)
MUTATION_LIMITS = slot_protocol.Limits(epochs=3, crashes=0, late_writes=0)
for mutation in mutations:
    file(
        f"mutation {mutation}",
        lambda decide=mutations[mutation]: slot_search(
            MUTATION_LIMITS, decide, slot_protocol.NOTING
        ),
        must_break=True,
    )


@click.command()
@click.option("--only", default="", help="Searches whose name contains this.")
@click.option("--trace", is_flag=True, help="Print the steps to each breach.")
def main(only: str, trace: bool) -> None:
    """Search the specifications; exit 1 if one breaks or a mutation is not caught."""
    failed = False
    for name in searches:
        if only not in name:
            continue
        begun = time.monotonic()
        report = searches[name].run()
        right = bool(report.breach) == searches[name].must_break
        failed |= not right
        click.echo(
            f"{'ok ' if right else 'BAD'} {name}: {report.states} states, depth"
            f" {report.depth}, {'complete' if report.complete else 'not complete'},"
            f" {report.breach or 'no breach'}, {time.monotonic() - begun:.1f} s"
        )
        if trace or not right:
            for step in report.trace:
                click.echo(f"      {step}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
