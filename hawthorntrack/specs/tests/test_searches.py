"""The specifications hold, and the searches catch every mutation."""

import pytest

from hawthorntrack.specs.main import searches

pytestmark = pytest.mark.timeout(300)


@pytest.mark.parametrize("name", list(searches))
def test_search_finds_a_breach_only_in_a_mutation(name):
    report = searches[name].run()
    print(f"{name}: {report.states} states, depth {report.depth}")
    assert bool(report.breach) == searches[name].must_break, report.trace
    assert report.states > 100
