"""Each piece of the hot path does its work; `make microbench` times them."""

import pytest

from hawthorntrack.experiment.costs import costs


@pytest.mark.parametrize("name", costs.names())
def test_piece(benchmark, name):
    work = costs[name]()
    benchmark.extra_info["items"] = work.items
    benchmark(work.run)
