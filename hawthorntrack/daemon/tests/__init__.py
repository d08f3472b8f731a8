"""Tests of the processes."""
