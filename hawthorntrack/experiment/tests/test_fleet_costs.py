"""Tests that a process's control messages do not grow with the size of the site."""

import pytest

from hawthorntrack.experiment.fleet_costs import measure_fleet

# Control is to stay flat within a quarter from 30 to 300 machines.
MAX_GROWTH = 1.25
SIZES = (30, 100, 300)
SEED = 1


@pytest.fixture(scope="module")
def idle_costs():
    """Return the costs of sites without jobs, by number of machines."""
    return {machines: measure_fleet(machines, 0.0, 1.0, SEED) for machines in SIZES}


@pytest.mark.parametrize("role", ["entry", "guard"])
@pytest.mark.parametrize("machines", SIZES[1:])
def test_idle_messages_of_a_process_do_not_grow_with_the_site(
    idle_costs, role, machines
):
    small, large = idle_costs[SIZES[0]], idle_costs[machines]
    assert large.messages(role) <= MAX_GROWTH * small.messages(role)
    assert large.links[role] <= MAX_GROWTH * small.links[role]
    assert large.sent_bytes.get(role, 0) <= MAX_GROWTH * small.sent_bytes.get(role, 0)


def test_guards_of_an_idle_site_send_heartbeats_only(idle_costs):
    assert {kind for _, kind in idle_costs[300].sent} == {"Pulse"}
