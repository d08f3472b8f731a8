"""Tests of the experiments, the simulated site and the soak."""
