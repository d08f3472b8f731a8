"""Command ``make model``: search the models and print the states explored."""

import sys
import time
from collections.abc import Callable
from functools import partial
from typing import NamedTuple

import click

from hawthorntrack.coordination import ownership
from hawthorntrack.coordination.scheduling.offers import OfferBook
from hawthorntrack.specs import capacity_offers, document_versions, slot_protocol
from hawthorntrack.specs.explore import Report, breadth_first, random_walks
from hawthorntrack.specs.mutations import mutations
from hawthorntrack.specs.offer_mutations import offer_mutations
from hawthorntrack.state.registry import Registry

MAX_STATES = 2_000_000


class Search(NamedTuple):
    """A search, and whether it must find a violation."""

    run: Callable[[], Report]
    expects_violation: bool = False


searches: Registry[Search] = Registry("search")


def slot_search(
    limits: slot_protocol.Limits,
    decide: slot_protocol.Decide = ownership.decide,
    after: tuple[str, ...] = slot_protocol.OPENING,
) -> Report:
    """Search the slot protocol exhaustively, from the state after some steps."""
    is_mutation = decide is not ownership.decide
    return breadth_first(
        slot_protocol.state_after(limits, after),
        slot_protocol.Protocol(limits, decide).successors,
        slot_protocol.find_safety_violation
        if is_mutation
        else slot_protocol.find_violation,
        MAX_STATES,
    )


def slot_walks(limits: slot_protocol.Limits, walks: int, seed: int) -> Report:
    """Explore by random walks a slot protocol too large for an exhaustive search."""
    return random_walks(
        slot_protocol.state_after(limits, slot_protocol.OPENING),
        slot_protocol.Protocol(limits).successors,
        slot_protocol.find_violation,
        walks,
        60,
        seed,
        slot_protocol.weight,
    )


def version_search(apply: document_versions.Apply) -> Report:
    """Search the model of configuration versions exhaustively."""
    limits = document_versions.Limits(processes=2, changes=2)
    return breadth_first(
        document_versions.initial_state(limits),
        document_versions.Versions(limits, apply).successors,
        document_versions.find_violation,
        MAX_STATES,
    )


def offer_search(
    limits: capacity_offers.Limits, book: type[OfferBook] = OfferBook
) -> Report:
    """Search the model of the offers of capacity exhaustively."""
    make_book = partial(capacity_offers.make_book, book=book)
    model = capacity_offers.Offers(limits, make_book)
    return breadth_first(
        capacity_offers.initial_state(limits, make_book),
        model.successors,
        model.find_violation,
        MAX_STATES,
    )


def offer_walks(limits: capacity_offers.Limits, walks: int, seed: int) -> Report:
    """Explore by random walks offers with too many faults for an exhaustive search."""
    model = capacity_offers.Offers(limits)
    return random_walks(
        capacity_offers.initial_state(limits),
        model.successors,
        model.find_violation,
        walks,
        60,
        seed,
        capacity_offers.weight,
    )


def register_search(
    name: str, run: Callable[[], Report], expects_violation: bool = False
) -> None:
    """Register a search."""
    searches.register(name)(Search(run, expects_violation))


register_search(
    "forming, 3 guards, 1 crash, 1 late write",
    lambda: slot_search(slot_protocol.Limits(epochs=1), after=()),
)
register_search(
    "takeover, 3 guards, 2 epochs, 1 crash, 1 late write",
    lambda: slot_search(slot_protocol.Limits()),
)
register_search(
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
register_search(
    "versions, 2 processes, 2 changes",
    lambda: version_search(document_versions.apply_config),
)
register_search(
    "mutation take_any version",
    lambda: version_search(document_versions.apply_any),
    expects_violation=True,
)
MUTATION_LIMITS = slot_protocol.Limits(epochs=3, crashes=0, late_writes=0)
for mutation in mutations:
    register_search(
        f"mutation {mutation}",
        lambda decide=mutations[mutation]: slot_search(
            MUTATION_LIMITS, decide, slot_protocol.REPLICATING
        ),
        expects_violation=True,
    )

ONE_TASK_EACH = ((1,), (2,))
ONE_ENTRY = ((1,), ())
OFFER_SEARCHES = {
    "2 tasks each": capacity_offers.Limits(ticks=()),
    "offers expire": capacity_offers.Limits(ONE_TASK_EACH),
    "entry instance dies": capacity_offers.Limits(
        ONE_TASK_EACH, ticks=(), entry_deaths=1
    ),
    "guard dies": capacity_offers.Limits(ONE_TASK_EACH, ticks=(), guard_deaths=1),
    "guard dies, offers expire": capacity_offers.Limits(ONE_ENTRY, guard_deaths=1),
    "link breaks": capacity_offers.Limits(ONE_TASK_EACH, ticks=(), breaks=1),
    "link breaks, offers expire": capacity_offers.Limits(ONE_ENTRY, breaks=1),
    "link falls silent": capacity_offers.Limits(ONE_TASK_EACH, ticks=(), silences=1),
    "link falls silent, offers and demands expire": capacity_offers.Limits(
        ONE_ENTRY,
        ticks=(capacity_offers.OFFER_OVER_MS, capacity_offers.DEMAND_OVER_MS),
        silences=1,
    ),
    "direct order, cancellation": capacity_offers.Limits(
        ONE_TASK_EACH, ticks=(), direct=1, cancellations=1
    ),
}
for case, offer_limits in OFFER_SEARCHES.items():
    register_search(f"offers, {case}", lambda limits=offer_limits: offer_search(limits))
register_search(
    "offers, walks with all faults",
    lambda: offer_walks(
        capacity_offers.Limits(
            ticks=(5, 35, 12, 35, 600),
            repeats=3,
            cancellations=1,
            direct=2,
            entry_deaths=1,
            guard_deaths=1,
            breaks=2,
            silences=1,
        ),
        walks=400,
        seed=1,
    ),
)
OFFER_MUTATION_LIMITS = capacity_offers.Limits(
    ((1, 1), (2,)), entry_deaths=1, guard_deaths=1
)
for mutation in offer_mutations:
    register_search(
        f"offers, mutation {mutation}",
        lambda book=offer_mutations[mutation]: offer_search(
            OFFER_MUTATION_LIMITS, book
        ),
        expects_violation=True,
    )


@click.command()
@click.option("--only", default="", help="Searches whose name contains this.")
@click.option("--trace", is_flag=True, help="Print the steps to each violation.")
def main(only: str, trace: bool) -> None:
    """Search the models; exit 1 on a violation or a mutation that is not detected."""
    failed = False
    for name in searches:
        if only not in name:
            continue
        started = time.monotonic()
        report = searches[name].run()
        as_expected = bool(report.violation) == searches[name].expects_violation
        failed |= not as_expected
        click.echo(
            f"{'ok ' if as_expected else 'BAD'} {name}: {report.states} states, depth"
            f" {report.depth}, {'complete' if report.complete else 'not complete'},"
            f" {report.violation or 'no violation'}, {time.monotonic() - started:.1f} s"
        )
        if trace or not as_expected:
            for step in report.trace:
                click.echo(f"      {step}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
