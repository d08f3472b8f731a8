"""Runs each benchmarked piece of the hot path; `make microbench` also times it."""

import pytest

from hawthorntrack.experiment.costs import costs


@pytest.mark.parametrize("name", costs.names())
def test_benchmarked_piece_completes_its_work(benchmark, name):
    work = costs[name]()
    benchmark.extra_info["items"] = work.items
    benchmark(work.run)
