"""Tests of this layer."""
