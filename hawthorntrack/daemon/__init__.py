"""Processes: build an entry instance or a guard from the layers, and run it."""
