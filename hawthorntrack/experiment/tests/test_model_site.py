"""What must hold at a site of leased targets under each trouble, in simulated time."""

import pytest

from hawthorntrack.experiment.model_faults import troubles
from hawthorntrack.experiment.model_site import SMALL_SITE, ModelSite, Site

SECONDS = 5.0
CALM_DAY_IN_TIME = 0.93  # the users' upper mark for a quiet day
SERVED_AT_LEAST = 0.4  # the users' floor for a day with trouble
# Callers of this model go on choosing a frozen entry instance; the users' balancer
# takes it out after two seconds.
SERVED_WHILE_FROZEN = 0.25


@pytest.fixture
def small_site() -> Site:
    """Return a site of three entry instances and eleven unlike targets."""
    return SMALL_SITE


@pytest.mark.parametrize("name", troubles.names())
@pytest.mark.parametrize("seed", [1, 2])
def test_no_task_has_two_runs_at_once_and_callers_are_served(
    run, small_site, name, seed
):
    model = ModelSite(small_site, seed)
    tallies = run(model.play(SECONDS, troubles[name]))
    assert model.violations == []
    asked = sum(tally.asked for tally in tallies.values())
    served = sum(tally.in_time for tally in tallies.values())
    floor = SERVED_WHILE_FROZEN if name == "entry_frozen" else SERVED_AT_LEAST
    assert served >= floor * asked


def test_all_jobs_are_answered_in_time_on_a_calm_day(run, small_site):
    tallies = run(ModelSite(small_site, 3).play(SECONDS)).values()
    assert all(tally.in_time + tally.late == tally.asked for tally in tallies)
    asked = sum(tally.asked for tally in tallies)
    assert sum(tally.in_time for tally in tallies) >= CALM_DAY_IN_TIME * asked


def test_order_that_a_cut_held_up_starts_nothing(run, small_site):
    """The orders of a cut-off entry arrive seconds after it placed them elsewhere."""
    for seed in range(3):
        model = ModelSite(small_site, seed)
        run(model.play(SECONDS, troubles["entry_cut_off"]))
        assert model.violations == []


def test_service_is_back_two_seconds_after_a_burst(run, small_site):
    """Load pattern: twice the usual arrivals for three seconds, retries on."""
    model = ModelSite(small_site, 4)
    burst_ends = 1_004.0  # the loop begins at 1000 s, callers one second later
    run(model.play(9.0, factor=lambda at: 2.2 if at < burst_ends else 0.8))
    after = [item.answer for item in model.answers if item.at > burst_ends + 2.0]
    assert after.count("in_time") >= CALM_DAY_IN_TIME * len(after)
