"""Deployments on one machine, for the demo, replays and measurements.

The launcher here starts processes; the daemons themselves never do.
"""
