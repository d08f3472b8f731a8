"""Sites whose entry instances are linked to some of the guards, in simulated time."""

import asyncio

import pytest

from hawthorntrack.coordination import working_set
from hawthorntrack.coordination.guard_links import GuardLinks
from hawthorntrack.experiment.fleet_costs import CountingNetwork
from hawthorntrack.experiment.model_faults import troubles
from hawthorntrack.experiment.model_site import SMALL_SITE, ModelSite, Site
from hawthorntrack.experiment.tests.test_model_site import (
    MIN_SHARE_SERVED_UNDER_FAULTS,
)

SECONDS = 5.0
SET_SIZE = 5
LOAD_WITH_WAITING_JOBS = 2.0
# A new target gets its first task this long after it announced itself.
MAX_IDLE_S = 1.0
NEW_TARGETS = 4
# The aim for orders that find no room any more, as a share of the orders accepted.
MAX_REFUSED_SHARE = 0.02
MUTATION_SEEDS = range(1, 6)


@pytest.fixture
def partial_site(monkeypatch) -> Site:
    """Return a site of five entry instances; the set of each has 5 of 11 guards."""
    monkeypatch.setattr(working_set, "MIN_SET_SIZE", SET_SIZE)
    monkeypatch.setattr(working_set, "SETS_PER_GUARD", 2)
    return SMALL_SITE._replace(zones=(SMALL_SITE.zones * 2)[:5])


def test_entry_instances_of_a_larger_site_are_linked_to_some_guards(run, partial_site):
    model = ModelSite(partial_site, 1)

    async def count_links():
        play = asyncio.create_task(model.play(8.0, factor=lambda at: 0.1, settle_s=0))
        await asyncio.sleep(8.0)
        counts = [len(entry.links) for entry in model.entries]
        await play
        return counts

    assert run(count_links()) == [SET_SIZE] * 5


@pytest.mark.parametrize(
    "name",
    [
        "entry_killed",
        "guard_killed",
        "guard_frozen",
        "entry_cut_off",
        "guards_cut_off",
        "links_silent",
        "sets_change",
        "sets_change_under_faults",
        "guards_frozen_and_grants_late",
    ],
)
def test_no_task_has_concurrent_runs_with_partial_working_sets(run, partial_site, name):
    model = ModelSite(partial_site, 1)
    tallies = run(model.play(SECONDS, troubles[name])).values()
    assert model.violations == []
    submitted = sum(tally.asked for tally in tallies)
    served = sum(tally.in_time for tally in tallies)
    assert served >= MIN_SHARE_SERVED_UNDER_FAULTS * submitted


@pytest.mark.parametrize("load", [1.0, LOAD_WITH_WAITING_JOBS])
def test_new_targets_get_work_within_a_second(run, partial_site, load):
    """Users saw new, empty targets idle while jobs waited for the older ones.

    At the lower load, the older targets are nearly full, and only some jobs wait.
    """
    model = ModelSite(partial_site, 1)
    added = []

    async def add_targets(site):
        await asyncio.sleep(2.0)
        added.extend(site.add_target(0.7) for _ in range(NEW_TARGETS))
        added.append(site.clock())

    run(model.play(4.0, add_targets, lambda at: load))
    *targets, announced_at = added
    idle_s = [model.first_runs[target.name] - announced_at for target in targets]
    assert max(idle_s) <= MAX_IDLE_S


def test_few_orders_of_many_entry_instances_find_no_room(run):
    """Load pattern: busy targets of two speeds, whose measured slowness varies."""
    site = SMALL_SITE._replace(zones=(SMALL_SITE.zones * 4)[:10])
    model = ModelSite(site, 1)
    network = model.network = CountingNetwork()
    run(model.play(6.0))
    refused = network.sent["guard", "RunsRefused"]
    assert refused <= MAX_REFUSED_SHARE * network.sent["guard", "RunsTaken"]


def violations(run, site, trouble, settle_s):
    """Yield the violations that a trouble leads to, seed by seed."""
    for seed in MUTATION_SEEDS:
        model = ModelSite(site, seed)
        run(model.play(3.0, troubles[trouble], settle_s=settle_s))
        yield model.violations


def requeue_runs_of_released_guards(dispatcher):
    """Place the runs of released guards again at once, as a faulty version would."""
    for peer in list(dispatcher.peers.values()):
        if peer.released and peer.runs:
            dispatcher.reschedule_runs(peer)


def test_model_notices_runs_that_are_moved_when_their_guard_leaves_the_set(
    run, partial_site, monkeypatch
):
    """A mutation: without it, the tests above would not show what they claim."""
    review = GuardLinks.review_links

    def faulty_review(dispatcher):
        review(dispatcher)
        requeue_runs_of_released_guards(dispatcher)

    monkeypatch.setattr(GuardLinks, "review_links", faulty_review)
    assert any(violations(run, partial_site, "sets_change", settle_s=2.0))


def test_model_notices_an_owner_that_is_trusted_without_confirmations(
    run, partial_site, monkeypatch
):
    """A mutation: guards extend the lease of an owner that confirms nothing."""
    model_holder = "hawthorntrack.coordination.leases.owner_lease_end"
    monkeypatch.setattr(model_holder, lambda times, clock_ms, now: now + 10.0)
    assert any(violations(run, partial_site, "entry_cut_off", settle_s=4.0))
