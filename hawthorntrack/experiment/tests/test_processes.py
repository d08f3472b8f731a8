"""Recorded traces against real processes: what must always hold, and what is stated.

Bounds on shares of complete answers are low on purpose: how many a fault hits is a
matter of chance, what it may do to them is not.
"""

import asyncio
from pathlib import Path

import pytest

from hawthorntrack.experiment.demo import problems_of
from hawthorntrack.experiment.launcher import Fleet
from hawthorntrack.experiment.layout import deployments
from hawthorntrack.experiment.replay import Replay
from hawthorntrack.experiment.trace import read_trace

TRACES = Path(__file__).parents[3] / "examples" / "traces"
BASE_PORT = 27_000
FAULTY = (
    "owner_killed",
    "entry_killed",
    "guard_frozen",
    "store_outage",
    "rolling_restart",
    "bookings",
)
PEACEFUL = (
    "burst",
    "cancel_wave",
    "sizes_off",
    "black_hole",
    "stragglers",
    "impossible",
    "resubmissions",
    "zone_leaves",
)

pytestmark = pytest.mark.timeout(240)


@pytest.mark.parametrize("name", FAULTY)
def test_trace_that_harms_processes_ends_as_stated(name):
    replay = Replay(read_trace(TRACES / f"{name}.jsonl"), BASE_PORT)
    run = asyncio.run(replay.run())
    assert problems_of(replay, run) == []


@pytest.fixture(scope="module")
def results():
    """Replay the traces that harm no process in turn, on one deployment."""

    async def replay_all():
        fleet = Fleet(deployments["jardim"], BASE_PORT + 2_000)
        problems = {}
        try:
            await fleet.start()
            for name in PEACEFUL:
                trace = read_trace(TRACES / f"{name}.jsonl")
                replay = Replay(trace, fleet=fleet)
                problems[name] = problems_of(replay, await replay.measure())
            codes = await fleet.stop()
        finally:
            await fleet.close()
        return problems, codes

    return asyncio.run(replay_all())


@pytest.mark.parametrize("name", PEACEFUL)
def test_trace_on_a_running_deployment_ends_as_stated(results, name):
    assert results[0][name] == []


def test_whole_deployment_stops_with_code_0(results):
    assert set(results[1].values()) == {0}
