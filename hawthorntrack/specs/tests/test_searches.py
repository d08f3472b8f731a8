"""The models keep their invariants, and the searches detect every mutation."""

import pytest

from hawthorntrack.specs.main import searches

pytestmark = pytest.mark.timeout(300)


@pytest.mark.parametrize("name", list(searches))
def test_search_finds_a_violation_only_in_a_mutation(name):
    report = searches[name].run()
    print(f"{name}: {report.states} states, depth {report.depth}")
    assert bool(report.violation) == searches[name].expects_violation, report.trace
    assert report.states > 100
