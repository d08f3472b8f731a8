"""Tests of the models and their searches."""
